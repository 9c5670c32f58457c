//! Tests gossip under the failures that it is designed for, in virtual time: false reports, forgeries,
//! replays, restarts, cuts and floods.
use nickelgate::{Addr, Micros};
use threadward_gossip::keys::{short_id, OwnKey, SIGNATURE_BYTES};
use threadward_gossip::wire::{self, Claim, Head, Kind};
use threadward_gossip::{public_key, Dropped, Notice, Settings, State};
use threadward_lab::gossip_simulation::{address, parent, peer, secret, GossipSimulation};
use threadward_lab::net::NetworkConditions;

const S: Micros = 1_000_000;

/// Returns a simulation whose instances have all found one another.
fn joined(n: usize, seed: u64) -> GossipSimulation {
    let mut g = GossipSimulation::new(n, 2, seed, NetworkConditions::default());
    for _ in 0..60 {
        g.run(S);
        if g.live_counts().iter().all(|l| *l == n) {
            return g;
        }
    }
    panic!("not all found each other: {:?}", g.live_counts());
}

/// Returns how many datagrams an instance dropped for a reason.
fn dropped(g: &GossipSimulation, i: usize, why: Dropped) -> u64 {
    g.gossip(i).counts.dropped[why as usize]
}

/// Asserts that no instance except these suspects a member.
fn assert_no_suspicion(g: &GossipSimulation, except: &[usize]) {
    for i in (0..g.slots.len()).filter(|i| !except.contains(i)) {
        assert_eq!(g.suspected_by(i), Vec::<Addr>::new(), "n{i}");
    }
}

/// Returns the statements that an instance has sent to another so far.
fn statements(g: &GossipSimulation, from: usize, to: usize) -> Vec<Vec<u8>> {
    let of = |s: &&(Micros, usize, usize, Vec<u8>)| s.1 == from && s.2 == to && s.3[0] & 15 == 5;
    g.sent.iter().filter(of).map(|s| s.3.clone()).collect()
}

#[test]
fn two_witnesses_help_the_others_and_the_word_ends() {
    for seed in 1..6 {
        let mut g = joined(4, seed);
        g.set_member_failing(0, parent(1), true);
        g.run(S);
        assert_no_suspicion(&g, &[]);
        g.set_member_failing(0, parent(1), true);
        g.set_member_failing(1, parent(1), true);
        g.run(S);
        for i in [2, 3] {
            assert_eq!(g.suspected_by(i), [parent(1)], "seed {seed}");
        }
        // A good answer to the instance itself outranks the suspicion at once; elsewhere it expires.
        g.run(100_000);
        g.set_member_failing(2, parent(1), false);
        g.run(60_000);
        assert!(g.suspected_by(2).is_empty());
        g.run(6 * S);
        assert_no_suspicion(&g, &[]);
    }
}

/// One instance falsely reports every parent, then one. No other believes it, it loses credit where an
/// instance's own traffic refutes it, and after that the report of one honest instance in addition is not
/// enough.
#[test]
fn one_liar_among_four_moves_nothing() {
    let mut g = joined(4, 7);
    for accused in [vec![parent(1), parent(2), parent(3), parent(4)], vec![parent(1)]] {
        g.slots[3].always_accused = accused;
        for _ in 0..40 {
            for i in 0..3 {
                (1..=4).for_each(|h| g.set_member_failing(i, parent(h), false));
            }
            g.run(250_000);
            assert_no_suspicion(&g, &[3]);
        }
    }
    assert!(g.gossip(0).counts.received > 30);
    for i in 0..3 {
        assert!(g.gossip(i).credit("n3") < 0.3, "n{i}: {}", g.gossip(i).credit("n3"));
        assert!(g.gossip(i).credit("n0") > 0.7);
    }
    g.set_member_failing(0, parent(1), true);
    g.run(S);
    assert!(g.suspected_by(1).is_empty() && g.suspected_by(2).is_empty());
}

#[test]
fn two_liars_of_seven_in_league_move_nothing() {
    let mut g = joined(7, 8);
    for liar in [5, 6] {
        g.slots[liar].always_accused = (1..=4).map(parent).collect();
    }
    for _ in 0..100 {
        g.run(100_000);
        assert_no_suspicion(&g, &[5, 6]);
    }
    // A third witness reaches the required number, if it is honest.
    g.set_member_failing(0, parent(2), true);
    g.run(S);
    assert_eq!(g.suspected_by(1), [parent(2)]);
}

