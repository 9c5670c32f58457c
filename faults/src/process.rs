//! One process of a test: its start with a folder of its own, what it says, its signals, its full disk and its end.
//! It owns the process by the handle that started it, and must never signal a process id whose process has ended.
use crate::{after, eventually, lock};
use rustix::process::{
    getrlimit, kill_process, prlimit, waitid, Pid, Resource, Rlimit, WaitId, WaitIdOptions,
};
use std::collections::VecDeque;
use std::ffi::OsString;
use std::io::{self, BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tempfile::TempDir;

pub use rustix::process::Signal;

/// Bytes kept of what a process says; the oldest lines make way.
const KEPT: usize = 4 << 20;
/// A longer line is taken as several.
const LINE: u64 = 64 << 10;
/// How long a stop may take to arrive.
const STOPS: u64 = 5_000;

/// How a process is to be started.
pub struct ProcessBuilder {
    program: PathBuf,
    args: Vec<OsString>,
    env: Vec<(OsString, Option<OsString>)>,
    folder: Option<PathBuf>,
    /// Whether its disk can be filled, and is from the start.
    disk: Option<bool>,
}

impl ProcessBuilder {
    /// A program by its whole path, or by a name that is looked up.
    pub fn new(program: impl Into<PathBuf>) -> ProcessBuilder {
        ProcessBuilder {
            program: program.into(),
            args: Vec::new(),
            env: Vec::new(),
            folder: None,
            disk: None,
        }
    }

    pub fn arg(mut self, arg: impl Into<OsString>) -> ProcessBuilder {
        self.args.push(arg.into());
        self
    }

    pub fn env(mut self, name: impl Into<OsString>, value: impl Into<OsString>) -> ProcessBuilder {
        self.env.push((name.into(), Some(value.into())));
        self
    }

    pub fn without_env(mut self, name: impl Into<OsString>) -> ProcessBuilder {
        self.env.push((name.into(), None));
        self
    }

    /// The working folder; without it the process has one that goes with it.
    pub fn folder(mut self, folder: impl Into<PathBuf>) -> ProcessBuilder {
        self.folder = Some(folder.into());
        self
    }

    /// Lets the disk be filled (`Process::fill_disk`); `now`: it is full from the start.
    ///
    /// It stands for a full disk by a limit on the size of files: no write to a file adds or changes a byte. What
    /// differs from a disk that is full: the error is EFBIG (27), not ENOSPC; every file system is hit at once; bytes
    /// cannot be changed in place either; and names are free: files are made (empty), renamed and removed as usual.
    /// Pipes and sockets are not touched, so the process still says what it has to say.
    pub fn full_disk(mut self, now: bool) -> ProcessBuilder {
        self.disk = Some(now);
        self
    }

    /// # Errors
    /// Where the program or its folder cannot be had.
    pub fn spawn(self) -> io::Result<Process> {
        // The limit's signal would end the process. That it is ignored is what a shell can hand on to a program.
        let ignore = "trap '' XFSZ; exec \"$0\" \"$@\"";
        let mut command = match self.disk {
            None => Command::new(&self.program),
            Some(now) => {
                let mut sh = Command::new("/bin/sh");
                let full = if now { "ulimit -S -f 0; " } else { "" };
                sh.arg("-c").arg(format!("{full}{ignore}")).arg(&self.program);
                sh
            }
        };
        let own = if self.folder.is_none() { Some(TempDir::with_prefix("threadward-")?) } else { None };
        let folder = self.folder.or(own.as_ref().map(|t| t.path().to_owned())).unwrap_or_default();
        for (name, value) in &self.env {
            match value {
                Some(v) => command.env(name, v),
                None => command.env_remove(name),
            };
        }
        command.args(self.args).current_dir(&folder).stdin(Stdio::null());
        let mut child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn()?;
        let log = Arc::new(Log::default());
        if let Some(s) = child.stdout.take() {
            log.clone().follow(s);
        }
        if let Some(s) = child.stderr.take() {
            log.clone().follow(s);
        }
        let pid = Pid::from_child(&child);
        Ok(Process { child: Mutex::new(child), pid, folder, _own: own, log, fills: self.disk.is_some() })
    }
}

#[derive(Default)]
struct Said {
    lines: VecDeque<String>,
    bytes: usize,
    /// Lines that made way, and streams that are still open.
    gone: usize,
    open: usize,
}

#[derive(Default)]
struct Log {
    said: Mutex<Said>,
    more: Condvar,
}

impl Log {
    /// Takes a stream's lines until its end.
    fn follow(self: Arc<Log>, stream: impl Read + Send + 'static) {
        lock(&self.said).open += 1;
        std::thread::spawn(move || {
            let (mut stream, mut line) = (BufReader::new(stream), Vec::new());
            while (&mut stream).take(LINE).read_until(b'\n', &mut line).is_ok_and(|n| n > 0) {
                let mut said = lock(&self.said);
                let text = String::from_utf8_lossy(line.strip_suffix(b"\n").unwrap_or(&line)).into_owned();
                line.clear();
                said.bytes += text.len() + 1;
                said.lines.push_back(text);
                while said.bytes > KEPT {
                    said.bytes -= said.lines.pop_front().map_or(said.bytes, |l| l.len() + 1);
                    said.gone += 1;
                }
                drop(said);
                self.more.notify_all();
            }
            lock(&self.said).open -= 1;
            self.more.notify_all();
        });
    }

    /// Waits for what `found` finds, the end of both streams or the deadline.
    fn wait<T>(&self, deadline: Instant, found: impl Fn(&Said) -> Option<T>) -> Option<T> {
        let mut said: MutexGuard<Said> = lock(&self.said);
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let seen = found(&said);
            if seen.is_some() || said.open == 0 || left.is_zero() {
                return seen;
            }
            said = self.more.wait_timeout(said, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// A running process of this test's own; it is killed when this is dropped.
///
/// ```
/// use threadward_faults::{after, ProcessBuilder};
/// let p = ProcessBuilder::new("sh").arg("-c").arg("echo begun; read never; sleep 60").spawn().unwrap();
/// assert_eq!(p.wait_for_line("beg", after(5_000)).unwrap(), "begun");
/// let p = ProcessBuilder::new("cat").arg("/nowhere").spawn().unwrap();
/// assert_eq!(p.wait(after(5_000)).unwrap().code(), Some(1));
/// assert!(p.output().contains("/nowhere"));
/// ```
pub struct Process {
    child: Mutex<Child>,
    pid: Pid,
    folder: PathBuf,
    _own: Option<TempDir>,
    log: Arc<Log>,
    fills: bool,
}

impl Process {
    pub fn id(&self) -> u32 {
        self.pid.as_raw_nonzero().get().unsigned_abs()
    }

    /// Its working folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// What it said and is kept, of both streams as it came. It does not wait: for a test whose stand-ins run on the
    /// same thread.
    pub fn output(&self) -> String {
        let said = lock(&self.log.said);
        said.lines.iter().flat_map(|l| [l.as_str(), "\n"]).collect()
    }

    /// How many lines it has said, and how many of them are no longer kept.
    pub fn lines(&self) -> (usize, usize) {
        let said = lock(&self.log.said);
        (said.gone + said.lines.len(), said.gone)
    }

    /// The first line that holds this, of those that are kept.
    ///
    /// # Errors
    /// All that it said, where it ended or the deadline came.
    pub fn wait_for_line(&self, what: &str, deadline: Instant) -> Result<String, String> {
        self.wait_for_line_after(0, what, deadline)
    }

    /// The same of the lines after as many (see `lines`).
    ///
    /// # Errors
    /// As above.
    pub fn wait_for_line_after(&self, n: usize, what: &str, deadline: Instant) -> Result<String, String> {
        let found =
            |s: &Said| s.lines.iter().skip(n.saturating_sub(s.gone)).find(|l| l.contains(what)).cloned();
        self.log.wait(deadline, found).ok_or_else(|| format!("never said '{what}':\n{}", self.output()))
    }

    /// How it ended, if it did.
    pub fn exit_status(&self) -> Option<ExitStatus> {
        lock(&self.child).try_wait().ok().flatten()
    }

    /// Waits for its end, and for the rest of what it said.
    ///
    /// # Errors
    /// All that it said, where it still runs at the deadline.
    pub fn wait(&self, deadline: Instant) -> Result<ExitStatus, String> {
        let mut status = None;
        eventually(deadline, || {
            status = self.exit_status();
            status.is_some()
        });
        let status = status.ok_or_else(|| format!("still runs:\n{}", self.output()))?;
        self.log.wait(deadline, |s| (s.open == 0).then_some(()));
        Ok(status)
    }

    /// # Errors
    /// Where it has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let mut child = lock(&self.child);
        if child.try_wait()?.is_some() {
            return Err(io::Error::new(io::ErrorKind::NotFound, "the process has ended"));
        }
        Ok(kill_process(self.pid, signal)?)
    }

    /// Stops it, and comes back once it stands still.
    ///
    /// # Errors
    /// Where it has ended, or does not stop.
    pub fn stop(&self) -> io::Result<()> {
        self.signal(Signal::STOP)?;
        let how = WaitIdOptions::STOPPED | WaitIdOptions::NOHANG | WaitIdOptions::NOWAIT;
        let stopped = || matches!(waitid(WaitId::Pid(self.pid), how), Ok(Some(_)));
        let stands = eventually(after(STOPS), || stopped() || self.exit_status().is_some());
        if !stands || self.exit_status().is_some() {
            return Err(io::Error::other("the process did not stop"));
        }
        Ok(())
    }

    /// Lets it go on.
    ///
    /// # Errors
    /// Where it has ended.
    pub fn cont(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks it to end.
    ///
    /// # Errors
    /// Where it has ended.
    pub fn term(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Ends it at once, as the loss of a machine would; comes back once it is gone.
    ///
    /// # Errors
    /// Where the system says so.
    pub fn kill(&self) -> io::Result<ExitStatus> {
        let mut child = lock(&self.child);
        child.kill()?;
        child.wait()
    }

    /// From now on no file takes a byte (see `ProcessBuilder::full_disk`).
    ///
    /// # Errors
    /// Where it was not started for that, or has ended.
    pub fn fill_disk(&self) -> io::Result<()> {
        self.limit_files(Some(0))
    }

    /// Files take bytes again.
    ///
    /// # Errors
    /// As above.
    pub fn free_disk(&self) -> io::Result<()> {
        self.limit_files(getrlimit(Resource::Fsize).maximum)
    }

    fn limit_files(&self, current: Option<u64>) -> io::Result<()> {
        let mut child = lock(&self.child);
        if !self.fills || child.try_wait()?.is_some() {
            return Err(io::Error::other("not started for a full disk, or ended"));
        }
        // The hard limit stays as it was inherited: only then can the other be raised again.
        let maximum = getrlimit(Resource::Fsize).maximum;
        prlimit(Some(self.pid), Resource::Fsize, Rlimit { current, maximum })?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Its readers end with its streams.
        self.kill().ok();
    }
}
