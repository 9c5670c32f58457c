//! One proxy's membership in the groups of its site, its region and the fleet.
use crate::frame::{Frame, MAX_HOPS};
use crate::member::Member;
use crate::settings::{Scope, Settings, SettingsError};
use crate::shared::{Counters, SharedBudgets};
use crate::topology::Level;
use nickelgate::Micros;
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};
use threadward_budgets::{wire, Outbox};

/// The destination of an answer: the process that sent the request, and the seat that it represents.
#[derive(Clone, Copy, Debug)]
struct ReplyTo {
    seat: u16,
    proxy_index: u16,
}

/// One proxy's membership in the tree: it is a member of its site's group and, while it leads a group, of the
/// group above. It does nothing by itself: the caller passes in the time and the messages, and sends the
/// messages that it gets back.
///
/// ```
/// use std::sync::Arc;
/// use threadward_control::{
///     ControlTree, Level, Location, Scope, Settings, SharedBudget, SharedBudgets, Topology,
/// };
///
/// // The only proxy of a fleet elects itself at each level and sends nothing.
/// let settings = Settings {
///     proxy_index: 0,
///     topology: Arc::new(Topology::new(&[Location { region: "north", site: "ams" }])?),
///     budgets: vec![SharedBudget { total_units: 100, scope: Scope::Fleet }],
///     lease: 1_000_000,
/// };
/// let mut tree = ControlTree::new(0, settings, [7; 32])?;
/// tree.set_demand(0, 100);
/// let mut out = Vec::new();
/// while tree.next_due() < 30_000_000 {
///     tree.tick(tree.next_due(), &mut out);
/// }
/// assert!(tree.leads(30_000_000, Level::Fleet) && out.is_empty());
/// assert_eq!(tree.share(30_000_000, 0), 100);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub struct ControlTree {
    settings: Settings,
    rng: ChaCha8Rng,
    /// The latest time that was passed in. It never goes back.
    now: Micros,
    site: Member,
    /// The membership in the region's group, while this process leads its site.
    region: Option<Member>,
    /// The membership in the fleet's group, while this process leads its region and any budget is shared by
    /// the fleet.
    fleet: Option<Member>,
    /// Whether this process left the division on purpose. It then leads no group any more.
    left: bool,
    /// Counts that are not in the counters of the current instances.
    counters: Counters,
}

impl ControlTree {
    /// Creates the membership. `entropy` has to differ with every start.
    ///
    /// # Errors
    /// Returns what is wrong with the settings.
    pub fn new(now: Micros, settings: Settings, entropy: [u8; 32]) -> Result<ControlTree, SettingsError> {
        settings.check()?;
        let mut rng = ChaCha8Rng::from_seed(entropy);
        let site = Member::new(now, &settings, Level::Site, 0, draw_entropy(&mut rng))?;
        Ok(ControlTree {
            settings,
            rng,
            now,
            site,
            region: None,
            fleet: None,
            left: false,
            counters: Counters::default(),
        })
    }

    /// Returns how many units of a budget this proxy may use now: its floor, plus its lease while that lasts.
    /// Has to be called at every use: a process that was suspended learns here that its lease has expired.
    /// Returns 0 for a budget that is not in the settings.
    pub fn share(&mut self, now: Micros, budget: usize) -> u32 {
        self.site.instance.share(now, budget)
    }

    /// Sets how many units of a budget this proxy would use.
    pub fn set_demand(&mut self, budget: usize, units: u32) {
        self.site.instance.set_demand(budget, units);
    }

    /// Returns whether this proxy holds a lease now.
    pub fn has_lease(&self, now: Micros) -> bool {
        self.site.instance.has_lease(now)
    }

    /// Returns whether this process leads its group at a level now.
    pub fn leads(&self, now: Micros, level: Level) -> bool {
        let now = self.now.max(now);
        let site = self.leading_term(now);
        let region = self.region.as_ref().filter(|region| site == Some(region.term));
        let region_term = region.and_then(|region| region.leading_term(now));
        match level {
            Level::Site => site.is_some(),
            Level::Region => region_term.is_some(),
            Level::Fleet => {
                let fleet = self.fleet.as_ref().filter(|fleet| region_term == Some(fleet.term));
                fleet.is_some_and(|fleet| fleet.leading_term(now).is_some())
            }
        }
    }

