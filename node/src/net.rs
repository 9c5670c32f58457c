//! Helpers that the program's tasks share: the clock, the log, a wake-up signal, and reads and writes on
//! sockets.
//!
//! Nothing here depends on the node, a listener or the pool, and the only state is the log's rate limit and
//! one shared read buffer. Waits are bounded by points in time, not by durations.
use crate::calls;
use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use log::LevelFilter;
use rustix::event::{PollFd, PollFlags, Timespec};
use rustix::net::{sockopt, AddressFamily, SocketFlags, SocketType};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::{ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::sync::Once;
use std::task::{Poll, Waker};
use std::time::Duration;
use threadward_core::{Body, Micros};

pub use crate::clock::now;

/// Returns the microseconds since this machine started. Steps of the system's clock don't affect it, and it
/// goes on while the machine sleeps.
pub fn uptime() -> Micros {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    t.tv_sec as Micros * 1_000_000 + t.tv_nsec as Micros / 1_000
}

/// Writes a line to the log and drops it beyond [`MAX_LINES_PER_SECOND`]. Unlike `eprintln!`, it doesn't
/// panic if the log's target is full or closed, which would end the calling task.
pub fn log(line: &str) {
    thread_local!(static SECOND: Cell<(Micros, u32)> = const { Cell::new((0, 0)) });
    static OPENED: Once = Once::new();
    let second = now() / 1_000_000;
    let (previous, lines) = SECOND.get();
    let lines = if previous == second { lines + 1 } else { 1 };
    SECOND.set((second, lines));
    if lines <= MAX_LINES_PER_SECOND {
        OPENED.call_once(open_log);
        log::info!("{line}");
    }
}

/// Limit on log lines in a second.
const MAX_LINES_PER_SECOND: u32 = 40;

/// Sets up the log: plain lines of this program alone, each in a single write to standard error, regardless
/// of the environment.
fn open_log() {
    let mut builder = env_logger::Builder::new();
    builder.filter_module("threadward", LevelFilter::Info).format(|line, r| writeln!(line, "{}", r.args()));
    // A user of the library may have set up another logger.
    let _ = builder.try_init();
}

/// Waits until a point in time; returns at once if it has passed.
pub async fn sleep_until(at: Micros) {
    let left = at.saturating_sub(now());
    if left > 0 {
        Timer::after(Duration::from_micros(left)).await;
    }
}

/// Datagrams that are read before a pause of [`PAUSE_AFTER_BATCH`], which bounds the rate in a flood.
const MAX_DATAGRAMS_PER_BATCH: usize = 64;
/// The pause after a batch of datagrams, or after a failed read.
const PAUSE_AFTER_BATCH: Micros = 10_000;

/// Reads datagrams for as long as the program runs and hands them to `handle`. A datagram longer than
/// `max_bytes` is cut to one byte more than that, so that `handle` can tell.
pub async fn receive_datagrams(
    socket: &Async<UdpSocket>,
    max_bytes: usize,
    mut handle: impl FnMut(&[u8], SocketAddr),
) {
    let mut buf = vec![0u8; max_bytes + 1];
    loop {
        for _ in 0..MAX_DATAGRAMS_PER_BATCH {
            match socket.recv_from(&mut buf).await {
                Ok((n, from)) => handle(&buf[..n], from),
                Err(_) => break,
            }
            future::yield_now().await;
        }
        sleep_until(now() + PAUSE_AFTER_BATCH).await;
    }
}

/// Wakes a waiting task. A wake-up while no task waits is kept for the next wait.
#[derive(Default)]
pub struct Signal {
    set: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Signal {
    /// Wakes the waiting task, or lets the next wait return at once.
    pub fn notify(&self) {
        self.set.set(true);
        if let Some(w) = self.waker.borrow_mut().take() {
            w.wake();
        }
    }

    /// Waits for the next wake-up and consumes it.
    pub async fn wait(&self) {
        future::poll_fn(|cx| {
            if self.set.replace(false) {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }
}

thread_local! {
    /// The buffer of every read. All connections share it, so that those that wait for data hold no buffer.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; 64 * 1024]);
}

/// Appends what has arrived to `buf`, up to `max_bytes`, without waiting. Returns the number of bytes, 0 at
/// the end of the stream or after an error, or nothing if no data has arrived.
pub fn try_read(stream: &Async<TcpStream>, buf: &mut Vec<u8>, max_bytes: usize) -> Option<usize> {
    READ_BUFFER.with_borrow_mut(|buffer| {
        let room = max_bytes.min(buffer.len());
        match calls::uninterrupted(|| stream.get_ref().read(&mut buffer[..room])) {
            Ok(n) => {
                buf.extend_from_slice(&buffer[..n]);
                Some(n)
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => None,
            // Reset, timed out or unreachable: nothing more arrives on this connection.
            Err(_) => Some(0),
        }
    })
}

/// Waits for data and appends it to `buf`, as [`try_read`] does.
pub async fn read_some(stream: &Async<TcpStream>, buf: &mut Vec<u8>, max_bytes: usize) -> usize {
    loop {
        match try_read(stream, buf, max_bytes) {
            Some(n) => return n,
            None => calls::readable(stream).await,
        }
    }
}

/// Writes all of these bytes.
///
/// # Errors
/// Returns the error if the connection fails first.
pub async fn write_all(stream: &Async<TcpStream>, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        match calls::uninterrupted(|| stream.get_ref().write(bytes)) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(n) => bytes = &bytes[n..],
            Err(e) if e.kind() == ErrorKind::WouldBlock => calls::writable(stream).await,
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Bytes that are read and discarded at a time.
const DISCARD_READ_BYTES: usize = 16 * 1024;

/// Shuts down the writing side, then discards what arrives until the end of the stream or until `timeout`
/// resolves. Closing a connection with unread data would reset it, and what was written last could be lost.
pub async fn shutdown_and_drain(stream: &Async<TcpStream>, timeout: impl Future<Output = ()>) {
    if stream.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    discard(stream).or(timeout).await;
}

/// Discards what arrives until the end of the stream.
pub async fn discard(stream: &Async<TcpStream>) {
    let mut discarded = Vec::new();
    while read_some(stream, &mut discarded, DISCARD_READ_BYTES).await > 0 {
        discarded.clear();
        future::yield_now().await;
    }
}

/// Returns whether data has arrived that was not read.
pub fn has_unread_bytes(stream: &Async<TcpStream>) -> bool {
    // After an error, as at the end of the stream, nothing more can be read.
    calls::uninterrupted(|| stream.get_ref().peek(&mut [0])).is_ok_and(|n| n > 0)
}

/// Returns whether the other side has closed the connection, also if data from before is still unread.
pub fn peer_has_closed(stream: &Async<TcpStream>) -> bool {
    let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut polled = [PollFd::new(stream, closed)];
    let ready = calls::uninterrupted(|| Ok(rustix::event::poll(&mut polled, Some(&Timespec::default()))?));
    ready.is_ok() && polled[0].revents().intersects(closed)
}

/// Length of the accept backlog. Many clients may connect at once, and one that is dropped here tries again
/// only after 1 s.
pub const LISTEN_BACKLOG: i32 = 1024;

/// A TCP address that is bound but not listened on yet.
pub struct BoundAddress(OwnedFd);

/// Binds the address of a listener. If it is `shared`, other processes of this user may bind it too.
///
/// # Errors
/// Returns the error if the address cannot be bound.
pub fn bind_address(at: SocketAddr, shared: bool) -> std::io::Result<BoundAddress> {
    let family = if at.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let socket = rustix::net::socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    sockopt::set_socket_reuseport(&socket, shared)?;
    rustix::net::bind(&socket, &at)?;
    Ok(BoundAddress(socket))
}

impl BoundAddress {
    /// Starts to listen.
    ///
    /// # Errors
    /// Returns the error if that fails.
    pub fn listen(self) -> std::io::Result<Async<TcpListener>> {
        rustix::net::listen(&self.0, LISTEN_BACKLOG)?;
        Async::new(TcpListener::from(self.0))
    }
}

/// Binds a UDP socket. If it is `shared`, other processes of this user may bind the address too.
///
/// # Errors
/// Returns the error if the address cannot be bound.
pub fn bind_datagram_socket(at: SocketAddr, shared: bool) -> std::io::Result<Async<UdpSocket>> {
    let family = if at.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let socket = rustix::net::socket_with(family, SocketType::DGRAM, SocketFlags::CLOEXEC, None)?;
    sockopt::set_socket_reuseport(&socket, shared)?;
    rustix::net::bind(&socket, &at)?;
    Async::new(UdpSocket::from(socket))
}

/// An answer to a client: the bytes before the body, the body as it was received, and the bytes after it.
#[derive(Default)]
pub struct OutgoingAnswer {
    pub head: Vec<u8>,
    pub body: Body,
    pub tail: Vec<u8>,
}

impl From<Vec<u8>> for OutgoingAnswer {
    fn from(head: Vec<u8>) -> OutgoingAnswer {
        OutgoingAnswer { head, ..OutgoingAnswer::default() }
    }
}

impl OutgoingAnswer {
    /// Returns how much memory the answer holds, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.head.capacity() + self.body.allocated_bytes() + self.tail.capacity()
    }

    /// Writes the whole answer, its parts together, and reports the bytes of each write. Returns false if the
    /// connection fails first.
    pub async fn write(&self, stream: &Async<TcpStream>, mut report_written: impl FnMut(usize)) -> bool {
        let mut slices = [IoSlice::new(&self.head), IoSlice::new(&self.body), IoSlice::new(&self.tail)];
        let mut remaining: &mut [IoSlice<'_>] = &mut slices;
        IoSlice::advance_slices(&mut remaining, 0);
        while !remaining.is_empty() {
            match calls::uninterrupted(|| stream.get_ref().write_vectored(remaining)) {
                Ok(n) if n > 0 => {
                    report_written(n);
                    IoSlice::advance_slices(&mut remaining, n);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => calls::writable(stream).await,
                _ => return false,
            }
        }
        true
    }
}
