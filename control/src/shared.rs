//! The interface that the division among a flat list of proxies and the division along the tree have in
//! common.
use nickelgate::Micros;
use threadward_budgets::{Budgets, Outbox};

/// How often an instance became leader of a group, by level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Elections {
    /// Elections as leader of its site.
    pub site: u64,
    /// Elections as leader of its region.
    pub region: u64,
    /// Elections as leader of the fleet.
    pub fleet: u64,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Bytes of the messages that were handed to the caller to be sent.
    pub sent_bytes: u64,
    /// Messages that could not be decoded.
    pub malformed: u64,
    /// Leases of this proxy that expired before a new one arrived.
    pub lapsed: u64,
    /// Elections that this proxy won.
    pub elected: Elections,
    /// Messages that were forwarded to the leader that they were meant for.
    pub forwarded: u64,
    /// Messages for a seat that this proxy does not represent and that could not be forwarded.
    pub dropped: u64,
}

/// A proxy's shares of budgets that many proxies spend together.
pub trait SharedBudgets {
    /// Returns how many units of a budget this proxy may use now. Has to be called at every use.
    fn share(&mut self, now: Micros, budget: usize) -> u32;
    /// Sets how many units of a budget this proxy would use.
    fn set_demand(&mut self, budget: usize, units: u32);
    /// Returns whether this proxy holds a lease now.
    fn has_lease(&self, now: Micros) -> bool;
    /// Returns whether this process divides the budgets of the whole fleet now.
    fn leads_fleet(&self, now: Micros) -> bool;
    /// Returns when [`SharedBudgets::tick`] has something to do next.
    fn next_due(&self) -> Micros;
    /// Does what is due by now and appends the messages to send to `out`.
    fn tick(&mut self, now: Micros, out: &mut Outbox);
    /// Handles a message from a proxy of the file. The caller has authenticated the sender.
    fn receive(&mut self, now: Micros, message: &[u8], out: &mut Outbox);
    /// Leaves the division on purpose: this proxy uses nothing from now on.
    fn leave(&mut self, out: &mut Outbox);
    /// Returns the counts since the start.
    fn counters(&self) -> Counters;
}

impl SharedBudgets for Budgets {
    fn share(&mut self, now: Micros, budget: usize) -> u32 {
        Budgets::share(self, now, budget)
    }
    fn set_demand(&mut self, budget: usize, units: u32) {
        Budgets::set_demand(self, budget, units);
    }
    fn has_lease(&self, now: Micros) -> bool {
        Budgets::has_lease(self, now)
    }
    fn leads_fleet(&self, now: Micros) -> bool {
        self.is_coordinator(now)
    }
    fn next_due(&self) -> Micros {
        Budgets::next_due(self)
    }
    fn tick(&mut self, now: Micros, out: &mut Outbox) {
        Budgets::tick(self, now, out);
    }
    fn receive(&mut self, now: Micros, message: &[u8], out: &mut Outbox) {
        Budgets::receive(self, now, message, out);
    }
    fn leave(&mut self, out: &mut Outbox) {
        Budgets::leave(self, out);
    }
    fn counters(&self) -> Counters {
        Counters {
            sent_bytes: self.counters.sent_bytes,
            malformed: self.counters.malformed,
            lapsed: self.counters.leases_expired,
            elected: Elections { fleet: self.counters.times_elected, ..Elections::default() },
            ..Counters::default()
        }
    }
}
