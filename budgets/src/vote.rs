//! A voter's promise and a candidate's authority. A voter never promises its vote to two candidates at once,
//! nor to any before a promise of its own earlier incarnation has surely ended. A candidate has authority to
//! grant leases only while a majority of the voters is promised to it.
use crate::wire::Author;
use crate::Terms;
use nickelgate::Micros;

/// A promise of the vote: to which candidate, for which of its requests, and until when.
#[derive(Clone, Copy, Debug)]
struct Promise {
    to: Author,
    request_id: u32,
    until: Micros,
}

/// The voter's side of an election.
///
/// ```
/// use threadward_budgets::{vote::Voter, wire::Author, Terms};
///
/// let terms = Terms { lease: 1_000_000, proxies: 3, pools: vec![], floors: vec![] };
/// let mut v = Voter::new(0, &terms);
/// let (a, b) = (Author { index: 0, incarnation: 4 }, Author { index: 1, incarnation: 9 });
/// // Until just after the lease time an earlier incarnation's promise may still be valid.
/// assert!(!v.promise_vote(1_000_000, a, 1, &terms));
/// assert!(v.promise_vote(1_100_000, a, 2, &terms) && !v.promise_vote(1_200_000, b, 1, &terms));
/// assert_eq!(v.promised_to(1_200_000), Some(a));
/// v.release(a, 2);
/// assert!(v.promise_vote(1_300_000, b, 2, &terms));
/// ```
#[derive(Clone, Debug)]
pub struct Voter {
    promise: Option<Promise>,
    /// The vote is promised to nobody before then.
    abstains_until: Micros,
}

impl Voter {
    /// Creates a voter that abstains for as long as a promise of an earlier incarnation may be valid.
    pub fn new(now: Micros, terms: &Terms) -> Voter {
        Voter { promise: None, abstains_until: now + terms.lengthened(terms.lease) }
    }

    /// Returns the candidate that the vote is promised to now.
    pub fn promised_to(&self, now: Micros) -> Option<Author> {
        self.promise.filter(|p| now < p.until).map(|p| p.to)
    }

    /// Promises the vote to this candidate for the lease time from now, unless it is promised to another one
    /// or the voter still abstains. Returns whether it was promised.
    pub fn promise_vote(&mut self, now: Micros, by: Author, request_id: u32, terms: &Terms) -> bool {
        if now < self.abstains_until || self.promised_to(now).is_some_and(|a| a != by) {
            return false;
        }
        // A request that arrives after a newer one of the same candidate must not replace the newer number.
        let newest = self.promise.filter(|p| p.to == by).map_or(request_id, |p| p.request_id.max(request_id));
        self.promise =
            Some(Promise { to: by, request_id: newest, until: now + terms.lengthened(terms.lease) });
        true
    }

    /// Releases the promise to a candidate, unless it was made for a later request than this one.
    pub fn release(&mut self, by: Author, request_id: u32) {
        self.promise = self.promise.filter(|p| p.to != by || p.request_id > request_id);
    }
}

/// The candidate's side of an election. It has authority while a majority of the voters is promised to it.
///
/// ```
/// use threadward_budgets::{vote::Candidate, Terms};
///
/// let terms = Terms { lease: 1_000_000, proxies: 3, pools: vec![], floors: vec![] };
/// let mut c = Candidate::new(0);
/// let request_id = c.start_election(500_000);
/// assert!(!c.record_vote(0, 3, request_id, &terms) && c.authority_until(600_000).is_none());
/// assert!(c.record_vote(2, 3, request_id, &terms), "two of three");
/// // Counted from the request and shortened by the clock drift, however late the votes arrived.
/// assert_eq!(c.authority_until(600_000), Some(500_000 + terms.shortened(terms.lease)));
/// assert_eq!(c.authority_until(1_500_000), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Candidate {
    request_id: u32,
    requested_at: Micros,
    /// Bit set of the voters that granted their vote to the present request.
    votes: u8,
    /// End of the authority to grant leases.
    authority_end: Micros,
    /// Whether the present election is neither won nor abandoned.
    awaits_votes: bool,
    /// When the candidate is to take its next step in an election.
    pub next_election_at: Micros,
}

impl Candidate {
    /// Creates a candidate whose first election is due at that time.
    pub fn new(next_election_at: Micros) -> Candidate {
        Candidate { next_election_at, ..Candidate::default() }
    }

    /// Returns until when it may grant leases, or `None` if it may not now.
    pub fn authority_until(&self, now: Micros) -> Option<Micros> {
        Some(self.authority_end).filter(|until| now < *until)
    }

    /// Starts an election, discarding earlier votes, and returns the number of the request to all voters.
    pub fn start_election(&mut self, now: Micros) -> u32 {
        self.request_id = self.request_id.wrapping_add(1);
        (self.requested_at, self.votes, self.awaits_votes) = (now, 0, true);
        self.request_id
    }

    /// Abandons an election that is not won and returns the number of its request. No answer to it counts any
    /// more. Returns `None` if no election is open.
    pub fn abandon_election(&mut self) -> Option<u32> {
        std::mem::take(&mut self.awaits_votes).then(|| {
            self.request_id = self.request_id.wrapping_add(1);
            self.request_id.wrapping_sub(1)
        })
    }

    /// Records the vote of a voter, given by its position among the `voters`. Returns true if the present
    /// request has a majority; the authority is then extended.
    pub fn record_vote(&mut self, voter: usize, voters: usize, request_id: u32, terms: &Terms) -> bool {
        if request_id != self.request_id || voter >= voters {
            return false;
        }
        self.votes |= 1 << voter;
        let won = self.votes.count_ones() as usize * 2 > voters;
        if won {
            // Counted from the request, however long the votes took: each promise began later than that.
            self.authority_end = self.authority_end.max(self.requested_at + terms.shortened(terms.lease));
            self.awaits_votes = false;
        }
        won
    }

    /// Gives up the authority for good; votes that still arrive don't restore it.
    pub fn resign(&mut self) {
        (self.authority_end, self.awaits_votes, self.next_election_at) = (0, false, Micros::MAX);
        self.request_id = self.request_id.wrapping_add(1);
    }
}
