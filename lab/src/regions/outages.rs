//! Outages in a simulated fleet: members that restart or drain, proxies that are cut off, and how a member in
//! an outage behaves towards a proxy.
use super::stand_ins::StandIn;
use super::{Event, FailureMode, Outage, Proxy, Regions, MS, S};
use nickelgate::{Addr, Entry, Lifecycle, ListForm, Micros};
use std::mem;
use threadward_zones::state::{State, RETURN_STEPS};

/// Time between two members that stop answering in an outage that spreads through a zone.
const DRIP_INTERVAL: Micros = 100 * MS;
/// Share of the attempts that a lossy zone loses.
const LOSS_SHARE: f64 = 0.2;
/// Duration of the outage of a zone that fails again while it returns.
const SECOND_OUTAGE_DURATION: Micros = 10 * S;
/// How long after a cut a proxy may still act on an outdated map, since it has yet to receive the newest one.
const CUT_GRACE: Micros = 3 * S;

impl Regions {
    /// Cuts the proxy that decides on zones off from the other proxies.
    pub(super) fn lose_decider(&mut self) {
        let now = self.queue.now;
        let decides =
            |proxy: &Proxy| proxy.control.as_ref().is_some_and(|part| part.budgets.is_coordinator(now));
        if let Some(i) = self.proxies.iter().position(decides) {
            self.isolate(i);
        }
    }

    /// Cuts a proxy off from all other proxies. It still reaches its caches.
    fn isolate(&mut self, i: usize) {
        let others: Vec<usize> = (0..self.day.proxies).filter(|other| *other != i).collect();
        self.net.cut_groups(&[i], &others);
        self.isolated.push(i);
    }

    /// Restarts all members of a zone, empty and cold, and updates the member list of all proxies.
    pub(super) fn restart(&mut self, zone: u16) {
        let now = self.queue.now;
        for n in 0..self.day.members_in(zone) {
            let member = self.day.member(zone, n);
            let capacity = self.stand_ins[&member].capacity;
            self.stand_ins.insert(member, StandIn::started_anew(now, capacity));
        }
        let all = (0..self.day.members_in(zone)).map(|n| Entry {
            started_at: now,
            incarnation: now,
            ..self.day.entry(zone, n)
        });
        let list = all.filter(|entry| !self.drained_at.contains_key(&entry.addr)).collect();
        self.update_members_of(zone, list);
    }

    /// Marks a member as draining in the member list.
    pub(super) fn drain(&mut self, member: Addr) {
        self.drained_at.insert(member, self.queue.now);
        let (zone, n) = (u16::from(member.ip[2]), u16::from(member.ip[3]));
        self.update_members_of(zone, vec![Entry { state: Lifecycle::Draining, ..self.day.entry(zone, n) }]);
    }

    /// Updates members of a zone in the member list of every proxy that lists the zone.
    fn update_members_of(&mut self, zone: u16, list: Vec<Entry>) {
        let now = self.queue.now;
        for i in 0..self.day.proxies {
            if self.day.lists_zone(i, zone) {
                self.proxies[i].planner.update_members(now, ListForm::Delta, list.clone());
                self.run_orders(i);
            }
        }
    }

    /// Returns how a member currently fails towards a proxy and its location's caches. `loss_draw` decides
    /// whether an attempt at a lossy zone is lost.
    pub(super) fn failure_of(
        &self,
        i: usize,
        member: Addr,
        now: Micros,
        loss_draw: f64,
    ) -> Option<FailureMode> {
        if self.day.cut.is_some_and(|(cut, from, to)| cut == i && (from..to).contains(&now)) {
            return Some(FailureMode::Kill);
        }
        let zone = self.day.zone_of(member)? as u16;
        let n = Micros::from(member.ip[3]);
        let applies = |outage: &&Outage| match outage.failure_mode {
            _ if outage.zone != zone || !(outage.from..outage.to).contains(&now) => false,
            FailureMode::CutHalf => self.in_cut_half(i, zone),
            FailureMode::Drip => now >= outage.from + n * DRIP_INTERVAL,
            FailureMode::Lossy => loss_draw < LOSS_SHARE,
            FailureMode::OneBad => n == 0,
            _ => true,
        };
        Some(match self.day.outages.iter().find(applies)?.failure_mode {
            FailureMode::OneBad | FailureMode::FailFast => FailureMode::FailFast,
            FailureMode::Slow => FailureMode::Slow,
            _ => FailureMode::Kill,
        })
    }

    /// Returns whether a proxy is in the half that can't reach the zone: for a parent every second location,
    /// for a location every second proxy in it.
    fn in_cut_half(&self, i: usize, zone: u16) -> bool {
        let locations = usize::from(self.day.locations);
        if zone >= self.day.locations {
            (i % locations).is_multiple_of(2)
        } else {
            (i / locations).is_multiple_of(2)
        }
    }

    /// Returns whether a proxy is cut off from everything, or was until recently.
    pub(super) fn is_cut(&self, i: usize, now: Micros) -> bool {
        self.day.cut.is_some_and(|(cut, from, to)| cut == i && (from..to + CUT_GRACE).contains(&now))
    }

    /// Makes a zone fail again once its return has reached the second step, if the scenario says so.
    pub(super) fn fall_again(&mut self, zone: usize, state: State, step: u8) {
        let now = self.queue.now;
        for index in 0..self.day.outages.len() {
            let outage = self.day.outages[index];
            let fails_twice =
                outage.failure_mode == FailureMode::KillTwice && usize::from(outage.zone) == zone;
            let returns = state == State::Returning && (2..RETURN_STEPS).contains(&step);
            if fails_twice && now > outage.to && returns && !mem::replace(&mut self.failed_again[index], true)
            {
                let to = now + SECOND_OUTAGE_DURATION;
                self.day.outages.push(Outage { failure_mode: FailureMode::Kill, from: now, to, ..outage });
                self.failed_again.push(false);
                self.queue.schedule(to, Event::Restart(outage.zone));
            }
        }
    }
}
