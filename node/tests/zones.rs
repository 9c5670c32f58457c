//! Zones between proxies that are processes of their own: a hub that dies, comes back, comes back cold and falls again, a
//! decider that is stopped in a return, a cut, a peer that lies, two hubs at once, and all proxies started anew.
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

/// Places in the operators' files: the last is nobody's, or the liar's.
const PROXIES: usize = 5;
const LIAR: usize = PROXIES;
/// What stands for the locations' caches in the relay.
const CACHES: usize = PROXIES + 1;
const ZONES: [&str; 4] = ["north", "south", "east", "west"];
const EAST: usize = 2;
const WEST: usize = 3;

/// What all members share: zones that are down, and which member was used as a source, or sent to, and when.
#[derive(Default)]
struct Town {
    down: Cell<&'static str>,
    used: RefCell<Vec<(u64, String)>>,
}

impl Town {
    fn lost(&self, id: &str) -> bool {
        self.down.get().contains(&id[..1])
    }

    /// Each fourth part is held. The rest is filled from where the request says.
    fn answer(&self, id: &str, parts: &[&[u8]]) -> Option<Vec<u8>> {
        let text: Vec<_> = parts.iter().map(|p| String::from_utf8_lossy(p)).collect();
        let [word, call, fields, _] = &text[..] else { return None };
        if word != "serve" {
            return None;
        }
        let field = |name| threadward::wire::find_field(fields, name);
        let part: u32 = field("blk").unwrap().parse().unwrap();
        let source = field("fetch").filter(|_| !part.is_multiple_of(4)).unwrap_or(id);
        self.used.borrow_mut().push((now(), source.to_owned()));
        let (said, detail) = match source {
            _ if self.lost(source) => ("crashed", "UP_DOWN"),
            _ if source == id => ("served", "HIT"),
            "origin" => ("served", "MISS_ORIGIN"),
            _ => ("served", "MISS"),
        };
        let rest = format!("version=4be0c1927d55a6f3,stamp=1,detail={detail}");
        let answer = [call.as_bytes(), said.as_bytes(), rest.as_bytes(), b"whole"];
        Some(threadward::wire::encode_resp(&answer))
    }
}

