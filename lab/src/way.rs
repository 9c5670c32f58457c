//! A planner's way to stand-ins: what it wants sent or withdrawn, in order, until the world carries it out. It owns nothing
//! but that list. It must never answer by itself.
use nickelgate::Addr;
use std::cell::RefCell;
use std::rc::Rc;
use threadward_core::{Caches, Dispatch};

pub(crate) enum Order {
    Send(Box<Dispatch>),
    Withdraw(u64, u16),
}

pub(crate) struct Way(pub Rc<RefCell<Vec<Order>>>);

impl Caches for Way {
    fn send(&mut self, d: Dispatch) {
        self.0.borrow_mut().push(Order::Send(Box::new(d)));
    }
    fn withdraw(&mut self, request: u64, attempt: u16) -> bool {
        self.0.borrow_mut().push(Order::Withdraw(request, attempt));
        false
    }
    fn probe(&mut self, _: Addr) {}
}
