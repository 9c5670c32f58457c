//! Randomized fault soak: runs real processes of the program on loopback between stand-in clients, cache
//! servers and discovery, injects overlapping faults drawn from a seed, and checks the rules with an oracle
//! (`oracle.rs`).
//!
//! `SEEDS=1,2,3` (or `1..20`), `SECONDS=n` and `PROCESSES=n` set its size; the small form with fixed seeds
//! runs with the other tests. It ends by itself, prints a timeline of every request that broke a rule, and
//! one JSON object last.
mod clients;
#[path = "../common/mod.rs"]
mod common;
mod oracle;
mod proxies;
mod servers;
mod slow_clients;

use common::run;
use oracle::Oracle;
use proxies::Fleet;
use std::rc::Rc;
use threadward::net::{now, sleep_until};
use threadward_core::Micros;

/// The size of a run for which the environment sets none.
const DEFAULT_SEEDS: &str = "11,12";
const DEFAULT_SECONDS: u64 = 6;
const DEFAULT_PROCESSES: usize = 10;
/// The largest size that the environment may ask for.
const MAX_SEEDS: usize = 200;
const MAX_SECONDS: u64 = 120;
const MAX_PROCESSES: usize = 40;

pub const SECOND: Micros = 1_000_000;
pub const MILLISECOND: Micros = 1_000;

/// Sleeps for a duration.
pub async fn pause(duration: Micros) {
    sleep_until(now() + duration).await;
}

/// Returns a random generator for one part of a run. Each part has its own seed, so that the number of draws
/// in one part does not change what another part draws.
pub fn rng_for(seed: u64, seed_part: u64) -> fastrand::Rng {
    fastrand::Rng::with_seed(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ seed_part)
}

/// Returns the seeds to run, from the environment or the default.
fn seeds() -> Vec<u64> {
    let text = std::env::var("SEEDS").unwrap_or_else(|_| DEFAULT_SEEDS.to_owned());
    let all: Vec<u64> = match text.split_once("..") {
        Some((from, to)) => (from.parse().expect("SEEDS")..to.parse().expect("SEEDS")).collect(),
        None => text.split(',').map(|seed| seed.trim().parse().expect("SEEDS")).collect(),
    };
    assert!(!all.is_empty() && all.len() <= MAX_SEEDS, "SEEDS: 1 to {MAX_SEEDS}");
    all
}

/// Reads a number from the environment, with a default, and clamps it to 1 up to `max_value`.
fn env_number(name: &str, default_value: u64, max_value: u64) -> u64 {
    let given = std::env::var(name).ok().map(|text| text.parse().expect(name));
    given.unwrap_or(default_value).clamp(1, max_value)
}

#[test]
fn rules_hold_while_troubles_overlap() {
    let seconds = env_number("SECONDS", DEFAULT_SECONDS, MAX_SECONDS);
    let processes = env_number("PROCESSES", DEFAULT_PROCESSES as u64, MAX_PROCESSES as u64) as usize;
    let seeds = seeds();
    let mut total = oracle::Totals::default();
    for seed in &seeds {
        let oracle = soak(*seed, seconds, processes);
        let seed_totals = oracle.totals();
        for line in oracle.timelines() {
            println!("{line}");
        }
        if seed_totals.violation_count() > 0 {
            println!("again: make measure-soak SEEDS={seed} SECONDS={seconds} PROCESSES={processes}");
        }
        total.add(&seed_totals);
    }
    println!("{}", total.json(processes, &seeds));
    assert_eq!(total.violation_count(), 0, "rules were broken");
    assert!(
        total.requests > 0 && total.answered * 2 > total.requests,
        "half of the requests or fewer were answered"
    );
}

/// Runs one seed to its end and returns the oracle with what it observed.
fn soak(seed: u64, seconds: u64, processes: usize) -> Rc<Oracle> {
    let oracle = Rc::new(Oracle::default());
    let result = oracle.clone();
    run(|executor| async move {
        let environment = servers::Environment::new(executor, oracle.clone(), seed);
        let fleet = Fleet::start(environment.clone(), processes, seed).await;
        oracle::watch_lag(executor, oracle.clone());
        let until = now() + seconds * SECOND;
        environment.inject_faults(executor, seed, until);
        let clients = clients::start(executor, &environment, &fleet, seed, until);
        fleet.inject_faults(executor, seed, until).await;
        clients::wait_for_end(&clients).await;
        fleet.end().await;
    });
    result
}
