//! Which zones a fleet of proxies serves from: one instance a proxy, which reports, votes on maps, decides while it is the
//! one that may, and says how each zone may be used.
//!
//! An instance reads no clock and opens no socket. It acts on no map that no majority of the voters took and never goes
//! back to an earlier one. `docs/zones.md` says why, `state.rs` is the specification of a zone's states.
#![forbid(unsafe_code)]

mod adoption;
mod decider;
mod encoding;
pub mod guard;
mod instance;
pub mod judge;
pub mod map;
mod reporting;
mod settings;
pub mod state;
mod tally;
mod voter;
pub mod wire;

pub use instance::{Moved, Out, Seat, Zones};
use nickelgate::Micros;
pub use settings::{check, Kind, Settings, Zone};
pub use tally::Tally;
pub use threadward_budgets::wire::Author;
pub use threadward_core::zoned::{ZoneObservation, ZoneUse};

/// Zones that settings may name: a map of them fits one datagram of an Ethernet.
pub const MOST_ZONES: usize = 40;
/// Between two reports while all is well.
pub const CALM_REPORT: Micros = 1_000_000;
/// Between two reports while anything is not.
pub const BRISK: Micros = 200_000;
/// What was sent and not answered is sent again after this: several times a way there and back within a region.
pub const AGAIN: Micros = 100_000;
/// One that starts and hears of no map by then goes on without.
pub const WAITS: Micros = 1_000_000;
