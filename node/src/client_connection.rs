//! The state of a client's connection: when it times out, is evicted or released, and what keeps it open until
//! then.
use crate::delivery::{Delivery, DeliveryState, DELIVERY_CHECK_INTERVAL};
use crate::net::{self, now, sleep_until, Signal};
use async_io::Async;
use futures_lite::FutureExt;
use std::cell::Cell;
use std::net::TcpStream;
use threadward_core::Micros;

/// The state of a client's connection that decides when it is closed. The connection's own task keeps it up
/// to date.
pub struct ClientConnection {
    number: u64,
    opened_at: Micros,
    /// Whether a request on this connection was ever answered.
    was_answered: Cell<bool>,
    /// Since when no answer has been due.
    idle_since: Cell<Micros>,
    /// Whether an answer is due.
    busy: Cell<bool>,
    /// When the message that is being received began; `Micros::MAX` if none is.
    message_started_at: Cell<Micros>,
    /// When bytes were last received.
    last_received_at: Cell<Micros>,
    /// Whether bytes have been read whose messages haven't all been parsed.
    parsing: Cell<bool>,
    /// When it was asked to close in favour of another connection; `Micros::MAX` if it wasn't. It closes once
    /// no answer is due.
    evicted_at: Cell<Micros>,
    /// Since when the process has been ending or handing over; `Micros::MAX` if it isn't. The connection then
    /// closes once no answer is due.
    release_from: Cell<Micros>,
    /// Until when the rest of a message that is being received is waited for.
    message_deadline: Cell<Micros>,
    /// Whether it is lingering and must close at once, to make room for another lingering connection.
    cut_short: Cell<bool>,
    /// How far the answers written have come.
    pub delivery: Delivery,
    /// Since when the connection, though due to close, has been kept for answers that were written but not
    /// sent; `None` if it isn't.
    undelivered_since: Cell<Option<Micros>>,
    /// Until when a slow client is given time to read what its own system holds.
    slow_reader_until: Cell<Micros>,
    signal: Signal,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It timed out or was asked to close, and nothing is due to its client.
    Due,
    /// Its client doesn't take the answers that are due to it.
    Stalled,
}

/// What is known of a connection with no answer due, in the order in which such connections are evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionRank {
    /// It was never answered, and its client has sent nothing for a while.
    Silent,
    /// It was answered, and its client has read the answers: it sees the close at once.
    Answered,
    /// Its client has connected and is about to send a request. Nothing was written to it, so it sees the
    /// close at once as well, and connects anew.
    JustConnected,
    /// It was answered, and a client that reads slowly may still read. It sees the close only behind the
    /// answers, and loses a request that it sends meanwhile.
    MayStillRead,
    /// A message is arriving.
    Receiving,
}

/// A connection is closed if nothing more of a message arrives for so long, or if its client sends no request
/// for so long at first: a silent connection must not hold a descriptor.
const SILENCE_TIMEOUT: Micros = 2_000_000;
/// A message must be complete so long after its first byte, however slowly it arrives. This is longer than
/// any client waits.
const MESSAGE_TIMEOUT: Micros = 10_000_000;
/// A client that connected or sent bytes less than this long ago doesn't count as silent.
const RECENT_ACTIVITY_PERIOD: Micros = 500_000;
/// How often a connection that is due to close but has unread bytes is checked again.
pub const UNREAD_CHECK_INTERVAL: Micros = 2_000;
/// After so many checks such a connection is closed all the same: a client that keeps sending bytes without a
/// request must not hold a slot.
const MAX_UNREAD_CHECKS: u32 = 25;
/// How long a client that was answered may be idle. The usual clients close sooner, so that no request of
/// theirs crosses this close.
const IDLE_TIMEOUT: Micros = 6_000_000;

/// A client whose answers were sent this long after the connection was due to close reads slowly.
const SLOW_DELIVERY: Micros = 100_000;
/// How long after that the connection is kept: its client can't see the close, and may send requests, before
/// it has read what its own system holds.
const SLOW_READER_GRACE: Micros = 1_000_000;

