//! Reads the settings text of `OpenInstance`: JSON, in which a missing or unknown key is normal.
//!
//! Every number is limited to a range, whatever was written: it is never negative, and small enough that its
//! sum with a time of the clock does not overflow.
use crate::WireError;
use nickelgate::{Class, DedupGroup, Effect, ReportColumns, Settings, Siblings, WeightSource};
use serde_json::Value;

/// Largest number in the settings. As a time in microseconds it is eleven days, longer than anything is
/// waited for.
const MAX_NUMBER: f64 = 1e12;
/// Smallest target latency, in microseconds. A shorter one, far below any round trip, would have attempts
/// checked without pause.
const MIN_TARGET_LATENCY_MICROS: u64 = 1_000;
/// A lower transfer rate counts as not given.
const MIN_TRANSFER_KB_PER_S: f64 = 1e-3;
/// Upper limit of the setting for attempts per request: the wire numbers attempts in 16 bits.
const MAX_ATTEMPTS: u64 = 1_000;

/// Returns a number limited to its range, or zero for a value that is not a number.
fn limited_number(v: &Value) -> f64 {
    v.as_f64().map_or(0.0, |x| x.clamp(0.0, MAX_NUMBER))
}

/// Returns the number at `key`, limited to its range, or zero.
fn number(v: &Value, key: &str) -> f64 {
    v.get(key).map_or(0.0, limited_number)
}

/// Returns the whole part of the number at `key`: a time in microseconds or a count.
fn integer(v: &Value, key: &str) -> u64 {
    number(v, key) as u64
}

/// Returns the flag at `key`, or false.
fn flag(v: &Value, key: &str) -> bool {
    v.get(key).and_then(Value::as_bool).unwrap_or(false)
}

/// Returns the string at `key`, or an empty one.
fn string<'a>(v: &'a Value, key: &str) -> &'a str {
    v.get(key).and_then(Value::as_str).unwrap_or("")
}

/// Returns element `i` of the array at `key`, or null.
fn element<'a>(v: &'a Value, key: &str, i: usize) -> &'a Value {
    v.get(key).and_then(|a| a.get(i)).unwrap_or(&Value::Null)
}

/// Returns the kind of member at `key`, or `None` if it is not a whole number of 8 bits.
fn member_kind(v: &Value, key: &str) -> Option<u8> {
    let k = v.get(key).and_then(Value::as_f64).filter(|k| k.fract() == 0.0 && (0.0..=255.0).contains(k));
    k.map(|k| k as u8)
}

/// Reads class number `i`. `family` is the part `family_info`, which holds further settings of classes by
/// number.
fn class(c: &Value, i: usize, family: &Value) -> Class {
    let deadline = integer(c, "hard_limit");
    Class {
        // Without a target, an answer has its full value until the deadline.
        target_latency: Some(integer(c, "aim"))
            .filter(|a| *a > 0)
            .unwrap_or(deadline)
            .max(MIN_TARGET_LATENCY_MICROS),
        target_stretch: number(c, "aim_stretch"),
        deadline,
        value: number(c, "importance"),
        late_value: number(c, "late_value"),
        effect: match string(c, "effect") {
            "dedup" => Effect::Dedup,
            "retryable" => Effect::Retryable,
            _ => Effect::NotRetryable,
        },
        dedup_group: match string(c, "group") {
            "all" => DedupGroup::All,
            "zone" => DedupGroup::Zone,
            _ => DedupGroup::Cell,
        },
        dedup_window: integer(c, "dedup_window"),
        streaming: flag(c, "streaming"),
        fresh_for: limited_number(element(family, "class_fresh", i)) as u64,
        max_staleness: limited_number(element(family, "grace_for", i)) as u64,
        stale_value: limited_number(element(family, "stale_earns", i)),
        in_parts: element(family, "in_parts", i).as_bool().unwrap_or(false),
        pass_through: element(family, "pass_on", i).as_bool().unwrap_or(false),
    }
}

/// Reads the settings text.
///
/// # Errors
/// If the text is not a JSON object.
pub fn parse_settings(text: &[u8]) -> Result<Settings, WireError> {
    let v: Value =
        serde_json::from_slice(text).map_err(|e| WireError(format!("settings are not JSON: {e}")))?;
    if !v.is_object() {
        return Err(WireError("settings are not a JSON object".into()));
    }
    let null = Value::Null;
    let part = |key: &str| v.get(key).unwrap_or(&null);
    let (family, limits, rules, report) =
        (part("family_info"), part("limits"), part("rules"), part("report"));
    let classes = part("classes").as_array().map(Vec::as_slice).unwrap_or_default();
    let columns = report.get("columns").and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    let column = |name: &str| columns.iter().position(|c| c.as_str() == Some(name));
    let reported_notes = string(family, "tells");
    let router_counts =
        family.get("count_by_zone").and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    // The sum of the counts has to fit into 32 bits.
    let max_routers = f64::from(u32::MAX) / router_counts.len().max(1) as f64;
    Ok(Settings {
        classes: classes.iter().enumerate().map(|(i, c)| class(c, i, family)).collect(),
        zone: u16::try_from(integer(&v, "zone")).unwrap_or(u16::MAX),
        routers_by_zone: router_counts.iter().map(|n| limited_number(n).min(max_routers) as u32).collect(),
        parent_kind: member_kind(family, "mid_kind"),
        origin_kind: member_kind(family, "store_kind"),
        direct: flag(family, "direct"),
        siblings: match string(family, "sideways") {
            "location" => Siblings::Location,
            "any" => Siblings::Any,
            _ => Siblings::Off,
        },
        fill_joining: flag(family, "collapses"),
        all_notes_reported: reported_notes == "all",
        hits_reported: reported_notes == "all" || reported_notes == "hit",
        transfer_kb_per_s: Some(number(family, "one_flow_kb_per_s"))
            .filter(|f| *f >= MIN_TRANSFER_KB_PER_S)
            .unwrap_or(0.0),
        weight_source: match string(&v, "weight_source") {
            "nominal" => WeightSource::Nominal,
            "rough" => WeightSource::Rough,
            "live" => WeightSource::Live,
            _ => WeightSource::Off,
        },
        purge_complete_after: integer(family, "cleared_within"),
        purge_grace: integer(family, "purge_slack"),
        drain_grace: integer(rules, "drain_grace"),
        cold_start_share: number(rules, "cold_from"),
        cold_period: integer(rules, "cold"),
        overload_multiple: number(rules, "fall_multiple"),
        overload_tolerance: integer(rules, "fall"),
        parent_cold_start_share: number(family, "parent_starts_at"),
        parent_cold_period: integer(family, "parent_ramp"),
        parent_overload_multiple: number(family, "upper_fall_multiple"),
        origin_overload_multiple: number(family, "origin_fall_multiple"),
        max_attempts: integer(limits, "most_tries").min(MAX_ATTEMPTS) as u32,
        parallel_attempts: flag(limits, "parallel_tries"),
        cancel: flag(limits, "cancel"),
        probes: flag(limits, "probes"),
        retry_after: flag(limits, "retry_after"),
        max_retry_after: integer(limits, "max_retry_after"),
        retries_marked: flag(part("clients"), "marks_retry"),
        list_on_request: string(&v, "discovery") == "on_request",
        max_list_age: integer(rules, "ask_every"),
        min_event_interval: integer(&v, "tick"),
        answer_slack: integer(rules, "answer_slack"),
        columns: ReportColumns {
            active: column("active"),
            cpu: column("cpu"),
            hit_share: column("x0"),
            link_load: column("x1"),
        },
        reports_inline: string(report, "how") == "inline",
    })
}
