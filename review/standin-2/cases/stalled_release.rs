//! A new version is started beside the running one while the bulletin stalls for new calls.
use super::Broken;
use crate::bulletin::Bulletin;
use crate::cache::{Behaviour, Cache, Reply, Serve};
use crate::client::{call_id, Answer, Client};
use crate::proxy::{free_addr, Proxy};
use crate::record::{unix_ms, Record};
use crate::site::{fields, object, two_addrs, Config, Folder, Listed};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
/// How long the bulletin stalls.
const STALL: Duration = Duration::from_millis(5_500);
/// News counts as told so long after the new process's yes.
const TOLD_AFTER_YES: Duration = Duration::from_secs(2);
/// The slack of every time limit on sockets.
const SLACK: Duration = Duration::from_millis(50);
const PURGE_SLACK: Duration = Duration::from_millis(300);
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// By then every cache has dropped what was purged; the settings say 6 s.
const CLEARED_WITHIN: u64 = 5_900;
const OBJECTS: u64 = 150;
const GROUP: u32 = 17;

/// What the head office server holds, and what the caches hold of it.
#[derive(Default)]
struct World {
    /// When the group was purged, in Unix milliseconds; the objects have a new version from then on.
    purged_at: Option<u64>,
    /// Copies by cache and object: version and when the head office server gave it out.
    copies: BTreeMap<(String, String), (u32, u64)>,
    /// Answers that caches gave from copies older than the purge: when the request reached them.
    old_answers: Vec<(Duration, String)>,
}

fn cache(world: &Arc<Mutex<World>>) -> Behaviour {
    let world = world.clone();
    Arc::new(move |s: &Serve| {
        let (mut world, now) = (world.lock().unwrap(), unix_ms());
        let purged_at = world.purged_at;
        let version = 1 + u32::from(purged_at.is_some());
        let key = (s.server.clone(), s.field("path").to_owned());
        let held = world.copies.get(&key).copied().filter(|(v, _)| {
            // Caches drop older copies by themselves, each in its own time, within the time of the settings.
            *v == version || purged_at.is_none_or(|at| now < at + CLEARED_WITHIN)
        });
        let usable = held.filter(|(_, stamp)| s.newer_ms().is_none_or(|newer| stamp + newer >= now));
        let (copy, detail) = match usable {
            Some(copy) => (copy, "HIT"),
            None if s.field("fetch").is_empty() => {
                let fields = "detail=MISS,use=util:0.2;x1:0.2;x0:0.9".to_owned();
                return Reply(5 * MS, "not_here", fields, Vec::new());
            }
            None => ((version, now), "MISS_ORIGIN"),
        };
        world.copies.insert(key, copy);
        if copy.0 < version {
            world.old_answers.push((s.at, s.id.clone()));
        }
        let fields = format!("version=v{:08x},stamp={},detail={detail},use=util:0.2;x1:0.2;x0:0.9", copy.0, copy.1);
        Reply(20 * MS, "served", fields, format!("version {} of {}", copy.0, s.field("path")).into_bytes())
    })
}

