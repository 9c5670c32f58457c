//! A simulation of real instances of shared budgets in virtual time. Each has its own clock, which runs fast
//! or slow, on a network that loses, delays, duplicates and cuts; processes pause, are killed, restart or
//! leave.
//!
//! The simulation keeps the schedule and, after every event, sums up what all instances may use. It doesn't
//! read the state of an instance: the share that the instance reports counts.
use crate::event_queue::EventQueue;
use crate::net::{Net, NetworkConditions};
use crate::{stream, unit};
use nickelgate::Micros;
use rand_chacha::ChaCha8Rng;
use rand_core::RngCore;
use std::sync::Arc;
use threadward_budgets::{Budgets, Outbox, Settings};
use threadward_control::{ControlTree, Counters, Level, SharedBudget, SharedBudgets, Topology};

/// A millisecond.
pub const MS: Micros = 1_000;
/// A second.
pub const S: Micros = 1_000_000;

enum Event {
    /// The timer of a proxy is due: its index, the number of its start and the due time. A timer that was
    /// replaced since is ignored.
    Tick(usize, u64, Micros),
    /// A datagram arrives at a proxy.
    Datagram(usize, Vec<u8>),
}

struct Proxy<B> {
    instance: Option<B>,
    /// How far its own clock was ahead at time 0.
    clock_offset: Micros,
    /// How fast its own clock runs: 1 is true time.
    clock_rate: f64,
    /// The process is paused until then; its timers and datagrams are postponed.
    paused_until: Micros,
    /// Number of times it has been started.
    start_count: u64,
    /// When its timer is due.
    timer_at: Micros,
    /// Bytes that its earlier starts sent.
    bytes_of_earlier_starts: u64,
}

/// Creates the instance of a proxy, given its index, its start on its own clock, and random bytes.
type Factory<B> = Box<dyn Fn(u16, Micros, [u8; 32]) -> B>;

/// Receives each message before it is sent (sender, receiver, bytes) and may change it.
pub type Tamper = Box<dyn FnMut(usize, u16, &mut Vec<u8>)>;

/// A simulation of proxies that share budgets.
pub struct BudgetSimulation<B: SharedBudgets = Budgets> {
    /// The network between the proxies.
    pub net: Net,
    factory: Factory<B>,
    proxies: Vec<Proxy<B>>,
    queue: EventQueue<Event>,
    rng: ChaCha8Rng,
    /// The demand of a proxy for each budget when it starts: the whole.
    initial_demands: Vec<u32>,
    /// For each budget, the largest amount that all proxies together could use at any moment so far.
    pub max_sums: Vec<u32>,
    /// Groups of proxies for which sums are taken separately.
    groups: Vec<Vec<usize>>,
    /// Changes messages before they are sent, to simulate a process that sends false ones.
    tamper: Option<Tamper>,
    /// For each group and budget, the largest amount that the group's proxies together could use so far.
    pub max_group_sums: Vec<Vec<u32>>,
}

impl BudgetSimulation<Budgets> {
    /// Creates the proxies without starting them. Clocks are up to a minute apart and run up to 1% fast or
    /// slow.
    pub fn new(seed: u64, settings: Settings, conditions: NetworkConditions) -> Self {
        let (proxies, budget_totals) = (settings.proxies, settings.totals.clone());
        let factory = Box::new(move |own_index, now, entropy| {
            let settings = Settings { index: own_index, ..settings.clone() };
            Budgets::new(now, settings, entropy).unwrap_or_else(|error| panic!("{error}"))
        });
        Self::with_factory(seed, proxies, budget_totals, conditions, factory)
    }
}

/// Settings that all proxies of a control tree share.
#[derive(Clone)]
pub struct TreeSettings {
    /// Sites and regions.
    pub topology: Arc<Topology>,
    /// The budgets.
    pub budgets: Vec<SharedBudget>,
    /// Lease time within a site.
    pub lease: Micros,
}

