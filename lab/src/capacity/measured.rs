//! The figures of a scale run at the size of the target.
use crate::scale::fit::Fit;
use crate::scale::report::{Design, Part, Point, Quantity, Report, Role, Series, Variable};
use crate::scale::target::Target;

/// Name of the event of a fleet to which nothing happens.
pub const REST: &str = "rest";
/// Maximum relative distance between a curve of the report and the curve fitted to its points. Figures are
/// rounded when they are written.
const MAX_ROUNDING_ERROR: f64 = 0.01;

/// The value of one quantity at the target's size.
#[derive(Clone, Copy, Debug)]
pub struct Reading<'a> {
    /// The series that it comes from.
    pub series: &'a Series,
    /// The value: as measured if the series has that very size, else by its curve, and never below zero.
    pub value: f64,
    /// The target's size in the variable of the series.
    pub size: f64,
}

impl Reading<'_> {
    /// Returns the measured size nearest to the target's if the target lies outside of the measured range.
    pub fn extrapolated_from(&self) -> Option<f64> {
        let (smallest, largest) = self.measured_range();
        let below = (self.size < smallest).then_some(smallest);
        let above = (self.size > largest).then_some(largest);
        below.or(above)
    }

    /// Returns the smallest and the largest measured size.
    pub fn measured_range(&self) -> (f64, f64) {
        let sizes = self.series.points.iter().map(|point| point.at);
        (sizes.clone().fold(f64::INFINITY, f64::min), sizes.fold(f64::NEG_INFINITY, f64::max))
    }
}

/// The report of a scale run and the target that it is compared with.
#[derive(Clone, Copy, Debug)]
pub struct Measured<'a> {
    /// The report of the run.
    pub report: &'a Report,
    /// The target.
    pub target: &'a Target,
}

impl<'a> Measured<'a> {
    /// Combines a report with a target.
    ///
    /// # Errors
    /// Returns an error if a series has no points or its curve is not the one fitted to its points.
    pub fn new(report: &'a Report, target: &'a Target) -> Result<Measured<'a>, String> {
        for (index, series) in report.series.iter().enumerate() {
            if series.points.is_empty() {
                return Err(format!("series {index} has no points"));
            }
            if !is_curve_of_points(series) {
                return Err(format!("series {index}: its curve is not that of its points"));
            }
        }
        Ok(Measured { report, target })
    }

    /// Returns the target's size in a variable.
    pub fn size(&self, variable: Variable) -> f64 {
        match variable {
            Variable::Proxies => self.target.fleet.proxies.into(),
            Variable::Caches => self.target.fleet.caches.into(),
            Variable::Regions => self.target.fleet.regions.into(),
            Variable::PurgesPerSecond => self.target.purges.per_s,
            Variable::ChangesPerDay => self.target.changes.per_day,
            Variable::RequestsPerSecond => self.target.load.requests_per_s,
        }
    }

    /// Returns the value of a series at the target's size.
    pub fn reading(&self, series: &'a Series) -> Reading<'a> {
        let size = self.size(series.against);
        let exact = series.points.iter().filter(|point| point.at == size).map(|point| point.value);
        let value = exact.reduce(f64::max).unwrap_or_else(|| series.fit.at(size));
        Reading { series, value: value.max(0.0), size }
    }

    /// Returns all readings of a role in a part of a design.
    pub fn readings(&self, design: Design, part: Part, role: Role) -> impl Iterator<Item = Reading<'a>> + 'a {
        let measured = *self;
        let wanted = (design, part, role);
        let series = self.report.series.iter();
        series
            .filter(move |series| (series.design, series.part, series.role) == wanted)
            .map(move |series| measured.reading(series))
    }

    /// Returns a figure of the run's last line.
    pub fn figure(&self, name: &str) -> Option<f64> {
        self.report.figures.get(name).and_then(serde_json::Value::as_f64)
    }
}

/// Returns whether the curve is the one that [`Fit::best`] gives, apart from rounding. A single point has no
/// curve to check.
fn is_curve_of_points(series: &Series) -> bool {
    let Some(best) = Fit::best(&series.points) else { return series.points.len() == 1 };
    let alike = |point: &Point| {
        let (stored, best) = (series.fit.at(point.at), best.at(point.at));
        (stored - best).abs() <= MAX_ROUNDING_ERROR * stored.abs().max(best.abs())
    };
    series.fit.form == best.form && series.points.iter().all(alike)
}

/// Returns the largest reading of a quantity, in one event or in any.
pub fn largest<'a>(readings: &[Reading<'a>], quantity: Quantity, event: Option<&str>) -> Option<Reading<'a>> {
    let wanted = readings.iter().filter(|reading| reading.series.quantity == quantity);
    let wanted = wanted.filter(|reading| event.is_none_or(|event| reading.series.event == event));
    wanted.max_by(|one, other| one.value.total_cmp(&other.value)).copied()
}
