//! Load probes, for caches that report their load only when asked: which cache to ask and when, and for how
//! long a report counts.
//!
//! The module wraps the router and adds the budget of probes and the ageing of reports. It neither reads a
//! clock nor does I/O. Where load is reported with the answers, or probes are not allowed, it passes events
//! through unchanged.
use nickelgate::{
    Action, Addr, Entry, Event, Lifecycle, ListForm, Micros, Outcome, Report, Role, Router, Settings,
};
use std::collections::BTreeMap;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

/// Fraction of a probe that each request earns. At half a millisecond of a cache's time per probe, 3 probes
/// in 100 requests cost about 15 microseconds per request, a ten-thousandth of what a cache spends on serving
/// it. More probes gave no further information (`docs/sites.md`, Probes).
const PROBES_PER_REQUEST: f64 = 0.03;
/// Maximum number of probes that may be saved up, so that a burst of requests does not cause a burst of
/// probes.
const MAX_SAVED_PROBES: f64 = 1.0;
/// Minimum time between two probes of a cache by all proxies of its location together. Caches hardly refresh
/// their reports more often.
const PROBE_INTERVAL: Micros = 400_000;
/// A probe that has not ended is given up after this time, and the cache may be probed again.
const PROBE_TIMEOUT: Micros = 2_000_000;
/// The reported link load is halved after each such span without a new report: by then, what filled the link
/// has been sent.
const LINK_LOAD_HALF_LIFE: Micros = 2_000_000;

/// Returns the time that this proxy has to wait between two probes of a cache at present, from a budget that
/// all proxies share.
pub type ProbePause = Rc<dyn Fn() -> Micros>;

/// The router, with load probes of the caches added to its actions.
///
/// ```
/// use nickelgate::{Action, Addr, Entry, Event, ListForm, ReportColumns, Request, Settings};
/// use threadward_core::probes::ProbingRouter;
///
/// let columns = ReportColumns { link_load: Some(0), ..ReportColumns::default() };
/// let settings = Settings { probes: true, columns, ..Settings::default() };
/// let addr = Addr { ip: [127, 0, 0, 1], port: 80 };
/// let probes = |settings: Settings| {
///     let (mut router, mut actions) = (ProbingRouter::new(settings, 1), Vec::new());
///     let entries = vec![Entry { addr, ..Entry::default() }];
///     router.handle(1_000_000, Event::Members { form: ListForm::Full, entries }, &mut actions);
///     for id in 0..100 {
///         let now = 1_000_000 + id * 10_000;
///         let request = Request { id, expires_at: now + 1_000_000, ..Request::default() };
///         router.handle(now, Event::Request(request), &mut actions);
///     }
///     actions.iter().filter(|a| **a == Action::Probe(addr)).count()
/// };
/// // 3 in 100 requests earn a probe, but no probe ends here, so the cache is asked again only after 2 s.
/// assert_eq!(probes(settings.clone()), 1);
/// assert_eq!(probes(Settings { reports_inline: true, ..settings }), 0, "load is reported with the answers");
/// ```
pub struct ProbingRouter {
    router: Router,
    prober: Option<Prober>,
}

impl ProbingRouter {
    /// Creates a router. It probes only if the settings allow probes and load is not reported in another way.
    pub fn new(settings: Settings, seed: u64) -> ProbingRouter {
        let on_request_only = settings.columns.link_load.is_some() && !settings.reports_inline;
        let prober = (settings.probes && on_request_only).then(|| Prober::new(&settings));
        ProbingRouter { router: Router::new(settings, seed), prober }
    }

    /// Sets the function that gives the pause between two probes of a cache from now on.
    pub fn set_pause(&mut self, pause: ProbePause) {
        self.prober.iter_mut().for_each(|p| p.pause = Some(pause.clone()));
    }

    /// Returns whether caches are probed at all.
    pub fn is_probing(&self) -> bool {
        self.prober.is_some()
    }

