//! How an instance learns a map: another proxy announces it, a majority of the voters confirms it, and it is
//! adopted.
use crate::instance::Zones;
use crate::map::{Epoch, Map};
use crate::wire::Body;
use crate::{Outgoing, ZoneMove, MAX_ZONES, RESEND_INTERVAL};
use nickelgate::Micros;

/// Time after which an announced map that no majority confirmed is dropped.
const UNCONFIRMED_LIFETIME: Micros = 2_000_000;

/// A map that was announced and that no majority of the voters has confirmed yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct UnconfirmedMap {
    announced_by: u16,
    map: Map,
    hash: u64,
    /// The voters that confirmed it, one bit each.
    confirmed_by: u8,
    received_at: Micros,
    /// When the voters are asked next.
    pub next_query: Micros,
}

impl Zones {
    /// Stores a map that a voter announced, unless it is no later than the map in use or than that voter's
    /// last one, and asks the voters to confirm it.
    pub(crate) fn handle_announcement(&mut self, by: u16, map: Map, out: &mut Outgoing) {
        let known = self.unconfirmed_maps.iter().any(|t| t.announced_by == by && t.map.epoch >= map.epoch);
        if self.voter_bit(by).is_none() || map.epoch <= self.map.epoch || known {
            self.counters.outdated += u64::from(map.epoch < self.map.epoch);
            return;
        }
        self.unconfirmed_maps.retain(|t| t.announced_by != by);
        let hash = map.hash();
        self.unconfirmed_maps.push(UnconfirmedMap {
            announced_by: by,
            map,
            hash,
            confirmed_by: 0,
            received_at: self.now,
            next_query: self.now,
        });
        self.query_voters(out);
    }

    /// Drops the unconfirmed maps that are outdated or too old, and asks the voters about the others if that
    /// is due.
    pub(crate) fn query_voters(&mut self, out: &mut Outgoing) {
        let (now, before) = (self.now, self.unconfirmed_maps.len());
        let current = self.map.epoch;
        self.unconfirmed_maps.retain(|t| t.map.epoch > current && now < t.received_at + UNCONFIRMED_LIFETIME);
        self.counters.unconfirmed += (before - self.unconfirmed_maps.len()) as u64;
        let mut due = Vec::new();
        for t in self.unconfirmed_maps.iter_mut().filter(|t| now >= t.next_query) {
            t.next_query = now + RESEND_INTERVAL;
            due.push((t.map.epoch, t.confirmed_by));
        }
        for (epoch, confirmed_by) in due {
            for i in 0..self.settings.voters.len() {
                let to = self.settings.voters[i];
                if confirmed_by >> i & 1 == 0 && to != self.settings.me.index {
                    self.send(to, &Body::Query { epoch }, out);
                }
            }
        }
    }

    /// Counts a voter's confirmation of a map. Once a majority has confirmed it, adopts it, passes it on and
    /// reports.
    pub(crate) fn handle_confirmation(&mut self, epoch: Epoch, hash: u64, bit: u8, out: &mut Outgoing) {
        let same = |t: &&mut UnconfirmedMap| t.map.epoch == epoch && t.hash == hash;
        let Some(t) = self.unconfirmed_maps.iter_mut().find(same) else { return };
        t.confirmed_by |= bit;
        let (bits, map) = (t.confirmed_by, t.map.clone());
        let accepted = self.voter.as_ref().filter(|v| v.accepted.epoch == epoch && v.accepted.hash() == hash);
        let own = accepted.and(self.voter_bit(self.settings.me.index)).unwrap_or(0);
        if self.majority(bits | own) {
            self.adopt(map);
            self.pass_on(out);
            // The report tells the decider that this proxy acts on the map.
            self.report(out);
        }
    }

    /// If this proxy is a voter, announces the map in use to its part of the proxies, because the decider may
    /// die before all of them know the map.
    fn pass_on(&mut self, out: &mut Outgoing) {
        let voters = self.settings.voters.len();
        let Some(own) = self.settings.voters.iter().position(|v| *v == self.settings.me.index) else {
            return;
        };
        let me = self.settings.me.index;
        for to in (own as u16..self.settings.proxies).step_by(voters).filter(|p| *p != me) {
            self.send(to, &Body::Announce { map: self.map.clone() }, out);
        }
    }

    /// Uses a map from now on, unless the map in use is as late or later, and records the transitions in it.
    pub(crate) fn adopt(&mut self, map: Map) {
        if map.epoch <= self.map.epoch {
            return;
        }
        let old = std::mem::replace(&mut self.map, map);
        let both = old.zones.iter().zip(&self.map.zones).enumerate();
        let changed = both.filter(|(_, (a, b))| (a.state, a.step) != (b.state, b.step));
        let epoch = self.map.epoch;
        self.moves.extend(changed.map(|(z, (a, b))| ZoneMove {
            zone: z as u16,
            epoch,
            from: a.state,
            to: *b,
        }));
        // Bounds the list: only the last transitions are kept until the caller takes them.
        let excess = self.moves.len().saturating_sub(MAX_ZONES);
        self.moves.drain(..excess);
        let current = self.map.epoch;
        self.unconfirmed_maps.retain(|t| t.map.epoch > current);
        self.counters.adopted += 1;
        // A voter that did not accept this map itself stores it now, since a majority accepted it.
        if let Some(v) = self.voter.as_mut().filter(|v| v.accepted.epoch.number < self.map.epoch.number) {
            (v.accepted, v.no_map_since_start) = (self.map.clone(), false);
        }
    }
}
