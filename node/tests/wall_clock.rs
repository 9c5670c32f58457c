//! Steps of the machine's wall clock under the real program, while its monotonic clock runs on: requests are
//! served in time as without a step, and the program ends on SIGTERM.
mod common;
use async_executor::LocalExecutor;
use common::*;
use std::net::SocketAddr;
use std::rc::Rc;
use tempfile::{tempdir, TempDir};
use threadward::net::{now, sleep_until, Signal as Wake};
use threadward_core::Micros;
use threadward_faults::{Process, ProcessBuilder, Shim};

const SECOND_US: i64 = 1_000_000;
const HOUR_US: i64 = 3_600 * SECOND_US;

/// The program with caches and a discovery server, its wall clock controlled by the test.
struct Site {
    /// The first cache, which gets all requests where it is the only one.
    cache: Cache,
    others: Vec<Cache>,
    discovery_events: DiscoveryEvents,
    events_changed: Rc<Wake>,
    front: SocketAddr,
    shim: Shim,
    process: Process,
    _folder: TempDir,
}

async fn site(ex: &'static LocalExecutor<'static>) -> Site {
    start_site_with_caches(ex, 1).await
}

async fn start_site_with_caches(ex: &'static LocalExecutor<'static>, caches: usize) -> Site {
    start_site(ex, caches, 0, 0).await
}

/// Starts the program with its wall clock off by `step`, and with the time at which the first server started
/// in its configuration.
async fn start_site(
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
    let (discovery_events, events_changed, discovery) = start_discovery(ex);
    let front = free_addresses(1)[0];
    let folder = tempdir().unwrap();
    let config_path = folder.path().join("config.json");
    std::fs::write(&config_path, configuration(front, discovery, &list)).unwrap();
    let shim = Shim::new(1).unwrap();
    shim.step_wall_clock(step).unwrap();
    let start = ProcessBuilder::new(env!("CARGO_BIN_EXE_threadward")).env("LB_CONFIG", &config_path);

    let process = shim.preload(start.without_env("LB_ADMIN_ADDR")).unwrap().spawn().unwrap();
    wait_until("the front", || std::net::TcpStream::connect(front).is_ok()).await;
    Site { cache, others: all, discovery_events, events_changed, front, shim, process, _folder: folder }
}

impl Site {
    /// Sends requests one after the other, each on a connection of its own, and returns the longest wait for
    /// an answer.
    async fn serve_requests(&self, from: u32, count: u32) -> Micros {
        let mut longest = 0;
        for request_number in from..from + count {
            let at = now();
            let mut client = Client::connect(self.front).await;
            let text = format!("{request_number:016x}");
            client.send(&request(1, "media", &[("call", &text), ("row", &text)])).await;
            assert_eq!(with_timeout("an answer", client.answer()).await, Some((1, None, b"whole".to_vec())));
            longest = longest.max(now() - at);
        }
        longest
    }

    async fn assert_ends_in_time(&self) {
        let at = now();
        self.process.term().unwrap();
        wait_until("the end", || self.process.exit_status().is_some()).await;
        assert!(now() - at < 3_700_000, "ended {} us after SIGTERM", now() - at);
        assert_eq!(self.process.exit_status().unwrap().code(), Some(0));
    }
}

#[test]
fn a_step_of_the_wall_clock_does_not_affect_service() {
    for step in [-5 * SECOND_US, 5 * SECOND_US, -HOUR_US, HOUR_US] {
        run(|ex| serve_through_step(ex, step));
    }
}

async fn serve_through_step(ex: &'static LocalExecutor<'static>, step: i64) {
    let site = site(ex).await;
    site.serve_requests(1, 20).await;
    site.shim.step_wall_clock(step).unwrap();
    assert!(site.serve_requests(100, 20).await < 1_000_000);
    // The wall clock returns to the right time during a request that the cache never answers: its client
    // still gets an error in time.
    *site.cache.behavior.borrow_mut() = CacheBehavior::Silent;
    let mut client = Client::connect(site.front).await;
    let at = now();
    client.send(&request(1, "quick", &[("ttl", "150")])).await;
    sleep_until(now() + 20_000).await;
    site.shim.step_wall_clock(0).unwrap();
    assert!(with_timeout("an answer", client.answer()).await.is_some_and(|(_, word, _)| word.is_some()));
    assert!(now() - at < 500_000, "answered after {} us", now() - at);
    *site.cache.behavior.borrow_mut() = served();
    site.serve_requests(200, 20).await;
    // The connection to discovery is not taken for silent.
    assert!(!site.process.output().contains("connection lost"), "{}", site.process.output());

    site.shim.step_wall_clock(step).unwrap();
    site.assert_ends_in_time().await;
}