    /// Handles an event and appends the resulting actions, including a probe if one is due.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let Some(prober) = &mut self.prober else { return self.router.handle(now, event, actions) };
        match event {
            Event::Members { form, ref entries } => prober.update_list(form, entries),
            Event::Request(_) => {
                actions.extend(prober.next_probe(now).map(Action::Probe));
                if let Some(aged) = prober.aged_report(now) {
                    self.router.handle(now, aged, actions);
                }
            }
            Event::Probed { member, outcome, report } => {
                let event = prober.probe_ended(now, member, outcome, report);
                return self.router.handle(now, event, actions);
            }
            _ => {}
        }
        self.router.handle(now, event, actions);
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

/// When a cache was last probed, and whether that probe is still in flight.
#[derive(Clone, Copy, Debug, Default)]
struct LastProbe {
    sent_at: Micros,
    in_flight: bool,
}

/// The probes of a proxy. Its table holds only the listed caches of the proxy's own location.
struct Prober {
    settings: Settings,
    /// Minimum time between two probes of a cache by this proxy, unless `pause` gives another.
    probe_interval: Micros,
    pause: Option<ProbePause>,
    /// Probes saved up by requests.
    saved_probes: f64,
    caches: BTreeMap<Addr, LastProbe>,
    /// The latest report, with its member and the time when it was received or last halved.
    last_report: Option<(Addr, Report, Micros)>,
}

impl Prober {
    fn new(s: &Settings) -> Prober {
        let proxies = s.routers_by_zone.get(usize::from(s.zone)).copied().unwrap_or(1).max(1);
        Prober {
            probe_interval: PROBE_INTERVAL * Micros::from(proxies),
            settings: Settings { classes: Vec::new(), ..s.clone() },
            pause: None,
            saved_probes: 0.0,
            caches: BTreeMap::new(),
            last_report: None,
        }
    }

