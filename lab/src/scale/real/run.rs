//! One run: it starts the processes, measures them side by side, ends them, and plays the same fleet in virtual time.
use super::discovery::Discovery;
use super::files;
use super::host::MEASURING;
use super::plan::{addresses, CoordinatorKind, FleetPlan, HostJob, HostReport};
use super::process::{rates, ProcessRates, ProcessReading, RealProcess};
use super::proxy::{Role, Traffic};
use super::virtual_time::{play, Played};
use nickelgate::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};
use tempfile::TempDir;
use threadward_budgets::seal::TAG_BYTES;
use threadward_faults::{after, ports, Process, ProcessBuilder};

/// Real processes of a run.
const REAL_PROCESSES: u16 = 3;
/// Seconds until a fleet has settled: the first election and two lease times.
const SETTLE_SECONDS: u64 = 6;
/// Seconds that a host may take longer than its job says.
const HOST_SLACK_SECONDS: u64 = 30;
/// Lease time, as in `deploy/budgets.toml`.
const LEASE: Micros = 1_200_000;
/// Any fixed number: one run in virtual time does as well as another.
const VIRTUAL_SEED: u64 = 11;
/// Seconds that it is played at the pace of real time.
const PACED_SECONDS: u64 = 5;
/// Bytes on sockets over those of virtual time that need no explanation.
const NEAR_BYTES: RangeInclusive<f64> = 0.9..=1.1;
/// Processor time over that of virtual time that needs none.
const MAX_CORE_RATIO: f64 = 1.5;

/// How a host process is started: the file of its job is added as the last argument.
#[derive(Clone, Debug)]
pub struct HostCommand {
    /// The program.
    pub program: PathBuf,
    /// Its arguments before the job.
    pub arguments: Vec<String>,
}

/// The settings of one run.
#[derive(Clone, Debug)]
pub struct RealRun {
    /// The program `threadward`.
    pub program: PathBuf,
    /// The host process.
    pub host: HostCommand,
    /// Host processes.
    pub hosts: u16,
    /// Proxies in the file: a few real processes, all others hollow.
    pub proxies: u16,
    /// Whose process divides.
    pub coordinator: CoordinatorKind,
    /// Seconds that are measured.
    pub seconds: u64,
}

/// What one run measured. Bytes a second are of datagrams with their authentication codes, but those of the grantor and
/// of real processes are without: the program counts them so. Where the one that divides changed meanwhile, no figure of
/// a role that depends on it is given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RealFigures {
    /// Real processes.
    pub real_processes: u16,
    /// Proxies in the file.
    pub size: u16,
    /// Host processes.
    pub hosts: u16,
    /// Whose process divided.
    #[serde(rename = "divided_by")]
    pub coordinator: CoordinatorKind,
    /// Seconds that were measured.
    pub seconds: f64,
    /// Bytes a second that an ordinary hollow proxy sent on sockets, the mean.
    pub bytes_out_per_proxy_real: f64,
    /// The same in virtual time.
    pub bytes_out_per_proxy_virtual: f64,
    /// The first over the second.
    pub bytes_ratio: f64,
    /// Bytes a second that a real process sent that did not divide, the mean.
    pub process_bytes_out_real: Option<f64>,
    /// The same of its role in virtual time.
    pub process_bytes_out_virtual: f64,
    /// The first over the second.
    pub process_bytes_ratio: Option<f64>,
    /// Bytes a second that the one that divided sent.
    pub grantor_bytes_out_real: Option<f64>,
    /// The same in virtual time.
    pub grantor_bytes_out_virtual: f64,
    /// The first over the second.
    pub grantor_bytes_ratio: Option<f64>,
    /// Processor time of the one that divided, as a share of a core. A hollow one: the control code and authentication
    /// codes. A real process: all that it took more than the other real ones.
    pub grantor_core_real: Option<f64>,
    /// The control code and authentication codes in virtual time.
    pub grantor_core_virtual: f64,
    /// The first over the second.
    pub core_ratio: Option<f64>,
    /// As `grantor_core_virtual`, at the pace of real time: what the same code takes when the processor is idle and its
    /// caches are cold between messages.
    pub grantor_core_paced: f64,
    /// Of `grantor_core_real` of a real process, the part in the program, not in the system for it. Of a hollow one all.
    pub grantor_core_user: Option<f64>,
    /// The same over `grantor_core_virtual`.
    pub core_ratio_user: Option<f64>,
    /// Processor time of the system calls for the grantor's datagrams, as the hosts' cost a datagram makes it.
    pub grantor_core_sockets: f64,
    /// Datagrams a second to the grantor, in virtual time.
    pub grantor_messages_in_virtual: f64,
    /// Processor time of a whole real process that did not divide, as a share of a core, the mean.
    pub process_core: Option<f64>,
    /// How late the latest due call of a host was, in milliseconds.
    pub latest_ms: f64,
    /// Times that a proxy began to divide while it was measured.
    pub elections: u64,
    /// Datagrams lost while it was measured: the system did not take them, or a receive buffer had no room for them.
    pub lost: u64,
    /// Datagrams that a receive buffer had no room for before that, while all started.
    pub lost_at_start: u64,
    /// What has to be known to read these figures.
    pub notes: Vec<String>,
}

