//! A fleet in virtual time: real instances of zones and budgets, a network that loses, delays and duplicates
//! messages, and zones that answer or fail.
//!
//! The instances learn nothing but the messages that they receive and the results of their own attempts.
use std::collections::{BTreeMap, VecDeque};
use threadward_budgets::{Budgets, Settings as BudgetSettings};
use threadward_zones::{wire, ElectionView, Kind, Settings, Zone, ZoneObservation, ZoneUse, Zones};

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;
const STEP: u64 = 10 * MS;
/// Attempts that a proxy sends to each parent zone in a tenth of a second while the zone is in service.
const ATTEMPTS_PER_SAMPLE: u16 = 10;

pub struct Proxy {
    pub zones: Zones,
    pub budgets: Budgets,
    pub up: bool,
    /// For each zone the last two seconds in tenths of a second: attempts and failures.
    samples: Vec<VecDeque<(u16, u16)>>,
}

pub struct Fleet {
    pub now: u64,
    pub all: Vec<Proxy>,
    zones: Vec<Zone>,
    /// Whether a zone, the second argument, fails for a proxy, the first one.
    pub fails_for: Box<dyn Fn(u16, u16) -> bool>,
    /// Whether two proxies reach each other.
    pub linked: Box<dyn Fn(u16, u16) -> bool>,
    /// The utilization that the members of a zone report, in 255ths.
    pub mean_use: u8,
    /// The part of the messages that is lost, in thousandths. Above 0, messages are also duplicated and
    /// delayed.
    pub loss_permille: u64,
    /// Messages by the time of their arrival and a running number.
    in_flight: BTreeMap<(u64, u64), (u16, u16, Vec<u8>)>,
    messages_sent: u64,
    random_state: u64,
}

/// Returns parent zones in a region each, every one with all others as fallbacks.
pub fn parents(count: u16, warm_up: u64) -> Vec<Zone> {
    let fallbacks = |z| (0..count).filter(|t| *t != z).collect();
    (0..count).map(|z| Zone { kind: Kind::Parent, region: z, warm_up, fallbacks: fallbacks(z) }).collect()
}

impl Fleet {
    pub fn new(seed: u64, proxies: u16, zones: Vec<Zone>) -> Fleet {
        let mut f = Fleet {
            now: 10 * S,
            all: Vec::new(),
            zones,
            fails_for: Box::new(|_, _| false),
            linked: Box::new(|_, _| true),
            mean_use: 80,
            loss_permille: 0,
            in_flight: BTreeMap::new(),
            messages_sent: 0,
            random_state: seed,
        };
        f.all = (0..proxies).map(|p| f.start(p, proxies)).collect();
        f
    }

    fn start(&mut self, index: u16, proxies: u16) -> Proxy {
        let entropy: Vec<u8> = (0..32).map(|_| self.random(256) as u8).collect();
        let (voters, lease) = (vec![0, 1, 2], S);
        let budget_settings =
            BudgetSettings { index, proxies, voters: voters.clone(), totals: vec![100], lease };
        let budgets = Budgets::new(self.now, budget_settings, entropy.try_into().unwrap()).unwrap();
        let (me, own_zone) = (budgets.identity(), index % self.zones.len() as u16);
        let s = Settings { me, proxies, voters, own_zone, lease, zones: self.zones.clone() };
        let samples = vec![VecDeque::new(); self.zones.len()];
        Proxy { zones: Zones::new(self.now, s).unwrap(), budgets, up: true, samples }
    }

    /// Replaces a proxy by one that has just started and remembers nothing.
    pub fn restart(&mut self, p: u16) {
        self.all[usize::from(p)] = self.start(p, self.all.len() as u16);
    }

