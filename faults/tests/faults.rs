//! Tests the tools that other tests rely on: the faults of the relay are those that were set and the same
//! with the same seed, and a process can be stopped, continued and given a full disk. Otherwise a test of the
//! proxy could pass because the fault it means to inject never happened, or fail differently each time.
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::Duration;
use threadward_faults::{after, eventually, ports, Fault, LinkCounters, ProcessBuilder, Relay};

/// Two parties with a relay between them.
struct RelayedPair {
    relay: Relay,
    /// The sockets of both parties.
    parties: Vec<UdpSocket>,
    /// The addresses at which they reach each other, as `Relay::udp` returns them.
    addresses: Vec<Vec<SocketAddr>>,
}

impl RelayedPair {
    fn new(seed: u64) -> RelayedPair {
        let parties: Vec<UdpSocket> =
            ports::free_addresses(2).unwrap().iter().map(|a| UdpSocket::bind(a).unwrap()).collect();
        parties.iter().for_each(|p| p.set_read_timeout(Some(Duration::from_secs(10))).unwrap());
        let relay = Relay::new(seed, 2).unwrap();
        let own: Vec<SocketAddr> = parties.iter().map(|p| p.local_addr().unwrap()).collect();
        let addresses = relay.udp(&own).unwrap();
        RelayedPair { relay, parties, addresses }
    }

    /// Sends a datagram of one byte for each number from a party to the other.
    fn send(&self, from: usize, numbers: std::ops::Range<u8>) {
        for n in numbers {
            self.parties[from].send_to(&[n], self.addresses[from][1 - from]).unwrap();
        }
    }

    /// Waits until the counters towards a party have settled, and returns the numbers that were delivered to
    /// it.
    fn received(&self, to: usize, settled: impl Fn(LinkCounters) -> bool) -> Vec<u8> {
        let counters = || self.relay.counters(1 - to, to);
        assert!(eventually(after(10_000), || settled(counters())), "{:?}", counters());
        let mut buf = [0; 4];
        let mut next = || {
            let (n, from) = self.parties[to].recv_from(&mut buf).unwrap();
            assert_eq!((n, from), (1, self.addresses[to][1 - to]));
            buf[0]
        };
        (0..counters().delivered).map(|_| next()).collect()
    }
}

#[test]
fn the_same_seed_loses_the_same_datagrams() {
    let delivered = |seed: u64, delay_ms: u64| {
        let pair = RelayedPair::new(seed);
        // The delay must not change which datagrams are lost.
        let delay = Duration::from_millis(delay_ms);
        pair.relay.set_fault(0, 1, Fault { drop: 0.3, delay, ..Fault::default() });
        pair.send(0, 0..200);
        pair.received(1, |t| t.delivered + t.dropped == 200)
    };
    let first = delivered(7, 0);
    assert!((110..170).contains(&first.len()), "{}", first.len());
    assert_eq!(first, delivered(7, 30));
    assert_ne!(first, delivered(8, 0));
}

#[test]
fn a_cut_of_one_direction_leaves_the_other() {
    let pair = RelayedPair::new(1);
    pair.relay.change_fault(0, 1, |f| f.cut = true);
    pair.send(0, 0..5);
    pair.send(1, 0..5);
    assert_eq!(pair.received(0, |t| t.delivered == 5), [0, 1, 2, 3, 4]);
    assert!(pair.received(1, |t| t.cut == 5).is_empty());
    pair.relay.cut(&[0], &[1]);
    pair.relay.heal(&[1], &[0]);
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    stranger.send_to(&[9], pair.addresses[0][1]).unwrap();
    pair.send(0, 7..8);
    assert_eq!(pair.received(1, |t| t.delivered == 1 && t.unknown_sender == 1), [7]);
}

#[test]
fn stalled_datagrams_arrive_in_order_and_are_held_up_to_a_limit() {
    let pair = RelayedPair::new(1);
    let jitter = Duration::from_millis(50);
    pair.relay.set_fault(0, 1, Fault { stall: true, jitter, ..Fault::default() });
    pair.send(0, 0..100);
    assert!(pair.received(1, |t| t.held == 100).is_empty());
    pair.relay.change_fault(0, 1, |f| f.stall = false);
    let (received, sent): (Vec<u8>, Vec<u8>) = (pair.received(1, |t| t.delivered == 100), (0..100).collect());
    assert_eq!(received, sent);
    pair.relay.change_fault(0, 1, |f| f.stall = true);
    // One at a time, so that the limit of the relay is reached and not that of a socket's buffer.
    let full = || {
        pair.parties[0].send_to(&[0; 60_000], pair.addresses[0][1]).unwrap();
        std::thread::yield_now();
        pair.relay.counters(0, 1).overflowed > 0
    };
    assert!(eventually(after(10_000), full));
}

