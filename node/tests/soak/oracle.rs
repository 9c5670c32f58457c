//! The rules as a check on what clients and cache servers saw. Every judgement rests on the one monotonic clock of this
//! process; a moment at which this process itself was held up is not judged, and counted.
use crate::{MILLISECOND, SECOND};
use async_executor::LocalExecutor;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use threadward::net::{now, sleep_until};
use threadward_core::Micros;

/// The slack of the rules, and what this process adds to it.
const AFTER_CLOSE: Micros = 100 * MILLISECOND;
const BUDGET_SLACK: Micros = 150 * MILLISECOND;
const DRAIN: Micros = 1_050 * MILLISECOND;
const ANSWER: Micros = 500 * MILLISECOND;
const PURGE_GRACE: Micros = 350 * MILLISECOND;
const TRANSIT: Micros = 30 * MILLISECOND;
/// This process looks at its own delay so often, and does not judge within a second of a longer one.
const LOOK: Micros = 5 * MILLISECOND;
const LAG: Micros = 20 * MILLISECOND;

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// No answer by its time, or the connection ended without one.
    Lost,
    /// A second answer, or one that is not the cache server's.
    WrongAnswer,
    /// What may have run was sent again.
    Repeated,
    /// Sent to a draining server.
    Drain,
    /// Sent after the client had closed or cancelled.
    AfterClose,
    /// A budget longer than the client waits.
    Budget,
    /// A copy from before a purge would have done.
    Purge,
    /// A process ended untold, or badly.
    Crash,
}

/// An attempt as a cache server saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub at: Micros,
    pub server: usize,
    pub fields: String,
    /// It was answered in a way that says it never ran.
    pub never_ran: bool,
}

/// A request as its client knows it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub class: &'static str,
    pub proxy: usize,
    pub sent: Micros,
    pub ttl: Micros,
    /// When the client cancelled it or closed.
    pub gone: Option<Micros>,
    pub answers: u32,
    pub attempts: Vec<Attempt>,
    pub log: Vec<(Micros, String)>,
}

#[derive(Default)]
pub struct Oracle {
    requests: RefCell<BTreeMap<String, Request>>,
    /// What befell each proxy.
    proxies: RefCell<Vec<(usize, Micros, String)>>,
    broken: RefCell<Vec<(Rule, String, String)>>,
    lagged: Cell<Micros>,
    not_judged: Cell<u64>,
    troubles: Cell<u64>,
    most_troubles: Cell<u64>,
    unexplained: Cell<u64>,
}

/// What was counted over one seed or more.
#[derive(Default)]
pub struct Totals {
    pub requests: u64,
    pub answered: u64,
    attempts: u64,
    most_troubles: u64,
    not_judged: u64,
    unexplained: u64,
    rules: BTreeMap<Rule, u64>,
}

impl Totals {
    pub fn add(&mut self, other: &Totals) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.attempts += other.attempts;
        self.not_judged += other.not_judged;
        self.unexplained += other.unexplained;
        self.most_troubles = self.most_troubles.max(other.most_troubles);
        other.rules.iter().for_each(|(rule, n)| *self.rules.entry(*rule).or_default() += n);
    }

    pub fn broken(&self) -> u64 {
        self.rules.values().sum()
    }

    pub fn json(&self, processes: usize, seeds: &[u64]) -> serde_json::Value {
        let rules: BTreeMap<String, u64> = self.rules.iter().map(|(r, n)| (format!("{r:?}"), *n)).collect();
        serde_json::json!({
            "processes": processes, "seeds": seeds.len(), "requests": self.requests, "answered": self.answered,
            "attempts": self.attempts, "troubles_overlapping": self.most_troubles, "not_judged": self.not_judged,
            "unexplained_closes": self.unexplained, "violations": rules,
        })
    }
}

/// A trouble that lasts for as long as this is held.
pub struct Trouble(Rc<Oracle>);

