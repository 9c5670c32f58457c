//! What the tasks of the program share: the clock, the log, a wake-up, reads and writes on sockets. It owns nothing that
//! outlives a call but the one read buffer. It must never know the node, a front or the pool, and nothing here takes
//! a time-out: waits end at points on the clock.
use crate::calls;
use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use log::LevelFilter;
use rustix::net::{sockopt, AddressFamily, SocketFlags, SocketType};
use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::sync::Once;
use std::task::{Poll, Waker};
use std::time::Duration;
use threadward_core::{Body, Micros};

pub use crate::clock::now;

/// Microseconds since this machine started: no step of the system's clock moves it, and it goes on while the machine
/// sleeps.
pub fn uptime() -> Micros {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    t.tv_sec as Micros * 1_000_000 + t.tv_nsec as Micros / 1_000
}

/// Writes a line to the log, a few dozen in a second at most. A log that is full or gone must not end a task, as
/// `eprintln!` would.
pub fn log(line: &str) {
    thread_local!(static SECOND: Cell<(Micros, u32)> = const { Cell::new((0, 0)) });
    static OPENED: Once = Once::new();
    let second = now() / 1_000_000;
    let (last, n) = SECOND.get();
    let n = if last == second { n + 1 } else { 1 };
    SECOND.set((second, n));
    if n <= LINES {
        OPENED.call_once(open_log);
        log::info!("{line}");
    }
}

/// Lines in a second.
const LINES: u32 = 40;

/// Plain lines of this program alone, each in one write to standard error, whatever the environment says.
fn open_log() {
    let mut own = env_logger::Builder::new();
    own.filter_module("threadward", LevelFilter::Info).format(|line, r| writeln!(line, "{}", r.args()));
    // Whoever uses the library may have a log of their own.
    let _ = own.try_init();
}

pub async fn sleep_until(at: Micros) {
    let left = at.saturating_sub(now());
    if left > 0 {
        Timer::after(Duration::from_micros(left)).await;
    }
}

/// Datagrams that are read in one go, and the pause after: a flood takes no more than so many of them.
const BATCH: usize = 64;
const PAUSE: Micros = 10_000;

/// Reads datagrams of up to `most` bytes for as long as the program runs; a longer one comes one byte over it.
pub async fn receive_datagrams(
    socket: &Async<UdpSocket>,
    most: usize,
    mut take: impl FnMut(&[u8], SocketAddr),
) {
    let mut buf = vec![0u8; most + 1];
    loop {
        for _ in 0..BATCH {
            match socket.recv_from(&mut buf).await {
                Ok((n, from)) => take(&buf[..n], from),
                Err(_) => break,
            }
            future::yield_now().await;
        }
        sleep_until(now() + PAUSE).await;
    }
}

