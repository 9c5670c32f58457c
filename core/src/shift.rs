//! How two processes of one proxy stand to each other while a new version takes over. It owns the judgement: whether one
//! lives beside this one, whether it may take over, whether this one is ready. It must never look at a file or a clock.
use crate::Micros;

/// How far a process has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// It is not ready yet.
    #[default]
    Starting,
    /// It serves.
    Ready,
    /// It ends, and answers what it has taken.
    Leaving,
}

/// When a process started, and its number: the order of succession.
pub type Rank = (Micros, u32);

/// What a process shows of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessStatus {
    /// Its place in the order of succession.
    pub rank: Rank,
    /// How far it has come.
    pub phase: Phase,
    /// The version of the bans that it has in force.
    pub bans_version: u64,
}

/// How the others stand to this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OtherProcesses {
    /// How many live beside this one: the limits hold for all together.
    pub others: usize,
    /// Another one is ready: this one may give way when it is told to end, be it the old one or a new one that is
    /// given up.
    pub other_ready: bool,
    /// The oldest version of the bans that one of them has in force.
    pub min_bans_version: Option<u64>,
    /// Another one is ready, or ends: clients have it.
    pub other_serving: bool,
    /// The first of those that start.
    pub first_starting: Option<Rank>,
}

impl OtherProcesses {
    /// Whether the process of this rank may listen before it is ready: nobody serves, and of those that start it is the
    /// first. Else two that start together could wait for each other.
    ///
    /// ```
    /// use threadward_core::shift::{summarize, Phase, ProcessStatus};
    ///
    /// let starts = ProcessStatus { rank: (5, 100), ..ProcessStatus::default() };
    /// assert!(summarize(&[starts]).may_listen_early((4, 101)) && !summarize(&[starts]).may_listen_early((6, 101)));
    /// assert!(!summarize(&[ProcessStatus { phase: Phase::Leaving, ..starts }]).may_listen_early((4, 101)));
    /// ```
    pub fn may_listen_early(&self, own: Rank) -> bool {
        !self.other_serving && self.first_starting.is_none_or(|f| own < f)
    }
}

/// What a process makes of the others that live.
///
/// ```
/// use threadward_core::shift::{summarize, Phase, ProcessStatus};
///
/// let old = ProcessStatus { rank: (5, 100), phase: Phase::Ready, bans_version: 7 };
/// let new = ProcessStatus { rank: (9, 101), phase: Phase::Starting, bans_version: 6 };
/// assert!(!summarize(&[new]).other_ready && summarize(&[old]).other_ready);
/// let both = summarize(&[old, new]);
/// assert_eq!((both.others, both.min_bans_version), (2, Some(6)));
/// ```
pub fn summarize(others: &[ProcessStatus]) -> OtherProcesses {
    OtherProcesses {
        others: others.len(),
        other_ready: others.iter().any(|o| o.phase == Phase::Ready),
        min_bans_version: others.iter().map(|o| o.bans_version).min(),
        other_serving: others.iter().any(|o| o.phase != Phase::Starting),
        first_starting: others.iter().filter(|o| o.phase == Phase::Starting).map(|o| o.rank).min(),
    }
}

/// What readiness rests on.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadinessFacts {
    /// It was told to end.
    pub ending: bool,
    /// A list of members is there.
    pub listed: bool,
    /// What was left for this process is in force: bans, and what another one has learned.
    pub adopted: bool,
    /// The bulletin was heard, or has been out of reach for as long as a start waits for it.
    pub followed: bool,
    /// Clients can connect.
    pub listening: bool,
}

/// Whether a process is ready to serve.
///
/// # Errors
/// What is still missing, in words for staff.
///
/// ```
/// use threadward_core::shift::{ready, ReadinessFacts};
///
/// let all = ReadinessFacts { ending: false, listed: true, adopted: true, followed: true, listening: true };
/// assert_eq!(ready(all), Ok(()));
/// assert_eq!(ready(ReadinessFacts { followed: false, ..all }), Err("bulletin not yet heard"));
/// assert_eq!(ready(ReadinessFacts { ending: true, ..all }), Err("ending"));
/// ```
pub fn ready(f: ReadinessFacts) -> Result<(), &'static str> {
    let all = [
        (!f.ending, "ending"),
        (f.listed, "no list of cache servers yet"),
        (f.adopted, "bans and what was learned not yet taken over"),
        (f.followed, "bulletin not yet heard"),
        (f.listening, "not yet listening"),
    ];
    all.into_iter().find(|(holds, _)| !holds).map_or(Ok(()), |(_, why)| Err(why))
}
