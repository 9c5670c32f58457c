//! Whether a datagram is new: one life of one peer, proved by an answer to a fresh number of ours. It owns the window
//! of sequences and the reckoning of ages. It must never rest on a clock of another instance or on an order of
//! starts: clocks go back and starts are drawn at random, so only an echo proves which life is the present one.
use crate::wire::{Head, TIME_UNIT};
use nickelgate::Micros;

/// Datagrams older than this say nothing any more.
pub const OLDEST: Micros = 10_000_000;
/// An anchor is replaced by one of a shorter round trip, and after this by any.
const ANCHOR: Micros = 30_000_000;
/// Former lives that are remembered to tell them from unknown ones.
const FORMER: usize = 4;

/// Why a datagram's content is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stale {
    /// Nothing of this life was proved yet.
    Unproven,
    /// It was signed in a life that has ended.
    Former,
    /// It came before.
    Duplicate,
    /// It lies before the window, or took too long.
    Old,
}

/// The present life of a peer.
///
/// ```
/// use threadward_gossip::session::{Session, Stale};
/// use threadward_gossip::wire::Head;
///
/// // It was asked at 1.000 s and answered at 1.004 s, 0.5 s after its start, with its seventh datagram.
/// let head = |seq, uptime| Head { key: 1, start: 99, seq, uptime };
/// let mut s = Session::new(1_000_000, 1_004_000, &head(7, 50), None);
/// let next = head(8, 60);
/// assert_eq!(s.check(1_124_000, &next), Ok(20_000), "made 100 ms after the answer, here after 120");
/// s.accept(&next);
/// assert_eq!(s.check(1_124_000, &next), Err(Stale::Duplicate));
/// // One that was overtaken on its way is new all the same, once.
/// s.accept(&head(10, 60));
/// let late = head(9, 60);
/// assert!(s.check(1_125_000, &late).is_ok());
/// s.accept(&late);
/// assert_eq!(s.check(1_125_000, &late), Err(Stale::Duplicate));
/// assert_eq!(s.check(1_124_000, &Head { start: 98, ..next }), Err(Stale::Unproven));
/// ```
#[derive(Clone, Debug)]
pub struct Session {
    /// The number of that life, drawn at its start.
    pub start: u64,
    /// Its time since start, and the clock here when that was told.
    uptime: u32,
    at: Micros,
    round: Micros,
    highest: u32,
    seen: u64,
    former: [u64; FORMER],
}

impl Session {
    /// A life that was just proved by an answer to what was sent at `sent`.
    pub fn new(sent: Micros, now: Micros, head: &Head, before: Option<&Session>) -> Session {
        let mut former = before.map_or([0; FORMER], |b| b.former);
        if let Some(b) = before {
            former.rotate_right(1);
            former[0] = b.start;
        }
        Session {
            start: head.start,
            uptime: head.uptime,
            at: now,
            round: now.saturating_sub(sent),
            highest: head.seq,
            // All that came before the proof counts as seen: it may be a recording.
            seen: u64::MAX,
            former,
        }
    }

    /// A further proof of the same life: times are reckoned from the one with the shortest way.
    pub fn anchor(&mut self, sent: Micros, now: Micros, head: &Head) {
        let round = now.saturating_sub(sent);
        if round <= self.round || now > self.at + ANCHOR {
            (self.uptime, self.at, self.round) = (head.uptime, now, round);
        }
    }

    /// How old a datagram is, and whether it is new.
    ///
    /// # Errors
    /// Why it is not taken.
    pub fn check(&self, now: Micros, head: &Head) -> Result<Micros, Stale> {
        if head.start != self.start {
            let former = self.former.contains(&head.start);
            return Err(if former { Stale::Former } else { Stale::Unproven });
        }
        let ahead = head.seq.wrapping_sub(self.highest) as i32;
        if ahead <= -64 {
            return Err(Stale::Old);
        }
        if ahead <= 0 && self.seen >> -ahead & 1 == 1 {
            return Err(Stale::Duplicate);
        }
        let since = i64::from(head.uptime.wrapping_sub(self.uptime) as i32) * TIME_UNIT as i64;
        let made = self.at as i64 + since;
        let age = (now as i64 - made).max(0) as Micros;
        if age > OLDEST {
            return Err(Stale::Old);
        }
        Ok(age)
    }

    /// Its signature is good: it is not taken again.
    pub fn accept(&mut self, head: &Head) {
        let ahead = head.seq.wrapping_sub(self.highest) as i32;
        if ahead > 0 {
            self.seen = self.seen.checked_shl(ahead as u32).unwrap_or(0) | 1;
            self.highest = head.seq;
        } else if ahead > -64 {
            self.seen |= 1 << -ahead;
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
    fn replays_within_and_past_the_window_are_refused() {
        let mut s = Session::new(1_000_000, 1_002_000, &head(5, 100, 40), None);
        assert_eq!(s.check(1_002_000, &head(5, 99, 40)), Err(Stale::Duplicate), "from before the proof");
        for seq in [101, 103, 160] {
            assert!(s.check(1_100_000, &head(5, seq, 50)).is_ok());
            s.accept(&head(5, seq, 50));
            assert_eq!(s.check(1_100_000, &head(5, seq, 50)), Err(Stale::Duplicate));
        }
        assert!(s.check(1_100_000, &head(5, 102, 50)).is_ok(), "late but new");
        assert_eq!(s.check(1_100_000, &head(5, 96, 50)), Err(Stale::Old));
        s.accept(&head(5, 1000, 50));
        assert_eq!(s.check(1_102_000, &head(5, 999, 50)), Ok(0), "late, after a gap");
    }

    #[test]
    fn ages_need_no_common_clock() {
        let s = Session::new(500_000_000, 500_004_000, &head(5, 1, 77), None);
        // 3 s later by the peer's own reckoning, heard 3.5 s later here.
        assert_eq!(s.check(503_504_000, &head(5, 2, 377)), Ok(500_000));
        assert_eq!(s.check(520_000_000, &head(5, 2, 377)), Err(Stale::Old), "withheld for 17 s");
        // One whose count is ahead is as new as can be, and no newer.
        assert_eq!(s.check(500_100_000, &head(5, 2, 900)), Ok(0));
    }

    #[test]
    fn a_former_life_stays_ended() {
        let a = Session::new(0, 1, &head(9, 1, 0), None);
        let b = Session::new(0, 1, &head(2, 1, 0), Some(&a));
        assert_eq!(b.check(2, &head(9, 500, 0)), Err(Stale::Former));
        assert_eq!(b.check(2, &head(3, 500, 0)), Err(Stale::Unproven));
    }
}
