//! A client that leaves while its request waits for the next attempt: none is begun for it. Where it stays, one is.
use std::cell::RefCell;
use std::rc::Rc;
use threadward_core::stages::admit::Limits;
use threadward_core::{
    Addr, AttemptEnd, CacheTransport, ClientRequest, Dispatch, Entry, ListForm, Micros, Planner, Progress,
    RequestPolicy, Settings,
};

const MS: Micros = 1_000;
const T0: Micros = 1_000_000 * MS;

struct Way(Rc<RefCell<usize>>);

impl CacheTransport for Way {
    fn send(&mut self, _: Dispatch) {
        *self.0.borrow_mut() += 1;
    }
    fn withdraw(&mut self, _: u64, _: u16) -> bool {
        false
    }
    fn probe(&mut self, _: Addr) {}
}

/// Attempts that were begun, where the first one ends so or stays out, and the client leaves 90 ms after it began or not.
fn begun(terms: RequestPolicy, end: Option<AttemptEnd>, leaves: bool) -> usize {
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
    let mut p = Planner::new(s, 1, limits, Box::new(Way(sent.clone())));
    let cache = |n| Entry { addr: Addr { ip: [127, 0, 0, n], port: 1 }, ..Entry::default() };
    p.update_members(T0, ListForm::Full, vec![cache(1), cache(2)]);
    let ask = ClientRequest { call_id: "1".into(), due: T0 + 4_000 * MS, terms, ..ClientRequest::default() };
    let id = p.accept_request(T0, 0, ask, Box::new(|_| {})).unwrap();
    end.into_iter().for_each(|e| p.attempt_ended(T0 + 10 * MS, id, 0, e));
    while p.next_due().is_some_and(|at| at < T0 + 90 * MS) {
        p.run_timers(p.next_due().unwrap());
    }
    assert_eq!(*sent.borrow(), 1, "the next attempt waits");
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
fn nothing_is_begun_for_a_client_that_left_while_its_request_waited() {
    let (pause, second) = (100 * MS, 100 * MS);
    let paused = RequestPolicy { retry_delay: pause, ..RequestPolicy::default() };
    let copied = RequestPolicy { hedge_after: second, ..RequestPolicy::default() };
    let broke = || Some(AttemptEnd::ConnectionFailed(Progress::NotConnected));

    assert_eq!(
        (begun(paused, broke(), false), begun(paused, broke(), true)),
        (2, 1),
        "the pause before a repeat"
    );
    assert_eq!((begun(copied, None, false), begun(copied, None, true)), (2, 1), "a second copy");
    assert_eq!(
        (begun(RequestPolicy::default(), None, false), begun(RequestPolicy::default(), None, true)),
        (2, 1),
        "silence"
    );
}
