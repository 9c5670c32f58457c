//! Tests of what follows from the settings of budgets and of which settings are refused.
use threadward_budgets::{check, Settings, Terms};

/// Guards steps 1 and 2 of the proof in `docs/budgets.md`: whichever of two clocks runs fast, the holder's
/// end of a lease comes before the coordinator's.
#[test]
fn a_lease_ends_at_the_holder_before_it_ends_at_the_coordinator() {
    for span in (0..60).map(|i| 200_000 + i * 997_331) {
        let t = Terms { lease: span, proxies: 1, pools: vec![], floors: vec![] };
        for (a, b) in [(0.99, 1.01), (1.01, 0.99), (1.0, 1.0)] {
            assert!(t.shortened(span) as f64 / a < t.lengthened(span) as f64 / b, "{span} us at {a} and {b}");
        }
        assert!(t.lengthened(t.fit_lengthened(span)) <= span);
    }
}

#[test]
fn invalid_settings_are_refused() {
    let good = Settings { index: 0, proxies: 5, voters: vec![0, 1, 2], totals: vec![10], lease: 1_000_000 };
    assert_eq!(check(&good), Ok(()));
    for bad in [
        Settings { index: 5, ..good.clone() },
        Settings { proxies: 0, ..good.clone() },
        Settings { voters: vec![0, 1], ..good.clone() },
        Settings { voters: vec![0, 0, 1], ..good.clone() },
        Settings { voters: vec![0, 1, 5], ..good.clone() },
        Settings { voters: vec![], ..good.clone() },
        Settings { totals: vec![], ..good.clone() },
        Settings { totals: vec![0], ..good.clone() },
        Settings { totals: vec![1; 9], ..good.clone() },
        Settings { lease: 1, ..good.clone() },
    ] {
        assert!(check(&bad).is_err(), "{bad:?}");
    }
}
