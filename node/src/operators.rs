//! Reads the operators' file (`--fronts`): the front for signed links, the agent, gossip between proxies. It owns what
//! each of them is told. It must never hold a secret in that file itself, nor act on what it reads: a bad file is one
//! clear line.
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use threadward_core::Micros;
use threadward_gossip::PeerConfig;

/// What the file says of the front for signed links.
#[derive(Clone)]
pub struct Signed {
    pub name: String,
    pub listen: SocketAddr,
    /// Scheme and authority of the links as their signer wrote them.
    pub base: String,
    pub skew: Micros,
    pub register: usize,
    /// Keys by `kid`; each is for HS256 alone.
    pub keys: HashMap<String, Vec<u8>>,
    /// The tier's fronts: name, and the address that clients are sent to.
    pub fronts: Vec<(String, String)>,
    pub audience: Option<String>,
}

/// What it says of the agent.
#[derive(Clone)]
pub struct Agent {
    pub listen: SocketAddr,
    pub community: String,
}

/// What it says of gossip between proxies.
#[derive(Clone)]
pub struct Talk {
    pub settings: threadward_gossip::Settings,
    /// The own address in the file, where datagrams go out and come in.
    pub listen: SocketAddr,
    /// Probes a second that may confirm suspicions, where the platform's settings allow probes at all.
    pub probes: f64,
}

/// What it says of budgets that all proxies share.
#[derive(Clone)]
pub struct Divided {
    pub settings: threadward_budgets::Settings,
    /// The own address, and all proxies' in the order of the file.
    pub listen: SocketAddr,
    pub proxies: Vec<SocketAddr>,
    pub key: [u8; 32],
}

/// What the file behind `--fronts` turns on.
#[derive(Clone, Default)]
pub struct Fronts {
    pub signed: Option<Signed>,
    pub snmp: Option<Agent>,
    pub gossip: Option<Talk>,
    pub budgets: Option<Divided>,
}

/// A key or community is kept in a file of its own, never in the fronts file.
fn secret(v: &toml::Value, key: &str, folder: &Path) -> Result<String, String> {
    let file = v.get(key).and_then(toml::Value::as_str).ok_or_else(|| format!("'{key}' is missing"))?;
    let path = folder.join(file);
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(text.trim().to_owned())
}

/// Reads the fronts file; `name` is the own one among the fronts, files are looked for from `folder`.
///
/// # Errors
/// One line that says what is wrong with it.
pub fn fronts(text: &str, name: &str, folder: &Path) -> Result<Fronts, String> {
    let v: toml::Value = toml::from_str(text).map_err(|e| format!("not TOML: {}", e.message()))?;
    let say = |e: String, part: &str| format!("[{part}]: {e}");
    let signed = v.get("signed").map(|s| signed(s, name, folder)).transpose();
    let snmp = v.get("snmp").map(|s| {
        let listen = s.get("listen").and_then(toml::Value::as_str).and_then(|t| t.parse().ok());
        let community = secret(s, "community_file", folder)?;
        if community.is_empty() {
            return Err("an empty community".to_owned());
        }
        Ok(Agent { listen: listen.ok_or("'listen' is no address")?, community })
    });
    Ok(Fronts {
        signed: signed.map_err(|e| say(e, "signed"))?,
        snmp: snmp.transpose().map_err(|e| say(e, "snmp"))?,
        gossip: v.get("gossip").map(|g| gossip(g, name, folder)).transpose().map_err(|e| say(e, "gossip"))?,
        budgets: v
            .get("budgets")
            .map(|b| budgets(b, name, folder))
            .transpose()
            .map_err(|e| say(e, "budgets"))?,
    })
}

fn signed(v: &toml::Value, name: &str, folder: &Path) -> Result<Signed, String> {
    let word = |v: &toml::Value, key: &str| {
        let found = v.get(key).and_then(toml::Value::as_str).filter(|t| !t.is_empty());
        found.map(str::to_owned).ok_or_else(|| format!("'{key}' is missing"))
    };
    let tables =
        |key: &str| v.get(key).and_then(toml::Value::as_array).map(Vec::as_slice).unwrap_or_default();
    let number = |key: &str, least: i64, most: i64| {
        let n = v.get(key).and_then(toml::Value::as_integer).filter(|n| (least..=most).contains(n));
        n.ok_or_else(|| format!("'{key}' is missing or not from {least} to {most}"))
    };
    let mut keys = HashMap::new();
    for k in tables("key") {
        let kid = word(k, "kid")?;
        if word(k, "alg")? != "HS256" {
            return Err(format!("key '{kid}': only HS256 is known"));
        }
        let text = secret(k, "secret_file", folder)?;
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| format!("key '{kid}': not base64url"))?;
        // RFC 7518, section 3.2: a key at least as long as the hash.
        if bytes.len() < 32 {
            return Err(format!("key '{kid}': shorter than 32 bytes"));
        }
        if keys.insert(kid.clone(), bytes).is_some() {
            return Err(format!("key '{kid}' stands twice"));
        }
    }
    if keys.is_empty() {
        return Err("no key".into());
    }
    let mut fronts: Vec<(String, String)> = Vec::new();
    let mut listen = None;
    for f in tables("front") {
        let (own, url) = (word(f, "name")?, word(f, "url")?);
        if fronts.iter().any(|(n, _)| *n == own) {
            return Err(format!("front '{own}' stands twice"));
        }
        if own == name {
            let at = word(f, "listen")?.parse().map_err(|_| "'listen' is no address".to_owned())?;
            listen = Some(at);
        }
        fronts.push((own, url.trim_end_matches('/').to_owned()));
    }
    Ok(Signed {
        name: name.to_owned(),
        listen: listen.ok_or_else(|| format!("no front has this proxy's name, '{name}'"))?,
        base: word(v, "base")?.trim_end_matches('/').to_owned(),
        skew: number("skew_ms", 0, 60_000)? as Micros * 1000,
        register: number("register", 1, 1_000_000)? as usize,
        keys,
        fronts,
        audience: v.get("audience").and_then(toml::Value::as_str).map(str::to_owned),
    })
}

