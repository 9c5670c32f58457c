//! Counts messages, bytes, processor time and memory of each hollow proxy and computes the figures of each
//! role.
use super::report::{Quantity, Role};
use super::stopwatch::{timed, Stopwatch};
use nickelgate::Micros;
use threadward_budgets::seal::TAG_BYTES;

/// Bytes of the authentication code of each datagram. Datagrams on zones have one of the same length.
pub const CODE_BYTES: u64 = TAG_BYTES as u64;

/// Returns the number of bytes that the program has allocated and not freed.
pub type MemoryProbe = fn() -> i64;

/// The counts of one process in one part of the control code. Messages and processor time are counted over
/// all starts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Count {
    /// Datagrams received.
    pub messages_in: u64,
    /// Datagrams sent.
    pub messages_out: u64,
    /// Bytes received, authentication codes included.
    pub bytes_in: u64,
    /// Bytes sent, authentication codes included.
    pub bytes_out: u64,
    /// Processor time of the timed calls, less the cost of reading the clock.
    pub processor_nanoseconds: f64,
    /// Bytes by which the state on the heap has grown since the last start.
    pub memory: i64,
}

impl Count {
    /// Returns the difference to an earlier count, with the present memory.
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

/// Measures processor time and memory of calls on the current thread.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    stopwatch: Stopwatch,
    memory: Option<MemoryProbe>,
}

impl Meter {
    /// Creates a meter and measures the cost of reading the clock, as the median of many pairs of readings.
    pub fn new(memory: Option<MemoryProbe>) -> Meter {
        Meter { stopwatch: Stopwatch::calibrated(), memory }
    }

    /// Returns the cost of one reading of the clock, in nanoseconds.
    pub fn clock_cost(&self) -> f64 {
        self.stopwatch.clock_nanoseconds()
    }

    /// Returns the bytes allocated now, or 0 without a memory probe.
    pub fn allocated(&self) -> i64 {
        self.memory.map_or(0, |probe| probe())
    }

    /// Returns whether memory is counted.
    pub fn counts_memory(&self) -> bool {
        self.memory.is_some()
    }

    /// Runs `call` and, if `is_timed`, adds its processor time to `count`.
    pub fn time<T>(&self, count: &mut Count, is_timed: bool, call: impl FnOnce() -> T) -> T {
        timed(is_timed.then_some(self.stopwatch), &mut count.processor_nanoseconds, call)
    }
}

/// The counts of one process in a window of time.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// The role of the process at the end of the window.
    pub role: Role,
    /// What the process did in the window.
    pub count: Count,
    /// Whether its calls were timed throughout the window.
    pub timed: bool,
}

/// Returns the figures of a role: the largest of all its processes. Only the processor time of ordinary
/// proxies is the mean of the timed ones, because the few calls of a single proxy are too short to measure.
/// Returns no figures if no process has the role.
pub fn figures(role: Role, readings: &[Reading], span: Micros, memory: bool) -> Vec<(Quantity, f64)> {
    let seconds = span as f64 / 1e6;
    let of_role: Vec<&Reading> = readings.iter().filter(|r| r.role == role).collect();
    if of_role.is_empty() {
        return Vec::new();
    }
    let largest = |of: fn(&Count) -> f64| of_role.iter().map(|r| of(&r.count)).fold(0.0, f64::max);
    let mut all = vec![
        (Quantity::MessagesIn, largest(|c| c.messages_in as f64) / seconds),
        (Quantity::MessagesOut, largest(|c| c.messages_out as f64) / seconds),
        (Quantity::BytesIn, largest(|c| c.bytes_in as f64) / seconds),
        (Quantity::BytesOut, largest(|c| c.bytes_out as f64) / seconds),
    ];
    let times: Vec<f64> =
        of_role.iter().filter(|r| r.timed).map(|r| r.count.processor_nanoseconds.max(0.0)).collect();
    if !times.is_empty() {
        let nanoseconds = match role {
            Role::Proxy => times.iter().sum::<f64>() / times.len() as f64,
            _ => times.iter().copied().fold(0.0, f64::max),
        };
        all.push((Quantity::CoreShare, nanoseconds / seconds / 1e9));
    }
    if memory {
        all.push((Quantity::MemoryBytes, largest(|c| c.memory as f64)));
    }
    all
}
