//! Stand-in cache servers that answer, refuse, fail, stay silent, close connections and drain, and a stand-in
//! discovery with one address for each proxy, so that the time at which each event reached each proxy is
//! known.
use crate::common::{listen, server_entry, MAX_OBJECT_BYTES};
use crate::oracle::Oracle;
use crate::{pause, rng_for, MILLISECOND, SECOND};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt, FutureExt};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use threadward::net::{now, Signal};
use threadward::wire;
use threadward_core::Micros;

/// How many cache servers there are.
pub const SERVERS: usize = 5;
/// How many groups of requests a purge can name.
const GROUPS: u64 = 8;
/// How long a purge stays in force: the oracle checks it, and starting processes get it, for this time.
const PURGE_LIFETIME: Micros = 5 * SECOND;
/// An event counts as reported so long after it was published, whether it was written or not.
const MAX_REPORT_DELAY: Micros = 7 * SECOND;
/// What a new process had to catch up on counts as reported so long after it is ready.
const REPORT_DELAY_AFTER_TAKEOVER: Micros = 2 * SECOND;

/// What a cache server does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerBehavior {
    Healthy,
    Slow,
    Silent,
    Refuses,
    Fails,
    ClosesConnection,
    /// Sends a second answer right behind the first.
    AnswersTwice,
}

const FAULTY_BEHAVIORS: [ServerBehavior; 6] = [
    ServerBehavior::Slow,
    ServerBehavior::Silent,
    ServerBehavior::Refuses,
    ServerBehavior::Fails,
    ServerBehavior::ClosesConnection,
    ServerBehavior::AnswersTwice,
];

/// One cache server.
pub struct Server {
    pub addr: SocketAddr,
    behavior: Cell<ServerBehavior>,
    /// When discovery published that it drains; nothing while it is in use.
    draining: Cell<Option<Micros>>,
}

/// One event of discovery.
struct Event {
    text: String,
    published_at: Micros,
    /// The server that drains or comes back into use.
    server: Option<usize>,
    /// The group that is purged.
    group: Option<u64>,
}

/// A new process that took over from another one of its proxy.
#[derive(Clone, Copy)]
struct Takeover {
    /// The first event that had been written to no process when the new one started.
    first_event: usize,
    /// When the new process said that it is ready.
    ready_at: Micros,
}

/// Discovery as one proxy sees it.
pub struct Discovery {
    /// When each event was last written to a process of this proxy.
    written_at: RefCell<Vec<Option<Micros>>>,
    /// The last time that a new process took over.
    takeover: Cell<Option<Takeover>>,
    /// Whether it sends nothing, not even keepalives.
    silent: Cell<bool>,
}

impl Discovery {
    /// Notes that a process has the first `events` events from its configuration: those that were written to
    /// none count as written now.
    fn mark_written(&self, events: usize) {
        let mut written_at = self.written_at.borrow_mut();
        let length = written_at.len().max(events);
        written_at.resize(length, None);
        written_at[..events].iter_mut().for_each(|at| *at = Some(at.unwrap_or(now())));
    }
}

/// The cache servers and the discovery of a run, and what operators did at each proxy.
pub struct Environment {
    pub oracle: Rc<Oracle>,
    pub servers: Vec<Rc<Server>>,
    events: RefCell<Vec<Event>>,
    pub discoveries: RefCell<Vec<Rc<Discovery>>>,
    /// Servers that an operator banned at a proxy, by proxy and server, and when the command was answered
    /// with `done`.
    pub bans: RefCell<BTreeMap<(usize, usize), Micros>>,
    executor: &'static LocalExecutor<'static>,
}

/// Set in the second half of a request's id where the object asked for is large.
pub const LARGE_OBJECT_BIT: u64 = 0x8000_0000;

/// Returns the bytes that a request has to be answered with, which follow from its id.
pub fn body(call_id: &str) -> Vec<u8> {
    let number = u64::from_str_radix(&call_id[8..], 16).unwrap_or(0);
    let length = match number & LARGE_OBJECT_BIT {
        0 => 100 + (number % 0x1_0000) as usize % 40_000,
        _ => MAX_OBJECT_BYTES - (number % 1_000) as usize,
    };
    let mut bytes = call_id.as_bytes().repeat(length.div_ceil(call_id.len()));
    bytes.truncate(length);
    bytes
}

