//! The rules that the terms of routes must keep, so that they agree with the platform's settings and its
//! requirements on lost requests and repeats, with the message for each rule. No file passes that could make
//! a request of a class that forbids repeats run twice, or let an answer arrive after the client has given
//! up; what cannot be decided is refused.
//!
//! All violations of a configuration are found in one pass, each once, in the order of the file.
use crate::cover::{shadowed, ties};
use crate::terms::{Setting, Terms, Wait};
use crate::{Location, Route, RouteConfig, MAX_LIST_ENTRIES, MAX_ROUTES};
use nickelgate::{DedupGroup, Effect, Micros, Settings};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Smallest time span in microseconds for a deadline or timeout. No answer can arrive over a network in less.
pub const MIN_SPAN: Micros = 10_000;
/// Smallest connect timeout in microseconds: three round-trip times of the networks here.
pub const MIN_CONNECT_SPAN: Micros = 5_000;

/// The platform's settings and class names, against which terms are checked.
#[derive(Clone, Debug)]
pub struct Platform {
    /// The settings that the platform gives every router.
    pub settings: Settings,
    /// The names of its classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Longest time that opening a connection may take, in microseconds.
    pub connect: Micros,
}

macro_rules! rules {
    ($($name:ident $text:literal $remedy:literal,)*) => {
        /// The rules that a route file must keep.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Rule { $(#[doc = $text] $name,)* }
        impl Rule {
            /// All rules, in the order of violations at one location.
            pub const ALL: &'static [Rule] = &[$(Rule::$name,)*];
            /// Returns the rule in words.
            pub fn text(self) -> &'static str {
                match self { $(Rule::$name => $text,)* }
            }
            /// Returns how to fix a violation.
            pub fn remedy(self) -> &'static str {
                match self { $(Rule::$name => $remedy,)* }
            }
        }
    };
}
rules! {
    Repeat "a class that forbids repeats gets one attempt" "set attempts = 1 for it",
    SecondAttempt
        "a second parallel attempt needs a class that may be repeated and settings that allow two attempts at once"
        "remove `second` for it",
    Window "every attempt of a keyed class starts within its dedupe window"
        "use fewer attempts, or a shorter deadline",
    GiveUp "no deadline is later than the time when the client gives up"
        "shorten it to the class's deadline, or remove it",
    MinSpan "no time span is shorter than the network allows" "make it longer",
    Fit "attempts and pauses fit into the deadline" "use fewer attempts, shorter pauses or shorter timeouts",
    AttemptCount "the number of attempts is from 1 to what the settings allow"
        "lower it to the settings' most_tries",
    Range "a quantile is from 0.5 to 0.999, a budget or jitter from 0 to 1" "choose a value in the range",
    Order "first_byte is at most whole, and first_byte, whole and second are before the deadline"
        "shorten the inner timeout",
    Connect "the connect timeout is within the settings' limit and the deadline" "shorten it",
    Ageing "only a class whose copies age can serve an ageing copy" "remove `ageing` for it",
    Class "a class is one of those in the settings" "correct the name",
    Group "groups are from 0 to 255, the lower one first" "correct the range",
    Part "a range of parts names the lower one first" "swap its ends",
    TooMany "a file has at most 200,000 routes, and a route at most 64 ranges and 64 networks" "split it",
    Name "each route has a unique name of at most 64 letters, digits, - and _" "rename it",
    Tie "no request matches two routes with equal specificity" "make one of them more specific",
    Shadowed "each route wins for some request" "remove it, or make it more specific",
}

/// A violation of a rule: where it is, which rule, and what is wrong.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// Location of the value or route that violates the rule.
    pub at: Location,
    /// The violated rule.
    pub rule: Rule,
    /// The route, class or default that sets the value, and what is wrong with it.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {}; the rule: {}; to fix it: {}",
            self.at,
            self.what,
            self.rule.text(),
            self.rule.remedy()
        )
    }
}

