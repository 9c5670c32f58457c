//! Coordination with the other processes of the same proxy: which bans are in force, which other processes
//! live, whether this one is ready, and handing over to a successor.
//!
//! Connects the decisions of the core (`bans`, `shift`) with the shared files ([`crate::ledger`]) and the
//! node; the decisions themselves are made in the core. Without a configured admin socket nothing is opened
//! here.
use crate::bulletin;
use crate::claim_files::{self, ClaimFiles};
use crate::clock::unix_now;
use crate::discovery_sharing;
use crate::handover;
use crate::ledger::{self, BansFileError, FileStamp, SharedFiles};
use crate::net::{log, now, sleep_until};
use crate::node::Node;
use async_io::Async;
use std::cell::{Cell, RefCell};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use threadward_core::bans::{BanError, BanStates};
use threadward_core::shift::{self, OtherProcesses, Phase, ProcessStatus, Rank, ReadinessFacts};
use threadward_core::{Counter, Micros};

/// How often the shared files are checked: a ban set at one process holds in the other well within a second.
const CHECK_INTERVAL: Micros = 50_000;
/// How long a command waits for the other processes to apply it: its caller waits a second, and the others
/// check the file by themselves.
const AGREEMENT_TIMEOUT: Micros = 500_000;
/// How long a start waits for an older process, to hand on its learned state or its listening socket: that
/// process may be too busy, or have nothing to hand on.
const PREDECESSOR_TIMEOUT: Micros = 1_000_000;
/// How long a start waits for discovery before it counts as known. Discovery may be down, and the
/// configuration's own list is no worse for that.
const DISCOVERY_TIMEOUT: Micros = 2_000_000;
/// The same while an older process is ready: it goes on serving, and what discovery announces counts as known
/// only after this process is ready. The platform waits for 6 s.
const DISCOVERY_TIMEOUT_IN_UPGRADE: Micros = 4_500_000;

/// The state of the file of bans, see [`SharedFiles::bans_file_stamp`].
type Stamp = Option<FileStamp>;

/// This process among those of the same proxy.
pub struct ProcessGroup {
    node: Rc<Node>,
    shared_files: Option<SharedFiles>,
    /// The call ids claimed by this process and the others.
    claim_files: Option<Rc<ClaimFiles>>,
    started_at: Micros,
    /// Version of the bans in force.
    version: Cell<u64>,
    /// State of the file that these bans were read from.
    stamp: Cell<Stamp>,
    /// State of the file that could not be read, once that was logged.
    unreadable_stamp: Cell<Stamp>,
    /// The latest time at which the bans in force here were known to be those of the file.
    read_at: Cell<Option<Micros>>,
    /// Whether the learned state of an older process was adopted, or is no longer waited for.
    learned_settled: Cell<bool>,
    /// The live processes that this one has handed its learned state to.
    informed: RefCell<Vec<Rank>>,
    /// The phase and version of the bans last published to the other processes.
    published: Cell<Option<(Phase, u64)>>,
    /// The phase and version that could not be published, once that was logged.
    unpublished: Cell<Option<(Phase, u64)>>,
    /// Summary of the other processes, as of the last check.
    others_summary: RefCell<OtherProcesses>,
    /// Whether this process listens for clients.
    pub listening: Cell<bool>,
    /// How long a lifted ban is remembered: the longer of the slow starts of a cache and of a parent.
    ban_memory: Micros,
}

/// The result of an admin command, in words for operators.
pub type CommandResult = Result<String, String>;

