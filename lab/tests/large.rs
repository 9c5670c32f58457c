//! Whether the largest requests of a class get their part of what the class gets: real routers before stand-in caches
//! in virtual time, on a quiet day, a loaded one and in a long overload, with sizes told and not, one router with all
//! the traffic and thirty with little each. A stand-in shares its pace among what is out there; the location's link
//! fills with misses and is reported. It must never tell a router of the others.
use nickelgate::*;
use std::collections::BTreeMap;
use threadward_lab::event_queue::EventQueue;
use threadward_lab::{draw, stream, unit};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const T0: Micros = 1_000 * S;
/// A usual load first, which nothing is counted of: then the day's, until the end.
const USUAL: Micros = 25 * S;
const SPAN: Micros = 65 * S;
const CACHES: u8 = 3;
const CARRIES: f64 = 8.0;
/// Mean sending times in seconds, of pages and of films; sizes reach from a tenth to five times that.
const WORK: [f64; 2] = [0.1, 0.6];
const DUE: [Micros; 2] = [3 * S, 8 * S];
const FILMS: f64 = 0.3;

#[derive(Clone, Copy, Debug)]
struct Case {
    routers: usize,
    /// Asked for over what the caches can send; fills over what the link can take in.
    load: f64,
    link: f64,
    told: bool,
    notes: bool,
    parallel: bool,
    /// One cache starts anew in the middle.
    cold: bool,
}

enum What {
    Arrive,
    Timer(usize, u32),
    End(usize, bool, Completed),
    Cold,
}

/// Sizes are as they are in stores: a few are many times the median, and hold most of the bytes.
fn size(object: u64) -> f64 {
    let normal = (0..12).map(|i| draw(&[object, i])).sum::<f64>() - 6.0;
    (normal - 0.5).exp().clamp(0.1, 5.0)
}

fn settings(c: Case) -> Settings {
    let class = |i: usize| Class {
        target_latency: (WORK[i] * 3e6) as Micros,
        target_stretch: 1.6,
        deadline: DUE[i],
        value: 1.0 + i as f64,
        late_value: 0.2,
        ..Class::default()
    };
    Settings {
        classes: vec![class(0), class(1)],
        zone: 1,
        routers_by_zone: vec![0, c.routers as u32],
        parent_kind: Some(1),
        origin_kind: Some(2),
        fill_joining: true,
        all_notes_reported: c.notes,
        hits_reported: true,
        transfer_kb_per_s: if c.told { 5_000.0 } else { 0.0 },
        drain_grace: S,
        cold_start_share: 0.2,
        cold_period: 15 * S,
        overload_multiple: 2.0,
        overload_tolerance: 2 * S,
        parent_cold_start_share: 0.1,
        parent_cold_period: 20 * S,
        parent_overload_multiple: 2.0,
        max_attempts: 6,
        parallel_attempts: c.parallel,
        cancel: true,
        min_event_interval: 2 * MS,
        answer_slack: 8 * MS,
        columns: ReportColumns { cpu: Some(0), link_load: Some(1), ..ReportColumns::default() },
        reports_inline: true,
        ..Settings::default()
    }
}

fn member(zone: u16, kind: u8, n: u8) -> Entry {
    Entry { addr: Addr { ip: [10, kind, 0, n], port: 1 }, zone, kind, ..Entry::default() }
}

struct Play {
    case: Case,
    queue: EventQueue<What>,
    routers: Vec<Router>,
    rng: rand_chacha::ChaCha8Rng,
    out: BTreeMap<Addr, f64>,
    fills: f64,
    tries: BTreeMap<u64, u16>,
    /// Each request: class, size and whether it was answered in its time.
    asked: Vec<(usize, f64, bool)>,
    counted: usize,
}

impl Play {
    fn event(&mut self, i: usize, e: Event) {
        let (mut out, now) = (Vec::new(), self.queue.now);
        self.routers[i].handle(now, e, &mut out);
        for a in out {
            match a {
                Action::Wake { token, after } => {
                    self.queue.schedule(now + Micros::from(after), What::Timer(i, token))
                }
                Action::Get(g) => self.send(i, g),
                _ => {}
            }
        }
    }
    fn send(&mut self, i: usize, g: Get) {
        let (class, size, _) = self.asked[g.request as usize];
        let attempt = self.tries.entry(g.request).and_modify(|n| *n += 1).or_insert(0);
        let out = self.out.entry(g.member).or_default();
        *out += 1.0;
        let mut took = 0.01 + WORK[class] * size * (*out / CARRIES).max(1.0);
        let miss = unit(&mut self.rng) < 0.3;
        let filled = miss && g.source != g.member;
        // The link takes in so many fills at full pace.
        let room = CARRIES * f64::from(CACHES) * 0.3 * self.case.load / self.case.link;
        let used = self.fills / room;
        if filled {
            self.fills += 1.0;
            took += 0.03 + WORK[class] * size * (used.max(1.0) - 1.0);
        }
        let (outcome, note) = match (miss, filled) {
            (true, false) => (Outcome::Miss, Note::None),
            (true, _) => (Outcome::Ok, Note::Filled),
            _ => (Outcome::Ok, Note::Hit),
        };
        let took = if outcome == Outcome::Ok { took } else { 0.01 };
        let elapsed = (took * 1e6) as Micros;
        let values = [(*out / CARRIES) as f32, used as f32, 0.0, 0.0];
        let c = Completed {
            request: g.request,
            attempt: *attempt,
            member: g.member,
            outcome,
            elapsed,
            request_done: outcome == Outcome::Ok,
            note,
            source_wait: if filled { 30 * MS } else { 0 },
            report: Report { count: 2, values },
        };
        self.queue.schedule(self.queue.now + elapsed, What::End(i, filled, c));
    }
    fn arrive(&mut self, c: Case) {
        let mean = WORK[0] * (1.0 - FILMS) + WORK[1] * FILMS;
        let usual = self.queue.now < T0 + USUAL;
        let rate = if usual { c.load.min(0.5) } else { c.load } * CARRIES * f64::from(CACHES) / mean;
        let gap = -(1.0 - unit(&mut self.rng)).ln() / rate * 1e6;
        self.queue.schedule(self.queue.now + gap as Micros, What::Arrive);
        let class = usize::from(unit(&mut self.rng) < FILMS);
        let object = (2_000f64.powf(unit(&mut self.rng)) as u64) << 1 | class as u64;
        let (size, i) = (size(object), (unit(&mut self.rng) * c.routers as f64) as usize);
        self.counted = if usual { self.asked.len() + 1 } else { self.counted };
        let (id, due) = (self.asked.len() as u64, self.queue.now + DUE[class]);
        self.asked.push((class, size, false));
        let kbytes = (WORK[class] * size * 5_000.0) as f32;
        self.event(
            i,
            Event::Request(Request {
                id,
                class: class as u8,
                object,
                expires_at: due,
                size_kb: kbytes,
                ..Request::default()
            }),
        );
    }
}

