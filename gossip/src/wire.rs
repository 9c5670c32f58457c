//! The datagrams between instances: at most 256 bytes, fixed fields in network order, a signature at the end. It owns
//! their layout. It must never allocate while reading, trust a length, or pass over bytes that it does not know.
//!
//! | bytes | field |
//! | --- | --- |
//! | 1 | version (high four bits) and kind |
//! | 4 | id of the author's key |
//! | 8 | number of the author's start, drawn at random |
//! | 4 | sequence of the author's datagrams since that start |
//! | 4 | time since that start, in units of 10 ms |
//! | 0 to 171 | what the kind holds |
//! | 64 | Ed25519 signature over all before it |
use crate::keys::SIGNATURE_BYTES;
use nickelgate::{Addr, Micros};

/// Bytes of the longest datagram.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The one version that is read.
pub const VERSION: u8 = 1;
const HEAD: usize = 21;
const LEAST: usize = HEAD + SIGNATURE_BYTES;
const CLAIM: usize = 14;
const HINT: usize = 5;
/// Claims that one statement holds.
pub const MAX_CLAIMS: usize = (MAX_DATAGRAM_BYTES - LEAST - 1) / CLAIM;
/// Hints that ride on a ping or an answer.
pub const MAX_HINTS: usize = 6;
/// Unit of times on the wire.
pub const TIME_UNIT: Micros = 10_000;

/// What every datagram says of its author.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// The id of its key.
    pub key: u32,
    /// The number of its life, drawn at its start.
    pub start: u64,
    /// Its datagrams since then.
    pub seq: u32,
    /// Time since then, in [`TIME_UNIT`].
    pub uptime: u32,
}

/// How a member failed, as its own traffic showed it to the author.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Attempts or fills outlasted patience.
    Silent = 1,
    /// Connections broke under requests.
    Broken = 2,
    /// No connection came up.
    Unreachable = 3,
    /// It refused, or could not get at what is behind it.
    Refusing = 4,
}

impl Kind {
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

/// One suspicion of the author's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The member.
    pub member: Addr,
    /// Low half of the member's start in milliseconds: a later life is another member.
    pub short_incarnation: u32,
    /// How it last failed.
    pub kind: Kind,
    /// Own failures in a row: 1, 2, or 3 for a skip that own failures alone made.
    pub strength: u8,
    /// Time since the last of them when the statement was made, in [`TIME_UNIT`].
    pub age: u16,
}

/// The low half of a start in milliseconds.
pub fn short_incarnation(incarnation: u64) -> u32 {
    (incarnation / 1000) as u32
}

/// What is said in passing of another peer. It only moves a probe forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hint {
    /// The id of its name.
    pub peer: u32,
    /// It does not answer the author; else it lately did.
    pub lost: bool,
}

/// The claims of a statement, still as bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claims<'a>(&'a [u8]);
/// The hints of a ping or an answer, still as bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hints<'a>(&'a [u8]);

/// What a datagram holds. Peers are told by the ids of their names; `nonce` is a fresh number that the answer echoes.
#[allow(missing_docs)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body<'a> {
    /// Asks for a sign of life; the answer goes to `answer_to`, by way of the author where that is another.
    Ping { to: u32, answer_to: u32, nonce: u64, hints: Hints<'a> },
    /// The sign of life; `nonce`, if not 0, asks for the like.
    Ack { to: u32, echo: u64, nonce: u64, hints: Hints<'a> },
    /// Asks another to ping the target with this nonce.
    Help { to: u32, target: u32, nonce: u64 },
    /// The author ends by will.
    Leave,
    /// All that the author holds suspect now; earlier statements end with it.
    Statement(Claims<'a>),
}

/// A datagram in its parts, its signature not yet checked.
pub struct Datagram<'a> {
    /// What it says of its author.
    pub head: Head,
    /// What else it says.
    pub body: Body<'a>,
    /// The bytes that are signed.
    pub signed: &'a [u8],
    /// The signature, which is still to be checked.
    pub signature: &'a [u8; SIGNATURE_BYTES],
}

impl<'a> Claims<'a> {
    /// One after the other.
    pub fn iter(self) -> impl Iterator<Item = Claim> + Clone + use<'a> {
        self.0.chunks_exact(CLAIM).filter_map(|c| {
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
    /// One after the other.
    pub fn iter(self) -> impl Iterator<Item = Hint> + Clone + use<'a> {
        let hint = |h: &[u8]| Hint { peer: u32::from_be_bytes([h[0], h[1], h[2], h[3]]), lost: h[4] != 0 };
        self.0.chunks_exact(HINT).map(hint)
    }
}

/// Takes fields off the front; nothing where they are not there.
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
    /// A count and so many entries, up to the end.
    fn list(&mut self, size: usize, most: usize) -> Option<&'a [u8]> {
        let n = usize::from(self.u8()?);
        (n <= most && self.0.len() == n * size).then(|| std::mem::take(&mut self.0))
    }
}

