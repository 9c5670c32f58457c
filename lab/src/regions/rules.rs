//! The rules that a day of the fleet is held against: where attempts go, how much a cold member gets, and what the moves of
//! zones leave in service.
use super::record::Leave;
use super::{Outage, Regions, ZoneState, BOOKINGS, MS, S, T0};
use nickelgate::{Addr, Micros};
use threadward_core::Dispatch;
use threadward_zones::map::Epoch;
use threadward_zones::state::{State, Status};

/// So long after a decision nothing new goes to a zone that is left; the same of a member that drains.
const GRACE: Micros = S;
/// Sends are counted as those of calm times from here to the first outage.
const CALM_FROM: Micros = T0 + 2 * S;

fn in_service(state: State) -> bool {
    matches!(state, State::In | State::Suspect)
}

fn is_left(state: State) -> bool {
    matches!(state, State::Leaving | State::Out)
}

impl Regions {
    /// An attempt goes to no member that drained, to no zone that was left, and a booking goes out once.
    pub(super) fn check_send(&mut self, i: usize, dispatch: &Dispatch) {
        for member in [Some(dispatch.member), dispatch.source].into_iter().flatten() {
            self.check_member(i, member);
        }
        let request = dispatch.request;
        if dispatch.client_request.class == BOOKINGS && !self.proxies[i].ran.insert(request) {
            self.report.rule_violations.push(format!("booking {request} of n{i} went out again"));
        }
    }

    fn check_member(&mut self, i: usize, member: Addr) {
        let now = self.queue.now;
        if self.leaving.get(&member).is_some_and(|at| now > at + GRACE) {
            self.report.rule_violations.push(format!("sent to {member:?} after its drain"));
        }
        let Some(zone) = self.day.zone_of(member) else { return };
        let ZoneState { state, since, .. } = self.states[zone];
        if is_left(state) && now > since + GRACE && !self.apart.contains(&i) && !self.is_cut(i, now) {
            let after = (now - since) / MS;
            self.report
                .rule_violations
                .push(format!("n{i} sent to zone {zone}, {state:?}, {after} ms after"));
        }
        if self.day.outages.iter().all(|outage| now < outage.from) && now > CALM_FROM {
            self.calm[zone] += 1.0;
        }
    }

    /// The rule on cold starts: in no span of `fall` more from all proxies together than the multiple of what the member
    /// can do by then; three deviations and three requests for chance.
    pub(super) fn check_cold(&mut self, member: Addr, units: f64) {
        let now = self.queue.now;
        let share = self.warm_share(member, now);
        let is_hub = member.ip[1] == 2;
        let settings = &self.settings;
        let multiple = if is_hub { settings.parent_overload_multiple } else { settings.overload_multiple };
        let fall = settings.overload_tolerance;
        let cold = self.stand_ins.get_mut(&member).filter(|stand_in| stand_in.since > 0 && share < 1.0);
        let Some(stand_in) = cold else { return };
        stand_in.sent.push_back((now, units));
        while stand_in.sent.front().is_some_and(|(at, _)| at + fall < now) {
            stand_in.sent.pop_front();
        }
        let allowed = multiple * share * stand_in.able * fall as f64 / S as f64;
        let sum: f64 = stand_in.sent.iter().map(|(_, work)| work).sum();
        if sum > allowed + 3.0 * allowed.sqrt() + 3.0 {
            let at = (now - T0) / MS;
            self.report.cold_overloads.push(format!("{member:?} got {sum:.1} of {allowed:.1} at {at}"));
        }
    }

    /// A proxy is the first to act on a map.
    pub(super) fn first_to_move(&mut self, i: usize, epoch: Epoch) {
        let Some(control) = &self.proxies[i].control else { return };
        let zones = control.zones.map().zones.clone();
        self.newest = epoch;
        for (zone, status) in zones.iter().enumerate() {
            let old = self.states[zone];
            if (status.state, status.step) != (old.state, old.step) {
                self.moved(i, epoch, zone, status);
            }
        }
        self.check_guard(&zones);
    }

