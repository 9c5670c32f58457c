//! A new version takes over while clients read slowly and go on asking.
use super::Broken;
use crate::bulletin::Bulletin;
use crate::cache::{Behaviour, Cache, Reply, Serve};
use crate::client::call_id;
use crate::proxy::{free_addr, Proxy};
use crate::record::{unix_ms, Record};
use crate::site::{fields, object, roster, two_addrs, Config, Folder, Listed};
use crate::wire::{self, Value};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const OBJECT_BYTES: usize = 240_000;
/// A client reads so much at a time, once in `READ_PAUSE`: 1,000,000 bytes a second at most.
const READ_BYTES: usize = 20_000;
const READ_PAUSE: Duration = Duration::from_millis(20);
/// Requests that a client keeps open on its connection, of 32 that it may.
const OPEN: usize = 10;
const CLIENTS: usize = 6;
/// How long a client waits for an answer, the class's longest time.
const TTL_MS: u64 = 6_000;
/// SIGKILL follows SIGTERM by the longest deadline, counted as 3 s where it is longer, and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// What SIGKILL finds unanswered is lost if it came later than this after SIGTERM (0.7 s, and 50 ms on sockets).
const LATER_THAN: Duration = Duration::from_millis(750);
/// A request that crosses a close within this is sent once more.
const CROSSING: Duration = Duration::from_millis(50);

#[derive(Clone, Debug)]
struct Sent {
    call: String,
    at: Duration,
    answered: Option<Duration>,
    ended: Option<Duration>,
}

pub fn run(trouble: bool, record: &Arc<Record>) -> Result<(), Broken> {
    let folder = Folder::new();
    let behaviour: Behaviour = Arc::new(|_: &Serve| {
        let fields = format!("version=v1,stamp={},detail=HIT,use=util:0.2;x1:0.2;x0:0.9", unix_ms());
        Reply(10 * MS, "served", fields, vec![7; OBJECT_BYTES])
    });
    let caches: Vec<Cache> = (1..4).map(|i| Cache::start(&format!("s-{i}"), record, behaviour.clone())).collect();
    let bulletin = Bulletin::start(record);
    let list: Vec<Listed> =
        caches.iter().enumerate().map(|(i, c)| Listed::cache(&format!("s-{}", i + 1), c.addr)).collect();
    bulletin.publish(1, &roster(true, &list));
    let (listen, door_old) = two_addrs();
    let tmp = folder.tmp("tmp");
    let mut config = Config::new(listen, bulletin.addr, &list);
    config.door = Some(door_old);
    let mut old = Proxy::start("old", &config.json(), &tmp, record);
    super::wait_ready(door_old, Duration::from_secs(10), record)?;

    let stop = Arc::new(AtomicBool::new(false));
    let all: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS as u64)
        .map(|n| {
            let (stop, all, record) = (stop.clone(), all.clone(), record.clone());
            std::thread::spawn(move || {
                let mut k = n * 1_000;
                while !stop.load(Ordering::Relaxed) {
                    let sent = slow_client(listen, &mut k, &stop, &record);
                    all.lock().unwrap().extend(sent);
                    sleep(20 * MS);
                }
            })
        })
        .collect();
    sleep(3_000 * MS);
    let mut new = None;
    let mut term_at = None;
    if trouble {
        let door_new = free_addr();
        config.door = Some(door_new);
        new = Some(Proxy::start("new", &config.json(), &tmp, record));
        super::wait_ready(door_new, Duration::from_secs(6), record)?;
        term_at = Some(record.now());
        old.signal("TERM");
        if !old.wait_end(KILL_AFTER) {
            old.signal("KILL");
            old.wait_end(Duration::from_secs(1));
        }
        sleep(1_000 * MS);
    } else {
        sleep(KILL_AFTER + 1_000 * MS);
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| drop(c.join()));
    if let Some(how) = new.as_mut().and_then(Proxy::ended) {
        return Err(Broken::Rule(format!("the new process ended {how}")));
    }
    let all = all.lock().unwrap();
    let served: BTreeSet<String> =
        caches.iter().flat_map(|c| c.served.lock().unwrap().iter().map(|s| s.id.clone()).collect::<Vec<_>>()).collect();
    let unanswered: Vec<&Sent> = all.iter().filter(|s| s.answered.is_none()).collect();
    let late = |s: &Sent| term_at.is_none_or(|term| s.at > term + LATER_THAN);
    let crosses = |s: &Sent| s.ended.is_some_and(|ended| s.at + CROSSING >= ended);
    // Only what was heard counts: a cache server got it and answered it.
    let lost: Vec<&&Sent> = unanswered.iter().filter(|s| late(s) && !crosses(s) && served.contains(&s.call)).collect();
    for s in &lost {
        let after = s.at.saturating_sub(term_at.unwrap_or_default());
        record.say(format!(
            "lost: {} sent {after:?} after SIGTERM, answered by a cache server, its connection ended at {:?}",
            s.call, s.ended
        ));
    }
    record.say(format!(
        "{} requests, {} without a whole answer; of these {} were sent over 0.75 s after SIGTERM, answered by a cache server, and \
         did not cross the end",
        all.len(),
        unanswered.len(),
        lost.len()
    ));
    if lost.is_empty() {
        return Ok(());
    }
    Err(Broken::Rule(format!("lost: {} requests that came over 0.75 s after SIGTERM had no whole answer", lost.len())))
}

/// A client that reads at its pace and keeps its number of requests open, until its connection ends. Once told to
/// stop it asks no more and reads what is still owed.
fn slow_client(at: SocketAddr, k: &mut u64, stop: &AtomicBool, record: &Arc<Record>) -> Vec<Sent> {
    let Ok(mut stream) = TcpStream::connect_timeout(&at, 500 * MS) else { return Vec::new() };
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(Duration::from_millis(TTL_MS + 1_000))).ok();
    let mut sent: Vec<Sent> = Vec::new();
    let (mut buf, mut part) = (Vec::new(), vec![0; READ_BYTES]);
    loop {
        let mut open = sent.iter().filter(|s| s.answered.is_none()).count();
        while open < OPEN && !stop.load(Ordering::Relaxed) {
            *k += 1;
            let (call, id) = (call_id(), sent.len() as u32 + 1);
            let message = wire::request(id, "media", &fields(&call, TTL_MS, &object(*k % 200), 1), b"");
            if stream.write_all(&message).is_err() {
                let ended = record.now();
                sent.iter_mut().for_each(|s| s.ended = Some(ended));
                return sent;
            }
            record.say(format!("client: sends {call}"));
            sent.push(Sent { call, at: record.now(), answered: None, ended: None });
            open += 1;
        }
        if open == 0 {
            return sent;
        }
        match stream.read(&mut part) {
            Ok(n @ 1..) => buf.extend_from_slice(&part[..n]),
            _ => break,
        }
        while let Some((message, length)) = wire::value(&buf) {
            buf.drain(..length);
            let Value::List(items) = message else { continue };
            let Some(Value::Int(answered)) = items.get(1) else { continue };
            if let Some(s) = sent.get_mut(*answered as usize - 1) {
                s.answered = Some(record.now());
                record.say(format!("client: has the answer to {}", s.call));
            }
        }
        sleep(READ_PAUSE);
    }
    let ended = record.now();
    record.say(format!(
        "client: its connection ended, {} of its requests unanswered",
        sent.iter().filter(|s| s.answered.is_none()).count()
    ));
    sent.iter_mut().for_each(|s| s.ended = Some(ended));
    sent
}
