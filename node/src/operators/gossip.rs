//! The part `[gossip]`: gossip between proxies. It owns what that is told. It must never take the own secret from the
//! operators' file itself.
use super::part::bytes32;
use super::{Own, Part, Wrong};
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
const PEER: &[&str] = &["name", "address", "keys", "seed"];

/// What it says of gossip between proxies.
#[derive(Clone)]
pub struct GossipSettings {
    pub settings: threadward_gossip::Settings,
    /// The own address in the file, where datagrams go out and come in.
    pub listen: SocketAddr,
    /// Probes a second that may confirm suspicions, where the platform's settings allow probes at all.
    pub probes: f64,
}

pub fn read(part: &Part, own: &Own) -> Result<GossipSettings, Wrong> {
    let number = |key: &str, or: f64| match part.number(key)? {
        None => Ok(or),
        Some(n) if n >= 0.0 => Ok(n),
        Some(_) => Err(part.wrong_at(key, format!("'{key}' is no number"))),
    };
    let mut peers = Vec::new();
    for p in part.tables("peer", PEER)? {
        let named = p.text("name")?.filter(|n| !n.is_empty());
        let name = named.ok_or_else(|| p.wrong("a peer without 'name'"))?;
        peers.push(peer(&p, name).map_err(|w| w.of(&format!("peer '{name}'")))?);
    }
    if peers.is_empty() {
        return Err(part.wrong("no peer"));
    }
    let secret = part.secret_key("secret_file", own.folder)?;
    let mut settings = threadward_gossip::Settings::new(own.name, secret, peers);
    settings.probe_period = (number("period_ms", 1000.0)? * 1000.0) as Micros;
    settings.statement_bytes_per_s = number("floor_bytes_per_s", settings.statement_bytes_per_s)?;
    settings.statement_bytes_per_request = number("bytes_per_request", settings.statement_bytes_per_request)?;
    settings.signature_checks_per_s = number("checks_per_s", settings.signature_checks_per_s)?;
    if let Some(n) = part.whole("faults")? {
        let n = usize::try_from(n).map_err(|_| part.wrong_at("faults", "'faults' is under 0"))?;
        settings.tolerated_faults = Some(n);
    }
    let probes = number("probes_per_s", 0.0)?.min(100.0);
    // What it says of one key begins with that key's name.
    threadward_gossip::validate(&settings).map_err(|e| {
        let key = e.split('\'').nth(1).filter(|_| e.starts_with('\''));
        part.wrong_at(key.unwrap_or_default(), e.as_str())
    })?;
    let listen = settings.peers.iter().find(|p| p.name == own.name).map(|p| p.addr);
    Ok(GossipSettings { listen: listen.ok_or_else(|| part.wrong("no own address"))?, probes, settings })
}

fn peer(p: &Part, name: &str) -> Result<PeerConfig, Wrong> {
    let addr = p.address("address")?;
    let list = p.texts("keys")?.ok_or_else(|| p.wrong("'keys' is missing"))?;
    let keys: Option<Vec<[u8; 32]>> = list.into_iter().map(bytes32).collect();
    let keys = keys.ok_or_else(|| p.wrong_at("keys", "a key that is not 32 bytes as base64url"))?;
    Ok(PeerConfig { name: name.to_owned(), addr, keys, seed: p.flag("seed")? })
}
