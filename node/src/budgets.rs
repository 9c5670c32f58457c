//! Ties the budgets that all proxies share to the proxy: their clock, the authentication of their messages, and what this
//! proxy may use of each. It divides nothing itself: one instance does, of the plain division by one proxy for all, or of
//! the control tree where the operators' file names regions and sites. Off unless that file has a `[budgets]` part.
use crate::control_socket::{ControlSocket, Subject};
use crate::net::{self, now, sleep_until, uptime};
use crate::node::Node;
use crate::operators::{BudgetSettings, Division, TreeSettings, COLD_UNITS, PROBE_UNITS};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use threadward_budgets::seal::{open, seal};
use threadward_budgets::wire::{self, Author};
use threadward_budgets::{Budgets, Outbox, Settings};
use threadward_control::frame::MAX_FRAME_BYTES;
use threadward_control::{ControlTree, Level, SharedBudgets};
use threadward_core::{Counter, Micros};
use threadward_zones::ElectionView;

/// The longest wait for what is due: a message may have brought it forward.
const MAX_WAIT: Micros = 20_000;
/// The budget of probes.
const PROBES: usize = 0;
/// The budget of what members that started lately are sent, where the file gives one.
const COLD_MEMBERS: usize = 1;

/// What divides the budgets, by what the operators' file says.
enum Instance {
    Plain { budgets: Box<Budgets>, settings: Settings },
    Tree(Box<ControlTree>),
}

impl Instance {
    fn new(division: Division, entropy: [u8; 32]) -> Result<Instance, String> {
        match division {
            Division::Plain(settings) => {
                let budgets = Box::new(Budgets::new(uptime(), settings.clone(), entropy)?);
                Ok(Instance::Plain { budgets, settings })
            }
            Division::Tree(TreeSettings { settings, .. }) => {
                let tree = ControlTree::new(uptime(), settings, entropy).map_err(|e| e.to_string())?;
                Ok(Instance::Tree(Box::new(tree)))
            }
        }
    }

    fn shared(&self) -> &dyn SharedBudgets {
        match self {
            Instance::Plain { budgets, .. } => budgets.as_ref(),
            Instance::Tree(tree) => tree.as_ref(),
        }
    }

    fn shared_mut(&mut self) -> &mut dyn SharedBudgets {
        match self {
            Instance::Plain { budgets, .. } => budgets.as_mut(),
            Instance::Tree(tree) => tree.as_mut(),
        }
    }
}

/// What the log says of a part that this proxy takes in the division, and whether it took it at the last look.
struct Leadership {
    level: Level,
    begins: String,
    ends: String,
    held: Cell<bool>,
}

impl Leadership {
    fn all(division: &Division) -> Vec<Leadership> {
        let leads = |level, what: &str| Leadership {
            level,
            begins: format!("budgets: this proxy leads {what}"),
            ends: format!("budgets: this proxy no longer leads {what}"),
            held: Cell::new(false),
        };
        match division {
            Division::Plain(_) => vec![Leadership {
                level: Level::Fleet,
                begins: "budgets: this proxy divides them".to_owned(),
                ends: "budgets: no longer divided here".to_owned(),
                held: Cell::new(false),
            }],
            Division::Tree(tree) => vec![
                leads(Level::Site, &format!("site {}", tree.site)),
                leads(Level::Region, &format!("region {}", tree.region)),
                leads(Level::Fleet, "the fleet"),
            ],
        }
    }
}

/// This proxy's part in the budgets that all share.
pub struct BudgetClient {
    node: Rc<Node>,
    socket: Rc<ControlSocket>,
    key: [u8; 32],
    /// The own place among the proxies of the file.
    place: u16,
    instance: RefCell<Instance>,
    /// What was last written to the log: whether a lease lasts, and what this proxy leads.
    was_leased: Cell<bool>,
    leaderships: Vec<Leadership>,
    /// Whether the file gives a budget of cold members.
    has_cold_budget: bool,
}

