//! When cache servers started, on the monotonic clock. A list names starts in Unix time, and this machine's wall clock may
//! be wrong, so the moment at which a start was heard bounds how long ago it was. A start keeps its point for as long as
//! the server is listed: slow start is neither skipped nor begun anew when the same start is told again.
use std::collections::HashMap;
use threadward_core::bans::ListedServer;
use threadward_core::{Lifecycle, ListForm, Micros, UnixTime};

/// A wall clock is taken to be wrong by no more than this: what lies further back is long ago.
const MAX_WALL_ERROR: Micros = 2 * 3_600 * 1_000_000;

/// Where the newest start that is known lies further back than this, the wall clock may be ahead: it is not believed, and
/// the ages of starts are counted from the newest one.
const MAX_QUIET: Micros = 300 * 1_000_000;

/// A start of a server as it was told: by the list, and by a call back.
type Told = (UnixTime, Option<UnixTime>);

/// The starts of all listed servers, by their ids.
#[derive(Default)]
pub struct StartTimes {
    known: HashMap<String, (Told, Micros)>,
}

impl StartTimes {
    /// Gives the servers of a list their starts. `unix` and `now`: this moment on both clocks; `heard`: how long ago
    /// everything that was told by then had been heard; what is new started no longer ago than that.
    pub fn assign(
        &mut self,
        form: ListForm,
        servers: &mut [ListedServer],
        (unix, now): (UnixTime, Micros),
        heard: Micros,
    ) {
        if form != ListForm::Delta {
            let listed: std::collections::HashSet<&str> = servers.iter().map(|l| l.id.as_str()).collect();
            self.known.retain(|id, _| listed.contains(id.as_str()));
        }
        let newest = servers.iter().map(|l| l.started_at).max().unwrap_or_default();
        let unix = if heard == Micros::MAX { believed(unix, newest) } else { unix };
        for server in servers {
            if server.entry.state == Lifecycle::Gone {
                self.known.remove(&server.id);
                continue;
            }
            let told = (server.started_at, server.lifted_at);
            let known = self.known.get(&server.id).filter(|(start, _)| *start == told);
            let since = known.map_or_else(|| point(told, unix, now, heard), |(_, since)| *since);
            self.known.insert(server.id.clone(), (told, since));
            server.entry.started_at = since;
            server.entry.incarnation = incarnation(told);
        }
    }
}

/// The Unix time by which starts are judged that may have been told long ago. It is never before the newest of them, and a
/// wall clock that is far ahead of it is not believed: slow start then lasts longer than it has to.
fn believed(unix: UnixTime, newest: UnixTime) -> UnixTime {
    let quiet = unix.micros_since(newest);
    let ahead = (MAX_QUIET..=MAX_WALL_ERROR).contains(&quiet);
    if newest.is_known() && (ahead || unix < newest) {
        newest
    } else {
        unix
    }
}

/// The later of a start and a call back; 0: long ago.
fn point((started, called_back): Told, unix: UnixTime, now: Micros, heard: Micros) -> Micros {
    let on_monotonic = |at: UnixTime| {
        let age = unix.micros_since(at);
        let bound = if age > MAX_WALL_ERROR { age } else { heard };
        now.saturating_sub(age.min(bound)).max(1)
    };
    let started = Some(started).filter(|at| at.is_known());
    started.into_iter().chain(called_back).map(on_monotonic).max().unwrap_or(0)
}

/// Alike at every process that was told the same.
fn incarnation((started, called_back): Told) -> u64 {
    called_back.map_or(started.micros(), |at| at.micros() ^ started.micros().rotate_left(1))
}
