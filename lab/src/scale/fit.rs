//! Fits a measured quantity against what it grows with.
use serde::{Deserialize, Serialize};

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
    pub residual: f64,
}
