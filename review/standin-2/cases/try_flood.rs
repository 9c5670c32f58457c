use super::Broken;
use crate::bulletin::Bulletin;
use crate::cache::{Cache, Reply, Serve};
use crate::client::{call_id, Client};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::site::*;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

pub fn run(_trouble: bool, record: &Arc<Record>) -> Result<(), Broken> {
    let folder = Folder::new();
    let b: crate::cache::Behaviour = Arc::new(|_s: &Serve| Reply::Answer(Duration::from_millis(20), "served", "version=v1,stamp=1,detail=HIT,use=util:0.2;x1:0.2;x0:0.9".into(), b"x".to_vec()));
    let caches: Vec<Cache> = (1..4).map(|i| Cache::start(&format!("s-{i}"), record, b.clone())).collect();
    let bulletin = Bulletin::start(record);
    let list: Vec<Listed> = caches.iter().enumerate().map(|(i, c)| Listed::cache(&format!("s-{}", i + 1), c.addr)).collect();
    bulletin.publish(1, &roster(true, &list));
    let listen = crate::proxy::free_addr();
    let mut config = Config::new(listen, bulletin.addr, &list);
    config.sockets = 512;
    let _p = Proxy::start("p", &config.json(), &folder.tmp("t"), record);
    std::thread::sleep(Duration::from_millis(500));
    for round in 0..5 {
        let hs: Vec<_> = (0..8).map(|_| std::thread::spawn(move || {
            let v: Vec<_> = (0..150).filter_map(|_| TcpStream::connect_timeout(&listen, Duration::from_millis(300)).ok()).collect();
            std::thread::sleep(Duration::from_millis(800));
            v.len()
        })).collect();
        std::thread::sleep(Duration::from_millis(20));
        let mut ids = vec![];
        for _ in 0..10 {
            let Ok(c) = Client::connect(listen, record) else { record.say("connect failed"); continue };
            let call = call_id();
            let Ok((id, at)) = c.send("media", &fields(&call, 3000, &object(round), 1), b"") else { continue };
            ids.push((c, id, at, call));
            std::thread::sleep(Duration::from_millis(10));
        }
        for (c, id, at, call) in ids {
            let a = c.wait(id, Duration::from_secs(4));
            let s = caches.iter().flat_map(|c| c.served.lock().unwrap().clone()).find(|s| s.id == call);
            record.say(format!("RESULT round {round} wait {:?} reached {:?} budget {:?}", a.map(|x| (x.0 - at, x.1.short())), s.as_ref().map(|s| s.at - at), s.as_ref().map(|s| s.field("budget").to_owned())));
        }
        let n: usize = hs.into_iter().map(|h| h.join().unwrap()).sum();
        record.say(format!("RESULT idle connections {n}"));
    }
    Ok(())
}
