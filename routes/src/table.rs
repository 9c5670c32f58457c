//! The index over routes. It owns the look-up: for a request the route that wins, in time that hardly grows with their
//! number. It must never settle a tie by the order of the file: ties are refused before (`cover`).
//!
//! Six levels in the order of specificity, each tried from its most specific entry to its least: host (hash), path
//! (the request's path cut step by step, hash), object (hash for each prefix length that occurs), parts and groups
//! (a short list, narrowest first), client network (hash for each length), class. The first hit in this order is the
//! winner, so nothing is compared. The cost is the product of the lengths that occur on the way, not of the routes.
use crate::{mask, path_is_under, Matches, Prefix, Route};
use foldhash::fast::FixedState;
use ipnet::IpNet;
use std::hash::BuildHasher;
use std::net::IpAddr;
use std::ops::RangeInclusive;

/// What a route is looked up by.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Place of the class in the settings.
    pub class: u8,
    /// The object's purge group.
    pub group: u16,
    /// The object.
    pub object: u64,
    /// Which part of it.
    pub part: u32,
    /// The client's address.
    pub client: IpAddr,
    /// The signed front: its host and path; nothing: the platform's front, which has neither.
    pub link: Option<(&'a str, &'a str)>,
}

/// How specific a route is for one of its networks: greater wins.
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

/// How many groups there are.
pub const GROUPS: u16 = 256;

/// Groups as a set of bits; no range at all: all of them.
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

/// The rank of a route, and of one of its networks where it lists any.
pub fn rank(m: &Matches, net: Option<&IpNet>) -> Rank {
    let bits: u32 = group_bitset(&m.groups).iter().map(|b| b.count_ones()).sum();
    Rank {
        host: m.host.is_some(),
        path: m.path.trim_end_matches('/').len(),
        object: m.object.len,
        // The narrower the greater; none at all is the least.
        part: m.part.as_ref().map_or(0, |p| u32::MAX - p.end().saturating_sub(*p.start())),
        groups: GROUPS - bits as u16,
        client: net.map_or(0, |n| n.prefix_len() + 1),
        class: m.class.is_some(),
    }
}

/// Whether a route matches, taken by itself.
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

/// Masked addresses of one length.
fn cut(ip: IpAddr, len: u8) -> (bool, u128) {
    let (v6, bits, width) = match ip {
        IpAddr::V4(a) => (false, u128::from(u32::from(a)) << 96, len.min(32)),
        IpAddr::V6(a) => (true, u128::from(a), len.min(128)),
    };
    (v6, if width == 0 { 0 } else { bits & (u128::MAX << (128 - width)) })
}

/// The operators' file fills these and no client can, so the seed may be fixed.
type HashMap<K, V> = std::collections::HashMap<K, V, FixedState>;

/// Says fast of most keys that they are not there: one bit for each, 16 for each key, in a space that stays in the
/// processor's cache where the map itself does not.
#[derive(Default)]
struct Sieve {
    bits: Vec<u64>,
    keys: Vec<u64>,
}

impl Sieve {
    fn put(&mut self, hash: u64) {
        self.keys.push(hash);
        if self.keys.len() * 16 > self.bits.len() * 64 {
            self.bits = vec![0; self.keys.len().next_power_of_two()];
            for k in std::mem::take(&mut self.keys) {
                self.mark(k);
                self.keys.push(k);
            }
        } else {
            self.mark(hash);
        }
    }
    fn place(&self, hash: u64) -> (usize, u64) {
        let at = hash >> 20;
        (at as usize >> 6 & (self.bits.len() - 1), 1 << (at & 63))
    }
    fn mark(&mut self, hash: u64) {
        let (word, bit) = self.place(hash);
        self.bits[word] |= bit;
    }
    fn may_hold(&self, hash: u64) -> bool {
        let (word, bit) = self.place(hash);
        self.bits[word] & bit != 0
    }
}

fn hash(key: &impl std::hash::Hash) -> u64 {
    FixedState::default().hash_one(key)
}

