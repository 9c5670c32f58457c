//! Which cache servers the staff have taken out, beside what the bulletin says of them; the stricter of the two holds.
//! It owns the last word of the bulletin on each server and the staff's calls, and says what holds. It must never open
//! anything or ask for the time, and it never forgets a ban by itself: only a call back ends one.
use crate::{Entry, Lifecycle, ListForm, Micros, UnixTime};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Servers that are remembered, and calls that are kept: a list names no more than that either.
pub const MOST: usize = 20_000;

/// One server as the list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Its id, which outlasts its addresses.
    pub id: String,
    /// Where it is reached.
    pub sock: SocketAddr,
    /// What the module is told of it; `since` and `incarnation` are left to who knows the clock.
    pub entry: Entry,
    /// Its last start, as the list names it; 0: long ago.
    pub started: UnixTime,
    /// It was called back at that time, after being out since before that start: it is as cold as if it had started then.
    pub called_back: Option<UnixTime>,
}

/// The staff's last word on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Taken out, at that time.
    Out(UnixTime),
    /// Called back. It was restarted while it was out, so it is cold, whether or not the bulletin has told yet.
    Back {
        /// When it was taken out.
        out: UnixTime,
        /// When it was called back.
        at: UnixTime,
    },
}

/// Why a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// No list ever named it, and it is not out.
    Unknown,
    /// As many are out as can be kept.
    Full,
}

/// All calls, by the server's id: what two processes of one proxy share.
pub type Calls = BTreeMap<String, Call>;

