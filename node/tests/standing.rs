//! Terms of the protocol and of the standing test that no other test holds: what waits unwritten while a purge is told,
//! and whose copy is called current. Each is played on real sockets.
mod common;
use common::*;
use rstest::rstest;
use threadward::net::now;
use threadward::{bulletin, config};
use threadward_core::{Ask, Counter, Micros};

const S: Micros = 1_000_000;

/// What waits unwritten while a purge is told, for as long as the settings let sends count as made before it, goes out
/// anew and asks for no copy from before the purge.
#[test]
fn what_waits_unwritten_follows_the_graces_of_the_settings() {
    run(|ex| async move {
        let w = world_with(ex, 2, |j| j.replace("\"purge_slack\":300000", "\"purge_slack\":50000")).await;
        let ask = Ask {
            call: "00".into(),
            row: OBJECT.into(),
            object: u64::from_str_radix(OBJECT, 16).unwrap(),
            group: 17,
            due: now() + 2 * S,
            ..Ask::default()
        };
        w.node.plan(|p, now| p.take(now, 0, ask, Box::new(|_| {})));
        // No task has its turn meanwhile: the attempt stands in the queue of a connection that is not up.
        std::thread::sleep(std::time::Duration::from_millis(120));
        let issued = now();
        bulletin::apply(&w.node, config::Bulletin::Recall { issued, object: None, group: 17 }, false);
        until("an attempt", || !w.sent().is_empty()).await;
        let newer = w.sent()[0][2].split(',').any(|f| f.starts_with("newer="));
        assert!(newer, "sent {} us after the purge: {:?}", now() - issued, w.sent());
    });
}

/// A client's copy is called current only where the cache named that very copy.
#[rstest]
#[case::that_copy("4be0c1927d55a6f3", None)]
#[case::another("00000000000000ff", Some("Full"))]
fn a_copy_is_current_only_by_a_caches_word(#[case] held: &str, #[case] word: Option<&str>) {
    run(|ex| async move {
        let w = world(ex, 1).await;
        w.all_do(Act::Say("still_good", "version=4be0c1927d55a6f3,stamp=1,detail=HIT", vec![]));
        let mut c = Client::to(w.front).await;
        c.send(&request(1, "media", &[("etag", held)])).await;
        assert_eq!(c.answer().await, Some((1, word.map(str::to_owned), vec![])));
        let unchanged = w.node.plan(|p, _| p.counters.get(Counter::Unchanged));
        assert_eq!(
            (unchanged == 1, w.sent()[0][2].contains(&format!("holds={held}"))),
            (word.is_none(), true)
        );
    });
}