impl ProcessGroup {
    /// Creates the group and checks the shared files in `folder` for the first time. Without a folder, or if
    /// it can't be opened, bans end with the process.
    pub fn new(node: Rc<Node>, folder: Option<&Path>) -> Rc<ProcessGroup> {
        let rank: Rank = (now(), std::process::id());
        let opened = folder.ok_or_else(|| "TMPDIR is not set".to_owned());
        let shared_files = opened.and_then(|f| SharedFiles::open(f, &node.config.name, rank));
        let shared_files = match shared_files {
            Ok(l) => Some(l),
            Err(e) => {
                log(&format!("shift: bans will not outlive this process, nor reach another: {e}"));
                None
            }
        };
        let s = &node.config.settings;
        let ban_memory = s.cold_period.max(s.parent_cold_period);
        let claim_files = shared_files.as_ref().map(|files| ClaimFiles::new(files.claims_path(rank)));
        let shift = Rc::new(ProcessGroup {
            node,
            shared_files,
            claim_files,
            started_at: rank.0,
            version: Cell::new(0),
            stamp: Cell::new(None),
            unreadable_stamp: Cell::new(None),
            read_at: Cell::new(None),
            learned_settled: Cell::new(false),
            informed: RefCell::default(),
            published: Cell::new(None),
            unpublished: Cell::new(None),
            others_summary: RefCell::default(),
            listening: Cell::new(false),
            ban_memory,
        });
        shift.refresh();
        shift
    }

    /// Checks the shared files for as long as the program runs.
    pub async fn watch_files(self: Rc<Self>) {
        loop {
            self.refresh();
            sleep_until(now() + CHECK_INTERVAL).await;
        }
    }

    /// Checks the shared files: applies changed bans, publishes this process's status, exchanges events of
    /// discovery, claimed calls and learned state, shares the limits with the other processes, and hands over
    /// once this process ends and another is ready.
    pub fn refresh(&self) {
        let Some(shared_files) = &self.shared_files else { return self.learned_settled.set(true) };
        self.apply_changed_bans(shared_files);
        self.publish_status();
        let others = shared_files.other_processes();
        if !others.is_empty() {
            // Before the learned state, with which a new process may become ready.
            self.node.discovery_sharing.write(shared_files);
        }
        if let Some(claim_files) = &self.claim_files {
            let paths: Vec<PathBuf> = others.iter().map(|o| shared_files.claims_path(o.rank)).collect();
            claim_files::share(&self.node, claim_files, &paths);
        }
        discovery_sharing::expire_relayed(&self.node);
        let mut relayed = shared_files.take_events();
        relayed.retain(|event| event.is_recent(self.started_at, now()));
        discovery_sharing::apply_relayed(&self.node, relayed);
        self.hand_on_learned(shared_files, &others);
        self.adopt_learned(shared_files, &others);
        let others_summary = shift::summarize(&others);
        let before = self.others_summary.replace(others_summary);
        if before.count != others_summary.count {
            log(&format!("shift: {} other processes of this proxy live", others_summary.count));
            self.node.set_process_count(1 + others_summary.count);
        }
        if others_summary.other_ready && !before.other_ready {
            log("shift: another process is ready to take over");
        }
        if others_summary.other_ready && self.node.stopping.get().is_some() {
            self.node.hand_over();
        }
    }

    /// Hands the learned state to each process that starts, once. Two may be found in one check, in any
    /// order.
    fn hand_on_learned(&self, shared_files: &SharedFiles, others: &[ProcessStatus]) {
        let mut informed = self.informed.borrow_mut();
        informed.retain(|p| others.iter().any(|o| o.rank == *p));
        for starting in others.iter().filter(|o| o.phase == Phase::Starting && self.listening.get()) {
            if informed.contains(&starting.rank) {
                continue;
            }
            informed.push(starting.rank);
            let learned = self.node.plan(|p, _| p.learned());
            match shared_files.send_learned(
                starting.rank,
                &ledger::format_learned(&self.node.config.names.classes, &learned),
            ) {
                Ok(()) => log("shift: what was learned is handed to a process that starts"),
                Err(e) => log(&format!("shift: what was learned is not handed on: {e}")),
            }
        }
    }

    /// Adopts the learned state of an older process. Without such a process, or after a timeout, goes on
    /// without.
    fn adopt_learned(&self, shared_files: &SharedFiles, others: &[ProcessStatus]) {
        if self.learned_settled.get() {
            return;
        }
        let older = others.iter().any(|o| o.phase == Phase::Ready);
        match shared_files.take_learned(&self.node.config.names.classes) {
            Ok(Some(learned)) => {
                self.node.plan(|p, now| p.restore_learned(now, &learned));
                log("shift: took over what another process has learned");
                self.learned_settled.set(true);
            }
            Ok(None) if older && now() < self.started_at + PREDECESSOR_TIMEOUT => {}
            Ok(None) => self.learned_settled.set(true),
            Err(e) => {
                log(&format!("shift: what another process has learned is not used: {e}"));
                self.learned_settled.set(true);
            }
        }
    }

