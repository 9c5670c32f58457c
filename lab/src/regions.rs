//! A fleet over locations and hubs in virtual time: real planners, real budgets (their grantor decides) and real zones for
//! each proxy, before stand-ins of caches, hubs and an origin that have a capacity; outages by script, the rules checked.
//! It owns the stand-ins, the arrivals (drawn ahead) and the record. It must never tell a planner, a budget or a zone what
//! a proxy could not know.
//!
//! A stand-in answers as those of `fleet.rs`. It bears two seconds of its capacity at once; what is asked beyond waits its
//! turn, and is turned away where that turn is far. One that started anew holds nothing and can do as the settings say.
use crate::event_queue::EventQueue;
use crate::net::Net;
use crate::recorded_link::{Order, RecordedLink};
use crate::{draw, stream, unit};
use nickelgate::{Addr, Entry, Lifecycle, ListForm, Micros, Note, Outcome, Report, Settings};
use rand_core::RngCore;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::rc::Rc;
use threadward_budgets::Budgets;
use threadward_core::stages::admit::Limits;
use threadward_core::{Ask, Body, Dispatch, End, Final, Payload, Planner, Progress, Told};
use threadward_zones::map::Epoch;
use threadward_zones::state::{State, STEPS};
use threadward_zones::{wire, Out, Seat, Seen, Use, Zones};

pub use crate::day::{Day, Harm, Outage};
use crate::day::{ORIGIN, VOTERS};
pub use crate::fleet::{S, T0};
const MS: Micros = 1_000;
/// How often a proxy looks at what its traffic showed.
const LOOK: Micros = 100 * MS;
const LEASE: Micros = 1_200 * MS;
/// Mean sending time of each class, and of all as they are asked for.
const SENDING: [Micros; 3] = [90 * MS, 20 * MS, 5 * MS];
const MEAN: f64 = 43.75 * MS as f64;
/// After the decision nothing new goes to a zone that is left; the same of a member that drains.
const GRACE: Micros = S;

