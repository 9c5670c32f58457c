//! The planner, which owns the router, its clock and its timers.
//!
//! Every event (a request, the end of an attempt, a purge, a change of the member list, a timer that is due)
//! is one call with the current time, and the router's actions are carried out through the stages before the
//! call returns. The planner never waits and does no I/O, and leaves it to the router where a request goes. A
//! process has a single planner: a second one would split what the router learns, and the budget for cold
//! members.
use crate::claims::{CallNumber, Claims};
use crate::cold::ColdRate;
use crate::job::Job;
use crate::probes::{ProbePause, ProbingRouter};
use crate::stages::{accounting, admit, intake, relay};
use crate::zoned::{ZoneObservation, ZoneTracker, ZoneUse};
use crate::{
    Addr, AttemptEnd, ClientRequest, Counter, Counters, Dispatch, Entry, FinalAnswer, Learned, ListForm,
    Micros, Outcome, Reply,
};
use nickelgate::{Completed, Event, MemberHealth, Note, Report, Settings};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};

mod actions;

/// The transport to the caches. No method waits or calls back into the planner.
pub trait CacheTransport {
    /// Sends an attempt. Its end is reported later, exactly once, unless the attempt is withdrawn.
    fn send(&mut self, dispatch: Dispatch);
    /// Withdraws an attempt. Returns true if the cache has yet to be told; [`AttemptEnd::Withdrawn`] is then
    /// reported once it has been. Otherwise nothing more is reported about the attempt.
    fn withdraw(&mut self, request: u64, attempt: u16) -> bool;
    /// Asks a member for its load. The end of the probe is reported later, through [`Planner::probe_ended`].
    fn probe(&mut self, member: Addr);
}

/// What a timer stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    /// A timer of the router, with the router's token.
    Router(u32),
    /// The timeout of an attempt: the request's id and the attempt's number.
    Attempt(u64, u16),
}

