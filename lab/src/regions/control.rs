//! The control functions of a simulated proxy: its budgets and zones, the messages between proxies, and the
//! updates of its planner.
use super::{Event, Regions, OBSERVATION_INTERVAL, S, T0};
use crate::day::{Day, VOTER_COUNT};
use crate::stream;
use nickelgate::Micros;
use rand_core::RngCore;
use threadward_budgets::Budgets;
use threadward_zones::map::Epoch;
use threadward_zones::{ElectionView, Outgoing, ZoneObservation, ZoneUse, Zones};

/// Lease time of the budgets and zones.
const LEASE: Micros = 1_200_000;
/// Number of the first proxy's stream of random numbers for its instances' entropy; the other proxies'
/// streams follow.
const FIRST_STREAM: u64 = 0x100;

/// The budgets and zones of one proxy.
pub(super) struct ControlPart {
    pub budgets: Budgets,
    pub zones: Zones,
    /// When the timer of its budgets is due.
    timer_at: Micros,
    /// The epoch of the map that its planner follows.
    epoch: Epoch,
}

impl ControlPart {
    pub fn new(day: &Day, i: usize) -> ControlPart {
        let mut entropy = [0; 32];
        stream(day.seed, FIRST_STREAM + i as u64).fill_bytes(&mut entropy);
        let voters: Vec<u16> = (0..VOTER_COUNT as u16).collect();
        let proxies = day.proxies as u16;
        let settings = threadward_budgets::Settings {
            index: i as u16,
            proxies,
            voters: voters.clone(),
            totals: vec![u32::from(proxies) * 10],
            lease: LEASE,
        };
        let budgets = Budgets::new(T0, settings, entropy).unwrap_or_else(|error| panic!("n{i}: {error}"));
        let settings = threadward_zones::Settings {
            me: budgets.identity(),
            proxies,
            voters,
            own_zone: day.location_of(i) as u16,
            lease: LEASE,
            zones: day.zone_settings(),
        };
        let zones = Zones::new(T0, settings).unwrap_or_else(|error| panic!("n{i}: {error}"));
        ControlPart { budgets, zones, timer_at: Micros::MAX, epoch: Epoch::default() }
    }

    /// Returns the current result of the budgets' election.
    fn election_view(&self, now: Micros, i: usize) -> ElectionView {
        let decides = self.budgets.is_coordinator(now);
        let decider = if decides { i as u16 } else { self.budgets.coordinator() };
        ElectionView { is_decider: decides, promised_to: self.budgets.promised_to(now), decider }
    }
}

/// Replaces the observations by false ones: one parent fails, and nothing is reported about locations.
fn falsify(observations: &mut Vec<ZoneObservation>, parents: std::ops::Range<u16>, zone: u16) {
    observations.retain(|report| parents.contains(&report.zone) && report.zone != zone);
    observations.push(ZoneObservation {
        zone,
        attempts: 900,
        failed: 900,
        members: 90,
        bad_members: 90,
        load: 60_000,
        mean_use: 1,
    });
}

impl Regions {
    /// Passes what a proxy's own traffic shows to its zones and runs the zones' timers.
    pub(super) fn observe(&mut self, i: usize) {
        let now = self.queue.now;
        if now < T0 + self.day.duration {
            self.queue.schedule(now + OBSERVATION_INTERVAL, Event::Observe(i));
        }
        let proxy = &mut self.proxies[i];
        let Some(control) = &mut proxy.control else { return };
        let mut observations = proxy.planner.zone_observations(now);
        if self.day.liar == Some(i) {
            falsify(&mut observations, self.day.locations..self.day.zone_count(), self.day.parent(0));
        }
        control.zones.observe(now, observations);
        if i < VOTER_COUNT {
            for zone in 0..self.day.zone_count() {
                control.zones.set_newest_start(zone, proxy.planner.newest_start(zone));
            }
        }
        let mut out = Outgoing::new();
        let election = control.election_view(now, i);
        control.zones.tick(now, election, &mut out);
        self.follow_map(i, out);
    }

    /// Handles a zone message that arrives at a proxy.
    pub(super) fn receive(&mut self, from: usize, i: usize, bytes: &[u8]) {
        let now = self.queue.now;
        let Some(control) = &mut self.proxies[i].control else { return };
        let mut out = Outgoing::new();
        let (election, before) = (control.election_view(now, i), control.zones.map().epoch);
        control.zones.receive(now, from as u16, bytes, election, &mut out);
        if control.zones.map().epoch == before {
            return self.send_messages(i, out);
        }
        self.follow_map(i, out);
    }

    /// Passes the zone map in use to the planner and sends the zones' messages.
    fn follow_map(&mut self, i: usize, out: Outgoing) {
        let now = self.queue.now;
        let proxy = &mut self.proxies[i];
        let Some(control) = &mut proxy.control else { return };
        if control.zones.ready(now) {
            let uses: Vec<ZoneUse> =
                (0..self.day.zone_count()).map(|zone| control.zones.usage(zone)).collect();
            proxy.planner.set_zone_uses(now, &uses, control.zones.refused_permille());
        }
        let epoch = control.zones.map().epoch;
        if epoch > control.epoch {
            control.epoch = epoch;
            for leave in self.leaves.iter_mut().filter(|leave| leave.pending[i] && epoch >= leave.epoch) {
                leave.pending[i] = false;
                leave.last_acted_at = now;
            }
            if epoch > self.newest {
                self.record_new_map(i, epoch);
            }
        }
        self.send_messages(i, out);
        self.run_orders(i);
    }

    /// Calls the budgets of a proxy, sends their messages and schedules their next timer.
    pub(super) fn call_budgets(&mut self, i: usize, call: impl FnOnce(&mut Budgets, Micros, &mut Outgoing)) {
        let (now, mut out) = (self.queue.now, Outgoing::new());
        let Some(control) = &mut self.proxies[i].control else { return };
        call(&mut control.budgets, now, &mut out);
        let due = control.budgets.next_due().max(now + 1);
        if due < control.timer_at || control.timer_at <= now {
            control.timer_at = due;
            if now < T0 + self.day.duration {
                self.queue.schedule(due, Event::Budget(i));
            }
        }
        self.send_messages(i, out);
    }

    /// Sends messages to other proxies.
    fn send_messages(&mut self, i: usize, out: Outgoing) {
        let now = self.queue.now;
        let cut = self.day.cut.filter(|(_, from, until)| (*from..*until).contains(&now)).map(|(cut, ..)| cut);
        for (to, bytes) in out {
            let to = usize::from(to);
            if cut == Some(i) || cut == Some(to) {
                continue;
            }
            for at in self.net.transmit(now, i, to, bytes.len()) {
                self.queue.schedule(at, Event::Datagram { from: i, to, bytes: bytes.clone() });
            }
        }
    }

    /// Returns the bytes of zone messages per proxy and second.
    pub(super) fn control_bytes(&self) -> f64 {
        let sent = |control: &ControlPart| control.zones.counters.sent_bytes;
        let bytes: u64 = self.proxies.iter().map(|proxy| proxy.control.as_ref().map_or(0, sent)).sum();
        bytes as f64 / self.day.proxies as f64 / (self.day.duration as f64 / S as f64)
    }
}
