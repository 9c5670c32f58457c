//! Budgets shared by proxies that are processes of their own, with a relay between each pair that drops, delays and cuts:
//! what a cache is sent by all of them together never exceeds the whole.
mod common;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use common::*;
use rstest::rstest;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use threadward::net::{now, sleep_until};
use threadward_budgets::wire;

const PROXIES: usize = 3;
/// Probes of one cache a second that all may make together; alone, each would make five in two seconds.
const WHOLE: u64 = 2;

fn address() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// What the relay does with messages from one proxy to another.
#[derive(Clone, Copy, Default)]
struct Fault {
    cut: bool,
    /// One in so many is dropped; 0: none. And how late the others are.
    drop: u32,
    late: Duration,
}

type Faults = Arc<Mutex<[[Fault; PROXIES]; PROXIES]>>;

/// Carries messages from proxy `a` to proxy `b`, at `to`, until the test's process ends.
fn relay(a: usize, b: usize, to: SocketAddr, faults: Faults) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let at = socket.local_addr().unwrap();
    socket.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
    std::thread::spawn(move || {
        let (mut waiting, mut buf, mut n) = (Vec::<(Instant, Vec<u8>)>::new(), [0; 256], 0u32);
        loop {
            if let Ok(len) = socket.recv(&mut buf) {
                n += 1;
                let f = faults.lock().unwrap()[a][b];
                if !f.cut && (f.drop == 0 || n % f.drop != 0) {
                    waiting.push((Instant::now() + f.late, buf[..len].to_vec()));
                }
            }
            waiting.retain(|(when, bytes)| {
                let due = Instant::now() >= *when;
                if due {
                    socket.send_to(bytes, to).ok();
                }
                !due
            });
        }
    });
    at
}

