//! Requirements of the protocol that no other test covers, tested on real sockets: the shutdown on SIGTERM, a
//! discovery connection that falls silent, attempts that wait unwritten while an event arrives, and when a
//! client's copy is confirmed as current.
mod common;
use async_io::Async;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rstest::rstest;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::rc::Rc;
use threadward::net::{now, sleep_until};
use threadward::{bulletin, config, wire};
use threadward_core::{ClientRequest, Counter, Micros, UnixTime};

const SECOND: Micros = 1_000_000;

/// Returns the configuration with another value at a JSON pointer.
fn with_value_at(json: &str, pointer: &str, value: Value) -> String {
    let mut v: Value = serde_json::from_str(json).unwrap();
    *v.pointer_mut(pointer).unwrap() = value;
    v.to_string()
}

/// The requests to the discovery server of this file: when each came, and the number of the last event it
/// named.
type DiscoveryRequests = Rc<RefCell<Vec<(Micros, u64)>>>;

/// Runs a discovery server. Its first connection gets a comment each second for two seconds and then nothing
/// more, the second gets nothing at all, and later ones get this event. `silent_since` is set when the first
/// one falls silent.
async fn serve_then_fall_silent(
    listener: Rc<Async<TcpListener>>,
    event: String,
    requests: DiscoveryRequests,
    silent_since: Rc<RefCell<Micros>>,
) {
    let mut open = Vec::new();
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let (mut buf, mut chunk) = (Vec::new(), [0u8; 1024]);
        while wire::parse_http_head(&buf).unwrap().is_none() {
            let n = (&stream).read(&mut chunk).await.unwrap();
            assert!(n > 0, "the connection ended in the middle of its request");
            buf.extend_from_slice(&chunk[..n]);
        }
        let (head, _) = wire::parse_http_head(&buf).unwrap().unwrap();
        requests.borrow_mut().push((now(), head.header("last-event-id").unwrap().parse().unwrap()));
        let n = requests.borrow().len();
        if n != 2 {
            (&stream).write_all(b"HTTP/1.1 200 OK\r\n\r\n:\n\n").await.unwrap();
        }
        match n {
            1 => {
                for _ in 0..2 {
                    sleep_until(now() + SECOND).await;
                    (&stream).write_all(b":\n\n").await.unwrap();
                }
                *silent_since.borrow_mut() = now();
            }
            2 => {}
            _ => (&stream).write_all(format!("id: 1\ndata: {event}\n\n").as_bytes()).await.unwrap(),
        }
        open.push(stream);
    }
}

