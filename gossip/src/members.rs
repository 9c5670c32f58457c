//! Membership: tracks which peers are live. A peer counts as live only when it has answered a fresh nonce of
//! this instance, directly or through a helper (as in SWIM).
//!
//! Hints from other peers only move a probe forward. A lying peer can therefore neither make a live peer
//! look dead nor a dead one look live, and it cannot increase the number of probes.
use crate::session::Session;
use nickelgate::Micros;
use rand_chacha::ChaCha8Rng;
use rand_core::RngCore;
use std::collections::VecDeque;

/// If a probe has no answer after this time, helpers are asked to ping the peer as well.
pub const DIRECT_PROBE_TIMEOUT: Micros = 250_000;
/// A probe without an answer after this time has failed.
pub const PROBE_TIMEOUT: Micros = 750_000;
/// Number of helpers asked per probe.
const HELPERS_PER_PROBE: usize = 2;
/// A suspect peer is dead after this many consecutive failed probes; the first failure makes a live peer
/// suspect.
const DEAD_AFTER_FAILURES: u32 = 3;
/// Maximum number of peers waiting for an early probe.
const MAX_URGENT_PEERS: usize = 32;
/// One of every this many probes goes to a peer that is not live.
const NON_LIVE_PROBE_INTERVAL: u32 = 4;
/// Number of probes sent per period while some peers have never been probed.
const JOIN_PROBES_PER_PERIOD: usize = 4;
/// How long a change of state is passed on as a hint.
const HINT_LIFETIME: Micros = 10_000_000;

/// State of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum State {
    /// The peer has not been confirmed since this instance started.
    #[default]
    Unknown,
    /// The peer answered a fresh nonce of this instance.
    Live,
    /// The peer was live, and a probe failed.
    Suspect,
    /// Three consecutive probes failed.
    Dead,
    /// The peer announced that it was shutting down.
    Left,
}

/// What this instance itself has found out about a peer.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// Its state.
    pub state: State,
    /// Its last confirmed incarnation.
    pub session: Option<Session>,
    /// When it was last confirmed live.
    pub confirmed_at: Micros,
    /// When a datagram of its current incarnation was last received.
    pub received_at: Micros,
    changed_at: Micros,
    consecutive_failures: u32,
    /// Number of probes sent to it since this instance started.
    probes_sent: u32,
    /// The peer has no keys in the settings: it is never probed and never live.
    withdrawn: bool,
    seed: bool,
}

/// A probe that has not been answered yet.
#[derive(Clone, Debug)]
struct Probe {
    peer: usize,
    nonce: u64,
    sent_at: Micros,
    helpers_asked: bool,
}

/// A datagram to send, with the nonce that the answer has to echo.
#[allow(missing_docs)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeMessage {
    /// A ping sent directly to a peer.
    Ping { peer: usize, nonce: u64 },
    /// A request to a helper to ping the target.
    PingRequest { helper: usize, target: usize, nonce: u64 },
}

/// A change of state, for the log and the counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Index of the peer.
    pub peer: usize,
    /// The previous state.
    pub from: State,
    /// The new state.
    pub to: State,
}

/// All peers, identified by their index in the settings, and the outstanding probes.
///
/// ```
/// use rand_chacha::{rand_core::SeedableRng, ChaCha8Rng};
/// use threadward_gossip::members::{Members, ProbeMessage, State, PROBE_TIMEOUT};
///
/// let mut rng = ChaCha8Rng::seed_from_u64(1);
/// let mut m = Members::new(0, 1_000_000);
/// m.configure(0, &[(None, true, false); 2]);
/// let mut messages = Vec::new();
/// m.poll(1_000_000, false, &mut rng, &mut messages);
/// let [ProbeMessage::Ping { peer: 1, nonce }] = messages[..] else { panic!("{messages:?}") };
/// assert_eq!(m.probe_sent_at(1, nonce), Some(1_000_000), "when that probe was sent");
/// m.confirm_live(1_001_000, 1, nonce, &[]);
/// assert_eq!((m.peers[1].state, m.live_count()), (State::Live, 2));
/// // A probe without an answer makes it suspect, hints from others do not.
/// m.hint(1, true);
/// assert_eq!(m.live_count(), 2);
/// m.poll(2_000_000, false, &mut rng, &mut messages);
/// m.poll(2_000_000 + PROBE_TIMEOUT, false, &mut rng, &mut messages);
/// assert_eq!((m.peers[1].state, m.live_count()), (State::Suspect, 1));
/// ```
pub struct Members {
    /// What is known about each peer.
    pub peers: Vec<Peer>,
    own_index: usize,
    /// Time between probes.
    pub period: Micros,
    next_probe_at: Micros,
    round_robin: VecDeque<usize>,
    urgent: VecDeque<usize>,
    probes: Vec<Probe>,
    probe_count: u32,
    /// Changes of state since the caller last emptied this list.
    pub changes: Vec<Change>,
}

