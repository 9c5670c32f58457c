//! Takes the processor time of calls on this thread.
use rustix::time::{clock_gettime, ClockId};

/// Pairs of clock readings from which the cost of one reading is taken.
const CALIBRATION_READINGS: usize = 2_001;

/// Processor time of this thread, in nanoseconds.
pub fn thread_nanoseconds() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e9 + time.tv_nsec as f64
}

/// Takes the processor time of this thread around a call, less what reading the clock costs.
#[derive(Clone, Copy, Debug)]
pub struct Stopwatch {
    clock_nanoseconds: f64,
}

impl Stopwatch {
    /// Measures the cost of the clock on this thread: the median of many empty calls.
    pub fn calibrated() -> Stopwatch {
        let empty = |_| {
            let from = thread_nanoseconds();
            thread_nanoseconds() - from
        };
        let mut costs: Vec<f64> = (0..CALIBRATION_READINGS).map(empty).collect();
        costs.sort_unstable_by(f64::total_cmp);
        Stopwatch { clock_nanoseconds: costs[CALIBRATION_READINGS / 2] }
    }

    /// What one reading of the clock costs, in nanoseconds.
    pub fn clock_nanoseconds(&self) -> f64 {
        self.clock_nanoseconds
    }
}

/// Carries out a call; with a stopwatch its processor time is added to the total.
pub fn timed<T>(stopwatch: Option<Stopwatch>, total: &mut f64, call: impl FnOnce() -> T) -> T {
    let Some(stopwatch) = stopwatch else { return call() };
    let from = thread_nanoseconds();
    let result = call();
    *total += thread_nanoseconds() - from - stopwatch.clock_nanoseconds;
    result
}
