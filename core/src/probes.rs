//! Load that caches tell only to those who ask: whom to ask and how often, and how long what was told counts. It owns
//! the budget of probes and the age of the reports, around the one router. It must never decide where a request goes,
//! read a clock or open anything; where reports come with the answers, or probes are not allowed, it does nothing.
use nickelgate::{
    Action, Addr, Entry, Event, Lifecycle, ListForm, Micros, Outcome, Report, Role, Router, Settings,
};
use std::collections::BTreeMap;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

/// Probes that a request earns: 3 in 100 requests cost a cache of half a millisecond a probe about 15 microseconds a
/// request, a ten-thousandth of what it spends on serving. More told no more (`docs/sites.md`, Probes).
const SHARE: f64 = 0.03;
/// What may be saved up of them: traffic that comes in a burst brings no burst of probes.
const SAVED: f64 = 1.0;
/// All proxies of a location together ask one cache no more often than this: reports are hardly refreshed sooner.
const APART: Micros = 400_000;
/// A probe without an end is forgotten after this, and its cache asked again.
const PENDING: Micros = 2_000_000;
/// The link's load counts half after each such span without a new report: what filled it has been sent by then.
const HALVES: Micros = 2_000_000;

/// How long one cache is left alone by this proxy now, as a budget that all proxies share has it.
pub type Pause = Rc<dyn Fn() -> Micros>;

/// The router, and what is asked of the caches beside its requests.
///
/// ```
/// use nickelgate::{Action, Addr, Entry, Event, ListForm, ReportColumns, Request, Settings};
/// use threadward_core::probes::ProbingRouter;
///
/// let columns = ReportColumns { link_load: Some(0), ..ReportColumns::default() };
/// let settings = Settings { probes: true, columns, ..Settings::default() };
/// let addr = Addr { ip: [127, 0, 0, 1], port: 80 };
/// let probes = |settings: Settings| {
///     let (mut w, mut all) = (ProbingRouter::new(settings, 1), Vec::new());
///     let entries = vec![Entry { addr, ..Entry::default() }];
///     w.handle(1_000_000, Event::Members { form: ListForm::Full, entries }, &mut all);
///     for id in 0..100 {
///         let now = 1_000_000 + id * 10_000;
///         w.handle(now, Event::Request(Request { id, expires_at: now + 1_000_000, ..Request::default() }), &mut all);
///     }
///     all.iter().filter(|a| **a == Action::Probe(addr)).count()
/// };
/// // 3 in 100 requests earn one, but none of them ends here, and its cache is asked again after 2 s only.
/// assert_eq!(probes(settings.clone()), 1);
/// assert_eq!(probes(Settings { reports_inline: true, ..settings }), 0, "load comes with the answers");
/// ```
pub struct ProbingRouter {
    router: Router,
    prober: Option<Prober>,
}

impl ProbingRouter {
    /// A router for these settings; it probes only where load is told in no other way.
    pub fn new(settings: Settings, seed: u64) -> ProbingRouter {
        let told = settings.columns.link_load.is_some() && !settings.reports_inline;

        let prober = (settings.probes && told).then(|| Prober::new(&settings));
        ProbingRouter { router: Router::new(settings, seed), prober }
    }

    /// From here on the pause between two probes of a cache is what this says at the moment.
    pub fn set_pause(&mut self, pause: Pause) {
        self.prober.iter_mut().for_each(|p| p.pause = Some(pause.clone()));
    }

    /// Whether caches are asked for their load at all.
    pub fn is_probing(&self) -> bool {
        self.prober.is_some()
    }

    /// Takes one event and appends what is to be done about it, a probe too where one is due.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        let Some(prober) = &mut self.prober else { return self.router.handle(now, event, out) };
        match event {
            Event::Members { form, ref entries } => prober.list(form, entries),
            Event::Request(_) => {
                out.extend(prober.request(now).map(Action::Probe));
                if let Some(aged) = prober.aged(now) {
                    self.router.handle(now, aged, out);
                }
            }
            Event::Probed { member, outcome, report } => {
                let event = prober.ended(now, member, outcome, report);
                return self.router.handle(now, event, out);
            }
            _ => {}
        }
        self.router.handle(now, event, out);
    }
}

