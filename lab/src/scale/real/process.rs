//! Starts a real process of the program in a run and reads its counters and its processor time.
use std::path::Path;
use std::time::Instant;
use threadward_faults::{after, Process, ProcessBuilder, Signal};

/// Timeout for a process to start or to answer a signal, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 10_000;
/// Units of the processor time in `/proc/PID/stat` in a second (`USER_HZ`, the same on every Linux).
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the time spent in the program, among the fields of `/proc/PID/stat` after the program's name.
const USER_TIME_FIELD: usize = 11;
/// Index of the time spent in the system for the program, counted in the same way.
const SYSTEM_TIME_FIELD: usize = 12;

/// A running real process.
pub struct RealProcess {
    process: Process,
}

/// The counters and processor time of a process at a time.
#[derive(Clone, Copy, Debug)]
pub struct ProcessReading {
    /// When the bytes were read.
    pub bytes_at: Instant,
    /// Bytes of budget messages sent, without their codes.
    pub bytes: u64,
    /// When the processor time was read.
    pub processor_at: Instant,
    /// Processor time spent in the program, in seconds.
    pub user_seconds: f64,
    /// Processor time spent in the system for the program, in seconds.
    pub system_seconds: f64,
    /// How often it became coordinator of the budgets.
    pub elections: u64,
    /// Whether it is coordinator of the budgets.
    pub is_coordinator: bool,
}

impl RealProcess {
    /// Starts a process and waits until its budgets are on.
    pub fn start(program: &Path, operators: &Path, configuration: &Path) -> Result<RealProcess, String> {
        let start =
            ProcessBuilder::new(program).arg("--fronts").arg(operators).env("LB_CONFIG", configuration);
        let process = start.spawn().map_err(|error| format!("{}: {error}", program.display()))?;
        process.wait_for_line("start: budgets shared by all proxies are on", after(RESPONSE_TIMEOUT_MS))?;
        if process.output().contains("no cache is probed here") {
            return Err("the real process takes no share: its settings allow no probes".into());
        }
        Ok(RealProcess { process })
    }

    /// Reads what the process has done until now.
    pub fn reading(&self) -> Result<ProcessReading, String> {
        let (user_seconds, system_seconds) = self.processor_seconds()?;
        let processor_at = Instant::now();
        let (lines_before, _) = self.process.lines();
        self.process.signal(Signal::USR1).map_err(|error| error.to_string())?;
        let line =
            self.process.wait_for_line_after(lines_before, "counters: ", after(RESPONSE_TIMEOUT_MS))?;
        let (bytes_at, bytes) = (Instant::now(), counter(&line, "budgetBytes"));
        Ok(ProcessReading {
            bytes_at,
            bytes,
            processor_at,
            user_seconds,
            system_seconds,
            elections: counter(&line, "budgetElected"),
            is_coordinator: self.is_coordinator(),
        })
    }

    /// Returns whether the process is coordinator, by the last line on that in its log.
    fn is_coordinator(&self) -> bool {
        let text = self.process.output();
        let begins = text.rfind("budgets: this proxy divides them");
        begins > text.rfind("budgets: no longer divided here")
    }

    /// Returns the processor time in the program and in the system for it, in seconds.
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

/// Returns a counter of the line that the program prints. Counters that are zero are missing there.
fn counter(line: &str, name: &str) -> u64 {
    let value = line.split(' ').find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
    value.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// What a process did in a second, as the mean between two readings.
#[derive(Clone, Copy, Debug)]
pub struct ProcessRates {
    /// Bytes of budget messages a second, without their codes.
    pub bytes: f64,
    /// Processor time in the program, as a share of a core.
    pub user_core: f64,
    /// Processor time in the system for the program, as a share of a core.
    pub system_core: f64,
    /// How often it became coordinator of the budgets.
    pub elections: u64,
    /// Whether it was coordinator of the budgets at the end.
    pub is_coordinator: bool,
}

impl ProcessRates {
    /// Returns the whole processor time, as a share of a core.
    pub fn core(&self) -> f64 {
        self.user_core + self.system_core
    }
}

/// Returns the rates between two readings of one process.
pub fn rates(before: &ProcessReading, after: &ProcessReading) -> ProcessRates {
    let seconds = |from: Instant, to: Instant| (to - from).as_secs_f64().max(f64::EPSILON);
    let processor = seconds(before.processor_at, after.processor_at);
    ProcessRates {
        bytes: (after.bytes - before.bytes) as f64 / seconds(before.bytes_at, after.bytes_at),
        user_core: (after.user_seconds - before.user_seconds) / processor,
        system_core: (after.system_seconds - before.system_seconds) / processor,
        elections: after.elections - before.elections,
        is_coordinator: after.is_coordinator,
    }
}
