//! Builds and sends datagrams: probes and answers from the membership budget, statements from the statement
//! budget. Nothing is sent beyond a budget, except the leave message at shutdown. Datagrams of other peers
//! are forwarded unchanged with their author's signature and are never signed again.
use super::{Gossip, STATEMENT_BURST_BYTES};
use crate::keys::SIGNATURE_BYTES;
use crate::members::{self, ProbeMessage};
use crate::output::Output;
use crate::wire::{self, Head, Hint};
use nickelgate::Micros;

/// Number of peers to which this instance sends its own statements directly.
pub(super) const STATEMENT_FANOUT: usize = 4;
/// Number of peers to which another peer's statement is forwarded, once, when the author's fan-out does not
/// reach all peers.
const FORWARD_FANOUT: usize = 2;
/// A changed statement is repeated after `FIRST_REPEAT_DELAY`, because any datagram may be lost, and then
/// every `REPEAT_INTERVAL` while it has claims. An empty statement is sent twice.
const FIRST_REPEAT_DELAY: Micros = 150_000;
const REPEAT_INTERVAL: Micros = 2_000_000;
/// Minimum time between two forwarded datagrams of one author. Forwarding also stops when fewer than
/// `FORWARD_RESERVE_BYTES` are left in the statement budget, so that a peer that sends a lot cannot use up
/// the bytes that this instance needs for its own statements.
const MIN_FORWARD_INTERVAL: Micros = 1_000_000;
const FORWARD_RESERVE_BYTES: f64 = STATEMENT_BURST_BYTES / 2.0;
/// Number of hints on a ping or an answer.
const HINTS_PER_DATAGRAM: usize = 4;

impl Gossip {
    /// Returns the head of the next datagram and advances the sequence number.
    pub(super) fn next_head(&mut self, now: Micros) -> Head {
        self.seq = self.seq.wrapping_add(1);
        let uptime = (now.saturating_sub(self.started_at) / wire::TIME_UNIT) as u32;
        Head { key: self.own.id(), start: self.start, seq: self.seq, uptime }
    }

    /// Counts a datagram and hands it to the caller for sending.
    pub(super) fn queue_datagram(&mut self, to: usize, bytes: Vec<u8>, out: &mut Output) {
        let Some(p) = self.directory.peers.get(to) else { return };
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        out.send.push((p.addr, bytes));
    }

    /// Signs and sends a membership datagram if the budget allows it. The budget may go into debt by up to
    /// its capacity; beyond that the datagram is not sent.
    pub(super) fn send_membership(&mut self, now: Micros, to: usize, mut bytes: Vec<u8>, out: &mut Output) {
        if self.membership_bucket.try_borrow(now, (bytes.len() + SIGNATURE_BYTES) as f64) {
            self.own.sign(&mut bytes);
            self.queue_datagram(to, bytes, out);
        }
    }

    /// Returns the hints for a ping or an answer.
    pub(super) fn hints(&mut self, now: Micros) -> Vec<Hint> {
        let hints = self.members.hints(now, HINTS_PER_DATAGRAM, &mut self.rng);
        hints
            .into_iter()
            .map(|(i, unresponsive)| Hint { peer: self.directory.name_id(i), unresponsive })
            .collect()
    }

    /// Sends the pings and ping requests that are due.
    pub(super) fn send_probe_messages(&mut self, now: Micros, messages: Vec<ProbeMessage>, out: &mut Output) {
        for message in messages {
            match message {
                ProbeMessage::Ping { peer, nonce } => {
                    let (head, hints) = (self.next_head(now), self.hints(now));
                    let (to, me) =
                        (self.directory.name_id(peer), self.directory.name_id(self.directory.own_index));
                    self.send_membership(now, peer, wire::ping(head, to, me, nonce, &hints), out);
                }
                ProbeMessage::PingRequest { helper, target, nonce } => {
                    let head = self.next_head(now);
                    let (to, target) = (self.directory.name_id(helper), self.directory.name_id(target));
                    self.send_membership(now, helper, wire::ping_request(head, to, target, nonce), out);
                }
            }
        }
    }

    /// Returns up to `n` distinct live peers at random, leaving out `excluded`.
    fn pick_live_peers(&mut self, n: usize, excluded: &[usize]) -> Vec<usize> {
        let mut chosen: Vec<usize> = Vec::new();
        for _ in 0..n {
            let eligible = |i: usize, _: &members::Peer| {
                self.members.is_live(i) && !excluded.contains(&i) && !chosen.contains(&i)
            };
            let Some(i) = members::pick_random(&self.members.peers, &mut self.rng, eligible) else { break };
            chosen.push(i);
        }
        chosen
    }

    /// Sends the current claims in one statement, signed once, to a few peers, and schedules the repetition.
    pub(super) fn send_statement(&mut self, now: Micros, out: &mut Output) {
        (self.last_statement_at, self.statement_due) = (now, None);
        let claims = self.evidence.claims(now);
        if claims.is_empty() {
            self.empty_statements_left = self.empty_statements_left.saturating_sub(1);
        } else {
            self.empty_statements_left = 2;
        }
        if self.empty_statements_left > 0 {
            self.statement_due = Some(
                now + if std::mem::take(&mut self.claims_changed) {
                    FIRST_REPEAT_DELAY
                } else {
                    REPEAT_INTERVAL
                },
            );
        }
        let to = self.pick_live_peers(STATEMENT_FANOUT, &[]);
        let head = self.next_head(now);
        let mut bytes = wire::statement(head, &claims);
        self.own.sign(&mut bytes);
        self.send_statement_to(now, &to, &bytes, 0.0, out);
    }

    /// Sends a statement to each peer while the budget has at least `reserve` bytes and enough for the
    /// datagram; counts those that were withheld.
    fn send_statement_to(&mut self, now: Micros, to: &[usize], bytes: &[u8], reserve: f64, out: &mut Output) {
        for peer in to {
            if self.statement_bucket.has(now, reserve)
                && self.statement_bucket.try_take(now, bytes.len() as f64)
            {
                self.queue_datagram(*peer, bytes.to_vec(), out);
            } else {
                self.counts.withheld += 1;
            }
        }
    }

    /// Tells a few peers that this instance is shutting down. They forward the message.
    pub fn leave(&mut self, now: Micros, out: &mut Output) {
        let now = self.monotonic(now);
        let head = self.next_head(now);
        let mut bytes = wire::leave(head);
        self.own.sign(&mut bytes);
        for peer in self.pick_live_peers(STATEMENT_FANOUT * 2, &[]) {
            self.queue_datagram(peer, bytes.clone(), out);
        }
    }

    /// Forwards a datagram unchanged, with its author's signature, unless this author's datagrams were
    /// forwarded too recently or the proxy is overloaded.
    pub(super) fn forward_datagram(&mut self, now: Micros, author: usize, bytes: &[u8], out: &mut Output) {
        let Some(last) = self.forwarded_at.get_mut(author).filter(|at| now >= **at + MIN_FORWARD_INTERVAL)
        else {
            return;
        };
        if self.overloaded {
            return;
        }
        *last = now;
        let to = self.pick_live_peers(FORWARD_FANOUT, &[author]);
        self.send_statement_to(now, &to, bytes, FORWARD_RESERVE_BYTES, out);
    }
}
