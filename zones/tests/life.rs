//! A zone's life in a fleet of real instances in virtual time, and what must not move one.
mod fleet;

use fleet::{hubs, Fleet, MS, S};
use threadward_zones::state::State;

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
