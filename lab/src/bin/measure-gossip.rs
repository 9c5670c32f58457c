//! Measures gossip between proxies (`make measure-gossip`). Runs without and with gossip use the same process
//! and the same seeds. The last line of the output is JSON. The program exits with 1 if a rule of the service
//! was violated.
use std::net::SocketAddr;
use std::thread;
use std::time::Instant;
use threadward_gossip::{keys, wire, Gossip, Output, Settings};
use threadward_lab::fleet::{cache, parent, Disruption, Fleet, GossipMode, Record, Scenario, S};
use threadward_lab::gossip_simulation::{self, GossipSimulation};
use threadward_lab::net::NetworkConditions;

/// The seeds of all runs.
const SEEDS: std::ops::Range<u64> = 1..13;
/// Start of the hang or the fast failures, in seconds after the start of a run.
const DISRUPTION_AT_S: u64 = 10;

/// Returns a scenario in which a parent hangs or a cache fails fast, while another cache drains.
fn scenario(seed: u64, mode: GossipMode, hangs: bool) -> Scenario {
    let sc = Scenario::new(seed, mode).with(cache(6), Disruption::Drain, 18 * S, 40 * S);
    let (from, to) = (DISRUPTION_AT_S * S, 20 * S);
    let sc = if hangs {
        sc.with(parent(1), Disruption::Hang, from, to)
    } else {
        sc.with(cache(1), Disruption::FailFast, from, to)
    };
    Scenario {
        disruptions: {
            let mut t = sc.disruptions.clone();
            t.reverse();
            t
        },
        ..sc
    }
}

/// Runs all seeds, each in its own thread. Returns the results with a hanging parent and with a failing
/// cache.
fn run_all(mode: GossipMode) -> Vec<(Record, Record)> {
    let one = |seed| {
        thread::spawn(move || {
            [true, false].map(|parent_hangs| Fleet::new(scenario(seed, mode, parent_hangs)).run())
        })
    };
    let all: Vec<_> = SEEDS.map(one).collect();
    all.into_iter()
        .map(|t| match t.join() {
            Ok([a, b]) => (a, b),
            Err(_) => panic!("a run ended by a panic"),
        })
        .collect()
}

fn mean(of: impl Iterator<Item = f64>) -> f64 {
    let all: Vec<f64> = of.collect();
    all.iter().sum::<f64>() / all.len().max(1) as f64
}

/// Returns the mean share of the requested value that was served.
fn served_share(of: &[(Record, Record)]) -> f64 {
    mean(of.iter().flat_map(|(a, b)| [a.served_value_share, b.served_value_share]))
}

/// Returns the bytes per second and instance while a parent hangs for all instances during 10 s of 40,
/// measured once nearly all have found one another, and the seconds that that took.
fn gossip_traffic(n: usize) -> (f64, f64) {
    let mut g = GossipSimulation::new(n, 3, 77, NetworkConditions::default());
    let mut joined = 0.0;
    while g.live_counts().iter().any(|l| l * 20 < n * 19) && joined < 150.0 {
        g.run(S);
        joined += 1.0;
    }
    g.run(5 * S);
    let before = g.net.bytes;
    for second in 0..40 {
        for i in 0..n {
            g.set_member_failing(i, gossip_simulation::parent(1), (15..25).contains(&second));
        }
        g.run(S);
    }
    ((g.net.bytes - before) as f64 / 40.0 / n as f64, joined)
}

/// Returns the seconds that the verification of one signature takes.
fn verification_time() -> f64 {
    let own = keys::OwnKey::new(&[1; 32]);
    let peers = (0..4).map(|i| gossip_simulation::peer(i, 1)).chain([threadward_gossip::PeerConfig {
        name: "own".into(),
        addr: gossip_simulation::address(9),
        keys: vec![threadward_gossip::public_key(&[1; 32])],
        seed: false,
    }]);
    let d = keys::Directory::new("own", &own, peers.collect()).unwrap_or_else(|e| panic!("{e}"));
    let head = wire::Head { key: own.id(), start: 1, seq: 2, uptime: 3 };
    let mut bytes = wire::statement(head, &[]);
    bytes.resize(wire::MAX_DATAGRAM_BYTES - keys::SIGNATURE_BYTES, 0);
    own.sign(&mut bytes);
    let (signed, signature) = bytes.split_at(wire::MAX_DATAGRAM_BYTES - keys::SIGNATURE_BYTES);
    let signature: [u8; 64] = signature.try_into().unwrap_or([0; 64]);
    let begun = Instant::now();
    let good = (0..5000).filter(|_| d.verify(own.id(), signed, &signature)).count();
    assert_eq!(good, 5000);
    begun.elapsed().as_secs_f64() / 5000.0
}

