//! Cold caches and hubs under the sum of what all processes send, in virtual time, with the real router and nothing
//! else of the program. It owns the stand-ins, the clients and the count of what reaches a cold member. It must never
//! tell a router of the others.
//!
//! What a process may assume of the others: that there are some, no more. Each one spends, of a cold member's budget,
//! the part that its own delivered traffic is of all traffic, so the sum over all of them is right at any number of
//! them, and nobody has to know that number. Only where weights tell a member's size is it used, as a ceiling: from
//! the settings (`count_by_zone`), the one place that says it. Processes that come, go or start anew in a ramp begin
//! with no traffic seen, so with no budget.
use nickelgate::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const T0: Micros = 1_000 * S;
/// The members start anew here, and the day ends there.
const RESTART: Micros = T0 + 18 * S;
const END: Micros = RESTART + 10 * S;

/// Drawn numbers, the same for the same seed.
struct Dice(u64);

impl Dice {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let x = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
    fn from(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.next()
    }
    fn one_in(&mut self, n: f64) -> bool {
        self.next() * n < 1.0
    }
}

/// One drawn day.
struct Day {
    s: Settings,
    /// Processes that live: the settings may tell fewer or more.
    routers: usize,
    /// Transfers that each member carries at full pace once it is warm.
    carries: BTreeMap<Addr, f64>,
    /// Requests a second of all clients, and how much more from the restart on.
    rate: f64,
    burst: f64,
    miss: f64,
    /// Caches, or hubs, that start anew.
    cold: Vec<Entry>,
    list: Vec<Entry>,
    /// The multiples that hold, for caches and hubs.
    multiples: [f64; 2],
    /// Share of the routers that start anew in the ramp, and that has no clients until some moment, then others.
    anew: f64,
    shift: f64,
}

const HUBS: u8 = 2;
/// Mean sending times of the classes, and the second one's share of the requests.
const WORK: [f64; 2] = [0.12, 0.6];
const LARGE: f64 = 0.15;
/// Work of a mean request, in seconds: what the rule counts in.
const MEAN: f64 = WORK[0] * (1.0 - LARGE) + WORK[1] * LARGE;

fn member(zone: u16, kind: u8, n: u8, weight: f64) -> Entry {
    let addr = Addr { ip: [10, kind, 0, n], port: 1 };
    Entry { addr, zone, kind, weight: weight as f32, ..Entry::default() }
}