    /// Publishes this process's phase and version of the bans to the other processes.
    fn publish_status(&self) {
        let phase = match self.readiness() {
            _ if self.node.stopping.get().is_some() => Phase::Ending,
            Ok(()) => Phase::Ready,
            Err(_) => Phase::Starting,
        };
        let now = Some((phase, self.version.get()));
        let Some(shared_files) = self.shared_files.as_ref().filter(|_| self.published.get() != now) else {
            return;
        };
        match shared_files.publish(phase, self.version.get()) {
            Ok(()) => {
                self.published.set(now);
                self.unpublished.set(None);
            }
            // Tried again at the next check.
            Err(why) if self.unpublished.replace(now) != now => {
                log(&format!("shift: other processes do not see what this one has come to: {why}"));
            }
            Err(_) => {}
        }
    }

    /// Applies the bans of the file if it has changed.
    fn apply_changed_bans(&self, shared_files: &SharedFiles) {
        let stamp = shared_files.bans_file_stamp();
        if self.stamp.get() == stamp {
            return self.read_at.set(Some(now()));
        }
        let loaded = shared_files.load_bans();
        if let Err(BansFileError::Unreadable(why)) = &loaded {
            // The stamp stays as it is, so that the file is read again: it may hold a ban that another
            // process has confirmed.
            if self.unreadable_stamp.replace(stamp) != stamp {
                log(&format!("bans: the file of bans cannot be read yet: {why}"));
            }
            return;
        }
        self.stamp.set(stamp);
        match loaded {
            Ok((version, ban_states)) if version != self.version.get() => {
                self.version.set(version);
                let within = self.read_at.get().map_or(Micros::MAX, |at| now().saturating_sub(at));
                self.apply(ban_states, within);
                log(&format!(
                    "bans: {} servers are out (version {version})",
                    self.node.bans.borrow().banned_count()
                ));
            }
            Ok(_) => self.read_at.set(Some(now())),
            Err(BansFileError::Unreadable(e) | BansFileError::Invalid(e)) => {
                log(&format!("bans: the file of bans is not used: {e}"));
            }
        }
    }

    /// Puts bans in force that changed no longer ago than `within`.
    fn apply(&self, ban_states: BanStates, within: Micros) {
        let changed = self.node.bans.borrow_mut().adopt(ban_states);
        bulletin::apply_bans(&self.node, changed, within);
    }

