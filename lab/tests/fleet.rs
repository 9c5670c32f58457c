//! Tests real planners with real gossip in front of simulated caches, in virtual time: the same seed gives
//! the same run, the rules are kept, and gossip helps without doing harm. `make measure-gossip` prints the
//! figures.
use threadward_lab::fleet::{cache, parent, Disruption, Fleet, GossipMode, Record, Scenario, S};

fn play(seed: u64, talk: GossipMode) -> Record {
    let sc = Scenario { duration: 16 * S, ..Scenario::new(seed, talk) };
    Fleet::new(sc.with(parent(1), Disruption::Hang, 6 * S, 12 * S).with(
        cache(6),
        Disruption::Drain,
        10 * S,
        20 * S,
    ))
    .run()
}

#[test]
fn one_seed_gives_one_run_and_no_rule_breaks() {
    for talk in [GossipMode::Silent, GossipMode::Honest, GossipMode::LiarAll] {
        let (a, b) = (play(5, talk), play(5, talk));
        assert_eq!(a, b, "{talk:?}");
        assert_eq!(a.rule_violations, Vec::<String>::new(), "{talk:?}");
        assert!(
            a.requests > 3_000 && a.served_value_share > 0.95,
            "{talk:?}: {} of {}",
            a.served_value_share,
            a.requests
        );
        assert!(a.skip_delays[0].iter().all(Option::is_some), "{talk:?}: all have to skip the hung hub");
    }
}

#[test]
fn gossip_helps_and_a_false_reporter_does_no_harm() {
    let all = |talk| (1..5).map(|seed| play(seed, talk)).collect::<Vec<_>>();
    let (silent, honest, liar) = (all(GossipMode::Silent), all(GossipMode::Honest), all(GossipMode::LiarAll));
    let skip = |of: &[Record]| of.iter().map(|r| r.time_until_all_skip(6 * S)).sum::<u64>();
    let worth = |of: &[Record]| of.iter().map(|r| r.served_value_share).sum::<f64>() / of.len() as f64;
    assert!(skip(&honest) * 10 < skip(&silent) * 8, "{} over {} us", skip(&honest), skip(&silent));
    assert!(
        honest.iter().all(|r| r.suspicion_skips_of_failing > 0)
            && silent.iter().all(|r| r.suspicion_skips_of_failing == 0)
    );
    assert_eq!(liar.iter().map(|r| r.suspicion_skips_of_healthy).sum::<u32>(), 0);
    assert!(worth(&honest) >= worth(&silent) && worth(&liar) > worth(&silent) - 0.002);
}

/// Runs a hundred proxies with nine requests per second each in front of sixty caches, some of which restart
/// at once. A cache gets the work of about 0.8 concurrent transfers; one that is built for that at a load of
/// 0.6 sends 1.4.
fn growth(flows: f64, restarted: u8) -> Record {
    let sc = Scenario {
        proxies: 100,
        caches: 60,
        requests_per_s: 9.0,
        duration: 12 * S,
        store_capacities: (200, 3_000),
        warm_transfers: flows,
        ..Scenario::new(7, GossipMode::Silent)
    };
    Fleet::new((1..=restarted).fold(sc, |sc, n| sc.with(cache(n), Disruption::Restart, 6 * S, 20 * S))).run()
}

#[test]
fn a_hundred_proxies_together_overload_no_cold_cache() {
    let most = growth(1.4, 36);
    assert_eq!(most.rule_violations, Vec::<String>::new(), "six in ten replaced");
    assert!(
        most.requests > 9_000 && most.served_value_share > 0.9,
        "{} of {}",
        most.served_value_share,
        most.requests
    );
    let all = growth(1.4, 60);
    assert_eq!(all.rule_violations, Vec::<String>::new(), "a location that returns cold");
    assert!(all.refused > 0, "what no cold cache has room for is turned away");
}

#[test]
fn the_check_detects_overloaded_caches_that_are_far_too_small() {
    assert!(
        growth(0.1, 36).rule_violations.iter().any(|b| b.starts_with("cold")),
        "the check must be able to fail"
    );
}
