//! Hands the listening socket of the clients from one process of a proxy to the next, over a Unix socket in
//! `$TMPDIR`. Both processes then accept from one queue, so that no connection is lost when the old one
//! stops.
//!
//! A socket that listens at another address than this process's own is not taken, and a start waits only for
//! a limited time if no process answers.
use crate::net::{log, now, sleep_until};
use async_io::Async;
use futures_lite::FutureExt;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::fs::File;
use std::io::{IoSlice, IoSliceMut, Result};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, AsRawFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Weak;
use threadward_core::Micros;

/// The one byte that is sent along with the socket: the version of this format.
const FORMAT_VERSION: u8 = 1;

/// Opens the folder of a path and returns it with a short path through its descriptor: a Unix socket's path
/// may be at most 107 bytes, and a folder's path is often longer.
fn short_path(path: &Path) -> Result<(File, PathBuf)> {
    let folder = File::open(path.parent().unwrap_or(Path::new(".")))?;
    let name = path.file_name().unwrap_or_default();
    let short_path = Path::new("/proc/self/fd").join(folder.as_raw_fd().to_string()).join(name);
    Ok((folder, short_path))
}

/// Sends the listening socket to a process that requested it.
///
/// # Errors
/// Why it can't be sent.
pub fn send_listener(stream: &UnixStream, listener: &TcpListener) -> rustix::io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    let fds = [listener.as_fd()];
    ancillary.push(SendAncillaryMessage::ScmRights(&fds));
    rustix::io::retry_on_intr(|| {
        sendmsg(stream, &[IoSlice::new(&[FORMAT_VERSION])], &mut ancillary, SendFlags::NOSIGNAL)
    })
}

/// Receives a socket. Returns `None` if none was sent, or in another version of the format.
fn receive_listener(stream: &UnixStream) -> Result<Option<OwnedFd>> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let (mut ancillary, mut byte) = (RecvAncillaryBuffer::new(&mut space), [0]);
    let got = rustix::io::retry_on_intr(|| {
        recvmsg(stream, &mut [IoSliceMut::new(&mut byte)], &mut ancillary, RecvFlags::CMSG_CLOEXEC)
    })?;
    let mut fds = ancillary.drain().filter_map(|m| match m {
        RecvAncillaryMessage::ScmRights(fds) => Some(fds),
        _ => None,
    });
    Ok(fds.next().and_then(|mut f| f.next()).filter(|_| got.bytes == 1 && byte == [FORMAT_VERSION]))
}

/// Binds the Unix socket at which this process is asked for its listening socket. This must happen before the
/// process publishes that it listens: a process that sees that and asks at once would otherwise find no one,
/// and listen with a queue of its own.
pub fn bind_socket(path: &Path) -> Option<Async<UnixListener>> {
    let _ = std::fs::remove_file(path);
    let bound = short_path(path).and_then(|(_folder, at)| Async::new(UnixListener::bind(at)?));
    bound.map_err(|e| log(&format!("handover: not offered: {e}"))).ok()
}

/// Sends the listening socket to every process that asks, for as long as this one listens.
pub async fn serve_requests(at: Async<UnixListener>, listener: Weak<Async<TcpListener>>) {
    loop {
        match at.accept().await {
            // It does no harm if the caller has gone; the byte always fits into a new socket's buffer.
            Ok((stream, _)) => match listener.upgrade() {
                Some(l) => drop(send_listener(stream.get_ref(), l.get_ref())),
                None => return,
            },
            Err(_) => sleep_until(now() + 10_000).await,
        }
    }
}

/// Requests the listening socket of another process. Returns `None` if none has arrived by `until`, or if it
/// listens at another address than `own_addr`.
pub async fn request_listener(
    path: &Path,
    own_addr: SocketAddr,
    until: Micros,
) -> Option<Async<TcpListener>> {
    let requested = async {
        let (_folder, at) = short_path(path).ok()?;
        let stream = Async::<UnixStream>::connect(at).await.ok()?;
        let fd = stream.read_with(receive_listener).await.ok()??;
        let listener = TcpListener::from(fd);
        listener.set_nonblocking(true).ok()?;
        let same = listener.local_addr().ok()? == own_addr;
        Async::new(listener).ok().filter(|_| same)
    };
    let timeout = async {
        sleep_until(until).await;
        None
    };
    requested.or(timeout).await
}
