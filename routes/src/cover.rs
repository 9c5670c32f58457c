//! Detection of ties and of routes that can never win. What a route matches is compared as boxes in six
//! dimensions plus a set of groups. A route is only reported as shadowed if no request can reach it: where
//! the search exceeds its limits, the route is not reported.
use crate::table::{group_bitset, rank, Rank};
use crate::{mask, Matches, Route};
use ipnet::IpNet;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Largest number of steps of the search for a cover of one route.
const MAX_COVER_STEPS: usize = 20_000;
/// Largest number of boxes of more specific routes that are compared with one box of a route.
const MAX_CANDIDATES: usize = 256;

/// Two routes that a request could match with equal specificity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tie {
    /// Index of the first route in the configuration.
    pub first: usize,
    /// Index of the other route, which is greater.
    pub second: usize,
}

/// Returns the pairs of routes of equal rank that some request matches both of. Routes of equal rank overlap
/// only where host, path, object, network and class are the same, so only routes with the same key are
/// compared.
///
/// ```
/// use threadward_routes::{cover::{ties, Tie}, Location, Matches, Route, Terms};
///
/// let route = |groups| Route {
///     name: "r".into(),
///     at: Location { file: "f".into(), line: 1, column: 1 },
///     matches: Matches { groups: vec![groups], ..Matches::default() },
///     terms: Terms::default(),
/// };
/// assert_eq!(ties(&[route(0..=9), route(10..=19), route(9..=18)]).len(), 2);
/// assert_eq!(ties(&[route(0..=9), route(9..=18)]), [Tie { first: 0, second: 1 }]);
/// assert!(ties(&[route(0..=9), route(9..=17)]).is_empty(), "fewer groups are more specific");
/// ```
pub fn ties(routes: &[Route]) -> Vec<Tie> {
    type Key<'a> = (Option<&'a str>, &'a str, crate::Prefix, Option<IpNet>, Option<u8>);
    let mut by_key: HashMap<Key<'_>, Vec<usize>> = HashMap::new();
    for (i, r) in routes.iter().enumerate() {
        let m = &r.matches;
        let key = |net| (m.host.as_deref(), m.path.trim_end_matches('/'), m.object, net, m.class);
        if m.clients.is_empty() {
            by_key.entry(key(None)).or_default().push(i);
        }
        for net in m.clients.iter().map(IpNet::trunc).collect::<BTreeSet<_>>() {
            by_key.entry(key(Some(net))).or_default().push(i);
        }
    }
    let mut found = BTreeSet::new();
    for group in by_key.values() {
        for (n, first) in group.iter().enumerate() {
            for second in &group[n + 1..] {
                let (a, b) = (&routes[*first].matches, &routes[*second].matches);
                let (ra, rb) = (rank(a, None), rank(b, None));
                if ra == rb && overlap(a, b) {
                    found.insert((*first.min(second), *first.max(second)));
                }
            }
        }
    }
    found.into_iter().map(|(first, second)| Tie { first, second }).collect()
}

/// Returns whether two routes have a part and a group in common.
fn overlap(a: &Matches, b: &Matches) -> bool {
    let parts_overlap = match (&a.part, &b.part) {
        (Some(x), Some(y)) => x.start() <= y.end() && y.start() <= x.end(),
        _ => true,
    };
    let (x, y) = (group_bitset(&a.groups), group_bitset(&b.groups));
    parts_overlap && (0..4).any(|i| x[i] & y[i] != 0)
}

/// The set of requests that a route matches: an inclusive range in each dimension (host, path, object, part,
/// client, class) and a set of groups.
#[derive(Clone, Debug, PartialEq)]
struct MatchBox {
    ranges: [(u128, u128); 6],
    groups: [u64; 4],
}

