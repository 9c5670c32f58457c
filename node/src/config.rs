//! Reads what the program is told at its start: the environment, the platform's configuration file, and the
//! events known so far. It owns the names of members, zones, kinds and classes, and says what a reload cannot
//! change. It must never act on what it reads: a bad configuration is one clear line, which ends a start but
//! not a reload.
use nickelgate_drill::parse_settings;
use serde_json::Value;
use std::net::SocketAddr;
pub use threadward_core::bans::ListedServer;
use threadward_core::{Addr, Entry, Lifecycle, ListForm, Micros, Settings, UnixTime};

#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// Where operators call; nothing: there is no door.
    pub admin_addr: Option<SocketAddr>,
    pub seed: u64,
    pub max_sockets: usize,
    pub memory_bytes: usize,
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub discovery_addr: SocketAddr,
    pub settings: Settings,
    /// The settings as they were written.
    pub settings_json: Value,
    pub names: Names,
    pub last_known_event: u64,
    pub known_events: Vec<DiscoveryEvent>,
}

impl Config {
    /// What differs in another configuration and takes effect with a restart only. `seed` and `known` belong to a
    /// start, so they are passed over.
    pub fn restart_only_changes(&self, new: &Config) -> Vec<&'static str> {
        let differs = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("admin_addr", self.admin_addr != new.admin_addr),
            ("limits", (self.max_sockets, self.memory_bytes) != (new.max_sockets, new.memory_bytes)),
            ("peer_listen", self.peer_listen != new.peer_listen),
            ("peers", self.peers != new.peers),
            ("settings", self.settings_json != new.settings_json),
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
    pub zone_parents: Vec<u16>,
    pub kinds: Vec<String>,
    pub columns: Vec<String>,
    pub keepalive: Micros,
    pub connect_timeout: Micros,
    /// Within this time after a drain or a purge was told, whichever has less, sends still count as made before it.
    pub epoch_grace: Micros,
    pub streams_per_connection: usize,
    pub max_open: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryEvent {
    Members { form: ListForm, servers: Vec<ListedServer> },
    Purge { issued: UnixTime, object: Option<u64>, group: u16 },
}

/// The module knows members by address. A new server may get the address of one that has gone, so what it is
/// given stands for the id, alike at every proxy of the tier.
pub fn address_for_id(id: &str) -> Addr {
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

/// Time for a connection to a cache to come up, where none is told or none could in what is told; and the bounds.
const USUAL_CONNECT: f64 = 400_000.0;
const CONNECT: (f64, f64) = (10_000.0, 30_000_000.0);
/// With less a connection would be closed before its first use.
const KEEPALIVE: (f64, f64) = (100_000.0, 1e12);
/// More memory than this, in megabytes, is no limit.
const MOST_MEMORY: f64 = 1e9;
const MOST_SOCKETS: f64 = 1e6;

/// The names of the classes, each of which can be told from the others and sent.
fn classes(s: &Value) -> Result<Vec<String>, String> {
    let list = s.get("classes").and_then(Value::as_array).filter(|c| !c.is_empty());
    let list = list.ok_or("the settings name no usable classes: 'classes' is missing or empty")?;
    if list.len() > usize::from(u8::MAX) + 1 {
        return Err(format!("'settings': 'classes' has {} entries, 256 at most", list.len()));
    }
    let mut names: Vec<String> = Vec::new();
    for (i, c) in list.iter().enumerate() {
        let wrong = |why: &str| Err(format!("'settings': 'classes', entry {i}: 'name' {why}"));
        let name = c.get("name").and_then(Value::as_str).unwrap_or_default();
        if !crate::wire::is_plain_text(name, 64) {
            return wrong("is missing or cannot be sent");
        }
        if names.iter().any(|n| n == name) {
            return wrong(&format!("is '{name}' as in an entry before"));
        }
        names.push(name.to_owned());
    }
    Ok(names)
}

/// Each class has time, and what has less left than a tick is not begun.
fn deadlines(s: &Settings) -> Result<(), String> {
    if let Some(i) = s.classes.iter().position(|c| c.deadline == 0) {
        return Err(format!("'settings': 'classes', entry {i}: 'hard_limit' is missing or not over 0"));
    }
    if s.classes.iter().all(|c| c.deadline <= s.min_event_interval) {
        return Err("'settings': 'tick' is as long as every class's 'hard_limit'".into());
    }
    Ok(())
}

/// The own zone has to be one that is named; a platform may be without zones.
fn own_zone(s: &Value, zones: &[String]) -> Result<(), String> {
    let told = s.get("zone").map(Value::as_f64);
    let named = |z: f64| z.fract() == 0.0 && (0.0..zones.len() as f64).contains(&z);
    match told {
        _ if zones.is_empty() => Ok(()),
        None if zones.len() == 1 => Ok(()),
        Some(Some(z)) if named(z) => Ok(()),
        _ => Err(format!("'settings': 'zone' is missing or none of the {} in 'zones'", zones.len())),
    }
}

/// Reads the configuration's text.
///
/// # Errors
/// One line that says what is wrong with it.
pub fn parse(json: &str) -> Result<Config, String> {
    let v: Value = serde_json::from_str(json).map_err(|e| format!("not JSON: {e}"))?;
    let s = v.get("settings").filter(|s| s.is_object()).ok_or("'settings' is missing")?;
    let mut settings = parse_settings(s.to_string().as_bytes()).map_err(|e| e.to_string())?;
    let classes = classes(s)?;
    let listen = address(&v, "listen")?;
    deadlines(&settings)?;
    let at = |path: &str| s.pointer(path).unwrap_or(&Value::Null);
    let num =
        |path: &str, or: f64, (least, most): (f64, f64)| at(path).as_f64().unwrap_or(or).clamp(least, most);
    let zones = words(at("/zones"));
    own_zone(s, &zones)?;
    if zones.is_empty() {
        settings.zone = 0;
    }
    let kinds = words(at("/kinds"));
    if kinds.is_empty() {
        return Err("'settings': 'kinds' is missing or empty".into());
    }
    let connect = at("/limits/connect_timeout").as_f64().filter(|t| *t >= CONNECT.0);
    let connect = connect.unwrap_or(USUAL_CONNECT).min(CONNECT.1);
    let names = Names {
        classes,
        zones,
        zone_parents: places(at("/family_info/zone_hub")),
        kinds,
        columns: words(at("/report/columns")),
        keepalive: num("/limits/keepalive", 30_000_000.0, KEEPALIVE) as Micros,
        connect_timeout: connect as Micros,
        epoch_grace: settings.drain_grace.min(settings.purge_grace),
        streams_per_connection: num("/limits/streams_per_conn", 32.0, (1.0, 1e6)) as usize,
        max_open: num("/limits/max_open", 1024.0, (1.0, 4096.0)) as usize,
    };
    let seed = v.get("seed").and_then(Value::as_str).and_then(|t| u64::from_str_radix(t, 16).ok());
    let limit = |key: &str, or: f64, most: f64| match v.pointer(&format!("/limits/{key}")) {
        None => Ok(or),
        Some(n) => {
            let n = n.as_f64().filter(|n| *n >= 1.0).map(|n| n.min(most));
            n.ok_or_else(|| format!("'limits': '{key}' is no number from 1 up"))
        }
    };
    let peers = v.get("peers").and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    let known = v.get("known").unwrap_or(&Value::Null);
    let mut items = Vec::new();
    for item in known.get("items").and_then(Value::as_array).into_iter().flatten() {
        let (_, b) = parse_event(item, &names).map_err(|e| format!("'known': {e}"))?;
        items.extend(b);
    }
    Ok(Config {
        name: v.get("name").and_then(Value::as_str).unwrap_or("threadward").to_owned(),
        listen,
        admin_addr: v.get("admin_addr").map(|_| address(&v, "admin_addr")).transpose()?,
        seed: seed.ok_or("'seed' is missing or no hexadecimal number")?,
        max_sockets: limit("sockets", 1024.0, MOST_SOCKETS)? as usize,
        memory_bytes: (limit("memory_mb", 192.0, MOST_MEMORY)? * 1_048_576.0) as usize,
        peer_listen: v.get("peer_listen").and_then(Value::as_str).and_then(|t| t.parse().ok()),
        peers: peers.iter().filter_map(|p| p.as_str()?.parse().ok()).collect(),
        discovery_addr: address(&v, "bulletin")?,
        settings,
        settings_json: s.clone(),
        last_known_event: known.get("no").and_then(Value::as_u64).unwrap_or(0),
        known_events: items,
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
pub fn parse_event(v: &Value, names: &Names) -> Result<(u64, Option<DiscoveryEvent>), String> {
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
        return Ok((
            no,
            Some(DiscoveryEvent::Purge { issued: UnixTime::from_millis(issued), object, group }),
        ));
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
        // Without zones all are in the same one.
        let zone = if names.zones.is_empty() { Some(0) } else { zone };
        // One of unknown kind must not pass for a cache of the own zone.
        let zone = zone.filter(|_| kind.is_some()).and_then(|z| u16::try_from(z).ok()).unwrap_or(u16::MAX);
        let entry = Entry {
            addr: address_for_id(&id),
            zone,
            cell: s.get("cell").and_then(Value::as_u64).unwrap_or(0) as u16,
            kind: kind.and_then(|k| u8::try_from(k).ok()).unwrap_or(u8::MAX),
            weight: s.get("weight").and_then(Value::as_f64).map_or(0.0, weight),
            state,
            ..Entry::default()
        };
        let started = UnixTime::from_millis(s.get("started_ms").and_then(Value::as_u64).unwrap_or(0));
        servers.push(ListedServer { id, socket_addr: sock, entry, started_at: started, lifted_at: None });
    }
    let form = if full { ListForm::Full } else { ListForm::Delta };
    Ok((no, Some(DiscoveryEvent::Members { form, servers })))
}
