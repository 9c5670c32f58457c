//! Steps of the machine's wall clock under the real program, with its monotonic clock running on: requests are served as
//! without a step, in time, and the program ends as it is told.
mod common;
use async_executor::LocalExecutor;
use common::*;
use std::net::SocketAddr;
use std::rc::Rc;
use tempfile::{tempdir, TempDir};
use threadward::net::{now, sleep_until, Signal as Wake};
use threadward_core::Micros;
use threadward_faults::{Process, Shim, Start};

const SECOND: i64 = 1_000_000;
const HOUR: i64 = 3_600 * SECOND;

/// The program with caches and a bulletin, its wall clock under the test's control.
struct Site {
    /// The first of them, which all requests go to where there is one.
    cache: Cache,
    others: Vec<Cache>,
    news: DiscoveryEvents,
    told: Rc<Wake>,
    front: SocketAddr,
    shim: Shim,
    process: Process,
    _folder: TempDir,
}

async fn site(ex: &'static LocalExecutor<'static>) -> Site {
    site_with(ex, 1).await
}

async fn site_with(ex: &'static LocalExecutor<'static>, caches: usize) -> Site {
    site_started(ex, caches, 0, 0).await
}

/// The program starts with its wall clock a step away, and with the first server's start in its configuration.
async fn site_started(
    ex: &'static LocalExecutor<'static>,
    caches: usize,
    step: i64,
    first_started_ms: u64,
) -> Site {
    let mut all: Vec<Cache> = (0..caches).map(|_| start_cache(ex)).collect();
    all.iter().for_each(|c| *c.behavior.borrow_mut() = served());
    let started = |n: usize| if n == 0 { first_started_ms } else { 0 };
    let entry =
        |(n, c): (usize, &Cache)| server_entry(&format!("s-{n}"), c.addr, "std", "active", started(n));
    let list: Vec<String> = all.iter().enumerate().map(entry).collect();
    let cache = all.remove(0);
    let (news, told, bulletin) = start_discovery(ex);
    let front = free_addresses(1)[0];
    let folder = tempdir().unwrap();
    let file = folder.path().join("config.json");
    std::fs::write(&file, configuration(front, bulletin, &list)).unwrap();
    let shim = Shim::new(1).unwrap();
    shim.step_wall_clock(step).unwrap();
    let start = Start::new(env!("CARGO_BIN_EXE_threadward")).env("LB_CONFIG", &file);
    let process = shim.preload(start.without_env("LB_ADMIN_ADDR")).unwrap().spawn().unwrap();
    wait_until("the front", || std::net::TcpStream::connect(front).is_ok()).await;
    Site { cache, others: all, news, told, front, shim, process, _folder: folder }
}

impl Site {
    /// Requests one after the other, each on a connection of its own; gives the longest wait for an answer.
    async fn serves(&self, from: u32, count: u32) -> Micros {
        let mut longest = 0;
        for number in from..from + count {
            let at = now();
            let mut client = Client::connect(self.front).await;
            let text = format!("{number:016x}");
            client.send(&request(1, "media", &[("call", &text), ("row", &text)])).await;
            assert_eq!(with_timeout("an answer", client.answer()).await, Some((1, None, b"whole".to_vec())));
            longest = longest.max(now() - at);
        }
        longest
    }

    async fn ends(&self) {
        let at = now();
        self.process.term().unwrap();
        wait_until("the end", || self.process.ended().is_some()).await;
        assert!(now() - at < 3_700_000, "ended {} us after SIGTERM", now() - at);
        assert_eq!(self.process.ended().unwrap().code(), Some(0));
    }
}

#[test]
fn a_step_of_the_wall_clock_changes_no_service() {
    for step in [-5 * SECOND, 5 * SECOND, -HOUR, HOUR] {
        run(|ex| serves_through(ex, step));
    }
}

async fn serves_through(ex: &'static LocalExecutor<'static>, step: i64) {
    let site = site(ex).await;
    site.serves(1, 20).await;
    site.shim.step_wall_clock(step).unwrap();
    assert!(site.serves(100, 20).await < 1_000_000);
    // A request is under way, one that the cache never answers, and its client hears of it within its time.
    *site.cache.behavior.borrow_mut() = CacheBehavior::Silent;
    let mut client = Client::connect(site.front).await;
    let at = now();
    client.send(&request(1, "quick", &[("ttl", "150")])).await;
    sleep_until(now() + 20_000).await;
    site.shim.step_wall_clock(0).unwrap();
    assert!(with_timeout("an answer", client.answer()).await.is_some_and(|(_, word, _)| word.is_some()));
    assert!(now() - at < 500_000, "answered after {} us", now() - at);
    *site.cache.behavior.borrow_mut() = served();
    site.serves(200, 20).await;
    // The watch is neither taken for silent nor kept when it is.
    assert!(!site.process.text().contains("connection lost"), "{}", site.process.text());
    site.shim.step_wall_clock(step).unwrap();
    site.ends().await;
}

