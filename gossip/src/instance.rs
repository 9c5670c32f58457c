//! One instance: its state, its clock, and what happens to it by time and by own traffic. It owns the joint between who
//! lives, what is told and what is believed. It must never judge a datagram here (`receive`) or spend bytes past the
//! purses (`send`); the clock that it reckons with only goes forward.
mod receive;
mod send;

use crate::belief::{Belief, Quorum};
use crate::budget::{Checks, Purse};
use crate::evidence::Evidence;
use crate::keys::{Directory, OwnKey, PeerConfig};
use crate::members::{Members, State};
use crate::settings::{checked, Settings};
use crate::told::{Counts, Notice, Output};
use nickelgate::{Addr, MemberHealth, Micros};
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};
use std::collections::VecDeque;

/// Statements are no closer together than this.
const APART: Micros = 50_000;
/// For how long what is believed is to count at the module: it is told anew before it ends there.
pub const SUSPICION_TTL: Micros = 2_000_000;
/// Signatures checked a second in all, whatever comes in.
const CHECKS: f64 = 400.0;
/// Bytes that membership may take in a period: a probe, the answer to another's, and half as much again.
const KEEP: f64 = 400.0;
/// What has to be saved up of them for more than one probe a period.
const JOINS: f64 = 600.0;
/// Bytes of statements that can be saved up: what a sudden trouble takes.
const SAVED: f64 = 1200.0;

/// A question passed on for another.
struct Helping {
    asker: usize,
    target: usize,
    nonce: u64,
    until: Micros,
}

/// One instance. It does nothing by itself: the caller brings the time, datagrams and own traffic, and sends what it is
/// given.
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
/// // A ping with a fresh number, the answer with one of its own, and the answer to that: each lives for the other.
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
/// // Sent again it is dropped, and counted.
/// b.receive(4_000, at(1), &ping, &mut from_b);
/// assert_eq!(b.counts.dropped[Dropped::Replayed as usize], 1);
///
/// // One that ends by will is not waited for.
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
    born: Micros,
    seq: u32,
    rng: ChaCha8Rng,
    members: Members,
    /// The sequence of the newest statement of each peer, in its present life.
    newest: Vec<Option<u32>>,
    /// The newest ping of a life that is not proved: sent again, it costs no second check.
    knocks: Vec<(u64, u32)>,
    /// When a statement of each peer was last handed on.
    handed: Vec<Micros>,
    evidence: Evidence,
    belief: Belief,
    keep: Purse,
    tell: Purse,
    checks: Checks,
    helping: VecDeque<Helping>,
    stated: Micros,
    due: Option<Micros>,
    /// What is to be told has changed since it was told.
    changed: bool,
    /// How often an empty statement is still to be told.
    farewell: u8,
    told: Micros,
    /// The clock as it was last given, and how far it went back in all: what is reckoned with only goes forward.
    clock: Micros,
    back: Micros,
    busy: bool,
    heard: Vec<bool>,
    majority: bool,
    /// What was counted since the start.
    pub counts: Counts,
}

impl Gossip {
    /// `entropy` has to differ with every start and be known to nobody: the number of the start and all questions are
    /// drawn from it.
    ///
    /// # Errors
    /// One line that says what is wrong with the settings.
    pub fn new(now: Micros, settings: Settings, entropy: [u8; 32]) -> Result<Gossip, String> {
        let own = OwnKey::new(&settings.secret);
        let directory = checked(&settings, &own)?;
        let mut rng = ChaCha8Rng::from_seed(entropy);
        let mut g = Gossip {
            start: rng.next_u64(),
            rng,
            born: now,
            seq: 0,
            members: Members::new(directory.me, settings.probe_period),
            newest: Vec::new(),
            knocks: Vec::new(),
            handed: Vec::new(),
            evidence: Evidence::default(),
            belief: Belief::default(),
            keep: keep(now, &settings),
            tell: Purse::new(now, settings.statement_bytes_per_s, SAVED),
            checks: Checks::new(now, 0, settings.signature_checks_per_s, CHECKS),
            helping: VecDeque::new(),
            stated: 0,
            due: None,
            changed: false,
            farewell: 0,
            told: 0,
            clock: now,
            back: 0,
            busy: false,
            heard: Vec::new(),
            majority: false,
            counts: Counts::default(),
            own,
            directory: Directory::default(),
            settings,
        };
        g.adopt(now, directory);
        Ok(g)
    }

    /// Takes over a file that was read anew: peers and keys come and go, all that is known of the others stays.
    ///
    /// # Errors
    /// One line that says what is wrong; nothing has changed then.
    pub fn reconfigure(&mut self, now: Micros, settings: Settings) -> Result<(), String> {
        let now = self.forward(now);
        let own = OwnKey::new(&settings.secret);
        let directory = checked(&settings, &own)?;
        self.own = own;
        self.members.changes.clear();
        self.keep = keep(now, &settings);
        self.settings = settings;
        self.tell.rate(now, self.floor());
        self.members.period = self.settings.probe_period;
        self.adopt(now, directory);
        Ok(())
    }

    fn adopt(&mut self, now: Micros, directory: Directory) {
        let old = std::mem::replace(&mut self.directory, directory);
        // A peer is its name; at another address it is the same one, once it has proved itself.
        let place = |p: &PeerConfig| old.peers.iter().position(|o| o.name == p.name && !p.keys.is_empty());
        let kept: Vec<Option<usize>> = self.directory.peers.iter().map(place).collect();
        let each: Vec<(Option<usize>, bool, bool)> =
            self.directory.peers.iter().zip(&kept).map(|(p, k)| (*k, p.seed, p.keys.is_empty())).collect();
        self.members.configure(self.directory.me, &each);
        self.belief.configure(&kept);
        let newest = std::mem::take(&mut self.newest);
        self.newest = kept.iter().map(|k| k.and_then(|i| newest.get(i).copied().flatten())).collect();
        self.knocks = vec![(0, 0); kept.len()];
        self.handed = vec![0; kept.len()];
        self.heard = (0..kept.len()).map(|i| self.belief.heard(i)).collect();
        self.checks = Checks::new(now, kept.len(), self.settings.signature_checks_per_s, CHECKS);
        self.helping.clear();
    }

