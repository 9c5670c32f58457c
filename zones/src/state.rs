//! The states of a zone and every transition between them. This file is the specification; `docs/zones.md`
//! has the same table in words.
//!
//! The transitions depend only on the arguments of [`next_status`]: this file reads no clock and counts no
//! reports. Between two transitions of a zone at least the times below pass. Only the decider calls
//! [`next_status`]; a transition takes effect once a majority of the voters accepted the map that contains
//! it.
use crate::judge::ZoneHealth;
use nickelgate::Micros;

/// Time for which two thirds of the proxies must see a zone fail before it is left, so that a single lost
/// report changes nothing.
pub const CONFIRMATION_TIME: Micros = 300_000;
/// Time without impairment after which a suspect zone is in service again: the time span that a report
/// covers.
pub const SUSPECT_CLEARED_AFTER: Micros = 2_000_000;
/// The same for a suspect zone that nobody tries. It is longer because a proxy skips a member of a suspect
/// zone for 5 s after one failure, so that a lack of reports proves nothing.
pub const UNTRIED_SUSPECT_CLEARED_AFTER: Micros = 6_000_000;
/// Time by which all live proxies act on a decision. After it the zone counts as out, whoever has not
/// answered.
pub const LEAVE_DEADLINE: Micros = 1_000_000;
/// Time that a zone stays out at first: as long as a proxy skips a suspect member. It doubles with each
/// failed return.
pub const FIRST_HOLD: Micros = 5_000_000;
/// How often the hold doubles at most.
pub const MAX_HOLD_DOUBLINGS: u8 = 4;
/// Time after which probers that have not reported enough are replaced by others.
pub const PROBE_TIMEOUT: Micros = 3_000_000;
/// Steps of a return. Each adds an eighth of the difference between a cold and a warm zone.
pub const RETURN_STEPS: u8 = 8;
/// Time in service after which one failed return is forgiven.
pub const FAILED_RETURN_FORGIVEN_AFTER: Micros = 3_600_000_000;
/// Steps that a return skips if the members of the zone did not restart: they still hold their objects.
pub const STEPS_SKIPPED_WHEN_WARM: u8 = RETURN_STEPS / 2;
/// Shortest duration of a return, also for a zone whose settings give no time to warm up.
pub const MIN_RETURN_TIME: Micros = 2_000_000;

/// Smallest number of proxies that probe a zone, if that many are live.
pub const MIN_PROBERS: u32 = 4;
/// In a large fleet, the largest part of the proxies that probe a zone, in thousandths. These probers send as
/// if the zone were warm: all of them together send less than members that have just started can bear under
/// the strictest settings. The few attempts that each proxy's own budget allows for cold members would not be
/// enough to assess the zone.
pub const SMALL_PROBER_SHARE: u16 = 40;
/// Attempts in two seconds on which the assessment of a probed zone rests.
pub const ATTEMPTS_FOR_ASSESSMENT: u32 = 20;
/// A member that has just started takes this fraction (one in so many) of the attempts that it takes when
/// warm, under the strictest settings.
pub const COLD_MEMBER_DIVISOR: u32 = 16;

/// The state of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum State {
    /// In service.
    #[default]
    In,
    /// Some proxies see it fail: each proxy skips its members on less evidence of its own.
    Suspect,
    /// Being left: no new requests go there, but not all proxies know this yet.
    Leaving,
    /// Left by all live proxies.
    Out,
    /// Tried by a few proxies.
    Probing,
    /// Partly in service: the step says how far.
    Returning,
}

/// The reason for the last transition of a zone, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Why {
    /// There was no transition yet.
    #[default]
    Start,
    /// Enough of the proxies that tried the zone see it fail.
    Failing,
    /// Too few proxies see it fail any more.
    Fine,
    /// All live proxies act on the map, or the deadline for it passed.
    Acted,
    /// The hold ended.
    Held,
    /// The member list showed that members restarted.
    Restarted,
    /// Too few attempts were reported.
    Unheard,
    /// The time of a step passed without failures.
    Step,
}

/// The status of one zone in a map.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Status {
    /// The state of the zone.
    pub state: State,
    /// The step of a return, 1 to [`RETURN_STEPS`]; 0 in all other states.
    pub step: u8,
    /// When the state or the step began, on the clock of the holder of the map.
    pub since: Micros,
    /// When the return began.
    pub return_started: Micros,
    /// While the zone is out: the part of its load that other zones carry, in thousandths.
    pub moved_permille: u16,
    /// While the zone is out: the part of the requests to its own proxies that is refused, in thousandths.
    pub refused_permille: u16,
    /// The reason for the last transition.
    pub why: Why,
    /// The number of proxies that saw the zone fail at the last transition that rests on reports.
    pub failing_proxies: u16,
    /// The number of proxies that had tried it then.
    pub trying_proxies: u16,
    /// Recent returns that failed.
    pub failed_returns: u8,
    /// While the zone is probed: the part of all proxies that probe it, in thousandths.
    pub probers_permille: u16,
    /// The seed from which each proxy computes whether it is a prober.
    pub prober_seed: u16,
}

