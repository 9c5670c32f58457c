//! The operators' door and the files behind it: the form of calls and files as tables, a ban with real sockets, callers
//! that say nothing, and two processes of the real program that serve as one.
mod common;
use common::*;
use rstest::rstest;
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Output};
use std::rc::Rc;
use tempfile::{tempdir, TempDir};
use threadward::admin::{parse_command, AdminCommand, MAX_CALLERS};
use threadward::bulletin;
use threadward::clock::unix_now;
use threadward::ledger::{format_bans, format_learned, parse_bans, parse_learned, SharedFiles};
use threadward::net::{now, sleep_until};
use threadward_core::bans::{self, BanStates};
use threadward_core::shift::{Phase, ProcessStatus};
use threadward_core::{ClientRequest, Counter, FinalAnswer, Learned, UnixTime};

#[rstest]
#[case::ready(b"READY", Ok(AdminCommand::Ready))]
#[case::spaces(b"  DISABLE \t s-00c41f7a ", Ok(AdminCommand::Disable("s-00c41f7a")))]
#[case::crlf(b"ENABLE s-1\r", Ok(AdminCommand::Enable("s-1")))]
#[case::empty(b"", Err("empty call"))]
#[case::blank(b" \r", Err("empty call"))]
#[case::no_id(b"DISABLE", Err("the id is missing"))]
#[case::two_ids(b"DISABLE s-1 s-2", Err("too many words"))]
#[case::more(b"READY now", Err("too many words"))]
#[case::lower(b"ready", Err("unknown call: READY, DISABLE ID or ENABLE ID"))]
#[case::other(b"RESTART s-1", Err("unknown call: READY, DISABLE ID or ENABLE ID"))]
#[case::no_text(b"DISABLE \xff\xfe", Err("not text"))]
#[case::nul(b"DISABLE s-\0", Err("unknown cache server"))]
fn lines(#[case] line: &[u8], #[case] want: Result<AdminCommand<'_>, &'static str>) {
    assert_eq!(parse_command(line), want);
}

fn calls() -> BanStates {
    let at = UnixTime::from_micros;
    let out = bans::BanState::Banned(at(5));
    BanStates::from([
        ("s-1".into(), out),
        ("s-2".into(), bans::BanState::Lifted { banned_at: at(5), lifted_at: at(9) }),
    ])
}

/// A file is taken whole or not at all: any cut, any changed byte, another kind or version is refused.
#[test]
fn files_that_cannot_be_trusted() {
    let text = format_bans(7, &calls());
    assert_eq!(parse_bans(&text), Ok((7, calls())));
    for n in 0..text.len() {
        assert!(parse_bans(&text[..n]).is_err(), "cut at {n}");
        let mut bytes = text.clone().into_bytes();
        bytes[n] = if bytes[n] == b'0' { b'1' } else { b'0' };
        assert!(parse_bans(&String::from_utf8(bytes).unwrap()).is_err(), "changed at {n}");
    }
    let newer = text.replace("threadward-bans 1", "threadward-bans 2");
    assert_eq!(parse_bans(&newer), Err("of another version of the program".into()));
    assert_eq!(parse_bans("PRETTY_NAME=\"x\"\n"), Err("not a file of bans".into()));
    let (classes, learned) = (["media".to_owned()], Learned { link_load: 0.5, ..Learned::default() });
    let text = format_learned(&classes, &learned);
    assert_eq!(parse_learned(&classes, &text), Ok(learned));
    assert_eq!(parse_learned(&["pages".to_owned()], &text), Err("of other classes".into()));
    assert!(parse_bans(&text).is_err() && parse_learned(&classes, &text[..text.len() - 1]).is_err());
}

