//! Seven in ten of thirty proxies are killed at once and start again while the bulletin stalls; then it is crowded.
use super::Broken;
use crate::bulletin::Bulletin;
use crate::cache::{Behaviour, Cache, Reply, Serve};
use crate::client::{call_id, Client};
use crate::proxy::{lasting_addr, Proxy};
use crate::record::{unix_ms, Record};
use crate::site::{fields, object, roster, Config, Folder, Listed};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const PROXIES: u32 = 30;
/// Seven in ten.
const KILLED: usize = 21;
/// When they are killed. Until then all thirty have their watch, and the bulletin has worked off its queue.
const KILL_AT: Duration = Duration::from_secs(15);
/// What the bulletin spends on a call.
const PER_CALL: Duration = Duration::from_millis(200);
/// How long it answers nothing, from the kill.
const STALL: Duration = Duration::from_millis(7_500);
/// A cache server drains so long after the kill; a caller that waits its turn has its watch by then.
const DRAIN_AFTER: Duration = Duration::from_secs(30);
/// Clients send from here on.
const CLIENTS_FROM: Duration = Duration::from_secs(42);
const END: Duration = Duration::from_secs(63);
/// The latest moment at which news of the bulletin counts as told.
const TOLD_AFTER: Duration = Duration::from_secs(7);
/// `rules.drain_grace`, and what sockets are given.
const DRAIN_GRACE: Duration = Duration::from_millis(1_050);

pub fn run(trouble: bool, record: &Arc<Record>) -> Result<(), Broken> {
    let folder = Folder::new();
    let behaviour: Behaviour = Arc::new(|_: &Serve| {
        let fields = format!("version=v1,stamp={},detail=HIT,use=util:0.2;x1:0.2;x0:0.9", unix_ms());
        Reply(10 * MS, "served", fields, vec![7; 1_000])
    });
    let caches: Vec<Cache> =
        (1..4).map(|i| Cache::start(&format!("s-{i}"), record, behaviour.clone())).collect();
    let bulletin = Bulletin::start_crowded(record, PER_CALL);
    let list: Vec<Listed> =
        caches.iter().enumerate().map(|(i, c)| Listed::cache(&format!("s-{}", i + 1), c.addr)).collect();
    bulletin.publish(1, &roster(true, &list));
    let mut configs = Vec::new();
    for n in 0..PROXIES {
        let mut config = Config::new(lasting_addr(), bulletin.addr, &list);
        config.name = format!("n{n}");
        config.settings.proxies = PROXIES;
        configs.push((format!("proxy-{n}"), folder.tmp(&format!("{n}")), config));
    }
    let launch =
        |(label, tmp, config): &(String, PathBuf, Config)| Proxy::start(label, &config.json(), tmp, record);
    let mut proxies: Vec<Proxy> = configs.iter().map(launch).collect();
    sleep(KILL_AT.saturating_sub(record.now()));
    if trouble {
        bulletin.stall_for(STALL);
    }
    let killed_at = record.now();
    for proxy in &mut proxies[..KILLED] {
        proxy.signal("KILL");
    }
    for (proxy, config) in proxies.iter_mut().zip(&configs[..KILLED]) {
        if !proxy.wait_end(Duration::from_secs(1)) {
            return Err(Broken::Run("a killed process did not end".into()));
        }
        *proxy = launch(config);
    }
    let patient = {
        let (at, record) = (bulletin.addr, record.clone());
        std::thread::spawn(move || patient_caller(at, END, &record))
    };
    sleep(CLIENTS_FROM.saturating_sub(record.now()));
    let clients: Vec<_> = configs
        .iter()
        .zip(0..)
        .map(|((_, _, config), n)| {
            let (at, record) = (config.listen, record.clone());
            std::thread::spawn(move || client(at, n, END, &record))
        })
        .collect();
    sleep((killed_at + DRAIN_AFTER).saturating_sub(record.now()));
    let drained_at = record.now();
    bulletin.publish(2, &roster(false, &[Listed { state: "leaving", ..list[0].clone() }]));
    let answered: u32 = clients.into_iter().filter_map(|c| c.join().ok()).sum();
    if !patient.join().unwrap_or(false) {
        return Err(Broken::Run("a caller that waits its turn was not told of the drain either".into()));
    }
    for proxy in &mut proxies {
        if let Some(how) = proxy.ended() {
            return Err(Broken::Run(format!("{} ended {how}", proxy.label)));
        }
    }
    if answered == 0 {
        return Err(Broken::Run("no request was answered".into()));
    }
    let latest = drained_at + TOLD_AFTER + DRAIN_GRACE;
    let late = caches[0].served.lock().unwrap().iter().filter(|s| s.at > latest).count();
    record.say(format!(
        "{answered} requests answered; the drain of s-1 was published at {drained_at:?} and counts as told 7 s later; requests to \
         it after {latest:?}: {late}"
    ));
    if late == 0 {
        return Ok(());
    }
    Err(Broken::Rule(format!(
        "drain: {late} requests to the draining server over 8.05 s after the drain was published"
    )))
}

/// Makes one call at the bulletin, behind those of the killed proxies, and waits for its turn. Returns whether it was
/// told of the drain: what the case asks of the proxies can be done.
fn patient_caller(at: SocketAddr, until: Duration, record: &Arc<Record>) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&at, 500 * MS) else { return false };
    stream.set_read_timeout(Some(100 * MS)).ok();
    let (mut text, mut part, mut answered) = (String::new(), [0; 4_096], false);
    record.say("patient caller: calls");
    if stream.write_all(b"GET /bulletins HTTP/1.1\r\nHost: bulletin\r\nLast-Event-ID: 1\r\n\r\n").is_err() {
        return false;
    }
    while record.now() < until && !text.contains("leaving") {
        if let Ok(n) = stream.read(&mut part) {
            if n == 0 {
                return false;
            }
            text.push_str(&String::from_utf8_lossy(&part[..n]));
            if !std::mem::replace(&mut answered, true) {
                record.say("patient caller: its call is answered");
            }
        }
    }
    record.say(format!("patient caller: told of the drain: {}", text.contains("leaving")));
    text.contains("leaving")
}

/// Asks for an object twice a second, and waits for each answer. Returns how many came.
fn client(at: SocketAddr, n: u64, until: Duration, record: &Arc<Record>) -> u32 {
    let Ok(client) = Client::connect(at, record) else { return 0 };
    let mut answered = 0;
    for i in 0.. {
        if record.now() >= until {
            break;
        }
        let call = call_id();
        let Ok((id, _)) = client.send("media", &fields(&call, 2_000, &object(n * 1_000 + i), 1), b"") else {
            break;
        };
        record.say(format!("client of proxy-{n}: sends {call}"));
        if let Some((_, answer)) = client.wait(id, 2_500 * MS) {
            answered += 1;
            record.say(format!("client of proxy-{n}: {call}: {}", answer.short()));
        }
        sleep(500 * MS);
    }
    answered
}