fn day(told: usize, seed: u64, loose: f64, d: &mut Dice) -> Day {
    let routers = if d.one_in(3.0) { (told as f64 * d.from(0.6, 1.5)).ceil() as usize } else { told };
    let caches = if told > 100 { 10 } else { 3 };
    let (load, carries) = (d.from(0.4, 0.7), d.from(4.0, 8.0));
    let weights = [WeightSource::Nominal, WeightSource::Rough, WeightSource::Off][seed as usize % 3];
    // Sizes differ where weights tell them, roughly or not: else all are taken to be alike.
    let mut size = |x: f64| if weights == WeightSource::Off { x } else { x * d.from(0.6, 1.6) };
    let near: Vec<f64> = (0..caches).map(|_| size(carries)).collect();
    let hubs: Vec<f64> = (0..HUBS).map(|_| size(1.0)).collect();
    let rate = load * near.iter().sum::<f64>() / MEAN;
    let miss = d.from(0.1, 0.4);
    let hub = rate * miss * MEAN / d.from(0.4, 0.7) / hubs.iter().sum::<f64>();
    let class = |work: f64| Class {
        target_latency: (work * 4e6) as Micros,
        target_stretch: 1.6,
        deadline: 4 * S,
        value: work * 10.0,
        late_value: 0.2,
        ..Class::default()
    };
    let sized = d.one_in(2.0);
    let multiples = [0; 2].map(|_| d.from(1.2, 2.5));
    let s = Settings {
        classes: WORK.map(class).to_vec(),
        zone: 1,
        routers_by_zone: vec![0, told as u32],
        parent_kind: Some(1),
        origin_kind: Some(2),
        direct: d.one_in(2.0),
        fill_joining: true,
        all_notes_reported: d.one_in(2.0),
        hits_reported: true,
        transfer_kb_per_s: if sized { 5_000.0 } else { 0.0 },
        weight_source: weights,
        purge_complete_after: 6 * S,
        drain_grace: S,
        cold_start_share: d.from(0.1, 0.3),
        cold_period: 17 * S,
        overload_multiple: multiples[0] * loose,
        overload_tolerance: d.from(1.0, 3.0) as Micros * S,
        parent_cold_start_share: d.from(0.06, 0.2),
        parent_cold_period: 20 * S,
        parent_overload_multiple: multiples[1] * loose,
        max_attempts: 6,
        parallel_attempts: d.one_in(2.0),
        cancel: true,
        min_event_interval: 2 * MS,
        answer_slack: 8 * MS,
        ..Settings::default()
    };
    let mut weight = |x: f64| match weights {
        WeightSource::Off => 0.0,
        WeightSource::Nominal => x,
        _ => x * d.from(0.8, 1.2),
    };
    let mut list = vec![member(0, 2, 1, 0.0)];
    let mut carry = BTreeMap::from([(list[0].addr, 1e9)]);
    let sizes = near.into_iter().map(|x| (1, 0, x)).chain(hubs.into_iter().map(|x| (0, 1, x * hub)));
    for (n, (zone, kind, x)) in sizes.enumerate() {
        list.push(member(zone, kind, n as u8, weight(x)));
        carry.insert(list[n + 1].addr, x);
    }
    let kind = u8::from(d.one_in(2.0));
    let most = if kind == 0 { caches } else { HUBS };
    let many = [1, most.div_ceil(2), most][(d.next() * 3.0) as usize % 3];
    let cold = list.iter().filter(|e| e.kind == kind).take(many.into());
    Day {
        routers,
        carries: carry,
        multiples,
        rate,
        burst: if d.one_in(2.0) { 1.5 } else { 1.0 },
        miss,
        cold: cold.map(|e| Entry { started_at: RESTART, ..*e }).collect(),
        anew: if d.one_in(2.0) { d.from(0.1, 0.7) } else { 0.0 },
        shift: if d.one_in(3.0) { d.from(0.1, 0.5) } else { 0.0 },
        s,
        list,
    }
}

enum What {
    Arrive,
    Again(usize, Request, u8),
    Timer(usize, u32, u32),
    End(usize, u32, Completed),
    Cold,
    Shift,
    Anew,
}

struct Fleet {
    day: Day,
    dice: Dice,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: std::collections::HashMap<u64, What>,
    n: u64,
    /// Each router, with the number of its life.
    routers: Vec<(Router, u32)>,
    /// Their shares of the clients, summed up from the first on.
    sums: Vec<f64>,
    asked: std::collections::HashMap<u64, (Request, u8, u16, bool)>,
    out: std::collections::HashMap<Addr, f64>,
    list: Vec<Entry>,
    /// What reached each cold member: when, and its work in mean requests.
    reached: Vec<(Addr, Micros, f64)>,
    served: f64,
    wanted: f64,
}

