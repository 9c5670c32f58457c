//! Budgets divided by regions and sites among proxies that are processes of their own, with a relay between
//! each pair that cuts, drops and delays: the probes that all of them together send to a cache never exceed
//! the shared budget, and a region that is cut off goes on with its own part.
mod common;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use common::probes::{keep_requesting, max_probes_in_5_seconds, record_probes, ProbeTimes};
use common::*;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;
use tempfile::TempDir;
use threadward::net::{now, sleep_until};
use threadward_control::frame::Frame;
use threadward_control::Level;
use threadward_faults::{Fault, Process, ProcessBuilder, Relay};

/// Region and site of each proxy.
const LOCATIONS: [(&str, &str); PROXIES] = [
    ("north", "ams"),
    ("north", "ams"),
    ("north", "ams"),
    ("north", "cph"),
    ("south", "gru"),
    ("south", "gru"),
    ("south", "gru"),
    ("south", "gru"),
];
const PROXIES: usize = 8;
const NORTH: [usize; 4] = [0, 1, 2, 3];
const SOUTH: [usize; 4] = [4, 5, 6, 7];
/// Probes of one cache a second that all proxies may make together. Without shared budgets, each would make
/// five in two seconds.
const TOTAL_PROBES_PER_S: usize = 4;
/// The lease time at the level of the fleet, which is the longest: four times that of a site.
const FLEET_LEASE_MS: u64 = 2_400;
/// The most probes that all may send in five seconds, with one at once from each proxy whose share grows and
/// one from a process that restarts.
const MAX_PROBES_IN_5_S: usize = TOTAL_PROBES_PER_S * 5 + PROXIES + 1;
/// The pause between two requests to a proxy, short enough for more probes than its part of the budget.
const REQUEST_PAUSE_US: u64 = 5_000;

/// Eight proxies and the relay between them.
struct Fleet {
    relay: Relay,
    own: Vec<SocketAddr>,
    proxies: Vec<Process>,
    folder: TempDir,
}

impl Fleet {
    /// Starts proxies that all know the same caches; `shared`: with shared budgets.
    fn start(config: impl Fn(SocketAddr) -> String, fronts: &[SocketAddr], shared: bool) -> Fleet {
        let folder = TempDir::new().unwrap();
        std::fs::write(folder.path().join("key"), URL_SAFE_NO_PAD.encode([7; 32])).unwrap();
        let (relay, own) = (Relay::new(5, PROXIES).unwrap(), free_addresses(PROXIES));
        for (index, reached) in relay.udp(&own).unwrap().iter().enumerate() {
            let json = config(fronts[index]).replace("\"name\":\"n0\"", &format!("\"name\":\"n{index}\""));
            std::fs::write(folder.path().join(format!("{index}.json")), json).unwrap();
            let text = if shared { operators_file(reached) } else { String::new() };
            std::fs::write(folder.path().join(format!("{index}.toml")), text).unwrap();
        }
        let proxies = (0..PROXIES).map(|index| spawn(&folder, index)).collect();
        Fleet { relay, own, proxies, folder }
    }

    /// Starts a proxy's process again.
    fn restart(&mut self, index: usize) {
        self.proxies[index] = spawn(&self.folder, index);
    }

    /// Returns whether a proxy leads a site, a region or the fleet now, by its log.
    fn leads(&self, index: usize, scope: &str) -> bool {
        let log = self.proxies[index].output();
        let last = log.lines().rfind(|line| line.ends_with(&format!(" leads {scope}")));
        last.is_some_and(|line| !line.contains("no longer"))
    }

    /// Returns the proxies that lead a site, a region or the fleet now, by their logs.
    fn leaders(&self, scope: &str) -> Vec<usize> {
        (0..PROXIES).filter(|index| self.leads(*index, scope)).collect()
    }

    /// Returns whether a proxy holds a lease now, by its log.
    fn has_lease(&self, index: usize) -> bool {
        let log = self.proxies[index].output();
        let last = log.lines().rfind(|line| line.contains("a share is leased") || line.contains("no lease"));
        last.is_some_and(|line| line.contains("a share is leased"))
    }

    /// Waits until each site, each region and the fleet has one leader, and each proxy a lease.
    async fn wait_until_settled(&self) {
        for scope in ["site ams", "site cph", "site gru", "region north", "region south", "the fleet"] {
            wait_for(&format!("one leader of {scope}"), || self.leaders(scope).len() == 1).await;
        }
        wait_for("a lease at each", || (0..PROXIES).all(|index| self.has_lease(index))).await;
    }

    /// Returns how many probes these proxies have made since they started.
    async fn probes_of(&self, indices: &[usize]) -> u64 {
        let mut sum = 0;
        for index in indices {
            sum += read_counter(&self.proxies[*index], "loadProbes").await;
        }
        sum
    }

