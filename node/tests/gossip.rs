//! Gossip on real sockets: proxies as processes of their own on loopback, and a peer that lies, played by this process.
mod common;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use common::*;
use nickelgate::{Addr, MemberHealth, Outcome, Role};
use std::cell::RefCell;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tempfile::TempDir;
use threadward::net::{now, sleep_until};
use threadward::{config, gossip};
use threadward_faults::{Process, ProcessBuilder, Signal};
use threadward_gossip::{public_key, Gossip, Output, PeerConfig, Settings};

fn secret(i: usize) -> [u8; 32] {
    [i as u8 + 1; 32]
}

/// A folder of this test's own, with a file for each proxy.
struct Group {
    folder: TempDir,
    at: Vec<SocketAddr>,
}

impl Group {
    fn new(n: usize) -> Group {
        let g = Group { folder: TempDir::new().unwrap(), at: free_addresses(n) };
        for i in 0..n {
            g.write(i, n);
        }
        g
    }
    /// The file of one of them that names the first `n`.
    fn write(&self, i: usize, n: usize) {
        std::fs::write(self.file(i, "key"), URL_SAFE_NO_PAD.encode(secret(i))).unwrap();
        let peer = |k: usize| {
            let key = URL_SAFE_NO_PAD.encode(public_key(&secret(k)));
            format!(
                "[[gossip.peer]]\nname = \"n{k}\"\naddress = \"{}\"\nkeys = [\"{key}\"]\nseed = true\n",
                self.at[k]
            )
        };
        let head = format!("[gossip]\nsecret_file = \"{i}.key\"\nperiod_ms = 200\nprobes_per_s = 5\n");
        let text = head + &(0..n).map(peer).collect::<String>();
        std::fs::write(self.file(i, "toml"), text).unwrap();
    }
    fn peers(&self) -> Vec<PeerConfig> {
        let peer = |(k, at): (usize, &SocketAddr)| PeerConfig {
            name: format!("n{k}"),
            addr: *at,
            keys: vec![public_key(&secret(k))],
            seed: true,
        };
        self.at.iter().enumerate().map(peer).collect()
    }
    fn file(&self, i: usize, kind: &str) -> PathBuf {
        self.folder.path().join(format!("{i}.{kind}"))
    }
    /// Starts a proxy.
    fn start(&self, i: usize, json: &str) -> Process {
        let config = self.file(i, "json");
        std::fs::write(&config, json.replace("\"name\":\"n0\"", &format!("\"name\":\"n{i}\""))).unwrap();
        ProcessBuilder::new(env!("CARGO_BIN_EXE_threadward"))
            .arg("--fronts")
            .arg(self.file(i, "toml"))
            .env("LB_CONFIG", config)
            .spawn()
            .unwrap()
    }
}

/// A peer of this process's own, that accuses members all the time.
struct Liar {
    gossip: Gossip,
    socket: UdpSocket,
    accuses: Vec<Addr>,
}

impl Liar {
    fn new(g: &Group, i: usize, accuses: &[Addr]) -> Liar {
        let mut s = Settings::new(&format!("n{i}"), secret(i), g.peers());
        s.probe_period = 200_000;
        let socket = UdpSocket::bind(g.at[i]).unwrap();
        socket.set_nonblocking(true).unwrap();
        Liar { gossip: Gossip::new(now(), s, [9 + i as u8; 32]).unwrap(), socket, accuses: accuses.to_vec() }
    }
    fn step(&mut self) {
        let (mut out, mut buf) = (Output::default(), [0; 257]);
        while let Ok((n, from)) = self.socket.recv_from(&mut buf) {
            self.gossip.receive(now(), from, &buf[..n], &mut out);
        }
        let bad = |member: &Addr| MemberHealth {
            member: *member,
            incarnation: 0,
            role: Role::Parent,
            strikes: 0,
            skipped: true,
            last_failed_at: now(),
            last_failure: Some(Outcome::Timeout),
            last_good_at: 0,
            suspicion_skips: 0,
        };
        let shown: Vec<MemberHealth> = self.accuses.iter().map(bad).collect();
        self.gossip.observe(now(), &shown, &mut out);
        self.gossip.tick(now(), &mut out);
        for (to, bytes) in out.send {
            self.socket.send_to(&bytes, to).unwrap();
        }
    }
}

