//! The planner: the sole owner of the router, its clock and its timers. Everything that happens (a request, an
//! outcome, a purge, a change of the list, a due timer) enters here as one call with the time of the clock, and
//! the router's actions are carried out through the stages. It must never wait, open anything, or decide where a
//! request goes: that is the router's. A second planner in a process would split what is learned and the
//! cold-start budget, so there is one.
use crate::cold::Cold;
use crate::job::Job;
use crate::probes::{Pause, ProbingRouter};
use crate::stages::{accounting, admit, intake, relay, route, send};
use crate::zoned::{ZoneObservation, ZoneTracker, ZoneUse};
use crate::{
    Addr, AttemptEnd, ClientRequest, Counter, Counters, Dispatch, Entry, FinalAnswer, Learned, ListForm,
    Micros, Outcome, Reply,
};
use nickelgate::{Action, Completed, Event, MemberHealth, Note, Report, Settings};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet, VecDeque};

/// The way to the caches. Both calls return at once and never call back into the planner.
pub trait CacheTransport {
    /// Writes the attempt and reports its end later, exactly once unless withdrawn.
    fn send(&mut self, d: Dispatch);
    /// The attempt is given up. True: its cache has yet to be told, and [`AttemptEnd::Withdrawn`] is reported once it has been;
    /// else nothing more is reported of it.
    fn withdraw(&mut self, request: u64, attempt: u16) -> bool;
    /// Asks a member for its load and reports the end later, through [`Planner::probe_ended`].
    fn probe(&mut self, member: Addr);
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Router(u32),
    Attempt(u64, u16),
}

/// One planner: every call brings the time, and has carried out what follows from it when it returns. The clock may stand
/// still but not go back: an earlier time counts as the latest that was given.
///
/// ```
/// use std::{cell::RefCell, rc::Rc};
/// use threadward_core::stages::admit::Limits;
/// use threadward_core::{
///     Addr, ClientRequest, Body, CacheTransport, Counter, Dispatch, AttemptEnd, Entry, FinalAnswer, ListForm, Note, Outcome, Payload, Planner, Report,
///     Settings, CacheAnswer,
/// };
///
/// /// A way to caches that keeps what it is given.
/// #[derive(Clone, Default)]
/// struct Way(Rc<RefCell<Vec<Dispatch>>>);
/// impl CacheTransport for Way {
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
/// let (way, limits) = (Way::default(), Limits { max_open: 1, max_bytes: 1 << 20, retry_after: 300_000 });
/// let mut p = Planner::new(settings, 1, limits, Box::new(way.clone()));
/// let cache = |n| Entry { addr: Addr { ip: [127, 0, 0, n], port: 80 }, ..Entry::default() };
/// p.update_members(1_000_000, ListForm::Full, vec![cache(1), cache(2)]);
/// assert!(p.ready());
///
/// // A request goes out at once, to one of the caches.
/// let answers = Rc::new(RefCell::new(Vec::new()));
/// let reply = || {
///     let answers = answers.clone();
///     Box::new(move |last| answers.borrow_mut().push(last))
/// };
/// let ask = |call: &str| ClientRequest { call_id: call.into(), object: 7, due: 5_000_000, ..ClientRequest::default() };
/// let id = p.accept_request(1_000_000, 0, ask("a"), reply()).unwrap();
/// let first = way.0.borrow()[0].clone();
/// assert_eq!((first.request, first.attempt, p.open_requests()), (id, 0, 1));
///
/// // One more than the limits allow is answered by the admission.
/// assert_eq!(p.accept_request(1_000_000, 0, ask("b"), reply()), None);
/// assert_eq!(answers.borrow_mut().pop(), Some(FinalAnswer::Refused { retry_after: 300_000 }));
///
/// // The first cache has no connection: the next attempt goes to the other one, and its answer is the one final answer.
/// p.attempt_ended(1_001_000, id, 0, AttemptEnd::ConnectionFailed(threadward_core::Progress::NotConnected));
/// while way.0.borrow().len() < 2 {
///     p.run_timers(p.next_due().unwrap());
/// }
/// let second = way.0.borrow()[1].clone();
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
/// assert_eq!((p.open_requests(), p.counters.get(Counter::Served), p.counters.get(Counter::Refused)), (0, 1, 1));
/// ```
pub struct Planner {
    settings: Settings,
    router: ProbingRouter,
    /// Where zones are left and taken back by the fleet.
    zones: Option<ZoneTracker>,
    /// The fleet's map has been followed once; until then this proxy takes nothing in.
    follows: bool,
    cold: Cold,
    /// Processes that share the limits, this one among them.
    processes: usize,
    now: Micros,
    jobs: BTreeMap<u64, Job>,
    /// The clients' ids of these: they go to the caches, where two requests under one could not be told apart.
    calls: HashSet<Box<str>>,
    /// Requests that are owed an answer, and the bytes of all bodies in hand.
    open: usize,
    bodies: usize,
    next: u64,
    timers: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    armed: u64,
    epoch: u64,
    limits: admit::Limits,
    listed: bool,
    caches: Box<dyn CacheTransport>,
    /// What was counted since the start; fronts and pools count here too.
    pub counters: Counters,
}