impl BudgetSimulation<ControlTree> {
    /// Creates a fleet with sites and regions, without starting the proxies. Sums are also taken for each
    /// region.
    pub fn tree(seed: u64, settings: TreeSettings, conditions: NetworkConditions) -> Self {
        let topology = settings.topology.clone();
        let budget_totals = settings.budgets.iter().map(|budget| budget.total_units).collect();
        let factory = Box::new(move |own_index, now, entropy| {
            let TreeSettings { topology, budgets, lease } = settings.clone();
            let settings = threadward_control::Settings { proxy_index: own_index, topology, budgets, lease };
            ControlTree::new(now, settings, entropy).unwrap_or_else(|error| panic!("{error}"))
        });
        let mut simulation =
            Self::with_factory(seed, topology.proxies() as u16, budget_totals, conditions, factory);
        let region = |region: u16| {
            let members = topology.proxies_of_seat(Level::Fleet, 0, region);
            members.iter().map(|member| usize::from(*member)).collect()
        };
        simulation.groups = (0..topology.regions() as u16).map(region).collect();
        simulation.max_group_sums = vec![vec![0; simulation.max_sums.len()]; simulation.groups.len()];
        simulation
    }

    /// Returns the proxies that now lead their group at a level.
    pub fn leaders(&self, level: Level) -> Vec<usize> {
        let leads_now = |i: &usize| {
            let instance = self.proxies[*i].instance.as_ref();
            instance.is_some_and(|tree| tree.leads(self.clock(*i), level))
        };
        (0..self.proxies.len()).filter(leads_now).collect()
    }
}

impl<B: SharedBudgets> BudgetSimulation<B> {
    /// Creates the proxies, whose instances `factory` makes when they are started.
    fn with_factory(
        seed: u64,
        proxies: u16,
        budget_totals: Vec<u32>,
        conditions: NetworkConditions,
        factory: Factory<B>,
    ) -> Self {
        let mut rng = stream(seed, 0x6275);
        let proxy = |_| Proxy {
            instance: None,
            clock_offset: (unit(&mut rng) * 60.0 * S as f64) as Micros,
            clock_rate: 0.99 + 0.02 * unit(&mut rng),
            paused_until: 0,
            start_count: 0,
            timer_at: Micros::MAX,
            bytes_of_earlier_starts: 0,
        };
        let proxies = (0..proxies).map(proxy).collect();
        let most = vec![0; budget_totals.len()];
        let net = Net::new(seed, conditions);
        let (groups, max_group_sums) = (Vec::new(), Vec::new());
        let queue = EventQueue::new(S);
        BudgetSimulation {
            net,
            factory,
            proxies,
            queue,
            rng,
            initial_demands: budget_totals,
            max_sums: most,
            groups,
            tamper: None,
            max_group_sums,
        }
    }

    /// Returns the true time.
    pub fn now(&self) -> Micros {
        self.queue.now
    }

    /// Returns the time on a proxy's own clock.
    fn clock(&self, i: usize) -> Micros {
        let p = &self.proxies[i];
        p.clock_offset + (self.queue.now as f64 * p.clock_rate) as Micros
    }

    /// Starts the process of a proxy. One that is already running is killed first.
    pub fn start(&mut self, i: usize) {
        self.kill(i);
        let mut entropy = [0; 32];
        self.rng.fill_bytes(&mut entropy);
        let mut b = (self.factory)(i as u16, self.clock(i), entropy);
        self.initial_demands.iter().enumerate().for_each(|(budget, n)| b.set_demand(budget, *n));
        let p = &mut self.proxies[i];
        (p.instance, p.start_count, p.timer_at, p.paused_until) =
            (Some(b), p.start_count + 1, Micros::MAX, 0);
        self.call(i, |b, now, out| b.tick(now, out));
    }

    /// Kills the process of a proxy, without notice to the others.
    pub fn kill(&mut self, i: usize) {
        if let Some(b) = self.proxies[i].instance.take() {
            self.proxies[i].bytes_of_earlier_starts += b.counters().sent_bytes;
        }
    }

    /// Makes a process announce its leave. It keeps running for what it still has to answer.
    pub fn announce_leave(&mut self, i: usize) {
        self.call(i, |b, _, out| b.leave(out));
    }

    /// Makes a process announce its leave and ends it.
    pub fn leave(&mut self, i: usize) {
        self.announce_leave(i);
        self.kill(i);
    }

    /// Pauses a process for a time span. Its clock goes on.
    pub fn pause(&mut self, i: usize, span: Micros) {
        self.proxies[i].paused_until = self.queue.now + span;
    }

    /// Sets the demand of a proxy for a budget from now on.
    pub fn set_proxy_demand(&mut self, i: usize, budget: usize, units: u32) {
        if let Some(b) = &mut self.proxies[i].instance {
            b.set_demand(budget, units);
        }
    }