fn keep_lying(ex: &'static async_executor::LocalExecutor<'static>, liar: Liar) -> Rc<RefCell<Liar>> {
    let liar = Rc::new(RefCell::new(liar));
    let l = liar.clone();
    ex.spawn(async move {
        loop {
            l.borrow_mut().step();
            sleep_until(now() + 10_000).await;
        }
    })
    .detach();
    liar
}

fn hubs(c: &[Cache]) -> Vec<String> {
    let hub = |(i, c): (usize, &Cache)| server_entry(&format!("h-{i}"), c.addr, "parent", "active", 0);
    c.iter().enumerate().map(hub).collect()
}

/// Three proxies and a peer that accuses every hub: all find each other, what it says arrives, and nobody believes it.
#[test]
fn four_processes_one_of_them_lying() {
    run(|ex| async move {
        let (_, _, bulletin) = start_discovery(ex);
        let caches: Vec<Cache> = (0..3).map(|_| start_cache(ex)).collect();
        let g = Group::new(4);
        let proxies: Vec<Process> = (0..3)
            .map(|i| g.start(i, &configuration(free_addresses(1)[0], bulletin, &hubs(&caches))))
            .collect();
        let accused: Vec<Addr> = (0..3).map(|i| config::address_for_id(&format!("h-{i}"))).collect();

        let liar = keep_lying(ex, Liar::new(&g, 3, &accused));
        for p in &proxies {
            wait_for_log(p, "live, 4 of 4 live").await;
        }
        wait_until("the liar's view", || liar.borrow().gossip.quorum().live == 4).await;
        let before = read_counter(&proxies[0], "gossipReceived").await;
        wait_until("statements", || liar.borrow().gossip.counts.sent > 40).await;
        let junk = UdpSocket::bind("127.0.0.1:0").unwrap();
        junk.send_to(&[0; 120], g.at[0]).unwrap();
        liar.borrow().socket.send_to(&[0x14; 85], g.at[0]).unwrap();
        liar.borrow().socket.send_to(&[0; 257], g.at[0]).unwrap();
        sleep_until(now() + 300_000).await;
        assert!(read_counter(&proxies[0], "gossipReceived").await > before);
        for name in ["gossipDroppedSource", "gossipDroppedKey", "gossipDroppedSize"] {
            assert_eq!(read_counter(&proxies[0], name).await, 1, "{name}");
        }
        for p in &proxies {
            assert_eq!(read_counter(p, "gossipDoubts").await, 0, "{}", p.output());
        }
        // One ends by will, and the others know at once.
        proxies[2].term().unwrap();
        wait_for_log(&proxies[0], "peer n2 is left").await;
    });
}