    /// Applies a change of the member list. Only caches of the proxy's own location that take requests are
    /// probed; a draining one gets no probes.
    fn update_list(&mut self, form: ListForm, entries: &[Entry]) {
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

    /// Adds the fraction of a probe that a request earns. Returns the cache to probe, if a probe is due, and
    /// records the probe as sent: it is the cache that was probed the longest time ago.
    fn next_probe(&mut self, now: Micros) -> Option<Addr> {
        self.saved_probes = (self.saved_probes + PROBES_PER_REQUEST).min(MAX_SAVED_PROBES);
        if self.saved_probes < 1.0 {
            return None;
        }
        let interval = self.pause.as_ref().map_or(self.probe_interval, |pause| pause());
        let due = |c: &LastProbe| {
            now >= c.sent_at.saturating_add(if c.in_flight { PROBE_TIMEOUT.max(interval) } else { interval })
        };
        let (addr, last_probe) =
            self.caches.iter_mut().min_by_key(|(_, c)| c.sent_at).filter(|(_, c)| due(c))?;
        (*last_probe, self.saved_probes) = (LastProbe { sent_at: now, in_flight: true }, 0.0);
        Some(*addr)
    }

    /// Records the end of a probe and returns the event for the router. Only a timeout or a lost connection
    /// counts as a failure: a cache that refuses the probe, or reports that it isn't well, is alive, and its
    /// answers show what it can do.
    fn probe_ended(&mut self, now: Micros, member: Addr, outcome: Outcome, report: Report) -> Event {
        if let Some(last_probe) = self.caches.get_mut(&member) {
            last_probe.in_flight = false;
        }
        let lost = matches!(outcome, Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset);
        if report.count > 0 && !lost {
            self.last_report = Some((member, report, now));
        }
        Event::Probed { member, outcome: if lost { outcome } else { Outcome::Ok }, report }
    }

    /// Returns the latest report again, with half of its link load, if it has been unchanged for too long: an
    /// old report must not keep fills away from a cache.
    fn aged_report(&mut self, now: Micros) -> Option<Event> {
        let link_load = self.settings.columns.link_load?;
        let (member, report, at) =
            self.last_report.as_mut().filter(|(_, _, at)| now >= *at + LINK_LOAD_HALF_LIFE)?;
        *report.values.get_mut(link_load)? /= 2.0;
        *at = now;
        Some(Event::Probed { member: *member, outcome: Outcome::Ok, report: *report })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use nickelgate::{ReportColumns, Request};

    const MS: Micros = 1_000;

    fn addr(n: u8) -> Addr {
        Addr { ip: [127, 0, 0, n], port: 1 }
    }

    fn settings(allowed: bool, inline: bool) -> Settings {
        Settings {
            probes: allowed,
            reports_inline: inline,
            columns: ReportColumns { cpu: Some(0), link_load: Some(1), ..ReportColumns::default() },
            parent_kind: Some(1),
            origin_kind: Some(2),
            routers_by_zone: vec![2],
            ..Settings::default()
        }
    }

    fn listed(states: &[(u8, u8, Lifecycle)]) -> Event {
        let entry = |&(n, kind, state)| Entry { addr: addr(n), kind, state, ..Entry::default() };
        Event::Members { form: ListForm::Full, entries: states.iter().map(entry).collect() }
    }

    /// Handles a request and returns the members that are probed because of it.
    fn probed(router: &mut ProbingRouter, now: Micros) -> Vec<Addr> {
        let mut actions = Vec::new();
        let expires_at = now + 1_000 * MS;
        router.handle(
            now,
            Event::Request(Request { id: now, expires_at, ..Request::default() }),
            &mut actions,
        );
        actions.iter().filter_map(|a| if let Action::Probe(a) = a { Some(*a) } else { None }).collect()
    }

    /// Runs one minute of 100 requests per second at a site with two caches, a draining one, a parent and an
    /// origin. Returns when each member was probed.
    fn probes_of_a_minute(allowed: bool, inline: bool) -> BTreeMap<Addr, Vec<Micros>> {
        let mut router = ProbingRouter::new(settings(allowed, inline), 1);
        let (ready, drains) = (Lifecycle::Ready, Lifecycle::Draining);
        let all = [(1, 0, ready), (2, 0, ready), (3, 0, drains), (4, 1, ready), (5, 2, ready)];
        router.handle(0, listed(&all), &mut Vec::new());
        let mut sent: BTreeMap<Addr, Vec<Micros>> = BTreeMap::new();
        for now in (0..60_000).step_by(10).map(|t| 1_000_000 + t * MS) {
            for a in probed(&mut router, now) {
                sent.entry(a).or_default().push(now);
                let report = Report { count: 2, values: [0.1, 0.5, 0.0, 0.0] };
                let ended = Event::Probed { member: a, outcome: Outcome::Ok, report };
                router.handle(now, ended, &mut Vec::new());
            }
        }
        sent
    }

    /// Too many probes would cost the caches time: each one is probed only by the proxies of its own
    /// location, within the budget of the requests and the interval that those proxies share.
    #[test]
    fn probes_stay_within_the_budget_and_the_interval_per_cache() {
        let sent = probes_of_a_minute(true, false);
        assert_eq!(
            sent.keys().copied().collect::<Vec<_>>(),
            [addr(1), addr(2)],
            "only ready caches of its own location"
        );
        let all: usize = sent.values().map(Vec::len).sum();
        assert!((100..=180).contains(&all), "at most 3 probes per 100 of 6,000 requests, {all} sent");
        for times in sent.values() {
            assert!(
                times.windows(2).all(|w| w[1] - w[0] >= 2 * PROBE_INTERVAL),
                "two proxies share the interval"
            );
        }
    }

    /// Guards against probes to caches that do not allow them or whose load is known anyway.
    #[test]
    fn nothing_is_probed_where_it_is_not_allowed_or_reports_come_with_answers() {
        assert!(probes_of_a_minute(false, false).is_empty());
        assert!(probes_of_a_minute(true, true).is_empty());
    }

    /// A cache that never answers must be probed again only after the timeout of its probe, so that the
    /// others still get their probes.
    #[test]
    fn a_silent_cache_does_not_keep_probes_from_the_others() {
        let mut router = ProbingRouter::new(settings(true, false), 1);
        router.handle(0, listed(&[(1, 0, Lifecycle::Ready), (2, 0, Lifecycle::Ready)]), &mut Vec::new());
        let mut probes = [0, 0];
        for now in (0..20_000).step_by(10).map(|t| 1_000_000 + t * MS) {
            for a in probed(&mut router, now) {
                probes[usize::from(a.ip[3] - 1)] += 1;
                if a == addr(2) {
                    let report = Report { count: 2, ..Report::default() };
                    router.handle(
                        now,
                        Event::Probed { member: a, outcome: Outcome::Ok, report },
                        &mut Vec::new(),
                    );
                }
            }
        }
        assert!(
            probes[0] <= 10 && probes[1] >= 9,
            "{probes:?}: the silent one once in 2 s, the other as before"
        );
    }

    /// Guards against a refused probe being taken for a failed cache, and against an old report of a full
    /// link that keeps fills away from a cache.
    #[test]
    fn only_timeouts_and_lost_connections_are_failures_and_old_reports_decay() {
        let mut p = Prober::new(&settings(true, false));
        let report = Report { count: 2, values: [0.9, 4.0, 0.0, 0.0] };
        let outcome_and_load = |e: Event| match e {
            Event::Probed { outcome, report, .. } => (outcome, report.values[1]),
            _ => unreachable!(),
        };
        assert_eq!(outcome_and_load(p.probe_ended(0, addr(1), Outcome::Refused, report)).0, Outcome::Ok);
        assert_eq!(
            outcome_and_load(p.probe_ended(0, addr(1), Outcome::Timeout, Report::default())).0,
            Outcome::Timeout
        );
        assert!(p.aged_report(LINK_LOAD_HALF_LIFE - 1).is_none());
        assert_eq!(p.aged_report(LINK_LOAD_HALF_LIFE).map(outcome_and_load), Some((Outcome::Ok, 2.0)));
        assert!(p.aged_report(LINK_LOAD_HALF_LIFE + 1).is_none());
        assert_eq!(p.aged_report(2 * LINK_LOAD_HALF_LIFE).map(outcome_and_load), Some((Outcome::Ok, 1.0)));
    }
}
