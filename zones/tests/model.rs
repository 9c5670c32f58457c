//! A model check of the crate's own code: three proxies that all vote and of which two may decide; messages lost, doubled
//! and late; a voter that lies once; a voter that restarts without memory; an authority that ends and passes on, the election being what
//! `docs/budgets.md` proves of it. It owns what must hold in every state. Reports reach a decider at once or not at all,
//! and a question to vouch is answered at once: neither changes whom it asks.
use stateright::{Checker, Model, Property, UniformChooser};
use std::collections::{BTreeMap, BTreeSet};
use threadward_zones::map::{Epoch, Map};
use threadward_zones::state::State::{self, In, Leaving, Out, Probing, Returning, Suspect};
use threadward_zones::state::Why;
use threadward_zones::wire::{self, Body};
use threadward_zones::{
    Author, Counters, ElectionView, Kind, Settings, Zone, ZoneObservation, ZoneUse, Zones, RESEND_INTERVAL,
};

const N: usize = 3;
/// States that are visited by lot from each start.
const SOME: usize = 150_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    all: Vec<Zones>,
    lives: [u64; N],
    clocks: [u64; N],
    net: BTreeSet<(u16, u16, Vec<u8>)>,
    promised: [Option<Author>; N],
    decider: Option<usize>,
    ticks: [u8; N],
    elections: u8,
    crashes: u8,
    doubles: u8,
    lies: u8,
    /// Of a map that a voter took, who; and of a number the map that somebody acted on.
    took: BTreeMap<(Epoch, u64), u8>,
    acted: BTreeMap<u64, (u64, Map)>,
    epochs: [Epoch; N],
    /// The map that a decider acted on last, and how many.
    decided: Option<Map>,
    deciders: BTreeSet<u64>,
    wrong: Option<&'static str>,
}

#[derive(Clone, Debug, PartialEq)]
enum Act {
    Tick(usize),
    /// By the voters of these bits.
    Elect(usize, u8),
    End,
    Crash(usize),
    Deliver(usize),
    Double(usize),
    /// The last voter tells a map that nobody took, and vouches for it.
    Lie,
}

/// How the fleet stands at the beginning, and how much may happen.
struct Case {
    fails: bool,
    /// A decider's tick lasts so long.
    span: u64,
    ticks: [u8; N],
    elections: u8,
    crashes: u8,
    doubles: u8,
    net: usize,
    /// Ticks without mishap before the check begins, and of them those in which zone 0 fails.
    before: u32,
    failing: u32,
}

fn settings(me: Author) -> Settings {
    let zone = |kind, region: u16, fallbacks| Zone { kind, region, warm_up: 0, fallbacks };
    let zones =
        vec![zone(Kind::Parent, 0, vec![1]), zone(Kind::Parent, 1, vec![0]), zone(Kind::Location, 2, vec![])];
    Settings { me, proxies: N as u16, voters: vec![0, 1, 2], own_zone: me.index % 2, lease: 1_000_000, zones }
}

impl Fleet {
    fn author(&self, i: usize) -> Author {
        Author { index: i as u16, incarnation: self.lives[i] }
    }

    fn seat(&self, i: usize) -> ElectionView {
        let decides = self.decider == Some(i);
        ElectionView {
            is_decider: decides,
            promised_to: self.promised[i],
            decider: self.decider.unwrap_or(0) as u16,
        }
    }

    /// Sends on what one sent, and looks at what it did.
    fn sent(&mut self, i: usize, out: Vec<(u16, Vec<u8>)>) {
        for (to, bytes) in out {
            let body = wire::read(&bytes, 0).map(|(_, body)| body);
            match body {
                Some(Body::Report { .. } | Body::Query { .. }) => self.deliver(i as u16, to, &bytes),
                _ => {
                    self.net.insert((to, i as u16, bytes));
                }
            }
        }
        self.look(i);
    }

    fn deliver(&mut self, from: u16, to: u16, bytes: &[u8]) {
        let (t, mut out) = (usize::from(to), Vec::new());
        let (seat, now) = (self.seat(t), self.clocks[t]);
        self.all[t].receive(now, from, bytes, seat, &mut out);
        self.sent(t, out);
    }

    fn tick(&mut self, i: usize, span: u64, fails: bool) {
        self.clocks[i] += span;
        let (now, mut out) = (self.clocks[i], Vec::new());
        let bad = |zone| ZoneObservation {
            zone,
            attempts: 9,
            failed: 9,
            members: 2,
            bad_members: 2,
            load: 9,
            mean_use: 60,
        };
        let fine = |zone| ZoneObservation { failed: 0, bad_members: 0, ..bad(zone) };
        // Both hubs fail for all, the location does not.
        let hub = |zone| if fails { bad(zone) } else { fine(zone) };
        let seen = vec![hub(0), hub(1), fine(2)];
        self.all[i].observe(now, seen);
        let seat = self.seat(i);
        self.all[i].tick(now, seat, &mut out);
        self.sent(i, out);
    }

