//! Tracks zones for the planner: what this proxy's own attempts showed of each zone, and how the fleet says
//! that each may be used.
//!
//! The module defines the types that the `zones` crate and the planner share. It expresses a zone's state in
//! terms that the router already knows: members that leave the list, that are suspected, or that started
//! recently. Which zones are taken out of use is decided elsewhere. A member that drains stays out of
//! service, whatever the state of its zone.

use nickelgate::{Addr, Completed, Entry, Event, Lifecycle, ListForm, Micros, Note, Outcome, Role, Settings};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What this proxy's attempts showed of a zone over the last two seconds. All numbers saturate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ZoneObservation {
    /// Index of the zone in the settings.
    pub zone: u16,
    /// Attempts that ended, or that were silent for longer than the limit of their class.
    pub attempts: u16,
    /// Number of those attempts that got no good answer in time.
    pub failed: u16,
    /// Number of members that the attempts went to.
    pub members: u16,
    /// Number of those members at which most attempts failed.
    pub bad_members: u16,
    /// Attempts sent in the two seconds, including those in flight.
    pub load: u16,
    /// Mean use that the zone's members reported, in 255ths; 0 if none was reported.
    pub mean_use: u8,
}

impl ZoneObservation {
    /// Returns whether most attempts failed, and did so at most of the members that were tried.
    pub fn is_failing(&self) -> bool {
        self.attempts > 0
            && u32::from(self.failed) * 2 > u32::from(self.attempts)
            && u32::from(self.bad_members) * 2 > u32::from(self.members)
    }
}

/// How a zone may be used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ZoneUse {
    /// Without restriction.
    #[default]
    Normal,
    /// Its members are suspected: a single failure of this proxy's own attempts is enough to avoid one.
    Suspected,
    /// As a zone that started recently and can carry this share, in thousandths, of what it carries when
    /// warm.
    Ramping(u16),
    /// As a warm zone. So few proxies try the zone at this time that all of them together send it less than
    /// it can carry while cold.
    Trial,
    /// No new requests are sent to the zone, and nothing is filled from it.
    Unused,
}

/// Span of one bucket of attempts.
const BUCKET_SPAN: Micros = 250_000;
/// Number of completed buckets that observations cover, besides the current one.
const MAX_BUCKETS: u64 = 8;
/// If a zone was tried in this many of the latest buckets, the older ones are ignored: the zone may have
/// failed since.
const RECENT_BUCKETS: u64 = 4;
/// How long the members of a suspected zone are suspected. The suspicion is renewed after half of that time.
const SUSPICION_SPAN: Micros = 2_000_000;
/// A ramp is corrected if it is ahead of the fleet's value by more than this many thousandths, or behind it
/// at all. The fleet's steps are eighths, and one more step may be on its way.
const MAX_RAMP_LEAD: u64 = 250;

/// Attempts at a member.
#[derive(Clone, Copy, Debug, Default)]
struct Attempts {
    total: u16,
    failed: u16,
}

/// This proxy's attempts within one `BUCKET_SPAN`.
#[derive(Clone, Debug, Default)]
struct Bucket {
    /// Number of the bucket: its start divided by `BUCKET_SPAN`.
    number: u64,
    members: BTreeMap<Addr, Attempts>,
    /// Attempts sent to each zone or filled from it.
    load: BTreeMap<u16, u16>,
    /// Reported use of each zone's members: the sum in 255ths, and the number of reports.
    reported_use: BTreeMap<u16, (u32, u32)>,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    member: Addr,
    source: Addr,
    sent_at: Micros,
    /// When the attempt starts to count as failed.
    slow_at: Micros,
    /// From this time on the attempt counts as failed if it is withdrawn because another attempt was quicker.
    beaten_at: Micros,
    /// Whether the attempt has been counted as failed.
    counted: bool,
}

