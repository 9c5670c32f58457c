//! What the tasks of the program share: the clock, a wake-up, and the node that joins the planner to the fronts
//! and the caches. It owns the one borrow of the planner and the task of its timers. It must never hold that
//! borrow across an await, and nothing here takes a time-out: waits end at points on the clock.
use crate::caches::{Pool, Way};
use crate::config::Config;
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::{future, FutureExt};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::Write;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use threadward_core::{stages::admit::Limits, Counter, Micros, Planner};

/// The system's Unix clock in microseconds.
pub fn now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros)
}

/// Writes a line to the log, a few dozen in a second at most. A log that is full or gone must not end a task, as
/// `eprintln!` would.
pub fn log(line: &str) {
    thread_local!(static SECOND: Cell<(Micros, u32)> = const { Cell::new((0, 0)) });
    let second = now() / 1_000_000;
    let (last, n) = SECOND.get();
    let n = if last == second { n + 1 } else { 1 };
    SECOND.set((second, n));
    if n <= LINES {
        let _ = writeln!(std::io::stderr(), "{line}");
    }
}

/// Lines in a second.
const LINES: u32 = 40;

pub async fn sleep_until(at: Micros) {
    let left = at.saturating_sub(now());
    if left > 0 {
        Timer::after(Duration::from_micros(left)).await;
    }
}

/// Wakes one waiting task; a wake-up with nobody waiting is kept for the next.
#[derive(Default)]
pub struct Signal {
    set: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Signal {
    pub fn notify(&self) {
        self.set.set(true);
        if let Some(w) = self.waker.borrow_mut().take() {
            w.wake();
        }
    }

    pub async fn wait(&self) {
        future::poll_fn(|cx| {
            if self.set.replace(false) {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }
}

pub struct Node {
    pub config: Config,
    pub pool: Rc<Pool>,
    planner: RefCell<Planner>,
    armed: Cell<Micros>,
    timers: Signal,
    executor: &'static LocalExecutor<'static>,
    /// Where the bulletin is, as the configuration has it now, and a sign that it moved.
    pub bulletin: Cell<SocketAddr>,
    pub moved: Signal,
    /// Number of the last event that was applied.
    pub last_event: Cell<u64>,
    /// When the order to end came.
    pub stopping: Cell<Option<Micros>>,
    /// When a request was last taken.
    pub last_taken: Cell<Micros>,
    /// Connections of clients that are open, and answers not yet written to them.
    pub clients: Cell<usize>,
    pub unwritten: Cell<usize>,
    pub unwritten_bytes: Cell<usize>,
}

impl Node {
    pub fn new(config: Config, executor: &'static LocalExecutor<'static>) -> Rc<Node> {
        let pool = Pool::new(config.names.clone());
        let limits = Limits { open: config.names.max_open, bytes: config.memory / 4, pause: 250_000 };
        let planner = Planner::new(config.settings.clone(), config.seed, limits, Box::new(Way(pool.clone())));
        let node = Rc::new(Node {
            bulletin: Cell::new(config.bulletin),
            moved: Signal::default(),
            last_event: Cell::new(config.last),
            config,
            pool,
            planner: RefCell::new(planner),
            armed: Cell::new(0),
            timers: Signal::default(),
            executor,
            stopping: Cell::new(None),
            last_taken: Cell::new(0),
            clients: Cell::new(0),
            unwritten: Cell::new(0),
            unwritten_bytes: Cell::new(0),
        });
        node.pool.join(&node);
        let n = node.clone();
        node.keep("timers", move || {
            let n = n.clone();
            async move { n.run_timers().await }
        });
        node
    }

    /// Takes over what a running program can of a configuration that was read anew, and says so in a line.
    pub fn reload(&self, new: &Config) -> String {
        let moved = self.bulletin.replace(new.bulletin) != new.bulletin;
        self.moved.notify();
        let what = if moved { "moved to" } else { "stays at" };
        let line = format!("bulletin {what} {}, last event {}", new.bulletin, self.last_event.get());
        match self.config.fixed(new) {
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
    pub fn keep<F: Future<Output = ()> + 'static>(
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
