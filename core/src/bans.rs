//! Which cache servers the staff have taken out, beside what the bulletin says of them; the stricter of the two holds.
//! It owns the last word of the bulletin on each server and the staff's calls, and says what holds. It must never open
//! anything or ask for the time, and it never forgets a ban by itself: only a call back ends one.
use crate::{Entry, Lifecycle, ListForm, Micros, UnixTime};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Servers that are remembered, and calls that are kept: a list names no more than that either.
pub const MAX_SERVERS: usize = 20_000;

/// One server as the list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// Its id, which outlasts its addresses.
    pub id: String,
    /// Where it is reached.
    pub socket_addr: SocketAddr,
    /// What the module is told of it; `since` and `incarnation` are left to who knows the clock.
    pub entry: Entry,
    /// Its last start, as the list names it; 0: long ago.
    pub started_at: UnixTime,
    /// It was called back at that time, after being out since before that start: it is as cold as if it had started then.
    pub lifted_at: Option<UnixTime>,
}

/// The staff's last word on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BanState {
    /// Taken out, at that time.
    Banned(UnixTime),
    /// Called back. It was restarted while it was out, so it is cold, whether or not the bulletin has told yet.
    Lifted {
        /// When it was taken out.
        banned_at: UnixTime,
        /// When it was called back.
        lifted_at: UnixTime,
    },
}

/// Why a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BanError {
    /// No list ever named it, and it is not out.
    Unknown,
    /// As many are out as can be kept.
    Full,
}

/// All calls, by the server's id: what two processes of one proxy share.
pub type BanStates = BTreeMap<String, BanState>;

/// The bulletin's last word on each server, and the staff's.
///
/// ```
/// use threadward_core::bans::{Bans, ListedServer, BanError};
/// use threadward_core::{Addr, Entry, Lifecycle, ListForm, UnixTime};
///
/// let addr = Addr { ip: [127, 0, 0, 1], port: 80 };
/// let (socket_addr, entry) = ("127.0.0.1:80".parse().unwrap(), Entry { addr, ..Entry::default() });
/// let server = ListedServer { id: "c1".into(), socket_addr, entry, started_at: UnixTime::default(), lifted_at: None };
/// let at = UnixTime::from_micros;
/// let mut bans = Bans::new(None);
/// bans.apply_list(ListForm::Full, &mut [server.clone()]);
/// assert_eq!(bans.disable("c2", at(1_000)), Err(BanError::Unknown));
/// assert_eq!((bans.disable("c1", at(1_000)), bans.disable("c1", at(2_000))), (Ok(true), Ok(false)));
/// // The bulletin calls it ready; the stricter word holds.
/// let mut told = [server];
/// bans.apply_list(ListForm::Delta, &mut told);
/// assert_eq!(told[0].entry.state, Lifecycle::Draining);
/// // Called back it is cold: it was restarted while it was out.
/// assert_eq!(bans.enable("c1", at(9_000)), Ok(true));
/// let effective = bans.effective("c1").unwrap();
/// assert_eq!((effective.entry.state, effective.lifted_at), (Lifecycle::Ready, Some(at(9_000))));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Bans {
    states: BanStates,
    /// Every server that was listed, with the bulletin's last word; nothing: it has left.
    seen: BTreeMap<String, Option<ListedServer>>,
    /// Who has an address: another one there has gone, though that may not have been told.
    at: BTreeMap<SocketAddr, String>,
    origin: Option<u8>,
}

impl Bans {
    /// `origin`: the kind of the origin. The module knows no draining one, so one that is out counts as gone.
    pub fn new(origin: Option<u8>) -> Bans {
        Bans { origin, ..Bans::default() }
    }

    /// All calls, to be shared with another process.
    pub fn states(&self) -> &BanStates {
        &self.states
    }

    /// How many are out.
    pub fn banned_count(&self) -> usize {
        self.states.values().filter(|c| matches!(c, BanState::Banned(_))).count()
    }

    /// Whether the staff have taken it out.
    pub fn is_banned(&self, id: &str) -> bool {
        matches!(self.states.get(id), Some(BanState::Banned(_)))
    }

