//! The processes under test, and what befalls them: restarts, kills, reloads, steps of the wall clock, system calls that
//! fail for a moment, and operators' commands while files cannot be written.
use crate::common::{admin_command, configuration, free_addresses};
use crate::oracle::Rule;
use crate::servers::{World, SERVERS};
use crate::{dice, pause, MILLISECOND, SECOND};
use async_executor::LocalExecutor;
use futures_lite::FutureExt;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use tempfile::{tempdir, TempDir};
use threadward::net::now;
use threadward_core::Micros;
use threadward_faults::{Failure, Process, ProcessBuilder, Shim, Signal};

/// New connections, and requests on open ones, keep coming for so long after SIGTERM.
const CONNECTIONS_AFTER_TERM: Micros = 400 * MILLISECOND;
const REQUESTS_AFTER_TERM: Micros = 600 * MILLISECOND;
/// From SIGTERM to the platform's SIGKILL, and how long a start may take.
const KILL_AFTER: Micros = 3_700 * MILLISECOND;
const READY_WITHIN: Micros = 10 * SECOND;
/// Steps of the wall clock.
const STEPS: [i64; 5] = [0, 5_000_000, -5_000_000, 3_600_000_000, -3_600_000_000];
const FAILURES: [Failure; 6] = [
    Failure::ReadInterrupted,
    Failure::ReadShort,
    Failure::WriteInterrupted,
    Failure::WriteShort,
    Failure::Accept,
    Failure::File,
];

pub struct Proxy {
    number: usize,
    pub front: SocketAddr,
    /// Two addresses for operators, as a new version gets another one than the process it replaces.
    admins: [SocketAddr; 2],
    admin: Cell<usize>,
    discovery: SocketAddr,
    folder: TempDir,
    shim: Shim,
    process: RefCell<Option<Process>>,
    ending: Cell<Option<Micros>>,
    killed: Cell<Micros>,
    world: Rc<World>,
}

pub struct Fleet {
    pub proxies: Vec<Rc<Proxy>>,
}

impl Proxy {
    pub fn takes_connections(&self) -> bool {
        self.process.borrow().is_some()
            && self.ending.get().is_none_or(|at| now() < at + CONNECTIONS_AFTER_TERM)
    }

    pub fn takes_requests(&self) -> bool {
        self.process.borrow().is_some() && self.ending.get().is_none_or(|at| now() < at + REQUESTS_AFTER_TERM)
    }

    pub fn killed_since(&self, at: Micros) -> bool {
        self.killed.get() >= at
    }

