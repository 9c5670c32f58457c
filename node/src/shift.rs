//! The shift of this process: which bans are in force, who else serves beside it, whether it is ready, and giving way to
//! a successor. It owns the joint between the judgements of the core (`bans`, `shift`), the files of the ledger and the
//! node. It must never judge by itself, and it opens nothing where no door is configured.
use crate::bulletin;
use crate::clock::unix_now;
use crate::handover;
use crate::ledger::{self, BansFileError, SharedFiles};
use crate::net::{log, now, sleep_until};
use crate::node::Node;
use async_io::Async;
use std::cell::{Cell, RefCell};
use std::net::TcpListener;
use std::path::Path;
use std::rc::Rc;
use threadward_core::bans::{BanError, BanStates};
use threadward_core::shift::{self, OtherProcesses, Phase, ProcessStatus, Rank, ReadinessFacts};
use threadward_core::{Counter, Micros};

/// How often the files are looked at: a ban set at one process holds in the other well within a second.
const LOOK: Micros = 50_000;
/// A call waits so long for the other processes: its caller waits a second, and they look at the file by themselves.
const AGREE: Micros = 500_000;
/// A start waits so long for what another process has learned: that one may be too busy, or have none.
const LESSON: Micros = 1_000_000;
/// A start waits so long for the bulletin. It may be down, and what the configuration knows is no worse for that.
const FOLLOW: Micros = 2_000_000;

type Stamp = Option<(u64, i64, i64, u64)>;

pub struct ProcessGroup {
    node: Rc<Node>,
    ledger: Option<SharedFiles>,
    started: Micros,
    /// The version of the calls that is in force, and the state of the file it was read from; and the state that could not
    /// be read, as it was said.
    version: Cell<u64>,
    stamp: Cell<Stamp>,
    unread: Cell<Stamp>,
    /// When what the file held last was in force here.
    read_at: Cell<Option<Micros>>,
    /// What an older process has learned is in force here, or there was none to wait for.
    taught: Cell<bool>,
    /// The processes that live and were taught by this one.
    pupils: RefCell<Vec<Rank>>,
    shown: Cell<Option<(Phase, u64)>>,
    /// What could not be shown, as it was said.
    hidden: Cell<Option<(Phase, u64)>>,
    view: RefCell<OtherProcesses>,
    pub listening: Cell<bool>,
    warm: Micros,
}

/// What a call at the door came to, in words for staff.
pub type CommandResult = Result<String, String>;

impl ProcessGroup {
    /// `folder`: where the files are. Without one, or where it cannot be written, bans end with the process.
    pub fn new(node: Rc<Node>, folder: Option<&Path>) -> Rc<ProcessGroup> {
        let rank: Rank = (now(), std::process::id());
        let opened = folder.ok_or_else(|| "TMPDIR is not set".to_owned());
        let ledger = opened.and_then(|f| SharedFiles::open(f, &node.config.name, rank));
        let ledger = match ledger {
            Ok(l) => Some(l),
            Err(e) => {
                log(&format!("shift: bans will not outlive this process, nor reach another: {e}"));
                None
            }
        };
        let s = &node.config.settings;
        let warm = s.cold_period.max(s.parent_cold_period);
        let shift = Rc::new(ProcessGroup {
            node,
            ledger,
            started: rank.0,
            version: Cell::new(0),
            stamp: Cell::new(None),
            unread: Cell::new(None),
            read_at: Cell::new(None),
            taught: Cell::new(false),
            pupils: RefCell::default(),
            shown: Cell::new(None),
            hidden: Cell::new(None),
            view: RefCell::default(),
            listening: Cell::new(false),
            warm,
        });
        shift.refresh();
        shift
    }

    /// Looks at the files for as long as the program runs.
    pub async fn watch_files(self: Rc<Self>) {
        loop {
            self.refresh();
            sleep_until(now() + LOOK).await;
        }
    }

    pub fn refresh(&self) {
        let Some(ledger) = &self.ledger else { return self.taught.set(true) };
        self.read(ledger);
        self.show();
        let others = ledger.other_processes();
        self.teach(ledger, &others);
        self.learn(ledger, &others);
        let view = shift::summarize(&others);
        let before = self.view.replace(view);
        if before.count != view.count {
            log(&format!("shift: {} other processes of this proxy live", view.count));
            self.node.set_process_count(1 + view.count);
        }
        if view.other_ready && !before.other_ready {
            log("shift: another process is ready to take over");
        }
        if view.other_ready && self.node.stopping.get().is_some() {
            self.node.hand_over();
        }
    }

