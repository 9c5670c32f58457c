//! One gossip instance: its state and clock, and its reactions to timers and to the proxy's own traffic. It
//! connects membership, evidence, statements and beliefs.
//!
//! Incoming datagrams are checked in `receive`; outgoing ones are built in `send`, within the token buckets.
//! All calculations use a clock that never goes back, even when the caller's clock does.
mod receive;
mod send;

use crate::belief::{Belief, Quorum};
use crate::budget::{SignatureChecks, TokenBucket};
use crate::evidence::Evidence;
use crate::keys::{Directory, OwnKey, PeerConfig};
use crate::members::{Members, State};
use crate::output::{Counts, Notice, Output};
use crate::settings::{validated_directory, Settings};
use nickelgate::{Addr, MemberHealth, Micros};
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};
use std::collections::VecDeque;

/// Minimum time between two statements of this instance.
const MIN_STATEMENT_INTERVAL: Micros = 50_000;
/// How long a reported suspicion counts for the planner that receives it. A suspicion that continues is
/// reported again before this time is over.
pub const SUSPICION_TTL: Micros = 2_000_000;
/// Maximum number of signatures checked per second over all addresses, however many datagrams arrive.
const MAX_SIGNATURE_CHECKS_PER_S: f64 = 400.0;
/// Byte budget for membership datagrams in one probe period: one probe, the answer to another peer's probe,
/// and half as much again.
const MEMBERSHIP_BYTES_PER_PERIOD: f64 = 400.0;
/// Membership bytes that must be available before more than one probe is sent in a period.
const JOIN_RESERVE_BYTES: f64 = 600.0;
/// Statement bytes that can accumulate in the token bucket; enough for a sudden burst of failures.
const STATEMENT_BURST_BYTES: f64 = 1200.0;

/// A ping that this instance sent on behalf of another peer, whose answer it passes back.
struct ForwardedPing {
    asker: usize,
    target: usize,
    nonce: u64,
    expires_at: Micros,
}

/// A gossip instance. It does no I/O and starts nothing by itself: the caller supplies the time, the
/// received datagrams and the observations of its own traffic, and sends the datagrams that it is given.
///
/// ```
/// use threadward_gossip::{public_key, Dropped, Gossip, Notice, Output, PeerConfig, Settings, State};
///
/// let at = |i: u16| ([127, 0, 0, 1], 7000 + i).into();
/// let peer = |name: &str, i: u8| PeerConfig {
///     name: name.into(),
///     addr: at(i.into()),
///     keys: vec![public_key(&[i; 32])],
///     seed: true,
/// };
/// let peers = || vec![peer("a", 1), peer("b", 2)];
/// let mut a = Gossip::new(0, Settings::new("a", [1; 32], peers()), [11; 32])?;
/// let mut b = Gossip::new(0, Settings::new("b", [2; 32], peers()), [12; 32])?;
/// assert_eq!(a.state("b"), Some(State::Unknown));
///
/// // A ping with a nonce, the answer with a nonce of its own, and the answer to that: each now knows the
/// // other as live.
/// let (mut from_a, mut from_b) = (Output::default(), Output::default());
/// a.tick(a.next_due(), &mut from_a);
/// let ping = from_a.send.remove(0).1;
/// b.receive(1_000, at(1), &ping, &mut from_b);
/// a.receive(2_000, at(2), &from_b.send.remove(0).1, &mut from_a);
/// assert_eq!((a.state("b"), b.state("a")), (Some(State::Live), Some(State::Unknown)));
/// b.receive(3_000, at(1), &from_a.send.remove(0).1, &mut from_b);
/// let live = Notice::Peer { name: "a".into(), from: State::Unknown, to: State::Live };
/// assert!(from_b.notices.contains(&live) && from_b.notices.contains(&Notice::Majority(true)));
///
/// // A repeated datagram is dropped and counted.
/// b.receive(4_000, at(1), &ping, &mut from_b);
/// assert_eq!(b.counts.dropped[Dropped::Replayed as usize], 1);
///
/// // An instance that leaves on purpose is not probed for until it counts as dead.
/// a.leave(5_000, &mut from_a);
/// b.receive(6_000, at(1), &from_a.send.remove(0).1, &mut from_b);
/// assert_eq!(b.state("a"), Some(State::Left));
/// # Ok::<(), String>(())
/// ```
pub struct Gossip {
    own: OwnKey,
    settings: Settings,
    directory: Directory,
    start: u64,
    started_at: Micros,
    seq: u32,
    rng: ChaCha8Rng,
    members: Members,
    /// Sequence number of the newest statement of each peer, within its current incarnation.
    newest_statement: Vec<Option<u32>>,
    /// Start number and sequence number of each peer's newest ping from an unconfirmed incarnation. A repeat
    /// of that ping is dropped without a second signature check.
    unconfirmed_pings: Vec<(u64, u32)>,
    /// When a datagram of each peer was last forwarded.
    forwarded_at: Vec<Micros>,
    evidence: Evidence,
    belief: Belief,
    membership_bucket: TokenBucket,
    statement_bucket: TokenBucket,
    checks: SignatureChecks,
    forwarded_pings: VecDeque<ForwardedPing>,
    last_statement_at: Micros,
    statement_due: Option<Micros>,
    /// Whether the claims have changed since they were last sent.
    claims_changed: bool,
    /// How many more empty statements are to be sent after the last claim ended.
    empty_statements_left: u8,
    suspicions_reported_at: Micros,
    /// The time last passed in by the caller, and the total by which that clock has gone back. The internal
    /// clock is their sum and never goes back.
    last_clock: Micros,
    clock_setback: Micros,
    overloaded: bool,
    trusted: Vec<bool>,
    had_majority: bool,
    /// Counts since the start.
    pub counts: Counts,
}

