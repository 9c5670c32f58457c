//! A voter's promise and a candidate's authority. It owns whether this voter is free, and until when this candidate may
//! grant. It must never promise itself to two, nor to anybody before a former life's promise has surely ended.
use crate::wire::Author;
use crate::Terms;
use nickelgate::Micros;

/// To which life, for which of its questions, and until when.
#[derive(Clone, Copy, Debug)]
struct Promise {
    to: Author,
    question: u32,
    until: Micros,
}

/// One voter.
///
/// ```
/// use threadward_budgets::{vote::Voter, wire::Author, Terms};
///
/// let t = Terms { lease: 1_000_000, proxies: 3, pools: vec![], floors: vec![] };
/// let mut v = Voter::new(0, &t);
/// let (a, b) = (Author { place: 0, life: 4 }, Author { place: 1, life: 9 });
/// assert!(!v.asked(1_000_000, a, 1, &t), "a former life may have promised until just after the lease time");
/// assert!(v.asked(1_100_000, a, 2, &t) && !v.asked(1_200_000, b, 1, &t));
/// assert_eq!(v.promised(1_200_000), Some(a));
/// v.released(a, 2);
/// assert!(v.asked(1_300_000, b, 2, &t));
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
        Voter { promise: None, free: now + t.longer(t.lease) }
    }

    /// The life it is promised to now.
    pub fn promised(&self, now: Micros) -> Option<Author> {
        self.promise.filter(|p| now < p.until).map(|p| p.to)
    }

    /// Whether it promises itself to this candidate, from now for the lease time.
    pub fn asked(&mut self, now: Micros, by: Author, question: u32, t: &Terms) -> bool {
        if now < self.free || self.promised(now).is_some_and(|a| a != by) {
            return false;
        }
        // One that was overtaken by a later question of the same life takes nothing back.
        let newest = self.promise.filter(|p| p.to == by).map_or(question, |p| p.question.max(question));
        self.promise = Some(Promise { to: by, question: newest, until: now + t.longer(t.lease) });
        true
    }

    /// A candidate gives its promise back, unless it was made for a later question.
    pub fn released(&mut self, by: Author, question: u32) {
        self.promise = self.promise.filter(|p| p.to != by || p.question > question);
    }
}

/// One candidate: it stands at most so often, and holds authority while a majority is promised to it.
///
/// ```
/// use threadward_budgets::{vote::Candidate, Terms};
///
/// let t = Terms { lease: 1_000_000, proxies: 3, pools: vec![], floors: vec![] };
/// let mut c = Candidate::new(0);
/// let question = c.stand(500_000);
/// assert!(!c.voted(0, 3, question, &t) && c.authority(600_000).is_none());
/// assert!(c.voted(2, 3, question, &t), "two of three");
/// // From when it asked, less what clocks may differ by, however late the votes came.
/// assert_eq!(c.authority(600_000), Some(500_000 + t.shorter(t.lease)));
/// assert_eq!(c.authority(1_500_000), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Candidate {
    question: u32,
    asked: Micros,
    /// Voters that said yes to the present question, a bit each.
    yes: u8,
    /// It may grant until then.
    until: Micros,
    /// It waits for the votes of a question that has not won yet.
    waits: bool,
    /// It stands again then.
    pub next: Micros,
}

impl Candidate {
    /// One that stands first at that time.
    pub fn new(next: Micros) -> Candidate {
        Candidate { next, ..Candidate::default() }
    }

    /// Until when it may grant; nothing: it may not now.
    pub fn authority(&self, now: Micros) -> Option<Micros> {
        Some(self.until).filter(|until| now < *until)
    }

    /// Asks all voters anew: the number of the question.
    pub fn stand(&mut self, now: Micros) -> u32 {
        self.question = self.question.wrapping_add(1);
        (self.asked, self.yes, self.waits) = (now, 0, true);
        self.question
    }

    /// A question that has not won is given up, and no answer to it counts any more: its number.
    pub fn give_up(&mut self) -> Option<u32> {
        std::mem::take(&mut self.waits).then(|| {
            self.question = self.question.wrapping_add(1);
            self.question.wrapping_sub(1)
        })
    }

    /// A voter, by its place among the `voters`, said yes. True: that question has a majority.
    pub fn voted(&mut self, voter: usize, voters: usize, question: u32, t: &Terms) -> bool {
        if question != self.question || voter >= voters {
            return false;
        }
        self.yes |= 1 << voter;
        let won = self.yes.count_ones() as usize * 2 > voters;
        if won {
            // From the question, whatever the votes took: each promise began later.
            self.until = self.until.max(self.asked + t.shorter(t.lease));
            self.waits = false;
        }
        won
    }

    /// The authority is laid down for good: votes that are on their way bring it back no more.
    pub fn resign(&mut self) {
        (self.until, self.waits, self.next) = (0, false, Micros::MAX);
        self.question = self.question.wrapping_add(1);
    }
}
