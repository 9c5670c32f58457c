//! One hollow proxy: the control code with synthetic demand and evidence, and no data path.
use super::report::{Part, Role};
use nickelgate::Micros;
use std::cell::Cell;
use std::rc::Rc;
use threadward_budgets::Budgets;
use threadward_control::{ControlTree, Level};
use threadward_zones::{wire, Author, ElectionView, ZoneObservation, ZoneUse, Zones};

/// How often a proxy looks at what its traffic showed.
const LOOK: Micros = 100_000;

/// Messages to send: to which place, and the bytes.
pub type Out = Vec<(u16, Vec<u8>)>;

/// The control code of one process, in one or two parts that share the process's socket.
pub trait Control {
    /// Its parts, which are measured apart.
    const PARTS: &'static [Part];

    /// Carries out what is due in a part.
    fn tick(&mut self, part: usize, now: Micros, out: &mut Out);
    /// When a part has something to do next.
    fn next_due(&self, part: usize) -> Micros;
    /// Which part a message belongs to.
    fn part_of(bytes: &[u8]) -> usize;
    /// Takes a message.
    fn receive(&mut self, part: usize, now: Micros, from: u16, bytes: &[u8], out: &mut Out);
    /// What it may use of a budget now, in units.
    fn share(&mut self, now: Micros, budget: usize) -> u32;
    /// What it does for others now.
    fn role(&self, now: Micros) -> Role;
}

/// A proxy of the tree: leaders of sites, regions and the fleet.
pub struct TreeProxy {
    tree: ControlTree,
}

impl TreeProxy {
    /// It wants what it was told to want before.
    pub fn new(tree: ControlTree) -> TreeProxy {
        TreeProxy { tree }
    }
}

impl Control for TreeProxy {
    const PARTS: &'static [Part] = &[Part::Budgets];

    fn tick(&mut self, _: usize, now: Micros, out: &mut Out) {
        self.tree.tick(now, out);
    }
    fn next_due(&self, _: usize) -> Micros {
        self.tree.next_due()
    }
    fn part_of(_: &[u8]) -> usize {
        0
    }
    fn receive(&mut self, _: usize, now: Micros, _: u16, bytes: &[u8], out: &mut Out) {
        self.tree.receive(now, bytes, out);
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

/// A proxy of the star that leaves and takes back zones with the others, by the budgets' election. All see
/// the same zones fail.
pub struct ZonedProxy {
    star: StarProxy,
    place: u16,
    zones: Zones,
    evidence: Evidence,
    next_look: Micros,
}

/// What a hollow proxy's attempts show.
#[derive(Clone, Debug)]
pub struct Evidence {
    /// The zone in which it stands.
    pub stands: u16,
    /// The zones that all use: from here to the last.
    pub hubs: u16,
    /// Zones in all.
    pub zones: u16,
    /// The zone at which every attempt fails, the same for all; it comes and goes.
    pub failing: Rc<Cell<Option<u16>>>,
}

impl Evidence {
    fn seen(&self, zones: &Zones) -> Vec<ZoneObservation> {
        let used = std::iter::once(self.stands).chain(self.hubs..self.zones);
        let seen = |zone| {
            let tried = if zones.usage(zone) == ZoneUse::Unused { 0 } else { 40 };
            let failing = self.failing.get() == Some(zone);
            let (failed, bad) = if failing { (tried, 20) } else { (0, 0) };
            ZoneObservation {
                zone,
                attempts: tried,
                failed,
                members: 20,
                bad_members: bad,
                load: tried,
                mean_use: 60,
            }
        };
        used.map(seen).collect()
    }
}

impl ZonedProxy {
    /// It looks at its evidence every 100 ms, as `node/src/zones.rs` does.
    pub fn new(place: u16, star: StarProxy, zones: Zones, evidence: Evidence, now: Micros) -> ZonedProxy {
        ZonedProxy { star, place, zones, evidence, next_look: now }
    }

    /// What the budgets' election says.
    fn seat(&self, now: Micros) -> ElectionView {
        let budgets = &self.star.budgets;
        let decides = budgets.is_coordinator(now);
        let decider = if decides { self.place } else { budgets.coordinator() };
        ElectionView { is_decider: decides, promised_to: budgets.promised_to(now), decider }
    }
}

impl Control for ZonedProxy {
    const PARTS: &'static [Part] = &[Part::Budgets, Part::Zones];

    fn tick(&mut self, part: usize, now: Micros, out: &mut Out) {
        if part == 0 {
            return self.star.tick(part, now, out);
        }
        if now >= self.next_look {
            self.next_look = now + LOOK;
            let seen = self.evidence.seen(&self.zones);
            self.zones.observe(now, seen);
        }
        let seat = self.seat(now);
        self.zones.tick(now, seat, out);
    }
    fn next_due(&self, part: usize) -> Micros {
        match part {
            0 => self.star.next_due(part),
            _ => self.zones.next_due().min(self.next_look),
        }
    }
    fn part_of(bytes: &[u8]) -> usize {
        usize::from(wire::is_zones_message(bytes))
    }
    fn receive(&mut self, part: usize, now: Micros, from: u16, bytes: &[u8], out: &mut Out) {
        if part == 0 {
            return self.star.receive(part, now, from, bytes, out);
        }
        let seat = self.seat(now);
        self.zones.receive(now, from, bytes, seat, out);
    }
    fn share(&mut self, now: Micros, budget: usize) -> u32 {
        self.star.share(now, budget)
    }
    fn role(&self, now: Micros) -> Role {
        self.star.role(now)
    }
}

/// A proxy of the star: one of the voters divides for all.
pub struct StarProxy {
    budgets: Budgets,
    votes: bool,
}

impl StarProxy {
    /// It wants what it was told to want before.
    pub fn new(budgets: Budgets, votes: bool) -> StarProxy {
        StarProxy { budgets, votes }
    }

    /// Its place and life, by which the election knows it.
    pub fn author(&self) -> Author {
        self.budgets.identity()
    }
}

impl Control for StarProxy {
    const PARTS: &'static [Part] = &[Part::Budgets];

    fn tick(&mut self, _: usize, now: Micros, out: &mut Out) {
        self.budgets.tick(now, out);
    }
    fn next_due(&self, _: usize) -> Micros {
        self.budgets.next_due()
    }
    fn part_of(_: &[u8]) -> usize {
        0
    }
    fn receive(&mut self, _: usize, now: Micros, _: u16, bytes: &[u8], out: &mut Out) {
        self.budgets.receive(now, bytes, out);
    }
    fn share(&mut self, now: Micros, budget: usize) -> u32 {
        self.budgets.share(now, budget)
    }
    fn role(&self, now: Micros) -> Role {
        match (self.budgets.is_coordinator(now), self.votes) {
            (true, _) => Role::Leader,
            (_, true) => Role::Voter,
            _ => Role::Proxy,
        }
    }
}
