//! The division of a budget by sorting all holders at each request: the reference for the incremental
//! division of [`threadward_budgets::grant`], and a measurement of what both cost.
//!
//! This is the plain algorithm as the program once had it. The program doesn't use it any more: the cost of a
//! request grows with the number of holders, and the number of requests grows with the size of the fleet too.
//!
//! [`request_nanoseconds`] reads the system clock, only to measure: no simulation depends on it.
use nickelgate::Micros;
use std::collections::BTreeMap;
use std::time::Instant;
use threadward_budgets::grant::{Grant, Ledger, Request, Supply};
use threadward_budgets::wire::Author;
use threadward_budgets::{Amounts, Terms};

/// Largest number of outstanding grants of one holder. It gets no further one until one is acknowledged or
/// has ended.
const MAX_OUTSTANDING_GRANTS: usize = 6;

/// A grant that may still be used.
#[derive(Clone, Debug)]
struct OutstandingGrant {
    incarnation: u64,
    request_number: u32,
    until: Micros,
    share: Amounts,
}

#[derive(Clone, Debug, Default)]
struct Holder {
    incarnation: u64,
    /// The newest request of that incarnation.
    request_number: u32,
    /// When that request was received.
    last_request_at: Micros,
    newest_demands: Amounts,
    outstanding: Vec<OutstandingGrant>,
    /// For each budget, the number of grants that gave the holder a remainder unit beyond the even part.
    remainder_grants: Vec<u64>,
}

impl Holder {
    /// Returns what its incarnations may be using, without `except`: the sum of the largest outstanding grant
    /// of each.
    fn outstanding_units(&self, budget: usize, except: Option<u64>) -> u32 {
        let mut by_incarnation: BTreeMap<u64, u32> = BTreeMap::new();
        for o in self.outstanding.iter().filter(|o| Some(o.incarnation) != except) {
            let largest = by_incarnation.entry(o.incarnation).or_default();
            *largest = (*largest).max(o.share.get(budget).copied().unwrap_or(0));
        }
        by_incarnation.values().sum()
    }

    /// Returns its rank for a remainder unit, the lowest first: holders with the fewest turns and, among
    /// equals, those that hold a unit already.
    fn rank(&self, budget: usize) -> u64 {
        self.remainder_grants.get(budget).copied().unwrap_or(0) / GRANTS_PER_TURN * 2
            + u64::from(self.outstanding_units(budget, None) == 0)
    }
}

/// Number of grants in a turn. That many grants cover two lease times.
const GRANTS_PER_TURN: u64 = 8;

/// The ledger of one coordinator's term, with the answers of [`Ledger`] and a cost that grows with the number
/// of holders.
#[derive(Clone, Debug, Default)]
pub struct PlainLedger {
    /// Until then no holder gets more than an even part among all proxies of the file, so that the first to
    /// ask don't take the share of those that have yet to ask.
    startup_ends_at: Micros,
    holders: BTreeMap<u16, Holder>,
}

impl PlainLedger {
    /// Creates the ledger of a coordinator whose authority begins now.
    pub fn new(now: Micros, terms: &Terms) -> PlainLedger {
        PlainLedger { startup_ends_at: now + terms.lease / 2, holders: BTreeMap::new() }
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
        let Request { by, request_id: number, held_request: held, .. } = *request;
        let holder = self.holders.entry(by.index).or_default();
        if holder.incarnation == by.incarnation
            && number.wrapping_sub(holder.request_number) as i32 <= 0
            && holder.last_request_at > 0
        {
            return None;
        }
        (holder.incarnation, holder.request_number, holder.last_request_at) = (by.incarnation, number, now);
        holder.newest_demands = request.demands.to_vec();
        // The holder uses that grant or a later one, so the earlier ones have ended.
        holder
            .outstanding
            .retain(|o| o.incarnation != by.incarnation || held.wrapping_sub(o.request_number) as i32 <= 0);
        if holder.outstanding.len() >= MAX_OUTSTANDING_GRANTS {
            return None;
        }
        let until = supply.until.min(now + terms.lengthened(terms.lease));
        let grant_duration = terms.fit_lengthened(until.saturating_sub(now));
        let mut share = Amounts::new();
        let mut got_remainder = Vec::new();
        for (budget, pool) in supply.pools.iter().enumerate() {
            let own = |holder_index: &u16| (*holder_index == by.index).then_some(by.incarnation);
            let units = |(holder_index, holder): (&u16, &Holder)| {
                u64::from(holder.outstanding_units(budget, own(holder_index)))
            };
            let others: u64 = self.holders.iter().map(units).sum();
            let free = u64::from(*pool).saturating_sub(others) as u32;
            let (target, has_remainder) = self.target(budget, by.index, *pool);
            let limit =
                if now < self.startup_ends_at { pool / u32::from(terms.proxies.max(1)) } else { target };
            let granted_units = target.min(limit).min(free);
            share.push(granted_units);
            got_remainder.push(u64::from(has_remainder && granted_units == target));
        }
        let holder = self.holders.get_mut(&by.index)?;
        holder.remainder_grants.resize(got_remainder.len(), 0);
        holder.remainder_grants.iter_mut().zip(got_remainder).for_each(|(all, one)| *all += one);
        holder.outstanding.push(OutstandingGrant {
            incarnation: by.incarnation,
            request_number: number,
            until,
            share: share.clone(),
        });
        Some(Grant { duration: grant_duration, share })
    }

    /// Returns the units of a budget that holders may still be using now.
    pub fn granted(&mut self, now: Micros, budget: usize, terms: &Terms) -> u32 {
        self.expire(now, terms);
        let sum: u64 =
            self.holders.values().map(|holder| u64::from(holder.outstanding_units(budget, None))).sum();
        u32::try_from(sum).unwrap_or(u32::MAX)
    }

