//! Zones as a planner follows them: what is left, what comes back cold, what is refused first, and whom silence is held
//! against.
use nickelgate::Completed;
use std::cell::RefCell;
use std::rc::Rc;
use threadward_core::stages::admit::Limits;
use threadward_core::zoned::{ZoneTracker, ZoneUse};
use threadward_core::{
    Addr, AttemptEnd, CacheAnswer, CacheTransport, ClientRequest, Dispatch, Entry, FinalAnswer, Lifecycle,
    ListForm, Micros, Note, Outcome, Payload, Planner, Report, Settings,
};

const MS: Micros = 1_000;
const T0: Micros = 1_000_000 * MS;

struct Way(Rc<RefCell<Vec<Dispatch>>>);

impl CacheTransport for Way {
    fn send(&mut self, d: Dispatch) {
        self.0.borrow_mut().push(d);
    }
    fn withdraw(&mut self, _: u64, _: u16) -> bool {
        false
    }
    fn probe(&mut self, _: Addr) {}
}

struct World {
    planner: Planner,
    sent: Rc<RefCell<Vec<Dispatch>>>,
    now: Micros,
    next: u64,
}

fn cache(n: u8) -> Entry {
    Entry { addr: Addr { ip: [10, 0, 0, n], port: 1 }, ..Entry::default() }
}
fn parent(zone: u16, n: u8) -> Entry {
    let addr = Addr { ip: [10, zone as u8, 0, n], port: 1 };
    Entry { addr, zone, kind: 1, ..Entry::default() }
}

/// Two caches of the own zone 0, and two of a hub in zones 1 and 2 each, the second of zone 1 draining.
fn world() -> World {
    let class = |worth| nickelgate::Class {
        target_latency: 200 * MS,
        deadline: 4_000 * MS,
        value: worth,
        ..nickelgate::Class::default()
    };
    let s = Settings {
        classes: vec![class(2.0), class(1.0)],
        parent_kind: Some(1),
        cold_start_share: 0.2,
        cold_period: 10_000 * MS,
        parent_cold_start_share: 0.1,
        parent_cold_period: 10_000 * MS,
        overload_multiple: 2.0,
        parent_overload_multiple: 2.0,
        overload_tolerance: 2_000 * MS,
        cancel: true,
        parallel_attempts: true,
        all_notes_reported: true,
        max_attempts: 6,
        ..Settings::default()
    };
    let sent = Rc::default();
    let limits = Limits { max_open: 1000, max_bytes: 1 << 20, retry_after: 0 };
    let mut planner = Planner::new(s, 1, limits, Box::new(Way(Rc::clone(&sent))));
    planner.enable_zones(3);
    let drains = Entry { state: Lifecycle::Draining, ..parent(1, 2) };
    let all = vec![cache(1), cache(2), parent(1, 1), drains, parent(2, 1), parent(2, 2)];
    planner.update_members(T0, ListForm::Full, all);
    World { planner, sent, now: T0, next: 0 }
}

impl World {
    /// One request, answered after 10 ms where a note says how.
    fn ask(
        &mut self,
        class: u8,
        end: Option<(Outcome, Note)>,
    ) -> (Vec<Dispatch>, Rc<RefCell<Option<FinalAnswer>>>) {
        self.next += 1;
        let ask = ClientRequest {
            call_id: format!("{}", self.next).into(),
            class,
            object: self.next,
            due: self.now + 4_000 * MS,
            ..ClientRequest::default()
        };
        let got = Rc::new(RefCell::new(None));
        let last = Rc::clone(&got);
        self.planner.accept_request(self.now, 0, ask, Box::new(move |f| *last.borrow_mut() = Some(f)));
        let sent: Vec<Dispatch> = self.sent.borrow_mut().drain(..).collect();
        self.go(10 * MS);
        for d in &sent {
            let Some((outcome, note)) = end else { continue };
            let payload = (outcome == Outcome::Ok).then(Payload::default);
            let told = CacheAnswer { outcome, note, source_wait: 8 * MS, report: Report::default(), payload };
            self.planner.attempt_ended(self.now, d.request, d.attempt, AttemptEnd::Answered(told));
        }
        (sent, got)
    }
    fn go(&mut self, span: Micros) {
        self.now += span;
        self.planner.run_timers(self.now);
    }
    /// Where a number of requests go, and fill from: attempts by zone.
    fn tried(&mut self, requests: usize) -> [usize; 3] {
        let mut by = [0; 3];
        for _ in 0..requests {
            for d in self.ask(0, Some((Outcome::Ok, Note::Filled))).0 {
                assert_ne!(d.source, Some(parent(1, 2).addr), "a member that drains");
                let of = |a: &Addr| usize::from(a.ip[1]);
                by[of(&d.member)] += 1;
                d.source.iter().for_each(|s| by[of(s)] += 1);
            }
        }
        by
    }
}

