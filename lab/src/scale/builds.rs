//! Creates the processes of each layout: the present star, with and without zones, and the tree.
use super::fleet::{Build, CheckedBudget, MILLISECOND};
use super::hollow::{Evidence, StarProxy, TreeProxy, ZonedProxy};
use super::layout::Layout;
use super::report::Design;
use nickelgate::Micros;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use threadward_budgets::Budgets;
use threadward_control::{ControlTree, Location, Scope, SharedBudget, Topology};
use threadward_zones::{Kind, Zone, Zones, MAX_ZONES};

/// Lease time, as in the operators' documentation.
pub const LEASE: Micros = 1_200 * MILLISECOND;
/// Units of the first budget for each proxy.
const FIRST_UNITS_PER_PROXY: u32 = 10;
/// Units of the second budget for each proxy.
const SECOND_UNITS_PER_PROXY: u32 = 3;
/// Number of zones of parent caches.
const PARENT_ZONES: u16 = 10;

/// Returns the budgets of a fleet, whose sums of shares are checked.
pub type BudgetsOf = Box<dyn Fn(&Layout) -> Vec<CheckedBudget>>;
/// Returns the function that creates the processes of a fleet.
pub type BuildOf<C> = Box<dyn Fn(&Layout) -> Build<C>>;

/// How a fleet of one layout is created.
pub struct Recipe<C> {
    /// The layout.
    pub design: Design,
    /// Returns the budgets, whose sums of shares are checked.
    pub budgets: BudgetsOf,
    /// Creates processes, each of which asks for the total of every budget.
    pub build: BuildOf<C>,
}

/// Returns the totals of both budgets, in units.
fn budget_totals(layout: &Layout) -> [u32; 2] {
    [layout.proxies as u32 * FIRST_UNITS_PER_PROXY, layout.proxies as u32 * SECOND_UNITS_PER_PROXY]
}

/// Returns both budgets, each shared by all proxies.
fn shared_by_all(layout: &Layout) -> Vec<CheckedBudget> {
    let group_of = vec![0; layout.proxies];
    budget_totals(layout)
        .iter()
        .map(|total| CheckedBudget { total: *total, group_of: group_of.clone() })
        .collect()
}

fn star_proxy(layout: &Layout, index: u16, now: Micros, entropy: [u8; 32]) -> StarProxy {
    let voters = layout.voters();
    let settings = threadward_budgets::Settings {
        index,
        proxies: layout.proxies as u16,
        voters: voters.clone(),
        totals: budget_totals(layout).to_vec(),
        lease: LEASE,
    };
    let mut budgets = Budgets::new(now, settings, entropy).unwrap_or_else(|error| panic!("{error}"));
    budget_totals(layout).iter().enumerate().for_each(|(budget, units)| budgets.set_demand(budget, *units));
    StarProxy::new(budgets, voters.contains(&index))
}

/// Returns the recipe of the present star: one process divides the budgets for all.
pub fn star() -> Recipe<StarProxy> {
    Recipe {
        design: Design::Star,
        budgets: Box::new(shared_by_all),
        build: Box::new(|layout| {
            let layout = *layout;
            Box::new(move |index, now, entropy| star_proxy(&layout, index, now, entropy))
        }),
    }
}

/// Returns the recipe of the star with zones. `failing` holds the zone that fails at the moment, if any.
pub fn zoned_star(failing: Rc<Cell<Option<u16>>>) -> Recipe<ZonedProxy> {
    Recipe {
        design: Design::Star,
        budgets: Box::new(shared_by_all),
        build: Box::new(move |layout| {
            let (layout, failing) = (*layout, Rc::clone(&failing));
            Box::new(move |index, now, entropy| {
                zoned_proxy(&layout, Rc::clone(&failing), index, now, entropy)
            })
        }),
    }
}