    /// Kills the leader of a site: another proxy takes over, and the killed process restarts.
    async fn kill_a_site_leader(&mut self) {
        let killed = self.leaders("site gru")[0];
        self.proxies[killed].kill().unwrap();
        wait_for("another leader of the site", || self.leaders("site gru").iter().any(|p| *p != killed))
            .await;
        wait_for("another leader of the region", || {
            self.leaders("region south").iter().any(|p| *p != killed)
        })
        .await;
        self.restart(killed);
        self.wait_until_settled().await;
    }

    /// Stops the leader of the fleet until all its leases have ended, and lets it continue.
    async fn stop_the_fleet_leader(&self) {
        let stopped = self.leaders("the fleet")[0];
        self.proxies[stopped].stop().unwrap();
        wait_for("another leader of the fleet", || self.leaders("the fleet").iter().any(|p| *p != stopped))
            .await;
        wait(FLEET_LEASE_MS).await;
        self.proxies[stopped].cont().unwrap();
        wait_for("the first one no longer leads", || !self.leads(stopped, "the fleet")).await;
        self.wait_until_settled().await;
    }

    /// Cuts the messages that the leader of a region sends, while it still receives all.
    async fn cut_a_region_leader_one_way(&self) {
        let unheard = self.leaders("region south")[0];
        let others: Vec<usize> = (0..PROXIES).filter(|index| *index != unheard).collect();
        for other in &others {
            self.relay.set_fault(unheard, *other, Fault { cut: true, ..Fault::default() });
        }
        wait_for("another leader of the region", || {
            self.leaders("region south").iter().any(|p| *p != unheard)
        })
        .await;
        wait_for("the first one no longer leads", || !self.leads(unheard, "region south")).await;
        wait(FLEET_LEASE_MS).await;
        others.iter().for_each(|other| self.relay.set_fault(unheard, *other, Fault::default()));
        self.wait_until_settled().await;
    }

    /// Cuts off a region, which goes on with its own part; that is far above the floors of its proxies.
    async fn cut_off_a_region(&self) {
        self.relay.cut(&NORTH, &SOUTH);
        // Waits until the lease that it held from the fleet has ended.
        wait(2 * FLEET_LEASE_MS).await;
        // Its part is one probe a second; the floors of its four proxies together would take 400 seconds for
        // as many.
        let (before, end) = (self.probes_of(&SOUTH).await, now() + 40_000_000);
        while self.probes_of(&SOUTH).await < before + 4 {
            assert!(now() < end, "no more than the floors of its proxies");
            wait(200).await;
        }
        wait_for("the region keeps a leader", || self.leaders("region south").len() == 1).await;
        wait_for("its proxies hold leases", || SOUTH.iter().all(|index| self.has_lease(*index))).await;
        let fleet = self.leaders("the fleet");
        assert!(
            fleet.iter().all(|index| NORTH.contains(index)),
            "the fleet's voter is in the north: {fleet:?}"
        );
        self.relay.heal(&NORTH, &SOUTH);
        self.wait_until_settled().await;
    }

    /// Drops one message in three and delays the others.
    async fn drop_and_delay_messages(&self) {
        let (delay, jitter) = (Duration::from_millis(30), Duration::from_millis(30));
        self.relay.set_all_faults(|_, _| Fault { drop: 1.0 / 3.0, delay, jitter, ..Fault::default() });
        wait(2 * FLEET_LEASE_MS).await;
        self.relay.set_all_faults(|_, _| Fault::default());
        self.wait_until_settled().await;
    }

    /// Sends a request for everything in the name of a proxy, without the key; it has to be counted as
    /// forged.
    async fn send_forged_request(&self) {
        let before = read_counter(&self.proxies[0], "budgetForged").await;
        let (level, group, seat) = (Level::Site, 0, 0);
        let mut forged = Frame { level, group, seat, hops: 0, origin: 1, message: &[6; 11] }.encode();
        forged.extend([0; 16]);
        UdpSocket::bind("127.0.0.1:0").unwrap().send_to(&forged, self.own[0]).unwrap();
        wait(200).await;
        assert_eq!(read_counter(&self.proxies[0], "budgetForged").await, before + 1);
    }

