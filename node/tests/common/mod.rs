//! Stand-ins on loopback for the tests: caches that answer as a test says, a bulletin, and clients. All run on
//! one executor beside the node under test.
#![allow(dead_code)]
pub mod probes;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::rc::Rc;
use threadward::net::{now, sleep_until, Signal};
use threadward::node::Node;
use threadward::shift::ProcessGroup;
use threadward::wire::{self, MsgpackValue};

use threadward::{admin, bulletin, config, front};
use threadward_faults::{ports, Process};

pub const OBJECT: &str = "7f3a9c21e0b4d655";

/// What a stand-in cache does with a request.
#[derive(Clone, Debug)]
pub enum Act {
    /// Answers with a word, fields and a body.
    Say(&'static str, &'static str, Vec<u8>),
    Silent,
    /// Begins an answer on this connection and never ends it, whatever else is asked there.
    Stall,
    /// Closes the connection.
    Break,
}

pub type Seen = Rc<RefCell<Vec<Vec<String>>>>;

pub struct Cache {
    pub at: SocketAddr,
    /// Every command it was sent, as texts.
    pub seen: Seen,
    pub act: Rc<RefCell<Act>>,
    /// Takes no further connections once set.
    pub full: Rc<Cell<bool>>,
    conns: Rc<RefCell<Vec<Rc<Async<TcpStream>>>>>,
}

impl Cache {
    /// Answers a request that was held, on every open connection.
    pub async fn reply(&self, call: &str, body: &[u8]) {
        let all: Vec<_> = self.conns.borrow().clone();
        let fields = b"version=4be0c1927d55a6f3,stamp=1,detail=HIT";
        for c in all {
            let bytes = wire::encode_resp(&[call.as_bytes(), b"served", fields, body]);
            (&*c).write_all(&bytes).await.unwrap();
        }
    }
}

pub struct World {
    pub ex: &'static LocalExecutor<'static>,
    pub node: Rc<Node>,
    pub front: SocketAddr,
    pub caches: Vec<Cache>,
    pub news: Rc<RefCell<Vec<String>>>,
    told: Rc<Signal>,
}

pub fn run<F: Future<Output = ()>>(test: impl FnOnce(&'static LocalExecutor<'static>) -> F) {
    let ex: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    async_io::block_on(ex.run(test(ex)));
}

pub fn listen() -> (Rc<Async<TcpListener>>, SocketAddr) {
    let l = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let at = l.get_ref().local_addr().unwrap();
    (Rc::new(l), at)
}

/// Unix time in milliseconds, as lists and purges name it.
pub fn unix_ms() -> u64 {
    threadward::clock::unix_now().micros() / 1000
}

/// Waits until something holds; the bound only ends a test that fails.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = now() + 10_000_000;
    while !holds() {
        assert!(now() < end, "never came: {what}");
        sleep_until(now() + 2_000).await;
    }
}

/// What a future gives; the bound only ends a test that fails.
pub async fn within<T>(what: &str, future: impl Future<Output = T>) -> T {
    let late = async {
        sleep_until(now() + 10_000_000).await;
        panic!("never came: {what}")
    };
    future.or(late).await
}

