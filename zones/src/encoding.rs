//! The bytes of a map, as messages carry them and as its hash is taken over them.
use crate::map::{Epoch, Map};
use crate::state::Status;
use nickelgate::Micros;
use sha2::{Digest, Sha256};

/// Bytes of a zone in a map.
pub(crate) const STATUS: usize = 22;

impl Map {
    /// What is the same for every holder of the map: two maps of one hash say the same, whatever their clocks.
    pub fn hash(&self) -> u64 {
        let hash = Sha256::digest(fixed(self));
        u64::from_be_bytes([hash[0], hash[1], hash[2], hash[3], hash[4], hash[5], hash[6], hash[7]])
    }
}

/// Writes an epoch.
pub(crate) fn epoch(out: &mut Vec<u8>, epoch: Epoch) {
    out.extend(epoch.number.to_be_bytes());
    out.extend(epoch.life.to_be_bytes());
}

/// What a map says apart from times.
fn fixed(map: &Map) -> Vec<u8> {
    let mut out = Vec::new();
    epoch(&mut out, map.epoch);
    map.zones.iter().for_each(|zone| status(&mut out, zone, None));
    out
}

/// Writes a zone of a map; with `now`, the times as ages.
fn status(out: &mut Vec<u8>, zone: &Status, now: Option<Micros>) {
    out.extend([zone.state as u8, zone.step, zone.why as u8, zone.failed]);
    [zone.moved, zone.refused, zone.bad].iter().for_each(|n| out.extend(n.to_be_bytes()));
    out.extend(zone.of.to_be_bytes());
    [zone.tries, zone.lot].iter().for_each(|n| out.extend(n.to_be_bytes()));
    if let Some(now) = now {
        let age = |t: Micros| (now.saturating_sub(t) / 1000).min(0xff_ffff) as u32;
        out.extend(&age(zone.since).to_be_bytes()[1..]);
        out.extend(&age(zone.returning).to_be_bytes()[1..]);
    }
}

/// Writes a map; `now`: the clock of its holder, from which ages are taken.
pub(crate) fn map(out: &mut Vec<u8>, map: &Map, now: Micros) {
    epoch(out, map.epoch);
    map.zones.iter().for_each(|zone| status(out, zone, Some(now)));
}