/// Returns a datagram that names `author` as its sender and is signed with this secret.
fn forged(author: usize, with: [u8; 32], start: u64, seq: u32) -> Vec<u8> {
    let key = OwnKey::new(&secret(author)).id();
    let claim = Claim { member: parent(1), short_incarnation: 0, kind: Kind::Silent, strength: 3, age: 0 };
    let mut b = wire::statement(Head { key, start, seq, uptime: 100 }, &[claim]);
    OwnKey::new(&with).sign(&mut b);
    b
}

#[test]
fn forgeries_and_flipped_bits_are_dropped() {
    let mut g = joined(4, 9);
    g.record = true;
    g.set_member_failing(1, parent(1), true);
    g.run(S);
    let good = statements(&g, 1, 0).pop().unwrap();
    let head = wire::read(&good).unwrap().head;
    // Another key under the name of n1, with an acceptable sequence number.
    g.inject(address(1), 0, &forged(1, secret(3), head.start, head.seq + 10));
    assert_eq!(dropped(&g, 0, Dropped::Forged), 1);
    // For an incarnation that was never proved, the signature isn't even verified.
    g.inject(address(1), 0, &forged(1, secret(3), 5, 1));
    assert_eq!((dropped(&g, 0, Dropped::Forged), dropped(&g, 0, Dropped::Unproven)), (1, 1));
    // Every single flipped bit, each on a link that hasn't carried the original datagram.
    g.net.conditions.loss = 1.0;
    g.run(200_000);
    let before = g.gossip(2).counts;
    for bit in 0..good.len() * 8 {
        let mut b = good.clone();
        b[bit / 8] ^= 1 << (bit % 8);
        g.inject(address(1), 2, &b);
        g.run(20_000);
    }
    let after = g.gossip(2).counts;
    assert_eq!(after.received, before.received);
    let drops = |t: threadward_gossip::Counts| t.dropped.iter().sum::<u64>();
    assert_eq!(drops(after) - drops(before), good.len() as u64 * 8);
    assert_no_suspicion(&g, &[]);
}

#[test]
fn replays_change_nothing_within_the_window_past_it_or_after_a_restart() {
    let mut g = joined(4, 10);
    g.record = true;
    for i in [1, 2] {
        g.set_member_failing(i, parent(1), true);
    }
    g.run(S);
    assert_eq!(g.suspected_by(0), [parent(1)]);
    g.run(10 * S);
    assert_no_suspicion(&g, &[]);
    let all: Vec<(usize, Vec<u8>)> = g.sent.iter().filter(|s| s.2 == 0).map(|s| (s.1, s.3.clone())).collect();
    assert!(all.len() > 20);
    let replay = |g: &mut GossipSimulation| {
        let before = g.gossip(0).counts;
        for (from, bytes) in &all {
            g.inject(address(*from), 0, bytes);
        }
        let after = g.gossip(0).counts;
        (after.received - before.received, after.signatures_checked - before.signatures_checked)
    };
    // Lost ones among them are new to it, but what they tell is old; none is believed.
    let (taken, _) = replay(&mut g);
    assert!(taken <= 3, "{taken} of {} were taken", all.len());
    assert_no_suspicion(&g, &[]);
    assert_eq!(replay(&mut g), (0, 0), "not even a signature is checked the second time");
    // An hour later, past every window.
    g.run(3600 * S);
    assert_eq!(replay(&mut g), (0, 0));
    assert_no_suspicion(&g, &[]);
    // The receiver restarts without any state: before and after it has found the others.
    g.start(0);
    replay(&mut g);
    assert_no_suspicion(&g, &[]);
    assert_eq!(g.live_counts()[0], 1, "recordings prove nothing");
    g.run(20 * S);
    assert_eq!(g.live_counts()[0], 4);
    replay(&mut g);
    assert_no_suspicion(&g, &[]);
}

