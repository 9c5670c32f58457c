//! The part `[budgets]`: budgets that all proxies share. It owns what those are told. It must never take the shared key
//! from the operators' file itself.
use super::{Own, Part, Wrong};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use threadward_core::Micros;

pub const KEYS: &[&str] = &["secret_file", "lease_ms", "probes_per_cache_s", "cold_per_s", "proxy"];
const PROXY: &[&str] = &["name", "address", "voter"];

/// What it says of budgets that all proxies share.
#[derive(Clone)]
pub struct Divided {
    pub settings: threadward_budgets::Settings,
    /// The own address, and all proxies' in the order of the file.
    pub listen: SocketAddr,
    pub proxies: Vec<SocketAddr>,
    pub names: Vec<String>,
    pub key: [u8; 32],
}

/// Units of the budget of probes in a probe a second: its shares are whole numbers that 300 proxies can still divide.
pub const PROBE: Micros = 1000;
/// Units of the budget of cold members in a request a second.
pub const COLD: u32 = 10;

pub fn read(part: &Part, own: &Own) -> Result<Divided, Wrong> {
    let number = |key: &str| {
        let n = part.number(key)?.filter(|n| *n > 0.0 && *n < 1e6);
        n.ok_or_else(|| part.wrong_at(key, format!("'{key}' is missing or no number over 0")))
    };
    let (mut proxies, mut voters, mut place) = (Vec::new(), Vec::new(), None);
    let (mut names, mut order) = (BTreeSet::new(), Vec::new());
    for (i, p) in part.tables("proxy", PROXY)?.iter().enumerate() {
        let named = p.text("name")?.filter(|n| !n.is_empty());
        let name = named.ok_or_else(|| p.wrong("a proxy without 'name'"))?;
        if !names.insert(name) {
            return Err(p.wrong(format!("proxy '{name}' stands twice")));
        }
        order.push(name.to_owned());
        proxies.push(p.address("address").map_err(|w| w.of(&format!("proxy '{name}'")))?);
        let i = u16::try_from(i).map_err(|_| p.wrong("too many proxies"))?;
        if p.flag("voter")? {
            voters.push(i);
        }
        place = place.or((name == own.name).then_some(i));
    }
    if proxies.is_empty() {
        return Err(part.wrong("no proxy"));
    }
    let place =
        place.ok_or_else(|| part.wrong(format!("no proxy has this one's name, '{}'", own.name)))?;
    let mut wholes = vec![(number("probes_per_cache_s")? * PROBE as f64) as u32];
    if part.number("cold_per_s")?.is_some() {
        wholes.push((number("cold_per_s")? * f64::from(COLD)) as u32);
    }
    let settings = threadward_budgets::Settings {
        place,
        proxies: u16::try_from(proxies.len()).map_err(|_| part.wrong("too many proxies"))?,
        voters,
        wholes,
        lease: (number("lease_ms")? * 1000.0) as Micros,
    };
    threadward_budgets::check(&settings).map_err(|e| {
        let key = if e.starts_with("'lease_ms'") { "lease_ms" } else { "" };
        part.wrong_at(key, e)
    })?;
    let key = part.secret_key("secret_file", own.folder)?;
    let listen = proxies[usize::from(place)];
    Ok(Divided { listen, settings, proxies, names: order, key })
}