struct Fleet {
    folder: PathBuf,
    faults: Faults,
    own: Vec<SocketAddr>,
    children: Vec<Child>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for c in &mut self.children {
            c.kill().ok();
            c.wait().ok();
        }
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

impl Fleet {
    /// Proxies that all know the same caches; `shared`: with budgets.
    fn start(
        what: &str,
        config: impl Fn(SocketAddr) -> String,
        fronts: &[SocketAddr],
        shared: bool,
    ) -> Fleet {
        let folder = std::env::temp_dir().join(format!("threadward-budgets-{what}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("key"), URL_SAFE_NO_PAD.encode([7; 32])).unwrap();
        let (faults, own): (Faults, Vec<SocketAddr>) =
            (Faults::default(), fronts.iter().map(|_| address()).collect());
        let mut children = Vec::new();
        for (a, front) in fronts.iter().enumerate() {
            let json = config(*front).replace("\"name\":\"n0\"", &format!("\"name\":\"n{a}\""));
            std::fs::write(folder.join(format!("{a}.json")), json).unwrap();
            let mut text =
                format!("[budgets]\nsecret_file = \"key\"\nlease_ms = 600\nprobes_per_cache_s = {WHOLE}\n");
            for (b, at) in own.iter().enumerate() {
                let at = if a == b { *at } else { relay(a, b, *at, faults.clone()) };
                text += &format!("[[budgets.proxy]]\nname = \"n{b}\"\naddress = \"{at}\"\nvoter = true\n");
            }
            std::fs::write(folder.join(format!("{a}.toml")), if shared { &text } else { "" }).unwrap();
            let log = std::fs::File::create(folder.join(format!("{a}.log"))).unwrap();
            let mut command = Command::new(env!("CARGO_BIN_EXE_threadward"));
            command.arg("--fronts").arg(folder.join(format!("{a}.toml")));
            command.env("LB_CONFIG", folder.join(format!("{a}.json"))).stderr(log);
            children.push(command.spawn().unwrap());
        }
        Fleet { folder, faults, own, children }
    }

    fn log(&self, i: usize) -> String {
        std::fs::read_to_string(self.folder.join(format!("{i}.log"))).unwrap_or_default()
    }

    fn signal(&self, i: usize, signal: &str) {
        let kill = format!("kill -{signal} {}", self.children[i].id());
        assert!(Command::new("sh").args(["-c", &kill]).status().unwrap().success());
    }

    /// The places that divide now, by their logs.
    fn dividing(&self) -> Vec<usize> {
        let said = |i: &usize| {
            let log = self.log(*i);
            let last =
                log.lines().rfind(|l| l.contains("budgets: this proxy") || l.contains("no longer divided"));
            last.is_some_and(|l| l.contains("this proxy divides"))
        };
        (0..self.children.len()).filter(said).collect()
    }

    fn all(&self, f: impl Fn(usize, usize) -> Fault) {
        let mut all = self.faults.lock().unwrap();
        for (a, row) in all.iter_mut().enumerate() {
            row.iter_mut().enumerate().for_each(|(b, fault)| *fault = f(a, b));
        }
    }
}

/// Requests without a pause, so that each proxy would probe as often as it may.
fn load(ex: &'static async_executor::LocalExecutor<'static>, front: SocketAddr) {
    ex.spawn(async move {
        loop {
            let mut c = Client::to(front).await;
            for id in 1.. {
                c.send(&request(id, "media", &[])).await;
                if c.answer().await.is_none() {
                    break;
                }
                sleep_until(now() + 2_000).await;
            }
        }
    })
    .detach();
}

/// When the cache was probed, in microseconds: taken as they come.
fn watch(
    ex: &'static async_executor::LocalExecutor<'static>,
    c: &Cache,
) -> std::rc::Rc<std::cell::RefCell<Vec<u64>>> {
    let (seen, times) = (c.seen.clone(), std::rc::Rc::new(std::cell::RefCell::new(Vec::new())));
    let all = times.clone();
    ex.spawn(async move {
        loop {
            let new = seen.borrow_mut().drain(..).filter(|p| p[0] == "gauges").count();
            all.borrow_mut().extend(std::iter::repeat_n(now(), new));
            sleep_until(now() + 5_000).await;
        }
    })
    .detach();
    times
}

/// The most probes in any five seconds.
fn densest(times: &[u64]) -> usize {
    let within = |i: usize| times[i..].iter().take_while(|t| **t < times[i] + 5_000_000).count();
    (0..times.len()).map(within).max().unwrap_or(0)
}

async fn wait(ms: u64) {
    sleep_until(now() + ms * 1000).await;
}

fn caught(what: &'static str, shared: bool, faults: bool) -> usize {
    let most = std::rc::Rc::new(std::cell::Cell::new(0));
    let out = most.clone();
    run(|ex| async move {
        let c = cache(ex);
        *c.act.borrow_mut() =
            Act::Say("served", "version=4be0c1927d55a6f3,stamp=1,detail=HIT", b"whole".to_vec());
        let (_, _, bulletin) = news(ex);
        let servers = [
            server("s-0", c.at, "std", "active", 0),
            server("origin", ([127, 0, 0, 1], 9).into(), "origin", "active", 0),
        ];
        let config = |front| {
            let json = configuration(front, bulletin, &servers);
            json.replace("inline", "on_probe").replace(r#""cancel""#, r#""probes":true,"cancel""#)
        };
        let fronts: Vec<SocketAddr> = (0..PROXIES).map(|_| listen().1).collect();
        let fleet = Fleet::start(what, config, &fronts, shared);
        let started = |i: usize| fleet.log(i).contains("start: ");
        until("the starts", || (0..PROXIES).all(started)).await;
        wait(300).await;
        let times = watch(ex, &c);
        fronts.iter().for_each(|f| load(ex, *f));
        if shared {
            until("one that divides", || fleet.dividing().len() == 1).await;
        }
        wait(2_500).await;
        if faults {
            let first = fleet.dividing()[0];
            // The one that divides is cut off: the other two go on with another, and it with its floor.
            fleet.all(|a, b| Fault { cut: a == first || b == first, ..Fault::default() });
            until("another that divides", || fleet.dividing().iter().any(|i| *i != first)).await;
            until("the first without authority", || !fleet.dividing().contains(&first)).await;
            wait(1_500).await;
            // One message in three lost, the others late by half a lease time's third.
            fleet.all(|_, _| Fault { drop: 3, late: Duration::from_millis(80), ..Fault::default() });
            wait(2_000).await;
            fleet.all(|_, _| Fault::default());
            // A holder stopped over the end of its lease, and woken.
            until("one that divides", || fleet.dividing().len() == 1).await;
            let held = (fleet.dividing()[0] + 1) % PROXIES;
            fleet.signal(held, "STOP");
            wait(1_500).await;
            fleet.signal(held, "CONT");
            wait(1_500).await;
            // Somebody without the key asks for everything in the name of a proxy.
            let wants = wire::Body::Want { question: 1_000_000, holds: 0, wants: vec![u32::MAX] };
            let mut forged = wire::write(wire::Author { place: 1, life: 9 }, &wants);
            forged.extend([0; 16]);
            UdpSocket::bind("127.0.0.1:0").unwrap().send_to(&forged, fleet.own[0]).unwrap();
            wait(100).await;
            fleet.signal(0, "USR1");
            until("the forged one in the counters", || fleet.log(0).contains("budgetForged=1 ")).await;
        }
        let times = times.borrow();
        assert!(times.len() >= 5, "{} probes: hardly any", times.len());
        out.set(densest(&times));
    });
    most.get()
}

#[test]
fn all_together_keep_to_the_whole_through_cuts_losses_delays_and_pauses() {
    // What all may send in five seconds, and one at once from each whose share grows.
    let most = WHOLE as usize * 5 + PROXIES;
    let seen = caught("faults", true, true);
    assert!(seen <= most, "{seen} probes in five seconds, {most} at most");
}

#[test]
fn without_shared_budgets_each_takes_its_own() {
    let most = WHOLE as usize * 5 + PROXIES;
    let seen = caught("none", false, false);
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
    static N: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let n = N.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("threadward-budgets-file-{}-{n}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("key"), URL_SAFE_NO_PAD.encode([7; 32])).unwrap();
    let head = "[budgets]\nsecret_file = \"key\"\nlease_ms = 600\nprobes_per_cache_s = 2\n";
    let read = |rest: &str| threadward::operators::fronts(&format!("{head}{rest}"), "n0", &folder);
    let error = read(rest).err().unwrap();
    assert!(error.starts_with("[budgets]: ") && error.contains(says) && !error.contains('\n'), "{error}");
    assert!(read(PROXY).is_ok_and(|f| f.budgets.is_some()));
    std::fs::remove_dir_all(&folder).unwrap();
}

const PROXY: &str = "[[budgets.proxy]]\nname = \"n0\"\naddress = \"127.0.0.1:7000\"\nvoter = true\n";