enum Event {
    Arrive(usize, usize),
    Timers(usize),
    End(usize, u64, u16, Box<End>),
    Look(usize),
    Budget(usize),
    Datagram {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    /// The end of an outage after which the zone starts anew.
    Restart(u16),
    Drain(Addr),
    LoseDecider,
}

/// The fleet's side of a proxy.
struct Part {
    budgets: Budgets,
    zones: Zones,
    armed: Micros,
    /// The epoch that its planner was told of last.
    epoch: Epoch,
}

struct Proxy {
    planner: Planner,
    orders: Rc<RefCell<Vec<Order>>>,
    answers: Rc<RefCell<Vec<(usize, Final)>>>,
    part: Option<Part>,
    armed: Micros,
    out: HashSet<(u64, u16)>,
    /// Bookings that may have run.
    ran: HashSet<u64>,
}

struct Arrival {
    at: Micros,
    class: u8,
    object: u64,
    answered: u8,
}

/// A cache, a hub's cache, or the origin.
#[derive(Default)]
struct Stand {
    /// When it started anew; 0: long ago, with what it holds.
    since: Micros,
    filled: HashSet<u64>,
    /// Work in a second when warm, of requests of mean size.
    able: f64,
    free: Micros,
    /// Work of this second and of the one before.
    second: Micros,
    used: [f64; 2],
    /// What all proxies sent in the last `fall`, while it is cold.
    sent: VecDeque<(Micros, f64)>,
}

/// A leave: when it was decided, under which epoch, and who has yet to act.
struct Leave {
    epoch: Epoch,
    zone: u16,
    at: Micros,
    waits: Vec<bool>,
    last: Micros,
}

/// What a day showed.
#[derive(Clone, Debug, Default)]
pub struct Record {
    pub name: &'static str,
    pub requests: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    /// Worth asked for and earned: all day, and of those that an outage touches, while it lasts and until warm again.
    pub asked: f64,
    pub earned: f64,
    pub asked_hit: f64,
    pub earned_hit: f64,
    /// Decision to the last live proxy acting on it, of each leave.
    pub spread: Vec<Micros>,
    /// Outage to decision, of those in which all of the zone fails; the whole outage where nobody decided.
    pub decide: Vec<(Harm, Micros)>,
    pub leaves: Vec<(Micros, u16)>,
    /// Leaves of a zone in one outage.
    pub moves: Vec<u32>,
    pub false_leaves: u32,
    /// From alive again to in service, over the cold time.
    pub returns: Vec<f64>,
    pub overspent: Vec<String>,
    pub guard: Vec<String>,
    pub broken: Vec<String>,
    /// Bytes of the zones' messages for a proxy and second.
    pub bytes: f64,
    /// Every move, for whoever looks for a cause.
    pub log: Vec<String>,
    pub attempts: u64,
}

pub struct Regions {
    day: Day,
    settings: Settings,
    queue: EventQueue<Event>,
    proxies: Vec<Proxy>,
    arrivals: Vec<Vec<Arrival>>,
    stands: BTreeMap<Addr, Stand>,
    since: Vec<Micros>,
    leaving: BTreeMap<Addr, Micros>,
    net: Net,
    /// Of every zone what the newest map says, and since when.
    newest: Epoch,
    states: Vec<(State, u8, Micros)>,
    open: Vec<Leave>,
    /// Sends to each zone in the calm before the first outage.
    calm: Vec<f64>,
    apart: Vec<usize>,
    again: Vec<bool>,
    report: Record,
}

impl Regions {
    pub fn new(day: Day) -> Regions {
        let settings = day.settings(0);
        let mut queue = EventQueue::new(T0);
        let (mut proxies, mut arrivals) = (Vec::new(), Vec::new());
        for i in 0..day.proxies {
            let (orders, answers) = (Rc::default(), Rc::default());
            let limits = Limits { open: 4096, bytes: usize::MAX, pause: 250 * MS };
            let link = Box::new(RecordedLink(Rc::clone(&orders)));
            let mut planner = Planner::new(day.settings(i), day.seed ^ i as u64, limits, link);
            let part = day.zones.then(|| part(&day, i));
            if part.is_some() {
                planner.by_zones(usize::from(day.many()));
                queue.put(T0 + (i as u64 * 37) % 100 * MS, Event::Look(i));
                queue.put(T0, Event::Budget(i));
            }
            planner.members(T0, ListForm::Full, day.entries(i));
            let own = draw_arrivals(&day, i);
            if let Some(a) = own.first() {
                queue.put(a.at, Event::Arrive(i, 0));
            }
            arrivals.push(own);
            let (out, ran) = (HashSet::new(), HashSet::new());
            proxies.push(Proxy { planner, orders, answers, part, armed: Micros::MAX, out, ran });
        }
        for o in day.outages.iter().filter(|o| matches!(o.harm, Harm::Kill | Harm::KillTwice)) {
            queue.put(o.to, Event::Restart(o.zone));
        }
        // One machine of the first zone in trouble drains before, for good.
        if let Some(o) = day.outages.first() {
            queue.put(T0 + 3 * S, Event::Drain(day.member(o.zone, 1)));
        }
        if let Some(at) = day.decider_lost {
            queue.put(at, Event::LoseDecider);
        }
        let zones = usize::from(day.many());
        Regions {
            stands: stands(&day),
            net: Net::new(day.seed, day.conditions),
            since: vec![0; zones],
            states: vec![(State::In, 0, T0); zones],
            calm: vec![0.0; zones],
            again: vec![false; day.outages.len()],
            report: Record { name: day.name, ..Record::default() },
            newest: Epoch::default(),
            leaving: BTreeMap::new(),
            open: Vec::new(),
            apart: Vec::new(),
            settings,
            queue,
            proxies,
            arrivals,
            day,
        }
    }

    /// Plays it to the end.
    pub fn run(mut self) -> Record {
        let until = T0 + self.day.span + 8 * S;
        while let Some(event) = self.queue.pop(until) {
            let now = self.queue.now;
            match event {
                Event::Arrive(i, k) => self.arrive(i, k),
                Event::Timers(i) if self.proxies[i].armed != now => {}
                Event::Timers(i) => {
                    self.proxies[i].armed = Micros::MAX;
                    self.proxies[i].planner.run_timers(now);
                    self.after(i);
                }
                Event::End(i, id, n, end) => {
                    if self.proxies[i].out.remove(&(id, n)) {
                        self.proxies[i].planner.ended(now, id, n, *end);
                        self.after(i);
                    }
                }
                Event::Look(i) => self.look(i),
                Event::Budget(i) => self.budget(i, |b, now, out| b.tick(now, out)),
                Event::Datagram { from, to, bytes } if wire::ours(&bytes) => self.heard(from, to, &bytes),
                Event::Datagram { to, bytes, .. } => {
                    self.budget(to, |b, now, out| b.receive(now, &bytes, out))
                }
                Event::Restart(zone) => self.restart(zone),
                Event::Drain(a) => {
                    self.leaving.insert(a, now);
                    let (zone, n) = (u16::from(a.ip[2]), u16::from(a.ip[3]));
                    self.list(zone, vec![Entry { state: Lifecycle::Draining, ..self.day.entry(zone, n) }]);
                }
                Event::LoseDecider => {
                    let grants = |p: &Proxy| p.part.as_ref().is_some_and(|p| p.budgets.grants(now));
                    if let Some(i) = self.proxies.iter().position(grants) {
                        self.lose(i);
                    }
                }
            }
        }
        self.close()
    }