    /// Returns a pseudorandom number below `below`.
    fn random(&mut self, below: u64) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.random_state ^ self.random_state >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb) % below
    }

    /// Returns the proxy that considers itself the decider now.
    pub fn decider(&self) -> Option<u16> {
        let decides = |p: &Proxy| p.up && p.budgets.is_coordinator(self.now);
        self.all.iter().position(decides).map(|p| p as u16)
    }

    /// Sends a message, which the network may lose, duplicate or delay.
    pub fn send(&mut self, from: u16, to: u16, bytes: Vec<u8>) {
        if !(self.linked)(from, to) || self.random(1000) < self.loss_permille {
            return;
        }
        for _ in 0..1 + u64::from(self.loss_permille > 0 && self.random(10) == 0) {
            let extra_delay =
                if self.loss_permille > 0 && self.random(20) == 0 { self.random(400) } else { 0 };
            self.messages_sent += 1;
            let at = self.now + (1 + self.random(8) + extra_delay) * MS;
            self.in_flight.insert((at, self.messages_sent), (from, to, bytes.clone()));
        }
    }

    fn election(&self, p: u16) -> ElectionView {
        let b = &self.all[usize::from(p)].budgets;
        let is_decider = b.is_coordinator(self.now);
        let decider = if is_decider { p } else { b.coordinator() };
        ElectionView { is_decider, promised_to: b.promised_to(self.now), decider }
    }

    /// Advances the time by one step: delivers messages, passes on the results of attempts and does what is
    /// due.
    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        while let Some(first) = self.in_flight.first_entry().filter(|e| e.key().0 <= now) {
            let (from, to, bytes) = first.remove();
            let (election, mut out) = (self.election(to), Vec::new());
            let p = &mut self.all[usize::from(to)];
            if p.up && wire::is_zones_message(&bytes) {
                p.zones.receive(now, from, &bytes, election, &mut out);
            } else if p.up {
                p.budgets.receive(now, &bytes, &mut out);
            }
            out.into_iter().for_each(|(t, b)| self.send(to, t, b));
        }
        for i in 0..self.all.len() as u16 {
            if now.is_multiple_of(100 * MS) {
                self.observe_attempts(i);
            }
            let mut out = Vec::new();
            if self.all[usize::from(i)].up {
                self.all[usize::from(i)].budgets.tick(now, &mut out);
                let election = self.election(i);
                let zones = &mut self.all[usize::from(i)].zones;
                zones.tick(now, election, &mut out);
                assert!(zones.next_due() > now, "proxy {i} is due again at once");
            }
            out.into_iter().for_each(|(t, b)| self.send(i, t, b));
        }
    }

    /// Adds a sample of a proxy's attempts at every zone and passes the sums of the last two seconds to its
    /// instance.
    fn observe_attempts(&mut self, i: u16) {
        let (now, mean_use) = (self.now, self.mean_use);
        let p = &mut self.all[usize::from(i)];
        let mut observed = Vec::new();
        for z in 0..self.zones.len() as u16 {
            let attempts = match p.zones.usage(z) {
                ZoneUse::Normal | ZoneUse::Suspected | ZoneUse::Trial => ATTEMPTS_PER_SAMPLE,
                ZoneUse::Ramping(n) => (ATTEMPTS_PER_SAMPLE * n / 1000).max(1),
                ZoneUse::Unused => 0,
            };
            let fails = (self.fails_for)(i, z);
            let samples = &mut p.samples[usize::from(z)];
            samples.push_back((attempts, if fails { attempts } else { 0 }));
            samples.drain(..samples.len().saturating_sub(20));
            let (attempts, failed) = samples.iter().fold((0, 0), |(t, f), (a, b)| (t + a, f + b));
            let bad_members = if failed * 2 > attempts { 4 } else { 0 };
            observed.push(ZoneObservation {
                zone: z,
                attempts,
                failed,
                members: 4,
                bad_members,
                load: attempts,
                mean_use,
            });
        }
        p.zones.observe(now, observed);
    }

    /// Runs for a time.
    pub fn run(&mut self, span: u64) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    /// Runs until the condition holds and returns how long that took. Fails if it takes longer than `limit`.
    pub fn run_until(&mut self, limit: u64, what: &str, holds: impl Fn(&Fleet) -> bool) -> u64 {
        let began = self.now;
        while !holds(self) {
            assert!(self.now < began + limit, "not within {limit} us: {what}\n{}", self.describe());
            self.step();
        }
        self.now - began
    }

    /// Returns the state and step of a zone at each proxy that is up.
    pub fn states_of(&self, z: usize) -> Vec<(threadward_zones::state::State, u8)> {
        let up = self.all.iter().filter(|p| p.up);
        up.map(|p| (p.zones.map().zones[z].state, p.zones.map().zones[z].step)).collect()
    }

    /// Describes the maps and counters of all proxies that are up, for failed assertions.
    pub fn describe(&self) -> String {
        let one = |p: &Proxy| {
            let m = p.zones.map();
            let all: Vec<_> = m
                .zones
                .iter()
                .map(|z| (z.state, z.step, z.failing_proxies, z.trying_proxies, z.failed_returns))
                .collect();
            format!(
                "{} {:?} {all:?} {:?}\n",
                m.epoch.number,
                p.zones.counters,
                p.budgets.is_coordinator(self.now)
            )
        };
        self.all.iter().filter(|p| p.up).map(one).collect()
    }
}
