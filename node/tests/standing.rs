//! Terms of the protocol and of the standing test that no other test holds: the end on SIGTERM, a watch of the bulletin
//! that falls silent, what waits unwritten meanwhile, and whose copy is called current. Each is played on real sockets.
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

const S: Micros = 1_000_000;

/// A configuration with another value at a place.
fn with(json: &str, place: &str, value: Value) -> String {
    let mut v: Value = serde_json::from_str(json).unwrap();
    *v.pointer_mut(place).unwrap() = value;
    v.to_string()
}

/// Calls at the bulletin of this file: when each came, and the number of the last event that it named.
type Calls = Rc<RefCell<Vec<(Micros, u64)>>>;

/// A bulletin whose first watch gets a comment each second for two seconds and then falls silent for good, whose second
/// says nothing at all, and whose later ones tell this event.
async fn falls_silent(l: Rc<Async<TcpListener>>, event: String, calls: Calls, mute: Rc<RefCell<Micros>>) {
    let mut open = Vec::new();
    loop {
        let (stream, _) = l.accept().await.unwrap();
        let (mut buf, mut chunk) = (Vec::new(), [0u8; 1024]);
        while wire::parse_http_head(&buf).unwrap().is_none() {
            let n = (&stream).read(&mut chunk).await.unwrap();
            assert!(n > 0, "a call without its end");
            buf.extend_from_slice(&chunk[..n]);
        }
        let (head, _) = wire::parse_http_head(&buf).unwrap().unwrap();
        calls.borrow_mut().push((now(), head.header("last-event-id").unwrap().parse().unwrap()));
        let n = calls.borrow().len();
        if n != 2 {
            (&stream).write_all(b"HTTP/1.1 200 OK\r\n\r\n:\n\n").await.unwrap();
        }
        match n {
            1 => {
                for _ in 0..2 {
                    sleep_until(now() + S).await;
                    (&stream).write_all(b":\n\n").await.unwrap();
                }
                *mute.borrow_mut() = now();
            }
            2 => {}
            _ => (&stream).write_all(format!("id: 1\ndata: {event}\n\n").as_bytes()).await.unwrap(),
        }
        open.push(stream);
    }
}

/// A watch with a comment each second is kept. One that falls silent is noticed and called anew from the last event, also
/// where the next one is silent too, long before a drain counts as told; from then on the drain is kept.
#[test]
fn a_silent_watch_is_called_anew_before_what_it_missed_counts_as_told() {
    run(|ex| async move {
        let (l, at) = listen();
        let w =
            start_testbed_with_config(ex, 2, |json| with(&json, "/bulletin", at.to_string().into())).await;
        w.set_behavior(served());
        let drain = server_entry("s-0", w.caches[0].addr, "std", "leaving", 0);
        let event = format!(r#"{{"no":1,"roster":{{"version":2,"full":false,"servers":[{drain}]}}}}"#);
        let (calls, mute) = (Calls::default(), Rc::new(RefCell::new(0)));
        ex.spawn(falls_silent(l, event, calls.clone(), mute.clone())).detach();
        wait_until("the silence", || *mute.borrow() > 0).await;
        assert_eq!(calls.borrow().len(), 1, "a watch with comments was left");
        wait_until("the drain", || w.node.last_event.get() == 1).await;
        assert!(now() < *mute.borrow() + 7 * S, "called anew too late: {:?}", calls.borrow());
        assert!(calls.borrow().iter().all(|c| c.1 == 0) && calls.borrow().len() == 3);
        let mut c = Client::connect(w.front).await;
        for id in 1..30 {
            c.send(&request(id, "media", &[("row", &format!("{id:016x}"))])).await;
            assert_eq!(c.answer().await.unwrap().1, None);
        }
        assert_eq!((w.caches[0].commands.borrow().len(), w.caches[1].commands.borrow().len()), (0, 29));
    });
}

/// What waits unwritten while a purge is told, for as long as the settings let sends count as made before it, goes out
/// anew and asks for no copy from before the purge.
#[test]
fn what_waits_unwritten_follows_the_graces_of_the_settings() {
    run(|ex| async move {
        let w = start_testbed_with_config(ex, 2, |j| {
            with(&j, "/settings/family_info/purge_slack", json!(50_000))
        })
        .await;
        let ask = ClientRequest {
            call_id: "00".into(),
            object_name: OBJECT.into(),
            object: u64::from_str_radix(OBJECT, 16).unwrap(),
            group: 17,
            expires_at: now() + 2 * S,
            ..ClientRequest::default()
        };
        w.node.plan(|p, now| p.accept_request(now, 0, ask, Box::new(|_| {})));
        // No task has its turn meanwhile: the attempt stands in the queue of a connection that is not up.
        std::thread::sleep(std::time::Duration::from_millis(120));
        let (issued, at) = (UnixTime::default(), now());
        bulletin::apply(&w.node, config::Bulletin::Recall { issued, object: None, group: 17 }, false);
        wait_until("an attempt", || !w.received_requests().is_empty()).await;
        let newer = w.received_requests()[0][2].split(',').any(|f| f.starts_with("newer="));
        assert!(newer, "sent {} us after the purge: {:?}", now() - at, w.received_requests());
    });
}

/// A client's copy is called current only where the cache named that very copy.
#[rstest]
#[case::that_copy("4be0c1927d55a6f3", None)]
#[case::another("00000000000000ff", Some("Full"))]
fn a_copy_is_current_only_by_a_caches_word(#[case] held: &str, #[case] word: Option<&str>) {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        w.set_behavior(CacheBehavior::Answer(
            "still_good",
            "version=4be0c1927d55a6f3,stamp=1,detail=HIT",
            vec![],
        ));
        let mut c = Client::connect(w.front).await;
        c.send(&request(1, "media", &[("etag", held)])).await;
        assert_eq!(c.answer().await, Some((1, word.map(str::to_owned), vec![])));
        let unchanged = w.node.plan(|p, _| p.counters.get(Counter::Unchanged));
        assert_eq!(
            (unchanged == 1, w.received_requests()[0][2].contains(&format!("holds={held}"))),
            (word.is_none(), true)
        );
    });
}