    /// Cuts a proxy off from all others; its caches answer it as before.
    fn lose(&mut self, i: usize) {
        let others: Vec<usize> = (0..self.day.proxies).filter(|k| *k != i).collect();
        self.net.part(&[i], &others);
        self.apart.push(i);
    }

    fn restart(&mut self, zone: u16) {
        let now = self.queue.now;
        self.since[usize::from(zone)] = now;
        for n in 0..self.day.of(zone) {
            let able = self.stands[&self.day.member(zone, n)].able;
            self.stands.insert(self.day.member(zone, n), Stand { since: now, able, ..Stand::default() });
        }
        let leaving = &self.leaving;
        let all = (0..self.day.of(zone)).map(|n| Entry { since: now, ..self.day.entry(zone, n) });
        let list = all.filter(|e| !leaving.contains_key(&e.addr)).collect();
        self.list(zone, list);
    }

    /// Tells every proxy that lists them of a change to members of a zone.
    fn list(&mut self, zone: u16, list: Vec<Entry>) {
        let now = self.queue.now;
        for i in (0..self.day.proxies).filter(|i| self.day.lists(*i, zone)).collect::<Vec<_>>() {
            self.proxies[i].planner.members(now, ListForm::Delta, list.clone());
            self.after(i);
        }
    }

    fn arrive(&mut self, i: usize, k: usize) {
        let (now, a) = (self.queue.now, &self.arrivals[i][k]);
        let class = &self.settings.classes[usize::from(a.class)];
        self.report.requests += 1;
        self.report.asked += class.worth;
        if self.touched(i, now) {
            self.report.asked_hit += class.worth;
        }
        let ask = Ask {
            call: format!("{i}-{k}").into(),
            class: a.class,
            object: a.object,
            due: now + class.deadline,
            ..Ask::default()
        };
        if let Some(next) = self.arrivals[i].get(k + 1) {
            self.queue.put(next.at, Event::Arrive(i, k + 1));
        }
        let answers = self.proxies[i].answers.clone();
        let reply = Box::new(move |last| answers.borrow_mut().push((k, last)));
        self.proxies[i].planner.take(now, 0, ask, reply);
        self.after(i);
    }

    /// Whether an outage touches this proxy's requests at that time: a hub's all, a location's those that stand there.
    fn touched(&self, i: usize, at: Micros) -> bool {
        self.day.outages.iter().any(|o| {
            let until = o.to + self.settings.cold;
            let of = o.zone >= self.day.locations || usize::from(o.zone) == self.day.stands(i);
            o.harm != Harm::OneBad && of && (o.from..until).contains(&at)
        })
    }

    /// Carries out what a planner wants, takes its answers, and sees to its timers.
    fn after(&mut self, i: usize) {
        loop {
            let orders: Vec<Order> = self.proxies[i].orders.borrow_mut().drain(..).collect();
            if orders.is_empty() {
                break;
            }
            for o in orders {
                match o {
                    Order::Send(d) => self.send(i, &d),
                    Order::Withdraw(id, n) => {
                        self.proxies[i].out.remove(&(id, n));
                    }
                }
            }
        }
        let now = self.queue.now;
        let answers: Vec<(usize, Final)> = self.proxies[i].answers.borrow_mut().drain(..).collect();
        for (k, last) in answers {
            let a = &mut self.arrivals[i][k];
            a.answered += 1;
            let (at, class) = (a.at, &self.settings.classes[usize::from(a.class)]);
            let (took, worth) = (now - at, class.worth);
            if took > class.deadline + self.settings.answer_slack {
                self.report.broken.push(format!("request {k} of n{i} answered after {took} us"));
            }
            let earned = worth * if took <= class.aim { 1.0 } else { class.late_worth };
            match last {
                Final::Served(_) => {
                    self.report.served += 1;
                    self.report.earned += earned;
                    if self.touched(i, at) {
                        self.report.earned_hit += earned;
                    }
                }
                Final::Refused { .. } => self.report.refused += 1,
                Final::Failed => self.report.failed += 1,
            }
        }
        let due = self.proxies[i].planner.next_due().unwrap_or(Micros::MAX);
        if due < self.proxies[i].armed {
            self.proxies[i].armed = due.max(now);
            self.queue.put(due, Event::Timers(i));
        }
    }