pub fn run(trouble: bool, record: &Arc<Record>) -> Result<(), Broken> {
    let folder = Folder::new();
    let world = Arc::<Mutex<World>>::default();
    let caches: Vec<Cache> = ["s-1", "s-2", "s-3"].iter().map(|id| Cache::start(id, record, cache(&world))).collect();
    let parent = Cache::start("p-1", record, cache(&world));
    let origin = Cache::start("o-1", record, cache(&world));
    let bulletin = Bulletin::start(record);
    let mut list: Vec<Listed> =
        caches.iter().enumerate().map(|(i, c)| Listed::cache(&format!("s-{}", i + 1), c.addr)).collect();
    list.extend([Listed::parent("p-1", parent.addr), Listed::origin("o-1", origin.addr)]);
    bulletin.publish(1, &crate::site::roster(true, &list));
    let (listen, door_old) = two_addrs();
    let door_new = free_addr();
    let tmp = folder.tmp("tmp");
    let mut config = Config::new(listen, bulletin.addr, &list);
    config.door = Some(door_old);
    let old = Proxy::start("old", &config.json(), &tmp, record);
    super::wait_ready(door_old, Duration::from_secs(10), record)?;

    // Traffic of one client at a time, for the objects of one group.
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<(Duration, String, String, Answer)>>> = Arc::default();
    let traffic = {
        let (stop, record, answers) = (stop.clone(), record.clone(), answers.clone());
        std::thread::spawn(move || {
            let mut n = 0;
            while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                n += 1;
                let (record, answers) = (record.clone(), answers.clone());
                // Each request on a connection of its own, as of a client that comes and goes.
                std::thread::spawn(move || {
                    let (call, row) = (call_id(), object(1 + n % OBJECTS));
                    let Ok(client) = Client::connect(listen, &record) else { return };
                    let Ok((id, sent_at)) = client.send("media", &fields(&call, 3_000, &row, GROUP), b"") else {
                        return;
                    };
                    if let Some((_, answer)) = client.wait(id, Duration::from_secs(4)) {
                        record.say(format!("client: {call} for {row} -> {}", answer.short()));
                        answers.lock().unwrap().push((sent_at, call, row, answer));
                    }
                });
                sleep(25 * MS);
            }
        })
    };
    sleep(Duration::from_secs(5));

    // The release: the bulletin stalls for new calls just as the new process starts.
    if trouble {
        bulletin.stall_for(STALL);
    }
    config.door = Some(door_new);
    let new = Proxy::start("new", &config.json(), &tmp, record);
    let started = Instant::now();
    sleep(400 * MS);
    world.lock().unwrap().purged_at = Some(unix_ms());
    bulletin.publish(2, &format!(r#""recall":{{"lot":{GROUP},"issued":{}}}"#, unix_ms()));
    let drained = Listed { state: "leaving", ..list[0].clone() };
    bulletin.publish(3, &crate::site::roster(false, &[drained]));
    sleep(100 * MS);
    let told_old = bulletin.told_at(3);
    if trouble {
        bulletin.break_off();
    }
    let Some(told_old) = told_old else { return Err(Broken::Run("the old process has no watch".into())) };
    let yes_at = super::wait_ready(door_new, Duration::from_secs(6).saturating_sub(started.elapsed()), record)?;
    old.signal("TERM");
    let sigterm_at = Instant::now();
    let mut old = old;
    if !old.wait_end(Duration::from_millis(3_700)) {
        old.signal("KILL");
        old.wait_end(Duration::from_secs(1));
    }
    record.say(format!("the old process was gone {:?} after SIGTERM", sigterm_at.elapsed()));
    while started.elapsed() < STALL + Duration::from_secs(2) {
        sleep(20 * MS);
    }
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    traffic.join().ok();
    sleep(Duration::from_secs(1));
    drop((old, new));

    // The rules, with news counted as told 2 s after the yes (never before it was published).
    let told = yes_at + TOLD_AFTER_YES;
    record.say(format!("events 2 and 3: read by the old process at {told_old:?}, count as told at {told:?}"));
    let served = answers.lock().unwrap();
    let old_answers: Vec<(Duration, String)> =
        world.lock().unwrap().old_answers.iter().filter(|a| a.0 > told + PURGE_SLACK + SLACK).cloned().collect();
    let wrong: Vec<&String> = old_answers
        .iter()
        .map(|a| &a.1)
        .filter(|id| served.iter().any(|(_, call, _, a)| call == *id && matches!(a, Answer::Served { .. })))
        .collect();
    let drained: Vec<Duration> =
        caches[0].served.lock().unwrap().iter().map(|s| s.at).filter(|at| *at > told + DRAIN_GRACE + SLACK).collect();
    record.say(format!(
        "{} answers given; {} of them from copies older than the purge, to requests that reached a cache over 0.35 s after it \
         counted as told; {} requests reached the draining server over 1.05 s after its drain counted as told",
        served.len(),
        wrong.len(),
        drained.len()
    ));
    if !wrong.is_empty() {
        return Err(Broken::Rule(format!(
            "purge: {} clients got a copy older than the purge; drain: {} requests to the draining server",
            wrong.len(),
            drained.len()
        )));
    }
    if !drained.is_empty() {
        return Err(Broken::Rule(format!("drain: {} requests to the draining server", drained.len())));
    }
    Ok(())
}
