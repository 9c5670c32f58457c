//! What follows from the settings of budgets, and which are refused.
use threadward_budgets::{check, Settings, Terms};

/// Steps 1 and 2 of `docs/budgets.md`: whichever of two clocks is fast, the shorter end comes first.
#[test]
fn both_ends_of_a_lease_stay_apart() {
    for span in (0..60).map(|i| 200_000 + i * 997_331) {
        let t = Terms { lease: span, proxies: 1, pools: vec![], floors: vec![] };
        for (a, b) in [(0.99, 1.01), (1.01, 0.99), (1.0, 1.0)] {
            assert!(t.shortened(span) as f64 / a < t.lengthened(span) as f64 / b, "{span} us at {a} and {b}");
        }
        assert!(t.lengthened(t.fit_lengthened(span)) <= span);
    }
}

#[test]
fn settings_that_cannot_hold_are_refused() {
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