impl Drop for Trouble {
    fn drop(&mut self) {
        self.0.troubles.set(self.0.troubles.get() - 1);
    }
}

impl Oracle {
    pub fn begin_trouble(self: &Rc<Self>) -> Trouble {
        self.troubles.set(self.troubles.get() + 1);
        self.most_troubles.set(self.most_troubles.get().max(self.troubles.get()));
        Trouble(self.clone())
    }

    /// A request whose last byte is about to be written.
    pub fn sent(&self, call: &str, class: &'static str, proxy: usize, ttl: Micros) {
        let request = Request { class, proxy, sent: now(), ttl, ..Request::default() };
        self.requests.borrow_mut().insert(call.to_owned(), request);
    }

    pub fn gone(&self, call: &str, how: &str) {
        self.with(call, |request| {
            request.gone.get_or_insert(now());
            request.log.push((now(), how.to_owned()));
        });
    }

    pub fn answered(&self, call: &str, what: &str, right: bool) {
        let again = self.with(call, |request| {
            request.answers += 1;
            request.log.push((now(), format!("answer {what}")));
            request.answers > 1
        });
        if again.unwrap_or(true) || !right {
            self.fail(Rule::WrongAnswer, call, what);
        }
    }

    /// Judges an attempt that has just been read whole by a cache server. `drained`: when its drain was told.
    pub fn attempted(&self, call: &str, server: usize, fields: &str, drained: Option<Micros>) {
        let at = now();
        let Some(request) = self.requests.borrow().get(call).cloned() else {
            return self.fail(Rule::WrongAnswer, call, "an attempt at what no client sent");
        };
        if drained.is_some_and(|told| at > told + DRAIN + TRANSIT) {
            self.judge(Rule::Drain, call, &format!("server {server}"));
        }
        if let Some(gone) = request.gone.filter(|gone| at > gone + AFTER_CLOSE + TRANSIT) {
            self.judge(Rule::AfterClose, call, &format!("{} us after", at - gone));
        }
        let budget = field(fields, "budget").map_or(0, |ms| ms * MILLISECOND);
        let left = (request.sent + request.ttl).saturating_sub(at);
        if budget > left + BUDGET_SLACK + TRANSIT {
            self.judge(Rule::Budget, call, &format!("budget {budget} us, {left} us left"));
        }
        if request.class == "booking" && request.attempts.iter().any(|a| !a.never_ran) {
            self.judge(Rule::Repeated, call, "a second attempt at what may have run");
        }
        self.with(call, |request| {
            let attempt = Attempt { at, server, fields: fields.to_owned(), never_ran: false };
            request.attempts.push(attempt);
        });
    }

    /// Judges the age that an attempt lets pass; `purged`: when the proxy was told of the last purge of
    /// its group, and when that was issued.
    pub fn purged(&self, call: &str, fields: &str, purged: Option<(Micros, Micros)>) {
        let at = now();
        let told = purged.filter(|(told, _)| at > told + PURGE_GRACE + TRANSIT);
        let Some((_, purged)) = told else { return };
        let newer = field(fields, "newer").map_or(Micros::MAX, |ms| ms * MILLISECOND);
        if newer > at - purged + TRANSIT {
            self.judge(Rule::Purge, call, &format!("newer {newer} us, purged {} us ago", at - purged));
        }
    }

    pub fn never_ran(&self, call: &str, server: usize) {
        self.with(call, |request| {
            let of = request.attempts.iter_mut().rfind(|a| a.server == server);
            of.into_iter().for_each(|a| a.never_ran = true);
        });
    }

    /// Judges a request at its end: whether it was answered, and in time. `excused`: its process was killed.
    pub fn ended(&self, call: &str, excused: bool, how: &str) {
        let found = self.with(call, |request| {
            request.log.push((now(), how.to_owned()));
            request.answers == 0 && request.gone.is_none()
        });
        if found == Some(true) && !excused {
            self.unexplained.set(self.unexplained.get() + 1);
            self.judge(Rule::Lost, call, how);
        }
    }

