//! Bans hold whatever discovery reports: a property test over random sequences of bans, reports, restarts and
//! takeovers by another process, compared with a simple model. Also tests how two processes of a proxy
//! relate.
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use threadward_core::bans::{BanError, Bans, ListedServer};
use threadward_core::shift::{ready, summarize, Phase, ProcessStatus, ReadinessFacts};
use threadward_core::{Addr, Entry, Lifecycle, ListForm, Micros, UnixTime};

const ORIGIN: u8 = 2;
const IDS: u8 = 5;

/// The start that counts: the reported one, or the time when the ban was lifted if the server was banned
/// since before the reported start.
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
    /// Discovery reports a server's state, and whether the server has started anew.
    Report(u8, Lifecycle, bool),
    /// Discovery reports the whole list.
    FullList(Vec<u8>),
    Ban(u8),
    Lift(u8),
    /// The process has ended. Another one gets the whole list again and reads the stored bans.
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![Just(Lifecycle::Ready), Just(Lifecycle::Draining), Just(Lifecycle::Gone)];
    prop_oneof![
        3 => (0..IDS, state, any::<bool>()).prop_map(|(i, s, restarted)| Step::Report(i, s, restarted)),
        1 => proptest::collection::btree_set(0..IDS, 0..5).prop_map(|s| Step::FullList(s.into_iter().collect())),
        3 => (0..IDS + 1).prop_map(Step::Ban),
        2 => (0..IDS + 1).prop_map(Step::Lift),
        1 => Just(Step::Restart),
    ]
}

/// The model: the latest report on each server, and whether and since when it is banned, or when its ban was
/// lifted.
#[derive(Default)]
struct Model {
    reported: BTreeMap<u8, Option<(Lifecycle, Micros)>>,
    banned: BTreeMap<u8, Micros>,
    lifted: BTreeMap<u8, (Micros, Micros)>,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn a_banned_server_stays_out_until_its_ban_is_lifted(steps in proptest::collection::vec(step(), 1..60)) {
        let (mut bans, mut m) = (Bans::new(Some(ORIGIN)), Model::default());
        for (n, step) in steps.into_iter().enumerate() {
            let now = 1_000 + n as Micros * 10;
            match step {
                Step::Report(i, state, restarted) => {
                    let old = m.reported.get(&i).copied().flatten().map_or(0, |t| t.1);
                    let since = if restarted { now - 5 } else { old };
                    m.reported.insert(i, (state != Lifecycle::Gone).then_some((state, since)));
                    bans.apply_list(ListForm::Delta, &mut [listed(i, state, since)]);
                }
                Step::FullList(ids) => {
                    m.reported.values_mut().for_each(|t| *t = None);
                    let mut all: Vec<ListedServer> = ids.iter().map(|i| listed(*i, Lifecycle::Ready, 0)).collect();
                    m.reported.extend(ids.iter().map(|i| (*i, Some((Lifecycle::Ready, 0)))));
                    bans.apply_list(ListForm::Full, &mut all);
                }
                Step::Ban(i) => {
                    let known = m.reported.contains_key(&i) || m.banned.contains_key(&i) || m.lifted.contains_key(&i);
                    let want = if known { Ok(!m.banned.contains_key(&i)) } else { Err(BanError::Unknown) };
                    prop_assert_eq!(bans.disable(&format!("s-{i}"), at(now)), want);
                    if known {
                        m.banned.entry(i).or_insert(now);
                        m.lifted.remove(&i);
                    }
                }
                Step::Lift(i) => {
                    let known = m.reported.contains_key(&i) || m.banned.contains_key(&i) || m.lifted.contains_key(&i);
                    let want = if known { Ok(m.banned.contains_key(&i)) } else { Err(BanError::Unknown) };
                    prop_assert_eq!(bans.enable(&format!("s-{i}"), at(now)), want);
                    if let Some(out) = m.banned.remove(&i) {
                        m.lifted.insert(i, (out, now));
                    }
                }
                Step::Restart => {
                    let states = bans.states().clone();
                    bans = Bans::new(Some(ORIGIN));
                    m.reported.retain(|_, t| t.is_some());
                    let all = m.reported.iter().filter_map(|(i, t)| t.map(|(state, since)| listed(*i, state, since)));
                    bans.apply_list(ListForm::Cached, &mut all.collect::<Vec<_>>());
                    bans.adopt(states);
                }
            }
            for i in 0..IDS {
                let effective = bans.effective(&format!("s-{i}")).map(|l| (l.entry.state, counts_from(&l)));
                let want = m.reported.get(&i).copied().flatten().map(|(state, since)| {
                    let state = match (m.banned.contains_key(&i), state) {
                        (true, _) if i == 0 => Lifecycle::Gone,
                        (true, Lifecycle::Ready) => Lifecycle::Draining,
                        (_, state) => state,
                    };
                    // Cold since the ban was lifted, unless a start after the ban was reported.
                    let cold = m.lifted.get(&i).filter(|(out, _)| since <= *out).map(|(_, at)| *at);
                    (state, cold.unwrap_or(since))
                });
                prop_assert_eq!(effective, want, "s-{} after step {}", i, n);
            }
            prop_assert_eq!(bans.banned_count(), m.banned.len());
        }
    }
}