    /// Hands what was learned to each process that starts, once. Two may be seen in one look, in any order.
    fn teach(&self, ledger: &SharedFiles, others: &[ProcessStatus]) {
        let mut pupils = self.pupils.borrow_mut();
        pupils.retain(|p| others.iter().any(|o| o.rank == *p));
        for pupil in others.iter().filter(|o| o.phase == Phase::Starting && self.listening.get()) {
            if pupils.contains(&pupil.rank) {
                continue;
            }
            pupils.push(pupil.rank);
            let learned = self.node.plan(|p, _| p.learned());
            match ledger
                .send_learned(pupil.rank, &ledger::format_learned(&self.node.config.names.classes, &learned))
            {
                Ok(()) => log("shift: what was learned is handed to a process that starts"),
                Err(e) => log(&format!("shift: what was learned is not handed on: {e}")),
            }
        }
    }

    /// Takes over what an older process has learned; without one, or after a while, goes on without.
    fn learn(&self, ledger: &SharedFiles, others: &[ProcessStatus]) {
        if self.taught.get() {
            return;
        }
        let elder = others.iter().any(|o| o.phase == Phase::Ready);
        match ledger.take_learned(&self.node.config.names.classes) {
            Ok(Some(learned)) => {
                self.node.plan(|p, now| p.restore_learned(now, &learned));
                log("shift: took over what another process has learned");
                self.taught.set(true);
            }
            Ok(None) if elder && now() < self.started + LESSON => {}
            Ok(None) => self.taught.set(true),
            Err(e) => {
                log(&format!("shift: what another process has learned is not used: {e}"));
                self.taught.set(true);
            }
        }
    }

    /// Shows the others what this process has come to.
    fn show(&self) {
        let phase = match self.judged() {
            _ if self.node.stopping.get().is_some() => Phase::Ending,
            Ok(()) => Phase::Ready,
            Err(_) => Phase::Starting,
        };
        let now = Some((phase, self.version.get()));
        let Some(ledger) = self.ledger.as_ref().filter(|_| self.shown.get() != now) else { return };
        match ledger.publish(phase, self.version.get()) {
            Ok(()) => {
                self.shown.set(now);
                self.hidden.set(None);
            }
            // Shown at the next look, or one after it.
            Err(why) if self.hidden.replace(now) != now => {
                log(&format!("shift: other processes do not see what this one has come to: {why}"));
            }
            Err(_) => {}
        }
    }

