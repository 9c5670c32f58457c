//! The program itself: its start on bad configuration, its counters, its reload on SIGHUP, its end on SIGTERM.
mod common;
use assert_cmd::cargo::cargo_bin_cmd;
use common::*;
use predicates::function::function;
use predicates::prelude::PredicateBooleanExt;
use predicates::str::{contains, starts_with};
use rstest::rstest;
use std::process::{Child, Command, Output, Stdio};
use tempfile::NamedTempFile;
use threadward::net::{now, sleep_until};

/// A file with this text, for as long as it is held.
fn file(text: &str) -> NamedTempFile {
    let file = NamedTempFile::new().unwrap();
    std::fs::write(&file, text).unwrap();
    file
}

fn start(config: &NamedTempFile, log: impl Into<Stdio>) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_threadward"));
    command.env("LB_CONFIG", config.path()).stderr(log).spawn().unwrap()
}

fn kill(child: &Child, signal: &str) {
    let done = Command::new("sh").args(["-c", &format!("kill -{signal} {}", child.id())]).status().unwrap();
    assert!(done.success());
}

/// Waits for the end without blocking the executor that the stand-ins run on.
async fn end(mut child: Child) -> Output {
    wait_until("the end", || child.try_wait().unwrap().is_some()).await;
    child.wait_with_output().unwrap()
}

#[rstest]
#[case::no_json("{", &[])]
#[case::no_settings("{}", &[])]
#[case::no_such_flag("{}", &["--front"])]
#[case::no_fronts_file(&configuration(([127, 0, 0, 1], 0).into(), ([127, 0, 0, 1], 9).into(), &[]), &["--fronts", "/nowhere.toml"])]
fn a_bad_configuration_ends_the_start_with_one_line(#[case] json: &str, #[case] more: &[&str]) {
    let config = file(json);
    let ended = cargo_bin_cmd!("threadward").args(more).env("LB_CONFIG", config.path()).assert();
    ended.code(2).stderr(starts_with("threadward: cannot start: ").and(function(one_line)));
}

fn one_line(text: &str) -> bool {
    text.lines().count() == 1
}

/// What a person or a script asks for goes to standard output; what is wrong is one line on standard error.
#[test]
fn commands_that_do_not_run_the_proxy() {
    let ask = |words: &[&str]| cargo_bin_cmd!("threadward").args(words).env_remove("LB_CONFIG").assert();
    let help = contains("new-gossip-key").and(contains("LB_CONFIG"));
    ask(&["--help"]).code(0).stdout(help).stderr("");
    ask(&["--version"]).code(0).stdout(concat!("threadward ", env!("CARGO_PKG_VERSION"), "\n")).stderr("");
    let (empty, bad) = (file(""), file("[snmp]\n"));
    let path = empty.path().to_str().unwrap();
    ask(&["check", path]).code(0);
    ask(&["check", path, "--json"]).stdout("{\"ok\":true,\"parts\":[]}\n");
    let told = starts_with("{\"error\":\"").and(contains("[snmp]")).and(contains("\"ok\":false"));
    let checked = ask(&["check", bad.path().to_str().unwrap(), "--json"]);
    checked.code(2).stderr(function(one_line)).stdout(told);
}

/// What is taken is answered, late arrivals are served, and then the program ends by itself.
#[test]
fn sigterm() {
    run(|ex| async move {
        let c = start_cache(ex);
        let (_, _, bulletin) = start_discovery(ex);
        let (l, front) = listen();
        drop(l);
        let config =
            file(&configuration(front, bulletin, &[server_entry("s-0", c.addr, "std", "active", 0)]));
        let child = start(&config, Stdio::piped());
        let mut old = loop {
            match async_io::Async::<std::net::TcpStream>::connect(front).await {
                Ok(_) => break Client::connect(front).await,
                Err(_) => sleep_until(now() + 5_000).await,
            }
        };
        old.send(&request(1, "media", &[])).await;
        wait_until("the attempt", || !c.commands.borrow().is_empty()).await;
        kill(&child, "USR1");
        kill(&child, "TERM");
        let call = c.commands.borrow()[0][1].clone();
        *c.behavior.borrow_mut() = CacheBehavior::Answer("served", "version=ab,detail=HIT", b"late".to_vec());
        let mut new = Client::connect(front).await;
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
        let (_, _, bulletin) = start_discovery(ex);
        let (l, front) = listen();
        drop(l);
        let list = [server_entry("s-0", front, "std", "active", 0)];
        let full = std::fs::File::options().write(true).open("/dev/full").unwrap();
        let config = file(&configuration(front, bulletin, &list));
        let child = start(&config, full);
        wait_until("the front", || std::net::TcpStream::connect(front).is_ok()).await;
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
        let (old, _, old_at) = start_discovery(ex);
        let (new, told, new_at) = start_discovery(ex);
        old.borrow_mut().push(recall(1));
        new.borrow_mut().extend([recall(1), recall(2)]);
        let (l, front) = listen();
        drop(l);
        let at = |bulletin| configuration(front, bulletin, &[server_entry("s-0", front, "std", "active", 0)]);
        let (path, log) = (file(&at(old_at)), file(""));
        let child = start(&path, log.reopen().unwrap());
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
            wait_until("the counters", shown).await;
        };
        shows(" purges=1").await;
        std::fs::write(&path, "{").unwrap();
        kill(&child, "HUP");
        wait_until("the refusal", || text().contains("reload: kept the old configuration: ")).await;
        std::fs::write(&path, at(new_at).replace("\"sockets\":1024", "\"sockets\":512")).unwrap();
        kill(&child, "HUP");
        let line =
            format!("reload: bulletin moved to {new_at}, last event 1; only a restart changes limits\n");
        wait_until("the reload", || text().contains(&line)).await;
        shows(" purges=2").await;
        new.borrow_mut().push(recall(3));
        told.notify();
        shows(" purges=3").await;
        kill(&child, "TERM");
        assert_eq!(end(child).await.status.code(), Some(0), "{}", text());
        assert!(text().ends_with("reloads=2\nend\n"), "{}", text());
    });
}
