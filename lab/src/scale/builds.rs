//! How the processes of each layout are made: the star of today, with and without zones, and the tree.
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

/// Lease time, as the operators' page has it.
pub const LEASE: Micros = 1_200 * MILLISECOND;
/// Units of the first budget for each proxy.
const UNITS: u32 = 10;
/// Units of the second budget for each proxy.
const FEW_UNITS: u32 = 3;
/// Zones that are central caches.
const HUBS: u16 = 10;

/// The budgets of a fleet, whose sums are checked.
pub type BudgetsOf = Box<dyn Fn(&Layout) -> Vec<CheckedBudget>>;
/// What makes the processes of a fleet.
pub type BuildOf<C> = Box<dyn Fn(&Layout) -> Build<C>>;

/// How a fleet of one layout is made.
pub struct Recipe<C> {
    /// The layout.
    pub design: Design,
    /// The budgets, whose sums are checked.
    pub budgets: BudgetsOf,
    /// Makes processes; each wants all of every budget.
    pub build: BuildOf<C>,
}

fn wholes(layout: &Layout) -> [u32; 2] {
    [layout.proxies as u32 * UNITS, layout.proxies as u32 * FEW_UNITS]
}

/// Both budgets shared by all.
fn shared_by_all(layout: &Layout) -> Vec<CheckedBudget> {
    let group_of = vec![0; layout.proxies];
    wholes(layout).iter().map(|whole| CheckedBudget { total: *whole, group_of: group_of.clone() }).collect()
}

fn star_proxy(layout: &Layout, place: u16, now: Micros, entropy: [u8; 32]) -> StarProxy {
    let voters = layout.voters();
    let settings = threadward_budgets::Settings {
        index: place,
        proxies: layout.proxies as u16,
        voters: voters.clone(),
        totals: wholes(layout).to_vec(),
        lease: LEASE,
    };
    let mut budgets = Budgets::new(now, settings, entropy).unwrap_or_else(|error| panic!("{error}"));
    wholes(layout).iter().enumerate().for_each(|(budget, units)| budgets.set_demand(budget, *units));
    StarProxy::new(budgets, voters.contains(&place))
}

/// The star of today: one process divides for all.
pub fn star() -> Recipe<StarProxy> {
    Recipe {
        design: Design::Star,
        budgets: Box::new(shared_by_all),
        build: Box::new(|layout| {
            let layout = *layout;
            Box::new(move |place, now, entropy| star_proxy(&layout, place, now, entropy))
        }),
    }
}

/// The star with zones; `failing` is the zone that fails at the time.
pub fn zoned_star(failing: Rc<Cell<Option<u16>>>) -> Recipe<ZonedProxy> {
    Recipe {
        design: Design::Star,
        budgets: Box::new(shared_by_all),
        build: Box::new(move |layout| {
            let (layout, failing) = (*layout, Rc::clone(&failing));
            Box::new(move |place, now, entropy| {
                zoned_proxy(&layout, Rc::clone(&failing), place, now, entropy)
            })
        }),
    }
}

fn zoned_proxy(
    layout: &Layout,
    failing: Rc<Cell<Option<u16>>>,
    place: u16,
    now: Micros,
    entropy: [u8; 32],
) -> ZonedProxy {
    let star = star_proxy(layout, place, now, entropy);
    let locations = MAX_ZONES as u16 - HUBS;
    let stands = (usize::from(place) * usize::from(locations) / layout.proxies) as u16;
    let settings = threadward_zones::Settings {
        me: star.author(),
        proxies: layout.proxies as u16,
        voters: layout.voters(),
        own_zone: stands,
        lease: LEASE,
        zones: zones(locations),
    };
    let zones = Zones::new(now, settings).unwrap_or_else(|error| panic!("{error}"));
    let evidence = Evidence { stands, hubs: locations, zones: MAX_ZONES as u16, failing };
    ZonedProxy::new(place, star, zones, evidence, now)
}

/// As many zones as can be named today: locations, each tied to a hub, and hubs, which take each other's
/// load.
fn zones(locations: u16) -> Vec<Zone> {
    let cold = 20_000 * MILLISECOND;
    let hubs = locations..MAX_ZONES as u16;
    let location = |zone| Zone {
        kind: Kind::Location,
        region: zone % HUBS,
        warm_up: cold,
        fallbacks: hubs.clone().collect(),
    };
    let hub = |zone| Zone {
        kind: Kind::Parent,
        region: zone - locations,
        warm_up: cold,
        fallbacks: hubs.clone().filter(|other| *other != zone).collect(),
    };
    (0..locations).map(location).chain(hubs.clone().map(hub)).collect()
}

/// The zone that fails in an outage.
pub const FAILING: u16 = MAX_ZONES as u16 - HUBS;

/// The tree: the first budget is shared by all, the second by each region for itself.
pub fn tree() -> Recipe<TreeProxy> {
    Recipe {
        design: Design::Tree,
        budgets: Box::new(|layout| {
            let region_of = (0..layout.proxies).map(|place| layout.region(place) as u16).collect();
            let [fleet, _] = wholes(layout);
            vec![
                CheckedBudget { total: fleet, group_of: vec![0; layout.proxies] },
                CheckedBudget { total: region_whole(layout), group_of: region_of },
            ]
        }),
        build: Box::new(|layout| {
            let (layout, topology) = (*layout, Arc::new(topology(layout)));
            Box::new(move |place, now, entropy| tree_proxy(&layout, &topology, place, now, entropy))
        }),
    }
}

/// The whole of the second budget for each region of the mean size.
fn region_whole(layout: &Layout) -> u32 {
    (wholes(layout)[1] / layout.regions as u32).max(1)
}

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
    place: u16,
    now: Micros,
    entropy: [u8; 32],
) -> TreeProxy {
    let [fleet, _] = wholes(layout);
    let budgets = vec![
        SharedBudget { total_units: fleet, scope: Scope::Fleet },
        SharedBudget { total_units: region_whole(layout), scope: Scope::Region },
    ];
    let settings = threadward_control::Settings {
        proxy_index: place,
        topology: Arc::clone(topology),
        budgets: budgets.clone(),
        lease: LEASE,
    };
    let mut tree = ControlTree::new(now, settings, entropy).unwrap_or_else(|error| panic!("{error}"));
    budgets.iter().enumerate().for_each(|(budget, shared)| tree.set_demand(budget, shared.total_units));
    TreeProxy::new(tree)
}
