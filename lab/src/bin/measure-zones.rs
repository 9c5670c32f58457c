//! Measures zones (`make measure-zones`). Each scenario is run twice from the same seed: with zones that all
//! proxies take out of use together, and with each proxy on its own. The last line of the output is JSON. The
//! program exits with 1 if a rule was violated.
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use threadward_lab::net::NetworkConditions;
use threadward_lab::regions::{Day, FailureMode, Record, Regions, S, T0};

/// Returns the scenarios.
fn scenarios() -> Vec<Day> {
    let day = |name, seed, hubs: u16| {
        let locations = 12 - hubs;
        Day { locations, members: ((2000 - 40 * hubs) / locations, 40), ..Day::new(name, seed, hubs) }
    };
    let with_parent_failure = |d: Day, failure_mode| {
        let z = d.parent(0);
        d.with(z, failure_mode, 6 * S, 16 * S)
    };
    let mut twice = day("hub killed, falls again at step two", 7, 3);
    twice.duration = 62 * S;
    let lossy = NetworkConditions { loss: 0.2, ..NetworkConditions::default() };
    let both = day("two hubs killed, the decider lost", 13, 4);
    let (a, b) = (both.parent(0), both.parent(2));
    let quiet = day("one proxy cut, a liar, one bad cache", 10, 2);
    vec![
        with_parent_failure(day("hub killed", 1, 3), FailureMode::Kill),
        day("location killed", 2, 2).with(4, FailureMode::Kill, 6 * S, 16 * S),
        with_parent_failure(day("hub fails fast", 3, 2), FailureMode::FailFast),
        Day { direct: false, ..day("location fails fast, none takes", 4, 2) }.with(
            2,
            FailureMode::FailFast,
            6 * S,
            16 * S,
        ),
        with_parent_failure(day("hub slow", 5, 3), FailureMode::Slow),
        with_parent_failure(day("hub cut from half", 6, 2), FailureMode::CutHalf),
        with_parent_failure(twice, FailureMode::KillTwice),
        day("location drips", 8, 2).with(5, FailureMode::Drip, 6 * S, 22 * S),
        with_parent_failure(
            Day { conditions: lossy, ..day("hub and messages lose a fifth", 9, 2) },
            FailureMode::Lossy,
        ),
        Day { cut: Some((17, T0 + 6 * S, T0 + 16 * S)), liar: Some(23), ..quiet }.with(
            3,
            FailureMode::OneBad,
            6 * S,
            20 * S,
        ),
        with_parent_failure(
            Day { capacity_factors: (3.0, 1.4), ..day("hub killed, little room", 11, 2) },
            FailureMode::Kill,
        ),
        Day { direct: false, ..day("location killed, none takes", 12, 2) }.with(
            6,
            FailureMode::Kill,
            6 * S,
            16 * S,
        ),
        Day { decider_lost: Some(T0 + 6 * S), ..both }.with(a, FailureMode::Kill, 6 * S, 16 * S).with(
            b,
            FailureMode::Kill,
            6 * S,
            16 * S,
        ),
    ]
}

fn p99(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get((all.len() * 99).div_ceil(100).saturating_sub(1)).copied().unwrap_or(0.0)
}

