//! What an instance reports to the decider, and what it does while it is the decider itself.
use crate::decider::Wish;
use crate::instance::Zones;
use crate::state::State;
use crate::wire::Body;
use crate::{Out, ZoneObservation, BRISK, CALM_REPORT};

impl Zones {
    /// Reports what own attempts showed, and the map in use, to the decider.
    pub(crate) fn report(&mut self, out: &mut Out) {
        let amiss = self.map.zones.iter().any(|z| z.state != State::In)
            || self.seen.iter().any(ZoneObservation::is_failing);
        self.next_report = self.now + if amiss { BRISK } else { CALM_REPORT };
        self.seq = self.seq.wrapping_add(1);
        let (me, seq, place, seen) = (self.settings.me, self.seq, self.settings.stands, self.seen.clone());
        let (epoch, hash) = (self.map.epoch.number, self.map.hash());
        if self.seat.decides {
            self.decider.reported(self.now, me, me, seq, me.incarnation, (epoch, hash), place, seen);
        } else if self.seat.decider != me.index {
            let to = self.map.epoch.life;
            self.post(self.seat.decider, &Body::Report { seq, to, epoch, hash, place, seen }, out);
        }
    }

    /// What the decider does now, if this is the one.
    pub(crate) fn decide(&mut self, out: &mut Out) {
        if !self.seat.decides {
            return;
        }
        let me = self.voter_bit(self.settings.me.index);
        for asked in self.decider.look(self.now, &self.settings, &self.map, &mut self.tally) {
            match asked {
                Wish::Read(to, number) if to == self.settings.me.index => {
                    if let (Some((barred, fresh, map)), Some(bit)) = (self.read(self.settings.me, number), me)
                    {
                        self.decider.held(self.now, self.settings.me, barred, bit, fresh, map);
                    }
                }
                Wish::Read(to, number) => self.post(to, &Body::Read { number }, out),
                Wish::Propose(to, map) if to == self.settings.me.index => {
                    if let (Some(epoch), Some(bit)) = (self.proposed(self.settings.me, map), me) {
                        self.decider.took(epoch, bit);
                    }
                }
                Wish::Propose(to, map) => self.post(to, &Body::Propose { map }, out),
            }
        }
        if let Some(map) = self.decider.agreed(self.settings.voters.len()) {
            self.tally.decided += 1;
            self.adopt(map);
            self.report(out);
        }
        self.tell_behind(None, out);
    }

    /// The map to those that act on another, each once in [`AGAIN`]; `only`: one that just reported.
    pub(crate) fn tell_behind(&mut self, only: Option<u16>, out: &mut Out) {
        if !self.decider.leads() || self.map.epoch.life != self.settings.me.incarnation {
            return;
        }
        for to in self.decider.behind(self.now, &self.map, self.settings.me.index, only) {
            self.post(to, &Body::Tell { map: self.map.clone() }, out);
            // A voter that missed or forgot it takes it, so that it can vouch for it and tell it to the next decider.
            if self.voter_bit(to).is_some() {
                self.post(to, &Body::Propose { map: self.map.clone() }, out);
            }
        }
    }
}
