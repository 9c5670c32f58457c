//! Budgets divided by sites and regions among proxies that are processes of their own, with a relay between each pair that
//! cuts, drops and delays: what a cache is sent by all of them together never exceeds the whole, and a region that is cut
//! off goes on with its own part.
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
/// Probes of one cache a second that all may make together; alone, each would make five in two seconds.
const WHOLE: usize = 4;
/// The fleet's lease time, the longest: four times that of a site.
const FLEET_LEASE_MS: u64 = 2_400;
/// What all may send in five seconds, one at once from each whose share grows, and one from a process that starts anew.
const MOST: usize = WHOLE * 5 + PROXIES + 1;
/// Between two requests to a proxy: often enough for more probes than its part.
const REQUEST_PAUSE_US: u64 = 5_000;

struct Fleet {
    relay: Relay,
    own: Vec<SocketAddr>,
    proxies: Vec<Process>,
    folder: TempDir,
}

impl Fleet {
    /// Proxies that all know the same caches; `shared`: with budgets.
    fn start(config: impl Fn(SocketAddr) -> String, fronts: &[SocketAddr], shared: bool) -> Fleet {
        let folder = TempDir::new().unwrap();
        std::fs::write(folder.path().join("key"), URL_SAFE_NO_PAD.encode([7; 32])).unwrap();
        let (relay, own) = (Relay::new(5, PROXIES).unwrap(), free_addresses(PROXIES));
        for (place, reached) in relay.udp(&own).unwrap().iter().enumerate() {
            let json = config(fronts[place]).replace("\"name\":\"n0\"", &format!("\"name\":\"n{place}\""));
            std::fs::write(folder.path().join(format!("{place}.json")), json).unwrap();
            let text = if shared { operators_file(reached) } else { String::new() };
            std::fs::write(folder.path().join(format!("{place}.toml")), text).unwrap();
        }
        let proxies = (0..PROXIES).map(|place| spawn(&folder, place)).collect();
        Fleet { relay, own, proxies, folder }
    }

    fn restart(&mut self, place: usize) {
        self.proxies[place] = spawn(&self.folder, place);
    }

    /// Whether a proxy leads this now, by its log.
    fn leads(&self, place: usize, what: &str) -> bool {
        let log = self.proxies[place].output();
        let last = log.lines().rfind(|line| line.ends_with(&format!(" leads {what}")));
        last.is_some_and(|line| !line.contains("no longer"))
    }

    /// The proxies that lead this now.
    fn leaders(&self, what: &str) -> Vec<usize> {
        (0..PROXIES).filter(|place| self.leads(*place, what)).collect()
    }

    /// Whether a proxy holds a lease now, by its log.
    fn leased(&self, place: usize) -> bool {
        let log = self.proxies[place].output();
        let last = log.lines().rfind(|line| line.contains("a share is leased") || line.contains("no lease"));
        last.is_some_and(|line| line.contains("a share is leased"))
    }

    /// Waits until each site, each region and the fleet has one leader, and each proxy a lease.
    async fn settled(&self) {
        for what in ["site ams", "site cph", "site gru", "region north", "region south", "the fleet"] {
            within(&format!("one leader of {what}"), || self.leaders(what).len() == 1).await;
        }
        within("a lease at each", || (0..PROXIES).all(|place| self.leased(place))).await;
    }

    /// Probes that these made since they started.
    async fn probes_of(&self, places: &[usize]) -> u64 {
        let mut sum = 0;
        for place in places {
            sum += read_counter(&self.proxies[*place], "loadProbes").await;
        }
        sum
    }

    /// A leader of a site is killed: another takes over, and the killed process comes back.
    async fn kill_a_site_leader(&mut self) {
        let killed = self.leaders("site gru")[0];
        self.proxies[killed].kill().unwrap();
        within("another leader of the site", || self.leaders("site gru").iter().any(|p| *p != killed)).await;
        within("another leader of the region", || self.leaders("region south").iter().any(|p| *p != killed))
            .await;
        self.restart(killed);
        self.settled().await;
    }

    /// The leader of the fleet stands still over all its leases, and wakes.
    async fn stop_the_fleet_leader(&self) {
        let stopped = self.leaders("the fleet")[0];
        self.proxies[stopped].stop().unwrap();
        within("another leader of the fleet", || self.leaders("the fleet").iter().any(|p| *p != stopped))
            .await;
        wait(FLEET_LEASE_MS).await;
        self.proxies[stopped].cont().unwrap();
        within("the first leads no more", || !self.leads(stopped, "the fleet")).await;
        self.settled().await;
    }

    /// The leader of a region hears all and is heard by nobody.
    async fn cut_a_region_leader_one_way(&self) {
        let mute = self.leaders("region south")[0];
        let others: Vec<usize> = (0..PROXIES).filter(|place| *place != mute).collect();
        for other in &others {
            self.relay.set_fault(mute, *other, Fault { cut: true, ..Fault::default() });
        }
        within("another leader of the region", || self.leaders("region south").iter().any(|p| *p != mute))
            .await;
        within("the first leads no more", || !self.leads(mute, "region south")).await;
        wait(FLEET_LEASE_MS).await;
        others.iter().for_each(|other| self.relay.set_fault(mute, *other, Fault::default()));
        self.settled().await;
    }

