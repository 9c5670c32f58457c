//! Parses the platform's configuration file, with the discovery events known so far, and the events that
//! discovery sends later. Also tells which changes of the configuration need a restart.
//!
//! An invalid configuration gives an error of one line, which ends a start but not a reload.
use nickelgate_drill::parse_settings;
use serde_json::Value;
use std::net::SocketAddr;
pub use threadward_core::bans::ListedServer;
use threadward_core::{Addr, Entry, Lifecycle, ListForm, Micros, Settings, UnixTime};

/// The platform's configuration of this proxy.
#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    /// Where the front end for clients listens.
    pub listen: SocketAddr,
    /// Address of the admin socket; `None` if there is none.
    pub admin_addr: Option<SocketAddr>,
    /// Seed of the router's random numbers.
    pub seed: u64,
    /// Limit on sockets.
    pub max_sockets: usize,
    /// Limit on memory.
    pub memory_bytes: usize,
    /// Where datagrams of other proxies arrive.
    pub peer_listen: Option<SocketAddr>,
    /// The addresses of the other proxies.
    pub peers: Vec<SocketAddr>,
    /// Address of the discovery service.
    pub discovery_addr: SocketAddr,
    pub settings: Settings,
    /// The settings as they stand in the file.
    pub settings_json: Value,
    pub names: Names,
    /// Number of the last event that the file already includes.
    pub last_known_event: u64,
    /// The events known so far: member lists and purges.
    pub known_events: Vec<DiscoveryEvent>,
}

impl Config {
    /// Returns the keys whose values differ in another configuration and take effect only with a restart.
    /// `seed` and `known` matter only at a start, so they are left out.
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

/// Names from the settings, in the order of their indices, and the limits on connections to caches.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub classes: Vec<String>,
    pub zones: Vec<String>,
    /// For each zone, the index of the zone of its parent; a parent's zone has itself.
    pub zone_parents: Vec<u16>,
    pub kinds: Vec<String>,
    /// The columns of the load reports of caches.
    pub columns: Vec<String>,
    /// How long an idle connection to a cache is kept open.
    pub keepalive: Micros,
    pub connect_timeout: Micros,
    /// Whether caches must not be sent `cancel`.
    pub forbids_cancel: bool,
    /// An attempt sent up to this long after a drain or purge was announced still counts as sent before it:
    /// the shorter of the grace periods of the two.
    pub epoch_grace: Micros,
    /// Maximum number of attempts at a time on one connection to a cache.
    pub streams_per_connection: usize,
    /// Maximum number of unanswered requests.
    pub max_open: usize,
}

/// An event of the discovery service.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryEvent {
    /// A member list, or changes to it.
    Members { form: ListForm, servers: Vec<ListedServer> },
    /// A purge of an object or, if none is named, of a group.
    Purge { issued: UnixTime, object: Option<u64>, group: u16 },
}