impl ClientConnection {
    /// Creates the state of a connection that is accepted now.
    pub fn new(number: u64, at: Micros) -> ClientConnection {
        ClientConnection {
            number,
            opened_at: at,
            was_answered: Cell::new(false),
            idle_since: Cell::new(at),
            busy: Cell::new(false),
            message_started_at: Cell::new(Micros::MAX),
            last_received_at: Cell::new(at),
            parsing: Cell::new(false),
            evicted_at: Cell::new(Micros::MAX),
            release_from: Cell::new(Micros::MAX),
            message_deadline: Cell::new(Micros::MAX),
            cut_short: Cell::new(false),
            delivery: Delivery::default(),
            undelivered_since: Cell::new(None),
            slow_reader_until: Cell::new(0),
            signal: Signal::default(),
        }
    }
    /// Returns the number that the node gave it.
    pub fn number(&self) -> u64 {
        self.number
    }
    /// Sets whether an answer is due.
    pub fn set_busy(&self, busy: bool) {
        if self.busy.replace(busy) && !busy {
            self.idle_since.set(now());
            if self.release_from.get().min(self.evicted_at.get()) < Micros::MAX {
                self.signal.notify();
            }
        }
    }
    /// Records that a request on this connection was answered.
    pub fn set_answered(&self) {
        self.was_answered.set(true);
    }
    /// Sets whether a message is being received. A call with `true` also records that bytes arrived now.
    pub fn set_receiving(&self, in_progress: bool) {
        if !in_progress {
            return self.message_started_at.set(Micros::MAX);
        }
        self.last_received_at.set(now());
        if self.message_started_at.get() == Micros::MAX {
            self.message_started_at.set(now());
        }
    }
    /// Returns whether a message is being received.
    pub fn is_receiving(&self) -> bool {
        self.message_started_at.get() < Micros::MAX
    }
    /// Returns when bytes were last received.
    pub fn last_received_at(&self) -> Micros {
        self.last_received_at.get()
    }
    /// Sets whether messages are being parsed from the bytes read. When they all have been, wakes the check
    /// whether the connection is to close.
    pub fn set_parsing(&self, in_progress: bool) {
        self.parsing.set(in_progress);
        if !in_progress && now() >= self.close_due_at() {
            self.signal.notify();
        }
    }
    /// Returns when the connection times out, as things are; never while an answer is due.
    fn timeout_at(&self) -> Micros {
        match (self.message_started_at.get(), self.was_answered.get()) {
            // A due answer is still sent, even if the client begins another message and doesn't finish it.
            _ if self.busy.get() => Micros::MAX,
            // A client that still reads doesn't see the close and may send its next request after it.
            (Micros::MAX, true) => self.idle_since.get().max(self.delivery.presumed_read_at()) + IDLE_TIMEOUT,
            (Micros::MAX, false) => self.opened_at.max(self.idle_since.get()) + SILENCE_TIMEOUT,
            (started_at, _) => (self.last_received_at.get() + SILENCE_TIMEOUT)
                .min(started_at + MESSAGE_TIMEOUT)
                .min(self.message_deadline.get()),
        }
    }
    /// Returns the order in which connections with no answer due are evicted, the longest idle first within
    /// each rank.
    pub fn eviction_rank(&self, at: Micros) -> (EvictionRank, Micros) {
        let since = self.idle_since.get().max(self.last_received_at.get());
        let recent = since >= at.saturating_sub(RECENT_ACTIVITY_PERIOD);
        let rank = match (self.was_answered.get(), self.message_started_at.get() < Micros::MAX) {
            (_, true) if recent => EvictionRank::Receiving,
            (true, _) if at < self.delivery.presumed_read_at() => EvictionRank::MayStillRead,
            (true, _) => EvictionRank::Answered,
            (false, _) if recent => EvictionRank::JustConnected,
            (false, _) => EvictionRank::Silent,
        };
        (rank, since)
    }
    /// Asks the connection to close once no answer is due, in favour of another.
    pub fn evict(&self) {
        self.evicted_at.set(now());
        self.signal.notify();
    }
    /// Asks the connection to close once no answer is due, because the process ends or hands over to another.
    /// A message that is being received is waited for until `message_deadline`.
    pub fn release_when_idle(&self, message_deadline: Micros) {
        self.release_from.set(now());
        self.message_deadline.set(message_deadline);
        self.signal.notify();
    }
    /// Returns whether it was asked to close in favour of another and has no answer due, so that it is about
    /// to.
    pub fn is_leaving(&self) -> bool {
        self.evicted_at.get() < Micros::MAX && !self.awaits_delivery()
    }
    /// Returns whether it may be asked to close in favour of another.
    pub fn may_be_evicted(&self) -> bool {
        self.evicted_at.get() == Micros::MAX && !self.awaits_delivery()
    }
    /// Returns whether an answer is due, or was written and has not reached the client as far as is known.
    fn awaits_delivery(&self) -> bool {
        self.busy.get() || self.undelivered_since.get().is_some() || now() < self.slow_reader_until.get()
    }
    /// Returns whether it is due to close but kept for answers that were written and not sent.
    pub fn is_undelivered(&self) -> bool {
        self.undelivered_since.get().is_some()
    }
    /// Ends its lingering, to make room for another connection.
    pub fn cut_short(&self) {
        self.cut_short.set(true);
        self.signal.notify();
    }
    /// Waits until its lingering is to end early.
    pub async fn wait_until_cut_short(&self) {
        while !self.cut_short.get() {
            self.signal.wait().await;
        }
    }
    /// Returns when it is due to close, as things are.
    fn close_due_at(&self) -> Micros {
        let evicted_at = if self.busy.get() { Micros::MAX } else { self.evicted_at.get() };
        evicted_at.min(self.timeout_at()).min(self.release_at()).max(self.slow_reader_until.get())
    }
    /// Checks, for a connection that is due to close, how far its answers have come. Once a slow client has
    /// been sent everything, its time to be idle begins anew.
    fn check_delivery(&self, stream: &Async<TcpStream>) -> DeliveryState {
        let state = self.delivery.check(stream);
        match (self.undelivered_since.get(), state) {
            (None, DeliveryState::Pending) => self.undelivered_since.set(Some(now())),
            (Some(since), DeliveryState::Complete) => {
                self.undelivered_since.set(None);
                self.idle_since.set(now());
                if now() >= since + SLOW_DELIVERY {
                    self.slow_reader_until.set(now() + SLOW_READER_GRACE);
                }
            }
            _ => {}
        }
        state
    }
    /// Returns when a process that ends or hands over closes it, if no answer is due. A client that has just
    /// connected is about to send a request, which must not cross the close.
    fn release_at(&self) -> Micros {
        let idle = !self.busy.get() && self.message_started_at.get() == Micros::MAX;
        match (idle, self.was_answered.get()) {
            (false, _) => Micros::MAX,
            (true, true) => self.release_from.get(),
            (true, false) => self.release_from.get().max(self.opened_at + RECENT_ACTIVITY_PERIOD),
        }
    }
    /// Waits until the connection is due to close: it timed out, was evicted while descriptors were short, or
    /// the process ends or hands over. Bytes that wait to be read or parsed come first, as a request that has
    /// arrived completely is taken, and so do answers that the system has not sent yet.
    pub async fn wait_until_due(&self, stream: &Async<TcpStream>) -> CloseReason {
        let mut checks = 0;
        loop {
            let at = self.close_due_at();
            // State changes don't wake this task: a check now and then costs less than a wake-up for each.
            let next = if now() < at {
                checks = 0;
                if self.is_undelivered() {
                    self.check_delivery(stream);
                }
                at.min(now() + SILENCE_TIMEOUT / 4)
            } else if self.parsing.get() {
                now() + UNREAD_CHECK_INTERVAL
            } else if net::has_unread_bytes(stream) && checks < MAX_UNREAD_CHECKS {
                checks += 1;
                now() + UNREAD_CHECK_INTERVAL
            } else {
                match self.check_delivery(stream) {
                    DeliveryState::Pending => now() + DELIVERY_CHECK_INTERVAL,
                    DeliveryState::Stalled => return CloseReason::Stalled,
                    DeliveryState::Complete if now() < self.close_due_at() => continue,
                    DeliveryState::Complete => return CloseReason::Due,
                }
            };
            sleep_until(next).or(self.signal.wait()).await;
        }
    }
}