/// Routes requests and carries out what the router decides. Every call takes the current time, and everything
/// that follows from the event has been carried out when it returns. The planner's clock never goes back: a
/// time before the latest one given counts as the latest.
///
/// ```
/// use std::{cell::RefCell, rc::Rc};
/// use threadward_core::stages::admit::Limits;
/// use threadward_core::{
///     Addr, AttemptEnd, Body, CacheAnswer, CacheTransport, ClientRequest, Counter, Dispatch, Entry,
///     FinalAnswer, ListForm, Note, Outcome, Payload, Planner, Report, Settings,
/// };
///
/// /// A transport that records the attempts it is given.
/// #[derive(Clone, Default)]
/// struct RecordingTransport(Rc<RefCell<Vec<Dispatch>>>);
/// impl CacheTransport for RecordingTransport {
///     fn send(&mut self, d: Dispatch) {
///         self.0.borrow_mut().push(d);
///     }
///     fn withdraw(&mut self, _: u64, _: u16) -> bool {
///         false
///     }
///     fn probe(&mut self, _: Addr) {}
/// }
///
/// let class = nickelgate::Class { target_latency: 200_000, deadline: 4_000_000, ..Default::default() };
/// let settings = Settings { classes: vec![class], max_attempts: 4, ..Settings::default() };
/// let limits = Limits { max_open: 1, max_bytes: 1 << 20, retry_after: 300_000 };
/// let transport = RecordingTransport::default();
/// let mut p = Planner::new(settings, 1, limits, Box::new(transport.clone()));
/// let cache = |n| Entry { addr: Addr { ip: [127, 0, 0, n], port: 80 }, ..Entry::default() };
/// p.update_members(1_000_000, ListForm::Full, vec![cache(1), cache(2)]);
/// assert!(p.ready());
///
/// // A request is sent to one of the caches at once.
/// let answers = Rc::new(RefCell::new(Vec::new()));
/// let reply = || {
///     let answers = answers.clone();
///     Box::new(move |last| answers.borrow_mut().push(last))
/// };
/// let request = |call_id: &str| ClientRequest {
///     call_id: call_id.into(),
///     object: 7,
///     expires_at: 5_000_000,
///     ..ClientRequest::default()
/// };
/// let id = p.accept_request(1_000_000, 0, request("a"), reply()).unwrap();
/// let first = transport.0.borrow()[0].clone();
/// assert_eq!((first.request, first.attempt, p.open_requests()), (id, 0, 1));
///
/// // A request beyond the limits is refused by admission control.
/// assert_eq!(p.accept_request(1_000_000, 0, request("b"), reply()), None);
/// assert_eq!(answers.borrow_mut().pop(), Some(FinalAnswer::Refused { retry_after: 300_000 }));
///
/// // No connection to the first cache: the next attempt goes to the other one, which gives the final answer.
/// p.attempt_ended(1_001_000, id, 0, AttemptEnd::ConnectionFailed(threadward_core::Progress::NotConnected));
/// while transport.0.borrow().len() < 2 {
///     p.run_timers(p.next_due().unwrap());
/// }
/// let second = transport.0.borrow()[1].clone();
/// assert_ne!(second.member, first.member);
/// let payload = Payload { body: Body::from_range(b"photo".to_vec(), 0..5), ..Payload::default() };
/// let answer = CacheAnswer {
///     outcome: Outcome::Ok,
///     note: Note::Hit,
///     source_wait: 0,
///     report: Report::default(),
///     payload: Some(payload.clone()),
/// };
/// p.attempt_ended(1_200_000, id, second.attempt, AttemptEnd::Answered(answer));
/// assert_eq!(*answers.borrow(), [FinalAnswer::Served(payload)]);
/// let count = |c| p.counters.get(c);
/// assert_eq!((p.open_requests(), count(Counter::Served), count(Counter::Refused)), (0, 1, 1));
/// ```
pub struct Planner {
    settings: Settings,
    router: ProbingRouter,
    /// Zone tracking, where the fleet takes zones out of use and back together.
    zones: Option<ZoneTracker>,
    /// Whether [`Planner::set_zone_uses`] has been called; with zones enabled the planner isn't ready before
    /// that.
    zone_uses_known: bool,
    cold_rate: ColdRate,
    /// Number of processes that share the limits, including this one.
    processes: usize,
    now: Micros,
    jobs: BTreeMap<u64, Job>,
    /// Call ids of the jobs. They are sent to the caches, which cannot tell two requests with the same id
    /// apart.
    call_ids: HashSet<Box<str>>,
    /// Call ids of requests that may not be repeated, from their first attempt on.
    claims: Claims,
    /// Number of unanswered requests.
    open: usize,
    /// Bytes of all request bodies held.
    body_bytes: usize,
    last_request_id: u64,
    /// Timers by due time and then in the order in which they were set.
    timers: BinaryHeap<Reverse<(Micros, u64, TimerKind)>>,
    timers_set: u64,
    /// Number of purges and list changes applied.
    epoch: u64,
    limits: admit::Limits,
    /// Whether a non-empty member list has been received.
    list_received: bool,
    transport: Box<dyn CacheTransport>,
    /// Counters since the start; front ends and connection pools count here too.
    pub counters: Counters,
}

impl Planner {
    /// Creates a planner without members. `seed` seeds the router's random numbers.
    pub fn new(
        settings: Settings,
        seed: u64,
        limits: admit::Limits,
        transport: Box<dyn CacheTransport>,
    ) -> Self {
        Planner {
            router: ProbingRouter::new(settings.clone(), seed),
            zones: None,
            zone_uses_known: false,
            cold_rate: ColdRate::new(),
            processes: 1,
            settings,
            now: 0,
            jobs: BTreeMap::new(),
            call_ids: HashSet::new(),
            claims: Claims::default(),
            open: 0,
            body_bytes: 0,
            last_request_id: 0,
            timers: BinaryHeap::new(),
            timers_set: 0,
            epoch: 0,
            limits,
            list_received: false,
            transport,
            counters: Counters::default(),
        }
    }

