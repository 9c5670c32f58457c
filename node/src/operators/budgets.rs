//! The part `[budgets]`: budgets that all proxies share, and how they are divided. The shared key is never taken from the
//! operators' file itself.
use super::{Own, Part, Wrong};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use threadward_budgets::MAX_PROXIES;
use threadward_control::{Location, Scope, SettingsError, SharedBudget, Topology, TopologyError};
use threadward_core::Micros;

pub const KEYS: &[&str] =
    &["secret_file", "lease_ms", "probes_per_cache_s", "cold_per_s", "probes_scope", "cold_scope", "proxy"];
const PROXY: &[&str] = &["name", "address", "voter", "region", "site"];

/// Keys of the budget totals and of their scopes, in the order of the budgets.
const WHOLES: [&str; 2] = ["probes_per_cache_s", "cold_per_s"];
const SCOPES: [&str; 2] = ["probes_scope", "cold_scope"];

/// Units of the budget of probes in a probe a second: its shares are whole numbers that 300 proxies can still divide.
pub const PROBE_UNITS: Micros = 1000;
/// Units of the budget of cold members in a request a second.
pub const COLD_UNITS: u32 = 10;

/// What it says of budgets that all proxies share.
#[derive(Clone)]
pub struct BudgetSettings {
    /// The own address, and all proxies' in the order of the file.
    pub listen: SocketAddr,
    pub proxies: Vec<SocketAddr>,
    pub names: Vec<String>,
    pub key: [u8; 32],
    pub division: Division,
}

/// Who divides the budgets.
#[derive(Clone)]
pub enum Division {
    /// One proxy for all: the file names no regions and sites.
    Plain(threadward_budgets::Settings),
    /// The leaders of sites, regions and the fleet.
    Tree(TreeSettings),
}

/// What the control tree is told, and the names of where this proxy stands.
#[derive(Clone)]
pub struct TreeSettings {
    pub settings: threadward_control::Settings,
    pub site: String,
    pub region: String,
}

/// One proxy as the file names it.
struct Entry<'a> {
    part: Part<'a>,
    name: &'a str,
    address: SocketAddr,
    voter: bool,
    location: Option<Location<'a>>,
}

pub fn read(part: &Part, own: &Own) -> Result<BudgetSettings, Wrong> {
    let entries = entries(part)?;
    let division = division(part, own, &entries)?;
    let key = part.secret_key("secret_file", own.folder)?;
    let proxies: Vec<SocketAddr> = entries.iter().map(|entry| entry.address).collect();
    let listen = proxies[usize::from(division.own_index())];
    let names = entries.iter().map(|entry| entry.name.to_owned()).collect();
    Ok(BudgetSettings { listen, proxies, names, key, division })
}

impl Division {
    /// The own place among the proxies of the file.
    pub fn own_index(&self) -> u16 {
        match self {
            Division::Plain(settings) => settings.index,
            Division::Tree(tree) => tree.settings.proxy_index,
        }
    }

    /// The whole of each budget, in units.
    pub fn budget_totals(&self) -> Vec<u32> {
        match self {
            Division::Plain(settings) => settings.totals.clone(),
            Division::Tree(tree) => tree.settings.budgets.iter().map(|budget| budget.total_units).collect(),
        }
    }
}

/// The proxies in the order of the file, no name twice.
fn entries<'a>(part: &Part<'a>) -> Result<Vec<Entry<'a>>, Wrong> {
    let mut names = BTreeSet::new();
    let mut entries = Vec::new();
    for proxy in part.tables("proxy", PROXY)? {
        let entry = entry(proxy)?;
        if !names.insert(entry.name) {
            return Err(entry.part.wrong(format!("proxy '{}' stands twice", entry.name)));
        }
        entries.push(entry);
    }
    match entries.is_empty() {
        true => Err(part.wrong("no proxy")),
        false => Ok(entries),
    }
}

fn entry(part: Part<'_>) -> Result<Entry<'_>, Wrong> {
    let named = part.text("name")?.filter(|name| !name.is_empty());
    let name = named.ok_or_else(|| part.wrong("a proxy without 'name'"))?;
    let whose = format!("proxy '{name}'");
    let address = part.address("address").map_err(|wrong| wrong.of(&whose))?;
    let location = location(&part).map_err(|wrong| wrong.of(&whose))?;
    let voter = part.flag("voter")?;
    if location.is_some() && part.has("voter") {
        let what =
            "'voter' has no place beside 'region': the voters of each level follow from the file's order";
        return Err(part.wrong_at("voter", what).of(&whose));
    }
    Ok(Entry { part, name, address, voter, location })
}

/// Where a proxy stands, if it says so.
fn location<'a>(part: &Part<'a>) -> Result<Option<Location<'a>>, Wrong> {
    let named = |key: &str| match part.text(key)? {
        Some("") => Err(part.wrong_at(key, format!("'{key}' is empty"))),
        text => Ok(text),
    };
    match (named("region")?, named("site")?) {
        (None, None) => Ok(None),
        (Some(region), Some(site)) => Ok(Some(Location { region, site })),
        (Some(_), None) => Err(part.wrong_at("region", "'region' without 'site'")),
        (None, Some(_)) => Err(part.wrong_at("site", "'site' without 'region'")),
    }
}

