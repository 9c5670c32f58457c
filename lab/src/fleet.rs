//! A simulation of proxies with real planners and gossip instances in front of simulated caches, parents and
//! an origin, in virtual time. Disruptions are scripted, and the service's rules are checked as it runs.
//!
//! Clients' arrivals are drawn in advance, so that no answer shifts them. Planners and gossip instances
//! receive only what a proxy could know.
//!
//! A simulated cache answers a hit after 8 to 30 ms plus the sending time. A miss is filled from the source:
//! a parent that holds the object adds 25 to 70 ms, one that has to ask the origin adds 80 to 200 ms. Each
//! random number depends on the request, the attempt and the member, so two runs of one seed differ only
//! where decisions do.
use crate::event_queue::EventQueue;
use crate::gossip_simulation::{address, peer, secret, OBSERVATION_INTERVAL};
use crate::net::{Net, NetworkConditions};
use crate::recorded_link::{RecordingTransport, TransportCall};
use crate::{draw, stream, unit};
use nickelgate::{Addr, Effect, Entry, Lifecycle, ListForm, Micros, Note, Outcome, Role, Settings};
use nickelgate::{Class, DedupGroup, Report, Siblings, WeightSource};
use rand_core::RngCore;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use threadward_core::stages::admit::Limits;
use threadward_core::{
    AttemptEnd, Body, CacheAnswer, ClientRequest, Dispatch, FinalAnswer, Payload, Planner, Progress,
};
use threadward_gossip::{Gossip, Notice, Output, SUSPICION_TTL};

/// A second.
pub const S: Micros = 1_000_000;
const MS: Micros = 1_000;
/// The clock at the start of a simulation, as a realistic Unix time.
pub const T0: Micros = 1_764_576_000 * S;

/// What happens to a member, from one time to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disruption {
    /// The member doesn't answer, and fills from it never end.
    Hang,
    /// Every connection breaks early in the attempt.
    FailFast,
    /// The member list marks the member as draining at the start of the disruption.
    Drain,
    /// The member restarts at the start of the disruption, empty and cold, and all proxies are told.
    Restart,
}

/// Whether proxies gossip, and whether one of them reports falsely.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GossipMode {
    /// No proxy gossips.
    Silent,
    /// All proxies report what they observe.
    Honest,
    /// The last proxy reports all the time that every parent fails.
    LiarAll,
    /// The last proxy reports all the time that one healthy parent fails.
    LiarOne,
}

/// What a simulation runs.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of caches.
    pub caches: u8,
    /// Number of parents.
    pub parents: u8,
    /// Requests per second at each proxy.
    pub requests_per_s: f64,
    /// How long clients send requests.
    pub duration: Micros,
    /// Number of objects that clients request.
    pub objects: u64,
    /// Number of objects that a cache stores, and that a parent stores.
    pub store_capacities: (usize, usize),
    /// Whether and how proxies gossip.
    pub gossip_mode: GossipMode,
    /// The disruptions: the member, what happens to it, the start and the end.
    pub disruptions: Vec<(Addr, Disruption, Micros, Micros)>,
    /// Purges per second, each of one object.
    pub purges_per_s: f64,
    /// The network between the gossip instances.
    pub conditions: NetworkConditions,
    /// Number of concurrent transfers that a warm cache sends at full speed. The check of the rule on cold
    /// starts uses it as the cache's capacity.
    pub warm_transfers: f64,
}

impl Scenario {
    /// Creates the scenario of four proxies, six caches and four parents, without disruptions.
    pub fn new(seed: u64, mode: GossipMode) -> Scenario {
        Scenario {
            seed,
            proxies: 4,
            caches: 6,
            parents: 4,
            requests_per_s: 60.0,
            duration: 30 * S,
            objects: 6_000,
            store_capacities: (700, 3_000),
            gossip_mode: mode,
            disruptions: Vec::new(),
            purges_per_s: 0.5,
            conditions: NetworkConditions::default(),
            warm_transfers: 6.0,
        }
    }
    /// Adds a disruption whose times count from the start of the simulation.
    pub fn with(mut self, member: Addr, disruption: Disruption, from: Micros, to: Micros) -> Scenario {
        self.disruptions.push((member, disruption, T0 + from, T0 + to));
        self
    }
}