    fn look(&mut self, i: usize) {
        self.all[i].counters = Counters::default();
        self.all[i].take_moves();
        let mut out = Vec::new();
        let ask = wire::write(self.author((i + 1) % N), &Body::Query { epoch: Epoch::default() }, 0);
        let mut voter = self.all[i].clone();
        voter.receive(self.clocks[i], ((i + 1) % N) as u16, &ask, self.seat(i), &mut out);
        for (_, bytes) in out {
            if let Some((_, Body::Confirm { epoch, hash })) = wire::read(&bytes, 0) {
                *self.took.entry((epoch, hash)).or_default() |= 1 << i;
            }
        }
        let map = self.all[i].map().clone();
        let (before, epoch, hash) = (self.epochs[i], map.epoch, map.hash());
        if epoch == before {
            return;
        }
        self.epochs[i] = epoch;
        let took = self.took.get(&(epoch, hash)).map_or(0, |bits| bits.count_ones());
        let known = self.acted.entry(epoch.number).or_insert((hash, map.clone())).0;
        let returns = (0..2).all(|z| match self.all[i].usage(z) {
            ZoneUse::Ramping(share) => {
                share <= u16::from(map.zones[usize::from(z)].step.saturating_sub(1)) * 125
            }
            _ => true,
        });
        let own = epoch.incarnation == self.lives[i] && self.decider == Some(i);
        let old = self.decided.as_ref().filter(|_| own);
        let checks = [
            (epoch > before, "an epoch went back"),
            (took * 2 > N as u32, "a map was adopted that no majority took"),
            (known == hash, "two maps of one number were adopted"),
            (map.zones[..2].iter().any(|z| !matches!(z.state, Leaving | Out)), "both hubs are out"),
            (returns, "a zone is used beyond its step"),
            (old.is_none_or(|o| o.epoch.number < epoch.number), "maps were decided out of order"),
            (old.is_none_or(|o| follows(o, &map)), "a zone moved off the table"),
        ];
        self.wrong = self.wrong.or(checks.iter().find(|c| !c.0).map(|c| c.1));
        if own {
            self.deciders.insert(epoch.incarnation);
            self.decided = Some(map);
        }
    }
}

/// Whether every zone stayed or moved once, as `state.rs` has it.
fn follows(old: &Map, new: &Map) -> bool {
    const TABLE: [(State, State); 10] = [
        (In, Suspect),
        (Suspect, In),
        (Suspect, Leaving),
        (Leaving, Out),
        (Out, Probing),
        (Probing, Out),
        (Probing, Returning),
        (Returning, Returning),
        (Returning, Out),
        (Returning, In),
    ];
    old.zones.iter().zip(&new.zones).all(|(a, b)| {
        let on = b.step == a.step || b.step == a.step + 1;
        let step = a.state != b.state || on || b.step + 1 == a.step && b.why == Why::Failing;
        (a.state == b.state || TABLE.contains(&(a.state, b.state))) && step
    })
}

impl Model for Case {
    type State = Fleet;
    type Action = Act;

    fn init_states(&self) -> Vec<Fleet> {
        let lives = [10, 20, 30];
        let new = |i: usize| {
            Zones::new(1_000_000, settings(Author { index: i as u16, incarnation: lives[i] }))
                .expect("settings")
        };
        let mut f = Fleet {
            all: (0..N).map(new).collect(),
            lives,
            clocks: [1_000_000; N],
            net: BTreeSet::new(),
            promised: [Some(Author { index: 0, incarnation: 10 }); N],
            decider: Some(0),
            ticks: self.ticks,
            elections: self.elections,
            crashes: self.crashes,
            doubles: self.doubles,
            lies: 1,
            took: BTreeMap::new(),
            acted: BTreeMap::new(),
            epochs: [Epoch::default(); N],
            decided: None,
            deciders: BTreeSet::new(),
            wrong: None,
        };
        for n in 0..self.before {
            for i in 0..N {
                f.tick(i, RESEND_INTERVAL, n < self.failing);
                while let Some((to, from, bytes)) = f.net.pop_first() {
                    f.deliver(from, to, &bytes);
                }
            }
        }
        assert_eq!(f.wrong, None);
        // What is known of the past is the last map alone.
        let last = f.all[0].map().clone();
        f.took.retain(|(epoch, _), _| *epoch == last.epoch);
        f.acted.retain(|number, _| *number == last.epoch.number);
        vec![f]
    }

