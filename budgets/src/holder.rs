//! The holder's side of leases: which questions are out, which grant is in use, and, of a member that hands its share on
//! to others, which newer grant waits until what was handed on fits into it.
//!
//! A holder names the grant that it uses in its next question; earlier grants are then no longer counted by the leader.
//! One that uses its share itself takes a newer grant at once. A *relay* has handed its share on in leases that end
//! before its own, so it takes a newer grant only when those fit into the newer one ([`Holder::confirm`]); until then it
//! may hand on no more than the smaller of the two.
use crate::{Amounts, Terms};
use nickelgate::Micros;

/// Questions whose time of sending is kept.
const KEPT: usize = 8;

/// A grant as its holder sees it.
#[derive(Clone, Debug, Default)]
struct Lease {
    question: u32,
    until: Micros,
    share: Amounts,
}

/// A question that was sent.
#[derive(Clone, Debug, Default)]
struct Asked {
    question: u32,
    at: Micros,
    wants: Amounts,
}

/// A grant as it was received.
#[derive(Clone, Debug)]
pub struct Received {
    /// The question that it answers.
    pub question: u32,
    /// How long it lasts, from when that question was sent.
    pub lasts: Micros,
    /// Units of each budget.
    pub share: Amounts,
}

/// What became of a grant that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It answers no question that is out, or an older one than the grant in use.
    Ignored,
    /// It is in use, and gives no less of any budget than what was in use.
    Used,
    /// It is in use and smaller: the leader should learn so soon.
    Shrunk,
    /// It waits for [`Holder::confirm`].
    Pending,
}

/// What a relay may hand on of its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Divisible {
    /// Units of each budget.
    pub share: Amounts,
    /// Everything handed on has to end by then.
    pub until: Micros,
}

/// Leases of one member of a group.
///
/// ```
/// use threadward_budgets::holder::{Holder, Received, Taken};
/// use threadward_budgets::Terms;
///
/// let terms = Terms { lease: 1_000_000, proxies: 2, pools: vec![10], floors: vec![0] };
/// let mut relay = Holder::relay();
/// let question = relay.ask(0, &[8]);
/// let grant = Received { question, lasts: 900_000, share: vec![8] };
/// assert_eq!(relay.receive(5_000, grant, &terms), Taken::Pending);
/// relay.confirm(5_000, &[0], &[0]);
/// assert_eq!((relay.in_use(), relay.divisible(5_000).map(|held| held.share)), (question, Some(vec![8])));
/// // A smaller one waits while 8 are handed on; nothing beyond it may be handed on meanwhile.
/// let later = relay.ask(100_000, &[8]);
/// relay.receive(101_000, Received { question: later, lasts: 900_000, share: vec![3] }, &terms);
/// relay.confirm(101_000, &[8], &[0]);
/// assert_eq!((relay.in_use(), relay.divisible(101_000).map(|held| held.share)), (question, Some(vec![3])));
/// relay.confirm(200_000, &[3], &[0]);
/// assert_eq!(relay.in_use(), later);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Holder {
    relays: bool,
    lease: Lease,
    pending: Option<Lease>,
    asked: [Asked; KEPT],
    question: u32,
}

impl Holder {
    /// One that uses its share itself.
    pub fn consumer() -> Holder {
        Holder::default()
    }

    /// One that hands its share on.
    pub fn relay() -> Holder {
        Holder { relays: true, ..Holder::default() }
    }

    /// Whether it hands its share on.
    pub fn relays(&self) -> bool {
        self.relays
    }

    /// The next question: its number.
    pub fn ask(&mut self, now: Micros, wants: &[u32]) -> u32 {
        self.question = self.question.wrapping_add(1);
        let asked = Asked { question: self.question, at: now, wants: wants.to_vec() };
        self.asked[self.question as usize % KEPT] = asked;
        self.question
    }

    /// What the newest question wanted of a budget.
    pub fn asked_for(&self, budget: usize) -> u32 {
        let newest = &self.asked[self.question as usize % KEPT];
        newest.wants.get(budget).copied().unwrap_or(0)
    }

