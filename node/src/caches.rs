//! A RESP client with a pool of connections to each cache. The pool tracks the attempts in flight on every
//! connection and how far each of them was written.
//!
//! The pool neither chooses a member nor retries an attempt. It never calls the planner while the planner is
//! calling it: the end of an attempt is always reported from a task of its own or of a connection.
use crate::calls;
use crate::config::{ListedServer, Names};
use crate::net::{now, sleep_until, try_read, Signal};
use crate::wire;
use async_io::Async;
use futures_lite::{future, FutureExt};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::future::Future;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use threadward_core::send_check::{may_send, SendFacts};
use threadward_core::{
    Addr, AttemptEnd, Body, CacheAnswer, CacheTransport, Counter, Dispatch, Lifecycle, ListForm, Micros,
    Note, Outcome, Payload, Progress, Report,
};

/// Attempts in flight on a connection before another one is opened. Answers aren't interleaved, so that a
/// long one delays those behind it.
const TARGET_ATTEMPTS_PER_CONNECTION: usize = 4;
/// Connections to one member before a connection is given more than [`TARGET_ATTEMPTS_PER_CONNECTION`]
/// attempts. A member never has more than twice as many.
const TARGET_CONNECTIONS_PER_MEMBER: usize = 12;
/// File descriptors reserved for everything but clients and caches: listeners, signals, discovery, and
/// sockets that are being closed.
const RESERVED_DESCRIPTORS: usize = 40;
/// How long nothing may arrive of an answer that has begun before its connection is closed. The bytes of a
/// slow answer arrive in small pieces, far closer together.
const ANSWER_STALL_TIMEOUT: Micros = 1_000_000;
/// How often an attempt that has not reached its cache may be moved to another connection to that cache.
const MAX_MOVES: u8 = 2;
/// How long no further connection is opened to a member that refused one while others to it work.
const OPEN_PAUSE_AFTER_FAILURE: Micros = 2_000_000;
/// How long after its decision an attempt of which nothing is written may still be sent although a purge or a
/// list change was reported since. The grace that the settings give drains and purges applies where it is
/// shorter.
const NOTIFICATION_GRACE: Micros = 200_000;
/// Consecutive reads, of at most 64 KiB each, of what arrived on a connection that was idle or has ended.
const MAX_CATCH_UP_READS: usize = 16;
/// Expired ids that a connection remembers, so that a late answer is not mistaken for that of a newer
/// attempt.
const MAX_EXPIRED_IDS: usize = 512;

const REFUSED: ErrorKind = ErrorKind::ConnectionRefused;
const RESET: ErrorKind = ErrorKind::ConnectionReset;
const TIMED_OUT: ErrorKind = ErrorKind::TimedOut;

/// A listed member and its connections.
struct Server {
    id: String,
    socket_addr: SocketAddr,
    incarnation: u64,
    /// When it was listed with this address and incarnation. An attempt decided earlier was meant for another
    /// server.
    listed_at: Micros,
    connections: RefCell<Vec<Rc<CacheConnection>>>,
    /// No further connection is opened before this time while an existing one can take the attempt.
    open_not_before: Cell<Micros>,
}

