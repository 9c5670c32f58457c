//! The configuration of a small deployment: one depot with its caches, a hub cache and the head office server,
//! with the settings of the wire page's example.
use crate::proxy::free_addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

static STARTS: AtomicU64 = AtomicU64::new(0);

/// A server of the list.
#[derive(Clone, Debug)]
pub struct Listed {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: &'static str,
    pub kind: &'static str,
    pub state: &'static str,
    pub started_ms: u64,
}

impl Listed {
    pub fn cache(id: &str, addr: SocketAddr) -> Listed {
        Listed { id: id.into(), addr, zone: "edge-1", kind: "small-box", state: "active", started_ms: 0 }
    }
    pub fn parent(id: &str, addr: SocketAddr) -> Listed {
        Listed { id: id.into(), addr, zone: "north", kind: "parent", state: "active", started_ms: 0 }
    }
    pub fn origin(id: &str, addr: SocketAddr) -> Listed {
        Listed { id: id.into(), addr, zone: "north", kind: "origin", state: "active", started_ms: 0 }
    }
    pub fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"{}","cell":1,"state":"{}","weight":4,"started_ms":{}}}"#,
            self.id, self.addr, self.zone, self.kind, self.state, self.started_ms
        )
    }
}

/// The part of an event that names servers.
pub fn roster(full: bool, servers: &[Listed]) -> String {
    let all: Vec<String> = servers.iter().map(Listed::json).collect();
    format!(r#""roster":{{"version":1,"full":{full},"servers":[{}]}}"#, all.join(","))
}

/// The settings; what a case changes stands here.
#[derive(Clone)]
pub struct Settings {
    pub cancel: bool,
    pub parallel: bool,
    pub streams: u32,
    pub media: &'static str,
    pub pages: &'static str,
    pub booking: &'static str,
    pub direct: bool,
    pub proxies: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        let (media, pages, booking) = ("retryable", "retryable", "dedup");
        Settings { cancel: true, parallel: true, streams: 32, media, pages, booking, direct: false, proxies: 1 }
    }
}

impl Settings {
    fn json(&self) -> String {
        let Settings { cancel, parallel, streams, media, pages, booking, direct, proxies } = self;
        format!(
            r#"{{"balancers":{proxies},
 "classes":[{{"aim":600000,"aim_stretch":1.6,"dedup_window":5000000,"effect":"{media}","group":"all","hard_limit":6000000,"importance":2.0,"late_value":0.15,"name":"media","streaming":false}},
  {{"aim":400000,"aim_stretch":2.0,"dedup_window":5000000,"effect":"{pages}","group":"all","hard_limit":2500000,"importance":1.0,"late_value":0.2,"name":"pages","streaming":false}},
  {{"aim":800000,"dedup_window":3000000,"effect":"{booking}","group":"all","hard_limit":3000000,"importance":3.0,"late_value":0.0,"name":"booking","streaming":false}}],
 "clients":{{"marks_retry":true}},"customers":[],"discovery":"pushed",
 "family_info":{{"class_fresh":[0,8000000,0],"cleared_within":6000000,"collapses":false,"count_by_zone":[0,0,{proxies}],"direct":{direct},"grace_for":[0,0,0],"in_parts":[false,false,false],"inlet_cost":0.06,"inlet_kb_per_s":[0.0,0.0,66244.0],"mid_kind":1,"one_flow_kb_per_s":7800.0,"origin_fall_multiple":2.5,"origin_over_for":3000000,"parent_ramp":21000000,"parent_starts_at":0.061,"pass_on":[false,false,true],"purge_slack":300000,"sideways":"any","stale_earns":[0.7,0.7,0.7],"store_kind":2,"tells":"all","upper_fall_multiple":2.0,"zone_hub":[0,1,0]}},
 "kinds":["small-box","parent","origin"],"layer":0,
 "limits":{{"cancel":{cancel},"connect_timeout":400000,"cpu_us_per_request":0.0,"cpu_us_per_s":543963,"keepalive":30000000,"max_open":21758,"max_retry_after":1000000,"most_tries":8,"parallel_tries":{parallel},"peer_messages":true,"probes":false,"retry_after":true,"streams_per_conn":{streams}}},
 "me":0,"over_share_worth":0.1,"report":{{"columns":["cpu","x1","x0"],"how":"inline"}},
 "rules":{{"answer_slack":8000,"ask_every":10000000,"cold":17000000,"cold_from":0.21,"drain_grace":1000000,"fall":2000000,"fall_multiple":2.5}},
 "service_type":"edge","tick":2000,"tiers":["depot-cache"],"weight_source":"rough","worth_by":"request","zone":2,"zones":["north","south","edge-1"]}}"#
        )
    }
}

/// The configuration of one process.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub door: Option<SocketAddr>,
    pub bulletin: SocketAddr,
    pub known: Vec<(u64, String)>,
    pub settings: Settings,
    pub sockets: u32,
}

impl Config {
    pub fn new(listen: SocketAddr, bulletin: SocketAddr, list: &[Listed]) -> Config {
        let known = vec![(1, roster(true, list))];
        let settings = Settings::default();
        Config { name: "n0".into(), listen, door: None, bulletin, known, settings, sockets: 1024 }
    }
    pub fn json(&self) -> String {
        let items: Vec<String> = self.known.iter().map(|(no, what)| format!(r#"{{"no":{no},{what}}}"#)).collect();
        let last = self.known.last().map_or(0, |k| k.0);
        let door = self.door.map(|d| format!(r#""admin_addr":"{d}","#)).unwrap_or_default();
        // Every start has a seed of its own, also in the same millisecond.
        let start = STARTS.fetch_add(1, Ordering::Relaxed);
        let seed = (crate::record::unix_ms() * 1_000 + start).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        format!(
            r#"{{"name":"{}","listen":"{}",{door}"seed":"{seed:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":{}}},
"bulletin":"{}","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,"known":{{"no":{last},"items":[{}]}},"settings":{}}}"#,
            self.name,
            self.listen,
            self.sockets,
            self.bulletin,
            items.join(","),
            self.settings.json()
        )
    }
}

/// A folder of the run, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let at = std::env::temp_dir().join(format!("threadward-review-{}", std::process::id()));
        std::fs::create_dir_all(&at).unwrap();
        Folder(at)
    }
    /// A new, empty `$TMPDIR`.
    pub fn tmp(&self, name: &str) -> PathBuf {
        let at = self.0.join(name);
        std::fs::create_dir_all(&at).unwrap();
        at
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

/// An object's name, apart for each number.
pub fn object(n: u64) -> String {
    format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 12)
}

/// The fields of a request.
pub fn fields(call: &str, ttl_ms: u64, row: &str, bucket: u32) -> Vec<(String, String)> {
    let pair = |n: &str, v: String| (n.to_owned(), v);
    vec![
        pair("call", call.to_owned()),
        pair("ttl", ttl_ms.to_string()),
        pair("row", row.to_owned()),
        pair("seg", "0".into()),
        pair("bucket", bucket.to_string()),
        pair("heap", "412.5".into()),
    ]
}

pub fn two_addrs() -> (SocketAddr, SocketAddr) {
    (free_addr(), free_addr())
}
