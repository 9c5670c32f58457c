//! Each fault does what it says, and the same each time.
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::Duration;
use threadward_faults::{after, eventually, ports, Fault, LinkCounters, ProcessBuilder, Relay};

/// Two parties with a relay between them.
struct Two {
    relay: Relay,
    party: Vec<UdpSocket>,
    at: Vec<Vec<SocketAddr>>,
}

impl Two {
    fn new(seed: u64) -> Two {
        let party: Vec<UdpSocket> =
            ports::free_addresses(2).unwrap().iter().map(|a| UdpSocket::bind(a).unwrap()).collect();
        party.iter().for_each(|p| p.set_read_timeout(Some(Duration::from_secs(10))).unwrap());
        let relay = Relay::new(seed, 2).unwrap();
        let own: Vec<SocketAddr> = party.iter().map(|p| p.local_addr().unwrap()).collect();
        let at = relay.udp(&own).unwrap();
        Two { relay, party, at }
    }

    fn send(&self, from: usize, numbers: std::ops::Range<u8>) {
        for n in numbers {
            self.party[from].send_to(&[n], self.at[from][1 - from]).unwrap();
        }
    }

    /// What becomes of what was sent to one, once nothing is on its way.
    fn got(&self, to: usize, settled: impl Fn(LinkCounters) -> bool) -> Vec<u8> {
        let counters = || self.relay.counters(1 - to, to);
        assert!(eventually(after(10_000), || settled(counters())), "{:?}", counters());
        let mut buf = [0; 4];
        let mut next = || {
            let (n, from) = self.party[to].recv_from(&mut buf).unwrap();
            assert_eq!((n, from), (1, self.at[to][1 - to]));
            buf[0]
        };
        (0..counters().delivered).map(|_| next()).collect()
    }
}

#[test]
fn the_same_seed_loses_the_same_datagrams() {
    let kept = |seed: u64, late: u64| {
        let two = Two::new(seed);
        // The lateness moves no lot.
        let delay = Duration::from_millis(late);
        two.relay.set_fault(0, 1, Fault { drop: 0.3, delay, ..Fault::default() });
        two.send(0, 0..200);
        two.got(1, |t| t.delivered + t.dropped == 200)
    };
    let first = kept(7, 0);
    assert!((110..170).contains(&first.len()), "{}", first.len());
    assert_eq!(first, kept(7, 30));
    assert_ne!(first, kept(8, 0));
}

#[test]
fn a_cut_of_one_direction_leaves_the_other() {
    let two = Two::new(1);
    two.relay.change_fault(0, 1, |f| f.cut = true);
    two.send(0, 0..5);
    two.send(1, 0..5);
    assert_eq!(two.got(0, |t| t.delivered == 5), [0, 1, 2, 3, 4]);
    assert!(two.got(1, |t| t.cut == 5).is_empty());
    two.relay.cut(&[0], &[1]);
    two.relay.heal(&[1], &[0]);
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    stranger.send_to(&[9], two.at[0][1]).unwrap();
    two.send(0, 7..8);
    assert_eq!(two.got(1, |t| t.delivered == 1 && t.unknown_sender == 1), [7]);
}