/// Collects violations. Only the tests of this checker set `omitted`, a rule that is not checked.
struct Checker<'a> {
    platform: &'a Platform,
    omitted: Option<Rule>,
    violations: BTreeSet<Violation>,
}

/// Returns all violations of a configuration, which may be used if there are none. Each is displayed as one
/// line with its location and how to fix it.
///
/// ```
/// use threadward_routes::{check, terms::Setting, Location, Platform, Rule, RouteConfig, Terms, Wait};
///
/// let class = nickelgate::Class {
///     effect: nickelgate::Effect::NotRetryable,
///     deadline: 3_000_000,
///     ..Default::default()
/// };
/// let settings = nickelgate::Settings {
///     classes: vec![class],
///     parallel_attempts: true,
///     max_attempts: 8,
///     ..Default::default()
/// };
/// let platform = Platform { settings, classes: vec!["orders".into()], connect: 400_000 };
/// let at = Location { file: "routes".into(), line: 7, column: 3 };
/// let second = Some(Setting { value: Wait::After(200_000), at });
/// let terms = Terms { second, ..Terms::default() };
/// let config = RouteConfig { classes: vec![terms], ..RouteConfig::default() };
/// let violations = check(&config, &platform);
/// assert_eq!((violations.len(), violations[0].rule), (1, Rule::SecondAttempt));
/// let expected = "routes:7:3: class orders: a second parallel attempt; the rule: ";
/// assert!(violations[0].to_string().starts_with(expected));
/// ```
pub fn check(config: &RouteConfig, platform: &Platform) -> Vec<Violation> {
    check_without(config, platform, None)
}

/// Checks a configuration without one of the rules, as a mutant that the tests must detect.
#[doc(hidden)]
pub fn check_without(config: &RouteConfig, platform: &Platform, omitted: Option<Rule>) -> Vec<Violation> {
    let mut c = Checker { platform, omitted, violations: BTreeSet::new() };
    c.check_config(config);
    c.violations.into_iter().collect()
}

