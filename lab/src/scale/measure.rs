//! Plays events on a fleet of one size and records what each role did meanwhile.
use super::builds::Recipe;
use super::events::FleetEvent;
use super::fleet::{Fleet, Snapshot, SECOND};
use super::hollow::Control;
use super::layout::Layout;
use super::meter::{self, Meter};
use super::report::{Design, Part, Quantity, Role, Variable};
use super::target::Target;
use nickelgate::Micros;
use std::time::Instant;

/// A fleet counts as settled once at most one proxy in this many is short of its part. Some always are,
/// because the network always loses messages.
const PROXIES_PER_SHORT_ONE: usize = 50;
/// Time that a settled fleet runs on before it is measured, so that deferred work is done.
const SETTLE_EXTRA: Micros = 4 * SECOND;
/// Virtual time after which a fleet that has not settled is given up.
const SETTLE_TIMEOUT: Micros = 90 * SECOND;
/// Time after an event's window within which its change has to be in force at all proxies.
const SPREAD_TIMEOUT: Micros = 30 * SECOND;

/// The roles that proxies have, in the order of the report.
const ROLES: [Role; 5] = [Role::Proxy, Role::Voter, Role::SiteLeader, Role::RegionLeader, Role::Leader];

/// One measured value.
#[derive(Clone, Debug)]
pub struct Measured {
    /// The layout of the control plane.
    pub design: Design,
    /// The part of the program.
    pub part: Part,
    /// The role that the figure belongs to.
    pub role: Role,
    /// The event's name.
    pub event: &'static str,
    /// What was measured.
    pub quantity: Quantity,
    /// The variable that it grows with.
    pub against: Variable,
    /// The value of that variable.
    pub at: f64,
    /// The measured value, in the unit of the quantity.
    pub value: f64,
}

/// The results of a fleet of one size.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// All measured values.
    pub measured: Vec<Measured>,
    /// What was not measured and why, a sentence each.
    pub not_reached: Vec<String>,
    /// Largest number of units by which a sum of shares exceeded its total.
    pub overshoot: u64,
    /// Rules that were broken, a sentence each.
    pub broken_rules: Vec<String>,
}

/// The settings of a run with one fleet.
#[derive(Clone)]
pub struct Setup<'a> {
    /// The target's figures.
    pub target: &'a Target,
    /// The fleet's size and layout.
    pub layout: Layout,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Measures processor time and memory of calls.
    pub meter: Meter,
    /// The end of the real time that the run may take.
    pub deadline: Instant,
}

impl Findings {
    /// Adds the results of another fleet.
    pub fn add(&mut self, other: Findings) {
        self.measured.extend(other.measured);
        self.not_reached.extend(other.not_reached);
        self.overshoot = self.overshoot.max(other.overshoot);
        self.broken_rules.extend(other.broken_rules);
    }

    /// Adds what a fleet's own checks found.
    pub fn check<C: Control>(&mut self, design: Design, fleet: &Fleet<C>) {
        self.overshoot = self.overshoot.max(fleet.overshoot);
        if fleet.checks_with_two_leaders > 0 {
            let (size, times) = (fleet.size(), fleet.checks_with_two_leaders);
            self.broken_rules.push(format!("{design:?} of {size}: more than one divided at {times} checks"));
        }
    }
}

/// Creates a fleet of which no process is started.
pub fn fleet<C: Control>(setup: &Setup, recipe: &Recipe<C>) -> Fleet<C> {
    let (budgets, build) = ((recipe.budgets)(&setup.layout), (recipe.build)(&setup.layout));
    Fleet::new(setup.seed, setup.layout.proxies as u16, budgets, build, setup.meter, setup.deadline)
}

/// Starts all processes within a second and runs the fleet until it has settled. Returns false if it did not
/// settle in time or the real-time limit was reached.
pub fn settle<C: Control>(fleet: &mut Fleet<C>) -> bool {
    fleet.time_roles();
    let pause = SECOND / fleet.size() as Micros;
    for place in 0..fleet.size() {
        fleet.start(place);
        fleet.run(pause);
    }
    run_until_settled(fleet)
}

/// Runs until nearly all proxies have their part, and a little longer. Returns false if that did not happen
/// in time or the real-time limit was reached.
fn run_until_settled<C: Control>(fleet: &mut Fleet<C>) -> bool {
    let until = fleet.now() + SETTLE_TIMEOUT;
    while fleet.count_short() * PROXIES_PER_SHORT_ONE > fleet.running() {
        if fleet.now() >= until || !fleet.run(SECOND) {
            return false;
        }
    }
    fleet.run(SETTLE_EXTRA)
}

