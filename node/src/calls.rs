//! Retries of system calls that fail temporarily. Errors that Linux documents as transient are retried and
//! counted here; only an error that ends a connection is returned. A call that keeps failing backs off, so
//! that it doesn't starve other tasks.
use crate::clock::now;
use crate::net::sleep_until;
use async_io::Async;
use rustix::io::Errno;
use std::io::{Error, ErrorKind, Result};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};
use threadward_core::Micros;

/// A call that was interrupted so often in a row waits for its socket before it is retried.
const MAX_INTERRUPTED_CALLS: u32 = 64;
/// The pause before the retry of a call that failed for lack of a system resource: descriptors, buffers or
/// memory.
pub const BACKOFF: Micros = 10_000;

static RETRIED_CALLS: AtomicU64 = AtomicU64::new(0);

/// Returns how many calls have failed temporarily since the start and were, or will be, retried.
pub fn retried_calls() -> u64 {
    RETRIED_CALLS.load(Ordering::Relaxed)
}

/// Counts a call that is retried.
pub fn count_retry() {
    RETRIED_CALLS.fetch_add(1, Ordering::Relaxed);
}

/// Makes a call on a non-blocking socket and retries it if a signal interrupted it.
///
/// # Errors
/// Returns the error of the call, but never [`ErrorKind::Interrupted`]: after [`MAX_INTERRUPTED_CALLS`]
/// interruptions it is [`ErrorKind::WouldBlock`].
pub fn uninterrupted<T>(mut call: impl FnMut() -> Result<T>) -> Result<T> {
    for _ in 0..MAX_INTERRUPTED_CALLS {
        match call() {
            Err(e) if e.kind() == ErrorKind::Interrupted => count_retry(),
            result => return result,
        }
    }
    Err(ErrorKind::WouldBlock.into())
}

/// Waits until a socket is readable. A failure of the wait itself is retried, as it says nothing about the
/// socket.
pub async fn readable<T: AsFd>(socket: &Async<T>) {
    while socket.readable().await.is_err() {
        count_retry();
        sleep_until(now() + BACKOFF).await;
    }
}

/// Waits until a socket is writable, as [`readable`] does.
pub async fn writable<T: AsFd>(socket: &Async<T>) {
    while socket.writable().await.is_err() {
        count_retry();
        sleep_until(now() + BACKOFF).await;
    }
}

/// How to go on after a failed `accept`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// No connection was waiting.
    NoneWaiting,
    /// The connection is gone, or the call was interrupted: accept again at once.
    RetryAtOnce,
    /// The system lacks a resource, or the error is unknown: accept again after [`BACKOFF`].
    RetryAfterBackoff,
}

impl AcceptFailure {
    /// Classifies an error of `accept`. Linux reports errors of the new connection through it as well.
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

/// Limit on consecutive failed accepts that are retried at once, so that a lasting error doesn't cause a busy
/// loop.
const MAX_IMMEDIATE_RETRIES: u32 = 16;

/// Decides in an accept loop when to retry after a failure.
#[derive(Default)]
pub struct AcceptRetry {
    consecutive_failures: u32,
}

impl AcceptRetry {
    /// Forgets earlier failures, because a connection was accepted or none was waiting.
    pub fn reset(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Waits as long as the failure requires. Returns whether the retry follows at once.
    pub async fn wait_after(&mut self, failure: AcceptFailure) -> bool {
        if failure == AcceptFailure::NoneWaiting {
            self.reset();
            return false;
        }
        count_retry();
        self.consecutive_failures += 1;
        let immediate =
            failure == AcceptFailure::RetryAtOnce && self.consecutive_failures <= MAX_IMMEDIATE_RETRIES;
        if !immediate {
            sleep_until(now() + BACKOFF).await;
        }
        immediate
    }
}
