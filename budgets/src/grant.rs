//! The grantor's ledger: what each holder may still be using, and what it is granted next. It owns the sum. It must
//! never count less than what a holder may use, nor grant beyond its authority.
use crate::wire::Author;
use crate::{Amounts, Terms};
use nickelgate::Micros;
use std::collections::BTreeMap;

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

/// The ledger of one authority. A new authority begins with an empty one, as all grants of others are over by then.
///
/// ```
/// use threadward_budgets::{grant::Ledger, wire::Author, Terms};
///
/// let t = Terms { lease: 1_000_000, proxies: 2, pools: vec![10], floors: vec![0] };
/// let mut ledger = Ledger::new(0, &t);
/// let (a, b) = (Author { place: 0, life: 1 }, Author { place: 1, life: 1 });
/// let mut ask = |by, at, question, holds, wants| {
///     let grant = ledger.asked(at, by, question, holds, &vec![wants], 9_000_000, &t);
///     grant.map(|(_, share)| share[0])
/// };
/// assert_eq!(ask(a, 600_000, 1, 0, 10), Some(10), "nobody else has asked");
/// assert_eq!(ask(b, 700_000, 1, 0, 10), Some(0), "all of it is out");
/// assert_eq!(ask(a, 800_000, 2, 1, 10), Some(5), "an even part");
/// assert_eq!(ask(b, 900_000, 2, 1, 10), Some(0), "the first may still use its earlier grant");
/// assert_eq!(ask(a, 910_000, 3, 2, 10), Some(5), "now it says that it does not");
/// assert_eq!(ask(b, 920_000, 3, 2, 10), Some(5));
/// assert_eq!(ask(b, 920_000, 3, 2, 10), None, "an old question");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Its first holders do not take what those get that are yet to ask: until then none gets more than an even part of
    /// all in the file.
    hears_until: Micros,
    holders: BTreeMap<u16, Holder>,
}

impl Ledger {
    /// The ledger of an authority that begins now.
    pub fn new(now: Micros, t: &Terms) -> Ledger {
        Ledger { hears_until: now + t.lease / 2, holders: BTreeMap::new() }
    }

    /// Answers a holder's question: how long the share lasts, from when the question was sent, and the share. Nothing for
    /// one that was overtaken. `holds`: which question brought the grant that it uses; `authority`: until when this
    /// ledger may grant.
    #[allow(clippy::too_many_arguments)]
    pub fn asked(
        &mut self,
        now: Micros,
        by: Author,
        question: u32,
        holds: u32,
        wants: &Amounts,
        authority: Micros,
        t: &Terms,
    ) -> Option<(Micros, Amounts)> {
        self.expire(now, t);
        let h = self.holders.entry(by.place).or_default();
        if h.life == by.life && question.wrapping_sub(h.question) as i32 <= 0 && h.heard > 0 {
            return None;
        }
        (h.life, h.question, h.heard, h.wants) = (by.life, question, now, wants.clone());
        // It uses that grant or a later one: the earlier ones are over.
        h.out.retain(|o| o.life != by.life || holds.wrapping_sub(o.question) as i32 <= 0);
        if h.out.len() >= COUNTED {
            return None;
        }
        let until = authority.min(now + t.longer(t.lease));
        let lasts = t.within(until.saturating_sub(now));
        let mut share = Amounts::new();
        let mut turns = Vec::new();
        for (b, pool) in t.pools.iter().enumerate() {
            let own = |p: &u16| (*p == by.place).then_some(by.life);
            let others: u32 = self.holders.iter().map(|(p, h)| h.counted(b, own(p))).sum();
            let (target, over) = self.target(b, by.place, t);
            let most = if now < self.hears_until { pool / u32::from(t.proxies) } else { target };
            let given = target.min(most).min(pool.saturating_sub(others));
            share.push(given);
            turns.push(u64::from(over && given == target));
        }
        let h = self.holders.get_mut(&by.place)?;
        h.turns.resize(turns.len(), 0);
        h.turns.iter_mut().zip(turns).for_each(|(all, one)| *all += one);
        h.out.push(Out { life: by.life, question, until, share: share.clone() });
        Some((lasts, share))
    }

    /// One has left by will and uses nothing any more.
    pub fn left(&mut self, by: Author) {
        if let Some(h) = self.holders.get_mut(&by.place) {
            h.out.retain(|o| o.life != by.life);
            if h.life == by.life {
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
    fn target(&self, budget: usize, place: u16, t: &Terms) -> (u32, bool) {
        let want = |h: &Holder| h.wants.get(budget).copied().unwrap_or(0);
        let mut all: Vec<(u32, u64, u16)> = self
            .holders
            .iter()
            .filter(|(_, h)| want(h) > 0)
            .map(|(p, h)| (want(h), h.rank(budget), *p))
            .collect();
        all.sort_unstable();
        let mut left = t.pools[budget];
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

#[cfg(test)]
mod tests {
    use super::*;

    const T: Micros = 1_000_000;

    /// A former life that is stopped may still use its grant: whatever the present one asks and says that it holds, the
    /// grant counts until it runs out.
    #[test]
    fn many_questions_of_one_life_never_hide_the_grant_of_another() {
        let t = Terms { lease: T, proxies: 1, pools: vec![100], floors: vec![0] };
        let mut l = Ledger::new(0, &t);
        let (old, new) = (Author { place: 0, life: 1 }, Author { place: 0, life: 2 });
        let ask = |l: &mut Ledger, by, at, question, holds, wants| {
            l.asked(T + at, by, question, holds, &vec![wants], 9 * T, &t).map(|(_, share)| share[0])
        };
        assert_eq!(ask(&mut l, old, 0, 1, 0, 70), Some(70));
        for question in 1..20 {
            // Answers are lost at first; then the newest is held.
            let holds = if question < 12 { 0 } else { question - 1 };
            let got = ask(&mut l, new, question.into(), question, holds, 100);
            assert!(got.is_none_or(|n| n <= 30), "{got:?} beside 70 of the former life, question {question}");
        }
        assert!(l.holders[&0].counted(0, None) >= 70);
        assert_eq!(ask(&mut l, new, 2 * T, 20, 19, 100), Some(100), "it has run out by now");
    }
}
