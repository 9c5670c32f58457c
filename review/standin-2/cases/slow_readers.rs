//! Clients that read slowly, while idle connections fill the descriptors.
use super::Broken;
use crate::bulletin::Bulletin;
use crate::cache::{Behaviour, Cache, Reply, Serve};
use crate::client::call_id;
use crate::proxy::{free_addr, Proxy};
use crate::record::{unix_ms, Record};
use crate::site::{fields, object, roster, Config, Folder, Listed};
use crate::wire::{self, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
/// Bytes of an object: less than what a connection's receiver holds from the start.
const OBJECT_BYTES: usize = 50_000;
/// A slow client reads so much at a time, once in `READ_PAUSE`: 0.2 MB a second.
const READ_BYTES: usize = 4_000;
const READ_PAUSE: Duration = Duration::from_millis(20);
/// So long after the first byte of an answer the client sends its next request.
const NEXT_AFTER: Duration = Duration::from_millis(180);
/// A request that crosses a close within this is sent once more.
const CROSSING: Duration = Duration::from_millis(50);
const SLOW_CLIENTS: usize = 24;
/// Idle connections that come each 10 ms.
const CROWD_PER_TICK: usize = 8;
const CROWD_LASTS: Duration = Duration::from_secs(4);

/// What became of a request.
#[derive(Clone, Debug)]
struct Sent {
    call: String,
    at: Duration,
    answered: Option<Duration>,
    /// When the client, in its reading, came to the end of its connection.
    ended: Option<Duration>,
    /// When the proxy's close of it arrived.
    closed: Option<Duration>,
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
    let listen = free_addr();
    let mut config = Config::new(listen, bulletin.addr, &list);
    // Half of the 1,024 of the platform.
    config.sockets = 512;
    let mut proxy = Proxy::start("proxy", &config.json(), &folder.tmp("tmp"), record);
    sleep(500 * MS);

    let stop = Arc::new(AtomicBool::new(false));
    let all: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients: Vec<_> = (0..SLOW_CLIENTS)
        .map(|n| {
            let (stop, all, record) = (stop.clone(), all.clone(), record.clone());
            std::thread::spawn(move || {
                let mut k = n as u64;
                while !stop.load(Ordering::Relaxed) {
                    k += SLOW_CLIENTS as u64;
                    let sent = slow_client(listen, k, &stop, &record);
                    all.lock().unwrap().extend(sent);
                    sleep(20 * MS);
                }
            })
        })
        .collect();
    sleep(2_000 * MS);
    let crowd_count = Arc::new(AtomicU64::new(0));
    if trouble {
        record.say("idle connections begin to arrive");
        let began = record.now();
        let mut crowd: std::collections::VecDeque<(Duration, TcpStream)> = Default::default();
        while record.now() < began + CROWD_LASTS {
            for _ in 0..CROWD_PER_TICK {
                if let Ok(stream) = TcpStream::connect_timeout(&listen, 200 * MS) {
                    crowd.push_back((record.now(), stream));
                    crowd_count.fetch_add(1, Ordering::Relaxed);
                }
            }
            while crowd.front().is_some_and(|c| c.0 + 800 * MS < record.now()) {
                crowd.pop_front();
            }
            sleep(10 * MS);
        }
        record.say(format!("{} idle connections came", crowd_count.load(Ordering::Relaxed)));
    } else {
        sleep(CROWD_LASTS);
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| drop(c.join()));
    if let Some(how) = proxy.ended() {
        return Err(Broken::Rule(format!("the process ended {how}")));
    }
    let all = all.lock().unwrap();
    let unanswered: Vec<&Sent> = all.iter().filter(|s| s.answered.is_none()).collect();
    let crosses = |s: &&&Sent| s.closed.is_some_and(|closed| s.at.abs_diff(closed) <= CROSSING);
    let lost: Vec<&&Sent> = unanswered.iter().filter(|s| !crosses(s)).collect();
    for s in &lost {
        record.say(format!(
            "lost: {} sent at {:?}; the proxy's close arrived at {:?}, the client read up to it at {:?}",
            s.call, s.at, s.closed, s.ended
        ));
    }
    record.say(format!(
        "{} requests of slow clients, {} without an answer, {} of these sent over 50 ms from the close",
        all.len(),
        unanswered.len(),
        lost.len()
    ));
    if lost.is_empty() {
        return Ok(());
    }
    Err(Broken::Rule(format!("lost: {} of {} requests of slow clients got no answer", lost.len(), all.len())))
}

/// A client that reads at its pace: sends a request, reads the answer slowly, and sends the next one while it
/// still reads. Returns its requests.
fn slow_client(at: SocketAddr, k: u64, stop: &AtomicBool, record: &Arc<Record>) -> Vec<Sent> {
    let Ok(mut stream) = TcpStream::connect_timeout(&at, 500 * MS) else { return Vec::new() };
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(3_500 * MS)).ok();
    let mut sent: Vec<Sent> = Vec::new();
    let closed_at = super::watch_close(&stream, record);
    let (mut buf, mut part) = (Vec::new(), vec![0; READ_BYTES]);
    let mut next_at = Some(record.now());
    let mut id = 0;
    loop {
        if next_at.is_some_and(|t| record.now() >= t) && !stop.load(Ordering::Relaxed) && id < 6 {
            id += 1;
            let call = call_id();
            let message = wire::request(id, "media", &fields(&call, 3_000, &object(k % 40), 1), b"");
            if stream.write_all(&message).is_err() {
                break;
            }
            record.say(format!("slow client {k}: sends {call}"));
            sent.push(Sent { call, at: record.now(), answered: None, ended: None, closed: None });
            next_at = None;
        }
        let was_empty = buf.is_empty();
        match stream.read(&mut part) {
            Ok(n @ 1..) => buf.extend_from_slice(&part[..n]),
            _ => break,
        }
        if was_empty {
            next_at = Some(record.now() + NEXT_AFTER);
        }
        while let Some((message, length)) = wire::value(&buf) {
            buf.drain(..length);
            let Value::List(items) = message else { continue };
            let Some(Value::Int(answered)) = items.get(1) else { continue };
            if let Some(s) = sent.get_mut(*answered as usize - 1) {
                s.answered = Some(record.now());
                record.say(format!("slow client {k}: has the answer to {}", s.call));
            }
        }
        if sent.iter().all(|s| s.answered.is_some()) && (id >= 6 || stop.load(Ordering::Relaxed)) {
            return sent;
        }
        sleep(READ_PAUSE);
    }
    let (ended, closed) = (record.now(), *closed_at.lock().unwrap());
    sent.iter_mut().for_each(|s| (s.ended, s.closed) = (Some(ended), closed));
    sent
}
