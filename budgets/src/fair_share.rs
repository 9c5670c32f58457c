//! One budget's division among those that want some of it: the max-min fair part of one holder, and whose turn a unit
//! over is. It owns the wants, the line for units over and the sum of what counts as granted. It must never take a step
//! that grows with the number of holders beyond its logarithm.
//!
//! **The even part.** Sort the wants; with `before` the sum of the `i` smallest of `n`, the holder at `i` wants more
//! than an even part of what is left where `before + demand * (n - i) > pool`. The left side only grows with `i`, so the
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
pub struct HolderState {
    demand: u32,
    /// What counts as granted to it.
    granted: u32,
    /// Grants that gave it a unit over the even part.
    turns: u64,
    /// Its rank in line, while it stands there.
    queued: Option<u64>,
}

impl HolderState {
    /// What counts as granted to the holder.
    pub fn granted(&self) -> u32 {
        self.granted
    }

    /// Fewest turns first; among those with as many the one that has something already.
    fn rank(&self) -> u64 {
        self.turns / TURN * 2 + u64::from(self.granted == 0)
    }
}

/// A holder's fair part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// Units, one over the even part included.
    pub units: u32,
    /// Whether there is one over the even part in it.
    pub has_extra: bool,
}

/// What each gets that wants more than that.
struct Level {
    even: u32,
    /// So many of them get one more.
    has_extra: usize,
}

/// The division of one budget.
///
/// ```
/// use threadward_budgets::fair_share::{FairShare, Allocation, HolderState};
///
/// let mut division = FairShare::default();
/// let mut states = vec![HolderState::default(); 3];
/// let mut ask = |index: u16, demand| division.allocate(index, &mut states[usize::from(index)], demand, 10);
/// assert_eq!(ask(0, 3).units, 3);
/// assert_eq!(ask(1, 9).units, 7, "what the first does not want");
/// assert_eq!(ask(2, 9), Allocation { units: 3, has_extra: false }, "an even part; the second is first in line");
/// assert_eq!(ask(1, 9), Allocation { units: 4, has_extra: true });
/// ```
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    /// The wants that are not 0.
    demands: OrderTree,
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
    pub fn total_demand(&self) -> u64 {
        self.demands.total().sum
    }

    /// From here on this much counts as granted to the holder.
    pub fn set_granted(&mut self, index: u16, state: &mut HolderState, granted: u32) {
        self.granted = self.granted - u64::from(state.granted) + u64::from(granted);
        state.granted = granted;
        self.queue(index, state, state.queued.is_some());
    }

    /// The fair part of a holder that wants this much.
    pub fn allocate(&mut self, index: u16, state: &mut HolderState, demand: u32, pool: u32) -> Allocation {
        self.set_demand(index, state, demand);
        let level = self.level(pool).filter(|level| demand > level.even);
        // Whoever wants the whole pool is over the even part as soon as another wants something: it waits in line also
        // while it is alone, so that the line is exact where all want everything.
        let wants_whole = demand > 0 && demand >= pool;
        self.queue(index, state, level.is_some() || wants_whole);
        let Some(level) = level else { return Allocation { units: demand, has_extra: false } };
        let has_extra = self.line.position(Key { value: state.rank(), index }) < level.has_extra;
        Allocation { units: level.even + u32::from(has_extra), has_extra }
    }

    /// The holder was given a unit over the even part.
    pub fn record_extra_unit(&mut self, index: u16, state: &mut HolderState) {
        state.turns += 1;
        self.queue(index, state, state.queued.is_some());
    }

    /// The holder wants nothing any more.
    pub fn clear_demand(&mut self, index: u16, state: &mut HolderState) {
        self.set_demand(index, state, 0);
        self.queue(index, state, false);
    }

    fn set_demand(&mut self, index: u16, state: &mut HolderState, demand: u32) {
        if demand == state.demand {
            return;
        }
        if state.demand > 0 {
            self.demands.remove(Key { value: state.demand.into(), index });
        }
        if demand > 0 {
            self.demands.insert(Key { value: demand.into(), index });
        }
        state.demand = demand;
    }

    /// The even part, if there is one that wants more.
    fn level(&self, pool: u32) -> Option<Level> {
        let (pool, all) = (u64::from(pool), self.demands.total().count);
        // A want has 32 bits and there are at most 2^16 of them: the products and sums fit.
        let gets_all =
            self.demands.prefix(|before, key| before.sum + key.value * (all - before.count) as u64 <= pool);
        let many = (all - gets_all.count) as u64;
        let left = pool - gets_all.sum;
        (many > 0).then(|| Level { even: (left / many) as u32, has_extra: (left % many) as usize })
    }

    /// Puts the holder into the line at its present rank, or takes it out.
    fn queue(&mut self, index: u16, state: &mut HolderState, stands: bool) {
        let rank = stands.then(|| state.rank());
        if rank == state.queued {
            return;
        }
        if let Some(value) = state.queued {
            self.line.remove(Key { value, index });
        }
        if let Some(value) = rank {
            self.line.insert(Key { value, index });
        }
        state.queued = rank;
    }
}
