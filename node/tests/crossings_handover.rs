//! Hand-over between an old and a new process, with the other one ended, hung or told to end at each step. One of the
//! two is the real program; where a step has to be held, the other is this test, by its files and sockets: what goes
//! with it when it is dropped is what goes with a process that is killed.
mod common;
use async_executor::LocalExecutor;
use async_io::Async;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rstest::rstest;
use std::net::SocketAddr;
use std::process::Command;
use std::rc::Rc;
use tempfile::{tempdir, TempDir};
use threadward::ledger::{write_learned, Ledger};
use threadward::net::{self, now, sleep_until};
use threadward::{handover, shift::Shift};
use threadward_core::bans::{BanState, BanStates};
use threadward_core::shift::Phase;
use threadward_core::{Learned, UnixTime};
use threadward_faults::{Process, Start};

/// A bulletin that answers every watch at once.
fn bulletin(ex: &'static LocalExecutor<'static>) -> SocketAddr {
    let (l, at) = listen();
    ex.spawn(async move {
        while let Ok((s, _)) = l.accept().await {
            ex.spawn(async move {
                let mut chunk = [0u8; 1024];
                while (&s).read(&mut chunk).await.unwrap_or(0) > 0 {
                    (&s).write_all(b"HTTP/1.1 200 OK\r\n\r\n:\n\n").await.ok();
                }
            })
            .detach();
        }
    })
    .detach();
    at
}

/// What the processes share. One of the two caches, `s-0`, is out by a call of the staff from the start.
struct Site {
    caches: [Cache; 2],
    front: SocketAddr,
    doors: Vec<SocketAddr>,
    json: String,
    folder: TempDir,
}

fn site(ex: &'static LocalExecutor<'static>) -> Site {
    let caches = [start_cache(ex), start_cache(ex)];
    caches.iter().for_each(|c| *c.behavior.borrow_mut() = served());
    let mut doors = free_addresses(4);
    let front = doors.remove(0);
    let list = [0, 1].map(|i| server_entry(&format!("s-{i}"), caches[i].addr, "std", "active", 0));
    let json = configuration(front, bulletin(ex), &list);
    let folder = tempdir().unwrap();
    let out = BanStates::from([("s-0".into(), BanState::Banned(UnixTime::from_micros(5)))]);
    Ledger::open(folder.path(), "n0", (1, 1)).unwrap().keep(1, &out).unwrap();
    Site { caches, front, doors, json, folder }
}

impl Site {
    fn start(&self, n: usize) -> Process {
        let config = self.folder.path().join(format!("config-{n}.json"));
        std::fs::write(&config, &self.json).unwrap();
        let start = Start::new(env!("CARGO_BIN_EXE_threadward")).env("LB_CONFIG", &config);
        start
            .env("LB_ADMIN_ADDR", self.doors[n].to_string())
            .env("TMPDIR", self.folder.path())
            .spawn()
            .unwrap()
    }

    async fn ready(&self, n: usize, p: &Process) {
        let end = now() + 6_000_000;
        while Async::<std::net::TcpStream>::connect(self.doors[n]).await.is_err()
            || admin_command(self.doors[n], &["READY\n"]).await != "done ready\n"
        {
            assert!(now() < end, "never ready:\n{}", p.text());
            sleep_until(now() + 5_000).await;
        }
    }

    /// A process of this test: as another one of this proxy sees it.
    fn other(&self, started: u64) -> Ledger {
        Ledger::open(self.folder.path(), "n0", (started, 1)).unwrap()
    }

    /// Requests as clients send them, each on its own connection: a refused connection and `Full` are tried again, but
    /// what was sent has its answer. The server that is out gets none.
    async fn serves(&self, n: u32) {
        let end = now() + 6_000_000;
        let mut left = n;
        while left > 0 {
            assert!(now() < end, "not served");
            let Ok(stream) = Async::<std::net::TcpStream>::connect(self.front).await else {
                sleep_until(now() + 5_000).await;
                continue;
            };
            drop(stream);
            let (mut c, text) = (Client::connect(self.front).await, format!("{:016x}", now()));
            c.send(&request(1, "media", &[("call", &text), ("row", &text)])).await;
            match c.answer().await.expect("an answer") {
                (1, None, body) if body == b"whole" => left -= 1,
                (1, Some(word), _) if word == "Full" => sleep_until(now() + 5_000).await,
                other => panic!("{other:?}"),
            }
        }
        assert!(self.caches[0].commands.borrow().is_empty(), "the ban was lost");
    }

