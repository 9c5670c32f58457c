//! What breaks first at the target's size: each need over its limit, the worst ratio first.
use super::data_path::{purge_bytes, DataPath};
use super::inputs::Inputs;
use super::measured::{largest, Measured};
use super::names;
use super::page::Section;
use super::roles::{all_parts, at_most, limit, places, written, Excess, Needs, Place};
use super::table::Table;
use super::units::{bytes, core, number, or_missing, NOT_MEASURED};
use crate::scale::report::{Design, Part, Quantity, Role};
use threadward_budgets::MAX_PROXIES;
use threadward_gossip::evidence::EVIDENCE_LIFETIME;
use threadward_gossip::keys::MAX_PEERS;
use threadward_gossip::{Quorum, Settings as GossipSettings};
use threadward_zones::MAX_ZONES;

const SECONDS_A_DAY: f64 = 86_400.0;
const MICROS: f64 = 1e6;

/// How far a need is over its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ratio {
    /// Nothing does it at all.
    NotCarried,
    /// Need over limit.
    Times(f64),
    /// Nobody knows yet.
    NotMeasured,
}

impl Ratio {
    fn of(need: Option<f64>, limit: Option<f64>) -> Ratio {
        match (need, limit) {
            (Some(need), Some(limit)) => Ratio::Times(need / limit),
            _ => Ratio::NotMeasured,
        }
    }

    /// Larger is worse; what was not measured comes last.
    fn weight(self) -> f64 {
        match self {
            Ratio::NotCarried => f64::INFINITY,
            Ratio::Times(ratio) => ratio,
            Ratio::NotMeasured => f64::NEG_INFINITY,
        }
    }

    fn written(self) -> String {
        match self {
            Ratio::NotCarried => "not carried".into(),
            Ratio::Times(ratio) if ratio.is_infinite() => "unbounded".into(),
            Ratio::Times(ratio) => number(ratio),
            Ratio::NotMeasured => NOT_MEASURED.into(),
        }
    }
}

/// One row of the table.
#[derive(Clone, Debug, PartialEq)]
pub struct Breakage {
    /// What is needed, and by whom.
    pub what: String,
    /// The need, with its unit.
    pub need: String,
    /// The limit, with its unit.
    pub limit: String,
    /// Need over limit.
    pub ratio: Ratio,
    /// What happens over the limit.
    pub happens: String,
    /// Where the figures come from.
    pub from: String,
}

impl Breakage {
    fn counted(what: &str, need: f64, limit: Option<f64>, happens: &str, from: &str) -> Breakage {
        Breakage {
            what: what.into(),
            need: number(need),
            limit: or_missing(limit, number),
            ratio: Ratio::of(Some(need), limit),
            happens: happens.into(),
            from: from.into(),
        }
    }

    /// What happens, or that nothing does.
    fn outcome(&self) -> &str {
        match self.ratio {
            Ratio::Times(ratio) if ratio <= 1.0 => "holds",
            _ => &self.happens,
        }
    }
}

/// All rows, the worst ratio first.
pub fn breakages(measured: &Measured, inputs: &Inputs) -> Vec<Breakage> {
    let mut rows = bounds(measured, inputs);
    rows.extend(gossip(measured, inputs));
    rows.extend(discovery(measured, inputs));
    rows.extend(cut_region(measured, inputs));
    rows.extend(changes(measured));
    rows.push(machines(measured));
    rows.extend(roles(measured));
    rows.sort_by(|one, other| other.ratio.weight().total_cmp(&one.ratio.weight()));
    rows
}

/// The table.
pub fn section(measured: &Measured, inputs: &Inputs) -> Section {
    let mut table = Table::new(&["what", "need", "limit", "need over limit", "what happens there", "from"]);
    for row in breakages(measured, inputs) {
        let happens = row.outcome().to_owned();
        table.row([row.what, row.need, row.limit, row.ratio.written(), happens, row.from]);
    }
    Section { name: "breaks", text: table.text() }
}

fn bounds(measured: &Measured, inputs: &Inputs) -> Vec<Breakage> {
    let fleet = &measured.target.fleet;
    let path = DataPath::new(measured.target, inputs);
    let counted = |what, need: u32, limit: usize, from| {
        Breakage::counted(what, need.into(), Some(limit as f64), "refused at start", from)
    };
    vec![
        counted(
            "proxies of `[budgets]` without regions and sites",
            fleet.proxies,
            MAX_PROXIES,
            "`budgets/src/lib.rs` `MAX_PROXIES`",
        ),
        counted("peers of `[gossip]`", fleet.proxies, MAX_PEERS, "`gossip/src/keys.rs` `MAX_PEERS`"),
        counted("zones of `[zones]`", fleet.zones, MAX_ZONES, "`zones/src/lib.rs` `MAX_ZONES`"),
        Breakage::counted(
            "servers of a list",
            fleet.caches.into(),
            inputs.bounds.servers.value,
            "wrong: the list is refused, the last good one stays",
            "input `servers`",
        ),
        connections(&path, inputs),
    ]
}

