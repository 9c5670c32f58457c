//! Settings and lists with parts missing, and events that refer to nothing known.
mod common;
use common::*;
use nickelgate::*;

#[test]
fn an_empty_list_declines_and_recovers_without_a_restart() {
    let mut b = Bench::new(settings(), vec![]);
    let (_, out) = b.ask(0, 1);
    assert_eq!((finals(&out), gets(&out).len()), (1, 0));
    let (_, out) = b.ask(2, 1);
    assert_eq!((finals(&out), gets(&out).len()), (1, 0));
    b.list(ListForm::Full, fleet());
    assert!(b.served(0, 1).is_some());
}

#[test]
fn without_parents_fills_come_from_the_origin() {
    let s = Settings { parent_kind: None, ..settings() };
    let mut b = Bench::new(s, vec![cache(1), cache(2), origin()]);
    assert_eq!(b.served(0, 3).expect("served").source, origin().addr);
}

#[test]
fn without_parents_and_origin_a_cache_serves_what_it_holds() {
    let s = Settings { parent_kind: None, origin_kind: None, ..settings() };
    let mut b = Bench::new(s, vec![cache(1)]);
    let get = b.served(0, 3).expect("served");
    assert_eq!((get.member, get.source), (addr(1), addr(1)));
}

#[test]
fn bare_settings_serve_and_end_every_request() {
    let mut b = Bench::new(Settings { zone: HOME, ..Settings::default() }, vec![cache(1)]);
    let (_, out) = b.ask(0, 1);
    assert_eq!(gets(&out).len() + finals(&out), 1);
    let (_, out) = b.ask(200, 1);
    assert_eq!(gets(&out).len() + finals(&out), 1);
}

#[test]
fn one_cache_is_tried_again_after_its_skip_time() {
    let mut b = Bench::new(Settings { direct: false, ..settings() }, vec![cache(1), parent(100), origin()]);
    let (_, out) = b.ask(0, 1);
    b.end(gets(&out)[0], 0, Outcome::ConnectFailed, Note::None);
    assert!(b.served(0, 2).is_some(), "the only member is the best remaining");
}

#[test]
fn events_for_unknown_requests_members_and_timers_are_ignored() {
    let mut b = Bench::new(settings(), fleet());
    let ghost = Get { request: 999, member: addr(77), ..Get::default() };
    assert!(b.end(ghost, 3, Outcome::Ok, Note::Hit).is_empty());
    assert!(b.event(Event::Timer(12345)).is_empty());
    assert!(b.event(Event::StreamStarted { request: 4, attempt: 0 }).is_empty());
    let probed = Event::Probed { member: addr(9), outcome: Outcome::Ok, report: Report::default() };
    assert!(b.event(probed).is_empty());
    assert!(b.event(Event::Peer { from: 1, payload: vec![1, 2] }).is_empty());
    let (_, out) = b.ask(0, 1);
    assert!(b.end(gets(&out)[0], 9, Outcome::Ok, Note::Hit).is_empty(), "an attempt never made");
    assert!(b.served(0, 1).is_some());
}

#[test]
fn list_changes_are_subscribed_to_where_that_is_needed() {
    let mut r = Router::new(Settings { list_on_request: true, ..settings() }, 1);
    let mut out = Vec::new();
    r.handle(T0, Event::Members { form: ListForm::Cached, entries: fleet() }, &mut out);
    assert!(out.contains(&Action::Track));
    out.clear();
    r.handle(T0 + S, Event::Members { form: ListForm::Failed, entries: vec![] }, &mut out);
    assert!(out.contains(&Action::Track), "and again after a failure");
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut b = Bench::new(settings(), fleet());
        let mut all = Vec::new();
        for o in 0..500 {
            b.now += 7 * MS;
            let (_, out) = b.ask((o % 3) as u8, o % 40);
            let outcome = if o % 9 == 0 { Outcome::Reset } else { Outcome::Ok };
            all.extend(gets(&out).into_iter().flat_map(|g| b.end(g, 0, outcome, Note::Hit)));
            all.extend(out);
        }
        all
    };
    assert_eq!(run(), run());
}
