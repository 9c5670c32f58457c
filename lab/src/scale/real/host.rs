//! A host process, which runs many hollow proxies in real time, each on its own socket and address. It ends
//! by itself when its job is done.
use super::plan::{HostJob, HostReport};
use super::proxy::{HollowProxy, RoleReport, Traffic};
use super::virtual_time::{start_of, SECOND};
use crate::scale::stopwatch::{timed, Stopwatch};
use crate::stream;
use nickelgate::Micros;
use rand_core::RngCore;
use rustix::event::{epoll, Timespec};
use rustix::fd::OwnedFd;
use rustix::process::{getrlimit, Resource};
use rustix::time::{clock_gettime, ClockId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ffi::OsString;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, UdpSocket};

/// The line that a host prints when the measurement begins.
pub const MEASURING: &str = "measuring";
/// Time that a host runs on after its report, so that other processes can end their measurement beside it.
const LINGER: Micros = 2 * SECOND;
/// Maximum duration of a job, in seconds.
const MAX_JOB_SECONDS: u64 = 600;
/// Maximum number of datagrams read from one socket before the others are served.
const MAX_BATCH: usize = 32;
/// Maximum number of ready sockets that one call of epoll returns.
const MAX_READY_SOCKETS: usize = 256;
/// Maximum time of one wait for datagrams.
const MAX_WAIT: Micros = 20_000;
/// Size of the receive buffer: longer than any message of the budgets with its authentication code.
const BUFFER_BYTES: usize = 256;

/// Runs a host; the last argument names the file of its job. Prints [`MEASURING`] when the measurement begins
/// and a [`HostReport`] as one line of JSON when it ends.
///
/// # Errors
/// Returns one line that says why the host cannot run.
pub fn host(arguments: impl IntoIterator<Item = OsString>) -> Result<(), String> {
    let path = arguments.into_iter().last().ok_or("the host's job is missing")?;
    let text = std::fs::read_to_string(&path).map_err(|error| format!("{}: {error}", path.display()))?;
    let job: HostJob = serde_json::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))?;
    if job.settle_seconds + job.seconds > MAX_JOB_SECONDS {
        return Err(format!("a host runs for {MAX_JOB_SECONDS} s at most"));
    }
    check_descriptors(usize::from(job.end - job.first))?;
    let mut host = Host::new(&job)?;
    host.run(job.settle_seconds * SECOND);
    host.begin_measurement();
    print_line(MEASURING)?;
    let from = uptime();
    host.run(job.seconds * SECOND);
    let report = host.report((uptime() - from) as f64 / SECOND as f64);
    print_line(&serde_json::to_string(&report).map_err(|error| error.to_string())?)?;
    host.run(LINGER);
    Ok(())
}

/// Refuses to take more than half of the descriptors that the process may open.
fn check_descriptors(sockets: usize) -> Result<(), String> {
    let limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    if sockets as u64 > limit / 2 {
        return Err(format!(
            "{sockets} hollow proxies need as many sockets: over half of the {limit} descriptors"
        ));
    }
    Ok(())
}

/// Prints a line, which begins on a line of its own even if output without a line break came before.
fn print_line(line: &str) -> Result<(), String> {
    let mut output = std::io::stdout().lock();
    writeln!(output, "\n{line}").and_then(|()| output.flush()).map_err(|error| error.to_string())
}

/// Returns the microseconds since this machine started, as the program counts them.
fn uptime() -> Micros {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as Micros * SECOND + time.tv_nsec as Micros / 1_000
}

struct Host {
    epoll: OwnedFd,
    sockets: Vec<UdpSocket>,
    proxies: Vec<HollowProxy>,
    /// The address of each proxy of the fleet.
    addresses: Vec<SocketAddr>,
    timers: BinaryHeap<Reverse<(Micros, usize)>>,
    armed: Vec<Micros>,
    /// Largest delay of a due call.
    latest: Micros,
    unsent: u64,
    elections_before: u64,
}

impl Host {
    fn new(job: &HostJob) -> Result<Host, String> {
        let system = |error: rustix::io::Errno| format!("epoll: {error}");
        let mut host = Host {
            epoll: epoll::create(epoll::CreateFlags::CLOEXEC).map_err(system)?,
            sockets: Vec::new(),
            proxies: Vec::new(),
            addresses: job.addresses.clone(),
            timers: BinaryHeap::new(),
            armed: Vec::new(),
            latest: 0,
            unsent: 0,
            elections_before: 0,
        };
        let stopwatch = Stopwatch::calibrated();
        let from = uptime();
        for (index, place) in (job.first..job.end).enumerate() {
            let socket = bind(job.addresses.get(usize::from(place)))?;
            let data = epoll::EventData::new_u64(index as u64);
            epoll::add(&host.epoll, &socket, data, epoll::EventFlags::IN).map_err(system)?;
            let mut entropy = [0; 32];
            stream(job.seed, u64::from(place)).fill_bytes(&mut entropy);
            let start = start_of(&job.fleet, place, from);
            host.proxies.push(HollowProxy::new(&job.fleet, place, start, entropy, stopwatch)?);
            host.sockets.push(socket);
            host.armed.push(start);
            host.timers.push(Reverse((start, index)));
        }
        Ok(host)
    }