impl Environment {
    /// Starts the cache servers.
    pub fn new(executor: &'static LocalExecutor<'static>, oracle: Rc<Oracle>, seed: u64) -> Rc<Environment> {
        let mut listeners = Vec::new();
        let mut servers = Vec::new();
        for _ in 0..SERVERS {
            let (listener, at) = listen();
            listeners.push(listener);
            servers.push(Rc::new(Server {
                addr: at,
                behavior: Cell::new(ServerBehavior::Healthy),
                draining: Cell::new(None),
            }));
        }
        let (events, discoveries) = (RefCell::default(), RefCell::default());
        let bans = RefCell::default();
        let environment = Rc::new(Environment { oracle, servers, events, discoveries, bans, executor });
        for (number, listener) in listeners.into_iter().enumerate() {
            let environment = environment.clone();
            let task = async move {
                let mut rng = rng_for(seed, 1_000 + number as u64);
                while let Ok((stream, _)) = listener.accept().await {
                    let rng = rng.fork();
                    executor.spawn(serve(environment.clone(), number, stream, rng)).detach();
                }
            };
            executor.spawn(task).detach();
        }
        environment
    }

    /// Returns the purges that are still in force, as the texts of their events.
    pub fn purges(&self) -> Vec<String> {
        let events = self.events.borrow();
        let recent = events.iter().filter(|e| e.group.is_some() && now() < e.published_at + PURGE_LIFETIME);
        recent.map(|e| e.text.clone()).collect()
    }

    /// Returns the number of the last event and the list of servers as it is now.
    pub fn server_list(&self) -> (u64, Vec<String>) {
        let state = |s: &Server| if s.draining.get().is_some() { "leaving" } else { "active" };
        let entry =
            |(n, s): (usize, &Rc<Server>)| server_entry(&format!("s-{n}"), s.addr, "std", state(s), 0);
        let mut entries: Vec<String> = self.servers.iter().enumerate().map(entry).collect();
        // Requests that are passed on are filled from the origin, which only cache servers connect to.
        entries.push(server_entry("origin", ([127, 0, 0, 1], 9).into(), "origin", "active", 0));
        (self.events.borrow().len() as u64, entries)
    }

    /// Notes that a process of this proxy starts with all events so far in its configuration.
    pub fn process_started(&self, proxy: usize) {
        self.discoveries.borrow()[proxy].mark_written(self.published());
    }

