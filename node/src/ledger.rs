//! The files that the processes of one proxy share in `$TMPDIR`: the staff's calls, and a file for each process that
//! lives. It owns their form, their locks and their names. It must never judge what it reads, nor take a damaged,
//! foreign or newer file for a good one: what cannot be trusted is left out and said so.
use sha2::{Digest, Sha256};
use std::ffi::OsString;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Read, Write};
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};
use threadward_core::bans::{Call, Calls, MOST};
use threadward_core::shift::{Phase, Rank, Sign};

const FIRST: &str = "threadward-bans 1";
/// Longest line of the file of calls, and longest file: what is larger is not ours.
const LINE: usize = 200;
const FILE: u64 = (MOST * LINE) as u64;
/// Entries of the folder that are looked at: it is ours, but nobody empties it.
const ENTRIES: usize = 1_000;

/// The calls as they stand in the file, with their version: it counts up with each change.
pub fn write_calls(version: u64, calls: &Calls) -> String {
    let mut text = format!("{FIRST}\nversion {version}\n");
    for (id, c) in calls {
        text += &match c {
            Call::Out(at) => format!("out {id} {at}\n"),
            Call::Back { out, at } => format!("back {id} {out} {at}\n"),
        };
    }
    let sum = Sha256::digest(text.as_bytes());
    text + "sum " + &sum.iter().map(|b| format!("{b:02x}")).collect::<String>() + "\n"
}

/// Reads the file of calls.
///
/// # Errors
/// Why it cannot be trusted.
pub fn read_calls(text: &str) -> Result<(u64, Calls), String> {
    if !text.starts_with("threadward-bans ") {
        return Err("not a file of bans".into());
    }
    let Some((first, _)) = text.split_once('\n').filter(|(f, _)| *f == FIRST) else {
        return Err("of another version of the program".into());
    };
    let at = text.strip_suffix('\n').and_then(|t| t.rfind('\n')).ok_or("cut short")? + 1;
    let sum: String = Sha256::digest(&text.as_bytes()[..at]).iter().map(|b| format!("{b:02x}")).collect();
    if text[at..].trim_end().strip_prefix("sum ") != Some(&sum) {
        return Err("cut short or damaged".into());
    }
    let mut lines = text[first.len() + 1..at].lines();
    let version = lines.next().and_then(|l| l.strip_prefix("version ")?.parse().ok()).ok_or("no version")?;
    let mut calls = Calls::new();
    for line in lines {
        let words: Vec<&str> = line.split(' ').collect();
        let time = |t: &str| t.parse().map_err(|_| format!("a time that is none: {t}"));
        let (id, call) = match words[..] {
            ["out", id, at] => (id, Call::Out(time(at)?)),
            ["back", id, out, at] => (id, Call::Back { out: time(out)?, at: time(at)? }),
            _ => return Err("a line that is no call".into()),
        };
        calls.insert(id.to_owned(), call);
    }
    (calls.len() <= MOST).then_some((version, calls)).ok_or_else(|| "too many calls".into())
}

/// A process as its file shows it.
fn sign(name: &str, text: &str) -> Option<Sign> {
    let (started, number) = name.split_once('-')?;
    let rank: Rank = (u64::from_str_radix(started, 16).ok()?, number.parse().ok()?);
    // One that is only just there, or writing, is a process that starts.
    let (phase, bans) = text.trim_end().split_once(' ').unwrap_or_default();
    let phase = match phase {
        "ready" => Phase::Ready,
        "leaving" => Phase::Leaving,
        _ => Phase::Starting,
    };
    Some(Sign { rank, phase, bans: bans.trim().parse().unwrap_or(0) })
}

/// The files of one proxy, by its name.
pub struct Ledger {
    folder: PathBuf,
    name: String,
    own: File,
    rank: Rank,
    path: PathBuf,
}