impl Planner {
    /// A planner that has heard of no member yet; `seed`: of the router's dice.
    pub fn new(
        settings: Settings,
        seed: u64,
        limits: admit::Limits,
        caches: Box<dyn CacheTransport>,
    ) -> Self {
        Planner {
            router: ProbingRouter::new(settings.clone(), seed),
            zones: None,
            follows: false,
            cold: Cold::new(),
            processes: 1,
            settings,
            now: 0,
            jobs: BTreeMap::new(),
            calls: HashSet::new(),
            open: 0,
            bodies: 0,
            next: 0,
            timers: BinaryHeap::new(),
            armed: 0,
            epoch: 0,
            limits,
            listed: false,
            caches,
            counters: Counters::default(),
        }
    }

    /// What it was started with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// How many requests are owed an answer.
    pub fn open_requests(&self) -> usize {
        self.open
    }

    /// Whether the client of a request still waits for its answer.
    pub fn client_waits(&self, id: u64) -> bool {
        self.jobs.get(&id).is_some_and(|job| job.reply.is_some())
    }

    /// Whether a list of members has come: before that nothing can be served.
    pub fn ready(&self) -> bool {
        self.listed && (self.zones.is_none() || self.follows)
    }

    /// How many purges and list changes were told; see [`Dispatch::epoch`].
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// So many processes share the limits, this one among them: it may hold these bytes for clients, and its part of the
    /// budgets of cold members.
    pub fn share_limits(&mut self, of: usize, bytes: usize) {
        self.limits.max_bytes = bytes;
        self.processes = of.max(1);
        self.router.set_sibling_processes(self.processes * self.cold.scale as usize - 1);
    }

    /// The pause between two probes of a cache is what this says from here on; false: no cache is asked here.
    pub fn set_probe_pause(&mut self, pause: Pause) -> bool {
        self.router.set_pause(pause);
        self.router.is_probing()
    }

