//! What the staff took out holds whatever the bulletin says: a property over random orders of calls, events, restarts
//! and second processes against a plain model, and the judgement of two processes.
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use threadward_core::bans::{BanError, Bans, ListedServer};
use threadward_core::shift::{ready, summarize, Phase, ProcessStatus, ReadinessFacts};
use threadward_core::{Addr, Entry, Lifecycle, ListForm, Micros, UnixTime};

const ORIGIN: u8 = 2;
const IDS: u8 = 5;

/// The start that counts: the one told, or the call back of one that was out since before it.
fn counts_from(l: &ListedServer) -> Micros {
    l.lifted_at.unwrap_or(l.started_at).micros()
}

fn at(microseconds: Micros) -> UnixTime {
    UnixTime::from_micros(microseconds)
}

fn listed(i: u8, state: Lifecycle, since: Micros) -> ListedServer {
    let kind = if i == 0 { ORIGIN } else { 0 };
    let addr = Addr { ip: [10, 0, 0, i], port: 1 };
    let entry = Entry { addr, kind, state, ..Entry::default() };
    let socket_addr = ([127, 0, 0, 1], 5000 + u16::from(i)).into();
    ListedServer {
        id: format!("s-{i}"),
        socket_addr,
        entry,
        started_at: UnixTime::from_micros(since),
        lifted_at: None,
    }
}

#[derive(Clone, Debug)]
enum Step {
    CacheAnswer(u8, Lifecycle, bool),
    Whole(Vec<u8>),
    Out(u8),
    Back(u8),
    /// The process is gone; another one is told the whole list anew and reads the calls that were kept.
    Anew,
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![Just(Lifecycle::Ready), Just(Lifecycle::Draining), Just(Lifecycle::Gone)];
    prop_oneof![
        3 => (0..IDS, state, any::<bool>()).prop_map(|(i, s, anew)| Step::CacheAnswer(i, s, anew)),
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
                Step::CacheAnswer(i, state, anew) => {
                    let old = m.told.get(&i).copied().flatten().map_or(0, |t| t.1);
                    let since = if anew { now - 5 } else { old };
                    m.told.insert(i, (state != Lifecycle::Gone).then_some((state, since)));
                    bans.apply_list(ListForm::Delta, &mut [listed(i, state, since)]);
                }
                Step::Whole(ids) => {
                    m.told.values_mut().for_each(|t| *t = None);
                    let mut all: Vec<ListedServer> = ids.iter().map(|i| listed(*i, Lifecycle::Ready, 0)).collect();
                    m.told.extend(ids.iter().map(|i| (*i, Some((Lifecycle::Ready, 0)))));
                    bans.apply_list(ListForm::Full, &mut all);
                }
                Step::Out(i) => {
                    let known = m.told.contains_key(&i) || m.out.contains_key(&i) || m.back.contains_key(&i);
                    let want = if known { Ok(!m.out.contains_key(&i)) } else { Err(BanError::Unknown) };
                    prop_assert_eq!(bans.disable(&format!("s-{i}"), at(now)), want);
                    if known {
                        m.out.entry(i).or_insert(now);
                        m.back.remove(&i);
                    }
                }
                Step::Back(i) => {
                    let known = m.told.contains_key(&i) || m.out.contains_key(&i) || m.back.contains_key(&i);
                    let want = if known { Ok(m.out.contains_key(&i)) } else { Err(BanError::Unknown) };
                    prop_assert_eq!(bans.enable(&format!("s-{i}"), at(now)), want);
                    if let Some(out) = m.out.remove(&i) {
                        m.back.insert(i, (out, now));
                    }
                }
                Step::Anew => {
                    let calls = bans.states().clone();
                    bans = Bans::new(Some(ORIGIN));
                    m.told.retain(|_, t| t.is_some());
                    let all = m.told.iter().filter_map(|(i, t)| t.map(|(state, since)| listed(*i, state, since)));
                    bans.apply_list(ListForm::Cached, &mut all.collect::<Vec<_>>());
                    bans.adopt(calls);
                }
            }
            for i in 0..IDS {
                let effective = bans.effective(&format!("s-{i}")).map(|l| (l.entry.state, counts_from(&l)));
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
                prop_assert_eq!(effective, want, "s-{} after step {}", i, n);
            }
            prop_assert_eq!(bans.banned_count(), m.out.len());
        }
    }
}

