//! Checks whether a datagram is new. A session stands for one incarnation of a peer, confirmed by an answer
//! to a fresh nonce of this instance; it holds the window of received sequence numbers and calculates the
//! age of datagrams.
//!
//! Nothing depends on another instance's clock or on an order of start numbers: clocks go back and start
//! numbers are random, so only an echoed nonce shows which incarnation is the current one.
use crate::wire::{Head, TIME_UNIT};
use nickelgate::Micros;

/// Maximum age of a datagram that is still accepted.
pub const MAX_DATAGRAM_AGE: Micros = 10_000_000;
/// An anchor is replaced by one with a shorter round trip, and by any other one after this time.
const ANCHOR_LIFETIME: Micros = 30_000_000;
/// Number of former incarnations that are remembered, to tell them from unknown ones.
const MAX_FORMER_STARTS: usize = 4;

/// Why the content of a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The incarnation that signed it has not been confirmed.
    Unproven,
    /// It was signed in an incarnation that has ended.
    Former,
    /// It has been received before.
    Duplicate,
    /// Its sequence number lies before the window, or it is too old.
    Old,
}

/// The current incarnation of a peer.
///
/// ```
/// use threadward_gossip::session::{Session, Rejection};
/// use threadward_gossip::wire::Head;
///
/// // The peer was pinged at 1.000 s and answered at 1.004 s, 0.5 s after its start, with its seventh
/// // datagram.
/// let head = |seq, uptime| Head { key: 1, start: 99, seq, uptime };
/// let mut s = Session::new(1_000_000, 1_004_000, &head(7, 50), None);
/// let next = head(8, 60);
/// assert_eq!(s.check(1_124_000, &next), Ok(20_000), "sent 100 ms after the answer, received after 120 ms");
/// s.accept(&next);
/// assert_eq!(s.check(1_124_000, &next), Err(Rejection::Duplicate));
/// // A datagram that was overtaken by a later one is still accepted, once.
/// s.accept(&head(10, 60));
/// let late = head(9, 60);
/// assert!(s.check(1_125_000, &late).is_ok());
/// s.accept(&late);
/// assert_eq!(s.check(1_125_000, &late), Err(Rejection::Duplicate));
/// assert_eq!(s.check(1_124_000, &Head { start: 98, ..next }), Err(Rejection::Unproven));
/// ```
#[derive(Clone, Debug)]
pub struct Session {
    /// The random number that the peer drew when it started.
    pub start: u64,
    /// The peer's time since its start and the local time at the same moment, from which ages are
    /// calculated, and the round trip of that exchange.
    anchor_uptime: u32,
    anchored_at: Micros,
    round_trip: Micros,
    highest_seq: u32,
    received_mask: u64,
    former_starts: [u64; MAX_FORMER_STARTS],
}

impl Session {
    /// Creates a session for an incarnation that has just been confirmed by an answer to a datagram sent at
    /// `sent`.
    pub fn new(sent: Micros, now: Micros, head: &Head, previous: Option<&Session>) -> Session {
        let mut former_starts = previous.map_or([0; MAX_FORMER_STARTS], |p| p.former_starts);
        if let Some(p) = previous {
            former_starts.rotate_right(1);
            former_starts[0] = p.start;
        }
        Session {
            start: head.start,
            anchor_uptime: head.uptime,
            anchored_at: now,
            round_trip: now.saturating_sub(sent),
            highest_seq: head.seq,
            // Everything from before the confirmation counts as received, because it may be a replayed
            // recording.
            received_mask: u64::MAX,
            former_starts,
        }
    }

    /// Records another confirmation of the same incarnation. Ages are calculated from the exchange with the
    /// shortest round trip.
    pub fn anchor(&mut self, sent: Micros, now: Micros, head: &Head) {
        let round_trip = now.saturating_sub(sent);
        if round_trip <= self.round_trip || now > self.anchored_at + ANCHOR_LIFETIME {
            (self.anchor_uptime, self.anchored_at, self.round_trip) = (head.uptime, now, round_trip);
        }
    }

    /// Checks that a datagram is new, and returns its age.
    ///
    /// # Errors
    /// Returns why it is rejected.
    pub fn check(&self, now: Micros, head: &Head) -> Result<Micros, Rejection> {
        if head.start != self.start {
            let former = self.former_starts.contains(&head.start);
            return Err(if former { Rejection::Former } else { Rejection::Unproven });
        }
        let ahead = head.seq.wrapping_sub(self.highest_seq) as i32;
        if ahead <= -64 {
            return Err(Rejection::Old);
        }
        if ahead <= 0 && self.received_mask >> -ahead & 1 == 1 {
            return Err(Rejection::Duplicate);
        }
        let since = i64::from(head.uptime.wrapping_sub(self.anchor_uptime) as i32) * TIME_UNIT as i64;
        let sent_at = self.anchored_at as i64 + since;
        let age = (now as i64 - sent_at).max(0) as Micros;
        if age > MAX_DATAGRAM_AGE {
            return Err(Rejection::Old);
        }
        Ok(age)
    }

    /// Marks a datagram with a valid signature as received, so that it is not accepted again.
    pub fn accept(&mut self, head: &Head) {
        let ahead = head.seq.wrapping_sub(self.highest_seq) as i32;
        if ahead > 0 {
            self.received_mask = self.received_mask.checked_shl(ahead as u32).unwrap_or(0) | 1;
            self.highest_seq = head.seq;
        } else if ahead > -64 {
            self.received_mask |= 1 << -ahead;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn head(start: u64, seq: u32, uptime: u32) -> Head {
        Head { key: 1, start, seq, uptime }
    }

    #[test]
    fn replays_inside_and_before_the_window_are_rejected() {
        let mut s = Session::new(1_000_000, 1_002_000, &head(5, 100, 40), None);
        assert_eq!(
            s.check(1_002_000, &head(5, 99, 40)),
            Err(Rejection::Duplicate),
            "from before the confirmation"
        );
        for seq in [101, 103, 160] {
            assert!(s.check(1_100_000, &head(5, seq, 50)).is_ok());
            s.accept(&head(5, seq, 50));
            assert_eq!(s.check(1_100_000, &head(5, seq, 50)), Err(Rejection::Duplicate));
        }
        assert!(s.check(1_100_000, &head(5, 102, 50)).is_ok(), "late but new");
        assert_eq!(s.check(1_100_000, &head(5, 96, 50)), Err(Rejection::Old));
        s.accept(&head(5, 1000, 50));
        assert_eq!(s.check(1_102_000, &head(5, 999, 50)), Ok(0), "late, after a gap");
    }

    #[test]
    fn ages_need_no_common_clock() {
        let s = Session::new(500_000_000, 500_004_000, &head(5, 1, 77), None);
        // Sent 3 s later by the peer's clock, received 3.5 s later by the local one.
        assert_eq!(s.check(503_504_000, &head(5, 2, 377)), Ok(500_000));
        assert_eq!(s.check(520_000_000, &head(5, 2, 377)), Err(Rejection::Old), "delayed for about 17 s");
        // A peer whose uptime runs ahead gets the age 0 and never a negative one.
        assert_eq!(s.check(500_100_000, &head(5, 2, 900)), Ok(0));
    }

    #[test]
    fn a_former_incarnation_is_not_accepted_again() {
        let a = Session::new(0, 1, &head(9, 1, 0), None);
        let b = Session::new(0, 1, &head(2, 1, 0), Some(&a));
        assert_eq!(b.check(2, &head(9, 500, 0)), Err(Rejection::Former));
        assert_eq!(b.check(2, &head(3, 500, 0)), Err(Rejection::Unproven));
    }
}
