//! Limits the rate of requests that this proxy sends to members that started recently to the share that the
//! fleet leases it. It measures that rate, and computes the factor by which the router's own budget for cold
//! members is reduced. The budget is never raised above what the router computes without a share.
use crate::Micros;

/// The rate is measured over at least this span; the rule on cold members counts over about the same time.
const RATE_SPAN: Micros = 2_000_000;
/// Greatest divisor of the router's budget.
const MAX_SCALE: u32 = 64;

/// The rate of requests sent to cold members, and the divisor that keeps it to the leased share.
#[derive(Clone, Debug)]
pub(crate) struct ColdRate {
    span_began_at: Micros,
    sent: u32,
    /// Requests per second in the previous span, scaled up to what would have been sent without a share.
    unlimited_per_s: u32,
    /// The router's budget for cold members is divided by this.
    pub scale: u32,
}

impl ColdRate {
    pub fn new() -> ColdRate {
        ColdRate { span_began_at: 0, sent: 0, unlimited_per_s: 0, scale: 1 }
    }

    /// Counts a request that is sent to a cold member.
    pub fn count_sent(&mut self) {
        self.sent = self.sent.saturating_add(1);
    }

    /// Sets the share, in requests per second, and returns the rate that would be sent without it. Once the
    /// span of the measurement is over, it also updates the rate and `scale` and starts a new span.
    pub fn limit(&mut self, now: Micros, share_per_s: u32) -> u32 {
        if now >= self.span_began_at + RATE_SPAN {
            let spans = now.saturating_sub(self.span_began_at) / RATE_SPAN;
            // One more than measured, so that a growing rate is asked for before it is reached.
            let per_s = (u64::from(self.sent) * 1_000_000).div_ceil(RATE_SPAN * spans) as u32;
            self.unlimited_per_s = if per_s == 0 { 0 } else { per_s.saturating_mul(self.scale) + 1 };
            (self.span_began_at, self.sent) = (now, 0);
            self.scale = match share_per_s {
                _ if self.unlimited_per_s == 0 => 1,
                0 => MAX_SCALE,
                share => self.unlimited_per_s.div_ceil(share).clamp(1, MAX_SCALE),
            };
        }
        self.unlimited_per_s
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A router that sends 40 requests per second to cold members without a limit. Guards against a rate that
    /// doesn't settle at the share, and against a scale that stays up once the share suffices or no member is
    /// cold.
    #[test]
    fn rate_to_cold_members_settles_at_the_share() {
        let mut c = ColdRate::new();
        let mut last = 0;
        for span in 1..8u64 {
            last = 80 / c.scale;
            (0..last).for_each(|_| c.count_sent());
            let wanted = c.limit(span * RATE_SPAN, if span < 6 { 10 } else { 100 });
            assert!((40..=44).contains(&wanted), "an unlimited rate of {wanted} at a scale of {}", c.scale);
        }
        assert_eq!((last, c.scale), (80, 1), "a share that is large enough changes nothing");
        let mut c = ColdRate::new();
        (0..80).for_each(|_| c.count_sent());
        c.limit(RATE_SPAN, 10);
        assert!(80 / c.scale <= 20, "the share allows 20 in two seconds, the scale is {}", c.scale);
        assert_eq!(c.limit(3 * RATE_SPAN, 10), 0, "no member is cold any more");
        assert_eq!(c.scale, 1);
    }
}
