//! Decides which members to suspect because of other peers' claims (hearsay). Tracks the current statement
//! and the credit of each witness, and limits how many members hearsay may hold suspect at once.
//!
//! A suspicion needs one witness more than the number of liars that the tier tolerates, and each witness
//! counts once. An answer that this proxy itself received outranks any number of witnesses.
//!
//! With `n` eligible instances, `f = (n - 1) / 3` may lie (the bound of Pease, Shostak and Lamport, 1980,
//! for agreement; here it is used as a margin that operators know), so `max(2, f + 1)` distinct witnesses
//! are needed, and this instance must itself have confirmed a majority of the eligible instances as live. A
//! witness's vote is `credit * weight * 0.5^(age / 2.5 s)`, where weight is 0.7, 0.85 or 1 for one failure,
//! two failures, or a skip; the votes must add up to 0.4 for each witness needed. Credit starts at 0.8. Each
//! claim that this proxy's own successful answers refute multiplies it by 0.6; each claim that its own
//! failures confirm adds a tenth of the distance to 1. It recovers by 0.02 every 10 s up to its initial
//! value.
use crate::evidence::{Evidence, EVIDENCE_LIFETIME};
use crate::wire::{self, Claim, MAX_CLAIMS, TIME_UNIT};
use nickelgate::{Addr, Micros, Role};
use std::collections::BTreeMap;

/// Credit of a new witness, and the highest that credit recovers to.
const INITIAL_CREDIT: f64 = 0.8;
/// A witness with less credit than this does not count.
const MIN_TRUSTED_CREDIT: f64 = 0.3;
/// A refuted claim multiplies the witness's credit by this.
const REFUTED_CREDIT_FACTOR: f64 = 0.6;
/// A confirmed claim adds this share of the difference between the credit and 1.
const CONFIRMED_CREDIT_GAIN: f64 = 0.1;
/// Credit regained per `CREDIT_RECOVERY_INTERVAL`.
const CREDIT_RECOVERY: f64 = 0.02;
const CREDIT_RECOVERY_INTERVAL: Micros = 10_000_000;
/// A vote is halved each time the claim gets this much older.
const VOTE_HALF_LIFE_MICROS: f64 = 2_500_000.0;
/// Sum of votes required per needed witness.
const VOTES_PER_WITNESS: f64 = 0.4;
/// A successful answer seen by this proxy refutes a claim if it comes at most this long after the claimed
/// failure. After a longer time the member may have recovered.
const REFUTATION_WINDOW: Micros = 1_000_000;
/// Own failures at most this long before or after the claimed failure confirm the claim.
const CONFIRMATION_WINDOW: Micros = 3_000_000;
/// Minimum time between two refuted claims of one witness that reduce its credit.
const MIN_REFUTATION_INTERVAL: Micros = 200_000;

#[derive(Clone, Copy, Debug)]
struct ReceivedClaim {
    member: Addr,
    short_incarnation: u32,
    strength: u8,
    /// When the member failed, on the local clock.
    failed_at: Micros,
    judged: bool,
}

#[derive(Clone, Debug)]
struct Witness {
    claims: Vec<ReceivedClaim>,
    credit: f64,
    recovered_at: Micros,
    refuted_at: Micros,
    confirmed_at: Micros,
}

/// A change: a member is now suspected because of other peers' claims, or is no longer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Suspicion {
    /// The member.
    pub member: Addr,
    /// The member's start time that identifies the incarnation meant.
    pub incarnation: u64,
    /// Whether the member is suspected from now on; if false, the suspicion has ended.
    pub suspected: bool,
    /// Number of witnesses that claim the failure.
    pub witnesses: usize,
}

