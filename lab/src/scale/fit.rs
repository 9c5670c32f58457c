//! Fits a curve to a measured quantity as a function of the variable that it grows with.
use super::report::Point;
use serde::{Deserialize, Serialize};

/// Largest relative residual at which a form counts as fitting its points.
pub const MAX_FITTING_RESIDUAL: f64 = 0.1;

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

    /// Returns the factor of the slope at a size. The logarithm of a size below 1 would be negative; it
    /// counts as 0.
    fn growth(self, size: f64) -> f64 {
        match self {
            Form::Constant => 0.0,
            Form::Linear => size,
            Form::NLogN => size * size.max(1.0).log2(),
            Form::Quadratic => size * size,
        }
    }
}

/// A curve fitted to measured points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The form of the curve.
    pub form: Form,
    /// The constant term.
    pub base: f64,
    /// The factor of the growing term; 0 for a constant.
    pub slope: f64,
    /// The largest distance of a measured value from the curve, divided by the measured value. For a value of
    /// zero the smallest other value is the divisor.
    pub residual: f64,
}

impl Fit {
    /// Returns the curve of the simplest form that fits, which is one whose largest relative residual is at
    /// most [`MAX_FITTING_RESIDUAL`]. If none fits, returns the curve with the smallest residual. Returns
    /// `None` for fewer than two points or a non-finite one.
    pub fn best(points: &[Point]) -> Option<Fit> {
        let fits: Vec<Fit> = Form::ALL.iter().filter_map(|form| Fit::of(*form, points)).collect();
        let fitting = fits.iter().find(|fit| fit.residual <= MAX_FITTING_RESIDUAL);
        let closest = fits.iter().min_by(|one, other| one.residual.total_cmp(&other.residual));
        fitting.or(closest).copied()
    }

    /// Returns the curve of one form, by least squares of the relative error, so that a small size counts as
    /// much as a large one. Returns `None` for fewer than two points, a non-finite one, or sizes that do not
    /// determine a slope.
    pub fn of(form: Form, points: &[Point]) -> Option<Fit> {
        let finite = points.iter().all(|point| point.at.is_finite() && point.value.is_finite());
        if points.len() < 2 || !finite {
            return None;
        }
        // Sorted, so that the rounding of the sums does not depend on the order in which the points are
        // given.
        let mut points = points.to_vec();
        points.sort_by(|one, other| one.at.total_cmp(&other.at).then(one.value.total_cmp(&other.value)));
        let scales = error_scales(&points);
        let (base, slope) = least_squares(form, &points, &scales)?;
        let mut fit = Fit { form, base, slope, residual: 0.0 };
        fit.residual = fit.largest_residual(&points, &scales);
        [fit.base, fit.slope, fit.residual].iter().all(|figure| figure.is_finite()).then_some(fit)
    }

    /// Returns the value of the curve at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * self.form.growth(size)
    }

    /// Returns the largest relative residual, or NaN if one is NaN.
    fn largest_residual(&self, points: &[Point], scales: &[f64]) -> f64 {
        let relative = |(point, scale): (&Point, &f64)| (self.at(point.at) - point.value).abs() / scale;
        points.iter().zip(scales).map(relative).fold(0.0, |largest, residual| {
            // `f64::max` would ignore NaN.
            if residual > largest || residual.is_nan() {
                residual
            } else {
                largest
            }
        })
    }
}

/// Returns the divisor of each point's error: its own absolute value. For a value of zero it is the smallest
/// other absolute value, and 1 if all values are zero.
fn error_scales(points: &[Point]) -> Vec<f64> {
    let magnitudes = points.iter().map(|point| point.value.abs());
    let smallest = magnitudes.clone().filter(|value| *value > 0.0).min_by(f64::total_cmp).unwrap_or(1.0);
    magnitudes.map(|value| if value > 0.0 { value } else { smallest }).collect()
}

/// Returns base and slope by weighted least squares, or `None` if the sizes do not determine a slope.
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
    let variance = mean(&|point| (form.growth(point.at) - mean_growth).powi(2));
    let covariance = mean(&|point| (form.growth(point.at) - mean_growth) * (point.value - mean_value));
    let slope = covariance / variance;
    (variance > 0.0).then_some((mean_value - slope * mean_growth, slope))
}
