//! Budgets shared by proxies that are processes of their own, with a relay between each pair that drops,
//! delays and cuts: the probes that all of them together send to a cache never exceed the shared budget.
mod common;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use common::probes::{keep_requesting, max_probes_in_5_seconds, record_probes};
use common::*;
use rstest::rstest;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;
use tempfile::TempDir;
use threadward::net::{now, sleep_until};
use threadward_budgets::wire;
use threadward_faults::{Fault, Process, ProcessBuilder, Relay};

const PROXIES: usize = 3;
/// Probes of one cache a second that all proxies may make together. Without shared budgets, each would make
/// five in two seconds.
const TOTAL_PROBES_PER_S: u64 = 2;

/// The pause between two requests to a proxy, so short that each proxy would probe as often as it may.
const REQUEST_PAUSE_US: u64 = 2_000;

/// Proxies and the relay between them.
struct Fleet {
    relay: Relay,
    own: Vec<SocketAddr>,
    proxies: Vec<Process>,
    /// Dropped after the processes, which use it.
    _folder: TempDir,
}

impl Fleet {
    /// Starts proxies that all know the same caches; `shared`: with shared budgets.
    fn start(config: impl Fn(SocketAddr) -> String, fronts: &[SocketAddr], shared: bool) -> Fleet {
        let folder = TempDir::new().unwrap();
        let file = |name: String| folder.path().join(name);
        std::fs::write(file("key".into()), URL_SAFE_NO_PAD.encode([7; 32])).unwrap();
        let (relay, own) = (Relay::new(5, fronts.len()).unwrap(), free_addresses(fronts.len()));
        let mut proxies = Vec::new();
        for (a, reached) in relay.udp(&own).unwrap().iter().enumerate() {
            let json = config(fronts[a]).replace("\"name\":\"n0\"", &format!("\"name\":\"n{a}\""));
            std::fs::write(file(format!("{a}.json")), json).unwrap();
            let mut text =
                format!("[budgets]\nsecret_file = \"key\"\nlease_ms = 600\nprobes_per_cache_s = {TOTAL_PROBES_PER_S}\n");
            for (b, at) in reached.iter().enumerate() {
                text += &format!("[[budgets.proxy]]\nname = \"n{b}\"\naddress = \"{at}\"\nvoter = true\n");
            }
            std::fs::write(file(format!("{a}.toml")), if shared { &text } else { "" }).unwrap();
            let start = ProcessBuilder::new(env!("CARGO_BIN_EXE_threadward"))
                .arg("--fronts")
                .arg(file(format!("{a}.toml")));
            proxies.push(start.env("LB_CONFIG", file(format!("{a}.json"))).spawn().unwrap());
        }
        Fleet { relay, own, proxies, _folder: folder }
    }

    /// Returns the proxies that are coordinators now, by their logs.
    fn coordinators(&self) -> Vec<usize> {
        let said = |i: &usize| {
            let log = self.proxies[*i].output();
            let last =
                log.lines().rfind(|l| l.contains("budgets: this proxy") || l.contains("no longer divided"));
            last.is_some_and(|l| l.contains("this proxy divides"))
        };
        (0..self.proxies.len()).filter(said).collect()
    }
}

async fn wait(ms: u64) {
    sleep_until(now() + ms * 1000).await;
}