/// Returns the address of a cache.
pub fn cache(n: u8) -> Addr {
    Addr { ip: [10, 1, 0, n], port: 1 }
}
/// Returns the address of a parent.
pub fn parent(n: u8) -> Addr {
    Addr { ip: [10, 2, 0, n], port: 1 }
}
/// Address of the origin.
pub const ORIGIN: Addr = Addr { ip: [10, 3, 0, 1], port: 1 };

/// Returns the router's settings in the simulation. Requests for media and pages may be retried, bookings may
/// not.
pub fn settings(proxies: usize) -> Settings {
    let media = Class {
        target_latency: 600 * MS,
        target_stretch: 1.6,
        deadline: 6 * S,
        value: 2.0,
        late_value: 0.15,
        ..Class::default()
    };
    let pages = Class {
        target_latency: 400 * MS,
        target_stretch: 2.0,
        deadline: 2_500 * MS,
        value: 1.0,
        ..media.clone()
    };
    let bookings = Class {
        target_latency: 800 * MS,
        target_stretch: 0.0,
        deadline: 3 * S,
        value: 3.0,
        late_value: 0.0,
        effect: Effect::NotRetryable,
        dedup_group: DedupGroup::All,
        pass_through: true,
        ..Class::default()
    };
    Settings {
        classes: vec![media, pages, bookings],
        zone: 1,
        routers_by_zone: vec![0, proxies as u32],
        parent_kind: Some(1),
        origin_kind: Some(2),
        siblings: Siblings::Any,
        all_notes_reported: true,
        hits_reported: true,
        transfer_kb_per_s: 7_800.0,
        weight_source: WeightSource::Rough,
        purge_complete_after: 6 * S,
        purge_grace: 300 * MS,
        drain_grace: S,
        cold_start_share: 0.2,
        cold_period: 17 * S,
        overload_multiple: 2.5,
        overload_tolerance: 2 * S,
        parent_cold_start_share: 0.06,
        parent_cold_period: 21 * S,
        parent_overload_multiple: 2.0,
        max_attempts: 8,
        parallel_attempts: true,
        cancel: true,
        retry_after: true,
        max_retry_after: S,
        min_event_interval: 2 * MS,
        answer_slack: 8 * MS,
        reports_inline: true,
        ..Settings::default()
    }
}

/// The stored objects of a member. The least recently used one is evicted first.
#[derive(Default)]
struct Store {
    /// Uses in order of time, as (object, number of the use); may contain outdated uses.
    uses: VecDeque<(u64, u64)>,
    /// The number of the last use of each stored object.
    last_use: BTreeMap<u64, u64>,
    use_count: u64,
}

impl Store {
    /// Stores an object, or records its use if it is stored already. Returns whether it was stored before.
    fn fetch(&mut self, object: u64, capacity: usize) -> bool {
        self.use_count += 1;
        let was_stored = self.last_use.insert(object, self.use_count).is_some();
        self.uses.push_back((object, self.use_count));
        while self.last_use.len() > capacity || self.uses.len() > capacity * 4 {
            let Some((oldest, number)) = self.uses.pop_front() else { break };
            if self.last_use.get(&oldest) == Some(&number) {
                self.last_use.remove(&oldest);
            }
        }
        was_stored
    }
    /// Removes an object.
    fn purge_object(&mut self, object: u64) {
        self.last_use.remove(&object);
    }
}

