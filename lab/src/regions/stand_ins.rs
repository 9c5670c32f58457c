//! Simulated caches, parents and the origin, and how they answer attempts.
//!
//! They answer with the delays of `fleet.rs`. A simulated member takes up a burst of two seconds of its
//! capacity at once; work beyond that is queued, and refused if the queue is too long. A restarted member
//! stores nothing and has the reduced capacity that the settings state.
use super::{Day, Event, FailureMode, Regions, BOOKINGS, MS, S};
use crate::day::ORIGIN;
use crate::draw;
use nickelgate::{Addr, Micros, Note, Outcome, Report};
use std::collections::{BTreeMap, HashSet, VecDeque};
use threadward_core::{AttemptEnd, Body, CacheAnswer, Dispatch, Payload, Progress};

/// Mean sending time of each class.
const SENDING_TIMES: [Micros; 3] = [90 * MS, 20 * MS, 5 * MS];
/// Mean sending time over all classes, weighted by how often they are requested.
const MEAN_SENDING_TIME: f64 = 43.75 * MS as f64;
/// Work that a simulated member takes up at once, as time at its full capacity.
const BURST: Micros = 2 * S;
/// Queued work, as time at full capacity, beyond which a simulated member refuses requests.
const MAX_QUEUE: Micros = 3 * S;
/// Additional delay of a slow member.
const SLOW_MEMBER_DELAY: Micros = 1_500 * MS;
/// Share of all objects that a warm cache stores.
const CACHE_STORED_SHARE: f64 = 0.7;
/// Share of all objects that a warm parent stores.
const PARENT_STORED_SHARE: f64 = 0.6;

/// A simulated cache, parent or origin.
#[derive(Default)]
pub(super) struct StandIn {
    /// When it restarted; 0 if it has been running for long and is warm.
    pub since: Micros,
    /// Objects that were filled during the simulation.
    filled: HashSet<u64>,
    /// Work per second when warm, in requests of mean size.
    pub capacity: f64,
    /// When all queued work will be done.
    free_at: Micros,
    /// The second in which work last arrived.
    second: Micros,
    /// Work of that second and of the one before.
    used: [f64; 2],
    /// Work that all proxies sent in the last `overload_tolerance` while the member was cold: when, and how
    /// much.
    pub sent: VecDeque<(Micros, f64)>,
}

impl StandIn {
    /// Creates a member that restarts, empty and cold.
    pub fn started_anew(since: Micros, capacity: f64) -> StandIn {
        StandIn { since, capacity, ..StandIn::default() }
    }
}

/// Creates all members, with a capacity that is a multiple of their load without outages.
pub(super) fn stand_ins(day: &Day) -> BTreeMap<Addr, StandIn> {
    let all = day.proxies as f64 * day.requests_per_s;
    // Three in ten requests are filled at a parent, and four in ten of those from the origin, as bookings
    // are.
    let fills = all * 0.95 * 0.3;
    let cache = all / f64::from(day.locations) / f64::from(day.members.0) * day.capacity_factors.0;
    let parent = fills / f64::from(day.parents) / f64::from(day.members.1) * day.capacity_factors.1;
    let mut stand_ins = BTreeMap::new();
    for zone in 0..day.zone_count() {
        let capacity = if zone < day.locations { cache } else { parent };
        for n in 0..day.members_in(zone) {
            stand_ins.insert(day.member(zone, n), StandIn { capacity, ..StandIn::default() });
        }
    }
    let capacity = (fills * 0.4 + all * 0.05) * 3.0;
    stand_ins.insert(ORIGIN, StandIn { capacity, ..StandIn::default() });
    stand_ins
}

/// Returns whether a member is a cache of a location.
fn is_cache(member: Addr) -> bool {
    member.ip[1] == 1
}

/// Returns the additional delay of a member that fails in this way.
fn slowness(failure_mode: Option<FailureMode>) -> Micros {
    if failure_mode == Some(FailureMode::Slow) {
        SLOW_MEMBER_DELAY
    } else {
        0
    }
}

/// Maps a draw from 0 to 1 to a duration.
fn between(draw: f64, shortest: Micros, longest: Micros) -> Micros {
    shortest + (draw * (longest - shortest) as f64) as Micros
}

/// An attempt at a simulated member, with its random draws.
struct Attempt<'a> {
    proxy: usize,
    dispatch: &'a Dispatch,
    /// Its work, in requests of mean size.
    units: f64,
    /// How long the member itself takes.
    own_delay: Micros,
    /// The draw that decides how long a fill takes.
    fill_draw: f64,
    /// The draw that decides whether a lossy member loses the attempt.
    member_loss_draw: f64,
    /// The draw that decides whether a lossy source loses the fill.
    source_loss_draw: f64,
}

