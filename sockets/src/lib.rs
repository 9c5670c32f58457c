//! How much of what was written to a TCP connection is still on this machine.
//!
//! A write hands bytes to the system, which sends them as the other side makes room. Linux tells how many it
//! still holds by two calls of `ioctl` (`tcp(7)`) for which `rustix` has no safe function. This crate has
//! them, and nothing else.
#![deny(unsafe_op_in_unsafe_fn)]

use rustix::ioctl::{self, Opcode, Updater};
use std::ffi::c_int;
use std::io;
use std::os::fd::AsFd;

/// `SIOCOUTQ`: bytes that the other side has not acknowledged.
const SIOCOUTQ: Opcode = 0x5411;
/// `SIOCOUTQNSD`: bytes that have not been sent.
const SIOCOUTQNSD: Opcode = 0x894B;

/// Returns how many bytes the other side of a TCP connection has not acknowledged, sent or not.
///
/// # Errors
/// Returns the error of the call, for example because the socket is no TCP connection.
pub fn unacknowledged_bytes(socket: impl AsFd) -> io::Result<usize> {
    queued_bytes::<SIOCOUTQ>(socket)
}

/// Returns how many bytes written to a TCP connection its system has not sent yet, because the other side has
/// no room for them.
///
/// # Errors
/// Returns the error of the call, as [`unacknowledged_bytes`] does.
pub fn unsent_bytes(socket: impl AsFd) -> io::Result<usize> {
    queued_bytes::<SIOCOUTQNSD>(socket)
}

fn queued_bytes<const OPCODE: Opcode>(socket: impl AsFd) -> io::Result<usize> {
    let mut bytes: c_int = 0;
    // SAFETY: both opcodes write one `int` to the address that they are given.
    unsafe { ioctl::ioctl(socket, Updater::<OPCODE, c_int>::new(&mut bytes)) }?;
    Ok(usize::try_from(bytes).unwrap_or(0))
}