#[test]
fn a_stalled_stream_keeps_every_byte_and_a_reset_aborts_both_ends() {
    let relay = Relay::new(1, 2).unwrap();
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = relay.tcp(0, 1, server.local_addr().unwrap()).unwrap();
    relay.change_fault(0, 1, |f| f.stall = true);
    let mut client = TcpStream::connect(at).unwrap();
    let mut accepted = server.accept().unwrap().0;
    accepted.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    // More than the relay holds: the sender has to wait, so it has a thread of its own.
    let all: Vec<u8> = (0..8u32 << 20).map(|n| (n % 251) as u8).collect();
    let (mut sender, sent) = (client.try_clone().unwrap(), all.clone());
    let sending = std::thread::spawn(move || sender.write_all(&sent).unwrap());
    assert!(eventually(after(10_000), || relay.counters(0, 1).overflowed > 0));
    assert_eq!(accepted.read(&mut [0]).unwrap_err().kind(), ErrorKind::WouldBlock);
    assert_eq!(relay.counters(0, 1).overflowed, 1);
    let jitter = Duration::from_millis(2);
    relay.set_fault(0, 1, Fault { jitter, ..Fault::default() });
    accepted.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let mut received = vec![0; all.len()];
    accepted.read_exact(&mut received).unwrap();
    sending.join().unwrap();
    assert!(received == all, "bytes were changed");
    assert_eq!((relay.reset(1, 0), relay.reset(0, 1)), (0, 1));
    for end in [&mut client, &mut accepted] {
        assert_eq!(end.read(&mut [0]).unwrap_err().kind(), ErrorKind::ConnectionReset);
    }
    // A new connection is established once the cut is over, and its end is delivered.
    relay.cut(&[0], &[1]);
    let _gone = TcpStream::connect(at).unwrap();
    assert!(eventually(after(10_000), || relay.reset(0, 1) == 1));
    server.set_nonblocking(true).unwrap();
    assert_eq!(server.accept().unwrap_err().kind(), ErrorKind::WouldBlock);
    let mut client = TcpStream::connect(at).unwrap();
    client.write_all(b"early").unwrap();
    client.shutdown(std::net::Shutdown::Write).unwrap();
    relay.heal(&[0], &[1]);
    let accept = || {
        let mut accepted = None;
        assert!(eventually(after(10_000), || (accepted = server.accept().ok(), accepted.is_some()).1));
        let accepted = accepted.unwrap().0;
        accepted.set_nonblocking(false).unwrap();
        accepted
    };
    let mut text = String::new();
    accept().read_to_string(&mut text).unwrap();
    assert_eq!(text, "early");
    // One end aborts, because it closes with bytes unread. The other end learns of it, but not before the cut
    // ends.
    let client = TcpStream::connect(at).unwrap();
    let mut accepted = accept();
    accepted.write_all(b"unread").unwrap();
    client.peek(&mut [0]).unwrap();
    relay.cut(&[0], &[1]);
    drop(client);
    accepted.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    assert_eq!(accepted.read(&mut [0]).unwrap_err().kind(), ErrorKind::WouldBlock);
    relay.heal(&[0], &[1]);
    accepted.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    assert_eq!(accepted.read(&mut [0]).unwrap_err().kind(), ErrorKind::ConnectionReset);
}

/// Returns the state of a process, as the letter that the system gives it.
fn state(pid: u32) -> String {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    stat.rsplit(") ").next().unwrap().split(' ').next().unwrap().to_owned()
}

#[test]
fn a_stopped_process_does_nothing_until_it_continues() {
    let script = "n=0; while :; do n=$((n+1)); echo tick $n; sleep 0.01; done";
    let p = ProcessBuilder::new("sh").arg("-c").arg(script).spawn().unwrap();
    p.wait_for_line("tick 3", after(10_000)).unwrap();
    p.stop().unwrap();
    assert_eq!(state(p.id()), "T");
    let (n, _) = p.lines();
    p.cont().unwrap();
    assert!(eventually(after(10_000), || state(p.id()) != "T"));
    // More lines than may have been on their way when it stopped.
    p.wait_for_line(&format!("tick {}", n + 20), after(10_000)).unwrap();
    p.term().unwrap();
    assert!(!p.wait(after(10_000)).unwrap().success());
    assert!(p.cont().is_err() && p.wait_for_line("never", after(60_000)).is_err());
}

#[test]
fn a_full_disk_fails_writes_until_it_is_freed() {
    let script = "while :; do if echo x >>file; then echo written; else echo refused; fi; sleep 0.01; done";
    let start = || ProcessBuilder::new("bash").arg("-c").arg(script);
    let p = start().full_disk(true).spawn().unwrap();
    p.wait_for_line("refused", after(10_000)).unwrap();
    assert!(!p.output().contains("written"), "{}", p.output());
    p.free_disk().unwrap();
    p.wait_for_line("written", after(10_000)).unwrap();
    p.fill_disk().unwrap();
    p.wait_for_line_after(p.lines().0, "refused", after(10_000)).unwrap();
    let size = std::fs::metadata(p.folder().join("file")).unwrap().len();
    p.wait_for_line_after(p.lines().0, "refused", after(10_000)).unwrap();
    assert_eq!(std::fs::metadata(p.folder().join("file")).unwrap().len(), size);
    let removed = [p.folder().to_owned(), format!("/proc/{}", p.id()).into()];
    drop(p);
    assert!(removed.iter().all(|l| !l.exists()));
    assert!(start().spawn().unwrap().fill_disk().is_err());
}