/// A restarted peer, and whoever recorded it, repeats what it said in its former life; its clock went back as
/// well.
#[test]
fn a_former_life_says_nothing() {
    let mut g = joined(4, 11);
    for i in [1, 2] {
        g.slots[i].clock_offset = 3600 * S;
        g.start(i);
    }
    g.run(20 * S);
    assert_eq!(g.live_counts(), [4; 4]);
    g.record = true;
    for i in [1, 2] {
        g.set_member_failing(i, parent(1), true);
    }
    g.run(S);
    let old: Vec<(usize, Vec<u8>)> =
        [1, 2].iter().flat_map(|i| statements(&g, *i, 0).into_iter().map(|b| (*i, b))).collect();
    assert!(!old.is_empty());
    for i in [1, 2] {
        g.kill(i);
        g.slots[i].member_health.iter_mut().for_each(|s| (s.last_failed_at, s.skipped) = (0, false));
    }
    g.run(500_000);
    for i in [1, 2] {
        g.slots[i].clock_offset = 0;
        g.start(i);
    }
    g.run(15 * S);
    assert_eq!(g.live_counts(), [4; 4]);
    let before = dropped(&g, 0, Dropped::Replayed);
    for (from, bytes) in &old {
        g.inject(address(*from), 0, bytes);
    }
    assert_eq!(dropped(&g, 0, Dropped::Replayed), before + old.len() as u64);
    assert_no_suspicion(&g, &[]);
}

#[test]
fn clocks_that_disagree_by_five_seconds_change_nothing() {
    let run = |clock_offset: [Micros; 4]| {
        let mut g = GossipSimulation::new(4, 2, 12, NetworkConditions::default());
        for (i, a) in clock_offset.into_iter().enumerate() {
            g.slots[i].clock_offset = a;
            g.start(i);
        }
        g.run(20 * S);
        for i in [0, 1] {
            g.set_member_failing(i, parent(1), true);
        }
        g.run(300_000);
        let early = (2..4).map(|i| g.suspected_by(i)).collect::<Vec<_>>();
        g.run(6 * S);
        (early, g.live_counts(), (0..4).map(|i| g.suspected_by(i).len()).sum::<usize>())
    };
    let even = run([0; 4]);
    assert_eq!(even, (vec![vec![parent(1)]; 2], vec![4; 4], 0));
    assert_eq!(run([0, 5 * S, S, 3 * S]), even);
}

/// A running instance's clock goes back by an hour, and forward by one.
#[test]
fn a_clock_that_jumps_loses_nobody_for_long() {
    let mut g = joined(4, 23);
    for ahead in [3600 * S, 0] {
        g.slots[2].clock_offset = ahead;
        g.apply_clock_change(2);
        g.record = true;
        g.sent.clear();
        g.run(20 * S);
        assert_eq!(g.live_counts(), [4; 4], "{ahead}");
        let pings = g.sent.iter().filter(|s| s.1 == 2 && s.3[0] & 15 == 1).count();
        assert!(pings >= 18, "{pings} pings in 20 periods");
        let now = g.now();
        g.set_member_failing(0, parent(1), true);
        g.set_member_failing(1, parent(1), true);
        g.run(S);
        assert_eq!(g.suspected_by(3), [parent(1)], "{ahead} at {now}");
        g.run(6 * S);
        assert_no_suspicion(&g, &[]);
    }
}

#[test]
fn keys_change_in_service_and_withdrawn_ones_end() {
    let mut g = joined(4, 13);
    let (old, new) = (secret(1), [99; 32]);
    // Both keys are accepted while a key is replaced, and the instance switches to the new one.
    for keys in [vec![public_key(&old), public_key(&new)], vec![public_key(&new)]] {
        for i in 0..4 {
            g.slots[i].settings.peers[1].keys = keys.clone();
            if i == 1 {
                g.slots[1].settings.secret = new;
            }
            let s = g.slots[i].settings.clone();
            g.call(i, |gossip, now, _| gossip.reconfigure(now, s).unwrap());
        }
        g.run(10 * S);
        assert_eq!(g.live_counts(), [4; 4], "nobody was lost");
    }
    // Datagrams signed with the old key are no longer accepted.
    let before = dropped(&g, 0, Dropped::Key);
    g.inject(address(1), 0, &forged(1, old, 1, 1));
    assert_eq!(dropped(&g, 0, Dropped::Key), before + 1);
    // Withdrawn whole: its word and its vote are gone, and it counts for no quorum.
    g.set_member_failing(1, parent(1), true);
    g.set_member_failing(2, parent(1), true);
    g.run(S);
    assert_eq!(g.suspected_by(0), [parent(1)]);
    for i in [0, 2, 3] {
        g.slots[i].settings.peers[1].keys.clear();
        let s = g.slots[i].settings.clone();
        g.call(i, |gossip, now, _| gossip.reconfigure(now, s).unwrap());
    }
    g.run(100_000);
    assert_eq!((g.suspected_by(0), g.gossip(0).quorum().eligible), (vec![], 3));
    // An invalid file changes nothing.
    let mut bad = g.slots[0].settings.clone();
    bad.peers.clear();
    g.call(0, |gossip, now, _| assert!(gossip.reconfigure(now, bad).is_err()));
    assert_eq!(g.gossip(0).quorum().eligible, 3);
}

