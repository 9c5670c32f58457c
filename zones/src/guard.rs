//! The capacity guard: decides whether a zone may be left and how much of its load fits into other zones.
//!
//! It never lets the last zone of a kind go, and never counts the same free capacity for two zones.
use crate::state::{State, Status};
use crate::{Kind, Zone};

/// The part of a zone's capacity that is counted on, in thousandths. The rest is for bursts and retries.
const USABLE_CAPACITY_PERMILLE: u64 = 900;
/// The weight of a new sample in the moving averages of load and capacity: one part in this many.
const AVERAGE_DIVISOR: u64 = 4;

/// The fraction of successes that does not keep a zone, in thousandths of the proxies that tried it: one
/// proxy in ten may lie, or may have reported success before the zone failed.
const IGNORED_SUCCESS_PERMILLE: u32 = 100;

/// The load and capacity of a zone while it was in service, in attempts per two seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ZoneLoad {
    /// Moving average of its load; 0 if unknown.
    pub load: u32,
    /// Moving average of the load that it could carry; 0 if unknown.
    pub capacity: u32,
}

impl ZoneLoad {
    /// Adds a sample of a zone in service to the averages. `capacity` follows from the utilization that the
    /// members report, `None` if they report none. The average of the capacity never falls below that of the
    /// load.
    pub fn update(&mut self, load: u32, capacity: Option<u32>) {
        let mean = |old, new| {
            ((u64::from(old) * (AVERAGE_DIVISOR - 1) + u64::from(new)).div_ceil(AVERAGE_DIVISOR)) as u32
        };
        let toward = |old: u32, new: u32| if old == 0 { new } else { mean(old, new) };
        self.load = toward(self.load, load);
        self.capacity = capacity.map_or(self.capacity, |c| toward(self.capacity, c).max(self.load));
    }
}

/// Returns `None` if `zone` must stay in service. Otherwise returns the thousandths of its load that fit into
/// other zones, and the thousandths of the requests to the proxies in the zone that have to be refused.
/// `served` is the thousandths of the proxies that tried the zone for which it still works.
///
/// ```
/// use threadward_zones::guard::{leave_plan, ZoneLoad};
/// use threadward_zones::state::{State, Status};
/// use threadward_zones::{Kind, Zone};
/// let parent = |fallbacks| Zone { kind: Kind::Parent, region: 0, warm_up: 0, fallbacks };
/// let zones = [parent(vec![1, 2]), parent(vec![0, 2]), parent(vec![0, 1])];
/// let loads = [ZoneLoad { load: 100, capacity: 200 }; 3];
/// let mut status = [Status::default(); 3];
/// assert_eq!(leave_plan(&zones, &status, &loads, 0, 0), Some((1000, 0)), "each of two has room for 80");
/// status[1] = Status { state: State::Out, moved_permille: 1000, ..status[1] };
/// assert_eq!(leave_plan(&zones, &status, &loads, 0, 0), Some((0, 0)), "the free capacity is used up");
/// assert_eq!(leave_plan(&zones, &status, &loads, 0, 101), None, "the zone still works for more than 100");
/// status[2].state = State::Out;
/// assert_eq!(leave_plan(&zones, &status, &loads, 0, 0), None, "it is the last of its kind");
/// ```
pub fn leave_plan(
    zones: &[Zone],
    status: &[Status],
    loads: &[ZoneLoad],
    zone: usize,
    served: u32,
) -> Option<(u16, u16)> {
    let kind = zones[zone].kind;
    let in_service = |z: usize| matches!(status[z].state, State::In | State::Suspect);
    let others = (0..zones.len()).filter(|z| *z != zone && zones[*z].kind == kind && in_service(*z)).count();
    if others == 0 {
        return None;
    }
    let fallbacks =
        || zones[zone].fallbacks.iter().map(|t| usize::from(*t)).filter(|t| *t != zone && in_service(*t));
    // Without a fallback the zone stays: each proxy already skips the failing members on its own, which
    // refuses as soon, and the rest of the zone still serves.
    fallbacks().next()?;
    // If the capacity of a fallback is unknown, a zone that serves hardly anything is moved whatever the free
    // capacity: the limits of the fallbacks and of the proxies shed the excess. A zone that still serves
    // stays.
    if fallbacks().any(|t| loads[t].capacity == 0) {
        return (served <= IGNORED_SUCCESS_PERMILLE).then_some((1000, 0));
    }
    // The free capacity of the fallbacks, less the load that they already carry for zones that are out.
    let free = |t: usize| {
        (u64::from(loads[t].capacity) * USABLE_CAPACITY_PERMILLE / 1000)
            .saturating_sub(u64::from(loads[t].load))
    };
    let total_free: u64 = fallbacks().map(free).sum();
    let taken_over: u64 = (0..zones.len())
        .filter(|z| {
            *z != zone
                && !in_service(*z)
                && zones[*z].fallbacks.iter().any(|t| zones[zone].fallbacks.contains(t))
        })
        .map(|z| u64::from(loads[z].load) * u64::from(status[z].moved_permille) / 1000)
        .sum();
    let load = loads[zone].load;
    let left = total_free.saturating_sub(taken_over) * 1000;
    let moved = left.checked_div(u64::from(load)).map_or(1000, |m| m.min(1000) as u32);
    if moved + IGNORED_SUCCESS_PERMILLE < served {
        return None;
    }
    // For a location, the requests that fit nowhere are refused on arrival. For a parent zone, the proxies'
    // own limits shed the fills that fit nowhere: hits need no fill, and refusing requests would lose the
    // hits too.
    let refused = if kind == Kind::Location { 1000 - moved } else { 0 };
    Some((moved as u16, refused as u16))
}
