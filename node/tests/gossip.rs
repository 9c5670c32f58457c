//! Gossip on real sockets: proxies that are processes of their own on loopback, and peers that lie, which run
//! in this process.
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

/// Returns the secret key of a proxy.
fn secret(i: usize) -> [u8; 32] {
    [i as u8 + 1; 32]
}

/// The proxies of a test: a folder with the files of each, and their gossip addresses.
struct Group {
    folder: TempDir,
    addrs: Vec<SocketAddr>,
}

impl Group {
    fn new(n: usize) -> Group {
        let group = Group { folder: TempDir::new().unwrap(), addrs: free_addresses(n) };
        for i in 0..n {
            group.write(i, n);
        }
        group
    }
    /// Writes the secret and the operators' file of a proxy; the file names the first `n` proxies.
    fn write(&self, i: usize, n: usize) {
        std::fs::write(self.file(i, "key"), URL_SAFE_NO_PAD.encode(secret(i))).unwrap();
        let peer = |k: usize| {
            let key = URL_SAFE_NO_PAD.encode(public_key(&secret(k)));
            format!(
                "[[gossip.peer]]\nname = \"n{k}\"\naddress = \"{}\"\nkeys = [\"{key}\"]\nseed = true\n",
                self.addrs[k]
            )
        };
        let head = format!("[gossip]\nsecret_file = \"{i}.key\"\nperiod_ms = 200\nprobes_per_s = 5\n");
        let text = head + &(0..n).map(peer).collect::<String>();
        std::fs::write(self.file(i, "toml"), text).unwrap();
    }
    /// Returns the settings of all proxies as peers.
    fn peers(&self) -> Vec<PeerConfig> {
        let peer = |(k, addr): (usize, &SocketAddr)| PeerConfig {
            name: format!("n{k}"),
            addr: *addr,
            keys: vec![public_key(&secret(k))],
            seed: true,
        };
        self.addrs.iter().enumerate().map(peer).collect()
    }
    fn file(&self, i: usize, kind: &str) -> PathBuf {
        self.folder.path().join(format!("{i}.{kind}"))
    }
    /// Starts the process of a proxy with a configuration.
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

/// A peer in this process that claims all the time that some members fail.
struct LyingPeer {
    gossip: Gossip,
    socket: UdpSocket,
    accused_members: Vec<Addr>,
}

impl LyingPeer {
    fn new(group: &Group, i: usize, accused_members: &[Addr]) -> LyingPeer {
        let mut s = Settings::new(&format!("n{i}"), secret(i), group.peers());
        s.probe_period = 200_000;
        let socket = UdpSocket::bind(group.addrs[i]).unwrap();
        socket.set_nonblocking(true).unwrap();
        LyingPeer {
            gossip: Gossip::new(now(), s, [9 + i as u8; 32]).unwrap(),
            socket,
            accused_members: accused_members.to_vec(),
        }
    }
    /// Receives what has come, makes the false claims, and sends what is due.
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
        let claims: Vec<MemberHealth> = self.accused_members.iter().map(bad).collect();
        self.gossip.observe(now(), &claims, &mut out);
        self.gossip.tick(now(), &mut out);
        for (to, bytes) in out.send {
            self.socket.send_to(&bytes, to).unwrap();
        }
    }
}

/// Starts a task that runs a lying peer until the test ends.
fn run_lying_peer(
    ex: &'static async_executor::LocalExecutor<'static>,
    lying_peer: LyingPeer,
) -> Rc<RefCell<LyingPeer>> {
    let lying_peer = Rc::new(RefCell::new(lying_peer));
    let l = lying_peer.clone();
    ex.spawn(async move {
        loop {
            l.borrow_mut().step();
            sleep_until(now() + 10_000).await;
        }
    })
    .detach();
    lying_peer
}

/// Returns the entries of caches as parents in the list of servers.
fn parent_entries(c: &[Cache]) -> Vec<String> {
    let entry = |(i, c): (usize, &Cache)| server_entry(&format!("h-{i}"), c.addr, "parent", "active", 0);
    c.iter().enumerate().map(entry).collect()
}

/// Three proxies and a peer that claims that every parent fails: all find each other, its claims arrive, and
/// no proxy believes them.
#[test]
fn one_lying_peer_of_four_is_not_believed() {
    run(|ex| async move {
        let (_, _, discovery_addr) = start_discovery(ex);
        let caches: Vec<Cache> = (0..3).map(|_| start_cache(ex)).collect();
        let group = Group::new(4);
        let proxies: Vec<Process> = (0..3)
            .map(|i| {
                group.start(i, &configuration(free_addresses(1)[0], discovery_addr, &parent_entries(&caches)))
            })
            .collect();
        let accused: Vec<Addr> = (0..3).map(|i| config::address_for_id(&format!("h-{i}"))).collect();

        let lying_peer = run_lying_peer(ex, LyingPeer::new(&group, 3, &accused));
        for p in &proxies {
            wait_for_log(p, "live, 4 of 4 live").await;
        }
        wait_until("the lying peer sees all as live", || lying_peer.borrow().gossip.quorum().live == 4).await;
        let before = read_counter(&proxies[0], "gossipReceived").await;
        wait_until("statements", || lying_peer.borrow().gossip.counts.sent > 40).await;
        let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
        stranger.send_to(&[0; 120], group.addrs[0]).unwrap();
        lying_peer.borrow().socket.send_to(&[0x14; 85], group.addrs[0]).unwrap();
        lying_peer.borrow().socket.send_to(&[0; 257], group.addrs[0]).unwrap();
        sleep_until(now() + 300_000).await;
        assert!(read_counter(&proxies[0], "gossipReceived").await > before);
        for name in ["gossipDroppedSource", "gossipDroppedKey", "gossipDroppedSize"] {
            assert_eq!(read_counter(&proxies[0], name).await, 1, "{name}");
        }
        for p in &proxies {
            assert_eq!(read_counter(p, "gossipDoubts").await, 0, "{}", p.output());
        }
        // One proxy ends by SIGTERM and says so, and the others learn it at once.
        proxies[2].term().unwrap();
        wait_for_log(&proxies[0], "peer n2 is left").await;
    });
}