/// Routes by class; the place of each in the sheet. Few classes: a list is as fast as any map.
#[derive(Default)]
struct ByClass {
    any: Option<u32>,
    /// The first class stands here and the others elsewhere: mostly there is one.
    first: Option<(u8, u32)>,
    rest: Vec<(u8, u32)>,
}

#[derive(Default)]
struct ByClient {
    any: Option<ByClass>,
    /// Lengths that occur, longest first.
    lens: Vec<(bool, u8, Sieve)>,
    nets: HashMap<(bool, u8, u128), ByClass>,
}

/// How narrow parts and groups are, and how specific network and class: greater is more.
type NarrowRank = (u32, u16);
type ClientRank = (u8, bool);

/// Routes that ask for the same parts and groups.
struct Narrow {
    part: Option<RangeInclusive<u32>>,
    groups: [u64; 4],
    rank: NarrowRank,
    clients: ByClient,
}

/// Routes that ask for the same prefix of the object.
#[derive(Default)]
struct Spot {
    /// With parts, groups or networks, the narrowest first; they come before those without.
    narrow: Vec<Narrow>,
    plain: ByClass,
}

#[derive(Default)]
struct ByObject {
    /// Prefix lengths that occur, longest first.
    lens: Vec<(u8, Sieve)>,
    of: HashMap<Prefix, Spot>,
}

#[derive(Default)]
struct ByPath {
    any: ByObject,
    of: HashMap<Box<str>, ByObject>,
}

/// All routes of a sheet, ready to be asked. They may not tie: [`crate::check()`] says so before.
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
/// let at = |ip: &str, link| Request { class: 0, group: 0, object: 1, part: 0, client: ip.parse().unwrap(), link };
/// let link = Some(("IMG.example", "/a"));
/// for (request, winner) in [
///     (at("10.1.2.3", None), Some(1)),
///     (at("10.2.2.3", None), Some(0)),
///     (at("10.1.2.3", link), Some(2)),
///     (at("192.0.2.1", None), None),
/// ] {
///     assert_eq!(table.find(&request), winner);
///     assert_eq!(find_by_scan(&routes, &request), winner, "the plain scan says the same");
/// }
/// ```
#[derive(Default)]
pub struct Table {
    any: ByPath,
    hosts: HashMap<Box<str>, ByPath>,
    len: usize,
}

impl Table {
    /// Builds the index.
    pub fn new(routes: &[Route]) -> Table {
        let mut t = Table { len: routes.len(), ..Table::default() };
        for (i, r) in routes.iter().enumerate() {
            t.put(i, &r.matches);
        }
        t
    }

    /// How many routes it holds.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn put(&mut self, i: usize, m: &Matches) {
        let by_path = match &m.host {
            Some(h) => self.hosts.entry(h.to_ascii_lowercase().into()).or_default(),
            None => &mut self.any,
        };
        let path = m.path.trim_end_matches('/');
        let by_object =
            if path.is_empty() { &mut by_path.any } else { by_path.of.entry(path.into()).or_default() };
        if !by_object.lens.iter().any(|l| l.0 == m.object.len) {
            by_object.lens.push((m.object.len, Sieve::default()));
            by_object.lens.sort_by_key(|l| std::cmp::Reverse(l.0));
        }
        if !by_object.of.contains_key(&m.object) {
            let sieve = by_object.lens.iter_mut().find(|l| l.0 == m.object.len);
            sieve.into_iter().for_each(|l| l.1.put(hash(&m.object.bits)));
        }
        let spot = by_object.of.entry(m.object).or_default();
        if m.part.is_none() && m.groups.is_empty() && m.clients.is_empty() {
            return spot.plain.put(i, m.class);
        }
        let narrow = &mut spot.narrow;
        let (groups, own) = (group_bitset(&m.groups), rank(m, None));
        let at = match narrow.iter().position(|n| n.part == m.part && n.groups == groups) {
            Some(at) => at,
            None => {
                let rank = (own.part, own.groups);
                let at = narrow.partition_point(|n| n.rank >= rank);
                narrow
                    .insert(at, Narrow { part: m.part.clone(), groups, rank, clients: ByClient::default() });
                at
            }
        };
        let clients = &mut narrow[at].clients;
        if m.clients.is_empty() {
            return clients.any.get_or_insert_default().put(i, m.class);
        }
        for net in &m.clients {
            let v6 = matches!(net, IpNet::V6(_));
            let len = net.prefix_len();
            if !clients.lens.iter().any(|l| (l.0, l.1) == (v6, len)) {
                clients.lens.push((v6, len, Sieve::default()));
                clients.lens.sort_by_key(|l| std::cmp::Reverse(l.1));
            }
            let (_, bits) = cut(net.network(), len);
            if !clients.nets.contains_key(&(v6, len, bits)) {
                let sieve = clients.lens.iter_mut().find(|l| (l.0, l.1) == (v6, len));
                sieve.into_iter().for_each(|l| l.2.put(hash(&bits)));
            }
            clients.nets.entry((v6, len, bits)).or_default().put(i, m.class);
        }
    }

    /// The place in the sheet of the route that wins; none matches: nothing.
    pub fn find(&self, r: &Request<'_>) -> Option<usize> {
        let Some((host, path)) = r.link else { return self.any.any.find(r) };
        // Hosts are kept in lower case; most come so.
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
        while !self.of.is_empty() && !prefix.is_empty() {
            if let Some(found) = self.of.get(prefix).and_then(|o| o.find(r)) {
                return Some(found);
            }
            prefix = prefix.rfind('/').map_or("", |at| &prefix[..at]);
        }
        self.any.find(r)
    }
}

