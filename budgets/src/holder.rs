//! The holder's side of leases: the requests that were sent, the grant in use, and, for a member that
//! delegates its share, the newer grant that waits until what was delegated fits into it.
//!
//! A holder names the grant that it uses in its next request; the coordinator then stops counting earlier
//! grants. A holder that uses its share itself adopts a newer grant at once. A *relay* has delegated its
//! share in leases that end before its own, so it adopts a newer grant only when those fit into the newer one
//! ([`Holder::adopt_pending`]). Until then it may delegate no more than the smaller of the two.
use crate::{Amounts, Terms};
use nickelgate::Micros;

/// Number of the newest requests whose time of sending and demands are kept.
const KEPT_REQUESTS: usize = 8;

/// A grant with its end on the holder's clock.
#[derive(Clone, Debug, Default)]
struct Lease {
    request_id: u32,
    until: Micros,
    share: Amounts,
}

/// A request that was sent.
#[derive(Clone, Debug, Default)]
struct SentRequest {
    request_id: u32,
    at: Micros,
    demands: Amounts,
}

/// A grant as it was received.
#[derive(Clone, Debug)]
pub struct ReceivedGrant {
    /// The request that it answers.
    pub request_id: u32,
    /// How long it lasts, counted from when that request was sent.
    pub duration: Micros,
    /// Units of each budget.
    pub share: Amounts,
}

/// What a holder did with a grant that it received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantOutcome {
    /// It answers no request that is remembered, or one no newer than the grant in use or pending.
    Ignored,
    /// It is in use and gives no less of any budget than the grant before it.
    Used,
    /// It is in use and gives less of some budget: the coordinator should learn so soon.
    Shrunk,
    /// It waits for [`Holder::adopt_pending`].
    Pending,
}

/// What a relay may delegate of its lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Divisible {
    /// Units of each budget.
    pub share: Amounts,
    /// Every delegated lease must end by then.
    pub until: Micros,
}

/// The leases of one member of a group.
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
/// let divisible = |relay: &Holder, now| relay.divisible(now).map(|held| held.share);
/// assert_eq!((relay.request_in_use(), divisible(&relay, 5_000)), (request_id, Some(vec![8])));
/// // A smaller grant waits while 8 units are delegated; meanwhile no more than its 3 may be delegated.
/// let later = relay.record_request(100_000, &[8]);
/// relay.receive(101_000, ReceivedGrant { request_id: later, duration: 900_000, share: vec![3] }, &terms);
/// relay.adopt_pending(101_000, &[8], &[0]);
/// assert_eq!((relay.request_in_use(), divisible(&relay, 101_000)), (request_id, Some(vec![3])));
/// relay.adopt_pending(200_000, &[3], &[0]);
/// assert_eq!(relay.request_in_use(), later);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Holder {
    relays: bool,
    lease: Lease,
    pending: Option<Lease>,
    sent_requests: [SentRequest; KEPT_REQUESTS],
    /// Number of the newest request.
    last_request_id: u32,
}

impl Holder {
    /// Creates a holder that uses its share itself.
    pub fn consumer() -> Holder {
        Holder::default()
    }

    /// Creates a holder that delegates its share.
    pub fn relay() -> Holder {
        Holder { relays: true, ..Holder::default() }
    }

    /// Returns whether it delegates its share.
    pub fn relays(&self) -> bool {
        self.relays
    }

    /// Remembers a new request and returns its number.
    pub fn record_request(&mut self, now: Micros, demands: &[u32]) -> u32 {
        self.last_request_id = self.last_request_id.wrapping_add(1);
        let sent = SentRequest { request_id: self.last_request_id, at: now, demands: demands.to_vec() };
        self.sent_requests[self.last_request_id as usize % KEPT_REQUESTS] = sent;
        self.last_request_id
    }

    /// Returns what the newest request demanded of a budget.
    pub fn last_demand(&self, budget: usize) -> u32 {
        let newest = &self.sent_requests[self.last_request_id as usize % KEPT_REQUESTS];
        newest.demands.get(budget).copied().unwrap_or(0)
    }

    /// Returns when the newest request was sent.
    pub fn last_request_at(&self) -> Micros {
        self.sent_requests[self.last_request_id as usize % KEPT_REQUESTS].at
    }

    /// Returns the number of the request whose grant is in use. Earlier grants are no longer used.
    pub fn request_in_use(&self) -> u32 {
        self.lease.request_id
    }

    /// Returns whether a lease is valid now.
    pub fn has_lease(&self, now: Micros) -> bool {
        now < self.lease.until
    }

    /// Returns the units of a budget that the lease gives now.
    pub fn share(&self, now: Micros, budget: usize) -> u32 {
        if self.has_lease(now) {
            self.lease.share.get(budget).copied().unwrap_or(0)
        } else {
            0
        }
    }

    /// Takes in a grant and returns what became of it. It is limited to what was demanded and to one lease
    /// time, even if the coordinator grants more.
    pub fn receive(&mut self, now: Micros, grant: ReceivedGrant, terms: &Terms) -> GrantOutcome {
        let sent = &self.sent_requests[grant.request_id as usize % KEPT_REQUESTS];
        let newest = self.pending.as_ref().map_or(self.lease.request_id, |pending| pending.request_id);
        let newer = grant.request_id.wrapping_sub(newest) as i32 > 0;
        if sent.request_id != grant.request_id || !newer || grant.share.len() != sent.demands.len() {
            return GrantOutcome::Ignored;
        }
        let until = sent.at + terms.shortened(grant.duration.min(terms.lease));
        let share = grant.share.iter().zip(&sent.demands).map(|(given, demand)| *given.min(demand)).collect();
        let lease = Lease { request_id: grant.request_id, until, share };
        if self.relays {
            self.pending = Some(lease);
            return GrantOutcome::Pending;
        }
        self.replace(now, lease)
    }

    fn replace(&mut self, now: Micros, lease: Lease) -> GrantOutcome {
        let mut changes = self.lease.share.iter().zip(&lease.share);
        let shrunk = self.has_lease(now) && changes.any(|(old, new)| new < old);
        self.lease = lease;
        if shrunk {
            GrantOutcome::Shrunk
        } else {
            GrantOutcome::Used
        }
    }

    /// Puts the pending grant into use if what is delegated (for each budget, the sum of all leases that
    /// still count) fits into it and `own`, the relay's own units; otherwise it stays pending, and one that
    /// has run out is dropped. Returns what became of it. Delegated leases may last as long as the lease in
    /// use, so a grant that ends earlier is adopted only if all of them fit into `own`.
    pub fn adopt_pending(&mut self, now: Micros, delegated: &[u32], own: &[u32]) -> GrantOutcome {
        let Some(pending) = self.pending.take() else { return GrantOutcome::Ignored };
        if now >= pending.until {
            return GrantOutcome::Ignored;
        }
        let fits = |budget: usize, extra: u32| {
            let own = own.get(budget).copied().unwrap_or(0);
            delegated.get(budget).copied().unwrap_or(0) <= own.saturating_add(extra)
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

    /// Returns what may be delegated now, or `None` without a valid lease.
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

    /// Clears a lease that has run out and returns whether it gave anything.
    pub fn expire(&mut self, now: Micros) -> bool {
        if self.lease.until == 0 || now < self.lease.until {
            return false;
        }
        self.lease.until = 0;
        self.lease.share.iter().any(|units| *units > 0)
    }

    /// Drops the lease in use and the pending grant.
    pub fn drop_leases(&mut self) {
        self.lease.until = 0;
        self.pending = None;
    }
}
