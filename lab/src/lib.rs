//! Simulations of proxies in virtual time: real planners and real gossip, budget and zone instances run
//! against scripted simulated caches, parents and clients on a simulated network.
//!
//! A simulation doesn't read the system clock, and all its random numbers come from its seeds: the same seeds
//! give the same run, bit for bit.
#![forbid(unsafe_code)]

pub mod budget_simulation;
pub mod capacity;
pub mod day;
pub mod event_queue;
pub mod fleet;
pub mod gossip_simulation;
pub mod net;
pub mod plain_division;
mod recorded_link;
pub mod regions;
pub mod scale;

use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

/// Returns a separate stream of random numbers for each purpose, so that an additional draw for one purpose
/// doesn't shift the numbers of another.
pub fn stream(seed: u64, purpose: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(purpose);
    rng
}

/// Draws a number from 0 (inclusive) to 1 (exclusive).
pub fn unit(rng: &mut impl RngCore) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// Returns a number from 0 (inclusive) to 1 (exclusive) that depends only on the key, not on the order of
/// draws.
pub fn draw(key: &[u64]) -> f64 {
    let seed = key.iter().fold(0x9e37_79b9_7f4a_7c15u64, |h, w| {
        let x = (h ^ w).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (x ^ (x >> 29)).wrapping_mul(0x94d0_49bb_1331_11eb)
    });
    unit(&mut ChaCha8Rng::seed_from_u64(seed))
}