#[test]
fn what_was_stalled_comes_in_order_and_within_its_bound() {
    let two = Two::new(1);
    let jitter = Duration::from_millis(50);
    two.relay.set_fault(0, 1, Fault { stall: true, jitter, ..Fault::default() });
    two.send(0, 0..100);
    assert!(two.got(1, |t| t.held == 100).is_empty());
    two.relay.change_fault(0, 1, |f| f.stall = false);
    let (got, sent): (Vec<u8>, Vec<u8>) = (two.got(1, |t| t.delivered == 100), (0..100).collect());
    assert_eq!(got, sent);
    two.relay.change_fault(0, 1, |f| f.stall = true);
    // One at a time: it is the relay's bound that is reached, not that of a socket.
    let full = || {
        two.party[0].send_to(&[0; 60_000], two.at[0][1]).unwrap();
        std::thread::yield_now();
        two.relay.counters(0, 1).overflowed > 0
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
    let mut taken = server.accept().unwrap().0;
    taken.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    // More than is held: the sender has to wait, in a thread of its own.
    let all: Vec<u8> = (0..8u32 << 20).map(|n| (n % 251) as u8).collect();
    let (mut sender, sent) = (client.try_clone().unwrap(), all.clone());
    let sends = std::thread::spawn(move || sender.write_all(&sent).unwrap());
    assert!(eventually(after(10_000), || relay.counters(0, 1).overflowed > 0));
    assert_eq!(taken.read(&mut [0]).unwrap_err().kind(), ErrorKind::WouldBlock);
    assert_eq!(relay.counters(0, 1).overflowed, 1);
    let jitter = Duration::from_millis(2);
    relay.set_fault(0, 1, Fault { jitter, ..Fault::default() });
    taken.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let mut got = vec![0; all.len()];
    taken.read_exact(&mut got).unwrap();
    sends.join().unwrap();
    assert!(got == all, "bytes were changed");
    assert_eq!((relay.reset(1, 0), relay.reset(0, 1)), (0, 1));
    for end in [&mut client, &mut taken] {
        assert_eq!(end.read(&mut [0]).unwrap_err().kind(), ErrorKind::ConnectionReset);
    }
    // A new connection comes to stand once the cut is over, and its end is handed on.
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
        let mut taken = None;
        assert!(eventually(after(10_000), || (taken = server.accept().ok(), taken.is_some()).1));
        let taken = taken.unwrap().0;
        taken.set_nonblocking(false).unwrap();
        taken
    };
    let mut text = String::new();
    accept().read_to_string(&mut text).unwrap();
    assert_eq!(text, "early");
    // One end aborts, as it leaves something unread: the other end hears of it, and no sooner than the cut ends.
    let client = TcpStream::connect(at).unwrap();
    let mut taken = accept();
    taken.write_all(b"unread").unwrap();
    client.peek(&mut [0]).unwrap();
    relay.cut(&[0], &[1]);
    drop(client);
    taken.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    assert_eq!(taken.read(&mut [0]).unwrap_err().kind(), ErrorKind::WouldBlock);
    relay.heal(&[0], &[1]);
    taken.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    assert_eq!(taken.read(&mut [0]).unwrap_err().kind(), ErrorKind::ConnectionReset);
}

fn state(pid: u32) -> String {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    stat.rsplit(") ").next().unwrap().split(' ').next().unwrap().to_owned()
}

#[test]
fn a_stopped_process_stands_still_and_goes_on() {
    let tick = "n=0; while :; do n=$((n+1)); echo tick $n; sleep 0.01; done";
    let p = ProcessBuilder::new("sh").arg("-c").arg(tick).spawn().unwrap();
    p.wait_for_line("tick 3", after(10_000)).unwrap();
    p.stop().unwrap();
    assert_eq!(state(p.id()), "T");
    let (n, _) = p.lines();
    p.cont().unwrap();
    assert!(eventually(after(10_000), || state(p.id()) != "T"));
    // More than was on its way.
    p.wait_for_line(&format!("tick {}", n + 20), after(10_000)).unwrap();
    p.term().unwrap();
    assert!(!p.wait(after(10_000)).unwrap().success());
    assert!(p.cont().is_err() && p.wait_for_line("never", after(60_000)).is_err());
}

#[test]
fn a_full_disk_fails_writes_until_it_is_freed() {
    let writes = "while :; do if echo x >>file; then echo written; else echo refused; fi; sleep 0.01; done";
    let start = || ProcessBuilder::new("bash").arg("-c").arg(writes);
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
    let left = [p.folder().to_owned(), format!("/proc/{}", p.id()).into()];
    drop(p);
    assert!(left.iter().all(|l| !l.exists()));
    assert!(start().spawn().unwrap().fill_disk().is_err());
}