impl Gossip {
    /// Creates an instance. `entropy` has to differ at every start and be secret: the start number and all
    /// nonces are drawn from it.
    ///
    /// # Errors
    /// Returns one line that says what is wrong with the settings.
    pub fn new(now: Micros, settings: Settings, entropy: [u8; 32]) -> Result<Gossip, String> {
        let own = OwnKey::new(&settings.secret);
        let directory = validated_directory(&settings, &own)?;
        let mut rng = ChaCha8Rng::from_seed(entropy);
        let mut g = Gossip {
            start: rng.next_u64(),
            rng,
            started_at: now,
            seq: 0,
            members: Members::new(directory.own_index, settings.probe_period),
            newest_statement: Vec::new(),
            unconfirmed_pings: Vec::new(),
            forwarded_at: Vec::new(),
            evidence: Evidence::default(),
            belief: Belief::default(),
            membership_bucket: membership_bucket(now, &settings),
            statement_bucket: TokenBucket::new(now, settings.statement_bytes_per_s, STATEMENT_BURST_BYTES),
            checks: SignatureChecks::new(now, 0, settings.signature_checks_per_s, MAX_SIGNATURE_CHECKS_PER_S),
            forwarded_pings: VecDeque::new(),
            last_statement_at: 0,
            statement_due: None,
            claims_changed: false,
            empty_statements_left: 0,
            suspicions_reported_at: 0,
            last_clock: now,
            clock_setback: 0,
            overloaded: false,
            trusted: Vec::new(),
            had_majority: false,
            counts: Counts::default(),
            own,
            directory: Directory::default(),
            settings,
        };
        g.apply_peers(now, directory);
        Ok(g)
    }

    /// Applies changed settings. Peers and keys may be added or removed; everything known about the
    /// remaining peers is kept.
    ///
    /// # Errors
    /// Returns one line that says what is wrong; nothing has changed in that case.
    pub fn reconfigure(&mut self, now: Micros, settings: Settings) -> Result<(), String> {
        let now = self.monotonic(now);
        let own = OwnKey::new(&settings.secret);
        let directory = validated_directory(&settings, &own)?;
        self.own = own;
        self.members.changes.clear();
        self.membership_bucket = membership_bucket(now, &settings);
        self.settings = settings;
        self.statement_bucket.set_rate(now, self.statement_rate());
        self.members.period = self.settings.probe_period;
        self.apply_peers(now, directory);
        Ok(())
    }