/// The owner of a pool: runs the pool's tasks and receives its reports.
pub trait PoolOwner {
    /// Starts a task; `what` names it in the log.
    fn spawn_task(self: Rc<Self>, what: &'static str, task: Pin<Box<dyn Future<Output = ()>>>);
    /// Receives the end of an attempt.
    fn report_attempt_end(&self, request: u64, attempt: u16, end: AttemptEnd);
    /// Returns how many purges and list changes have been reported.
    fn epoch(&self) -> u64;
    /// Returns whether the client of a request still waits for its answer.
    fn client_waits(&self, request: u64) -> bool;
    /// Increments a counter.
    fn count(&self, counter: Counter);
    /// Receives the end of a load probe that the planner asked for.
    fn report_probe_end(&self, member: Addr, outcome: Outcome, report: Report);
}

/// The connections to all members, and the attempts in flight on them.
pub struct CachePool {
    names: Names,
    servers: RefCell<BTreeMap<Addr, Rc<Server>>>,
    in_flight: RefCell<HashMap<(u64, u16), Rc<CacheConnection>>>,
    /// Open connections to all members together.
    open_connections: Cell<usize>,
    /// The limit on `open_connections`.
    max_connections: Cell<usize>,
    /// Members that an operator has taken out of service: no attempt is sent to them, nor with them as the
    /// source of a fill.
    disabled: RefCell<BTreeSet<Addr>>,
    /// Memory held by answers that are still arriving, in bytes.
    pub buffered_bytes: Cell<usize>,
    /// Number of probes so far; the next probe's tag has it.
    probe_count: Cell<u64>,
    owner: RefCell<Option<Weak<dyn PoolOwner>>>,
}

/// The outcome of a probe and the load that the member reported.
type ProbeResult = (Outcome, Report);

/// A command that waits to be written to a cache.
enum QueueItem {
    /// Sends an attempt.
    Serve(Rc<Dispatch>),
    /// Cancels the request with this wire id. The attempt is reported as withdrawn once the command is
    /// written.
    Cancel(Box<str>, (u64, u16)),
    /// Sends a probe: its command word and its tag.
    Probe(&'static str, Box<str>),
}

/// An attempt in flight on a connection.
#[derive(Clone)]
struct PendingAttempt {
    dispatch: Rc<Dispatch>,
    progress: Progress,
    /// When a part of it was last written, [`Micros::MAX`] before the first byte.
    last_written_at: Micros,
    /// How often it was moved because a connection broke, or was retired, before it was fully written.
    moves: u8,
}

/// A connection to a cache.
struct CacheConnection {
    socket_addr: SocketAddr,
    /// Attempts by the client's id, which is also the id on the wire. An attempt that is not here is over
    /// even if it is still in the queue: the writer looks it up here before it writes the first byte.
    pending: RefCell<HashMap<Box<str>, PendingAttempt>>,
    queue: RefCell<VecDeque<QueueItem>>,
    /// Ids that this connection takes no longer: those of withdrawn attempts, and of answered ones where a
    /// second answer must not be taken for that of a later attempt.
    expired_ids: RefCell<VecDeque<Box<str>>>,
    /// Bytes that were read and don't form a complete answer yet.
    unparsed: RefCell<Vec<u8>>,
    /// The attempt whose cancel command is being written.
    cancel_in_progress: Cell<Option<(u64, u16)>>,
    /// Tags of the probes in flight, with the result of each that was answered.
    probes: RefCell<Vec<(Box<str>, Option<ProbeResult>)>>,
    signal: Signal,
    last_received_at: Cell<Micros>,
    last_used_at: Cell<Micros>,
    /// Takes no new attempt and closes once nothing is in flight on it.
    retired: Cell<bool>,
    /// Takes no new attempt because it has ended or never came up.
    closed: Cell<bool>,
    /// The cache sends nothing more, or has sent something malformed.
    input_ended: Cell<bool>,
    /// The TCP connection was established.
    connected: Cell<bool>,
    /// Part of an answer has arrived.
    has_partial_answer: Cell<bool>,
    /// That part belongs to nothing that was asked on this connection.
    has_unrequested_data: Cell<bool>,
    /// The capacity of `unparsed`.
    unparsed_bytes: Cell<usize>,
}

impl CacheConnection {
    /// Returns whether an answer has been outstanding for longer than `max_wait` and nothing was received for
    /// as long. The connection may then be cut off unnoticed, or carry an answer that never ends.
    fn is_silent(&self, now: Micros, max_wait: Micros) -> bool {
        let since = now.saturating_sub(max_wait);
        // An attempt that is not written yet has the latest possible time, so that it doesn't count.
        let oldest_write = self.pending.borrow().values().map(|attempt| attempt.last_written_at).min();
        oldest_write.is_some_and(|written_at| written_at < since) && self.last_received_at.get() < since
    }
    /// Returns whether the connection is usable and has received something since the given time.
    fn is_working(&self, since: Micros) -> bool {
        self.connected.get()
            && !self.closed.get()
            && !self.retired.get()
            && self.last_received_at.get() >= since
    }
    /// Returns whether another attempt or probe with this id may be queued here.
    fn can_take(&self, call_id: &str, max_attempts: usize) -> bool {
        let pending = self.pending.borrow();
        !self.retired.get()
            && !self.closed.get()
            && !self.has_unrequested_data.get()
            && pending.len() < max_attempts
            && !pending.contains_key(call_id)
            && !self.expired_ids.borrow().iter().any(|id| &**id == call_id)
    }
    /// Records that a further part of a request was written, or all of it.
    fn record_write(&self, call_id: Option<&str>, complete: bool) {
        let mut pending = self.pending.borrow_mut();
        if let Some(attempt) = call_id.and_then(|id| pending.get_mut(id)) {
            attempt.last_written_at = now();
            attempt.progress = if complete { Progress::FullyWritten } else { Progress::PartlyWritten };
        }
    }
    /// Stops the use of an id on this connection; forgets the oldest such id beyond [`MAX_EXPIRED_IDS`].
    fn expire_id(&self, call_id: Box<str>) {
        let mut expired_ids = self.expired_ids.borrow_mut();
        if expired_ids.len() == MAX_EXPIRED_IDS {
            expired_ids.pop_front();
        }
        expired_ids.push_back(call_id);
    }
    /// Returns whether no answer is outstanding: no attempt was written in part or whole, and every probe is
    /// answered.
    fn is_idle(&self) -> bool {
        self.pending.borrow().values().all(|attempt| attempt.progress == Progress::NotConnected)
            && self.probes.borrow().iter().all(|(_, result)| result.is_some())
    }
    /// Returns whether the beginning of an answer can belong to something that was asked on this connection.
    fn expects(&self, unparsed: &[u8]) -> bool {
        let id = wire::first_resp_part(unparsed);
        let matches = |call_id: &str| id == Some(call_id.as_bytes());
        self.pending
            .borrow()
            .iter()
            .any(|(call_id, attempt)| matches(call_id) && attempt.progress != Progress::NotConnected)
            || self.expired_ids.borrow().iter().any(|call_id| matches(call_id))
            || self.probes.borrow().iter().any(|(call_id, _)| matches(call_id))
            || id.is_none() && !self.is_idle()
    }
}

/// Returns how many connections to caches a process may hold if so many processes share the descriptors.
fn connection_limit(descriptors: usize, processes: usize) -> usize {
    ((descriptors - descriptors / 2) / processes.max(1)).saturating_sub(RESERVED_DESCRIPTORS).max(4)
}

impl CachePool {
    /// Creates a pool. `descriptors` is the limit on file descriptors; half of them are for clients.
    pub fn new(names: Names, descriptors: usize) -> Rc<CachePool> {
        Rc::new(CachePool {
            open_connections: Cell::new(0),
            buffered_bytes: Cell::new(0),
            probe_count: Cell::new(0),
            max_connections: Cell::new(connection_limit(descriptors, 1)),
            disabled: RefCell::default(),
            names,
            servers: RefCell::default(),
            in_flight: RefCell::default(),
            owner: RefCell::default(),
        })
    }

