//! Measures the division of budgets by leases (`make measure-budgets`). The last line of the output is JSON.
//! The program exits with 1 if all proxies together could use more than the whole.
//!
//! For comparison it shows two simple divisions: an even part among the proxies that a proxy has heard from,
//! and an even part among all proxies in the settings file.
use std::process::ExitCode;
use threadward_budgets::Settings;
use threadward_lab::budget_simulation::{BudgetSimulation, MS, S};
use threadward_lab::event_queue::EventQueue;
use threadward_lab::net::{Net, NetworkConditions};

/// Lease time.
const LEASE: u64 = 1200 * MS;
/// Units of the measured budget: ten for each of 300 proxies.
const TOTAL_UNITS: u32 = 3000;
/// Number of proxies.
const PROXIES: u16 = 300;

fn settings(proxies: u16) -> Settings {
    Settings { index: 0, proxies, voters: vec![0, 1, 2, 3, 4], totals: vec![TOTAL_UNITS, 1], lease: LEASE }
}

/// Returns a fleet in which all proxies want everything, started within a second and then run until it has
/// settled.
fn settled(seed: u64, conditions: NetworkConditions) -> BudgetSimulation {
    let mut w = BudgetSimulation::new(seed, settings(PROXIES), conditions);
    (0..usize::from(PROXIES)).for_each(|i| {
        w.start(i);
        w.run(3 * MS);
    });
    w.run(8 * S);
    w
}

/// Runs for ten seconds and returns the mean share of the budget that could be used.
fn mean_use(w: &mut BudgetSimulation) -> f64 {
    let mut sum = 0.0;
    for _ in 0..100 {
        w.run(100 * MS);
        sum += f64::from(w.sum(0)) / f64::from(TOTAL_UNITS);
    }
    sum / 100.0
}

/// Runs until a condition holds, which is checked every 20 ms, for at most about 30 s. Returns the seconds
/// passed.
fn until(w: &mut BudgetSimulation, mut holds: impl FnMut(&mut BudgetSimulation) -> bool) -> f64 {
    let from = w.now();
    while !holds(w) && w.now() < from + 30 * S {
        w.run(20 * MS);
    }
    (w.now() - from) as f64 / S as f64
}

/// Simulates the simple division among the proxies heard from: 30 proxies send a heartbeat every 0.3 s, and
/// each uses an even part among those that it heard from within 2 s. Returns the largest use of all together
/// as a multiple of the whole: while they start within a second, and while the fleet is cut in half.
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
            // The proxy's own heartbeat: sent to all others, and scheduled again.
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
    let mut record_overuse = |w: &BudgetSimulation| {
        over = over.max(w.max_sums[0].saturating_sub(TOTAL_UNITS)).max(w.max_sums[1].saturating_sub(1))
    };

    // 300 proxies that all want everything.
    let mut w = settled(1, calm);
    let (bytes, from) = (w.bytes(), w.now());
    let share_used = mean_use(&mut w);
    let bytes_s = (w.bytes() - bytes) as f64 / PROXIES as f64 / ((w.now() - from) as f64 / S as f64);
    // 30 proxies are killed without notice; then 30 start in their place.
    (200..230).for_each(|i| w.kill(i));
    let leave_s = until(&mut w, |w| w.sum(0) * 100 >= TOTAL_UNITS * 98);
    (200..230).for_each(|i| w.start(i));
    let join_s = until(&mut w, |w| (200..230).all(|i| w.share(i, 0) >= 8));
    // The coordinator is killed.
    let coordinator = w.coordinators().first().copied().unwrap_or(0);
    w.kill(coordinator);
    let from = w.now();
    let mut least = 1.0f64;
    let _ = until(&mut w, |w| {
        let sum = w.sum(0);
        least = least.min(f64::from(sum) / f64::from(TOTAL_UNITS));
        let even = (0..usize::from(PROXIES)).all(|i| w.share(i, 0) <= 20);
        least < 0.5 && sum * 100 >= TOTAL_UNITS * 95 && even
    });
    let grantor_s = (w.now() - from) as f64 / S as f64;
    record_overuse(&w);
    println!("300 proxies: {:.3} of the whole in use, {bytes_s:.0} bytes a proxy and second", share_used);
    println!("re-divided in {leave_s:.2} s after 30 left, {join_s:.2} s after 30 came, {grantor_s:.2} s after the grantor died");
    println!("the least in use meanwhile: {least:.2} of the whole");

    // Only a third of the proxies want the budget: an even part among all in the file leaves the rest unused.
    let mut w = settled(2, calm);
    (0..usize::from(PROXIES)).filter(|i| i % 3 > 0).for_each(|i| w.set_proxy_demand(i, 0, 0));
    w.run(5 * S);
    let third_wants = mean_use(&mut w);
    record_overuse(&w);

    // The fleet is cut in half and the links are restored; then a bad network, with 40 of 300 proxies paused
    // for two lease times.
    let mut w = settled(3, calm);
    let (one, other): (Vec<usize>, Vec<usize>) = (0..usize::from(PROXIES)).partition(|i| i % 2 == 0);
    w.net.cut_groups(&one, &other);
    let in_cut = mean_use(&mut w);
    w.net.restore_links();
    w.run(5 * S);
    record_overuse(&w);
    let mut w = settled(
        4,
        NetworkConditions { loss: 0.2, duplicated: 0.1, min_delay: MS, max_delay: 200 * MS, slow: 0.02 },
    );
    (100..140).for_each(|i| w.pause(i, 2 * LEASE));
    let in_bad_network = mean_use(&mut w);
    record_overuse(&w);
    println!("a third wants it: {third_wants:.3} used (a part over all in the file: 0.333)");
    let (plain_start, plain_cut) = by_whom_one_hears();
    println!(
        "in a cut: {in_cut:.3} used, {over} units over (by whom one hears: {plain_cut:.2} times the whole)"
    );
    println!("by whom one hears, as 30 start within a second: {plain_start:.2} times the whole");
    println!("a fifth lost, a tenth doubled, up to 200 ms late: {in_bad_network:.3} used");

    let figures = [
        ("overshoot_units", f64::from(over)),
        ("share_used", share_used),
        ("share_used_third_wants", third_wants),
        ("share_used_in_cut", in_cut),
        ("share_used_bad_network", in_bad_network),
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
