//! An event queue in virtual time.
//!
//! Events come out in the order of their time, and events of one time in the order in which they were put in. No event
//! is dropped, and the clock of the queue never goes back.
use nickelgate::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Events by the time at which they are due, with the virtual clock that their order drives.
pub struct EventQueue<T> {
    /// The time and the sequence number of each event that is due.
    heap: BinaryHeap<Reverse<(Micros, u64)>>,
    /// The events by sequence number.
    events: BTreeMap<u64, T>,
    last_sequence: u64,
    /// The virtual clock: the time of the last event that came out, or of the last look for one.
    pub now: Micros,
}

impl<T> EventQueue<T> {
    /// An empty queue whose clock stands at `now`.
    pub fn new(now: Micros) -> EventQueue<T> {
        EventQueue { heap: BinaryHeap::new(), events: BTreeMap::new(), last_sequence: 0, now }
    }
    /// Schedules an event; one in the past is due now.
    pub fn schedule(&mut self, at: Micros, event: T) {
        self.last_sequence += 1;
        self.heap.push(Reverse((at.max(self.now), self.last_sequence)));
        self.events.insert(self.last_sequence, event);
    }
    /// When the next event is due.
    pub fn next_event_at(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }
    /// The next event that is due by `until`; the clock goes to its time, or to `until` where there is none.
    pub fn pop(&mut self, until: Micros) -> Option<T> {
        if self.next_event_at().is_none_or(|at| at > until) {
            self.now = self.now.max(until);
            return None;
        }
        let Reverse((at, sequence)) = self.heap.pop()?;
        self.now = at;
        self.events.remove(&sequence)
    }
}
