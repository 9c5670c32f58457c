//! The part `[budgets]`: budgets that all proxies share, and how they are divided. The shared key is never in
//! the operators' file itself.
use super::{FileError, Part, ReadContext};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use threadward_budgets::MAX_PROXIES;
use threadward_control::{Location, Scope, SettingsError, SharedBudget, Topology, TopologyError};
use threadward_core::Micros;

pub const KEYS: &[&str] =
    &["secret_file", "lease_ms", "probes_per_cache_s", "cold_per_s", "probes_scope", "cold_scope", "proxy"];
const PROXY_KEYS: &[&str] = &["name", "address", "voter", "region", "site"];

/// Keys of the budgets' totals, in the order of the budgets.
const TOTAL_KEYS: [&str; 2] = ["probes_per_cache_s", "cold_per_s"];
/// Keys of the budgets' scopes, in the order of the budgets.
const SCOPE_KEYS: [&str; 2] = ["probes_scope", "cold_scope"];

/// Units of the budget of probes per probe a second: shares are whole numbers of units, so that 300 proxies
/// can still divide the budget.
pub const PROBE_UNITS: Micros = 1000;
/// Units of the budget of cold members per request a second.
pub const COLD_UNITS: u32 = 10;

/// The settings of the budgets that all proxies share.
#[derive(Clone)]
pub struct BudgetSettings {
    /// The address of this proxy.
    pub listen: SocketAddr,
    /// The addresses of all proxies, in the order of the file.
    pub proxies: Vec<SocketAddr>,
    /// The names of all proxies, in the order of the file.
    pub names: Vec<String>,
    /// The key that all proxies share.
    pub key: [u8; 32],
    pub division: Division,
}

/// Who divides the budgets.
#[derive(Clone)]
pub enum Division {
    /// One proxy for the whole fleet: the file names no regions and sites.
    Plain(threadward_budgets::Settings),
    /// The leaders of sites, regions and the fleet.
    Tree(TreeSettings),
}

/// The settings of the control tree, and the names of this proxy's site and region.
#[derive(Clone)]
pub struct TreeSettings {
    pub settings: threadward_control::Settings,
    pub site: String,
    pub region: String,
}

/// A proxy as listed in the file.
struct Entry<'a> {
    part: Part<'a>,
    name: &'a str,
    address: SocketAddr,
    voter: bool,
    location: Option<Location<'a>>,
}

/// Reads the part.
pub fn read(part: &Part, context: &ReadContext) -> Result<BudgetSettings, FileError> {
    let entries = entries(part)?;
    let division = division(part, context, &entries)?;
    let key = part.secret_key("secret_file", context.folder)?;
    let proxies: Vec<SocketAddr> = entries.iter().map(|entry| entry.address).collect();
    let listen = proxies[usize::from(division.own_index())];
    let names = entries.iter().map(|entry| entry.name.to_owned()).collect();
    Ok(BudgetSettings { listen, proxies, names, key, division })
}

impl Division {
    /// Returns the index of this proxy among the proxies of the file.
    pub fn own_index(&self) -> u16 {
        match self {
            Division::Plain(settings) => settings.index,
            Division::Tree(tree) => tree.settings.proxy_index,
        }
    }

    /// Returns the total of each budget in units.
    pub fn budget_totals(&self) -> Vec<u32> {
        match self {
            Division::Plain(settings) => settings.totals.clone(),
            Division::Tree(tree) => tree.settings.budgets.iter().map(|budget| budget.total_units).collect(),
        }
    }
}

/// Reads the proxies in the order of the file. No name may be used twice.
fn entries<'a>(part: &Part<'a>) -> Result<Vec<Entry<'a>>, FileError> {
    let mut names = BTreeSet::new();
    let mut entries = Vec::new();
    for proxy in part.tables("proxy", PROXY_KEYS)? {
        let entry = entry(proxy)?;
        if !names.insert(entry.name) {
            return Err(entry.part.head_error(format!("proxy '{}' stands twice", entry.name)));
        }
        entries.push(entry);
    }
    match entries.is_empty() {
        true => Err(part.head_error("no proxy")),
        false => Ok(entries),
    }
}

/// Reads a proxy.
fn entry(part: Part<'_>) -> Result<Entry<'_>, FileError> {
    let named = part.text("name")?.filter(|name| !name.is_empty());
    let name = named.ok_or_else(|| part.head_error("a proxy without 'name'"))?;
    let prefix = format!("proxy '{name}'");
    let address = part.address("address").map_err(|e| e.about(&prefix))?;
    let location = location(&part).map_err(|e| e.about(&prefix))?;
    let voter = part.flag("voter")?;
    if location.is_some() && part.has("voter") {
        let what =
            "'voter' has no place beside 'region': the voters of each level follow from the file's order";
        return Err(part.key_error("voter", what).about(&prefix));
    }
    Ok(Entry { part, name, address, voter, location })
}

/// Reads the region and site of a proxy, if it names them.
fn location<'a>(part: &Part<'a>) -> Result<Option<Location<'a>>, FileError> {
    let named = |key: &str| match part.text(key)? {
        Some("") => Err(part.key_error(key, format!("'{key}' is empty"))),
        text => Ok(text),
    };
    match (named("region")?, named("site")?) {
        (None, None) => Ok(None),
        (Some(region), Some(site)) => Ok(Some(Location { region, site })),
        (Some(_), None) => Err(part.key_error("region", "'region' without 'site'")),
        (None, Some(_)) => Err(part.key_error("site", "'site' without 'region'")),
    }
}

