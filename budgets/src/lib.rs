//! Budgets that all proxies spend together: one instance a proxy, which votes, stands, grants and holds. It owns what
//! this proxy may use of each budget at a moment. It must never read a clock, open a socket, or let what all use at one
//! moment sum to more than the whole, whatever becomes of messages, processes and clocks. `docs/budgets.md` says why
//! that holds. All times are microseconds on the caller's clock, all amounts whole units of a budget.
//!
//! ```
//! use threadward_budgets::{Budgets, Outbox, Settings};
//!
//! // Three proxies share 90 units: 3 each are theirs for good, 81 are divided among those that ask.
//! let settings = |index| Settings {
//!     index,
//!     proxies: 3,
//!     voters: vec![0, 1, 2],
//!     totals: vec![90],
//!     lease: 1_000_000,
//! };
//! let new = |index: u16| Budgets::new(0, settings(index), [index as u8 + 1; 32]);
//! let mut all = (0..3).map(new).collect::<Result<Vec<_>, _>>()?;
//! all.iter_mut().for_each(|b| b.set_demand(0, 50));
//! let mut now = 0;
//! while now < 10_000_000 {
//!     now += 10_000;
//!     let mut out = Outbox::new();
//!     all.iter_mut().for_each(|b| b.tick(now, &mut out));
//!     // The caller is the network: here nothing is lost or late.
//!     while let Some((to, bytes)) = out.pop() {
//!         all[usize::from(to)].receive(now, &bytes, &mut out);
//!     }
//!     assert!(all.iter_mut().map(|b| b.share(now, 0)).sum::<u32>() <= 90);
//! }
//! assert_eq!(all.iter().filter(|b| b.is_coordinator(now)).count(), 1);
//! assert!(all.iter_mut().all(|b| b.share(now, 0) == 30));
//! // No word for a lease time, and each has its floor alone.
//! assert!(all.iter_mut().all(|b| b.share(now + 1_000_000, 0) == 3));
//! # Ok::<(), String>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod fair_share;
pub mod grant;
pub mod holder;
pub mod order_tree;
pub mod seal;
pub mod vote;
pub mod wire;

use grant::{Ledger, Request, Supply};
use holder::{Divisible, GrantOutcome, Holder, ReceivedGrant};
use nickelgate::Micros;
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};
use vote::{Candidate, Voter};
use wire::{Author, Body};

/// Budgets that a file may name.
pub const MAX_BUDGETS: usize = 8;
/// Proxies that a file may name.
pub const MAX_PROXIES: usize = 4096;
/// Voters that a file may name.
pub const MAX_VOTERS: usize = 7;
/// Part of a whole that is set aside as floors: one part in so many.
const ASIDE: u32 = 10;
/// Clocks run within 1% of true time; both ends of a lease are moved apart by a little more, in thousandths.
const DRIFT: u64 = 12;
/// A holder asks so often in a lease time: one answer in three may be lost.
const ASKS: u64 = 4;
/// One whose share shrank says so after this.
const SOON: Micros = 30_000;
/// A relay whose wants doubled asks again after this part of its interval.
const PROMPT: u64 = 4;
/// Lease times of a group, whatever its level.
const GROUP_LEASES: std::ops::RangeInclusive<Micros> = 200_000..=240_000_000;

/// An amount of each budget, in units, in the order of the file.
pub type Amounts = Vec<u32>;

/// What the operators' file says.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The own place among the proxies of the file, from 0.
    pub index: u16,
    /// Proxies in the file, whether they live or not.
    pub proxies: u16,
    /// Places of the voters, odd in number.
    pub voters: Vec<u16>,
    /// The whole of each budget, in units.
    pub totals: Amounts,
    /// Lease time, 200 ms to 60 s.
    pub lease: Micros,
}

