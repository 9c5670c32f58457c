//! The way to the caches: a RESP client with a pool of connections for each member. It owns those connections,
//! what is out on each, and how far every attempt came. It must never choose a member, repeat an attempt, or call
//! the planner while the planner is calling it: every end is reported from a task of a connection.
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

/// Attempts out on a connection before another one is opened: answers come whole, so a long one holds up what
/// stands behind it.
const SPREAD: usize = 4;
/// Connections to one member before attempts are packed more densely than `SPREAD`; twice as many at most.
const MOST: usize = 12;
/// Descriptors that are neither for clients nor for caches: listeners, signals, bulletin, what is just closing.
const OTHERS: usize = 40;
/// An answer that has begun and of which nothing more has come for so long has stopped short. The bytes of a slow
/// one come in small steps, far closer together.
const STALLED: Micros = 1_000_000;
/// How often an attempt that reached no cache is handed to another connection of the same one.
const MOVES: u8 = 2;
/// A member that refused a further connection is asked for no other for so long, while it has some that work.
const ENOUGH: Micros = 2_000_000;
/// An attempt that waited so long with nothing written, or as long as drains and purges leave where that is less, rests
/// on a view that may be out of date.
const OUTDATED: Micros = 200_000;
/// Reads in a row, 64 KiB at most each, of what came on a connection that rested or has ended.
const CATCH_UP: usize = 16;
/// Ids that a connection remembers as spent: a late answer must not pass for a newer attempt's.
const SPENT: usize = 512;

const REFUSED: ErrorKind = ErrorKind::ConnectionRefused;
const RESET: ErrorKind = ErrorKind::ConnectionReset;
const TIMED_OUT: ErrorKind = ErrorKind::TimedOut;

struct Server {
    id: String,
    sock: SocketAddr,
    incarnation: u64,
    /// When it was listed as it is: what was decided before was meant for another one.
    listed: Micros,
    conns: RefCell<Vec<Rc<Conn>>>,
    /// No further connection is opened before this while others work.
    enough: Cell<Micros>,
}