impl MatchBox {
    fn intersects(&self, o: &MatchBox) -> bool {
        let ranges = self.ranges.iter().zip(&o.ranges).all(|(a, b)| a.0 <= b.1 && b.0 <= a.1);
        ranges && (0..4).any(|i| self.groups[i] & o.groups[i] != 0)
    }
    /// Returns what remains of this box outside another one that it intersects.
    fn subtract(&self, o: &MatchBox) -> Vec<MatchBox> {
        let (mut rest, mut inside_box) = (Vec::new(), self.clone());
        for d in 0..6 {
            let ((from, to), (a, b)) = (inside_box.ranges[d], o.ranges[d]);
            if from < a {
                let mut left = inside_box.clone();
                left.ranges[d] = (from, a - 1);
                rest.push(left);
                inside_box.ranges[d].0 = a;
            }
            if to > b {
                let mut right = inside_box.clone();
                right.ranges[d] = (b + 1, to);
                rest.push(right);
                inside_box.ranges[d].1 = b;
            }
        }
        let outside: [u64; 4] = std::array::from_fn(|i| inside_box.groups[i] & !o.groups[i]);
        if outside != [0; 4] {
            rest.push(MatchBox { groups: outside, ..inside_box });
        }
        rest
    }
}

/// Numbers for hosts and paths, chosen so that each path prefix is a range of numbers.
struct NameNumbers<'a> {
    hosts: BTreeMap<&'a str, u128>,
    paths: BTreeMap<&'a str, (u128, u128)>,
}

fn name_numbers(routes: &[Route]) -> NameNumbers<'_> {
    let hosts: BTreeSet<&str> = routes.iter().filter_map(|r| r.matches.host.as_deref()).collect();
    let mut all: Vec<&str> = routes.iter().map(|r| r.matches.path.trim_end_matches('/')).collect();
    // Sorted by segments, so that what lies under a prefix follows it.
    all.sort_by(|a, b| a.split('/').cmp(b.split('/')));
    all.dedup();
    let mut paths = BTreeMap::new();
    for (i, p) in all.iter().enumerate() {
        let paths_under = all[i..].iter().take_while(|q| crate::path_is_under(q, p)).count();
        // Each prefix has a number of its own for the requests that lie under no deeper prefix.
        paths.insert(*p, (i as u128, (i + paths_under - 1) as u128));
    }
    // Number 0 stands for all other hosts.
    NameNumbers { hosts: hosts.into_iter().zip(1..).collect(), paths }
}

fn boxes(m: &Matches, n: &NameNumbers<'_>) -> Vec<(MatchBox, Rank)> {
    let host = m.host.as_deref().and_then(|h| n.hosts.get(h)).map_or((0, u128::from(u64::MAX)), |h| (*h, *h));
    let path = n.paths.get(m.path.trim_end_matches('/')).copied().unwrap_or((0, u128::MAX));
    // A route without a path also matches requests of the platform's front, which lie outside all numbers.
    let path = if m.path.is_empty() { (0, u128::MAX) } else { path };
    let object = (u128::from(m.object.bits), u128::from(m.object.bits | !mask(m.object.len)));
    let part =
        m.part.as_ref().map_or((0, u128::from(u32::MAX)), |p| ((*p.start()).into(), (*p.end()).into()));
    let class = m.class.map_or((0, 255), |c| (c.into(), c.into()));
    let match_box = |client: (u128, u128), net| {
        let ranges = [host, path, object, part, client, class];
        (MatchBox { ranges, groups: group_bitset(&m.groups) }, rank(m, net))
    };
    if m.clients.is_empty() {
        return vec![match_box((0, u128::MAX), None)];
    }
    let mapped = |a: std::net::Ipv4Addr| u128::from(a.to_ipv6_mapped());
    let v4 = (mapped(std::net::Ipv4Addr::UNSPECIFIED), mapped(std::net::Ipv4Addr::BROADCAST));
    // IPv4 addresses are compared as IPv4-mapped IPv6 addresses (RFC 4291, section 2.5.5.2). No IPv6 network
    // matches these, so that range is cut out of IPv6 networks.
    let client_ranges = |net: &IpNet| match net {
        IpNet::V4(v) => vec![(mapped(v.network()), mapped(v.broadcast()))],
        IpNet::V6(v) => {
            let (from, to) = (u128::from(v.network()), u128::from(v.broadcast()));
            let outside = [(from, to.min(v4.0 - 1)), (from.max(v4.1 + 1), to)];
            outside.into_iter().filter(|s| s.0 <= s.1).collect()
        }
    };
    m.clients
        .iter()
        .flat_map(|net| client_ranges(net).into_iter().map(move |s| (s, net)))
        .map(|(s, net)| match_box(s, Some(net)))
        .collect()
}

