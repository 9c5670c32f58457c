//! A model check of the crate's own code, and the invariants that must hold in every state.
//!
//! Three proxies all vote, and two of them may become the decider. Messages are lost, duplicated and delayed.
//! One voter lies once, a voter may restart without memory, and the authority to decide ends and passes on,
//! with the guarantees that `docs/budgets.md` proves for the election. To keep the number of states small, a
//! report is delivered at once or not at all and a query to a voter is delivered at once: neither changes
//! whom the instances ask.
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
/// Number of states that the random walk visits from each start.
const RANDOM_STATES: usize = 150_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Fleet {
    all: Vec<Zones>,
    incarnations: [u64; N],
    clocks: [u64; N],
    /// Messages on their way: receiver, sender and bytes.
    in_flight: BTreeSet<(u16, u16, Vec<u8>)>,
    promised_to: [Option<Author>; N],
    decider: Option<usize>,
    // How many events of each kind may still happen.
    ticks: [u8; N],
    elections: u8,
    crashes: u8,
    duplicates: u8,
    lies: u8,
    /// For each map, by epoch and hash, the voters that accepted it, one bit each.
    accepted_by: BTreeMap<(Epoch, u64), u8>,
    /// For each map number, the hash and the map that a proxy acted on first.
    acted_on: BTreeMap<u64, (u64, Map)>,
    epochs: [Epoch; N],
    /// The map that a decider decided and adopted last.
    decided: Option<Map>,
    /// The incarnations of the deciders whose maps were adopted.
    deciders: BTreeSet<u64>,
    /// The first invariant that was broken.
    violation: Option<&'static str>,
}

#[derive(Clone, Debug, PartialEq)]
enum Event {
    Tick(usize),
    /// A proxy is elected as decider by the voters of these bits.
    Elect(usize, u8),
    /// The authority of the decider ends.
    EndAuthority,
    Crash(usize),
    Deliver(usize),
    Duplicate(usize),
    /// The last voter announces a map that nobody accepted, and confirms it.
    Lie,
}

/// The state of the fleet at the beginning, and how many events of each kind may happen.
struct Case {
    /// Whether both parent zones fail.
    fails: bool,
    /// The time that passes in a tick of the decider.
    decider_tick: u64,
    ticks: [u8; N],
    elections: u8,
    crashes: u8,
    duplicates: u8,
    /// Largest number of messages in flight.
    max_in_flight: usize,
    /// Ticks without faults before the check begins.
    ticks_before: u32,
    /// The first of them, in which both parent zones fail.
    failing_ticks: u32,
}

fn settings(me: Author) -> Settings {
    let zone = |kind, region: u16, fallbacks| Zone { kind, region, warm_up: 0, fallbacks };
    let zones =
        vec![zone(Kind::Parent, 0, vec![1]), zone(Kind::Parent, 1, vec![0]), zone(Kind::Location, 2, vec![])];
    Settings { me, proxies: N as u16, voters: vec![0, 1, 2], own_zone: me.index % 2, lease: 1_000_000, zones }
}

impl Fleet {
    fn author(&self, i: usize) -> Author {
        Author { index: i as u16, incarnation: self.incarnations[i] }
    }

    fn election(&self, i: usize) -> ElectionView {
        let is_decider = self.decider == Some(i);
        ElectionView {
            is_decider,
            promised_to: self.promised_to[i],
            decider: self.decider.unwrap_or(0) as u16,
        }
    }

    /// Puts the messages that a proxy sent in flight, and checks the invariants.
    fn send_and_check(&mut self, i: usize, out: Vec<(u16, Vec<u8>)>) {
        for (to, bytes) in out {
            let body = wire::read(&bytes, 0).map(|(_, body)| body);
            match body {
                Some(Body::Report { .. } | Body::Query { .. }) => self.deliver(i as u16, to, &bytes),
                _ => {
                    self.in_flight.insert((to, i as u16, bytes));
                }
            }
        }
        self.check_invariants(i);
    }

    fn deliver(&mut self, from: u16, to: u16, bytes: &[u8]) {
        let (t, mut out) = (usize::from(to), Vec::new());
        let (election, now) = (self.election(t), self.clocks[t]);
        self.all[t].receive(now, from, bytes, election, &mut out);
        self.send_and_check(t, out);
    }

    fn tick(&mut self, i: usize, span: u64, fails: bool) {
        self.clocks[i] += span;
        let (now, mut out) = (self.clocks[i], Vec::new());
        let failing = |zone| ZoneObservation {
            zone,
            attempts: 9,
            failed: 9,
            members: 2,
            bad_members: 2,
            load: 9,
            mean_use: 60,
        };
        let healthy = |zone| ZoneObservation { failed: 0, bad_members: 0, ..failing(zone) };
        // Both parent zones fail for all proxies, the location does not.
        let parent = |zone| if fails { failing(zone) } else { healthy(zone) };
        let observed = vec![parent(0), parent(1), healthy(2)];
        self.all[i].observe(now, observed);
        let election = self.election(i);
        self.all[i].tick(now, election, &mut out);
        self.send_and_check(i, out);
    }