pub fn cache(ex: &'static LocalExecutor<'static>) -> Cache {
    let (l, at) = listen();
    let (seen, act) = (Seen::default(), Rc::new(RefCell::new(Act::Silent)));
    let conns: Rc<RefCell<Vec<Rc<Async<TcpStream>>>>> = Rc::default();
    let open = conns.clone();
    let full = Rc::new(Cell::new(false));
    let (s, a, closed) = (seen.clone(), act.clone(), full.clone());
    ex.spawn(async move {
        loop {
            let shut = async {
                while !closed.get() {
                    sleep_until(now() + 2_000).await;
                }
                None
            };
            let Some(taken) = async { Some(l.accept().await.unwrap()) }.or(shut).await else { return };
            let (stream, _) = taken;
            let (s, a, stream) = (s.clone(), a.clone(), Rc::new(stream));
            open.borrow_mut().push(stream.clone());
            ex.spawn(async move {
                let (mut stream, mut buf, mut chunk) = (&*stream, Vec::new(), [0u8; 4096]);
                loop {
                    let n = stream.read(&mut chunk).await.unwrap_or(0);
                    if n == 0 {
                        return;
                    }
                    buf.extend_from_slice(&chunk[..n]);
                    while let Some((parts, used)) = wire::parse_resp(&buf).unwrap() {
                        let parts: Vec<String> =
                            parts.iter().map(|p| String::from_utf8_lossy(p).into()).collect();
                        buf.drain(..used);
                        s.borrow_mut().push(parts.clone());
                        let act = a.borrow().clone();
                        match act {
                            // There, but not well: a probe that ended, whatever else the cache does.
                            _ if parts[0] == "gauges" => {
                                let fields = b"use=util:0.91;x1:0.40";
                                let answer: [&[u8]; 4] = [parts[1].as_bytes(), b"red", fields, b""];
                                stream.write_all(&wire::encode_resp(&answer)).await.ok();
                            }
                            _ if parts[0] != "serve" => {}
                            Act::Say(word, fields, body) => {
                                let answer: [&[u8]; 4] =
                                    [parts[1].as_bytes(), word.as_bytes(), fields.as_bytes(), &body];
                                stream.write_all(&wire::encode_resp(&answer)).await.ok();
                            }
                            Act::Silent => {}
                            Act::Stall => {
                                stream.write_all(b"*4\r\n$16\r\n00").await.ok();
                                while stream.read(&mut chunk).await.unwrap_or(0) > 0 {}
                                return;
                            }
                            Act::Break => {
                                stream.get_ref().shutdown(std::net::Shutdown::Both).ok();
                                return;
                            }
                        }
                    }
                }
            })
            .detach();
        }
    })
    .detach();
    Cache { at, seen, act, full, conns }
}

pub fn server(id: &str, at: SocketAddr, kind: &str, state: &str, started_ms: u64) -> String {
    let zone = if kind == "std" { "east" } else { "hub" };
    format!(
        r#"{{"id":"{id}","addr":"{at}","zone":"{zone}","kind":"{kind}","cell":1,"state":"{state}","weight":4,"started_ms":{started_ms}}}"#
    )
}

/// The settings of the tests; `booking` may not be repeated at all.
fn settings() -> &'static str {
    r#"{"classes":[
      {"name":"media","aim":600000,"aim_stretch":1.6,"hard_limit":6000000,"importance":2,"effect":"retryable","group":"all"},
      {"name":"booking","aim":800000,"hard_limit":3000000,"importance":3,"effect":"fragile","group":"all"},
      {"name":"quick","aim":50000,"hard_limit":150000,"importance":1,"effect":"retryable","group":"all"}],
     "family_info":{"pass_on":[false,true,false],"class_fresh":[0,0,0],"grace_for":[0,0,0],"mid_kind":1,"store_kind":2,"cleared_within":6000000,
      "purge_slack":300000,"count_by_zone":[0,1],"tells":"all","sideways":"any","parent_starts_at":0.061,"parent_ramp":21000000,"upper_fall_multiple":2},
     "kinds":["std","parent","origin"],"zones":["hub","east"],"zone":1,"me":0,"balancers":1,"tick":2000,"weight_source":"rough",
     "limits":{"cancel":true,"connect_timeout":400000,"keepalive":30000000,"most_tries":8,"parallel_tries":true,"retry_after":true,
      "max_retry_after":1000000,"streams_per_conn":32,"max_open":500},
     "report":{"columns":["cpu","x1","x0"],"how":"inline"},
     "rules":{"answer_slack":8000,"cold":17000000,"cold_from":0.21,"drain_grace":1000000,"fall":2000000,"fall_multiple":2.5}}"#
}