impl Fleet {
    fn put(&mut self, at: Micros, what: What) {
        self.n += 1;
        self.events.insert(self.n, what);
        self.queue.push(Reverse((at, self.n)));
    }
    fn share_out(&mut self, idle: f64) {
        let mut sum = 0.0;
        self.sums.clear();
        for _ in 0..self.day.routers {
            // One in ten sees several times what the others do.
            let many = if self.dice.one_in(10.0) { 4.0 } else { 1.0 };
            sum += many * self.dice.from(0.3, 1.7) * f64::from(u8::from(self.dice.next() >= idle));
            self.sums.push(sum);
        }
    }
    fn start(&mut self, i: usize, seed: u64) {
        let life = self.routers.get(i).map_or(0, |r| r.1 + 1);
        let new = (Router::new(self.day.s.clone(), seed), life);
        if i < self.routers.len() {
            self.routers[i] = new;
        } else {
            self.routers.push(new);
        }
        let entries = self.list.clone();
        self.event(i, Event::Members { form: ListForm::Full, entries });
    }
    fn event(&mut self, i: usize, e: Event) {
        let (mut out, life) = (Vec::new(), self.routers[i].1);
        self.routers[i].0.handle(self.now, e, &mut out);
        for a in out {
            match a {
                Action::Wake { token, after } => {
                    self.put(self.now + Micros::from(after), What::Timer(i, life, token));
                }
                Action::Get(g) => self.send(i, g),
                Action::Decline { request, .. } | Action::Fail(request) => {
                    let Some((req, tries, ..)) = self.asked.get(&request).copied() else { continue };
                    self.asked.remove(&request);
                    if tries < 3 && self.dice.next() < 0.7 {
                        let after = self.dice.from(250e3, 600e3) as Micros;
                        self.put(self.now + after, What::Again(i, req, tries + 1));
                    }
                }
                _ => {}
            }
        }
    }
    fn ask(&mut self, i: usize, req: Request, tries: u8) {
        self.n += 1;
        let req = Request { id: self.n, expires_at: self.now + 4 * S, marked_retry: tries > 0, ..req };
        self.asked.insert(req.id, (req, tries, 0, false));
        self.event(i, Event::Request(req));
    }
    fn cold(&self, a: Addr) -> Option<f64> {
        let e = self.day.cold.iter().find(|e| e.addr == a).filter(|_| self.now >= RESTART)?;
        let s = &self.day.s;
        let [from, span] = [
            [s.cold_start_share, s.cold_period as f64],
            [s.parent_cold_start_share, s.parent_cold_period as f64],
        ][usize::from(e.kind)];
        Some(from + (1.0 - from) * ((self.now - RESTART) as f64 / span).min(1.0))
    }
    /// An attempt, or a fill, reaches a member: its time there, the longer the more of its capacity is taken.
    fn reach(&mut self, a: Addr, class: usize, work: f64) -> f64 {
        let share = self.cold(a);
        if share.is_some() {
            self.reached.push((a, self.now, WORK[class] / MEAN));
        }
        let carries = self.day.carries[&a];
        let out = self.out.entry(a).or_default();
        *out += 1.0;
        work * (*out / (carries * share.unwrap_or(1.0))).max(1.0)
    }
    fn send(&mut self, i: usize, g: Get) {
        let Some(asked) = self.asked.get_mut(&g.request) else { return };
        let (req, attempt) = (asked.0, asked.2);
        asked.2 += 1;
        let class = usize::from(req.class);
        let work = f64::from(req.size_kb.max(1.0)) / 5_000.0;
        let cold = self.cold(g.member).is_some();
        let miss = self.dice.next() < if cold { 0.6 } else { self.day.miss };
        let bad = self.dice.next();
        let mut took = self.reach(g.member, class, work) + 0.01;
        let filled = miss && g.source != g.member;
        if filled && bad >= 0.03 {
            took += self.reach(g.source, class, work);
        }
        let (outcome, note) = match bad {
            x if x < 0.02 => (Outcome::Refused, Note::FillSlotsFull),
            x if x < 0.03 => (Outcome::Reset, Note::None),
            _ if miss && !filled => (Outcome::Miss, Note::None),
            _ if filled => (Outcome::Ok, Note::Filled),
            _ => (Outcome::Ok, Note::Hit),
        };
        if outcome != Outcome::Ok {
            took = 0.01;
        }
        let elapsed = ((took * 1e6) as Micros).min(4 * S);
        let c = Completed {
            request: g.request,
            attempt,
            member: g.member,
            outcome,
            elapsed,
            request_done: outcome == Outcome::Ok,
            note,
            source_wait: 0,
            report: Report::default(),
        };
        let life = self.routers[i].1;
        self.put(self.now + elapsed, What::End(i, life, c));
        if filled && bad >= 0.03 {
            // The hub's part is over with the whole: its place is given back then.
            let c = Completed { member: g.source, request: 0, ..c };
            self.put(self.now + elapsed, What::End(i, life, c));
        }
    }
    fn arrive(&mut self) {
        let more = if self.now >= RESTART { self.day.burst } else { 1.0 };
        let gap = -(1.0 - self.dice.next()).ln() / (self.day.rate * more);
        self.put(self.now + (gap * 1e6) as Micros, What::Arrive);
        let x = self.dice.next() * self.sums.last().copied().unwrap_or(1.0);
        let i = self.sums.partition_point(|sum| *sum <= x).min(self.day.routers - 1);
        let class = usize::from(self.dice.next() < LARGE);
        let object = (400f64.powf(self.dice.next()) as u64) << 1 | class as u64;
        // Sizes belong to objects: from a fifth of the mean to more than twice it.
        let size = Dice(object.wrapping_mul(7919)).from(0.2, 1.8);
        let kbytes = (WORK[class] * size * 5_000.0) as f32;
        self.wanted += WORK[class];
        self.ask(i, Request { class: class as u8, object, size_kb: kbytes, ..Request::default() }, 0);
    }
    fn run(mut self, seed: u64) -> Fleet {
        self.share_out(self.day.shift);
        for i in 0..self.day.routers {
            self.start(i, seed ^ (i as u64) << 20);
        }
        self.put(T0, What::Arrive);
        self.put(RESTART, What::Cold);
        let at = T0 + self.dice.from(6e6, 20e6) as Micros;
        self.put(at, What::Shift);
        let at = RESTART + self.dice.from(0.5e6, 5e6) as Micros;
        self.put(at, What::Anew);
        while let Some(Reverse((at, n))) = self.queue.pop() {
            if at > END {
                break;
            }
            self.now = at;
            match self.events.remove(&n) {
                Some(What::Arrive) => self.arrive(),
                Some(What::Again(i, req, tries)) => self.ask(i, req, tries),
                Some(What::Timer(i, life, t)) if life == self.routers[i].1 => self.event(i, Event::Timer(t)),
                Some(What::End(i, life, c)) => {
                    *self.out.entry(c.member).or_default() -= 1.0;
                    if c.request == 0 || life != self.routers[i].1 {
                        continue;
                    }
                    if c.request_done {
                        if let Some((req, ..)) = self.asked.remove(&c.request) {
                            self.served += WORK[usize::from(req.class)];
                        }
                    }
                    self.event(i, Event::Completed(c));
                }
                Some(What::Cold) => {
                    let cold = self.day.cold.clone();
                    for e in self.list.iter_mut() {
                        e.started_at = cold.iter().find(|c| c.addr == e.addr).map_or(0, |c| c.started_at);
                    }
                    for i in 0..self.day.routers {
                        self.event(i, Event::Members { form: ListForm::Delta, entries: cold.clone() });
                    }
                }
                Some(What::Shift) if self.day.shift > 0.0 => self.share_out(self.day.shift),
                Some(What::Anew) => {
                    for i in 0..self.day.routers {
                        if self.dice.next() < self.day.anew {
                            self.start(i, seed ^ 77 ^ (i as u64) << 20);
                        }
                    }
                }
                _ => {}
            }
        }
        self
    }
}

