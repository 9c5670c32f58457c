//! Proxies with real planners and gossip instances before stand-ins of caches, hubs and an origin, in virtual time, with
//! troubles by script and the rules checked. It owns the stand-ins, the clients' arrivals (drawn ahead, so that no
//! answer moves them) and the record. It must never tell a planner or a gossip instance what a proxy could not know.
//!
//! A stand-in cache answers a hit after 8 to 30 ms and the sending time; a miss goes to the source: a hub that holds
//! the object takes 25 to 70 ms more, one that has to ask the origin 80 to 200 ms. Each draw belongs to the request,
//! the attempt and the member, so two runs of one seed differ only where decisions do.
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

pub const S: Micros = 1_000_000;
const MS: Micros = 1_000;
/// The clock at the start: an ordinary Unix time.
pub const T0: Micros = 1_764_576_000 * S;

/// What goes wrong with a member, between two points on the clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disruption {
    /// Says nothing; fills from it never end.
    Hang,
    /// Breaks the connection under each attempt, at once.
    FailFast,
    /// Leaves the list at its beginning.
    Drain,
    /// Starts anew at its beginning, empty and cold, and all are told.
    Restart,
}

/// Who gossips, and how.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GossipMode {
    /// Nobody: as if there were none.
    Silent,
    Honest,
    /// The last one accuses every parent, all the time.
    LiarAll,
    /// The last one accuses one parent, which is well.
    LiarOne,
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub proxies: usize,
    pub caches: u8,
    pub parents: u8,
    /// Requests a second at each proxy.
    pub requests_per_s: f64,
    pub duration: Micros,
    pub objects: u64,
    /// Objects that a cache holds, and a hub.
    pub store_capacities: (usize, usize),
    pub gossip_mode: GossipMode,
    pub disruptions: Vec<(Addr, Disruption, Micros, Micros)>,
    /// Purges a second, each of one object.
    pub purges_per_s: f64,
    pub conditions: NetworkConditions,
    /// Transfers that a warm cache carries at full pace: what the rule on cold starts is held against.
    pub warm_transfers: f64,
}

impl Scenario {
    pub fn new(seed: u64, talk: GossipMode) -> Scenario {
        Scenario {
            seed,
            proxies: 4,
            caches: 6,
            parents: 4,
            requests_per_s: 60.0,
            duration: 30 * S,
            objects: 6_000,
            store_capacities: (700, 3_000),
            gossip_mode: talk,
            disruptions: Vec::new(),
            purges_per_s: 0.5,
            conditions: NetworkConditions::default(),
            warm_transfers: 6.0,
        }
    }
    pub fn with(mut self, member: Addr, trouble: Disruption, from: Micros, to: Micros) -> Scenario {
        self.disruptions.push((member, trouble, T0 + from, T0 + to));
        self
    }
}

pub fn cache(n: u8) -> Addr {
    Addr { ip: [10, 1, 0, n], port: 1 }
}
pub fn parent(n: u8) -> Addr {
    Addr { ip: [10, 2, 0, n], port: 1 }
}
pub const ORIGIN: Addr = Addr { ip: [10, 3, 0, 1], port: 1 };

/// The settings of the stand-in's installation: media and pages may be repeated, bookings not.
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

/// Objects held, the one used longest ago dropped first.
#[derive(Default)]
struct Store {
    order: VecDeque<(u64, u64)>,
    last: BTreeMap<u64, u64>,
    uses: u64,
}

impl Store {
    /// Whether it is held; it is from now on.
    fn take(&mut self, object: u64, most: usize) -> bool {
        self.uses += 1;
        let held = self.last.insert(object, self.uses).is_some();
        self.order.push_back((object, self.uses));
        while self.last.len() > most || self.order.len() > most * 4 {
            let Some((o, use_)) = self.order.pop_front() else { break };
            if self.last.get(&o) == Some(&use_) {
                self.last.remove(&o);
            }
        }
        held
    }
    fn drop(&mut self, object: u64) {
        self.last.remove(&object);
    }
}

