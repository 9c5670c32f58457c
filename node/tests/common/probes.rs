//! Load that makes every proxy probe as often as it may, and a record of the probes that reach a stand-in
//! cache.
use super::{request, Cache};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::AsyncWriteExt;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use threadward::net::{now, sleep_until};

/// The times at which a cache was probed, in microseconds.
pub type ProbeTimes = Rc<RefCell<Vec<u64>>>;

/// Sends requests to a proxy without end, each one `pause_us` after the answer to the previous one. A proxy
/// that is not up, or ends, gets requests again once it is up.
pub fn keep_requesting(ex: &'static LocalExecutor<'static>, front: SocketAddr, pause_us: u64) {
    ex.spawn(async move {
        loop {
            if let Ok(stream) = Async::<TcpStream>::connect(front).await {
                send_requests_until_closed(super::Client::from_stream(stream), pause_us).await;
            }
            sleep_until(now() + 10_000).await;
        }
    })
    .detach();
}

async fn send_requests_until_closed(mut client: super::Client, pause_us: u64) {
    for id in 1.. {
        let sent = (&client.stream).write_all(&request(id, "media", &[])).await;
        if sent.is_err() || client.answer().await.is_none() {
            return;
        }
        sleep_until(now() + pause_us).await;
    }
}

/// Records the probes of a cache as they come. Takes the recorded commands out of the cache.
pub fn record_probes(ex: &'static LocalExecutor<'static>, cache: &Cache) -> ProbeTimes {
    let (commands, times) = (cache.commands.clone(), ProbeTimes::default());
    let recorded = times.clone();
    ex.spawn(async move {
        loop {
            let new = commands.borrow_mut().drain(..).filter(|p| p[0] == "gauges").count();
            recorded.borrow_mut().extend(std::iter::repeat_n(now(), new));
            sleep_until(now() + 5_000).await;
        }
    })
    .detach();
    times
}

/// Returns the highest number of probes in any five seconds.
pub fn max_probes_in_5_seconds(times: &[u64]) -> usize {
    let count_from = |i: usize| times[i..].iter().take_while(|t| **t < times[i] + 5_000_000).count();
    (0..times.len()).map(count_from).max().unwrap_or(0)
}
