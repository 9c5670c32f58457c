//! The stand-ins and the cases of the second review. `standin CASE RECORD` plays a case from the root of the
//! repository and exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
//! `TROUBLE=0` plays it without its disruption.
mod bulletin;
mod cache;
mod cases;
mod client;
mod proxy;
mod record;
mod site;
mod wire;

use record::Record;
use std::process::ExitCode;
use std::time::Duration;

/// No run takes longer than this.
const LONGEST: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    record.say(format!("case {case}, {} its disruption", if trouble { "with" } else { "without" }));
    let (r, c) = (record.clone(), case.clone());
    let run = std::thread::spawn(move || cases::run(&c, trouble, &r));
    while !run.is_finished() && record.now() < LONGEST {
        std::thread::sleep(Duration::from_millis(20));
    }
    // A run that is still on, or ended by a panic, couldn't show anything.
    let result = if run.is_finished() { run.join().ok() } else { None };
    let (code, line) = match result {
        Some(Ok(())) => (0, "held".to_owned()),
        Some(Err(cases::Broken::Rule(why))) => (1, format!("BROKEN: {why}")),
        Some(Err(cases::Broken::Run(why))) => (2, format!("could not run: {why}")),
        None => (2, "could not run: too long, or a panic".to_owned()),
    };
    proxy::kill_all();
    record.say(line.clone());
    record.write(&path);
    println!("{case}: {line}");
    ExitCode::from(code)
}