enum Event {
    Arrive(usize, usize),
    /// A proxy's timers.
    Timers(usize),
    End(usize, u64, u16, Box<AttemptEnd>),
    Look(usize),
    Tick(usize),
    Datagram {
        from: SocketAddr,
        to: usize,
        bytes: Vec<u8>,
    },
    Purge(u64),
    Drain(Addr),
    Restart(Addr),
}

struct Proxy {
    planner: Planner,
    transport_calls: Rc<RefCell<Vec<TransportCall>>>,
    answers: Rc<RefCell<Vec<(usize, FinalAnswer)>>>,
    gossip: Option<Gossip>,
    armed: Micros,
    gossip_armed: Micros,
    /// When it first skipped each member, and how many skips of it a rumour helped.
    skipped: BTreeMap<Addr, Micros>,
    helped: BTreeMap<Addr, u32>,
    /// Attempts that are out: what a withdrawal ends.
    out: BTreeSet<(u64, u16)>,
    /// Attempts of bookings that may have run.
    ran: BTreeMap<u64, u16>,
}

/// One request of a client, drawn ahead.
struct Arrival {
    at: Micros,
    class: u8,
    object: u64,
    answered: u8,
}

/// What a run showed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    pub requests: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    /// Worth served over worth asked for.
    pub served_value_share: f64,
    /// Mean time of those served.
    pub mean_latency: Micros,
    /// When each proxy first skipped each member in trouble, from its beginning; none: it never did.
    pub skip_delays: Vec<Vec<Option<Micros>>>,
    /// Skips that a rumour helped: of members in trouble, and of healthy ones.
    pub suspicion_skips_of_failing: u32,
    pub suspicion_skips_of_healthy: u32,
    pub gossip_bytes: u64,
    pub gossip_datagrams: u64,
    /// Breaks of the rules, in words.
    pub rule_violations: Vec<String>,
}

impl Record {
    /// From the beginning of the first trouble until all proxies skip the member; the end where one never did.
    pub fn time_until_all_skip(&self, end: Micros) -> Micros {
        let last = |of: &Vec<Option<Micros>>| of.iter().map(|t| t.unwrap_or(end)).max().unwrap_or(end);
        self.skip_delays.first().map_or(end, last)
    }
}

pub struct Fleet {
    sc: Scenario,
    settings: Settings,
    queue: EventQueue<Event>,
    proxies: Vec<Proxy>,
    arrivals: Vec<Vec<Arrival>>,
    stores: BTreeMap<Addr, Store>,
    purged: BTreeMap<u64, Micros>,
    leaving: BTreeMap<Addr, Micros>,
    /// When each cache started anew, and the work that all proxies sent it in the last `fall`: times and mean
    /// sending times.
    started: BTreeMap<Addr, (Micros, VecDeque<(Micros, Micros)>)>,
    net: Net,
    report: Record,
    earned: f64,
    asked: f64,
    spent: Micros,
}

fn entries(sc: &Scenario) -> Vec<Entry> {
    let entry = |addr, zone, kind, weight| Entry { addr, zone, kind, weight, ..Entry::default() };
    (1..=sc.caches)
        .map(|n| entry(cache(n), 1, 0, 6.0))
        .chain((1..=sc.parents).map(|n| entry(parent(n), 0, 1, 12.0)))
        .chain([entry(ORIGIN, 0, 2, 0.0)])
        .collect()
}