    /// Notes which map a proxy has accepted as a voter, and checks the invariants if it acts on another map
    /// than before. Counters and transitions are cleared so that they don't multiply the states.
    fn check_invariants(&mut self, i: usize) {
        self.all[i].counters = Counters::default();
        self.all[i].take_moves();
        let mut out = Vec::new();
        let query = wire::write(self.author((i + 1) % N), &Body::Query { epoch: Epoch::default() }, 0);
        let mut voter = self.all[i].clone();
        voter.receive(self.clocks[i], ((i + 1) % N) as u16, &query, self.election(i), &mut out);
        for (_, bytes) in out {
            if let Some((_, Body::Confirm { epoch, hash })) = wire::read(&bytes, 0) {
                *self.accepted_by.entry((epoch, hash)).or_default() |= 1 << i;
            }
        }
        let map = self.all[i].map().clone();
        let (before, epoch, hash) = (self.epochs[i], map.epoch, map.hash());
        if epoch == before {
            return;
        }
        self.epochs[i] = epoch;
        let accepted = self.accepted_by.get(&(epoch, hash)).map_or(0, |bits| bits.count_ones());
        let known = self.acted_on.entry(epoch.number).or_insert((hash, map.clone())).0;
        let usage_within_step = (0..2).all(|z| match self.all[i].usage(z) {
            ZoneUse::Ramping(share) => {
                share <= u16::from(map.zones[usize::from(z)].step.saturating_sub(1)) * 125
            }
            _ => true,
        });
        let own = epoch.incarnation == self.incarnations[i] && self.decider == Some(i);
        let old = self.decided.as_ref().filter(|_| own);
        let checks = [
            (epoch > before, "an epoch went back"),
            (accepted * 2 > N as u32, "a map was adopted that no majority accepted"),
            (known == hash, "two maps of one number were adopted"),
            (map.zones[..2].iter().any(|z| !matches!(z.state, Leaving | Out)), "both parent zones are out"),
            (usage_within_step, "a zone is used beyond its step"),
            (old.is_none_or(|o| o.epoch.number < epoch.number), "maps were decided out of order"),
            (old.is_none_or(|o| follows(o, &map)), "a zone made a transition that is not in the table"),
        ];
        self.violation = self.violation.or(checks.iter().find(|c| !c.0).map(|c| c.1));
        if own {
            self.deciders.insert(epoch.incarnation);
            self.decided = Some(map);
        }
    }
}

/// Returns whether every zone kept its state or made one transition that `state.rs` allows.
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
        let same_or_next = b.step == a.step || b.step == a.step + 1;
        let step_allowed =
            a.state != b.state || same_or_next || b.step + 1 == a.step && b.why == Why::Failing;
        (a.state == b.state || TABLE.contains(&(a.state, b.state))) && step_allowed
    })
}

impl Model for Case {
    type State = Fleet;
    type Action = Event;

    fn init_states(&self) -> Vec<Fleet> {
        let incarnations = [10, 20, 30];
        let new = |i: usize| {
            Zones::new(1_000_000, settings(Author { index: i as u16, incarnation: incarnations[i] }))
                .expect("settings")
        };
        let mut f = Fleet {
            all: (0..N).map(new).collect(),
            incarnations,
            clocks: [1_000_000; N],
            in_flight: BTreeSet::new(),
            promised_to: [Some(Author { index: 0, incarnation: 10 }); N],
            decider: Some(0),
            ticks: self.ticks,
            elections: self.elections,
            crashes: self.crashes,
            duplicates: self.duplicates,
            lies: 1,
            accepted_by: BTreeMap::new(),
            acted_on: BTreeMap::new(),
            epochs: [Epoch::default(); N],
            decided: None,
            deciders: BTreeSet::new(),
            violation: None,
        };
        for n in 0..self.ticks_before {
            for i in 0..N {
                f.tick(i, RESEND_INTERVAL, n < self.failing_ticks);
                while let Some((to, from, bytes)) = f.in_flight.pop_first() {
                    f.deliver(from, to, &bytes);
                }
            }
        }
        assert_eq!(f.violation, None);
        // Only the last map of this time is remembered, so that the states stay small.
        let last = f.all[0].map().clone();
        f.accepted_by.retain(|(epoch, _), _| *epoch == last.epoch);
        f.acted_on.retain(|number, _| *number == last.epoch.number);
        vec![f]
    }

    fn actions(&self, f: &Fleet, events: &mut Vec<Event>) {
        events.extend((0..f.in_flight.len()).map(Event::Deliver));
        events.extend((0..N).filter(|i| f.ticks[*i] > 0).map(Event::Tick));
        if f.decider.is_some() {
            events.push(Event::EndAuthority);
        } else if f.elections > 0 {
            events.extend([
                Event::Elect(0, 0b011),
                Event::Elect(0, 0b101),
                Event::Elect(1, 0b011),
                Event::Elect(1, 0b110),
            ]);
        }
        if f.crashes > 0 {
            events.extend((0..N).map(Event::Crash));
        }
        if f.lies > 0 {
            events.push(Event::Lie);
        }
        if f.duplicates > 0 {
            events.extend((0..f.in_flight.len()).map(Event::Duplicate));
        }
    }

