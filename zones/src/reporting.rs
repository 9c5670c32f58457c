//! What an instance reports to the decider, and what it does while it is the decider itself.
use crate::decider::VoterRequest;
use crate::instance::Zones;
use crate::state::State;
use crate::wire::Body;
use crate::{Outgoing, ZoneObservation, DEGRADED_REPORT_INTERVAL, HEALTHY_REPORT_INTERVAL};

impl Zones {
    /// Reports to the decider what this proxy's own attempts showed and which map it acts on, and schedules
    /// the next report.
    pub(crate) fn report(&mut self, out: &mut Outgoing) {
        let degraded = self.map.zones.iter().any(|z| z.state != State::In)
            || self.observed.iter().any(ZoneObservation::is_failing);
        self.next_report =
            self.now + if degraded { DEGRADED_REPORT_INTERVAL } else { HEALTHY_REPORT_INTERVAL };
        self.report_seq = self.report_seq.wrapping_add(1);
        let (me, seq, own_zone, observed) =
            (self.settings.me, self.report_seq, self.settings.own_zone, self.observed.clone());
        let (map_number, map_hash) = (self.map.epoch.number, self.map.hash());
        if self.election.is_decider {
            self.decider.record_report(
                self.now,
                me,
                me,
                seq,
                me.incarnation,
                (map_number, map_hash),
                own_zone,
                observed,
            );
        } else if self.election.decider != me.index {
            let to_incarnation = self.map.epoch.incarnation;
            self.send(
                self.election.decider,
                &Body::Report { seq, to_incarnation, map_number, map_hash, own_zone, observed },
                out,
            );
        }
    }

    /// Does the decider's work that is due, if this proxy is the decider: sends prepare requests and
    /// proposals to the voters, adopts a proposal that a majority accepted, and announces the map to proxies
    /// that act on another one.
    pub(crate) fn decide(&mut self, out: &mut Outgoing) {
        if !self.election.is_decider {
            return;
        }
        let own_bit = self.voter_bit(self.settings.me.index);
        for request in self.decider.run(self.now, &self.settings, &self.map, &mut self.counters) {
            match request {
                VoterRequest::Prepare(to, number) if to == self.settings.me.index => {
                    if let (Some((promised_epoch, no_map_since_start, map)), Some(bit)) =
                        (self.prepare(self.settings.me, number), own_bit)
                    {
                        self.decider.handle_promise(
                            self.now,
                            self.settings.me,
                            promised_epoch,
                            bit,
                            no_map_since_start,
                            map,
                        );
                    }
                }
                VoterRequest::Prepare(to, number) => self.send(to, &Body::Prepare { number }, out),
                VoterRequest::Propose(to, map) if to == self.settings.me.index => {
                    if let (Some(epoch), Some(bit)) = (self.accept(self.settings.me, map), own_bit) {
                        self.decider.handle_accepted(epoch, bit);
                    }
                }
                VoterRequest::Propose(to, map) => self.send(to, &Body::Propose { map }, out),
            }
        }
        if let Some(map) = self.decider.take_accepted(self.settings.voters.len()) {
            self.counters.decided += 1;
            self.adopt(map);
            self.report(out);
        }
        self.announce_to_outdated(None, out);
    }

    /// Announces the map to the proxies that act on another one, to each at most once in
    /// [`crate::RESEND_INTERVAL`]. `only` restricts this to a proxy that has just reported.
    pub(crate) fn announce_to_outdated(&mut self, only: Option<u16>, out: &mut Outgoing) {
        if !self.decider.leads() || self.map.epoch.incarnation != self.settings.me.incarnation {
            return;
        }
        for to in self.decider.take_outdated(self.now, &self.map, self.settings.me.index, only) {
            self.send(to, &Body::Announce { map: self.map.clone() }, out);
            // A voter that missed or forgot the map also gets it as a proposal, so that it can confirm the
            // map and pass it to the next decider.
            if self.voter_bit(to).is_some() {
                self.send(to, &Body::Propose { map: self.map.clone() }, out);
            }
        }
    }
}
