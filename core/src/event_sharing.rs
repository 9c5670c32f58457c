//! Events of discovery that the processes of one proxy share while a new version takes over.
//!
//! Discovery may reach one of the processes and not the other: its watch may have broken off, or a new call
//! may not be answered yet. What one process was notified of holds for the whole proxy, so each keeps a log
//! of its recent events ([`EventLog`]) for the others, and applies theirs ([`RelayedServers`]).
//!
//! Event numbers aren't compared between processes, because discovery counts anew for each start of a proxy.
//! A relayed event therefore never counts as received from discovery. It only makes what is known of a server
//! stricter (draining, gone, started later), until discovery itself has been heard for long enough. Nothing
//! here does I/O or reads a clock.
use crate::bans::ListedServer;
use crate::{Lifecycle, Micros, UnixTime};
use std::collections::{BTreeMap, VecDeque};

/// How long an event stays in the log. A new process knows from its configuration what was announced before
/// its start; this covers the time between the writing of the configuration and the first exchange.
const LOG_RETENTION: Micros = 10_000_000;
/// Maximum number of events in the log, and of relayed servers and purges that are remembered.
const MAX_EVENTS: usize = 20_000;
/// A relayed state of a server holds until discovery has been heard without a break for so long after it.
/// This is longer than an announcement may be under way.
const RELAYED_HOLD: Micros = 10_000_000;

/// What discovery has announced about a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerChange {
    /// Id of the server.
    pub id: String,
    /// Its state.
    pub state: Lifecycle,
    /// Its last start.
    pub started_at: UnixTime,
}

/// A purge. Its time of issue tells it from another one of the same object or group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Purge {
    /// The object; `None` for the whole group.
    pub object: Option<u64>,
    /// The group.
    pub group: u16,
    /// When it was issued.
    pub issued: UnixTime,
}

/// What a shared event announces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Announcement {
    /// A server has changed.
    Server(ServerChange),
    /// Copies are purged.
    Purge(Purge),
}

/// An event that a process received from discovery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedEvent {
    /// Its number in the log of that process, from 1.
    pub sequence: u64,
    /// When that process received it, on the monotonic clock, which all processes of a machine share.
    pub received_at: Micros,
    /// What it announces.
    pub announcement: Announcement,
}

impl SharedEvent {
    /// Returns whether the event may be news to a process that started at `started_at`. Older ones were
    /// known when its configuration was written; one of the future is from before the machine's last start.
    pub fn is_recent(&self, started_at: Micros, now: Micros) -> bool {
        self.received_at + LOG_RETENTION >= started_at && self.received_at <= now
    }
}

/// The events that a process has received from discovery lately.
#[derive(Debug, Default)]
pub struct EventLog {
    last_sequence: u64,
    events: VecDeque<SharedEvent>,
}

impl EventLog {
    /// Adds an event that was received now, and forgets those that are too old.
    pub fn record(&mut self, now: Micros, announcement: Announcement) {
        self.last_sequence += 1;
        self.events.push_back(SharedEvent { sequence: self.last_sequence, received_at: now, announcement });
        let is_old = |event: &SharedEvent| now.saturating_sub(event.received_at) > LOG_RETENTION;
        while self.events.len() > MAX_EVENTS || self.events.front().is_some_and(is_old) {
            self.events.pop_front();
        }
    }

    /// Returns the number of the latest event ever added; 0 if there was none.
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Returns the events, the oldest first.
    pub fn events(&self) -> impl Iterator<Item = &SharedEvent> {
        self.events.iter()
    }

    /// Returns whether a purge is in the log.
    fn contains_purge(&self, purge: Purge) -> bool {
        self.events.iter().any(|event| event.announcement == Announcement::Purge(purge))
    }
}

/// A server's state as another process was notified of it.
#[derive(Clone, Copy, Debug)]
struct RelayedState {
    state: Lifecycle,
    started_at: UnixTime,
    received_at: Micros,
}

/// How much a state forbids, for finding the stricter of two.
fn strictness(state: Lifecycle) -> u8 {
    match state {
        Lifecycle::Ready => 0,
        Lifecycle::Draining => 1,
        Lifecycle::Gone => 2,
    }
}

/// When discovery was heard.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryContact {
    /// When the present stream of events was opened.
    pub opened_at: Micros,
    /// By this time everything that had arrived on it was applied.
    pub caught_up_at: Micros,
}

/// States of servers that other processes of the proxy were notified of.
#[derive(Debug, Default)]
pub struct RelayedServers {
    by_id: BTreeMap<String, RelayedState>,
}

impl RelayedServers {
    /// Records a change that another process received; an older one than is known has no effect. Returns
    /// whether it was recorded.
    pub fn record(&mut self, change: &ServerChange, received_at: Micros) -> bool {
        let known = self.by_id.get(&change.id);
        let is_outdated = known.is_some_and(|known| known.received_at > received_at);
        if is_outdated || known.is_none() && self.by_id.len() >= MAX_EVENTS {
            return false;
        }
        let relayed = RelayedState { state: change.state, started_at: change.started_at, received_at };
        self.by_id.insert(change.id.clone(), relayed);
        true
    }

    /// Changes a server's entry to the stricter of its own state and the relayed one. A relayed state of an
    /// earlier start than the entry's has no effect.
    pub fn restrict(&self, server: &mut ListedServer) {
        let Some(relayed) = self.by_id.get(&server.id).filter(|r| r.started_at >= server.started_at) else {
            return;
        };
        server.started_at = relayed.started_at;
        if strictness(relayed.state) > strictness(server.entry.state) {
            server.entry.state = relayed.state;
        }
    }

    /// Forgets what discovery itself must have announced by now, if it was to. Returns the ids of the
    /// servers concerned.
    pub fn expire(&mut self, contact: DiscoveryContact) -> Vec<String> {
        let is_settled = |from: Micros| contact.caught_up_at >= from.max(contact.opened_at) + RELAYED_HOLD;
        let mut ids = Vec::new();
        self.by_id.retain(|id, relayed| {
            let settled = is_settled(relayed.received_at);
            if settled {
                ids.push(id.clone());
            }
            !settled
        });
        ids
    }
}

/// Purges that were received from discovery or from another process, so that each takes effect once.
#[derive(Debug, Default)]
pub struct PurgeFilter {
    /// Purges that were relayed and that discovery has not announced here yet.
    relayed: VecDeque<Purge>,
}

impl PurgeFilter {
    /// Returns whether a purge from another process is to be applied: it isn't if this process has it in its
    /// own log, or was relayed it before.
    pub fn accept_relayed(&mut self, log: &EventLog, purge: Purge) -> bool {
        if log.contains_purge(purge) || self.relayed.contains(&purge) {
            return false;
        }
        if self.relayed.len() >= MAX_EVENTS {
            self.relayed.pop_front();
        }
        self.relayed.push_back(purge);
        true
    }

    /// Returns whether a purge from discovery is to be applied: it isn't if it was applied when another
    /// process relayed it.
    pub fn accept_own(&mut self, purge: Purge) -> bool {
        let position = self.relayed.iter().position(|relayed| *relayed == purge);
        position.is_none_or(|position| self.relayed.remove(position).is_none())
    }
}
