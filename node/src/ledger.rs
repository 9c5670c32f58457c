//! The files that the processes of one proxy share in `$TMPDIR`: the bans set by operators, and a status file
//! and recent events of discovery for each live process. This module defines their format, locks and names.
//!
//! A file that is damaged, foreign or of a newer version is rejected with an error and never used. What a
//! file says is not interpreted here.
use crate::clock::file_age;
use crate::events_file::parse_events;
use sha2::{Digest, Sha256};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Read, Write};
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};
use threadward_core::bans::{BanState, BanStates, MAX_SERVERS};
use threadward_core::event_sharing::SharedEvent;
use threadward_core::shift::{Phase, ProcessStatus, Rank};
use threadward_core::{Learned, UnixTime};

/// Maximum length of a line in the file of bans, in bytes.
const MAX_LINE_BYTES: usize = 200;
/// Maximum length of a shared file, in bytes: a larger one wasn't written by this program.
const MAX_FILE_BYTES: u64 = (MAX_SERVERS * MAX_LINE_BYTES) as u64;
/// Maximum number of folder entries that are read: the folder belongs to the proxy, but nobody empties it.
const MAX_FOLDER_ENTRIES: usize = 1_000;

/// Returns the SHA-256 of a text in hexadecimal.
fn checksum(text: &str) -> String {
    Sha256::digest(text.as_bytes()).iter().map(|b| format!("{b:02x}")).collect()
}

/// Returns a text in the form in which it is stored: with its kind and version first and a checksum last.
pub(crate) fn seal(kind: &str, body: &str) -> String {
    let text = format!("threadward-{kind} 1\n{body}");
    format!("{text}sum {}\n", checksum(&text))
}

/// Returns the body of a stored text, after checking its kind, version and checksum.
///
/// # Errors
/// Why it can't be used.
pub(crate) fn unseal<'a>(kind: &str, text: &'a str) -> Result<&'a str, String> {
    let (first, _) = text.split_once('\n').unwrap_or((text, ""));
    let version = first.strip_prefix("threadward-").and_then(|f| f.strip_prefix(kind)?.strip_prefix(' '));
    match version {
        None => return Err(format!("not a file of {kind}")),
        Some("1") => {}
        Some(_) => return Err("of another version of the program".into()),
    }
    let at = text.strip_suffix('\n').and_then(|t| t.rfind('\n')).ok_or("cut short")? + 1;
    if text[at..].trim_end().strip_prefix("sum ") != Some(&checksum(&text[..at])) {
        return Err("cut short or damaged".into());
    }
    text.get(first.len() + 1..at).ok_or_else(|| "cut short".into())
}

/// Returns the content of the file of bans. `version` is increased by each change.
pub fn format_bans(version: u64, ban_states: &BanStates) -> String {
    let mut text = format!("version {version}\n");
    for (id, c) in ban_states {
        text += &match c {
            BanState::Banned(at) => format!("out {id} {}\n", at.micros()),
            BanState::Lifted { banned_at: out, lifted_at: at } => {
                format!("back {id} {} {}\n", out.micros(), at.micros())
            }
        };
    }
    seal("bans", &text)
}

/// Parses the content of the file of bans.
///
/// # Errors
/// Why it can't be used.
pub fn parse_bans(text: &str) -> Result<(u64, BanStates), String> {
    let mut lines = unseal("bans", text)?.lines();
    let version = lines.next().and_then(|l| l.strip_prefix("version ")?.parse().ok()).ok_or("no version")?;
    let mut ban_states = BanStates::new();
    for line in lines {
        let words: Vec<&str> = line.split(' ').collect();
        let time = |t: &str| t.parse().map(UnixTime::from_micros).map_err(|_| format!("not a time: {t}"));
        let (id, state) = match words[..] {
            ["out", id, at] => (id, BanState::Banned(time(at)?)),
            ["back", id, out, at] => (id, BanState::Lifted { banned_at: time(out)?, lifted_at: time(at)? }),
            _ => return Err("not a line about a ban".into()),
        };
        ban_states.insert(id.to_owned(), state);
    }
    (ban_states.len() <= MAX_SERVERS).then_some((version, ban_states)).ok_or_else(|| "too many bans".into())
}

