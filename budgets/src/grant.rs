//! The coordinator's ledger: what each holder may still be using, and what it is granted next. It never
//! counts less than what a holder may use, and never grants beyond the end of the coordinator's authority.
//!
//! **Cost of a request.** A request changes the grants of one holder, at most six. For each budget the
//! ledger keeps the sum of what counts as granted: the holder's old contribution is subtracted and its new
//! one added. A queue with one entry per holder says whose grants run out next. Each grant runs out once, so
//! over time no more holders are visited than requests were received, although one request after a silence
//! ends all grants that ran out meanwhile. The division is one descent of a tree ([`crate::fair_share`]). No
//! step grows faster than the logarithm of the number of holders.
//!
//! **Why no sum exceeds the pool.** A grant is at most the pool minus what counts for all others, earlier
//! incarnations of the requester included; for the requester's own incarnation its largest grant counts. So
//! after an answer the sum is at most the pool, or what it was before where that was more, which happens if a
//! pool shrank below what is granted. This holds whatever the division computes.
use crate::fair_share::{Allocation, FairShare, HolderState};
use crate::wire::Author;
use crate::{Amounts, Terms};
use nickelgate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Largest number of outstanding grants of one holder. It gets no further one until one is acknowledged or
/// has ended.
const MAX_OUTSTANDING_GRANTS: usize = 6;
/// A due time in the past: the holder is visited at the next request.
const DUE_IMMEDIATELY: Micros = 0;

/// A grant that may still be used.
#[derive(Clone, Debug)]
struct Outstanding {
    incarnation: u64,
    request_id: u32,
    until: Micros,
    share: Amounts,
}

#[derive(Clone, Debug, Default)]
struct Holder {
    incarnation: u64,
    /// The newest request of that incarnation.
    request_id: u32,
    last_request_at: Micros,
    outstanding: Vec<Outstanding>,
    /// Its part in the division of each budget.
    division_states: Vec<HolderState>,
    /// Its key in [`Ledger::due_queue`]: when it must be visited next.
    due: Micros,
}

impl Holder {
    /// Returns the largest outstanding grant of one incarnation.
    fn largest_grant(&self, budget: usize, incarnation: u64) -> u32 {
        let of_incarnation = self.outstanding.iter().filter(|grant| grant.incarnation == incarnation);
        of_incarnation.map(|grant| units(&grant.share, budget)).max().unwrap_or(0)
    }

    /// Returns what its incarnations may be using, without `except`: the sum of the largest outstanding
    /// grant of each.
    fn units_in_use(&self, budget: usize, except: Option<u64>) -> u32 {
        let mut sum = 0;
        for (at, grant) in self.outstanding.iter().enumerate() {
            let counted_before =
                self.outstanding[..at].iter().any(|other| other.incarnation == grant.incarnation);
            if Some(grant.incarnation) != except && !counted_before {
                sum += self.largest_grant(budget, grant.incarnation);
            }
        }
        sum
    }

    /// Returns when its next grant runs out or, without a grant, when it may be forgotten.
    fn next_due(&self, terms: &Terms) -> Micros {
        let ends = self.outstanding.iter().map(|grant| grant.until);
        ends.min().unwrap_or(self.last_request_at + terms.lease)
    }

    fn can_be_forgotten(&self, now: Micros, terms: &Terms) -> bool {
        self.outstanding.is_empty() && now >= self.last_request_at + terms.lease
    }

    /// Returns whether this request or a newer one of the same incarnation was received before.
    fn is_outdated(&self, request: &Request) -> bool {
        let newer = request.request_id.wrapping_sub(self.request_id) as i32 > 0;
        self.incarnation == request.by.incarnation && !newer && self.last_request_at > 0
    }

    /// Records a request. The holder uses the grant that it names or a later one, so earlier grants are
    /// removed.
    fn record_request(&mut self, now: Micros, request: &Request) {
        let Request { by, request_id, held_request, .. } = *request;
        (self.incarnation, self.request_id, self.last_request_at) = (by.incarnation, request_id, now);
        let counts = |grant: &Outstanding| held_request.wrapping_sub(grant.request_id) as i32 <= 0;
        self.outstanding.retain(|grant| grant.incarnation != by.incarnation || counts(grant));
    }
}

fn units(amounts: &[u32], budget: usize) -> u32 {
    amounts.get(budget).copied().unwrap_or(0)
}

