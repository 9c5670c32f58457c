//! The router: every routing decision, expressed in the types of `src/interface.rs`. In order: constants, the
//! member ranking (CARP), the state of members and requests, the event handlers, and `send_attempt`, the only
//! function that sends.
use crate::interface::*;
pub mod learned;
use learned::ClassStats;
use std::collections::BTreeMap;

/// How long a member is skipped after a failure, before one trial is let through: the default of the design
/// page.
const SKIP_TIME: Micros = 5_000_000;
/// Multiplier of the ranking hash. It is odd, and all routers have to use the same one.
const HASH_MULTIPLIER: u64 = 0xFF51_AFD7_ED55_8CCD;
/// An attempt times out after the mean wait of its class plus this many mean deviations, because sizes vary
/// widely.
const TIMEOUT_DEVIATIONS: f64 = 4.0;
/// Weight of a new sample in a class's moving averages: 1/32 forgets in a few seconds of usual traffic.
const CLASS_GAIN: f64 = 1.0 / 32.0;
/// Least weight of a new sample in a member's moving averages, so that slow members show soon.
const MEMBER_GAIN: f64 = 1.0 / 10.0;
/// Share of the budget of the rule for cold members that is used, as a safety margin.
const COLD_BUDGET_SHARE: f64 = 0.7;
/// Share of what is left of that budget that is used where weights do not give the members' sizes.
const UNWEIGHTED_BUDGET_SHARE: f64 = 0.5;
/// Share of the budget of one overload window that may be spent at once: limits bursts.
const COLD_BURST_SHARE: f64 = 0.25;
/// Time constant of the traffic rates behind the cold budget, and length of a generation of known objects.
const RATE_MEMORY_MICROS: f64 = 15_000_000.0;
/// Transfers that a cache of unreported size is assumed to carry at full speed until its waits say otherwise.
const DEFAULT_TRANSFERS: f64 = 12.0;
/// Initial limit of this router's attempts in flight at a cache, as a multiple of this router's share of the
/// transfers that the cache carries at full speed.
const INITIAL_LIMIT_MULTIPLE: f64 = 1.5;
/// Factor by which the limit of a crowded member is cut (the origin's is cut by its wait ratio, down to half
/// of this factor). A limit rises by one; below one it at most doubles, or quadruples while there is spare
/// capacity. Where one of the growth shares below adds more, it rises by that. It moves at most once in the
/// interval of its tuning.
const LIMIT_CUT_FACTOR: f64 = 0.8;
/// Below this reported usage, also of its link, a cache does not count as crowded whatever its waits are, and
/// its limit grows fast.
const LOW_USAGE: f64 = 0.8;
/// Share by which the limit of a member that reports low usage grows in one move.
const GROWTH_LOW_USAGE: f64 = 0.4;
/// Share by which the limit of any other member with spare capacity grows in one move.
const GROWTH_SPARE: f64 = 0.1;
/// Limits on caches: waits relative to the sending time. The latency targets leave room for about twice that
/// time.
const CACHE_TUNING: LimitTuning = LimitTuning {
    crowded_ratio: 1.8,
    spare_ratio: 1.4,
    recovery_time: Micros::MAX,
    interval_multiple: 1.0,
    sample_memory_micros: 5e6,
    deepest_cut: LIMIT_CUT_FACTOR,
};
/// Limits on fills from a source: waits relative to the time in which the request is wanted. A limit that has
/// not been cut for a few seconds rises.
const FILL_TUNING: LimitTuning = LimitTuning {
    crowded_ratio: 0.55,
    spare_ratio: 0.4,
    recovery_time: 2_000_000,
    interval_multiple: 0.5,
    sample_memory_micros: 1e6,
    deepest_cut: LIMIT_CUT_FACTOR,
};
/// Limits on fills from the origin, which are cut deeper.
const ORIGIN_TUNING: LimitTuning = LimitTuning { deepest_cut: LIMIT_CUT_FACTOR / 2.0, ..FILL_TUNING };
/// Fills in flight that all routers together always allow a source, however slow it is.
const MIN_SHARED_FILLS: f64 = 6.0;
/// Highest factor on a limit for a request's value: a request that is worth more for its work than the class
/// of least value may exceed the limit by up to this factor.
const MAX_LIMIT_FACTOR: f64 = 1.5;
/// Weight of a new sample in a class's mean sending time: low, because sizes vary widely.
const SENDING_TIME_GAIN: f64 = 1.0 / 256.0;
/// Samples of a class's sending time before waits are compared with it.
const MIN_SENDING_TIME_SAMPLES: u32 = 16;
/// Load of the location's link at which fills begin to be shed: up to 2 hardly one is late.
const LINK_LOAD_SHED_START: f64 = 2.0;
/// Load of the location's link at which all fills are shed.
const LINK_LOAD_SHED_ALL: f64 = 5.0;
/// Retry budget, a token bucket that prevents retry storms: tokens that each request adds, which is the share
/// of requests that may cost a second attempt.
const RETRY_TOKENS_PER_REQUEST: f64 = 0.25;
/// Most retry tokens that may be saved up: retries that may come together.
const RETRY_BURST: f64 = 10.0;
/// Strikes (signs of failure) in a row, with no good answer between them, after which a member is skipped.
const STRIKES_TO_SKIP: u32 = 3;
/// Strikes within this time count as one.
const STRIKE_MERGE_WINDOW: Micros = 50_000;
/// Strikes after which a member that other routers suspect is skipped: own failures are still needed.
const STRIKES_TO_SKIP_SUSPECTED: u32 = 1;
/// Divisor of the timeout of attempts at a member that other routers suspect.
const SUSPECTED_TIMEOUT_DIVISOR: Micros = 2;
/// Weight of a new error in a member's error share: four in a row pass [`MAX_ERROR_SHARE`]. A success takes
/// the same part of the share away.
const ERROR_GAIN: f64 = 1.0 / 8.0;
/// Part of the error share that a success takes away while the member is skipped, that is by a trial.
const TRIAL_ERROR_DECAY: f64 = 0.5;
/// A parent whose error share exceeds this is skipped.
const MAX_ERROR_SHARE: f64 = 0.4;
/// Successful trials have to bring the error share down to this before the skip ends.
const RECOVERED_ERROR_SHARE: f64 = 0.2;
/// Added to each error share when an error is divided between member and source, where answers do not say
/// whose it is. It is what a member without errors weighs: one tenth of what an error of its own would.
const BASE_ERROR_SHARE: f64 = 0.02;
/// Retry-after advice of a declined request.
const RETRY_AFTER: Micros = 250_000;
/// Purges are remembered for this multiple of `purge_complete_after`: a fill that began before one may still
/// land.
const PURGE_MEMORY_MULTIPLE: f64 = 1.25;
/// Expected share of misses before the first outcome.
const INITIAL_MISS_SHARE: f64 = 0.35;

/// A strong 64-bit mixer: every input bit changes every output bit about half of the time.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

