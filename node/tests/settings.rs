//! Unusual and nonsensical settings: each is either refused in one line that names the field, or a node with
//! it answers requests, without a panic and without a busy loop.
mod common;
use common::*;
use futures_lite::FutureExt;
use rustix::time::{clock_gettime, ClockId};
use serde_json::{json, Value};
use threadward::config;
use threadward::net::{now, sleep_until};
use threadward_core::{Counter, Outcome};

/// The expected result of a setting: the start is refused with an error that names this field, requests get
/// the cache's answer, or they get some final answer.
#[derive(Clone, Copy)]
enum ExpectedResult {
    Refused(&'static str),
    Served,
    Answered,
}
use ExpectedResult::{Answered, Refused, Served};

const HUGE: f64 = 1e300;

/// Returns paths into the configuration, the values to put there, where null removes the key, and the
/// expected result.
fn cases() -> Vec<(&'static str, Vec<Value>, ExpectedResult)> {
    let numbers = |all: &[f64]| all.iter().map(|x| json!(x)).collect::<Vec<Value>>();
    let odd_values = || [numbers(&[0.0, -1.0, 1.0, HUGE]), vec![json!(null), json!("x")]].concat();
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
        ("/settings/classes/0/hard_limit", numbers(&[1.0, 500.0]), Answered),
        ("/settings/classes/0/hard_limit", numbers(&[HUGE]), Served),
        ("/settings/classes/0/aim", odd_values(), Served),
        ("/settings/classes/0/aim_stretch", odd_values(), Served),
        ("/settings/classes/0/importance", odd_values(), Served),
        (
            "/settings/classes/0/effect",
            vec![json!(null), json!("dedup"), json!("fragile"), json!("odd"), json!(7)],
            Served,
        ),
        ("/settings/classes/0/group", vec![json!(null), json!("cell"), json!("odd")], Served),
        ("/settings/classes/0/dedup_window", odd_values(), Served),
        ("/settings/family_info", vec![json!(null), json!({}), json!("x")], Served),
        ("/settings/family_info/class_fresh", vec![json!([HUGE, 1]), json!([-1]), json!([])], Served),
        ("/settings/family_info/cleared_within", odd_values(), Served),
        ("/settings/family_info/purge_slack", odd_values(), Served),
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
        ("/settings/family_info/one_flow_kb_per_s", numbers(&[0.0, -1.0, 1e-300, HUGE]), Served),
        ("/settings/family_info/mid_kind", odd_values(), Answered),
        ("/settings/family_info/parent_ramp", odd_values(), Served),
        ("/settings/kinds", vec![json!(null), json!([])], Refused("kinds")),
        ("/settings/zones", vec![json!(null), json!([])], Served),
        ("/settings/zone", vec![json!(null), json!(-1), json!(0.5), json!(2), json!(HUGE)], Refused("zone")),
        ("/settings/tick", numbers(&[6e6, HUGE]), Refused("tick")),
        ("/settings/tick", vec![json!(null), json!(0), json!(-1)], Served),
        ("/settings/limits", vec![json!(null), json!("x")], Served),
        ("/settings/limits/connect_timeout", odd_values(), Served),
        ("/settings/limits/keepalive", odd_values(), Served),
        ("/settings/limits/most_tries", odd_values(), Served),
        ("/settings/limits/streams_per_conn", odd_values(), Served),
        ("/settings/limits/max_open", odd_values(), Served),
        ("/settings/limits/max_retry_after", odd_values(), Served),
        ("/settings/report", vec![json!(null), json!({"columns": [1, "x1", "x0", "cpu", "cpu"]})], Served),
        ("/settings/rules", vec![json!(null), json!(7)], Served),
        ("/settings/rules/cold", odd_values(), Answered),
        ("/settings/rules/cold_from", odd_values(), Answered),
        ("/settings/rules/fall", odd_values(), Answered),
        ("/settings/rules/fall_multiple", odd_values(), Answered),
        ("/settings/rules/answer_slack", odd_values(), Served),
        ("/settings/rules/drain_grace", odd_values(), Served),
        ("/limits/sockets", vec![json!(0), json!(-1), json!("x")], Refused("sockets")),
        ("/limits/sockets", numbers(&[1.0, 4.0, 64.5, HUGE]), Served),
        ("/limits/memory_mb", vec![json!(0), json!(-1), json!(0.5), json!("x")], Refused("memory_mb")),
        ("/limits/memory_mb", numbers(&[1.0, 1e15, HUGE]), Served),
        ("/limits", vec![json!(null)], Served),
    ]
}

/// Returns a configuration with another value at a path; null removes the key.
fn with_value(json: &str, path: &str, value: &Value) -> String {
    let mut all: Value = serde_json::from_str(json).unwrap();
    let (table, key) = path.rsplit_once('/').unwrap();
    let target = all.pointer_mut(table).unwrap();
    match target {
        Value::Array(a) => a[key.parse::<usize>().unwrap()] = value.clone(),
        Value::Object(o) if value.is_null() => drop(o.remove(key)),
        target => target[key] = value.clone(),
    }
    all.to_string()
}

