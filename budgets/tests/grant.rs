//! Tests of the coordinator's ledger, request by request.
use nickelgate::Micros;
use threadward_budgets::grant::{Ledger, Request, Supply};
use threadward_budgets::wire::Author;
use threadward_budgets::Terms;

const LEASE: Micros = 1_000_000;

fn terms(proxies: u16, pool: u32) -> Terms {
    Terms { lease: LEASE, proxies, pools: vec![pool], floors: vec![0] }
}

/// Sends a request for one budget, whose supply lasts for nine lease times; returns the units granted.
fn ask(
    ledger: &mut Ledger,
    terms: &Terms,
    now: Micros,
    by: Author,
    (request_id, held_request): (u32, u32),
    demand: u32,
) -> Option<u32> {
    let supply = Supply { pools: &terms.pools, until: 9 * LEASE };
    let request = Request { by, request_id, held_request, demands: &[demand] };
    ledger.answer(now, &request, &supply, terms).map(|grant| grant.share[0])
}

#[test]
fn two_holders_reach_even_shares_without_ever_exceeding_the_pool() {
    let terms = terms(2, 10);
    let mut ledger = Ledger::new(0, &terms);
    let (first, second) = (Author { index: 0, incarnation: 1 }, Author { index: 1, incarnation: 1 });
    let mut ask = |by, now, numbers| ask(&mut ledger, &terms, now, by, numbers, 10);
    assert_eq!(ask(first, 600_000, (1, 0)), Some(10), "nobody else has asked");
    assert_eq!(ask(second, 700_000, (1, 0)), Some(0), "all of it is granted");
    assert_eq!(ask(first, 800_000, (2, 1)), Some(5), "an even part");
    assert_eq!(ask(second, 900_000, (2, 1)), Some(0), "the first may still use its earlier grant");
    assert_eq!(ask(first, 910_000, (3, 2)), Some(5), "now it reports that it does not");
    assert_eq!(ask(second, 920_000, (3, 2)), Some(5));
    assert_eq!(ask(second, 920_000, (3, 2)), None, "an outdated request");
}

/// Guards against a ledger that forgets a grant of an earlier incarnation. That process may be paused and
/// still use its grant, so the grant counts until it runs out, whatever the present incarnation requests and
/// says that it holds.
#[test]
fn many_requests_of_one_incarnation_never_hide_the_grant_of_another() {
    let terms = terms(1, 100);
    let mut ledger = Ledger::new(0, &terms);
    let (old, new) = (Author { index: 0, incarnation: 1 }, Author { index: 0, incarnation: 2 });
    assert_eq!(ask(&mut ledger, &terms, LEASE, old, (1, 0), 70), Some(70));
    for request_id in 1..20 {
        // The answers are lost at first; later the newest grant is held.
        let held_request = if request_id < 12 { 0 } else { request_id - 1 };
        let now = LEASE + Micros::from(request_id);
        let got = ask(&mut ledger, &terms, now, new, (request_id, held_request), 100);
        assert!(
            got.is_none_or(|n| n <= 30),
            "{got:?} beside 70 of the earlier incarnation, request {request_id}"
        );
    }
    assert!(ledger.granted(LEASE + 19, 0, &terms) >= 70);
    let got = ask(&mut ledger, &terms, 3 * LEASE, new, (20, 19), 100);
    assert_eq!(got, Some(100), "the earlier grant has run out by now");
}

#[test]
fn a_pool_that_shrinks_below_what_is_granted_grants_nothing_until_enough_has_ended() {
    let terms = terms(2, 100);
    let mut ledger = Ledger::new(0, &terms);
    let (first, second) = (Author { index: 0, incarnation: 1 }, Author { index: 1, incarnation: 1 });
    assert_eq!(ask(&mut ledger, &terms, LEASE, first, (1, 0), 80), Some(80));
    let mut shrunk = |now, by, request_id, held_request, pool: u32| {
        let supply = Supply { pools: &[pool], until: 9 * LEASE };
        let request = Request { by, request_id, held_request, demands: &[u32::MAX] };
        let share = ledger.answer(now, &request, &supply, &terms).map(|grant| grant.share[0]);
        (share, ledger.granted(now, 0, &terms), ledger.total_demand(0))
    };
    assert_eq!(shrunk(LEASE + 1, second, 1, 0, 60), (Some(0), 80, 80 + u64::from(u32::MAX)));
    assert_eq!(shrunk(LEASE + 2, second, 2, 1, 0), (Some(0), 80, 80 + u64::from(u32::MAX)));
    assert_eq!(shrunk(LEASE + 3, first, 2, 1, 60), (Some(30), 80, 2 * u64::from(u32::MAX)));
    assert_eq!(shrunk(LEASE + 4, first, 3, 2, 60), (Some(30), 30, 2 * u64::from(u32::MAX)));
    assert_eq!(shrunk(LEASE + 5, second, 3, 2, 60), (Some(30), 60, 2 * u64::from(u32::MAX)));
}

#[test]
fn a_holder_that_left_demands_and_uses_nothing() {
    let terms = terms(2, 10);
    let mut ledger = Ledger::new(0, &terms);
    let (first, second) = (Author { index: 0, incarnation: 1 }, Author { index: 1, incarnation: 1 });
    assert_eq!(ask(&mut ledger, &terms, LEASE, first, (1, 0), 10), Some(10));
    ledger.record_leave(Author { index: 0, incarnation: 7 });
    assert_eq!(
        (ledger.granted(LEASE, 0, &terms), ledger.total_demand(0)),
        (10, 10),
        "another incarnation left"
    );
    ledger.record_leave(first);
    assert_eq!((ledger.granted(LEASE, 0, &terms), ledger.total_demand(0)), (0, 0));
    assert_eq!(ask(&mut ledger, &terms, LEASE + 1, second, (1, 0), 10), Some(10));
}

#[test]
fn the_largest_number_of_holders_get_even_shares_and_all_leftover_units_are_used() {
    let proxies = u16::MAX;
    let terms = terms(proxies, 10 * u32::from(proxies) + 5);
    let mut ledger = Ledger::new(0, &terms);
    let mut shares = vec![0; usize::from(proxies)];
    for round in 0..3u32 {
        for index in 0..proxies {
            let now = 1 + Micros::from(round) * LEASE / 2 + Micros::from(index);
            let by = Author { index, incarnation: 1 };
            let share = ask(&mut ledger, &terms, now, by, (round + 1, round), u32::MAX);
            shares[usize::from(index)] = share.unwrap_or(0);
        }
        assert!(ledger.granted(LEASE, 0, &terms) <= terms.pools[0], "round {round}");
    }
    assert!(shares.iter().all(|share| (10..=11).contains(share)));
    assert_eq!(shares.iter().sum::<u32>(), terms.pools[0]);
    assert_eq!(ledger.total_demand(0), u64::from(proxies) * u64::from(u32::MAX));
}
