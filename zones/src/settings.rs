//! The settings of an instance (the zones, the voters and the proxy's own identity) and their validation.
use crate::{Author, MAX_ZONES};
use nickelgate::Micros;
use threadward_budgets::{MAX_PROXIES, MAX_VOTERS};

/// What the members of a zone are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Caches that serve the requests of the proxies in the same zone.
    Location,
    /// Central caches, from which all other caches fill.
    Parent,
}

/// One zone, as the settings describe it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Zone {
    /// What its members are.
    pub kind: Kind,
    /// The region. Zones with the same number form one: a parent zone and the locations tied to it.
    pub region: u16,
    /// The time that its members need to warm up.
    pub warm_up: Micros,
    /// The zones that take over its load while it is out.
    pub fallbacks: Vec<u16>,
}

/// The settings of one proxy's instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// This proxy's index in the operators' file and its incarnation, as in the instance of shared budgets.
    pub me: Author,
    /// The number of proxies in the operators' file.
    pub proxies: u16,
    /// The indices of the voters; their number is odd.
    pub voters: Vec<u16>,
    /// The zone in which this proxy runs.
    pub own_zone: u16,
    /// How long the authority to decide lasts.
    pub lease: Micros,
    /// All zones, in the order of their numbers.
    pub zones: Vec<Zone>,
}

/// Validates settings.
///
/// # Errors
/// Returns one line that says what is wrong with the settings.
pub fn check(settings: &Settings) -> Result<(), String> {
    let zones = settings.zones.len();
    if zones == 0 || zones > MAX_ZONES {
        return Err(format!("{zones} zones: 1 to {MAX_ZONES}"));
    }
    if let Some(fallback) = settings
        .zones
        .iter()
        .flat_map(|zone| &zone.fallbacks)
        .find(|fallback| usize::from(**fallback) >= zones)
    {
        return Err(format!("zone {fallback} is to take load but does not exist"));
    }
    let voters = &settings.voters;
    if voters.len().is_multiple_of(2)
        || voters.len() > MAX_VOTERS
        || voters.iter().any(|voter| *voter >= settings.proxies)
    {
        return Err(format!(
            "{} voters: must be an odd number of proxies, {MAX_VOTERS} at most",
            voters.len()
        ));
    }
    if usize::from(settings.proxies) > MAX_PROXIES || settings.me.index >= settings.proxies {
        return Err(format!(
            "proxy index {} of {} proxies: {MAX_PROXIES} proxies at most",
            settings.me.index, settings.proxies
        ));
    }
    Ok(())
}
