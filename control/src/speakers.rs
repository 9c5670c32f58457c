//! Tracks which process represents each seat of a group, as learned from its messages.
use nickelgate::Micros;
use std::collections::BTreeMap;

/// The process that represents a seat, and until when it is remembered.
#[derive(Clone, Copy, Debug)]
struct Speaker {
    proxy_index: u16,
    until: Micros,
}

/// The processes that last sent a message for each seat. The map is bounded by the seats of the group,
/// because the caller checks that a process belongs to the seat that it represents.
#[derive(Clone, Debug, Default)]
pub struct Speakers {
    by_seat: BTreeMap<u16, Speaker>,
}

impl Speakers {
    /// Records that a process sent a message for a seat. It is remembered for `remembered` microseconds.
    pub fn record(&mut self, now: Micros, seat: u16, proxy_index: u16, remembered: Micros) {
        self.by_seat.insert(seat, Speaker { proxy_index, until: now + remembered });
    }

    /// Returns the index of the process that represents a seat, if it sent a message recently.
    pub fn process_of(&self, now: Micros, seat: u16) -> Option<u16> {
        self.by_seat.get(&seat).filter(|speaker| now < speaker.until).map(|speaker| speaker.proxy_index)
    }
}
