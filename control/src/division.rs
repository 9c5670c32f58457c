//! Computes the units that belong to each group permanently, and the units that its leader divides among the
//! members. All of it follows from the settings alone, so that every process computes the same amounts.
use crate::settings::{Scope, Settings, SharedBudget};
use crate::topology::{Level, Topology};

/// The part of a fleet budget that belongs to the regions permanently, by weight, as a divisor. It is half: a
/// region that is cut off continues with half of its proportional share for as long as the cut lasts, where a
/// tenth would stop most of its fills. The other half still moves to where the demand is, so that a region at
/// its daily peak gets several times its proportional share.
const REGION_SHARE_DIVISOR: u64 = 2;
/// The part of a region's or site's permanent units that belongs to its members permanently, by weight, as a
/// divisor. It is a tenth, as in the division without a tree.
const MEMBER_SHARE_DIVISOR: u64 = 10;

/// The amounts of one group, in the order of the budgets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupAmounts {
    /// The units that the leader divides without a lease from above.
    pub pools: Vec<u32>,
    /// The units that belong to one member permanently and that it does not pass on to its own members: the
    /// floor of a proxy, or the pool of a site or region.
    pub member_floors: Vec<u32>,
}

/// Returns the amounts of this proxy's group at a level, and of its own seat in that group.
pub fn group_amounts(settings: &Settings, level: Level) -> GroupAmounts {
    let division = Division { topology: &settings.topology };
    let (proxy_index, topology) = (settings.proxy_index, &settings.topology);
    let group = topology.group_of(proxy_index, level);
    let pools = settings.budgets.iter().map(|budget| division.pool(budget, level, group)).collect();
    let member = |budget: &SharedBudget| match level {
        Level::Site => division.proxy_floor(budget, group),
        Level::Region => division.pool(budget, Level::Site, topology.group_of(proxy_index, Level::Site)),
        Level::Fleet => division.pool(budget, Level::Region, topology.group_of(proxy_index, Level::Region)),
    };
    GroupAmounts { pools, member_floors: settings.budgets.iter().map(member).collect() }
}

struct Division<'a> {
    topology: &'a Topology,
}

impl Division<'_> {
    /// Returns the units that belong to a region permanently.
    fn region_units(&self, budget: &SharedBudget, region: u16) -> u32 {
        match budget.scope {
            Scope::Region => budget.total_units,
            Scope::Fleet => {
                let weight = self.topology.weight_of_seat(Level::Fleet, 0, region);
                part(budget.total_units, weight, self.topology.proxies() as u64 * REGION_SHARE_DIVISOR)
            }
        }
    }

    /// Returns the units that belong to a site of a region permanently.
    fn site_units(&self, budget: &SharedBudget, region: u16, seat: u16) -> u32 {
        let weight = self.topology.weight_of_seat(Level::Region, region, seat);
        let all = self.topology.weight_of_seat(Level::Fleet, 0, region);
        part(self.region_units(budget, region), weight, all * MEMBER_SHARE_DIVISOR)
    }

    /// Returns the units that belong to a site permanently, by its index in the fleet.
    fn site_group_units(&self, budget: &SharedBudget, site: u16) -> u32 {
        let Some(first) = self.topology.proxies_of_seat(Level::Site, site, 0).first() else { return 0 };
        let region = self.topology.group_of(*first, Level::Region);
        self.site_units(budget, region, self.topology.seat_of(*first, Level::Region))
    }

    /// Returns the units that belong to each proxy of a site permanently.
    fn proxy_floor(&self, budget: &SharedBudget, site: u16) -> u32 {
        let members = u64::from(self.topology.members(Level::Site, site));
        part(self.site_group_units(budget, site), 1, members * MEMBER_SHARE_DIVISOR)
    }

    /// Returns the permanent units of a group less the permanent units of its members.
    fn pool(&self, budget: &SharedBudget, level: Level, group: u16) -> u32 {
        let seats = 0..self.topology.members(level, group);
        match level {
            Level::Site => {
                let floors = u32::from(seats.end) * self.proxy_floor(budget, group);
                self.site_group_units(budget, group) - floors
            }
            Level::Region => {
                let sites: u32 = seats.map(|seat| self.site_units(budget, group, seat)).sum();
                self.region_units(budget, group) - sites
            }
            Level::Fleet => match budget.scope {
                Scope::Region => 0,
                Scope::Fleet => {
                    let regions: u32 = seats.map(|region| self.region_units(budget, region)).sum();
                    budget.total_units - regions
                }
            },
        }
    }
}

/// Returns `total * weight / all`, rounded down. For weights that sum to `all` at most, the results never sum
/// to more than the total.
fn part(total: u32, weight: u64, all: u64) -> u32 {
    let share = u64::from(total) * weight / all.max(1);
    u32::try_from(share).unwrap_or(total).min(total)
}
