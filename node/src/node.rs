//! The node, which connects the planner with the front ends and the pool of cache connections.
//!
//! All calls into the planner go through [`Node::plan`], whose borrow ends before the next await; a task runs
//! the planner's timers.
use crate::admission::without_lingering;
use crate::caches::{CachePool, PoolOwner, PoolTransport};
use crate::calls;
use crate::client_connection::ClientConnection;
use crate::config::Config;
use crate::discovery_sharing::DiscoverySharing;
use crate::net::{log, now, sleep_until, OutgoingAnswer, Signal};
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

/// How long after SIGTERM new connections and requests still arrive and are taken.
const LATE_ARRIVAL_PERIOD: Micros = 900_000;
/// The platform sends SIGKILL after SIGTERM by the longest deadline of a class, counted as at most this, plus
/// [`GRACE`].
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// Time that the platform adds to the longest deadline before it sends SIGKILL.
const SIGKILL_GRACE: Micros = 700_000;
/// Idle connections are released at least so long before SIGKILL.
const RELEASE_MARGIN: Micros = 350_000;
/// The last answer is made at least so long before SIGKILL.
const ANSWER_MARGIN: Micros = 200_000;
/// The program has ended at least so long before SIGKILL.
const EXIT_MARGIN: Micros = 60_000;

/// An answer that has not been written to its client yet. It counts in the totals of the node for as long as
/// it exists, also where a task is dropped: otherwise its bytes would count as held for ever and admission
/// control would refuse requests.
pub struct UnwrittenAnswer {
    node: Rc<Node>,
    answer: OutgoingAnswer,
}

impl UnwrittenAnswer {
    /// Adds an answer to the totals.
    pub fn new(node: &Rc<Node>, answer: OutgoingAnswer) -> UnwrittenAnswer {
        node.unwritten_answers.set(node.unwritten_answers.get() + 1);
        node.unwritten_bytes.set(node.unwritten_bytes.get() + answer.memory_bytes());
        UnwrittenAnswer { node: node.clone(), answer }
    }

    /// Writes the answer to a client. Returns false if the connection fails or the client stalls first.
    pub async fn write(self, client: &ClientConnection, stream: &Async<TcpStream>) -> bool {
        client.delivery.write(stream, &self.answer).await
    }
}

impl Drop for UnwrittenAnswer {
    fn drop(&mut self) {
        self.node.unwritten_answers.set(self.node.unwritten_answers.get() - 1);
        self.node.unwritten_bytes.set(self.node.unwritten_bytes.get() - self.answer.memory_bytes());
    }
}

/// The state shared by the tasks of one proxy process.
pub struct Node {
    pub config: Config,
    pub pool: Rc<CachePool>,
    planner: RefCell<Planner>,
    armed_for: Cell<Micros>,
    timers_changed: Signal,
    executor: &'static LocalExecutor<'static>,
    /// Address of the discovery service, as the configuration has it now.
    pub discovery_addr: Cell<SocketAddr>,
    /// Notified when a reload has set that address.
    pub discovery_moved: Signal,
    /// Number of the last discovery event that was applied.
    pub last_event: Cell<u64>,
    /// Number of the event that was awaited when the last one out of order arrived.
    pub out_of_order_event: Cell<u64>,
    /// Number from which events were requested again, after one that could not be read.
    pub reread_event: Cell<u64>,
    /// By this time everything that the discovery service had sent was received; `None` before the first
    /// time.
    pub caught_up_at: Cell<Option<Micros>>,
    /// When the listed cache servers started.
    pub start_times: RefCell<StartTimes>,
    /// Whether the discovery service was heard from since the start.
    pub discovery_heard: Cell<bool>,
    /// Events of discovery that the processes of this proxy share.
    pub discovery_sharing: DiscoverySharing,
    /// The cache servers that operators took out of use.
    pub bans: RefCell<Bans>,
    /// When SIGTERM arrived.
    pub stopping: Cell<Option<Micros>>,
    /// Whether another process has taken over: no new connections are accepted, and open ones close once no
    /// answer is due on them.
    pub handing_over: Cell<bool>,
    pub handover_started: Signal,
    /// Number of processes that share the limits, including this one.
    pub(crate) process_count: Cell<usize>,
    /// Open connections of clients, of all front ends.
    pub(crate) open_clients: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    pub(crate) next_number: Cell<u64>,
    /// Connections on which writing has ended, the oldest first.
    pub(crate) lingering: RefCell<VecDeque<Rc<ClientConnection>>>,
    /// Notified when a slot or a descriptor became free.
    pub(crate) slot_freed: Signal,
    /// Number of answers not yet written to clients, and their bytes.
    pub unwritten_answers: Cell<usize>,
    pub unwritten_bytes: Cell<usize>,
    /// Bytes of memory that hold what clients have sent and that is not handled yet.
    pub(crate) receive_bytes: Cell<usize>,
    /// Number of other proxies that this one has itself found live; 0 without gossip.
    pub live_peers: Cell<usize>,
    /// Number of members suspected because of other proxies' reports; 0 without gossip.
    pub suspected_count: Cell<usize>,
}

