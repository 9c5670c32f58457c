//! Collects what this proxy's own traffic shows about the members. This is the only source of the claims
//! that this instance sends: it counts own failures and keeps a short history of own successful answers.
//!
//! Hearsay never enters. A skip that other peers' claims helped to cause is reported only with the strength
//! of the own failures behind it.
use crate::wire::{self, Claim, Kind, MAX_CLAIMS, TIME_UNIT};
use nickelgate::{Addr, MemberHealth, Micros, Outcome, Role};
use std::collections::BTreeMap;

/// A failure no longer counts after this time; a skip lasts as long.
pub const EVIDENCE_LIFETIME: Micros = 5_000_000;
/// Successful answers are remembered in 32 steps of this length.
const ANSWER_STEP: Micros = 250_000;

/// What this proxy's own traffic has shown about a member.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Start time of its current incarnation, as listed.
    pub incarnation: u64,
    /// Its role for this proxy's router.
    pub role: Role,
    /// When it last failed; 0 if never.
    pub last_failed_at: Micros,
    /// When it last answered successfully; 0 if never.
    pub last_good_at: Micros,
    /// Consecutive own failures: 0 to 2, or 3 for three and more or for a skip caused by own failures alone.
    pub strength: u8,
    kind: Kind,
    skipped: bool,
    suspicion_skips: u32,
    answer_mask: u32,
    answer_step: Micros,
}

impl Observation {
    fn new(s: &MemberHealth) -> Observation {
        Observation {
            incarnation: s.incarnation,
            role: s.role,
            last_failed_at: 0,
            last_good_at: 0,
            strength: 0,
            kind: Kind::Silent,
            skipped: false,
            suspicion_skips: s.suspicion_skips,
            answer_mask: 0,
            answer_step: 0,
        }
    }
    fn update_from(&mut self, s: &MemberHealth) {
        self.role = s.role;
        if s.last_good_at > self.last_good_at {
            let step = s.last_good_at / ANSWER_STEP;
            self.answer_mask = u32::try_from(step.saturating_sub(self.answer_step))
                .map_or(0, |n| self.answer_mask.checked_shl(n).unwrap_or(0))
                | 1;
            (self.answer_step, self.last_good_at) = (step, s.last_good_at);
        }
        if s.last_failed_at > self.last_failed_at {
            // A successful answer in between ends a series of consecutive failures.
            let previous = if self.last_good_at >= self.last_failed_at { 0 } else { self.strength };
            self.strength = (previous + 1).min(3);
            self.last_failed_at = s.last_failed_at;
            self.kind = match s.last_failure {
                Some(Outcome::Reset) => Kind::Broken,
                Some(Outcome::ConnectFailed) => Kind::Unreachable,
                Some(Outcome::Timeout) | None => Kind::Silent,
                Some(_) => Kind::Refusing,
            };
        }
        if s.skipped && !self.skipped && s.suspicion_skips == self.suspicion_skips {
            self.strength = 3;
        }
        (self.skipped, self.suspicion_skips) = (s.skipped, s.suspicion_skips);
    }
    /// Returns whether the member answered successfully after `from` and not after `to`, as far as the
    /// history goes back.
    pub fn answered_between(&self, from: Micros, to: Micros) -> bool {
        let mut answer_mask = self.answer_mask;
        let mut step = self.answer_step;
        while answer_mask != 0 {
            // A step is dated by its start, and the newest one by the answer itself, so that no answer is
            // dated too late.
            let at = if step == self.answer_step { self.last_good_at } else { step * ANSWER_STEP };
            if answer_mask & 1 == 1 && at > from && at <= to {
                return true;
            }
            (answer_mask, step) = (answer_mask >> 1, step.saturating_sub(1));
        }
        false
    }
    /// Returns whether own failures stand that no successful answer has followed.
    pub fn is_suspect(&self, now: Micros) -> bool {
        self.strength > 0
            && self.last_failed_at > self.last_good_at
            && now < self.last_failed_at + EVIDENCE_LIFETIME
    }
}

/// What this proxy's own traffic has shown about all members, and the claims that follow from it.
///
/// ```
/// use nickelgate::{Addr, Outcome, Role, MemberHealth};
/// use threadward_gossip::{evidence::Evidence, wire::Kind};
///
/// let s = MemberHealth {
///     member: Addr { ip: [10, 0, 0, 1], port: 80 },
///     incarnation: 0,
///     role: Role::Parent,
///     strikes: 1,
///     skipped: false,
///     last_failed_at: 2_000_000,
///     last_failure: Some(Outcome::ConnectFailed),
///     last_good_at: 1_000_000,
///     suspicion_skips: 0,
/// };
/// let mut own = Evidence::default();
/// assert!(own.update(2_000_000, &[s]), "the claims have changed");
/// let claims = own.claims(2_300_000);
/// assert_eq!((claims[0].kind, claims[0].strength, claims[0].age), (Kind::Unreachable, 1, 30));
/// assert!(own.update(2_400_000, &[MemberHealth { last_good_at: 2_400_000, ..s }]));
/// assert!(own.claims(2_400_000).is_empty(), "it answered");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Every listed member.
    pub members: BTreeMap<Addr, Observation>,
    last_claimed: Vec<(Addr, u8)>,
}

