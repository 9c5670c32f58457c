//! What each role needs at the target's size, against what it may spend; and the slopes behind it.
use super::measured::{largest, Measured, Reading, REST};
use super::table::Table;
use super::units::{bytes, core, number, or_missing, NOT_MEASURED};
use super::{names, page::Section};
use crate::scale::fit::Form;
use crate::scale::report::{Design, Part, Quantity, Role};
use crate::scale::target::Target;
use std::collections::{BTreeMap, BTreeSet};

/// Cores that the one process of the list service has.
const LIST_SERVICE_CORES: f64 = 1.0;

/// Bytes in a megabyte of the target.
pub const MEGABYTE: f64 = 1e6;

/// Quantities that a limit of the target can bind.
const LIMITED: [Quantity; 4] =
    [Quantity::CoreShare, Quantity::MemoryBytes, Quantity::BytesIn, Quantity::BytesOut];

/// Quantities of the table of slopes.
const SLOPES: [Quantity; 9] = [
    Quantity::MessagesIn,
    Quantity::MessagesOut,
    Quantity::BytesIn,
    Quantity::BytesOut,
    Quantity::CoreShare,
    Quantity::MemoryBytes,
    Quantity::Descriptors,
    Quantity::EverywhereP99,
    Quantity::EverywhereLast,
];

/// What a design has to be measured for: without a series the page says so.
const WANTED: [(Design, Part, Role); 16] = [
    (Design::Star, Part::Budgets, Role::Proxy),
    (Design::Star, Part::Budgets, Role::Voter),
    (Design::Star, Part::Budgets, Role::Leader),
    (Design::Star, Part::Zones, Role::Proxy),
    (Design::Star, Part::Zones, Role::Voter),
    (Design::Star, Part::Zones, Role::Leader),
    (Design::Star, Part::Discovery, Role::Proxy),
    (Design::Star, Part::Discovery, Role::ListService),
    (Design::Star, Part::Discovery, Role::CacheServer),
    (Design::Star, Part::Gossip, Role::Proxy),
    (Design::Tree, Part::Budgets, Role::Proxy),
    (Design::Tree, Part::Budgets, Role::Voter),
    (Design::Tree, Part::Budgets, Role::SiteLeader),
    (Design::Tree, Part::Budgets, Role::RegionLeader),
    (Design::Tree, Part::Budgets, Role::Leader),
    (Design::Tree, Part::Zones, Role::Leader),
];

/// A role in one part of the program.
pub type Place = (Design, Part, Role);

/// A need against a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Excess {
    /// What is needed.
    pub quantity: Quantity,
    /// How much.
    pub need: f64,
    /// How much there may be.
    pub limit: f64,
}

impl Excess {
    /// Need over limit.
    pub fn ratio(&self) -> f64 {
        self.need / self.limit
    }
}

/// All quantities of a role, in one event or together.
#[derive(Clone, Debug)]
pub struct Needs<'a> {
    /// The event, or what the figures are the sum of.
    pub event: String,
    /// The figures.
    pub values: BTreeMap<Quantity, f64>,
    /// The series behind them.
    pub readings: Vec<Reading<'a>>,
}

