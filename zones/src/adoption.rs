//! How an instance learns a map: somebody tells it, a majority of the voters vouches for it, and it is adopted.
use crate::instance::Zones;
use crate::map::{Epoch, Map};
use crate::wire::Body;
use crate::{Moved, Out, AGAIN, MOST_ZONES};
use nickelgate::Micros;

/// A map that a proxy was told and no majority vouches for is dropped after this.
const UNVOUCHED: Micros = 2_000_000;

/// A map that somebody told, until a majority vouches for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Told {
    by: u16,
    map: Map,
    hash: u64,
    /// Voters that vouched, a bit each.
    vouched: u8,
    at: Micros,
    pub next: Micros,
}

impl Zones {
    /// Somebody tells a map: it counts once a majority of the voters says that they took it.
    pub(crate) fn hear(&mut self, by: u16, map: Map, out: &mut Out) {
        let known = self.told.iter().any(|t| t.by == by && t.map.epoch >= map.epoch);
        if self.voter_bit(by).is_none() || map.epoch <= self.map.epoch || known {
            self.tally.old += u64::from(map.epoch < self.map.epoch);
            return;
        }
        self.told.retain(|t| t.by != by);
        let hash = map.hash();
        self.told.push(Told { by, map, hash, vouched: 0, at: self.now, next: self.now });
        self.ask(out);
    }

    /// Asks the voters whether they took the maps that were told.
    pub(crate) fn ask(&mut self, out: &mut Out) {
        let (now, old) = (self.now, self.told.len());
        let held = self.map.epoch;
        self.told.retain(|t| t.map.epoch > held && now < t.at + UNVOUCHED);
        self.tally.unvouched += (old - self.told.len()) as u64;
        let mut due = Vec::new();
        for t in self.told.iter_mut().filter(|t| now >= t.next) {
            t.next = now + AGAIN;
            due.push((t.map.epoch, t.vouched));
        }
        for (epoch, vouched) in due {
            for i in 0..self.settings.voters.len() {
                let to = self.settings.voters[i];
                if vouched >> i & 1 == 0 && to != self.settings.me.index {
                    self.post(to, &Body::Ask { epoch }, out);
                }
            }
        }
    }

    /// A voter vouches for a map.
    pub(crate) fn vouched(&mut self, epoch: Epoch, hash: u64, bit: u8, out: &mut Out) {
        let fits = |t: &&mut Told| t.map.epoch == epoch && t.hash == hash;
        let Some(t) = self.told.iter_mut().find(fits) else { return };
        t.vouched |= bit;
        let (bits, map) = (t.vouched, t.map.clone());
        let took = self.voter.as_ref().filter(|v| v.took.epoch == epoch && v.took.hash() == hash);
        let own = took.and(self.voter_bit(self.settings.me.index)).unwrap_or(0);
        if self.majority(bits | own) {
            self.adopt(map);
            self.pass_on(out);
            // The answer to the decision: it knows then who acts on it.
            self.report(out);
        }
    }

    /// A voter tells its part of the proxies of the map that it just learned is in use: the decider may die before all know.
    fn pass_on(&mut self, out: &mut Out) {
        let voters = self.settings.voters.len();
        let Some(own) = self.settings.voters.iter().position(|v| *v == self.settings.me.index) else {
            return;
        };
        let me = self.settings.me.index;
        for to in (own as u16..self.settings.proxies).step_by(voters).filter(|p| *p != me) {
            self.post(to, &Body::Tell { map: self.map.clone() }, out);
        }
    }

    /// The map is in use from now on, unless a later one is.
    pub(crate) fn adopt(&mut self, map: Map) {
        if map.epoch <= self.map.epoch {
            return;
        }
        let old = std::mem::replace(&mut self.map, map);
        let both = old.zones.iter().zip(&self.map.zones).enumerate();
        let moved = both.filter(|(_, (a, b))| (a.state, a.step) != (b.state, b.step));
        let epoch = self.map.epoch;
        self.moved.extend(moved.map(|(z, (a, b))| Moved { zone: z as u16, epoch, from: a.state, to: *b }));
        // Between two calls for them only the last moves are kept.
        let over = self.moved.len().saturating_sub(MOST_ZONES);
        self.moved.drain(..over);
        let held = self.map.epoch;
        self.told.retain(|t| t.map.epoch > held);
        self.tally.adopted += 1;
        // A voter that was not asked has it now: a majority took it.
        if let Some(v) = self.voter.as_mut().filter(|v| v.took.epoch.number < self.map.epoch.number) {
            (v.took, v.fresh) = (self.map.clone(), false);
        }
    }
}