/// A process is seen for as long as it lives, whatever else is in the folder; what a killed one left is removed.
#[test]
fn who_lives() {
    let folder = tempdir().unwrap();
    let dir = folder.path();
    std::fs::write(dir.join("threadward-n0.run-0000000000000001-77"), "ready 3\n").unwrap();
    std::fs::write(dir.join("threadward-n1.run-0000000000000001-78"), "ready 3\n").unwrap();
    let a = SharedFiles::open(dir, "n0", (5, 1)).unwrap();
    let b = SharedFiles::open(dir, "n0", (6, 2)).unwrap();
    assert_eq!(
        a.other_processes(),
        [ProcessStatus { rank: (6, 2), phase: Phase::Starting, bans_version: 0 }]
    );
    assert!(!dir.join("threadward-n0.run-0000000000000001-77").exists());
    assert!(dir.join("threadward-n1.run-0000000000000001-78").exists(), "another proxy's file is left alone");
    b.publish(Phase::Ready, 12).unwrap();
    b.publish(Phase::Ending, 4).unwrap();
    assert_eq!(a.other_processes(), [ProcessStatus { rank: (6, 2), phase: Phase::Ending, bans_version: 4 }]);
    let held = a.lock_bans().unwrap();
    assert!(b.lock_bans().unwrap().is_none());
    drop(held);
    assert!(soon(|| b.lock_bans().unwrap().is_some()));
    a.store_bans(3, &calls()).unwrap();
    assert_eq!(b.load_bans(), Ok((3, calls())));
    std::fs::write(dir.join("threadward-n0.bans"), "threadward-bans 1\n").unwrap();
    assert!(b.load_bans().is_err());
    drop(b);
    assert!(soon(|| a.other_processes().is_empty()));
}

/// Whether it comes to hold. A process that another test starts holds this one's locks until it is the program it becomes.
fn soon(mut holds: impl FnMut() -> bool) -> bool {
    let end = now() + 5_000_000;
    while !holds() && now() < end {
        std::thread::sleep(std::time::Duration::from_millis(2));
    }
    holds()
}

