//! The watch of discovery: the real planner with a whole list and purges at some rate, and a stand-in of the
//! list service that tells every watch of each purge.
//!
//! An event is what `node/tests` write on the wire, without the lengths of HTTP's chunks. It is read as
//! `node/src/bulletin.rs` and `node/src/config.rs` read it: the lines, the JSON, its fields. What the program
//! does besides (the socket's task, the pool's table of addresses) is not in the figures.
use super::meter::Meter;
use super::stopwatch::thread_nanoseconds;
use crate::net::NetworkConditions;
use crate::stream;
use nickelgate::{Addr, Class, Entry, ListForm, Micros, Settings};
use rand_chacha::ChaCha8Rng;
use rand_core::RngCore;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use threadward_core::stages::admit::Limits;
use threadward_core::{CacheTransport, Dispatch, Planner};

const SECOND: Micros = 1_000_000;
/// A comment that keeps a silent watch open.
const BEAT: &[u8] = b": beat\n\n";
/// Comments a second.
const BEATS: f64 = 1.0;
/// Watches of the stand-in that are real sockets: their writes are timed.
const SOCKETS: usize = 64;
/// Deliveries that are timed.
const DELIVERIES: usize = 20_000;
/// Received bytes are taken from the sockets after so many deliveries.
const DRAIN_EVERY: usize = 1_024;

/// No way to any cache: the planner is asked for nothing.
struct NoCaches;

impl CacheTransport for NoCaches {
    fn send(&mut self, _: Dispatch) {}
    fn withdraw(&mut self, _: u64, _: u16) -> bool {
        false
    }
    fn probe(&mut self, _: Addr) {}
}

/// What a proxy's watch costs it.
#[derive(Clone, Copy, Debug)]
pub struct WatchFigures {
    /// Bytes a second in.
    pub bytes_in: f64,
    /// Processor time, as a share of a core.
    pub core: f64,
    /// Bytes on the heap: list, and purges that are remembered.
    pub memory: f64,
    /// Bytes of the whole list on the wire.
    pub list_bytes: f64,
    /// Processor time of taking the whole list, in seconds.
    pub list_seconds: f64,
}

/// The event of a purge.
pub fn purge_event(number: u64, object: u64, issued: Micros) -> String {
    let issued = issued / 1_000;
    format!("id: {number}\ndata: {{\"no\":{number},\"recall\":{{\"item\":\"{object:016x}\",\"issued\":{issued}}}}}\n\n")
}

/// The event of a whole list of so many caches.
pub fn list_event(caches: usize) -> String {
    let server = |cache: usize| {
        let [_, _, high, low] = (cache as u32).to_be_bytes();
        let zone = cache / 30;
        format!(
            r#"{{"id":"cache-{cache}","addr":"10.1.{high}.{low}:6100","zone":"zone-{zone}","kind":"std","cell":1,"state":"active","weight":4,"started_ms":{cache}}}"#
        )
    };
    let servers: Vec<String> = (0..caches).map(server).collect();
    let servers = servers.join(",");
    format!(
        "id: 1\ndata: {{\"no\":1,\"roster\":{{\"version\":1,\"full\":true,\"servers\":[{servers}]}}}}\n\n"
    )
}

/// The JSON of an event.
fn data(event: &str) -> Option<Value> {
    let line = event.lines().find_map(|line| line.strip_prefix("data: "))?;
    serde_json::from_str(line).ok()
}

fn read_purge(event: &str) -> Option<(u64, Micros)> {
    let recall = data(event)?;
    let recall = recall.get("recall")?;
    let object = u64::from_str_radix(recall.get("item")?.as_str()?, 16).ok()?;
    Some((object, recall.get("issued")?.as_u64()? * 1_000))
}

fn read_list(event: &str) -> Vec<Entry> {
    let list = data(event).unwrap_or_default();
    let servers = list.pointer("/roster/servers").and_then(Value::as_array).cloned().unwrap_or_default();
    let entry = |server: &Value| {
        let address = server.get("addr")?.as_str()?.parse::<std::net::SocketAddrV4>().ok()?;
        let addr = Addr { ip: address.ip().octets(), port: address.port() };
        let weight = server.get("weight")?.as_f64()? as f32;
        let since = server.get("started_ms")?.as_u64()? * 1_000;
        Some(Entry { addr, weight, started_at: since, incarnation: since, ..Entry::default() })
    };
    servers.iter().filter_map(entry).collect()
}

