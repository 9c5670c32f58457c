//! The seven kinds of message, as bytes. It owns their form and its bounds. It must never judge what a message says; it
//! allocates no more than a message's own amounts, 8 at most.
use crate::{Amounts, MAX_BUDGETS};

/// The longest message, the MAC apart.
pub const MAX_MESSAGE_BYTES: usize = 64;

/// Who speaks: the place in the file, and a number drawn at the start of that process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Author {
    /// The place in the file, from 0.
    pub index: u16,
    /// Another one with every start.
    pub incarnation: u64,
}

/// What a message says. `request_id` is the asker's own count and `requester` its life; both come back with the answer.
#[allow(missing_docs)]
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// A candidate asks a voter for its promise.
    VoteRequest { request_id: u32 },
    /// A voter promises itself to that life; or names whom it is promised to.
    Vote { requester: u64, request_id: u32, granted: bool, to: u16 },
    /// A holder asks for a share: what it wants, and which of its questions brought the grant that it uses.
    LeaseRequest { request_id: u32, held_request: u32, demands: Amounts },
    /// The grantor answers that question of that life: a share for so many microseconds from when it was asked.
    Grant { requester: u64, request_id: u32, duration: u32, share: Amounts },
    /// Not the grantor; the one that is, as far as it knows.
    Redirect { to: u16 },
    /// A holder ends by will and uses nothing any more.
    Leave,
    /// A candidate did not win: it counts no answer to that question or an earlier one, and its voters are free.
    ReleaseVote { request_id: u32 },
}

/// The bytes of a message, at most [`MAX_MESSAGE_BYTES`] of them.
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
/// assert_eq!(read(&[&leave[..], &[0]].concat()), None, "a byte too many");
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

/// Reads what [`write()`] wrote, whole: anything short, long or unknown is nothing.
pub fn read(bytes: &[u8]) -> Option<(Author, Body)> {
    let mut r = Reader(bytes);
    let kind = u8::from_be_bytes(r.take()?);
    let from = Author { index: u16::from_be_bytes(r.take()?), incarnation: u64::from_be_bytes(r.take()?) };
    let body = match kind {
        1 => Body::VoteRequest { request_id: r.number()? },
        2 => {
            let (requester, request_id) = (u64::from_be_bytes(r.take()?), r.number()?);
            let granted = match u8::from_be_bytes(r.take()?) {
                0 => false,
                1 => true,
                _ => return None,
            };
            Body::Vote { requester, request_id, granted, to: u16::from_be_bytes(r.take()?) }
        }
        3 => Body::LeaseRequest { request_id: r.number()?, held_request: r.number()?, demands: r.amounts()? },
        4 => {
            let requester = u64::from_be_bytes(r.take()?);
            Body::Grant { requester, request_id: r.number()?, duration: r.number()?, share: r.amounts()? }
        }
        5 => Body::Redirect { to: u16::from_be_bytes(r.take()?) },
        6 => Body::Leave,
        7 => Body::ReleaseVote { request_id: r.number()? },
        _ => return None,
    };
    r.0.is_empty().then_some((from, body))
}

/// The author's place that a message names, without reading the rest.
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
    /// All that is left: 1 to 8 amounts.
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
