//! What is believed of the members on the word of others. It owns the present statement of each witness, the credit
//! of each, and the bounds on what hearsay may hold suspect at once. It must never believe fewer witnesses than one
//! more than the liars that the tier bears, count a witness twice, or hold hearsay above an own good answer.
//!
//! With `n` instances entitled to speak, `f = (n - 1) / 3` may lie (the bound of Pease, Shostak and Lamport, 1980,
//! for agreement; here it is the margin that operators know), so `max(2, f + 1)` distinct witnesses are needed, and
//! a majority of the entitled has to be live by own proof. A witness's vote is `credit * weight * 0.5^(age / 2.5 s)`,
//! with weight 0.7, 0.85 or 1 for one own failure, two, or a skip; the votes have to come to 0.4 for each witness
//! needed. Credit starts at 0.8, falls to 0.6 of itself with each claim that own good answers refute, rises by a
//! tenth of what it lacks with one that own failures confirm, and by 0.02 in 10 s towards its start.
use crate::evidence::{Evidence, EVIDENCE_LIFETIME};
use crate::wire::{self, Claim, MAX_CLAIMS, TIME_UNIT};
use nickelgate::{Addr, Micros, Role};
use std::collections::BTreeMap;

const START: f64 = 0.8;
/// Under this a witness is not heard.
const LEAST: f64 = 0.3;
const REFUTED: f64 = 0.6;
const CONFIRMED: f64 = 0.1;
const RECOVERY: f64 = 0.02;
const RECOVERY_SPAN: Micros = 10_000_000;
const HALF_LIFE: f64 = 2_500_000.0;
/// Votes for each witness that is needed.
const SHARE: f64 = 0.4;
/// An own good answer this long after the failure that a claim tells of refutes it. Later it may have recovered.
const REFUTES: Micros = 1_000_000;
/// A claim confirmed by own failures so long before or after.
const NEAR: Micros = 3_000_000;
/// Claims of one witness count against its credit so far apart.
const APART: Micros = 200_000;

#[derive(Clone, Copy, Debug)]
struct Heard {
    member: Addr,
    short_incarnation: u32,
    strength: u8,
    /// When the member failed, on the clock here.
    at: Micros,
    judged: bool,
}

#[derive(Clone, Debug)]
struct Witness {
    claims: Vec<Heard>,
    credit: f64,
    recovered: Micros,
    refuted: Micros,
    confirmed: Micros,
}

/// What changed: a member is believed suspect from now on, or no longer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Suspicion {
    /// The member.
    pub member: Addr,
    /// The start of the member that is meant.
    pub incarnation: u64,
    /// From now on; else no longer.
    pub suspected: bool,
    /// How many hold it suspect.
    pub witnesses: usize,
}

/// The numbers that a quorum rests on.
///
/// ```
/// use threadward_gossip::Quorum;
///
/// let q = Quorum { eligible: 10, live: 6, tolerated_faults: None };
/// assert_eq!((q.tolerated_faults(), q.required_witnesses(), q.has_majority()), (3, 4, true));
/// assert!(!Quorum { live: 5, ..q }.has_majority(), "half is no majority");
/// let few = Quorum { eligible: 3, live: 3, tolerated_faults: None };
/// assert_eq!((few.tolerated_faults(), few.required_witnesses()), (0, 2), "never on the word of one");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quorum {
    /// Instances that may speak, this one among them.
    pub eligible: usize,
    /// Those live by own proof, this one among them.
    pub live: usize,
    /// Liars borne, where the operators name them; else a third of the others, rounded down.
    pub tolerated_faults: Option<usize>,
}

impl Quorum {
    /// Liars borne.
    pub fn tolerated_faults(&self) -> usize {
        self.tolerated_faults.unwrap_or(self.eligible.saturating_sub(1) / 3)
    }
    /// Distinct witnesses that are needed.
    pub fn required_witnesses(&self) -> usize {
        (self.tolerated_faults() + 1).max(2)
    }
    /// Whether this side of a cut has more than half of all.
    pub fn has_majority(&self) -> bool {
        self.live * 2 > self.eligible
    }
}