/// A server that is out gets nothing, also as a source, whatever the bulletin says; called back it is cold at first.
#[test]
fn a_server_taken_out_and_called_back() {
    run(|ex| async move {
        let w = start_testbed(ex, 2).await;
        w.set_behavior(served());
        let folder = tempdir().unwrap();
        let dir = folder.path();
        let (_shift, at) = start_admin(&w, Some(dir));
        wait_until("the bulletin", || w.node.discovery_heard.get()).await;
        assert_eq!(admin_command(at, &["READY\n"]).await, "done ready\n");
        assert_eq!(admin_command(at, &["DISABLE s-9\n"]).await, "error unknown cache server\n");
        assert_eq!(admin_command(at, &["DIS", "ABLE s", "-0\r\nENABLE s-0\n"]).await, "done out\n");
        assert_eq!(admin_command(at, &["DISABLE s-0"]).await, "done out\n");
        let mut c = Client::connect(w.front).await;

        let mut id = 0;
        let mut play = async |n: u32| {
            let before = (w.caches[0].commands.borrow().len(), w.caches[1].commands.borrow().len());
            for _ in 0..n {
                id += 1;
                c.send(&request(id, "media", &[("row", &format!("{id:016x}"))])).await;
                assert_eq!(c.answer().await.unwrap().1, None);
            }
            let seen = (w.caches[0].commands.borrow().len(), w.caches[1].commands.borrow().len());
            (seen.0 - before.0, seen.1 - before.1)
        };
        assert_eq!(play(30).await, (0, 30));
        let again = server_entry("s-0", w.caches[0].addr, "std", "active", 0);
        w.publish_event(&format!(r#""roster":{{"version":2,"full":false,"servers":[{again}]}}"#)).await;
        assert_eq!(play(30).await, (0, 30), "the bulletin does not undo a ban");
        // A process that starts now finds the ban.
        let other = start_testbed(ex, 2).await;
        let (_other, _) = start_admin(&other, Some(dir));
        assert!(other.node.bans.borrow().is_banned("s-0"));
        assert_eq!(admin_command(at, &["ENABLE s-0\n"]).await, "done in use\n");
        let (cold, warm) = play(100).await;
        assert!(cold > 0 && cold * 2 < warm, "{cold} to the one that came back, {warm} to the other");
        assert_eq!(
            admin_command(at, &["ENABLE s-0\n"]).await,
            "done in use\n",
            "with no ban it is a yes as well"
        );
        let count = |c| w.node.plan(|p, _| p.counters.get(c));
        assert_eq!((count(Counter::BansSet), count(Counter::BansLifted)), (1, 1));
        assert_eq!((count(Counter::AdminCommands), count(Counter::AdminRefused)), (6, 1));
    });
}

/// All of a location's servers out: refused at once and never sent, with the time to stay away.
#[test]
fn all_servers_out() {
    run(|ex| async move {
        let w = start_testbed(ex, 2).await;
        let (_shift, at) = start_admin(&w, None);
        for id in ["s-0", "s-1"] {
            assert_eq!(admin_command(at, &[&format!("DISABLE {id}\n")]).await, "done out\n");
        }
        let (mut c, from) = (Client::connect(w.front).await, now());
        c.send(&request(1, "media", &[])).await;
        assert_eq!(c.answer().await.unwrap().1.as_deref(), Some("Full"));
        assert!(now() < from + 500_000 && w.received_requests().is_empty());
    });
}

/// What was decided just before a ban and is not yet written goes nowhere: it never ran, and is refused.
#[test]
fn a_ban_holds_for_what_is_not_yet_written() {
    run(|ex| async move {
        let w = start_testbed(ex, 2).await;
        w.set_behavior(served());
        let said: Rc<std::cell::RefCell<Option<FinalAnswer>>> = Rc::default();
        let (told, object) = (said.clone(), u64::from_str_radix(OBJECT, 16).unwrap());
        let ask = ClientRequest {
            call_id: "00".into(),
            object_name: OBJECT.into(),
            object,
            expires_at: now() + 2_000_000,
            ..ClientRequest::default()
        };
        let reply = Box::new(move |last| *told.borrow_mut() = Some(last));
        w.node.plan(|p, now| p.accept_request(now, 0, ask, reply));
        // No task has had its turn since.
        let out = [0, 1].map(|i| (format!("s-{i}"), bans::BanState::Banned(unix_now())));
        let changed = w.node.bans.borrow_mut().adopt(BanStates::from(out));
        bulletin::apply_bans(&w.node, changed, 0);
        wait_until("the answer", || said.borrow().is_some()).await;

        assert!(matches!(*said.borrow(), Some(FinalAnswer::Refused { .. })), "{:?}", said.borrow());
        assert!(w.received_requests().is_empty(), "{:?}", w.received_requests());
    });
}

/// Callers that say nothing, or never end their line, keep nobody out; a line too long is an error, not a hang.
#[test]
fn callers_that_say_nothing() {
    run(|ex| async move {
        let w = start_testbed(ex, 1).await;
        let (_shift, at) = start_admin(&w, None);
        let mut silent = Vec::new();
        for _ in 0..MAX_CALLERS * 3 {
            let s = async_io::Async::<std::net::TcpStream>::connect(at).await.unwrap();
            futures_lite::AsyncWriteExt::write_all(&mut &s, b"REA").await.unwrap();
            silent.push(s);
        }
        let from = now();
        assert_eq!(admin_command(at, &["ENABLE s-0\n"]).await, "done in use\n");
        assert_eq!(admin_command(at, &[&"x".repeat(300)]).await, "error a line too long\n");
        assert!(now() < from + 1_000_000);
    });
}

/// An address that nothing else on this machine takes between now and the program's start: a port that was only just free
/// may become the near end of some client's connection.
fn address() -> SocketAddr {
    static N: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(1);
    let (pid, n) = (std::process::id(), N.fetch_add(1, std::sync::atomic::Ordering::Relaxed));
    SocketAddr::from(([127, 1 + (pid % 250) as u8, (pid / 250 % 250) as u8, n], 5050))
}

/// What the programs of a test share: two caches that answer, a bulletin, the clients' address, a folder, and doors.
struct Site {
    caches: [Cache; 2],
    front: SocketAddr,
    json: String,
    folder: TempDir,
    doors: [SocketAddr; 4],
}

fn site(ex: &'static async_executor::LocalExecutor<'static>) -> Site {
    let caches = [start_cache(ex), start_cache(ex)];
    for c in &caches {
        *c.behavior.borrow_mut() = served();
    }
    let (_, _, bulletin) = start_discovery(ex);
    let front = address();
    let list = [0, 1].map(|i| server_entry(&format!("s-{i}"), caches[i].addr, "std", "active", 0));
    let json = configuration(front, bulletin, &list);
    Site { caches, front, json, folder: tempdir().unwrap(), doors: [0, 1, 2, 3].map(|_| address()) }
}

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        // Waited for: until it is gone, its locks and sockets are there.
        let _ = (self.0.kill(), self.0.wait());
    }
}