    /// What is wrong with a member, as this proxy and its location's caches meet it.
    fn harm(&self, i: usize, a: Addr, now: Micros, lot: f64) -> Option<Harm> {
        if self.day.cut.is_some_and(|(p, from, to)| p == i && (from..to).contains(&now)) {
            return Some(Harm::Kill);
        }
        let zone = self.day.zone_of(a)? as u16;
        let n = Micros::from(a.ip[3]);
        let on = |o: &&Outage| o.zone == zone && (o.from..o.to).contains(&now);
        let per = usize::from(self.day.locations);
        // Of a hub every second location, of a location every second proxy.
        let half = if zone >= self.day.locations {
            (i % per).is_multiple_of(2)
        } else {
            (i / per).is_multiple_of(2)
        };
        let o = self.day.outages.iter().filter(on).find(|o| match o.harm {
            Harm::CutHalf => half,
            Harm::Drip => now >= o.from + n * 100 * MS,
            Harm::Lossy => lot < 0.2,
            Harm::OneBad => n == 0,
            _ => true,
        })?;
        Some(match o.harm {
            Harm::OneBad => Harm::FailFast,
            Harm::FailFast | Harm::Slow => o.harm,
            _ => Harm::Kill,
        })
    }

    /// Work reaches a stand-in: how long it waits for its turn there, and the share of it in use. None: turned away.
    fn work(&mut self, a: Addr, units: f64) -> Result<(Micros, f32), f32> {
        let now = self.queue.now;
        let share = self.share(a, now);
        let s = self.stands.entry(a).or_default();
        let able = (s.able * share).max(0.01);
        let second = now / S;
        if s.second != second {
            s.used = [0.0, if s.second + 1 == second { s.used[0] } else { 0.0 }];
            s.second = second;
        }
        let frac = 1.0 - (now % S) as f64 / S as f64;
        let busy = ((s.used[0] + s.used[1] * frac) / able).min(1.0) as f32;
        let free = s.free.max(now);
        if free > now + 3 * S {
            return Err(1.0);
        }
        s.used[0] += units;
        s.free = free + (units / able * S as f64) as Micros;
        Ok(((s.free - now).saturating_sub(2 * S), busy))
    }

    /// What it can do now over what it can do when warm.
    fn share(&self, a: Addr, now: Micros) -> f64 {
        let s = &self.settings;
        let (from, span, _) = match a.ip[1] {
            1 => (s.cold_from, s.cold, 0),
            2 => (s.parent_cold_from, s.parent_cold, 0),
            _ => return 1.0,
        };
        let since = self.stands.get(&a).map_or(0, |s| s.since);
        let age = now.saturating_sub(since);
        if since == 0 || age >= span {
            1.0
        } else {
            from + (1.0 - from) * age as f64 / span as f64
        }
    }

    /// The rule on cold starts: in no span of `fall` more from all proxies together than the multiple of what the member
    /// can do by then; three deviations and three requests for chance.
    fn cold(&mut self, a: Addr, units: f64) {
        let (now, share) = (self.queue.now, self.share(a, self.queue.now));
        let multiple =
            if a.ip[1] == 2 { self.settings.parent_fall_multiple } else { self.settings.fall_multiple };
        let fall = self.settings.fall;
        let Some(s) = self.stands.get_mut(&a).filter(|s| s.since > 0 && share < 1.0) else { return };
        s.sent.push_back((now, units));
        while s.sent.front().is_some_and(|(at, _)| at + fall < now) {
            s.sent.pop_front();
        }
        let n = multiple * share * s.able * fall as f64 / S as f64;
        let sum: f64 = s.sent.iter().map(|(_, w)| w).sum();
        if sum > n + 3.0 * n.sqrt() + 3.0 {
            self.report.overspent.push(format!("{a:?} got {sum:.1} of {n:.1} at {}", (now - T0) / MS));
        }
    }

    fn held(&mut self, a: Addr, object: u64, of: f64) -> bool {
        let word = draw(&[self.day.seed, object, u64::from(u32::from_be_bytes(a.ip))]);
        let s = self.stands.entry(a).or_default();
        s.since == 0 && word < of || !s.filled.insert(object)
    }

