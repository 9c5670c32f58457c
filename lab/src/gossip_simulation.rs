//! A simulation of gossip instances in virtual time, without planners: what an instance's own traffic shows is scripted.
//!
//! It starts and kills instances, sets their clocks and records what they send. It uses an instance only through the
//! calls that a proxy has.
use crate::event_queue::EventQueue;
use crate::net::{Net, NetworkConditions};
use crate::stream;
use nickelgate::{Addr, MemberHealth, Micros, Outcome, Role};
use rand_core::RngCore;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use threadward_gossip::{public_key, Gossip, Notice, Output, PeerConfig, Settings, State};

/// How often an instance observes its own traffic.
pub const OBSERVATION_INTERVAL: Micros = 25_000;

enum Event {
    Arrive {
        from: SocketAddr,
        to: usize,
        bytes: Vec<u8>,
    },
    /// A timer or an observation, of one incarnation of an instance.
    Tick(usize, u64),
    Observe(usize, u64),
}

/// One instance of the simulation, running or not.
pub struct InstanceSlot {
    /// The instance, while it runs.
    pub gossip: Option<Gossip>,
    /// The settings of its next start.
    pub settings: Settings,
    /// How far its clock is ahead of the queue's.
    pub clock_offset: Micros,
    /// What its own traffic shows.
    pub member_health: Vec<MemberHealth>,
    /// Whom it always_accused of having just failed, whatever its traffic shows: a liar.
    pub always_accused: Vec<Addr>,
    /// What it has reported so far.
    pub reported_notices: Vec<Notice>,
    addr: SocketAddr,
    incarnation: u64,
    /// When it ticks next, so that one timer is enough.
    armed: Micros,
}

/// Gossip instances on a simulated network.
pub struct GossipSimulation {
    /// The instances by index.
    pub slots: Vec<InstanceSlot>,
    /// The network between them.
    pub net: Net,
    /// The instances at each address: more than one, where a file was changed before its instance ended.
    slots_by_address: BTreeMap<SocketAddr, Vec<usize>>,
    queue: EventQueue<Event>,
    /// Every datagram that was sent: when, from, to, and its bytes.
    pub sent: Vec<(Micros, usize, usize, Vec<u8>)>,
    /// Whether datagrams are recorded.
    pub record: bool,
    /// Requests that each instance serves in a second.
    pub served: u64,
    seed: u64,
}

/// The address of an instance, by its index.
pub fn address(i: usize) -> SocketAddr {
    let [_, _, a, b] = (i as u32 + 1).to_be_bytes();
    SocketAddr::from(([127, 1, a, b], 7946))
}

/// The secret key of an instance, by its index.
pub fn secret(i: usize) -> [u8; 32] {
    let mut secret = [7; 32];
    secret[..8].copy_from_slice(&(i as u64 + 1).to_be_bytes());
    secret
}

/// An instance as its peers' settings name it; the first `seeds` are asked first.
pub fn peer(i: usize, seeds: usize) -> PeerConfig {
    PeerConfig {
        name: format!("n{i}"),
        addr: address(i),
        keys: vec![public_key(&secret(i))],
        seed: i < seeds,
    }
}

/// A hub or cache as a standing that shows nothing wrong.
pub fn healthy(member: Addr, role: Role) -> MemberHealth {
    MemberHealth {
        member,
        incarnation: 0,
        role,
        strikes: 0,
        skipped: false,
        last_failed_at: 0,
        last_failure: None,
        last_good_at: 0,
        suspicion_skips: 0,
    }
}

/// The hub of that number.
pub fn parent(n: u8) -> Addr {
    Addr { ip: [10, 9, 0, n], port: 80 }
}

impl GossipSimulation {
    /// `n` instances of which the first `seeds` are asked first; all start together.
    pub fn new(n: usize, seeds: usize, seed: u64, conditions: NetworkConditions) -> GossipSimulation {
        let peers: Vec<PeerConfig> = (0..n).map(|i| peer(i, seeds)).collect();
        let mut simulation = GossipSimulation {
            slots: Vec::new(),
            net: Net::new(seed, conditions),
            slots_by_address: BTreeMap::new(),
            queue: EventQueue::new(1_000_000_000),
            sent: Vec::new(),
            record: false,
            served: 60,
            seed,
        };
        simulation.add(peers);
        for i in 0..n {
            simulation.start(i);
        }
        simulation
    }

    /// Adds the peers of a longer file that are not part of the simulation yet. They start when told.
    pub fn add(&mut self, peers: Vec<PeerConfig>) {
        for (i, peer) in peers.iter().enumerate().skip(self.slots.len()) {
            self.slots.push(InstanceSlot {
                gossip: None,
                settings: Settings::new(&peer.name, secret(i), peers.clone()),
                clock_offset: 0,
                member_health: (1..=4).map(|n| healthy(parent(n), Role::Parent)).collect(),
                always_accused: Vec::new(),
                reported_notices: Vec::new(),
                addr: peer.addr,
                incarnation: 0,
                armed: Micros::MAX,
            });
        }
    }

    /// The time on the queue's clock.
    pub fn now(&self) -> Micros {
        self.queue.now
    }

    fn clock(&self, i: usize) -> Micros {
        self.queue.now + self.slots[i].clock_offset
    }