    /// Sets the limit on connections for a process that is one of `processes` sharing the descriptors.
    pub fn share_descriptors(&self, descriptors: usize, processes: usize) {
        self.max_connections.set(connection_limit(descriptors, processes));
    }

    /// Replaces the set of members that an operator has taken out of service.
    pub fn set_disabled(&self, members: BTreeSet<Addr>) {
        *self.disabled.borrow_mut() = members;
    }

    /// Sets the owner that runs the pool's tasks and receives its reports.
    pub fn set_owner(&self, owner: &Rc<dyn PoolOwner>) {
        *self.owner.borrow_mut() = Some(Rc::downgrade(owner));
    }

    fn owner(&self) -> Option<Rc<dyn PoolOwner>> {
        self.owner.borrow().as_ref().and_then(Weak::upgrade)
    }

    /// Applies a change of the member list. The old connections of a member that left or restarted get no new
    /// attempts. Returns the members whose socket address another, ready member has now: they are gone
    /// although this was not reported, and an attempt meant for them would reach the new member.
    pub fn update_listed(&self, form: ListForm, listed: &[ListedServer]) -> Vec<Addr> {
        let ready = |new: &&ListedServer| new.entry.state == Lifecycle::Ready;
        let ready_at = |socket_addr: SocketAddr| {
            listed.iter().filter(ready).find(move |new| new.socket_addr == socket_addr)
        };
        let mut displaced = Vec::new();
        let mut servers = self.servers.borrow_mut();
        let retire = |server: &Server| {
            for conn in server.connections.borrow().iter() {
                conn.retired.set(true);
                conn.signal.notify();
            }
        };
        if form != ListForm::Delta {
            servers.retain(|addr, server| {
                let stays = listed.iter().any(|new| new.entry.addr == *addr);
                if !stays {
                    retire(server);
                }
                stays
            });
        }
        servers.retain(|addr, server| {
            let stays = ready_at(server.socket_addr).is_none_or(|new| new.entry.addr == *addr);
            if !stays {
                displaced.push(*addr);
                retire(server);
            }
            stays
        });
        for new in listed {
            let addr = new.entry.addr;
            let same = servers.get(&addr).is_some_and(|server| {
                server.socket_addr == new.socket_addr && server.incarnation == new.entry.incarnation
            });
            if same && new.entry.state != Lifecycle::Gone {
                continue;
            }
            if let Some(old) = servers.remove(&addr) {
                retire(&old);
            }
            if new.entry.state != Lifecycle::Gone {
                if new.entry.state != Lifecycle::Ready
                    && servers.values().any(|server| server.socket_addr == new.socket_addr)
                {
                    continue;
                }
                let (id, socket_addr, incarnation) = (new.id.clone(), new.socket_addr, new.entry.incarnation);
                let (connections, open_not_before) = (RefCell::default(), Cell::new(0));
                servers.insert(
                    addr,
                    Rc::new(Server {
                        id,
                        socket_addr,
                        incarnation,
                        listed_at: now(),
                        connections,
                        open_not_before,
                    }),
                );
            }
        }
        displaced
    }

    /// Returns how many members are listed.
    pub fn member_count(&self) -> usize {
        self.servers.borrow().len()
    }

    /// Returns the id of a listed member.
    pub fn member_id(&self, a: Addr) -> Option<String> {
        self.servers.borrow().get(&a).map(|s| s.id.clone())
    }

    /// Reports the end of an attempt from a task of its own, for callers that the planner is calling.
    fn report_later(self: &Rc<Self>, request: u64, attempt: u16, end: AttemptEnd) {
        let pool = self.clone();
        if let Some(owner) = self.owner() {
            owner.spawn_task("report", Box::pin(async move { pool.report(request, attempt, end) }));
        }
    }

    /// Forgets an attempt and reports its end.
    fn report(&self, request: u64, attempt: u16, end: AttemptEnd) {
        self.in_flight.borrow_mut().remove(&(request, attempt));
        if let Some(owner) = self.owner() {
            owner.report_attempt_end(request, attempt, end);
        }
    }

    fn count(&self, counter: Counter) {
        if let Some(owner) = self.owner() {
            owner.count(counter);
        }
    }

    /// Queues an attempt on a connection to its member, or reports it as outdated if that is not possible.
    fn enqueue(self: &Rc<Self>, dispatch: Rc<Dispatch>, moves: u8) {
        let server = self
            .servers
            .borrow()
            .get(&dispatch.member)
            .cloned()
            .filter(|s| s.listed_at <= dispatch.decided_at);
        let Some(server) = server else {
            return self.report_later(dispatch.request, dispatch.attempt, AttemptEnd::Outdated);
        };
        let Some(conn) = self.select_or_open(&server, &dispatch.client_request.call_id) else {
            // A shortage of descriptors or connections is local to this proxy and says nothing about the
            // member.
            return self.report_later(dispatch.request, dispatch.attempt, AttemptEnd::Outdated);
        };
        let p = PendingAttempt {
            dispatch: dispatch.clone(),
            progress: Progress::NotConnected,
            last_written_at: Micros::MAX,
            moves,
        };
        self.in_flight.borrow_mut().insert((dispatch.request, dispatch.attempt), conn.clone());
        conn.pending.borrow_mut().insert(dispatch.client_request.call_id.clone(), p);
        conn.queue.borrow_mut().push_back(QueueItem::Serve(dispatch));
        conn.signal.notify();
    }