impl Checker<'_> {
    fn report(&mut self, rule: Rule, at: &Location, what: String) {
        if self.omitted != Some(rule) {
            self.violations.insert(Violation { at: at.clone(), rule, what });
        }
    }

    fn check_config(&mut self, config: &RouteConfig) {
        if config.routes.len() > MAX_ROUTES {
            let last = &config.routes[MAX_ROUTES];
            return self.report(
                Rule::TooMany,
                &last.at,
                format!("route {} exceeds the limit of routes", last.name),
            );
        }
        self.check_ranges(&config.default, "the default");
        for (i, t) in config.classes.iter().enumerate() {
            let name = self.class_label(i as u8);
            self.check_ranges(t, &name);
        }
        let mut names: BTreeMap<&str, &Location> = BTreeMap::new();
        for r in &config.routes {
            let plain = |c: u8| c.is_ascii_alphanumeric() || c == b'-' || c == b'_';
            if r.name.is_empty() || r.name.len() > 64 || !r.name.bytes().all(plain) {
                self.report(Rule::Name, &r.at, format!("'{}' is not a valid route name", r.name));
            } else if let Some(first) = names.insert(&r.name, &r.at) {
                self.report(Rule::Name, &r.at, format!("route {} is already defined at {first}", r.name));
            }
            self.check_matches(r);
            self.check_ranges(&r.terms, &format!("route {}", r.name));
        }
        // Checks the effective terms of each class, without a route and with each route that could win for
        // it.
        let none = Terms::default();
        for class in 0..self.platform.settings.classes.len() {
            let class_terms = config.classes.get(class).unwrap_or(&none);
            self.check_terms(
                class,
                &Terms::of(&[class_terms, &config.default]),
                &self.class_label(class as u8),
            );
            for r in &config.routes {
                if r.matches.class.is_none_or(|c| usize::from(c) == class) {
                    let subject = format!("route {} for {}", r.name, self.class_label(class as u8));
                    self.check_terms(class, &Terms::of(&[&r.terms, class_terms, &config.default]), &subject);
                }
            }
        }
        for t in ties(&config.routes) {
            let (a, b) = (&config.routes[t.first], &config.routes[t.second]);
            self.report(Rule::Tie, &b.at, format!("routes {} ({}) and {} tie", a.name, a.at, b.name));
        }
        for i in shadowed(&config.routes) {
            let r = &config.routes[i];
            self.report(Rule::Shadowed, &r.at, format!("route {} can never win", r.name));
        }
    }

    fn class_label(&self, class: u8) -> String {
        let name = self.platform.classes.get(usize::from(class));
        name.map_or_else(|| format!("class {class}"), |n| format!("class {n}"))
    }

    fn check_matches(&mut self, r: &Route) {
        let m = &r.matches;
        if m.class.is_some_and(|c| usize::from(c) >= self.platform.settings.classes.len()) {
            self.report(
                Rule::Class,
                &r.at,
                format!("route {} names a class that is not in the settings", r.name),
            );
        }
        if m.groups.iter().any(|g| g.start() > g.end() || *g.end() > 255) {
            self.report(Rule::Group, &r.at, format!("route {} names groups that do not exist", r.name));
        }
        if m.part.as_ref().is_some_and(|p| p.start() > p.end()) {
            self.report(Rule::Part, &r.at, format!("route {} names an empty range of parts", r.name));
        }
        if m.clients.len() > MAX_LIST_ENTRIES || m.groups.len() > MAX_LIST_ENTRIES {
            self.report(Rule::TooMany, &r.at, format!("route {} lists too many ranges or networks", r.name));
        }
    }

    /// Checks what doesn't depend on the class.
    fn check_ranges(&mut self, t: &Terms, subject: &str) {
        let spans = [("deadline", &t.deadline, MIN_SPAN), ("connect", &t.connect, MIN_CONNECT_SPAN)];
        for (what, set, min_span) in spans {
            if let Some(s) = set.as_ref().filter(|s| s.value < min_span) {
                self.report(Rule::MinSpan, &s.at, format!("{subject}: {what} of {} us", s.value));
            }
        }
        for (what, set) in [("first_byte", &t.first_byte), ("whole", &t.whole), ("second", &t.second)] {
            let Some(s) = set else { continue };
            match s.value {
                Wait::After(x) if x < MIN_SPAN => {
                    self.report(Rule::MinSpan, &s.at, format!("{subject}: {what} of {x} us"));
                }
                Wait::Quantile(q) if !(0.5..=0.999).contains(&q) => {
                    self.report(Rule::Range, &s.at, format!("{subject}: {what} at the quantile {q}"));
                }
                _ => {}
            }
        }
        for (what, set) in [("jitter", &t.jitter), ("budget", &t.budget)] {
            if let Some(s) = set.as_ref().filter(|s| !(0.0..=1.0).contains(&s.value)) {
                self.report(Rule::Range, &s.at, format!("{subject}: {what} of {}", s.value));
            }
        }
        let max_attempts_allowed = self.platform.settings.max_attempts.max(1);
        if let Some(s) = t.attempts.as_ref().filter(|s| s.value == 0 || s.value > max_attempts_allowed) {
            self.report(
                Rule::AttemptCount,
                &s.at,
                format!("{subject}: {} attempts of {max_attempts_allowed} at most", s.value),
            );
        }
    }

    /// Checks the effective terms of a class.
    fn check_terms(&mut self, class: usize, terms: &Terms, subject: &str) {
        let settings = &self.platform.settings;
        let class_settings = settings.classes[class].clone();
        let (parallel, connect) = (settings.parallel_attempts, self.platform.connect);
        let attempts = terms.attempts.as_ref().map_or(1, |a| a.value);
        let repeated_attempts = terms.attempts.as_ref().filter(|a| a.value > 1);
        if let Some(a) = repeated_attempts.filter(|_| class_settings.effect == Effect::NotRetryable) {
            self.report(Rule::Repeat, &a.at, format!("{subject}: {attempts} attempts"));
        }
        if let Some(x) = &terms.second {
            if !parallel
                || class_settings.effect == Effect::NotRetryable
                || class_settings.pass_through && class_settings.dedup_group != DedupGroup::All
            {
                self.report(Rule::SecondAttempt, &x.at, format!("{subject}: a second parallel attempt"));
            }
        }
        let deadline =
            terms.deadline.as_ref().map_or(class_settings.deadline, |d| d.value.min(class_settings.deadline));
        if let Some(d) = terms.deadline.as_ref().filter(|d| d.value > class_settings.deadline) {
            let late = d.value;
            self.report(
                Rule::GiveUp,
                &d.at,
                format!("{subject}: deadline of {late} us, the client waits {} us", class_settings.deadline),
            );
        }
        // Whatever the timeouts, an attempt may hang until just before the deadline, and the next one starts
        // then.
        let repeats = repeated_attempts.map(|a| &a.at).or(terms.second.as_ref().map(|x| &x.at));
        if let Some(at) = repeats.filter(|_| class_settings.effect == Effect::Dedup) {
            let window = class_settings.dedup_window;
            if deadline > window {
                self.report(
                    Rule::Window,
                    at,
                    format!("{subject}: an attempt may start after {deadline} us, the window is {window} us"),
                );
            }
        }
        if let Some(a) = repeated_attempts {
            let attempt_timeout = [&terms.first_byte, &terms.whole]
                .into_iter()
                .flatten()
                .filter_map(fixed_span)
                .min()
                .unwrap_or(0);
            let last_start =
                self.total_pause(terms, attempts) + attempt_timeout.saturating_mul(u64::from(attempts) - 1);
            if last_start >= deadline {
                self.report(
                    Rule::Fit,
                    &a.at,
                    format!(
                        "{subject}: the last attempt would start after {last_start} us, the deadline is \
                         {deadline} us"
                    ),
                );
            }
        }
        let inner = terms.first_byte.as_ref().zip(terms.whole.as_ref());
        if let Some((f, w)) = inner.and_then(|(f, w)| Some((f, fixed_span(f)? > fixed_span(w)?))) {
            if w {
                self.report(Rule::Order, &f.at, format!("{subject}: first_byte is longer than whole"));
            }
        }
        for (what, set) in
            [("first_byte", &terms.first_byte), ("whole", &terms.whole), ("second", &terms.second)]
        {
            if let Some(x) = set.as_ref().filter(|x| fixed_span(x).is_some_and(|t| t >= deadline)) {
                self.report(
                    Rule::Order,
                    &x.at,
                    format!("{subject}: {what} not before the deadline of {deadline} us"),
                );
            }
        }
        if let Some(x) = terms.connect.as_ref().filter(|x| x.value > connect || x.value >= deadline) {
            self.report(
                Rule::Connect,
                &x.at,
                format!("{subject}: connect of {} us, {connect} us at most", x.value),
            );
        }
        if let Some(x) = terms
            .ageing
            .as_ref()
            .filter(|x| x.value && (class_settings.fresh_for == 0 || class_settings.pass_through))
        {
            self.report(Rule::Ageing, &x.at, format!("{subject}: an ageing copy"));
        }
    }

    /// Returns the longest possible sum of all pauses between attempts.
    fn total_pause(&self, e: &Terms, attempts: u32) -> Micros {
        let pause = e.pause.as_ref().map_or(0, |p| p.value) as f64;
        let jitter = e.jitter.as_ref().map_or(0.0, |j| j.value.clamp(0.0, 1.0));
        (pause * (1.0 + jitter) * f64::from(attempts.saturating_sub(1))) as Micros
    }
}

fn fixed_span(s: &Setting<Wait>) -> Option<Micros> {
    match s.value {
        Wait::After(t) => Some(t),
        Wait::Quantile(_) => None,
    }
}
