//! Not written yet.
fn main() {}
