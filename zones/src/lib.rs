//! Decides for a whole fleet of proxies which zones it sends requests to.
//!
//! Each proxy runs one [`Zones`] instance. The instance reports what the proxy's own attempts showed, votes
//! on maps if it is a voter, decides on new maps while it is the elected decider, and tells the proxy how
//! each zone may be used.
//!
//! An instance reads no clock and opens no socket. It only acts on maps that a majority of the voters
//! accepted, and it never goes back to an earlier map. `docs/zones.md` explains the protocol; `state.rs`
//! specifies the states of a zone.
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

pub use instance::{ElectionView, Outgoing, ZoneMove, Zones};
use nickelgate::Micros;
pub use settings::{check, Kind, Settings, Zone};
pub use tally::Counters;
pub use threadward_budgets::wire::Author;
pub use threadward_core::zoned::{ZoneObservation, ZoneUse};

/// Largest number of zones in the settings. A map of this many zones fits into one Ethernet datagram.
pub const MAX_ZONES: usize = 40;
/// Time between two reports while every zone is in service and no zone fails for this proxy.
pub const HEALTHY_REPORT_INTERVAL: Micros = 1_000_000;
/// Time between two reports while a zone is not fully in service or fails for this proxy.
pub const DEGRADED_REPORT_INTERVAL: Micros = 200_000;
/// Time after which an unanswered message is sent again: several round trips within a region.
pub const RESEND_INTERVAL: Micros = 100_000;
/// Time that an instance waits for a map at startup before it takes requests without one.
pub const STARTUP_WAIT: Micros = 1_000_000;
