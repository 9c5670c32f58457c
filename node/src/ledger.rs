//! The files that the processes of one proxy share in `$TMPDIR`: the staff's calls, and a file for each process that
//! lives. It owns their form, their locks and their names. It must never judge what it reads, nor take a damaged,
//! foreign or newer file for a good one: what cannot be trusted is left out and said so.
use crate::clock::file_age;
use sha2::{Digest, Sha256};
use std::cell::RefCell;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Read, Write};
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};
use threadward_core::bans::{BanState, BanStates, MAX_SERVERS};
use threadward_core::shift::{Phase, ProcessStatus, Rank};
use threadward_core::{Learned, UnixTime};

/// Longest line of the file of calls, and longest file: what is larger is not ours.
const LINE: usize = 200;
const FILE: u64 = (MAX_SERVERS * LINE) as u64;
/// Entries of the folder that are looked at: it is ours, but nobody empties it.
const ENTRIES: usize = 1_000;

fn sum(text: &str) -> String {
    Sha256::digest(text.as_bytes()).iter().map(|b| format!("{b:02x}")).collect()
}

/// A text as it stands in a file: its kind and version first, a check sum last.
fn seal(kind: &str, body: &str) -> String {
    let text = format!("threadward-{kind} 1\n{body}");
    format!("{text}sum {}\n", sum(&text))
}

/// What a sealed text holds.
///
/// # Errors
/// Why it cannot be trusted.
fn unseal<'a>(kind: &str, text: &'a str) -> Result<&'a str, String> {
    let (first, _) = text.split_once('\n').unwrap_or((text, ""));
    let version = first.strip_prefix("threadward-").and_then(|f| f.strip_prefix(kind)?.strip_prefix(' '));
    match version {
        None => return Err(format!("not a file of {kind}")),
        Some("1") => {}
        Some(_) => return Err("of another version of the program".into()),
    }
    let at = text.strip_suffix('\n').and_then(|t| t.rfind('\n')).ok_or("cut short")? + 1;
    if text[at..].trim_end().strip_prefix("sum ") != Some(&sum(&text[..at])) {
        return Err("cut short or damaged".into());
    }
    text.get(first.len() + 1..at).ok_or_else(|| "cut short".into())
}

/// The calls as they stand in the file, with their version: it counts up with each change.
pub fn format_bans(version: u64, calls: &BanStates) -> String {
    let mut text = format!("version {version}\n");
    for (id, c) in calls {
        text += &match c {
            BanState::Banned(at) => format!("out {id} {}\n", at.micros()),
            BanState::Lifted { banned_at: out, lifted_at: at } => {
                format!("back {id} {} {}\n", out.micros(), at.micros())
            }
        };
    }
    seal("bans", &text)
}

/// Reads the file of calls.
///
/// # Errors
/// Why it cannot be trusted.
pub fn parse_bans(text: &str) -> Result<(u64, BanStates), String> {
    let mut lines = unseal("bans", text)?.lines();
    let version = lines.next().and_then(|l| l.strip_prefix("version ")?.parse().ok()).ok_or("no version")?;
    let mut calls = BanStates::new();
    for line in lines {
        let words: Vec<&str> = line.split(' ').collect();
        let time =
            |t: &str| t.parse().map(UnixTime::from_micros).map_err(|_| format!("a time that is none: {t}"));
        let (id, call) = match words[..] {
            ["out", id, at] => (id, BanState::Banned(time(at)?)),
            ["back", id, out, at] => (id, BanState::Lifted { banned_at: time(out)?, lifted_at: time(at)? }),
            _ => return Err("a line that is no call".into()),
        };
        calls.insert(id.to_owned(), call);
    }
    (calls.len() <= MAX_SERVERS).then_some((version, calls)).ok_or_else(|| "too many calls".into())
}

/// What one process hands to the next: the figures, and the classes that they are about, by name.
pub fn format_learned(classes: &[String], learned: &Learned) -> String {
    seal("learned", &format!("{}\n", serde_json::json!({ "classes": classes, "learned": learned })))
}

/// Reads what another process has learned.
///
/// # Errors
/// Why it cannot be trusted.
pub fn parse_learned(classes: &[String], text: &str) -> Result<Learned, String> {
    #[derive(serde::Deserialize)]
    struct File {
        classes: Vec<String>,
        learned: Learned,
    }
    let file: File = serde_json::from_str(unseal("learned", text)?).map_err(|e| e.to_string())?;
    (file.classes == classes).then_some(file.learned).ok_or_else(|| "of other classes".into())
}

/// A process as its file shows it.
fn sign(name: &str, text: &str) -> Option<ProcessStatus> {
    let (started, number) = name.split_once('-')?;
    let rank: Rank = (u64::from_str_radix(started, 16).ok()?, number.parse().ok()?);
    // One that is only just there, or writing, is a process that starts.
    let (phase, bans) = text.trim_end().split_once(' ').unwrap_or_default();
    let phase = match phase {
        "ready" => Phase::Ready,
        "leaving" => Phase::Ending,
        _ => Phase::Starting,
    };
    Some(ProcessStatus { rank, phase, bans_version: bans.trim().parse().unwrap_or(0) })
}