impl Deref for ProbingRouter {
    type Target = Router;
    fn deref(&self) -> &Router {
        &self.router
    }
}

impl DerefMut for ProbingRouter {
    fn deref_mut(&mut self) -> &mut Router {
        &mut self.router
    }
}

/// When a cache was asked last, and whether that probe is still out.
#[derive(Clone, Copy, Debug, Default)]
struct Asked {
    at: Micros,
    out: bool,
}

/// The probes of one proxy. Its table holds the listed caches of the own location, no more.
struct Prober {
    settings: Settings,
    apart: Micros,
    pause: Option<Pause>,
    purse: f64,
    caches: BTreeMap<Addr, Asked>,
    /// The last report, whose, and when it came or was last halved.
    last: Option<(Addr, Report, Micros)>,
}

impl Prober {
    fn new(s: &Settings) -> Prober {
        let sharing = s.routers_by_zone.get(usize::from(s.zone)).copied().unwrap_or(1).max(1);
        Prober {
            apart: APART * Micros::from(sharing),
            settings: Settings { classes: Vec::new(), ..s.clone() },
            pause: None,
            purse: 0.0,
            caches: BTreeMap::new(),
            last: None,
        }
    }

    /// Only caches of the own location that take requests are asked: nothing goes to one that drains.
    fn list(&mut self, form: ListForm, entries: &[Entry]) {
        if matches!(form, ListForm::Full | ListForm::Cached) {
            self.caches.retain(|a, _| entries.iter().any(|e| e.addr == *a));
        }
        for e in entries {
            if self.settings.role(e) == Role::Cache && e.state == Lifecycle::Ready {
                self.caches.entry(e.addr).or_default();
            } else {
                self.caches.remove(&e.addr);
            }
        }
    }

    /// A request earns its part of a probe; the cache that was asked longest ago is asked next, where one is due.
    fn request(&mut self, now: Micros) -> Option<Addr> {
        self.purse = (self.purse + SHARE).min(SAVED);
        if self.purse < 1.0 {
            return None;
        }
        let apart = self.pause.as_ref().map_or(self.apart, |pause| pause());
        let due = |c: &Asked| now >= c.at.saturating_add(if c.out { PENDING.max(apart) } else { apart });
        let (addr, asked) = self.caches.iter_mut().min_by_key(|(_, c)| c.at).filter(|(_, c)| due(c))?;
        (*asked, self.purse) = (Asked { at: now, out: true }, 0.0);
        Some(*addr)
    }

    /// What the router is told of a probe. Only silence and a lost connection are failures: a cache that turns the
    /// probe away, or says that it is not well, is there and shows in its answers what it can do.
    fn ended(&mut self, now: Micros, member: Addr, outcome: Outcome, report: Report) -> Event {
        if let Some(asked) = self.caches.get_mut(&member) {
            asked.out = false;
        }
        let lost = matches!(outcome, Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset);
        if report.count > 0 && !lost {
            self.last = Some((member, report, now));
        }
        Event::Probed { member, outcome: if lost { outcome } else { Outcome::Ok }, report }
    }