/// The numbers that a decision by quorum rests on.
///
/// ```
/// use threadward_gossip::Quorum;
///
/// let q = Quorum { eligible: 10, live: 6, tolerated_faults: None };
/// assert_eq!((q.tolerated_faults(), q.required_witnesses(), q.has_majority()), (3, 4, true));
/// assert!(!Quorum { live: 5, ..q }.has_majority(), "half is not a majority");
/// let few = Quorum { eligible: 3, live: 3, tolerated_faults: None };
/// assert_eq!((few.tolerated_faults(), few.required_witnesses()), (0, 2), "one witness is never enough");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quorum {
    /// Number of instances with a key, including this one.
    pub eligible: usize,
    /// Number of those that this instance has confirmed as live, including itself.
    pub live: usize,
    /// Number of lying instances to tolerate, if the operators set it; otherwise a third of the others,
    /// rounded down.
    pub tolerated_faults: Option<usize>,
}

impl Quorum {
    /// Returns the number of lying instances to tolerate.
    pub fn tolerated_faults(&self) -> usize {
        self.tolerated_faults.unwrap_or(self.eligible.saturating_sub(1) / 3)
    }
    /// Returns the number of distinct witnesses that a suspicion needs.
    pub fn required_witnesses(&self) -> usize {
        (self.tolerated_faults() + 1).max(2)
    }
    /// Returns whether this side of a network partition has more than half of the eligible instances.
    pub fn has_majority(&self) -> bool {
        self.live * 2 > self.eligible
    }
}

/// The current statement and credit of each witness, and the suspicions that follow from them. Peers are
/// identified by their index in the settings.
///
/// ```
/// use nickelgate::{Addr, Role, MemberHealth};
/// use threadward_gossip::belief::{Belief, Quorum};
/// use threadward_gossip::evidence::Evidence;
/// use threadward_gossip::wire::{Claim, Kind};
///
/// let parent = |n| Addr { ip: [10, 0, 0, n], port: 80 };
/// let member_health = |n| MemberHealth {
///     member: parent(n),
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
/// own.update(0, &[member_health(1), member_health(2)]);
/// b.configure(&[None; 4]);
/// let q = Quorum { eligible: 4, live: 4, tolerated_faults: None };
/// let claim = Claim { member: parent(1), short_incarnation: 0, kind: Kind::Silent, strength: 3, age: 0 };
/// b.record_statement(1_000_000, 1, 0, [claim].into_iter());
/// assert!(b.evaluate(1_000_000, &own, q).is_empty(), "one witness");
/// b.record_statement(1_000_000, 2, 0, [claim].into_iter());
/// assert!(b.evaluate(1_000_000, &own, q)[0].suspected);
/// // An answer that this proxy received outranks them and reduces their credit.
/// own.update(1_500_000, &[MemberHealth { last_good_at: 1_500_000, ..member_health(1) }, member_health(2)]);
/// b.update_credit(1_500_000, &own);
/// assert!(!b.evaluate(1_500_000, &own, q)[0].suspected && b.credit(1) < b.credit(3));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Belief {
    witnesses: Vec<Option<Witness>>,
    suspected: BTreeMap<Addr, (Micros, usize)>,
}

impl Belief {
    /// Applies a change of the configured peers. `former_indices` holds the former index of each peer.
    pub fn configure(&mut self, former_indices: &[Option<usize>]) {
        let old = std::mem::take(&mut self.witnesses);
        self.witnesses =
            former_indices.iter().map(|i| i.and_then(|i| old.get(i).cloned().flatten())).collect();
    }

    /// Replaces the statement of a witness. `age` is the age of the statement.
    pub fn record_statement(
        &mut self,
        now: Micros,
        peer: usize,
        age: Micros,
        claims: impl Iterator<Item = Claim>,
    ) {
        let Some(slot) = self.witnesses.get_mut(peer) else { return };
        let new_witness = || Witness {
            claims: Vec::new(),
            credit: INITIAL_CREDIT,
            recovered_at: now,
            refuted_at: 0,
            confirmed_at: 0,
        };
        let w = slot.get_or_insert_with(new_witness);
        let old = std::mem::take(&mut w.claims);
        for c in claims.take(MAX_CLAIMS) {
            // A statement counts only the first claim about a member.
            if w.claims.iter().any(|o| o.member == c.member) {
                continue;
            }
            let failed_at = now.saturating_sub(age + Micros::from(c.age) * TIME_UNIT);
            // Ages are rounded to a unit, so a claim about nearly the same time is a repetition of the same
            // failure. A repetition keeps its judgement and is not judged again.
            let same = |o: &&ReceivedClaim| {
                o.member == c.member
                    && o.short_incarnation == c.short_incarnation
                    && o.failed_at.abs_diff(failed_at) < 100_000
            };
            let previous = old.iter().find(same);
            let judged = previous.is_some_and(|o| o.judged);
            let failed_at = previous.map_or(failed_at, |o| o.failed_at);
            w.claims.push(ReceivedClaim {
                member: c.member,
                short_incarnation: c.short_incarnation,
                strength: c.strength,
                failed_at,
                judged,
            });
        }
    }

