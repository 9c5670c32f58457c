//! All terms of a stated small space against every sequence of ends that attempts can come to, in virtual time, through
//! the real planner and module: no class that forbids it runs twice, and each request has one answer, in its time.
use std::cell::RefCell;
use std::rc::Rc;
use threadward_core::stages::admit::Limits;
use threadward_core::{
    AttemptEnd, Body, CacheAnswer, CacheTransport, ClientRequest, Dispatch, FinalAnswer, ListForm, Micros,
    Note, Outcome, Payload, Planner, Progress, Report, RequestPolicy,
};
use threadward_lab::event_queue::EventQueue;
use threadward_lab::fleet::{cache, parent, settings, ORIGIN, T0};

const MS: Micros = 1_000;

/// What becomes of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Refused,
    PartlyWritten,
    Reset,
    /// The answer comes after the request's time, or after it was withdrawn, all the same.
    Late,
    Hang,
    Served,
    ServedTwice,
    Error,
}

const FATES: [Fate; 8] = [
    Fate::Refused,
    Fate::PartlyWritten,
    Fate::Reset,
    Fate::Late,
    Fate::Hang,
    Fate::Served,
    Fate::ServedTwice,
    Fate::Error,
];

#[derive(Default)]
struct Seen {
    orders: Vec<Dispatch>,
    answers: Vec<FinalAnswer>,
}

struct RecordedLink(Rc<RefCell<Seen>>);

impl CacheTransport for RecordedLink {
    fn send(&mut self, d: Dispatch) {
        self.0.borrow_mut().orders.push(d);
    }
    fn withdraw(&mut self, _: u64, _: u16) -> bool {
        false
    }
    fn probe(&mut self, _: nickelgate::Addr) {}
}

enum Event {
    Timers,
    End(u16, AttemptEnd),
}

fn told(outcome: Outcome) -> AttemptEnd {
    let payload = Payload { body: Body::from_range(vec![1], 0..1), tag: "t".into(), unchanged: false };
    let payload = (outcome == Outcome::Ok).then_some(payload);
    AttemptEnd::Answered(CacheAnswer {
        outcome,
        note: Note::None,
        source_wait: 0,
        report: Report::default(),
        payload,
    })
}

/// What came of a request.
struct Play {
    /// Attempts that may have run, and those that left after one had.
    ran: usize,
    doubled: usize,
    /// When each answer came, after the client's give-up where it did, and whether it called a repeat harmless.
    answers: Vec<(i64, bool)>,
}

/// Plays one request whose attempts come to these ends; those after the last of them hang.
fn play(class: u8, terms: RequestPolicy, fates: &[Fate]) -> Play {
    let s = settings(1);
    let seen: Rc<RefCell<Seen>> = Rc::default();
    let limits = Limits { max_open: 10, max_bytes: usize::MAX, retry_after: MS };
    let mut p = Planner::new(s.clone(), 3, limits, Box::new(RecordedLink(seen.clone())));
    let entry =
        |addr, zone, kind, weight| threadward_core::Entry { addr, zone, kind, weight, ..Default::default() };
    let list = (1..=3)
        .map(|n| entry(cache(n), 1, 0, 6.0))
        .chain([entry(parent(1), 0, 1, 12.0), entry(ORIGIN, 0, 2, 0.0)]);
    p.update_members(T0, ListForm::Full, list.collect());
    let due = T0 + s.classes[usize::from(class)].deadline;
    let ask = ClientRequest {
        call_id: "c".into(),
        class,
        object: 9,
        expires_at: due,
        policy: terms,
        ..ClientRequest::default()
    };
    let own = seen.clone();
    p.accept_request(T0, 0, ask, Box::new(move |last| own.borrow_mut().answers.push(last)));
    let mut queue = EventQueue::new(T0);
    let (mut ran, mut doubled, mut answers) = (0, 0, Vec::new());
    loop {
        let now = queue.now;
        for d in std::mem::take(&mut seen.borrow_mut().orders) {
            doubled += usize::from(ran > 0);
            let fate = fates.get(usize::from(d.attempt)).copied().unwrap_or(Fate::Hang);
            ran += usize::from(!matches!(fate, Fate::Refused | Fate::PartlyWritten));
            let mut put = |after: Micros, end| queue.schedule(now + after, Event::End(d.attempt, end));
            match fate {
                Fate::Refused => put(10 * MS, AttemptEnd::ConnectionFailed(Progress::NotConnected)),
                Fate::PartlyWritten => put(20 * MS, AttemptEnd::ConnectionFailed(Progress::PartlyWritten)),
                Fate::Reset => put(30 * MS, AttemptEnd::ConnectionFailed(Progress::FullyWritten)),
                Fate::Late => put(due + 100 * MS - now, told(Outcome::Ok)),
                Fate::Hang => {}
                Fate::Served => put(60 * MS, told(Outcome::Ok)),
                Fate::ServedTwice => {
                    put(60 * MS, told(Outcome::Ok));
                    put(61 * MS, told(Outcome::Ok));
                }
                Fate::Error => put(40 * MS, told(Outcome::Error)),
            }
        }
        for last in std::mem::take(&mut seen.borrow_mut().answers) {
            answers.push((now as i64 - due as i64, matches!(last, FinalAnswer::Refused { .. })));
        }
        let timer = p.next_due().unwrap_or(Micros::MAX);
        if queue.next_event_at().is_none_or(|at| at > timer) {
            queue.schedule(timer, Event::Timers);
        }
        match queue.pop(due + 500 * MS) {
            None => return Play { ran, doubled, answers },
            Some(Event::Timers) => p.run_timers(queue.now),
            Some(Event::End(n, end)) => p.attempt_ended(queue.now, 1, n, end),
        }
    }
}

#[test]
fn every_end_of_every_attempt_under_all_terms() {
    let mut explored = 0;
    let slack = settings(1).answer_slack as i64;
    for attempts in [0, 1, 2, 3] {
        for pause in [0, 15 * MS, 400 * MS] {
            for second in [0, 25 * MS, 250 * MS] {
                for patience in [0, 35 * MS] {
                    let terms = RequestPolicy {
                        attempt_limit: attempts,
                        attempt_timeout: patience,
                        retry_delay: pause,
                        hedge_after: second,
                    };
                    for class in [0, 2] {
                        // Three attempts in a row: what comes after hangs.
                        for n in 0..FATES.len().pow(3) {
                            let fates = [n % 8, n / 8 % 8, n / 64].map(|i| FATES[i]);
                            let got = play(class, terms, &fates);
                            let what = format!("class {class}, {terms:?}, {fates:?}");
                            assert_eq!(got.answers.len(), 1, "{what}");
                            let (late, harmless) = got.answers[0];
                            assert!(late <= slack, "{what}: {late} us after the deadline");
                            if class == 2 {
                                assert_eq!(got.doubled, 0, "{what}");
                                assert!(
                                    got.ran == 0 || !harmless,
                                    "{what}: what may have run is called harmless"
                                );
                            }
                            explored += 1;
                        }
                    }
                }
            }
        }
    }
    assert_eq!(explored, 4 * 3 * 3 * 2 * 2 * 512);
}
