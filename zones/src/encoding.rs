//! Encodes maps as bytes, for messages and for the hash of a map.
use crate::map::{Epoch, Map};
use crate::state::Status;
use nickelgate::Micros;
use sha2::{Digest, Sha256};

/// Bytes of one zone in an encoded map.
pub(crate) const STATUS_BYTES: usize = 22;

impl Map {
    /// Returns a hash of everything in the map but its times, so that it is the same for every holder of the
    /// map, whatever its clock.
    pub fn hash(&self) -> u64 {
        let hash = Sha256::digest(without_times(self));
        u64::from_be_bytes([hash[0], hash[1], hash[2], hash[3], hash[4], hash[5], hash[6], hash[7]])
    }
}

/// Appends an epoch to `out`.
pub(crate) fn epoch(out: &mut Vec<u8>, epoch: Epoch) {
    out.extend(epoch.number.to_be_bytes());
    out.extend(epoch.incarnation.to_be_bytes());
}

/// Returns the bytes of a map without its times.
fn without_times(map: &Map) -> Vec<u8> {
    let mut out = Vec::new();
    epoch(&mut out, map.epoch);
    map.zones.iter().for_each(|zone| status(&mut out, zone, None));
    out
}

/// Appends one zone of a map to `out`. With `now`, its times follow as ages in milliseconds.
fn status(out: &mut Vec<u8>, zone: &Status, now: Option<Micros>) {
    out.extend([zone.state as u8, zone.step, zone.why as u8, zone.failed_returns]);
    [zone.moved_permille, zone.refused_permille, zone.failing_proxies]
        .iter()
        .for_each(|n| out.extend(n.to_be_bytes()));
    out.extend(zone.trying_proxies.to_be_bytes());
    [zone.probers_permille, zone.prober_seed].iter().for_each(|n| out.extend(n.to_be_bytes()));
    if let Some(now) = now {
        let age = |t: Micros| (now.saturating_sub(t) / 1000).min(0xff_ffff) as u32;
        out.extend(&age(zone.since).to_be_bytes()[1..]);
        out.extend(&age(zone.return_started).to_be_bytes()[1..]);
    }
}

/// Appends a map to `out`. `now` is the clock of its holder, from which the ages are computed.
pub(crate) fn map(out: &mut Vec<u8>, map: &Map, now: Micros) {
    epoch(out, map.epoch);
    map.zones.iter().for_each(|zone| status(out, zone, Some(now)));
}
