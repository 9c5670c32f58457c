//! Small simulated fleets with real planners, budgets and zones. Each test fails if a rule of the service is
//! violated: a zone that is left late, more than once or without reason, or a guard or cold-start limit that
//! isn't kept.
use threadward_lab::regions::{Day, FailureMode, Record, Regions, S, T0};

/// Returns a scenario of 30 proxies in three locations with two parents, and few requests each.
fn day(seed: u64) -> Day {
    let small = Day::new("small", seed, 2);
    Day { proxies: 30, locations: 3, members: (12, 8), duration: 30 * S, ..small }
}

/// Asserts that no rule was violated.
fn assert_rules_kept(r: &Record) {
    assert_eq!(r.rule_violations, Vec::<String>::new());
    assert_eq!((&r.guard_violations, &r.cold_overloads), (&Vec::new(), &Vec::new()));
}

#[test]
fn a_dead_location_is_left_once_by_all_and_taken_back() {
    let r = Regions::new(day(1).with(1, FailureMode::Kill, 6 * S, 12 * S)).run();
    assert_rules_kept(&r);
    assert_eq!((r.leaves_per_outage.as_slice(), r.false_leaves), (&[1][..], 0), "{:#?}", r.log);
    assert!(r.leave_spreads.iter().all(|s| *s <= S), "{:?}", r.leave_spreads);
    assert!(r.decision_delays.iter().all(|(_, t)| *t <= 4 * S), "{:?}", r.decision_delays);
    let again = Regions::new(day(1).with(1, FailureMode::Kill, 6 * S, 12 * S)).run();
    assert_eq!(format!("{r:?}"), format!("{again:?}"), "the same seed, another day");
}

#[test]
fn a_parent_that_fails_is_left_by_evidence_of_its_fills() {
    let d = day(2);
    let hub = d.parent(1);
    let r = Regions::new(d.with(hub, FailureMode::Kill, 6 * S, 14 * S)).run();
    assert_rules_kept(&r);
    assert_eq!((r.leaves_per_outage.as_slice(), r.false_leaves), (&[1][..], 0), "{:#?}", r.log);
    assert!(r.leave_spreads.iter().all(|s| *s <= S), "{:?}", r.leave_spreads);
}

#[test]
fn a_liar_one_that_is_cut_off_and_one_bad_cache_move_nothing() {
    let quiet = Day { cut: Some((7, T0 + 6 * S, T0 + 14 * S)), liar: Some(11), ..day(3) };
    let r = Regions::new(quiet.with(0, FailureMode::OneBad, 6 * S, 14 * S)).run();
    assert_rules_kept(&r);
    assert!(r.log.iter().all(|l| !l.contains("Leaving")), "{:#?}", r.log);
}
