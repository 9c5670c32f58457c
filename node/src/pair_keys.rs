//! Keys that each pair of proxies shares, and the authentication of messages with them. A third proxy cannot
//! forge messages of either one.
use ed25519_dalek::{SigningKey, VerifyingKey};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::collections::BTreeMap;

/// Bytes of a MAC: half of the hash (RFC 2104, section 5).
const TAG_BYTES: usize = 16;
/// Separates these hashes from those made for other purposes, so that a key or a MAC of another kind is never
/// valid here: it is the HMAC key when a pair's key is derived, and the prefix of the data that a MAC covers.
const DOMAIN: &[u8] = b"threadward-zones-1";

/// The keys that this proxy shares with each other proxy: one, or two while the other proxy is changing its
/// key.
pub struct PairKeys {
    secret: SigningKey,
    /// The public keys of every proxy, by its index.
    public_keys: Vec<Vec<[u8; 32]>>,
    /// This proxy's index.
    index: u16,
    /// The shared keys by the other proxy's index, derived at first use.
    derived: BTreeMap<u16, Vec<[u8; 32]>>,
}

impl PairKeys {
    /// Creates the keys from this proxy's secret and index, and the public keys of every proxy by index.
    pub fn new(secret: &[u8; 32], public_keys: Vec<Vec<[u8; 32]>>, index: u16) -> PairKeys {
        PairKeys { secret: SigningKey::from_bytes(secret), public_keys, index, derived: BTreeMap::new() }
    }

    /// Replaces the public keys of all proxies. Keys for another number of proxies are ignored: the indices
    /// are those of the budgets, which only change with a restart.
    pub fn replace_public_keys(&mut self, public_keys: Vec<Vec<[u8; 32]>>) {
        if public_keys.len() == self.public_keys.len() {
            (self.public_keys, self.derived) = (public_keys, BTreeMap::new());
        }
    }

    /// Returns a message to a proxy with its MAC. While that proxy is changing its key, returns two
    /// datagrams, one for each key: which of the two it uses is unknown until it sends something, and it may
    /// never be the first to send.
    pub fn sign(&mut self, to: u16, message: &[u8]) -> Vec<Vec<u8>> {
        let from = self.index;
        let keys = self.shared_keys(to).unwrap_or_default();
        let signed = |key: &[u8; 32]| {
            let tag = mac(key, from, to, message)?.finalize().into_bytes();
            Some([message, &tag[..TAG_BYTES]].concat())
        };
        keys.iter().filter_map(signed).collect()
    }

    /// Verifies a datagram. Returns the index of the proxy that sent it and the message without its MAC, or
    /// `None` if the MAC is not valid.
    pub fn open<'a>(&mut self, datagram: &'a [u8]) -> Option<(u16, &'a [u8])> {
        let (message, tag) = datagram.split_at_checked(datagram.len().checked_sub(TAG_BYTES)?)?;
        let from = u16::from_be_bytes(message.get(1..3)?.try_into().ok()?);
        let to = self.index;
        let valid = |key: &[u8; 32]| {
            mac(key, from, to, message).is_some_and(|mac| mac.verify_truncated_left(tag).is_ok())
        };
        self.shared_keys(from)?.iter().any(valid).then_some((from, message))
    }

    /// Returns the keys shared with a proxy, and derives them at first use.
    fn shared_keys(&mut self, peer: u16) -> Option<&[[u8; 32]]> {
        if !self.derived.contains_key(&peer) {
            let public_keys = self.public_keys.get(usize::from(peer))?;
            let keys = public_keys.iter().filter_map(|public| self.derive(public)).collect();
            self.derived.insert(peer, keys);
        }
        self.derived.get(&peer).map(Vec::as_slice)
    }

    /// Derives the key shared with the owner of a public key: X25519 (RFC 7748) of the Ed25519 keys, hashed
    /// with both public keys. Returns `None` for a public key that is invalid or weak.
    fn derive(&self, peer_public: &[u8; 32]) -> Option<[u8; 32]> {
        let public = VerifyingKey::from_bytes(peer_public).ok().filter(|key| !key.is_weak())?;
        let shared = public.to_montgomery().mul_clamped(self.secret.to_scalar_bytes()).to_bytes();
        let own = self.secret.verifying_key().to_bytes();
        let (low, high) = if own < *peer_public { (own, *peer_public) } else { (*peer_public, own) };
        let mut hash = Hmac::<Sha256>::new_from_slice(DOMAIN).ok()?;
        [&shared, &low, &high].iter().for_each(|part| hash.update(*part));
        Some(hash.finalize().into_bytes().into())
    }
}

/// Starts the MAC of a message from one proxy to another.
fn mac(key: &[u8; 32], from: u16, to: u16, message: &[u8]) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
    mac.update(DOMAIN);
    mac.update(&from.to_be_bytes());
    mac.update(&to.to_be_bytes());
    mac.update(message);
    Some(mac)
}
