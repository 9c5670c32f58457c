//! Zones as the planner sees them: what own traffic showed of each, and what the fleet says of it. It owns the words that
//! `zones/` and the planner share, and how a zone's state becomes what the router knows already: members that leave the
//! list, that are doubted, or that started lately. It must never decide which zone is left, nor bring back a member that
//! drains.

use nickelgate::{Addr, Completed, Entry, Event, Lifecycle, ListForm, Micros, Note, Outcome, Role, Settings};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What own attempts showed of a zone in the last two seconds. Numbers stop at their type's largest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ZoneObservation {
    /// Its place in the settings.
    pub zone: u16,
    /// Attempts that ended or outlasted patience.
    pub attempts: u16,
    /// Those of them without a good answer.
    pub failed: u16,
    /// Members that were tried.
    pub members: u16,
    /// Those of them at which most attempts failed.
    pub bad_members: u16,
    /// Attempts in the two seconds, those that are out as well.
    pub load: u16,
    /// The mean use that its members reported, in 255ths; 0: none was told.
    pub mean_use: u8,
}

impl ZoneObservation {
    /// Most attempts failed, at most of the members that were tried.
    pub fn is_failing(&self) -> bool {
        self.attempts > 0
            && u32::from(self.failed) * 2 > u32::from(self.attempts)
            && u32::from(self.bad_members) * 2 > u32::from(self.members)
    }
}

/// How a zone may be used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ZoneUse {
    /// As ever.
    #[default]
    Normal,
    /// Its members are in doubt: one own failure is enough.
    Suspected,
    /// As one that started lately and can do this share of what it does when warm, in thousandths.
    Ramping(u16),
    /// As one that is warm: this proxy is one of so few that try it that all of them cost it less than it bears cold.
    Trial,
    /// Nothing new goes there, nor is filled from there.
    Unused,
}

/// Span of what is told, in buckets.
const BUCKET: Micros = 250_000;
const BUCKETS: u64 = 8;
/// Where a zone was tried in so many of them, the last ones, what lies before says nothing of it: it may have failed since.
const LATEST: u64 = 4;
/// Members of a zone in doubt are held so for this, and told again each half of it.
const DOUBT: Micros = 2_000_000;
/// A ramp that ran ahead of what the fleet says by more than this, or fell behind by any, is set right: a step is an
/// eighth, and one may be on its way.
const AHEAD: u64 = 250;

/// One member's attempts in a bucket.
#[derive(Clone, Copy, Debug, Default)]
struct Tried {
    all: u16,
    failed: u16,
}

/// A quarter of a second of own attempts.
#[derive(Clone, Debug, Default)]
struct Bucket {
    number: u64,
    members: BTreeMap<Addr, Tried>,
    /// Attempts sent to each zone, or by way of it.
    load: BTreeMap<u16, u16>,
    /// Reported use of each zone's members: the sum in 255ths, and how many.
    busy: BTreeMap<u16, (u32, u32)>,
}

/// An attempt that is out.
#[derive(Clone, Copy, Debug)]
struct Out {
    member: Addr,
    source: Addr,
    sent: Micros,
    /// From when on it counts as failed; and, where it is withdrawn for another's sake.
    slow: Micros,
    beaten: Micros,
    counted: bool,
}

/// The zones of one planner. Its tables hold the listed members, the open attempts and two seconds of evidence, no more.
pub struct ZoneTracker {
    settings: Settings,
    list: BTreeMap<Addr, Entry>,
    uses: Vec<ZoneUse>,
    /// Where a zone's ramp stood, in thousandths of the way from cold to warm, and when.
    ramps: Vec<Option<(Micros, u16)>>,
    doubted: Micros,
    out: BTreeMap<(u64, u16), Out>,
    /// When each member last gave a good answer, and any of each zone.
    good: BTreeMap<Addr, Micros>,
    zone_good: Vec<Micros>,
    buckets: VecDeque<Bucket>,
    shed: Shed,
}

impl ZoneTracker {
    /// `zones`: how many the settings name.
    pub fn new(settings: Settings, zones: usize) -> ZoneTracker {
        ZoneTracker {
            shed: Shed::new(&settings),
            settings,
            list: BTreeMap::new(),
            uses: vec![ZoneUse::Normal; zones],
            ramps: vec![None; zones],
            doubted: 0,
            out: BTreeMap::new(),
            good: BTreeMap::new(),
            zone_good: vec![0; zones],
            buckets: VecDeque::new(),
        }
    }

