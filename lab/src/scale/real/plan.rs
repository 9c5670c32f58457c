//! The fleet of one run: its settings, its addresses, and the job and report of a host process.
use super::proxy::RoleReport;
use nickelgate::Micros;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};
use threadward_budgets::Settings;

/// Number of addresses for each value of the third byte of an address in 127.0.0.0/8: the last byte goes from
/// 1 to this.
const ADDRESSES_PER_NET: u16 = 250;
/// Number of voters of a fleet.
const VOTERS: u16 = 3;

/// The kind of process that becomes coordinator of the budgets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CoordinatorKind {
    /// The voters are hollow proxies.
    Hollow,
    /// The voters are real processes.
    Real,
}

/// The settings that all proxies of a fleet share.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetPlan {
    /// Number of proxies in the operators' file.
    pub proxies: u16,
    /// Number of real processes, which have the lowest indexes.
    pub real: u16,
    /// Indexes of the voters.
    pub voters: Vec<u16>,
    /// The total of each budget, in units.
    pub wholes: Vec<u32>,
    /// Lease time, in microseconds.
    pub lease: Micros,
    /// The key of the messages' authentication codes.
    pub key: [u8; 32],
}

impl FleetPlan {
    /// Returns the budget settings of one proxy.
    pub fn settings(&self, index: u16) -> Settings {
        Settings {
            index,
            proxies: self.proxies,
            voters: self.voters.clone(),
            totals: self.wholes.clone(),
            lease: self.lease,
        }
    }

    /// Returns the indexes of the voters: the real processes, or the hollow proxies that follow them.
    pub fn voters(divider: CoordinatorKind, real: u16) -> Vec<u16> {
        match divider {
            CoordinatorKind::Real => (0..VOTERS).collect(),
            CoordinatorKind::Hollow => (real..real + VOTERS).collect(),
        }
    }
}

/// Returns an address for each proxy, with one port: 127.`net`.1.1 and following.
pub fn addresses(net: u8, port: u16, proxies: u16) -> Vec<SocketAddr> {
    let address = |index: u16| {
        let [third, last] = [index / ADDRESSES_PER_NET, index % ADDRESSES_PER_NET].map(|byte| byte as u8 + 1);
        SocketAddr::from((Ipv4Addr::new(127, net, third, last), port))
    };
    (0..proxies).map(address).collect()
}

/// The job of a host process, which it reads from a file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostJob {
    /// The fleet.
    pub fleet: FleetPlan,
    /// The address of each proxy.
    pub addresses: Vec<SocketAddr>,
    /// Index of the host's first proxy.
    pub first: u16,
    /// Index after the host's last proxy.
    pub end: u16,
    /// Seconds before the measurement begins.
    pub settle_seconds: u64,
    /// Duration of the measurement, in seconds.
    pub seconds: u64,
    /// Seed of the proxies' random numbers, which has to differ between runs.
    pub seed: u64,
}

/// The report of a host process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostReport {
    /// Duration of the measurement, in seconds.
    pub seconds: f64,
    /// The traffic and processor time of its proxies, by role.
    pub roles: RoleReport,
    /// Largest delay of a due call, in microseconds: how far the host fell behind its own schedule.
    pub latest: Micros,
    /// Number of datagrams that the system refused to send.
    pub unsent: u64,
    /// How often one of its proxies became coordinator during the measurement.
    pub elections: u64,
}
