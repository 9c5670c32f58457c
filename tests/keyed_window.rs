//! Over random schedules of outcomes and waits: a keyed request is never sent again once the window in which its
//! group drops repeats may have passed, never has two attempts out where that is not allowed, and gets one final
//! answer.
mod common;
use common::*;
use nickelgate::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

const OUTCOMES: [Outcome; 7] = [
    Outcome::Ok,
    Outcome::Timeout,
    Outcome::Error,
    Outcome::Reset,
    Outcome::Refused,
    Outcome::ConnectFailed,
    Outcome::Miss,
];

/// The attempt out: its number, member, when it was sent, when it ends and how.
#[derive(Clone, Copy)]
struct Out {
    n: u16,
    member: Addr,
    sent: Micros,
    end: Micros,
    outcome: Outcome,
}

/// Plays one keyed request; the schedule gives each attempt's time out in ms and how it ends.
fn play(window: Micros, schedule: &[(u16, usize)]) -> Result<(), TestCaseError> {
    let mut s = settings();
    (s.parallel, s.classes[2].dedup_window) = (false, window);
    let mut b = Bench::new(s, fleet());
    let (mut timers, mut next) = (BTreeSet::new(), schedule.iter());
    let (mut out, mut ran, mut answers, mut attempts) = (None::<Out>, None::<Micros>, 0, 0);
    let mut actions = b.ask(2, 1).1;
    loop {
        for a in std::mem::take(&mut actions) {
            match a {
                Action::Get(g) => {
                    prop_assert!(out.is_none(), "two attempts out at once");
                    if let Some(first) = ran {
                        prop_assert!(
                            b.now < first + window,
                            "sent {} us after the first that may have run",
                            b.now - first
                        );
                    }
                    let (after, how) = next.next().copied().unwrap_or((50, 0));
                    let end = b.now + Micros::from(after) * MS;
                    out =
                        Some(Out { n: attempts, member: g.member, sent: b.now, end, outcome: OUTCOMES[how] });
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
                let never = matches!(o.outcome, Outcome::Refused | Outcome::ConnectFailed | Outcome::Miss);
                ran = ran.or(Some(o.sent).filter(|_| !never));
                answers += u32::from(o.outcome == Outcome::Ok);
                out = None;
                actions = b.event(Event::Completed(Completed {
                    request: 1,
                    attempt: o.n,
                    member: o.member,
                    outcome: o.outcome,
                    elapsed: o.end - o.sent,
                    done: o.outcome == Outcome::Ok,
                    note: Note::None,
                    waited: 0,
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