/// Zone state of a planner. Its memory is bounded by the listed members, the attempts in flight and two
/// seconds of observations.
pub struct ZoneTracker {
    settings: Settings,
    list: BTreeMap<Addr, Entry>,
    uses: Vec<ZoneUse>,
    /// For each zone, the time of the last ramp value set by the fleet, and that value in thousandths of the
    /// way from cold to warm.
    ramps: Vec<Option<(Micros, u16)>>,
    /// When suspicions were last renewed.
    suspected_at: Micros,
    /// Attempts in flight by request id and attempt number.
    in_flight: BTreeMap<(u64, u16), InFlight>,
    /// When each member last gave a good answer.
    good_answer_at: BTreeMap<Addr, Micros>,
    /// When any member of each zone last gave a good answer.
    zone_good_answer_at: Vec<Micros>,
    buckets: VecDeque<Bucket>,
    shed: Shed,
}

impl ZoneTracker {
    /// Creates the state of a planner without members. `zones` is the number of zones in the settings.
    pub fn new(settings: Settings, zones: usize) -> ZoneTracker {
        ZoneTracker {
            shed: Shed::new(&settings),
            settings,
            list: BTreeMap::new(),
            uses: vec![ZoneUse::Normal; zones],
            ramps: vec![None; zones],
            suspected_at: 0,
            in_flight: BTreeMap::new(),
            good_answer_at: BTreeMap::new(),
            zone_good_answer_at: vec![0; zones],
            buckets: VecDeque::new(),
        }
    }

    /// Applies a change of the member list and returns the entries as the router is to see them.
    pub fn update_list(&mut self, form: ListForm, mut entries: Vec<Entry>) -> Vec<Entry> {
        if form != ListForm::Failed {
            if form != ListForm::Delta {
                self.list.retain(|a, _| entries.iter().any(|e| e.addr == *a));
            }
            for e in &entries {
                match e.state {
                    Lifecycle::Gone => self.list.remove(&e.addr),
                    _ => self.list.insert(e.addr, *e),
                };
            }
            let listed = &self.list;
            self.good_answer_at.retain(|a, _| listed.contains_key(a));
        }
        entries.iter_mut().for_each(|e| *e = self.effective_entry(*e));
        entries
    }

    /// Returns a member's entry as the router is to see it. A member that drains or is gone stays so,
    /// whatever the fleet says about its zone.
    fn effective_entry(&self, mut e: Entry) -> Entry {
        let z = usize::from(e.zone);
        let role = self.settings.role(&e);
        if role == Role::Origin || e.state != Lifecycle::Ready || z >= self.uses.len() {
            return e;
        }
        if self.uses[z] == ZoneUse::Unused {
            e.state = Lifecycle::Draining;
        }
        if let Some((at, ramp)) = self.ramps[z] {
            let warmed_span = self.cold_span(role) * Micros::from(ramp) / 1000;
            e.started_at = e.started_at.max(at.saturating_sub(warmed_span));
        }
        if self.uses[z] == ZoneUse::Trial {
            e.started_at = 0;
        }
        e
    }

    /// Returns how long a member of this role takes to become warm after a start.
    fn cold_span(&self, role: Role) -> Micros {
        if role == Role::Parent {
            self.settings.parent_cold_period
        } else {
            self.settings.cold_period
        }
    }

    /// Sets the fleet's decision on each zone and the share of requests to refuse, in thousandths. Returns
    /// the members that the router must be told about again, and the suspected members whose suspicion is due
    /// for renewal.
    pub fn apply_uses(
        &mut self,
        now: Micros,
        uses: &[ZoneUse],
        refused_per_mille: u16,
    ) -> (Vec<Entry>, Vec<Entry>) {
        self.shed.share_per_mille = refused_per_mille.min(1000);
        let mut changed = vec![false; self.uses.len()];
        for (z, new) in uses.iter().enumerate().take(self.uses.len()) {
            let old = std::mem::replace(&mut self.uses[z], *new);
            changed[z] = [ZoneUse::Unused, ZoneUse::Trial].iter().any(|u| (old == *u) != (*new == *u));
            if let ZoneUse::Ramping(p) = *new {
                let role =
                    self.list.values().find(|e| usize::from(e.zone) == z).map(|e| self.settings.role(e));
                let span = self.cold_span(role.unwrap_or_default()).max(1);
                let current_ramp =
                    self.ramps[z].map(|(at, p)| u64::from(p) + now.saturating_sub(at) * 1000 / span);
                let in_range = |s: u64| (u64::from(p)..=u64::from(p) + MAX_RAMP_LEAD).contains(&s);
                if !matches!(old, ZoneUse::Ramping(_)) || !current_ramp.is_some_and(in_range) {
                    self.ramps[z] = Some((now, p));
                    changed[z] = true;
                }
            }
        }
        let renew = now >= self.suspected_at + SUSPICION_SPAN / 2 && self.uses.contains(&ZoneUse::Suspected);
        if !renew && !changed.contains(&true) {
            return (Vec::new(), Vec::new());
        }
        let zone_matches = |e: &&Entry, which: &dyn Fn(usize) -> bool| {
            usize::from(e.zone) < self.uses.len() && which(usize::from(e.zone))
        };
        let updates: Vec<Entry> = self
            .list
            .values()
            .filter(|e| zone_matches(e, &|z| changed[z]))
            .map(|e| self.effective_entry(*e))
            .collect();
        let suspected: Vec<Entry> = self
            .list
            .values()
            .filter(|e| renew && zone_matches(e, &|z| self.uses[z] == ZoneUse::Suspected))
            .map(|e| self.effective_entry(*e))
            .collect();
        if !suspected.is_empty() {
            self.suspected_at = now;
        }
        (updates, suspected)
    }