    /// Discards the claims of a witness that restarted, left or is dead. Its credit stays.
    pub fn clear_statement(&mut self, peer: usize) {
        if let Some(w) = self.witnesses.get_mut(peer).and_then(Option::as_mut) {
            w.claims.clear();
        }
    }

    /// Returns the credit of a witness, from 0 to 1.
    pub fn credit(&self, peer: usize) -> f64 {
        self.witnesses.get(peer).and_then(Option::as_ref).map_or(INITIAL_CREDIT, |w| w.credit)
    }

    /// Returns whether the claims of a witness count.
    pub fn is_trusted(&self, peer: usize) -> bool {
        self.credit(peer) >= MIN_TRUSTED_CREDIT
    }

    /// Compares all claims with this proxy's own traffic and adjusts the credit of the witnesses.
    pub fn update_credit(&mut self, now: Micros, own: &Evidence) {
        for w in self.witnesses.iter_mut().flatten() {
            let spans = now.saturating_sub(w.recovered_at) / CREDIT_RECOVERY_INTERVAL;
            if spans > 0 {
                w.recovered_at += spans * CREDIT_RECOVERY_INTERVAL;
                w.credit = w.credit.max((w.credit + CREDIT_RECOVERY * spans as f64).min(INITIAL_CREDIT));
            }
            for c in w.claims.iter_mut().filter(|c| !c.judged) {
                let Some(observed) = own
                    .members
                    .get(&c.member)
                    .filter(|s| wire::short_incarnation(s.incarnation) == c.short_incarnation)
                else {
                    continue;
                };
                if observed.answered_between(c.failed_at, c.failed_at + REFUTATION_WINDOW) {
                    c.judged = true;
                    if now >= w.refuted_at + MIN_REFUTATION_INTERVAL {
                        w.credit *= REFUTED_CREDIT_FACTOR;
                        w.refuted_at = now;
                    }
                } else if observed.is_suspect(now)
                    && observed.last_failed_at.abs_diff(c.failed_at) < CONFIRMATION_WINDOW
                {
                    c.judged = true;
                    if now >= w.confirmed_at + EVIDENCE_LIFETIME {
                        w.credit += CONFIRMED_CREDIT_GAIN * (1.0 - w.credit);
                        w.confirmed_at = now;
                    }
                }
            }
        }
    }