    /// Returns the settings that the planner was created with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the number of unanswered requests.
    pub fn open_requests(&self) -> usize {
        self.open
    }

    /// Returns whether the client of a request still waits for its answer.
    pub fn client_waits(&self, id: u64) -> bool {
        self.jobs.get(&id).is_some_and(|job| job.reply.is_some())
    }

    /// Returns whether requests can be served: a member list has been received and, where zones are enabled,
    /// it is known how they may be used.
    pub fn ready(&self) -> bool {
        self.list_received && (self.zones.is_none() || self.zone_uses_known)
    }

    /// Returns the number of purges and list changes applied; see [`Dispatch::epoch`].
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Sets the number of processes that share the limits, including this one. This process may then hold
    /// `bytes` for clients, and takes its part of the budgets of cold members.
    pub fn share_limits(&mut self, processes: usize, bytes: usize) {
        self.limits.max_bytes = bytes;
        self.processes = processes.max(1);
        self.router.set_sibling_processes(self.processes * self.cold_rate.scale as usize - 1);
    }

    /// Sets the function that gives the pause between two probes of a cache from now on. Returns false if
    /// this planner doesn't probe caches at all.
    pub fn set_probe_pause(&mut self, pause: ProbePause) -> bool {
        self.router.set_pause(pause);
        self.router.is_probing()
    }