/// Reads a datagram; nothing where it is malformed. Every byte has to have its place.
///
/// ```
/// use threadward_gossip::keys::OwnKey;
/// use threadward_gossip::wire::{ping, read, Body, Head, Hint};
///
/// let own = OwnKey::new(&[1; 32]);
/// let head = Head { key: own.id(), start: 8, seq: 1, uptime: 0 };
/// let hint = Hint { peer: 5, lost: true };
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
            Body::Ping { to, answer_to, nonce, hints: Hints(r.list(HINT, MAX_HINTS)?) }
        }
        2 => {
            let (to, echo, nonce) = (r.u32()?, r.u64()?, r.u64()?);
            Body::Ack { to, echo, nonce, hints: Hints(r.list(HINT, MAX_HINTS)?) }
        }
        3 => Body::Help { to: r.u32()?, target: r.u32()?, nonce: r.u64()? },
        4 => Body::Leave,
        5 => {
            let claims = Claims(r.list(CLAIM, MAX_CLAIMS)?);
            let whole = |c: Claim| (1..=3).contains(&c.strength);
            let n = claims.iter().filter(|c| whole(*c)).count();
            if n * CLAIM != claims.0.len() {
                return None;
            }
            Body::Statement(claims)
        }
        _ => return None,
    };
    r.0.is_empty().then_some(Datagram { head, body, signed, signature })
}

/// Begins a datagram of a kind.
fn begin(head: Head, kind: u8) -> Vec<u8> {
    let mut b = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    b.push(VERSION << 4 | kind);
    b.extend_from_slice(&head.key.to_be_bytes());
    b.extend_from_slice(&head.start.to_be_bytes());
    b.extend_from_slice(&head.seq.to_be_bytes());
    b.extend_from_slice(&head.uptime.to_be_bytes());
    b
}

fn put_hints(b: &mut Vec<u8>, hints: &[Hint]) {
    let hints = &hints[..hints.len().min(MAX_HINTS)];
    b.push(hints.len() as u8);
    for h in hints {
        b.extend_from_slice(&h.peer.to_be_bytes());
        b.push(u8::from(h.lost));
    }
}

/// A ping, to be signed; of the hints the first [`MAX_HINTS`].
pub fn ping(head: Head, to: u32, answer_to: u32, nonce: u64, hints: &[Hint]) -> Vec<u8> {
    let mut b = begin(head, 1);
    b.extend_from_slice(&to.to_be_bytes());
    b.extend_from_slice(&answer_to.to_be_bytes());
    b.extend_from_slice(&nonce.to_be_bytes());
    put_hints(&mut b, hints);
    b
}

/// An answer, to be signed; of the hints the first [`MAX_HINTS`].
pub fn ack(head: Head, to: u32, echo: u64, nonce: u64, hints: &[Hint]) -> Vec<u8> {
    let mut b = begin(head, 2);
    b.extend_from_slice(&to.to_be_bytes());
    b.extend_from_slice(&echo.to_be_bytes());
    b.extend_from_slice(&nonce.to_be_bytes());
    put_hints(&mut b, hints);
    b
}

/// A request for a ping, to be signed.
pub fn help(head: Head, to: u32, target: u32, nonce: u64) -> Vec<u8> {
    let mut b = begin(head, 3);
    b.extend_from_slice(&to.to_be_bytes());
    b.extend_from_slice(&target.to_be_bytes());
    b.extend_from_slice(&nonce.to_be_bytes());
    b
}

/// A farewell, to be signed.
pub fn leave(head: Head) -> Vec<u8> {
    begin(head, 4)
}

/// A statement, to be signed; of the claims the first [`MAX_CLAIMS`].
pub fn statement(head: Head, claims: &[Claim]) -> Vec<u8> {
    let mut b = begin(head, 5);
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

    const HEAD_OF: Head = Head { key: 7, start: 8, seq: 9, uptime: 10 };

    fn signed(mut b: Vec<u8>) -> Vec<u8> {
        b.extend_from_slice(&[0; SIGNATURE_BYTES]);
        b
    }

    #[test]
    fn what_is_written_is_read() {
        let hints = [Hint { peer: 3, lost: true }, Hint { peer: 4, lost: false }];
        let b = signed(ping(HEAD_OF, 1, 2, 3, &hints));
        let d = read(&b).unwrap();
        assert_eq!(d.head, HEAD_OF);
        let Body::Ping { to: 1, answer_to: 2, nonce: 3, hints: h } = d.body else { panic!() };
        assert_eq!(h.iter().collect::<Vec<_>>(), hints);
        let claim = Claim {
            member: Addr { ip: [1, 2, 3, 4], port: 5 },
            short_incarnation: 6,
            kind: Kind::Broken,
            strength: 2,
            age: 7,
        };
        let b = signed(statement(HEAD_OF, &[claim; 40]));
        assert!(b.len() <= MAX_DATAGRAM_BYTES && MAX_CLAIMS == 12);
        let Body::Statement(c) = read(&b).unwrap().body else { panic!() };
        assert_eq!(c.iter().collect::<Vec<_>>(), vec![claim; MAX_CLAIMS]);
    }

    #[test]
    fn what_has_no_place_is_refused() {
        let good = signed(statement(HEAD_OF, &[]));
        assert!(read(&good).is_some());
        for n in 0..good.len() {
            assert!(read(&good[..n]).is_none(), "cut to {n}");
        }
        let mut long = statement(HEAD_OF, &[]);
        long.push(0);
        assert!(read(&signed(long)).is_none(), "a byte too many");
        let none =
            Claim { member: Addr::default(), short_incarnation: 0, kind: Kind::Silent, strength: 0, age: 0 };
        assert!(read(&signed(statement(HEAD_OF, &[none]))).is_none(), "a strength of none");
        let mut other = good.clone();
        other[0] = 2 << 4 | 5;
        assert!(read(&other).is_none(), "another version");
        assert!(read(&[0; 257]).is_none());
    }
}
