//! The division of a budget by sorting all holders at each question: the reference for the incremental one of
//! [`threadward_budgets::grant`], and what both cost. It owns the plain algorithm as the program had it. The program
//! never uses it: a question costs time that grows with the number of holders, and a fleet asks in step with its size.
//!
//! [`request_nanoseconds`] reads the system's clock, for a figure alone: no run depends on it.
use nickelgate::Micros;
use std::collections::BTreeMap;
use std::time::Instant;
use threadward_budgets::grant::{Grant, Ledger, Request, Supply};
use threadward_budgets::wire::Author;
use threadward_budgets::{Amounts, Terms};

/// Grants of one holder that may count at once: with as many out it gets no other until one is acknowledged or over.
const COUNTED: usize = 6;

/// A grant that may still be used.
#[derive(Clone, Debug)]
struct Out {
    life: u64,
    question: u32,
    until: Micros,
    share: Amounts,
}

#[derive(Clone, Debug, Default)]
struct Holder {
    life: u64,
    /// The newest question of that life.
    question: u32,
    heard: Micros,
    wants: Amounts,
    out: Vec<Out>,
    /// Grants that gave it a unit over the even part, of each budget.
    turns: Vec<u64>,
}

impl Holder {
    /// What all its lives may be using: of each life the largest grant that counts.
    fn counted(&self, budget: usize, but: Option<u64>) -> u32 {
        let mut lives: BTreeMap<u64, u32> = BTreeMap::new();
        for o in self.out.iter().filter(|o| Some(o.life) != but) {
            let most = lives.entry(o.life).or_default();
            *most = (*most).max(o.share.get(budget).copied().unwrap_or(0));
        }
        lives.values().sum()
    }

    /// Its place in line for a unit over: fewest turns first, among those with as many the one that has a unit already.
    fn rank(&self, budget: usize) -> u64 {
        self.turns.get(budget).copied().unwrap_or(0) / TURN * 2 + u64::from(self.counted(budget, None) == 0)
    }
}

/// Grants that make a turn: two lease times.
const TURN: u64 = 8;

/// The ledger of one authority, with the answers of [`Ledger`] and a cost that grows with the number of holders.
#[derive(Clone, Debug, Default)]
pub struct PlainLedger {
    /// Its first holders do not take what those get that are yet to ask: until then none gets more than an even part of
    /// all in the file.
    hears_until: Micros,
    holders: BTreeMap<u16, Holder>,
}

impl PlainLedger {
    /// The ledger of an authority that begins now.
    pub fn new(now: Micros, terms: &Terms) -> PlainLedger {
        PlainLedger { hears_until: now + terms.lease / 2, holders: BTreeMap::new() }
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
        let Request { by, request_id: question, held_request: holds, .. } = *request;
        let holder = self.holders.entry(by.index).or_default();
        if holder.life == by.incarnation
            && question.wrapping_sub(holder.question) as i32 <= 0
            && holder.heard > 0
        {
            return None;
        }
        (holder.life, holder.question, holder.heard) = (by.incarnation, question, now);
        holder.wants = request.demands.to_vec();
        // It uses that grant or a later one: the earlier ones are over.
        holder.out.retain(|o| o.life != by.incarnation || holds.wrapping_sub(o.question) as i32 <= 0);
        if holder.out.len() >= COUNTED {
            return None;
        }
        let until = supply.until.min(now + terms.lengthened(terms.lease));
        let lasts = terms.fit_lengthened(until.saturating_sub(now));
        let mut share = Amounts::new();
        let mut turns = Vec::new();
        for (budget, pool) in supply.pools.iter().enumerate() {
            let own = |place: &u16| (*place == by.index).then_some(by.incarnation);
            let counts = |(place, holder): (&u16, &Holder)| u64::from(holder.counted(budget, own(place)));
            let others: u64 = self.holders.iter().map(counts).sum();
            let free = u64::from(*pool).saturating_sub(others) as u32;
            let (target, over) = self.target(budget, by.index, *pool);
            let most = if now < self.hears_until { pool / u32::from(terms.proxies.max(1)) } else { target };
            let given = target.min(most).min(free);
            share.push(given);
            turns.push(u64::from(over && given == target));
        }
        let holder = self.holders.get_mut(&by.index)?;
        holder.turns.resize(turns.len(), 0);
        holder.turns.iter_mut().zip(turns).for_each(|(all, one)| *all += one);
        holder.out.push(Out { life: by.incarnation, question, until, share: share.clone() });
        Some(Grant { duration: lasts, share })
    }

    /// Units of a budget that holders may still be using now: the sum of what counts of each holder.
    pub fn granted(&mut self, now: Micros, budget: usize, terms: &Terms) -> u32 {
        self.expire(now, terms);
        let sum: u64 = self.holders.values().map(|holder| u64::from(holder.counted(budget, None))).sum();
        u32::try_from(sum).unwrap_or(u32::MAX)
    }