/// Who the pool works for: starts its tasks and hears of its ends.
pub trait PoolOwner {
    fn spawn_task(self: Rc<Self>, what: &'static str, task: Pin<Box<dyn Future<Output = ()>>>);
    fn report_attempt_end(&self, request: u64, attempt: u16, end: AttemptEnd);
    /// How many purges and list changes were told.
    fn epoch(&self) -> u64;
    /// Whether the client of a request still waits for its answer.
    fn client_waits(&self, request: u64) -> bool;
    fn count(&self, c: Counter);
    /// A probe of the planner's ended.
    fn report_probe_end(&self, member: Addr, outcome: Outcome, report: Report);
}

pub struct CachePool {
    names: Names,
    servers: RefCell<BTreeMap<Addr, Rc<Server>>>,
    out: RefCell<HashMap<(u64, u16), Rc<Conn>>>,
    /// Connections that are open to all members, and how many may be.
    open: Cell<usize>,
    most: Cell<usize>,
    /// Members that the staff took out: nothing is written to them, nor with them as a source.
    barred: RefCell<BTreeSet<Addr>>,
    /// Bytes of answers that are still coming in.
    pub buffered_bytes: Cell<usize>,
    /// Probes made.
    probes: Cell<u64>,
    home: RefCell<Option<Weak<dyn PoolOwner>>>,
}

/// What came of a probe.
type Probed = (Outcome, Report);

enum Item {
    Serve(Rc<Dispatch>),
    /// Gives a request up, and which attempt is to be reported withdrawn once that is written.
    Cancel(Box<str>, (u64, u16)),
    /// A probe: its word and its tag.
    Probe(&'static str, Box<str>),
}

#[derive(Clone)]
struct Pending {
    dispatch: Rc<Dispatch>,
    progress: Progress,
    written: Micros,
    /// Connections that broke before it had gone out whole.
    moves: u8,
}

struct Conn {
    sock: SocketAddr,
    /// Attempts by the client's id, which is the id on the wire. One that is not here is over, whatever the queue holds:
    /// the writer asks for it before its first byte.
    pending: RefCell<HashMap<Box<str>, Pending>>,
    queue: RefCell<VecDeque<Item>>,
    /// Ids that this connection carries no more: of attempts that were given up, and of those answered where a second
    /// answer must not pass for that of a later attempt.
    spent: RefCell<VecDeque<Box<str>>>,
    /// What was read and is not yet a whole answer.
    unread: RefCell<Vec<u8>>,
    /// The attempt whose withdrawal is being written.
    calling_off: Cell<Option<(u64, u16)>>,
    /// Tags of probes that are out, and what came of each.
    probes: RefCell<Vec<(Box<str>, Option<Probed>)>>,
    signal: Signal,
    heard: Cell<Micros>,
    used: Cell<Micros>,
    /// Takes nothing new and closes once nothing is out on it.
    retired: Cell<bool>,
    closed: Cell<bool>,
    /// Nothing more comes from the cache, or nothing that can be believed.
    ended: Cell<bool>,
    /// It came up; part of an answer is there; it is of nothing that was asked here.
    up: Cell<bool>,
    partial: Cell<bool>,
    foreign: Cell<bool>,
    buffered: Cell<usize>,
}

impl Conn {
    /// Something is owed for a while and nothing has come for as long: it may be cut off without a sign, or hold an
    /// answer that never ends.
    fn silent(&self, at: Micros, patience: Micros) -> bool {
        let since = at.saturating_sub(patience);
        // What is not yet written stands at the end of time and says nothing of silence.
        let oldest = self.pending.borrow().values().map(|p| p.written).min();
        oldest.is_some_and(|w| w < since) && self.heard.get() < since
    }
    /// It works: it was heard since then.
    fn sound(&self, since: Micros) -> bool {
        self.up.get() && !self.closed.get() && !self.retired.get() && self.heard.get() >= since
    }
    fn takes(&self, call: &str, streams: usize) -> bool {
        let pending = self.pending.borrow();
        !self.retired.get()
            && !self.closed.get()
            && !self.foreign.get()
            && pending.len() < streams
            && !pending.contains_key(call)
            && !self.spent.borrow().iter().any(|c| &**c == call)
    }
    /// More of a request has gone out, or all of it.
    fn wrote(&self, call: Option<&str>, whole: bool) {
        let mut pending = self.pending.borrow_mut();
        if let Some(p) = call.and_then(|id| pending.get_mut(id)) {
            p.written = now();
            p.progress = if whole { Progress::FullyWritten } else { Progress::PartlyWritten };
        }
    }
    /// Takes an id out of use here.
    fn spend(&self, call: Box<str>) {
        let mut spent = self.spent.borrow_mut();
        if spent.len() == SPENT {
            spent.pop_front();
        }
        spent.push_back(call);
    }
    /// Nothing of it is with the cache: no answer is owed here.
    fn rests(&self) -> bool {
        self.pending.borrow().values().all(|p| p.progress == Progress::NotConnected)
            && self.probes.borrow().iter().all(|(_, told)| told.is_some())
    }
    /// Whether what was read of an answer can be one to something that was asked here.
    fn knows(&self, unread: &[u8]) -> bool {
        let id = wire::first_resp_part(unread);
        let is = |c: &str| id == Some(c.as_bytes());
        self.pending.borrow().iter().any(|(c, p)| is(c) && p.progress != Progress::NotConnected)
            || self.spent.borrow().iter().any(|c| is(c))
            || self.probes.borrow().iter().any(|(c, _)| is(c))
            || id.is_none() && !self.rests()
    }
}

/// Connections to caches that one of so many processes may hold.
fn places(sockets: usize, of: usize) -> usize {
    ((sockets - sockets / 2) / of.max(1)).saturating_sub(OTHERS).max(4)
}

impl CachePool {
    /// `sockets`: the limit on descriptors; half of them are for clients.
    pub fn new(names: Names, sockets: usize) -> Rc<CachePool> {
        Rc::new(CachePool {
            open: Cell::new(0),
            buffered_bytes: Cell::new(0),
            probes: Cell::new(0),
            most: Cell::new(places(sockets, 1)),
            barred: RefCell::default(),
            names,
            servers: RefCell::default(),
            out: RefCell::default(),
            home: RefCell::default(),
        })
    }

    /// This process is one of so many that share the descriptors.
    pub fn share_descriptors(&self, sockets: usize, of: usize) {
        self.most.set(places(sockets, of));
    }

