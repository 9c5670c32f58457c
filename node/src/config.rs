//! Reads what the program is told at its start: the environment, the platform's configuration file, and the
//! events known so far. It owns the names of members, zones, kinds and classes, and says what a reload cannot
//! change. It must never act on what it reads: a bad configuration is one clear line, which ends a start but
//! not a reload.
use nickelgate_drill::parse_settings;
use serde_json::Value;
use std::net::SocketAddr;
pub use threadward_core::bans::Listed;
use threadward_core::{Addr, Entry, Lifecycle, ListForm, Micros, Settings};

#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// Where operators call; nothing: there is no door.
    pub admin: Option<SocketAddr>,
    pub seed: u64,
    pub sockets: usize,
    pub memory: usize,
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub bulletin: SocketAddr,
    pub settings: Settings,
    /// The settings as they were written.
    pub text: Value,
    pub names: Names,
    pub last: u64,
    pub known: Vec<Bulletin>,
}

impl Config {
    /// What differs in another configuration and takes effect with a restart only. `seed` and `known` belong to a
    /// start, so they are passed over.
    pub fn fixed(&self, new: &Config) -> Vec<&'static str> {
        let differs = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("admin_addr", self.admin != new.admin),
            ("limits", (self.sockets, self.memory) != (new.sockets, new.memory)),
            ("peer_listen", self.peer_listen != new.peer_listen),
            ("peers", self.peers != new.peers),
            ("settings", self.text != new.text),
        ];
        differs.into_iter().filter(|(_, d)| *d).map(|(key, _)| key).collect()
    }
}

/// What the settings name, in the order of their numbers, and the limits on connections to caches.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub classes: Vec<String>,
    pub zones: Vec<String>,
    /// The hub that each zone is tied to, by its place; a hub is tied to itself.
    pub hubs: Vec<u16>,
    pub kinds: Vec<String>,
    pub columns: Vec<String>,
    pub keepalive: Micros,
    pub connect: Micros,
    /// Within this time after a drain or a purge was told, whichever has less, sends still count as made before it.
    pub grace: Micros,
    pub streams: usize,
    pub max_open: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Bulletin {
    Roster { form: ListForm, servers: Vec<Listed> },
    Recall { issued: Micros, object: Option<u64>, group: u16 },
}

