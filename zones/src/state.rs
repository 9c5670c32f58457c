//! The states of a zone and every move between them: this file reads as their specification (`docs/zones.md` has the same
//! table in words). It owns who may move a zone, on what, and by when. It must never read a clock, count reports, or let
//! two moves of a zone follow each other without the time between them that is written here.
//!
//! Only the decider calls [`next`]; a move counts once a majority of the voters took the map that holds it.
use crate::judge::Verdict;
use nickelgate::Micros;

/// Two thirds say that it fails, for so long, before it is left: one lost report more or less moves nothing.
pub const CONFIRM: Micros = 300_000;
/// So long without doubt, and a suspect is in again: the span of what a report tells.
pub const CALM: Micros = 2_000_000;
/// The same where nobody tries it: in doubt one failure makes a proxy skip a member for 5 s, and silence is no proof.
pub const UNSEEN: Micros = 6_000_000;
/// All live proxies act on a decision within this: after it the zone counts as out, whoever has not answered.
pub const DEADLINE: Micros = 1_000_000;
/// The first hold: the module's own time for a suspect member. It doubles with each return that failed, so often.
pub const HOLD: Micros = 5_000_000;
pub const DOUBLED: u8 = 4;
/// Probers that have not said enough by then are changed for others.
pub const PROBED: Micros = 3_000_000;
/// Steps of a return: each adds an eighth of what is between cold and warm.
pub const STEPS: u8 = 8;
/// So long in service takes one failed return back.
pub const FORGIVEN: Micros = 3_600_000_000;
/// Of a zone whose members did not start anew, a return begins past this step: what they hold is still there.
pub const WARM_STEP: u8 = STEPS / 2;
/// The span of a return of a zone that the settings give no time in which members get warm.
pub const LEAST_RETURN: Micros = 2_000_000;

/// Proxies that try a zone first, at least, and attempts in two seconds that the verdict on it is to rest on.
pub const PROBERS: u32 = 4;
/// Of a large fleet no more than so many thousandths try a zone: they send as to a warm one, and all of them together less
/// than members bear that have just started, where the settings allow least. What small shares send to cold members through
/// each proxy's own budget is too little for a verdict.
pub const FEW: u16 = 40;
pub const TRIES: u32 = 20;
/// A member that has just started takes one attempt in so many of what it takes when warm, where the settings allow least.
pub const SLICE: u32 = 16;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum State {
    /// In service.
    #[default]
    In,
    /// Some see it fail: each proxy needs less of its own evidence.
    Suspect,
    /// Being left: nothing new goes there, and not everybody knows yet.
    Leaving,
    /// Left by all that live.
    Out,
    /// Tried by a few.
    Probing,
    /// In part in service: the step says how far.
    Returning,
}

/// Why a zone was moved last, for staff.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Why {
    #[default]
    Start,
    /// So many of so many proxies that tried it say that it fails.
    Failing,
    /// Nobody sees it fail any more.
    Fine,
    /// All that live act on it, or their time was up.
    Acted,
    /// The hold was over.
    Held,
    /// The list told of members that started anew.
    Restarted,
    /// The probers heard too little.
    Unheard,
    /// The time of a step was over and nothing failed.
    Step,
}

/// A zone in the map.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Status {
    pub state: State,
    /// Of a return, 1 to [`STEPS`]; else 0.
    pub step: u8,
    /// When the state, or the step, began, on the clock of whoever holds the map.
    pub since: Micros,
    /// When the return began.
    pub returning: Micros,
    /// Thousandths of its load that others carry while it is out, and of what its proxies are asked for that is refused.
    pub moved: u16,
    pub refused: u16,
    pub why: Why,
    /// Proxies that said so, of those that tried.
    pub bad: u16,
    pub of: u16,
    /// Returns that failed lately.
    pub failed: u8,
    /// Of a zone that is tried: thousandths of all proxies that try it, and the lot by which they are drawn.
    pub tries: u16,
    pub lot: u16,
}

/// What the decider knows beside the verdict, at the time of the question.
#[derive(Clone, Copy, Debug, Default)]
pub struct Around {
    /// Since when the verdict stands; and since when it is doubt or worse, or is neither.
    pub stands: Micros,
    pub side: Micros,
    /// All live proxies hold the present map.
    pub acted: bool,
    /// What the guard lets go: thousandths of the load that fit elsewhere, and that would be refused; `None`: it must stay.
    pub fits: Option<(u16, u16)>,
    /// It would let go a zone that serves nothing.
    pub could: bool,
    /// Members of the zone started anew since it was out; and so lately that they are cold.
    pub restarted: bool,
    pub young: bool,
    /// The time in which its members get warm, as the settings have it.
    pub cold: Micros,
    /// Other zones of its region are being left: it needs no further confirmation.
    pub region: bool,
}