    /// A region without the other goes on with its own part, which is far above the floors of its proxies.
    async fn cut_a_region_off(&self) {
        self.relay.cut(&NORTH, &SOUTH);
        // What it held from the fleet is over.
        wait(2 * FLEET_LEASE_MS).await;
        // Its part is a probe a second; the floors of its four together would take 400 seconds for as many.
        let (before, end) = (self.probes_of(&SOUTH).await, now() + 40_000_000);
        while self.probes_of(&SOUTH).await < before + 4 {
            assert!(now() < end, "no more than the floors of its proxies");
            wait(200).await;
        }
        within("it is led on", || self.leaders("region south").len() == 1).await;
        within("its proxies hold leases", || SOUTH.iter().all(|place| self.leased(*place))).await;
        let fleet = self.leaders("the fleet");
        assert!(
            fleet.iter().all(|place| NORTH.contains(place)),
            "the fleet's voter is in the north: {fleet:?}"
        );
        self.relay.heal(&NORTH, &SOUTH);
        self.settled().await;
    }

    /// One message in three lost, the others late.
    async fn lose_and_delay(&self) {
        let (delay, jitter) = (Duration::from_millis(30), Duration::from_millis(30));
        self.relay.set_all_faults(|_, _| Fault { drop: 1.0 / 3.0, delay, jitter, ..Fault::default() });
        wait(2 * FLEET_LEASE_MS).await;
        self.relay.set_all_faults(|_, _| Fault::default());
        self.settled().await;
    }

    /// Somebody without the key asks for everything in the name of a proxy.
    async fn forge(&self) {
        let before = read_counter(&self.proxies[0], "budgetForged").await;
        let (level, group, seat) = (Level::Site, 0, 0);
        let mut forged = Frame { level, group, seat, hops: 0, origin: 1, message: &[6; 11] }.encode();
        forged.extend([0; 16]);
        UdpSocket::bind("127.0.0.1:0").unwrap().send_to(&forged, self.own[0]).unwrap();
        wait(200).await;
        assert_eq!(read_counter(&self.proxies[0], "budgetForged").await, before + 1);
    }

    /// What was counted agrees with what was to be seen, and a planned end is one.
    async fn counters_and_end(&self) {
        for place in 0..PROXIES {
            assert_eq!(read_counter(&self.proxies[place], "budgetMalformed").await, 0, "of {place}");
            assert!(read_counter(&self.proxies[place], "budgetBytes").await > 0, "of {place}");
        }
        for (what, name) in [
            ("the fleet", "budgetElected"),
            ("region south", "budgetRegionElected"),
            ("site gru", "budgetSiteElected"),
        ] {
            assert!(read_counter(&self.proxies[self.leaders(what)[0]], name).await > 0, "{name}");
        }
        let leaving = self.leaders("site gru")[0];
        self.proxies[leaving].term().unwrap();
        within("its end", || self.proxies[leaving].exit_status().is_some()).await;
        within("another leader of the site", || self.leaders("site gru").iter().any(|p| *p != leaving)).await;
    }
}

fn spawn(folder: &TempDir, place: usize) -> Process {
    let file = |kind: &str| folder.path().join(format!("{place}.{kind}"));
    let start = ProcessBuilder::new(env!("CARGO_BIN_EXE_threadward")).arg("--fronts").arg(file("toml"));
    start.env("LB_CONFIG", file("json")).spawn().unwrap()
}

/// Sites of 3, 1 and 4 in two regions; `reached` is where this proxy reaches each.
fn operators_file(reached: &[SocketAddr]) -> String {
    let mut text =
        format!("[budgets]\nsecret_file = \"key\"\nlease_ms = 600\nprobes_per_cache_s = {WHOLE}\n");
    for (place, (address, (region, site))) in reached.iter().zip(LOCATIONS).enumerate() {
        text += &format!("[[budgets.proxy]]\nname = \"n{place}\"\naddress = \"{address}\"\n");
        text += &format!("region = \"{region}\"\nsite = \"{site}\"\n");
    }
    text
}

async fn wait(ms: u64) {
    sleep_until(now() + ms * 1000).await;
}

/// Waits until something holds; the bound only ends a test that fails.
async fn within(what: &str, mut holds: impl FnMut() -> bool) {
    let end = now() + 40_000_000;
    while !holds() {
        assert!(now() < end, "never came: {what}");
        wait(20).await;
    }
}

/// A fleet under load whose probes of one cache are watched.
async fn begin(ex: &'static async_executor::LocalExecutor<'static>, shared: bool) -> (Fleet, ProbeTimes) {
    let cache = start_cache(ex);
    *cache.behavior.borrow_mut() = served();
    let (_, _, bulletin) = start_discovery(ex);
    let servers = [
        server_entry("s-0", cache.addr, "std", "active", 0),
        server_entry("origin", ([127, 0, 0, 1], 9).into(), "origin", "active", 0),
    ];
    let config = |front| {
        let json = configuration(front, bulletin, &servers);
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
fn all_together_keep_to_the_whole_whatever_becomes_of_leaders_and_regions() {
    run(|ex| async move {
        let (mut fleet, times) = begin(ex, true).await;
        fleet.settled().await;
        wait(2_000).await;
        fleet.kill_a_site_leader().await;
        fleet.stop_the_fleet_leader().await;
        fleet.cut_a_region_leader_one_way().await;
        fleet.cut_a_region_off().await;
        fleet.lose_and_delay().await;
        fleet.forge().await;
        fleet.counters_and_end().await;
        let times = times.borrow();
        assert!(times.len() >= 20, "{} probes: hardly any", times.len());
        let seen = max_probes_in_5_seconds(&times);
        println!("{seen} probes in the densest five seconds, {MOST} at most; {} in all", times.len());
        assert!(seen <= MOST, "{seen} probes in five seconds, {MOST} at most");
    });
}

#[test]
fn without_shared_budgets_each_takes_its_own() {
    run(|ex| async move {
        let (fleet, times) = begin(ex, false).await;
        wait(6_000).await;
        let seen = max_probes_in_5_seconds(&times.borrow());
        assert!(seen > MOST, "{seen} probes in five seconds: the test of the whole could not fail");
        drop(fleet);
    });
}
