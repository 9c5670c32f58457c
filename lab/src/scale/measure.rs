//! Takes a fleet of one size through events and notes what each role did meanwhile.
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

/// A fleet has settled once no more than one proxy in so many lacks its part: the network loses messages at all times.
const LACKING: usize = 50;
/// It goes on for so long then, so that what was put off is over.
const SETTLES: Micros = 4 * SECOND;
/// A fleet that has not settled by then does not.
const PATIENCE: Micros = 90 * SECOND;
/// A change that does not hold everywhere so long after its event's window does not.
const SPREADS_WITHIN: Micros = 30 * SECOND;

/// Roles of proxies.
const ROLES: [Role; 5] = [Role::Proxy, Role::Voter, Role::SiteLeader, Role::RegionLeader, Role::Leader];

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
    /// What it grows with.
    pub against: Variable,
    /// How much of that there was.
    pub at: f64,
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
    pub overshoot: u64,
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

impl Findings {
    /// Adds those of another fleet.
    pub fn add(&mut self, other: Findings) {
        self.measured.extend(other.measured);
        self.not_reached.extend(other.not_reached);
        self.overshoot = self.overshoot.max(other.overshoot);
        self.broken.extend(other.broken);
    }

    /// Takes over what a fleet's checks found.
    pub fn check<C: Control>(&mut self, design: Design, fleet: &Fleet<C>) {
        self.overshoot = self.overshoot.max(fleet.overshoot);
        if fleet.two_leaders > 0 {
            let (size, times) = (fleet.size(), fleet.two_leaders);
            self.broken.push(format!("{design:?} of {size}: more than one divided at {times} checks"));
        }
    }
}

/// A new fleet, none of whose processes is started.
pub fn fleet<C: Control>(setup: &Setup, recipe: &Recipe<C>) -> Fleet<C> {
    let (budgets, build) = ((recipe.budgets)(&setup.layout), (recipe.build)(&setup.layout));
    Fleet::new(setup.seed, setup.layout.proxies as u16, budgets, build, setup.meter, setup.deadline)
}

/// A fleet whose processes started within a second, settled. False where the real clock's limit came first.
pub fn settle<C: Control>(fleet: &mut Fleet<C>) -> bool {
    fleet.time_roles();
    let pause = SECOND / fleet.size() as Micros;
    for place in 0..fleet.size() {
        fleet.start(place);
        fleet.run(pause);
    }
    settled(fleet)
}

/// Runs until nearly all have their part, and a little longer; false where that did not come, or the real clock's limit
/// did.
fn settled<C: Control>(fleet: &mut Fleet<C>) -> bool {
    let until = fleet.now() + PATIENCE;
    while fleet.short() * LACKING > fleet.living() {
        if fleet.now() >= until || !fleet.run(SECOND) {
            return false;
        }
    }
    fleet.run(SETTLES)
}

/// Measures a fleet through these events, one after the other; what was lost starts anew between them.
pub fn measure<C: Control>(setup: &Setup, recipe: &Recipe<C>, events: &[FleetEvent]) -> Findings {
    let mut findings = Findings::default();
    let size = setup.layout.proxies;
    let mut fleet = fleet(setup, recipe);
    let began = Instant::now();
    if !settle(&mut fleet) {
        let seconds = began.elapsed().as_secs_f64();
        findings.not_reached.push(format!("{:?} of {size} did not settle in {seconds:.1} s", recipe.design));
        findings.check(recipe.design, &fleet);
        return findings;
    }
    for event in events.iter().filter(|event| event.fits(&setup.layout, setup.target)) {
        if *event == FleetEvent::StartAll {
            findings.check(recipe.design, &fleet);
            fleet = self::fleet(setup, recipe);
        }
        if !one_event(setup, recipe.design, &mut fleet, *event, &mut findings) {
            findings.not_reached.push(format!(
                "{:?} of {size}, from {} on: {:.1} s of virtual time took {:.1} s",
                recipe.design,
                event.name(),
                fleet.now() as f64 / SECOND as f64 - 1.0,
                began.elapsed().as_secs_f64()
            ));
            break;
        }
    }
    findings.check(recipe.design, &fleet);
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
    if event.spreads() {
        fleet.watch();
    }
    if !event.play(fleet, &struck, setup.target) {
        return false;
    }
    note(setup, design, fleet, &before, event.name(), findings);
    if event.spreads() {
        let until = fleet.now() + SPREADS_WITHIN;
        while !fleet.all_have_theirs() && fleet.now() < until && fleet.run(SECOND) {}
        let spans = fleet.watched();
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
    recover(fleet, event, &struck)
}

/// Notes what each role did since then.
pub fn note<C: Control>(
    setup: &Setup,
    design: Design,
    fleet: &Fleet<C>,
    before: &Snapshot,
    event: &'static str,
    findings: &mut Findings,
) {
    let (at, against) = (setup.layout.proxies as f64, Variable::Proxies);
    let span = fleet.now() - before.at();
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

/// The value that 99 in 100 do not exceed, of values in rising order.
pub fn percentile_99(sorted: &[f64]) -> f64 {
    sorted.get((sorted.len() * 99).div_ceil(100).saturating_sub(1)).copied().unwrap_or(0.0)
}

/// What was lost starts anew, what was cut off is joined, and the fleet settles.
fn recover<C: Control>(fleet: &mut Fleet<C>, event: FleetEvent, struck: &[usize]) -> bool {
    match event {
        FleetEvent::Rest | FleetEvent::StartAll => return true,
        FleetEvent::RegionCut => fleet.heal(),
        _ => struck.iter().for_each(|place| fleet.start(*place)),
    }
    settled(fleet)
}
