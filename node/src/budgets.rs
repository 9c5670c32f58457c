//! Connects the budgets that all proxies share to the proxy: the timers, the authentication of messages, the
//! limits set from this proxy's shares, the counters and the log.
//!
//! The division itself is left to one library instance: of [`Budgets`], where one proxy divides for all, or
//! of [`ControlTree`], where the operators' file names regions and sites. Off unless that file has a
//! `[budgets]` part.
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

/// Longest sleep between two runs of the timers: a message received meanwhile may have made something due
/// sooner.
const MAX_WAIT: Micros = 20_000;
/// Index of the budget of probes.
const PROBE_BUDGET: usize = 0;
/// Index of the budget of requests to members that started recently, where the file gives one.
const COLD_BUDGET: usize = 1;

/// The instance that divides the budgets, as the operators' file chooses.
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

/// The log lines about one level that this proxy may lead, and whether it led it at the last report.
struct Leadership {
    level: Level,
    begins: String,
    ends: String,
    held: Cell<bool>,
}

impl Leadership {
    /// Returns every level that this proxy may lead under a division.
    fn all(division: &Division) -> Vec<Leadership> {
        let new_leadership = |level, what: &str| Leadership {
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
                new_leadership(Level::Site, &format!("site {}", tree.site)),
                new_leadership(Level::Region, &format!("region {}", tree.region)),
                new_leadership(Level::Fleet, "the fleet"),
            ],
        }
    }
}

/// This proxy's participation in the shared budgets.
pub struct BudgetClient {
    node: Rc<Node>,
    socket: Rc<ControlSocket>,
    key: [u8; 32],
    /// This proxy's index among the proxies of the file.
    index: u16,
    instance: RefCell<Instance>,
    /// Whether this proxy held a lease at the last report.
    was_leased: Cell<bool>,
    /// The levels that this proxy may lead.
    leaderships: Vec<Leadership>,
    /// Whether the file gives a budget of requests to cold members.
    has_cold_budget: bool,
}

impl BudgetClient {
    /// Binds the control socket, starts the instance and limits this proxy's probes to its share.
    ///
    /// # Errors
    /// One line that says why the budgets cannot start.
    pub fn new(node: Rc<Node>, settings: BudgetSettings) -> Result<Rc<BudgetClient>, String> {
        let BudgetSettings { listen, proxies, key, division, .. } = settings;
        let socket = ControlSocket::bind(listen, proxies)?;
        let mut entropy = [0; 32];
        getrandom::fill(&mut entropy).map_err(|e| format!("no random numbers: {e}"))?;
        let (index, totals, leaderships) =
            (division.own_index(), division.budget_totals(), Leadership::all(&division));
        let client = Rc::new(BudgetClient {
            node,
            socket,
            key,
            index,
            instance: Instance::new(division, entropy)?.into(),
            was_leased: Cell::new(false),
            leaderships,
            has_cold_budget: totals.len() > COLD_BUDGET,
        });
        client.limit_probes(totals.get(PROBE_BUDGET).copied().unwrap_or(0));
        let receiver = Rc::downgrade(&client);
        let on_datagram = move |datagram: &[u8]| {
            if let Some(client) = receiver.upgrade() {
                client.handle_datagram(datagram);
            }
        };
        client.socket.register(Subject::Budgets, Box::new(on_datagram));
        Ok(client)
    }

    /// Returns the socket that carries the control messages.
    pub fn socket(&self) -> Rc<ControlSocket> {
        self.socket.clone()
    }

    /// Limits the planner's probes to this proxy's share of `total`, and asks for the whole of it. The
    /// planner asks for the share at each use, so that a process that was stopped for a while notices that
    /// its lease has expired before it sends anything.
    fn limit_probes(self: &Rc<Self>, total: u32) {
        let client = self.clone();
        let pause = Rc::new(move || match client.share(PROBE_BUDGET) {
            0 => Micros::MAX,
            units => (1_000_000 * PROBE_UNITS).div_ceil(units.into()),
        });
        let probes_used = self.node.plan(|p, _| p.set_probe_pause(pause));
        if !probes_used {
            net::log("budgets: no cache is probed here: this proxy takes no share");
        }
        self.set_own_demand(PROBE_BUDGET, if probes_used { total } else { 0 });
    }