/// Returns the indices of the routes that can never win because more specific ones take every request that
/// they match.
///
/// ```
/// use threadward_routes::{cover::shadowed, Location, Matches, Prefix, Route, Terms};
///
/// let route = |hex: &str| Route {
///     name: "r".into(),
///     at: Location { file: "f".into(), line: 1, column: 1 },
///     matches: Matches { object: Prefix::parse(hex).unwrap_or_default(), ..Matches::default() },
///     terms: Terms::default(),
/// };
/// let mut routes: Vec<Route> = "0123456789abcdef".chars().map(|c| route(&format!("7{c}"))).collect();
/// routes.push(route("7"));
/// assert_eq!(shadowed(&routes), [16], "the sixteen together cover all of it");
/// assert!(shadowed(&routes[1..]).is_empty());
/// ```
pub fn shadowed(routes: &[Route]) -> Vec<usize> {
    let name_numbers = name_numbers(routes);
    let boxes_of_routes: Vec<Vec<(MatchBox, Rank)>> =
        routes.iter().map(|r| boxes(&r.matches, &name_numbers)).collect();
    // A route can only be covered by routes that have the same host or none and overlap with it in the
    // object. An index over all pairs would be large, so candidates are gathered by the start of their object
    // range.
    let mut by_object: BTreeMap<u128, Vec<usize>> = BTreeMap::new();
    for (i, boxes) in boxes_of_routes.iter().enumerate() {
        by_object.entry(boxes[0].0.ranges[2].0).or_default().push(i);
    }
    let covered = |i: usize| {
        let mut steps_left = MAX_COVER_STEPS;
        boxes_of_routes[i].iter().all(|(match_box, own)| {
            let (from, to) = match_box.ranges[2];
            // A more specific route either starts inside this object range, or has a shorter object prefix
            // that starts before it and is more specific in another dimension.
            let inside = by_object.range(from..=to).flat_map(|(_, v)| v);
            let before = (0..64).filter_map(|len| {
                let start = u128::from(from as u64 & mask(len));
                (start < from).then(|| by_object.get(&start)).flatten()
            });
            let mut candidates = Vec::new();
            for j in inside.chain(before.flatten()) {
                let more_specific = boxes_of_routes[*j]
                    .iter()
                    .filter(|(c, rank)| *j != i && rank > own && c.intersects(match_box));
                candidates.extend(more_specific.map(|(c, _)| c));
                if candidates.len() > MAX_CANDIDATES {
                    return false;
                }
            }
            is_covered(vec![match_box.clone()], &candidates, &mut steps_left)
        })
    };
    (0..routes.len()).filter(|i| covered(*i)).collect()
}

/// Returns whether `others` cover `boxes` completely; false also if `steps_left` reaches 0 first.
fn is_covered(mut boxes: Vec<MatchBox>, others: &[&MatchBox], steps_left: &mut usize) -> bool {
    while let Some(match_box) = boxes.pop() {
        if *steps_left == 0 {
            return false;
        }
        *steps_left -= 1;
        match others.iter().find(|o| o.intersects(&match_box)) {
            Some(o) => boxes.extend(match_box.subtract(o)),
            None => return false,
        }
    }
    true
}