/// Maximum number of outstanding probes.
const MAX_OUTSTANDING_PROBES: usize = 32;

impl Members {
    /// Creates an empty set of members; [`Members::configure`] adds the peers. `own_index` is the index of
    /// this instance.
    pub fn new(own_index: usize, period: Micros) -> Members {
        Members {
            peers: Vec::new(),
            own_index,
            period,
            next_probe_at: 0,
            round_robin: VecDeque::new(),
            urgent: VecDeque::new(),
            probes: Vec::new(),
            probe_count: 0,
            changes: Vec::new(),
        }
    }

    /// Applies the configured peers. `configured` holds for each peer its former index, if it had one,
    /// whether it is a seed, and whether it has been withdrawn.
    pub fn configure(&mut self, own_index: usize, configured: &[(Option<usize>, bool, bool)]) {
        let old = std::mem::take(&mut self.peers);
        let keep_known = |(from, seed, withdrawn): &(Option<usize>, bool, bool)| {
            let known = from.filter(|_| !withdrawn).and_then(|i| old.get(i).cloned()).unwrap_or_default();
            Peer { seed: *seed, withdrawn: *withdrawn, ..known }
        };
        self.peers = configured.iter().map(keep_known).collect();
        self.own_index = own_index;
        self.round_robin.clear();
        self.urgent.clear();
        self.probes.clear();
    }

    /// Returns the number of live peers, including this instance.
    pub fn live_count(&self) -> usize {
        1 + (0..self.peers.len()).filter(|i| self.is_live(*i)).count()
    }

    /// Returns whether the given peer, other than this instance, is live.
    pub fn is_live(&self, peer: usize) -> bool {
        peer != self.own_index && self.peers.get(peer).is_some_and(|p| p.state == State::Live)
    }

    /// Changes the state of a peer and records the change if there is one.
    fn set_state(&mut self, now: Micros, peer: usize, to: State) {
        let Some(p) = self.peers.get_mut(peer) else { return };
        let from = std::mem::replace(&mut p.state, to);
        if from != to {
            p.changed_at = now;
            self.changes.push(Change { peer, from, to });
        }
    }

    /// Returns when the outstanding probe that this nonce belongs to was sent, or `None` if there is none to
    /// this peer.
    pub fn probe_sent_at(&self, peer: usize, nonce: u64) -> Option<Micros> {
        self.probes.iter().find(|p| p.peer == peer && p.nonce == nonce).map(|p| p.sent_at)
    }

    /// Marks a peer live after it answered the given nonce. `same_address` lists the peers configured with
    /// its address.
    pub fn confirm_live(&mut self, now: Micros, peer: usize, nonce: u64, same_address: &[usize]) {
        self.probes.retain(|p| p.nonce != nonce);
        if let Some(p) = self.peers.get_mut(peer) {
            (p.confirmed_at, p.received_at, p.consecutive_failures) = (now, now, 0);
        }
        self.set_state(now, peer, State::Live);
        // Another instance now answers at this address, so the former one has to be confirmed again.
        for other in same_address.iter().filter(|o| **o != peer) {
            if self.is_live(*other) {
                self.set_state(now, *other, State::Suspect);
                self.probe_soon(*other);
            }
        }
    }

    /// Records that a new datagram of the peer's confirmed incarnation was received.
    pub fn record_received(&mut self, now: Micros, peer: usize) {
        if let Some(p) = self.peers.get_mut(peer) {
            p.received_at = now;
        }
    }

