//! The simulated network between instances: datagrams are lost, delayed, duplicated and reordered, and links are cut in
//! one direction or both. It decides when a datagram arrives and never changes its bytes.
use crate::{stream, unit};
use nickelgate::Micros;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// The delay of a slow datagram, over that of another.
const SLOW_FACTOR: Micros = 10;
/// The stream of random numbers that belongs to the network.
const STREAM: u64 = 0x6e65;

/// What the network does to datagrams.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    /// The share of datagrams that is lost.
    pub loss: f64,
    /// The share that arrives twice.
    pub duplicated: f64,
    /// The shortest delay. Delays lie evenly between the shortest and the longest, so datagrams overtake one another.
    pub min_delay: Micros,
    /// The longest delay.
    pub max_delay: Micros,
    /// The share that takes ten times as long.
    pub slow: f64,
}

impl Default for NetworkConditions {
    fn default() -> Self {
        NetworkConditions { loss: 0.02, duplicated: 0.005, min_delay: 1_000, max_delay: 17_000, slow: 0.002 }
    }
}

/// The network of one simulation, its instances named by their indexes.
pub struct Net {
    /// What it does to datagrams from now on.
    pub conditions: NetworkConditions,
    /// Links that carry nothing from the first to the second.
    cuts: BTreeSet<(usize, usize)>,
    rng: ChaCha8Rng,
    /// Datagrams that arrived.
    pub delivered: u64,
    /// Bytes that arrived.
    pub bytes: u64,
}

impl Net {
    /// A network without cuts, whose draws belong to the seed.
    pub fn new(seed: u64, conditions: NetworkConditions) -> Net {
        Net { conditions, cuts: BTreeSet::new(), rng: stream(seed, STREAM), delivered: 0, bytes: 0 }
    }
    /// Cuts the link in this one direction.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }
    /// Cuts all links between two groups, in both directions.
    pub fn cut_groups(&mut self, one: &[usize], other: &[usize]) {
        for a in one {
            for b in other {
                self.cut(*a, *b);
                self.cut(*b, *a);
            }
        }
    }
    /// Restores all links that were cut.
    pub fn restore_links(&mut self) {
        self.cuts.clear();
    }
    /// The times at which a datagram arrives: none, one or two.
    pub fn transmit(&mut self, now: Micros, from: usize, to: usize, bytes: usize) -> Vec<Micros> {
        let conditions = self.conditions;
        // As many draws for each datagram, whatever becomes of it.
        let [lost, twice, slow, first, second] = std::array::from_fn(|_| unit(&mut self.rng));
        if lost < conditions.loss || self.cuts.contains(&(from, to)) {
            return Vec::new();
        }
        let span = (conditions.max_delay - conditions.min_delay) as f64;
        let factor = if slow < conditions.slow { SLOW_FACTOR } else { 1 };
        let delay = |draw: f64| (conditions.min_delay as f64 + draw * span) as Micros * factor;
        let mut arrivals = vec![now + delay(first)];
        if twice < conditions.duplicated {
            arrivals.push(now + delay(second));
        }
        self.delivered += arrivals.len() as u64;
        self.bytes += (bytes * arrivals.len()) as u64;
        arrivals
    }
}
