//! Small seeded days of a fleet by zones, with real planners, budgets and zones: each fails where a rule of theirs is broken.
use threadward_lab::regions::{Day, Harm, Record, Regions, S, T0};

/// 30 proxies of three locations and two hubs, each with few requests.
fn day(seed: u64) -> Day {
    let small = Day::new("small", seed, 2);
    Day { proxies: 30, locations: 3, members: (12, 8), span: 30 * S, ..small }
}

fn held(r: &Record) {
    assert_eq!(r.broken, Vec::<String>::new());
    assert_eq!((&r.guard, &r.overspent), (&Vec::new(), &Vec::new()));
}

#[test]
fn a_dead_location_is_left_once_by_all_and_taken_back() {
    let r = Regions::new(day(1).with(1, Harm::Kill, 6 * S, 12 * S)).run();
    held(&r);
    assert_eq!((r.moves.as_slice(), r.false_leaves), (&[1][..], 0), "{:#?}", r.log);
    assert!(r.spread.iter().all(|s| *s <= S), "{:?}", r.spread);
    assert!(r.decide.iter().all(|(_, t)| *t <= 4 * S), "{:?}", r.decide);
    let again = Regions::new(day(1).with(1, Harm::Kill, 6 * S, 12 * S)).run();
    assert_eq!(format!("{r:?}"), format!("{again:?}"), "the same seed, another day");
}

#[test]
fn a_hub_that_fails_is_left_by_evidence_of_its_fills() {
    let d = day(2);
    let hub = d.hub(1);
    let r = Regions::new(d.with(hub, Harm::Kill, 6 * S, 14 * S)).run();
    held(&r);
    assert_eq!((r.moves.as_slice(), r.false_leaves), (&[1][..], 0), "{:#?}", r.log);
    assert!(r.spread.iter().all(|s| *s <= S), "{:?}", r.spread);
}

#[test]
fn a_liar_one_that_is_cut_off_and_one_bad_cache_move_nothing() {
    let quiet = Day { cut: Some((7, T0 + 6 * S, T0 + 14 * S)), liar: Some(11), ..day(3) };
    let r = Regions::new(quiet.with(0, Harm::OneBad, 6 * S, 14 * S)).run();
    held(&r);
    assert!(r.log.iter().all(|l| !l.contains("Leaving")), "{:#?}", r.log);
}
