//! Stand-ins of caches, hubs and the origin, and how they answer attempts.
//!
//! A stand-in answers as those of `fleet.rs`. It bears two seconds of its capacity at once; what is asked beyond waits its
//! turn, and is turned away where that turn is far. One that started anew holds nothing and can do as the settings say.
use super::{Day, Event, FailureMode, Regions, BOOKINGS, MS, S};
use crate::day::ORIGIN;
use crate::draw;
use nickelgate::{Addr, Micros, Note, Outcome, Report};
use std::collections::{BTreeMap, HashSet, VecDeque};
use threadward_core::{AttemptEnd, Body, CacheAnswer, Dispatch, Payload, Progress};

/// Mean sending time of each class, and of all as they are asked for.
const SENDING: [Micros; 3] = [90 * MS, 20 * MS, 5 * MS];
const MEAN_SENDING: f64 = 43.75 * MS as f64;
/// What a stand-in bears at once, in time of its capacity; and the wait at which it turns work away.
const BURST: Micros = 2 * S;
const LONGEST_QUEUE: Micros = 3 * S;
/// What a slow member takes longer.
const SLOWNESS: Micros = 1_500 * MS;
/// The share of objects that a warm cache holds, and a warm hub.
const CACHE_HOLDS: f64 = 0.7;
const HUB_HOLDS: f64 = 0.6;

/// A cache, a hub's cache, or the origin.
#[derive(Default)]
pub(super) struct StandIn {
    /// When it started anew; 0: long ago, with what it holds.
    pub since: Micros,
    filled: HashSet<u64>,
    /// Work in a second when warm, of requests of mean size.
    pub able: f64,
    free: Micros,
    /// Work of this second and of the one before.
    second: Micros,
    used: [f64; 2],
    /// What all proxies sent in the last `fall`, while it is cold: when, and the work.
    pub sent: VecDeque<(Micros, f64)>,
}

impl StandIn {
    /// One that starts anew, empty and cold.
    pub fn started_anew(since: Micros, able: f64) -> StandIn {
        StandIn { since, able, ..StandIn::default() }
    }
}

/// Every member with what it can do: so many times what it is asked for in calm times.
pub(super) fn stand_ins(day: &Day) -> BTreeMap<Addr, StandIn> {
    let all = day.proxies as f64 * day.requests_per_s;
    // Three in ten are filled at a hub, and four of ten of those from the origin, as the bookings are.
    let fills = all * 0.95 * 0.3;
    let cache = all / f64::from(day.locations) / f64::from(day.members.0) * day.capacity_factors.0;
    let hub = fills / f64::from(day.parents) / f64::from(day.members.1) * day.capacity_factors.1;
    let mut stand_ins = BTreeMap::new();
    for zone in 0..day.zone_count() {
        let able = if zone < day.locations { cache } else { hub };
        for n in 0..day.members_in(zone) {
            stand_ins.insert(day.member(zone, n), StandIn { able, ..StandIn::default() });
        }
    }
    let able = (fills * 0.4 + all * 0.05) * 3.0;
    stand_ins.insert(ORIGIN, StandIn { able, ..StandIn::default() });
    stand_ins
}

fn is_cache(member: Addr) -> bool {
    member.ip[1] == 1
}

fn slowness(failure_mode: Option<FailureMode>) -> Micros {
    if failure_mode == Some(FailureMode::Slow) {
        SLOWNESS
    } else {
        0
    }
}

fn between(draw: f64, least: Micros, most: Micros) -> Micros {
    least + (draw * (most - least) as f64) as Micros
}

/// An attempt at a stand-in, with the draws that belong to it.
struct Attempt<'a> {
    proxy: usize,
    dispatch: &'a Dispatch,
    /// Its work, in requests of mean size.
    units: f64,
    /// The time that the member itself takes.
    near: Micros,
    /// The draw of the time that a fill takes.
    fill: f64,
    /// The lots by which a lossy member, and a lossy source, lose it.
    member_lot: f64,
    source_lot: f64,
}

impl Attempt<'_> {
    /// Each draw belongs to the request, the attempt and the member, so two runs of one seed differ only where decisions do.
    fn new(seed: u64, proxy: usize, dispatch: &Dispatch) -> Attempt<'_> {
        let sending = SENDING[usize::from(dispatch.client_request.class)];
        let member = u64::from(u32::from_be_bytes(dispatch.member.ip));
        let attempt = u64::from(dispatch.attempt);
        let word = |purpose: u64| draw(&[seed, proxy as u64, dispatch.request, attempt, member, purpose]);
        Attempt {
            proxy,
            dispatch,
            units: sending as f64 / MEAN_SENDING,
            near: between(word(0), 8 * MS, 30 * MS) + (sending as f64 * (0.5 + word(1))) as Micros,
            fill: word(2),
            member_lot: word(3),
            source_lot: word(4),
        }
    }
}

/// How an attempt ends, and after what time.
struct Reply {
    after: Micros,
    end: AttemptEnd,
}

impl Reply {
    fn broken() -> Reply {
        Reply { after: 5 * MS, end: AttemptEnd::ConnectionFailed(Progress::FullyWritten) }
    }

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
    /// An attempt reaches a stand-in: checked against the rules, then answered in its time.
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

