//! Fits a measured quantity against what it grows with.
use super::report::Point;
use serde::{Deserialize, Serialize};

/// A form whose largest relative residual is at most this fits its points.
pub const FITTING_RESIDUAL: f64 = 0.1;

/// The form of a curve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Form {
    /// `base`
    Constant,
    /// `base + slope * n`
    Linear,
    /// `base + slope * n * log2(n)`
    NLogN,
    /// `base + slope * n * n`
    Quadratic,
}

impl Form {
    /// All forms, the simplest first.
    pub const ALL: [Form; 4] = [Form::Constant, Form::Linear, Form::NLogN, Form::Quadratic];

    /// What the slope is multiplied with at a size. Sizes under one have no logarithm to speak of: it counts as zero.
    fn growth(self, size: f64) -> f64 {
        match self {
            Form::Constant => 0.0,
            Form::Linear => size,
            Form::NLogN => size * size.max(1.0).log2(),
            Form::Quadratic => size * size,
        }
    }
}

/// A curve through measured points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// Its form.
    pub form: Form,
    /// The value at none.
    pub base: f64,
    /// What the form is multiplied with; 0 for a constant.
    pub slope: f64,
    /// The largest difference of a measured value from the curve, over the measured value.
    /// A value of zero is measured against the smallest other value.
    pub residual: f64,
}

impl Fit {
    /// The simplest form that fits: its largest relative residual is at most [`FITTING_RESIDUAL`]. Where none fits, the
    /// form with the smallest residual. `None` for fewer than two points or a non-finite one.
    pub fn best(points: &[Point]) -> Option<Fit> {
        let fits: Vec<Fit> = Form::ALL.iter().filter_map(|form| Fit::of(*form, points)).collect();
        let fitting = fits.iter().find(|fit| fit.residual <= FITTING_RESIDUAL);
        let closest = fits.iter().min_by(|one, other| one.residual.total_cmp(&other.residual));
        fitting.or(closest).copied()
    }

    /// The curve of one form, by least squares of the relative error, so that a small size counts as much as a large
    /// one. `None` for fewer than two points, a non-finite one, or sizes that do not tell a slope.
    pub fn of(form: Form, points: &[Point]) -> Option<Fit> {
        let finite = points.iter().all(|point| point.at.is_finite() && point.value.is_finite());
        if points.len() < 2 || !finite {
            return None;
        }
        // In one order, so that the rounding of the sums does not depend on the order of the points.
        let mut points = points.to_vec();
        points.sort_by(|one, other| one.at.total_cmp(&other.at).then(one.value.total_cmp(&other.value)));
        let scales = scales(&points);
        let (base, slope) = least_squares(form, &points, &scales)?;
        let mut fit = Fit { form, base, slope, residual: 0.0 };
        fit.residual = fit.largest_residual(&points, &scales);
        [fit.base, fit.slope, fit.residual].iter().all(|figure| figure.is_finite()).then_some(fit)
    }

    /// The value of the curve at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * self.form.growth(size)
    }

    fn largest_residual(&self, points: &[Point], scales: &[f64]) -> f64 {
        let relative = |(point, scale): (&Point, &f64)| (self.at(point.at) - point.value).abs() / scale;
        points.iter().zip(scales).map(relative).fold(0.0, |most, residual| {
            // Not `f64::max`, which passes over a value that is not a number.
            if residual > most || residual.is_nan() {
                residual
            } else {
                most
            }
        })
    }
}

/// What the error of each point is measured against: its own value. One that is zero is measured against the smallest
/// other value; where all are zero, against one.
fn scales(points: &[Point]) -> Vec<f64> {
    let magnitudes = points.iter().map(|point| point.value.abs());
    let smallest = magnitudes.clone().filter(|value| *value > 0.0).min_by(f64::total_cmp).unwrap_or(1.0);
    magnitudes.map(|value| if value > 0.0 { value } else { smallest }).collect()
}

/// Base and slope of the weighted least squares; `None` where the sizes do not tell a slope.
fn least_squares(form: Form, points: &[Point], scales: &[f64]) -> Option<(f64, f64)> {
    let weights: Vec<f64> = scales.iter().map(|scale| (scale * scale).recip()).collect();
    let total: f64 = weights.iter().sum();
    let mean = |figure: &dyn Fn(&Point) -> f64| {
        let weighted = points.iter().zip(&weights).map(|(point, weight)| weight * figure(point));
        weighted.sum::<f64>() / total
    };
    let mean_value = mean(&|point| point.value);
    if form == Form::Constant {
        return Some((mean_value, 0.0));
    }
    let mean_growth = mean(&|point| form.growth(point.at));
    let spread = mean(&|point| (form.growth(point.at) - mean_growth).powi(2));
    let common = mean(&|point| (form.growth(point.at) - mean_growth) * (point.value - mean_value));
    let slope = common / spread;
    (spread > 0.0).then_some((mean_value - slope * mean_growth, slope))
}