    /// Returns whether a member started so recently that it is cold, as the router sees it.
    pub(crate) fn is_cold(&self, now: Micros, member: Addr) -> bool {
        let e = self.list.get(&member).map(|e| self.effective_entry(*e));
        e.is_some_and(|e| e.started_at > 0 && now < e.started_at + self.cold_span(self.settings.role(&e)))
    }

    /// Returns the event that makes the router suspect a member for `SUSPICION_SPAN`.
    pub fn suspicion_event(e: &Entry) -> Event {
        Event::Suspected { member: e.addr, incarnation: e.incarnation, valid_for: SUSPICION_SPAN }
    }

    /// Returns whether to refuse a request of this class at once, and counts it. While the own zone is out of
    /// use, the requests that cannot be carried elsewhere are refused this way, beginning with the classes of
    /// least value.
    pub fn should_refuse(&mut self, class: u8) -> bool {
        self.shed.should_refuse(usize::from(class))
    }

    /// Records that an attempt is sent.
    pub fn attempt_sent(&mut self, now: Micros, id: (u64, u16), class: u8, member: Addr, source: Addr) {
        let c = self.settings.classes.get(usize::from(class));
        // An answer after twice the target time, or half of the client's deadline, is as bad as none.
        let slow_span =
            c.map_or(Micros::MAX, |c| (2 * c.target_latency).min((c.deadline / 2).max(c.target_latency)));
        // The router starts no second attempt before a quarter of the target time, but a hedge that operators
        // have set may start earlier.
        let beaten_span = c.map_or(Micros::MAX, |c| c.target_latency / 4);
        let [slow_at, beaten_at] = [slow_span, beaten_span].map(|span| now.saturating_add(span));
        self.in_flight
            .insert(id, InFlight { member, source, sent_at: now, slow_at, beaten_at, counted: false });
        let zone = |a: &Addr| self.list.get(a).map(|e| e.zone);
        let through = [zone(&member), zone(&source).filter(|_| source != member)];
        let load = &mut self.current_bucket(now).load;
        for z in through.into_iter().flatten() {
            let n = load.entry(z).or_default();
            *n = n.saturating_add(1);
        }
    }

