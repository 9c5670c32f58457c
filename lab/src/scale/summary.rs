//! Makes curves and the figures of the last line from what a run measured.
use super::fit::Fit;
use super::measure::Findings;
use super::real::RealFigures;
use super::report::{Design, Part, Point, Quantity, Role, Series};
use super::target::Target;
use super::watch::Discovery;
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// Digits after the point of a figure.
const DIGITS: f64 = 1e6;

/// What a run showed.
pub struct Summary<'a> {
    /// The target's figures.
    pub target: &'a Target,
    /// All curves.
    pub series: Vec<Series>,
    /// What was found.
    pub findings: Findings,
    /// The watch of discovery.
    pub discovery: Discovery,
    /// The runs beside real processes.
    pub real: Vec<RealFigures>,
    /// What a cut region could use with the tree.
    pub cut_hour_used: Option<f64>,
    /// And with the star.
    pub cut_hour_used_before: Option<f64>,
}

/// Curves through the measured values, each by what it grows with. Values of one size only make none; that is noted.
pub fn series(findings: &mut Findings) -> Vec<Series> {
    let mut groups = BTreeMap::new();
    for m in &findings.measured {
        let key = (m.design, m.part, m.role, m.event, m.quantity, m.against);
        groups.entry(key).or_insert_with(Vec::new).push(Point { at: m.at, value: m.value });
    }
    let (mut all, mut single) = (Vec::new(), 0);
    for ((design, part, role, event, quantity, against), mut points) in groups {
        points.sort_by(|one, other| one.at.total_cmp(&other.at));
        let Some(fit) = Fit::best(&points) else {
            single += 1;
            continue;
        };
        all.push(Series { design, part, role, event: event.into(), quantity, against, points, fit });
    }
    if single > 0 {
        findings.not_reached.push(format!("{single} quantities were measured at one size only: no curve"));
    }
    all
}

/// A value at a size: as measured, else by the curve. The second: whether it is extrapolated.
pub fn value_at(series: &Series, size: f64) -> (f64, bool) {
    let measured = series.points.iter().find(|point| point.at == size);
    measured.map_or_else(|| (series.fit.at(size), true), |point| (point.value, false))
}

/// A curve's name in words.
pub fn series_label(series: &Series) -> String {
    let word = |value: Result<Value, serde_json::Error>| {
        value.ok().and_then(|value| value.as_str().map(str::to_owned)).unwrap_or_default()
    };
    [
        word(serde_json::to_value(series.design)),
        word(serde_json::to_value(series.part)),
        word(serde_json::to_value(series.role)),
        word(serde_json::to_value(series.quantity)),
        series.event.clone(),
    ]
    .join(" ")
}

impl Summary<'_> {
    fn limit(&self, quantity: Quantity) -> Option<f64> {
        let control = &self.target.control;
        match quantity {
            Quantity::BytesIn | Quantity::BytesOut => Some(control.bytes_per_s),
            Quantity::CoreShare => Some(control.core),
            Quantity::MemoryBytes => Some(control.megabytes * 1e6),
            _ => None,
        }
    }

    /// The largest ratio of need to limit at the target, with its name, among the shared control of a layout.
    fn worst(&self, design: Design) -> Option<(f64, String)> {
        let size = f64::from(self.target.fleet.proxies);
        let shared = |s: &&Series| s.design == design && matches!(s.part, Part::Budgets | Part::Zones);
        let present = |s: &&Series| !s.event.ends_with("_incremental_division");
        let ratio = |s: &Series| {
            let limit = self.limit(s.quantity)?;
            Some((value_at(s, size).0 / limit, series_label(s)))
        };
        let all = self.series.iter().filter(shared).filter(present).filter_map(ratio);
        all.max_by(|one, other| one.0.total_cmp(&other.0))
    }

    /// The largest value of the tree at the target, of any role in any event.
    fn most(&self, quantities: &[Quantity]) -> Option<f64> {
        let size = f64::from(self.target.fleet.proxies);
        let tree = |s: &&Series| s.design == Design::Tree && quantities.contains(&s.quantity);
        self.series.iter().filter(tree).map(|s| value_at(s, size).0).max_by(f64::total_cmp)
    }

    /// The largest fleet of the tree that was measured at rest.
    fn hollow_most(&self) -> Option<f64> {
        let rest = |s: &&Series| s.design == Design::Tree && s.role == Role::Proxy && s.event == "rest";
        let points = self.series.iter().filter(rest).flat_map(|s| &s.points);
        points.map(|point| point.at).max_by(f64::total_cmp)
    }

    /// Of real over virtual bytes the ratio that is furthest from 1, of any role and size.
    fn real_over_virtual(&self) -> Option<f64> {
        let ratios = |r: &RealFigures| [Some(r.bytes_ratio), r.process_bytes_ratio, r.grantor_bytes_ratio];
        let off = |ratio: &f64| (ratio - 1.0).abs();
        let all = self.real.iter().flat_map(ratios).flatten().filter(|ratio| ratio.is_finite());
        all.max_by(|one, other| off(one).total_cmp(&off(other)))
    }

    /// The figures of the last line; null for what was not reached.
    pub fn figures(&self) -> Map<String, Value> {
        let watch = &self.discovery.watch;
        let with = |need: Option<f64>, watch: f64| need.map(|need| need + watch);
        let before = self.worst(Design::Star);
        let after = self.worst(Design::Tree);
        let residual = self.series.iter().map(|s| s.fit.residual).max_by(f64::total_cmp);
        let real_processes = self.real.iter().map(|r| f64::from(r.real_processes)).min_by(f64::total_cmp);
        let memory = self.most(&[Quantity::MemoryBytes]);
        let numbers = [
            ("hollow_most", self.hollow_most()),
            ("real_processes", real_processes),
            ("real_over_virtual_bytes", self.real_over_virtual()),
            ("fit_residual_most", residual),
            ("memory_gb_most", memory_most()),
            ("proxy_bytes_s", with(self.most(&[Quantity::BytesIn, Quantity::BytesOut]), watch.bytes_in)),
            ("proxy_core", with(self.most(&[Quantity::CoreShare]), watch.core)),
            ("proxy_mb", with(memory, watch.memory).map(|bytes| bytes / 1e6)),
            // The leaders of a tree are proxies themselves: none of the machines set aside is used.
            ("control_machines", self.hollow_most().map(|_| 0.0)),
            ("worst_ratio_before", before.as_ref().map(|(ratio, _)| *ratio)),
            ("worst_ratio_after", after.as_ref().map(|(ratio, _)| *ratio)),
            ("overshoot", Some(self.findings.overshoot as f64)),
            ("rules_broken", Some(self.findings.broken.len() as f64)),
            ("cut_hour_used", self.cut_hour_used),
            ("cut_hour_used_before", self.cut_hour_used_before),
            ("purge_everywhere_s_p99", self.discovery.purge_everywhere),
            ("config_everywhere_s_p99", None),
        ];
        let number = |value: f64| Value::from((value * DIGITS).round() / DIGITS);
        let mut figures: Map<String, Value> = numbers
            .into_iter()
            .map(|(name, value)| {
                (name.to_owned(), value.filter(|v| v.is_finite()).map_or(Value::Null, number))
            })
            .collect();
        figures.insert("worst_before".into(), before.map_or(Value::Null, |(_, name)| name.into()));
        figures
    }
}

/// The most memory that this process had resident so far, in 10^9 bytes.
fn memory_most() -> Option<f64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kilobytes: f64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kilobytes * 1_024.0 / 1e9)
}
