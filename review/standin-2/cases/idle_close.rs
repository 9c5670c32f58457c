//! A client that reads slowly, on a connection that the proxy takes for idle.
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
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const OBJECT_BYTES: usize = 240_000;
/// Answers that a client is sent at a time, and still reads when it asks again.
const ANSWERS: u32 = 2;
/// A slow client reads so much at a time, once in `READ_PAUSE`: 0.06 MB a second.
const READ_BYTES: usize = 3_000;
const READ_PAUSE: Duration = Duration::from_millis(50);
/// When a slow client sends its next request, after those whose answers it reads. It is never idle.
const NEXT_AFTER: Duration = Duration::from_millis(7_300);
const CROSSING: Duration = Duration::from_millis(50);
const CLIENTS: u64 = 8;

struct Sent {
    call: String,
    at: Duration,
    answered: Option<Duration>,
}

struct Outcome {
    sent: Vec<Sent>,
    closed: Option<Duration>,
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
    let listen = free_addr();
    let config = Config::new(listen, bulletin.addr, &list);
    let mut proxy = Proxy::start("proxy", &config.json(), &folder.tmp("tmp"), record);
    sleep(500 * MS);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let record = record.clone();
            std::thread::spawn(move || client(listen, n, trouble, &record))
        })
        .collect();
    let outcomes: Vec<Outcome> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    if let Some(how) = proxy.ended() {
        return Err(Broken::Rule(format!("the process ended {how}")));
    }
    let (mut lost, mut all) = (0, 0);
    for o in &outcomes {
        all += o.sent.len();
        for s in o.sent.iter().filter(|s| s.answered.is_none()) {
            let crosses = o.closed.is_some_and(|closed| s.at.abs_diff(closed) <= CROSSING);
            lost += u32::from(!crosses);
            record.say(format!(
                "without an answer: {} sent at {:?}; the proxy's close arrived at {:?}, the client read up to it at {:?}",
                s.call, s.at, o.closed, o.ended
            ));
        }
    }
    record.say(format!("{all} requests, {lost} without an answer and sent over 50 ms from the close"));
    if lost == 0 {
        return Ok(());
    }
    Err(Broken::Rule(format!("lost: {lost} of {all} requests got no answer")))
}

/// Reads quickly at first, as its system then makes room, and slowly later.
fn client(at: SocketAddr, n: u64, slow: bool, record: &Arc<Record>) -> Outcome {
    let mut o = Outcome { sent: Vec::new(), closed: None, ended: None };
    let Ok(mut stream) = TcpStream::connect_timeout(&at, 500 * MS) else { return o };
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(Duration::from_secs(7))).ok();
    let closed_at = super::watch_close(&stream, record);
    let (mut buf, mut part) = (Vec::new(), vec![0; 64 * 1024]);
    let send = |o: &mut Outcome, stream: &mut TcpStream| {
        let (call, id) = (call_id(), o.sent.len() as u32 + 1);
        let message = wire::request(id, "media", &fields(&call, 6_000, &object(n * 100 + u64::from(id)), 1), b"");
        let written = stream.write_all(&message).is_ok();
        record.say(format!("client {n}: sends {call}"));
        o.sent.push(Sent { call, at: record.now(), answered: None });
        written
    };
    let take = |o: &mut Outcome, buf: &mut Vec<u8>| {
        while let Some((message, length)) = wire::value(buf) {
            buf.drain(..length);
            let Value::List(items) = message else { continue };
            let Some(Value::Int(id)) = items.get(1) else { continue };
            if let Some(s) = o.sent.get_mut(*id as usize - 1) {
                s.answered = Some(record.now());
                record.say(format!("client {n}: has the answer to {}", s.call));
            }
        }
    };
    for _ in 0..6 {
        for _ in 0..8 {
            send(&mut o, &mut stream);
        }
        while o.sent.iter().any(|s| s.answered.is_none()) {
            match stream.read(&mut part) {
                Ok(got @ 1..) => buf.extend_from_slice(&part[..got]),
                _ => return o,
            }
            take(&mut o, &mut buf);
        }
    }
    for _ in 0..ANSWERS {
        send(&mut o, &mut stream);
    }
    let next_at = record.now() + if slow { NEXT_AFTER } else { 500 * MS };
    let mut asked = false;
    loop {
        if !asked && record.now() >= next_at {
            asked = true;
            if !send(&mut o, &mut stream) {
                break;
            }
        }
        if asked && o.sent.iter().all(|s| s.answered.is_some()) {
            return o;
        }
        if !slow && !asked && o.sent.iter().all(|s| s.answered.is_some()) {
            sleep(10 * MS);
            continue;
        }
        let most = if slow { READ_BYTES } else { part.len() };
        match stream.read(&mut part[..most]) {
            Ok(got @ 1..) => buf.extend_from_slice(&part[..got]),
            _ => break,
        }
        take(&mut o, &mut buf);
        if slow {
            sleep(READ_PAUSE);
        }
    }
    o.ended = Some(record.now());
    o.closed = *closed_at.lock().unwrap();
    o
}