/// A discovery connection with a comment each second is kept. One that falls silent is noticed and replaced
/// by one that reads on from the last event, also where the next one is silent too. This happens long before
/// a drain counts as announced, and from then on nothing is sent to the draining member.
#[test]
fn a_silent_discovery_connection_is_replaced_before_what_it_missed_counts_as_announced() {
    run(|ex| async move {
        let (listener, at) = listen();
        let testbed =
            start_testbed_with_config(ex, 2, |json| with_value_at(&json, "/bulletin", at.to_string().into()))
                .await;
        testbed.set_behavior(served());
        let drain = server_entry("s-0", testbed.caches[0].addr, "std", "leaving", 0);
        let event = format!(r#"{{"no":1,"roster":{{"version":2,"full":false,"servers":[{drain}]}}}}"#);
        let (requests, silent_since) = (DiscoveryRequests::default(), Rc::new(RefCell::new(0)));
        ex.spawn(serve_then_fall_silent(listener, event, requests.clone(), silent_since.clone())).detach();
        wait_until("the silence", || *silent_since.borrow() > 0).await;
        assert_eq!(requests.borrow().len(), 1, "a connection with comments was given up");
        wait_until("the drain", || testbed.node.last_event.get() == 1).await;
        assert!(now() < *silent_since.borrow() + 7 * SECOND, "reconnected too late: {:?}", requests.borrow());
        assert!(requests.borrow().iter().all(|request| request.1 == 0) && requests.borrow().len() == 3);
        let mut client = Client::connect(testbed.front).await;
        for id in 1..30 {
            client.send(&request(id, "media", &[("row", &format!("{id:016x}"))])).await;
            assert_eq!(client.answer().await.unwrap().1, None);
        }
        assert_eq!(
            (testbed.caches[0].commands.borrow().len(), testbed.caches[1].commands.borrow().len()),
            (0, 29)
        );
    });
}

/// An attempt that waits unwritten while a purge arrives, for longer than the `purge_slack` of the settings
/// lets a send count as made before the purge, is decided again and then accepts no copy from before the
/// purge.
#[test]
fn an_attempt_that_waits_unwritten_follows_the_purge_slack_of_the_settings() {
    run(|ex| async move {
        let testbed = start_testbed_with_config(ex, 2, |j| {
            with_value_at(&j, "/settings/family_info/purge_slack", json!(50_000))
        })
        .await;
        let client_request = ClientRequest {
            call_id: "00".into(),
            object_name: OBJECT.into(),
            object: u64::from_str_radix(OBJECT, 16).unwrap(),
            group: 17,
            expires_at: now() + 2 * SECOND,
            ..ClientRequest::default()
        };
        testbed.node.plan(|p, now| p.accept_request(now, 0, client_request, Box::new(|_| {})));
        // This blocks the executor, so no task runs: the attempt waits in the queue of a connection that is
        // not yet up.
        std::thread::sleep(std::time::Duration::from_millis(120));
        let (issued, at) = (UnixTime::default(), now());
        bulletin::apply(
            &testbed.node,
            config::DiscoveryEvent::Purge { issued, object: None, group: 17 },
            false,
        );
        wait_until("an attempt", || !testbed.received_requests().is_empty()).await;
        let newer = testbed.received_requests()[0][2].split(',').any(|f| f.starts_with("newer="));
        assert!(newer, "sent {} us after the purge: {:?}", now() - at, testbed.received_requests());
    });
}

/// A client's copy is confirmed as current only where the cache named that very version.
#[rstest]
#[case::that_copy("4be0c1927d55a6f3", None)]
#[case::another("00000000000000ff", Some("Full"))]
fn a_copy_is_current_only_if_the_cache_says_so(#[case] held_version: &str, #[case] error_word: Option<&str>) {
    run(|ex| async move {
        let testbed = start_testbed(ex, 1).await;
        testbed.set_behavior(CacheBehavior::Answer(
            "still_good",
            "version=4be0c1927d55a6f3,stamp=1,detail=HIT",
            vec![],
        ));
        let mut client = Client::connect(testbed.front).await;
        client.send(&request(1, "media", &[("etag", held_version)])).await;
        assert_eq!(client.answer().await, Some((1, error_word.map(str::to_owned), vec![])));
        let unchanged = testbed.node.plan(|p, _| p.counters.get(Counter::Unchanged));
        assert_eq!(
            (unchanged == 1, testbed.received_requests()[0][2].contains(&format!("holds={held_version}"))),
            (error_word.is_none(), true)
        );
    });
}

/// The health check `alive` is answered with true once there is a member list, and with false after SIGTERM.
#[rstest]
#[case::listed(None, false, true)]
#[case::no_list(Some("/known/items"), false, false)]
#[case::stopping(None, true, false)]
fn alive(#[case] emptied_list: Option<&str>, #[case] stopping: bool, #[case] expected: bool) {
    run(|ex| async move {
        let testbed = start_testbed_with_config(ex, 1, |j| {
            emptied_list.map_or(j.clone(), |at| with_value_at(&j, at, json!([])))
        })
        .await;
        testbed.node.stopping.set(stopping.then(now));
        let mut frame = vec![0x94, 0x00, 0x07];
        put_text(&mut frame, "alive");
        frame.extend([0x91, 0x80]);
        let client = Client::connect(testbed.front).await;
        client.send(&frame).await;
        let mut answer = [0; 11];
        (&client.stream).read_exact(&mut answer).await.unwrap();
        assert_eq!(answer, [0x94, 0x01, 0xce, 0, 0, 0, 7, 0xc0, 0x92, 0xc2 | u8::from(expected), 0x80]);
    });
}

/// On a connection that stays open after SIGTERM, requests are served for 0.6 s and a margin. Those that come
/// once clients have moved to other proxies are refused at once and not sent to a cache.
#[rstest]
#[case::among_the_last(600_000, None, 1)]
#[case::long_after(1_000_000, Some("Full"), 0)]
fn requests_on_open_connections_after_sigterm(
    #[case] after: Micros,
    #[case] error_word: Option<&str>,
    #[case] sent: usize,
) {
    run(|ex| async move {
        let testbed = start_testbed(ex, 1).await;
        testbed.set_behavior(served());
        let mut client = Client::connect(testbed.front).await;
        client.send(&request(1, "media", &[])).await;
        assert_eq!(client.answer().await.unwrap().1, None);
        testbed.node.stopping.set(Some(now() - after));
        client.send(&request(2, "media", &[])).await;
        assert_eq!(client.answer().await.unwrap().1.as_deref(), error_word);
        assert_eq!(testbed.received_requests().len(), 1 + sent);
    });
}

/// A request that is accepted after SIGTERM is answered before the SIGKILL, however long the client would
/// wait. The kill comes 0.7 s plus the longest deadline of the settings after SIGTERM, where a deadline
/// counts as 3 s at most.
#[rstest]
#[case::short_deadlines(1_000_000)]
#[case::long_deadlines(6_000_000)]
fn requests_accepted_after_sigterm_are_answered_before_the_kill(#[case] longest: Micros) {
    run(|ex| async move {
        let deadlines = |json: String| {
            let json = with_value_at(&json, "/settings/classes/0/hard_limit", longest.into());
            with_value_at(&json, "/settings/classes/1/hard_limit", json!(900_000))
        };
        let testbed = start_testbed_with_config(ex, 1, deadlines).await;
        let ttl = (longest / 1000).to_string();
        let (mut client, stopped_at) = (Client::connect(testbed.front).await, now() - 800_000);
        testbed.node.stopping.set(Some(stopped_at));
        client.send(&request(1, "media", &[("ttl", &ttl)])).await;
        assert_eq!(client.answer().await.unwrap().1.as_deref(), Some("Full"));
        assert!(
            now() < stopped_at + longest.min(3 * SECOND) + 700_000,
            "{} us after the order",
            now() - stopped_at
        );
    });
}

/// On SIGTERM the program serves a connection that was open before for as long as requests may come on it,
/// and still answers the last of them. Also checks how the program is run: it is linked dynamically, and the
/// deploy file starts it by `exec` as the only process.
#[test]
fn the_program_ends_only_once_clients_have_gone_elsewhere() {
    let program = env!("CARGO_BIN_EXE_threadward");
    let bytes = std::fs::read(program).unwrap();
    assert!(bytes.windows(8).any(|b| b == b"ld-linux"), "not linked dynamically");
    let deploy = include_str!("../../deploy/balancer.toml").parse::<toml::Table>().unwrap();
    assert_eq!(deploy["run"].as_str(), Some("exec target/release/threadward"));
    run(|ex| async move {
        let cache = start_cache(ex);
        *cache.behavior.borrow_mut() = served();
        let (_, _, at) = start_discovery(ex);
        let (listener, front) = listen();
        drop(listener);
        let path = std::env::temp_dir().join(format!("threadward-standing-{}.json", std::process::id()));
        std::fs::write(
            &path,
            configuration(front, at, &[server_entry("s-0", cache.addr, "std", "active", 0)]),
        )
        .unwrap();
        let mut child = Command::new(program).env("LB_CONFIG", &path).stderr(Stdio::null()).spawn().unwrap();
        while Async::<std::net::TcpStream>::connect(front).await.is_err() {
            sleep_until(now() + 5_000).await;
        }
        let mut open = Client::connect(front).await;
        open.send(&request(1, "media", &[])).await;
        assert_eq!(open.answer().await.unwrap().1, None);
        let killed = Command::new("sh").args(["-c", &format!("kill -TERM {}", child.id())]).status();
        assert!(killed.unwrap().success());
        let stopped_at = now();
        let mut id = 1;
        while now() < stopped_at + 500_000 {
            id += 1;
            open.send(&request(id, "media", &[])).await;
            assert_eq!(open.answer().await, Some((id, None, b"whole".to_vec())));
            sleep_until(now() + 20_000).await;
        }
        *cache.behavior.borrow_mut() = CacheBehavior::Silent;
        open.send(&request(id + 1, "media", &[])).await;
        wait_until("the last request", || cache.commands.borrow().len() == id as usize + 1).await;
        sleep_until(stopped_at + 1_200_000).await;
        let call = cache.commands.borrow().last().unwrap()[1].clone();
        cache.reply(&call, b"last").await;
        assert_eq!(open.answer().await, Some((id + 1, None, b"last".to_vec())));
        wait_until("the end", || child.try_wait().unwrap().is_some()).await;
        assert!(child.wait().unwrap().success());
        assert!(now() < stopped_at + 3_700_000, "SIGKILL would have come first");
    });
}