/// What happens at a time. The first number is a proxy's index.
enum Event {
    /// A client's request arrives, given by its index among the proxy's arrivals.
    Arrive(usize, usize),
    /// The timers of a planner are due.
    Timers(usize),
    /// An attempt ends, given by the request's id and the attempt's number.
    End(usize, u64, u16, Box<AttemptEnd>),
    /// A proxy reports its observations to its gossip instance.
    Observe(usize),
    /// The timer of a gossip instance is due.
    GossipTick(usize),
    /// A datagram arrives at a gossip instance.
    Datagram { from: SocketAddr, to: usize, bytes: Vec<u8> },
    /// An object is purged.
    Purge(u64),
    /// The member list marks a member as draining.
    Drain(Addr),
    /// A member restarts.
    Restart(Addr),
}

struct Proxy {
    planner: Planner,
    transport_calls: Rc<RefCell<Vec<TransportCall>>>,
    answers: Rc<RefCell<Vec<(usize, FinalAnswer)>>>,
    gossip: Option<Gossip>,
    /// When the planner's timer is due.
    timer_at: Micros,
    /// When the gossip instance's timer is due.
    gossip_timer_at: Micros,
    /// The time of the last failure of each disrupted member when the proxy first skipped it.
    first_skips: BTreeMap<Addr, Micros>,
    /// The number of skips of each member to which the suspicion of other proxies contributed, so far.
    counted_suspicion_skips: BTreeMap<Addr, u32>,
    /// Attempts in flight. A withdrawn attempt is removed.
    in_flight: BTreeSet<(u64, u16)>,
    /// Bookings that a cache may have carried out: the request and the attempt.
    may_have_run: BTreeMap<u64, u16>,
}

/// One client request, drawn in advance.
struct Arrival {
    at: Micros,
    class: u8,
    object: u64,
    /// Number of answers so far.
    answer_count: u8,
}

/// The results of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    /// Number of requests that arrived.
    pub requests: u64,
    /// Number of requests that were served.
    pub served: u64,
    /// Number of requests that were refused.
    pub refused: u64,
    /// Number of requests that failed.
    pub failed: u64,
    /// Value of the served requests as a share of the value of all requests.
    pub served_value_share: f64,
    /// Mean latency of the served requests.
    pub mean_latency: Micros,
    /// For each hang or fast failure, in the order of the scenario, how long after its start each proxy first
    /// skipped the member; `None` for a proxy that didn't before the end of the disruption.
    pub skip_delays: Vec<Vec<Option<Micros>>>,
    /// Number of skips of disrupted members to which the suspicion of other proxies contributed.
    pub suspicion_skips_of_failing: u32,
    /// Number of skips of healthy members to which the suspicion of other proxies contributed.
    pub suspicion_skips_of_healthy: u32,
    /// Bytes of gossip that arrived.
    pub gossip_bytes: u64,
    /// Datagrams of gossip that arrived.
    pub gossip_datagrams: u64,
    /// Descriptions of violations of the service's rules.
    pub rule_violations: Vec<String>,
}

impl Record {
    /// Returns the time from the start of the first disruption until all proxies skip the member, or `end` if
    /// one never did.
    pub fn time_until_all_skip(&self, end: Micros) -> Micros {
        let last = |of: &Vec<Option<Micros>>| of.iter().map(|t| t.unwrap_or(end)).max().unwrap_or(end);
        self.skip_delays.first().map_or(end, last)
    }
}

/// A simulation of one scenario, to be run once.
pub struct Fleet {
    scenario: Scenario,
    settings: Settings,
    queue: EventQueue<Event>,
    proxies: Vec<Proxy>,
    arrivals: Vec<Vec<Arrival>>,
    stores: BTreeMap<Addr, Store>,
    /// When each object was last purged.
    purged_at: BTreeMap<u64, Micros>,
    /// When each draining member began to drain.
    drained_at: BTreeMap<Addr, Micros>,
    /// When each restarted cache was restarted, and the work that all proxies sent it within the last
    /// `overload_tolerance`: times and mean sending times.
    restarted: BTreeMap<Addr, (Micros, VecDeque<(Micros, Micros)>)>,
    net: Net,
    report: Record,
    value_served: f64,
    value_requested: f64,
    /// Sum of the latencies of all served requests.
    total_latency: Micros,
}

