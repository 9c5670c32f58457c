//! Decisions on zones between proxies that are processes of their own: a parent zone that fails, comes back,
//! comes back cold and fails again, a coordinator that is stopped during a return, a network cut, a peer that
//! lies, two parent zones that fail at once, and a restart of all proxies.
mod common;
use async_executor::LocalExecutor;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use common::*;
use ed25519_dalek::{SigningKey, VerifyingKey};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use tempfile::TempDir;
use threadward::net::{now, sleep_until, Signal};
use threadward_faults::{Process, ProcessBuilder, Relay};
use threadward_gossip::public_key;
use threadward_zones::map::{Epoch, Map};
use threadward_zones::state::State;
use threadward_zones::wire::Body;
use threadward_zones::{wire, Author, ZoneObservation};

type Ex = &'static LocalExecutor<'static>;

/// How many proxies run. The operators' files name one more, the last.
const PROXIES: usize = 5;
/// The index of the proxy that is absent or the lying peer.
const LYING_PEER: usize = PROXIES;
/// The index of the locations' caches in the relay.
const CACHES_INDEX: usize = PROXIES + 1;
/// Names of the zones: two parent zones and two locations.
const ZONES: [&str; 4] = ["north", "south", "east", "west"];
const EAST: usize = 2;
const WEST: usize = 3;

/// The state that all members of zones share: the first letters of the zones that fail, and which member was
/// sent a request or used as its source, and when.
#[derive(Default)]
struct ZoneMembers {
    failed_zones: Cell<&'static str>,
    uses: RefCell<Vec<(u64, String)>>,
}

impl ZoneMembers {
    /// Returns whether the zone of a member fails.
    fn has_failed(&self, id: &str) -> bool {
        self.failed_zones.get().contains(&id[..1])
    }

    /// Answers a request. A member holds every fourth segment and fills the others from the source that the
    /// request names.
    fn answer(&self, id: &str, parts: &[&[u8]]) -> Option<Vec<u8>> {
        let text: Vec<_> = parts.iter().map(|p| String::from_utf8_lossy(p)).collect();
        let [word, call, fields, _] = &text[..] else { return None };
        if word != "serve" {
            return None;
        }
        let field = |name| threadward::wire::find_field(fields, name);
        let part: u32 = field("blk").unwrap().parse().unwrap();
        let source = field("fetch").filter(|_| !part.is_multiple_of(4)).unwrap_or(id);
        self.uses.borrow_mut().push((now(), source.to_owned()));
        let (status, detail) = match source {
            _ if self.has_failed(source) => ("crashed", "UP_DOWN"),
            _ if source == id => ("served", "HIT"),
            "origin" => ("served", "MISS_ORIGIN"),
            _ => ("served", "MISS"),
        };
        let rest = format!("version=4be0c1927d55a6f3,stamp=1,detail={detail}");
        let answer = [call.as_bytes(), status.as_bytes(), rest.as_bytes(), b"whole"];
        Some(threadward::wire::encode_resp(&answer))
    }
}

/// Starts a member of a zone and returns its address; the first letter of its id is that of the zone.
fn start_member(ex: Ex, zone_members: &Rc<ZoneMembers>, id: &'static str) -> SocketAddr {
    let ((l, at), zone_members) = (listen(), zone_members.clone());
    ex.spawn(async move {
        loop {
            let (stream, _) = l.accept().await.unwrap();
            let zone_members = zone_members.clone();
            ex.spawn(async move {
                let (mut stream, mut buf, mut chunk) = (&stream, Vec::new(), [0u8; 4096]);
                loop {
                    let n = stream.read(&mut chunk).await.unwrap_or(0);
                    if n == 0 || zone_members.has_failed(id) {
                        return;
                    }
                    buf.extend_from_slice(&chunk[..n]);
                    while let Some((parts, used)) = threadward::wire::parse_resp(&buf).unwrap() {
                        let answer = zone_members.answer(id, &parts).unwrap_or_default();
                        buf.drain(..used);
                        stream.write_all(&answer).await.ok();
                    }
                }
            })
            .detach();
        }
    })
    .detach();
    at
}

/// Counts over all clients. A client ends only with the final answer to its last request.
#[derive(Default)]
struct ClientCounts {
    stopped: Cell<bool>,
    sent: Cell<u64>,
    /// How many were served, for each proxy.
    served: [Cell<u64>; PROXIES],
    running_clients: Cell<u32>,
}

