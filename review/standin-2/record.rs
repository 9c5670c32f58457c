//! The record of a run: what was sent, answered and run, with the time since the start of the run.
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record { start: Instant::now(), lines: Mutex::default() })
    }
    /// The time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }
    pub fn say(&self, text: impl Into<String>) {
        let at = self.now();
        self.lines.lock().unwrap().push((at, text.into()));
    }
    /// Writes the record, in the order of time.
    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|l| l.0);
        let text: String = lines.iter().map(|(at, l)| format!("{:9.3} {l}\n", at.as_secs_f64())).collect();
        std::fs::write(path, text).expect("the record cannot be written");
    }
}

/// The Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}