/// What follows from the settings.
///
/// ```
/// use threadward_budgets::Terms;
///
/// let t = Terms { lease: 1_000_000, proxies: 1, pools: vec![90], floors: vec![10] };
/// // Clocks may differ by 1%: the holder's end of a lease always comes before the grantor's.
/// assert_eq!((t.shortened(t.lease), t.lengthened(t.lease)), (987_998, 1_012_001));
/// assert!(t.lengthened(t.fit_lengthened(t.lease)) <= t.lease);
/// ```
#[derive(Clone, Debug)]
pub struct Terms {
    /// Lease time.
    pub lease: Micros,
    /// Proxies in the file.
    pub proxies: u16,
    /// What the grantor divides of each budget.
    pub pools: Amounts,
    /// What belongs to each proxy for good.
    pub floors: Amounts,
}

impl Terms {
    fn new(s: &Settings) -> Terms {
        let floors: Amounts = s.totals.iter().map(|w| w / ASIDE / u32::from(s.proxies.max(1))).collect();
        let pools = s.totals.iter().zip(&floors).map(|(w, f)| w - f * u32::from(s.proxies)).collect();
        Terms { lease: s.lease, proxies: s.proxies.max(1), pools, floors }
    }
    /// A span as one counts that must not end too soon.
    pub fn lengthened(&self, span: Micros) -> Micros {
        span + (span * DRIFT).div_ceil(1000) + 1
    }
    /// A span as one counts that must not end too late.
    pub fn shortened(&self, span: Micros) -> Micros {
        (span - span * DRIFT / 1000).saturating_sub(2)
    }
    /// The span whose `lengthened` is no more than this.
    pub fn fit_lengthened(&self, span: Micros) -> Micros {
        (span * 1000 / (1000 + DRIFT)).saturating_sub(2)
    }
}

/// Whether settings will do, without an instance of them.
///
/// # Errors
/// One line that says what is wrong with the settings.
///
/// ```
/// use threadward_budgets::{check, Settings};
///
/// let good = Settings { index: 0, proxies: 2, voters: vec![0], totals: vec![10], lease: 1_000_000 };
/// assert_eq!(check(&good), Ok(()));
/// let even = Settings { voters: vec![0, 1], ..good };
/// assert_eq!(check(&even), Err("2 voters: an odd number, 7 at most".into()));
/// ```
pub fn check(s: &Settings) -> Result<(), String> {
    let proxies = usize::from(s.proxies);
    let bad = |what: String| Err(what);
    if !(1..=MAX_PROXIES).contains(&proxies) || usize::from(s.index) >= proxies {
        return bad(format!(
            "{proxies} proxies, place {}: 1 to {MAX_PROXIES}, the own one among them",
            s.index
        ));
    }
    check_voters(&s.voters, s.proxies)?;
    if s.totals.is_empty()
        || s.totals.len() > MAX_BUDGETS
        || s.totals.iter().any(|w| !(1..=1_000_000).contains(w))
    {
        return bad(format!("1 to {MAX_BUDGETS} budgets, each from 1 to 1000000 units"));
    }
    if !(200_000..=60_000_000).contains(&s.lease) {
        return bad("'lease_ms' has to lie from 200 to 60000".into());
    }
    Ok(())
}

fn check_voters(voters: &[u16], members: u16) -> Result<(), String> {
    let mut distinct = voters.to_vec();
    distinct.sort_unstable();
    distinct.dedup();
    if distinct.len() != voters.len() || distinct.iter().any(|voter| *voter >= members) {
        return Err("a voter stands twice or is no proxy".into());
    }
    if distinct.len().is_multiple_of(2) || distinct.len() > MAX_VOTERS {
        return Err(format!("{} voters: an odd number, {MAX_VOTERS} at most", distinct.len()));
    }
    Ok(())
}

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Bytes of the messages that were given out to be sent, whatever the caller adds to them not counted.
    pub sent_bytes: u64,
    /// Messages that were no message, or of a place that is none.
    pub malformed: u64,
    /// Leases that ran out without a new one.
    pub leases_expired: u64,
    /// Times that this instance became grantor.
    pub times_elected: u64,
}

