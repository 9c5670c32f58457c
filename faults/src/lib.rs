//! Tools for tests of several real processes on loopback: faults on the links between them ([`Relay`]), the
//! processes themselves with stops and a full disk ([`Process`]), failing system calls and a stepped wall
//! clock ([`Shim`]), and addresses that no other test uses ([`ports`]). The tests decide what has to hold.
//!
//! The crate is for tests only, not for programs, and never touches a process that it did not start. Linux
//! only. A call that names a party that does not exist is a mistake in the test, and panics.
#![forbid(unsafe_code)]

pub mod ports;
mod process;
mod relay;
mod shim;

pub use process::{Process, ProcessBuilder, Signal};
pub use relay::{Fault, LinkCounters, Relay};
pub use shim::{Failure, FileFault, Shim};

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Returns the time that is `ms` milliseconds from now, as a deadline.
pub fn after(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

/// Waits until a condition holds or the deadline passes, and returns whether it held. The condition is
/// checked once more after the deadline, so that a test does not fail merely because the machine was busy
/// until then.
///
/// ```
/// use threadward_faults::{after, eventually};
/// let mut checks = 0;
/// assert!(eventually(after(5_000), || { checks += 1; checks == 3 }));
/// assert!(!eventually(after(10), || false));
/// ```
pub fn eventually(deadline: Instant, mut condition: impl FnMut() -> bool) -> bool {
    loop {
        let deadline_passed = Instant::now() >= deadline;
        if condition() {
            return true;
        }
        if deadline_passed {
            return false;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Locks a mutex, even a poisoned one: a test that failed while it held the lock is reported by its own
/// panic, and must not cause another one here.
fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}
