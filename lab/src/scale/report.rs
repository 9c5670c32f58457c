//! The report of a scale run, in the format of `docs/capacity.json`.
use super::fit::Fit;
use super::real::RealFigures;
use serde::{Deserialize, Serialize};

/// The layout of the control plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Design {
    /// One coordinator divides and decides for all proxies.
    Star,
    /// Sites, regions and the fleet each have a leader.
    Tree,
}

/// The part of the program that is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    /// Budgets shared by all proxies.
    Budgets,
    /// Zones, which all proxies leave and take back together.
    Zones,
    /// The watch of discovery, which brings lists and purges.
    Discovery,
    /// Gossip between proxies.
    Gossip,
}

/// The role that a figure belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A proxy that neither votes nor leads. The figure is the largest of all such proxies.
    Proxy,
    /// A voter that does not lead.
    Voter,
    /// The leader of a site in a tree.
    SiteLeader,
    /// The leader of a region in a tree.
    RegionLeader,
    /// The leader of the whole fleet, which divides and decides at the root.
    Leader,
    /// The stand-in of the list service.
    ListService,
    /// The stand-in of a cache server.
    CacheServer,
}

/// A measured quantity, with its unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Quantity {
    /// Messages received a second.
    MessagesIn,
    /// Messages sent a second.
    MessagesOut,
    /// Bytes received a second. Datagrams count with their authentication code and without IP and UDP
    /// headers.
    BytesIn,
    /// Bytes sent a second, counted in the same way.
    BytesOut,
    /// Processor time of the control code, as a share of one core.
    CoreShare,
    /// Bytes of memory of the control state.
    MemoryBytes,
    /// Open file descriptors for control.
    Descriptors,
    /// Seconds until a change is in force at 99 in 100 proxies.
    EverywhereP99,
    /// Seconds until a change is in force at the last proxy.
    EverywhereLast,
}

/// The variable that a quantity is fitted against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Variable {
    /// Number of proxies in the fleet.
    Proxies,
    /// Number of cache servers in the member list.
    Caches,
    /// Number of regions.
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
    /// The value of the variable.
    pub at: f64,
    /// The measured value, in the unit of the quantity.
    pub value: f64,
}

/// Measurements of one quantity at several sizes, and the curve through them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// The measured layout.
    pub design: Design,
    /// The part of the program.
    pub part: Part,
    /// The role that the figures belong to.
    pub role: Role,
    /// The name of the event during which it was measured, `rest` for none. Most names are those of
    /// `events.rs`.
    pub event: String,
    /// The measured quantity.
    pub quantity: Quantity,
    /// The variable that it is fitted against.
    pub against: Variable,
    /// The measurements, in rising order of the variable.
    pub points: Vec<Point>,
    /// The curve through the measurements.
    pub fit: Fit,
}

/// The results of a whole run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The commit that was measured.
    pub commit: String,
    /// The duration of the run, in seconds.
    pub seconds: f64,
    /// What was not measured and why, a sentence each.
    pub not_reached: Vec<String>,
    /// The figures that the run prints in its last line; null for one that was not measured.
    pub figures: serde_json::Map<String, serde_json::Value>,
    /// Runs with real processes, each compared with the same fleet in virtual time.
    #[serde(default)]
    pub real: Vec<RealFigures>,
    /// All measurements.
    pub series: Vec<Series>,
}
