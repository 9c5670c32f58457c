//! Divides shared budgets down a tree of sites, regions and the fleet, so that no process talks to more than
//! a few dozen others.
//!
//! Every level is a group that runs a [`threadward_budgets::Budgets`] instance with seats as members: the
//! proxies of a site, the sites of a region (each by the process that leads it now), the regions of the
//! fleet. `docs/control.md` says why what all use never sums to more than the whole at any level. No input or
//! output, no clock, no threads.
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