    /// Starts an instance, from nothing.
    pub fn start(&mut self, i: usize) {
        let now = self.clock(i);
        let slot = &mut self.slots[i];
        slot.incarnation += 1;
        let own = slot.settings.peers.iter().find(|peer| peer.name == slot.settings.name);
        slot.addr = own.map_or(slot.addr, |peer| peer.addr);
        self.slots_by_address.values_mut().for_each(|slots| slots.retain(|at| *at != i));
        self.slots_by_address.entry(slot.addr).or_default().push(i);
        let mut entropy = [0; 32];
        stream(self.seed, (i as u64) << 20 | slot.incarnation).fill_bytes(&mut entropy);
        let gossip = Gossip::new(now, slot.settings.clone(), entropy);
        slot.gossip = Some(gossip.unwrap_or_else(|e| panic!("n{i}: {e}")));
        slot.armed = Micros::MAX;
        let incarnation = slot.incarnation;
        self.queue.schedule(self.queue.now, Event::Observe(i, incarnation));
        self.arm(i);
    }

    /// Its clock was moved: what it waits for is reckoned anew, as a timer of the system's would be.
    pub fn apply_clock_change(&mut self, i: usize) {
        self.slots[i].armed = Micros::MAX;
        self.call(i, |g, now, out| g.tick(now, out));
    }

    /// Ends an instance with no word.
    pub fn kill(&mut self, i: usize) {
        self.slots[i].gossip = None;
    }

    fn arm(&mut self, i: usize) {
        let slot = &mut self.slots[i];
        let next_due = slot.gossip.as_ref().map(|g| g.next_due().saturating_sub(slot.clock_offset));
        let Some(due) = next_due else { return };
        if due < slot.armed {
            slot.armed = due.max(self.queue.now);
            self.queue.schedule(slot.armed, Event::Tick(i, slot.incarnation));
        }
    }

    /// One call of an instance, and what it wants done.
    pub fn call(&mut self, i: usize, f: impl FnOnce(&mut Gossip, Micros, &mut Output)) {
        let now = self.clock(i);
        let mut out = Output::default();
        let Some(g) = self.slots[i].gossip.as_mut() else { return };
        f(g, now, &mut out);
        self.slots[i].reported_notices.extend(out.notices);
        for (addr, bytes) in out.send {
            // Several may stand in the file under one address: all of them get it.
            for to in self.slots_by_address.get(&addr).cloned().unwrap_or_default() {
                self.send(i, to, &bytes);
            }
        }
        self.arm(i);
    }

    fn send(&mut self, from: usize, to: usize, bytes: &[u8]) {
        assert!(bytes.len() <= 256, "a datagram of {} bytes", bytes.len());
        if self.record {
            self.sent.push((self.queue.now, from, to, bytes.to_vec()));
        }
        for at in self.net.transmit(self.queue.now, from, to, bytes.len()) {
            let from = self.slots[from].addr;
            self.queue.schedule(at, Event::Arrive { from, to, bytes: bytes.to_vec() });
        }
    }

    /// A datagram from anywhere, as the script has it, now.
    pub fn inject(&mut self, from: SocketAddr, to: usize, bytes: &[u8]) {
        self.call(to, |g, now, out| g.receive(now, from, bytes, out));
    }

    /// Runs for a while.
    pub fn run(&mut self, span: Micros) {
        let until = self.queue.now + span;
        while let Some(event) = self.queue.pop(until) {
            match event {
                Event::Arrive { from, to, bytes } => {
                    self.call(to, |g, now, out| g.receive(now, from, &bytes, out));
                }
                // One that was armed anew for an earlier time is void.
                Event::Tick(i, incarnation)
                    if self.slots[i].incarnation == incarnation && self.slots[i].armed == self.queue.now =>
                {
                    self.slots[i].armed = Micros::MAX;
                    self.call(i, |g, now, out| g.tick(now, out));
                }
                Event::Observe(i, incarnation)
                    if self.slots[i].incarnation == incarnation && self.slots[i].gossip.is_some() =>
                {
                    let now = self.clock(i);
                    let mut shown = self.slots[i].member_health.clone();
                    for s in shown.iter_mut().filter(|s| self.slots[i].always_accused.contains(&s.member)) {
                        (s.last_failed_at, s.skipped, s.last_failure, s.last_good_at) =
                            (now, true, Some(Outcome::Timeout), 0);
                    }
                    let second = self.queue.now % 1_000_000 < OBSERVATION_INTERVAL;
                    let served = if second { self.served } else { 0 };
                    self.call(i, |g, now, out| {
                        g.add_served_requests(served);
                        g.observe(now, &shown, out);
                    });
                    self.queue
                        .schedule(self.queue.now + OBSERVATION_INTERVAL, Event::Observe(i, incarnation));
                }
                _ => {}
            }
        }
    }

    /// An instance's own traffic shows from now on that a member fails, or answers well.
    pub fn set_member_failing(&mut self, i: usize, member: Addr, fails: bool) {
        let now = self.clock(i);
        for s in self.slots[i].member_health.iter_mut().filter(|s| s.member == member) {
            if fails {
                (s.last_failed_at, s.skipped, s.last_failure) = (now, true, Some(Outcome::Timeout));
            } else {
                (s.last_good_at, s.skipped) = (now, false);
            }
        }
    }

    /// An instance that runs.
    ///
    /// # Panics
    /// Where it does not run.
    pub fn gossip(&self, i: usize) -> &Gossip {
        match &self.slots[i].gossip {
            Some(g) => g,
            None => panic!("n{i} is not running"),
        }
    }

    /// How many instances each one holds live, itself among them; 0 where none runs.
    pub fn live_counts(&self) -> Vec<usize> {
        let live = |slot: &InstanceSlot| slot.gossip.as_ref().map_or(0, |g| g.quorum().live);
        self.slots.iter().map(live).collect()
    }

    /// What an instance holds of another.
    pub fn peer_state(&self, i: usize, other: usize) -> State {
        self.gossip(i).state(&format!("n{other}")).unwrap_or_default()
    }

    /// The members of which an instance believes that they fail.
    pub fn suspected_by(&self, i: usize) -> Vec<Addr> {
        self.gossip(i).suspected_members()
    }
}