impl Ledger {
    /// Opens the folder and shows this process in it.
    ///
    /// # Errors
    /// What cannot be written there.
    pub fn open(folder: &Path, name: &str, rank: Rank) -> Result<Ledger, String> {
        let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        let name = format!("threadward-{}", name.chars().map(plain).collect::<String>());
        let file = format!("{name}.run-{:016x}-{}", rank.0, rank.1);
        let (aside, path) = (folder.join(format!("{name}.new-{}", rank.1)), folder.join(file));
        let why = |e: std::io::Error| format!("{}: {e}", folder.display());
        let open = OpenOptions::new().write(true).create(true).truncate(true).open(&aside);
        let own = open.map_err(why)?;
        // Locked before it has its name: one that is seen without a lock is of a process that ended.
        own.try_lock().map_err(|e| format!("{}: {e}", aside.display()))?;
        std::fs::rename(&aside, &path).map_err(why)?;
        Ok(Ledger { folder: folder.to_owned(), name, own, rank, path })
    }

    pub fn rank(&self) -> Rank {
        self.rank
    }

    /// Shows the own phase, and the version of the bans that is in force here.
    pub fn show(&self, phase: Phase, bans: u64) {
        let word = match phase {
            Phase::Starting => "starting",
            Phase::Ready => "ready",
            Phase::Leaving => "leaving",
        };
        // Of one length, so that nothing of an earlier text is left.
        let _ = self.own.write_all_at(format!("{word:<8} {bans:>20}\n").as_bytes(), 0);
    }

    /// The other processes of this proxy that live. What the ended ones left is removed.
    pub fn others(&self) -> Vec<Sign> {
        let prefix = format!("{}.run-", self.name);
        let names = std::fs::read_dir(&self.folder).into_iter().flatten().take(ENTRIES);
        let names = names.filter_map(|e| e.ok()?.file_name().into_string().ok());
        let mut found = Vec::new();
        for file in names.filter(|n| n.starts_with(&prefix)) {
            let path = self.folder.join(&file);
            let Ok(mut f) = File::open(&path) else { continue };
            if path == self.path {
                continue;
            }
            match f.try_lock_shared() {
                Err(TryLockError::WouldBlock) => {
                    let mut text = String::new();
                    let _ = (&mut f).take(64).read_to_string(&mut text);
                    found.extend(sign(&file[prefix.len()..], &text));
                }
                Ok(()) => drop(std::fs::remove_file(&path)),
                Err(TryLockError::Error(_)) => {}
            }
        }
        found
    }

    fn calls_path(&self) -> PathBuf {
        self.folder.join(format!("{}.bans", self.name))
    }

    /// What tells one state of the file of calls from another; nothing: there is none.
    pub fn stamp(&self) -> Option<(u64, i64, i64, u64)> {
        let m = std::fs::metadata(self.calls_path()).ok()?;
        Some((m.ino(), m.mtime(), m.mtime_nsec(), m.size()))
    }

    /// The calls that are kept, with their version; none where nothing was ever kept.
    ///
    /// # Errors
    /// Why they cannot be trusted.
    pub fn calls(&self) -> Result<(u64, Calls), String> {
        let path = self.calls_path();
        let file = match File::open(&path) {
            Ok(f) => f,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok((0, Calls::new())),
            Err(e) => return Err(e.to_string()),
        };
        let mut bytes = Vec::new();
        file.take(FILE + 1).read_to_end(&mut bytes).map_err(|e| e.to_string())?;
        if bytes.len() as u64 > FILE {
            return Err("too long".into());
        }
        read_calls(&String::from_utf8(bytes).map_err(|_| "not a file of bans")?)
    }

    /// Keeps the calls: written aside and renamed, so that no reader sees half of them.
    ///
    /// # Errors
    /// What cannot be written.
    pub fn keep(&self, version: u64, calls: &Calls) -> Result<(), String> {
        let aside = self.folder.join(format!("{}.bans-{}", self.name, self.rank.1));
        let done = File::create(&aside)
            .and_then(|mut f| f.write_all(write_calls(version, calls).as_bytes()))
            .and_then(|()| std::fs::rename(&aside, self.calls_path()));
        done.map_err(|e| format!("{}: {e}", aside.display()))
    }

    /// The right to change the calls, until dropped; nothing while another process has it.
    pub fn lock(&self) -> Option<File> {
        let mut name = OsString::from(&self.name);
        name.push(".lock");
        let f =
            OpenOptions::new().write(true).create(true).truncate(false).open(self.folder.join(name)).ok()?;
        f.try_lock().ok().map(|()| f)
    }
}

impl Drop for Ledger {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}
