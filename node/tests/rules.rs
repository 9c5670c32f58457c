//! One test with real sockets for each of the five rules, and for bad input at the front.
mod common;
use common::*;
use rstest::rstest;
use threadward::net::{now, sleep_until};
use threadward_core::Counter;

fn ok() -> CacheBehavior {
    CacheBehavior::Answer("served", "version=4be0c1927d55a6f3,stamp=1,detail=HIT", b"whole".to_vec())
}

fn cancel(id: u8) -> Vec<u8> {
    let mut out = vec![0x93, 0x02];
    put_text(&mut out, "cancelRequest");
    out.extend([0x91, id]);
    out
}

/// Rule 1: one final answer, whatever the cache does; none after a cancel, and none that comes late.
#[rstest]
#[case::served(ok(), None, b"whole")]
#[case::broken(CacheBehavior::Close, Some("Full"), b"")]
#[case::crashed(CacheBehavior::Answer("crashed", "-", vec![]), Some("Full"), b"")]
#[case::lacking(CacheBehavior::Answer("not_here", "detail=UP_MISS", vec![]), Some("Full"), b"")]
#[case::silent(CacheBehavior::Silent, Some("Full"), b"")]
#[case::nonsense(CacheBehavior::Answer("what", "-", vec![]), Some("Full"), b"")]
#[case::untagged(CacheBehavior::Answer("served", "detail=MISS_ORIGIN", b"whole".to_vec()), None, b"whole")]
#[case::unasked(CacheBehavior::Answer("still_good", "version=ab,detail=HIT", vec![]), Some("Full"), b"")]
fn one_final_answer(#[case] act: CacheBehavior, #[case] word: Option<&str>, #[case] body: &[u8]) {
    run(|ex| async move {
        let w = start_testbed(ex, 2).await;
        w.set_behavior(act);
        let mut c = Client::connect(w.front).await;
        c.send(&request(1, "media", &[("ttl", "150")])).await;
        assert_eq!(c.answer().await, Some((1, word.map(str::to_owned), body.to_vec())));
        // Whatever else was owed for it would stand before the next answer.
        w.set_behavior(ok());
        c.send(&request(2, "nothing", &[])).await;
        assert_eq!(c.answer().await.unwrap().0, 2);
        wait_until("all requests closed", || w.node.plan(|p, _| p.open_requests()) == 0).await;
    });
}

#[test]
fn nothing_is_answered_after_a_cancel() {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        let mut c = Client::connect(w.front).await;
        c.send(&request(1, "media", &[])).await;
        wait_until("the attempt", || w.received_requests().len() == 1).await;
        c.send(&cancel(1)).await;
        let seen = &w.caches[0].commands;
        wait_until("the cancel at the cache", || seen.borrow().iter().any(|p| p[0] == "cancel")).await;
        c.send(&request(2, "nothing", &[])).await;
        assert_eq!(c.answer().await.unwrap().0, 2);
        assert_eq!(w.node.plan(|p, _| p.counters.get(Counter::Left)), 1);
    });
}

/// Rule 2: what may have run does not go out again where the class forbids it.
#[rstest]
#[case::may_have_run(CacheBehavior::Close, 1, "Error")]
#[case::never_ran(CacheBehavior::Answer("overload", "-", vec![]), 2, "Full")]
fn no_duplicated_effect(#[case] act: CacheBehavior, #[case] least: usize, #[case] word: &str) {
    run(|ex| async move {
        let w = start_testbed(ex, 2).await;
        w.set_behavior(act);
        let mut c = Client::connect(w.front).await;
        c.send(&request(1, "booking", &[("dedupe", "5c0f6e1a")])).await;
        assert_eq!(c.answer().await.unwrap().1.as_deref(), Some(word));
        let sent = w.received_requests();
        assert!(sent.len() >= least && (least > 1 || sent.len() == 1), "{sent:?}");
        assert!(sent.iter().all(|p| p[2].contains("uniq=5c0f6e1a")));
    });
}

