//! Bounds: the bytes that may be sent and the signatures that may be checked. It owns both purses. It must never let
//! the number of instances or of datagrams that come in raise either.
use nickelgate::Micros;

/// A purse that fills with time and holds a second's worth.
#[derive(Clone, Debug)]
pub struct Purse {
    rate: f64,
    most: f64,
    left: f64,
    at: Micros,
}

impl Purse {
    /// `rate`: a second's worth.
    pub fn new(now: Micros, rate: f64, most: f64) -> Purse {
        Purse { rate, most, left: most, at: now }
    }
    fn fill(&mut self, now: Micros) {
        let span = now.saturating_sub(self.at) as f64 / 1e6;
        self.left = (self.left + span * self.rate).min(self.most);
        self.at = self.at.max(now);
    }
    pub fn rate(&mut self, now: Micros, rate: f64) {
        self.fill(now);
        self.rate = rate;
    }
    /// Adds what was earned otherwise.
    pub fn earn(&mut self, n: f64) {
        self.left = (self.left + n).min(self.most);
    }
    /// Whether so much is there.
    pub fn holds(&mut self, now: Micros, n: f64) -> bool {
        self.fill(now);
        self.left >= n
    }
    /// Spends where it is there.
    pub fn spend(&mut self, now: Micros, n: f64) -> bool {
        self.fill(now);
        let enough = self.left >= n;
        self.left -= if enough { n } else { 0.0 };
        enough
    }
    /// Spends what has to be, as a debt of a purse's worth at most; else nothing.
    pub fn owe(&mut self, now: Micros, n: f64) -> bool {
        self.fill(now);
        let enough = self.left - n >= -self.most;
        self.left -= if enough { n } else { 0.0 };
        enough
    }
}

/// Signatures checked: for each known address a purse for what comes in a life that is proved, or answers a question that
/// is out, and a smaller one for what does not; and of each kind one for all addresses together. Only who sees the
/// traffic can guess the number of a life, so a flood in a peer's name spends the smaller purse and the peer is heard.
#[derive(Clone, Debug)]
pub struct Checks {
    per_address: f64,
    each: Vec<[Option<Purse>; 2]>,
    all: [Purse; 2],
}

/// Share of the checks that is for lives not proved.
const STRANGE: f64 = 0.2;

impl Checks {
    /// `addresses`: how many are known, `per_address`: checks a second for one, `all`: for all together.
    pub fn new(now: Micros, addresses: usize, per_address: f64, all: f64) -> Checks {
        let share = |x: f64| Purse::new(now, x, x);
        Checks {
            per_address,
            each: vec![[None, None]; addresses],
            all: [share(all), share((all * STRANGE).max(1.0))],
        }
    }
    /// Whether a signature of a datagram from this address may be checked; `proved`: it is of a life that is proved.
    pub fn allow(&mut self, now: Micros, address: usize, proved: bool) -> bool {
        let kind = usize::from(!proved);
        let rate = if proved { self.per_address } else { (self.per_address * STRANGE).max(1.0) };
        let Some(p) = self.each.get_mut(address).map(|each| &mut each[kind]) else { return false };
        p.get_or_insert_with(|| Purse::new(now, rate, rate)).spend(now, 1.0) && self.all[kind].spend(now, 1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_from_one_address_spends_its_own_purse() {
        let mut c = Checks::new(0, 2, 50.0, 100.0);
        let passed = (0..100_000).filter(|i| c.allow(i * 10, 0, false)).count();
        assert!((19..=21).contains(&passed), "{passed} in a second, a purse at first");
        assert!(c.allow(1_000_000, 0, true), "the peer itself is heard, as its life is proved");
        let passed = 1 + (0..100_000).filter(|i| c.allow(1_000_000 + i * 10, 0, true)).count();
        assert!((99..=101).contains(&passed), "{passed} of a life that is proved");
        assert!(c.allow(2_000_000, 1, true), "the other address is heard all the same");
        assert!(!c.allow(1_000_000, 2, true), "an address that is not known has none");
    }

    #[test]
    fn a_debt_is_bounded() {
        let mut p = Purse::new(0, 100.0, 100.0);
        assert_eq!((0..300).filter(|_| p.owe(0, 1.0)).count(), 200);
        assert!(!p.spend(500_000, 1.0) && p.spend(1_100_000, 1.0));
    }
}