    /// When the newest question was sent.
    pub fn asked_at(&self) -> Micros {
        self.asked[self.question as usize % KEPT].at
    }

    /// The question that brought the grant in use: earlier grants are given up.
    pub fn in_use(&self) -> u32 {
        self.lease.question
    }

    /// Whether a lease lasts now.
    pub fn lasts(&self, now: Micros) -> bool {
        now < self.lease.until
    }

    /// Units of a budget that the lease in use gives now.
    pub fn share(&self, now: Micros, budget: usize) -> u32 {
        if self.lasts(now) {
            self.lease.share.get(budget).copied().unwrap_or(0)
        } else {
            0
        }
    }

    /// A grant came in. It never gives more than was asked for, nor for longer than a lease time.
    pub fn receive(&mut self, now: Micros, grant: Received, terms: &Terms) -> Taken {
        let asked = &self.asked[grant.question as usize % KEPT];
        let newest = self.pending.as_ref().map_or(self.lease.question, |pending| pending.question);
        let newer = grant.question.wrapping_sub(newest) as i32 > 0;
        if asked.question != grant.question || !newer || grant.share.len() != asked.wants.len() {
            return Taken::Ignored;
        }
        let until = asked.at + terms.shorter(grant.lasts.min(terms.lease));
        let share = grant.share.iter().zip(&asked.wants).map(|(given, want)| *given.min(want)).collect();
        let lease = Lease { question: grant.question, until, share };
        if self.relays {
            self.pending = Some(lease);
            return Taken::Pending;
        }
        self.replace(now, lease)
    }

    fn replace(&mut self, now: Micros, lease: Lease) -> Taken {
        let mut both = self.lease.share.iter().zip(&lease.share);
        let shrunk = self.lasts(now) && both.any(|(old, new)| new < old);
        self.lease = lease;
        if shrunk {
            Taken::Shrunk
        } else {
            Taken::Used
        }
    }

    /// Takes the pending grant into use if what is handed on (of each budget, all leases that still count) fits into it
    /// and what belongs to the relay for good. What was handed on may last as long as the lease in use: a grant that ends
    /// earlier is taken only if all of it fits into what is the relay's own.
    pub fn confirm(&mut self, now: Micros, handed_on: &[u32], own: &[u32]) -> Taken {
        let Some(pending) = self.pending.take() else { return Taken::Ignored };
        if now >= pending.until {
            return Taken::Ignored;
        }
        let fits = |budget: usize, extra: u32| {
            let own = own.get(budget).copied().unwrap_or(0);
            handed_on.get(budget).copied().unwrap_or(0) <= own.saturating_add(extra)
        };
        let fits_pending = pending.share.iter().enumerate().all(|(budget, extra)| fits(budget, *extra));
        let fits_own = (0..pending.share.len()).all(|budget| fits(budget, 0));
        let covers = fits_own || (self.lasts(now) && pending.until >= self.lease.until);
        if fits_pending && covers {
            return self.replace(now, pending);
        }
        self.pending = Some(pending);
        Taken::Pending
    }

    /// What may be handed on now; nothing where no lease lasts.
    pub fn divisible(&self, now: Micros) -> Option<Divisible> {
        if !self.lasts(now) {
            return None;
        }
        let smaller = |budget: usize, held: u32| match &self.pending {
            Some(pending) => held.min(pending.share.get(budget).copied().unwrap_or(0)),
            None => held,
        };
        let share =
            self.lease.share.iter().enumerate().map(|(budget, held)| smaller(budget, *held)).collect();
        Some(Divisible { share, until: self.lease.until })
    }

    /// Ends a lease that has run out: whether it gave anything.
    pub fn expire(&mut self, now: Micros) -> bool {
        if self.lease.until == 0 || now < self.lease.until {
            return false;
        }
        self.lease.until = 0;
        self.lease.share.iter().any(|units| *units > 0)
    }

    /// Nothing is used from here on.
    pub fn give_up(&mut self) {
        self.lease.until = 0;
        self.pending = None;
    }
}
