//! A simulation of gossip instances in virtual time, without planners: the member health that an instance
//! observes is scripted.
//!
//! The simulation starts and kills instances, sets their clocks and records what they send. It uses an
//! instance only through the calls that a proxy makes.
use crate::event_queue::EventQueue;
use crate::net::{Net, NetworkConditions};
use crate::stream;
use nickelgate::{Addr, MemberHealth, Micros, Outcome, Role};
use rand_core::RngCore;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use threadward_gossip::{public_key, Gossip, Notice, Output, PeerConfig, Settings, State};

/// How often an instance is given the member health that its own traffic shows.
pub const OBSERVATION_INTERVAL: Micros = 25_000;

enum Event {
    /// A datagram arrives.
    Arrive { from: SocketAddr, to: usize, bytes: Vec<u8> },
    /// The timer of one incarnation of an instance is due.
    Tick(usize, u64),
    /// One incarnation of an instance is given its observations.
    Observe(usize, u64),
}

/// An instance of the simulation, whether it is running or not.
pub struct InstanceSlot {
    /// The instance, if it is running.
    pub gossip: Option<Gossip>,
    /// The settings for its next start.
    pub settings: Settings,
    /// How far its clock is ahead of the queue's clock.
    pub clock_offset: Micros,
    /// The health of members as its own traffic shows it.
    pub member_health: Vec<MemberHealth>,
    /// Members that it reports as having just failed, whatever its traffic shows: it reports falsely.
    pub always_accused: Vec<Addr>,
    /// The notices that it has given so far.
    pub reported_notices: Vec<Notice>,
    addr: SocketAddr,
    incarnation: u64,
    /// When its timer is due. An event for any other time is outdated.
    timer_at: Micros,
}

/// Gossip instances on a simulated network.
pub struct GossipSimulation {
    /// The instances by index.
    pub slots: Vec<InstanceSlot>,
    /// The network between them.
    pub net: Net,
    /// The instances at each address. There are several if the settings file was changed before an instance
    /// ended.
    slots_by_address: BTreeMap<SocketAddr, Vec<usize>>,
    queue: EventQueue<Event>,
    /// Every recorded datagram: when it was sent, its sender, its receiver and its bytes.
    pub sent: Vec<(Micros, usize, usize, Vec<u8>)>,
    /// Whether datagrams are recorded.
    pub record: bool,
    /// Number of requests that each instance serves per second.
    pub served: u64,
    seed: u64,
}

/// Returns the address of an instance, given its index.
pub fn address(i: usize) -> SocketAddr {
    let [_, _, a, b] = (i as u32 + 1).to_be_bytes();
    SocketAddr::from(([127, 1, a, b], 7946))
}

/// Returns the secret key of an instance, given its index.
pub fn secret(i: usize) -> [u8; 32] {
    let mut secret = [7; 32];
    secret[..8].copy_from_slice(&(i as u64 + 1).to_be_bytes());
    secret
}

/// Returns the entry of an instance in its peers' settings. The first `seeds` instances are seeds.
pub fn peer(i: usize, seeds: usize) -> PeerConfig {
    PeerConfig {
        name: format!("n{i}"),
        addr: address(i),
        keys: vec![public_key(&secret(i))],
        seed: i < seeds,
    }
}

/// Returns the health of a member that has shown no failure.
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

/// Returns the address of a parent.
pub fn parent(n: u8) -> Addr {
    Addr { ip: [10, 9, 0, n], port: 80 }
}

impl GossipSimulation {
    /// Creates a simulation of `n` instances, the first `seeds` of which are seeds, and starts all of them.
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

