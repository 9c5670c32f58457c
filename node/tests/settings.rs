//! Settings of every other customer, and such as nobody means: each is refused in one line that names the field, or a
//! node that was given it answers, without a panic and without spinning.
mod common;
use common::*;
use futures_lite::FutureExt;
use rustix::time::{clock_gettime, ClockId};
use serde_json::{json, Value};
use threadward::config;
use threadward::net::{now, sleep_until};
use threadward_core::{Counter, Outcome};

/// What comes of it: a start that is refused for this field, the cache's answer, or any one final answer.
#[derive(Clone, Copy)]
enum Comes {
    Refused(&'static str),
    Served,
    Answered,
}
use Comes::{Answered, Refused, Served};

const HUGE: f64 = 1e300;

/// Paths into the configuration, and what stands there; null: nothing.
fn cases() -> Vec<(&'static str, Vec<Value>, Comes)> {
    let any = |all: &[f64]| all.iter().map(|x| json!(x)).collect::<Vec<Value>>();
    let odd = || [any(&[0.0, -1.0, 1.0, HUGE]), vec![json!(null), json!("x")]].concat();
    let one = json!([{"name": "media", "hard_limit": 2_000_000, "effect": "retryable"}]);
    let many: Vec<Value> =
        (0..300).map(|i| json!({"name": format!("c{i}"), "hard_limit": 9_000_000})).collect();
    vec![
        ("/settings/classes", vec![json!(null), json!([]), json!("x"), json!(many)], Refused("classes")),
        ("/settings/classes", vec![one], Served),
        (
            "/settings/classes/0/name",
            vec![json!(null), json!(""), json!("a b"), json!("booking")],
            Refused("name"),
        ),
        (
            "/settings/classes/0/hard_limit",
            vec![json!(null), json!(0), json!(-1), json!("x")],
            Refused("hard_limit"),
        ),
        ("/settings/classes/0/hard_limit", any(&[1.0, 500.0]), Answered),
        ("/settings/classes/0/hard_limit", any(&[HUGE]), Served),
        ("/settings/classes/0/aim", odd(), Served),
        ("/settings/classes/0/aim_stretch", odd(), Served),
        ("/settings/classes/0/importance", odd(), Served),
        (
            "/settings/classes/0/effect",
            vec![json!(null), json!("dedup"), json!("fragile"), json!("odd"), json!(7)],
            Served,
        ),
        ("/settings/classes/0/group", vec![json!(null), json!("cell"), json!("odd")], Served),
        ("/settings/classes/0/dedup_window", odd(), Served),
        ("/settings/family_info", vec![json!(null), json!({}), json!("x")], Served),
        ("/settings/family_info/class_fresh", vec![json!([HUGE, 1]), json!([-1]), json!([])], Served),
        ("/settings/family_info/cleared_within", odd(), Served),
        ("/settings/family_info/purge_slack", odd(), Served),
        (
            "/settings/family_info/count_by_zone",
            vec![
                json!(null),
                json!([]),
                json!([1]),
                json!([4_000_000_000u32, 4_000_000_000u32]),
                json!([HUGE, -1, "x"]),
            ],
            Served,
        ),
        ("/settings/family_info/one_flow_kb_per_s", any(&[0.0, -1.0, 1e-300, HUGE]), Served),
        ("/settings/family_info/mid_kind", odd(), Answered),
        ("/settings/family_info/parent_ramp", odd(), Served),
        ("/settings/kinds", vec![json!(null), json!([])], Refused("kinds")),
        ("/settings/zones", vec![json!(null), json!([])], Served),
        ("/settings/zone", vec![json!(null), json!(-1), json!(0.5), json!(2), json!(HUGE)], Refused("zone")),
        ("/settings/tick", any(&[6e6, HUGE]), Refused("tick")),
        ("/settings/tick", vec![json!(null), json!(0), json!(-1)], Served),
        ("/settings/limits", vec![json!(null), json!("x")], Served),
        ("/settings/limits/connect_timeout", odd(), Served),
        ("/settings/limits/keepalive", odd(), Served),
        ("/settings/limits/most_tries", odd(), Served),
        ("/settings/limits/streams_per_conn", odd(), Served),
        ("/settings/limits/max_open", odd(), Served),
        ("/settings/limits/max_retry_after", odd(), Served),
        ("/settings/report", vec![json!(null), json!({"columns": [1, "x1", "x0", "cpu", "cpu"]})], Served),
        ("/settings/rules", vec![json!(null), json!(7)], Served),
        ("/settings/rules/cold", odd(), Answered),
        ("/settings/rules/cold_from", odd(), Answered),
        ("/settings/rules/fall", odd(), Answered),
        ("/settings/rules/fall_multiple", odd(), Answered),
        ("/settings/rules/answer_slack", odd(), Served),
        ("/settings/rules/drain_grace", odd(), Served),
        ("/limits/sockets", vec![json!(0), json!(-1), json!("x")], Refused("sockets")),
        ("/limits/sockets", any(&[1.0, 4.0, 64.5, HUGE]), Served),
        ("/limits/memory_mb", vec![json!(0), json!(-1), json!(0.5), json!("x")], Refused("memory_mb")),
        ("/limits/memory_mb", any(&[1.0, 1e15, HUGE]), Served),
        ("/limits", vec![json!(null)], Served),
    ]
}

/// A configuration with another value at a path.
fn with(json: &str, path: &str, value: &Value) -> String {
    let mut all: Value = serde_json::from_str(json).unwrap();
    let (table, key) = path.rsplit_once('/').unwrap();
    let place = all.pointer_mut(table).unwrap();
    match place {
        Value::Array(a) => a[key.parse::<usize>().unwrap()] = value.clone(),
        Value::Object(o) if value.is_null() => drop(o.remove(key)),
        place => place[key] = value.clone(),
    }
    all.to_string()
}

/// Two requests, one of them after a purge and a list with times that cannot be: each has its one answer.
async fn answers(w: &Testbed, name: &str) -> Vec<Option<String>> {
    let mut client = Client::connect(w.front).await;
    let (mut got, at) = (Vec::new(), w.caches[0].addr);
    for id in [1, 2] {
        let fields = [
            ("ttl", if w.node.longest_deadline() < 2_000_000 { "1" } else { "1500" }),
            ("dedupe", "k"),
            ("heap", "412.5"),
        ];
        client.send(&request(id, name, &fields)).await;
        let late = async { (sleep_until(now() + 4_000_000).await, None).1 };
        let (of, word, _) = client.answer().or(late).await.expect("no final answer");
        assert_eq!(of, id);
        got.push(word);
        if id == 1 {
            w.publish_event(r#""recall":{"item":"7f3a9c21e0b4d655","issued":18446744073709551615}"#).await;
            let servers = server_entry("s-0", at, "std", "active", u64::MAX);
            w.publish_event(&format!(r#""roster":{{"version":2,"full":false,"servers":[{servers}]}}"#)).await;
        }
    }
    assert_eq!(w.node.plan(|p, _| p.counters.get(Counter::Panics)), 0);
    got
}

#[test]
fn unusual_settings_are_refused_by_name_or_served() {
    let nowhere = ([127, 0, 0, 1], 9).into();
    let usual = configuration(nowhere, nowhere, &[]);
    for (path, values, comes) in cases() {
        for value in values {
            let case = format!("{path}: {value}");
            let read = config::parse(&with(&usual, path, &value));
            if let Refused(field) = comes {
                let line = read.err().unwrap_or_else(|| panic!("{case}: not refused"));
                assert!(line.contains(&format!("'{field}'")) && line.lines().count() == 1, "{case}: {line}");
                continue;
            }
            let name = read.unwrap_or_else(|e| panic!("{case}: {e}")).names.classes[0].clone();
            run(|ex| async move {
                println!("{case}");
                let w = start_testbed_with_config(ex, 2, |json| with(&json, path, &value)).await;
                w.set_behavior(served());
                let got = answers(&w, &name).await;
                assert!(matches!(comes, Answered) || got[0].is_none(), "{case}: {got:?}");
            });
        }
    }
}

/// With no aim told, or hardly one, a request that may not be repeated was looked at again each few microseconds.
#[test]
fn a_silent_cache_is_waited_for_without_spinning() {
    for aim in [json!(null), json!(0), json!(1)] {
        run(|ex| async move {
            let w =
                start_testbed_with_config(ex, 1, |json| with(&json, "/settings/classes/1/aim", &aim)).await;
            let mut client = Client::connect(w.front).await;
            let used = || {
                let t = clock_gettime(ClockId::ThreadCPUTime);
                t.tv_sec * 1_000_000 + t.tv_nsec / 1_000
            };
            client.send(&request(1, "booking", &[("ttl", "1000")])).await;
            wait_until("the attempt", || !w.received_requests().is_empty()).await;
            let before = used();
            client.answer().await.unwrap();
            let spent = used() - before;
            assert!(spent < 300_000, "aim {aim}: {spent} us of processor time for a second of waiting");
        });
    }
}

/// A window that has no end was past the end of time, where the clock begins anew.
#[test]
fn a_keyed_request_is_repeated_within_a_window_of_any_length() {
    run(|ex| async move {
        let w = start_testbed_with_config(ex, 3, |json| {
            let json = with(&json, "/settings/classes/0/dedup_window", &json!(HUGE));
            with(&json, "/settings/classes/0/effect", &json!("dedup"))
        })
        .await;
        w.set_behavior(CacheBehavior::Close);
        let mut client = Client::connect(w.front).await;
        client.send(&request(1, "media", &[("dedupe", "k")])).await;
        assert!(client.answer().await.is_some());
        assert!(w.received_requests().len() > 1, "{:?}", w.received_requests());
        assert_eq!(w.node.plan(|p, _| p.counters.get(Counter::Panics)), 0);
    });
}

/// With no time told, a connection was closed under the probe that it was opened for.
#[test]
fn a_connection_is_held_for_its_first_use_however_short_the_settings_have_it() {
    run(|ex| async move {
        let w = start_testbed_with_config(ex, 1, |json| with(&json, "/settings/limits/keepalive", &json!(0)))
            .await;
        let probed = w.node.pool.probe(config::address_for_id("s-0"), "gauges").await;

        assert_eq!(probed.map(|(how, _)| how), Some(Outcome::Error), "the cache says that it is not well");
    });
}
