//! Thirty processes started together against one slow bulletin: the time until each is ready. It owns the processes that
//! it starts, and ends each by its own handle.
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

const S: Micros = 1_000_000;
const PROCESSES: usize = 30;
/// The bulletin takes so long for each call, also where nobody waits for its answer any longer, and the first so many
/// get none.
const EACH: Micros = S / 5;
const SILENT: usize = 2;

async fn slow_bulletin(
    ex: &'static async_executor::LocalExecutor<'static>,
    l: Rc<Async<TcpListener>>,
    event: String,
    calls: Rc<RefCell<usize>>,
) {
    let mut silent = Vec::new();
    loop {
        let (mut s, _) = l.accept().await.unwrap();
        let n = calls.replace_with(|n| *n + 1);
        sleep_until(now() + EACH).await;
        if n < SILENT {
            silent.push(s);
            continue;
        }
        let head = format!("HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: {event}\n\n");
        ex.spawn(async move {
            let mut said = s.write_all(head.as_bytes()).await;
            while said.is_ok() {
                sleep_until(now() + S).await;
                said = s.write_all(b":\n\n").await;
            }
        })
        .detach();
    }
}

/// Asks as the platform does until the answer is yes, and says when that was.
async fn ready(front: SocketAddr) -> Micros {
    let mut frame = vec![0x94, 0x00, 0x07];
    put_text(&mut frame, "alive");
    frame.extend([0x91, 0x80]);
    let ask = async || {
        let mut s = Async::<TcpStream>::connect(front).await?;
        let mut said = [0; 11];
        s.write_all(&frame).await?;
        s.read_exact(&mut said).await?;
        Ok::<_, std::io::Error>(said[9] == 0xc3)
    };
    while !ask().await.unwrap_or(false) {
        sleep_until(now() + S / 10).await;
    }
    now()
}

/// Nine in ten are ready within 10 s, whether they are given a list at the start or have to wait for one.
#[rstest]
#[case::with_a_list(true, 3 * S)]
#[case::with_none(false, 10 * S)]
fn thirty_restarts_together(#[case] known: bool, #[case] within: Micros) {
    // One after the other: the machine is shared.
    static ALONE: Mutex<()> = Mutex::new(());
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    run(|ex| async move {
        let (l, at) = listen();
        let fronts = free_addresses(PROCESSES);
        let one = server_entry("s-0", fronts[0], "std", "active", 0);
        let event = format!(r#"{{"no":1,"roster":{{"version":1,"full":true,"servers":[{one}]}}}}"#);
        let calls = Rc::new(RefCell::new(0));
        ex.spawn(slow_bulletin(ex, l, event, calls.clone())).detach();
        let folder = tempfile::tempdir().unwrap();
        let (begun, times) = (now(), Rc::new(RefCell::new(Vec::new())));
        let start = |(i, front): (usize, &SocketAddr)| {
            let mut v: serde_json::Value =
                serde_json::from_str(&configuration(*front, at, std::slice::from_ref(&one))).unwrap();
            v["seed"] = format!("{i:016x}").into();
            if !known {
                v["known"] = serde_json::json!({ "no": 0, "items": [] });
            }
            let path = folder.path().join(format!("{i}.json"));
            std::fs::write(&path, v.to_string()).unwrap();
            let p = ProcessBuilder::new(env!("CARGO_BIN_EXE_threadward"))
                .env("LB_CONFIG", &path)
                .spawn()
                .unwrap();
            let (times, front) = (times.clone(), *front);
            ex.spawn(async move {
                let at = ready(front).await;
                times.borrow_mut().push(at - begun);
            })
            .detach();
            p
        };
        let processes: Vec<Process> = fronts.iter().enumerate().map(start).collect();
        while times.borrow().len() < PROCESSES && now() < begun + within {
            sleep_until(now() + S / 50).await;
        }
        let at = times.borrow().iter().map(|t| format!("{:.2}", *t as f64 / 1e6)).collect::<Vec<_>>();
        println!("ready after s: {} ({} calls taken)", at.join(" "), calls.borrow());
        assert!(processes.iter().all(|p| p.exit_status().is_none()));
        assert!(at.len() >= PROCESSES * 9 / 10, "{} of {PROCESSES} ready within {within} us", at.len());
    });
}