/// A group that divides a supply: its members are called seats, since the process that speaks for one may change.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// The own seat, from 0.
    pub seat: u16,
    /// Seats of the group, whether anybody speaks for them or not.
    pub members: u16,
    /// Seats that vote, odd in number.
    pub voters: Vec<u16>,
    /// Lease time.
    pub lease: Micros,
    /// What the leader divides of each budget until [`Budgets::set_supply`] says otherwise.
    pub pools: Amounts,
    /// What belongs to the own seat for good.
    pub floors: Amounts,
    /// Whether the seat hands its share on: a newer grant then waits for [`Budgets::adopt_pending`].
    pub relays: bool,
}

impl Group {
    fn check(&self) -> Result<(), String> {
        let members = usize::from(self.members);
        if !(1..=MAX_PROXIES).contains(&members) || self.seat >= self.members {
            return Err(format!("{members} members, seat {}: 1 to {MAX_PROXIES}", self.seat));
        }
        check_voters(&self.voters, self.members)?;
        let budgets = self.pools.len();
        if !(1..=MAX_BUDGETS).contains(&budgets) || self.floors.len() != budgets {
            return Err(format!("{budgets} pools and {} floors: 1 to {MAX_BUDGETS}", self.floors.len()));
        }
        if !GROUP_LEASES.contains(&self.lease) {
            return Err(format!("a lease of {} us", self.lease));
        }
        Ok(())
    }
}

/// What the leader divides.
#[derive(Clone, Debug)]
struct Supplied {
    pools: Amounts,
    until: Micros,
}

/// One proxy's part. It does nothing by itself: the caller brings the time and messages, and sends what it is given.
///
/// ```
/// use threadward_budgets::{Budgets, Outbox, Settings};
///
/// // Alone it votes for itself, once it is sure that no former life's promise still counts.
/// let s = Settings { index: 0, proxies: 1, voters: vec![0], totals: vec![100], lease: 1_000_000 };
/// let mut b = Budgets::new(0, s, [7; 32])?;
/// b.set_demand(0, 60);
/// let mut out = Outbox::new();
/// assert_eq!((b.share(0, 0), b.has_lease(0)), (10, false), "the floor, whatever happens");
/// while b.next_due() < 5_000_000 {
///     b.tick(b.next_due(), &mut out);
/// }
/// assert!(b.is_coordinator(5_000_000) && b.has_lease(5_000_000) && out.is_empty());
/// assert_eq!(b.share(5_000_000, 0), 60);
/// b.leave(&mut out);
/// assert_eq!(b.share(5_000_000, 0), 10);
/// # Ok::<(), String>(())
/// ```
pub struct Budgets {
    voters: Vec<u16>,
    terms: Terms,
    identity: Author,
    rng: ChaCha8Rng,
    voter: Option<Voter>,
    candidate: Candidate,
    ledger: Ledger,
    supplied: Supplied,
    demands: Amounts,
    holder: Holder,
    next_ask: Micros,
    /// Whom to ask, and questions since it last answered.
    coordinator: u16,
    unanswered: u32,
    /// It ended by will.
    gone: bool,
    /// The clock only goes forward.
    now: Micros,
    /// What was counted since the start.
    pub counters: Counters,
}

/// Messages to send: to which place, and the bytes.
pub type Outbox = Vec<(u16, Vec<u8>)>;

impl Budgets {
    /// `entropy` has to differ with every start: the life is drawn from it.
    ///
    /// # Errors
    /// One line that says what is wrong with the settings.
    pub fn new(now: Micros, settings: Settings, entropy: [u8; 32]) -> Result<Budgets, String> {
        check(&settings)?;
        let holder = Holder::consumer();
        Ok(Budgets::start(now, settings.index, &settings.voters, Terms::new(&settings), holder, entropy))
    }

    /// One seat of a group of a tree. `entropy` has to differ with every start.
    ///
    /// # Errors
    /// One line that says what is wrong with the group.
    pub fn in_group(now: Micros, group: Group, entropy: [u8; 32]) -> Result<Budgets, String> {
        group.check()?;
        let holder = if group.relays { Holder::relay() } else { Holder::consumer() };
        let terms =
            Terms { lease: group.lease, proxies: group.members, pools: group.pools, floors: group.floors };
        Ok(Budgets::start(now, group.seat, &group.voters, terms, holder, entropy))
    }

