//! Hollow proxies: the control code with synthetic demand and synthetic observations, without a data path.
use super::report::{Part, Role};
use nickelgate::Micros;
use std::cell::Cell;
use std::rc::Rc;
use threadward_budgets::Budgets;
use threadward_control::{ControlTree, Level};
use threadward_zones::{wire, Author, ElectionView, ZoneObservation, ZoneUse, Zones};

/// Interval at which a proxy observes its zones.
const OBSERVE_INTERVAL: Micros = 100_000;

/// Messages to send: the recipient's index and the bytes.
pub type Outbox = Vec<(u16, Vec<u8>)>;

/// The control code of one process. It has one or two parts, which share the process's socket.
pub trait Control {
    /// The parts, which are measured separately.
    const PARTS: &'static [Part];

    /// Does what is due in a part.
    fn tick(&mut self, part: usize, now: Micros, outbox: &mut Outbox);
    /// Returns when a part next has something to do.
    fn next_due(&self, part: usize) -> Micros;
    /// Returns the index of the part that a message belongs to.
    fn part_of(bytes: &[u8]) -> usize;
    /// Handles a received message.
    fn receive(&mut self, part: usize, now: Micros, from: u16, bytes: &[u8], outbox: &mut Outbox);
    /// Returns the units of a budget that the process may use now.
    fn share(&mut self, now: Micros, budget: usize) -> u32;
    /// Returns the present role of the process.
    fn role(&self, now: Micros) -> Role;
}

/// A proxy of the tree, in which sites, regions and the fleet have leaders.
pub struct TreeProxy {
    tree: ControlTree,
}

impl TreeProxy {
    /// Creates a proxy with the demand that is set already.
    pub fn new(tree: ControlTree) -> TreeProxy {
        TreeProxy { tree }
    }
}

impl Control for TreeProxy {
    const PARTS: &'static [Part] = &[Part::Budgets];

    fn tick(&mut self, _: usize, now: Micros, outbox: &mut Outbox) {
        self.tree.tick(now, outbox);
    }
    fn next_due(&self, _: usize) -> Micros {
        self.tree.next_due()
    }
    fn part_of(_: &[u8]) -> usize {
        0
    }
    fn receive(&mut self, _: usize, now: Micros, _: u16, bytes: &[u8], outbox: &mut Outbox) {
        self.tree.receive(now, bytes, outbox);
    }
    fn share(&mut self, now: Micros, budget: usize) -> u32 {
        self.tree.share(now, budget)
    }
    fn role(&self, now: Micros) -> Role {
        let leads = |level| self.tree.leads(now, level);
        if leads(Level::Fleet) {
            Role::Leader
        } else if leads(Level::Region) {
            Role::RegionLeader
        } else if leads(Level::Site) {
            Role::SiteLeader
        } else {
            Role::Proxy
        }
    }
}

/// A proxy of the star that leaves and takes back zones together with the others. The coordinator of the
/// budgets decides on zones, and all proxies see the same zones fail.
pub struct ZonedProxy {
    star: StarProxy,
    index: u16,
    zones: Zones,
    evidence: Evidence,
    next_observation: Micros,
}

/// The synthetic observations of a hollow proxy's attempts.
#[derive(Clone, Debug)]
pub struct Evidence {
    /// The zone of the proxy.
    pub own_zone: u16,
    /// The first parent zone. All proxies use the zones from this one to the last.
    pub first_parent: u16,
    /// Number of zones.
    pub zones: u16,
    /// The zone at which every attempt fails at the moment, if any; shared by all proxies.
    pub failing: Rc<Cell<Option<u16>>>,
}