/// What each witness says at present, its credit, and what follows from that. Peers are told by their place in the file.
///
/// ```
/// use nickelgate::{Addr, Role, MemberHealth};
/// use threadward_gossip::belief::{Belief, Quorum};
/// use threadward_gossip::evidence::Evidence;
/// use threadward_gossip::wire::{Claim, Kind};
///
/// let hub = |n| Addr { ip: [10, 0, 0, n], port: 80 };
/// let seen = |n| MemberHealth {
///     member: hub(n),
///     incarnation: 0,
///     role: Role::Parent,
///     strikes: 0,
///     skipped: false,
///     last_failed_at: 0,
///     last_failure: None,
///     last_good_at: 0,
///     suspicion_skips: 0,
/// };
/// let (mut own, mut b) = (Evidence::default(), Belief::default());
/// own.update(0, &[seen(1), seen(2)]);
/// b.configure(&[None; 4]);
/// let q = Quorum { eligible: 4, live: 4, tolerated_faults: None };
/// let claim = Claim { member: hub(1), short_incarnation: 0, kind: Kind::Silent, strength: 3, age: 0 };
/// b.hear(1_000_000, 1, 0, [claim].into_iter());
/// assert!(b.evaluate(1_000_000, &own, q).is_empty(), "one witness");
/// b.hear(1_000_000, 2, 0, [claim].into_iter());
/// assert!(b.evaluate(1_000_000, &own, q)[0].suspected);
/// // An own good answer outranks them, and costs them credit.
/// own.update(1_500_000, &[MemberHealth { last_good_at: 1_500_000, ..seen(1) }, seen(2)]);
/// b.judge(1_500_000, &own);
/// assert!(!b.evaluate(1_500_000, &own, q)[0].suspected && b.credit(1) < b.credit(3));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Belief {
    witnesses: Vec<Option<Witness>>,
    suspected: BTreeMap<Addr, (Micros, usize)>,
}

impl Belief {
    /// Follows a change of the file: each peer's former place.
    pub fn configure(&mut self, kept: &[Option<usize>]) {
        let old = std::mem::take(&mut self.witnesses);
        self.witnesses = kept.iter().map(|i| i.and_then(|i| old.get(i).cloned().flatten())).collect();
    }

    /// The present statement of a witness; all that it said before ends. `age`: how old the statement is.
    pub fn hear(&mut self, now: Micros, peer: usize, age: Micros, claims: impl Iterator<Item = Claim>) {
        let Some(place) = self.witnesses.get_mut(peer) else { return };
        let fresh =
            || Witness { claims: Vec::new(), credit: START, recovered: now, refuted: 0, confirmed: 0 };
        let w = place.get_or_insert_with(fresh);
        let old = std::mem::take(&mut w.claims);
        for c in claims.take(MAX_CLAIMS) {
            // A statement names a member once.
            if w.claims.iter().any(|o| o.member == c.member) {
                continue;
            }
            let at = now.saturating_sub(age + Micros::from(c.age) * TIME_UNIT);
            // Ages are told in steps: the same failure told again is not judged again.
            let same = |o: &&Heard| {
                o.member == c.member
                    && o.short_incarnation == c.short_incarnation
                    && o.at.abs_diff(at) < 100_000
            };
            let before = old.iter().find(same);
            let judged = before.is_some_and(|o| o.judged);
            let at = before.map_or(at, |o| o.at);
            w.claims.push(Heard {
                member: c.member,
                short_incarnation: c.short_incarnation,
                strength: c.strength,
                at,
                judged,
            });
        }
    }

    /// A witness ended its life, left, or is dead: what it said ends; its credit stays.
    pub fn silence(&mut self, peer: usize) {
        if let Some(w) = self.witnesses.get_mut(peer).and_then(Option::as_mut) {
            w.claims.clear();
        }
    }

    /// The credit of a witness, from 0 to 1.
    pub fn credit(&self, peer: usize) -> f64 {
        self.witnesses.get(peer).and_then(Option::as_ref).map_or(START, |w| w.credit)
    }

    /// Whether its word counts.
    pub fn heard(&self, peer: usize) -> bool {
        self.credit(peer) >= LEAST
    }

    /// Holds what was said against own traffic.
    pub fn judge(&mut self, now: Micros, own: &Evidence) {
        for w in self.witnesses.iter_mut().flatten() {
            let spans = now.saturating_sub(w.recovered) / RECOVERY_SPAN;
            if spans > 0 {
                w.recovered += spans * RECOVERY_SPAN;
                w.credit = w.credit.max((w.credit + RECOVERY * spans as f64).min(START));
            }
            for c in w.claims.iter_mut().filter(|c| !c.judged) {
                let Some(seen) = own
                    .members
                    .get(&c.member)
                    .filter(|s| wire::short_incarnation(s.incarnation) == c.short_incarnation)
                else {
                    continue;
                };
                if seen.good_between(c.at, c.at + REFUTES) {
                    c.judged = true;
                    if now >= w.refuted + APART {
                        w.credit *= REFUTED;
                        w.refuted = now;
                    }
                } else if seen.suspect(now) && seen.failed.abs_diff(c.at) < NEAR {
                    c.judged = true;
                    if now >= w.confirmed + EVIDENCE_LIFETIME {
                        w.credit += CONFIRMED * (1.0 - w.credit);
                        w.confirmed = now;
                    }
                }
            }
        }
    }

