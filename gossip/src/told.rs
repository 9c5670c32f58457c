//! What an instance tells whoever drives it: datagrams to send, news, counts and why a datagram was dropped. It owns these
//! words and their order. It must never hold a rule: the instance fills them.
use crate::belief::Suspicion;
use crate::members::State;
use crate::session::Stale;
use nickelgate::Addr;
use std::net::SocketAddr;

/// Why a datagram was dropped, in the order of the checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dropped {
    /// Longer than 256 bytes, or too short to be one.
    Size,
    /// From an address of no peer, or not from the author's own where that is asked for.
    Source,
    /// A field out of place, another version.
    Malformed,
    /// Signed with a key that is no peer's, or was withdrawn; or by this instance itself.
    Key,
    /// It came before, or was signed in a life that has ended.
    Replayed,
    /// It took too long, or lies before the window.
    Old,
    /// The author's present life is not proved yet.
    Unproven,
    /// An answer to nothing that was asked, or a question to somebody else.
    Unasked,
    /// Signatures of that address had been checked often enough in this second.
    Flood,
    /// The signature is not the author's.
    Forged,
}

impl Dropped {
    /// All of them, in the order of the checks.
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

impl From<Stale> for Dropped {
    fn from(s: Stale) -> Dropped {
        match s {
            Stale::Unproven => Dropped::Unproven,
            Stale::Former | Stale::Duplicate => Dropped::Replayed,
            Stale::Old => Dropped::Old,
        }
    }
}

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams given out to be sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that came in and passed every check.
    pub received: u64,
    /// Those that did not, in the order of [`Dropped::ALL`].
    pub dropped: [u64; Dropped::ALL.len()],
    /// Signatures checked.
    pub signatures_checked: u64,
    /// Statements not sent for want of bytes.
    pub withheld: u64,
    /// Lives that took the place of another within seconds: one key at two instances, or one that keeps failing.
    pub conflicts: u64,
}

/// What an instance wants told or sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// Another state of a peer.
    Peer {
        /// Its name in the file.
        name: String,
        /// What it was.
        from: State,
        /// What it is now.
        to: State,
    },
    /// A member is believed suspect from now on, or no longer.
    Suspicion(Suspicion),
    /// What was believed still is: told again before it runs out.
    SuspicionContinues {
        /// The member.
        member: Addr,
        /// The start of the member that is meant.
        incarnation: u64,
    },
    /// Credit of a witness fell under what is heard, or rose over it.
    WitnessTrust {
        /// The witness's name in the file.
        name: String,
        /// Whether its word counts now.
        trusted: bool,
    },
    /// Whether this side has more than half of all from now on; else nobody is believed.
    Majority(bool),
}

/// What a call gives its caller: it appends and takes nothing away.
#[derive(Default)]
pub struct Output {
    /// Datagrams to send, each whole and to one address.
    pub send: Vec<(SocketAddr, Vec<u8>)>,
    /// What changed, in order.
    pub notices: Vec<Notice>,
}
