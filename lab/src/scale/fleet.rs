//! Simulates a fleet of hollow proxies in virtual time. Each proxy has its own clock, which runs fast or
//! slow. The network loses, delays and duplicates datagrams. Processes can be killed and started, and groups
//! cut off.
//!
//! The sums of all shares are compared with the totals every 100 ms of virtual time and not after each event:
//! the cost of checking after each event would grow with the fleet and distort what is measured.
use super::hollow::{Control, Outbox};
use super::meter::{Count, Meter, Reading};
use super::report::Role;
use crate::event_queue::EventQueue;
use crate::net::{Net, NetworkConditions};
use crate::{stream, unit};
use nickelgate::Micros;
use rand_chacha::ChaCha8Rng;
use rand_core::RngCore;
use std::time::Instant;

/// One millisecond, in microseconds.
pub const MILLISECOND: Micros = 1_000;
/// One second, in microseconds.
pub const SECOND: Micros = 1_000_000;
/// Interval at which the shares are summed and the roles are checked.
const CHECK_INTERVAL: Micros = 100 * MILLISECOND;
/// The same interval while a watch measures how long proxies are short of their part.
const WATCH_CHECK_INTERVAL: Micros = 20 * MILLISECOND;
/// Number of ordinary proxies whose calls are timed, approximately.
const TIMED_PROXIES: usize = 32;
/// Number of events between two readings of the real clock.
const EVENTS_PER_CLOCK_CHECK: u32 = 4_096;
/// Fraction of an even share from which on a proxy counts as having its share. Floors lie below it. The rest
/// leaves room for the unit or two that passes from one proxy to the next.
const SUFFICIENT_SHARE: f64 = 0.75;
/// Maximum number of separately measured parts of one process.
const MAX_PARTS: usize = 2;

/// Makes the process of a proxy from its index, the time on its own clock, and random bytes.
pub type Build<C> = Box<dyn Fn(u16, Micros, [u8; 32]) -> C>;

enum Event {
    Tick { to: u16, part: u8, start: u32 },
    Datagram { from: u16, to: u16, bytes: Vec<u8> },
}

struct Node<C> {
    instance: Option<C>,
    /// Offset of its clock from virtual time.
    clock_offset: Micros,
    /// Rate of its clock against virtual time.
    clock_rate: f64,
    /// Number of starts; a tick of an earlier start is ignored.
    starts: u32,
    /// Virtual time of the next tick of each part.
    armed: [Micros; MAX_PARTS],
    counts: [Count; MAX_PARTS],
    timed: bool,
    /// Partition of the network: processes of different partitions cannot reach each other.
    partition: u8,
    shortage: Shortage,
}

/// Whether a process was short of its part of the budget since a watch began.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Shortage {
    /// It always had its part.
    None,
    /// It has had less than its part since the event.
    Ongoing,
    /// It was short, and had its part again at this time.
    Ended(Micros),
}

/// A budget whose sum of shares is checked. Each group of proxies has the whole budget for itself.
#[derive(Clone, Debug)]
pub struct CheckedBudget {
    /// Total units of each group.
    pub total: u32,
    /// The group of each proxy, by index.
    pub group_of: Vec<u16>,
}

impl CheckedBudget {
    /// Returns the number of groups.
    fn groups(&self) -> usize {
        self.group_of.iter().max().map_or(0, |group| usize::from(*group) + 1)
    }
}

/// Time after the begin of a watch within which a shortage counts as a consequence of the event. A later one
/// comes from messages that the network lost.
const AFFECTED_WITHIN: Micros = 3 * SECOND;

/// The counts of all processes at a time.
pub struct Snapshot {
    taken_at: Micros,
    counts: Vec<[Count; MAX_PARTS]>,
    timed: Vec<bool>,
}

impl Snapshot {
    /// Returns the virtual time at which the snapshot was taken.
    pub fn taken_at(&self) -> Micros {
        self.taken_at
    }
}

