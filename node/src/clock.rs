//! The clocks of the program. Every span (a deadline, a window, a wait, a grace) is counted on the monotonic clock, which no
//! step of the machine's wall clock moves. Unix time is read here alone, once, at the start: from then on it is that
//! reading plus the time that has passed on the monotonic clock. It names points to files and to other machines.
use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use threadward_core::{Micros, UnixTime};

/// What the monotonic clock shows at the machine's start: points before it, as the start of a cache server long ago,
/// have their place on it too.
const MONOTONIC_BASE: Micros = 1_000_000_000_000;

/// The monotonic clock in microseconds, the same for all processes of this machine.
pub fn now() -> Micros {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    MONOTONIC_BASE + time.tv_sec as Micros * 1_000_000 + time.tv_nsec as Micros / 1_000
}

/// Unix time, as the wall clock had it when this process first asked, and moved on by the monotonic clock alone since.
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

/// How long ago a file was changed by the wall clock; nothing where that lies ahead of it. A step of the clock moves it,
/// so it must decide nothing by itself.
#[allow(clippy::disallowed_methods, reason = "the time of a file is on the wall clock")]
pub fn file_age(changed: SystemTime) -> Option<Duration> {
    SystemTime::now().duration_since(changed).ok()
}
