//! A relay between the parties of a test, for UDP and TCP, with faults on each link and direction that may change while
//! it runs. It owns the sockets between them, in one thread, and the lots that say what is lost. It must never change a
//! byte, swap bytes of a stream, block on a party that stands still, or hold more than its bounds.
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

/// Bytes held of one link's datagrams, or of one direction of a connection.
const HELD: usize = 1 << 20;
/// What a datagram counts besides its bytes.
const EACH: usize = 64;
/// Connections open at a time.
const OPEN: usize = 256;
/// Datagrams or chunks taken of one socket before the others have their turn.
const TURN: usize = 64;

/// What befalls what one party sends to another. It acts on what the relay takes from now on.
///
/// A connection that `a` opened to `b` carries bytes both ways, each by the fault of its own direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Datagrams are lost. A connection's bytes wait, as the sender's system would repeat them, and a new connection
    /// comes to stand once neither direction is cut.
    pub cut: bool,
    /// Held until this ends, then delivered in the order they came.
    pub stall: bool,
    /// The share of datagrams, or of new connections (reset at once), that is lost: 0 to 1.
    pub drop: f64,
    pub delay: Duration,
    /// Up to as much later; datagrams may pass each other, bytes of a connection do not.
    pub jitter: Duration,
}

/// What became of one direction's datagrams and, where it says so, connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounters {
    /// Datagrams that wait for their time or the end of a stall now.
    pub held: u64,
    /// Datagrams handed on.
    pub delivered: u64,
    /// Datagrams and connections lost by lot.
    pub dropped: u64,
    /// Datagrams lost in a cut.
    pub cut: u64,
    /// Datagrams that found no room, connections that were too many, and times that a connection's sender had to wait
    /// because as much was held as may be (none of its bytes is lost).
    pub overflowed: u64,
    /// Datagrams of somebody who is not the party of this link: never handed on.
    pub unknown_sender: u64,
}

#[derive(Clone, Copy, Default)]
struct Link {
    fault: Fault,
    counters: LinkCounters,
}

/// The links of all parties, by `from * parties + to`.
type Links = Arc<Mutex<Vec<Link>>>;

enum Order {
    Doors(Vec<Door>),
    Listen(Box<Listener>),
    /// Aborts the connections of a link; says how many.
    Reset((usize, usize), Sender<usize>),
}

/// The relay. It ends with its thread and all connections when it is dropped.
///
/// Every second datagram or so from party 0 to party 1 is lost, those back are not:
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
/// // It comes from where party 0 sends to.
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
    orders: Option<Sender<Order>>,
    wake: UnixStream,
    thread: Option<JoinHandle<()>>,
    /// Streams of lots given so far.
    streams: AtomicU64,
}

impl Relay {
    /// A relay between as many parties, 0 and up. The same seed and calls give the same verdict for the n-th datagram of
    /// each link, whatever else happens and whatever was set for those before it.
    ///
    /// # Errors
    /// Where the system has no room for it.
    pub fn new(seed: u64, parties: usize) -> io::Result<Relay> {
        let links: Links = Arc::new(Mutex::new(vec![Link::default(); parties * parties]));
        let (wake, woken) = UnixStream::pair()?;
        wake.set_nonblocking(true)?;
        woken.set_nonblocking(true)?;
        let (orders, taken) = channel();
        let (doors, listeners, pipes) = (Vec::new(), Vec::new(), Vec::new());
        let worker =
            Worker { seed, parties, links: links.clone(), orders: taken, woken, doors, listeners, pipes };
        let thread = std::thread::Builder::new().name("relay".into()).spawn(move || worker.run())?;
        let streams = AtomicU64::new(0);
        Ok(Relay { seed, parties, links, orders: Some(orders), wake, thread: Some(thread), streams })
    }

