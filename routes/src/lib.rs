//! Routes: operators' rules that say which requests get which timeouts, attempts and second parallel
//! attempts. The crate defines routes, the look-up of the route that applies to a request, the terms that
//! result for a class, and the checks that a route file must pass. It does no I/O, reads no clock and starts
//! no attempts: the terms travel with the request and the router acts on them.
//!
//! **Which route wins.** The most specific one that matches, by the first of these criteria in which two
//! differ: a host over none; the longer path prefix; the longer object prefix; the narrower range of parts;
//! the fewer groups; the longer client network; a class over none. Two routes that match a request with equal
//! specificity are a tie, and a file with a tie is refused when it is loaded.
//!
//! **Effective terms.** Each field is taken from the route if it sets the field, else from the class, else
//! from the default. A field that none of them sets stays unset, and the router uses its own value. All spans
//! are microseconds.
//!
//! ```
//! use threadward_routes::terms::Setting;
//! use threadward_routes::{check, Location, Matches, Platform, Prefix, Request};
//! use threadward_routes::{Route, RouteConfig, Table, Terms};
//!
//! let at = |line| Location { file: "routes.toml".into(), line, column: 1 };
//! let setting = |value, line| Some(Setting { value, at: at(line) });
//! let attempts = |value, line| Terms { attempts: setting(value, line), ..Terms::default() };
//! let route = |name: &str, line, matches, terms| Route { name: name.into(), at: at(line), matches, terms };
//! let video = Matches { class: Some(0), ..Matches::default() };
//! let hot = Matches { object: Prefix::parse("7f3").unwrap(), ..Matches::default() };
//! let mut config = RouteConfig {
//!     default: attempts(2, 1),
//!     classes: vec![Terms::default()],
//!     routes: vec![route("video", 5, video, Terms::default()), route("hot", 9, hot, attempts(3, 10))],
//! };
//! let class = nickelgate::Class { deadline: 4_000_000, ..Default::default() };
//! let settings = nickelgate::Settings { classes: vec![class], max_attempts: 3, ..Default::default() };
//! let platform = Platform { settings, classes: vec!["video".into()], connect: 400_000 };
//! assert!(check(&config, &platform).is_empty());
//!
//! // An object prefix is more specific than a class, whatever the order of the routes in the file.
//! let table = Table::new(&config.routes);
//! let client = "10.0.0.1".parse().unwrap();
//! let mut r = Request { class: 0, group: 1, object: 0x7f30 << 48, part: 0, client, link: None };
//! let attempts_of = |i: usize| {
//!     let t = Terms::of(&[&config.routes[i].terms, &config.classes[0], &config.default]);
//!     t.attempts.map(|a| (a.value, a.at.line))
//! };
//! assert_eq!(table.find(&r).map(attempts_of), Some(Some((3, 10))));
//! r.object = 0;
//! assert_eq!(table.find(&r).map(attempts_of), Some(Some((2, 1))), "the route sets none, the default does");
//!
//! // A configuration that breaks a rule is refused, and the message names the location.
//! config.default = attempts(4, 1);
//! let message = check(&config, &platform)[0].to_string();
//! let expected = "routes.toml:1:1: the default: 4 attempts of 3 at most; the rule: ";
//! assert!(message.starts_with(expected), "{message}");
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

/// Largest number of routes in a file.
pub const MAX_ROUTES: usize = 200_000;
/// Largest number of networks, and of ranges of groups, that one route may list.
pub const MAX_LIST_ENTRIES: usize = 64;

/// A location in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Location {
    /// The file's name as the operators gave it.
    pub file: Rc<str>,
    /// Line, from 1.
    pub line: u32,
    /// Column, from 1.
    pub column: u32,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// A prefix of an object's 64 bits, from the most significant bit on.
///
/// ```
/// use threadward_routes::Prefix;
///
/// let p = Prefix::parse("7f3").unwrap();
/// assert!(p.is_prefix_of(0x7f3a_0000_0000_0000) && !p.is_prefix_of(0x7f4a_0000_0000_0000));
/// assert_eq!(p, Prefix::new(0x7f3f << 48, 12), "bits beyond the length are ignored");
/// assert_eq!(Prefix::parse("7g"), None);
/// assert!(Prefix::default().is_prefix_of(7), "the empty prefix matches every object");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Prefix {
    /// The bits, from the most significant on; those beyond the length are 0.
    pub bits: u64,
    /// Length in bits, 0 to 64.
    pub len: u8,
}

impl Prefix {
    /// Creates a prefix; bits beyond the length are cleared.
    pub fn new(bits: u64, len: u8) -> Prefix {
        let len = len.min(64);
        Prefix { bits: bits & mask(len), len }
    }
    /// Parses a prefix of 1 to 16 hexadecimal digits, as objects are written.
    pub fn parse(hex: &str) -> Option<Prefix> {
        let digits = hex.len();
        let fits = (1..=16).contains(&digits) && hex.bytes().all(|b| b.is_ascii_hexdigit());
        let bits = u64::from_str_radix(hex, 16).ok().filter(|_| fits)?;
        Some(Prefix::new(bits << (64 - 4 * digits), 4 * digits as u8))
    }
    /// Returns whether an object begins with this prefix.
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

/// The conditions of a route. A condition that is left out matches every request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Matches {
    /// Index of the class in the settings.
    pub class: Option<u8>,
    /// Ranges of purge groups; an empty list matches all.
    pub groups: Vec<RangeInclusive<u16>>,
    /// A prefix of the object; the empty prefix matches all.
    pub object: Prefix,
    /// A range of parts of the object.
    pub part: Option<RangeInclusive<u32>>,
    /// Networks of clients; an empty list matches all.
    pub clients: Vec<IpNet>,
    /// The host, in lower case. Only requests of the signed front have one.
    pub host: Option<Box<str>>,
    /// A prefix of whole segments of the path, which only requests of the signed front have. An empty one
    /// matches all requests of both fronts.
    pub path: Box<str>,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Unique name: at most 64 letters, digits, - and _.
    pub name: Rc<str>,
    /// Its location in the file.
    pub at: Location,
    /// The requests that it applies to.
    pub matches: Matches,
    /// The terms that it sets.
    pub terms: Terms,
}

/// The content of a route file: parsed, but not yet checked against the [`Rule`]s.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteConfig {
    /// Terms for what neither the route nor the class sets.
    pub default: Terms,
    /// Terms of each class, in the order of the classes in the settings.
    pub classes: Vec<Terms>,
    /// All routes in the order of the file, which doesn't affect which route wins.
    pub routes: Vec<Route>,
}

/// Returns whether a path lies under a prefix, compared by whole path segments.
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
    fn prefixes_match_leading_digits_and_paths_match_whole_segments() {
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
