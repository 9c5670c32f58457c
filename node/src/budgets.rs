//! Ties the budgets that all proxies share to the proxy: their socket, their clock, the MAC of their messages, and what
//! this proxy may use of each. It owns the one instance of the program. It must never divide anything itself, nor take a
//! message whose MAC is not right. Off unless the operators' file has a `[budgets]` part.
use crate::net::{self, now, sleep_until};
use crate::node::Node;
use crate::operators::{Divided, COLD, PROBE};
use async_io::Async;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use threadward_budgets::wire::{self, Author};
use threadward_budgets::{Budgets, Out};
use threadward_core::{Counter, Micros};
use threadward_zones::Seat;

/// Bytes of a MAC: half of the hash (RFC 2104, section 5).
const MAC: usize = 16;
/// What is signed begins with this, so that a MAC made for another purpose never fits.
const DOMAIN: &[u8] = b"threadward-budgets-1";
/// The longest wait for what is due: a message may have brought it forward.
const LOOK: Micros = 20_000;
/// The budget of probes.
const PROBES: usize = 0;
/// The budget of what members that started lately are sent, where the file gives one.
const COLD_MEMBERS: usize = 1;

pub struct Purse {
    node: Rc<Node>,
    socket: Async<UdpSocket>,
    /// The own place among the proxies, and all their addresses.
    place: u16,
    proxies: Vec<SocketAddr>,
    key: [u8; 32],
    instance: RefCell<Budgets>,
    /// Whether it had a lease, and granted, when that was last looked at: for the log.
    had: Cell<bool>,
    granted: Cell<bool>,
    /// Whether the file gives a budget of cold members.
    cold: Cell<bool>,
    settings: threadward_budgets::Settings,
    /// Who takes the messages on zones that come by this socket.
    zones: RefCell<Option<Receiver>>,
}

/// Takes a datagram.
type Receiver = Box<dyn Fn(&[u8])>;

/// Microseconds since this machine started: no step of the system's clock moves it, and it goes on while the machine
/// sleeps.
pub fn uptime() -> Micros {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    t.tv_sec as Micros * 1_000_000 + t.tv_nsec as Micros / 1_000
}

/// The MAC of a message to a place: one that was meant for another is not taken.
fn mac(key: &[u8; 32], to: u16, bytes: &[u8]) -> Option<Hmac<Sha256>> {
    let mut m = Hmac::<Sha256>::new_from_slice(key).ok()?;
    m.update(DOMAIN);
    m.update(&to.to_be_bytes());
    m.update(bytes);
    Some(m)
}

impl Purse {
    /// # Errors
    /// One line that says why it cannot start.
    pub fn new(node: Rc<Node>, d: Divided) -> Result<Rc<Purse>, String> {
        let socket = Async::<UdpSocket>::bind(d.listen).map_err(|e| format!("budgets: {}: {e}", d.listen))?;
        let mut entropy = [0; 32];
        getrandom::fill(&mut entropy).map_err(|e| format!("no random numbers: {e}"))?;
        let whole = d.settings.wholes.get(PROBES).copied().unwrap_or(0);
        let place = d.settings.place;
        let cold = d.settings.wholes.len() > COLD_MEMBERS;
        let mut instance = Budgets::new(uptime(), d.settings.clone(), entropy)?;
        instance.want(PROBES, whole);
        let purse = Rc::new(Purse {
            node: node.clone(),
            socket,
            place,
            proxies: d.proxies,
            key: d.key,
            instance: RefCell::new(instance),
            had: Cell::new(false),
            granted: Cell::new(false),
            cold: Cell::new(false),
            settings: d.settings,
            zones: RefCell::new(None),
        });
        let p = purse.clone();
        // Asked at every use: a process that was stopped finds its lease over before it sends anything.
        let pause = Rc::new(move || match p.instance.borrow_mut().share(uptime(), PROBES) {
            0 => Micros::MAX,
            units => (1_000_000 * PROBE).div_ceil(units.into()),
        });
        if !node.plan(|p, _| p.pace_probes(pause)) {
            net::log("budgets: no cache is probed here: this proxy takes no share");
            purse.instance.borrow_mut().want(PROBES, 0);
        }
        purse.cold.set(cold);
        Ok(purse)
    }

