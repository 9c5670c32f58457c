//! Races between two events of discovery, on real sockets. A stand-in discovery server whose connections
//! follow a script forces each order of the two. The name of each case says which order it covers.
mod common;
use async_io::Async;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rstest::rstest;
use std::cell::RefCell;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use threadward::net::{now, sleep_until, Signal};
use threadward::node::Node;
use threadward::{bulletin, config, wire};
use threadward_core::{Counter, Micros};

const SECOND: Micros = 1_000_000;
const OK_HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";

/// One step of what the stand-in does on a connection.
#[derive(Clone)]
enum Step {
    /// Sends a text.
    Say(String),
    /// Sends bytes.
    Raw(Vec<u8>),
    /// Waits for a signal from the test.
    Gate(Rc<Signal>),
    /// Sends these bytes one by one, 0.2 s apart.
    Drip(&'static str),
    /// Keeps the connection open until the other side closes it.
    Hold,
}
use Step::{Drip, Gate, Hold, Raw, Say};

fn say(text: &str) -> Step {
    Say(text.to_owned())
}

/// Returns the block of an event in the stream.
fn event_block(no: u64, what: &str) -> String {
    format!("id: {no}\ndata: {{\"no\":{no},{what}}}\n\n")
}

fn purge_block(no: u64) -> String {
    event_block(no, &format!(r#""recall":{{"lot":1,"issued":{no}}}"#))
}

/// The requests that came: when, and the number of the last event that each named.
type DiscoveryRequests = Rc<RefCell<Vec<(Micros, u64)>>>;
type Executor = &'static async_executor::LocalExecutor<'static>;

/// Runs a discovery server whose first connection follows the first script and so on; the last script serves
/// all later ones. A connection is closed at the end of its script, unless the script holds it open.
fn run_script(ex: Executor, listener: Rc<Async<TcpListener>>, scripts: Vec<Vec<Step>>) -> DiscoveryRequests {
    let requests = DiscoveryRequests::default();
    let received = requests.clone();
    ex.spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { return };
            let (received, scripts) = (received.clone(), scripts.clone());
            ex.spawn(async move { serve(stream, &scripts, &received).await.unwrap_or_default() }).detach();
        }
    })
    .detach();
    requests
}

async fn serve(
    mut s: Async<TcpStream>,
    scripts: &[Vec<Step>],
    received: &DiscoveryRequests,
) -> std::io::Result<()> {
    let (mut buf, mut chunk) = (Vec::new(), [0u8; 1024]);
    let last = loop {
        let n = s.read(&mut chunk).await?;
        if n == 0 {
            return Ok(());
        }
        buf.extend_from_slice(&chunk[..n]);
        if let Some((head, _)) = wire::parse_http_head(&buf).unwrap() {
            break head.header("last-event-id").unwrap().parse().unwrap();
        }
    };
    let n = received.borrow().len();
    received.borrow_mut().push((now(), last));
    for step in &scripts[n.min(scripts.len() - 1)] {
        match step {
            Say(text) => s.write_all(text.as_bytes()).await?,
            Raw(bytes) => s.write_all(bytes).await?,
            Gate(open) => open.wait().await,
            Drip(text) => {
                for b in text.as_bytes() {
                    s.write_all(&[*b]).await?;
                    sleep_until(now() + SECOND / 5).await;
                }
            }
            Hold => while s.read(&mut chunk).await? > 0 {},
        }
    }
    Ok(())
}

fn start_scripted(ex: Executor, scripts: Vec<Vec<Step>>) -> (DiscoveryRequests, SocketAddr) {
    let (listener, at) = listen();
    (run_script(ex, listener, scripts), at)
}

/// Returns the configuration with discovery at another address.
fn with_discovery(json: &str, at: SocketAddr) -> String {
    let mut config_json: serde_json::Value = serde_json::from_str(json).unwrap();
    config_json["bulletin"] = at.to_string().into();
    config_json.to_string()
}

async fn start_testbed_at(ex: Executor, caches: usize, at: SocketAddr) -> Testbed {
    let testbed = start_testbed_with_config(ex, caches, |json| with_discovery(&json, at)).await;
    testbed.set_behavior(served());
    testbed
}

