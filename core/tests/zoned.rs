//! Zones in the planner: which are used, which come back cold, which requests are refused first, and which
//! member or source is blamed for silence.
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

struct RecordingTransport(Rc<RefCell<Vec<Dispatch>>>);

impl CacheTransport for RecordingTransport {
    fn send(&mut self, d: Dispatch) {
        self.0.borrow_mut().push(d);
    }
    fn withdraw(&mut self, _: u64, _: u16) -> bool {
        false
    }
    fn probe(&mut self, _: Addr) {}
}

struct Fixture {
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

/// Two caches in the planner's own zone 0, and two members of a parent in each of the zones 1 and 2. The
/// second parent member of zone 1 is draining.
fn fixture() -> Fixture {
    let class = |value| nickelgate::Class {
        target_latency: 200 * MS,
        deadline: 4_000 * MS,
        value,
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
    let mut planner = Planner::new(s, 1, limits, Box::new(RecordingTransport(Rc::clone(&sent))));
    planner.enable_zones(3);
    let drains = Entry { state: Lifecycle::Draining, ..parent(1, 2) };
    let all = vec![cache(1), cache(2), parent(1, 1), drains, parent(2, 1), parent(2, 2)];
    planner.update_members(T0, ListForm::Full, all);
    Fixture { planner, sent, now: T0, next: 0 }
}

impl Fixture {
    /// Sends one request, whose attempts end after 10 ms with `end` if it is given. Returns the attempts and
    /// the final answer.
    fn request(
        &mut self,
        class: u8,
        end: Option<(Outcome, Note)>,
    ) -> (Vec<Dispatch>, Rc<RefCell<Option<FinalAnswer>>>) {
        self.next += 1;
        let client_request = ClientRequest {
            call_id: format!("{}", self.next).into(),
            class,
            object: self.next,
            expires_at: self.now + 4_000 * MS,
            ..ClientRequest::default()
        };
        let got = Rc::new(RefCell::new(None));
        let last = Rc::clone(&got);
        self.planner.accept_request(
            self.now,
            0,
            client_request,
            Box::new(move |f| *last.borrow_mut() = Some(f)),
        );
        let sent: Vec<Dispatch> = self.sent.borrow_mut().drain(..).collect();
        self.advance(10 * MS);
        for d in &sent {
            let Some((outcome, note)) = end else { continue };
            let payload = (outcome == Outcome::Ok).then(Payload::default);
            let answer =
                CacheAnswer { outcome, note, source_wait: 8 * MS, report: Report::default(), payload };
            self.planner.attempt_ended(self.now, d.request, d.attempt, AttemptEnd::Answered(answer));
        }
        (sent, got)
    }
    fn advance(&mut self, span: Micros) {
        self.now += span;
        self.planner.run_timers(self.now);
    }
    /// Sends a number of requests and returns the attempts by zone, counting the members and the sources of
    /// fills.
    fn attempts_by_zone(&mut self, requests: usize) -> [usize; 3] {
        let mut by_zone = [0; 3];
        for _ in 0..requests {
            for d in self.request(0, Some((Outcome::Ok, Note::Filled))).0 {
                assert_ne!(d.source, Some(parent(1, 2).addr), "a draining member");
                let zone_of = |a: &Addr| usize::from(a.ip[1]);
                by_zone[zone_of(&d.member)] += 1;
                d.source.iter().for_each(|s| by_zone[zone_of(s)] += 1);
            }
        }
        by_zone
    }
}

/// Guards against requests or fills that still go to an unused zone, and against members that were draining
/// before and take requests again only because their zone is back in use.
#[test]
fn an_unused_zone_gets_nothing_and_its_draining_members_still_drain_afterwards() {
    let mut fixture = fixture();
    let before = fixture.attempts_by_zone(200);
    assert!(before[1] > 30 && before[2] > 60, "{before:?}");
    fixture.planner.set_zone_uses(fixture.now, &[ZoneUse::Normal, ZoneUse::Unused, ZoneUse::Normal], 0);
    assert_eq!(fixture.attempts_by_zone(200)[1], 0, "sent to an unused zone");
    fixture.planner.set_zone_uses(fixture.now, &[ZoneUse::Normal; 3], 0);
    // `attempts_by_zone` checks that the draining member gets nothing.
    assert!(fixture.attempts_by_zone(200)[1] > 30, "nothing is sent to a zone that is in use again");
}

/// Guards against a returning zone that is sent as much as a warm one, against a ramp that starts over each
/// time that the fleet repeats its value, and against a zone on trial that is sent only what a cold one can
/// carry.
#[test]
fn a_ramping_zone_starts_cold_and_a_zone_on_trial_does_not() {
    let mut fixture = fixture();
    let warm = fixture.attempts_by_zone(300)[1];
    fixture.planner.set_zone_uses(fixture.now, &[ZoneUse::Normal, ZoneUse::Unused, ZoneUse::Normal], 0);
    fixture.advance(MS);
    fixture.planner.set_zone_uses(fixture.now, &[ZoneUse::Normal, ZoneUse::Ramping(0), ZoneUse::Normal], 0);
    let cold = fixture.attempts_by_zone(100)[1];
    assert!(cold * 3 * 2 < warm, "{cold} of 100 compared with {warm} of 300: as if it were warm");
    // The fleet repeats its value; the ramp must go on from where it began.
    for _ in 0..110 {
        fixture.advance(100 * MS);
        fixture.planner.set_zone_uses(
            fixture.now,
            &[ZoneUse::Normal, ZoneUse::Ramping(1000), ZoneUse::Normal],
            0,
        );
    }
    let after = fixture.attempts_by_zone(300)[1];
    assert!(after * 3 > warm * 2, "{after} compared with {warm} after the cold period");
    let young = Entry { started_at: fixture.now, ..parent(1, 1) };
    fixture.planner.update_members(fixture.now, ListForm::Delta, vec![young]);
    fixture.planner.set_zone_uses(fixture.now, &[ZoneUse::Normal, ZoneUse::Trial, ZoneUse::Normal], 0);

    let tried = fixture.attempts_by_zone(100)[1];
    assert!(
        tried * 3 * 2 > warm,
        "{tried} of 100 compared with {warm} of 300: one of few proxies that try it"
    );
}

/// Guards against refusals that hit requests of greater value while there are others, or that miss the share.
#[test]
fn excess_requests_of_least_value_are_refused_first() {
    let mut fixture = fixture();
    fixture.planner.set_zone_uses(fixture.now, &[ZoneUse::Normal; 3], 300);
    let mut refused = [0, 0];
    for k in 0..1000 {
        let class = k % 2;
        let got = fixture.request(class as u8, Some((Outcome::Ok, Note::Hit))).1;
        refused[class] += usize::from(matches!(*got.borrow(), Some(FinalAnswer::Refused { .. })));
    }
    assert_eq!(refused[0], 0, "refused of the class of greater value");
    assert!((280..=310).contains(&refused[1]), "{refused:?} refused of 1000, for a share of three tenths");
}

/// Sends a fill through a cache, which is withdrawn because of silence after 300 ms if `given_up`. Meanwhile
/// another cache answers if `other_answers`. Returns the attempts and the failures counted for zones 0 and 1.
fn counts_after_silence(other_answers: bool, given_up: bool) -> [(u16, u16); 2] {
    let s = fixture().planner.settings().clone();
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
    let observed = z.zone_observations(T0 + if given_up { 300 } else { 900 } * MS);
    [0, 1].map(|n| observed.iter().find(|s| s.zone == n).map_or((0, 0), |s| (s.attempts, s.failed)))
}

/// Guards against a silent source whose failures are counted against the zone of the caches that wait for it.
#[test]
fn a_silent_fill_counts_as_a_failure_of_its_source() {
    for given_up in [false, true] {
        assert_eq!(
            counts_after_silence(true, given_up),
            [(1, 0), (1, 1)],
            "other caches answer, so the source is blamed"
        );
        assert_eq!(
            counts_after_silence(false, given_up),
            [(1, 1), (0, 0)],
            "no cache answers, so the cache that was asked is blamed"
        );
    }
}