/// Connections of a proxy to the caches of its zone, as many as the pool opens.
fn connections(path: &DataPath, inputs: &Inputs) -> Breakage {
    let need = inputs.data_path.connections_per_cache.value.map(|each| each * path.caches_per_zone());
    let limit = path.cache_descriptors();
    Breakage {
        what: "connections of a proxy to the caches of its zone, as many as the pool opens".into(),
        need: or_missing(need, number),
        limit: or_missing(limit, number),
        ratio: Ratio::of(need, limit),
        happens: "late: no further connection opens, requests share those there are".into(),
        from: "inputs of `data_path`; caches over zones".into(),
    }
}

fn gossip(measured: &Measured, inputs: &Inputs) -> Vec<Breakage> {
    let target = measured.target;
    let settings = GossipSettings::new("", [0; 32], Vec::new());
    let proxies = target.fleet.proxies;
    let round = f64::from(proxies.saturating_sub(1)) * settings.probe_period as f64 / MICROS;
    let between_failures = SECONDS_A_DAY / target.failures.machines_per_day;
    let fleet = proxies as usize;
    let witnesses = Quorum { eligible: fleet, live: fleet, tolerated_faults: settings.tolerated_faults }
        .required_witnesses();
    let requests = DataPath::new(target, inputs).requests_per_proxy();
    let room = (settings.statement_bytes_per_s + settings.statement_bytes_per_request * requests)
        * EVIDENCE_LIFETIME as f64
        / MICROS;
    let need = inputs.bounds.witness_bytes.value.map(|each| each * witnesses as f64);
    vec![
        Breakage {
            what: "gossip: a round of probes, one peer a period".into(),
            need: format!("{} s", number(round)),
            limit: format!("{} s between two failures of machines", number(between_failures)),
            ratio: Ratio::Times(round / between_failures),
            happens: "late: the next machine fails before all were probed once".into(),
            from: "`gossip/src/settings.rs` `probe_period`; `machines_per_day`".into(),
        },
        Breakage {
            what: format!("gossip: {} witnesses of one suspicion", number(witnesses as f64)),
            need: or_missing(need, bytes),
            limit: format!("{} while a failure counts", bytes(room)),
            ratio: Ratio::of(need, Some(room)),
            happens: "late: nothing is believed, each proxy learns alone".into(),
            from:
                "`Quorum::required_witnesses` without `faults`; input `witness_bytes`; `gossip/src/evidence.rs` `EVIDENCE_LIFETIME`"
                    .into(),
        },
    ]
}

fn discovery(measured: &Measured, inputs: &Inputs) -> Vec<Breakage> {
    let path = DataPath::new(measured.target, inputs);
    let place = (Design::Star, Part::Discovery, Role::ListService);
    let needs = at_most(measured, place);
    let share = largest(&needs.readings, Quantity::CoreShare, None);
    let deliveries = path.purge_deliveries();
    let sent = purge_bytes(measured).map(|each| each * deliveries);
    let cores = limit(measured.target, place.2, Quantity::CoreShare);
    let sent = or_missing(sent, |sent| bytes(sent) + "/s");
    let everywhere = measured.figure("purge_everywhere_s_p99");
    let wanted = measured.target.purges.everywhere_s;
    let missed = path.purges_in_a_cut();
    let budget = measured.target.control.bytes_per_s;
    let catch_up = purge_bytes(measured).map(|each| each * missed / budget);
    vec![
        Breakage {
            what: format!("one list service: {} deliveries of purges a second, {sent}", number(deliveries)),
            need: or_missing(share.map(|share| share.value), core),
            limit: or_missing(cores, core),
            ratio: Ratio::of(share.map(|share| share.value), cores),
            happens: "late: purges queue behind each other".into(),
            from: format!("stand-in; {}", share.map_or_else(|| NOT_MEASURED.into(), |_| needs.extent())),
        },
        Breakage {
            what: "seconds until a purge is done at 99 in 100 proxies".into(),
            need: or_missing(everywhere, number),
            limit: number(wanted),
            ratio: Ratio::of(everywhere, Some(wanted)),
            happens: "wrong: copies from before a purge are served".into(),
            from: "figure `purge_everywhere_s_p99`".into(),
        },
        Breakage {
            what: format!("{} purges missed in a cut, heard within control's bytes a second", number(missed)),
            need: or_missing(catch_up, |seconds| format!("{} s", number(seconds))),
            limit: format!("{} s", number(wanted)),
            ratio: Ratio::of(catch_up, Some(wanted)),
            happens: "over budget: the watch is not paced; paced, purges would be late".into(),
            from: "measured bytes of a purge on a watch; `cut_s`, `bytes_per_s`".into(),
        },
    ]
}

