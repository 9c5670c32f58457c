//! The ranking without failures: load factors, shares, minimal disruption, one parent for each object.
mod common;
use common::*;
use nickelgate::rules::load_factors;
use nickelgate::*;
use std::collections::BTreeMap;

#[test]
fn load_factors_match_the_papers_worked_example() {
    let want = [0.8736, 0.8736, 0.9926, 1.0399, 1.0842, 1.1709];
    for (got, want) in load_factors(&[1.0, 1.0, 2.0, 2.5, 3.0, 4.0]).iter().zip(want) {
        assert!((got - want).abs() < 1e-4, "{got} is not {want}");
    }
    let shuffled = load_factors(&[4.0, 1.0, 3.0, 1.0, 2.5, 2.0]);
    assert!((shuffled[0] - 1.1709).abs() < 1e-4 && (shuffled[1] - 0.8736).abs() < 1e-4);
}

#[test]
fn equal_or_absent_weights_give_factors_of_one() {
    assert_eq!(load_factors(&[5.0; 4]), vec![1.0; 4]);
    assert_eq!(load_factors(&[0.0; 3]), vec![1.0; 3]);
    assert!(load_factors(&[]).is_empty());
    assert!(load_factors(&[f64::NAN, 1.0, 2.0]).iter().all(|x| x.is_finite()));
}

/// Requests the first `n` objects and returns the cache that served each of them.
fn serving_caches(b: &mut Bench, n: u64) -> Vec<Addr> {
    (0..n)
        .map(|o| {
            b.now += 100 * MS;
            b.served(1, o).expect("a healthy fleet serves").member
        })
        .collect()
}

#[test]
fn shares_follow_weights_for_consecutive_ids() {
    let mut list = fleet();
    (list[0].weight, list[1].weight, list[2].weight) = (2.0, 3.0, 5.0);
    let mut count: BTreeMap<Addr, f64> = BTreeMap::new();
    for a in serving_caches(&mut Bench::new(settings(), list), 20_000) {
        *count.entry(a).or_default() += 1.0 / 20_000.0;
    }
    for (n, want) in [(1, 0.2), (2, 0.3), (3, 0.5)] {
        let got = count[&addr(n)];
        assert!((got - want).abs() < 0.015, "cache {n} has {got}, not {want}");
    }
}

#[test]
fn a_lost_member_moves_only_its_own_objects() {
    let before = serving_caches(&mut Bench::new(settings(), fleet()), 3000);
    let left = fleet().into_iter().filter(|e| e.addr != addr(2)).collect();
    let after = serving_caches(&mut Bench::new(settings(), left), 3000);
    for (b, a) in before.iter().zip(&after) {
        assert!(b == a || *b == addr(2), "an object left a member that stayed");
    }
    assert!(before.contains(&addr(2)) && !after.contains(&addr(2)));
}

#[test]
fn live_weights_do_not_reshuffle_objects() {
    let live = Settings { weight_source: WeightSource::Live, ..settings() };
    let mut list = fleet();
    let before = serving_caches(&mut Bench::new(live.clone(), list.clone()), 500);
    list[0].weight = 0.3;
    assert_eq!(before, serving_caches(&mut Bench::new(live, list), 500));
}

#[test]
fn an_object_is_filled_from_the_same_parent_in_every_location() {
    let far = Settings { zone: 7, routers_by_zone: vec![0, 0, 0, 1, 0, 0, 0, 2], ..settings() };
    let moved =
        fleet().into_iter().map(|e| if e.zone == HOME { Entry { zone: 7, ..e } } else { e }).collect();
    let (mut here, mut there) = (Bench::new(settings(), fleet()), Bench::new(far, moved));
    let mut used = BTreeMap::new();
    for o in 0..300 {
        (here.now, there.now) = (here.now + 100 * MS, there.now + 100 * MS);
        let (a, b) = (here.served(0, o).expect("served"), there.served(0, o).expect("served"));
        assert_eq!(a.source, b.source);
        used.insert(a.source, ());
    }
    assert_eq!(used.len(), 2, "both parents are used");
}

#[test]
fn a_skipped_member_leaves_the_order_of_the_others_unchanged() {
    let mut b = Bench::new(settings(), fleet());
    let before = serving_caches(&mut b, 400);
    let o = (0..400).find(|&o| before[o] == addr(1)).expect("some object lives there");
    let (_, out) = b.ask(1, o as u64);
    b.end(gets(&out)[0], 0, Outcome::ConnectFailed, Note::None);
    for (o, usual) in before.iter().enumerate() {
        let got = b.served(1, o as u64).expect("served").member;
        assert!(if *usual == addr(1) { got != addr(1) } else { got == *usual });
    }
    b.now += 6 * S;
    let trial = b.ask(1, o as u64).1;
    assert_eq!(gets(&trial)[0].member, addr(1), "after the skip time one trial passes");
    let second = b.ask(1, o as u64).1;
    assert_ne!(gets(&second)[0].member, addr(1), "and only one, until its outcome is in");
    b.end(gets(&trial)[0], 0, Outcome::Ok, Note::Hit);
    assert_eq!(b.served(1, o as u64).expect("served").member, addr(1));
}