/// Returns the text by which one process hands its learned state to the next, with the names of the classes
/// that it is about.
pub fn format_learned(classes: &[String], learned: &Learned) -> String {
    seal("learned", &format!("{}\n", serde_json::json!({ "classes": classes, "learned": learned })))
}

/// Parses the learned state of another process, which must have the same classes.
///
/// # Errors
/// Why it can't be used.
pub fn parse_learned(classes: &[String], text: &str) -> Result<Learned, String> {
    #[derive(serde::Deserialize)]
    struct File {
        classes: Vec<String>,
        learned: Learned,
    }
    let file: File = serde_json::from_str(unseal("learned", text)?).map_err(|e| e.to_string())?;
    (file.classes == classes).then_some(file.learned).ok_or_else(|| "of other classes".into())
}

/// Parses the status file of another process, from the end of its name and its text.
fn parse_status(name: &str, text: &str) -> Option<ProcessStatus> {
    let (started, number) = name.split_once('-')?;
    let rank: Rank = (u64::from_str_radix(started, 16).ok()?, number.parse().ok()?);
    // An empty or half-written file belongs to a process that is starting.
    let (phase, bans) = text.trim_end().split_once(' ').unwrap_or_default();
    let phase = match phase {
        "ready" => Phase::Ready,
        "leaving" => Phase::Ending,
        _ => Phase::Starting,
    };
    Some(ProcessStatus { rank, phase, bans_version: bans.trim().parse().unwrap_or(0) })
}

/// Why the file of bans can't be used.
#[derive(Debug, PartialEq, Eq)]
pub enum BansFileError {
    /// The file couldn't be read this time, for example because descriptors ran out.
    Unreadable(String),
    /// Its content is invalid, however often it is read.
    Invalid(String),
}

/// The shared files of one proxy, as one of its processes uses them. Their names begin with the proxy's name.
pub struct SharedFiles {
    folder: PathBuf,
    name: String,
    /// This process's status file, which it keeps locked; `None` while it can't be created.
    status_file: RefCell<Option<File>>,
    rank: Rank,
    /// The other processes that were live when the folder could last be read.
    last_live: RefCell<Vec<ProcessStatus>>,
    /// The state of each other process's file of events when it was last read, and the number of its last
    /// event.
    events_read: RefCell<BTreeMap<Rank, (FileStamp, u64)>>,
    /// Events of processes that have ended, which were read before their files were removed.
    events_left: RefCell<Vec<SharedEvent>>,
}

/// What tells one state of a file from another: inode, time of change (seconds and nanoseconds) and size.
pub type FileStamp = (u64, i64, i64, u64);

/// Returns the state of a file; `None` if there is no such file.
fn file_stamp(path: &Path) -> Option<FileStamp> {
    let m = std::fs::metadata(path).ok()?;
    Some((m.ino(), m.mtime(), m.mtime_nsec(), m.size()))
}

impl SharedFiles {
    /// Opens the folder and creates this process's status file in it. If nothing can be written for now, the
    /// files there can still be read, and each [`SharedFiles::publish`] tries to create the status file
    /// again.
    ///
    /// # Errors
    /// If there is no such folder.
    pub fn open(folder: &Path, name: &str, rank: Rank) -> Result<SharedFiles, String> {
        let sanitize = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let name = format!("threadward-{}", name.chars().map(sanitize).collect::<String>());
        if !folder.is_dir() {
            return Err(format!("{}: no such folder", folder.display()));
        }
        remove_unnamed(folder, &format!("{name}.new-"));
        let ledger = SharedFiles {
            folder: folder.to_owned(),
            name,
            status_file: RefCell::default(),
            rank,
            last_live: RefCell::default(),
            events_read: RefCell::default(),
            events_left: RefCell::default(),
        };
        // Tried again by `publish`.
        if let Err(why) = ledger.create_status_file() {
            crate::net::log(&format!("shift: other processes cannot see this one yet: {why}"));
        }
        Ok(ledger)
    }

