//! The network between instances: datagrams that are lost, late, doubled, out of order, and links that are cut one way
//! or both. It owns what becomes of a datagram. It must never change its bytes: who forges does so outside.
use crate::{stream, unit};
use nickelgate::Micros;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// What the network does to datagrams.
#[derive(Clone, Copy, Debug)]
pub struct Weather {
    /// Share that is lost, and that arrives twice.
    pub loss: f64,
    pub doubled: f64,
    /// Delays lie evenly between these; so datagrams overtake one another.
    pub least: Micros,
    pub most: Micros,
    /// Share that takes ten times as long.
    pub slow: f64,
}

impl Default for Weather {
    fn default() -> Self {
        Weather { loss: 0.02, doubled: 0.005, least: 1_000, most: 17_000, slow: 0.002 }
    }
}

pub struct Net {
    pub weather: Weather,
    /// Links that carry nothing from the first to the second.
    cuts: BTreeSet<(usize, usize)>,
    rng: ChaCha8Rng,
    /// Datagrams and bytes that arrived.
    pub delivered: u64,
    pub bytes: u64,
}

impl Net {
    pub fn new(seed: u64, weather: Weather) -> Net {
        Net { weather, cuts: BTreeSet::new(), rng: stream(seed, 0x6e65), delivered: 0, bytes: 0 }
    }
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }
    /// Cuts the instances into two sides.
    pub fn part(&mut self, one: &[usize], other: &[usize]) {
        for a in one {
            for b in other {
                self.cut(*a, *b);
                self.cut(*b, *a);
            }
        }
    }
    pub fn heal(&mut self) {
        self.cuts.clear();
    }
    /// The times at which a datagram arrives: none, one or two.
    pub fn carry(&mut self, now: Micros, from: usize, to: usize, bytes: usize) -> Vec<Micros> {
        let w = self.weather;
        // As many draws for each datagram, whatever becomes of it.
        let [lost, twice, slow, a, b] = std::array::from_fn(|_| unit(&mut self.rng));
        if lost < w.loss || self.cuts.contains(&(from, to)) {
            return Vec::new();
        }
        let span = (w.most - w.least) as f64;
        let delay = |x: f64| (w.least as f64 + x * span) as Micros * if slow < w.slow { 10 } else { 1 };
        let mut at = vec![now + delay(a)];
        if twice < w.doubled {
            at.push(now + delay(b));
        }
        self.delivered += at.len() as u64;
        self.bytes += (bytes * at.len()) as u64;
        at
    }
}