    /// When the next timer falls due.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.peek().map(|Reverse((at, ..))| *at)
    }

    /// Takes a request in; gives its number, or nothing where it was answered at once by the admission. The reply is called
    /// once, perhaps before this returns, or dropped when the client leaves. `unwritten`: bytes of answers that wait for their clients.
    pub fn accept_request(
        &mut self,
        now: Micros,
        unwritten: usize,
        ask: ClientRequest,
        reply: Reply,
    ) -> Option<u64> {
        self.tick(now);
        accounting::count_accepted(&mut self.counters);
        let load = admit::Load { open: self.open, bytes: unwritten + self.bodies };
        let known = self.calls.contains(&ask.call_id);
        if known {
            self.counters.add(Counter::Unusable);
        }
        if let Err(last) = admit::check(&self.limits, &self.settings, load, self.now, &ask, known) {
            self.counters.add(Counter::RefusedAdmission);
            relay::answer(&mut self.counters, reply, last);
            return None;
        }
        if self.zones.as_mut().is_some_and(|z| z.should_refuse(ask.class)) {
            self.counters.add(Counter::ZoneRefused);
            relay::answer(
                &mut self.counters,
                reply,
                FinalAnswer::Refused { retry_after: self.limits.retry_after },
            );
            return None;
        }
        self.next += 1;
        let id = self.next;
        let (job, request) = intake::accept(id, &self.settings, self.now, ask, reply);
        self.bodies += job.ask.body.len();
        self.calls.insert(job.ask.call_id.clone());
        self.jobs.insert(id, job);
        self.open += 1;
        self.drive(Event::Request(request));
        Some(id)
    }

    /// The client has left: no answer is owed.
    pub fn client_left(&mut self, now: Micros, id: u64) {
        self.tick(now);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.reply.take().is_some() {
            self.open -= 1;
            self.counters.add(Counter::Left);
            self.drive(Event::Expired(id));
        }
    }

    /// An attempt ended. Late ends of withdrawn attempts are counted and change nothing.
    pub fn attempt_ended(&mut self, now: Micros, id: u64, attempt: u16, end: AttemptEnd) {
        self.tick(now);
        self.settle(id, attempt, end, None);
    }

    fn settle(&mut self, id: u64, attempt: u16, end: AttemptEnd, forced: Option<Outcome>) {
        let now = self.now;
        let out = |j: &&mut Job| j.attempts.get(usize::from(attempt)).is_some_and(|a| a.2);
        let Some(job) = self.jobs.get_mut(&id).filter(out) else {
            // That a cancel is written is no late end: it was not waited for here.
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
                (forced.unwrap_or(p.outcome()), Note::None, 0, Report::default(), None)
            }
            AttemptEnd::Outdated => (Outcome::NotSent, Note::None, 0, Report::default(), None),
            AttemptEnd::Withdrawn => (Outcome::Cancelled, Note::None, 0, Report::default(), None),
        };
        accounting::count_end(&mut self.counters, outcome);
        if let Some(p) = payload.filter(|_| outcome == Outcome::Ok) {
            if let Some(reply) = job.reply.take() {
                self.open -= 1;
                accounting::add_service_time(&mut self.counters, now.saturating_sub(job.taken));
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
        self.drive(Event::Completed(c));
    }

    /// A change of the list of members.
    pub fn update_members(&mut self, now: Micros, form: ListForm, entries: Vec<Entry>) {
        self.tick(now);
        self.epoch += 1;
        self.listed |= !entries.is_empty();
        self.counters.add(Counter::Lists);
        let entries = match &mut self.zones {
            Some(z) => z.update_list(form, entries),
            None => entries,
        };
        self.drive(Event::Members { form, entries });
    }

    /// A purge of one object or of a whole group, made so long ago at least.
    pub fn purge(&mut self, now: Micros, ago: Micros, object: Option<u64>, group: u16) {
        self.tick(now);
        self.epoch += 1;
        self.counters.add(Counter::Purges);
        self.drive(Event::Purged { ago, object, group });
    }

    /// A message from another planner of the tier.
    pub fn peer_message(&mut self, now: Micros, from: u32, payload: Vec<u8>) {
        self.tick(now);
        self.counters.add(Counter::PeerMessages);
        self.drive(Event::Peer { from, payload });
    }

    /// From here on zones are left and taken back as [`Planner::set_zone_uses`] says; `zones`: how many the settings name.
    /// Before the first list: what came before it is not known.
    pub fn enable_zones(&mut self, zones: usize) {
        self.zones = Some(ZoneTracker::new(self.settings.clone(), zones));
    }

    /// How every zone may be used from now on, in the order of the settings, and the thousandths of all requests that are
    /// refused at once. To be called after each change, and several times a second.
    pub fn set_zone_uses(&mut self, now: Micros, uses: &[ZoneUse], refused: u16) {
        self.tick(now);
        let Some(z) = &mut self.zones else { return };
        self.follows = true;
        let (told, doubted) = z.apply_uses(self.now, uses, refused);
        if !told.is_empty() {
            // What rests on the list as it was and is not yet written leaves no more.
            self.epoch += 1;
            self.drive(Event::Members { form: ListForm::Delta, entries: told });
        }
        for e in doubted {
            self.drive(ZoneTracker::suspicion_event(&e));
        }
    }

    /// What own attempts showed of each zone in the last two seconds.
    pub fn zone_observations(&mut self, now: Micros) -> Vec<ZoneObservation> {
        self.tick(now);
        let at = self.now;
        self.zones.as_mut().map(|z| z.zone_observations(at)).unwrap_or_default()
    }

    /// Members that started lately are sent no more than about this by this proxy, in requests a second, while zones are
    /// followed; gives what they would be sent without it.
    pub fn limit_cold_rate(&mut self, now: Micros, share: u32) -> u32 {
        self.tick(now);
        let wanted = self.cold.limit(self.now, share);
        self.router.set_sibling_processes(self.processes * self.cold.scale as usize - 1);

        wanted
    }

    /// The newest start among the members of a zone that take requests, on the clock of the list.
    pub fn newest_start(&self, zone: u16) -> Option<Micros> {
        self.zones.as_ref().and_then(|z| z.newest_start(zone))
    }

    /// Enough of the other proxies hold a member suspect for their word to count; `lasts` 0: no longer.
    pub fn report_suspicion(&mut self, now: Micros, member: Addr, incarnation: u64, lasts: Micros) {
        self.tick(now);
        self.drive(Event::Suspected { member, incarnation, valid_for: lasts });
    }

    /// A probe of a member ended, with the load that it told, if any.
    pub fn probe_ended(&mut self, now: Micros, member: Addr, outcome: Outcome, report: Report) {
        self.tick(now);
        self.drive(Event::Probed { member, outcome, report });
    }

    /// What own traffic showed of the members.
    pub fn standings(&self) -> Vec<MemberHealth> {
        self.router.member_health().collect()
    }

    /// What the router has learned, for the process that comes after this one.
    pub fn learned(&self) -> Learned {
        self.router.learned()
    }

    /// Takes over what the process before this one learned.
    pub fn take_over(&mut self, now: Micros, learned: &Learned) {
        self.tick(now);
        self.router.restore_learned(self.now, learned);
    }

    /// Carries out every timer that is due.
    pub fn run_timers(&mut self, now: Micros) {
        self.tick(now);
        while let Some(Reverse((at, _, due))) = self.timers.peek().copied() {
            if at > self.now {
                return;
            }
            self.timers.pop();
            match due {
                Due::Router(token) => self.drive(Event::Timer(token)),
                Due::Attempt(id, n) => {
                    let out = self.jobs.get(&id).and_then(|j| j.attempts.get(usize::from(n)));
                    if out.is_some_and(|a| a.2) {
                        self.caches.withdraw(id, n);
                        let end = AttemptEnd::ConnectionFailed(crate::Progress::FullyWritten);
                        self.settle(id, n, end, Some(Outcome::Timeout));
                    }
                }
            }
        }
    }

    /// The clock only goes forward, whatever the system's does.
    fn tick(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    fn arm(&mut self, at: Micros, due: Due) {
        self.armed += 1;
        self.timers.push(Reverse((at, self.armed, due)));
    }

    /// Brings an event to the router and carries out what it wants, in order.
    fn drive(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            let over = match &event {
                Event::Completed(c) => Some(c.request),
                Event::Expired(id) => Some(*id),
                Event::Request(r) => Some(r.id),
                _ => None,
            };
            if let (Event::Completed(c), Some(z)) = (&event, &mut self.zones) {
                z.attempt_ended(self.now, c);
            }
            self.router.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.carry_out(action));
            }
            let ended = |j: &Job| j.reply.is_none() && j.attempts.iter().all(|a| !a.2);
            if let Some(id) = over.filter(|id| self.jobs.get(id).is_some_and(ended)) {
                if !events.iter().any(|e| matches!(e, Event::Completed(c) if c.request == id)) {
                    self.forget(id);
                }
            }
        }
    }

    fn forget(&mut self, id: u64) {
        if let Some(job) = self.jobs.remove(&id) {
            self.bodies -= job.ask.body.len();
            self.calls.remove(&job.ask.call_id);
        }
    }

    fn carry_out(&mut self, action: Action) -> Option<Event> {
        match route::order(action) {
            route::Order::Send(get) => {
                let job = self.jobs.get_mut(&get.request)?;
                let d = send::build(job, &self.settings, &get, self.now, self.epoch);
                let (id, n, due) = (d.request, d.attempt, d.due);
                if let Some(z) = &mut self.zones {
                    z.attempt_sent(self.now, (id, n), job.ask.class, get.member, get.source);
                    if [get.member, get.source].into_iter().any(|a| z.is_cold(self.now, a)) {
                        self.cold.sent();
                    }
                }
                self.counters.add(Counter::Sent);
                self.arm(due + self.settings.answer_slack, Due::Attempt(id, n));
                self.caches.send(d);
            }
            route::Order::Answer(id, last) => {
                let job = self.jobs.get_mut(&id)?;
                let reply = job.reply.take()?;
                self.open -= 1;
                if job.attempts.is_empty() {
                    self.counters.add(Counter::Unsent);
                }
                relay::answer(&mut self.counters, reply, last);
                if job.attempts.iter().all(|a| !a.2) {
                    self.forget(id);
                }
            }
            route::Order::Withdraw(id, n) => {
                let job = self.jobs.get_mut(&id)?;
                let a = job.attempts.get_mut(usize::from(n)).filter(|a| a.2)?;
                // Where two attempts may not be out at once, the next one waits until the cache has been told.
                let told_later = self.caches.withdraw(id, n);
                if told_later && !self.settings.parallel_attempts && job.reply.is_some() {
                    return None;
                }
                a.2 = false;
                let (sent, member, done) = (a.0, a.1, job.reply.is_none());
                accounting::count_end(&mut self.counters, Outcome::Cancelled);
                return Some(Event::Completed(Completed {
                    request: id,
                    attempt: n,
                    member,
                    outcome: Outcome::Cancelled,
                    elapsed: self.now.saturating_sub(sent),
                    request_done: done,
                    note: Note::None,
                    source_wait: 0,
                    report: Report::default(),
                }));
            }
            route::Order::SetTimer(token, after) => self.arm(self.now + after, Due::Router(token)),
            route::Order::Probe(member) => {
                self.counters.add(Counter::LoadProbes);
                self.caches.probe(member);
            }
            route::Order::Nothing => {}
        }
        None
    }
}
