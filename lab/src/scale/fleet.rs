//! A fleet of hollow proxies in virtual time: each with a clock of its own that runs fast or slow, on a network that
//! loses, delays and doubles datagrams; processes that die and start, and groups that are cut off.
//!
//! The sums of all shares are compared with the wholes every 100 ms of virtual time: a step after each event would grow
//! with the fleet and hide what is measured.
use super::hollow::{Control, Out};
use super::meter::{Count, Meter, Reading};
use super::report::Role;
use crate::event_queue::EventQueue;
use crate::net::{Net, NetworkConditions};
use crate::{stream, unit};
use nickelgate::Micros;
use rand_chacha::ChaCha8Rng;
use rand_core::RngCore;
use std::time::Instant;

/// A millisecond.
pub const MILLISECOND: Micros = 1_000;
/// A second.
pub const SECOND: Micros = 1_000_000;
/// How often the sum of all shares is taken, and roles are looked at.
const CHECK_EVERY: Micros = 100 * MILLISECOND;
/// How often a change is looked for at every proxy while one is awaited.
const WATCH_EVERY: Micros = 20 * MILLISECOND;
/// Ordinary proxies whose calls are timed.
const TIMED: usize = 32;
/// Events between two looks at the real clock.
const PATIENCE: u32 = 4_096;
/// A proxy has its part from so much of an even part on. Below lie floors; above, a unit or two that goes round.
const ENOUGH: f64 = 0.75;
/// Parts of one process at most.
const PARTS: usize = 2;

/// Makes the process of a place: the time on its own clock, and random bytes.
pub type Build<C> = Box<dyn Fn(u16, Micros, [u8; 32]) -> C>;

enum Event {
    Tick { to: u16, part: u8, start: u32 },
    Datagram { from: u16, to: u16, bytes: Vec<u8> },
}

struct Node<C> {
    instance: Option<C>,
    ahead: Micros,
    rate: f64,
    start: u32,
    armed: [Micros; PARTS],
    counts: [Count; PARTS],
    timed: bool,
    /// Processes of different sides hear nothing of each other.
    side: u8,
    shortage: Shortage,
}

/// What became of a process's part since a watch began.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Shortage {
    /// It always had its part.
    None,
    /// It has less than its part, since the event.
    Lasts,
    /// It had its part again at this time.
    Ended(Micros),
}

/// A budget whose sum is checked: its whole, and the group of each place; every group has the whole for itself.
#[derive(Clone, Debug)]
pub struct CheckedBudget {
    /// Units of each group.
    pub whole: u32,
    /// The group of each place.
    pub group_of: Vec<u16>,
}

impl CheckedBudget {
    fn groups(&self) -> usize {
        self.group_of.iter().max().map_or(0, |group| usize::from(*group) + 1)
    }
}

/// How long after a loss a proxy's part may run out because of it; later it is the network that lost its messages.
const STRUCK_WITHIN: Micros = 3 * SECOND;

/// What every process had done by some time.
pub struct Snapshot {
    at: Micros,
    counts: Vec<[Count; PARTS]>,
    timed: Vec<bool>,
}

impl Snapshot {
    /// When it was taken.
    pub fn at(&self) -> Micros {
        self.at
    }
}

/// A fleet of processes of one layout.
pub struct Fleet<C> {
    queue: EventQueue<Event>,
    net: Net,
    rng: ChaCha8Rng,
    nodes: Vec<Node<C>>,
    build: Build<C>,
    meter: Meter,
    budgets: Vec<CheckedBudget>,
    deadline: Instant,
    next_check: Micros,
    /// Since when it is looked who has less than an even part.
    watched: Option<Micros>,
    /// The most by which the sum of all shares exceeded the whole.
    pub overshoot: u64,
    /// The real clock's limit was reached: nothing happens any more.
    pub out_of_time: bool,
    /// Checks at which more than one divided for the whole fleet.
    pub two_leaders: u32,
}

