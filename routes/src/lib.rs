//! Routes: which requests get which time-outs, attempts and second copies. It owns what a route is, which one wins, what
//! its terms come to for a class, and the rules that terms have to keep. It must never read a file or a clock, send
//! anything, or decide on an attempt: its terms travel with the request and the module decides.
//!
//! **Which route wins.** The most specific one that matches, by the first of these in which two differ: a host over
//! none; the longer path prefix; the longer prefix of the object; a part range, the narrower; groups, the fewer; the
//! longer client network; a class over none. Two that match a request alike are a tie, which is refused at load.
//!
//! **Its terms.** Field by field: what the route sets, else what its class sets, else the default, else nothing, and
//! then the module's own figures stand alone. All spans are microseconds.
//!
//! ```
//! use threadward_routes::terms::Setting;
//! use threadward_routes::{check, Location, Matches, Platform, Prefix, Request, Route, RouteConfig, Table, Terms};
//!
//! let at = |line| Location { file: "routes.toml".into(), line, column: 1 };
//! let attempts = |value, line| Terms { attempts: Some(Setting { value, at: at(line) }), ..Terms::default() };
//! let route = |name: &str, line, matches, terms| Route { name: name.into(), at: at(line), matches, terms };
//! let video = Matches { class: Some(0), ..Matches::default() };
//! let hot = Matches { object: Prefix::parse("7f3").unwrap(), ..Matches::default() };
//! let mut sheet = RouteConfig {
//!     default: attempts(2, 1),
//!     classes: vec![Terms::default()],
//!     routes: vec![route("video", 5, video, Terms::default()), route("hot", 9, hot, attempts(3, 10))],
//! };
//! let class = nickelgate::Class { deadline: 4_000_000, ..Default::default() };
//! let settings = nickelgate::Settings { classes: vec![class], max_attempts: 3, ..Default::default() };
//! let platform = Platform { settings, classes: vec!["video".into()], connect: 400_000 };
//! assert!(check(&sheet, &platform).is_empty());
//!
//! // A longer prefix of the object goes before a class, wherever the routes stand in the file.
//! let table = Table::new(&sheet.routes);
//! let client = "10.0.0.1".parse().unwrap();
//! let mut r = Request { class: 0, group: 1, object: 0x7f30 << 48, part: 0, client, link: None };
//! let attempts_of = |i: usize| {
//!     let t = Terms::of(&[&sheet.routes[i].terms, &sheet.classes[0], &sheet.default]);
//!     t.attempts.map(|a| (a.value, a.at.line))
//! };
//! assert_eq!(table.find(&r).map(attempts_of), Some(Some((3, 10))));
//! r.object = 0;
//! assert_eq!(table.find(&r).map(attempts_of), Some(Some((2, 1))), "the route sets none, the default does");
//!
//! // A sheet that breaks a rule is refused, with the place.
//! sheet.default = attempts(4, 1);
//! let said = check(&sheet, &platform)[0].to_string();
//! assert!(said.starts_with("routes.toml:1:1: the default: 4 attempts of 3 at most; the rule: "), "{said}");
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod check;
pub mod cover;
pub mod table;
pub mod terms;

pub use check::{check, Platform, Rule, Violation};
pub use table::{Request, Table};
pub use terms::{Terms, Wait};

use ipnet::IpNet;
use std::fmt;
use std::ops::RangeInclusive;
use std::rc::Rc;

/// Routes that a file may hold.
pub const MAX_ROUTES: usize = 200_000;
/// Networks and ranges of groups that one route may list.
pub const MAX_LIST_ENTRIES: usize = 64;

/// Where something stands in a file.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Location {
    /// Its name, as operators gave it.
    pub file: Rc<str>,
    /// From 1.
    pub line: u32,
    /// From 1.
    pub column: u32,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// A prefix of an object's 64 bits, the first ones first.