    /// Takes in what the bulletin says, and changes it to what holds.
    pub fn apply_list(&mut self, form: ListForm, servers: &mut [ListedServer]) {
        if matches!(form, ListForm::Full | ListForm::Cached) {
            self.seen.values_mut().for_each(|s| *s = None);
            self.at.clear();
        }
        for l in servers {
            if l.entry.state == Lifecycle::Gone {
                self.leave(&l.id);
            } else {
                if l.entry.state == Lifecycle::Ready {
                    let other = self.at.insert(l.socket_addr, l.id.clone()).filter(|o| *o != l.id);
                    other.into_iter().for_each(|o| drop(self.seen.insert(o, None)));
                }
                self.seen.insert(l.id.clone(), Some(l.clone()));
            }
            self.mask(l);
        }
        while self.seen.len() > MAX_SERVERS {
            // Those that left go first; the list itself is shorter than that.
            let Some(id) = self.seen.iter().find(|(_, l)| l.is_none()).map(|(id, _)| id.clone()) else {
                break;
            };
            self.seen.remove(&id);
        }
    }

    fn leave(&mut self, id: &str) {
        let old = self.seen.insert(id.to_owned(), None).flatten();
        if let Some(l) = old.filter(|l| self.at.get(&l.socket_addr).is_some_and(|at| at == id)) {
            self.at.remove(&l.socket_addr);
        }
    }

    fn mask(&self, l: &mut ListedServer) {
        let origin = self.origin == Some(l.entry.kind);
        l.lifted_at = None;
        match self.states.get(&l.id) {
            Some(BanState::Banned(_)) if origin => l.entry.state = Lifecycle::Gone,
            Some(BanState::Banned(_)) if l.entry.state == Lifecycle::Ready => {
                l.entry.state = Lifecycle::Draining
            }
            // A start that was told and lies after the ban is the one: it began while the server was out.
            Some(BanState::Lifted { banned_at: out, lifted_at: at }) if l.started_at <= *out => {
                l.lifted_at = Some(*at)
            }
            _ => {}
        }
    }

    /// Takes a server out. Gives whether that changed anything: a second call out does not.
    ///
    /// # Errors
    /// The server is not known, or there is no room for the call.
    pub fn disable(&mut self, id: &str, now: UnixTime) -> Result<bool, BanError> {
        if self.is_banned(id) {
            return Ok(false);
        }
        if !self.seen.contains_key(id) && !self.states.contains_key(id) {
            return Err(BanError::Unknown);
        }
        if self.states.len() >= MAX_SERVERS && !self.states.contains_key(id) {
            return Err(BanError::Full);
        }
        // A start that was told before the call lies before it, also where the clock of this machine is behind.
        let started = self.seen.get(id).and_then(Option::as_ref).map_or(now, |l| l.started_at);
        self.states.insert(id.to_owned(), BanState::Banned(now.max(started)));
        Ok(true)
    }

    /// Calls a server back; however often it was called out. Gives whether it was out.
    ///
    /// # Errors
    /// The server is not known.
    pub fn enable(&mut self, id: &str, now: UnixTime) -> Result<bool, BanError> {
        match self.states.get(id) {
            Some(BanState::Banned(out)) => {
                let back = BanState::Lifted { banned_at: *out, lifted_at: now.max(*out) };
                self.states.insert(id.to_owned(), back);
                Ok(true)
            }
            Some(BanState::Lifted { .. }) => Ok(false),
            None if self.seen.contains_key(id) => Ok(false),
            None => Err(BanError::Unknown),
        }
    }

    /// Takes over all calls, as another process left them. Gives the servers of which something else holds now.
    pub fn adopt(&mut self, calls: BanStates) -> Vec<ListedServer> {
        let old = std::mem::replace(&mut self.states, calls);
        let ids = old.keys().chain(self.states.keys().filter(|id| !old.contains_key(*id)));
        ids.filter(|id| old.get(*id) != self.states.get(*id)).filter_map(|id| self.effective(id)).collect()
    }

    /// What holds of a server now; nothing where the bulletin lists it no longer.
    pub fn effective(&self, id: &str) -> Option<ListedServer> {
        let mut l = self.seen.get(id)?.clone()?;
        self.mask(&mut l);
        Some(l)
    }

    /// Forgets calls back that no longer make a difference: a server that came back so long ago is warm.
    pub fn forget_old_lifted(&mut self, now: UnixTime, warm: Micros) {
        self.states.retain(
            |_, c| !matches!(c, BanState::Lifted { lifted_at: at, .. } if now.micros_since(*at) > warm),
        );
    }
}
