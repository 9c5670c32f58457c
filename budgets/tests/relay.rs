//! A member that hands its share on: a newer grant waits until what was handed on fits into it.
use threadward_budgets::holder::{GrantOutcome, Holder, ReceivedGrant};
use threadward_budgets::Terms;

const LEASE: u64 = 1_000_000;

fn terms() -> Terms {
    Terms { lease: LEASE, proxies: 3, pools: vec![100], floors: vec![10] }
}

/// A question at that time, answered at once.
fn granted(relay: &mut Holder, now: u64, share: u32, duration: u64) -> u32 {
    let request_id = relay.record_request(now, &[100]);
    let grant = ReceivedGrant { request_id, duration, share: vec![share] };
    assert_eq!(relay.receive(now, grant, &terms()), GrantOutcome::Pending);
    request_id
}

fn divisible(relay: &Holder, now: u64) -> Option<u32> {
    relay.divisible(now).map(|held| held.share[0])
}

/// A relay that uses a grant of 50 from time 0, with 10 of its own.
fn with_fifty() -> (Holder, u32) {
    let mut relay = Holder::relay();
    let first = granted(&mut relay, 0, 50, LEASE);
    assert_eq!(divisible(&relay, 0), None, "nothing before it is confirmed");
    assert_eq!(relay.adopt_pending(0, &[10], &[10]), GrantOutcome::Used);
    assert_eq!((relay.request_in_use(), divisible(&relay, 0)), (first, Some(50)));
    (relay, first)
}

#[test]
fn a_larger_grant_is_used_at_once() {
    let (mut relay, _) = with_fifty();
    let second = granted(&mut relay, 100_000, 70, LEASE);
    assert_eq!(divisible(&relay, 100_000), Some(50), "the smaller of the two until then");
    assert_eq!(relay.adopt_pending(100_000, &[60], &[10]), GrantOutcome::Used);
    assert_eq!((relay.request_in_use(), divisible(&relay, 100_000)), (second, Some(70)));
}

#[test]
fn a_smaller_grant_waits_until_what_was_handed_on_fits() {
    let (mut relay, first) = with_fifty();
    let second = granted(&mut relay, 100_000, 20, LEASE);
    assert_eq!(relay.adopt_pending(100_000, &[60], &[10]), GrantOutcome::Pending);
    assert_eq!((relay.request_in_use(), divisible(&relay, 100_000)), (first, Some(20)));
    assert_eq!(relay.adopt_pending(200_000, &[31], &[10]), GrantOutcome::Pending, "one unit too many");
    assert_eq!(relay.adopt_pending(300_000, &[30], &[10]), GrantOutcome::Shrunk);
    assert_eq!((relay.request_in_use(), divisible(&relay, 300_000)), (second, Some(20)));
}

#[test]
fn of_several_that_wait_the_newest_counts() {
    let (mut relay, first) = with_fifty();
    granted(&mut relay, 100_000, 20, LEASE);
    let third = granted(&mut relay, 200_000, 40, LEASE);
    let stale = ReceivedGrant { request_id: third - 1, duration: LEASE, share: vec![20] };
    assert_eq!(
        relay.receive(200_000, stale, &terms()),
        GrantOutcome::Ignored,
        "late, and older than the one that waits"
    );
    assert_eq!(relay.adopt_pending(200_000, &[60], &[10]), GrantOutcome::Pending);
    assert_eq!((relay.request_in_use(), divisible(&relay, 200_000)), (first, Some(40)));
    assert_eq!(relay.adopt_pending(200_000, &[50], &[10]), GrantOutcome::Shrunk);
    assert_eq!(relay.request_in_use(), third);
}

#[test]
fn when_the_one_in_use_ends_first_the_one_that_waits_follows() {
    let (mut relay, _) = with_fifty();
    let second = granted(&mut relay, 500_000, 5, LEASE);
    assert_eq!(relay.adopt_pending(900_000, &[60], &[10]), GrantOutcome::Pending);
    // All that was handed on of the first is over; what is left is the relay's own.
    let now = LEASE;
    assert_eq!(divisible(&relay, now), None);
    assert_eq!(relay.adopt_pending(now, &[10], &[10]), GrantOutcome::Used);
    assert_eq!((relay.request_in_use(), divisible(&relay, now)), (second, Some(5)));
}

#[test]
fn one_that_waits_past_its_own_end_is_forgotten() {
    let (mut relay, first) = with_fifty();
    granted(&mut relay, 100_000, 5, 200_000);
    assert_eq!(relay.adopt_pending(150_000, &[60], &[10]), GrantOutcome::Pending);
    assert_eq!(relay.adopt_pending(400_000, &[10], &[10]), GrantOutcome::Ignored);
    assert_eq!((relay.request_in_use(), divisible(&relay, 400_000)), (first, Some(50)));
}

#[test]
fn one_that_ends_before_what_was_handed_on_waits_for_it() {
    let (mut relay, first) = with_fifty();
    // Larger, but it ends at 300,000, and what was handed on may last as long as the one in use.
    granted(&mut relay, 100_000, 90, 200_000);
    assert_eq!(relay.adopt_pending(100_000, &[60], &[10]), GrantOutcome::Pending);
    assert_eq!(relay.request_in_use(), first);
    assert_eq!(
        relay.adopt_pending(150_000, &[10], &[10]),
        GrantOutcome::Used,
        "all that is out is the relay's own"
    );
}

#[test]
fn a_share_of_nothing_leaves_the_own() {
    let (mut relay, _) = with_fifty();
    let second = granted(&mut relay, 100_000, 0, LEASE);
    assert_eq!(relay.adopt_pending(100_000, &[11], &[10]), GrantOutcome::Pending);
    assert_eq!(divisible(&relay, 100_000), Some(0));
    assert_eq!(relay.adopt_pending(200_000, &[10], &[10]), GrantOutcome::Shrunk);
    assert_eq!((relay.request_in_use(), divisible(&relay, 200_000)), (second, Some(0)));
}

#[test]
fn without_a_word_the_lease_ends_on_the_clock_of_the_relay() {
    let (mut relay, _) = with_fifty();
    let ends = terms().shortened(LEASE);
    assert_eq!(divisible(&relay, ends - 1), Some(50));
    assert_eq!(divisible(&relay, ends), None);
    assert!(relay.expire(ends) && !relay.expire(ends), "counted once");
    assert_eq!(relay.adopt_pending(ends, &[0], &[10]), GrantOutcome::Ignored);
}

#[test]
fn a_leader_that_lies_gives_no_more_than_was_asked_for_and_no_longer_than_a_lease() {
    for mut holder in [Holder::relay(), Holder::consumer()] {
        let request_id = holder.record_request(0, &[30]);
        let lie = ReceivedGrant { request_id, duration: 60 * LEASE, share: vec![u32::MAX] };
        assert_ne!(holder.receive(0, lie, &terms()), GrantOutcome::Ignored);
        holder.adopt_pending(0, &[0], &[0]);
        assert_eq!((holder.share(0, 0), holder.share(LEASE, 0)), (30, 0));
        let short =
            ReceivedGrant { request_id: holder.record_request(0, &[30]), duration: LEASE, share: vec![] };
        assert_eq!(
            holder.receive(0, short, &terms()),
            GrantOutcome::Ignored,
            "amounts of another number of budgets"
        );
    }
}
