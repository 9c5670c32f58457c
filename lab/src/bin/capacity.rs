//! Writes the tables of `docs/CAPACITY.md` (`make capacity`). With `--check` it writes nothing and exits with
//! 1 if a table doesn't match `docs/capacity.json`, `deploy/target.toml` and `docs/capacity-inputs.toml`. An
//! argument names the folder to use instead of the working directory.
use std::path::Path;
use std::process::ExitCode;
use threadward_lab::capacity::{CapacityError, Files};

const USAGE: &str = "usage: capacity [--check] [FOLDER]";

fn main() -> ExitCode {
    let mut check = false;
    let mut folder = None;
    for argument in std::env::args().skip(1) {
        if argument == "--check" {
            check = true;
        } else if argument.starts_with('-') || folder.replace(argument).is_some() {
            eprintln!("{USAGE}");
            return ExitCode::from(2);
        }
    }
    let files = Files::of_repository(Path::new(folder.as_deref().unwrap_or(".")));
    match run(&files, check) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(files: &Files, check: bool) -> Result<(), CapacityError> {
    if check {
        return files.check();
    }
    let changed = files.write()?;
    println!("{}: {}", files.page.display(), if changed { "written" } else { "as it was" });
    Ok(())
}
