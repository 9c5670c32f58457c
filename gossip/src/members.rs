//! Which instances are live, by this one's own proof: an answer to its fresh number, straight or by way of a helper.
//! It owns the states, the order of probes and what is asked but not answered. It must never take another's word for
//! a state: hints move a probe forward, no more, so a liar can neither bury the living nor raise the dead, and it
//! can't raise the traffic either.
use crate::session::Session;
use nickelgate::Micros;
use rand_chacha::ChaCha8Rng;
use rand_core::RngCore;
use std::collections::VecDeque;

/// A probe that has no answer by then is handed to helpers as well.
pub const ALONE: Micros = 250_000;
/// And has failed by then.
pub const FAILED: Micros = 750_000;
/// Helpers for one probe.
const HELPERS: usize = 2;
/// Failed probes in a row after which a live one is dead; the first makes it suspect.
const FAILURES: u32 = 3;
/// Peers that wait for an early probe, at most.
const HURRY: usize = 32;
/// Of the probes in a period every so many-th goes to one that is not live.
const OTHERS: u32 = 4;
/// While the first round is not over, so many probes a period go out.
const JOINING: usize = 4;
/// Changes are passed on as hints for so long.
const NEWS: Micros = 10_000_000;

/// What is known of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum State {
    /// Nothing was proved since this instance's start.
    #[default]
    Unknown,
    /// It answered a fresh number of ours.
    Live,
    /// It was live and a probe failed.
    Suspect,
    /// Three probes in a row failed.
    Dead,
    /// It ended by will.
    Left,
}

/// One peer, by this instance's own proof.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// Its state.
    pub state: State,
    /// Its life that was proved last.
    pub session: Option<Session>,
    /// When it was last proved live.
    pub proved: Micros,
    /// When it was last heard in its present life.
    pub heard: Micros,
    changed: Micros,
    failures: u32,
    /// Probes sent to it since this instance's start.
    tried: u32,
    /// Withdrawn by the file: never probed, never live.
    withdrawn: bool,
    seed: bool,
}

/// A question that is out.
#[derive(Clone, Debug)]
struct Probe {
    peer: usize,
    nonce: u64,
    sent: Micros,
    helped: bool,
}

/// What is to be sent, with the nonce that the answer has to echo.
#[allow(missing_docs)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// A ping straight to a peer.
    Ping { peer: usize, nonce: u64 },
    /// A request to another peer, that it ping the target.
    Help { helper: usize, target: usize, nonce: u64 },
}

/// A change of state, for the log and the counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Which peer.
    pub peer: usize,
    /// What it was.
    pub from: State,
    /// What it is now.
    pub to: State,
}

/// All peers, each by its place in the file, and the probes that are out.
///
/// ```
/// use rand_chacha::{rand_core::SeedableRng, ChaCha8Rng};
/// use threadward_gossip::members::{Members, Order, State, FAILED};
///
/// let mut rng = ChaCha8Rng::seed_from_u64(1);
/// let mut m = Members::new(0, 1_000_000);
/// m.configure(0, &[(None, true, false); 2]);
/// let mut orders = Vec::new();
/// m.due(1_000_000, false, &mut rng, &mut orders);
/// let [Order::Ping { peer: 1, nonce }] = orders[..] else { panic!("{orders:?}") };
/// assert_eq!(m.echoed(1, nonce), Some(1_000_000), "when that question was sent");
/// m.proved(1_001_000, 1, nonce, &[]);
/// assert_eq!((m.peers[1].state, m.live()), (State::Live, 2));
/// // A probe without an answer makes it suspect, whatever others say of it.
/// m.hint(1, true);
/// assert_eq!(m.live(), 2);
/// m.due(2_000_000, false, &mut rng, &mut orders);
/// m.due(2_000_000 + FAILED, false, &mut rng, &mut orders);
/// assert_eq!((m.peers[1].state, m.live()), (State::Suspect, 1));
/// ```
pub struct Members {
    /// What is known of each.
    pub peers: Vec<Peer>,
    me: usize,
    /// Time between probes.
    pub period: Micros,
    next: Micros,
    round: VecDeque<usize>,
    hurry: VecDeque<usize>,
    probes: Vec<Probe>,
    count: u32,
    /// What changed since the caller last emptied this.
    pub changes: Vec<Change>,
}

/// Probes that may be out at once.
const PROBES: usize = 32;

