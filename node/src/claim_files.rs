//! Files by which the processes of one proxy share the call ids that they have claimed (see
//! [`threadward_core::claims`]).
//!
//! Each process writes to a file of its own, a ring of fixed size, while another one lives, and reads those of
//! the others before each claim. An entry holds an id and its number in the ring, so that an entry that is
//! old, torn or not there yet is recognised. A file is read through an open descriptor: what a process wrote
//! before it ended is read although its file was removed.
use crate::net::log;
use crate::node::Node;
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::rc::Rc;
use threadward_core::claims::{CallNumber, ClaimSharing, MAX_CLAIMS};

/// Bytes of an entry: the id, and the id combined with the entry's number.
const ENTRY_BYTES: usize = 16;
/// Entries read at a time.
const ENTRIES_PER_READ: u64 = 256;
/// Entries in a ring.
const RING_ENTRIES: u64 = MAX_CLAIMS as u64;

/// Returns the position of an entry in its file.
fn position(number: u64) -> u64 {
    number % RING_ENTRIES * ENTRY_BYTES as u64
}

/// Encodes an entry. Numbers begin with 1, so that an empty part of the file is no entry.
fn encode_entry(number: u64, call: CallNumber) -> [u8; ENTRY_BYTES] {
    let mut entry = [0; ENTRY_BYTES];
    entry[..8].copy_from_slice(&call.to_le_bytes());
    entry[8..].copy_from_slice(&(call ^ number).to_le_bytes());
    entry
}

/// Returns the id of an entry if it has this number.
fn decode_entry(entry: &[u8], number: u64) -> Option<CallNumber> {
    let word = |bytes: &[u8]| bytes.try_into().ok().map(u64::from_le_bytes);
    let call = word(entry.get(..8)?)?;
    (word(entry.get(8..)?)? ^ call == number).then_some(call)
}

/// The file of another process.
struct OtherFile {
    path: PathBuf,
    /// `None` as long as it can't be opened, for example because it isn't written yet.
    file: Option<File>,
    /// Number of the last entry that was read.
    last_read: u64,
}

impl OtherFile {
    /// Returns the ids that were added since the last call.
    fn read_new(&mut self) -> Vec<CallNumber> {
        if self.file.is_none() {
            self.file = File::open(&self.path).ok();
        }
        let mut calls = Vec::new();
        let Some(file) = &self.file else { return calls };
        let mut buffer = [0; ENTRY_BYTES * ENTRIES_PER_READ as usize];
        loop {
            let next = self.last_read + 1;
            let before_end = RING_ENTRIES - next % RING_ENTRIES;
            let wanted = ENTRY_BYTES * before_end.min(ENTRIES_PER_READ) as usize;
            let read = file.read_at(&mut buffer[..wanted], position(next)).unwrap_or(0);
            let entries = buffer[..read].chunks_exact(ENTRY_BYTES).zip(next..);
            let new = entries.map_while(|(entry, number)| decode_entry(entry, number));
            let count_before = calls.len();
            calls.extend(new);
            let new_count = calls.len() - count_before;
            self.last_read += new_count as u64;
            if new_count == 0 || new_count < wanted / ENTRY_BYTES {
                return calls;
            }
        }
    }
}

/// The own file and those of the other processes.
pub struct ClaimFiles {
    own_path: PathBuf,
    own_file: RefCell<Option<File>>,
    /// Number of the last entry in the own file.
    last_written: Cell<u64>,
    others: RefCell<Vec<OtherFile>>,
    /// Ids from files of processes that have ended, not returned yet.
    left: RefCell<Vec<CallNumber>>,
    write_failed: Cell<bool>,
}

impl ClaimFiles {
    /// Creates the files' state; nothing is opened yet.
    pub fn new(own_path: PathBuf) -> Rc<ClaimFiles> {
        Rc::new(ClaimFiles {
            own_path,
            own_file: RefCell::default(),
            last_written: Cell::new(0),
            others: RefCell::default(),
            left: RefCell::default(),
            write_failed: Cell::new(false),
        })
    }

