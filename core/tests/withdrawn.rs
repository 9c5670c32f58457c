//! If a request may have only one attempt in flight, the next one is sent once the cache of the first has
//! been told of its withdrawal. Otherwise both caches could run the request at the same time.
use std::cell::RefCell;
use std::rc::Rc;
use threadward_core::stages::admit::Limits;
use threadward_core::{
    Addr, AttemptEnd, CacheTransport, ClientRequest, Dispatch, Entry, Lifecycle, ListForm, Micros, Planner,
    Progress, Settings,
};

const MS: Micros = 1_000;

#[derive(Default)]
struct Record {
    sent: Vec<Dispatch>,
    withdrawn: usize,
}

/// A transport on which a cancel stays pending until the test reports that it has been written.
struct PendingCancelTransport(Rc<RefCell<Record>>);

impl CacheTransport for PendingCancelTransport {
    fn send(&mut self, d: Dispatch) {
        self.0.borrow_mut().sent.push(d);
    }
    fn withdraw(&mut self, _: u64, _: u16) -> bool {
        self.0.borrow_mut().withdrawn += 1;
        true
    }
    fn probe(&mut self, _: Addr) {}
}

/// Returns a planner whose first attempt has just been withdrawn because its cache was silent or, if attempts
/// may run in parallel, whose second attempt has been sent; with the record of its transport, the request's
/// id and the time.
fn withdrawn_for_silence(parallel: bool) -> (Planner, Rc<RefCell<Record>>, u64, Micros) {
    let class =
        nickelgate::Class { target_latency: 200 * MS, deadline: 4_000 * MS, ..nickelgate::Class::default() };
    let s = Settings {
        classes: vec![class],
        cancel: true,
        parallel_attempts: parallel,
        max_attempts: 6,
        ..Settings::default()
    };
    let record = Rc::new(RefCell::new(Record::default()));
    let limits = Limits { max_open: 10, max_bytes: 1 << 20, retry_after: 0 };
    let mut p = Planner::new(s, 1, limits, Box::new(PendingCancelTransport(record.clone())));
    let cache =
        |n| Entry { addr: Addr { ip: [127, 0, 0, n], port: 1 }, state: Lifecycle::Ready, ..Entry::default() };
    let mut now = 1_000_000 * MS;
    p.update_members(now, ListForm::Full, vec![cache(1), cache(2)]);
    let request =
        ClientRequest { call_id: "1".into(), expires_at: now + 4_000 * MS, ..ClientRequest::default() };
    let id = p.accept_request(now, 0, request, Box::new(|_| {})).unwrap();
    while record.borrow().withdrawn == 0 && record.borrow().sent.len() < 2 {
        now = p.next_due().unwrap();
        p.run_timers(now);
    }
    (p, record, id, now)
}

/// Guards against a second attempt, or one to the same silent cache, before the first cache has been told.
#[test]
fn next_attempt_waits_for_the_cancel_if_only_one_may_be_in_flight() {
    let (mut p, record, id, now) = withdrawn_for_silence(false);
    assert_eq!(
        (record.borrow().withdrawn, record.borrow().sent.len()),
        (1, 1),
        "the second attempt was sent before the first was cancelled"
    );
    p.attempt_ended(now + 5 * MS, id, 0, AttemptEnd::Withdrawn);
    let sent: Vec<Addr> = record.borrow().sent.iter().map(|d| d.member).collect();
    assert_eq!(sent.len(), 2, "no attempt after the cancel was written");
    assert_ne!(sent[0], sent[1], "sent to the silent cache again");
}

/// An attempt that ends while its cancel is pending must be counted as ended once, not a second time as a
/// late end.
#[test]
fn an_end_that_crosses_the_withdrawal_is_counted_once() {
    let (mut p, record, id, now) = withdrawn_for_silence(false);
    p.attempt_ended(now + MS, id, 0, AttemptEnd::ConnectionFailed(Progress::FullyWritten));
    p.attempt_ended(now + 2 * MS, id, 0, AttemptEnd::Withdrawn);
    assert_eq!(record.borrow().sent.len(), 2);
    assert_eq!(p.counters.get(threadward_core::Counter::LateEnds), 0);
}

/// Guards against a request that stays open because its cancel is never written.
#[test]
fn a_cancel_that_is_never_written_does_not_delay_the_final_answer() {
    let (mut p, record, _, _) = withdrawn_for_silence(false);
    while let Some(at) = p.next_due() {
        p.run_timers(at);
    }
    assert_eq!(
        (p.open_requests(), record.borrow().sent.len()),
        (0, 1),
        "answered at its deadline, nothing more sent"
    );
}

/// Guards against a wait for the cancel where it isn't needed.
#[test]
fn nothing_waits_if_attempts_may_run_in_parallel() {
    assert_eq!(withdrawn_for_silence(true).1.borrow().sent.len(), 2);
}