impl Evidence {
    /// Returns the observations of all zones that the proxy uses.
    fn observations(&self, zones: &Zones) -> Vec<ZoneObservation> {
        let used = std::iter::once(self.own_zone).chain(self.first_parent..self.zones);
        let observe = |zone| {
            let attempts = if zones.usage(zone) == ZoneUse::Unused { 0 } else { 40 };
            let failing = self.failing.get() == Some(zone);
            let (failed, bad_members) = if failing { (attempts, 20) } else { (0, 0) };
            ZoneObservation { zone, attempts, failed, members: 20, bad_members, load: attempts, mean_use: 60 }
        };
        used.map(observe).collect()
    }
}

impl ZonedProxy {
    /// Creates a proxy that observes its zones every 100 ms, as `node/src/zones.rs` does.
    pub fn new(index: u16, star: StarProxy, zones: Zones, evidence: Evidence, now: Micros) -> ZonedProxy {
        ZonedProxy { star, index, zones, evidence, next_observation: now }
    }

    /// Returns the state of the budgets' election, which the zones use as well.
    fn election(&self, now: Micros) -> ElectionView {
        let budgets = &self.star.budgets;
        let decides = budgets.is_coordinator(now);
        let decider = if decides { self.index } else { budgets.coordinator() };
        ElectionView { is_decider: decides, promised_to: budgets.promised_to(now), decider }
    }
}

impl Control for ZonedProxy {
    const PARTS: &'static [Part] = &[Part::Budgets, Part::Zones];

    fn tick(&mut self, part: usize, now: Micros, outbox: &mut Outbox) {
        if part == 0 {
            return self.star.tick(part, now, outbox);
        }
        if now >= self.next_observation {
            self.next_observation = now + OBSERVE_INTERVAL;
            let observations = self.evidence.observations(&self.zones);
            self.zones.observe(now, observations);
        }
        let election = self.election(now);
        self.zones.tick(now, election, outbox);
    }
    fn next_due(&self, part: usize) -> Micros {
        match part {
            0 => self.star.next_due(part),
            _ => self.zones.next_due().min(self.next_observation),
        }
    }
    fn part_of(bytes: &[u8]) -> usize {
        usize::from(wire::is_zones_message(bytes))
    }
    fn receive(&mut self, part: usize, now: Micros, from: u16, bytes: &[u8], outbox: &mut Outbox) {
        if part == 0 {
            return self.star.receive(part, now, from, bytes, outbox);
        }
        let election = self.election(now);
        self.zones.receive(now, from, bytes, election, outbox);
    }
    fn share(&mut self, now: Micros, budget: usize) -> u32 {
        self.star.share(now, budget)
    }
    fn role(&self, now: Micros) -> Role {
        self.star.role(now)
    }
}

/// A proxy of the star, in which one of the voters divides the budgets for all.
pub struct StarProxy {
    budgets: Budgets,
    is_voter: bool,
}

impl StarProxy {
    /// Creates a proxy with the demand that is set already.
    pub fn new(budgets: Budgets, is_voter: bool) -> StarProxy {
        StarProxy { budgets, is_voter }
    }

    /// Returns the index and incarnation that identify the process in the election.
    pub fn author(&self) -> Author {
        self.budgets.identity()
    }
}

impl Control for StarProxy {
    const PARTS: &'static [Part] = &[Part::Budgets];

    fn tick(&mut self, _: usize, now: Micros, outbox: &mut Outbox) {
        self.budgets.tick(now, outbox);
    }
    fn next_due(&self, _: usize) -> Micros {
        self.budgets.next_due()
    }
    fn part_of(_: &[u8]) -> usize {
        0
    }
    fn receive(&mut self, _: usize, now: Micros, _: u16, bytes: &[u8], outbox: &mut Outbox) {
        self.budgets.receive(now, bytes, outbox);
    }
    fn share(&mut self, now: Micros, budget: usize) -> u32 {
        self.budgets.share(now, budget)
    }
    fn role(&self, now: Micros) -> Role {
        match (self.budgets.is_coordinator(now), self.is_voter) {
            (true, _) => Role::Leader,
            (_, true) => Role::Voter,
            _ => Role::Proxy,
        }
    }
}