    /// Marks a peer as having shut down on purpose.
    pub fn mark_left(&mut self, now: Micros, peer: usize) {
        self.set_state(now, peer, State::Left);
    }

    /// Queues a peer for an early probe. The queue is bounded, and the rate of probes does not change.
    pub fn probe_soon(&mut self, peer: usize) {
        let can_be_probed = peer != self.own_index && self.peers.get(peer).is_some_and(|p| !p.withdrawn);
        if can_be_probed && self.urgent.len() < MAX_URGENT_PEERS && !self.urgent.contains(&peer) {
            self.urgent.push_back(peer);
        }
    }

    /// Handles another peer's hint. A peer is probed early if the hint differs from its known state, or if
    /// it had left.
    pub fn hint(&mut self, peer: usize, unresponsive: bool) {
        let Some(state) = self.peers.get(peer).map(|p| p.state) else { return };
        if unresponsive == (state == State::Live) && state != State::Left {
            self.probe_soon(peer);
        }
    }

    /// Returns hints to send along with a message: the most recent changes of state, then one random live
    /// peer, so that peers that join learn about all others.
    pub fn hints(&self, now: Micros, max_hints: usize, rng: &mut ChaCha8Rng) -> Vec<(usize, bool)> {
        let is_recent = |i: &usize| {
            let p = &self.peers[*i];
            p.changed_at > 0 && now < p.changed_at + HINT_LIFETIME && !p.withdrawn && p.state != State::Left
        };
        let mut changed: Vec<usize> = (0..self.peers.len()).filter(is_recent).collect();
        changed.sort_by_key(|i| std::cmp::Reverse(self.peers[*i].changed_at));
        let mut hints: Vec<(usize, bool)> = changed
            .into_iter()
            .take(max_hints / 2)
            .map(|i| (i, self.peers[i].state != State::Live))
            .collect();
        if let Some(i) = pick_random(&self.peers, rng, |i, _| self.is_live(i)) {
            if !hints.iter().any(|h| h.0 == i) {
                hints.push((i, false));
            }
        }
        hints
    }

    /// Returns when [`Members::poll`] next has something to do.
    pub fn next_due(&self) -> Micros {
        let deadline =
            |p: &Probe| p.sent_at + if p.helpers_asked { PROBE_TIMEOUT } else { DIRECT_PROBE_TIMEOUT };
        self.probes.iter().map(deadline).min().unwrap_or(Micros::MAX).min(self.next_probe_at)
    }

    /// Appends the messages that are due by `now`, and marks probes without an answer as failed. `may_join`
    /// says that the budget allows more than one probe per period while some peers have never been probed.
    pub fn poll(
        &mut self,
        now: Micros,
        may_join: bool,
        rng: &mut ChaCha8Rng,
        messages: &mut Vec<ProbeMessage>,
    ) {
        let mut failed = Vec::new();
        for i in 0..self.probes.len() {
            let p = self.probes[i].clone();
            if !p.helpers_asked && now >= p.sent_at + DIRECT_PROBE_TIMEOUT {
                self.probes[i].helpers_asked = true;
                let mut helpers = Vec::new();
                for _ in 0..HELPERS_PER_PROBE {
                    let other = |i: usize, _: &Peer| i != p.peer && self.is_live(i) && !helpers.contains(&i);
                    let Some(helper) = pick_random(&self.peers, rng, other) else { break };
                    helpers.push(helper);
                }
                let state = self.peers.get(p.peer).map(|p| p.state);
                let recently_live = matches!(state, Some(State::Live | State::Suspect));
                for helper in helpers.into_iter().filter(|_| recently_live) {
                    messages.push(ProbeMessage::PingRequest { helper, target: p.peer, nonce: p.nonce });
                }
            }
            if now >= p.sent_at + PROBE_TIMEOUT {
                failed.push(p);
            }
        }
        self.probes.retain(|p| now < p.sent_at + PROBE_TIMEOUT);
        for p in failed {
            self.probe_failed(now, &p);
        }
        if now < self.next_probe_at {
            return;
        }
        self.next_probe_at = if self.next_probe_at + self.period > now {
            self.next_probe_at + self.period
        } else {
            now + self.period
        };
        let untried = |p: &Peer| p.probes_sent == 0 && !p.withdrawn;
        let joining =
            may_join && self.peers.iter().enumerate().any(|(i, p)| i != self.own_index && untried(p));
        for _ in 0..if joining { JOIN_PROBES_PER_PERIOD } else { 1 } {
            let Some(peer) = self.choose_target(rng) else { return };
            if self.probes.len() >= MAX_OUTSTANDING_PROBES || self.probes.iter().any(|p| p.peer == peer) {
                continue;
            }
            let nonce = rng.next_u64().max(1);
            self.probes.push(Probe { peer, nonce, sent_at: now, helpers_asked: false });
            self.peers[peer].probes_sent = self.peers[peer].probes_sent.saturating_add(1);
            messages.push(ProbeMessage::Ping { peer, nonce });
        }
    }

