//! One proxy's part in the groups of its site, its region and the fleet.
use crate::frame::{Frame, MAX_HOPS};
use crate::member::Member;
use crate::settings::{Scope, Settings, SettingsError};
use crate::shared::{Counters, SharedBudgets};
use crate::topology::Level;
use nickelgate::Micros;
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};
use threadward_budgets::{wire, Outbox};

/// Where an answer goes: the process that asked, for its seat.
#[derive(Clone, Copy, Debug)]
struct ReplyTo {
    seat: u16,
    place: u16,
}

/// One proxy's part in the tree: a member of its site's group and, while it leads one, of the group above. It does
/// nothing by itself: the caller brings the time and messages, and sends what it is given.
///
/// ```
/// use std::sync::Arc;
/// use threadward_control::{
///     ControlTree, Level, Location, Scope, Settings, SharedBudget, SharedBudgets, Topology,
/// };
///
/// // A fleet of one elects itself at each level and sends nothing.
/// let settings = Settings {
///     proxy_index: 0,
///     topology: Arc::new(Topology::new(&[Location { region: "north", site: "ams" }])?),
///     budgets: vec![SharedBudget { total_units: 100, scope: Scope::Fleet }],
///     lease: 1_000_000,
/// };
/// let mut tree = ControlTree::new(0, settings, [7; 32])?;
/// tree.want(0, 100);
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
    /// The clock only goes forward.
    now: Micros,
    site: Member,
    /// While this process leads its site.
    region: Option<Member>,
    /// While it leads its region, where a budget is the fleet's.
    fleet: Option<Member>,
    /// It ended by will and leads nothing any more.
    left: bool,
    /// What is not counted by the present instances.
    counters: Counters,
}

impl ControlTree {
    /// `entropy` has to differ with every start.
    ///
    /// # Errors
    /// What is wrong with the settings.
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

    /// What this proxy may use of a budget now, in units: its floor, and its lease while that lasts. Ask at every use: a
    /// process that was stopped finds its lease over here. A budget that is not in the settings has 0.
    pub fn share(&mut self, now: Micros, budget: usize) -> u32 {
        self.site.instance.share(now, budget)
    }

    /// What this proxy would use of a budget, in units.
    pub fn want(&mut self, budget: usize, units: u32) {
        self.site.instance.set_demand(budget, units);
    }

    /// Whether a lease lasts now.
    pub fn leased(&self, now: Micros) -> bool {
        self.site.instance.has_lease(now)
    }

    /// Whether this process leads its group of that level now.
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

    /// When [`ControlTree::tick`] has something to do next.
    pub fn next_due(&self) -> Micros {
        let upper = [&self.region, &self.fleet].into_iter().flatten();
        let upper = upper.map(|member| member.instance.next_due());
        upper.fold(self.site.instance.next_due(), Micros::min)
    }

    /// Carries out what is due by now.
    pub fn tick(&mut self, now: Micros, out: &mut Outbox) {
        self.settle(now);
        for level in [Level::Fleet, Level::Region, Level::Site] {
            let (now, mut messages) = (self.now, Outbox::new());
            if let Some(member) = self.member_mut(level) {
                member.instance.tick(now, &mut messages);
            }
            self.send(level, messages, None, out);
            self.settle(now);
        }
    }

    /// A frame came in from a proxy of the file; who that is has been checked. One that cannot be read is counted and
    /// changes nothing.
    pub fn receive(&mut self, now: Micros, message: &[u8], out: &mut Outbox) {
        self.settle(now);
        let Some(frame) = Frame::decode(message).filter(|frame| self.is_sound(frame)) else {
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
            self.settle(now);
        } else {
            self.forward(frame, out);
        }
    }

    /// Ends by will: nothing is used or led from here on. What was handed on runs out by itself, so the groups above are
    /// told nothing: their leaders count this process's leases until they are over.
    pub fn leave(&mut self, out: &mut Outbox) {
        self.left = true;
        let mut messages = Outbox::new();
        self.site.instance.leave(&mut messages);
        self.send(Level::Site, messages, None, out);
        self.settle(self.now);
    }

    /// What was counted since the start.
    pub fn counters(&self) -> Counters {
        let mut counters = self.counters;
        count(&mut counters, &self.site);
        [&self.region, &self.fleet].into_iter().flatten().for_each(|member| count(&mut counters, member));
        counters
    }

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

    /// Brings all levels in step: before an instance acts, so that nothing is done on a leadership or lease that is
    /// over, and after, so that its result reaches the others.
    fn settle(&mut self, now: Micros) {
        self.now = self.now.max(now);
        self.follow_leadership();
        self.flow_down();
        self.flow_up();
    }

    /// A member of an upper group lives exactly as long as the term of leadership below: it is dropped when that ends, and
    /// one that begins has a life of its own and abstains from voting at first, as after a restart.
    fn follow_leadership(&mut self) {
        let site_term = self.leading_term(self.now);
        if self.region.as_ref().map(|region| region.term) != site_term {
            self.drop_upper(Level::Fleet);
            self.drop_upper(Level::Region);
            self.site.draw_own();
            self.region = site_term.and_then(|term| self.begin(Level::Region, term));
        }
        let region_term = self.region.as_ref().and_then(|region| region.leading_term(self.now));
        if self.fleet.as_ref().map(|fleet| fleet.term) == region_term {
            return;
        }
        self.drop_upper(Level::Fleet);
        self.region.iter_mut().for_each(Member::draw_own);
        if self.settings.budgets.iter().any(|budget| budget.scope == Scope::Fleet) {
            self.fleet = region_term.and_then(|term| self.begin(Level::Fleet, term));
        }
    }

