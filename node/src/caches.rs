//! The way to the caches: a RESP client with a pool of connections for each member. It owns those connections,
//! what is out on each, and how far every attempt came. It must never choose a member, repeat an attempt, or call
//! the planner while the planner is calling it: every end is reported from a task of a connection.
use crate::config::{Listed, Names};
use crate::net::{now, sleep_until, Node, Signal};
use crate::wire;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::{Rc, Weak};
use threadward_core::{
    Addr, Caches, Counter, Dispatch, End, Lifecycle, ListForm, Micros, Note, Outcome, Payload, Progress,
    Report, Told,
};

/// Attempts out on a connection before another one is opened: answers come whole, so a long one holds up what
/// stands behind it.
const SPREAD: usize = 4;
/// Connections to one member at most, against the descriptor budget.
const MOST: usize = 12;
/// An attempt that waited so long with nothing written rests on a view that may be out of date.
const OUTDATED: Micros = 200_000;
/// Ids of given-up attempts that a connection remembers: a late answer must not pass for a newer attempt's.
const GIVEN_UP: usize = 512;

struct Server {
    id: String,
    sock: SocketAddr,
    since: Micros,
    conns: RefCell<Vec<Rc<Conn>>>,
}

pub struct Pool {
    names: Names,
    servers: RefCell<BTreeMap<Addr, Rc<Server>>>,
    out: RefCell<HashMap<(u64, u16), Rc<Conn>>>,
    node: RefCell<Weak<Node>>,
}

enum Item {
    Serve(Dispatch),
    Cancel(Box<str>),
}

#[derive(Clone, Copy)]
struct Pending {
    request: u64,
    attempt: u16,
    progress: Progress,
    written: Micros,
}

struct Conn {
    sock: SocketAddr,
    /// Attempts by the client's id, which is the id on the wire.
    pending: RefCell<HashMap<Box<str>, Pending>>,
    queue: RefCell<VecDeque<Item>>,
    given_up: RefCell<VecDeque<Box<str>>>,
    signal: Signal,
    heard: Cell<Micros>,
    used: Cell<Micros>,
    /// Takes nothing new and closes once nothing is out on it.
    retired: Cell<bool>,
    closed: Cell<bool>,
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
    fn takes(&self, call: &str, streams: usize) -> bool {
        let pending = self.pending.borrow();
        !self.retired.get()
            && !self.closed.get()
            && pending.len() < streams
            && !pending.contains_key(call)
            && !self.given_up.borrow().iter().any(|c| &**c == call)
    }
}

impl Pool {
    pub fn new(names: Names) -> Rc<Pool> {
        Rc::new(Pool {
            names,
            servers: RefCell::default(),
            out: RefCell::default(),
            node: RefCell::default(),
        })
    }

    pub fn join(&self, node: &Rc<Node>) {
        *self.node.borrow_mut() = Rc::downgrade(node);
    }

    /// Takes in a change of the list. A member that left or started anew gets no more on its old connections.
    pub fn roster(&self, form: ListForm, listed: &[Listed]) {
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
        for l in listed {
            let a = l.entry.addr;
            let same = servers.get(&a).is_some_and(|s| s.sock == l.sock && s.since == l.entry.since);
            if same && l.entry.state != Lifecycle::Gone {
                continue;
            }
            if let Some(old) = servers.remove(&a) {
                retire(&old);
            }
            if l.entry.state != Lifecycle::Gone {
                let (id, sock, since) = (l.id.clone(), l.sock, l.entry.since);
                servers.insert(a, Rc::new(Server { id, sock, since, conns: RefCell::default() }));
            }
        }
    }

    fn id(&self, a: Addr) -> Option<String> {
        self.servers.borrow().get(&a).map(|s| s.id.clone())
    }

    /// Reports an end from a task of its own.
    fn report_later(self: &Rc<Self>, request: u64, attempt: u16, end: End) {
        let (pool, node) = (self.clone(), self.node.borrow().upgrade());
        if let Some(node) = node {
            node.spawn("report", async move { pool.report(request, attempt, end) });
        }
    }

    fn report(&self, request: u64, attempt: u16, end: End) {
        self.out.borrow_mut().remove(&(request, attempt));
        if let Some(node) = self.node.borrow().upgrade() {
            node.plan(|p, now| p.ended(now, request, attempt, end));
        }
    }

    fn count(&self, c: Counter) {
        if let Some(node) = self.node.borrow().upgrade() {
            node.count(c);
        }
    }