/// Returns the address that stands for a server's id in the router, which knows members by address. The real
/// address won't do, as a new server may get that of one that has gone. The result is the same at every proxy
/// of the tier.
pub fn address_for_id(id: &str) -> Addr {
    let mut h = 0xcbf2_9ce4_8422_2325u64;
    for b in id.bytes() {
        h = (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    }
    h = (h ^ (h >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    let [a, b, c, d, e, f, ..] = h.to_be_bytes();
    Addr { ip: [a, b, c, d], port: u16::from_be_bytes([e, f]) }
}

/// Returns the string at a key.
fn text<'a>(v: &'a Value, key: &str) -> Result<&'a str, String> {
    v.get(key).and_then(Value::as_str).ok_or_else(|| format!("'{key}' is missing or no text"))
}

/// Returns the socket address at a key.
fn address(v: &Value, key: &str) -> Result<SocketAddr, String> {
    text(v, key)?.parse().map_err(|_| format!("'{key}' is no address"))
}

/// Returns a list of strings; entries of other types become empty strings.
fn string_list(v: &Value) -> Vec<String> {
    let list = v.as_array().map(Vec::as_slice).unwrap_or_default();
    list.iter().map(|w| w.as_str().unwrap_or_default().to_owned()).collect()
}

/// Returns a list of indices; anything else becomes `u16::MAX`.
fn index_list(v: &Value) -> Vec<u16> {
    let list = v.as_array().map(Vec::as_slice).unwrap_or_default();
    list.iter().map(|n| n.as_u64().and_then(|n| u16::try_from(n).ok()).unwrap_or(u16::MAX)).collect()
}

/// Timeout for connecting to a cache, in microseconds, if none is given or one that is too short for any
/// connection.
const DEFAULT_CONNECT_TIMEOUT: f64 = 400_000.0;
/// Minimum connect timeout in microseconds: no connection could be made within less.
const MIN_CONNECT_TIMEOUT: f64 = 10_000.0;
/// Maximum connect timeout in microseconds.
const MAX_CONNECT_TIMEOUT: f64 = 30_000_000.0;
/// Range of the keepalive time in microseconds. With less a connection would be closed before its first use.
const KEEPALIVE_RANGE: (f64, f64) = (100_000.0, 1e12);
/// Maximum of the memory limit in megabytes: a higher one would be no limit.
const MAX_MEMORY_MB: f64 = 1e9;
/// Maximum of the limit on sockets.
const MAX_SOCKETS: f64 = 1e6;

/// Reads the names of the classes, which must be distinct and must be plain text that can be sent.
fn classes(s: &Value) -> Result<Vec<String>, String> {
    let list = s.get("classes").and_then(Value::as_array).filter(|c| !c.is_empty());
    let list = list.ok_or("the settings name no usable classes: 'classes' is missing or empty")?;
    if list.len() > usize::from(u8::MAX) + 1 {
        return Err(format!("'settings': 'classes' has {} entries, 256 at most", list.len()));
    }
    let mut names: Vec<String> = Vec::new();
    for (i, c) in list.iter().enumerate() {
        let error = |why: &str| Err(format!("'settings': 'classes', entry {i}: 'name' {why}"));
        let name = c.get("name").and_then(Value::as_str).unwrap_or_default();
        if !crate::wire::is_plain_text(name, 64) {
            return error("is missing or cannot be sent");
        }
        if names.iter().any(|n| n == name) {
            return error(&format!("is '{name}' as in an entry before"));
        }
        names.push(name.to_owned());
    }
    Ok(names)
}

/// Checks that each class has a deadline, and that at least one deadline is longer than a tick: a request
/// with no more than a tick left is not begun.
fn check_deadlines(s: &Settings) -> Result<(), String> {
    if let Some(i) = s.classes.iter().position(|c| c.deadline == 0) {
        return Err(format!("'settings': 'classes', entry {i}: 'hard_limit' is missing or not over 0"));
    }
    if s.classes.iter().all(|c| c.deadline <= s.min_event_interval) {
        return Err("'settings': 'tick' is as long as every class's 'hard_limit'".into());
    }
    Ok(())
}

/// Checks that this proxy's zone is one of those named. A platform may have no zones.
fn check_own_zone(s: &Value, zones: &[String]) -> Result<(), String> {
    let given = s.get("zone").map(Value::as_f64);
    let in_range = |z: f64| z.fract() == 0.0 && (0.0..zones.len() as f64).contains(&z);
    match given {
        _ if zones.is_empty() => Ok(()),
        None if zones.len() == 1 => Ok(()),
        Some(Some(z)) if in_range(z) => Ok(()),
        _ => Err(format!("'settings': 'zone' is missing or none of the {} in 'zones'", zones.len())),
    }
}

/// Parses the text of the configuration.
///
/// # Errors
/// One line that says what is wrong with it.
pub fn parse(json: &str) -> Result<Config, String> {
    let v: Value = serde_json::from_str(json).map_err(|e| format!("not JSON: {e}"))?;
    let s = v.get("settings").filter(|s| s.is_object()).ok_or("'settings' is missing")?;
    let mut settings = parse_settings(s.to_string().as_bytes()).map_err(|e| e.to_string())?;
    let classes = classes(s)?;
    let listen = address(&v, "listen")?;
    check_deadlines(&settings)?;
    let setting = |path: &str| s.pointer(path).unwrap_or(&Value::Null);
    let num = |path: &str, fallback: f64, (lowest, highest): (f64, f64)| {
        setting(path).as_f64().unwrap_or(fallback).clamp(lowest, highest)
    };
    let zones = string_list(setting("/zones"));
    check_own_zone(s, &zones)?;
    if zones.is_empty() {
        settings.zone = 0;
    }
    let kinds = string_list(setting("/kinds"));
    if kinds.is_empty() {
        return Err("'settings': 'kinds' is missing or empty".into());
    }
    let connect = setting("/limits/connect_timeout").as_f64().filter(|t| *t >= MIN_CONNECT_TIMEOUT);
    let connect = connect.unwrap_or(DEFAULT_CONNECT_TIMEOUT).min(MAX_CONNECT_TIMEOUT);
    let names = Names {
        classes,
        zones,
        zone_parents: index_list(setting("/family_info/zone_hub")),
        kinds,
        columns: string_list(setting("/report/columns")),
        keepalive: num("/limits/keepalive", 30_000_000.0, KEEPALIVE_RANGE) as Micros,
        connect_timeout: connect as Micros,
        forbids_cancel: !settings.cancel,
        epoch_grace: settings.drain_grace.min(settings.purge_grace),
        streams_per_connection: num("/limits/streams_per_conn", 32.0, (1.0, 1e6)) as usize,
        max_open: num("/limits/max_open", 1024.0, (1.0, 4096.0)) as usize,
    };
    let seed = v.get("seed").and_then(Value::as_str).and_then(|t| u64::from_str_radix(t, 16).ok());
    let limit = |key: &str, fallback: f64, upper: f64| match v.pointer(&format!("/limits/{key}")) {
        None => Ok(fallback),
        Some(n) => {
            let n = n.as_f64().filter(|n| *n >= 1.0).map(|n| n.min(upper));
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
        max_sockets: limit("sockets", 1024.0, MAX_SOCKETS)? as usize,
        memory_bytes: (limit("memory_mb", 192.0, MAX_MEMORY_MB)? * 1_048_576.0) as usize,
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

/// Returns a weight if it is in the usable range, else 0, which means that it isn't known.
fn weight(w: f64) -> f32 {
    Some(w as f32).filter(|w| (1e-6..1e6).contains(w)).unwrap_or(0.0)
}

/// Parses an event of the discovery service. Returns its number, and `None` in place of the event if it is of
/// an unknown kind.
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
        let group_id = r.get("lot").and_then(Value::as_u64).and_then(|l| u16::try_from(l).ok());
        if object.is_none() && group_id.is_none() {
            return Err("a recall of nothing".into());
        }
        let group = group_id.unwrap_or(0);
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
        let index = |list: &[String], key: &str| {
            let word = s.get(key).and_then(Value::as_str).unwrap_or_default();
            list.iter().position(|z| z == word)
        };
        let (zone, kind) = (index(&names.zones, "zone"), index(&names.kinds, "kind"));
        let state = match text(s, "state")? {
            "active" => Lifecycle::Ready,
            "leaving" => Lifecycle::Draining,
            "left" => Lifecycle::Gone,
            other => return Err(format!("a server in the unknown state '{other}'")),
        };
        let no_addr = SocketAddr::from(([127, 0, 0, 1], 0));
        let sock = match address(s, "addr") {
            Ok(a) => a,
            Err(_) if state == Lifecycle::Gone => no_addr,
            Err(e) => return Err(e),
        };
        // Without zones all servers are in the same one.
        let zone = if names.zones.is_empty() { Some(0) } else { zone };
        // A server of unknown kind must not count as a cache of this proxy's zone.
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