/// Returns the member list.
fn entries(scenario: &Scenario) -> Vec<Entry> {
    let entry = |addr, zone, kind, weight| Entry { addr, zone, kind, weight, ..Entry::default() };
    (1..=scenario.caches)
        .map(|n| entry(cache(n), 1, 0, 6.0))
        .chain((1..=scenario.parents).map(|n| entry(parent(n), 0, 1, 12.0)))
        .chain([entry(ORIGIN, 0, 2, 0.0)])
        .collect()
}

impl Fleet {
    /// Creates the simulation of a scenario.
    pub fn new(scenario: Scenario) -> Fleet {
        let settings = settings(scenario.proxies);
        let mut queue = EventQueue::new(T0);
        let peers: Vec<_> = (0..scenario.proxies).map(|i| peer(i, 2)).collect();
        let mut proxies = Vec::new();
        let mut arrivals = Vec::new();
        for i in 0..scenario.proxies {
            let (transport_calls, answers) = (Rc::default(), Rc::default());
            let limits = Limits { max_open: 4096, max_bytes: usize::MAX, retry_after: 250 * MS };
            let link = Box::new(RecordingTransport(Rc::clone(&transport_calls)));
            let mut planner = Planner::new(settings.clone(), scenario.seed ^ i as u64, limits, link);
            planner.update_members(T0, ListForm::Full, entries(&scenario));
            let gossip = (scenario.gossip_mode != GossipMode::Silent).then(|| {
                let mut entropy = [0; 32];
                stream(scenario.seed, 0x100 + i as u64).fill_bytes(&mut entropy);
                let s = threadward_gossip::Settings::new(&format!("n{i}"), secret(i), peers.clone());
                Gossip::new(T0, s, entropy).unwrap_or_else(|e| panic!("n{i}: {e}"))
            });
            if gossip.is_some() {
                queue.schedule(T0, Event::GossipTick(i));
            }
            queue.schedule(T0 + i as u64 * 7 * MS, Event::Observe(i));
            let (own, n) = (draw_arrivals(&scenario, i, &settings), i);
            for (k, a) in own.iter().enumerate() {
                queue.schedule(a.at, Event::Arrive(n, k));
            }
            arrivals.push(own);
            proxies.push(Proxy {
                planner,
                transport_calls,
                answers,
                gossip,
                timer_at: Micros::MAX,
                gossip_timer_at: T0,
                first_skips: BTreeMap::new(),
                counted_suspicion_skips: BTreeMap::new(),
                in_flight: BTreeSet::new(),
                may_have_run: BTreeMap::new(),
            });
        }
        let mut rng = stream(scenario.seed, 3);
        let mut at = T0;
        loop {
            at += (-unit(&mut rng).max(1e-12).ln() / scenario.purges_per_s.max(1e-9) * 1e6) as Micros;
            if at > T0 + scenario.duration {
                break;
            }
            let class = u64::from(unit(&mut rng) < 0.6);
            queue.schedule(at, Event::Purge(draw_object(&scenario, &mut rng) << 2 | class));
        }
        for (a, t, from, _) in &scenario.disruptions {
            match t {
                Disruption::Drain => queue.schedule(*from, Event::Drain(*a)),
                Disruption::Restart => queue.schedule(*from, Event::Restart(*a)),
                Disruption::Hang | Disruption::FailFast => {}
            }
        }
        let net = Net::new(scenario.seed, scenario.conditions);
        Fleet {
            queue,
            proxies,
            arrivals,
            stores: BTreeMap::new(),
            purged_at: BTreeMap::new(),
            drained_at: BTreeMap::new(),
            restarted: BTreeMap::new(),
            net,
            report: Record::default(),
            value_served: 0.0,
            value_requested: 0.0,
            total_latency: 0,
            settings,
            scenario,
        }
    }

    /// Returns the disruption of a member at a time.
    fn disruption(&self, member: Addr, now: Micros) -> Option<Disruption> {
        let active = |t: &&(Addr, Disruption, Micros, Micros)| t.0 == member && (t.2..t.3).contains(&now);
        self.scenario.disruptions.iter().find(active).map(|t| t.1)
    }