    fn connection(self: &Rc<Self>, s: &Rc<Server>, call: &str) -> Option<Rc<Conn>> {
        let at = now();
        let conns = s.conns.borrow();
        let usable = conns.iter().filter(|c| c.takes(call, self.names.streams));
        let best =
            usable.filter(|c| !c.silent(at, self.names.connect)).min_by_key(|c| c.pending.borrow().len());
        let live = conns.iter().filter(|c| !c.closed.get()).count();
        match best {
            Some(c) if c.pending.borrow().len() < SPREAD || live >= MOST => return Some(c.clone()),
            None if live >= MOST * 2 => return None,
            _ => drop(conns),
        }
        let conn = Rc::new(Conn {
            sock: s.sock,
            pending: RefCell::default(),
            queue: RefCell::default(),
            given_up: RefCell::default(),
            signal: Signal::default(),
            heard: Cell::new(at),
            used: Cell::new(at),
            retired: Cell::new(false),
            closed: Cell::new(false),
        });
        s.conns.borrow_mut().push(conn.clone());
        let (pool, server, c) = (self.clone(), s.clone(), conn.clone());
        let task = async move {
            pool.run(&c).await;
            server.conns.borrow_mut().retain(|o| !Rc::ptr_eq(o, &c));
        };
        match self.node.borrow().upgrade() {
            Some(node) => node.spawn("cache connection", task),
            None => return None,
        }
        Some(conn)
    }

    async fn run(&self, c: &Conn) {
        let until = now() + self.names.connect;
        let connected = async { Async::<TcpStream>::connect(c.sock).await.ok() };
        let stream = connected.or(async { (sleep_until(until).await, None).1 }).await;
        let mut unread = Vec::new();
        if let Some(stream) = stream {
            self.count(Counter::Opened);
            stream.get_ref().set_nodelay(true).ok();
            c.heard.set(now());
            self.write(c, &stream).or(self.read(c, &stream, &mut unread)).or(self.idle(c)).await;
        }
        c.closed.set(true);
        let pending = std::mem::take(&mut *c.pending.borrow_mut());
        if !pending.is_empty() {
            self.count(Counter::Broken);
        }
        for (call, p) in pending {
            let begun = unread.windows(call.len()).take(64).any(|w| w == call.as_bytes());
            let progress = if begun { Progress::AnswerBegun } else { p.progress };
            self.report(p.request, p.attempt, End::Broke(progress));
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
            sleep_until(now() + 500_000).await;
        }
    }

    async fn write(&self, c: &Conn, mut stream: &Async<TcpStream>) {
        loop {
            let Some(item) = c.queue.borrow_mut().pop_front() else {
                c.signal.wait().await;
                continue;
            };
            let (bytes, call) = match item {
                Item::Cancel(call) => (wire::resp_write(&[b"cancel", call.as_bytes()]), None),
                Item::Serve(d) => {
                    let node = self.node.borrow().upgrade();
                    let told = node.is_some_and(|n| n.plan(|p, _| p.epoch()) != d.epoch);
                    // Guards the rules on purges and drains: what they told since counts from the first byte.
                    let old = told && now() > d.decided + OUTDATED;
                    let Some(bytes) = self.encode(&d).filter(|_| !old) else {
                        c.pending.borrow_mut().remove(&d.ask.call);
                        self.report(d.request, d.attempt, End::Stale);
                        continue;
                    };
                    (bytes, Some(d.ask.call.clone()))
                }
            };
            c.used.set(now());
            let mut at = 0;
            while at < bytes.len() {
                match stream.write(&bytes[at..]).await {
                    Ok(n) if n > 0 => at += n,
                    _ => return,
                }
                let mut pending = c.pending.borrow_mut();
                if let Some(p) = call.as_ref().and_then(|id| pending.get_mut(id)) {
                    p.written = now();
                    p.progress =
                        if at < bytes.len() { Progress::PartlyWritten } else { Progress::WrittenWhole };
                }
            }
        }
    }

    fn encode(&self, d: &Dispatch) -> Option<Vec<u8>> {
        let ask = &d.ask;
        let class = self.names.classes.get(usize::from(ask.class))?;
        let left = d.due.saturating_sub(now()) / 1000;
        let mut f = format!("queue={class},path={},blk={},budget={}", ask.row, ask.part, left.max(1));
        let mut put = |name: &str, value: &str| {
            f.push(',');
            f.push_str(name);
            f.push('=');
            f.push_str(value);
        };
        if let Some(key) = &ask.key {
            put("uniq", key);
        }
        if let Some(source) = d.source {
            put("fetch", &self.id(source)?);
        }
        if d.keep > 0 {
            put("retain", &d.keep.to_string());
        }
        if d.age > 0 {
            put("newer", &(d.age / 1000).max(1).to_string());
        }
        let flags = [
            (d.join, "coalesce"),
            (d.only_held, "shallow"),
            (d.parent_keeps_none, "transit"),
            (d.renew, "freshen"),
        ];
        let how: Vec<&str> = flags.iter().filter(|(on, _)| *on).map(|(_, w)| *w).collect();
        if !how.is_empty() {
            put("handle", &how.join("+"));
        }
        if let Some(tag) = &ask.tag {
            put("holds", tag);
        }
        Some(wire::resp_write(&[b"serve", ask.call.as_bytes(), f.as_bytes(), &ask.body]))
    }

