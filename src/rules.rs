//! Every decision of the router, in the words of `src/interface.rs`. From the top: constants, the ranking
//! (CARP), what is known, the events, then the one function that sends.
use crate::interface::*;
pub mod learned;
use learned::ClassStats;
use std::collections::BTreeMap;

/// How long a member is skipped after a failure, before one trial passes (the design page's default).
const SKIP: Micros = 5_000_000;
/// Mixing constant of the ranking: odd; all routers need the same.
const PRIME: u64 = 0xFF51_AFD7_ED55_8CCD;
/// Patience with an attempt: mean wait of its class plus so many mean deviations; sizes vary widely.
const DEVIATIONS: f64 = 4.0;
/// Weight of a new sample in the running means: 1/32 forgets in a few seconds of usual traffic.
const GAIN: f64 = 1.0 / 32.0;
/// Weight of a sample in a member's pace: slow members should show soon.
const PACE_GAIN: f64 = 1.0 / 10.0;
/// Share of the cold rule's budget that is used, and of that where no weights tell sizes.
const COLD_SAFETY: f64 = 0.7;
const UNTOLD_SIZE: f64 = 0.5;
/// Share of a window's budget that may be spent at once, against bursts.
const COLD_BURST: f64 = 0.25;
/// Memory of the traffic rates behind the cold budget, and span of a generation of known objects.
const MEMORY: f64 = 15_000_000.0;
/// Transfers that a cache of untold size is taken to carry at full pace until its waits say otherwise.
const START_FLOWS: f64 = 12.0;
/// Own attempts out at a cache, at first, over the own part of the transfers it carries at full pace.
const START_LIMIT: f64 = 1.5;
/// Limits are cut to this (the origin's by its pace, to half of this) or rise by one, under one threefold
/// while roomy, or by `GROWTH` (easy, roomy, else), once in a mean wait.
const LIMIT_CUT: f64 = 0.8;
/// Under this reported use, of its link too, no cache is crowded, whatever its waits; its limit grows fast.
const EASY: f64 = 0.8;
const GROWTH: [f64; 3] = [0.4, 0.1, 0.0];
/// Waits at a cache over the sending times: aims leave room for about twice the sending time.
const CACHES: Marks =
    Marks { crowded: 1.8, roomy: 1.4, calm: Micros::MAX, pause: 1.0, span: 5e6, deep: LIMIT_CUT };
/// Waits of fills over the time in which they are wanted. Uncut for a few seconds the limit rises.
const FILLS: Marks =
    Marks { crowded: 0.55, roomy: 0.4, calm: 2_000_000, pause: 0.5, span: 1e6, deep: LIMIT_CUT };
const ORIGIN: Marks = Marks { deep: LIMIT_CUT / 2.0, ..FILLS };
/// Fills that all routers together leave to a source, however slow.
const LEAST_FILLS: f64 = 6.0;
/// What is worth more than the class of least worth for its work may go over the limit by this.
const DEARER_ROOM: f64 = 1.5;
/// Gain of a class's sending time (sizes vary widely), and samples of it before waits are held against it.
const SIZE_GAIN: f64 = 1.0 / 256.0;
const WORK_SAMPLES: u32 = 16;
/// How full the location's link may be before fills are shed, in part, then all: up to 2 hardly one is late.
const LINK: [f64; 2] = [2.0, 5.0];
/// Share of requests that may cost a second attempt, and how many may come together: no retry storms.
const RETRY_SHARE: f64 = 0.25;
const RETRY_BURST: f64 = 10.0;
/// Signs in a row, with no answer between, that make a member suspect; those within the time count as one.
const STRIKES: u32 = 3;
const TOGETHER: Micros = 50_000;
/// The same where a rumour is believed (own failures are still needed), and how much shorter patience is.
const STRIKES_IN_DOUBT: u32 = 1;
const DOUBTED: Micros = 2;
/// Gain of a member's share of errors: four in a row pass the first mark, where a parent is skipped. A good
/// trial takes half of it, and they have to bring it under the second.
const ERROR_GAIN: [f64; 2] = [1.0 / 8.0, 0.5];
const ERRORS: [f64; 2] = [0.4, 0.2];
/// What a member without errors weighs where it is not told whose an error is: one tenth of an own one.
const BLAMELESS: f64 = 0.02;
/// How long a client that was declined is told to stay away.
const STAY_AWAY: Micros = 250_000;
/// Purges are remembered this multiple of `purge_done`: a fill begun before may still land.
const PURGE_MEMORY: f64 = 1.25;
/// Expected share of misses before any outcome was seen.
const MISS_PRIOR: f64 = 0.35;

/// A strong 64-bit mixer (every input bit changes every output bit about half of the time).
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