/// What was measured of the real side.
struct Measured {
    report: HostReport,
    processes: Vec<ProcessRates>,
    lost: u64,
    lost_at_start: u64,
}

/// Carries out one run. Every process that it starts has ended when it comes back.
///
/// # Errors
/// One line that says what could not be started or measured.
pub fn run(settings: &RealRun) -> Result<RealFigures, String> {
    if settings.proxies < 3 * REAL_PROCESSES {
        return Err(format!("{} proxies: {} at least", settings.proxies, 3 * REAL_PROCESSES));
    }
    let fleet = plan(settings);
    let measured = measure(settings, &fleet)?;
    let played = play(&fleet, VIRTUAL_SEED, SETTLE_SECONDS, settings.seconds, PACED_SECONDS)?;
    Ok(figures(settings, &measured, &played))
}

fn plan(settings: &RealRun) -> FleetPlan {
    FleetPlan {
        proxies: settings.proxies,
        real: REAL_PROCESSES,
        voters: FleetPlan::voters(settings.coordinator, REAL_PROCESSES),
        wholes: vec![files::WHOLE],
        lease: LEASE,
        key: [7; 32],
    }
}

fn measure(settings: &RealRun, fleet: &FleetPlan) -> Result<Measured, String> {
    let missing =
        |error| format!("{}: {error}: the program has to be built first", settings.program.display());
    let program = settings.program.canonicalize().map_err(missing)?;
    let folder = TempDir::with_prefix("threadward-").map_err(|error| error.to_string())?;
    let free = ports::free_addresses(3 + usize::from(fleet.real)).map_err(|error| error.to_string())?;
    let port = free[0].port();
    let addresses = addresses(own_net(), port, fleet.proxies);
    let discovery = Discovery::start(free[1])?;
    let operators = files::operators(folder.path(), fleet, &addresses)?;
    let mut real = Vec::new();
    for (place, front) in (0..fleet.real).zip(&free[3..]) {
        let configuration = files::configuration(folder.path(), place, *front, discovery.address, free[2])?;
        real.push(RealProcess::start(&program, &operators, &configuration)?);
    }
    let hosts = start_hosts(settings, fleet, &addresses, &folder)?;
    let patience = || after((SETTLE_SECONDS + settings.seconds + HOST_SLACK_SECONDS) * 1_000);
    for host in &hosts {
        host.wait_for_line(MEASURING, patience())?;
    }
    let readings = |processes: &[RealProcess]| -> Result<Vec<ProcessReading>, String> {
        processes.iter().map(RealProcess::reading).collect()
    };
    let (lost_at_start, before) = (overrun(port), readings(&real)?);
    let mut reports = Vec::new();
    for host in &hosts {
        reports.push(host.wait_for_line("{", patience())?);
    }
    let end = readings(&real)?;
    let overrun = overrun(port).saturating_sub(lost_at_start);
    let report = merged(&reports)?;
    let processes = before.iter().zip(&end).map(|(before, after)| rates(before, after)).collect();
    let lost = report.unsent + overrun;
    Ok(Measured { report, processes, lost, lost_at_start })
}

/// The second byte of the run's addresses: runs side by side have their own.
fn own_net() -> u8 {
    (std::process::id() % 250) as u8 + 2
}