    /// Returns the least loaded usable connection to a member, or opens another one. Returns nothing if no
    /// connection can take the attempt and no further one may be opened.
    fn select_or_open(self: &Rc<Self>, server: &Rc<Server>, call: &str) -> Option<Rc<CacheConnection>> {
        let at = now();
        let connections = server.connections.borrow();
        let usable = connections.iter().filter(|conn| conn.can_take(call, self.names.streams_per_connection));
        let least_loaded = usable
            .filter(|conn| !conn.is_silent(at, self.names.connect_timeout))
            .min_by_key(|conn| conn.pending.borrow().len());
        let open_count = connections.iter().filter(|conn| !conn.closed.get()).count();
        let may_open_another = open_count < TARGET_CONNECTIONS_PER_MEMBER
            && self.open_connections.get() < self.max_connections.get()
            && at >= server.open_not_before.get();
        match least_loaded {
            Some(conn)
                if conn.pending.borrow().len() < TARGET_ATTEMPTS_PER_CONNECTION || !may_open_another =>
            {
                return Some(conn.clone())
            }
            None if open_count >= TARGET_CONNECTIONS_PER_MEMBER * 2
                || self.open_connections.get() >= self.max_connections.get() =>
            {
                return None
            }
            _ => drop(connections),
        }
        let opened = Rc::new(CacheConnection {
            socket_addr: server.socket_addr,
            pending: RefCell::default(),
            queue: RefCell::default(),
            expired_ids: RefCell::default(),
            unparsed: RefCell::default(),
            cancel_in_progress: Cell::default(),
            probes: RefCell::default(),
            signal: Signal::default(),
            last_received_at: Cell::new(at),
            last_used_at: Cell::new(at),
            retired: Cell::new(false),
            closed: Cell::new(false),
            input_ended: Cell::new(false),
            connected: Cell::new(false),
            has_partial_answer: Cell::new(false),
            has_unrequested_data: Cell::new(false),
            unparsed_bytes: Cell::new(0),
        });
        server.connections.borrow_mut().push(opened.clone());
        let (pool, member, conn) = (self.clone(), server.clone(), opened.clone());
        self.open_connections.set(self.open_connections.get() + 1);
        let guard = ConnectionGuard(pool.clone(), member.clone(), conn.clone());
        let task = async move {
            let _guard = guard;
            pool.run_connection(&member, &conn).await;
        };
        match self.owner() {
            Some(owner) => owner.spawn_task("cache connection", Box::pin(task)),
            None => return None,
        }
        Some(opened)
    }

    /// Probes a member on a connection of the pool, with the word `health` for its health alone or `gauges`
    /// for its load as well, and returns the result within the connect timeout. Returns nothing if the member
    /// is not listed or is out of service, or if there is no connection for the probe.
    pub async fn probe(self: &Rc<Self>, member: Addr, word: &'static str) -> Option<ProbeResult> {
        let server = self.servers.borrow().get(&member).cloned()?;
        if self.disabled.borrow().contains(&member) {
            return None;
        }
        let tag: Box<str> = format!("probe-{}", self.probe_count.replace(self.probe_count.get() + 1)).into();
        let conn = self.select_or_open(&server, &tag)?;
        conn.probes.borrow_mut().push((tag.clone(), None));
        conn.queue.borrow_mut().push_back(QueueItem::Probe(word, tag.clone()));
        conn.signal.notify();
        let until = now() + self.names.connect_timeout;
        let result = |conn: &CacheConnection| {
            conn.probes.borrow().iter().find(|(t, _)| *t == tag).and_then(|(_, result)| *result)
        };
        while now() < until && !conn.closed.get() && result(&conn).is_none() {
            sleep_until(now() + 5_000).await;
        }
        let answered = result(&conn);
        conn.probes.borrow_mut().retain(|(t, _)| *t != tag);
        let without_answer = if conn.closed.get() { Outcome::ConnectFailed } else { Outcome::Timeout };
        Some(answered.unwrap_or((without_answer, Report::default())))
    }

