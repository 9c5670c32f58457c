//! Cache servers that operators have taken out of service (bans), combined with what discovery reports about
//! them. The stricter of the two applies.
//!
//! The module holds the latest report by discovery about each server and the operators' bans, and computes
//! the state that results. It neither does I/O nor reads a clock. A ban never expires: only an operator lifts
//! it.
use crate::event_sharing::ServerChange;
use crate::{Entry, Lifecycle, ListForm, Micros, UnixTime};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of servers that are remembered, and of bans that are kept. A member list names no more
/// servers than that.
pub const MAX_SERVERS: usize = 20_000;

/// A server as it stands in the member list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// Id of the server, which stays the same when its addresses change.
    pub id: String,
    /// Address that the server is reached at.
    pub socket_addr: SocketAddr,
    /// The server's entry for the router. `since` and `incarnation` are filled in by the caller, which knows
    /// the clock.
    pub entry: Entry,
    /// Last start of the server according to the list; 0 if long ago.
    pub started_at: UnixTime,
    /// When the ban was lifted, if no start after the ban is known: the server is then as cold as if it had
    /// started at this time.
    pub lifted_at: Option<UnixTime>,
}

/// The latest decision by operators on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BanState {
    /// The server has been out of service since this time.
    Banned(UnixTime),
    /// The ban was lifted. The server was restarted while it was banned, so it is cold, whether or not
    /// discovery has reported the restart yet.
    Lifted {
        /// When the server was banned.
        banned_at: UnixTime,
        /// When the ban was lifted.
        lifted_at: UnixTime,
    },
}

/// The state and the last start of a server, as discovery reported them.
type ReportedState = (Lifecycle, UnixTime);

/// Why a ban was not set or lifted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BanError {
    /// No list has ever named the server, and it is not banned.
    Unknown,
    /// The maximum number of bans is reached.
    Full,
}

/// The operators' decisions by server id; two processes of one proxy share them.
pub type BanStates = BTreeMap<String, BanState>;

/// The latest report by discovery on each server, and the operators' bans.
///
/// ```
/// use threadward_core::bans::{Bans, ListedServer, BanError};
/// use threadward_core::{Addr, Entry, Lifecycle, ListForm, UnixTime};
///
/// let addr = Addr { ip: [127, 0, 0, 1], port: 80 };
/// let (socket_addr, entry) = ("127.0.0.1:80".parse().unwrap(), Entry { addr, ..Entry::default() });
/// let id = "c1".to_owned();
/// let server = ListedServer { id, socket_addr, entry, started_at: UnixTime::default(), lifted_at: None };
/// let at = UnixTime::from_micros;
/// let mut bans = Bans::new(None);
/// bans.apply_list(ListForm::Full, &mut [server.clone()]);
/// assert_eq!(bans.disable("c2", at(1_000)), Err(BanError::Unknown));
/// assert_eq!((bans.disable("c1", at(1_000)), bans.disable("c1", at(2_000))), (Ok(true), Ok(false)));
/// // Discovery reports it as ready; the ban is stricter and applies.
/// let mut reported = [server];
/// bans.apply_list(ListForm::Delta, &mut reported);
/// assert_eq!(reported[0].entry.state, Lifecycle::Draining);
/// // Once its ban is lifted the server is cold: it was restarted while it was banned.
/// assert_eq!(bans.enable("c1", at(9_000)), Ok(true));
/// let effective = bans.effective("c1").unwrap();
/// assert_eq!((effective.entry.state, effective.lifted_at), (Lifecycle::Ready, Some(at(9_000))));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Bans {
    states: BanStates,
    /// Every server that was ever listed, with the latest report on it; `None` once it has left the list.
    reported: BTreeMap<String, Option<ListedServer>>,
    /// Id of the server at each address. Another server that was there before has gone, although that may not
    /// have been reported.
    id_by_addr: BTreeMap<SocketAddr, String>,
    origin_kind: Option<u8>,
}

impl Bans {
    /// Creates an empty set of bans. `origin_kind` is the kind of the origin. The router has no draining
    /// state for an origin, so a banned one counts as gone.
    pub fn new(origin_kind: Option<u8>) -> Bans {
        Bans { origin_kind, ..Bans::default() }
    }

    /// Returns the operators' decisions, to be shared with another process.
    pub fn states(&self) -> &BanStates {
        &self.states
    }

    /// Returns the number of banned servers.
    pub fn banned_count(&self) -> usize {
        self.states.values().filter(|c| matches!(c, BanState::Banned(_))).count()
    }

    /// Returns whether a server is banned.
    pub fn is_banned(&self, id: &str) -> bool {
        matches!(self.states.get(id), Some(BanState::Banned(_)))
    }

    /// Applies a report of discovery, and changes its entries in place to the state that results from the
    /// bans. Returns what the report changes, without regard to the bans.
    pub fn apply_list(&mut self, form: ListForm, servers: &mut [ListedServer]) -> Vec<ServerChange> {
        let before = self.reports_concerned(form, servers);
        if matches!(form, ListForm::Full | ListForm::Cached) {
            self.reported.values_mut().for_each(|s| *s = None);
            self.id_by_addr.clear();
        }
        for l in servers {
            if l.entry.state == Lifecycle::Gone {
                self.record_left(&l.id);
            } else {
                if l.entry.state == Lifecycle::Ready {
                    let other = self.id_by_addr.insert(l.socket_addr, l.id.clone()).filter(|o| *o != l.id);
                    other.into_iter().for_each(|o| drop(self.reported.insert(o, None)));
                }
                self.reported.insert(l.id.clone(), Some(l.clone()));
            }
            self.apply_ban(l);
        }
        while self.reported.len() > MAX_SERVERS {
            // Servers that have left are forgotten first. The list itself is shorter than the limit.
            let Some(id) = self.reported.iter().find(|(_, l)| l.is_none()).map(|(id, _)| id.clone()) else {
                break;
            };
            self.reported.remove(&id);
        }
        before.into_iter().filter_map(|(id, old)| self.change_since(id, old)).collect()
    }

