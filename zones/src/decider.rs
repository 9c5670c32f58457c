//! The decider. It first learns from a majority of the voters which map they accepted last. Then it evaluates
//! the reports and proposes one map after another.
//!
//! It only acts on its own proposal once a majority of the voters accepted it, and never has two open
//! proposals.
use crate::guard::{self, ZoneLoad};
use crate::judge::{Reports, ZoneHealth, LIVENESS_TIMEOUT, REPORT_VALIDITY};
use crate::map::{Epoch, Map};
use crate::state::{self, Context, State, Status};
use crate::{Author, Counters, Kind, Settings, ZoneObservation, RESEND_INTERVAL};
use nickelgate::Micros;
use std::collections::BTreeMap;
use std::mem::discriminant;

/// Time after which a proposal that no majority accepted may be ruled out by a promise to another decider:
/// several round trips.
const PROPOSAL_STUCK_AFTER: Micros = 3 * RESEND_INTERVAL;
/// Map numbers increase in small steps. A number that is larger than all known ones by more than this is a
/// lie, which could use up the numbers.
const MAX_NUMBER_JUMP: u64 = 1 << 32;

/// The health of a zone at the last evaluation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct TrackedHealth {
    health: ZoneHealth,
    /// When the health last changed its kind.
    health_since: Micros,
    /// When the health last changed between impaired (degraded or failing) and not impaired.
    impairment_changed_at: Micros,
    /// Whether the capacity guard keeps the zone in service although it fails.
    kept_by_guard: bool,
}

impl TrackedHealth {
    /// Nothing is known from now on.
    fn unknown(now: Micros) -> TrackedHealth {
        TrackedHealth {
            health: ZoneHealth::Unknown,
            health_since: now,
            impairment_changed_at: now,
            kept_by_guard: false,
        }
    }
}

/// What the instance does as a decider.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
enum Phase {
    /// It is not the decider.
    #[default]
    Following,
    /// It collects promises. The voters that promised are two bit sets: those that accepted a map since their
    /// start, and those that did not.
    Preparing {
        began: Micros,
        /// Voters that remember a map.
        remembering: u8,
        /// Voters that accepted no map since they started.
        restarted: u8,
        /// The latest map that a voter returned.
        latest: Map,
        next_send: Micros,
    },
    /// It decides.
    Leading,
}

/// The map that is proposed at the moment.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proposal {
    map: Map,
    /// The voters that accepted it, one bit each.
    accepted_by: u8,
    began: Micros,
    next_send: Micros,
}

/// A message to a voter.
pub(crate) enum VoterRequest {
    /// The voter, and the number to prepare.
    Prepare(u16, u64),
    /// The voter, and the proposed map.
    Propose(u16, Map),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Decider {
    phase: Phase,
    /// The largest map number that this incarnation prepared or proposed. No number is used twice.
    number: u64,
    reports: Reports,
    /// Proxies that report to another incarnation of the decider: when, and the number of the map that they
    /// act on.
    following_others: BTreeMap<u16, (Micros, u64)>,
    /// When the current map was last announced to a proxy.
    announced_at: BTreeMap<u16, Micros>,
    loads: Vec<ZoneLoad>,
    tracked: Vec<TrackedHealth>,
    /// For each zone, when the member that started last did so.
    newest_start: Vec<Option<Micros>>,
    proposal: Option<Proposal>,
    next_due: Micros,
}

/// Returns the zones as the capacity guard should see them: a zone that has just returned takes no load of
/// other zones until it has been in service for as long as the first hold.
fn zones_for_guard(zones: &[Status], now: Micros) -> Vec<Status> {
    let just_returned =
        |z: &&mut Status| z.state == State::In && z.return_started > 0 && now < z.since + state::FIRST_HOLD;
    let mut adjusted = zones.to_vec();
    adjusted.iter_mut().filter(just_returned).for_each(|z| z.state = State::Returning);
    adjusted
}

impl Decider {
    pub fn new(zones: usize) -> Decider {
        Decider {
            phase: Phase::Following,
            number: 0,
            reports: Reports::default(),
            following_others: BTreeMap::new(),
            announced_at: BTreeMap::new(),
            loads: vec![ZoneLoad::default(); zones],
            tracked: vec![TrackedHealth::unknown(0); zones],
            newest_start: vec![None; zones],
            proposal: None,
            next_due: 0,
        }
    }

