//! The messages as bytes. It owns their form and its bounds. It must never judge what a message says; it allocates no more
//! than the zones of one message, [`crate::MOST_ZONES`] at most. Times travel as ages in milliseconds: clocks of two
//! proxies have nothing in common.
use crate::encoding::{epoch, map, STATUS};
use crate::map::{Epoch, Map};
use crate::state::{State, Status, Why};
use crate::MOST_ZONES;
use nickelgate::Micros;
use threadward_budgets::wire::Author;
use threadward_core::zoned::ZoneObservation;

/// The first byte of every message; those of budgets begin with 1 to 7.
const FIRST: u8 = 32;
/// The longest message, a MAC apart.
pub const MOST: usize = 1 + 10 + 33 + MOST_ZONES * STATUS;
/// Bytes of a zone in a report.
const SEEN: usize = 13;
/// Members that a zone may have in a report.
const MOST_MEMBERS: u16 = u16::MAX / 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Body {
    /// What own attempts showed; the map in use; the zone that the sender stands in.
    Report { seq: u32, to: u64, epoch: u64, hash: u64, place: u16, seen: Vec<ZoneObservation> },
    /// A new decider asks a voter for what it took last, and to take nothing below this number from anybody else.
    Read { number: u64 },
    /// A voter's answer: no map before `barred` is taken. `fresh`: it took none since it started and may have forgotten one.
    Holds { barred: Epoch, fresh: bool, map: Map },
    /// The decider asks a voter to take a map.
    Propose { map: Map },
    /// The voter took it.
    Took { epoch: Epoch },
    /// The decider says which map counts.
    Tell { map: Map },
    /// Whether a voter took the map of that epoch.
    Ask { epoch: Epoch },
    /// A voter says what it took last.
    Vouch { epoch: Epoch, hash: u64 },
}

/// Whether these bytes are one of these messages.
pub fn ours(bytes: &[u8]) -> bool {
    bytes.first().is_some_and(|b| (FIRST..FIRST + 8).contains(b))
}

/// Writes a message; `now`: the sender's clock, from which ages are taken.
///
/// ```
/// use threadward_zones::map::Map;
/// use threadward_zones::wire::{ours, read, write, Body};
/// use threadward_zones::Author;
/// let by = Author { index: 1, incarnation: 7 };
/// let bytes = write(by, &Body::Tell { map: Map::new(2, 3_000_000) }, 5_000_000);
/// assert!(ours(&bytes));
/// let Some((from, Body::Tell { map })) = read(&bytes, 90_000_000) else { panic!("it is no map") };
/// assert_eq!((from, map.zones.len()), (by, 2));
/// assert_eq!(map.zones[0].since, 88_000_000, "two seconds old on any clock");
/// assert_eq!(read(&bytes[1..], 90_000_000), None);
/// ```
pub fn write(from: Author, body: &Body, now: Micros) -> Vec<u8> {
    let mut out = vec![FIRST];
    out.extend(from.index.to_be_bytes());
    out.extend(from.incarnation.to_be_bytes());
    out[0] += match body {
        Body::Report { seq, to, epoch, hash, place, seen } => {
            out.extend(seq.to_be_bytes());
            [to, epoch, hash].iter().for_each(|n| out.extend(n.to_be_bytes()));
            out.extend(place.to_be_bytes());
            for s in seen.iter().take(MOST_ZONES) {
                [s.zone, s.attempts, s.failed, s.members, s.bad_members, s.load]
                    .iter()
                    .for_each(|n| out.extend(n.to_be_bytes()));
                out.push(s.mean_use);
            }
            0
        }
        Body::Read { number } => {
            out.extend(number.to_be_bytes());
            1
        }
        Body::Holds { barred, fresh, map: m } => {
            epoch(&mut out, *barred);
            out.push(u8::from(*fresh));
            map(&mut out, m, now);
            2
        }
        Body::Propose { map: m } => {
            map(&mut out, m, now);
            3
        }
        Body::Took { epoch: e } => {
            epoch(&mut out, *e);
            4
        }
        Body::Tell { map: m } => {
            map(&mut out, m, now);
            5
        }
        Body::Ask { epoch: e } => {
            epoch(&mut out, *e);
            6
        }
        Body::Vouch { epoch: e, hash } => {
            epoch(&mut out, *e);
            out.extend(hash.to_be_bytes());
            7
        }
    };
    out
}

