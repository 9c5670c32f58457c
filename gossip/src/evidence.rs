//! What this instance's own traffic showed of the members: the only source of what it says of them. It owns the count
//! of own failures and the short memory of own good answers. It must never take in hearsay: a skip that a rumour
//! helped is told with the own failures behind it, no more.
use crate::wire::{self, Claim, Kind, MAX_CLAIMS, TIME_UNIT};
use nickelgate::{Addr, MemberHealth, Micros, Outcome, Role};
use std::collections::BTreeMap;

/// After this a failure says nothing any more; a skip lasts as long.
pub const EVIDENCE_LIFETIME: Micros = 5_000_000;
/// Own good answers are remembered in steps of so long, 32 of them.
const STEP: Micros = 250_000;

/// What own traffic showed of a member.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Its last start, as listed.
    pub incarnation: u64,
    /// What it is to the own router.
    pub role: Role,
    /// When it last failed; 0: never.
    pub failed: Micros,
    /// When it last answered well; 0: never.
    pub good: Micros,
    /// Own failures in a row: 0 to 2, or 3 for three and more or a skip that they made.
    pub strength: u8,
    kind: Kind,
    skipped: bool,
    helped: u32,
    goods: u32,
    step: Micros,
}

impl Seen {
    fn new(s: &MemberHealth) -> Seen {
        Seen {
            incarnation: s.incarnation,
            role: s.role,
            failed: 0,
            good: 0,
            strength: 0,
            kind: Kind::Silent,
            skipped: false,
            helped: s.suspicion_skips,
            goods: 0,
            step: 0,
        }
    }
    fn take(&mut self, s: &MemberHealth) {
        self.role = s.role;
        if s.last_good_at > self.good {
            let step = s.last_good_at / STEP;
            self.goods = u32::try_from(step.saturating_sub(self.step))
                .map_or(0, |n| self.goods.checked_shl(n).unwrap_or(0))
                | 1;
            (self.step, self.good) = (step, s.last_good_at);
        }
        if s.last_failed_at > self.failed {
            // Failures count as a row until an own good answer comes between.
            let row = if self.good >= self.failed { 0 } else { self.strength };
            self.strength = (row + 1).min(3);
            self.failed = s.last_failed_at;
            self.kind = match s.last_failure {
                Some(Outcome::Reset) => Kind::Broken,
                Some(Outcome::ConnectFailed) => Kind::Unreachable,
                Some(Outcome::Timeout) | None => Kind::Silent,
                Some(_) => Kind::Refusing,
            };
        }
        if s.skipped && !self.skipped && s.suspicion_skips == self.helped {
            self.strength = 3;
        }
        (self.skipped, self.helped) = (s.skipped, s.suspicion_skips);
    }
    /// Whether it answered well at some time after `from` and not after `to`, as far as that is remembered.
    pub fn good_between(&self, from: Micros, to: Micros) -> bool {
        let mut goods = self.goods;
        let mut step = self.step;
        while goods != 0 {
            // A step stands for its end, the last one for the answer itself, so that none counts as too late.
            let at = if step == self.step { self.good } else { step * STEP };
            if goods & 1 == 1 && at > from && at <= to {
                return true;
            }
            (goods, step) = (goods >> 1, step.saturating_sub(1));
        }
        false
    }
    /// Own failures stand and no good answer came since.
    pub fn suspect(&self, now: Micros) -> bool {
        self.strength > 0 && self.failed > self.good && now < self.failed + EVIDENCE_LIFETIME
    }
}

/// What own traffic showed of all members, and what is to be told of them.
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
/// assert!(own.update(2_000_000, &[s]), "there is something to tell");
/// let claims = own.claims(2_300_000);
/// assert_eq!((claims[0].kind, claims[0].strength, claims[0].age), (Kind::Unreachable, 1, 30));
/// assert!(own.update(2_400_000, &[MemberHealth { last_good_at: 2_400_000, ..s }]));
/// assert!(own.claims(2_400_000).is_empty(), "it answered");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Every member that is listed.
    pub members: BTreeMap<Addr, Seen>,
    told: Vec<(Addr, u8)>,
}