///
/// ```
/// use threadward_routes::Prefix;
///
/// let p = Prefix::parse("7f3").unwrap();
/// assert!(p.is_prefix_of(0x7f3a_0000_0000_0000) && !p.is_prefix_of(0x7f4a_0000_0000_0000));
/// assert_eq!(p, Prefix::new(0x7f3f << 48, 12), "what lies beyond the length does not count");
/// assert_eq!(Prefix::parse("7g"), None);
/// assert!(Prefix::default().is_prefix_of(7), "of no length: all");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Prefix {
    /// The bits, from the highest on; those beyond the length are 0.
    pub bits: u64,
    /// How many of them count, 0 to 64.
    pub len: u8,
}

impl Prefix {
    /// Bits beyond the length are cleared.
    pub fn new(bits: u64, len: u8) -> Prefix {
        let len = len.min(64);
        Prefix { bits: bits & mask(len), len }
    }
    /// One in the hexadecimal digits that objects are written in, 1 to 16 of them.
    pub fn parse(hex: &str) -> Option<Prefix> {
        let digits = hex.len();
        let fits = (1..=16).contains(&digits) && hex.bytes().all(|b| b.is_ascii_hexdigit());
        let bits = u64::from_str_radix(hex, 16).ok().filter(|_| fits)?;
        Some(Prefix::new(bits << (64 - 4 * digits), 4 * digits as u8))
    }
    /// Whether an object begins with it.
    pub fn is_prefix_of(self, object: u64) -> bool {
        object & mask(self.len) == self.bits
    }
}

pub(crate) fn mask(len: u8) -> u64 {
    if len == 0 {
        0
    } else {
        u64::MAX << (64 - len)
    }
}

/// What a route asks of a request. What is left out matches all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Matches {
    /// Place of the class in the settings.
    pub class: Option<u8>,
    /// Ranges of groups; none: all.
    pub groups: Vec<RangeInclusive<u16>>,
    /// A prefix of the object; of no length: all.
    pub object: Prefix,
    /// Which parts of the object.
    pub part: Option<RangeInclusive<u32>>,
    /// Clients' networks; none: all.
    pub clients: Vec<IpNet>,
    /// The signed front only: the host, in lower case.
    pub host: Option<Box<str>>,
    /// The signed front only: a prefix of the path that ends at a step of it; empty: all, of both fronts.
    pub path: Box<str>,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Letters, digits, - and _, 64 at most; no other route has it.
    pub name: Rc<str>,
    /// Where it stands.
    pub at: Location,
    /// What it asks of a request.
    pub matches: Matches,
    /// What it sets.
    pub terms: Terms,
}

/// All that a file sets, checked for form and not yet for the rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteConfig {
    /// What holds where neither route nor class sets it.
    pub default: Terms,
    /// By place of the class in the settings.
    pub classes: Vec<Terms>,
    /// All routes, in the order of the file, which decides nothing.
    pub routes: Vec<Route>,
}

/// Whether a path lies under a prefix, step by step.
///
/// ```
/// use threadward_routes::path_is_under;
///
/// assert!(path_is_under("/a", "/a") && path_is_under("/a/b", "/a/") && !path_is_under("/ab", "/a"));
/// ```
pub fn path_is_under(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn prefixes_and_paths_match_whole_steps() {
        let p = Prefix::parse("7f3").unwrap();
        assert!(p.is_prefix_of(0x7f3a_9c21_e0b4_d655) && !p.is_prefix_of(0x7f4a_9c21_e0b4_d655));
        assert_eq!(p.len, 12);
        assert!(
            Prefix::default().is_prefix_of(5)
                && Prefix::parse("7f3a9c21e0b4d655").unwrap().is_prefix_of(0x7f3a_9c21_e0b4_d655)
        );
        for bad in ["", "xyz", "+1", "7f3a9c21e0b4d6550"] {
            assert_eq!(Prefix::parse(bad), None, "{bad}");
        }
        assert!(
            path_is_under("/a/b", "/a")
                && path_is_under("/a", "/a/")
                && path_is_under("/x", "")
                && !path_is_under("/ab", "/a")
        );
    }
}
