//! Derives the health of a zone from the reports of all proxies: whose report counts, and how many have to
//! agree.
//!
//! Each proxy counts once, and a proxy for which every zone fails does not count as a witness, because it is
//! probably cut off itself.
use nickelgate::Micros;
use std::collections::{BTreeMap, BTreeSet};
use threadward_budgets::wire::Author;
use threadward_core::zoned::ZoneObservation;

/// Age after which a report no longer counts as evidence. Reports arrive every
/// [`crate::DEGRADED_REPORT_INTERVAL`] while anything is wrong.
pub const REPORT_VALIDITY: Micros = 1_500_000;
/// The number of proxies that have to report on a zone, where nobody was drawn to probe it: one of them may
/// lie and another may be cut off.
pub const MIN_WITNESSES: usize = 3;
/// Time without a report after which a proxy counts as gone: three reports in healthy times.
pub const LIVENESS_TIMEOUT: Micros = 3_000_000;
/// How many earlier incarnations of a proxy are remembered, to reject their late reports.
const REMEMBERED_INCARNATIONS: usize = 4;

/// The latest report of one proxy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LatestReport {
    /// The incarnation that sent it.
    pub incarnation: u64,
    former_incarnations: [u64; REMEMBERED_INCARNATIONS],
    /// Its sequence number within the incarnation.
    pub seq: u32,
    /// When it arrived, on the clock of the receiver.
    pub received_at: Micros,
    /// The number of the map that the proxy acts on.
    pub map_number: u64,
    /// The hash of that map.
    pub map_hash: u64,
    /// The zone in which the proxy runs.
    pub own_zone: u16,
    /// What its own attempts showed of each zone.
    pub observed: Vec<ZoneObservation>,
}

impl LatestReport {
    /// Returns whether the proxy tried more than one zone and all of them fail: it is cut off itself.
    fn is_cut_off(&self) -> bool {
        self.observed.iter().filter(|s| s.attempts > 0).count() > 1
            && self.observed.iter().filter(|s| s.attempts > 0).all(ZoneObservation::is_failing)
    }
}

/// The latest report of each proxy, by its index in the operators' file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Reports(pub BTreeMap<u16, LatestReport>);

/// The health of a zone, with the number of proxies that see it fail and the number that tried it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ZoneHealth {
    /// Too few proxies tried it lately.
    Unknown,
    /// Fewer than a third of the proxies that tried it see it fail.
    Healthy(u16, u16),
    /// At least a third see it fail; or two thirds, but all of them in one zone while others tried it as
    /// well.
    Degraded(u16, u16),
    /// At least two thirds see it fail, and they run in more than one zone unless all proxies that tried it
    /// run in one.
    Failing(u16, u16),
}

impl ZoneHealth {
    /// Returns the number of proxies that see the zone fail and the number that tried it.
    pub fn counts(&self) -> (u16, u16) {
        match *self {
            ZoneHealth::Unknown => (0, 0),
            ZoneHealth::Healthy(a, b) | ZoneHealth::Degraded(a, b) | ZoneHealth::Failing(a, b) => (a, b),
        }
    }
}

impl Reports {
    /// Stores a report. Returns false, and stores nothing, if it is not newer than the one that is stored or
    /// comes from an earlier incarnation. `map` is the number and the hash of the map that the sender acts
    /// on.
    #[allow(clippy::too_many_arguments)]
    pub fn record(
        &mut self,
        now: Micros,
        by: Author,
        seq: u32,
        map: (u64, u64),
        own_zone: u16,
        observed: Vec<ZoneObservation>,
    ) -> bool {
        let (map_number, map_hash) = map;
        let report = LatestReport {
            incarnation: by.incarnation,
            former_incarnations: [0; REMEMBERED_INCARNATIONS],
            seq,
            received_at: now,
            map_number,
            map_hash,
            own_zone,
            observed,
        };
        match self.0.get_mut(&by.index) {
            None => {
                self.0.insert(by.index, report);
            }
            Some(h) if h.incarnation == by.incarnation => {
                if seq.wrapping_sub(h.seq) as i32 <= 0 {
                    return false;
                }
                *h = LatestReport { former_incarnations: h.former_incarnations, ..report };
            }
            Some(h) => {
                if h.former_incarnations.contains(&by.incarnation) {
                    return false;
                }
                let mut former_incarnations = h.former_incarnations;
                former_incarnations.rotate_right(1);
                former_incarnations[0] = h.incarnation;
                *h = LatestReport { former_incarnations, ..report };
            }
        }
        true
    }

