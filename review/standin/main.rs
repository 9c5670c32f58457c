//! Stand-ins and clients of the review's cases. The first argument names the case.
mod case1;
mod case2;
mod case3;
mod client;
mod platform;
mod slow_write;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("1") => case1::run(),
        Some("2") => case2::run(),
        Some("3") => case3::run(),
        // No case of its own: see the report.
        Some("slow-write") => slow_write::run(),
        _ => platform::not_run("no such case"),
    }
}
