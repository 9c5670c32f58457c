//! A relay between the parties of a test, for UDP and TCP, with faults on each link and direction that may
//! change while it runs. One thread holds the sockets and draws which datagrams and connections are lost.
//!
//! The relay never changes a byte, never reorders the bytes of a stream, never blocks on a party that does
//! not read, and never holds more than its limits.
use crate::lock;
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use rustix::net::{connect, socket_with, sockopt, AddressFamily, SocketFlags, SocketType};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender, TryRecvError};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Largest number of bytes held of one link's datagrams, or of one direction of a connection.
const MAX_HELD_BYTES: usize = 1 << 20;
/// Bytes that each datagram or chunk held counts in addition to its own.
const ITEM_OVERHEAD_BYTES: usize = 64;
/// Largest number of connections open at a time.
const MAX_CONNECTIONS: usize = 256;
/// Largest number of datagrams or chunks read from one socket before the other sockets have their turn.
const MAX_READS_PER_TURN: usize = 64;

/// The faults on what one party sends to another. They apply to what the relay reads from then on.
///
/// A connection that `a` opened to `b` carries bytes both ways, and each direction has the faults of its own
/// link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Datagrams are lost. The bytes of a connection wait, as the sender's system would retransmit them, and
    /// a new connection is established once neither direction is cut.
    pub cut: bool,
    /// Everything is held until the stall ends, and then delivered in the order it arrived.
    pub stall: bool,
    /// The share of datagrams, or of new connections (which are reset at once), that is lost: 0 to 1.
    pub drop: f64,
    /// How much later everything is delivered.
    pub delay: Duration,
    /// Up to how much later still, at random. Datagrams may overtake each other, the bytes of a connection do
    /// not.
    pub jitter: Duration,
}

/// Counts what happened to the datagrams of one direction and, where it says so, to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounters {
    /// Datagrams that are held now, until they are due or a stall ends.
    pub held: u64,
    /// Datagrams delivered.
    pub delivered: u64,
    /// Datagrams and connections lost at random.
    pub dropped: u64,
    /// Datagrams lost to a cut.
    pub cut: u64,
    /// Datagrams lost because the limit of held bytes was reached, connections refused because too many were
    /// open, and times that the sender of a connection had to wait because of the limit of held bytes (none
    /// of its bytes is lost).
    pub overflowed: u64,
    /// Datagrams that did not come from the sending party of this link. They are never delivered.
    pub unknown_sender: u64,
}

/// The faults and counters of one direction between two parties.
#[derive(Clone, Copy, Default)]
struct Link {
    fault: Fault,
    counters: LinkCounters,
}

/// The links of all parties. That from party `from` to party `to` has the index `from * parties + to`.
type Links = Arc<Mutex<Vec<Link>>>;

/// What the relay tells its thread to do.
enum Command {
    /// Relays datagrams at the endpoints of one call of `udp`.
    AddUdp(Vec<UdpEndpoint>),
    /// Relays the connections that a listener accepts.
    Listen(Box<Listener>),
    /// Aborts the connections of a link, and sends back how many there were.
    Reset((usize, usize), Sender<usize>),
}

