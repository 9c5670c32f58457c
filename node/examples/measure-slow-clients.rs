//! Measures the memory of a proxy beside clients that read slowly or not at all, each with as many requests
//! for the largest objects open as the protocol allows.
//!
//! The first argument is the program. It runs with the limits of a proxy (192 MB, 1,024 descriptors); its
//! resident memory must stay below the limit, or this exits with code 1. The last line of output is one JSON
//! object, with memory in MB.
#[path = "../tests/common/mod.rs"]
mod common;
use common::*;
use futures_lite::FutureExt;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::rc::Rc;
use threadward::net::{self, now, sleep_until};
use threadward_core::Micros;
use threadward_faults::Process;

/// Number of caches.
const CACHES: usize = 4;
/// Number of slow clients.
const CLIENTS: u64 = 300;
/// How fast they read, in turn: bytes a second, and not at all.
const SPEEDS: [Option<u64>; 4] = [Some(1_000_000), Some(300_000), Some(100_000), None];
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
        let (process, _caches, front) = start_program_at(ex, program, CACHES, &large_object(), |json| json);
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