/// Where all proxies stand; nothing if none says so.
fn locations<'a>(entries: &[Entry<'a>]) -> Result<Option<Vec<Location<'a>>>, Wrong> {
    if entries.iter().all(|entry| entry.location.is_none()) {
        return Ok(None);
    }
    let located = |entry: &Entry<'a>| {
        let what =
            format!("proxy '{}' names no region and site, others do: all name both, or none", entry.name);
        entry.location.ok_or_else(|| entry.part.wrong(what))
    };
    entries.iter().map(located).collect::<Result<Vec<_>, _>>().map(Some)
}

fn division(part: &Part, own: &Own, entries: &[Entry]) -> Result<Division, Wrong> {
    let locations = locations(entries)?;
    if locations.is_none() && entries.len() > MAX_PROXIES {
        let count = entries.len();
        return Err(part.wrong(format!(
            "the file names {count} proxies, more than the {MAX_PROXIES} that this version takes without regions and \
             sites: name 'region' and 'site' for each proxy"
        )));
    }
    let place = entries.iter().position(|entry| entry.name == own.name);
    let place = place.ok_or_else(|| part.wrong(format!("no proxy has this one's name, '{}'", own.name)))?;
    match locations {
        None => plain(part, place, entries).map(Division::Plain),
        Some(locations) => tree(part, place, entries, &locations).map(Division::Tree),
    }
}

fn plain(part: &Part, place: usize, entries: &[Entry]) -> Result<threadward_budgets::Settings, Wrong> {
    if let Some(key) = SCOPES.iter().find(|key| part.has(key)) {
        return Err(part.wrong_at(key, format!("'{key}' needs 'region' and 'site' of each proxy")));
    }
    // At most MAX_PROXIES, which fits.
    let voters = (0u16..).zip(entries).filter(|(_, entry)| entry.voter).map(|(place, _)| place).collect();
    let settings = threadward_budgets::Settings {
        index: place as u16,
        proxies: entries.len() as u16,
        voters,
        totals: budget_totals(part)?,
        lease: lease(part)?,
    };
    threadward_budgets::check(&settings).map_err(|e| {
        let key = if e.starts_with("'lease_ms'") { "lease_ms" } else { "" };
        part.wrong_at(key, e)
    })?;
    Ok(settings)
}

fn tree(part: &Part, place: usize, entries: &[Entry], locations: &[Location]) -> Result<TreeSettings, Wrong> {
    let topology = Topology::new(locations).map_err(|error| topology_error(part, entries, &error))?;
    let scopes = [scope(part, 0)?, scope(part, 1)?];
    let budgets = budget_totals(part)?.into_iter().zip(scopes);
    let settings = threadward_control::Settings {
        // The topology takes no more proxies than fit.
        proxy_index: place as u16,
        topology: Arc::new(topology),
        budgets: budgets.map(|(whole, scope)| SharedBudget { total_units: whole, scope }).collect(),
        lease: lease(part)?,
    };
    settings.check().map_err(|error| {
        let key = match &error {
            SettingsError::Lease(_) => "lease_ms",
            SettingsError::TotalOutOfRange { budget, .. } => WHOLES.get(*budget).copied().unwrap_or_default(),
            _ => "",
        };
        part.wrong_at(key, error.to_string())
    })?;
    let own = locations[place];
    Ok(TreeSettings { settings, site: own.site.to_owned(), region: own.region.to_owned() })
}

/// At the proxy that it is about, where it is about one.
fn topology_error(part: &Part, entries: &[Entry], error: &TopologyError) -> Wrong {
    let at = match error {
        TopologyError::SiteInTwoRegions { site, second, .. } => {
            let second = Some(Location { region: second, site });
            entries.iter().find(|entry| entry.location == second).map(|entry| &entry.part)
        }
        _ => None,
    };
    at.unwrap_or(part).wrong(error.to_string())
}

/// Who shares a budget.
fn scope(part: &Part, budget: usize) -> Result<Scope, Wrong> {
    let (key, whole) = (SCOPES[budget], WHOLES[budget]);
    match part.text(key)? {
        Some(_) if !part.has(whole) => Err(part.wrong_at(key, format!("'{key}' without '{whole}'"))),
        None | Some("fleet") => Ok(Scope::Fleet),
        Some("region") => Ok(Scope::Region),
        Some(_) => Err(part.wrong_at(key, format!("'{key}' is neither \"fleet\" nor \"region\""))),
    }
}

/// The whole of each budget that the file gives, in units.
fn budget_totals(part: &Part) -> Result<Vec<u32>, Wrong> {
    let [probes, cold] = WHOLES;
    let mut budget_totals = vec![(positive(part, probes)? * PROBE_UNITS as f64) as u32];
    if part.has(cold) {
        budget_totals.push((positive(part, cold)? * f64::from(COLD_UNITS)) as u32);
    }
    Ok(budget_totals)
}

fn lease(part: &Part) -> Result<Micros, Wrong> {
    Ok((positive(part, "lease_ms")? * 1000.0) as Micros)
}

fn positive(part: &Part, key: &str) -> Result<f64, Wrong> {
    let number = part.number(key)?.filter(|number| *number > 0.0 && *number < 1e6);
    number.ok_or_else(|| part.wrong_at(key, format!("'{key}' is missing or no number over 0")))
}
