//! Writes figures as the page has them: three significant digits, powers of ten, separators of thousands.

/// What stands where nothing was measured.
pub const NOT_MEASURED: &str = "not measured";
/// Digits that a figure is rounded to.
const SIGNIFICANT: i32 = 3;
/// From here on a figure of three digits is written as a thousand.
const ROUNDS_TO_A_THOUSAND: f64 = 999.5;

/// A plain figure: whole and with separators from a hundred up, else three significant digits.
pub fn number(value: f64) -> String {
    if !value.is_finite() {
        return NOT_MEASURED.into();
    }
    if value.abs() >= 100.0 {
        return separated(value);
    }
    significant(value)
}

/// Bytes, with the prefix that leaves one to three digits before the point.
pub fn bytes(value: f64) -> String {
    prefixed(value, "B")
}

/// Bits, as [`bytes`].
pub fn bits(value: f64) -> String {
    prefixed(value, "bit")
}

/// A part of a core in percent up to one core, else a number of cores.
pub fn core(share: f64) -> String {
    match share {
        share if share < 1.0 => format!("{}%", significant(share * 100.0)),
        1.0 => "1 core".into(),
        _ => format!("{} cores", number(share)),
    }
}

/// A figure that may be missing.
pub fn or_missing(value: Option<f64>, write: impl Fn(f64) -> String) -> String {
    value.map_or_else(|| NOT_MEASURED.into(), write)
}

fn prefixed(value: f64, unit: &str) -> String {
    const PREFIXES: [&str; 6] = ["", "K", "M", "G", "T", "P"];
    let mut value = value;
    let mut power = 0;
    while value.abs() >= ROUNDS_TO_A_THOUSAND && power + 1 < PREFIXES.len() {
        value /= 1000.0;
        power += 1;
    }
    format!("{} {}{unit}", significant(value), PREFIXES[power])
}

fn significant(value: f64) -> String {
    if value == 0.0 {
        return "0".into();
    }
    let magnitude = value.abs().log10().floor() as i32;
    let decimals = (SIGNIFICANT - 1 - magnitude).clamp(0, 12) as usize;
    let text = format!("{value:.decimals$}");
    if text.contains('.') {
        text.trim_end_matches('0').trim_end_matches('.').to_owned()
    } else {
        text
    }
}

fn separated(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut text = String::new();
    for (place, digit) in digits.chars().enumerate() {
        if place > 0 && (digits.len() - place).is_multiple_of(3) {
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
