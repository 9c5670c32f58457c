//! Tests of a relay, a member that delegates its share: a newer grant stays pending until what was delegated
//! fits into it.
use threadward_budgets::holder::{GrantOutcome, Holder, ReceivedGrant};
use threadward_budgets::Terms;

const LEASE: u64 = 1_000_000;

fn terms() -> Terms {
    Terms { lease: LEASE, proxies: 3, pools: vec![100], floors: vec![10] }
}

/// Sends a request at that time and answers it at once; returns the request's number.
fn receive_pending_grant(relay: &mut Holder, now: u64, share: u32, duration: u64) -> u32 {
    let request_id = relay.record_request(now, &[100]);
    let grant = ReceivedGrant { request_id, duration, share: vec![share] };
    assert_eq!(relay.receive(now, grant, &terms()), GrantOutcome::Pending);
    request_id
}

fn divisible(relay: &Holder, now: u64) -> Option<u32> {
    relay.divisible(now).map(|held| held.share[0])
}

/// Creates a relay that uses a grant of 50 from time 0, with 10 units of its own, and returns the grant's
/// request.
fn relay_with_grant_of_50() -> (Holder, u32) {
    let mut relay = Holder::relay();
    let first = receive_pending_grant(&mut relay, 0, 50, LEASE);
    assert_eq!(divisible(&relay, 0), None, "nothing before the grant is adopted");
    assert_eq!(relay.adopt_pending(0, &[10], &[10]), GrantOutcome::Used);
    assert_eq!((relay.request_in_use(), divisible(&relay, 0)), (first, Some(50)));
    (relay, first)
}

#[test]
fn a_larger_grant_is_adopted_at_once() {
    let (mut relay, _) = relay_with_grant_of_50();
    let second = receive_pending_grant(&mut relay, 100_000, 70, LEASE);
    assert_eq!(divisible(&relay, 100_000), Some(50), "the smaller of the two until then");
    assert_eq!(relay.adopt_pending(100_000, &[60], &[10]), GrantOutcome::Used);
    assert_eq!((relay.request_in_use(), divisible(&relay, 100_000)), (second, Some(70)));
}

#[test]
fn a_smaller_grant_stays_pending_until_what_was_delegated_fits() {
    let (mut relay, first) = relay_with_grant_of_50();
    let second = receive_pending_grant(&mut relay, 100_000, 20, LEASE);
    assert_eq!(relay.adopt_pending(100_000, &[60], &[10]), GrantOutcome::Pending);
    assert_eq!((relay.request_in_use(), divisible(&relay, 100_000)), (first, Some(20)));
    assert_eq!(relay.adopt_pending(200_000, &[31], &[10]), GrantOutcome::Pending, "one unit too many");
    assert_eq!(relay.adopt_pending(300_000, &[30], &[10]), GrantOutcome::Shrunk);
    assert_eq!((relay.request_in_use(), divisible(&relay, 300_000)), (second, Some(20)));
}

#[test]
fn of_several_pending_grants_the_newest_counts() {
    let (mut relay, first) = relay_with_grant_of_50();
    receive_pending_grant(&mut relay, 100_000, 20, LEASE);
    let third = receive_pending_grant(&mut relay, 200_000, 40, LEASE);
    let stale = ReceivedGrant { request_id: third - 1, duration: LEASE, share: vec![20] };
    assert_eq!(
        relay.receive(200_000, stale, &terms()),
        GrantOutcome::Ignored,
        "late, and older than the pending grant"
    );
    assert_eq!(relay.adopt_pending(200_000, &[60], &[10]), GrantOutcome::Pending);
    assert_eq!((relay.request_in_use(), divisible(&relay, 200_000)), (first, Some(40)));
    assert_eq!(relay.adopt_pending(200_000, &[50], &[10]), GrantOutcome::Shrunk);
    assert_eq!(relay.request_in_use(), third);
}