    /// How long a client waits for the answer that is owed.
    pub fn deadline(&self, call: &str) -> Micros {
        self.requests.borrow().get(call).map_or(0, |r| r.sent + r.ttl + ANSWER)
    }

    pub fn sent_at(&self, call: &str) -> Micros {
        self.requests.borrow().get(call).map_or(0, |r| r.sent)
    }

    /// Something befell a proxy.
    pub fn befell(&self, proxy: usize, what: impl Into<String>) {
        self.proxies.borrow_mut().push((proxy, now(), what.into()));
    }

    pub fn note(&self, call: &str, what: &str) {
        self.with(call, |request| request.log.push((now(), what.to_owned())));
    }

    pub fn fail(&self, rule: Rule, call: &str, what: &str) {
        self.broken.borrow_mut().push((rule, call.to_owned(), what.to_owned()));
    }

    /// A rule on time, broken unless this process was held up itself.
    fn judge(&self, rule: Rule, call: &str, what: &str) {
        if now() < self.lagged.get() + SECOND {
            return self.not_judged.set(self.not_judged.get() + 1);
        }
        self.fail(rule, call, what);
    }

    fn with<R>(&self, call: &str, change: impl FnOnce(&mut Request) -> R) -> Option<R> {
        self.requests.borrow_mut().get_mut(call).map(change)
    }

    pub fn totals(&self) -> Totals {
        let requests = self.requests.borrow();
        let mut totals = Totals {
            requests: requests.len() as u64,
            answered: requests.values().filter(|r| r.answers > 0).count() as u64,
            attempts: requests.values().map(|r| r.attempts.len() as u64).sum(),
            most_troubles: self.most_troubles.get(),
            not_judged: self.not_judged.get(),
            unexplained: self.unexplained.get(),
            rules: BTreeMap::new(),
        };
        for (rule, ..) in self.broken.borrow().iter() {
            *totals.rules.entry(*rule).or_default() += 1;
        }
        totals
    }

    /// What happened to each request that broke a rule.
    pub fn timelines(&self) -> Vec<String> {
        let requests = self.requests.borrow();
        let mut lines = Vec::new();
        for (rule, call, what) in self.broken.borrow().iter() {
            lines.push(format!("{rule:?}: {call}: {what}"));
            let Some(request) = requests.get(call) else { continue };
            lines.push(format!("  {} at proxy {}, ttl {} us", request.class, request.proxy, request.ttl));
            let mut events: Vec<(Micros, String)> = request.log.clone();
            let told = |a: &Attempt| (a.at, format!("at server {}: {}", a.server, a.fields));
            events.extend(request.attempts.iter().map(told));
            let near = |at: Micros| at + 3 * SECOND > request.sent && at < request.sent + 3 * SECOND;
            let proxies = self.proxies.borrow();
            let befell = proxies.iter().filter(|(proxy, at, _)| *proxy == request.proxy && near(*at));
            events.extend(befell.map(|(_, at, what)| (*at, format!("proxy: {what}"))));
            events.sort();
            let since = |at: Micros| at as i64 - request.sent as i64;
            lines.extend(events.iter().map(|(at, what)| format!("  {:>9} us {what}", since(*at))));
        }
        lines
    }
}

fn field(fields: &str, name: &str) -> Option<u64> {
    threadward::wire::find_field(fields, name)?.parse().ok()
}

/// Notes the moments at which this process had no turn for long.
pub fn watch_lag(executor: &'static LocalExecutor<'static>, oracle: Rc<Oracle>) {
    executor
        .spawn(async move {
            loop {
                let due = now() + LOOK;
                sleep_until(due).await;
                if now() > due + LAG {
                    oracle.lagged.set(now());
                }
            }
        })
        .detach();
}
