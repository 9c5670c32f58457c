//! A client that reads slowly sends its next request while it still reads the answers to those before.
use crate::client::{Client, Outcome, Request};
use crate::platform::*;
use std::sync::Arc;

/// Requests of the first batch; the protocol page lets 32 be open.
const REQUESTS: usize = 10;
/// "Some clients read at most 1 MB a second."
const SLOW_RATE: f64 = 200_000.0;
/// The give-up time of media.
const TTL_MS: u64 = 6_000;
/// When the next request is sent where the client isn't slow: about when the slow one sends it.
const NEXT_AT: f64 = 11.0;
/// "Clients [...] close connections that have been idle for 4 s."
const IDLE_CLOSE: f64 = 4.0;

pub fn run() {
    let platform = Platform::from_env();
    let record = platform.record.clone();
    let caches = Arc::new(Caches {
        record: record.clone(),
        received: Default::default(),
        body_bytes: 240_000,
        delay: Default::default(),
        verbose: true,
    });
    let list = start_servers(&caches);
    let (_discovery, discovery_addr) = start_discovery(&record);
    let listen = free_address();
    let proxy = platform.start("proxy", &listen, &discovery_addr, &known(&list), "", "tmp");
    wait_until_ready(&proxy, &record, &listen);
    let rate = platform.trouble.then_some(SLOW_RATE);
    let connect = || Client::connect(&record, "client", &listen, rate).unwrap_or_else(|| not_run("no connection"));
    let mut clients = vec![connect()];
    for _ in 0..REQUESTS {
        clients[0].send("media", TTL_MS, b"");
    }
    // The next request follows as the last but one answer has come; its connection is in use all the time.
    let (started, mut busy_at) = (record.time(), record.time());
    loop {
        let client = &clients[0];
        let now = record.time();
        busy_at = if client.open() > 0 { now } else { busy_at };
        if client.ended() || now > started + 60.0 {
            break;
        }
        if client.open() == 0 && now > busy_at + IDLE_CLOSE {
            client.close();
            break;
        }
        if platform.trouble && client.open() <= 1 || now > started + NEXT_AT && !platform.trouble {
            break;
        }
        pause(0.01);
    }
    if clients[0].open() == 0 {
        while record.time() < started + NEXT_AT {
            pause(0.05);
        }
        clients.push(connect());
    }
    let last = clients.len() - 1;
    clients[last].send("media", TTL_MS, b"");
    let until = record.time() + 30.0;
    while clients[last].open() > 0 && !clients[last].ended() && record.time() < until {
        pause(0.05);
    }
    let (mut lost, mut lost_in_time, mut served) = (0, 0, 0);
    for client in &clients {
        let state = client.state.lock().unwrap();
        served += state.requests.values().filter(|r| matches!(&r.outcome, Outcome::Answered(w, 240_000) if w == "served")).count();
        let Some((at, why)) = &state.ended else { continue };
        // What crosses the close of a connection with no open request within 50 ms would be sent again.
        let crossed = |r: &Request| r.sent_at > at - 0.05;
        for (id, r) in state.requests.iter().filter(|(_, r)| r.outcome == Outcome::Open && !crossed(r)) {
            let ran = caches.received.lock().unwrap().iter().filter(|c| c.call == r.call && c.word == "serve").count();
            let in_time = *at < r.sent_at + r.ttl;
            lost += 1;
            lost_in_time += usize::from(in_time);
            record.line(&format!(
                "LOST: request {id} call={} sent at {:.3}, ran {ran} times at a cache server, not cancelled, no whole answer; the connection ended at {at:.3} ({why}){}",
                r.call,
                r.sent_at,
                if in_time { ", within its ttl" } else { "" }
            ));
        }
    }
    let line = format!("served {served}, lost {lost}, of these within their ttl {lost_in_time}");
    record.line(&line);
    println!("{line}");
    if served == 0 {
        proxy.write_log(&record);
        not_run("nothing was served");
    }
    // Only what was lost within its `ttl` counts: for the others a client that counts the time of its own
    // reading would have stopped waiting.
    platform.end(vec![proxy], lost_in_time);
}
