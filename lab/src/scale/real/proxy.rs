//! A hollow proxy of the star with counts of its traffic. Hosts and virtual time run the same code: it opens,
//! handles, answers and seals datagrams as the program does.
use super::plan::FleetPlan;
use crate::scale::stopwatch::{timed, Stopwatch};
use nickelgate::Micros;
use serde::{Deserialize, Serialize};
use threadward_budgets::seal::{open, seal};
use threadward_budgets::{Budgets, Outbox};

/// Number of ordinary proxies of a fleet whose calls are timed, approximately.
const TIMED_PROXIES: u16 = 32;

/// The role of a proxy in the budgets' election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It only requests its share.
    Ordinary,
    /// It is_voter as well, and is not the coordinator.
    Voter,
    /// It is the coordinator, which divides the budgets.
    Grantor,
}

/// The datagrams sent and received, and the processor time spent on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Datagrams received.
    pub messages_in: u64,
    /// Datagrams sent.
    pub messages_out: u64,
    /// Bytes received, authentication codes included.
    pub bytes_in: u64,
    /// Bytes sent, authentication codes included.
    pub bytes_out: u64,
    /// Processor time in the control code, in nanoseconds.
    pub control_nanoseconds: f64,
    /// Processor time for authentication codes, in nanoseconds.
    pub code_nanoseconds: f64,
    /// Processor time in system calls that send and receive, in nanoseconds.
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

    /// Returns the number of datagrams in both directions.
    pub fn messages(&self) -> u64 {
        self.messages_in + self.messages_out
    }
}

/// The totals of all proxies of a role.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct RoleTotals {
    /// Number of proxies of the role.
    pub proxies: u32,
    /// Messages and bytes of all these proxies.
    pub all: Traffic,
    /// Number of proxies that were timed.
    pub timed_proxies: u32,
    /// Messages, bytes and processor time of the timed proxies.
    pub timed: Traffic,
}

impl RoleTotals {
    fn add(&mut self, other: &RoleTotals) {
        self.proxies += other.proxies;
        self.all.add(&other.all);
        self.timed_proxies += other.timed_proxies;
        self.timed.add(&other.timed);
    }

    /// Returns the mean of a figure over all proxies of the role, or 0 without any.
    pub fn mean(&self, figure: impl Fn(&Traffic) -> u64) -> f64 {
        figure(&self.all) as f64 / f64::from(self.proxies.max(1))
    }

    /// Returns the mean processor time over the timed proxies, or 0 without any.
    pub fn mean_nanoseconds(&self, figure: impl Fn(&Traffic) -> f64) -> f64 {
        figure(&self.timed) / f64::from(self.timed_proxies.max(1))
    }
}

/// The totals of each role.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct RoleReport {
    /// Proxies that only request their share.
    pub ordinary: RoleTotals,
    /// Voters that are not the coordinator.
    pub voter: RoleTotals,
    /// The coordinator.
    pub grantor: RoleTotals,
}

impl RoleReport {
    /// Adds the traffic of one proxy to the totals of its role.
    pub fn count(&mut self, proxy: &HollowProxy, now: Micros) {
        let totals = self.of_mut(proxy.role(now));
        totals.proxies += 1;
        totals.all.add(&proxy.traffic);
        if proxy.stopwatch.is_some() {
            totals.timed_proxies += 1;
            totals.timed.add(&proxy.traffic);
        }
    }

    /// Adds the report of another host.
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

    /// Returns the totals of a role.
    pub fn of(&self, role: Role) -> &RoleTotals {
        match role {
            Role::Ordinary => &self.ordinary,
            Role::Voter => &self.voter,
            Role::Grantor => &self.grantor,
        }
    }
}

/// A proxy without a data path that asks for the total of every budget.
pub struct HollowProxy {
    budgets: Budgets,
    index: u16,
    is_voter: bool,
    key: [u8; 32],
    /// Set if its calls are timed, as those of voters and of some ordinary proxies are.
    pub stopwatch: Option<Stopwatch>,
    /// The traffic since this was last reset.
    pub traffic: Traffic,
}

impl HollowProxy {
    /// Creates a proxy that starts at `start`.
    ///
    /// # Errors
    /// Returns one line that says what is wrong with the fleet's settings.
    pub fn new(
        fleet: &FleetPlan,
        index: u16,
        start: Micros,
        entropy: [u8; 32],
        stopwatch: Stopwatch,
    ) -> Result<HollowProxy, String> {
        let mut budgets = Budgets::new(start, fleet.settings(index), entropy)?;
        fleet.wholes.iter().enumerate().for_each(|(budget, whole)| budgets.set_demand(budget, *whole));
        let is_voter = fleet.voters.contains(&index);
        let sampled = index.is_multiple_of((fleet.proxies / TIMED_PROXIES).max(1));
        Ok(HollowProxy {
            budgets,
            index,
            is_voter,
            key: fleet.key,
            stopwatch: (is_voter || sampled).then_some(stopwatch),
            traffic: Traffic::default(),
        })
    }

    /// Returns the present role of the proxy.
    pub fn role(&self, now: Micros) -> Role {
        match (self.budgets.is_coordinator(now), self.is_voter) {
            (true, _) => Role::Grantor,
            (false, true) => Role::Voter,
            (false, false) => Role::Ordinary,
        }
    }

    /// Returns when the proxy next has something to do.
    pub fn next_due(&self) -> Micros {
        self.budgets.next_due()
    }

    /// Returns how often the proxy became coordinator.
    pub fn elections(&self) -> u64 {
        self.budgets.counters.times_elected
    }

    /// Does what is due and returns the sealed datagrams to send.
    pub fn tick(&mut self, now: Micros) -> Outbox {
        self.call(|budgets, out| budgets.tick(now, out))
    }

    /// Handles a received datagram and returns the sealed datagrams to send. A datagram with a wrong
    /// authentication code is ignored.
    pub fn receive(&mut self, now: Micros, datagram: &[u8]) -> Outbox {
        self.traffic.messages_in += 1;
        self.traffic.bytes_in += datagram.len() as u64;
        let (key, index) = (self.key, self.index);
        let opened =
            timed(self.stopwatch, &mut self.traffic.code_nanoseconds, || open(&key, index, datagram));
        let Some(message) = opened else { return Outbox::new() };
        self.call(|budgets, out| budgets.receive(now, message, out))
    }

    /// Runs a step of the budgets and seals the messages that it sends.
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
