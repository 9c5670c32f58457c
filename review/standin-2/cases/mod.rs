//! The cases, one module each.
mod slow_readers;
mod stalled_release;

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
        "slow-readers" => slow_readers::run(trouble, record),
        other => Err(Broken::Run(format!("no such case: {other}"))),
    }
}