    /// Returns when [`ControlTree::tick`] has something to do next.
    pub fn next_due(&self) -> Micros {
        let upper = [&self.region, &self.fleet].into_iter().flatten();
        let upper = upper.map(|member| member.instance.next_due());
        upper.fold(self.site.instance.next_due(), Micros::min)
    }

    /// Does what is due by now and appends the frames to send to `out`.
    pub fn tick(&mut self, now: Micros, out: &mut Outbox) {
        self.synchronize(now);
        for level in [Level::Fleet, Level::Region, Level::Site] {
            let (now, mut messages) = (self.now, Outbox::new());
            if let Some(member) = self.member_mut(level) {
                member.instance.tick(now, &mut messages);
            }
            self.send(level, messages, None, out);
            self.synchronize(now);
        }
    }

    /// Handles a frame from a proxy of the file. The caller has authenticated the sender. A frame that cannot
    /// be decoded is counted and changes nothing.
    pub fn receive(&mut self, now: Micros, message: &[u8], out: &mut Outbox) {
        self.synchronize(now);
        let Some(frame) = Frame::decode(message).filter(|frame| self.is_valid(frame)) else {
            self.counters.malformed += 1;
            return;
        };
        let topology = &self.settings.topology;
        let own_group = topology.group_of(self.settings.proxy_index, frame.level);
        let own_seat = topology.seat_of(self.settings.proxy_index, frame.level);
        if (own_group, own_seat) != (frame.group, frame.seat) {
            self.counters.dropped += 1;
        } else if self.member_mut(frame.level).is_some() {
            self.deliver(&frame, out);
            self.synchronize(now);
        } else {
            self.forward(frame, out);
        }
    }

    /// Leaves the division on purpose: this process uses and leads nothing from now on. The groups above are
    /// not told, because the leases that were granted further down expire by themselves: the leaders above
    /// count this process's leases until they end.
    pub fn leave(&mut self, out: &mut Outbox) {
        self.left = true;
        let mut messages = Outbox::new();
        self.site.instance.leave(&mut messages);
        self.send(Level::Site, messages, None, out);
        self.synchronize(self.now);
    }

    /// Returns the counts since the start.
    pub fn counters(&self) -> Counters {
        let mut counters = self.counters;
        count(&mut counters, &self.site);
        [&self.region, &self.fleet].into_iter().flatten().for_each(|member| count(&mut counters, member));
        counters
    }

    /// Returns the current term in which this process leads its site, or `None` if it does not or has left.
    fn leading_term(&self, now: Micros) -> Option<u64> {
        self.site.leading_term(now).filter(|_| !self.left)
    }

    fn member_mut(&mut self, level: Level) -> Option<&mut Member> {
        match level {
            Level::Site => Some(&mut self.site),
            Level::Region => self.region.as_mut(),
            Level::Fleet => self.fleet.as_mut(),
        }
    }

    /// Brings all levels up to date. It is called before an instance acts, so that nothing is done on an
    /// expired leadership or lease, and after it, so that the result reaches the other levels.
    fn synchronize(&mut self, now: Micros) {
        self.now = self.now.max(now);
        self.update_memberships();
        self.pass_leases_down();
        self.pass_demand_up();
    }