/// A relay. Its thread and all connections end when it is dropped.
///
/// About half of the datagrams from party 0 to party 1 are lost, those in the other direction are not:
///
/// ```
/// use std::net::UdpSocket;
/// use threadward_faults::{after, eventually, Fault, Relay};
/// let parties: Vec<UdpSocket> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
/// let own: Vec<_> = parties.iter().map(|s| s.local_addr().unwrap()).collect();
/// let relay = Relay::new(1, 2).unwrap();
/// let at = relay.udp(&own).unwrap();
/// relay.set_fault(0, 1, Fault { drop: 0.5, ..Fault::default() });
/// for _ in 0..20 {
///     parties[0].send_to(b"there", at[0][1]).unwrap();
///     parties[1].send_to(b"back", at[1][0]).unwrap();
/// }
/// assert!(eventually(after(5_000), || relay.counters(1, 0).delivered == 20));
/// let mut buf = [0; 8];
/// let (n, from) = parties[0].recv_from(&mut buf).unwrap();
/// // It comes from the address that party 0 sends to.
/// assert_eq!((&buf[..n], from), (&b"back"[..], at[0][1]));
/// assert!(eventually(after(5_000), || relay.counters(0, 1).delivered + relay.counters(0, 1).dropped == 20));
/// assert!(relay.counters(0, 1).dropped > 0);
/// ```
///
/// A connection to a server, stalled for a while in one direction:
///
/// ```
/// # use std::io::{Read, Write};
/// # use std::net::{TcpListener, TcpStream};
/// use threadward_faults::Relay;
/// let server = TcpListener::bind("127.0.0.1:0").unwrap();
/// let relay = Relay::new(1, 2).unwrap();
/// let at = relay.tcp(0, 1, server.local_addr().unwrap()).unwrap();
/// let mut client = TcpStream::connect(at).unwrap();
/// relay.change_fault(0, 1, |f| f.stall = true);
/// client.write_all(b"late").unwrap();
/// let mut taken = server.accept().unwrap().0;
/// relay.change_fault(0, 1, |f| f.stall = false);
/// let mut buf = [0; 4];
/// taken.read_exact(&mut buf).unwrap();
/// assert_eq!(&buf, b"late");
/// assert_eq!(relay.reset(0, 1), 1);
/// assert!(client.read(&mut buf).is_err());
/// ```
pub struct Relay {
    seed: u64,
    parties: usize,
    links: Links,
    commands: Option<Sender<Command>>,
    /// A byte written here wakes the thread.
    wake: UnixStream,
    thread: Option<JoinHandle<()>>,
    /// Number of random streams assigned so far.
    streams: AtomicU64,
}

impl Relay {
    /// Starts a relay between `parties` parties, numbered from 0. With the same seed and the same calls, the
    /// n-th datagram of each link is lost or delivered alike, whatever happens on other links and whatever
    /// was set for the datagrams before it.
    ///
    /// # Errors
    /// If the system has no resources left for it.
    pub fn new(seed: u64, parties: usize) -> io::Result<Relay> {
        let links: Links = Arc::new(Mutex::new(vec![Link::default(); parties * parties]));
        let (wake, wake_receiver) = UnixStream::pair()?;
        wake.set_nonblocking(true)?;
        wake_receiver.set_nonblocking(true)?;
        let (commands, command_receiver) = channel();
        let (endpoints, listeners, connections) = (Vec::new(), Vec::new(), Vec::new());
        let worker = Worker {
            seed,
            parties,
            links: links.clone(),
            commands: command_receiver,
            wake_receiver,
            endpoints,
            listeners,
            connections,
        };
        let thread = std::thread::Builder::new().name("relay".into()).spawn(move || worker.run())?;
        let streams = AtomicU64::new(0);
        Ok(Relay { seed, parties, links, commands: Some(commands), wake, thread: Some(thread), streams })
    }

    /// Relays datagrams between all parties. `own` holds the address that each party sends from and listens
    /// at. Returns the addresses at which they reach each other: `[i][j]` is the address by which party `i`
    /// has to know party `j`. What `j` sends reaches `i` from that very address. `[i][i]` is the party's own
    /// address. For several kinds of datagrams (several sockets in each party) this is called once for each
    /// kind.
    ///
    /// # Errors
    /// If the system has no resources left for it.
    ///
    /// # Panics
    /// If the number of addresses is not that of the parties.
    pub fn udp(&self, own: &[SocketAddr]) -> io::Result<Vec<Vec<SocketAddr>>> {
        assert_eq!(own.len(), self.parties, "an address for each party");
        let (mut addresses, mut endpoints) = (Vec::new(), Vec::new());
        for (i, own_i) in own.iter().enumerate() {
            let mut row = Vec::new();
            for j in 0..self.parties {
                // The endpoint of a party to itself stays unused, so that the index of each endpoint follows
                // from its link.
                let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
                socket.set_nonblocking(true)?;
                row.push(if i == j { *own_i } else { socket.local_addr()? });
                let (sampler, queue) = (self.new_sampler(), Queue::default());
                endpoints.push(UdpEndpoint { link: (i, j), socket, party_addr: *own_i, sampler, queue });
            }
            addresses.push(row);
        }
        self.send_command(Command::AddUdp(endpoints));
        Ok(addresses)
    }

