//! Stand-in cache servers that answer, refuse, fail, fall silent, break connections and drain, and discovery with one
//! address for each proxy, so that what a proxy was told is known to the moment.
use crate::common::{listen, server_entry};
use crate::oracle::Oracle;
use crate::{dice, pause, MILLISECOND, SECOND};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use threadward::net::{now, Signal};
use threadward::wire;
use threadward_core::Micros;

pub const SERVERS: usize = 5;
const GROUPS: u64 = 8;
/// For so long a purge is asked for.
const PURGE_MEMORY: Micros = 5 * SECOND;

/// How a cache server treats a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mood {
    Well,
    Slow,
    Silent,
    Refuses,
    Fails,
    Breaks,
    /// Answers with a second answer behind the first.
    Twice,
}

const BAD: [Mood; 6] = [Mood::Slow, Mood::Silent, Mood::Refuses, Mood::Fails, Mood::Breaks, Mood::Twice];

pub struct Server {
    pub at: SocketAddr,
    mood: Cell<Mood>,
    /// When its drain was put into discovery; nothing while it is in use.
    draining: Cell<Option<Micros>>,
}

/// One event of discovery.
struct Event {
    text: String,
    at: Micros,
    /// The server that drains or returns.
    server: Option<usize>,
    /// The group that is purged.
    group: Option<u64>,
}

/// Discovery as one proxy sees it.
pub struct Discovery {
    /// When each event was written to it.
    told: RefCell<Vec<Option<Micros>>>,
    /// A new process took over: what was published since that event counts as told at that moment at the earliest.
    replaced: Cell<(usize, Micros)>,
    silent: Cell<bool>,
}

pub struct World {
    pub oracle: Rc<Oracle>,
    pub servers: Vec<Rc<Server>>,
    events: RefCell<Vec<Event>>,
    pub discoveries: RefCell<Vec<Rc<Discovery>>>,
    /// Servers that an operator took out at a proxy, by proxy and server, and when that was answered with `done`.
    pub bans: RefCell<BTreeMap<(usize, usize), Micros>>,
    executor: &'static LocalExecutor<'static>,
}

/// The bytes that a request is answered with.
pub fn body(call: &str) -> Vec<u8> {
    let length = 100 + usize::from_str_radix(&call[12..], 16).unwrap_or(0) % 40_000;
    call.bytes().cycle().take(length).collect()
}

impl World {
    pub fn new(executor: &'static LocalExecutor<'static>, oracle: Rc<Oracle>, seed: u64) -> Rc<World> {
        let mut listeners = Vec::new();
        let mut servers = Vec::new();
        for _ in 0..SERVERS {
            let (listener, at) = listen();
            listeners.push(listener);
            servers.push(Rc::new(Server { at, mood: Cell::new(Mood::Well), draining: Cell::new(None) }));
        }
        let (events, discoveries) = (RefCell::default(), RefCell::default());
        let bans = RefCell::default();
        let world = Rc::new(World { oracle, servers, events, discoveries, bans, executor });
        for (number, listener) in listeners.into_iter().enumerate() {
            let world = world.clone();
            let task = async move {
                let mut lots = dice(seed, 1_000 + number as u64);
                while let Ok((stream, _)) = listener.accept().await {
                    let lots = lots.fork();
                    executor.spawn(serve(world.clone(), number, stream, lots)).detach();
                }
            };
            executor.spawn(task).detach();
        }
        world
    }

    /// The purges that are still in force, as events.
    pub fn purges(&self) -> Vec<String> {
        let events = self.events.borrow();
        let recent = events.iter().filter(|e| e.group.is_some() && now() < e.at + PURGE_MEMORY);
        recent.map(|e| e.text.clone()).collect()
    }

    /// The list as it stands, and the number of its last event.
    pub fn list(&self) -> (u64, Vec<String>) {
        let state = |s: &Server| if s.draining.get().is_some() { "leaving" } else { "active" };
        let entry = |(n, s): (usize, &Rc<Server>)| server_entry(&format!("s-{n}"), s.at, "std", state(s), 0);
        let mut list: Vec<String> = self.servers.iter().enumerate().map(entry).collect();
        // What is passed on is filled from the origin, which only cache servers ask.
        list.push(server_entry("origin", ([127, 0, 0, 1], 9).into(), "origin", "active", 0));
        (self.events.borrow().len() as u64, list)
    }

    /// A process of this proxy starts with all events up to here in its configuration.
    pub fn starts(&self, proxy: usize) {
        let discovery = self.discoveries.borrow()[proxy].clone();
        let mut told = discovery.told.borrow_mut();
        told.resize(self.events.borrow().len(), None);
        told.iter_mut().for_each(|at| *at = Some(at.unwrap_or(now())));
    }