impl Fleet {
    pub fn new(sc: Scenario) -> Fleet {
        let settings = settings(sc.proxies);
        let mut queue = EventQueue::new(T0);
        let peers: Vec<_> = (0..sc.proxies).map(|i| peer(i, 2)).collect();
        let mut proxies = Vec::new();
        let mut arrivals = Vec::new();
        for i in 0..sc.proxies {
            let (transport_calls, answers) = (Rc::default(), Rc::default());
            let limits = Limits { max_open: 4096, max_bytes: usize::MAX, retry_after: 250 * MS };
            let link = Box::new(RecordingTransport(Rc::clone(&transport_calls)));
            let mut planner = Planner::new(settings.clone(), sc.seed ^ i as u64, limits, link);
            planner.update_members(T0, ListForm::Full, entries(&sc));
            let gossip = (sc.gossip_mode != GossipMode::Silent).then(|| {
                let mut entropy = [0; 32];
                stream(sc.seed, 0x100 + i as u64).fill_bytes(&mut entropy);
                let s = threadward_gossip::Settings::new(&format!("n{i}"), secret(i), peers.clone());
                Gossip::new(T0, s, entropy).unwrap_or_else(|e| panic!("n{i}: {e}"))
            });
            if gossip.is_some() {
                queue.schedule(T0, Event::Tick(i));
            }
            queue.schedule(T0 + i as u64 * 7 * MS, Event::Look(i));
            let (own, n) = (draw_arrivals(&sc, i, &settings), i);
            for (k, a) in own.iter().enumerate() {
                queue.schedule(a.at, Event::Arrive(n, k));
            }
            arrivals.push(own);
            proxies.push(Proxy {
                planner,
                transport_calls,
                answers,
                gossip,
                armed: Micros::MAX,
                gossip_armed: T0,
                skipped: BTreeMap::new(),
                helped: BTreeMap::new(),
                out: BTreeSet::new(),
                ran: BTreeMap::new(),
            });
        }
        let mut rng = stream(sc.seed, 3);
        let mut at = T0;
        loop {
            at += (-unit(&mut rng).max(1e-12).ln() / sc.purges_per_s.max(1e-9) * 1e6) as Micros;
            if at > T0 + sc.duration {
                break;
            }
            let class = u64::from(unit(&mut rng) < 0.6);
            queue.schedule(at, Event::Purge(popular(&sc, &mut rng) << 2 | class));
        }
        for (a, t, from, _) in &sc.disruptions {
            match t {
                Disruption::Drain => queue.schedule(*from, Event::Drain(*a)),
                Disruption::Restart => queue.schedule(*from, Event::Restart(*a)),
                Disruption::Hang | Disruption::FailFast => {}
            }
        }
        let net = Net::new(sc.seed, sc.conditions);
        Fleet {
            queue,
            proxies,
            arrivals,
            stores: BTreeMap::new(),
            purged: BTreeMap::new(),
            leaving: BTreeMap::new(),
            started: BTreeMap::new(),
            net,
            report: Record::default(),
            earned: 0.0,
            asked: 0.0,
            spent: 0,
            settings,
            sc,
        }
    }

    fn trouble(&self, member: Addr, now: Micros) -> Option<Disruption> {
        let on = |t: &&(Addr, Disruption, Micros, Micros)| t.0 == member && (t.2..t.3).contains(&now);
        self.sc.disruptions.iter().find(on).map(|t| t.1)
    }