    /// Begins and drops the memberships in the upper groups. Each lasts exactly as long as the term of
    /// leadership in the group below: it is dropped when that ends, and one that begins has an incarnation of
    /// its own and does not vote at first, as after a restart.
    fn update_memberships(&mut self) {
        let site_term = self.leading_term(self.now);
        if self.region.as_ref().map(|region| region.term) != site_term {
            self.drop_upper(Level::Fleet);
            self.drop_upper(Level::Region);
            self.site.supply_own_pools();
            self.region = site_term.and_then(|term| self.begin(Level::Region, term));
        }
        let region_term = self.region.as_ref().and_then(|region| region.leading_term(self.now));
        if self.fleet.as_ref().map(|fleet| fleet.term) == region_term {
            return;
        }
        self.drop_upper(Level::Fleet);
        self.region.iter_mut().for_each(Member::supply_own_pools);
        if self.settings.budgets.iter().any(|budget| budget.scope == Scope::Fleet) {
            self.fleet = region_term.and_then(|term| self.begin(Level::Fleet, term));
        }
    }

    /// Creates a membership in an upper group.
    fn begin(&mut self, level: Level, term: u64) -> Option<Member> {
        let entropy = draw_entropy(&mut self.rng);
        // This cannot fail: the settings were checked at the start, and the instance of the site's group
        // accepted them.
        Member::new(self.now, &self.settings, level, term, entropy).ok()
    }

    /// Drops the membership in an upper group and keeps its counts.
    fn drop_upper(&mut self, level: Level) {
        let dropped = match level {
            Level::Site => None,
            Level::Region => self.region.take(),
            Level::Fleet => self.fleet.take(),
        };
        dropped.iter().for_each(|member| count(&mut self.counters, member));
    }

    /// Passes the leases down: the units that are held from the group above become available in the group
    /// below, from the top down.
    fn pass_leases_down(&mut self) {
        if let (Some(region), Some(fleet)) = (&mut self.region, &mut self.fleet) {
            region.supply_with_lease(self.now, &mut fleet.instance);
        }
        if let Some(region) = &mut self.region {
            self.site.supply_with_lease(self.now, &mut region.instance);
        }
    }

    /// Passes the demand up: the demand of the group below is requested from the group above, from the bottom
    /// up.
    fn pass_demand_up(&mut self) {
        for (budget, shared) in self.settings.budgets.iter().enumerate() {
            let clamped = |demand: u64| u32::try_from(demand).unwrap_or(u32::MAX).min(shared.total_units);
            let Some(region) = &mut self.region else { return };
            region.instance.set_demand(budget, clamped(self.site.instance.total_demand(budget)));
            if let Some(fleet) = self.fleet.as_mut().filter(|_| shared.scope == Scope::Fleet) {
                fleet.instance.set_demand(budget, clamped(region.instance.total_demand(budget)));
            }
        }
    }

    /// Returns whether the seat that a frame is addressed to exists and its origin belongs to the seat that
    /// is the author of its message.
    fn is_valid(&self, frame: &Frame) -> bool {
        let topology = &self.settings.topology;
        usize::from(frame.origin) < topology.proxies()
            && frame.seat < topology.members(frame.level, frame.group)
            && topology.group_of(frame.origin, frame.level) == frame.group
            && wire::author_index(frame.message) == Some(topology.seat_of(frame.origin, frame.level))
    }

    /// Passes the message of a frame to the instance that it is addressed to, and sends the answers.
    fn deliver(&mut self, frame: &Frame, out: &mut Outbox) {
        let (now, mut messages) = (self.now, Outbox::new());
        let seat = self.settings.topology.seat_of(frame.origin, frame.level);
        if let Some(member) = self.member_mut(frame.level) {
            member.speakers.record(now, seat, frame.origin, member.lease);
            member.instance.receive(now, frame.message, &mut messages);
        }
        self.send(frame.level, messages, Some(ReplyTo { seat, proxy_index: frame.origin }), out);
    }

    /// Forwards a frame to the leader that this process knows of, or counts it as dropped.
    fn forward(&mut self, frame: Frame, out: &mut Outbox) {
        let next = self.next_hop(frame.level).filter(|proxy_index| *proxy_index != self.settings.proxy_index);

        match next.filter(|proxy_index| *proxy_index != frame.origin && frame.hops < MAX_HOPS) {
            Some(proxy_index) => {
                self.counters.forwarded += 1;
                self.emit(proxy_index, &Frame { hops: frame.hops + 1, ..frame }, out);
            }
            None => self.counters.dropped += 1,
        }
    }

