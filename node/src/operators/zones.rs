//! The part `[zones]`: zones that all proxies take out of use and back together. It needs two other parts:
//! the order of the proxies and the voters of `[budgets]`, and the keys of `[gossip]`. A proxy without a key
//! of its own in the file can't take part, as whoever holds a shared key could speak for all. The part can't
//! be used where regions and sites are named.
use super::{BudgetSettings, Division, FileError, GossipSettings, Part, ReadContext};

/// The part has no keys: it is on if its table is there.
pub const KEYS: &[&str] = &[];

/// The settings of zones.
#[derive(Clone)]
pub struct ZoneSettings {
    /// Byte offset of the part in the file.
    at: usize,
    /// This proxy's secret.
    pub secret: [u8; 32],
    /// The public keys of every proxy, in the order of `[budgets]`.
    pub keys: Vec<Vec<[u8; 32]>>,
}

/// Reads the part. Its keys are filled in by [`resolve`].
pub fn read(part: &Part, _: &ReadContext) -> Result<ZoneSettings, FileError> {
    Ok(ZoneSettings { at: part.at(), secret: [0; 32], keys: Vec::new() })
}

/// Fills in the keys from the other parts.
pub fn resolve(
    z: &mut ZoneSettings,
    gossip: Option<&GossipSettings>,
    budgets: Option<&BudgetSettings>,
) -> Result<(), FileError> {
    let error = |what: String| FileError::at(z.at, what).within("zones");
    let missing_parts =
        || error("zones need the parts [gossip] (keys) and [budgets] (places, voters)".into());
    if budgets.is_some_and(|budgets| matches!(budgets.division, Division::Tree(_))) {
        return Err(error(
            "zones are decided by one process for the whole fleet and take no part in regions and sites yet: turn off \
             [zones], or name no region and site"
                .into(),
        ));
    }
    let (gossip_settings, budgets) = gossip.zip(budgets).ok_or_else(missing_parts)?;
    let mut keys = Vec::new();
    for name in &budgets.names {
        // A proxy without a key has been excluded: nothing is accepted from it, and the others go on.
        let peer = gossip_settings.settings.peers.iter().find(|p| p.name == *name);
        keys.push(
            peer.ok_or_else(|| error(format!("proxy '{name}' is not named in [gossip]")))?.keys.clone(),
        );
    }
    (z.secret, z.keys) = (gossip_settings.settings.secret, keys);
    Ok(())
}