impl ByObject {
    fn find(&self, r: &Request<'_>) -> Option<usize> {
        self.lens.iter().find_map(|(len, sieve)| {
            let key = Prefix { bits: r.object & mask(*len), len: *len };
            if !sieve.may_hold(hash(&key.bits)) {
                return None;
            }
            let spot = self.of.get(&key)?;
            spot.find(r).or_else(|| spot.plain.find(r.class).map(|(_, i)| i as usize))
        })
    }
}

impl Spot {
    /// The narrowest that matches; of those as narrow the one with the longer network, then with a class.
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

impl Narrow {
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
    /// The route with the longest network, and how long it is (one more, so that none is 0), and whether it has a
    /// class.
    fn find(&self, r: &Request<'_>) -> Option<(ClientRank, u32)> {
        let v6 = r.client.is_ipv6();
        let mut found = self.lens.iter().filter(|l| l.0 == v6).filter_map(|(_, len, sieve)| {
            let bits = cut(r.client, *len).1;
            if !sieve.may_hold(hash(&bits)) {
                return None;
            }
            let (class, i) = self.nets.get(&(v6, *len, bits))?.find(r.class)?;
            Some(((len + 1, class), i))
        });
        let any = || self.any.as_ref()?.find(r.class).map(|(class, i)| ((0, class), i));
        found.next().or_else(any)
    }
}

impl ByClass {
    fn put(&mut self, i: usize, class: Option<u8>) {
        match class {
            Some(c) if self.first.is_none() => self.first = Some((c, i as u32)),
            Some(c) => self.rest.push((c, i as u32)),
            None => self.any = Some(i as u32),
        }
    }
    /// Whether it is one with a class, and its place.
    fn find(&self, class: u8) -> Option<(bool, u32)> {
        let own = self.first.iter().chain(&self.rest).find(|(c, _)| *c == class);
        own.map(|(_, i)| (true, *i)).or(self.any.map(|i| (false, i)))
    }
}

/// The same by looking at every route: what the index is measured against and checked by.
pub fn find_by_scan(routes: &[Route], r: &Request<'_>) -> Option<usize> {
    let best = |m: &Matches| {
        let nets = m.clients.iter().filter(|n| n.contains(&r.client)).map(|n| rank(m, Some(n)));
        nets.max().unwrap_or_else(|| rank(m, None))
    };
    let all = routes.iter().enumerate().filter(|(_, x)| matches(&x.matches, r));
    all.max_by(|a, b| best(&a.1.matches).cmp(&best(&b.1.matches))).map(|(i, _)| i)
}