    /// Sets the paths of the files of the other live processes, and opens those that exist.
    pub fn set_others(&self, paths: &[PathBuf]) {
        let mut others = self.others.borrow_mut();
        for other in others.iter_mut().filter(|other| !paths.contains(&other.path)) {
            self.left.borrow_mut().extend(other.read_new());
        }
        others.retain(|other| paths.contains(&other.path));
        for path in paths {
            if !others.iter().any(|other| other.path == *path) {
                others.push(OtherFile { path: path.clone(), file: None, last_read: 0 });
            }
        }
        for other in others.iter_mut().filter(|other| other.file.is_none()) {
            other.file = File::open(&other.path).ok();
        }
    }

    /// Creates the own file with these ids. One entry of the ring is left free, for the next id.
    ///
    /// # Errors
    /// Why it can't be created.
    pub fn open(&self, claimed: impl Iterator<Item = CallNumber>) -> std::io::Result<()> {
        let calls: Vec<CallNumber> = claimed.collect();
        let latest = &calls[calls.len().saturating_sub(RING_ENTRIES as usize - 1)..];
        let entries: Vec<u8> =
            (1..).zip(latest).flat_map(|(number, call)| encode_entry(number, *call)).collect();
        let file = File::options().write(true).create(true).truncate(true).open(&self.own_path)?;
        file.write_all_at(&entries, position(1))?;
        self.last_written.set(latest.len() as u64);
        self.own_file.replace(Some(file));
        Ok(())
    }

    /// Removes the own file, as there is nobody to read it.
    pub fn close(&self) {
        if self.own_file.take().is_some() {
            // If it stays, it is removed with this process's other files.
            let _ = std::fs::remove_file(&self.own_path);
        }
    }

    /// Returns the ids that other processes have added since the last call.
    pub fn read_others(&self) -> Vec<CallNumber> {
        let mut calls = self.left.take();
        self.others.borrow_mut().iter_mut().for_each(|other| calls.extend(other.read_new()));
        calls
    }

    /// Adds an id to the own file. Without it a request is served all the same: only a client that sends its
    /// id again at the other process could make it run twice.
    pub fn append(&self, call: CallNumber) {
        let own_file = self.own_file.borrow();
        let Some(file) = own_file.as_ref() else { return };
        let number = self.last_written.get() + 1;
        match file.write_all_at(&encode_entry(number, call), position(number)) {
            Ok(()) => {
                self.last_written.set(number);
                self.write_failed.set(false);
            }
            Err(e) if !self.write_failed.replace(true) => {
                log(&format!("shift: other processes do not get the ids of calls: {e}"));
            }
            Err(_) => {}
        }
    }
}

/// The planner's handle to the files.
struct SharedClaims(Rc<ClaimFiles>);

impl ClaimSharing for SharedClaims {
    fn exchange(&mut self, call: CallNumber) -> Vec<CallNumber> {
        // Written first: of two processes that claim an id at once, at least one reads the other's entry.
        self.0.append(call);
        self.0.read_others()
    }
}

/// Shares the claims of a node with the processes whose files have these paths, from now on.
pub fn share(node: &Node, files: &Rc<ClaimFiles>, others: &[PathBuf]) {
    files.set_others(others);
    let is_open = files.own_file.borrow().is_some();
    if others.is_empty() {
        if is_open {
            files.close();
            node.plan(|p, now| {
                p.claims().set_sharing(None);
                p.add_claims(now, files.read_others());
            });
        }
        return;
    }
    if is_open {
        return;
    }
    let opened = node.plan(|p, _| {
        p.claims().set_sharing(Some(Box::new(SharedClaims(files.clone()))));
        files.open(p.claims().all())
    });
    // Tried again at the next check.
    let failed = opened.is_err();
    if let Err(e) = opened.map_err(|e| format!("{}: {e}", files.own_path.display())) {
        if !files.write_failed.get() {
            log(&format!("shift: other processes do not get the ids of calls: {e}"));
        }
    }
    files.write_failed.set(failed);
}
