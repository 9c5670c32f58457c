//! Simulates the same fleet in virtual time: the hollow proxies of the hosts, on a network that loses
//! nothing.
use super::plan::FleetPlan;
use super::proxy::{HollowProxy, RoleReport, Traffic};
use crate::event_queue::EventQueue;
use crate::net::{Net, NetworkConditions};
use crate::scale::stopwatch::Stopwatch;
use crate::stream;
use nickelgate::Micros;
use rand_core::RngCore;
use std::time::{Duration, Instant};

/// One second, in microseconds.
pub const SECOND: Micros = 1_000_000;
/// Time within which all proxies start, evenly spread.
pub const START_SPREAD: Micros = SECOND;
/// Conditions of a loopback network: it loses nothing and delays a datagram by at most the time that a host
/// takes to serve its sockets once.
const LOOPBACK: NetworkConditions =
    NetworkConditions { loss: 0.0, duplicated: 0.0, min_delay: 20, max_delay: 500, slow: 0.0 };
/// The stream of random numbers for the entropy of the proxies.
const ENTROPY_STREAM: u64 = 0x7265_616c;

enum Event {
    Tick(u16),
    Datagram(u16, Vec<u8>),
}

struct Simulation {
    queue: EventQueue<Event>,
    net: Net,
    proxies: Vec<HollowProxy>,
    armed: Vec<Micros>,
    /// Set while the simulation keeps pace with real time: a moment of real time and the virtual time at that
    /// moment.
    pace: Option<(Instant, Micros)>,
}

/// Returns when a proxy's process starts, in a fleet whose start begins at `from`.
pub fn start_of(fleet: &FleetPlan, index: u16, from: Micros) -> Micros {
    from + START_SPREAD * Micros::from(index) / Micros::from(fleet.proxies)
}

/// The traffic and processor time of a fleet in virtual time.
pub struct Played {
    /// Simulated as fast as possible.
    pub unpaced: RoleReport,
    /// Simulated after that at the pace of real time: no event is handled before its real time, so that the
    /// processor is idle between events, as it is on sockets.
    pub paced: RoleReport,
}

/// Simulates a fleet: first until it has settled, then for `seconds`, then for `paced_seconds` at the pace of
/// real time.
///
/// # Errors
/// Returns one line that says what is wrong with the fleet's settings.
pub fn play(
    fleet: &FleetPlan,
    seed: u64,
    settle_seconds: u64,
    seconds: u64,
    paced_seconds: u64,
) -> Result<Played, String> {
    let mut random = stream(seed, ENTROPY_STREAM);
    let stopwatch = Stopwatch::calibrated();
    let mut queue = EventQueue::new(SECOND);
    let mut proxies = Vec::new();
    for index in 0..fleet.proxies {
        let mut entropy = [0; 32];
        random.fill_bytes(&mut entropy);
        let start = start_of(fleet, index, SECOND);
        proxies.push(HollowProxy::new(fleet, index, start, entropy, stopwatch)?);
        queue.schedule(start, Event::Tick(index));
    }
    let armed = (0..fleet.proxies).map(|index| start_of(fleet, index, SECOND)).collect();
    let mut simulation = Simulation { queue, net: Net::new(seed, LOOPBACK), proxies, armed, pace: None };
    simulation.advance(settle_seconds * SECOND);
    let unpaced = simulation.measure(seconds);
    simulation.pace = Some((Instant::now(), simulation.queue.now));
    Ok(Played { unpaced, paced: simulation.measure(paced_seconds) })
}

impl Simulation {
    /// Advances by `seconds` and returns what each role did in that time.
    fn measure(&mut self, seconds: u64) -> RoleReport {
        self.proxies.iter_mut().for_each(|proxy| proxy.traffic = Traffic::default());
        self.advance(seconds * SECOND);
        let mut report = RoleReport::default();
        self.proxies.iter().for_each(|proxy| report.count(proxy, self.queue.now));
        report
    }

    /// Sleeps until real time has reached the virtual time, if the simulation keeps pace.
    fn keep_pace(&self) {
        let Some((began, virtual_began)) = self.pace else { return };
        let due = began + Duration::from_micros(self.queue.now - virtual_began);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    }

    /// Handles all events of the next `span`.
    fn advance(&mut self, span: Micros) {
        let until = self.queue.now + span;
        while let Some(event) = self.queue.pop(until) {
            self.keep_pace();
            let now = self.queue.now;
            match event {
                // A tick that was brought forward is ignored at its old time.
                Event::Tick(index) if self.armed[usize::from(index)] == now => {
                    self.armed[usize::from(index)] = Micros::MAX;
                    let out = self.proxies[usize::from(index)].tick(now);
                    self.carry(index, out);
                }
                Event::Tick(_) => {}
                Event::Datagram(index, datagram) => {
                    let out = self.proxies[usize::from(index)].receive(now, &datagram);
                    self.carry(index, out);
                }
            }
        }
    }

    /// Sends a proxy's messages over the network and arms its next tick.
    fn carry(&mut self, index: u16, out: Vec<(u16, Vec<u8>)>) {
        let now = self.queue.now;
        for (to, datagram) in out {
            for at in self.net.transmit(now, usize::from(index), usize::from(to), datagram.len()) {
                self.queue.schedule(at, Event::Datagram(to, datagram.clone()));
            }
        }
        let (due, armed) = (self.proxies[usize::from(index)].next_due(), &mut self.armed[usize::from(index)]);
        if due < *armed {
            *armed = due.max(now + 1);
            self.queue.schedule(*armed, Event::Tick(index));
        }
    }
}
