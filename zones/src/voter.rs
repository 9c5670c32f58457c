//! The voter's side of an instance: what it took last, and which maps it takes.
use crate::instance::Zones;
use crate::map::{Epoch, Map};
use crate::Author;

/// A voter's memory.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Voter {
    pub took: Map,
    /// The last decider that read it, by the number that it asked for: nothing earlier is taken any more.
    pub barred: Epoch,
    /// It may have forgotten a map until it takes one.
    pub fresh: bool,
}

impl Zones {
    /// The place of a voter among the voters, as a bit.
    pub(crate) fn voter_bit(&self, place: u16) -> Option<u8> {
        self.settings.voters.iter().position(|v| *v == place).map(|i| 1 << i)
    }

    /// Whether these voters are a majority.
    pub(crate) fn majority(&self, bits: u8) -> bool {
        bits.count_ones() as usize * 2 > self.settings.voters.len()
    }

    /// A voter answers the life that it is promised to, and bars earlier ones from then on. What a former decider may have
    /// out is one past what a majority took, so the number has to be two past what is known here.
    pub(crate) fn read(&mut self, by: Author, number: u64) -> Option<(Epoch, bool, Map)> {
        let v = self.voter.as_mut().filter(|_| self.seat.promised == Some(by))?;
        if number >= v.barred.number.max(v.took.epoch.number).saturating_add(2) {
            v.barred = Epoch { number, life: by.incarnation };
        }
        Some((v.barred.max(v.took.epoch), v.fresh, v.took.clone()))
    }

    /// A voter takes a map from the life that it is promised to, if it is later than what it took, and one of a number.
    pub(crate) fn proposed(&mut self, by: Author, map: Map) -> Option<Epoch> {
        let promised = self.seat.promised == Some(by) && map.epoch.life == by.incarnation;
        let v = self.voter.as_mut()?;
        let (asked, took, barred) = (map.epoch, v.took.epoch, v.barred);
        let open = asked.number > barred.number || asked == barred;
        if !promised || asked != took && !(open && asked.number > took.number) {
            self.tally.old += 1;
            return None;
        }
        if asked != took {
            v.took = map;
            v.fresh = false;
        }
        Some(asked)
    }
}
