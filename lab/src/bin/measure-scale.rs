//! Measures the control code of fleets up to the target's size (`make measure-scale`). The last line of the
//! output is a JSON object. The program exits with 1 if a rule was violated or a sum exceeded its whole.
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use threadward_lab::scale::report::Report;
use threadward_lab::scale::run::{run, Options, RealPrograms};
use threadward_lab::scale::summary::{series_label, value_at};
use threadward_lab::scale::target::Target;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const USAGE: &str = "usage: measure-scale [--small] [--seed N] [--write FILE]";

/// Returns the number of bytes that are currently allocated.
fn allocated() -> i64 {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated as i64 - stats.bytes_deallocated as i64
}

/// Returns the options of the command line, and the file to write the report to.
fn options() -> Result<(Options, Option<PathBuf>), String> {
    let mut options = Options { seed: 1, memory_probe: Some(allocated), ..Options::default() };
    options.commit = std::env::var("COMMIT").unwrap_or_default();
    options.real = real_programs();
    let (mut words, mut file) = (std::env::args().skip(1), None);
    while let Some(word) = words.next() {
        match word.as_str() {
            "--small" => options.small = true,
            "--seed" => {
                let seed = words.next().and_then(|seed| seed.parse().ok());
                options.seed = seed.ok_or("--seed: a whole number")?;
            }
            "--write" => file = Some(words.next().ok_or("--write: the name of a file")?.into()),
            _ => return Err(USAGE.into()),
        }
    }
    Ok((options, file))
}

/// Returns the programs that were built into the directory of this one, if both exist.
fn real_programs() -> Option<RealPrograms> {
    let own = std::env::current_exe().ok()?;
    let beside = |name: &str| Some(own.parent()?.join(name)).filter(|path| path.exists());
    Some(RealPrograms { program: beside("threadward")?, host: beside("hollow-host")? })
}

/// Prints the value of each series at the target's size.
fn print(report: &Report, target: &Target) {
    for series in &report.series {
        let size = match series.against {
            threadward_lab::scale::report::Variable::Proxies => f64::from(target.fleet.proxies),
            _ => series.points.last().map_or(0.0, |point| point.at),
        };
        let (value, extrapolated) = value_at(series, size);
        println!(
            "{}: {value:.6} at {size}{} ({:?}, residual {:.3}, {} sizes)",
            series_label(series),
            if extrapolated { ", extrapolated" } else { "" },
            series.fit.form,
            series.fit.residual,
            series.points.len()
        );
    }
    report.not_reached.iter().for_each(|what| println!("not reached: {what}"));
}

/// Writes the report to a file as JSON.
fn write(report: &Report, file: &Path) -> Result<(), String> {
    let text = serde_json::to_string_pretty(report).map_err(|error| error.to_string())?;
    std::fs::write(file, text + "\n").map_err(|error| format!("{}: {error}", file.display()))
}

/// Runs the measurement. Returns whether no rule was violated and no sum exceeded its whole.
fn measure() -> Result<bool, String> {
    let (options, file) = options()?;
    let target = Target::read(include_str!("../../../deploy/target.toml"))?;
    let report = run(&target, &options);
    print(&report, &target);
    if let Some(file) = file {
        write(&report, &file)?;
    }
    let held = ["overshoot", "rules_broken"].iter().all(|name| report.figures[*name] == 0.0);
    println!("{}", serde_json::Value::Object(report.figures));
    Ok(held)
}

fn main() -> ExitCode {
    match measure() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(line) => {
            eprintln!("measure-scale: {line}");
            ExitCode::from(2)
        }
    }
}
