//! Tracks when cache servers started, on the monotonic clock. A member list gives starts in Unix time, and
//! this machine's wall clock may be wrong, so the time at which a start was reported bounds how long ago it
//! was. A start keeps its time for as long as the server is listed: slow start is neither skipped nor begun
//! again when the same start is reported again.
use std::collections::HashMap;
use threadward_core::bans::ListedServer;
use threadward_core::{Lifecycle, ListForm, Micros, UnixTime};

/// The wall clock is assumed to be wrong by at most this: a start further back was long ago.
const MAX_WALL_ERROR: Micros = 2 * 3_600 * 1_000_000;

/// If the newest known start is at least this old by the wall clock, the clock may be ahead: the ages of
/// starts are then counted from the newest start instead.
const MAX_START_AGE: Micros = 300 * 1_000_000;

/// The start of a server as reported: by the member list, and by the lifting of its ban.
type ReportedStart = (UnixTime, Option<UnixTime>);

/// The starts of all listed servers, by server id.
#[derive(Default)]
pub struct StartTimes {
    known: HashMap<String, (ReportedStart, Micros)>,
}

impl StartTimes {
    /// Sets the start time and incarnation of the servers of a list. `unix` and `now` are the present time on
    /// both clocks. `max_age` is how long ago everything reported until then had been received: a start that
    /// is new in this list is no older than that.
    pub fn assign(
        &mut self,
        form: ListForm,
        servers: &mut [ListedServer],
        (unix, now): (UnixTime, Micros),
        max_age: Micros,
    ) {
        if form != ListForm::Delta {
            let listed: std::collections::HashSet<&str> = servers.iter().map(|l| l.id.as_str()).collect();
            self.known.retain(|id, _| listed.contains(id.as_str()));
        }
        let newest = servers.iter().map(|l| l.started_at).max().unwrap_or_default();
        let unix = if max_age == Micros::MAX { credible_unix_time(unix, newest) } else { unix };
        for server in servers {
            if server.entry.state == Lifecycle::Gone {
                self.known.remove(&server.id);
                continue;
            }
            let reported = (server.started_at, server.lifted_at);
            let known = self.known.get(&server.id).filter(|(start, _)| *start == reported);
            let started_at_monotonic = known.map_or_else(
                || start_on_monotonic(reported, unix, now, max_age),
                |(_, started_at_monotonic)| *started_at_monotonic,
            );
            self.known.insert(server.id.clone(), (reported, started_at_monotonic));
            server.entry.started_at = started_at_monotonic;
            server.entry.incarnation = incarnation(reported);
        }
    }
}

/// Returns the Unix time from which the ages of starts are counted that may have been reported long ago. It
/// is never before the newest of them. A wall clock that is far ahead of the newest is not trusted, and the
/// newest start is returned instead: slow start then lasts longer than it has to.
fn credible_unix_time(unix: UnixTime, newest: UnixTime) -> UnixTime {
    let start_age = unix.micros_since(newest);
    let ahead = (MAX_START_AGE..=MAX_WALL_ERROR).contains(&start_age);
    if newest.is_known() && (ahead || unix < newest) {
        newest
    } else {
        unix
    }
}

/// Returns the later of a start and the lifting of a ban, on the monotonic clock; 0 if it was long ago.
fn start_on_monotonic(
    (started, lifted): ReportedStart,
    unix: UnixTime,
    now: Micros,
    max_age: Micros,
) -> Micros {
    let on_monotonic = |at: UnixTime| {
        let age = unix.micros_since(at);
        let bound = if age > MAX_WALL_ERROR { age } else { max_age };
        now.saturating_sub(age.min(bound)).max(1)
    };
    let started = Some(started).filter(|at| at.is_known());
    started.into_iter().chain(lifted).map(on_monotonic).max().unwrap_or(0)
}

/// Returns a server's incarnation, the same at every process that got the same report.
fn incarnation((started, lifted): ReportedStart) -> u64 {
    lifted.map_or(started.micros(), |at| at.micros() ^ started.micros().rotate_left(1))
}
