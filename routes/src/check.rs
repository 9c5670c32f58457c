//! The rules that terms have to keep: what the platform's settings and the rules on lost requests and repeats allow. It
//! owns the list of rules and their messages. It must never let a file pass that could make a request of a forbidden
//! class run twice or an answer come after the client has given up; where it can't tell, it refuses.
//!
//! All faults of a sheet are found in one pass, each once, in the order of the file.
use crate::cover::{shadowed, ties};
use crate::terms::{Setting, Terms, Wait};
use crate::{Location, Route, RouteConfig, MAX_LIST_ENTRIES, MAX_ROUTES};
use nickelgate::{DedupGroup, Effect, Micros, Settings};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Under this no answer can come over a network at all.
pub const MIN_SPAN: Micros = 10_000;
/// The least span for a connection: three times the way of a packet and back that networks here have.
pub const MIN_CONNECT_SPAN: Micros = 5_000;

/// What the rules rest on: the platform's settings and the names of its classes.
#[derive(Clone, Debug)]
pub struct Platform {
    /// What the platform tells every router.
    pub settings: Settings,
    /// The names of its classes, in their order.
    pub classes: Vec<String>,
    /// The longest that a connection may take to come up, in microseconds.
    pub connect: Micros,
}

macro_rules! rules {
    ($($name:ident $text:literal $remedy:literal,)*) => {
        /// What a fault breaks.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Rule { $(#[doc = $text] $name,)* }
        impl Rule {
            /// All of them, in the order of faults at one place.
            pub const ALL: &'static [Rule] = &[$(Rule::$name,)*];
            /// The rule in words.
            pub fn text(self) -> &'static str {
                match self { $(Rule::$name => $text,)* }
            }
            /// How to mend it.
            pub fn remedy(self) -> &'static str {
                match self { $(Rule::$name => $remedy,)* }
            }
        }
    };
}
rules! {
    Repeat "a class that forbids repeats gets one attempt" "set attempts = 1 for it",
    Second "a second copy needs a class that may be repeated and settings that allow two attempts at once"
        "leave `second` out for it",
    Window "every attempt of a keyed class leaves within its dedupe window" "fewer attempts, or a shorter deadline",
    GiveUp "no deadline is later than the client's give-up" "shorten it to the class's, or leave it out",
    Floor "no span is shorter than the network allows" "make it longer",
    Fit "attempts and pauses fit into the deadline" "fewer attempts, shorter pauses or shorter patience",
    Tries "attempts lie from 1 to what the settings allow" "lower it to the settings' most_tries",
    Range "a quantile lies from 0.5 to 0.999, a share or jitter from 0 to 1" "put it into the range",
    Order "the first byte comes before the whole answer, and both before the deadline" "shorten the inner one",
    Connect "a connection comes up within the settings' time and the deadline" "shorten it",
    Ageing "only a class whose copies age can serve an ageing one" "leave `ageing` out for it",
    Class "a class is one of the settings'" "correct the name",
    Group "groups lie from 0 to 255, from the lower to the higher" "correct the range",
    Part "a range of parts goes from the lower to the higher" "turn it round",
    Many "a file holds 200,000 routes at most, a route 64 ranges and networks" "split the route",
    Name "each route has a name of its own, of letters, digits, - and _, 64 at most" "rename one",
    Tie "no request matches two routes alike" "make one of them more specific",
    Shadowed "each route wins for some request" "take it out, or make it more specific",
}

/// One fault: where, what, and which rule.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// Where the figure or route stands that breaks the rule.
    pub at: Location,
    /// Which rule.
    pub rule: Rule,
    /// Whose figure it is, and what is wrong with it.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {}; the rule: {}; to mend it: {}",
            self.at,
            self.what,
            self.rule.text(),
            self.rule.remedy()
        )
    }
}

/// Finds the faults. Rules are left out in `without` by the tests of this checker alone.
struct Checker<'a> {
    platform: &'a Platform,
    without: Option<Rule>,
    faults: BTreeSet<Violation>,
}

/// All faults of a sheet; none: it may be taken over. Each shows itself in one line, with its place and how to mend it.
///
/// ```
/// use threadward_routes::{check, terms::Setting, Location, Platform, Rule, RouteConfig, Terms, Wait};
///
/// let class = nickelgate::Class { effect: nickelgate::Effect::NotRetryable, deadline: 3_000_000, ..Default::default() };
/// let settings = nickelgate::Settings { classes: vec![class], parallel_attempts: true, max_attempts: 8, ..Default::default() };
/// let platform = Platform { settings, classes: vec!["orders".into()], connect: 400_000 };
/// let at = Location { file: "routes".into(), line: 7, column: 3 };
/// let second = Some(Setting { value: Wait::After(200_000), at });
/// let sheet = RouteConfig { classes: vec![Terms { second, ..Terms::default() }], ..RouteConfig::default() };
/// let faults = check(&sheet, &platform);
/// assert_eq!((faults.len(), faults[0].rule), (1, Rule::Second));
/// assert!(faults[0].to_string().starts_with("routes:7:3: class orders: a second copy; the rule: "));
/// ```
pub fn check(sheet: &RouteConfig, platform: &Platform) -> Vec<Violation> {
    check_without(sheet, platform, None)
}