    /// The members that are out, by call of the staff.
    pub fn set_disabled(&self, out: BTreeSet<Addr>) {
        *self.barred.borrow_mut() = out;
    }

    pub fn set_owner(&self, home: &Rc<dyn PoolOwner>) {
        *self.home.borrow_mut() = Some(Rc::downgrade(home));
    }

    fn home(&self) -> Option<Rc<dyn PoolOwner>> {
        self.home.borrow().as_ref().and_then(Weak::upgrade)
    }

    /// Takes in a change of the list. A member that left or started anew gets no more on its old connections. Gives
    /// those whose address another one has now: they are gone, though nobody has told it yet, and what is sent for
    /// them would reach the new one.
    pub fn update_listed(&self, form: ListForm, listed: &[ListedServer]) -> Vec<Addr> {
        let ready = |l: &&ListedServer| l.entry.state == Lifecycle::Ready;
        let at = |sock: SocketAddr| listed.iter().filter(ready).find(move |l| l.socket_addr == sock);
        let mut displaced = Vec::new();
        let mut servers = self.servers.borrow_mut();
        let retire = |s: &Server| {
            for c in s.conns.borrow().iter() {
                c.retired.set(true);
                c.signal.notify();
            }
        };
        if form != ListForm::Delta {
            servers.retain(|a, s| {
                let stays = listed.iter().any(|l| l.entry.addr == *a);
                if !stays {
                    retire(s);
                }
                stays
            });
        }
        servers.retain(|a, s| {
            let stays = at(s.sock).is_none_or(|l| l.entry.addr == *a);
            if !stays {
                displaced.push(*a);
                retire(s);
            }
            stays
        });
        for l in listed {
            let a = l.entry.addr;
            let same = servers
                .get(&a)
                .is_some_and(|s| s.sock == l.socket_addr && s.incarnation == l.entry.incarnation);
            if same && l.entry.state != Lifecycle::Gone {
                continue;
            }
            if let Some(old) = servers.remove(&a) {
                retire(&old);
            }
            if l.entry.state != Lifecycle::Gone {
                if l.entry.state != Lifecycle::Ready && servers.values().any(|s| s.sock == l.socket_addr) {
                    continue;
                }
                let (id, sock, incarnation) = (l.id.clone(), l.socket_addr, l.entry.incarnation);
                let (conns, enough) = (RefCell::default(), Cell::new(0));
                servers.insert(a, Rc::new(Server { id, sock, incarnation, listed: now(), conns, enough }));
            }
        }
        displaced
    }

    /// How many members are listed.
    pub fn member_count(&self) -> usize {
        self.servers.borrow().len()
    }

    pub fn member_id(&self, a: Addr) -> Option<String> {
        self.servers.borrow().get(&a).map(|s| s.id.clone())
    }

    /// Reports an end from a task of its own.
    fn report_later(self: &Rc<Self>, request: u64, attempt: u16, end: AttemptEnd) {
        let pool = self.clone();
        if let Some(home) = self.home() {
            home.spawn_task("report", Box::pin(async move { pool.report(request, attempt, end) }));
        }
    }

    fn report(&self, request: u64, attempt: u16, end: AttemptEnd) {
        self.out.borrow_mut().remove(&(request, attempt));
        if let Some(home) = self.home() {
            home.report_attempt_end(request, attempt, end);
        }
    }

    fn count(&self, c: Counter) {
        if let Some(home) = self.home() {
            home.count(c);
        }
    }

    /// Puts an attempt on a connection of its member.
    fn place(self: &Rc<Self>, d: Rc<Dispatch>, moves: u8) {
        let server = self.servers.borrow().get(&d.member).cloned().filter(|s| s.listed <= d.decided_at);
        let Some(server) = server else {
            return self.report_later(d.request, d.attempt, AttemptEnd::Outdated);
        };
        let Some(c) = self.connection(&server, &d.client_request.call_id) else {
            // Short of descriptors or of places: that is this proxy's doing and says nothing of the member.
            return self.report_later(d.request, d.attempt, AttemptEnd::Outdated);
        };
        let p =
            Pending { dispatch: d.clone(), progress: Progress::NotConnected, written: Micros::MAX, moves };
        self.out.borrow_mut().insert((d.request, d.attempt), c.clone());
        c.pending.borrow_mut().insert(d.client_request.call_id.clone(), p);
        c.queue.borrow_mut().push_back(Item::Serve(d));
        c.signal.notify();
    }