    fn begin(&mut self, level: Level, term: u64) -> Option<Member> {
        let entropy = draw_entropy(&mut self.rng);
        // The settings were checked at the start, and those of the site's group stood it.
        Member::new(self.now, &self.settings, level, term, entropy).ok()
    }

    fn drop_upper(&mut self, level: Level) {
        let dropped = match level {
            Level::Site => None,
            Level::Region => self.region.take(),
            Level::Fleet => self.fleet.take(),
        };
        dropped.iter().for_each(|member| count(&mut self.counters, member));
    }

    /// What is held from above becomes what is divided below, from the top down.
    fn flow_down(&mut self) {
        if let (Some(region), Some(fleet)) = (&mut self.region, &mut self.fleet) {
            region.draw_supply(self.now, &mut fleet.instance);
        }
        if let Some(region) = &mut self.region {
            self.site.draw_supply(self.now, &mut region.instance);
        }
    }

    /// What is wanted below is asked for above, from the bottom up.
    fn flow_up(&mut self) {
        for (budget, shared) in self.settings.budgets.iter().enumerate() {
            let bounded = |wanted: u64| u32::try_from(wanted).unwrap_or(u32::MAX).min(shared.total_units);
            let Some(region) = &mut self.region else { return };
            region.instance.set_demand(budget, bounded(self.site.instance.total_demand(budget)));
            if let Some(fleet) = self.fleet.as_mut().filter(|_| shared.scope == Scope::Fleet) {
                fleet.instance.set_demand(budget, bounded(region.instance.total_demand(budget)));
            }
        }
    }

    /// Whether the seat that a frame is for exists, and its origin stands behind the seat that its message speaks for.
    fn is_sound(&self, frame: &Frame) -> bool {
        let topology = &self.settings.topology;
        usize::from(frame.origin) < topology.proxies()
            && frame.seat < topology.members(frame.level, frame.group)
            && topology.group_of(frame.origin, frame.level) == frame.group
            && wire::author_index(frame.message) == Some(topology.seat_of(frame.origin, frame.level))
    }

    fn deliver(&mut self, frame: &Frame, out: &mut Outbox) {
        let (now, mut messages) = (self.now, Outbox::new());
        let seat = self.settings.topology.seat_of(frame.origin, frame.level);
        if let Some(member) = self.member_mut(frame.level) {
            member.speakers.heard(now, seat, frame.origin, member.lease);
            member.instance.receive(now, frame.message, &mut messages);
        }
        self.send(frame.level, messages, Some(ReplyTo { seat, place: frame.origin }), out);
    }

    /// Passes a frame on to the leader that this process knows of.
    fn forward(&mut self, frame: Frame, out: &mut Outbox) {
        let next = self.next_hop(frame.level).filter(|place| *place != self.settings.proxy_index);

        match next.filter(|place| *place != frame.origin && frame.hops < MAX_HOPS) {
            Some(place) => {
                self.counters.forwarded += 1;
                self.emit(place, &Frame { hops: frame.hops + 1, ..frame }, out);
            }
            None => self.counters.dropped += 1,
        }
    }

    /// The process that knows more of who speaks for the own seat at a level.
    fn next_hop(&mut self, level: Level) -> Option<u16> {
        let region_leader = self.region.as_ref().map(|region| region.instance.coordinator());
        match region_leader.filter(|_| level == Level::Fleet) {
            Some(seat) => self.speaker(Level::Region, seat),
            None => self.speaker(Level::Site, self.site.instance.coordinator()),
        }
    }

    /// The process that speaks for a seat of the own group at a level, or one that stands behind that seat.
    fn speaker(&mut self, level: Level, seat: u16) -> Option<u16> {
        let now = self.now;
        let member = self.member_mut(level)?;
        let (group, known) = (member.group, member.speakers.place_of(now, seat));
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

    fn send(&mut self, level: Level, messages: Outbox, reply: Option<ReplyTo>, out: &mut Outbox) {
        let group = self.settings.topology.group_of(self.settings.proxy_index, level);

        for (seat, message) in messages {
            let asker = reply.filter(|asker| asker.seat == seat).map(|asker| asker.place);
            let Some(place) = asker.or_else(|| self.speaker(level, seat)) else { continue };
            let origin = self.settings.proxy_index;
            self.emit(place, &Frame { level, group, seat, hops: 0, origin, message: &message }, out);
        }
    }

    fn emit(&mut self, place: u16, frame: &Frame, out: &mut Outbox) {
        let bytes = frame.encode();
        self.counters.sent_bytes += bytes.len() as u64;
        out.push((place, bytes));
    }
}

impl SharedBudgets for ControlTree {
    fn share(&mut self, now: Micros, budget: usize) -> u32 {
        ControlTree::share(self, now, budget)
    }
    fn want(&mut self, budget: usize, units: u32) {
        ControlTree::want(self, budget, units);
    }
    fn leased(&self, now: Micros) -> bool {
        ControlTree::leased(self, now)
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
