//! Guards against malformed input: any byte sequence, random or a mutated real datagram, has to end in
//! exactly one counted drop and must not cause a panic, an answer or a change.
use nickelgate::Micros;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::net::SocketAddr;
use threadward_gossip::{public_key, Gossip, Output, PeerConfig, Settings};

fn at(i: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + u16::from(i)))
}

fn instance(i: u8, now: Micros) -> Gossip {
    let peer = |k: u8| PeerConfig {
        name: format!("n{k}"),
        addr: at(k),
        keys: vec![public_key(&[k + 1; 32])],
        seed: true,
    };
    let s = Settings::new(&format!("n{i}"), [i + 1; 32], (0..4).map(peer).collect());
    Gossip::new(now, s, [i + 50; 32]).unwrap()
}

/// Returns an instance that has confirmed another one, and all datagrams that it received from that one:
/// pings, answers and a leave message.
fn pair() -> (Gossip, Vec<Vec<u8>>) {
    let (mut a, mut b) = (instance(0, 1_000_000), instance(1, 1_000_000));
    let mut datagrams = Vec::new();
    for step in 0..200 {
        let now = 1_000_000 + step * 50_000;
        let mut to_b = Output::default();
        a.tick(now, &mut to_b);
        if step == 150 {
            a.leave(now, &mut to_b);
        }
        let mut to_a = Output::default();
        b.tick(now, &mut to_a);
        for _ in 0..3 {
            for (to, bytes) in std::mem::take(&mut to_a.send) {
                if to == at(0) {
                    a.receive(now, at(1), &bytes, &mut to_b);
                }
            }
            for (to, bytes) in std::mem::take(&mut to_b.send) {
                if to == at(1) {
                    b.receive(now, at(0), &bytes, &mut to_a);
                    datagrams.push(bytes);
                }
            }
        }
    }
    assert!(b.counts.received > 10 && b.counts.dropped.iter().all(|n| *n == 0));
    (b, datagrams)
}

fn dropped(g: &Gossip) -> u64 {
    g.counts.dropped.iter().sum()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn random_bytes_are_dropped(bytes in proptest::collection::vec(any::<u8>(), 0..600), known in any::<bool>()) {
        let mut g = instance(1, 1_000_000);
        let from = if known { at(0) } else { at(99) };
        let mut out = Output::default();
        g.receive(2_000_000, from, &bytes, &mut out);
        prop_assert_eq!((g.counts.received, dropped(&g)), (0, 1));
        prop_assert!(out.send.is_empty() && out.notices.is_empty());
    }

    #[test]
    fn mutated_datagrams_are_dropped(pick in any::<prop::sample::Index>(), flips in proptest::collection::vec((any::<prop::sample::Index>(), 1u8..), 1..6), cut in 0usize..40) {
        let (mut g, datagrams) = pair();
        let mut bytes = datagrams[pick.index(datagrams.len())].clone();
        let original = bytes.clone();
        for (i, x) in &flips {
            let i = i.index(bytes.len());
            bytes[i] ^= x;
        }
        bytes.truncate(bytes.len() - cut.min(bytes.len()));
        prop_assume!(bytes != original);
        let before = g.counts;
        let mut out = Output::default();
        g.receive(12_000_000, at(0), &bytes, &mut out);
        prop_assert_eq!((g.counts.received, dropped(&g)), (before.received, before.dropped.iter().sum::<u64>() + 1));
        prop_assert!(out.send.is_empty());
    }
}