    /// Runs a connection from its establishment to its end, then moves or reports the attempts left on it.
    async fn run_connection(self: &Rc<Self>, server: &Rc<Server>, conn: &Rc<CacheConnection>) {
        let until = now() + self.names.connect_timeout;
        let connected = async { Async::<TcpStream>::connect(conn.socket_addr).await };
        let timeout = async { (sleep_until(until).await, Err(ErrorKind::TimedOut.into())).1 };
        let connect_error = match connected.or(timeout).await {
            Ok(stream) => {
                self.count(Counter::Opened);
                stream.get_ref().set_nodelay(true).ok();
                conn.last_received_at.set(now());
                conn.connected.set(true);
                self.write_queue(conn, &stream)
                    .or(self.read_answers(conn, &stream))
                    .or(self.wait_until_unwanted(conn))
                    .await;
                // No attempt is added from here on. If a write failed, answers may have arrived before.
                conn.closed.set(true);
                self.read_available(conn, &stream);
                None
            }
            Err(e) => Some(e),
        };
        conn.closed.set(true);
        let pending = std::mem::take(&mut *conn.pending.borrow_mut());
        // A cancel command that can't be written any more is done: the connection it was meant for is gone.
        let queued = std::mem::take(&mut *conn.queue.borrow_mut());
        let cancelled =
            queued.into_iter().filter_map(|i| if let QueueItem::Cancel(_, a) = i { Some(a) } else { None });
        for (request, attempt) in conn.cancel_in_progress.take().into_iter().chain(cancelled) {
            self.report(request, attempt, AttemptEnd::Withdrawn);
        }
        if !pending.is_empty() {
            self.count(Counter::Broken);
        }
        // A connection that can't be established counts as a failure of the member unless other connections
        // to it work (the member then accepts no further ones) or the error is local to this machine.
        let local_failure =
            connect_error.as_ref().is_some_and(|e| !matches!(e.kind(), REFUSED | RESET | TIMED_OUT));
        let recently = now().saturating_sub(self.names.connect_timeout);
        let others_work = server.connections.borrow().iter().any(|o| o.is_working(recently));
        if connect_error.is_some() && others_work {
            server.open_not_before.set(now() + OPEN_PAUSE_AFTER_FAILURE);
        }
        for pending_attempt in pending.into_values() {
            let dispatch = &pending_attempt.dispatch;
            // A connection that broke before the request was fully written proves that the request didn't
            // run. If it had been established, it proves nothing about the member: devices in between reset
            // idle and new connections.
            let not_fully_written = pending_attempt.progress != Progress::FullyWritten;
            if not_fully_written && local_failure {
                self.report(dispatch.request, dispatch.attempt, AttemptEnd::Outdated);
            } else if not_fully_written
                && (connect_error.is_none() || others_work)
                && pending_attempt.moves < MAX_MOVES
            {
                self.enqueue(dispatch.clone(), pending_attempt.moves + 1);
            } else {
                self.report(
                    dispatch.request,
                    dispatch.attempt,
                    AttemptEnd::ConnectionFailed(pending_attempt.progress),
                );
            }
        }
    }

    /// Waits until the connection is to be closed: unused and retired or past its keepalive time, or stalled
    /// in the middle of an answer.
    async fn wait_until_unwanted(&self, conn: &CacheConnection) {
        loop {
            let unused = conn.pending.borrow().is_empty() && conn.queue.borrow().is_empty();
            // Before the cache closes it, so that no request is sent while the cache is closing.
            if unused
                && (conn.retired.get() || now() >= conn.last_used_at.get() + self.names.keepalive / 10 * 8)
            {
                return;
            }
            // The connection is of no use to the other requests on it either: they may be retried as their
            // class allows.
            if conn.has_partial_answer.get() && now() >= conn.last_received_at.get() + ANSWER_STALL_TIMEOUT {
                return self.count(Counter::Stalled);
            }
            let stalls_at = if conn.has_partial_answer.get() {
                conn.last_received_at.get() + ANSWER_STALL_TIMEOUT
            } else {
                Micros::MAX
            };
            sleep_until(stalls_at.min(now() + if unused { 500_000 } else { 250_000 })).await;
        }
    }

    /// Writes the queued commands until the connection is unusable.
    async fn write_queue(self: &Rc<Self>, conn: &CacheConnection, stream: &Async<TcpStream>) {
        loop {
            // The next command is determined in the same poll that writes its first byte. An attempt that was
            // withdrawn or became unsendable while the cache accepted no data is therefore not written.
            let (bytes, call_id) = match self.next_write(conn, stream) {
                NextWrite::Bytes(bytes, call_id) => (bytes, call_id),
                NextWrite::Nothing => {
                    conn.signal.wait().await;
                    continue;
                }
                NextWrite::Close => return,
            };
            let mut written = match calls::uninterrupted(|| stream.get_ref().write(&bytes)) {
                Ok(n) if n > 0 => n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    // The head of the queue may be another one by then and is determined anew.
                    calls::writable(stream).await;
                    continue;
                }
                _ => return,
            };
            if let Some(QueueItem::Cancel(_, attempt)) = conn.queue.borrow_mut().pop_front() {
                conn.cancel_in_progress.set(Some(attempt));
            }
            conn.last_used_at.set(now());
            loop {
                conn.record_write(call_id.as_deref(), written == bytes.len());
                if written == bytes.len() {
                    break;
                }
                match calls::uninterrupted(|| stream.get_ref().write(&bytes[written..])) {
                    Ok(n) if n > 0 => written += n,
                    Err(e) if e.kind() == ErrorKind::WouldBlock => calls::writable(stream).await,
                    _ => return,
                }
            }
            if let Some((request, attempt)) = conn.cancel_in_progress.take() {
                self.report(request, attempt, AttemptEnd::Withdrawn);
            }
        }
    }