    fn connection(self: &Rc<Self>, s: &Rc<Server>, call: &str) -> Option<Rc<Conn>> {
        let at = now();
        let conns = s.conns.borrow();
        let usable = conns.iter().filter(|c| c.takes(call, self.names.streams_per_connection));
        let best = usable
            .filter(|c| !c.silent(at, self.names.connect_timeout))
            .min_by_key(|c| c.pending.borrow().len());
        let live = conns.iter().filter(|c| !c.closed.get()).count();
        let few = live < MOST && self.open.get() < self.most.get() && at >= s.enough.get();
        match best {
            Some(c) if c.pending.borrow().len() < SPREAD || !few => return Some(c.clone()),
            None if live >= MOST * 2 || self.open.get() >= self.most.get() => return None,
            _ => drop(conns),
        }
        let conn = Rc::new(Conn {
            sock: s.sock,
            pending: RefCell::default(),
            queue: RefCell::default(),
            spent: RefCell::default(),
            unread: RefCell::default(),
            calling_off: Cell::default(),
            probes: RefCell::default(),
            signal: Signal::default(),
            heard: Cell::new(at),
            used: Cell::new(at),
            retired: Cell::new(false),
            closed: Cell::new(false),
            ended: Cell::new(false),
            up: Cell::new(false),
            partial: Cell::new(false),
            foreign: Cell::new(false),
            buffered: Cell::new(0),
        });
        s.conns.borrow_mut().push(conn.clone());
        let (pool, server, c) = (self.clone(), s.clone(), conn.clone());
        self.open.set(self.open.get() + 1);
        let end = Ended(pool.clone(), server.clone(), c.clone());
        let task = async move {
            let _end = end;
            pool.run(&server, &c).await;
        };
        match self.home() {
            Some(home) => home.spawn_task("cache connection", Box::pin(task)),
            None => return None,
        }
        Some(conn)
    }

    /// Asks a member, by `health` for a sign of life or by `gauges` for its load as well, on a connection of the pool:
    /// what came of it within the connect time-out. Nothing where the member is not listed, was taken out, or there is
    /// no place.
    pub async fn probe(self: &Rc<Self>, member: Addr, word: &'static str) -> Option<Probed> {
        let server = self.servers.borrow().get(&member).cloned()?;
        if self.barred.borrow().contains(&member) {
            return None;
        }
        let tag: Box<str> = format!("probe-{}", self.probes.replace(self.probes.get() + 1)).into();
        let c = self.connection(&server, &tag)?;
        c.probes.borrow_mut().push((tag.clone(), None));
        c.queue.borrow_mut().push_back(Item::Probe(word, tag.clone()));
        c.signal.notify();
        let until = now() + self.names.connect_timeout;
        let told = |c: &Conn| c.probes.borrow().iter().find(|(t, _)| *t == tag).and_then(|(_, told)| *told);
        while now() < until && !c.closed.get() && told(&c).is_none() {
            sleep_until(now() + 5_000).await;
        }
        let ended = told(&c);
        c.probes.borrow_mut().retain(|(t, _)| *t != tag);
        let lost = if c.closed.get() { Outcome::ConnectFailed } else { Outcome::Timeout };
        Some(ended.unwrap_or((lost, Report::default())))
    }