/// Sends two requests, the second after a purge and a list of servers with impossible times, and returns the
/// refusal of each, if any. Each has to get its final answer, and no task may panic.
async fn request_twice(testbed: &Testbed, name: &str) -> Vec<Option<String>> {
    let mut client = Client::connect(testbed.front).await;
    let (mut answers, at) = (Vec::new(), testbed.caches[0].addr);
    for id in [1, 2] {
        let fields = [
            ("ttl", if testbed.node.longest_deadline() < 2_000_000 { "1" } else { "1500" }),
            ("dedupe", "k"),
            ("heap", "412.5"),
        ];
        client.send(&request(id, name, &fields)).await;
        let timeout = async { (sleep_until(now() + 4_000_000).await, None).1 };
        let (of, word, _) = client.answer().or(timeout).await.expect("no final answer");
        assert_eq!(of, id);
        answers.push(word);
        if id == 1 {
            testbed
                .publish_event(r#""recall":{"item":"7f3a9c21e0b4d655","issued":18446744073709551615}"#)
                .await;
            let servers = server_entry("s-0", at, "std", "active", u64::MAX);
            testbed
                .publish_event(&format!(r#""roster":{{"version":2,"full":false,"servers":[{servers}]}}"#))
                .await;
        }
    }
    assert_eq!(testbed.node.plan(|p, _| p.counters.get(Counter::Panics)), 0);
    answers
}

#[test]
fn unusual_settings_are_refused_by_name_or_served() {
    let unused_addr = ([127, 0, 0, 1], 9).into();
    let valid_config = configuration(unused_addr, unused_addr, &[]);
    for (path, values, expected) in cases() {
        for value in values {
            let case = format!("{path}: {value}");
            let parsed = config::parse(&with_value(&valid_config, path, &value));
            if let Refused(field) = expected {
                let line = parsed.err().unwrap_or_else(|| panic!("{case}: not refused"));
                assert!(line.contains(&format!("'{field}'")) && line.lines().count() == 1, "{case}: {line}");
                continue;
            }
            let name = parsed.unwrap_or_else(|e| panic!("{case}: {e}")).names.classes[0].clone();
            run(|ex| async move {
                println!("{case}");
                let testbed = start_testbed_with_config(ex, 2, |json| with_value(&json, path, &value)).await;
                testbed.set_behavior(served());
                let answers = request_twice(&testbed, &name).await;
                assert!(matches!(expected, Answered) || answers[0].is_none(), "{case}: {answers:?}");
            });
        }
    }
}

/// With no `aim` given, or one near zero, the planner looked at a request that may not be repeated again
/// every few microseconds.
#[test]
fn waiting_for_a_silent_cache_uses_little_processor_time() {
    for aim in [json!(null), json!(0), json!(1)] {
        run(|ex| async move {
            let testbed =
                start_testbed_with_config(ex, 1, |json| with_value(&json, "/settings/classes/1/aim", &aim))
                    .await;
            let mut client = Client::connect(testbed.front).await;
            let thread_cpu_time = || {
                let t = clock_gettime(ClockId::ThreadCPUTime);
                t.tv_sec * 1_000_000 + t.tv_nsec / 1_000
            };
            client.send(&request(1, "booking", &[("ttl", "1000")])).await;
            wait_until("the attempt", || !testbed.received_requests().is_empty()).await;
            let before = thread_cpu_time();
            client.answer().await.unwrap();
            let spent = thread_cpu_time() - before;
            assert!(spent < 300_000, "aim {aim}: {spent} us of processor time for a second of waiting");
        });
    }
}

/// A deduplication window that is huge overflowed the clock: its end lay before its start.
#[test]
fn a_keyed_request_is_repeated_within_a_window_of_any_length() {
    run(|ex| async move {
        let testbed = start_testbed_with_config(ex, 3, |json| {
            let json = with_value(&json, "/settings/classes/0/dedup_window", &json!(HUGE));
            with_value(&json, "/settings/classes/0/effect", &json!("dedup"))
        })
        .await;
        testbed.set_behavior(CacheBehavior::Close);
        let mut client = Client::connect(testbed.front).await;
        client.send(&request(1, "media", &[("dedupe", "k")])).await;
        assert!(client.answer().await.is_some());
        assert!(testbed.received_requests().len() > 1, "{:?}", testbed.received_requests());
        assert_eq!(testbed.node.plan(|p, _| p.counters.get(Counter::Panics)), 0);
    });
}

/// With a `keepalive` of zero, a connection was closed before the probe for which it was opened had ended.
#[test]
fn a_connection_is_held_for_its_first_use_however_short_the_settings_have_it() {
    run(|ex| async move {
        let testbed = start_testbed_with_config(ex, 1, |json| {
            with_value(&json, "/settings/limits/keepalive", &json!(0))
        })
        .await;
        let probed = testbed.node.pool.probe(config::address_for_id("s-0"), "gauges").await;

        assert_eq!(
            probed.map(|(how, _)| how),
            Some(Outcome::Error),
            "the cache reports that it is not healthy"
        );
    });
}
