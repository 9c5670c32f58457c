//! What an instance returns to its caller: datagrams to send, notices of changes, counts, and the reasons
//! for dropped datagrams.
use crate::belief::Suspicion;
use crate::members::State;
use crate::session::Rejection;
use nickelgate::Addr;
use std::net::SocketAddr;

/// Why a datagram was dropped, in the order of the checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dropped {
    /// Longer than 256 bytes, or too short to contain a signature.
    Size,
    /// Not from the address of a known peer, or not from the author's own address where that is required.
    Source,
    /// Malformed field, or another version.
    Malformed,
    /// Signed with an unknown or withdrawn key, or with this instance's own key.
    Key,
    /// Received before, or signed in an incarnation that has ended.
    Replayed,
    /// Too old, or its sequence number lies before the window.
    Old,
    /// The author's current incarnation has not been confirmed yet.
    Unproven,
    /// An answer to nothing that was asked, or a message addressed to another peer.
    Unasked,
    /// The limit on signature checks for this address, or for all addresses, was exhausted.
    Flood,
    /// The signature is invalid.
    Forged,
}

impl Dropped {
    /// All reasons, in the order of the checks.
    pub const ALL: [Dropped; 10] = [
        Dropped::Size,
        Dropped::Source,
        Dropped::Malformed,
        Dropped::Key,
        Dropped::Replayed,
        Dropped::Old,
        Dropped::Unproven,
        Dropped::Unasked,
        Dropped::Flood,
        Dropped::Forged,
    ];
}

impl From<Rejection> for Dropped {
    fn from(s: Rejection) -> Dropped {
        match s {
            Rejection::Unproven => Dropped::Unproven,
            Rejection::Former | Rejection::Duplicate => Dropped::Replayed,
            Rejection::Old => Dropped::Old,
        }
    }
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams returned to be sent.
    pub sent: u64,
    /// Bytes of those datagrams.
    pub sent_bytes: u64,
    /// Received datagrams that passed all checks.
    pub received: u64,
    /// Received datagrams that did not, in the order of [`Dropped::ALL`].
    pub dropped: [u64; Dropped::ALL.len()],
    /// Signatures checked.
    pub signatures_checked: u64,
    /// Copies of statements that were not sent because the byte budget was exhausted.
    pub withheld: u64,
    /// Incarnations that replaced another one within five probe periods: two instances with the same key,
    /// or one that restarts repeatedly.
    pub conflicts: u64,
}

/// A change that the caller may log or act on.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// The state of a peer changed.
    Peer {
        /// Its configured name.
        name: String,
        /// The previous state.
        from: State,
        /// The new state.
        to: State,
    },
    /// A member is suspected from now on, or no longer.
    Suspicion(Suspicion),
    /// A suspicion continues; sent again before the previous notice expires.
    SuspicionContinues {
        /// The member.
        member: Addr,
        /// The member's start time that identifies the incarnation meant.
        incarnation: u64,
    },
    /// The credit of a witness fell below the level at which its claims count, or rose above it again.
    WitnessTrust {
        /// The witness's configured name.
        name: String,
        /// Whether its claims count now.
        trusted: bool,
    },
    /// Whether a majority of the eligible instances is live from now on. Without a majority no claim counts.
    Majority(bool),
}

/// Results of a call. Every call only appends.
#[derive(Default)]
pub struct Output {
    /// Datagrams to send, each to one address.
    pub send: Vec<(SocketAddr, Vec<u8>)>,
    /// Changes, in order.
    pub notices: Vec<Notice>,
}
