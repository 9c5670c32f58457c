//! The map: the state of every zone under one epoch. It owns the order of epochs and what a map's hash is. It must never
//! be changed in place once it has an epoch: a change is a new map with a later one.
use crate::state::Status;
use crate::wire;
use nickelgate::Micros;
use sha2::{Digest, Sha256};

/// Later ones are larger. The life is that of the decider who made it: two deciders never share one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Epoch {
    pub number: u64,
    pub life: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Map {
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

    /// What is the same for every holder of the map: two maps of one hash say the same, whatever their clocks.
    pub fn hash(&self) -> u64 {
        let hash = Sha256::digest(wire::fixed(self));
        u64::from_be_bytes([hash[0], hash[1], hash[2], hash[3], hash[4], hash[5], hash[6], hash[7]])
    }
}
