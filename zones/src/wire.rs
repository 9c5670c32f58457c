//! The wire format of the messages: encoding, decoding and the bounds of their fields.
//!
//! Decoding does not judge what a message says. It allocates no more than the zones of one message need, of
//! which there are [`crate::MAX_ZONES`] at most. Times are sent as ages in milliseconds, because the clocks
//! of two proxies are unrelated.
use crate::encoding::{epoch, map, STATUS_BYTES};
use crate::map::{Epoch, Map};
use crate::state::{State, Status, Why};
use crate::MAX_ZONES;
use nickelgate::Micros;
use threadward_budgets::wire::Author;
use threadward_core::zoned::ZoneObservation;

/// The first byte of a report. The other messages follow up to 39; the messages of shared budgets begin with
/// 1 to 7.
const FIRST_KIND: u8 = 32;
/// Length of the longest message, without its authentication code.
pub const MAX_MESSAGE_BYTES: usize = 1 + 10 + 33 + MAX_ZONES * STATUS_BYTES;
/// Bytes of one zone in a report.
const OBSERVATION_BYTES: usize = 13;
/// Largest number of members of a zone in a report.
const MAX_ZONE_MEMBERS: u16 = u16::MAX / 2;

/// The content of a message. The doc comments name the Paxos roles: a decider prepares and proposes, voters
/// promise and accept.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Body {
    /// A proxy reports to the decider what its own attempts showed, which map it acts on and in which zone it
    /// runs. `to_incarnation` is the incarnation of the decider that made that map.
    Report {
        seq: u32,
        to_incarnation: u64,
        map_number: u64,
        map_hash: u64,
        own_zone: u16,
        observed: Vec<ZoneObservation>,
    },
    /// A new decider asks a voter for the map that it accepted last, and to accept no map below this number
    /// from anybody else.
    Prepare { number: u64 },
    /// A voter's answer: it accepts no map before `promised_epoch`. With `no_map_since_start` it has accepted
    /// no map since it started and may have forgotten one.
    Promise { promised_epoch: Epoch, no_map_since_start: bool, map: Map },
    /// The decider asks a voter to accept a map.
    Propose { map: Map },
    /// The voter accepted it.
    Accepted { epoch: Epoch },
    /// The decider, or a voter that learned the map, tells a proxy which map is in use.
    Announce { map: Map },
    /// A proxy asks a voter whether it accepted the map of this epoch or a later one.
    Query { epoch: Epoch },
    /// A voter says which map it accepted last.
    Confirm { epoch: Epoch, hash: u64 },
}

/// Returns whether these bytes are a message of this crate, judging by the first byte.
pub fn is_zones_message(bytes: &[u8]) -> bool {
    bytes.first().is_some_and(|b| (FIRST_KIND..FIRST_KIND + 8).contains(b))
}

/// Encodes a message. `now` is the sender's clock, from which ages are computed.
///
/// ```
/// use threadward_zones::map::Map;
/// use threadward_zones::wire::{is_zones_message, read, write, Body};
/// use threadward_zones::Author;
/// let by = Author { index: 1, incarnation: 7 };
/// let bytes = write(by, &Body::Announce { map: Map::new(2, 3_000_000) }, 5_000_000);
/// assert!(is_zones_message(&bytes));
/// let Some((from, Body::Announce { map })) = read(&bytes, 90_000_000) else { panic!("no map was read") };
/// assert_eq!((from, map.zones.len()), (by, 2));
/// assert_eq!(map.zones[0].since, 88_000_000, "two seconds old on any clock");
/// assert_eq!(read(&bytes[1..], 90_000_000), None);
/// ```
pub fn write(from: Author, body: &Body, now: Micros) -> Vec<u8> {
    let mut out = vec![FIRST_KIND];
    out.extend(from.index.to_be_bytes());
    out.extend(from.incarnation.to_be_bytes());
    out[0] += match body {
        Body::Report { seq, to_incarnation, map_number, map_hash, own_zone, observed } => {
            out.extend(seq.to_be_bytes());
            [to_incarnation, map_number, map_hash].iter().for_each(|n| out.extend(n.to_be_bytes()));
            out.extend(own_zone.to_be_bytes());
            for s in observed.iter().take(MAX_ZONES) {
                [s.zone, s.attempts, s.failed, s.members, s.bad_members, s.load]
                    .iter()
                    .for_each(|n| out.extend(n.to_be_bytes()));
                out.push(s.mean_use);
            }
            0
        }
        Body::Prepare { number } => {
            out.extend(number.to_be_bytes());
            1
        }
        Body::Promise { promised_epoch, no_map_since_start, map: m } => {
            epoch(&mut out, *promised_epoch);
            out.push(u8::from(*no_map_since_start));
            map(&mut out, m, now);
            2
        }
        Body::Propose { map: m } => {
            map(&mut out, m, now);
            3
        }
        Body::Accepted { epoch: e } => {
            epoch(&mut out, *e);
            4
        }
        Body::Announce { map: m } => {
            map(&mut out, m, now);
            5
        }
        Body::Query { epoch: e } => {
            epoch(&mut out, *e);
            6
        }
        Body::Confirm { epoch: e, hash } => {
            epoch(&mut out, *e);
            out.extend(hash.to_be_bytes());
            7
        }
    };
    out
}