    /// Records the end of an attempt, and the load that the member reported with it.
    pub fn attempt_ended(&mut self, now: Micros, c: &Completed) {
        let Some(o) = self.in_flight.remove(&(c.request, c.attempt)) else { return };
        let filled = matches!(c.note, Note::Filled | Note::FilledOrigin | Note::Joined);
        let late = now >= o.slow_at;
        match c.outcome {
            Outcome::Ok | Outcome::Miss => {
                self.record_good_answer(now, o.member);
                // The time that a fill waited for its source is not the member's fault.
                let waited = filled && c.source_wait * 2 > c.elapsed;
                self.count_attempt(now, o.member, late && !waited);
                if filled && o.source != o.member {
                    self.record_good_answer(now, o.source);
                    self.count_attempt(now, o.source, late && waited);
                }
            }
            Outcome::Error
            | Outcome::Refused
            | Outcome::Timeout
            | Outcome::ConnectFailed
            | Outcome::Reset => {
                match c.note {
                    Note::SourceRefused | Note::SourceFailed => self.count_attempt(now, o.source, true),
                    // The origin belongs to no zone, and a member that is full is alive.
                    Note::OriginFailed | Note::SourceMiss | Note::FillSlotsFull => {}
                    _ if c.outcome == Outcome::Refused => {}
                    _ if !o.counted => self.count_failure(now, &o),
                    _ => {}
                }
            }
            // Withdrawn because it was silent, or because a second attempt, started for the same reason, was
            // quicker.
            Outcome::Cancelled if (!c.request_done || now >= o.beaten_at) && !o.counted => {
                self.count_failure(now, &o)
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        if let Some(cpu) = self.settings.columns.cpu.filter(|i| *i < usize::from(c.report.count.min(4))) {
            let used = (c.report.values[cpu].clamp(0.0, 1.0) * 255.0) as u32;
            if let Some(zone) = self.list.get(&o.member).map(|e| e.zone) {
                let (sum, n) = self.current_bucket(now).reported_use.entry(zone).or_default();
                (*sum, *n) = (sum.saturating_add(used.max(1)), n.saturating_add(1));
            }
        }
    }

    /// Records the time of a good answer for a member and its zone.
    fn record_good_answer(&mut self, now: Micros, a: Addr) {
        self.good_answer_at.insert(a, now);
        if let Some(at) =
            self.list.get(&a).and_then(|e| self.zone_good_answer_at.get_mut(usize::from(e.zone)))
        {
            *at = now;
        }
    }

    /// Counts an attempt without a good answer as a failure of the fill's source or else of the member. It is
    /// the source's failure if the member has given good answers since the attempt was sent. It is also the
    /// source's if the member's zone has given some since then and the source's zone has not, because in so
    /// short a time few of many members hear from a single proxy.
    fn count_failure(&mut self, now: Micros, o: &InFlight) {
        let answered_since = |a: &Addr| self.good_answer_at.get(a).is_some_and(|at| *at >= o.sent_at);
        let zone =
            |a: &Addr| self.list.get(a).and_then(|e| self.zone_good_answer_at.get(usize::from(e.zone)));
        let zone_answered = |a: &Addr| zone(a).is_none_or(|at| *at >= o.sent_at);
        let blame_source = o.source != o.member
            && (answered_since(&o.member) || zone_answered(&o.member) && !zone_answered(&o.source));
        self.count_attempt(now, if blame_source { o.source } else { o.member }, true);
    }

    /// Counts an attempt at a member in the current bucket.
    fn count_attempt(&mut self, now: Micros, member: Addr, failed: bool) {
        let t = self.current_bucket(now).members.entry(member).or_default();
        t.total = t.total.saturating_add(1);
        t.failed = t.failed.saturating_add(u16::from(failed));
    }

    /// Returns the bucket of the current time, and drops the buckets that are too old.
    fn current_bucket(&mut self, now: Micros) -> &mut Bucket {
        let number = now / BUCKET_SPAN;
        if self.buckets.back().is_none_or(|b| b.number < number) {
            self.buckets.push_back(Bucket { number, ..Bucket::default() });
        }
        while self.buckets.front().is_some_and(|b| b.number + MAX_BUCKETS < number) {
            self.buckets.pop_front();
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Returns what this proxy's attempts showed of each zone over the last two seconds. Attempts that have
    /// been silent for too long are counted as failed by this call.
    pub fn zone_observations(&mut self, now: Micros) -> Vec<ZoneObservation> {
        let silent: Vec<(u64, u16)> = self
            .in_flight
            .iter()
            .filter(|(_, o)| !o.counted && now >= o.slow_at)
            .map(|(id, _)| *id)
            .collect();
        for id in silent {
            if let Some(o) = self.in_flight.get_mut(&id) {
                o.counted = true;
                let o = *o;
                self.count_failure(now, &o);
            }
        }
        self.current_bucket(now);
        let recent_after = (now / BUCKET_SPAN).saturating_sub(RECENT_BUCKETS);
        let zone = |a: &Addr| self.list.get(a).map(|e| e.zone);
        let recent = self.buckets.iter().filter(|b| b.number > recent_after);
        let tried_recently: BTreeSet<u16> = recent.flat_map(|b| b.members.keys()).filter_map(zone).collect();
        let mut members: BTreeMap<Addr, Attempts> = BTreeMap::new();
        let mut zones: BTreeMap<u16, (ZoneObservation, u32, u32)> = BTreeMap::new();
        for b in &self.buckets {
            for (a, t) in &b.members {
                if b.number <= recent_after && zone(a).is_some_and(|z| tried_recently.contains(&z)) {
                    continue;
                }
                let all = members.entry(*a).or_default();
                all.total = all.total.saturating_add(t.total);
                all.failed = all.failed.saturating_add(t.failed);
            }
            for (z, n) in &b.load {
                let s = &mut zones.entry(*z).or_default().0;
                s.load = s.load.saturating_add(*n);
            }
            for (z, (sum, n)) in &b.reported_use {
                let (_, all, count) = zones.entry(*z).or_default();
                (*all, *count) = (all.saturating_add(*sum), count.saturating_add(*n));
            }
        }
        for (a, t) in members {
            let Some(e) = self.list.get(&a).filter(|e| self.settings.role(e) != Role::Origin) else {
                continue;
            };
            let s = &mut zones.entry(e.zone).or_default().0;
            s.attempts = s.attempts.saturating_add(t.total);
            s.failed = s.failed.saturating_add(t.failed);
            s.members = s.members.saturating_add(1);
            s.bad_members = s.bad_members.saturating_add(u16::from(t.failed * 2 > t.total));
        }
        let observation = |(zone, (s, sum, n)): (u16, (ZoneObservation, u32, u32))| {
            let mean_use = sum.checked_div(n).unwrap_or(0).min(255) as u8;
            ZoneObservation { zone, mean_use, ..s }
        };
        zones.into_iter().filter(|(z, _)| usize::from(*z) < self.uses.len()).map(observation).collect()
    }

    /// Returns the most recent start among the members of a zone that take requests.
    pub fn newest_start(&self, zone: u16) -> Option<Micros> {
        let ready = self.list.values().filter(|e| e.zone == zone && e.state == Lifecycle::Ready);
        ready.map(|e| e.started_at).filter(|s| *s > 0).max()
    }
}

/// Load shedding: refuses a share of the requests, beginning with the classes of least value.
#[derive(Clone, Debug, Default)]
struct Shed {
    /// Share of requests to refuse, in thousandths.
    share_per_mille: u16,
    /// Classes in order of value, the least first.
    order: Vec<usize>,
    /// Recent demand by class: a count of requests that decays with each request.
    demand: Vec<f64>,
    /// Fraction of a request that is yet to be refused, of the class that is refused in part.
    carry: f64,
}

/// Time constant of the decay of demand, in requests.
const DEMAND_DECAY_REQUESTS: f64 = 256.0;

impl Shed {
    fn new(s: &Settings) -> Shed {
        let mut order: Vec<usize> = (0..s.classes.len()).collect();
        order.sort_by(|a, b| s.classes[*a].value.total_cmp(&s.classes[*b].value).then(a.cmp(b)));
        Shed { demand: vec![0.0; s.classes.len()], order, ..Shed::default() }
    }

    /// Counts a request of a class and returns whether to refuse it.
    fn should_refuse(&mut self, class: usize) -> bool {
        if class >= self.demand.len() {
            return false;
        }
        self.demand.iter_mut().for_each(|n| *n *= 1.0 - 1.0 / DEMAND_DECAY_REQUESTS);
        self.demand[class] += 1.0;
        let mut to_refuse = f64::from(self.share_per_mille) / 1000.0 * self.demand.iter().sum::<f64>();
        for c in &self.order {
            if *c == class {
                self.carry += (to_refuse / self.demand[class]).clamp(0.0, 1.0);
                let refused = self.carry >= 1.0;
                self.carry -= f64::from(u8::from(refused));
                return refused;
            }
            to_refuse -= self.demand[*c];
        }
        false
    }
}