    fn start(
        now: Micros,
        index: u16,
        voters: &[u16],
        terms: Terms,
        holder: Holder,
        entropy: [u8; 32],
    ) -> Budgets {
        let mut rng = ChaCha8Rng::from_seed(entropy);
        let identity = Author { index, incarnation: rng.next_u64() };
        // By lot: those that started together would stand together.
        let first_stand = now + terms.lengthened(terms.lease) + rng.next_u64() % (terms.lease / 2).max(1);
        Budgets {
            voter: voters.contains(&identity.index).then(|| Voter::new(now, &terms)),
            candidate: Candidate::new(first_stand),
            ledger: Ledger::default(),
            supplied: Supplied { pools: terms.pools.clone(), until: Micros::MAX },
            demands: vec![0; terms.pools.len()],
            holder,
            next_ask: now,
            coordinator: voters.first().copied().unwrap_or(0),
            unanswered: 0,
            gone: false,
            now,
            counters: Counters::default(),
            voters: voters.to_vec(),
            terms,
            identity,
            rng,
        }
    }

    /// What this proxy may use of a budget now, in units: its floor, and its lease while that lasts. Ask at every use: a
    /// process that was paused finds its lease over here. A budget that is not in the settings has 0.
    pub fn share(&mut self, now: Micros, budget: usize) -> u32 {
        self.now = self.now.max(now);
        self.holder.share(self.now, budget) + self.terms.floors.get(budget).copied().unwrap_or(0)
    }

    /// What this proxy would use of a budget, in units: the floor is part of it. It goes out with the next question to
    /// the grantor.
    pub fn set_demand(&mut self, budget: usize, units: u32) {
        let (Some(demand), Some(floor)) = (self.demands.get_mut(budget), self.terms.floors.get(budget))
        else {
            return;
        };
        *demand = units.saturating_sub(*floor);
        let asked = self.holder.last_demand(budget);
        if self.holder.relays() && *demand / 2 >= asked.max(1) {
            // What others wait for is asked for early, yet no more than a few times as often.
            let early = self.holder.last_request_at() + self.terms.lease / ASKS / PROMPT;
            self.next_ask = self.next_ask.min(early.max(self.now));
        }
    }

    /// Replaces what this instance divides while it leads: units of each budget, and until when the supply lasts. All
    /// that is granted from here on ends by then. Less than is granted already is no error: nothing more is granted then
    /// until enough has ended.
    pub fn set_supply(&mut self, pools: &[u32], until: Micros) {
        self.supplied.pools.clear();
        self.supplied.pools.extend_from_slice(pools);
        self.supplied.until = until;
    }

    /// Units of a budget that holders of this leader's grants may still be using.
    pub fn granted(&mut self, now: Micros, budget: usize) -> u32 {
        self.now = self.now.max(now);
        self.ledger.granted(self.now, budget, &self.terms)
    }

    /// Sum of what the holders that are known to this leader want of a budget beyond their own.
    pub fn total_demand(&self, budget: usize) -> u64 {
        self.ledger.total_demand(budget)
    }

    /// Of a relay: what it may hand on of its lease now.
    pub fn divisible(&self, now: Micros) -> Option<Divisible> {
        self.holder.divisible(self.now.max(now))
    }

    /// Of a relay: takes a newer grant into use if what it has handed on fits into that and `own`, what it may hand on
    /// without any lease. Both in units of each budget.
    pub fn adopt_pending(&mut self, now: Micros, handed_on: &[u32], own: &[u32]) {
        self.now = self.now.max(now);
        if self.holder.adopt_pending(self.now, handed_on, own) == GrantOutcome::Shrunk {
            self.next_ask = self.next_ask.min(self.now + SOON);
        }
    }

    /// Whether a lease lasts now.
    pub fn has_lease(&self, now: Micros) -> bool {
        self.holder.has_lease(self.now.max(now))
    }

