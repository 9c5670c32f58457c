//! System calls that fail for a moment. What Linux documents as passing is made again here and counted; only an error that
//! ends a connection is handed on. A call that keeps failing backs off, so that it takes no other task's turns.
use crate::clock::now;
use crate::net::sleep_until;
use async_io::Async;
use rustix::io::Errno;
use std::io::{Error, ErrorKind, Result};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};
use threadward_core::Micros;

/// A call that was interrupted so often in a row waits for its socket before it is made again.
const MAX_INTERRUPTIONS: u32 = 64;
/// The pause before a call is made again that lacked something of the system: descriptors, buffers, memory.
pub const BACKOFF: Micros = 10_000;

static RETRIED: AtomicU64 = AtomicU64::new(0);

/// How many calls have failed for a moment since the start, and were or will be made again.
pub fn retried_calls() -> u64 {
    RETRIED.load(Ordering::Relaxed)
}

/// Counts a call that is made again.
pub fn count_retry() {
    RETRIED.fetch_add(1, Ordering::Relaxed);
}

/// Makes a call on a socket that does not block, again where a signal interrupted it.
///
/// # Errors
/// What the call ends with, but never [`ErrorKind::Interrupted`].
pub fn uninterrupted<T>(mut call: impl FnMut() -> Result<T>) -> Result<T> {
    for _ in 0..MAX_INTERRUPTIONS {
        match call() {
            Err(e) if e.kind() == ErrorKind::Interrupted => count_retry(),
            done => return done,
        }
    }
    Err(ErrorKind::WouldBlock.into())
}

/// Waits until a socket can be read. That the wait itself fails says nothing of the socket.
pub async fn readable<T: AsFd>(socket: &Async<T>) {
    while socket.readable().await.is_err() {
        count_retry();
        sleep_until(now() + BACKOFF).await;
    }
}

/// The same for writing.
pub async fn writable<T: AsFd>(socket: &Async<T>) {
    while socket.writable().await.is_err() {
        count_retry();
        sleep_until(now() + BACKOFF).await;
    }
}

/// What a failed `accept` asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// No connection waits.
    NoneWaiting,
    /// That connection is gone, or the call was interrupted: the next one is accepted at once.
    RetryAtOnce,
    /// The system lacks something for now, or the error is not known: accepted again after [`BACKOFF`].
    RetryAfterBackoff,
}

impl AcceptFailure {
    /// What an error asks for. Linux passes errors of the new connection on through `accept`.
    pub fn of(error: &Error) -> AcceptFailure {
        if error.kind() == ErrorKind::WouldBlock {
            return AcceptFailure::NoneWaiting;
        }
        match Errno::from_io_error(error) {
            Some(
                Errno::INTR
                | Errno::CONNABORTED
                | Errno::PROTO
                | Errno::NOPROTOOPT
                | Errno::OPNOTSUPP
                | Errno::NETDOWN
                | Errno::NETUNREACH
                | Errno::HOSTDOWN
                | Errno::HOSTUNREACH
                | Errno::NONET
                | Errno::PERM
                | Errno::TIMEDOUT,
            ) => AcceptFailure::RetryAtOnce,
            _ => AcceptFailure::RetryAfterBackoff,
        }
    }
}

/// Accepts that failed in a row and were made again at once, before the next one waits: a lasting error must not spin.
const MAX_AT_ONCE: u32 = 16;

/// How a loop of accepts goes on after a failure.
#[derive(Default)]
pub struct AcceptRetry {
    in_row: u32,
}

impl AcceptRetry {
    /// A connection was accepted, or none waited.
    pub fn reset(&mut self) {
        self.in_row = 0;
    }

    /// Waits as the failure asks for; whether the next accept follows at once.
    pub async fn wait_after(&mut self, failure: AcceptFailure) -> bool {
        if failure == AcceptFailure::NoneWaiting {
            self.reset();
            return false;
        }
        count_retry();
        self.in_row += 1;
        let at_once = failure == AcceptFailure::RetryAtOnce && self.in_row <= MAX_AT_ONCE;
        if !at_once {
            sleep_until(now() + BACKOFF).await;
        }
        at_once
    }
}