/// Rule 3: nothing goes to a member that drains, from the moment that is heard, nor to one at its old address.
#[rstest]
#[case::drains("leaving")]
#[case::gone("left")]
fn safe_drain(#[case] state: &str) {
    run(|ex| async move {
        let w = start_testbed(ex, 2).await;
        w.set_behavior(ok());
        let left = server_entry("s-0", w.caches[0].addr, "std", state, 0);
        w.publish_event(&format!(r#""roster":{{"version":2,"full":false,"servers":[{left}]}}"#)).await;
        let mut c = Client::connect(w.front).await;
        for id in 1..30 {
            c.send(&request(id, "media", &[("row", &format!("{id:016x}"))])).await;
            assert_eq!(c.answer().await.unwrap().1, None);
        }
        assert_eq!((w.caches[0].commands.borrow().len(), w.caches[1].commands.borrow().len()), (0, 29));
    });
}

/// Rule 4: a member that has just started gets less than the warm one beside it, also where it took over the address of
/// one of which nobody has told that it is gone.
#[rstest]
#[case::anew("s-0")]
#[case::instead("s-new")]
fn safe_fail_back(#[case] id: &str) {
    run(|ex| async move {
        let w = start_testbed(ex, 2).await;
        w.set_behavior(ok());
        let cold = server_entry(id, w.caches[0].addr, "std", "active", unix_ms());
        w.publish_event(&format!(r#""roster":{{"version":2,"full":false,"servers":[{cold}]}}"#)).await;
        let mut c = Client::connect(w.front).await;
        for id in 1..100 {
            c.send(&request(id, "media", &[("row", &format!("{id:016x}"))])).await;
            c.answer().await.unwrap();
        }
        let (cold, warm) = (w.caches[0].commands.borrow().len(), w.caches[1].commands.borrow().len());
        assert!(cold * 3 < warm, "{cold} to the cold one, {warm} to the warm one");
    });
}

/// Rule 5: after a purge was heard, no attempt may be answered from a copy older than it.
#[rstest]
#[case::object(format!(r#""item":"{OBJECT}""#), true)]
#[case::group(r#""lot":17"#.to_owned(), true)]
#[case::another(r#""lot":18"#.to_owned(), false)]
fn no_purged_copy(#[case] what: String, #[case] hit: bool) {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        w.set_behavior(ok());
        let issued = unix_ms();
        w.publish_event(&format!(r#""recall":{{{what},"issued":{issued}}}"#)).await;
        let mut c = Client::connect(w.front).await;
        c.send(&request(1, "media", &[])).await;
        c.answer().await.unwrap();
        let sent = w.received_requests().remove(0);
        let newer: Option<u64> = threadward::wire::find_field(&sent[2], "newer").map(|n| n.parse().unwrap());

        assert_eq!(newer.is_some(), hit, "{sent:?}");
        assert!(newer.is_none_or(|n| n <= unix_ms() - issued + 1));
    });
}

/// Unusable fields get one error answer and go no further; the connection stays.
#[rstest]
#[case("media", &[("call", "xyz")])]
#[case("media", &[("row", "7F3A9C21E0B4D655")])]
#[case("media", &[("ttl", "-1")])]
#[case("media", &[("seg", "03")])]
#[case("media", &[("bucket", "256")])]
#[case("media", &[("etag", "a,fetch=origin")])]
#[case("unknown", &[])]
fn unusable_fields(#[case] class: &str, #[case] more: &[(&str, &str)]) {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        w.set_behavior(ok());
        let mut c = Client::connect(w.front).await;
        c.send(&request(1, class, more)).await;
        assert_eq!(c.answer().await, Some((1, Some("Error".into()), vec![])));
        c.send(&request(2, "media", &[])).await;
        assert_eq!(c.answer().await.unwrap().1, None);
        assert_eq!(w.received_requests().len(), 1);
        assert_eq!(w.node.plan(|p, _| p.counters.get(Counter::Unusable)), 1);
    });
}

/// A malformed or overlong frame closes its connection, alone, and is counted.
#[rstest]
#[case::not_a_list(vec![0x01])]
#[case::unused_type(vec![0xc1])]
#[case::overlong([vec![0x94, 0x00, 0x01, 0xc6], (1u32 << 20).to_be_bytes().to_vec()].concat())]
#[case::deep(vec![0x91; 64])]
#[case::id_again([request(1, "media", &[]), request(1, "media", &[])].concat())]
fn malformed_frames(#[case] bytes: Vec<u8>) {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        let (mut bad, mut good) = (Client::connect(w.front).await, Client::connect(w.front).await);
        bad.send(&bytes).await;
        while bad.answer().await.is_some() {}
        w.set_behavior(ok());
        good.send(&request(1, "media", &[])).await;
        assert_eq!(good.answer().await.unwrap().1, None);
        assert_eq!(w.node.plan(|p, _| p.counters.get(Counter::Malformed)), 1);
    });
}

