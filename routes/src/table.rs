//! The index over routes: finds the route that wins for a request in time that hardly grows with the number
//! of routes. The order of the file never decides a tie, because ties are refused before an index is built
//! ([`crate::cover`]).
//!
//! The index has six levels in the order of specificity, and each is tried from its most specific entry to
//! its least: host (hash map), path (the request's path is shortened segment by segment, hash map), object
//! (hash map, once for each prefix length that occurs), parts and groups (a short list, narrowest first),
//! client network (hash map, once for each length), class. The first hit in this order wins, so candidates
//! needn't be compared. The cost is the product of the numbers of lengths that occur along the way, whatever
//! the number of routes.
use crate::{mask, path_is_under, Matches, Prefix, Route};
use foldhash::fast::FixedState;
use ipnet::IpNet;
use std::hash::BuildHasher;
use std::net::IpAddr;
use std::ops::RangeInclusive;

/// The properties of a request that routes match.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Index of the class in the settings.
    pub class: u8,
    /// The object's purge group.
    pub group: u16,
    /// The object's 64 bits.
    pub object: u64,
    /// The part of the object.
    pub part: u32,
    /// The client's address.
    pub client: IpAddr,
    /// Host and path of a request of the signed front; `None` for the platform's front, whose requests have
    /// neither.
    pub link: Option<(&'a str, &'a str)>,
}

/// How specific a route is, for one of its networks; the greater rank wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    host: bool,
    path: usize,
    object: u8,
    part: u32,
    groups: u16,
    client: u8,
    class: bool,
}

/// Number of purge groups.
pub const GROUPS: u16 = 256;

/// Returns ranges of groups as a bit set; an empty list stands for all groups.
pub fn group_bitset(ranges: &[RangeInclusive<u16>]) -> [u64; 4] {
    if ranges.is_empty() {
        return [u64::MAX; 4];
    }
    let mut bits = [0; 4];
    for g in ranges.iter().flat_map(|r| *r.start()..=(*r.end()).min(GROUPS - 1)) {
        bits[usize::from(g / 64)] |= 1 << (g % 64);
    }
    bits
}

/// Returns the rank of a route, for one of its networks if it lists any.
pub fn rank(m: &Matches, net: Option<&IpNet>) -> Rank {
    let bits: u32 = group_bitset(&m.groups).iter().map(|b| b.count_ones()).sum();
    Rank {
        host: m.host.is_some(),
        path: m.path.trim_end_matches('/').len(),
        object: m.object.len,
        // A narrower range ranks higher; no range ranks lowest.
        part: m.part.as_ref().map_or(0, |p| u32::MAX - p.end().saturating_sub(*p.start())),
        groups: GROUPS - bits as u16,
        client: net.map_or(0, |n| n.prefix_len() + 1),
        class: m.class.is_some(),
    }
}

/// Returns whether a route matches a request, regardless of other routes.
pub fn matches(m: &Matches, r: &Request<'_>) -> bool {
    let link = match (&m.host, &*m.path, r.link) {
        (None, "", _) => true,
        (_, _, None) => false,
        (host, path, Some((h, p))) => {
            host.as_deref().is_none_or(|x| x.eq_ignore_ascii_case(h)) && path_is_under(p, path)
        }
    };
    link && m.class.is_none_or(|c| c == r.class)
        && (m.groups.is_empty() || m.groups.iter().any(|g| g.contains(&r.group)))
        && m.object.is_prefix_of(r.object)
        && m.part.as_ref().is_none_or(|p| p.contains(&r.part))
        && (m.clients.is_empty() || m.clients.iter().any(|n| n.contains(&r.client)))
}

/// Returns the address family (true for IPv6) and the leading bits of an address, left-aligned.
fn masked_address(ip: IpAddr, len: u8) -> (bool, u128) {
    let (v6, bits, width) = match ip {
        IpAddr::V4(a) => (false, u128::from(u32::from(a)) << 96, len.min(32)),
        IpAddr::V6(a) => (true, u128::from(a), len.min(128)),
    };
    (v6, if width == 0 { 0 } else { bits & (u128::MAX << (128 - width)) })
}