impl Node {
    /// Creates the node with its planner and pool, and starts the task of the planner's timers.
    pub fn new(config: Config, executor: &'static LocalExecutor<'static>) -> Rc<Node> {
        let pool = CachePool::new(config.names.clone(), without_lingering(config.max_sockets));
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
            discovery_sharing: DiscoverySharing::default(),
            bans: RefCell::new(Bans::new(config.settings.origin_kind)),
            handing_over: Cell::new(false),
            handover_started: Signal::default(),
            process_count: Cell::new(1),
            config,
            pool,
            planner: RefCell::new(planner),
            armed_for: Cell::new(0),
            timers_changed: Signal::default(),
            executor,
            stopping: Cell::new(None),
            open_clients: RefCell::default(),
            next_number: Cell::new(0),
            lingering: RefCell::default(),
            slot_freed: Signal::default(),
            unwritten_answers: Cell::new(0),
            unwritten_bytes: Cell::new(0),
            receive_bytes: Cell::new(0),
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

    /// Returns the bytes of memory that answers hold: those waiting to be written to clients and those still
    /// arriving from caches.
    pub fn held_bytes(&self) -> usize {
        self.unwritten_bytes.get() + self.pool.buffered_bytes.get()
    }

    /// Sets the number of processes that share the limits, including this one. Clients beyond the new limit
    /// are evicted if no answer is due to them.
    pub fn set_process_count(&self, processes: usize) {
        self.process_count.set(processes);
        self.pool.share_descriptors(without_lingering(self.config.max_sockets), processes);
        self.plan(|p, _| p.share_limits(processes, self.config.memory_bytes / 4 / processes));
        self.evict_beyond_limit();
    }

    /// Hands over to another process that serves at the same address: leaves new connections to it, and
    /// closes the open ones once no answer is due on them.
    pub fn hand_over(&self) {
        if self.handing_over.replace(true) {
            return;
        }
        log(&format!("stop: gives way to another process, {} connections of clients", self.client_count()));
        self.count(Counter::HandedOver);
        self.handover_started.notify();
        self.release_connections();
    }

    /// Asks all connections to close once no answer is due on them.
    fn release_connections(&self) {
        self.open_clients.borrow().values().for_each(|g| g.release_when_idle(self.latest_answer_time()));
    }

    /// Returns the longest deadline of any class.
    pub fn longest_deadline(&self) -> Micros {
        self.config.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0)
    }

    /// Returns when the platform sends SIGKILL to this process; `Micros::MAX` before SIGTERM.
    fn sigkill_at(&self) -> Micros {
        self.stopping.get().map_or(Micros::MAX, |from| {
            from + self.longest_deadline().min(MAX_COUNTED_DEADLINE) + SIGKILL_GRACE
        })
    }

    /// Returns the latest time at which a request may be answered, as a process that ends is killed after a
    /// while. `Micros::MAX` before SIGTERM.
    pub fn latest_answer_time(&self) -> Micros {
        match self.sigkill_at() {
            Micros::MAX => Micros::MAX,
            sigkill_at => sigkill_at - ANSWER_MARGIN,
        }
    }