    /// The numbers that belief rests on now.
    pub fn quorum(&self) -> Quorum {
        let (eligible, live) = (self.directory.eligible(), self.members.live());
        Quorum { eligible, live, tolerated_faults: self.settings.tolerated_faults }
    }

    /// State of the peer of this name; nothing where the file names none.
    pub fn state(&self, name: &str) -> Option<State> {
        let i = self.directory.peers.iter().position(|p| p.name == name)?;
        self.members.peers.get(i).map(|p| p.state)
    }

    /// Credit of the peer of this name as a witness, from 0 to 1; under 0.3 its word does not count.
    pub fn credit(&self, name: &str) -> f64 {
        let i = self.directory.peers.iter().position(|p| p.name == name);
        self.belief.credit(i.unwrap_or(usize::MAX))
    }

    /// Members held suspect on the word of others.
    pub fn suspected_members(&self) -> Vec<Addr> {
        self.belief.suspected().map(|(a, _)| a).collect()
    }

    /// Requests were served: each earns bytes to send.
    pub fn add_served_requests(&mut self, n: u64) {
        self.tell.earn(n as f64 * self.settings.statement_bytes_per_request);
    }

    /// The proxy has more to do than it can: statements get half of their bytes, and nothing is handed on.
    pub fn set_overloaded(&mut self, now: Micros, busy: bool) {
        let now = self.forward(now);
        if std::mem::replace(&mut self.busy, busy) != busy {
            self.tell.rate(now, self.floor());
        }
    }

    /// Bytes of statements a second, whatever is served.
    fn floor(&self) -> f64 {
        self.settings.statement_bytes_per_s * if self.busy { 0.5 } else { 1.0 }
    }

    /// When [`Gossip::tick`] has something to do next.
    pub fn next_due(&self) -> Micros {
        self.members.next_due().min(self.due.unwrap_or(Micros::MAX)).saturating_sub(self.back)
    }

    /// Time that goes on where the given clock went back.
    fn forward(&mut self, now: Micros) -> Micros {
        self.back += self.clock.saturating_sub(now);
        self.clock = now;
        now + self.back
    }

    /// Carries out what is due by now.
    pub fn tick(&mut self, now: Micros, out: &mut Output) {
        let now = self.forward(now);
        let mut orders = Vec::new();
        let rich = self.keep.holds(now, JOINS);
        self.members.due(now, rich, &mut self.rng, &mut orders);
        self.carry_out(now, orders, out);
        if self.due.is_some_and(|at| now >= at) {
            self.state_claims(now, out);
        }
        self.helping.retain(|h| now < h.until);
        self.settle(now, out);
    }

    /// Takes in what own traffic shows of all members by now. Call it every 50 ms or so.
    pub fn observe(&mut self, now: Micros, standings: &[MemberHealth], out: &mut Output) {
        let now = self.forward(now);
        if self.evidence.update(now, standings) {
            // At once, unless one went out just now.
            let at = if now >= self.stated + APART { now } else { self.stated + APART };
            self.farewell = self.farewell.max(2);
            self.changed = true;
            self.due = Some(self.due.map_or(at, |d| d.min(at)));
        }
        if self.due.is_some_and(|at| now >= at) {
            self.state_claims(now, out);
        }
        self.settle(now, out);
    }

    /// A probe of a member ended, where the settings allow probes.
    pub fn probed(&mut self, now: Micros, member: Addr, good: bool, out: &mut Output) {
        let now = self.forward(now);
        self.evidence.probed(now, member, good);
        self.settle(now, out);
    }

    /// Draws the conclusions and says what changed.
    fn settle(&mut self, now: Micros, out: &mut Output) {
        for c in std::mem::take(&mut self.members.changes) {
            // Its word ends with it.
            if !matches!(c.to, State::Live | State::Suspect) {
                self.belief.silence(c.peer);
            }
            if let Some(p) = self.directory.peers.get(c.peer) {
                out.notices.push(Notice::Peer { name: p.name.clone(), from: c.from, to: c.to });
            }
        }
        self.belief.judge(now, &self.evidence);
        let quorum = self.quorum();
        for (i, p) in self.directory.peers.iter().enumerate() {
            let heard = self.belief.heard(i);
            if std::mem::replace(&mut self.heard[i], heard) != heard {
                out.notices.push(Notice::WitnessTrust { name: p.name.clone(), trusted: heard });
            }
        }
        if std::mem::replace(&mut self.majority, quorum.has_majority()) != quorum.has_majority() {
            out.notices.push(Notice::Majority(quorum.has_majority()));
        }
        let changes = self.belief.evaluate(now, &self.evidence, quorum);
        let changed = !changes.is_empty();
        out.notices.extend(changes.into_iter().map(Notice::Suspicion));
        // What goes on is told again before it runs out at the module.
        if !changed && now >= self.told + SUSPICION_TTL / 2 {
            let believed: Vec<(Addr, Micros)> = self.belief.suspected().collect();
            for (member, incarnation) in believed {
                out.notices.push(Notice::SuspicionContinues { member, incarnation });
            }
            self.told = now;
        }
    }
}

/// The purse of membership.
fn keep(now: Micros, s: &Settings) -> Purse {
    Purse::new(now, KEEP * 1e6 / s.probe_period as f64, KEEP * 3.0)
}
