//! What the operators' file says of gossip, and whether it will do. It owns the bounds on each figure. It must never mend
//! a figure: one line says what is wrong, and nothing is taken over.
use crate::keys::{Directory, Own, PeerConfig};
use nickelgate::Micros;

/// What the operators' file says.
#[derive(Clone)]
pub struct Settings {
    /// The own name among the peers.
    pub name: String,
    /// The own secret; its public key is one of the own peer's.
    pub secret: [u8; 32],
    /// All instances, this one among them.
    pub peers: Vec<PeerConfig>,
    /// Time between probes, 100 ms to 60 s.
    pub period: Micros,
    /// Bytes that statements may take in a second, 50 to a million. What membership takes is bounded by the period
    /// alone.
    pub floor: f64,
    /// Bytes that they may take beyond that for each request served, 0 to 64.
    pub per_request: f64,
    /// Signatures checked a second for one address, 1 to 10,000.
    pub checks: f64,
    /// Liars borne; without it a third of the others, rounded down.
    pub faults: Option<usize>,
}

impl Settings {
    /// Those of a file that sets no more than it has to.
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
///
/// ```
/// use threadward_gossip::{check, public, PeerConfig, Settings};
///
/// let (secret, addr) = ([7; 32], ([127, 0, 0, 1], 7000).into());
/// let peer = PeerConfig { name: "a".into(), addr, keys: vec![public(&secret)], seed: true };
/// let mut s = Settings::new("a", secret, vec![peer]);
/// assert_eq!(check(&s), Ok(()));
/// s.period = 1_000;
/// assert_eq!(check(&s), Err("'period_ms' has to lie from 100 to 60000".into()));
/// s.secret = [8; 32];
/// assert_eq!(check(&s), Err("the own secret belongs to no key of peer 'a'".into()));
/// ```
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
