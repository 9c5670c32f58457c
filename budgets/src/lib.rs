//! Divides operators' budgets among all proxies by leases. Each proxy runs one [`Budgets`] instance, which
//! votes for a coordinator, may stand for coordinator itself, grants leases while it is the coordinator, and
//! holds a lease of its own. [`Budgets::share`] says what this proxy may use of a budget at a moment.
//!
//! The shares that all proxies use at one moment never sum to more than the total, whatever is lost, delayed,
//! paused, restarted or skewed (clocks within 1% of true time); `docs/budgets.md` has the proof. The library
//! does no I/O and reads no clock. All times are microseconds on the caller's clock, all amounts whole units
//! of a budget.
//!
//! ```
//! use threadward_budgets::{Budgets, Outbox, Settings};
//!
//! // Three proxies share 90 units: each has a permanent floor of 3, and 81 are divided among those that ask.
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
//!     let mut outbox = Outbox::new();
//!     all.iter_mut().for_each(|b| b.tick(now, &mut outbox));
//!     // The caller is the network: here nothing is lost or late.
//!     while let Some((to, bytes)) = outbox.pop() {
//!         all[usize::from(to)].receive(now, &bytes, &mut outbox);
//!     }
//!     assert!(all.iter_mut().map(|b| b.share(now, 0)).sum::<u32>() <= 90);
//! }
//! assert_eq!(all.iter().filter(|b| b.is_coordinator(now)).count(), 1);
//! assert!(all.iter_mut().all(|b| b.share(now, 0) == 30));
//! // Without messages for one lease time each proxy falls back to its floor.
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

/// Largest number of budgets that a configuration file may name.
pub const MAX_BUDGETS: usize = 8;
/// Largest number of proxies that a configuration file may name, and of seats in a group.
pub const MAX_PROXIES: usize = 4096;
/// Largest number of voters that a configuration file may name.
pub const MAX_VOTERS: usize = 7;
/// One part in so many of each total is reserved for the floors of all proxies.
const FLOOR_DIVISOR: u32 = 10;
/// Correction for clock drift, in thousandths of a span. Clocks run within 1% of true time; the two ends of a
/// lease, at the coordinator and at the holder, are moved apart by a little more than that.
const CLOCK_DRIFT_PER_MILLE: u64 = 12;
/// Lease requests of a holder per lease time: enough to keep the lease with one answer in three lost.
const REQUESTS_PER_LEASE: u64 = 4;
/// Delay until a holder whose share shrank sends its next request, which tells the coordinator so.
const SHRUNK_REPORT_DELAY: Micros = 30_000;
/// A relay whose demand has at least doubled asks again after this fraction (one in so many) of the request
/// interval.
const EARLY_REQUEST_DIVISOR: u64 = 4;
/// Lease times that a group may have, whatever its level.
const GROUP_LEASE_RANGE: std::ops::RangeInclusive<Micros> = 200_000..=240_000_000;

/// An amount of each budget, in units, in the order of the file.
pub type Amounts = Vec<u32>;

/// The settings of the budgets that all proxies share, from the operators' file.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This proxy's index among the proxies of the file, from 0.
    pub index: u16,
    /// Number of proxies in the file, whether they are running or not.
    pub proxies: u16,
    /// Indices of the voters, odd in number.
    pub voters: Vec<u16>,
    /// Total of each budget, in units, over all proxies.
    pub totals: Amounts,
    /// Lease time, 200 ms to 60 s.
    pub lease: Micros,
}

/// Lease terms and the division of each budget into pool and floors, derived from the settings.
///
/// ```
/// use threadward_budgets::Terms;
///
/// let t = Terms { lease: 1_000_000, proxies: 1, pools: vec![90], floors: vec![10] };
/// // Clocks may differ by 1%: a lease always ends at the holder before it ends at the coordinator.
/// assert_eq!((t.shortened(t.lease), t.lengthened(t.lease)), (987_998, 1_012_001));
/// assert!(t.lengthened(t.fit_lengthened(t.lease)) <= t.lease);
/// ```
#[derive(Clone, Debug)]
pub struct Terms {
    /// Lease time.
    pub lease: Micros,
    /// Proxies in the file.
    pub proxies: u16,
    /// Units of each budget that the coordinator divides by leases.
    pub pools: Amounts,
    /// Units of each budget that belong to each proxy without any lease.
    pub floors: Amounts,
}

