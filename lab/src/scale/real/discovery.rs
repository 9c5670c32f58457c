//! A stand-in of discovery that answers every watch and sends it heartbeats only.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Interval at which new connections are accepted.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of the heartbeats on every watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of reading and writing on a watch.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of open watches; further connections are closed.
const MAX_WATCHES: usize = 64;
/// Maximum size of a watch's request.
const MAX_REQUEST_BYTES: usize = 4_096;

/// The running stand-in, which stops when this is dropped.
pub struct Discovery {
    /// The address on which it listens.
    pub address: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Discovery {
    /// Starts the stand-in in a thread of its own.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub fn start(address: SocketAddr) -> Result<Discovery, String> {
        let listening = TcpListener::bind(address)
            .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
            .map_err(|error| format!("discovery stand-in: {address}: {error}"))?;
        let stop = Arc::new(AtomicBool::new(false));
        let stop_requested = stop.clone();
        let thread = Some(std::thread::spawn(move || serve(&listening, &stop_requested)));
        Ok(Discovery { address, stop, thread })
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

/// Accepts watches and sends heartbeats until a stop is requested.
fn serve(listener: &TcpListener, stop_requested: &AtomicBool) {
    let mut watches: Vec<TcpStream> = Vec::new();
    let mut next_heartbeat = Instant::now();
    while !stop_requested.load(Ordering::Relaxed) {
        if let Ok((stream, _)) = listener.accept() {
            if watches.len() < MAX_WATCHES {
                watches.extend(answer(stream));
            }
        }
        if Instant::now() >= next_heartbeat {
            next_heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
            watches.retain_mut(|watch| watch.write_all(b":\n\n").is_ok());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Reads a request to its end and begins the stream of events. Returns `None` if the request is too long or
/// the connection fails.
fn answer(mut stream: TcpStream) -> Option<TcpStream> {
    stream.set_nonblocking(false).ok()?;
    stream.set_read_timeout(Some(REQUEST_TIMEOUT)).ok()?;
    stream.set_write_timeout(Some(REQUEST_TIMEOUT)).ok()?;
    let (mut request, mut chunk) = (Vec::new(), [0; 512]);
    while !request.ends_with(b"\r\n\r\n") {
        let length = stream.read(&mut chunk).ok().filter(|length| *length > 0)?;
        request.extend_from_slice(&chunk[..length]);
        if request.len() > MAX_REQUEST_BYTES {
            return None;
        }
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n:\n\n").ok()?;
    Some(stream)
}