    /// Ends the work as decider, if it had begun, and drops the proposal that no majority accepted.
    pub fn stop(&mut self) {
        if self.phase != Phase::Following {
            // The reports are kept: otherwise a late report of an earlier incarnation would be taken for the
            // newest.
            let old = std::mem::replace(self, Decider::new(self.loads.len()));
            (self.newest_start, self.number, self.loads, self.reports) =
                (old.newest_start, old.number, old.loads, old.reports);
        }
    }

    /// Returns whether the promises are complete, so that this decider makes maps.
    pub fn leads(&self) -> bool {
        self.phase == Phase::Leading
    }

    /// Stores when the member of a zone that started last did so.
    pub fn set_newest_start(&mut self, zone: usize, newest: Option<Micros>) {
        if let Some(n) = self.newest_start.get_mut(zone) {
            *n = newest;
        }
    }

    /// Returns when [`Decider::run`] has something to do next.
    pub fn next_due(&self) -> Micros {
        if self.phase == Phase::Following {
            Micros::MAX
        } else {
            self.next_due
        }
    }

    /// Stores a report. Returns false for an outdated report and for one to another incarnation of the
    /// decider; their senders get the map nevertheless.
    #[allow(clippy::too_many_arguments)]
    pub fn record_report(
        &mut self,
        now: Micros,
        me: Author,
        by: Author,
        seq: u32,
        to_incarnation: u64,
        map: (u64, u64),
        own_zone: u16,
        observed: Vec<ZoneObservation>,
    ) -> bool {
        if to_incarnation != me.incarnation {
            self.following_others.insert(by.index, (now, map.0));
            return false;
        }
        self.following_others.remove(&by.index);
        self.reports.record(now, by, seq, map, own_zone, observed)
    }

    /// Handles a voter's promise. It counts if it is for the number that this decider prepared; otherwise a
    /// larger number is prepared. While leading, a promise to another decider that rules out a stuck proposal
    /// makes this one prepare again.
    pub fn handle_promise(
        &mut self,
        now: Micros,
        me: Author,
        promised_epoch: Epoch,
        bit: u8,
        no_map_since_start: bool,
        map: Map,
    ) {
        let stuck = self.proposal.as_ref().is_none_or(|p| now >= p.began + PROPOSAL_STUCK_AFTER);
        let prepared = Epoch { number: self.number, incarnation: me.incarnation };
        let implausible =
            promised_epoch.number.max(map.epoch.number) > self.number.saturating_add(MAX_NUMBER_JUMP);
        match &mut self.phase {
            _ if implausible => {}
            Phase::Preparing { remembering, restarted, latest, .. } if promised_epoch == prepared => {
                *(if no_map_since_start { restarted } else { remembering }) |= bit;
                if map.epoch > latest.epoch {
                    *latest = map;
                }
            }
            Phase::Preparing { remembering, restarted, next_send, .. }
                if promised_epoch.number + 2 > self.number =>
            {
                self.number = promised_epoch.number + 2;
                (*remembering, *restarted, *next_send) = (0, 0, now);
            }
            // That voter can no longer accept the proposal: the decider starts again with a prepare request.
            Phase::Leading
                if stuck && self.proposal.as_ref().is_some_and(|p| promised_epoch > p.map.epoch) =>
            {
                self.number = self.number.max(promised_epoch.number);
                (self.phase, self.proposal) = (Phase::Following, None);
            }
            _ => {}
        }
    }

    /// Counts that a voter accepted the open proposal.
    pub fn handle_accepted(&mut self, epoch: Epoch, bit: u8) {
        if let Some(p) = self.proposal.as_mut().filter(|p| p.map.epoch == epoch) {
            p.accepted_by |= bit;
        }
    }

    /// Takes the open proposal out and returns its map, once a majority of the voters accepted it.
    pub fn take_accepted(&mut self, voters: usize) -> Option<Map> {
        let p = self.proposal.take_if(|p| p.accepted_by.count_ones() as usize * 2 > voters)?;
        Some(p.map)
    }

