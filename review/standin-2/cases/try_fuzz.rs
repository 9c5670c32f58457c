use super::Broken;
use crate::bulletin::Bulletin;
use crate::cache::{Cache, Reply, Serve};
use crate::client::{call_id, Answer, Client};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::site::*;
use crate::wire::encode_resp;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

struct Rng(u64);
impl Rng {
    fn next(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % n
    }
}
#[derive(Clone, Debug)]
struct Att { at: Duration, server: String, conn: u64, never: Option<Duration>, done: Option<Duration>, what: &'static str }

pub fn run(trouble: bool, record: &Arc<Record>) -> Result<(), Broken> {
    let _ = trouble;
    let mut hs = vec![];
    for v in 0..8u64 {
        let record = record.clone();
        hs.push(std::thread::spawn(move || variant(v, &record)));
    }
    for h in hs { h.join().unwrap(); }
    Ok(())
}

fn variant(v: u64, record: &Arc<Record>) {
    let ms = Duration::from_millis;
    let folder = Folder(std::env::temp_dir().join(format!("tw-fuzz-{}-{v}", std::process::id())));
    std::fs::create_dir_all(&folder.0).unwrap();
    let log: Arc<Mutex<BTreeMap<String, Vec<Att>>>> = Arc::default();
    let rng = Arc::new(Mutex::new(Rng(v * 7919 + 12345 + std::process::id() as u64)));
    let (l, g, r) = (log.clone(), rng.clone(), record.clone());
    let b: crate::cache::Behaviour = Arc::new(move |s: &Serve| {
        let mut g = g.lock().unwrap();
        let k = g.next(100);
        let body = format!("{}/{}", s.field("path"), s.field("blk")).into_bytes();
        let f = "version=v1,stamp=1,detail=HIT,use=util:0.2;x1:0.2;x0:0.9".to_owned();
        let ok = |d: Duration| Reply::Answer(d, "served", f.clone(), body.clone());
        let okb = encode_resp(&[s.id.as_bytes(), b"served", f.as_bytes(), &body]);
        let (what, never, done, reply) = match k {
            0..=44 => { let d = ms(2 + g.next(50)); ("ok", false, Some(d), ok(d)) }
            45..=54 => ("overload", true, Some(ms(0)), Reply::Answer(ms(0), "overload", "detail=UP_BUSY".into(), vec![])),
            55..=57 => ("overload2", true, Some(ms(0)), Reply::Answer(ms(0), "overload", "-".into(), vec![])),
            58..=62 => ("miss", true, Some(ms(3)), Reply::Answer(ms(3), "not_here", "detail=UP_MISS".into(), vec![])),
            63..=67 => ("crashed", false, Some(ms(3)), Reply::Answer(ms(3), "crashed", "-".into(), vec![])),
            68..=69 => ("nobody", true, Some(ms(3)), Reply::Answer(ms(3), "nobody", "-".into(), vec![])),
            70..=76 => ("silent", false, None, Reply::Silent),
            77..=82 => { let d = ms(400 + g.next(2500)); ("late", false, Some(d), ok(d)) }
            83..=86 => ("double", false, Some(ms(5)), Reply::Script(vec![(ms(5), Some(okb.clone())), (ms(g.next(20)), Some(okb))])),
            87..=89 => { let o = encode_resp(&[s.id.as_bytes(), b"overload", b"-", b""]); ("double-overload", true, Some(ms(2)), Reply::Script(vec![(ms(2), Some(o.clone())), (ms(g.next(20)), Some(o))])) }
            90..=93 => ("close", false, Some(ms(1)), Reply::Script(vec![(ms(1), None)])),
            94..=96 => ("partial", false, Some(ms(5)), Reply::Script(vec![(ms(5), Some(okb[..okb.len() / 2].to_vec())), (ms(g.next(300)), None)])),
            _ => ("stuck", false, None, Reply::Script(vec![(ms(5), Some(okb[..okb.len() / 2].to_vec()))])),
        };
        l.lock().unwrap().entry(s.id.clone()).or_default().push(Att {
            at: s.at, server: s.server.clone(), conn: s.connection, what,
            never: if never { done.map(|d| r.now() + d) } else { None }, done: done.map(|d| r.now() + d),
        });
        reply
    });
    let caches: Vec<Cache> = (1..4).map(|i| Cache::start(&format!("s-{i}"), record, b.clone())).collect();
    let parents: Vec<Cache> = (1..3).map(|i| Cache::start(&format!("p-{i}"), record, b.clone())).collect();
    let origin = Cache::start("o-1", record, b.clone());
    let bulletin = Bulletin::start(record);
    let mut list: Vec<Listed> = caches.iter().enumerate().map(|(i, c)| Listed::cache(&format!("s-{}", i + 1), c.addr)).collect();
    list.extend(parents.iter().enumerate().map(|(i, c)| Listed::parent(&format!("p-{}", i + 1), c.addr)));
    list.push(Listed::origin("o-1", origin.addr));
    bulletin.publish(1, &roster(true, &list));
    let listen = crate::proxy::free_addr();
    let mut config = Config::new(listen, bulletin.addr, &list);
    let s = &mut config.settings;
    (s.cancel, s.parallel, s.direct) = (v & 1 == 0, v & 2 == 0, v & 4 == 0);
    (s.media, s.pages, s.booking) = ("fragile", "dedup", if v & 4 == 0 { "fragile" } else { "dedup" });
    s.streams = if v == 7 { 1 } else { 32 };
    let (parallel, cancel) = (s.parallel, s.cancel);
    let booking = s.booking;
    let p = Proxy::start(&format!("v{v}"), &config.json(), &folder.tmp("t"), record);
    std::thread::sleep(ms(300));
    let outcome: Arc<Mutex<Vec<(String, &'static str, Duration, u64, Option<(Duration, Answer)>, usize, String)>>> = Arc::default();
    let ts: Vec<_> = (0..10u64).map(|t| {
        let (record, outcome) = (record.clone(), outcome.clone());
        std::thread::spawn(move || {
            let mut g = Rng(t * 31 + v * 1009 + 77);
            let mut c = Client::connect(listen, &record).unwrap();
            let end = record.now() + Duration::from_secs(60);
            let mut open: Vec<(u32, Duration, String, &'static str, u64, String)> = vec![];
            while record.now() < end {
                if c.ended().is_some() && open.is_empty() { c = Client::connect(listen, &record).unwrap(); }
                let class = ["media", "pages", "booking"][g.next(3) as usize];
                let ttl = [2500, 1500, 800, 300][g.next(4) as usize];
                let (call, row) = (call_id(), object(g.next(50)));
                let mut f = fields(&call, ttl, &row, 3);
                f.push(("dedupe".into(), call.clone()));
                if let Ok((id, at)) = c.send(class, &f, b"abc") {
                    open.push((id, at, call, class, ttl, row));
                }
                while open.len() > 4 {
                    let (id, at, call, class, ttl, row) = open.remove(0);
                    let left = (at + ms(ttl + 600)).saturating_sub(record.now());
                    let a = c.wait(id, left);
                    outcome.lock().unwrap().push((call, class, at, ttl, a, c.answer_count(id), row));
                }
            }
            std::thread::sleep(ms(3200));
            for (id, at, call, class, ttl, row) in open { let a = c.wait(id, ms(1)); outcome.lock().unwrap().push((call, class, at, ttl, a, c.answer_count(id), row)); }
        })
    }).collect();
    for t in ts { t.join().unwrap(); }
    let cancels: BTreeMap<String, Duration> = caches.iter().chain(&parents).chain([&origin]).flat_map(|c| c.cancelled.lock().unwrap().iter().map(|(a, b)| (b.clone(), *a)).collect::<Vec<_>>()).collect();
    let mut n = BTreeMap::<String, u64>::new();
    let log = log.lock().unwrap();
    for (call, class, at, ttl, a, count, row) in outcome.lock().unwrap().iter() {
        *n.entry(a.as_ref().map_or("none".into(), |x| x.1.short().split(' ').next().unwrap().to_owned())).or_default() += 1;
        let atts = log.get(call).cloned().unwrap_or_default();
        let bad = |why: &str| record.say(format!("RESULT v{v} cancel {cancel} parallel {parallel} {call} {class} sent {at:?} ttl {ttl}: {why}: {a:?} {atts:?}"));
        if a.is_none() { bad("no answer"); }
        if *count > 1 { bad("second answer"); }
        if let Some((_, Answer::Served { body, .. })) = a { if *body != format!("{row}/0").into_bytes() { bad("wrong body"); } }
        let effect = if *class == "media" { "fragile" } else if *class == "pages" { "dedup" } else { booking };
        if effect == "fragile" {
            for (i, x) in atts.iter().enumerate() {
                if atts[..i].iter().any(|e| e.never.is_none_or(|t| t > x.at + ms(3))) { bad("REPEATED"); }
            }
            if matches!(a, Some((_, Answer::Refused))) && atts.iter().any(|e| e.never.is_none()) { bad("REFUSED THOUGH IT MAY HAVE RUN"); }
        }
        if !parallel {
            for (i, x) in atts.iter().enumerate() {
                if atts[..i].iter().any(|e| e.done.is_none_or(|t| t > x.at + ms(3)) && cancels.get(call).is_none_or(|c| *c > x.at + ms(10)) && crate::cache::ENDED.lock().unwrap().get(&e.conn).is_none_or(|c| *c > x.at + ms(10))) { bad("TWO OUT"); }
            }
        }
        if let Some(f) = atts.first() { for x in &atts { if x.at > f.at + Duration::from_millis(if *class == "pages" {5050} else {3050}) { bad("WINDOW"); } } }
    }
    record.say(format!("RESULT v{v} {n:?} peak {} KB", p.peak_kb()));
}