    /// Runs the simulation to its end and returns the results.
    pub fn run(mut self) -> Record {
        let until = T0 + self.scenario.duration + 8 * S;
        while let Some(event) = self.queue.pop(until) {
            let now = self.queue.now;
            match event {
                Event::Arrive(i, k) => self.arrive(i, k),
                // The timer has been replaced by an earlier one.
                Event::Timers(i) if self.proxies[i].timer_at != now => {}
                Event::Timers(i) => {
                    self.proxies[i].timer_at = Micros::MAX;
                    self.proxies[i].planner.run_timers(now);
                    self.run_orders(i);
                }
                Event::End(i, id, n, end) => {
                    if self.proxies[i].in_flight.remove(&(id, n)) {
                        self.proxies[i].planner.attempt_ended(now, id, n, *end);
                        self.run_orders(i);
                    }
                }
                Event::Observe(i) => self.report_observations(i),
                Event::GossipTick(i) if self.proxies[i].gossip_timer_at != now => {}
                Event::GossipTick(i) => {
                    self.proxies[i].gossip_timer_at = Micros::MAX;
                    self.call_gossip(i, |g, now, out| g.tick(now, out));
                }
                Event::Datagram { from, to, bytes } => {
                    self.call_gossip(to, |g, now, out| g.receive(now, from, &bytes, out));
                }
                Event::Purge(object) => {
                    self.purged_at.insert(object, now);
                    self.stores.values_mut().for_each(|s| s.purge_object(object));
                    for i in 0..self.proxies.len() {
                        self.proxies[i].planner.purge(now, 0, Some(object), 0);
                        self.run_orders(i);
                    }
                }
                Event::Drain(member) => {
                    self.drained_at.insert(member, now);
                    self.update_member(member, |e| Entry { state: Lifecycle::Draining, ..e });
                }
                Event::Restart(member) => {
                    self.stores.remove(&member);
                    self.restarted.insert(member, (now, VecDeque::new()));
                    self.update_member(member, |e| Entry { started_at: now, incarnation: now, ..e });
                }
            }
        }
        for (i, of) in self.arrivals.iter().enumerate() {
            for (k, a) in of.iter().enumerate().filter(|(_, a)| a.answer_count != 1) {
                self.report
                    .rule_violations
                    .push(format!("request {k} of n{i} got {} answers", a.answer_count));
            }
        }
        let r = &mut self.report;
        r.served_value_share = self.value_served / self.value_requested.max(1e-9);
        r.mean_latency = self.total_latency / r.served.max(1);
        (r.gossip_bytes, r.gossip_datagrams) = (self.net.bytes, self.net.delivered);
        for (member, disruption, from, to) in &self.scenario.disruptions {
            if matches!(disruption, Disruption::Hang | Disruption::FailFast) {
                let first = |p: &Proxy| {
                    let at = p.first_skips.get(member).copied();
                    at.filter(|at| at < to).map(|at| at.saturating_sub(*from))
                };
                r.skip_delays.push(self.proxies.iter().map(first).collect());
            }
        }
        self.report
    }

    /// Updates the entry of one member in every proxy's member list.
    fn update_member(&mut self, member: Addr, change: impl Fn(Entry) -> Entry) {
        let now = self.queue.now;
        for i in 0..self.proxies.len() {
            let list =
                entries(&self.scenario).into_iter().filter(|e| e.addr == member).map(&change).collect();
            self.proxies[i].planner.update_members(now, ListForm::Delta, list);
            self.run_orders(i);
        }
    }

