//! What happens when, in virtual time. It owns the order: by time, then as it was put down. It must never drop an
//! event or let time go back.
use nickelgate::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

pub struct Agenda<T> {
    heap: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, T>,
    next: u64,
    pub now: Micros,
}

impl<T> Agenda<T> {
    pub fn new(now: Micros) -> Agenda<T> {
        Agenda { heap: BinaryHeap::new(), events: BTreeMap::new(), next: 0, now }
    }
    /// Puts an event down; one in the past happens now.
    pub fn put(&mut self, at: Micros, event: T) {
        self.next += 1;
        self.heap.push(Reverse((at.max(self.now), self.next)));
        self.events.insert(self.next, event);
    }
    /// When the next event is due.
    pub fn peek(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }
    /// The next event that is due by then; the clock goes to it, else to `until`.
    pub fn pop(&mut self, until: Micros) -> Option<T> {
        if self.peek().is_none_or(|at| at > until) {
            self.now = self.now.max(until);
            return None;
        }
        let Reverse((at, n)) = self.heap.pop()?;
        self.now = at;
        self.events.remove(&n)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn events_come_by_time_and_then_in_turn() {
        let mut a = Agenda::new(10);
        for (at, e) in [(30, 'c'), (20, 'a'), (20, 'b'), (5, '0')] {
            a.put(at, e);
        }
        let got: Vec<(char, Micros)> = std::iter::from_fn(|| a.pop(25).map(|e| (e, a.now))).collect();
        assert_eq!(got, [('0', 10), ('a', 20), ('b', 20)]);
        assert_eq!(a.now, 25);
        assert_eq!((a.pop(40), a.now), (Some('c'), 30));
    }
}