    /// Plays it to the end.
    pub fn run(mut self) -> Record {
        let until = T0 + self.sc.duration + 8 * S;
        while let Some(event) = self.queue.pop(until) {
            let now = self.queue.now;
            match event {
                Event::Arrive(i, k) => self.arrive(i, k),
                // A timer that was armed anew for an earlier time is void.
                Event::Timers(i) if self.proxies[i].armed != now => {}
                Event::Timers(i) => {
                    self.proxies[i].armed = Micros::MAX;
                    self.proxies[i].planner.run_timers(now);
                    self.run_orders(i);
                }
                Event::End(i, id, n, end) => {
                    if self.proxies[i].out.remove(&(id, n)) {
                        self.proxies[i].planner.attempt_ended(now, id, n, *end);
                        self.run_orders(i);
                    }
                }
                Event::Look(i) => self.look(i),
                Event::Tick(i) if self.proxies[i].gossip_armed != now => {}
                Event::Tick(i) => {
                    self.proxies[i].gossip_armed = Micros::MAX;
                    self.talk(i, |g, now, out| g.tick(now, out));
                }
                Event::Datagram { from, to, bytes } => {
                    self.talk(to, |g, now, out| g.receive(now, from, &bytes, out));
                }
                Event::Purge(object) => {
                    self.purged.insert(object, now);
                    self.stores.values_mut().for_each(|s| s.drop(object));
                    for i in 0..self.proxies.len() {
                        self.proxies[i].planner.purge(now, 0, Some(object), 0);
                        self.run_orders(i);
                    }
                }
                Event::Drain(member) => {
                    self.leaving.insert(member, now);
                    self.list(member, |e| Entry { state: Lifecycle::Draining, ..e });
                }
                Event::Restart(member) => {
                    self.stores.remove(&member);
                    self.started.insert(member, (now, VecDeque::new()));
                    self.list(member, |e| Entry { started_at: now, incarnation: now, ..e });
                }
            }
        }
        for (i, of) in self.arrivals.iter().enumerate() {
            for (k, a) in of.iter().enumerate().filter(|(_, a)| a.answered != 1) {
                self.report.rule_violations.push(format!("request {k} of n{i} got {} answers", a.answered));
            }
        }
        let r = &mut self.report;
        r.served_value_share = self.earned / self.asked.max(1e-9);
        r.mean_latency = self.spent / r.served.max(1);
        (r.gossip_bytes, r.gossip_datagrams) = (self.net.bytes, self.net.delivered);
        for (member, trouble, from, to) in &self.sc.disruptions {
            if matches!(trouble, Disruption::Hang | Disruption::FailFast) {
                let first = |p: &Proxy| {
                    let at = p.skipped.get(member).copied();
                    at.filter(|at| at < to).map(|at| at.saturating_sub(*from))
                };
                r.skip_delays.push(self.proxies.iter().map(first).collect());
            }
        }
        self.report
    }

    /// Tells every proxy of a change to one member.
    fn list(&mut self, member: Addr, change: impl Fn(Entry) -> Entry) {
        let now = self.queue.now;
        for i in 0..self.proxies.len() {
            let list = entries(&self.sc).into_iter().filter(|e| e.addr == member).map(&change).collect();
            self.proxies[i].planner.update_members(now, ListForm::Delta, list);
            self.run_orders(i);
        }
    }

    /// The rule on cold starts, as WIRE words it: in no span of `fall` more work, from all proxies together and at
    /// the mean sending time of its class, than the multiple of what the cache can do by then; a tenth for chance.
    fn cold(&mut self, member: Addr, work: Micros) {
        let (now, s) = (self.queue.now, &self.settings);
        let Some((from, sent)) = self.started.get_mut(&member).filter(|(from, _)| now < from + s.cold_period)
        else {
            return;
        };
        sent.push_back((now, work));
        while sent.front().is_some_and(|(at, _)| at + s.overload_tolerance < now) {
            sent.pop_front();
        }
        let share =
            s.cold_start_share + (1.0 - s.cold_start_share) * (now - *from) as f64 / s.cold_period as f64;
        let most = 1.1 * s.overload_multiple * share * self.sc.warm_transfers * s.overload_tolerance as f64;
        let sum: Micros = sent.iter().map(|(_, w)| w).sum();
        if sum as f64 > most {
            self.report
                .rule_violations
                .push(format!("cold {member:?} sent {sum} us of work in a span that bears {most:.0}"));
        }
    }

    fn arrive(&mut self, i: usize, k: usize) {
        let (now, a) = (self.queue.now, &self.arrivals[i][k]);
        let class = &self.settings.classes[usize::from(a.class)];
        self.asked += class.value;
        self.report.requests += 1;
        let ask = ClientRequest {
            call_id: format!("{i}-{k}").into(),
            class: a.class,
            object: a.object,
            object_name: format!("{:016x}", a.object).into(),
            expires_at: now + class.deadline,
            ..ClientRequest::default()
        };
        let answers = self.proxies[i].answers.clone();
        let reply = Box::new(move |last| answers.borrow_mut().push((k, last)));
        self.proxies[i].planner.accept_request(now, 0, ask, reply);
        self.run_orders(i);
    }

