//! Measures the memory of a proxy beside clients that read slowly or not at all, each with as many requests
//! for the largest objects open as the protocol allows.
//!
//! The first argument is the program. It runs with the limits of a proxy (192 MB, 1,024 descriptors); its
//! resident memory must stay below the limit, or this exits with code 1. The last line of output is one JSON
//! object, with memory in MB.
#[path = "../tests/common/mod.rs"]
mod common;
use async_executor::LocalExecutor;
use common::*;
use futures_lite::FutureExt;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use threadward::net::{self, now, sleep_until};
use threadward_core::Micros;
use threadward_faults::{Process, ProcessBuilder};

/// Number of slow clients.
const CLIENTS: u64 = 300;
/// How fast they read, in turn: bytes a second, and not at all.
const SPEEDS: [Option<u64>; 4] = [Some(1_000_000), Some(300_000), Some(100_000), None];
/// Requests that the protocol lets a client have open on one connection.
const MAX_OPEN_REQUESTS: u32 = 32;
/// The largest object that the protocol allows, in bytes.
const OBJECT_BYTES: usize = 240_000;
/// How long the clients ask.
const DURATION: Micros = 30_000_000;
/// How often memory is read.
const SAMPLE_INTERVAL: Micros = 100_000;
/// The limits that the configuration sets.
const MEMORY_LIMIT_MB: u64 = 192;

/// What the clients saw.
#[derive(Default)]
struct Counts {
    served: Cell<u64>,
    refused: Cell<u64>,
    closed: Cell<u64>,
}

/// Keeps as many requests open as may be, on one connection after the other.
async fn run_client(front: SocketAddr, number: u64, until: Micros, counts: Rc<Counts>) {
    let speed = SPEEDS[number as usize % SPEEDS.len()];
    let mut sent = 0;
    while now() < until {
        let mut client = Client::connect(front).await;
        client.bytes_per_second = speed;
        let (mut id, mut open) = (0, 0);
        loop {
            let mut batch = Vec::new();
            while open < MAX_OPEN_REQUESTS {
                (id, open, sent) = (id + 1, open + 1, sent + 1);
                let key = format!("{number:08x}{sent:08x}");
                batch.extend(request(id, "media", &[("call", &key), ("row", &key), ("ttl", "6000")]));
            }
            // A write to a connection that the proxy has closed fails; its end is then read.
            net::write_all(&client.stream, &batch).await.ok();
            let timer = async {
                sleep_until(until).await;
                None
            };
            let reading = async {
                match speed {
                    Some(_) => Some(client.answer().await),
                    None => futures_lite::future::pending().await,
                }
            };
            match reading.or(timer).await {
                None => return,
                Some(None) => break,
                Some(Some((_, refusal, _))) => {
                    open -= 1;
                    let count = if refusal.is_some() { &counts.refused } else { &counts.served };
                    count.set(count.get() + 1);
                }
            }
        }
        counts.closed.set(counts.closed.get() + 1);
    }
}

/// Starts the program with these caches.
fn start(program: PathBuf, ex: &'static LocalExecutor<'static>) -> (Process, SocketAddr) {
    let caches: Vec<Cache> = (0..4).map(|_| start_cache(ex)).collect();
    let large = CacheBehavior::Answer("served", "version=ab,stamp=1,detail=HIT", vec![7; OBJECT_BYTES]);
    caches.iter().for_each(|cache| *cache.behavior.borrow_mut() = large.clone());
    let (_, _, discovery) = start_discovery(ex);
    let front = free_addresses(1)[0];
    let folder = tempfile::tempdir().unwrap().keep();
    let path = folder.join("config.json");
    let entry = |(i, cache): (usize, &Cache)| server_entry(&format!("s-{i}"), cache.addr, "std", "active", 0);
    let servers: Vec<String> = caches.iter().enumerate().map(entry).collect();
    std::fs::write(&path, configuration(front, discovery, &servers)).unwrap();
    let process = ProcessBuilder::new(program).env("LB_CONFIG", &path).folder(folder).spawn().unwrap();
    (process, front)
}

/// Reads a value in kB from the status of a process.
fn memory_kb(process: &Process, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field)?.strip_prefix(':'));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

fn main() -> ExitCode {
    let program = std::env::args_os().nth(1).expect("the program as the first argument");
    let program = std::fs::canonicalize(program).expect("the program as the first argument");
    let result = Rc::new(RefCell::new((0, String::new())));
    let output = result.clone();
    run(|ex| async move {
        let (process, front) = start(program, ex);
        wait_until("the front", || TcpStream::connect(front).is_ok()).await;
        let (until, counts) = (now() + DURATION, Rc::new(Counts::default()));
        for number in 0..CLIENTS {
            ex.spawn(run_client(front, number, until, counts.clone())).detach();
        }
        let mut samples = Vec::new();
        while now() < until {
            samples.push(memory_kb(&process, "VmRSS"));
            sleep_until(now() + SAMPLE_INTERVAL).await;
        }
        samples.sort_unstable();
        let peak_mb = memory_kb(&process, "VmHWM").div_ceil(1024);
        let json = serde_json::json!({
            "clients": CLIENTS, "seconds": DURATION / 1_000_000,
            "resident_mb_median": samples[samples.len() / 2] / 1024, "resident_mb_peak": peak_mb,
            "limit_mb": MEMORY_LIMIT_MB, "served": counts.served.get(), "refused": counts.refused.get(),
            "closed_connections": counts.closed.get(),
        });
        *output.borrow_mut() = (peak_mb, json.to_string());
        process.kill().unwrap();
    });
    let (peak_mb, json) = result.take();
    println!("{json}");
    ExitCode::from(u8::from(peak_mb == 0 || peak_mb >= MEMORY_LIMIT_MB))
}