/// Two of four claim that one parent fails: that is enough to be believed and, where probes are allowed, to
/// have the parent probed.
#[test]
fn two_witnesses_are_believed_and_the_parent_is_probed() {
    run(|ex| async move {
        let (_, _, discovery_addr) = start_discovery(ex);
        let caches: Vec<Cache> = (0..3).map(|_| start_cache(ex)).collect();
        let group = Group::new(4);
        let json = configuration(free_addresses(1)[0], discovery_addr, &parent_entries(&caches))
            .replace("\"cancel\"", "\"probes\":true,\"cancel\"");
        let p = group.start(0, &json);
        let accused = [config::address_for_id("h-1")];
        let _lying_peers = [1, 2].map(|i| run_lying_peer(ex, LyingPeer::new(&group, i, &accused)));
        wait_for_log(&p, "gossip: h-1 is held suspect, 2 witnesses").await;
        let probed = || caches[1].commands.borrow().iter().any(|c| c[0] == "health");
        wait_until("the probe", probed).await;
        assert_eq!(read_counter(&p, "gossipProbes").await, 1);
        // The stand-in never answers the probe. That is a failure which the proxy observes itself, and
        // together with the claims it makes the proxy skip the parent.
        wait_until("the skip", || {
            p.output().contains("counters: ") && caches[1].commands.borrow().len() == 1
        })
        .await;

        sleep_until(now() + 600_000).await;
        assert_eq!(read_counter(&p, "gossipSkipsHelped").await, 1, "{}", p.output());

        // With a file that does not name the witnesses, their claims no longer count.
        group.write(0, 1);
        p.signal(Signal::HUP).unwrap();
        wait_for_log(&p, "reload: gossip has 1 peers with keys").await;
        wait_for_log(&p, "gossip: h-1 is no longer held suspect").await;
        std::fs::write(group.file(0, "toml"), "[gossip]\nsecret = 1\n").unwrap();
        p.signal(Signal::HUP).unwrap();
        wait_for_log(&p, "reload: kept gossip's peers: ").await;
    });
}

#[test]
fn a_key_file_is_created_once_and_matches_its_public_key() {
    let path = std::env::temp_dir().join(format!("threadward-key-{}", std::process::id()));
    let returned_public_key = gossip::create_key_file(&path).unwrap();
    let text = std::fs::read_to_string(&path).unwrap();
    let secret: [u8; 32] = URL_SAFE_NO_PAD.decode(text.trim()).unwrap().try_into().unwrap();
    assert_eq!(URL_SAFE_NO_PAD.encode(public_key(&secret)), returned_public_key);
    assert!(gossip::create_key_file(&path).is_err(), "an existing file is never overwritten");
    assert_eq!(std::fs::read_to_string(&path).unwrap(), text);
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn errors_in_the_gossip_part_are_one_line() {
    let key = URL_SAFE_NO_PAD.encode(public_key(&secret(0)));
    let folder = std::env::temp_dir();
    let name = format!("threadward-secret-{}", std::process::id());
    std::fs::write(folder.join(&name), URL_SAFE_NO_PAD.encode(secret(0))).unwrap();
    let read_error = |head: &str, peer: &str| {
        let text = format!("[gossip]\nsecret_file = \"{name}\"\n{head}\n[[gossip.peer]]\n{peer}\n");
        threadward::operators::parse_text(&text, "n0", Path::new(&folder)).err().unwrap_or_default()
    };
    let own = format!("name = \"n0\"\naddress = \"127.0.0.1:1\"\nkeys = [\"{key}\"]");
    assert_eq!(read_error("", &own), "");
    assert_eq!(
        read_error("perod_ms = 5", &own),
        "[gossip]: 'perod_ms' is not known; did you mean 'period_ms'?"
    );
    assert_eq!(read_error("period_ms = 5", &own), "[gossip]: 'period_ms' has to lie from 100 to 60000");
    assert_eq!(read_error("period_ms = \"1s\"", &own), "[gossip]: 'period_ms' is no number");
    assert_eq!(read_error("", "name = \"n0\""), "[gossip]: peer 'n0': 'address' is missing or no address");
    assert_eq!(
        read_error("", "name = \"n0\"\naddress = \"127.0.0.1:1\"\nkeys = [\"abc\"]"),
        "[gossip]: peer 'n0': a key that is not 32 bytes as base64url"
    );
    assert_eq!(read_error("", &own.replace("n0", "n7")), "[gossip]: no peer is named 'n0'");
    // The sample is correct but for its keys, whose secrets do not exist any more.
    let sample = include_str!("../../deploy/gossip.toml").replace("secrets/gossip.key", &name);
    let line = threadward::operators::parse_text(&sample, "n0", Path::new(&folder)).err().unwrap();
    assert_eq!(line, "[gossip]: the own secret belongs to no key of peer 'n0'");
    std::fs::remove_file(folder.join(&name)).unwrap();
}
