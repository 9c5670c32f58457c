//! The grantor's ledger: what each holder may still be using, and what it is granted next. It owns the sum. It must
//! never count less than what a holder may use, nor grant beyond its authority.
//!
//! **What a question costs.** It changes the grants of one holder, at most six. What counts of each budget is kept as a
//! sum: the holder's old part is taken off and its new one added. A queue of one entry a holder says whose grants run
//! out next; each grant runs out once, so that over time no more holders are looked at than questions came. (After a
//! silence one question ends all that ran out meanwhile.) The division is one descent of a tree
//! ([`crate::fair_share`]). No step grows with the number of holders beyond its logarithm.
//!
//! **Why no sum passes the pool.** A grant is no more than the pool less what counts of all others, the former lives of
//! the asker among them; of the asker's own life the largest grant counts. So after an answer the sum is at most the
//! pool, or what it was before where that was more: where a pool shrank below what is granted. This holds whatever the
//! division says.
use crate::fair_share::{Allocation, FairShare, HolderState};
use crate::wire::Author;
use crate::{Amounts, Terms};
use nickelgate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Grants of one holder that may count at once: with as many out it gets no other until one is acknowledged or over.
const MOST_OUT: usize = 6;
/// A time that is always past: the holder is looked at with the next question.
const AT_ONCE: Micros = 0;

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
    /// The newest question of that life.
    request_id: u32,
    heard: Micros,
    outstanding: Vec<Outstanding>,
    /// Of each budget.
    states: Vec<HolderState>,
    /// Its entry in the queue: when it has to be looked at.
    due: Micros,
}

impl Holder {
    /// The largest grant of one life.
    fn largest(&self, budget: usize, incarnation: u64) -> u32 {
        let of_life = self.outstanding.iter().filter(|grant| grant.incarnation == incarnation);
        of_life.map(|grant| units(&grant.share, budget)).max().unwrap_or(0)
    }

    /// What its lives may be using, but for one: of each the largest grant that counts.
    fn counted(&self, budget: usize, but: Option<u64>) -> u32 {
        let mut sum = 0;
        for (at, grant) in self.outstanding.iter().enumerate() {
            let life_is_counted =
                self.outstanding[..at].iter().any(|other| other.incarnation == grant.incarnation);
            if Some(grant.incarnation) != but && !life_is_counted {
                sum += self.largest(budget, grant.incarnation);
            }
        }
        sum
    }

    /// When its next grant runs out; without one, when it is forgotten.
    fn next_due(&self, terms: &Terms) -> Micros {
        let ends = self.outstanding.iter().map(|grant| grant.until);
        ends.min().unwrap_or(self.heard + terms.lease)
    }

    fn is_over(&self, now: Micros, terms: &Terms) -> bool {
        self.outstanding.is_empty() && now >= self.heard + terms.lease
    }

    /// Whether this question or a newer one of that life was heard before.
    fn has_heard(&self, request: &Request) -> bool {
        let newer = request.request_id.wrapping_sub(self.request_id) as i32 > 0;
        self.incarnation == request.by.incarnation && !newer && self.heard > 0
    }

    /// Takes a question in. The holder uses the grant that it names or a later one: the earlier ones are over.
    fn hear(&mut self, now: Micros, request: &Request) {
        let Request { by, request_id, held_request, .. } = *request;
        (self.incarnation, self.request_id, self.heard) = (by.incarnation, request_id, now);
        let counts = |grant: &Outstanding| held_request.wrapping_sub(grant.request_id) as i32 <= 0;
        self.outstanding.retain(|grant| grant.incarnation != by.incarnation || counts(grant));
    }
}

fn units(amounts: &[u32], budget: usize) -> u32 {
    amounts.get(budget).copied().unwrap_or(0)
}

/// A holder's question.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Who asks.
    pub by: Author,
    /// The number of the question, higher with each question of one life.
    pub request_id: u32,
    /// The question that brought the grant that the holder uses.
    pub held_request: u32,
    /// What the holder would use of each budget, in units.
    pub demands: &'a [u32],
}

/// What may be handed on.
#[derive(Clone, Copy, Debug)]
pub struct Supply<'a> {
    /// Units of each budget. They may change from question to question, also to less than is granted: nothing more is
    /// granted then until enough has ended.
    pub pools: &'a [u32],
    /// Until when, already limited to the authority.
    pub until: Micros,
}

/// The answer to a holder's question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// How long the share lasts, from when the question was sent.
    pub duration: Micros,
    /// Units of each budget.
    pub share: Amounts,
}

/// The ledger of one authority. A new authority begins with an empty one, as all grants of others are over by then.
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
/// assert_eq!(ask(second, 700_000, 1, 0), Some(0), "all of it is out");
/// assert_eq!(ask(first, 800_000, 2, 1), Some(5), "an even part");
/// assert_eq!(ask(second, 900_000, 2, 1), Some(0), "the first may still use its earlier grant");
/// assert_eq!(ask(first, 910_000, 3, 2), Some(5), "now it says that it does not");
/// assert_eq!(ask(second, 920_000, 3, 2), Some(5));
/// assert_eq!(ask(second, 920_000, 3, 2), None, "an old question");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Its first holders do not take what those get that are yet to ask: until then none gets more than an even part of
    /// all in the file.
    hears_until: Micros,
    holders: BTreeMap<u16, Holder>,
    /// When each holder has to be looked at, the soonest first.
    dues: BTreeSet<(Micros, u16)>,
    /// The division of each budget.
    divisions: Vec<FairShare>,
}