    /// Opens an address for party `from`, whose connections are forwarded to `target`, a listening address of
    /// party `to`.
    ///
    /// # Errors
    /// If the system has no resources left for it.
    pub fn tcp(&self, from: usize, to: usize, target: SocketAddr) -> io::Result<SocketAddr> {
        self.link_index(from, to);
        let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_nonblocking(true)?;
        let addr = socket.local_addr()?;
        self.send_command(Command::Listen(Box::new(Listener {
            link: (from, to),
            socket,
            target,
            sampler: self.new_sampler(),
            streams_used: 0,
        })));
        Ok(addr)
    }

    /// Sets the faults on what `from` sends to `to`. The delay of what has already been read does not change.
    pub fn set_fault(&self, from: usize, to: usize, fault: Fault) {
        self.change_fault(from, to, |f| *f = fault);
    }

    /// Changes the faults on what `from` sends to `to`.
    pub fn change_fault(&self, from: usize, to: usize, change: impl FnOnce(&mut Fault)) {
        change(&mut lock(&self.links)[self.link_index(from, to)].fault);
        self.wake();
    }

    /// Sets the faults of all links at once, each to what `fault(from, to)` returns.
    pub fn set_all_faults(&self, fault: impl Fn(usize, usize) -> Fault) {
        let set = |(i, l): (usize, &mut Link)| l.fault = fault(i / self.parties, i % self.parties);
        lock(&self.links).iter_mut().enumerate().for_each(set);
        self.wake();
    }

    /// Cuts both directions between each party of `these` and each of `those`, all at once. Other faults stay
    /// as they are.
    pub fn cut(&self, these: &[usize], those: &[usize]) {
        self.set_cuts(these, those, true);
    }

    /// Ends the cuts between each party of `these` and each of `those`.
    pub fn heal(&self, these: &[usize], those: &[usize]) {
        self.set_cuts(these, those, false);
    }

    /// Sets or ends the cut of both directions between each party of `these` and each of `those`.
    fn set_cuts(&self, these: &[usize], those: &[usize], cut: bool) {
        let mut links = lock(&self.links);
        for (a, b) in these.iter().flat_map(|a| those.iter().map(move |b| (*a, *b))) {
            links[self.link_index(a, b)].fault.cut = cut;
            links[self.link_index(b, a)].fault.cut = cut;
        }
        drop(links);
        self.wake();
    }

    /// Aborts all connections that `from` opened to `to`, at both ends, and returns how many there were.
    pub fn reset(&self, from: usize, to: usize) -> usize {
        self.link_index(from, to);
        let (reply, count) = channel();
        self.send_command(Command::Reset((from, to), reply));
        count.recv().unwrap_or(0)
    }

    /// Returns what has happened so far to what `from` sends to `to`.
    pub fn counters(&self, from: usize, to: usize) -> LinkCounters {
        lock(&self.links)[self.link_index(from, to)].counters
    }

    /// Returns the index of a link.
    fn link_index(&self, from: usize, to: usize) -> usize {
        assert!(from < self.parties && to < self.parties, "no link from {from} to {to}");
        from * self.parties + to
    }

    /// Creates the random draws of a socket, from a stream of random numbers that no other socket has.
    fn new_sampler(&self) -> FaultSampler {
        FaultSampler::new(self.seed, self.streams.fetch_add(1, Ordering::Relaxed) << 32)
    }

    /// Sends a command to the thread and wakes it.
    fn send_command(&self, command: Command) {
        // The thread ends only with this relay, so the command is always received.
        self.commands.as_ref().map(|c| c.send(command).ok());
        self.wake();
    }

    /// Wakes the thread. If the socket has no room for the byte, it already holds others that wake the
    /// thread.
    fn wake(&self) {
        (&self.wake).write_all(&[1]).ok();
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.commands = None;
        self.wake();
        self.thread.take().map(JoinHandle::join);
    }
}

/// Random draws for one socket or one direction of a connection. Each item draws two numbers, needed or not,
/// so that a change of the faults never shifts the draws of the items after it.
struct FaultSampler {
    rng: ChaCha8Rng,
    stream: u64,
}

impl FaultSampler {
    fn new(seed: u64, stream: u64) -> FaultSampler {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        FaultSampler { rng, stream }
    }