fn main() -> ExitCode {
    let only = std::env::args().nth(1);
    let days: Vec<Day> =
        scenarios().into_iter().filter(|d| only.as_ref().is_none_or(|o| d.name.contains(o))).collect();
    let next = AtomicUsize::new(0);
    let done: Mutex<Vec<(usize, Record)>> = Mutex::new(Vec::new());
    std::thread::scope(|s| {
        for _ in 0..8 {
            s.spawn(|| loop {
                let k = next.fetch_add(1, Ordering::Relaxed);
                let Some(day) = days.get(k / 2) else { return };
                let r = Regions::new(Day { zones: k.is_multiple_of(2), ..day.clone() }).run();
                if let Ok(mut d) = done.lock() {
                    d.push((k, r));
                }
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_default();
    done.sort_by_key(|(k, _)| *k);
    let (fleet, alone): (Vec<_>, Vec<_>) = done.into_iter().partition(|(k, _)| k.is_multiple_of(2));
    let (fleet, alone): (Vec<Record>, Vec<Record>) =
        (fleet.into_iter().map(|(_, r)| r).collect(), alone.into_iter().map(|(_, r)| r).collect());
    for (f, a) in fleet.iter().zip(&alone) {
        println!(
            "{:38} worth in its hours {:.3} against {:.3}, all day {:.3} against {:.3}; refused {} against {}, failed {} against {}; {:.2} attempts against {:.2}; {:.0} bytes",
            f.name,
            f.affected_value_served / f.affected_value_requested.max(1e-9), a.affected_value_served / a.affected_value_requested.max(1e-9),
            f.value_served / f.value_requested, a.value_served / a.value_requested,
            f.refused, a.refused, f.failed, a.failed,
            f.attempts as f64 / f.requests as f64, a.attempts as f64 / a.requests as f64, f.bytes_per_proxy_s,
        );
        println!(
            "    spread {:?} decide {:?} moves {:?} false {} returns {:.2?}",
            f.leave_spreads, f.decision_delays, f.leaves_per_outage, f.false_leaves, f.return_ratios
        );
        if only.is_some() {
            f.log.iter().for_each(|l| println!("    {l}"));
        }
        for r in [f, a] {
            let all =
                [("rule", &r.rule_violations), ("cold", &r.cold_overloads), ("guard", &r.guard_violations)];
            for (what, of) in all.iter().filter(|(_, of)| !of.is_empty()) {
                println!("    {what} broken {} times: {:?}", of.len(), &of[..of.len().min(3)]);
            }
        }
    }
    // Every scenario with an outage has the same weight: the value served of the affected requests, until the
    // zone is warm again.
    let ratios: Vec<f64> = fleet
        .iter()
        .zip(&alone)
        .filter(|(f, _)| f.affected_value_requested > 0.0)
        .map(|(f, a)| f.affected_value_served / a.affected_value_served)
        .collect();
    let worth = ratios.iter().sum::<f64>() / ratios.len().max(1) as f64;
    let spread = p99(fleet.iter().flat_map(|r| r.leave_spreads.iter().map(|s| *s as f64 / 1e3)).collect());
    let slow = |h: &FailureMode| *h == FailureMode::Slow;
    let decide = |which: bool| {
        let of = fleet.iter().flat_map(|r| &r.decision_delays).filter(|(h, _)| slow(h) == which);
        p99(of.map(|(_, t)| *t as f64 / 1e6).collect())
    };
    let moves = fleet.iter().flat_map(|r| &r.leaves_per_outage).max().copied().unwrap_or(0);
    let false_leaves: u32 = fleet.iter().map(|r| r.false_leaves).sum();
    let returns = fleet.iter().flat_map(|r| &r.return_ratios).fold(0.0f64, |a, b| a.max(*b));
    let cold: usize = fleet.iter().map(|r| r.cold_overloads.len()).sum();
    let guard: usize = fleet.iter().map(|r| r.guard_violations.len()).sum();
    let broken: usize = fleet.iter().map(|r| r.rule_violations.len()).sum();
    let bytes = fleet.iter().fold(0.0f64, |a, r| a.max(r.bytes_per_proxy_s));
    let figures = serde_json::json!({
        "leave_spread_ms_p99": spread.round(),
        "decide_s_p99": (decide(false) * 100.0).round() / 100.0,
        "decide_slow_s_p99": (decide(true) * 100.0).round() / 100.0,
        "worth_fleet_over_alone": (worth * 1000.0).round() / 1000.0,
        "false_leaves": false_leaves,
        "moves_per_outage": moves,
        "return_over_least": (returns * 100.0).round() / 100.0,
        "cold_overspent": cold,
        "guard_broken": guard,
        "bytes_per_proxy_s": bytes.round(),
        "rules_broken": broken,
    });
    println!("{figures}");
    ExitCode::from(u8::from(broken + guard + cold > 0 || false_leaves > 0))
}
