//! Checks the rules against what clients and cache servers observed. All times are of the one monotonic clock
//! of this process. A rule on time that breaks while this process was delayed itself is not judged but
//! counted.
use crate::{MILLISECOND, SECOND};
use async_executor::LocalExecutor;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use threadward::net::{now, sleep_until};
use threadward_core::Micros;

/// The slack that each rule allows, with what this process adds to it.
const AFTER_CLOSE_SLACK: Micros = 100 * MILLISECOND;
const BUDGET_SLACK: Micros = 150 * MILLISECOND;
const DRAIN_SLACK: Micros = 1_050 * MILLISECOND;
const ANSWER_SLACK: Micros = 500 * MILLISECOND;
const PURGE_GRACE: Micros = 350 * MILLISECOND;
/// How long a message may be on its way between two processes.
const TRANSIT_TIME: Micros = 30 * MILLISECOND;
/// How often this process measures its own delay.
const LAG_CHECK_INTERVAL: Micros = 5 * MILLISECOND;
/// After a delay longer than this, no rule on time is judged for a second.
const LAG_THRESHOLD: Micros = 20 * MILLISECOND;

/// A rule that can be broken. The names are keys of the JSON object that a run prints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request had no answer by its deadline, or its connection ended without one.
    Lost,
    /// A request got a second answer, or one that is not the cache server's.
    WrongAnswer,
    /// A request that may have run and is not repeatable was sent again.
    Repeated,
    /// A request was sent to a draining server.
    Drain,
    /// A request was sent after its client had closed the connection or cancelled.
    AfterClose,
    /// An attempt carried a time budget longer than its client waits.
    Budget,
    /// An attempt would have accepted a copy from before a purge.
    Purge,
    /// A process ended without being told to, or failed to start or to end properly.
    Crash,
}

/// An attempt as a cache server received it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub received_at: Micros,
    pub server: usize,
    pub fields: String,
    /// Whether the answer said that it never ran.
    pub never_ran: bool,
}

/// A request, what its client did and which attempts it led to.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub class: &'static str,
    pub proxy: usize,
    /// When its last byte was about to be written.
    pub written_at: Micros,
    /// How long its client waits.
    pub ttl: Micros,
    /// When the client cancelled it or closed the connection.
    pub gone_at: Option<Micros>,
    pub answers: u32,
    pub attempts: Vec<Attempt>,
    /// What happened to it, and when.
    pub log: Vec<(Micros, String)>,
}

/// Records what clients, cache servers and proxies did, and the rules that were broken.
#[derive(Default)]
pub struct Oracle {
    requests: RefCell<BTreeMap<String, Request>>,
    /// What happened to each proxy, and when.
    proxy_events: RefCell<Vec<(usize, Micros, String)>>,
    /// The rules that were broken, the id of the request and a detail.
    violations: RefCell<Vec<(Rule, String, String)>>,
    /// When this process was delayed the last time.
    last_lag_at: Cell<Micros>,
    not_judged: Cell<u64>,
    concurrent_faults: Cell<u64>,
    max_concurrent_faults: Cell<u64>,
    unexplained_closes: Cell<u64>,
}

/// The counts of one or more seeds.
#[derive(Default)]
pub struct Totals {
    pub requests: u64,
    pub answered: u64,
    attempts: u64,
    max_concurrent_faults: u64,
    not_judged: u64,
    unexplained_closes: u64,
    violations: BTreeMap<Rule, u64>,
}

impl Totals {
    /// Adds the counts of another seed.
    pub fn add(&mut self, other: &Totals) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.attempts += other.attempts;
        self.not_judged += other.not_judged;
        self.unexplained_closes += other.unexplained_closes;
        self.max_concurrent_faults = self.max_concurrent_faults.max(other.max_concurrent_faults);
        other.violations.iter().for_each(|(rule, n)| *self.violations.entry(*rule).or_default() += n);
    }

    /// Returns how many rules were broken.
    pub fn violation_count(&self) -> u64 {
        self.violations.values().sum()
    }

    /// Returns the counts as the JSON object that a run prints.
    pub fn json(&self, processes: usize, seeds: &[u64]) -> serde_json::Value {
        let rules: BTreeMap<String, u64> =
            self.violations.iter().map(|(r, n)| (format!("{r:?}"), *n)).collect();
        serde_json::json!({
            "processes": processes, "seeds": seeds.len(), "requests": self.requests, "answered": self.answered,
            "attempts": self.attempts, "troubles_overlapping": self.max_concurrent_faults, "not_judged": self.not_judged,
            "unexplained_closes": self.unexplained_closes, "violations": rules,
        })
    }
}

/// A fault that counts as active for as long as this value is held.
pub struct FaultGuard(Rc<Oracle>);

