//! Which process speaks for each seat of a group, as learned from its messages.
use nickelgate::Micros;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
struct Speaker {
    place: u16,
    until: Micros,
}

/// The processes last heard from, by seat. Bounded by the seats of the group, since the caller checks that a
/// process stands behind the seat it speaks for.
#[derive(Clone, Debug, Default)]
pub struct Speakers {
    by_seat: BTreeMap<u16, Speaker>,
}

impl Speakers {
    /// A process spoke for a seat; it is remembered for so long.
    pub fn heard(&mut self, now: Micros, seat: u16, place: u16, remembered: Micros) {
        self.by_seat.insert(seat, Speaker { place, until: now + remembered });
    }

    /// The place of the process that speaks for a seat, if it was heard lately.
    pub fn place_of(&self, now: Micros, seat: u16) -> Option<u16> {
        self.by_seat.get(&seat).filter(|speaker| now < speaker.until).map(|speaker| speaker.place)
    }
}