#[test]
fn a_pending_grant_is_adopted_when_the_grant_in_use_ends_first() {
    let (mut relay, _) = relay_with_grant_of_50();
    let second = receive_pending_grant(&mut relay, 500_000, 5, LEASE);
    assert_eq!(relay.adopt_pending(900_000, &[60], &[10]), GrantOutcome::Pending);
    // All that was delegated of the first grant has ended; what remains is the relay's own.
    let now = LEASE;
    assert_eq!(divisible(&relay, now), None);
    assert_eq!(relay.adopt_pending(now, &[10], &[10]), GrantOutcome::Used);
    assert_eq!((relay.request_in_use(), divisible(&relay, now)), (second, Some(5)));
}

#[test]
fn a_pending_grant_is_dropped_when_it_runs_out() {
    let (mut relay, first) = relay_with_grant_of_50();
    receive_pending_grant(&mut relay, 100_000, 5, 200_000);
    assert_eq!(relay.adopt_pending(150_000, &[60], &[10]), GrantOutcome::Pending);
    assert_eq!(relay.adopt_pending(400_000, &[10], &[10]), GrantOutcome::Ignored);
    assert_eq!((relay.request_in_use(), divisible(&relay, 400_000)), (first, Some(50)));
}

#[test]
fn a_grant_that_ends_before_what_was_delegated_stays_pending() {
    let (mut relay, first) = relay_with_grant_of_50();
    // It is larger but ends at 300,000, and what was delegated may last as long as the grant in use.
    receive_pending_grant(&mut relay, 100_000, 90, 200_000);
    assert_eq!(relay.adopt_pending(100_000, &[60], &[10]), GrantOutcome::Pending);
    assert_eq!(relay.request_in_use(), first);
    assert_eq!(
        relay.adopt_pending(150_000, &[10], &[10]),
        GrantOutcome::Used,
        "all that is delegated is the relay's own"
    );
}

#[test]
fn after_a_grant_of_nothing_only_the_own_units_may_be_delegated() {
    let (mut relay, _) = relay_with_grant_of_50();
    let second = receive_pending_grant(&mut relay, 100_000, 0, LEASE);
    assert_eq!(relay.adopt_pending(100_000, &[11], &[10]), GrantOutcome::Pending);
    assert_eq!(divisible(&relay, 100_000), Some(0));
    assert_eq!(relay.adopt_pending(200_000, &[10], &[10]), GrantOutcome::Shrunk);
    assert_eq!((relay.request_in_use(), divisible(&relay, 200_000)), (second, Some(0)));
}

#[test]
fn without_messages_the_lease_ends_by_the_clock_of_the_relay() {
    let (mut relay, _) = relay_with_grant_of_50();
    let ends = terms().shortened(LEASE);
    assert_eq!(divisible(&relay, ends - 1), Some(50));
    assert_eq!(divisible(&relay, ends), None);
    assert!(relay.expire(ends) && !relay.expire(ends), "reported once");
    assert_eq!(relay.adopt_pending(ends, &[0], &[10]), GrantOutcome::Ignored);
}

#[test]
fn a_grant_is_limited_to_the_demand_and_one_lease_time_whatever_the_coordinator_says() {
    for mut holder in [Holder::relay(), Holder::consumer()] {
        let request_id = holder.record_request(0, &[30]);
        let excessive = ReceivedGrant { request_id, duration: 60 * LEASE, share: vec![u32::MAX] };
        assert_ne!(holder.receive(0, excessive, &terms()), GrantOutcome::Ignored);
        holder.adopt_pending(0, &[0], &[0]);
        assert_eq!((holder.share(0, 0), holder.share(LEASE, 0)), (30, 0));
        let no_amounts =
            ReceivedGrant { request_id: holder.record_request(0, &[30]), duration: LEASE, share: vec![] };
        assert_eq!(
            holder.receive(0, no_amounts, &terms()),
            GrantOutcome::Ignored,
            "the number of amounts differs from the number of budgets"
        );
    }
}