    /// Adds those peers of a longer list that aren't part of the simulation yet. They aren't started.
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
                timer_at: Micros::MAX,
            });
        }
    }

    /// Returns the time on the queue's clock.
    pub fn now(&self) -> Micros {
        self.queue.now
    }

    /// Returns the time on an instance's own clock.
    fn clock(&self, i: usize) -> Micros {
        self.queue.now + self.slots[i].clock_offset
    }

    /// Starts an instance without any earlier state.
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
        slot.timer_at = Micros::MAX;
        let incarnation = slot.incarnation;
        self.queue.schedule(self.queue.now, Event::Observe(i, incarnation));
        self.schedule_timer(i);
    }

    /// Applies a change of `clock_offset`: runs the instance's timers and computes anew when the next one is
    /// due, as a timer of the operating system would.
    pub fn apply_clock_change(&mut self, i: usize) {
        self.slots[i].timer_at = Micros::MAX;
        self.call(i, |g, now, out| g.tick(now, out));
    }

    /// Ends an instance without notice to the others.
    pub fn kill(&mut self, i: usize) {
        self.slots[i].gossip = None;
    }

    /// Schedules the instance's next timer, if it is due earlier than the one that is scheduled.
    fn schedule_timer(&mut self, i: usize) {
        let slot = &mut self.slots[i];
        let next_due = slot.gossip.as_ref().map(|g| g.next_due().saturating_sub(slot.clock_offset));
        let Some(due) = next_due else { return };
        if due < slot.timer_at {
            slot.timer_at = due.max(self.queue.now);
            self.queue.schedule(slot.timer_at, Event::Tick(i, slot.incarnation));
        }
    }

    /// Calls an instance, if it is running, and carries out what it returns: records notices and sends
    /// datagrams.
    pub fn call(&mut self, i: usize, f: impl FnOnce(&mut Gossip, Micros, &mut Output)) {
        let now = self.clock(i);
        let mut out = Output::default();
        let Some(g) = self.slots[i].gossip.as_mut() else { return };
        f(g, now, &mut out);
        self.slots[i].reported_notices.extend(out.notices);
        for (addr, bytes) in out.send {
            // Several instances may have the same address in the settings: all of them receive the datagram.
            for to in self.slots_by_address.get(&addr).cloned().unwrap_or_default() {
                self.send(i, to, &bytes);
            }
        }
        self.schedule_timer(i);
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

    /// Delivers a datagram from any address at once, without the network.
    pub fn inject(&mut self, from: SocketAddr, to: usize, bytes: &[u8]) {
        self.call(to, |g, now, out| g.receive(now, from, bytes, out));
    }

    /// Runs the simulation for a time span.
    pub fn run(&mut self, span: Micros) {
        let until = self.queue.now + span;
        while let Some(event) = self.queue.pop(until) {
            match event {
                Event::Arrive { from, to, bytes } => {
                    self.call(to, |g, now, out| g.receive(now, from, &bytes, out));
                }
                // A timer that was replaced by an earlier one is ignored.
                Event::Tick(i, incarnation)
                    if self.slots[i].incarnation == incarnation
                        && self.slots[i].timer_at == self.queue.now =>
                {
                    self.slots[i].timer_at = Micros::MAX;
                    self.call(i, |g, now, out| g.tick(now, out));
                }
                Event::Observe(i, incarnation)
                    if self.slots[i].incarnation == incarnation && self.slots[i].gossip.is_some() =>
                {
                    let now = self.clock(i);
                    let mut observed = self.slots[i].member_health.clone();
                    for s in observed.iter_mut().filter(|s| self.slots[i].always_accused.contains(&s.member))
                    {
                        (s.last_failed_at, s.skipped, s.last_failure, s.last_good_at) =
                            (now, true, Some(Outcome::Timeout), 0);
                    }
                    let is_new_second = self.queue.now % 1_000_000 < OBSERVATION_INTERVAL;
                    let served = if is_new_second { self.served } else { 0 };
                    self.call(i, |g, now, out| {
                        g.add_served_requests(served);
                        g.observe(now, &observed, out);
                    });
                    self.queue
                        .schedule(self.queue.now + OBSERVATION_INTERVAL, Event::Observe(i, incarnation));
                }
                _ => {}
            }
        }
    }

    /// Sets whether an instance's own traffic shows that a member fails. The time of the last failure or of
    /// the last good answer becomes now.
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

    /// Returns a running instance.
    ///
    /// # Panics
    /// Panics if the instance isn't running.
    pub fn gossip(&self, i: usize) -> &Gossip {
        match &self.slots[i].gossip {
            Some(g) => g,
            None => panic!("n{i} is not running"),
        }
    }

    /// Returns for each instance how many instances it holds to be live, itself included; 0 if it isn't
    /// running.
    pub fn live_counts(&self) -> Vec<usize> {
        let live = |slot: &InstanceSlot| slot.gossip.as_ref().map_or(0, |g| g.quorum().live);
        self.slots.iter().map(live).collect()
    }

    /// Returns the state of another instance as this one holds it.
    pub fn peer_state(&self, i: usize, other: usize) -> State {
        self.gossip(i).state(&format!("n{other}")).unwrap_or_default()
    }

    /// Returns the members that an instance suspects.
    pub fn suspected_by(&self, i: usize) -> Vec<Addr> {
        self.gossip(i).suspected_members()
    }
}
