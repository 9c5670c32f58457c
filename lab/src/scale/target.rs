//! The size that the fleet is designed for, read from `deploy/target.toml`.
use serde::Deserialize;

/// A target size; every field stands in the file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Machines and places.
    pub fleet: Fleet,
    /// The data path at the peak.
    pub load: Load,
    /// Purges.
    pub purges: Purges,
    /// Changes of configuration.
    pub changes: Changes,
    /// What control may cost.
    pub control: Control,
    /// What fails.
    pub failures: Failures,
}

/// Machines and places.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Steering proxies.
    pub proxies: u32,
    /// Sites, at which the proxies stand.
    pub sites: u32,
    /// Cache servers.
    pub caches: u32,
    /// Regions, of whole sites.
    pub regions: u32,
    /// Zones, of whole regions' machines.
    pub zones: u32,
}

/// The data path at the peak.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests a second of the whole fleet.
    pub requests_per_s: f64,
    /// Bits a second of the whole fleet.
    pub bits_per_s: f64,
    /// Objects that may be asked for.
    pub objects: f64,
}

/// Purges.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Purges {
    /// Purges a second.
    pub per_s: f64,
    /// Seconds within which each holds everywhere.
    pub everywhere_s: f64,
}

/// Changes of configuration.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// Changes a day.
    pub per_day: f64,
    /// Seconds within which each holds everywhere.
    pub everywhere_s: f64,
    /// A burst, as a multiple of the mean rate.
    pub burst: f64,
}

/// What control may cost a proxy, and the machines set aside for control.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Share of a core.
    pub core: f64,
    /// Megabytes (10^6 bytes) of memory.
    pub megabytes: f64,
    /// Bytes a second, in and out each.
    pub bytes_per_s: f64,
    /// Machines set aside for control.
    pub machines: u32,
}

/// What fails.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failures {
    /// Machines that fail on an ordinary day.
    pub machines_per_day: f64,
    /// Machines that are restarted or replaced on an ordinary day.
    pub restarts_per_day: f64,
    /// Proxies behind one rack or switch.
    pub rack: u32,
    /// Proxies in one zone.
    pub zone: u32,
    /// Seconds for which regions lose each other.
    pub cut_s: f64,
}

impl Target {
    /// Reads a target file's text.
    ///
    /// # Errors
    /// One line that says what is wrong with it.
    pub fn read(text: &str) -> Result<Target, String> {
        toml::from_str(text).map_err(|error| error.to_string().trim_end().replace('\n', " "))
    }

    /// Whether a fleet of this size can be reckoned with: every figure is finite and over zero.
    ///
    /// # Errors
    /// The first field that is not, in one line.
    pub fn check(&self) -> Result<(), String> {
        let (fleet, load, failures) = (&self.fleet, &self.load, &self.failures);
        let fields = [
            ("fleet.proxies", f64::from(fleet.proxies)),
            ("fleet.sites", f64::from(fleet.sites)),
            ("fleet.caches", f64::from(fleet.caches)),
            ("fleet.regions", f64::from(fleet.regions)),
            ("fleet.zones", f64::from(fleet.zones)),
            ("load.requests_per_s", load.requests_per_s),
            ("load.bits_per_s", load.bits_per_s),
            ("load.objects", load.objects),
            ("purges.per_s", self.purges.per_s),
            ("purges.everywhere_s", self.purges.everywhere_s),
            ("changes.per_day", self.changes.per_day),
            ("changes.everywhere_s", self.changes.everywhere_s),
            ("changes.burst", self.changes.burst),
            ("control.core", self.control.core),
            ("control.megabytes", self.control.megabytes),
            ("control.bytes_per_s", self.control.bytes_per_s),
            ("control.machines", f64::from(self.control.machines)),
            ("failures.machines_per_day", failures.machines_per_day),
            ("failures.restarts_per_day", failures.restarts_per_day),
            ("failures.rack", f64::from(failures.rack)),
            ("failures.zone", f64::from(failures.zone)),
            ("failures.cut_s", failures.cut_s),
        ];
        match fields.iter().find(|(_, value)| !value.is_finite() || *value <= 0.0) {
            Some((name, _)) => Err(format!("'{name}' has to be a number over zero")),
            None => Ok(()),
        }
    }
}