/// A bulletin that breaks off in an event, or falls silent, is read again from the last event; what came meanwhile is
/// not missed, and what is written twice applies once.
#[rstest]
#[case::broken("close")]
#[case::silent("hush")]
fn the_bulletin_is_read_on_after_a_loss(#[case] how: &str) {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        for issued in [1, 2] {
            w.publish_event(&format!(r#""recall":{{"lot":1,"issued":{issued}}}"#)).await;
            w.end_discovery_connection(how);
        }
        w.publish_event(r#""recall":{"lot":1,"issued":3}"#).await;
        let count = |c| w.node.plan(|p, _| p.counters.get(c));
        assert_eq!((count(Counter::Purges), count(Counter::DiscoveryLosses)), (3, 2));
    });
}

/// An event that comes before its turn is not applied: what is missing is asked for first.
#[test]
fn events_apply_in_order() {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        w.push_withheld_event(r#""recall":{"lot":1,"issued":1}"#);
        w.publish_event(r#""recall":{"lot":1,"issued":2}"#).await;
        wait_until("both", || w.node.plan(|p, _| p.counters.get(Counter::Purges)) == 2).await;
        assert_eq!(w.node.last_event.get(), 2);
    });
}

/// What cannot be used is counted and passed over; the last good list, and all that is told after, stay in use.
#[rstest]
#[case::not_json("raw:]garbage")]
#[case::no_servers(r#""roster":{"version":2,"full":true,"servers":[]}"#)]
#[case::of_a_state_unknown(r#""roster":{"version":2,"full":true,"servers":[{"id":"s-0","state":"asleep"}]}"#)]
fn a_bulletin_that_tells_what_cannot_be_used(#[case] bad: &str) {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        w.set_behavior(ok());
        let no = w.discovery_events.borrow().len() + 1;
        let event = bad.strip_prefix("raw:").map_or(format!(r#"{{"no":{no},{bad}}}"#), str::to_owned);
        w.discovery_events.borrow_mut().push(event);
        w.publish_event(r#""recall":{"lot":1,"issued":3}"#).await;
        let count = |c| w.node.plan(|p, _| p.counters.get(c));
        assert_eq!(count(Counter::Purges), 1, "what stands behind it is heard");
        assert!(count(Counter::Malformed) >= 1, "it is counted");
        assert!(count(Counter::DiscoveryLosses) <= 2, "and asked for again a bounded number of times");
        let mut c = Client::connect(w.front).await;
        c.send(&request(1, "media", &[])).await;
        assert_eq!(c.answer().await.unwrap().1, None, "the cache of the last good list serves");
    });
}

/// More servers than can be held: a list of 10,000 is taken in, one too long is not, and the cache still serves.
#[test]
fn a_very_long_list() {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        w.set_behavior(ok());
        let at = |i: usize| ([127, 1, (i >> 8) as u8, i as u8], 9).into();
        let many = |from: usize, n: usize| {
            let all: Vec<String> = (from..from + n)
                .map(|i| server_entry(&format!("x-{i}"), at(i), "unheard-of", "active", 0))
                .collect();
            format!(r#""roster":{{"version":2,"full":false,"servers":[{}]}}"#, all.join(","))
        };
        w.publish_event(&many(0, 10_000)).await;
        w.discovery_events.borrow_mut().push(format!(r#"{{"no":2,{}}}"#, many(0, 20_001)));
        w.publish_event(r#""recall":{"lot":1,"issued":3}"#).await;
        assert_eq!(w.node.plan(|p, _| p.counters.get(Counter::Malformed)), 1);
        let mut c = Client::connect(w.front).await;
        c.send(&request(1, "media", &[])).await;
        assert_eq!(c.answer().await.unwrap().1, None);
    });
}

/// A new member at the address of one that has gone is a member of its own, in whatever order both are told.
#[rstest]
#[case::gone_first(false)]
#[case::gone_last(true)]
fn reused_addresses(#[case] turn: bool) {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        w.set_behavior(ok());
        let at = w.caches[0].addr;
        let mut both =
            [server_entry("s-0", at, "std", "left", 0), server_entry("s-new", at, "std", "active", 0)];
        if turn {
            both.reverse();
        }
        w.publish_event(&format!(r#""roster":{{"version":2,"full":false,"servers":[{}]}}"#, both.join(",")))
            .await;
        let mut c = Client::connect(w.front).await;
        c.send(&request(1, "media", &[])).await;
        assert_eq!(c.answer().await.unwrap().1, None);
    });
}

/// A client that takes no answers is not given memory without bound: its connection ends.
#[test]
fn a_client_that_does_not_read() {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        w.set_behavior(CacheBehavior::Answer("served", "version=ab,stamp=1,detail=HIT", vec![7; 240_000]));
        let c = Client::connect(w.front).await;
        let malformed = || w.node.plan(|p, _| p.counters.get(Counter::Malformed));
        let mut id = 0;
        while malformed() == 0 {
            id += 1;
            assert!(id < 500, "never closed");
            c.send(&request(id, "media", &[])).await;
            wait_until("its answer", || {
                w.node.plan(|p, _| p.open_requests()) == 0 && w.received_requests().len() == id as usize
                    || malformed() > 0
            })
            .await;
            assert!(w.node.unwritten_bytes.get() < 70 * 240_100);
        }
        wait_until("its memory", || w.node.unwritten_bytes.get() == 0).await;
        assert_eq!(w.node.plan(|p, _| p.counters.get(Counter::Malformed)), 1);
    });
}

/// What says nothing, never ends a message or takes all back is closed in time, and nothing of it is served.
#[rstest]
#[case::silent(vec![])]
#[case::half_a_message(request(1, "media", &[])[..40].to_vec())]
#[case::endless([vec![0x94, 0x00, 0x01, 0xa5], b"media".to_vec(), vec![0x92, 0x80, 0xc5, 0xbb, 0x80, 7]].concat())]
#[case::taken_back([request(1, "media", &[]), cancel(1)].concat())]
fn a_client_that_never_asks_is_closed(#[case] bytes: Vec<u8>) {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        let (mut bad, from) = (Client::connect(w.front).await, now());
        bad.send(&bytes).await;
        assert_eq!(bad.answer().await, None);
        assert!((1_000_000..3_000_000).contains(&(now() - from)));
        assert_eq!(w.node.plan(|p, _| p.counters.get(Counter::Overdue)), 1);
    });
}

