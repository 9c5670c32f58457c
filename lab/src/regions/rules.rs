//! The rules that the simulation checks: where attempts go, how much work a cold member gets, and which zones
//! stay in service.
use super::record::Leave;
use super::{Outage, Regions, ZoneState, BOOKINGS, MS, S, T0};
use nickelgate::{Addr, Micros};
use threadward_core::Dispatch;
use threadward_zones::map::Epoch;
use threadward_zones::state::{State, Status};

/// How long after the decision new attempts may still go to a zone that is being left, or to a draining
/// member.
const LEAVE_GRACE: Micros = S;
/// Start of the interval before the first outage in which the load without outages is counted.
const BASELINE_FROM: Micros = T0 + 2 * S;

/// Returns whether a zone in this state serves requests.
fn in_service(state: State) -> bool {
    matches!(state, State::In | State::Suspect)
}

/// Returns whether a zone in this state is out of use or being left.
fn is_left(state: State) -> bool {
    matches!(state, State::Leaving | State::Out)
}

impl Regions {
    /// Checks that an attempt goes neither to a draining member nor to a zone that was left, and that a
    /// booking isn't sent again after it may have been carried out.
    pub(super) fn check_send(&mut self, i: usize, dispatch: &Dispatch) {
        for member in [Some(dispatch.member), dispatch.source].into_iter().flatten() {
            self.check_member(i, member);
        }
        let request = dispatch.request;
        if dispatch.client_request.class == BOOKINGS && !self.proxies[i].may_have_run.insert(request) {
            self.report.rule_violations.push(format!("booking {request} of n{i} went out again"));
        }
    }

    /// Checks one target of an attempt, and counts the attempt if there was no outage yet.
    fn check_member(&mut self, i: usize, member: Addr) {
        let now = self.queue.now;
        if self.drained_at.get(&member).is_some_and(|at| now > at + LEAVE_GRACE) {
            self.report.rule_violations.push(format!("sent to {member:?} after its drain"));
        }
        let Some(zone) = self.day.zone_of(member) else { return };
        let ZoneState { state, since, .. } = self.states[zone];
        if is_left(state) && now > since + LEAVE_GRACE && !self.isolated.contains(&i) && !self.is_cut(i, now)
        {
            let after = (now - since) / MS;
            self.report
                .rule_violations
                .push(format!("n{i} sent to zone {zone}, {state:?}, {after} ms after"));
        }
        if self.day.outages.iter().all(|outage| now < outage.from) && now > BASELINE_FROM {
            self.sends_before_outages[zone] += 1.0;
        }
    }

    /// Records work sent to a member and checks the rule on cold starts: in no interval of
    /// `overload_tolerance` do all proxies together send a cold member more than the configured multiple of
    /// what it can do by then. Three standard deviations and three requests more are allowed for random
    /// variation.
    pub(super) fn check_cold(&mut self, member: Addr, units: f64) {
        let now = self.queue.now;
        let share = self.warm_share(member, now);
        let is_parent = member.ip[1] == 2;
        let settings = &self.settings;
        let multiple = if is_parent { settings.parent_overload_multiple } else { settings.overload_multiple };
        let tolerance = settings.overload_tolerance;
        let cold = self.stand_ins.get_mut(&member).filter(|stand_in| stand_in.since > 0 && share < 1.0);
        let Some(stand_in) = cold else { return };
        stand_in.sent.push_back((now, units));
        while stand_in.sent.front().is_some_and(|(at, _)| at + tolerance < now) {
            stand_in.sent.pop_front();
        }
        let allowed = multiple * share * stand_in.capacity * tolerance as f64 / S as f64;
        let sum: f64 = stand_in.sent.iter().map(|(_, work)| work).sum();
        if sum > allowed + 3.0 * allowed.sqrt() + 3.0 {
            let at = (now - T0) / MS;
            self.report.cold_overloads.push(format!("{member:?} got {sum:.1} of {allowed:.1} at {at}"));
        }
    }