/// The module knows members by address. A new server may get the address of one that has gone, so what it is
/// given stands for the id, alike at every proxy of the tier.
pub fn stand_in(id: &str) -> Addr {
    let mut h = 0xcbf2_9ce4_8422_2325u64;
    for b in id.bytes() {
        h = (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    }
    h = (h ^ (h >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    let [a, b, c, d, e, f, ..] = h.to_be_bytes();
    Addr { ip: [a, b, c, d], port: u16::from_be_bytes([e, f]) }
}

fn text<'a>(v: &'a Value, key: &str) -> Result<&'a str, String> {
    v.get(key).and_then(Value::as_str).ok_or_else(|| format!("'{key}' is missing or no text"))
}

fn address(v: &Value, key: &str) -> Result<SocketAddr, String> {
    text(v, key)?.parse().map_err(|_| format!("'{key}' is no address"))
}

fn words(v: &Value) -> Vec<String> {
    let list = v.as_array().map(Vec::as_slice).unwrap_or_default();
    list.iter().map(|w| w.as_str().unwrap_or_default().to_owned()).collect()
}

fn places(v: &Value) -> Vec<u16> {
    let list = v.as_array().map(Vec::as_slice).unwrap_or_default();
    list.iter().map(|n| n.as_u64().and_then(|n| u16::try_from(n).ok()).unwrap_or(u16::MAX)).collect()
}

/// Reads the configuration's text.
///
/// # Errors
/// One line that says what is wrong with it.
pub fn parse(json: &str) -> Result<Config, String> {
    let v: Value = serde_json::from_str(json).map_err(|e| format!("not JSON: {e}"))?;
    let s = v.get("settings").filter(|s| s.is_object()).ok_or("'settings' is missing")?;
    let settings = parse_settings(s.to_string().as_bytes()).map_err(|e| e.to_string())?;
    let at = |path: &str| s.pointer(path).unwrap_or(&Value::Null);
    let num = |path: &str, or: u64| at(path).as_f64().map_or(or, |n| n.max(0.0) as u64);
    let classes: Vec<String> = at("/classes")
        .as_array()
        .into_iter()
        .flatten()
        .map(|c| c.get("name").and_then(Value::as_str).unwrap_or_default().to_owned())
        .collect();
    if classes.is_empty() || classes.iter().any(|c| !crate::wire::plain(c, 64)) {
        return Err("the settings name no usable classes".into());
    }
    let names = Names {
        classes,
        zones: words(at("/zones")),
        hubs: places(at("/family_info/zone_hub")),
        kinds: words(at("/kinds")),
        columns: words(at("/report/columns")),
        keepalive: num("/limits/keepalive", 30_000_000),
        connect: num("/limits/connect_timeout", 400_000),
        grace: settings.drain_grace.min(settings.purge_grace),
        streams: num("/limits/streams_per_conn", 32).max(1) as usize,
        max_open: num("/limits/max_open", 1024).clamp(1, 4096) as usize,
    };
    let seed = v.get("seed").and_then(Value::as_str).and_then(|t| u64::from_str_radix(t, 16).ok());
    let limit = |key: &str, or: u64| {
        v.pointer(&format!("/limits/{key}")).and_then(Value::as_u64).unwrap_or(or) as usize
    };
    let peers = v.get("peers").and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    let known = v.get("known").unwrap_or(&Value::Null);
    let mut items = Vec::new();
    for item in known.get("items").and_then(Value::as_array).into_iter().flatten() {
        let (_, b) = event(item, &names).map_err(|e| format!("'known': {e}"))?;
        items.extend(b);
    }
    Ok(Config {
        name: v.get("name").and_then(Value::as_str).unwrap_or("threadward").to_owned(),
        listen: address(&v, "listen")?,
        admin: v.get("admin_addr").map(|_| address(&v, "admin_addr")).transpose()?,
        seed: seed.ok_or("'seed' is missing or no hexadecimal number")?,
        sockets: limit("sockets", 1024),
        memory: limit("memory_mb", 192) << 20,
        peer_listen: v.get("peer_listen").and_then(Value::as_str).and_then(|t| t.parse().ok()),
        peers: peers.iter().filter_map(|p| p.as_str()?.parse().ok()).collect(),
        bulletin: address(&v, "bulletin")?,
        settings,
        text: s.clone(),
        last: known.get("no").and_then(Value::as_u64).unwrap_or(0),
        known: items,
        names,
    })
}

/// A weight that can be reckoned with; anything else counts as not told.
fn weight(w: f64) -> f32 {
    Some(w as f32).filter(|w| (1e-6..1e6).contains(w)).unwrap_or(0.0)
}

/// One event of the bulletin with its number; nothing where it is of an unknown kind.
///
/// # Errors
/// What is wrong with it.
pub fn event(v: &Value, names: &Names) -> Result<(u64, Option<Bulletin>), String> {
    let no = v.get("no").and_then(Value::as_u64).ok_or("an event without a number")?;
    if let Some(r) = v.get("recall") {
        let issued = r.get("issued").and_then(Value::as_u64).ok_or("a recall without its time")?;
        let object = match r.get("item") {
            Some(i) => {
                let hex = i.as_str().and_then(|t| u64::from_str_radix(t, 16).ok());
                Some(hex.ok_or("a recall of no object")?)
            }
            None => None,
        };
        let lot = r.get("lot").and_then(Value::as_u64).and_then(|l| u16::try_from(l).ok());
        if object.is_none() && lot.is_none() {
            return Err("a recall of nothing".into());
        }
        let group = lot.unwrap_or(0);
        return Ok((no, Some(Bulletin::Recall { issued: issued * 1000, object, group })));
    }
    let Some(r) = v.get("roster") else { return Ok((no, None)) };
    let full = r.get("full").and_then(Value::as_bool).unwrap_or(false);
    let mut servers = Vec::new();
    for s in r.get("servers").and_then(Value::as_array).into_iter().flatten() {
        let id = text(s, "id")?.to_owned();
        let place = |list: &[String], key: &str| {
            let word = s.get(key).and_then(Value::as_str).unwrap_or_default();
            list.iter().position(|z| z == word)
        };
        let (zone, kind) = (place(&names.zones, "zone"), place(&names.kinds, "kind"));
        let state = match text(s, "state")? {
            "active" => Lifecycle::Ready,
            "leaving" => Lifecycle::Draining,
            "left" => Lifecycle::Gone,
            other => return Err(format!("a server in the unknown state '{other}'")),
        };
        let none = SocketAddr::from(([127, 0, 0, 1], 0));
        let sock = match address(s, "addr") {
            Ok(a) => a,
            Err(_) if state == Lifecycle::Gone => none,
            Err(e) => return Err(e),
        };
        // One of unknown kind must not pass for a cache of the own zone.
        let zone = zone.filter(|_| kind.is_some()).and_then(|z| u16::try_from(z).ok()).unwrap_or(u16::MAX);
        let entry = Entry {
            addr: stand_in(&id),
            zone,
            cell: s.get("cell").and_then(Value::as_u64).unwrap_or(0) as u16,
            kind: kind.and_then(|k| u8::try_from(k).ok()).unwrap_or(u8::MAX),
            since: s.get("started_ms").and_then(Value::as_u64).unwrap_or(0) * 1000,
            weight: s.get("weight").and_then(Value::as_f64).map_or(0.0, weight),
            state,
        };
        servers.push(Listed { id, sock, entry });
    }
    let form = if full { ListForm::Full } else { ListForm::Delta };
    Ok((no, Some(Bulletin::Roster { form, servers })))
}