    /// Relays datagrams between all parties, each of which sends from its own address and listens there. Gives, for each
    /// party, where it reaches each of them: `[i][j]` is what party `i` has to know party `j` by. What `j` sends comes to
    /// `i` from that very address. `[i][i]` is its own. Each kind of datagram (a socket of each party) is a call of its own.
    ///
    /// # Errors
    /// Where the system has no room for it.
    ///
    /// # Panics
    /// Unless there are as many addresses as parties.
    pub fn udp(&self, own: &[SocketAddr]) -> io::Result<Vec<Vec<SocketAddr>>> {
        assert_eq!(own.len(), self.parties, "an address for each party");
        let (mut at, mut doors) = (Vec::new(), Vec::new());
        for (i, own_i) in own.iter().enumerate() {
            let mut row = Vec::new();
            for j in 0..self.parties {
                // One for itself stands empty, so that the place of each is plain.
                let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
                socket.set_nonblocking(true)?;
                row.push(if i == j { *own_i } else { socket.local_addr()? });
                let (lots, queue) = (self.lots(), Queue::default());
                doors.push(Door { link: (i, j), socket, own: *own_i, lots, queue });
            }
            at.push(row);
        }
        self.order(Order::Doors(doors));
        Ok(at)
    }

    /// An address for party `from`, whose connections go on to `target`, a listening address of party `to`.
    ///
    /// # Errors
    /// Where the system has no room for it.
    pub fn tcp(&self, from: usize, to: usize, target: SocketAddr) -> io::Result<SocketAddr> {
        self.place(from, to);
        let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_nonblocking(true)?;
        let at = socket.local_addr()?;
        self.order(Order::Listen(Box::new(Listener {
            link: (from, to),
            socket,
            target,
            lots: self.lots(),
            taken: 0,
        })));
        Ok(at)
    }

    /// Sets what befalls what `from` sends to `to`. What has been taken before keeps its lateness.
    pub fn set_fault(&self, from: usize, to: usize, fault: Fault) {
        self.change_fault(from, to, |f| *f = fault);
    }

    /// The same for a part of it.
    pub fn change_fault(&self, from: usize, to: usize, change: impl FnOnce(&mut Fault)) {
        change(&mut lock(&self.links)[self.place(from, to)].fault);
        self.wake();
    }

    /// Sets all links at once.
    pub fn set_all_faults(&self, fault: impl Fn(usize, usize) -> Fault) {
        let set = |(i, l): (usize, &mut Link)| l.fault = fault(i / self.parties, i % self.parties);
        lock(&self.links).iter_mut().enumerate().for_each(set);
        self.wake();
    }

    /// Cuts both directions between each of these and each of those, at once; what else is set there stays.
    pub fn cut(&self, these: &[usize], those: &[usize]) {
        self.split(these, those, true);
    }

    /// Ends the cuts between them.
    pub fn heal(&self, these: &[usize], those: &[usize]) {
        self.split(these, those, false);
    }

    fn split(&self, these: &[usize], those: &[usize], cut: bool) {
        let mut links = lock(&self.links);
        for (a, b) in these.iter().flat_map(|a| those.iter().map(move |b| (*a, *b))) {
            links[self.place(a, b)].fault.cut = cut;
            links[self.place(b, a)].fault.cut = cut;
        }
        drop(links);
        self.wake();
    }

    /// Aborts, at both ends, all connections that `from` opened to `to`; says how many.
    pub fn reset(&self, from: usize, to: usize) -> usize {
        self.place(from, to);
        let (done, many) = channel();
        self.order(Order::Reset((from, to), done));
        many.recv().unwrap_or(0)
    }

    pub fn counters(&self, from: usize, to: usize) -> LinkCounters {
        lock(&self.links)[self.place(from, to)].counters
    }

    fn place(&self, from: usize, to: usize) -> usize {
        assert!(from < self.parties && to < self.parties, "no link from {from} to {to}");
        from * self.parties + to
    }

    fn lots(&self) -> Lots {
        Lots::new(self.seed, self.streams.fetch_add(1, Ordering::Relaxed) << 32)
    }

