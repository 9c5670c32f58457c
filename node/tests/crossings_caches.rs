//! Where two events cross on the way to the caches: connections that end, come up late or say too much, against attempts
//! that are written, withdrawn, out of date or repeated. Each bad order is forced by a stand-in that acts step by step.
mod common;
use async_executor::LocalExecutor;
use async_io::Async;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use rstest::rstest;
use rustix::net::{sockopt, AddressFamily, SocketType};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use threadward::caches::{CachePool, PoolOwner, PoolTransport};
use threadward::net::{now, sleep_until};
use threadward::{config, wire};
use threadward_core::{
    Addr, AttemptEnd, CacheTransport, ClientRequest, Counter, Dispatch, Entry, ListForm, Micros, Outcome,
    Progress, Report, UnixTime,
};

const MS: Micros = 1_000;

/// A cache that does only what the test says, a step at a time.
struct Hand {
    l: Async<TcpListener>,
    at: SocketAddr,
}

/// One connection of the proxy, at the cache's end.
struct Line {
    s: Async<TcpStream>,
    buf: Vec<u8>,
}

impl Hand {
    fn new() -> Hand {
        let l = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let at = l.get_ref().local_addr().unwrap();
        Hand { l, at }
    }
    /// One at which no connection comes up until [`Hand::open`]: its queue is full.
    fn shut() -> (Hand, TcpStream) {
        let s = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        rustix::net::bind(&s, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        rustix::net::listen(&s, 0).unwrap();
        let l = TcpListener::from(s);
        let at = l.local_addr().unwrap();
        (Hand { l: Async::new(l).unwrap(), at }, TcpStream::connect(at).unwrap())
    }
    /// Takes what filled the queue; the next one asks again after a second or three.
    async fn open(&self) {
        drop(self.line().await);
    }
    async fn line(&self) -> Line {
        let late = async { (sleep_until(now() + 10_000 * MS).await, None).1 };
        let (s, _) = async { self.l.accept().await.ok() }.or(late).await.expect("a connection");
        Line { s, buf: Vec::new() }
    }
}

impl Line {
    /// Waits, without letting the proxy run, until the system has acknowledged the end of what is written here: only then
    /// does the proxy's next look at the connection show it. The states are those of `/proc/net/tcp`.
    fn end_has_arrived(&self) {
        const FIN_WAIT_1: &str = "04";
        const ESTABLISHED: &str = "01";
        let port = |at: SocketAddr| format!(":{:04X}", at.port());
        let local = port(self.s.get_ref().local_addr().unwrap());
        let remote = port(self.s.get_ref().peer_addr().unwrap());
        let on_its_way = || {
            let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
            table.lines().any(|row| {
                let cells: Vec<&str> = row.split_whitespace().collect();
                let ends = |cell: usize, port: &str| cells.get(cell).is_some_and(|c| c.ends_with(port));
                let state = cells.get(3).copied();
                ends(1, &local) && ends(2, &remote) && [Some(FIN_WAIT_1), Some(ESTABLISHED)].contains(&state)
            })
        };
        let end = now() + 10_000 * MS;
        while on_its_way() {
            assert!(now() < end, "the end never arrived");
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
    }

    /// The next command, as texts; nothing at the end.
    async fn next(&mut self) -> Option<Vec<String>> {
        loop {
            if let Some((parts, used)) = wire::parse_resp(&self.buf).unwrap() {
                let parts = parts.iter().map(|p| String::from_utf8_lossy(p).into()).collect();
                self.buf.drain(..used);
                return Some(parts);
            }
            let mut chunk = [0u8; 4096];
            let n = (&self.s).read(&mut chunk).await.unwrap_or(0);
            if n == 0 {
                return None;
            }
            self.buf.extend_from_slice(&chunk[..n]);
        }
    }
    async fn say(&self, call: &str, word: &str, fields: &str, body: &[u8]) {
        let answer = [call.as_bytes(), word.as_bytes(), fields.as_bytes(), body];
        (&self.s).write_all(&wire::encode_resp(&answer)).await.unwrap();
    }
    async fn serve(&self, call: &str, body: &[u8]) {
        self.say(call, "served", "version=ab,stamp=1,detail=HIT", body).await;
    }
    /// What has come and was not asked for, at this moment.
    fn waiting(&self) -> usize {
        self.s.get_ref().peek(&mut [0; 4096]).unwrap_or(0) + self.buf.len()
    }
}

/// A node before these caches, with values changed in its settings. `booking` is keyed: window and deadline 2 s.
async fn before(ex: &'static LocalExecutor<'static>, caches: &[&Hand], more: &[(&str, Value)]) -> Testbed {
    let servers: Vec<Value> = caches
        .iter()
        .enumerate()
        .map(|(i, c)| {
            serde_json::from_str(&server_entry(&format!("c-{i}"), c.at, "std", "active", 0)).unwrap()
        })
        .collect();
    start_testbed_with_config(ex, 0, |text| {
        let mut v: Value = serde_json::from_str(&text).unwrap();
        v["known"]["items"][0]["roster"]["servers"] = servers.into();
        v["settings"]["limits"]["connect_timeout"] = json!(6_000_000);
        let keyed = json!({"name":"booking","aim":800_000,"hard_limit":4_000_000,"importance":3,"effect":"dedup",
                           "group":"all","dedup_window":2_000_000});
        v["settings"]["classes"][1] = keyed;
        v["settings"]["family_info"]["pass_on"] = json!([false, false, false]);
        for (at, x) in more {
            *v.pointer_mut(at).unwrap() = x.clone();
        }
        v.to_string()
    })
    .await
}

fn count(w: &Testbed, c: Counter) -> u64 {
    w.node.plan(|p, _| p.counters.get(c))
}

fn cancel(id: u32) -> Vec<u8> {
    let mut out = vec![0x93, 0x02];
    put_text(&mut out, "cancelRequest");
    out.extend([0x91, 0xce]);
    out.extend(id.to_be_bytes());
    out
}

fn call(id: u32) -> String {
    format!("{id:016x}")
}

/// A connection that rested and ends, or says what nobody asked, just as it is taken for the next request: that goes out
/// once, on another connection, and what was said is not believed. The executor has no turn between the two.
#[rstest]
#[case::closed(None)]
#[case::half_a_line(Some("*4\r\n$16\r\n00"))]
#[case::half_an_answer_to_it(Some("*4\r\n$16\r\n0000000000000002\r\n$6\r\nserved\r\n"))]
#[case::an_answer_to_it(Some("*4\r\n$16\r\n0000000000000002\r\n$8\r\nnot_here\r\n$1\r\n-\r\n$0\r\n\r\n"))]
fn a_resting_connection_that_ends_or_speaks_as_it_is_taken(#[case] said: Option<&str>) {
    run(|ex| async move {
        let h = Hand::new();
        let w = before(ex, &[&h], &[]).await;
        let mut c = Client::connect(w.front).await;
        c.send(&request(1, "booking", &[("dedupe", "k")])).await;
        let mut first = h.line().await;
        assert_eq!(first.next().await.unwrap()[1], call(1));
        first.serve(&call(1), b"one").await;
        assert_eq!(c.answer().await, Some((1, None, b"one".to_vec())));
        match said {
            // Blocking calls: nothing of the proxy runs before both stand in its sockets.
            Some(text) => drop(std::io::Write::write_all(&mut first.s.get_ref(), text.as_bytes())),
            None => first.s.get_ref().shutdown(std::net::Shutdown::Both).unwrap(),
        }
        std::io::Write::write_all(&mut c.stream.get_ref(), &request(2, "booking", &[("dedupe", "l")]))
            .unwrap();
        std::thread::sleep(std::time::Duration::from_millis(20));
        let mut second = h.line().await;
        assert_eq!(second.next().await.unwrap()[1], call(2));
        assert_eq!(first.waiting(), 0, "written on the connection that had ended or spoken");
        second.serve(&call(2), b"two").await;
        assert_eq!(c.answer().await, Some((2, None, b"two".to_vec())));
        assert_eq!((count(&w, Counter::Sent), count(&w, Counter::EndMiss)), (2, 0));
    });
}

/// A connection comes up after what waited for it is over or must not go any more: nothing of it is written.
#[rstest]
#[case::client_closed("close")]
#[case::client_reset("reset")]
#[case::client_cancelled("cancel")]
#[case::drained("leaving")]
#[case::gone("left")]
#[case::replaced("replaced")]
#[case::started_anew("anew")]
fn a_dial_that_comes_up_too_late(#[case] how: &'static str) {
    run(|ex| async move {
        let (h, full) = Hand::shut();
        let w = before(ex, &[&h], &[]).await;
        let mut c = Some(Client::connect(w.front).await);
        c.as_ref().unwrap().send(&request(1, "media", &[("ttl", "6000")])).await;
        wait_until("the attempt", || count(&w, Counter::Sent) == 1).await;
        let told = |state, started| server_entry("c-0", h.at, "std", state, started);
        let list = |s: String| format!(r#""roster":{{"version":2,"full":false,"servers":[{s}]}}"#);
        match how {
            "close" => c = None,
            "reset" => {
                let c = c.take().unwrap();
                sockopt::set_socket_linger(c.stream.get_ref(), Some(std::time::Duration::ZERO)).unwrap();
            }
            "cancel" => c.as_ref().unwrap().send(&cancel(1)).await,
            "anew" => w.publish_event(&list(told("active", unix_ms()))).await,
            "replaced" => w.publish_event(&list(server_entry("c-9", h.at, "std", "active", unix_ms()))).await,
            state => w.publish_event(&list(told(state, 0))).await,
        }
        let left = matches!(how, "close" | "reset" | "cancel");
        wait_until("what ended it", || !left || count(&w, Counter::Left) == 1).await;
        h.open().await;
        drop(full);
        let mut line = h.line().await;
        if left {
            // Another request shows that the writer has had its turn.
            let other = Client::connect(w.front).await;
            other.send(&request(2, "media", &[("row", "0000000000000abc")])).await;
            assert_eq!(line.next().await.unwrap()[1], call(2), "the one that was given up was written");
        } else if how == "leaving" {
            assert_eq!(c.unwrap().answer().await.unwrap().1.as_deref(), Some("Full"));
            assert_eq!(line.waiting(), 0, "written to a server that drains");
        } else {
            assert_eq!(line.next().await, None, "written to the server that is there now");
        }
    });
}

/// A repeat of a keyed request was decided within its window and waits for a connection past the end of that: its first
/// byte does not leave; where the connection comes up in time it does.
#[rstest]
#[case::past_the_window(300_000, false)]
#[case::within_it(5_900_000, true)]
fn a_keyed_repeat_leaves_within_its_window(#[case] window: Micros, #[case] leaves: bool) {
    run(|ex| async move {
        let (h, (late, full)) = (Hand::new(), Hand::shut());
        let window = json!(window);
        let w = before(ex, &[&h, &late], &[("/settings/classes/1/dedup_window", window)]).await;
        let mut c = Client::connect(w.front).await;
        // An object whose first cache is the one that answers.
        let mut id = 0;
        let mut line = loop {
            id += 1;
            let row = format!("{id:016x}");
            let more = [("dedupe", "k"), ("row", row.as_str()), ("ttl", "4000")];
            c.send(&request(id, "booking", &more)).await;
            wait_until("the attempt", || count(&w, Counter::Sent) == u64::from(id)).await;
            let got = async { Some(h.line().await) };
            let other = async { (sleep_until(now() + 30 * MS).await, None).1 };
            match got.or(other).await {
                Some(line) => break line,
                None => c.send(&cancel(id)).await,
            }
        };
        assert_eq!(line.next().await.unwrap()[1], call(id));
        line.say(&call(id), "crashed", "-", b"").await;
        wait_until("the repeat is decided", || count(&w, Counter::Sent) == u64::from(id) + 1).await;
        late.open().await;
        drop(full);
        let mut second = late.line().await;
        if leaves {
            assert_eq!(second.next().await.unwrap()[1], call(id));
            second.serve(&call(id), b"once").await;
            assert_eq!(c.answer().await, Some((id, None, b"once".to_vec())));
        } else {
            let (_, word, _) = c.answer().await.unwrap();
            assert!(word.is_some());
            assert_eq!(second.waiting(), 0, "written past its window");
        }
    });
}

/// A pool that is played by itself, before one cache: what it reports, and how many list changes it takes to be told.
struct Alone {
    ex: &'static LocalExecutor<'static>,
    ends: RefCell<Vec<(u64, u16, AttemptEnd)>>,
    epoch: Cell<u64>,
}

impl PoolOwner for Alone {
    fn spawn_task(self: Rc<Self>, _: &'static str, task: Pin<Box<dyn Future<Output = ()>>>) {
        self.ex.spawn(task).detach();
    }
    fn report_attempt_end(&self, request: u64, attempt: u16, end: AttemptEnd) {
        self.ends.borrow_mut().push((request, attempt, end));
    }
    fn client_waits(&self, _: u64) -> bool {
        true
    }
    fn epoch(&self) -> u64 {
        self.epoch.get()
    }
    fn count(&self, _: Counter) {}
    fn report_probe_end(&self, _: Addr, _: Outcome, _: Report) {}
}

fn pool(ex: &'static LocalExecutor<'static>, h: &Hand) -> (Rc<Alone>, Rc<dyn PoolOwner>, PoolTransport) {
    let names = config::Names {
        classes: vec!["booking".into()],
        connect: 1_000 * MS,
        keepalive: 30_000 * MS,
        grace: 300 * MS,
        streams: 10_000,
        ..config::Names::default()
    };
    let (pool, alone) =
        (CachePool::new(names, 1024), Rc::new(Alone { ex, ends: RefCell::default(), epoch: Cell::new(0) }));
    let home: Rc<dyn PoolOwner> = alone.clone();
    pool.set_owner(&home);
    let entry = Entry { addr: config::stand_in("c-0"), ..Entry::default() };
    let started = UnixTime::default();
    let listed = config::ListedServer {
        id: "c-0".into(),
        socket_addr: h.at,
        entry,
        started_at: started,
        lifted_at: None,
    };
    pool.update_listed(ListForm::Full, &[listed]);
    (alone, home, PoolTransport(pool))
}

fn attempt(request: u64, attempt: u16, body: usize, id_once: bool) -> Dispatch {
    let ask = ClientRequest {
        call_id: call(request as u32).into(),
        object_name: OBJECT.into(),
        body: vec![7; body],
        ..ClientRequest::default()
    };
    Dispatch {
        request,
        attempt,
        member: config::stand_in("c-0"),
        source: None,
        keep_rank: 0,
        max_age: 0,
        join_fill: false,
        only_held: false,
        parent_keeps_none: false,
        refresh_in_background: false,
        expires_at: now() + 4_000 * MS,
        send_by: Micros::MAX,
        exclusive_connection: id_once,
        decided_at: now(),
        epoch: 0,
        client_request: Rc::new(ask),
    }
}

/// Attempts wait behind others on a connection that takes no more bytes, and are withdrawn or fall out of date before the
/// cache reads on: what was half written is finished, nothing else begins, and only what had begun is called off.
#[rstest]
#[case::withdrawn(true)]
#[case::a_list_was_told(false)]
fn what_waits_for_a_full_connection(#[case] withdrawn: bool) {
    const LAST: u64 = 5_000;
    run(|ex| async move {
        let h = Hand::new();
        sockopt::set_socket_recv_buffer_size(h.l.get_ref(), 4096).unwrap();
        let (alone, _home, mut way) = pool(ex, &h);
        way.send(attempt(1, 0, 0, false));
        let mut line = h.line().await;
        assert_eq!(line.next().await.unwrap()[1], call(1));
        // No further connection comes up, which some find out; all that follows is packed onto the one, until it takes no
        // more. Small ones: it is full at the end of one, and of the next no byte has left.
        drop(h);
        (2..20).for_each(|n| way.send(attempt(n, 0, 2_000, false)));
        sleep_until(now() + 200 * MS).await;
        (20..LAST).for_each(|n| way.send(attempt(n, 0, 2_000, false)));
        sleep_until(now() + 300 * MS).await;
        let mut begun = 0;
        if withdrawn {
            begun = (2..LAST).filter(|n| way.withdraw(*n, 0)).count();
            assert!(begun > 0 && begun < LAST as usize - 2, "{begun} had begun");
        } else {
            alone.epoch.set(1);
        }
        let (mut served, mut off) = (0, 0);
        loop {
            let next = async { line.next().await };
            let quiet = async { (sleep_until(now() + 500 * MS).await, None).1 };
            let Some(parts) = next.or(quiet).await else { break };
            served += usize::from(parts[0] == "serve");
            off += usize::from(parts[0] == "cancel");
        }
        let ended = |of: &AttemptEnd| alone.ends.borrow().iter().filter(|e| e.2 == *of).count();
        let (stale, refused) =
            (ended(&AttemptEnd::Outdated), ended(&AttemptEnd::ConnectionFailed(Progress::NotConnected)));
        if withdrawn {
            assert_eq!((served, off, stale), (begun, begun, 0));
        } else {
            assert_eq!((served + stale + refused, off), (LAST as usize - 2, 0));
            assert!(served > 0 && stale > 0, "{served} were written, {stale} not");
        }
    });
}

/// A second answer to the first attempt comes when a second one is out at the same cache. Where that may not run twice it
/// is on a connection of its own, and the second answer proves nothing of it; else one connection carries both.
#[rstest]
#[case::must_not_run_twice(true)]
#[case::may(false)]
fn a_second_answer_against_a_later_attempt(#[case] id_once: bool) {
    run(|ex| async move {
        let h = Hand::new();
        let (alone, _home, mut way) = pool(ex, &h);
        way.send(attempt(1, 0, 0, id_once));
        let mut first = h.line().await;
        assert_eq!(first.next().await.unwrap()[1], call(1));
        first.say(&call(1), "not_here", "-", b"").await;
        wait_until("the first end", || alone.ends.borrow().len() == 1).await;
        way.send(attempt(1, 1, 0, id_once));
        if id_once {
            let mut second = h.line().await;
            assert_eq!(second.next().await.unwrap()[1], call(1));
            first.say(&call(1), "not_here", "-", b"").await;
            assert_eq!(first.next().await, None, "what speaks unasked is not used again");
            second.serve(&call(1), b"own").await;
        } else {
            assert_eq!(first.next().await.unwrap()[1], call(1));
            first.serve(&call(1), b"own").await;
        }
        wait_until("the second end", || alone.ends.borrow().len() == 2).await;
        let ends = alone.ends.borrow();
        let served = |e: &AttemptEnd| matches!(e, AttemptEnd::Answered(t) if t.outcome == Outcome::Ok);
        assert!(ends[0].1 == 0 && !served(&ends[0].2) && ends[1].1 == 1 && served(&ends[1].2));
    });
}

/// An answer to what has not yet gone out whole is nobody's: the attempt stays, goes out and has its own.
#[test]
fn an_answer_before_its_request() {
    run(|ex| async move {
        let h = Hand::new();
        let w = before(ex, &[&h], &[]).await;
        let mut c = Client::connect(w.front).await;
        c.send(&request(1, "media", &[])).await;
        let mut line = h.line().await;
        assert_eq!(line.next().await.unwrap()[1], call(1));
        // Two stand in the sockets before the proxy runs: an answer to a request, and that request.
        let early: [&[u8]; 4] = [b"0000000000000002", b"not_here", b"-", b""];
        std::io::Write::write_all(&mut line.s.get_ref(), &wire::encode_resp(&early)).unwrap();
        c.send(&request(2, "media", &[("row", "0000000000000abc")])).await;
        std::thread::sleep(std::time::Duration::from_millis(20));
        let parts = line.next().await.unwrap();
        assert_eq!(parts[1], call(2));
        line.serve(&call(2), b"own").await;
        assert_eq!(c.answer().await, Some((2, None, b"own".to_vec())));
        assert_eq!(count(&w, Counter::EndMiss), 0);
    });
}

/// A cache answers and resets the connection, with more requests half written on it: the answer that came counts.
#[test]
fn what_was_answered_before_a_reset_is_answered() {
    run(|ex| async move {
        let h = Hand::new();
        let w = before(ex, &[&h], &[]).await;
        let mut c = Client::connect(w.front).await;
        c.send(&request(1, "booking", &[("dedupe", "k")])).await;
        let mut line = h.line().await;
        assert_eq!(line.next().await.unwrap()[1], call(1));
        let id = call(1);
        let answer: [&[u8]; 4] = [id.as_bytes(), b"served", b"version=ab,stamp=1,detail=HIT", b"one"];
        std::io::Write::write_all(&mut line.s.get_ref(), &wire::encode_resp(&answer)).unwrap();
        line.s.get_ref().shutdown(std::net::Shutdown::Both).unwrap();
        line.end_has_arrived();
        c.send(&request(2, "booking", &[("dedupe", "l")])).await;
        std::thread::sleep(std::time::Duration::from_millis(20));
        let mut second = h.line().await;
        let parts = second.next().await.unwrap();
        second.serve(&parts[1], b"two").await;
        let mut got = vec![c.answer().await.unwrap(), c.answer().await.unwrap()];
        got.sort();
        assert_eq!(got, [(1, None, b"one".to_vec()), (2, None, b"two".to_vec())]);
        assert_eq!(parts[1], call(2), "what was answered was sent again");
    });
}
