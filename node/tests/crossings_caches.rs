//! Races on the connections to the caches: connections that end, are established late or bring unrequested
//! bytes, while attempts are written, withdrawn, outdated or retried. A stand-in cache that acts step by step
//! forces each bad order.
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

const MILLISECOND: Micros = 1_000;

/// A stand-in cache that does only what the test says, a step at a time.
struct ManualCache {
    listener: Async<TcpListener>,
    at: SocketAddr,
}

/// One connection of the proxy, on the cache's side.
struct ProxyConnection {
    stream: Async<TcpStream>,
    buf: Vec<u8>,
}

impl ManualCache {
    fn new() -> ManualCache {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let at = listener.get_ref().local_addr().unwrap();
        ManualCache { listener, at }
    }
    /// Returns a cache at which no connection is established until [`ManualCache::make_room`], as its listen
    /// backlog is full. The stream is what fills the backlog.
    fn with_full_backlog() -> (ManualCache, TcpStream) {
        let s = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        rustix::net::bind(&s, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        rustix::net::listen(&s, 0).unwrap();
        let listener = TcpListener::from(s);
        let at = listener.local_addr().unwrap();
        (ManualCache { listener: Async::new(listener).unwrap(), at }, TcpStream::connect(at).unwrap())
    }
    /// Accepts the connection that filled the backlog. The system retries a waiting connection one to three
    /// seconds later.
    async fn make_room(&self) {
        drop(self.accept().await);
    }
    async fn accept(&self) -> ProxyConnection {
        let timeout = async { (sleep_until(now() + 10_000 * MILLISECOND).await, None).1 };
        let (stream, _) =
            async { self.listener.accept().await.ok() }.or(timeout).await.expect("a connection");
        ProxyConnection { stream, buf: Vec::new() }
    }
}

impl ProxyConnection {
    /// Waits, without letting the proxy run, until the system has acknowledged the end of the stream sent
    /// here: only then does the proxy see it when it next checks the connection. The states are those of
    /// `/proc/net/tcp`.
    fn block_until_end_has_arrived(&self) {
        const FIN_WAIT_1: &str = "04";
        const ESTABLISHED: &str = "01";
        let port = |at: SocketAddr| format!(":{:04X}", at.port());
        let local = port(self.stream.get_ref().local_addr().unwrap());
        let remote = port(self.stream.get_ref().peer_addr().unwrap());
        let end_in_transit = || {
            let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
            table.lines().any(|row| {
                let cells: Vec<&str> = row.split_whitespace().collect();
                let ends = |cell: usize, port: &str| cells.get(cell).is_some_and(|text| text.ends_with(port));
                let state = cells.get(3).copied();
                ends(1, &local) && ends(2, &remote) && [Some(FIN_WAIT_1), Some(ESTABLISHED)].contains(&state)
            })
        };
        let end = now() + 10_000 * MILLISECOND;
        while end_in_transit() {
            assert!(now() < end, "the end of the stream never arrived");
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
    }

    /// Returns the next command as its parts, or `None` at the end of the stream.
    async fn next(&mut self) -> Option<Vec<String>> {
        loop {
            if let Some((parts, used)) = wire::parse_resp(&self.buf).unwrap() {
                let parts = parts.iter().map(|p| String::from_utf8_lossy(p).into()).collect();
                self.buf.drain(..used);
                return Some(parts);
            }
            let mut chunk = [0u8; 4096];
            let n = (&self.stream).read(&mut chunk).await.unwrap_or(0);
            if n == 0 {
                return None;
            }
            self.buf.extend_from_slice(&chunk[..n]);
        }
    }
    async fn answer_with(&self, call_id: &str, outcome: &str, fields: &str, body: &[u8]) {
        let answer = [call_id.as_bytes(), outcome.as_bytes(), fields.as_bytes(), body];
        (&self.stream).write_all(&wire::encode_resp(&answer)).await.unwrap();
    }
    async fn serve(&self, call_id: &str, body: &[u8]) {
        self.answer_with(call_id, "served", "version=ab,stamp=1,detail=HIT", body).await;
    }
    /// Returns how many bytes have come and were not read as commands yet.
    fn unread_bytes(&self) -> usize {
        self.stream.get_ref().peek(&mut [0; 4096]).unwrap_or(0) + self.buf.len()
    }
}

/// Starts a node in front of these caches, with some values of its configuration changed (JSON pointer and
/// value). The class `booking` has idempotency keys, with a window of 2 s, which is also how long a
/// client waits unless a test says otherwise.
async fn start_testbed_before(
    ex: &'static LocalExecutor<'static>,
    caches: &[&ManualCache],
    more: &[(&str, Value)],
) -> Testbed {
    let servers: Vec<Value> = caches
        .iter()
        .enumerate()
        .map(|(i, cache)| {
            serde_json::from_str(&server_entry(&format!("c-{i}"), cache.at, "std", "active", 0)).unwrap()
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

fn count(testbed: &Testbed, counter: Counter) -> u64 {
    testbed.node.plan(|p, _| p.counters.get(counter))
}

fn call_id(id: u32) -> String {
    format!("{id:016x}")
}

/// An idle connection ends, or brings bytes that were not requested, just as it is taken for the next
/// request. The request is sent once, on another connection, and those bytes are not taken as its answer. The
/// executor does not run between the two events.
#[rstest]
#[case::closed(None)]
#[case::half_a_line(Some("*4\r\n$16\r\n00"))]
#[case::half_an_answer_to_it(Some("*4\r\n$16\r\n0000000000000002\r\n$6\r\nserved\r\n"))]
#[case::an_answer_to_it(Some("*4\r\n$16\r\n0000000000000002\r\n$8\r\nnot_here\r\n$1\r\n-\r\n$0\r\n\r\n"))]
fn an_idle_connection_that_ends_or_brings_bytes_as_it_is_taken(#[case] unrequested: Option<&str>) {
    run(|ex| async move {
        let cache = ManualCache::new();
        let testbed = start_testbed_before(ex, &[&cache], &[]).await;
        let mut client = Client::connect(testbed.front).await;
        client.send(&request(1, "booking", &[("dedupe", "k")])).await;
        let mut first = cache.accept().await;
        assert_eq!(first.next().await.unwrap()[1], call_id(1));
        first.serve(&call_id(1), b"one").await;
        assert_eq!(client.answer().await, Some((1, None, b"one".to_vec())));
        match unrequested {
            // Blocking calls: the proxy does not run before both are in its sockets.
            Some(text) => drop(std::io::Write::write_all(&mut first.stream.get_ref(), text.as_bytes())),
            None => first.stream.get_ref().shutdown(std::net::Shutdown::Both).unwrap(),
        }
        std::io::Write::write_all(&mut client.stream.get_ref(), &request(2, "booking", &[("dedupe", "l")]))
            .unwrap();
        std::thread::sleep(std::time::Duration::from_millis(20));
        let mut second = cache.accept().await;
        assert_eq!(second.next().await.unwrap()[1], call_id(2));
        assert_eq!(
            first.unread_bytes(),
            0,
            "written on the connection that had ended or brought unrequested bytes"
        );
        second.serve(&call_id(2), b"two").await;
        assert_eq!(client.answer().await, Some((2, None, b"two".to_vec())));
        assert_eq!((count(&testbed, Counter::Sent), count(&testbed, Counter::EndMiss)), (2, 0));
    });
}

/// A connection is established after the attempt that waited for it has ended or must not be sent any more:
/// nothing of the attempt is written.
#[rstest]
#[case::client_closed("close")]
#[case::client_reset("reset")]
#[case::client_cancelled("cancel")]
#[case::drained("leaving")]
#[case::gone("left")]
#[case::replaced("replaced")]
#[case::restarted("restarted")]
fn a_connection_that_is_established_too_late(#[case] variant: &'static str) {
    run(|ex| async move {
        let (cache, backlog_filler) = ManualCache::with_full_backlog();
        let testbed = start_testbed_before(ex, &[&cache], &[]).await;
        let mut client = Some(Client::connect(testbed.front).await);
        client.as_ref().unwrap().send(&request(1, "media", &[("ttl", "6000")])).await;
        wait_until("the attempt", || count(&testbed, Counter::Sent) == 1).await;
        let list_entry = |state, started| server_entry("c-0", cache.at, "std", state, started);
        let list = |s: String| format!(r#""roster":{{"version":2,"full":false,"servers":[{s}]}}"#);
        match variant {
            "close" => client = None,
            "reset" => {
                let client = client.take().unwrap();
                sockopt::set_socket_linger(client.stream.get_ref(), Some(std::time::Duration::ZERO)).unwrap();
            }
            "cancel" => client.as_ref().unwrap().send(&cancel(1)).await,
            "restarted" => testbed.publish_event(&list(list_entry("active", unix_ms()))).await,
            "replaced" => {
                testbed.publish_event(&list(server_entry("c-9", cache.at, "std", "active", unix_ms()))).await
            }
            state => testbed.publish_event(&list(list_entry(state, 0))).await,
        }
        let client_left = matches!(variant, "close" | "reset" | "cancel");
        wait_until("what ended it", || !client_left || count(&testbed, Counter::Left) == 1).await;
        cache.make_room().await;
        drop(backlog_filler);
        let mut connection = cache.accept().await;
        if client_left {
            // Another request shows that the writer has run.
            let other = Client::connect(testbed.front).await;
            other.send(&request(2, "media", &[("row", "0000000000000abc")])).await;
            assert_eq!(
                connection.next().await.unwrap()[1],
                call_id(2),
                "the request that was given up was written"
            );
        } else if variant == "leaving" {
            assert_eq!(client.unwrap().answer().await.unwrap().1.as_deref(), Some("Full"));
            assert_eq!(connection.unread_bytes(), 0, "written to a server that drains");
        } else {
            assert_eq!(connection.next().await, None, "written to the server that is there now");
        }
    });
}

/// The retry of a request with an idempotency key is decided within the dedup window and then waits for a
/// connection. Its first byte is sent where the connection is established within the window, and not after
/// the window has ended.
#[rstest]
#[case::past_the_window(300_000, false)]
#[case::within_it(5_900_000, true)]
fn a_retry_with_a_key_is_sent_within_its_window(#[case] window: Micros, #[case] is_sent: bool) {
    run(|ex| async move {
        let (cache, (slow_cache, backlog_filler)) = (ManualCache::new(), ManualCache::with_full_backlog());
        let window = json!(window);
        let testbed =
            start_testbed_before(ex, &[&cache, &slow_cache], &[("/settings/classes/1/dedup_window", window)])
                .await;
        let mut client = Client::connect(testbed.front).await;
        // Finds an object whose first cache is the one that answers.
        let mut id = 0;
        let mut connection = loop {
            id += 1;
            let row = format!("{id:016x}");
            let more = [("dedupe", "k"), ("row", row.as_str()), ("ttl", "4000")];
            client.send(&request(id, "booking", &more)).await;
            wait_until("the attempt", || count(&testbed, Counter::Sent) == u64::from(id)).await;
            let accepted = async { Some(cache.accept().await) };
            let other = async { (sleep_until(now() + 30 * MILLISECOND).await, None).1 };
            match accepted.or(other).await {
                Some(connection) => break connection,
                None => client.send(&cancel(id)).await,
            }
        };
        assert_eq!(connection.next().await.unwrap()[1], call_id(id));
        connection.answer_with(&call_id(id), "crashed", "-", b"").await;
        wait_until("the retry is decided", || count(&testbed, Counter::Sent) == u64::from(id) + 1).await;
        slow_cache.make_room().await;
        drop(backlog_filler);
        let mut second = slow_cache.accept().await;
        if is_sent {
            assert_eq!(second.next().await.unwrap()[1], call_id(id));
            second.serve(&call_id(id), b"once").await;
            assert_eq!(client.answer().await, Some((id, None, b"once".to_vec())));
        } else {
            let (_, error_word, _) = client.answer().await.unwrap();
            assert!(error_word.is_some());
            assert_eq!(second.unread_bytes(), 0, "written after its dedup window");
        }
    });
}

/// The owner of a pool that is tested by itself with one cache. Records what the pool reports, and gives it
/// the epoch of the member list.
struct RecordingOwner {
    ex: &'static LocalExecutor<'static>,
    ends: RefCell<Vec<(u64, u16, AttemptEnd)>>,
    epoch: Cell<u64>,
}

impl PoolOwner for RecordingOwner {
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

fn pool(
    ex: &'static LocalExecutor<'static>,
    cache: &ManualCache,
) -> (Rc<RecordingOwner>, Rc<dyn PoolOwner>, PoolTransport) {
    let names = config::Names {
        classes: vec!["booking".into()],
        connect_timeout: 1_000 * MILLISECOND,
        keepalive: 30_000 * MILLISECOND,
        epoch_grace: 300 * MILLISECOND,
        streams_per_connection: 10_000,

        ..config::Names::default()
    };
    let (pool, owner) = (
        CachePool::new(names, 1024),
        Rc::new(RecordingOwner { ex, ends: RefCell::default(), epoch: Cell::new(0) }),
    );
    let pool_owner: Rc<dyn PoolOwner> = owner.clone();
    pool.set_owner(&pool_owner);
    let entry = Entry { addr: config::address_for_id("c-0"), ..Entry::default() };

    let started = UnixTime::default();
    let listed = config::ListedServer {
        id: "c-0".into(),
        socket_addr: cache.at,
        entry,
        started_at: started,
        lifted_at: None,
    };
    pool.update_listed(ListForm::Full, &[listed]);
    (owner, pool_owner, PoolTransport(pool))
}

fn attempt(request: u64, attempt: u16, body: usize, exclusive: bool) -> Dispatch {
    let client_request = ClientRequest {
        call_id: call_id(request as u32).into(),
        object_name: OBJECT.into(),
        body: vec![7; body],
        ..ClientRequest::default()
    };
    Dispatch {
        request,
        attempt,
        member: config::address_for_id("c-0"),
        source: None,
        keep_rank: 0,
        max_age: 0,
        join_fill: false,
        only_held: false,
        parent_keeps_none: false,
        refresh_in_background: false,
        expires_at: now() + 4_000 * MILLISECOND,
        send_by: Micros::MAX,
        exclusive_connection: exclusive,
        decided_at: now(),
        epoch: 0,
        client_request: Rc::new(client_request),
    }
}

/// Attempts wait behind others on a connection that takes no more bytes, and are withdrawn or become outdated
/// before the cache reads on. An attempt that was half written is finished, no other is begun, and a cancel
/// is sent only for those that had been begun.
#[rstest]
#[case::withdrawn(true)]
#[case::the_list_changed(false)]
fn attempts_that_wait_for_a_full_connection(#[case] withdrawn: bool) {
    const LAST: u64 = 5_000;
    run(|ex| async move {
        let cache = ManualCache::new();
        sockopt::set_socket_recv_buffer_size(cache.listener.get_ref(), 4096).unwrap();
        let (owner, _pool_owner, mut transport) = pool(ex, &cache);
        transport.send(attempt(1, 0, 0, false));
        let mut connection = cache.accept().await;
        assert_eq!(connection.next().await.unwrap()[1], call_id(1));
        // No further connection can be established, and the first attempts fail to open one. All later ones
        // are queued on the single connection until it takes no more bytes. The attempts are small, so that
        // the connection is full at the end of one and no byte of the next has been written.
        drop(cache);
        (2..20).for_each(|n| transport.send(attempt(n, 0, 2_000, false)));
        sleep_until(now() + 200 * MILLISECOND).await;
        (20..LAST).for_each(|n| transport.send(attempt(n, 0, 2_000, false)));
        sleep_until(now() + 300 * MILLISECOND).await;
        let mut started_count = 0;
        if withdrawn {
            started_count = (2..LAST).filter(|n| transport.withdraw(*n, 0)).count();
            assert!(started_count > 0 && started_count < LAST as usize - 2, "{started_count} were begun");
        } else {
            owner.epoch.set(1);
        }
        let (mut served, mut cancelled) = (0, 0);
        loop {
            let next = async { connection.next().await };
            let quiet = async { (sleep_until(now() + 500 * MILLISECOND).await, None).1 };
            let Some(parts) = next.or(quiet).await else { break };
            served += usize::from(parts[0] == "serve");
            cancelled += usize::from(parts[0] == "cancel");
        }
        let ended = |of: &AttemptEnd| owner.ends.borrow().iter().filter(|e| e.2 == *of).count();
        let (outdated, refused) =
            (ended(&AttemptEnd::Outdated), ended(&AttemptEnd::ConnectionFailed(Progress::NotConnected)));
        if withdrawn {
            assert_eq!((served, cancelled, outdated), (started_count, started_count, 0));
        } else {
            assert_eq!((served + outdated + refused, cancelled), (LAST as usize - 2, 0));
            assert!(served > 0 && outdated > 0, "{served} were written, {outdated} not");
        }
    });
}

/// A second answer to the first attempt arrives while a second attempt is in flight at the same cache. Where
/// the request may not run twice, the second attempt has a connection of its own and that answer is not taken
/// for its answer. Otherwise one connection carries both attempts.
#[rstest]
#[case::must_not_run_twice(true)]
#[case::may(false)]
fn a_second_answer_during_a_later_attempt(#[case] exclusive: bool) {
    run(|ex| async move {
        let cache = ManualCache::new();
        let (owner, _pool_owner, mut transport) = pool(ex, &cache);
        transport.send(attempt(1, 0, 0, exclusive));
        let mut first = cache.accept().await;
        assert_eq!(first.next().await.unwrap()[1], call_id(1));
        first.answer_with(&call_id(1), "not_here", "-", b"").await;
        wait_until("the first end", || owner.ends.borrow().len() == 1).await;
        transport.send(attempt(1, 1, 0, exclusive));
        if exclusive {
            let mut second = cache.accept().await;
            assert_eq!(second.next().await.unwrap()[1], call_id(1));
            first.answer_with(&call_id(1), "not_here", "-", b"").await;
            assert_eq!(first.next().await, None, "a connection with an unrequested answer was kept");
            second.serve(&call_id(1), b"own").await;
        } else {
            assert_eq!(first.next().await.unwrap()[1], call_id(1));
            first.serve(&call_id(1), b"own").await;
        }
        wait_until("the second end", || owner.ends.borrow().len() == 2).await;
        let ends = owner.ends.borrow();
        let served = |e: &AttemptEnd| matches!(e, AttemptEnd::Answered(t) if t.outcome == Outcome::Ok);
        assert!(ends[0].1 == 0 && !served(&ends[0].2) && ends[1].1 == 1 && served(&ends[1].2));
    });
}

/// An answer that the proxy reads before it has an attempt under its id belongs to no attempt: the attempt that
/// follows is written and gets its own answer.
#[test]
fn an_answer_before_its_request() {
    run(|ex| async move {
        let cache = ManualCache::new();
        let testbed = start_testbed_before(ex, &[&cache], &[]).await;
        let mut client = Client::connect(testbed.front).await;
        client.send(&request(1, "media", &[])).await;
        let mut connection = cache.accept().await;
        assert_eq!(connection.next().await.unwrap()[1], call_id(1));
        // The answer to the first request comes behind the early one, so both have been read once it is there.
        let early: [&[u8]; 4] = [b"0000000000000002", b"not_here", b"-", b""];
        let id = call_id(1);
        let answer: [&[u8]; 4] = [id.as_bytes(), b"served", b"version=ab,stamp=1,detail=HIT", b"first"];
        let both = [wire::encode_resp(&early), wire::encode_resp(&answer)].concat();
        std::io::Write::write_all(&mut connection.stream.get_ref(), &both).unwrap();
        assert_eq!(client.answer().await, Some((1, None, b"first".to_vec())));
        client.send(&request(2, "media", &[("row", "0000000000000abc")])).await;
        let parts = connection.next().await.unwrap();
        assert_eq!(parts[1], call_id(2));
        connection.serve(&call_id(2), b"own").await;
        assert_eq!(client.answer().await, Some((2, None, b"own".to_vec())));
        assert_eq!(count(&testbed, Counter::EndMiss), 0);
    });
}

/// A cache answers and then ends the connection, while another request is about to be written on it: the
/// answer that came is used.
#[test]
fn an_answer_before_the_connection_ends_is_used() {
    run(|ex| async move {
        let cache = ManualCache::new();
        let testbed = start_testbed_before(ex, &[&cache], &[]).await;
        let mut client = Client::connect(testbed.front).await;
        client.send(&request(1, "booking", &[("dedupe", "k")])).await;
        let mut connection = cache.accept().await;
        assert_eq!(connection.next().await.unwrap()[1], call_id(1));
        let id = call_id(1);
        let answer: [&[u8]; 4] = [id.as_bytes(), b"served", b"version=ab,stamp=1,detail=HIT", b"one"];
        std::io::Write::write_all(&mut connection.stream.get_ref(), &wire::encode_resp(&answer)).unwrap();
        connection.stream.get_ref().shutdown(std::net::Shutdown::Both).unwrap();
        connection.block_until_end_has_arrived();
        client.send(&request(2, "booking", &[("dedupe", "l")])).await;
        std::thread::sleep(std::time::Duration::from_millis(20));
        let mut second = cache.accept().await;
        let parts = second.next().await.unwrap();
        second.serve(&parts[1], b"two").await;
        let mut answers = vec![client.answer().await.unwrap(), client.answer().await.unwrap()];
        answers.sort();
        assert_eq!(answers, [(1, None, b"one".to_vec()), (2, None, b"two".to_vec())]);
        assert_eq!(parts[1], call_id(2), "the answered request was sent again");
    });
}