/// Returns the secret key of a proxy.
fn secret(proxy: usize) -> [u8; 32] {
    [proxy as u8 + 1; 32]
}

/// Five proxies, their relay and everything that they talk to.
struct Fleet {
    ex: Ex,
    relay: Relay,
    zone_members: Rc<ZoneMembers>,
    fronts: Vec<SocketAddr>,
    discoveries: Vec<(DiscoveryEvents, Rc<Signal>)>,
    parents: Vec<(&'static str, SocketAddr)>,
    lying_peer: LyingPeer,
    client_counts: Rc<ClientCounts>,
    proxies: Vec<Process>,
    folder: TempDir,
}

impl Fleet {
    /// Starts five proxies in these zones; the files name a sixth, for the lying peer.
    async fn start(ex: Ex, proxy_zones: [usize; PROXIES]) -> Fleet {
        let (folder, zone_members) = (TempDir::new().unwrap(), Rc::new(ZoneMembers::default()));
        let file = |name: String| folder.path().join(name);
        let (relay, fronts) = (Relay::new(7, CACHES_INDEX + 1).unwrap(), free_addresses(PROXIES));
        let (budget_addrs, gossip_addrs) = (free_addresses(CACHES_INDEX + 1), free_addresses(PROXIES + 1));
        let relayed_addrs = relay.udp(&budget_addrs).unwrap();
        let ids = ["n-0", "n-1", "s-0", "s-1", "e-0", "e-1", "w-0", "w-1", "origin"];
        let members: Vec<_> = ids.iter().map(|id| (*id, start_member(ex, &zone_members, id))).collect();
        std::fs::write(file("key".into()), URL_SAFE_NO_PAD.encode([7; 32])).unwrap();
        let mut peers = String::new();
        for (i, at) in gossip_addrs.iter().enumerate() {
            let key = URL_SAFE_NO_PAD.encode(public_key(&secret(i)));
            peers += &format!(
                "[[gossip.peer]]\nname = \"n{i}\"\naddress = \"{at}\"\nkeys = [\"{key}\"]\nseed = true\n"
            );
        }
        let mut discoveries = Vec::new();
        for p in 0..PROXIES {
            let listed = |(id, at): &(&str, SocketAddr)| match &id[..1] {
                "n" | "s" => listed(id, *at, 0),
                "o" => server_entry(id, *at, "origin", "active", 0),
                _ => listed(id, relay.tcp(p, CACHES_INDEX, *at).unwrap(), 0),
            };
            let servers: Vec<String> = members.iter().map(listed).collect();
            let (events, signal, discovery_addr) = start_discovery(ex);
            discoveries.push((events, signal));
            let west = proxy_zones.iter().filter(|s| **s == WEST).count();
            let (zone, counts) = (proxy_zones[p], [0, 0, PROXIES - west, west]);
            let zones = format!("\"zones\":{ZONES:?},\"zone\":{zone}");
            let counts = format!("\"zone_hub\":[0,1,0,1],\"direct\":true,\"count_by_zone\":{counts:?}");
            let json = configuration(fronts[p], discovery_addr, &servers)
                .replace("\"n0\"", &format!("\"n{p}\""))
                .replace(r#""zones":["hub","east"],"zone":1"#, &zones)
                .replace("\"count_by_zone\":[0,1]", &counts)
                .replace("0.061,\"parent_ramp\":21000000", "0.2,\"parent_ramp\":24000000");
            std::fs::write(file(format!("{p}.json")), json).unwrap();
            std::fs::write(file(format!("{p}.key")), URL_SAFE_NO_PAD.encode(secret(p))).unwrap();
            let mut text = format!(
                "[zones]\n[gossip]\nsecret_file = \"{p}.key\"\nperiod_ms = 200\n{peers}\
                 [budgets]\nsecret_file = \"key\"\nlease_ms = 500\nprobes_per_cache_s = 2\n"
            );
            for (b, at) in relayed_addrs[p].iter().take(PROXIES + 1).enumerate() {
                let votes = b != PROXIES - 1;
                text += &format!("[[budgets.proxy]]\nname = \"n{b}\"\naddress = \"{at}\"\nvoter = {votes}\n");
            }
            std::fs::write(file(format!("{p}.toml")), text).unwrap();
        }
        let (parents, lying_peer) = (
            members[..4].to_vec(),
            LyingPeer::new(budget_addrs[LYING_PEER], relayed_addrs[LYING_PEER].clone()),
        );
        let (client_counts, proxies) = (Rc::default(), Vec::new());
        let mut fleet = Fleet {
            ex,
            relay,
            zone_members,
            fronts,
            discoveries,
            parents,
            lying_peer,
            client_counts,
            proxies,
            folder,
        };
        fleet.start_processes().await;
        fleet
    }

    /// Starts all processes and their clients, and waits until each has served a few requests and so is
    /// ready.
    async fn start_processes(&mut self) {
        let path = self.folder.path();
        let start = |p: usize| {
            ProcessBuilder::new(env!("CARGO_BIN_EXE_threadward"))
                .arg("--fronts")
                .arg(path.join(format!("{p}.toml")))
                .env("LB_CONFIG", path.join(format!("{p}.json")))
                .spawn()
                .unwrap()
        };
        self.proxies = (0..PROXIES).map(start).collect();
        for p in &self.proxies {
            wait_for_log(p, "start: zones are left and taken back by all proxies together").await;
        }
        let client_counts = Rc::new(ClientCounts::default());
        for p in 0..PROXIES {
            (0..4).for_each(|k| start_client(self.ex, self.fronts[p], p, k, client_counts.clone()));
        }
        self.client_counts = client_counts.clone();
        wait_for("every proxy serves", || client_counts.served.iter().all(|n| n.get() > 20)).await;
    }

    /// Stops the clients, waits until every request has its final answer, and checks that most were served.
    async fn stop_clients(&self) {
        let client_counts = &self.client_counts;
        client_counts.stopped.set(true);
        wait_for("the last answers", || client_counts.running_clients.get() == 0).await;
        let served: u64 = client_counts.served.iter().map(Cell::get).sum();
        assert!(
            served * 10 > client_counts.sent.get() * 6,
            "{served} served of {}",
            client_counts.sent.get()
        );
    }

    /// Returns the changes of zones that a process has logged: the epoch and the rest of the line.
    fn zone_changes(&self, p: usize) -> Vec<(u64, String)> {
        let text = self.proxies[p].output();
        let lines = text.lines().filter_map(|l| l.split_once("zones: epoch ")?.1.split_once(": "));
        lines.map(|(n, rest)| (n.parse().unwrap(), rest.to_owned())).collect()
    }

    /// Returns the last epoch at which a process logged a line that contains this.
    fn last_epoch_logged(&self, p: usize, what: &str) -> Option<u64> {
        self.zone_changes(p).iter().rfind(|(_, rest)| rest.contains(what)).map(|(n, _)| *n)
    }

    /// Waits until all processes have logged a line that contains this.
    async fn wait_until_all_log(&self, what: &str) {
        wait_for(what, || (0..PROXIES).all(|p| self.last_epoch_logged(p, what).is_some())).await;
    }

    /// Waits until any process has logged a line that contains this.
    async fn wait_until_any_logs(&self, what: &str) {
        wait_for(what, || (0..PROXIES).any(|p| self.last_epoch_logged(p, what).is_some())).await;
    }

    /// Checks that no two processes logged different things of a zone at one epoch, but for "in service",
    /// whose text depends on the state that the process had before.
    fn assert_logs_agree(&self) {
        let mut logged = BTreeMap::new();
        for (n, rest) in
            (0..PROXIES).flat_map(|p| self.zone_changes(p)).filter(|(_, r)| !r.contains("in service"))
        {
            let zone = rest.split(' ').next().unwrap_or_default().to_owned();
            let first = logged.entry((n, zone)).or_insert(rest.clone());
            assert_eq!(*first, rest, "epoch {n}");
        }
    }

    /// Returns the proxy that is the coordinator by the logs.
    fn find_coordinator(&self) -> Option<usize> {
        (0..PROXIES).find(|p| {
            let text = self.proxies[*p].output();
            let last =
                text.lines().rfind(|l| l.contains("this proxy divides") || l.contains("no longer divided"));
            last.is_some_and(|l| l.contains("this proxy"))
        })
    }

    /// Publishes to all proxies that the members of a parent zone have started just now.
    fn publish_restart(&self, zone: &str) {
        for (events, changed) in &self.discoveries {
            let of_zone = self.parents.iter().filter(|(id, _)| id[..1] == zone[..1]);
            let entries: Vec<_> = of_zone.map(|(id, at)| listed(id, *at, unix_ms())).collect();
            let (no, servers) = (events.borrow().len() + 1, entries.join(","));
            let event =
                format!(r#"{{"no":{no},"roster":{{"version":2,"full":false,"servers":[{servers}]}}}}"#);
            events.borrow_mut().push(event);
            changed.notify();
        }
    }

    /// Checks that for two seconds nothing is sent to the members of a zone, nor with them as a source.
    async fn assert_unused(&self, zone: &str) {
        let from = now();
        wait(2_000).await;
        let uses = self.zone_members.uses.borrow();
        let late: Vec<_> = uses.iter().filter(|(at, id)| *at > from && id[..1] == zone[..1]).collect();
        assert!(late.is_empty(), "{late:?} after {from}");
    }
}

/// Returns the entry of a member in the list of servers.
fn listed(id: &str, at: SocketAddr, started_ms: u64) -> String {
    let zone = ZONES.iter().find(|z| z[..1] == id[..1]).unwrap();
    let kind = if ["north", "south"].contains(zone) { "parent" } else { "std" };
    let of = if kind == "std" { "east" } else { "hub" };
    server_entry(id, at, kind, "active", started_ms)
        .replace(&format!("\"zone\":\"{of}\""), &format!("\"zone\":\"{zone}\""))
}

/// Starts a client that sends a request 100 ms after the answer to the one before, and checks that each gets
/// its final answer.
fn start_client(ex: Ex, front: SocketAddr, p: usize, k: u32, client_counts: Rc<ClientCounts>) {
    client_counts.running_clients.set(client_counts.running_clients.get() + 1);
    ex.spawn(async move {
        let mut c = Client::connect(front).await;
        let mut id = k * 1_000_000;
        while !client_counts.stopped.get() {
            id += 1;
            let row = format!("{:016x}", u64::from(id % 97 + 1) * 0x9e37_79b9);
            client_counts.sent.set(client_counts.sent.get() + 1);
            c.send(&request(id, "media", &[("row", &row), ("seg", &(id % 13).to_string())])).await;
            let (of, word, _) = c.answer().await.expect("a final answer");
            assert_eq!(of, id);
            client_counts.served[p].set(client_counts.served[p].get() + u64::from(word.is_none()));
            wait(100).await;
        }
        client_counts.running_clients.set(client_counts.running_clients.get() - 1);
    })
    .detach();
}

async fn wait(ms: u64) {
    sleep_until(now() + ms * 1000).await;
}

/// Waits until a condition holds. The bound is so long that only a test that fails reaches it.
async fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let end = now() + 40_000_000;
    while !condition() {
        assert!(now() < end, "never came: {what}");
        wait(5).await;
    }
}

/// A coordinator is stopped in the middle of a zone's return and continues when another one has completed it.
#[test]
fn a_failed_parent_zone_is_left_at_one_epoch_and_returns_though_its_coordinator_stops() {
    run(|ex| async move {
        let fleet = Fleet::start(ex, [EAST, EAST, EAST, WEST, WEST]).await;
        fleet.zone_members.failed_zones.set("n");
        fleet.wait_until_any_logs("north is left").await;
        wait(1_000).await;
        fleet.assert_unused("north").await;
        fleet.wait_until_all_log("north is out").await;
        let left: Vec<_> = (0..PROXIES).map(|p| fleet.last_epoch_logged(p, "north is left")).collect();
        assert!(left.iter().all(|e| *e == left[0]), "{left:?}");
        fleet.zone_members.failed_zones.set("");
        // Its members did not restart, so they still hold what they held, and the return begins at a later
        // step.
        fleet.wait_until_any_logs("north is returning (Fine), step 5 of 8").await;
        fleet.wait_until_any_logs("north is returning (Step), step 6 of 8").await;
        let first = fleet.find_coordinator().unwrap();
        fleet.proxies[first].stop().unwrap();
        let others: Vec<usize> = (0..PROXIES).filter(|p| *p != first).collect();
        wait_for("the return's end", || {
            others.iter().all(|p| fleet.last_epoch_logged(*p, "north is in service again").is_some())
        })
        .await;
        let second = others.iter().find(|p| fleet.proxies[**p].output().contains("this proxy divides"));
        assert!(second.is_some(), "no second coordinator");
        fleet.proxies[first].cont().unwrap();
        wait_for("the first learns", || {
            fleet.last_epoch_logged(first, "north is in service again").is_some()
        })
        .await;
        fleet.assert_logs_agree();
        for p in 0..PROXIES {
            let all: Vec<_> = fleet.zone_changes(p).into_iter().map(|(_, m)| m).collect();
            let steps: Vec<_> = all.iter().filter_map(|m| m.split_once("step ")).map(|(_, k)| k).collect();
            assert!(steps.is_sorted(), "a step back: {steps:?}");
            assert_eq!(all.iter().filter(|m| m.contains("north is out")).count(), 1, "{all:?}");
        }
        fleet.stop_clients().await;
    });
}

#[test]
fn a_parent_zone_that_fails_while_returning_waits_longer_and_is_left_again_by_a_restarted_fleet() {
    run(|ex| async move {
        let mut fleet = Fleet::start(ex, [EAST, EAST, EAST, WEST, WEST]).await;
        fleet.zone_members.failed_zones.set("n");
        fleet.wait_until_all_log("north is out (Acted), tried again in 5 s").await;
        // Failures from before it was left are reported for a while, and say nothing of members that have
        // restarted.
        fleet.zone_members.failed_zones.set("");
        fleet.publish_restart("north");
        fleet.wait_until_any_logs("north is tried by a few (Restarted)").await;
        fleet.wait_until_any_logs("north is returning (Fine), step 1 of 8").await;
        fleet.wait_until_any_logs("north is returning (Step), step 2 of 8").await;
        fleet.zone_members.failed_zones.set("n");
        fleet.wait_until_all_log("north is out (Failing), tried again in 10 s").await;
        assert!(
            (0..PROXIES).all(|p| fleet.last_epoch_logged(p, "step 5").is_none()),
            "not detected within a step"
        );
        fleet.assert_unused("north").await;
        fleet.stop_clients().await;
        fleet.assert_logs_agree();
        for p in &fleet.proxies {
            p.kill().unwrap();
        }
        let began = now();
        fleet.start_processes().await;
        let took = (now() - began) / 1000;
        assert!(took < 8_000, "served after {took} ms");
        fleet.wait_until_all_log("north is left").await;
        fleet.assert_logs_agree();
        fleet.stop_clients().await;
    });
}

/// A proxy of the fleet, with keys of its own, that sends only false messages.
struct LyingPeer {
    socket: UdpSocket,
    /// Where it reaches each proxy.
    addrs: Vec<SocketAddr>,
    /// The incarnations of the proxies that have sent it a message.
    incarnations: [u64; PROXIES],
    seq: u32,
}

/// Returns the MAC of a message from one proxy to another. Its key is the X25519 secret of their keys, hashed
/// with both public keys.
fn message_mac(from: usize, to: usize, bytes: &[u8]) -> [u8; 16] {
    let of = |key: &[u8], parts: &[&[u8]]| -> [u8; 32] {
        let mut m = Hmac::<Sha256>::new_from_slice(key).unwrap();
        parts.iter().for_each(|p| m.update(p));
        m.finalize().into_bytes().into()
    };
    let domain = b"threadward-zones-1";
    let (a, b) = (public_key(&secret(from)), public_key(&secret(to)));
    let theirs = VerifyingKey::from_bytes(&b).unwrap().to_montgomery();
    let shared = theirs.mul_clamped(SigningKey::from_bytes(&secret(from)).to_scalar_bytes());
    let key = of(domain, &[&shared.to_bytes(), &a.min(b), &a.max(b)]);
    let indices = [from as u16, to as u16].map(u16::to_be_bytes);
    of(&key, &[domain, &indices[0], &indices[1], bytes])[..16].try_into().unwrap()
}

impl LyingPeer {
    fn new(own: SocketAddr, addrs: Vec<SocketAddr>) -> LyingPeer {
        let socket = UdpSocket::bind(own).unwrap();
        socket.set_nonblocking(true).unwrap();
        LyingPeer { socket, addrs, incarnations: [0; PROXIES], seq: 0 }
    }

