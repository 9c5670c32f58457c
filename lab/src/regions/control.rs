//! The control part of a proxy: its budgets and its zones, the messages between proxies, and what its planner is told.
use super::{Event, Regions, OBSERVATION_INTERVAL, S, T0};
use crate::day::{Day, VOTER_COUNT};
use crate::stream;
use nickelgate::Micros;
use rand_core::RngCore;
use threadward_budgets::Budgets;
use threadward_zones::map::Epoch;
use threadward_zones::{ElectionView, Outgoing, ZoneObservation, ZoneUse, Zones};

const LEASE: Micros = 1_200_000;
/// The first stream of random numbers that belongs to the entropy of instances; each proxy has one.
const STREAM: u64 = 0x100;

/// The budgets and zones of one proxy.
pub(super) struct ControlPart {
    pub budgets: Budgets,
    pub zones: Zones,
    /// When the timer of its budgets is due.
    armed: Micros,
    /// The epoch that its planner was told of last.
    epoch: Epoch,
}

impl ControlPart {
    pub fn new(day: &Day, i: usize) -> ControlPart {
        let mut entropy = [0; 32];
        stream(day.seed, STREAM + i as u64).fill_bytes(&mut entropy);
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
        ControlPart { budgets, zones, armed: Micros::MAX, epoch: Epoch::default() }
    }

    /// What the election of budgets says now.
    fn seat(&self, now: Micros, i: usize) -> ElectionView {
        let decides = self.budgets.is_coordinator(now);
        let decider = if decides { i as u16 } else { self.budgets.coordinator() };
        ElectionView { is_decider: decides, promised_to: self.budgets.promised_to(now), decider }
    }
}

/// What a liar says: that one hub fails, and nothing of any location.
fn lie(seen: &mut Vec<ZoneObservation>, hubs: std::ops::Range<u16>, zone: u16) {
    seen.retain(|report| hubs.contains(&report.zone) && report.zone != zone);
    seen.push(ZoneObservation {
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
    /// A proxy looks at what its own traffic shows, and its zones carry out what is due.
    pub(super) fn observe(&mut self, i: usize) {
        let now = self.queue.now;
        if now < T0 + self.day.duration {
            self.queue.schedule(now + OBSERVATION_INTERVAL, Event::Observe(i));
        }
        let proxy = &mut self.proxies[i];
        let Some(control) = &mut proxy.control else { return };
        let mut seen = proxy.planner.zone_observations(now);
        if self.day.liar == Some(i) {
            lie(&mut seen, self.day.locations..self.day.zone_count(), self.day.parent(0));
        }
        control.zones.observe(now, seen);
        if i < VOTER_COUNT {
            for zone in 0..self.day.zone_count() {
                control.zones.set_newest_start(zone, proxy.planner.newest_start(zone));
            }
        }
        let mut out = Outgoing::new();
        let seat = control.seat(now, i);
        control.zones.tick(now, seat, &mut out);
        self.follow_map(i, out);
    }

    /// A message of the zones arrives.
    pub(super) fn receive(&mut self, from: usize, i: usize, bytes: &[u8]) {
        let now = self.queue.now;
        let Some(control) = &mut self.proxies[i].control else { return };
        let mut out = Outgoing::new();
        let (seat, before) = (control.seat(now, i), control.zones.map().epoch);
        control.zones.receive(now, from as u16, bytes, seat, &mut out);
        if control.zones.map().epoch == before {
            return self.post(i, out);
        }
        self.follow_map(i, out);
    }

    /// The planner follows the map in use.
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
            for leave in self.leaves.iter_mut().filter(|leave| leave.waits[i] && epoch >= leave.epoch) {
                leave.waits[i] = false;
                leave.last = now;
            }
            if epoch > self.newest {
                self.first_to_move(i, epoch);
            }
        }
        self.post(i, out);
        self.run_orders(i);
    }

    /// Calls the budgets of a proxy, sends what they want sent and sees to their timer.
    pub(super) fn call_budgets(&mut self, i: usize, call: impl FnOnce(&mut Budgets, Micros, &mut Outgoing)) {
        let (now, mut out) = (self.queue.now, Outgoing::new());
        let Some(control) = &mut self.proxies[i].control else { return };
        call(&mut control.budgets, now, &mut out);
        let due = control.budgets.next_due().max(now + 1);
        if due < control.armed || control.armed <= now {
            control.armed = due;
            if now < T0 + self.day.duration {
                self.queue.schedule(due, Event::Budget(i));
            }
        }
        self.post(i, out);
    }

    /// Sends messages to other proxies.
    fn post(&mut self, i: usize, out: Outgoing) {
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

    /// Bytes of the zones' messages for a proxy and second.
    pub(super) fn control_bytes(&self) -> f64 {
        let sent = |control: &ControlPart| control.zones.counters.sent_bytes;
        let bytes: u64 = self.proxies.iter().map(|proxy| proxy.control.as_ref().map_or(0, sent)).sum();
        bytes as f64 / self.day.proxies as f64 / (self.day.duration as f64 / S as f64)
    }
}
