//! The node: joins the planner to the fronts and the caches, and guards the places of clients. It owns the one borrow of
//! the planner and the task of its timers. It must never hold that borrow across an await.
use crate::caches::{CachePool, PoolOwner, PoolTransport};
use crate::calls;
use crate::config::Config;
use crate::net::{self, log, now, sleep_until, Signal};
use crate::start_times::StartTimes;
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::FutureExt;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::net::{SocketAddr, TcpStream};
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::rc::Rc;
use threadward_core::{
    bans::Bans, stages::admit::Limits, Addr, AttemptEnd, Counter, Micros, Outcome, Planner, Report,
};

/// New connections and requests keep coming for so long after SIGTERM.
const LATE_ARRIVALS: Micros = 900_000;
/// The platform's SIGKILL comes after SIGTERM by the longest deadline, counted as this where it is longer, and so much
/// more. By these before it, connections that rest are let go, the last answer is made, and the program has ended.
const KILLED: Micros = 3_000_000;
const GRACE: Micros = 700_000;
const LET_GO: Micros = 350_000;
const LAST_ANSWER: Micros = 200_000;
const LAST_CLOSE: Micros = 60_000;

/// Descriptors are divided here. Half of the limit is for the clients' connections, and one in so many beside it for those
/// whose writing we ended and that still linger; the pool is given what is left of the other half after a fixed number
/// for the program itself (`OTHERS` there): listeners, signals, the bulletin, one connection that is just accepted. No
/// client ever gets one of these, so that the bulletin and the caches are reached however many there are.
const LINGERING: usize = 32;
/// So long after we ended writing a connection is closed, though its client has not closed it.
const LINGER: Micros = 750_000;

/// A client's connection, as what guards the descriptors sees it. Its own task keeps it up to date.
pub struct ClientConnection {
    number: u64,
    opened: Micros,
    /// Whether it was ever answered, and since when it is owed nothing.
    answered: Cell<bool>,
    since: Cell<Micros>,
    busy: Cell<bool>,
    /// When the message that is coming in began (the end of time: none is), and when bytes of it last came.
    begun: Cell<Micros>,
    heard: Cell<Micros>,
    /// Bytes were read of which not all messages are made out.
    reading: Cell<bool>,
    /// When it was asked to make room for another, and since when the process ends or gives way (the end of time: not at
    /// all). Once nothing is owed, this connection goes for either.
    asked_to_go: Cell<Micros>,
    leaving: Cell<Micros>,
    /// A message that is coming in is heard out until then.
    heard_out: Cell<Micros>,
    /// It lingers, and makes room for another that does.
    cut: Cell<bool>,
    signal: Signal,
}

/// A message of which nothing more comes for so long, or a client that asks nothing for as long at first, is closed: a
/// silent connection must not hold a descriptor.
const PATIENCE: Micros = 2_000_000;
/// A message has to be whole so long after its first byte, however slowly it comes: longer than any client waits.
const WHOLE: Micros = 10_000_000;
/// A client that came, or was heard, so lately is not taken for silent.
const FRESH: Micros = 500_000;
/// A look again at a connection that is to go but has unread bytes, and after how many looks it goes all the same: what
/// keeps coming and asks nothing must not hold a place.
const UNREAD: Micros = 2_000;
const LOOKS: u32 = 25;
/// A client that was answered may be idle for so long. The usual ones close sooner, so nothing crosses this close.
const IDLE: Micros = 6_000_000;