    /// Draws for one item whether it is lost and, if it is not, its delay.
    fn sample(&mut self, f: &Fault) -> (bool, Duration) {
        let mut unit = || (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        (unit() < f.drop, f.delay + f.jitter.mul_f64(unit()))
    }
}

/// Items that wait until they are due, in the order of delivery.
#[derive(Default)]
struct Queue {
    items: VecDeque<(Instant, Vec<u8>)>,
    /// Bytes held, with the overhead of each item.
    held_bytes: usize,
}

impl Queue {
    /// Inserts an item behind all that are due no later than it.
    fn enqueue(&mut self, due: Instant, bytes: Vec<u8>) {
        self.held_bytes += bytes.len() + ITEM_OVERHEAD_BYTES;
        let position = self.items.partition_point(|(d, _)| *d <= due);
        self.items.insert(position, (due, bytes));
    }

    /// Returns `due`, or the time of the last item if that is later: an item put in with that time does not
    /// overtake another.
    fn not_before_last(&self, due: Instant) -> Instant {
        self.items.back().map_or(due, |(d, _)| due.max(*d))
    }

    /// Returns when the first item is due.
    fn next_due(&self) -> Option<Instant> {
        self.items.front().map(|(d, _)| *d)
    }

    /// Removes and returns the first item.
    fn dequeue(&mut self) -> Option<Vec<u8>> {
        let (_, bytes) = self.items.pop_front()?;
        self.held_bytes -= bytes.len() + ITEM_OVERHEAD_BYTES;
        Some(bytes)
    }
}

/// The socket at which party `link.0` reaches party `link.1`, and the datagrams that wait between them.
struct UdpEndpoint {
    link: (usize, usize),
    socket: UdpSocket,
    /// The address of party `link.0`.
    party_addr: SocketAddr,
    sampler: FaultSampler,
    queue: Queue,
}

impl UdpEndpoint {
    /// Reads datagrams and queues those that are not lost.
    fn read(&mut self, l: &mut Link, now: Instant) {
        let mut buf = [0; 1 << 16];
        for _ in 0..MAX_READS_PER_TURN {
            let Ok((n, from)) = self.socket.recv_from(&mut buf) else { return };
            if from != self.party_addr {
                l.counters.unknown_sender += 1;
                continue;
            }
            let (lost, lateness) = self.sampler.sample(&l.fault);
            if l.fault.cut {
                l.counters.cut += 1;
            } else if lost {
                l.counters.dropped += 1;
            } else if self.queue.held_bytes + n + ITEM_OVERHEAD_BYTES > MAX_HELD_BYTES {
                l.counters.overflowed += 1;
            } else {
                let due = if l.fault.stall { self.queue.not_before_last(now) } else { now + lateness };
                self.queue.enqueue(due, buf[..n].to_vec());
                l.counters.held += 1;
            }
        }
    }
}

/// An address whose connections are forwarded to `target`.
struct Listener {
    link: (usize, usize),
    socket: TcpListener,
    target: SocketAddr,
    sampler: FaultSampler,
    /// Random streams that have been used by its connections, two by each.
    streams_used: u64,
}

/// One direction of a connection. An empty chunk in its queue stands for the end.
struct Direction {
    sampler: FaultSampler,
    queue: Queue,
    /// Whether everything has been read, up to the end or an abort.
    read_finished: bool,
    /// Whether it was an abort.
    aborted: bool,
    /// Whether everything has been delivered, the end included.
    finished: bool,
    /// Whether the receiver accepts no more bytes for now.
    write_blocked: bool,
}

impl Direction {
    /// Returns whether more may be read: there is more to come and room to hold it.
    fn can_read(&self) -> bool {
        !self.read_finished && self.queue.held_bytes < MAX_HELD_BYTES
    }

    /// Reads what the sender has sent, as long as there is room, and queues it.
    fn read(&mut self, mut from: &TcpStream, l: &mut Link, now: Instant) {
        let mut buf = [0; 16 << 10];
        for _ in 0..MAX_READS_PER_TURN {
            if !self.can_read() {
                return;
            }
            let n = match from.read(&mut buf) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Ok(n) => n,
                // An abort is delayed and held like the bytes before it.
                Err(_) => {
                    self.aborted = true;
                    0
                }
            };
            let (_, lateness) = self.sampler.sample(&l.fault);
            self.queue.enqueue(self.queue.not_before_last(now + lateness), buf[..n].to_vec());
            self.read_finished = n == 0;
            l.counters.overflowed += u64::from(self.queue.held_bytes >= MAX_HELD_BYTES);
        }
    }