impl<C: Control> Fleet<C> {
    /// None is started yet. Clocks are up to a minute apart and run up to 1% fast or slow.
    pub fn new(
        seed: u64,
        size: u16,
        budgets: Vec<CheckedBudget>,
        build: Build<C>,
        meter: Meter,
        deadline: Instant,
    ) -> Fleet<C> {
        let mut rng = stream(seed, 0x7363_616c);
        let node = |_| Node {
            instance: None,
            ahead: (unit(&mut rng) * 60.0 * SECOND as f64) as Micros,
            rate: 0.99 + 0.02 * unit(&mut rng),
            start: 0,
            armed: [Micros::MAX; PARTS],
            counts: [Count::default(); PARTS],
            timed: false,
            side: 0,
            shortage: Shortage::None,
        };
        let nodes = (0..size).map(node).collect();
        Fleet {
            queue: EventQueue::new(SECOND),
            net: Net::new(seed, NetworkConditions::default()),
            rng,
            nodes,
            build,
            meter,
            budgets,
            deadline,
            next_check: SECOND,
            watched: None,
            overshoot: 0,
            out_of_time: false,
            two_leaders: 0,
        }
    }

    /// The virtual time.
    pub fn now(&self) -> Micros {
        self.queue.now
    }

    /// Processes in the settings.
    pub fn size(&self) -> usize {
        self.nodes.len()
    }

    /// Processes that live.
    pub fn living(&self) -> usize {
        self.nodes.iter().filter(|n| n.instance.is_some()).count()
    }

    fn clock(&self, place: usize) -> Micros {
        let node = &self.nodes[place];
        node.ahead + (self.queue.now as f64 * node.rate) as Micros
    }

    /// Starts the process of a place; one that runs there is killed before.
    pub fn start(&mut self, place: usize) {
        let mut entropy = [0; 32];
        self.rng.fill_bytes(&mut entropy);
        let (clock, before) = (self.clock(place), self.meter.allocated());
        let instance = (self.build)(place as u16, clock, entropy);
        let node = &mut self.nodes[place];
        node.counts.iter_mut().for_each(|c| c.memory = 0);
        node.counts[0].memory = self.meter.allocated() - before + size_of::<C>() as i64;
        (node.instance, node.start) = (Some(instance), node.start + 1);
        node.armed = [Micros::MAX; PARTS];
        for part in 0..C::PARTS.len() {
            self.call(place, part, |c, clock, out| c.tick(part, clock, out));
        }
    }

    /// The process ends without a word.
    pub fn kill(&mut self, place: usize) {
        self.nodes[place].instance = None;
    }

    /// Cuts these off from all others, but not from each other.
    pub fn cut(&mut self, places: &[usize]) {
        places.iter().for_each(|p| self.nodes[*p].side = 1);
    }

    /// All hear each other again.
    pub fn heal(&mut self) {
        self.nodes.iter_mut().for_each(|n| n.side = 0);
    }

    /// The role of a process; none for a dead one.
    pub fn role(&self, place: usize) -> Option<Role> {
        let clock = self.clock(place);
        self.nodes[place].instance.as_ref().map(|c| c.role(clock))
    }

    /// The first place of a role.
    pub fn place_of(&self, role: Role) -> Option<usize> {
        (0..self.size()).find(|p| self.role(*p) == Some(role))
    }

    /// What a process may use of a budget now.
    pub fn share(&mut self, place: usize, budget: usize) -> u32 {
        let clock = self.clock(place);
        self.nodes[place].instance.as_mut().map_or(0, |c| c.share(clock, budget))
    }

    /// What these may use of the first budget together.
    pub fn sum(&mut self, places: &[usize]) -> u64 {
        places.iter().map(|place| u64::from(self.share(*place, 0))).sum()
    }

