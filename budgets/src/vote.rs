//! A voter's promise and a candidate's authority. It owns whether this voter is free, and until when this candidate may
//! grant. It must never promise itself to two, nor to anybody before a former life's promise has surely ended.
use crate::wire::Author;
use crate::Terms;
use nickelgate::Micros;

/// To which life, for which of its questions, and until when.
#[derive(Clone, Copy, Debug)]
struct Promise {
    to: Author,
    request_id: u32,
    until: Micros,
}

/// One voter.
///
/// ```
/// use threadward_budgets::{vote::Voter, wire::Author, Terms};
///
/// let t = Terms { lease: 1_000_000, proxies: 3, pools: vec![], floors: vec![] };
/// let mut v = Voter::new(0, &t);
/// let (a, b) = (Author { index: 0, incarnation: 4 }, Author { index: 1, incarnation: 9 });
/// assert!(!v.request_promise(1_000_000, a, 1, &t), "a former life may have promised until just after the lease time");
/// assert!(v.request_promise(1_100_000, a, 2, &t) && !v.request_promise(1_200_000, b, 1, &t));
/// assert_eq!(v.promised_to(1_200_000), Some(a));
/// v.release(a, 2);
/// assert!(v.request_promise(1_300_000, b, 2, &t));
/// ```
#[derive(Clone, Debug)]
pub struct Voter {
    /// Nothing is promised before `free`.
    promise: Option<Promise>,
    free: Micros,
}

impl Voter {
    /// It may have promised itself in a former life: it abstains for as long as that could count.
    pub fn new(now: Micros, t: &Terms) -> Voter {
        Voter { promise: None, free: now + t.lengthened(t.lease) }
    }

    /// The life it is promised to now.
    pub fn promised_to(&self, now: Micros) -> Option<Author> {
        self.promise.filter(|p| now < p.until).map(|p| p.to)
    }

    /// Whether it promises itself to this candidate, from now for the lease time.
    pub fn request_promise(&mut self, now: Micros, by: Author, request_id: u32, t: &Terms) -> bool {
        if now < self.free || self.promised_to(now).is_some_and(|a| a != by) {
            return false;
        }
        // One that was overtaken by a later question of the same life takes nothing back.
        let newest = self.promise.filter(|p| p.to == by).map_or(request_id, |p| p.request_id.max(request_id));
        self.promise = Some(Promise { to: by, request_id: newest, until: now + t.lengthened(t.lease) });
        true
    }

    /// A candidate gives its promise back, unless it was made for a later question.
    pub fn release(&mut self, by: Author, request_id: u32) {
        self.promise = self.promise.filter(|p| p.to != by || p.request_id > request_id);
    }
}

/// One candidate: it stands at most so often, and holds authority while a majority is promised to it.
///
/// ```
/// use threadward_budgets::{vote::Candidate, Terms};
///
/// let t = Terms { lease: 1_000_000, proxies: 3, pools: vec![], floors: vec![] };
/// let mut c = Candidate::new(0);
/// let request_id = c.start_election(500_000);
/// assert!(!c.record_vote(0, 3, request_id, &t) && c.authority_until(600_000).is_none());
/// assert!(c.record_vote(2, 3, request_id, &t), "two of three");
/// // From when it asked, less what clocks may differ by, however late the votes came.
/// assert_eq!(c.authority_until(600_000), Some(500_000 + t.shortened(t.lease)));
/// assert_eq!(c.authority_until(1_500_000), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Candidate {
    request_id: u32,
    asked: Micros,
    /// Voters that said yes to the present question, a bit each.
    votes: u8,
    /// It may grant until then.
    until: Micros,
    /// It waits for the votes of a question that has not won yet.
    waits: bool,
    /// It stands again then.
    pub next_election_at: Micros,
}

impl Candidate {
    /// One that stands first at that time.
    pub fn new(next_election_at: Micros) -> Candidate {
        Candidate { next_election_at, ..Candidate::default() }
    }

    /// Until when it may grant; nothing: it may not now.
    pub fn authority_until(&self, now: Micros) -> Option<Micros> {
        Some(self.until).filter(|until| now < *until)
    }

    /// Asks all voters anew: the number of the question.
    pub fn start_election(&mut self, now: Micros) -> u32 {
        self.request_id = self.request_id.wrapping_add(1);
        (self.asked, self.votes, self.waits) = (now, 0, true);
        self.request_id
    }

    /// A question that has not won is given up, and no answer to it counts any more: its number.
    pub fn abandon_election(&mut self) -> Option<u32> {
        std::mem::take(&mut self.waits).then(|| {
            self.request_id = self.request_id.wrapping_add(1);
            self.request_id.wrapping_sub(1)
        })
    }

    /// A voter, by its place among the `voters`, said yes. True: that question has a majority.
    pub fn record_vote(&mut self, voter: usize, voters: usize, request_id: u32, t: &Terms) -> bool {
        if request_id != self.request_id || voter >= voters {
            return false;
        }
        self.votes |= 1 << voter;
        let won = self.votes.count_ones() as usize * 2 > voters;
        if won {
            // From the question, whatever the votes took: each promise began later.
            self.until = self.until.max(self.asked + t.shortened(t.lease));
            self.waits = false;
        }
        won
    }

    /// The authority is laid down for good: votes that are on their way bring it back no more.
    pub fn resign(&mut self) {
        (self.until, self.waits, self.next_election_at) = (0, false, Micros::MAX);
        self.request_id = self.request_id.wrapping_add(1);
    }
}