/// 100,000 bad datagrams in a second in the name and from the address of a peer: few cost a check, and the
/// service of the others goes on.
#[test]
fn a_flood_is_dropped_unchecked() {
    let mut g = joined(4, 14);
    let head = |i: u32| Head { key: OwnKey::new(&secret(1)).id(), start: u64::from(i), seq: i, uptime: 0 };
    let before = g.gossip(0).counts;
    for slice in 0..100u32 {
        for i in slice * 1000..(slice + 1) * 1000 {
            let mut b = wire::ping(head(i), short_id(b"n0"), short_id(b"n1"), 1, &[]);
            b.extend_from_slice(&[i as u8; SIGNATURE_BYTES]);
            g.inject(address(1), 0, &b);
        }
        g.run(10_000);
    }
    let t = g.gossip(0).counts;
    assert!(
        t.signatures_checked - before.signatures_checked <= 40,
        "{} checks",
        t.signatures_checked - before.signatures_checked
    );
    assert!(dropped(&g, 0, Dropped::Flood) >= 99_000);
    // The peer in whose name it came is heard all the same, in the midst of it.
    g.set_member_failing(1, parent(1), true);
    g.set_member_failing(3, parent(1), true);
    for i in 0..500u32 {
        let mut b = wire::ping(head(200_000 + i), short_id(b"n0"), short_id(b"n1"), 1, &[]);
        b.extend_from_slice(&[1; SIGNATURE_BYTES]);
        (0..100).for_each(|_| g.inject(address(1), 0, &b));
        g.run(2_000);
    }
    assert_eq!((g.suspected_by(0), g.peer_state(0, 1)), (vec![parent(1)], State::Live));
}

#[test]
fn partitions_know_their_side_and_heal() {
    for (a, b) in [(vec![0, 1], vec![2, 3]), (vec![0, 1, 2], vec![3])] {
        let mut g = joined(4, 15);
        g.net.cut_groups(&a, &b);
        g.run(15 * S);
        for i in 0..4 {
            let side = if a.contains(&i) { a.len() } else { b.len() };
            let q = g.gossip(i).quorum();
            assert_eq!((q.live, q.has_majority()), (side, side > 2), "n{i} of {a:?}|{b:?}");
        }
        // On half of them nothing is believed, on three of four two witnesses still do.
        g.set_member_failing(0, parent(1), true);
        g.set_member_failing(1, parent(1), true);
        g.run(S);
        if a.len() == 3 {
            assert_eq!(g.suspected_by(2), [parent(1)]);
        }
        assert_no_suspicion(&g, &[2]);
        g.net.restore_links();
        g.run(30 * S);
        assert_eq!(g.live_counts(), [4; 4], "{a:?}|{b:?}");
    }
}

/// One that is heard and hears nothing counts for the others, and itself knows that it is alone.
#[test]
fn a_peer_that_is_one_way_deaf() {
    let mut g = joined(4, 16);
    for i in 0..3 {
        g.net.cut(i, 3);
    }
    g.run(15 * S);
    assert!(!g.gossip(3).quorum().has_majority());
    for i in 0..3 {
        assert!(g.gossip(i).quorum().live >= 3);
    }
    // Deaf on one link only, it is reached by way of the others and nobody misses anybody.
    let mut g = joined(4, 17);
    g.net.cut(0, 3);
    g.net.cut(3, 0);
    g.run(30 * S);
    assert_eq!(g.live_counts(), [4; 4]);
}

#[test]
fn a_rough_network_loses_nobody_for_long() {
    for loss in [0.0, 0.2, 0.4] {
        let w = NetworkConditions { loss, duplicated: 0.1, min_delay: 1_000, max_delay: 60_000, slow: 0.02 };
        let mut g = GossipSimulation::new(5, 2, 18, w);
        g.run(60 * S);
        let mut dead = 0;
        for _ in 0..60 {
            g.run(S);
            let of = |i: usize| (0..5).filter(|j| *j != i && g.peer_state(i, *j) == State::Dead).count();
            dead += (0..5).map(of).sum::<usize>();
        }
        // Of 1,200 looks of one at another.
        assert!(dead <= (loss * 250.0) as usize, "{dead} with {loss} lost");
        for i in 0..3 {
            g.set_member_failing(i, parent(1), true);
        }
        g.run(4 * S);
        assert!(loss > 0.3 || g.suspected_by(4) == [parent(1)], "with {loss} lost");
    }
}

