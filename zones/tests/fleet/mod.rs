//! A fleet in virtual time: real instances of zones and budgets, a network that loses, delays and doubles, and caches that
//! answer or fail. It owns what is true; it must never tell an instance more than messages and own attempts would.
use std::collections::{BTreeMap, VecDeque};
use threadward_budgets::{Budgets, Settings as Terms};
use threadward_zones::{wire, ElectionView, Kind, Settings, Zone, ZoneObservation, ZoneUse, Zones};

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;
const STEP: u64 = 10 * MS;
/// What a proxy sends to a hub in a tenth of a second when all of it goes there.
const RATE: u16 = 10;

pub struct Proxy {
    pub zones: Zones,
    pub budgets: Budgets,
    pub up: bool,
    /// Of each zone the last two seconds in tenths: attempts and failures.
    past: Vec<VecDeque<(u16, u16)>>,
}

pub struct Fleet {
    pub now: u64,
    pub all: Vec<Proxy>,
    zones: Vec<Zone>,
    /// Whether a zone fails for a proxy.
    pub dead: Box<dyn Fn(u16, u16) -> bool>,
    /// Whether two proxies reach each other.
    pub linked: Box<dyn Fn(u16, u16) -> bool>,
    /// What a zone reports of its use, in 255ths.
    pub busy: u8,
    pub loss: u64,
    post: BTreeMap<(u64, u64), (u16, u16, Vec<u8>)>,
    n: u64,
    lot: u64,
}

/// `hubs` hubs of a region each, every other the taker.
pub fn hubs(hubs: u16, cold: u64) -> Vec<Zone> {
    let fallbacks = |z| (0..hubs).filter(|t| *t != z).collect();
    (0..hubs)
        .map(|z| Zone { kind: Kind::Parent, region: z, warm_up: cold, fallbacks: fallbacks(z) })
        .collect()
}

impl Fleet {
    pub fn new(seed: u64, proxies: u16, zones: Vec<Zone>) -> Fleet {
        let mut f = Fleet {
            now: 10 * S,
            all: Vec::new(),
            zones,
            dead: Box::new(|_, _| false),
            linked: Box::new(|_, _| true),
            busy: 80,
            loss: 0,
            post: BTreeMap::new(),
            n: 0,
            lot: seed,
        };
        f.all = (0..proxies).map(|p| f.born(p, proxies)).collect();
        f
    }

    fn born(&mut self, place: u16, proxies: u16) -> Proxy {
        let entropy: Vec<u8> = (0..32).map(|_| self.roll(256) as u8).collect();
        let (voters, lease) = (vec![0, 1, 2], S);
        let terms = Terms { index: place, proxies, voters: voters.clone(), totals: vec![100], lease };
        let budgets = Budgets::new(self.now, terms, entropy.try_into().unwrap()).unwrap();
        let (me, stands) = (budgets.identity(), place % self.zones.len() as u16);
        let s = Settings { me, proxies, voters, own_zone: stands, lease, zones: self.zones.clone() };

        let past = vec![VecDeque::new(); self.zones.len()];
        Proxy { zones: Zones::new(self.now, s).unwrap(), budgets, up: true, past }
    }

    pub fn restart(&mut self, p: u16) {
        self.all[usize::from(p)] = self.born(p, self.all.len() as u16);
    }

    fn roll(&mut self, below: u64) -> u64 {
        self.lot = self.lot.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.lot ^ self.lot >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb) % below
    }

    /// Who decides now, by its own word.
    pub fn decider(&self) -> Option<u16> {
        let decides = |p: &Proxy| p.up && p.budgets.is_coordinator(self.now);
        self.all.iter().position(decides).map(|p| p as u16)
    }

    pub fn send(&mut self, from: u16, to: u16, bytes: Vec<u8>) {
        if !(self.linked)(from, to) || self.roll(1000) < self.loss {
            return;
        }
        for _ in 0..1 + u64::from(self.loss > 0 && self.roll(10) == 0) {
            let late = if self.loss > 0 && self.roll(20) == 0 { self.roll(400) } else { 0 };
            self.n += 1;
            let at = self.now + (1 + self.roll(8) + late) * MS;
            self.post.insert((at, self.n), (from, to, bytes.clone()));
        }
    }

    fn seat(&self, p: u16) -> ElectionView {
        let b = &self.all[usize::from(p)].budgets;
        let decides = b.is_coordinator(self.now);
        let decider = if decides { p } else { b.coordinator() };
        ElectionView { is_decider: decides, promised_to: b.promised_to(self.now), decider }
    }

    /// One step: what has arrived, what own attempts show, what is due.
    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        while let Some(first) = self.post.first_entry().filter(|e| e.key().0 <= now) {
            let (from, to, bytes) = first.remove();
            let (seat, mut out) = (self.seat(to), Vec::new());
            let p = &mut self.all[usize::from(to)];
            if p.up && wire::is_zones_message(&bytes) {
                p.zones.receive(now, from, &bytes, seat, &mut out);
            } else if p.up {
                p.budgets.receive(now, &bytes, &mut out);
            }
            out.into_iter().for_each(|(t, b)| self.send(to, t, b));
        }
        for i in 0..self.all.len() as u16 {
            if now.is_multiple_of(100 * MS) {
                self.attempts(i);
            }
            let mut out = Vec::new();
            if self.all[usize::from(i)].up {
                self.all[usize::from(i)].budgets.tick(now, &mut out);
                let seat = self.seat(i);
                let zones = &mut self.all[usize::from(i)].zones;
                zones.tick(now, seat, &mut out);
                assert!(zones.next_due() > now, "proxy {i} is due again at once");
            }
            out.into_iter().for_each(|(t, b)| self.send(i, t, b));
        }
    }

    fn attempts(&mut self, i: u16) {
        let (now, busy) = (self.now, self.busy);
        let p = &mut self.all[usize::from(i)];
        let mut seen = Vec::new();
        for z in 0..self.zones.len() as u16 {
            let tried = match p.zones.usage(z) {
                ZoneUse::Normal | ZoneUse::Suspected | ZoneUse::Trial => RATE,
                ZoneUse::Ramping(n) => (RATE * n / 1000).max(1),
                ZoneUse::Unused => 0,
            };
            let fails = (self.dead)(i, z);
            let past = &mut p.past[usize::from(z)];
            past.push_back((tried, if fails { tried } else { 0 }));
            past.drain(..past.len().saturating_sub(20));
            let (tried, failed) = past.iter().fold((0, 0), |(t, f), (a, b)| (t + a, f + b));
            let bad = if failed * 2 > tried { 4 } else { 0 };
            seen.push(ZoneObservation {
                zone: z,
                attempts: tried,
                failed,
                members: 4,
                bad_members: bad,
                load: tried,
                mean_use: busy,
            });
        }
        p.zones.observe(now, seen);
    }

    pub fn run(&mut self, span: u64) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    /// Runs until it holds: how long that took.
    pub fn until(&mut self, most: u64, what: &str, holds: impl Fn(&Fleet) -> bool) -> u64 {
        let began = self.now;
        while !holds(self) {
            assert!(self.now < began + most, "not in {most} us: {what}\n{}", self.told());
            self.step();
        }
        self.now - began
    }

    /// The state and step of a zone at each proxy that is up.
    pub fn at(&self, z: usize) -> Vec<(threadward_zones::state::State, u8)> {
        let up = self.all.iter().filter(|p| p.up);
        up.map(|p| (p.zones.map().zones[z].state, p.zones.map().zones[z].step)).collect()
    }

    pub fn told(&self) -> String {
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
