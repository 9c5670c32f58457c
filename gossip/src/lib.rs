//! Gossip between steering proxies: which of them live, and what they hold suspect of the members, so that one need not
//! pay for a lesson that others have learned. It owns one instance's part in that: it is given the time, datagrams
//! and what own traffic showed, and returns datagrams, changes of membership and what is believed. It must never
//! open a socket or read a clock, choose a member, or hand on another's word as its own. `docs/gossip.md` has the
//! design, `docs/operate-gossip.md` is for operators.
#![forbid(unsafe_code)]

pub mod belief;
mod budget;
pub mod evidence;
pub mod keys;
pub mod members;
pub mod session;
pub mod wire;

pub use belief::{Doubt, Quorum};
pub use keys::{public, PeerConfig};
pub use members::State;

use belief::Belief;
use budget::{Checks, Purse};
use evidence::Evidence;
use keys::{Directory, Own};
use members::{Members, Order};
use nickelgate::{Addr, Micros, Standing};
use rand_chacha::ChaCha8Rng;
use rand_core::{RngCore, SeedableRng};
use session::{Session, Stale};
use std::collections::VecDeque;
use std::net::SocketAddr;
use wire::{Body, Claims, Datagram, Head, Hint, Hints};

/// Peers that a statement of the own goes to straight.
const FANOUT: usize = 4;
/// Peers that another's statement is handed on to, once, where not all got it straight.
const HAND_ON: usize = 2;
/// A changed statement is told once more after this, as any datagram may be lost, then after the longer span for as
/// long as it has claims; an empty one is told twice.
const SOON: Micros = 150_000;
const AGAIN: Micros = 2_000_000;
/// One author's statements are handed on no closer together, and only while so much of the purse is left: a peer that
/// says much takes nothing from what this instance has to say itself.
const HANDED: Micros = 1_000_000;
const RESERVE: f64 = SAVED / 2.0;
/// Statements are no closer together than this.
const APART: Micros = 50_000;
/// What is believed is told anew to the module before it ends there.
pub const BELIEVED: Micros = 2_000_000;
/// Signatures checked a second in all, whatever comes in.
const CHECKS: f64 = 400.0;
/// Requests for help that are under way, and how long each may take.
const HELPING: usize = 32;
const HELPED: Micros = 2_000_000;
/// Bytes that membership may take in a period: a probe, the answer to another's, and half as much again.
const KEEP: f64 = 400.0;
/// What has to be saved up of them for more than one probe a period.
const JOINS: f64 = 600.0;
/// Bytes of statements that can be saved up: what a sudden trouble takes.
const SAVED: f64 = 1200.0;
/// Hints on a ping or an answer.
const HINTED: usize = 4;

/// What the operators' file says.
#[derive(Clone)]
pub struct Settings {
    /// The own name among the peers, and the own secret.
    pub name: String,
    pub secret: [u8; 32],
    pub peers: Vec<PeerConfig>,
    /// Time between probes.
    pub period: Micros,
    /// Bytes that statements may take: a second, and for each request served. What membership takes is bounded by
    /// the period alone.
    pub floor: f64,
    pub per_request: f64,
    /// Signatures checked a second for one address.
    pub checks: f64,
    /// Liars borne; without it a third of the others, rounded down.
    pub faults: Option<usize>,
}

impl Settings {
    pub fn new(name: &str, secret: [u8; 32], peers: Vec<PeerConfig>) -> Settings {
        Settings {
            name: name.into(),
            secret,
            peers,
            period: 1_000_000,
            floor: 80.0,
            per_request: 0.75,
            checks: 50.0,
            faults: None,
        }
    }
}

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
pub struct Tally {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    /// In the order of [`Dropped::ALL`].
    pub dropped: [u64; Dropped::ALL.len()],
    pub checked: u64,
    /// Statements not sent for want of bytes.
    pub withheld: u64,
    /// Lives that took the place of another within seconds: one key at two instances, or one that keeps failing.
    pub conflicts: u64,
}

/// What an instance wants told or sent.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    Peer {
        name: String,
        from: State,
        to: State,
    },
    Doubt(Doubt),
    /// What was believed still is: told again before it runs out.
    Still {
        member: Addr,
        since: Micros,
    },
    /// Credit of a witness fell under what is heard, or rose over it.
    Credit {
        name: String,
        heard: bool,
    },
    Majority(bool),
}

#[derive(Default)]
pub struct Out {
    pub send: Vec<(SocketAddr, Vec<u8>)>,
    pub news: Vec<News>,
}