    /// Returns the state and start of each server that a list may change, by its id.
    fn reports_concerned(
        &self,
        form: ListForm,
        servers: &[ListedServer],
    ) -> BTreeMap<String, Option<ReportedState>> {
        let displaced = servers.iter().filter_map(|l| self.id_by_addr.get(&l.socket_addr));
        let listed = servers.iter().map(|l| &l.id).chain(displaced);
        let all = self.reported.keys().filter(|_| form != ListForm::Delta);
        listed.chain(all).map(|id| (id.clone(), self.reported_state(id))).collect()
    }

    /// Returns the state and start of a server as last reported; `None` if it is not listed.
    fn reported_state(&self, id: &str) -> Option<ReportedState> {
        let server = self.reported.get(id)?.as_ref()?;
        Some((server.entry.state, server.started_at))
    }

    /// Returns how the report on a server differs from an earlier one.
    fn change_since(&self, id: String, old: Option<ReportedState>) -> Option<ServerChange> {
        let new = self.reported_state(&id);
        if new == old {
            return None;
        }
        let (state, started_at) = new.or(old.map(|(_, started_at)| (Lifecycle::Gone, started_at)))?;
        Some(ServerChange { id, state, started_at })
    }

    /// Records that a server has left the list.
    fn record_left(&mut self, id: &str) {
        let old = self.reported.insert(id.to_owned(), None).flatten();
        if let Some(l) = old.filter(|l| self.id_by_addr.get(&l.socket_addr).is_some_and(|at| at == id)) {
            self.id_by_addr.remove(&l.socket_addr);
        }
    }

    /// Changes an entry to the state that results from the operators' decision on its server.
    fn apply_ban(&self, l: &mut ListedServer) {
        let is_origin = self.origin_kind == Some(l.entry.kind);
        l.lifted_at = None;
        match self.states.get(&l.id) {
            Some(BanState::Banned(_)) if is_origin => l.entry.state = Lifecycle::Gone,
            Some(BanState::Banned(_)) if l.entry.state == Lifecycle::Ready => {
                l.entry.state = Lifecycle::Draining
            }
            // If a start after the ban was reported, that start counts instead: it began while the server was
            // banned.
            Some(BanState::Lifted { banned_at, lifted_at }) if l.started_at <= *banned_at => {
                l.lifted_at = Some(*lifted_at)
            }
            _ => {}
        }
    }

    /// Bans a server. Returns whether that changed anything, which a second ban does not.
    ///
    /// # Errors
    /// Returns an error if the server is unknown or the maximum number of bans is reached.
    pub fn disable(&mut self, id: &str, now: UnixTime) -> Result<bool, BanError> {
        if self.is_banned(id) {
            return Ok(false);
        }
        if !self.reported.contains_key(id) && !self.states.contains_key(id) {
            return Err(BanError::Unknown);
        }
        if self.states.len() >= MAX_SERVERS && !self.states.contains_key(id) {
            return Err(BanError::Full);
        }
        // A start that was reported before the ban counts as earlier than it, even if this machine's clock is
        // behind.
        let started = self.reported.get(id).and_then(Option::as_ref).map_or(now, |l| l.started_at);
        self.states.insert(id.to_owned(), BanState::Banned(now.max(started)));
        Ok(true)
    }

    /// Lifts the ban of a server, however often it was banned. Returns whether it was banned.
    ///
    /// # Errors
    /// Returns an error if the server is unknown.
    pub fn enable(&mut self, id: &str, now: UnixTime) -> Result<bool, BanError> {
        match self.states.get(id) {
            Some(BanState::Banned(banned_at)) => {
                let lifted = BanState::Lifted { banned_at: *banned_at, lifted_at: now.max(*banned_at) };
                self.states.insert(id.to_owned(), lifted);
                Ok(true)
            }
            Some(BanState::Lifted { .. }) => Ok(false),
            None if self.reported.contains_key(id) => Ok(false),
            None => Err(BanError::Unknown),
        }
    }

    /// Replaces all decisions by those of another process. Returns the servers whose state has changed by it.
    pub fn adopt(&mut self, states: BanStates) -> Vec<ListedServer> {
        let old = std::mem::replace(&mut self.states, states);
        let ids = old.keys().chain(self.states.keys().filter(|id| !old.contains_key(*id)));
        ids.filter(|id| old.get(*id) != self.states.get(*id)).filter_map(|id| self.effective(id)).collect()
    }

    /// Returns the state of a server that results from the latest report and the bans; `None` if it is not
    /// listed any more.
    pub fn effective(&self, id: &str) -> Option<ListedServer> {
        let mut l = self.reported.get(id)?.clone()?;
        self.apply_ban(&mut l);
        Some(l)
    }

    /// Forgets lifted bans that make no difference any more: a server whose ban was lifted longer ago than
    /// `warm_after` is warm.
    pub fn forget_old_lifted(&mut self, now: UnixTime, warm_after: Micros) {
        self.states.retain(
            |_, c| !matches!(c, BanState::Lifted { lifted_at: at, .. } if now.micros_since(*at) > warm_after),
        );
    }
}