impl Members {
    /// None at all, until [`Members::configure`]; `me`: the own place.
    pub fn new(me: usize, period: Micros) -> Members {
        Members {
            peers: Vec::new(),
            me,
            period,
            next: 0,
            round: VecDeque::new(),
            hurry: VecDeque::new(),
            probes: Vec::new(),
            count: 0,
            changes: Vec::new(),
        }
    }

    /// Takes over the peers of a file: `kept` gives the former place of each, if it has one, then whether it is a
    /// seed and whether it is withdrawn.
    pub fn configure(&mut self, me: usize, kept: &[(Option<usize>, bool, bool)]) {
        let old = std::mem::take(&mut self.peers);
        let take = |(from, seed, withdrawn): &(Option<usize>, bool, bool)| {
            let before = from.filter(|_| !withdrawn).and_then(|i| old.get(i).cloned()).unwrap_or_default();
            Peer { seed: *seed, withdrawn: *withdrawn, ..before }
        };
        self.peers = kept.iter().map(take).collect();
        self.me = me;
        self.round.clear();
        self.hurry.clear();
        self.probes.clear();
    }

    /// Peers that are live, this one among them.
    pub fn live(&self) -> usize {
        1 + (0..self.peers.len()).filter(|i| self.is_live(*i)).count()
    }

    /// Whether that peer, another one, is live.
    pub fn is_live(&self, peer: usize) -> bool {
        peer != self.me && self.peers.get(peer).is_some_and(|p| p.state == State::Live)
    }

    fn set(&mut self, now: Micros, peer: usize, to: State) {
        let Some(p) = self.peers.get_mut(peer) else { return };
        let from = std::mem::replace(&mut p.state, to);
        if from != to {
            p.changed = now;
            self.changes.push(Change { peer, from, to });
        }
    }

    /// The question that an answer of this peer echoes, if it is still out: when it was sent.
    pub fn echoed(&self, peer: usize, nonce: u64) -> Option<Micros> {
        self.probes.iter().find(|p| p.peer == peer && p.nonce == nonce).map(|p| p.sent)
    }

    /// The peer proved that it lives. `same_address`: the peers that the file has at its address.
    pub fn proved(&mut self, now: Micros, peer: usize, nonce: u64, same_address: &[usize]) {
        self.probes.retain(|p| p.nonce != nonce);
        if let Some(p) = self.peers.get_mut(peer) {
            (p.proved, p.heard, p.failures) = (now, now, 0);
        }
        self.set(now, peer, State::Live);
        // Another instance has the address now: the former one has to prove itself anew.
        for other in same_address.iter().filter(|o| **o != peer) {
            if self.is_live(*other) {
                self.set(now, *other, State::Suspect);
                self.hurry(*other);
            }
        }
    }

    /// Something new of the proved life came in.
    pub fn heard(&mut self, now: Micros, peer: usize) {
        if let Some(p) = self.peers.get_mut(peer) {
            p.heard = now;
        }
    }

    /// The peer ended by will.
    pub fn left(&mut self, now: Micros, peer: usize) {
        self.set(now, peer, State::Left);
    }

    /// Probes it early. The queue is short and the rate of probes stays as it is.
    pub fn hurry(&mut self, peer: usize) {
        let usable = peer != self.me && self.peers.get(peer).is_some_and(|p| !p.withdrawn);
        if usable && self.hurry.len() < HURRY && !self.hurry.contains(&peer) {
            self.hurry.push_back(peer);
        }
    }

    /// Another's word on a peer, which is looked into where it differs from what is known.
    pub fn hint(&mut self, peer: usize, lost: bool) {
        let Some(state) = self.peers.get(peer).map(|p| p.state) else { return };
        if lost == (state == State::Live) && state != State::Left {
            self.hurry(peer);
        }
    }

    /// What to say in passing: the newest changes, then a live one at random, so that those who join hear of all.
    pub fn hints(&self, now: Micros, most: usize, rng: &mut ChaCha8Rng) -> Vec<(usize, bool)> {
        let new = |i: &usize| {
            let p = &self.peers[*i];
            p.changed > 0 && now < p.changed + NEWS && !p.withdrawn && p.state != State::Left
        };
        let mut news: Vec<usize> = (0..self.peers.len()).filter(new).collect();
        news.sort_by_key(|i| std::cmp::Reverse(self.peers[*i].changed));
        let mut hints: Vec<(usize, bool)> =
            news.into_iter().take(most / 2).map(|i| (i, self.peers[i].state != State::Live)).collect();
        if let Some(i) = pick(&self.peers, rng, |i, _| self.is_live(i)) {
            if !hints.iter().any(|h| h.0 == i) {
                hints.push((i, false));
            }
        }
        hints
    }