/// Connections that say nothing cannot use up the descriptors: those make room first, then the longest idle; one that
/// has just come finds its place kept.
#[test]
fn silent_clients_make_room() {
    run(|ex| async move {
        let w = start_testbed_with_sockets(ex, 1, 64).await;
        w.set_behavior(ok());
        let (mut silent, mut idle) = (Vec::new(), Vec::new());
        for _ in 0..5 {
            silent.push(Client::connect(w.front).await);
        }
        sleep_until(now() + 550_000).await;
        for id in 1..=20 {
            let mut c = Client::connect(w.front).await;
            c.send(&request(id, "media", &[])).await;
            assert_eq!(c.answer().await.unwrap().1, None);
            idle.push(c);
        }
        let mut new = Client::connect(w.front).await;
        wait_until("its place", || w.node.clients() == 26).await;
        for _ in 0..16 {
            silent.push(Client::connect(w.front).await);
        }
        wait_until("the others", || w.node.plan(|p, _| p.counters.get(Counter::Accepted)) == 42).await;
        new.send(&request(31, "media", &[])).await;
        assert_eq!(new.answer().await.unwrap().1, None);
        let evicted = w.node.plan(|p, _| p.counters.get(Counter::Evicted));
        assert_eq!((w.node.clients(), evicted), (32, 10));
    });
}

