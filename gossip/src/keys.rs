//! The peers in the operators' settings with their addresses and keys (Ed25519, RFC 8032). Maps the id of a
//! key to its peer, and makes and verifies signatures.
//!
//! Keys are never learned from the network, and no two peers may have the same key: with a shared key one
//! lying peer could speak for all of them.
use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Length of a signature.
pub const SIGNATURE_BYTES: usize = 64;
/// Maximum number of configured peers.
pub const MAX_PEERS: usize = 4096;
/// Maximum number of valid keys of one peer: the current one, and the next or previous one during a key
/// change.
pub const MAX_KEYS_PER_PEER: usize = 2;
/// Prefix of everything that is signed, so that a signature made for another purpose is never valid here.
const DOMAIN: &[u8] = b"threadward-gossip-1";

/// Returns the first four bytes of the SHA-256 (at least 1), used as the id of a peer (hash of its name) and
/// of a key (hash of the public key).
pub fn short_id(bytes: &[u8]) -> u32 {
    let hash = Sha256::digest(bytes);
    u32::from_be_bytes([hash[0], hash[1], hash[2], hash[3]]).max(1)
}

/// A gossip instance as configured by the operators.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerConfig {
    /// Its name, which is unique.
    pub name: String,
    /// The address that it sends from and receives at.
    pub addr: SocketAddr,
    /// One or two public keys. Without any key the peer is withdrawn, and nothing that it signs counts.
    pub keys: Vec<[u8; 32]>,
    /// Whether instances that start contact it first.
    pub seed: bool,
}

/// Returns the public key of a secret, as operators put it into the settings.
///
/// ```
/// use threadward_gossip::public_key;
///
/// // The first test vector of RFC 8032, section 7.1.
/// let bytes = |hex: &str| -> Vec<u8> {
///     (0..hex.len()).step_by(2).map(|i| u8::from_str_radix(&hex[i..i + 2], 16).unwrap()).collect()
/// };
/// let secret = bytes("9d61b19deffd5a60ba844af492ec2cc44449c5697b326919703bac031cae7f60");
/// let key = bytes("d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a");
/// assert_eq!(public_key(&secret.try_into().unwrap()).to_vec(), key);
/// ```
pub fn public_key(secret: &[u8; 32]) -> [u8; 32] {
    SigningKey::from_bytes(secret).verifying_key().to_bytes()
}

/// This instance's secret key.
#[derive(Clone)]
pub struct OwnKey {
    key: SigningKey,
    id: u32,
}

impl OwnKey {
    /// Creates the key from its 32 bytes. Any bytes are valid, so they have to be random.
    pub fn new(secret: &[u8; 32]) -> OwnKey {
        let key = SigningKey::from_bytes(secret);
        let id = short_id(&key.verifying_key().to_bytes());
        OwnKey { key, id }
    }
    /// Returns the id of its public key, as datagrams carry it.
    pub fn id(&self) -> u32 {
        self.id
    }
    /// Appends the signature to a datagram.
    pub fn sign(&self, datagram: &mut Vec<u8>) {
        let signature = self.key.sign(&[DOMAIN, datagram].concat());
        datagram.extend_from_slice(&signature.to_bytes());
    }
}

/// The validated peers and their keys.
///
/// ```
/// use threadward_gossip::keys::{public_key, short_id, Directory, OwnKey, PeerConfig, SIGNATURE_BYTES};
///
/// let peer = |name: &str, secret: u8| PeerConfig {
///     name: name.into(),
///     addr: ([127, 0, 0, 1], 7000 + u16::from(secret)).into(),
///     keys: vec![public_key(&[secret; 32])],
///     seed: false,
/// };
/// let d = Directory::new("a", &OwnKey::new(&[1; 32]), vec![peer("a", 1), peer("b", 2)])?;
/// let b = OwnKey::new(&[2; 32]);
/// assert_eq!(
///     (d.own_index, d.peer_by_key_id(b.id()), d.peer_by_name_id(short_id(b"b"))),
///     (0, Some(1), Some(1))
/// );
/// let mut datagram = b"word".to_vec();
/// b.sign(&mut datagram);
/// let (signed, signature) = datagram.split_last_chunk::<SIGNATURE_BYTES>().unwrap();
/// assert!(d.verify(b.id(), signed, signature));
/// assert!(!d.verify(b.id(), b"ward", signature));
/// assert!(!d.verify(short_id(&public_key(&[1; 32])), signed, signature));
/// # Ok::<(), String>(())
/// ```
#[derive(Clone, Default)]
pub struct Directory {
    /// The peers in configured order; all other modules identify a peer by its index here.
    pub peers: Vec<PeerConfig>,
    /// Index of this instance.
    pub own_index: usize,
    name_ids: Vec<u32>,
    by_name_id: BTreeMap<u32, usize>,
    by_key_id: BTreeMap<u32, (usize, VerifyingKey)>,
    addresses: BTreeMap<SocketAddr, usize>,
}

