//! Keys that pairs of proxies share, and the authentication of messages under them: a third proxy can speak for neither.
use ed25519_dalek::{SigningKey, VerifyingKey};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::collections::BTreeMap;

/// Bytes of a MAC: half of the hash (RFC 2104, section 5).
const TAG_BYTES: usize = 16;
/// What is hashed begins with this, so that a key or a MAC made for another purpose never fits.
const DOMAIN: &[u8] = b"threadward-zones-1";

/// The keys that this proxy shares with each other one: at most two, while the other changes its own.
pub struct PairKeys {
    secret: SigningKey,
    publics: Vec<Vec<[u8; 32]>>,
    place: u16,
    /// Made when first used.
    derived: BTreeMap<u16, Vec<[u8; 32]>>,
}

impl PairKeys {
    /// From the own secret and place, and the public keys of every proxy in the order of their places.
    pub fn new(secret: &[u8; 32], publics: Vec<Vec<[u8; 32]>>, place: u16) -> PairKeys {
        PairKeys { secret: SigningKey::from_bytes(secret), publics, place, derived: BTreeMap::new() }
    }

    /// The others' keys anew. The places belong to budgets, which a restart alone changes.
    pub fn replace_public_keys(&mut self, publics: Vec<Vec<[u8; 32]>>) {
        if publics.len() == self.publics.len() {
            (self.publics, self.derived) = (publics, BTreeMap::new());
        }
    }

    /// A message to a place with its MAC: twice where the other changes its key, for which of the two it has is not known
    /// before it is heard, and it may never have a reason to speak first.
    pub fn sign(&mut self, to: u16, message: &[u8]) -> Vec<Vec<u8>> {
        let place = self.place;
        let keys = self.with(to).unwrap_or_default();
        let signed = |key: &[u8; 32]| {
            let tag = code(key, place, to, message)?.finalize().into_bytes();
            Some([message, &tag[..TAG_BYTES]].concat())
        };
        keys.iter().filter_map(signed).collect()
    }

    /// The message without its MAC, and the place that it comes from.
    pub fn open<'a>(&mut self, datagram: &'a [u8]) -> Option<(u16, &'a [u8])> {
        let (message, tag) = datagram.split_at_checked(datagram.len().checked_sub(TAG_BYTES)?)?;
        let from = u16::from_be_bytes(message.get(1..3)?.try_into().ok()?);
        let place = self.place;
        let right = |key: &[u8; 32]| {
            code(key, from, place, message).is_some_and(|code| code.verify_truncated_left(tag).is_ok())
        };
        self.with(from)?.iter().any(right).then_some((from, message))
    }

    /// The keys shared with a place.
    fn with(&mut self, place: u16) -> Option<&[[u8; 32]]> {
        if !self.derived.contains_key(&place) {
            let publics = self.publics.get(usize::from(place))?;
            let keys = publics.iter().filter_map(|public| self.derive(public)).collect();
            self.derived.insert(place, keys);
        }
        self.derived.get(&place).map(Vec::as_slice)
    }

    /// X25519 (RFC 7748) of the Ed25519 keys, hashed with both public keys.
    fn derive(&self, theirs: &[u8; 32]) -> Option<[u8; 32]> {
        let public = VerifyingKey::from_bytes(theirs).ok().filter(|key| !key.is_weak())?;
        let shared = public.to_montgomery().mul_clamped(self.secret.to_scalar_bytes()).to_bytes();
        let own = self.secret.verifying_key().to_bytes();
        let (low, high) = if own < *theirs { (own, *theirs) } else { (*theirs, own) };
        let mut hash = Hmac::<Sha256>::new_from_slice(DOMAIN).ok()?;
        [&shared, &low, &high].iter().for_each(|part| hash.update(*part));
        Some(hash.finalize().into_bytes().into())
    }
}

fn code(key: &[u8; 32], from: u16, to: u16, message: &[u8]) -> Option<Hmac<Sha256>> {
    let mut code = Hmac::<Sha256>::new_from_slice(key).ok()?;
    code.update(DOMAIN);
    code.update(&from.to_be_bytes());
    code.update(&to.to_be_bytes());
    code.update(message);
    Some(code)
}
