//! Real planners with real gossip before stand-ins, in virtual time: the same seed gives the same run, the rules hold,
//! and hearsay helps without harm. `make measure-gossip` has the figures.
use threadward_lab::fleet::{cache, hub, Fleet, Record, Scenario, Talk, Trouble, S};

fn play(seed: u64, talk: Talk) -> Record {
    let sc = Scenario { span: 16 * S, ..Scenario::new(seed, talk) };
    Fleet::new(sc.with(hub(1), Trouble::Hang, 6 * S, 12 * S).with(cache(6), Trouble::Drain, 10 * S, 20 * S))
        .run()
}

#[test]
fn one_seed_gives_one_run_and_no_rule_breaks() {
    for talk in [Talk::Silent, Talk::Honest, Talk::LiarAll] {
        let (a, b) = (play(5, talk), play(5, talk));
        assert_eq!(a, b, "{talk:?}");
        assert_eq!(a.broken, Vec::<String>::new(), "{talk:?}");
        assert!(a.requests > 3_000 && a.worth > 0.95, "{talk:?}: {} of {}", a.worth, a.requests);
        assert!(a.skipped[0].iter().all(Option::is_some), "{talk:?}: all have to skip the hung hub");
    }
}

#[test]
fn hearsay_helps_and_a_liar_takes_nothing() {
    let all = |talk| (1..5).map(|seed| play(seed, talk)).collect::<Vec<_>>();
    let (silent, honest, liar) = (all(Talk::Silent), all(Talk::Honest), all(Talk::LiarAll));
    let skip = |of: &[Record]| of.iter().map(|r| r.all_skip(6 * S)).sum::<u64>();
    let worth = |of: &[Record]| of.iter().map(|r| r.worth).sum::<f64>() / of.len() as f64;
    assert!(skip(&honest) * 10 < skip(&silent) * 8, "{} over {} us", skip(&honest), skip(&silent));
    assert!(honest.iter().all(|r| r.helped > 0) && silent.iter().all(|r| r.helped == 0));
    assert_eq!(liar.iter().map(|r| r.helped_healthy).sum::<u32>(), 0);
    assert!(worth(&honest) >= worth(&silent) && worth(&liar) > worth(&silent) - 0.002);
}
