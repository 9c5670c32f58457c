//! The cases, one module each.
mod crowded_start;
mod idle_close;
mod slow_readers;
mod stalled_release;
mod upgrade_slow;

use crate::proxy::door;
use crate::record::Record;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Why a run didn't end well.
pub enum Broken {
    /// The rule was broken.
    Rule(String),
    /// The case couldn't run.
    Run(String),
}

pub fn run(case: &str, trouble: bool, record: &Arc<Record>) -> Result<(), Broken> {
    match case {
        "stalled-release" => stalled_release::run(trouble, record),
        "slow-readers" => slow_readers::run(trouble, record),
        "upgrade-slow" => upgrade_slow::run(trouble, record),
        "crowded-start" => crowded_start::run(trouble, record),
        "idle-close" => idle_close::run(trouble, record),
        other => Err(Broken::Run(format!("no such case: {other}"))),
    }
}

/// Asks a door until it says yes. Returns when it did.
fn wait_ready(at: SocketAddr, longest: Duration, record: &Arc<Record>) -> Result<Duration, Broken> {
    let until = Instant::now() + longest;
    while Instant::now() < until {
        if door(at, "READY").is_some_and(|line| line.starts_with("done")) {
            record.say(format!("door {at} says ready"));
            return Ok(record.now());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(Broken::Run(format!("door {at} did not say yes within {longest:?}")))
}

#[repr(C)]
struct PollFd {
    fd: i32,
    events: i16,
    revents: i16,
}

extern "C" {
    /// poll(2) of the C library, which every program on Linux is linked against.
    fn poll(fds: *mut PollFd, count: std::ffi::c_ulong, timeout_ms: std::ffi::c_int) -> std::ffi::c_int;
}

/// Tells that the other side has closed, also while what it sent before is not read yet.
const POLLRDHUP: i16 = 0x2000;

/// Watches for the moment in which the proxy's close reaches this machine. Only the judgement uses it: the client
/// itself sees the close once it has read what came before it.
fn watch_close(stream: &TcpStream, record: &Arc<Record>) -> Arc<Mutex<Option<Duration>>> {
    let (closed_at, record) = (Arc::<Mutex<Option<Duration>>>::default(), record.clone());
    let (Ok(stream), result) = (stream.try_clone(), closed_at.clone()) else { return closed_at };
    std::thread::spawn(move || {
        let until = record.now() + Duration::from_secs(20);
        // Ends with the value of the client, too.
        while record.now() < until && Arc::strong_count(&closed_at) > 1 {
            let mut fd = PollFd { fd: stream.as_raw_fd(), events: POLLRDHUP, revents: 0 };
            // SAFETY: one valid entry, and no wait.
            let found = unsafe { poll(&mut fd, 1, 0) };
            if found > 0 && fd.revents & POLLRDHUP != 0 {
                *closed_at.lock().unwrap() = Some(record.now());
                return;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    });
    result
}
