//! The seven kinds of message between proxies, encoded as bytes, and their bounds. Parsing checks the form of
//! a message only, not whether its content is plausible, and allocates no more than the message's own
//! amounts, 8 at most.
use crate::{Amounts, MAX_BUDGETS};

/// Length of the longest message in bytes, without its MAC.
pub const MAX_MESSAGE_BYTES: usize = 64;

/// The author of a message: a proxy, and a number drawn at each start of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Author {
    /// Index among the proxies of the file, or the seat in a group, from 0.
    pub index: u16,
    /// Differs with every start.
    pub incarnation: u64,
}

/// The content of a message. `request_id` is the requester's own count and `requester` its incarnation; the
/// answer carries both back.
#[allow(missing_docs)]
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// A candidate asks a voter for its vote.
    VoteRequest { request_id: u32 },
    /// A voter grants that request and incarnation its vote, or refuses; `to` is whom it is promised to.
    Vote { requester: u64, request_id: u32, granted: bool, to: u16 },
    /// A holder asks for a lease: what it demands, and the number of its request whose grant it uses.
    LeaseRequest { request_id: u32, held_request: u32, demands: Amounts },
    /// The coordinator answers that request of that incarnation with a share for `duration` microseconds,
    /// counted from when the request was sent.
    Grant { requester: u64, request_id: u32, duration: u32, share: Amounts },
    /// The recipient of a lease request is not the coordinator; `to` is the coordinator as far as it knows.
    Redirect { to: u16 },
    /// A holder leaves on purpose and uses nothing any more.
    Leave,
    /// A candidate did not win: it counts no answer to that request or an earlier one, and releases its
    /// voters.
    ReleaseVote { request_id: u32 },
}

/// Encodes a message in at most [`MAX_MESSAGE_BYTES`] bytes.
///
/// ```
/// use threadward_budgets::wire::{read, write, Author, Body, MAX_MESSAGE_BYTES};
///
/// let from = Author { index: 3, incarnation: 77 };
/// let body = Body::Grant { requester: 8, request_id: 2, duration: 900_000, share: vec![1; 8] };
/// let bytes = write(from, &body);
/// assert!(bytes.len() <= MAX_MESSAGE_BYTES);
/// assert_eq!(read(&bytes), Some((from, body)));
/// assert_eq!(read(&bytes[1..]), None);
/// let leave = write(from, &Body::Leave);
/// assert_eq!(read(&[&leave[..], &[0]].concat()), None, "one byte too many");
/// ```
pub fn write(from: Author, body: &Body) -> Vec<u8> {
    let mut out = vec![0];
    out.extend(from.index.to_be_bytes());
    out.extend(from.incarnation.to_be_bytes());
    let amounts = |out: &mut Vec<u8>, a: &Amounts| a.iter().for_each(|n| out.extend(n.to_be_bytes()));
    out[0] = match body {
        Body::VoteRequest { request_id } => {
            out.extend(request_id.to_be_bytes());
            1
        }
        Body::Vote { requester, request_id, granted, to } => {
            out.extend(requester.to_be_bytes());
            out.extend(request_id.to_be_bytes());
            out.push(u8::from(*granted));
            out.extend(to.to_be_bytes());
            2
        }
        Body::LeaseRequest { request_id, held_request, demands } => {
            out.extend(request_id.to_be_bytes());
            out.extend(held_request.to_be_bytes());
            amounts(&mut out, demands);
            3
        }
        Body::Grant { requester, request_id, duration, share } => {
            out.extend(requester.to_be_bytes());
            out.extend(request_id.to_be_bytes());
            out.extend(duration.to_be_bytes());
            amounts(&mut out, share);
            4
        }
        Body::Redirect { to } => {
            out.extend(to.to_be_bytes());
            5
        }
        Body::Leave => 6,
        Body::ReleaseVote { request_id } => {
            out.extend(request_id.to_be_bytes());
            7
        }
    };
    out
}

/// Decodes what [`write()`] encoded. Returns `None` for anything truncated, too long or unknown.
pub fn read(bytes: &[u8]) -> Option<(Author, Body)> {
    let mut reader = Reader(bytes);
    let kind = u8::from_be_bytes(reader.take()?);
    let from =
        Author { index: u16::from_be_bytes(reader.take()?), incarnation: u64::from_be_bytes(reader.take()?) };
    let body = match kind {
        1 => Body::VoteRequest { request_id: reader.number()? },
        2 => {
            let (requester, request_id) = (u64::from_be_bytes(reader.take()?), reader.number()?);
            let granted = match u8::from_be_bytes(reader.take()?) {
                0 => false,
                1 => true,
                _ => return None,
            };
            Body::Vote { requester, request_id, granted, to: u16::from_be_bytes(reader.take()?) }
        }
        3 => Body::LeaseRequest {
            request_id: reader.number()?,
            held_request: reader.number()?,
            demands: reader.amounts()?,
        },
        4 => {
            let requester = u64::from_be_bytes(reader.take()?);
            Body::Grant {
                requester,
                request_id: reader.number()?,
                duration: reader.number()?,
                share: reader.amounts()?,
            }
        }
        5 => Body::Redirect { to: u16::from_be_bytes(reader.take()?) },
        6 => Body::Leave,
        7 => Body::ReleaseVote { request_id: reader.number()? },
        _ => return None,
    };
    reader.0.is_empty().then_some((from, body))
}

/// Returns the author's index that a message names, without decoding the rest.
///
/// ```
/// use threadward_budgets::wire::{author_index, write, Author, Body};
///
/// assert_eq!(author_index(&write(Author { index: 300, incarnation: 1 }, &Body::Leave)), Some(300));
/// assert_eq!(author_index(&[6, 1]), None);
/// ```
pub fn author_index(bytes: &[u8]) -> Option<u16> {
    let mut reader = Reader(bytes.get(1..)?);
    Some(u16::from_be_bytes(reader.take()?))
}

struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn take<const N: usize>(&mut self) -> Option<[u8; N]> {
        let (part, rest) = self.0.split_first_chunk::<N>()?;
        self.0 = rest;
        Some(*part)
    }
    fn number(&mut self) -> Option<u32> {
        Some(u32::from_be_bytes(self.take()?))
    }
    /// Reads the rest of the message, which must be 1 to 8 amounts.
    fn amounts(&mut self) -> Option<Amounts> {
        let fits = self.0.len().is_multiple_of(4) && (1..=MAX_BUDGETS).contains(&(self.0.len() / 4));
        fits.then_some(())?;
        let mut all = Amounts::new();
        while !self.0.is_empty() {
            all.push(self.number()?);
        }
        Some(all)
    }
}