/// What a day showed: the worst window of a cold member over N + 2 x root of N + 2, and the share of work served.
struct Seen {
    worst: f64,
    served: f64,
    what: String,
}

/// Plays a day; `loose`: the routers are told the multiples times this.
fn play(routers: usize, seed: u64, loose: f64) -> Seen {
    let mut dice = Dice(seed.wrapping_mul(0x1_0001).wrapping_add(routers as u64));
    let day = day(routers, seed, loose, &mut dice);
    let what = format!(
        "{routers} routers, seed {seed}: {:?}, {} cold of kind {}, burst {}, anew {:.2}, shift {:.2}",
        day.s.weight_source,
        day.cold.len(),
        day.cold[0].kind,
        day.burst,
        day.anew,
        day.shift
    );
    let fleet = Fleet {
        list: day.list.clone(),
        day,
        dice,
        now: T0,
        queue: BinaryHeap::new(),
        events: Default::default(),
        n: 0,
        routers: Vec::new(),
        sums: Vec::new(),
        asked: Default::default(),
        out: Default::default(),
        reached: Vec::new(),
        served: 0.0,
        wanted: 0.0,
    };
    let f = fleet.run(seed);
    let s = &f.day.s;
    let mut worst: f64 = 0.0;
    for e in &f.day.cold {
        let multiple = f.day.multiples[usize::from(e.kind)];
        let [from, span] = [
            [s.cold_start_share, s.cold_period as f64],
            [s.parent_cold_start_share, s.parent_cold_period as f64],
        ][usize::from(e.kind)];
        let here: Vec<_> = f.reached.iter().filter(|r| r.0 == e.addr).collect();
        let (mut sum, mut first) = (0.0, 0);
        for r in &here {
            sum += r.2;
            while here[first].1 + s.overload_tolerance <= r.1 {
                sum -= here[first].2;
                first += 1;
            }
            let share = from + (1.0 - from) * (here[first].1 - RESTART) as f64 / span;
            let n = multiple * share * f.day.carries[&e.addr] / MEAN * s.overload_tolerance as f64 / 1e6;
            worst = worst.max(sum / (n + 2.0 * n.sqrt() + 2.0));
        }
    }
    Seen { worst, served: f.served / f.wanted, what }
}