/// Measures a fleet through these events, one after the other. What an event killed or cut off is restored
/// before the next one.
pub fn measure<C: Control>(setup: &Setup, recipe: &Recipe<C>, events: &[FleetEvent]) -> Findings {
    let mut findings = Findings::default();
    let size = setup.layout.proxies;
    let mut fleet = fleet(setup, recipe);
    let started_at = Instant::now();
    if !settle(&mut fleet) {
        let seconds = started_at.elapsed().as_secs_f64();
        findings.not_reached.push(format!("{:?} of {size} did not settle in {seconds:.1} s", recipe.design));
        findings.check(recipe.design, &fleet);
        return findings;
    }
    for event in events.iter().filter(|event| event.fits(&setup.layout, setup.target)) {
        if *event == FleetEvent::StartAll {
            findings.check(recipe.design, &fleet);
            fleet = self::fleet(setup, recipe);
        }
        if !measure_event(setup, recipe.design, &mut fleet, *event, &mut findings) {
            findings.not_reached.push(format!(
                "{:?} of {size}, from {} on: {:.1} s of virtual time took {:.1} s",
                recipe.design,
                event.name(),
                fleet.now() as f64 / SECOND as f64 - 1.0,
                started_at.elapsed().as_secs_f64()
            ));
            break;
        }
    }
    findings.check(recipe.design, &fleet);
    findings
}

/// Plays one event, records its figures and restores the fleet. Returns false if time ran out.
fn measure_event<C: Control>(
    setup: &Setup,
    design: Design,
    fleet: &mut Fleet<C>,
    event: FleetEvent,
    findings: &mut Findings,
) -> bool {
    let size = setup.layout.proxies;
    let affected = event.affected(fleet, &setup.layout, setup.target);
    let before = fleet.snapshot();
    if event.spreads() {
        fleet.begin_watch();
    }
    if !event.play(fleet, &affected, setup.target) {
        return false;
    }
    record(setup, design, fleet, &before, event.name(), findings);
    if event.spreads() {
        let until = fleet.now() + SPREAD_TIMEOUT;
        while !fleet.all_recovered() && fleet.now() < until && fleet.run(SECOND) {}
        let spans = fleet.end_watch();
        for (quantity, span) in [
            (Quantity::EverywhereP99, percentile_99(&spans)),
            (Quantity::EverywhereLast, spans.last().copied().unwrap_or(0.0)),
        ] {
            if span.is_finite() {
                let (part, against, event) = (C::PARTS[0], Variable::Proxies, event.name());
                let (at, value, role) = (size as f64, span, Role::Proxy);
                findings.measured.push(Measured { design, part, role, event, quantity, against, at, value });
            } else {
                let what = format!(
                    "{design:?} of {size}, {}: {quantity:?}: not all within half a minute",
                    event.name()
                );
                findings.not_reached.push(what);
            }
        }
    }
    recover(fleet, event, &affected)
}

/// Records what each role did since a snapshot.
pub fn record<C: Control>(
    setup: &Setup,
    design: Design,
    fleet: &Fleet<C>,
    before: &Snapshot,
    event: &'static str,
    findings: &mut Findings,
) {
    let (at, against) = (setup.layout.proxies as f64, Variable::Proxies);
    let span = fleet.now() - before.taken_at();
    for (index, part) in C::PARTS.iter().copied().enumerate() {
        let readings = fleet.readings(before, index);
        for role in ROLES {
            let figures = meter::figures(role, &readings, span, setup.meter.counts_memory());
            let measured =
                |(quantity, value)| Measured { design, part, role, event, quantity, against, at, value };
            findings.measured.extend(figures.into_iter().map(measured));
        }
    }
}

/// Returns the 99th percentile of values in rising order, or 0 if there are none.
pub fn percentile_99(sorted: &[f64]) -> f64 {
    sorted.get((sorted.len() * 99).div_ceil(100).saturating_sub(1)).copied().unwrap_or(0.0)
}

/// Restarts what was killed, rejoins what was cut off, and runs until the fleet has settled. Returns false if
/// it did not settle in time.
fn recover<C: Control>(fleet: &mut Fleet<C>, event: FleetEvent, affected: &[usize]) -> bool {
    match event {
        FleetEvent::Rest | FleetEvent::StartAll => return true,
        FleetEvent::RegionCut => fleet.heal(),
        _ => affected.iter().for_each(|place| fleet.start(*place)),
    }
    run_until_settled(fleet)
}