    /// Records work sent to a cache and checks the rule on cold starts, as WIRE states it: in no interval of
    /// `overload_tolerance` do all proxies together send a cold cache more work (counted at the mean sending
    /// time of its class) than `overload_multiple` times what the cache can do by then. A tenth more is
    /// allowed for random variation.
    fn check_cold_start(&mut self, member: Addr, work: Micros) {
        let (now, s) = (self.queue.now, &self.settings);
        let Some((from, sent)) =
            self.restarted.get_mut(&member).filter(|(from, _)| now < from + s.cold_period)
        else {
            return;
        };
        sent.push_back((now, work));
        while sent.front().is_some_and(|(at, _)| at + s.overload_tolerance < now) {
            sent.pop_front();
        }
        let share =
            s.cold_start_share + (1.0 - s.cold_start_share) * (now - *from) as f64 / s.cold_period as f64;
        let allowed =
            1.1 * s.overload_multiple * share * self.scenario.warm_transfers * s.overload_tolerance as f64;
        let sum: Micros = sent.iter().map(|(_, w)| w).sum();
        if sum as f64 > allowed {
            self.report
                .rule_violations
                .push(format!("cold {member:?} sent {sum} us of work in a span that allows {allowed:.0}"));
        }
    }

    /// Passes an arriving request to a proxy's planner.
    fn arrive(&mut self, i: usize, k: usize) {
        let (now, a) = (self.queue.now, &self.arrivals[i][k]);
        let class = &self.settings.classes[usize::from(a.class)];
        self.value_requested += class.value;
        self.report.requests += 1;
        let incoming = ClientRequest {
            call_id: format!("{i}-{k}").into(),
            class: a.class,
            object: a.object,
            object_name: format!("{:016x}", a.object).into(),
            expires_at: now + class.deadline,
            ..ClientRequest::default()
        };
        let answers = self.proxies[i].answers.clone();
        let reply = Box::new(move |last| answers.borrow_mut().push((k, last)));
        self.proxies[i].planner.accept_request(now, 0, incoming, reply);
        self.run_orders(i);
    }

    /// Carries out a planner's calls to its transport, takes its answers and schedules its next timer.
    fn run_orders(&mut self, i: usize) {
        loop {
            let transport_calls: Vec<TransportCall> =
                self.proxies[i].transport_calls.borrow_mut().drain(..).collect();
            if transport_calls.is_empty() {
                break;
            }
            for call in transport_calls {
                match call {
                    TransportCall::Send(d) => self.send(i, &d),
                    TransportCall::Withdraw(id, n) => {
                        self.proxies[i].in_flight.remove(&(id, n));
                    }
                }
            }
        }
        let now = self.queue.now;
        let answers: Vec<(usize, FinalAnswer)> = self.proxies[i].answers.borrow_mut().drain(..).collect();
        let s = &self.settings;
        let mut served = 0;
        for (k, last) in answers {
            let a = &mut self.arrivals[i][k];
            a.answer_count += 1;
            let class = &s.classes[usize::from(a.class)];
            let took = now - a.at;
            if took > class.deadline + s.answer_slack {
                self.report.rule_violations.push(format!("request {k} of n{i} answered after {took} us"));
            }
            match last {
                FinalAnswer::Served(_) => {
                    served += 1;
                    self.report.served += 1;
                    self.total_latency += took;
                    self.value_served +=
                        class.value * if took <= class.target_latency { 1.0 } else { class.late_value };
                }
                FinalAnswer::Refused { .. } => self.report.refused += 1,
                FinalAnswer::Failed => self.report.failed += 1,
            }
        }
        if let Some(g) = &mut self.proxies[i].gossip {
            g.add_served_requests(served);
        }
        let due = self.proxies[i].planner.next_due().unwrap_or(Micros::MAX);
        if due < self.proxies[i].timer_at {
            self.proxies[i].timer_at = due.max(now);
            self.queue.schedule(due, Event::Timers(i));
        }
    }