/// Two of four accuse one hub: enough to be believed, and, where probes are allowed, to be looked into.
#[test]
fn two_witnesses_are_believed_and_the_hub_is_probed() {
    run(|ex| async move {
        let (_, _, bulletin) = start_discovery(ex);
        let caches: Vec<Cache> = (0..3).map(|_| start_cache(ex)).collect();
        let g = Group::new(4);
        let json = configuration(free_addresses(1)[0], bulletin, &hubs(&caches))
            .replace("\"cancel\"", "\"probes\":true,\"cancel\"");
        let p = g.start(0, &json);
        let accused = [config::address_for_id("h-1")];
        let _two = [1, 2].map(|i| keep_lying(ex, Liar::new(&g, i, &accused)));
        wait_for_log(&p, "gossip: h-1 is held suspect, 2 witnesses").await;
        let probed = || caches[1].commands.borrow().iter().any(|c| c[0] == "health");
        wait_until("the probe", probed).await;
        assert_eq!(read_counter(&p, "gossipProbes").await, 1);
        // The stand-in never answers it: an own failure, which with the rumour makes a skip.
        wait_until("the skip", || {
            p.output().contains("counters: ") && caches[1].commands.borrow().len() == 1
        })
        .await;

        sleep_until(now() + 600_000).await;
        assert_eq!(read_counter(&p, "gossipSkipsHelped").await, 1, "{}", p.output());

        // A file without the witnesses: their word ends with them.
        g.write(0, 1);
        p.signal(Signal::HUP).unwrap();
        wait_for_log(&p, "reload: gossip has 1 peers with keys").await;
        wait_for_log(&p, "gossip: h-1 is no longer held suspect").await;
        std::fs::write(g.file(0, "toml"), "[gossip]\nsecret = 1\n").unwrap();
        p.signal(Signal::HUP).unwrap();
        wait_for_log(&p, "reload: kept gossip's peers: ").await;
    });
}

#[test]
fn a_key_is_made_once_and_fits_its_public_part() {
    let path = std::env::temp_dir().join(format!("threadward-key-{}", std::process::id()));
    let public_part = gossip::create_key_file(&path).unwrap();
    let text = std::fs::read_to_string(&path).unwrap();
    let secret: [u8; 32] = URL_SAFE_NO_PAD.decode(text.trim()).unwrap().try_into().unwrap();
    assert_eq!(URL_SAFE_NO_PAD.encode(public_key(&secret)), public_part);
    assert!(gossip::create_key_file(&path).is_err(), "an existing file is never touched");
    assert_eq!(std::fs::read_to_string(&path).unwrap(), text);
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn bad_gossip_parts_get_one_line() {
    let key = URL_SAFE_NO_PAD.encode(public_key(&secret(0)));
    let folder = std::env::temp_dir();
    let name = format!("threadward-secret-{}", std::process::id());
    std::fs::write(folder.join(&name), URL_SAFE_NO_PAD.encode(secret(0))).unwrap();
    let say = |head: &str, peer: &str| {
        let text = format!("[gossip]\nsecret_file = \"{name}\"\n{head}\n[[gossip.peer]]\n{peer}\n");
        threadward::operators::parse_text(&text, "n0", Path::new(&folder)).err().unwrap_or_default()
    };
    let own = format!("name = \"n0\"\naddress = \"127.0.0.1:1\"\nkeys = [\"{key}\"]");
    assert_eq!(say("", &own), "");
    assert_eq!(say("perod_ms = 5", &own), "[gossip]: 'perod_ms' is not known; did you mean 'period_ms'?");
    assert_eq!(say("period_ms = 5", &own), "[gossip]: 'period_ms' has to lie from 100 to 60000");
    assert_eq!(say("period_ms = \"1s\"", &own), "[gossip]: 'period_ms' is no number");
    assert_eq!(say("", "name = \"n0\""), "[gossip]: peer 'n0': 'address' is missing or no address");
    assert_eq!(
        say("", "name = \"n0\"\naddress = \"127.0.0.1:1\"\nkeys = [\"abc\"]"),
        "[gossip]: peer 'n0': a key that is not 32 bytes as base64url"
    );
    assert_eq!(say("", &own.replace("n0", "n7")), "[gossip]: no peer is named 'n0'");
    // The sample is right but for its keys, which are of secrets that were thrown away.
    let sample = include_str!("../../deploy/gossip.toml").replace("secrets/gossip.key", &name);
    let line = threadward::operators::parse_text(&sample, "n0", Path::new(&folder)).err().unwrap();
    assert_eq!(line, "[gossip]: the own secret belongs to no key of peer 'n0'");
    std::fs::remove_file(folder.join(&name)).unwrap();
}