/// A request that comes in slowly is judged by its progress, not by its age: it is served, over 2 s after its first byte,
/// while silent and half-written connections by the dozen ask for its place; and what is owed on a connection is answered
/// though the client began another message there and never ends it.
#[test]
fn a_slow_request_is_heard_out() {
    run(|ex| async move {
        let w = start_testbed_with_sockets(ex, 1, 48).await;
        w.set_behavior(ok());
        let mut slow = Client::connect(w.front).await;
        let frame = request(1, "media", &[]);
        let mut crowd = Vec::new();
        for piece in frame.chunks(frame.len() / 8) {
            slow.send(piece).await;
            sleep_until(now() + 320_000).await;
            for half in [false, true, true, false] {
                let c = Client::connect(w.front).await;
                if half {
                    c.send(&frame[..20]).await;
                }
                crowd.push(c);
            }
        }
        assert_eq!(slow.answer().await, Some((1, None, b"whole".to_vec())));
        assert!(w.node.plan(|p, _| p.counters.get(Counter::Evicted)) > 0, "no place was asked for");
        w.set_behavior(CacheBehavior::Silent);
        slow.send(&request(2, "media", &[])).await;
        slow.send(&frame[..20]).await;
        wait_until("the attempt", || w.received_requests().len() == 2).await;
        sleep_until(now() + 1_000_000).await;
        let call = w.received_requests()[1][1].clone();
        w.caches[0].reply(&call, b"late").await;
        assert_eq!(slow.answer().await, Some((2, None, b"late".to_vec())));
    });
}

/// Each answer to an unusable request costs something; after some the connection ends.
#[test]
fn unusable_again_and_again() {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        let mut c = Client::connect(w.front).await;
        for id in 1..=8 {
            c.send(&request(id, "nothing", &[])).await;
            assert_eq!(c.answer().await.unwrap().1.as_deref(), Some("Error"));
        }
        c.send(&request(9, "nothing", &[])).await;
        assert_eq!(c.answer().await, None);
    });
}

/// The id of an open request cannot be used by another: the first goes on, the second gets one error.
#[test]
fn the_id_of_an_open_request() {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        let (mut first, mut second) = (Client::connect(w.front).await, Client::connect(w.front).await);
        first.send(&request(1, "media", &[])).await;
        wait_until("the attempt", || w.received_requests().len() == 1).await;
        let other = [("call", "0000000000000001"), ("row", "0000000000000abc")];
        second.send(&request(1, "media", &other)).await;
        assert_eq!(second.answer().await.unwrap().1.as_deref(), Some("Error"));
        w.caches[0].reply("0000000000000001", b"first").await;
        assert_eq!(first.answer().await, Some((1, None, b"first".to_vec())));
        second.send(&request(2, "media", &other)).await;
        wait_until("the id is free again", || w.received_requests().len() == 2).await;
    });
}

/// Answers that nobody waits for, a second copy or an unknown id, are dropped and counted. The connection stays while
/// something is out on it; one that brought such an answer while it rested is not used again.
#[test]
fn surplus_answers() {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        let mut c = Client::connect(w.front).await;
        let count = |c| w.node.plan(|p, _| p.counters.get(c));
        for id in 1..3 {
            c.send(&request(id, "media", &[])).await;
            wait_until("the attempt", || w.received_requests().len() == id as usize).await;
            for call in ["ffffffffffffffff", &format!("{id:016x}")] {
                w.caches[0].reply(call, b"whole").await;
            }
            assert_eq!(c.answer().await, Some((id, None, b"whole".to_vec())));
        }
        wait_until("the unknown ones", || count(Counter::LateEnds) == 2).await;
        assert_eq!(count(Counter::Opened), 1, "the connection stays");
        w.caches[0].reply("0000000000000002", b"whole").await;
        wait_until("the second copy", || count(Counter::LateEnds) == 3).await;
        c.send(&request(3, "media", &[])).await;
        wait_until("the attempt", || w.received_requests().len() == 3).await;
        assert_eq!(count(Counter::Opened), 2, "not on a connection that said what nobody had asked");
    });
}