    /// Sends a message in the name of a proxy, with further bytes behind it.
    fn send(&self, to: usize, name: usize, body: &Body, more: &[u8]) {
        let mut bytes = wire::write(Author { index: name as u16, incarnation: 9 }, body, now());
        bytes.extend(more);
        bytes.extend(message_mac(LYING_PEER, to, &bytes));
        self.socket.send_to(&bytes, self.addrs[to]).unwrap();
    }

    /// Claims to each proxy that all zones fail and are out, and that a majority has accepted that.
    fn send_lies(&mut self) {
        let mut buf = [0; 2_048];
        while let Ok((n, from)) = self.socket.recv_from(&mut buf) {
            let (Some(p), Some(n)) = (self.addrs.iter().position(|a| *a == from), n.checked_sub(16)) else {
                continue;
            };
            let authentic = message_mac(p, LYING_PEER, &buf[..n]) == buf[n..n + 16];
            if let Some((by, _)) = wire::read(&buf[..n], now()).filter(|_| authentic && p < PROXIES) {
                self.incarnations[p] = by.incarnation;
            }
        }
        let mut map = Map::new(ZONES.len(), now());
        map.epoch = Epoch { number: 1_000_000, incarnation: 9 };
        map.zones.iter_mut().for_each(|z| z.state = State::Out);
        self.seq += 1;
        // A proxy that sees every zone fail counts as cut off itself, so one zone is left out now and then.
        let zones = (0..ZONES.len() as u16).filter(|z| self.seq % 8 != u32::from(*z));
        let observations: Vec<ZoneObservation> = zones
            .map(|zone| ZoneObservation {
                zone,
                attempts: 99,
                failed: 99,
                members: 2,
                bad_members: 2,
                load: 99,
                mean_use: 0,
            })
            .collect();
        for p in 0..PROXIES {
            let (seq, to, epoch, hash) = (self.seq, self.incarnations[p], map.epoch, map.hash());
            let report = Body::Report {
                seq,
                to_incarnation: to,
                map_number: 1,
                map_hash: hash,
                own_zone: WEST as u16,
                observed: observations.clone(),
            };
            let announcements = [Body::Announce { map: map.clone() }, Body::Propose { map: map.clone() }];
            let confirmations = [Body::Confirm { epoch, hash }, Body::Accepted { epoch }];
            let all = [[report.clone(), report], announcements, confirmations].concat();
            all.iter().for_each(|body| self.send(p, LYING_PEER, body, &[]));
        }
    }
}

#[test]
fn a_needed_zone_stays_through_a_partial_cut_a_lying_peer_and_two_failed_parent_zones() {
    run(|ex| async move {
        let mut fleet = Fleet::start(ex, [EAST; PROXIES]).await;
        fleet.relay.cut(&[0, 1], &[CACHES_INDEX]);
        fleet.wait_until_any_logs("east is suspect").await;
        wait(3_000).await;
        fleet.relay.heal(&[0, 1], &[CACHES_INDEX]);
        fleet.wait_until_all_log("east is in service, no longer suspect").await;
        assert!(
            (0..PROXIES).all(|p| fleet.last_epoch_logged(p, "left").is_none()),
            "only two of five saw it fail"
        );

        let before: Vec<_> = (0..PROXIES).map(|p| fleet.zone_changes(p)).collect();
        for _ in 0..60 {
            fleet.lying_peer.send_lies();
            wait(50).await;
        }
        assert!(fleet.lying_peer.incarnations.iter().any(|l| *l > 0), "no message reached the lying peer");
        // One message in another proxy's name, and one that is too long.
        let accepted = Body::Accepted { epoch: Epoch { number: 1, incarnation: 9 } };
        for p in 0..PROXIES {
            fleet.lying_peer.send(p, (p + 1) % PROXIES, &accepted, &[]);
            fleet.lying_peer.send(p, LYING_PEER, &accepted, &[0]);
        }
        wait(500).await;
        for (p, before) in before.iter().enumerate() {
            let process = &fleet.proxies[p];
            for name in ["zoneForged", "zoneMalformed"] {
                assert_eq!(read_counter(process, name).await, 1, "{name} of {p}");
            }
            assert!(read_counter(process, "zoneUnvouched").await > 0, "{}", process.output());

            // A proxy without a vote is not asked to accept anything.
            assert!(p == PROXIES - 1 || read_counter(process, "zoneOld").await >= 60, "{}", process.output());

            assert_eq!(&fleet.zone_changes(p), before, "a lying peer changed a zone");
        }

        fleet.zone_members.failed_zones.set("ns");
        fleet.wait_until_any_logs("is left").await;
        // The other one is kept in service once enough proxies see it fail: they skip it first, and then try
        // it again.
        let end = now() + 40_000_000;
        while read_counter(&fleet.proxies[fleet.find_coordinator().unwrap_or(0)], "zoneKept").await == 0 {
            assert!(now() < end, "never kept: {:?}", fleet.zone_changes(0));
            wait(100).await;
        }
        wait(1_000).await;
        let left = |zone: &str| {
            (0..PROXIES).any(|p| fleet.last_epoch_logged(p, &format!("{zone} is left")).is_some())
        };
        assert!(left("north") != left("south"), "exactly one parent zone has to stay");
        fleet.assert_logs_agree();
        fleet.stop_clients().await;
    });
}