    /// Handles an attempt that reaches a simulated member: checks it against the rules and schedules its end.
    fn send(&mut self, i: usize, d: &Dispatch) {
        let now = self.queue.now;
        let (id, n, member, object) = (d.request, d.attempt, d.member, d.client_request.object);
        self.proxies[i].in_flight.insert((id, n));
        let drained = |a: &Addr| self.drained_at.get(a).is_some_and(|at| now > at + S);
        if drained(&member) || d.source.as_ref().is_some_and(drained) {
            self.report.rule_violations.push(format!("sent to {member:?} after its drain"));
        }
        let purged =
            self.purged_at.get(&object).copied().filter(|at| now > at + 300 * MS && now < at + 6 * S);
        if let Some(at) =
            purged.filter(|at| d.client_request.class != 2 && (d.max_age == 0 || d.max_age > now - at))
        {
            self.report
                .rule_violations
                .push(format!("a copy from before {at} would do for a request at {now}"));
        }
        if d.client_request.class == 2 {
            let before = self.proxies[i].may_have_run.insert(id, n);
            if before.is_some() {
                self.report.rule_violations.push(format!("booking {id} of n{i} went out again"));
            }
        }
        let sending_time = [90, 20, 5][usize::from(d.client_request.class)] * MS;
        self.check_cold_start(member, sending_time);
        let random = |w: u64| draw(&[self.scenario.seed, i as u64, id, u64::from(n), member.ip[3].into(), w]);
        let between = |w, shortest: Micros, longest: Micros| {
            shortest + (random(w) * (longest - shortest) as f64) as Micros
        };
        let own_delay = between(1, 8 * MS, 30 * MS) + (sending_time as f64 * (0.5 + random(2))) as Micros;
        let answered = |outcome, note, source_wait| {
            let body = Payload { body: Body::from_range(vec![1], 0..1), tag: "t".into(), unchanged: false };
            let payload = (outcome == Outcome::Ok).then_some(body);
            AttemptEnd::Answered(CacheAnswer {
                outcome,
                note,
                source_wait,
                report: Report::default(),
                payload,
            })
        };
        let (after, end) = match self.disruption(member, now) {
            Some(Disruption::Hang) => return,
            Some(Disruption::FailFast) => (5 * MS, AttemptEnd::ConnectionFailed(Progress::FullyWritten)),
            _ if d.client_request.class == 2 => {
                let fill = d.source.map_or(0, |_| between(3, 60 * MS, 120 * MS));
                (own_delay + fill, answered(Outcome::Ok, Note::FilledOrigin, fill))
            }
            _ => {
                let is_stored = self.stores.entry(member).or_default().last_use.contains_key(&object);
                match d.source {
                    _ if is_stored => (own_delay, answered(Outcome::Ok, Note::Hit, 0)),
                    None => (own_delay / 4, answered(Outcome::Miss, Note::None, 0)),
                    Some(s) if self.disruption(s, now) == Some(Disruption::Hang) => return,
                    Some(s) => {
                        let at_parent = s != ORIGIN
                            && self
                                .stores
                                .entry(s)
                                .or_default()
                                .fetch(object, self.scenario.store_capacities.1);
                        let note = if at_parent { Note::Filled } else { Note::FilledOrigin };
                        let wait = if at_parent {
                            between(4, 25 * MS, 70 * MS)
                        } else {
                            between(4, 80 * MS, 200 * MS)
                        };
                        (own_delay + wait, answered(Outcome::Ok, note, wait))
                    }
                }
            }
        };
        if d.client_request.class != 2 && matches!(&end, AttemptEnd::Answered(t) if t.outcome == Outcome::Ok)
        {
            self.stores.entry(member).or_default().fetch(object, self.scenario.store_capacities.0);
        }
        if let AttemptEnd::Answered(CacheAnswer { outcome: Outcome::Miss, .. }) = end {
            self.proxies[i].may_have_run.remove(&id);
        }
        self.queue.schedule(now + after, Event::End(i, id, n, Box::new(end)));
    }