/// What [`next_status`] depends on besides the status and the health of the zone.
#[derive(Clone, Copy, Debug, Default)]
pub struct Context {
    /// When the health last changed its kind.
    pub health_since: Micros,
    /// When the health last changed between impaired (degraded or failing) and not impaired.
    pub impairment_changed_at: Micros,
    /// Whether all live proxies act on the current map.
    pub all_acted: bool,
    /// Result of the capacity guard: thousandths of the load that fit elsewhere and thousandths of the
    /// requests that would be refused; `None` if the zone must stay in service.
    pub leave_plan: Option<(u16, u16)>,
    /// Whether the capacity guard would let the zone go if it served nothing.
    pub may_leave_if_idle: bool,
    /// Whether members of the zone restarted since its status last changed.
    pub members_restarted: bool,
    /// Whether members of the zone restarted so recently that they are cold.
    pub members_cold: bool,
    /// The time that its members need to warm up, from the settings.
    pub warm_up: Micros,
    /// Whether another zone of its region is leaving or out: no further confirmation is needed.
    pub region_leaving: bool,
}

impl Status {
    /// Returns how long the zone stays out.
    pub fn hold_time(&self) -> Micros {
        FIRST_HOLD << self.failed_returns.min(MAX_HOLD_DOUBLINGS)
    }
    /// Returns when the current step ends, counted from the start of the return. The steps divide the time to
    /// warm up evenly.
    pub fn step_due_after(&self, warm_up: Micros) -> Micros {
        warm_up.max(MIN_RETURN_TIME) * Micros::from(self.step) / Micros::from(RETURN_STEPS)
    }
    /// Returns whether the proxy with this index was drawn to probe the zone. Every proxy computes the same
    /// answer.
    pub fn is_prober(&self, proxy: u16) -> bool {
        let x = (u64::from(proxy) << 16 | u64::from(self.prober_seed)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (x ^ x >> 32).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 32 & 0xffff
            < u64::from(self.probers_permille) * 0xffff / 1000
    }
    /// Returns which part of `proxies` has to probe a zone that carried `load` attempts in two seconds, in
    /// thousandths: enough to assess the zone from the few attempts that cold members take, and twice as many
    /// as before if the last probers reported too little.
    pub fn prober_permille(&self, load: u32, proxies: u32) -> u16 {
        let min_share = u64::from(MIN_PROBERS) * 1000 / u64::from(proxies.max(1));
        if min_share <= u64::from(SMALL_PROBER_SHARE) {
            return (u64::from(ATTEMPTS_FOR_ASSESSMENT) * 4000 / u64::from(load.max(1)))
                .clamp(min_share, u64::from(SMALL_PROBER_SHARE)) as u16;
        }
        let share = u64::from(ATTEMPTS_FOR_ASSESSMENT * COLD_MEMBER_DIVISOR) * 1000 / u64::from(load.max(1));
        let twice = if self.why == Why::Unheard { 2 * u64::from(self.probers_permille) } else { 0 };
        share.max(min_share).max(twice).min(1000) as u16
    }
    /// Returns whether proxies, a few or all, send new requests to the zone.
    pub fn accepts_new_requests(&self) -> bool {
        !matches!(self.state, State::Leaving | State::Out)
    }
    /// Returns this status moved to another state, which begins now.
    fn with_state(self, now: Micros, state: State, why: Why) -> Option<Status> {
        Some(Status { state, why, since: now, step: 0, ..self })
    }
    /// Returns this status moved back to [`State::Out`], with one more failed return.
    fn with_failed_return(self, now: Micros, why: Why) -> Option<Status> {
        let failed_returns = (self.failed_returns + 1).min(MAX_HOLD_DOUBLINGS);
        Status { failed_returns, ..self }.with_state(now, State::Out, why)
    }
}

/// Returns the status after the transition that is due now, or `None` if none is due. For a zone that is to
/// be probed, the caller then draws the probers.
///
/// ```
/// use threadward_zones::judge::ZoneHealth;
/// use threadward_zones::state::{next_status, Context, State, Status, CONFIRMATION_TIME};
/// let (now, failing) = (9_000_000, ZoneHealth::Failing(2, 3));
/// let context = Context {
///     health_since: now,
///     impairment_changed_at: now,
///     may_leave_if_idle: true,
///     leave_plan: Some((1000, 0)),
///     ..Context::default()
/// };
/// let suspect = next_status(&Status::default(), &failing, &context, now).unwrap();
/// assert_eq!((suspect.state, suspect.failing_proxies, suspect.trying_proxies), (State::Suspect, 2, 3));
/// assert_eq!(next_status(&suspect, &failing, &context, now + CONFIRMATION_TIME - 1), None, "not yet");
/// let left = next_status(&suspect, &failing, &context, now + CONFIRMATION_TIME).unwrap();
/// assert_eq!(left.state, State::Leaving);
/// let full = Context { leave_plan: None, ..context };
/// assert_eq!(next_status(&suspect, &failing, &full, now + CONFIRMATION_TIME), None, "the guard keeps it");
/// ```
pub fn next_status(s: &Status, health: &ZoneHealth, context: &Context, now: Micros) -> Option<Status> {
    use State::{In, Leaving, Out, Probing, Returning, Suspect};
    use ZoneHealth::{Degraded, Failing, Healthy, Unknown};
    let counted = Status { failing_proxies: health.counts().0, trying_proxies: health.counts().1, ..*s };
    let in_state_for = now.saturating_sub(s.since);
    let health_for = now.saturating_sub(context.health_since);
    let impairment_unchanged_for = now.saturating_sub(context.impairment_changed_at);
    match (s.state, health) {
        // While a zone is suspect, proxies skip its members sooner. That costs a zone that is merely
        // overloaded, so only a zone that could be left becomes suspect.
        (In, Degraded(..) | Failing(..)) if context.may_leave_if_idle => {
            counted.with_state(now, Suspect, Why::Failing)
        }
        (In, _) if s.failed_returns > 0 && in_state_for >= FAILED_RETURN_FORGIVEN_AFTER => {
            Status { failed_returns: s.failed_returns - 1, ..*s }.with_state(now, In, Why::Fine)
        }
        (Suspect, Failing(..)) if health_for >= CONFIRMATION_TIME || context.region_leaving => {
            let (moved_permille, refused_permille) = context.leave_plan?;
            Status { moved_permille, refused_permille, ..counted }.with_state(now, Leaving, Why::Failing)
        }
        (Suspect, Healthy(..)) if impairment_unchanged_for >= SUSPECT_CLEARED_AFTER => {
            counted.with_state(now, In, Why::Fine)
        }
        (Suspect, Unknown) if impairment_unchanged_for >= UNTRIED_SUSPECT_CLEARED_AFTER => {
            counted.with_state(now, In, Why::Unheard)
        }
        (Leaving, _) if context.all_acted || in_state_for >= LEAVE_DEADLINE => {
            s.with_state(now, Out, Why::Acted)
        }
        (Out, _)
            if context.members_restarted
                && in_state_for >= if s.failed_returns == 0 { SUSPECT_CLEARED_AFTER } else { FIRST_HOLD } =>
        {
            s.with_state(now, Probing, Why::Restarted)
        }
        (Out, _) if in_state_for >= s.hold_time() => s.with_state(now, Probing, Why::Held),
        (Probing, Failing(..)) if in_state_for >= CONFIRMATION_TIME => {
            counted.with_failed_return(now, Why::Failing)
        }
        (Probing, Healthy(..)) if health_for >= CONFIRMATION_TIME && in_state_for >= CONFIRMATION_TIME => {
            let step = if context.members_cold { 1 } else { STEPS_SKIPPED_WHEN_WARM + 1 };
            // The return of a warm zone counts as begun at the time that puts the skipped steps into the
            // past.
            let skipped = Status { step: step - 1, ..counted }.step_due_after(context.warm_up);
            let began = Status { return_started: now.saturating_sub(skipped), ..counted };
            began.with_state(now, Returning, Why::Fine).map(|r| Status { step, ..r })
        }
        (Probing, _) if in_state_for >= PROBE_TIMEOUT => s.with_state(now, Out, Why::Unheard),
        (Returning, Failing(..)) if health_for >= CONFIRMATION_TIME => {
            counted.with_failed_return(now, Why::Failing)
        }
        // Reports still cover failures from before the last step for a while. Without this wait, one failure
        // would take back more than one step.
        (Returning, Degraded(..) | Failing(..))
            if in_state_for >= SUSPECT_CLEARED_AFTER && impairment_unchanged_for >= CONFIRMATION_TIME =>
        {
            if s.step <= 1 {
                return counted.with_failed_return(now, Why::Failing);
            }
            let step = s.step - 1;
            // The time of the repeated step begins anew, so the start of the return moves accordingly.
            let before = Status { step: step - 1, ..counted };
            let began = Status {
                return_started: now.saturating_sub(before.step_due_after(context.warm_up)),
                ..counted
            };
            began.with_state(now, Returning, Why::Failing).map(|r| Status { step, ..r })
        }
        (Returning, Healthy(..) | Unknown) if now >= s.return_started + s.step_due_after(context.warm_up) => {
            if s.step >= RETURN_STEPS {
                return Status { moved_permille: 0, refused_permille: 0, ..counted }.with_state(
                    now,
                    In,
                    Why::Fine,
                );
            }
            counted.with_state(now, Returning, Why::Step).map(|r| Status { step: s.step + 1, ..r })
        }
        _ => None,
    }
}
