//! Under random schedules of outcomes and waits, a keyed request is never sent again once the window in which
//! its group drops repeats may have passed, never has two attempts in flight where that is not allowed, and
//! gets exactly one final answer.
mod common;
use common::*;
use nickelgate::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Timeout,
    Outcome::Error,
    Outcome::Reset,
    Outcome::Refused,
    Outcome::ConnectFailed,
    Outcome::Miss,
    Outcome::NotSent,
];

/// The attempt in flight: its number, its member, when it was sent, when it ends and how.
#[derive(Clone, Copy)]
struct InFlight {
    n: u16,
    member: Addr,
    sent: Micros,
    end: Micros,
    outcome: Outcome,
}

/// Simulates one keyed request; the schedule gives how long each attempt takes in ms and the index of its
/// outcome.
fn play(window: Micros, schedule: &[(u16, usize)]) -> Result<(), TestCaseError> {
    let mut s = settings();
    (s.parallel_attempts, s.classes[2].dedup_window) = (false, window);
    let mut b = Bench::new(s, fleet());
    let (mut timers, mut next) = (BTreeSet::new(), schedule.iter());
    let (mut out, mut ran, mut answers, mut attempts) = (None::<InFlight>, None::<Micros>, 0, 0);
    let mut actions = b.ask(2, 1).1;
    loop {
        for a in std::mem::take(&mut actions) {
            match a {
                Action::Get(g) => {
                    prop_assert!(out.is_none(), "two attempts in flight at once");
                    if let Some(first) = ran {
                        prop_assert!(
                            b.now < first + window,
                            "sent {} us after the first that may have run",
                            b.now - first
                        );
                    }
                    prop_assert_eq!(g.send_by, ran.map_or(0, |first| first + window - 2 * MS));
                    let (after, how) = next.next().copied().unwrap_or((50, 0));
                    let end = b.now + Micros::from(after) * MS;
                    out = Some(InFlight {
                        n: attempts,
                        member: g.member,
                        sent: b.now,
                        end,
                        outcome: OUTCOMES[how],
                    });
                    attempts += 1;
                }
                Action::Wake { token, after } => drop(timers.insert((b.now + Micros::from(after), token))),
                Action::Revoke { attempt, .. } => {
                    if let Some(o) = out.as_mut().filter(|o| o.n == attempt) {
                        (o.end, o.outcome) = (b.now, Outcome::Cancelled);
                    }
                }
                Action::Decline { .. } | Action::Fail(_) => answers += 1,
                _ => {}
            }
        }
        let timer = timers.first().copied();
        match (out, timer) {
            (Some(o), t) if t.is_none_or(|(at, _)| o.end <= at) => {
                b.now = b.now.max(o.end);
                let never = matches!(
                    o.outcome,
                    Outcome::Refused | Outcome::ConnectFailed | Outcome::Miss | Outcome::NotSent
                );
                ran = ran.or(Some(o.sent).filter(|_| !never));
                answers += u32::from(o.outcome == Outcome::Ok);
                out = None;
                actions = b.event(Event::Completed(Completed {
                    request: 1,
                    attempt: o.n,
                    member: o.member,
                    outcome: o.outcome,
                    elapsed: o.end - o.sent,
                    request_done: o.outcome == Outcome::Ok,
                    note: Note::None,
                    source_wait: 0,
                    report: Report::default(),
                }));
            }
            (_, Some((at, token))) => {
                timers.remove(&(at, token));
                b.now = b.now.max(at);
                actions = b.event(Event::Timer(token));
            }
            _ => break,
        }
    }
    prop_assert_eq!(answers, 1, "one final answer");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: proptest::test_runner::RngSeed::Fixed(21), ..ProptestConfig::default() })]
    #[test]
    fn a_keyed_request_is_never_resent_past_its_window(
        window_ms in 100u64..6_000,
        schedule in proptest::collection::vec((0u16..2_500, 0usize..OUTCOMES.len()), 0..8),
    ) {
        play(window_ms * MS, &schedule)?;
    }
}

/// A router whose writes have this group, effect and window, under a deadline of 3 s, with caches in two
/// cells.
fn keyed(group: DedupGroup, effect: Effect, window: Micros) -> Bench {
    let mut s = settings();
    (s.direct, s.retry_after) = (false, true);
    (s.classes[2].dedup_group, s.classes[2].effect, s.classes[2].dedup_window) = (group, effect, window);
    let mut list = fleet();
    (list[0].cell, list[1].cell, list[2].cell) = (1, 1, 2);
    Bench::new(s, list)
}