fn program(json: &str, dir: &Path, door: SocketAddr) -> Running {
    static N: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let n = N.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let config = dir.join(format!("config-{n}.json"));
    std::fs::write(&config, json).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_threadward"));
    command.env("LB_CONFIG", config).env("LB_ADMIN_ADDR", door.to_string()).env("TMPDIR", dir);
    Running(command.stderr(std::process::Stdio::piped()).spawn().unwrap())
}

async fn ready(door: SocketAddr) {
    let end = now() + 6_000_000;
    loop {
        let there = async_io::Async::<std::net::TcpStream>::connect(door).await.is_ok();
        if there && admin_command(door, &["READY\n"]).await.starts_with("done") {
            return;
        }
        assert!(now() < end, "never ready");
        sleep_until(now() + 5_000).await;
    }
}

async fn end(mut r: Running) -> Output {
    wait_until("the end", || r.0.try_wait().unwrap().is_some()).await;
    let mut err = Vec::new();
    std::io::Read::read_to_end(r.0.stderr.as_mut().unwrap(), &mut err).unwrap();
    Output { status: r.0.wait().unwrap(), stdout: Vec::new(), stderr: err }
}

fn term(r: &Running) {
    let done = Command::new("sh").args(["-c", &format!("kill -TERM {}", r.0.id())]).status().unwrap();
    assert!(done.success());
}

