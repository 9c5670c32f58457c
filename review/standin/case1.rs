//! A new version takes over while a client still reads, slowly, the answers to what it had sent before.
use crate::client::{Client, Outcome};
use crate::platform::*;
use std::sync::Arc;

/// Requests that are answered before SIGTERM; the protocol page lets 32 be open.
const REQUESTS: usize = 14;
/// "Some clients read at most 1 MB a second."
const SLOW_RATE: f64 = 1_000_000.0;
/// The give-up time of media.
const TTL_MS: u64 = 6_000;
/// "The new process has 6 s to say yes."
const TIME_TO_SAY_YES: f64 = 6.0;

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
    let (listen, old_door, new_door) = (free_address(), free_address(), free_address());
    let start = |name: &str, door: &str| {
        let door = format!(r#""admin_addr":"{door}","#);
        platform.start(name, &listen, &discovery_addr, &known(&list), &door, "tmp")
    };
    let old = start("old", &old_door);
    wait_until_ready(&old, &record, &listen);
    // SLOW=0 is a further control: the upgrade with a client that reads as fast as it can.
    let slow = std::env::var("SLOW").map_or(true, |s| s != "0");
    let client = Client::connect(&record, "client", &listen, slow.then_some(SLOW_RATE));
    let mut client = client.unwrap_or_else(|| not_run("no connection"));
    // The client's connection is in use at the old process from here on.
    client.send("pages", 2_500, b"");
    while client.open() > 0 && !client.ended() {
        pause(0.01);
    }
    let new = start("new", &new_door);
    let until = record.time() + TIME_TO_SAY_YES;
    loop {
        let answer = door_call(&new_door, "READY").unwrap_or_default();
        if answer.starts_with("done") {
            record.line(&format!("door of new: READY: {answer}"));
            break;
        }
        if record.time() > until {
            not_run("the new process did not say yes");
        }
        pause(0.05);
    }
    for _ in 0..REQUESTS {
        client.send("media", TTL_MS, b"");
    }
    pause(0.3);
    let term_at = record.time();
    if platform.trouble {
        old.signal(&record, SIGTERM);
    }
    // Clients know nothing of the upgrade: the next request follows while answers arrive.
    pause(1.2);
    let mut next = None;
    if client.ended() {
        // A client that has seen the end of its connection opens another one.
        let other = Client::connect(&record, "client again", &listen, slow.then_some(SLOW_RATE));
        let mut other = other.unwrap_or_else(|| not_run("no connection"));
        other.send("media", TTL_MS, b"");
        while other.open() > 0 && !other.ended() {
            pause(0.02);
        }
    } else {
        next = client.send("media", TTL_MS, b"");
    }
    let until = record.time() + 30.0;
    while client.open() > 0 && !client.ended() && record.time() < until {
        pause(0.02);
    }
    let (mut lost, mut served) = (0, 0);
    let state = client.state.lock().unwrap();
    for (id, r) in &state.requests {
        served += usize::from(matches!(&r.outcome, Outcome::Answered(w, 240_000) if w == "served"));
        let Some((at, why)) = state.ended.as_ref().filter(|_| r.outcome == Outcome::Open) else { continue };
        let ran = caches.received.lock().unwrap().iter().filter(|c| c.call == r.call && c.word == "serve").count();
        // What came after SIGTERM may be turned back unheard. What was sent before was taken, and counts if
        // the connection ended within its time.
        let counts = Some(*id) != next && r.sent_at < term_at - 0.05 && *at < r.sent_at + r.ttl;
        lost += usize::from(counts);
        record.line(&format!(
            "{}: request {id} call={} sent at {:.3}, ran {ran} times at a cache server, not cancelled, no whole answer; the connection ended at {at:.3} ({why})",
            if counts { "LOST" } else { "not counted" },
            r.call,
            r.sent_at
        ));
    }
    let line = format!("served {served}, lost {lost} that were sent before SIGTERM");
    record.line(&line);
    println!("{line}");
    if served == 0 {
        old.write_log(&record);
        not_run("nothing was served");
    }
    drop(state);
    platform.end(vec![old, new], lost);
}