/// What the bulletin says of a server that is out comes out changed, and only that.
#[test]
fn the_bulletin_is_masked_on_its_way() {
    let mut bans = Bans::new(Some(ORIGIN));
    let mut all = [listed(1, Lifecycle::Ready, 0), listed(2, Lifecycle::Ready, 0)];
    bans.apply_list(ListForm::Full, &mut all);
    assert_eq!(bans.disable("s-1", at(50)), Ok(true));
    assert_eq!(bans.disable("s-1", at(60)), Ok(false), "the second call out changes nothing");
    bans.apply_list(ListForm::Full, &mut all);
    assert_eq!(all.clone().map(|l| l.entry.state), [Lifecycle::Draining, Lifecycle::Ready]);
    assert_eq!(bans.enable("s-1", at(90)), Ok(true), "one call back undoes both");
    assert_eq!(counts_from(&bans.effective("s-1").unwrap()), 90, "cold from the call back");
    bans.apply_list(ListForm::Delta, &mut [listed(1, Lifecycle::Ready, 70)]);
    assert_eq!(counts_from(&bans.effective("s-1").unwrap()), 70, "the start that the bulletin told");
}

/// Another server at the address of one that is out: that one is gone, and called back it must not displace the other.
#[test]
fn an_address_that_another_one_has_now() {
    let mut bans = Bans::new(None);
    bans.apply_list(ListForm::Full, &mut [listed(1, Lifecycle::Ready, 0)]);
    bans.disable("s-1", at(10)).unwrap();
    let other = ListedServer { id: "s-new".into(), ..listed(1, Lifecycle::Ready, 20) };
    bans.apply_list(ListForm::Delta, &mut [other]);
    bans.enable("s-1", at(30)).unwrap();
    assert_eq!(bans.effective("s-1"), None);
    assert_eq!(bans.effective("s-new").unwrap().entry.state, Lifecycle::Ready);
}

/// Calls back are forgotten once the server is warm, calls out never.
#[test]
fn calls_end() {
    let mut bans = Bans::new(None);
    bans.apply_list(ListForm::Full, &mut [listed(1, Lifecycle::Ready, 0), listed(2, Lifecycle::Ready, 0)]);
    bans.disable("s-1", at(10)).unwrap();
    bans.disable("s-2", at(10)).unwrap();
    bans.enable("s-1", at(20)).unwrap();
    bans.forget_old_lifted(at(1_000), 981);
    assert_eq!(bans.states().len(), 2);
    bans.forget_old_lifted(at(1_002), 981);
    assert_eq!((bans.states().len(), bans.is_banned("s-2")), (1, true));
}

#[test]
fn only_a_process_that_is_ready_takes_over() {
    let sign = |started, phase, bans| ProcessStatus { rank: (started, 1), phase, bans_version: bans };
    assert_eq!(summarize(&[]), Default::default());
    let v = summarize(&[sign(3, Phase::Leaving, 4), sign(9, Phase::Starting, 2)]);
    assert_eq!(
        (v.others, v.other_ready, v.min_bans_version),
        (2, false, Some(2)),
        "none that starts or ends takes over"
    );
    assert!(summarize(&[sign(9, Phase::Starting, 0), sign(3, Phase::Ready, 0)]).other_ready);
}

#[test]
fn readiness_needs_every_fact() {
    let all = ReadinessFacts { ending: false, listed: true, adopted: true, followed: true, listening: true };
    assert_eq!(ready(all), Ok(()));
    for (facts, why) in [
        (ReadinessFacts { ending: true, ..all }, "ending"),
        (ReadinessFacts { listed: false, ..all }, "no list of cache servers yet"),
        (ReadinessFacts { adopted: false, ..all }, "bans and what was learned not yet taken over"),
        (ReadinessFacts { followed: false, ..all }, "bulletin not yet heard"),
        (ReadinessFacts { listening: false, ..all }, "not yet listening"),
    ] {
        assert_eq!(ready(facts), Err(why));
    }
}