impl Terms {
    fn new(settings: &Settings) -> Terms {
        let floors: Amounts =
            settings.totals.iter().map(|w| w / FLOOR_DIVISOR / u32::from(settings.proxies.max(1))).collect();
        let pools =
            settings.totals.iter().zip(&floors).map(|(w, f)| w - f * u32::from(settings.proxies)).collect();
        Terms { lease: settings.lease, proxies: settings.proxies.max(1), pools, floors }
    }
    /// Returns the span as measured by a party for which it must not end too early: lengthened by the clock
    /// drift.
    pub fn lengthened(&self, span: Micros) -> Micros {
        span + (span * CLOCK_DRIFT_PER_MILLE).div_ceil(1000) + 1
    }
    /// Returns the span as measured by a party for which it must not end too late: shortened by the clock
    /// drift.
    pub fn shortened(&self, span: Micros) -> Micros {
        (span - span * CLOCK_DRIFT_PER_MILLE / 1000).saturating_sub(2)
    }
    /// Returns a span that is at most `span` once it has been [`lengthened`](Terms::lengthened).
    pub fn fit_lengthened(&self, span: Micros) -> Micros {
        (span * 1000 / (1000 + CLOCK_DRIFT_PER_MILLE)).saturating_sub(2)
    }
}

/// Checks settings without creating an instance.
///
/// # Errors
/// Returns one line that says what is wrong with the settings.
///
/// ```
/// use threadward_budgets::{check, Settings};
///
/// let good = Settings { index: 0, proxies: 2, voters: vec![0], totals: vec![10], lease: 1_000_000 };
/// assert_eq!(check(&good), Ok(()));
/// let even = Settings { voters: vec![0, 1], ..good };
/// assert_eq!(check(&even), Err("2 voters: an odd number, 7 at most".into()));
/// ```
pub fn check(settings: &Settings) -> Result<(), String> {
    let proxies = usize::from(settings.proxies);
    let refuse = |what: String| Err(what);
    if !(1..=MAX_PROXIES).contains(&proxies) || usize::from(settings.index) >= proxies {
        return refuse(format!(
            "{proxies} proxies, index {}: 1 to {MAX_PROXIES}, this proxy among them",
            settings.index
        ));
    }
    check_voters(&settings.voters, settings.proxies)?;
    if settings.totals.is_empty()
        || settings.totals.len() > MAX_BUDGETS
        || settings.totals.iter().any(|w| !(1..=1_000_000).contains(w))
    {
        return refuse(format!("1 to {MAX_BUDGETS} budgets, each from 1 to 1000000 units"));
    }
    if !(200_000..=60_000_000).contains(&settings.lease) {
        return refuse("'lease_ms' has to lie from 200 to 60000".into());
    }
    Ok(())
}

fn check_voters(voters: &[u16], members: u16) -> Result<(), String> {
    let mut distinct = voters.to_vec();
    distinct.sort_unstable();
    distinct.dedup();
    if distinct.len() != voters.len() || distinct.iter().any(|voter| *voter >= members) {
        return Err("a voter is named twice or is not a member".into());
    }
    if distinct.len().is_multiple_of(2) || distinct.len() > MAX_VOTERS {
        return Err(format!("{} voters: an odd number, {MAX_VOTERS} at most", distinct.len()));
    }
    Ok(())
}

