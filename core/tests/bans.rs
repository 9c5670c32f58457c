//! What the staff took out holds whatever the bulletin says: a property over random orders of calls, events, restarts
//! and second processes against a plain model, and the judgement of two processes.
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use threadward_core::bans::{Bans, Listed, Refused};
use threadward_core::shift::{ready, view, Facts, Phase, Sign};
use threadward_core::{Addr, Entry, Lifecycle, ListForm, Micros, UnixTime};

const ORIGIN: u8 = 2;
const IDS: u8 = 5;

/// The start that counts: the one told, or the call back of one that was out since before it.
fn counts_from(l: &Listed) -> Micros {
    l.called_back.unwrap_or(l.started).micros()
}

fn at(microseconds: Micros) -> UnixTime {
    UnixTime::from_micros(microseconds)
}

fn listed(i: u8, state: Lifecycle, since: Micros) -> Listed {
    let kind = if i == 0 { ORIGIN } else { 0 };
    let addr = Addr { ip: [10, 0, 0, i], port: 1 };
    let entry = Entry { addr, kind, state, ..Entry::default() };
    let sock = ([127, 0, 0, 1], 5000 + u16::from(i)).into();
    Listed { id: format!("s-{i}"), sock, entry, started: UnixTime::from_micros(since), called_back: None }
}

#[derive(Clone, Debug)]
enum Step {
    Told(u8, Lifecycle, bool),
    Whole(Vec<u8>),
    Out(u8),
    Back(u8),
    /// The process is gone; another one is told the whole list anew and reads the calls that were kept.
    Anew,
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![Just(Lifecycle::Ready), Just(Lifecycle::Draining), Just(Lifecycle::Gone)];
    prop_oneof![
        3 => (0..IDS, state, any::<bool>()).prop_map(|(i, s, anew)| Step::Told(i, s, anew)),
        1 => proptest::collection::btree_set(0..IDS, 0..5).prop_map(|s| Step::Whole(s.into_iter().collect())),
        3 => (0..IDS + 1).prop_map(Step::Out),
        2 => (0..IDS + 1).prop_map(Step::Back),
        1 => Just(Step::Anew),
    ]
}

/// The plain model: the bulletin's last word, and whether and since when a server is out or was called back.
#[derive(Default)]
struct Model {
    told: BTreeMap<u8, Option<(Lifecycle, Micros)>>,
    out: BTreeMap<u8, Micros>,
    back: BTreeMap<u8, (Micros, Micros)>,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn what_is_out_stays_out_until_it_is_called_back(steps in proptest::collection::vec(step(), 1..60)) {
        let (mut bans, mut m) = (Bans::new(Some(ORIGIN)), Model::default());
        for (n, step) in steps.into_iter().enumerate() {
            let now = 1_000 + n as Micros * 10;
            match step {
                Step::Told(i, state, anew) => {
                    let old = m.told.get(&i).copied().flatten().map_or(0, |t| t.1);
                    let since = if anew { now - 5 } else { old };
                    m.told.insert(i, (state != Lifecycle::Gone).then_some((state, since)));
                    bans.hear(ListForm::Delta, &mut [listed(i, state, since)]);
                }
                Step::Whole(ids) => {
                    m.told.values_mut().for_each(|t| *t = None);
                    let mut all: Vec<Listed> = ids.iter().map(|i| listed(*i, Lifecycle::Ready, 0)).collect();
                    m.told.extend(ids.iter().map(|i| (*i, Some((Lifecycle::Ready, 0)))));
                    bans.hear(ListForm::Full, &mut all);
                }
                Step::Out(i) => {
                    let known = m.told.contains_key(&i) || m.out.contains_key(&i) || m.back.contains_key(&i);
                    let want = if known { Ok(!m.out.contains_key(&i)) } else { Err(Refused::Unknown) };
                    prop_assert_eq!(bans.disable(&format!("s-{i}"), at(now)), want);
                    if known {
                        m.out.entry(i).or_insert(now);
                        m.back.remove(&i);
                    }
                }
                Step::Back(i) => {
                    let known = m.told.contains_key(&i) || m.out.contains_key(&i) || m.back.contains_key(&i);
                    let want = if known { Ok(m.out.contains_key(&i)) } else { Err(Refused::Unknown) };
                    prop_assert_eq!(bans.enable(&format!("s-{i}"), at(now)), want);
                    if let Some(out) = m.out.remove(&i) {
                        m.back.insert(i, (out, now));
                    }
                }
                Step::Anew => {
                    let calls = bans.calls().clone();
                    bans = Bans::new(Some(ORIGIN));
                    m.told.retain(|_, t| t.is_some());
                    let all = m.told.iter().filter_map(|(i, t)| t.map(|(state, since)| listed(*i, state, since)));
                    bans.hear(ListForm::Cached, &mut all.collect::<Vec<_>>());
                    bans.adopt(calls);
                }
            }
            for i in 0..IDS {
                let holds = bans.holds(&format!("s-{i}")).map(|l| (l.entry.state, counts_from(&l)));
                let want = m.told.get(&i).copied().flatten().map(|(state, since)| {
                    let state = match (m.out.contains_key(&i), state) {
                        (true, _) if i == 0 => Lifecycle::Gone,
                        (true, Lifecycle::Ready) => Lifecycle::Draining,
                        (_, state) => state,
                    };
                    // Cold from the call back, unless a start after the ban was told.
                    let cold = m.back.get(&i).filter(|(out, _)| since <= *out).map(|(_, at)| *at);
                    (state, cold.unwrap_or(since))
                });
                prop_assert_eq!(holds, want, "s-{} after step {}", i, n);
            }
            prop_assert_eq!(bans.out(), m.out.len());
        }
    }
}

