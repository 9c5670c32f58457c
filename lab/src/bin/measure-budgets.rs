//! Measures budgets divided by leases: `make measure-budgets`. It owns the scenarios and the figures' names; the last line
//! of its output is JSON. It exits with 1 where all together could use more than the whole. Beside the leases stand the
//! two plain ways: a part by whom one hears, and a part of the whole over all in the file.
use std::process::ExitCode;
use threadward_budgets::Settings;
use threadward_lab::budget_simulation::{BudgetSimulation, MS, S};
use threadward_lab::event_queue::EventQueue;
use threadward_lab::net::{Net, NetworkConditions};

const LEASE: u64 = 1200 * MS;
/// Units of the measured whole: ten for each of 300.
const WHOLE: u32 = 3000;
const FLEET: u16 = 300;

fn settings(proxies: u16) -> Settings {
    Settings { index: 0, proxies, voters: vec![0, 1, 2, 3, 4], totals: vec![WHOLE, 1], lease: LEASE }
}

/// All want everything; started within a second, and settled.
fn settled(seed: u64, weather: NetworkConditions) -> BudgetSimulation {
    let mut w = BudgetSimulation::new(seed, settings(FLEET), weather);
    (0..usize::from(FLEET)).for_each(|i| {
        w.start(i);
        w.run(3 * MS);
    });
    w.run(8 * S);
    w
}

/// The mean part of the whole in use over ten seconds.
fn used(w: &mut BudgetSimulation) -> f64 {
    let mut sum = 0.0;
    for _ in 0..100 {
        w.run(100 * MS);
        sum += f64::from(w.sum(0)) / f64::from(WHOLE);
    }
    sum / 100.0
}

/// Seconds until a condition holds that is looked at every 20 ms; `None`: not within 30 s.
fn until(w: &mut BudgetSimulation, mut holds: impl FnMut(&mut BudgetSimulation) -> bool) -> f64 {
    let from = w.now();
    while !holds(w) && w.now() < from + 30 * S {
        w.run(20 * MS);
    }
    (w.now() - from) as f64 / S as f64
}

/// The plain way, a part by whom one hears: 30 proxies say each 0.3 s that they live, and each uses the whole over
/// those that it heard of within 2 s. The most that all used at once, over the whole: as they start within a second,
/// and in a cut through the middle.
fn by_whom_one_hears() -> (f64, f64) {
    const N: usize = 30;
    let mut net = Net::new(5, NetworkConditions::default());
    let mut queue: EventQueue<(usize, usize)> = EventQueue::new(S);
    let mut heard = vec![vec![0; N]; N];
    let (mut at_start, mut in_cut) = (0.0f64, 0.0f64);
    (0..N).for_each(|i| queue.schedule(S + i as u64 * S / N as u64, (i, i)));
    while let Some((from, to)) = queue.pop(20 * S) {
        let now = queue.now;
        heard[to][from] = now;
        if from == to {
            // Its own word: to all, and again.
            queue.schedule(now + 300 * MS, (from, from));
            for k in (0..N).filter(|k| *k != from) {
                net.transmit(now, from, k, 16).into_iter().for_each(|at| queue.schedule(at, (from, k)));
            }
        }
        if now > 10 * S && in_cut == 0.0 {
            let (one, other): (Vec<usize>, Vec<usize>) = (0..N).partition(|i| i % 2 == 0);
            net.cut_groups(&one, &other);
        }
        let fresh = |h: &&u64| **h > 0 && now < **h + 2 * S;
        let parts = heard.iter().map(|h| h.iter().filter(fresh).count()).filter(|n| *n > 0);
        let sum: f64 = parts.map(|n| 1.0 / n as f64).sum();
        let most = if now > 10 * S { &mut in_cut } else { &mut at_start };
        *most = most.max(sum);
    }
    (at_start, in_cut)
}

