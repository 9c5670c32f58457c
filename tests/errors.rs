//! Whose an error is, on a site whose answers tell only hits: a hub, a cache and the origin that fail in turn, each seen
//! only by the cache that was asked. What is fine must never be held suspect.
mod common;
use common::*;
use nickelgate::*;

const MISSES: u64 = 3;

/// Forty requests a second for so long; `errs` tells which attempts fail, by the number of the fill (0: a hit). Attempts, errors, and those sent
/// (by cache or source) to `seen`.
fn serve(b: &mut Bench, span: Micros, seen: Addr, errs: impl Fn(Get, u64) -> bool) -> [u64; 3] {
    let (end, mut count, mut fills) = (b.now + span, [0; 3], 0);
    while b.now < end {
        let object = b.now / MS % 9_973;
        b.play(0, object, |g| {
            let missed = object.is_multiple_of(MISSES) && g.source != g.member;
            fills += u64::from(missed);
            let failed = errs(g, if missed { fills } else { 0 });
            let told = [1, u64::from(failed), u64::from(g.member == seen || missed && g.source == seen)];
            (0..3).for_each(|i| count[i] += told[i]);
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

fn suspects(b: &Bench) -> Vec<Addr> {
    b.r.member_health().filter(|s| s.skipped || s.last_failed_at > 0).map(|s| s.member).collect()
}

#[test]
fn a_hub_that_fails_two_fills_in_three_is_left_for_trials_and_found_again() {
    let (mut b, hub) = (bench(), addr(100));
    let calm = serve(&mut b, 10 * S, hub, |_, _| false);
    assert!(calm[2] > 40, "the hub has a part of the fills: {calm:?}");
    let [all, failed, _] = serve(&mut b, 20 * S, hub, |g, fill| fill > 0 && g.source == hub && fill % 3 != 0);
    assert!(failed * 50 < all, "{failed} errors in {all} attempts");
    assert_eq!(suspects(&b), [hub], "only the hub that failed");
    serve(&mut b, 15 * S, hub, |_, _| false);
    let again = serve(&mut b, 10 * S, hub, |_, _| false);
    assert!(again[2] * 10 > calm[2] * 8, "{again:?} once it is well, {calm:?} before");
}

#[test]
fn a_failing_cache_makes_no_hub_suspect() {
    let (mut b, bad) = (bench(), addr(2));
    serve(&mut b, 10 * S, bad, |_, _| false);
    let [all, failed, _] = serve(&mut b, 20 * S, bad, |g, _| g.member == bad);
    assert!(failed > 0 && failed < all, "{failed} errors in {all} attempts");
    assert_eq!(suspects(&b), [], "the sources are fine");
}

#[test]
fn with_the_origin_failing_the_hubs_are_asked_all_the_same() {
    let (mut b, origin) = (bench(), addr(250));
    // Half of what the hubs are asked for they hold; the rest, and what goes straight there, fails.
    let [all, _, straight] =
        serve(&mut b, 20 * S, origin, |g, fill| fill > 0 && (g.source == origin || fill % 2 == 0));
    assert!(straight * 10 < all, "{straight} of {all} attempts by the origin, which fails each of them");
}
