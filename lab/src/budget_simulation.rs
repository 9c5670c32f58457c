//! Real instances of shared budgets in virtual time: each with a clock of its own that runs fast or slow, on a network
//! that loses, delays, doubles and cuts; processes that pause, die, start anew or leave. Keeps the schedule, and takes the
//! sum of what all may use after every event. An instance is not looked into: a share counts as it is told.
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
    /// Of a place, its start, and when it was due: one that was armed anew since is passed over.
    Tick(usize, u64, Micros),
    Datagram(usize, Vec<u8>),
}

struct Proxy<B> {
    instance: Option<B>,
    /// The own clock: so far ahead, and running at this rate.
    ahead: Micros,
    rate: f64,
    /// Nothing happens in it until then; datagrams wait.
    paused: Micros,
    /// Its present start, as a number, and when its next tick was put down.
    start: u64,
    armed: Micros,
    /// Bytes that its former starts sent.
    sent: u64,
}

/// Makes the instance of a place: its start by its own clock, and random bytes.
type Factory<B> = Box<dyn Fn(u16, Micros, [u8; 32]) -> B>;

/// Sees a message of a place to another before it is sent, and may change it.
pub type Tamper = Box<dyn FnMut(usize, u16, &mut Vec<u8>)>;

/// Some proxies that share budgets.
pub struct BudgetSimulation<B: SharedBudgets = Budgets> {
    /// What becomes of datagrams.
    pub net: Net,
    factory: Factory<B>,
    proxies: Vec<Proxy<B>>,
    agenda: EventQueue<Event>,
    rng: ChaCha8Rng,
    wants: Vec<u32>,
    /// The most that all together could use of each budget at any moment so far.
    pub max_sums: Vec<u32>,
    /// Proxies whose sums are taken apart from the others'.
    groups: Vec<Vec<usize>>,
    /// Changes a message before it is sent: a process that lies.
    tamper: Option<Tamper>,
    /// Of each group, the most that its proxies together could use of each budget so far.
    pub max_group_sums: Vec<Vec<u32>>,
}

impl BudgetSimulation<Budgets> {
    /// None is started yet. Clocks are up to a minute apart and run up to 1% fast or slow.
    pub fn new(seed: u64, settings: Settings, weather: NetworkConditions) -> Self {
        let (proxies, wholes) = (settings.proxies, settings.totals.clone());
        let factory = Box::new(move |place, now, entropy| {
            let settings = Settings { index: place, ..settings.clone() };
            Budgets::new(now, settings, entropy).unwrap_or_else(|error| panic!("{error}"))
        });
        Self::with_factory(seed, proxies, wholes, weather, factory)
    }
}

/// What all proxies of a tree have in common.
#[derive(Clone)]
pub struct TreeSettings {
    /// Sites and regions.
    pub topology: Arc<Topology>,
    /// The budgets.
    pub budgets: Vec<SharedBudget>,
    /// Lease time of a site.
    pub lease: Micros,
}

impl BudgetSimulation<ControlTree> {
    /// A fleet with sites and regions; sums are taken of each region too. None is started yet.
    pub fn tree(seed: u64, settings: TreeSettings, weather: NetworkConditions) -> Self {
        let topology = settings.topology.clone();
        let wholes = settings.budgets.iter().map(|budget| budget.total_units).collect();
        let factory = Box::new(move |place, now, entropy| {
            let TreeSettings { topology, budgets, lease } = settings.clone();
            let settings = threadward_control::Settings { proxy_index: place, topology, budgets, lease };
            ControlTree::new(now, settings, entropy).unwrap_or_else(|error| panic!("{error}"))
        });
        let mut simulation = Self::with_factory(seed, topology.proxies() as u16, wholes, weather, factory);
        let region = |region: u16| {
            let places = topology.proxies_of_seat(Level::Fleet, 0, region);
            places.iter().map(|place| usize::from(*place)).collect()
        };
        simulation.groups = (0..topology.regions() as u16).map(region).collect();
        simulation.max_group_sums = vec![vec![0; simulation.max_sums.len()]; simulation.groups.len()];
        simulation
    }

    /// The places that lead their group of a level now.
    pub fn leaders(&self, level: Level) -> Vec<usize> {
        let leads = |i: &usize| {
            let instance = self.proxies[*i].instance.as_ref();
            instance.is_some_and(|tree| tree.leads(self.clock(*i), level))
        };
        (0..self.proxies.len()).filter(leads).collect()
    }
}

impl<B: SharedBudgets> BudgetSimulation<B> {
    fn with_factory(
        seed: u64,
        proxies: u16,
        wholes: Vec<u32>,
        weather: NetworkConditions,
        factory: Factory<B>,
    ) -> Self {
        let mut rng = stream(seed, 0x6275);
        let proxy = |_| Proxy {
            instance: None,
            ahead: (unit(&mut rng) * 60.0 * S as f64) as Micros,
            rate: 0.99 + 0.02 * unit(&mut rng),
            paused: 0,
            start: 0,
            armed: Micros::MAX,
            sent: 0,
        };
        let proxies = (0..proxies).map(proxy).collect();
        let most = vec![0; wholes.len()];
        let net = Net::new(seed, weather);
        let (groups, max_group_sums) = (Vec::new(), Vec::new());
        let agenda = EventQueue::new(S);
        BudgetSimulation {
            net,
            factory,
            proxies,
            agenda,
            rng,
            wants: wholes,
            max_sums: most,
            groups,
            tamper: None,
            max_group_sums,
        }
    }

    /// The true time.
    pub fn now(&self) -> Micros {
        self.agenda.now
    }

    fn clock(&self, i: usize) -> Micros {
        let p = &self.proxies[i];
        p.ahead + (self.agenda.now as f64 * p.rate) as Micros
    }

