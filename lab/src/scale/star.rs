//! The fleet of today: one process divides the budgets for all, measured at several sizes and through each event.
use super::events::FleetEvent;
use super::fleet::{Build, Fleet, MILLISECOND, SECOND};
use super::hollow::{Control, StarProxy};
use super::layout::Layout;
use super::meter::{self, Meter};
use super::report::{Design, Part, Quantity, Role};
use super::target::Target;
use nickelgate::Micros;
use std::time::Instant;
use threadward_budgets::{Budgets, Settings};

/// Lease time, as the operators' page has it.
pub const LEASE: Micros = 1_200 * MILLISECOND;
/// Units of the first budget for each proxy.
pub const UNITS: u32 = 10;
/// Virtual time after which a fleet that started within a second has settled.
const SETTLES: Micros = 6 * SECOND;

/// One measured value.
#[derive(Clone, Debug)]
pub struct Measured {
    /// The layout.
    pub design: Design,
    /// The part of the program.
    pub part: Part,
    /// Whose figure it is.
    pub role: Role,
    /// The event's name.
    pub event: &'static str,
    /// What was measured.
    pub quantity: Quantity,
    /// Proxies of the fleet.
    pub size: usize,
    /// The value.
    pub value: f64,
}

/// What a fleet of one size showed.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// All values.
    pub measured: Vec<Measured>,
    /// What was not reached, a sentence each.
    pub not_reached: Vec<String>,
    /// Units by which a sum exceeded the whole.
    pub overshoot: u32,
    /// Rules that did not hold, a sentence each.
    pub broken: Vec<String>,
}

/// What a run is made with.
#[derive(Clone)]
pub struct Setup<'a> {
    /// The target's figures.
    pub target: &'a Target,
    /// The fleet's size and places.
    pub layout: Layout,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Measures calls.
    pub meter: Meter,
    /// The real clock's limit.
    pub deadline: Instant,
}

/// The whole of the first budget for a fleet.
pub fn whole(size: usize) -> u32 {
    size as u32 * UNITS
}

/// Makes a star's processes; each wants all.
pub fn star(layout: Layout) -> Build<StarProxy> {
    let voters = layout.voters();
    Box::new(move |place, now, entropy| {
        let settings = Settings {
            place,
            proxies: layout.proxies as u16,
            voters: voters.clone(),
            wholes: vec![whole(layout.proxies), layout.proxies as u32],
            lease: LEASE,
        };
        let wholes = settings.wholes.clone();
        let mut budgets = Budgets::new(now, settings, entropy).unwrap_or_else(|error| panic!("{error}"));
        wholes.iter().enumerate().for_each(|(budget, units)| budgets.want(budget, *units));
        StarProxy::new(budgets, voters.contains(&place))
    })
}

/// Measures a fleet through these events, one after the other; what was lost starts anew between them.
pub fn measure<C: Control>(
    setup: &Setup,
    design: Design,
    build: impl Fn() -> Build<C>,
    events: &[FleetEvent],
) -> Findings {
    let mut findings = Findings::default();
    let size = setup.layout.proxies;
    let new = || Fleet::new(setup.seed, size as u16, whole(size), build(), setup.meter, setup.deadline);
    let mut fleet = new();
    fleet.time_roles();
    for place in 0..size {
        fleet.start(place);
        fleet.run(SECOND / size as Micros);
    }
    fleet.run(SETTLES);
    for event in events.iter().filter(|e| e.fits(&setup.layout, setup.target)) {
        if *event == FleetEvent::StartAll {
            findings.overshoot = findings.overshoot.max(fleet.overshoot);
            fleet = new();
        }
        let began = Instant::now();
        let virtual_from = fleet.now();
        if !one_event(setup, design, &mut fleet, *event, &mut findings) {
            let what = format!(
                "{design:?} of {size} through {}: {:.1} s of virtual time in {:.1} s",
                event.name(),
                (fleet.now() - virtual_from) as f64 / SECOND as f64,
                began.elapsed().as_secs_f64()
            );
            findings.not_reached.push(what);
            break;
        }
    }
    findings.overshoot = findings.overshoot.max(fleet.overshoot);
    findings
}

/// Plays one event and takes its figures; false where time ran out.
fn one_event<C: Control>(
    setup: &Setup,
    design: Design,
    fleet: &mut Fleet<C>,
    event: FleetEvent,
    findings: &mut Findings,
) -> bool {
    let size = setup.layout.proxies;
    let struck = event.struck(fleet, &setup.layout, setup.target);
    let before = fleet.snapshot();
    let since = fleet.now();
    if event.spreads() {
        fleet.watch();
    }
    if !event.play(fleet, &struck, setup.target) {
        return false;
    }
    let span = fleet.now() - before.at();
    let value = |part, role, quantity, value| Measured {
        design,
        part,
        role,
        event: event.name(),
        quantity,
        size,
        value,
    };
    for (index, part) in C::PARTS.iter().enumerate() {
        let readings = fleet.readings(&before, index);
        for role in [Role::Proxy, Role::Voter, Role::SiteLeader, Role::RegionLeader, Role::Leader] {
            let figures = meter::figures(role, &readings, span, setup.meter.counts_memory());
            findings
                .measured
                .extend(figures.into_iter().map(|(quantity, v)| value(*part, role, quantity, v)));
        }
    }
    if event.spreads() {
        let spans = fleet.watched(since);
        let last = spans.last().copied().unwrap_or(0.0);
        if last + 0.2 >= span as f64 / SECOND as f64 {
            findings
                .not_reached
                .push(format!("{design:?} of {size}, {}: not everywhere within {last:.1} s", event.name()));
        } else {
            let p99 = spans.get((spans.len() * 99).div_ceil(100).saturating_sub(1)).copied().unwrap_or(0.0);
            findings.measured.push(value(C::PARTS[0], Role::Proxy, Quantity::EverywhereP99, p99));
            findings.measured.push(value(C::PARTS[0], Role::Proxy, Quantity::EverywhereLast, last));
        }
    }
    recover(fleet, event, &struck)
}

/// What was lost starts anew, what was cut off is joined, and the fleet settles.
fn recover<C: Control>(fleet: &mut Fleet<C>, event: FleetEvent, struck: &[usize]) -> bool {
    match event {
        FleetEvent::Rest | FleetEvent::StartAll => return true,
        FleetEvent::RegionCut => fleet.heal(),
        _ => struck.iter().for_each(|place| fleet.start(*place)),
    }
    fleet.run(SETTLES)
}
