//! Where a request may have one attempt out at once, the next one leaves when the cache of the first has been told.
use std::cell::RefCell;
use std::rc::Rc;
use threadward_core::stages::admit::Limits;
use threadward_core::{
    Addr, AttemptEnd, CacheTransport, ClientRequest, Dispatch, Entry, Lifecycle, ListForm, Micros, Planner,
    Progress, Settings,
};

const MS: Micros = 1_000;

#[derive(Default)]
struct Seen {
    sent: Vec<Dispatch>,
    withdrawn: usize,
}

/// A way to caches on which a cancel waits until the test says that it is written.
struct Way(Rc<RefCell<Seen>>);

impl CacheTransport for Way {
    fn send(&mut self, d: Dispatch) {
        self.0.borrow_mut().sent.push(d);
    }
    fn withdraw(&mut self, _: u64, _: u16) -> bool {
        self.0.borrow_mut().withdrawn += 1;
        true
    }
    fn probe(&mut self, _: Addr) {}
}

/// A planner whose first attempt has just been withdrawn because its cache is silent.
fn silent(parallel: bool) -> (Planner, Rc<RefCell<Seen>>, u64, Micros) {
    let class =
        nickelgate::Class { target_latency: 200 * MS, deadline: 4_000 * MS, ..nickelgate::Class::default() };
    let s = Settings {
        classes: vec![class],
        cancel: true,
        parallel_attempts: parallel,
        max_attempts: 6,
        ..Settings::default()
    };
    let seen = Rc::new(RefCell::new(Seen::default()));
    let limits = Limits { max_open: 10, max_bytes: 1 << 20, retry_after: 0 };
    let mut p = Planner::new(s, 1, limits, Box::new(Way(seen.clone())));
    let cache =
        |n| Entry { addr: Addr { ip: [127, 0, 0, n], port: 1 }, state: Lifecycle::Ready, ..Entry::default() };
    let mut now = 1_000_000 * MS;
    p.update_members(now, ListForm::Full, vec![cache(1), cache(2)]);
    let ask = ClientRequest { call_id: "1".into(), due: now + 4_000 * MS, ..ClientRequest::default() };
    let id = p.accept_request(now, 0, ask, Box::new(|_| {})).unwrap();
    while seen.borrow().withdrawn == 0 && seen.borrow().sent.len() < 2 {
        now = p.next_due().unwrap();
        p.run_timers(now);
    }
    (p, seen, id, now)
}

#[test]
fn the_next_attempt_waits_for_the_cancel_where_one_may_be_out() {
    let (mut p, seen, id, now) = silent(false);
    assert_eq!(
        (seen.borrow().withdrawn, seen.borrow().sent.len()),
        (1, 1),
        "the second before the first is off"
    );
    p.attempt_ended(now + 5 * MS, id, 0, AttemptEnd::Withdrawn);
    let sent: Vec<Addr> = seen.borrow().sent.iter().map(|d| d.member).collect();
    assert_eq!(sent.len(), 2, "none after the cancel was written");
    assert_ne!(sent[0], sent[1], "to the silent one again");
}

#[test]
fn an_end_that_crosses_the_withdrawal_counts_once() {
    let (mut p, seen, id, now) = silent(false);
    p.attempt_ended(now + MS, id, 0, AttemptEnd::ConnectionFailed(Progress::FullyWritten));
    p.attempt_ended(now + 2 * MS, id, 0, AttemptEnd::Withdrawn);
    assert_eq!(seen.borrow().sent.len(), 2);
    assert_eq!(p.counters.get(threadward_core::Counter::LateEnds), 0);
}

#[test]
fn a_cancel_that_is_never_written_holds_no_final_answer() {
    let (mut p, seen, _, _) = silent(false);
    while let Some(at) = p.next_due() {
        p.run_timers(at);
    }
    assert_eq!(
        (p.open_requests(), seen.borrow().sent.len()),
        (0, 1),
        "answered at its time, nothing sent beside"
    );
}

#[test]
fn where_two_may_be_out_nothing_waits() {
    assert_eq!(silent(true).1.borrow().sent.len(), 2);
}
