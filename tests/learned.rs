//! The next router restores what one router has learned, and rejects impossible figures.
mod common;
use common::*;
use nickelgate::*;

fn members() -> Vec<Entry> {
    vec![cache(1), cache(2), parent(100), origin()]
}

fn busy_settings() -> Settings {
    let columns = ReportColumns { cpu: Some(0), ..ReportColumns::default() };
    Settings { columns, ..settings() }
}

/// Requests 200 objects at once and ends the attempts after this wait, with a report of high usage. Returns
/// how many attempts were sent.
fn round(b: &mut Bench, wait: Micros) -> usize {
    b.now += S;
    let due = b.now + 2 * S;
    let ask = |o| Request { class: 0, object: o, expires_at: due, size_kb: 250.0, ..Request::default() };
    let out: Vec<Get> = (0..200).flat_map(|o| gets(&b.ask_with(ask(o)).1)).collect();
    for g in &out {
        b.event(Event::Completed(Completed {
            request: g.request,
            attempt: 0,
            member: g.member,
            outcome: Outcome::Ok,
            elapsed: wait,
            request_done: true,
            note: Note::Hit,
            source_wait: 0,
            report: Report { count: 1, values: [0.95, 0.0, 0.0, 0.0] },
        }));
    }
    out.len()
}

/// A router whose caches have been crowded for a while.
fn router_with_crowded_caches() -> Bench {
    let mut b = Bench::new(busy_settings(), members());
    for _ in 0..30 {
        round(&mut b, 200 * MS);
    }
    b.event(Event::Purged { ago: MS, object: Some(7), group: 0 });
    b
}

#[test]
fn the_next_router_continues_with_the_limits_of_the_last() {
    let mut a = router_with_crowded_caches();
    let learned = a.r.learned();
    let mut b = Bench::new(busy_settings(), members());
    b.now = a.now;
    let new = b.r.clone();
    b.r.restore_learned(a.now, &learned);
    let again = b.r.learned();
    assert_eq!(
        (&again.classes, again.demand[0], &again.purges),
        (&learned.classes, learned.demand[0], &learned.purges)
    );
    assert_eq!(again.members, learned.members);
    let admitted = [round(&mut a, 200 * MS), round(&mut b, 200 * MS)];
    b.r = new;
    let unlearned = round(&mut b, 200 * MS);
    assert_eq!(admitted[0], admitted[1]);
    assert!(
        unlearned > 3 * admitted[0],
        "{unlearned} by a router that learned nothing, {} else",
        admitted[0]
    );
}

/// Figures that no router can measure, members that have started anew and times in the future are left out.
#[test]
fn impossible_figures_are_not_restored() {
    let a = router_with_crowded_caches();
    let good = a.r.learned();
    for bad in [f64::NAN, f64::INFINITY, -1.0, 1e13] {
        let mut l = good.clone();
        l.classes.iter_mut().for_each(|c| (c.sending_time, c.miss_share) = (bad, bad));
        l.demand = [(bad, 0, bad); 2];
        l.members.iter_mut().for_each(|m| (m.mean_wait, m.limit) = (bad, Some(bad)));
        l.objects = vec![(1, bad)];
        l.link_load = bad;
        let mut b = Bench::new(busy_settings(), members());
        let before = b.r.learned();
        b.r.restore_learned(a.now, &l);
        let after = b.r.learned();
        assert_eq!(
            (after.classes, after.demand, after.link_load),
            (before.classes, before.demand, 0.0),
            "{bad}"
        );
        assert!(after.members.is_empty() && after.objects.is_empty(), "{bad}: {:?}", after.members);
    }
    let mut l = good;
    l.members.iter_mut().for_each(|m| (m.incarnation, m.last_sample_at) = (m.incarnation + 1, Micros::MAX));
    l.purges = vec![(3, None, Micros::MAX)];
    let mut b = Bench::new(busy_settings(), members());
    b.r.restore_learned(a.now, &l);
    assert!(b.r.learned().members.is_empty());
    assert_eq!(b.r.learned().purges, [(3, None, a.now)], "a purge in the future counts from now");
}

/// Counts what is sent to a cold cache in two seconds, by a single process and by one of two that share the
/// budget. Two together may send no more than one alone.
#[test]
fn two_processes_keep_one_budget() {
    let sent = |others: usize| {
        let mut b = router_with_crowded_caches();
        let cold = Entry { started_at: b.now, incarnation: b.now, ..cache(2) };
        b.list(ListForm::Delta, vec![cold]);
        b.r.set_sibling_processes(others);
        let mut n = 0;
        for _ in 0..200 {
            b.now += 10 * MS;
            for _ in 0..4 {
                let object = 1_000 + n as u64 * 7 + b.now;
                let due = b.now + 2 * S;
                let (_, out) =
                    b.ask_with(Request { object, expires_at: due, size_kb: 250.0, ..Request::default() });
                for g in gets(&out) {
                    n += usize::from(g.member == cold.addr);
                    b.end(g, 0, Outcome::Ok, Note::Hit);
                }
            }
        }
        n
    };
    let (alone, each) = (sent(0), sent(1));
    assert!(alone >= 8 && each > 0 && each * 2 <= alone + 2, "{alone} by one, {each} by each of two");
}
