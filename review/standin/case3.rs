//! A client that reads slowly gives up requests and sends new ones, never with more than 32 open.
use crate::client::{Client, Outcome};
use crate::platform::*;
use std::sync::Arc;

/// Requests of one batch: as many as the protocol page lets be open on one connection.
const BATCH: usize = 32;
/// The class `pages` is given up after 2.5 s, a try after 50 to 100% of that.
const TTL_MS: u64 = 1_500;
/// The first requests of each batch are for media, which the client waits for longer: 6 s is their give-up time.
const MEDIA: usize = 2;
const MEDIA_TTL_MS: u64 = 6_000;
/// The client ends earlier where its connection does.
const BATCHES: usize = 20;
/// "Some clients read at most 1 MB a second."
const SLOW_RATE: f64 = 1_000_000.0;

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
    let Some(mut client) = Client::connect(&record, "client", &listen, rate) else { not_run("no connection") };
    for _ in 0..BATCHES {
        client.cancel_expired();
        if client.ended() {
            break;
        }
        for i in 0..BATCH - client.open() {
            let (class, ttl) = if i < MEDIA { ("media", MEDIA_TTL_MS) } else { ("pages", TTL_MS) };
            client.send(class, ttl, b"");
        }
        pause(TTL_MS as f64 / 1000.0 + 0.01);
    }
    // What is still open then has until its time and half a second more.
    let mut waits = 0;
    while !client.ended() && client.open() > 0 && waits < 200 {
        pause(0.1);
        waits += 1;
        client.cancel_expired();
    }
    let state = client.state.lock().unwrap();
    let count = |f: &dyn Fn(&Outcome) -> bool| state.requests.values().filter(|r| f(&r.outcome)).count();
    let served = count(&|o| matches!(o, Outcome::Answered(w, 240_000) if w == "served"));
    let refused = count(&|o| matches!(o, Outcome::Answered(w, _) if w != "served"));
    record.line(&format!(
        "requests sent {}, served {served}, refused or failed {refused}, given up by the client {}, bytes read {}",
        state.requests.len(),
        count(&|o| *o == Outcome::Cancelled),
        state.bytes_read
    ));
    let mut lost = 0;
    if let Some((at, why)) = &state.ended {
        // A connection may end with no request open on it; what crosses that within 50 ms is sent again.
        for (id, r) in state.requests.iter().filter(|(_, r)| r.outcome == Outcome::Open && r.sent_at < at - 0.05) {
            lost += 1;
            record.line(&format!(
                "LOST: request {id} call={} sent at {:.3}, not cancelled, no answer, connection ended at {at:.3} ({why})",
                r.call, r.sent_at
            ));
        }
    }
    record.line(&format!("lost {lost}"));
    println!("lost {lost} of {}, served {served}", state.requests.len());
    if served == 0 {
        proxy.write_log(&record);
        not_run("nothing was served");
    }
    drop(state);
    platform.end(vec![proxy], lost);
}
