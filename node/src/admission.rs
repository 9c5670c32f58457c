//! Limits on what clients may hold: connections, and memory for messages that are still arriving.
use crate::client_connection::{ClientConnection, UNREAD_CHECK_INTERVAL};
use crate::net::{self, now, sleep_until};
use crate::node::Node;
use async_io::Async;
use futures_lite::FutureExt;
use std::net::TcpStream;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use threadward_core::{Counter, Micros};

/// One descriptor in this many is for lingering connections, on which writing has ended.
///
/// Descriptors are divided here: half of the limit is for the clients' connections, and this share is set
/// aside for lingering ones. The pool gets what remains of the other half after a fixed number for the
/// program itself (a constant of the pool): listeners, signals, discovery, one connection that has just been
/// accepted. No client ever gets one of these, so that discovery and the caches can be reached however many
/// clients there are.
const LINGERING_DIVISOR: usize = 32;
/// How long a connection lingers after writing has ended, before it is closed although its client hasn't
/// closed it.
const LINGER_TIMEOUT: Micros = 750_000;
/// One byte of the memory limit in this many may hold messages that are still arriving.
const RECEIVE_MEMORY_DIVISOR: usize = 8;

/// A slot among the clients' connections, with the state of its connection. It is freed when dropped, which
/// must happen together with the connection.
pub struct ConnectionSlot(Rc<Node>, pub Rc<ClientConnection>);

impl ConnectionSlot {
    /// Closes the connection in order: ends writing, then reads and discards what arrives, for a limited
    /// time or for as long as the client goes on taking what was written. No request from it is passed on any
    /// more. Meanwhile the connection counts as lingering, and it may be cut short if too many linger.
    pub async fn close(&self, stream: &Async<TcpStream>) {
        let ConnectionSlot(node, connection) = self;
        if node.open_clients.borrow_mut().remove(&connection.number()).is_some() {
            node.lingering.borrow_mut().push_back(connection.clone());
        }
        node.make_capacity(0);
        node.slot_freed.notify();
        let timeout = async {
            sleep_until(now() + LINGER_TIMEOUT).await;
            connection.delivery.wait_until_sent(stream).await;
        };
        net::shutdown_and_drain(stream, timeout).or(connection.wait_until_cut_short()).await;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let ConnectionSlot(node, connection) = self;
        node.open_clients.borrow_mut().remove(&connection.number());
        node.lingering.borrow_mut().retain(|g| !Rc::ptr_eq(g, connection));
        node.slot_freed.notify();
    }
}

/// What a client has sent and that is not handled yet. Its memory counts in the total of the node for as long
/// as it exists, also where a task is dropped.
pub struct ReceiveBuffer {
    node: Rc<Node>,
    bytes: Vec<u8>,
    counted_bytes: usize,
}

impl ReceiveBuffer {
    /// Creates an empty buffer, which holds no memory.
    pub fn new(node: &Rc<Node>) -> ReceiveBuffer {
        ReceiveBuffer { node: node.clone(), bytes: Vec::new(), counted_bytes: 0 }
    }

    /// Brings the total of the node up to date after the buffer has grown or was freed. A client may have to
    /// make room, perhaps this one.
    pub fn update_total(&mut self) {
        let total = self.node.receive_bytes.get() - self.counted_bytes + self.bytes.capacity();
        self.node.receive_bytes.set(total);
        let has_grown = self.bytes.capacity() > self.counted_bytes;
        self.counted_bytes = self.bytes.capacity();
        if has_grown {
            self.node.limit_receive_bytes();
        }
    }
}

impl Deref for ReceiveBuffer {
    type Target = Vec<u8>;
    fn deref(&self) -> &Vec<u8> {
        &self.bytes
    }
}

impl DerefMut for ReceiveBuffer {
    fn deref_mut(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }
}

impl Drop for ReceiveBuffer {
    fn drop(&mut self) {
        self.node.receive_bytes.set(self.node.receive_bytes.get() - self.counted_bytes);
    }
}

impl Node {
    /// Returns the number of open client connections.
    pub fn client_count(&self) -> usize {
        self.open_clients.borrow().len()
    }

    /// Returns the number of open and of lingering client connections: each holds a descriptor.
    pub fn connection_count(&self) -> usize {
        self.client_count() + self.lingering.borrow().len()
    }

    /// Returns this process's limit of open client connections.
    fn max_clients(&self) -> usize {
        (self.config.max_sockets / 2 / self.process_count.get()).max(1)
    }

