//! A client that reads slowly but steadily has more answers coming than the system's buffers take at once.
use crate::client::{Client, Outcome};
use crate::platform::*;
use std::sync::Arc;

/// Requests of the first second; the protocol page lets 32 be open.
const REQUESTS: usize = 32;
const MAX_OPEN: usize = 32;
/// "Some clients read at most 1 MB a second."
const SLOW_RATE: f64 = 100_000.0;
/// The give-up time of media.
const TTL_MS: u64 = 6_000;
/// For so many seconds the client sends a further request each second.
const SECONDS: usize = 25;

pub fn run() {
    let platform = Platform::from_env();
    let record = platform.record.clone();
    let caches = Arc::new(Caches {
        record: record.clone(),
        received: Default::default(),
        body_bytes: 240_000,
        delay: Default::default(),
        verbose: false,
    });
    let list = start_servers(&caches);
    let (_discovery, discovery_addr) = start_discovery(&record);
    let listen = free_address();
    let proxy = platform.start("proxy", &listen, &discovery_addr, &known(&list), "", "tmp");
    wait_until_ready(&proxy, &record, &listen);
    let rate = platform.trouble.then_some(SLOW_RATE);
    let client = Client::connect(&record, "client", &listen, rate);
    let mut client = client.unwrap_or_else(|| not_run("no connection"));
    let started = record.time();
    for second in 0..SECONDS {
        client.cancel_expired();
        if client.ended() {
            break;
        }
        let wanted = if second == 0 { REQUESTS } else { 1 };
        for _ in 0..wanted.min(MAX_OPEN.saturating_sub(client.open())) {
            client.send("media", TTL_MS, b"");
        }
        while record.time() < started + (second + 1) as f64 {
            // It stops waiting for a request once its time is over, and not before.
            client.cancel_expired();
            pause(0.02);
        }
    }
    let until = record.time() + 30.0;
    while client.open() > 0 && !client.ended() && record.time() < until {
        client.cancel_expired();
        pause(0.02);
    }
    let (mut lost, mut served) = (0, 0);
    let state = client.state.lock().unwrap();
    for (id, r) in &state.requests {
        served += usize::from(matches!(&r.outcome, Outcome::Answered(w, 240_000) if w == "served"));
        let Some((at, why)) = state.ended.as_ref().filter(|_| r.outcome == Outcome::Open) else { continue };
        // What crosses the close of a connection with no open request within 50 ms would be sent again.
        if r.sent_at > at - 0.05 {
            continue;
        }
        lost += 1;
        let ran = caches.received.lock().unwrap().iter().filter(|c| c.call == r.call && c.word == "serve").count();
        record.line(&format!(
            "LOST: request {id} call={} sent at {:.3}, ran {ran} times at a cache server, not cancelled, no whole answer; the connection ended at {at:.3} ({why})",
            r.call, r.sent_at
        ));
    }
    let cancelled = state.requests.values().filter(|r| r.outcome == Outcome::Cancelled).count();
    let line = format!(
        "sent {}, served {served}, given up by the client {cancelled}, lost {lost}; bytes read {}",
        state.requests.len(),
        state.bytes_read
    );
    record.line(&line);
    println!("{line}");
    if served == 0 {
        proxy.write_log(&record);
        not_run("nothing was served");
    }
    drop(state);
    platform.end(vec![proxy], lost);
}
