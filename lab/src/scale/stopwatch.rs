//! Measures the processor time of calls on the current thread.
use rustix::time::{clock_gettime, ClockId};

/// Number of pairs of clock readings whose median is the cost of one reading. Odd, so that there is a middle
/// one.
const CALIBRATION_READINGS: usize = 2_001;

/// Returns the processor time that the current thread has used, in nanoseconds.
pub fn thread_nanoseconds() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e9 + time.tv_nsec as f64
}

/// Measures the current thread's processor time around a call and subtracts the cost of reading the clock.
#[derive(Clone, Copy, Debug)]
pub struct Stopwatch {
    clock_nanoseconds: f64,
}

impl Stopwatch {
    /// Measures the cost of reading the clock on the current thread, as the median of many empty calls.
    pub fn calibrated() -> Stopwatch {
        let empty = |_| {
            let from = thread_nanoseconds();
            thread_nanoseconds() - from
        };
        let mut costs: Vec<f64> = (0..CALIBRATION_READINGS).map(empty).collect();
        costs.sort_unstable_by(f64::total_cmp);
        Stopwatch { clock_nanoseconds: costs[CALIBRATION_READINGS / 2] }
    }

    /// Returns the cost of one reading of the clock, in nanoseconds.
    pub fn clock_nanoseconds(&self) -> f64 {
        self.clock_nanoseconds
    }
}

/// Runs `call` and, if a stopwatch is given, adds its processor time in nanoseconds to `total`.
pub fn timed<T>(stopwatch: Option<Stopwatch>, total: &mut f64, call: impl FnOnce() -> T) -> T {
    let Some(stopwatch) = stopwatch else { return call() };
    let from = thread_nanoseconds();
    let result = call();
    *total += thread_nanoseconds() - from - stopwatch.clock_nanoseconds;
    result
}