/// A simulated fleet of processes of one layout.
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
    /// When the current watch for proxies that are short of their part began.
    watched_since: Option<Micros>,
    /// Largest number of units by which the sum of all shares exceeded the total of a budget.
    pub overshoot: u64,
    /// Whether the real-time limit was reached. The simulation stops then.
    pub out_of_time: bool,
    /// Number of checks that found more than one coordinator of the whole fleet.
    pub checks_with_two_leaders: u32,
}

impl<C: Control> Fleet<C> {
    /// Creates a fleet of which no process is started yet. The clocks are up to a minute apart and run up to
    /// 1% fast or slow. `deadline` limits the real time of the simulation.
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
            clock_offset: (unit(&mut rng) * 60.0 * SECOND as f64) as Micros,
            clock_rate: 0.99 + 0.02 * unit(&mut rng),
            starts: 0,
            armed: [Micros::MAX; MAX_PARTS],
            counts: [Count::default(); MAX_PARTS],
            timed: false,
            partition: 0,
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
            watched_since: None,
            overshoot: 0,
            out_of_time: false,
            checks_with_two_leaders: 0,
        }
    }

    /// Returns the virtual time.
    pub fn now(&self) -> Micros {
        self.queue.now
    }

    /// Returns the number of processes in the settings.
    pub fn size(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the number of running processes.
    pub fn running(&self) -> usize {
        self.nodes.iter().filter(|n| n.instance.is_some()).count()
    }

    /// Returns the time on a process's own clock.
    fn clock(&self, place: usize) -> Micros {
        let node = &self.nodes[place];
        node.clock_offset + (self.queue.now as f64 * node.clock_rate) as Micros
    }

    /// Starts the process with this index, in place of one that is running.
    pub fn start(&mut self, place: usize) {
        let mut entropy = [0; 32];
        self.rng.fill_bytes(&mut entropy);
        let (clock, before) = (self.clock(place), self.meter.allocated());
        let instance = (self.build)(place as u16, clock, entropy);
        let node = &mut self.nodes[place];
        node.counts.iter_mut().for_each(|c| c.memory = 0);
        node.counts[0].memory = self.meter.allocated() - before + size_of::<C>() as i64;
        (node.instance, node.starts) = (Some(instance), node.starts + 1);
        node.armed = [Micros::MAX; MAX_PARTS];
        for part in 0..C::PARTS.len() {
            self.call(place, part, |c, clock, out| c.tick(part, clock, out));
        }
    }

    /// Ends a process without notice to the others.
    pub fn kill(&mut self, place: usize) {
        self.nodes[place].instance = None;
    }

    /// Cuts these processes off from all others, but not from each other.
    pub fn cut(&mut self, places: &[usize]) {
        places.iter().for_each(|p| self.nodes[*p].partition = 1);
    }

    /// Ends the cut: all processes reach each other again.
    pub fn heal(&mut self) {
        self.nodes.iter_mut().for_each(|n| n.partition = 0);
    }

    /// Returns the role of a process, or `None` if it is not running.
    pub fn role(&self, place: usize) -> Option<Role> {
        let clock = self.clock(place);
        self.nodes[place].instance.as_ref().map(|c| c.role(clock))
    }

    /// Returns the lowest index of a process with this role.
    pub fn first_with_role(&self, role: Role) -> Option<usize> {
        (0..self.size()).find(|p| self.role(*p) == Some(role))
    }

    /// Returns the units of a budget that a process may use now.
    pub fn share(&mut self, place: usize, budget: usize) -> u32 {
        let clock = self.clock(place);
        self.nodes[place].instance.as_mut().map_or(0, |c| c.share(clock, budget))
    }

    /// Returns the units of the first budget that these processes may use together.
    pub fn total_share(&mut self, places: &[usize]) -> u64 {
        places.iter().map(|place| u64::from(self.share(*place, 0))).sum()
    }

    /// Calls a part of a process, counts what the call did, arms the ticks of all parts and sends the
    /// messages.
    fn call(&mut self, place: usize, part: usize, f: impl FnOnce(&mut C, Micros, &mut Outbox)) {
        let (clock, now, meter) = (self.clock(place), self.queue.now, self.meter);
        let mut out = Outbox::new();
        let node = &mut self.nodes[place];
        let Some(instance) = &mut node.instance else { return };
        let count = &mut node.counts[part];
        let allocated_before = meter.allocated();
        meter.time(count, node.timed, || f(instance, clock, &mut out));
        if meter.counts_memory() {
            let entry = size_of::<(u16, Vec<u8>)>();
            // The memory of the messages is not part of the process's state.
            let outbox_bytes =
                out.capacity() * entry + out.iter().map(|(_, bytes)| bytes.capacity()).sum::<usize>();
            count.memory += meter.allocated() - allocated_before - outbox_bytes as i64;
        }
        count.messages_out += out.len() as u64;
        count.bytes_out +=
            out.iter().map(|(_, bytes)| bytes.len() as u64 + super::meter::CODE_BYTES).sum::<u64>();
        for part in 0..C::PARTS.len() {
            let due = instance.next_due(part);
            if due == Micros::MAX {
                continue;
            }
            // Converts the time on the process's clock to virtual time, rounded up.
            let at = ((due.saturating_sub(node.clock_offset)) as f64 / node.clock_rate) as Micros + 2;
            if at < node.armed[part] || node.armed[part] <= now {
                node.armed[part] = at.max(now + 1);
                let tick = Event::Tick { to: place as u16, part: part as u8, start: node.starts };
                self.queue.schedule(node.armed[part], tick);
            }
        }
        let partition = node.partition;
        for (to, bytes) in out {
            if self.nodes[usize::from(to)].partition != partition {
                continue;
            }
            for at in self.net.transmit(now, place, usize::from(to), bytes.len()) {
                self.queue.schedule(at, Event::Datagram { from: place as u16, to, bytes: bytes.clone() });
            }
        }
    }

    /// Advances the simulation by `span` of virtual time. Returns false if the real-time limit was reached
    /// first.
    pub fn run(&mut self, span: Micros) -> bool {
        let until = self.queue.now + span;
        let mut events_left = EVENTS_PER_CLOCK_CHECK;
        while !self.out_of_time {
            let stop = until.min(self.next_check);
            while let Some(event) = self.queue.pop(stop) {
                self.handle(event);
                events_left -= 1;
                if events_left == 0 {
                    events_left = EVENTS_PER_CLOCK_CHECK;
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

    /// Handles one event. Messages between partitions and to processes that are not running are lost.
    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick { to, part, start } => {
                let (to, part) = (usize::from(to), usize::from(part));
                let now = self.queue.now;
                let node = &mut self.nodes[to];
                // A tick of an earlier start, or one that was rescheduled, is ignored.
                if node.starts != start || node.armed[part] != now {
                    return;
                }
                node.armed[part] = Micros::MAX;
                self.call(to, part, |c, clock, out| c.tick(part, clock, out));
            }
            Event::Datagram { from, to, bytes } => {
                let (to, part) = (usize::from(to), C::part_of(&bytes));
                if self.nodes[to].instance.is_none()
                    || self.nodes[to].partition != self.nodes[usize::from(from)].partition
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

    /// Compares the sums of all shares with the totals, counts the coordinators, and updates the shortages of
    /// a watch.
    fn check(&mut self) {
        let interval = if self.watched_since.is_some() { WATCH_CHECK_INTERVAL } else { CHECK_INTERVAL };
        self.next_check = self.queue.now + interval;
        for budget in 0..self.budgets.len() {
            self.check_sums(budget);
        }
        let leaders = (0..self.size()).filter(|place| self.role(*place) == Some(Role::Leader)).count();
        self.checks_with_two_leaders += u32::from(leaders > 1);
        if let Some(since) = self.watched_since {
            self.update_shortages(since);
        }
    }

    /// Updates the overshoot with the sums of all shares of one budget.
    fn check_sums(&mut self, budget: usize) {
        let total = u64::from(self.budgets[budget].total);
        let mut sums = vec![0u64; self.budgets[budget].groups()];
        for place in 0..self.size() {
            let group = usize::from(self.budgets[budget].group_of[place]);
            sums[group] += u64::from(self.share(place, budget));
        }
        let over = sums.into_iter().map(|sum| sum.saturating_sub(total)).max().unwrap_or(0);
        self.overshoot = self.overshoot.max(over);
    }

    /// Updates which processes are short of their part of the first budget, in a watch that began at `since`.
    fn update_shortages(&mut self, since: Micros) {
        let now = self.queue.now;
        let sufficient = self.sufficient_units();
        for place in 0..self.size() {
            let short = f64::from(self.share(place, 0)) < sufficient;
            let shortage = &mut self.nodes[place].shortage;
            *shortage = match *shortage {
                Shortage::None if short && now < since + AFFECTED_WITHIN => Shortage::Ongoing,
                Shortage::Ongoing if !short => Shortage::Ended(now),
                unchanged => unchanged,
            };
        }
    }

    /// Returns how many running processes are short of their part of the first budget now.
    pub fn count_short(&mut self) -> usize {
        let sufficient = self.sufficient_units();
        let running: Vec<usize> =
            (0..self.size()).filter(|place| self.nodes[*place].instance.is_some()).collect();
        running.into_iter().filter(|place| f64::from(self.share(*place, 0)) < sufficient).count()
    }

    /// Returns an even share of the first budget's total, in units.
    pub fn even_share(&self) -> f64 {
        f64::from(self.budgets[0].total) / self.size() as f64
    }

    /// Returns the units from which on a proxy counts as having its part.
    fn sufficient_units(&self) -> f64 {
        self.even_share() * SUFFICIENT_SHARE
    }

    /// Returns whether every running process that became short since the watch began has its part again.
    pub fn all_recovered(&self) -> bool {
        let is_short = |node: &Node<C>| node.instance.is_some() && node.shortage == Shortage::Ongoing;
        !self.nodes.iter().any(is_short)
    }

    /// Begins a watch that records how long each process is short of its part of the first budget.
    pub fn begin_watch(&mut self) {
        (self.watched_since, self.next_check) = (Some(self.queue.now), self.queue.now);
        self.nodes.iter_mut().for_each(|node| node.shortage = Shortage::None);
    }

    /// Ends the watch. Returns the seconds from its begin until each running process had its part again, in
    /// rising order: 0 for those that always had it, infinity for those that are still short.
    pub fn end_watch(&mut self) -> Vec<f64> {
        let since = self.watched_since.take().unwrap_or(self.queue.now);
        let span = |node: &Node<C>| match node.shortage {
            Shortage::None => 0.0,
            Shortage::Ongoing => f64::INFINITY,
            Shortage::Ended(at) => (at - since) as f64 / SECOND as f64,
        };
        let running = self.nodes.iter().filter(|node| node.instance.is_some());
        let mut all: Vec<f64> = running.map(span).collect();
        all.sort_unstable_by(f64::total_cmp);
        all
    }

    /// Starts timing the calls of all processes that lead or vote, and of some ordinary ones.
    pub fn time_roles(&mut self) {
        let step = (self.size() / TIMED_PROXIES).max(1);
        for place in 0..self.size() {
            let leads = self.role(place).is_some_and(|role| role != Role::Proxy);
            self.nodes[place].timed |= leads || place % step == 0;
        }
    }

    /// Returns the counts of all processes, and starts timing as [`Fleet::time_roles`] does.
    pub fn snapshot(&mut self) -> Snapshot {
        self.time_roles();
        let counts = self.nodes.iter().map(|n| n.counts).collect();
        Snapshot { taken_at: self.queue.now, counts, timed: self.nodes.iter().map(|n| n.timed).collect() }
    }

    /// Returns what each running process did in a part since a snapshot.
    pub fn readings(&self, since: &Snapshot, part: usize) -> Vec<Reading> {
        let reading = |(place, node): (usize, &Node<C>)| {
            let role = self.role(place)?;
            let count = node.counts[part].since(&since.counts[place][part]);
            Some(Reading { role, count, timed: since.timed[place] })
        };
        self.nodes.iter().enumerate().filter_map(reading).collect()
    }
}
