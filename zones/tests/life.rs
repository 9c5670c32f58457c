//! The states that a zone goes through in a fleet of real instances in virtual time, and what must not change
//! its state.
mod fleet;

use fleet::{parents, Fleet, MS, S};
use threadward_zones::state::State;
use threadward_zones::wire::{self, Body};

/// Returns whether a zone is in this state at every proxy that is up.
fn all_are(f: &Fleet, z: usize, state: State) -> bool {
    f.states_of(z).iter().all(|(s, _)| *s == state)
}

/// Guards against a failed zone that some proxies go on using, or that never returns to full service. A zone
/// fails, is left by all proxies, recovers and returns in steps, on a good network and on one that loses,
/// duplicates and delays messages.
#[test]
fn a_zone_is_left_and_comes_back_in_steps() {
    for (seed, loss) in [(1, 0), (2, 0), (3, 100), (4, 200), (5, 200)] {
        let mut f = Fleet::new(seed, 9, parents(3, 8 * S));
        f.loss_permille = loss;
        f.run(8 * S);
        assert!(all_are(&f, 0, State::In), "{}", f.describe());
        f.fails_for = Box::new(|_, z| z == 0);
        let any = |f: &Fleet| f.states_of(0).iter().any(|(s, _)| *s == State::Leaving);
        let t = f.run_until(3 * S, "leaving", any);
        let all = f.run_until(S, "out everywhere", |f| all_are(f, 0, State::Out));
        println!("seed {seed} loss {loss}: leaving after {} ms, out at all after {} ms", t / MS, all / MS);
        f.fails_for = Box::new(|_, _| false);
        let mut steps = Vec::new();
        let began = f.now;
        while !all_are(&f, 0, State::In) {
            f.step();
            let furthest = f.states_of(0).into_iter().max().unwrap();
            if steps.last() != Some(&furthest) {
                steps.push(furthest);
            }
            assert!(f.now < began + 40 * S, "{steps:?}\n{}", f.describe());
        }
        println!("back in {} ms: {steps:?}", (f.now - began) / MS);
    }
}

/// Guards against a return that begins anew, or goes back, when the decider dies in the middle of it: the
/// next decider goes on from the same step, and no proxy sees an earlier one.
#[test]
fn the_next_decider_goes_on_from_the_same_step() {
    for seed in 1..9 {
        let mut f = Fleet::new(seed, 9, parents(3, 16 * S));
        f.run(8 * S);
        f.fails_for = Box::new(|_, z| z == 0);
        f.run_until(3 * S, "out", |f| all_are(f, 0, State::Out));
        f.fails_for = Box::new(|_, _| false);
        f.run_until(20 * S, "step 6 at all proxies", |f| {
            f.states_of(0).iter().all(|s| *s == (State::Returning, 6))
        });
        let old = f.decider().unwrap();
        f.all[usize::from(old)].up = false;
        while !all_are(&f, 0, State::In) {
            f.step();
            let all = f.states_of(0);
            assert!(all.iter().all(|s| *s >= (State::Returning, 6) || s.0 == State::In), "{}", f.describe());
            assert!(f.now < 60 * S, "{}", f.describe());
        }
        assert!(f.decider().is_some_and(|d| d != old));
    }
}

/// Guards against a fleet that waits for a map that nobody remembers. All proxies restart while a zone is
/// out: none of them waits for a map for much longer than a second, and reports show again that the zone
/// fails.
#[test]
fn all_proxies_restart_while_a_zone_is_out() {
    let mut f = Fleet::new(3, 9, parents(3, 8 * S));
    f.run(8 * S);
    f.fails_for = Box::new(|_, z| z == 0);
    f.run_until(3 * S, "out", |f| all_are(f, 0, State::Out));
    (0..9).for_each(|p| f.restart(p));
    f.run(S + 20 * MS);
    assert!(f.all.iter().all(|p| p.zones.ready(f.now)) && all_are(&f, 0, State::In));
    f.run_until(5 * S, "out again", |f| all_are(f, 0, State::Out));
}

type Fails = fn(u16, u16) -> bool;

/// Guards against leaving a zone that works for most proxies. A zone that fails for less than two thirds of
/// the proxies is not left, and one that fails for a single proxy does not even become suspect.
#[test]
fn a_zone_that_fails_for_few_proxies_is_not_left() {
    let cases: [(&str, Fails, State); 3] = [
        ("a parent zone fails for one proxy", |p, z| p == 2 && z == 0, State::In),
        ("one proxy is cut off", |p, _| p == 4, State::In),
        (
            "a parent zone is cut off from half of the proxies",
            |p, z| p % 2 == 0 && p < 8 && z == 0,
            State::Suspect,
        ),
    ];
    for (name, fails, worst_allowed) in cases {
        let mut f = Fleet::new(5, 8, parents(3, 8 * S));
        f.run(8 * S);
        f.fails_for = Box::new(fails);
        f.run(10 * S);
        let worst = (0..3).flat_map(|z| f.states_of(z)).max();
        assert_eq!(worst.map(|w| w.0), Some(worst_allowed), "{name}\n{}", f.describe());
    }
}