    /// When [`Members::due`] has something to do next.
    pub fn next_due(&self) -> Micros {
        let waits = |p: &Probe| p.sent + if p.helped { FAILED } else { ALONE };
        self.probes.iter().map(waits).min().unwrap_or(Micros::MAX).min(self.next)
    }

    /// What is to be sent by now.
    /// `rich`: there is enough to send for more than one probe a period, while some were never probed.
    pub fn due(&mut self, now: Micros, rich: bool, rng: &mut ChaCha8Rng, orders: &mut Vec<Order>) {
        let mut failed = Vec::new();
        for i in 0..self.probes.len() {
            let p = self.probes[i].clone();
            if !p.helped && now >= p.sent + ALONE {
                self.probes[i].helped = true;
                let mut helpers = Vec::new();
                for _ in 0..HELPERS {
                    let other = |i: usize, _: &Peer| i != p.peer && self.is_live(i) && !helpers.contains(&i);
                    let Some(helper) = pick(&self.peers, rng, other) else { break };
                    helpers.push(helper);
                }
                let state = self.peers.get(p.peer).map(|p| p.state);
                let known = matches!(state, Some(State::Live | State::Suspect));
                for helper in helpers.into_iter().filter(|_| known) {
                    orders.push(Order::Help { helper, target: p.peer, nonce: p.nonce });
                }
            }
            if now >= p.sent + FAILED {
                failed.push(p);
            }
        }
        self.probes.retain(|p| now < p.sent + FAILED);
        for p in failed {
            self.failed(now, &p);
        }
        if now < self.next {
            return;
        }
        self.next = if self.next + self.period > now { self.next + self.period } else { now + self.period };
        let untried = |p: &Peer| p.tried == 0 && !p.withdrawn;
        let joining = rich && self.peers.iter().enumerate().any(|(i, p)| i != self.me && untried(p));
        for _ in 0..if joining { JOINING } else { 1 } {
            let Some(peer) = self.choose(rng) else { return };
            if self.probes.len() >= PROBES || self.probes.iter().any(|p| p.peer == peer) {
                continue;
            }
            let nonce = rng.next_u64().max(1);
            self.probes.push(Probe { peer, nonce, sent: now, helped: false });
            self.peers[peer].tried = self.peers[peer].tried.saturating_add(1);
            orders.push(Order::Ping { peer, nonce });
        }
    }

    /// A question that rides on an answer: the other's life is not proved yet, or long ago.
    pub fn ask_back(&mut self, now: Micros, peer: usize, start: u64, rng: &mut ChaCha8Rng) -> u64 {
        let Some(p) = self.peers.get(peer) else { return 0 };
        let proved = p.state == State::Live && p.session.as_ref().is_some_and(|s| s.start == start);
        let asked = self.probes.iter().any(|q| q.peer == peer);
        if proved || asked || self.probes.len() >= PROBES {
            return 0;
        }
        let nonce = rng.next_u64().max(1);
        self.probes.push(Probe { peer, nonce, sent: now, helped: true });
        nonce
    }

    fn failed(&mut self, now: Micros, probe: &Probe) {
        let Some(p) = self.peers.get_mut(probe.peer) else { return };
        // It may be deaf, or its answers lost; but it lives.
        if p.heard >= probe.sent {
            return;
        }
        p.failures += 1;
        match p.state {
            State::Live => self.set(now, probe.peer, State::Suspect),
            State::Suspect if p.failures >= FAILURES => return self.set(now, probe.peer, State::Dead),
            State::Suspect => {}
            _ => return,
        }
        self.hurry(probe.peer);
    }