    /// Creates this process's status file and locks it.
    fn create_status_file(&self) -> Result<(), String> {
        let temporary = self.path("new", self.rank);
        let with_path = |e: std::io::Error| format!("{}: {e}", temporary.display());
        let open = OpenOptions::new().write(true).create(true).truncate(true).open(&temporary);
        let status_file = open.map_err(with_path)?;
        // Locked before it gets its name: a status file found unlocked belongs to a process that has ended.
        status_file.try_lock().map_err(|e| format!("{}: {e}", temporary.display()))?;
        std::fs::rename(&temporary, self.path("run", self.rank)).map_err(with_path)?;
        self.status_file.replace(Some(status_file));
        Ok(())
    }

    /// Returns the path of the file of this kind that belongs to one process.
    fn path(&self, kind: &str, of: Rank) -> PathBuf {
        self.folder.join(format!("{}.{kind}-{:016x}-{}", self.name, of.0, of.1))
    }

    /// Returns the rank of this process.
    pub fn rank(&self) -> Rank {
        self.rank
    }

    /// Writes this process's phase, and the version of the bans in force here, to its status file.
    ///
    /// # Errors
    /// What couldn't be written. The other processes then see the previous status, or none.
    pub fn publish(&self, phase: Phase, bans: u64) -> Result<(), String> {
        let word = match phase {
            Phase::Starting => "starting",
            Phase::Ready => "ready",
            Phase::Ending => "leaving",
        };
        // Always of the same length, so that nothing of an earlier text remains.
        let text = format!("{word:<8} {bans:>20}\n");
        if self.status_file.borrow().is_none() {
            self.create_status_file()?;
        }
        let status_file = self.status_file.borrow();
        let written = status_file.as_ref().map_or(Ok(()), |file| file.write_all_at(text.as_bytes(), 0));
        written.map_err(|e| format!("{}: {e}", self.path("run", self.rank).display()))
    }

    /// Returns the other live processes of this proxy, and removes the files of those that have ended. While
    /// the folder can't be read, returns those that were live before: a process that can't be checked hasn't
    /// ended.
    pub fn other_processes(&self) -> Vec<ProcessStatus> {
        if let Ok(found) = self.read_status_files() {
            self.last_live.replace(found);
        }
        self.last_live.borrow().clone()
    }

    /// Reads the status files of the other processes. A file that isn't locked belongs to a process that has
    /// ended: its files are removed.
    fn read_status_files(&self) -> std::io::Result<Vec<ProcessStatus>> {
        let (prefix, own_path) = (format!("{}.run-", self.name), self.path("run", self.rank));
        let names = std::fs::read_dir(&self.folder)?.take(MAX_FOLDER_ENTRIES);
        let names = names.filter_map(|e| e.ok()?.file_name().into_string().ok());
        let mut found = Vec::new();
        for file in names.filter(|n| n.starts_with(&prefix)) {
            let path = self.folder.join(&file);
            if path == own_path {
                continue;
            }
            let mut f = match File::open(&path) {
                Ok(f) => f,
                // Removed meanwhile by another process.
                Err(e) if e.kind() == std::io::ErrorKind::NotFound => continue,
                Err(e) => return Err(e),
            };
            match f.try_lock_shared() {
                Err(TryLockError::WouldBlock) => {
                    let mut text = String::new();
                    // A process whose file can't be read counts as starting.
                    let _ = (&mut f).take(64).read_to_string(&mut text);
                    found.extend(parse_status(&file[prefix.len()..], &text));
                }
                Ok(()) => {
                    if let Some(ended) = parse_status(&file[prefix.len()..], "") {
                        let events = self.read_events(ended.rank);
                        self.events_left.borrow_mut().extend(events);
                        self.events_read.borrow_mut().remove(&ended.rank);
                    }
                    // The status file, by which the others are found, is removed last: the process that
                    // removes them may be killed in between.
                    for of in [".learned-", ".events-", ".claims-", ".sock-", ".aside-", ".run-"] {
                        // A file that stays is removed at a later check.
                        let _ = std::fs::remove_file(self.folder.join(file.replacen(".run-", of, 1)));
                    }
                }
                Err(TryLockError::Error(e)) => return Err(e),
            }
        }
        Ok(found)
    }