    /// Returns whether this process is ready to serve. Publishes its status to the other processes first: a
    /// caller that gets a yes may start a successor, or end the previous process, at once.
    ///
    /// # Errors
    /// What is missing, in words for operators.
    pub fn ready(&self) -> Result<(), &'static str> {
        self.publish_status();
        self.readiness()
    }

    /// Returns whether this process is ready to serve, and what is missing if it isn't.
    fn readiness(&self) -> Result<(), &'static str> {
        shift::ready(self.readiness_facts(self.listening.get()))
    }

    /// Requests the listening socket of a process that this one is to replace: of the newest that is ready
    /// first, then of those that listen although they end or aren't ready. Returns `None` if none hands its
    /// socket over in time.
    pub async fn request_listener(&self) -> Option<Async<TcpListener>> {
        let (shared_files, until) = (self.shared_files.as_ref()?, now() + PREDECESSOR_TIMEOUT);
        let mut older_processes = shared_files.other_processes();
        older_processes.sort_by_key(|o| (o.phase != Phase::Ready, std::cmp::Reverse(o.rank)));
        for older in older_processes {
            let path = shared_files.socket_path(older.rank);
            let received = handover::request_listener(&path, self.node.config.listen, until).await;
            if received.is_some() {
                return received;
            }
        }
        None
    }

    /// Records that this process listens with `listener`, offers that socket to processes that start later,
    /// and publishes the new status.
    pub fn start_listening(&self, listener: &Rc<Async<TcpListener>>) {
        let path = self.shared_files.as_ref().map(|l| l.socket_path(l.rank()));
        if let Some(at) = path.and_then(|p| handover::bind_socket(&p)) {
            self.node.spawn("handover", handover::serve_requests(at, Rc::downgrade(listener)));
        }
        self.listening.set(true);
        self.publish_status();
    }

    /// Returns whether this process would be ready if it listened: before that it takes no clients from
    /// another process. If no other process is in the way it may listen early, unless it was told to end.
    pub fn may_listen(&self) -> bool {
        let alone = self
            .shared_files
            .as_ref()
            .is_none_or(|l| self.others_summary.borrow().may_listen_early(l.rank()));
        let readiness_facts = self.readiness_facts(true);
        !readiness_facts.ending && alone || shift::ready(readiness_facts).is_ok()
    }

    /// Collects the facts that readiness is decided from, as if `listening` were so.
    fn readiness_facts(&self, listening: bool) -> ReadinessFacts {
        let in_upgrade = self.others_summary.borrow().other_ready;
        let discovery_timeout = if in_upgrade { DISCOVERY_TIMEOUT_IN_UPGRADE } else { DISCOVERY_TIMEOUT };
        ReadinessFacts {
            ending: self.node.stopping.get().is_some(),
            list_received: self.node.plan(|p, _| p.ready()),
            // The bans are in force already: the first check applies them before anything else.
            state_adopted: self.learned_settled.get(),
            discovery_known: self.node.discovery_heard.get() || now() >= self.started_at + discovery_timeout,
            listening,
        }
    }

    /// Bans a cache server (`out`) or lifts its ban, for every process of this proxy. Waits until the other
    /// processes have applied it, for a limited time.
    ///
    /// # Errors
    /// Why the ban wasn't changed, in words for operators.
    pub async fn set_ban(&self, out: bool, id: &str) -> CommandResult {
        let until = now() + AGREEMENT_TIMEOUT;
        let version = self.change_ban(out, id, until).await?;
        // The other processes check the file by themselves; the answer speaks for them as well.
        while self.shared_files.is_some() && now() < until {
            self.refresh();
            if self.others_summary.borrow().min_bans_version.is_none_or(|b| b >= version) {
                break;
            }
            sleep_until(now() + CHECK_INTERVAL / 5).await;
        }
        Ok(if out { "out" } else { "in use" }.to_owned())
    }

    /// Changes a ban, stores it and puts it in force here. Returns the version of the bans.
    async fn change_ban(&self, out: bool, id: &str, until: Micros) -> Result<u64, String> {
        let mut lock = None;
        if let Some(shared_files) = &self.shared_files {
            let store_error = |why| format!("cannot be kept: {why}");
            lock = shared_files.lock_bans().map_err(store_error)?;
            while lock.is_none() {
                if now() >= until {
                    return Err("another call is under way".into());
                }
                sleep_until(now() + 10_000).await;
                lock = shared_files.lock_bans().map_err(store_error)?;
            }
            // Changes by another process must not be lost.
            self.apply_changed_bans(shared_files);
        }
        let (at, mut next) = (unix_now(), self.node.bans.borrow().clone());
        let changed = if out { next.disable(id, at) } else { next.enable(id, at) };
        let changed = changed.map_err(|e| match e {
            BanError::Unknown => "unknown cache server".to_owned(),
            BanError::Full => "too many servers are out".to_owned(),
        })?;
        if !changed {
            // The command before may have failed after the file was renamed into place, but before the folder
            // was synced.
            let synced = self.shared_files.as_ref().map_or(Ok(()), SharedFiles::sync_folder);
            return synced.map(|()| self.version.get()).map_err(|e| format!("cannot be kept: {e}"));
        }
        next.forget_old_lifted(at, self.ban_memory);
        let version = self.version.get() + 1;
        if let Some(shared_files) = &self.shared_files {
            // A ban that can't be stored is refused: the next version would undo it without notice.
            shared_files.store_bans(version, next.states()).map_err(|e| format!("cannot be kept: {e}"))?;
            self.stamp.set(shared_files.bans_file_stamp());
        }
        self.version.set(version);
        self.apply(next.states().clone(), 0);
        self.publish_status();
        drop(lock);
        self.node.count(if out { Counter::BansSet } else { Counter::BansLifted });
        log(&format!("bans: {id} is {}, by call (version {version})", if out { "out" } else { "back" }));
        Ok(version)
    }
}