    /// Appends an event to discovery; each proxy's watch sends it on.
    fn publish(&self, what: &str, server: Option<usize>, group: Option<u64>) {
        let mut events = self.events.borrow_mut();
        let text = format!(r#"{{"no":{},{what}}}"#, events.len() + 1);
        events.push(Event { text, published_at: now(), server, group });
    }

    /// Returns when an event counts as reported to a proxy: when it was written, or 7 s after it was
    /// published at the latest. What a new process had to catch up on counts from 2 s after its yes, unless it
    /// had counted for longer by then.
    fn reported_at(&self, proxy: usize, event: usize) -> Micros {
        let discovery = &self.discoveries.borrow()[proxy];
        let written = discovery.written_at.borrow().get(event).copied().flatten();
        let latest = self.events.borrow()[event].published_at + MAX_REPORT_DELAY;
        let reported = written.unwrap_or(Micros::MAX).min(latest);
        match discovery.takeover.get() {
            Some(takeover) if event >= takeover.first_event && latest >= takeover.ready_at => {
                reported.max(takeover.ready_at + REPORT_DELAY_AFTER_TAKEOVER)
            }
            _ => reported,
        }
    }

    /// Returns how many events were published so far.
    pub fn published(&self) -> usize {
        self.events.borrow().len()
    }

    /// Returns the first event that has not been written to a process of this proxy.
    pub fn first_unwritten_event(&self, proxy: usize) -> usize {
        let discovery = self.discoveries.borrow()[proxy].clone();
        let written_at = discovery.written_at.borrow();
        written_at.iter().position(Option::is_none).unwrap_or(written_at.len())
    }

    /// Notes that a new process has just said that it is ready, beside the one that serves. It started with
    /// `configured` events; those from `first_event` on had been written to no process by then. "News from the
    /// bulletin counts as told 2 s after the yes." (page on day-to-day service, "A new version under load")
    pub fn process_replaced(&self, proxy: usize, first_event: usize, configured: usize) {
        let discovery = self.discoveries.borrow()[proxy].clone();
        discovery.mark_written(configured);
        discovery.takeover.set(Some(Takeover { first_event, ready_at: now() }));
    }

    /// Returns when it was reported to a proxy, by discovery or by an operator, that a server is not to be
    /// used.
    fn drain_reported_at(&self, proxy: usize, server: usize) -> Option<Micros> {
        let banned = self.bans.borrow().get(&(proxy, server)).copied();
        banned.into_iter().chain(self.discovery_drain_reported_at(proxy, server)).min()
    }

    /// Returns when discovery reported to a proxy that a server drains.
    fn discovery_drain_reported_at(&self, proxy: usize, server: usize) -> Option<Micros> {
        self.servers[server].draining.get()?;
        let event = self.events.borrow().iter().rposition(|e| e.server == Some(server))?;
        Some(self.reported_at(proxy, event)).filter(|at| *at < Micros::MAX)
    }

    /// Returns when the last purge of a group was reported to a proxy, and when that purge was issued.
    fn last_purge(&self, proxy: usize, group: u64) -> Option<(Micros, Micros)> {
        let events = self.events.borrow();
        let of = (0..events.len()).rev().filter(|n| events[*n].group == Some(group));
        // The proxies forget a purge after the time that their settings give.
        let recent = of.filter(|n| now() < events[*n].published_at + PURGE_LIFETIME);
        recent
            .map(|n| (self.reported_at(proxy, n), events[n].published_at))
            .filter(|(reported, _)| *reported < now())
            .max_by_key(|p| p.1)
    }

    /// Opens discovery for one more proxy and returns its address.
    pub fn discovery(self: &Rc<Self>) -> SocketAddr {
        let (listener, at) = listen();
        let written_at = RefCell::default();
        let discovery =
            Rc::new(Discovery { written_at, takeover: Cell::new(None), silent: Cell::new(false) });
        self.discoveries.borrow_mut().push(discovery.clone());
        let proxy = self.discoveries.borrow().len() - 1;
        let environment = self.clone();
        let task = async move {
            // During an upgrade the old and the new process watch at the same time.
            while let Ok((stream, from)) = listener.accept().await {
                let (shared, discovery) = (environment.clone(), discovery.clone());
                let task = async move {
                    watch(&shared, &discovery, proxy, &stream).await;
                    shared.oracle.record_proxy_event(proxy, format!("watch {} ended", from.port()));
                };
                environment.executor.spawn(task).detach();
            }
        };
        self.executor.spawn(task).detach();
        at
    }

    /// Lets servers become faulty or drain, publishes purges and silences watches, until `until`.
    pub fn inject_faults(
        self: &Rc<Self>,
        executor: &'static LocalExecutor<'static>,
        seed: u64,
        until: Micros,
    ) {
        for number in 0..SERVERS {
            let (environment, mut rng) = (self.clone(), rng_for(seed, 2_000 + number as u64));
            let task = async move {
                while now() < until {
                    pause(rng.u64(200..2_500) * MILLISECOND).await;
                    let server = &environment.servers[number];
                    let _fault = environment.oracle.begin_fault();
                    // The first server stays healthy and in use, so that something can be served.
                    if number > 0 && rng.u8(0..4) == 0 {
                        let entry = |state| {
                            crate::common::server_entry(&format!("s-{number}"), server.addr, "std", state, 0)
                        };
                        let servers_event =
                            |e: String| format!(r#""roster":{{"version":2,"full":false,"servers":[{e}]}}"#);
                        server.draining.set(Some(now()));
                        environment.publish(&servers_event(entry("leaving")), Some(number), None);
                        pause(rng.u64(1_500..4_000) * MILLISECOND).await;
                        server.draining.set(None);
                        environment.publish(&servers_event(entry("active")), Some(number), None);
                    } else if number > 0 {
                        server.behavior.set(FAULTY_BEHAVIORS[rng.usize(0..FAULTY_BEHAVIORS.len())]);
                        pause(rng.u64(100..1_500) * MILLISECOND).await;
                        server.behavior.set(ServerBehavior::Healthy);
                    } else {
                        let group = rng.u64(0..GROUPS);
                        let issued = crate::common::unix_ms();
                        let what = format!(r#""recall":{{"lot":{group},"issued":{issued}}}"#);
                        environment.publish(&what, None, Some(group));
                    }
                }
            };
            executor.spawn(task).detach();
        }
        let (environment, mut rng) = (self.clone(), rng_for(seed, 3_000));
        let task = async move {
            while now() < until {
                pause(rng.u64(300..1_500) * MILLISECOND).await;
                let all = environment.discoveries.borrow().clone();
                let discovery = &all[rng.usize(0..all.len())];
                let _fault = environment.oracle.begin_fault();
                discovery.silent.set(true);
                pause(rng.u64(100..3_000) * MILLISECOND).await;
                discovery.silent.set(false);
            }
        };
        executor.spawn(task).detach();
    }
}

/// Returns the purge group of a request, which follows from its id.
pub fn group_of(call_id: &str) -> u64 {
    u64::from_str_radix(&call_id[..4], 16).unwrap_or(0) % GROUPS
}

/// Serves one watch of a proxy until the connection ends.
async fn watch(
    environment: &Environment,
    discovery: &Discovery,
    proxy: usize,
    mut stream: &Async<TcpStream>,
) {
    let port = stream.get_ref().peer_addr().map_or(0, |from| from.port());
    let (mut buffer, mut chunk) = (Vec::new(), [0u8; 4096]);
    let mut sent: usize = loop {
        let n = stream.read(&mut chunk).await.unwrap_or(0);
        if n == 0 {
            return;
        }
        buffer.extend_from_slice(&chunk[..n]);
        if let Some((head, _)) = wire::parse_http_head(&buffer).unwrap() {
            break head.header("last-event-id").unwrap().parse().unwrap();
        }
    };
    if stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n:\n\n").await.is_err() {
        return;
    }
    let mut keepalive_at = now() + SECOND;
    loop {
        while sent < environment.events.borrow().len() && !discovery.silent.get() {
            // A write to a process that has ended succeeds once; what it says has reached nobody.
            if future::poll_once(stream.read(&mut chunk)).await.is_some() {
                return;
            }
            let text = environment.events.borrow()[sent].text.clone();
            sent += 1;
            environment.oracle.record_proxy_event(proxy, format!("event {sent} goes to watch {port}"));
            if stream.write_all(format!("id: {sent}\ndata: {text}\n\n").as_bytes()).await.is_err() {
                return;
            }
            let mut written_at = discovery.written_at.borrow_mut();
            let length = written_at.len().max(sent);
            written_at.resize(length, None);
            // Where several processes watch, the last write counts.
            written_at[sent - 1] = Some(now());
        }
        let wait_for_event = async {
            pause(10 * MILLISECOND).await;
            true
        };
        let connection_open = async { stream.read(&mut chunk).await.unwrap_or(0) > 0 };
        if !wait_for_event.or(connection_open).await {
            return;
        }
        if now() >= keepalive_at && !discovery.silent.get() {
            keepalive_at = now() + SECOND;
            if stream.write_all(b":\n\n").await.is_err() {
                return;
            }
        }
    }
}

/// Answers that wait to be written to a proxy. Each is written whole before the next one begins.
#[derive(Default)]
struct AnswerQueue {
    answers: RefCell<VecDeque<Vec<u8>>>,
    more: Signal,
}

impl AnswerQueue {
    fn push(&self, bytes: Vec<u8>) {
        self.answers.borrow_mut().push_back(bytes);
        self.more.notify();
    }

    /// Writes the answers as they come, until the connection takes no more.
    async fn write(&self, mut stream: &Async<TcpStream>) {
        loop {
            let Some(bytes) = self.answers.borrow_mut().pop_front() else {
                self.more.wait().await;
                continue;
            };
            if stream.write_all(&bytes).await.is_err() {
                return;
            }
        }
    }
}

/// Serves one connection of a cache server.
async fn serve(environment: Rc<Environment>, number: usize, stream: Async<TcpStream>, rng: fastrand::Rng) {
    let answer_queue = Rc::new(AnswerQueue::default());
    read_commands(&environment, number, &stream, &answer_queue, rng).or(answer_queue.write(&stream)).await;
}

/// Reads commands until the connection ends, and queues the answers.
async fn read_commands(
    environment: &Rc<Environment>,
    number: usize,
    mut stream: &Async<TcpStream>,
    answer_queue: &Rc<AnswerQueue>,
    mut rng: fastrand::Rng,
) {
    let (mut buffer, mut chunk) = (Vec::new(), vec![0u8; 16 * 1024]);
    loop {
        let n = stream.read(&mut chunk).await.unwrap_or(0);
        if n == 0 {
            return;
        }
        buffer.extend_from_slice(&chunk[..n]);
        while let Some((parts, used)) = wire::parse_resp(&buffer).expect("a well-formed command") {
            let parts: Vec<String> = parts.iter().map(|p| String::from_utf8_lossy(p).into_owned()).collect();
            buffer.drain(..used);
            match parts[0].as_str() {
                "gauges" | "health" => {
                    let answer: [&[u8]; 4] = [parts[1].as_bytes(), b"green", b"-", b""];
                    answer_queue.push(wire::encode_resp(&answer));
                }
                "serve" if !handle_attempt(environment, number, answer_queue, &parts, &mut rng) => return,
                _ => {}
            }
        }
    }
}

/// Checks an attempt against the rules and answers it as the server's behavior says; false where the
/// connection is closed instead.
fn handle_attempt(
    environment: &Rc<Environment>,
    number: usize,
    answer_queue: &Rc<AnswerQueue>,
    parts: &[String],
    rng: &mut fastrand::Rng,
) -> bool {
    let (call_id, fields) = (parts[1].clone(), &parts[2]);
    let proxy = crate::clients::proxy_of(&call_id);
    let oracle = &environment.oracle;
    oracle.check_attempt(&call_id, number, fields, environment.drain_reported_at(proxy, number));
    oracle.check_purge(&call_id, fields, environment.last_purge(proxy, group_of(&call_id)));
    let behavior = environment.servers[number].behavior.get();
    oracle.note(&call_id, &format!("server {number} is {behavior:?}"));
    let served = |bytes: &[u8]| {
        wire::encode_resp(&[
            call_id.as_bytes(),
            b"served",
            b"version=4be0c1927d55a6f3,stamp=1,detail=HIT",
            bytes,
        ])
    };
    let answer_with = |word: &[u8]| wire::encode_resp(&[call_id.as_bytes(), word, b"-", b""]);
    let (wait, bytes) = match behavior {
        ServerBehavior::Silent => return true,
        ServerBehavior::ClosesConnection => return false,
        ServerBehavior::Refuses => {
            oracle.mark_never_ran(&call_id, number);
            (0, answer_with(b"overload"))
        }
        ServerBehavior::Fails => (0, answer_with(b"crashed")),
        ServerBehavior::Slow => (rng.u64(50..700) * MILLISECOND, served(&body(&call_id))),
        ServerBehavior::AnswersTwice => (0, [served(&body(&call_id)), served(&body(&call_id))].concat()),
        ServerBehavior::Healthy => (rng.u64(0..8) * MILLISECOND, served(&body(&call_id))),
    };
    let answer_queue = answer_queue.clone();
    let answer = async move {
        pause(wait).await;
        answer_queue.push(bytes);
    };
    environment.executor.spawn(answer).detach();
    true
}