    /// Starts a process with what discovery has told so far.
    fn spawn(&self, admin: usize) -> Process {
        let (last, servers) = self.world.list();
        let text = configuration(self.front, self.discovery, &servers);
        let text = text.replace(r#""known":{"no":0"#, &format!(r#""known":{{"no":{last}"#));
        let text = text.replace(r#""name":"n0""#, &format!(r#""name":"n{}""#, self.number));
        let purges: String = self.world.purges().iter().map(|purge| format!(",{purge}")).collect();
        let text = text.replace("}]},\"settings\"", &format!("}}{purges}]}},\"settings\""));
        let file = self.folder.path().join("config.json");
        std::fs::write(&file, text).unwrap();
        self.world.starts(self.number);
        let start = ProcessBuilder::new(env!("CARGO_BIN_EXE_threadward")).env("LB_CONFIG", &file);
        let start =
            start.env("TMPDIR", self.folder.path()).env("LB_ADMIN_ADDR", self.admins[admin].to_string());
        self.shim.preload(start).unwrap().spawn().unwrap()
    }

    async fn start(&self) {
        let process = self.spawn(self.admin.get());
        let by = now() + READY_WITHIN;
        while TcpStream::connect(self.front).is_err() {
            if process.exit_status().is_some() || now() > by {
                self.world.oracle.fail(Rule::Crash, "", &format!("no start: {}", process.output()));
                return;
            }
            pause(5 * MILLISECOND).await;
        }
        self.ending.set(None);
        *self.process.borrow_mut() = Some(process);
    }

    async fn restart(&self) {
        self.ending.set(Some(now()));
        let process = self.process.borrow_mut().take().unwrap();
        let serving = RefCell::new(Some(process));
        self.term(&serving).await;
        self.start().await;
    }

    /// A new version starts beside the running process, and takes over once it is ready.
    async fn upgrade(&self) {
        let (next, published) = (1 - self.admin.get(), self.world.published());
        let new = self.spawn(next);
        let by = now() + READY_WITHIN;
        while !self.said_done(self.admins[next], "READY\n").await {
            if new.exit_status().is_some() || now() > by {
                return self.failed("never ready beside the old one", &new);
            }
            pause(20 * MILLISECOND).await;
        }
        self.world.oracle.befell(self.number, format!("the new process is ready, said {}", new.output()));
        self.world.replaced(self.number, published);
        let old = self.process.borrow_mut().replace(new);
        self.admin.set(next);
        self.term(&RefCell::new(old)).await;
    }

    /// Tells a process to end, which it has to do by itself and in time.
    async fn term(&self, old: &RefCell<Option<Process>>) {
        old.borrow().as_ref().unwrap().term().ok();
        let by = now() + KILL_AFTER;
        let ended = |p: &Option<Process>| p.as_ref().and_then(Process::exit_status);
        while ended(&old.borrow()).is_none() && now() < by {
            pause(10 * MILLISECOND).await;
        }
        self.killed.set(if ended(&old.borrow()).is_none() { now() } else { self.killed.get() });
        let process = old.borrow_mut().take().unwrap();
        let text = process.output();
        let last: Vec<&str> = text.lines().collect();
        self.world
            .oracle
            .befell(self.number, format!("ended, said {:?}", &last[last.len().saturating_sub(6)..]));
        match process.exit_status().and_then(|status| status.code()) {
            Some(0) => {}
            other => self.failed(&format!("after SIGTERM: {other:?}"), &process),
        }
    }

    async fn kill(&self) {
        let process = self.process.borrow_mut().take().unwrap();
        process.kill().ok();
        self.killed.set(now());
        // Clients notice at the reset, some with a delay.
        pause(50 * MILLISECOND).await;
        self.killed.set(now());
        self.start().await;
    }

    fn failed(&self, how: &str, process: &Process) {
        let text = process.output();
        let last: Vec<&str> = text.lines().rev().take(8).collect();
        self.world.oracle.fail(Rule::Crash, "", &format!("proxy {} {how}: {last:?}", self.number));
    }

    async fn command(&self, line: &str) -> bool {
        self.said_done(self.admins[self.admin.get()], line).await
    }

    /// A command to an operators' endpoint; whether it was answered with `done`.
    async fn said_done(&self, admin: SocketAddr, line: &str) -> bool {
        let late = async {
            pause(2 * SECOND).await;
            String::new()
        };
        if TcpStream::connect(admin).is_err() {
            return false;
        }
        admin_command(admin, &[line]).or(late).await.starts_with("done")
    }

    /// Takes a server out while files fail, and calls it back after a while.
    async fn ban(&self, lots: &mut fastrand::Rng) {
        let server = lots.usize(1..SERVERS);
        self.shim.set_failure_rate(Failure::File, lots.u32(0..400_000)).unwrap();
        let done = self.command(&format!("DISABLE s-{server}\n")).await;
        if done {
            self.world.bans.borrow_mut().insert((self.number, server), now());
        }
        self.shim.set_failure_rate(Failure::File, 0).unwrap();
        if done && lots.bool() {
            self.kill().await;
        }
        pause(lots.u64(1_200..2_500) * MILLISECOND).await;
        self.world.bans.borrow_mut().remove(&(self.number, server));
        while !self.command(&format!("ENABLE s-{server}\n")).await {
            pause(100 * MILLISECOND).await;
        }
    }

    async fn trouble(&self, lots: &mut fastrand::Rng) {
        let _trouble = self.world.oracle.begin_trouble();
        let lot = lots.u8(0..10);
        let befell = |what: &str| self.world.oracle.befell(self.number, what);
        befell(
            [
                "restart",
                "kill",
                "reload",
                "ban",
                "step",
                "step",
                "calls fail",
                "calls fail",
                "upgrade",
                "upgrade",
            ][usize::from(lot)],
        );
        match lot {
            0 => self.restart().await,
            1 => self.kill().await,
            2 => {
                self.process.borrow().as_ref().unwrap().signal(Signal::HUP).ok();
            }
            3 => self.ban(lots).await,
            8 | 9 => self.upgrade().await,
            4 | 5 => {
                self.shim.step_wall_clock(STEPS[lots.usize(0..STEPS.len())]).unwrap();
                pause(lots.u64(100..1_000) * MILLISECOND).await;
            }
            _ => {
                let kind = FAILURES[lots.usize(0..FAILURES.len())];
                befell(&format!("{kind:?}"));
                self.shim.set_failure_rate(kind, lots.u32(1_000..100_000)).unwrap();
                pause(lots.u64(300..2_000) * MILLISECOND).await;
                self.shim.set_failure_rate(kind, 0).unwrap();
            }
        }
    }
}

impl Fleet {
    pub async fn start(world: Rc<World>, count: usize, seed: u64) -> Fleet {
        let at = free_addresses(3 * count);
        let proxy = |number: usize| {
            Rc::new(Proxy {
                number,
                front: at[3 * number],
                admins: [at[3 * number + 1], at[3 * number + 2]],
                admin: Cell::new(0),
                discovery: world.discovery(),
                folder: tempdir().unwrap(),
                shim: Shim::new(seed ^ number as u64).unwrap(),
                process: RefCell::default(),
                ending: Cell::new(None),
                killed: Cell::new(0),
                world: world.clone(),
            })
        };
        let proxies: Vec<Rc<Proxy>> = (0..count).map(proxy).collect();
        for proxy in &proxies {
            proxy.start().await;
        }
        Fleet { proxies }
    }

    /// Lets troubles befall every process, each in its own time, up to a moment.
    pub async fn trouble(&self, executor: &'static LocalExecutor<'static>, seed: u64, until: Micros) {
        let running = Rc::new(Cell::new(self.proxies.len()));
        for proxy in &self.proxies {
            let (proxy, running) = (proxy.clone(), running.clone());
            let mut lots = dice(seed, 100 + proxy.number as u64);
            let task = async move {
                while now() < until && proxy.process.borrow().is_some() {
                    pause(lots.u64(100..1_500) * MILLISECOND).await;
                    proxy.check();
                    proxy.trouble(&mut lots).await;
                }
                running.set(running.get() - 1);
            };
            executor.spawn(task).detach();
        }
        while running.get() > 0 {
            pause(20 * MILLISECOND).await;
        }
    }

    /// Ends all processes; each has to end by itself, and well.
    pub async fn end(&self) {
        for proxy in &self.proxies {
            proxy.check();
            proxy.process.borrow().iter().for_each(|p| drop(p.term()));
        }
        let by = now() + KILL_AFTER;
        for proxy in &self.proxies {
            let Some(process) = proxy.process.borrow_mut().take() else { continue };
            while process.exit_status().is_none() && now() < by {
                pause(10 * MILLISECOND).await;
            }
            if process.exit_status().and_then(|status| status.code()) != Some(0) {
                proxy.failed("at the end", &process);
            }
        }
    }
}

impl Proxy {
    /// No process ends untold or has a task that panicked.
    fn check(&self) {
        let process = self.process.borrow();
        let Some(process) = process.as_ref() else { return };
        if process.exit_status().is_some() || process.output().contains("panic") {
            self.failed("ended untold or panicked", process);
        }
    }
}