/// Why the calls are not there.
#[derive(Debug, PartialEq, Eq)]
pub enum BansFileError {
    /// The file could not be read this time, for want of descriptors, say.
    Unreadable(String),
    /// What it holds cannot be trusted, however often it is read.
    Invalid(String),
}

/// The files of one proxy, by its name.
pub struct SharedFiles {
    folder: PathBuf,
    name: String,
    /// The file by which the others see this process; nothing while it cannot be made.
    own: RefCell<Option<File>>,
    rank: Rank,
    /// Who lived when the folder could last be read.
    lived: RefCell<Vec<ProcessStatus>>,
}

impl SharedFiles {
    /// Opens the folder and shows this process in it. Where nothing can be written for now, what is kept there is read all
    /// the same, and each [`SharedFiles::show`] tries to show this process again.
    ///
    /// # Errors
    /// Where there is no such folder.
    pub fn open(folder: &Path, name: &str, rank: Rank) -> Result<SharedFiles, String> {
        let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let name = format!("threadward-{}", name.chars().map(plain).collect::<String>());
        if !folder.is_dir() {
            return Err(format!("{}: no such folder", folder.display()));
        }
        remove_unnamed(folder, &format!("{name}.new-"));
        let (own, lived) = (RefCell::default(), RefCell::default());
        let ledger = SharedFiles { folder: folder.to_owned(), name, own, rank, lived };
        // Tried again by `show`.
        if let Err(why) = ledger.appear() {
            crate::net::log(&format!("shift: other processes cannot see this one yet: {why}"));
        }
        Ok(ledger)
    }

    /// Makes the file by which the others see this process.
    fn appear(&self) -> Result<(), String> {
        let aside = self.path("new", self.rank);
        let why = |e: std::io::Error| format!("{}: {e}", aside.display());
        let open = OpenOptions::new().write(true).create(true).truncate(true).open(&aside);
        let own = open.map_err(why)?;
        // Locked before it has its name: one that is seen without a lock is of a process that ended.
        own.try_lock().map_err(|e| format!("{}: {e}", aside.display()))?;
        std::fs::rename(&aside, self.path("run", self.rank)).map_err(why)?;
        self.own.replace(Some(own));
        Ok(())
    }

    /// The file of this kind that belongs to one process.
    fn path(&self, kind: &str, of: Rank) -> PathBuf {
        self.folder.join(format!("{}.{kind}-{:016x}-{}", self.name, of.0, of.1))
    }

    pub fn rank(&self) -> Rank {
        self.rank
    }

    /// Shows the own phase, and the version of the bans that is in force here.
    ///
    /// # Errors
    /// What cannot be written: the others see what was shown before, or nothing.
    pub fn publish(&self, phase: Phase, bans: u64) -> Result<(), String> {
        let word = match phase {
            Phase::Starting => "starting",
            Phase::Ready => "ready",
            Phase::Ending => "leaving",
        };
        // Of one length, so that nothing of an earlier text is left.
        let text = format!("{word:<8} {bans:>20}\n");
        if self.own.borrow().is_none() {
            self.appear()?;
        }
        let own = self.own.borrow();
        let written = own.as_ref().map_or(Ok(()), |file| file.write_all_at(text.as_bytes(), 0));
        written.map_err(|e| format!("{}: {e}", self.path("run", self.rank).display()))
    }

    /// The other processes of this proxy that live. What the ended ones left is removed. While the folder cannot be read
    /// they are those that lived before: one that cannot be looked at has not ended.
    pub fn other_processes(&self) -> Vec<ProcessStatus> {
        if let Ok(found) = self.alive() {
            self.lived.replace(found);
        }
        self.lived.borrow().clone()
    }

    fn alive(&self) -> std::io::Result<Vec<ProcessStatus>> {
        let (prefix, own) = (format!("{}.run-", self.name), self.path("run", self.rank));
        let names = std::fs::read_dir(&self.folder)?.take(ENTRIES);
        let names = names.filter_map(|e| e.ok()?.file_name().into_string().ok());
        let mut found = Vec::new();
        for file in names.filter(|n| n.starts_with(&prefix)) {
            let path = self.folder.join(&file);
            if path == own {
                continue;
            }
            let mut f = match File::open(&path) {
                Ok(f) => f,
                // Removed meanwhile by another one that looked.
                Err(e) if e.kind() == std::io::ErrorKind::NotFound => continue,
                Err(e) => return Err(e),
            };
            match f.try_lock_shared() {
                Err(TryLockError::WouldBlock) => {
                    let mut text = String::new();
                    // One that cannot be read counts as a process that starts.
                    let _ = (&mut f).take(64).read_to_string(&mut text);
                    found.extend(sign(&file[prefix.len()..], &text));
                }
                Ok(()) => {
                    // The file that the others are found by goes last: whoever removes them may be ended in between.
                    for of in [".learned-", ".sock-", ".aside-", ".run-"] {
                        // What stays is removed by the next one that looks.
                        let _ = std::fs::remove_file(self.folder.join(file.replacen(".run-", of, 1)));
                    }
                }
                Err(TryLockError::Error(e)) => return Err(e),
            }
        }
        Ok(found)
    }