    /// A change of the list, as the router is to be told of it.
    pub fn update_list(&mut self, form: ListForm, mut entries: Vec<Entry>) -> Vec<Entry> {
        if form != ListForm::Failed {
            if form != ListForm::Delta {
                self.list.retain(|a, _| entries.iter().any(|e| e.addr == *a));
            }
            for e in &entries {
                match e.state {
                    Lifecycle::Gone => self.list.remove(&e.addr),
                    _ => self.list.insert(e.addr, *e),
                };
            }
            let listed = &self.list;
            self.good.retain(|a, _| listed.contains_key(a));
        }
        entries.iter_mut().for_each(|e| *e = self.shown(*e));
        entries
    }

    /// A member as the router sees it. One that drains or has gone stays so whatever the fleet says of its zone.
    fn shown(&self, mut e: Entry) -> Entry {
        let z = usize::from(e.zone);
        let role = self.settings.role(&e);
        if role == Role::Origin || e.state != Lifecycle::Ready || z >= self.uses.len() {
            return e;
        }
        if self.uses[z] == ZoneUse::Unused {
            e.state = Lifecycle::Draining;
        }
        if let Some((at, stood)) = self.ramps[z] {
            let way = self.cold(role) * Micros::from(stood) / 1000;
            e.started_at = e.started_at.max(at.saturating_sub(way));
        }
        if self.uses[z] == ZoneUse::Trial {
            e.started_at = 0;
        }
        e
    }

    fn cold(&self, role: Role) -> Micros {
        if role == Role::Parent {
            self.settings.parent_cold_period
        } else {
            self.settings.cold_period
        }
    }

    /// What the fleet says of every zone; gives the members that the router is to be told of anew, and those in doubt.
    pub fn apply_uses(&mut self, now: Micros, uses: &[ZoneUse], refused: u16) -> (Vec<Entry>, Vec<Entry>) {
        self.shed.share = refused.min(1000);
        let mut changed = vec![false; self.uses.len()];
        for (z, new) in uses.iter().enumerate().take(self.uses.len()) {
            let old = std::mem::replace(&mut self.uses[z], *new);
            changed[z] = [ZoneUse::Unused, ZoneUse::Trial].iter().any(|u| (old == *u) != (*new == *u));
            if let ZoneUse::Ramping(p) = *new {
                let role =
                    self.list.values().find(|e| usize::from(e.zone) == z).map(|e| self.settings.role(e));
                let span = self.cold(role.unwrap_or_default()).max(1);
                let stands = self.ramps[z].map(|(at, p)| u64::from(p) + now.saturating_sub(at) * 1000 / span);
                let right = |s: u64| (u64::from(p)..=u64::from(p) + AHEAD).contains(&s);
                if !matches!(old, ZoneUse::Ramping(_)) || !stands.is_some_and(right) {
                    self.ramps[z] = Some((now, p));
                    changed[z] = true;
                }
            }
        }
        let again = now >= self.doubted + DOUBT / 2 && self.uses.contains(&ZoneUse::Suspected);
        if !again && !changed.contains(&true) {
            return (Vec::new(), Vec::new());
        }
        let of = |e: &&Entry, which: &dyn Fn(usize) -> bool| {
            usize::from(e.zone) < self.uses.len() && which(usize::from(e.zone))
        };
        let told: Vec<Entry> =
            self.list.values().filter(|e| of(e, &|z| changed[z])).map(|e| self.shown(*e)).collect();
        let doubted: Vec<Entry> = self
            .list
            .values()
            .filter(|e| again && of(e, &|z| self.uses[z] == ZoneUse::Suspected))
            .map(|e| self.shown(*e))
            .collect();
        if !doubted.is_empty() {
            self.doubted = now;
        }
        (told, doubted)
    }

    /// Whether a member started so lately that it is cold, as the router sees it.
    pub(crate) fn is_cold(&self, now: Micros, member: Addr) -> bool {
        let e = self.list.get(&member).map(|e| self.shown(*e));
        e.is_some_and(|e| e.started_at > 0 && now < e.started_at + self.cold(self.settings.role(&e)))
    }

    /// The event that holds a member in doubt.
    pub fn suspicion_event(e: &Entry) -> Event {
        Event::Suspected { member: e.addr, incarnation: e.incarnation, valid_for: DOUBT }
    }

    /// Whether this request is refused at once: what fits nowhere while the own zone is out, of least worth first.
    pub fn should_refuse(&mut self, class: u8) -> bool {
        self.shed.refuses(usize::from(class))
    }

