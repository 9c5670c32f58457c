//! Writes the files that the processes of a run read: the program's operators' file and configuration, and
//! the host's job.
use super::plan::{FleetPlan, HostJob};
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Probes of one cache a second, by all proxies together.
const PROBES_PER_CACHE_S: u32 = 5;
/// Budget units of one probe a second, as the program counts them.
const UNITS_PER_PROBE: u32 = 1_000;

/// Total of the one budget that the operators' file names, in units.
pub const TOTAL_UNITS: u32 = PROBES_PER_CACHE_S * UNITS_PER_PROBE;

/// Writes a file and returns its path.
fn write(path: PathBuf, text: &str) -> Result<PathBuf, String> {
    std::fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))?;
    Ok(path)
}

/// Writes the operators' file, which names every proxy of the fleet, and the key beside it.
pub fn write_operators(
    folder: &Path,
    fleet: &FleetPlan,
    addresses: &[SocketAddr],
) -> Result<PathBuf, String> {
    write(folder.join("key"), &URL_SAFE_NO_PAD.encode(fleet.key))?;
    let lease = fleet.lease / 1_000;
    let mut text = format!(
        "[budgets]\nsecret_file = \"key\"\nlease_ms = {lease}\nprobes_per_cache_s = {PROBES_PER_CACHE_S}\n"
    );
    for (index, address) in addresses.iter().enumerate() {
        let is_voter = fleet.voters.iter().any(|voter| usize::from(*voter) == index);
        let proxy =
            format!("[[budgets.proxy]]\nname = \"n{index}\"\naddress = \"{address}\"\nvoter = {is_voter}\n");
        write!(text, "\n{proxy}").map_err(|error| error.to_string())?;
    }
    write(folder.join("operators.toml"), &text)
}

/// Writes the configuration of the real process with this index. It allows probes, because only a proxy that
/// may probe caches asks for a share.
pub fn write_configuration(
    folder: &Path,
    index: u16,
    front: SocketAddr,
    discovery: SocketAddr,
    cache: SocketAddr,
) -> Result<PathBuf, String> {
    let server = |id: &str, zone: &str, kind: &str, address: SocketAddr| {
        serde_json::json!({
            "id": id, "addr": address, "zone": zone, "kind": kind, "cell": 1,
            "state": "active", "weight": 4, "started_ms": 0,
        })
    };
    let servers = [server("s-0", "east", "std", cache), server("origin", "hub", "origin", cache)];
    let list = serde_json::json!({ "no": 0, "roster": { "version": 1, "full": true, "servers": servers } });
    let json = serde_json::json!({
        "name": format!("n{index}"),
        "listen": front,
        "seed": "8c1f30d27a5be964",
        "limits": { "memory_mb": 192, "sockets": 1024 },
        "bulletin": discovery,
        "known": { "no": 0, "items": [list] },
        "settings": settings(),
    });
    write(folder.join(format!("{index}.json")), &json.to_string())
}

/// Returns the `settings` of the configuration.
fn settings() -> serde_json::Value {
    serde_json::json!({
        "classes": [{
            "name": "media", "aim": 600_000, "aim_stretch": 1.6, "hard_limit": 6_000_000, "importance": 2,
            "effect": "retryable", "group": "all",
        }],
        "family_info": {
            "pass_on": [false], "class_fresh": [0], "grace_for": [0], "mid_kind": 1, "store_kind": 2,
            "cleared_within": 6_000_000, "purge_slack": 300_000, "count_by_zone": [0, 1], "tells": "all",
            "sideways": "any", "parent_starts_at": 0.061, "parent_ramp": 21_000_000, "upper_fall_multiple": 2,
        },
        "kinds": ["std", "parent", "origin"], "zones": ["hub", "east"], "zone": 1, "me": 0, "balancers": 1,
        "tick": 2_000, "weight_source": "rough",
        "limits": {
            "probes": true, "cancel": true, "connect_timeout": 400_000, "keepalive": 30_000_000, "most_tries": 8,
            "parallel_tries": true, "retry_after": true, "max_retry_after": 1_000_000, "streams_per_conn": 32,
            "max_open": 500,
        },
        "report": { "columns": ["cpu", "x1", "x0"], "how": "on_probe" },
        "rules": {
            "answer_slack": 8_000, "cold": 17_000_000, "cold_from": 0.21, "drain_grace": 1_000_000,
            "fall": 2_000_000, "fall_multiple": 2.5,
        },
    })
}

/// Writes the job of a host.
pub fn write_job(folder: &Path, job: &HostJob) -> Result<PathBuf, String> {
    let text = serde_json::to_string(job).map_err(|error| error.to_string())?;
    write(folder.join(format!("host-{}.json", job.first)), &text)
}
