//! A C library that is preloaded into a process under test. While the process runs, it steps the wall clock
//! and makes chosen system calls fail. The system's C compiler builds it at first use.
//!
//! The monotonic clock is never changed. System calls that do not go through the C library cannot be made to
//! fail: the connects, waits on sockets and datagrams of programs that use rustix.
use crate::ProcessBuilder;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;
use tempfile::{NamedTempFile, TempDir};

const SOURCE: &str = include_str!("shim.c");
/// The environment variable that holds the path of the control file.
const CONTROL_VARIABLE: &str = "THREADWARD_SHIM";

// The layout of the control file, which each process maps into memory: numbers of its words of eight bytes,
// as in `shim.c`.
const WALL_OFFSET_US: u64 = 0;
const SEED: u64 = 1;
const FILE_CALLS: u64 = 2;
/// Number of the file call that fails, or 0.
const FAIL_FILE_CALL: u64 = 3;
/// Error number of that call, or -1 for a kill.
const FILE_ERROR: u64 = 4;
const SYNCS: u64 = 5;
/// The first of the words for failures at a rate: for each kind the rate per million, then the failures so
/// far.
const RATES: u64 = 8;
/// Number of kinds of `Failure`.
const KINDS: u64 = 6;
/// Bytes in a word.
const WORD_BYTES: u64 = 8;

/// A kind of failure that system calls can be given at a rate. The order is that of the kinds in `shim.c`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// A read on a socket returns EINTR.
    ReadInterrupted,
    /// A read on a socket returns only some of the bytes.
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

/// How the file call chosen by its number ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileFault {
    /// The call returns this error number.
    Error(i32),
    /// The process is killed during the call.
    Kill,
}

/// Controls the library in one or more processes.
pub struct Shim {
    control: NamedTempFile,
}

impl Shim {
    /// Builds the library and creates its control file, with which no call fails. `seed` decides which calls
    /// fail once a rate is set.
    ///
    /// # Errors
    /// If the library cannot be built or the control file cannot be created.
    pub fn new(seed: u64) -> io::Result<Shim> {
        library()?;
        let control = NamedTempFile::with_prefix("threadward-shim-")?;
        control.as_file().set_len((RATES + 2 * KINDS) * WORD_BYTES)?;
        let shim = Shim { control };
        shim.put(SEED, seed as i64)?;
        Ok(shim)
    }

    /// Makes a process that is about to start preload the library.
    ///
    /// # Errors
    /// If the library cannot be built.
    pub fn preload(&self, builder: ProcessBuilder) -> io::Result<ProcessBuilder> {
        Ok(builder.env("LD_PRELOAD", library()?).env(CONTROL_VARIABLE, self.control.path()))
    }

    /// Sets the difference between the wall clock of the processes and that of the machine.
    ///
    /// # Errors
    /// If the control file cannot be written.
    pub fn step_wall_clock(&self, microseconds: i64) -> io::Result<()> {
        self.put(WALL_OFFSET_US, microseconds)
    }

    /// Sets how many of a million calls fail in this way from now on.
    ///
    /// # Errors
    /// If the control file cannot be written.
    pub fn set_failure_rate(&self, kind: Failure, per_million: u32) -> io::Result<()> {
        self.put(RATES + 2 * kind as u64, i64::from(per_million))
    }

    /// Returns how many calls have been made to fail in this way.
    ///
    /// # Errors
    /// If the control file cannot be read.
    pub fn failure_count(&self, kind: Failure) -> io::Result<u64> {
        Ok(self.get(RATES + 2 * kind as u64 + 1)? as u64)
    }

    /// Returns how many calls that change files have been made so far.
    ///
    /// # Errors
    /// If the control file cannot be read.
    pub fn file_call_count(&self) -> io::Result<u64> {
        Ok(self.get(FILE_CALLS)? as u64)
    }

    /// Returns how many times a file or folder has been synced by fsync so far.
    ///
    /// # Errors
    /// If the control file cannot be read.
    pub fn sync_count(&self) -> io::Result<u64> {
        Ok(self.get(SYNCS)? as u64)
    }

    /// Makes the call with this number fail, among the calls that change files. They are counted from 1 over
    /// all processes with this control file. With 0 none of them fails.
    ///
    /// # Errors
    /// If the control file cannot be written.
    pub fn fail_file_call(&self, call: u64, fault: FileFault) -> io::Result<()> {
        self.put(FILE_ERROR, if let FileFault::Error(error) = fault { i64::from(error) } else { -1 })?;
        self.put(FAIL_FILE_CALL, call as i64)
    }

    fn file(&self) -> &File {
        self.control.as_file()
    }

    /// Writes a word of the control file.
    fn put(&self, word: u64, value: i64) -> io::Result<()> {
        self.file().write_all_at(&value.to_ne_bytes(), word * WORD_BYTES)
    }

    /// Reads a word of the control file.
    fn get(&self, word: u64) -> io::Result<i64> {
        let mut bytes = [0; WORD_BYTES as usize];
        self.file().read_exact_at(&mut bytes, word * WORD_BYTES)?;
        Ok(i64::from_ne_bytes(bytes))
    }
}

/// Returns the path of the library, and builds it at the first call in this process.
fn library() -> io::Result<PathBuf> {
    static BUILT: OnceLock<Result<(TempDir, PathBuf), String>> = OnceLock::new();
    let built = BUILT.get_or_init(|| build().map_err(|e| e.to_string()));
    built.as_ref().map(|(_, path)| path.clone()).map_err(|e| io::Error::other(e.clone()))
}

/// Builds the library in a temporary folder. Returns the folder and the path of the library.
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