impl Status {
    /// How long it stays out.
    pub fn hold(&self) -> Micros {
        HOLD << self.failed.min(DOUBLED)
    }
    /// When the next step is due, from the beginning of the return: the steps divide the cold time evenly.
    pub fn due(&self, cold: Micros) -> Micros {
        cold.max(LEAST_RETURN) * Micros::from(self.step) / Micros::from(STEPS)
    }
    /// Whether the proxy of this place is one of those that try it first.
    pub fn tried_by(&self, place: u16) -> bool {
        let x = (u64::from(place) << 16 | u64::from(self.lot)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (x ^ x >> 32).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 32 & 0xffff
            < u64::from(self.tries) * 0xffff / 1000
    }
    /// Thousandths of `proxies` that are to try a zone which carried `load` in two seconds: enough for a verdict from what
    /// members that are cold take, more if those before were too few.
    pub fn enough(&self, load: u32, proxies: u32) -> u16 {
        let least = u64::from(PROBERS) * 1000 / u64::from(proxies.max(1));
        if least <= u64::from(FEW) {
            return (u64::from(TRIES) * 4000 / u64::from(load.max(1))).clamp(least, u64::from(FEW)) as u16;
        }
        let share = u64::from(TRIES * SLICE) * 1000 / u64::from(load.max(1));
        let twice = if self.why == Why::Unheard { 2 * u64::from(self.tries) } else { 0 };
        share.max(least).max(twice).min(1000) as u16
    }
    /// Whether proxies send it what is new, a few or all.
    pub fn serves(&self) -> bool {
        !matches!(self.state, State::Leaving | State::Out)
    }
    fn to(self, now: Micros, state: State, why: Why) -> Option<Status> {
        Some(Status { state, why, since: now, step: 0, ..self })
    }
    fn back(self, now: Micros, why: Why) -> Option<Status> {
        let failed = (self.failed + 1).min(DOUBLED);
        Status { failed, ..self }.to(now, State::Out, why)
    }
}

/// The move that is due, if any; the probers of a zone that is to be tried are drawn by the caller.
///
/// ```
/// use threadward_zones::judge::Verdict;
/// use threadward_zones::state::{next, Around, State, Status, CONFIRM};
/// let (now, bad) = (9_000_000, Verdict::Bad(2, 3));
/// let around = Around { stands: now, side: now, could: true, fits: Some((1000, 0)), ..Around::default() };
/// let suspect = next(&Status::default(), &bad, &around, now).unwrap();
/// assert_eq!((suspect.state, suspect.bad, suspect.of), (State::Suspect, 2, 3));
/// assert_eq!(next(&suspect, &bad, &around, now + CONFIRM - 1), None, "not yet");
/// assert_eq!(next(&suspect, &bad, &around, now + CONFIRM).unwrap().state, State::Leaving);
/// let full = Around { fits: None, ..around };
/// assert_eq!(next(&suspect, &bad, &full, now + CONFIRM), None, "the guard keeps it");
/// ```
pub fn next(s: &Status, verdict: &Verdict, a: &Around, now: Micros) -> Option<Status> {
    use State::{In, Leaving, Out, Probing, Returning, Suspect};
    use Verdict::{Bad, Doubt, Fine, Unknown};
    let told = Status { bad: verdict.counts().0, of: verdict.counts().1, ..*s };
    let passed = now.saturating_sub(s.since);
    let stood = now.saturating_sub(a.stands);
    let sided = now.saturating_sub(a.side);
    match (s.state, verdict) {
        // Doubt halves patience, which costs a zone that is only full: it is for one that could be left.
        (In, Doubt(..) | Bad(..)) if a.could => told.to(now, Suspect, Why::Failing),
        (In, _) if s.failed > 0 && passed >= FORGIVEN => {
            Status { failed: s.failed - 1, ..*s }.to(now, In, Why::Fine)
        }
        (Suspect, Bad(..)) if stood >= CONFIRM || a.region => {
            let (moved, refused) = a.fits?;
            Status { moved, refused, ..told }.to(now, Leaving, Why::Failing)
        }
        (Suspect, Fine(..)) if sided >= CALM => told.to(now, In, Why::Fine),
        (Suspect, Unknown) if sided >= UNSEEN => told.to(now, In, Why::Unheard),
        (Leaving, _) if a.acted || passed >= DEADLINE => s.to(now, Out, Why::Acted),
        (Out, _) if a.restarted && passed >= if s.failed == 0 { CALM } else { HOLD } => {
            s.to(now, Probing, Why::Restarted)
        }
        (Out, _) if passed >= s.hold() => s.to(now, Probing, Why::Held),
        (Probing, Bad(..)) if passed >= CONFIRM => told.back(now, Why::Failing),
        (Probing, Fine(..)) if stood >= CONFIRM && passed >= CONFIRM => {
            let step = if a.young { 1 } else { WARM_STEP + 1 };
            // A warm zone's return counts as begun when its first steps would have been over.
            let skipped = Status { step: step - 1, ..told }.due(a.cold);
            let began = Status { returning: now.saturating_sub(skipped), ..told };
            began.to(now, Returning, Why::Fine).map(|r| Status { step, ..r })
        }
        (Probing, _) if passed >= PROBED => s.to(now, Out, Why::Unheard),
        (Returning, Bad(..)) if stood >= CONFIRM => told.back(now, Why::Failing),
        // What failed before the last step is told for a while: one failure takes one step back.
        (Returning, Doubt(..) | Bad(..)) if passed >= CALM && sided >= CONFIRM => {
            if s.step <= 1 {
                return told.back(now, Why::Failing);
            }
            let step = s.step - 1;
            // The time of the step begins again: the return began later by as much.
            let before = Status { step: step - 1, ..told };
            let began = Status { returning: now.saturating_sub(before.due(a.cold)), ..told };
            began.to(now, Returning, Why::Failing).map(|r| Status { step, ..r })
        }
        (Returning, Fine(..) | Unknown) if now >= s.returning + s.due(a.cold) => {
            if s.step >= STEPS {
                return Status { moved: 0, refused: 0, ..told }.to(now, In, Why::Fine);
            }
            told.to(now, Returning, Why::Step).map(|r| Status { step: s.step + 1, ..r })
        }
        _ => None,
    }
}