/// Wakes one waiting task; a wake-up with nobody waiting is kept for the next.
#[derive(Default)]
pub struct Signal {
    set: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Signal {
    pub fn notify(&self) {
        self.set.set(true);
        if let Some(w) = self.waker.borrow_mut().take() {
            w.wake();
        }
    }

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
    /// What was just read. One for all connections: those that wait for bytes hold no buffer.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; 64 * 1024]);
}

/// Reads what has come, up to `most` bytes, to the end of `buf`: how many, 0 at the end of the stream or after a failure;
/// nothing where nothing has come.
pub fn try_read(stream: &Async<TcpStream>, buf: &mut Vec<u8>, most: usize) -> Option<usize> {
    SCRATCH.with_borrow_mut(|scratch| {
        let room = most.min(scratch.len());
        match calls::uninterrupted(|| stream.get_ref().read(&mut scratch[..room])) {
            Ok(n) => {
                buf.extend_from_slice(&scratch[..n]);
                Some(n)
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => None,
            // Reset, timed out or unreachable: nothing more comes on this connection.
            Err(_) => Some(0),
        }
    })
}

/// The same, but waits for bytes.
pub async fn read_some(stream: &Async<TcpStream>, buf: &mut Vec<u8>, most: usize) -> usize {
    loop {
        match try_read(stream, buf, most) {
            Some(n) => return n,
            None => calls::readable(stream).await,
        }
    }
}

/// Writes these bytes whole.
///
/// # Errors
/// Why the connection takes no more.
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

/// Bytes that are thrown away in a turn.
const SCRAP: usize = 16 * 1024;

/// Ends writing, then reads on and throws away what comes, to the end of the stream or the point on the clock: a close
/// over unread bytes resets the connection, and what was written last is lost with it.
pub async fn shutdown_and_drain(stream: &Async<TcpStream>, until: Micros) {
    if stream.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    discard(stream).or(sleep_until(until)).await;
}

/// Reads on and throws away what comes, to the end of the stream.
pub async fn discard(stream: &Async<TcpStream>) {
    let mut scrap = Vec::new();
    while read_some(stream, &mut scrap, SCRAP).await > 0 {
        scrap.clear();
        future::yield_now().await;
    }
}

/// Whether bytes have come that were not read.
pub fn has_unread_bytes(stream: &Async<TcpStream>) -> bool {
    // After an error, as at the end of the stream, nothing more can be read.
    calls::uninterrupted(|| stream.get_ref().peek(&mut [0])).is_ok_and(|n| n > 0)
}

/// Connections that may wait to be accepted: a crowd comes at once, and one that is dropped here asks again after 1 s.
pub const LISTEN_BACKLOG: i32 = 1024;

/// The clients' address, held but not yet listened at.
pub struct BoundAddress(OwnedFd);

/// Holds an address for a listener. `shared`: other processes of this user may hold it too.
///
/// # Errors
/// Why it cannot be held.
pub fn bind_address(at: SocketAddr, shared: bool) -> std::io::Result<BoundAddress> {
    let family = if at.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let socket = rustix::net::socket_with(family, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    sockopt::set_socket_reuseport(&socket, shared)?;
    rustix::net::bind(&socket, &at)?;
    Ok(BoundAddress(socket))
}

impl BoundAddress {
    /// Begins to listen.
    ///
    /// # Errors
    /// Why it cannot.
    pub fn listen(self) -> std::io::Result<Async<TcpListener>> {
        rustix::net::listen(&self.0, LISTEN_BACKLOG)?;
        Async::new(TcpListener::from(self.0))
    }
}

/// A socket for datagrams.
///
/// # Errors
/// Why there is none.
pub fn bind_datagram_socket(at: SocketAddr, shared: bool) -> std::io::Result<Async<UdpSocket>> {
    let family = if at.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let socket = rustix::net::socket_with(family, SocketType::DGRAM, SocketFlags::CLOEXEC, None)?;
    sockopt::set_socket_reuseport(&socket, shared)?;
    rustix::net::bind(&socket, &at)?;
    Async::new(UdpSocket::from(socket))
}

/// An answer on its way to a client: what stands before the body, the body as it came, what stands after it.
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
    /// Memory that it holds.
    pub fn memory_bytes(&self) -> usize {
        self.head.capacity() + self.body.allocated_bytes() + self.tail.capacity()
    }

    /// Writes it whole, the parts together; false when the client is gone.
    pub async fn write(&self, stream: &Async<TcpStream>) -> bool {
        let mut slices = [IoSlice::new(&self.head), IoSlice::new(&self.body), IoSlice::new(&self.tail)];
        let mut left: &mut [IoSlice<'_>] = &mut slices;
        IoSlice::advance_slices(&mut left, 0);
        while !left.is_empty() {
            match calls::uninterrupted(|| stream.get_ref().write_vectored(left)) {
                Ok(n) if n > 0 => IoSlice::advance_slices(&mut left, n),
                Err(e) if e.kind() == ErrorKind::WouldBlock => calls::writable(stream).await,
                _ => return false,
            }
        }
        true
    }
}