    /// Returns the command to write next, which stays at the head of the queue until its first byte is
    /// written. Removes the attempts at the head that may not be sent here, and moves them to another
    /// connection or reports them.
    fn next_write(self: &Rc<Self>, conn: &CacheConnection, stream: &Async<TcpStream>) -> NextWrite {
        loop {
            let dispatch = match conn.queue.borrow().front() {
                None => return NextWrite::Nothing,
                Some(QueueItem::Cancel(call, _)) => {
                    return NextWrite::Bytes(wire::encode_resp(&[b"cancel", call.as_bytes()]), None)
                }
                Some(QueueItem::Probe(word, tag)) => {
                    return NextWrite::Bytes(wire::encode_resp(&[word.as_bytes(), tag.as_bytes()]), None)
                }
                Some(QueueItem::Serve(dispatch)) => dispatch.clone(),
            };
            // On an idle connection, what has arrived meanwhile is read first: its end, or unrequested data.
            if conn.is_idle() && (!self.read_available(conn, stream) || conn.has_unrequested_data.get()) {
                return NextWrite::Close;
            }
            // Reading may have ended the attempt.
            if !matches!(conn.queue.borrow().front(), Some(QueueItem::Serve(f)) if Rc::ptr_eq(f, &dispatch)) {
                continue;
            }
            let moves = conn
                .pending
                .borrow()
                .get(&dispatch.client_request.call_id)
                .filter(|p| Rc::ptr_eq(&p.dispatch, &dispatch))
                .map(|p| p.moves);
            let bytes = moves
                .filter(|_| !conn.retired.get() && self.may_send_now(&dispatch))
                .and_then(|_| self.encode_attempt(&dispatch));
            if let Some(bytes) = bytes {
                return NextWrite::Bytes(bytes, Some(dispatch.client_request.call_id.clone()));
            }
            conn.queue.borrow_mut().pop_front();
            let Some(moves) = moves else { continue };
            conn.pending.borrow_mut().remove(&dispatch.client_request.call_id);
            // The connection is retired, but the member may still be used.
            if conn.retired.get() && moves < MAX_MOVES && self.may_send_now(&dispatch) {
                self.in_flight.borrow_mut().remove(&(dispatch.request, dispatch.attempt));
                self.enqueue(dispatch, moves + 1);
            } else {
                self.report(dispatch.request, dispatch.attempt, AttemptEnd::Outdated);
            }
        }
    }

    /// Returns whether the first byte of an attempt may be written now, regardless of the connection's state.
    /// Counts the reason if not.
    fn may_send_now(&self, dispatch: &Dispatch) -> bool {
        let Some(owner) = self.owner() else { return false };
        let disabled = self.disabled.borrow();
        let facts = SendFacts {
            now: now(),
            decided_at: dispatch.decided_at,
            // Purges and drains reported since the decision count up to the first byte.
            notified_since: owner.epoch() != dispatch.epoch,
            grace: NOTIFICATION_GRACE.min(self.names.epoch_grace),
            send_by: dispatch.send_by,
            // A ban holds from the moment it is acknowledged, also for an attempt decided just before.
            server_out: [Some(dispatch.member), dispatch.source]
                .into_iter()
                .flatten()
                .any(|a| disabled.contains(&a)),
            client_waits: owner.client_waits(dispatch.request),
        };
        let verdict = may_send(&facts);
        if let Err(why) = verdict {
            owner.count(why.counter());
        }
        verdict.is_ok()
    }

    /// Encodes an attempt as a `serve` command. Returns nothing if its class or its source is unknown.
    fn encode_attempt(&self, dispatch: &Dispatch) -> Option<Vec<u8>> {
        let request = &dispatch.client_request;
        let class = self.names.classes.get(usize::from(request.class))?;
        let remaining_ms = dispatch.expires_at.saturating_sub(now()) / 1000;
        let mut fields = format!(
            "queue={class},path={},blk={},budget={}",
            request.object_name,
            request.part,
            remaining_ms.max(1)
        );
        let mut add_field = |name: &str, value: &str| {
            fields.push(',');
            fields.push_str(name);
            fields.push('=');
            fields.push_str(value);
        };
        if let Some(key) = &request.idempotency_key {
            add_field("uniq", key);
        }
        if let Some(source) = dispatch.source {
            add_field("fetch", &self.member_id(source)?);
        }
        if dispatch.keep_rank > 0 {
            add_field("retain", &dispatch.keep_rank.to_string());
        }
        if dispatch.max_age > 0 {
            add_field("newer", &(dispatch.max_age / 1000).max(1).to_string());
        }
        let flags = [
            (dispatch.join_fill, "coalesce"),
            (dispatch.only_held, "shallow"),
            (dispatch.parent_keeps_none, "transit"),
            (dispatch.refresh_in_background, "freshen"),
        ];
        let enabled_flags: Vec<&str> = flags.iter().filter(|(on, _)| *on).map(|(_, word)| *word).collect();
        if !enabled_flags.is_empty() {
            add_field("handle", &enabled_flags.join("+"));
        }
        if let Some(tag) = &request.tag {
            add_field("holds", tag);
        }
        Some(wire::encode_resp(&[b"serve", request.call_id.as_bytes(), fields.as_bytes(), &request.body]))
    }

    /// Reads and reports answers until the connection is unusable.
    async fn read_answers(&self, conn: &CacheConnection, stream: &Async<TcpStream>) {
        loop {
            match self.read_once(conn, stream) {
                ReadResult::More => future::yield_now().await,
                ReadResult::Empty => calls::readable(stream).await,
                ReadResult::End => return,
            }
        }
    }

    /// Reads what has arrived, without waiting. Returns false if the connection has ended or if there is
    /// still more after [`MAX_CATCH_UP_READS`] reads.
    fn read_available(&self, conn: &CacheConnection, stream: &Async<TcpStream>) -> bool {
        (0..MAX_CATCH_UP_READS).map(|_| self.read_once(conn, stream)).find(|t| *t != ReadResult::More)
            == Some(ReadResult::Empty)
    }

