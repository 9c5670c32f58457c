//! What goes wrong in a fleet: members that start anew or drain, proxies that are cut off, and how a proxy meets a member
//! in an outage.
use super::stand_ins::StandIn;
use super::{Event, FailureMode, Outage, Proxy, Regions, MS, S};
use nickelgate::{Addr, Entry, Lifecycle, ListForm, Micros};
use std::mem;
use threadward_zones::state::{State, RETURN_STEPS};

/// Between two machines that fall silent in an outage that spreads.
const DRIP_INTERVAL: Micros = 100 * MS;
/// The share that a lossy zone loses.
const LOSS: f64 = 0.2;
/// The outage of a zone that falls again while it returns.
const SECOND_OUTAGE: Micros = 10 * S;
/// After a cut a proxy has yet to hear of the map.
const CUT_GRACE: Micros = 3 * S;

impl Regions {
    /// Whoever decides is cut off from the other proxies.
    pub(super) fn lose_decider(&mut self) {
        let now = self.queue.now;
        let grants =
            |proxy: &Proxy| proxy.control.as_ref().is_some_and(|part| part.budgets.is_coordinator(now));
        if let Some(i) = self.proxies.iter().position(grants) {
            self.isolate(i);
        }
    }

    /// Cuts a proxy off from all others; its caches answer it as before.
    fn isolate(&mut self, i: usize) {
        let others: Vec<usize> = (0..self.day.proxies).filter(|other| *other != i).collect();
        self.net.cut_groups(&[i], &others);
        self.apart.push(i);
    }

    /// All members of a zone start anew, empty and cold, and all proxies are told.
    pub(super) fn restart(&mut self, zone: u16) {
        let now = self.queue.now;
        for n in 0..self.day.members_in(zone) {
            let member = self.day.member(zone, n);
            let able = self.stand_ins[&member].able;
            self.stand_ins.insert(member, StandIn::started_anew(now, able));
        }
        let all = (0..self.day.members_in(zone)).map(|n| Entry {
            started_at: now,
            incarnation: now,
            ..self.day.entry(zone, n)
        });
        let list = all.filter(|entry| !self.leaving.contains_key(&entry.addr)).collect();
        self.list(zone, list);
    }

    /// The list says that a member drains.
    pub(super) fn drain(&mut self, member: Addr) {
        self.leaving.insert(member, self.queue.now);
        let (zone, n) = (u16::from(member.ip[2]), u16::from(member.ip[3]));
        self.list(zone, vec![Entry { state: Lifecycle::Draining, ..self.day.entry(zone, n) }]);
    }

    /// Tells every proxy that lists them of a change to members of a zone.
    fn list(&mut self, zone: u16, list: Vec<Entry>) {
        let now = self.queue.now;
        for i in 0..self.day.proxies {
            if self.day.lists_zone(i, zone) {
                self.proxies[i].planner.update_members(now, ListForm::Delta, list.clone());
                self.run_orders(i);
            }
        }
    }

    /// What is wrong with a member, as this proxy and its location's caches meet it; `lot` decides on what is lost.
    pub(super) fn failure_mode(&self, i: usize, member: Addr, now: Micros, lot: f64) -> Option<FailureMode> {
        if self.day.cut.is_some_and(|(cut, from, to)| cut == i && (from..to).contains(&now)) {
            return Some(FailureMode::Kill);
        }
        let zone = self.day.zone_of(member)? as u16;
        let n = Micros::from(member.ip[3]);
        let strikes = |outage: &&Outage| match outage.failure_mode {
            _ if outage.zone != zone || !(outage.from..outage.to).contains(&now) => false,
            FailureMode::CutHalf => self.in_cut_half(i, zone),
            FailureMode::Drip => now >= outage.from + n * DRIP_INTERVAL,
            FailureMode::Lossy => lot < LOSS,
            FailureMode::OneBad => n == 0,
            _ => true,
        };
        Some(match self.day.outages.iter().find(strikes)?.failure_mode {
            FailureMode::OneBad | FailureMode::FailFast => FailureMode::FailFast,
            FailureMode::Slow => FailureMode::Slow,
            _ => FailureMode::Kill,
        })
    }

    /// Whether a proxy is in the half that does not reach the zone: of a hub every second location, of a location every
    /// second proxy.
    fn in_cut_half(&self, i: usize, zone: u16) -> bool {
        let locations = usize::from(self.day.locations);
        if zone >= self.day.locations {
            (i % locations).is_multiple_of(2)
        } else {
            (i / locations).is_multiple_of(2)
        }
    }

    /// Whether a proxy is cut off from everything, or was just now.
    pub(super) fn is_cut(&self, i: usize, now: Micros) -> bool {
        self.day.cut.is_some_and(|(cut, from, to)| cut == i && (from..to + CUT_GRACE).contains(&now))
    }

    /// A zone whose return came to the second step falls again, where the script says so.
    pub(super) fn fall_again(&mut self, zone: usize, state: State, step: u8) {
        let now = self.queue.now;
        for index in 0..self.day.outages.len() {
            let outage = self.day.outages[index];
            let twice = outage.failure_mode == FailureMode::KillTwice && usize::from(outage.zone) == zone;
            let returns = state == State::Returning && (2..RETURN_STEPS).contains(&step);
            if twice && now > outage.to && returns && !mem::replace(&mut self.again[index], true) {
                let to = now + SECOND_OUTAGE;
                self.day.outages.push(Outage { failure_mode: FailureMode::Kill, from: now, to, ..outage });
                self.again.push(false);
                self.queue.schedule(to, Event::Restart(outage.zone));
            }
        }
    }
}
