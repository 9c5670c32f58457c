//! The part `[zones]`: zones that all proxies leave and return to together. It needs two other parts: the places and voters
//! of `[budgets]`, and the keys of `[gossip]`. A proxy for which the file has no key of its own takes no part: whoever speaks
//! with a shared one speaks for all. Nor does any where regions and sites are named.
use super::{BudgetSettings, Division, GossipSettings, Own, Part, Wrong};

/// Nothing is set: the part turns it on.
pub const KEYS: &[&str] = &[];

/// What it says of zones.
#[derive(Clone)]
pub struct ZoneSettings {
    /// Where the part stands in the file.
    at: usize,
    /// The own secret, and the public keys of every proxy in the order of `[budgets]`.
    pub secret: [u8; 32],
    pub keys: Vec<Vec<[u8; 32]>>,
}

pub fn read(part: &Part, _: &Own) -> Result<ZoneSettings, Wrong> {
    Ok(ZoneSettings { at: part.at(), secret: [0; 32], keys: Vec::new() })
}

/// Takes what it needs of the other parts.
pub fn tie(
    z: &mut ZoneSettings,
    gossip: Option<&GossipSettings>,
    budgets: Option<&BudgetSettings>,
) -> Result<(), Wrong> {
    let wrong = |what: String| Wrong::at(z.at, what).within("zones");
    let need = || wrong("zones need the parts [gossip] (keys) and [budgets] (places, voters)".into());
    if budgets.is_some_and(|budgets| matches!(budgets.division, Division::Tree(_))) {
        return Err(wrong(
            "zones are decided by one process for the whole fleet and take no part in regions and sites yet: turn off \
             [zones], or name no region and site"
                .into(),
        ));
    }
    let (talk, budgets) = gossip.zip(budgets).ok_or_else(need)?;
    let mut keys = Vec::new();
    for name in &budgets.names {
        // One without a key was shut out: it is never heard, and the others go on.
        let peer = talk.settings.peers.iter().find(|p| p.name == *name);
        keys.push(
            peer.ok_or_else(|| wrong(format!("proxy '{name}' is not named in [gossip]")))?.keys.clone(),
        );
    }
    (z.secret, z.keys) = (talk.settings.secret, keys);
    Ok(())
}