/// What the bulletin says of a server that is out comes out changed, and only that.
#[test]
fn the_bulletin_is_masked_on_its_way() {
    let mut bans = Bans::new(Some(ORIGIN));
    let mut all = [listed(1, Lifecycle::Ready, 0), listed(2, Lifecycle::Ready, 0)];
    bans.hear(ListForm::Full, &mut all);
    assert_eq!(bans.disable("s-1", at(50)), Ok(true));
    assert_eq!(bans.disable("s-1", at(60)), Ok(false), "the second call out changes nothing");
    bans.hear(ListForm::Full, &mut all);
    assert_eq!(all.clone().map(|l| l.entry.state), [Lifecycle::Draining, Lifecycle::Ready]);
    assert_eq!(bans.enable("s-1", at(90)), Ok(true), "one call back undoes both");
    assert_eq!(counts_from(&bans.holds("s-1").unwrap()), 90, "cold from the call back");
    bans.hear(ListForm::Delta, &mut [listed(1, Lifecycle::Ready, 70)]);
    assert_eq!(counts_from(&bans.holds("s-1").unwrap()), 70, "the start that the bulletin told");
}

/// Another server at the address of one that is out: that one is gone, and called back it must not displace the other.
#[test]
fn an_address_that_another_one_has_now() {
    let mut bans = Bans::new(None);
    bans.hear(ListForm::Full, &mut [listed(1, Lifecycle::Ready, 0)]);
    bans.disable("s-1", at(10)).unwrap();
    let other = Listed { id: "s-new".into(), ..listed(1, Lifecycle::Ready, 20) };
    bans.hear(ListForm::Delta, &mut [other]);
    bans.enable("s-1", at(30)).unwrap();
    assert_eq!(bans.holds("s-1"), None);
    assert_eq!(bans.holds("s-new").unwrap().entry.state, Lifecycle::Ready);
}

/// Calls back are forgotten once the server is warm, calls out never.
#[test]
fn calls_end() {
    let mut bans = Bans::new(None);
    bans.hear(ListForm::Full, &mut [listed(1, Lifecycle::Ready, 0), listed(2, Lifecycle::Ready, 0)]);
    bans.disable("s-1", at(10)).unwrap();
    bans.disable("s-2", at(10)).unwrap();
    bans.enable("s-1", at(20)).unwrap();
    bans.tidy(at(1_000), 981);
    assert_eq!(bans.calls().len(), 2);
    bans.tidy(at(1_002), 981);
    assert_eq!((bans.calls().len(), bans.is_out("s-2")), (1, true));
}

#[test]
fn only_a_process_that_is_ready_takes_over() {
    let sign = |started, phase, bans| Sign { rank: (started, 1), phase, bans };
    assert_eq!(view(&[]), Default::default());
    let v = view(&[sign(3, Phase::Leaving, 4), sign(9, Phase::Starting, 2)]);
    assert_eq!((v.others, v.relieved, v.bans), (2, false, Some(2)), "none that starts or ends takes over");
    assert!(view(&[sign(9, Phase::Starting, 0), sign(3, Phase::Ready, 0)]).relieved);
}

#[test]
fn readiness_needs_every_fact() {
    let all = Facts { ending: false, listed: true, adopted: true, followed: true, listening: true };
    assert_eq!(ready(all), Ok(()));
    for (facts, why) in [
        (Facts { ending: true, ..all }, "ending"),
        (Facts { listed: false, ..all }, "no list of cache servers yet"),
        (Facts { adopted: false, ..all }, "bans and what was learned not yet taken over"),
        (Facts { followed: false, ..all }, "bulletin not yet heard"),
        (Facts { listening: false, ..all }, "not yet listening"),
    ] {
        assert_eq!(ready(facts), Err(why));
    }
}