/// A map with a fixed hash seed. Only the operators' file adds keys and no client can, so collisions can't be
/// provoked.
type HashMap<K, V> = std::collections::HashMap<K, V, FixedState>;

/// A Bloom filter with one hash: quickly rules out most keys that a map doesn't contain. Each key sets one
/// bit, with at least 16 bits of space per key, so the filter stays in the processor's cache where the map
/// itself doesn't.
#[derive(Default)]
struct KeyFilter {
    bits: Vec<u64>,
    keys: Vec<u64>,
}

impl KeyFilter {
    fn add(&mut self, hash: u64) {
        self.keys.push(hash);
        if self.keys.len() * 16 > self.bits.len() * 64 {
            self.bits = vec![0; self.keys.len().next_power_of_two()];
            for k in std::mem::take(&mut self.keys) {
                self.set_bit(k);
                self.keys.push(k);
            }
        } else {
            self.set_bit(hash);
        }
    }
    fn bit_of(&self, hash: u64) -> (usize, u64) {
        let position = hash >> 20;
        (position as usize >> 6 & (self.bits.len() - 1), 1 << (position & 63))
    }
    fn set_bit(&mut self, hash: u64) {
        let (word, bit) = self.bit_of(hash);
        self.bits[word] |= bit;
    }
    fn may_contain(&self, hash: u64) -> bool {
        let (word, bit) = self.bit_of(hash);
        self.bits[word] & bit != 0
    }
}

fn hash(key: &impl std::hash::Hash) -> u64 {
    FixedState::default().hash_one(key)
}

/// Indices of routes by class. With the few classes that occur, a list is as fast as any map.
#[derive(Default)]
struct ByClass {
    any: Option<u32>,
    /// The first class, kept outside the list because mostly there is only one.
    first: Option<(u8, u32)>,
    rest: Vec<(u8, u32)>,
}

#[derive(Default)]
struct ByClient {
    any: Option<ByClass>,
    /// Family (true for IPv6) and length of the networks that occur, longest first, with a filter for each.
    network_lens: Vec<(bool, u8, KeyFilter)>,
    networks: HashMap<(bool, u8, u128), ByClass>,
}

/// How narrow parts and groups are; greater is narrower.
type NarrowRank = (u32, u16);
/// How specific network and class are; greater is more specific.
type ClientRank = (u8, bool);

/// Routes with the same parts and groups.
struct ByPartsAndGroups {
    part: Option<RangeInclusive<u32>>,
    groups: [u64; 4],
    rank: NarrowRank,
    clients: ByClient,
}

/// Routes with the same object prefix.
#[derive(Default)]
struct ObjectRoutes {
    /// Routes with parts, groups or networks, the narrowest first; they win over those without.
    narrow: Vec<ByPartsAndGroups>,
    unrestricted: ByClass,
}

#[derive(Default)]
struct ByObject {
    /// Prefix lengths that occur, longest first, with a filter for each.
    prefix_lens: Vec<(u8, KeyFilter)>,
    entries: HashMap<Prefix, ObjectRoutes>,
}

#[derive(Default)]
struct ByPath {
    any: ByObject,
    entries: HashMap<Box<str>, ByObject>,
}

/// The index over all routes of a configuration. The routes must not tie, which [`crate::check()`] ensures.
///
/// ```
/// use threadward_routes::{table::find_by_scan, Location, Matches, Request, Route, Table, Terms};
///
/// let route = |clients: &str, host: Option<&str>| Route {
///     name: "r".into(),
///     at: Location { file: "f".into(), line: 1, column: 1 },
///     matches: Matches {
///         clients: clients.split_whitespace().map(|n| n.parse().unwrap()).collect(),
///         host: host.map(Into::into),
///         ..Matches::default()
///     },
///     terms: Terms::default(),
/// };
/// let routes = [route("10.0.0.0/8", None), route("10.1.0.0/16", None), route("", Some("img.example"))];
/// let table = Table::new(&routes);
/// let from = |ip: &str, link| {
///     let client = ip.parse().unwrap();
///     Request { class: 0, group: 0, object: 1, part: 0, client, link }
/// };
/// let link = Some(("IMG.example", "/a"));
/// for (request, winner) in [
///     (from("10.1.2.3", None), Some(1)),
///     (from("10.2.2.3", None), Some(0)),
///     (from("10.1.2.3", link), Some(2)),
///     (from("192.0.2.1", None), None),
/// ] {
///     assert_eq!(table.find(&request), winner);
///     assert_eq!(find_by_scan(&routes, &request), winner, "the plain scan finds the same route");
/// }
/// ```
#[derive(Default)]
pub struct Table {
    any: ByPath,
    hosts: HashMap<Box<str>, ByPath>,
    len: usize,
}

