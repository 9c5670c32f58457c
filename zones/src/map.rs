//! The map: the state of every zone under one epoch, and the order of epochs.
//!
//! A map is not changed in place once it has an epoch: a change is a new map with a later one.
use crate::state::Status;
use nickelgate::Micros;

/// Later ones are larger. The life is that of the decider who made it: two deciders never share one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Epoch {
    /// Rises with every map.
    pub number: u64,
    /// The life of the decider who made it.
    pub life: u64,
}

/// The state of every zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Map {
    /// Its place in the order of maps.
    pub epoch: Epoch,
    /// In the order of the settings' zones.
    pub zones: Vec<Status>,
}

impl Map {
    /// Every zone in service: what a fleet starts with.
    pub fn new(zones: usize, now: Micros) -> Map {
        let status = Status { since: now, ..Status::default() };
        Map { epoch: Epoch::default(), zones: vec![status; zones] }
    }
}