#[test]
fn a_repeat_has_a_bound_for_its_sending_and_a_first_attempt_has_none() {
    use Outcome::*;
    for (window, first, after, bound) in [
        // An outcome that proves that nothing ran sets no bound; else the bound counts from the sending of
        // that attempt.
        (800 * MS, ConnectFailed, 100 * MS, None),
        (800 * MS, NotSent, 100 * MS, None),
        (800 * MS, Reset, 100 * MS, Some(798 * MS)),
        (800 * MS, Reset, 797 * MS, Some(798 * MS)),
        (10 * S, Cancelled, 100 * MS, Some(9_998 * MS)),
        (Micros::MAX, Reset, 100 * MS, Some(Micros::MAX - T0 - 2 * MS)),
    ] {
        let mut b = keyed(DedupGroup::All, Effect::Dedup, window);
        let one = gets(&b.ask(2, 1).1)[0];
        assert_eq!(one.send_by, 0);
        b.now += after;
        let two = gets(&b.end(one, 0, first, Note::None))[0];
        assert_eq!(two.send_by, bound.map_or(0, |w| T0 + w), "{first:?} after {after}, window {window}");
        // A third attempt keeps the bound of the first one that may have run.
        b.now += MS.min(window / 800_000);
        let three = gets(&b.end(two, 1, NotSent, Note::None));
        let still = bound.is_none_or(|w| b.now < T0 + w);
        assert_eq!(three.first().map(|g| g.send_by), still.then_some(bound.map_or(0, |w| T0 + w)));
    }
    // A hedged copy has the same bound; in a class whose repeats are harmless it has none.
    for (class, bound) in [(2, T0 + 798 * MS), (1, 0)] {
        let mut b = keyed(DedupGroup::All, Effect::Dedup, 800 * MS);
        let policy = RequestPolicy { hedge_after: 150 * MS, ..RequestPolicy::default() };
        let req = Request {
            class,
            object: 5,
            expires_at: b.now + 2 * S,
            write: class == 2,
            policy,
            ..Request::default()
        };
        let out = b.ask_with(req).1;
        let token = wakes(&out).into_iter().find(|w| w.1 == 150_000).expect("a second copy is planned").0;
        b.now += 150 * MS;
        assert_eq!(gets(&b.event(Event::Timer(token)))[0].send_by, bound);
    }
}

#[test]
fn what_may_have_run_is_repeated_only_where_class_group_and_window_allow() {
    use DedupGroup::*;
    for (group, effect, window, again, harmless) in [
        (All, Effect::Dedup, 0, false, true),
        (All, Effect::Dedup, MS, false, true),
        (All, Effect::Dedup, 600 * MS, true, true),
        (Zone, Effect::Dedup, 600 * MS, true, false),
        (Zone, Effect::Dedup, 0, false, false),
        (All, Effect::NotRetryable, 600 * MS, false, false),
        (Cell, Effect::Retryable, 0, true, true),
    ] {
        let mut b = keyed(group, effect, window);
        let (id, out) = b.ask(2, 1);
        b.now += 100 * MS;
        let next = b.end(gets(&out)[0], 0, Outcome::Reset, Note::None);
        let what = format!("{group:?} {effect:?} {window}: {next:?}");
        assert_eq!((gets(&next).len(), finals(&next)), (usize::from(again), usize::from(!again)), "{what}");
        assert!(again || next.contains(&Action::Fail(id)) != harmless, "{what}");
    }
}

#[test]
fn a_cache_of_another_cell_at_a_reused_address_is_not_in_the_dedup_group() {
    for cell in [1, 9] {
        let mut b = keyed(DedupGroup::Cell, Effect::Dedup, 2 * S);
        let out = b.ask(2, 1).1;
        let first = gets(&out)[0];
        let mut list: Vec<Entry> = vec![cache(first.member.ip[3]), parent(100), origin()];
        (list[0].cell, list[0].started_at) =
            (if cell == 9 { 9 } else { 1 + u16::from(first.member == addr(3)) }, T0 - 60 * S);
        b.list(ListForm::Full, list);
        b.now += 100 * MS;
        // The note blames the source, so the cache at that address stays in the choice, and it is the only
        // one left.
        let next = b.end(first, 0, Outcome::Reset, Note::SourceFailed);
        assert_eq!(gets(&next).len(), usize::from(cell == 1), "{next:?}");
    }
}

#[test]
fn two_outcomes_or_an_outcome_and_the_deadline_in_one_batch_give_one_answer() {
    use Outcome::*;
    for class in [1, 2] {
        for ends in [[Ok, Ok], [Ok, Reset], [Reset, Ok], [Reset, Reset], [NotSent, Ok], [Timeout, Cancelled]]
        {
            for order in [[0, 1], [1, 0]] {
                for deadline in 0..3 {
                    let mut b = keyed(DedupGroup::All, Effect::Dedup, 800 * MS);
                    let policy =
                        RequestPolicy { hedge_after: 150 * MS, attempt_limit: 2, ..RequestPolicy::default() };
                    let due = b.now + 2 * S;
                    let req = Request {
                        class,
                        object: 5,
                        expires_at: due,
                        write: class == 2,
                        policy,
                        ..Request::default()
                    };
                    let (_, mut out) = b.ask_with(req);
                    let timer = |out: &[Action], at| wakes(out).into_iter().find(|w| Micros::from(w.1) == at);
                    let last = timer(&out, 2 * S - 2 * MS).expect("the deadline").0;
                    let copy = timer(&out, 150 * MS).expect("the second copy").0;
                    b.now += 150 * MS;
                    out.extend(b.event(Event::Timer(copy)));
                    let attempts_sent = gets(&out);
                    assert_eq!(attempts_sent.len(), 2);
                    // Past the window: all events come in one batch at the same time.
                    b.now = due - 2 * MS;
                    let (mut answers, mut sent) = (0, 0);
                    for turn in 0..3 {
                        let out = if turn == deadline {
                            b.event(Event::Timer(last))
                        } else {
                            let n = order[if turn > deadline { turn - 1 } else { turn }];
                            // A served attempt answers the request only while that is open.
                            answers += usize::from(ends[n] == Ok && answers == 0);
                            b.end(attempts_sent[n], n as u16, ends[n], Note::None)
                        };
                        answers += finals(&out);
                        sent += gets(&out).len();
                    }
                    assert_eq!((answers, sent), (1, 0), "{class} {ends:?} {order:?} deadline {deadline}");
                }
            }
        }
    }
}
