//! One budget's division among those that want some of it: the max-min fair part of one holder, and whose turn a unit
//! over is. It owns the wants, the line for units over and the sum of what counts as granted. It must never take a step
//! that grows with the number of holders beyond its logarithm.
//!
//! **The even part.** Sort the wants; with `before` the sum of the `i` smallest of `n`, the holder at `i` wants more
//! than an even part of what is left where `before + want * (n - i) > pool`. The left side only grows with `i`, so the
//! first such holder is found by one descent of a tree of the wants. All from there on get the even part, all before
//! get what they want.
//!
//! **Units over** go to those that are first in line, a turn at a time: a unit on its way from one to another is used by
//! nobody. A holder is put into the line, or taken out of it, by its own question, as its want is over the even part or
//! not. One that crosses the even part because others changed is moved by its own next question, an ask interval later
//! at most. Until then a unit over may go to another than an exact line would give it to, or to nobody: a fair part may
//! be one unit off. The even part is always exact, the line is too where all want the whole pool, and no sum depends on
//! the line: the ledger grants no more than what is free.
use crate::order_tree::{Key, OrderTree};

/// Grants with a unit over that make a turn: two lease times.
const TURN: u64 = 8;

/// One holder's standing in the division.
#[derive(Clone, Debug, Default)]
pub struct Standing {
    want: u32,
    /// What counts as granted to it.
    counted: u32,
    /// Grants that gave it a unit over the even part.
    turns: u64,
    /// Its rank in line, while it stands there.
    queued: Option<u64>,
}

impl Standing {
    /// What counts as granted to the holder.
    pub fn counted(&self) -> u32 {
        self.counted
    }

    /// Fewest turns first; among those with as many the one that has something already.
    fn rank(&self) -> u64 {
        self.turns / TURN * 2 + u64::from(self.counted == 0)
    }
}

/// A holder's fair part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Units, one over the even part included.
    pub units: u32,
    /// Whether there is one over the even part in it.
    pub over: bool,
}

/// What each gets that wants more than that.
struct Level {
    even: u32,
    /// So many of them get one more.
    over: usize,
}

/// The division of one budget.
///
/// ```
/// use threadward_budgets::fair_share::{FairShare, Part, Standing};
///
/// let mut division = FairShare::default();
/// let mut standings = vec![Standing::default(); 3];
/// let mut ask = |place: u16, want| division.part(place, &mut standings[usize::from(place)], want, 10);
/// assert_eq!(ask(0, 3).units, 3);
/// assert_eq!(ask(1, 9).units, 7, "what the first does not want");
/// assert_eq!(ask(2, 9), Part { units: 3, over: false }, "an even part; the second is first in line");
/// assert_eq!(ask(1, 9), Part { units: 4, over: true });
/// ```
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    /// The wants that are not 0.
    wants: OrderTree,
    /// By rank, those that wanted more than the even part, or the whole pool, at their own last question.
    line: OrderTree,
    granted: u64,
}

impl FairShare {
    /// The sum of what counts as granted.
    pub fn granted(&self) -> u64 {
        self.granted
    }

    /// The sum of the wants.
    pub fn wanted(&self) -> u64 {
        self.wants.whole().sum
    }

    /// From here on this much counts as granted to the holder.
    pub fn count(&mut self, place: u16, standing: &mut Standing, counted: u32) {
        self.granted = self.granted - u64::from(standing.counted) + u64::from(counted);
        standing.counted = counted;
        self.queue(place, standing, standing.queued.is_some());
    }

    /// The fair part of a holder that wants this much.
    pub fn part(&mut self, place: u16, standing: &mut Standing, want: u32, pool: u32) -> Part {
        self.want(place, standing, want);
        let level = self.level(pool).filter(|level| want > level.even);
        // Whoever wants the whole pool is over the even part as soon as another wants something: it waits in line also
        // while it is alone, so that the line is exact where all want everything.
        let wants_whole = want > 0 && want >= pool;
        self.queue(place, standing, level.is_some() || wants_whole);
        let Some(level) = level else { return Part { units: want, over: false } };
        let over = self.line.position(Key { value: standing.rank(), place }) < level.over;
        Part { units: level.even + u32::from(over), over }
    }

    /// The holder was given a unit over the even part.
    pub fn turn(&mut self, place: u16, standing: &mut Standing) {
        standing.turns += 1;
        self.queue(place, standing, standing.queued.is_some());
    }

    /// The holder wants nothing any more.
    pub fn want_nothing(&mut self, place: u16, standing: &mut Standing) {
        self.want(place, standing, 0);
        self.queue(place, standing, false);
    }

    fn want(&mut self, place: u16, standing: &mut Standing, want: u32) {
        if want == standing.want {
            return;
        }
        if standing.want > 0 {
            self.wants.remove(Key { value: standing.want.into(), place });
        }
        if want > 0 {
            self.wants.insert(Key { value: want.into(), place });
        }
        standing.want = want;
    }

    /// The even part, if there is one that wants more.
    fn level(&self, pool: u32) -> Option<Level> {
        let (pool, all) = (u64::from(pool), self.wants.whole().count);
        // A want has 32 bits and there are at most 2^16 of them: the products and sums fit.
        let gets_all =
            self.wants.prefix(|before, key| before.sum + key.value * (all - before.count) as u64 <= pool);
        let many = (all - gets_all.count) as u64;
        let left = pool - gets_all.sum;
        (many > 0).then(|| Level { even: (left / many) as u32, over: (left % many) as usize })
    }

    /// Puts the holder into the line at its present rank, or takes it out.
    fn queue(&mut self, place: u16, standing: &mut Standing, stands: bool) {
        let rank = stands.then(|| standing.rank());
        if rank == standing.queued {
            return;
        }
        if let Some(value) = standing.queued {
            self.line.remove(Key { value, place });
        }
        if let Some(value) = rank {
            self.line.insert(Key { value, place });
        }
        standing.queued = rank;
    }
}