    /// Iterates over the proxies that reported within [`LIVENESS_TIMEOUT`].
    pub fn live(&self, now: Micros) -> impl Iterator<Item = (u16, &LatestReport)> {
        self.0.iter().filter(move |(_, h)| now < h.received_at + LIVENESS_TIMEOUT).map(|(p, h)| (*p, h))
    }

    /// Returns the health of a zone according to all proxies, or only to the proxies that `by` selects: those
    /// that were drawn to probe it. Two probers are enough, or one if no more are live.
    ///
    /// ```
    /// use threadward_zones::judge::{Reports, ZoneHealth, REPORT_VALIDITY};
    /// use threadward_zones::{Author, ZoneObservation};
    /// let mut r = Reports::default();
    /// let observation = |zone, bad_members| ZoneObservation {
    ///     zone,
    ///     attempts: 8,
    ///     failed: bad_members * 2,
    ///     members: 4,
    ///     bad_members,
    ///     load: 8,
    ///     mean_use: 0,
    /// };
    /// let mut report = |index: u16, observed| {
    ///     r.record(0, Author { index, incarnation: 1 }, 1, (0, 0), index % 2, observed)
    /// };
    /// report(0, vec![observation(0, 4), observation(1, 0)]);
    /// report(1, vec![observation(0, 3), observation(1, 0)]);
    /// report(2, vec![observation(0, 1), observation(1, 0)]);
    /// report(3, vec![observation(0, 4), observation(1, 4)]);
    /// assert_eq!(
    ///     r.health(0, 0, None),
    ///     ZoneHealth::Failing(2, 3),
    ///     "one failing member is no failing zone, and the last proxy is cut off"
    /// );
    /// assert_eq!(r.health(0, 1, None), ZoneHealth::Healthy(0, 3));
    /// assert_eq!(r.health(0, 0, Some(&|index| index == 2)), ZoneHealth::Healthy(0, 1), "one prober alone");
    /// assert_eq!(r.health(REPORT_VALIDITY, 0, None), ZoneHealth::Unknown, "the reports are too old");
    /// ```
    pub fn health(&self, now: Micros, zone: u16, by: Option<&dyn Fn(u16) -> bool>) -> ZoneHealth {
        let (mut witnesses, mut failing) = (0u16, 0u16);
        let (mut failing_from, mut tried_from) = (BTreeSet::new(), BTreeSet::new());
        let selected = |p: u16| by.is_none_or(|drawn| drawn(p));
        for (_, h) in self.0.iter().filter(|(p, h)| now < h.received_at + REPORT_VALIDITY && selected(**p)) {
            let Some(s) = h.observed.iter().find(|s| s.zone == zone && s.attempts > 0) else { continue };
            if h.is_cut_off() {
                continue;
            }
            witnesses += 1;
            tried_from.insert(h.own_zone);
            if s.is_failing() {
                failing += 1;
                failing_from.insert(h.own_zone);
            }
        }
        let drawn = || self.live(now).filter(|(p, _)| selected(*p)).count();
        let required = if by.is_some() { drawn().clamp(1, MIN_WITNESSES - 1) } else { MIN_WITNESSES };
        if usize::from(witnesses) < required {
            return ZoneHealth::Unknown;
        }
        let independent = tried_from.len() < 2 || failing_from.len() > 1;
        match (u32::from(failing), u32::from(witnesses)) {
            (f, all) if f * 3 >= all * 2 && independent => ZoneHealth::Failing(failing, witnesses),
            (f, all) if f * 3 >= all => ZoneHealth::Degraded(failing, witnesses),
            _ => ZoneHealth::Healthy(failing, witnesses),
        }
    }

    /// Returns the attempts that all live proxies send to a zone in two seconds, and the number that it could
    /// carry, estimated from the utilization that its members report; `None` if they report none.
    pub fn load_and_capacity(&self, now: Micros, zone: u16) -> (u32, Option<u32>) {
        let live_reports = self
            .0
            .values()
            .filter(|h| now < h.received_at + LIVENESS_TIMEOUT)
            .flat_map(|h| h.observed.iter());
        let (mut load, mut load_with_utilization, mut weighted_utilization) = (0u32, 0u64, 0u64);
        for s in live_reports.filter(|s| s.zone == zone) {
            load = load.saturating_add(u32::from(s.load));
            if s.mean_use > 0 {
                load_with_utilization += u64::from(s.load);
                weighted_utilization += u64::from(s.load) * u64::from(s.mean_use);
            }
        }
        let capacity = (weighted_utilization > 0).then(|| {
            u32::try_from(u64::from(load) * 255 * load_with_utilization / weighted_utilization)
                .unwrap_or(u32::MAX)
        });
        (load, capacity)
    }
}
