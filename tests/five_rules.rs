//! The five rules that the router guarantees, at their edges: one final answer for each request, no effect
//! twice, drains, budgets of cold members, purges.
mod common;
use common::*;
use nickelgate::*;

// ---- 1: no request is lost ----

#[test]
fn every_request_gets_one_final_answer_before_it_is_due() {
    let mut b = Bench::new(settings(), fleet());
    let (id, out) = b.ask(0, 1);
    let (token, after) = wakes(&out).into_iter().max_by_key(|w| w.1).expect("a deadline timer");
    assert!(u64::from(after) < 6 * S && u64::from(after) > 5_900 * MS);
    b.now += u64::from(after);
    let end = b.event(Event::Timer(token));
    assert_eq!(finals(&end), 1);
    assert!(end.contains(&Action::Revoke { request: id, attempt: 0 }), "nothing is left running");
    let late = b.end(gets(&out)[0], 0, Outcome::Timeout, Note::None);
    assert!(late.is_empty(), "a late outcome leads to no action");
    assert!(b.event(Event::Timer(token)).is_empty());
}

#[test]
fn a_timeout_at_the_deadline_is_answered_at_once() {
    let mut b = Bench::new(settings(), fleet());
    let (_, out) = b.ask(1, 1);
    b.now += 2500 * MS;
    let end = b.end(gets(&out)[0], 0, Outcome::Timeout, Note::None);
    assert_eq!((finals(&end), gets(&end).len()), (1, 0));
}

#[test]
fn a_client_that_left_early_gets_no_answer_and_nothing_more_is_sent() {
    let mut b = Bench::new(settings(), fleet());
    let (id, out) = b.ask(0, 1);
    let gone = b.event(Event::Expired(id));
    assert_eq!((finals(&gone), gets(&gone).len()), (0, 0));
    assert!(b.end(gets(&out)[0], 0, Outcome::Reset, Note::None).is_empty());
    for (token, _) in wakes(&out) {
        assert!(b.event(Event::Timer(token)).is_empty());
    }
    assert!(b.event(Event::Expired(id)).is_empty(), "an unknown request is ignored");
}

#[test]
fn a_request_that_is_already_due_is_answered_not_sent() {
    let mut b = Bench::new(settings(), fleet());
    let req = Request { object: 1, expires_at: b.now + MS, ..Request::default() };
    let (_, out) = b.ask_with(req);
    assert_eq!((finals(&out), gets(&out).len()), (1, 0));
}

// ---- 2: no effect happens twice ----

/// A router whose writes have this group and effect, with three caches in different cells.
fn router_with_writes(group: DedupGroup, effect: Effect) -> Bench {
    let mut s = settings();
    s.direct = false;
    (s.classes[2].dedup_group, s.classes[2].effect) = (group, effect);
    let mut list = fleet();
    (list[0].cell, list[1].cell, list[2].cell) = (1, 2, 3);
    Bench::new(s, list)
}

