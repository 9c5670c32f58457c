//! A process that a test starts: its working folder, its output, signals to it, a full disk and its end. A
//! signal is only sent while the process is known to run, so that it never reaches another process that was
//! given the same id.
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

/// Bytes of output kept of a process; the oldest lines are dropped.
const MAX_OUTPUT_BYTES: usize = 4 << 20;
/// A longer line of output is split into several.
const MAX_LINE_BYTES: u64 = 64 << 10;
/// How long a process may take to stop after SIGSTOP, in milliseconds.
const STOP_TIMEOUT_MS: u64 = 5_000;

/// Configures and starts a process.
pub struct ProcessBuilder {
    program: PathBuf,
    args: Vec<OsString>,
    env: Vec<(OsString, Option<OsString>)>,
    folder: Option<PathBuf>,
    /// Whether the disk is full from the start, or `None` if it cannot be filled.
    disk_full: Option<bool>,
}

impl ProcessBuilder {
    /// A program by its full path, or by a name that is looked up in `PATH`.
    pub fn new(program: impl Into<PathBuf>) -> ProcessBuilder {
        ProcessBuilder {
            program: program.into(),
            args: Vec::new(),
            env: Vec::new(),
            folder: None,
            disk_full: None,
        }
    }

    /// Adds an argument.
    pub fn arg(mut self, arg: impl Into<OsString>) -> ProcessBuilder {
        self.args.push(arg.into());
        self
    }

    /// Sets an environment variable.
    pub fn env(mut self, name: impl Into<OsString>, value: impl Into<OsString>) -> ProcessBuilder {
        self.env.push((name.into(), Some(value.into())));
        self
    }

    /// Removes an inherited environment variable.
    pub fn without_env(mut self, name: impl Into<OsString>) -> ProcessBuilder {
        self.env.push((name.into(), None));
        self
    }

    /// Sets the working folder. Without one, the process gets a temporary folder, which is removed with it.
    pub fn folder(mut self, folder: impl Into<PathBuf>) -> ProcessBuilder {
        self.folder = Some(folder.into());
        self
    }

    /// Enables [`Process::fill_disk`]. With `now` the disk is full from the start.
    ///
    /// A full disk is simulated by a limit on the size of files: no write to a file adds or changes a byte.
    /// It differs from a disk that is really full: the error is EFBIG (27), not ENOSPC; every file system is
    /// affected at once; bytes cannot be changed in place either; and names are not limited: files can be
    /// created (empty), renamed and removed as usual. Pipes and sockets are not affected, so that the output
    /// of the process is still received.
    pub fn full_disk(mut self, now: bool) -> ProcessBuilder {
        self.disk_full = Some(now);
        self
    }

    /// Starts the process.
    ///
    /// # Errors
    /// If the program cannot be started or its folder cannot be created.
    pub fn spawn(self) -> io::Result<Process> {
        // Exceeding the limit raises SIGXFSZ, which would end the process. A shell can make a program that it
        // executes ignore the signal.
        let exec_ignoring_xfsz = "trap '' XFSZ; exec \"$0\" \"$@\"";
        let mut command = match self.disk_full {
            None => Command::new(&self.program),
            Some(now) => {
                let mut sh = Command::new("/bin/sh");
                let set_limit = if now { "ulimit -S -f 0; " } else { "" };
                sh.arg("-c").arg(format!("{set_limit}{exec_ignoring_xfsz}")).arg(&self.program);
                sh
            }
        };
        let temporary = if self.folder.is_none() { Some(TempDir::with_prefix("threadward-")?) } else { None };
        let folder = self.folder.or(temporary.as_ref().map(|t| t.path().to_owned())).unwrap_or_default();
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
            log.clone().read_from(s);
        }
        if let Some(s) = child.stderr.take() {
            log.clone().read_from(s);
        }
        let pid = Pid::from_child(&child);
        Ok(Process {
            child: Mutex::new(child),
            pid,
            folder,
            _temporary: temporary,
            log,
            can_fill_disk: self.disk_full.is_some(),
        })
    }
}

/// The output that is kept of a process.
#[derive(Default)]
struct Output {
    lines: VecDeque<String>,
    /// Bytes of the lines kept.
    bytes: usize,
    /// Lines that have been dropped.
    dropped_lines: usize,
    /// Streams that are still open.
    open_streams: usize,
}

/// The output of a process, which its threads read from both streams.
#[derive(Default)]
struct Log {
    output: Mutex<Output>,
    /// Notified at each line and at the end of each stream.
    changed: Condvar,
}

impl Log {
    /// Reads a stream's lines until its end, in a thread of its own.
    fn read_from(self: Arc<Log>, stream: impl Read + Send + 'static) {
        lock(&self.output).open_streams += 1;
        std::thread::spawn(move || {
            let (mut stream, mut line) = (BufReader::new(stream), Vec::new());
            while (&mut stream).take(MAX_LINE_BYTES).read_until(b'\n', &mut line).is_ok_and(|n| n > 0) {
                let mut output = lock(&self.output);
                let text = String::from_utf8_lossy(line.strip_suffix(b"\n").unwrap_or(&line)).into_owned();
                line.clear();
                output.bytes += text.len() + 1;
                output.lines.push_back(text);
                while output.bytes > MAX_OUTPUT_BYTES {
                    output.bytes -= output.lines.pop_front().map_or(output.bytes, |l| l.len() + 1);
                    output.dropped_lines += 1;
                }
                drop(output);
                self.changed.notify_all();
            }
            lock(&self.output).open_streams -= 1;
            self.changed.notify_all();
        });
    }

