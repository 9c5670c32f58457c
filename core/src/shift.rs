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
pub struct Sign {
    /// Its place in the order of succession.
    pub rank: Rank,
    /// How far it has come.
    pub phase: Phase,
    /// The version of the bans that it has in force.
    pub bans: u64,
}

/// How the others stand to this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// How many live beside this one: the limits hold for all together.
    pub others: usize,
    /// Another one is ready: this one may give way when it is told to end, be it the old one or a new one that is
    /// given up.
    pub relieved: bool,
    /// The oldest version of the bans that one of them has in force.
    pub bans: Option<u64>,
    /// Another one is ready, or ends: clients have it.
    pub served: bool,
    /// The first of those that start.
    pub first: Option<Rank>,
}

impl View {
    /// Whether the process of this rank may listen before it is ready: nobody serves, and of those that start it is the
    /// first. Else two that start together could wait for each other.
    ///
    /// ```
    /// use threadward_core::shift::{view, Phase, Sign};
    ///
    /// let starts = Sign { rank: (5, 100), ..Sign::default() };
    /// assert!(view(&[starts]).alone((4, 101)) && !view(&[starts]).alone((6, 101)));
    /// assert!(!view(&[Sign { phase: Phase::Leaving, ..starts }]).alone((4, 101)));
    /// ```
    pub fn alone(&self, own: Rank) -> bool {
        !self.served && self.first.is_none_or(|f| own < f)
    }
}

/// What a process makes of the others that live.
///
/// ```
/// use threadward_core::shift::{view, Phase, Sign};
///
/// let old = Sign { rank: (5, 100), phase: Phase::Ready, bans: 7 };
/// let new = Sign { rank: (9, 101), phase: Phase::Starting, bans: 6 };
/// assert!(!view(&[new]).relieved && view(&[old]).relieved);
/// let both = view(&[old, new]);
/// assert_eq!((both.others, both.bans), (2, Some(6)));
/// ```
pub fn view(others: &[Sign]) -> View {
    View {
        others: others.len(),
        relieved: others.iter().any(|o| o.phase == Phase::Ready),
        bans: others.iter().map(|o| o.bans).min(),
        served: others.iter().any(|o| o.phase != Phase::Starting),
        first: others.iter().filter(|o| o.phase == Phase::Starting).map(|o| o.rank).min(),
    }
}

/// What readiness rests on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Facts {
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
/// use threadward_core::shift::{ready, Facts};
///
/// let all = Facts { ending: false, listed: true, adopted: true, followed: true, listening: true };
/// assert_eq!(ready(all), Ok(()));
/// assert_eq!(ready(Facts { followed: false, ..all }), Err("bulletin not yet heard"));
/// assert_eq!(ready(Facts { ending: true, ..all }), Err("ending"));
/// ```
pub fn ready(f: Facts) -> Result<(), &'static str> {
    let all = [
        (!f.ending, "ending"),
        (f.listed, "no list of cache servers yet"),
        (f.adopted, "bans and what was learned not yet taken over"),
        (f.followed, "bulletin not yet heard"),
        (f.listening, "not yet listening"),
    ];
    all.into_iter().find(|(holds, _)| !holds).map_or(Ok(()), |(_, why)| Err(why))
}
