//! What comes in: the checks in their order, then what a good signature stands for. It owns that order, the cheap ones
//! first. It must never take anything that a datagram says for true before its signature was checked.
use super::send::FANOUT;
use super::{Gossip, Helping};
use crate::keys::SIGNATURE_BYTES;
use crate::session::{Session, Stale};
use crate::told::{Dropped, Output};
use crate::wire::{self, Body, Claims, Datagram, Head, Hints};
use nickelgate::Micros;
use std::net::SocketAddr;

/// Requests for help that are under way, and how long each may take.
const HELPING: usize = 32;
const HELPED: Micros = 2_000_000;

impl Gossip {
    /// A datagram came in.
    pub fn receive(&mut self, now: Micros, from: SocketAddr, bytes: &[u8], out: &mut Output) {
        let now = self.forward(now);
        match self.take_in(now, from, bytes, out) {
            Ok(()) => {
                self.counts.received += 1;
                self.settle(now, out);
            }
            Err(why) => self.counts.dropped[why as usize] += 1,
        }
    }

    /// The checks, the cheap ones first: size, source, form, key, newness, the purse for signatures, the signature.
    fn take_in(
        &mut self,
        now: Micros,
        from: SocketAddr,
        bytes: &[u8],
        out: &mut Output,
    ) -> Result<(), Dropped> {
        if bytes.len() > wire::MAX_DATAGRAM_BYTES || bytes.len() <= SIGNATURE_BYTES {
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
        self.counts.signatures_checked += 1;
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
        out: &mut Output,
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
            if p.session.is_some() && now < p.proved + self.settings.probe_period * 5 {
                self.counts.conflicts += 1;
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
        out: &mut Output,
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
}