    /// Does what is due now: begins to prepare, begins to lead once the promises are complete, evaluates the
    /// zones. Returns the messages to the voters.
    pub fn run(
        &mut self,
        now: Micros,
        s: &Settings,
        map: &Map,
        counters: &mut Counters,
    ) -> Vec<VoterRequest> {
        let voters_without =
            |bits: u8| s.voters.iter().enumerate().filter(move |(i, _)| bits >> i & 1 == 0).map(|(_, v)| *v);
        if self.phase == Phase::Following {
            self.number = self.number.max(map.epoch.number) + 2;
            self.phase = Phase::Preparing {
                began: now,
                remembering: 0,
                restarted: 0,
                latest: map.clone(),
                next_send: now,
            };
        }
        let mut requests = Vec::new();
        if let Phase::Preparing { began, remembering, restarted, latest, next_send } = &mut self.phase {
            let voters_in = |bits: u8| bits.count_ones() as usize;
            let (remembering, promised, all) = (*remembering, *remembering | *restarted, s.voters.len());
            // Every voter answered, so that no other could remember a later map; or a majority answered and
            // the others have been silent for so long that they count as gone too.
            let forgotten =
                voters_in(promised) == all || voters_in(promised) * 2 > all && now >= *began + 2 * s.lease;
            if voters_in(remembering) * 2 > all || forgotten {
                let epoch = Epoch { number: self.number, incarnation: s.me.incarnation };
                let map = Map { epoch, zones: latest.zones.clone() };
                self.proposal = Some(Proposal { map, accepted_by: 0, began: now, next_send: now });
                self.phase = Phase::Leading;
                self.tracked.fill(TrackedHealth::unknown(now));
            } else {
                if now >= *next_send {
                    *next_send = now + RESEND_INTERVAL;
                    requests
                        .extend(voters_without(remembering).map(|to| VoterRequest::Prepare(to, self.number)));
                }
                self.next_due = *next_send;
                return requests;
            }
        }
        // Nothing is evaluated before a majority accepted this decider's first map, the one from which it
        // continues.
        if self.proposal.is_none() && map.epoch.incarnation == s.me.incarnation && now >= self.next_due {
            self.next_due = now + RESEND_INTERVAL;
            self.evaluate_zones(now, s, map, counters);
        }
        if let Some(p) = self.proposal.as_mut() {
            if now >= p.next_send {
                p.next_send = now + RESEND_INTERVAL;
                requests
                    .extend(voters_without(p.accepted_by).map(|to| VoterRequest::Propose(to, p.map.clone())));
            }
            self.next_due = p.next_send;
        }
        requests
    }