    /// An attempt leaves.
    pub fn attempt_sent(&mut self, now: Micros, id: (u64, u16), class: u8, member: Addr, source: Addr) {
        let c = self.settings.classes.get(usize::from(class));
        // Twice the wanted time, or half of the client's patience: what comes later is as good as no answer.
        let slow =
            c.map_or(Micros::MAX, |c| (2 * c.target_latency).min((c.deadline / 2).max(c.target_latency)));
        // The router sends no second before a quarter of it; staff's hedges may be earlier.
        let beaten = c.map_or(Micros::MAX, |c| c.target_latency / 4);
        let [slow, beaten] = [slow, beaten].map(|span| now.saturating_add(span));
        self.out.insert(id, Out { member, source, sent: now, slow, beaten, counted: false });
        let zone = |a: &Addr| self.list.get(a).map(|e| e.zone);
        let through = [zone(&member), zone(&source).filter(|_| source != member)];
        let load = &mut self.bucket(now).load;
        for z in through.into_iter().flatten() {
            let n = load.entry(z).or_default();
            *n = n.saturating_add(1);
        }
    }

    /// An attempt ended.
    pub fn attempt_ended(&mut self, now: Micros, c: &Completed) {
        let Some(o) = self.out.remove(&(c.request, c.attempt)) else { return };
        let filled = matches!(c.note, Note::Filled | Note::FilledOrigin | Note::Joined);
        let late = now >= o.slow;
        match c.outcome {
            Outcome::Ok | Outcome::Miss => {
                self.well(now, o.member);
                // What a fill waited for its source is not the member's.
                let waited = filled && c.source_wait * 2 > c.elapsed;
                self.count(now, o.member, late && !waited);
                if filled && o.source != o.member {
                    self.well(now, o.source);
                    self.count(now, o.source, late && waited);
                }
            }
            Outcome::Error
            | Outcome::Refused
            | Outcome::Timeout
            | Outcome::ConnectFailed
            | Outcome::Reset => {
                match c.note {
                    Note::SourceRefused | Note::SourceFailed => self.count(now, o.source, true),
                    // The origin is no zone's, and a full member is there.
                    Note::OriginFailed | Note::SourceMiss | Note::FillSlotsFull => {}
                    _ if c.outcome == Outcome::Refused => {}
                    _ if !o.counted => self.blame(now, &o),
                    _ => {}
                }
            }
            // Withdrawn for its silence, or another was quicker that was sent for the same reason.
            Outcome::Cancelled if (!c.request_done || now >= o.beaten) && !o.counted => self.blame(now, &o),
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        if let Some(cpu) = self.settings.columns.cpu.filter(|i| *i < usize::from(c.report.count.min(4))) {
            let used = (c.report.values[cpu].clamp(0.0, 1.0) * 255.0) as u32;
            if let Some(zone) = self.list.get(&o.member).map(|e| e.zone) {
                let (sum, n) = self.bucket(now).busy.entry(zone).or_default();
                (*sum, *n) = (sum.saturating_add(used.max(1)), n.saturating_add(1));
            }
        }
    }

    fn well(&mut self, now: Micros, a: Addr) {
        self.good.insert(a, now);
        if let Some(at) = self.list.get(&a).and_then(|e| self.zone_good.get_mut(usize::from(e.zone))) {
            *at = now;
        }
    }

    /// Nothing good came of it: the source's, where the member has answered others since, or its zone has and the source's
    /// has not, as few of many members hear of one proxy in so short a time; else the member's.
    fn blame(&mut self, now: Micros, o: &Out) {
        let since = |a: &Addr| self.good.get(a).is_some_and(|at| *at >= o.sent);
        let zone = |a: &Addr| self.list.get(a).and_then(|e| self.zone_good.get(usize::from(e.zone)));
        let any = |a: &Addr| zone(a).is_none_or(|at| *at >= o.sent);
        let source = o.source != o.member && (since(&o.member) || any(&o.member) && !any(&o.source));
        self.count(now, if source { o.source } else { o.member }, true);
    }

    fn count(&mut self, now: Micros, member: Addr, failed: bool) {
        let t = self.bucket(now).members.entry(member).or_default();
        t.all = t.all.saturating_add(1);
        t.failed = t.failed.saturating_add(u16::from(failed));
    }

    fn bucket(&mut self, now: Micros) -> &mut Bucket {
        let number = now / BUCKET;
        if self.buckets.back().is_none_or(|b| b.number < number) {
            self.buckets.push_back(Bucket { number, ..Bucket::default() });
        }
        while self.buckets.front().is_some_and(|b| b.number + BUCKETS < number) {
            self.buckets.pop_front();
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// What own attempts showed of each zone in the last two seconds; those that outlasted patience count as failed.
    pub fn zone_observations(&mut self, now: Micros) -> Vec<ZoneObservation> {
        let silent: Vec<(u64, u16)> =
            self.out.iter().filter(|(_, o)| !o.counted && now >= o.slow).map(|(id, _)| *id).collect();
        for id in silent {
            if let Some(o) = self.out.get_mut(&id) {
                o.counted = true;
                let o = *o;
                self.blame(now, &o);
            }
        }
        self.bucket(now);
        let late = (now / BUCKET).saturating_sub(LATEST);
        let zone = |a: &Addr| self.list.get(a).map(|e| e.zone);
        let recent = self.buckets.iter().filter(|b| b.number > late);
        let lately: BTreeSet<u16> = recent.flat_map(|b| b.members.keys()).filter_map(zone).collect();
        let mut members: BTreeMap<Addr, Tried> = BTreeMap::new();
        let mut zones: BTreeMap<u16, (ZoneObservation, u32, u32)> = BTreeMap::new();
        for b in &self.buckets {
            for (a, t) in &b.members {
                if b.number <= late && zone(a).is_some_and(|z| lately.contains(&z)) {
                    continue;
                }
                let all = members.entry(*a).or_default();
                all.all = all.all.saturating_add(t.all);
                all.failed = all.failed.saturating_add(t.failed);
            }
            for (z, n) in &b.load {
                let s = &mut zones.entry(*z).or_default().0;
                s.load = s.load.saturating_add(*n);
            }
            for (z, (sum, n)) in &b.busy {
                let (_, all, count) = zones.entry(*z).or_default();
                (*all, *count) = (all.saturating_add(*sum), count.saturating_add(*n));
            }
        }
        for (a, t) in members {
            let Some(e) = self.list.get(&a).filter(|e| self.settings.role(e) != Role::Origin) else {
                continue;
            };
            let s = &mut zones.entry(e.zone).or_default().0;
            s.attempts = s.attempts.saturating_add(t.all);
            s.failed = s.failed.saturating_add(t.failed);
            s.members = s.members.saturating_add(1);
            s.bad_members = s.bad_members.saturating_add(u16::from(t.failed * 2 > t.all));
        }
        let told = |(zone, (s, sum, n)): (u16, (ZoneObservation, u32, u32))| {
            let mean_use = sum.checked_div(n).unwrap_or(0).min(255) as u8;
            ZoneObservation { zone, mean_use, ..s }
        };
        zones.into_iter().filter(|(z, _)| usize::from(*z) < self.uses.len()).map(told).collect()
    }

    /// The newest start among a zone's members, of those that take requests.
    pub fn newest_start(&self, zone: u16) -> Option<Micros> {
        let of = self.list.values().filter(|e| e.zone == zone && e.state == Lifecycle::Ready);
        of.map(|e| e.started_at).filter(|s| *s > 0).max()
    }
}

/// Refuses a share of the requests, the classes of least worth first.
#[derive(Clone, Debug, Default)]
struct Shed {
    /// Thousandths.
    share: u16,
    /// Classes by worth, and how much of late was asked for of each.
    order: Vec<usize>,
    asked: Vec<f64>,
    /// What is owed of the class that is refused in part.
    owed: f64,
}

/// What was asked for of each class counts half after so many requests.
const LATELY: f64 = 256.0;

impl Shed {
    fn new(s: &Settings) -> Shed {
        let mut order: Vec<usize> = (0..s.classes.len()).collect();
        order.sort_by(|a, b| s.classes[*a].value.total_cmp(&s.classes[*b].value).then(a.cmp(b)));
        Shed { asked: vec![0.0; s.classes.len()], order, ..Shed::default() }
    }

    fn refuses(&mut self, class: usize) -> bool {
        if class >= self.asked.len() {
            return false;
        }
        self.asked.iter_mut().for_each(|n| *n *= 1.0 - 1.0 / LATELY);
        self.asked[class] += 1.0;
        let mut left = f64::from(self.share) / 1000.0 * self.asked.iter().sum::<f64>();
        for c in &self.order {
            if *c == class {
                self.owed += (left / self.asked[class]).clamp(0.0, 1.0);
                let refused = self.owed >= 1.0;
                self.owed -= f64::from(u8::from(refused));
                return refused;
            }
            left -= self.asked[*c];
        }
        false
    }
}
