//! The map (the state of every zone under one epoch) and the order of epochs.
//!
//! A map that has an epoch never changes: every change produces a new map with a later epoch.
use crate::state::Status;
use nickelgate::Micros;

/// The position of a map in the order of all maps; a later map has a larger epoch. It contains the
/// incarnation of the decider that made the map, so that two deciders never produce the same epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Epoch {
    /// Increases with every map.
    pub number: u64,
    /// The incarnation of the decider that made the map.
    pub incarnation: u64,
}

/// The state of every zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Map {
    /// The position of this map in the order of all maps.
    pub epoch: Epoch,
    /// One status per zone, in the order of the settings.
    pub zones: Vec<Status>,
}

impl Map {
    /// Returns the map that a fleet starts with: every zone is in service.
    pub fn new(zones: usize, now: Micros) -> Map {
        let status = Status { since: now, ..Status::default() };
        Map { epoch: Epoch::default(), zones: vec![status; zones] }
    }
}
