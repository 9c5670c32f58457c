//! The datagrams between instances: at most 256 bytes, fixed fields in network byte order, and a signature
//! at the end. Reading does not allocate, trusts no length field, and rejects datagrams with unknown or
//! surplus bytes.
//!
//! | bytes | field |
//! | --- | --- |
//! | 1 | version (high four bits) and kind |
//! | 4 | id of the author's key |
//! | 8 | the author's start number, random |
//! | 4 | sequence number of the author's datagrams since that start |
//! | 4 | time since that start, in units of 10 ms |
//! | 0 to 171 | content, which depends on the kind |
//! | 64 | Ed25519 signature over all bytes before it |
use crate::keys::SIGNATURE_BYTES;
use nickelgate::{Addr, Micros};

/// Maximum length of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The only version that is accepted.
pub const VERSION: u8 = 1;
/// Bytes before the content: version and kind, key id, start number, sequence number and uptime.
const HEAD_BYTES: usize = 21;
const MIN_DATAGRAM_BYTES: usize = HEAD_BYTES + SIGNATURE_BYTES;
const CLAIM_BYTES: usize = 14;
const HINT_BYTES: usize = 5;
/// Maximum number of claims in a statement.
pub const MAX_CLAIMS: usize = (MAX_DATAGRAM_BYTES - MIN_DATAGRAM_BYTES - 1) / CLAIM_BYTES;
/// Maximum number of hints on a ping or an answer.
pub const MAX_HINTS: usize = 6;
/// Unit of times on the wire.
pub const TIME_UNIT: Micros = 10_000;

/// The part of every datagram that describes its author.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Id of its key.
    pub key: u32,
    /// Random number that it drew at its start; identifies its incarnation.
    pub start: u64,
    /// Sequence number of the datagram since that start.
    pub seq: u32,
    /// Time since that start, in [`TIME_UNIT`].
    pub uptime: u32,
}

/// How a member failed, as seen by the author's own traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Attempts or fills timed out.
    Silent = 1,
    /// Connections broke while requests were in progress.
    Broken = 2,
    /// No connection could be made.
    Unreachable = 3,
    /// It refused requests, or could not reach the server behind it.
    Refusing = 4,
}

impl Kind {
    /// Decodes the byte on the wire.
    fn read(n: u8) -> Option<Kind> {
        Some(match n {
            1 => Kind::Silent,
            2 => Kind::Broken,
            3 => Kind::Unreachable,
            4 => Kind::Refusing,
            _ => return None,
        })
    }
}

/// A suspicion that rests on the author's own traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The member.
    pub member: Addr,
    /// Low 32 bits of the member's start time in milliseconds. A later incarnation counts as a different
    /// member.
    pub short_incarnation: u32,
    /// How it last failed.
    pub kind: Kind,
    /// Consecutive own failures: 1, 2, or 3 for a skip caused by own failures alone.
    pub strength: u8,
    /// Time since the last of them when the statement was made, in [`TIME_UNIT`].
    pub age: u16,
}

/// Returns the low 32 bits of a start time in milliseconds; `incarnation` is in microseconds.
pub fn short_incarnation(incarnation: u64) -> u32 {
    (incarnation / 1000) as u32
}

/// Information about another peer that is sent along with a message. It can only cause an earlier probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hint {
    /// Id of its name.
    pub peer: u32,
    /// Whether it does not answer the author; if false, it answered recently.
    pub unresponsive: bool,
}

/// The claims of a statement, still encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claims<'a>(&'a [u8]);
/// The hints of a ping or an answer, still encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hints<'a>(&'a [u8]);

/// The content of a datagram. Peers are identified by the ids of their names; `nonce` is a fresh number that
/// the answer has to echo.
#[allow(missing_docs)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body<'a> {
    /// Asks for a sign of life. The answer is addressed to `answer_to` and goes through the author if that
    /// is another peer.
    Ping { to: u32, answer_to: u32, nonce: u64, hints: Hints<'a> },
    /// Answers a ping by echoing its nonce. A `nonce` other than 0 asks for an answer in turn.
    Ack { to: u32, echo: u64, nonce: u64, hints: Hints<'a> },
    /// Asks another peer to ping the target with this nonce.
    PingRequest { to: u32, target: u32, nonce: u64 },
    /// The author is shutting down.
    Leave,
    /// Everything that the author currently suspects; replaces its earlier statements.
    Statement(Claims<'a>),
}

/// A decoded datagram whose signature has not been verified yet.
pub struct Datagram<'a> {
    /// The description of its author.
    pub head: Head,
    /// Its content.
    pub body: Body<'a>,
    /// The signed bytes.
    pub signed: &'a [u8],
    /// The signature, still to be verified.
    pub signature: &'a [u8; SIGNATURE_BYTES],
}

impl<'a> Claims<'a> {
    /// Decodes the claims one by one.
    pub fn iter(self) -> impl Iterator<Item = Claim> + Clone + use<'a> {
        self.0.chunks_exact(CLAIM_BYTES).filter_map(|c| {
            Some(Claim {
                member: Addr { ip: [c[0], c[1], c[2], c[3]], port: u16::from_be_bytes([c[4], c[5]]) },
                short_incarnation: u32::from_be_bytes([c[6], c[7], c[8], c[9]]),
                kind: Kind::read(c[10])?,
                strength: c[11],
                age: u16::from_be_bytes([c[12], c[13]]),
            })
        })
    }
}

