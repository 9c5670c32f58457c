//! x
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::time::{Duration, Instant};
use threadward_lab::scale::builds;
use threadward_lab::scale::events::FleetEvent;
use threadward_lab::scale::layout::Layout;
use threadward_lab::scale::measure::{measure, Setup};
use threadward_lab::scale::meter::Meter;
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
    let which = std::env::args().nth(2).unwrap();
    for size in std::env::args().nth(1).unwrap_or("100".into()).split(',') {
        let layout = Layout::scaled(&target, size.parse().unwrap());
        let from = Instant::now();
        let setup =
            Setup { target: &target, layout, seed: 1, meter, deadline: from + Duration::from_secs(200) };
        let rest = [FleetEvent::Rest];
        let f = match which.as_str() {
            "star" => measure(&setup, &builds::star(), &FleetEvent::ALL),
            "tree" => measure(&setup, &builds::tree(), &FleetEvent::ALL),
            "zones" => measure(&setup, &builds::zoned_star(Default::default()), &rest),
            _ => measure(&setup, &builds::star(), &rest),
        };
        for m in f.measured {
            println!("{:?} {:?} {} {:?} {} {:.6}", m.part, m.role, m.event, m.quantity, m.size, m.value);
        }
        println!(
            "{:?} {:?} {} {:?} {:.1} s",
            f.not_reached,
            f.broken,
            f.overshoot,
            layout,
            from.elapsed().as_secs_f64()
        );
    }
}