    /// Recomputes which members are suspected and returns the changes.
    pub fn evaluate(&mut self, now: Micros, own: &Evidence, q: Quorum) -> Vec<Suspicion> {
        let mut votes: BTreeMap<Addr, (usize, f64)> = BTreeMap::new();
        for w in
            self.witnesses.iter().flatten().filter(|w| w.credit >= MIN_TRUSTED_CREDIT && q.has_majority())
        {
            for c in &w.claims {
                let Some(observed) = own.members.get(&c.member) else { continue };
                let age = now.saturating_sub(c.failed_at);
                // An answer that this proxy received since then outranks the claim.
                if wire::short_incarnation(observed.incarnation) != c.short_incarnation
                    || age >= EVIDENCE_LIFETIME
                    || observed.last_good_at >= c.failed_at
                {
                    continue;
                }
                // Indexed by strength: one failure, two failures, a skip.
                let weight = [0.0, 0.7, 0.85, 1.0][usize::from(c.strength.min(3))];
                let vote = w.credit * weight * f64::powf(0.5, age as f64 / VOTE_HALF_LIFE_MICROS);
                let v = votes.entry(c.member).or_default();
                (v.0, v.1) = (v.0 + 1, v.1 + vote);
            }
        }
        let required = q.required_witnesses();
        let qualifies = |a: &Addr, v: &(usize, f64)| {
            // A member that is already suspected stays so while enough witnesses stand, even if their votes
            // have decayed.
            let already = self.suspected.contains_key(a);
            v.0 >= required && (already || v.1 >= required as f64 * VOTES_PER_WITNESS)
        };
        let mut candidates: Vec<(Addr, Micros, Role, usize, f64)> = votes
            .iter()
            .filter(|(a, v)| qualifies(a, v))
            .filter_map(|(a, v)| own.members.get(a).map(|s| (*a, s.incarnation, s.role, v.0, v.1)))
            .collect();
        candidates.sort_by(|x, y| y.4.total_cmp(&x.4).then(x.0.cmp(&y.0)));
        let mut remaining = [Role::Cache, Role::Parent, Role::Origin].map(|r| (r, max_suspected(own, r)));
        candidates.retain(|h| match remaining.iter_mut().find(|(r, _)| *r == h.2) {
            Some((_, n)) if *n > 0 => {
                *n -= 1;
                true
            }
            _ => false,
        });
        let mut changes = Vec::new();
        self.suspected.retain(|a, (incarnation, n)| {
            let stays = candidates.iter().any(|h| h.0 == *a && h.1 == *incarnation);
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
        for (a, incarnation, _, n, _) in candidates {
            if self.suspected.insert(a, (incarnation, n)).is_none() {
                changes.push(Suspicion { member: a, incarnation, suspected: true, witnesses: n });
            }
        }
        changes
    }

    /// Returns the members suspected because of hearsay, with the start time that identifies their
    /// incarnation.
    pub fn suspected(&self) -> impl Iterator<Item = (Addr, Micros)> + '_ {
        self.suspected.iter().map(|(a, (incarnation, _))| (*a, *incarnation))
    }
}

/// Returns how many members of a role hearsay may hold suspect at once: a third, and at least one where
/// there are others; of origins one.
pub fn max_suspected(own: &Evidence, role: Role) -> usize {
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

    fn parent(n: u8) -> Addr {
        Addr { ip: [10, 0, 0, n], port: 1 }
    }

    fn member_health(n: u8, failed: Micros, good: Micros) -> MemberHealth {
        let why = Some(Outcome::Timeout);
        let (strikes, skipped) = (u32::from(failed > good), false);
        MemberHealth {
            member: parent(n),
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
        Claim { member: parent(n), short_incarnation: 0, kind: Kind::Silent, strength, age }
    }

    fn belief(n: usize) -> (Belief, Evidence, Quorum) {
        let mut b = Belief::default();
        b.configure(&vec![None; n]);
        let mut own = Evidence::default();
        own.update(0, &(1..=4).map(|n| member_health(n, 0, 0)).collect::<Vec<_>>());
        (b, own, Quorum { eligible: n, live: n, tolerated_faults: None })
    }

    #[test]
    fn one_witness_alone_never_causes_a_suspicion() {
        let (mut b, own, q) = belief(4);
        for t in 0..1000 {
            b.record_statement(S + t * 1000, 1, 0, (1..=4).map(|n| claim(n, 3, 0)));
            assert!(b.evaluate(S + t * 1000, &own, q).is_empty());
        }
        b.record_statement(2 * S, 2, 0, [claim(1, 3, 0)].into_iter());
        assert_eq!(
            b.evaluate(2 * S, &own, q),
            [Suspicion { member: parent(1), incarnation: 0, suspected: true, witnesses: 2 }]
        );
    }

    #[test]
    fn the_tolerated_number_of_liars_never_causes_a_suspicion() {
        for n in [4, 5, 7, 10, 40] {
            let (mut b, own, q) = belief(n);
            let f = (n - 1) / 3;
            for liar in 1..=f {
                b.record_statement(S, liar, 0, (1..=4).map(|n| claim(n, 3, 0)));
            }
            assert!(b.evaluate(S, &own, q).is_empty(), "{f} of {n}");
            b.record_statement(S, f + 1, 0, [claim(2, 3, 0)].into_iter());
            assert_eq!(b.evaluate(S, &own, q).len(), 1);
        }
    }

    #[test]
    fn without_a_majority_no_claim_counts() {
        let (mut b, own, q) = belief(4);
        for w in 1..4 {
            b.record_statement(S, w, 0, [claim(1, 3, 0)].into_iter());
        }
        for live in 1..=2 {
            assert!(b.evaluate(S, &own, Quorum { live, ..q }).is_empty(), "{live} of 4");
        }
        assert_eq!(b.evaluate(S, &own, Quorum { live: 3, ..q }).len(), 1);
        let lost = b.evaluate(S, &own, Quorum { live: 2, ..q });
        assert!(!lost[0].suspected);
    }

    #[test]
    fn own_answers_outrank_claims_and_reduce_credit() {
        let (mut b, mut own, q) = belief(4);
        let good = |t| (1..=4).map(|n| member_health(n, 0, t)).collect::<Vec<_>>();
        let mut t = S;
        for round in 0..4 {
            for w in 1..3 {
                b.record_statement(t, w, 0, [claim(1, 3, 0)].into_iter());
            }
            assert_eq!(b.evaluate(t, &own, q).len(), usize::from(round < 2), "round {round}");
            own.update(t + 100_000, &good(t + 100_000));
            b.update_credit(t + 100_000, &own);
            assert!(b.evaluate(t + 100_000, &own, q).iter().all(|d| !d.suspected));
            t += 400_000;
        }
        assert!(b.credit(1) < MIN_TRUSTED_CREDIT && b.credit(3) == INITIAL_CREDIT);
        // Credit recovers slowly, and only up to its initial value.
        b.update_credit(t + 60 * S, &own);
        assert!(b.credit(1) < 0.4, "{}", b.credit(1));
        b.update_credit(t + 3600 * S, &own);
        assert_eq!(b.credit(1), INITIAL_CREDIT);
    }

    #[test]
    fn own_failures_confirm_claims_and_raise_credit() {
        let (mut b, mut own, _) = belief(4);
        b.record_statement(10 * S, 1, 0, [claim(1, 3, 0)].into_iter());
        own.update(10 * S, &[member_health(1, 10 * S, 0)]);
        b.update_credit(10 * S, &own);
        b.update_credit(10 * S, &own);
        assert!((b.credit(1) - 0.82).abs() < 1e-9);
    }

    #[test]
    fn hearsay_suspects_at_most_a_third_and_expires() {
        let (mut b, own, q) = belief(4);
        for w in 1..4 {
            b.record_statement(S, w, 0, (1..=4).map(|n| claim(n, 1 + n % 3, 0)));
        }
        let held = b.evaluate(S, &own, q);
        assert_eq!(held.len(), 1, "of four parents: {held:?}");
        assert_eq!(held[0].member, parent(2), "the one with the strongest claims");
        assert!(!b.evaluate(S + EVIDENCE_LIFETIME, &own, q)[0].suspected);
        // A claim that arrives late is already old.
        b.record_statement(20 * S, 1, 3 * S, [claim(1, 3, 300)].into_iter());
        b.record_statement(20 * S, 2, 3 * S, [claim(1, 3, 300)].into_iter());
        assert!(b.evaluate(20 * S, &own, q).is_empty());
    }

    #[test]
    fn claims_about_former_incarnations_and_unlisted_members_do_not_count() {
        let (mut b, own, q) = belief(4);
        for w in 1..4 {
            let former = Claim { short_incarnation: 7, ..claim(1, 3, 0) };
            b.record_statement(S, w, 0, [former, claim(99, 3, 0)].into_iter());
        }
        assert!(b.evaluate(S, &own, q).is_empty());
    }
}