/// A question passed on for another.
struct Helping {
    asker: usize,
    target: usize,
    nonce: u64,
    until: Micros,
}

/// One instance.
pub struct Gossip {
    own: Own,
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
    pub tally: Tally,
}

impl Gossip {
    /// `entropy` has to differ with every start and be known to nobody: the number of the start and all questions are
    /// drawn from it.
    ///
    /// # Errors
    /// One line that says what is wrong with the settings.
    pub fn new(now: Micros, settings: Settings, entropy: [u8; 32]) -> Result<Gossip, String> {
        let own = Own::new(&settings.secret);
        let directory = checked(&settings, &own)?;
        let mut rng = ChaCha8Rng::from_seed(entropy);
        let mut g = Gossip {
            start: rng.next_u64(),
            rng,
            born: now,
            seq: 0,
            members: Members::new(directory.me, settings.period),
            newest: Vec::new(),
            knocks: Vec::new(),
            handed: Vec::new(),
            evidence: Evidence::default(),
            belief: Belief::default(),
            keep: keep(now, &settings),
            tell: Purse::new(now, settings.floor, SAVED),
            checks: Checks::new(now, 0, settings.checks, CHECKS),
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
            tally: Tally::default(),
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
        let own = Own::new(&settings.secret);
        let directory = checked(&settings, &own)?;
        self.own = own;
        self.members.changes.clear();
        self.keep = keep(now, &settings);
        self.settings = settings;
        self.tell.rate(now, self.floor());
        self.members.period = self.settings.period;
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
        self.checks = Checks::new(now, kept.len(), self.settings.checks, CHECKS);
        self.helping.clear();
    }

    pub fn quorum(&self) -> Quorum {
        let (entitled, live) = (self.directory.entitled(), self.members.live());
        Quorum { entitled, live, faults: self.settings.faults }
    }

    /// State of the peer of this name.
    pub fn state(&self, name: &str) -> Option<State> {
        let i = self.directory.peers.iter().position(|p| p.name == name)?;
        self.members.peers.get(i).map(|p| p.state)
    }

    pub fn credit(&self, name: &str) -> f64 {
        let i = self.directory.peers.iter().position(|p| p.name == name);
        self.belief.credit(i.unwrap_or(usize::MAX))
    }

    /// Members held suspect on the word of others.
    pub fn believed(&self) -> Vec<Addr> {
        self.belief.believed().map(|(a, _)| a).collect()
    }

    /// Requests were served: each earns bytes to send.
    pub fn served(&mut self, n: u64) {
        self.tell.earn(n as f64 * self.settings.per_request);
    }

    /// The proxy has more to do than it can: statements get half of their bytes, and nothing is handed on.
    pub fn busy(&mut self, now: Micros, busy: bool) {
        let now = self.forward(now);
        if std::mem::replace(&mut self.busy, busy) != busy {
            self.tell.rate(now, self.floor());
        }
    }

    /// Bytes of statements a second, whatever is served.
    fn floor(&self) -> f64 {
        self.settings.floor * if self.busy { 0.5 } else { 1.0 }
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

    // ---- sending ----

    fn head(&mut self, now: Micros) -> Head {
        self.seq = self.seq.wrapping_add(1);
        let uptime = (now.saturating_sub(self.born) / wire::UNIT) as u32;
        Head { key: self.own.id(), start: self.start, seq: self.seq, uptime }
    }

    fn post(&mut self, to: usize, bytes: Vec<u8>, out: &mut Out) {
        let Some(p) = self.directory.peers.get(to) else { return };
        self.tally.sent += 1;
        self.tally.sent_bytes += bytes.len() as u64;
        out.send.push((p.addr, bytes));
    }

    /// Signs and sends what membership needs: it may run into debt, as far as a purse holds.
    fn post_needed(&mut self, now: Micros, to: usize, mut bytes: Vec<u8>, out: &mut Out) {
        if self.keep.owe(now, (bytes.len() + keys::SIGNATURE) as f64) {
            self.own.sign(&mut bytes);
            self.post(to, bytes, out);
        }
    }

    fn hints(&mut self, now: Micros) -> Vec<Hint> {
        let hints = self.members.hints(now, HINTED, &mut self.rng);
        hints.into_iter().map(|(i, lost)| Hint { peer: self.directory.id(i), lost }).collect()
    }

    fn carry_out(&mut self, now: Micros, orders: Vec<Order>, out: &mut Out) {
        for o in orders {
            match o {
                Order::Ping { peer, nonce } => {
                    let (head, hints) = (self.head(now), self.hints(now));
                    let (to, me) = (self.directory.id(peer), self.directory.id(self.directory.me));
                    self.post_needed(now, peer, wire::ping(head, to, me, nonce, &hints), out);
                }
                Order::Help { helper, target, nonce } => {
                    let head = self.head(now);
                    let (to, target) = (self.directory.id(helper), self.directory.id(target));
                    self.post_needed(now, helper, wire::help(head, to, target, nonce), out);
                }
            }
        }
    }

    /// Some live peers, none of them twice.
    fn some(&mut self, n: usize, not: &[usize]) -> Vec<usize> {
        let mut chosen: Vec<usize> = Vec::new();
        for _ in 0..n {
            let fit = |i: usize, _: &members::Peer| {
                self.members.is_live(i) && !not.contains(&i) && !chosen.contains(&i)
            };
            let Some(i) = members::pick(&self.members.peers, &mut self.rng, fit) else { break };
            chosen.push(i);
        }
        chosen
    }

    /// Tells all that is held suspect, in one datagram, signed once and sent to some.
    fn state_claims(&mut self, now: Micros, out: &mut Out) {
        (self.stated, self.due) = (now, None);
        let claims = self.evidence.claims(now);
        if claims.is_empty() {
            self.farewell = self.farewell.saturating_sub(1);
        } else {
            self.farewell = 2;
        }
        if self.farewell > 0 {
            self.due = Some(now + if std::mem::take(&mut self.changed) { SOON } else { AGAIN });
        }
        let to = self.some(FANOUT, &[]);
        let head = self.head(now);
        let mut bytes = wire::statement(head, &claims);
        self.own.sign(&mut bytes);
        self.offer(now, &to, &bytes, 0.0, out);
    }

    /// Sends a statement to each as far as the purse goes, and leaves so much in it.
    fn offer(&mut self, now: Micros, to: &[usize], bytes: &[u8], reserve: f64, out: &mut Out) {
        for peer in to {
            if self.tell.holds(now, reserve) && self.tell.spend(now, bytes.len() as f64) {
                self.post(*peer, bytes.to_vec(), out);
            } else {
                self.tally.withheld += 1;
            }
        }
    }

    /// Ends by will: some are told, and hand it on.
    pub fn leave(&mut self, now: Micros, out: &mut Out) {
        let now = self.forward(now);
        let head = self.head(now);
        let mut bytes = wire::leave(head);
        self.own.sign(&mut bytes);
        for peer in self.some(FANOUT * 2, &[]) {
            self.post(peer, bytes.clone(), out);
        }
    }

    // ---- what happens ----

    /// Carries out what is due by now.
    pub fn tick(&mut self, now: Micros, out: &mut Out) {
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
    pub fn observe(&mut self, now: Micros, standings: &[Standing], out: &mut Out) {
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
    pub fn probed(&mut self, now: Micros, member: Addr, good: bool, out: &mut Out) {
        let now = self.forward(now);
        self.evidence.probed(now, member, good);
        self.settle(now, out);
    }

    /// Draws the conclusions and says what changed.
    fn settle(&mut self, now: Micros, out: &mut Out) {
        for c in std::mem::take(&mut self.members.changes) {
            // Its word ends with it.
            if !matches!(c.to, State::Live | State::Suspect) {
                self.belief.silence(c.peer);
            }
            if let Some(p) = self.directory.peers.get(c.peer) {
                out.news.push(News::Peer { name: p.name.clone(), from: c.from, to: c.to });
            }
        }
        self.belief.judge(now, &self.evidence);
        let quorum = self.quorum();
        for (i, p) in self.directory.peers.iter().enumerate() {
            let heard = self.belief.heard(i);
            if std::mem::replace(&mut self.heard[i], heard) != heard {
                out.news.push(News::Credit { name: p.name.clone(), heard });
            }
        }
        if std::mem::replace(&mut self.majority, quorum.majority()) != quorum.majority() {
            out.news.push(News::Majority(quorum.majority()));
        }
        let changes = self.belief.evaluate(now, &self.evidence, quorum);
        let changed = !changes.is_empty();
        out.news.extend(changes.into_iter().map(News::Doubt));
        // What goes on is told again before it runs out at the module.
        if !changed && now >= self.told + BELIEVED / 2 {
            let believed: Vec<(Addr, Micros)> = self.belief.believed().collect();
            for (member, since) in believed {
                out.news.push(News::Still { member, since });
            }
            self.told = now;
        }
    }

    /// A datagram came in.
    pub fn receive(&mut self, now: Micros, from: SocketAddr, bytes: &[u8], out: &mut Out) {
        let now = self.forward(now);
        match self.take_in(now, from, bytes, out) {
            Ok(()) => {
                self.tally.received += 1;
                self.settle(now, out);
            }
            Err(why) => self.tally.dropped[why as usize] += 1,
        }
    }

    /// The checks, the cheap ones first: size, source, form, key, newness, the purse for signatures, the signature.
    fn take_in(&mut self, now: Micros, from: SocketAddr, bytes: &[u8], out: &mut Out) -> Result<(), Dropped> {
        if bytes.len() > wire::MOST || bytes.len() <= keys::SIGNATURE {
            return Err(Dropped::Size);
        }
        let address = self.directory.address(from).ok_or(Dropped::Source)?;
        let d = wire::read(bytes).ok_or(Dropped::Malformed)?;
        let author = self.directory.author(d.head.key).filter(|a| *a != self.directory.me);
        let author = author.ok_or(Dropped::Key)?;
        let straight = self.directory.peers.get(author).is_some_and(|p| p.addr == from);
        let session = self.members.peers.get(author).and_then(|p| p.session.as_ref());
        let check = match session {
            Some(s) => s.check(now, &d.head),
            None => Err(Stale::Unproven),
        };
        let me = self.directory.id(self.directory.me);
        match d.body {
            Body::Ping { to, .. } => {
                if !straight {
                    return Err(Dropped::Source);
                }
                if to != me {
                    return Err(Dropped::Unasked);
                }
                let knock = (d.head.start, d.head.seq);
                match check {
                    // A life that is yet to be proved has to be answered, or it never would be.
                    Err(Stale::Unproven) if self.knocks.get(author) != Some(&knock) => {}
                    Err(why) => return Err(why.into()),
                    Ok(_) => {}
                }
            }
            Body::Ack { to, echo, .. } if to == me => {
                if self.members.echoed(author, echo).is_none() {
                    return Err(Dropped::Unasked);
                }
            }
            // An answer to another's question that was passed on: it goes back unread, once.
            Body::Ack { to, echo, .. } => {
                let asked = |h: &Helping| {
                    self.directory.id(h.asker) == to && h.target == author && h.nonce == echo && now < h.until
                };
                let at = self.helping.iter().position(asked).ok_or(Dropped::Unasked)?;
                let asker = self.helping.remove(at).map(|h| h.asker).ok_or(Dropped::Unasked)?;
                if self.keep.owe(now, bytes.len() as f64) {
                    self.post(asker, bytes.to_vec(), out);
                }
                return Ok(());
            }
            Body::Help { to, .. } => {
                check?;
                if !straight {
                    return Err(Dropped::Source);
                }
                if to != me {
                    return Err(Dropped::Unasked);
                }
            }
            Body::Leave | Body::Statement(_) => {
                check?;
            }
        }
        // Who answers a number of ours, or knows that of its own life, is not one who floods in a peer's name.
        let proved = check.is_ok() || matches!(d.body, Body::Ack { .. });
        if !self.checks.allow(now, address, proved) {
            return Err(Dropped::Flood);
        }
        self.tally.checked += 1;
        if !self.directory.verify(d.head.key, d.signed, d.signature) {
            return Err(Dropped::Forged);
        }
        self.apply(now, author, &d, check.ok(), bytes, out);
        Ok(())
    }

    /// What a good signature stands for.
    fn apply(
        &mut self,
        now: Micros,
        author: usize,
        d: &Datagram<'_>,
        age: Option<Micros>,
        bytes: &[u8],
        out: &mut Out,
    ) {
        if age.is_some() {
            if let Some(s) = self.members.peers.get_mut(author).and_then(|p| p.session.as_mut()) {
                s.accept(&d.head);
            }
            self.members.heard(now, author);
        }
        match d.body {
            Body::Ping { answer_to, nonce, hints, .. } => {
                if age.is_none() {
                    if let Some(k) = self.knocks.get_mut(author) {
                        *k = (d.head.start, d.head.seq);
                    }
                }
                self.hinted(hints);
                let own = self.directory.id(author) == answer_to;
                let back =
                    if own { self.members.ask_back(now, author, d.head.start, &mut self.rng) } else { 0 };
                let (head, hints) = (self.head(now), self.hints(now));
                self.post_needed(now, author, wire::ack(head, answer_to, nonce, back, &hints), out);
            }
            Body::Ack { echo, nonce, hints, .. } => {
                let Some(sent) = self.members.echoed(author, echo) else { return };
                self.prove(now, author, sent, echo, &d.head);
                self.hinted(hints);
                if nonce != 0 {
                    let (head, to) = (self.head(now), self.directory.id(author));
                    self.post_needed(now, author, wire::ack(head, to, nonce, 0, &[]), out);
                }
            }
            Body::Help { target, nonce, .. } => {
                let target = self.directory.peer(target).filter(|t| *t != author && *t != self.directory.me);
                let Some(target) = target else { return };
                if self.helping.len() >= HELPING {
                    self.helping.pop_front();
                }
                self.helping.push_back(Helping { asker: author, target, nonce, until: now + HELPED });
                let (head, to) = (self.head(now), self.directory.id(target));
                let asker = self.directory.id(author);
                self.post_needed(now, target, wire::ping(head, to, asker, nonce, &[]), out);
            }
            Body::Leave => {
                self.members.left(now, author);
                self.hand_on(now, author, bytes, out);
            }
            Body::Statement(claims) => self.statement(now, author, d.head.seq, age, claims, bytes, out),
        }
    }

    /// The author answered a fresh number of ours: the life that signed it is the present one.
    fn prove(&mut self, now: Micros, author: usize, sent: Micros, nonce: u64, head: &Head) {
        let Some(p) = self.members.peers.get_mut(author) else { return };
        let same = p.session.as_ref().is_some_and(|s| s.start == head.start);
        if let Some(s) = p.session.as_mut().filter(|_| same) {
            s.anchor(sent, now, head);
            s.accept(head);
        } else {
            if p.session.is_some() && now < p.proved + self.settings.period * 5 {
                self.tally.conflicts += 1;
            }
            p.session = Some(Session::new(sent, now, head, p.session.as_ref()));
            // What it said in a former life ended with that.
            self.belief.silence(author);
            if let Some(n) = self.newest.get_mut(author) {
                *n = None;
            }
        }
        let here = self.directory.peers.get(author).map(|p| p.addr);
        let same_address: Vec<usize> = match here {
            Some(a) => (0..self.directory.peers.len())
                .filter(|i| *i != author && self.directory.peers[*i].addr == a)
                .collect(),
            None => Vec::new(),
        };
        self.members.proved(now, author, nonce, &same_address);
    }

    fn hinted(&mut self, hints: Hints<'_>) {
        for h in hints.iter() {
            if let Some(peer) = self.directory.peer(h.peer) {
                self.members.hint(peer, h.lost);
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn statement(
        &mut self,
        now: Micros,
        author: usize,
        seq: u32,
        age: Option<Micros>,
        claims: Claims<'_>,
        bytes: &[u8],
        out: &mut Out,
    ) {
        let (Some(newest), Some(age)) = (self.newest.get_mut(author), age) else { return };
        // One that was overtaken by a newer one of the same life says nothing any more.
        if newest.is_some_and(|n| seq.wrapping_sub(n) as i32 <= 0) {
            return;
        }
        *newest = Some(seq);
        self.belief.hear(now, author, age, claims.iter());
        // Where all get it straight from the author there is nobody to hand it on to.
        if self.members.live() > FANOUT + 1 {
            self.hand_on(now, author, bytes, out);
        }
    }

    /// Passes a datagram on as it came, with its author's signature.
    fn hand_on(&mut self, now: Micros, author: usize, bytes: &[u8], out: &mut Out) {
        let Some(last) = self.handed.get_mut(author).filter(|at| now >= **at + HANDED) else { return };
        if self.busy {
            return;
        }
        *last = now;
        let to = self.some(HAND_ON, &[author]);
        self.offer(now, &to, bytes, RESERVE, out);
    }
}

/// The purse of membership.
fn keep(now: Micros, s: &Settings) -> Purse {
    Purse::new(now, KEEP * 1e6 / s.period as f64, KEEP * 3.0)
}

/// Whether settings will do, without an instance of them.
///
/// # Errors
/// One line that says what is wrong.
pub fn check(s: &Settings) -> Result<(), String> {
    checked(s, &Own::new(&s.secret)).map(drop)
}

fn checked(s: &Settings, own: &Own) -> Result<Directory, String> {
    let directory = Directory::new(&s.name, own, s.peers.clone())?;
    let within = |what: &str, x: f64, least: f64, most: f64| {
        let fits = x.is_finite() && (least..=most).contains(&x);
        fits.then_some(()).ok_or(format!("'{what}' has to lie from {least} to {most}"))
    };
    within("period_ms", s.period as f64 / 1e3, 100.0, 60_000.0)?;
    within("floor_bytes_per_s", s.floor, 50.0, 1e6)?;
    within("bytes_per_request", s.per_request, 0.0, 64.0)?;
    within("checks_per_s", s.checks, 1.0, 1e4)?;
    Ok(directory)
}
