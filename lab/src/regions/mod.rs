//! A fleet over locations and hubs in virtual time: real planners, budgets and zones for each proxy, before stand-ins of
//! caches, hubs and an origin that have a capacity. Outages are scripted by [`Day`]; the rules are checked as it runs.
//!
//! Arrivals are drawn ahead, so that no answer moves them, and no planner, budget or zone is told what a proxy could not
//! know.
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
/// How often a proxy looks at what its traffic showed.
const OBSERVATION_INTERVAL: Micros = 100 * MS;
/// What still runs after the end of the day is played for so long.
const RUN_OUT: Micros = 8 * S;
/// When one machine of the first zone in trouble drains, after the start.
const DRAIN_AT: Micros = 3 * S;
/// The class of bookings, which may run once at most.
const BOOKINGS: u8 = 2;

/// What happens at a time; the first number is a proxy's index.
enum Event {
    /// A request of a client, by its index among the proxy's arrivals.
    Arrive(usize, usize),
    /// The timers of a planner.
    Timers(usize),
    /// The end of an attempt: of a request, and the number of the attempt.
    End(usize, u64, u16, Box<AttemptEnd>),
    /// A proxy looks at what its traffic showed.
    Observe(usize),
    /// The timer of a proxy's budgets.
    Budget(usize),
    /// A message between proxies arrives.
    Datagram { from: usize, to: usize, bytes: Vec<u8> },
    /// The end of an outage after which the zone starts anew.
    Restart(u16),
    /// The list says that a member drains.
    Drain(Addr),
    /// Whoever decides is cut off from the other proxies.
    LoseDecider,
}

struct Proxy {
    planner: Planner,
    transport_calls: Rc<RefCell<Vec<TransportCall>>>,
    answers: Rc<RefCell<Vec<(usize, FinalAnswer)>>>,
    control: Option<ControlPart>,
    /// When its planner's timer is due.
    armed: Micros,
    /// Attempts in flight: the request, and the number of the attempt.
    in_flight: HashSet<(u64, u16)>,
    /// Bookings that may have run.
    ran: HashSet<u64>,
}

/// What the newest map says of a zone, and since when.
#[derive(Clone, Copy)]
struct ZoneState {
    state: State,
    step: u8,
    since: Micros,
}

/// A day of a fleet, to be played once.
pub struct Regions {
    day: Day,
    settings: Settings,
    queue: EventQueue<Event>,
    proxies: Vec<Proxy>,
    arrivals: Vec<Vec<Arrival>>,
    stand_ins: BTreeMap<Addr, StandIn>,
    /// Members that drain, and when the list said so.
    leaving: BTreeMap<Addr, Micros>,
    net: Net,
    newest: Epoch,
    /// By zone, as the newest map has it.
    states: Vec<ZoneState>,
    leaves: Vec<Leave>,
    /// Sends to each zone in the calm before the first outage.
    calm: Vec<f64>,
    /// Proxies that are cut off from all others for good.
    apart: Vec<usize>,
    /// Outages that have struck once more while the zone returned.
    again: Vec<bool>,
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
        let (in_flight, ran) = (HashSet::new(), HashSet::new());
        Proxy { planner, transport_calls, answers, control, armed: Micros::MAX, in_flight, ran }
    }
}

/// Schedules what the script of the day has in store.
fn schedule_script(day: &Day, queue: &mut EventQueue<Event>) {
    for outage in
        day.outages.iter().filter(|o| matches!(o.failure_mode, FailureMode::Kill | FailureMode::KillTwice))
    {
        queue.schedule(outage.to, Event::Restart(outage.zone));
    }
    // One machine of the first zone in trouble drains before, for good.
    if let Some(outage) = day.outages.first() {
        queue.schedule(T0 + DRAIN_AT, Event::Drain(day.member(outage.zone, 1)));
    }
    if let Some(at) = day.decider_lost {
        queue.schedule(at, Event::LoseDecider);
    }
}

impl Regions {
    /// The fleet of that day at its start.
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
            calm: vec![0.0; zones],
            again: vec![false; day.outages.len()],
            report: Record { name: day.name, ..Record::default() },
            newest: Epoch::default(),
            leaving: BTreeMap::new(),
            leaves: Vec::new(),
            apart: Vec::new(),
            queue,
            proxies,
            arrivals,
            day,
        }
    }

    /// Plays it to the end.
    pub fn run(mut self) -> Record {
        let until = T0 + self.day.duration + RUN_OUT;
        while let Some(event) = self.queue.pop(until) {
            self.handle(event);
        }
        self.into_record()
    }

    fn handle(&mut self, event: Event) {
        let now = self.queue.now;
        match event {
            Event::Arrive(i, arrival) => self.arrive(i, arrival),
            // A timer that was armed anew for an earlier time is void.
            Event::Timers(i) if self.proxies[i].armed != now => {}
            Event::Timers(i) => {
                self.proxies[i].armed = Micros::MAX;
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

    /// Carries out what a planner wants, takes its answers, and sees to its timers.
    fn run_orders(&mut self, i: usize) {
        loop {
            let transport_calls: Vec<TransportCall> =
                self.proxies[i].transport_calls.borrow_mut().drain(..).collect();
            if transport_calls.is_empty() {
                break;
            }
            for order in transport_calls {
                match order {
                    TransportCall::Send(dispatch) => self.send(i, &dispatch),
                    TransportCall::Withdraw(request, attempt) => {
                        self.proxies[i].in_flight.remove(&(request, attempt));
                    }
                }
            }
        }
        self.take_answers(i);
        let due = self.proxies[i].planner.next_due().unwrap_or(Micros::MAX);
        if due < self.proxies[i].armed {
            self.proxies[i].armed = due.max(self.queue.now);
            self.queue.schedule(due, Event::Timers(i));
        }
    }
}
