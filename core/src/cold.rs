//! What this proxy sends to members that started lately, kept to a share that the fleet leases it. It owns the rate, and by
//! how much the module's own budget for cold members is scaled. It must never raise that budget: without a share that is
//! too small it stays as the module reckons it.
use crate::Micros;

/// Span of the rate: the rule on cold members counts over about as long.
const SPAN: Micros = 2_000_000;
/// The budget is never scaled down further than this.
const MOST: u32 = 64;

/// The rate to cold members, and what it is kept to.
#[derive(Clone, Debug)]
pub(crate) struct Cold {
    began: Micros,
    sent: u32,
    /// Of the span before, scaled up to what would have been sent without a share.
    wanted: u32,
    /// The module's budget is divided by this.
    pub scale: u32,
}

impl Cold {
    pub fn new() -> Cold {
        Cold { began: 0, sent: 0, wanted: 0, scale: 1 }
    }

    pub fn sent(&mut self) {
        self.sent = self.sent.saturating_add(1);
    }

    /// Takes a share, in requests a second; gives what would be sent without one.
    pub fn limit(&mut self, now: Micros, share: u32) -> u32 {
        if now >= self.began + SPAN {
            let spans = now.saturating_sub(self.began) / SPAN;
            // One more than was seen: a rate that grows is asked for before it is reached.
            let per_s = (u64::from(self.sent) * 1_000_000).div_ceil(SPAN * spans) as u32;
            self.wanted = if per_s == 0 { 0 } else { per_s.saturating_mul(self.scale) + 1 };
            (self.began, self.sent) = (now, 0);
            self.scale = match share {
                _ if self.wanted == 0 => 1,
                0 => MOST,
                share => self.wanted.div_ceil(share).clamp(1, MOST),
            };
        }
        self.wanted
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A module that sends 40 a second to cold members when left alone.
    #[test]
    fn what_is_sent_to_cold_members_settles_at_the_share() {
        let mut c = Cold::new();
        let mut last = 0;
        for span in 1..8u64 {
            last = 80 / c.scale;
            (0..last).for_each(|_| c.sent());
            let wanted = c.limit(span * SPAN, if span < 6 { 10 } else { 100 });
            assert!((40..=44).contains(&wanted), "{wanted} wanted at a scale of {}", c.scale);
        }
        assert_eq!((last, c.scale), (80, 1), "a share that is large enough changes nothing");
        let mut c = Cold::new();
        (0..80).for_each(|_| c.sent());
        c.limit(SPAN, 10);
        assert!(80 / c.scale <= 20, "20 in two seconds are the share, the scale is {}", c.scale);
        assert_eq!(c.limit(3 * SPAN, 10), 0, "nobody is cold any more");
        assert_eq!(c.scale, 1);
    }
}