impl Drop for FaultGuard {
    fn drop(&mut self) {
        self.0.concurrent_faults.set(self.0.concurrent_faults.get() - 1);
    }
}

impl Oracle {
    /// Counts a fault as active until the returned guard is dropped.
    pub fn begin_fault(self: &Rc<Self>) -> FaultGuard {
        self.concurrent_faults.set(self.concurrent_faults.get() + 1);
        self.max_concurrent_faults.set(self.max_concurrent_faults.get().max(self.concurrent_faults.get()));
        FaultGuard(self.clone())
    }

    /// Records a request whose last byte is about to be written.
    pub fn record_sent(&self, call_id: &str, class: &'static str, proxy: usize, ttl: Micros) {
        let request = Request { class, proxy, written_at: now(), ttl, ..Request::default() };
        self.requests.borrow_mut().insert(call_id.to_owned(), request);
    }

    /// Records that the client has given up a request: from then on no answer is owed.
    pub fn record_client_gone(&self, call_id: &str, how: &str) {
        self.with_request(call_id, |request| {
            request.gone_at.get_or_insert(now());
            request.log.push((now(), how.to_owned()));
        });
    }

    /// Records an answer. A second one, one that is not `correct` and one to an unknown request break a rule.
    pub fn record_answer(&self, call_id: &str, what: &str, correct: bool) {
        let repeated = self.with_request(call_id, |request| {
            request.answers += 1;
            request.log.push((now(), format!("answer {what}")));
            request.answers > 1
        });
        if repeated.unwrap_or(true) || !correct {
            self.fail(Rule::WrongAnswer, call_id, what);
        }
    }

    /// Checks an attempt that a cache server has just read whole, and records it. `drained`: when the
    /// server's drain was reported to the proxy.
    pub fn check_attempt(&self, call_id: &str, server: usize, fields: &str, drained: Option<Micros>) {
        let at = now();
        let Some(request) = self.requests.borrow().get(call_id).cloned() else {
            return self.fail(Rule::WrongAnswer, call_id, "an attempt at a request that no client sent");
        };
        if drained.is_some_and(|reported| at > reported + DRAIN_SLACK + TRANSIT_TIME) {
            self.fail_timed_rule(Rule::Drain, call_id, &format!("server {server}"));
        }
        if let Some(gone_at) =
            request.gone_at.filter(|gone_at| at > gone_at + AFTER_CLOSE_SLACK + TRANSIT_TIME)
        {
            self.fail_timed_rule(Rule::AfterClose, call_id, &format!("{} us after", at - gone_at));
        }
        let budget = field(fields, "budget").map_or(0, |ms| ms * MILLISECOND);
        let left = (request.written_at + request.ttl).saturating_sub(at);
        if budget > left + BUDGET_SLACK + TRANSIT_TIME {
            self.fail_timed_rule(Rule::Budget, call_id, &format!("budget {budget} us, {left} us left"));
        }
        if request.class == "booking" && request.attempts.iter().any(|a| !a.never_ran) {
            self.fail_timed_rule(Rule::Repeated, call_id, "a second attempt at a request that may have run");
        }
        self.with_request(call_id, |request| {
            let attempt = Attempt { received_at: at, server, fields: fields.to_owned(), never_ran: false };
            request.attempts.push(attempt);
        });
    }

    /// Checks the greatest age of a copy that an attempt accepts. `last_purge`: when the last purge of its
    /// group was reported to the proxy, and when that purge was issued.
    pub fn check_purge(&self, call_id: &str, fields: &str, last_purge: Option<(Micros, Micros)>) {
        let at = now();
        let in_force = last_purge.filter(|(reported, _)| at > reported + PURGE_GRACE + TRANSIT_TIME);
        let Some((_, issued_at)) = in_force else { return };
        let newer = field(fields, "newer").map_or(Micros::MAX, |ms| ms * MILLISECOND);
        if newer > at - issued_at + TRANSIT_TIME {
            self.fail_timed_rule(
                Rule::Purge,
                call_id,
                &format!("newer {newer} us, purged {} us ago", at - issued_at),
            );
        }
    }

    /// Records that a server said of its last attempt that it never ran.
    pub fn mark_never_ran(&self, call_id: &str, server: usize) {
        self.with_request(call_id, |request| {
            let of = request.attempts.iter_mut().rfind(|a| a.server == server);
            of.into_iter().for_each(|a| a.never_ran = true);
        });
    }

    /// Checks at the end of a request whether it was answered. `excused`: none is owed, as its process was
    /// killed or the request crossed the close of an idle connection.
    pub fn record_end(&self, call_id: &str, excused: bool, how: &str) {
        let unanswered = self.with_request(call_id, |request| {
            request.log.push((now(), how.to_owned()));
            request.answers == 0 && request.gone_at.is_none()
        });
        if unanswered == Some(true) && !excused {
            self.unexplained_closes.set(self.unexplained_closes.get() + 1);
            self.fail_timed_rule(Rule::Lost, call_id, how);
        }
    }

