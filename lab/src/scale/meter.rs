//! Counts messages, bytes, processor time and memory of each hollow proxy, and of each role.
use super::report::{Quantity, Role};
use super::stopwatch::{timed, Stopwatch};
use nickelgate::Micros;
use threadward_budgets::seal::TAG_BYTES;

/// Bytes of the authentication code of each datagram; those on zones bear one as long.
pub const CODE_BYTES: u64 = TAG_BYTES as u64;

/// Tells the bytes that the program has allocated and not given back.
pub type MemoryProbe = fn() -> i64;

/// What one process did in one part of the control code since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Count {
    /// Datagrams taken.
    pub messages_in: u64,
    /// Datagrams sent.
    pub messages_out: u64,
    /// Their bytes, codes included.
    pub bytes_in: u64,
    /// Their bytes, codes included.
    pub bytes_out: u64,
    /// Processor time of calls that were timed, the clock's own cost subtracted.
    pub processor_nanoseconds: f64,
    /// Growth of the state on the heap.
    pub memory: i64,
}

impl Count {
    /// What was added since an earlier reading; the memory stays as it is.
    pub fn since(&self, earlier: &Count) -> Count {
        Count {
            messages_in: self.messages_in - earlier.messages_in,
            messages_out: self.messages_out - earlier.messages_out,
            bytes_in: self.bytes_in - earlier.bytes_in,
            bytes_out: self.bytes_out - earlier.bytes_out,
            processor_nanoseconds: self.processor_nanoseconds - earlier.processor_nanoseconds,
            memory: self.memory,
        }
    }
}

/// Measures calls on this thread.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    stopwatch: Stopwatch,
    memory: Option<MemoryProbe>,
}

impl Meter {
    /// Takes the clock's own cost now, as the median of many pairs of readings.
    pub fn new(memory: Option<MemoryProbe>) -> Meter {
        Meter { stopwatch: Stopwatch::calibrated(), memory }
    }

    /// What one reading of the clock costs, in nanoseconds.
    pub fn clock_cost(&self) -> f64 {
        self.stopwatch.clock_nanoseconds()
    }

    /// Bytes allocated now; 0 without a probe.
    pub fn allocated(&self) -> i64 {
        self.memory.map_or(0, |probe| probe())
    }

    /// Whether memory is counted.
    pub fn counts_memory(&self) -> bool {
        self.memory.is_some()
    }

    /// Carries out a call and adds its processor time, where it is to be timed.
    pub fn time<T>(&self, count: &mut Count, is_timed: bool, call: impl FnOnce() -> T) -> T {
        timed(is_timed.then_some(self.stopwatch), &mut count.processor_nanoseconds, call)
    }
}

/// One process in a window of time: its role, what it did, and whether its calls were timed throughout.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// Its role at the end of the window.
    pub role: Role,
    /// What it did in the window.
    pub count: Count,
    /// Its processor time is known.
    pub timed: bool,
}

/// The figures of a role: the largest of all its processes, except that the processor time of ordinary
/// proxies is the mean of those that were timed, as a single one's few calls are too short to measure.
pub fn figures(role: Role, readings: &[Reading], span: Micros, memory: bool) -> Vec<(Quantity, f64)> {
    let seconds = span as f64 / 1e6;
    let own: Vec<&Reading> = readings.iter().filter(|r| r.role == role).collect();
    if own.is_empty() {
        return Vec::new();
    }
    let most = |of: fn(&Count) -> f64| own.iter().map(|r| of(&r.count)).fold(0.0, f64::max);
    let mut all = vec![
        (Quantity::MessagesIn, most(|c| c.messages_in as f64) / seconds),
        (Quantity::MessagesOut, most(|c| c.messages_out as f64) / seconds),
        (Quantity::BytesIn, most(|c| c.bytes_in as f64) / seconds),
        (Quantity::BytesOut, most(|c| c.bytes_out as f64) / seconds),
    ];
    let times: Vec<f64> =
        own.iter().filter(|r| r.timed).map(|r| r.count.processor_nanoseconds.max(0.0)).collect();
    if !times.is_empty() {
        let nanoseconds = match role {
            Role::Proxy => times.iter().sum::<f64>() / times.len() as f64,
            _ => times.iter().copied().fold(0.0, f64::max),
        };
        all.push((Quantity::CoreShare, nanoseconds / seconds / 1e9));
    }
    if memory {
        all.push((Quantity::MemoryBytes, most(|c| c.memory as f64)));
    }
    all
}
