//! The cases, one module each.
mod slow_readers;
mod stalled_release;
mod upgrade_slow;

use crate::proxy::door;
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Why a run didn't end well.
pub enum Broken {
    /// The rule was broken.
    Rule(String),
    /// The case couldn't run.
    Run(String),
}

pub fn run(case: &str, trouble: bool, record: &Arc<Record>) -> Result<(), Broken> {
    match case {
        "stalled-release" => stalled_release::run(trouble, record),
        "slow-readers" => slow_readers::run(trouble, record),
        "upgrade-slow" => upgrade_slow::run(trouble, record),
        other => Err(Broken::Run(format!("no such case: {other}"))),
    }
}

/// Asks a door until it says yes. Returns when it did.
fn wait_ready(at: SocketAddr, longest: Duration, record: &Arc<Record>) -> Result<Duration, Broken> {
    let until = Instant::now() + longest;
    while Instant::now() < until {
        if door(at, "READY").is_some_and(|line| line.starts_with("done")) {
            record.say(format!("door {at} says ready"));
            return Ok(record.now());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(Broken::Run(format!("door {at} did not say yes within {longest:?}")))
}
