//! The settings text of `OpenInstance`: JSON, read leniently. A missing or unknown key is normal. It owns the bounds that
//! every figure keeps to, whatever was written: sums with a point on the clock must never pass the end of time, and no
//! figure is negative or beyond counting.
use crate::WireError;
use nickelgate::{Class, DedupGroup, Effect, ReportColumns, Settings, Siblings, WeightSource};
use serde_json::Value;

/// No figure is larger; as a time, in microseconds, it is eleven days: longer than anything that is waited for.
const MOST: f64 = 1e12;
/// A shorter aim, far under any round trip, would have attempts looked at without pause.
const LEAST_AIM: u64 = 1_000;
/// A slower transfer is taken as not told.
const LEAST_FLOW: f64 = 1e-3;
/// Attempts are numbered in 16 bits.
const MOST_ATTEMPTS: u64 = 1_000;

/// A figure as it can be reckoned with; what is none counts as zero.
fn figure(v: &Value) -> f64 {
    v.as_f64().map_or(0.0, |x| x.clamp(0.0, MOST))
}

fn num(v: &Value, key: &str) -> f64 {
    v.get(key).map_or(0.0, figure)
}

fn us(v: &Value, key: &str) -> u64 {
    num(v, key) as u64
}

fn flag(v: &Value, key: &str) -> bool {
    v.get(key).and_then(Value::as_bool).unwrap_or(false)
}

fn word<'a>(v: &'a Value, key: &str) -> &'a str {
    v.get(key).and_then(Value::as_str).unwrap_or("")
}

fn at<'a>(v: &'a Value, key: &str, i: usize) -> &'a Value {
    v.get(key).and_then(|a| a.get(i)).unwrap_or(&Value::Null)
}

fn kind(v: &Value, key: &str) -> Option<u8> {
    let k = v.get(key).and_then(Value::as_f64).filter(|k| k.fract() == 0.0 && (0.0..=255.0).contains(k));
    k.map(|k| k as u8)
}

fn class(c: &Value, i: usize, fam: &Value) -> Class {
    let deadline = us(c, "hard_limit");
    Class {
        // Where none is told, an answer earns its worth for as long as it is waited for.
        target_latency: Some(us(c, "aim")).filter(|a| *a > 0).unwrap_or(deadline).max(LEAST_AIM),
        target_stretch: num(c, "aim_stretch"),
        deadline,
        value: num(c, "importance"),
        late_value: num(c, "late_value"),
        effect: match word(c, "effect") {
            "dedup" => Effect::Dedup,
            "retryable" => Effect::Retryable,
            _ => Effect::NotRetryable,
        },
        dedup_group: match word(c, "group") {
            "all" => DedupGroup::All,
            "zone" => DedupGroup::Zone,
            _ => DedupGroup::Cell,
        },
        dedup_window: us(c, "dedup_window"),
        streaming: flag(c, "streaming"),
        fresh_for: figure(at(fam, "class_fresh", i)) as u64,
        max_staleness: figure(at(fam, "grace_for", i)) as u64,
        stale_value: figure(at(fam, "stale_earns", i)),
        in_parts: at(fam, "in_parts", i).as_bool().unwrap_or(false),
        pass_through: at(fam, "pass_on", i).as_bool().unwrap_or(false),
    }
}

/// Reads the settings text.
///
/// # Errors
/// When the text is not a JSON object.
pub fn parse_settings(text: &[u8]) -> Result<Settings, WireError> {
    let v: Value =
        serde_json::from_slice(text).map_err(|e| WireError(format!("settings are not JSON: {e}")))?;
    if !v.is_object() {
        return Err(WireError("settings are not a JSON object".into()));
    }
    let null = Value::Null;
    let part = |key: &str| v.get(key).unwrap_or(&null);
    let (fam, limits, rules, report) = (part("family_info"), part("limits"), part("rules"), part("report"));
    let classes = part("classes").as_array().map(Vec::as_slice).unwrap_or_default();
    let columns = report.get("columns").and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    let column = |name: &str| columns.iter().position(|c| c.as_str() == Some(name));
    let tells = word(fam, "tells");
    let counts = fam.get("count_by_zone").and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    // Their sum is reckoned in 32 bits.
    let most = f64::from(u32::MAX) / counts.len().max(1) as f64;
    Ok(Settings {
        classes: classes.iter().enumerate().map(|(i, c)| class(c, i, fam)).collect(),
        zone: u16::try_from(us(&v, "zone")).unwrap_or(u16::MAX),
        routers_by_zone: counts.iter().map(|n| figure(n).min(most) as u32).collect(),
        parent_kind: kind(fam, "mid_kind"),
        origin_kind: kind(fam, "store_kind"),
        direct: flag(fam, "direct"),
        siblings: match word(fam, "sideways") {
            "location" => Siblings::Location,
            "any" => Siblings::Any,
            _ => Siblings::Off,
        },
        fill_joining: flag(fam, "collapses"),
        all_notes_reported: tells == "all",
        hits_reported: tells == "all" || tells == "hit",
        transfer_kb_per_s: Some(num(fam, "one_flow_kb_per_s")).filter(|f| *f >= LEAST_FLOW).unwrap_or(0.0),
        weight_source: match word(&v, "weight_source") {
            "nominal" => WeightSource::Nominal,
            "rough" => WeightSource::Rough,
            "live" => WeightSource::Live,
            _ => WeightSource::Off,
        },
        purge_complete_after: us(fam, "cleared_within"),
        purge_grace: us(fam, "purge_slack"),
        drain_grace: us(rules, "drain_grace"),
        cold_start_share: num(rules, "cold_from"),
        cold_period: us(rules, "cold"),
        overload_multiple: num(rules, "fall_multiple"),
        overload_tolerance: us(rules, "fall"),
        parent_cold_start_share: num(fam, "parent_starts_at"),
        parent_cold_period: us(fam, "parent_ramp"),
        parent_overload_multiple: num(fam, "upper_fall_multiple"),
        origin_overload_multiple: num(fam, "origin_fall_multiple"),
        max_attempts: us(limits, "most_tries").min(MOST_ATTEMPTS) as u32,
        parallel_attempts: flag(limits, "parallel_tries"),
        cancel: flag(limits, "cancel"),
        probes: flag(limits, "probes"),
        retry_after: flag(limits, "retry_after"),
        max_retry_after: us(limits, "max_retry_after"),
        retries_marked: flag(part("clients"), "marks_retry"),
        list_on_request: word(&v, "discovery") == "on_request",
        max_list_age: us(rules, "ask_every"),
        min_event_interval: us(&v, "tick"),
        answer_slack: us(rules, "answer_slack"),
        columns: ReportColumns {
            active: column("active"),
            cpu: column("cpu"),
            hit_share: column("x0"),
            link_load: column("x1"),
        },
        reports_inline: word(report, "how") == "inline",
    })
}
