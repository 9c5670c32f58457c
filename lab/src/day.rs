//! The script of a day of a fleet over locations and hubs: its size, what goes wrong and when, and the settings of each
//! location. [`crate::regions`] plays it.
use crate::fleet::{S, T0};
use crate::net::NetworkConditions;
use nickelgate::{Addr, Entry, Micros, Settings, Siblings};
use threadward_zones::{Kind, Zone};

pub(crate) const ORIGIN: Addr = Addr { ip: [10, 3, 0, 1], port: 1 };
/// The first proxies vote.
pub(crate) const VOTERS: usize = 5;

/// What goes wrong with a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FailureMode {
    /// All of it is silent, and starts anew at the end: cold.
    Kill,
    /// As before, and once more for ten seconds when its return has come to the second step.
    KillTwice,
    /// Breaks the connection under each attempt.
    FailFast,
    /// Everything takes a second and a half more.
    Slow,
    /// Half of those that use it do not reach it.
    CutHalf,
    /// Its machines fall silent one after the other, ten a second.
    Drip,
    /// A fifth of what is sent to it is lost.
    Lossy,
    /// Its first machine alone breaks each connection.
    OneBad,
}

#[derive(Clone, Copy, Debug)]
pub struct Outage {
    pub zone: u16,
    pub failure_mode: FailureMode,
    pub from: Micros,
    pub to: Micros,
}

#[derive(Clone, Debug)]
pub struct Day {
    pub name: &'static str,
    pub seed: u64,
    /// Off: each proxy alone.
    pub zones: bool,
    pub proxies: usize,
    pub locations: u16,
    pub parents: u16,
    /// Caches of each location, and of each hub.
    pub members: (u16, u16),
    /// Requests a second at each proxy.
    pub requests_per_s: f64,
    pub duration: Micros,
    pub direct: bool,
    /// What a location's caches, and a hub's, can do over what they are asked for in calm times.
    pub capacity_factors: (f64, f64),
    pub outages: Vec<Outage>,
    pub conditions: NetworkConditions,
    /// Proxies that reach nothing and nobody for a while; one that accuses the first hub all the time.
    pub cut: Option<(usize, Micros, Micros)>,
    pub liar: Option<usize>,
    /// At this time whoever decides is cut off from the other proxies.
    pub decider_lost: Option<Micros>,
}

impl Day {
    pub fn new(name: &'static str, seed: u64, hubs: u16) -> Day {
        Day {
            name,
            seed,
            zones: true,
            proxies: 300,
            locations: 10,
            parents: hubs,
            members: ((2000 - 40 * hubs) / 10, 40),
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
    /// The zone's number of a hub.
    pub fn parent(&self, n: u16) -> u16 {
        self.locations + n
    }
    pub fn with(mut self, zone: u16, failure_mode: FailureMode, from: Micros, to: Micros) -> Day {
        self.outages.push(Outage { zone, failure_mode, from: T0 + from, to: T0 + to });
        self
    }
    pub(crate) fn members_in(&self, zone: u16) -> u16 {
        if zone < self.locations {
            self.members.0
        } else {
            self.members.1
        }
    }
    pub(crate) fn zone_count(&self) -> u16 {
        self.locations + self.parents
    }
    pub(crate) fn member(&self, zone: u16, n: u16) -> Addr {
        let [z, n] = [zone as u8, n as u8];
        Addr { ip: [10, if zone < self.locations { 1 } else { 2 }, z, n], port: 1 }
    }
    pub(crate) fn zone_of(&self, a: Addr) -> Option<usize> {
        (a != ORIGIN).then_some(usize::from(a.ip[2]))
    }
    pub(crate) fn entry(&self, zone: u16, n: u16) -> Entry {
        let kind = u8::from(zone >= self.locations);
        Entry { addr: self.member(zone, n), zone, kind, weight: 6.0, ..Entry::default() }
    }
    /// What a proxy's planner lists: the own location and the hubs; a voter, which may come to decide, lists all.
    pub(crate) fn entries(&self, i: usize) -> Vec<Entry> {
        let origin = Entry { addr: ORIGIN, zone: self.zone_count(), kind: 2, ..Entry::default() };
        let own = |z: &u16| self.lists_zone(i, *z);
        let of = |z| (0..self.members_in(z)).map(move |n| self.entry(z, n));
        (0..self.zone_count()).filter(own).flat_map(of).chain([origin]).collect()
    }
    pub(crate) fn lists_zone(&self, i: usize, zone: u16) -> bool {
        i < VOTERS || zone >= self.locations || usize::from(zone) == self.location_of(i)
    }
    pub(crate) fn location_of(&self, i: usize) -> usize {
        i % usize::from(self.locations)
    }
    pub(crate) fn settings(&self, i: usize) -> Settings {
        let s = crate::fleet::settings(self.proxies);
        let own = self.proxies as u32 / u32::from(self.locations);
        Settings {
            zone: self.location_of(i) as u16,
            routers_by_zone: vec![own; usize::from(self.locations)],
            siblings: Siblings::Off,
            direct: self.direct,
            columns: nickelgate::ReportColumns { cpu: Some(0), ..Default::default() },
            ..s
        }
    }
    pub(crate) fn zone_settings(&self) -> Vec<Zone> {
        let s = self.settings(0);
        let hubs = |but: Option<u16>| {
            (0..self.parents).map(|h| self.parent(h)).filter(|h| Some(*h) != but).collect::<Vec<_>>()
        };
        (0..self.zone_count())
            .map(|z| match z < self.locations {
                true => Zone {
                    kind: Kind::Location,
                    region: z % self.parents,
                    warm_up: s.cold_period,
                    fallbacks: if self.direct { hubs(None) } else { Vec::new() },
                },
                false => Zone {
                    kind: Kind::Parent,
                    region: z - self.locations,
                    warm_up: s.parent_cold_period,
                    fallbacks: hubs(Some(z)),
                },
            })
            .collect()
    }
}