/// The front is told yes once there is a list to serve by, and no longer after the order to end.
#[rstest]
#[case::listed(None, false, true)]
#[case::no_list(Some("/known/items"), false, false)]
#[case::told_to_end(None, true, false)]
fn alive(#[case] emptied: Option<&str>, #[case] stopping: bool, #[case] yes: bool) {
    run(|ex| async move {
        let w = start_testbed_with_config(ex, 1, |j| emptied.map_or(j.clone(), |at| with(&j, at, json!([]))))
            .await;
        w.node.stopping.set(stopping.then(now));
        let mut frame = vec![0x94, 0x00, 0x07];
        put_text(&mut frame, "alive");
        frame.extend([0x91, 0x80]);
        let c = Client::connect(w.front).await;
        c.send(&frame).await;
        let mut said = [0; 11];
        (&c.stream).read_exact(&mut said).await.unwrap();
        assert_eq!(said, [0x94, 0x01, 0xce, 0, 0, 0, 7, 0xc0, 0x92, 0xc2 | u8::from(yes), 0x80]);
    });
}

/// A connection that stays open after the order to end: what comes for 0.6 s is served, with some room; what comes once
/// clients have gone elsewhere is refused at once and sent nowhere.
#[rstest]
#[case::among_the_last(600_000, None, 1)]
#[case::long_after(1_000_000, Some("Full"), 0)]
fn requests_on_open_connections_after_the_order_to_end(
    #[case] after: Micros,
    #[case] word: Option<&str>,
    #[case] sent: usize,
) {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        w.set_behavior(served());
        let mut c = Client::connect(w.front).await;
        c.send(&request(1, "media", &[])).await;
        assert_eq!(c.answer().await.unwrap().1, None);
        w.node.stopping.set(Some(now() - after));
        c.send(&request(2, "media", &[])).await;
        assert_eq!(c.answer().await.unwrap().1.as_deref(), word);
        assert_eq!(w.received_requests().len(), 1 + sent);
    });
}

/// What is taken after the order to end has its answer before the kill, 0.7 s and the longest deadline after the order,
/// that counted as 3 s where it is longer; however long the client would wait.
#[rstest]
#[case::short_deadlines(1_000_000)]
#[case::long_deadlines(6_000_000)]
fn what_is_taken_after_the_order_to_end_is_answered_before_the_kill(#[case] longest: Micros) {
    run(|ex| async move {
        let deadlines = |json: String| {
            let json = with(&json, "/settings/classes/0/hard_limit", longest.into());
            with(&json, "/settings/classes/1/hard_limit", json!(900_000))
        };
        let w = start_testbed_with_config(ex, 1, deadlines).await;
        let ttl = (longest / 1000).to_string();
        let (mut c, ordered) = (Client::connect(w.front).await, now() - 800_000);
        w.node.stopping.set(Some(ordered));
        c.send(&request(1, "media", &[("ttl", &ttl)])).await;
        assert_eq!(c.answer().await.unwrap().1.as_deref(), Some("Full"));
        assert!(now() < ordered + longest.min(3 * S) + 700_000, "{} us after the order", now() - ordered);
    });
}

/// The program itself, told to end: a connection that was open before is served for as long as requests may come on it,
/// and what came last is still answered. The file it is says how it is run: linked dynamically, by `exec`, alone.
#[test]
fn the_program_ends_only_once_clients_have_gone_elsewhere() {
    let program = env!("CARGO_BIN_EXE_threadward");
    let bytes = std::fs::read(program).unwrap();
    assert!(bytes.windows(8).any(|b| b == b"ld-linux"), "not linked dynamically");
    let deploy = include_str!("../../deploy/balancer.toml").parse::<toml::Table>().unwrap();
    assert_eq!(deploy["run"].as_str(), Some("exec target/release/threadward"));
    run(|ex| async move {
        let c = start_cache(ex);
        *c.behavior.borrow_mut() = served();
        let (_, _, at) = start_discovery(ex);
        let (l, front) = listen();
        drop(l);
        let path = std::env::temp_dir().join(format!("threadward-standing-{}.json", std::process::id()));
        std::fs::write(&path, configuration(front, at, &[server_entry("s-0", c.addr, "std", "active", 0)]))
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
        let ordered = now();
        let mut id = 1;
        while now() < ordered + 500_000 {
            id += 1;
            open.send(&request(id, "media", &[])).await;
            assert_eq!(open.answer().await, Some((id, None, b"whole".to_vec())));
            sleep_until(now() + 20_000).await;
        }
        *c.behavior.borrow_mut() = CacheBehavior::Silent;
        open.send(&request(id + 1, "media", &[])).await;
        wait_until("the last one", || c.commands.borrow().len() == id as usize + 1).await;
        sleep_until(ordered + 1_200_000).await;
        let call = c.commands.borrow().last().unwrap()[1].clone();
        c.reply(&call, b"last").await;
        assert_eq!(open.answer().await, Some((id + 1, None, b"last".to_vec())));
        wait_until("the end", || child.try_wait().unwrap().is_some()).await;
        assert!(child.wait().unwrap().success());
        assert!(now() < ordered + 3_700_000, "the kill would have come first");
    });
}