/// Guards against a single lying voter that changes the map. It announces a map that nobody accepted, and
/// confirms it: no proxy acts on the map, and the fleet still decides.
#[test]
fn no_proxy_acts_on_a_forged_map() {
    let mut f = Fleet::new(6, 9, parents(3, 8 * S));
    f.run(8 * S);
    // A voter that is not the decider.
    let by = (0..3).find(|p| f.decider() != Some(*p)).unwrap();
    let (mut map, liar) = (f.all[0].zones.map().clone(), f.all[usize::from(by)].budgets.identity());
    map.epoch.number += 1 << 40;
    map.zones.iter_mut().for_each(|z| z.state = State::Out);
    let (epoch, hash) = (map.epoch, map.hash());
    for _ in 0..20 {
        for to in (0..9).filter(|p| *p != by) {
            let announcement = [Body::Announce { map: map.clone() }, Body::Confirm { epoch, hash }];
            let promise =
                Body::Promise { promised_epoch: epoch, no_map_since_start: false, map: map.clone() };
            for body in announcement.into_iter().chain([promise, Body::Propose { map: map.clone() }]) {
                f.send(by, to, wire::write(liar, &body, f.now));
            }
        }
        f.run(200 * MS);
    }
    assert!((0..3).all(|z| all_are(&f, z, State::In)), "{}", f.describe());
    assert!(f.all[5].zones.counters.unconfirmed > 0);
    f.fails_for = Box::new(|_, z| z == 0);
    f.run_until(4 * S, "the fleet still decides", |f| all_are(f, 0, State::Out));
}

/// Guards against a zone that is retried too often: one that fails again in the middle of its return is out
/// again, for twice as long.
#[test]
fn a_return_that_fails_doubles_the_hold() {
    let mut f = Fleet::new(7, 9, parents(3, 8 * S));
    f.run(8 * S);
    let mut holds = Vec::new();
    for _ in 0..2 {
        f.fails_for = Box::new(|_, z| z == 0);
        f.run_until(6 * S, "out", |f| all_are(f, 0, State::Out));
        f.fails_for = Box::new(|_, _| false);
        holds
            .push(f.run_until(20 * S, "tried", |f| f.states_of(0).iter().any(|s| s.0 == State::Probing)) / S);
        f.run_until(5 * S, "second step of the return", |f| {
            all_are(f, 0, State::Returning) && f.states_of(0)[0].1 == 6
        });
    }
    assert!(holds[0] <= 5 && (9..=10).contains(&holds[1]), "{holds:?}");
}

/// Guards against leaving more zones than the others can replace. Two parent zones fail at once, and the
/// remaining one can carry the load of only one of them: the capacity guard keeps the other in service.
#[test]
fn the_guard_keeps_a_zone_whose_load_fits_nowhere() {
    let mut f = Fleet::new(8, 9, parents(3, 8 * S));
    f.mean_use = 150;
    f.run(8 * S);
    // A third of the proxies still reaches the second zone.
    f.fails_for = Box::new(|p, z| z == 0 || z == 1 && p % 3 != 0);
    f.run_until(4 * S, "the worse one is left", |f| all_are(f, 0, State::Out));
    f.run(4 * S);
    assert!(all_are(&f, 1, State::Suspect), "{}", f.describe());
    assert!(f.all.iter().map(|p| p.zones.counters.kept_by_guard).sum::<u64>() > 0);
}

/// Guards against a fleet that is split between two maps. The voters restart and forget the map that the
/// others act on: the next map gets a larger number, so that all proxies act on one map again.
#[test]
fn the_voters_forget_a_map_that_others_act_on() {
    let mut f = Fleet::new(9, 9, parents(3, 8 * S));
    f.run(8 * S);
    f.fails_for = Box::new(|_, z| z == 0);
    f.run_until(4 * S, "out", |f| all_are(f, 0, State::Out));
    f.run(30 * S);
    (0..3).for_each(|p| f.restart(p));
    f.run_until(10 * S, "all proxies act on one map", |f| {
        let epoch = |p: usize| f.all[p].zones.map().epoch;
        epoch(0).number > 0 && (0..9).all(|p| epoch(p) == epoch(0))
    });
}