    /// An attempt reaches a stand-in: checked against the rules, then answered in its time.
    fn send(&mut self, i: usize, d: &Dispatch) {
        let now = self.queue.now;
        let (id, n, member, object) = (d.request, d.attempt, d.member, d.ask.object);
        self.report.attempts += 1;
        self.proxies[i].out.insert((id, n));
        let ends = [Some(member), d.source];
        for a in ends.into_iter().flatten() {
            if self.leaving.get(&a).is_some_and(|at| now > at + GRACE) {
                self.report.broken.push(format!("sent to {a:?} after its drain"));
            }
            let Some(z) = self.day.zone_of(a) else { continue };
            let (state, _, since) = self.states[z];
            let late = matches!(state, State::Leaving | State::Out) && now > since + GRACE;
            if late && !self.apart.contains(&i) && !self.is_cut(i, now) {
                self.report
                    .broken
                    .push(format!("n{i} sent to zone {z}, {state:?}, {} ms after", (now - since) / MS));
            }
            if self.day.outages.iter().all(|o| now < o.from) && now > T0 + 2 * S {
                self.calm[z] += 1.0;
            }
        }
        let books = d.ask.class == 2;
        if books && !self.proxies[i].ran.insert(id) {
            self.report.broken.push(format!("booking {id} of n{i} went out again"));
        }
        let sending = SENDING[usize::from(d.ask.class)];
        let units = sending as f64 / MEAN;
        let by = u64::from(u32::from_be_bytes(member.ip));
        let word = |w: u64| draw(&[self.day.seed, i as u64, id, u64::from(n), by, w]);
        let [a, b, c, e, f] = std::array::from_fn(|w| word(w as u64));
        let between = |x: f64, least: Micros, most: Micros| least + (x * (most - least) as f64) as Micros;
        let near = between(a, 8 * MS, 30 * MS) + (sending as f64 * (0.5 + b)) as Micros;
        let harm = self.harm(i, member, now, e);
        if harm == Some(Harm::Kill) {
            return;
        }
        let slow = |h| if h == Some(Harm::Slow) { 1_500 * MS } else { 0 };
        let end = |w: &mut Regions, after: Micros, outcome, note, waited, busy: f32| {
            let body = Payload { body: Body::part(vec![1], 0..1), tag: "t".into(), unchanged: false };
            let payload = (outcome == Outcome::Ok).then_some(body);
            let report = Report { n: 1, values: [busy, 0.0, 0.0, 0.0] };
            let told = End::Answered(Told { outcome, note, waited, report, payload });
            w.queue.put(now + after, Event::End(i, id, n, Box::new(told)));
        };
        if harm == Some(Harm::FailFast) {
            let broke = End::Broke(Progress::WrittenWhole);
            return self.queue.put(now + 5 * MS, Event::End(i, id, n, Box::new(broke)));
        }
        self.cold(member, units);
        let (wait, busy) = match self.work(member, units) {
            Ok(w) => w,
            Err(busy) => {
                self.proxies[i].ran.remove(&id);
                return end(self, 2 * MS, Outcome::Refused, Note::None, 0, busy);
            }
        };
        let near = near + wait + slow(harm);
        let of = if member.ip[1] == 1 { 0.7 } else { 0.6 };
        if member == ORIGIN {
            return end(self, near, Outcome::Ok, Note::None, 0, busy);
        }
        if !books && self.held(member, object, of) {
            return end(self, near, Outcome::Ok, Note::Hit, 0, busy);
        }
        let Some(source) = d.source.filter(|s| *s != member) else {
            // A hub that is asked itself fills from behind; a cache without a source has nothing to give.
            if member.ip[1] == 1 {
                self.stands.entry(member).or_default().filled.remove(&object);
                self.proxies[i].ran.remove(&id);
                return end(self, near / 4, Outcome::Miss, Note::None, 0, busy);
            }
            let way = between(c, 80 * MS, 200 * MS) + self.work(ORIGIN, units).map_or(S, |w| w.0);
            return end(self, near + way, Outcome::Ok, Note::FilledOrigin, way, busy);
        };
        let theirs = self.harm(i, source, now, f);
        if theirs == Some(Harm::Kill) {
            self.stands.entry(member).or_default().filled.remove(&object);
            return;
        }
        if theirs == Some(Harm::FailFast) {
            self.stands.entry(member).or_default().filled.remove(&object);
            return end(self, 10 * MS, Outcome::Error, Note::SourceLost, 5 * MS, busy);
        }
        self.cold(source, units);
        let Ok((behind, _)) = self.work(source, units) else {
            self.stands.entry(member).or_default().filled.remove(&object);
            return end(self, 8 * MS, Outcome::Refused, Note::SourceRefused, 4 * MS, busy);
        };
        let at_hub = source != ORIGIN && self.held(source, object, 0.6);
        let mut way = behind + slow(theirs);
        way += if at_hub {
            between(c, 25 * MS, 70 * MS)
        } else {
            let origin = if source == ORIGIN { 0 } else { self.work(ORIGIN, units).map_or(S, |w| w.0) };
            between(c, 80 * MS, 200 * MS) + origin
        };
        let note = if at_hub { Note::Filled } else { Note::FilledOrigin };
        end(self, near + way, Outcome::Ok, note, way, busy);
    }