/// Runs a fleet, with shared budgets and faults or without, and returns the most probes of its cache in five
/// seconds.
fn run_fleet(shared: bool, inject_faults: bool) -> usize {
    let max_probes = std::rc::Rc::new(std::cell::Cell::new(0));
    let result = max_probes.clone();
    run(|ex| async move {
        let c = start_cache(ex);
        *c.behavior.borrow_mut() =
            CacheBehavior::Answer("served", "version=4be0c1927d55a6f3,stamp=1,detail=HIT", b"whole".to_vec());
        let (_, _, discovery_addr) = start_discovery(ex);
        let servers = [
            server_entry("s-0", c.addr, "std", "active", 0),
            server_entry("origin", ([127, 0, 0, 1], 9).into(), "origin", "active", 0),
        ];
        let config = |front| {
            let json = configuration(front, discovery_addr, &servers);
            json.replace("inline", "on_probe").replace(r#""cancel""#, r#""probes":true,"cancel""#)
        };
        let fronts = free_addresses(PROXIES);
        let fleet = Fleet::start(config, &fronts, shared);
        for p in &fleet.proxies {
            wait_for_log(p, "start: ").await;
        }
        wait(300).await;
        let times = record_probes(ex, &c);
        fronts.iter().for_each(|f| keep_requesting(ex, *f, REQUEST_PAUSE_US));
        if shared {
            wait_until("one coordinator", || fleet.coordinators().len() == 1).await;
        }
        wait(2_500).await;
        if inject_faults {
            let first = fleet.coordinators()[0];
            // The coordinator is cut off: the other two go on with another one, and it with its floor alone.
            let others: Vec<usize> = (0..PROXIES).filter(|i| *i != first).collect();
            fleet.relay.cut(&[first], &others);
            wait_until("another coordinator", || fleet.coordinators().iter().any(|i| *i != first)).await;
            wait_until("the first one is no longer coordinator", || !fleet.coordinators().contains(&first))
                .await;
            wait(1_500).await;
            // One message in three is lost, the others are late by 80 ms, less than half of a third of the
            // lease time.
            let delay = Duration::from_millis(80);
            fleet.relay.set_all_faults(|_, _| Fault { drop: 1.0 / 3.0, delay, ..Fault::default() });
            wait(2_000).await;
            fleet.relay.set_all_faults(|_, _| Fault::default());
            // A holder of a lease is stopped until after the lease's end, and continues.
            wait_until("one coordinator", || fleet.coordinators().len() == 1).await;
            let stopped_holder = (fleet.coordinators()[0] + 1) % PROXIES;
            fleet.proxies[stopped_holder].stop().unwrap();
            wait(1_500).await;
            fleet.proxies[stopped_holder].cont().unwrap();
            wait(1_500).await;
            // A sender without the key requests everything in the name of a proxy.
            let lease_request =
                wire::Body::LeaseRequest { request_id: 1_000_000, held_request: 0, demands: vec![u32::MAX] };
            let mut forged = wire::write(wire::Author { index: 1, incarnation: 9 }, &lease_request);
            forged.extend([0; 16]);
            UdpSocket::bind("127.0.0.1:0").unwrap().send_to(&forged, fleet.own[0]).unwrap();
            wait(100).await;
            assert_eq!(read_counter(&fleet.proxies[0], "budgetForged").await, 1);
        }
        let times = times.borrow();
        assert!(times.len() >= 5, "only {} probes", times.len());
        result.set(max_probes_in_5_seconds(&times));
    });
    max_probes.get()
}

#[test]
fn the_fleet_keeps_to_the_shared_budget_through_cuts_losses_delays_and_pauses() {
    // What all may send in five seconds, and one at once from each proxy whose share grows.
    let max_allowed = TOTAL_PROBES_PER_S as usize * 5 + PROXIES;
    let observed = run_fleet(true, true);
    assert!(observed <= max_allowed, "{observed} probes in five seconds, {max_allowed} at most");
}

#[test]
fn without_shared_budgets_each_proxy_uses_its_own() {
    let max_allowed = TOTAL_PROBES_PER_S as usize * 5 + PROXIES;
    let observed = run_fleet(false, false);
    assert!(
        observed > max_allowed,
        "{observed} probes in five seconds: the test of the shared budget could not fail"
    );
}

#[rstest]
#[case::no_proxy("", "no proxy")]
#[case::unknown_word("leases = 3\n", "'leases' is not known")]
#[case::not_among_them(&PROXY_ENTRY.replace("n0", "n9"), "no proxy has this one's name")]
#[case::twice(&format!("{PROXY_ENTRY}{PROXY_ENTRY}"), "stands twice")]
#[case::no_address("[[budgets.proxy]]\nname = \"n0\"\n", "'address' is missing")]
#[case::no_voter(&PROXY_ENTRY.replace("voter = true", ""), "0 voters")]
#[case::two_voters(&format!("{PROXY_ENTRY}{}", PROXY_ENTRY.replace("n0", "n1")), "2 voters")]
fn a_bad_file_is_refused_in_one_clear_line(#[case] rest: &str, #[case] says: &str) {
    // Each case has its own folder, because the cases run in parallel.
    let folder = TempDir::new().unwrap();
    std::fs::write(folder.path().join("key"), URL_SAFE_NO_PAD.encode([7; 32])).unwrap();
    let head = "[budgets]\nsecret_file = \"key\"\nlease_ms = 600\nprobes_per_cache_s = 2\n";
    let read = |rest: &str| threadward::operators::parse_text(&format!("{head}{rest}"), "n0", folder.path());
    let error = read(rest).err().unwrap();
    assert!(error.starts_with("[budgets]: ") && error.contains(says) && !error.contains('\n'), "{error}");
    assert!(read(PROXY_ENTRY).is_ok_and(|f| f.budgets.is_some()));
}

const PROXY_ENTRY: &str = "[[budgets.proxy]]\nname = \"n0\"\naddress = \"127.0.0.1:7000\"\nvoter = true\n";