impl<'a> Hints<'a> {
    /// Decodes the hints one by one.
    pub fn iter(self) -> impl Iterator<Item = Hint> + Clone + use<'a> {
        let hint =
            |h: &[u8]| Hint { peer: u32::from_be_bytes([h[0], h[1], h[2], h[3]]), unresponsive: h[4] != 0 };
        self.0.chunks_exact(HINT_BYTES).map(hint)
    }
}

/// Takes fields off the front of a slice; returns `None` when it is too short.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (head, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
        Some(*head)
    }
    fn u8(&mut self) -> Option<u8> {
        self.take::<1>().map(|b| b[0])
    }
    fn u32(&mut self) -> Option<u32> {
        self.take().map(u32::from_be_bytes)
    }
    fn u64(&mut self) -> Option<u64> {
        self.take().map(u64::from_be_bytes)
    }
    /// Takes a count and that many entries, which have to fill the rest.
    fn list(&mut self, entry_bytes: usize, max_entries: usize) -> Option<&'a [u8]> {
        let n = usize::from(self.u8()?);
        (n <= max_entries && self.0.len() == n * entry_bytes).then(|| std::mem::take(&mut self.0))
    }
}

/// Decodes a datagram; returns `None` if it is malformed. Every byte has to be accounted for.
///
/// ```
/// use threadward_gossip::keys::OwnKey;
/// use threadward_gossip::wire::{ping, read, Body, Head, Hint};
///
/// let own = OwnKey::new(&[1; 32]);
/// let head = Head { key: own.id(), start: 8, seq: 1, uptime: 0 };
/// let hint = Hint { peer: 5, unresponsive: true };
/// let mut bytes = ping(head, 2, 3, 4, &[hint]);
/// own.sign(&mut bytes);
/// let d = read(&bytes).unwrap();
/// assert_eq!(d.head, head);
/// let Body::Ping { to: 2, answer_to: 3, nonce: 4, hints } = d.body else { panic!("{:?}", d.body) };
/// assert_eq!(hints.iter().collect::<Vec<_>>(), [hint]);
/// assert!(read(&bytes[1..]).is_none());
/// ```
pub fn read(bytes: &[u8]) -> Option<Datagram<'_>> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return None;
    }
    let (signed, signature) = bytes.split_last_chunk::<SIGNATURE_BYTES>()?;
    let mut r = Reader(signed);
    let first = r.u8()?;
    if first >> 4 != VERSION {
        return None;
    }
    let head = Head { key: r.u32()?, start: r.u64()?, seq: r.u32()?, uptime: r.u32()? };
    let body = match first & 15 {
        1 => {
            let (to, answer_to, nonce) = (r.u32()?, r.u32()?, r.u64()?);
            Body::Ping { to, answer_to, nonce, hints: Hints(r.list(HINT_BYTES, MAX_HINTS)?) }
        }
        2 => {
            let (to, echo, nonce) = (r.u32()?, r.u64()?, r.u64()?);
            Body::Ack { to, echo, nonce, hints: Hints(r.list(HINT_BYTES, MAX_HINTS)?) }
        }
        3 => Body::PingRequest { to: r.u32()?, target: r.u32()?, nonce: r.u64()? },
        4 => Body::Leave,
        5 => {
            let claims = Claims(r.list(CLAIM_BYTES, MAX_CLAIMS)?);
            let is_valid = |c: Claim| (1..=3).contains(&c.strength);
            let n = claims.iter().filter(|c| is_valid(*c)).count();
            if n * CLAIM_BYTES != claims.0.len() {
                return None;
            }
            Body::Statement(claims)
        }
        _ => return None,
    };
    r.0.is_empty().then_some(Datagram { head, body, signed, signature })
}

/// Starts a datagram of the given kind with its head.
fn write_head(head: Head, kind: u8) -> Vec<u8> {
    let mut b = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    b.push(VERSION << 4 | kind);
    b.extend_from_slice(&head.key.to_be_bytes());
    b.extend_from_slice(&head.start.to_be_bytes());
    b.extend_from_slice(&head.seq.to_be_bytes());
    b.extend_from_slice(&head.uptime.to_be_bytes());
    b
}