/// Maps a hash to a number between 0 and 1, both excluded.
fn unit_interval(h: u64) -> f64 {
    ((h >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// Combines the hashes of an object and a member as CARP does: XOR, add the product with a large prime,
/// rotate left by 21. The sum is a product with an even number and so loses one bit, therefore both hashes
/// are mixed beforehand and the result is mixed once more.
fn combine_hashes(object: u64, member: u64) -> u64 {
    let x = object ^ member;
    mix(x.wrapping_add(x.wrapping_mul(HASH_MULTIPLIER)).rotate_left(21))
}

fn member_hash(addr: Addr) -> u64 {
    mix(0x6e67 << 48 | u64::from(u32::from_be_bytes(addr.ip)) << 16 | u64::from(addr.port))
}

/// Returns the CARP load factors for the given weights, in their order (draft section 3.3). They are all 1
/// where the weights are equal or none is usable.
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

/// A decaying traffic rate and its highest mean over `RATE_MEMORY_MICROS`. The peak never falls: what was
/// borne once can be borne again, also after a loss of traffic.
#[derive(Clone, Debug, Default)]
struct Rate {
    decayed_sum: f64,
    updated_at: Micros,
    /// Amount per microsecond.
    peak: f64,
}

impl Rate {
    /// Adds an amount of traffic. `started_at` is when the router started; a rate of less history is averaged
    /// over a third of the memory at least.
    fn add(&mut self, now: Micros, started_at: Option<Micros>, amount: f64) {
        self.decayed_sum = self.decayed_sum
            * (-(now.saturating_sub(self.updated_at) as f64) / RATE_MEMORY_MICROS).exp()
            + amount;
        self.updated_at = now;
        let age = (now.saturating_sub(started_at.unwrap_or(now)) as f64).max(RATE_MEMORY_MICROS / 3.0);
        self.peak = self
            .peak
            .max(self.decayed_sum / (RATE_MEMORY_MICROS * (1.0 - (-age / RATE_MEMORY_MICROS).exp())));
    }
}

/// What the router knows of a member.
#[derive(Clone, Debug, Default)]
struct Member {
    entry: Entry,
    role: Role,
    /// Hash of its address, for the ranking.
    hash: u64,
    /// Set after a failure: the member is skipped until then, and after each trial as long again, until one
    /// succeeds.
    skip_until: Option<Micros>,
    last_reply_at: Micros,
    last_fill_at: Micros,
    /// Strikes in a row since its last good answer or skip, and when the last one was.
    strikes: u32,
    last_strike_at: Micros,
    /// The suspicion of other routers counts until then.
    suspected_until: Micros,
    /// The next four are reported by `member_health`: the last own failure and how it failed, the last good
    /// answer, and skips that the suspicion of others brought forward.
    last_failed_at: Micros,
    last_failure: Option<Outcome>,
    last_good_at: Micros,
    suspicion_skips: u32,
    /// Share of its answers and fills that ended in an error of its own, as far as can be told.
    error_share: f64,
    /// Token bucket of a cold member's budget, in microseconds of work, and when it was last refilled.
    cold_tokens: f64,
    cold_tokens_at: Micros,
    /// Counter that makes each lot for work larger than the burst a new one; it grows with every spending.
    lots_drawn: u32,
    flow: Flow,
}

/// An attempt that was sent for a request.
#[derive(Clone, Debug)]
struct Attempt {
    member: Addr,
    source: Addr,
    /// Zone and cell of the member when the attempt was sent: another member may have its address by now.
    zone_and_cell: (u16, u16),
    sent_at: Micros,
    outcome: Option<Outcome>,
    revoked: bool,
    /// The source is asked only for what it holds.
    only_held: bool,
    /// The members whose limits on fills it counts against: the source, and the origin behind it.
    counted_at: Vec<Addr>,
}

/// The state of a request that was taken, until its last attempt has ended.
#[derive(Clone, Debug)]
struct Job {
    req: Request,
    /// No final answer has been given or begun.
    open: bool,
    attempts: Vec<Attempt>,
    /// Members and sources that failed it and are left out of its next attempts.
    excluded: Vec<Addr>,
}

impl Attempt {
    /// Whether it asked only for what is held, at the member or at the source, and found nothing.
    fn was_lookup_miss(&self) -> bool {
        self.outcome == Some(Outcome::Miss) && (self.only_held || self.source == self.member)
    }
    /// Whether it was taken back before it was sent, which says nothing of its member.
    fn was_not_sent(&self) -> bool {
        self.outcome == Some(Outcome::NotSent)
    }
    fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// What a member is chosen for.
#[derive(Clone, Copy, Debug)]
struct MemberQuery {
    /// Hash of the object.
    object_hash: u64,
    /// What the request costs a cold member, in microseconds of work.
    cost: f64,
    /// Factor on the members' limits for this request.
    limit_factor: f64,
    /// The cache is already decided.
    fixed_cache: Option<Addr>,
}

/// Flow control of the attempts at a cache, or of the fills from a source: moving averages of the waits, the
/// own ones in flight and their limit.
#[derive(Clone, Debug, Default)]
struct Flow {
    /// Moving average of the waits, in microseconds.
    mean_wait: f64,
    /// Moving average of what the waits are compared with, in microseconds.
    expected_wait: f64,
    last_sample_at: Micros,
    in_flight: u32,
    last_ended_at: Micros,
    /// Most in flight at once; below one, how often one may be. `None`: no limit.
    limit: Option<f64>,
    /// Its last load report shows low usage.
    low_usage: bool,
    limit_moved_at: Micros,
    limit_cut_at: Micros,
}

/// How a limit moves with the wait ratio (mean wait over expected wait).
struct LimitTuning {
    /// Wait ratio above which the limit falls.
    crowded_ratio: f64,
    /// Wait ratio below which the limit rises.
    spare_ratio: f64,
    /// Time without a cut after which the limit rises anyway; after five times that it is lifted.
    recovery_time: Micros,
    /// Least time between two moves, as a multiple of the expected wait.
    interval_multiple: f64,
    /// Time constant of the moving averages, in microseconds.
    sample_memory_micros: f64,
    /// The lowest factor of a single cut.
    deepest_cut: f64,
}

impl Flow {
    /// Whether one more fits; the next member in rank takes what does not. Under a limit of less than one, a
    /// pause follows each: were the least limit one for each of hundreds of routers, they would crowd what
    /// they share.
    fn admits(&self, limit_factor: f64, now: Micros) -> bool {
        // While usage is low no class is turned away in favour of another: otherwise the limit would never be
        // reached, and so never raised.
        let limit_factor = limit_factor.max(f64::from(u8::from(self.low_usage)));
        self.limit.is_none_or(|current| match current * limit_factor {
            x if x < 1.0 => {
                let pause = (self.expected_wait * (1.0 / x - 1.0)).min(FILL_TUNING.recovery_time as f64);
                self.in_flight == 0 && now >= self.last_ended_at + pause as Micros
            }
            x => f64::from(self.in_flight) < x,
        })
    }
    /// Adds a wait to the moving averages. The rarer the samples, the more each one counts, because a router
    /// may see few outcomes of one member.
    fn add_sample(&mut self, now: Micros, wait: f64, expected: f64, memory_micros: f64) {
        let gain =
            MEMBER_GAIN.max(1.0 - (-(now.saturating_sub(self.last_sample_at) as f64) / memory_micros).exp());
        self.mean_wait += gain * (wait - self.mean_wait);
        self.expected_wait += gain * (expected - self.expected_wait);
        self.last_sample_at = now;
    }
    fn wait_ratio(&self) -> f64 {
        self.mean_wait / self.expected_wait.max(1.0)
    }
    /// Moves the limit by the wait ratio. `refused`: the member turned one away for lack of room, which
    /// counts as crowded. `others_in_flight`: attempts that may also be the cause, which a first cut starts
    /// from.
    fn adjust_limit(
        &mut self,
        now: Micros,
        tuning: &LimitTuning,
        min_limit: f64,
        others_in_flight: u32,
        refused: bool,
    ) {
        let ratio = if refused { f64::MAX } else { f64::from(u8::from(!self.low_usage)) * self.wait_ratio() };
        if now < self.limit_moved_at + (self.expected_wait * tuning.interval_multiple) as Micros {
            return;
        }
        let since_cut = now.saturating_sub(self.limit_cut_at);
        match self.limit {
            _ if ratio > tuning.crowded_ratio => {
                let from =
                    self.limit.unwrap_or(f64::MAX).min(f64::from(self.in_flight.max(others_in_flight) + 1));
                let to = from * (tuning.crowded_ratio / ratio).clamp(tuning.deepest_cut, LIMIT_CUT_FACTOR);
                (self.limit, self.limit_cut_at) = (Some(to.max(min_limit)), now);
            }
            Some(_) if since_cut / 5 > tuning.recovery_time => self.limit = None,
            // A limit that is not reached does not rise.
            Some(x) if f64::from(self.in_flight + 1) < x => return,
            Some(x) if ratio < tuning.spare_ratio || since_cut > tuning.recovery_time => {
                let growth = if ratio >= tuning.spare_ratio {
                    0.0
                } else if self.low_usage {
                    GROWTH_LOW_USAGE
                } else {
                    GROWTH_SPARE
                };
                self.limit = Some(
                    x + (x * if ratio < tuning.spare_ratio { 3.0 } else { 1.0 }).min(1.0).max(x * growth),
                );
            }
            _ => return,
        }
        self.limit_moved_at = now;
    }
}

/// What a timer of the router is for.
#[derive(Clone, Copy, Debug)]
enum Timer {
    /// The request's time is up.
    Deadline(RequestId),
    /// Looks at an attempt, by its index, that has had no answer for long.
    CheckAttempt(RequestId, usize),
    /// The retry delay is over.
    Retry(RequestId),
    /// A second copy of the request may go out.
    Hedge(RequestId),
}

/// The decisions of one router. It does no I/O: it is driven by [`Event`]s and answers with [`Action`]s.
#[derive(Clone, Debug, Default)]
pub struct Router {
    settings: Settings,
    members: BTreeMap<Addr, Member>,
    /// Caches of the own location that are ready, with their CARP load factors.
    caches: Vec<(Addr, f64)>,
    /// Parents that are ready, with their CARP load factors.
    parents: Vec<(Addr, f64)>,
    origin: Option<Addr>,
    /// Highest sum of weights so far, of the caches and of the parents.
    peak_weights: [f64; 2],
    jobs: BTreeMap<RequestId, Job>,
    timers: BTreeMap<u32, Timer>,
    next_token: u32,
    /// When a group or an object was last purged. Objects stand under group 0.
    purged_at: BTreeMap<(u16, Option<u64>), Micros>,
    class_stats: Vec<ClassStats>,
    /// Work that the caches and the parents have delivered.
    demand: [Rate; 2],
    retry_tokens: f64,
    /// Shortest answer times by object, in microseconds: this generation and the one before.
    known_times: [BTreeMap<u64, f64>; 2],
    known_times_since: Micros,
    started_at: Option<Micros>,
    /// Routers that share a cache of the location, and routers that share a parent or the origin.
    sharing: [f64; 2],
    seed: u64,
    /// Load of the location's link as its caches report it; may exceed 1.
    link_load: f64,
    /// Other processes of the same proxy, which spend the same budgets of cold members.
    sibling_processes: f64,
}

impl Router {
    /// Creates a router that knows its settings and nothing else. `seed` drives its random choices.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let class_stats = settings.classes.iter().map(|c| {
            let target = c.target_latency.max(1) as f64;
            ClassStats {
                sending_time: target / 2.0,
                mean_wait: target,
                deviation: target / 4.0,
                miss_share: INITIAL_MISS_SHARE,
                ..ClassStats::default()
            }
        });
        let own = settings.routers_by_zone.get(usize::from(settings.zone)).copied().unwrap_or(1);
        let sharing = [own, settings.routers_by_zone.iter().sum()].map(|n: u32| f64::from(n.max(1)));
        Router {
            sharing,
            class_stats: class_stats.collect(),
            retry_tokens: RETRY_BURST,
            settings,
            seed,
            ..Router::default()
        }
    }

    /// Sets how many other processes of the same proxy live: all together keep to its budgets of cold
    /// members.
    pub fn set_sibling_processes(&mut self, others: usize) {
        self.sibling_processes = others as f64;
    }

    /// Handles one event and appends the actions that follow from it.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if self.started_at.is_none() {
            (self.started_at, self.known_times_since) = (Some(now), now);
            out.extend(self.settings.list_on_request.then_some(Action::Track));
        }
        match event {
            Event::Members { form, entries } => self.on_members(form, &entries, out),
            Event::Request(req) => self.on_request(now, req, out),
            Event::Expired(id) => self.close(id, out),
            // The client has part of an answer: no further attempt and no other final answer follow.
            Event::StreamStarted { request, .. } => {
                self.jobs.entry(request).and_modify(|j| j.open = false);
            }
            Event::Completed(c) => self.on_completed(now, c, out),
            Event::Timer(token) => self.on_timer(now, token, out),
            Event::Purged { ago, object, group } => {
                let keep = (self.settings.purge_complete_after as f64 * PURGE_MEMORY_MULTIPLE) as Micros;
                self.purged_at.retain(|_, at| *at + keep > now);
                let at =
                    self.purged_at.entry((if object.is_some() { 0 } else { group }, object)).or_insert(0);
                *at = (*at).max(now.saturating_sub(ago));
            }
            Event::Suspected { member, incarnation, valid_for } => {
                self.on_suspected(now, member, incarnation, valid_for, out)
            }
            // A probe that ended well only tells the load; one that failed is an own failure.
            Event::Probed { member, outcome: Outcome::Ok, report } => self.on_load_report(member, &report),
            Event::Probed { member, outcome, .. } => self.add_strike(member, now, outcome),
            Event::Peer { .. } => {}
        }
    }

    // ---- the member list and the ranking ----

    fn on_members(&mut self, form: ListForm, entries: &[Entry], out: &mut Vec<Action>) {
        if form == ListForm::Failed {
            return out.extend(self.settings.list_on_request.then_some(Action::Track));
        }
        if form != ListForm::Delta {
            self.members.retain(|a, _| entries.iter().any(|e| e.addr == *a));
        }
        for e in entries {
            let role = self.settings.role(e);
            let limit = Some(self.transfer_share(e) * INITIAL_LIMIT_MULTIPLE).filter(|_| role == Role::Cache);
            let (hash, flow) = (member_hash(e.addr), Flow { limit, ..Flow::default() });
            let new_member =
                Member { entry: *e, role, hash, cold_tokens_at: e.started_at, flow, ..Member::default() };
            match self.members.get_mut(&e.addr) {
                _ if e.state == Lifecycle::Gone => drop(self.members.remove(&e.addr)),
                Some(m) if (m.entry.started_at, m.entry.incarnation) == (e.started_at, e.incarnation) => {
                    m.entry = *e
                }
                // A member that is new or has started anew: what was learned of its address no longer holds.
                _ => drop(self.members.insert(e.addr, new_member)),
            }
        }
        self.origin = self.ready_members(Role::Origin).first().map(|(a, _)| *a);
        self.caches = self.ready_members(Role::Cache);
        self.parents = self.ready_members(Role::Parent);
        let sum = |list: &[(Addr, f64)]| list.iter().map(|(a, _)| self.weight(*a)).sum::<f64>();
        let (sums, peaks) = ([sum(&self.caches), sum(&self.parents)], self.peak_weights);
        self.peak_weights = [0, 1].map(|i| sums[i].max(peaks[i]));
    }

    /// Returns a member's weight in the ranking. Live weights change with the load and would reshuffle the
    /// objects, so they count as 1.
    fn weight(&self, a: Addr) -> f64 {
        let stable = matches!(self.settings.weight_source, WeightSource::Nominal | WeightSource::Rough);
        let w = self.members.get(&a).map_or(0.0, |m| f64::from(m.entry.weight));
        Some(w).filter(|&w| stable && w > 0.0).unwrap_or(1.0)
    }

    /// Returns this router's share of the transfers that a member carries at full speed. A nominal weight is
    /// their number.
    fn transfer_share(&self, e: &Entry) -> f64 {
        let weighted = self.settings.weight_source == WeightSource::Nominal && e.weight > 0.0;
        let sharing = self.sharing[usize::from(Some(e.kind) == self.settings.parent_kind)];
        (if weighted { f64::from(e.weight) } else { DEFAULT_TRANSFERS }) / sharing
    }

    /// Returns the ready members of a role with their CARP load factors.
    fn ready_members(&self, role: Role) -> Vec<(Addr, f64)> {
        let ready = |m: &&Member| m.role == role && m.entry.state == Lifecycle::Ready;
        let list: Vec<Addr> = self.members.values().filter(ready).map(|m| m.entry.addr).collect();
        let weights: Vec<f64> = list.iter().map(|&a| self.weight(a)).collect();
        list.iter().copied().zip(load_factors(&weights)).collect()
    }

    /// Returns the members of a list, without the excluded ones, by their scores for an object, best first.
    fn ranked(&self, list: &[(Addr, f64)], object_hash: u64, excluded: &[Addr]) -> Vec<Addr> {
        let score = |(a, factor): &(Addr, f64)| {
            let hash = self.members.get(a).map_or(0, |m| m.hash);
            (factor * unit_interval(combine_hashes(object_hash, hash)), *a)
        };
        let mut order: Vec<(f64, Addr)> =
            list.iter().filter(|(a, _)| !excluded.contains(a)).map(score).collect();
        order.sort_by(|x, y| y.0.total_cmp(&x.0).then(x.1.cmp(&y.1)));
        order.into_iter().map(|(_, a)| a).collect()
    }

    /// Returns the share of its capacity that a cold member has now; `None`: it is not cold.
    fn cold_share(&self, m: &Member, now: Micros) -> Option<f64> {
        let (start_share, period) = match m.role {
            Role::Parent => (self.settings.parent_cold_start_share, self.settings.parent_cold_period),
            Role::Cache => (self.settings.cold_start_share, self.settings.cold_period),
            _ => return None,
        };
        let age = now.saturating_sub(m.entry.started_at);
        (m.entry.started_at > 0 && age < period)
            .then(|| start_share + (1.0 - start_share) * age as f64 / period as f64)
    }

    /// Returns the rate of a cold member's budget, in work per microsecond: this router's usual traffic for
    /// it times the overload multiple and the cold share. With all routers doing so their sum keeps within
    /// the rule.
    fn cold_budget_rate(&self, m: &Member, share: f64) -> f64 {
        let i = usize::from(m.role == Role::Parent);
        let multiple = [self.settings.overload_multiple, self.settings.parent_overload_multiple][i];
        let usual = self.demand[i].peak * self.weight(m.entry.addr) / self.peak_weights[i].max(1e-9);
        let weighted = self.settings.weight_source == WeightSource::Nominal && m.entry.weight > 0.0;
        let usual = usual.min(if weighted { self.transfer_share(&m.entry) } else { f64::MAX });
        let unweighted =
            if self.settings.weight_source == WeightSource::Off { UNWEIGHTED_BUDGET_SHARE } else { 1.0 };
        usual * share * multiple * COLD_BUDGET_SHARE * unweighted / (1.0 + self.sibling_processes)
    }

    /// Refills a cold member's token bucket and returns whether it covers this work; with `spend` it is paid
    /// for. Members that are not cold always do. Work larger than the burst draws a lot, which is won as
    /// often as the burst covers the work. A lost lot empties the bucket, because many routers share the
    /// member.
    fn cold_budget_covers(&mut self, a: Addr, work: f64, now: Micros, spend: bool) -> bool {
        let Some(m) = self.members.get(&a) else { return false };
        let Some(share) = self.cold_share(m, now) else { return true };
        let rate = self.cold_budget_rate(m, share);
        let burst = rate * self.settings.overload_tolerance as f64 * COLD_BURST_SHARE;
        let tokens = (m.cold_tokens + rate * now.saturating_sub(m.cold_tokens_at) as f64).min(burst);
        let price = work.min(burst);
        let covered = tokens > 0.0 && tokens >= price;
        let won = unit_interval(mix(self.seed ^ m.hash ^ u64::from(m.lots_drawn))) * work < burst;
        let spent = spend || covered && !won;
        let (left, lots) =
            if spent { (tokens - price, m.lots_drawn.wrapping_add(1)) } else { (tokens, m.lots_drawn) };
        self.members
            .entry(a)
            .and_modify(|m| (m.cold_tokens, m.cold_tokens_at, m.lots_drawn) = (left, now, lots));
        covered && won
    }

    /// Returns whether a member is listed and not being skipped; once the skip time is over a trial may pass.
    fn is_available(&self, a: Addr, now: Micros) -> bool {
        self.members.get(&a).is_some_and(|m| m.skip_until.is_none_or(|until| now >= until))
    }

    /// Chooses the first cache or parent in rank that is available, whose cold share of the objects includes
    /// this one and that has room; else the best that is left. Where that loses a lot it empties a cold
    /// member's bucket.
    fn choose(&mut self, parents: bool, query: MemberQuery, excluded: &[Addr], now: Micros) -> Option<Addr> {
        let order =
            self.ranked(if parents { &self.parents } else { &self.caches }, query.object_hash, excluded);
        // A skipped parent comes after the origin: otherwise a dead one would take what a cold one has no
        // room for.
        let use_skipped = !parents
            || self.origin.is_none_or(|o| excluded.contains(&o) || self.error_share(o) > MAX_ERROR_SHARE);
        let fits = |r: &Self, a: Addr, pass| {
            let Some(m) = r.members.get(&a) else { return false };
            let in_cold_share = unit_interval(mix(query.object_hash ^ m.hash ^ HASH_MULTIPLIER))
                < r.cold_share(m, now).unwrap_or(1.0);
            // Pass 0: within the cold share; pass 1: any that is available; pass 2: skipped ones too.
            let eligible =
                if pass == 2 { use_skipped } else { r.is_available(a, now) && (pass == 1 || in_cold_share) };
            eligible && m.flow.admits(query.limit_factor, now)
        };
        let mut tries = (0..3).flat_map(|pass| order.iter().map(move |a| (*a, pass)));
        tries
            .find(|(a, p)| fits(self, *a, *p) && self.cold_budget_covers(*a, query.cost, now, false))
            .map(|(a, _)| a)
    }

    /// Returns the factor on limits for a request: the more its class is worth for its work, relative to the
    /// class of least value, the further it may exceed them. That class itself may not.
    fn limit_factor(&self, req: &Request) -> f64 {
        let each = self.settings.classes.iter().zip(&self.class_stats);
        let least = each.map(|(c, p)| c.value / p.sending_time.max(1.0)).fold(f64::INFINITY, f64::min);
        let value = self.settings.classes.get(usize::from(req.class)).map_or(0.0, |c| c.value);
        let own = value / self.sending_time(req).max(1.0) / least.max(1e-12);
        own.sqrt().clamp(1.0 / MAX_LIMIT_FACTOR, MAX_LIMIT_FACTOR)
    }

    /// Records a wait at a member and moves its limit: a cache's by its answers (the last warm cache keeps a
    /// third of the default transfers), a source's by its fills. While those are crowded, hits go on and
    /// misses are declined, rather than all being late.
    fn record_wait(&mut self, now: Micros, a: Addr, wait: Micros, expected: f64) {
        let in_flight: u32 =
            self.caches.iter().filter_map(|(a, _)| self.members.get(a)).map(|m| m.flow.in_flight).sum();
        let others_in_flight = in_flight / self.parents.len().max(1) as u32 / 2;
        let warm = |c: &Addr| self.members.get(c).is_some_and(|m| self.cold_share(m, now).is_none());
        let last = self.caches.iter().filter(|(c, _)| warm(c)).count() < 2;
        let Some(m) = self.members.get_mut(&a) else { return };
        let (tuning, min_limit, others_in_flight) = match m.role {
            Role::Cache if last => (&CACHE_TUNING, (DEFAULT_TRANSFERS / 3.0 / self.sharing[0]).max(1.0), 0),
            Role::Cache => (&CACHE_TUNING, 1.0, 0),
            Role::Origin => (&ORIGIN_TUNING, MIN_SHARED_FILLS / self.sharing[1], others_in_flight),
            _ => (&FILL_TUNING, MIN_SHARED_FILLS / self.sharing[1], others_in_flight),
        };
        m.flow.add_sample(now, wait as f64, expected, tuning.sample_memory_micros);
        m.flow.adjust_limit(now, tuning, min_limit, others_in_flight, false);
    }

    /// Records a member's success (`None`) or a failure that is taken for its own. A failure skips the
    /// member, a success ends the skip once its error share is low enough. Either clears its strikes.
    fn record_result(&mut self, now: Micros, a: Addr, failure: Option<Outcome>) {
        let Some(m) = self.members.get_mut(&a) else { return };
        let decay = if m.skip_until.is_some() { TRIAL_ERROR_DECAY } else { ERROR_GAIN };
        m.error_share *= 1.0 - f64::from(u8::from(failure.is_none())) * decay;
        let trial = m.skip_until.map(|_| now).filter(|_| m.error_share > RECOVERED_ERROR_SHARE);
        (m.skip_until, m.strikes) = (failure.map(|_| now + SKIP_TIME).or(trial), 0);
        match failure {
            Some(_) => (m.last_failed_at, m.last_failure) = (now, failure),
            // A good answer to this router outranks what other routers say.
            None => (m.last_good_at, m.suspected_until) = (now, 0),
        }
    }

    /// Takes in that other routers suspect a member. That lowers the number of own failures that a skip needs
    /// and brings forward the timeouts of the attempts in flight there; it never skips a member by itself.
    fn on_suspected(
        &mut self,
        now: Micros,
        a: Addr,
        incarnation: u64,
        valid_for: Micros,
        out: &mut Vec<Action>,
    ) {
        let Some(m) = self.members.get_mut(&a).filter(|m| m.entry.incarnation == incarnation) else { return };
        let new = now >= std::mem::replace(&mut m.suspected_until, now + valid_for) && valid_for > 0;
        if valid_for > 0 && m.strikes >= STRIKES_TO_SKIP_SUSPECTED && now < m.last_strike_at + SKIP_TIME {
            m.suspicion_skips += 1;
            let failure = m.last_failure;
            self.record_result(now, a, failure);
        }
        let jobs = self.jobs.iter().filter(|(_, j)| j.open && new);
        let all_attempts = jobs.flat_map(|(id, j)| j.attempts.iter().enumerate().map(move |t| (*id, j, t)));
        let affected: Vec<(RequestId, usize, Micros)> = all_attempts
            .filter(|(.., (_, t))| t.outcome.is_none() && !t.revoked && (t.member == a || t.source == a))
            .map(|(id, j, (at, t))| {
                (id, at, t.sent_at + self.silence_timeout(&j.req, t.member, t.source, now))
            })
            .collect();
        for (id, at, due) in affected {
            self.set_timer(Timer::CheckAttempt(id, at), due.saturating_sub(now), out);
        }
    }

    /// Returns what own traffic showed of the members that this router uses, in the order of their addresses.
    pub fn member_health(&self) -> impl Iterator<Item = MemberHealth> + '_ {
        self.members.iter().filter(|(_, m)| m.role != Role::OtherLocation).map(|(a, m)| MemberHealth {
            member: *a,
            incarnation: m.entry.incarnation,
            role: m.role,
            strikes: m.strikes,
            skipped: m.skip_until.is_some(),
            last_failed_at: m.last_failed_at,
            last_failure: m.last_failure,
            last_good_at: m.last_good_at,
            suspicion_skips: m.suspicion_skips,
        })
    }

    // ---- requests ----

    fn on_request(&mut self, now: Micros, req: Request, out: &mut Vec<Action>) {
        let id = req.id;
        self.jobs.insert(id, Job { req, open: true, attempts: Vec::new(), excluded: Vec::new() });
        if now.saturating_sub(self.known_times_since) > RATE_MEMORY_MICROS as Micros {
            (self.known_times[1], self.known_times_since) = (std::mem::take(&mut self.known_times[0]), now);
        }
        self.retry_tokens = (self.retry_tokens + RETRY_TOKENS_PER_REQUEST).min(RETRY_BURST);
        // Where events come in batches, the last one before the deadline has to bring the answer.
        let last = req.expires_at.saturating_sub(self.settings.min_event_interval.max(1));
        if now >= last || !self.send_attempt(now, id, out) {
            return self.answer_unserved(id, out);
        }
        self.set_timer(Timer::Deadline(id), last - now, out);
        if req.policy.hedge_after > 0 && self.settings.parallel_attempts {
            self.set_timer(Timer::Hedge(id), req.policy.hedge_after, out);
        }
    }

    fn class(&self, req: &Request) -> Class {
        self.settings.classes.get(usize::from(req.class)).cloned().unwrap_or_default()
    }

    /// Returns whether a request runs at the origin and its answer is never kept.
    fn passes_through(&self, req: &Request) -> bool {
        req.write || self.settings.classes.get(usize::from(req.class)).is_some_and(|c| c.pass_through)
    }

    fn size_is_known(&self, req: &Request) -> bool {
        req.size_kb > 0.0 && self.settings.transfer_kb_per_s > 0.0
    }

    /// Returns the expected sending time of an answer, in microseconds: by its size where that is given, else
    /// by earlier answers with the object, else the mean of its class.
    fn sending_time(&self, req: &Request) -> f64 {
        if self.size_is_known(req) {
            return f64::from(req.size_kb) / self.settings.transfer_kb_per_s * 1e6;
        }
        let mean = self.class_stats.get(usize::from(req.class)).map_or(1.0, |p| p.sending_time);
        self.known_time(req.object).unwrap_or(mean)
    }

    /// Returns the latency within which an answer earns its full value, in microseconds.
    fn target_latency(&self, req: &Request) -> f64 {
        let class = self.class(req);
        class.target_latency as f64 + class.target_stretch * self.sending_time(req)
    }

    /// Returns how long an attempt without an answer counts to have waited for its source. Where failures
    /// carry no notes it may have been a hit whose answer was lost, so that it is late counts, but not by how
    /// much.
    fn unanswered_wait(&self, wait: Micros, req: &Request) -> Micros {
        wait.min(if self.settings.all_notes_reported {
            Micros::MAX
        } else {
            self.target_latency(req) as Micros
        })
    }

    /// Returns what an attempt is expected to cost a cold member, as the rule counts it: the mean work of its
    /// class and its share of misses.
    fn expected_cost(&self, req: &Request) -> (f64, f64) {
        self.class_stats.get(usize::from(req.class)).map_or((1.0, 1.0), |p| (p.sending_time, p.miss_share))
    }

    /// Returns how long an attempt may stay silent before its member or source is looked at.
    fn attempt_timeout(&self, req: &Request) -> Micros {
        let class = self.class(req);
        let Some(p) = self.class_stats.get(usize::from(req.class)) else {
            return class.target_latency.max(1);
        };
        let size_factor = (self.sending_time(req) / p.sending_time.max(1.0)).max(1.0);
        let wait = (p.mean_wait + TIMEOUT_DEVIATIONS * p.deviation) * size_factor;
        let own = wait.clamp(
            class.target_latency as f64 / 2.0,
            (class.deadline as f64 / 2.0).max(class.target_latency as f64),
        );
        Some(req.policy.attempt_timeout).filter(|t| *t > 0).unwrap_or(Micros::MAX).min(own as Micros)
    }

    /// Returns how long an attempt is waited for before silence counts against its member or source: its
    /// timeout, shorter where other routers suspect one of them.
    fn silence_timeout(&self, req: &Request, member: Addr, source: Addr, now: Micros) -> Micros {
        let suspected = |a| self.members.get(a).is_some_and(|m: &Member| now < m.suspected_until);
        self.attempt_timeout(req)
            / if [member, source].iter().any(suspected) { SUSPECTED_TIMEOUT_DIVISOR } else { 1 }
    }

    fn set_timer(&mut self, timer: Timer, after: Micros, out: &mut Vec<Action>) {
        self.next_token = self.next_token.wrapping_add(1);
        self.timers.insert(self.next_token, timer);
        out.push(Action::Wake { token: self.next_token, after: after.clamp(1, u32::MAX.into()) as u32 });
    }

    /// Returns the greatest age of a copy that will do: the time since the last purge of the object or its
    /// group, else as the class has it (0).
    fn max_age(&self, req: &Request, now: Micros) -> u32 {
        let keep = (self.settings.purge_complete_after as f64 * PURGE_MEMORY_MULTIPLE) as Micros;
        let keys = [(0, Some(req.object)), (req.group, None)];
        let at = keys.iter().filter_map(|k| self.purged_at.get(k)).filter(|&&at| at + keep > now).max();
        let since_purge =
            at.map(|at| now.saturating_sub(*at).saturating_sub(self.settings.min_event_interval).max(1));
        let fresh_for = Some(self.class(req).fresh_for).filter(|&f| f > 0 && at.is_some());
        u32::try_from(since_purge.into_iter().chain(fresh_for).min().unwrap_or(0)).unwrap_or(u32::MAX)
    }

    /// Returns an object's sending time, in microseconds: the shortest recent answer with it.
    fn known_time(&self, object: u64) -> Option<f64> {
        self.known_times.iter().filter_map(|k| k.get(&object)).copied().reduce(f64::min)
    }

    /// Sends the next attempt of a request; the only function that sends. It checks drain, effect, parallel
    /// limit, attempts left, purge age and the budgets of cold members, and builds the attempt. Returns
    /// false, with nothing sent, where nothing may be sent.
    fn send_attempt(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let (req, class) = (job.req, self.class(&job.req));
        let in_flight = job.attempts.iter().filter(|a| a.outcome.is_none()).count();
        if !job.open
            || self.attempts_exhausted(job, now)
            || in_flight > usize::from(self.settings.parallel_attempts)
        {
            return false;
        }
        let first_run = job.attempts.iter().find(|a| a.may_have_run()).map(|a| (a.zone_and_cell, a.sent_at));
        // While fills are limited, a cache is first asked only for what it holds; after a miss the same cache
        // is asked again with a fill. The same goes for its parent while fills from the origin are limited,
        // because what parents hold does not wait for the origin.
        let last = job.attempts.iter().rfind(|a| !a.was_not_sent());
        let (again, last) = (last.is_some(), last.filter(|a| a.was_lookup_miss()));
        let source_lacks = last.is_some_and(|a| a.only_held);
        let still_listed = |a: &Addr| !job.excluded.contains(a) && self.caches.iter().any(|(c, _)| c == a);
        let missed = last.map(|a| a.member).filter(still_listed);
        let (again, excluded) = (again && missed.is_none(), job.excluded.clone());
        let (attempt_index, cost) = (job.attempts.len(), self.expected_cost(&req).0);
        let already_paid = job.attempts.last().is_some_and(Attempt::was_not_sent);
        // Each part is an object of its own to the ranking, as it is to the caches that keep it.
        let object_hash = mix(mix(req.object) ^ u64::from(req.part));
        let query =
            MemberQuery { object_hash, cost, limit_factor: self.limit_factor(&req), fixed_cache: missed };
        let Some((member, mut source)) = self.choose_route(now, &req, query, &excluded) else { return false };
        let warm = self.members.get(&member).is_some_and(|m| self.cold_share(m, now).is_none());
        // A crowded link sheds fills by lot: all routers of a location draw with the same odds, however
        // little traffic each of them has.
        let shed_share = (self.link_load / query.limit_factor - LINK_LOAD_SHED_START)
            / (LINK_LOAD_SHED_ALL - LINK_LOAD_SHED_START);
        let limit = self.members.get(&source).and_then(|m| m.flow.limit);
        let limited = source != member && (shed_share > 0.0 || limit.is_some());
        let look_first = missed.is_none() && warm || unit_interval(mix(self.seed ^ id)) < shed_share;
        source = if limited && look_first && !self.passes_through(&req) { member } else { source };
        let limited_origin =
            self.origin.and_then(|o| self.members.get(&o)).filter(|m| m.flow.limit.is_some());
        let limited_origin = limited_origin
            .filter(|o| source != member && source != o.entry.addr && !self.passes_through(&req));
        let only_held = limited_origin.is_some_and(|o| !o.flow.admits(query.limit_factor, now));
        let zone_and_cell = self.members.get(&member).map_or((0, 0), |m| (m.entry.zone, m.entry.cell));
        let same_cell = |p: (u16, u16)| class.dedup_group == DedupGroup::Zone || p.1 == zone_and_cell.1;
        let same_group =
            |p: (u16, u16)| class.dedup_group == DedupGroup::All || p.0 == zone_and_cell.0 && same_cell(p);
        // Once an attempt may have run, a keyed request stays in its group and window, and one that must not
        // be repeated gets no further attempt.
        let send_end = first_run.map(|(first, sent_at)| match class.effect {
            Effect::Retryable => Micros::MAX,
            Effect::Dedup if same_group(first) => {
                sent_at.saturating_add(class.dedup_window) - self.settings.min_event_interval.min(sent_at)
            }
            _ => 0,
        });
        let over = send_end.is_some_and(|end| now >= end);
        // A second look after a miss would find nothing: neither at the cache nor at its source.
        if over || missed.is_some() && source == member || source_lacks && only_held {
            return false;
        }
        let behind = limited_origin.filter(|_| !only_held).map(|o| o.entry.addr);
        self.retry_tokens -= f64::from(u8::from(again && !already_paid));
        let fill = source != member && (missed.is_some() || limited);
        let counted_at: Vec<Addr> = Some(source).filter(|_| fill).into_iter().chain(behind).collect();
        for a in counted_at.iter().chain([&member]) {
            self.members.entry(*a).and_modify(|m| m.flow.in_flight += 1);
        }
        self.cold_budget_covers(member, cost, now, true);
        if source != member {
            let cost = if fill { cost } else { self.expected_fill_cost(member, &req, now) };
            self.cold_budget_covers(source, cost, now, true);
        }
        let passes = self.passes_through(&req);
        // An object that was served before is kept at a higher rank than one that is asked for once.
        let keep = if passes { 0 } else { 1 + u8::from(self.known_time(req.object).is_some()) };
        let new = Attempt {
            member,
            source,
            zone_and_cell,
            sent_at: now,
            outcome: None,
            revoked: false,
            only_held,
            counted_at,
        };
        self.jobs.entry(id).and_modify(|j| j.attempts.push(new));
        // What goes to a skipped member is a trial; the next one has to wait as long again.
        for a in [member, source] {
            self.members.entry(a).and_modify(|m| m.skip_until = m.skip_until.map(|_| now + SKIP_TIME));
        }
        out.push(Action::Get(Get {
            request: id,
            member,
            source,
            keep,
            age: self.max_age(&req, now),
            // A look at what is held must not wait for a fill under way, which may hang.
            join: self.settings.fill_joining && !passes && !again && source != member,
            renew: class.fresh_for > 0 && !passes,
            only_held,
            send_by: send_end.filter(|end| *end < Micros::MAX).unwrap_or(0),
            ..Get::default()
        }));
        self.set_timer(
            Timer::CheckAttempt(id, attempt_index),
            self.silence_timeout(&req, member, source, now),
            out,
        );
        true
    }

    /// Returns the work that a source is expected to get from a request: the whole cost where the cache is
    /// cold, the request passes through or a purge outdated the copies, else the cost times the share of
    /// misses.
    fn expected_fill_cost(&self, member: Addr, req: &Request, now: Micros) -> f64 {
        let (cost, miss_share) = self.expected_cost(req);
        let cold = self.members.get(&member).is_some_and(|m| self.cold_share(m, now).is_some());
        let certain = cold || self.passes_through(req) || self.max_age(req, now) > 0;
        cost * if certain { 1.0 } else { miss_share }
    }

    /// Chooses where a request goes and where a miss is filled from; the same member twice: no fill.
    fn choose_route(
        &mut self,
        now: Micros,
        req: &Request,
        query: MemberQuery,
        excluded: &[Addr],
    ) -> Option<(Addr, Addr)> {
        let origin = self.origin.filter(|a| !excluded.contains(a));
        if self.passes_through(req) {
            let to = origin
                .filter(|_| self.settings.direct)
                .or_else(|| self.choose(self.settings.direct, query, excluded, now))?;
            // A skipped origin is no better by way of a parent, which would only ask it more often.
            let origin_available = self.origin.is_none_or(|o| self.is_available(o, now));
            let source =
                origin.or_else(|| self.choose(true, query, excluded, now).filter(|_| origin_available))?;
            return Some((to, source));
        }
        let Some(cache) = query.fixed_cache.or_else(|| self.choose(false, query, excluded, now)) else {
            // No cache takes it. If that is because all are skipped, it goes straight to a parent or the
            // origin where that is allowed.
            let direct = self.settings.direct && !self.caches.iter().any(|(a, _)| self.is_available(*a, now));
            return self.choose(true, query, excluded, now).or(origin).filter(|_| direct).map(|a| (a, a));
        };
        let fill_cost = self.expected_fill_cost(cache, req, now);
        // With every parent at its limit the whole way in is crowded, and the origin is not used instead: it
        // is for what excluded or cold parents leave.
        let full = |a: Addr| self.members.get(&a).is_some_and(|m| !m.flow.admits(query.limit_factor, now));
        let all_full = !self.parents.is_empty() && self.parents.iter().all(|(p, _)| full(*p));
        let origin = origin.filter(|o| !all_full && !full(*o));
        let source = self
            .choose(true, MemberQuery { cost: fill_cost, ..query }, excluded, now)
            .or(origin)
            .unwrap_or(cache);
        Some((cache, source))
    }

    /// Sends another attempt after a failed one, within the retry budget unless `free`; else gives the final
    /// answer at once. The retry delay of the request's policy comes first, once (`delayed`: it is over),
    /// where an attempt may follow.
    fn retry_or_answer(
        &mut self,
        now: Micros,
        id: RequestId,
        free: bool,
        delayed: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get(&id).filter(|j| j.open) else { return };
        let waiting = job.attempts.iter().any(|a| a.outcome.is_none() && !a.revoked);
        if waiting && (delayed || !self.settings.parallel_attempts) {
            return;
        }
        let (delay, retry_at) = (job.req.policy.retry_delay, now + job.req.policy.retry_delay);
        let allowed = self.retry_tokens >= 1.0
            && self.repeat_is_harmless(job)
            && !self.attempts_exhausted(job, retry_at);
        if delay > 0 && !free && !waiting && !delayed {
            return if allowed {
                self.set_timer(Timer::Retry(id), delay, out)
            } else {
                self.answer_unserved(id, out)
            };
        }
        let sent = (free || self.retry_tokens >= 1.0) && self.send_attempt(now, id, out);
        if !sent && !waiting {
            self.answer_unserved(id, out);
        }
    }

    /// Returns whether no further attempt may be sent: there were too many, or the time is up. Attempts that
    /// only looked for what is held, or were not sent, do not count towards the policy's limit.
    fn attempts_exhausted(&self, job: &Job, now: Micros) -> bool {
        let counted_attempts =
            job.attempts.iter().filter(|a| !a.was_lookup_miss() && !a.was_not_sent()).count();
        let (policy_limit, total_limit) =
            (job.req.policy.attempt_limit as usize, self.settings.max_attempts.max(1) as usize);
        job.attempts.len() >= total_limit
            || policy_limit > 0 && counted_attempts >= policy_limit
            || now + self.settings.min_event_interval >= job.req.expires_at
    }

    /// Returns whether a repeat does no harm, whatever became of the attempts so far.
    fn repeat_is_harmless(&self, job: &Job) -> bool {
        let class = self.class(&job.req);
        let deduplicated = class.effect == Effect::Dedup && class.dedup_group == DedupGroup::All;
        let may_have_run = job.attempts.iter().any(Attempt::may_have_run);
        !may_have_run || deduplicated || class.effect == Effect::Retryable
    }

    /// Sends a second copy of a request to another member, when the only attempt has been in flight for as
    /// long as the policy allows.
    fn send_hedge(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let alone = |j: &&mut Job| j.open && j.attempts.iter().filter(|a| a.outcome.is_none()).count() == 1;
        let Some(j) = self.jobs.get_mut(&id).filter(alone) else { return };
        let Some(a) = j.attempts.last().filter(|a| a.outcome.is_none() && !a.revoked) else { return };
        j.excluded.push(a.member);
        // Where no copy can be sent, later attempts may use the first one's member.
        if self.retry_tokens < 1.0 || !self.send_attempt(now, id, out) {
            self.jobs.entry(id).and_modify(|j| j.excluded.truncate(j.excluded.len().max(1) - 1));
        }
    }

    /// Gives the final answer where none came from a member, and closes the request: declined where a repeat
    /// is harmless, else failed.
    fn answer_unserved(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|j| j.open) else { return };
        let retry_after =
            if self.settings.retry_after { RETRY_AFTER.min(self.settings.max_retry_after) as u32 } else { 0 };
        let harmless = self.repeat_is_harmless(job);
        out.push(if harmless { Action::Decline { request: id, retry_after } } else { Action::Fail(id) });
        self.close(id, out);
    }

    /// Closes a request: withdraws the attempts in flight and keeps its record until their outcomes are in.
    fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.open = false;
        let in_flight =
            job.attempts.iter_mut().enumerate().filter(|(_, a)| self.settings.cancel && a.outcome.is_none());
        let withdrawn =
            in_flight.filter_map(|(i, a)| (!std::mem::replace(&mut a.revoked, true)).then_some(i as u16));
        out.extend(withdrawn.map(|attempt| Action::Revoke { request: id, attempt }));
        if job.attempts.iter().all(|a| a.outcome.is_some()) {
            self.jobs.remove(&id);
        }
    }

    // ---- outcomes ----

    fn on_completed(&mut self, now: Micros, c: Completed, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&c.request) else { return };
        let pending = |a: &&mut Attempt| a.outcome.is_none();
        let Some(at) = job.attempts.get_mut(usize::from(c.attempt)).filter(pending) else { return };
        at.outcome = Some(c.outcome);
        let (attempt, req) = (at.clone(), job.req);
        for a in attempt.counted_at.iter().chain([&attempt.member]) {
            let Some(flow) = self.members.get_mut(a).map(|m| &mut m.flow) else { continue };
            (flow.in_flight, flow.last_ended_at) = (flow.in_flight.saturating_sub(1), now);
        }
        self.learn_from_outcome(now, &c, &attempt, &req);
        let source_errs_more = self.error_share(attempt.source) > self.error_share(attempt.member);
        let Some(job) = self.jobs.get_mut(&c.request) else { return };
        if c.request_done || c.outcome == Outcome::Ok || !job.open {
            return self.close(c.request, out);
        }
        let (lookup_miss, not_sent) = (attempt.was_lookup_miss(), attempt.was_not_sent());
        // A member whose attempt is taken back unsent twice has no room: the next in rank gets its turn, if
        // there is one.
        let alternative = |(a, _): &(Addr, f64)| *a != attempt.member && !job.excluded.contains(a);
        let twice =
            job.attempts.iter().filter(|a| a.was_not_sent() && a.member == attempt.member).count() > 1;
        let spared = lookup_miss || not_sent && !(twice && self.caches.iter().any(alternative));
        // What the next attempt leaves out: the source where the fill failed, else the member.
        let blamed = match c.note {
            Note::OriginFailed => self.origin.unwrap_or(attempt.source),
            Note::SourceRefused | Note::SourceFailed | Note::SourceMiss => attempt.source,
            _ if c.outcome == Outcome::Miss || c.outcome == Outcome::Error && source_errs_more => {
                attempt.source
            }
            _ => attempt.member,
        };
        job.excluded.extend(Some(blamed).filter(|_| !attempt.revoked && !spared));
        self.retry_or_answer(now, c.request, lookup_miss || not_sent, false, out);
    }

    /// Takes in a member's load report. Where reports have to be asked for, they are too old to show that a
    /// cache is not crowded.
    fn on_load_report(&mut self, a: Addr, report: &Report) {
        let values = &report.values[..usize::from(report.count.min(4))];
        let value = |i: Option<usize>| i.and_then(|i| values.get(i)).copied();
        if let Some((cpu, m)) = value(self.settings.columns.cpu).zip(self.members.get_mut(&a)) {
            let (link_load, current) = (
                f64::from(value(self.settings.columns.link_load).unwrap_or(0.0)),
                self.settings.reports_inline,
            );
            m.flow.low_usage = current
                && link_load.max(cpu.into()) < LOW_USAGE
                && m.flow.wait_ratio() < 2.0 * CACHE_TUNING.crowded_ratio;
            self.link_load += f64::from(u8::from(m.role == Role::Cache)) * (link_load - self.link_load) / 2.0;
        }
    }

    /// Records what an outcome shows of the member, its source and the class, also when the request is over.
    fn learn_from_outcome(&mut self, now: Micros, c: &Completed, a: &Attempt, req: &Request) {
        if !matches!(c.outcome, Outcome::Cancelled | Outcome::NotSent | Outcome::Timeout) {
            self.members.entry(a.member).and_modify(|m| m.last_reply_at = now);
        }
        self.on_load_report(a.member, &c.report);
        let filled = matches!(c.note, Note::Filled | Note::FilledOrigin | Note::Joined);
        let sending_time = self.sending_time(req);
        // A crowded parent also delays what comes from the origin behind it: only a parent with spare
        // capacity shows that the origin is crowded.
        let parent_has_room =
            self.members.get(&a.source).is_some_and(|m| m.flow.wait_ratio() < FILL_TUNING.spare_ratio);
        let from_origin = parent_has_room && matches!(c.note, Note::FilledOrigin | Note::OriginFailed);
        // A limited fill that was given up counts as well: otherwise only the quick ones would be seen.
        if a.source != a.member
            && !a.was_not_sent()
            && (filled || !a.only_held && (from_origin || !a.counted_at.is_empty()))
        {
            let counted = a.counted_at.last().copied().unwrap_or(a.source);
            // An object not seen before may be large: then the wait for its first byte counts. Where the size
            // is given, the time of sending it does not count.
            let known =
                self.size_is_known(req) || self.known_time(req.object).is_some() || c.source_wait == 0;
            let wait = if known { c.elapsed } else { c.elapsed.min(c.source_wait + sending_time as Micros) };
            let wait = wait.saturating_sub(if self.size_is_known(req) { sending_time as Micros } else { 0 });
            let wait = if filled { wait } else { self.unanswered_wait(wait, req) };
            self.record_wait(
                now,
                self.origin.filter(|_| from_origin).unwrap_or(counted),
                wait,
                self.target_latency(req),
            );
        }
        let (failure, no_note) = (Some(c.outcome), c.note == Note::None);
        let silent = self.members.get(&a.member).is_none_or(|m| m.last_reply_at <= a.sent_at);
        match c.outcome {
            Outcome::Ok => {
                self.record_result(now, a.member, None);
                let hit =
                    matches!(c.note, Note::Hit | Note::Stale) || (!self.settings.hits_reported && !filled);
                let known = self.known_times[0].entry(req.object).or_insert(f64::INFINITY);
                *known = known.min(c.elapsed as f64);
                let (size_is_known, shortest) = (self.size_is_known(req), self.sending_time(req));
                if let Some(p) = self.class_stats.get_mut(usize::from(req.class)) {
                    let wait = c.elapsed as f64;
                    p.deviation += CLASS_GAIN * ((wait - p.mean_wait).abs() - p.deviation);
                    p.mean_wait += CLASS_GAIN * (wait - p.mean_wait);
                    let with_source = f64::from(u8::from(a.source != a.member));
                    p.miss_share += with_source * CLASS_GAIN * (f64::from(u8::from(filled)) - p.miss_share);
                    if hit || a.source == a.member || size_is_known {
                        p.samples += 1;
                        p.sending_time +=
                            (shortest - p.sending_time) * SENDING_TIME_GAIN.max(1.0 / f64::from(p.samples));
                    }
                }
                // Before the sending time of a class is known, a wait does not show crowding.
                let samples = self.class_stats.get(usize::from(req.class)).map_or(0, |p| p.samples);
                if hit && (size_is_known || samples > MIN_SENDING_TIME_SAMPLES) {
                    self.record_wait(now, a.member, c.elapsed, sending_time.max(1.0));
                }
                // The demand counts what was delivered, which shows what the members can bear; what was asked
                // for may be what crowds them.
                let (cost, miss_share) = self.expected_cost(req);
                self.demand[0].add(now, self.started_at, if self.passes_through(req) { 0.0 } else { cost });
                let fill_share =
                    if self.settings.hits_reported { f64::from(u8::from(filled)) } else { miss_share };
                if self.parents.iter().any(|(p, _)| *p == a.source) {
                    self.demand[1].add(now, self.started_at, cost * fill_share);
                }
                if let Some(m) = self.members.get_mut(&a.source).filter(|_| filled) {
                    m.last_fill_at = now;
                    self.record_result(now, a.source, None);
                }
            }
            Outcome::ConnectFailed => self.record_result(now, a.member, failure),
            // One broken connection ends several attempts and does not show that the member is down.
            Outcome::Reset => self.add_strike(a.member, now, c.outcome),
            Outcome::Timeout if silent => self.record_result(now, a.member, failure),
            Outcome::Error if !self.settings.all_notes_reported => self.attribute_error(now, a),
            // The member itself refused: it has no room.
            Outcome::Refused if no_note && self.settings.all_notes_reported => {
                self.members
                    .entry(a.member)
                    .and_modify(|m| m.flow.adjust_limit(now, &CACHE_TUNING, 1.0, 0, true));
            }
            // Without a note either the fill or the member may have failed, so one such sign is not enough.
            Outcome::Refused if no_note && a.source != a.member => self.add_strike(a.source, now, c.outcome),
            _ if matches!(c.note, Note::SourceRefused | Note::SourceFailed) => {
                self.record_result(now, a.source, failure)
            }
            _ => {}
        }
    }

    fn error_share(&self, a: Addr) -> f64 {
        self.members.get(&a).map_or(0.0, |m| m.error_share)
    }

    /// Records an error that carries no note. It is the member's own or its source's: it is divided between
    /// them by their recent error shares, and a parent with too many is skipped.
    fn attribute_error(&mut self, now: Micros, a: &Attempt) {
        let [own, its] = [a.member, a.source].map(|m| self.error_share(m) + BASE_ERROR_SHARE);
        let part = if a.source == a.member { 1.0 } else { own / (own + its) };
        for (a, part) in [(a.member, part), (a.source, 1.0 - part)] {
            let Some(m) = self.members.get_mut(&a).filter(|_| part > 0.0) else { continue };
            m.error_share += ERROR_GAIN * (part - m.error_share);
            // A cache is not skipped: its error costs one more attempt, while a skip costs the copies that it
            // holds.
            if m.error_share > MAX_ERROR_SHARE && m.role == Role::Parent {
                self.record_result(now, a, Some(Outcome::Error));
            }
        }
    }

    /// Adds a strike: a sign of failure that may have another cause. Strikes that come together count as one;
    /// after some in a row the member is skipped.
    fn add_strike(&mut self, a: Addr, now: Micros, outcome: Outcome) {
        let Some(m) = self.members.get_mut(&a).filter(|m| now >= m.last_strike_at + STRIKE_MERGE_WINDOW)
        else {
            return;
        };
        (m.strikes, m.last_strike_at, m.last_failed_at, m.last_failure) =
            (m.strikes + 1, now, now, Some(outcome));
        if m.strikes >= if now < m.suspected_until { STRIKES_TO_SKIP_SUSPECTED } else { STRIKES_TO_SKIP } {
            m.suspicion_skips += u32::from(m.strikes < STRIKES_TO_SKIP);
            self.record_result(now, a, Some(outcome));
        }
    }

    // ---- timers ----

    fn on_timer(&mut self, now: Micros, token: u32, out: &mut Vec<Action>) {
        match self.timers.remove(&token) {
            Some(Timer::Deadline(id)) => self.answer_unserved(id, out),
            Some(Timer::CheckAttempt(id, at)) => self.check_attempt(now, id, at, out),
            Some(Timer::Retry(id)) => self.retry_or_answer(now, id, false, true, out),
            Some(Timer::Hedge(id)) => self.send_hedge(now, id, out),
            None => {}
        }
    }

    /// Handles an attempt that has outlasted its timeout. If the member, or the source, has answered nothing
    /// at all since it was sent, it hangs: that counts against it and the request is tried elsewhere.
    /// Otherwise the object may just be large, and the attempt is looked at again later.
    fn check_attempt(&mut self, now: Micros, id: RequestId, at: usize, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|j| j.open) else { return };
        let Some(a) = job.attempts.get(at).filter(|a| a.outcome.is_none()).cloned() else { return };
        let (req, last, mut blamed) = (job.req, job.attempts.len() == at + 1, None);
        let waited = self.unanswered_wait(now.saturating_sub(a.sent_at), &req);
        let origin_unsampled =
            self.origin.filter(|o| self.members.get(o).is_some_and(|m| m.flow.last_sample_at < a.sent_at));
        if self.members.get(&a.member).is_none_or(|m| m.last_reply_at <= a.sent_at) {
            self.record_result(now, a.member, Some(Outcome::Timeout));
            blamed = Some(a.member);
        } else if a.source != a.member
            && self.members.get(&a.source).is_some_and(|m| m.last_fill_at < a.sent_at)
        {
            self.add_strike(a.source, now, Outcome::Timeout);
            self.record_wait(now, a.source, waited, self.target_latency(&req));
            blamed = self.members.get(&a.source).filter(|m| m.skip_until.is_some()).map(|m| m.entry.addr);
        } else if let Some(o) = origin_unsampled
            .filter(|_| a.source != a.member && !a.only_held && self.link_load < LINK_LOAD_SHED_START)
        {
            // The parent fills other requests, so what it lacks is waiting for the origin. The outcome of the
            // attempt would show that too late.
            self.record_wait(now, o, waited, self.target_latency(&req));
        }
        let not_retryable = self.class(&req).effect == Effect::NotRetryable;
        if let Some(b) = blamed.filter(|_| last && !not_retryable && self.retry_tokens >= 1.0) {
            self.jobs.entry(id).and_modify(|j| j.excluded.push(b));
            if self.settings.parallel_attempts {
                self.send_attempt(now, id, out);
            } else if let Some(a) = self.jobs.get_mut(&id).and_then(|j| j.attempts.get_mut(at)) {
                let already_revoked =
                    std::mem::replace(&mut a.revoked, self.settings.cancel) || !self.settings.cancel;
                out.extend((!already_revoked).then_some(Action::Revoke { request: id, attempt: at as u16 }));
            }
            return;
        }
        self.set_timer(Timer::CheckAttempt(id, at), self.silence_timeout(&req, a.member, a.source, now), out);
    }
}
