//! What the reports of all proxies say of a zone. It owns whose word counts and how many have to agree. It must never take
//! one proxy for two, nor one for which everything is bad for a witness.
use nickelgate::Micros;
use std::collections::{BTreeMap, BTreeSet};
use threadward_budgets::wire::Author;
use threadward_core::zoned::ZoneObservation;

/// A report says nothing any more after this: it comes every [`crate::BRISK`] while anything is wrong.
pub const FRESH: Micros = 1_500_000;
/// Proxies that have to agree, where so many live and see the zone: one may lie, and another be cut off beside it.
pub const LEAST: usize = 3;
/// A proxy that was not heard for so long counts as gone: three of its reports in calm times.
pub const LIVE: Micros = 3_000_000;
/// Former lives of a proxy that are known as such.
const FORMER: usize = 4;

/// What one proxy said last.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Heard {
    pub life: u64,
    former: [u64; FORMER],
    pub seq: u32,
    pub at: Micros,
    /// The map that it acts on: its number, and the hash of it.
    pub epoch: u64,
    pub hash: u64,
    /// The zone that it stands in.
    pub place: u16,
    pub seen: Vec<ZoneObservation>,
}

impl Heard {
    /// Every zone that it tried fails: it is itself cut off.
    fn blind(&self) -> bool {
        self.seen.iter().filter(|s| s.attempts > 0).count() > 1
            && self.seen.iter().filter(|s| s.attempts > 0).all(ZoneObservation::is_failing)
    }
}

/// What the decider heard: of each place in the file the newest report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Reports(pub BTreeMap<u16, Heard>);

/// What they say together; how many say that the zone fails, and how many tried it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Too few tried it lately.
    Unknown,
    Fine(u16, u16),
    Doubt(u16, u16),
    Bad(u16, u16),
}

impl Verdict {
    pub fn counts(&self) -> (u16, u16) {
        match *self {
            Verdict::Unknown => (0, 0),
            Verdict::Fine(a, b) | Verdict::Doubt(a, b) | Verdict::Bad(a, b) => (a, b),
        }
    }
}

impl Reports {
    /// Takes a report in. False: it is older than what is known, or of a life that has ended.
    #[allow(clippy::too_many_arguments)]
    pub fn take(
        &mut self,
        now: Micros,
        by: Author,
        seq: u32,
        map: (u64, u64),
        place: u16,
        seen: Vec<ZoneObservation>,
    ) -> bool {
        let (epoch, hash) = map;
        let heard =
            Heard { life: by.incarnation, former: [0; FORMER], seq, at: now, epoch, hash, place, seen };
        match self.0.get_mut(&by.index) {
            None => {
                self.0.insert(by.index, heard);
            }
            Some(h) if h.life == by.incarnation => {
                if seq.wrapping_sub(h.seq) as i32 <= 0 {
                    return false;
                }
                *h = Heard { former: h.former, ..heard };
            }
            Some(h) => {
                if h.former.contains(&by.incarnation) {
                    return false;
                }
                let mut former = h.former;
                former.rotate_right(1);
                former[0] = h.life;
                *h = Heard { former, ..heard };
            }
        }
        true
    }

    /// Those that live.
    pub fn live(&self, now: Micros) -> impl Iterator<Item = (u16, &Heard)> {
        self.0.iter().filter(move |(_, h)| now < h.at + LIVE).map(|(p, h)| (*p, h))
    }

    /// What is said of a zone, by all or by those that were drawn to try it: two of them are enough.
    ///
    /// ```
    /// use threadward_zones::judge::{Reports, Verdict, FRESH};
    /// use threadward_zones::{Author, ZoneObservation};
    /// let mut r = Reports::default();

    /// let seen = |zone, bad| ZoneObservation {

    ///     zone,

    ///     attempts: 8,

    ///     failed: bad * 2,

    ///     members: 4,

    ///     bad_members: bad,

    ///     load: 8,

    ///     mean_use: 0,

    /// };

    /// let mut says = |place: u16, seen| r.take(0, Author { index: place, incarnation: 1 }, 1, (0, 0), place % 2, seen);

    /// says(0, vec![seen(0, 4), seen(1, 0)]);
    /// says(1, vec![seen(0, 3), seen(1, 0)]);
    /// says(2, vec![seen(0, 1), seen(1, 0)]);
    /// says(3, vec![seen(0, 4), seen(1, 4)]);
    /// assert_eq!(r.verdict(0, 0, None), Verdict::Bad(2, 3), "one bad member is no bad zone; the last is cut off");
    /// assert_eq!(r.verdict(0, 1, None), Verdict::Fine(0, 3));
    /// assert_eq!(r.verdict(0, 0, Some(&|place| place == 2)), Verdict::Fine(0, 1), "a prober's word alone");
    /// assert_eq!(r.verdict(FRESH, 0, None), Verdict::Unknown, "too old");
    /// ```
    pub fn verdict(&self, now: Micros, zone: u16, by: Option<&dyn Fn(u16) -> bool>) -> Verdict {
        let (mut says, mut bad) = (0u16, 0u16);
        let (mut from, mut places) = (BTreeSet::new(), BTreeSet::new());
        let named = |p: u16| by.is_none_or(|drawn| drawn(p));
        for (_, h) in self.0.iter().filter(|(p, h)| now < h.at + FRESH && named(**p)) {
            let Some(s) = h.seen.iter().find(|s| s.zone == zone && s.attempts > 0) else { continue };
            if h.blind() {
                continue;
            }
            says += 1;
            places.insert(h.place);
            if s.is_failing() {
                bad += 1;
                from.insert(h.place);
            }
        }
        let drawn = || self.live(now).filter(|(p, _)| named(*p)).count();
        let least = if by.is_some() { drawn().clamp(1, LEAST - 1) } else { LEAST };
        if usize::from(says) < least {
            return Verdict::Unknown;
        }
        let apart = places.len() < 2 || from.len() > 1;
        match (u32::from(bad), u32::from(says)) {
            (b, all) if b * 3 >= all * 2 && apart => Verdict::Bad(bad, says),
            (b, all) if b * 3 >= all => Verdict::Doubt(bad, says),
            _ => Verdict::Fine(bad, says),
        }
    }

    /// What goes to a zone in two seconds, and what it could carry, as far as its use was told.
    pub fn load(&self, now: Micros, zone: u16) -> (u32, Option<u32>) {
        let own = self.0.values().filter(|h| now < h.at + LIVE).flat_map(|h| h.seen.iter());
        let (mut load, mut told, mut busy) = (0u32, 0u64, 0u64);
        for s in own.filter(|s| s.zone == zone) {
            load = load.saturating_add(u32::from(s.load));
            if s.mean_use > 0 {
                told += u64::from(s.load);
                busy += u64::from(s.load) * u64::from(s.mean_use);
            }
        }
        let most = (busy > 0).then(|| u32::try_from(u64::from(load) * 255 * told / busy).unwrap_or(u32::MAX));
        (load, most)
    }
}