/// Appends the number of hints and the first [`MAX_HINTS`] of them.
fn write_hints(b: &mut Vec<u8>, hints: &[Hint]) {
    let hints = &hints[..hints.len().min(MAX_HINTS)];
    b.push(hints.len() as u8);
    for h in hints {
        b.extend_from_slice(&h.peer.to_be_bytes());
        b.push(u8::from(h.unresponsive));
    }
}

/// Encodes a ping, without the signature. Only the first [`MAX_HINTS`] hints are sent.
pub fn ping(head: Head, to: u32, answer_to: u32, nonce: u64, hints: &[Hint]) -> Vec<u8> {
    let mut b = write_head(head, 1);
    b.extend_from_slice(&to.to_be_bytes());
    b.extend_from_slice(&answer_to.to_be_bytes());
    b.extend_from_slice(&nonce.to_be_bytes());
    write_hints(&mut b, hints);
    b
}

/// Encodes an answer, without the signature. Only the first [`MAX_HINTS`] hints are sent.
pub fn ack(head: Head, to: u32, echo: u64, nonce: u64, hints: &[Hint]) -> Vec<u8> {
    let mut b = write_head(head, 2);
    b.extend_from_slice(&to.to_be_bytes());
    b.extend_from_slice(&echo.to_be_bytes());
    b.extend_from_slice(&nonce.to_be_bytes());
    write_hints(&mut b, hints);
    b
}

/// Encodes a request to ping another peer, without the signature.
pub fn ping_request(head: Head, to: u32, target: u32, nonce: u64) -> Vec<u8> {
    let mut b = write_head(head, 3);
    b.extend_from_slice(&to.to_be_bytes());
    b.extend_from_slice(&target.to_be_bytes());
    b.extend_from_slice(&nonce.to_be_bytes());
    b
}

/// Encodes a leave message, without the signature.
pub fn leave(head: Head) -> Vec<u8> {
    write_head(head, 4)
}

/// Encodes a statement, without the signature. Only the first [`MAX_CLAIMS`] claims are sent.
pub fn statement(head: Head, claims: &[Claim]) -> Vec<u8> {
    let mut b = write_head(head, 5);
    let claims = &claims[..claims.len().min(MAX_CLAIMS)];
    b.push(claims.len() as u8);
    for c in claims {
        b.extend_from_slice(&c.member.ip);
        b.extend_from_slice(&c.member.port.to_be_bytes());
        b.extend_from_slice(&c.short_incarnation.to_be_bytes());
        b.extend_from_slice(&[c.kind as u8, c.strength]);
        b.extend_from_slice(&c.age.to_be_bytes());
    }
    b
}

#[cfg(test)]
mod tests {
    use super::*;

    const TEST_HEAD: Head = Head { key: 7, start: 8, seq: 9, uptime: 10 };

    fn signed(mut b: Vec<u8>) -> Vec<u8> {
        b.extend_from_slice(&[0; SIGNATURE_BYTES]);
        b
    }

    #[test]
    fn encoded_datagrams_decode_to_the_same_content() {
        let hints = [Hint { peer: 3, unresponsive: true }, Hint { peer: 4, unresponsive: false }];
        let b = signed(ping(TEST_HEAD, 1, 2, 3, &hints));
        let d = read(&b).unwrap();
        assert_eq!(d.head, TEST_HEAD);
        let Body::Ping { to: 1, answer_to: 2, nonce: 3, hints: h } = d.body else { panic!() };
        assert_eq!(h.iter().collect::<Vec<_>>(), hints);
        let claim = Claim {
            member: Addr { ip: [1, 2, 3, 4], port: 5 },
            short_incarnation: 6,
            kind: Kind::Broken,
            strength: 2,
            age: 7,
        };
        let b = signed(statement(TEST_HEAD, &[claim; 40]));
        assert!(b.len() <= MAX_DATAGRAM_BYTES && MAX_CLAIMS == 12);
        let Body::Statement(c) = read(&b).unwrap().body else { panic!() };
        assert_eq!(c.iter().collect::<Vec<_>>(), vec![claim; MAX_CLAIMS]);
    }

    #[test]
    fn malformed_datagrams_are_rejected() {
        let good = signed(statement(TEST_HEAD, &[]));
        assert!(read(&good).is_some());
        for n in 0..good.len() {
            assert!(read(&good[..n]).is_none(), "cut to {n}");
        }
        let mut long = statement(TEST_HEAD, &[]);
        long.push(0);
        assert!(read(&signed(long)).is_none(), "one byte too many");
        let none =
            Claim { member: Addr::default(), short_incarnation: 0, kind: Kind::Silent, strength: 0, age: 0 };
        assert!(read(&signed(statement(TEST_HEAD, &[none]))).is_none(), "a strength of 0");
        let mut other = good.clone();
        other[0] = 2 << 4 | 5;
        assert!(read(&other).is_none(), "another version");
        assert!(read(&[0; 257]).is_none());
    }
}