    async fn read(&self, c: &Conn, mut stream: &Async<TcpStream>, buf: &mut Vec<u8>) {
        let mut chunk = vec![0u8; 64 * 1024];
        loop {
            match stream.read(&mut chunk).await {
                Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
                _ => return,
            }
            c.heard.set(now());
            c.used.set(now());
            let mut at = 0;
            loop {
                let (call, told, used) = match wire::resp(&buf[at..]) {
                    Ok(Some((parts, used))) => match answer(&parts, &self.names.columns) {
                        Some((call, told)) => (call, told, used),
                        None => return self.count(Counter::Malformed),
                    },
                    Ok(None) => break,
                    Err(_) => return self.count(Counter::Malformed),
                };
                at += used;
                let pending = c.pending.borrow_mut().remove(&*call);
                match pending {
                    Some(p) => self.report(p.request, p.attempt, End::Answered(told)),
                    None => self.count(Counter::LateEnds),
                }
            }
            buf.drain(..at);
        }
    }
}

/// What the planner holds of the pool.
pub struct Way(pub Rc<Pool>);

impl Caches for Way {
    fn send(&mut self, d: Dispatch) {
        let server = self.0.servers.borrow().get(&d.member).cloned();
        let Some(server) = server else { return self.0.report_later(d.request, d.attempt, End::Stale) };
        let Some(c) = self.0.connection(&server, &d.ask.call) else {
            return self.0.report_later(d.request, d.attempt, End::Broke(Progress::NotConnected));
        };
        let (request, attempt) = (d.request, d.attempt);
        let p = Pending { request, attempt, progress: Progress::NotConnected, written: Micros::MAX };
        c.pending.borrow_mut().insert(d.ask.call.clone(), p);
        c.queue.borrow_mut().push_back(Item::Serve(d));
        c.signal.notify();
        self.0.out.borrow_mut().insert((request, attempt), c);
    }

    fn withdraw(&mut self, request: u64, attempt: u16) {
        let Some(c) = self.0.out.borrow_mut().remove(&(request, attempt)) else { return };
        let own = |p: &Pending| p.request == request && p.attempt == attempt;
        let found = c.pending.borrow().iter().find(|(_, p)| own(p)).map(|(call, p)| (call.clone(), *p));
        let Some((call, p)) = found else { return };
        // A connection that stays silent while its requests are given up would look clean again: one answer that
        // never ends would hold up every later one.
        if c.silent(now(), self.0.names.connect) {
            c.retired.set(true);
        }
        c.pending.borrow_mut().remove(&call);
        if p.progress == Progress::NotConnected {
            let of = |i: &Item| matches!(i, Item::Serve(d) if d.request == request && d.attempt == attempt);
            c.queue.borrow_mut().retain(|i| !of(i));
        }
        // One whose first bytes are being written is finished, then called off.
        let mut given_up = c.given_up.borrow_mut();
        if given_up.len() == GIVEN_UP {
            given_up.pop_front();
        }
        given_up.push_back(call.clone());
        if p.progress != Progress::NotConnected {
            c.queue.borrow_mut().push_back(Item::Cancel(call));
            c.signal.notify();
        }
    }
}

/// What a cache's answer says: the id, and how the attempt ended.
pub fn answer(parts: &[&[u8]], columns: &[String]) -> Option<(Box<str>, Told)> {
    let [id, word, fields, body] = parts else { return None };
    let id = std::str::from_utf8(id).ok()?;
    let fields = std::str::from_utf8(fields).ok()?;
    let word = std::str::from_utf8(word).ok()?;
    let outcome = match word {
        "served" | "still_good" => Outcome::Ok,
        "not_here" => Outcome::Miss,
        "overload" => Outcome::Refused,
        "crashed" => Outcome::Error,
        "nobody" => Outcome::Moot,
        _ => return None,
    };
    let note = match wire::field(fields, "detail").unwrap_or("") {
        "HIT" => Note::Hit,
        "MISS" => Note::Filled,
        "MISS_ORIGIN" => Note::FilledOrigin,
        "COLLAPSED" => Note::Joined,
        "STALE" => Note::Stale,
        "UP_BUSY" => Note::SourceRefused,
        "UP_DOWN" => Note::SourceLost,
        "UP_MISS" => Note::SourceLacks,
        "NO_FILL" => Note::NoPlace,
        "ORIGIN_ERR" => Note::OriginFailed,
        _ => Note::None,
    };
    let waited = wire::field(fields, "took").and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
    let mut report = Report::default();
    if let Some(gauges) = wire::field(fields, "use") {
        for (name, value) in gauges.split(';').filter_map(|g| g.split_once(':')) {
            // The list of columns has the settings' word for the share of the processor in use.
            let name = if name == "util" { "cpu" } else { name };
            let at = columns.iter().position(|c| c == name).filter(|i| *i < 4);
            if let (Some(i), Ok(x)) = (at, value.parse::<f32>()) {
                report.values[i] = if x.is_finite() { x } else { 0.0 };
                report.n = report.n.max(i as u8 + 1);
            }
        }
    }
    let payload = (outcome == Outcome::Ok).then(|| Payload {
        body: if word == "served" { body.to_vec() } else { Vec::new() },
        tag: wire::field(fields, "version").unwrap_or("").into(),
        unchanged: word == "still_good",
    });
    Some((id.into(), Told { outcome, note, waited: (waited.max(0.0) * 1000.0) as Micros, report, payload }))
}