    /// Waits until `select` returns something, which is returned, or until the end of both streams or the
    /// deadline.
    fn wait<T>(&self, deadline: Instant, select: impl Fn(&Output) -> Option<T>) -> Option<T> {
        let mut output: MutexGuard<Output> = lock(&self.output);
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let found = select(&output);
            if found.is_some() || output.open_streams == 0 || remaining.is_zero() {
                return found;
            }
            output = self.changed.wait_timeout(output, remaining).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// A process that this test has started. It is killed when this value is dropped.
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
    _temporary: Option<TempDir>,
    log: Arc<Log>,
    can_fill_disk: bool,
}

impl Process {
    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.pid.as_raw_nonzero().get().unsigned_abs()
    }

    /// Returns the working folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns the output kept so far, of both streams in the order it was received. This does not wait, for
    /// tests whose simulated servers run on the same thread.
    pub fn output(&self) -> String {
        let output = lock(&self.log.output);
        output.lines.iter().flat_map(|l| [l.as_str(), "\n"]).collect()
    }

    /// Returns the number of lines of output so far, and how many of them are no longer kept.
    pub fn lines(&self) -> (usize, usize) {
        let output = lock(&self.log.output);
        (output.dropped_lines + output.lines.len(), output.dropped_lines)
    }

    /// Waits for a line that contains `what`, and returns the first one among those that are kept.
    ///
    /// # Errors
    /// The whole output, if the output ended or the deadline passed.
    pub fn wait_for_line(&self, what: &str, deadline: Instant) -> Result<String, String> {
        self.wait_for_line_after(0, what, deadline)
    }

    /// Like `wait_for_line`, but skips the first `n` lines (see `lines`).
    ///
    /// # Errors
    /// As for `wait_for_line`.
    pub fn wait_for_line_after(&self, n: usize, what: &str, deadline: Instant) -> Result<String, String> {
        let found = |o: &Output| {
            o.lines.iter().skip(n.saturating_sub(o.dropped_lines)).find(|l| l.contains(what)).cloned()
        };
        self.log
            .wait(deadline, found)
            .ok_or_else(|| format!("no line of output contains '{what}':\n{}", self.output()))
    }

    /// Returns the exit status, if the process has ended.
    pub fn exit_status(&self) -> Option<ExitStatus> {
        lock(&self.child).try_wait().ok().flatten()
    }

    /// Waits for the end of the process and of its output.
    ///
    /// # Errors
    /// The output so far, if the process still runs at the deadline.
    pub fn wait(&self, deadline: Instant) -> Result<ExitStatus, String> {
        let mut status = None;
        eventually(deadline, || {
            status = self.exit_status();
            status.is_some()
        });
        let status = status.ok_or_else(|| format!("the process still runs:\n{}", self.output()))?;
        self.log.wait(deadline, |o| (o.open_streams == 0).then_some(()));
        Ok(status)
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// If the process has ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let mut child = lock(&self.child);
        if child.try_wait()?.is_some() {
            return Err(io::Error::new(io::ErrorKind::NotFound, "the process has ended"));
        }
        Ok(kill_process(self.pid, signal)?)
    }

    /// Stops the process with SIGSTOP, and returns once it has stopped.
    ///
    /// # Errors
    /// If the process has ended or does not stop.
    pub fn stop(&self) -> io::Result<()> {
        self.signal(Signal::STOP)?;
        let options = WaitIdOptions::STOPPED | WaitIdOptions::NOHANG | WaitIdOptions::NOWAIT;
        let stopped = || matches!(waitid(WaitId::Pid(self.pid), options), Ok(Some(_)));
        let settled = eventually(after(STOP_TIMEOUT_MS), || stopped() || self.exit_status().is_some());
        if !settled || self.exit_status().is_some() {
            return Err(io::Error::other("the process did not stop"));
        }
        Ok(())
    }

    /// Continues the stopped process with SIGCONT.
    ///
    /// # Errors
    /// If the process has ended.
    pub fn cont(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to end, with SIGTERM.
    ///
    /// # Errors
    /// If the process has ended.
    pub fn term(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Kills the process at once, as the loss of a machine would, and returns once it has ended.
    ///
    /// # Errors
    /// If the system reports an error.
    pub fn kill(&self) -> io::Result<ExitStatus> {
        let mut child = lock(&self.child);
        child.kill()?;
        child.wait()
    }

    /// Makes every write to a file fail from now on (see [`ProcessBuilder::full_disk`]).
    ///
    /// # Errors
    /// If the process was started without `full_disk`, or has ended.
    pub fn fill_disk(&self) -> io::Result<()> {
        self.set_file_size_limit(Some(0))
    }

    /// Makes writes to files succeed again.
    ///
    /// # Errors
    /// As for `fill_disk`.
    pub fn free_disk(&self) -> io::Result<()> {
        self.set_file_size_limit(getrlimit(Resource::Fsize).maximum)
    }

    /// Sets the soft limit on the size of files.
    fn set_file_size_limit(&self, current: Option<u64>) -> io::Result<()> {
        let mut child = lock(&self.child);
        if !self.can_fill_disk || child.try_wait()?.is_some() {
            return Err(io::Error::other("the process was started without full_disk, or has ended"));
        }
        // The hard limit stays as inherited: otherwise the soft limit could not be raised again.
        let maximum = getrlimit(Resource::Fsize).maximum;
        prlimit(Some(self.pid), Resource::Fsize, Rlimit { current, maximum })?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The threads that read the output end with the streams.
        self.kill().ok();
    }
}