fn cut_region(measured: &Measured, inputs: &Inputs) -> Vec<Breakage> {
    let row = |what: &str, used: Option<f64>, from: &str| Breakage {
        what: format!("a region that is cut off: part of its share of the budgets, {what}"),
        need: number(1.0),
        limit: or_missing(used, number),
        ratio: Ratio::of(Some(1.0), used),
        happens: "late: less is sent than the caches would bear".into(),
        from: from.into(),
    };
    let cut = measured.target.failures.cut_s;
    vec![
        row("floors alone, by arithmetic", inputs.bounds.floor_part.value, "input `floor_part`"),
        row("star, by the run", measured.figure("cut_hour_used_before"), "figure `cut_hour_used_before`"),
        row("tree, by the run", measured.figure("cut_hour_used"), "figure `cut_hour_used`"),
        Breakage {
            what: format!("a region that is cut off for {} s: decisions on its zones", number(cut)),
            need: "one for each zone that fails".into(),
            limit: "none without a majority of the voters".into(),
            ratio: Ratio::NotCarried,
            happens: "late: no zone is left or taken back, each proxy's own skips work".into(),
            from: "`docs/zones.md`, In a cut".into(),
        },
    ]
}

fn changes(measured: &Measured) -> Vec<Breakage> {
    let changes = &measured.target.changes;
    let everywhere = measured.figure("config_everywhere_s_p99");
    let ratio = everywhere.map_or(Ratio::NotCarried, |seconds| Ratio::Times(seconds / changes.everywhere_s));
    vec![Breakage {
        what: format!("{} changes of configuration a day", number(changes.per_day)),
        need: everywhere.map_or_else(|| "nothing carries it".into(), |seconds| format!("{} s", number(seconds))),
        limit: format!("{} s", number(changes.everywhere_s)),
        ratio,
        happens: "wrong: the old configuration is in force until a restart".into(),
        from: "figure `config_everywhere_s_p99`; `node/src/config.rs`: read at start, SIGHUP moves discovery only".into(),
    }]
}

fn machines(measured: &Measured) -> Breakage {
    let need = measured.figure("control_machines");
    let limit = f64::from(measured.target.control.machines);
    Breakage {
        what: "machines for control".into(),
        need: or_missing(need, number),
        limit: number(limit),
        ratio: Ratio::of(need, Some(limit)),
        happens: "over budget".into(),
        from: "figure `control_machines`".into(),
    }
}

/// The worst need of each role in each part, and in all parts together.
fn roles(measured: &Measured) -> Vec<Breakage> {
    let places = places(measured);
    let bound = places.iter().filter(|(_, _, role)| !matches!(role, Role::ListService | Role::CacheServer));
    let mut rows: Vec<Breakage> = bound.clone().map(|place| role(measured, *place)).collect();
    let mut whole: Vec<(Design, Role)> = bound.map(|(design, _, role)| (*design, *role)).collect();
    whole.sort();
    whole.dedup();
    for (design, role) in whole {
        if let Some(needs) = all_parts(measured, design, role) {
            let what = format!("{}: {}, {}", names::design(design), names::role(role), needs.event);
            rows.push(of_needs(measured, what, role, &needs));
        }
    }
    rows
}

fn role(measured: &Measured, place: Place) -> Breakage {
    let (design, part, role) = place;
    let what = format!("{}: {}, {}", names::design(design), names::role(role), names::part(part));
    of_needs(measured, what, role, &at_most(measured, place))
}

fn of_needs(measured: &Measured, what: String, role: Role, needs: &Needs) -> Breakage {
    let Some(excess) = needs.worst(measured.target, role) else {
        let missing = || NOT_MEASURED.to_owned();
        let ratio = Ratio::NotMeasured;
        return Breakage {
            what,
            need: missing(),
            limit: missing(),
            ratio,
            happens: missing(),
            from: missing(),
        };
    };
    Breakage {
        what,
        need: format!("{}: {}", names::quantity(excess.quantity), written(excess.quantity, excess.need)),
        limit: written(excess.quantity, excess.limit),
        ratio: Ratio::Times(excess.ratio()),
        happens: over_limit(excess).into(),
        from: needs.extent(),
    }
}

/// What a process does that needs more than it may have.
fn over_limit(excess: Excess) -> &'static str {
    match excess.quantity {
        Quantity::CoreShare if excess.need > 1.0 => "late: one core cannot keep up, messages are lost",
        Quantity::CoreShare => "over budget: requests get less of the core",
        Quantity::MemoryBytes => "over budget: requests get less of the memory",
        _ => "over budget: control takes the link from requests",
    }
}
