//! A steering proxy: the program that `run` in the deploy file starts, as a process of its own.
use crate::record::Record;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A free port of a loopback address.
pub fn free_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A free port of a loopback address for a process that is to be started there again: below those that a system
/// gives to outgoing connections, one of which could take it in between.
pub fn lasting_addr() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 12_000 + std::process::id() as u16 % 1_000 * 16;
    (0..4_000)
        .map(|_| SocketAddr::from(([127, 0, 0, 1], first + NEXT.fetch_add(1, Ordering::Relaxed))))
        .find(|addr| TcpListener::bind(addr).is_ok())
        .expect("a free port")
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    let line = text.lines().find(|l| l.starts_with("run")).expect("'run' in the deploy file");
    line.split('"').nth(1).expect("the command of 'run'").to_owned()
}

/// The processes that run, by number, for a run that has to be cut short.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills the processes that still run.
pub fn kill_all() {
    for number in RUNNING.lock().unwrap().drain(..) {
        Command::new("/bin/sh").args(["-c", &format!("kill -KILL {number}")]).status().ok();
    }
}

pub struct Proxy {
    child: Child,
    pub label: String,
    record: Arc<Record>,
}

impl Proxy {
    /// Starts the program with this configuration. `tmp` is its `$TMPDIR`.
    pub fn start(label: &str, config: &str, tmp: &Path, record: &Arc<Record>) -> Proxy {
        let path = tmp.parent().unwrap().join(format!("config-{label}.json"));
        std::fs::write(&path, config).unwrap();
        let mut child = Command::new("/bin/sh")
            .args(["-c", &run_command()])
            .env("LB_CONFIG", &path)
            .env("TMPDIR", tmp)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program cannot be started: is it built?");
        RUNNING.lock().unwrap().push(child.id());
        record.say(format!("process {label} starts, number {}", child.id()));
        let (log, l, r) = (child.stderr.take().unwrap(), label.to_owned(), record.clone());
        std::thread::spawn(move || {
            BufReader::new(log).lines().map_while(Result::ok).for_each(|line| r.say(format!("{l}: {line}")));
        });
        Proxy { child, label: label.to_owned(), record: record.clone() }
    }
    /// Sends a signal, by its name without SIG.
    pub fn signal(&self, name: &str) {
        self.record.say(format!("SIG{name} to {}", self.label));
        let kill = format!("kill -{name} {}", self.child.id());
        Command::new("/bin/sh").args(["-c", &kill]).status().ok();
    }
    /// Whether it runs; if not, how it ended.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        RUNNING.lock().unwrap().retain(|number| *number != self.child.id());
        Some(match status.signal() {
            Some(n) => format!("by signal {n}"),
            None => format!("with code {}", status.code().unwrap_or(-1)),
        })
    }
    /// Waits for its end. Returns whether it has ended.
    pub fn wait_end(&mut self, longest: Duration) -> bool {
        let until = self.record.now() + longest;
        while self.record.now() < until {
            if let Some(how) = self.ended() {
                self.record.say(format!("process {} ended {how}", self.label));
                return true;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if self.ended().is_none() {
            self.child.kill().ok();
            self.child.wait().ok();
            RUNNING.lock().unwrap().retain(|number| *number != self.child.id());
        }
    }
}

/// Makes a call at the operators' door. Returns the line that answers it.
pub fn door(at: SocketAddr, line: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    stream.write_all(format!("{line}\n").as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer.trim().to_owned())
}