/// Returns the share of a core that 100,000 invalid datagrams per second take. Half of them are forged in the
/// name of a known peer and come from its address, so each could cost the verification of a signature. The
/// others come from an unknown address or are malformed.
fn flood_load() -> f64 {
    let settings = Settings::new(
        "n0",
        gossip_simulation::secret(0),
        (0..4).map(|i| gossip_simulation::peer(i, 1)).collect(),
    );
    let mut g = Gossip::new(1_000_000, settings, [5; 32]).unwrap_or_else(|e| panic!("{e}"));
    let key = keys::OwnKey::new(&gossip_simulation::secret(1)).id();
    let me = keys::short_id(b"n0");
    let (near, far) = (gossip_simulation::address(1), SocketAddr::from(([127, 9, 9, 9], 1)));
    let datagrams: Vec<(SocketAddr, Vec<u8>)> = (0..100_000u32)
        .map(|i| {
            let head = wire::Head { key, start: u64::from(i), seq: i, uptime: 0 };
            let mut b = wire::ping(head, me, 1, 1, &[]);
            b.extend_from_slice(&[i as u8; 64]);
            match i % 4 {
                0 | 1 => (near, b),
                2 => (far, b),
                _ => (near, vec![i as u8; 200]),
            }
        })
        .collect();
    let begun = Instant::now();
    let mut out = Output::default();
    for (i, (from, bytes)) in datagrams.iter().enumerate() {
        g.receive(1_000_000 + i as u64 * 10, *from, bytes, &mut out);
    }
    let taken = begun.elapsed().as_secs_f64();
    assert_eq!((g.counts.received, out.send.len()), (0, 0));
    taken
}

fn main() {
    let verify = verification_time();
    let share = flood_load();
    let (small, _) = gossip_traffic(4);
    let big = thread::spawn(|| gossip_traffic(256));
    let [silent, honest, all, one] =
        [GossipMode::Silent, GossipMode::Honest, GossipMode::LiarAll, GossipMode::LiarOne].map(run_all);
    let (large, joined) = big.join().unwrap_or((f64::INFINITY, 0.0));
    let runs = [&silent, &honest, &all, &one];
    let avoid =
        |of: &[(Record, Record)]| mean(of.iter().map(|(a, _)| a.time_until_all_skip(10 * S) as f64 / 1e3));
    let avoid_box =
        |of: &[(Record, Record)]| mean(of.iter().map(|(_, b)| b.time_until_all_skip(10 * S) as f64 / 1e3));
    let each =
        |of: &[(Record, Record)]| of.iter().flat_map(|(a, b)| [a.clone(), b.clone()]).collect::<Vec<_>>();
    for (name, of) in ["silent", "honest", "liar of all hubs", "liar of one"].iter().zip(runs) {
        let all = each(of);
        let (n, bytes): (u64, u64) = all.iter().fold((0, 0), |s, r| (s.0 + r.served, s.1 + r.gossip_bytes));
        println!(
            "{name:18} worth {:.4}  all skip the hub after {:6.0} ms, the box {:6.0} ms  helped {} ({} healthy)  {:.1} B/request",
            served_share(of),
            avoid(of),
            avoid_box(of),
            all.iter().map(|r| r.suspicion_skips_of_failing).sum::<u32>(),
            all.iter().map(|r| r.suspicion_skips_of_healthy).sum::<u32>(),
            bytes as f64 / n.max(1) as f64,
        );
    }
    let bytes = |of: &[(Record, Record)]| {
        let all = each(of);
        let (n, b) = all.iter().fold((0, 0), |s, r| (s.0 + r.served, s.1 + r.gossip_bytes));
        b as f64 / n.max(1) as f64
    };
    println!(
        "bytes a second and instance: {small:.0} at 4, {large:.0} at 256 (all joined after {joined:.0} s)"
    );
    let broken: Vec<String> = runs.iter().flat_map(|of| each(of)).flat_map(|r| r.rule_violations).collect();
    for b in broken.iter().take(10) {
        println!("broken: {b}");
    }
    let lies =
        [&all, &one].into_iter().flat_map(|of| each(of)).map(|r| r.suspicion_skips_of_healthy).sum::<u32>();
    let round = |x: f64, to: f64| (x * to).round() / to;
    let json = serde_json::json!({
        "bytes_per_request": round([&honest, &all, &one].map(|of| bytes(of)).into_iter().fold(0.0, f64::max), 100.0),
        "served_honest": round(served_share(&honest), 1e5),
        "served_liar": round(served_share(&all).min(served_share(&one)), 1e5),
        "served_silent": round(served_share(&silent), 1e5),
        "avoid_ratio": round(avoid(&honest) / avoid(&silent), 1e3),
        "avoid_ratio_box": round(avoid_box(&honest) / avoid_box(&silent), 1e3),
        "false_skips_liar": lies,
        "growth_256_over_4": round(large / small, 1e3),
        "verify_us": round(verify * 1e6, 10.0),
        "flood_core_share": round(share, 1e4),
        "rules_broken": broken.len(),
        "seeds": SEEDS.count(),
    });
    println!("{json}");
    std::process::exit(i32::from(!broken.is_empty()));
}
