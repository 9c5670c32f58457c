//! A zone's life in a fleet of real instances in virtual time, and what must not move one.
mod fleet;

use fleet::{hubs, Fleet, MS, S};
use threadward_zones::state::State;
use threadward_zones::wire::{self, Body};

fn all_are(f: &Fleet, z: usize, state: State) -> bool {
    f.at(z).iter().all(|(s, _)| *s == state)
}

/// Dead, left, back, and in steps to the end; on a good network and on one that loses, doubles and delays.
#[test]
fn a_zone_is_left_and_comes_back_in_steps() {
    for (seed, loss) in [(1, 0), (2, 0), (3, 100), (4, 200), (5, 200)] {
        let mut f = Fleet::new(seed, 9, hubs(3, 8 * S));
        f.loss = loss;
        f.run(8 * S);
        assert!(all_are(&f, 0, State::In), "{}", f.told());
        f.dead = Box::new(|_, z| z == 0);
        let any = |f: &Fleet| f.at(0).iter().any(|(s, _)| *s == State::Leaving);
        let t = f.until(3 * S, "leaving", any);
        let all = f.until(S, "out everywhere", |f| all_are(f, 0, State::Out));
        println!("seed {seed} loss {loss}: leaving after {} ms, out at all after {} ms", t / MS, all / MS);
        f.dead = Box::new(|_, _| false);
        let mut steps = Vec::new();
        let began = f.now;
        while !all_are(&f, 0, State::In) {
            f.step();
            let most = f.at(0).into_iter().max().unwrap();
            if steps.last() != Some(&most) {
                steps.push(most);
            }
            assert!(f.now < began + 40 * S, "{steps:?}\n{}", f.told());
        }
        println!("back in {} ms: {steps:?}", (f.now - began) / MS);
    }
}

/// The decider dies in the middle of a return: the next goes on from the same step, and no proxy sees an earlier one.
#[test]
fn the_next_decider_goes_on_from_the_same_step() {
    for seed in 1..9 {
        let mut f = Fleet::new(seed, 9, hubs(3, 16 * S));
        f.run(8 * S);
        f.dead = Box::new(|_, z| z == 0);
        f.until(3 * S, "out", |f| all_are(f, 0, State::Out));
        f.dead = Box::new(|_, _| false);
        f.until(20 * S, "half way", |f| f.at(0).iter().all(|s| *s == (State::Returning, 6)));
        let old = f.decider().unwrap();
        f.all[usize::from(old)].up = false;
        while !all_are(&f, 0, State::In) {
            f.step();
            let all = f.at(0);
            assert!(all.iter().all(|s| *s >= (State::Returning, 6) || s.0 == State::In), "{}", f.told());
            assert!(f.now < 60 * S, "{}", f.told());
        }
        assert!(f.decider().is_some_and(|d| d != old));
    }
}

/// All start anew while a zone is out: it is found again by evidence, and nobody waits longer than a second.
#[test]
fn all_start_anew_while_a_zone_is_out() {
    let mut f = Fleet::new(3, 9, hubs(3, 8 * S));
    f.run(8 * S);
    f.dead = Box::new(|_, z| z == 0);
    f.until(3 * S, "out", |f| all_are(f, 0, State::Out));
    (0..9).for_each(|p| f.restart(p));
    f.run(S + 20 * MS);
    assert!(f.all.iter().all(|p| p.zones.ready(f.now)) && all_are(&f, 0, State::In));
    f.until(5 * S, "out again", |f| all_are(f, 0, State::Out));
}

type Fails = fn(u16, u16) -> bool;

/// What less than two thirds say leaves no zone, and what fails for one proxy alone is not even doubted.
#[test]
fn what_few_see_moves_nothing() {
    let cases: [(&str, Fails, State); 3] = [
        ("one says that a hub fails", |p, z| p == 2 && z == 0, State::In),
        ("one is cut off", |p, _| p == 4, State::In),
        ("a hub is cut from half", |p, z| p % 2 == 0 && p < 8 && z == 0, State::Suspect),
    ];
    for (name, fails, most) in cases {
        let mut f = Fleet::new(5, 8, hubs(3, 8 * S));
        f.run(8 * S);
        f.dead = Box::new(fails);
        f.run(10 * S);
        let worst = (0..3).flat_map(|z| f.at(z)).max();
        assert_eq!(worst.map(|w| w.0), Some(most), "{name}\n{}", f.told());
    }
}

