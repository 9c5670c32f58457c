//! Shares the events of discovery between the processes of one proxy, so that what one of them was notified
//! of holds in the others too.
//!
//! Connects the decisions of the core (`event_sharing`) with the node and with the shared files
//! ([`crate::ledger`]), which carry the events.
use crate::bulletin;
use crate::config::ListedServer;
use crate::events_file::format_events;
use crate::ledger::SharedFiles;
use crate::net::{log, now};
use crate::node::Node;
use std::cell::{Cell, RefCell};
use threadward_core::event_sharing::{
    Announcement, DiscoveryContact, EventLog, Purge, PurgeFilter, RelayedServers, ServerChange, SharedEvent,
};
use threadward_core::{Counter, Micros};

/// The events that this process received, and those that others relayed to it.
#[derive(Default)]
pub struct DiscoverySharing {
    log: RefCell<EventLog>,
    relayed_servers: RefCell<RelayedServers>,
    purge_filter: RefCell<PurgeFilter>,
    /// When the present stream of events was opened; `None` before the first one.
    pub stream_opened_at: Cell<Option<Micros>>,
    /// Number of the last event in the shared file.
    written_sequence: Cell<u64>,
    /// Number of the last event that could not be written, once that was logged.
    unwritten_sequence: Cell<u64>,
}

impl DiscoverySharing {
    /// Records changes of servers that discovery announced to this process.
    pub fn record_servers(&self, changes: Vec<ServerChange>) {
        let mut log = self.log.borrow_mut();
        changes.into_iter().for_each(|change| log.record(now(), Announcement::Server(change)));
    }

    /// Records a purge that discovery announced to this process. Returns whether it is to be applied: it
    /// isn't if it was applied when another process relayed it.
    pub fn record_purge(&self, purge: Purge) -> bool {
        self.log.borrow_mut().record(now(), Announcement::Purge(purge));
        self.purge_filter.borrow_mut().accept_own(purge)
    }

    /// Makes the entries of servers as strict as other processes of the proxy know them.
    pub fn restrict(&self, servers: &mut [ListedServer]) {
        let relayed = self.relayed_servers.borrow();
        servers.iter_mut().for_each(|server| relayed.restrict(server));
    }

    /// Writes the log for the other processes, if it has grown since it was last written.
    pub fn write(&self, files: &SharedFiles) {
        let log_of_events = self.log.borrow();
        let last = log_of_events.last_sequence();
        if last == self.written_sequence.get() {
            return;
        }
        match files.write_events(&format_events(log_of_events.events())) {
            Ok(()) => self.written_sequence.set(last),
            // Tried again at the next check.
            Err(why) if self.unwritten_sequence.replace(last) != last => {
                log(&format!("shift: other processes do not get the news of discovery: {why}"));
            }
            Err(_) => {}
        }
    }
}

/// Applies events that other processes of the proxy received.
pub fn apply_relayed(node: &Node, events: Vec<SharedEvent>) {
    let sharing = &node.discovery_sharing;
    let (mut changed, mut oldest) = (Vec::new(), Micros::MAX);
    for event in events {
        match event.announcement {
            Announcement::Purge(purge) => {
                let mut filter = sharing.purge_filter.borrow_mut();
                if filter.accept_relayed(&sharing.log.borrow(), purge) {
                    node.count(Counter::EventsRelayed);
                    node.plan(|p, now| p.purge(now, 0, purge.object, purge.group));
                }
            }
            Announcement::Server(change) => {
                if sharing.relayed_servers.borrow_mut().record(&change, event.received_at) {
                    node.count(Counter::EventsRelayed);
                    oldest = oldest.min(event.received_at);
                    changed.push(change.id);
                }
            }
        }
    }
    reapply(node, changed, now().saturating_sub(oldest));
}

/// Ends relayed states that discovery itself must have announced to this process by now.
pub fn expire_relayed(node: &Node) {
    let sharing = &node.discovery_sharing;
    let Some((opened_at, caught_up_at)) = sharing.stream_opened_at.get().zip(node.caught_up_at.get()) else {
        return;
    };
    let contact = DiscoveryContact { opened_at, caught_up_at };
    let expired = sharing.relayed_servers.borrow_mut().expire(contact);
    reapply(node, expired, Micros::MAX);
}

/// Applies the present state of servers anew. What changed of them was announced at most `max_age` ago.
fn reapply(node: &Node, ids: Vec<String>, max_age: Micros) {
    let servers: Vec<ListedServer> = {
        let bans = node.bans.borrow();
        ids.iter().filter_map(|id| bans.effective(id)).collect()
    };
    if !servers.is_empty() {
        bulletin::apply_changed(node, servers, max_age);
    }
}