    /// What is believed now; gives the changes.
    pub fn evaluate(&mut self, now: Micros, own: &Evidence, q: Quorum) -> Vec<Suspicion> {
        let mut votes: BTreeMap<Addr, (usize, f64)> = BTreeMap::new();
        for w in self.witnesses.iter().flatten().filter(|w| w.credit >= LEAST && q.has_majority()) {
            for c in &w.claims {
                let Some(seen) = own.members.get(&c.member) else { continue };
                let age = now.saturating_sub(c.at);
                // An own good answer since then outranks it.
                if wire::short_incarnation(seen.incarnation) != c.short_incarnation
                    || age >= EVIDENCE_LIFETIME
                    || seen.good >= c.at
                {
                    continue;
                }
                let weight = [0.0, 0.7, 0.85, 1.0][usize::from(c.strength.min(3))];
                let vote = w.credit * weight * f64::powf(0.5, age as f64 / HALF_LIFE);
                let v = votes.entry(c.member).or_default();
                (v.0, v.1) = (v.0 + 1, v.1 + vote);
            }
        }
        let need = q.required_witnesses();
        let holds = |a: &Addr, v: &(usize, f64)| {
            // What is believed stays so while the witnesses stand.
            let already = self.suspected.contains_key(a);
            v.0 >= need && (already || v.1 >= need as f64 * SHARE)
        };
        let mut held: Vec<(Addr, Micros, Role, usize, f64)> = votes
            .iter()
            .filter(|(a, v)| holds(a, v))
            .filter_map(|(a, v)| own.members.get(a).map(|s| (*a, s.incarnation, s.role, v.0, v.1)))
            .collect();
        held.sort_by(|x, y| y.4.total_cmp(&x.4).then(x.0.cmp(&y.0)));
        let mut room = [Role::Cache, Role::Parent, Role::Origin].map(|r| (r, bound(own, r)));
        held.retain(|h| match room.iter_mut().find(|(r, _)| *r == h.2) {
            Some((_, n)) if *n > 0 => {
                *n -= 1;
                true
            }
            _ => false,
        });
        let mut changes = Vec::new();
        self.suspected.retain(|a, (incarnation, n)| {
            let stays = held.iter().any(|h| h.0 == *a && h.1 == *incarnation);
            if !stays {
                changes.push(Suspicion {
                    member: *a,
                    incarnation: *incarnation,
                    suspected: false,
                    witnesses: *n,
                });
            }
            stays
        });
        for (a, incarnation, _, n, _) in held {
            if self.suspected.insert(a, (incarnation, n)).is_none() {
                changes.push(Suspicion { member: a, incarnation, suspected: true, witnesses: n });
            }
        }
        changes
    }

    /// Members held suspect on hearsay, each with the start that is meant.
    pub fn suspected(&self) -> impl Iterator<Item = (Addr, Micros)> + '_ {
        self.suspected.iter().map(|(a, (incarnation, _))| (*a, *incarnation))
    }
}

