//! The program itself: its start with a bad configuration, its counters, its reload on SIGHUP and its
//! shutdown on SIGTERM.
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

/// Creates a file with this text. It is deleted when the value is dropped.
fn file(text: &str) -> NamedTempFile {
    let file = NamedTempFile::new().unwrap();
    std::fs::write(&file, text).unwrap();
    file
}

fn start(config: &NamedTempFile, log: impl Into<Stdio>) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_threadward"));
    command.env("LB_CONFIG", config.path()).stderr(log).spawn().unwrap()
}

fn send_signal(child: &Child, signal: &str) {
    let done = Command::new("sh").args(["-c", &format!("kill -{signal} {}", child.id())]).status().unwrap();
    assert!(done.success());
}

/// Waits for the process to end without blocking the executor that the stand-ins run on.
async fn wait_for_end(mut child: Child) -> Output {
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
    let result = cargo_bin_cmd!("threadward").args(more).env("LB_CONFIG", config.path()).assert();
    result.code(2).stderr(starts_with("threadward: cannot start: ").and(function(one_line)));
}

fn one_line(text: &str) -> bool {
    text.lines().count() == 1
}

/// What a command was asked for goes to standard output; an error is one line on standard error.
#[test]
fn commands_that_do_not_run_the_proxy() {
    let run_command =
        |args: &[&str]| cargo_bin_cmd!("threadward").args(args).env_remove("LB_CONFIG").assert();
    let help = contains("new-gossip-key").and(contains("LB_CONFIG"));
    run_command(&["--help"]).code(0).stdout(help).stderr("");
    run_command(&["--version"])
        .code(0)
        .stdout(concat!("threadward ", env!("CARGO_PKG_VERSION"), "\n"))
        .stderr("");
    let (empty, bad) = (file(""), file("[snmp]\n"));
    let path = empty.path().to_str().unwrap();
    run_command(&["check", path]).code(0);
    run_command(&["check", path, "--json"]).stdout("{\"ok\":true,\"parts\":[]}\n");
    let report = starts_with("{\"error\":\"").and(contains("[snmp]")).and(contains("\"ok\":false"));
    let checked = run_command(&["check", bad.path().to_str().unwrap(), "--json"]);
    checked.code(2).stderr(function(one_line)).stdout(report);
}

/// After SIGTERM, accepted requests are answered, late arrivals are served, and then the program ends by
/// itself.
#[test]
fn sigterm_serves_what_comes_and_then_ends() {
    run(|ex| async move {
        let cache = start_cache(ex);
        let (_, _, discovery) = start_discovery(ex);
        let (listener, front) = listen();
        drop(listener);
        let config =
            file(&configuration(front, discovery, &[server_entry("s-0", cache.addr, "std", "active", 0)]));
        let child = start(&config, Stdio::piped());
        let mut old = loop {
            match async_io::Async::<std::net::TcpStream>::connect(front).await {
                Ok(_) => break Client::connect(front).await,
                Err(_) => sleep_until(now() + 5_000).await,
            }
        };
        old.send(&request(1, "media", &[])).await;
        wait_until("the attempt", || !cache.commands.borrow().is_empty()).await;
        send_signal(&child, "USR1");
        send_signal(&child, "TERM");
        let call = cache.commands.borrow()[0][1].clone();
        *cache.behavior.borrow_mut() =
            CacheBehavior::Answer("served", "version=ab,detail=HIT", b"late".to_vec());
        let mut new = Client::connect(front).await;
        for id in 1..20 {
            let fields = [("call", &*format!("{:016x}", 100 + id)), ("row", &format!("{id:016x}"))];
            new.send(&request(id, "media", &fields)).await;
            assert_eq!(new.answer().await, Some((id, None, b"late".to_vec())));
        }
        cache.reply(&call, b"in time").await;
        assert_eq!(old.answer().await, Some((1, None, b"in time".to_vec())));
        let output = wait_for_end(child).await;
        let text = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(0), "{text}");
        let counters: Vec<&str> = text.lines().filter(|line| line.starts_with("counters: ")).collect();
        assert_eq!(counters.len(), 2, "{text}");
        assert!(counters[1].contains("requestsTaken=20 answersServed=20 "), "{text}");
        assert!(text.ends_with("end\n"), "{text}");
    });
}

/// A log that can no longer be written to does not end the program.
#[test]
fn a_full_log_does_not_end_the_program() {
    run(|ex| async move {
        let (_, _, discovery) = start_discovery(ex);
        let (listener, front) = listen();
        drop(listener);
        let list = [server_entry("s-0", front, "std", "active", 0)];
        let full = std::fs::File::options().write(true).open("/dev/full").unwrap();
        let config = file(&configuration(front, discovery, &list));
        let child = start(&config, full);
        wait_until("the front", || std::net::TcpStream::connect(front).is_ok()).await;
        send_signal(&child, "TERM");
        assert_eq!(wait_for_end(child).await.status.code(), Some(0));
    });
}

/// On SIGHUP, a bad configuration changes nothing. A new discovery address is used at once although the old
/// connection is still open, and an event that both servers send is applied once.
#[test]
fn sighup_reloads_the_configuration() {
    run(|ex| async move {
        let purge_event = |no| format!(r#"{{"no":{no},"recall":{{"lot":1,"issued":{no}}}}}"#);
        let (old, _, old_addr) = start_discovery(ex);
        let (new, events_changed, new_addr) = start_discovery(ex);
        old.borrow_mut().push(purge_event(1));
        new.borrow_mut().extend([purge_event(1), purge_event(2)]);
        let (listener, front) = listen();
        drop(listener);
        let config_with =
            |discovery| configuration(front, discovery, &[server_entry("s-0", front, "std", "active", 0)]);
        let (config, log) = (file(&config_with(old_addr)), file(""));
        let child = start(&config, log.reopen().unwrap());
        let text = || std::fs::read_to_string(&log).unwrap();
        // Makes the program log its counters until they show this text.
        let wait_for_counter = async |what: &str| {
            let is_shown = || {
                let is_shown = text().contains(what);
                if !is_shown && text().contains("start: ") {
                    send_signal(&child, "USR1");
                }
                is_shown
            };
            wait_until("the counters", is_shown).await;
        };
        wait_for_counter(" purges=1").await;
        std::fs::write(&config, "{").unwrap();
        send_signal(&child, "HUP");
        wait_until("the refusal", || text().contains("reload: kept the old configuration: ")).await;
        std::fs::write(&config, config_with(new_addr).replace("\"sockets\":1024", "\"sockets\":512"))
            .unwrap();
        send_signal(&child, "HUP");
        let line =
            format!("reload: bulletin moved to {new_addr}, last event 1; only a restart changes limits\n");
        wait_until("the reload", || text().contains(&line)).await;
        wait_for_counter(" purges=2").await;
        new.borrow_mut().push(purge_event(3));
        events_changed.notify();
        wait_for_counter(" purges=3").await;
        send_signal(&child, "TERM");
        assert_eq!(wait_for_end(child).await.status.code(), Some(0), "{}", text());
        assert!(text().ends_with("reloads=2\nend\n"), "{}", text());
    });
}