    fn actions(&self, f: &Fleet, acts: &mut Vec<Act>) {
        acts.extend((0..f.net.len()).map(Act::Deliver));
        acts.extend((0..N).filter(|i| f.ticks[*i] > 0).map(Act::Tick));
        if f.decider.is_some() {
            acts.push(Act::End);
        } else if f.elections > 0 {
            acts.extend([
                Act::Elect(0, 0b011),
                Act::Elect(0, 0b101),
                Act::Elect(1, 0b011),
                Act::Elect(1, 0b110),
            ]);
        }
        if f.crashes > 0 {
            acts.extend((0..N).map(Act::Crash));
        }
        if f.lies > 0 {
            acts.push(Act::Lie);
        }
        if f.doubles > 0 {
            acts.extend((0..f.net.len()).map(Act::Double));
        }
    }

    fn next_state(&self, f: &Fleet, act: Act) -> Option<Fleet> {
        let mut f = f.clone();
        match act {
            Act::Tick(i) => {
                f.ticks[i] -= 1;
                f.tick(i, if f.decider == Some(i) { self.span } else { RESEND_INTERVAL }, self.fails);
            }
            Act::Lie => {
                f.lies -= 1;
                let mut map = f.all[2].map().clone();
                map.epoch.number += 100;
                map.zones[0].state = Out;
                map.zones[0].step = 0;
                let (epoch, hash) = (map.epoch, map.hash());
                for body in [Body::Announce { map }, Body::Confirm { epoch, hash }] {
                    let bytes = wire::write(f.author(2), &body, f.clocks[2]);
                    f.net.extend([0, 1].map(|to| (to, 2, bytes.clone())));
                }
            }
            Act::End => f.decider = None,
            Act::Elect(i, by) => {
                f.elections -= 1;
                f.decider = Some(i);
                let to = f.author(i);
                (0..N).filter(|v| by >> v & 1 == 1).for_each(|v| f.promised[v] = Some(to));
            }
            Act::Crash(i) => {
                f.crashes -= 1;
                f.lives[i] += 1;
                let me = f.author(i);
                f.all[i] = Zones::new(f.clocks[i], settings(me)).expect("settings");
                (f.epochs[i], f.promised[i]) = (Epoch::default(), None);
                f.decider = f.decider.filter(|d| *d != i);
                // It promises nothing for a lease: what was under way to it is gone by then.
                f.net.retain(|(to, _, _)| usize::from(*to) != i);
            }
            Act::Deliver(at) | Act::Double(at) => {
                let (to, from, bytes) = f.net.iter().nth(at)?.clone();
                if matches!(act, Act::Double(_)) {
                    f.doubles -= 1;
                } else {
                    f.net.remove(&(to, from, bytes.clone()));
                }
                f.deliver(from, to, &bytes);
            }
        }
        Some(f)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nothing is wrong", |_, f: &Fleet| f.wrong.is_none()),
            Property::sometimes("two deciders' maps were acted on", |_, f: &Fleet| f.deciders.len() > 1),
        ]
    }

    fn within_boundary(&self, f: &Fleet) -> bool {
        f.net.len() <= self.net
    }
}

const MANY_EVENTS: Case = Case {
    fails: false,
    span: 300_000,
    ticks: [4, 4, 3],
    elections: 3,
    crashes: 1,
    doubles: 2,
    net: 20,
    before: 0,
    failing: 0,
};
const FEW_EVENTS: Case =
    Case { ticks: [1, 2, 0], elections: 1, crashes: 0, doubles: 0, net: 5, ..MANY_EVENTS };

/// A zone in the middle of its return, and two that fail at once.
fn starts(c: Case) -> [(State, Case); 2] {
    [
        (Returning, Case { before: 62, failing: 12, ..c }),
        (Suspect, Case { before: 5, failing: 5, fails: true, ..c }),
    ]
}

/// Every order of few events, the shortest first.
#[test]
fn few_events_in_every_order() {
    for (state, case) in starts(FEW_EVENTS) {
        assert_eq!(case.init_states()[0].all[0].map().zones[0].state, state);
        let all = case.checker().threads(3).target_state_count(SOME * 2).spawn_bfs().join();
        println!("{state:?}: {} states, {} events deep", all.unique_state_count(), all.max_depth());
        all.assert_properties();
        assert!(all.unique_state_count() > SOME / 4);
    }
}

/// Many events, in an order by lot.
#[test]
fn many_events_by_lot() {
    for (seed, (state, case)) in starts(MANY_EVENTS).into_iter().enumerate() {
        // What a voter forgot shows late, and these states are small.
        let most = if state == Suspect { SOME * 3 } else { SOME };
        let some =
            case.checker().target_state_count(most).spawn_simulation(seed as u64, UniformChooser).join();
        println!("{state:?}: {} states, {} events deep", some.state_count(), some.max_depth());
        some.assert_properties();
        assert!(some.state_count() >= most);
    }
}