    fn publish(&self, what: &str, server: Option<usize>, group: Option<u64>) {
        let mut events = self.events.borrow_mut();
        let text = format!(r#"{{"no":{},{what}}}"#, events.len() + 1);
        events.push(Event { text, at: now(), server, group });
    }

    /// When an event counts as told to a proxy: as it was written, 7 s after it was published at the latest.
    fn told(&self, proxy: usize, event: usize) -> Micros {
        let written = self.discoveries.borrow()[proxy].told.borrow().get(event).copied().flatten();
        let told = written.unwrap_or(Micros::MAX).min(self.events.borrow()[event].at + 7 * SECOND);
        let (first, from) = self.discoveries.borrow()[proxy].replaced.get();
        if event >= first {
            told.max(from)
        } else {
            told
        }
    }

    /// How many events were published so far.
    pub fn published(&self) -> usize {
        self.events.borrow().len()
    }

    /// A process that knew the events up to `first` has just taken this proxy over.
    pub fn replaced(&self, proxy: usize, first: usize) {
        self.discoveries.borrow()[proxy].replaced.set((first, now() + 2 * SECOND));
    }

    /// When a proxy was told not to use a server, by discovery or by an operator.
    fn drained(&self, proxy: usize, server: usize) -> Option<Micros> {
        let banned = self.bans.borrow().get(&(proxy, server)).copied();
        banned.into_iter().chain(self.drain_told(proxy, server)).min()
    }

    fn drain_told(&self, proxy: usize, server: usize) -> Option<Micros> {
        self.servers[server].draining.get()?;
        let event = self.events.borrow().iter().rposition(|e| e.server == Some(server))?;
        Some(self.told(proxy, event)).filter(|at| *at < Micros::MAX)
    }

    /// When a proxy was told of the last purge of a group, and when that was issued.
    fn purged(&self, proxy: usize, group: u64) -> Option<(Micros, Micros)> {
        let events = self.events.borrow();
        let of = (0..events.len()).rev().filter(|n| events[*n].group == Some(group));
        // The rule's memory of a purge ends after its settings' time.
        let recent = of.filter(|n| now() < events[*n].at + PURGE_MEMORY);
        recent
            .map(|n| (self.told(proxy, n), events[n].at))
            .filter(|(told, _)| *told < now())
            .max_by_key(|p| p.1)
    }

    pub fn discovery(self: &Rc<Self>) -> SocketAddr {
        let (listener, at) = listen();
        let told = RefCell::default();
        let discovery =
            Rc::new(Discovery { told, replaced: Cell::new((usize::MAX, 0)), silent: Cell::new(false) });
        self.discoveries.borrow_mut().push(discovery.clone());
        let world = self.clone();
        let task = async move {
            // The old and the new process of an upgrade watch beside each other.
            while let Ok((stream, _)) = listener.accept().await {
                let (here, discovery) = (world.clone(), discovery.clone());
                let task = async move { watch(&here, &discovery, &stream).await };
                world.executor.spawn(task).detach();
            }
        };
        self.executor.spawn(task).detach();
        at
    }

    /// Lets servers turn bad and drain, purges go out and watches fall silent, up to a moment.
    pub fn trouble(self: &Rc<Self>, executor: &'static LocalExecutor<'static>, seed: u64, until: Micros) {
        for number in 0..SERVERS {
            let (world, mut lots) = (self.clone(), dice(seed, 2_000 + number as u64));
            let task = async move {
                while now() < until {
                    pause(lots.u64(200..2_500) * MILLISECOND).await;
                    let server = &world.servers[number];
                    let _trouble = world.oracle.begin_trouble();
                    // The first stays well and in use, so that something can be served.
                    if number > 0 && lots.u8(0..4) == 0 {
                        let entry = |state| {
                            crate::common::server_entry(&format!("s-{number}"), server.at, "std", state, 0)
                        };
                        let list =
                            |e: String| format!(r#""roster":{{"version":2,"full":false,"servers":[{e}]}}"#);
                        server.draining.set(Some(now()));
                        world.publish(&list(entry("leaving")), Some(number), None);
                        pause(lots.u64(1_500..4_000) * MILLISECOND).await;
                        server.draining.set(None);
                        world.publish(&list(entry("active")), Some(number), None);
                    } else if number > 0 {
                        server.mood.set(BAD[lots.usize(0..BAD.len())]);
                        pause(lots.u64(100..1_500) * MILLISECOND).await;
                        server.mood.set(Mood::Well);
                    } else {
                        let group = lots.u64(0..GROUPS);
                        let issued = crate::common::unix_ms();
                        let what = format!(r#""recall":{{"lot":{group},"issued":{issued}}}"#);
                        world.publish(&what, None, Some(group));
                    }
                }
            };
            executor.spawn(task).detach();
        }
        let (world, mut lots) = (self.clone(), dice(seed, 3_000));
        let task = async move {
            while now() < until {
                pause(lots.u64(300..1_500) * MILLISECOND).await;
                let all = world.discoveries.borrow().clone();
                let discovery = &all[lots.usize(0..all.len())];
                let _trouble = world.oracle.begin_trouble();
                discovery.silent.set(true);
                pause(lots.u64(100..3_000) * MILLISECOND).await;
                discovery.silent.set(false);
            }
        };
        executor.spawn(task).detach();
    }
}

pub fn group_of(call: &str) -> u64 {
    u64::from_str_radix(&call[..4], 16).unwrap_or(0) % GROUPS
}

/// One watch of a proxy, to its end.
async fn watch(world: &World, discovery: &Discovery, mut stream: &Async<TcpStream>) {
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
    let mut beat = now() + SECOND;
    loop {
        while sent < world.events.borrow().len() && !discovery.silent.get() {
            let text = world.events.borrow()[sent].text.clone();
            sent += 1;
            if stream.write_all(format!("id: {sent}\ndata: {text}\n\n").as_bytes()).await.is_err() {
                return;
            }
            let mut told = discovery.told.borrow_mut();
            let length = told.len().max(sent);
            told.resize(length, None);
            // To the last of its processes.
            told[sent - 1] = Some(now());
        }
        let look = async {
            pause(10 * MILLISECOND).await;
            true
        };
        let left = async { stream.read(&mut chunk).await.unwrap_or(0) > 0 };
        if !look.or(left).await {
            return;
        }
        if now() >= beat && !discovery.silent.get() {
            beat = now() + SECOND;
            if stream.write_all(b":\n\n").await.is_err() {
                return;
            }
        }
    }
}

/// Answers on their way to a proxy, one whole after the other.
#[derive(Default)]
struct Outbox {
    answers: RefCell<VecDeque<Vec<u8>>>,
    more: Signal,
}

impl Outbox {
    fn push(&self, bytes: Vec<u8>) {
        self.answers.borrow_mut().push_back(bytes);
        self.more.notify();
    }

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

/// One connection of a cache server.
async fn serve(world: Rc<World>, number: usize, stream: Async<TcpStream>, lots: fastrand::Rng) {
    let outbox = Rc::new(Outbox::default());
    listen_to(&world, number, &stream, &outbox, lots).or(outbox.write(&stream)).await;
}

async fn listen_to(
    world: &Rc<World>,
    number: usize,
    mut stream: &Async<TcpStream>,
    outbox: &Rc<Outbox>,
    mut lots: fastrand::Rng,
) {
    let (mut buffer, mut chunk) = (Vec::new(), vec![0u8; 16 * 1024]);
    loop {
        let n = stream.read(&mut chunk).await.unwrap_or(0);
        if n == 0 {
            return;
        }
        buffer.extend_from_slice(&chunk[..n]);
        while let Some((parts, used)) = wire::parse_resp(&buffer).expect("a command that can be read") {
            let parts: Vec<String> = parts.iter().map(|p| String::from_utf8_lossy(p).into_owned()).collect();
            buffer.drain(..used);
            match parts[0].as_str() {
                "gauges" | "health" => {
                    let answer: [&[u8]; 4] = [parts[1].as_bytes(), b"green", b"-", b""];
                    outbox.push(wire::encode_resp(&answer));
                }
                "serve" if !asked(world, number, outbox, &parts, &mut lots) => return,
                _ => {}
            }
        }
    }
}

/// Judges an attempt and answers it; false where the connection breaks instead.
fn asked(
    world: &Rc<World>,
    number: usize,
    outbox: &Rc<Outbox>,
    parts: &[String],
    lots: &mut fastrand::Rng,
) -> bool {
    let (call, fields) = (parts[1].clone(), &parts[2]);
    let proxy = crate::clients::proxy_of(&call);
    let oracle = &world.oracle;
    oracle.attempted(&call, number, fields, world.drained(proxy, number));
    oracle.purged(&call, fields, world.purged(proxy, group_of(&call)));
    let mood = world.servers[number].mood.get();
    oracle.note(&call, &format!("server {number} is {mood:?}"));
    let served = |bytes: &[u8]| {
        wire::encode_resp(&[
            call.as_bytes(),
            b"served",
            b"version=4be0c1927d55a6f3,stamp=1,detail=HIT",
            bytes,
        ])
    };
    let says = |word: &[u8]| wire::encode_resp(&[call.as_bytes(), word, b"-", b""]);
    let (wait, bytes) = match mood {
        Mood::Silent => return true,
        Mood::Breaks => return false,
        Mood::Refuses => {
            oracle.never_ran(&call, number);
            (0, says(b"overload"))
        }
        Mood::Fails => (0, says(b"crashed")),
        Mood::Slow => (lots.u64(50..700) * MILLISECOND, served(&body(&call))),
        Mood::Twice => (0, [served(&body(&call)), served(&body(&call))].concat()),
        Mood::Well => (lots.u64(0..8) * MILLISECOND, served(&body(&call))),
    };
    let outbox = outbox.clone();
    let answer = async move {
        pause(wait).await;
        outbox.push(bytes);
    };
    world.executor.spawn(answer).detach();
    true
}
