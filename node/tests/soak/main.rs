//! Randomized fault soak: real processes of the program on loopback between stand-in clients, cache servers and discovery,
//! with overlapping troubles drawn from a seed, and the rules as oracle (`oracle.rs`).
//!
//! `SEEDS=1,2,3` (or `1..20`), `SECONDS=n` and `PROCESSES=n` set its size; the small form with fixed seeds runs with the
//! other tests. It ends by itself, prints a timeline of every request that broke a rule, and one JSON object last.
mod clients;
#[path = "../common/mod.rs"]
mod common;
mod oracle;
mod proxies;
mod servers;

use common::run;
use oracle::Oracle;
use proxies::Fleet;
use std::rc::Rc;
use threadward::net::{now, sleep_until};
use threadward_core::Micros;

/// The size of a run without settings of its own.
const SEEDS: &str = "11,12";
const SECONDS: u64 = 6;
const PROCESSES: usize = 10;
/// Bounds on what the environment may ask for.
const MAX_SEEDS: usize = 200;
const MAX_SECONDS: u64 = 120;
const MAX_PROCESSES: usize = 40;

pub const SECOND: Micros = 1_000_000;
pub const MILLISECOND: Micros = 1_000;

pub async fn pause(span: Micros) {
    sleep_until(now() + span).await;
}

/// Draws a seed of its own for each part of a run, so that one part's draws do not move another's.
pub fn dice(seed: u64, part: u64) -> fastrand::Rng {
    fastrand::Rng::with_seed(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ part)
}

fn seeds() -> Vec<u64> {
    let text = std::env::var("SEEDS").unwrap_or_else(|_| SEEDS.to_owned());
    let all: Vec<u64> = match text.split_once("..") {
        Some((from, to)) => (from.parse().expect("SEEDS")..to.parse().expect("SEEDS")).collect(),
        None => text.split(',').map(|seed| seed.trim().parse().expect("SEEDS")).collect(),
    };
    assert!(!all.is_empty() && all.len() <= MAX_SEEDS, "SEEDS: 1 to {MAX_SEEDS}");
    all
}

fn number(name: &str, usual: u64, most: u64) -> u64 {
    let told = std::env::var(name).ok().map(|text| text.parse().expect(name));
    told.unwrap_or(usual).clamp(1, most)
}

#[test]
fn rules_hold_while_troubles_overlap() {
    let seconds = number("SECONDS", SECONDS, MAX_SECONDS);
    let processes = number("PROCESSES", PROCESSES as u64, MAX_PROCESSES as u64) as usize;
    let seeds = seeds();
    let mut total = oracle::Totals::default();
    for seed in &seeds {
        let oracle = soak(*seed, seconds, processes);
        let found = oracle.totals();
        for line in oracle.timelines() {
            println!("{line}");
        }
        if found.broken() > 0 {
            println!("again: make measure-soak SEEDS={seed} SECONDS={seconds} PROCESSES={processes}");
        }
        total.add(&found);
    }
    println!("{}", total.json(processes, &seeds));
    assert_eq!(total.broken(), 0, "rules were broken");
    assert!(total.requests > 0 && total.answered * 2 > total.requests, "hardly anything was served");
}

fn soak(seed: u64, seconds: u64, processes: usize) -> Rc<Oracle> {
    let oracle = Rc::new(Oracle::default());
    let result = oracle.clone();
    run(|executor| async move {
        let world = servers::World::new(executor, oracle.clone(), seed);
        let fleet = Fleet::start(world.clone(), processes, seed).await;
        oracle::watch_lag(executor, oracle.clone());
        let until = now() + seconds * SECOND;
        world.trouble(executor, seed, until);
        let clients = clients::start(executor, &world, &fleet, seed, until);
        fleet.trouble(executor, seed, until).await;
        clients::ended(&clients).await;
        fleet.end().await;
    });
    result
}