impl<'a> Needs<'a> {
    fn of(event: &str, readings: Vec<Reading<'a>>) -> Needs<'a> {
        let mut values = BTreeMap::new();
        readings
            .iter()
            .for_each(|reading| *values.entry(reading.series.quantity).or_insert(0.0) += reading.value);
        Needs { event: event.into(), values, readings }
    }

    /// The worst need over its limit; `None` where nothing limited was measured.
    pub fn worst(&self, target: &Target, role: Role) -> Option<Excess> {
        let excess = |quantity: &Quantity| {
            let need = self.values.get(quantity).copied()?;
            let limit = limit(target, role, *quantity)?;
            Some(Excess { quantity: *quantity, need, limit })
        };
        LIMITED.iter().filter_map(excess).max_by(|one, other| one.ratio().total_cmp(&other.ratio()))
    }

    /// Up to which size this was measured, or from which it is extrapolated.
    pub fn extent(&self) -> String {
        let far = |reading: &Reading| {
            let from = reading.extrapolated_from()?;
            Some(((reading.size / from).ln().abs(), from, reading.series.against))
        };
        let farthest = self.readings.iter().filter_map(far).max_by(|one, other| one.0.total_cmp(&other.0));
        if let Some((_, from, against)) = farthest {
            return format!("extrapolated from {} {}", number(from), names::variable(against));
        }
        let to = |reading: &Reading| (reading.measured_range().1, reading.series.against);
        let least = self.readings.iter().map(to).min_by(|one, other| one.0.total_cmp(&other.0));
        least.map_or_else(
            || NOT_MEASURED.into(),
            |(to, against)| format!("{} {}", number(to), names::variable(against)),
        )
    }

    /// Entries times bytes each.
    fn state(&self) -> String {
        let memory = largest(&self.readings, Quantity::MemoryBytes, None);
        memory.map_or_else(
            || NOT_MEASURED.into(),
            |reading| match reading.series.fit.form {
                Form::Constant => format!("constant, {}", bytes(reading.value)),
                _ => {
                    let entries = names::variable(reading.series.against);
                    format!("{} {entries} × {}", number(reading.size), bytes(reading.value / reading.size))
                }
            },
        )
    }

    fn cell(&self, quantity: Quantity, write: impl Fn(f64) -> String) -> String {
        or_missing(self.values.get(&quantity).copied(), write)
    }
}

/// What a role may spend of a quantity; `None` where the target names nothing.
pub fn limit(target: &Target, role: Role, quantity: Quantity) -> Option<f64> {
    match (role, quantity) {
        (Role::CacheServer, _) => None,
        (Role::ListService, Quantity::CoreShare) => Some(LIST_SERVICE_CORES),
        (Role::ListService, _) => None,
        (_, Quantity::CoreShare) => Some(target.control.core),
        (_, Quantity::MemoryBytes) => Some(target.control.megabytes * MEGABYTE),
        (_, Quantity::BytesIn | Quantity::BytesOut) => Some(target.control.bytes_per_s),
        _ => None,
    }
}

/// A value with the unit of its quantity.
pub fn written(quantity: Quantity, value: f64) -> String {
    match quantity {
        Quantity::CoreShare => core(value),
        Quantity::MemoryBytes => bytes(value),
        Quantity::BytesIn | Quantity::BytesOut => format!("{}/s", bytes(value)),
        _ => number(value),
    }
}

/// All that was measured or has to be, in order.
pub fn places(measured: &Measured) -> BTreeSet<Place> {
    let there = measured.report.series.iter().map(|series| (series.design, series.part, series.role));
    there.chain(WANTED).collect()
}

/// The needs in one event.
pub fn in_event<'a>(readings: &[Reading<'a>], event: &str) -> Needs<'a> {
    let of = |quantity: &Quantity| largest(readings, *quantity, Some(event));
    Needs::of(event, SLOPES.iter().filter_map(of).collect())
}

/// The needs in the event in which they come closest to their limits, or have most bytes where there is no
/// limit. `None` where no event but rest was measured.
pub fn in_worst_event<'a>(measured: &Measured<'a>, place: Place) -> Option<Needs<'a>> {
    let readings: Vec<Reading> = measured.readings(place.0, place.1, place.2).collect();
    let events: BTreeSet<&str> = readings.iter().map(|reading| reading.series.event.as_str()).collect();
    let needs = events.into_iter().filter(|event| *event != REST).map(|event| in_event(&readings, event));
    let weight = |needs: &Needs| {
        let ratio = needs.worst(measured.target, place.2).map_or(0.0, |excess| excess.ratio());
        let moved =
            [Quantity::BytesIn, Quantity::BytesOut].map(|quantity| needs.values.get(&quantity).copied());
        (ratio, moved.into_iter().flatten().sum::<f64>())
    };
    needs.max_by(|one, other| {
        let (one, other) = (weight(one), weight(other));
        one.0.total_cmp(&other.0).then(one.1.total_cmp(&other.1))
    })
}

/// Each quantity of a place in its own worst event, rest among them.
pub fn at_most<'a>(measured: &Measured<'a>, place: Place) -> Needs<'a> {
    let readings: Vec<Reading> = measured.readings(place.0, place.1, place.2).collect();
    let of = |quantity: &Quantity| largest(&readings, *quantity, None);
    Needs::of("each quantity at its worst", SLOPES.iter().filter_map(of).collect())
}