    async fn run(self: &Rc<Self>, s: &Rc<Server>, c: &Rc<Conn>) {
        let until = now() + self.names.connect_timeout;
        let connected = async { Async::<TcpStream>::connect(c.sock).await };
        let late = async { (sleep_until(until).await, Err(ErrorKind::TimedOut.into())).1 };
        let failed = match connected.or(late).await {
            Ok(stream) => {
                self.count(Counter::Opened);
                stream.get_ref().set_nodelay(true).ok();
                c.heard.set(now());
                c.up.set(true);
                self.write(c, &stream).or(self.read(c, &stream)).or(self.idle(c)).await;
                // It takes nothing from here on; where it broke under a write, answers may have come before.
                c.closed.set(true);
                self.catch_up(c, &stream);
                None
            }
            Err(e) => Some(e),
        };
        c.closed.set(true);
        let pending = std::mem::take(&mut *c.pending.borrow_mut());
        // What was given up on a connection that is gone is given up.
        let queued = std::mem::take(&mut *c.queue.borrow_mut());
        let called_off =
            queued.into_iter().filter_map(|i| if let Item::Cancel(_, a) = i { Some(a) } else { None });
        for (request, attempt) in c.calling_off.take().into_iter().chain(called_off) {
            self.report(request, attempt, AttemptEnd::Withdrawn);
        }
        if !pending.is_empty() {
            self.count(Counter::Broken);
        }
        // A connection that does not come up tells of the member, unless others to it work (then it takes no
        // more of them) or the failure is this machine's own.
        let own = failed.as_ref().is_some_and(|e| !matches!(e.kind(), REFUSED | RESET | TIMED_OUT));
        let lately = now().saturating_sub(self.names.connect_timeout);
        let others = s.conns.borrow().iter().any(|o| o.sound(lately));
        if failed.is_some() && others {
            s.enough.set(now() + ENOUGH);
        }
        for p in pending.into_values() {
            let d = &p.dispatch;
            // What broke before the request was out whole proves that nothing ran, and where the connection had come
            // up, it proves nothing of the member: idle and new connections get reset by whatever is in between.
            let unsent = p.progress != Progress::FullyWritten;
            if unsent && own {
                self.report(d.request, d.attempt, AttemptEnd::Outdated);
            } else if unsent && (failed.is_none() || others) && p.moves < MOVES {
                self.place(d.clone(), p.moves + 1);
            } else {
                self.report(d.request, d.attempt, AttemptEnd::ConnectionFailed(p.progress));
            }
        }
    }

    /// Returns once the connection is no longer wanted.
    async fn idle(&self, c: &Conn) {
        loop {
            let quiet = c.pending.borrow().is_empty() && c.queue.borrow().is_empty();
            // Sooner than the cache would: a request must not cross its close.
            if quiet && (c.retired.get() || now() >= c.used.get() + self.names.keepalive / 10 * 8) {
                return;
            }
            // Of no further use, also to the other requests on it: they may go elsewhere as their class allows.
            if c.partial.get() && now() >= c.heard.get() + STALLED {
                return self.count(Counter::Stalled);
            }
            let stalls = if c.partial.get() { c.heard.get() + STALLED } else { Micros::MAX };
            sleep_until(stalls.min(now() + if quiet { 500_000 } else { 250_000 })).await;
        }
    }

    async fn write(self: &Rc<Self>, c: &Conn, stream: &Async<TcpStream>) {
        loop {
            // What is to be written is asked for in the very turn in which its first byte leaves: an attempt that was
            // withdrawn, or must not go any more, while the cache took nothing is not written.
            let (bytes, call) = match self.next(c, stream) {
                Next::Bytes(bytes, call) => (bytes, call),
                Next::Nothing => {
                    c.signal.wait().await;
                    continue;
                }
                Next::Over => return,
            };
            let mut at = match calls::uninterrupted(|| stream.get_ref().write(&bytes)) {
                Ok(n) if n > 0 => n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    // What stands in front by then is asked for anew.
                    calls::writable(stream).await;
                    continue;
                }
                _ => return,
            };
            if let Some(Item::Cancel(_, attempt)) = c.queue.borrow_mut().pop_front() {
                c.calling_off.set(Some(attempt));
            }
            c.used.set(now());
            loop {
                c.wrote(call.as_deref(), at == bytes.len());
                if at == bytes.len() {
                    break;
                }
                match calls::uninterrupted(|| stream.get_ref().write(&bytes[at..])) {
                    Ok(n) if n > 0 => at += n,
                    Err(e) if e.kind() == ErrorKind::WouldBlock => calls::writable(stream).await,
                    _ => return,
                }
            }
            if let Some((request, attempt)) = c.calling_off.take() {
                self.report(request, attempt, AttemptEnd::Withdrawn);
            }
        }
    }

