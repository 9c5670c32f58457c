//! The program itself: its start on bad configuration, its counters, its reload on SIGHUP, its end on SIGTERM.
mod common;
use common::*;
use rstest::rstest;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use threadward::net::{now, sleep_until};

/// Starts the program with a configuration of this text.
fn start(json: &str, more: &[&str]) -> Child {
    start_at(&file(json), more, Stdio::piped())
}

/// A file of this test's own with this text.
fn file(text: &str) -> PathBuf {
    static N: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let n = N.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("threadward-test-{}-{n}.json", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn start_at(path: &Path, more: &[&str], log: Stdio) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_threadward"));
    command.args(more).env("LB_CONFIG", path).stderr(log).spawn().unwrap()
}

fn kill(child: &Child, signal: &str) {
    let done = Command::new("sh").args(["-c", &format!("kill -{signal} {}", child.id())]).status().unwrap();
    assert!(done.success());
}

/// Waits for the end without blocking the executor that the stand-ins run on.
async fn end(mut child: Child) -> Output {
    until("the end", || child.try_wait().unwrap().is_some()).await;
    child.wait_with_output().unwrap()
}

#[rstest]
#[case::no_json("{", &[])]
#[case::no_settings("{}", &[])]
#[case::no_such_flag("{}", &["--front"])]
#[case::no_fronts_file(&configuration(([127, 0, 0, 1], 0).into(), ([127, 0, 0, 1], 9).into(), &[]), &["--fronts", "/nowhere.toml"])]
fn a_bad_configuration_ends_the_start_with_one_line(#[case] json: &str, #[case] more: &[&str]) {
    let out = start(json, more).wait_with_output().unwrap();
    let text = String::from_utf8(out.stderr).unwrap();
    assert_eq!((out.status.code(), text.lines().count()), (Some(2), 1), "{text}");
    assert!(text.starts_with("threadward: cannot start: "), "{text}");
}

/// What a person or a script asks for goes to standard output; what is wrong is one line on standard error.
#[test]
fn commands_that_do_not_run_the_proxy() {
    let ask = |words: &[&str]| {
        let out = Command::new(env!("CARGO_BIN_EXE_threadward"))
            .args(words)
            .env_remove("LB_CONFIG")
            .output()
            .unwrap();
        let text = |b: Vec<u8>| String::from_utf8(b).unwrap();
        (out.status.code(), text(out.stdout), text(out.stderr))
    };
    let (code, out, err) = ask(&["--help"]);
    assert!(
        code == Some(0) && out.contains("new-gossip-key") && out.contains("LB_CONFIG") && err.is_empty(),
        "{out}{err}"
    );
    assert_eq!(
        ask(&["--version"]),
        (Some(0), format!("threadward {}\n", env!("CARGO_PKG_VERSION")), String::new())
    );
    let empty = file("");
    let path = empty.to_str().unwrap();
    assert_eq!(ask(&["check", path]).0, Some(0));
    assert_eq!(ask(&["check", path, "--json"]).1, "{\"ok\":true,\"parts\":[]}\n");
    let bad = file("[snmp]\n");
    let (code, out, err) = ask(&["check", bad.to_str().unwrap(), "--json"]);
    assert_eq!((code, err.lines().count()), (Some(2), 1));
    assert!(
        out.starts_with("{\"error\":\"") && out.contains("[snmp]") && out.contains("\"ok\":false"),
        "{out}"
    );
}

/// What is taken is answered, late arrivals are served, and then the program ends by itself.
#[test]
fn sigterm() {
    run(|ex| async move {
        let c = cache(ex);
        let (_, _, bulletin) = news(ex);
        let (l, front) = listen();
        drop(l);
        let child = start(&configuration(front, bulletin, &[server("s-0", c.at, "std", "active", 0)]), &[]);
        let mut old = loop {
            match async_io::Async::<std::net::TcpStream>::connect(front).await {
                Ok(_) => break Client::to(front).await,
                Err(_) => sleep_until(now() + 5_000).await,
            }
        };
        old.send(&request(1, "media", &[])).await;
        until("the attempt", || !c.seen.borrow().is_empty()).await;
        kill(&child, "USR1");
        kill(&child, "TERM");
        let call = c.seen.borrow()[0][1].clone();
        *c.act.borrow_mut() = Act::Say("served", "version=ab,detail=HIT", b"late".to_vec());
        let mut new = Client::to(front).await;
        for id in 1..20 {
            let own = [("call", &*format!("{:016x}", 100 + id)), ("row", &format!("{id:016x}"))];
            new.send(&request(id, "media", &own)).await;
            assert_eq!(new.answer().await, Some((id, None, b"late".to_vec())));
        }
        c.reply(&call, b"in time").await;
        assert_eq!(old.answer().await, Some((1, None, b"in time".to_vec())));
        let out = end(child).await;
        let text = String::from_utf8(out.stderr).unwrap();
        assert_eq!(out.status.code(), Some(0), "{text}");
        let counters: Vec<&str> = text.lines().filter(|l| l.starts_with("counters: ")).collect();
        assert_eq!(counters.len(), 2, "{text}");
        assert!(counters[1].contains("requestsTaken=20 answersServed=20 "), "{text}");
        assert!(text.ends_with("end\n"), "{text}");
    });
}

/// A log that takes no more ends nothing.
#[test]
fn a_full_log() {
    run(|ex| async move {
        let (_, _, bulletin) = news(ex);
        let (l, front) = listen();
        drop(l);
        let list = [server("s-0", front, "std", "active", 0)];
        let full = std::fs::File::options().write(true).open("/dev/full").unwrap();
        let child = start_at(&file(&configuration(front, bulletin, &list)), &[], full.into());
        until("the front", || std::net::TcpStream::connect(front).is_ok()).await;
        kill(&child, "TERM");
        assert_eq!(end(child).await.status.code(), Some(0));
    });
}

/// SIGHUP: a bad configuration changes nothing; a new bulletin takes over at once, the old one still being open, and
/// what both tell is applied once.
#[test]
fn sighup() {
    run(|ex| async move {
        let recall = |no| format!(r#"{{"no":{no},"recall":{{"lot":1,"issued":{no}}}}}"#);
        let (old, _, old_at) = news(ex);
        let (new, told, new_at) = news(ex);
        old.borrow_mut().push(recall(1));
        new.borrow_mut().extend([recall(1), recall(2)]);
        let (l, front) = listen();
        drop(l);
        let at = |bulletin| configuration(front, bulletin, &[server("s-0", front, "std", "active", 0)]);
        let (path, log) = (file(&at(old_at)), file(""));
        let child = start_at(&path, &[], std::fs::File::create(&log).unwrap().into());
        let text = || std::fs::read_to_string(&log).unwrap();
        // Asks for the counters until they show it.
        let shows = async |what: &str| {
            let shown = || {
                let shown = text().contains(what);
                if !shown && text().contains("start: ") {
                    kill(&child, "USR1");
                }
                shown
            };
            until("the counters", shown).await;
        };
        shows(" purges=1").await;
        std::fs::write(&path, "{").unwrap();
        kill(&child, "HUP");
        until("the refusal", || text().contains("reload: kept the old configuration: ")).await;
        std::fs::write(&path, at(new_at).replace("\"sockets\":1024", "\"sockets\":512")).unwrap();
        kill(&child, "HUP");
        let line =
            format!("reload: bulletin moved to {new_at}, last event 1; only a restart changes limits\n");
        until("the reload", || text().contains(&line)).await;
        shows(" purges=2").await;
        new.borrow_mut().push(recall(3));
        told.notify();
        shows(" purges=3").await;
        kill(&child, "TERM");
        assert_eq!(end(child).await.status.code(), Some(0), "{}", text());
        assert!(text().ends_with("reloads=2\nend\n"), "{}", text());
    });
}