    /// Takes over the calls where the file has changed.
    fn read(&self, ledger: &SharedFiles) {
        let stamp = ledger.bans_file_stamp();
        if self.stamp.get() == stamp {
            return self.read_at.set(Some(now()));
        }
        let calls = ledger.load_bans();
        if let Err(BansFileError::Unreadable(why)) = &calls {
            // Still to be read: a ban that another process has agreed to may stand there.
            if self.unread.replace(stamp) != stamp {
                log(&format!("bans: the file of bans cannot be read yet: {why}"));
            }
            return;
        }
        self.stamp.set(stamp);
        match calls {
            Ok((version, calls)) if version != self.version.get() => {
                self.version.set(version);
                let within = self.read_at.get().map_or(Micros::MAX, |at| now().saturating_sub(at));
                self.apply(calls, within);
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

    /// Puts calls in force that were made no longer ago than `within`.
    fn apply(&self, calls: BanStates, within: Micros) {
        let changed = self.node.bans.borrow_mut().adopt(calls);
        bulletin::apply_bans(&self.node, changed, within);
    }

    /// Whether this process is ready to serve. The others are shown it first: who is told yes may start a successor, or
    /// end the one before, at once.
    ///
    /// # Errors
    /// What is missing, in words for staff.
    pub fn ready(&self) -> Result<(), &'static str> {
        self.show();
        self.judged()
    }

    fn judged(&self) -> Result<(), &'static str> {
        shift::ready(self.facts(self.listening.get()))
    }

    /// The listening socket of the process that this one is to replace, if that hands it over: of the newest that is
    /// ready, else of one that listens though it ends or is not ready.
    pub async fn request_listener(&self) -> Option<Async<TcpListener>> {
        let (ledger, until) = (self.ledger.as_ref()?, now() + LESSON);
        let mut elders = ledger.other_processes();
        elders.sort_by_key(|o| (o.phase != Phase::Ready, std::cmp::Reverse(o.rank)));
        for elder in elders {
            let path = ledger.socket_path(elder.rank);
            let given = handover::request_listener(&path, self.node.config.listen, until).await;
            if given.is_some() {
                return given;
            }
        }
        None
    }

    /// Listens: offers the socket to a process that comes later.
    pub fn start_listening(&self, listener: &Rc<Async<TcpListener>>) {
        let path = self.ledger.as_ref().map(|l| l.socket_path(l.rank()));
        if let Some(at) = path.and_then(|p| handover::bind_socket(&p)) {
            self.node.spawn("handover", handover::serve_requests(at, Rc::downgrade(listener)));
        }
        self.listening.set(true);
        self.show();
    }

    /// Whether it could be ready if it listened: before that it takes no clients from the process beside it. One that was
    /// told to end begins no listening.
    pub fn may_listen(&self) -> bool {
        let alone = self.ledger.as_ref().is_none_or(|l| self.view.borrow().may_listen_early(l.rank()));
        let facts = self.facts(true);
        !facts.ending && alone || shift::ready(facts).is_ok()
    }

    fn facts(&self, listening: bool) -> ReadinessFacts {
        ReadinessFacts {
            ending: self.node.stopping.get().is_some(),
            list_received: self.node.plan(|p, _| p.ready()),
            // The first look, before anything else, puts the bans in force.
            state_adopted: self.taught.get(),
            discovery_known: self.node.discovery_heard.get() || now() >= self.started + FOLLOW,
            listening,
        }
    }

    /// Takes a server out, or calls it back, for every process of this proxy, and waits for them.
    pub async fn set_ban(&self, out: bool, id: &str) -> CommandResult {
        let until = now() + AGREE;
        let version = self.change(out, id, until).await?;
        // The other processes look at the file by themselves; the yes is theirs as well.
        while self.ledger.is_some() && now() < until {
            self.refresh();
            if self.view.borrow().min_bans_version.is_none_or(|b| b >= version) {
                break;
            }
            sleep_until(now() + LOOK / 5).await;
        }
        Ok(if out { "out" } else { "in use" }.to_owned())
    }

    async fn change(&self, out: bool, id: &str, until: Micros) -> Result<u64, String> {
        let mut lock = None;
        if let Some(ledger) = &self.ledger {
            let cannot = |why| format!("cannot be kept: {why}");
            lock = ledger.lock_bans().map_err(cannot)?;
            while lock.is_none() {
                if now() >= until {
                    return Err("another call is under way".into());
                }
                sleep_until(now() + 10_000).await;
                lock = ledger.lock_bans().map_err(cannot)?;
            }
            // What another process changed stays.
            self.read(ledger);
        }
        let (at, mut next) = (unix_now(), self.node.bans.borrow().clone());
        let changed = if out { next.disable(id, at) } else { next.enable(id, at) };
        let changed = changed.map_err(|e| match e {
            BanError::Unknown => "unknown cache server".to_owned(),
            BanError::Full => "too many servers are out".to_owned(),
        })?;
        if !changed {
            // The call before may have failed after the file had its name.
            let synced = self.ledger.as_ref().map_or(Ok(()), SharedFiles::sync_folder);
            return synced.map(|()| self.version.get()).map_err(|e| format!("cannot be kept: {e}"));
        }
        next.forget_old_lifted(at, self.warm);
        let version = self.version.get() + 1;
        if let Some(ledger) = &self.ledger {
            // Not kept is not agreed: it would be undone by the next version, without a word.
            ledger.store_bans(version, next.states()).map_err(|e| format!("cannot be kept: {e}"))?;
            self.stamp.set(ledger.bans_file_stamp());
        }
        self.version.set(version);
        self.apply(next.states().clone(), 0);
        self.show();
        drop(lock);
        self.node.count(if out { Counter::BansSet } else { Counter::BansLifted });
        log(&format!("bans: {id} is {}, by call (version {version})", if out { "out" } else { "back" }));
        Ok(version)
    }
}