#[test]
fn members_leave_by_will_and_come_back() {
    let mut g = joined(4, 19);
    g.call(3, |gossip, now, out| gossip.leave(now, out));
    g.kill(3);
    g.run(200_000);
    let left = (0..3).filter(|i| g.peer_state(*i, 3) == State::Left).count();
    assert!(left >= 2, "{left} of 3 heard it");
    g.run(10 * S);
    assert!((0..3).all(|i| g.peer_state(i, 3) != State::Live));
    g.start(3);
    g.run(10 * S);
    assert_eq!(g.live_counts(), [4; 4]);
}

/// Another instance, with a name and a key of its own, starts at the address of one that was ended.
#[test]
fn a_replaced_instance_at_a_reused_address() {
    let mut g = joined(4, 20);
    let mut peers: Vec<_> = (0..4).map(|i| peer(i, 2)).collect();
    peers.push(threadward_gossip::PeerConfig { addr: address(3), ..peer(4, 2) });
    g.add(peers.clone());
    for i in 0..3 {
        g.slots[i].settings.peers = peers.clone();
        let s = g.slots[i].settings.clone();
        g.call(i, |gossip, now, _| gossip.reconfigure(now, s).unwrap());
    }
    g.kill(3);
    g.start(4);
    g.run(25 * S);
    for i in 0..3 {
        assert_eq!((g.peer_state(i, 4), g.peer_state(i, 3)), (State::Live, State::Dead), "n{i}");
    }
    assert_eq!(
        g.gossip(0).quorum(),
        threadward_gossip::Quorum { eligible: 5, live: 4, tolerated_faults: None }
    );
}

/// All of 256 start in the same moment and know three of them: they find one another, within their bytes.
#[test]
fn two_hundred_and_fifty_six_join_at_once() {
    let mut g = GossipSimulation::new(256, 3, 21, NetworkConditions::default());
    g.run(100 * S);
    let live = g.live_counts();
    assert!(live.iter().all(|l| l * 2 > 256), "each has its majority: {:?}", live.iter().min());
    let rate = g.net.bytes as f64 / 256.0 / 100.0;
    assert!(rate < 600.0, "{rate} bytes a second and instance");
}

/// A reload takes the new period over, and says nothing anew of a peer that was no longer heard.
#[test]
fn a_reload_takes_the_period_over_and_repeats_no_news() {
    let mut g = joined(4, 24);
    g.slots[3].always_accused = vec![parent(1)];
    for _ in 0..20 {
        g.set_member_failing(0, parent(1), false);
        g.run(250_000);
    }
    let credit = |g: &GossipSimulation| {
        g.slots[0].reported_notices.iter().filter(|n| matches!(n, Notice::WitnessTrust { .. })).count()
    };
    assert_eq!(credit(&g), 1);
    let pings = |g: &mut GossipSimulation| {
        g.sent.clear();
        g.run(20 * S);
        g.sent.iter().filter(|s| s.1 == 0 && s.3[0] & 15 == 1).count()
    };
    g.record = true;
    let before = pings(&mut g);
    let s = Settings { probe_period: 250_000, ..g.slots[0].settings.clone() };
    g.call(0, |gossip, now, _| gossip.reconfigure(now, s).unwrap());
    let after = pings(&mut g);
    assert!(after > before * 3, "{before} pings in 20 s, then {after}");
    assert_eq!(credit(&g), 1, "{:?}", g.slots[0].reported_notices);
}

/// A proxy with more to do than it can sends less, and hands nothing on.
#[test]
fn an_overloaded_proxy_says_less() {
    let sent = |busy: bool| {
        let mut g = joined(8, 22);
        g.slots[7].always_accused = vec![parent(1)];
        g.slots[0].always_accused = vec![parent(2)];
        for i in 0..8 {
            g.call(i, |gossip, now, _| gossip.set_overloaded(now, busy));
        }
        g.record = true;
        g.run(30 * S);
        let statements = g.sent.iter().filter(|s| s.3[0] & 15 == 5);
        let (own, others): (Vec<_>, Vec<_>) = statements.partition(|s| s.1 == 0 || s.1 == 7);
        (own.len(), others.len())
    };
    let (calm, busy) = (sent(false), sent(true));
    assert!(calm.1 > 20 && busy.1 == 0, "handed on: {} and {}", calm.1, busy.1);
    assert!(busy.0 <= calm.0, "{busy:?} and {calm:?}");
}