    /// Evaluates every zone, beginning with the one that fails for the largest part of the proxies, and
    /// proposes one map with all transitions that are due.
    fn evaluate_zones(&mut self, now: Micros, s: &Settings, map: &Map, counters: &mut Counters) {
        let mut zones = map.zones.clone();
        let mut order = Vec::new();
        // While a zone is out, the others carry its load. Their own load can only be measured while all are
        // in service.
        let all_in_service = zones.iter().all(|z| matches!(z.state, State::In | State::Suspect));
        for (z, status) in zones.iter().enumerate() {
            let drawn = |p: u16| status.is_prober(p);
            let by: Option<&dyn Fn(u16) -> bool> = (status.state == State::Probing).then_some(&drawn);
            let health = self.reports.health(now, z as u16, by);
            let tracked = &mut self.tracked[z];
            let impaired = |v: &ZoneHealth| matches!(v, ZoneHealth::Degraded(..) | ZoneHealth::Failing(..));
            if discriminant(&tracked.health) != discriminant(&health) {
                tracked.health_since = now;
            }
            if impaired(&tracked.health) != impaired(&health) {
                tracked.impairment_changed_at = now;
            }
            tracked.health = health;
            // A decider that began while a zone already failed has no better estimate than the load that goes
            // there now.
            if all_in_service && (matches!(health, ZoneHealth::Healthy(..)) || self.loads[z].load == 0) {
                let (load, capacity) = self.reports.load_and_capacity(now, z as u16);
                self.loads[z].update(load, capacity);
            }
            let (failing, trying) = health.counts();
            order.push((std::cmp::Reverse(u32::from(failing) * 1000 / u32::from(trying.max(1))), z));
        }
        order.sort_unstable();
        self.following_others.retain(|_, (at, _)| now < *at + LIVENESS_TIMEOUT);
        let all_acted = self.following_others.is_empty()
            && self.reports.live(now).all(|(_, h)| h.map_number == map.epoch.number);
        // If all voters forgot a map that proxies still act on, those proxies never go back to an earlier
        // one, so the next map gets a larger number than theirs. The second largest number counts, since one
        // proxy may lie.
        let mut later: Vec<u64> = self.following_others.values().map(|(_, number)| *number).collect();
        later.sort_unstable();
        let later = later.iter().rev().nth(1).copied().unwrap_or(0);
        let mut changed = later >= map.epoch.number && later - map.epoch.number < MAX_NUMBER_JUMP;
        if changed {
            self.number = self.number.max(later);
        }
        for (failing_permille, z) in order {
            let status = zones[z];
            let TrackedHealth { health, health_since, impairment_changed_at, kept_by_guard } =
                self.tracked[z];
            let newest_start = self.newest_start[z].unwrap_or(0);
            let same_region = |o: usize| o != z && s.zones[o].region == s.zones[z].region;
            let guarded = zones_for_guard(&zones, now);
            let leave_plan = |served| guard::leave_plan(&s.zones, &guarded, &self.loads, z, served);
            let context = Context {
                health_since,
                impairment_changed_at,
                all_acted,
                leave_plan: leave_plan(1000 - failing_permille.0),
                may_leave_if_idle: leave_plan(0).is_some(),
                members_restarted: newest_start > status.since,
                members_cold: newest_start > 0 && now < newest_start + s.zones[z].warm_up,
                warm_up: s.zones[z].warm_up,
                region_leaving: (0..zones.len())
                    .any(|o| same_region(o) && matches!(zones[o].state, State::Leaving | State::Out)),
            };
            let keep = matches!(status.state, State::In | State::Suspect)
                && now >= health_since + state::CONFIRMATION_TIME
                && matches!(health, ZoneHealth::Failing(..))
                && context.leave_plan.is_none();
            self.tracked[z].kept_by_guard = keep;
            counters.kept_by_guard += u64::from(keep && !kept_by_guard);
            let Some(mut to) = state::next_status(&status, &health, &context, now) else { continue };
            if to.state == State::Probing {
                let uses_zone = |h: u16| s.zones[z].kind == Kind::Parent || usize::from(h) == z;
                let proxies = self.reports.live(now).filter(|(_, h)| uses_zone(h.own_zone)).count();
                if proxies == 0 {
                    continue;
                }
                to.probers_permille = status.prober_permille(self.loads[z].load, proxies as u32);
                to.prober_seed = self.number as u16 ^ (z as u16) << 8;
            }
            counters.zones_left += u64::from(to.state == State::Leaving);
            if to.state != status.state {
                // Evidence from the previous state does not count in the next one.
                self.tracked[z] = TrackedHealth::unknown(now);
            }
            (zones[z], changed) = (to, true);
        }
        if changed {
            self.number = self.number.max(map.epoch.number) + 1;
            let epoch = Epoch { number: self.number, incarnation: s.me.incarnation };
            self.proposal =
                Some(Proposal { map: Map { epoch, zones }, accepted_by: 0, began: now, next_send: now });
        }
    }

    /// Returns the proxies that act on another map than this and to which it was not announced within
    /// [`RESEND_INTERVAL`], and notes that it is announced to them now. `only` restricts this to one proxy.
    pub fn take_outdated(&mut self, now: Micros, map: &Map, me: u16, only: Option<u16>) -> Vec<u16> {
        self.following_others.retain(|_, (at, _)| now < *at + LIVENESS_TIMEOUT);
        self.announced_at.retain(|_, at| now < *at + REPORT_VALIDITY);
        let reports =
            self.reports.live(now).filter(|(_, h)| h.map_number != map.epoch.number).map(|(p, _)| p);
        let mut outdated: Vec<u16> = reports.chain(self.following_others.keys().copied()).collect();
        outdated.retain(|p| *p != me && only.is_none_or(|o| o == *p));
        outdated.retain(|p| self.announced_at.get(p).is_none_or(|at| now >= at + RESEND_INTERVAL));
        for p in &outdated {
            self.announced_at.insert(*p, now);
        }
        outdated
    }
}