    /// Registers a probe that is sent along with an answer, and returns its nonce. Returns 0 if none is
    /// needed or possible: the given incarnation is already confirmed live, a probe of the peer is
    /// outstanding, or too many are.
    pub fn probe_back(&mut self, now: Micros, peer: usize, start: u64, rng: &mut ChaCha8Rng) -> u64 {
        let Some(p) = self.peers.get(peer) else { return 0 };
        let confirmed = p.state == State::Live && p.session.as_ref().is_some_and(|s| s.start == start);
        let outstanding = self.probes.iter().any(|q| q.peer == peer);
        if confirmed || outstanding || self.probes.len() >= MAX_OUTSTANDING_PROBES {
            return 0;
        }
        let nonce = rng.next_u64().max(1);
        self.probes.push(Probe { peer, nonce, sent_at: now, helpers_asked: true });
        nonce
    }

    /// Handles a probe that timed out: counts the failure and makes the peer suspect or dead.
    fn probe_failed(&mut self, now: Micros, probe: &Probe) {
        let Some(p) = self.peers.get_mut(probe.peer) else { return };
        // A datagram has arrived from the peer since. Our probe or its answer may have been lost, but the
        // peer is live.
        if p.received_at >= probe.sent_at {
            return;
        }
        p.consecutive_failures += 1;
        match p.state {
            State::Live => self.set_state(now, probe.peer, State::Suspect),
            State::Suspect if p.consecutive_failures >= DEAD_AFTER_FAILURES => {
                return self.set_state(now, probe.peer, State::Dead)
            }
            State::Suspect => {}
            _ => return,
        }
        self.probe_soon(probe.peer);
    }

    /// Chooses the next peer to probe, and advances the counter. Peers queued for an early probe come first
    /// except in every fourth choice; seeds are probed until one peer is live; live and never probed peers
    /// take turns in random order. Every fourth choice goes to a peer that is not live, so that the two
    /// sides of a healed partition find each other again.
    fn choose_target(&mut self, rng: &mut ChaCha8Rng) -> Option<usize> {
        self.probe_count = self.probe_count.wrapping_add(1);
        if !self.probe_count.is_multiple_of(NON_LIVE_PROBE_INTERVAL) {
            if let Some(peer) = self.urgent.pop_front() {
                return Some(peer);
            }
        }
        let own_index = self.own_index;
        let alone = self.live_count() == 1;
        let seeds = |i: usize, p: &Peer| i != own_index && p.seed && !p.withdrawn;
        let not_live = |i: usize, p: &Peer| i != own_index && !p.withdrawn && p.state != State::Live;
        let first = if alone { pick_random(&self.peers, rng, seeds) } else { None };
        if self.probe_count.is_multiple_of(NON_LIVE_PROBE_INTERVAL) || alone {
            if let Some(peer) = first.or_else(|| pick_random(&self.peers, rng, not_live)) {
                return Some(peer);
            }
        }
        for _ in 0..2 {
            while let Some(peer) = self.round_robin.pop_front() {
                let p = self.peers.get(peer);
                if p.is_some_and(|p| p.state == State::Live || p.probes_sent == 0 && !p.withdrawn) {
                    return Some(peer);
                }
            }
            let mut all: Vec<usize> = (0..self.peers.len()).filter(|i| *i != own_index).collect();
            for i in (1..all.len()).rev() {
                all.swap(i, random_below(rng, i + 1));
            }
            self.round_robin = all.into();
        }
        pick_random(&self.peers, rng, not_live)
    }
}