/// The oldest copy that an attempt accepts is never older than the purge, whatever the wall clock says.
#[test]
fn no_copy_older_than_a_purge_is_accepted_after_a_step() {
    for step in [HOUR_US, -HOUR_US] {
        run(|ex| purge_after_step(ex, step));
    }
}

async fn purge_after_step(ex: &'static LocalExecutor<'static>, step: i64) {
    let site = site(ex).await;
    site.serve_requests(1, 1).await;
    site.shim.step_wall_clock(step).unwrap();
    let (issued, at) = (unix_ms(), now());
    site.discovery_events.borrow_mut().push(format!(r#"{{"no":1,"recall":{{"lot":17,"issued":{issued}}}}}"#));
    site.events_changed.notify();
    sleep_until(at + 300_000).await;
    site.serve_requests(50, 1).await;
    let max_age_ms = (now() - at) / 1000 + 1;
    let commands = site.cache.commands.borrow();
    let newer = threadward::wire::find_field(&commands.last().unwrap()[2], "newer")
        .map(|t| t.parse::<u64>().unwrap());
    assert!(newer.is_some_and(|n| (1..=max_age_ms).contains(&n)), "{newer:?}, {max_age_ms} at most");
}

/// A discovery connection that falls silent is replaced, and events from the time between are applied,
/// whatever the wall clock does.
#[test]
fn a_silent_discovery_connection_is_replaced_after_a_step() {
    for step in [-5 * SECOND_US, 5 * SECOND_US, -HOUR_US, HOUR_US] {
        run(|ex| silent_discovery_after_step(ex, step));
    }
}

async fn silent_discovery_after_step(ex: &'static LocalExecutor<'static>, step: i64) {
    let site = site(ex).await;
    site.serve_requests(1, 1).await;
    site.discovery_events.borrow_mut().push("hush".into());
    site.events_changed.notify();
    sleep_until(now() + 300_000).await;
    site.shim.step_wall_clock(step).unwrap();
    site.discovery_events
        .borrow_mut()
        .push(format!(r#"{{"no":2,"recall":{{"lot":17,"issued":{}}}}}"#, unix_ms()));
    let (at, mut request_number) = (now(), 10);
    let purge_applied =
        || site.cache.commands.borrow().last().is_some_and(|parts| parts[2].contains("newer="));
    while !purge_applied() {
        assert!(now() < at + 4_000_000, "the purge was not applied: {}", site.process.output());
        site.serve_requests(request_number, 1).await;
        request_number += 1;

        sleep_until(now() + 50_000).await;
    }
}

/// A server that has just started gets fewer requests than the warm one beside it, also after a step of the
/// wall clock. The step neither ends its slow start nor starts it again for a server that is warm.
#[test]
fn slow_start_is_neither_skipped_nor_restarted_by_a_step() {
    for step in [-5 * SECOND_US, 5 * SECOND_US, -HOUR_US, HOUR_US] {
        run(|ex| slow_start_after_step(ex, step));
    }
}

async fn slow_start_after_step(ex: &'static LocalExecutor<'static>, step: i64) {
    let site = start_site_with_caches(ex, 2).await;
    let request_counts = || [site.cache.commands.borrow().len(), site.others[0].commands.borrow().len()];
    site.shim.step_wall_clock(step).unwrap();
    site.serve_requests(1, 60).await;
    let warm = request_counts();
    assert!(warm.iter().all(|n| *n > 10), "a step made a warm server cold: {warm:?}");
    let cold = server_entry("s-0", site.cache.addr, "std", "active", unix_ms());
    let list = format!(r#"{{"no":1,"roster":{{"version":2,"full":false,"servers":[{cold}]}}}}"#);
    site.discovery_events.borrow_mut().push(list);
    site.events_changed.notify();
    sleep_until(now() + 100_000).await;
    site.shim.step_wall_clock(0).unwrap();
    let before = request_counts();
    site.serve_requests(1_000, 100).await;
    let [cold, warm] = [0, 1].map(|n| request_counts()[n] - before[n]);
    assert!(cold * 3 < warm, "{cold} to the cold one, {warm} to the warm one, after a step of {step} us");
}

/// A process that starts with its wall clock ahead still applies slow start to a server that has just
/// started.
#[test]
fn a_process_that_starts_with_its_wall_clock_ahead_applies_slow_start() {
    run(|ex| async move {
        let site = start_site(ex, 2, HOUR_US, unix_ms() - 500).await;
        site.serve_requests(1, 100).await;
        let (cold, warm) = (site.cache.commands.borrow().len(), site.others[0].commands.borrow().len());
        assert!(cold * 3 < warm, "{cold} to the cold one, {warm} to the warm one");
    });
}