    /// The last report again, its link less full, once it has stood for too long: an old one must not shed fills.
    fn aged(&mut self, now: Micros) -> Option<Event> {
        let x1 = self.settings.columns.link_load?;
        let (member, report, at) = self.last.as_mut().filter(|(_, _, at)| now >= *at + HALVES)?;
        *report.values.get_mut(x1)? /= 2.0;
        *at = now;
        Some(Event::Probed { member: *member, outcome: Outcome::Ok, report: *report })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use nickelgate::{ReportColumns, Request};

    const MS: Micros = 1_000;

    fn at(n: u8) -> Addr {
        Addr { ip: [127, 0, 0, n], port: 1 }
    }

    fn settings(on: bool, inline: bool) -> Settings {
        Settings {
            probes: on,
            reports_inline: inline,
            columns: ReportColumns { cpu: Some(0), link_load: Some(1), ..ReportColumns::default() },
            parent_kind: Some(1),
            origin_kind: Some(2),
            routers_by_zone: vec![2],
            ..Settings::default()
        }
    }

    fn listed(states: &[(u8, u8, Lifecycle)]) -> Event {
        let entry = |&(n, kind, state)| Entry { addr: at(n), kind, state, ..Entry::default() };
        Event::Members { form: ListForm::Full, entries: states.iter().map(entry).collect() }
    }

    fn probed(w: &mut ProbingRouter, now: Micros) -> Vec<Addr> {
        let mut out = Vec::new();
        let due = now + 1_000 * MS;
        w.handle(now, Event::Request(Request { id: now, expires_at: due, ..Request::default() }), &mut out);
        out.iter().filter_map(|a| if let Action::Probe(a) = a { Some(*a) } else { None }).collect()
    }

    /// A minute of 100 requests a second at a site with two caches, one that drains, a parent and an origin.
    fn minute(on: bool, inline: bool) -> BTreeMap<Addr, Vec<Micros>> {
        let mut w = ProbingRouter::new(settings(on, inline), 1);
        let (ready, drains) = (Lifecycle::Ready, Lifecycle::Draining);
        let all = [(1, 0, ready), (2, 0, ready), (3, 0, drains), (4, 1, ready), (5, 2, ready)];
        w.handle(0, listed(&all), &mut Vec::new());
        let mut seen: BTreeMap<Addr, Vec<Micros>> = BTreeMap::new();
        for now in (0..60_000).step_by(10).map(|t| 1_000_000 + t * MS) {
            for a in probed(&mut w, now) {
                seen.entry(a).or_default().push(now);
                let report = Report { count: 2, values: [0.1, 0.5, 0.0, 0.0] };
                let ended = Event::Probed { member: a, outcome: Outcome::Ok, report };
                w.handle(now, ended, &mut Vec::new());
            }
        }
        seen
    }

    #[test]
    fn probes_stay_within_the_share_of_requests_and_the_pause_a_cache() {
        let seen = minute(true, false);
        assert_eq!(
            seen.keys().copied().collect::<Vec<_>>(),
            [at(1), at(2)],
            "only ready caches of the location"
        );
        let all: usize = seen.values().map(Vec::len).sum();
        assert!((100..=180).contains(&all), "3 in 100 of 6,000 requests at most, {all} sent");
        for times in seen.values() {
            assert!(times.windows(2).all(|w| w[1] - w[0] >= 2 * APART), "two proxies share the pause");
        }
    }

    #[test]
    fn nothing_is_probed_where_it_is_not_allowed_or_reports_come_with_answers() {
        assert!(minute(false, false).is_empty());
        assert!(minute(true, true).is_empty());
    }

    #[test]
    fn a_cache_that_never_answers_takes_no_turn_from_the_others() {
        let mut w = ProbingRouter::new(settings(true, false), 1);
        w.handle(0, listed(&[(1, 0, Lifecycle::Ready), (2, 0, Lifecycle::Ready)]), &mut Vec::new());
        let mut seen = [0, 0];
        for now in (0..20_000).step_by(10).map(|t| 1_000_000 + t * MS) {
            for a in probed(&mut w, now) {
                seen[usize::from(a.ip[3] - 1)] += 1;
                if a == at(2) {
                    let report = Report { count: 2, ..Report::default() };
                    w.handle(now, Event::Probed { member: a, outcome: Outcome::Ok, report }, &mut Vec::new());
                }
            }
        }
        assert!(seen[0] <= 10 && seen[1] >= 9, "{seen:?}: the silent one once in 2 s, the other goes on");
    }

    #[test]
    fn only_silence_and_lost_connections_count_against_a_cache_and_old_reports_fade() {
        let mut p = Prober::new(&settings(true, false));
        let report = Report { count: 2, values: [0.9, 4.0, 0.0, 0.0] };
        let told = |e: Event| match e {
            Event::Probed { outcome, report, .. } => (outcome, report.values[1]),
            _ => unreachable!(),
        };
        assert_eq!(told(p.ended(0, at(1), Outcome::Refused, report)).0, Outcome::Ok);
        assert_eq!(told(p.ended(0, at(1), Outcome::Timeout, Report::default())).0, Outcome::Timeout);
        assert!(p.aged(HALVES - 1).is_none());
        assert_eq!(p.aged(HALVES).map(told), Some((Outcome::Ok, 2.0)));
        assert!(p.aged(HALVES + 1).is_none());
        assert_eq!(p.aged(2 * HALVES).map(told), Some((Outcome::Ok, 1.0)));
    }
}