/// A holder's request for a lease.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The holder that sent it.
    pub by: Author,
    /// Number of the request; it increases with each request of one incarnation.
    pub request_id: u32,
    /// Number of the request whose grant the holder uses.
    pub held_request: u32,
    /// What the holder would use of each budget beyond its floor, in units.
    pub demands: &'a [u32],
}

/// What the coordinator may divide.
#[derive(Clone, Copy, Debug)]
pub struct Supply<'a> {
    /// Units of each budget. They may change between requests, also to less than is granted already: nothing
    /// more is granted then until enough grants have ended.
    pub pools: &'a [u32],
    /// Until when the supply lasts, no later than the end of the coordinator's authority.
    pub until: Micros,
}

/// The answer to a holder's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// How long the share lasts, counted from when the request was sent.
    pub duration: Micros,
    /// Units of each budget.
    pub share: Amounts,
}

/// The ledger of one coordinator's term. A new coordinator begins with an empty ledger, since all grants of
/// its predecessors have ended by then.
///
/// ```
/// use threadward_budgets::{grant::{Ledger, Request, Supply}, wire::Author, Terms};
///
/// let terms = Terms { lease: 1_000_000, proxies: 2, pools: vec![10], floors: vec![0] };
/// let mut ledger = Ledger::new(0, &terms);
/// let (first, second) = (Author { index: 0, incarnation: 1 }, Author { index: 1, incarnation: 1 });
/// let supply = Supply { pools: &terms.pools, until: 9_000_000 };
/// let mut ask = |by, now, request_id, held_request| {
///     let request = Request { by, request_id, held_request, demands: &[10] };
///     ledger.answer(now, &request, &supply, &terms).map(|grant| grant.share[0])
/// };
/// assert_eq!(ask(first, 600_000, 1, 0), Some(10), "nobody else has asked");
/// assert_eq!(ask(second, 700_000, 1, 0), Some(0), "all of it is granted");
/// assert_eq!(ask(first, 800_000, 2, 1), Some(5), "an even part");
/// assert_eq!(ask(second, 900_000, 2, 1), Some(0), "the first may still use its earlier grant");
/// assert_eq!(ask(first, 910_000, 3, 2), Some(5), "now it reports that it does not");
/// assert_eq!(ask(second, 920_000, 3, 2), Some(5));
/// assert_eq!(ask(second, 920_000, 3, 2), None, "an outdated request");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Until then no holder gets more than an even part among all proxies of the file, so that the first to
    /// ask don't take the share of those that have yet to ask.
    even_parts_until: Micros,
    holders: BTreeMap<u16, Holder>,
    /// When each holder must be visited, the soonest first.
    due_queue: BTreeSet<(Micros, u16)>,
    /// The division of each budget.
    divisions: Vec<FairShare>,
}

impl Ledger {
    /// Creates the ledger of a coordinator whose authority begins now.
    pub fn new(now: Micros, terms: &Terms) -> Ledger {
        Ledger { even_parts_until: now + terms.lease / 2, ..Ledger::default() }
    }

    /// Records a holder's request and returns the grant that answers it. Returns `None` for a request that
    /// was overtaken by a newer one, and for a holder with too many outstanding grants.
    pub fn answer(
        &mut self,
        now: Micros,
        request: &Request,
        supply: &Supply,
        terms: &Terms,
    ) -> Option<Grant> {
        self.expire(now, terms);
        let known = self.holders.get(&request.by.index);
        if known.is_some_and(|holder| holder.is_outdated(request)) {
            return None;
        }
        let index = request.by.index;
        if self.divisions.len() < supply.pools.len() {
            self.divisions.resize_with(supply.pools.len(), FairShare::default);
        }
        let mut holder = self.holders.remove(&index).unwrap_or_default();
        holder.division_states.resize_with(self.divisions.len(), HolderState::default);
        holder.record_request(now, request);
        let grant = self.grant_fair_share(now, request, supply, terms, &mut holder);
        let due = holder.next_due(terms);
        self.reinsert(index, holder, due);
        grant
    }

    /// Records that an incarnation has left on purpose and uses nothing any more.
    pub fn record_leave(&mut self, by: Author) {
        let Some(mut holder) = self.holders.remove(&by.index) else { return };
        holder.outstanding.retain(|grant| grant.incarnation != by.incarnation);
        self.update_sums(by.index, &mut holder);
        if holder.incarnation == by.incarnation {
            self.clear_demand(by.index, &mut holder);
        }
        self.reinsert(by.index, holder, DUE_IMMEDIATELY);
    }