    /// The next to probe: those in a hurry every other time, seeds until one has answered, each live one in turn, and
    /// now and then one that is not live, so that what was apart finds together again.
    fn choose(&mut self, rng: &mut ChaCha8Rng) -> Option<usize> {
        self.count = self.count.wrapping_add(1);
        if !self.count.is_multiple_of(OTHERS) {
            if let Some(peer) = self.hurry.pop_front() {
                return Some(peer);
            }
        }
        let me = self.me;
        let alone = self.live() == 1;
        let seeds = |i: usize, p: &Peer| i != me && p.seed && !p.withdrawn;
        let apart = |i: usize, p: &Peer| i != me && !p.withdrawn && p.state != State::Live;
        let first = if alone { pick(&self.peers, rng, seeds) } else { None };
        if self.count.is_multiple_of(OTHERS) || alone {
            if let Some(peer) = first.or_else(|| pick(&self.peers, rng, apart)) {
                return Some(peer);
            }
        }
        for _ in 0..2 {
            while let Some(peer) = self.round.pop_front() {
                let p = self.peers.get(peer);
                if p.is_some_and(|p| p.state == State::Live || p.tried == 0 && !p.withdrawn) {
                    return Some(peer);
                }
            }
            let mut all: Vec<usize> = (0..self.peers.len()).filter(|i| *i != me).collect();
            for i in (1..all.len()).rev() {
                all.swap(i, below(rng, i + 1));
            }
            self.round = all.into();
        }
        pick(&self.peers, rng, apart)
    }
}

/// A number below `n`, which is small.
pub fn below(rng: &mut ChaCha8Rng, n: usize) -> usize {
    ((u64::from(rng.next_u32()) * n as u64) >> 32) as usize
}

/// One of those that a test lets through, each as likely.
pub fn pick(peers: &[Peer], rng: &mut ChaCha8Rng, test: impl Fn(usize, &Peer) -> bool) -> Option<usize> {
    let n = peers.iter().enumerate().filter(|(i, p)| test(*i, p)).count();
    if n == 0 {
        return None;
    }
    let at = below(rng, n);
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

    /// Runs for a while; `answers` says which peers answer, straight.
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
            let mut orders = Vec::new();
            m.due(*now, true, rng, &mut orders);
            sent += orders.len();
            for o in orders {
                if let Order::Ping { peer, nonce } = o {
                    if answers.contains(&peer) {
                        m.proved(*now, peer, nonce, &[]);
                    }
                }
            }
        }
        sent
    }

    #[test]
    fn the_silent_become_suspect_then_dead_and_come_back() {
        let (mut m, mut rng) = members(4);
        let mut now = 0;
        run(&mut m, &mut rng, &mut now, 8 * S, &[1, 2, 3]);
        assert_eq!(m.live(), 4);
        m.changes.clear();
        run(&mut m, &mut rng, &mut now, 12 * S, &[1, 2]);
        assert_eq!(m.live(), 3);
        let seen: Vec<(usize, State)> = m.changes.iter().map(|c| (c.peer, c.to)).collect();
        assert_eq!(seen, [(3, State::Suspect), (3, State::Dead)]);
        run(&mut m, &mut rng, &mut now, 20 * S, &[1, 2, 3]);
        assert_eq!(m.live(), 4, "what was apart finds together again");
    }

    #[test]
    fn words_of_others_change_neither_states_nor_traffic() {
        let (mut quiet, mut rng) = members(16);
        let (mut told, mut other) = members(16);
        let all: Vec<usize> = (1..16).collect();
        let (mut a, mut b) = (0, 0);
        run(&mut quiet, &mut rng, &mut a, 30 * S, &all);
        run(&mut told, &mut other, &mut b, 30 * S, &all);
        assert_eq!((quiet.live(), told.live()), (16, 16));
        let (mut sent, mut sent_told) = (0, 0);
        told.changes.clear();
        for _ in 0..60 {
            for peer in 0..16 {
                told.hint(peer, true);
            }
            sent += run(&mut quiet, &mut rng, &mut a, S, &all);
            sent_told += run(&mut told, &mut other, &mut b, S, &all);
        }
        assert!(told.changes.is_empty());
        assert!(sent_told <= sent + 2, "{sent_told} over {sent}");
    }

    #[test]
    fn an_address_taken_over_makes_the_former_one_prove_itself() {
        let (mut m, mut rng) = members(4);
        let mut now = 0;
        run(&mut m, &mut rng, &mut now, 8 * S, &[1]);
        assert!(m.is_live(1));
        m.proved(now, 2, 0, &[1, 2]);
        assert_eq!((m.peers[1].state, m.peers[2].state), (State::Suspect, State::Live));
    }
}
