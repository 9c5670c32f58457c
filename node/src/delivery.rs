//! Whether what was written to a client has reached it.
//!
//! A write only hands bytes to the system, which sends them as the client makes room. If the connection is
//! closed before that, the client's next bytes are answered with a reset, which destroys what was not sent.
//!
//! What the client's system has acknowledged may still wait there for the client to read it, and the client
//! sees a close only behind it. Nothing tells when that is, so it is estimated from the slowest reader.
use crate::net::{now, sleep_until, OutgoingAnswer};
use async_io::Async;
use futures_lite::FutureExt;
use std::cell::Cell;
use std::net::TcpStream;
use threadward_core::Micros;

/// A client whose system acknowledges nothing for so long, while something is due to it, is taken for dead.
const STALL_TIMEOUT: Micros = 10_000_000;
/// How often a connection that takes no more of an answer is checked for progress.
const STALL_CHECK_INTERVAL: Micros = 500_000;
/// How often a connection with undelivered bytes is checked.
pub const DELIVERY_CHECK_INTERVAL: Micros = 20_000;

/// The rate at which the slowest client reads, in bytes per second.
const SLOWEST_READER: u64 = 50_000;
/// A client is taken to have read everything so long after the last byte was written, at the latest: its
/// system holds only a limited number of bytes.
const MAX_READING_TIME: Micros = 10_000_000;

/// How far the answers written to a client have come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryState {
    /// Everything written has been sent.
    Complete,
    /// Some of it waits for the client to make room.
    Pending,
    /// As pending, and the client has taken nothing for [`STALL_TIMEOUT`].
    Stalled,
}

/// Follows how much of what is written to a client it takes.
#[derive(Default)]
pub struct Delivery {
    /// Bytes written to the connection.
    written: Cell<u64>,
    /// Bytes of these that the client's system had acknowledged at the last check.
    acknowledged: Cell<u64>,
    /// When that number last grew, or something was due to the client after a time in which nothing was.
    progress_at: Cell<Micros>,
    /// When even the slowest client has read what was written.
    presumed_read_at: Cell<Micros>,
}

impl Delivery {
    /// Returns when even the slowest client has read everything that was written so far.
    pub fn presumed_read_at(&self) -> Micros {
        self.presumed_read_at.get()
    }

    /// Writes an answer, however long the client takes it. Returns false if the connection fails or the
    /// client stalls first.
    pub async fn write(&self, stream: &Async<TcpStream>, answer: &OutgoingAnswer) -> bool {
        self.progress_at.set(now());
        let stalled = async {
            self.wait_until_stalled(stream).await;
            false
        };
        answer.write(stream, |n| self.record_written(n, now())).or(stalled).await
    }

    /// Waits, while an answer is being written, until the client has taken nothing for [`STALL_TIMEOUT`]. The
    /// end of one write doesn't tell: the system accepts more only once a third of its buffer is free.
    async fn wait_until_stalled(&self, stream: &Async<TcpStream>) {
        while now() < self.progress_at.get() + STALL_TIMEOUT {
            sleep_until(now() + STALL_CHECK_INTERVAL).await;
            self.check(stream);
        }
    }

    /// Waits until everything written has been sent, or the client stalls.
    pub async fn wait_until_sent(&self, stream: &Async<TcpStream>) {
        while self.check(stream) == DeliveryState::Pending {
            sleep_until(now() + DELIVERY_CHECK_INTERVAL).await;
        }
    }

    /// Asks the system how far delivery has come. Where the system can't tell, all counts as delivered.
    pub fn check(&self, stream: &Async<TcpStream>) -> DeliveryState {
        let unacknowledged = threadward_sockets::unacknowledged_bytes(stream).unwrap_or(0);
        let unsent = threadward_sockets::unsent_bytes(stream).unwrap_or(0);
        self.update(unacknowledged, unsent, now())
    }

    /// Records that so many bytes were written at this time.
    pub fn record_written(&self, bytes: usize, at: Micros) {
        self.written.set(self.written.get() + bytes as u64);
        let reading_time = bytes as u64 * 1_000_000 / SLOWEST_READER;
        let read_at = self.presumed_read_at.get().max(at) + reading_time;
        self.presumed_read_at.set(read_at.min(at + MAX_READING_TIME));
    }

    /// Judges delivery by how many bytes are not acknowledged, and not even sent, at this time.
    pub fn update(&self, unacknowledged: usize, unsent: usize, at: Micros) -> DeliveryState {
        let acknowledged = self.written.get().saturating_sub(unacknowledged as u64);
        if acknowledged > self.acknowledged.get() {
            self.acknowledged.set(acknowledged);
            self.progress_at.set(at);
        }
        match unsent {
            0 => DeliveryState::Complete,
            _ if at >= self.progress_at.get() + STALL_TIMEOUT => DeliveryState::Stalled,
            _ => DeliveryState::Pending,
        }
    }
}