/// Of each class: the answered share of all, of the largest tenth and of the next fifth.
fn play(c: Case, seed: u64) -> [[f64; 3]; 2] {
    let list: Vec<Entry> = (1..=CACHES)
        .map(|n| member(1, 0, n))
        .chain((1..=2).map(|n| member(0, 1, n)))
        .chain([member(0, 2, 1)])
        .collect();
    let mut p = Play {
        case: c,
        queue: EventQueue::new(T0),
        routers: (0..c.routers as u64).map(|i| Router::new(settings(c), seed << 8 ^ i)).collect(),
        rng: stream(seed, 5),
        out: BTreeMap::new(),
        fills: 0.0,
        tries: BTreeMap::new(),
        asked: Vec::new(),
        counted: 0,
    };
    for i in 0..c.routers {
        p.event(i, Event::Members { form: ListForm::Full, entries: list.clone() });
    }
    p.queue.schedule(T0, What::Arrive);
    if c.cold {
        p.queue.schedule(T0 + (USUAL + SPAN) / 2, What::Cold);
    }
    while let Some(what) = p.queue.pop(T0 + SPAN + 10 * S) {
        match what {
            What::Arrive if p.queue.now < T0 + SPAN => p.arrive(c),
            What::Arrive => {}
            What::Timer(i, token) => p.event(i, Event::Timer(token)),
            What::Cold => {
                let entries = vec![Entry { started_at: p.queue.now, ..list[0] }];
                for i in 0..c.routers {
                    p.event(i, Event::Members { form: ListForm::Delta, entries: entries.clone() });
                }
            }
            What::End(i, filled, end) => {
                *p.out.entry(end.member).or_default() -= 1.0;
                p.fills -= f64::from(u8::from(filled));
                let own = &mut p.asked[end.request as usize];
                own.2 |= end.outcome == Outcome::Ok && end.elapsed < DUE[own.0];
                p.event(i, Event::Completed(end));
            }
        }
    }
    [0, 1].map(|class| {
        let mut all: Vec<_> = p.asked[p.counted..].iter().filter(|a| a.0 == class).collect();
        all.sort_by(|a, b| b.1.total_cmp(&a.1));
        let share = |of: &[&(usize, f64, bool)]| of.iter().filter(|a| a.2).count() as f64 / of.len() as f64;
        let (tenth, third) = (all.len() / 10, all.len() * 3 / 10);
        [share(&all), share(&all[..tenth]), share(&all[tenth..third])]
    })
}

fn cases(load: f64, link: f64) -> Vec<Case> {
    let mut all = Vec::new();
    for routers in [1, 30] {
        for told in [true, false] {
            for (notes, parallel, cold) in [(true, true, false), (false, false, true)] {
                all.push(Case { routers, load, link, told, notes, parallel, cold });
            }
        }
    }
    all
}

/// The shares of the largest tenth and of the next fifth over their class's own are at least this.
fn hold(load: f64, link: f64, least: f64) {
    let mut short = Vec::new();
    for c in cases(load, link) {
        for (class, seed) in [(0, 1), (1, 1), (0, 2), (1, 2)] {
            let [all, tenth, fifth] = play(c, seed)[class];
            println!("{c:?} class {class} seed {seed}: {all:.3}, {tenth:.3}, {fifth:.3}");
            assert!(all > 0.3, "{c:?}: nothing of the class gets through");
            if tenth.min(fifth) < least * all {
                short.push(format!("{c:?} class {class}: {all:.3} of all, {tenth:.3}, {fifth:.3}"));
            }
        }
    }
    assert!(short.is_empty(), "{}", short.join("\n"));
}

#[test]
fn on_a_quiet_day_the_largest_get_two_thirds_of_their_class_at_least() {
    hold(0.5, 0.6, 2.0 / 3.0);
}

/// The highest usual load, seven tenths, and half as much again.
#[test]
fn on_a_loaded_day_the_largest_get_half_of_their_class_at_least() {
    hold(1.05, 0.8, 0.5);
}

/// For forty seconds far more is asked for than the caches can send.
#[test]
fn in_a_long_overload_the_largest_get_half_of_their_class_at_least() {
    hold(1.4, 0.8, 0.5);
}

#[test]
fn behind_a_crowded_link_the_largest_get_half_of_their_class_at_least() {
    hold(0.8, 3.0, 0.5);
}
