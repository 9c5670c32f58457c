//! A stand-in of discovery: it answers every watch and tells it nothing but that it is still there.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How often a new watch is looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How often every watch hears that it is alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How long a watch's request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// More watches than that are not taken.
const MAX_WATCHES: usize = 64;
/// Bytes of a watch's request at most.
const MAX_REQUEST: usize = 4_096;

/// The stand-in; it ends when this is dropped.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    ends: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Discovery {
    /// # Errors
    /// Where the address cannot be had.
    pub fn start(address: SocketAddr) -> Result<Discovery, String> {
        let listening = TcpListener::bind(address)
            .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
            .map_err(|error| format!("discovery stand-in: {address}: {error}"))?;
        let ends = Arc::new(AtomicBool::new(false));
        let ended = ends.clone();
        let thread = Some(std::thread::spawn(move || serve(&listening, &ended)));
        Ok(Discovery { address, ends, thread })
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

fn serve(listener: &TcpListener, ended: &AtomicBool) {
    let mut watches: Vec<TcpStream> = Vec::new();
    let mut next = Instant::now();
    while !ended.load(Ordering::Relaxed) {
        if let Ok((stream, _)) = listener.accept() {
            if watches.len() < MAX_WATCHES {
                watches.extend(answer(stream));
            }
        }
        if Instant::now() >= next {
            next = Instant::now() + HEARTBEAT_INTERVAL;
            watches.retain_mut(|watch| watch.write_all(b":\n\n").is_ok());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Reads a request to its end, and begins the stream of events.
fn answer(mut stream: TcpStream) -> Option<TcpStream> {
    stream.set_nonblocking(false).ok()?;
    stream.set_read_timeout(Some(REQUEST_TIMEOUT)).ok()?;
    stream.set_write_timeout(Some(REQUEST_TIMEOUT)).ok()?;
    let (mut request, mut chunk) = (Vec::new(), [0; 512]);
    while !request.ends_with(b"\r\n\r\n") {
        let length = stream.read(&mut chunk).ok().filter(|length| *length > 0)?;
        request.extend_from_slice(&chunk[..length]);
        if request.len() > MAX_REQUEST {
            return None;
        }
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n:\n\n").ok()?;
    Some(stream)
}