    /// Starts a process of this place; one that runs there is killed before.
    pub fn start(&mut self, i: usize) {
        self.kill(i);
        let mut entropy = [0; 32];
        self.rng.fill_bytes(&mut entropy);
        let mut b = (self.factory)(i as u16, self.clock(i), entropy);
        self.wants.iter().enumerate().for_each(|(budget, n)| b.set_demand(budget, *n));
        let p = &mut self.proxies[i];
        (p.instance, p.start, p.armed, p.paused) = (Some(b), p.start + 1, Micros::MAX, 0);
        self.call(i, |b, now, out| b.tick(now, out));
    }

    /// The process ends without a word.
    pub fn kill(&mut self, i: usize) {
        if let Some(b) = self.proxies[i].instance.take() {
            self.proxies[i].sent += b.counters().sent_bytes;
        }
    }

    /// The process leaves, and lives on for what it has still to answer.
    pub fn announce_leave(&mut self, i: usize) {
        self.call(i, |b, _, out| b.leave(out));
    }

    /// The process ends by will.
    pub fn leave(&mut self, i: usize) {
        self.announce_leave(i);
        self.kill(i);
    }

    /// Nothing happens in the process for so long; its clock goes on.
    pub fn pause(&mut self, i: usize, span: Micros) {
        self.proxies[i].paused = self.agenda.now + span;
    }

    /// What one proxy wants of a budget from here on.
    pub fn set_proxy_demand(&mut self, i: usize, budget: usize, units: u32) {
        if let Some(b) = &mut self.proxies[i].instance {
            b.set_demand(budget, units);
        }
    }

    /// What one proxy may use of a budget now; 0 where none runs.
    pub fn share(&mut self, i: usize, budget: usize) -> u32 {
        let now = self.clock(i);
        self.proxies[i].instance.as_mut().map_or(0, |b| b.share(now, budget))
    }

    /// What all together may use of a budget now.
    pub fn sum(&mut self, budget: usize) -> u32 {
        (0..self.proxies.len()).map(|i| self.share(i, budget)).sum()
    }

    /// The place that divides the budgets now.
    pub fn coordinators(&self) -> Vec<usize> {
        let grants =
            |i: &usize| self.proxies[*i].instance.as_ref().is_some_and(|b| b.leads_fleet(self.clock(*i)));
        (0..self.proxies.len()).filter(grants).collect()
    }

    /// Bytes that all have sent so far.
    pub fn bytes(&self) -> u64 {
        let own = |p: &Proxy<B>| p.sent + p.instance.as_ref().map_or(0, |b| b.counters().sent_bytes);
        self.proxies.iter().map(own).sum()
    }

    /// Calls an instance at its own time, and carries out what it wants.
    fn call(&mut self, i: usize, f: impl FnOnce(&mut B, Micros, &mut Outbox)) {
        let (now, mut out) = (self.clock(i), Outbox::new());
        let Some(b) = &mut self.proxies[i].instance else { return };
        f(b, now, &mut out);
        let due = b.next_due();
        for (to, mut bytes) in out {
            self.tamper.iter_mut().for_each(|change| change(i, to, &mut bytes));
            for at in self.net.transmit(self.agenda.now, i, usize::from(to), bytes.len()) {
                self.agenda.schedule(at, Event::Datagram(usize::from(to), bytes.clone()));
            }
        }
        let p = &mut self.proxies[i];
        if due == Micros::MAX {
            return;
        }
        // From the own clock to true time, rounded up.
        let at = ((due.saturating_sub(p.ahead)) as f64 / p.rate) as Micros + 2;
        if at < p.armed || p.armed <= self.agenda.now {
            p.armed = at.max(self.agenda.now + 1);
            let (at, start) = (p.armed, p.start);
            self.agenda.schedule(at, Event::Tick(i, start, at));
        }
    }

    /// Goes on for so long; after every event the sum is taken.
    pub fn run(&mut self, span: Micros) {
        let until = self.agenda.now + span;
        while let Some(event) = self.agenda.pop(until) {
            let i = match &event {
                Event::Tick(i, ..) | Event::Datagram(i, _) => *i,
            };
            if self.proxies[i].paused > self.agenda.now {
                let at = self.proxies[i].paused;
                self.agenda.schedule(at, event);
                continue;
            }
            match event {
                Event::Tick(_, start, due)
                    if start == self.proxies[i].start && due == self.proxies[i].armed =>
                {
                    self.proxies[i].armed = Micros::MAX;
                    self.call(i, |b, now, out| b.tick(now, out));
                }
                Event::Tick(..) => continue,
                Event::Datagram(_, bytes) => self.call(i, |b, now, out| b.receive(now, &bytes, out)),
            }
            self.look();
        }
    }

    /// What the proxies of a group together may use of a budget now.
    pub fn group_share(&mut self, group: usize, budget: usize) -> u32 {
        let places = std::mem::take(&mut self.groups[group]);
        let sum = places.iter().map(|i| self.share(*i, budget)).sum();
        self.groups[group] = places;
        sum
    }

    fn look(&mut self) {
        for budget in 0..self.max_sums.len() {
            self.max_sums[budget] = self.max_sums[budget].max(self.sum(budget));
            for group in 0..self.groups.len() {
                let sum = self.group_share(group, budget);
                let most = &mut self.max_group_sums[group][budget];
                *most = sum.max(*most);
            }
        }
    }

    /// What was counted in the present instance of a place.
    pub fn counters(&self, i: usize) -> Counters {
        self.proxies[i].instance.as_ref().map_or(Counters::default(), SharedBudgets::counters)
    }

    /// From here on every message passes through this before it is sent.
    pub fn tamper(&mut self, change: Tamper) {
        self.tamper = Some(change);
    }
}
