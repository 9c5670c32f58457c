//! Measures how long an operator waits for answers at the admin socket: at 950 requests a second, sent
//! open-loop, and in overload, with as many open requests as the connections carry. Proxy, caches and clients
//! share one core here, which is less than any proxy has.
//!
//! A command that takes over a second, or gets a wrong answer, makes the program exit with code 1. The last
//! line of output is one JSON object, with waits in milliseconds.
#[path = "../tests/common/mod.rs"]
mod common;
use common::*;
use futures_lite::AsyncReadExt;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use threadward::net::{now, sleep_until};

/// Maximum wait for an answer, in microseconds: a caller waits no longer.
const MAX_WAIT: u64 = 1_000_000;
/// Requests a second under usual load.
const REQUESTS_PER_S: u64 = 950;
/// Number of client connections.
const CONNECTIONS: u64 = 16;
/// Maximum number of open requests on a connection.
const MAX_OPEN_PER_CONNECTION: u64 = 30;

/// Sends `n` requests on one connection, one each `interval` microseconds, whether or not answers arrive. Adds
/// the answers to `answered`.
async fn send_requests(front: SocketAddr, first: u64, n: u64, interval: u64, answered: Rc<Cell<u64>>) {
    let c = Client::connect(front).await;
    let reader = c.stream.get_ref().try_clone().unwrap();
    let reader = async_io::Async::new(reader).unwrap();
    let (started_at, received) = (now(), Cell::new(0));
    let write = async {
        for id in 1..=n {
            sleep_until(started_at + id * interval).await;
            // More than 32 open requests would end the connection: at the limit, waits for answers.
            while id > received.get() + MAX_OPEN_PER_CONNECTION {
                sleep_until(now() + 200).await;
            }
            let key = format!("{:016x}", first + id);
            c.send(&request(id as u32, "media", &[("call", &key), ("row", &key)])).await;
        }
    };
    let read = async {
        let mut chunk = [0u8; 65536];
        while received.get() < n {
            let size = (&reader).read(&mut chunk).await.unwrap_or(0);
            if size == 0 {
                return;
            }
            // Every answer either ends with the copy's version, or is a refusal.
            let text = String::from_utf8_lossy(&chunk[..size]);
            let new_answers =
                (text.matches("4be0c1927d55a6f3").count() + text.matches("Full").count()) as u64;
            received.set(received.get() + new_answers);
            answered.set(answered.get() + new_answers);
        }
    };
    futures_lite::future::zip(write, read).await;
}

fn main() -> ExitCode {
    let (result, all_passed) = (Rc::new(RefCell::new(Vec::new())), Rc::new(Cell::new(true)));
    let (output, passed) = (result.clone(), all_passed.clone());
    run(|ex| async move {
        let w = start_testbed(ex, 4).await;
        w.set_behavior(CacheBehavior::Answer(
            "served",
            "version=4be0c1927d55a6f3,stamp=1,detail=HIT",
            vec![7; 4000],
        ));
        let dir = std::env::temp_dir().join(format!("threadward-measure-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let (shift, at) = start_admin(&w, Some(&dir));
        w.node.spawn_restarting("shift", move || shift.clone().watch_files());
        wait_until("the bulletin", || w.node.discovery_heard.get()).await;

        // In overload each connection has as many open requests as it may at any time.
        for (name, interval, seconds) in
            [("usual", 1_000_000 * CONNECTIONS / REQUESTS_PER_S, 8), ("overload", 300, 4)]
        {
            let (answered, started_at) = (Rc::new(Cell::new(0)), now());
            let n = seconds * 1_000_000 / interval;
            let first = if name == "usual" { 0 } else { 1 << 40 };
            let tasks: Vec<_> = (0..CONNECTIONS)
                .map(|i| ex.spawn(send_requests(w.front, first + (i << 24), n, interval, answered.clone())))
                .collect();
            let mut waits = Vec::new();
            let lines = ["READY\n", "DISABLE s-0\n", "READY\n", "ENABLE s-0\n"];
            while now() < started_at + seconds * 1_000_000 {
                let asked_at = now();
                let reply = admin_command(at, &[lines[waits.len() % lines.len()]]).await;
                let wait = now() - asked_at;
                passed.set(passed.get() && wait <= MAX_WAIT && reply.starts_with("done "));
                waits.push(wait);
                sleep_until(now() + 20_000).await;
            }
            let rate = answered.get() as f64 / ((now() - started_at) as f64 / 1e6);
            drop(tasks);
            waits.sort_unstable();
            let at = |q: usize| waits[(waits.len() * q / 100).min(waits.len() - 1)] as f64 / 1e3;
            output.borrow_mut().push(format!(
                r#""{name}":{{"calls":{},"answers_per_s":{rate:.0},"p50_ms":{:.1},"p99_ms":{:.1},"most_ms":{:.1}}}"#,
                waits.len(),
                at(50),
                at(99),
                at(100)
            ));
        }
        let _ = std::fs::remove_dir_all(&dir);
    });
    println!("{{{},\"kept\":{}}}", result.borrow().join(","), all_passed.get());
    ExitCode::from(u8::from(!all_passed.get()))
}