    /// A further process starts, takes over from this one, and serves.
    async fn goes_on(&self, n: usize, from: &Process) {
        self.serves(3).await;
        let next = self.start(n);
        self.ready(n, &next).await;
        from.term().unwrap();
        ends(from).await;
        assert!(from.text().contains("stop: gives way to another process"), "{}", from.text());
        self.serves(3).await;
        assert_eq!(next.ended(), None);
        let left: Vec<String> = self.files().into_iter().filter(|f| f.ends_with("-1")).collect();
        assert_eq!(left, [""; 0], "what an ended one left is removed");
    }

    fn files(&self) -> Vec<String> {
        let all = std::fs::read_dir(self.folder.path()).unwrap();
        all.map(|e| e.unwrap().file_name().into_string().unwrap()).collect()
    }

    /// The listening sockets at the clients' address.
    fn queues(&self) -> Vec<String> {
        let std::net::IpAddr::V4(ip) = self.front.ip() else { panic!("an address of the loopback net") };
        let at = format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), self.front.port());
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let rows = table.lines().map(|l| l.split_whitespace().collect::<Vec<_>>());
        rows.filter(|r| r[1] == at && r[3] == "0A").map(|r| format!("socket:[{}]", r[9])).collect()
    }

    /// Whether this process holds one of them.
    fn listens(&self, p: &Process) -> bool {
        let queues = self.queues();
        let fds = std::fs::read_dir(format!("/proc/{}/fd", p.id())).into_iter().flatten().flatten();
        let mut links = fds.filter_map(|e| std::fs::read_link(e.path()).ok());
        links.any(|l| queues.iter().any(|q| l.as_os_str() == q.as_str()))
    }
}

/// The site with one process of the proxy that is ready.
async fn serving(ex: &'static LocalExecutor<'static>) -> (Site, Process) {
    let s = site(ex);
    let old = s.start(0);
    s.ready(0, &old).await;
    (s, old)
}

async fn ends(p: &Process) {
    wait_until("the end", || p.ended().is_some()).await;
    assert_eq!(p.ended().unwrap().code(), Some(0), "{}", p.text());
    // What it said comes by a pipe, and may come later than its end.
    wait_until("the last line", || p.text().ends_with("end\n")).await;
}

/// Where the old process ends, or hangs, while a new one starts.
#[derive(Clone, Copy, PartialEq)]
enum Old {
    Shown,
    HalfWritten,
    Damaged,
    Taught,
    Asked,
    Hangs,
    GivesAnother,
    Given,
}

#[rstest]
#[case::before_it_teaches(Old::Shown)]
#[case::as_it_writes_what_it_learned(Old::HalfWritten)]
#[case::what_it_learned_is_cut(Old::Damaged)]
#[case::after_it_taught(Old::Taught)]
#[case::as_it_is_asked_for_the_socket(Old::Asked)]
#[case::it_hangs_when_asked(Old::Hangs)]
#[case::it_gives_a_socket_at_another_address(Old::GivesAnother)]
#[case::after_it_gave_the_socket(Old::Given)]
fn the_old_process_ends(#[case] step: Old) {
    run(|ex| async move {
        let s = site(ex);
        let old = s.other(5);
        old.show(Phase::Ready, 1).unwrap();
        let own = Rc::new(net::bind_address(s.front, true).unwrap().listen().unwrap());
        let (elsewhere, _) = listen();
        let new = s.start(0);
        wait_for_log(&new, "shift: 1 other processes of this proxy live").await;
        let pupil = old.others()[0].rank;
        let text = write_learned(&["media", "booking", "quick"].map(str::to_owned), &Learned::default());
        let file = |kind: &str, of: (u64, u32)| {
            s.folder.path().join(format!("threadward-n0.{kind}-{:016x}-{}", of.0, of.1))
        };
        match step {
            Old::Shown => {}
            Old::HalfWritten => std::fs::write(file("aside", old.rank()), &text[..text.len() / 2]).unwrap(),
            Old::Damaged => {
                std::fs::write(file("learned", pupil), &text[..text.len() / 2]).unwrap();
                wait_for_log(&new, "what another process has learned is not used: ").await;
            }
            _ => {
                let at = handover::open(&old.socket_path(old.rank())).unwrap();
                old.teach(pupil, &text).unwrap();
                wait_for_log(&new, "shift: took over what another process has learned").await;
                match step {
                    Old::Asked => drop(at.accept().await.unwrap()),
                    Old::Hangs => {
                        let _asking = at.accept().await.unwrap();
                        s.ready(0, &new).await;
                    }
                    Old::GivesAnother => {
                        ex.spawn(handover::offer(at, Rc::downgrade(&elsewhere))).detach();
                        s.ready(0, &new).await;
                    }
                    Old::Given => {
                        // Waits in the queue that both have; whoever is left takes it.
                        let mut waits = Client::connect(s.front).await;
                        waits.send(&request(1, "media", &[])).await;
                        ex.spawn(handover::offer(at, Rc::downgrade(&own))).detach();
                        s.ready(0, &new).await;
                        assert_eq!(s.queues().len(), 1);
                        assert_eq!(waits.answer().await, Some((1, None, b"whole".to_vec())));
                    }
                    _ => {}
                }
            }
        }
        // Its death: its lock and all its sockets go.
        drop((old, own));
        s.ready(0, &new).await;
        s.goes_on(1, &new).await;
    });
}