    /// Returns the time up to which a client waits for its answer, with the slack of the rule.
    pub fn deadline(&self, call_id: &str) -> Micros {
        self.requests.borrow().get(call_id).map_or(0, |r| r.written_at + r.ttl + ANSWER_SLACK)
    }

    /// Returns when the last byte of a request was about to be written.
    pub fn sent_at(&self, call_id: &str) -> Micros {
        self.requests.borrow().get(call_id).map_or(0, |r| r.written_at)
    }

    /// Records what happened to a proxy, for the timelines.
    pub fn record_proxy_event(&self, proxy: usize, what: impl Into<String>) {
        self.proxy_events.borrow_mut().push((proxy, now(), what.into()));
    }

    /// Adds a line to the timeline of a request.
    pub fn note(&self, call_id: &str, what: &str) {
        self.with_request(call_id, |request| request.log.push((now(), what.to_owned())));
    }

    /// Records that a rule was broken.
    pub fn fail(&self, rule: Rule, call_id: &str, what: &str) {
        self.violations.borrow_mut().push((rule, call_id.to_owned(), what.to_owned()));
    }

    /// Records that a rule on time was broken, unless this process was delayed itself within the last second.
    fn fail_timed_rule(&self, rule: Rule, call_id: &str, what: &str) {
        if now() < self.last_lag_at.get() + SECOND {
            return self.not_judged.set(self.not_judged.get() + 1);
        }
        self.fail(rule, call_id, what);
    }

    /// Changes the record of a request, where there is one, and returns the closure's result.
    fn with_request<R>(&self, call_id: &str, change: impl FnOnce(&mut Request) -> R) -> Option<R> {
        self.requests.borrow_mut().get_mut(call_id).map(change)
    }

    /// Returns the counts so far.
    pub fn totals(&self) -> Totals {
        let requests = self.requests.borrow();
        let mut totals = Totals {
            requests: requests.len() as u64,
            answered: requests.values().filter(|r| r.answers > 0).count() as u64,
            attempts: requests.values().map(|r| r.attempts.len() as u64).sum(),
            max_concurrent_faults: self.max_concurrent_faults.get(),
            not_judged: self.not_judged.get(),
            unexplained_closes: self.unexplained_closes.get(),
            violations: BTreeMap::new(),
        };
        for (rule, ..) in self.violations.borrow().iter() {
            *totals.violations.entry(*rule).or_default() += 1;
        }
        totals
    }

    /// Returns the lines that tell what happened to each request that broke a rule, and to its proxy around
    /// that time.
    pub fn timelines(&self) -> Vec<String> {
        let requests = self.requests.borrow();
        let mut lines = Vec::new();
        for (rule, call_id, what) in self.violations.borrow().iter() {
            lines.push(format!("{rule:?}: {call_id}: {what}"));
            let Some(request) = requests.get(call_id) else { continue };
            lines.push(format!("  {} at proxy {}, ttl {} us", request.class, request.proxy, request.ttl));
            let mut events: Vec<(Micros, String)> = request.log.clone();
            let attempt_line = |a: &Attempt| (a.received_at, format!("at server {}: {}", a.server, a.fields));
            events.extend(request.attempts.iter().map(attempt_line));
            let is_near =
                |at: Micros| at + 3 * SECOND > request.written_at && at < request.written_at + 3 * SECOND;
            let proxy_events = self.proxy_events.borrow();
            let of_proxy =
                proxy_events.iter().filter(|(proxy, at, _)| *proxy == request.proxy && is_near(*at));
            events.extend(of_proxy.map(|(_, at, what)| (*at, format!("proxy: {what}"))));
            events.sort();
            let since = |at: Micros| at as i64 - request.written_at as i64;
            lines.extend(events.iter().map(|(at, what)| format!("  {:>9} us {what}", since(*at))));
        }
        lines
    }
}

/// Reads a number from the fields of an attempt.
fn field(fields: &str, name: &str) -> Option<u64> {
    threadward::wire::find_field(fields, name)?.parse().ok()
}

/// Records when this process did not get to run for longer than `LAG_THRESHOLD`.
pub fn watch_lag(executor: &'static LocalExecutor<'static>, oracle: Rc<Oracle>) {
    executor
        .spawn(async move {
            loop {
                let due = now() + LAG_CHECK_INTERVAL;
                sleep_until(due).await;
                if now() > due + LAG_THRESHOLD {
                    oracle.last_lag_at.set(now());
                }
            }
        })
        .detach();
}
