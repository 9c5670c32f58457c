//! Which run, which target and which inputs the page is made from.
use super::inputs::Inputs;
use super::measured::Measured;
use super::page::Section;
use super::table::Table;
use super::units::{bits, bytes, core, number, or_missing, NOT_MEASURED};
use serde_json::Value;

/// The texts of the files that the page is made from.
#[derive(Clone, Copy, Debug)]
pub struct Sources<'a> {
    /// The target file.
    pub target: &'a str,
    /// The run's report.
    pub report: &'a str,
    /// The other inputs.
    pub inputs: &'a str,
}

/// FNV-1a, 64 bits: tells that a file has changed, no more.
fn checksum(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(PRIME))
}

/// The run: its commit, its length, what it did not reach, and checksums of all that the page is made from.
pub fn section(measured: &Measured, sources: Sources) -> Section {
    let report = measured.report;
    let recorded = !report.commit.is_empty();
    let commit = if recorded { report.commit.as_str() } else { NOT_MEASURED };
    let mut table = Table::new(&["what", "value"]);
    table.row(["commit", commit]);
    table.row(["seconds that the run took".into(), or_missing(recorded.then_some(report.seconds), number)]);
    table.row(["series".into(), report.series.len().to_string()]);
    for (file, text) in [
        ("`deploy/target.toml`", sources.target),
        ("`docs/capacity.json`", sources.report),
        ("`docs/capacity-inputs.toml`", sources.inputs),
    ] {
        table.row([format!("checksum of {file}"), format!("{:016x}", checksum(text))]);
    }
    report.not_reached.iter().for_each(|what| table.row(["not reached", what.as_str()]));
    Section { name: "run", text: table.text() }
}

/// The figures of the run's last line.
pub fn figures(measured: &Measured) -> Section {
    let mut table = Table::new(&["figure", "value"]);
    for (name, value) in &measured.report.figures {
        let value = match value {
            Value::Null => NOT_MEASURED.into(),
            Value::Number(figure) => or_missing(figure.as_f64(), number),
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        table.row([format!("`{name}`"), value]);
    }
    Section { name: "figures", text: table.text() }
}

/// The target.
pub fn target(measured: &Measured) -> Section {
    let target = measured.target;
    let (fleet, failures) = (&target.fleet, &target.failures);
    let mut table = Table::new(&["of the target", "value"]);
    let mut row = |what: &str, value: String| table.row([what.to_owned(), value]);
    row("steering proxies", number(fleet.proxies.into()));
    row("sites", number(fleet.sites.into()));
    row("cache servers", number(fleet.caches.into()));
    row("regions", number(fleet.regions.into()));
    row("zones", number(fleet.zones.into()));
    row("requests a second, at the peak", number(target.load.requests_per_s));
    row("bits a second, at the peak", bits(target.load.bits_per_s));
    row("objects", number(target.load.objects));
    row("purges a second", number(target.purges.per_s));
    row("seconds until a purge is done everywhere", number(target.purges.everywhere_s));
    row("changes of configuration a day", number(target.changes.per_day));
    row("seconds until a change is in force everywhere", number(target.changes.everywhere_s));
    row("burst of changes, over their mean rate", number(target.changes.burst));
    row("control, processor time of a proxy", core(target.control.core));
    row("control, memory of a proxy", bytes(target.control.megabytes * super::roles::MEGABYTE));
    row("control, bytes of a proxy a second, in and out each", bytes(target.control.bytes_per_s));
    row("machines set aside for control", number(target.control.machines.into()));
    row("machines that fail a day", number(failures.machines_per_day));
    row("proxies restarted or replaced a day", number(failures.restarts_per_day));
    row("proxies of a rack or switch", number(failures.rack.into()));
    row("proxies of a zone", number(failures.zone.into()));
    row("seconds for which regions lose each other", number(failures.cut_s));
    Section { name: "target", text: table.text() }
}

/// The inputs that no run gives, each with its source.
pub fn inputs(inputs: &Inputs) -> Section {
    let mut table = Table::new(&["input", "value", "source"]);
    for (name, input) in inputs.all() {
        table.row([format!("`{name}`"), or_missing(input.value, number), input.source.clone()]);
    }
    Section { name: "inputs", text: table.text() }
}
