//! Stand-ins and clients of the review's cases. The first argument names the case.
mod case1;
mod case2;
mod case3;
mod client;
mod platform;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("1") => case1::run(),
        Some("2") => case2::run(),
        Some("3") => case3::run(),
        _ => platform::not_run("no such case"),
    }
}
