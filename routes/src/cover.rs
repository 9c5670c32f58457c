//! Ties and routes that can never win. It owns the comparison of what routes match, as boxes over six dimensions. It must
//! never call a route shadowed that some request would still reach: where the search grows too long it says nothing.
use crate::table::{group_bitset, rank, Rank};
use crate::{mask, Matches, Route};
use ipnet::IpNet;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Steps that the search for a cover may take for one route.
const STEPS: usize = 20_000;
/// More specific routes that are looked at for one.
const NEAR: usize = 256;

/// Two routes that a request could match alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tie {
    /// Its place in the sheet.
    pub first: usize,
    /// The place of the other, which is greater.
    pub second: usize,
}

/// Pairs of routes of one rank that some request matches both of. Routes of one rank overlap only where host, path,
/// object, network and class are the same, so only those with the same key are compared.
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
    let mut alike: HashMap<Key<'_>, Vec<usize>> = HashMap::new();
    for (i, r) in routes.iter().enumerate() {
        let m = &r.matches;
        let key = |net| (m.host.as_deref(), m.path.trim_end_matches('/'), m.object, net, m.class);
        if m.clients.is_empty() {
            alike.entry(key(None)).or_default().push(i);
        }
        for net in m.clients.iter().map(IpNet::trunc).collect::<BTreeSet<_>>() {
            alike.entry(key(Some(net))).or_default().push(i);
        }
    }
    let mut found = BTreeSet::new();
    for group in alike.values() {
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

/// Whether parts and groups of two routes meet.
fn overlap(a: &Matches, b: &Matches) -> bool {
    let parts = match (&a.part, &b.part) {
        (Some(x), Some(y)) => x.start() <= y.end() && y.start() <= x.end(),
        _ => true,
    };
    let (x, y) = (group_bitset(&a.groups), group_bitset(&b.groups));
    parts && (0..4).any(|i| x[i] & y[i] != 0)
}

/// What a route matches: from and to in each dimension (host, path, object, part, client, class) and its groups.
#[derive(Clone, Debug, PartialEq)]
struct Cell {
    sides: [(u128, u128); 6],
    groups: [u64; 4],
}

impl Cell {
    fn meets(&self, o: &Cell) -> bool {
        let sides = self.sides.iter().zip(&o.sides).all(|(a, b)| a.0 <= b.1 && b.0 <= a.1);
        sides && (0..4).any(|i| self.groups[i] & o.groups[i] != 0)
    }
    /// What is left of it outside another that it meets.
    fn without(&self, o: &Cell) -> Vec<Cell> {
        let (mut rest, mut core) = (Vec::new(), self.clone());
        for d in 0..6 {
            let ((from, to), (a, b)) = (core.sides[d], o.sides[d]);
            if from < a {
                let mut left = core.clone();
                left.sides[d] = (from, a - 1);
                rest.push(left);
                core.sides[d].0 = a;
            }
            if to > b {
                let mut right = core.clone();
                right.sides[d] = (b + 1, to);
                rest.push(right);
                core.sides[d].1 = b;
            }
        }
        let outside: [u64; 4] = std::array::from_fn(|i| core.groups[i] & !o.groups[i]);
        if outside != [0; 4] {
            rest.push(Cell { groups: outside, ..core });
        }
        rest
    }
}

/// Numbers for hosts and paths, so that each prefix is a span of numbers.
struct Names<'a> {
    hosts: BTreeMap<&'a str, u128>,
    paths: BTreeMap<&'a str, (u128, u128)>,
}

fn names(routes: &[Route]) -> Names<'_> {
    let hosts: BTreeSet<&str> = routes.iter().filter_map(|r| r.matches.host.as_deref()).collect();
    let mut all: Vec<&str> = routes.iter().map(|r| r.matches.path.trim_end_matches('/')).collect();
    // Step by step, so that what lies under a prefix follows it.
    all.sort_by(|a, b| a.split('/').cmp(b.split('/')));
    all.dedup();
    let mut paths = BTreeMap::new();
    for (i, p) in all.iter().enumerate() {
        let below = all[i..].iter().take_while(|q| crate::path_is_under(q, p)).count();
        // Each prefix also has requests of its own, that lie under no deeper one: its own number.
        paths.insert(*p, (i as u128, (i + below - 1) as u128));
    }
    // Number 0 is for all other hosts.
    Names { hosts: hosts.into_iter().zip(1..).collect(), paths }
}