    /// Records the changes of a map that a proxy is the first to act on, and checks them.
    pub(super) fn record_new_map(&mut self, i: usize, epoch: Epoch) {
        let Some(control) = &self.proxies[i].control else { return };
        let zones = control.zones.map().zones.clone();
        self.newest = epoch;
        for (zone, status) in zones.iter().enumerate() {
            let old = self.states[zone];
            if (status.state, status.step) != (old.state, old.step) {
                self.record_change(i, epoch, zone, status);
            }
        }
        self.check_guard(&zones);
    }

    /// Records the change of a zone's state, which `i` is the first proxy to act on.
    fn record_change(&mut self, i: usize, epoch: Epoch, zone: usize, status: &Status) {
        let now = self.queue.now;
        let old = self.states[zone];
        self.report.log.push(change_line(now, zone, &old, status));
        let since = if is_left(old.state) && is_left(status.state) { old.since } else { now };
        self.states[zone] = ZoneState { state: status.state, step: status.step, since };
        if status.state == State::Leaving {
            let has_to_act = |p: usize| p != i && !self.isolated.contains(&p) && !self.is_cut(p, now);
            let pending = (0..self.day.proxies).map(has_to_act).collect();
            self.leaves.push(Leave { epoch, zone: zone as u16, at: now, pending, last_acted_at: now });
        }
        self.fall_again(zone, status.state, status.step);
        if in_service(status.state) && !in_service(old.state) {
            self.record_return(zone);
        }
    }

    /// Records how long after its outage a zone is in service again, as a multiple of the cold period of its
    /// members.
    fn record_return(&mut self, zone: usize) {
        let now = self.queue.now;
        let over = |outage: &&Outage| usize::from(outage.zone) == zone && outage.to <= now;
        if let Some(outage) = self.day.outages.iter().filter(over).max_by_key(|outage| outage.to) {
            let is_location = zone < usize::from(self.day.locations);
            let cold = if is_location { self.settings.cold_period } else { self.settings.parent_cold_period };
            self.report.return_ratios.push((now - outage.to) as f64 / cold as f64);
        }
    }

    /// Checks that not all zones of a kind are out of use, and that the load that moves away from zones out
    /// of use fits the capacity of the simulated parents.
    fn check_guard(&mut self, zones: &[Status]) {
        let locations = usize::from(self.day.locations);
        let now = (self.queue.now - T0) / MS;
        for kind in [0..locations, locations..zones.len()] {
            if kind.clone().all(|zone| !zones[zone].accepts_new_requests()) {
                self.report.guard_violations.push(format!("all of {kind:?} out at {now}"));
            }
        }
        let first = self.day.outages.iter().map(|outage| outage.from).min().unwrap_or(T0 + 10 * S);
        let span = first.saturating_sub(BASELINE_FROM) as f64 / S as f64;
        let parents = locations..zones.len();
        let out = |zone: &usize| !in_service(zones[*zone].state);
        let moves =
            |zone: &usize| out(zone) && !self.has_failed(*zone) && (*zone >= locations || self.day.direct);
        let moved: f64 = (0..zones.len())
            .filter(moves)
            .map(|zone| {
                self.sends_before_outages[zone] / span * f64::from(zones[zone].moved_permille) / 1000.0
            })
            .sum();
        let carried: f64 = parents
            .clone()
            .filter(|zone| !out(zone))
            .map(|zone| self.sends_before_outages[zone] / span)
            .sum();
        let capacity: f64 = parents
            .filter(|zone| !out(zone))
            .map(|zone| self.sends_before_outages[zone] / span * self.day.capacity_factors.1)
            .sum();
        if moved > 0.0 && moved + carried > capacity {
            self.report
                .guard_violations
                .push(format!("{moved:.0} moved to {carried:.0} of {capacity:.0} at {now}"));
        }
    }

    /// Returns whether an outage of a zone has begun. A failed zone serves nothing, so leaving it takes no
    /// capacity away.
    fn has_failed(&self, zone: usize) -> bool {
        let begun = |outage: &Outage| usize::from(outage.zone) == zone && self.queue.now >= outage.from;
        self.day.outages.iter().any(begun)
    }
}

/// Returns a log line about the change of a zone's state.
fn change_line(now: Micros, zone: usize, old: &ZoneState, status: &Status) -> String {
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
