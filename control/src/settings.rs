//! The settings of shared budgets in a fleet with sites and regions, as the operators' file gives them, and
//! their validation.
use crate::topology::Topology;
use nickelgate::Micros;
use std::fmt;
use std::ops::RangeInclusive;
use std::sync::Arc;
use threadward_budgets::MAX_BUDGETS;

/// Allowed totals of one budget, in units.
const TOTAL_UNITS: RangeInclusive<u32> = 1..=1_000_000;
/// Allowed lease times of the lowest level.
const LEASE_TIMES: RangeInclusive<Micros> = 200_000..=60_000_000;

/// Which proxies share a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All proxies share one total: fills from the origin, retries.
    Fleet,
    /// Each region has the total for itself: probes of its own caches and the allowance for cold ones.
    Region,
}

/// A budget that proxies share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedBudget {
    /// The total, in units.
    pub total_units: u32,
    /// Who shares it.
    pub scope: Scope,
}

/// The settings of one proxy.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This proxy's index among the proxies of the file, from 0.
    pub proxy_index: u16,
    /// The sites and regions of all proxies.
    pub topology: Arc<Topology>,
    /// The budgets, in the order of the file.
    pub budgets: Vec<SharedBudget>,
    /// The lease time of a site's group. Those of the levels above are multiples of it.
    pub lease: Micros,
}

/// The reason why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The index is not that of a proxy in the file.
    UnknownProxy {
        /// The index of this proxy.
        proxy_index: u16,
        /// The number of proxies in the file.
        proxies: usize,
    },
    /// There is no budget, or there are too many.
    BudgetCount(usize),
    /// The total of a budget is out of range.
    TotalOutOfRange {
        /// The index of the budget.
        budget: usize,
        /// Its total, in units.
        total_units: u32,
    },
    /// The lease time is out of range.
    Lease(Micros),
    /// The instance of a group rejected the settings that follow from these.
    Group(String),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::UnknownProxy { proxy_index, proxies } => {
                write!(
                    formatter,
                    "the index of this proxy is {proxy_index}, but the file names {proxies} proxies"
                )
            }
            SettingsError::BudgetCount(count) => {
                write!(formatter, "{count} budgets; this version takes 1 to {MAX_BUDGETS}")
            }
            SettingsError::TotalOutOfRange { budget, total_units } => {
                let (min, max) = (TOTAL_UNITS.start(), TOTAL_UNITS.end());
                write!(formatter, "budget {budget} has {total_units} units; it takes {min} to {max}")
            }
            SettingsError::Lease(lease) => {
                let (min, max) = (LEASE_TIMES.start() / 1000, LEASE_TIMES.end() / 1000);
                write!(formatter, "'lease_ms' is {}; it takes {min} to {max}", lease / 1000)
            }
            SettingsError::Group(cause) => write!(formatter, "budgets of a group: {cause}"),
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    /// Returns the first problem that is found.
    pub fn check(&self) -> Result<(), SettingsError> {
        let proxies = self.topology.proxies();
        if usize::from(self.proxy_index) >= proxies {
            return Err(SettingsError::UnknownProxy { proxy_index: self.proxy_index, proxies });
        }
        if !(1..=MAX_BUDGETS).contains(&self.budgets.len()) {
            return Err(SettingsError::BudgetCount(self.budgets.len()));
        }
        for (budget, shared) in self.budgets.iter().enumerate() {
            if !TOTAL_UNITS.contains(&shared.total_units) {
                return Err(SettingsError::TotalOutOfRange { budget, total_units: shared.total_units });
            }
        }
        if !LEASE_TIMES.contains(&self.lease) {
            return Err(SettingsError::Lease(self.lease));
        }
        Ok(())
    }
}