impl Evidence {
    /// Takes in the present standings, all of them; true where what is to be told has changed.
    pub fn update(&mut self, now: Micros, standings: &[MemberHealth]) -> bool {
        self.members
            .retain(|a, seen| standings.iter().any(|s| s.member == *a && s.incarnation == seen.incarnation));
        for s in standings {
            self.members.entry(s.member).or_insert_with(|| Seen::new(s)).take(s);
        }
        let tell: Vec<(Addr, u8)> =
            self.members.iter().filter(|(_, s)| s.suspect(now)).map(|(a, s)| (*a, s.strength)).collect();
        let changed = tell != self.told;
        self.told = tell;
        changed
    }

    /// An own probe ended: a good one is an own good answer, a failed one an own failure.
    pub fn probed(&mut self, now: Micros, member: Addr, good: bool) {
        let Some(seen) = self.members.get_mut(&member) else { return };
        if good {
            // It tells that the connection works and no more: what was silent or refusing stays so.
            if matches!(seen.kind, Kind::Unreachable | Kind::Broken) {
                seen.good = now;
            }
        } else {
            seen.strength = (seen.strength + 1).min(3);
            (seen.failed, seen.kind) = (now, Kind::Unreachable);
        }
    }

    /// What is to be told now, the strongest and newest first, with ages.
    pub fn claims(&self, now: Micros) -> Vec<Claim> {
        let mut all: Vec<(&Addr, &Seen)> = self.members.iter().filter(|(_, s)| s.suspect(now)).collect();
        all.sort_by_key(|(a, s)| (std::cmp::Reverse((s.strength, s.failed)), **a));
        let claim = |(a, s): (&Addr, &Seen)| Claim {
            member: *a,
            short_incarnation: wire::short_incarnation(s.incarnation),
            kind: s.kind,
            strength: s.strength,
            age: u16::try_from(now.saturating_sub(s.failed) / TIME_UNIT).unwrap_or(u16::MAX),
        };
        all.into_iter().take(MAX_CLAIMS).map(claim).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn standing(failed: Micros, good: Micros, skipped: bool, helped: u32) -> MemberHealth {
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
    fn only_own_failures_are_told_and_they_end() {
        let mut e = Evidence::default();
        let s = 1_000_000;
        assert!(!e.update(10 * s, &[standing(0, 9 * s, false, 0)]));
        assert!(e.update(11 * s, &[standing(11 * s, 9 * s, true, 1)]));
        let c = e.claims(11 * s + 50_000);
        assert_eq!(
            (c.len(), c[0].strength, c[0].age, c[0].kind),
            (1, 1, 5, Kind::Broken),
            "helped by a rumour"
        );
        assert!(e.update(12 * s, &[standing(12 * s, 9 * s, true, 1)]));
        assert_eq!(e.claims(12 * s)[0].strength, 2);
        assert!(e.update(13 * s, &[standing(12 * s, 13 * s, false, 1)]), "it answered");
        assert!(e.claims(13 * s).is_empty());
        assert!(e.update(14 * s, &[standing(14 * s, 13 * s, true, 1)]));
        assert_eq!(e.claims(14 * s)[0].strength, 3, "a skip of its own");
        assert!(e.update(20 * s, &[standing(14 * s, 13 * s, true, 1)]), "too old");
        e.update(21 * s, &[standing(21 * s, 13 * s, true, 1)]);
        e.update(22 * s, &[MemberHealth { incarnation: 5, ..standing(0, 0, false, 0) }]);
        assert!(e.claims(22 * s).is_empty(), "a later life of the member");
    }

    #[test]
    fn good_answers_are_remembered_in_steps() {
        let mut e = Evidence::default();
        let s = 1_000_000;
        for t in [10 * s, 10 * s + 700_000, 14 * s] {
            e.update(t, &[standing(0, t, false, 0)]);
        }
        let seen = e.members.values().next().unwrap();
        assert!(seen.good_between(13 * s, 15 * s) && seen.good_between(10 * s, 11 * s));
        assert!(!seen.good_between(11 * s, 13 * s) && !seen.good_between(14 * s, 15 * s));
        assert!(!seen.good_between(0, 5 * s));
    }
}
