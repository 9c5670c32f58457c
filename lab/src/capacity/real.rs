//! What real processes on sockets showed beside the same fleet in virtual time.
use super::measured::Measured;
use super::page::Section;
use super::table::Table;
use super::units::{core, number, or_missing};
use crate::scale::real::{CoordinatorKind, RealFigures};

const HEADING: [&str; 10] = [
    "proxies",
    "the one that divides",
    "bytes of an ordinary proxy, real over virtual",
    "bytes of a real process, real over virtual",
    "bytes of the one that divides, real over virtual",
    "its processor time, real",
    "in virtual time",
    "in virtual time at the pace of real time",
    "elections; datagrams lost; latest call of a host in ms",
    "notes",
];

/// A row for each run.
pub fn section(measured: &Measured) -> Section {
    let mut table = Table::new(&HEADING);
    measured.report.real.iter().for_each(|run| table.row(row(run)));
    Section { name: "real", text: table.text() }
}

fn row(run: &RealFigures) -> [String; HEADING.len()] {
    let divider = match run.coordinator {
        CoordinatorKind::Hollow => "hollow",
        CoordinatorKind::Real => "a real process, all that it takes beyond the others",
    };
    [
        number(run.size.into()),
        divider.into(),
        number(run.bytes_ratio),
        or_missing(run.process_bytes_ratio, number),
        or_missing(run.grantor_bytes_ratio, number),
        or_missing(run.grantor_core_real, core),
        core(run.grantor_core_virtual),
        core(run.grantor_core_paced),
        format!("{}; {}; {}", run.elections, run.lost, number(run.latest_ms)),
        run.notes.join("; "),
    ]
}
