//! Ties the budgets that all proxies share to the proxy: their clock, the authentication of their messages, and what this
//! proxy may use of each. It divides nothing itself. Off unless the operators' file has a `[budgets]` part.
use crate::control_socket::{ControlSocket, Subject};
use crate::net::{self, now, sleep_until, uptime};
use crate::node::Node;
use crate::operators::{Divided, COLD, PROBE};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use threadward_budgets::seal::{open, seal};
use threadward_budgets::wire::{self, Author};
use threadward_budgets::{Budgets, Out, Settings};
use threadward_core::{Counter, Micros};
use threadward_zones::Seat;

/// The longest wait for what is due: a message may have brought it forward.
const MAX_WAIT: Micros = 20_000;
/// The budget of probes.
const PROBES: usize = 0;
/// The budget of what members that started lately are sent, where the file gives one.
const COLD_MEMBERS: usize = 1;

/// This proxy's part in the budgets that all share.
pub struct BudgetClient {
    node: Rc<Node>,
    socket: Rc<ControlSocket>,
    key: [u8; 32],
    instance: RefCell<Budgets>,
    /// Whether it had a lease, and granted, when that was last looked at: for the log.
    was_leased: Cell<bool>,
    was_granting: Cell<bool>,
    /// Whether the file gives a budget of cold members.
    has_cold_budget: bool,
    settings: Settings,
}

impl BudgetClient {
    /// # Errors
    /// One line that says why it cannot start.
    pub fn new(node: Rc<Node>, divided: Divided) -> Result<Rc<BudgetClient>, String> {
        let socket = ControlSocket::bind(divided.listen, divided.proxies)?;
        let mut entropy = [0; 32];
        getrandom::fill(&mut entropy).map_err(|e| format!("no random numbers: {e}"))?;
        let settings = divided.settings;
        let instance = Budgets::new(uptime(), settings.clone(), entropy)?;
        let client = Rc::new(BudgetClient {
            node,
            socket,
            key: divided.key,
            instance: instance.into(),
            was_leased: Cell::new(false),
            was_granting: Cell::new(false),
            has_cold_budget: settings.wholes.len() > COLD_MEMBERS,
            settings,
        });
        client.pace_probes();
        let receiver = Rc::downgrade(&client);
        let take = move |datagram: &[u8]| {
            if let Some(client) = receiver.upgrade() {
                client.received(datagram);
            }
        };
        client.socket.register(Subject::Budgets, Box::new(take));
        Ok(client)
    }

    /// The socket that control messages go by.
    pub fn socket(&self) -> Rc<ControlSocket> {
        self.socket.clone()
    }

    /// Keeps probes to this proxy's share of them. It is asked for at every use: a process that was stopped finds its lease
    /// over before it sends anything.
    fn pace_probes(self: &Rc<Self>) {
        let client = self.clone();
        let pause = Rc::new(move || match client.instance.borrow_mut().share(uptime(), PROBES) {
            0 => Micros::MAX,
            units => (1_000_000 * PROBE).div_ceil(units.into()),
        });
        let whole = self.settings.wholes.get(PROBES).copied().unwrap_or(0);
        let probed = self.node.plan(|p, _| p.pace_probes(pause));
        if !probed {
            net::log("budgets: no cache is probed here: this proxy takes no share");
        }
        self.instance.borrow_mut().want(PROBES, if probed { whole } else { 0 });
    }

    /// One call of the instance, and what it wants sent.
    fn call(&self, action: impl FnOnce(&mut Budgets, Micros, &mut Out)) {
        let mut out = Out::new();
        action(&mut self.instance.borrow_mut(), uptime(), &mut out);
        for (to, message) in out {
            if let Some(datagram) = seal(&self.key, to, &message) {
                self.socket.send(to, &datagram);
            }
        }
    }

    /// The own place and life, and what the file says of all proxies.
    pub fn seat_settings(&self) -> (Author, Settings) {
        (self.instance.borrow().me(), self.settings.clone())
    }

    /// What the election says now.
    pub fn seat(&self) -> Seat {
        let (instance, now) = (self.instance.borrow(), uptime());
        let decides = instance.grants(now);
        let decider = if decides { self.settings.place } else { instance.grantor() };
        Seat { decides, promised: instance.promised(now), decider }
    }

    fn received(&self, datagram: &[u8]) {
        let message = open(&self.key, self.settings.place, datagram).filter(|m| m.len() <= wire::MOST);
        match message {
            Some(message) => self.call(|b, now, out| b.receive(now, message, out)),
            None => self.node.count(Counter::BudgetForged),
        }
    }

    /// What this proxy sends to members that started lately is kept to its share.
    fn keep_cold(&self) {
        let share = self.instance.borrow_mut().share(uptime(), COLD_MEMBERS);
        let sends = self.node.plan(|p, now| p.keep_cold(now, share / COLD));
        self.instance.borrow_mut().want(COLD_MEMBERS, sends.saturating_mul(COLD));
    }

    /// Keeps the counters and says what changed.
    fn report(&self) {
        let instance = self.instance.borrow();
        let (leased, grants) = (instance.leased(uptime()), instance.grants(uptime()));
        if self.was_granting.replace(grants) != grants {
            net::log(if grants {
                "budgets: this proxy divides them"
            } else {
                "budgets: no longer divided here"
            });
        }
        if self.was_leased.replace(leased) != leased {
            net::log(if leased {
                "budgets: a share is leased"
            } else {
                "budgets: no lease, the floor alone"
            });
        }
        let tally = instance.tally;
        drop(instance);
        self.node.plan(|p, _| {
            p.counters.set(Counter::BudgetMalformed, tally.malformed);
            p.counters.set(Counter::BudgetLapsed, tally.lapsed);
            p.counters.set(Counter::BudgetElected, tally.elected);
            p.counters.set(Counter::BudgetBytes, tally.sent_bytes);
        });
    }

    /// Gives the share back: this proxy ends.
    pub fn leave(&self) {
        self.call(|b, _, out| b.leave(out));
    }
}

/// Sees to what is due.
pub async fn attend(client: Rc<BudgetClient>) {
    loop {
        client.call(|b, now, out| b.tick(now, out));
        if client.has_cold_budget {
            client.keep_cold();
        }
        client.report();
        let wait = client.instance.borrow().next_due().saturating_sub(uptime()).clamp(1_000, MAX_WAIT);
        sleep_until(now() + wait).await;
    }
}
