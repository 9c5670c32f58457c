//! The part `[snmp]`: the management agent. It owns what that is told. It must never take a community from the
//! operators' file itself.
use super::{Own, Part, Wrong};
use std::net::SocketAddr;

pub const KEYS: &[&str] = &["listen", "community_file"];

/// What it says of the agent.
#[derive(Clone)]
pub struct SnmpAgent {
    pub listen: SocketAddr,
    pub community: String,
}

pub fn read(part: &Part, own: &Own) -> Result<SnmpAgent, Wrong> {
    let community = part.secret("community_file", own.folder)?;
    if community.is_empty() {
        return Err(part.wrong_at("community_file", "an empty community"));
    }
    Ok(SnmpAgent { listen: part.address("listen")?, community })
}