/// Where a new process ends while the old one serves on, or has just given way to it.
#[derive(Clone, Copy, PartialEq)]
enum New {
    Unnamed,
    Shown,
    Taught,
    Asks,
    Took,
    Ready,
    TookOver,
}

#[rstest]
#[case::before_it_shows_itself(New::Unnamed)]
#[case::as_it_starts(New::Shown)]
#[case::what_was_learned_lies_there(New::Taught)]
#[case::as_it_asks_for_the_socket(New::Asks)]
#[case::with_the_socket_before_it_listens(New::Took)]
#[case::ready(New::Ready)]
#[case::after_the_old_one_gave_way(New::TookOver)]
fn the_new_process_ends(#[case] step: New) {
    run(|ex| async move {
        let (s, old) = serving(ex).await;
        if step == New::Unnamed {
            let file =
                std::fs::File::create(s.folder.path().join("threadward-n0.new-0000000000000009-1")).unwrap();
            let long_ago = std::time::Duration::from_millis(unix_ms() - 120_000);
            file.set_modified(std::time::UNIX_EPOCH + long_ago).unwrap();
            return s.goes_on(1, &old).await;
        }
        let new = s.other(now());
        wait_for_log(&old, "shift: what was learned is handed to a process that starts").await;
        let path = new.socket_path(new.others()[0].rank);
        let mut held = None;
        match step {
            New::Asks => drop(Async::<std::os::unix::net::UnixStream>::connect(&path).await.unwrap()),
            New::Took | New::Ready | New::TookOver => {
                held = handover::ask(&path, s.front, now() + 5_000_000).await;
                assert!(held.is_some());
            }
            _ => {}
        }
        if matches!(step, New::Ready | New::TookOver) {
            new.show(Phase::Ready, 1).unwrap();
            wait_for_log(&old, "shift: another process is ready to take over").await;
        }
        if step == New::TookOver {
            old.term().unwrap();
            ends(&old).await;
            assert!(old.text().contains("stop: gives way"), "{}", old.text());
            drop((new, held));
            let next = s.start(2);
            s.ready(2, &next).await;
            return s.goes_on(1, &next).await;
        }
        drop((new, held));
        wait_for_log(&old, "shift: 0 other processes of this proxy live").await;
        s.goes_on(1, &old).await;
    });
}

/// The real processes of both sides: the old one stands still and is killed while the new one waits for it.
#[test]
fn the_old_process_is_killed_while_the_new_one_waits() {
    run(|ex| async move {
        let (s, old) = serving(ex).await;
        old.stop().unwrap();
        let new = s.start(1);
        wait_for_log(&new, "shift: 1 other processes of this proxy live").await;
        old.kill().unwrap();
        s.ready(1, &new).await;
        s.goes_on(2, &new).await;
    });
}

