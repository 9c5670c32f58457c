//! What the operators' file says of gossip, and whether it will do. It owns the bounds on each figure. It must never mend
//! a figure: one line says what is wrong, and nothing is taken over.
use crate::keys::{Directory, Own, PeerConfig};
use nickelgate::Micros;

/// What the operators' file says.
#[derive(Clone)]
pub struct Settings {
    /// The own name among the peers, and the own secret.
    pub name: String,
    pub secret: [u8; 32],
    pub peers: Vec<PeerConfig>,
    /// Time between probes.
    pub period: Micros,
    /// Bytes that statements may take: a second, and for each request served. What membership takes is bounded by
    /// the period alone.
    pub floor: f64,
    pub per_request: f64,
    /// Signatures checked a second for one address.
    pub checks: f64,
    /// Liars borne; without it a third of the others, rounded down.
    pub faults: Option<usize>,
}

impl Settings {
    pub fn new(name: &str, secret: [u8; 32], peers: Vec<PeerConfig>) -> Settings {
        Settings {
            name: name.into(),
            secret,
            peers,
            period: 1_000_000,
            floor: 80.0,
            per_request: 0.75,
            checks: 50.0,
            faults: None,
        }
    }
}

/// Whether settings will do, without an instance of them.
///
/// # Errors
/// One line that says what is wrong.
pub fn check(s: &Settings) -> Result<(), String> {
    checked(s, &Own::new(&s.secret)).map(drop)
}

pub(crate) fn checked(s: &Settings, own: &Own) -> Result<Directory, String> {
    let directory = Directory::new(&s.name, own, s.peers.clone())?;
    let within = |what: &str, x: f64, least: f64, most: f64| {
        let fits = x.is_finite() && (least..=most).contains(&x);
        fits.then_some(()).ok_or(format!("'{what}' has to lie from {least} to {most}"))
    };
    within("period_ms", s.period as f64 / 1e3, 100.0, 60_000.0)?;
    within("floor_bytes_per_s", s.floor, 50.0, 1e6)?;
    within("bytes_per_request", s.per_request, 0.0, 64.0)?;
    within("checks_per_s", s.checks, 1.0, 1e4)?;
    Ok(directory)
}
