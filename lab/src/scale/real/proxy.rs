//! One hollow proxy of the star, and the count of what it does. Hosts and virtual time run the same code: it
//! opens, takes, answers and seals datagrams as the program does.
use super::plan::FleetPlan;
use crate::scale::stopwatch::{timed, Stopwatch};
use nickelgate::Micros;
use serde::{Deserialize, Serialize};
use threadward_budgets::seal::{open, seal};
use threadward_budgets::{Budgets, Outbox};

/// Ordinary proxies of one host whose calls are timed, about.
const TIMED: u16 = 32;

/// What a proxy does for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It asks for its share.
    Ordinary,
    /// It votes as well.
    Voter,
    /// It divides the budgets.
    Grantor,
}

/// What was sent and received, and the processor time of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Datagrams received.
    pub messages_in: u64,
    /// Datagrams sent.
    pub messages_out: u64,
    /// Their bytes, authentication codes included.
    pub bytes_in: u64,
    /// Their bytes, authentication codes included.
    pub bytes_out: u64,
    /// Processor time in the control code, in nanoseconds.
    pub control_nanoseconds: f64,
    /// Processor time for authentication codes.
    pub code_nanoseconds: f64,
    /// Processor time in system calls that send and receive.
    pub socket_nanoseconds: f64,
}

impl Traffic {
    fn add(&mut self, other: &Traffic) {
        self.messages_in += other.messages_in;
        self.messages_out += other.messages_out;
        self.bytes_in += other.bytes_in;
        self.bytes_out += other.bytes_out;
        self.control_nanoseconds += other.control_nanoseconds;
        self.code_nanoseconds += other.code_nanoseconds;
        self.socket_nanoseconds += other.socket_nanoseconds;
    }

    /// Messages both ways.
    pub fn messages(&self) -> u64 {
        self.messages_in + self.messages_out
    }
}

/// What all proxies of a role did.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct RoleTotals {
    /// How many they are.
    pub proxies: u32,
    /// Messages and bytes of all.
    pub all: Traffic,
    /// How many were timed.
    pub timed_proxies: u32,
    /// Messages, bytes and processor time of those.
    pub timed: Traffic,
}

impl RoleTotals {
    fn add(&mut self, other: &RoleTotals) {
        self.proxies += other.proxies;
        self.all.add(&other.all);
        self.timed_proxies += other.timed_proxies;
        self.timed.add(&other.timed);
    }

    /// The mean of one proxy of what was counted of all; 0 without one.
    pub fn mean(&self, figure: impl Fn(&Traffic) -> u64) -> f64 {
        figure(&self.all) as f64 / f64::from(self.proxies.max(1))
    }

    /// The mean processor time of one proxy; 0 without one that was timed.
    pub fn mean_nanoseconds(&self, figure: impl Fn(&Traffic) -> f64) -> f64 {
        figure(&self.timed) / f64::from(self.timed_proxies.max(1))
    }
}

/// The totals of each role.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct RoleReport {
    /// Those that only ask.
    pub ordinary: RoleTotals,
    /// Those that vote and do not divide.
    pub voter: RoleTotals,
    /// The one that divides.
    pub grantor: RoleTotals,
}

impl RoleReport {
    /// Takes in what one proxy did.
    pub fn count(&mut self, proxy: &HollowProxy, now: Micros) {
        let totals = self.of_mut(proxy.role(now));
        totals.proxies += 1;
        totals.all.add(&proxy.traffic);
        if proxy.stopwatch.is_some() {
            totals.timed_proxies += 1;
            totals.timed.add(&proxy.traffic);
        }
    }

    /// Takes in the report of another host.
    pub fn merge(&mut self, other: &RoleReport) {
        self.ordinary.add(&other.ordinary);
        self.voter.add(&other.voter);
        self.grantor.add(&other.grantor);
    }

    fn of_mut(&mut self, role: Role) -> &mut RoleTotals {
        match role {
            Role::Ordinary => &mut self.ordinary,
            Role::Voter => &mut self.voter,
            Role::Grantor => &mut self.grantor,
        }
    }

    /// The totals of a role.
    pub fn of(&self, role: Role) -> &RoleTotals {
        match role {
            Role::Ordinary => &self.ordinary,
            Role::Voter => &self.voter,
            Role::Grantor => &self.grantor,
        }
    }
}

/// A proxy without a data path that wants all of every budget.
pub struct HollowProxy {
    budgets: Budgets,
    place: u16,
    votes: bool,
    key: [u8; 32],
    /// Set where its calls are timed: at voters and at some of the ordinary ones.
    pub stopwatch: Option<Stopwatch>,
    /// What it did since this was last cleared.
    pub traffic: Traffic,
}

impl HollowProxy {
    /// # Errors
    /// One line that says what is wrong with the fleet's settings.
    pub fn new(
        fleet: &FleetPlan,
        place: u16,
        start: Micros,
        entropy: [u8; 32],
        stopwatch: Stopwatch,
    ) -> Result<HollowProxy, String> {
        let mut budgets = Budgets::new(start, fleet.settings(place), entropy)?;
        fleet.wholes.iter().enumerate().for_each(|(budget, whole)| budgets.set_demand(budget, *whole));
        let votes = fleet.voters.contains(&place);
        let sampled = place.is_multiple_of((fleet.proxies / TIMED).max(1));
        Ok(HollowProxy {
            budgets,
            place,
            votes,
            key: fleet.key,
            stopwatch: (votes || sampled).then_some(stopwatch),
            traffic: Traffic::default(),
        })
    }

    /// What it does for others now.
    pub fn role(&self, now: Micros) -> Role {
        match (self.budgets.is_coordinator(now), self.votes) {
            (true, _) => Role::Grantor,
            (false, true) => Role::Voter,
            (false, false) => Role::Ordinary,
        }
    }

    /// When it has something to do next.
    pub fn next_due(&self) -> Micros {
        self.budgets.next_due()
    }

    /// Times that it began to divide.
    pub fn elections(&self) -> u64 {
        self.budgets.counters.times_elected
    }

    /// Carries out what is due: the datagrams to send, sealed.
    pub fn tick(&mut self, now: Micros) -> Outbox {
        self.call(|budgets, out| budgets.tick(now, out))
    }

    /// Takes a datagram: those to send, sealed. One whose code is not right is passed over.
    pub fn receive(&mut self, now: Micros, datagram: &[u8]) -> Outbox {
        self.traffic.messages_in += 1;
        self.traffic.bytes_in += datagram.len() as u64;
        let (key, place) = (self.key, self.place);
        let opened =
            timed(self.stopwatch, &mut self.traffic.code_nanoseconds, || open(&key, place, datagram));
        let Some(message) = opened else { return Outbox::new() };
        self.call(|budgets, out| budgets.receive(now, message, out))
    }

    fn call(&mut self, step: impl FnOnce(&mut Budgets, &mut Outbox)) -> Outbox {
        let mut out = Outbox::new();
        let budgets = &mut self.budgets;
        timed(self.stopwatch, &mut self.traffic.control_nanoseconds, || step(budgets, &mut out));
        if out.is_empty() {
            return out;
        }
        let key = self.key;
        let sealed = |(to, message): (u16, Vec<u8>)| Some((to, seal(&key, to, &message)?));
        let sealed: Outbox = timed(self.stopwatch, &mut self.traffic.code_nanoseconds, || {
            out.into_iter().filter_map(sealed).collect()
        });
        self.traffic.messages_out += sealed.len() as u64;
        self.traffic.bytes_out += sealed.iter().map(|(_, datagram)| datagram.len() as u64).sum::<u64>();
        sealed
    }
}
