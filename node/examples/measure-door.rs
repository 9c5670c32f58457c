//! How long a caller at the operators' door waits: at 950 requests a second, asked open-loop, and in overload, with as
//! many requests open as the connections carry. It owns the load and the calls; proxy, caches and clients share one core
//! here, which is less than any proxy has. It must never hide a call that is late: one over a second, or a wrong answer,
//! ends it with exit code 1. The last line is one JSON object, waits in milliseconds.
#[path = "../tests/common/mod.rs"]
mod common;
use common::*;
use futures_lite::AsyncReadExt;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use threadward::net::{now, sleep_until};

/// A caller waits so long.
const MOST: u64 = 1_000_000;
const RATE: u64 = 950;
const CONNECTIONS: u64 = 16;
const OPEN: u64 = 30;

/// Requests on one connection at points of the clock, whether or not answers come; how many were answered.
async fn load(front: SocketAddr, first: u64, n: u64, every: u64, answered: Rc<Cell<u64>>) {
    let c = Client::connect(front).await;
    let reader = c.stream.get_ref().try_clone().unwrap();
    let reader = async_io::Async::new(reader).unwrap();
    let (from, got) = (now(), Cell::new(0));
    let write = async {
        for id in 1..=n {
            sleep_until(from + id * every).await;
            // More than 32 open ones would end the connection: from here on the load waits for answers.
            while id > got.get() + OPEN {
                sleep_until(now() + 200).await;
            }
            let key = format!("{:016x}", first + id);
            c.send(&request(id as u32, "media", &[("call", &key), ("row", &key)])).await;
        }
    };
    let read = async {
        let mut chunk = [0u8; 65536];
        while got.get() < n {
            let size = (&reader).read(&mut chunk).await.unwrap_or(0);
            if size == 0 {
                return;
            }
            // Every answer ends with the copy's tag, or is a refusal.
            let text = String::from_utf8_lossy(&chunk[..size]);
            let seen = (text.matches("4be0c1927d55a6f3").count() + text.matches("Full").count()) as u64;
            got.set(got.get() + seen);
            answered.set(answered.get() + seen);
        }
    };
    futures_lite::future::zip(write, read).await;
}

fn main() -> ExitCode {
    let (result, good) = (Rc::new(RefCell::new(Vec::new())), Rc::new(Cell::new(true)));
    let (out, fine) = (result.clone(), good.clone());
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

        // Overload: each connection has as many open as it may, at any time.
        for (name, every, seconds) in [("usual", 1_000_000 * CONNECTIONS / RATE, 8), ("overload", 300, 4)] {
            let (answered, from) = (Rc::new(Cell::new(0)), now());
            let n = seconds * 1_000_000 / every;
            let first = if name == "usual" { 0 } else { 1 << 40 };
            let tasks: Vec<_> = (0..CONNECTIONS)
                .map(|i| ex.spawn(load(w.front, first + (i << 24), n, every, answered.clone())))
                .collect();
            let mut waits = Vec::new();
            let lines = ["READY\n", "DISABLE s-0\n", "READY\n", "ENABLE s-0\n"];
            while now() < from + seconds * 1_000_000 {
                let asked = now();
                let said = admin_command(at, &[lines[waits.len() % lines.len()]]).await;
                let wait = now() - asked;
                fine.set(fine.get() && wait <= MOST && said.starts_with("done "));
                waits.push(wait);
                sleep_until(now() + 20_000).await;
            }
            let rate = answered.get() as f64 / ((now() - from) as f64 / 1e6);
            drop(tasks);
            waits.sort_unstable();
            let at = |q: usize| waits[(waits.len() * q / 100).min(waits.len() - 1)] as f64 / 1e3;
            out.borrow_mut().push(format!(
                r#""{name}":{{"calls":{},"answers_per_s":{rate:.0},"p50_ms":{:.1},"p99_ms":{:.1},"most_ms":{:.1}}}"#,
                waits.len(),
                at(50),
                at(99),
                at(100)
            ));
        }
        let _ = std::fs::remove_dir_all(&dir);
    });
    println!("{{{},\"kept\":{}}}", result.borrow().join(","), good.get());
    ExitCode::from(u8::from(!good.get()))
}
