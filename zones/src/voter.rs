//! The voter's side of an instance: what it accepted last, and which maps it accepts.
//!
//! Voters and decider run a consensus of the Paxos kind: prepare, promise, propose, accept.
use crate::instance::Zones;
use crate::map::{Epoch, Map};
use crate::Author;

/// The memory of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Voter {
    /// The map that it accepted last.
    pub accepted: Map,
    /// The number and incarnation of the last decider that sent a prepare request. Earlier maps are no longer
    /// accepted.
    pub promised_epoch: Epoch,
    /// Whether it has accepted no map since it started. Until it does, it may have forgotten one.
    pub no_map_since_start: bool,
}

impl Zones {
    /// Returns the bit that stands for a voter in sets of voters, or `None` if the proxy is no voter.
    pub(crate) fn voter_bit(&self, proxy: u16) -> Option<u8> {
        self.settings.voters.iter().position(|v| *v == proxy).map(|i| 1 << i)
    }

    /// Returns whether a set of voters is a majority.
    pub(crate) fn majority(&self, bits: u8) -> bool {
        bits.count_ones() as usize * 2 > self.settings.voters.len()
    }

    /// Answers a prepare request: returns the promised epoch, whether this voter may have forgotten a map,
    /// and the map that it accepted last. Promises to accept no earlier map from then on if `number` is large
    /// enough. Only the incarnation that this voter is promised to in the election gets an answer.
    ///
    /// `number` has to be two more than any number known here: a former decider may have an unanswered
    /// proposal whose number is one more than that of the last map that a majority accepted.
    pub(crate) fn prepare(&mut self, by: Author, number: u64) -> Option<(Epoch, bool, Map)> {
        let v = self.voter.as_mut().filter(|_| self.election.promised_to == Some(by))?;
        if number >= v.promised_epoch.number.max(v.accepted.epoch.number).saturating_add(2) {
            v.promised_epoch = Epoch { number, incarnation: by.incarnation };
        }
        Some((v.promised_epoch.max(v.accepted.epoch), v.no_map_since_start, v.accepted.clone()))
    }

    /// Accepts a proposed map and returns its epoch, or counts it as outdated. The proposer has to be the
    /// incarnation that this voter is promised to in the election, and the map has to be the one accepted
    /// last, or have a larger number than that and not be ruled out by a promise.
    pub(crate) fn accept(&mut self, by: Author, map: Map) -> Option<Epoch> {
        let promised = self.election.promised_to == Some(by) && map.epoch.incarnation == by.incarnation;
        let v = self.voter.as_mut()?;
        let (proposed, accepted, promised_epoch) = (map.epoch, v.accepted.epoch, v.promised_epoch);
        let allowed = proposed.number > promised_epoch.number || proposed == promised_epoch;
        if !promised || proposed != accepted && !(allowed && proposed.number > accepted.number) {
            self.counters.outdated += 1;
            return None;
        }
        if proposed != accepted {
            v.accepted = map;
            v.no_map_since_start = false;
        }
        Some(proposed)
    }
}
