//! How two processes of one proxy relate to each other while a new version takes over: whether another
//! process is alive, whether it can take over, and whether this one is ready. The module only evaluates what
//! it is given; it reads no files and no clock.
use crate::Micros;

/// Stage in the life of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// The process is not ready yet.
    #[default]
    Starting,
    /// The process serves clients.
    Ready,
    /// The process is about to end, and answers the requests that it has accepted.
    Ending,
}

/// Start time and number of a process; this is the order of succession.
pub type Rank = (Micros, u32);

/// What a process publishes about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessStatus {
    /// Its position in the order of succession.
    pub rank: Rank,
    /// Its stage.
    pub phase: Phase,
    /// The version of the bans that it has applied.
    pub bans_version: u64,
}

/// What this process has to know about the other processes of the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OtherProcesses {
    /// Number of other live processes. All processes together share the limits.
    pub count: usize,
    /// Whether another process is ready. This one may then hand over to it when it is told to end, both as
    /// the old process and as a new one that is given up.
    pub other_ready: bool,
    /// The oldest version of the bans that any of them has applied.
    pub min_bans_version: Option<u64>,
    /// Whether another process is ready or about to end, so that it has the clients.
    pub other_serving: bool,
    /// The first in the order of succession of those that are starting.
    pub first_starting: Option<Rank>,
}

impl OtherProcesses {
    /// Returns whether the process of this rank may listen before it is ready: no other process serves, and
    /// it is the first of those that are starting. Without this rule, two processes that start together could
    /// wait for each other.
    ///
    /// ```
    /// use threadward_core::shift::{summarize, Phase, ProcessStatus};
    ///
    /// let starts = ProcessStatus { rank: (5, 100), ..ProcessStatus::default() };
    /// let others = summarize(&[starts]);
    /// assert!(others.may_listen_early((4, 101)) && !others.may_listen_early((6, 101)));
    /// assert!(!summarize(&[ProcessStatus { phase: Phase::Ending, ..starts }]).may_listen_early((4, 101)));
    /// ```
    pub fn may_listen_early(&self, own: Rank) -> bool {
        !self.other_serving && self.first_starting.is_none_or(|first| own < first)
    }
}

/// Summarizes the states of the other live processes.
///
/// ```
/// use threadward_core::shift::{summarize, Phase, ProcessStatus};
///
/// let old = ProcessStatus { rank: (5, 100), phase: Phase::Ready, bans_version: 7 };
/// let new = ProcessStatus { rank: (9, 101), phase: Phase::Starting, bans_version: 6 };
/// assert!(!summarize(&[new]).other_ready && summarize(&[old]).other_ready);
/// let both = summarize(&[old, new]);
/// assert_eq!((both.count, both.min_bans_version), (2, Some(6)));
/// ```
pub fn summarize(others: &[ProcessStatus]) -> OtherProcesses {
    OtherProcesses {
        count: others.len(),
        other_ready: others.iter().any(|o| o.phase == Phase::Ready),
        min_bans_version: others.iter().map(|o| o.bans_version).min(),
        other_serving: others.iter().any(|o| o.phase != Phase::Starting),
        first_starting: others.iter().filter(|o| o.phase == Phase::Starting).map(|o| o.rank).min(),
    }
}

/// The conditions of readiness.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadinessFacts {
    /// The process was told to end.
    pub ending: bool,
    /// A member list has been received.
    pub list_received: bool,
    /// What another process left for this one has been applied: the bans, and what its router has learned.
    pub state_adopted: bool,
    /// Discovery has reported, or has been unreachable for as long as a start waits for it.
    pub discovery_known: bool,
    /// Clients can connect.
    pub listening: bool,
}

/// Checks whether a process is ready to serve.
///
/// # Errors
/// Returns the first condition that is not met, as a text for operators.
///
/// ```
/// use threadward_core::shift::{ready, ReadinessFacts};
///
/// let all = ReadinessFacts {
///     ending: false,
///     list_received: true,
///     state_adopted: true,
///     discovery_known: true,
///     listening: true,
/// };
/// assert_eq!(ready(all), Ok(()));
/// assert_eq!(ready(ReadinessFacts { discovery_known: false, ..all }), Err("bulletin not yet heard"));
/// assert_eq!(ready(ReadinessFacts { ending: true, ..all }), Err("ending"));
/// ```
pub fn ready(facts: ReadinessFacts) -> Result<(), &'static str> {
    let conditions = [
        (!facts.ending, "ending"),
        (facts.list_received, "no list of cache servers yet"),
        (facts.state_adopted, "bans and what was learned not yet taken over"),
        (facts.discovery_known, "bulletin not yet heard"),
        (facts.listening, "not yet listening"),
    ];
    conditions.into_iter().find(|(met, _)| !met).map_or(Ok(()), |(_, missing)| Err(missing))
}
