//! Divides shared budgets among all proxies along a tree of sites, regions and the fleet, so that no process
//! talks to more than a few dozen others.
//!
//! Each level consists of groups, and each group runs a [`threadward_budgets::Budgets`] instance whose
//! members are called seats: the proxies of a site, the sites of a region (each represented by the process
//! that leads it now), or the regions of the fleet. `docs/control.md` explains why the use of all proxies
//! never sums to more than the total at any level. The crate does no input or output, reads no clock and
//! starts no threads.
#![forbid(unsafe_code)]

mod division;
pub mod frame;
mod member;
pub mod settings;
pub mod shared;
mod speakers;
pub mod topology;
mod tree;

pub use settings::{Scope, Settings, SettingsError, SharedBudget};
pub use shared::{Counters, Elections, SharedBudgets};
pub use topology::{Level, Location, Topology, TopologyError};
pub use tree::ControlTree;
