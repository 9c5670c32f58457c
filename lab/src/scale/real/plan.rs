//! The fleet of one run: its settings, its addresses, and what a host process is told and reports.
use super::proxy::RoleReport;
use nickelgate::Micros;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
use threadward_budgets::Settings;

/// Addresses of a host part of 127.0.0.0/8: the last byte goes from 1 to this.
const ADDRESSES_PER_NET: u16 = 250;
/// Voters of a fleet.
const VOTERS: u16 = 3;

/// Whose process divides the budgets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CoordinatorKind {
    /// The voters are hollow proxies.
    Hollow,
    /// The voters are real processes.
    Real,
}

/// What all proxies of a fleet agree on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetPlan {
    /// Proxies in the file.
    pub proxies: u16,
    /// The first places belong to real processes.
    pub real: u16,
    /// Places of the voters.
    pub voters: Vec<u16>,
    /// The whole of each budget, in units.
    pub wholes: Vec<u32>,
    /// Lease time, in microseconds.
    pub lease: Micros,
    /// The key of the messages' authentication codes.
    pub key: [u8; 32],
}

impl FleetPlan {
    /// The settings of one place.
    pub fn settings(&self, place: u16) -> Settings {
        Settings {
            index: place,
            proxies: self.proxies,
            voters: self.voters.clone(),
            totals: self.wholes.clone(),
            lease: self.lease,
        }
    }

    /// The voters: the real processes, or the hollow proxies that follow them.
    pub fn voters(divider: CoordinatorKind, real: u16) -> Vec<u16> {
        match divider {
            CoordinatorKind::Real => (0..VOTERS).collect(),
            CoordinatorKind::Hollow => (real..real + VOTERS).collect(),
        }
    }
}

/// An address for each place, of one port: 127.`net`.1.1 and on.
pub fn addresses(net: u8, port: u16, proxies: u16) -> Vec<SocketAddr> {
    let address = |place: u16| {
        let [third, last] = [place / ADDRESSES_PER_NET, place % ADDRESSES_PER_NET].map(|byte| byte as u8 + 1);
        SocketAddr::from((Ipv4Addr::new(127, net, third, last), port))
    };
    (0..proxies).map(address).collect()
}

/// What a host process is told, in a file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostJob {
    /// The fleet.
    pub fleet: FleetPlan,
    /// The address of each place.
    pub addresses: Vec<SocketAddr>,
    /// The host's places: from the first to before the end.
    pub first: u16,
    /// The place after its last.
    pub end: u16,
    /// Seconds until it begins to measure.
    pub settle_seconds: u64,
    /// Seconds that it measures.
    pub seconds: u64,
    /// For the proxies' random numbers; has to differ with every run.
    pub seed: u64,
}

/// What a host process measured.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostReport {
    /// Seconds that it measured.
    pub seconds: f64,
    /// What its proxies did, by role.
    pub roles: RoleReport,
    /// How late the latest due call was, in microseconds: how far the host fell behind its own schedule.
    pub latest: Micros,
    /// Datagrams that the system did not take.
    pub unsent: u64,
    /// Times that one of its proxies began to divide while it measured.
    pub elections: u64,
}