    /// Whether this instance divides the budgets now.
    pub fn is_coordinator(&self, now: Micros) -> bool {
        self.candidate.authority_until(self.now.max(now)).is_some()
    }

    /// The own place and life.
    pub fn identity(&self) -> Author {
        self.identity
    }

    /// Of a voter: the life that it is promised to now.
    pub fn promised_to(&self, now: Micros) -> Option<Author> {
        self.voter.as_ref().and_then(|v| v.promised_to(self.now.max(now)))
    }

    /// The place of the one that divides, as far as it knows.
    pub fn coordinator(&self) -> u16 {
        self.coordinator
    }

    /// When [`Budgets::tick`] has something to do next.
    pub fn next_due(&self) -> Micros {
        if self.voter.is_some() {
            self.next_ask.min(self.candidate.next_election_at)
        } else {
            self.next_ask
        }
    }

    /// Carries out what is due by now.
    pub fn tick(&mut self, now: Micros, out: &mut Outbox) {
        self.now = self.now.max(now);
        let now = self.now;
        if self.voter.is_some() && now >= self.candidate.next_election_at {
            self.advance_election(now, out);
        }
        if now >= self.next_ask {
            self.ask(now, out);
        }
        self.counters.leases_expired += u64::from(self.holder.expire(now));
    }

    /// Ends by will: nothing is used from here on, and the grantor is told.
    pub fn leave(&mut self, out: &mut Outbox) {
        self.gone = true;
        self.holder.drop_leases();
        self.demands.fill(0);
        let to = self.coordinator;
        self.post(to, &Body::Leave, out);
        self.next_ask = Micros::MAX;
        self.candidate.resign();
    }

    fn post(&mut self, to: u16, body: &Body, out: &mut Outbox) {
        if to == self.identity.index {
            // To itself without a network; an answer follows at once.
            return self.take(self.identity, body.clone(), out);
        }
        let bytes = wire::write(self.identity, body);
        self.counters.sent_bytes += bytes.len() as u64;
        out.push((to, bytes));
    }

    /// Asks the voters for their promises: early enough while in authority, else when the own vote is free. Those of a
    /// question that did not win are given back, else two that each have too few would hold them from everybody.
    fn advance_election(&mut self, now: Micros, out: &mut Outbox) {
        let (lease, is_coordinator) = (self.terms.lease, self.is_coordinator(now));
        // Two that stand together take votes from each other: the lot parts them.
        let lot = self.rng.next_u64() % (lease / 2).max(1);
        let body = match self.candidate.abandon_election().filter(|_| !is_coordinator) {
            Some(request_id) => {
                self.candidate.next_election_at = now + lease / 8 + lot;
                Body::ReleaseVote { request_id }
            }
            None if is_coordinator => {
                self.candidate.next_election_at = now + lease / 3;
                Body::VoteRequest { request_id: self.candidate.start_election(now) }
            }
            None => {
                self.candidate.next_election_at = now + lease / 8 + lot;
                if self.voter.as_ref().is_some_and(|v| v.promised_to(now).is_some()) {
                    return;
                }
                self.candidate.next_election_at = now + lease / 4;
                Body::VoteRequest { request_id: self.candidate.start_election(now) }
            }
        };
        for v in self.voters.clone() {
            self.post(v, &body, out);
        }
    }

    fn ask(&mut self, now: Micros, out: &mut Outbox) {
        let every = self.terms.lease / ASKS;
        // A little by lot, so that those that started together do not ask together for good.
        self.next_ask = now + every - self.rng.next_u64() % (every / 8).max(1);
        if self.unanswered >= 2 {
            // Any voter knows more.
            let at = (self.rng.next_u64() % self.voters.len() as u64) as usize;
            self.coordinator = self.voters[at];
        }
        self.unanswered += 1;
        let held_request = self.holder.request_in_use();
        let request_id = self.holder.record_request(now, &self.demands);
        let body = Body::LeaseRequest { request_id, held_request, demands: self.demands.clone() };
        self.post(self.coordinator, &body, out);
    }

