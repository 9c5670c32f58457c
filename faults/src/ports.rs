//! Assigns addresses to the processes that a test starts. Each test process has an IP address of the loopback
//! network to itself, derived from its process id, and each port there is assigned once.
//!
//! Ports of 127.0.0.1 are never assigned: a program of another test, or the local end of a client's
//! connection, can take a port there that was free a moment before.
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// The first port that is assigned.
const FIRST_PORT: u16 = 10_000;
/// The end of the assigned ports, below those that the system gives to clients.
const PORTS_END: u16 = 32_000;

/// Returns the IP address of this process: 127.0.0.0 plus the process id, which has up to 22 bits, shifted by
/// two bits. The last two bits are 10, so that it is neither 127.0.0.1 nor the network's broadcast address.
///
/// A stand-in that listens there isn't reached by a program of another test that still calls one which has
/// ended, as it would be at a port of 127.0.0.1 that the system has given out again.
pub fn own_ip() -> IpAddr {
    let [_, a, b, c] = ((std::process::id() << 2) | 2).to_be_bytes();
    Ipv4Addr::new(127, a, b, c).into()
}

/// Returns whether a socket uses this port on any address: one that listens on all addresses uses it on ours
/// as well. Binding the port would show this too, but a process that another test starts at that moment would
/// inherit the socket and keep it until it executes its program.
fn is_used(port: u16) -> bool {
    ["tcp", "tcp6", "udp", "udp6"].iter().any(|kind| {
        let table = std::fs::read_to_string(format!("/proc/net/{kind}")).unwrap_or_default();
        let local_port = |line: &str| line.split_whitespace().nth(1)?.rsplit(':').next().map(str::to_owned);
        table.lines().filter_map(local_port).any(|p| u16::from_str_radix(&p, 16) == Ok(port))
    })
}

/// Returns `n` unused addresses, each free for both UDP and TCP. They are reserved for this test until its
/// process ends.
///
/// # Errors
/// If all addresses of this process have been assigned.
///
/// ```
/// let all = threadward_faults::ports::free_addresses(2).unwrap();
/// assert_ne!(all[0], all[1]);
/// std::net::TcpListener::bind(all[0]).unwrap();
/// ```
pub fn free_addresses(n: usize) -> io::Result<Vec<SocketAddr>> {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let mut all = Vec::new();
    while all.len() < n {
        let port = NEXT
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |p| (p < PORTS_END).then_some(p + 1))
            .map_err(|_| io::Error::other("all addresses of this process have been assigned"))?;
        if !is_used(port) {
            all.push(SocketAddr::new(own_ip(), port));
        }
    }
    Ok(all)
}
