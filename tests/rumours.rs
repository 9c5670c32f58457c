//! Suspicions of other routers. Without them every action is as it was before they were introduced; with them
//! a skip needs one own failure, and never none.
mod common;
use common::*;
use nickelgate::*;

/// An xorshift generator.
struct Random(u64);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % n
    }
}

/// Runs a long sequence of events drawn from a seed. Returns a digest (FNV-1a) of all actions in order and
/// their number. The digest is over the debug output, so the names of actions and their fields count.
fn recorded(seed: u64) -> (u64, usize) {
    let mut b = Bench::new(settings(), fleet());
    let mut random = Random(seed);
    let (mut digest, mut count) = (0xcbf2_9ce4_8422_2325u64, 0usize);
    let mut open: Vec<(Micros, Completed)> = Vec::new();
    let mut timers: Vec<(Micros, u32)> = Vec::new();
    let mut attempts = std::collections::BTreeMap::<u64, u16>::new();
    for id in 1..6000u64 {
        b.now += 1 + random.below(12_000);
        let mut events = Vec::new();
        timers.retain(|t| t.0 > b.now || (events.push(Event::Timer(t.1)), false).1);
        open.retain(|c| c.0 > b.now || (events.push(Event::Completed(c.1)), false).1);
        let class = random.below(3) as u8;
        let due = b.now + settings().classes[usize::from(class)].deadline;
        let object = random.below(400) * random.below(3);
        events.push(Event::Request(Request {
            id,
            class,
            object,
            expires_at: due,
            write: class == 2,
            ..Request::default()
        }));
        if random.below(300) == 0 {
            let since = if random.below(2) == 0 { 0 } else { b.now };
            let e = if random.below(2) == 0 {
                cache(1 + random.below(3) as u8)
            } else {
                parent(100 + random.below(2) as u8)
            };
            events.push(Event::Members { form: ListForm::Delta, entries: vec![common::since(e, since)] });
        }
        if random.below(100) == 0 {
            events.push(Event::Purged { ago: random.below(90) * MS, object: Some(object), group: 0 });
        }
        // One parent hangs in the middle third of the run, one cache resets connections in the last.
        let (hung, broken) = ((2000..4000).contains(&id), id > 4000);
        for event in events {
            for a in b.event(event) {
                count += 1;
                // `send_by` was added after the digests were recorded; `keyed_window.rs` checks it action by
                // action.
                let plain = if let Action::Get(g) = a { Action::Get(Get { send_by: 0, ..g }) } else { a };
                for byte in format!("{plain:?}").replace(", send_by: 0", "").bytes() {
                    digest = (digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
                }
                match a {
                    Action::Wake { token, after } => timers.push((b.now + u64::from(after), token)),
                    Action::Get(g) => {
                        let n = attempts.entry(g.request).or_insert(0);
                        let miss = random.below(3) == 0 && g.source != g.member;
                        let elapsed = (20 + random.below(120) + if miss { 90 } else { 0 }) * MS;
                        let outcome = match random.below(40) {
                            0 => Outcome::Refused,
                            1 => Outcome::Error,
                            2..20 if broken && g.member == addr(2) => Outcome::Reset,
                            _ => Outcome::Ok,
                        };
                        let never = hung && miss && g.source == addr(100);
                        let note = match outcome {
                            Outcome::Ok if miss => Note::Filled,
                            Outcome::Ok => Note::Hit,
                            _ => Note::None,
                        };
                        let wait = if never { 5 * S } else { elapsed };
                        let outcome = if never { Outcome::Timeout } else { outcome };
                        let c = Completed {
                            request: g.request,
                            attempt: *n,
                            member: g.member,
                            outcome,
                            elapsed: wait,
                            request_done: false,
                            note,
                            source_wait: 0,
                            report: Report::default(),
                        };
                        *n += 1;
                        open.push((b.now + wait, c));
                    }
                    Action::Revoke { request, attempt } => {
                        for (at, c) in &mut open {
                            if (c.request, c.attempt) == (request, attempt) && c.outcome != Outcome::Ok {
                                (*at, c.outcome, c.elapsed) = (b.now, Outcome::Cancelled, 1);
                            }
                        }
                    }
                    _ => {}
                }
            }
        }
    }
    (digest, count)
}

/// The digests were recorded from the module before it had suspicions, and recorded again where other
/// decisions changed since: the limits on sources that follow the last second; the last warm cache, which
/// keeps a third; cold budgets that follow what was delivered (with the demand counted as before, the older
/// digests hold).
#[test]
fn without_suspicions_every_action_is_as_before() {
    assert_eq!(
        (1..=3).map(recorded).collect::<Vec<_>>(),
        vec![(12909870616102135390, 15945), (9758281117545208941, 15336), (8124257544560514650, 14790)]
    );
}

const SUSPECTED_PARENT: u8 = 100;

/// A list with only one cache: its other answers then show that it is not the member that hangs.
fn members() -> Vec<Entry> {
    vec![cache(1), parent(SUSPECTED_PARENT), parent(101), origin()]
}

fn suspect(b: &mut Bench, valid_for: Micros) -> Vec<Action> {
    b.event(Event::Suspected { member: addr(SUSPECTED_PARENT), incarnation: 0, valid_for })
}

fn health(b: &Bench) -> MemberHealth {
    b.r.member_health().find(|s| s.member == addr(SUSPECTED_PARENT)).unwrap()
}

/// Lets one fill from the suspected parent outlast its timeout.
fn silent_fill(b: &mut Bench, object: &mut u64) {
    for _ in 0..2000 {
        *object += 1;
        b.now += 5 * MS;
        let (id, out) = b.ask(0, *object);
        let (mut get, mut out, mut n) = (gets(&out)[0], out, 0);
        if get.source == get.member {
            // Fills from the parent are limited, so the cache is asked first for what it holds.
            out = b.end(get, 0, Outcome::Miss, Note::None);
            (get, n) = (gets(&out)[0], 1);
        }
        if get.source != addr(SUSPECTED_PARENT) {
            b.end(get, n, Outcome::Ok, Note::Filled);
            continue;
        }
        let (token, after) = *wakes(&out).first().unwrap();
        // Another request shows in the meantime that the cache itself answers.
        b.now += u64::from(after) / 2;
        let (_, other) = b.ask(0, *object + 1_000_000);
        let near = gets(&other)[0];
        b.end(Get { member: get.member, ..near }, 0, Outcome::Ok, Note::Hit);
        b.now += u64::from(after) / 2 + 1;
        b.event(Event::Timer(token));
        b.event(Event::Expired(id));
        b.end(get, n, Outcome::Cancelled, Note::None);
        return;
    }
    panic!("the parent is never asked: {:?}", b.r.member_health().collect::<Vec<_>>());
}

/// Returns after how many silent fills the parent is skipped, with a suspicion of this validity before each.
fn strikes(suspected_for: Option<Micros>) -> u32 {
    let mut b = Bench::new(settings(), members());
    let mut object = 0;
    for n in 0..20 {
        if health(&b).skipped {
            return n;
        }
        if let Some(valid_for) = suspected_for {
            suspect(&mut b, valid_for);
            assert!(!health(&b).skipped, "a suspicion alone led to a skip");
        }
        silent_fill(&mut b, &mut object);
    }
    panic!("never skipped");
}

#[test]
fn a_suspicion_lowers_the_number_of_own_failures_that_a_skip_needs() {
    assert_eq!(strikes(None), 3);
    assert_eq!(strikes(Some(0)), 3, "one that was taken back counts for nothing");
    assert_eq!(strikes(Some(10 * S)), 1);
}

#[test]
fn a_suspicion_without_own_failures_changes_no_action_and_ends_with_an_own_good_answer() {
    let (mut a, mut b) = (Bench::new(settings(), members()), Bench::new(settings(), members()));
    assert!(suspect(&mut b, 10 * S).is_empty());
    for object in 0..200 {
        (a.now, b.now) = (a.now + 20 * MS, b.now + 20 * MS);
        assert_eq!(a.served(0, object), b.served(0, object));
    }
    let (_, out) = b.ask(0, 5000);
    let mut get = gets(&out)[0];
    while get.source != addr(SUSPECTED_PARENT) {
        assert!(b.now < T0 + 100 * S);
        let (_, out) = b.ask(0, 5000 + b.now);
        get = gets(&out)[0];
        b.now += 1;
    }
    b.end(get, 0, Outcome::Ok, Note::Filled);
    assert_eq!(health(&b).last_good_at, b.now);
    let mut object = 9000;
    silent_fill(&mut b, &mut object);
    assert!(!health(&b).skipped, "an own good answer has to outrank the suspicion");
}

#[test]
fn a_suspicion_of_a_former_incarnation_or_an_unknown_member_is_ignored() {
    let mut b = Bench::new(settings(), members());
    b.event(Event::Suspected { member: addr(SUSPECTED_PARENT), incarnation: 77, valid_for: 10 * S });
    b.event(Event::Suspected { member: addr(9), incarnation: 0, valid_for: 10 * S });
    let mut object = 0;
    silent_fill(&mut b, &mut object);
    assert!(!health(&b).skipped);
    assert_eq!(
        (health(&b).strikes, health(&b).last_failure, health(&b).suspicion_skips),
        (1, Some(Outcome::Timeout), 0)
    );
    // A suspicion that comes after the failure counts with it.
    suspect(&mut b, 10 * S);
    assert!(health(&b).skipped);
    assert_eq!(health(&b).suspicion_skips, 1);
}