impl Directory {
    /// Validates the peers. `name` is the name of this instance.
    ///
    /// # Errors
    /// Returns one line that says what is wrong with the peers.
    pub fn new(name: &str, own: &OwnKey, peers: Vec<PeerConfig>) -> Result<Directory, String> {
        if peers.len() > MAX_PEERS {
            return Err(format!("{} peers, {MAX_PEERS} at most", peers.len()));
        }
        let mut d = Directory { peers, ..Directory::default() };
        let mut names = BTreeSet::new();
        for (i, p) in d.peers.iter().enumerate() {
            let name = &p.name;
            if !names.insert(name.clone()) {
                return Err(format!("peer '{name}' stands twice"));
            }
            if p.keys.len() > MAX_KEYS_PER_PEER {
                return Err(format!("peer '{name}' has {} keys, {MAX_KEYS_PER_PEER} at most", p.keys.len()));
            }
            let id = short_id(name.as_bytes());
            d.name_ids.push(id);
            if d.by_name_id.insert(id, i).is_some() {
                return Err(format!("the name of peer '{name}' has the id of another one; rename it"));
            }
            for key in &p.keys {
                let usable = VerifyingKey::from_bytes(key).ok().filter(|k| !k.is_weak());
                let key = usable.ok_or_else(|| format!("peer '{name}': a key that is no Ed25519 key"))?;
                if d.by_key_id.insert(short_id(&key.to_bytes()), (i, key)).is_some() {
                    return Err(format!("peer '{name}': a key that stands twice; each peer needs its own"));
                }
            }
            let next = d.addresses.len();
            d.addresses.entry(p.addr).or_insert(next);
        }
        d.own_index =
            d.peers.iter().position(|p| p.name == name).ok_or(format!("no peer is named '{name}'"))?;
        match d.by_key_id.get(&own.id()) {
            Some((i, key)) if *i == d.own_index && *key == own.key.verifying_key() => Ok(d),
            _ => Err(format!("the own secret belongs to no key of peer '{name}'")),
        }
    }
    /// Returns the id of a peer's name, or 0 if there is no such peer.
    pub fn name_id(&self, peer: usize) -> u32 {
        self.name_ids.get(peer).copied().unwrap_or(0)
    }
    /// Returns the peer with the given name id.
    pub fn peer_by_name_id(&self, id: u32) -> Option<usize> {
        self.by_name_id.get(&id).copied()
    }
    /// Returns the peer that a key belongs to.
    pub fn peer_by_key_id(&self, key_id: u32) -> Option<usize> {
        self.by_key_id.get(&key_id).map(|(i, _)| *i)
    }
    /// Returns the index of a known address among all distinct addresses.
    pub fn address_index(&self, a: SocketAddr) -> Option<usize> {
        self.addresses.get(&a).copied()
    }
    /// Returns the number of peers that have a key, from which quorums are calculated.
    pub fn eligible(&self) -> usize {
        self.peers.iter().filter(|p| !p.keys.is_empty()).count()
    }
    /// Returns whether the signature was made with the given key. Verification is strict: a second encoding
    /// of the same signature is not valid.
    pub fn verify(&self, key_id: u32, signed: &[u8], signature: &[u8; SIGNATURE_BYTES]) -> bool {
        let Some((_, k)) = self.by_key_id.get(&key_id) else { return false };
        k.verify_strict(&[DOMAIN, signed].concat(), &Signature::from_bytes(signature)).is_ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn peer(name: &str, secrets: &[u8]) -> PeerConfig {
        let keys = secrets.iter().map(|s| public_key(&[*s; 32])).collect();
        PeerConfig { name: name.into(), addr: ([127, 0, 0, 1], 7000).into(), keys, seed: true }
    }

    #[test]
    fn invalid_peers_are_reported_in_one_message() {
        let own = OwnKey::new(&[1; 32]);
        let error = |peers| Directory::new("a", &own, peers).err().unwrap_or_default();
        assert_eq!(error(vec![peer("a", &[1]), peer("b", &[2, 3])]), "");
        assert_eq!(error(vec![peer("a", &[1]), peer("a", &[2])]), "peer 'a' stands twice");
        assert_eq!(error(vec![peer("b", &[2])]), "no peer is named 'a'");
        assert_eq!(error(vec![peer("a", &[2])]), "the own secret belongs to no key of peer 'a'");
        assert_eq!(
            error(vec![peer("a", &[1]), peer("b", &[1])]),
            "peer 'b': a key that stands twice; each peer needs its own"
        );
        assert_eq!(error(vec![peer("a", &[1, 2, 3])]), "peer 'a' has 3 keys, 2 at most");
        let weak = PeerConfig { keys: vec![[0; 32]], ..peer("b", &[]) };
        assert_eq!(error(vec![peer("a", &[1]), weak]), "peer 'b': a key that is no Ed25519 key");
    }

    #[test]
    fn a_signature_is_valid_only_for_its_datagram_and_key() {
        let own = OwnKey::new(&[1; 32]);
        let d = Directory::new("a", &own, vec![peer("a", &[1]), peer("b", &[2])]).unwrap();
        let mut bytes = b"word".to_vec();
        own.sign(&mut bytes);
        let signature: [u8; SIGNATURE_BYTES] = bytes[4..].try_into().unwrap();
        assert!(d.verify(own.id(), b"word", &signature));
        assert!(!d.verify(own.id(), b"ward", &signature));
        assert!(!d.verify(OwnKey::new(&[2; 32]).id(), b"word", &signature));
    }
}