    /// Reads once, without waiting, and reports the complete answers. The connection is unusable after
    /// [`ReadResult::End`].
    fn read_once(&self, conn: &CacheConnection, stream: &Async<TcpStream>) -> ReadResult {
        if conn.input_ended.get() {
            return ReadResult::End;
        }
        // The buffer is taken out, because a report may lead back to this connection.
        let mut buf = conn.unparsed.take();
        let result = match try_read(stream, &mut buf, 64 * 1024) {
            Some(0) => ReadResult::End,
            Some(_) if self.report_answers(conn, &mut buf) => ReadResult::More,
            Some(_) => ReadResult::End,
            None => ReadResult::Empty,
        };
        conn.input_ended.set(result == ReadResult::End);
        conn.has_partial_answer.set(!buf.is_empty());
        conn.has_unrequested_data.set(!buf.is_empty() && !conn.expects(&buf));
        let previous_bytes = conn.unparsed_bytes.replace(buf.capacity());
        self.buffered_bytes.set(self.buffered_bytes.get() + buf.capacity() - previous_bytes);
        conn.unparsed.replace(buf);
        result
    }

    /// Reports the complete answers in the buffer and removes them from it. Returns false if one is
    /// malformed: the connection is then closed.
    fn report_answers(&self, conn: &CacheConnection, buf: &mut Vec<u8>) -> bool {
        conn.last_received_at.set(now());
        conn.last_used_at.set(now());
        let mut parsed = 0;
        while parsed < buf.len() {
            let (call_id, mut answer, body_bytes, length) = match wire::parse_resp(&buf[parsed..]) {
                Ok(Some((parts, length))) if matches!(parts.get(1), Some(&(b"green" | b"red"))) => {
                    let fields = parts.get(2).and_then(|f| std::str::from_utf8(f).ok()).unwrap_or("-");
                    let outcome = if parts[1] == b"green" { Outcome::Ok } else { Outcome::Error };
                    let answer = Some((outcome, parse_load(fields, &self.names.columns)));
                    let mut probes = conn.probes.borrow_mut();
                    let has_tag = |probe: &&mut (Box<str>, _)| probe.0.as_bytes() == parts[0];
                    probes.iter_mut().filter(has_tag).for_each(|probe| probe.1 = answer);
                    parsed += length;
                    continue;
                }
                Ok(Some((parts, length))) => match parse_answer(&parts, &self.names.columns) {
                    Some((call_id, answer)) => (call_id, answer, parts[3].len(), length),
                    None => return (self.count(Counter::Malformed), false).1,
                },
                Ok(None) => break,
                Err(_) => return (self.count(Counter::Malformed), false).1,
            };
            parsed += length;
            // Only answers to attempts that are pending here and were fully written count; all others are
            // dropped.
            let fully_written = |pending: &PendingAttempt| pending.progress == Progress::FullyWritten;
            if !conn.pending.borrow().get(&*call_id).is_some_and(fully_written) {
                self.count(Counter::LateEnds);
                // An unrequested answer while nothing is outstanding: further data on this connection can't
                // be trusted.
                if conn.is_idle() && !conn.expired_ids.borrow().contains(&call_id) {
                    conn.retired.set(true);
                }
                continue;
            }
            let Some(pending) = conn.pending.borrow_mut().remove(&*call_id) else { continue };
            if let Some(payload) = &mut answer.payload {
                // A client may be told that its copy is current only if the cache confirmed that very tag.
                if payload.unchanged && pending.dispatch.client_request.tag.as_ref() != Some(&payload.tag) {
                    conn.pending.borrow_mut().insert(call_id, pending);
                    return (self.count(Counter::Malformed), false).1;
                }
                if !payload.unchanged {
                    // The body is the last part of an answer. The buffer itself is handed on unless more data
                    // follows.
                    let body_range = parsed - 2 - body_bytes..parsed - 2;
                    payload.body = if parsed == buf.len() {
                        parsed = 0;
                        Body::from_range(std::mem::take(buf), body_range)
                    } else {
                        Body::from_range(buf[body_range].to_vec(), 0..body_bytes)
                    };
                }
            }
            if pending.dispatch.exclusive_connection {
                conn.expire_id(call_id);
            }
            self.report(pending.dispatch.request, pending.dispatch.attempt, AttemptEnd::Answered(answer));
        }
        buf.drain(..parsed);
        match wire::resp_array_bytes(buf) {
            _ if buf.is_empty() => *buf = Vec::new(),
            Some(n) if n > buf.capacity() => buf.reserve_exact(n - buf.len()),
            _ => {}
        }
        true
    }
}

/// What to write next.
enum NextWrite {
    /// A command, and the wire id of the request if it is an attempt.
    Bytes(Vec<u8>, Option<Box<str>>),
    /// Nothing for now.
    Nothing,
    /// The connection must not be used any more.
    Close,
}

/// The result of a single read.
#[derive(Clone, Copy, PartialEq)]
enum ReadResult {
    /// Something was read; there may be more.
    More,
    /// Nothing has arrived.
    Empty,
    /// The connection has ended or has sent something malformed.
    End,
}

/// Removes a connection from its member's list and from the pool's totals when its task ends, even by a
/// panic.
struct ConnectionGuard(Rc<CachePool>, Rc<Server>, Rc<CacheConnection>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.set(self.0.open_connections.get() - 1);
        self.0.buffered_bytes.set(self.0.buffered_bytes.get() - self.2.unparsed_bytes.get());
        self.1.connections.borrow_mut().retain(|o| !Rc::ptr_eq(o, &self.2));
    }
}

