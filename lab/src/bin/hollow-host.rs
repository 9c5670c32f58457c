//! Hosts hollow proxies and measures them beside real processes. A run starts `hollow-host host JOB`;
//! `hollow-host measure PROGRAM SECONDS SIZE...` prints the figures of each size as one line of JSON.
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;
use threadward_lab::scale::real::{host, run, CoordinatorKind, HostCommand, RealRun};

/// Smallest number of proxies for which two hosts are used.
const TWO_HOSTS_FROM: u16 = 1_000;

fn main() -> ExitCode {
    let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    let mode = arguments.first().and_then(|word| word.to_str());
    let done = match (mode, arguments.get(1..).unwrap_or_default()) {
        (Some("host"), rest) => host(rest.iter().cloned()),
        (Some("measure"), [program, seconds, sizes @ ..]) => measure(program, seconds, sizes),
        _ => Err("usage: hollow-host host JOB | measure PROGRAM SECONDS SIZE...".into()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(line) => {
            eprintln!("hollow-host: {line}");
            ExitCode::FAILURE
        }
    }
}

/// Parses a number of an argument.
fn number<T: std::str::FromStr>(word: &OsString) -> Result<T, String> {
    let parsed = word.to_str().and_then(|text| text.parse().ok());
    parsed.ok_or_else(|| format!("'{}' is not a valid number", word.display()))
}

/// Measures each size, first with hollow proxies as dividers and then with real ones, and prints the figures.
fn measure(program: &OsString, seconds: &OsString, sizes: &[OsString]) -> Result<(), String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    for (size, coordinator) in
        sizes.iter().flat_map(|size| [(size, CoordinatorKind::Hollow), (size, CoordinatorKind::Real)])
    {
        let proxies = number(size)?;
        let settings = RealRun {
            program: PathBuf::from(program),
            host: HostCommand { program: own.clone(), arguments: vec!["host".into()] },
            hosts: if proxies < TWO_HOSTS_FROM { 1 } else { 2 },
            proxies,
            coordinator,
            seconds: number(seconds)?,
        };
        let figures = run(&settings)?;
        println!("{}", serde_json::to_string(&figures).map_err(|error| error.to_string())?);
    }
    Ok(())
}