/// Reads what [`write`] wrote, whole: anything short, long or unknown is nothing. Points in time are on the reader's clock,
/// as if the message had taken no time.
pub fn read(bytes: &[u8], now: Micros) -> Option<(Author, Body)> {
    let mut r = Reader(bytes);
    let kind = r.byte()?.checked_sub(FIRST)?;
    let from = Author { index: r.short()?, incarnation: r.long()? };
    let body = match kind {
        0 => {
            let (seq, to, epoch, hash, place) = (r.word()?, r.long()?, r.long()?, r.long()?, r.short()?);
            let fits = r.0.len().is_multiple_of(SEEN) && r.0.len() / SEEN <= MOST_ZONES;
            fits.then_some(())?;
            let mut seen = Vec::new();
            while !r.0.is_empty() {
                let s = ZoneObservation {
                    zone: r.short()?,
                    attempts: r.short()?,
                    failed: r.short()?,
                    members: r.short()?,
                    bad_members: r.short()?,
                    load: r.short()?,
                    mean_use: r.byte()?,
                };
                // Each zone once, in order: one that tells a zone twice counts twice.
                let follows = seen.last().is_none_or(|last: &ZoneObservation| last.zone < s.zone);
                let sums = s.failed <= s.attempts && s.bad_members <= s.members && s.members <= MOST_MEMBERS;
                (follows && sums).then(|| seen.push(s))?;
            }
            Body::Report { seq, to, epoch, hash, place, seen }
        }
        1 => Body::Read { number: r.long()? },
        2 => {
            let barred = r.epoch()?;
            let fresh = match r.byte()? {
                0 => false,
                1 => true,
                _ => return None,
            };
            Body::Holds { barred, fresh, map: r.map(now)? }
        }
        3 => Body::Propose { map: r.map(now)? },
        4 => Body::Took { epoch: r.epoch()? },
        5 => Body::Tell { map: r.map(now)? },
        6 => Body::Ask { epoch: r.epoch()? },
        7 => Body::Vouch { epoch: r.epoch()?, hash: r.long()? },
        _ => return None,
    };
    r.0.is_empty().then_some((from, body))
}

struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (part, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
        Some(*part)
    }
    fn byte(&mut self) -> Option<u8> {
        Some(u8::from_be_bytes(self.take()?))
    }
    fn short(&mut self) -> Option<u16> {
        Some(u16::from_be_bytes(self.take()?))
    }
    fn word(&mut self) -> Option<u32> {
        Some(u32::from_be_bytes(self.take()?))
    }
    fn long(&mut self) -> Option<u64> {
        Some(u64::from_be_bytes(self.take()?))
    }
    fn epoch(&mut self) -> Option<Epoch> {
        Some(Epoch { number: self.long()?, life: self.long()? })
    }
    fn age(&mut self, now: Micros) -> Option<Micros> {
        let [a, b, c] = self.take()?;
        Some(now.saturating_sub(Micros::from(u32::from_be_bytes([0, a, b, c])) * 1000))
    }
    /// All that is left.
    fn map(&mut self, now: Micros) -> Option<Map> {
        let epoch = self.epoch()?;
        let fits = self.0.len().is_multiple_of(STATUS) && self.0.len() / STATUS <= MOST_ZONES;
        fits.then_some(())?;
        let mut zones = Vec::new();
        while !self.0.is_empty() {
            zones.push(self.status(now)?);
        }
        Some(Map { epoch, zones })
    }
    fn status(&mut self, now: Micros) -> Option<Status> {
        const STATES: [State; 6] =
            [State::In, State::Suspect, State::Leaving, State::Out, State::Probing, State::Returning];
        const WHYS: [Why; 8] = [
            Why::Start,
            Why::Failing,
            Why::Fine,
            Why::Acted,
            Why::Held,
            Why::Restarted,
            Why::Unheard,
            Why::Step,
        ];
        let state = *STATES.get(usize::from(self.byte()?))?;
        let step = Some(self.byte()?).filter(|s| *s <= crate::state::STEPS)?;
        ((state == State::Returning) == (step > 0)).then_some(())?;
        let why = *WHYS.get(usize::from(self.byte()?))?;
        let failed = self.byte()?;
        let (moved, refused, bad, of) = (self.short()?, self.short()?, self.short()?, self.short()?);
        (moved <= 1000 && refused <= 1000).then_some(())?;
        let (tries, lot) = (self.short()?, self.short()?);
        (tries <= 1000).then_some(())?;
        Some(Status {
            state,
            step,
            why,
            failed,
            moved,
            refused,
            bad,
            of,
            tries,
            lot,
            since: self.age(now)?,
            returning: self.age(now)?,
        })
    }
}