/// Returns the regions and sites of all proxies, or `None` if no proxy names any.
fn locations<'a>(entries: &[Entry<'a>]) -> Result<Option<Vec<Location<'a>>>, FileError> {
    if entries.iter().all(|entry| entry.location.is_none()) {
        return Ok(None);
    }
    let located = |entry: &Entry<'a>| {
        let what =
            format!("proxy '{}' names no region and site, others do: all name both, or none", entry.name);
        entry.location.ok_or_else(|| entry.part.head_error(what))
    };
    entries.iter().map(located).collect::<Result<Vec<_>, _>>().map(Some)
}

/// Reads how the budgets are divided.
fn division(part: &Part, context: &ReadContext, entries: &[Entry]) -> Result<Division, FileError> {
    let locations = locations(entries)?;
    if locations.is_none() && entries.len() > MAX_PROXIES {
        let count = entries.len();
        return Err(part.head_error(format!(
            "the file names {count} proxies, more than the {MAX_PROXIES} that this version takes without regions and \
             sites: name 'region' and 'site' for each proxy"
        )));
    }
    let own_position = entries.iter().position(|entry| entry.name == context.name);
    let own_position = own_position
        .ok_or_else(|| part.head_error(format!("no proxy has this one's name, '{}'", context.name)))?;
    match locations {
        None => plain(part, own_position, entries).map(Division::Plain),
        Some(locations) => tree(part, own_position, entries, &locations).map(Division::Tree),
    }
}

/// Reads the settings of a division by one proxy.
fn plain(
    part: &Part,
    own_position: usize,
    entries: &[Entry],
) -> Result<threadward_budgets::Settings, FileError> {
    if let Some(key) = SCOPE_KEYS.iter().find(|key| part.has(key)) {
        return Err(part.key_error(key, format!("'{key}' needs 'region' and 'site' of each proxy")));
    }
    // There are at most MAX_PROXIES, so an index fits.
    let voters = (0u16..).zip(entries).filter(|(_, entry)| entry.voter).map(|(number, _)| number).collect();
    let settings = threadward_budgets::Settings {
        index: own_position as u16,
        proxies: entries.len() as u16,
        voters,
        totals: budget_totals(part)?,
        lease: lease(part)?,
    };
    threadward_budgets::check(&settings).map_err(|e| {
        let key = if e.starts_with("'lease_ms'") { "lease_ms" } else { "" };
        part.key_error(key, e)
    })?;
    Ok(settings)
}

/// Reads the settings of a division by the control tree.
fn tree(
    part: &Part,
    own_position: usize,
    entries: &[Entry],
    locations: &[Location],
) -> Result<TreeSettings, FileError> {
    let topology = Topology::new(locations).map_err(|error| topology_error(part, entries, &error))?;
    let scopes = [scope(part, 0)?, scope(part, 1)?];
    let budgets = budget_totals(part)?.into_iter().zip(scopes);
    let settings = threadward_control::Settings {
        // The topology takes no more proxies than an index can number.
        proxy_index: own_position as u16,
        topology: Arc::new(topology),
        budgets: budgets.map(|(total, scope)| SharedBudget { total_units: total, scope }).collect(),
        lease: lease(part)?,
    };
    settings.check().map_err(|error| {
        let key = match &error {
            SettingsError::Lease(_) => "lease_ms",
            SettingsError::TotalOutOfRange { budget, .. } => {
                TOTAL_KEYS.get(*budget).copied().unwrap_or_default()
            }
            _ => "",
        };
        part.key_error(key, error.to_string())
    })?;
    let own_location = locations[own_position];
    Ok(TreeSettings { settings, site: own_location.site.to_owned(), region: own_location.region.to_owned() })
}

/// Returns an error of the topology, at the proxy that it is about if there is one.
fn topology_error(part: &Part, entries: &[Entry], error: &TopologyError) -> FileError {
    let at = match error {
        TopologyError::SiteInTwoRegions { site, second, .. } => {
            let second = Some(Location { region: second, site });
            entries.iter().find(|entry| entry.location == second).map(|entry| &entry.part)
        }
        _ => None,
    };
    at.unwrap_or(part).head_error(error.to_string())
}

/// Reads the scope of a budget: which proxies share it.
fn scope(part: &Part, budget: usize) -> Result<Scope, FileError> {
    let (key, total) = (SCOPE_KEYS[budget], TOTAL_KEYS[budget]);
    match part.text(key)? {
        Some(_) if !part.has(total) => Err(part.key_error(key, format!("'{key}' without '{total}'"))),
        None | Some("fleet") => Ok(Scope::Fleet),
        Some("region") => Ok(Scope::Region),
        Some(_) => Err(part.key_error(key, format!("'{key}' is neither \"fleet\" nor \"region\""))),
    }
}

/// Reads the total of each budget in the file, in units.
fn budget_totals(part: &Part) -> Result<Vec<u32>, FileError> {
    let [probes, cold] = TOTAL_KEYS;
    let mut budget_totals = vec![(positive(part, probes)? * PROBE_UNITS as f64) as u32];
    if part.has(cold) {
        budget_totals.push((positive(part, cold)? * f64::from(COLD_UNITS)) as u32);
    }
    Ok(budget_totals)
}

/// Reads the length of a lease.
fn lease(part: &Part) -> Result<Micros, FileError> {
    Ok((positive(part, "lease_ms")? * 1000.0) as Micros)
}

/// Reads a number over 0 and under a million.
fn positive(part: &Part, key: &str) -> Result<f64, FileError> {
    let number = part.number(key)?.filter(|number| *number > 0.0 && *number < 1e6);
    number.ok_or_else(|| part.key_error(key, format!("'{key}' is missing or no number over 0")))
}
