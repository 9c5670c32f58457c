//! The report of a scale run, as `docs/capacity.json` keeps it.
use super::fit::Fit;
use super::real::RealFigures;
use serde::{Deserialize, Serialize};

/// How the control plane is laid out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Design {
    /// One process divides and decides for all.
    Star,
    /// Sites, regions and the fleet.
    Tree,
}

/// The part of the program that is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    /// Shared budgets.
    Budgets,
    /// Zones left and taken back together.
    Zones,
    /// The watch of discovery: lists and purges.
    Discovery,
    /// Gossip between proxies.
    Gossip,
}

/// Whose figures these are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A proxy that neither votes nor leads: the largest figure of all such proxies.
    Proxy,
    /// A voter that does not lead.
    Voter,
    /// The leader of a site in a tree.
    SiteLeader,
    /// The leader of a region in a tree.
    RegionLeader,
    /// The one that divides and decides at the root.
    Leader,
    /// The stand-in of the list service.
    ListService,
    /// The stand-in of a cache server.
    CacheServer,
}

/// What was measured, with its unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Quantity {
    /// Messages a second received.
    MessagesIn,
    /// Messages a second sent.
    MessagesOut,
    /// Bytes a second received, each datagram with its code and without headers of IP and UDP.
    BytesIn,
    /// Bytes a second sent.
    BytesOut,
    /// Processor time of the control code, as a share of one core.
    CoreShare,
    /// Bytes of memory of the control state.
    MemoryBytes,
    /// Open file descriptors for control.
    Descriptors,
    /// Seconds until a change holds at 99 in 100 proxies.
    EverywhereP99,
    /// Seconds until a change holds at the last proxy.
    EverywhereLast,
}

/// What a quantity is fitted against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Variable {
    /// Proxies in the fleet.
    Proxies,
    /// Cache servers listed.
    Caches,
    /// Regions.
    Regions,
    /// Purges a second.
    PurgesPerSecond,
    /// Changes of configuration a day.
    ChangesPerDay,
    /// Requests a second of the whole fleet.
    RequestsPerSecond,
}

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size, in units of the variable.
    pub at: f64,
    /// The measured value, in the unit of the quantity.
    pub value: f64,
}

/// Measurements of one quantity at several sizes, and the curve through them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// The layout that was measured.
    pub design: Design,
    /// The part of the program.
    pub part: Part,
    /// Whose figure it is.
    pub role: Role,
    /// The event during which it was measured, `rest` for none; the names are those of `events.rs`.
    pub event: String,
    /// What was measured.
    pub quantity: Quantity,
    /// What it is fitted against.
    pub against: Variable,
    /// The measurements, by rising size.
    pub points: Vec<Point>,
    /// The curve.
    pub fit: Fit,
}

/// A whole run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The commit that was measured.
    pub commit: String,
    /// Seconds that the run took.
    pub seconds: f64,
    /// What it did not reach, a sentence each.
    pub not_reached: Vec<String>,
    /// The figures of the run's last line; null for one that was not reached.
    pub figures: serde_json::Map<String, serde_json::Value>,
    /// Runs with real processes, each beside the same fleet in virtual time.
    #[serde(default)]
    pub real: Vec<RealFigures>,
    /// All measurements.
    pub series: Vec<Series>,
}
