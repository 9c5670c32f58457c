//! A planner's link to its caches that records orders instead of carrying them out.
//!
//! The simulation takes the orders in their order and carries them out in virtual time; the link itself never answers.
use nickelgate::Addr;
use std::cell::RefCell;
use std::rc::Rc;
use threadward_core::{CacheTransport, Dispatch};

/// What a planner asked its link to do.
pub(crate) enum Order {
    /// Send an attempt to a cache.
    Send(Box<Dispatch>),
    /// Withdraw an attempt, by its request's number and its own.
    Withdraw(u64, u16),
}

/// The link of one planner; the simulation shares its list of orders.
pub(crate) struct RecordedLink(pub Rc<RefCell<Vec<Order>>>);

impl CacheTransport for RecordedLink {
    fn send(&mut self, dispatch: Dispatch) {
        self.0.borrow_mut().push(Order::Send(Box::new(dispatch)));
    }
    fn withdraw(&mut self, request: u64, attempt: u16) -> bool {
        self.0.borrow_mut().push(Order::Withdraw(request, attempt));
        false
    }
    fn probe(&mut self, _: Addr) {}
}
