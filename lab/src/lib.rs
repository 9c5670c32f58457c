//! The laboratory: real planners and real gossip instances in virtual time, against scripted stand-ins. It owns the
//! agenda of events, the network between instances and the stand-ins of caches, hubs and clients. It must never
//! read the system's clock or draw a number that is not of its seeds: the same seeds give the same run, bit for bit.
#![forbid(unsafe_code)]

pub mod agenda;
pub mod budget_simulation;
pub mod capacity;
pub mod day;
pub mod fleet;
pub mod gang;
pub mod net;
pub mod plain_division;
pub mod regions;
pub mod scale;

mod way;

use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};

/// A stream of random numbers of its own for each purpose, so that one more draw here shifts nothing there.
pub fn stream(seed: u64, purpose: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(purpose);
    rng
}

/// A number from 0 to under 1.
pub fn unit(rng: &mut impl RngCore) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// A number from 0 to under 1 that belongs to these words and no order of draws.
pub fn draw(words: &[u64]) -> f64 {
    let seed = words.iter().fold(0x9e37_79b9_7f4a_7c15u64, |h, w| {
        let x = (h ^ w).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (x ^ (x >> 29)).wrapping_mul(0x94d0_49bb_1331_11eb)
    });
    unit(&mut ChaCha8Rng::seed_from_u64(seed))
}