    /// Returns what this proxy may use of a budget now, in units.
    fn share(&self, budget: usize) -> u32 {
        self.instance.borrow_mut().shared_mut().share(uptime(), budget)
    }

    /// Sets what this proxy would use of a budget, in units.
    fn set_own_demand(&self, budget: usize, units: u32) {
        self.instance.borrow_mut().shared_mut().set_demand(budget, units);
    }

    /// Calls the instance, then authenticates and sends its messages.
    fn call(&self, action: impl FnOnce(&mut dyn SharedBudgets, Micros, &mut Outbox)) {
        let mut out = Outbox::new();
        action(self.instance.borrow_mut().shared_mut(), uptime(), &mut out);
        for (to, message) in out {
            if let Some(datagram) = seal(&self.key, to, &message) {
                self.socket.send(to, &datagram);
            }
        }
    }

    /// Returns this proxy's index and incarnation with the settings that all proxies share, or `None` under
    /// the control tree, which does not support zones.
    pub fn identity_and_settings(&self) -> Option<(Author, Settings)> {
        match &*self.instance.borrow() {
            Instance::Plain { budgets, settings } => Some((budgets.identity(), settings.clone())),
            Instance::Tree(_) => None,
        }
    }

    /// Returns the present state of the election of the coordinator that divides for all proxies.
    pub fn election(&self) -> ElectionView {
        match &*self.instance.borrow() {
            Instance::Plain { budgets, .. } => {
                let now = uptime();
                let coordinates = budgets.is_coordinator(now);
                let decider = if coordinates { self.index } else { budgets.coordinator() };
                ElectionView { is_decider: coordinates, promised_to: budgets.promised_to(now), decider }
            }
            Instance::Tree(_) => ElectionView { is_decider: false, promised_to: None, decider: self.index },
        }
    }

    /// Verifies a datagram and passes its message to the instance; counts one that cannot be verified or is
    /// too long.
    fn handle_datagram(&self, datagram: &[u8]) {
        let max_bytes = match &*self.instance.borrow() {
            Instance::Plain { .. } => wire::MAX_MESSAGE_BYTES,
            Instance::Tree(_) => MAX_FRAME_BYTES,
        };
        let message = open(&self.key, self.index, datagram).filter(|message| message.len() <= max_bytes);
        match message {
            Some(message) => self.call(|b, now, out| b.receive(now, message, out)),
            None => self.node.count(Counter::BudgetForged),
        }
    }

    /// Limits the requests to members that started recently to this proxy's share, and asks for as much as it
    /// would send them.
    fn limit_cold_requests(&self) {
        let share = self.share(COLD_BUDGET);
        let demand_per_s = self.node.plan(|p, now| p.limit_cold_rate(now, share / COLD_UNITS));
        self.set_own_demand(COLD_BUDGET, demand_per_s.saturating_mul(COLD_UNITS));
    }

    /// Logs changes of leadership and of the lease, and updates the counters.
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
        let division_counters = instance.shared().counters();
        drop(instance);
        self.node.plan(|p, _| {
            let values = [
                (Counter::BudgetMalformed, division_counters.malformed),
                (Counter::BudgetLapsed, division_counters.lapsed),
                (Counter::BudgetElected, division_counters.elected.fleet),
                (Counter::BudgetRegionElected, division_counters.elected.region),
                (Counter::BudgetSiteElected, division_counters.elected.site),
                (Counter::BudgetBytes, division_counters.sent_bytes),
                (Counter::BudgetForwarded, division_counters.forwarded),
                (Counter::BudgetDropped, division_counters.dropped),
            ];
            values.into_iter().for_each(|(counter, n)| p.counters.set(counter, n));
        });
    }

    /// Returns this proxy's share to the others, at shutdown.
    pub fn leave(&self) {
        self.call(|b, _, out| b.leave(out));
    }
}

/// Runs the timers, the limit of requests to cold members and the reports for as long as the program runs.
pub async fn run_timers(client: Rc<BudgetClient>) {
    loop {
        client.call(|b, now, out| b.tick(now, out));
        if client.has_cold_budget {
            client.limit_cold_requests();
        }
        client.report();
        let wait =
            client.instance.borrow().shared().next_due().saturating_sub(uptime()).clamp(1_000, MAX_WAIT);
        sleep_until(now() + wait).await;
    }
}
