//! What tests of several real processes on loopback need: faults on the links between them (`Relay`), the processes
//! themselves with their stops and a full disk (`Process`), and addresses that no other test has (`ports`). It owns no
//! verdict: a test says what has to hold. It must never be built into a program, nor touch a process that it did not
//! start. Linux only. A call that names a party that is not there is the test's mistake, and panics.
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

/// The point on the clock that is as far from now.
pub fn after(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

/// Whether something comes to hold before the deadline. It is looked at once more after it, so that a machine that was
/// busy until then decides nothing.
///
/// ```
/// use threadward_faults::{after, eventually};
/// let mut looks = 0;
/// assert!(eventually(after(5_000), || { looks += 1; looks == 3 }));
/// assert!(!eventually(after(10), || false));
/// ```
pub fn eventually(deadline: Instant, mut holds: impl FnMut() -> bool) -> bool {
    loop {
        let last = Instant::now() >= deadline;
        if holds() {
            return true;
        }
        if last {
            return false;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A test that failed while it held a lock is told by its own panic, not by this one.
fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}
