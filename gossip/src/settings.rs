//! What the operators' file says of gossip, and whether it will do. It owns the bounds on each figure. It must never mend
//! a figure: one line says what is wrong, and nothing is taken over.
use crate::keys::{Directory, OwnKey, PeerConfig};
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
    pub probe_period: Micros,
    /// Bytes that statements may take in a second, 50 to a million. What membership takes is bounded by the period
    /// alone.
    pub statement_bytes_per_s: f64,
    /// Bytes that they may take beyond that for each request served, 0 to 64.
    pub statement_bytes_per_request: f64,
    /// Signatures checked a second for one address, 1 to 10,000.
    pub signature_checks_per_s: f64,
    /// Liars borne; without it a third of the others, rounded down.
    pub tolerated_faults: Option<usize>,
}

impl Settings {
    /// Those of a file that sets no more than it has to.
    pub fn new(name: &str, secret: [u8; 32], peers: Vec<PeerConfig>) -> Settings {
        Settings {
            name: name.into(),
            secret,
            peers,
            probe_period: 1_000_000,
            statement_bytes_per_s: 80.0,
            statement_bytes_per_request: 0.75,
            signature_checks_per_s: 50.0,
            tolerated_faults: None,
        }
    }
}

/// Whether settings will do, without an instance of them.
///
/// # Errors
/// One line that says what is wrong.
///
/// ```
/// use threadward_gossip::{validate, public_key, PeerConfig, Settings};
///
/// let (secret, addr) = ([7; 32], ([127, 0, 0, 1], 7000).into());
/// let peer = PeerConfig { name: "a".into(), addr, keys: vec![public_key(&secret)], seed: true };
/// let mut s = Settings::new("a", secret, vec![peer]);
/// assert_eq!(validate(&s), Ok(()));
/// s.probe_period = 1_000;
/// assert_eq!(validate(&s), Err("'period_ms' has to lie from 100 to 60000".into()));
/// s.secret = [8; 32];
/// assert_eq!(validate(&s), Err("the own secret belongs to no key of peer 'a'".into()));
/// ```
pub fn validate(s: &Settings) -> Result<(), String> {
    checked(s, &OwnKey::new(&s.secret)).map(drop)
}

pub(crate) fn checked(s: &Settings, own: &OwnKey) -> Result<Directory, String> {
    let directory = Directory::new(&s.name, own, s.peers.clone())?;
    let within = |what: &str, x: f64, least: f64, most: f64| {
        let fits = x.is_finite() && (least..=most).contains(&x);
        fits.then_some(()).ok_or(format!("'{what}' has to lie from {least} to {most}"))
    };
    within("period_ms", s.probe_period as f64 / 1e3, 100.0, 60_000.0)?;
    within("floor_bytes_per_s", s.statement_bytes_per_s, 50.0, 1e6)?;
    within("bytes_per_request", s.statement_bytes_per_request, 0.0, 64.0)?;
    within("checks_per_s", s.signature_checks_per_s, 1.0, 1e4)?;
    Ok(directory)
}
