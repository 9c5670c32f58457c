//! Budgets shared by proxies that are processes of their own, with a relay between each pair that drops, delays and cuts:
//! what a cache is sent by all of them together never exceeds the whole.
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
/// Probes of one cache a second that all may make together; alone, each would make five in two seconds.
const WHOLE: u64 = 2;

/// Between two requests to a proxy, so that each would probe as often as it may.
const REQUEST_PAUSE_US: u64 = 2_000;

struct Fleet {
    relay: Relay,
    own: Vec<SocketAddr>,
    proxies: Vec<Process>,
    /// Goes after them.
    _folder: TempDir,
}

impl Fleet {
    /// Proxies that all know the same caches; `shared`: with budgets.
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
                format!("[budgets]\nsecret_file = \"key\"\nlease_ms = 600\nprobes_per_cache_s = {WHOLE}\n");
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

    /// The places that divide now, by their logs.
    fn dividing(&self) -> Vec<usize> {
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

fn caught(shared: bool, faults: bool) -> usize {
    let most = std::rc::Rc::new(std::cell::Cell::new(0));
    let out = most.clone();
    run(|ex| async move {
        let c = start_cache(ex);
        *c.behavior.borrow_mut() =
            CacheBehavior::Answer("served", "version=4be0c1927d55a6f3,stamp=1,detail=HIT", b"whole".to_vec());
        let (_, _, bulletin) = start_discovery(ex);
        let servers = [
            server_entry("s-0", c.addr, "std", "active", 0),
            server_entry("origin", ([127, 0, 0, 1], 9).into(), "origin", "active", 0),
        ];
        let config = |front| {
            let json = configuration(front, bulletin, &servers);
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
            wait_until("one that divides", || fleet.dividing().len() == 1).await;
        }
        wait(2_500).await;
        if faults {
            let first = fleet.dividing()[0];
            // The one that divides is cut off: the other two go on with another, and it with its floor.
            let others: Vec<usize> = (0..PROXIES).filter(|i| *i != first).collect();
            fleet.relay.cut(&[first], &others);
            wait_until("another that divides", || fleet.dividing().iter().any(|i| *i != first)).await;
            wait_until("the first without authority", || !fleet.dividing().contains(&first)).await;
            wait(1_500).await;
            // One message in three lost, the others late by half a lease time's third.
            let delay = Duration::from_millis(80);
            fleet.relay.set_all_faults(|_, _| Fault { drop: 1.0 / 3.0, delay, ..Fault::default() });
            wait(2_000).await;
            fleet.relay.set_all_faults(|_, _| Fault::default());
            // A holder stopped over the end of its lease, and woken.
            wait_until("one that divides", || fleet.dividing().len() == 1).await;
            let held = (fleet.dividing()[0] + 1) % PROXIES;
            fleet.proxies[held].stop().unwrap();
            wait(1_500).await;
            fleet.proxies[held].cont().unwrap();
            wait(1_500).await;
            // Somebody without the key asks for everything in the name of a proxy.
            let wants =
                wire::Body::LeaseRequest { request_id: 1_000_000, held_request: 0, demands: vec![u32::MAX] };
            let mut forged = wire::write(wire::Author { index: 1, incarnation: 9 }, &wants);
            forged.extend([0; 16]);
            UdpSocket::bind("127.0.0.1:0").unwrap().send_to(&forged, fleet.own[0]).unwrap();
            wait(100).await;
            assert_eq!(read_counter(&fleet.proxies[0], "budgetForged").await, 1);
        }
        let times = times.borrow();
        assert!(times.len() >= 5, "{} probes: hardly any", times.len());
        out.set(max_probes_in_5_seconds(&times));
    });
    most.get()
}

#[test]
fn all_together_keep_to_the_whole_through_cuts_losses_delays_and_pauses() {
    // What all may send in five seconds, and one at once from each whose share grows.
    let most = WHOLE as usize * 5 + PROXIES;
    let seen = caught(true, true);
    assert!(seen <= most, "{seen} probes in five seconds, {most} at most");
}

#[test]
fn without_shared_budgets_each_takes_its_own() {
    let most = WHOLE as usize * 5 + PROXIES;
    let seen = caught(false, false);
    assert!(seen > most, "{seen} probes in five seconds: the test of the whole could not fail");
}

#[rstest]
#[case::no_proxy("", "no proxy")]
#[case::unknown_word("leases = 3\n", "'leases' is not known")]
#[case::not_among_them(&PROXY.replace("n0", "n9"), "no proxy has this one's name")]
#[case::twice(&format!("{PROXY}{PROXY}"), "stands twice")]
#[case::no_address("[[budgets.proxy]]\nname = \"n0\"\n", "'address' is missing")]
#[case::no_voter(&PROXY.replace("voter = true", ""), "0 voters")]
#[case::two_voters(&format!("{PROXY}{}", PROXY.replace("n0", "n1")), "2 voters")]
fn a_bad_file_is_one_clear_line(#[case] rest: &str, #[case] says: &str) {
    // A folder for each case: they run side by side.
    let folder = TempDir::new().unwrap();
    std::fs::write(folder.path().join("key"), URL_SAFE_NO_PAD.encode([7; 32])).unwrap();
    let head = "[budgets]\nsecret_file = \"key\"\nlease_ms = 600\nprobes_per_cache_s = 2\n";
    let read = |rest: &str| threadward::operators::parse_text(&format!("{head}{rest}"), "n0", folder.path());
    let error = read(rest).err().unwrap();
    assert!(error.starts_with("[budgets]: ") && error.contains(says) && !error.contains('\n'), "{error}");
    assert!(read(PROXY).is_ok_and(|f| f.budgets.is_some()));
}

const PROXY: &str = "[[budgets.proxy]]\nname = \"n0\"\naddress = \"127.0.0.1:7000\"\nvoter = true\n";
