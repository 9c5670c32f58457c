//! What belongs to each group for good, and what its leader divides among the members beside that. All of it follows
//! from the settings alone, so that every process reckons the same amounts.
use crate::settings::{Scope, Settings, SharedBudget};
use crate::topology::{Level, Topology};

/// Part of a fleet budget that is set aside for the regions, by weight: one part in so many. Half: a region that is cut
/// off goes on with half of its even part for as long as it takes, where a tenth would stop most of its fills; the other
/// half still moves to where it is wanted, so that a region at its daily peak gets several times its even part.
const REGIONS_SET_ASIDE: u64 = 2;
/// Part of what a region or site has for good that is set aside for its members, by weight: one part in so many. A tenth,
/// as without a tree.
const MEMBERS_SET_ASIDE: u64 = 10;

/// Amounts of one group, in the order of the budgets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupAmounts {
    /// What the leader divides without any lease from above.
    pub pools: Vec<u32>,
    /// What belongs to one member for good and is not handed on by it in turn: the floor of a proxy, the pool of a site
    /// or region.
    pub member_own: Vec<u32>,
}

/// Amounts of the group of a proxy at a level, and of its own seat there.
pub fn group_amounts(settings: &Settings, level: Level) -> GroupAmounts {
    let division = Division { topology: &settings.topology };
    let (place, topology) = (settings.proxy_index, &settings.topology);
    let group = topology.group_of(place, level);
    let pools = settings.budgets.iter().map(|budget| division.pool(budget, level, group)).collect();
    let member = |budget: &SharedBudget| match level {
        Level::Site => division.floor_of_proxy(budget, group),
        Level::Region => division.pool(budget, Level::Site, topology.group_of(place, Level::Site)),
        Level::Fleet => division.pool(budget, Level::Region, topology.group_of(place, Level::Region)),
    };
    GroupAmounts { pools, member_own: settings.budgets.iter().map(member).collect() }
}

struct Division<'a> {
    topology: &'a Topology,
}

impl Division<'_> {
    fn of_region(&self, budget: &SharedBudget, region: u16) -> u32 {
        match budget.scope {
            Scope::Region => budget.total_units,
            Scope::Fleet => {
                let weight = self.topology.weight_of_seat(Level::Fleet, 0, region);
                part(budget.total_units, weight, self.topology.proxies() as u64 * REGIONS_SET_ASIDE)
            }
        }
    }

    fn of_site(&self, budget: &SharedBudget, region: u16, seat: u16) -> u32 {
        let weight = self.topology.weight_of_seat(Level::Region, region, seat);
        let all = self.topology.weight_of_seat(Level::Fleet, 0, region);
        part(self.of_region(budget, region), weight, all * MEMBERS_SET_ASIDE)
    }

    fn of_site_group(&self, budget: &SharedBudget, site: u16) -> u32 {
        let Some(first) = self.topology.proxies_of_seat(Level::Site, site, 0).first() else { return 0 };
        let region = self.topology.group_of(*first, Level::Region);
        self.of_site(budget, region, self.topology.seat_of(*first, Level::Region))
    }

    fn floor_of_proxy(&self, budget: &SharedBudget, site: u16) -> u32 {
        let members = u64::from(self.topology.members(Level::Site, site));
        part(self.of_site_group(budget, site), 1, members * MEMBERS_SET_ASIDE)
    }

    /// What belongs to a group, less what belongs to its members.
    fn pool(&self, budget: &SharedBudget, level: Level, group: u16) -> u32 {
        let seats = 0..self.topology.members(level, group);
        match level {
            Level::Site => {
                let floors = u32::from(seats.end) * self.floor_of_proxy(budget, group);
                self.of_site_group(budget, group) - floors
            }
            Level::Region => {
                let sites: u32 = seats.map(|seat| self.of_site(budget, group, seat)).sum();
                self.of_region(budget, group) - sites
            }
            Level::Fleet => match budget.scope {
                Scope::Region => 0,
                Scope::Fleet => {
                    let regions: u32 = seats.map(|region| self.of_region(budget, region)).sum();
                    budget.total_units - regions
                }
            },
        }
    }
}

/// `whole * weight / all`, rounded down: parts of weights that sum to `all` at most never sum to more than the whole.
fn part(whole: u32, weight: u64, all: u64) -> u32 {
    let share = u64::from(whole) * weight / all.max(1);
    u32::try_from(share).unwrap_or(whole).min(whole)
}