/// A voter that tells a map which nobody took, and vouches for it, is followed by none.
#[test]
fn a_forged_map_is_acted_on_by_nobody() {
    let mut f = Fleet::new(6, 9, hubs(3, 8 * S));
    f.run(8 * S);
    // A voter that does not decide.
    let by = (0..3).find(|p| f.decider() != Some(*p)).unwrap();
    let (mut map, liar) = (f.all[0].zones.map().clone(), f.all[usize::from(by)].budgets.identity());
    map.epoch.number += 1 << 40;
    map.zones.iter_mut().for_each(|z| z.state = State::Out);
    let (epoch, hash) = (map.epoch, map.hash());
    for _ in 0..20 {
        for to in (0..9).filter(|p| *p != by) {
            let told = [Body::Announce { map: map.clone() }, Body::Confirm { epoch, hash }];
            let promised_epoch =
                Body::Promise { promised_epoch: epoch, no_map_since_start: false, map: map.clone() };
            for body in told.into_iter().chain([promised_epoch, Body::Propose { map: map.clone() }]) {
                f.send(by, to, wire::write(liar, &body, f.now));
            }
        }
        f.run(200 * MS);
    }
    assert!((0..3).all(|z| all_are(&f, z, State::In)), "{}", f.told());
    assert!(f.all[5].zones.counters.unconfirmed > 0);
    f.dead = Box::new(|_, z| z == 0);
    f.until(4 * S, "the fleet decides all the same", |f| all_are(f, 0, State::Out));
}

/// One that falls again in the middle of its return is out again, for twice as long.
#[test]
fn a_return_that_fails_doubles_the_hold() {
    let mut f = Fleet::new(7, 9, hubs(3, 8 * S));
    f.run(8 * S);
    let mut holds = Vec::new();
    for _ in 0..2 {
        f.dead = Box::new(|_, z| z == 0);
        f.until(6 * S, "out", |f| all_are(f, 0, State::Out));
        f.dead = Box::new(|_, _| false);
        holds.push(f.until(20 * S, "tried", |f| f.at(0).iter().any(|s| s.0 == State::Probing)) / S);
        f.until(5 * S, "second step of the return", |f| all_are(f, 0, State::Returning) && f.at(0)[0].1 == 6);
    }
    assert!(holds[0] <= 5 && (9..=10).contains(&holds[1]), "{holds:?}");
}

/// Two hubs fail at once and the caches left carry one of them: the guard keeps the other.
#[test]
fn the_guard_keeps_what_fits_nowhere() {
    let mut f = Fleet::new(8, 9, hubs(3, 8 * S));
    f.busy = 150;
    f.run(8 * S);
    // A third of the proxies still reaches the second.
    f.dead = Box::new(|p, z| z == 0 || z == 1 && p % 3 != 0);
    f.until(4 * S, "the worse is left", |f| all_are(f, 0, State::Out));
    f.run(4 * S);
    assert!(all_are(&f, 1, State::Suspect), "{}", f.told());
    assert!(f.all.iter().map(|p| p.zones.counters.kept_by_guard).sum::<u64>() > 0);
}

/// The voters alone start anew: the map that they forgot is outnumbered, and all act on one again.
#[test]
fn the_voters_forget_a_map_that_others_hold() {
    let mut f = Fleet::new(9, 9, hubs(3, 8 * S));
    f.run(8 * S);
    f.dead = Box::new(|_, z| z == 0);
    f.until(4 * S, "out", |f| all_are(f, 0, State::Out));
    f.run(30 * S);
    (0..3).for_each(|p| f.restart(p));
    f.until(10 * S, "one map at all", |f| {
        let epoch = |p: usize| f.all[p].zones.map().epoch;
        epoch(0).number > 0 && (0..9).all(|p| epoch(p) == epoch(0))
    });
}