    fn is_cut(&self, i: usize, now: Micros) -> bool {
        // A while after it, too: it has yet to hear of the map.
        self.day.cut.is_some_and(|(p, from, to)| p == i && (from..to + 3 * S).contains(&now))
    }

    /// A proxy looks at what its own traffic shows, and its zones carry out what is due.
    fn look(&mut self, i: usize) {
        let now = self.queue.now;
        if now < T0 + self.day.span {
            self.queue.put(now + LOOK, Event::Look(i));
        }
        let liar = (self.day.liar == Some(i)).then(|| self.day.hub(0));
        let hubs = self.day.locations..self.day.many();
        let p = &mut self.proxies[i];
        let Some(part) = &mut p.part else { return };
        let mut seen = p.planner.seen(now);
        if let Some(zone) = liar {
            seen.retain(|s| hubs.contains(&s.zone) && s.zone != zone);
            seen.push(Seen { zone, tried: 900, failed: 900, members: 90, bad: 90, load: 60_000, busy: 1 });
        }
        part.zones.seen(now, seen);
        if i < VOTERS {
            (0..self.day.many()).for_each(|z| part.zones.listed(z, p.planner.newest_start(z)));
        }
        let mut out = Out::new();
        let seat = part.seat(now, i);
        part.zones.tick(now, seat, &mut out);
        self.told(i, out);
    }

    fn heard(&mut self, from: usize, i: usize, bytes: &[u8]) {
        let now = self.queue.now;
        let Some(part) = &mut self.proxies[i].part else { return };
        let mut out = Out::new();
        let (seat, before) = (part.seat(now, i), part.zones.map().epoch);
        part.zones.receive(now, from as u16, bytes, seat, &mut out);
        if part.zones.map().epoch == before {
            return self.post(i, out);
        }
        self.told(i, out);
    }

    /// The planner follows the map in use.
    fn told(&mut self, i: usize, out: Out) {
        let now = self.queue.now;
        let p = &mut self.proxies[i];
        let Some(part) = &mut p.part else { return };
        if part.zones.ready(now) {
            let uses: Vec<Use> = (0..self.day.many()).map(|z| part.zones.usage(z)).collect();
            p.planner.follow_zones(now, &uses, part.zones.refused());
        }
        let epoch = part.zones.map().epoch;
        if epoch > part.epoch {
            part.epoch = epoch;
            for l in self.open.iter_mut().filter(|l| l.waits[i] && epoch >= l.epoch) {
                l.waits[i] = false;
                l.last = now;
            }
            if epoch > self.newest {
                self.moved(i, epoch);
            }
        }
        self.post(i, out);
        self.after(i);
    }

    /// A map that nobody acted on before.
    fn moved(&mut self, i: usize, epoch: Epoch) {
        let now = self.queue.now;
        let Some(part) = &self.proxies[i].part else { return };
        let map = part.zones.map().clone();
        self.newest = epoch;
        for (z, s) in map.zones.iter().enumerate() {
            let (old, step, since) = self.states[z];
            if (s.state, s.step) == (old, step) {
                continue;
            }
            self.report.log.push(format!(
                "{:6} ms zone {z}: {old:?} {step} -> {:?} {} ({:?}, {} of {}, moved {}, refused {})",
                (now - T0) / MS,
                s.state,
                s.step,
                s.why,
                s.bad,
                s.of,
                s.moved,
                s.refused
            ));
            let left = |s| matches!(s, State::Leaving | State::Out);
            let since = if left(old) && left(s.state) { since } else { now };
            self.states[z] = (s.state, s.step, since);
            if s.state == State::Leaving {
                let mut waits = vec![true; self.day.proxies];
                waits[i] = false;
                self.apart.iter().for_each(|p| waits[*p] = false);
                (0..self.day.proxies).filter(|p| self.is_cut(*p, now)).for_each(|p| waits[p] = false);
                self.open.push(Leave { epoch, zone: z as u16, at: now, waits, last: now });
            }
            self.fall_again(z, s.state, s.step);
            if matches!(s.state, State::In | State::Suspect) && !matches!(old, State::In | State::Suspect) {
                self.back(z);
            }
        }
        self.guarded(&map.zones);
    }