/// The bulletin's last word on each server, and the staff's.
///
/// ```
/// use threadward_core::bans::{Bans, Listed, Refused};
/// use threadward_core::{Addr, Entry, Lifecycle, ListForm, UnixTime};
///
/// let addr = Addr { ip: [127, 0, 0, 1], port: 80 };
/// let (sock, entry) = ("127.0.0.1:80".parse().unwrap(), Entry { addr, ..Entry::default() });
/// let server = Listed { id: "c1".into(), sock, entry, started: UnixTime::default(), called_back: None };
/// let at = UnixTime::from_micros;
/// let mut bans = Bans::new(None);
/// bans.hear(ListForm::Full, &mut [server.clone()]);
/// assert_eq!(bans.disable("c2", at(1_000)), Err(Refused::Unknown));
/// assert_eq!((bans.disable("c1", at(1_000)), bans.disable("c1", at(2_000))), (Ok(true), Ok(false)));
/// // The bulletin calls it ready; the stricter word holds.
/// let mut told = [server];
/// bans.hear(ListForm::Delta, &mut told);
/// assert_eq!(told[0].entry.state, Lifecycle::Draining);
/// // Called back it is cold: it was restarted while it was out.
/// assert_eq!(bans.enable("c1", at(9_000)), Ok(true));
/// let holds = bans.holds("c1").unwrap();
/// assert_eq!((holds.entry.state, holds.called_back), (Lifecycle::Ready, Some(at(9_000))));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Bans {
    calls: Calls,
    /// Every server that was listed, with the bulletin's last word; nothing: it has left.
    seen: BTreeMap<String, Option<Listed>>,
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
    pub fn calls(&self) -> &Calls {
        &self.calls
    }

    /// How many are out.
    pub fn out(&self) -> usize {
        self.calls.values().filter(|c| matches!(c, Call::Out(_))).count()
    }

    /// Whether the staff have taken it out.
    pub fn is_out(&self, id: &str) -> bool {
        matches!(self.calls.get(id), Some(Call::Out(_)))
    }

    /// Takes in what the bulletin says, and changes it to what holds.
    pub fn hear(&mut self, form: ListForm, servers: &mut [Listed]) {
        if matches!(form, ListForm::Full | ListForm::Cached) {
            self.seen.values_mut().for_each(|s| *s = None);
            self.at.clear();
        }
        for l in servers {
            if l.entry.state == Lifecycle::Gone {
                self.leave(&l.id);
            } else {
                if l.entry.state == Lifecycle::Ready {
                    let other = self.at.insert(l.sock, l.id.clone()).filter(|o| *o != l.id);
                    other.into_iter().for_each(|o| drop(self.seen.insert(o, None)));
                }
                self.seen.insert(l.id.clone(), Some(l.clone()));
            }
            self.mask(l);
        }
        while self.seen.len() > MOST {
            // Those that left go first; the list itself is shorter than that.
            let Some(id) = self.seen.iter().find(|(_, l)| l.is_none()).map(|(id, _)| id.clone()) else {
                break;
            };
            self.seen.remove(&id);
        }
    }

    fn leave(&mut self, id: &str) {
        let old = self.seen.insert(id.to_owned(), None).flatten();
        if let Some(l) = old.filter(|l| self.at.get(&l.sock).is_some_and(|at| at == id)) {
            self.at.remove(&l.sock);
        }
    }

    fn mask(&self, l: &mut Listed) {
        let origin = self.origin == Some(l.entry.kind);
        l.called_back = None;
        match self.calls.get(&l.id) {
            Some(Call::Out(_)) if origin => l.entry.state = Lifecycle::Gone,
            Some(Call::Out(_)) if l.entry.state == Lifecycle::Ready => l.entry.state = Lifecycle::Draining,
            // A start that was told and lies after the ban is the one: it began while the server was out.
            Some(Call::Back { out, at }) if l.started <= *out => l.called_back = Some(*at),
            _ => {}
        }
    }

    /// Takes a server out. Gives whether that changed anything: a second call out does not.
    ///
    /// # Errors
    /// The server is not known, or there is no room for the call.
    pub fn disable(&mut self, id: &str, now: UnixTime) -> Result<bool, Refused> {
        if self.is_out(id) {
            return Ok(false);
        }
        if !self.seen.contains_key(id) && !self.calls.contains_key(id) {
            return Err(Refused::Unknown);
        }
        if self.calls.len() >= MOST && !self.calls.contains_key(id) {
            return Err(Refused::Full);
        }
        // A start that was told before the call lies before it, also where the clock of this machine is behind.
        let started = self.seen.get(id).and_then(Option::as_ref).map_or(now, |l| l.started);
        self.calls.insert(id.to_owned(), Call::Out(now.max(started)));
        Ok(true)
    }

    /// Calls a server back; however often it was called out. Gives whether it was out.
    ///
    /// # Errors
    /// The server is not known.
    pub fn enable(&mut self, id: &str, now: UnixTime) -> Result<bool, Refused> {
        match self.calls.get(id) {
            Some(Call::Out(out)) => {
                let back = Call::Back { out: *out, at: now.max(*out) };
                self.calls.insert(id.to_owned(), back);
                Ok(true)
            }
            Some(Call::Back { .. }) => Ok(false),
            None if self.seen.contains_key(id) => Ok(false),
            None => Err(Refused::Unknown),
        }
    }

    /// Takes over all calls, as another process left them. Gives the servers of which something else holds now.
    pub fn adopt(&mut self, calls: Calls) -> Vec<Listed> {
        let old = std::mem::replace(&mut self.calls, calls);
        let ids = old.keys().chain(self.calls.keys().filter(|id| !old.contains_key(*id)));
        ids.filter(|id| old.get(*id) != self.calls.get(*id)).filter_map(|id| self.holds(id)).collect()
    }

    /// What holds of a server now; nothing where the bulletin lists it no longer.
    pub fn holds(&self, id: &str) -> Option<Listed> {
        let mut l = self.seen.get(id)?.clone()?;
        self.mask(&mut l);
        Some(l)
    }

    /// Forgets calls back that no longer make a difference: a server that came back so long ago is warm.
    pub fn tidy(&mut self, now: UnixTime, warm: Micros) {
        self.calls.retain(|_, c| !matches!(c, Call::Back { at, .. } if now.after(*at) > warm));
    }
}
