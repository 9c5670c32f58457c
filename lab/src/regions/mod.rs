//! A simulation of a fleet over locations and parents in virtual time. Each proxy has a real planner, real
//! budgets and real zones, in front of simulated caches, parents and an origin with limited capacity. [`Day`]
//! scripts the outages, and the service's rules are checked as the simulation runs.
//!
//! Clients' arrivals are drawn in advance, so that no answer shifts them. Planners, budgets and zones receive
//! only what a proxy could know.
mod arrivals;
mod control;
mod outages;
mod record;
mod rules;
mod stand_ins;

use crate::event_queue::EventQueue;
use crate::net::Net;
use crate::recorded_link::{RecordingTransport, TransportCall};
use arrivals::{draw_arrivals, Arrival};
use control::ControlPart;
use nickelgate::{Addr, ListForm, Micros, Settings};
use record::Leave;
use stand_ins::{stand_ins, StandIn};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use threadward_core::stages::admit::Limits;
use threadward_core::{AttemptEnd, FinalAnswer, Planner};
use threadward_zones::map::Epoch;
use threadward_zones::state::State;
use threadward_zones::wire;

pub use crate::day::{Day, FailureMode, Outage};
pub use crate::fleet::{S, T0};
pub use record::Record;

const MS: Micros = 1_000;
/// How often a proxy's zones are given what its own traffic shows.
const OBSERVATION_INTERVAL: Micros = 100 * MS;
/// How long the simulation continues after the last arrival, so that requests in flight can end.
const DRAIN_TIME: Micros = 8 * S;
/// How long after the start one member of the first failing zone drains.
const DRAIN_AT: Micros = 3 * S;
/// The class of bookings, which may be carried out at most once.
const BOOKINGS: u8 = 2;

/// What happens at a time. The first number is a proxy's index.
enum Event {
    /// A client's request arrives, given by its index among the proxy's arrivals.
    Arrive(usize, usize),
    /// The timers of a planner are due.
    Timers(usize),
    /// An attempt ends, given by the request's id and the attempt's number.
    End(usize, u64, u16, Box<AttemptEnd>),
    /// A proxy's zones are given what its traffic shows.
    Observe(usize),
    /// The timer of a proxy's budgets is due.
    Budget(usize),
    /// A message between proxies arrives.
    Datagram { from: usize, to: usize, bytes: Vec<u8> },
    /// An outage ends and all members of the zone restart.
    Restart(u16),
    /// The member list marks a member as draining.
    Drain(Addr),
    /// The proxy that decides on zones is cut off from the other proxies.
    LoseDecider,
}

struct Proxy {
    planner: Planner,
    transport_calls: Rc<RefCell<Vec<TransportCall>>>,
    answers: Rc<RefCell<Vec<(usize, FinalAnswer)>>>,
    control: Option<ControlPart>,
    /// When its planner's timer is due.
    timer_at: Micros,
    /// Attempts in flight, as (request id, attempt number).
    in_flight: HashSet<(u64, u16)>,
    /// Bookings that a cache may have carried out.
    may_have_run: HashSet<u64>,
}

/// The state of a zone in the newest map, and since when it has had it.
#[derive(Clone, Copy)]
struct ZoneState {
    state: State,
    step: u8,
    since: Micros,
}

/// A simulation of one scenario, to be run once.
pub struct Regions {
    day: Day,
    settings: Settings,
    queue: EventQueue<Event>,
    proxies: Vec<Proxy>,
    arrivals: Vec<Vec<Arrival>>,
    stand_ins: BTreeMap<Addr, StandIn>,
    /// When each draining member began to drain.
    drained_at: BTreeMap<Addr, Micros>,
    net: Net,
    /// The epoch of the newest map that any proxy acts on.
    newest: Epoch,
    /// The state of each zone in the newest map.
    states: Vec<ZoneState>,
    leaves: Vec<Leave>,
    /// Number of attempts sent to each zone before the first outage.
    sends_before_outages: Vec<f64>,
    /// Proxies that are permanently cut off from all others.
    isolated: Vec<usize>,
    /// For each outage, whether the zone has already failed a second time while it returned.
    failed_again: Vec<bool>,
    report: Record,
}

impl Proxy {
    fn new(day: &Day, i: usize) -> Proxy {
        let (transport_calls, answers) = (Rc::default(), Rc::default());
        let limits = Limits { max_open: 4096, max_bytes: usize::MAX, retry_after: 250 * MS };
        let link = Box::new(RecordingTransport(Rc::clone(&transport_calls)));
        let mut planner = Planner::new(day.settings(i), day.seed ^ i as u64, limits, link);
        let control = day.zones.then(|| ControlPart::new(day, i));
        if control.is_some() {
            planner.enable_zones(usize::from(day.zone_count()));
        }
        planner.update_members(T0, ListForm::Full, day.entries(i));
        let (in_flight, may_have_run) = (HashSet::new(), HashSet::new());
        Proxy { planner, transport_calls, answers, control, timer_at: Micros::MAX, in_flight, may_have_run }
    }
}