impl ClientConnection {
    /// Tells whether anything is owed.
    pub fn set_busy(&self, busy: bool) {
        if self.busy.replace(busy) && !busy {
            self.since.set(now());
            if self.leaving.get().min(self.asked_to_go.get()) < Micros::MAX {
                self.signal.notify();
            }
        }
    }
    pub fn set_answered(&self) {
        self.answered.set(true);
    }
    /// Tells whether a message is coming in.
    pub fn set_receiving(&self, some: bool) {
        if !some {
            return self.begun.set(Micros::MAX);
        }
        self.heard.set(now());
        if self.begun.get() == Micros::MAX {
            self.begun.set(now());
        }
    }
    /// Tells whether messages are being made out of what was read. A look whether it goes is due when they are.
    pub fn set_parsing(&self, some: bool) {
        self.reading.set(some);
        if !some && now() >= self.goes() {
            self.signal.notify();
        }
    }
    fn closes(&self) -> Micros {
        match (self.begun.get(), self.answered.get()) {
            // What is owed is owed, whatever else the client begins and does not end.
            _ if self.busy.get() => Micros::MAX,
            (Micros::MAX, true) => self.since.get() + IDLE,
            (Micros::MAX, false) => self.opened.max(self.since.get()) + PATIENCE,
            (begun, _) => (self.heard.get() + PATIENCE).min(begun + WHOLE).min(self.heard_out.get()),
        }
    }
    /// Who makes room first, of those that are owed nothing: the silent, then those answered, the longest idle before the
    /// others. One that has just come is about to ask, and one whose message is coming in has nearly asked: they go last.
    fn rank(&self, at: Micros) -> (u8, Micros) {
        let since = self.since.get().max(self.heard.get());
        let fresh = since >= at.saturating_sub(FRESH);
        match (self.answered.get(), self.begun.get() < Micros::MAX) {
            (false, _) | (true, true) if fresh => (2, since),
            (false, _) => (0, since),
            (true, _) => (1, since),
        }
    }
    fn make_room(&self) {
        self.asked_to_go.set(now());
        self.signal.notify();
    }
    /// The process ends, or gives way to another.
    fn let_go(&self, heard_out: Micros) {
        self.leaving.set(now());
        self.heard_out.set(heard_out);
        self.signal.notify();
    }
    /// Asked to make room, and about to: it is owed nothing.
    fn making_room(&self) -> bool {
        self.asked_to_go.get() < Micros::MAX && !self.busy.get()
    }
    /// When it is to go, as things are.
    fn goes(&self) -> Micros {
        let asked = if self.busy.get() { Micros::MAX } else { self.asked_to_go.get() };
        asked.min(self.closes()).min(self.lets_go())
    }
    /// When a process that ends or gives way lets it go, if it is owed nothing: one that has just come is about to ask, and
    /// its request must not cross the close.
    fn lets_go(&self) -> Micros {
        let idle = !self.busy.get() && self.begun.get() == Micros::MAX;
        match (idle, self.answered.get()) {
            (false, _) => Micros::MAX,
            (true, true) => self.leaving.get(),
            (true, false) => self.leaving.get().max(self.opened + FRESH),
        }
    }
    /// Returns once the connection is to be closed: overdue, or the longest idle when descriptors are short. `unread`:
    /// whether bytes wait to be read; they come first, and so do those not made out yet, as a request that has come whole
    /// is taken.
    pub async fn wait_until_due(&self, unread: impl Fn() -> bool) {
        let mut looks = 0;
        loop {
            let at = self.goes();
            // States change without a word; a look now and then costs less than a sign for each change.
            let next = if now() < at {
                looks = 0;
                at.min(now() + PATIENCE / 4)
            } else if self.reading.get() {
                now() + UNREAD
            } else if unread() && looks < LOOKS {
                looks += 1;
                now() + UNREAD
            } else {
                return;
            };
            sleep_until(next).or(self.signal.wait()).await;
        }
    }
}

/// A place among the clients' connections; given back when dropped, which has to be with the connection.
pub struct ConnectionSlot(Rc<Node>, pub Rc<ClientConnection>);

impl ConnectionSlot {
    /// Closes a connection in order, from which nothing is handed on any more: ends writing, then reads on and discards up
    /// to a bounded end. It lingers meanwhile, and may be cut where too many do.
    pub async fn close(&self, stream: &Async<TcpStream>) {
        let ConnectionSlot(node, guest) = self;
        if node.guests.borrow_mut().remove(&guest.number).is_some() {
            node.lingering.borrow_mut().push_back(guest.clone());
        }
        node.fits(0);
        node.room.notify();
        let cut = async {
            while !guest.cut.get() {
                guest.signal.wait().await;
            }
        };
        net::shutdown_and_drain(stream, now() + LINGER).or(cut).await;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let ConnectionSlot(node, guest) = self;
        node.guests.borrow_mut().remove(&guest.number);
        node.lingering.borrow_mut().retain(|g| !Rc::ptr_eq(g, guest));
        node.room.notify();
    }
}