/// Counts events since the start of the instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Bytes of the messages handed to the caller to send, without what the caller adds to them.
    pub sent_bytes: u64,
    /// Messages that could not be parsed, or whose author is not another proxy of the file.
    pub malformed: u64,
    /// Leases that gave something and ran out before a newer one replaced them.
    pub leases_expired: u64,
    /// How often this instance became the coordinator.
    pub times_elected: u64,
}

/// A group of a tree that divides a supply. Its members are called seats, since the process that speaks for a
/// seat may change.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// This instance's seat, from 0.
    pub seat: u16,
    /// Number of seats in the group, whether any process speaks for them or not.
    pub members: u16,
    /// Seats that vote, odd in number.
    pub voters: Vec<u16>,
    /// Lease time.
    pub lease: Micros,
    /// Units of each budget that the coordinator divides until [`Budgets::set_supply`] replaces them.
    pub pools: Amounts,
    /// Units of each budget that belong to this seat without any lease.
    pub floors: Amounts,
    /// Whether the seat delegates its share to a group below; a newer grant then waits for
    /// [`Budgets::adopt_pending`].
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
        if !GROUP_LEASE_RANGE.contains(&self.lease) {
            return Err(format!("a lease of {} us", self.lease));
        }
        Ok(())
    }
}

/// What this instance divides while it is the coordinator, and until when.
#[derive(Clone, Debug)]
struct CurrentSupply {
    pools: Amounts,
    until: Micros,
}

/// One proxy's instance: voter, candidate, coordinator and holder in one. It has no timers or sockets of its
/// own: the caller passes in the time and the received messages, and sends the messages that the instance
/// puts into an [`Outbox`].
///
/// ```
/// use threadward_budgets::{Budgets, Outbox, Settings};
///
/// // A single voter votes for itself once no promise of an earlier incarnation can still be valid.
/// let s = Settings { index: 0, proxies: 1, voters: vec![0], totals: vec![100], lease: 1_000_000 };
/// let mut b = Budgets::new(0, s, [7; 32])?;
/// b.set_demand(0, 60);
/// let mut outbox = Outbox::new();
/// assert_eq!((b.share(0, 0), b.has_lease(0)), (10, false), "the floor, whatever happens");
/// while b.next_due() < 5_000_000 {
///     b.tick(b.next_due(), &mut outbox);
/// }
/// assert!(b.is_coordinator(5_000_000) && b.has_lease(5_000_000) && outbox.is_empty());
/// assert_eq!(b.share(5_000_000, 0), 60);
/// b.leave(&mut outbox);
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
    current_supply: CurrentSupply,
    demands: Amounts,
    holder: Holder,
    next_request_at: Micros,
    /// Index of the proxy that this instance sends its requests to.
    coordinator: u16,
    /// Requests sent since the last accepted answer.
    unanswered_requests: u32,
    /// Whether the instance has left by [`Budgets::leave`]; it then accepts no grants.
    has_left: bool,
    /// Latest time that the caller has passed in; an earlier one doesn't move it back.
    now: Micros,
    /// Events counted since the start.
    pub counters: Counters,
}

/// Messages to send: the recipient's index and the bytes.
pub type Outbox = Vec<(u16, Vec<u8>)>;

impl Budgets {
    /// Creates the instance of a proxy. `entropy` must differ with every start, as the incarnation is drawn
    /// from it.
    ///
    /// # Errors
    /// Returns one line that says what is wrong with the settings.
    pub fn new(now: Micros, settings: Settings, entropy: [u8; 32]) -> Result<Budgets, String> {
        check(&settings)?;
        let holder = Holder::consumer();
        Ok(Budgets::start(now, settings.index, &settings.voters, Terms::new(&settings), holder, entropy))
    }