/// 32 bytes, as base64url.
fn key(text: &str) -> Option<[u8; 32]> {
    URL_SAFE_NO_PAD.decode(text).ok()?.try_into().ok()
}

/// A part that has these keys and no others.
fn only(v: &toml::Value, known: &[&str]) -> Result<(), String> {
    let other = v.as_table().ok_or("no table")?.keys().find(|k| !known.contains(&k.as_str()));
    other.map_or(Ok(()), |other| Err(format!("'{other}' is not known")))
}

/// A number, whole or not.
fn float(n: &toml::Value) -> Option<f64> {
    n.as_float().or(n.as_integer().map(|i| i as f64))
}

fn gossip(v: &toml::Value, name: &str, folder: &Path) -> Result<Talk, String> {
    let known = [
        "secret_file",
        "period_ms",
        "floor_bytes_per_s",
        "bytes_per_request",
        "checks_per_s",
        "faults",
        "probes_per_s",
        "peer",
    ];
    only(v, &known)?;
    let number = |key: &str, or: f64| match v.get(key) {
        None => Ok(or),
        Some(n) => float(n).filter(|n| *n >= 0.0).ok_or_else(|| format!("'{key}' is no number")),
    };
    let mut peers = Vec::new();
    for p in v.get("peer").and_then(toml::Value::as_array).ok_or("no peer")? {
        let word = |key: &str| p.get(key).and_then(toml::Value::as_str);
        let own = word("name").filter(|n| !n.is_empty()).ok_or("a peer without 'name'")?.to_owned();
        let addr = word("address").and_then(|a| a.parse().ok());
        let addr = addr.ok_or_else(|| format!("peer '{own}': 'address' is missing or no address"))?;
        let list = p.get("keys").and_then(toml::Value::as_array);
        let list = list.ok_or_else(|| format!("peer '{own}': 'keys' is missing"))?;
        let keys: Option<Vec<[u8; 32]>> = list.iter().map(|k| k.as_str().and_then(key)).collect();
        let keys = keys.ok_or_else(|| format!("peer '{own}': a key that is not 32 bytes as base64url"))?;
        let seed = p.get("seed").and_then(toml::Value::as_bool).unwrap_or(false);
        peers.push(PeerConfig { name: own, addr, keys, seed });
    }
    let secret = key(&secret(v, "secret_file", folder)?).ok_or("the secret is not 32 bytes as base64url")?;
    let mut settings = threadward_gossip::Settings::new(name, secret, peers);
    settings.period = (number("period_ms", 1000.0)? * 1000.0) as Micros;
    settings.floor = number("floor_bytes_per_s", settings.floor)?;
    settings.per_request = number("bytes_per_request", settings.per_request)?;
    settings.checks = number("checks_per_s", settings.checks)?;
    if v.get("faults").is_some() {
        settings.faults = Some(number("faults", 0.0)? as usize);
    }
    threadward_gossip::check(&settings)?;
    let own = settings.peers.iter().find(|p| p.name == name).map(|p| p.addr);
    let probes = number("probes_per_s", 0.0)?.min(100.0);
    Ok(Talk { listen: own.ok_or("no own address")?, probes, settings })
}

/// Units of the budget of probes in a probe a second: its shares are whole numbers that 300 proxies can still divide.
pub const PROBE: Micros = 1000;

fn budgets(v: &toml::Value, name: &str, folder: &Path) -> Result<Divided, String> {
    only(v, &["secret_file", "lease_ms", "probes_per_cache_s", "proxy"])?;
    let number = |key: &str| {
        let n = v.get(key).and_then(float);
        n.filter(|n| *n > 0.0 && *n < 1e6).ok_or_else(|| format!("'{key}' is missing or no number over 0"))
    };
    let (mut proxies, mut voters, mut place) = (Vec::new(), Vec::new(), None);
    let mut names = std::collections::BTreeSet::new();
    for (i, p) in v.get("proxy").and_then(toml::Value::as_array).ok_or("no proxy")?.iter().enumerate() {
        let word = |key: &str| p.get(key).and_then(toml::Value::as_str).filter(|w| !w.is_empty());
        let own = word("name").ok_or("a proxy without 'name'")?;
        if !names.insert(own.to_owned()) {
            return Err(format!("proxy '{own}' stands twice"));
        }
        let at = word("address").and_then(|a| a.parse().ok());
        proxies.push(at.ok_or_else(|| format!("proxy '{own}': 'address' is missing or no address"))?);
        let i = u16::try_from(i).map_err(|_| "too many proxies")?;
        if p.get("voter").and_then(toml::Value::as_bool).unwrap_or(false) {
            voters.push(i);
        }
        place = place.or((own == name).then_some(i));
    }
    let place = place.ok_or_else(|| format!("no proxy has this one's name, '{name}'"))?;
    let settings = threadward_budgets::Settings {
        place,
        proxies: u16::try_from(proxies.len()).map_err(|_| "too many proxies")?,
        voters,
        wholes: vec![(number("probes_per_cache_s")? * PROBE as f64) as u32],
        lease: (number("lease_ms")? * 1000.0) as Micros,
    };
    threadward_budgets::check(&settings)?;
    let key = key(&secret(v, "secret_file", folder)?).ok_or("the secret is not 32 bytes as base64url")?;
    Ok(Divided { listen: proxies[usize::from(place)], settings, proxies, key })
}