    /// What comes of an attempt; nothing, where the member is silent.
    fn answer(&mut self, attempt: &Attempt) -> Option<Reply> {
        let Dispatch { member, request, client_request: ref ask, .. } = *attempt.dispatch;
        let failure_mode = self.failure_mode(attempt.proxy, member, self.queue.now, attempt.member_lot);
        match failure_mode {
            Some(FailureMode::Kill) => return None,
            Some(FailureMode::FailFast) => return Some(Reply::broken()),
            _ => {}
        }
        self.check_cold(member, attempt.units);
        let (wait, busy) = match self.work(member, attempt.units) {
            Ok(taken) => taken,
            Err(busy) => {
                self.proxies[attempt.proxy].ran.remove(&request);
                return Some(Reply::answered(2 * MS, Outcome::Refused, Note::None, 0, busy));
            }
        };
        let near = attempt.near + wait + slowness(failure_mode);
        if member == ORIGIN {
            return Some(Reply::answered(near, Outcome::Ok, Note::None, 0, busy));
        }
        let holds = if is_cache(member) { CACHE_HOLDS } else { HUB_HOLDS };
        if ask.class != BOOKINGS && self.held(member, ask.object, holds) {
            return Some(Reply::answered(near, Outcome::Ok, Note::Hit, 0, busy));
        }
        match attempt.dispatch.source.filter(|source| *source != member) {
            Some(source) => self.fill(attempt, source, near, busy),
            None => Some(self.without_source(attempt, near, busy)),
        }
    }

    /// A hub that is asked itself fills from behind; a cache without a source has nothing to give.
    fn without_source(&mut self, attempt: &Attempt, near: Micros, busy: f32) -> Reply {
        let Dispatch { member, request, .. } = *attempt.dispatch;
        if is_cache(member) {
            self.forget(attempt);
            self.proxies[attempt.proxy].ran.remove(&request);
            return Reply::answered(near / 4, Outcome::Miss, Note::None, 0, busy);
        }
        let fill = between(attempt.fill, 80 * MS, 200 * MS) + self.wait_at_origin(attempt.units);
        Reply::answered(near + fill, Outcome::Ok, Note::FilledOrigin, fill, busy)
    }

    /// The member fills from a source: a hub, or the origin.
    fn fill(&mut self, attempt: &Attempt, source: Addr, near: Micros, busy: f32) -> Option<Reply> {
        let failure_mode = self.failure_mode(attempt.proxy, source, self.queue.now, attempt.source_lot);
        if failure_mode == Some(FailureMode::Kill) {
            self.forget(attempt);
            return None;
        }
        if failure_mode == Some(FailureMode::FailFast) {
            self.forget(attempt);
            return Some(Reply::answered(10 * MS, Outcome::Error, Note::SourceFailed, 5 * MS, busy));
        }
        self.check_cold(source, attempt.units);
        let Ok((wait, _)) = self.work(source, attempt.units) else {
            self.forget(attempt);
            return Some(Reply::answered(8 * MS, Outcome::Refused, Note::SourceRefused, 4 * MS, busy));
        };
        let at_hub = source != ORIGIN && self.held(source, attempt.dispatch.client_request.object, HUB_HOLDS);
        let (note, way) = if at_hub {
            (Note::Filled, between(attempt.fill, 25 * MS, 70 * MS))
        } else {
            let origin = if source == ORIGIN { 0 } else { self.wait_at_origin(attempt.units) };
            (Note::FilledOrigin, between(attempt.fill, 80 * MS, 200 * MS) + origin)
        };
        let fill = wait + slowness(failure_mode) + way;
        Some(Reply::answered(near + fill, Outcome::Ok, note, fill, busy))
    }

    /// The member holds no copy after all: its fill came to nothing.
    fn forget(&mut self, attempt: &Attempt) {
        let stand_in = self.stand_ins.entry(attempt.dispatch.member).or_default();
        stand_in.filled.remove(&attempt.dispatch.client_request.object);
    }

    fn wait_at_origin(&mut self, units: f64) -> Micros {
        self.work(ORIGIN, units).map_or(S, |(wait, _)| wait)
    }

    /// Work reaches a stand-in: how long it waits for its turn there, and the share of it in use. An error with that share:
    /// it is turned away.
    fn work(&mut self, member: Addr, units: f64) -> Result<(Micros, f32), f32> {
        let now = self.queue.now;
        let share = self.warm_share(member, now);
        let stand_in = self.stand_ins.entry(member).or_default();
        let able = (stand_in.able * share).max(0.01);
        let second = now / S;
        if stand_in.second != second {
            let before = if stand_in.second + 1 == second { stand_in.used[0] } else { 0.0 };
            stand_in.used = [0.0, before];
            stand_in.second = second;
        }
        let frac = 1.0 - (now % S) as f64 / S as f64;
        let busy = ((stand_in.used[0] + stand_in.used[1] * frac) / able).min(1.0) as f32;
        let free = stand_in.free.max(now);
        if free > now + LONGEST_QUEUE {
            return Err(1.0);
        }
        stand_in.used[0] += units;
        stand_in.free = free + (units / able * S as f64) as Micros;
        Ok(((stand_in.free - now).saturating_sub(BURST), busy))
    }

    /// What a member can do now over what it can do when warm.
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

    /// Whether a member holds an object, which it does from now on; `share`: of all objects, that a warm one holds.
    fn held(&mut self, member: Addr, object: u64, share: f64) -> bool {
        let word = draw(&[self.day.seed, object, u64::from(u32::from_be_bytes(member.ip))]);
        let stand_in = self.stand_ins.entry(member).or_default();
        stand_in.since == 0 && word < share || !stand_in.filled.insert(object)
    }
}
