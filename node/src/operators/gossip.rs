//! The part `[gossip]`: gossip between proxies. This proxy's secret is never in the operators' file itself.
use super::part::bytes32;
use super::{FileError, Part, ReadContext};
use std::net::SocketAddr;
use threadward_core::Micros;
use threadward_gossip::PeerConfig;

pub const KEYS: &[&str] = &[
    "secret_file",
    "period_ms",
    "floor_bytes_per_s",
    "bytes_per_request",
    "checks_per_s",
    "faults",
    "probes_per_s",
    "peer",
];
const PEER_KEYS: &[&str] = &["name", "address", "keys", "seed"];

/// The settings of gossip between proxies.
#[derive(Clone)]
pub struct GossipSettings {
    pub settings: threadward_gossip::Settings,
    /// This proxy's address in the file, from which datagrams are sent and where they arrive.
    pub listen: SocketAddr,
    /// Maximum number of probes a second to confirm suspicions, if the platform's settings allow probes at
    /// all.
    pub probes: f64,
}

/// Reads the part.
pub fn read(part: &Part, context: &ReadContext) -> Result<GossipSettings, FileError> {
    let number = |key: &str, default: f64| match part.number(key)? {
        None => Ok(default),
        Some(n) if n >= 0.0 => Ok(n),
        Some(_) => Err(part.key_error(key, format!("'{key}' is no number"))),
    };
    let mut peers = Vec::new();
    for p in part.tables("peer", PEER_KEYS)? {
        let named = p.text("name")?.filter(|n| !n.is_empty());
        let name = named.ok_or_else(|| p.head_error("a peer without 'name'"))?;
        peers.push(peer(&p, name).map_err(|w| w.about(&format!("peer '{name}'")))?);
    }
    if peers.is_empty() {
        return Err(part.head_error("no peer"));
    }
    let secret = part.secret_key("secret_file", context.folder)?;
    let mut settings = threadward_gossip::Settings::new(context.name, secret, peers);
    settings.probe_period = (number("period_ms", 1000.0)? * 1000.0) as Micros;
    settings.statement_bytes_per_s = number("floor_bytes_per_s", settings.statement_bytes_per_s)?;
    settings.statement_bytes_per_request = number("bytes_per_request", settings.statement_bytes_per_request)?;
    settings.signature_checks_per_s = number("checks_per_s", settings.signature_checks_per_s)?;
    if let Some(n) = part.integer("faults")? {
        let n = usize::try_from(n).map_err(|_| part.key_error("faults", "'faults' is under 0"))?;
        settings.tolerated_faults = Some(n);
    }
    let probes = number("probes_per_s", 0.0)?.min(100.0);
    // An error about one key begins with that key's name in quotes.
    threadward_gossip::validate(&settings).map_err(|e| {
        let key = e.split('\'').nth(1).filter(|_| e.starts_with('\''));
        part.key_error(key.unwrap_or_default(), e.as_str())
    })?;
    let listen = settings.peers.iter().find(|p| p.name == context.name).map(|p| p.addr);
    Ok(GossipSettings { listen: listen.ok_or_else(|| part.head_error("no own address"))?, probes, settings })
}

/// Reads a peer.
fn peer(p: &Part, name: &str) -> Result<PeerConfig, FileError> {
    let addr = p.address("address")?;
    let list = p.texts("keys")?.ok_or_else(|| p.head_error("'keys' is missing"))?;
    let keys: Option<Vec<[u8; 32]>> = list.into_iter().map(bytes32).collect();
    let keys = keys.ok_or_else(|| p.key_error("keys", "a key that is not 32 bytes as base64url"))?;
    Ok(PeerConfig { name: name.to_owned(), addr, keys, seed: p.flag("seed")? })
}