    /// Returns the sum of the newest demands of the known holders.
    pub fn total_demand(&self, budget: usize) -> u64 {
        let demand = |holder: &Holder| u64::from(holder.newest_demands.get(budget).copied().unwrap_or(0));
        self.holders.values().map(demand).sum()
    }

    /// Records that a holder has announced its leave and doesn't use anything any more.
    pub fn record_leave(&mut self, by: Author) {
        if let Some(h) = self.holders.get_mut(&by.index) {
            h.outstanding.retain(|o| o.incarnation != by.incarnation);
            if h.incarnation == by.incarnation {
                h.newest_demands.clear();
            }
        }
    }

    /// Removes grants that have ended, and holders that have neither a grant nor asked within the lease time.
    fn expire(&mut self, now: Micros, terms: &Terms) {
        for h in self.holders.values_mut() {
            h.outstanding.retain(|o| now < o.until);
        }
        self.holders.retain(|_, h| !h.outstanding.is_empty() || now < h.last_request_at + terms.lease);
    }

    /// Returns the max-min fair part of one holder (an even part of what is left by those that want less),
    /// and whether it contains a remainder unit. Remainder units rotate among the holders after a turn each,
    /// not at every grant, because nobody uses a unit while it passes from one holder to another.
    fn target(&self, budget: usize, holder_index: u16, pool: u32) -> (u32, bool) {
        let want = |h: &Holder| h.newest_demands.get(budget).copied().unwrap_or(0);
        let mut all: Vec<(u32, u64, u16)> = self
            .holders
            .iter()
            .filter(|(_, h)| want(h) > 0)
            .map(|(p, h)| (want(h), h.rank(budget), *p))
            .collect();
        all.sort_unstable();
        let mut remaining = pool;
        for (i, (want, ..)) in all.iter().enumerate() {
            let holders_left = (all.len() - i) as u32;
            let even = remaining / holders_left;
            if *want > even {
                // All holders from here on want more than an even part.
                let mut rest: Vec<(u64, u16)> = all[i..].iter().map(|(_, turns, p)| (*turns, *p)).collect();
                rest.sort_unstable();
                let remainder = (remaining % holders_left) as usize;
                let at = rest.iter().position(|(_, p)| *p == holder_index);
                return at.map_or_else(
                    || full_demand(&all[..i], holder_index),
                    |at| (even + u32::from(at < remainder), at < remainder),
                );
            }
            remaining -= want;
        }
        full_demand(&all, holder_index)
    }
}

/// Returns the demand of a holder that gets all of it, and that it gets no remainder unit.
fn full_demand(all: &[(u32, u64, u16)], holder_index: u16) -> (u32, bool) {
    (all.iter().find(|(.., p)| *p == holder_index).map_or(0, |(want, ..)| *want), false)
}

/// Largest number of holders for which the plain division is measured: the cost of one request from each
/// holder grows with the square of that number.
const MAX_PLAIN_HOLDERS: u16 = 3_000;
/// Number of requests of each holder before the measurement, after which all grants are as in a fleet that
/// has been running for long.
const WARM_UP_ROUNDS: u32 = 2;
/// Units of the first budget per holder. The second budget is a single unit.
const UNITS_PER_HOLDER: u32 = 10;
/// Lease time.
const LEASE: Micros = 1_200_000;

/// What one request costs the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestCost {
    /// Nanoseconds with the plain division; `None` for more holders than it is measured for.
    pub plain: Option<u64>,
    /// Nanoseconds with the program's ledger.
    pub incremental: u64,
}

/// Measures with the system clock what a request costs: the mean over `requests` requests of `holders` live
/// holders, which all want everything of two budgets and ask in turn, four times per lease time.
pub fn request_nanoseconds(holders: u16, requests: u32) -> RequestCost {
    let terms = Terms {
        lease: LEASE,
        proxies: holders,
        pools: vec![UNITS_PER_HOLDER * u32::from(holders), 1],
        floors: vec![0, 0],
    };
    let mut ledger = Ledger::new(0, &terms);
    let incremental = mean_cost(holders, requests, &terms, |now, request, supply| {
        ledger.answer(now, request, supply, &terms)
    });
    let mut plain_ledger = PlainLedger::new(0, &terms);
    let plain = (holders <= MAX_PLAIN_HOLDERS).then(|| {
        mean_cost(holders, requests, &terms, |now, request, supply| {
            plain_ledger.answer(now, request, supply, &terms)
        })
    });
    RequestCost { plain, incremental }
}

/// Returns the mean nanoseconds of a request, after some rounds that aren't measured.
fn mean_cost(
    holders: u16,
    requests: u32,
    terms: &Terms,
    mut answer: impl FnMut(Micros, &Request, &Supply) -> Option<Grant>,
) -> u64 {
    let interval = LEASE / 4 / Micros::from(holders);
    let mut ask = |number: u32| {
        let now = 1 + Micros::from(number) * interval;
        let round = number / u32::from(holders);
        let by = Author { index: (number % u32::from(holders)) as u16, incarnation: 1 };
        let request = Request { by, request_id: round + 1, held_request: round, demands: &terms.pools };
        let supply = Supply { pools: &terms.pools, until: now + 2 * LEASE };
        let grant = answer(now, &request, &supply);
        assert!(grant.is_some(), "request {number} of {holders} holders was not answered");
    };
    let warm_up = WARM_UP_ROUNDS * u32::from(holders);
    (0..warm_up).for_each(&mut ask);
    let from = Instant::now();
    (warm_up..warm_up + requests).for_each(&mut ask);
    (from.elapsed().as_nanos() / u128::from(requests.max(1))) as u64
}