    fn call(&mut self, place: usize, part: usize, f: impl FnOnce(&mut C, Micros, &mut Out)) {
        let (clock, now, meter) = (self.clock(place), self.queue.now, self.meter);
        let mut out = Out::new();
        let node = &mut self.nodes[place];
        let Some(instance) = &mut node.instance else { return };
        let count = &mut node.counts[part];
        let before = meter.allocated();
        meter.time(count, node.timed, || f(instance, clock, &mut out));
        if meter.counts_memory() {
            let entry = size_of::<(u16, Vec<u8>)>();
            let lent = out.capacity() * entry + out.iter().map(|(_, bytes)| bytes.capacity()).sum::<usize>();
            count.memory += meter.allocated() - before - lent as i64;
        }
        count.messages_out += out.len() as u64;
        count.bytes_out +=
            out.iter().map(|(_, bytes)| bytes.len() as u64 + super::meter::CODE_BYTES).sum::<u64>();
        for part in 0..C::PARTS.len() {
            let due = instance.next_due(part);
            if due == Micros::MAX {
                continue;
            }
            // From the own clock to true time, rounded up.
            let at = ((due.saturating_sub(node.ahead)) as f64 / node.rate) as Micros + 2;
            if at < node.armed[part] || node.armed[part] <= now {
                node.armed[part] = at.max(now + 1);
                let tick = Event::Tick { to: place as u16, part: part as u8, start: node.start };
                self.queue.schedule(node.armed[part], tick);
            }
        }
        let side = node.side;
        for (to, bytes) in out {
            if self.nodes[usize::from(to)].side != side {
                continue;
            }
            for at in self.net.transmit(now, place, usize::from(to), bytes.len()) {
                self.queue.schedule(at, Event::Datagram { from: place as u16, to, bytes: bytes.clone() });
            }
        }
    }