    /// What is to be written next; it stands in front of the queue until its first byte has left.
    fn next(self: &Rc<Self>, c: &Conn, stream: &Async<TcpStream>) -> Next {
        loop {
            let d = match c.queue.borrow().front() {
                None => return Next::Nothing,
                Some(Item::Cancel(call, _)) => {
                    return Next::Bytes(wire::encode_resp(&[b"cancel", call.as_bytes()]), None)
                }
                Some(Item::Probe(word, tag)) => {
                    return Next::Bytes(wire::encode_resp(&[word.as_bytes(), tag.as_bytes()]), None)
                }
                Some(Item::Serve(d)) => d.clone(),
            };
            // On a connection that rested, what has come meanwhile goes first: its end, or what nobody asked for.
            if c.rests() && (!self.catch_up(c, stream) || c.foreign.get()) {
                return Next::Over;
            }
            // That may have ended it.
            if !matches!(c.queue.borrow().front(), Some(Item::Serve(f)) if Rc::ptr_eq(f, &d)) {
                continue;
            }
            let moves = c
                .pending
                .borrow()
                .get(&d.client_request.call_id)
                .filter(|p| Rc::ptr_eq(&p.dispatch, &d))
                .map(|p| p.moves);
            let bytes =
                moves.filter(|_| !c.retired.get() && self.may_leave(&d)).and_then(|_| self.encode(&d));
            if let Some(bytes) = bytes {
                return Next::Bytes(bytes, Some(d.client_request.call_id.clone()));
            }
            c.queue.borrow_mut().pop_front();
            let Some(moves) = moves else { continue };
            c.pending.borrow_mut().remove(&d.client_request.call_id);
            // Its connection is not to be used, the member may be.
            if c.retired.get() && moves < MOVES && self.may_leave(&d) {
                self.out.borrow_mut().remove(&(d.request, d.attempt));
                self.place(d, moves + 1);
            } else {
                self.report(d.request, d.attempt, AttemptEnd::Outdated);
            }
        }
    }

    /// Whether the first byte of an attempt may leave now, as far as that does not hang on its connection.
    fn may_leave(&self, d: &Dispatch) -> bool {
        let Some(home) = self.home() else { return false };
        let barred = self.barred.borrow();
        let facts = SendFacts {
            now: now(),
            decided_at: d.decided_at,
            // What purges and drains told since counts from the first byte.
            notified_since: home.epoch() != d.epoch,
            grace: OUTDATED.min(self.names.epoch_grace),
            send_by: d.send_by,
            // A ban holds from the yes on, for what was decided just before it as well.
            server_out: [Some(d.member), d.source].into_iter().flatten().any(|a| barred.contains(&a)),
            client_waits: home.client_waits(d.request),
        };
        let judged = may_send(&facts);
        if let Err(why) = judged {
            home.count(why.counter());
        }
        judged.is_ok()
    }

    fn encode(&self, d: &Dispatch) -> Option<Vec<u8>> {
        let ask = &d.client_request;
        let class = self.names.classes.get(usize::from(ask.class))?;
        let left = d.expires_at.saturating_sub(now()) / 1000;
        let mut f = format!("queue={class},path={},blk={},budget={}", ask.object_name, ask.part, left.max(1));
        let mut put = |name: &str, value: &str| {
            f.push(',');
            f.push_str(name);
            f.push('=');
            f.push_str(value);
        };
        if let Some(key) = &ask.idempotency_key {
            put("uniq", key);
        }
        if let Some(source) = d.source {
            put("fetch", &self.member_id(source)?);
        }
        if d.keep_rank > 0 {
            put("retain", &d.keep_rank.to_string());
        }
        if d.max_age > 0 {
            put("newer", &(d.max_age / 1000).max(1).to_string());
        }
        let flags = [
            (d.join_fill, "coalesce"),
            (d.only_held, "shallow"),
            (d.parent_keeps_none, "transit"),
            (d.refresh_in_background, "freshen"),
        ];
        let how: Vec<&str> = flags.iter().filter(|(on, _)| *on).map(|(_, w)| *w).collect();
        if !how.is_empty() {
            put("handle", &how.join("+"));
        }
        if let Some(tag) = &ask.tag {
            put("holds", tag);
        }
        Some(wire::encode_resp(&[b"serve", ask.call_id.as_bytes(), f.as_bytes(), &ask.body]))
    }

