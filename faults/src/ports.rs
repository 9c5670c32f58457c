//! Addresses for processes that a test starts. It owns who gets which: each test's process has an address of the
//! loopback net to itself (by its process id), and a port there is given once. It must never give a port of 127.0.0.1:
//! there, another test's program or a client's near end can take what was only just free.
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// Below the ports that the system gives to clients.
const FIRST: u16 = 10_000;
const LAST: u16 = 32_000;

/// Process ids have up to 22 bits; the last two make it neither 127.0.0.1 nor the net's broadcast address.
fn own() -> IpAddr {
    let [_, a, b, c] = ((std::process::id() << 2) | 2).to_be_bytes();
    Ipv4Addr::new(127, a, b, c).into()
}

/// Whether a socket has this port; one that listens on every address has it here as well. A try to bind it would say so
/// too, but a process that another test starts meanwhile holds that socket until it runs.
fn taken(port: u16) -> bool {
    ["tcp", "tcp6", "udp", "udp6"].iter().any(|kind| {
        let table = std::fs::read_to_string(format!("/proc/net/{kind}")).unwrap_or_default();
        let at = |line: &str| line.split_whitespace().nth(1)?.rsplit(':').next().map(str::to_owned);
        table.lines().filter_map(at).any(|p| u16::from_str_radix(&p, 16) == Ok(port))
    })
}

/// As many addresses that nobody has, each free for both UDP and TCP. They are this test's alone until its process ends.
///
/// # Errors
/// Where all were given.
///
/// ```
/// let all = threadward_faults::ports::free_addresses(2).unwrap();
/// assert_ne!(all[0], all[1]);
/// std::net::TcpListener::bind(all[0]).unwrap();
/// ```
pub fn free_addresses(n: usize) -> io::Result<Vec<SocketAddr>> {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST);
    let mut all = Vec::new();
    while all.len() < n {
        let port = NEXT
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |p| (p < LAST).then_some(p + 1))
            .map_err(|_| io::Error::other("every address of this process was given"))?;
        if !taken(port) {
            all.push(SocketAddr::new(own(), port));
        }
    }
    Ok(all)
}
