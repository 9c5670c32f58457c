//! Formats figures for the page: three significant digits, decimal prefixes, thousands separators.

/// Text for a figure that was not measured.
pub const NOT_MEASURED: &str = "not measured";
/// Number of significant digits that a figure is rounded to.
const SIGNIFICANT_DIGITS: i32 = 3;
/// Smallest value that three significant digits round up to 1000, so that it takes the next prefix.
const MIN_ROUNDED_TO_THOUSAND: f64 = 999.5;

/// Formats a plain figure: from 100 up as a whole number with thousands separators, below that with three
/// significant digits. A non-finite figure counts as not measured.
pub fn number(value: f64) -> String {
    if !value.is_finite() {
        return NOT_MEASURED.into();
    }
    if value.abs() >= 100.0 {
        return separated(value);
    }
    significant(value)
}

/// Formats bytes with the prefix that leaves one to three digits before the decimal point.
pub fn bytes(value: f64) -> String {
    prefixed(value, "B")
}

/// Formats bits like [`bytes`].
pub fn bits(value: f64) -> String {
    prefixed(value, "bit")
}

/// Formats processor time: a percentage below one core, else a number of cores.
pub fn core(share: f64) -> String {
    match share {
        share if share < 1.0 => format!("{}%", significant(share * 100.0)),
        1.0 => "1 core".into(),
        _ => format!("{} cores", number(share)),
    }
}

/// Formats a figure that may be missing.
pub fn or_missing(value: Option<f64>, write: impl Fn(f64) -> String) -> String {
    value.map_or_else(|| NOT_MEASURED.into(), write)
}

/// Formats a value with a decimal prefix before its unit.
fn prefixed(value: f64, unit: &str) -> String {
    const PREFIXES: [&str; 6] = ["", "K", "M", "G", "T", "P"];
    let mut value = value;
    let mut power = 0;
    while value.abs() >= MIN_ROUNDED_TO_THOUSAND && power + 1 < PREFIXES.len() {
        value /= 1000.0;
        power += 1;
    }
    format!("{} {}{unit}", significant(value), PREFIXES[power])
}

/// Formats a value with three significant digits and without trailing zeros.
fn significant(value: f64) -> String {
    if value == 0.0 {
        return "0".into();
    }
    let magnitude = value.abs().log10().floor() as i32;
    let decimals = (SIGNIFICANT_DIGITS - 1 - magnitude).clamp(0, 12) as usize;
    let text = format!("{value:.decimals$}");
    if text.contains('.') {
        text.trim_end_matches('0').trim_end_matches('.').to_owned()
    } else {
        text
    }
}

/// Formats a value as a whole number with thousands separators.
fn separated(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut text = String::new();
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    if value < 0.0 {
        format!("-{text}")
    } else {
        text
    }
}