fn zoned_proxy(
    layout: &Layout,
    failing: Rc<Cell<Option<u16>>>,
    index: u16,
    now: Micros,
    entropy: [u8; 32],
) -> ZonedProxy {
    let star = star_proxy(layout, index, now, entropy);
    let locations = MAX_ZONES as u16 - PARENT_ZONES;
    let own_zone = (usize::from(index) * usize::from(locations) / layout.proxies) as u16;
    let settings = threadward_zones::Settings {
        me: star.author(),
        proxies: layout.proxies as u16,
        voters: layout.voters(),
        own_zone,
        lease: LEASE,
        zones: zones(locations),
    };
    let zones = Zones::new(now, settings).unwrap_or_else(|error| panic!("{error}"));
    let evidence = Evidence { own_zone, first_parent: locations, zones: MAX_ZONES as u16, failing };
    ZonedProxy::new(index, star, zones, evidence, now)
}

/// Returns as many zones as settings may name: locations, which fall back to the parents, and parents, which
/// fall back to each other.
fn zones(locations: u16) -> Vec<Zone> {
    let warm_up = 20_000 * MILLISECOND;
    let parents = locations..MAX_ZONES as u16;
    let location = |zone| Zone {
        kind: Kind::Location,
        region: zone % PARENT_ZONES,
        warm_up,
        fallbacks: parents.clone().collect(),
    };
    let parent = |zone| Zone {
        kind: Kind::Parent,
        region: zone - locations,
        warm_up,
        fallbacks: parents.clone().filter(|other| *other != zone).collect(),
    };
    (0..locations).map(location).chain(parents.clone().map(parent)).collect()
}

/// The zone that fails in an outage: the first parent zone.
pub const FAILING_ZONE: u16 = MAX_ZONES as u16 - PARENT_ZONES;

/// Returns the recipe of the tree: all proxies share the first budget, and each region has a second budget of
/// its own.
pub fn tree() -> Recipe<TreeProxy> {
    Recipe {
        design: Design::Tree,
        budgets: Box::new(|layout| {
            let region_of = (0..layout.proxies).map(|index| layout.region(index) as u16).collect();
            let [fleet, _] = budget_totals(layout);
            vec![
                CheckedBudget { total: fleet, group_of: vec![0; layout.proxies] },
                CheckedBudget { total: region_total(layout), group_of: region_of },
            ]
        }),
        build: Box::new(|layout| {
            let (layout, topology) = (*layout, Arc::new(topology(layout)));
            Box::new(move |index, now, entropy| tree_proxy(&layout, &topology, index, now, entropy))
        }),
    }
}

/// Returns the total of the second budget of a region of mean size, in units.
fn region_total(layout: &Layout) -> u32 {
    (budget_totals(layout)[1] / layout.regions as u32).max(1)
}

/// Returns the regions and sites of all proxies.
fn topology(layout: &Layout) -> Topology {
    let names: Vec<(String, String)> = (0..layout.proxies)
        .map(|p| (format!("r{}", layout.region(p)), format!("s{}", layout.site(p))))
        .collect();
    let locations: Vec<Location<'_>> = names.iter().map(|(region, site)| Location { region, site }).collect();
    Topology::new(&locations).unwrap_or_else(|error| panic!("{error}"))
}

fn tree_proxy(
    layout: &Layout,
    topology: &Arc<Topology>,
    index: u16,
    now: Micros,
    entropy: [u8; 32],
) -> TreeProxy {
    let [fleet, _] = budget_totals(layout);
    let budgets = vec![
        SharedBudget { total_units: fleet, scope: Scope::Fleet },
        SharedBudget { total_units: region_total(layout), scope: Scope::Region },
    ];
    let settings = threadward_control::Settings {
        proxy_index: index,
        topology: Arc::clone(topology),
        budgets: budgets.clone(),
        lease: LEASE,
    };
    let mut tree = ControlTree::new(now, settings, entropy).unwrap_or_else(|error| panic!("{error}"));
    budgets.iter().enumerate().for_each(|(budget, shared)| tree.set_demand(budget, shared.total_units));
    TreeProxy::new(tree)
}