    /// A zone whose return came to the second step falls again, where the script says so.
    fn fall_again(&mut self, z: usize, state: State, step: u8) {
        let now = self.queue.now;
        for k in 0..self.day.outages.len() {
            let o = self.day.outages[k];
            let due = o.harm == Harm::KillTwice && usize::from(o.zone) == z && now > o.to && !self.again[k];
            if due && state == State::Returning && (2..STEPS).contains(&step) {
                self.again[k] = true;
                let (from, to) = (now, now + 10 * S);
                self.day.outages.push(Outage { harm: Harm::Kill, from, to, ..o });
                self.again.push(false);
                self.queue.put(to, Event::Restart(o.zone));
            }
        }
    }

    fn back(&mut self, z: usize) {
        let now = self.queue.now;
        let over = |o: &&Outage| usize::from(o.zone) == z && o.to <= now;
        if let Some(o) = self.day.outages.iter().filter(over).max_by_key(|o| o.to) {
            let cold = if z < usize::from(self.day.locations) {
                self.settings.cold
            } else {
                self.settings.parent_cold
            };
            self.report.returns.push((now - o.to) as f64 / cold as f64);
        }
    }

    /// Not all of a kind is out, and what moves from those that are fits the others, as the stand-ins are.
    fn guarded(&mut self, zones: &[threadward_zones::state::Status]) {
        let many = usize::from(self.day.locations);
        let now = (self.queue.now - T0) / MS;
        for kind in [0..many, many..zones.len()] {
            if kind.clone().all(|z| !zones[z].serves()) {
                self.report.guard.push(format!("all of {kind:?} out at {now}"));
            }
        }
        let first = self.day.outages.iter().map(|o| o.from).min().unwrap_or(T0 + 10 * S);
        let span = first.saturating_sub(T0 + 2 * S) as f64 / S as f64;
        let hubs = many..zones.len();
        let out = |z: &usize| !matches!(zones[*z].state, State::In | State::Suspect);
        // What is dead serves nothing: leaving it takes nothing from anybody.
        let dead = |z: &usize| {
            let of = |o: &&Outage| usize::from(o.zone) == *z && self.queue.now >= o.from;
            self.day.outages.iter().any(|o| of(&o))
        };
        let moved: f64 = (0..zones.len())
            .filter(|z| out(z) && !dead(z) && (*z >= many || self.day.direct))
            .map(|z| self.calm[z] / span * f64::from(zones[z].moved) / 1000.0)
            .sum();
        let carried: f64 = hubs.clone().filter(|z| !out(z)).map(|z| self.calm[z] / span).sum();
        let able: f64 = hubs.filter(|z| !out(z)).map(|z| self.calm[z] / span * self.day.spare.1).sum();
        if moved > 0.0 && moved + carried > able {
            self.report.guard.push(format!("{moved:.0} moved to {carried:.0} of {able:.0} at {now}"));
        }
    }

    fn post(&mut self, i: usize, out: Vec<(u16, Vec<u8>)>) {
        let now = self.queue.now;
        for (to, bytes) in out {
            let to = usize::from(to);
            if [i, to]
                .iter()
                .any(|p| self.day.cut.is_some_and(|(c, from, until)| c == *p && (from..until).contains(&now)))
            {
                continue;
            }
            for at in self.net.carry(now, i, to, bytes.len()) {
                self.queue.put(at, Event::Datagram { from: i, to, bytes: bytes.clone() });
            }
        }
    }

    fn budget(&mut self, i: usize, f: impl FnOnce(&mut Budgets, Micros, &mut Vec<(u16, Vec<u8>)>)) {
        let (now, mut out) = (self.queue.now, Vec::new());
        let Some(part) = &mut self.proxies[i].part else { return };
        f(&mut part.budgets, now, &mut out);
        let due = part.budgets.next_due().max(now + 1);
        if due < part.armed || part.armed <= now {
            part.armed = due;
            if now < T0 + self.day.span {
                self.queue.put(due, Event::Budget(i));
            }
        }
        self.post(i, out);
    }