pub type News = Rc<RefCell<Vec<String>>>;

/// A bulletin that sends what is in the list from the number it is asked for, each event twice. The word `close` ends
/// a connection in the middle of an event, `hush` leaves it open and silent; an event after `late:` is left out once.
pub fn news(ex: &'static LocalExecutor<'static>) -> (News, Rc<Signal>, SocketAddr) {
    let (l, at) = listen();
    let (news, told) = (News::default(), Rc::new(Signal::default()));
    let (n, t) = (news.clone(), told.clone());
    ex.spawn(async move {
        'next: loop {
            let (stream, _) = l.accept().await.unwrap();
            let (mut stream, mut buf, mut chunk) = (&stream, Vec::new(), [0u8; 4096]);
            let head = loop {
                let read = stream.read(&mut chunk).await.unwrap_or(0);
                // Left before it asked, by a process that ended: reading on would never wait again.
                if read == 0 {
                    continue 'next;
                }
                buf.extend_from_slice(&chunk[..read]);
                if let Some((head, _)) = wire::parse_http_head(&buf).unwrap() {
                    break head;
                }
            };
            let mut sent: usize = head.header("last-event-id").unwrap().parse().unwrap();
            stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n:\n\n").await.unwrap();
            'open: loop {
                let new: Vec<String> = n.borrow()[sent..].to_vec();
                for e in new {
                    sent += 1;
                    if let Some(e) = e.strip_prefix("late:") {
                        n.borrow_mut()[sent - 1] = e.to_owned();
                        continue;
                    }
                    if e == "close" || e == "hush" {
                        // Its number is not given again.
                        n.borrow_mut()[sent - 1] = format!(r#"{{"no":{sent}}}"#);
                        stream.write_all(b"id: 99\ndata: {\"no\":99,\"recall\"").await.ok();
                        while e == "hush" && stream.read(&mut chunk).await.unwrap_or(0) > 0 {}
                        break 'open;
                    }
                    let block = format!("id: {sent}\ndata: {e}\n\n").repeat(2);
                    if stream.write_all(block.as_bytes()).await.is_err() {
                        break 'open;
                    }
                }
                // One that is left makes way for the next.
                let left = async { stream.read(&mut chunk).await.unwrap_or(0) == 0 };
                if async { (t.wait().await, false).1 }.or(left).await {
                    break;
                }
            }
        }
    })
    .detach();
    (news, told, at)
}

pub fn configuration(front: SocketAddr, bulletin: SocketAddr, servers: &[String]) -> String {
    format!(
        r#"{{"name":"n0","listen":"{front}","seed":"8c1f30d27a5be964","limits":{{"memory_mb":192,"sockets":1024}},"bulletin":"{bulletin}",
          "known":{{"no":0,"items":[{{"no":0,"roster":{{"version":1,"full":true,"servers":[{}]}}}}]}},"settings":{}}}"#,
        servers.join(","),
        settings()
    )
}

/// A node with as many caches, all ready, an origin behind them and a bulletin.
pub async fn world(ex: &'static LocalExecutor<'static>, caches: usize) -> World {
    small_world(ex, caches, 1024).await
}

/// The same with as many descriptors.
pub async fn small_world(ex: &'static LocalExecutor<'static>, caches: usize, sockets: usize) -> World {
    world_with(ex, caches, |json| json.replace("1024", &sockets.to_string())).await
}

/// The same with another configuration.
pub async fn world_with(
    ex: &'static LocalExecutor<'static>,
    caches: usize,
    other: impl FnOnce(String) -> String,
) -> World {
    let caches: Vec<Cache> = (0..caches).map(|_| cache(ex)).collect();
    let (news, told, at) = news(ex);
    let (l, front) = listen();
    let mut all: Vec<String> =
        caches.iter().enumerate().map(|(i, c)| server(&format!("s-{i}"), c.at, "std", "active", 0)).collect();
    all.push(server("origin", ([127, 0, 0, 1], 9).into(), "origin", "active", 0));
    let json = other(configuration(front, at, &all));
    let node = Node::new(config::parse(&json).unwrap(), ex);
    for b in node.config.known_events.clone() {
        bulletin::apply(&node, b, true);
    }
    node.spawn("front", front::serve(node.clone(), l));
    node.spawn("bulletin", bulletin::follow(node.clone()));
    World { ex, node, front, caches, news, told }
}

