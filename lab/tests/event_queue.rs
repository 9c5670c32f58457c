//! Tests the order of events and the clock of the event queue.
use nickelgate::Micros;
use threadward_lab::event_queue::EventQueue;

#[test]
fn events_are_returned_by_time_and_then_in_scheduling_order() {
    let mut queue = EventQueue::new(10);
    for (at, event) in [(30, 'c'), (20, 'a'), (20, 'b'), (5, '0')] {
        queue.schedule(at, event);
    }
    let next = || queue.pop(25).map(|event| (event, queue.now));
    let got: Vec<(char, Micros)> = std::iter::from_fn(next).collect();
    assert_eq!(got, [('0', 10), ('a', 20), ('b', 20)]);
    assert_eq!(queue.now, 25);
    assert_eq!((queue.pop(40), queue.now), (Some('c'), 30));
}