    fn bans_path(&self) -> PathBuf {
        self.folder.join(format!("{}.bans", self.name))
    }

    /// Returns the state of the file of bans; `None` if there is no file.
    pub fn bans_file_stamp(&self) -> Option<FileStamp> {
        file_stamp(&self.bans_path())
    }

    /// Writes this process's recent events of discovery for the other processes.
    ///
    /// # Errors
    /// What can't be written.
    pub fn write_events(&self, text: &str) -> Result<(), String> {
        // Not synced: after a loss of power there is no other process to read it.
        self.replace(&self.path("events", self.rank), text, |_| Ok(()))
    }

    /// Returns the events of discovery that other processes have written since the last call, also of those
    /// that have ended since.
    pub fn take_events(&self) -> Vec<SharedEvent> {
        let mut events = self.events_left.take();
        let live: Vec<Rank> = self.last_live.borrow().iter().map(|process| process.rank).collect();
        live.into_iter().for_each(|rank| events.extend(self.read_events(rank)));
        events
    }

    /// Returns the events of a process that it has written since its file was last read. A file that can't
    /// be read for now is read again at the next call; an invalid one is skipped until it has changed.
    fn read_events(&self, of: Rank) -> Vec<SharedEvent> {
        let path = self.path("events", of);
        let Some(stamp) = file_stamp(&path) else { return Vec::new() };
        let (read_stamp, last_sequence) = self.events_read.borrow().get(&of).copied().unwrap_or_default();
        if stamp == read_stamp {
            return Vec::new();
        }
        let Ok(Some(text)) = read_bounded(&path) else { return Vec::new() };
        let mut events = parse_events(&text).unwrap_or_default();
        events.retain(|event| event.sequence > last_sequence);
        let last_sequence = events.last().map_or(last_sequence, |event| event.sequence);
        self.events_read.borrow_mut().insert(of, (stamp, last_sequence));
        events
    }

    /// Returns the version of the stored bans and the bans; version 0 and none if nothing was ever stored.
    ///
    /// # Errors
    /// Why they can't be read or are invalid.
    pub fn load_bans(&self) -> Result<(u64, BanStates), BansFileError> {
        let text = read_bounded(&self.bans_path())?;
        Ok(text.map(|t| parse_bans(&t)).transpose().map_err(BansFileError::Invalid)?.unwrap_or_default())
    }

    /// Returns the path of the Unix socket at which a process hands over its listening socket.
    pub fn socket_path(&self, rank: Rank) -> PathBuf {
        self.path("sock", rank)
    }

    /// Returns the path of the file of a process with the call ids that it has claimed.
    pub fn claims_path(&self, rank: Rank) -> PathBuf {
        self.path("claims", rank)
    }

    /// Writes the learned state for a process that starts.
    ///
    /// # Errors
    /// What cannot be written.
    pub fn send_learned(&self, recipient: Rank, text: &str) -> Result<(), String> {
        // Not synced: losing the learned state does no harm.
        self.replace(&self.path("learned", recipient), text, |_| Ok(()))
    }