    /// Carries out what a planner wants, takes its answers, and sees to its timers.
    fn run_orders(&mut self, i: usize) {
        loop {
            let transport_calls: Vec<TransportCall> =
                self.proxies[i].transport_calls.borrow_mut().drain(..).collect();
            if transport_calls.is_empty() {
                break;
            }
            for o in transport_calls {
                match o {
                    TransportCall::Send(d) => self.send(i, &d),
                    TransportCall::Withdraw(id, n) => {
                        self.proxies[i].out.remove(&(id, n));
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
            a.answered += 1;
            let class = &s.classes[usize::from(a.class)];
            let took = now - a.at;
            if took > class.deadline + s.answer_slack {
                self.report.rule_violations.push(format!("request {k} of n{i} answered after {took} us"));
            }
            match last {
                FinalAnswer::Served(_) => {
                    served += 1;
                    self.report.served += 1;
                    self.spent += took;
                    self.earned +=
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
        if due < self.proxies[i].armed {
            self.proxies[i].armed = due.max(now);
            self.queue.schedule(due, Event::Timers(i));
        }
    }

    /// An attempt reaches a stand-in: checked against the rules, then answered in its time.
    fn send(&mut self, i: usize, d: &Dispatch) {
        let now = self.queue.now;
        let (id, n, member, object) = (d.request, d.attempt, d.member, d.client_request.object);
        self.proxies[i].out.insert((id, n));
        let drained = |a: &Addr| self.leaving.get(a).is_some_and(|at| now > at + S);
        if drained(&member) || d.source.as_ref().is_some_and(drained) {
            self.report.rule_violations.push(format!("sent to {member:?} after its drain"));
        }
        let purged = self.purged.get(&object).copied().filter(|at| now > at + 300 * MS && now < at + 6 * S);
        if let Some(at) =
            purged.filter(|at| d.client_request.class != 2 && (d.max_age == 0 || d.max_age > now - at))
        {
            self.report
                .rule_violations
                .push(format!("a copy from before {at} would do for a request at {now}"));
        }
        if d.client_request.class == 2 {
            let before = self.proxies[i].ran.insert(id, n);
            if before.is_some() {
                self.report.rule_violations.push(format!("booking {id} of n{i} went out again"));
            }
        }
        let sending = [90, 20, 5][usize::from(d.client_request.class)] * MS;
        self.cold(member, sending);
        let word = |w: u64| draw(&[self.sc.seed, i as u64, id, u64::from(n), member.ip[3].into(), w]);
        let between = |w, least: Micros, most: Micros| least + (word(w) * (most - least) as f64) as Micros;
        let near = between(1, 8 * MS, 30 * MS) + (sending as f64 * (0.5 + word(2))) as Micros;
        let told = |outcome, note, waited| {
            let body = Payload { body: Body::from_range(vec![1], 0..1), tag: "t".into(), unchanged: false };
            let payload = (outcome == Outcome::Ok).then_some(body);
            AttemptEnd::Answered(CacheAnswer {
                outcome,
                note,
                source_wait: waited,
                report: Report::default(),
                payload,
            })
        };
        let (after, end) = match self.trouble(member, now) {
            Some(Disruption::Hang) => return,
            Some(Disruption::FailFast) => (5 * MS, AttemptEnd::ConnectionFailed(Progress::FullyWritten)),
            _ if d.client_request.class == 2 => {
                let way = d.source.map_or(0, |_| between(3, 60 * MS, 120 * MS));
                (near + way, told(Outcome::Ok, Note::FilledOrigin, way))
            }
            _ => {
                let held = self.stores.entry(member).or_default().last.contains_key(&object);
                match d.source {
                    _ if held => (near, told(Outcome::Ok, Note::Hit, 0)),
                    None => (near / 4, told(Outcome::Miss, Note::None, 0)),
                    Some(s) if self.trouble(s, now) == Some(Disruption::Hang) => return,
                    Some(s) => {
                        let at_hub = s != ORIGIN
                            && self.stores.entry(s).or_default().take(object, self.sc.store_capacities.1);
                        let note = if at_hub { Note::Filled } else { Note::FilledOrigin };
                        let wait =
                            if at_hub { between(4, 25 * MS, 70 * MS) } else { between(4, 80 * MS, 200 * MS) };
                        (near + wait, told(Outcome::Ok, note, wait))
                    }
                }
            }
        };
        if d.client_request.class != 2 && matches!(&end, AttemptEnd::Answered(t) if t.outcome == Outcome::Ok)
        {
            self.stores.entry(member).or_default().take(object, self.sc.store_capacities.0);
        }
        if let AttemptEnd::Answered(CacheAnswer { outcome: Outcome::Miss, .. }) = end {
            self.proxies[i].ran.remove(&id);
        }
        self.queue.schedule(now + after, Event::End(i, id, n, Box::new(end)));
    }

    /// A proxy looks at what its own traffic shows, and tells its gossip instance.
    fn look(&mut self, i: usize) {
        let now = self.queue.now;
        if now < T0 + self.sc.duration {
            self.queue.schedule(now + OBSERVATION_INTERVAL, Event::Look(i));
        }
        let mut standings = self.proxies[i].planner.member_health();
        for s in &standings {
            let troubled =
                self.sc.disruptions.iter().any(|t| t.0 == s.member && now >= t.2 && now < t.3 + 5 * S);
            if s.skipped && troubled {
                self.proxies[i].skipped.entry(s.member).or_insert(s.last_failed_at);
            }
            let before = self.proxies[i].helped.insert(s.member, s.suspicion_skips).unwrap_or(0);
            let more = s.suspicion_skips - before;
            if troubled {
                self.report.suspicion_skips_of_failing += more;
            } else {
                self.report.suspicion_skips_of_healthy += more;
            }
        }
        if i + 1 == self.sc.proxies
            && matches!(self.sc.gossip_mode, GossipMode::LiarAll | GossipMode::LiarOne)
        {
            let all = self.sc.gossip_mode == GossipMode::LiarAll;
            let accused = |m: Addr| m == parent(self.sc.parents) || all;
            for s in standings.iter_mut().filter(|s| s.role == Role::Parent && accused(s.member)) {
                (s.last_failed_at, s.last_good_at, s.skipped, s.last_failure) =
                    (now, 0, true, Some(Outcome::Timeout));
            }
        }
        self.talk(i, |g, now, out| g.observe(now, &standings, out));
    }

    fn talk(&mut self, i: usize, f: impl FnOnce(&mut Gossip, Micros, &mut Output)) {
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
        for news in out.notices {
            let planner = &mut self.proxies[i].planner;
            match news {
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
        if due < self.proxies[i].gossip_armed && now < T0 + self.sc.duration {
            self.proxies[i].gossip_armed = due.max(now);
            self.queue.schedule(due, Event::Tick(i));
        }
        self.run_orders(i);
    }
}

/// An object, as popular as its place: about as 1/rank.
fn popular(sc: &Scenario, rng: &mut impl RngCore) -> u64 {
    (sc.objects as f64).powf(unit(rng)) as u64
}

fn draw_arrivals(sc: &Scenario, i: usize, s: &Settings) -> Vec<Arrival> {
    let mut rng = stream(sc.seed, 0x1000 + i as u64);
    let (mut at, mut all) = (T0 + 100 * MS, Vec::new());
    loop {
        at += (-unit(&mut rng).max(1e-12).ln() / sc.requests_per_s * 1e6) as Micros;
        if at > T0 + sc.duration {
            return all;
        }
        let class = match unit(&mut rng) {
            x if x < 0.35 => 0,
            x if x < 0.95 => 1,
            _ => 2,
        };
        let object = popular(sc, &mut rng) << 2 | class;
        all.push(Arrival { at, class: class.min(s.classes.len() as u64 - 1) as u8, object, answered: 0 });
    }
}
