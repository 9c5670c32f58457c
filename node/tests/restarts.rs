//! Thirty processes started together against one slow discovery server: the time until each is ready. Each
//! process is ended by its own handle.
mod common;
use async_io::Async;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rstest::rstest;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Mutex, PoisonError};
use threadward::net::{now, sleep_until};
use threadward_core::Micros;
use threadward_faults::{Process, ProcessBuilder};

const SECOND: Micros = 1_000_000;
const PROCESSES: usize = 30;
/// How long the discovery server takes for each connection, also where the other side no longer waits for its
/// answer.
const DISCOVERY_DELAY: Micros = SECOND / 5;
/// The number of first connections that the discovery server never answers.
const UNANSWERED_CONNECTIONS: usize = 2;

async fn serve_discovery_slowly(
    ex: &'static async_executor::LocalExecutor<'static>,
    listener: Rc<Async<TcpListener>>,
    event: String,
    connections: Rc<RefCell<usize>>,
) {
    let mut silent = Vec::new();
    loop {
        let (mut s, _) = listener.accept().await.unwrap();
        let n = connections.replace_with(|n| *n + 1);
        sleep_until(now() + DISCOVERY_DELAY).await;
        if n < UNANSWERED_CONNECTIONS {
            silent.push(s);
            continue;
        }
        let head = format!("HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: {event}\n\n");
        ex.spawn(async move {
            let mut written = s.write_all(head.as_bytes()).await;
            while written.is_ok() {
                sleep_until(now() + SECOND).await;
                written = s.write_all(b":\n\n").await;
            }
        })
        .detach();
    }
}

/// Sends the health check `alive` as the platform does until the answer is true, and returns the time of
/// that.
async fn wait_until_ready(front: SocketAddr) -> Micros {
    let mut frame = vec![0x94, 0x00, 0x07];
    put_text(&mut frame, "alive");
    frame.extend([0x91, 0x80]);
    let check_alive = async || {
        let mut s = Async::<TcpStream>::connect(front).await?;
        let mut answer = [0; 11];
        s.write_all(&frame).await?;
        s.read_exact(&mut answer).await?;
        Ok::<_, std::io::Error>(answer[9] == 0xc3)
    };
    while !check_alive().await.unwrap_or(false) {
        sleep_until(now() + SECOND / 10).await;
    }
    now()
}

/// Nine processes in ten are ready in time: within 3 s where their configuration has a member list, and
/// within 10 s where they have to wait for one.
#[rstest]
#[case::with_a_list(true, 3 * SECOND)]
#[case::with_none(false, 10 * SECOND)]
fn thirty_restarts_together(#[case] with_list: bool, #[case] time_limit: Micros) {
    // The cases run one after the other, as they share the machine and would slow each other down.
    static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    run(|ex| async move {
        let (listener, at) = listen();
        let fronts = free_addresses(PROCESSES);
        let entry = server_entry("s-0", fronts[0], "std", "active", 0);
        let event = format!(r#"{{"no":1,"roster":{{"version":1,"full":true,"servers":[{entry}]}}}}"#);
        let connections = Rc::new(RefCell::new(0));
        ex.spawn(serve_discovery_slowly(ex, listener, event, connections.clone())).detach();
        let folder = tempfile::tempdir().unwrap();
        let (started_at, ready_after) = (now(), Rc::new(RefCell::new(Vec::new())));
        let start = |(i, front): (usize, &SocketAddr)| {
            let mut config: serde_json::Value =
                serde_json::from_str(&configuration(*front, at, std::slice::from_ref(&entry))).unwrap();
            config["seed"] = format!("{i:016x}").into();
            if !with_list {
                config["known"] = serde_json::json!({ "no": 0, "items": [] });
            }
            let path = folder.path().join(format!("{i}.json"));
            std::fs::write(&path, config.to_string()).unwrap();
            let process = ProcessBuilder::new(env!("CARGO_BIN_EXE_threadward"))
                .env("LB_CONFIG", &path)
                .spawn()
                .unwrap();
            let (ready_after, front) = (ready_after.clone(), *front);

            ex.spawn(async move {
                let at = wait_until_ready(front).await;
                ready_after.borrow_mut().push(at - started_at);
            })
            .detach();
            process
        };
        let processes: Vec<Process> = fronts.iter().enumerate().map(start).collect();
        while ready_after.borrow().len() < PROCESSES && now() < started_at + time_limit {
            sleep_until(now() + SECOND / 50).await;
        }
        let seconds =
            ready_after.borrow().iter().map(|t| format!("{:.2}", *t as f64 / 1e6)).collect::<Vec<_>>();
        println!("ready after s: {} ({} discovery connections)", seconds.join(" "), connections.borrow());
        assert!(processes.iter().all(|process| process.exit_status().is_none()));
        assert!(
            seconds.len() >= PROCESSES * 9 / 10,
            "{} of {PROCESSES} ready within {time_limit} us",
            seconds.len()
        );
    });
}
