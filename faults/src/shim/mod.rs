//! A library that is preloaded into a process under test. It steps the process's wall clock and makes chosen system calls
//! fail for a moment, while the process runs. It is built by the system's C compiler at first use.
//!
//! The monotonic clock is never touched. Calls that do not pass the C library are out of reach: connects, waits on
//! sockets and datagrams of programs that use rustix.
use crate::ProcessBuilder;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;
use tempfile::{NamedTempFile, TempDir};

const SOURCE: &str = include_str!("shim.c");
/// The environment variable that names the mapped file.
const CONTROL: &str = "THREADWARD_SHIM";

// The layout of the mapped file, in words of eight bytes, as in `shim.c`.
const WALL_OFFSET: u64 = 0;
const SEED: u64 = 1;
const FILE_CALLS: u64 = 2;
const FAIL_FILE_CALL: u64 = 3;
const FILE_ERROR: u64 = 4;
const SYNCS: u64 = 5;
const RATES: u64 = 8;
const KINDS: u64 = 6;
const WORD: u64 = 8;

/// A kind of call that can be made to fail at a rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// A read on a socket returns EINTR.
    ReadInterrupted,
    /// A read on a socket gives only some of the bytes.
    ReadShort,
    /// A write on a socket returns EINTR.
    WriteInterrupted,
    /// A write on a socket takes only some of the bytes.
    WriteShort,
    /// `accept4` returns one of the errors that Linux documents.
    Accept,
    /// Creating, writing, syncing or renaming a file returns ENOSPC, EIO, EDQUOT or EROFS.
    File,
}

/// How the chosen call on a file ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileFault {
    /// It returns this error number.
    Error(i32),
    /// The process is killed in it.
    Kill,
}

/// The control of one or more processes with the library preloaded.
pub struct Shim {
    control: NamedTempFile,
}

impl Shim {
    /// A control at which nothing fails; `seed` decides which calls do, once there are rates.
    ///
    /// # Errors
    /// Where the library cannot be built or the file not be made.
    pub fn new(seed: u64) -> io::Result<Shim> {
        library()?;
        let control = NamedTempFile::with_prefix("threadward-shim-")?;
        control.as_file().set_len((RATES + 2 * KINDS) * WORD)?;
        let shim = Shim { control };
        shim.put(SEED, seed as i64)?;
        Ok(shim)
    }

    /// Preloads the library into a process that is about to start.
    ///
    /// # Errors
    /// Where the library cannot be built.
    pub fn preload(&self, start: ProcessBuilder) -> io::Result<ProcessBuilder> {
        Ok(start.env("LD_PRELOAD", library()?).env(CONTROL, self.control.path()))
    }

    /// Moves the wall clock of the processes to this distance from the machine's.
    ///
    /// # Errors
    /// Where the file cannot be written.
    pub fn step_wall_clock(&self, microseconds: i64) -> io::Result<()> {
        self.put(WALL_OFFSET, microseconds)
    }

    /// From now on so many of a million calls of this kind fail.
    ///
    /// # Errors
    /// Where the file cannot be written.
    pub fn set_failure_rate(&self, kind: Failure, per_million: u32) -> io::Result<()> {
        self.put(RATES + 2 * kind as u64, i64::from(per_million))
    }

    /// How many calls of this kind were made to fail.
    ///
    /// # Errors
    /// Where the file cannot be read.
    pub fn failure_count(&self, kind: Failure) -> io::Result<u64> {
        Ok(self.get(RATES + 2 * kind as u64 + 1)? as u64)
    }

    /// How many calls that change files were made so far.
    ///
    /// # Errors
    /// Where the file cannot be read.
    pub fn file_call_count(&self) -> io::Result<u64> {
        Ok(self.get(FILE_CALLS)? as u64)
    }

    /// How many files and folders were synced so far.
    ///
    /// # Errors
    /// Where the file cannot be read.
    pub fn sync_count(&self) -> io::Result<u64> {
        Ok(self.get(SYNCS)? as u64)
    }

    /// Lets the call that changes files with this number fail, counted from 1 at the first start; 0: none.
    ///
    /// # Errors
    /// Where the file cannot be written.
    pub fn fail_file_call(&self, number: u64, fault: FileFault) -> io::Result<()> {
        self.put(FILE_ERROR, if let FileFault::Error(number) = fault { i64::from(number) } else { -1 })?;
        self.put(FAIL_FILE_CALL, number as i64)
    }

    fn file(&self) -> &File {
        self.control.as_file()
    }

    fn put(&self, word: u64, value: i64) -> io::Result<()> {
        self.file().write_all_at(&value.to_ne_bytes(), word * WORD)
    }

    fn get(&self, word: u64) -> io::Result<i64> {
        let mut bytes = [0; WORD as usize];
        self.file().read_exact_at(&mut bytes, word * WORD)?;
        Ok(i64::from_ne_bytes(bytes))
    }
}

/// Builds the library once for this process; gives its path.
fn library() -> io::Result<PathBuf> {
    static BUILT: OnceLock<Result<(TempDir, PathBuf), String>> = OnceLock::new();
    let built = BUILT.get_or_init(|| build().map_err(|e| e.to_string()));
    built.as_ref().map(|(_, path)| path.clone()).map_err(|e| io::Error::other(e.clone()))
}

fn build() -> io::Result<(TempDir, PathBuf)> {
    let folder = TempDir::with_prefix("threadward-shim-")?;
    let (source, library) = (folder.path().join("shim.c"), folder.path().join("libshim.so"));
    std::fs::write(&source, SOURCE)?;
    let mut compiler = Command::new("cc");
    compiler
        .args(["-shared", "-fPIC", "-O2", "-Wall", "-Werror", "-o"])
        .arg(&library)
        .arg(&source)
        .arg("-ldl");
    let output = compiler.output()?;
    if !output.status.success() {
        return Err(io::Error::other(format!("cc: {}", String::from_utf8_lossy(&output.stderr))));
    }
    Ok((folder, library))
}