    fn calls_path(&self) -> PathBuf {
        self.folder.join(format!("{}.bans", self.name))
    }

    /// What tells one state of the file of calls from another; nothing: there is none.
    pub fn bans_file_stamp(&self) -> Option<(u64, i64, i64, u64)> {
        let m = std::fs::metadata(self.calls_path()).ok()?;
        Some((m.ino(), m.mtime(), m.mtime_nsec(), m.size()))
    }

    /// The calls that are kept, with their version; none where nothing was ever kept.
    ///
    /// # Errors
    /// Why they cannot be had, or not be trusted.
    pub fn load_bans(&self) -> Result<(u64, BanStates), BansFileError> {
        let text = bounded(&self.calls_path())?;
        Ok(text.map(|t| parse_bans(&t)).transpose().map_err(BansFileError::Invalid)?.unwrap_or_default())
    }

    /// Where a process hands its listening socket over.
    pub fn socket_path(&self, rank: Rank) -> PathBuf {
        self.path("sock", rank)
    }

    /// Hands what was learned to a process that starts.
    ///
    /// # Errors
    /// What cannot be written.
    pub fn send_learned(&self, pupil: Rank, text: &str) -> Result<(), String> {
        // Not synced: what was learned is lost without harm.
        self.replace(&self.path("learned", pupil), text, |_| Ok(()))
    }

    /// What another process has handed to this one, once.
    ///
    /// # Errors
    /// Why it cannot be trusted.
    pub fn take_learned(&self, classes: &[String]) -> Result<Option<Learned>, String> {
        let path = self.path("learned", self.rank);
        let text =
            bounded(&path).map_err(|(BansFileError::Unreadable(why) | BansFileError::Invalid(why))| why)?;
        if text.is_some() {
            // One that stays is removed with this process's other files.
            let _ = std::fs::remove_file(&path);
        }
        text.map(|t| parse_learned(classes, &t)).transpose()
    }

    /// Written aside and renamed, so that no reader sees half of it; `sync`: what has to be done before it has its name.
    fn replace(
        &self,
        path: &Path,
        text: &str,
        sync: impl FnOnce(&File) -> std::io::Result<()>,
    ) -> Result<(), String> {
        let aside = self.path("aside", self.rank);
        let done = File::create(&aside)
            .and_then(|mut f| f.write_all(text.as_bytes()).and_then(|()| sync(&f)))
            .and_then(|()| std::fs::rename(&aside, path));
        done.map_err(|e| format!("{}: {e}", aside.display()))
    }

    /// Keeps the calls, so that neither a kill nor a loss of power undoes them.
    ///
    /// # Errors
    /// What cannot be written or synced. The calls may have taken effect all the same.
    pub fn store_bans(&self, version: u64, calls: &BanStates) -> Result<(), String> {
        self.replace(&self.calls_path(), &format_bans(version, calls), File::sync_all)?;
        self.sync_folder()
    }

    /// Makes the names of files durable.
    ///
    /// # Errors
    /// Why they cannot be.
    pub fn sync_folder(&self) -> Result<(), String> {
        let synced = File::open(&self.folder).and_then(|folder| folder.sync_all());
        synced.map_err(|e| format!("{}: {e}", self.folder.display()))
    }

    /// The right to change the calls, until dropped; nothing while another process has it.
    ///
    /// # Errors
    /// Why it cannot be had at all.
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

/// Removes what processes left that ended before they had a name. One that starts just now has it within moments.
fn remove_unnamed(folder: &Path, prefix: &str) {
    const OLD: std::time::Duration = std::time::Duration::from_secs(60);
    for e in std::fs::read_dir(folder).into_iter().flatten().take(ENTRIES).flatten() {
        let age = e.metadata().and_then(|m| m.modified()).ok().and_then(file_age);
        // A step of the wall clock makes any file look old, but one of a process that lives is locked.
        let ended = || File::open(e.path()).is_ok_and(|f| f.try_lock_shared().is_ok());
        if e.file_name().to_string_lossy().starts_with(prefix) && age.is_some_and(|a| a > OLD) && ended() {
            // The next start removes what stays.
            let _ = std::fs::remove_file(e.path());
        }
    }
}

/// A file's text; nothing where there is no such file.
fn bounded(path: &Path) -> Result<Option<String>, BansFileError> {
    let unread = |e: std::io::Error| BansFileError::Unreadable(e.to_string());
    let file = match File::open(path) {
        Ok(f) => f,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(unread(e)),
    };
    let mut bytes = Vec::new();
    file.take(FILE + 1).read_to_end(&mut bytes).map_err(unread)?;
    if bytes.len() as u64 > FILE {
        return Err(BansFileError::Invalid("too long".into()));
    }
    String::from_utf8(bytes).map(Some).map_err(|_| BansFileError::Invalid("not a text".into()))
}