/// Two that start together, the later in rank seen first or both in one look, are both taught.
#[test]
fn two_new_processes_at_once_are_both_taught() {
    run(|ex| async move {
        let (s, old) = serving(ex).await;
        old.stop().unwrap();
        let at = now();
        let both = [s.other(at + 9), s.other(at + 7), s.other(5)];
        old.cont().unwrap();
        let classes = ["media", "booking", "quick"].map(str::to_owned);
        for new in &both {
            wait_until("what was learned", || new.taught(&classes).unwrap().is_some()).await;
        }
    });
}

/// Two that start where nobody serves, with no list and no bulletin: one of them listens, the other does once that has
/// gone, and clients are told.
#[test]
fn two_that_cannot_be_ready_do_not_wait_for_each_other() {
    run(|ex| async move {
        let mut s = site(ex);
        let (_silent, at) = listen();
        s.json = configuration(s.front, at, &[]).replace(r#""known""#, r#""none""#);
        let old = s.other(5);
        old.show(Phase::Ready, 1).unwrap();
        let new = [s.start(0), s.start(1)];
        for p in &new {
            wait_for_log(p, "shift: 2 other processes of this proxy live").await;
        }
        drop(old);
        for _ in &new {
            wait_until("a listener", || !s.queues().is_empty()).await;
            let mut c = Client::connect(s.front).await;
            c.send(&request(1, "media", &[])).await;
            assert_eq!(c.answer().await.unwrap().1.as_deref(), Some("Full"));
            new.iter().find(|p| s.listens(p)).unwrap().kill().unwrap();
        }
    });
}

/// Told to end while it asks for the socket: it ends at once and the queue stays with the process that has it; where the
/// socket comes in the same turn, a client that it takes from the queue is answered.
#[rstest]
#[case::before_it_is_given(false)]
#[case::in_the_same_turn(true)]
fn told_to_end_while_it_asks_for_the_socket(#[case] given: bool) {
    run(|ex| async move {
        let s = site(ex);
        let old = s.other(5);
        old.show(Phase::Ready, 1).unwrap();
        let own = Rc::new(net::bind_address(s.front, true).unwrap().listen().unwrap());
        let at = handover::open(&old.socket_path(old.rank())).unwrap();
        let new = s.start(0);
        let (asking, _) = at.accept().await.unwrap();
        let mut waits = Client::connect(s.front).await;
        waits.send(&request(1, "media", &[])).await;
        new.stop().unwrap();
        new.term().unwrap();
        if given {
            handover::give(asking.get_ref(), own.get_ref()).unwrap();
        }
        new.cont().unwrap();
        ends(&new).await;
        if own.get_ref().accept().is_err() {
            assert!(given, "taken from the queue by one that never had it");
            assert_eq!(waits.answer().await, Some((1, None, b"whole".to_vec())));
        }
    });
}

/// The old one was told to end before the new one was ready: it still hands its queue over, and what it took is answered.
#[test]
fn a_process_that_ends_still_hands_its_queue_over() {
    run(|ex| async move {
        let (s, old) = serving(ex).await;
        let queue = s.queues();
        *s.caches[1].behavior.borrow_mut() = CacheBehavior::Silent;
        let mut c = Client::connect(s.front).await;
        c.send(&request(1, "media", &[("ttl", "6000")])).await;
        wait_until("the attempt", || !s.caches[1].commands.borrow().is_empty()).await;
        old.term().unwrap();
        wait_for_log(&old, "stop: SIGTERM, 1 requests open").await;
        let new = s.start(1);
        s.ready(1, &new).await;
        assert_eq!(s.queues(), queue, "one queue for both");
        wait_for_log(&old, "stop: gives way to another process").await;
        let call = s.caches[1].commands.borrow()[0][1].clone();
        s.caches[1].reply(&call, b"whole").await;
        assert_eq!(c.answer().await, Some((1, None, b"whole".to_vec())));
        ends(&old).await;
        *s.caches[1].behavior.borrow_mut() = served();
        s.goes_on(2, &new).await;
    });
}

/// Connections that wait in the queue as the old one stops, one queue or two; a request that it has half read; and both
/// told to end in one moment: one of them sees the other and stays until what waits is answered.
#[rstest]
#[case::one_queue(true, false)]
#[case::two_queues(false, false)]
#[case::both_told_to_end(true, true)]
fn what_waits_when_the_old_one_stops(#[case] shared: bool, #[case] both: bool) {
    run(|ex| async move {
        let (s, old) = serving(ex).await;
        let mut begun = Client::connect(s.front).await;
        let bytes = request(1, "media", &[]);
        begun.send(&bytes[..bytes.len() / 2]).await;
        if !shared {
            let sock = s.files().into_iter().find(|f| f.contains(".sock-")).unwrap();
            std::fs::remove_file(s.folder.path().join(sock)).unwrap();
        }
        let new = s.start(1);
        s.ready(1, &new).await;
        assert_eq!(s.queues().len(), if shared { 1 } else { 2 });
        new.stop().unwrap();
        old.stop().unwrap();
        let mut waiting = Vec::new();
        for id in 0..16u32 {
            let c = Client::connect(s.front).await;
            c.send(&request(1, "media", &[("call", &format!("{:016x}", 50 + id))])).await;
            waiting.push(c);
        }
        old.term().unwrap();
        if both {
            new.term().unwrap();
            new.cont().unwrap();
        }
        old.cont().unwrap();
        wait_for_log(&old, "stop: ").await;
        begun.send(&bytes[bytes.len() / 2..]).await;
        assert_eq!(begun.answer().await.map(|a| a.0), Some(1));
        if !both {
            ends(&old).await;
            assert!(old.text().contains("stop: gives way"), "{}", old.text());
            new.cont().unwrap();
        }
        for mut c in waiting {
            assert_eq!(c.answer().await.map(|a| a.0), Some(1));
        }
        if both {
            ends(&old).await;
            ends(&new).await;
            let gave = [&old, &new].map(|p| p.text().contains("stop: gives way"));
            assert!(gave != [true, true], "each left the clients to the other");
            let next = s.start(2);
            s.ready(2, &next).await;
            return s.serves(3).await;
        }
        s.goes_on(2, &new).await;
    });
}

/// The limit on descriptors of a running process.
fn descriptors(p: &Process, most: u32) {
    let args = [format!("--pid={}", p.id()), format!("--nofile={most}:")];
    assert!(Command::new("prlimit").args(args).status().unwrap().success());
}

/// A process without a free descriptor cannot look at the files: a ban that was set meanwhile comes into force once it can.
#[test]
fn a_file_of_bans_that_cannot_be_opened_for_a_while() {
    run(|ex| async move {
        let (s, old) = serving(ex).await;
        let new = s.start(1);
        s.ready(1, &new).await;
        wait_for_log(&old, "shift: another process is ready to take over").await;
        descriptors(&new, 3);
        assert_eq!(admin_command(s.doors[0], &["ENABLE s-0\n"]).await, "done in use\n");
        wait_for_log(&new, "bans: the file of bans ").await;
        descriptors(&new, 1024);
        wait_for_log(&new, "bans: 0 servers are out (version 2)").await;
    });
}

/// The same as it is told to end: the process beside it, which it cannot look at now, lives on, and has the clients.
#[test]
fn told_to_end_without_a_free_descriptor() {
    run(|ex| async move {
        let (s, old) = serving(ex).await;
        let new = s.start(1);
        s.ready(1, &new).await;
        wait_for_log(&old, "shift: another process is ready to take over").await;
        descriptors(&old, 3);
        old.term().unwrap();
        ends(&old).await;
        assert!(old.text().contains("stop: gives way"), "{}", old.text());
        s.goes_on(2, &new).await;
    });
}

/// Who sees that a process listens can ask it for its socket; who is told that it is ready finds it shown as ready.
#[test]
fn what_a_process_says_of_itself_is_so_for_the_others() {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        let folder = tempdir().unwrap();
        let shift = Shift::new(w.node.clone(), Some(folder.path()));
        shift.listens(&listen().0);
        let file = |kind: &str| {
            let mut all = std::fs::read_dir(folder.path()).unwrap().map(|e| e.unwrap().path());
            all.find(|p| p.to_string_lossy().contains(kind))
        };
        assert!(file(".sock-").is_some_and(|p| std::os::unix::net::UnixStream::connect(p).is_ok()));
        // The same of its readiness: who is told yes starts the next one, which looks at the file.
        wait_until("the bulletin", || w.node.heard.get()).await;
        assert_eq!(shift.ready(), Ok(()));
        assert!(std::fs::read_to_string(file(".run-").unwrap()).unwrap().starts_with("ready "));
    });
}