#[test]
fn a_keyed_request_is_repeated_only_within_its_window() {
    let mut b = Bench::new(settings(), fleet());
    let (_, out) = b.ask(2, 1);
    b.now += 500 * MS;
    let second = b.end(gets(&out)[0], 0, Outcome::Reset, Note::None);
    assert_eq!(gets(&second).len(), 1, "inside the window a repeat is dropped by the group");
    b.now += 1600 * MS;
    let third = b.end(gets(&second)[0], 1, Outcome::Reset, Note::None);
    assert!(gets(&third).is_empty(), "past the window it may run twice");
    assert_eq!(finals(&third), 1);
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_cell_and_is_failed_not_declined() {
    let mut b = router_with_writes(DedupGroup::Cell, Effect::Dedup);
    let (id, out) = b.ask(2, 1);
    let first = gets(&out)[0];
    let next = b.end(first, 0, Outcome::Error, Note::None);
    assert!(gets(&next).iter().all(|g| g.member == first.member), "no other cell knows the key");
    assert!(next.contains(&Action::Fail(id)) || !gets(&next).is_empty());
    assert!(!next.iter().any(|a| matches!(a, Action::Decline { .. })));
}

#[test]
fn an_unsafe_request_is_repeated_only_after_proof_that_it_never_ran() {
    for (outcome, again) in [
        (Outcome::ConnectFailed, true),
        (Outcome::Refused, true),
        (Outcome::Reset, false),
        (Outcome::Error, false),
        (Outcome::Timeout, false),
        (Outcome::Cancelled, false),
    ] {
        let mut b = router_with_writes(DedupGroup::All, Effect::NotRetryable);
        let (id, out) = b.ask(2, 1);
        let next = b.end(gets(&out)[0], 0, outcome, Note::None);
        assert_eq!(!gets(&next).is_empty(), again, "{outcome:?}");
        assert_eq!(next.contains(&Action::Fail(id)), !again, "{outcome:?}");
    }
}

#[test]
fn no_second_attempt_while_one_is_in_flight_where_that_is_not_allowed() {
    let mut b = Bench::new(Settings { parallel_attempts: false, ..settings() }, fleet());
    let (id, out) = b.ask(0, 1);
    let mut sent = gets(&out).len();
    let check = wakes(&out).into_iter().min_by_key(|w| w.1).expect("a check");
    b.now += u64::from(check.1);
    let late = b.event(Event::Timer(check.0));
    sent += gets(&late).len();
    assert_eq!(sent, 1);
    assert!(late.contains(&Action::Revoke { request: id, attempt: 0 }), "withdrawn first");
    let next = b.end(gets(&out)[0], 0, Outcome::Cancelled, Note::None);
    assert_eq!(gets(&next).len(), 1);
    assert_ne!(gets(&next)[0].member, gets(&out)[0].member);
}

// ---- 3: drains are kept ----

#[test]
fn nothing_new_goes_to_or_is_filled_from_a_draining_or_gone_member() {
    for how in [Lifecycle::Draining, Lifecycle::Gone] {
        let mut b = Bench::new(settings(), fleet());
        b.list(ListForm::Delta, vec![state(cache(1), how), state(parent(100), how), state(origin(), how)]);
        // A write is served or filled by the origin, unless that drains.
        let out = b.ask(2, 7).1;
        assert!(gets(&out).iter().all(|g| ![g.member, g.source].contains(&origin().addr)), "{out:?}");
        for o in 0..200 {
            b.now += 100 * MS;
            let g = b.served(0, o).expect("others serve");
            assert!(g.member != addr(1) && g.source != addr(100));
        }
    }
}

#[test]
fn a_member_missing_from_a_whole_list_is_gone_also_for_retries() {
    let mut b = Bench::new(settings(), fleet());
    let outs: Vec<_> = (0..6).map(|o| b.ask(0, o).1).collect();
    let left = vec![cache(2), parent(101), origin()];
    b.list(ListForm::Full, left);
    for out in outs {
        let next = b.end(gets(&out)[0], 0, Outcome::Reset, Note::None);
        let removed = [addr(1), addr(3), addr(100)];
        assert!(gets(&next).iter().all(|g| !removed.contains(&g.member) && !removed.contains(&g.source)));
    }
}

#[test]
fn a_miss_does_not_come_back_for_a_fill_to_a_cache_that_drains_meanwhile() {
    let mut b = Bench::new(settings(), fleet());
    let (_, out) = b.ask(0, 5);
    let first = gets(&out)[0];
    b.list(ListForm::Delta, vec![state(cache(first.member.ip[3]), Lifecycle::Draining)]);
    let next = b.end(Get { source: first.member, ..first }, 0, Outcome::Miss, Note::None);
    assert!(gets(&next).iter().all(|g| g.member != first.member || g.source != first.source));
}

#[test]
fn a_failed_call_leaves_the_list_as_it_was() {
    let mut b = Bench::new(settings(), fleet());
    b.list(ListForm::Failed, vec![]);
    assert!(b.served(0, 1).is_some());
}

// ---- 4: no cold member is overloaded ----

/// Returns the most work that was sent in any window of `span`, in seconds of sending time.
fn worst_window(sent: &[(Micros, f64)], span: Micros) -> f64 {
    let sum = |i: usize| -> f64 {
        sent[i..].iter().take_while(|(t, _)| *t < sent[i].0 + span).map(|(_, w)| w).sum()
    };
    (0..sent.len()).map(sum).fold(0.0, f64::max)
}

/// Sends 20 requests a second for videos of 300 ms (a third of what three caches of weight 6 carry), all
/// objects equally often. Returns when work went to `to`, also as a source where `as_source` is set, and how
/// much.
fn drive(b: &mut Bench, seconds: u64, to: Addr, as_source: bool) -> Vec<(Micros, f64)> {
    let mut sent = Vec::new();
    for i in 0..seconds * 20 {
        b.now += 50 * MS;
        let due = b.now + 6 * S;
        let (_, out) =
            b.ask_with(Request { object: i % 500, expires_at: due, size_kb: 1500.0, ..Request::default() });
        for g in gets(&out) {
            if (g.member == to) || (as_source && g.source == to) {
                sent.push((b.now, 0.3));
            }
            b.end(g, 0, Outcome::Ok, if as_source { Note::Filled } else { Note::Hit });
        }
    }
    sent
}

#[test]
fn a_cold_cache_is_sent_no_more_than_its_budget_in_any_window() {
    let mut b = Bench::new(settings(), fleet());
    drive(&mut b, 10, addr(1), false);
    b.list(ListForm::Delta, vec![since(cache(1), b.now)]);
    let early = drive(&mut b, 2, addr(1), false);
    // 2 x the cold share after two seconds x 6 transfers x 2 s.
    assert!(worst_window(&early, 2 * S) <= 2.0 * 0.31 * 6.0 * 2.0);
    let later = drive(&mut b, 16, addr(1), false);
    assert!(later.len() > 20, "its load rises gradually");
    let done = drive(&mut b, 5, addr(1), false);
    assert!(done.len() > 20, "and warm in the end");
}

#[test]
fn hot_small_parts_count_as_much_as_the_rule_counts_them() {
    // The cold budget was charged the size of a small part, while the rule counts the mean of its class.
    let mut b = Bench::new(Settings { overload_multiple: 1.0, ..settings() }, fleet());
    drive(&mut b, 10, addr(1), false);
    b.list(
        ListForm::Delta,
        vec![since(cache(1), b.now), state(cache(2), Lifecycle::Gone), state(cache(3), Lifecycle::Gone)],
    );
    let mut sent = Vec::new();
    for _ in 0..200 {
        b.now += 10 * MS;
        let due = b.now + 6 * S;
        let (_, out) =
            b.ask_with(Request { object: 1, expires_at: due, size_kb: 10.0, ..Request::default() });
        for g in gets(&out).into_iter().filter(|g| g.member == addr(1)) {
            sent.push((b.now, 0.25));
            b.end(g, 0, Outcome::Ok, Note::Hit);
        }
    }
    assert!(worst_window(&sent, 2 * S) <= 0.31 * 6.0 * 2.0, "{} attempts", sent.len());
}

#[test]
fn fills_count_at_a_cold_parent() {
    let mut b = Bench::new(Settings { direct: false, ..settings() }, fleet());
    drive(&mut b, 10, addr(100), true);
    b.list(ListForm::Delta, vec![since(parent(100), b.now)]);
    let sent = drive(&mut b, 2, addr(100), true);
    assert!(worst_window(&sent, 2 * S) <= 2.0 * 0.18 * 12.0 * 2.0);
    assert!(!drive(&mut b, 20, addr(100), true).is_empty(), "its load rises gradually");
}

/// Returns the work that all routers together send to one cold parent as fills in the worst 2 s, relative to
/// what the rule allows at its age, less one piece of work for chance. Each router gets its part of 200
/// videos a second of 300 ms, which all miss, for `calm` seconds; then the first parents restart, and half a
/// second later all routers send a request at once.
fn sum_over_routers(routers: usize, weights: WeightSource, calm: u64, restarted: u8) -> f64 {
    let parents: Vec<Entry> = (100..104).map(parent).collect();
    let weight = if weights == WeightSource::Off { 0.0 } else { 15.0 };
    let list: Vec<Entry> = [cache(1), cache(2), cache(3), origin()]
        .into_iter()
        .chain(parents)
        .map(|e| Entry { weight: if e.kind == 2 { weight } else { 200.0 }, ..e })
        .collect();
    let s = Settings {
        direct: false,
        weight_source: weights,
        routers_by_zone: vec![0, 0, 0, routers as u32],
        transfer_kb_per_s: 0.0,
        ..settings()
    };
    let mut fleet: Vec<Bench> = (0..routers)
        .map(|i| {
            let mut b = Bench::new(s.clone(), vec![]);
            b.r = Router::new(s.clone(), i as u64);
            b
        })
        .collect();
    let mut cold = list.clone();
    cold.iter_mut()
        .filter(|e| e.kind == 2 && e.addr.ip[3] < 100 + restarted)
        .for_each(|e| e.started_at = T0 + calm * S);
    for b in &mut fleet {
        b.list(ListForm::Cached, if calm == 0 { cold.clone() } else { list.clone() });
    }
    let mut sent = Vec::new();
    let mut one = |b: &mut Bench, now: Micros, object: u64| {
        b.now = now;
        for g in gets(&b.ask(0, object).1) {
            if g.source == addr(100) && now >= T0 + calm * S {
                sent.push((now - T0 - calm * S, 0.3));
            }
            b.end_after(300 * MS, g, 0, Outcome::Ok, Note::Filled);
        }
    };
    for i in 0..(calm + 14) * 200 {
        let now = T0 + i * 5 * MS;
        if i == calm * 200 && calm > 0 {
            fleet.iter_mut().for_each(|b| drop(b.list(ListForm::Delta, cold.clone())));
        }
        let at = (i as usize * 7) % routers;
        one(&mut fleet[at], now, i);
        if i == calm * 200 + 100 {
            fleet.iter_mut().enumerate().for_each(|(k, b)| one(b, now, 1_000_000 + k as u64));
        }
    }
    let allowed = |age: Micros| 2.0 * (0.08 + 0.92 * age as f64 / (20.0 * S as f64)) * 15.0 * 2.0;
    let over = |i: usize| {
        let window = sent[i..].iter().take_while(|(t, _)| *t < sent[i].0 + 2 * S);
        (window.map(|(_, w)| w).sum::<f64>() - 0.3) / allowed(sent[i].0)
    };
    (0..sent.len()).map(over).fold(0.0, f64::max)
}

#[test]
fn any_number_of_routers_together_does_not_overload_a_cold_parent() {
    // Each of 155 routers let one piece of work through on credit, which was 4 times what the cold parent
    // could bear.
    for routers in [2, 50, 250] {
        for (weights, calm) in [(WeightSource::Off, 20), (WeightSource::Nominal, 20), (WeightSource::Off, 0)]
        {
            let worst = sum_over_routers(routers, weights, calm, 1);
            assert!(worst <= 1.0, "{routers} routers, {weights:?}, {calm} s: {worst:.2} of the rule");
            assert!(
                worst > 0.02 || calm == 0,
                "{routers} routers, {weights:?}: the cold parent gets nothing"
            );
        }
    }
}

#[test]
fn most_parents_restarting_at_once_are_not_overloaded() {
    // Three of four parents come back cold at the same moment; the remaining one takes what it can.
    for routers in [2, 50, 250] {
        let worst = sum_over_routers(routers, WeightSource::Off, 20, 3);
        assert!(worst <= 1.0, "{routers} routers: {worst:.2} of the rule");
    }
}

#[test]
fn a_router_that_restarts_while_members_are_cold_sends_no_burst() {
    let list: Vec<Entry> = fleet().into_iter().map(|e| if e.kind == 0 { since(e, T0) } else { e }).collect();
    let mut b = Bench::new(settings(), list);
    let sent = drive(&mut b, 1, addr(1), false);
    assert!(sent.len() <= 6, "{} attempts in the first second", sent.len());
}

#[test]
fn refused_requests_that_come_again_do_not_raise_the_cold_budget() {
    // All caches of a location came back cold, and the budget grew with every retry of the clients.
    let cold: Vec<Entry> = fleet().into_iter().map(|e| if e.kind == 0 { since(e, T0) } else { e }).collect();
    let count = |repeats: u64| {
        let s = Settings { direct: false, weight_source: WeightSource::Off, ..settings() };
        let mut b = Bench::new(s, cold.clone());
        let mut n = 0;
        for i in 0..100 {
            for _ in 0..=repeats {
                b.now += 10 * MS;
                let (_, out) = b.ask(0, 1_000 + i);
                n += gets(&out).len();
                for g in gets(&out) {
                    b.end(g, 0, Outcome::Refused, Note::FillSlotsFull);
                }
            }
            b.now += 100 * MS - (repeats + 1) * 10 * MS;
        }
        n
    };
    let (plain, storm) = (count(0), count(3));
    assert!(storm <= plain + plain / 3 + 2, "{plain} attempts became {storm}");
}

// ---- 5: purges are kept ----

#[test]
fn copies_from_before_a_purge_are_not_asked_for() {
    for object in [Some(7), None] {
        let mut b = Bench::new(settings(), fleet());
        b.event(Event::Purged { ago: 200 * MS, object, group: 4 });
        let ask = |b: &mut Bench, class: u8, object: u64, group: u16| {
            let due = b.now + 2 * S;
            let (_, out) =
                b.ask_with(Request { class, object, group, expires_at: due, ..Request::default() });
            let g = gets(&out)[0];
            b.end(g, 0, Outcome::Ok, Note::Hit);
            u64::from(g.age)
        };
        let age = ask(&mut b, 0, 7, 4);
        assert!(age > 0 && age < 200 * MS, "younger than the purge");
        assert_eq!(ask(&mut b, 0, 8, 5), 0, "others are not touched");
        b.now += 3 * S;
        let age = ask(&mut b, 1, 7, 4);
        assert!(age > 3 * S && age < 3200 * MS);
        b.now += 6 * S;
        assert_eq!(ask(&mut b, 0, 7, 4), 0, "forgotten when no old copy is left");
    }
}

#[test]
fn an_age_just_after_a_purge_is_never_zero() {
    let mut b = Bench::new(settings(), fleet());
    b.event(Event::Purged { ago: 0, object: Some(7), group: 0 });
    let (_, out) = b.ask(0, 7);
    assert_eq!(gets(&out)[0].age, 1, "0 would mean any");
}

#[test]
fn purges_reported_again_after_a_restart_count_from_their_own_time() {
    let mut b = Bench::new(settings(), fleet());
    b.event(Event::Purged { ago: 5 * S, object: Some(7), group: 0 });
    b.event(Event::Purged { ago: 2 * S, object: Some(7), group: 0 });
    b.event(Event::Purged { ago: 4 * S, object: Some(7), group: 0 });
    let age = u64::from(gets(&b.ask(0, 7).1)[0].age);
    assert!(age < 2 * S && age > 1900 * MS, "the latest purge counts");
}

#[test]
fn a_purge_never_extends_the_fresh_time() {
    let mut s = settings();
    s.classes[1].fresh_for = S;
    let mut b = Bench::new(s, fleet());
    b.event(Event::Purged { ago: 3 * S, object: Some(7), group: 0 });
    assert_eq!(u64::from(gets(&b.ask(1, 7).1)[0].age), S);
}
