//! The size that the fleet is designed for, as read from `deploy/target.toml`.
use serde::Deserialize;

/// A target size. The file has to contain every field.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The sizes of the fleet.
    pub fleet: Fleet,
    /// The load of the data path at the peak.
    pub load: Load,
    /// Purges.
    pub purges: Purges,
    /// Changes of configuration.
    pub changes: Changes,
    /// The limits of control.
    pub control: Control,
    /// The failures to be expected.
    pub failures: Failures,
}

/// The sizes of the fleet.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of steering proxies.
    pub proxies: u32,
    /// Number of sites that house the proxies.
    pub sites: u32,
    /// Number of cache servers.
    pub caches: u32,
    /// Number of regions, which consist of whole sites.
    pub regions: u32,
    /// Number of zones, into which the machines of whole regions are divided.
    pub zones: u32,
}

/// The load of the data path at the peak.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests a second of the whole fleet.
    pub requests_per_s: f64,
    /// Bits a second of the whole fleet.
    pub bits_per_s: f64,
    /// Number of objects that may be requested.
    pub objects: f64,
}

/// Purges.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Purges {
    /// Purges a second.
    pub per_s: f64,
    /// Seconds within which each is in force everywhere.
    pub everywhere_s: f64,
}

/// Changes of configuration.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// Changes a day.
    pub per_day: f64,
    /// Seconds within which each is in force everywhere.
    pub everywhere_s: f64,
    /// The rate of a burst, as a multiple of the mean rate.
    pub burst: f64,
}

/// The limits of what control may use at a proxy, and the machines set aside for control.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Processor time, as a share of a core.
    pub core: f64,
    /// Memory, in megabytes (10^6 bytes).
    pub megabytes: f64,
    /// Bytes a second, in each direction.
    pub bytes_per_s: f64,
    /// Machines set aside for control.
    pub machines: u32,
}

/// The failures to be expected.
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
    /// Seconds for which regions are cut off from each other.
    pub cut_s: f64,
}

impl Target {
    /// Parses the text of a target file.
    ///
    /// # Errors
    /// Returns one line that says what is wrong with the text.
    pub fn read(text: &str) -> Result<Target, String> {
        toml::from_str(text).map_err(|error| error.to_string().trim_end().replace('\n', " "))
    }

    /// Checks that every figure is finite and above zero.
    ///
    /// # Errors
    /// Returns one line that names the first field that is not.
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
