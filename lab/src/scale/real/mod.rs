//! Runs real processes of the program beside host processes of many hollow proxies on loopback sockets, and
//! compares them with the same fleet in virtual time. This shows whether the figures of virtual time are
//! right.
//!
//! The proxies with the lowest indexes are a few real processes. All others are hollow proxies, which run the
//! control code alone; each has its own socket and address, and a host process contains many of them. [`run`]
//! starts the processes, measures them, ends them, and simulates the same fleet in virtual time.
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