    /// Returns the process that is more likely to know who represents this proxy's seat at a level.
    fn next_hop(&mut self, level: Level) -> Option<u16> {
        let region_leader = self.region.as_ref().map(|region| region.instance.coordinator());
        match region_leader.filter(|_| level == Level::Fleet) {
            Some(seat) => self.speaker(Level::Region, seat),
            None => self.speaker(Level::Site, self.site.instance.coordinator()),
        }
    }

    /// Returns the process that represents a seat of this proxy's group at a level, or, if that is unknown, a
    /// random one that belongs to the seat.
    fn speaker(&mut self, level: Level, seat: u16) -> Option<u16> {
        let now = self.now;
        let member = self.member_mut(level)?;
        let (group, known) = (member.group, member.speakers.process_of(now, seat));
        if level != Level::Site && known.is_some() {
            return known;
        }
        let topology = self.settings.topology.clone();
        let behind = topology.proxies_of_seat(level, group, seat);
        match behind {
            [] => None,
            [only] => Some(*only),
            many => many.get((self.rng.next_u64() % many.len() as u64) as usize).copied(),
        }
    }

    /// Sends messages of a group to the processes that represent the addressed seats. `reply` names the
    /// process whose request is being handled: an answer to its seat goes to that process.
    fn send(&mut self, level: Level, messages: Outbox, reply: Option<ReplyTo>, out: &mut Outbox) {
        let group = self.settings.topology.group_of(self.settings.proxy_index, level);

        for (seat, message) in messages {
            let requester =
                reply.filter(|requester| requester.seat == seat).map(|requester| requester.proxy_index);
            let Some(proxy_index) = requester.or_else(|| self.speaker(level, seat)) else { continue };
            let origin = self.settings.proxy_index;
            self.emit(proxy_index, &Frame { level, group, seat, hops: 0, origin, message: &message }, out);
        }
    }

    /// Encodes a frame, counts its bytes and appends it to `out`.
    fn emit(&mut self, proxy_index: u16, frame: &Frame, out: &mut Outbox) {
        let bytes = frame.encode();
        self.counters.sent_bytes += bytes.len() as u64;
        out.push((proxy_index, bytes));
    }
}

impl SharedBudgets for ControlTree {
    fn share(&mut self, now: Micros, budget: usize) -> u32 {
        ControlTree::share(self, now, budget)
    }
    fn set_demand(&mut self, budget: usize, units: u32) {
        ControlTree::set_demand(self, budget, units);
    }
    fn has_lease(&self, now: Micros) -> bool {
        ControlTree::has_lease(self, now)
    }
    fn leads_fleet(&self, now: Micros) -> bool {
        self.leads(now, Level::Fleet)
    }
    fn next_due(&self) -> Micros {
        ControlTree::next_due(self)
    }
    fn tick(&mut self, now: Micros, out: &mut Outbox) {
        ControlTree::tick(self, now, out);
    }
    fn receive(&mut self, now: Micros, message: &[u8], out: &mut Outbox) {
        ControlTree::receive(self, now, message, out);
    }
    fn leave(&mut self, out: &mut Outbox) {
        ControlTree::leave(self, out);
    }
    fn counters(&self) -> Counters {
        ControlTree::counters(self)
    }
}

fn draw_entropy(rng: &mut ChaCha8Rng) -> [u8; 32] {
    let mut entropy = [0; 32];
    rng.fill_bytes(&mut entropy);
    entropy
}

/// Adds the counts of one member to the counters.
fn count(counters: &mut Counters, member: &Member) {
    let tally = member.instance.counters;
    counters.malformed += tally.malformed;
    match member.level {
        Level::Site => {
            counters.lapsed += tally.leases_expired;
            counters.elected.site += tally.times_elected;
        }
        Level::Region => counters.elected.region += tally.times_elected,
        Level::Fleet => counters.elected.fleet += tally.times_elected,
    }
}