pub struct Node {
    pub config: Config,
    pub pool: Rc<CachePool>,
    planner: RefCell<Planner>,
    armed: Cell<Micros>,
    timers: Signal,
    executor: &'static LocalExecutor<'static>,
    /// Where the bulletin is, as the configuration has it now, and a sign that it moved.
    pub discovery_addr: Cell<SocketAddr>,
    pub discovery_moved: Signal,
    /// Number of the last event that was applied, and of the last that came out of turn.
    pub last_event: Cell<u64>,
    pub out_of_order_event: Cell<u64>,
    /// The number at which one that could not be read was asked for again.
    pub reread_event: Cell<u64>,
    /// All that the bulletin had told by then was heard; nothing before the first time.
    pub caught_up_at: Cell<Option<Micros>>,
    /// When the listed servers started.
    pub start_times: RefCell<StartTimes>,
    /// The bulletin was heard since the start.
    pub discovery_heard: Cell<bool>,
    /// What the staff took out.
    pub bans: RefCell<Bans>,
    /// When the order to end came.
    pub stopping: Cell<Option<Micros>>,
    /// Another process has taken over: no new connections, and those there go once nothing is owed on them.
    pub handing_over: Cell<bool>,
    pub handover_started: Signal,
    /// Processes that share the limits, this one among them.
    sharers: Cell<usize>,
    /// Connections of clients that are open, of all fronts, and answers not yet written to them.
    guests: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    guest: Cell<u64>,
    /// Those whose writing we ended, the oldest first, and a sign that a place or a descriptor came free.
    lingering: RefCell<VecDeque<Rc<ClientConnection>>>,
    room: Signal,
    pub unwritten_answers: Cell<usize>,
    pub unwritten_bytes: Cell<usize>,
    /// Proxies live by own proof, and members suspect by hearsay; 0 without gossip.
    pub live_peers: Cell<usize>,
    pub suspected_count: Cell<usize>,
}

impl Node {
    pub fn new(config: Config, executor: &'static LocalExecutor<'static>) -> Rc<Node> {
        let pool = CachePool::new(config.names.clone(), beside_lingering(config.max_sockets));
        let limits = Limits {
            max_open: config.names.max_open,
            max_bytes: config.memory_bytes / 4,
            retry_after: 250_000,
        };
        let planner =
            Planner::new(config.settings.clone(), config.seed, limits, Box::new(PoolTransport(pool.clone())));

        let node = Rc::new(Node {
            discovery_addr: Cell::new(config.discovery_addr),
            discovery_moved: Signal::default(),
            last_event: Cell::new(config.last_known_event),
            out_of_order_event: Cell::new(0),
            reread_event: Cell::new(0),
            caught_up_at: Cell::new(None),
            start_times: RefCell::default(),
            discovery_heard: Cell::new(false),
            bans: RefCell::new(Bans::new(config.settings.origin_kind)),
            handing_over: Cell::new(false),
            handover_started: Signal::default(),
            sharers: Cell::new(1),
            config,
            pool,
            planner: RefCell::new(planner),
            armed: Cell::new(0),
            timers: Signal::default(),
            executor,
            stopping: Cell::new(None),
            guests: RefCell::default(),
            guest: Cell::new(0),
            lingering: RefCell::default(),
            room: Signal::default(),
            unwritten_answers: Cell::new(0),
            unwritten_bytes: Cell::new(0),
            live_peers: Cell::new(0),
            suspected_count: Cell::new(0),
        });
        let home: Rc<dyn PoolOwner> = node.clone();
        node.pool.set_owner(&home);
        let n = node.clone();
        node.spawn_restarting("timers", move || {
            let n = n.clone();
            async move { n.run_timers().await }
        });
        node
    }

    /// Memory that answers hold: what waits for clients, and what is still coming in from caches.
    pub fn held_bytes(&self) -> usize {
        self.unwritten_bytes.get() + self.pool.buffered_bytes.get()
    }

    /// Connections of clients that are open.
    pub fn client_count(&self) -> usize {
        self.guests.borrow().len()
    }

    /// Those and the ones that linger: each holds a descriptor.
    pub fn connection_count(&self) -> usize {
        self.client_count() + self.lingering.borrow().len()
    }

    fn places(&self) -> usize {
        (self.config.max_sockets / 2 / self.sharers.get()).max(1)
    }

    /// So many processes share the limits, this one among them. Clients that are owed nothing go for it.
    pub fn set_process_count(&self, of: usize) {
        self.sharers.set(of);
        self.pool.share_descriptors(beside_lingering(self.config.max_sockets), of);
        self.plan(|p, _| p.share_limits(of, self.config.memory_bytes / 4 / of));

        let (guests, at) = (self.guests.borrow(), now());
        let idle = guests.values().filter(|g| !g.busy.get() && g.asked_to_go.get() == Micros::MAX);
        let mut idle: Vec<&Rc<ClientConnection>> = idle.collect();
        idle.sort_by_key(|g| g.rank(at));
        for g in idle.into_iter().take(guests.len().saturating_sub(self.places())) {
            g.make_room();
        }
        drop(guests);
        self.fits(0);
    }