/// The same with one rule left out: a mutant, which the tests have to find out.
#[doc(hidden)]
pub fn check_without(sheet: &RouteConfig, platform: &Platform, without: Option<Rule>) -> Vec<Violation> {
    let mut c = Checker { platform, without, faults: BTreeSet::new() };
    c.sheet(sheet);
    c.faults.into_iter().collect()
}

impl Checker<'_> {
    fn fault(&mut self, rule: Rule, at: &Location, what: String) {
        if self.without != Some(rule) {
            self.faults.insert(Violation { at: at.clone(), rule, what });
        }
    }

    fn sheet(&mut self, sheet: &RouteConfig) {
        if sheet.routes.len() > MAX_ROUTES {
            let last = &sheet.routes[MAX_ROUTES];
            return self.fault(Rule::Many, &last.at, format!("route {} is one too many", last.name));
        }
        self.ranges(&sheet.default, "the default");
        for (i, t) in sheet.classes.iter().enumerate() {
            let name = self.class(i as u8);
            self.ranges(t, &name);
        }
        let mut names: BTreeMap<&str, &Location> = BTreeMap::new();
        for r in &sheet.routes {
            let plain = |c: u8| c.is_ascii_alphanumeric() || c == b'-' || c == b'_';
            if r.name.is_empty() || r.name.len() > 64 || !r.name.bytes().all(plain) {
                self.fault(Rule::Name, &r.at, format!("'{}' is no name for a route", r.name));
            } else if let Some(first) = names.insert(&r.name, &r.at) {
                self.fault(Rule::Name, &r.at, format!("route {} stands at {first} already", r.name));
            }
            self.matches(r);
            self.ranges(&r.terms, &format!("route {}", r.name));
        }
        // What each class gets under each route that could win for it, and under none.
        let none = Terms::default();
        for class in 0..self.platform.settings.classes.len() {
            let own = sheet.classes.get(class).unwrap_or(&none);
            self.terms(class, &Terms::of(&[own, &sheet.default]), &self.class(class as u8));
            for r in &sheet.routes {
                if r.matches.class.is_none_or(|c| usize::from(c) == class) {
                    let who = format!("route {} for {}", r.name, self.class(class as u8));
                    self.terms(class, &Terms::of(&[&r.terms, own, &sheet.default]), &who);
                }
            }
        }
        for t in ties(&sheet.routes) {
            let (a, b) = (&sheet.routes[t.first], &sheet.routes[t.second]);
            self.fault(Rule::Tie, &b.at, format!("routes {} ({}) and {} tie", a.name, a.at, b.name));
        }
        for i in shadowed(&sheet.routes) {
            let r = &sheet.routes[i];
            self.fault(Rule::Shadowed, &r.at, format!("route {} can never win", r.name));
        }
    }

    fn class(&self, class: u8) -> String {
        let name = self.platform.classes.get(usize::from(class));
        name.map_or_else(|| format!("class {class}"), |n| format!("class {n}"))
    }

    fn matches(&mut self, r: &Route) {
        let m = &r.matches;
        if m.class.is_some_and(|c| usize::from(c) >= self.platform.settings.classes.len()) {
            self.fault(Rule::Class, &r.at, format!("route {} names no class of the settings", r.name));
        }
        if m.groups.iter().any(|g| g.start() > g.end() || *g.end() > 255) {
            self.fault(Rule::Group, &r.at, format!("route {} names groups that do not exist", r.name));
        }
        if m.part.as_ref().is_some_and(|p| p.start() > p.end()) {
            self.fault(Rule::Part, &r.at, format!("route {} names no part", r.name));
        }
        if m.clients.len() > MAX_LIST_ENTRIES || m.groups.len() > MAX_LIST_ENTRIES {
            self.fault(Rule::Many, &r.at, format!("route {} lists too much", r.name));
        }
    }

    /// What is wrong whatever the class.
    fn ranges(&mut self, t: &Terms, who: &str) {
        let spans = [("deadline", &t.deadline, MIN_SPAN), ("connect", &t.connect, MIN_CONNECT_SPAN)];
        for (what, set, least) in spans {
            if let Some(s) = set.as_ref().filter(|s| s.value < least) {
                self.fault(Rule::Floor, &s.at, format!("{who}: {what} of {} us", s.value));
            }
        }
        for (what, set) in [("first_byte", &t.first_byte), ("whole", &t.whole), ("second", &t.second)] {
            let Some(s) = set else { continue };
            match s.value {
                Wait::After(x) if x < MIN_SPAN => {
                    self.fault(Rule::Floor, &s.at, format!("{who}: {what} of {x} us"));
                }
                Wait::Quantile(q) if !(0.5..=0.999).contains(&q) => {
                    self.fault(Rule::Range, &s.at, format!("{who}: {what} at the quantile {q}"));
                }
                _ => {}
            }
        }
        for (what, set) in [("jitter", &t.jitter), ("budget", &t.budget)] {
            if let Some(s) = set.as_ref().filter(|s| !(0.0..=1.0).contains(&s.value)) {
                self.fault(Rule::Range, &s.at, format!("{who}: {what} of {}", s.value));
            }
        }
        let most = self.platform.settings.max_attempts.max(1);
        if let Some(s) = t.attempts.as_ref().filter(|s| s.value == 0 || s.value > most) {
            self.fault(Rule::Tries, &s.at, format!("{who}: {} attempts of {most} at most", s.value));
        }
    }

    /// What is wrong for a class.
    fn terms(&mut self, class: usize, e: &Terms, who: &str) {
        let s = &self.platform.settings;
        let c = s.classes[class].clone();
        let (parallel, connect) = (s.parallel_attempts, self.platform.connect);
        let attempts = e.attempts.as_ref().map_or(1, |a| a.value);
        let more = e.attempts.as_ref().filter(|a| a.value > 1);
        if let Some(a) = more.filter(|_| c.effect == Effect::NotRetryable) {
            self.fault(Rule::Repeat, &a.at, format!("{who}: {attempts} attempts"));
        }
        if let Some(x) = &e.second {
            if !parallel
                || c.effect == Effect::NotRetryable
                || c.pass_through && c.dedup_group != DedupGroup::All
            {
                self.fault(Rule::Second, &x.at, format!("{who}: a second copy"));
            }
        }
        let deadline = e.deadline.as_ref().map_or(c.deadline, |d| d.value.min(c.deadline));
        if let Some(d) = e.deadline.as_ref().filter(|d| d.value > c.deadline) {
            let late = d.value;
            self.fault(Rule::GiveUp, &d.at, format!("{who}: {late} us, the client waits {} us", c.deadline));
        }
        // Whatever the patience, an attempt may hang until just before the deadline and the next one leave then.
        let repeats = more.map(|a| &a.at).or(e.second.as_ref().map(|x| &x.at));
        if let Some(at) = repeats.filter(|_| c.effect == Effect::Dedup) {
            let window = c.dedup_window;
            if deadline > window {
                self.fault(Rule::Window, at, format!("{who}: one may leave after {deadline} us of {window}"));
            }
        }
        if let Some(a) = more {
            let patience =
                [&e.first_byte, &e.whole].into_iter().flatten().filter_map(after).min().unwrap_or(0);
            let need = self.pauses(e, attempts) + patience.saturating_mul(u64::from(attempts) - 1);
            if need >= deadline {
                self.fault(
                    Rule::Fit,
                    &a.at,
                    format!("{who}: the last attempt would begin after {need} us of {deadline}"),
                );
            }
        }
        let inner = e.first_byte.as_ref().zip(e.whole.as_ref());
        if let Some((f, w)) = inner.and_then(|(f, w)| Some((f, after(f)? > after(w)?))) {
            if w {
                self.fault(Rule::Order, &f.at, format!("{who}: first_byte over whole"));
            }
        }
        for (what, set) in [("first_byte", &e.first_byte), ("whole", &e.whole), ("second", &e.second)] {
            if let Some(x) = set.as_ref().filter(|x| after(x).is_some_and(|t| t >= deadline)) {
                self.fault(
                    Rule::Order,
                    &x.at,
                    format!("{who}: {what} not before the deadline of {deadline} us"),
                );
            }
        }
        if let Some(x) = e.connect.as_ref().filter(|x| x.value > connect || x.value >= deadline) {
            self.fault(Rule::Connect, &x.at, format!("{who}: {} us, {connect} us at most", x.value));
        }
        if let Some(x) = e.ageing.as_ref().filter(|x| x.value && (c.fresh_for == 0 || c.pass_through)) {
            self.fault(Rule::Ageing, &x.at, format!("{who}: an ageing copy"));
        }
    }

    /// All pauses together at their longest.
    fn pauses(&self, e: &Terms, attempts: u32) -> Micros {
        let pause = e.pause.as_ref().map_or(0, |p| p.value) as f64;
        let jitter = e.jitter.as_ref().map_or(0.0, |j| j.value.clamp(0.0, 1.0));
        (pause * (1.0 + jitter) * f64::from(attempts.saturating_sub(1))) as Micros
    }
}

fn after(s: &Setting<Wait>) -> Option<Micros> {
    match s.value {
        Wait::After(t) => Some(t),
        Wait::Quantile(_) => None,
    }
}