impl Table {
    /// Builds the index over these routes.
    pub fn new(routes: &[Route]) -> Table {
        let mut t = Table { len: routes.len(), ..Table::default() };
        for (i, r) in routes.iter().enumerate() {
            t.insert(i, &r.matches);
        }
        t
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn insert(&mut self, i: usize, m: &Matches) {
        let by_path = match &m.host {
            Some(h) => self.hosts.entry(h.to_ascii_lowercase().into()).or_default(),
            None => &mut self.any,
        };
        let path = m.path.trim_end_matches('/');
        let by_object =
            if path.is_empty() { &mut by_path.any } else { by_path.entries.entry(path.into()).or_default() };
        if !by_object.prefix_lens.iter().any(|l| l.0 == m.object.len) {
            by_object.prefix_lens.push((m.object.len, KeyFilter::default()));
            by_object.prefix_lens.sort_by_key(|l| std::cmp::Reverse(l.0));
        }
        if !by_object.entries.contains_key(&m.object) {
            let filter = by_object.prefix_lens.iter_mut().find(|l| l.0 == m.object.len);
            filter.into_iter().for_each(|l| l.1.add(hash(&m.object.bits)));
        }
        let object_routes = by_object.entries.entry(m.object).or_default();
        if m.part.is_none() && m.groups.is_empty() && m.clients.is_empty() {
            return object_routes.unrestricted.add(i, m.class);
        }
        let narrow = &mut object_routes.narrow;
        let (groups, own) = (group_bitset(&m.groups), rank(m, None));
        let at = match narrow.iter().position(|n| n.part == m.part && n.groups == groups) {
            Some(at) => at,
            None => {
                let rank = (own.part, own.groups);
                let at = narrow.partition_point(|n| n.rank >= rank);
                narrow.insert(
                    at,
                    ByPartsAndGroups { part: m.part.clone(), groups, rank, clients: ByClient::default() },
                );
                at
            }
        };
        let clients = &mut narrow[at].clients;
        if m.clients.is_empty() {
            return clients.any.get_or_insert_default().add(i, m.class);
        }
        for net in &m.clients {
            let v6 = matches!(net, IpNet::V6(_));
            let len = net.prefix_len();
            if !clients.network_lens.iter().any(|l| (l.0, l.1) == (v6, len)) {
                clients.network_lens.push((v6, len, KeyFilter::default()));
                clients.network_lens.sort_by_key(|l| std::cmp::Reverse(l.1));
            }
            let (_, bits) = masked_address(net.network(), len);
            if !clients.networks.contains_key(&(v6, len, bits)) {
                let filter = clients.network_lens.iter_mut().find(|l| (l.0, l.1) == (v6, len));
                filter.into_iter().for_each(|l| l.2.add(hash(&bits)));
            }
            clients.networks.entry((v6, len, bits)).or_default().add(i, m.class);
        }
    }

    /// Returns the index of the route that wins, or `None` if no route matches.
    pub fn find(&self, r: &Request<'_>) -> Option<usize> {
        let Some((host, path)) = r.link else { return self.any.any.find(r) };
        // Hosts are stored in lower case, and most requests already use that.
        let own = match self.hosts.get(host) {
            None if host.bytes().any(|b| b.is_ascii_uppercase()) => {
                self.hosts.get(&*host.to_ascii_lowercase())
            }
            found => found,
        };
        own.and_then(|p| p.find(r, path)).or_else(|| self.any.find(r, path))
    }
}

impl ByPath {
    fn find(&self, r: &Request<'_>, path: &str) -> Option<usize> {
        let mut prefix = path;
        while !self.entries.is_empty() && !prefix.is_empty() {
            if let Some(found) = self.entries.get(prefix).and_then(|o| o.find(r)) {
                return Some(found);
            }
            prefix = prefix.rfind('/').map_or("", |at| &prefix[..at]);
        }
        self.any.find(r)
    }
}

impl ByObject {
    fn find(&self, r: &Request<'_>) -> Option<usize> {
        self.prefix_lens.iter().find_map(|(len, filter)| {
            let key = Prefix { bits: r.object & mask(*len), len: *len };
            if !filter.may_contain(hash(&key.bits)) {
                return None;
            }
            let object_routes = self.entries.get(&key)?;
            object_routes
                .find(r)
                .or_else(|| object_routes.unrestricted.find(r.class).map(|(_, i)| i as usize))
        })
    }
}

impl ObjectRoutes {
    /// Returns the narrowest route that matches; among equally narrow ones the one with the longer network,
    /// then the one with a class.
    fn find(&self, r: &Request<'_>) -> Option<usize> {
        let mut best: Option<(NarrowRank, ClientRank, u32)> = None;
        for n in &self.narrow {
            if best.is_some_and(|b| b.0 > n.rank) {
                break;
            }
            if let Some((rank, i)) = n.find(r).filter(|f| best.is_none_or(|b| f.0 > b.1)) {
                best = Some((n.rank, rank, i));
            }
        }
        best.map(|b| b.2 as usize)
    }
}

impl ByPartsAndGroups {
    fn find(&self, r: &Request<'_>) -> Option<(ClientRank, u32)> {
        let group = r.group < GROUPS && self.groups[usize::from(r.group / 64)] >> (r.group % 64) & 1 == 1;
        let part = self.part.as_ref().is_none_or(|p| p.contains(&r.part));
        if part && group {
            self.clients.find(r)
        } else {
            None
        }
    }
}

impl ByClient {
    /// Returns the route with the longest matching network. Its rank is the network's length plus one (0
    /// stands for no network) and whether it has a class.
    fn find(&self, r: &Request<'_>) -> Option<(ClientRank, u32)> {
        let v6 = r.client.is_ipv6();
        let mut found = self.network_lens.iter().filter(|l| l.0 == v6).filter_map(|(_, len, filter)| {
            let bits = masked_address(r.client, *len).1;
            if !filter.may_contain(hash(&bits)) {
                return None;
            }
            let (class, i) = self.networks.get(&(v6, *len, bits))?.find(r.class)?;
            Some(((len + 1, class), i))
        });
        let any = || self.any.as_ref()?.find(r.class).map(|(class, i)| ((0, class), i));
        found.next().or_else(any)
    }
}

impl ByClass {
    fn add(&mut self, i: usize, class: Option<u8>) {
        match class {
            Some(c) if self.first.is_none() => self.first = Some((c, i as u32)),
            Some(c) => self.rest.push((c, i as u32)),
            None => self.any = Some(i as u32),
        }
    }
    /// Returns the index of the route for a class, and whether the route names that class.
    fn find(&self, class: u8) -> Option<(bool, u32)> {
        let own = self.first.iter().chain(&self.rest).find(|(c, _)| *c == class);
        own.map(|(_, i)| (true, *i)).or(self.any.map(|i| (false, i)))
    }
}

/// Finds the route that wins by looking at every route. Tests and measurements compare the index with it.
pub fn find_by_scan(routes: &[Route], r: &Request<'_>) -> Option<usize> {
    let best = |m: &Matches| {
        let networks = m.clients.iter().filter(|n| n.contains(&r.client)).map(|n| rank(m, Some(n)));
        networks.max().unwrap_or_else(|| rank(m, None))
    };
    let all = routes.iter().enumerate().filter(|(_, x)| matches(&x.matches, r));
    all.max_by(|a, b| best(&a.1.matches).cmp(&best(&b.1.matches))).map(|(i, _)| i)
}
