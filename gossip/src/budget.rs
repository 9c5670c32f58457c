//! Limits on the bytes sent and the signatures checked. Neither limit grows with the number of instances or
//! of received datagrams.
use nickelgate::Micros;

/// A token bucket that refills with time, up to its capacity.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket. `rate` is the number of tokens per second.
    pub fn new(now: Micros, rate: f64, capacity: f64) -> TokenBucket {
        TokenBucket { rate, capacity, tokens: capacity, refilled_at: now }
    }
    /// Adds the tokens for the time since the last refill.
    fn refill(&mut self, now: Micros) {
        let span = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.tokens = (self.tokens + span * self.rate).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }
    /// Refills at the old rate and then changes it.
    pub fn set_rate(&mut self, now: Micros, rate: f64) {
        self.refill(now);
        self.rate = rate;
    }
    /// Adds tokens that were earned by other means than time.
    pub fn add(&mut self, n: f64) {
        self.tokens = (self.tokens + n).min(self.capacity);
    }
    /// Returns whether at least `n` tokens are available, after refilling.
    pub fn has(&mut self, now: Micros, n: f64) -> bool {
        self.refill(now);
        self.tokens >= n
    }
    /// Takes `n` tokens if they are available, and returns whether it did.
    pub fn try_take(&mut self, now: Micros, n: f64) -> bool {
        self.refill(now);
        let enough = self.tokens >= n;
        self.tokens -= if enough { n } else { 0.0 };
        enough
    }
    /// Takes `n` tokens for something that cannot wait, going into debt by at most the bucket's capacity.
    /// Returns false and takes nothing if the debt would become larger.
    pub fn try_borrow(&mut self, now: Micros, n: f64) -> bool {
        self.refill(now);
        let enough = self.tokens - n >= -self.capacity;
        self.tokens -= if enough { n } else { 0.0 };
        enough
    }
}

/// Rate limits on signature checks. Each known address has one bucket for datagrams that belong to a
/// confirmed incarnation or answer an outstanding probe, and a smaller one for all others; two more buckets,
/// one of each kind, limit all addresses together.
///
/// The start number of an incarnation is known only to those that see its traffic. A flood under a peer's
/// name therefore drains the smaller bucket, and the peer itself is still heard.
#[derive(Clone, Debug)]
pub struct SignatureChecks {
    per_address: f64,
    by_address: Vec<[Option<TokenBucket>; 2]>,
    all: [TokenBucket; 2],
}

/// Share of the checks for datagrams of unconfirmed incarnations.
const UNCONFIRMED_SHARE: f64 = 0.2;

impl SignatureChecks {
    /// Creates full buckets. `addresses` is the number of known addresses, `per_address` the checks per
    /// second for one, and `all` those for all of them together.
    pub fn new(now: Micros, addresses: usize, per_address: f64, all: f64) -> SignatureChecks {
        let share = |x: f64| TokenBucket::new(now, x, x);
        SignatureChecks {
            per_address,
            by_address: vec![[None, None]; addresses],
            all: [share(all), share((all * UNCONFIRMED_SHARE).max(1.0))],
        }
    }
    /// Takes a token for checking the signature of a datagram from this address, and returns whether it may
    /// be checked. `confirmed` says that the datagram belongs to a confirmed incarnation or answers a probe.
    pub fn allow(&mut self, now: Micros, address: usize, confirmed: bool) -> bool {
        let kind = usize::from(!confirmed);
        let rate = if confirmed { self.per_address } else { (self.per_address * UNCONFIRMED_SHARE).max(1.0) };
        let Some(p) = self.by_address.get_mut(address).map(|pair| &mut pair[kind]) else { return false };
        p.get_or_insert_with(|| TokenBucket::new(now, rate, rate)).try_take(now, 1.0)
            && self.all[kind].try_take(now, 1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_from_one_address_uses_only_its_own_budget() {
        let mut c = SignatureChecks::new(0, 2, 50.0, 100.0);
        let passed = (0..100_000).filter(|i| c.allow(i * 10, 0, false)).count();
        assert!((19..=21).contains(&passed), "{passed} in a second, with a full bucket at first");
        assert!(c.allow(1_000_000, 0, true), "the peer itself is heard, as its incarnation is confirmed");
        let passed = 1 + (0..100_000).filter(|i| c.allow(1_000_000 + i * 10, 0, true)).count();
        assert!((99..=101).contains(&passed), "{passed} of a confirmed incarnation");
        assert!(c.allow(2_000_000, 1, true), "the other address is not affected");
        assert!(!c.allow(1_000_000, 2, true), "an unknown address has no bucket");
    }

    #[test]
    fn a_debt_is_bounded() {
        let mut p = TokenBucket::new(0, 100.0, 100.0);
        assert_eq!((0..300).filter(|_| p.try_borrow(0, 1.0)).count(), 200);
        assert!(!p.try_take(500_000, 1.0) && p.try_take(1_100_000, 1.0));
    }
}
