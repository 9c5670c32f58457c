//! The holder's side of leases: which questions are out, which grant is in use, and, of a member that hands its share on
//! to others, which newer grant waits until what was handed on fits into it.
//!
//! A holder names the grant that it uses in its next question; earlier grants are then no longer counted by the leader.
//! One that uses its share itself takes a newer grant at once. A *relay* has handed its share on in leases that end
//! before its own, so it takes a newer grant only when those fit into the newer one ([`Holder::adopt_pending`]); until then it
//! may hand on no more than the smaller of the two.
use crate::{Amounts, Terms};
use nickelgate::Micros;

/// Questions whose time of sending is kept.
const KEPT: usize = 8;

/// A grant as its holder sees it.
#[derive(Clone, Debug, Default)]
struct Lease {
    request_id: u32,
    until: Micros,
    share: Amounts,
}

/// A question that was sent.
#[derive(Clone, Debug, Default)]
struct Asked {
    request_id: u32,
    at: Micros,
    demands: Amounts,
}

/// A grant as it was received.
#[derive(Clone, Debug)]
pub struct ReceivedGrant {
    /// The question that it answers.
    pub request_id: u32,
    /// How long it lasts, from when that question was sent.
    pub duration: Micros,
    /// Units of each budget.
    pub share: Amounts,
}

/// What became of a grant that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantOutcome {
    /// It answers no question that is out, or an older one than the grant in use.
    Ignored,
    /// It is in use, and gives no less of any budget than what was in use.
    Used,
    /// It is in use and smaller: the leader should learn so soon.
    Shrunk,
    /// It waits for [`Holder::adopt_pending`].
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
/// use threadward_budgets::holder::{Holder, ReceivedGrant, GrantOutcome};
/// use threadward_budgets::Terms;
///
/// let terms = Terms { lease: 1_000_000, proxies: 2, pools: vec![10], floors: vec![0] };
/// let mut relay = Holder::relay();
/// let request_id = relay.record_request(0, &[8]);
/// let grant = ReceivedGrant { request_id, duration: 900_000, share: vec![8] };
/// assert_eq!(relay.receive(5_000, grant, &terms), GrantOutcome::Pending);
/// relay.adopt_pending(5_000, &[0], &[0]);
/// assert_eq!((relay.request_in_use(), relay.divisible(5_000).map(|held| held.share)), (request_id, Some(vec![8])));
/// // A smaller one waits while 8 are handed on; nothing beyond it may be handed on meanwhile.
/// let later = relay.record_request(100_000, &[8]);
/// relay.receive(101_000, ReceivedGrant { request_id: later, duration: 900_000, share: vec![3] }, &terms);
/// relay.adopt_pending(101_000, &[8], &[0]);
/// assert_eq!((relay.request_in_use(), relay.divisible(101_000).map(|held| held.share)), (request_id, Some(vec![3])));
/// relay.adopt_pending(200_000, &[3], &[0]);
/// assert_eq!(relay.request_in_use(), later);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Holder {
    relays: bool,
    lease: Lease,
    pending: Option<Lease>,
    asked: [Asked; KEPT],
    request_id: u32,
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
    pub fn record_request(&mut self, now: Micros, demands: &[u32]) -> u32 {
        self.request_id = self.request_id.wrapping_add(1);
        let asked = Asked { request_id: self.request_id, at: now, demands: demands.to_vec() };
        self.asked[self.request_id as usize % KEPT] = asked;
        self.request_id
    }

    /// What the newest question wanted of a budget.
    pub fn last_demand(&self, budget: usize) -> u32 {
        let newest = &self.asked[self.request_id as usize % KEPT];
        newest.demands.get(budget).copied().unwrap_or(0)
    }

    /// When the newest question was sent.
    pub fn last_request_at(&self) -> Micros {
        self.asked[self.request_id as usize % KEPT].at
    }

    /// The question that brought the grant in use: earlier grants are given up.
    pub fn request_in_use(&self) -> u32 {
        self.lease.request_id
    }

    /// Whether a lease lasts now.
    pub fn has_lease(&self, now: Micros) -> bool {
        now < self.lease.until
    }

    /// Units of a budget that the lease in use gives now.
    pub fn share(&self, now: Micros, budget: usize) -> u32 {
        if self.has_lease(now) {
            self.lease.share.get(budget).copied().unwrap_or(0)
        } else {
            0
        }
    }

    /// A grant came in. It never gives more than was asked for, nor for longer than a lease time.
    pub fn receive(&mut self, now: Micros, grant: ReceivedGrant, terms: &Terms) -> GrantOutcome {
        let asked = &self.asked[grant.request_id as usize % KEPT];
        let newest = self.pending.as_ref().map_or(self.lease.request_id, |pending| pending.request_id);
        let newer = grant.request_id.wrapping_sub(newest) as i32 > 0;
        if asked.request_id != grant.request_id || !newer || grant.share.len() != asked.demands.len() {
            return GrantOutcome::Ignored;
        }
        let until = asked.at + terms.shortened(grant.duration.min(terms.lease));
        let share =
            grant.share.iter().zip(&asked.demands).map(|(given, demand)| *given.min(demand)).collect();
        let lease = Lease { request_id: grant.request_id, until, share };
        if self.relays {
            self.pending = Some(lease);
            return GrantOutcome::Pending;
        }
        self.replace(now, lease)
    }

    fn replace(&mut self, now: Micros, lease: Lease) -> GrantOutcome {
        let mut both = self.lease.share.iter().zip(&lease.share);
        let shrunk = self.has_lease(now) && both.any(|(old, new)| new < old);
        self.lease = lease;
        if shrunk {
            GrantOutcome::Shrunk
        } else {
            GrantOutcome::Used
        }
    }

    /// Takes the pending grant into use if what is handed on (of each budget, all leases that still count) fits into it
    /// and what belongs to the relay for good. What was handed on may last as long as the lease in use: a grant that ends
    /// earlier is taken only if all of it fits into what is the relay's own.
    pub fn adopt_pending(&mut self, now: Micros, handed_on: &[u32], own: &[u32]) -> GrantOutcome {
        let Some(pending) = self.pending.take() else { return GrantOutcome::Ignored };
        if now >= pending.until {
            return GrantOutcome::Ignored;
        }
        let fits = |budget: usize, extra: u32| {
            let own = own.get(budget).copied().unwrap_or(0);
            handed_on.get(budget).copied().unwrap_or(0) <= own.saturating_add(extra)
        };
        let fits_pending = pending.share.iter().enumerate().all(|(budget, extra)| fits(budget, *extra));
        let fits_own = (0..pending.share.len()).all(|budget| fits(budget, 0));
        let covers = fits_own || (self.has_lease(now) && pending.until >= self.lease.until);
        if fits_pending && covers {
            return self.replace(now, pending);
        }
        self.pending = Some(pending);
        GrantOutcome::Pending
    }

    /// What may be handed on now; nothing where no lease lasts.
    pub fn divisible(&self, now: Micros) -> Option<Divisible> {
        if !self.has_lease(now) {
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
    pub fn drop_leases(&mut self) {
        self.lease.until = 0;
        self.pending = None;
    }
}