    fn close(mut self) -> Record {
        let end = T0 + self.day.span;
        for (i, of) in self.arrivals.iter().enumerate() {
            for (k, a) in of.iter().enumerate().filter(|(_, a)| a.answered != 1) {
                self.report.broken.push(format!("request {k} of n{i} got {} answers", a.answered));
            }
        }
        let sent = |p: &Proxy| p.part.as_ref().map_or(0, |p| p.zones.tally.sent_bytes);
        let bytes: u64 = self.proxies.iter().map(sent).sum();
        self.report.bytes = bytes as f64 / self.day.proxies as f64 / (self.day.span as f64 / S as f64);
        if !self.day.zones {
            return self.report;
        }
        for l in &self.open {
            let missed = l.waits.iter().any(|w| *w);
            self.report.spread.push(if missed { end - l.at } else { l.last - l.at });
            self.report.leaves.push((l.at - T0, l.zone));
        }
        let within = |o: &Outage, l: &&Leave| l.zone == o.zone && (o.from..o.to + 4 * S).contains(&l.at);
        for o in &self.day.outages {
            let of: Vec<&Leave> = self.open.iter().filter(|l| within(o, l)).collect();
            self.report.moves.push(of.len() as u32);
            let dead = matches!(o.harm, Harm::Kill | Harm::KillTwice | Harm::FailFast | Harm::Slow);
            // One that falls while it returns fails its step; one whose load nobody takes stays.
            let again = o.from > self.day.outages[0].from;
            let taken = o.zone >= self.day.locations || self.day.direct;
            if dead && taken && !again {
                let first = of.first().map_or(o.to, |l| l.at);
                self.report.decide.push((o.harm, first - o.from));
            }
        }
        let fair = |l: &&Leave| {
            let of = |o: &&Outage| !matches!(o.harm, Harm::OneBad | Harm::Lossy);
            self.day.outages.iter().filter(of).any(|o| within(o, l))
        };
        self.report.false_leaves = self.open.iter().filter(|l| !fair(l)).count() as u32;
        self.report
    }
}

impl Part {
    fn seat(&self, now: Micros, i: usize) -> Seat {
        let decides = self.budgets.grants(now);
        let decider = if decides { i as u16 } else { self.budgets.grantor() };
        Seat { decides, promised: self.budgets.promised(now), decider }
    }
}

fn part(day: &Day, i: usize) -> Part {
    let mut entropy = [0; 32];
    stream(day.seed, 0x100 + i as u64).fill_bytes(&mut entropy);
    let voters: Vec<u16> = (0..VOTERS as u16).collect();
    let proxies = day.proxies as u16;
    let s = threadward_budgets::Settings {
        place: i as u16,
        proxies,
        voters: voters.clone(),
        wholes: vec![u32::from(proxies) * 10],
        lease: LEASE,
    };
    let budgets = Budgets::new(T0, s, entropy).unwrap_or_else(|e| panic!("n{i}: {e}"));
    let stands = day.stands(i) as u16;
    let s = threadward_zones::Settings {
        me: budgets.me(),
        proxies,
        voters,
        stands,
        lease: LEASE,
        zones: day.charter(),
    };
    let zones = Zones::new(T0, s).unwrap_or_else(|e| panic!("n{i}: {e}"));
    Part { budgets, zones, armed: Micros::MAX, epoch: Epoch::default() }
}

/// Every member with what it can do: so many times what it is asked for in calm times.
fn stands(day: &Day) -> BTreeMap<Addr, Stand> {
    let all = day.proxies as f64 * day.rate;
    // Three in ten are filled at a hub, and four of ten of those from the origin, as the bookings are.
    let fills = all * 0.95 * 0.3;
    let cache = all / f64::from(day.locations) / f64::from(day.members.0) * day.spare.0;
    let hub = fills / f64::from(day.hubs) / f64::from(day.members.1) * day.spare.1;
    let mut stands = BTreeMap::new();
    for z in 0..day.many() {
        for n in 0..day.of(z) {
            let able = if z < day.locations { cache } else { hub };
            stands.insert(day.member(z, n), Stand { able, ..Stand::default() });
        }
    }
    let able = (fills * 0.4 + all * 0.05) * 3.0;
    stands.insert(ORIGIN, Stand { able, ..Stand::default() });
    stands
}

fn draw_arrivals(day: &Day, i: usize) -> Vec<Arrival> {
    let mut rng = stream(day.seed, 0x1000 + i as u64);
    let (mut at, mut all) = (T0 + 100 * MS, Vec::new());
    loop {
        at += (-unit(&mut rng).max(1e-12).ln() / day.rate * 1e6) as Micros;
        if at > T0 + day.span {
            return all;
        }
        let class = match unit(&mut rng) {
            x if x < 0.35 => 0,
            x if x < 0.95 => 1,
            _ => 2,
        };
        // Popular ones more often, none so often that its one cache could not serve a whole location's.
        let object = ((unit(&mut rng).powi(2) * 20_000.0) as u64) << 2 | class;
        all.push(Arrival { at, class: class as u8, object, answered: 0 });
    }
}