fn start_hosts(
    settings: &RealRun,
    fleet: &FleetPlan,
    addresses: &[SocketAddr],
    folder: &TempDir,
) -> Result<Vec<Process>, String> {
    #[allow(clippy::disallowed_methods, reason = "a seed for names, no point in time")]
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |time| time.as_nanos() as u64);
    let hollow = fleet.proxies - fleet.real;
    let bound =
        |host: u16| fleet.real + (u32::from(hollow) * u32::from(host) / u32::from(settings.hosts)) as u16;
    let start = |host: u16| {
        let job = HostJob {
            fleet: fleet.clone(),
            addresses: addresses.to_vec(),
            first: bound(host),
            end: bound(host + 1),
            settle_seconds: SETTLE_SECONDS,
            seconds: settings.seconds,
            seed,
        };
        let path = files::job(folder.path(), &job)?;
        let command = &settings.host;
        let start = command
            .arguments
            .iter()
            .fold(ProcessBuilder::new(&command.program), |start, word| start.arg(word));
        start.arg(path).spawn().map_err(|error| format!("{}: {error}", command.program.display()))
    };
    (0..settings.hosts).map(start).collect()
}

fn merged(reports: &[String]) -> Result<HostReport, String> {
    let mut all: Option<HostReport> = None;
    for line in reports {
        let report: HostReport =
            serde_json::from_str(line.trim()).map_err(|error| format!("a host: {error}"))?;
        match &mut all {
            None => all = Some(report),
            Some(all) => {
                all.roles.merge(&report.roles);
                all.latest = all.latest.max(report.latest);
                (all.unsent, all.elections) = (all.unsent + report.unsent, all.elections + report.elections);
            }
        }
    }
    all.ok_or_else(|| "no host".into())
}

/// Datagrams for this port that found a full receive buffer, of sockets that are open.
fn overrun(port: u16) -> u64 {
    let table = std::fs::read_to_string("/proc/net/udp").unwrap_or_default();
    let drops = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (_, own) = fields.get(1)?.rsplit_once(':')?;
        let ours = u16::from_str_radix(own, 16) == Ok(port);
        fields.last().filter(|_| ours)?.parse::<u64>().ok()
    };
    table.lines().filter_map(drops).sum()
}

/// Bytes without the authentication codes, as the program counts them.
fn message_bytes(traffic: &Traffic) -> u64 {
    traffic.bytes_out - traffic.messages_out * TAG_BYTES as u64
}

/// Processor time in the control code and for authentication codes.
fn computing(traffic: &Traffic) -> f64 {
    traffic.control_nanoseconds + traffic.code_nanoseconds
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (count, sum) = values.fold((0u32, 0.0), |(count, sum), value| (count + 1, sum + value));
    sum / f64::from(count.max(1))
}

/// The one that divided all the time, on the real side, and the real processes beside it.
struct Roles {
    grantor_bytes: f64,
    grantor_core: f64,
    grantor_user_core: f64,
    process_bytes: f64,
    process_core: f64,
}

/// Nothing where it changed, or where nobody or more than one divided at the end.
fn roles(settings: &RealRun, measured: &Measured) -> Option<Roles> {
    let (dividing, others): (Vec<&ProcessRates>, Vec<&ProcessRates>) =
        measured.processes.iter().partition(|rates| rates.divides);
    let beside = |figure: fn(&ProcessRates) -> f64| mean(others.iter().map(|rates| figure(rates)));
    let (process_bytes, process_core) = (beside(|rates| rates.bytes), beside(ProcessRates::core));
    let report = &measured.report;
    let hollow = &report.roles.grantor;
    let (grantor_bytes, grantor_core, grantor_user_core) = match (settings.coordinator, &dividing[..]) {
        _ if elections(measured) > 0 => return None,
        (CoordinatorKind::Hollow, []) if hollow.proxies == 1 => {
            let core = hollow.mean_nanoseconds(computing) / 1e9 / report.seconds;
            (hollow.mean(message_bytes) / report.seconds, core, core)
        }
        (CoordinatorKind::Real, [one]) => {
            (one.bytes, one.core() - process_core, one.user_core - beside(|rates| rates.user_core))
        }
        _ => return None,
    };
    Some(Roles { grantor_bytes, grantor_core, grantor_user_core, process_bytes, process_core })
}

fn elections(measured: &Measured) -> u64 {
    measured.report.elections + measured.processes.iter().map(|rates| rates.elections).sum::<u64>()
}

