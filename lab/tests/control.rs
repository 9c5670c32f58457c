//! Tests budgets divided down a tree of fleet, regions and sites, in virtual time: what all proxies of the
//! fleet, or of a region, may use never exceeds the whole, over random schedules and in each difficult case.
use rand_core::RngCore;
use std::sync::Arc;
use threadward_control::{ControlTree, Level, Location, Scope, SharedBudget, Topology};
use threadward_lab::budget_simulation::{BudgetSimulation, TreeSettings, MS, S};
use threadward_lab::net::NetworkConditions;
use threadward_lab::stream;

const LEASE: u64 = 1200 * MS;
/// Units of a budget of the fleet, of an indivisible one of the fleet, and of a budget that each region has
/// for itself.
const TOTALS: [u32; 3] = [600, 1, 90];

/// For each region, the number of proxies of each site.
type Shape<'a> = &'a [&'a [u16]];

fn topology(shape: Shape) -> Arc<Topology> {
    let mut names = Vec::new();
    for (region, sites) in shape.iter().enumerate() {
        for (site, proxies) in sites.iter().enumerate() {
            let name = || (format!("region-{region}"), format!("site-{region}-{site}"));
            names.extend((0..*proxies).map(|_| name()));
        }
    }
    let locations: Vec<Location> = names.iter().map(|(region, site)| Location { region, site }).collect();
    Arc::new(Topology::new(&locations).unwrap())
}

fn settings(shape: Shape) -> TreeSettings {
    let fleet = |whole| SharedBudget { total_units: whole, scope: Scope::Fleet };
    let region = SharedBudget { total_units: TOTALS[2], scope: Scope::Region };
    let budgets = vec![fleet(TOTALS[0]), fleet(TOTALS[1]), region];
    TreeSettings { topology: topology(shape), budgets, lease: LEASE }
}

fn started(seed: u64, shape: Shape, network_conditions: NetworkConditions) -> BudgetSimulation<ControlTree> {
    let settings = settings(shape);
    let proxies = settings.topology.proxies();
    let mut fleet = BudgetSimulation::tree(seed, settings, network_conditions);
    (0..proxies).for_each(|place| fleet.start(place));
    fleet
}

/// Asserts that no total was exceeded at any moment so far.
fn assert_sums(fleet: &BudgetSimulation<ControlTree>, what: &str) {
    assert!(fleet.max_sums[0] <= TOTALS[0] && fleet.max_sums[1] <= TOTALS[1], "{what}: {:?}", fleet.max_sums);
    for (region, most) in fleet.max_group_sums.iter().enumerate() {
        assert!(most[2] <= TOTALS[2], "{what}: region {region} used {most:?}");
    }
}

/// Runs until a condition holds and returns the time passed; `None` if it doesn't hold within the limit.
fn until(
    fleet: &mut BudgetSimulation<ControlTree>,
    limit: u64,
    mut holds: impl FnMut(&mut BudgetSimulation<ControlTree>) -> bool,
) -> Option<u64> {
    let start = fleet.now();
    while fleet.now() < start + limit {
        if holds(fleet) {
            return Some(fleet.now() - start);
        }
        fleet.run(20 * MS);
    }
    None
}

const SHAPES: [Shape; 7] = [
    &[&[3]],
    &[&[1], &[1], &[1]],
    &[&[1, 3, 1], &[2, 1], &[1]],
    &[&[5, 4, 1, 3, 1], &[1], &[2]],
    &[&[1, 1], &[1, 1], &[1, 1], &[1, 1], &[1, 1]],
    &[&[2, 3], &[3, 3, 3]],
    &[&[4, 4, 4, 4], &[1], &[1]],
];

/// Runs one random schedule. Returns the share of the first budget in use at its end, and whether the single
/// unit of the second was ever in use.
fn play(seed: u64) -> (f64, bool) {
    let mut dice = stream(seed, 0xd1ce);
    let mut roll = |sides: u64| dice.next_u64() % sides;
    let shape = SHAPES[roll(SHAPES.len() as u64) as usize];
    let network_conditions = NetworkConditions {
        loss: roll(30) as f64 / 100.0,
        duplicated: roll(30) as f64 / 100.0,
        min_delay: MS,
        max_delay: MS + roll(LEASE),
        slow: roll(10) as f64 / 100.0,
    };
    let mut fleet = started(seed, shape, network_conditions);
    let topology = topology(shape);
    let count = topology.proxies() as u64;
    let all: Vec<usize> = (0..count as usize).collect();
    fleet.run(roll(12 * LEASE));
    for _ in 0..50 {
        let level = [Level::Site, Level::Region, Level::Fleet][roll(3) as usize];
        let leaders = fleet.leaders(level);
        let any = roll(count) as usize;
        // A leader in half of the cases.
        let one = leaders.get(roll(2 * leaders.len().max(1) as u64) as usize).copied().unwrap_or(any);
        let other = roll(count) as usize;
        match roll(12) {
            0 => fleet.kill(one),
            1 | 2 => fleet.start(one),
            3 => fleet.leave(one),
            4 | 5 => fleet.pause(one, roll(10 * LEASE)),
            6 => {
                let region = topology.group_of(one as u16, Level::Region);
                let (inside, outside): (Vec<usize>, Vec<usize>) =
                    all.iter().partition(|place| topology.group_of(**place as u16, Level::Region) == region);
                fleet.net.cut_groups(&inside, &outside);
            }
            7 => fleet.net.restore_links(),
            8 if one != other => fleet.net.cut(one, other),
            9 => all.iter().filter(|place| **place != one).for_each(|place| fleet.net.cut(one, *place)),
            10 => leaders.iter().for_each(|place| fleet.start(*place)),
            _ => fleet.set_proxy_demand(one, roll(3) as usize, roll(700) as u32),
        }
        fleet.run(roll(2 * LEASE));
    }
    assert_sums(&fleet, &format!("seed {seed}"));
    // No more disturbances: all run, and the whole is used.
    fleet.net.restore_links();
    fleet.net.conditions = NetworkConditions::default();
    all.iter().for_each(|place| fleet.start(*place));
    fleet.run(24 * LEASE);
    let used = (0..20).map(|_| (fleet.run(LEASE / 4), fleet.sum(0)).1).max().unwrap_or(0);
    assert_sums(&fleet, &format!("seed {seed}, calm"));
    (f64::from(used) / f64::from(TOTALS[0]), fleet.max_sums[1] == 1)
}

#[test]
fn whatever_happens_no_whole_is_exceeded_at_any_level() {
    let (mut unit_used, mut least, mut sum) = (0, f64::MAX, 0.0);
    for seed in 0..240 {
        let (used, unit) = play(seed);
        assert!(used >= 0.8, "seed {seed}: only {used} of the whole in use after a calm spell");
        unit_used += u32::from(unit);
        least = least.min(used);
        sum += used;
    }
    println!(
        "in use after a calm spell: {least:.3} at least, {:.3} in the mean; unit {unit_used}",
        sum / 240.0
    );
    assert!(unit_used > 120, "the single unit was in use in {unit_used} of 240 schedules only");
}

/// Three regions of three sites.
const EVEN: Shape = &[&[3, 3, 2], &[3, 2, 3], &[2, 3, 3]];

/// Returns a fleet that has been started and has settled.
fn settled(seed: u64, shape: Shape) -> BudgetSimulation<ControlTree> {
    let mut fleet = started(seed, shape, NetworkConditions::default());
    fleet.run(24 * LEASE);
    assert!(best_use(&mut fleet) >= 540, "seed {seed}: {} after the start", best_use(&mut fleet));
    fleet
}

/// Returns the units of the first budget in use, as the largest of several moments: a share ends if two
/// messages in a row are lost.
fn best_use(fleet: &mut BudgetSimulation<ControlTree>) -> u32 {
    (0..10).map(|_| (fleet.run(LEASE / 10), fleet.sum(0)).1).max().unwrap_or(0)
}

/// Returns a proxy that leads a group of this level but none of the level above.
fn leader_of_one_level(fleet: &BudgetSimulation<ControlTree>, level: Level) -> usize {
    let above = match level {
        Level::Site => fleet.leaders(Level::Region),
        Level::Region => fleet.leaders(Level::Fleet),
        Level::Fleet => Vec::new(),
    };
    *fleet.leaders(level).iter().find(|place| !above.contains(place)).unwrap()
}

const LEVELS: [Level; 3] = [Level::Site, Level::Region, Level::Fleet];

/// Returns whether every site, every region and the fleet have a leader.
fn all_led(fleet: &BudgetSimulation<ControlTree>, sites: usize, regions: usize) -> bool {
    let led = |level| fleet.leaders(level).len();
    led(Level::Site) == sites && led(Level::Region) == regions && led(Level::Fleet) == 1
}

#[test]
fn a_killed_leader_is_replaced_at_each_level() {
    // Each site has three voters. A site of two proxies has a single voter, and no other leader if that one
    // is killed.
    let shape: Shape = &[&[3, 3, 3], &[3, 4, 3], &[3, 3, 3]];
    for level in LEVELS {
        let (mut led, mut used, mut dip) = (0, 0, u32::MAX);
        for seed in 0..10 {
            let mut fleet = settled(seed, shape);
            let killed = leader_of_one_level(&fleet, level);
            fleet.kill(killed);
            let waits = 20 * LEASE;
            let took = until(&mut fleet, waits, |fleet| {
                dip = dip.min(fleet.sum(0));
                all_led(fleet, 9, 3)
            });
            led = led.max(took.unwrap_or_else(|| panic!("{level:?}, seed {seed}: no leader again")));
            let again = until(&mut fleet, waits, |fleet| fleet.sum(0) >= 540);
            used = used.max(took.unwrap_or(0) + again.unwrap_or_else(|| panic!("{level:?}, seed {seed}")));
            // Its restart doesn't increase the sum beyond the total.
            fleet.start(killed);
            fleet.run(4 * LEASE);
            assert_sums(&fleet, "a killed head");
        }
        println!(
            "head of {level:?} killed: all led again after {:.1} s at most, nine tenths in use after {:.1} s, \
             least use meanwhile {dip} of 600",
            led as f64 / S as f64,
            used as f64 / S as f64
        );
    }
}

#[test]
fn a_leader_that_is_paused_beyond_its_lease_leads_nothing_afterwards() {
    for level in LEVELS {
        for seed in 0..10 {
            let mut fleet = settled(seed, EVEN);
            let stopped = leader_of_one_level(&fleet, level);
            fleet.pause(stopped, 14 * LEASE);
            fleet.run(13 * LEASE);
            assert!(!fleet.leaders(level).contains(&stopped), "{level:?}, seed {seed}: still leads");
            assert!(!fleet.leaders(Level::Site).contains(&stopped), "{level:?}, seed {seed}: leads its site");
            assert!(best_use(&mut fleet) >= 500, "{level:?}, seed {seed}: {}", fleet.sum(0));
            fleet.run(12 * LEASE);
            assert!(best_use(&mut fleet) >= 540, "{level:?}, seed {seed}: {} after", fleet.sum(0));
            assert_sums(&fleet, "a stopped head");
        }
    }
}

#[test]
fn a_leader_cut_in_one_direction_never_exceeds_a_total() {
    for level in LEVELS {
        for hears in [true, false] {
            for seed in 0..6 {
                let mut fleet = settled(seed, EVEN);
                let cut = leader_of_one_level(&fleet, level);
                for other in (0..24).filter(|other| *other != cut) {
                    let (from, to) = if hears { (cut, other) } else { (other, cut) };
                    fleet.net.cut(from, to);
                }
                fleet.run(16 * LEASE);
                assert!(!fleet.leaders(Level::Fleet).contains(&cut), "{level:?}: leads the fleet unheard");
                let used = best_use(&mut fleet);
                assert!(used >= 480, "{level:?}, hears {hears}, seed {seed}: {used}");
                fleet.net.restore_links();
                fleet.run(12 * LEASE);
                assert!(best_use(&mut fleet) >= 540, "{level:?}, hears {hears}, seed {seed}: after");
                assert_sums(&fleet, "a head cut on one side");
            }
        }
    }
}

#[test]
fn a_slow_leader_never_exceeds_a_total() {
    let mut longest = 0;
    for level in LEVELS {
        for seed in 0..6 {
            let mut fleet = settled(seed, EVEN);
            let slow = leader_of_one_level(&fleet, level);
            for _ in 0..60 {
                fleet.pause(slow, LEASE / 2);
                fleet.run(LEASE / 2 + 30 * MS);
            }
            let back = until(&mut fleet, 12 * LEASE, |fleet| fleet.sum(0) >= 540);
            longest = longest.max(back.unwrap_or_else(|| panic!("{level:?}, seed {seed}: {}", fleet.sum(0))));
            assert_sums(&fleet, "a slow head");
        }
    }
    println!("a slow head no longer slow: nine tenths in use after {:.1} s", longest as f64 / S as f64);
}

#[test]
fn all_leaders_restarted_at_once_recover() {
    let mut longest = 0;
    for seed in 0..10 {
        let mut fleet = settled(seed, EVEN);
        fleet.leaders(Level::Site).into_iter().for_each(|place| fleet.start(place));
        let waits = 30 * LEASE;
        let took = until(&mut fleet, waits, |fleet| all_led(fleet, 9, 3) && fleet.sum(0) >= 540);
        longest = longest.max(took.unwrap_or_else(|| panic!("seed {seed}: {}", fleet.sum(0))));
        fleet.run(8 * LEASE);
        assert_sums(&fleet, "all heads restarted");
    }
    println!("all heads restarted: led and nine tenths in use after {:.1} s", longest as f64 / S as f64);
}

#[test]
fn a_region_cut_off_for_an_hour_divides_its_own() {
    let mut fleet = settled(3, EVEN);
    let inside: Vec<usize> = (0..8).collect();
    let outside: Vec<usize> = (8..24).collect();
    fleet.net.cut_groups(&inside, &outside);
    let (mut moments, mut of_fleet, mut of_region) = (0, 0, 0);
    let mut least = u32::MAX;
    let start = fleet.now();
    while fleet.now() < start + 3600 * S {
        fleet.run(S);
        moments += 1;
        of_fleet += fleet.group_share(0, 0);
        of_region += fleet.group_share(0, 2);
        if fleet.now() > start + 60 * S {
            least = least.min(fleet.group_share(0, 2));
        }
    }
    let even = f64::from(TOTALS[0]) / 3.0;
    let used = f64::from(of_fleet) / f64::from(moments) / even;
    let own = f64::from(of_region) / f64::from(moments) / f64::from(TOTALS[2]);
    println!(
        "cut for an hour: {used:.3} of its even part of the fleet's, {own:.3} of its own ({least} at least)"
    );
    assert!(used >= 0.45 && own >= 0.9, "{used} of its even part, {own} of its own");
    assert_sums(&fleet, "an hour's cut");
    fleet.net.restore_links();
    let back = until(&mut fleet, 30 * LEASE, |fleet| f64::from(fleet.group_share(0, 0)) >= 0.9 * even);
    println!(
        "after its return nine tenths of the even part in use after {:?} s",
        back.map(|span| span as f64 / S as f64)
    );
    assert!(back.is_some(), "nothing more after its return");
    fleet.run(20 * LEASE);
    assert!(best_use(&mut fleet) >= 540);
    assert_sums(&fleet, "after an hour's cut");
}

/// Changes a grant so that it gives the largest possible amounts.
fn exaggerate(bytes: &mut [u8]) {
    const HEADER: usize = threadward_control::frame::HEADER_BYTES;
    const GRANT: u8 = 4;
    const SHARE: usize = HEADER + 27;
    if bytes.get(HEADER) == Some(&GRANT) {
        bytes[SHARE..].fill(0xff);
    }
}

#[test]
fn a_leader_with_false_grants_gives_nobody_more_than_was_asked_for() {
    for level in LEVELS {
        let mut fleet = settled(5, EVEN);
        (0..24).for_each(|place| fleet.set_proxy_demand(place, 0, 20));
        fleet.run(6 * LEASE);
        let liar = leader_of_one_level(&fleet, level);
        fleet.tamper(Box::new(move |from, _, bytes| {
            if from == liar {
                exaggerate(bytes);
            }
        }));
        fleet.run(10 * LEASE);
        for place in 0..24 {
            assert!(fleet.share(place, 0) <= 20, "{level:?}: {} at {place}", fleet.share(place, 0));
        }
        assert!(fleet.max_sums[0] <= TOTALS[0], "{level:?}: {:?}", fleet.max_sums);
        // All want everything: a proxy that believes the false grants takes no more than the whole, and the
        // others keep what they hold.
        (0..24).for_each(|place| fleet.set_proxy_demand(place, 0, TOTALS[0]));
        fleet.run(10 * LEASE);
        let most = (0..24).map(|place| fleet.share(place, 0)).max();
        assert!(most <= Some(TOTALS[0]), "{level:?}: {most:?}");
    }
}

#[test]
fn a_cut_above_a_region_costs_its_own_budgets_nothing() {
    let mut fleet = settled(6, EVEN);
    let all: Vec<usize> = (0..24).collect();
    all.chunks(8).for_each(|inside| {
        let outside: Vec<usize> = all.iter().copied().filter(|place| !inside.contains(place)).collect();
        fleet.net.cut_groups(inside, &outside);
    });
    fleet.run(30 * LEASE);
    let mut least = u32::MAX;
    for _ in 0..50 {
        fleet.run(LEASE / 4);
        least = (0..3).map(|region| fleet.group_share(region, 2)).fold(least, u32::min);
    }
    println!("no region reaches another: at least {least} of {} in use of each region's own", TOTALS[2]);
    assert!(fleet.leaders(Level::Fleet).is_empty());
    assert!(least >= 60, "{least} of {}", TOTALS[2]);
    assert_sums(&fleet, "regions alone");
}