/// Decodes a message that [`write`] encoded; returns `None` for anything that is too short, too long or
/// unknown. Points in time are on the reader's clock, as if the message had been delivered instantly.
pub fn read(bytes: &[u8], now: Micros) -> Option<(Author, Body)> {
    let mut r = Reader(bytes);
    let kind = r.read_u8()?.checked_sub(FIRST_KIND)?;
    let from = Author { index: r.read_u16()?, incarnation: r.read_u64()? };
    let body = match kind {
        0 => {
            let (seq, to_incarnation, map_number, map_hash, own_zone) =
                (r.read_u32()?, r.read_u64()?, r.read_u64()?, r.read_u64()?, r.read_u16()?);
            let well_formed =
                r.0.len().is_multiple_of(OBSERVATION_BYTES) && r.0.len() / OBSERVATION_BYTES <= MAX_ZONES;
            well_formed.then_some(())?;
            let mut observed = Vec::new();
            while !r.0.is_empty() {
                let s = ZoneObservation {
                    zone: r.read_u16()?,
                    attempts: r.read_u16()?,
                    failed: r.read_u16()?,
                    members: r.read_u16()?,
                    bad_members: r.read_u16()?,
                    load: r.read_u16()?,
                    mean_use: r.read_u8()?,
                };
                // Each zone may appear once, in order: a zone that appears twice would count twice.
                let in_order = observed.last().is_none_or(|last: &ZoneObservation| last.zone < s.zone);
                let consistent =
                    s.failed <= s.attempts && s.bad_members <= s.members && s.members <= MAX_ZONE_MEMBERS;
                (in_order && consistent).then(|| observed.push(s))?;
            }
            Body::Report { seq, to_incarnation, map_number, map_hash, own_zone, observed }
        }
        1 => Body::Prepare { number: r.read_u64()? },
        2 => {
            let promised_epoch = r.epoch()?;
            let no_map_since_start = match r.read_u8()? {
                0 => false,
                1 => true,
                _ => return None,
            };
            Body::Promise { promised_epoch, no_map_since_start, map: r.map(now)? }
        }
        3 => Body::Propose { map: r.map(now)? },
        4 => Body::Accepted { epoch: r.epoch()? },
        5 => Body::Announce { map: r.map(now)? },
        6 => Body::Query { epoch: r.epoch()? },
        7 => Body::Confirm { epoch: r.epoch()?, hash: r.read_u64()? },
        _ => return None,
    };
    r.0.is_empty().then_some((from, body))
}

/// Reads fields in order from the bytes that are left.
struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (part, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
        Some(*part)
    }
    fn read_u8(&mut self) -> Option<u8> {
        Some(u8::from_be_bytes(self.take()?))
    }
    fn read_u16(&mut self) -> Option<u16> {
        Some(u16::from_be_bytes(self.take()?))
    }
    fn read_u32(&mut self) -> Option<u32> {
        Some(u32::from_be_bytes(self.take()?))
    }
    fn read_u64(&mut self) -> Option<u64> {
        Some(u64::from_be_bytes(self.take()?))
    }
    fn epoch(&mut self) -> Option<Epoch> {
        Some(Epoch { number: self.read_u64()?, incarnation: self.read_u64()? })
    }
    /// Reads an age in milliseconds as a point in time on the reader's clock.
    fn age(&mut self, now: Micros) -> Option<Micros> {
        let [a, b, c] = self.take()?;
        Some(now.saturating_sub(Micros::from(u32::from_be_bytes([0, a, b, c])) * 1000))
    }
    /// Reads a map, which takes all the bytes that are left.
    fn map(&mut self, now: Micros) -> Option<Map> {
        let epoch = self.epoch()?;
        let well_formed =
            self.0.len().is_multiple_of(STATUS_BYTES) && self.0.len() / STATUS_BYTES <= MAX_ZONES;
        well_formed.then_some(())?;
        let mut zones = Vec::new();
        while !self.0.is_empty() {
            zones.push(self.status(now)?);
        }
        Some(Map { epoch, zones })
    }
    fn status(&mut self, now: Micros) -> Option<Status> {
        const STATES: [State; 6] =
            [State::In, State::Suspect, State::Leaving, State::Out, State::Probing, State::Returning];
        const REASONS: [Why; 8] = [
            Why::Start,
            Why::Failing,
            Why::Fine,
            Why::Acted,
            Why::Held,
            Why::Restarted,
            Why::Unheard,
            Why::Step,
        ];
        let state = *STATES.get(usize::from(self.read_u8()?))?;
        let step = Some(self.read_u8()?).filter(|s| *s <= crate::state::RETURN_STEPS)?;
        ((state == State::Returning) == (step > 0)).then_some(())?;
        let why = *REASONS.get(usize::from(self.read_u8()?))?;
        let failed_returns = self.read_u8()?;
        let (moved_permille, refused_permille, failing_proxies, trying_proxies) =
            (self.read_u16()?, self.read_u16()?, self.read_u16()?, self.read_u16()?);
        (moved_permille <= 1000 && refused_permille <= 1000).then_some(())?;
        let (probers_permille, prober_seed) = (self.read_u16()?, self.read_u16()?);
        (probers_permille <= 1000).then_some(())?;
        Some(Status {
            state,
            step,
            why,
            failed_returns,
            moved_permille,
            refused_permille,
            failing_proxies,
            trying_proxies,
            probers_permille,
            prober_seed,
            since: self.age(now)?,
            return_started: self.age(now)?,
        })
    }
}
