//! A hub cache starts anew while the machine of the steering proxy has its wall clock ahead of the platform's.
use crate::client::Client;
use crate::platform::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// "A machine's wall clock may be stepped, forward or back, by seconds or by an hour."
const STEP_MS: u64 = 60_000;
/// Requests a second, on so many connections.
const RATE: f64 = 180.0;
const CONNECTIONS: usize = 6;
/// Share of requests that the depot's caches can't serve from what they keep (media: 67 to 76% they can).
const MISSES: u64 = 33;
const TTL_MS: u64 = 2_500;
/// How long the load runs before the hub cache starts anew, and after.
const BEFORE: f64 = 15.0;
const AFTER: f64 = 10.0;
/// From the settings: `parent_starts_at`, `parent_ramp`, `upper_fall_multiple`, `rules.fall`.
const COLD_FROM: f64 = 0.061;
const RAMP: f64 = 21.0;
const MULTIPLE: f64 = 2.0;
const SPAN: f64 = 2.0;
/// "The link of one carries about 1.2 to 1.5 times the fills [...] at full load": the larger.
const LINK: f64 = 1.5;

struct Hubs {
    record: Record,
    /// Fills that reached each hub cache, by time.
    fills: Mutex<Vec<(f64, String)>>,
    /// How far the platform's clock is behind that of the proxy's machine.
    behind_ms: u64,
}

fn cache(hubs: &Arc<Hubs>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| not_run(&e.to_string()));
    let address = listener.local_addr().unwrap().to_string();
    let hubs = hubs.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let hubs = hubs.clone();
            thread::spawn(move || serve(&hubs, stream));
        }
    });
    address
}

/// A sound cache: a third of the objects are filled from the source that the request names.
fn serve(hubs: &Arc<Hubs>, mut stream: TcpStream) {
    stream.set_nodelay(true).ok();
    let writer = Arc::new(Mutex::new(stream.try_clone().unwrap()));
    let (mut buf, mut piece) = (Vec::new(), vec![0; 65536]);
    loop {
        match stream.read(&mut piece) {
            Ok(n) if n > 0 => buf.extend(&piece[..n]),
            _ => return,
        }
        while let Some((parts, length)) = parse_resp(&buf) {
            buf.drain(..length);
            let text = |i: usize| String::from_utf8_lossy(parts.get(i).map_or(&[][..], |p| p)).into_owned();
            if text(0) != "serve" {
                continue;
            }
            let (call, fields) = (text(1), text(2));
            let object = u64::from_str_radix(field(&fields, "path").unwrap_or("0"), 16).unwrap_or(0);
            let missing = (object >> 17) % 100 < MISSES;
            let source = field(&fields, "fetch").map(str::to_owned);
            let (hubs, writer) = (hubs.clone(), writer.clone());
            thread::spawn(move || {
                let answer = |word: &str, detail: &str, took: u64, body: &[u8]| {
                    let stamp = unix_ms() - hubs.behind_ms - 500;
                    let fields = format!("version=4be0c1927d55a6f3,stamp={stamp},detail={detail},took={took},use=util:0.5;x1:0.5;x0:0.7");
                    let bytes = encode_resp(&[call.as_bytes(), word.as_bytes(), fields.as_bytes(), body]);
                    let _ = writer.lock().unwrap().write_all(&bytes);
                };
                match source {
                    _ if !missing => {
                        pause(0.06);
                        answer("served", "HIT", 0, &[b'x'; 4_000]);
                    }
                    None => answer("not_here", "MISS", 0, b""),
                    Some(source) => {
                        pause(0.01);
                        hubs.fills.lock().unwrap().push((hubs.record.time(), source));
                        pause(0.09);
                        answer("served", "MISS", 20, &[b'x'; 4_000]);
                    }
                }
            });
        }
    }
}

fn entry(id: &str, addr: &str, zone: &str, kind: &str, started_ms: u64) -> String {
    listed(id, addr, zone, kind, "active").replace("\"started_ms\":0", &format!("\"started_ms\":{started_ms}"))
}

