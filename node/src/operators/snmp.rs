//! The part `[snmp]`: the SNMP agent. The community is never in the operators' file itself.
use super::{FileError, Part, ReadContext};
use std::net::SocketAddr;

pub const KEYS: &[&str] = &["listen", "community_file"];

/// The settings of the SNMP agent.
#[derive(Clone)]
pub struct SnmpAgent {
    pub listen: SocketAddr,
    pub community: String,
}

/// Reads the part.
pub fn read(part: &Part, context: &ReadContext) -> Result<SnmpAgent, FileError> {
    let community = part.secret("community_file", context.folder)?;
    if community.is_empty() {
        return Err(part.key_error("community_file", "an empty community"));
    }
    Ok(SnmpAgent { listen: part.address("listen")?, community })
}