impl Attempt<'_> {
    /// Each draw depends on the request, the attempt and the member, so two runs of one seed differ only
    /// where decisions do.
    fn new(seed: u64, proxy: usize, dispatch: &Dispatch) -> Attempt<'_> {
        let sending_time = SENDING_TIMES[usize::from(dispatch.client_request.class)];
        let member = u64::from(u32::from_be_bytes(dispatch.member.ip));
        let attempt = u64::from(dispatch.attempt);
        let random = |purpose: u64| draw(&[seed, proxy as u64, dispatch.request, attempt, member, purpose]);
        Attempt {
            proxy,
            dispatch,
            units: sending_time as f64 / MEAN_SENDING_TIME,
            own_delay: between(random(0), 8 * MS, 30 * MS)
                + (sending_time as f64 * (0.5 + random(1))) as Micros,
            fill_draw: random(2),
            member_loss_draw: random(3),
            source_loss_draw: random(4),
        }
    }
}

/// How an attempt ends, and after what time.
struct Reply {
    after: Micros,
    end: AttemptEnd,
}

impl Reply {
    /// The connection broke.
    fn connection_broken() -> Reply {
        Reply { after: 5 * MS, end: AttemptEnd::ConnectionFailed(Progress::FullyWritten) }
    }

    /// The member answered.
    fn answered(after: Micros, outcome: Outcome, note: Note, waited: Micros, busy: f32) -> Reply {
        let body = Payload { body: Body::from_range(vec![1], 0..1), tag: "t".into(), unchanged: false };
        let payload = (outcome == Outcome::Ok).then_some(body);
        let report = Report { count: 1, values: [busy, 0.0, 0.0, 0.0] };
        Reply {
            after,
            end: AttemptEnd::Answered(CacheAnswer { outcome, note, source_wait: waited, report, payload }),
        }
    }
}

impl Regions {
    /// Handles an attempt that reaches a simulated member: checks it against the rules and schedules its end.
    pub(super) fn send(&mut self, i: usize, dispatch: &Dispatch) {
        let (request, attempt) = (dispatch.request, dispatch.attempt);
        self.report.attempts += 1;
        self.proxies[i].in_flight.insert((request, attempt));
        self.check_send(i, dispatch);
        let reply = self.answer(&Attempt::new(self.day.seed, i, dispatch));
        if let Some(Reply { after, end }) = reply {
            self.queue.schedule(self.queue.now + after, Event::End(i, request, attempt, Box::new(end)));
        }
    }

    /// Returns how an attempt ends; `None` if the member doesn't answer.
    fn answer(&mut self, attempt: &Attempt) -> Option<Reply> {
        let Dispatch { member, request, client_request: ref ask, .. } = *attempt.dispatch;
        let failure_mode = self.failure_of(attempt.proxy, member, self.queue.now, attempt.member_loss_draw);
        match failure_mode {
            Some(FailureMode::Kill) => return None,
            Some(FailureMode::FailFast) => return Some(Reply::connection_broken()),
            _ => {}
        }
        self.check_cold(member, attempt.units);
        let (wait, busy) = match self.add_work(member, attempt.units) {
            Ok(taken) => taken,
            Err(busy) => {
                self.proxies[attempt.proxy].may_have_run.remove(&request);
                return Some(Reply::answered(2 * MS, Outcome::Refused, Note::None, 0, busy));
            }
        };
        let near = attempt.own_delay + wait + slowness(failure_mode);
        if member == ORIGIN {
            return Some(Reply::answered(near, Outcome::Ok, Note::None, 0, busy));
        }
        let holds = if is_cache(member) { CACHE_STORED_SHARE } else { PARENT_STORED_SHARE };
        if ask.class != BOOKINGS && self.fetch(member, ask.object, holds) {
            return Some(Reply::answered(near, Outcome::Ok, Note::Hit, 0, busy));
        }
        match attempt.dispatch.source.filter(|source| *source != member) {
            Some(source) => self.fill(attempt, source, near, busy),
            None => Some(self.without_source(attempt, near, busy)),
        }
    }

    /// Answers an attempt without a source: a parent fills from the origin, a cache answers with a miss.
    fn without_source(&mut self, attempt: &Attempt, near: Micros, busy: f32) -> Reply {
        let Dispatch { member, request, .. } = *attempt.dispatch;
        if is_cache(member) {
            self.remove_filled(attempt);
            self.proxies[attempt.proxy].may_have_run.remove(&request);
            return Reply::answered(near / 4, Outcome::Miss, Note::None, 0, busy);
        }
        let fill = between(attempt.fill_draw, 80 * MS, 200 * MS) + self.wait_at_origin(attempt.units);
        Reply::answered(near + fill, Outcome::Ok, Note::FilledOrigin, fill, busy)
    }

