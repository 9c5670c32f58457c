//! A client that leaves while its request waits for the next attempt: no further attempt may be sent for it,
//! since nobody would take the answer. If the client stays, one is sent.
use std::cell::RefCell;
use std::rc::Rc;
use threadward_core::stages::admit::Limits;
use threadward_core::{
    Addr, AttemptEnd, CacheTransport, ClientRequest, Dispatch, Entry, ListForm, Micros, Planner, Progress,
    RequestPolicy, Settings,
};

const MS: Micros = 1_000;
const T0: Micros = 1_000_000 * MS;

struct CountingTransport(Rc<RefCell<usize>>);

impl CacheTransport for CountingTransport {
    fn send(&mut self, _: Dispatch) {
        *self.0.borrow_mut() += 1;
    }
    fn withdraw(&mut self, _: u64, _: u16) -> bool {
        false
    }
    fn probe(&mut self, _: Addr) {}
}

/// Returns the number of attempts sent. The first one ends as `end` says or, without it, stays in flight. If
/// `leaves`, the client leaves 90 ms after its request.
fn attempts_sent(policy: RequestPolicy, end: Option<AttemptEnd>, leaves: bool) -> usize {
    let class =
        nickelgate::Class { target_latency: 200 * MS, deadline: 4_000 * MS, ..nickelgate::Class::default() };

    let class = nickelgate::Class { effect: nickelgate::Effect::Retryable, ..class };
    let s = Settings {
        classes: vec![class],
        cancel: true,
        parallel_attempts: true,
        max_attempts: 2,
        ..Settings::default()
    };
    let sent = Rc::new(RefCell::new(0));
    let limits = Limits { max_open: 10, max_bytes: 1 << 20, retry_after: 0 };
    let mut p = Planner::new(s, 1, limits, Box::new(CountingTransport(sent.clone())));
    let cache = |n| Entry { addr: Addr { ip: [127, 0, 0, n], port: 1 }, ..Entry::default() };
    p.update_members(T0, ListForm::Full, vec![cache(1), cache(2)]);
    let request = ClientRequest {
        call_id: "1".into(),
        expires_at: T0 + 4_000 * MS,
        policy,
        ..ClientRequest::default()
    };
    let id = p.accept_request(T0, 0, request, Box::new(|_| {})).unwrap();
    end.into_iter().for_each(|e| p.attempt_ended(T0 + 10 * MS, id, 0, e));
    while p.next_due().is_some_and(|at| at < T0 + 90 * MS) {
        p.run_timers(p.next_due().unwrap());
    }
    assert_eq!(*sent.borrow(), 1, "the next attempt still waits");
    if leaves {
        p.client_left(T0 + 90 * MS, id);
    }
    while let Some(at) = p.next_due() {
        p.run_timers(at);
    }
    let sent = *sent.borrow();
    sent
}

#[test]
fn no_attempt_is_sent_after_the_client_left_while_its_request_waited() {
    let (retry_delay, hedge_after) = (100 * MS, 100 * MS);
    let with_retry_delay = RequestPolicy { retry_delay, ..RequestPolicy::default() };
    let with_hedge = RequestPolicy { hedge_after, ..RequestPolicy::default() };
    let connection_failed = || Some(AttemptEnd::ConnectionFailed(Progress::NotConnected));

    assert_eq!(
        (
            attempts_sent(with_retry_delay, connection_failed(), false),
            attempts_sent(with_retry_delay, connection_failed(), true)
        ),
        (2, 1),
        "during the delay before a retry"
    );
    assert_eq!(
        (attempts_sent(with_hedge, None, false), attempts_sent(with_hedge, None, true)),
        (2, 1),
        "before a hedge"
    );
    assert_eq!(
        (
            attempts_sent(RequestPolicy::default(), None, false),
            attempts_sent(RequestPolicy::default(), None, true)
        ),
        (2, 1),
        "before an attempt because of silence"
    );
}