impl Ledger {
    /// The ledger of an authority that begins now.
    pub fn new(now: Micros, terms: &Terms) -> Ledger {
        Ledger { hears_until: now + terms.lease / 2, ..Ledger::default() }
    }

    /// Answers a holder's question. Nothing for one that was overtaken, or of a holder with too many grants out.
    pub fn answer(
        &mut self,
        now: Micros,
        request: &Request,
        supply: &Supply,
        terms: &Terms,
    ) -> Option<Grant> {
        self.expire(now, terms);
        let known = self.holders.get(&request.by.index);
        if known.is_some_and(|holder| holder.has_heard(request)) {
            return None;
        }
        let index = request.by.index;
        if self.divisions.len() < supply.pools.len() {
            self.divisions.resize_with(supply.pools.len(), FairShare::default);
        }
        let mut holder = self.holders.remove(&index).unwrap_or_default();
        holder.states.resize_with(self.divisions.len(), HolderState::default);
        holder.hear(now, request);
        let grant = self.divide(now, request, supply, terms, &mut holder);
        let due = holder.next_due(terms);
        self.put(index, holder, due);
        grant
    }

    /// One has left by will and uses nothing any more.
    pub fn record_leave(&mut self, by: Author) {
        let Some(mut holder) = self.holders.remove(&by.index) else { return };
        holder.outstanding.retain(|grant| grant.incarnation != by.incarnation);
        self.recount(by.index, &mut holder);
        if holder.incarnation == by.incarnation {
            self.clear_demand(by.index, &mut holder);
        }
        self.put(by.index, holder, AT_ONCE);
    }

    /// Units of a budget that holders may still be using now: the sum of what counts of each holder.
    pub fn granted(&mut self, now: Micros, budget: usize, terms: &Terms) -> u32 {
        self.expire(now, terms);
        let sum = self.divisions.get(budget).map_or(0, FairShare::granted);
        u32::try_from(sum).unwrap_or(u32::MAX)
    }

    /// The sum of the newest wants of the holders that are known.
    pub fn total_demand(&self, budget: usize) -> u64 {
        self.divisions.get(budget).map_or(0, FairShare::total_demand)
    }

    /// Divides what is free; nothing for a holder with too many grants out.
    fn divide(
        &mut self,
        now: Micros,
        request: &Request,
        supply: &Supply,
        terms: &Terms,
        holder: &mut Holder,
    ) -> Option<Grant> {
        let by = request.by;
        self.recount(by.index, holder);
        let parts = self.allocations(request, supply, holder);
        if holder.outstanding.len() >= MOST_OUT {
            return None;
        }
        let mut share = Amounts::new();
        for (budget, (part, pool)) in parts.iter().zip(supply.pools).enumerate() {
            let most =
                if now < self.hears_until { pool / u32::from(terms.proxies.max(1)) } else { part.units };
            let given = part.units.min(most).min(self.free(budget, *pool, by.incarnation, holder));
            if part.has_extra && given == part.units {
                self.divisions[budget].record_extra_unit(by.index, &mut holder.states[budget]);
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
        self.recount(by.index, holder);
        Some(Grant { duration, share })
    }

    /// The holder's fair part of each budget, whether it is free or not.
    fn allocations(&mut self, request: &Request, supply: &Supply, holder: &mut Holder) -> Vec<Allocation> {
        let mut parts = Vec::new();
        for (budget, pool) in supply.pools.iter().enumerate() {
            let demand = units(request.demands, budget);
            let state = &mut holder.states[budget];
            parts.push(self.divisions[budget].allocate(request.by.index, state, demand, *pool));
        }
        parts
    }

    /// What is left of a pool by all others, the holder's other lives among them.
    fn free(&self, budget: usize, pool: u32, incarnation: u64, holder: &Holder) -> u32 {
        let own = holder.states[budget].granted() - holder.counted(budget, Some(incarnation));
        let others = self.divisions[budget].granted() - u64::from(own);
        u64::from(pool).saturating_sub(others) as u32
    }

    /// Brings the sums up to date with the holder's grants.
    fn recount(&mut self, index: u16, holder: &mut Holder) {
        for budget in 0..holder.states.len() {
            let counted = holder.counted(budget, None);
            self.divisions[budget].set_granted(index, &mut holder.states[budget], counted);
        }
    }

    fn clear_demand(&mut self, index: u16, holder: &mut Holder) {
        for (division, state) in self.divisions.iter_mut().zip(&mut holder.states) {
            division.clear_demand(index, state);
        }
    }

    /// Puts a holder back that was taken out, to be looked at when it is due.
    fn put(&mut self, index: u16, mut holder: Holder, due: Micros) {
        self.dues.remove(&(holder.due, index));
        holder.due = due;
        self.dues.insert((due, index));
        self.holders.insert(index, holder);
    }

    /// Ends what has run out by now, and forgets holders of whom nothing is left.
    fn expire(&mut self, now: Micros, terms: &Terms) {
        while let Some((due, index)) = self.dues.first().copied() {
            if now < due {
                return;
            }
            self.dues.remove(&(due, index));
            let Some(mut holder) = self.holders.remove(&index) else { continue };
            holder.outstanding.retain(|grant| now < grant.until);
            self.recount(index, &mut holder);
            if holder.is_over(now, terms) {
                self.clear_demand(index, &mut holder);
            } else {
                let due = holder.next_due(terms);
                self.put(index, holder, due);
            }
        }
    }
}