    /// Fills the member from a source, which is a parent or the origin.
    fn fill(&mut self, attempt: &Attempt, source: Addr, near: Micros, busy: f32) -> Option<Reply> {
        let failure_mode = self.failure_of(attempt.proxy, source, self.queue.now, attempt.source_loss_draw);
        if failure_mode == Some(FailureMode::Kill) {
            self.remove_filled(attempt);
            return None;
        }
        if failure_mode == Some(FailureMode::FailFast) {
            self.remove_filled(attempt);
            return Some(Reply::answered(10 * MS, Outcome::Error, Note::SourceFailed, 5 * MS, busy));
        }
        self.check_cold(source, attempt.units);
        let Ok((wait, _)) = self.add_work(source, attempt.units) else {
            self.remove_filled(attempt);
            return Some(Reply::answered(8 * MS, Outcome::Refused, Note::SourceRefused, 4 * MS, busy));
        };
        let at_parent = source != ORIGIN
            && self.fetch(source, attempt.dispatch.client_request.object, PARENT_STORED_SHARE);
        let (note, transfer) = if at_parent {
            (Note::Filled, between(attempt.fill_draw, 25 * MS, 70 * MS))
        } else {
            let origin = if source == ORIGIN { 0 } else { self.wait_at_origin(attempt.units) };
            (Note::FilledOrigin, between(attempt.fill_draw, 80 * MS, 200 * MS) + origin)
        };
        let fill = wait + slowness(failure_mode) + transfer;
        Some(Reply::answered(near + fill, Outcome::Ok, note, fill, busy))
    }

    /// Removes the object from the member's store, because the fill failed.
    fn remove_filled(&mut self, attempt: &Attempt) {
        let stand_in = self.stand_ins.entry(attempt.dispatch.member).or_default();
        stand_in.filled.remove(&attempt.dispatch.client_request.object);
    }

    /// Adds work to the origin and returns how long it is queued.
    fn wait_at_origin(&mut self, units: f64) -> Micros {
        self.add_work(ORIGIN, units).map_or(S, |(wait, _)| wait)
    }

    /// Adds work to a simulated member. Returns how long the work is queued and the share of the capacity in
    /// use, or, as an error, the share in use if the work is refused.
    fn add_work(&mut self, member: Addr, units: f64) -> Result<(Micros, f32), f32> {
        let now = self.queue.now;
        let share = self.warm_share(member, now);
        let stand_in = self.stand_ins.entry(member).or_default();
        let current_capacity = (stand_in.capacity * share).max(0.01);
        let second = now / S;
        if stand_in.second != second {
            let before = if stand_in.second + 1 == second { stand_in.used[0] } else { 0.0 };
            stand_in.used = [0.0, before];
            stand_in.second = second;
        }
        let remaining = 1.0 - (now % S) as f64 / S as f64;
        let busy = ((stand_in.used[0] + stand_in.used[1] * remaining) / current_capacity).min(1.0) as f32;
        let free_at = stand_in.free_at.max(now);
        if free_at > now + MAX_QUEUE {
            return Err(1.0);
        }
        stand_in.used[0] += units;
        stand_in.free_at = free_at + (units / current_capacity * S as f64) as Micros;
        Ok(((stand_in.free_at - now).saturating_sub(BURST), busy))
    }

    /// Returns the current capacity of a member as a share of its capacity when warm.
    pub(super) fn warm_share(&self, member: Addr, now: Micros) -> f64 {
        let settings = &self.settings;
        let (from, span) = match member.ip[1] {
            1 => (settings.cold_start_share, settings.cold_period),
            2 => (settings.parent_cold_start_share, settings.parent_cold_period),
            _ => return 1.0,
        };
        let since = self.stand_ins.get(&member).map_or(0, |stand_in| stand_in.since);
        let age = now.saturating_sub(since);
        if since == 0 || age >= span {
            1.0
        } else {
            from + (1.0 - from) * age as f64 / span as f64
        }
    }

    /// Returns whether a member stores an object, and stores it from now on. `share` is the share of all
    /// objects that a warm member stores.
    fn fetch(&mut self, member: Addr, object: u64, share: f64) -> bool {
        let random = draw(&[self.day.seed, object, u64::from(u32::from_be_bytes(member.ip))]);
        let stand_in = self.stand_ins.entry(member).or_default();
        stand_in.since == 0 && random < share || !stand_in.filled.insert(object)
    }
}