    /// A message came in from a proxy of the file; who that is has been checked. One that cannot be read is counted and
    /// changes nothing.
    pub fn receive(&mut self, now: Micros, bytes: &[u8], out: &mut Outbox) {
        self.now = self.now.max(now);
        match wire::read(bytes)
            .filter(|(a, _)| a.index < self.terms.proxies && a.index != self.identity.index)
        {
            Some((author, body)) => self.take(author, body, out),
            None => self.counters.malformed += 1,
        }
    }

    fn take(&mut self, by: Author, body: Body, out: &mut Outbox) {
        let now = self.now;
        match body {
            Body::ReleaseVote { request_id } => {
                self.voter.iter_mut().for_each(|v| v.release(by, request_id));
            }
            Body::VoteRequest { request_id } => {
                let Some(voter) = &mut self.voter else { return };
                let granted = self.voters.contains(&by.index)
                    && voter.request_promise(now, by, request_id, &self.terms);
                let to = voter.promised_to(now).map_or(by.index, |a| a.index);
                self.post(by.index, &Body::Vote { requester: by.incarnation, request_id, granted, to }, out);
            }
            Body::Vote { requester, request_id, granted, to } if requester == self.identity.incarnation => {
                let at = self.voters.iter().position(|v| *v == by.index);
                let (Some(at), before) = (at, self.is_coordinator(now)) else { return };
                if !granted {
                    self.coordinator = to;
                } else if self.candidate.record_vote(at, self.voters.len(), request_id, &self.terms) {
                    if !before && self.is_coordinator(now) {
                        // All that others granted is over; what this one granted in an earlier authority too.
                        self.ledger = Ledger::new(now, &self.terms);
                        self.counters.times_elected += 1;
                        self.next_ask = now;
                    }
                    self.coordinator = self.identity.index;
                    self.candidate.next_election_at =
                        self.candidate.next_election_at.min(now + self.terms.lease / 3);
                }
            }
            Body::LeaseRequest { request_id, held_request, demands } => {
                let Some(authority_until) =
                    self.candidate.authority_until(now).filter(|_| demands.len() == self.demands.len())
                else {
                    let known = self.voter.as_ref().and_then(|v| v.promised_to(now)).map(|a| a.index);
                    let to = known.unwrap_or(self.coordinator);
                    if to != self.identity.index && to != by.index {
                        self.post(by.index, &Body::Redirect { to }, out);
                    }
                    return;
                };
                let request = Request { by, request_id, held_request, demands: &demands };
                let until = authority_until.min(self.supplied.until);
                if now >= until {
                    return;
                }
                let supply = Supply { pools: &self.supplied.pools, until };
                if let Some(grant) = self.ledger.answer(now, &request, &supply, &self.terms) {
                    let duration = grant.duration as u32;
                    let body =
                        Body::Grant { requester: by.incarnation, request_id, duration, share: grant.share };
                    self.post(by.index, &body, out);
                }
            }
            Body::Grant { requester, request_id, duration, share }
                if requester == self.identity.incarnation && !self.gone =>
            {
                self.take_grant(by, ReceivedGrant { request_id, duration: Micros::from(duration), share });
            }
            // To a former life of this place.
            Body::Vote { .. } | Body::Grant { .. } => {}
            Body::Redirect { to } => {
                if to < self.terms.proxies && self.coordinator == by.index {
                    (self.coordinator, self.unanswered) = (to, self.unanswered.min(1));
                }
            }
            Body::Leave => self.ledger.record_leave(by),
        }
    }

    fn take_grant(&mut self, by: Author, grant: ReceivedGrant) {
        let taken = self.holder.receive(self.now, grant, &self.terms);
        if taken == GrantOutcome::Ignored {
            return;
        }
        (self.coordinator, self.unanswered) = (by.index, 0);
        if taken == GrantOutcome::Shrunk {
            self.next_ask = self.next_ask.min(self.now + SOON);
        }
    }
}
