//! Measures the watch of discovery: the real planner with a full member list and purges at some rate, and a
//! stand-in of the list service that sends each purge to every watch.
//!
//! An event is what `node/tests` write on the wire, without the lengths of HTTP's chunks. It is parsed as in
//! `node/src/bulletin.rs` and `node/src/config.rs`: the lines, the JSON, its fields. The program's other work
//! (the socket's task, the pool's table of addresses) is not in the figures.
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

/// One second, in microseconds.
const SECOND: Micros = 1_000_000;
/// The heartbeat: a comment that keeps an idle watch open.
const HEARTBEAT: &[u8] = b": beat\n\n";
/// Heartbeats a second.
const HEARTBEATS_PER_S: f64 = 1.0;
/// Number of the stand-in's watches that are real sockets, whose writes are timed.
const TIMED_SOCKETS: usize = 64;
/// Number of deliveries that are timed, rounded down to whole batches.
const TIMED_DELIVERIES: usize = 20_000;
/// Deliveries in a batch, after which the received bytes are read from the sockets.
const DELIVERIES_PER_BATCH: usize = 1_024;

/// A transport that reaches no cache. The planner gets no requests here.
struct NoCaches;

impl CacheTransport for NoCaches {
    fn send(&mut self, _: Dispatch) {}
    fn withdraw(&mut self, _: u64, _: u16) -> bool {
        false
    }
    fn probe(&mut self, _: Addr) {}
}

/// The cost of a proxy's watch.
#[derive(Clone, Copy, Debug)]
pub struct WatchFigures {
    /// Bytes received a second.
    pub bytes_in: f64,
    /// Processor time, as a share of a core.
    pub core: f64,
    /// Bytes of memory: the member list and the purges that are remembered.
    pub memory: f64,
    /// Bytes of the full list on the wire.
    pub list_bytes: f64,
    /// Processor time of reading and applying the full list, in seconds.
    pub list_seconds: f64,
}

/// Returns the event of a purge.
pub fn purge_event(number: u64, object: u64, issued: Micros) -> String {
    let issued = issued / 1_000;
    format!("id: {number}\ndata: {{\"no\":{number},\"recall\":{{\"item\":\"{object:016x}\",\"issued\":{issued}}}}}\n\n")
}

/// Returns the event of a full list of `caches` servers.
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

/// Returns the JSON of an event.
fn data(event: &str) -> Option<Value> {
    let line = event.lines().find_map(|line| line.strip_prefix("data: "))?;
    serde_json::from_str(line).ok()
}

/// Returns the object of a purge event and the time at which the purge was issued.
fn read_purge(event: &str) -> Option<(u64, Micros)> {
    let json = data(event)?;
    let recall = json.get("recall")?;
    let object = u64::from_str_radix(recall.get("item")?.as_str()?, 16).ok()?;
    Some((object, recall.get("issued")?.as_u64()? * 1_000))
}

/// Returns the members of a list event.
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

/// Measures one proxy's watch: a full list, then purges at a rate for `seconds` of virtual time.
pub fn watch(meter: &Meter, seed: u64, caches: usize, purges_per_second: f64, seconds: u64) -> WatchFigures {
    let mut rng = stream(seed, 0x7761_7463);
    let list = list_event(caches);
    let allocated_before = meter.allocated();
    let mut planner = new_planner(seed);
    let from = thread_nanoseconds();
    planner.update_members(SECOND, ListForm::Full, read_list(&list));
    let list_seconds = (thread_nanoseconds() - from) / 1e9;
    let purges = (purges_per_second * seconds as f64) as u64;
    let (mut bytes, mut nanoseconds) = (0usize, 0.0);
    for number in 0..purges {
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
        bytes_in: bytes as f64 / seconds + HEARTBEATS_PER_S * HEARTBEAT.len() as f64,
        core: nanoseconds / 1e9 / seconds,
        memory: (meter.allocated() - allocated_before) as f64 + size_of::<Planner>() as f64,
        list_bytes: list.len() as f64,
        list_seconds,
    }
}

/// Creates a planner without members.
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

/// Measures the processor time of sending one purge to one watch, in seconds. It is the time of writing the
/// event to a TCP connection on the loopback interface, which includes the receiving side's work in the
/// kernel.
///
/// # Errors
/// Returns the error of a socket.
pub fn delivery_seconds() -> std::io::Result<f64> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let listen_address = listener.local_addr()?;
    let mut watches = Vec::new();
    for _ in 0..TIMED_SOCKETS {
        let sender = TcpStream::connect(listen_address)?;
        let (receiver, _) = listener.accept()?;
        sender.set_nodelay(true)?;
        receiver.set_nonblocking(true)?;
        watches.push((sender, receiver));
    }
    let event = purge_event(12_345, 0x0123_4567_89ab_cdef, 1_700_000_000 * SECOND);
    let mut sink = vec![0; 1 << 16];
    let mut nanoseconds = 0.0;
    for batch in 0..TIMED_DELIVERIES / DELIVERIES_PER_BATCH {
        let from = thread_nanoseconds();
        for delivery in 0..DELIVERIES_PER_BATCH {
            watches[(batch + delivery) % TIMED_SOCKETS].0.write_all(event.as_bytes())?;
        }
        nanoseconds += thread_nanoseconds() - from;
        for (_, receiver) in &mut watches {
            while receiver.read(&mut sink).is_ok_and(|read| read > 0) {}
        }
    }
    Ok(nanoseconds / 1e9 / (TIMED_DELIVERIES / DELIVERIES_PER_BATCH * DELIVERIES_PER_BATCH) as f64)
}

/// Returns the seconds from the issue of each purge until a watch received it, in rising order, for all
/// purges of `seconds` and a sample of the watches. One core serves the watches one after the other, purge
/// after purge, and each message takes the delay of a link on top, as `lab::net` has it (1 to 17 ms).
///
/// The sampled watches lie evenly in the order in which the stand-in serves them.
pub fn propagation_times(
    seed: u64,
    watches: usize,
    purges_per_second: f64,
    seconds: u64,
    delivery: f64,
) -> Vec<f64> {
    let mut rng = stream(seed, 0x7370_7265);
    let (mut idle_at, mut all) = (0.0f64, Vec::new());
    let step = (watches / SAMPLED_WATCHES).max(1);
    for number in 0..(purges_per_second * seconds as f64) as u64 {
        let issued = number as f64 / purges_per_second;
        let begins = idle_at.max(issued);
        idle_at = begins + watches as f64 * delivery;
        let sampled = (0..watches).rev().step_by(step);
        all.extend(sampled.map(|watch| begins + (watch + 1) as f64 * delivery - issued + delay(&mut rng)));
    }
    all.sort_unstable_by(f64::total_cmp);
    all
}

/// Number of watches whose delivery is sampled for each purge, approximately.
const SAMPLED_WATCHES: usize = 100;

/// Draws a link's delay in seconds, within the bounds of `lab::net`.
fn delay(rng: &mut ChaCha8Rng) -> f64 {
    let NetworkConditions { min_delay, max_delay, .. } = NetworkConditions::default();
    (min_delay as f64 + crate::unit(rng) * (max_delay - min_delay) as f64) / SECOND as f64
}