    /// Replaces the peers. What is known about a peer moves to its new index.
    fn apply_peers(&mut self, now: Micros, directory: Directory) {
        let old = std::mem::replace(&mut self.directory, directory);
        // Peers are identified by name. A peer with a new address is still the same one, once it has
        // answered a probe there.
        let former_index =
            |p: &PeerConfig| old.peers.iter().position(|o| o.name == p.name && !p.keys.is_empty());
        let former_indices: Vec<Option<usize>> = self.directory.peers.iter().map(former_index).collect();
        let each: Vec<(Option<usize>, bool, bool)> = self
            .directory
            .peers
            .iter()
            .zip(&former_indices)
            .map(|(p, k)| (*k, p.seed, p.keys.is_empty()))
            .collect();
        self.members.configure(self.directory.own_index, &each);
        self.belief.configure(&former_indices);
        let newest_statement = std::mem::take(&mut self.newest_statement);
        self.newest_statement = former_indices
            .iter()
            .map(|k| k.and_then(|i| newest_statement.get(i).copied().flatten()))
            .collect();
        self.unconfirmed_pings = vec![(0, 0); former_indices.len()];
        self.forwarded_at = vec![0; former_indices.len()];
        self.trusted = (0..former_indices.len()).map(|i| self.belief.is_trusted(i)).collect();
        self.checks = SignatureChecks::new(
            now,
            former_indices.len(),
            self.settings.signature_checks_per_s,
            MAX_SIGNATURE_CHECKS_PER_S,
        );
        self.forwarded_pings.clear();
    }

    /// Returns the numbers that decide how many witnesses a suspicion needs.
    pub fn quorum(&self) -> Quorum {
        let (eligible, live) = (self.directory.eligible(), self.members.live_count());
        Quorum { eligible, live, tolerated_faults: self.settings.tolerated_faults }
    }

    /// Returns the state of the named peer, or `None` if no such peer is configured.
    pub fn state(&self, name: &str) -> Option<State> {
        let i = self.directory.peers.iter().position(|p| p.name == name)?;
        self.members.peers.get(i).map(|p| p.state)
    }

    /// Returns the credit of the named peer as a witness, from 0 to 1. Below 0.3 its claims do not count.
    pub fn credit(&self, name: &str) -> f64 {
        let i = self.directory.peers.iter().position(|p| p.name == name);
        self.belief.credit(i.unwrap_or(usize::MAX))
    }

    /// Returns the members that are suspected because of other peers' claims.
    pub fn suspected_members(&self) -> Vec<Addr> {
        self.belief.suspected().map(|(a, _)| a).collect()
    }

    /// Adds the statement bytes earned by `n` served requests to the statement budget.
    pub fn add_served_requests(&mut self, n: u64) {
        self.statement_bucket.add(n as f64 * self.settings.statement_bytes_per_request);
    }

    /// Sets whether the proxy is overloaded. While it is, statements get half of their bytes per second and
    /// nothing is forwarded.
    pub fn set_overloaded(&mut self, now: Micros, overloaded: bool) {
        let now = self.monotonic(now);
        if std::mem::replace(&mut self.overloaded, overloaded) != overloaded {
            self.statement_bucket.set_rate(now, self.statement_rate());
        }
    }

    /// Returns the statement bytes per second that do not depend on served requests.
    fn statement_rate(&self) -> f64 {
        self.settings.statement_bytes_per_s * if self.overloaded { 0.5 } else { 1.0 }
    }

    /// Returns when [`Gossip::tick`] next has something to do.
    pub fn next_due(&self) -> Micros {
        self.members
            .next_due()
            .min(self.statement_due.unwrap_or(Micros::MAX))
            .saturating_sub(self.clock_setback)
    }

    /// Converts the caller's time to a clock that never goes back, and records by how much the caller's
    /// clock did.
    fn monotonic(&mut self, now: Micros) -> Micros {
        self.clock_setback += self.last_clock.saturating_sub(now);
        self.last_clock = now;
        now + self.clock_setback
    }

