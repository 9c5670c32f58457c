//! A planner's transport to its caches that records the planner's calls.
//!
//! The simulation takes the recorded calls in order and carries them out in virtual time. The transport
//! itself never reports the end of an attempt.
use nickelgate::Addr;
use std::cell::RefCell;
use std::rc::Rc;
use threadward_core::{CacheTransport, Dispatch};

/// A call that a planner made to its transport.
pub(crate) enum TransportCall {
    /// Send an attempt to a cache.
    Send(Box<Dispatch>),
    /// Withdraw an attempt, given the request's id and the attempt's number.
    Withdraw(u64, u16),
}

/// The transport of one planner. It shares the list of recorded calls with the simulation.
pub(crate) struct RecordingTransport(pub Rc<RefCell<Vec<TransportCall>>>);

impl CacheTransport for RecordingTransport {
    fn send(&mut self, dispatch: Dispatch) {
        self.0.borrow_mut().push(TransportCall::Send(Box::new(dispatch)));
    }
    fn withdraw(&mut self, request: u64, attempt: u16) -> bool {
        self.0.borrow_mut().push(TransportCall::Withdraw(request, attempt));
        false
    }
    fn probe(&mut self, _: Addr) {}
}