impl BudgetClient {
    /// # Errors
    /// One line that says why it cannot start.
    pub fn new(node: Rc<Node>, settings: BudgetSettings) -> Result<Rc<BudgetClient>, String> {
        let BudgetSettings { listen, proxies, key, division, .. } = settings;
        let socket = ControlSocket::bind(listen, proxies)?;
        let mut entropy = [0; 32];
        getrandom::fill(&mut entropy).map_err(|e| format!("no random numbers: {e}"))?;
        let (place, totals, leaderships) =
            (division.own_index(), division.budget_totals(), Leadership::all(&division));
        let client = Rc::new(BudgetClient {
            node,
            socket,
            key,
            place,
            instance: Instance::new(division, entropy)?.into(),
            was_leased: Cell::new(false),
            leaderships,
            has_cold_budget: totals.len() > COLD_MEMBERS,
        });
        client.pace_probes(totals.get(PROBES).copied().unwrap_or(0));
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
    fn pace_probes(self: &Rc<Self>, whole: u32) {
        let client = self.clone();
        let pause = Rc::new(move || match client.share(PROBES) {
            0 => Micros::MAX,
            units => (1_000_000 * PROBE_UNITS).div_ceil(units.into()),
        });
        let probed = self.node.plan(|p, _| p.set_probe_pause(pause));
        if !probed {
            net::log("budgets: no cache is probed here: this proxy takes no share");
        }
        self.want(PROBES, if probed { whole } else { 0 });
    }

    /// What this proxy may use of a budget now, in units.
    fn share(&self, budget: usize) -> u32 {
        self.instance.borrow_mut().shared_mut().share(uptime(), budget)
    }

    /// Says what this proxy would use of a budget, in units.
    fn want(&self, budget: usize, units: u32) {
        self.instance.borrow_mut().shared_mut().set_demand(budget, units);
    }

    /// One call of the instance, and what it wants sent.
    fn call(&self, action: impl FnOnce(&mut dyn SharedBudgets, Micros, &mut Outbox)) {
        let mut out = Outbox::new();
        action(self.instance.borrow_mut().shared_mut(), uptime(), &mut out);
        for (to, message) in out {
            if let Some(datagram) = seal(&self.key, to, &message) {
                self.socket.send(to, &datagram);
            }
        }
    }

    /// The own place and life, and what the file says of all proxies; nothing under the control tree, in which zones take
    /// no part.
    pub fn identity_and_settings(&self) -> Option<(Author, Settings)> {
        match &*self.instance.borrow() {
            Instance::Plain { budgets, settings } => Some((budgets.identity(), settings.clone())),
            Instance::Tree(_) => None,
        }
    }

    /// What the election of the one that divides for all says now.
    pub fn election(&self) -> ElectionView {
        match &*self.instance.borrow() {
            Instance::Plain { budgets, .. } => {
                let now = uptime();
                let decides = budgets.is_coordinator(now);
                let decider = if decides { self.place } else { budgets.coordinator() };
                ElectionView { is_decider: decides, promised_to: budgets.promised_to(now), decider }
            }
            Instance::Tree(_) => ElectionView { is_decider: false, promised_to: None, decider: self.place },
        }
    }

    fn received(&self, datagram: &[u8]) {
        let longest = match &*self.instance.borrow() {
            Instance::Plain { .. } => wire::MAX_MESSAGE_BYTES,
            Instance::Tree(_) => MAX_FRAME_BYTES,
        };
        let message = open(&self.key, self.place, datagram).filter(|message| message.len() <= longest);
        match message {
            Some(message) => self.call(|b, now, out| b.receive(now, message, out)),
            None => self.node.count(Counter::BudgetForged),
        }
    }

    /// What this proxy sends to members that started lately is kept to its share.
    fn keep_cold(&self) {
        let share = self.share(COLD_MEMBERS);
        let sends = self.node.plan(|p, now| p.limit_cold_rate(now, share / COLD_UNITS));
        self.want(COLD_MEMBERS, sends.saturating_mul(COLD_UNITS));
    }

    /// Says what changed, and keeps the counters.
    fn report(&self) {
        let instance = self.instance.borrow();
        for leadership in &self.leaderships {
            let held = match &*instance {
                Instance::Plain { budgets, .. } => budgets.is_coordinator(uptime()),
                Instance::Tree(tree) => tree.leads(uptime(), leadership.level),
            };
            if leadership.held.replace(held) != held {
                net::log(if held { &leadership.begins } else { &leadership.ends });
            }
        }
        let leased = instance.shared().has_lease(uptime());
        if self.was_leased.replace(leased) != leased {
            net::log(if leased {
                "budgets: a share is leased"
            } else {
                "budgets: no lease, the floor alone"
            });
        }
        let counted = instance.shared().counters();
        drop(instance);
        self.node.plan(|p, _| {
            let figures = [
                (Counter::BudgetMalformed, counted.malformed),
                (Counter::BudgetLapsed, counted.lapsed),
                (Counter::BudgetElected, counted.elected.fleet),
                (Counter::BudgetRegionElected, counted.elected.region),
                (Counter::BudgetSiteElected, counted.elected.site),
                (Counter::BudgetBytes, counted.sent_bytes),
                (Counter::BudgetForwarded, counted.forwarded),
                (Counter::BudgetDropped, counted.dropped),
            ];
            figures.into_iter().for_each(|(counter, n)| p.counters.set(counter, n));
        });
    }

    /// Gives the share back: this proxy ends.
    pub fn leave(&self) {
        self.call(|b, _, out| b.leave(out));
    }
}

/// Sees to what is due.
pub async fn run_timers(client: Rc<BudgetClient>) {
    loop {
        client.call(|b, now, out| b.tick(now, out));
        if client.has_cold_budget {
            client.keep_cold();
        }
        client.report();
        let wait =
            client.instance.borrow().shared().next_due().saturating_sub(uptime()).clamp(1_000, MAX_WAIT);
        sleep_until(now() + wait).await;
    }
}