/// The oldest copy that will do is never older than the purge, whatever the wall clock says.
#[test]
fn a_purge_lets_no_older_copy_pass() {
    for step in [HOUR, -HOUR] {
        run(|ex| purge(ex, step));
    }
}

async fn purge(ex: &'static LocalExecutor<'static>, step: i64) {
    let site = site(ex).await;
    site.serves(1, 1).await;
    site.shim.step_wall_clock(step).unwrap();
    let (issued, at) = (unix_ms(), now());
    site.news.borrow_mut().push(format!(r#"{{"no":1,"recall":{{"lot":17,"issued":{issued}}}}}"#));
    site.told.notify();
    sleep_until(at + 300_000).await;
    site.serves(50, 1).await;
    let most = (now() - at) / 1000 + 1;
    let seen = site.cache.commands.borrow();
    let newer =
        threadward::wire::find_field(&seen.last().unwrap()[2], "newer").map(|t| t.parse::<u64>().unwrap());

    assert!(newer.is_some_and(|n| (1..=most).contains(&n)), "{newer:?}, {most} at most");
}

/// A watch that falls silent is called anew, and what was told meanwhile is heard, whatever the wall clock does.
#[test]
fn a_silent_watch_is_called_anew_through_a_step() {
    for step in [-5 * SECOND, 5 * SECOND, -HOUR, HOUR] {
        run(|ex| silent_watch(ex, step));
    }
}

async fn silent_watch(ex: &'static LocalExecutor<'static>, step: i64) {
    let site = site(ex).await;
    site.serves(1, 1).await;
    site.news.borrow_mut().push("hush".into());
    site.told.notify();
    sleep_until(now() + 300_000).await;
    site.shim.step_wall_clock(step).unwrap();
    site.news.borrow_mut().push(format!(r#"{{"no":2,"recall":{{"lot":17,"issued":{}}}}}"#, unix_ms()));
    let (at, mut number) = (now(), 10);
    let asked = || site.cache.commands.borrow().last().is_some_and(|parts| parts[2].contains("newer="));
    while !asked() {
        assert!(now() < at + 4_000_000, "the purge was not heard: {}", site.process.text());
        site.serves(number, 1).await;
        number += 1;
        sleep_until(now() + 50_000).await;
    }
}

/// A server that has just started gets less than the warm one beside it, also after a step of the wall clock, and the step
/// neither ends its slow start nor begins it anew for one that is warm.
#[test]
fn slow_start_is_neither_skipped_nor_begun_anew_by_a_step() {
    for step in [-5 * SECOND, 5 * SECOND, -HOUR, HOUR] {
        run(|ex| slow_start(ex, step));
    }
}

async fn slow_start(ex: &'static LocalExecutor<'static>, step: i64) {
    let site = site_with(ex, 2).await;
    let shares = || [site.cache.commands.borrow().len(), site.others[0].commands.borrow().len()];
    site.shim.step_wall_clock(step).unwrap();
    site.serves(1, 60).await;
    let warm = shares();
    assert!(warm.iter().all(|n| *n > 10), "a step made a warm server cold: {warm:?}");
    let cold = server_entry("s-0", site.cache.addr, "std", "active", unix_ms());
    let list = format!(r#"{{"no":1,"roster":{{"version":2,"full":false,"servers":[{cold}]}}}}"#);
    site.news.borrow_mut().push(list);
    site.told.notify();
    sleep_until(now() + 100_000).await;
    site.shim.step_wall_clock(0).unwrap();
    let before = shares();
    site.serves(1_000, 100).await;
    let [cold, warm] = [0, 1].map(|n| shares()[n] - before[n]);
    assert!(cold * 3 < warm, "{cold} to the cold one, {warm} to the warm one, after a step of {step} us");
}

/// A process that starts with its wall clock ahead keeps to the slow start of a server that has just started.
#[test]
fn a_process_that_starts_with_its_wall_clock_ahead_keeps_to_slow_start() {
    run(|ex| async move {
        let site = site_started(ex, 2, HOUR, unix_ms() - 500).await;
        site.serves(1, 100).await;
        let (cold, warm) = (site.cache.commands.borrow().len(), site.others[0].commands.borrow().len());
        assert!(cold * 3 < warm, "{cold} to the cold one, {warm} to the warm one");
    });
}