/// Schedules the events of the scenario.
fn schedule_script(day: &Day, queue: &mut EventQueue<Event>) {
    for outage in
        day.outages.iter().filter(|o| matches!(o.failure_mode, FailureMode::Kill | FailureMode::KillTwice))
    {
        queue.schedule(outage.to, Event::Restart(outage.zone));
    }
    // One member of the first failing zone drains before the outage and doesn't return.
    if let Some(outage) = day.outages.first() {
        queue.schedule(T0 + DRAIN_AT, Event::Drain(day.member(outage.zone, 1)));
    }
    if let Some(at) = day.decider_lost {
        queue.schedule(at, Event::LoseDecider);
    }
}

impl Regions {
    /// Creates the simulation of a scenario.
    pub fn new(day: Day) -> Regions {
        let mut queue = EventQueue::new(T0);
        let (mut proxies, mut arrivals) = (Vec::new(), Vec::new());
        for i in 0..day.proxies {
            let proxy = Proxy::new(&day, i);
            if proxy.control.is_some() {
                queue.schedule(T0 + (i as u64 * 37) % 100 * MS, Event::Observe(i));
                queue.schedule(T0, Event::Budget(i));
            }
            let own = draw_arrivals(&day, i);
            if let Some(first) = own.first() {
                queue.schedule(first.at, Event::Arrive(i, 0));
            }
            arrivals.push(own);
            proxies.push(proxy);
        }
        schedule_script(&day, &mut queue);
        let zones = usize::from(day.zone_count());
        Regions {
            settings: day.settings(0),
            stand_ins: stand_ins(&day),
            net: Net::new(day.seed, day.conditions),
            states: vec![ZoneState { state: State::In, step: 0, since: T0 }; zones],
            sends_before_outages: vec![0.0; zones],
            failed_again: vec![false; day.outages.len()],
            report: Record { name: day.name, ..Record::default() },
            newest: Epoch::default(),
            drained_at: BTreeMap::new(),
            leaves: Vec::new(),
            isolated: Vec::new(),
            queue,
            proxies,
            arrivals,
            day,
        }
    }

    /// Runs the simulation to its end and returns the results.
    pub fn run(mut self) -> Record {
        let until = T0 + self.day.duration + DRAIN_TIME;
        while let Some(event) = self.queue.pop(until) {
            self.handle(event);
        }
        self.into_record()
    }

    /// Handles one event.
    fn handle(&mut self, event: Event) {
        let now = self.queue.now;
        match event {
            Event::Arrive(i, arrival) => self.arrive(i, arrival),
            // The timer has been replaced by an earlier one.
            Event::Timers(i) if self.proxies[i].timer_at != now => {}
            Event::Timers(i) => {
                self.proxies[i].timer_at = Micros::MAX;
                self.proxies[i].planner.run_timers(now);
                self.run_orders(i);
            }
            Event::End(i, request, attempt, end) => {
                if self.proxies[i].in_flight.remove(&(request, attempt)) {
                    self.proxies[i].planner.attempt_ended(now, request, attempt, *end);
                    self.run_orders(i);
                }
            }
            Event::Observe(i) => self.observe(i),
            Event::Budget(i) => self.call_budgets(i, |budgets, now, out| budgets.tick(now, out)),
            Event::Datagram { from, to, bytes } if wire::is_zones_message(&bytes) => {
                self.receive(from, to, &bytes)
            }
            Event::Datagram { to, bytes, .. } => {
                self.call_budgets(to, |budgets, now, out| budgets.receive(now, &bytes, out))
            }
            Event::Restart(zone) => self.restart(zone),
            Event::Drain(member) => self.drain(member),
            Event::LoseDecider => self.lose_decider(),
        }
    }

    /// Carries out a planner's calls to its transport, takes its answers and schedules its next timer.
    fn run_orders(&mut self, i: usize) {
        loop {
            let transport_calls: Vec<TransportCall> =
                self.proxies[i].transport_calls.borrow_mut().drain(..).collect();
            if transport_calls.is_empty() {
                break;
            }
            for call in transport_calls {
                match call {
                    TransportCall::Send(dispatch) => self.send(i, &dispatch),
                    TransportCall::Withdraw(request, attempt) => {
                        self.proxies[i].in_flight.remove(&(request, attempt));
                    }
                }
            }
        }
        self.take_answers(i);
        let due = self.proxies[i].planner.next_due().unwrap_or(Micros::MAX);
        if due < self.proxies[i].timer_at {
            self.proxies[i].timer_at = due.max(self.queue.now);
            self.queue.schedule(due, Event::Timers(i));
        }
    }
}
