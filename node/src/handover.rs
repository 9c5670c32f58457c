//! Hands the clients' listening socket from one process of a proxy to the next, over a Unix socket in `$TMPDIR`: with one
//! queue for both, no connection falls between the two when the old one stops. It owns that socket's path and form. It
//! must never take a socket at another address than its own, nor hold up a start when nobody answers.
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

/// The one byte that goes with the socket: the version of this form.
const FORM: u8 = 1;

/// The path by way of its folder's descriptor: a Unix socket's path may be 107 bytes, and a folder's is often longer.
fn short(path: &Path) -> Result<(File, PathBuf)> {
    let folder = File::open(path.parent().unwrap_or(Path::new(".")))?;
    let name = path.file_name().unwrap_or_default();
    let short = Path::new("/proc/self/fd").join(folder.as_raw_fd().to_string()).join(name);
    Ok((folder, short))
}

/// Gives the socket to one that asked.
///
/// # Errors
/// Why it cannot be given.
pub fn send_listener(stream: &UnixStream, listener: &TcpListener) -> rustix::io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut with = SendAncillaryBuffer::new(&mut space);
    let fds = [listener.as_fd()];
    with.push(SendAncillaryMessage::ScmRights(&fds));
    rustix::io::retry_on_intr(|| sendmsg(stream, &[IoSlice::new(&[FORM])], &mut with, SendFlags::NOSIGNAL))
}

fn take(stream: &UnixStream) -> Result<Option<OwnedFd>> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let (mut with, mut byte) = (RecvAncillaryBuffer::new(&mut space), [0]);
    let got = rustix::io::retry_on_intr(|| {
        recvmsg(stream, &mut [IoSliceMut::new(&mut byte)], &mut with, RecvFlags::CMSG_CLOEXEC)
    })?;
    let mut fds = with.drain().filter_map(|m| match m {
        RecvAncillaryMessage::ScmRights(fds) => Some(fds),
        _ => None,
    });
    Ok(fds.next().and_then(|mut f| f.next()).filter(|_| got.bytes == 1 && byte == [FORM]))
}

/// Opens the path at which this process is asked. It is there before the process shows that it listens: one that sees
/// that and asks at once would else find nobody, and listen at a queue of its own.
pub fn bind_socket(path: &Path) -> Option<Async<UnixListener>> {
    let _ = std::fs::remove_file(path);
    let bound = short(path).and_then(|(_folder, at)| Async::new(UnixListener::bind(at)?));
    bound.map_err(|e| log(&format!("handover: not offered: {e}"))).ok()
}

/// Hands the socket to every process that asks, for as long as this one listens.
pub async fn serve_requests(at: Async<UnixListener>, listener: Weak<Async<TcpListener>>) {
    loop {
        match at.accept().await {
            // A caller that is gone again is no harm; the byte always fits a new socket's buffer.
            Ok((stream, _)) => match listener.upgrade() {
                Some(l) => drop(send_listener(stream.get_ref(), l.get_ref())),
                None => return,
            },
            Err(_) => sleep_until(now() + 10_000).await,
        }
    }
}

/// Asks an older process for its socket; nothing where there is none by then, or it is another's.
pub async fn request_listener(path: &Path, own: SocketAddr, until: Micros) -> Option<Async<TcpListener>> {
    let asked = async {
        let (_folder, at) = short(path).ok()?;
        let stream = Async::<UnixStream>::connect(at).await.ok()?;
        let fd = stream.read_with(take).await.ok()??;
        let listener = TcpListener::from(fd);
        listener.set_nonblocking(true).ok()?;
        let same = listener.local_addr().ok()? == own;
        Async::new(listener).ok().filter(|_| same)
    };
    let late = async {
        sleep_until(until).await;
        None
    };
    asked.or(late).await
}
