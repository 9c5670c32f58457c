//! The same fleet in virtual time: the hollow proxies of the hosts, on a network that loses nothing.
use super::plan::FleetPlan;
use super::proxy::{HollowProxy, RoleReport, Traffic};
use crate::event_queue::EventQueue;
use crate::net::{Net, NetworkConditions};
use crate::scale::stopwatch::Stopwatch;
use crate::stream;
use nickelgate::Micros;
use rand_core::RngCore;
use std::time::{Duration, Instant};

/// A second.
pub const SECOND: Micros = 1_000_000;
/// All proxies start within this.
pub const START_SPREAD: Micros = SECOND;
/// Loopback loses nothing and takes no more than a host's turn.
const LOOPBACK: NetworkConditions =
    NetworkConditions { loss: 0.0, duplicated: 0.0, min_delay: 20, max_delay: 500, slow: 0.0 };
/// The stream of random numbers of the proxies' starts.
const STARTS: u64 = 0x7265_616c;

enum Event {
    Tick(u16),
    Datagram(u16, Vec<u8>),
}

struct Simulation {
    queue: EventQueue<Event>,
    net: Net,
    proxies: Vec<HollowProxy>,
    armed: Vec<Micros>,
    /// Where it keeps to real time: a moment there, and the virtual time of it.
    pace: Option<(Instant, Micros)>,
}

/// When a place's process starts, of a fleet that starts at this time.
pub fn start_of(fleet: &FleetPlan, place: u16, from: Micros) -> Micros {
    from + START_SPREAD * Micros::from(place) / Micros::from(fleet.proxies)
}

/// What a fleet did in virtual time.
pub struct Played {
    /// As fast as it went.
    pub free: RoleReport,
    /// After that, each event no earlier than real time has it: the processor is idle between events, as on sockets.
    pub paced: RoleReport,
}

/// Plays a fleet for so many seconds, after as many in which it settled, and a few more at the pace of real time.
///
/// # Errors
/// One line that says what is wrong with the fleet's settings.
pub fn play(
    fleet: &FleetPlan,
    seed: u64,
    settle_seconds: u64,
    seconds: u64,
    paced_seconds: u64,
) -> Result<Played, String> {
    let mut random = stream(seed, STARTS);
    let stopwatch = Stopwatch::calibrated();
    let mut queue = EventQueue::new(SECOND);
    let mut proxies = Vec::new();
    for place in 0..fleet.proxies {
        let mut entropy = [0; 32];
        random.fill_bytes(&mut entropy);
        let start = start_of(fleet, place, SECOND);
        proxies.push(HollowProxy::new(fleet, place, start, entropy, stopwatch)?);
        queue.schedule(start, Event::Tick(place));
    }
    let armed = (0..fleet.proxies).map(|place| start_of(fleet, place, SECOND)).collect();
    let mut simulation = Simulation { queue, net: Net::new(seed, LOOPBACK), proxies, armed, pace: None };
    simulation.advance(settle_seconds * SECOND);
    let free = simulation.measure(seconds);
    simulation.pace = Some((Instant::now(), simulation.queue.now));
    Ok(Played { free, paced: simulation.measure(paced_seconds) })
}

impl Simulation {
    /// What each role does in so many seconds from now.
    fn measure(&mut self, seconds: u64) -> RoleReport {
        self.proxies.iter_mut().for_each(|proxy| proxy.traffic = Traffic::default());
        self.advance(seconds * SECOND);
        let mut report = RoleReport::default();
        self.proxies.iter().for_each(|proxy| report.count(proxy, self.queue.now));
        report
    }

    /// Waits until real time has come as far, where it keeps to that.
    fn keep_pace(&self) {
        let Some((began, virtual_began)) = self.pace else { return };
        let due = began + Duration::from_micros(self.queue.now - virtual_began);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
    }

    fn advance(&mut self, span: Micros) {
        let until = self.queue.now + span;
        while let Some(event) = self.queue.pop(until) {
            self.keep_pace();
            let now = self.queue.now;
            match event {
                // One that was brought forward meanwhile is passed over.
                Event::Tick(place) if self.armed[usize::from(place)] == now => {
                    self.armed[usize::from(place)] = Micros::MAX;
                    let out = self.proxies[usize::from(place)].tick(now);
                    self.carry(place, out);
                }
                Event::Tick(_) => {}
                Event::Datagram(place, datagram) => {
                    let out = self.proxies[usize::from(place)].receive(now, &datagram);
                    self.carry(place, out);
                }
            }
        }
    }

    fn carry(&mut self, place: u16, out: Vec<(u16, Vec<u8>)>) {
        let now = self.queue.now;
        for (to, datagram) in out {
            for at in self.net.transmit(now, usize::from(place), usize::from(to), datagram.len()) {
                self.queue.schedule(at, Event::Datagram(to, datagram.clone()));
            }
        }
        let (due, armed) = (self.proxies[usize::from(place)].next_due(), &mut self.armed[usize::from(place)]);
        if due < *armed {
            *armed = due.max(now + 1);
            self.queue.schedule(*armed, Event::Tick(place));
        }
    }
}