/// The parts of a role together, each quantity in its own worst event; `None` for a role with fewer than two
/// parts measured.
pub fn all_parts<'a>(measured: &Measured<'a>, design: Design, role: Role) -> Option<Needs<'a>> {
    let parts: Vec<Part> = [Part::Budgets, Part::Zones, Part::Discovery, Part::Gossip]
        .into_iter()
        .filter(|part| measured.readings(design, *part, role).next().is_some())
        .collect();
    let readings = parts.iter().flat_map(|part| at_most(measured, (design, *part, role)).readings);
    let event =
        format!("sum of {}", parts.iter().map(|part| names::part(*part)).collect::<Vec<_>>().join(", "));
    (parts.len() > 1).then(|| Needs::of(&event, readings.collect()))
}

fn row(measured: &Measured, (design, part, role): Place, needs: &Needs) -> Vec<String> {
    let mut cells = common_cells(measured, role, names::part(part), needs, needs.state());
    cells.push(names::module(design, part, role).into());
    cells.push(needs.extent());
    cells
}

fn common_cells(measured: &Measured, role: Role, part: &str, needs: &Needs, state: String) -> Vec<String> {
    let pair = |one, other, write: fn(f64) -> String| {
        format!("{}; {}", needs.cell(one, write), needs.cell(other, write))
    };
    let worst = needs.worst(measured.target, role);
    let limit = worst.map(|excess| written(excess.quantity, excess.limit));
    let ratio =
        worst.map(|excess| format!("{} ({})", number(excess.ratio()), names::quantity(excess.quantity)));
    let limited = LIMITED.iter().any(|quantity| self::limit(measured.target, role, *quantity).is_some());
    let none = if limited { NOT_MEASURED } else { "none named" };
    vec![
        names::role(role).into(),
        part.into(),
        needs.event.clone(),
        state,
        pair(Quantity::MessagesIn, Quantity::MessagesOut, number),
        pair(Quantity::BytesIn, Quantity::BytesOut, bytes),
        needs.cell(Quantity::CoreShare, core),
        needs.cell(Quantity::MemoryBytes, bytes),
        limit.unwrap_or_else(|| none.into()),
        ratio.unwrap_or_else(|| none.into()),
    ]
}

/// The needs of all roles of a design.
pub fn section(measured: &Measured, design: Design, name: &'static str) -> Section {
    let mut table = Table::new(&[
        "role",
        "part",
        "event",
        "state: entries × bytes each",
        "messages in; out, a second",
        "bytes in; out, a second",
        "core",
        "memory",
        "nearest limit",
        "need over limit",
        "carried by",
        "measured up to",
    ]);
    let places: Vec<Place> = places(measured).into_iter().filter(|place| place.0 == design).collect();
    for place in &places {
        let readings: Vec<Reading> = measured.readings(place.0, place.1, place.2).collect();
        table.row(row(measured, *place, &in_event(&readings, REST)));
        if let Some(worst) = in_worst_event(measured, *place) {
            table.row(row(measured, *place, &worst));
        }
    }
    let roles: BTreeSet<Role> = places.iter().map(|place| place.2).collect();
    for role in roles {
        if let Some(needs) = all_parts(measured, design, role) {
            let mut cells = common_cells(measured, role, "together", &needs, String::new());
            cells.extend([String::new(), needs.extent()]);
            table.row(cells);
        }
    }
    Section { name, text: table.text() }
}

/// The curve of each quantity in its worst event.
pub fn slopes(measured: &Measured) -> Section {
    let mut table = Table::new(&[
        "design",
        "role",
        "part",
        "event",
        "quantity",
        "grows with",
        "form",
        "base",
        "slope",
        "measured from; to",
        "largest residual",
    ]);
    for place in places(measured) {
        let needs = at_most(measured, place);
        if needs.readings.is_empty() {
            let (design, part, role) = place;
            table.row([names::design(design), names::role(role), names::part(part), NOT_MEASURED]);
        }
        needs.readings.iter().for_each(|reading| table.row(slope(reading)));
    }
    Section { name: "slopes", text: table.text() }
}

fn slope(reading: &Reading) -> Vec<String> {
    let (series, (smallest, largest)) = (reading.series, reading.measured_range());
    vec![
        names::design(series.design).into(),
        names::role(series.role).into(),
        names::part(series.part).into(),
        series.event.clone(),
        names::quantity(series.quantity).into(),
        names::variable(series.against).into(),
        names::form(series.fit.form).into(),
        number(series.fit.base),
        number(series.fit.slope),
        format!("{}; {}", number(smallest), number(largest)),
        format!("{}%", number(series.fit.residual * 100.0)),
    ]
}
