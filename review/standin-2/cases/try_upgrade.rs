use super::Broken;
use crate::bulletin::Bulletin;
use crate::cache::{Cache, Reply, Serve};
use crate::client::{call_id, Client};
use crate::proxy::{door, free_addr, Proxy};
use crate::record::Record;
use crate::site::*;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub fn run(trouble: bool, record: &Arc<Record>) -> Result<(), Broken> {
    let ms = Duration::from_millis;
    let folder = Folder::new();
    let n = Arc::new(AtomicU64::new(0));
    let m = n.clone();
    let silent: u64 = std::env::var("SILENT").ok().and_then(|s| s.parse().ok()).unwrap_or(10);
    let b: crate::cache::Behaviour = Arc::new(move |s: &Serve| {
        let k = m.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        if k % 100 < silent { return Reply::Silent; }
        let size = if k % 7 == 0 { 200_000 } else { 2000 };
        Reply::Answer(ms(5 + k % 700), "served", "version=v1,stamp=1,detail=HIT,use=util:0.2;x1:0.2;x0:0.9".into(), vec![s.id.as_bytes()[0]; size])
    });
    let caches: Vec<Cache> = (1..5).map(|i| Cache::start(&format!("s-{i}"), record, b.clone())).collect();
    let bulletin = Bulletin::start(record);
    let list: Vec<Listed> = caches.iter().enumerate().map(|(i, c)| Listed::cache(&format!("s-{}", i + 1), c.addr)).collect();
    bulletin.publish(1, &roster(true, &list));
    let (listen, d) = two_addrs();
    let mut config = Config::new(listen, bulletin.addr, &list);
    config.door = Some(d);
    let tmp = folder.tmp("t");
    let mut p = Proxy::start("p0", &config.json(), &tmp, record);
    std::thread::sleep(ms(500));
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let bad: Arc<Mutex<u64>> = Arc::default();
    let total = Arc::new(AtomicU64::new(0));
    let late = Arc::new(AtomicU64::new(0));
    let pipeline: usize = std::env::var("PIPE").ok().and_then(|s| s.parse().ok()).unwrap_or(8);
    let ts: Vec<_> = (0..20u64).map(|t| {
        let (record, stop, bad, total, late) = (record.clone(), stop.clone(), bad.clone(), total.clone(), late.clone());
        std::thread::spawn(move || {
            let mut k = t * 1000;
            while !stop.load(Ordering::Relaxed) {
                let Ok(c) = Client::connect(listen, &record) else { std::thread::sleep(ms(20)); continue };
                let mut open: Vec<(u32, Duration, u64, String)> = vec![];
                loop {
                    while open.len() < pipeline && c.ended().is_none() && !stop.load(Ordering::Relaxed) {
                        k += 1;
                        let call = call_id();
                        let ttl = if k % 5 == 0 { 6000 } else { 2000 };
                        match c.send("media", &fields(&call, ttl, &object(k % 300), 1), b"") {
                            Ok((id, at)) => { open.push((id, at, ttl, call)); total.fetch_add(1, Ordering::Relaxed); }
                            Err(_) => break,
                        }
                    }
                    let now = record.now();
                    open.retain(|(id, at, ttl, call)| {
                        if let Some(n) = Some(c.answer_count(*id)).filter(|n| *n > 0) {
                            if n > 1 { record.say(format!("RESULT second answer {call}")); }
                            let a = c.wait(*id, ms(0)).unwrap();
                            if a.0 > *at + ms(ttl + 558) { late.fetch_add(1, Ordering::Relaxed); record.say(format!("RESULT late {call} {:?}", a.0 - *at)); }
                            return false;
                        }
                        if let Some(e) = c.ended() {
                            if e > *at + ms(50) { record.say(format!("RESULT lost {call} sent {at:?} ended {e:?} (ttl {ttl})")); *bad.lock().unwrap() += 1; }
                            return false;
                        }
                        if now > *at + ms(ttl + 700) { record.say(format!("RESULT never {call} sent {at:?}")); *bad.lock().unwrap() += 1; return false; }
                        true
                    });
                    if c.ended().is_some() && open.is_empty() || stop.load(Ordering::Relaxed) && open.is_empty() { break; }
                    std::thread::sleep(ms(1));
                }
            }
        })
    }).collect();
    for round in 1..6 {
        std::thread::sleep(ms(2500));
        let dn = free_addr();
        config.door = Some(dn);
        if trouble {
            let new = Proxy::start(&format!("p{round}"), &config.json(), &tmp, record);
            let t = record.now();
            while !door(dn, "READY").is_some_and(|l| l.starts_with("done")) && record.now() < t + ms(6000) { std::thread::sleep(ms(10)); }
            record.say(format!("RESULT round {round} ready after {:?}", record.now() - t));
            p.signal("TERM");
            if !p.wait_end(ms(3700)) { record.say("RESULT SIGKILL"); p.signal("KILL"); p.wait_end(ms(500)); }
            p = new;
        }
    }
    stop.store(true, Ordering::Relaxed);
    for t in ts { t.join().unwrap(); }
    record.say(format!("RESULT {} requests, {} lost, {} late", total.load(Ordering::Relaxed), bad.lock().unwrap(), late.load(Ordering::Relaxed)));
    Ok(())
}