impl World {
    /// Ends the bulletin's connection, by `close` or `hush`.
    pub fn hang_up(&self, how: &str) {
        self.news.borrow_mut().push(how.into());
        self.told.notify();
    }

    /// An event that is left out until it is asked for again.
    pub fn hold_back(&self, event: &str) {
        let no = self.news.borrow().len() + 1;
        self.news.borrow_mut().push(format!(r#"late:{{"no":{no},{event}}}"#));
    }

    /// Tells an event and waits until the node has heard it.
    pub async fn tell(&self, event: &str) {
        let before = self.node.plan(|p, _| p.epoch());
        let no = self.news.borrow().len() + 1;
        self.news.borrow_mut().push(format!(r#"{{"no":{no},{event}}}"#));
        self.told.notify();
        until("the event", || self.node.plan(|p, _| p.epoch()) > before).await;
    }

    pub fn all_do(&self, act: Act) {
        for c in &self.caches {
            *c.act.borrow_mut() = act.clone();
        }
    }

    /// All requests that reached the caches.
    pub fn sent(&self) -> Vec<Vec<String>> {
        let all = self.caches.iter().flat_map(|c| c.seen.borrow().clone());
        all.filter(|p| p[0] == "serve").collect()
    }
}

pub fn put_text(out: &mut Vec<u8>, s: &str) {
    out.extend([0xd9, s.len() as u8]);
    out.extend(s.as_bytes());
}

/// A request frame with the usual fields; `more` replaces or adds fields.
pub fn request(id: u32, class: &str, more: &[(&str, &str)]) -> Vec<u8> {
    let call = format!("{id:016x}");
    let mut fields =
        vec![("call", call.as_str()), ("ttl", "2000"), ("row", OBJECT), ("seg", "3"), ("bucket", "17")];
    for m in more {
        fields.retain(|f| f.0 != m.0);
        fields.push(*m);
    }
    let mut out = vec![0x94, 0x00, 0xce];
    out.extend(id.to_be_bytes());
    put_text(&mut out, class);
    out.extend([0x92, 0x80 | fields.len() as u8]);
    for (n, v) in fields {
        put_text(&mut out, n);
        put_text(&mut out, v);
    }
    out.extend([0xc4, 0]);
    out
}

pub struct Client {
    pub stream: Async<TcpStream>,
    buf: Vec<u8>,
}

impl Client {
    pub async fn to(at: SocketAddr) -> Client {
        Client::on(Async::<TcpStream>::connect(at).await.unwrap())
    }

    /// On a connection that stands.
    pub fn on(stream: Async<TcpStream>) -> Client {
        Client { stream, buf: Vec::new() }
    }

    pub async fn send(&self, bytes: &[u8]) {
        (&self.stream).write_all(bytes).await.unwrap();
    }

    /// Some more bytes; nothing at the end.
    async fn more(&mut self) -> bool {
        let mut chunk = [0u8; 4096];
        let n = (&self.stream).read(&mut chunk).await.unwrap_or(0);
        self.buf.extend_from_slice(&chunk[..n]);
        n > 0
    }

    /// The next answer: its id, the error's word if it is one, the body.
    pub async fn answer(&mut self) -> Option<(u32, Option<String>, Vec<u8>)> {
        loop {
            let found = match wire::parse_msgpack(&self.buf).unwrap() {
                Some((MsgpackValue::List(l), used)) => {
                    let word = match &l[2] {
                        MsgpackValue::List(e) => match &e[0] {
                            MsgpackValue::Str(w) => Some(String::from_utf8_lossy(w).into_owned()),
                            other => panic!("{other:?}"),
                        },
                        _ => None,
                    };
                    let body = match &l[3] {
                        MsgpackValue::List(r) => match &r[0] {
                            MsgpackValue::Bin(b) => b.to_vec(),
                            _ => Vec::new(),
                        },
                        _ => Vec::new(),
                    };
                    let MsgpackValue::Int(id) = l[1] else { panic!("an answer without an id") };
                    Some(((id as u32, word, body), used))
                }
                Some(other) => panic!("{other:?}"),
                None => None,
            };
            if let Some((answer, used)) = found {
                self.buf.drain(..used);
                return Some(answer);
            }
            if !self.more().await {
                return None;
            }
        }
    }

    /// The next HTTP answer: status, head as text, body.
    pub async fn http(&mut self) -> Option<(u16, String, Vec<u8>)> {
        loop {
            if let Some((head, used)) = wire::parse_http_head(&self.buf).unwrap() {
                let n: usize = head.header("content-length").map_or(0, |n| n.parse().unwrap());
                if self.buf.len() >= used + n {
                    let text = String::from_utf8_lossy(&self.buf[..used]).into_owned();
                    let body = self.buf[used..used + n].to_vec();
                    self.buf.drain(..used + n);
                    return Some((head.start_line[1].parse().unwrap(), text, body));
                }
            }
            if !self.more().await {
                return None;
            }
        }
    }
}

/// A whole answer from a copy that a cache held.
pub fn served() -> Act {
    Act::Say("served", "version=4be0c1927d55a6f3,stamp=1,detail=HIT", b"whole".to_vec())
}

/// Opens a door on this world's node, as the program does.
pub fn door(w: &World, folder: Option<&Path>) -> (Rc<ProcessGroup>, SocketAddr) {
    let shift = ProcessGroup::new(w.node.clone(), folder);
    let (l, at) = listen();
    shift.listening.set(true);
    let (n, s) = (w.node.clone(), shift.clone());
    w.node.spawn_restarting("door", move || admin::serve(n.clone(), s.clone(), l.clone()));
    (shift, at)
}

/// One call at a door, sent in these pieces; where they hold no newline the end of the stream ends it.
pub async fn ask(at: SocketAddr, pieces: &[&str]) -> String {
    let mut s = Async::<TcpStream>::connect(at).await.unwrap();
    for (i, p) in pieces.iter().enumerate() {
        if i > 0 {
            sleep_until(now() + 3_000).await;
        }
        s.write_all(p.as_bytes()).await.unwrap();
    }
    if !pieces.concat().contains('\n') {
        s.get_ref().shutdown(std::net::Shutdown::Write).unwrap();
    }
    let mut said = String::new();
    s.read_to_string(&mut said).await.unwrap();
    said
}

/// As many addresses for processes of the program.
pub fn addresses(n: usize) -> Vec<SocketAddr> {
    ports::free_addresses(n).unwrap()
}

/// Waits for a line of a process without blocking the executor that the stand-ins run on.
pub async fn says(p: &Process, what: &str) {
    let end = now() + 10_000_000;
    while !p.output().contains(what) {
        assert!(now() < end, "never said '{what}':\n{}", p.output());
        sleep_until(now() + 5_000).await;
    }
}

/// A counter's present value; what is zero is left out.
pub async fn counter(p: &Process, name: &str) -> u64 {
    let lines = |t: &str| t.lines().filter(|l| l.starts_with("counters: ")).count();
    let before = lines(&p.output());
    p.signal(threadward_faults::Signal::USR1).unwrap();
    until("the counters", || lines(&p.output()) > before).await;
    let text = p.output();
    let line = text.lines().rfind(|l| l.starts_with("counters: ")).unwrap();
    let found = line.split(' ').find_map(|w| w.strip_prefix(name)?.strip_prefix('='));
    found.map_or(0, |n| n.parse().unwrap())
}
