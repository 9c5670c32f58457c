//! The settings of an instance: the zones, the voters and the own place; and their check.
use crate::{Author, MOST_ZONES};
use nickelgate::Micros;
use threadward_budgets::{MAX_PROXIES, MAX_VOTERS};

/// What a zone's members are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Caches that the proxies which stand there send to.
    Location,
    /// Central caches, from which all fill.
    Hub,
}

/// A zone, as the settings name it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Zone {
    /// What its members are.
    pub kind: Kind,
    /// Zones of one number are a region: a hub and the locations tied to it.
    pub region: u16,
    /// The time in which its members get warm.
    pub cold: Micros,
    /// Where its load goes while it is out.
    pub takers: Vec<u16>,
}

/// The settings of one proxy's instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// The own place in the file and the life, as budgets has them.
    pub me: Author,
    /// Proxies that the file names.
    pub proxies: u16,
    /// Places of the voters, odd in number.
    pub voters: Vec<u16>,
    /// The zone that this proxy stands in.
    pub stands: u16,
    /// How long the authority to decide lasts.
    pub lease: Micros,
    /// All zones, in the order of their numbers.
    pub zones: Vec<Zone>,
}

/// Checks settings.
///
/// # Errors
/// One line that says what is wrong with the settings.
pub fn check(settings: &Settings) -> Result<(), String> {
    let zones = settings.zones.len();
    if zones == 0 || zones > MOST_ZONES {
        return Err(format!("{zones} zones: 1 to {MOST_ZONES}"));
    }
    if let Some(taker) =
        settings.zones.iter().flat_map(|zone| &zone.takers).find(|taker| usize::from(**taker) >= zones)
    {
        return Err(format!("zone {taker} is to take load and is no zone"));
    }
    let voters = &settings.voters;
    if voters.len().is_multiple_of(2)
        || voters.len() > MAX_VOTERS
        || voters.iter().any(|voter| *voter >= settings.proxies)
    {
        return Err(format!("{} voters: an odd number of proxies, {MAX_VOTERS} at most", voters.len()));
    }
    if usize::from(settings.proxies) > MAX_PROXIES || settings.me.index >= settings.proxies {
        return Err(format!("place {} of {}: {MAX_PROXIES} at most", settings.me.index, settings.proxies));
    }
    Ok(())
}