    /// Returns the units of a budget that holders may still be using now. Ends grants that have run out.
    pub fn granted(&mut self, now: Micros, budget: usize, terms: &Terms) -> u32 {
        self.expire(now, terms);
        let sum = self.divisions.get(budget).map_or(0, FairShare::granted);
        u32::try_from(sum).unwrap_or(u32::MAX)
    }

    /// Returns the sum of the newest demands of the known holders.
    pub fn total_demand(&self, budget: usize) -> u64 {
        self.divisions.get(budget).map_or(0, FairShare::total_demand)
    }

    /// Grants the holder its fair share as far as it is free, and records the grant. Returns `None` for a
    /// holder with too many outstanding grants.
    fn grant_fair_share(
        &mut self,
        now: Micros,
        request: &Request,
        supply: &Supply,
        terms: &Terms,
        holder: &mut Holder,
    ) -> Option<Grant> {
        let by = request.by;
        self.update_sums(by.index, holder);
        let allocations = self.compute_allocations(request, supply, holder);
        if holder.outstanding.len() >= MAX_OUTSTANDING_GRANTS {
            return None;
        }
        let mut share = Amounts::new();
        for (budget, (allocation, pool)) in allocations.iter().zip(supply.pools).enumerate() {
            let limit = if now < self.even_parts_until {
                pool / u32::from(terms.proxies.max(1))
            } else {
                allocation.units
            };
            let given =
                allocation.units.min(limit).min(self.free_units(budget, *pool, by.incarnation, holder));
            if allocation.has_extra && given == allocation.units {
                self.divisions[budget].record_extra_unit(by.index, &mut holder.division_states[budget]);
            }
            share.push(given);
        }
        let until = supply.until.min(now + terms.lengthened(terms.lease));
        let duration = terms.fit_lengthened(until.saturating_sub(now));
        let Request { request_id, .. } = *request;
        holder.outstanding.push(Outstanding {
            incarnation: by.incarnation,
            request_id,
            until,
            share: share.clone(),
        });
        self.update_sums(by.index, holder);
        Some(Grant { duration, share })
    }

    /// Records the holder's demands and returns its fair share of each budget, whether it is free or not.
    fn compute_allocations(
        &mut self,
        request: &Request,
        supply: &Supply,
        holder: &mut Holder,
    ) -> Vec<Allocation> {
        let mut allocations = Vec::new();
        for (budget, pool) in supply.pools.iter().enumerate() {
            let demand = units(request.demands, budget);
            let state = &mut holder.division_states[budget];
            allocations.push(self.divisions[budget].allocate(request.by.index, state, demand, *pool));
        }
        allocations
    }

    /// Returns what all others, the holder's other incarnations among them, leave of a pool.
    fn free_units(&self, budget: usize, pool: u32, incarnation: u64, holder: &Holder) -> u32 {
        let own = holder.division_states[budget].granted() - holder.units_in_use(budget, Some(incarnation));
        let others = self.divisions[budget].granted() - u64::from(own);
        u64::from(pool).saturating_sub(others) as u32
    }

    /// Updates the sums of granted units to the holder's outstanding grants.
    fn update_sums(&mut self, index: u16, holder: &mut Holder) {
        for budget in 0..holder.division_states.len() {
            let in_use = holder.units_in_use(budget, None);
            self.divisions[budget].set_granted(index, &mut holder.division_states[budget], in_use);
        }
    }

    fn clear_demand(&mut self, index: u16, holder: &mut Holder) {
        for (division, state) in self.divisions.iter_mut().zip(&mut holder.division_states) {
            division.clear_demand(index, state);
        }
    }

    /// Puts back a holder that was taken out of the map, and schedules its next visit.
    fn reinsert(&mut self, index: u16, mut holder: Holder, due: Micros) {
        self.due_queue.remove(&(holder.due, index));
        holder.due = due;
        self.due_queue.insert((due, index));
        self.holders.insert(index, holder);
    }

    /// Ends the grants that have run out by now, and forgets holders without grants that have been silent for
    /// a lease time.
    fn expire(&mut self, now: Micros, terms: &Terms) {
        while let Some((due, index)) = self.due_queue.first().copied() {
            if now < due {
                return;
            }
            self.due_queue.remove(&(due, index));
            let Some(mut holder) = self.holders.remove(&index) else { continue };
            holder.outstanding.retain(|grant| now < grant.until);
            self.update_sums(index, &mut holder);
            if holder.can_be_forgotten(now, terms) {
                self.clear_demand(index, &mut holder);
            } else {
                let due = holder.next_due(terms);
                self.reinsert(index, holder, due);
            }
        }
    }
}