fn reload_with_discovery_at(node: &Node, at: SocketAddr) -> String {
    node.reload(&config::parse(&configuration(node.config.listen, at, &[])).unwrap())
}

fn count(testbed: &Testbed, counter: Counter) -> u64 {
    testbed.node.plan(|p, _| p.counters.get(counter))
}

async fn wait_for_event(testbed: &Testbed, no: u64) {
    wait_until("the event", || testbed.node.last_event.get() == no).await;
}

fn drain_block(testbed: &Testbed, no: u64) -> String {
    event_block(no, &list_event(false, &[server_entry("s-0", testbed.caches[0].addr, "std", "leaving", 0)]))
}

fn list_event(full: bool, servers: &[String]) -> String {
    format!(r#""roster":{{"version":2,"full":{full},"servers":[{}]}}"#, servers.join(","))
}

/// Checks that the first of two caches gets no requests from now on.
async fn assert_drain_is_kept(testbed: &Testbed) {
    let before = testbed.caches[0].commands.borrow().len();
    let mut client = Client::connect(testbed.front).await;
    for id in 1..20 {
        client.send(&request(id, "media", &[("row", &format!("{id:016x}"))])).await;
        assert_eq!(client.answer().await.unwrap().1, None);
    }
    assert_eq!(testbed.caches[0].commands.borrow().len(), before, "sent to a cache that drains");
}

/// However the first connections fail, a drain that is announced meanwhile is applied once, before it counts
/// as announced, and reconnections keep a minimum interval.
#[rstest]
#[case::never_a_byte(vec![vec![Hold]])]
#[case::a_head_alone(vec![vec![say(OK_HEAD), Hold]])]
#[case::a_head_and_a_comment(vec![vec![say(OK_HEAD), say(":\n\n"), Hold]])]
#[case::two_silent_in_turn(vec![vec![say(OK_HEAD), Hold], vec![Hold]])]
#[case::a_head_that_never_ends(vec![vec![Drip("HTTP/1.1 200 OK\r\nX-Long: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")]])]
#[case::closed_at_once(vec![vec![], vec![], vec![]])]
#[case::refused(vec![vec![say("HTTP/1.1 503 No\r\n\r\n"), Hold], vec![say("HTTP/1.1 503 No\r\n\r\n"), Hold]])]
#[case::garbage(vec![vec![say("]garbage\0\r\n\r\n"), Hold], vec![say("\r\n\r\n")]])]
#[case::cut_in_an_event(vec![vec![say(OK_HEAD), say("id: 1\ndata: {\"no\":1,\"recall\":{\"lot\":1,")]])]
#[case::cut_before_an_events_empty_line(vec![vec![say(OK_HEAD), say(purge_block(1).trim_end())]])]
#[case::cut_in_the_size_of_a_chunk(vec![vec![say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1")]])]
#[case::cut_in_a_chunk(vec![vec![say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1f\r\nid: 1\ndata:")]])]
fn a_drain_is_applied_in_time(#[case] first: Vec<Vec<Step>>) {
    run(|ex| async move {
        let (listener, at) = listen();
        let started_at = now();
        let testbed = start_testbed_at(ex, 2, at).await;
        let mut scripts = first.clone();
        scripts.push(vec![say(OK_HEAD), say(&purge_block(1)), say(&drain_block(&testbed, 2)), Hold]);
        let requests = run_script(ex, listener, scripts);
        wait_for_event(&testbed, 2).await;
        assert!(now() < started_at + 7 * SECOND, "{:?}", requests.borrow());
        assert_eq!((count(&testbed, Counter::Purges), count(&testbed, Counter::Lists)), (1, 2));
        let requests = requests.borrow().clone();
        assert!(
            requests.len() <= first.len() + 3 && requests.iter().all(|request| request.1 == 0),
            "{requests:?}"
        );
        assert_drain_is_kept(&testbed).await;
    });
}

/// Events that come in one segment with the end of the stream are all applied, and the next request names the
/// last.
#[rstest]
#[case::to_the_end_of_the_stream(|body: String| format!("{OK_HEAD}{body}"))]
#[case::in_chunks(|body: String| format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len()))]
fn events_in_one_segment_with_the_end(#[case] answer: fn(String) -> String) {
    run(|ex| async move {
        let all = answer(format!("{}{}", purge_block(1), purge_block(2)));
        let (requests, at) = start_scripted(
            ex,
            vec![vec![say(&all)], vec![say(OK_HEAD), say(&purge_block(2)), say(&purge_block(3)), Hold]],
        );
        let testbed = start_testbed_at(ex, 1, at).await;
        wait_for_event(&testbed, 3).await;
        assert_eq!(count(&testbed, Counter::Purges), 3);
        assert_eq!(requests.borrow().iter().map(|request| request.1).collect::<Vec<_>>(), [0, 2]);
    });
}

/// A connection that is never established because the listen backlog is full: further attempts are made.
/// Where the configuration moves discovery meanwhile, the new address is used at once, without waiting for
/// the first attempt.
#[rstest]
#[case::moved_meanwhile(true)]
#[case::makes_room_later(false)]
fn a_connection_that_is_never_established(#[case] moved: bool) {
    run(|ex| async move {
        let listener = listener_with_backlog_of_one();
        let at = listener.local_addr().unwrap();
        let full = TcpStream::connect(at).unwrap();
        let (requests, other_server) =
            start_scripted(ex, vec![vec![say(OK_HEAD), say(&purge_block(1)), Hold]]);
        let testbed = start_testbed_at(ex, 1, at).await;
        sleep_until(now() + SECOND / 2).await;
        let started_at = now();
        if moved {
            assert!(reload_with_discovery_at(&testbed.node, other_server).contains("moved to"));
        } else {
            wait_until("the connection is given up", || count(&testbed, Counter::DiscoveryLosses) > 0).await;
            drop(full);
            let requests = run_script(
                ex,
                Rc::new(Async::new(listener).unwrap()),
                vec![vec![say(OK_HEAD), say(&purge_block(1)), Hold]],
            );
            wait_for_event(&testbed, 1).await;
            assert!(now() < started_at + 7 * SECOND, "{:?}", requests.borrow());
            return;
        }
        wait_for_event(&testbed, 1).await;
        assert!(now() < started_at + SECOND, "{:?}", requests.borrow());
    });
}

/// Returns a listener whose backlog holds a single waiting connection.
fn listener_with_backlog_of_one() -> TcpListener {
    use rustix::net::{bind, listen, socket, AddressFamily, SocketType};
    let s = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    bind(&s, &SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    listen(&s, 0).unwrap();
    TcpListener::from(s)
}

/// Once there is a new discovery connection, nothing from the old one is applied: neither the rest of an
/// event that was cut by a move to another address, nor what a silent connection sends later.
#[rstest]
#[case::silent(false)]
#[case::moved_in_an_event(true)]
fn an_old_connection_is_ignored(#[case] moved: bool) {
    run(|ex| async move {
        let (late, more) = (Rc::new(Signal::default()), Rc::new(Signal::default()));
        let event = purge_block(1);
        let (begin, rest) = event.split_at(20);
        let new = vec![say(OK_HEAD), say(&purge_block(1)), Gate(more.clone()), say(&purge_block(2)), Hold];
        let old = vec![
            say(OK_HEAD),
            say(begin),
            Gate(late.clone()),
            say(rest),
            say(&purge_block(2)),
            say(&purge_block(3)),
            Hold,
        ];
        let (requests, testbed) = if moved {
            let (requests, at) = start_scripted(ex, vec![old]);
            let testbed = start_testbed_at(ex, 1, at).await;
            wait_until("half an event", || testbed.node.discovery_heard.get()).await;
            let (new, to) = start_scripted(ex, vec![new]);
            reload_with_discovery_at(&testbed.node, to);

            wait_until("the new connection", || !new.borrow().is_empty()).await;
            (requests, testbed)
        } else {
            let (requests, at) = start_scripted(ex, vec![old, new]);
            (requests, start_testbed_at(ex, 1, at).await)
        };
        wait_for_event(&testbed, 1).await;
        late.notify();
        sleep_until(now() + SECOND / 10).await;
        assert_eq!(
            (testbed.node.last_event.get(), count(&testbed, Counter::Purges)),
            (1, 1),
            "{:?}",
            requests.borrow()
        );
        more.notify();
        wait_for_event(&testbed, 2).await;
        assert_eq!(count(&testbed, Counter::Purges), 2);
    });
}

/// Two requests to discovery wait for their answer at once: whichever is answered first becomes the
/// connection in use, and nothing from the other is applied.
#[rstest]
#[case::the_older(0)]
#[case::the_newer(1)]
fn of_two_requests_one_is_used(#[case] first: usize) {
    run(|ex| async move {
        let gates: [[Rc<Signal>; 2]; 2] = Default::default();
        let script = |g: &[Rc<Signal>; 2]| {
            let (head, more) = (Gate(g[0].clone()), Gate(g[1].clone()));
            vec![head, say(OK_HEAD), say(&purge_block(1)), more, say(&purge_block(2)), Hold]
        };
        let (requests, at) = start_scripted(ex, vec![script(&gates[0]), script(&gates[1])]);
        let testbed = start_testbed_at(ex, 1, at).await;
        wait_until("the second request", || requests.borrow().len() == 2).await;
        gates[first][0].notify();
        wait_for_event(&testbed, 1).await;
        gates[1 - first].iter().for_each(|g| g.notify());
        sleep_until(now() + SECOND / 10).await;
        assert_eq!((testbed.node.last_event.get(), count(&testbed, Counter::Purges)), (1, 1));
        gates[first][1].notify();
        wait_for_event(&testbed, 2).await;
        assert_eq!((count(&testbed, Counter::Purges), requests.borrow().len()), (2, 2));
    });
}

/// Several moves of discovery in a row. A move there and back before another task runs changes nothing. A
/// move back after the other server was contacted reads on from the last event. An address where nobody
/// listens is retried with pauses, and the move back from it takes effect at once.
#[rstest]
#[case::before_another_task_runs(0)]
#[case::after_the_other_was_contacted(1)]
#[case::from_one_that_is_down(2)]
fn several_moves_in_a_row(#[case] variant: u8) {
    run(|ex| async move {
        let more = Rc::new(Signal::default());
        let first = vec![say(OK_HEAD), say(&purge_block(1)), Gate(more.clone()), say(&purge_block(2)), Hold];
        let (requests, at) = start_scripted(ex, vec![first, vec![say(OK_HEAD), say(&purge_block(2)), Hold]]);
        let (other_server, to) = start_scripted(ex, vec![vec![say(OK_HEAD), Hold]]);
        let testbed = start_testbed_at(ex, 1, at).await;
        wait_for_event(&testbed, 1).await;
        let started_at = now();
        let down: SocketAddr = free_addresses(1)[0];
        reload_with_discovery_at(&testbed.node, if variant == 2 { down } else { to });
        match variant {
            0 => {}
            1 => wait_until("the other", || !other_server.borrow().is_empty()).await,
            _ => wait_until("some attempts", || count(&testbed, Counter::DiscoveryLosses) >= 4).await,
        }
        let (elapsed, attempts) = (now() - started_at, count(&testbed, Counter::DiscoveryLosses));
        assert!(attempts <= 2 + elapsed / 50_000, "{attempts} attempts in {elapsed} us");
        reload_with_discovery_at(&testbed.node, at);
        more.notify();
        wait_for_event(&testbed, 2).await;
        assert_eq!(count(&testbed, Counter::Purges), 2);
        let last_events: Vec<u64> = requests.borrow().iter().map(|request| request.1).collect();
        assert_eq!(last_events, if variant == 0 { vec![0] } else { vec![0, 1] });
    });
}

/// Neither a discovery server that accepts and closes at once nor endless moves cause more than one request
/// in 0.05 s.
#[rstest]
#[case::closes(false)]
#[case::moves(true)]
fn requests_to_discovery_keep_an_interval(#[case] moves: bool) {
    run(|ex| async move {
        let script = if moves { vec![say(OK_HEAD), Hold] } else { vec![] };
        let ((a, at), (b, to)) = (start_scripted(ex, vec![script.clone()]), start_scripted(ex, vec![script]));
        let testbed = start_testbed_at(ex, 1, at).await;
        let end = now() + SECOND;
        while now() < end {
            if moves {
                reload_with_discovery_at(
                    &testbed.node,
                    if testbed.node.discovery_addr.get() == at { to } else { at },
                );
            }
            sleep_until(now() + 5_000).await;
        }
        let requests = a.borrow().len() + b.borrow().len();
        assert!((4..=21).contains(&requests), "{requests} requests in a second");
    });
}

/// Discovery refuses connections for 8 s and announces a drain as soon as it is back: the drain is applied
/// within a second.
#[test]
fn a_drain_is_applied_within_a_second_of_the_return() {
    run(|ex| async move {
        let at: SocketAddr = free_addresses(1)[0];
        let testbed = start_testbed_at(ex, 2, at).await;
        sleep_until(now() + 8 * SECOND).await;
        let back = now();
        let listener = Rc::new(Async::<TcpListener>::bind(at).unwrap());
        let requests =
            run_script(ex, listener, vec![vec![say(OK_HEAD), say(&drain_block(&testbed, 1)), Hold]]);
        wait_for_event(&testbed, 1).await;
        assert!(now() < back + SECOND, "{:?}", requests.borrow());
        assert_drain_is_kept(&testbed).await;
    });
}

/// Where event numbers have a gap, the missing events are requested once and then the gap is accepted, also
/// where each answer begins further on. An event with the highest number possible, which none can follow, is
/// skipped. So is a numbering that starts again, as it cannot be distinguished from events that are sent
/// again.
#[test]
fn unusual_event_numbers() {
    run(|ex| async move {
        let live = |no: u64| vec![say(OK_HEAD), say(&purge_block(no)), say(&purge_block(no + 1)), Hold];
        let last = format!("{}{}{}", purge_block(u64::MAX), purge_block(1), purge_block(12));
        let mut scripts: Vec<_> = [5, 8, 11].into_iter().map(live).collect();
        scripts[1].insert(3, say(&last));
        scripts[1].insert(4, say(&purge_block(10)));
        let (requests, at) = start_scripted(ex, scripts);
        let testbed = start_testbed_at(ex, 1, at).await;
        wait_for_event(&testbed, 12).await;
        let last_events: Vec<u64> = requests.borrow().iter().map(|request| request.1).collect();
        assert!(last_events.len() <= 3, "{last_events:?}");
        assert_eq!(count(&testbed, Counter::Panics), 0);
    });
}

/// An event that stays unreadable however often it is requested does not block the next one for good.
#[rstest]
#[case::no_json(b"data: {\n\n".to_vec())]
#[case::no_text(b"id: 1\ndata: \xff\xfe\ndata: {}\n\n".to_vec())]
#[case::too_long([b"data: ", &vec![b'7'; wire::MAX_EVENT_BYTES + 100_000][..], b"\r\n\r\n"].concat())]
fn an_unreadable_event_is_skipped(#[case] event: Vec<u8>) {
    run(|ex| async move {
        let (requests, at) =
            start_scripted(ex, vec![vec![say(OK_HEAD), Raw(event), say(&purge_block(2)), Hold]]);
        let testbed = start_testbed_at(ex, 1, at).await;
        wait_for_event(&testbed, 2).await;
        assert_eq!(
            (count(&testbed, Counter::Purges), requests.borrow().len()),
            (1, 3),
            "{:?}",
            requests.borrow()
        );
    });
}

/// A stream that sends without pause does not starve the other tasks, and a move takes effect while it sends.
#[rstest]
#[case::comments(":\n\n")]
#[case::events("data: {\"no\":0}\n\n")]
fn a_stream_without_pause(#[case] block: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let flood = block.repeat(64 * 1024 / block.len());
    let writer = std::thread::spawn(move || {
        let (mut s, _) = listener.accept().unwrap();
        s.write_all(OK_HEAD.as_bytes()).unwrap();
        // The timeout is there only to end a test that fails.
        let end = now() + 8 * SECOND;
        while now() < end && s.write_all(flood.as_bytes()).is_ok() {}
        now() < end
    });
    run(|ex| async move {
        let (_, to) = start_scripted(ex, vec![vec![say(OK_HEAD), say(&purge_block(1)), Hold]]);
        let testbed = start_testbed_at(ex, 1, at).await;
        wait_until("the flood", || testbed.node.discovery_heard.get()).await;

        let mut longest = 0;
        for _ in 0..10 {
            let before = now();
            sleep_until(before + 10_000).await;
            longest = longest.max(now() - before);
        }
        assert!(longest < SECOND / 2, "no other task ran for {longest} us");
        reload_with_discovery_at(&testbed.node, to);
        wait_for_event(&testbed, 1).await;
    });
    assert!(writer.join().unwrap(), "the stream was not closed at the move");
}

/// Unusual values in a member list cause no panic, and the servers that can serve do so.
#[rstest]
#[case::no_zone(r#""zone":"east","#, "")]
#[case::unknown_zone("\"east\"", "\"nowhere\"")]
#[case::no_weight(r#""weight":4,"#, "")]
#[case::zero_weight("\"weight\":4", "\"weight\":0")]
#[case::negative_weight("\"weight\":4", "\"weight\":-3.5")]
#[case::huge_weight("\"weight\":4", "\"weight\":1e300")]
#[case::huge_cell("\"cell\":1", "\"cell\":18446744073709551615")]
#[case::starts_at_the_end("\"started_ms\":0", "\"started_ms\":18446744073709551615")]
#[case::starts_in_the_future("\"started_ms\":0", "\"started_ms\":18446744073709551")]
fn unusual_values_in_a_list(#[case] usual: &str, #[case] value: &str) {
    run(|ex| async move {
        let testbed = start_testbed(ex, 2).await;
        testbed.set_behavior(served());
        let odd = server_entry("s-0", testbed.caches[0].addr, "std", "active", 0).replace(usual, value);
        let usual = server_entry("s-1", testbed.caches[1].addr, "std", "active", 0);
        testbed.publish_event(&list_event(true, &[odd, usual])).await;
        let mut client = Client::connect(testbed.front).await;
        for id in 1..20 {
            client.send(&request(id, "media", &[("row", &format!("{id:016x}"))])).await;
            assert_eq!(client.answer().await.unwrap().0, id);
        }
        assert_eq!((count(&testbed, Counter::Panics), count(&testbed, Counter::Malformed)), (0, 0));
        assert!(
            !testbed.caches[1].commands.borrow().is_empty(),
            "the server with usual values does not serve"
        );
    });
}

/// A change that names servers which are listed already adds none: most servers of a very long list may leave
/// at once.
#[test]
fn a_change_of_a_very_long_list() {
    run(|ex| async move {
        let testbed = start_testbed(ex, 1).await;
        let at = |i: usize| ([127, 1, (i >> 8) as u8, i as u8], 9).into();
        for state in ["active", "left"] {
            let all: Vec<String> =
                (0..11_000).map(|i| server_entry(&format!("x-{i}"), at(i), "unheard-of", state, 0)).collect();
            testbed.publish_event(&list_event(false, &all)).await;
        }
        assert_eq!((testbed.node.pool.member_count(), count(&testbed, Counter::Malformed)), (2, 0));
    });
}

/// A member list removes a server, or puts another one at its address, while an attempt is in flight there:
/// the answer to that attempt is the one final answer, and the next request is routed by the new list.
#[rstest]
#[case::whole_list_without_it("whole")]
#[case::left("left")]
#[case::drains("leaving")]
#[case::restarted("again")]
#[case::left_then_another_in_one_event("left,new")]
#[case::another_then_left_in_one_event("new,left")]
#[case::left_then_another_in_two("left;new")]
#[case::another_then_left_in_two("new;left")]
fn a_list_removes_a_server_with_an_attempt_in_flight(#[case] variant: &str) {
    run(|ex| async move {
        let testbed = start_testbed(ex, 1).await;
        let (at, other_cache) = (testbed.caches[0].addr, start_cache(ex));
        *other_cache.behavior.borrow_mut() =
            CacheBehavior::Answer("served", "version=bb,stamp=1,detail=HIT", b"other".to_vec());
        let mut client = Client::connect(testbed.front).await;
        client.send(&request(1, "media", &[("ttl", "5900")])).await;
        wait_until("the attempt", || !testbed.received_requests().is_empty()).await;
        let call = testbed.received_requests()[0][1].clone();
        for part in variant.split(';') {
            let one = |word: &str| match word {
                "whole" => server_entry("s-9", other_cache.addr, "std", "active", 0),
                "new" => server_entry("s-9", at, "std", "active", 1),
                "again" => server_entry("s-0", at, "std", "active", 1),
                word => server_entry("s-0", at, "std", word, 0),
            };
            let servers: Vec<String> = part.split(',').map(one).collect();
            testbed.publish_event(&list_event(part == "whole", &servers)).await;
        }
        testbed.caches[0].reply(&call, b"of before").await;
        assert_eq!(client.answer().await, Some((1, None, b"of before".to_vec())));
        testbed.caches[0].reply(&call, b"once more").await;
        testbed.set_behavior(CacheBehavior::Answer(
            "served",
            "version=cc,stamp=1,detail=HIT",
            b"new".to_vec(),
        ));
        client.send(&request(2, "media", &[])).await;
        let (id, word, body) = client.answer().await.unwrap();
        let wanted: (Option<&str>, &[u8]) = match variant {
            "whole" => (None, b"other"),
            "left" | "leaving" => (Some("Full"), b""),
            _ => (None, b"new"),
        };
        assert_eq!((id, word.as_deref(), &*body), (2, wanted.0, wanted.1));
    });
}

/// A drain or a removal arrives while an attempt has been decided and is not yet written: the attempt is sent
/// to that server only within the grace, and the request gets one final answer.
#[rstest]
#[case::drains("leaving", 150_000, false)]
#[case::drains_within_the_grace("leaving", 0, true)]
#[case::left("left", 150_000, false)]
fn a_drain_before_an_attempt_is_written(#[case] state: &str, #[case] waits_us: Micros, #[case] sent: bool) {
    run(|ex| async move {
        let testbed = start_testbed_with_config(ex, 2, |json| {
            json.replace("\"drain_grace\":1000000", "\"drain_grace\":50000")
        })
        .await;
        testbed.set_behavior(served());
        let answers = Rc::new(RefCell::new(Vec::new()));
        let collected = answers.clone();
        let client_request = threadward_core::ClientRequest {
            call_id: "00".into(),
            object_name: OBJECT.into(),
            object: u64::from_str_radix(OBJECT, 16).unwrap(),
            expires_at: now() + 2 * SECOND,
            ..threadward_core::ClientRequest::default()
        };
        testbed.node.plan(|p, now| {
            p.accept_request(now, 0, client_request, Box::new(move |last| collected.borrow_mut().push(last)))
        });
        // This blocks the executor, so no task runs: the attempt waits in the queue of a connection that is
        // not yet up.
        std::thread::sleep(std::time::Duration::from_micros(waits_us));
        // Both servers are named, as it is not known which was chosen; the origin stays.
        let both: Vec<String> = testbed
            .caches
            .iter()
            .enumerate()
            .map(|(i, cache)| server_entry(&format!("s-{i}"), cache.addr, "std", state, 0))
            .collect();
        let text = format!(r#"{{"no":1,{}}}"#, list_event(false, &both));
        let (_, b) =
            config::parse_event(&serde_json::from_str(&text).unwrap(), &testbed.node.config.names).unwrap();
        bulletin::apply(&testbed.node, b.unwrap(), false);

        wait_until("the answer", || !answers.borrow().is_empty()).await;
        assert_eq!(
            (answers.borrow().len(), !testbed.received_requests().is_empty()),
            (1, sent),
            "{:?}",
            answers.borrow()
        );
    });
}
