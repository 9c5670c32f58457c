//! The small form of `make measure-scale`: the rules hold, and the report is whole.
use std::collections::BTreeSet;
use threadward_lab::scale::events::FleetEvent;
use threadward_lab::scale::layout::Layout;
use threadward_lab::scale::report::{Design, Part, Report, Role};
use threadward_lab::scale::run::{run, Options};
use threadward_lab::scale::target::Target;

const FIGURES: [&str; 18] = [
    "hollow_most",
    "real_processes",
    "real_over_virtual_bytes",
    "fit_residual_most",
    "memory_gb_most",
    "proxy_bytes_s",
    "proxy_core",
    "proxy_mb",
    "control_machines",
    "worst_ratio_before",
    "worst_ratio_after",
    "worst_before",
    "overshoot",
    "rules_broken",
    "cut_hour_used",
    "cut_hour_used_before",
    "purge_everywhere_s_p99",
    "config_everywhere_s_p99",
];

fn target() -> Target {
    Target::read(include_str!("../../deploy/target.toml")).unwrap()
}

fn small(seed: u64) -> Report {
    run(&target(), &Options { small: true, seed, ..Options::default() })
}

#[test]
fn a_small_run_keeps_the_rules_and_reports_every_figure() {
    let report = small(1);
    let names: BTreeSet<&str> = report.figures.keys().map(String::as_str).collect();
    assert_eq!(names, BTreeSet::from(FIGURES));
    assert_eq!(report.figures["overshoot"], 0.0);
    assert_eq!(report.figures["rules_broken"], 0.0);
    assert_eq!(report.figures["hollow_most"], 100.0);
    for name in
        ["fit_residual_most", "proxy_bytes_s", "proxy_core", "worst_ratio_before", "worst_ratio_after"]
    {
        assert!(report.figures[name].is_number(), "{name}: {}", report.figures[name]);
    }
    assert!(report.figures["worst_before"].is_string());
    // What the small form leaves out is null, and said.
    for (name, what) in [
        ("cut_hour_used", "cut off"),
        ("real_processes", "real processes"),
        ("config_everywhere_s_p99", "configuration"),
    ] {
        assert!(report.figures[name].is_null(), "{name}");
        assert!(report.not_reached.iter().any(|line| line.contains(what)), "{what}");
    }
}

#[test]
fn every_curve_of_a_small_run_is_of_finite_numbers() {
    let report = small(2);
    for series in &report.series {
        let fit = &series.fit;
        let numbers = series.points.iter().flat_map(|point| [point.at, point.value]);
        assert!(numbers.chain([fit.base, fit.slope, fit.residual]).all(f64::is_finite), "{series:?}");
        assert!(
            series.points.len() >= 2 && series.points.is_sorted_by(|one, other| one.at < other.at),
            "{series:?}"
        );
    }
    let has = |design, part, role| {
        report
            .series
            .iter()
            .any(|s| s.design == design && s.part == part && s.role == role && s.event != "start_all")
    };
    for (design, part, role) in [
        (Design::Star, Part::Budgets, Role::Leader),
        (Design::Star, Part::Budgets, Role::Voter),
        (Design::Star, Part::Budgets, Role::Proxy),
        (Design::Star, Part::Zones, Role::Leader),
        (Design::Star, Part::Discovery, Role::Proxy),
        (Design::Star, Part::Discovery, Role::ListService),
        (Design::Tree, Part::Budgets, Role::Leader),
        (Design::Tree, Part::Budgets, Role::Proxy),
    ] {
        assert!(has(design, part, role), "{design:?} {part:?} {role:?}");
    }
    let events: BTreeSet<&str> = report.series.iter().map(|series| series.event.as_str()).collect();
    for event in [FleetEvent::Rest, FleetEvent::Restarts, FleetEvent::MachineLost, FleetEvent::StartAll] {
        assert!(events.contains(event.name()), "{event:?} among {events:?}");
    }
}

#[test]
fn a_layout_keeps_the_proportions_of_the_target() {
    let target = target();
    let whole = Layout::scaled(&target, target.fleet.proxies as usize);
    let places = (whole.sites, whole.regions, whole.caches);
    assert_eq!(places, (300, 30, 2_400));
    let tenth = Layout::scaled(&target, 680);
    assert_eq!((tenth.sites, tenth.regions, tenth.caches), (30, 3, 240));
    for layout in [whole, tenth, Layout::scaled(&target, 30), Layout::scaled(&target, 1)] {
        let all: usize = (0..layout.regions).map(|region| layout.of_region(region).len()).sum();
        assert_eq!(all, layout.proxies, "every proxy stands in one region");
        assert!((0..layout.sites).all(|site| !layout.of_site(site).is_empty()), "{layout:?}");
        assert_eq!(layout.voters().len() % 2, 1);
    }
}