#[test]
fn a_zone_that_is_left_gets_nothing_and_what_drains_there_drains_when_it_is_back() {
    let mut w = world();
    let before = w.tried(200);
    assert!(before[1] > 30 && before[2] > 60, "{before:?}");
    w.planner.set_zone_uses(w.now, &[ZoneUse::Normal, ZoneUse::Unused, ZoneUse::Normal], 0);
    assert_eq!(w.tried(200)[1], 0, "sent to a zone that is left");
    w.planner.set_zone_uses(w.now, &[ZoneUse::Normal; 3], 0);
    // `tried` sees to it that the one that drains gets nothing.
    assert!(w.tried(200)[1] > 30, "nothing goes where the fleet is back");
}

#[test]
fn a_zone_in_part_starts_cold_one_that_few_try_does_not() {
    let mut w = world();
    let warm = w.tried(300)[1];
    w.planner.set_zone_uses(w.now, &[ZoneUse::Normal, ZoneUse::Unused, ZoneUse::Normal], 0);
    w.go(MS);
    w.planner.set_zone_uses(w.now, &[ZoneUse::Normal, ZoneUse::Ramping(0), ZoneUse::Normal], 0);
    let cold = w.tried(100)[1];
    assert!(cold * 3 * 2 < warm, "{cold} of 100 beside {warm} of 300: as if it were warm");
    // The fleet says so again and again: the way to warm goes on from where it began.
    for _ in 0..110 {
        w.go(100 * MS);
        w.planner.set_zone_uses(w.now, &[ZoneUse::Normal, ZoneUse::Ramping(1000), ZoneUse::Normal], 0);
    }
    let after = w.tried(300)[1];
    assert!(after * 3 > warm * 2, "{after} of {warm} after the cold time");
    let young = Entry { started_at: w.now, ..parent(1, 1) };
    w.planner.update_members(w.now, ListForm::Delta, vec![young]);
    w.planner.set_zone_uses(w.now, &[ZoneUse::Normal, ZoneUse::Trial, ZoneUse::Normal], 0);

    let tried = w.tried(100)[1];
    assert!(tried * 3 * 2 > warm, "{tried} of 100 beside {warm} of 300: one of few that try it");
}

#[test]
fn what_fits_nowhere_is_refused_of_least_worth_first() {
    let mut w = world();
    w.planner.set_zone_uses(w.now, &[ZoneUse::Normal; 3], 300);
    let mut refused = [0, 0];
    for k in 0..1000 {
        let class = k % 2;
        let got = w.ask(class as u8, Some((Outcome::Ok, Note::Hit))).1;
        refused[class] += usize::from(matches!(*got.borrow(), Some(FinalAnswer::Refused { .. })));
    }
    assert_eq!(refused[0], 0, "of the greater worth");
    assert!((280..=310).contains(&refused[1]), "{refused:?} of 1000 for three tenths");
}

/// A fill by way of a cache is sent and given up for silence after 300 ms; meanwhile another cache answers, or none. What
/// zones 0 and 1 look like then: tried and failed.
fn silence(other_answers: bool, given_up: bool) -> [(u16, u16); 2] {
    let s = world().planner.settings().clone();
    let mut z = ZoneTracker::new(s, 3);
    z.update_list(ListForm::Full, vec![cache(1), cache(2), parent(1, 1), parent(2, 1)]);
    let end = |request, member, outcome, elapsed| Completed {
        request,
        attempt: 0,
        member,
        outcome,
        elapsed,
        request_done: false,
        note: Note::None,
        source_wait: 0,
        report: Report::default(),
    };
    z.attempt_sent(T0, (1, 0), 0, cache(1).addr, parent(1, 1).addr);
    if other_answers {
        z.attempt_sent(T0, (2, 0), 0, cache(2).addr, parent(2, 1).addr);
        z.attempt_ended(T0 + 20 * MS, &end(2, cache(2).addr, Outcome::Ok, 20 * MS));
    }
    if given_up {
        z.attempt_ended(T0 + 300 * MS, &end(1, cache(1).addr, Outcome::Cancelled, 300 * MS));
    }
    let seen = z.zone_observations(T0 + if given_up { 300 } else { 900 } * MS);
    [0, 1].map(|n| seen.iter().find(|s| s.zone == n).map_or((0, 0), |s| (s.attempts, s.failed)))
}

#[test]
fn the_silence_of_a_fill_is_held_against_its_source() {
    for given_up in [false, true] {
        assert_eq!(silence(true, given_up), [(1, 0), (1, 1)], "the caches answer, the source does not");
        assert_eq!(silence(false, given_up), [(1, 1), (0, 0)], "nobody answers, so the cache asked");
    }
}
