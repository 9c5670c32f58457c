//! Terms that come with a request: the router takes the stricter of them and its own, and stays the one to decide.
mod common;
use common::*;
use nickelgate::*;

fn ask(b: &mut Bench, class: u8, terms: RequestPolicy) -> (u64, Vec<Action>) {
    let due = b.now + [6 * S, 2500 * MS, 3 * S][usize::from(class)];
    b.ask_with(Request {
        class,
        object: 5,
        expires_at: due,
        write: class == 2,
        policy: terms,
        ..Request::default()
    })
}

fn timer(out: &[Action], after: Micros) -> u32 {
    wakes(out).into_iter().find(|w| Micros::from(w.1) == after).unwrap_or_else(|| panic!("{out:?}")).0
}

fn refused(b: &mut Bench, get: Get, n: u16) -> Vec<Action> {
    b.now += 10 * MS;
    b.end_after(10 * MS, get, n, Outcome::ConnectFailed, Note::None)
}

#[test]
fn attempts_are_bounded_by_the_stricter() {
    for (terms, most) in [(0, 6), (1, 1), (2, 2), (99, 6)] {
        let mut b = Bench::new(settings(), fleet());
        let (_, mut out) = ask(&mut b, 0, RequestPolicy { attempt_limit: terms, ..RequestPolicy::default() });
        let mut sent = 0;
        while let Some(get) = gets(&out).first().copied() {
            out = refused(&mut b, get, sent);
            sent += 1;
        }
        assert_eq!(u32::from(sent), most.min(sent.into()));
        assert!(u32::from(sent) == most || terms == 0 || terms == 99, "{sent} of {most}");
        assert_eq!(finals(&out), 1, "the answer comes at once");
    }
}

#[test]
fn patience_is_the_shorter_one() {
    let first = |patience| {
        let mut b = Bench::new(settings(), fleet());
        let (_, out) =
            ask(&mut b, 0, RequestPolicy { attempt_timeout: patience, ..RequestPolicy::default() });
        wakes(&out)[0].1
    };
    let own = first(0);
    assert_eq!((first(120 * MS), first(3600 * S)), (120_000, own));
}

#[test]
fn a_pause_comes_before_the_next_attempt_and_never_before_the_answer() {
    let mut b = Bench::new(settings(), fleet());
    let terms = RequestPolicy { retry_delay: 70 * MS, attempt_limit: 2, ..RequestPolicy::default() };
    let (_, out) = ask(&mut b, 0, terms);
    let out = refused(&mut b, gets(&out)[0], 0);
    assert!(gets(&out).is_empty() && finals(&out) == 0);
    let token = timer(&out, 70 * MS);
    b.now += 70 * MS;
    let out = b.event(Event::Timer(token));
    assert_eq!(gets(&out).len(), 1);
    // The second was the last: refused at once, no pause.
    assert_eq!(finals(&refused(&mut b, gets(&out)[0], 1)), 1);
    // The client leaves during a pause: nothing more is sent.
    let (id, out) = ask(&mut b, 0, terms);
    let out = refused(&mut b, gets(&out)[0], 0);
    let token = timer(&out, 70 * MS);
    b.event(Event::Expired(id));
    b.now += 70 * MS;
    assert!(b.event(Event::Timer(token)).is_empty());
    // One that no longer fits before the deadline: the answer at once.
    let (_, out) = ask(&mut b, 1, RequestPolicy { retry_delay: 2490 * MS, ..RequestPolicy::default() });
    assert_eq!(finals(&refused(&mut b, gets(&out)[0], 0)), 1);
}

#[test]
fn a_second_copy_goes_elsewhere_and_one_answer_comes() {
    let mut b = Bench::new(settings(), fleet());
    let (_, out) = ask(&mut b, 0, RequestPolicy { hedge_after: 150 * MS, ..RequestPolicy::default() });
    let first = gets(&out)[0];
    let token = timer(&out, 150 * MS);
    b.now += 150 * MS;
    let out = b.event(Event::Timer(token));
    let second = gets(&out)[0];
    assert_ne!(first.member, second.member);
    // The one that answers first ends it, and the other is called off.
    let out = b.end(second, 1, Outcome::Ok, Note::Hit);
    assert!(out.iter().any(|a| matches!(a, Action::Revoke { attempt: 0, .. })) && finals(&out) == 0);
    // Where the first has ended by then, there is no second.
    let (_, out) = ask(&mut b, 0, RequestPolicy { hedge_after: 150 * MS, ..RequestPolicy::default() });
    let token = timer(&out, 150 * MS);
    b.end(gets(&out)[0], 0, Outcome::Ok, Note::Hit);
    b.now += 150 * MS;
    assert!(b.event(Event::Timer(token)).is_empty());
}

/// Whatever the terms say, what may have run is not sent again where its class forbids it. All terms of a small space,
/// and all ends of the first attempt, and both orders of the timers.
#[test]
fn no_terms_double_a_fragile_request() {
    let mut s = settings();
    s.classes[2].effect = Effect::NotRetryable;
    let mut seen = 0;
    for attempts in [0, 1, 2, 8] {
        for pause in [0, 20 * MS, 500 * MS] {
            for second in [0, 30 * MS, 300 * MS] {
                for patience in [0, 40 * MS, 400 * MS] {
                    let ends = [Outcome::Reset, Outcome::Error, Outcome::Timeout, Outcome::Cancelled];
                    for end in ends.map(Some).into_iter().chain([None]) {
                        for when in [5 * MS, 35 * MS, 350 * MS] {
                            let mut b = Bench::new(s.clone(), fleet());
                            let terms = RequestPolicy {
                                attempt_limit: attempts,
                                attempt_timeout: patience,
                                retry_delay: pause,
                                hedge_after: second,
                            };
                            let (_, out) = ask(&mut b, 2, terms);
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
                            assert_eq!((more, last), (0, 1), "{terms:?}, {end:?} after {when}");
                            seen += 1;
                        }
                    }
                }
            }
        }
    }
    assert_eq!(seen, 4 * 3 * 3 * 3 * 5 * 3);
}
