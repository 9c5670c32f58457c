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

/// The program with one cache and a bulletin, its wall clock under the test's control.
struct Site {
    cache: Cache,
    news: News,
    told: Rc<Wake>,
    front: SocketAddr,
    shim: Shim,
    process: Process,
    _folder: TempDir,
}

async fn site(ex: &'static LocalExecutor<'static>) -> Site {
    let cache = cache(ex);
    *cache.act.borrow_mut() = served();
    let (news, told, bulletin) = news(ex);
    let front = addresses(1)[0];
    let folder = tempdir().unwrap();
    let file = folder.path().join("config.json");
    std::fs::write(&file, configuration(front, bulletin, &[server("s-0", cache.at, "std", "active", 0)]))
        .unwrap();
    let shim = Shim::new(1).unwrap();
    let start = Start::new(env!("CARGO_BIN_EXE_threadward")).env("LB_CONFIG", &file);
    let process = shim.preload(start.without_env("LB_ADMIN_ADDR")).unwrap().spawn().unwrap();
    until("the front", || std::net::TcpStream::connect(front).is_ok()).await;
    Site { cache, news, told, front, shim, process, _folder: folder }
}

impl Site {
    /// Requests one after the other, each on a connection of its own; gives the longest wait for an answer.
    async fn serves(&self, from: u32, count: u32) -> Micros {
        let mut longest = 0;
        for number in from..from + count {
            let at = now();
            let mut client = Client::to(self.front).await;
            let text = format!("{number:016x}");
            client.send(&request(1, "media", &[("call", &text), ("row", &text)])).await;
            assert_eq!(within("an answer", client.answer()).await, Some((1, None, b"whole".to_vec())));
            longest = longest.max(now() - at);
        }
        longest
    }

    async fn ends(&self) {
        let at = now();
        self.process.term().unwrap();
        until("the end", || self.process.ended().is_some()).await;
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
    *site.cache.act.borrow_mut() = Act::Silent;
    let mut client = Client::to(site.front).await;
    let at = now();
    client.send(&request(1, "quick", &[("ttl", "150")])).await;
    sleep_until(now() + 20_000).await;
    site.shim.step_wall_clock(0).unwrap();
    assert!(within("an answer", client.answer()).await.is_some_and(|(_, word, _)| word.is_some()));
    assert!(now() - at < 500_000, "answered after {} us", now() - at);
    *site.cache.act.borrow_mut() = served();
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
    let seen = site.cache.seen.borrow();
    let newer = threadward::wire::field(&seen.last().unwrap()[2], "newer").map(|t| t.parse::<u64>().unwrap());
    assert!(newer.is_some_and(|n| (1..=most).contains(&n)), "{newer:?}, {most} at most");
}
