//! What the plain division and the tree have in common, so that a caller treats both alike.
use nickelgate::Micros;
use threadward_budgets::{Budgets, Outbox};

/// Times that an instance became leader of a group, by level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Elections {
    /// Of its site.
    pub site: u64,
    /// Of its region.
    pub region: u64,
    /// Of the fleet.
    pub fleet: u64,
}

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Bytes of the messages that were given out to be sent.
    pub sent_bytes: u64,
    /// Messages that could not be read.
    pub malformed: u64,
    /// Leases of this proxy that ran out without a new one.
    pub lapsed: u64,
    /// Times that this proxy became leader.
    pub elected: Elections,
    /// Messages passed on to the leader that they were meant for.
    pub forwarded: u64,
    /// Messages for a seat that this proxy does not speak for, with nobody to pass them to.
    pub dropped: u64,
}

/// Shares of budgets that many proxies spend together.
pub trait SharedBudgets {
    /// What this proxy may use of a budget now, in units. Ask at every use.
    fn share(&mut self, now: Micros, budget: usize) -> u32;
    /// What this proxy would use of a budget, in units.
    fn want(&mut self, budget: usize, units: u32);
    /// Whether a lease lasts now.
    fn leased(&self, now: Micros) -> bool;
    /// Whether this process divides the whole of the fleet now.
    fn leads_fleet(&self, now: Micros) -> bool;
    /// When [`SharedBudgets::tick`] has something to do next.
    fn next_due(&self) -> Micros;
    /// Carries out what is due by now.
    fn tick(&mut self, now: Micros, out: &mut Outbox);
    /// A message came in from a proxy of the file; who that is has been checked.
    fn receive(&mut self, now: Micros, message: &[u8], out: &mut Outbox);
    /// Ends by will: nothing is used from here on.
    fn leave(&mut self, out: &mut Outbox);
    /// What was counted since the start.
    fn counters(&self) -> Counters;
}

impl SharedBudgets for Budgets {
    fn share(&mut self, now: Micros, budget: usize) -> u32 {
        Budgets::share(self, now, budget)
    }
    fn want(&mut self, budget: usize, units: u32) {
        Budgets::set_demand(self, budget, units);
    }
    fn leased(&self, now: Micros) -> bool {
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
