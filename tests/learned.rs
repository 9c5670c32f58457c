//! What one router has learned is taken over by the next, and nothing that cannot be is believed.
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

/// Asks for as many objects at once as fit, and ends what went out after this wait at this reported use.
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

/// A router that has seen crowded caches for a while.
fn old() -> Bench {
    let mut b = Bench::new(busy_settings(), members());
    for _ in 0..30 {
        round(&mut b, 200 * MS);
    }
    b.event(Event::Purged { ago: MS, object: Some(7), group: 0 });
    b
}

#[test]
fn the_next_router_goes_on_where_the_last_one_stood() {
    let mut a = old();
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

/// Figures that no router measures, members that are not listed or started anew, times that lie ahead: all left out.
#[test]
fn what_cannot_be_is_not_believed() {
    let a = old();
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
    assert_eq!(b.r.learned().purges, [(3, None, a.now)], "a purge that lies ahead counts from now");
}

/// What goes to a cold cache in two seconds, from one process and from two that share its traffic: together no more than one
/// alone may send.
#[test]
fn two_processes_keep_one_budget() {
    let sent = |others: usize| {
        let mut b = old();
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