/// A member that takes no further connection is not down while those it has work: they carry what is asked.
#[test]
fn a_refused_further_connection() {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        w.set_behavior(ok());
        let mut c = Client::connect(w.front).await;
        c.send(&request(1, "media", &[])).await;
        assert_eq!(c.answer().await.unwrap().1, None);
        w.caches[0].refuses_connections.set(true);
        sleep_until(now() + 50_000).await;
        c.send(&(2..12).flat_map(|id| request(id, "media", &[])).collect::<Vec<u8>>()).await;
        for _ in 2..12 {
            assert_eq!(c.answer().await.unwrap().1, None);
        }
        let count = |c| w.node.plan(|p, _| p.counters.get(c));
        assert_eq!((count(Counter::EndOk), count(Counter::EndConnect), count(Counter::Opened)), (11, 0, 1));
    });
}

/// An answer that stops short gives its connection up: what was asked on it ends long before its time.
#[test]
fn an_answer_that_stops_short() {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        w.set_behavior(CacheBehavior::Stall);
        let (mut c, from) = (Client::connect(w.front).await, now());
        c.send(&request(1, "media", &[("ttl", "6000")])).await;
        assert_eq!(c.answer().await.unwrap().1.as_deref(), Some("Full"));
        assert!(now() - from < 5_000_000);
        let count = |c| w.node.plan(|p, _| p.counters.get(c));
        assert_eq!(
            (w.received_requests().len(), count(Counter::Stalled), count(Counter::EndReset)),
            (1, 1, 1)
        );
    });
}

/// An answer that never ends costs its own request only: the next goes out on another connection.
#[test]
fn a_stalled_connection_is_left() {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        w.set_behavior(CacheBehavior::Stall);
        let mut c = Client::connect(w.front).await;
        c.send(&request(1, "media", &[("ttl", "500")])).await;
        assert_eq!(c.answer().await.unwrap().1.as_deref(), Some("Full"));
        w.set_behavior(ok());
        c.send(&request(2, "media", &[("ttl", "500")])).await;
        assert_eq!(c.answer().await.unwrap().1, None);
        assert_eq!(w.node.plan(|p, _| p.counters.get(Counter::Opened)), 2);
    });
}

/// Load that is told only on a probe is asked for, within 3 in 100 requests; one that says "red" is there, and neither
/// its connection nor its requests suffer.
#[test]
fn caches_are_asked_for_their_load_where_it_comes_in_no_other_way() {
    run(|ex| async move {
        let probed = |json: String| {
            json.replace("inline", "on_probe").replace(r#""cancel""#, r#""probes":true,"cancel""#)
        };
        for (on, most) in [(true, 6), (false, 0)] {
            let w =
                if on { start_testbed_with_config(ex, 2, probed).await } else { start_testbed(ex, 2).await };
            w.set_behavior(ok());
            let mut c = Client::connect(w.front).await;
            for id in 1..=200 {
                c.send(&request(id, "media", &[])).await;
                assert_eq!(c.answer().await, Some((id, None, b"whole".to_vec())));
            }
            let count = |c| w.node.plan(|p, _| p.counters.get(c));
            let asked = || {
                w.caches.iter().flat_map(|c| c.commands.borrow().clone()).filter(|p| p[0] == "gauges").count()
            };
            if on {
                wait_until("a probe", || asked() >= 1).await;
            }
            assert!(asked() <= most, "{} probes of 200 requests", asked());
            assert_eq!((count(Counter::Malformed), count(Counter::Broken)), (0, 0));
        }
    });
}