    /// Runs all proxies for `span`.
    fn run(&mut self, span: Micros) {
        let until = uptime() + span;
        let mut ready = Vec::with_capacity(MAX_READY_SOCKETS);
        while uptime() < until {
            self.tick();
            self.wait(until, &mut ready);
            for event in ready.drain(..) {
                self.receive(event.data.u64() as usize);
            }
        }
    }

    /// Waits until a datagram arrives or a call is due.
    fn wait(&self, until: Micros, ready: &mut Vec<epoll::Event>) {
        let due = self.timers.peek().map_or(until, |Reverse((due, _))| (*due).min(until));
        // Whole milliseconds, as in the program: older systems support no finer timeout.
        let milliseconds = due.saturating_sub(uptime()).min(MAX_WAIT).div_ceil(1_000);
        let timeout = Timespec { tv_sec: 0, tv_nsec: milliseconds as i64 * 1_000_000 };
        ready.clear();
        // An interrupted wait returns nothing, and the caller waits again.
        epoll::wait(&self.epoll, rustix::buffer::spare_capacity(ready), Some(&timeout)).ok();
    }

    /// Makes all calls that are due.
    fn tick(&mut self) {
        let now = uptime();
        while let Some(Reverse((due, index))) =
            self.timers.peek().copied().filter(|Reverse((due, _))| *due <= now)
        {
            self.timers.pop();
            // A call that was brought forward is ignored at its old time.
            if self.armed[index] != due {
                continue;
            }
            self.armed[index] = Micros::MAX;
            let now = uptime();
            self.latest = self.latest.max(now - due);
            let out = self.proxies[index].tick(now);
            self.send(index, out);
        }
    }

    /// Handles the datagrams of one socket, at most a batch.
    fn receive(&mut self, index: usize) {
        let mut buffer = [0; BUFFER_BYTES];
        for _ in 0..MAX_BATCH {
            let (socket, proxy) = (&self.sockets[index], &mut self.proxies[index]);
            let mut spent = 0.0;
            let received = timed(proxy.stopwatch, &mut spent, || socket.recv(&mut buffer));
            let Ok(length) = received else { return };
            proxy.traffic.socket_nanoseconds += spent;
            let out = proxy.receive(uptime(), &buffer[..length]);
            self.send(index, out);
        }
    }

    fn send(&mut self, index: usize, out: Vec<(u16, Vec<u8>)>) {
        let (socket, proxy) = (&self.sockets[index], &mut self.proxies[index]);
        for (to, datagram) in out {
            let Some(address) = self.addresses.get(usize::from(to)) else { continue };
            let send = || socket.send_to(&datagram, address);
            let sent = timed(proxy.stopwatch, &mut proxy.traffic.socket_nanoseconds, send);
            self.unsent += u64::from(sent.is_err());
        }
        let due = proxy.next_due();
        if due < self.armed[index] {
            self.armed[index] = due;
            self.timers.push(Reverse((due, index)));
        }
    }

    fn elections(&self) -> u64 {
        self.proxies.iter().map(HollowProxy::elections).sum()
    }

    /// Resets all figures at the begin of the measurement.
    fn begin_measurement(&mut self) {
        self.proxies.iter_mut().for_each(|proxy| proxy.traffic = Traffic::default());
        (self.latest, self.unsent, self.elections_before) = (0, 0, self.elections());
    }

    fn report(&self, seconds: f64) -> HostReport {
        let mut roles = RoleReport::default();
        let now = uptime();
        self.proxies.iter().for_each(|proxy| roles.count(proxy, now));
        let elections = self.elections() - self.elections_before;
        HostReport { seconds, roles, latest: self.latest, unsent: self.unsent, elections }
    }
}

/// Binds the socket of a proxy.
fn bind(address: Option<&SocketAddr>) -> Result<UdpSocket, String> {
    let address = address.ok_or("a place without an address")?;
    let bound = UdpSocket::bind(address).and_then(|socket| socket.set_nonblocking(true).map(|()| socket));
    bound.map_err(|error| match error.kind() {
        ErrorKind::AddrInUse => format!("{address} is in use"),
        _ => format!("{address}: {error}"),
    })
}
