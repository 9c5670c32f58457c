//! What the operators' file says of shared budgets in a fleet with sites and regions.
use crate::topology::Topology;
use nickelgate::Micros;
use std::fmt;
use std::ops::RangeInclusive;
use std::sync::Arc;
use threadward_budgets::MAX_BUDGETS;

/// Units of one budget.
const WHOLES: RangeInclusive<u32> = 1..=1_000_000;
/// Lease time of the lowest level.
const LEASES: RangeInclusive<Micros> = 200_000..=60_000_000;

/// Who shares a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// One whole for all proxies: fills toward the origin, repeats.
    Fleet,
    /// Each region has the whole for itself: probes and cold allowance of its own caches.
    Region,
}

/// A budget that proxies share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedBudget {
    /// The whole, in units.
    pub total_units: u32,
    /// Who shares it.
    pub scope: Scope,
}

/// Settings of one proxy.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The own place among the proxies of the file, from 0.
    pub proxy_index: u16,
    /// Sites and regions of all proxies.
    pub topology: Arc<Topology>,
    /// The budgets, in the order of the file.
    pub budgets: Vec<SharedBudget>,
    /// Lease time of a site's group; those of the levels above are multiples of it.
    pub lease: Micros,
}

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The own place is none of the file.
    UnknownProxy {
        /// The own place.
        proxy_index: u16,
        /// Proxies in the file.
        proxies: usize,
    },
    /// No budget or too many.
    BudgetCount(usize),
    /// A whole out of range.
    TotalOutOfRange {
        /// Index of the budget.
        budget: usize,
        /// Its whole.
        total_units: u32,
    },
    /// A lease time out of range.
    Lease(Micros),
    /// A group's instance refused what follows from the settings.
    Group(String),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::UnknownProxy { proxy_index, proxies } => {
                write!(formatter, "the own place is {proxy_index}, but the file names {proxies} proxies")
            }
            SettingsError::BudgetCount(count) => {
                write!(formatter, "{count} budgets; this version takes 1 to {MAX_BUDGETS}")
            }
            SettingsError::TotalOutOfRange { budget, total_units } => {
                let (least, most) = (WHOLES.start(), WHOLES.end());
                write!(formatter, "budget {budget} has {total_units} units; it takes {least} to {most}")
            }
            SettingsError::Lease(lease) => {
                let (least, most) = (LEASES.start() / 1000, LEASES.end() / 1000);
                write!(formatter, "'lease_ms' is {}; it takes {least} to {most}", lease / 1000)
            }
            SettingsError::Group(cause) => write!(formatter, "budgets of a group: {cause}"),
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Whether these can be used.
    ///
    /// # Errors
    /// The first thing that is wrong with them.
    pub fn check(&self) -> Result<(), SettingsError> {
        let proxies = self.topology.proxies();
        if usize::from(self.proxy_index) >= proxies {
            return Err(SettingsError::UnknownProxy { proxy_index: self.proxy_index, proxies });
        }
        if !(1..=MAX_BUDGETS).contains(&self.budgets.len()) {
            return Err(SettingsError::BudgetCount(self.budgets.len()));
        }
        for (budget, shared) in self.budgets.iter().enumerate() {
            if !WHOLES.contains(&shared.total_units) {
                return Err(SettingsError::TotalOutOfRange { budget, total_units: shared.total_units });
            }
        }
        if !LEASES.contains(&self.lease) {
            return Err(SettingsError::Lease(self.lease));
        }
        Ok(())
    }
}