    /// Evicts clients beyond the limit if no answer is due to them, after the limit was lowered.
    pub(crate) fn evict_beyond_limit(&self) {
        let (open_clients, at) = (self.open_clients.borrow(), now());
        let mut idle: Vec<&Rc<ClientConnection>> =
            open_clients.values().filter(|client| client.may_be_evicted()).collect();
        idle.sort_by_key(|client| client.eviction_rank(at));
        for client in idle.into_iter().take(open_clients.len().saturating_sub(self.max_clients())) {
            client.evict();
        }
        drop(open_clients);
        self.make_capacity(0);
    }

    /// Evicts a client if the messages that clients have begun take too much memory: the one that has sent
    /// nothing for the longest time, so that a client which stopped half way makes room for one that goes on.
    fn limit_receive_bytes(&self) {
        let limit = self.config.memory_bytes / RECEIVE_MEMORY_DIVISOR / self.process_count.get();
        if self.receive_bytes.get() <= limit {
            return;
        }
        let open_clients = self.open_clients.borrow();
        let receiving =
            open_clients.values().filter(|client| client.is_receiving() && client.may_be_evicted());
        if let Some(stalest) = receiving.min_by_key(|client| client.last_received_at()) {
            stalest.evict();
            self.count(Counter::Evicted);
        }
    }

    /// Returns whether `more` connections fit beside those that are open or linger. If they don't, cuts short
    /// the oldest lingering ones.
    fn make_capacity(&self, more: usize) -> bool {
        let lingering = self.lingering.borrow();
        let capacity = self.max_clients()
            + (self.config.max_sockets / LINGERING_DIVISOR / self.process_count.get()).max(1);
        let over = (self.client_count() + lingering.len() + more).saturating_sub(capacity);
        for g in lingering.iter().take(over) {
            g.cut_short();
        }
        over == 0
    }

    /// Waits for a slot for a new client. Every connection that holds a descriptor counts, so that the limit
    /// is never exceeded. When all slots are taken, a connection with no answer due is evicted, in the order
    /// of [`EvictionRank`](crate::client_connection::EvictionRank): silent connections must not keep the usual
    /// clients out. Returns `None` if answers are due on all of them.
    pub async fn admit_client(self: &Rc<Self>) -> Option<ConnectionSlot> {
        let mut asked = None;
        while self.evict_if_full(&mut asked) {
            if self.client_count() < self.max_clients() && self.make_capacity(1) {
                return Some(self.open_slot());
            }
            // Lets the tasks of the closing connections run.
            sleep_until(now() + UNREAD_CHECK_INTERVAL).or(self.slot_freed.wait()).await;
        }
        self.count(Counter::TurnedAway);
        None
    }

    /// If all slots are taken, evicts a connection, unless the one `asked` before is still about to close.
    /// Returns false if no connection can be evicted.
    fn evict_if_full(&self, asked: &mut Option<Rc<ClientConnection>>) -> bool {
        let (open_clients, at) = (self.open_clients.borrow(), now());
        // A request may have arrived on the connection asked before, which then stays open for its answer.
        let asked_leaves =
            asked.as_ref().is_some_and(|g| open_clients.contains_key(&g.number()) && g.is_leaving());
        if open_clients.len() < self.max_clients() || asked_leaves {
            return true;
        }
        let idle = open_clients.values().filter(|g| g.may_be_evicted());
        let Some(first) = idle.min_by_key(|g| g.eviction_rank(at)) else {
            return open_clients.values().any(|g| g.is_leaving());
        };
        first.evict();
        *asked = Some(first.clone());
        self.count(Counter::Evicted);
        true
    }

    /// Registers a new client connection and returns its slot.
    fn open_slot(self: &Rc<Self>) -> ConnectionSlot {
        let (number, at) = (self.next_number.replace(self.next_number.get() + 1), now());
        let connection = Rc::new(ClientConnection::new(number, at));
        if self.handing_over.get() || self.refuses_new_requests() {
            connection.release_when_idle(self.latest_answer_time());
        }
        self.open_clients.borrow_mut().insert(number, connection.clone());
        self.count(Counter::Accepted);
        ConnectionSlot(self.clone(), connection)
    }
}

/// Returns the limit of descriptors to give to the pool, which halves it: the pool's half then doesn't
/// include the descriptors of lingering connections.
pub(crate) fn without_lingering(sockets: usize) -> usize {
    sockets - 2 * (sockets / LINGERING_DIVISOR).max(1).min(sockets / 2)
}