    /// Returns whether SIGTERM came so long ago that new requests are refused: clients use another proxy by
    /// then. Never true while another process takes over.
    pub fn refuses_new_requests(&self) -> bool {
        let late =
            |from: Micros| now() > (from + LATE_ARRIVAL_PERIOD).min(self.sigkill_at() - RELEASE_MARGIN);
        !self.handing_over.get() && self.stopping.get().is_some_and(late)
    }

    /// Waits, after SIGTERM, until all requests taken are answered and delivered, late arrivals have stopped,
    /// and all clients have left or were asked to: idle clients wait for the proxy to close. Answers to
    /// requests taken before SIGTERM are waited for longer than connections are.
    pub async fn wait_until_drained(&self) {
        let latest = now() + self.longest_deadline().max(MAX_COUNTED_DEADLINE) + 600_000;
        let mut released = false;
        while now() < latest {
            if self.refuses_new_requests() && !std::mem::replace(&mut released, true) {
                self.release_connections();
            }
            let answers_due = self.plan(|p, _| p.open_requests()) + self.unwritten_answers.get() > 0
                || self.open_clients.borrow().values().any(|g| g.is_undelivered());
            let before_exit = self.handing_over.get() || now() < self.sigkill_at() - EXIT_MARGIN;
            let late = self.connection_count() > 0 && before_exit
                || !(self.handing_over.get() || self.refuses_new_requests());
            if !late && !answers_due {
                return;
            }
            sleep_until(now() + 20_000).await;
        }
    }

    /// Applies what a running program can apply of a configuration that was read again. Returns a line for
    /// the log that says what was applied and what needs a restart.
    pub fn reload(&self, new: &Config) -> String {
        let moved = self.discovery_addr.replace(new.discovery_addr) != new.discovery_addr;
        self.discovery_moved.notify();
        let place = if moved { "moved to" } else { "stays at" };
        let line = format!("bulletin {place} {}, last event {}", new.discovery_addr, self.last_event.get());
        match self.config.restart_only_changes(new) {
            fixed if fixed.is_empty() => line,
            fixed => format!("{line}; only a restart changes {}", fixed.join(", ")),
        }
    }

    /// Calls the planner. Wakes the task of the timers if an earlier timer was set.
    pub fn plan<R>(&self, f: impl FnOnce(&mut Planner, Micros) -> R) -> R {
        let mut planner = self.planner.borrow_mut();
        let result = f(&mut planner, now());
        if planner.next_due().is_some_and(|at| at < self.armed_for.get()) {
            self.timers_changed.notify();
        }
        result
    }

    /// Adds one to a counter.
    pub fn count(&self, c: Counter) {
        self.planner.borrow_mut().counters.add(c);
    }

    /// Returns all counters as one line, with those kept outside of the planner brought up to date.
    pub fn counters_line(&self) -> String {
        self.update_call_counters();
        self.plan(|p, _| p.counters.line())
    }

    /// Copies the counter of retried system calls, which is kept outside of the planner, into its counters.
    pub fn update_call_counters(&self) {
        self.plan(|p, _| p.counters.set(Counter::CallsRetried, calls::retried_calls()));
    }

    /// Starts a task. A panic ends that task alone, and is counted.
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

    /// Starts a task that the program cannot do without: after a panic, which is counted, it is created
    /// again.
    pub fn spawn_restarting<F: Future<Output = ()> + 'static>(
        self: &Rc<Self>,
        what: &'static str,
        make: impl Fn() -> F + 'static,
    ) {
        let node = self.clone();
        let restarting = async move {
            while AssertUnwindSafe(make()).catch_unwind().await.is_err() {
                log(&format!("panic: the task '{what}' ended by a panic and starts again"));
                node.count(Counter::Panics);
                sleep_until(now() + 10_000).await;
            }
        };
        self.executor.spawn(restarting).detach();
    }

    /// Runs the planner's timers as they become due.
    async fn run_timers(&self) {
        loop {
            self.plan(|p, now| p.run_timers(now));
            let next = self.planner.borrow().next_due().unwrap_or(Micros::MAX);
            self.armed_for.set(next);
            if next == Micros::MAX {
                self.timers_changed.wait().await;
            } else {
                sleep_until(next).or(self.timers_changed.wait()).await;
            }
        }
    }
}

/// Passes the pool's reports on to the planner.
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
