//! Measures the control code of fleets up to the target's size: `make measure-scale`.
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::time::{Duration, Instant};
use threadward_lab::scale::events::FleetEvent;
use threadward_lab::scale::layout::Layout;
use threadward_lab::scale::meter::Meter;
use threadward_lab::scale::report::Design;
use threadward_lab::scale::star::{measure, star, Setup};
use threadward_lab::scale::target::Target;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn allocated() -> i64 {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated as i64 - stats.bytes_deallocated as i64
}

fn main() {
    let target = Target::read(include_str!("../../../deploy/target.toml")).unwrap_or_else(|e| panic!("{e}"));
    let meter = Meter::new(Some(allocated));
    let rest_only = std::env::args().nth(2).is_some();
    for size in std::env::args().nth(1).unwrap_or("100".into()).split(',') {
        let layout = Layout::scaled(&target, size.parse().unwrap());
        let from = Instant::now();
        let setup =
            Setup { target: &target, layout, seed: 1, meter, deadline: from + Duration::from_secs(200) };
        let events: &[FleetEvent] = if rest_only { &[FleetEvent::Rest] } else { &FleetEvent::ALL };
        let f = measure(&setup, Design::Star, || star(layout), events);
        for m in f.measured {
            println!("{:?} {:?} {} {:?} {} {:.6}", m.part, m.role, m.event, m.quantity, m.size, m.value);
        }
        println!("{:?} {} {:?} {:.1} s", f.not_reached, f.overshoot, layout, from.elapsed().as_secs_f64());
    }
}