/// Plays many days. Budgets are spent, not drawn, so chance enters only where a lot stands for work larger than a purse,
/// where a hub is charged the expected share of misses, and in who asks when. N + 2 x root of N + 2 is what two standard
/// deviations of a count about N come to, with two whole requests for its edges: beyond it chance explains nothing, so
/// the days that may pass it are none.
fn sweep(routers: usize, seeds: std::ops::Range<u64>) {
    let all: Vec<_> = seeds.map(|seed| play(routers, seed, 1.0)).collect();
    let worst = all.iter().max_by(|a, b| a.worst.total_cmp(&b.worst)).expect("some seeds");
    let served = all.iter().map(|x| x.served).sum::<f64>() / all.len() as f64;
    println!(
        "{routers} routers, {} days: worst {:.2} ({}), served {served:.4}",
        all.len(),
        worst.worst,
        worst.what
    );
    let over: Vec<_> =
        all.iter().filter(|x| x.worst > 1.0).map(|x| format!("{:.2} {}", x.worst, x.what)).collect();
    assert!(over.is_empty(), "{} of {} days:\n{}", over.len(), all.len(), over.join("\n"));
    assert!(worst.worst > 0.2, "the ramp is used: {:.2}", worst.worst);
}

#[test]
fn three_processes_push_over_no_cold_member() {
    sweep(3, 0..300);
}

#[test]
fn twenty_processes_push_over_no_cold_member() {
    sweep(20, 0..300);
}

#[test]
fn thirty_processes_push_over_no_cold_member() {
    sweep(30, 0..300);
}

#[test]
fn three_hundred_processes_push_over_no_cold_member() {
    sweep(300, 0..120);
}

#[test]
fn routers_that_keep_to_no_budget_are_seen_to_push_over() {
    let over = (0..24).filter(|seed| play(20, *seed, 50.0).worst > 1.0).count();
    assert!(over >= 4, "the check must be able to fail: {over} of 24 days");
}