    fn order(&self, order: Order) {
        // The thread ends only with this relay.
        self.orders.as_ref().map(|o| o.send(order).ok());
        self.wake();
    }

    /// Where there is no room for it the thread has been woken already.
    fn wake(&self) {
        (&self.wake).write_all(&[1]).ok();
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.orders = None;
        self.wake();
        self.thread.take().map(JoinHandle::join);
    }
}

/// Lots of one socket or direction. Each thing takes two, needed or not: what is set never shifts those that follow.
struct Lots {
    rng: ChaCha8Rng,
    stream: u64,
}

impl Lots {
    fn new(seed: u64, stream: u64) -> Lots {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        Lots { rng, stream }
    }

    /// Whether it is lost, and how late it is otherwise.
    fn draw(&mut self, f: &Fault) -> (bool, Duration) {
        let mut unit = || (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        (unit() < f.drop, f.delay + f.jitter.mul_f64(unit()))
    }
}

/// What waits for its time, in the order it will go.
#[derive(Default)]
struct Queue {
    all: VecDeque<(Instant, Vec<u8>)>,
    held: usize,
}

impl Queue {
    fn put(&mut self, due: Instant, bytes: Vec<u8>) {
        self.held += bytes.len() + EACH;
        let place = self.all.partition_point(|(d, _)| *d <= due);
        self.all.insert(place, (due, bytes));
    }

    /// The time of the last one, if that is later: nothing put then passes another.
    fn behind(&self, due: Instant) -> Instant {
        self.all.back().map_or(due, |(d, _)| due.max(*d))
    }

    fn due(&self) -> Option<Instant> {
        self.all.front().map(|(d, _)| *d)
    }

    fn take(&mut self) -> Option<Vec<u8>> {
        let (_, bytes) = self.all.pop_front()?;
        self.held -= bytes.len() + EACH;
        Some(bytes)
    }
}

/// Where party `link.0` reaches party `link.1`, and what waits on that way.
struct Door {
    link: (usize, usize),
    socket: UdpSocket,
    own: SocketAddr,
    lots: Lots,
    queue: Queue,
}

impl Door {
    fn read(&mut self, l: &mut Link, now: Instant) {
        let mut buf = [0; 1 << 16];
        for _ in 0..TURN {
            let Ok((n, from)) = self.socket.recv_from(&mut buf) else { return };
            if from != self.own {
                l.counters.unknown_sender += 1;
                continue;
            }
            let (lost, late) = self.lots.draw(&l.fault);
            if l.fault.cut {
                l.counters.cut += 1;
            } else if lost {
                l.counters.dropped += 1;
            } else if self.queue.held + n + EACH > HELD {
                l.counters.overflowed += 1;
            } else {
                let due = if l.fault.stall { self.queue.behind(now) } else { now + late };
                self.queue.put(due, buf[..n].to_vec());
                l.counters.held += 1;
            }
        }
    }
}

struct Listener {
    link: (usize, usize),
    socket: TcpListener,
    target: SocketAddr,
    lots: Lots,
    taken: u64,
}

/// One direction of a connection; an empty chunk is its end.
struct Flow {
    lots: Lots,
    queue: Queue,
    /// All was read, up to an abort if it is broken; all was handed on, its end too.
    read: bool,
    broken: bool,
    done: bool,
    /// The receiver takes no more now.
    blocked: bool,
}

impl Flow {
    fn room(&self) -> bool {
        !self.read && self.queue.held < HELD
    }

    fn read(&mut self, mut from: &TcpStream, l: &mut Link, now: Instant) {
        let mut buf = [0; 16 << 10];
        for _ in 0..TURN {
            if !self.room() {
                return;
            }
            let n = match from.read(&mut buf) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Ok(n) => n,
                // An abort takes its time and is held like what came before it.
                Err(_) => {
                    self.broken = true;
                    0
                }
            };
            let (_, late) = self.lots.draw(&l.fault);
            self.queue.put(self.queue.behind(now + late), buf[..n].to_vec());
            self.read = n == 0;
            l.counters.overflowed += u64::from(self.queue.held >= HELD);
        }
    }

