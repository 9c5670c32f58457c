//! The division of one budget among the holders that demand some of it: the max-min fair share of one holder,
//! and which holders get the units that an even division leaves over. It keeps the demands, the queue for
//! leftover units and the sum of what counts as granted. No operation grows faster than the logarithm of the
//! number of holders.
//!
//! **The even share.** Sort the demands; with `before` the sum of the `i` smallest of `n`, the holder at `i`
//! demands more than an even share of what is left where `before + demand * (n - i) > pool`. The left side
//! only grows with `i`, so the first such holder is found by one descent of a tree of the demands. That
//! holder and all after it get the even share, all before it get what they demand.
//!
//! **Leftover units** go to the holders at the head of the queue, each for several grants in a row, because a
//! unit that moves from one holder to another is used by nobody meanwhile. A holder is queued, or taken out
//! of the queue, by its own request, as its demand is above the even share or not. One that crosses the even
//! share because others changed is moved by its own next request, a request interval later at most. Until
//! then a leftover unit may go to another holder than an exact queue would choose, or to nobody: a fair share
//! may be one unit off. The even share is always exact, the queue is exact too where all demand the whole
//! pool, and no sum depends on the queue: the ledger grants no more than what is free.
use crate::order_tree::{Key, OrderTree};

/// Number of grants with a leftover unit before the holder moves back in the queue: two lease times of
/// requests.
const GRANTS_PER_TURN: u64 = 8;

/// One holder's state in the division of a budget.
#[derive(Clone, Debug, Default)]
pub struct HolderState {
    demand: u32,
    /// Units that count as granted to it.
    granted: u32,
    /// Number of grants that gave it a leftover unit.
    extra_grants: u64,
    /// Its rank in the queue for leftover units while it is queued.
    queued_rank: Option<u64>,
}

impl HolderState {
    /// Returns the units that count as granted to the holder.
    pub fn granted(&self) -> u32 {
        self.granted
    }

    /// Returns the queue rank, lower first: fewest turns first, and among equal ones those that hold
    /// something already.
    fn rank(&self) -> u64 {
        self.extra_grants / GRANTS_PER_TURN * 2 + u64::from(self.granted == 0)
    }
}

/// A holder's fair share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// Units, a leftover unit included.
    pub units: u32,
    /// Whether it contains a leftover unit.
    pub has_extra: bool,
}

/// What each holder gets that demands more than the even share.
struct EvenShare {
    units: u32,
    /// Number of those holders that get one unit more.
    leftover: usize,
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
/// assert_eq!(ask(1, 9).units, 7, "what the first does not demand");
/// let even_share = Allocation { units: 3, has_extra: false };
/// assert_eq!(ask(2, 9), even_share, "the second holder is first in the queue for the leftover unit");
/// assert_eq!(ask(1, 9), Allocation { units: 4, has_extra: true });
/// ```
#[derive(Clone, Debug, Default)]
pub struct FairShare {
    /// The demands that are not 0.
    demands: OrderTree,
    /// By rank, the holders that demanded more than the even share, or the whole pool, in their own last
    /// request.
    queue: OrderTree,
    granted: u64,
}

impl FairShare {
    /// Returns the sum of what counts as granted.
    pub fn granted(&self) -> u64 {
        self.granted
    }

    /// Returns the sum of the demands.
    pub fn total_demand(&self) -> u64 {
        self.demands.total().sum
    }

    /// Sets how many units count as granted to the holder.
    pub fn set_granted(&mut self, index: u16, state: &mut HolderState, granted: u32) {
        self.granted = self.granted - u64::from(state.granted) + u64::from(granted);
        state.granted = granted;
        self.set_queued(index, state, state.queued_rank.is_some());
    }

    /// Records the holder's demand, updates its place in the queue and returns its fair share.
    pub fn allocate(&mut self, index: u16, state: &mut HolderState, demand: u32, pool: u32) -> Allocation {
        self.set_demand(index, state, demand);
        let even_share = self.even_share(pool).filter(|even_share| demand > even_share.units);
        // A holder that demands the whole pool is above the even share as soon as another demands something.
        // It is queued also while it is alone, so that the queue is exact where all demand everything.
        let demands_whole_pool = demand > 0 && demand >= pool;
        self.set_queued(index, state, even_share.is_some() || demands_whole_pool);
        let Some(even_share) = even_share else { return Allocation { units: demand, has_extra: false } };
        let has_extra = self.queue.position(Key { value: state.rank(), index }) < even_share.leftover;
        Allocation { units: even_share.units + u32::from(has_extra), has_extra }
    }

    /// Records that the holder was granted a leftover unit.
    pub fn record_extra_unit(&mut self, index: u16, state: &mut HolderState) {
        state.extra_grants += 1;
        self.set_queued(index, state, state.queued_rank.is_some());
    }

    /// Sets the holder's demand to 0 and takes it out of the queue.
    pub fn clear_demand(&mut self, index: u16, state: &mut HolderState) {
        self.set_demand(index, state, 0);
        self.set_queued(index, state, false);
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

    /// Returns the even share, if any holder demands more than that.
    fn even_share(&self, pool: u32) -> Option<EvenShare> {
        let (pool, total) = (u64::from(pool), self.demands.total().count);
        // A demand has 32 bits and there are at most 2^16 of them: the products and sums fit.
        let fully_served =
            self.demands.prefix(|before, key| before.sum + key.value * (total - before.count) as u64 <= pool);
        let limited = (total - fully_served.count) as u64;
        let remainder = pool - fully_served.sum;
        (limited > 0).then(|| EvenShare {
            units: (remainder / limited) as u32,
            leftover: (remainder % limited) as usize,
        })
    }

    /// Queues the holder at its present rank, or takes it out of the queue.
    fn set_queued(&mut self, index: u16, state: &mut HolderState, is_queued: bool) {
        let rank = is_queued.then(|| state.rank());
        if rank == state.queued_rank {
            return;
        }
        if let Some(value) = state.queued_rank {
            self.queue.remove(Key { value, index });
        }
        if let Some(value) = rank {
            self.queue.insert(Key { value, index });
        }
        state.queued_rank = rank;
    }
}
