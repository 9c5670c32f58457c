//! The cases, one module each.
mod stalled_release;
mod try_flood;
mod slow_readers;
mod try_upgrade;
mod try_fuzz;

use crate::record::Record;
use std::sync::Arc;

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
        "try-flood" => try_flood::run(trouble, record),
        "try-fuzz" => try_fuzz::run(trouble, record),
        "try-upgrade" => try_upgrade::run(trouble, record),
        "slow-readers" => slow_readers::run(trouble, record),
        other => Err(Broken::Run(format!("no such case: {other}"))),
    }
}