    /// Sends everything that is due by `now`.
    pub fn tick(&mut self, now: Micros, out: &mut Output) {
        let now = self.monotonic(now);
        let mut messages = Vec::new();
        let may_join = self.membership_bucket.has(now, JOIN_RESERVE_BYTES);
        self.members.poll(now, may_join, &mut self.rng, &mut messages);
        self.send_probe_messages(now, messages, out);
        if self.statement_due.is_some_and(|at| now >= at) {
            self.send_statement(now, out);
        }
        self.forwarded_pings.retain(|ping| now < ping.expires_at);
        self.update_beliefs(now, out);
    }

    /// Takes in the current health of all members, as seen by the proxy's own traffic. Call it about
    /// every 50 ms.
    pub fn observe(&mut self, now: Micros, health: &[MemberHealth], out: &mut Output) {
        let now = self.monotonic(now);
        if self.evidence.update(now, health) {
            // Send the statement immediately, or as soon as the minimum interval since the previous one has
            // passed.
            let at = if now >= self.last_statement_at + MIN_STATEMENT_INTERVAL {
                now
            } else {
                self.last_statement_at + MIN_STATEMENT_INTERVAL
            };
            self.empty_statements_left = self.empty_statements_left.max(2);
            self.claims_changed = true;
            self.statement_due = Some(self.statement_due.map_or(at, |d| d.min(at)));
        }
        if self.statement_due.is_some_and(|at| now >= at) {
            self.send_statement(now, out);
        }
        self.update_beliefs(now, out);
    }

    /// Records the result of a probe of a member, where the settings allow such probes.
    pub fn record_probe(&mut self, now: Micros, member: Addr, answered: bool, out: &mut Output) {
        let now = self.monotonic(now);
        self.evidence.record_probe(now, member, answered);
        self.update_beliefs(now, out);
    }

    /// Updates credit and suspicions after a change and appends a notice for everything that changed.
    fn update_beliefs(&mut self, now: Micros, out: &mut Output) {
        for c in std::mem::take(&mut self.members.changes) {
            // The claims of a peer that is neither live nor suspect no longer count.
            if !matches!(c.to, State::Live | State::Suspect) {
                self.belief.clear_statement(c.peer);
            }
            if let Some(p) = self.directory.peers.get(c.peer) {
                out.notices.push(Notice::Peer { name: p.name.clone(), from: c.from, to: c.to });
            }
        }
        self.belief.update_credit(now, &self.evidence);
        let quorum = self.quorum();
        for (i, p) in self.directory.peers.iter().enumerate() {
            let trusted = self.belief.is_trusted(i);
            if std::mem::replace(&mut self.trusted[i], trusted) != trusted {
                out.notices.push(Notice::WitnessTrust { name: p.name.clone(), trusted });
            }
        }
        if std::mem::replace(&mut self.had_majority, quorum.has_majority()) != quorum.has_majority() {
            out.notices.push(Notice::Majority(quorum.has_majority()));
        }
        let changes = self.belief.evaluate(now, &self.evidence, quorum);
        let changed = !changes.is_empty();
        out.notices.extend(changes.into_iter().map(Notice::Suspicion));
        // Report continuing suspicions again before they expire at the planner.
        if !changed && now >= self.suspicions_reported_at + SUSPICION_TTL / 2 {
            let suspected: Vec<(Addr, Micros)> = self.belief.suspected().collect();
            for (member, incarnation) in suspected {
                out.notices.push(Notice::SuspicionContinues { member, incarnation });
            }
            self.suspicions_reported_at = now;
        }
    }
}

/// Returns a token bucket for membership datagrams.
fn membership_bucket(now: Micros, s: &Settings) -> TokenBucket {
    TokenBucket::new(
        now,
        MEMBERSHIP_BYTES_PER_PERIOD * 1e6 / s.probe_period as f64,
        MEMBERSHIP_BYTES_PER_PERIOD * 3.0,
    )
}