fn unit(h: u64) -> f64 {
    ((h >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// CARP's combination: XOR, add the product with a large prime, rotate left by 21. The sum is a product with
/// an even number and so loses a bit: ids are mixed before, and the result once more after.
fn combine(object: u64, member: u64) -> u64 {
    let x = object ^ member;
    mix(x.wrapping_add(x.wrapping_mul(PRIME)).rotate_left(21))
}

fn member_hash(addr: Addr) -> u64 {
    mix(0x6e67 << 48 | u64::from(u32::from_be_bytes(addr.ip)) << 16 | u64::from(addr.port))
}

/// CARP load factors for the given weights, in their order (draft section 3.3); equal or absent: all 1.
pub fn load_factors(weights: &[f64]) -> Vec<f64> {
    let usable = |w: f64| if w.is_finite() && w > 0.0 { w } else { 0.0 };
    let sum: f64 = weights.iter().map(|&w| usable(w)).sum();
    if sum <= 0.0 || weights.windows(2).all(|w| w[0] == w[1]) {
        return vec![1.0; weights.len()];
    }
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by(|&a, &b| usable(weights[a]).total_cmp(&usable(weights[b])).then(a.cmp(&b)));
    let k = weights.len();
    let (mut factors, mut product, mut last_x, mut last_p) = (vec![0.0; k], 1.0, 0.0, 0.0);
    for (i, &at) in order.iter().enumerate() {
        let (p, left) = (usable(weights[at]) / sum, (k - i) as f64);
        let x = (left * (p - last_p) / product + f64::powf(last_x, left)).powf(1.0 / left);
        (factors[at], last_x, last_p) = (x, x, p);
        product *= if x > 0.0 { x } else { 1.0 };
    }
    factors
}

/// The highest mean rate over `MEMORY`: what was borne once can be borne again, also after a loss.
#[derive(Clone, Debug, Default)]
struct Rate {
    sum: f64,
    last: Micros,
    peak: f64,
}

impl Rate {
    fn add(&mut self, now: Micros, born: Option<Micros>, x: f64) {
        self.sum = self.sum * (-(now.saturating_sub(self.last) as f64) / MEMORY).exp() + x;
        self.last = now;
        let age = (now.saturating_sub(born.unwrap_or(now)) as f64).max(MEMORY / 3.0);
        self.peak = self.peak.max(self.sum / (MEMORY * (1.0 - (-age / MEMORY).exp())));
    }
}

/// What is known of a member.
#[derive(Clone, Debug, Default)]
struct Member {
    entry: Entry,
    role: Role,
    hash: u64,
    /// It failed: skipped until then, and after each trial as long again, until one succeeds.
    skip: Option<Micros>,
    last_reply: Micros,
    last_fill: Micros,
    stuck: u32,
    struck: Micros,
    /// Rumours count until then. What follows is told of it: last own failure and good answer, skips helped.
    doubt: Micros,
    failed: Micros,
    why: Option<Outcome>,
    good: Micros,
    helped: u32,
    /// Share of its answers and fills that ended in an error of its own, as far as can be told.
    errors: f64,
    tokens: f64,
    tokens_at: Micros,
    lots: u32,
    flow: Flow,
}

#[derive(Clone, Debug)]
struct Attempt {
    member: Addr,
    source: Addr,
    /// Zone and cell of the member: another one may stand at its address by now.
    place: (u16, u16),
    sent: Micros,
    outcome: Option<Outcome>,
    revoked: bool,
    /// Only what the source holds is asked for.
    held: bool,
    /// The source, and the origin behind it, whose limits on fills it counts at.
    counted: Vec<Addr>,
}

/// A request that was taken, until its last attempt has ended.
#[derive(Clone, Debug)]
struct Job {
    req: Request,
    open: bool,
    attempts: Vec<Attempt>,
    lost: Vec<Addr>,
}

impl Attempt {
    /// It asked only for what is held, here or at the source, and nothing was.
    fn looked(&self) -> bool {
        self.outcome == Some(Outcome::Miss) && (self.held || self.source == self.member)
    }
    /// It was taken back unwritten, which says nothing of its member.
    fn unsent(&self) -> bool {
        self.outcome == Some(Outcome::NotSent)
    }
    fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// What a place is sought for: the mixed object, its cost to a cold member, room over limits, a set cache.
#[derive(Clone, Copy, Debug)]
struct Ask {
    object: u64,
    work: f64,
    room: f64,
    at: Option<Addr>,
}

/// How a cache answers, or fills from a source go: the waits, what they are held against, own ones out.
#[derive(Clone, Debug, Default)]
struct Flow {
    wait: f64,
    base: f64,
    seen: Micros,
    out: u32,
    ended: Micros,
    limit: Option<f64>,
    /// Its last report tells of little use.
    easy: bool,
    moved: Micros,
    cut: Micros,
}

/// Pace (waits over their base) above which a limit falls, and under which it rises; time without a cut after
/// which it rises anyway (five times that ends it); pause between moves; span of a pace; the deepest cut.
struct Marks {
    crowded: f64,
    roomy: f64,
    calm: Micros,
    pause: f64,
    span: f64,
    deep: f64,
}

impl Flow {
    /// Whether one more fits; the next in rank takes what is over. Under one, a pause follows each: a least
    /// limit of one for each of hundreds of routers would crowd what they share.
    fn admits(&self, room: f64, now: Micros) -> bool {
        // While it is easy no class is turned away for another: else the limit is never reached, nor raised.
        let room = room.max(f64::from(u8::from(self.easy)));
        self.limit.is_none_or(|x| match x * room {
            x if x < 1.0 => {
                let pause = (self.base * (1.0 / x - 1.0)).min(FILLS.calm as f64);
                self.out == 0 && now >= self.ended + pause as Micros
            }
            x => f64::from(self.out) < x,
        })
    }
    /// A router may see few outcomes of one member: the rarer, the more each one counts.
    fn sample(&mut self, now: Micros, wait: f64, base: f64, span: f64) {
        let gain = PACE_GAIN.max(1.0 - (-(now.saturating_sub(self.seen) as f64) / span).exp());
        self.wait += gain * (wait - self.wait);
        self.base += gain * (base - self.base);
        self.seen = now;
    }
    fn pace(&self) -> f64 {
        self.wait / self.base.max(1.0)
    }
    /// Moves the limit by the pace; `full`: one was turned away. `others`: what may stand behind a first cut.
    fn adjust(&mut self, now: Micros, marks: &Marks, least: f64, others: u32, full: bool) {
        let pace = if full { f64::MAX } else { f64::from(u8::from(!self.easy)) * self.pace() };
        if now < self.moved + (self.base * marks.pause) as Micros {
            return;
        }
        let calm = now.saturating_sub(self.cut);
        match self.limit {
            _ if pace > marks.crowded => {
                let most = self.limit.unwrap_or(f64::MAX).min(f64::from(self.out.max(others) + 1));
                let to = most * (marks.crowded / pace).clamp(marks.deep, LIMIT_CUT);
                (self.limit, self.cut) = (Some(to.max(least)), now);
            }
            Some(_) if calm / 5 > marks.calm => self.limit = None,
            Some(x) if f64::from(self.out + 1) < x => return,
            Some(x) if pace < marks.roomy || calm > marks.calm => {
                let share = GROWTH[usize::from(!self.easy) + usize::from(pace >= marks.roomy)];
                self.limit =
                    Some(x + (x * if pace < marks.roomy { 3.0 } else { 1.0 }).min(1.0).max(x * share));
            }
            _ => return,
        }
        self.moved = now;
    }
}

#[derive(Clone, Copy, Debug)]
enum Timer {
    Deadline(RequestId),
    Check(RequestId, usize),
    Again(RequestId),
    Second(RequestId),
}

/// The decisions of one router.
#[derive(Clone, Debug, Default)]
pub struct Router {
    s: Settings,
    members: BTreeMap<Addr, Member>,
    caches: Vec<(Addr, f64)>,
    parents: Vec<(Addr, f64)>,
    origin: Option<Addr>,
    most_weight: [f64; 2],
    jobs: BTreeMap<RequestId, Job>,
    timers: BTreeMap<u32, Timer>,
    next_token: u32,
    purged: BTreeMap<(u16, Option<u64>), Micros>,
    pace: Vec<ClassStats>,
    demand: [Rate; 2],
    retries: f64,
    known: [BTreeMap<u64, f64>; 2],
    known_since: Micros,
    born: Option<Micros>,
    /// Routers that share a cache of the location, and a parent or the origin.
    sharing: [f64; 2],
    seed: u64,
    /// How full the location's link is, as its caches report it.
    link: f64,
    /// Processes beside this one that spend the same budgets of cold members.
    beside: f64,
}

impl Router {
    /// A router that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let pace = settings.classes.iter().map(|c| {
            let aim = c.target_latency.max(1) as f64;
            ClassStats {
                sending_time: aim / 2.0,
                mean_wait: aim,
                deviation: aim / 4.0,
                miss_share: MISS_PRIOR,
                ..ClassStats::default()
            }
        });
        let own = settings.routers_by_zone.get(usize::from(settings.zone)).copied().unwrap_or(1);
        let sharing = [own, settings.routers_by_zone.iter().sum()].map(|n: u32| f64::from(n.max(1)));
        Router { sharing, pace: pace.collect(), retries: RETRY_BURST, s: settings, seed, ..Router::default() }
    }

    /// So many processes of the same proxy live beside this one: all together keep to its budgets.
    pub fn set_sibling_processes(&mut self, others: usize) {
        self.beside = others as f64;
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if self.born.is_none() {
            (self.born, self.known_since) = (Some(now), now);
            out.extend(self.s.list_on_request.then_some(Action::Track));
        }
        match event {
            Event::Members { form, entries } => self.on_members(form, &entries, out),
            Event::Request(req) => self.on_request(now, req, out),
            Event::Expired(id) => self.close(id, out),
            Event::StreamStarted { request, .. } => {
                drop(self.jobs.entry(request).and_modify(|j| j.open = false))
            }
            Event::Completed(c) => self.on_completed(now, c, out),
            Event::Timer(token) => self.on_timer(now, token, out),
            Event::Purged { ago, object, group } => {
                let keep = (self.s.purge_complete_after as f64 * PURGE_MEMORY) as Micros;
                self.purged.retain(|_, at| *at + keep > now);
                let at = self.purged.entry((if object.is_some() { 0 } else { group }, object)).or_insert(0);
                *at = (*at).max(now.saturating_sub(ago));
            }
            Event::Suspected { member, incarnation, valid_for: lasts } => {
                self.on_rumour(now, member, incarnation, lasts, out)
            }
            // A good one tells of the load, no more; a failed one is an own failure.
            Event::Probed { member, outcome: Outcome::Ok, report } => self.reported(member, &report),
            Event::Probed { member, outcome, .. } => self.stuck(member, now, outcome),
            Event::Peer { .. } => {}
        }
    }

    // ---- the list and the ranking ----

    fn on_members(&mut self, form: ListForm, entries: &[Entry], out: &mut Vec<Action>) {
        if form == ListForm::Failed {
            return out.extend(self.s.list_on_request.then_some(Action::Track));
        }
        if form != ListForm::Delta {
            self.members.retain(|a, _| entries.iter().any(|e| e.addr == *a));
        }
        for e in entries {
            let role = self.s.role(e);
            let limit = Some(self.flows(e) * START_LIMIT).filter(|_| role == Role::Cache);
            let (hash, flow) = (member_hash(e.addr), Flow { limit, ..Flow::default() });
            let fresh = Member { entry: *e, role, hash, tokens_at: e.started_at, flow, ..Member::default() };
            match self.members.get_mut(&e.addr) {
                _ if e.state == Lifecycle::Gone => drop(self.members.remove(&e.addr)),
                Some(m) if (m.entry.started_at, m.entry.incarnation) == (e.started_at, e.incarnation) => {
                    m.entry = *e
                }
                _ => drop(self.members.insert(e.addr, fresh)),
            }
        }
        self.origin = self.ranking(Role::Origin).first().map(|(a, _)| *a);
        self.caches = self.ranking(Role::Cache);
        self.parents = self.ranking(Role::Parent);
        let sum = |list: &[(Addr, f64)]| list.iter().map(|(a, _)| self.weight(*a)).sum::<f64>();
        let (sums, most) = ([sum(&self.caches), sum(&self.parents)], self.most_weight);
        self.most_weight = [0, 1].map(|i| sums[i].max(most[i]));
    }

    /// A member's weight; `live` weights change with the load and would reshuffle the objects.
    fn weight(&self, a: Addr) -> f64 {
        let told = matches!(self.s.weight_source, WeightSource::Nominal | WeightSource::Rough);
        let w = self.members.get(&a).map_or(0.0, |m| f64::from(m.entry.weight));
        Some(w).filter(|&w| told && w > 0.0).unwrap_or(1.0)
    }

    /// The own part of the transfers that a member carries at full pace: a weight counts them, where told.
    fn flows(&self, e: &Entry) -> f64 {
        let told = self.s.weight_source == WeightSource::Nominal && e.weight > 0.0;
        let sharing = self.sharing[usize::from(Some(e.kind) == self.s.parent_kind)];
        (if told { f64::from(e.weight) } else { START_FLOWS }) / sharing
    }

    fn ranking(&self, role: Role) -> Vec<(Addr, f64)> {
        let ready = |m: &&Member| m.role == role && m.entry.state == Lifecycle::Ready;
        let list: Vec<Addr> = self.members.values().filter(ready).map(|m| m.entry.addr).collect();
        let weights: Vec<f64> = list.iter().map(|&a| self.weight(a)).collect();
        list.iter().copied().zip(load_factors(&weights)).collect()
    }

    /// The members of a list, but for some, in the order of their scores for an object, best first.
    fn ranked(&self, list: &[(Addr, f64)], object: u64, not: &[Addr]) -> Vec<Addr> {
        let score = |(a, f): &(Addr, f64)| {
            let hash = self.members.get(a).map_or(0, |m| m.hash);
            (f * unit(combine(object, hash)), *a)
        };
        let mut order: Vec<(f64, Addr)> = list.iter().filter(|(a, _)| !not.contains(a)).map(score).collect();
        order.sort_by(|x, y| y.0.total_cmp(&x.0).then(x.1.cmp(&y.1)));
        order.into_iter().map(|(_, a)| a).collect()
    }

    /// Cold share of a member's capacity, if it started lately.
    fn cold_share(&self, m: &Member, now: Micros) -> Option<f64> {
        let (from, span) = match m.role {
            Role::Parent => (self.s.parent_cold_start_share, self.s.parent_cold_period),
            Role::Cache => (self.s.cold_start_share, self.s.cold_period),
            _ => return None,
        };
        let age = now.saturating_sub(m.entry.started_at);
        (m.entry.started_at > 0 && age < span).then(|| from + (1.0 - from) * age as f64 / span as f64)
    }

    /// What a cold member's budget grows by in a microsecond: this router's usual traffic for it, times the
    /// multiple and the cold share. All routers doing so keep their sum within the rule.
    fn budget(&self, m: &Member, share: f64) -> f64 {
        let i = usize::from(m.role == Role::Parent);
        let multiple = [self.s.overload_multiple, self.s.parent_overload_multiple][i];
        let usual = self.demand[i].peak * self.weight(m.entry.addr) / self.most_weight[i].max(1e-9);
        let told = self.s.weight_source == WeightSource::Nominal && m.entry.weight > 0.0;
        let usual = usual.min(if told { self.flows(&m.entry) } else { f64::MAX });
        let untold = if self.s.weight_source == WeightSource::Off { UNTOLD_SIZE } else { 1.0 };
        usual * share * multiple * COLD_SAFETY * untold / (1.0 + self.beside)
    }

    /// Whether a member has room for this work; `take` spends it. Work larger than the burst draws a lot that
    /// is won as often as the burst covers it, and a lost one empties the purse, as many routers share it.
    fn afford(&mut self, a: Addr, work: f64, now: Micros, take: bool) -> bool {
        let Some(m) = self.members.get(&a) else { return false };
        let Some(share) = self.cold_share(m, now) else { return true };
        let rate = self.budget(m, share);
        let most = rate * self.s.overload_tolerance as f64 * COLD_BURST;
        let tokens = (m.tokens + rate * now.saturating_sub(m.tokens_at) as f64).min(most);
        let price = work.min(most);
        let full = tokens > 0.0 && tokens >= price;
        let won = unit(mix(self.seed ^ m.hash ^ u64::from(m.lots))) * work < most;
        let spent = take || full && !won;
        let (left, lots) = if spent { (tokens - price, m.lots.wrapping_add(1)) } else { (tokens, m.lots) };
        self.members.entry(a).and_modify(|m| (m.tokens, m.tokens_at, m.lots) = (left, now, lots));
        full && won
    }

    fn fit(&self, a: Addr, now: Micros) -> bool {
        self.members.get(&a).is_some_and(|m| m.skip.is_none_or(|until| now >= until))
    }

    /// The first in rank that is fit, whose slice admits the object and that has room; else the best left.
    fn choose(&mut self, parents: bool, ask: Ask, not: &[Addr], now: Micros) -> Option<Addr> {
        let order = self.ranked(if parents { &self.parents } else { &self.caches }, ask.object, not);
        // A suspect parent comes after the origin, else a dead one takes what a cold one has no room for.
        let suspects = !parents || self.origin.is_none_or(|o| not.contains(&o) || self.errors(o) > ERRORS[0]);
        let fits = |r: &Self, a: Addr, pass| {
            let Some(m) = r.members.get(&a) else { return false };
            let in_slice = unit(mix(ask.object ^ m.hash ^ PRIME)) < r.cold_share(m, now).unwrap_or(1.0);
            let fit = if pass == 2 { suspects } else { r.fit(a, now) && (pass == 1 || in_slice) };
            fit && m.flow.admits(ask.room, now)
        };
        let mut tries = (0..3).flat_map(|pass| order.iter().map(move |a| (*a, pass)));
        tries.find(|(a, p)| fits(self, *a, *p) && self.afford(*a, ask.work, now, false)).map(|(a, _)| a)
    }

    /// How far a request may go over the limit: the class of least worth for its work not at all.
    fn room(&self, req: &Request) -> f64 {
        let each = self.s.classes.iter().zip(&self.pace);
        let least = each.map(|(c, p)| c.value / p.sending_time.max(1.0)).fold(f64::INFINITY, f64::min);
        let worth = self.s.classes.get(usize::from(req.class)).map_or(0.0, |c| c.value);
        let own = worth / self.work(req).max(1.0) / least.max(1e-12);
        own.sqrt().clamp(1.0 / DEARER_ROOM, DEARER_ROOM)
    }

    /// Moves a member's limit by its waits: a cache's by its answers (the last warm one keeps a third), a
    /// source's by its fills: when those are crowded hits go on, and misses are declined, not all late.
    fn judge(&mut self, now: Micros, a: Addr, wait: Micros, base: f64) {
        let out: u32 = self.caches.iter().filter_map(|(a, _)| self.members.get(a)).map(|m| m.flow.out).sum();
        let others = out / self.parents.len().max(1) as u32 / 2;
        let warm = |c: &Addr| self.members.get(c).is_some_and(|m| self.cold_share(m, now).is_none());
        let last = self.caches.iter().filter(|(c, _)| warm(c)).count() < 2;
        let Some(m) = self.members.get_mut(&a) else { return };
        let (marks, least, others) = match m.role {
            Role::Cache if last => (&CACHES, (START_FLOWS / 3.0 / self.sharing[0]).max(1.0), 0),
            Role::Cache => (&CACHES, 1.0, 0),
            Role::Origin => (&ORIGIN, LEAST_FILLS / self.sharing[1], others),
            _ => (&FILLS, LEAST_FILLS / self.sharing[1], others),
        };
        m.flow.sample(now, wait as f64, base, marks.span);
        m.flow.adjust(now, marks, least, others, false);
    }

    /// Skips a member after a failure that says something of it, until one trial passes; `None`: it answered.
    fn mark(&mut self, now: Micros, a: Addr, why: Option<Outcome>) {
        let Some(m) = self.members.get_mut(&a) else { return };
        m.errors *= 1.0 - f64::from(u8::from(why.is_none())) * ERROR_GAIN[usize::from(m.skip.is_some())];
        let trial = m.skip.map(|_| now).filter(|_| m.errors > ERRORS[1]);
        (m.skip, m.stuck) = (why.map(|_| now + SKIP).or(trial), 0);
        match why {
            Some(_) => (m.failed, m.why) = (now, why),
            // An own good answer outranks what others say.
            None => (m.good, m.doubt) = (now, 0),
        }
    }

    /// What others say lowers the number of own failures that a skip needs, and brings forward the verdict on
    /// what is out there as a trial; it never skips by itself.
    fn on_rumour(&mut self, now: Micros, a: Addr, incarnation: u64, lasts: Micros, out: &mut Vec<Action>) {
        let Some(m) = self.members.get_mut(&a).filter(|m| m.entry.incarnation == incarnation) else { return };
        let new = now >= std::mem::replace(&mut m.doubt, now + lasts) && lasts > 0;
        if lasts > 0 && m.stuck >= STRIKES_IN_DOUBT && now < m.struck + SKIP {
            m.helped += 1;
            let why = m.why;
            self.mark(now, a, why);
        }
        let jobs = self.jobs.iter().filter(|(_, j)| j.open && new);
        let out_there = jobs.flat_map(|(id, j)| j.attempts.iter().enumerate().map(move |t| (*id, j, t)));
        let on_trial: Vec<(RequestId, usize, Micros)> = out_there
            .filter(|(.., (_, t))| t.outcome.is_none() && !t.revoked && (t.member == a || t.source == a))
            .map(|(id, j, (at, t))| (id, at, t.sent + self.verdict(&j.req, t.member, t.source, now)))
            .collect();
        for (id, at, due) in on_trial {
            self.wake(Timer::Check(id, at), due.saturating_sub(now), out);
        }
    }

    /// What own traffic showed of the members that this router uses, in the order of their addresses.
    pub fn member_health(&self) -> impl Iterator<Item = MemberHealth> + '_ {
        self.members.iter().filter(|(_, m)| m.role != Role::OtherLocation).map(|(a, m)| MemberHealth {
            member: *a,
            incarnation: m.entry.incarnation,
            role: m.role,
            strikes: m.stuck,
            skipped: m.skip.is_some(),
            last_failed_at: m.failed,
            last_failure: m.why,
            last_good_at: m.good,
            suspicion_skips: m.helped,
        })
    }

    fn on_request(&mut self, now: Micros, req: Request, out: &mut Vec<Action>) {
        let id = req.id;
        self.jobs.insert(id, Job { req, open: true, attempts: Vec::new(), lost: Vec::new() });
        if now.saturating_sub(self.known_since) > MEMORY as Micros {
            (self.known[1], self.known_since) = (std::mem::take(&mut self.known[0]), now);
        }
        self.retries = (self.retries + RETRY_SHARE).min(RETRY_BURST);
        let last = req.expires_at.saturating_sub(self.s.min_event_interval.max(1));
        if now >= last || !self.send(now, id, out) {
            return self.answer(id, out);
        }
        self.wake(Timer::Deadline(id), last - now, out);
        if req.policy.hedge_after > 0 && self.s.parallel_attempts {
            self.wake(Timer::Second(id), req.policy.hedge_after, out);
        }
    }

    fn class(&self, req: &Request) -> Class {
        self.s.classes.get(usize::from(req.class)).cloned().unwrap_or_default()
    }

    fn passes(&self, req: &Request) -> bool {
        req.write || self.s.classes.get(usize::from(req.class)).is_some_and(|c| c.pass_through)
    }

    fn sized(&self, req: &Request) -> bool {
        req.size_kb > 0.0 && self.s.transfer_kb_per_s > 0.0
    }

    /// Sending time of a request, as told, else as seen of the object, else of its class.
    fn work(&self, req: &Request) -> f64 {
        if self.sized(req) {
            return f64::from(req.size_kb) / self.s.transfer_kb_per_s * 1e6;
        }
        let mean = self.pace.get(usize::from(req.class)).map_or(1.0, |p| p.sending_time);
        self.known(req.object).unwrap_or(mean)
    }

    /// The time in which it is wanted.
    fn wanted(&self, req: &Request) -> f64 {
        let class = self.class(req);
        class.target_latency as f64 + class.target_stretch * self.work(req)
    }

    /// How long an attempt without an answer counts to have waited for its source: where failures carry no
    /// notes it may have been a hit whose answer was lost, so that it is late counts, not by how much.
    fn unanswered(&self, wait: Micros, req: &Request) -> Micros {
        wait.min(if self.s.all_notes_reported { Micros::MAX } else { self.wanted(req) as Micros })
    }

    /// What an attempt costs a cold member: the mean of its class, as the rule counts it, and misses.
    fn cost(&self, req: &Request) -> (f64, f64) {
        self.pace.get(usize::from(req.class)).map_or((1.0, 1.0), |p| (p.sending_time, p.miss_share))
    }

    /// How long an attempt may stay silent before the member or its source is looked at.
    fn patience(&self, req: &Request) -> Micros {
        let class = self.class(req);
        let Some(p) = self.pace.get(usize::from(req.class)) else { return class.target_latency.max(1) };
        let large = (self.work(req) / p.sending_time.max(1.0)).max(1.0);
        let wait = (p.mean_wait + DEVIATIONS * p.deviation) * large;
        let own = wait.clamp(
            class.target_latency as f64 / 2.0,
            (class.deadline as f64 / 2.0).max(class.target_latency as f64),
        );
        Some(req.policy.attempt_timeout).filter(|t| *t > 0).unwrap_or(Micros::MAX).min(own as Micros)
    }

    /// How long an attempt is waited for before silence counts against its member or source.
    fn verdict(&self, req: &Request, member: Addr, source: Addr, now: Micros) -> Micros {
        let doubted = |a| self.members.get(a).is_some_and(|m: &Member| now < m.doubt);
        self.patience(req) / if [member, source].iter().any(doubted) { DOUBTED } else { 1 }
    }

    fn wake(&mut self, timer: Timer, after: Micros, out: &mut Vec<Action>) {
        self.next_token = self.next_token.wrapping_add(1);
        self.timers.insert(self.next_token, timer);
        out.push(Action::Wake { token: self.next_token, after: after.clamp(1, u32::MAX.into()) as u32 });
    }

    /// Oldest copy that will do: since the last purge of the object or its group, else as the class has it.
    fn age(&self, req: &Request, now: Micros) -> u32 {
        let keep = (self.s.purge_complete_after as f64 * PURGE_MEMORY) as Micros;
        let keys = [(0, Some(req.object)), (req.group, None)];
        let at = keys.iter().filter_map(|k| self.purged.get(k)).filter(|&&at| at + keep > now).max();
        let since = at.map(|at| now.saturating_sub(*at).saturating_sub(self.s.min_event_interval).max(1));
        let kept = Some(self.class(req).fresh_for).filter(|&f| f > 0 && at.is_some());
        u32::try_from(since.into_iter().chain(kept).min().unwrap_or(0)).unwrap_or(u32::MAX)
    }

    /// An object's sending time, from the quickest answer with it lately.
    fn known(&self, object: u64) -> Option<f64> {
        self.known.iter().filter_map(|k| k.get(&object)).copied().reduce(f64::min)
    }

    /// The one function that sends: it checks drain, effect, parallel limit, attempts left, purge age and the
    /// cold budgets, and builds the attempt. False: nothing may be sent.
    fn send(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let (req, class) = (job.req, self.class(&job.req));
        let outstanding = job.attempts.iter().filter(|a| a.outcome.is_none()).count();
        if !job.open || self.spent(job, now) || outstanding > usize::from(self.s.parallel_attempts) {
            return false;
        }
        let ran = job.attempts.iter().find(|a| a.may_have_run()).map(|a| (a.place, a.sent));
        // While fills are limited, a cache is asked first for what it holds; a miss comes back for a fill.
        // The same of its parent while the origin is: what parents hold does not wait for it.
        let last = job.attempts.iter().rfind(|a| !a.unsent());
        let (again, last) = (last.is_some(), last.filter(|a| a.looked()));
        let lacks = last.is_some_and(|a| a.held);
        let open = |a: &Addr| !job.lost.contains(a) && self.caches.iter().any(|(c, _)| c == a);
        let missed = last.map(|a| a.member).filter(open);
        let (again, lost) = (again && missed.is_none(), job.lost.clone());
        let (tries, work) = (job.attempts.len(), self.cost(&req).0);
        let paid = job.attempts.last().is_some_and(Attempt::unsent);
        // Each part is an object of its own to the ranking, as it is to the caches that keep it.
        let object = mix(mix(req.object) ^ u64::from(req.part));
        let ask = Ask { object, work, room: self.room(&req), at: missed };
        let Some((member, mut source)) = self.route(now, &req, ask, &lost) else { return false };
        let warm = self.members.get(&member).is_some_and(|m| self.cold_share(m, now).is_none());
        // A crowded link sheds fills by lot: routers of a location draw alike, however thin their traffic.
        let crowd = (self.link / ask.room - LINK[0]) / (LINK[1] - LINK[0]);
        let limit = self.members.get(&source).and_then(|m| m.flow.limit);
        let limited = source != member && (crowd > 0.0 || limit.is_some());
        let look = missed.is_none() && warm || unit(mix(self.seed ^ id)) < crowd;
        source = if limited && look && !self.passes(&req) { member } else { source };
        let tight = self.origin.and_then(|o| self.members.get(&o)).filter(|m| m.flow.limit.is_some());
        let tight = tight.filter(|o| source != member && source != o.entry.addr && !self.passes(&req));
        let held = tight.is_some_and(|o| !o.flow.admits(ask.room, now));
        let place = self.members.get(&member).map_or((0, 0), |m| (m.entry.zone, m.entry.cell));
        let cell = |p: (u16, u16)| class.dedup_group == DedupGroup::Zone || p.1 == place.1;
        let same = |p: (u16, u16)| class.dedup_group == DedupGroup::All || p.0 == place.0 && cell(p);
        // Once an attempt may have run: keyed requests stay in their group and window, unsafe ones stop.
        let end = ran.map(|(first, sent)| match class.effect {
            Effect::Retryable => Micros::MAX,
            Effect::Dedup if same(first) => {
                sent.saturating_add(class.dedup_window) - self.s.min_event_interval.min(sent)
            }
            _ => 0,
        });
        let over = end.is_some_and(|end| now >= end);
        if over || missed.is_some() && source == member || lacks && held {
            return false;
        }
        let far = tight.filter(|_| !held).map(|o| o.entry.addr);
        self.retries -= f64::from(u8::from(again && !paid));
        let fill = source != member && (missed.is_some() || limited);
        let counted: Vec<Addr> = Some(source).filter(|_| fill).into_iter().chain(far).collect();
        for a in counted.iter().chain([&member]) {
            self.members.entry(*a).and_modify(|m| m.flow.out += 1);
        }
        self.afford(member, work, now, true);
        if source != member {
            let work = if fill { work } else { self.fill_work(member, &req, now) };
            self.afford(source, work, now, true);
        }
        let passes = self.passes(&req);
        // What was served before is worth more than what is asked for once.
        let keep = if passes { 0 } else { 1 + u8::from(self.known(req.object).is_some()) };
        let new = Attempt { member, source, place, sent: now, outcome: None, revoked: false, held, counted };
        self.jobs.entry(id).and_modify(|j| j.attempts.push(new));
        for a in [member, source] {
            self.members.entry(a).and_modify(|m| m.skip = m.skip.map(|_| now + SKIP));
        }
        out.push(Action::Get(Get {
            request: id,
            member,
            source,
            keep,
            age: self.age(&req, now),
            // A look at what is held must not wait on a fill under way: that fill may hang.
            join: self.s.fill_joining && !passes && !again && source != member,
            renew: class.fresh_for > 0 && !passes,
            only_held: held,
            send_by: end.filter(|end| *end < Micros::MAX).unwrap_or(0),
            ..Get::default()
        }));
        self.wake(Timer::Check(id, tries), self.verdict(&req, member, source, now), out);
        true
    }

    /// Work that a source is expected to get from a request: all of it from a cold cache or after a purge.
    fn fill_work(&self, member: Addr, req: &Request, now: Micros) -> f64 {
        let (cost, miss) = self.cost(req);
        let cold = self.members.get(&member).is_some_and(|m| self.cold_share(m, now).is_some());
        let sure = cold || self.passes(req) || self.age(req, now) > 0;
        cost * if sure { 1.0 } else { miss }
    }

    /// Where a request goes and where a miss is filled from.
    fn route(&mut self, now: Micros, req: &Request, ask: Ask, lost: &[Addr]) -> Option<(Addr, Addr)> {
        let origin = self.origin.filter(|a| !lost.contains(a));
        if self.passes(req) {
            let to =
                origin.filter(|_| self.s.direct).or_else(|| self.choose(self.s.direct, ask, lost, now))?;
            // A suspect origin is no better by way of a parent, which would only ask it more often.
            let round = self.origin.is_none_or(|o| self.fit(o, now));
            let source = origin.or_else(|| self.choose(true, ask, lost, now).filter(|_| round))?;
            return Some((to, source));
        }
        let Some(cache) = ask.at.or_else(|| self.choose(false, ask, lost, now)) else {
            // No cache is fit: straight to a parent where that is allowed, else nothing.
            let direct = self.s.direct && !self.caches.iter().any(|(a, _)| self.fit(*a, now));
            return self.choose(true, ask, lost, now).or(origin).filter(|_| direct).map(|a| (a, a));
        };
        let fill = self.fill_work(cache, req, now);
        // With every parent full the way in is: the origin is for what lost or cold ones leave.
        let full = |a: Addr| self.members.get(&a).is_some_and(|m| !m.flow.admits(ask.room, now));
        let all = !self.parents.is_empty() && self.parents.iter().all(|(p, _)| full(*p));
        let origin = origin.filter(|o| !all && !full(*o));
        let source = self.choose(true, Ask { work: fill, ..ask }, lost, now).or(origin).unwrap_or(cache);
        Some((cache, source))
    }

    /// Another attempt after a loss, within the retry budget unless free; else the final answer, at once. The
    /// pause that the terms ask for comes before it, once, where an attempt may follow.
    fn again(&mut self, now: Micros, id: RequestId, free: bool, paused: bool, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|j| j.open) else { return };
        let waiting = job.attempts.iter().any(|a| a.outcome.is_none() && !a.revoked);
        if waiting && (paused || !self.s.parallel_attempts) {
            return;
        }
        let (pause, then) = (job.req.policy.retry_delay, now + job.req.policy.retry_delay);
        let may = self.retries >= 1.0 && self.harmless(job) && !self.spent(job, then);
        if pause > 0 && !free && !waiting && !paused {
            return if may { self.wake(Timer::Again(id), pause, out) } else { self.answer(id, out) };
        }
        let sent = (free || self.retries >= 1.0) && self.send(now, id, out);
        if !sent && !waiting {
            self.answer(id, out);
        }
    }

    /// No further attempt may leave: too many have, or the time is up.
    fn spent(&self, job: &Job, now: Micros) -> bool {
        let tries = job.attempts.iter().filter(|a| !a.looked() && !a.unsent()).count();
        let (most, all) = (job.req.policy.attempt_limit as usize, self.s.max_attempts.max(1) as usize);
        job.attempts.len() >= all
            || most > 0 && tries >= most
            || now + self.s.min_event_interval >= job.req.expires_at
    }

    /// Whether a repeat does no harm, whatever became of the attempts so far.
    fn harmless(&self, job: &Job) -> bool {
        let class = self.class(&job.req);
        let dropped = class.effect == Effect::Dedup && class.dedup_group == DedupGroup::All;
        let ran = job.attempts.iter().any(Attempt::may_have_run);
        !ran || dropped || class.effect == Effect::Retryable
    }

    /// The first attempt has been out for as long as the terms allow: a second copy goes out, elsewhere.
    fn second(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let alone = |j: &&mut Job| j.open && j.attempts.iter().filter(|a| a.outcome.is_none()).count() == 1;
        let Some(j) = self.jobs.get_mut(&id).filter(alone) else { return };
        let Some(a) = j.attempts.last().filter(|a| a.outcome.is_none() && !a.revoked) else { return };
        j.lost.push(a.member);
        // Where no copy can go out, its member is not left out later either.
        if self.retries < 1.0 || !self.send(now, id, out) {
            self.jobs.entry(id).and_modify(|j| j.lost.truncate(j.lost.len().max(1) - 1));
        }
    }

    /// The final answer where none came from a member: declined where a repeat is harmless, else failed.
    fn answer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|j| j.open) else { return };
        let retry_after = if self.s.retry_after { STAY_AWAY.min(self.s.max_retry_after) as u32 } else { 0 };
        let harmless = self.harmless(job);
        out.push(if harmless { Action::Decline { request: id, retry_after } } else { Action::Fail(id) });
        self.close(id, out);
    }

    /// The request is over: withdraw what is still out, keep the record until the outcomes are in.
    fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.open = false;
        let still = job.attempts.iter_mut().enumerate().filter(|(_, a)| self.s.cancel && a.outcome.is_none());
        let new = still.filter_map(|(i, a)| (!std::mem::replace(&mut a.revoked, true)).then_some(i as u16));
        out.extend(new.map(|attempt| Action::Revoke { request: id, attempt }));
        if job.attempts.iter().all(|a| a.outcome.is_some()) {
            self.jobs.remove(&id);
        }
    }

    fn on_completed(&mut self, now: Micros, c: Completed, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&c.request) else { return };
        let open = |a: &&mut Attempt| a.outcome.is_none();
        let Some(at) = job.attempts.get_mut(usize::from(c.attempt)).filter(open) else { return };
        at.outcome = Some(c.outcome);
        let (attempt, req) = (at.clone(), job.req);
        for a in attempt.counted.iter().chain([&attempt.member]) {
            let Some(flow) = self.members.get_mut(a).map(|m| &mut m.flow) else { continue };
            (flow.out, flow.ended) = (flow.out.saturating_sub(1), now);
        }
        self.learn(now, &c, &attempt, &req);
        let its = self.errors(attempt.source) > self.errors(attempt.member);
        let Some(job) = self.jobs.get_mut(&c.request) else { return };
        if c.request_done || c.outcome == Outcome::Ok || !job.open {
            return self.close(c.request, out);
        }
        let (looked, unsent) = (attempt.looked(), attempt.unsent());
        // One that is taken back twice has no room: the next in rank gets its turn, where there is one.
        let next = |(a, _): &(Addr, f64)| *a != attempt.member && !job.lost.contains(a);
        let twice = job.attempts.iter().filter(|a| a.unsent() && a.member == attempt.member).count() > 1;
        let spared = looked || unsent && !(twice && self.caches.iter().any(next));
        // What is left out on the next attempt: the source where the fill failed, else the member.
        let blamed = match c.note {
            Note::OriginFailed => self.origin.unwrap_or(attempt.source),
            Note::SourceRefused | Note::SourceFailed | Note::SourceMiss => attempt.source,
            _ if c.outcome == Outcome::Miss || c.outcome == Outcome::Error && its => attempt.source,
            _ => attempt.member,
        };
        job.lost.extend(Some(blamed).filter(|_| !attempt.revoked && !spared));
        self.again(now, c.request, looked || unsent, false, out);
    }

    /// Takes in a load report. One that was asked for is too old to clear a cache of being crowded.
    fn reported(&mut self, a: Addr, report: &Report) {
        let told = &report.values[..usize::from(report.count.min(4))];
        let used = |i: Option<usize>| i.and_then(|i| told.get(i)).copied();
        if let Some((cpu, m)) = used(self.s.columns.cpu).zip(self.members.get_mut(&a)) {
            let (x1, calm) =
                (f64::from(used(self.s.columns.link_load).unwrap_or(0.0)), self.s.reports_inline);
            m.flow.easy = calm && x1.max(cpu.into()) < EASY && m.flow.pace() < 2.0 * CACHES.crowded;
            self.link += f64::from(u8::from(m.role == Role::Cache)) * (x1 - self.link) / 2.0;
        }
    }

    /// What an outcome teaches of the member, its source and the class, also when the request is over.
    fn learn(&mut self, now: Micros, c: &Completed, a: &Attempt, req: &Request) {
        if !matches!(c.outcome, Outcome::Cancelled | Outcome::NotSent | Outcome::Timeout) {
            self.members.entry(a.member).and_modify(|m| m.last_reply = now);
        }
        self.reported(a.member, &c.report);
        let filled = matches!(c.note, Note::Filled | Note::FilledOrigin | Note::Joined);
        // A limited fill that was given up counts as well: else only the quick ones would be seen.
        let work = self.work(req);
        // A crowded parent delays what comes from behind it as well: only a roomy one shows a crowded origin.
        let near = self.members.get(&a.source).is_some_and(|m| m.flow.pace() < FILLS.roomy);
        let behind = near && matches!(c.note, Note::FilledOrigin | Note::OriginFailed);
        if a.source != a.member && !a.unsent() && (filled || !a.held && (behind || !a.counted.is_empty())) {
            let counted = a.counted.last().copied().unwrap_or(a.source);
            // An unseen object may be large: its first byte's wait tells; a told size, the time of sending.
            let known = self.sized(req) || self.known(req.object).is_some() || c.source_wait == 0;
            let wait = if known { c.elapsed } else { c.elapsed.min(c.source_wait + work as Micros) };
            let wait = wait.saturating_sub(if self.sized(req) { work as Micros } else { 0 });
            let wait = if filled { wait } else { self.unanswered(wait, req) };
            self.judge(now, self.origin.filter(|_| behind).unwrap_or(counted), wait, self.wanted(req));
        }
        let (why, untold) = (Some(c.outcome), c.note == Note::None);
        let silent = self.members.get(&a.member).is_none_or(|m| m.last_reply <= a.sent);
        match c.outcome {
            Outcome::Ok => {
                self.mark(now, a.member, None);
                let hit = matches!(c.note, Note::Hit | Note::Stale) || (!self.s.hits_reported && !filled);
                let known = self.known[0].entry(req.object).or_insert(f64::INFINITY);
                *known = known.min(c.elapsed as f64);
                let (sized, quickest) = (self.sized(req), self.work(req));
                if let Some(p) = self.pace.get_mut(usize::from(req.class)) {
                    let wait = c.elapsed as f64;
                    p.deviation += GAIN * ((wait - p.mean_wait).abs() - p.deviation);
                    p.mean_wait += GAIN * (wait - p.mean_wait);
                    let sourced = f64::from(u8::from(a.source != a.member));
                    p.miss_share += sourced * GAIN * (f64::from(u8::from(filled)) - p.miss_share);
                    if hit || a.source == a.member || sized {
                        p.samples += 1;
                        p.sending_time +=
                            (quickest - p.sending_time) * SIZE_GAIN.max(1.0 / f64::from(p.samples));
                    }
                }
                // Before a class's sending time is known, a wait says nothing of crowding.
                let seen = self.pace.get(usize::from(req.class)).map_or(0, |p| p.samples);
                if hit && (sized || seen > WORK_SAMPLES) {
                    self.judge(now, a.member, c.elapsed, work.max(1.0));
                }
                // What was delivered shows what they can bear; demand, which crowds them, would not.
                let (cost, miss) = self.cost(req);
                self.demand[0].add(now, self.born, if self.passes(req) { 0.0 } else { cost });
                let share = if self.s.hits_reported { f64::from(u8::from(filled)) } else { miss };
                if self.parents.iter().any(|(p, _)| *p == a.source) {
                    self.demand[1].add(now, self.born, cost * share);
                }
                if let Some(m) = self.members.get_mut(&a.source).filter(|_| filled) {
                    m.last_fill = now;
                    self.mark(now, a.source, None);
                }
            }
            Outcome::ConnectFailed => self.mark(now, a.member, why),
            // One broken connection takes several attempts with it and is no member that is down.
            Outcome::Reset => self.stuck(a.member, now, c.outcome),
            Outcome::Timeout if silent => self.mark(now, a.member, why),
            Outcome::Error if !self.s.all_notes_reported => self.failed(now, a),
            Outcome::Refused if untold && self.s.all_notes_reported => {
                self.members.entry(a.member).and_modify(|m| m.flow.adjust(now, &CACHES, 1.0, 0, true));
            }
            // Nothing told: the fill or the member may have failed, so one such sign is not enough.
            Outcome::Refused if untold && a.source != a.member => self.stuck(a.source, now, c.outcome),
            _ if matches!(c.note, Note::SourceRefused | Note::SourceFailed) => self.mark(now, a.source, why),
            _ => {}
        }
    }

    fn errors(&self, a: Addr) -> f64 {
        self.members.get(&a).map_or(0.0, |m| m.errors)
    }

    /// An error that carries no note is the member's own or its source's: shared by what each did lately.
    fn failed(&mut self, now: Micros, a: &Attempt) {
        let [own, its] = [a.member, a.source].map(|m| self.errors(m) + BLAMELESS);
        let part = if a.source == a.member { 1.0 } else { own / (own + its) };
        for (a, part) in [(a.member, part), (a.source, 1.0 - part)] {
            let Some(m) = self.members.get_mut(&a).filter(|_| part > 0.0) else { continue };
            m.errors += ERROR_GAIN[0] * (part - m.errors);
            // An error of a cache costs one more attempt, a skip of it the copies that it holds.
            if m.errors > ERRORS[0] && m.role == Role::Parent {
                self.mark(now, a, Some(Outcome::Error));
            }
        }
    }

    /// Counts a sign that may have another cause, what comes together once; some in a row make suspect.
    fn stuck(&mut self, a: Addr, now: Micros, why: Outcome) {
        let Some(m) = self.members.get_mut(&a).filter(|m| now >= m.struck + TOGETHER) else { return };
        (m.stuck, m.struck, m.failed, m.why) = (m.stuck + 1, now, now, Some(why));
        if m.stuck >= if now < m.doubt { STRIKES_IN_DOUBT } else { STRIKES } {
            m.helped += u32::from(m.stuck < STRIKES);
            self.mark(now, a, Some(why));
        }
    }

    fn on_timer(&mut self, now: Micros, token: u32, out: &mut Vec<Action>) {
        match self.timers.remove(&token) {
            Some(Timer::Deadline(id)) => self.answer(id, out),
            Some(Timer::Check(id, at)) => self.check(now, id, at, out),
            Some(Timer::Again(id)) => self.again(now, id, false, true, out),
            Some(Timer::Second(id)) => self.second(now, id, out),
            None => {}
        }
    }

    /// An attempt has outlasted patience: silence since the send tells hanging from a large object.
    fn check(&mut self, now: Micros, id: RequestId, at: usize, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|j| j.open) else { return };
        let Some(a) = job.attempts.get(at).filter(|a| a.outcome.is_none()).cloned() else { return };
        let (req, last, mut blamed) = (job.req, job.attempts.len() == at + 1, None);
        let waited = self.unanswered(now.saturating_sub(a.sent), &req);
        let unheard = self.origin.filter(|o| self.members.get(o).is_some_and(|m| m.flow.seen < a.sent));
        if self.members.get(&a.member).is_none_or(|m| m.last_reply <= a.sent) {
            self.mark(now, a.member, Some(Outcome::Timeout));
            blamed = Some(a.member);
        } else if a.source != a.member && self.members.get(&a.source).is_some_and(|m| m.last_fill < a.sent) {
            self.stuck(a.source, now, Outcome::Timeout);
            self.judge(now, a.source, waited, self.wanted(&req));
            blamed = self.members.get(&a.source).filter(|m| m.skip.is_some()).map(|m| m.entry.addr);
        } else if let Some(o) = unheard.filter(|_| a.source != a.member && !a.held && self.link < LINK[0]) {
            // The parent fills others: what it lacks waits for the origin, which the end would tell too late.
            self.judge(now, o, waited, self.wanted(&req));
        }
        let fragile = self.class(&req).effect == Effect::NotRetryable;
        if let Some(b) = blamed.filter(|_| last && !fragile && self.retries >= 1.0) {
            self.jobs.entry(id).and_modify(|j| j.lost.push(b));
            if self.s.parallel_attempts {
                self.send(now, id, out);
            } else if let Some(a) = self.jobs.get_mut(&id).and_then(|j| j.attempts.get_mut(at)) {
                let again = std::mem::replace(&mut a.revoked, self.s.cancel) || !self.s.cancel;
                out.extend((!again).then_some(Action::Revoke { request: id, attempt: at as u16 }));
            }
            return;
        }
        self.wake(Timer::Check(id, at), self.verdict(&req, a.member, a.source, now), out);
    }
}
