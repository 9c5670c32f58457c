//! Real processes of the program beside hosts of many hollow proxies on loopback sockets, compared with the same fleet in
//! virtual time: it shows whether the figures of virtual time are right.
//!
//! A fleet has a few real processes in its first places. All others are hollow proxies: the control code alone, each with
//! a socket and an address of its own, many to a host process. [`run`] starts them, measures for a while, ends them, and
//! plays the same fleet in virtual time.
mod discovery;
mod files;
mod host;
mod plan;
mod process;
mod proxy;
mod run;
mod virtual_time;

pub use host::host;
pub use plan::{CoordinatorKind, FleetPlan, HostJob, HostReport};
pub use proxy::{Role, RoleReport, RoleTotals, Traffic};
pub use run::{run, HostCommand, RealFigures, RealRun};
pub use virtual_time::{play, Played};