    fn write(&mut self, mut to: &TcpStream, f: &Fault, now: Instant) -> io::Result<()> {
        self.blocked = false;
        while !f.cut && !f.stall && self.queue.due().is_some_and(|due| due <= now) {
            let Some((_, bytes)) = self.queue.all.front_mut() else { break };
            if bytes.is_empty() {
                self.done = true;
                self.queue.take();
                if self.broken {
                    return Err(ErrorKind::ConnectionReset.into());
                }
                return to.shutdown(std::net::Shutdown::Write);
            }
            match to.write(bytes) {
                Ok(n) if n < bytes.len() => {
                    bytes.drain(..n);
                    self.queue.held -= n;
                }
                Ok(_) => drop(self.queue.take()),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.blocked = true;
                    return Ok(());
                }
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

/// A connection: the opener's end, the other one once it stands, and the bytes there and back.
struct Pipe {
    link: (usize, usize),
    target: SocketAddr,
    near: TcpStream,
    far: Option<TcpStream>,
    stands: bool,
    flows: [Flow; 2],
}

impl Pipe {
    /// What can be done now; an error ends both ends.
    fn step(&mut self, there: &mut Link, back: &mut Link, now: Instant) -> io::Result<()> {
        let Pipe { near, far, flows: [out, home], .. } = self;
        out.read(near, there, now);
        if far.is_none() && !there.fault.cut && !back.fault.cut {
            *far = Some(begin(self.target)?);
        }
        let Some(far) = far else { return Ok(()) };
        if !self.stands {
            if let Some(e) = far.take_error()? {
                return Err(e);
            }
            self.stands = far.peer_addr().is_ok();
        }
        if self.stands {
            out.write(far, &there.fault, now)?;
            home.read(far, back, now);
            home.write(near, &back.fault, now)?;
        }
        Ok(())
    }

    /// A close with an abort, not an end, at both ends.
    fn abort(&self) {
        for end in [Some(&self.near), self.far.as_ref()].into_iter().flatten() {
            sockopt::set_socket_linger(end, Some(Duration::ZERO)).ok();
        }
    }
}

/// A connection that begins; a target that takes none now must not hold up the others.
fn begin(target: SocketAddr) -> io::Result<TcpStream> {
    let family =
        if matches!(target.ip(), IpAddr::V4(_)) { AddressFamily::INET } else { AddressFamily::INET6 };
    let how = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = socket_with(family, SocketType::STREAM, how, None)?;
    match connect(&socket, &target) {
        Ok(()) | Err(Errno::INPROGRESS) => Ok(TcpStream::from(socket)),
        Err(e) => Err(e.into()),
    }
}

struct Worker {
    seed: u64,
    parties: usize,
    links: Links,
    orders: Receiver<Order>,
    woken: UnixStream,
    doors: Vec<Door>,
    listeners: Vec<Listener>,
    pipes: Vec<Pipe>,
}

impl Worker {
    fn run(mut self) {
        loop {
            while (&self.woken).read(&mut [0; 256]).is_ok_and(|n| n > 0) {}
            loop {
                match self.orders.try_recv() {
                    // All doors of a call stand together: `step` finds the way back by its place.
                    Ok(Order::Doors(d)) => self.doors.extend(d),
                    Ok(Order::Listen(l)) => self.listeners.push(*l),
                    Ok(Order::Reset(link, done)) => {
                        let before = self.pipes.len();
                        self.pipes.iter().filter(|p| p.link == link).for_each(Pipe::abort);
                        self.pipes.retain(|p| p.link != link);
                        done.send(before - self.pipes.len()).ok();
                    }
                    Err(TryRecvError::Empty) => break,
                    Err(TryRecvError::Disconnected) => return,
                }
            }
            let next = self.step();
            self.wait(next);
        }
    }

    /// Does what can be done now; says when more is due. Few sockets are here, so each is tried.
    fn step(&mut self) -> Option<Instant> {
        let (links, n, now) = (self.links.clone(), self.parties, Instant::now());
        let (mut links, mut next) = (lock(&links), None::<Instant>);
        let mut due_at = |due: Option<Instant>| next = next.into_iter().chain(due).min();
        for i in 0..self.doors.len() {
            let door = &mut self.doors[i];
            let (from, to) = door.link;
            let link = &mut links[from * n + to];
            door.read(link, now);
            if link.fault.stall {
                continue;
            }
            // What goes to a party leaves where that one reaches the sender.
            let back = i - (from * n + to) + to * n + from;
            while self.doors[i].queue.due().is_some_and(|due| due <= now) {
                let Some(bytes) = self.doors[i].queue.take() else { break };
                let back = &self.doors[back];
                back.socket.send_to(&bytes, back.own).ok();
                link.counters.held -= 1;
                link.counters.delivered += 1;
            }
            due_at(self.doors[i].queue.due());
        }
        for l in &mut self.listeners {
            let link = &mut links[l.link.0 * n + l.link.1];
            while let Ok((near, _)) = l.socket.accept() {
                l.taken += 2;
                let (lost, _) = l.lots.draw(&link.fault);
                let flows = [0, 1].map(|way| {
                    let (lots, queue) =
                        (Lots::new(self.seed, l.lots.stream + l.taken + way), Queue::default());
                    Flow { lots, queue, read: false, broken: false, done: false, blocked: false }
                });
                let pipe = Pipe { link: l.link, target: l.target, near, far: None, stands: false, flows };
                let many = self.pipes.len() >= OPEN;
                link.counters.dropped += u64::from(lost);
                link.counters.overflowed += u64::from(many && !lost);
                if lost || many || pipe.near.set_nonblocking(true).is_err() {
                    pipe.abort();
                } else {
                    self.pipes.push(pipe);
                }
            }
        }
        self.pipes.retain_mut(|p| {
            let (a, b) = (p.link.0 * n + p.link.1, p.link.1 * n + p.link.0);
            let (mut there, mut back) = (links[a], links[b]);
            let done = p.step(&mut there, &mut back, now);
            (links[a], links[b]) = (there, back);
            if done.is_err() {
                p.abort();
                return false;
            }
            for (flow, l) in p.flows.iter().zip([there, back]) {
                if p.stands && !l.fault.cut && !l.fault.stall && !flow.blocked {
                    due_at(flow.queue.due());
                }
            }
            !p.flows.iter().all(|f| f.done)
        });
        next
    }

    /// Waits until a socket can do something, a queue is due, or somebody calls.
    fn wait(&self, next: Option<Instant>) {
        let mut fds = vec![PollFd::new(&self.woken, PollFlags::IN)];
        fds.extend(self.doors.iter().map(|d| PollFd::new(&d.socket, PollFlags::IN)));
        fds.extend(self.listeners.iter().map(|l| PollFd::new(&l.socket, PollFlags::IN)));
        // A socket that nothing is wanted of is left out: its end would be told over and over.
        let mut want = |end, read: bool, write: bool| {
            let mut what = PollFlags::empty();
            what.set(PollFlags::IN, read);
            what.set(PollFlags::OUT, write);
            if !what.is_empty() {
                fds.push(PollFd::from_borrowed_fd(end, what));
            }
        };
        for p in &self.pipes {
            use std::os::fd::AsFd;
            let [out, home] = &p.flows;
            want(p.near.as_fd(), out.room(), home.blocked);
            if let Some(far) = &p.far {
                want(far.as_fd(), p.stands && home.room(), out.blocked || !p.stands);
            }
        }
        let left = next.map(|t| t.saturating_duration_since(Instant::now()));
        let left = left.and_then(|d| Timespec::try_from(d).ok());
        // An error here is a signal's, or a lack of memory: the next round tries again.
        poll(&mut fds, left.as_ref()).ok();
    }
}