    /// A zone was moved, as the proxy that acts on it first has it.
    fn moved(&mut self, i: usize, epoch: Epoch, zone: usize, status: &Status) {
        let now = self.queue.now;
        let old = self.states[zone];
        self.report.log.push(move_line(now, zone, &old, status));
        let since = if is_left(old.state) && is_left(status.state) { old.since } else { now };
        self.states[zone] = ZoneState { state: status.state, step: status.step, since };
        if status.state == State::Leaving {
            let acts = |p: usize| p != i && !self.apart.contains(&p) && !self.is_cut(p, now);
            let waits = (0..self.day.proxies).map(acts).collect();
            self.leaves.push(Leave { epoch, zone: zone as u16, at: now, waits, last: now });
        }
        self.fall_again(zone, status.state, status.step);
        if in_service(status.state) && !in_service(old.state) {
            self.returned(zone);
        }
    }

    /// A zone is in service again: how long that took since its outage, over the time in which its members get warm.
    fn returned(&mut self, zone: usize) {
        let now = self.queue.now;
        let over = |outage: &&Outage| usize::from(outage.zone) == zone && outage.to <= now;
        if let Some(outage) = self.day.outages.iter().filter(over).max_by_key(|outage| outage.to) {
            let is_location = zone < usize::from(self.day.locations);
            let cold = if is_location { self.settings.cold_period } else { self.settings.parent_cold_period };
            self.report.return_ratios.push((now - outage.to) as f64 / cold as f64);
        }
    }

    /// Not all of a kind is out, and what moves from those that are fits the others, as the stand-ins are.
    fn check_guard(&mut self, zones: &[Status]) {
        let locations = usize::from(self.day.locations);
        let now = (self.queue.now - T0) / MS;
        for kind in [0..locations, locations..zones.len()] {
            if kind.clone().all(|zone| !zones[zone].accepts_new_requests()) {
                self.report.guard_violations.push(format!("all of {kind:?} out at {now}"));
            }
        }
        let first = self.day.outages.iter().map(|outage| outage.from).min().unwrap_or(T0 + 10 * S);
        let span = first.saturating_sub(CALM_FROM) as f64 / S as f64;
        let hubs = locations..zones.len();
        let out = |zone: &usize| !in_service(zones[*zone].state);
        let moves =
            |zone: &usize| out(zone) && !self.is_harmed(*zone) && (*zone >= locations || self.day.direct);
        let moved: f64 = (0..zones.len())
            .filter(moves)
            .map(|zone| self.calm[zone] / span * f64::from(zones[zone].moved_permille) / 1000.0)
            .sum();
        let carried: f64 = hubs.clone().filter(|zone| !out(zone)).map(|zone| self.calm[zone] / span).sum();
        let able: f64 = hubs
            .filter(|zone| !out(zone))
            .map(|zone| self.calm[zone] / span * self.day.capacity_factors.1)
            .sum();
        if moved > 0.0 && moved + carried > able {
            self.report
                .guard_violations
                .push(format!("{moved:.0} moved to {carried:.0} of {able:.0} at {now}"));
        }
    }

    /// Whether an outage of a zone has begun. What is dead serves nothing: leaving it takes nothing from anybody.
    fn is_harmed(&self, zone: usize) -> bool {
        let begun = |outage: &Outage| usize::from(outage.zone) == zone && self.queue.now >= outage.from;
        self.day.outages.iter().any(begun)
    }
}

fn move_line(now: Micros, zone: usize, old: &ZoneState, status: &Status) -> String {
    format!(
        "{:6} ms zone {zone}: {:?} {} -> {:?} {} ({:?}, {} of {}, moved {}, refused {})",
        (now - T0) / MS,
        old.state,
        old.step,
        status.state,
        status.step,
        status.why,
        status.failing_proxies,
        status.trying_proxies,
        status.moved_permille,
        status.refused_permille
    )
}