    /// Passes the health of members, as a proxy's own traffic shows it, to its gossip instance, and counts
    /// the skips to which suspicion contributed.
    fn report_observations(&mut self, i: usize) {
        let now = self.queue.now;
        if now < T0 + self.scenario.duration {
            self.queue.schedule(now + OBSERVATION_INTERVAL, Event::Observe(i));
        }
        let mut health = self.proxies[i].planner.member_health();
        for s in &health {
            let disrupted =
                self.scenario.disruptions.iter().any(|t| t.0 == s.member && now >= t.2 && now < t.3 + 5 * S);
            if s.skipped && disrupted {
                self.proxies[i].first_skips.entry(s.member).or_insert(s.last_failed_at);
            }
            let before =
                self.proxies[i].counted_suspicion_skips.insert(s.member, s.suspicion_skips).unwrap_or(0);
            let more = s.suspicion_skips - before;
            if disrupted {
                self.report.suspicion_skips_of_failing += more;
            } else {
                self.report.suspicion_skips_of_healthy += more;
            }
        }
        if i + 1 == self.scenario.proxies
            && matches!(self.scenario.gossip_mode, GossipMode::LiarAll | GossipMode::LiarOne)
        {
            let all = self.scenario.gossip_mode == GossipMode::LiarAll;
            let accused = |m: Addr| m == parent(self.scenario.parents) || all;
            for s in health.iter_mut().filter(|s| s.role == Role::Parent && accused(s.member)) {
                (s.last_failed_at, s.last_good_at, s.skipped, s.last_failure) =
                    (now, 0, true, Some(Outcome::Timeout));
            }
        }
        self.call_gossip(i, |g, now, out| g.observe(now, &health, out));
    }

    /// Calls a proxy's gossip instance, sends its datagrams, passes its notices to the planner and schedules
    /// its next timer.
    fn call_gossip(&mut self, i: usize, f: impl FnOnce(&mut Gossip, Micros, &mut Output)) {
        let now = self.queue.now;
        let mut out = Output::default();
        let Some(g) = self.proxies[i].gossip.as_mut() else { return };
        f(g, now, &mut out);
        for (to, bytes) in out.send {
            if bytes.len() > 256 {
                self.report.rule_violations.push(format!("a datagram of {} bytes", bytes.len()));
            }
            let Some(to) = (0..self.proxies.len()).find(|k| address(*k) == to) else { continue };
            for at in self.net.transmit(now, i, to, bytes.len()) {
                let event = Event::Datagram { from: address(i), to, bytes: bytes.clone() };
                self.queue.schedule(at, event);
            }
        }
        for notice in out.notices {
            let planner = &mut self.proxies[i].planner;
            match notice {
                Notice::Suspicion(d) => {
                    planner.report_suspicion(
                        now,
                        d.member,
                        d.incarnation,
                        if d.suspected { SUSPICION_TTL } else { 0 },
                    );
                }
                Notice::SuspicionContinues { member, incarnation } => {
                    planner.report_suspicion(now, member, incarnation, SUSPICION_TTL)
                }
                _ => {}
            }
        }
        let due = self.proxies[i].gossip.as_ref().map_or(Micros::MAX, Gossip::next_due);
        if due < self.proxies[i].gossip_timer_at && now < T0 + self.scenario.duration {
            self.proxies[i].gossip_timer_at = due.max(now);
            self.queue.schedule(due, Event::GossipTick(i));
        }
        self.run_orders(i);
    }
}

/// Draws an object. The popularity of an object is roughly proportional to 1/rank.
fn draw_object(scenario: &Scenario, rng: &mut impl RngCore) -> u64 {
    (scenario.objects as f64).powf(unit(rng)) as u64
}

/// Draws all requests that arrive at one proxy.
fn draw_arrivals(scenario: &Scenario, i: usize, s: &Settings) -> Vec<Arrival> {
    let mut rng = stream(scenario.seed, 0x1000 + i as u64);
    let (mut at, mut all) = (T0 + 100 * MS, Vec::new());
    loop {
        at += (-unit(&mut rng).max(1e-12).ln() / scenario.requests_per_s * 1e6) as Micros;
        if at > T0 + scenario.duration {
            return all;
        }
        let class = match unit(&mut rng) {
            x if x < 0.35 => 0,
            x if x < 0.95 => 1,
            _ => 2,
        };
        let object = draw_object(scenario, &mut rng) << 2 | class;
        all.push(Arrival { at, class: class.min(s.classes.len() as u64 - 1) as u8, object, answer_count: 0 });
    }
}