fn figures(settings: &RealRun, measured: &Measured, played: &Played) -> RealFigures {
    let (report, paced) = (&measured.report, &played.paced);
    let (seconds, played) = (settings.seconds as f64, &played.free);
    let process_role = match settings.coordinator {
        CoordinatorKind::Hollow => Role::Ordinary,
        CoordinatorKind::Real => Role::Voter,
    };
    let roles = roles(settings, measured);
    let real = |figure: fn(&Roles) -> f64| roles.as_ref().map(figure);
    let ratio = |figure: fn(&Roles) -> f64, to: f64| real(figure).map(|value| value / to);
    let bytes_real = report.roles.ordinary.mean(|traffic| traffic.bytes_out) / report.seconds;
    let bytes_virtual = played.ordinary.mean(|traffic| traffic.bytes_out) / seconds;
    let process_virtual = played.of(process_role).mean(message_bytes) / seconds;
    let grantor_bytes_virtual = played.grantor.mean(message_bytes) / seconds;
    let core_virtual = played.grantor.mean_nanoseconds(computing) / 1e9 / seconds;
    let socket = &report.roles.ordinary.timed;
    let per_message = socket.socket_nanoseconds / socket.messages().max(1) as f64;
    let mut figures = RealFigures {
        real_processes: measured.processes.len() as u16,
        size: settings.proxies,
        hosts: settings.hosts,
        coordinator: settings.coordinator,
        seconds: report.seconds,
        bytes_out_per_proxy_real: bytes_real,
        bytes_out_per_proxy_virtual: bytes_virtual,
        bytes_ratio: bytes_real / bytes_virtual,
        process_bytes_out_real: real(|roles| roles.process_bytes),
        process_bytes_out_virtual: process_virtual,
        process_bytes_ratio: ratio(|roles| roles.process_bytes, process_virtual),
        grantor_bytes_out_real: real(|roles| roles.grantor_bytes),
        grantor_bytes_out_virtual: grantor_bytes_virtual,
        grantor_bytes_ratio: ratio(|roles| roles.grantor_bytes, grantor_bytes_virtual),
        grantor_core_real: real(|roles| roles.grantor_core),
        grantor_core_virtual: core_virtual,
        core_ratio: ratio(|roles| roles.grantor_core, core_virtual),
        grantor_core_paced: paced.grantor.mean_nanoseconds(computing) / 1e9 / PACED_SECONDS as f64,
        grantor_core_user: real(|roles| roles.grantor_user_core),
        core_ratio_user: ratio(|roles| roles.grantor_user_core, core_virtual),
        grantor_core_sockets: played.grantor.mean(Traffic::messages) / seconds * per_message / 1e9,
        grantor_messages_in_virtual: played.grantor.mean(|traffic| traffic.messages_in) / seconds,
        process_core: real(|roles| roles.process_core),
        latest_ms: report.latest as f64 / 1e3,
        elections: elections(measured),
        lost: measured.lost,
        lost_at_start: measured.lost_at_start,
        notes: Vec::new(),
    };
    figures.notes = notes(&figures);
    figures
}

/// What has to be known to read the figures, where they are not as virtual time has them.
fn notes(figures: &RealFigures) -> Vec<String> {
    let mut notes = Vec::new();
    let ratios = [
        ("an ordinary proxy", Some(figures.bytes_ratio)),
        ("a real process", figures.process_bytes_ratio),
        ("the one that divides", figures.grantor_bytes_ratio),
    ];
    for (whose, ratio) in ratios {
        if let Some(ratio) = ratio.filter(|ratio| !NEAR_BYTES.contains(ratio)) {
            notes.push(format!("bytes of {whose} are {ratio:.2} times those of virtual time"));
        }
    }
    notes.extend(processor_note(figures));
    if figures.grantor_core_real.is_none() {
        let elections = figures.elections;
        notes.push(format!("nobody divided all the time ({elections} elections): no figures of the roles"));
    }
    if figures.lost + figures.lost_at_start > 0 {
        let (lost, at_start) = (figures.lost, figures.lost_at_start);
        notes.push(format!("{lost} datagrams lost while it was measured, {at_start} before"));
    }
    notes
}

/// Where the processor time of a process goes that virtual time does not have.
fn processor_note(figures: &RealFigures) -> Option<String> {
    figures.core_ratio.filter(|ratio| *ratio > MAX_CORE_RATIO)?;
    let (all, user, ratio) =
        (figures.grantor_core_real?, figures.grantor_core_user?, figures.core_ratio_user?);
    let (paced, sockets) = (figures.grantor_core_paced, figures.grantor_core_sockets);
    let at_pace = format!("virtual time at the pace of real time takes {paced:.3}");
    Some(match figures.coordinator {
        CoordinatorKind::Hollow => {
            format!("{all:.3} of a core in the control code, {ratio:.2} times virtual time; {at_pace}")
        }
        CoordinatorKind::Real => format!(
            "of {all:.3} of a core {:.3} are in the system, where a host's calls for as many datagrams cost \
             {sockets:.3}; {user:.3} are in the program, {ratio:.2} times virtual time; {at_pace}",
            all - user
        ),
    })
}
