//! Call ids of requests that must not run twice.
//!
//! A client sends each request under a new call id. Where an id comes again after its request was sent, the
//! client has left meanwhile and the request may have run, here or at another process of the proxy. A request
//! of a class that may not be repeated therefore claims its id before its first attempt. The module does no
//! I/O and reads no clock.
use crate::Micros;
use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// How long an id is remembered. No request is kept waiting for as long.
const CLAIM_RETENTION: Micros = 60_000_000;
/// Maximum number of ids that are remembered; beyond it the oldest are forgotten.
pub const MAX_CLAIMS: usize = 65_536;

/// A call id as a number.
pub type CallNumber = u64;

/// Returns the number of a call id: its value if it is hexadecimal, as the protocol's ids are.
pub fn call_number(call_id: &str) -> CallNumber {
    u64::from_str_radix(call_id, 16).unwrap_or_else(|_| {
        let mut hasher = DefaultHasher::new();
        call_id.hash(&mut hasher);
        hasher.finish()
    })
}

/// Shares claims with the other processes of a proxy.
pub trait ClaimSharing {
    /// Makes a claim known to the other processes. Returns the claims that they have made known since the
    /// last call: of two processes that claim an id at the same time, at least one gets the other's.
    fn exchange(&mut self, call: CallNumber) -> Vec<CallNumber>;
}

/// The ids that were claimed lately.
#[derive(Default)]
pub struct Claims {
    known: HashSet<CallNumber>,
    /// The same ids in the order in which they became known, with the time.
    by_age: VecDeque<(Micros, CallNumber)>,
    sharing: Option<Box<dyn ClaimSharing>>,
}

impl Claims {
    /// Claims an id. Returns false if it was claimed before, by this process or another.
    pub fn claim(&mut self, now: Micros, call: CallNumber) -> bool {
        if !self.insert(now, call) {
            return false;
        }
        let others = self.sharing.as_mut().map(|sharing| sharing.exchange(call)).unwrap_or_default();
        let is_first = !others.contains(&call);
        self.add(now, others);
        is_first
    }

    /// Adds ids that other processes have claimed.
    pub fn add(&mut self, now: Micros, claimed: impl IntoIterator<Item = CallNumber>) {
        for call in claimed {
            self.insert(now, call);
        }
    }

    /// Sets how claims are shared with other processes from now on; `None` if there are none.
    pub fn set_sharing(&mut self, sharing: Option<Box<dyn ClaimSharing>>) {
        self.sharing = sharing;
    }

    /// Returns all ids that are remembered, the oldest first.
    pub fn all(&self) -> impl Iterator<Item = CallNumber> + '_ {
        self.by_age.iter().map(|(_, call)| *call)
    }

    /// Remembers an id and forgets those that are too old. Returns false if it was known.
    fn insert(&mut self, now: Micros, call: CallNumber) -> bool {
        let is_old = |(at, _): &(Micros, CallNumber)| now.saturating_sub(*at) > CLAIM_RETENTION;
        while self.by_age.len() >= MAX_CLAIMS || self.by_age.front().is_some_and(is_old) {
            let Some((_, oldest)) = self.by_age.pop_front() else { break };
            self.known.remove(&oldest);
        }
        let is_new = self.known.insert(call);
        if is_new {
            self.by_age.push_back((now, call));
        }
        is_new
    }
}
