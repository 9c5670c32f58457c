//! The scenario of a fleet over locations and parents: its size, the outages and when they happen, and the
//! settings of each location. [`crate::regions`] runs it.
use crate::fleet::{S, T0};
use crate::net::NetworkConditions;
use nickelgate::{Addr, Entry, Micros, Settings, Siblings};
use threadward_zones::{Kind, Zone};

/// Address of the origin.
pub(crate) const ORIGIN: Addr = Addr { ip: [10, 3, 0, 1], port: 1 };
/// Number of proxies that vote: the first ones by index.
pub(crate) const VOTER_COUNT: usize = 5;

/// How a zone fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailureMode {
    /// No member answers; at the end of the outage all members restart cold.
    Kill,
    /// Like `Kill`, and again for ten seconds once the zone's return has reached its second step.
    KillTwice,
    /// Every connection breaks during the attempt.
    FailFast,
    /// Every answer takes 1.5 seconds longer.
    Slow,
    /// Half of the proxies that use the zone can't reach it.
    CutHalf,
    /// The zone's members stop answering one after the other, ten a second.
    Drip,
    /// A fifth of what is sent to the zone is lost.
    Lossy,
    /// Only the zone's first member breaks every connection.
    OneBad,
}

/// A failure of one zone, from one time to another.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Number of the zone.
    pub zone: u16,
    /// How the zone fails.
    pub failure_mode: FailureMode,
    /// Start of the outage.
    pub from: Micros,
    /// End of the outage.
    pub to: Micros,
}

/// A scenario of a fleet.
#[derive(Clone, Debug)]
pub struct Day {
    /// Name of the scenario in reports.
    pub name: &'static str,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Whether proxies take zones out of use together. If false, each proxy decides alone.
    pub zones: bool,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of locations.
    pub locations: u16,
    /// Number of parent zones.
    pub parents: u16,
    /// Number of caches in each location, and in each parent zone.
    pub members: (u16, u16),
    /// Requests per second at each proxy.
    pub requests_per_s: f64,
    /// How long clients send requests.
    pub duration: Micros,
    /// Whether requests may go directly to a parent if the location is out of use.
    pub direct: bool,
    /// Capacity of a location's caches, and of a parent's, as a multiple of their load without outages.
    pub capacity_factors: (f64, f64),
    /// The outages.
    pub outages: Vec<Outage>,
    /// The network between the proxies.
    pub conditions: NetworkConditions,
    /// A proxy that reaches no cache and no other proxy, from one time to another.
    pub cut: Option<(usize, Micros, Micros)>,
    /// A proxy that reports false observations all the time: that the first parent zone fails.
    pub liar: Option<usize>,
    /// When the proxy that decides on zones is cut off from the other proxies.
    pub decider_lost: Option<Micros>,
}

impl Day {
    /// Creates the scenario of 300 proxies and 2000 caches, without outages, for a number of parent zones.
    pub fn new(name: &'static str, seed: u64, parent_count: u16) -> Day {
        Day {
            name,
            seed,
            zones: true,
            proxies: 300,
            locations: 10,
            parents: parent_count,
            members: ((2000 - 40 * parent_count) / 10, 40),
            requests_per_s: 4.0,
            duration: 46 * S,
            direct: true,
            capacity_factors: (3.0, 3.0),
            outages: Vec::new(),
            conditions: NetworkConditions::default(),
            cut: None,
            liar: None,
            decider_lost: None,
        }
    }
    /// Returns the zone number of a parent.
    pub fn parent(&self, n: u16) -> u16 {
        self.locations + n
    }
    /// Adds an outage whose times count from the start of the simulation.
    pub fn with(mut self, zone: u16, failure_mode: FailureMode, from: Micros, to: Micros) -> Day {
        self.outages.push(Outage { zone, failure_mode, from: T0 + from, to: T0 + to });
        self
    }
    /// Returns the number of members of a zone.
    pub(crate) fn members_in(&self, zone: u16) -> u16 {
        if zone < self.locations {
            self.members.0
        } else {
            self.members.1
        }
    }
    /// Returns the number of zones: locations first, then parents.
    pub(crate) fn zone_count(&self) -> u16 {
        self.locations + self.parents
    }
    /// Returns the address of a member of a zone.
    pub(crate) fn member(&self, zone: u16, n: u16) -> Addr {
        let [z, n] = [zone as u8, n as u8];
        Addr { ip: [10, if zone < self.locations { 1 } else { 2 }, z, n], port: 1 }
    }
    /// Returns the zone of a member; `None` for the origin.
    pub(crate) fn zone_of(&self, a: Addr) -> Option<usize> {
        (a != ORIGIN).then_some(usize::from(a.ip[2]))
    }
    /// Returns the member list's entry of a member of a zone.
    pub(crate) fn entry(&self, zone: u16, n: u16) -> Entry {
        let kind = u8::from(zone >= self.locations);
        Entry { addr: self.member(zone, n), zone, kind, weight: 6.0, ..Entry::default() }
    }
    /// Returns the member list of a proxy's planner: its own location and the parents. A voter, which may
    /// become the one that decides, lists all zones.
    pub(crate) fn entries(&self, i: usize) -> Vec<Entry> {
        let origin = Entry { addr: ORIGIN, zone: self.zone_count(), kind: 2, ..Entry::default() };
        let listed = |z: &u16| self.lists_zone(i, *z);
        let members = |z| (0..self.members_in(z)).map(move |n| self.entry(z, n));
        (0..self.zone_count()).filter(listed).flat_map(members).chain([origin]).collect()
    }
    /// Returns whether a proxy's member list contains a zone.
    pub(crate) fn lists_zone(&self, i: usize, zone: u16) -> bool {
        i < VOTER_COUNT || zone >= self.locations || usize::from(zone) == self.location_of(i)
    }
    /// Returns the location of a proxy.
    pub(crate) fn location_of(&self, i: usize) -> usize {
        i % usize::from(self.locations)
    }
    /// Returns the settings of a proxy's router.
    pub(crate) fn settings(&self, i: usize) -> Settings {
        let s = crate::fleet::settings(self.proxies);
        let proxies_per_location = self.proxies as u32 / u32::from(self.locations);
        Settings {
            zone: self.location_of(i) as u16,
            routers_by_zone: vec![proxies_per_location; usize::from(self.locations)],
            siblings: Siblings::Off,
            direct: self.direct,
            columns: nickelgate::ReportColumns { cpu: Some(0), ..Default::default() },
            ..s
        }
    }
    /// Returns the settings of all zones.
    pub(crate) fn zone_settings(&self) -> Vec<Zone> {
        let s = self.settings(0);
        let parents_except = |except: Option<u16>| {
            (0..self.parents)
                .map(|index| self.parent(index))
                .filter(|zone| Some(*zone) != except)
                .collect::<Vec<_>>()
        };
        (0..self.zone_count())
            .map(|z| match z < self.locations {
                true => Zone {
                    kind: Kind::Location,
                    region: z % self.parents,
                    warm_up: s.cold_period,
                    fallbacks: if self.direct { parents_except(None) } else { Vec::new() },
                },
                false => Zone {
                    kind: Kind::Parent,
                    region: z - self.locations,
                    warm_up: s.parent_cold_period,
                    fallbacks: parents_except(Some(z)),
                },
            })
            .collect()
    }
}
