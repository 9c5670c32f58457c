//! Attribution of errors on a site whose answers report only hits. A parent, a cache and the origin fail in
//! turn, and each error is returned by the cache that was asked, without a note. A healthy member must never
//! be skipped for it.
mod common;
use common::*;
use nickelgate::*;

/// One object in this many misses at the caches.
const MISSES: u64 = 3;

/// Sends forty requests a second for `span`; `fails` says which attempts fail, by the number of the fill (0:
/// a hit). Returns the numbers of attempts, of errors, and of attempts that `watched` served as the cache or
/// the source.
fn serve(b: &mut Bench, span: Micros, watched: Addr, fails: impl Fn(Get, u64) -> bool) -> [u64; 3] {
    let (end, mut count, mut fills) = (b.now + span, [0; 3], 0);
    while b.now < end {
        let object = b.now / MS % 9_973;
        b.play(0, object, |g| {
            let missed = object.is_multiple_of(MISSES) && g.source != g.member;
            fills += u64::from(missed);
            let failed = fails(g, if missed { fills } else { 0 });
            let added =
                [1, u64::from(failed), u64::from(g.member == watched || missed && g.source == watched)];
            (0..3).for_each(|i| count[i] += added[i]);
            let well = (Outcome::Ok, if missed { Note::Filled } else { Note::Hit });
            let (outcome, note) = if failed { (Outcome::Error, Note::None) } else { well };
            (60 * MS, outcome, note)
        });
        b.now += 25 * MS;
    }
    count
}

fn bench() -> Bench {
    Bench::new(
        Settings {
            all_notes_reported: false,
            parallel_attempts: false,
            weight_source: WeightSource::Rough,
            ..settings()
        },
        fleet(),
    )
}

fn members_with_failures(b: &Bench) -> Vec<Addr> {
    b.r.member_health().filter(|s| s.skipped || s.last_failed_at > 0).map(|s| s.member).collect()
}

#[test]
fn a_parent_that_fails_two_fills_in_three_gets_only_trials_until_it_recovers() {
    let (mut b, failing_parent) = (bench(), addr(100));
    let calm = serve(&mut b, 10 * S, failing_parent, |_, _| false);
    assert!(calm[2] > 40, "the parent serves part of the fills: {calm:?}");
    let [all, failed, _] = serve(&mut b, 20 * S, failing_parent, |g, fill| {
        fill > 0 && g.source == failing_parent && fill % 3 != 0
    });
    assert!(failed * 50 < all, "{failed} errors in {all} attempts");
    assert_eq!(members_with_failures(&b), [failing_parent], "only the parent that failed");
    serve(&mut b, 15 * S, failing_parent, |_, _| false);
    let again = serve(&mut b, 10 * S, failing_parent, |_, _| false);
    assert!(again[2] * 10 > calm[2] * 8, "{again:?} after it recovered, {calm:?} before");
}

#[test]
fn no_parent_is_skipped_for_a_failing_cache() {
    let (mut b, failing_cache) = (bench(), addr(2));
    serve(&mut b, 10 * S, failing_cache, |_, _| false);
    let [all, failed, _] = serve(&mut b, 20 * S, failing_cache, |g, _| g.member == failing_cache);
    assert!(failed > 0 && failed < all, "{failed} errors in {all} attempts");
    assert_eq!(members_with_failures(&b), [], "the sources are fine");
}

#[test]
fn while_the_origin_fails_the_parents_are_still_asked() {
    let (mut b, origin) = (bench(), addr(250));
    // The parents hold half of what they are asked for; the rest, and every fill directly from the origin,
    // fails.
    let [all, _, straight] =
        serve(&mut b, 20 * S, origin, |g, fill| fill > 0 && (g.source == origin || fill % 2 == 0));
    assert!(straight * 10 < all, "{straight} of {all} attempts used the origin, which fails each of them");
}