fn main() -> ExitCode {
    let calm = NetworkConditions::default();
    let mut over = 0u32;
    let mut see = |w: &BudgetSimulation| {
        over = over.max(w.max_sums[0].saturating_sub(WHOLE)).max(w.max_sums[1].saturating_sub(1))
    };

    // 300, all wanting everything.
    let mut w = settled(1, calm);
    let (bytes, from) = (w.bytes(), w.now());
    let share_used = used(&mut w);
    let bytes_s = (w.bytes() - bytes) as f64 / FLEET as f64 / ((w.now() - from) as f64 / S as f64);
    // 30 leave without a word; 30 start in their places.
    (200..230).for_each(|i| w.kill(i));
    let leave_s = until(&mut w, |w| w.sum(0) * 100 >= WHOLE * 98);
    (200..230).for_each(|i| w.start(i));
    let join_s = until(&mut w, |w| (200..230).all(|i| w.share(i, 0) >= 8));
    // The grantor dies.
    let grantor = w.coordinators().first().copied().unwrap_or(0);
    w.kill(grantor);
    let from = w.now();
    let mut least = 1.0f64;
    let _ = until(&mut w, |w| {
        let sum = w.sum(0);
        least = least.min(f64::from(sum) / f64::from(WHOLE));
        let even = (0..usize::from(FLEET)).all(|i| w.share(i, 0) <= 20);
        least < 0.5 && sum * 100 >= WHOLE * 95 && even
    });
    let grantor_s = (w.now() - from) as f64 / S as f64;
    see(&w);
    println!("300 proxies: {:.3} of the whole in use, {bytes_s:.0} bytes a proxy and second", share_used);
    println!("re-divided in {leave_s:.2} s after 30 left, {join_s:.2} s after 30 came, {grantor_s:.2} s after the grantor died");
    println!("the least in use meanwhile: {least:.2} of the whole");

    // Half of the demand: the plain part over all in the file leaves the rest unused.
    let mut w = settled(2, calm);
    (0..usize::from(FLEET)).filter(|i| i % 3 > 0).for_each(|i| w.set_proxy_demand(i, 0, 0));
    w.run(5 * S);
    let third_wants = used(&mut w);
    see(&w);

    // A cut through the middle, healed; a bad network; 40 of 300 paused for two leases.
    let mut w = settled(3, calm);
    let (one, other): (Vec<usize>, Vec<usize>) = (0..usize::from(FLEET)).partition(|i| i % 2 == 0);
    w.net.cut_groups(&one, &other);
    let in_cut = used(&mut w);
    w.net.restore_links();
    w.run(5 * S);
    see(&w);
    let mut w = settled(
        4,
        NetworkConditions { loss: 0.2, duplicated: 0.1, min_delay: MS, max_delay: 200 * MS, slow: 0.02 },
    );
    (100..140).for_each(|i| w.pause(i, 2 * LEASE));
    let in_storm = used(&mut w);
    see(&w);
    println!("a third wants it: {third_wants:.3} used (a part over all in the file: 0.333)");
    let (plain_start, plain_cut) = by_whom_one_hears();
    println!(
        "in a cut: {in_cut:.3} used, {over} units over (by whom one hears: {plain_cut:.2} times the whole)"
    );
    println!("by whom one hears, as 30 start within a second: {plain_start:.2} times the whole");
    println!("a fifth lost, a tenth doubled, up to 200 ms late: {in_storm:.3} used");

    let figures = [
        ("overshoot_units", f64::from(over)),
        ("share_used", share_used),
        ("share_used_third_wants", third_wants),
        ("share_used_in_cut", in_cut),
        ("share_used_bad_network", in_storm),
        ("redivide_leave_s", leave_s),
        ("redivide_join_s", join_s),
        ("redivide_grantor_s", grantor_s),
        ("bytes_per_proxy_s", bytes_s),
        ("least_used_without_grantor", least),
        ("plain_by_whom_one_hears_in_cut", plain_cut),
        ("plain_by_whom_one_hears_at_start", plain_start),
    ];
    let json: serde_json::Map<String, serde_json::Value> =
        figures.iter().map(|(k, v)| ((*k).into(), ((v * 1000.0).round() / 1000.0).into())).collect();
    println!("{}", serde_json::Value::Object(json));
    if over > 0 {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