    fn next_state(&self, f: &Fleet, event: Event) -> Option<Fleet> {
        let mut f = f.clone();
        match event {
            Event::Tick(i) => {
                f.ticks[i] -= 1;
                f.tick(i, if f.decider == Some(i) { self.decider_tick } else { RESEND_INTERVAL }, self.fails);
            }
            Event::Lie => {
                f.lies -= 1;
                let mut map = f.all[2].map().clone();
                map.epoch.number += 100;
                map.zones[0].state = Out;
                map.zones[0].step = 0;
                let (epoch, hash) = (map.epoch, map.hash());
                for body in [Body::Announce { map }, Body::Confirm { epoch, hash }] {
                    let bytes = wire::write(f.author(2), &body, f.clocks[2]);
                    f.in_flight.extend([0, 1].map(|to| (to, 2, bytes.clone())));
                }
            }
            Event::EndAuthority => f.decider = None,
            Event::Elect(i, by) => {
                f.elections -= 1;
                f.decider = Some(i);
                let to = f.author(i);
                (0..N).filter(|v| by >> v & 1 == 1).for_each(|v| f.promised_to[v] = Some(to));
            }
            Event::Crash(i) => {
                f.crashes -= 1;
                f.incarnations[i] += 1;
                let me = f.author(i);
                f.all[i] = Zones::new(f.clocks[i], settings(me)).expect("settings");
                (f.epochs[i], f.promised_to[i]) = (Epoch::default(), None);
                f.decider = f.decider.filter(|d| *d != i);
                // A restarted voter votes for nobody for the length of a lease. Messages to it that were in
                // flight are lost by then.
                f.in_flight.retain(|(to, _, _)| usize::from(*to) != i);
            }
            Event::Deliver(at) | Event::Duplicate(at) => {
                let (to, from, bytes) = f.in_flight.iter().nth(at)?.clone();
                if matches!(event, Event::Duplicate(_)) {
                    f.duplicates -= 1;
                } else {
                    f.in_flight.remove(&(to, from, bytes.clone()));
                }
                f.deliver(from, to, &bytes);
            }
        }
        Some(f)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no invariant is broken", |_, f: &Fleet| f.violation.is_none()),
            Property::sometimes("proxies acted on maps of two deciders", |_, f: &Fleet| f.deciders.len() > 1),
        ]
    }

    fn within_boundary(&self, f: &Fleet) -> bool {
        f.in_flight.len() <= self.max_in_flight
    }
}

const MANY_EVENTS: Case = Case {
    fails: false,
    decider_tick: 300_000,
    ticks: [4, 4, 3],
    elections: 3,
    crashes: 1,
    duplicates: 2,
    max_in_flight: 20,
    ticks_before: 0,
    failing_ticks: 0,
};
const FEW_EVENTS: Case =
    Case { ticks: [1, 2, 0], elections: 1, crashes: 0, duplicates: 0, max_in_flight: 5, ..MANY_EVENTS };

/// Returns the two starts: a zone in the middle of its return, and two zones that fail at once.
fn starts(c: Case) -> [(State, Case); 2] {
    [
        (Returning, Case { ticks_before: 62, failing_ticks: 12, ..c }),
        (Suspect, Case { ticks_before: 5, failing_ticks: 5, fails: true, ..c }),
    ]
}

/// Guards against a protocol error that a few events in an unusual order bring about. Tries every order,
/// shortest first.
#[test]
fn few_events_in_every_order() {
    for (state, case) in starts(FEW_EVENTS) {
        assert_eq!(case.init_states()[0].all[0].map().zones[0].state, state);
        let all = case.checker().threads(3).target_state_count(RANDOM_STATES * 2).spawn_bfs().join();
        println!("{state:?}: {} states, {} events deep", all.unique_state_count(), all.max_depth());
        all.assert_properties();
        assert!(all.unique_state_count() > RANDOM_STATES / 4);
    }
}

/// Guards against a protocol error that takes more events than can be tried in every order. Tries many events
/// in random order.
#[test]
fn many_events_in_random_order() {
    for (seed, (state, case)) in starts(MANY_EVENTS).into_iter().enumerate() {
        // The effect of a voter that forgot a map shows late, and these states are small.
        let states = if state == Suspect { RANDOM_STATES * 3 } else { RANDOM_STATES };
        let some =
            case.checker().target_state_count(states).spawn_simulation(seed as u64, UniformChooser).join();
        println!("{state:?}: {} states, {} events deep", some.state_count(), some.max_depth());
        some.assert_properties();
        assert!(some.state_count() >= states);
    }
}