    /// Returns when the next timer is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.peek().map(|Reverse((at, ..))| *at)
    }

    /// Accepts a request and returns its id, or `None` if it was answered at once because admission control
    /// or the zones refused it. The reply is called once, perhaps before this method returns, or dropped when
    /// the client leaves. `unwritten_bytes` is the size of the answers that are yet to be written to their
    /// clients.
    pub fn accept_request(
        &mut self,
        now: Micros,
        unwritten_bytes: usize,
        request: ClientRequest,
        reply: Reply,
    ) -> Option<u64> {
        self.advance_clock(now);
        accounting::count_accepted(&mut self.counters);
        let load = admit::Load { open: self.open, bytes: unwritten_bytes + self.body_bytes };
        let id_in_use = self.call_ids.contains(&request.call_id);
        if id_in_use {
            self.counters.add(Counter::Unusable);
        }
        if let Err(last) = admit::check(&self.limits, &self.settings, load, self.now, &request, id_in_use) {
            self.counters.add(Counter::RefusedAdmission);
            relay::answer(&mut self.counters, reply, last);
            return None;
        }
        if self.zones.as_mut().is_some_and(|z| z.should_refuse(request.class)) {
            self.counters.add(Counter::ZoneRefused);
            relay::answer(
                &mut self.counters,
                reply,
                FinalAnswer::Refused { retry_after: self.limits.retry_after },
            );
            return None;
        }
        self.last_request_id += 1;
        let id = self.last_request_id;
        let (job, router_request) = intake::accept(id, &self.settings, self.now, request, reply);
        self.body_bytes += job.client_request.body.len();
        self.call_ids.insert(job.client_request.call_id.clone());
        self.jobs.insert(id, job);
        self.open += 1;
        self.process_event(Event::Request(router_request));
        Some(id)
    }

    /// Handles a client that has left: its request gets no answer, and the router is told that it has
    /// expired.
    pub fn client_left(&mut self, now: Micros, id: u64) {
        self.advance_clock(now);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.reply.take().is_some() {
            self.open -= 1;
            self.counters.add(Counter::Left);
            self.process_event(Event::Expired(id));
        }
    }

    /// Handles the end of an attempt. The end of an attempt that is no longer in flight is only counted.
    pub fn attempt_ended(&mut self, now: Micros, id: u64, attempt: u16, end: AttemptEnd) {
        self.advance_clock(now);
        self.finish_attempt(id, attempt, end, None);
    }

    /// Records the end of an attempt, answers the client if the attempt succeeded, and tells the router. For
    /// a failed connection, `forced_outcome` replaces the outcome that follows from its progress.
    fn finish_attempt(&mut self, id: u64, attempt: u16, end: AttemptEnd, forced_outcome: Option<Outcome>) {
        let now = self.now;
        let in_flight = |j: &&mut Job| j.attempts.get(usize::from(attempt)).is_some_and(|a| a.2);
        let Some(job) = self.jobs.get_mut(&id).filter(in_flight) else {
            // A withdrawal that is reported after it was no longer waited for isn't a late end.
            if end != AttemptEnd::Withdrawn {
                self.counters.add(Counter::LateEnds);
            }
            return;
        };
        let a = &mut job.attempts[usize::from(attempt)];
        a.2 = false;
        let (sent, member) = (a.0, a.1);
        let (outcome, note, waited, report, payload) = match end {
            AttemptEnd::Answered(t) => (t.outcome, t.note, t.source_wait, t.report, t.payload),
            AttemptEnd::ConnectionFailed(p) => {
                (forced_outcome.unwrap_or(p.outcome()), Note::None, 0, Report::default(), None)
            }
            AttemptEnd::Outdated => (Outcome::NotSent, Note::None, 0, Report::default(), None),
            AttemptEnd::Withdrawn => (Outcome::Cancelled, Note::None, 0, Report::default(), None),
        };
        accounting::count_end(&mut self.counters, outcome);
        if let Some(p) = payload.filter(|_| outcome == Outcome::Ok) {
            if let Some(reply) = job.reply.take() {
                self.open -= 1;
                accounting::add_service_time(&mut self.counters, now.saturating_sub(job.accepted_at));
                relay::answer(&mut self.counters, reply, FinalAnswer::Served(p));
            }
        }
        let done = job.reply.is_none();
        let elapsed = now.saturating_sub(sent);
        let c = Completed {
            request: id,
            attempt,
            member,
            outcome,
            elapsed,
            request_done: done,
            note,
            source_wait: waited,
            report,
        };
        self.process_event(Event::Completed(c));
    }

    /// Applies a change of the member list.
    pub fn update_members(&mut self, now: Micros, form: ListForm, entries: Vec<Entry>) {
        self.advance_clock(now);
        self.epoch += 1;
        self.list_received |= !entries.is_empty();
        self.counters.add(Counter::Lists);
        let entries = match &mut self.zones {
            Some(z) => z.update_list(form, entries),
            None => entries,
        };
        self.process_event(Event::Members { form, entries });
    }

    /// Applies a purge of one object or, without one, of a whole group. `ago` is the least time since it was
    /// issued.
    pub fn purge(&mut self, now: Micros, ago: Micros, object: Option<u64>, group: u16) {
        self.advance_clock(now);
        self.epoch += 1;
        self.counters.add(Counter::Purges);
        self.process_event(Event::Purged { ago, object, group });
    }

    /// Handles a message from another proxy's planner.
    pub fn peer_message(&mut self, now: Micros, from: u32, payload: Vec<u8>) {
        self.advance_clock(now);
        self.counters.add(Counter::PeerMessages);
        self.process_event(Event::Peer { from, payload });
    }

    /// Enables zones, which are then used as [`Planner::set_zone_uses`] says. `zones` is the number of zones
    /// in the settings. Call it before the first member list: entries of an earlier list would not be
    /// tracked.
    pub fn enable_zones(&mut self, zones: usize) {
        self.zones = Some(ZoneTracker::new(self.settings.clone(), zones));
    }

    /// Sets how each zone may be used, in the order of the settings, and the share of all requests, in
    /// thousandths, that is refused at once. To be called after each change and several times a second.
    pub fn set_zone_uses(&mut self, now: Micros, uses: &[ZoneUse], refused_per_mille: u16) {
        self.advance_clock(now);
        let Some(z) = &mut self.zones else { return };
        self.zone_uses_known = true;
        let (changed, suspected) = z.apply_uses(self.now, uses, refused_per_mille);
        if !changed.is_empty() {
            // Attempts that were decided on the previous list and aren't written yet are held back.
            self.epoch += 1;
            self.process_event(Event::Members { form: ListForm::Delta, entries: changed });
        }
        for e in suspected {
            self.process_event(ZoneTracker::suspicion_event(&e));
        }
    }

    /// Returns what this proxy's attempts showed of each zone over the last two seconds; empty without zones.
    /// Attempts that have been silent for too long are counted as failed by this call.
    pub fn zone_observations(&mut self, now: Micros) -> Vec<ZoneObservation> {
        self.advance_clock(now);
        let current = self.now;
        self.zones.as_mut().map(|z| z.zone_observations(current)).unwrap_or_default()
    }

    /// Limits what this proxy sends to members that started recently to about `share` requests per second.
    /// Returns the rate that they would be sent without the limit. It has an effect only while zones are
    /// enabled.
    pub fn limit_cold_rate(&mut self, now: Micros, share: u32) -> u32 {
        self.advance_clock(now);
        let wanted = self.cold_rate.limit(self.now, share);
        self.router.set_sibling_processes(self.processes * self.cold_rate.scale as usize - 1);
        wanted
    }

    /// Returns the most recent start among the members of a zone that take requests, on the clock of the
    /// list.
    pub fn newest_start(&self, zone: u16) -> Option<Micros> {
        self.zones.as_ref().and_then(|z| z.newest_start(zone))
    }

    /// Tells the router that enough other proxies suspect a member. The suspicion holds for `valid_for`; 0
    /// ends it.
    pub fn report_suspicion(&mut self, now: Micros, member: Addr, incarnation: u64, valid_for: Micros) {
        self.advance_clock(now);
        self.process_event(Event::Suspected { member, incarnation, valid_for });
    }

    /// Handles the end of a probe, with the load that the member reported, if any.
    pub fn probe_ended(&mut self, now: Micros, member: Addr, outcome: Outcome, report: Report) {
        self.advance_clock(now);
        self.process_event(Event::Probed { member, outcome, report });
    }

    /// Returns what this proxy's traffic showed of the members.
    pub fn member_health(&self) -> Vec<MemberHealth> {
        self.router.member_health().collect()
    }

    /// Returns what the router has learned, for a process that takes over from this one.
    pub fn learned(&self) -> Learned {
        self.router.learned()
    }

    /// Adopts what the previous process has learned.
    pub fn restore_learned(&mut self, now: Micros, learned: &Learned) {
        self.advance_clock(now);
        self.router.restore_learned(self.now, learned);
    }

    /// Returns the call ids that were claimed, see [`Claims`].
    pub fn claims(&mut self) -> &mut Claims {
        &mut self.claims
    }

    /// Adds call ids that other processes of the proxy have claimed.
    pub fn add_claims(&mut self, now: Micros, claimed: Vec<CallNumber>) {
        self.advance_clock(now);
        self.claims.add(self.now, claimed);
    }

    /// Fires all timers that are due.
    pub fn run_timers(&mut self, now: Micros) {
        self.advance_clock(now);
        while let Some(Reverse((at, _, kind))) = self.timers.peek().copied() {
            if at > self.now {
                return;
            }
            self.timers.pop();
            match kind {
                TimerKind::Router(token) => self.process_event(Event::Timer(token)),
                TimerKind::Attempt(id, n) => {
                    let attempt = self.jobs.get(&id).and_then(|j| j.attempts.get(usize::from(n)));
                    if attempt.is_some_and(|a| a.2) {
                        self.transport.withdraw(id, n);
                        let end = AttemptEnd::ConnectionFailed(crate::Progress::FullyWritten);
                        self.finish_attempt(id, n, end, Some(Outcome::Timeout));
                    }
                }
            }
        }
    }

    /// Advances the planner's clock; an earlier time leaves it unchanged.
    fn advance_clock(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    fn set_timer(&mut self, at: Micros, kind: TimerKind) {
        self.timers_set += 1;
        self.timers.push(Reverse((at, self.timers_set, kind)));
    }
}