/// A member of a zone; the first letter of its id says which.
fn member(ex: Ex, town: &Rc<Town>, id: &'static str) -> SocketAddr {
    let ((l, at), town) = (listen(), town.clone());
    ex.spawn(async move {
        loop {
            let (stream, _) = l.accept().await.unwrap();
            let town = town.clone();
            ex.spawn(async move {
                let (mut stream, mut buf, mut chunk) = (&stream, Vec::new(), [0u8; 4096]);
                loop {
                    let n = stream.read(&mut chunk).await.unwrap_or(0);
                    if n == 0 || town.lost(id) {
                        return;
                    }
                    buf.extend_from_slice(&chunk[..n]);
                    while let Some((parts, used)) = threadward::wire::parse_resp(&buf).unwrap() {
                        let answer = town.answer(id, &parts).unwrap_or_default();
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

/// Requests of all clients; one ends only with its last request's final answer.
#[derive(Default)]
struct Asked {
    over: Cell<bool>,
    sent: Cell<u64>,
    /// Of each proxy, those that were served.
    served: [Cell<u64>; PROXIES],
    clients: Cell<u32>,
}

fn secret(place: usize) -> [u8; 32] {
    [place as u8 + 1; 32]
}

struct Fleet {
    ex: Ex,
    relay: Relay,
    town: Rc<Town>,
    fronts: Vec<SocketAddr>,
    news: Vec<(DiscoveryEvents, Rc<Signal>)>,
    hubs: Vec<(&'static str, SocketAddr)>,
    liar: Liar,
    asked: Rc<Asked>,
    proxies: Vec<Process>,
    folder: TempDir,
}

impl Fleet {
    /// Five proxies that stand in these zones, and one in the files that is not there.
    async fn start(ex: Ex, stands: [usize; PROXIES]) -> Fleet {
        let (folder, town) = (TempDir::new().unwrap(), Rc::new(Town::default()));
        let file = |name: String| folder.path().join(name);
        let (relay, fronts) = (Relay::new(7, CACHES + 1).unwrap(), free_addresses(PROXIES));
        let (own, talk) = (free_addresses(CACHES + 1), free_addresses(PROXIES + 1));
        let at = relay.udp(&own).unwrap();
        let ids = ["n-0", "n-1", "s-0", "s-1", "e-0", "e-1", "w-0", "w-1", "origin"];
        let members: Vec<_> = ids.iter().map(|id| (*id, member(ex, &town, id))).collect();
        std::fs::write(file("key".into()), URL_SAFE_NO_PAD.encode([7; 32])).unwrap();
        let mut peers = String::new();
        for (i, at) in talk.iter().enumerate() {
            let key = URL_SAFE_NO_PAD.encode(public_key(&secret(i)));
            peers += &format!(
                "[[gossip.peer]]\nname = \"n{i}\"\naddress = \"{at}\"\nkeys = [\"{key}\"]\nseed = true\n"
            );
        }
        let mut told = Vec::new();
        for p in 0..PROXIES {
            let listed = |(id, at): &(&str, SocketAddr)| match &id[..1] {
                "n" | "s" => listed(id, *at, 0),
                "o" => server_entry(id, *at, "origin", "active", 0),
                _ => listed(id, relay.tcp(p, CACHES, *at).unwrap(), 0),
            };
            let servers: Vec<String> = members.iter().map(listed).collect();
            let (news, signal, bulletin) = start_discovery(ex);
            told.push((news, signal));
            let west = stands.iter().filter(|s| **s == WEST).count();
            let (zone, counts) = (stands[p], [0, 0, PROXIES - west, west]);
            let zones = format!("\"zones\":{ZONES:?},\"zone\":{zone}");
            let counts = format!("\"zone_hub\":[0,1,0,1],\"direct\":true,\"count_by_zone\":{counts:?}");
            let json = configuration(fronts[p], bulletin, &servers)
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
            for (b, at) in at[p].iter().take(PROXIES + 1).enumerate() {
                let votes = b != PROXIES - 1;
                text += &format!("[[budgets.proxy]]\nname = \"n{b}\"\naddress = \"{at}\"\nvoter = {votes}\n");
            }
            std::fs::write(file(format!("{p}.toml")), text).unwrap();
        }
        let (hubs, liar) = (members[..4].to_vec(), Liar::new(own[LIAR], at[LIAR].clone()));
        let (asked, proxies) = (Rc::default(), Vec::new());
        let mut f = Fleet { ex, relay, town, fronts, news: told, hubs, liar, asked, proxies, folder };
        f.run().await;
        f
    }

    /// Starts all processes and their clients, and waits until each served a little: it is ready then.
    async fn run(&mut self) {
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
        let asked = Rc::new(Asked::default());
        for p in 0..PROXIES {
            (0..4).for_each(|k| client(self.ex, self.fronts[p], p, k, asked.clone()));
        }
        self.asked = asked.clone();
        within("every proxy serves", || asked.served.iter().all(|n| n.get() > 20)).await;
    }

    /// Ends the clients: every request has its final answer.
    async fn finish(&self) {
        let asked = &self.asked;
        asked.over.set(true);
        within("the last answers", || asked.clients.get() == 0).await;
        let served: u64 = asked.served.iter().map(Cell::get).sum();
        assert!(served * 10 > asked.sent.get() * 6, "{served} served of {}", asked.sent.get());
    }

    /// What a process said of zones: the epoch, and the rest of the line.
    fn moves(&self, p: usize) -> Vec<(u64, String)> {
        let text = self.proxies[p].output();
        let lines = text.lines().filter_map(|l| l.split_once("zones: epoch ")?.1.split_once(": "));
        lines.map(|(n, rest)| (n.parse().unwrap(), rest.to_owned())).collect()
    }

    /// The last epoch of which it said so.
    fn epoch(&self, p: usize, what: &str) -> Option<u64> {
        self.moves(p).iter().rfind(|(_, rest)| rest.contains(what)).map(|(n, _)| *n)
    }

    async fn all_say(&self, what: &str) {
        within(what, || (0..PROXIES).all(|p| self.epoch(p, what).is_some())).await;
    }

    async fn one_says(&self, what: &str) {
        within(what, || (0..PROXIES).any(|p| self.epoch(p, what).is_some())).await;
    }

    /// No two processes said different things of one epoch. "In service" depends on where the process was.
    fn agree(&self) {
        let mut said = BTreeMap::new();
        for (n, rest) in (0..PROXIES).flat_map(|p| self.moves(p)).filter(|(_, r)| !r.contains("in service")) {
            let zone = rest.split(' ').next().unwrap_or_default().to_owned();
            let first = said.entry((n, zone)).or_insert(rest.clone());
            assert_eq!(*first, rest, "epoch {n}");
        }
    }

    /// The one that decides, by the logs.
    fn decides(&self) -> Option<usize> {
        (0..PROXIES).find(|p| {
            let text = self.proxies[*p].output();
            let last =
                text.lines().rfind(|l| l.contains("this proxy divides") || l.contains("no longer divided"));
            last.is_some_and(|l| l.contains("this proxy"))
        })
    }

    /// Tells all that a hub's members have started just now.
    fn restarted(&self, zone: &str) {
        for (news, told) in &self.news {
            let own = self.hubs.iter().filter(|(id, _)| id[..1] == zone[..1]);
            let own: Vec<_> = own.map(|(id, at)| listed(id, *at, unix_ms())).collect();
            let (no, own) = (news.borrow().len() + 1, own.join(","));
            let event = format!(r#"{{"no":{no},"roster":{{"version":2,"full":false,"servers":[{own}]}}}}"#);
            news.borrow_mut().push(event);
            told.notify();
        }
    }

    /// Nothing is sent to a hub's members, nor with them as a source, in the next two seconds.
    async fn untouched(&self, zone: &str) {
        let from = now();
        wait(2_000).await;
        let used = self.town.used.borrow();
        let late: Vec<_> = used.iter().filter(|(at, id)| *at > from && id[..1] == zone[..1]).collect();
        assert!(late.is_empty(), "{late:?} after {from}");
    }
}

fn listed(id: &str, at: SocketAddr, started_ms: u64) -> String {
    let zone = ZONES.iter().find(|z| z[..1] == id[..1]).unwrap();
    let kind = if ["north", "south"].contains(zone) { "parent" } else { "std" };
    let of = if kind == "std" { "east" } else { "hub" };
    server_entry(id, at, kind, "active", started_ms)
        .replace(&format!("\"zone\":\"{of}\""), &format!("\"zone\":\"{zone}\""))
}

/// A request each 100 ms, each with its final answer.
fn client(ex: Ex, front: SocketAddr, p: usize, k: u32, asked: Rc<Asked>) {
    asked.clients.set(asked.clients.get() + 1);
    ex.spawn(async move {
        let mut c = Client::connect(front).await;
        let mut id = k * 1_000_000;
        while !asked.over.get() {
            id += 1;
            let row = format!("{:016x}", u64::from(id % 97 + 1) * 0x9e37_79b9);
            asked.sent.set(asked.sent.get() + 1);
            c.send(&request(id, "media", &[("row", &row), ("seg", &(id % 13).to_string())])).await;
            let (of, word, _) = c.answer().await.expect("a final answer");
            assert_eq!(of, id);
            asked.served[p].set(asked.served[p].get() + u64::from(word.is_none()));
            wait(100).await;
        }
        asked.clients.set(asked.clients.get() - 1);
    })
    .detach();
}

async fn wait(ms: u64) {
    sleep_until(now() + ms * 1000).await;
}

/// Waits until something holds; the bound only ends a test that fails.
async fn within(what: &str, mut holds: impl FnMut() -> bool) {
    let end = now() + 40_000_000;
    while !holds() {
        assert!(now() < end, "never came: {what}");
        wait(5).await;
    }
}

/// A decider that is stopped in the middle of the return, and wakes when another has ended it.
#[test]
fn a_hub_that_dies_is_left_on_one_epoch_and_its_return_outlives_its_decider() {
    run(|ex| async move {
        let f = Fleet::start(ex, [EAST, EAST, EAST, WEST, WEST]).await;
        f.town.down.set("n");
        f.one_says("north is left").await;
        wait(1_000).await;
        f.untouched("north").await;
        f.all_say("north is out").await;
        let left: Vec<_> = (0..PROXIES).map(|p| f.epoch(p, "north is left")).collect();
        assert!(left.iter().all(|e| *e == left[0]), "{left:?}");
        f.town.down.set("");
        // Its members did not start anew: what they hold is still there.
        f.one_says("north is returning (Fine), step 5 of 8").await;
        f.one_says("north is returning (Step), step 6 of 8").await;
        let first = f.decides().unwrap();
        f.proxies[first].stop().unwrap();
        let others: Vec<usize> = (0..PROXIES).filter(|p| *p != first).collect();
        within("the return's end", || {
            others.iter().all(|p| f.epoch(*p, "north is in service again").is_some())
        })
        .await;
        let second = others.iter().find(|p| f.proxies[**p].output().contains("this proxy divides"));
        assert!(second.is_some(), "another decider");
        f.proxies[first].cont().unwrap();
        within("the first learns", || f.epoch(first, "north is in service again").is_some()).await;
        f.agree();
        for p in 0..PROXIES {
            let all: Vec<_> = f.moves(p).into_iter().map(|(_, m)| m).collect();
            let steps: Vec<_> = all.iter().filter_map(|m| m.split_once("step ")).map(|(_, k)| k).collect();
            assert!(steps.is_sorted(), "a step back: {steps:?}");
            assert_eq!(all.iter().filter(|m| m.contains("north is out")).count(), 1, "{all:?}");
        }
        f.finish().await;
    });
}

#[test]
fn a_hub_that_falls_in_its_return_is_held_longer_and_found_out_by_a_fleet_started_anew() {
    run(|ex| async move {
        let mut f = Fleet::start(ex, [EAST, EAST, EAST, WEST, WEST]).await;
        f.town.down.set("n");
        f.all_say("north is out (Acted), tried again in 5 s").await;
        // What failed before it was left is told for a while, and says nothing of those that start.
        f.town.down.set("");
        f.restarted("north");
        f.one_says("north is tried by a few (Restarted)").await;
        f.one_says("north is returning (Fine), step 1 of 8").await;
        f.one_says("north is returning (Step), step 2 of 8").await;
        f.town.down.set("n");
        f.all_say("north is out (Failing), tried again in 10 s").await;
        assert!((0..PROXIES).all(|p| f.epoch(p, "step 5").is_none()), "found out within a step");
        f.untouched("north").await;
        f.finish().await;
        f.agree();
        for p in &f.proxies {
            p.kill().unwrap();
        }
        let began = now();
        f.run().await;
        let took = (now() - began) / 1000;
        assert!(took < 8_000, "served after {took} ms");
        f.all_say("north is left").await;
        f.agree();
        f.finish().await;
    });
}

/// A proxy of the fleet, with keys of its own, whose every word is a lie.
struct Liar {
    socket: UdpSocket,
    /// Where it reaches each proxy, and the lives of those that spoke to it.
    at: Vec<SocketAddr>,
    lives: [u64; PROXIES],
    seq: u32,
}

/// The MAC of a message between two places: under X25519 of their keys, hashed with both public ones.
fn mac(from: usize, to: usize, bytes: &[u8]) -> [u8; 16] {
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
    let places = [from as u16, to as u16].map(u16::to_be_bytes);
    of(&key, &[domain, &places[0], &places[1], bytes])[..16].try_into().unwrap()
}

impl Liar {
    fn new(own: SocketAddr, at: Vec<SocketAddr>) -> Liar {
        let socket = UdpSocket::bind(own).unwrap();
        socket.set_nonblocking(true).unwrap();
        Liar { socket, at, lives: [0; PROXIES], seq: 0 }
    }

    /// Sends a message in the name of a place, and more behind it.
    fn send(&self, to: usize, name: usize, body: &Body, more: &[u8]) {
        let mut bytes = wire::write(Author { index: name as u16, incarnation: 9 }, body, now());
        bytes.extend(more);
        bytes.extend(mac(LIAR, to, &bytes));
        self.socket.send_to(&bytes, self.at[to]).unwrap();
    }

    /// All zones fail, all are out, and a majority is said to have taken that.
    fn lie(&mut self) {
        let mut buf = [0; 2_048];
        while let Ok((n, from)) = self.socket.recv_from(&mut buf) {
            let (Some(p), Some(n)) = (self.at.iter().position(|a| *a == from), n.checked_sub(16)) else {
                continue;
            };
            let right = mac(p, LIAR, &buf[..n]) == buf[n..n + 16];
            if let Some((by, _)) = wire::read(&buf[..n], now()).filter(|_| right && p < PROXIES) {
                self.lives[p] = by.incarnation;
            }
        }
        let mut map = Map::new(ZONES.len(), now());
        map.epoch = Epoch { number: 1_000_000, incarnation: 9 };
        map.zones.iter_mut().for_each(|z| z.state = State::Out);
        self.seq += 1;
        // Who sees every zone fail is cut off itself: one is left out now and then.
        let zones = (0..ZONES.len() as u16).filter(|z| self.seq % 8 != u32::from(*z));
        let seen: Vec<ZoneObservation> = zones
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
            let (seq, to, epoch, hash) = (self.seq, self.lives[p], map.epoch, map.hash());
            let report = Body::Report {
                seq,
                to_incarnation: to,
                map_number: 1,
                map_hash: hash,
                own_zone: WEST as u16,
                observed: seen.clone(),
            };
            let told = [Body::Announce { map: map.clone() }, Body::Propose { map: map.clone() }];
            let vouched = [Body::Confirm { epoch, hash }, Body::Accepted { epoch }];
            let all = [[report.clone(), report], told, vouched].concat();
            all.iter().for_each(|body| self.send(p, LIAR, body, &[]));
        }
    }
}

#[test]
fn neither_a_cut_from_some_nor_a_liar_nor_two_hubs_at_once_take_a_zone_that_is_needed() {
    run(|ex| async move {
        let mut f = Fleet::start(ex, [EAST; PROXIES]).await;
        f.relay.cut(&[0, 1], &[CACHES]);
        f.one_says("east is suspect").await;
        wait(3_000).await;
        f.relay.heal(&[0, 1], &[CACHES]);
        f.all_say("east is in service, no longer suspect").await;
        assert!((0..PROXIES).all(|p| f.epoch(p, "left").is_none()), "two of five saw it fail");

        let before: Vec<_> = (0..PROXIES).map(|p| f.moves(p)).collect();
        for _ in 0..60 {
            f.liar.lie();
            wait(50).await;
        }
        assert!(f.liar.lives.iter().any(|l| *l > 0), "it reported to the one that decides");
        // In another's name, and one that is too long.
        let took = Body::Accepted { epoch: Epoch { number: 1, incarnation: 9 } };
        for p in 0..PROXIES {
            f.liar.send(p, (p + 1) % PROXIES, &took, &[]);
            f.liar.send(p, LIAR, &took, &[0]);
        }
        wait(500).await;
        for (p, before) in before.iter().enumerate() {
            let said = &f.proxies[p];
            for name in ["zoneForged", "zoneMalformed"] {
                assert_eq!(read_counter(said, name).await, 1, "{name} of {p}");
            }
            assert!(read_counter(said, "zoneUnvouched").await > 0, "{}", said.output());

            // Who has no vote is asked to take nothing.
            assert!(p == PROXIES - 1 || read_counter(said, "zoneOld").await >= 60, "{}", said.output());

            assert_eq!(&f.moves(p), before, "a liar moved a zone");
        }

        f.town.down.set("ns");
        f.one_says("is left").await;
        // The other is kept once enough see it fail: they skip it first, and try it again.
        let end = now() + 40_000_000;
        while read_counter(&f.proxies[f.decides().unwrap_or(0)], "zoneKept").await == 0 {
            assert!(now() < end, "never kept: {:?}", f.moves(0));
            wait(100).await;
        }
        wait(1_000).await;
        let left = |zone: &str| (0..PROXIES).any(|p| f.epoch(p, &format!("{zone} is left")).is_some());
        assert!(left("north") != left("south"), "one hub has to stay");
        f.agree();
        f.finish().await;
    });
}
