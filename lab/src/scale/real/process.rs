//! A real process of the program in a run: its start, and what it and the system say of it.
use std::path::Path;
use std::time::Instant;
use threadward_faults::{after, Process, ProcessBuilder, Signal};

/// How long a process may take to start, or to answer a signal.
const PATIENCE_MS: u64 = 10_000;
/// The system counts processor time in this part of a second (`USER_HZ`, the same on every Linux).
const TICKS_PER_SECOND: f64 = 100.0;
/// Of `/proc/PID/stat`, counted after the program's name: time in the program, and in the system for it.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// A real process.
pub struct RealProcess {
    process: Process,
}

/// What a process had done at some time.
#[derive(Clone, Copy, Debug)]
pub struct ProcessReading {
    /// When the bytes were read.
    pub bytes_at: Instant,
    /// Bytes of budget messages sent, without their codes.
    pub bytes: u64,
    /// When the processor time was read.
    pub processor_at: Instant,
    /// Seconds of processor time in the program.
    pub user_seconds: f64,
    /// Seconds of processor time in the system for the program.
    pub system_seconds: f64,
    /// Times that it began to divide the budgets.
    pub elections: u64,
    /// Whether it divides the budgets.
    pub divides: bool,
}

impl RealProcess {
    /// Starts one, and waits until its budgets are on.
    pub fn start(program: &Path, operators: &Path, configuration: &Path) -> Result<RealProcess, String> {
        let start =
            ProcessBuilder::new(program).arg("--fronts").arg(operators).env("LB_CONFIG", configuration);
        let process = start.spawn().map_err(|error| format!("{}: {error}", program.display()))?;
        process.wait_for_line("start: budgets shared by all proxies are on", after(PATIENCE_MS))?;
        if process.output().contains("no cache is probed here") {
            return Err("the real process takes no share: its settings allow no probes".into());
        }
        Ok(RealProcess { process })
    }

    /// What it did until now.
    pub fn reading(&self) -> Result<ProcessReading, String> {
        let (user_seconds, system_seconds) = self.processor_seconds()?;
        let processor_at = Instant::now();
        let (said, _) = self.process.lines();
        self.process.signal(Signal::USR1).map_err(|error| error.to_string())?;
        let line = self.process.wait_for_line_after(said, "counters: ", after(PATIENCE_MS))?;
        let (bytes_at, bytes) = (Instant::now(), counter(&line, "budgetBytes"));
        Ok(ProcessReading {
            bytes_at,
            bytes,
            processor_at,
            user_seconds,
            system_seconds,
            elections: counter(&line, "budgetElected"),
            divides: self.divides(),
        })
    }

    /// By the last word of its log on that.
    fn divides(&self) -> bool {
        let text = self.process.output();
        let begins = text.rfind("budgets: this proxy divides them");
        begins > text.rfind("budgets: no longer divided here")
    }

    /// In the program, and in the system for it.
    fn processor_seconds(&self) -> Result<(f64, f64), String> {
        let path = format!("/proc/{}/stat", self.process.id());
        let text = std::fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?;
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |field: usize| fields.get(field).and_then(|word| word.parse::<u64>().ok());
        let spent = ticks(USER_TIME_FIELD).zip(ticks(SYSTEM_TIME_FIELD));
        let (user, system) = spent.ok_or_else(|| format!("{path}: cannot be read"))?;
        Ok((user as f64 / TICKS_PER_SECOND, system as f64 / TICKS_PER_SECOND))
    }
}

/// A counter of the line that the program prints; what is zero is left out there.
fn counter(line: &str, name: &str) -> u64 {
    let value = line.split(' ').find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
    value.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// What a process did between two readings, a second.
#[derive(Clone, Copy, Debug)]
pub struct ProcessRates {
    /// Bytes of budget messages a second, without their codes.
    pub bytes: f64,
    /// Processor time in the program, as a share of a core.
    pub user_core: f64,
    /// Processor time in the system for the program, as a share of a core.
    pub system_core: f64,
    /// Times that it began to divide the budgets.
    pub elections: u64,
    /// Whether it divided the budgets at the end.
    pub divides: bool,
}

impl ProcessRates {
    /// Processor time as a share of a core.
    pub fn core(&self) -> f64 {
        self.user_core + self.system_core
    }
}

/// The rates between two readings of one process.
pub fn rates(before: &ProcessReading, after: &ProcessReading) -> ProcessRates {
    let seconds = |from: Instant, to: Instant| (to - from).as_secs_f64().max(f64::EPSILON);
    let processor = seconds(before.processor_at, after.processor_at);
    ProcessRates {
        bytes: (after.bytes - before.bytes) as f64 / seconds(before.bytes_at, after.bytes_at),
        user_core: (after.user_seconds - before.user_seconds) / processor,
        system_core: (after.system_seconds - before.system_seconds) / processor,
        elections: after.elections - before.elections,
        divides: after.divides,
    }
}
