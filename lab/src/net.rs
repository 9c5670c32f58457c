//! The simulated network between instances. It loses, delays, duplicates and reorders datagrams, and links
//! can be cut in one direction or in both. It decides whether and when a datagram arrives and never changes
//! its bytes.
use crate::{stream, unit};
use nickelgate::Micros;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// Delay of a slow datagram, as a multiple of the delay of any other.
const SLOW_DELAY_FACTOR: Micros = 10;
/// Number of the network's stream of random numbers.
const STREAM: u64 = 0x6e65;

/// Loss, duplication and delay of datagrams.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// The share of datagrams that arrive twice.
    pub duplicated: f64,
    /// The shortest delay. Delays are uniformly distributed between the shortest and the longest, so
    /// datagrams can overtake one another.
    pub min_delay: Micros,
    /// The longest delay.
    pub max_delay: Micros,
    /// The share of datagrams that take ten times as long.
    pub slow: f64,
}

impl Default for NetworkConditions {
    fn default() -> Self {
        NetworkConditions { loss: 0.02, duplicated: 0.005, min_delay: 1_000, max_delay: 17_000, slow: 0.002 }
    }
}

/// The network of one simulation. Instances are identified by their indexes.
pub struct Net {
    /// The conditions that apply from now on.
    pub conditions: NetworkConditions,
    /// Links that are cut, as (sender, receiver).
    cuts: BTreeSet<(usize, usize)>,
    rng: ChaCha8Rng,
    /// Number of datagrams that arrive, duplicates included.
    pub delivered: u64,
    /// Number of bytes that arrive, duplicates included.
    pub bytes: u64,
}

impl Net {
    /// Creates a network without cut links, whose random numbers come from the seed.
    pub fn new(seed: u64, conditions: NetworkConditions) -> Net {
        Net { conditions, cuts: BTreeSet::new(), rng: stream(seed, STREAM), delivered: 0, bytes: 0 }
    }
    /// Cuts the link from one instance to another, in this direction only.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }
    /// Cuts all links between two groups of instances, in both directions.
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
    /// Sends a datagram: counts it and returns the times at which it arrives (none, one or two).
    pub fn transmit(&mut self, now: Micros, from: usize, to: usize, bytes: usize) -> Vec<Micros> {
        let conditions = self.conditions;
        // The number of draws is the same for every datagram, so that the fate of one doesn't shift the draws
        // of the next.
        let [loss_draw, duplicate_draw, slow_draw, first_delay, second_delay] =
            std::array::from_fn(|_| unit(&mut self.rng));
        if loss_draw < conditions.loss || self.cuts.contains(&(from, to)) {
            return Vec::new();
        }
        let delay_range = (conditions.max_delay - conditions.min_delay) as f64;
        let factor = if slow_draw < conditions.slow { SLOW_DELAY_FACTOR } else { 1 };
        let delay = |draw: f64| (conditions.min_delay as f64 + draw * delay_range) as Micros * factor;
        let mut arrivals = vec![now + delay(first_delay)];
        if duplicate_draw < conditions.duplicated {
            arrivals.push(now + delay(second_delay));
        }
        self.delivered += arrivals.len() as u64;
        self.bytes += (bytes * arrivals.len()) as u64;
        arrivals
    }
}