    async fn read(&self, c: &Conn, stream: &Async<TcpStream>) {
        loop {
            match self.take_in(c, stream) {
                Turn::More => future::yield_now().await,
                Turn::Empty => calls::readable(stream).await,
                Turn::End => return,
            }
        }
    }

    /// Reads what has come; false where nothing more will, or too much for what was asked.
    fn catch_up(&self, c: &Conn, stream: &Async<TcpStream>) -> bool {
        (0..CATCH_UP).map(|_| self.take_in(c, stream)).find(|t| *t != Turn::More) == Some(Turn::Empty)
    }

    /// Reads once and reports the answers that are whole; the connection is of no use after its end.
    fn take_in(&self, c: &Conn, stream: &Async<TcpStream>) -> Turn {
        if c.ended.get() {
            return Turn::End;
        }
        // No report may find the buffer in use: what it leads to may look at this connection.
        let mut buf = c.unread.take();
        let turn = match try_read(stream, &mut buf, 64 * 1024) {
            Some(0) => Turn::End,
            Some(_) if self.answers(c, &mut buf) => Turn::More,
            Some(_) => Turn::End,
            None => Turn::Empty,
        };
        c.ended.set(turn == Turn::End);
        c.partial.set(!buf.is_empty());
        c.foreign.set(!buf.is_empty() && !c.knows(&buf));
        let before = c.buffered.replace(buf.capacity());
        self.buffered_bytes.set(self.buffered_bytes.get() + buf.capacity() - before);
        c.unread.replace(buf);
        turn
    }

    /// Reports the answers that are whole; false where one cannot be used: the connection ends.
    fn answers(&self, c: &Conn, buf: &mut Vec<u8>) -> bool {
        c.heard.set(now());
        c.used.set(now());
        let mut at = 0;
        while at < buf.len() {
            let (call, mut told, body, used) = match wire::parse_resp(&buf[at..]) {
                Ok(Some((parts, used))) if matches!(parts.get(1), Some(&(b"green" | b"red"))) => {
                    let fields = parts.get(2).and_then(|f| std::str::from_utf8(f).ok()).unwrap_or("-");
                    let outcome = if parts[1] == b"green" { Outcome::Ok } else { Outcome::Error };
                    let told = Some((outcome, load(fields, &self.names.columns)));
                    let mut probes = c.probes.borrow_mut();
                    let of = |p: &&mut (Box<str>, _)| p.0.as_bytes() == parts[0];
                    probes.iter_mut().filter(of).for_each(|p| p.1 = told);
                    at += used;
                    continue;
                }
                Ok(Some((parts, used))) => match parse_answer(&parts, &self.names.columns) {
                    Some((call, told)) => (call, told, parts[3].len(), used),
                    None => return (self.count(Counter::Malformed), false).1,
                },
                Ok(None) => break,
                Err(_) => return (self.count(Counter::Malformed), false).1,
            };
            at += used;
            // Only of what was asked on this connection, went out whole and is still wanted; all else is dropped.
            let whole = |p: &Pending| p.progress == Progress::FullyWritten;
            if !c.pending.borrow().get(&*call).is_some_and(whole) {
                self.count(Counter::LateEnds);
                // Something that nobody asked for, while nothing was asked: what else it says cannot be believed.
                if c.rests() && !c.spent.borrow().contains(&call) {
                    c.retired.set(true);
                }
                continue;
            }
            let Some(p) = c.pending.borrow_mut().remove(&*call) else { continue };
            if let Some(payload) = &mut told.payload {
                // A client may be told that its copy is the one only where the cache named that very copy.
                if payload.unchanged && p.dispatch.client_request.tag.as_ref() != Some(&payload.tag) {
                    c.pending.borrow_mut().insert(call, p);
                    return (self.count(Counter::Malformed), false).1;
                }
                if !payload.unchanged {
                    // The body is the last thing in an answer. The buffer goes with it unless more has come.
                    let part = at - 2 - body..at - 2;
                    payload.body = if at == buf.len() {
                        at = 0;
                        Body::from_range(std::mem::take(buf), part)
                    } else {
                        Body::from_range(buf[part].to_vec(), 0..body)
                    };
                }
            }
            if p.dispatch.exclusive_connection {
                c.spend(call);
            }
            self.report(p.dispatch.request, p.dispatch.attempt, AttemptEnd::Answered(told));
        }
        buf.drain(..at);
        match wire::resp_array_bytes(buf) {
            _ if buf.is_empty() => *buf = Vec::new(),
            Some(n) if n > buf.capacity() => buf.reserve_exact(n - buf.len()),
            _ => {}
        }
        true
    }
}

/// What is to be written next.
enum Next {
    /// These bytes, of this request.
    Bytes(Vec<u8>, Option<Box<str>>),
    /// Nothing for now.
    Nothing,
    /// The connection is not to be used any more.
    Over,
}

/// What came of reading once.
#[derive(Clone, Copy, PartialEq)]
enum Turn {
    More,
    Empty,
    End,
}

/// Takes a connection off its member's list, however its task ends.
struct Ended(Rc<CachePool>, Rc<Server>, Rc<Conn>);

impl Drop for Ended {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.buffered_bytes.set(self.0.buffered_bytes.get() - self.2.buffered.get());
        self.1.conns.borrow_mut().retain(|o| !Rc::ptr_eq(o, &self.2));
    }
}