/// Returns a random number below `n`, which has to be small.
pub fn random_below(rng: &mut ChaCha8Rng, n: usize) -> usize {
    ((u64::from(rng.next_u32()) * n as u64) >> 32) as usize
}

/// Returns one of the peers that pass `test`, each with the same probability.
pub fn pick_random(
    peers: &[Peer],
    rng: &mut ChaCha8Rng,
    test: impl Fn(usize, &Peer) -> bool,
) -> Option<usize> {
    let n = peers.iter().enumerate().filter(|(i, p)| test(*i, p)).count();
    if n == 0 {
        return None;
    }
    let at = random_below(rng, n);
    peers.iter().enumerate().filter(|(i, p)| test(*i, p)).nth(at).map(|(i, _)| i)
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_core::SeedableRng;

    const S: Micros = 1_000_000;

    fn members(n: usize) -> (Members, ChaCha8Rng) {
        let mut m = Members::new(0, S);
        m.configure(0, &vec![(None, true, false); n]);
        (m, ChaCha8Rng::seed_from_u64(1))
    }

    /// Runs for `span`. The peers in `answers` answer direct pings.
    fn run(
        m: &mut Members,
        rng: &mut ChaCha8Rng,
        now: &mut Micros,
        span: Micros,
        answers: &[usize],
    ) -> usize {
        let (end, mut sent) = (*now + span, 0);
        while *now < end {
            *now = m.next_due().max(*now + 1);
            let mut messages = Vec::new();
            m.poll(*now, true, rng, &mut messages);
            sent += messages.len();
            for message in messages {
                if let ProbeMessage::Ping { peer, nonce } = message {
                    if answers.contains(&peer) {
                        m.confirm_live(*now, peer, nonce, &[]);
                    }
                }
            }
        }
        sent
    }

    #[test]
    fn silent_peers_become_suspect_then_dead_and_are_found_again() {
        let (mut m, mut rng) = members(4);
        let mut now = 0;
        run(&mut m, &mut rng, &mut now, 8 * S, &[1, 2, 3]);
        assert_eq!(m.live_count(), 4);
        m.changes.clear();
        run(&mut m, &mut rng, &mut now, 12 * S, &[1, 2]);
        assert_eq!(m.live_count(), 3);
        let transitions: Vec<(usize, State)> = m.changes.iter().map(|c| (c.peer, c.to)).collect();
        assert_eq!(transitions, [(3, State::Suspect), (3, State::Dead)]);
        run(&mut m, &mut rng, &mut now, 20 * S, &[1, 2, 3]);
        assert_eq!(m.live_count(), 4, "peers that were apart find each other again");
    }

    #[test]
    fn hints_change_neither_states_nor_the_number_of_probes() {
        let (mut quiet, mut rng) = members(16);
        let (mut hinted, mut other) = members(16);
        let all: Vec<usize> = (1..16).collect();
        let (mut a, mut b) = (0, 0);
        run(&mut quiet, &mut rng, &mut a, 30 * S, &all);
        run(&mut hinted, &mut other, &mut b, 30 * S, &all);
        assert_eq!((quiet.live_count(), hinted.live_count()), (16, 16));
        let (mut sent, mut sent_hinted) = (0, 0);
        hinted.changes.clear();
        for _ in 0..60 {
            for peer in 0..16 {
                hinted.hint(peer, true);
            }
            sent += run(&mut quiet, &mut rng, &mut a, S, &all);
            sent_hinted += run(&mut hinted, &mut other, &mut b, S, &all);
        }
        assert!(hinted.changes.is_empty());
        assert!(sent_hinted <= sent + 2, "{sent_hinted} over {sent}");
    }

    #[test]
    fn a_new_peer_at_an_address_makes_the_former_one_suspect() {
        let (mut m, mut rng) = members(4);
        let mut now = 0;
        run(&mut m, &mut rng, &mut now, 8 * S, &[1]);
        assert!(m.is_live(1));
        m.confirm_live(now, 2, 0, &[1, 2]);
        assert_eq!((m.peers[1].state, m.peers[2].state), (State::Suspect, State::Live));
    }
}
