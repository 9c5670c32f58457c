//! The operators' gossip settings and their validation. An invalid value is reported in one line and never
//! corrected; nothing is applied in that case.
use crate::keys::{Directory, OwnKey, PeerConfig};
use nickelgate::Micros;

/// The operators' settings.
#[derive(Clone)]
pub struct Settings {
    /// Name of this instance among the peers.
    pub name: String,
    /// This instance's secret key; its public key is listed with this instance's peer entry.
    pub secret: [u8; 32],
    /// All instances, including this one.
    pub peers: Vec<PeerConfig>,
    /// Time between probes, 100 ms to 60 s.
    pub probe_period: Micros,
    /// Bytes per second that statements may use in any case, 50 to 1,000,000. Membership traffic is limited
    /// by the probe period alone.
    pub statement_bytes_per_s: f64,
    /// Additional bytes that statements may use for each request served, 0 to 64.
    pub statement_bytes_per_request: f64,
    /// Signatures checked per second for one address, 1 to 10,000.
    pub signature_checks_per_s: f64,
    /// Number of lying instances to tolerate; by default a third of the others, rounded down.
    pub tolerated_faults: Option<usize>,
}

impl Settings {
    /// Returns the settings with the default for every optional value.
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

/// Validates settings without creating an instance.
///
/// # Errors
/// Returns one line that says what is wrong.
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
    validated_directory(s, &OwnKey::new(&s.secret)).map(drop)
}

/// Validates settings and returns the directory of their peers.
pub(crate) fn validated_directory(s: &Settings, own: &OwnKey) -> Result<Directory, String> {
    let directory = Directory::new(&s.name, own, s.peers.clone())?;
    let require_range = |what: &str, x: f64, min: f64, max: f64| {
        let in_range = x.is_finite() && (min..=max).contains(&x);
        in_range.then_some(()).ok_or(format!("'{what}' has to lie from {min} to {max}"))
    };
    require_range("period_ms", s.probe_period as f64 / 1e3, 100.0, 60_000.0)?;
    require_range("floor_bytes_per_s", s.statement_bytes_per_s, 50.0, 1e6)?;
    require_range("bytes_per_request", s.statement_bytes_per_request, 0.0, 64.0)?;
    require_range("checks_per_s", s.signature_checks_per_s, 1.0, 1e4)?;
    Ok(directory)
}