pub fn run() {
    let platform = Platform::from_env();
    let record = platform.record.clone();
    let behind_ms = if platform.trouble { STEP_MS } else { 0 };
    let hubs = Arc::new(Hubs { record: record.clone(), fills: Mutex::default(), behind_ms });
    let mut list = Vec::new();
    for i in 0..6 {
        list.push(entry(&format!("s-{i}"), &cache(&hubs), "edge-1", "small-box", 0));
    }
    let hub = cache(&hubs);
    list.push(entry("o-0", &cache(&hubs), "north", "origin", 0));
    list.push(entry("p-1", &cache(&hubs), "south", "parent", 0));
    list.push(entry("p-0", &hub, "north", "parent", 0));
    let (discovery, discovery_addr) = start_discovery(&record);
    let listen = free_address();
    let mut proxy = platform.start("proxy", &listen, &discovery_addr, &known(&list), "", "tmp");
    wait_until_ready(&proxy, &record, &listen);

    // Clients: a steady load on a few connections, opened anew where one ends.
    let (sent, answered) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let until = record.time() + BEFORE + AFTER + 1.0;
    for _ in 0..CONNECTIONS {
        let (r, l, sent, answered) = (record.clone(), listen.clone(), sent.clone(), answered.clone());
        thread::spawn(move || {
            while r.time() < until {
                let Some(mut client) = Client::connect(&r, "client", &l, None) else {
                    pause(0.05);
                    continue;
                };
                client.set_quiet();
                let mut next = r.time();
                while r.time() < until && !client.ended() {
                    if client.open() < 32 && client.send("pages", TTL_MS, b"").is_some() {
                        sent.fetch_add(1, Ordering::Relaxed);
                    }
                    client.cancel_expired();
                    answered.fetch_add(client.forget_ended() as u64, Ordering::Relaxed);
                    next += CONNECTIONS as f64 / RATE;
                    pause(next - r.time());
                }
            }
        });
    }
    let load_began = record.time();
    pause(BEFORE);
    let usual = {
        let fills = hubs.fills.lock().unwrap();
        let hub_fills = |id: &str| fills.iter().filter(|(t, s)| s == id && *t > load_began + BEFORE / 2.0).count();
        hub_fills("p-0").max(hub_fills("p-1")) as f64 / (BEFORE / 2.0)
    };
    let capacity = usual * LINK;
    record.line(&format!("usual fills of a hub cache {usual:.1} a second, its capacity {capacity:.1}"));
    if usual < 5.0 {
        not_run("too few fills");
    }

    // The hub cache starts anew; discovery tells it at once, by the platform's clock.
    let started = record.time();
    let started_ms = unix_ms() - behind_ms;
    let new = entry("p-0", &hub, "north", "parent", started_ms);
    list.pop();
    list.push(new.clone());
    record.line(&format!("p-0 starts anew, started_ms={started_ms}; the proxy's machine says {}", unix_ms()));
    discovery.tell(2, format!(r#"{{"no":2,"roster":{{"version":2,"full":false,"servers":[{new}]}}}}"#));
    pause(0.2);
    record.line("the proxy is killed and started again");
    drop(proxy);
    let known = known(&list).replacen("\"no\":1", "\"no\":2", 2);
    proxy = platform.start("proxy again", &listen, &discovery_addr, &known, "", "tmp2");
    wait_until_ready(&proxy, &record, &listen);
    let ready = record.time();
    pause(AFTER);

    // The rule: at no moment more than N + 3 x root of N + 3 (N from 30 on: N + 2 x root of N + 2) within the span.
    let fills: Vec<f64> =
        hubs.fills.lock().unwrap().iter().filter(|(t, s)| s == "p-0" && *t >= ready).map(|(t, _)| *t).collect();
    let mut worst = (0.0, 0, 0.0, 0.0);
    for (i, t) in fills.iter().enumerate() {
        let share = (COLD_FROM + (1.0 - COLD_FROM) * (t - started) / RAMP).min(1.0);
        let n = MULTIPLE * share * capacity * SPAN;
        let most = if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { n + 2.0 * n.sqrt() + 2.0 };
        let got = fills[..=i].iter().filter(|u| **u > t - SPAN).count();
        record.line(&format!("p-0: fill at {:.3} s after its start, {got} within {SPAN} s, at most {most:.1}", t - started));
        if got as f64 / most > worst.0 {
            worst = (got as f64 / most, got, most, t - started);
        }
    }
    let line = format!(
        "requests sent {}, answered {}; p-0 after its start: at worst {} fills within {SPAN} s where it bears {:.1}, {:.2} s after its start",
        sent.load(Ordering::Relaxed),
        answered.load(Ordering::Relaxed),
        worst.1,
        worst.2,
        worst.3
    );
    record.line(&line);
    println!("{line}");
    platform.end(vec![proxy], usize::from(worst.0 > 1.0));
}