fn cells(m: &Matches, n: &Names<'_>) -> Vec<(Cell, Rank)> {
    let host = m.host.as_deref().and_then(|h| n.hosts.get(h)).map_or((0, u128::from(u64::MAX)), |h| (*h, *h));
    let path = n.paths.get(m.path.trim_end_matches('/')).copied().unwrap_or((0, u128::MAX));
    // Without a path, requests of the platform's front match as well; they lie outside all numbers.
    let path = if m.path.is_empty() { (0, u128::MAX) } else { path };
    let object = (u128::from(m.object.bits), u128::from(m.object.bits | !mask(m.object.len)));
    let part =
        m.part.as_ref().map_or((0, u128::from(u32::MAX)), |p| ((*p.start()).into(), (*p.end()).into()));
    let class = m.class.map_or((0, 255), |c| (c.into(), c.into()));
    let cell = |client: (u128, u128), net| {
        let sides = [host, path, object, part, client, class];
        (Cell { sides, groups: group_bitset(&m.groups) }, rank(m, net))
    };
    if m.clients.is_empty() {
        return vec![cell((0, u128::MAX), None)];
    }
    let of = |a: std::net::Ipv4Addr| u128::from(a.to_ipv6_mapped());
    let v4 = (of(std::net::Ipv4Addr::UNSPECIFIED), of(std::net::Ipv4Addr::BROADCAST));
    // Addresses of version 4 as they are mapped into version 6 (RFC 4291, section 2.5.5.2), which no network of
    // version 6 matches.
    let spans = |net: &IpNet| match net {
        IpNet::V4(v) => vec![(of(v.network()), of(v.broadcast()))],
        IpNet::V6(v) => {
            let (from, to) = (u128::from(v.network()), u128::from(v.broadcast()));
            let outside = [(from, to.min(v4.0 - 1)), (from.max(v4.1 + 1), to)];
            outside.into_iter().filter(|s| s.0 <= s.1).collect()
        }
    };
    m.clients
        .iter()
        .flat_map(|net| spans(net).into_iter().map(move |s| (s, net)))
        .map(|(s, net)| cell(s, Some(net)))
        .collect()
}

/// Routes that can never win: more specific ones take every request that they match. Their places in the sheet.
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
/// assert_eq!(shadowed(&routes), [16], "the sixteen together take all of it");
/// assert!(shadowed(&routes[1..]).is_empty());
/// ```
pub fn shadowed(routes: &[Route]) -> Vec<usize> {
    let names = names(routes);
    let all: Vec<Vec<(Cell, Rank)>> = routes.iter().map(|r| cells(&r.matches, &names)).collect();
    // Only those that share the host or have none, and lie in its object's prefix, can matter: an index over pairs
    // would be large, so candidates are gathered by the first bits of the object.
    let mut by_object: BTreeMap<u128, Vec<usize>> = BTreeMap::new();
    for (i, of) in all.iter().enumerate() {
        by_object.entry(of[0].0.sides[2].0).or_default().push(i);
    }
    let covered = |i: usize| {
        let mut left = STEPS;
        all[i].iter().all(|(cell, own)| {
            let (from, to) = cell.sides[2];
            // Those more specific either begin inside, or reach in from before with a shorter prefix and another
            // dimension that is more specific.
            let inside = by_object.range(from..=to).flat_map(|(_, v)| v);
            let before = (0..64).filter_map(|len| {
                let start = u128::from(from as u64 & mask(len));
                (start < from).then(|| by_object.get(&start)).flatten()
            });
            let mut near = Vec::new();
            for j in inside.chain(before.flatten()) {
                let more = all[*j].iter().filter(|(c, rank)| *j != i && rank > own && c.meets(cell));
                near.extend(more.map(|(c, _)| c));
                if near.len() > NEAR {
                    return false;
                }
            }
            empty(vec![cell.clone()], &near, &mut left)
        })
    };
    (0..routes.len()).filter(|i| covered(*i)).collect()
}

/// Whether nothing is left of some cells outside others.
fn empty(mut cells: Vec<Cell>, others: &[&Cell], left: &mut usize) -> bool {
    while let Some(cell) = cells.pop() {
        if *left == 0 {
            return false;
        }
        *left -= 1;
        match others.iter().find(|o| o.meets(&cell)) {
            Some(o) => cells.extend(cell.without(o)),
            None => return false,
        }
    }
    true
}