/// How many members of a role hearsay may hold suspect at once: a third, and one at least where there are others.
pub fn bound(own: &Evidence, role: Role) -> usize {
    let n = own.members.values().filter(|s| s.role == role).count();
    match role {
        Role::Origin => n.min(1),
        _ if n < 2 => 0,
        _ => (n / 3).max(1),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::wire::Kind;
    use nickelgate::{MemberHealth, Outcome};

    const S: Micros = 1_000_000;

    fn hub(n: u8) -> Addr {
        Addr { ip: [10, 0, 0, n], port: 1 }
    }

    fn standing(n: u8, failed: Micros, good: Micros) -> MemberHealth {
        let why = Some(Outcome::Timeout);
        let (strikes, skipped) = (u32::from(failed > good), false);
        MemberHealth {
            member: hub(n),
            incarnation: 0,
            role: Role::Parent,
            strikes,
            skipped,
            last_failed_at: failed,
            last_failure: why,
            last_good_at: good,
            suspicion_skips: 0,
        }
    }

    fn claim(n: u8, strength: u8, age: u16) -> Claim {
        Claim { member: hub(n), short_incarnation: 0, kind: Kind::Silent, strength, age }
    }

    fn belief(n: usize) -> (Belief, Evidence, Quorum) {
        let mut b = Belief::default();
        b.configure(&vec![None; n]);
        let mut own = Evidence::default();
        own.update(0, &(1..=4).map(|n| standing(n, 0, 0)).collect::<Vec<_>>());
        (b, own, Quorum { eligible: n, live: n, tolerated_faults: None })
    }

    #[test]
    fn one_witness_moves_nothing_however_often() {
        let (mut b, own, q) = belief(4);
        for t in 0..1000 {
            b.hear(S + t * 1000, 1, 0, (1..=4).map(|n| claim(n, 3, 0)));
            assert!(b.evaluate(S + t * 1000, &own, q).is_empty());
        }
        b.hear(2 * S, 2, 0, [claim(1, 3, 0)].into_iter());
        assert_eq!(
            b.evaluate(2 * S, &own, q),
            [Suspicion { member: hub(1), incarnation: 0, suspected: true, witnesses: 2 }]
        );
    }

    #[test]
    fn f_liars_among_three_f_and_one_move_nothing() {
        for n in [4, 5, 7, 10, 40] {
            let (mut b, own, q) = belief(n);
            let f = (n - 1) / 3;
            for liar in 1..=f {
                b.hear(S, liar, 0, (1..=4).map(|n| claim(n, 3, 0)));
            }
            assert!(b.evaluate(S, &own, q).is_empty(), "{f} of {n}");
            b.hear(S, f + 1, 0, [claim(2, 3, 0)].into_iter());
            assert_eq!(b.evaluate(S, &own, q).len(), 1);
        }
    }

    #[test]
    fn a_minority_believes_nothing() {
        let (mut b, own, q) = belief(4);
        for w in 1..4 {
            b.hear(S, w, 0, [claim(1, 3, 0)].into_iter());
        }
        for live in 1..=2 {
            assert!(b.evaluate(S, &own, Quorum { live, ..q }).is_empty(), "{live} of 4");
        }
        assert_eq!(b.evaluate(S, &own, Quorum { live: 3, ..q }).len(), 1);
        let lost = b.evaluate(S, &own, Quorum { live: 2, ..q });
        assert!(!lost[0].suspected);
    }

    #[test]
    fn own_good_answers_outrank_and_refute() {
        let (mut b, mut own, q) = belief(4);
        let good = |t| (1..=4).map(|n| standing(n, 0, t)).collect::<Vec<_>>();
        let mut t = S;
        for round in 0..4 {
            for w in 1..3 {
                b.hear(t, w, 0, [claim(1, 3, 0)].into_iter());
            }
            assert_eq!(b.evaluate(t, &own, q).len(), usize::from(round < 2), "round {round}");
            own.update(t + 100_000, &good(t + 100_000));
            b.judge(t + 100_000, &own);
            assert!(b.evaluate(t + 100_000, &own, q).iter().all(|d| !d.suspected));
            t += 400_000;
        }
        assert!(b.credit(1) < LEAST && b.credit(3) == START);
        // It comes back slowly, and to its start at most.
        b.judge(t + 60 * S, &own);
        assert!(b.credit(1) < 0.4, "{}", b.credit(1));
        b.judge(t + 3600 * S, &own);
        assert_eq!(b.credit(1), START);
    }

    #[test]
    fn own_failures_confirm() {
        let (mut b, mut own, _) = belief(4);
        b.hear(10 * S, 1, 0, [claim(1, 3, 0)].into_iter());
        own.update(10 * S, &[standing(1, 10 * S, 0)]);
        b.judge(10 * S, &own);
        b.judge(10 * S, &own);
        assert!((b.credit(1) - 0.82).abs() < 1e-9);
    }

    #[test]
    fn hearsay_holds_a_third_at_most_and_ends_with_age() {
        let (mut b, own, q) = belief(4);
        for w in 1..4 {
            b.hear(S, w, 0, (1..=4).map(|n| claim(n, 1 + n % 3, 0)));
        }
        let held = b.evaluate(S, &own, q);
        assert_eq!(held.len(), 1, "of four hubs: {held:?}");
        assert_eq!(held[0].member, hub(2), "the one with the strongest word");
        assert!(!b.evaluate(S + EVIDENCE_LIFETIME, &own, q)[0].suspected);
        // What is told late is old already.
        b.hear(20 * S, 1, 3 * S, [claim(1, 3, 300)].into_iter());
        b.hear(20 * S, 2, 3 * S, [claim(1, 3, 300)].into_iter());
        assert!(b.evaluate(20 * S, &own, q).is_empty());
    }

    #[test]
    fn a_former_life_of_a_member_and_unlisted_ones_do_not_count() {
        let (mut b, own, q) = belief(4);
        for w in 1..4 {
            let former = Claim { short_incarnation: 7, ..claim(1, 3, 0) };
            b.hear(S, w, 0, [former, claim(99, 3, 0)].into_iter());
        }
        assert!(b.evaluate(S, &own, q).is_empty());
    }
}