/// A new version takes over under load, twice, while other clients keep connecting: every request has its one answer, no
/// connection is refused or reset, a ban set at the old one holds at the new one, and only the old one ends. One that
/// dies before its yes changes nothing.
#[test]
fn a_new_version_under_load() {
    run(|ex| async move {
        let Site { caches, front, json, folder, doors } = site(ex);
        let dir = folder.path();
        let mut old = program(&json, dir, doors[0]);
        ready(doors[0]).await;
        let (stop, asked, wrong) =
            (Rc::new(Cell::new(false)), Rc::new(Cell::new(0u64)), Rc::new(Cell::new(0)));
        let (s, a, x) = (stop.clone(), asked.clone(), wrong.clone());
        // One request a connection: each of them might meet the listener that closes.
        let load = ex.spawn(async move {
            while !s.get() {
                let mut c = Client::connect(front).await;
                a.set(a.get() + 1);
                c.send(&request(
                    1,
                    "media",
                    &[("call", &format!("{:016x}", a.get())), ("row", &format!("{:016x}", a.get()))],
                ))
                .await;
                // Refused is an answer: what is left of the caches is cold for a while.
                let fine = match c.answer().await {
                    Some((1, None, body)) => body == b"whole",
                    Some((1, Some(word), _)) => word == "Full",
                    _ => false,
                };
                x.set(x.get() + u32::from(!fine));
            }
        });
        wait_until("some load", || asked.get() > 50).await;
        assert_eq!(admin_command(doors[0], &["DISABLE s-0\n"]).await, "done out\n");
        let died = program(&json, dir, doors[3]);
        drop(died);
        for next in 1..3 {
            let new = program(&json, dir, doors[next]);
            ready(doors[next]).await;
            let sent = caches[0].commands.borrow().len();
            // A call at either process holds in both once it is answered.
            if next == 2 {
                assert_eq!(admin_command(doors[1], &["ENABLE s-0\n"]).await, "done in use\n");
                assert_eq!(admin_command(doors[2], &["DISABLE s-1\n"]).await, "done out\n");
            }
            let other = caches[1].commands.borrow().len();
            let before = asked.get();
            wait_until("more load", || asked.get() > before + 50).await;
            term(&old);
            let out = end(std::mem::replace(&mut old, new)).await;
            let text = String::from_utf8(out.stderr).unwrap();
            assert_eq!(out.status.code(), Some(0), "{text}");
            assert!(text.contains("stop: gives way to another process") && text.ends_with("end\n"), "{text}");
            let before = asked.get();
            wait_until("load after the old one", || asked.get() > before + 50).await;
            if next == 1 {
                assert_eq!(caches[0].commands.borrow().len(), sent, "out at the new one as well");
            } else {
                assert!(caches[0].commands.borrow().len() > sent);
                assert!(caches[1].commands.borrow().len() <= other + 1, "out at both");
            }
        }
        stop.set(true);
        load.await;
        assert_eq!(wrong.get(), 0, "of {}", asked.get());
        assert_eq!(old.0.try_wait().unwrap(), None, "the last one serves on");
    });
}

/// A process that is killed hands nothing over and leaves its files: the next one starts beside them, keeps the ban, and
/// serves at once. Damaged and foreign files do no harm; neither does a second process that is given up.
#[test]
fn after_a_kill() {
    run(|ex| async move {
        let Site { caches, front, json, folder, doors } = site(ex);
        let dir = folder.path();
        let first = program(&json, dir, doors[0]);
        ready(doors[0]).await;
        assert_eq!(admin_command(doors[0], &["DISABLE s-0\n"]).await, "done out\n");
        drop(first);
        std::fs::write(dir.join("threadward-n0.aside-1"), "half").unwrap();
        std::fs::write(dir.join("threadward-n0.run-zz"), "ready 9\n").unwrap();
        let second = program(&json, dir, doors[1]);
        ready(doors[1]).await;
        let play = async |first: u64| {
            let mut c = Client::connect(front).await;
            for id in 1..20 {
                let text = format!("{:016x}", first + id);
                c.send(&request(id as u32, "media", &[("call", &text), ("row", &text)])).await;
                assert_eq!(c.answer().await.unwrap().1, None);
            }
        };
        play(0).await;
        assert_eq!((caches[0].commands.borrow().len(), caches[1].commands.borrow().len()), (0, 19));
        // One that is given up gives way to the one that stays.
        let third = program(&json, dir, doors[2]);
        ready(doors[2]).await;
        term(&third);
        let out = end(third).await;
        let text = String::from_utf8(out.stderr).unwrap();
        assert!(out.status.success() && text.contains("gives way to another process"), "{text}");
        play(1 << 32).await;
        assert_eq!(admin_command(doors[1], &["READY\n"]).await, "done ready\n");
        drop(second);
        std::fs::write(dir.join("threadward-n0.bans"), "threadward-bans 9\n").unwrap();
        let last = program(&json, dir, doors[3]);
        ready(doors[3]).await;
        play(1 << 33).await;
        assert!(!caches[0].commands.borrow().is_empty(), "a file of a newer version is not used");
        assert_eq!(admin_command(doors[3], &["DISABLE s-0\n"]).await, "done out\n");
        assert!(std::fs::read_to_string(dir.join("threadward-n0.bans"))
            .unwrap()
            .starts_with("threadward-bans 1"));
        let left = std::fs::read_dir(dir).unwrap().filter(|e| {
            let name = e.as_ref().unwrap().file_name().into_string().unwrap();
            name.contains(".run-0") || name.contains(".sock-")
        });
        assert_eq!(left.count(), 2, "what the ended ones left is removed");
        drop(last);
    });
}