/// What the planner holds of the pool.
pub struct PoolTransport(pub Rc<CachePool>);

impl CacheTransport for PoolTransport {
    fn probe(&mut self, member: Addr) {
        let (pool, home) = (self.0.clone(), self.0.home());
        let Some(home) = home else { return };
        let task = async move {
            if let Some((outcome, report)) = pool.probe(member, "gauges").await {
                if let Some(home) = pool.home() {
                    home.report_probe_end(member, outcome, report);
                }
            }
        };
        home.spawn_task("load probe", Box::pin(task));
    }

    fn send(&mut self, d: Dispatch) {
        self.0.place(Rc::new(d), 0);
    }

    fn withdraw(&mut self, request: u64, attempt: u16) -> bool {
        let Some(c) = self.0.out.borrow_mut().remove(&(request, attempt)) else { return false };
        let own = |d: &Dispatch| d.request == request && d.attempt == attempt;
        let pending = c.pending.borrow();
        let found = pending.iter().find(|(_, p)| own(&p.dispatch)).map(|(call, p)| (call.clone(), p.clone()));
        drop(pending);
        let Some((call, p)) = found else { return false };
        // A connection that stays silent while its requests are given up would look clean again: one answer that
        // never ends would hold up every later one.
        if c.silent(now(), self.0.names.connect_timeout) {
            c.retired.set(true);
        }
        c.pending.borrow_mut().remove(&call);
        if p.progress == Progress::NotConnected {
            let of = |i: &Item| matches!(i, Item::Serve(d) if own(d));
            c.queue.borrow_mut().retain(|i| !of(i));
        }
        // One whose first bytes are written is finished, then called off; of another the cache hears nothing.
        let begun = p.progress != Progress::NotConnected;
        if begun {
            c.spend(call.clone());
            c.queue.borrow_mut().push_back(Item::Cancel(call, (request, attempt)));
            c.signal.notify();
        }
        begun
    }
}

/// What a cache's answer says: the id, and how the attempt ended. The body is left where it is.
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
    let waited = wire::find_field(fields, "took").and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
    let report = load(fields, columns);
    // What was written at the origin has no tag; a copy that is still good has one, and no bytes.
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
        CacheAnswer { outcome, note, source_wait: (waited.max(0.0) * 1000.0) as Micros, report, payload },
    ))
}

/// The load that an answer's fields tell, in the order of the settings' columns.
fn load(fields: &str, columns: &[String]) -> Report {
    let mut report = Report::default();
    for (name, value) in
        wire::find_field(fields, "use").unwrap_or("").split(';').filter_map(|g| g.split_once(':'))
    {
        // The list of columns has the settings' word for the share of the processor in use.
        let name = if name == "util" { "cpu" } else { name };
        let at = columns.iter().position(|c| c == name).filter(|i| *i < 4);
        if let (Some(i), Ok(x)) = (at, value.parse::<f32>()) {
            report.values[i] = if x.is_finite() { x } else { 0.0 };
            report.count = report.count.max(i as u8 + 1);
        }
    }
    report
}
