//! An event queue in virtual time.
//!
//! Events are returned in the order of their time, and events of the same time in the order in which they
//! were scheduled. No event is dropped, and the queue's clock never goes back.
use nickelgate::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Scheduled events, and the virtual clock that advances as they are taken out.
pub struct EventQueue<T> {
    /// The time and the sequence number of each scheduled event.
    heap: BinaryHeap<Reverse<(Micros, u64)>>,
    /// The events by sequence number.
    events: BTreeMap<u64, T>,
    last_sequence: u64,
    /// The virtual clock: the time of the last event that was taken out, or the limit of the last call of
    /// [`EventQueue::pop`] that found none.
    pub now: Micros,
}

impl<T> EventQueue<T> {
    /// Creates an empty queue whose clock is at `now`.
    pub fn new(now: Micros) -> EventQueue<T> {
        EventQueue { heap: BinaryHeap::new(), events: BTreeMap::new(), last_sequence: 0, now }
    }
    /// Schedules an event. An event in the past is due now.
    pub fn schedule(&mut self, at: Micros, event: T) {
        self.last_sequence += 1;
        self.heap.push(Reverse((at.max(self.now), self.last_sequence)));
        self.events.insert(self.last_sequence, event);
    }
    /// Returns when the next event is due.
    pub fn next_event_at(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }
    /// Removes and returns the next event that is due by `until`, and advances the clock to the event's time,
    /// or to `until` if there is no such event.
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