/// The report on a banned server is changed to the state that results from the ban, and no other report is
/// changed.
#[test]
fn a_ban_changes_the_reports_of_its_server_only() {
    let mut bans = Bans::new(Some(ORIGIN));
    let mut all = [listed(1, Lifecycle::Ready, 0), listed(2, Lifecycle::Ready, 0)];
    bans.apply_list(ListForm::Full, &mut all);
    assert_eq!(bans.disable("s-1", at(50)), Ok(true));
    assert_eq!(bans.disable("s-1", at(60)), Ok(false), "the second ban changes nothing");
    bans.apply_list(ListForm::Full, &mut all);
    assert_eq!(all.clone().map(|l| l.entry.state), [Lifecycle::Draining, Lifecycle::Ready]);
    assert_eq!(bans.enable("s-1", at(90)), Ok(true), "lifting it once undoes both");
    assert_eq!(counts_from(&bans.effective("s-1").unwrap()), 90, "cold since the ban was lifted");
    bans.apply_list(ListForm::Delta, &mut [listed(1, Lifecycle::Ready, 70)]);
    assert_eq!(counts_from(&bans.effective("s-1").unwrap()), 70, "the start that discovery reported");
}

/// A new server at the address of a banned one means that the banned one has gone. When its ban is lifted, it
/// must not displace the new server.
#[test]
fn a_banned_server_whose_address_was_reused_does_not_come_back() {
    let mut bans = Bans::new(None);
    bans.apply_list(ListForm::Full, &mut [listed(1, Lifecycle::Ready, 0)]);
    bans.disable("s-1", at(10)).unwrap();
    let other = ListedServer { id: "s-new".into(), ..listed(1, Lifecycle::Ready, 20) };
    bans.apply_list(ListForm::Delta, &mut [other]);
    bans.enable("s-1", at(30)).unwrap();
    assert_eq!(bans.effective("s-1"), None);
    assert_eq!(bans.effective("s-new").unwrap().entry.state, Lifecycle::Ready);
}

/// Lifted bans are forgotten once the server is warm; bans never are.
#[test]
fn lifted_bans_expire() {
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

/// Guards against a handover to a process that has not finished its start or is itself about to end.
#[test]
fn only_a_ready_process_can_take_over() {
    let sign = |started, phase, bans| ProcessStatus { rank: (started, 1), phase, bans_version: bans };
    assert_eq!(summarize(&[]), Default::default());
    let v = summarize(&[sign(3, Phase::Ending, 4), sign(9, Phase::Starting, 2)]);
    assert_eq!(
        (v.count, v.other_ready, v.min_bans_version),
        (2, false, Some(2)),
        "no process that starts or ends can take over"
    );
    assert!(summarize(&[sign(9, Phase::Starting, 0), sign(3, Phase::Ready, 0)]).other_ready);
}

/// Guards against a process that is called ready although a condition is missing, and pins the text for each.
#[test]
fn readiness_needs_every_condition() {
    let all = ReadinessFacts {
        ending: false,
        list_received: true,
        state_adopted: true,
        discovery_known: true,
        listening: true,
    };
    assert_eq!(ready(all), Ok(()));
    for (facts, why) in [
        (ReadinessFacts { ending: true, ..all }, "ending"),
        (ReadinessFacts { list_received: false, ..all }, "no list of cache servers yet"),
        (ReadinessFacts { state_adopted: false, ..all }, "bans and what was learned not yet taken over"),
        (ReadinessFacts { discovery_known: false, ..all }, "bulletin not yet heard"),
        (ReadinessFacts { listening: false, ..all }, "not yet listening"),
    ] {
        assert_eq!(ready(facts), Err(why));
    }
}
