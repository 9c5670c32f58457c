//! The clocks of the program. Every span of time (a deadline, a window, a wait, a grace period) is measured
//! on the monotonic clock, which no step of the machine's wall clock moves. Unix time is read only here,
//! once, at the start: from then on it is that reading plus the time that has passed on the monotonic clock.
//! Unix time is used for points in time that are stored in files or sent to other machines.
use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use threadward_core::{Micros, UnixTime};

/// The value of the monotonic clock at the machine's start. It is not 0, so that earlier points in time, such
/// as the start of a cache server long ago, can be represented too.
const MONOTONIC_BASE: Micros = 1_000_000_000_000;

/// Returns the time of the monotonic clock in microseconds, which is the same for all processes of this
/// machine.
pub fn now() -> Micros {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    MONOTONIC_BASE + time.tv_sec as Micros * 1_000_000 + time.tv_nsec as Micros / 1_000
}

/// Returns Unix time: the wall clock's reading when this process first called this function, plus the time
/// that has passed on the monotonic clock since.
pub fn unix_now() -> UnixTime {
    static START: OnceLock<(UnixTime, Micros)> = OnceLock::new();
    let (wall, started) = START.get_or_init(|| (wall_clock(), now()));
    UnixTime::from_micros(wall.micros() + now().saturating_sub(*started))
}

#[allow(clippy::disallowed_methods, reason = "the one reading of the wall clock")]
fn wall_clock() -> UnixTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(UnixTime::default(), |span| UnixTime::from_micros(span.as_micros() as u64))
}

/// Returns how long ago a file was changed by the wall clock, or `None` if its time is in the future. A step
/// of the wall clock changes the result, so nothing may be decided by it alone.
#[allow(clippy::disallowed_methods, reason = "the time of a file is on the wall clock")]
pub fn file_age(changed: SystemTime) -> Option<Duration> {
    SystemTime::now().duration_since(changed).ok()
}