    /// Goes on for so long; false where the real clock's limit came first.
    pub fn run(&mut self, span: Micros) -> bool {
        let until = self.queue.now + span;
        let mut patience = PATIENCE;
        while !self.out_of_time {
            let stop = until.min(self.next_check);
            while let Some(event) = self.queue.pop(stop) {
                self.handle(event);
                patience -= 1;
                if patience == 0 {
                    patience = PATIENCE;
                    if Instant::now() > self.deadline {
                        self.out_of_time = true;
                        return false;
                    }
                }
            }
            if self.queue.now >= self.next_check {
                self.check();
            }
            if self.queue.now >= until {
                return true;
            }
        }
        false
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick { to, part, start } => {
                let (to, part) = (usize::from(to), usize::from(part));
                let now = self.queue.now;
                let node = &mut self.nodes[to];
                // One that was put off or brought forward meanwhile is passed over.
                if node.start != start || node.armed[part] != now {
                    return;
                }
                node.armed[part] = Micros::MAX;
                self.call(to, part, |c, clock, out| c.tick(part, clock, out));
            }
            Event::Datagram { from, to, bytes } => {
                let (to, part) = (usize::from(to), C::part_of(&bytes));
                if self.nodes[to].instance.is_none()
                    || self.nodes[to].side != self.nodes[usize::from(from)].side
                {
                    return;
                }
                let count = &mut self.nodes[to].counts[part];
                count.messages_in += 1;
                count.bytes_in += bytes.len() as u64 + super::meter::CODE_BYTES;
                self.call(to, part, |c, clock, out| c.receive(part, clock, from, &bytes, out));
            }
        }
    }

    /// Compares the sums of all shares with the wholes, counts who divides, and looks who has less than an even part.
    fn check(&mut self) {
        let every = if self.watched.is_some() { WATCH_EVERY } else { CHECK_EVERY };
        self.next_check = self.queue.now + every;
        for budget in 0..self.budgets.len() {
            self.check_sums(budget);
        }
        let leaders = (0..self.size()).filter(|place| self.role(*place) == Some(Role::Leader)).count();
        self.two_leaders += u32::from(leaders > 1);
        if let Some(since) = self.watched {
            self.look_for_shortages(since);
        }
    }

    fn check_sums(&mut self, budget: usize) {
        let whole = u64::from(self.budgets[budget].whole);
        let mut sums = vec![0u64; self.budgets[budget].groups()];
        for place in 0..self.size() {
            let group = usize::from(self.budgets[budget].group_of[place]);
            sums[group] += u64::from(self.share(place, budget));
        }
        let over = sums.into_iter().map(|sum| sum.saturating_sub(whole)).max().unwrap_or(0);
        self.overshoot = self.overshoot.max(over);
    }

    fn look_for_shortages(&mut self, since: Micros) {
        let now = self.queue.now;
        let enough = self.enough();
        for place in 0..self.size() {
            let short = f64::from(self.share(place, 0)) < enough;
            let shortage = &mut self.nodes[place].shortage;
            *shortage = match *shortage {
                Shortage::None if short && now < since + STRUCK_WITHIN => Shortage::Lasts,
                Shortage::Lasts if !short => Shortage::Ended(now),
                unchanged => unchanged,
            };
        }
    }

    /// How many living processes have less than an even part now.
    pub fn short(&mut self) -> usize {
        let enough = self.enough();
        let living: Vec<usize> =
            (0..self.size()).filter(|place| self.nodes[*place].instance.is_some()).collect();
        living.into_iter().filter(|place| f64::from(self.share(*place, 0)) < enough).count()
    }

    /// An even part of the first budget's whole.
    pub fn even_part(&self) -> f64 {
        f64::from(self.budgets[0].whole) / self.size() as f64
    }

    fn enough(&self) -> f64 {
        self.even_part() * ENOUGH
    }

    /// Whether all that were struck since the watch began have their part again.
    pub fn all_have_theirs(&self) -> bool {
        let lacks = |node: &Node<C>| node.instance.is_some() && node.shortage == Shortage::Lasts;
        !self.nodes.iter().any(lacks)
    }

    /// From now on it is looked who has less than an even part of the whole.
    pub fn watch(&mut self) {
        (self.watched, self.next_check) = (Some(self.queue.now), self.queue.now);
        self.nodes.iter_mut().for_each(|node| node.shortage = Shortage::None);
    }

    /// Seconds from the begin of the watch until each living process had its part again, by length; 0 for those that
    /// always had it, infinite for those that have yet to get it. The watch is over.
    pub fn watched(&mut self) -> Vec<f64> {
        let since = self.watched.take().unwrap_or(self.queue.now);
        let span = |node: &Node<C>| match node.shortage {
            Shortage::None => 0.0,
            Shortage::Lasts => f64::INFINITY,
            Shortage::Ended(at) => (at - since) as f64 / SECOND as f64,
        };
        let living = self.nodes.iter().filter(|node| node.instance.is_some());
        let mut all: Vec<f64> = living.map(span).collect();
        all.sort_unstable_by(f64::total_cmp);
        all
    }

    /// From now on the calls of all that lead or vote are timed, and those of some ordinary ones.
    pub fn time_roles(&mut self) {
        let step = (self.size() / TIMED).max(1);
        for place in 0..self.size() {
            let leads = self.role(place).is_some_and(|role| role != Role::Proxy);
            self.nodes[place].timed |= leads || place % step == 0;
        }
    }

    /// What all had done by now.
    pub fn snapshot(&mut self) -> Snapshot {
        self.time_roles();
        let counts = self.nodes.iter().map(|n| n.counts).collect();
        Snapshot { at: self.queue.now, counts, timed: self.nodes.iter().map(|n| n.timed).collect() }
    }

    /// What each living process did in a part since then.
    pub fn readings(&self, since: &Snapshot, part: usize) -> Vec<Reading> {
        let reading = |(place, node): (usize, &Node<C>)| {
            let role = self.role(place)?;
            let count = node.counts[part].since(&since.counts[place][part]);
            Some(Reading { role, count, timed: since.timed[place] })
        };
        self.nodes.iter().enumerate().filter_map(reading).collect()
    }
}