impl Evidence {
    /// Updates all members from their current health and drops those that are not in the list or have
    /// restarted. Returns whether the set of claims has changed.
    pub fn update(&mut self, now: Micros, health: &[MemberHealth]) -> bool {
        self.members.retain(|a, observed| {
            health.iter().any(|s| s.member == *a && s.incarnation == observed.incarnation)
        });
        for s in health {
            self.members.entry(s.member).or_insert_with(|| Observation::new(s)).update_from(s);
        }
        let claimable: Vec<(Addr, u8)> =
            self.members.iter().filter(|(_, s)| s.is_suspect(now)).map(|(a, s)| (*a, s.strength)).collect();
        let changed = claimable != self.last_claimed;
        self.last_claimed = claimable;
        changed
    }

    /// Records the end of an own probe: a failure counts as an own failure, a success as a successful answer
    /// if the member was unreachable or its connections broke.
    pub fn record_probe(&mut self, now: Micros, member: Addr, answered: bool) {
        let Some(observed) = self.members.get_mut(&member) else { return };
        if answered {
            // A probe only shows that a connection can be made, so it does not clear a member that is silent
            // or refusing.
            if matches!(observed.kind, Kind::Unreachable | Kind::Broken) {
                observed.last_good_at = now;
            }
        } else {
            observed.strength = (observed.strength + 1).min(3);
            (observed.last_failed_at, observed.kind) = (now, Kind::Unreachable);
        }
    }

    /// Returns the current claims with their ages, the strongest and then the newest first.
    pub fn claims(&self, now: Micros) -> Vec<Claim> {
        let mut all: Vec<(&Addr, &Observation)> =
            self.members.iter().filter(|(_, s)| s.is_suspect(now)).collect();
        all.sort_by_key(|(a, s)| (std::cmp::Reverse((s.strength, s.last_failed_at)), **a));
        let claim = |(a, s): (&Addr, &Observation)| Claim {
            member: *a,
            short_incarnation: wire::short_incarnation(s.incarnation),
            kind: s.kind,
            strength: s.strength,
            age: u16::try_from(now.saturating_sub(s.last_failed_at) / TIME_UNIT).unwrap_or(u16::MAX),
        };
        all.into_iter().take(MAX_CLAIMS).map(claim).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member_health(failed: Micros, good: Micros, skipped: bool, helped: u32) -> MemberHealth {
        let member = Addr { ip: [9; 4], port: 9 };
        let why = Some(Outcome::Reset);
        MemberHealth {
            member,
            incarnation: 0,
            role: Role::Parent,
            strikes: 0,
            skipped,
            last_failed_at: failed,
            last_failure: why,
            last_good_at: good,
            suspicion_skips: helped,
        }
    }

    #[test]
    fn only_own_failures_become_claims_and_they_expire() {
        let mut e = Evidence::default();
        let s = 1_000_000;
        assert!(!e.update(10 * s, &[member_health(0, 9 * s, false, 0)]));
        assert!(e.update(11 * s, &[member_health(11 * s, 9 * s, true, 1)]));
        let c = e.claims(11 * s + 50_000);
        assert_eq!(
            (c.len(), c[0].strength, c[0].age, c[0].kind),
            (1, 1, 5, Kind::Broken),
            "a skip that hearsay helped to cause"
        );
        assert!(e.update(12 * s, &[member_health(12 * s, 9 * s, true, 1)]));
        assert_eq!(e.claims(12 * s)[0].strength, 2);
        assert!(e.update(13 * s, &[member_health(12 * s, 13 * s, false, 1)]), "it answered");
        assert!(e.claims(13 * s).is_empty());
        assert!(e.update(14 * s, &[member_health(14 * s, 13 * s, true, 1)]));
        assert_eq!(e.claims(14 * s)[0].strength, 3, "a skip caused by own failures");
        assert!(e.update(20 * s, &[member_health(14 * s, 13 * s, true, 1)]), "too old");
        e.update(21 * s, &[member_health(21 * s, 13 * s, true, 1)]);
        e.update(22 * s, &[MemberHealth { incarnation: 5, ..member_health(0, 0, false, 0) }]);
        assert!(e.claims(22 * s).is_empty(), "a later incarnation of the member");
    }

    #[test]
    fn successful_answers_are_remembered_in_steps() {
        let mut e = Evidence::default();
        let s = 1_000_000;
        for t in [10 * s, 10 * s + 700_000, 14 * s] {
            e.update(t, &[member_health(0, t, false, 0)]);
        }
        let observed = e.members.values().next().unwrap();
        assert!(observed.answered_between(13 * s, 15 * s) && observed.answered_between(10 * s, 11 * s));
        assert!(!observed.answered_between(11 * s, 13 * s) && !observed.answered_between(14 * s, 15 * s));
        assert!(!observed.answered_between(0, 5 * s));
    }
}