    /// One call of the instance, and what it wants sent.
    fn call(&self, f: impl FnOnce(&mut Budgets, Micros, &mut Out)) {
        let mut out = Out::new();
        f(&mut self.instance.borrow_mut(), uptime(), &mut out);
        for (to, mut bytes) in out {
            let (Some(at), Some(m)) = (self.proxies.get(usize::from(to)), mac(&self.key, to, &bytes)) else {
                continue;
            };
            bytes.extend_from_slice(&m.finalize().into_bytes()[..MAC]);
            // One that finds no room is lost, as any may be.
            self.socket.get_ref().send_to(&bytes, at).ok();
        }
    }

    /// Whoever takes the messages on zones.
    pub fn hand_over(&self, to: Receiver) {
        *self.zones.borrow_mut() = Some(to);
    }

    /// Sends a message that bears a MAC already.
    pub fn send(&self, to: u16, bytes: &[u8]) {
        if let Some(at) = self.proxies.get(usize::from(to)) {
            self.socket.get_ref().send_to(bytes, at).ok();
        }
    }

    /// The own place and life, and what the file says of all proxies.
    pub fn seat_settings(&self) -> (Author, threadward_budgets::Settings) {
        (self.instance.borrow().me(), self.settings.clone())
    }

    /// What the election says now.
    pub fn seat(&self) -> Seat {
        let (b, now) = (self.instance.borrow(), uptime());
        let decides = b.grants(now);
        let decider = if decides { self.place } else { b.grantor() };
        Seat { decides, promised: b.promised(now), decider }
    }

    fn received(&self, datagram: &[u8]) {
        if threadward_zones::wire::ours(datagram) {
            if let Some(take) = self.zones.borrow().as_ref() {
                take(datagram);
            }
            return;
        }
        let right = datagram.len().checked_sub(MAC).filter(|n| *n <= wire::MOST).and_then(|n| {
            let (bytes, tag) = datagram.split_at(n);
            mac(&self.key, self.place, bytes)?.verify_truncated_left(tag).ok()?;
            Some(bytes)
        });
        match right {
            Some(bytes) => self.call(|b, now, out| b.receive(now, bytes, out)),
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
    fn look(&self) {
        if self.cold.get() {
            self.keep_cold();
        }
        let b = self.instance.borrow();
        let (leased, grants) = (b.leased(uptime()), b.grants(uptime()));
        if self.granted.replace(grants) != grants {
            net::log(if grants {
                "budgets: this proxy divides them"
            } else {
                "budgets: no longer divided here"
            });
        }
        if self.had.replace(leased) != leased {
            net::log(if leased {
                "budgets: a share is leased"
            } else {
                "budgets: no lease, the floor alone"
            });
        }
        let t = b.tally;
        drop(b);
        self.node.plan(|p, _| {
            p.counters.set(Counter::BudgetMalformed, t.malformed);
            p.counters.set(Counter::BudgetLapsed, t.lapsed);
            p.counters.set(Counter::BudgetElected, t.elected);
            p.counters.set(Counter::BudgetBytes, t.sent_bytes);
        });
    }

    /// Gives the share back: this proxy ends.
    pub fn leave(&self) {
        self.call(|b, _, out| b.leave(out));
    }
}

/// Reads messages for as long as the program runs.
pub async fn receive(purse: Rc<Purse>) {
    net::each_datagram(&purse.socket, crate::zones::MOST, |bytes, _| purse.received(bytes)).await;
}

/// Sees to what is due.
pub async fn attend(purse: Rc<Purse>) {
    loop {
        purse.call(|b, now, out| b.tick(now, out));
        purse.look();
        let wait = purse.instance.borrow().next_due().saturating_sub(uptime()).clamp(1_000, LOOK);
        sleep_until(now() + wait).await;
    }
}