/// The planner's handle to the pool.
pub struct PoolTransport(pub Rc<CachePool>);

impl CacheTransport for PoolTransport {
    fn probe(&mut self, member: Addr) {
        let (pool, owner) = (self.0.clone(), self.0.owner());
        let Some(owner) = owner else { return };
        let task = async move {
            if let Some((outcome, report)) = pool.probe(member, "gauges").await {
                if let Some(owner) = pool.owner() {
                    owner.report_probe_end(member, outcome, report);
                }
            }
        };
        owner.spawn_task("load probe", Box::pin(task));
    }

    fn send(&mut self, dispatch: Dispatch) {
        self.0.enqueue(Rc::new(dispatch), 0);
    }

    fn withdraw(&mut self, request: u64, attempt: u16) -> bool {
        let Some(conn) = self.0.in_flight.borrow_mut().remove(&(request, attempt)) else { return false };
        let is_this_attempt =
            |dispatch: &Dispatch| dispatch.request == request && dispatch.attempt == attempt;
        let pending = conn.pending.borrow();
        let found = pending
            .iter()
            .find(|(_, pending_attempt)| is_this_attempt(&pending_attempt.dispatch))
            .map(|(call_id, pending_attempt)| (call_id.clone(), pending_attempt.clone()));
        drop(pending);
        let Some((call_id, pending_attempt)) = found else { return false };
        // Withdrawn attempts no longer count for `is_silent`. Without this, a connection blocked by an answer
        // that never ends would look usable again and delay every later attempt.
        if conn.is_silent(now(), self.0.names.connect_timeout) {
            conn.retired.set(true);
        }
        conn.pending.borrow_mut().remove(&call_id);
        if pending_attempt.progress == Progress::NotConnected {
            let is_its_item =
                |i: &QueueItem| matches!( i , QueueItem::Serve ( dispatch ) if is_this_attempt ( dispatch ) );
            conn.queue.borrow_mut().retain(|i| !is_its_item(i));
        }
        // The cache never learns of an attempt that hasn't been begun.
        if pending_attempt.progress == Progress::NotConnected {
            return false;
        }
        conn.expire_id(call_id.clone());
        if self.0.names.forbids_cancel {
            return false;
        }
        // An attempt that has been written in part is written to its end and then cancelled.
        conn.queue.borrow_mut().push_back(QueueItem::Cancel(call_id, (request, attempt)));
        conn.signal.notify();
        true
    }
}

/// Parses a cache's answer into the wire id and the attempt's result. The payload's body stays empty: the
/// caller takes it from the parts. Returns nothing if the answer is malformed.
pub fn parse_answer(parts: &[&[u8]], columns: &[String]) -> Option<(Box<str>, CacheAnswer)> {
    let [id, word, fields, body] = parts else { return None };
    let id = std::str::from_utf8(id).ok()?;
    let fields = std::str::from_utf8(fields).ok()?;
    let word = std::str::from_utf8(word).ok()?;
    let outcome = match word {
        "served" | "still_good" => Outcome::Ok,
        "not_here" => Outcome::Miss,
        "overload" => Outcome::Refused,
        "crashed" => Outcome::Error,
        "nobody" => Outcome::NotSent,
        _ => return None,
    };
    let note = match wire::find_field(fields, "detail").unwrap_or("") {
        "HIT" => Note::Hit,
        "MISS" => Note::Filled,
        "MISS_ORIGIN" => Note::FilledOrigin,
        "COLLAPSED" => Note::Joined,
        "STALE" => Note::Stale,
        "UP_BUSY" => Note::SourceRefused,
        "UP_DOWN" => Note::SourceFailed,
        "UP_MISS" => Note::SourceMiss,
        "NO_FILL" => Note::FillSlotsFull,
        "ORIGIN_ERR" => Note::OriginFailed,
        _ => Note::None,
    };
    let source_wait_ms = wire::find_field(fields, "took").and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
    let report = parse_load(fields, columns);
    // The answer to a write at the origin has no tag. An answer that confirms the client's copy has one, and
    // no body.
    let tag = wire::find_field(fields, "version").unwrap_or("");
    let unchanged = word == "still_good";
    if !tag.is_empty() && !wire::is_plain_text(tag, 128) || unchanged && (tag.is_empty() || !body.is_empty())
    {
        return None;
    }
    let payload =
        (outcome == Outcome::Ok).then(|| Payload { body: Body::default(), tag: tag.into(), unchanged });
    Some((
        id.into(),
        CacheAnswer {
            outcome,
            note,
            source_wait: (source_wait_ms.max(0.0) * 1000.0) as Micros,
            report,
            payload,
        },
    ))
}

/// Parses the load that an answer reports, in the order of the columns in the settings.
fn parse_load(fields: &str, columns: &[String]) -> Report {
    let mut report = Report::default();
    for (name, value) in
        wire::find_field(fields, "use").unwrap_or("").split(';').filter_map(|entry| entry.split_once(':'))
    {
        // The settings call the processor's utilization `cpu`, the wire calls it `util`.
        let name = if name == "util" { "cpu" } else { name };
        let column = columns.iter().position(|c| c == name).filter(|index| *index < 4);
        if let (Some(index), Ok(load)) = (column, value.parse::<f32>()) {
            report.values[index] = if load.is_finite() { load } else { 0.0 };
            report.count = report.count.max(index as u8 + 1);
        }
    }
    report
}