    /// The sum of the newest wants of the holders that are known.
    pub fn total_demand(&self, budget: usize) -> u64 {
        let want = |holder: &Holder| u64::from(holder.wants.get(budget).copied().unwrap_or(0));
        self.holders.values().map(want).sum()
    }

    /// One has left by will and uses nothing any more.
    pub fn record_leave(&mut self, by: Author) {
        if let Some(h) = self.holders.get_mut(&by.index) {
            h.out.retain(|o| o.life != by.incarnation);
            if h.life == by.incarnation {
                h.wants.clear();
            }
        }
    }

    fn expire(&mut self, now: Micros, t: &Terms) {
        for h in self.holders.values_mut() {
            h.out.retain(|o| now < o.until);
        }
        self.holders.retain(|_, h| !h.out.is_empty() || now < h.heard + t.lease);
    }

    /// The max-min fair part of one holder: an even part of what is left by those that want less. Units over go round, a
    /// turn at a time: a unit on its way from one to another is used by nobody. With it, whether such a unit is in it.
    fn target(&self, budget: usize, place: u16, pool: u32) -> (u32, bool) {
        let want = |h: &Holder| h.wants.get(budget).copied().unwrap_or(0);
        let mut all: Vec<(u32, u64, u16)> = self
            .holders
            .iter()
            .filter(|(_, h)| want(h) > 0)
            .map(|(p, h)| (want(h), h.rank(budget), *p))
            .collect();
        all.sort_unstable();
        let mut left = pool;
        for (i, (want, ..)) in all.iter().enumerate() {
            let many = (all.len() - i) as u32;
            let even = left / many;
            if *want > even {
                // All from here on want more than an even part.
                let mut rest: Vec<(u64, u16)> = all[i..].iter().map(|(_, turns, p)| (*turns, *p)).collect();
                rest.sort_unstable();
                let over = (left % many) as usize;
                let at = rest.iter().position(|(_, p)| *p == place);
                return at.map_or_else(
                    || want_of(&all[..i], place),
                    |at| (even + u32::from(at < over), at < over),
                );
            }
            left -= want;
        }
        want_of(&all, place)
    }
}

/// What one wants that gets all of it.
fn want_of(all: &[(u32, u64, u16)], place: u16) -> (u32, bool) {
    (all.iter().find(|(.., p)| *p == place).map_or(0, |(want, ..)| *want), false)
}

/// The most holders for which the plain way is measured: its cost for all grows with the square.
const MOST_PLAIN_HOLDERS: u16 = 3_000;
/// Each holder asks so often before the measurement: all grants are as in a fleet that has run for long.
const ROUNDS_BEFORE: u32 = 2;
/// Units of the first budget for each holder; the second is a single unit.
const UNITS_EACH: u32 = 10;
const LEASE: Micros = 1_200_000;

/// What one question costs the grantor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestCost {
    /// Nanoseconds by sorting all holders; nothing for more holders than are measured that way.
    pub plain: Option<u64>,
    /// Nanoseconds by the ledger of the program.
    pub incremental: u64,
}

/// Measures what a question costs, by the system's clock: the mean over so many, with so many live holders that all want
/// everything of two budgets and ask in turn, four times in a lease time.
pub fn request_nanoseconds(holders: u16, questions: u32) -> RequestCost {
    let terms = Terms {
        lease: LEASE,
        proxies: holders,
        pools: vec![UNITS_EACH * u32::from(holders), 1],
        floors: vec![0, 0],
    };
    let mut ledger = Ledger::new(0, &terms);
    let incremental = mean_cost(holders, questions, &terms, |now, request, supply| {
        ledger.answer(now, request, supply, &terms)
    });
    let mut plain_ledger = PlainLedger::new(0, &terms);
    let plain = (holders <= MOST_PLAIN_HOLDERS).then(|| {
        mean_cost(holders, questions, &terms, |now, request, supply| {
            plain_ledger.answer(now, request, supply, &terms)
        })
    });
    RequestCost { plain, incremental }
}

/// Nanoseconds of a question, after some rounds that are not measured.
fn mean_cost(
    holders: u16,
    questions: u32,
    terms: &Terms,
    mut answer: impl FnMut(Micros, &Request, &Supply) -> Option<Grant>,
) -> u64 {
    let apart = LEASE / 4 / Micros::from(holders);
    let mut ask = |number: u32| {
        let now = 1 + Micros::from(number) * apart;
        let round = number / u32::from(holders);
        let by = Author { index: (number % u32::from(holders)) as u16, incarnation: 1 };
        let request = Request { by, request_id: round + 1, held_request: round, demands: &terms.pools };
        let supply = Supply { pools: &terms.pools, until: now + 2 * LEASE };
        let grant = answer(now, &request, &supply);
        assert!(grant.is_some(), "question {number} of {holders} holders was not answered");
    };
    let before = ROUNDS_BEFORE * u32::from(holders);
    (0..before).for_each(&mut ask);
    let from = Instant::now();
    (before..before + questions).for_each(&mut ask);
    (from.elapsed().as_nanos() / u128::from(questions.max(1))) as u64
}