/// Two processes together keep the limit on descriptors, with more clients than there are places at both, and all of a door's
/// callers there; the door answers all the same.
#[test]
fn two_processes_keep_the_limit_on_descriptors() {
    const MOST: usize = 256;
    run(|ex| async move {
        let Site { front, json, folder, doors, .. } = site(ex);
        let dir = folder.path();
        let json = json.replace("\"sockets\":1024", &format!("\"sockets\":{MOST}"));
        let open =
            |r: &Running| std::fs::read_dir(format!("/proc/{}/fd", r.0.id())).map_or(0, Iterator::count);
        let crowd = async |n: usize| {
            let mut all = Vec::new();
            for _ in 0..n {
                all.push(Client::connect(front).await);
            }
            all
        };
        let callers = async |door: SocketAddr| {
            let mut all = Vec::new();
            for _ in 0..MAX_CALLERS {
                all.push(Client::connect(door).await);
            }
            all
        };
        let old = program(&json, dir, doors[0]);
        ready(doors[0]).await;
        let _first = (crowd(MOST).await, callers(doors[0]).await);
        wait_until("the crowd", || open(&old) > MOST / 2).await;
        let new = program(&json, dir, doors[1]);
        ready(doors[1]).await;
        let _second = (crowd(MOST).await, callers(doors[1]).await);
        let mut most = 0;
        for _ in 0..50 {
            most = most.max(open(&old) + open(&new));
            sleep_until(now() + 10_000).await;
        }
        assert!(most <= MOST, "{most} descriptors");
        for door in &doors[..2] {
            assert_eq!(admin_command(*door, &["READY\n"]).await, "done ready\n");
        }
    });
}

/// Without a door nothing of it is there: no file, and a second process ends. With one that cannot be opened the start ends
/// with one line.
#[test]
fn without_a_door() {
    run(|ex| async move {
        let Site { front, json, folder, doors, .. } = site(ex);
        let dir = folder.path();
        let start = |door: Option<&str>, json: &str| {
            let config = dir.join("config.json");
            std::fs::write(&config, json).unwrap();
            let mut command = Command::new(env!("CARGO_BIN_EXE_threadward"));
            command.env("LB_CONFIG", config).env("TMPDIR", dir).env_remove("LB_ADMIN_ADDR");
            command.envs(door.map(|d| ("LB_ADMIN_ADDR", d)));
            Running(command.stderr(std::process::Stdio::piped()).spawn().unwrap())
        };
        let first = start(None, &json);
        let there = || std::net::TcpStream::connect(front).is_ok();
        wait_until("the front", there).await;
        let files = std::fs::read_dir(dir).unwrap().filter_map(|e| e.unwrap().file_name().into_string().ok());
        assert_eq!(files.collect::<Vec<_>>(), ["config.json"]);
        let taken = std::net::TcpListener::bind(doors[0]).unwrap();
        let taken = taken.local_addr().unwrap().to_string();
        let listed = json.replacen('{', "{\"admin_addr\":\"nowhere\",", 1);
        for (door, json) in [(None, &json), (Some("nowhere"), &json), (Some(&*taken), &json), (None, &listed)]
        {
            let out = end(start(door, json)).await;
            let text = String::from_utf8(out.stderr).unwrap();
            assert_eq!((out.status.code(), text.lines().count()), (Some(2), 1), "{door:?}: {text}");
            assert!(text.starts_with("threadward: cannot start: "), "{text}");
        }
        drop(first);
    });
}
