//! What an instance sends: probes and answers out of the purse of membership, statements out of the other. It owns the
//! making of datagrams and to whom they go. It must never send past a purse, save the one farewell at its end, nor sign
//! another's word: what is handed on goes as it came.
use super::{Gossip, SAVED};
use crate::keys::SIGNATURE_BYTES;
use crate::members::{self, Order};
use crate::told::Output;
use crate::wire::{self, Head, Hint};
use nickelgate::Micros;

/// Peers that a statement of the own goes to straight.
pub(super) const FANOUT: usize = 4;
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
/// Hints on a ping or an answer.
const HINTED: usize = 4;

impl Gossip {
    pub(super) fn head(&mut self, now: Micros) -> Head {
        self.seq = self.seq.wrapping_add(1);
        let uptime = (now.saturating_sub(self.born) / wire::TIME_UNIT) as u32;
        Head { key: self.own.id(), start: self.start, seq: self.seq, uptime }
    }

    pub(super) fn post(&mut self, to: usize, bytes: Vec<u8>, out: &mut Output) {
        let Some(p) = self.directory.peers.get(to) else { return };
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        out.send.push((p.addr, bytes));
    }

    /// Signs and sends what membership needs: it may run into debt, as far as a purse holds.
    pub(super) fn post_needed(&mut self, now: Micros, to: usize, mut bytes: Vec<u8>, out: &mut Output) {
        if self.keep.owe(now, (bytes.len() + SIGNATURE_BYTES) as f64) {
            self.own.sign(&mut bytes);
            self.post(to, bytes, out);
        }
    }

    pub(super) fn hints(&mut self, now: Micros) -> Vec<Hint> {
        let hints = self.members.hints(now, HINTED, &mut self.rng);
        hints.into_iter().map(|(i, lost)| Hint { peer: self.directory.id(i), lost }).collect()
    }

    pub(super) fn carry_out(&mut self, now: Micros, orders: Vec<Order>, out: &mut Output) {
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
    pub(super) fn state_claims(&mut self, now: Micros, out: &mut Output) {
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
    fn offer(&mut self, now: Micros, to: &[usize], bytes: &[u8], reserve: f64, out: &mut Output) {
        for peer in to {
            if self.tell.holds(now, reserve) && self.tell.spend(now, bytes.len() as f64) {
                self.post(*peer, bytes.to_vec(), out);
            } else {
                self.counts.withheld += 1;
            }
        }
    }

    /// Ends by will: some are told, and hand it on.
    pub fn leave(&mut self, now: Micros, out: &mut Output) {
        let now = self.forward(now);
        let head = self.head(now);
        let mut bytes = wire::leave(head);
        self.own.sign(&mut bytes);
        for peer in self.some(FANOUT * 2, &[]) {
            self.post(peer, bytes.clone(), out);
        }
    }

    /// Passes a datagram on as it came, with its author's signature.
    pub(super) fn hand_on(&mut self, now: Micros, author: usize, bytes: &[u8], out: &mut Output) {
        let Some(last) = self.handed.get_mut(author).filter(|at| now >= **at + HANDED) else { return };
        if self.busy {
            return;
        }
        *last = now;
        let to = self.some(HAND_ON, &[author]);
        self.offer(now, &to, bytes, RESERVE, out);
    }
}
