//! Requests that make every proxy probe as often as it may, and a look at what a stand-in cache was probed.
use super::{request, Cache};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::AsyncWriteExt;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use threadward::net::{now, sleep_until};

/// When a cache was probed, in microseconds.
pub type ProbeTimes = Rc<RefCell<Vec<u64>>>;

/// Asks a proxy again and again, the next time so long after each answer. A proxy that is not there, or ends, is asked
/// once it is there again.
pub fn load(ex: &'static LocalExecutor<'static>, front: SocketAddr, pause_us: u64) {
    ex.spawn(async move {
        loop {
            if let Ok(stream) = Async::<TcpStream>::connect(front).await {
                ask_until_it_ends(super::Client::on(stream), pause_us).await;
            }
            sleep_until(now() + 10_000).await;
        }
    })
    .detach();
}

async fn ask_until_it_ends(mut client: super::Client, pause_us: u64) {
    for id in 1.. {
        let sent = (&client.stream).write_all(&request(id, "media", &[])).await;
        if sent.is_err() || client.answer().await.is_none() {
            return;
        }
        sleep_until(now() + pause_us).await;
    }
}

/// Takes the probes of a cache as they come.
pub fn watch(ex: &'static LocalExecutor<'static>, cache: &Cache) -> ProbeTimes {
    let (seen, times) = (cache.seen.clone(), ProbeTimes::default());
    let all = times.clone();
    ex.spawn(async move {
        loop {
            let new = seen.borrow_mut().drain(..).filter(|p| p[0] == "gauges").count();
            all.borrow_mut().extend(std::iter::repeat_n(now(), new));
            sleep_until(now() + 5_000).await;
        }
    })
    .detach();
    times
}

/// The most probes in any five seconds.
pub fn densest(times: &[u64]) -> usize {
    let within = |i: usize| times[i..].iter().take_while(|t| **t < times[i] + 5_000_000).count();
    (0..times.len()).map(within).max().unwrap_or(0)
}