/// One proxy's watch: a whole list, then purges at this rate for so many seconds of virtual time.
pub fn watch(meter: &Meter, seed: u64, caches: usize, purges_per_second: f64, seconds: u64) -> WatchFigures {
    let mut rng = stream(seed, 0x7761_7463);
    let list = list_event(caches);
    let before = meter.allocated();
    let mut planner = new_planner(seed);
    let from = thread_nanoseconds();
    planner.update_members(SECOND, ListForm::Full, read_list(&list));
    let list_seconds = (thread_nanoseconds() - from) / 1e9;
    let many = (purges_per_second * seconds as f64) as u64;
    let (mut bytes, mut nanoseconds) = (0usize, 0.0);
    for number in 0..many {
        let now = SECOND + (number as f64 / purges_per_second * SECOND as f64) as Micros;
        let event = purge_event(number + 2, rng.next_u64(), now);
        bytes += event.len();
        let from = thread_nanoseconds();
        if let Some((object, issued)) = read_purge(&event) {
            planner.purge(now, now.saturating_sub(issued), Some(object), 0);
        }
        planner.run_timers(now);
        nanoseconds += thread_nanoseconds() - from - meter.clock_cost();
    }
    let seconds = seconds as f64;
    WatchFigures {
        bytes_in: bytes as f64 / seconds + BEATS * BEAT.len() as f64,
        core: nanoseconds / 1e9 / seconds,
        memory: (meter.allocated() - before) as f64 + size_of::<Planner>() as f64,
        list_bytes: list.len() as f64,
        list_seconds,
    }
}

fn new_planner(seed: u64) -> Planner {
    let class = Class { target_latency: 600_000, deadline: 6 * SECOND, ..Class::default() };
    let settings = Settings {
        classes: vec![class],
        purge_complete_after: 6 * SECOND,
        purge_grace: 300_000,
        max_attempts: 8,
        ..Settings::default()
    };
    let limits = Limits { max_open: 4_096, max_bytes: usize::MAX, retry_after: 250_000 };
    Planner::new(settings, seed, limits, Box::new(NoCaches))
}

/// Processor time of the stand-in to tell one watch of one purge, in seconds: a write of the event to a TCP
/// connection on the loopback interface, which carries the receiving side's work in the kernel too.
///
/// # Errors
/// What the sockets did.
pub fn delivery_seconds() -> std::io::Result<f64> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let at = listener.local_addr()?;
    let mut watches = Vec::new();
    for _ in 0..SOCKETS {
        let sender = TcpStream::connect(at)?;
        let (receiver, _) = listener.accept()?;
        sender.set_nodelay(true)?;
        receiver.set_nonblocking(true)?;
        watches.push((sender, receiver));
    }
    let event = purge_event(12_345, 0x0123_4567_89ab_cdef, 1_700_000_000 * SECOND);
    let mut sink = vec![0; 1 << 16];
    let mut nanoseconds = 0.0;
    for batch in 0..DELIVERIES / DRAIN_EVERY {
        let from = thread_nanoseconds();
        for delivery in 0..DRAIN_EVERY {
            watches[(batch + delivery) % SOCKETS].0.write_all(event.as_bytes())?;
        }
        nanoseconds += thread_nanoseconds() - from;
        for (_, receiver) in &mut watches {
            while receiver.read(&mut sink).is_ok_and(|read| read > 0) {}
        }
    }
    Ok(nanoseconds / 1e9 / (DELIVERIES / DRAIN_EVERY * DRAIN_EVERY) as f64)
}

/// Seconds from each purge until a watch was told, for all purges of a minute and all watches, in rising
/// order: one core tells the watches one after the other, purge after purge, and each telling takes a link's
/// delay of 1 to 17 ms.
///
/// Every watch has a place in the order of the stand-in; so many of them are looked at.
pub fn spread(seed: u64, watches: usize, purges_per_second: f64, seconds: u64, delivery: f64) -> Vec<f64> {
    let mut rng = stream(seed, 0x7370_7265);
    let (mut free, mut all) = (0.0f64, Vec::new());
    let step = (watches / LOOKED_AT).max(1);
    for number in 0..(purges_per_second * seconds as f64) as u64 {
        let issued = number as f64 / purges_per_second;
        let begins = free.max(issued);
        free = begins + watches as f64 * delivery;
        let told = (0..watches).rev().step_by(step);
        all.extend(told.map(|watch| begins + (watch + 1) as f64 * delivery - issued + delay(&mut rng)));
    }
    all.sort_unstable_by(f64::total_cmp);
    all
}

/// Watches whose telling is looked at, of each purge.
const LOOKED_AT: usize = 100;

/// A link's delay in seconds, as `lab::net` has it.
fn delay(rng: &mut ChaCha8Rng) -> f64 {
    let NetworkConditions { min_delay, max_delay, .. } = NetworkConditions::default();
    (min_delay as f64 + crate::unit(rng) * (max_delay - min_delay) as f64) / SECOND as f64
}