    /// Reads and removes the learned state that another process has written for this one.
    ///
    /// # Errors
    /// Why it can't be used.
    pub fn take_learned(&self, classes: &[String]) -> Result<Option<Learned>, String> {
        let path = self.path("learned", self.rank);
        let text = read_bounded(&path)
            .map_err(|(BansFileError::Unreadable(why) | BansFileError::Invalid(why))| why)?;
        if text.is_some() {
            // If it stays, it is removed with this process's other files.
            let _ = std::fs::remove_file(&path);
        }
        text.map(|t| parse_learned(classes, &t)).transpose()
    }

    /// Replaces a file by writing a temporary one and renaming it, so that no reader sees half of it. `sync`
    /// is called before the rename.
    fn replace(
        &self,
        path: &Path,
        text: &str,
        sync: impl FnOnce(&File) -> std::io::Result<()>,
    ) -> Result<(), String> {
        let temporary = self.path("aside", self.rank);
        let done = File::create(&temporary)
            .and_then(|mut f| f.write_all(text.as_bytes()).and_then(|()| sync(&f)))
            .and_then(|()| std::fs::rename(&temporary, path));
        done.map_err(|e| format!("{}: {e}", temporary.display()))
    }

    /// Stores the bans durably: neither a kill nor a power loss undoes them.
    ///
    /// # Errors
    /// What couldn't be written or synced. The bans may have been stored all the same.
    pub fn store_bans(&self, version: u64, ban_states: &BanStates) -> Result<(), String> {
        self.replace(&self.bans_path(), &format_bans(version, ban_states), File::sync_all)?;
        self.sync_folder()
    }

    /// Syncs the folder, which makes the names of its files durable.
    ///
    /// # Errors
    /// Why it can't be synced.
    pub fn sync_folder(&self) -> Result<(), String> {
        let synced = File::open(&self.folder).and_then(|folder| folder.sync_all());
        synced.map_err(|e| format!("{}: {e}", self.folder.display()))
    }

    /// Locks the bans for a change, until the returned file is dropped. Returns `None` while another process
    /// holds the lock.
    ///
    /// # Errors
    /// Why the lock can't be taken at all.
    pub fn lock_bans(&self) -> Result<Option<File>, String> {
        let path = self.folder.join(format!("{}.lock", self.name));
        let open = OpenOptions::new().write(true).create(true).truncate(false).open(&path);
        let file = open.map_err(|e| format!("{}: {e}", path.display()))?;
        match file.try_lock() {
            Ok(()) => Ok(Some(file)),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(e)) => Err(format!("{}: {e}", path.display())),
        }
    }
}

/// Removes status files that were left without their final name, by processes that ended too early. A process
/// that is starting renames its file within moments.
fn remove_unnamed(folder: &Path, prefix: &str) {
    const MIN_AGE: std::time::Duration = std::time::Duration::from_secs(60);
    for e in std::fs::read_dir(folder).into_iter().flatten().take(MAX_FOLDER_ENTRIES).flatten() {
        let age = e.metadata().and_then(|m| m.modified()).ok().and_then(file_age);
        // A step of the wall clock makes any file look old, but the file of a live process is locked.
        let ended = || File::open(e.path()).is_ok_and(|f| f.try_lock_shared().is_ok());
        if e.file_name().to_string_lossy().starts_with(prefix) && age.is_some_and(|a| a > MIN_AGE) && ended()
        {
            // A file that stays is removed by the next start.
            let _ = std::fs::remove_file(e.path());
        }
    }
}

/// Returns the text of a file of limited size; `None` if there is no such file.
fn read_bounded(path: &Path) -> Result<Option<String>, BansFileError> {
    let unread = |e: std::io::Error| BansFileError::Unreadable(e.to_string());
    let file = match File::open(path) {
        Ok(f) => f,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(unread(e)),
    };
    let mut bytes = Vec::new();
    file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes).map_err(unread)?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(BansFileError::Invalid("too long".into()));
    }
    String::from_utf8(bytes).map(Some).map_err(|_| BansFileError::Invalid("not a text".into()))
}