    /// Returns the units of a budget that a proxy may use now; 0 if it isn't running.
    pub fn share(&mut self, i: usize, budget: usize) -> u32 {
        let now = self.clock(i);
        self.proxies[i].instance.as_mut().map_or(0, |b| b.share(now, budget))
    }

    /// Returns the units of a budget that all proxies together may use now.
    pub fn sum(&mut self, budget: usize) -> u32 {
        (0..self.proxies.len()).map(|i| self.share(i, budget)).sum()
    }

    /// Returns the proxies that divide the budgets now: the coordinator or, in a tree, the leader of the
    /// fleet. There should be at most one.
    pub fn coordinators(&self) -> Vec<usize> {
        let leads_now =
            |i: &usize| self.proxies[*i].instance.as_ref().is_some_and(|b| b.leads_fleet(self.clock(*i)));
        (0..self.proxies.len()).filter(leads_now).collect()
    }

    /// Returns the bytes that all proxies have sent so far.
    pub fn bytes(&self) -> u64 {
        let own = |p: &Proxy<B>| {
            p.bytes_of_earlier_starts + p.instance.as_ref().map_or(0, |b| b.counters().sent_bytes)
        };
        self.proxies.iter().map(own).sum()
    }

    /// Calls an instance with its own time, sends its messages and schedules its next timer.
    fn call(&mut self, i: usize, f: impl FnOnce(&mut B, Micros, &mut Outbox)) {
        let (now, mut out) = (self.clock(i), Outbox::new());
        let Some(b) = &mut self.proxies[i].instance else { return };
        f(b, now, &mut out);
        let due = b.next_due();
        for (to, mut bytes) in out {
            self.tamper.iter_mut().for_each(|change| change(i, to, &mut bytes));
            for at in self.net.transmit(self.queue.now, i, usize::from(to), bytes.len()) {
                self.queue.schedule(at, Event::Datagram(usize::from(to), bytes.clone()));
            }
        }
        let p = &mut self.proxies[i];
        if due == Micros::MAX {
            return;
        }
        // Converts from the proxy's own clock to true time, rounded up.
        let at = ((due.saturating_sub(p.clock_offset)) as f64 / p.clock_rate) as Micros + 2;
        if at < p.timer_at || p.timer_at <= self.queue.now {
            p.timer_at = at.max(self.queue.now + 1);
            let (at, start) = (p.timer_at, p.start_count);
            self.queue.schedule(at, Event::Tick(i, start, at));
        }
    }

    /// Runs for a time span. The largest sums are updated after every event.
    pub fn run(&mut self, span: Micros) {
        let until = self.queue.now + span;
        while let Some(event) = self.queue.pop(until) {
            let i = match &event {
                Event::Tick(i, ..) | Event::Datagram(i, _) => *i,
            };
            if self.proxies[i].paused_until > self.queue.now {
                let at = self.proxies[i].paused_until;
                self.queue.schedule(at, event);
                continue;
            }
            match event {
                Event::Tick(_, start, due)
                    if start == self.proxies[i].start_count && due == self.proxies[i].timer_at =>
                {
                    self.proxies[i].timer_at = Micros::MAX;
                    self.call(i, |b, now, out| b.tick(now, out));
                }
                Event::Tick(..) => continue,
                Event::Datagram(_, bytes) => self.call(i, |b, now, out| b.receive(now, &bytes, out)),
            }
            self.update_max_sums();
        }
    }

    /// Returns the units of a budget that a group's proxies together may use now.
    pub fn group_share(&mut self, group: usize, budget: usize) -> u32 {
        let members = std::mem::take(&mut self.groups[group]);
        let sum = members.iter().map(|i| self.share(*i, budget)).sum();
        self.groups[group] = members;
        sum
    }

    /// Updates the largest sums.
    fn update_max_sums(&mut self) {
        for budget in 0..self.max_sums.len() {
            self.max_sums[budget] = self.max_sums[budget].max(self.sum(budget));
            for group in 0..self.groups.len() {
                let sum = self.group_share(group, budget);
                let most = &mut self.max_group_sums[group][budget];
                *most = sum.max(*most);
            }
        }
    }

    /// Returns the counters of a proxy's current instance.
    pub fn counters(&self, i: usize) -> Counters {
        self.proxies[i].instance.as_ref().map_or(Counters::default(), SharedBudgets::counters)
    }

    /// Passes every message through `change` before it is sent, from now on.
    pub fn tamper(&mut self, change: Tamper) {
        self.tamper = Some(change);
    }
}
