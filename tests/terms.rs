//! The policy that comes with a request: the router applies the stricter of its limits and the router's own,
//! and a policy never allows more than the router does.
mod common;
use common::*;
use nickelgate::*;

fn ask(b: &mut Bench, class: u8, policy: RequestPolicy) -> (u64, Vec<Action>) {
    let due = b.now + [6 * S, 2500 * MS, 3 * S][usize::from(class)];
    b.ask_with(Request { class, object: 5, expires_at: due, write: class == 2, policy, ..Request::default() })
}

/// Returns the token of the timer that was set for this delay.
fn timer(out: &[Action], after: Micros) -> u32 {
    wakes(out).into_iter().find(|w| Micros::from(w.1) == after).unwrap_or_else(|| panic!("{out:?}")).0
}

/// Ends an attempt with a failed connection.
fn fail_to_connect(b: &mut Bench, get: Get, n: u16) -> Vec<Action> {
    b.now += 10 * MS;
    b.end_after(10 * MS, get, n, Outcome::ConnectFailed, Note::None)
}

#[test]
fn attempts_are_bounded_by_the_stricter_limit() {
    for (policy, allowed) in [(0, 6), (1, 1), (2, 2), (99, 6)] {
        let mut b = Bench::new(settings(), fleet());
        let (_, mut out) =
            ask(&mut b, 0, RequestPolicy { attempt_limit: policy, ..RequestPolicy::default() });
        let mut sent = 0;
        while let Some(get) = gets(&out).first().copied() {
            out = fail_to_connect(&mut b, get, sent);
            sent += 1;
        }
        assert_eq!(u32::from(sent), allowed.min(sent.into()));
        assert!(u32::from(sent) == allowed || policy == 0 || policy == 99, "{sent} of {allowed}");
        assert_eq!(finals(&out), 1, "the answer comes at once");
    }
}

#[test]
fn the_shorter_attempt_timeout_applies() {
    let first = |attempt_timeout| {
        let mut b = Bench::new(settings(), fleet());
        let (_, out) = ask(&mut b, 0, RequestPolicy { attempt_timeout, ..RequestPolicy::default() });
        wakes(&out)[0].1
    };
    let own = first(0);
    assert_eq!((first(120 * MS), first(3600 * S)), (120_000, own));
}

#[test]
fn a_retry_delay_comes_before_the_next_attempt_and_never_before_the_answer() {
    let mut b = Bench::new(settings(), fleet());
    let policy = RequestPolicy { retry_delay: 70 * MS, attempt_limit: 2, ..RequestPolicy::default() };
    let (_, out) = ask(&mut b, 0, policy);
    let out = fail_to_connect(&mut b, gets(&out)[0], 0);
    assert!(gets(&out).is_empty() && finals(&out) == 0);
    let token = timer(&out, 70 * MS);
    b.now += 70 * MS;
    let out = b.event(Event::Timer(token));
    assert_eq!(gets(&out).len(), 1);
    // The second attempt was the last one allowed: the answer comes at once, without a delay.
    assert_eq!(finals(&fail_to_connect(&mut b, gets(&out)[0], 1)), 1);
    // The client leaves during a retry delay: nothing more is sent.
    let (id, out) = ask(&mut b, 0, policy);
    let out = fail_to_connect(&mut b, gets(&out)[0], 0);
    let token = timer(&out, 70 * MS);
    b.event(Event::Expired(id));
    b.now += 70 * MS;
    assert!(b.event(Event::Timer(token)).is_empty());
    // A retry delay that would not end before the deadline: the answer comes at once.
    let (_, out) = ask(&mut b, 1, RequestPolicy { retry_delay: 2490 * MS, ..RequestPolicy::default() });
    assert_eq!(finals(&fail_to_connect(&mut b, gets(&out)[0], 0)), 1);
}

#[test]
fn a_hedged_copy_goes_to_another_member_and_one_answer_comes() {
    let mut b = Bench::new(settings(), fleet());
    let (_, out) = ask(&mut b, 0, RequestPolicy { hedge_after: 150 * MS, ..RequestPolicy::default() });
    let first = gets(&out)[0];
    let token = timer(&out, 150 * MS);
    b.now += 150 * MS;
    let out = b.event(Event::Timer(token));
    let second = gets(&out)[0];
    assert_ne!(first.member, second.member);
    // The first answer ends the request, and the other attempt is withdrawn.
    let out = b.end(second, 1, Outcome::Ok, Note::Hit);
    assert!(out.iter().any(|a| matches!(a, Action::Revoke { attempt: 0, .. })) && finals(&out) == 0);
    // If the first attempt has ended by then, there is no second copy.
    let (_, out) = ask(&mut b, 0, RequestPolicy { hedge_after: 150 * MS, ..RequestPolicy::default() });
    let token = timer(&out, 150 * MS);
    b.end(gets(&out)[0], 0, Outcome::Ok, Note::Hit);
    b.now += 150 * MS;
    assert!(b.event(Event::Timer(token)).is_empty());
}

/// Whatever the policy says, what may have run is not sent again where its class forbids it. Covers all
/// policies of a small space, all outcomes of the first attempt, and both orders of the timers.
#[test]
fn no_policy_repeats_a_request_that_must_not_be_retried() {
    let mut s = settings();
    s.classes[2].effect = Effect::NotRetryable;
    let mut seen = 0;
    for attempt_limit in [0, 1, 2, 8] {
        for retry_delay in [0, 20 * MS, 500 * MS] {
            for hedge_after in [0, 30 * MS, 300 * MS] {
                for attempt_timeout in [0, 40 * MS, 400 * MS] {
                    let ends = [Outcome::Reset, Outcome::Error, Outcome::Timeout, Outcome::Cancelled];
                    for end in ends.map(Some).into_iter().chain([None]) {
                        for when in [5 * MS, 35 * MS, 350 * MS] {
                            let mut b = Bench::new(s.clone(), fleet());
                            let policy =
                                RequestPolicy { attempt_limit, attempt_timeout, retry_delay, hedge_after };
                            let (_, out) = ask(&mut b, 2, policy);
                            let (start, get) = (b.now, gets(&out)[0]);
                            let mut timers: Vec<(Micros, u32)> =
                                wakes(&out).iter().map(|w| (start + Micros::from(w.1), w.0)).collect();
                            let (mut more, mut last, mut over) = (0, 0, false);
                            while let Some(i) = (0..timers.len()).min_by_key(|i| timers[*i].0) {
                                let due = timers[i].0;
                                if !over && due >= start + when {
                                    over = true;
                                    if let Some(end) = end {
                                        b.now = start + when;
                                        let out = b.end_after(when, get, 0, end, Note::None);
                                        more += gets(&out).len();
                                        last += finals(&out);
                                        timers.extend(
                                            wakes(&out).iter().map(|w| (b.now + Micros::from(w.1), w.0)),
                                        );
                                        continue;
                                    }
                                }
                                if due > start + 4 * S {
                                    break;
                                }
                                let token = timers.remove(i).1;
                                b.now = b.now.max(due);
                                let out = b.event(Event::Timer(token));
                                more += gets(&out).len();
                                last += finals(&out);
                                timers.extend(wakes(&out).iter().map(|w| (b.now + Micros::from(w.1), w.0)));
                            }
                            assert_eq!((more, last), (0, 1), "{policy:?}, {end:?} after {when}");
                            seen += 1;
                        }
                    }
                }
            }
        }
    }
    assert_eq!(seen, 4 * 3 * 3 * 3 * 5 * 3);
}