    /// Creates the instance of one seat in a group of a tree. `entropy` must differ with every start.
    ///
    /// # Errors
    /// Returns one line that says what is wrong with the group.
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
        // Randomised, or instances started together would all start their elections together.
        let first_election_at =
            now + terms.lengthened(terms.lease) + rng.next_u64() % (terms.lease / 2).max(1);
        Budgets {
            voter: voters.contains(&identity.index).then(|| Voter::new(now, &terms)),
            candidate: Candidate::new(first_election_at),
            ledger: Ledger::default(),
            current_supply: CurrentSupply { pools: terms.pools.clone(), until: Micros::MAX },
            demands: vec![0; terms.pools.len()],
            holder,
            next_request_at: now,
            coordinator: voters.first().copied().unwrap_or(0),
            unanswered_requests: 0,
            has_left: false,
            now,
            counters: Counters::default(),
            voters: voters.to_vec(),
            terms,
            identity,
            rng,
        }
    }

    /// Returns what this proxy may use of a budget now, in units: its floor, and its lease while that lasts.
    /// Call it at every use, since a process that was paused learns here that its lease is over. Returns 0
    /// for a budget that is not in the settings.
    pub fn share(&mut self, now: Micros, budget: usize) -> u32 {
        self.now = self.now.max(now);
        self.holder.share(self.now, budget) + self.terms.floors.get(budget).copied().unwrap_or(0)
    }

    /// Sets what this proxy would use of a budget, in units, its floor included. The next request to the
    /// coordinator carries the demand; a relay whose demand has at least doubled sends that request earlier.
    pub fn set_demand(&mut self, budget: usize, units: u32) {
        let (Some(demand), Some(floor)) = (self.demands.get_mut(budget), self.terms.floors.get(budget))
        else {
            return;
        };
        *demand = units.saturating_sub(*floor);
        let last_demand = self.holder.last_demand(budget);
        if self.holder.relays() && *demand / 2 >= last_demand.max(1) {
            // Members of the group below wait for this, so the request goes out early, but the request rate
            // grows by no more than a small factor.
            let early =
                self.holder.last_request_at() + self.terms.lease / REQUESTS_PER_LEASE / EARLY_REQUEST_DIVISOR;
            self.next_request_at = self.next_request_at.min(early.max(self.now));
        }
    }

    /// Replaces what this instance divides while it is the coordinator: units of each budget, and until when
    /// the supply lasts. Every later grant ends by then. The supply may be less than what is already granted:
    /// nothing more is granted then until enough leases have ended.
    pub fn set_supply(&mut self, pools: &[u32], until: Micros) {
        self.current_supply.pools.clear();
        self.current_supply.pools.extend_from_slice(pools);
        self.current_supply.until = until;
    }

    /// Returns the units of a budget that holders of this coordinator's grants may still be using.
    pub fn granted(&mut self, now: Micros, budget: usize) -> u32 {
        self.now = self.now.max(now);
        self.ledger.granted(self.now, budget, &self.terms)
    }

    /// Returns the sum of what the holders known to this coordinator demand of a budget beyond their floors.
    pub fn total_demand(&self, budget: usize) -> u64 {
        self.ledger.total_demand(budget)
    }

    /// Returns what a relay may delegate of its lease now.
    pub fn divisible(&self, now: Micros) -> Option<Divisible> {
        self.holder.divisible(self.now.max(now))
    }

    /// Makes a relay's pending grant its current lease if `delegated`, what it has delegated, fits into that
    /// grant and `own`, what it may delegate without any lease. Both are units of each budget.
    pub fn adopt_pending(&mut self, now: Micros, delegated: &[u32], own: &[u32]) {
        self.now = self.now.max(now);
        if self.holder.adopt_pending(self.now, delegated, own) == GrantOutcome::Shrunk {
            self.next_request_at = self.next_request_at.min(self.now + SHRUNK_REPORT_DELAY);
        }
    }

    /// Returns whether this proxy holds a lease now.
    pub fn has_lease(&self, now: Micros) -> bool {
        self.holder.has_lease(self.now.max(now))
    }

    /// Returns whether this instance is the coordinator now and may grant leases.
    pub fn is_coordinator(&self, now: Micros) -> bool {
        self.candidate.authority_until(self.now.max(now)).is_some()
    }

    /// Returns this instance's index and incarnation.
    pub fn identity(&self) -> Author {
        self.identity
    }

    /// Returns the candidate that this instance, as a voter, has promised its vote to now.
    pub fn promised_to(&self, now: Micros) -> Option<Author> {
        self.voter.as_ref().and_then(|v| v.promised_to(self.now.max(now)))
    }

    /// Returns the index of the coordinator as far as this instance knows.
    pub fn coordinator(&self) -> u16 {
        self.coordinator
    }

    /// Returns when [`Budgets::tick`] next has something to do.
    pub fn next_due(&self) -> Micros {
        if self.voter.is_some() {
            self.next_request_at.min(self.candidate.next_election_at)
        } else {
            self.next_request_at
        }
    }

    /// Does what is due by now: elections, lease requests, and the end of a lease that ran out.
    pub fn tick(&mut self, now: Micros, outbox: &mut Outbox) {
        self.now = self.now.max(now);
        let now = self.now;
        if self.voter.is_some() && now >= self.candidate.next_election_at {
            self.advance_election(now, outbox);
        }
        if now >= self.next_request_at {
            self.send_request(now, outbox);
        }
        self.counters.leases_expired += u64::from(self.holder.expire(now));
    }

    /// Gives up the lease and any authority for good, and tells the coordinator so. [`Budgets::share`] then
    /// returns the floor alone.
    pub fn leave(&mut self, outbox: &mut Outbox) {
        self.has_left = true;
        self.holder.drop_leases();
        self.demands.fill(0);
        let to = self.coordinator;
        self.send(to, &Body::Leave, outbox);
        self.next_request_at = Micros::MAX;
        self.candidate.resign();
    }

    fn send(&mut self, to: u16, body: &Body, outbox: &mut Outbox) {
        if to == self.identity.index {
            // A message to itself needs no network; the answer follows at once.
            return self.handle(self.identity, body.clone(), outbox);
        }
        let bytes = wire::write(self.identity, body);
        self.counters.sent_bytes += bytes.len() as u64;
        outbox.push((to, bytes));
    }

    /// Takes the next step of an election and schedules the one after it. A coordinator asks the voters
    /// again, early enough to keep its authority. Another candidate asks them when its own vote is free. The
    /// votes of an election that was not won are released, otherwise two candidates with a minority each
    /// would block all others.
    fn advance_election(&mut self, now: Micros, outbox: &mut Outbox) {
        let (lease, is_coordinator) = (self.terms.lease, self.is_coordinator(now));
        // Two candidates that ask at the same time split the votes; a random delay separates them.
        let random_delay = self.rng.next_u64() % (lease / 2).max(1);
        let body = match self.candidate.abandon_election().filter(|_| !is_coordinator) {
            Some(request_id) => {
                self.candidate.next_election_at = now + lease / 8 + random_delay;
                Body::ReleaseVote { request_id }
            }
            None if is_coordinator => {
                self.candidate.next_election_at = now + lease / 3;
                Body::VoteRequest { request_id: self.candidate.start_election(now) }
            }
            None => {
                self.candidate.next_election_at = now + lease / 8 + random_delay;
                if self.voter.as_ref().is_some_and(|v| v.promised_to(now).is_some()) {
                    return;
                }
                self.candidate.next_election_at = now + lease / 4;
                Body::VoteRequest { request_id: self.candidate.start_election(now) }
            }
        };
        for v in self.voters.clone() {
            self.send(v, &body, outbox);
        }
    }

    fn send_request(&mut self, now: Micros, outbox: &mut Outbox) {
        let interval = self.terms.lease / REQUESTS_PER_LEASE;
        // Jitter, so that instances started together don't keep sending their requests together.
        self.next_request_at = now + interval - self.rng.next_u64() % (interval / 8).max(1);
        if self.unanswered_requests >= 2 {
            // The coordinator may have changed. Ask a random voter, which redirects to the one it has
            // promised its vote to.
            let voter = (self.rng.next_u64() % self.voters.len() as u64) as usize;
            self.coordinator = self.voters[voter];
        }
        self.unanswered_requests += 1;
        let held_request = self.holder.request_in_use();
        let request_id = self.holder.record_request(now, &self.demands);
        let body = Body::LeaseRequest { request_id, held_request, demands: self.demands.clone() };
        self.send(self.coordinator, &body, outbox);
    }

    /// Handles a message from a proxy of the file whose sender the caller has authenticated. A message that
    /// cannot be parsed is counted and changes nothing else.
    pub fn receive(&mut self, now: Micros, bytes: &[u8], outbox: &mut Outbox) {
        self.now = self.now.max(now);
        match wire::read(bytes)
            .filter(|(a, _)| a.index < self.terms.proxies && a.index != self.identity.index)
        {
            Some((author, body)) => self.handle(author, body, outbox),
            None => self.counters.malformed += 1,
        }
    }

    fn handle(&mut self, by: Author, body: Body, outbox: &mut Outbox) {
        let now = self.now;
        match body {
            Body::ReleaseVote { request_id } => {
                self.voter.iter_mut().for_each(|v| v.release(by, request_id));
            }
            Body::VoteRequest { request_id } => {
                let Some(voter) = &mut self.voter else { return };
                let granted =
                    self.voters.contains(&by.index) && voter.promise_vote(now, by, request_id, &self.terms);
                let to = voter.promised_to(now).map_or(by.index, |a| a.index);
                self.send(
                    by.index,
                    &Body::Vote { requester: by.incarnation, request_id, granted, to },
                    outbox,
                );
            }
            Body::Vote { requester, request_id, granted, to } if requester == self.identity.incarnation => {
                let voter = self.voters.iter().position(|v| *v == by.index);
                let (Some(voter), was_coordinator) = (voter, self.is_coordinator(now)) else { return };
                if !granted {
                    self.coordinator = to;
                } else if self.candidate.record_vote(voter, self.voters.len(), request_id, &self.terms) {
                    if !was_coordinator && self.is_coordinator(now) {
                        // All grants of other coordinators have ended by now, and so have those that this
                        // instance made when it was the coordinator before.
                        self.ledger = Ledger::new(now, &self.terms);
                        self.counters.times_elected += 1;
                        self.next_request_at = now;
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
                        self.send(by.index, &Body::Redirect { to }, outbox);
                    }
                    return;
                };
                let request = Request { by, request_id, held_request, demands: &demands };
                let until = authority_until.min(self.current_supply.until);
                if now >= until {
                    return;
                }
                let supply = Supply { pools: &self.current_supply.pools, until };
                if let Some(grant) = self.ledger.answer(now, &request, &supply, &self.terms) {
                    let duration = grant.duration as u32;
                    let body =
                        Body::Grant { requester: by.incarnation, request_id, duration, share: grant.share };
                    self.send(by.index, &body, outbox);
                }
            }
            Body::Grant { requester, request_id, duration, share }
                if requester == self.identity.incarnation && !self.has_left =>
            {
                self.receive_grant(by, ReceivedGrant { request_id, duration: Micros::from(duration), share });
            }
            // Answers to an earlier incarnation of this proxy.
            Body::Vote { .. } | Body::Grant { .. } => {}
            Body::Redirect { to } => {
                if to < self.terms.proxies && self.coordinator == by.index {
                    (self.coordinator, self.unanswered_requests) = (to, self.unanswered_requests.min(1));
                }
            }
            Body::Leave => self.ledger.record_leave(by),
        }
    }

    fn receive_grant(&mut self, by: Author, grant: ReceivedGrant) {
        let outcome = self.holder.receive(self.now, grant, &self.terms);
        if outcome == GrantOutcome::Ignored {
            return;
        }
        (self.coordinator, self.unanswered_requests) = (by.index, 0);
        if outcome == GrantOutcome::Shrunk {
            self.next_request_at = self.next_request_at.min(self.now + SHRUNK_REPORT_DELAY);
        }
    }
}