    /// Checks that the counters agree with what happened, and that another proxy takes over from a leader
    /// that is ended.
    async fn check_counters_and_planned_end(&self) {
        for index in 0..PROXIES {
            assert_eq!(read_counter(&self.proxies[index], "budgetMalformed").await, 0, "of {index}");
            assert!(read_counter(&self.proxies[index], "budgetBytes").await > 0, "of {index}");
        }
        for (scope, name) in [
            ("the fleet", "budgetElected"),
            ("region south", "budgetRegionElected"),
            ("site gru", "budgetSiteElected"),
        ] {
            assert!(read_counter(&self.proxies[self.leaders(scope)[0]], name).await > 0, "{name}");
        }
        let leaving = self.leaders("site gru")[0];
        self.proxies[leaving].term().unwrap();
        wait_for("its end", || self.proxies[leaving].exit_status().is_some()).await;
        wait_for("another leader of the site", || self.leaders("site gru").iter().any(|p| *p != leaving))
            .await;
    }
}

/// Starts the process of a proxy.
fn spawn(folder: &TempDir, index: usize) -> Process {
    let file = |kind: &str| folder.path().join(format!("{index}.{kind}"));
    let start = ProcessBuilder::new(env!("CARGO_BIN_EXE_threadward")).arg("--fronts").arg(file("toml"));
    start.env("LB_CONFIG", file("json")).spawn().unwrap()
}

/// Returns the operators' file for sites of 3, 1 and 4 proxies in two regions; `reached` has the addresses at
/// which this proxy reaches each.
fn operators_file(reached: &[SocketAddr]) -> String {
    let mut text = format!(
        "[budgets]\nsecret_file = \"key\"\nlease_ms = 600\nprobes_per_cache_s = {TOTAL_PROBES_PER_S}\n"
    );
    for (index, (address, (region, site))) in reached.iter().zip(LOCATIONS).enumerate() {
        text += &format!("[[budgets.proxy]]\nname = \"n{index}\"\naddress = \"{address}\"\n");
        text += &format!("region = \"{region}\"\nsite = \"{site}\"\n");
    }
    text
}

async fn wait(ms: u64) {
    sleep_until(now() + ms * 1000).await;
}

/// Waits until a condition holds. The bound is so long that only a test that fails reaches it.
async fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let end = now() + 40_000_000;
    while !condition() {
        assert!(now() < end, "never came: {what}");
        wait(20).await;
    }
}

/// Starts a fleet under load and records its probes of one cache.
async fn start_fleet_under_load(
    ex: &'static async_executor::LocalExecutor<'static>,
    shared: bool,
) -> (Fleet, ProbeTimes) {
    let cache = start_cache(ex);
    *cache.behavior.borrow_mut() = served();
    let (_, _, discovery_addr) = start_discovery(ex);
    let servers = [
        server_entry("s-0", cache.addr, "std", "active", 0),
        server_entry("origin", ([127, 0, 0, 1], 9).into(), "origin", "active", 0),
    ];
    let config = |front| {
        let json = configuration(front, discovery_addr, &servers);
        json.replace("inline", "on_probe").replace(r#""cancel""#, r#""probes":true,"cancel""#)
    };
    let fronts = free_addresses(PROXIES);
    let fleet = Fleet::start(config, &fronts, shared);
    for proxy in &fleet.proxies {
        wait_for_log(proxy, "start: ").await;
    }
    let times = record_probes(ex, &cache);
    fronts.iter().for_each(|front| keep_requesting(ex, *front, REQUEST_PAUSE_US));
    (fleet, times)
}

#[test]
fn the_fleet_keeps_to_the_shared_budget_whatever_happens_to_leaders_and_regions() {
    run(|ex| async move {
        let (mut fleet, times) = start_fleet_under_load(ex, true).await;
        fleet.wait_until_settled().await;
        wait(2_000).await;
        fleet.kill_a_site_leader().await;
        fleet.stop_the_fleet_leader().await;
        fleet.cut_a_region_leader_one_way().await;
        fleet.cut_off_a_region().await;
        fleet.drop_and_delay_messages().await;
        fleet.send_forged_request().await;
        fleet.check_counters_and_planned_end().await;
        let times = times.borrow();
        assert!(times.len() >= 20, "only {} probes", times.len());
        let observed = max_probes_in_5_seconds(&times);
        println!(
            "{observed} probes in the densest five seconds, {MAX_PROBES_IN_5_S} at most; {} in all",
            times.len()
        );
        assert!(
            observed <= MAX_PROBES_IN_5_S,
            "{observed} probes in five seconds, {MAX_PROBES_IN_5_S} at most"
        );
    });
}

#[test]
fn without_shared_budgets_each_proxy_uses_its_own() {
    run(|ex| async move {
        let (fleet, times) = start_fleet_under_load(ex, false).await;
        wait(6_000).await;
        let observed = max_probes_in_5_seconds(&times.borrow());
        assert!(
            observed > MAX_PROBES_IN_5_S,
            "{observed} probes in five seconds: the test of the shared budget could not fail"
        );
        drop(fleet);
    });
}