    /// Whether so many more connections fit beside those that are open or linger; else the oldest that linger are cut.
    fn fits(&self, more: usize) -> bool {
        let lingering = self.lingering.borrow();
        let most = self.places() + (self.config.max_sockets / LINGERING / self.sharers.get()).max(1);
        let over = (self.client_count() + lingering.len() + more).saturating_sub(most);
        for g in lingering.iter().take(over) {
            g.cut.set(true);
            g.signal.notify();
        }
        over == 0
    }

    /// Another process serves at the same address: leaves new connections to it, and lets those here go.
    pub fn hand_over(&self) {
        if self.handing_over.replace(true) {
            return;
        }
        log(&format!("stop: gives way to another process, {} connections of clients", self.client_count()));
        self.count(Counter::HandedOver);
        self.handover_started.notify();
        self.let_go();
    }

    /// Lets all connections go once nothing is owed on them.
    fn let_go(&self) {
        self.guests.borrow().values().for_each(|g| g.let_go(self.latest_answer_time()));
    }

    /// The longest deadline of any class.
    pub fn longest_deadline(&self) -> Micros {
        self.config.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0)
    }

    /// When the platform kills this process: the end of time before the order to end.
    fn killed(&self) -> Micros {
        self.stopping.get().map_or(Micros::MAX, |from| from + self.longest_deadline().min(KILLED) + GRACE)
    }

    /// The latest time that a request may be answered at: a process that ends is killed after a while.
    pub fn latest_answer_time(&self) -> Micros {
        match self.killed() {
            Micros::MAX => Micros::MAX,
            killed => killed - LAST_ANSWER,
        }
    }

    /// A place for a new client, once there is one: all that hold a descriptor are counted, so that there are never more
    /// than meant. When half of the descriptors are in use, one that is owed nothing goes for it, those never answered
    /// first, then the longest idle: silent connections must not keep the usual clients out. Nothing where all are owed.
    pub async fn admit_client(self: &Rc<Self>) -> Option<ConnectionSlot> {
        let mut asked = None;
        while self.makes_room(&mut asked) {
            if self.client_count() < self.places() && self.fits(1) {
                return Some(self.seat());
            }
            // Those that go have their turns meanwhile.
            sleep_until(now() + UNREAD).or(self.room.wait()).await;
        }
        self.count(Counter::TurnedAway);
        None
    }

    /// Asks one to go where all places are taken, unless the one `asked` before is about to; false where none can.
    fn makes_room(&self, asked: &mut Option<Rc<ClientConnection>>) -> bool {
        let (guests, at) = (self.guests.borrow(), now());
        // One that was asked may have been about to ask, and stays for its answer.
        let waits = asked.as_ref().is_some_and(|g| guests.contains_key(&g.number) && g.making_room());
        if guests.len() < self.places() || waits {
            return true;
        }
        let idle = guests.values().filter(|g| !g.busy.get() && g.asked_to_go.get() == Micros::MAX);
        let Some(first) = idle.min_by_key(|g| g.rank(at)) else {
            return guests.values().any(|g| g.making_room());
        };
        first.make_room();
        *asked = Some(first.clone());
        self.count(Counter::Evicted);
        true
    }

    fn seat(self: &Rc<Self>) -> ConnectionSlot {
        let (number, at) = (self.guest.replace(self.guest.get() + 1), now());
        let guest = Rc::new(ClientConnection {
            number,
            opened: at,
            answered: Cell::new(false),
            since: Cell::new(at),
            busy: Cell::new(false),
            begun: Cell::new(Micros::MAX),
            heard: Cell::new(at),
            reading: Cell::new(false),
            asked_to_go: Cell::new(Micros::MAX),
            leaving: Cell::new(Micros::MAX),
            heard_out: Cell::new(Micros::MAX),
            cut: Cell::new(false),
            signal: Signal::default(),
        });
        if self.handing_over.get() || self.refuses_new_requests() {
            guest.let_go(self.latest_answer_time());
        }
        self.guests.borrow_mut().insert(number, guest.clone());
        self.count(Counter::Accepted);
        ConnectionSlot(self.clone(), guest)
    }

    /// Whether the program is so far into its end that nothing new is taken: clients have gone elsewhere by then.
    pub fn refuses_new_requests(&self) -> bool {
        let late = |from: Micros| now() > (from + LATE_ARRIVALS).min(self.killed() - LET_GO);
        !self.handing_over.get() && self.stopping.get().is_some_and(late)
    }

    /// Waits, after the order to end, until all that was taken is answered and written, late arrivals have stopped, and
    /// all clients have left or were let go: those that rest wait for us to end it. What was taken before the order is
    /// waited for longer than the connections are.
    pub async fn wait_until_drained(&self) {
        let latest = now() + self.longest_deadline().max(KILLED) + 600_000;
        let mut let_go = false;
        while now() < latest {
            if self.refuses_new_requests() && !std::mem::replace(&mut let_go, true) {
                self.let_go();
            }
            let owed = self.plan(|p, _| p.open_requests()) + self.unwritten_answers.get() > 0;
            let lasts = self.handing_over.get() || now() < self.killed() - LAST_CLOSE;
            let late = self.connection_count() > 0 && lasts
                || !(self.handing_over.get() || self.refuses_new_requests());
            if !late && !owed {
                return;
            }
            sleep_until(now() + 20_000).await;
        }
    }

    /// Takes over what a running program can of a configuration that was read anew, and says so in a line.
    pub fn reload(&self, new: &Config) -> String {
        let moved = self.discovery_addr.replace(new.discovery_addr) != new.discovery_addr;
        self.discovery_moved.notify();
        let what = if moved { "moved to" } else { "stays at" };
        let line = format!("bulletin {what} {}, last event {}", new.discovery_addr, self.last_event.get());
        match self.config.restart_only_changes(new) {
            fixed if fixed.is_empty() => line,
            fixed => format!("{line}; only a restart changes {}", fixed.join(", ")),
        }
    }

    /// One call into the planner. Wakes the timers where an earlier one was armed.
    pub fn plan<R>(&self, f: impl FnOnce(&mut Planner, Micros) -> R) -> R {
        let mut planner = self.planner.borrow_mut();
        let result = f(&mut planner, now());
        if planner.next_due().is_some_and(|at| at < self.armed.get()) {
            self.timers.notify();
        }
        result
    }

    pub fn count(&self, c: Counter) {
        self.planner.borrow_mut().counters.add(c);
    }

    /// All counters as one line.
    pub fn counters_line(&self) -> String {
        self.update_call_counters();
        self.plan(|p, _| p.counters.line())
    }

    /// Takes over what is counted outside of the planner.
    pub fn update_call_counters(&self) {
        self.plan(|p, _| p.counters.set(Counter::CallsRetried, calls::retried_calls()));
    }

    /// Starts a task; a panic ends that task alone and is counted.
    pub fn spawn(self: &Rc<Self>, what: &'static str, task: impl Future<Output = ()> + 'static) {
        let node = self.clone();
        let guarded = async move {
            if AssertUnwindSafe(task).catch_unwind().await.is_err() {
                log(&format!("panic: the task '{what}' ended by a panic"));
                node.count(Counter::Panics);
            }
        };
        self.executor.spawn(guarded).detach();
    }

    /// Starts a task that the program cannot do without: after a panic it is made anew.
    pub fn spawn_restarting<F: Future<Output = ()> + 'static>(
        self: &Rc<Self>,
        what: &'static str,
        make: impl Fn() -> F + 'static,
    ) {
        let node = self.clone();
        let kept = async move {
            while AssertUnwindSafe(make()).catch_unwind().await.is_err() {
                log(&format!("panic: the task '{what}' ended by a panic and starts again"));
                node.count(Counter::Panics);
                sleep_until(now() + 10_000).await;
            }
        };
        self.executor.spawn(kept).detach();
    }

    async fn run_timers(&self) {
        loop {
            self.plan(|p, now| p.run_timers(now));
            let next = self.planner.borrow().next_due().unwrap_or(Micros::MAX);
            self.armed.set(next);
            if next == Micros::MAX {
                self.timers.wait().await;
            } else {
                sleep_until(next).or(self.timers.wait()).await;
            }
        }
    }
}

/// The limit on descriptors as the pool halves it, so that its half leaves those of lingering connections out.
fn beside_lingering(sockets: usize) -> usize {
    sockets - 2 * (sockets / LINGERING).max(1).min(sockets / 2)
}

/// What the pool reports.
impl PoolOwner for Node {
    fn spawn_task(self: Rc<Self>, what: &'static str, task: Pin<Box<dyn Future<Output = ()>>>) {
        self.spawn(what, task);
    }
    fn report_attempt_end(&self, request: u64, attempt: u16, end: AttemptEnd) {
        self.plan(|p, now| p.attempt_ended(now, request, attempt, end));
    }
    fn epoch(&self) -> u64 {
        self.plan(|p, _| p.epoch())
    }
    fn client_waits(&self, request: u64) -> bool {
        self.plan(|p, _| p.client_waits(request))
    }
    fn count(&self, c: Counter) {
        Node::count(self, c);
    }
    fn report_probe_end(&self, member: Addr, outcome: Outcome, report: Report) {
        self.plan(|p, now| p.probe_ended(now, member, outcome, report));
    }
}