    /// Delivers what is due. After an error both ends have to be aborted.
    fn write(&mut self, mut to: &TcpStream, f: &Fault, now: Instant) -> io::Result<()> {
        self.write_blocked = false;
        while !f.cut && !f.stall && self.queue.next_due().is_some_and(|due| due <= now) {
            let Some((_, bytes)) = self.queue.items.front_mut() else { break };
            if bytes.is_empty() {
                self.finished = true;
                self.queue.dequeue();
                if self.aborted {
                    return Err(ErrorKind::ConnectionReset.into());
                }
                return to.shutdown(std::net::Shutdown::Write);
            }
            match to.write(bytes) {
                Ok(n) if n < bytes.len() => {
                    bytes.drain(..n);
                    self.queue.held_bytes -= n;
                }
                Ok(_) => drop(self.queue.dequeue()),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.write_blocked = true;
                    return Ok(());
                }
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

/// A connection that is relayed.
struct Connection {
    link: (usize, usize),
    target: SocketAddr,
    /// The end of the party that opened the connection.
    client: TcpStream,
    /// The end of the target, once connecting has begun.
    server: Option<TcpStream>,
    /// Whether the target has accepted the connection.
    connected: bool,
    /// The direction to the target and the one back.
    directions: [Direction; 2],
}

impl Connection {
    /// Does what can be done now, with the links to the target and back. After an error both ends have to be
    /// aborted.
    fn step(&mut self, forward: &mut Link, backward: &mut Link, now: Instant) -> io::Result<()> {
        let Connection { client, server, directions: [outbound, inbound], .. } = self;
        outbound.read(client, forward, now);
        if server.is_none() && !forward.fault.cut && !backward.fault.cut {
            *server = Some(begin_connect(self.target)?);
        }
        let Some(server) = server else { return Ok(()) };
        if !self.connected {
            if let Some(e) = server.take_error()? {
                return Err(e);
            }
            self.connected = server.peer_addr().is_ok();
        }
        if self.connected {
            outbound.write(server, &forward.fault, now)?;
            inbound.read(server, backward, now);
            inbound.write(client, &backward.fault, now)?;
        }
        Ok(())
    }

    /// Makes closing abort the connection at both ends, instead of ending it in the usual way.
    fn abort(&self) {
        for end in [Some(&self.client), self.server.as_ref()].into_iter().flatten() {
            sockopt::set_socket_linger(end, Some(Duration::ZERO)).ok();
        }
    }
}

/// Begins a connection without waiting for it: a target that does not accept must not hold up the others.
fn begin_connect(target: SocketAddr) -> io::Result<TcpStream> {
    let family =
        if matches!(target.ip(), IpAddr::V4(_)) { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = socket_with(family, SocketType::STREAM, flags, None)?;
    match connect(&socket, &target) {
        Ok(()) | Err(Errno::INPROGRESS) => Ok(TcpStream::from(socket)),
        Err(e) => Err(e.into()),
    }
}

/// The state of the relay's thread.
struct Worker {
    seed: u64,
    parties: usize,
    links: Links,
    commands: Receiver<Command>,
    wake_receiver: UnixStream,
    endpoints: Vec<UdpEndpoint>,
    listeners: Vec<Listener>,
    connections: Vec<Connection>,
}

impl Worker {
    /// Runs until the relay is dropped.
    fn run(mut self) {
        loop {
            while (&self.wake_receiver).read(&mut [0; 256]).is_ok_and(|n| n > 0) {}
            loop {
                match self.commands.try_recv() {
                    // All endpoints of a call are stored together: `step` finds the one for the opposite
                    // direction by its index.
                    Ok(Command::AddUdp(endpoints)) => self.endpoints.extend(endpoints),
                    Ok(Command::Listen(listener)) => self.listeners.push(*listener),
                    Ok(Command::Reset(link, reply)) => {
                        let before = self.connections.len();
                        self.connections.iter().filter(|c| c.link == link).for_each(Connection::abort);
                        self.connections.retain(|c| c.link != link);
                        reply.send(before - self.connections.len()).ok();
                    }
                    Err(TryRecvError::Empty) => break,
                    Err(TryRecvError::Disconnected) => return,
                }
            }
            let next = self.step();
            self.wait(next);
        }
    }

    /// Does what can be done now, and returns when more is due. There are only a few sockets, so each one is
    /// tried.
    fn step(&mut self) -> Option<Instant> {
        let (links, n, now) = (self.links.clone(), self.parties, Instant::now());
        let (mut links, mut next) = (lock(&links), None::<Instant>);
        let mut due_at = |due: Option<Instant>| next = next.into_iter().chain(due).min();
        for i in 0..self.endpoints.len() {
            let endpoint = &mut self.endpoints[i];
            let (from, to) = endpoint.link;
            let link = &mut links[from * n + to];
            endpoint.read(link, now);
            if link.fault.stall {
                continue;
            }
            // A datagram to a party is sent from the endpoint at which that party reaches the sender.
            let opposite = i - (from * n + to) + to * n + from;
            while self.endpoints[i].queue.next_due().is_some_and(|due| due <= now) {
                let Some(bytes) = self.endpoints[i].queue.dequeue() else { break };
                let sender = &self.endpoints[opposite];
                sender.socket.send_to(&bytes, sender.party_addr).ok();
                link.counters.held -= 1;
                link.counters.delivered += 1;
            }
            due_at(self.endpoints[i].queue.next_due());
        }
        for l in &mut self.listeners {
            let link = &mut links[l.link.0 * n + l.link.1];
            while let Ok((client, _)) = l.socket.accept() {
                l.streams_used += 2;
                let (lost, _) = l.sampler.sample(&link.fault);
                let directions = [0, 1].map(|offset| {
                    let (sampler, queue) = (
                        FaultSampler::new(self.seed, l.sampler.stream + l.streams_used + offset),
                        Queue::default(),
                    );
                    Direction {
                        sampler,
                        queue,
                        read_finished: false,
                        aborted: false,
                        finished: false,
                        write_blocked: false,
                    }
                });
                let connection = Connection {
                    link: l.link,
                    target: l.target,
                    client,
                    server: None,
                    connected: false,
                    directions,
                };
                let too_many = self.connections.len() >= MAX_CONNECTIONS;
                link.counters.dropped += u64::from(lost);
                link.counters.overflowed += u64::from(too_many && !lost);
                if lost || too_many || connection.client.set_nonblocking(true).is_err() {
                    connection.abort();
                } else {
                    self.connections.push(connection);
                }
            }
        }
        self.connections.retain_mut(|c| {
            let (to_target, to_client) = (c.link.0 * n + c.link.1, c.link.1 * n + c.link.0);
            let (mut forward, mut backward) = (links[to_target], links[to_client]);
            let result = c.step(&mut forward, &mut backward, now);
            (links[to_target], links[to_client]) = (forward, backward);
            if result.is_err() {
                c.abort();
                return false;
            }
            for (direction, l) in c.directions.iter().zip([forward, backward]) {
                if c.connected && !l.fault.cut && !l.fault.stall && !direction.write_blocked {
                    due_at(direction.queue.next_due());
                }
            }
            !c.directions.iter().all(|f| f.finished)
        });
        next
    }

    /// Waits until a socket is ready, a queue is due, or the relay has a command.
    fn wait(&self, next: Option<Instant>) {
        let mut fds = vec![PollFd::new(&self.wake_receiver, PollFlags::IN)];
        fds.extend(self.endpoints.iter().map(|datagrams| PollFd::new(&datagrams.socket, PollFlags::IN)));
        fds.extend(self.listeners.iter().map(|l| PollFd::new(&l.socket, PollFlags::IN)));
        // A socket with nothing to read or write is left out: poll would report the end of its connection
        // over and over.
        let mut poll_for = |end, read: bool, write: bool| {
            let mut events = PollFlags::empty();
            events.set(PollFlags::IN, read);
            events.set(PollFlags::OUT, write);
            if !events.is_empty() {
                fds.push(PollFd::from_borrowed_fd(end, events));
            }
        };
        for c in &self.connections {
            use std::os::fd::AsFd;
            let [outbound, inbound] = &c.directions;
            poll_for(c.client.as_fd(), outbound.can_read(), inbound.write_blocked);
            if let Some(server) = &c.server {
                poll_for(
                    server.as_fd(),
                    c.connected && inbound.can_read(),
                    outbound.write_blocked || !c.connected,
                );
            }
        }
        let timeout = next.map(|t| t.saturating_duration_since(Instant::now()));
        let timeout = timeout.and_then(|d| Timespec::try_from(d).ok());
        // An error is a signal or a lack of memory: the next round tries again.
        poll(&mut fds, timeout.as_ref()).ok();
    }
}
