//! Receives datagrams: runs the checks, cheapest first, and then applies the content. Nothing in a datagram
//! is trusted or applied before its signature has been verified.
use super::send::STATEMENT_FANOUT;
use super::{ForwardedPing, Gossip};
use crate::keys::SIGNATURE_BYTES;
use crate::output::{Dropped, Output};
use crate::session::{Rejection, Session};
use crate::wire::{self, Body, Claims, Datagram, Head, Hints};
use nickelgate::Micros;
use std::net::SocketAddr;

/// Maximum number of pings sent on behalf of other peers that may be outstanding, and how long each of them
/// may take.
const MAX_FORWARDED_PINGS: usize = 32;
const FORWARDED_PING_LIFETIME: Micros = 2_000_000;

impl Gossip {
    /// Processes a received datagram and counts it as received or dropped.
    pub fn receive(&mut self, now: Micros, from: SocketAddr, bytes: &[u8], out: &mut Output) {
        let now = self.monotonic(now);
        match self.process(now, from, bytes, out) {
            Ok(()) => {
                self.counts.received += 1;
                self.update_beliefs(now, out);
            }
            Err(why) => self.counts.dropped[why as usize] += 1,
        }
    }

    /// Runs the checks, cheapest first: size, source address, format, key, freshness, the limits on
    /// signature checks, and the signature. Applies the datagram if it passes all of them.
    fn process(
        &mut self,
        now: Micros,
        from: SocketAddr,
        bytes: &[u8],
        out: &mut Output,
    ) -> Result<(), Dropped> {
        if bytes.len() > wire::MAX_DATAGRAM_BYTES || bytes.len() <= SIGNATURE_BYTES {
            return Err(Dropped::Size);
        }
        let address = self.directory.address_index(from).ok_or(Dropped::Source)?;
        let d = wire::read(bytes).ok_or(Dropped::Malformed)?;
        let author = self.directory.peer_by_key_id(d.head.key).filter(|a| *a != self.directory.own_index);
        let author = author.ok_or(Dropped::Key)?;
        let direct = self.directory.peers.get(author).is_some_and(|p| p.addr == from);
        let session = self.members.peers.get(author).and_then(|p| p.session.as_ref());
        let check = match session {
            Some(s) => s.check(now, &d.head),
            None => Err(Rejection::Unproven),
        };
        let me = self.directory.name_id(self.directory.own_index);
        match d.body {
            Body::Ping { to, .. } => {
                if !direct {
                    return Err(Dropped::Source);
                }
                if to != me {
                    return Err(Dropped::Unasked);
                }
                let ping_id = (d.head.start, d.head.seq);
                match check {
                    // A ping from an unconfirmed incarnation has to be answered, because that incarnation
                    // can only be confirmed by the exchange that the answer starts.
                    Err(Rejection::Unproven) if self.unconfirmed_pings.get(author) != Some(&ping_id) => {}
                    Err(why) => return Err(why.into()),
                    Ok(_) => {}
                }
            }
            Body::Ack { to, echo, .. } if to == me => {
                if self.members.probe_sent_at(author, echo).is_none() {
                    return Err(Dropped::Unasked);
                }
            }
            // The answer to a ping that was sent on behalf of another peer. It is passed back once, without
            // being interpreted.
            Body::Ack { to, echo, .. } => {
                let is_answered = |h: &ForwardedPing| {
                    self.directory.name_id(h.asker) == to
                        && h.target == author
                        && h.nonce == echo
                        && now < h.expires_at
                };
                let at = self.forwarded_pings.iter().position(is_answered).ok_or(Dropped::Unasked)?;
                let asker = self.forwarded_pings.remove(at).map(|h| h.asker).ok_or(Dropped::Unasked)?;
                if self.membership_bucket.try_borrow(now, bytes.len() as f64) {
                    self.queue_datagram(asker, bytes.to_vec(), out);
                }
                return Ok(());
            }
            Body::PingRequest { to, .. } => {
                check?;
                if !direct {
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
        // A sender that echoes one of our nonces or knows the start number of a confirmed incarnation is not
        // someone flooding under the peer's name without seeing the traffic.
        let confirmed = check.is_ok() || matches!(d.body, Body::Ack { .. });
        if !self.checks.allow(now, address, confirmed) {
            return Err(Dropped::Flood);
        }
        self.counts.signatures_checked += 1;
        if !self.directory.verify(d.head.key, d.signed, d.signature) {
            return Err(Dropped::Forged);
        }
        self.apply(now, author, &d, check.ok(), bytes, out);
        Ok(())
    }

    /// Applies a datagram whose signature has been verified.
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
            self.members.record_received(now, author);
        }
        match d.body {
            Body::Ping { answer_to, nonce, hints, .. } => {
                if age.is_none() {
                    if let Some(k) = self.unconfirmed_pings.get_mut(author) {
                        *k = (d.head.start, d.head.seq);
                    }
                }
                self.apply_hints(hints);
                let from_asker = self.directory.name_id(author) == answer_to;
                let probe_nonce = if from_asker {
                    self.members.probe_back(now, author, d.head.start, &mut self.rng)
                } else {
                    0
                };
                let (head, hints) = (self.next_head(now), self.hints(now));
                self.send_membership(
                    now,
                    author,
                    wire::ack(head, answer_to, nonce, probe_nonce, &hints),
                    out,
                );
            }
            Body::Ack { echo, nonce, hints, .. } => {
                let Some(sent) = self.members.probe_sent_at(author, echo) else { return };
                self.confirm(now, author, sent, echo, &d.head);
                self.apply_hints(hints);
                if nonce != 0 {
                    let (head, to) = (self.next_head(now), self.directory.name_id(author));
                    self.send_membership(now, author, wire::ack(head, to, nonce, 0, &[]), out);
                }
            }
            Body::PingRequest { target, nonce, .. } => {
                let target = self
                    .directory
                    .peer_by_name_id(target)
                    .filter(|t| *t != author && *t != self.directory.own_index);
                let Some(target) = target else { return };
                if self.forwarded_pings.len() >= MAX_FORWARDED_PINGS {
                    self.forwarded_pings.pop_front();
                }
                self.forwarded_pings.push_back(ForwardedPing {
                    asker: author,
                    target,
                    nonce,
                    expires_at: now + FORWARDED_PING_LIFETIME,
                });
                let (head, to) = (self.next_head(now), self.directory.name_id(target));
                let asker = self.directory.name_id(author);
                self.send_membership(now, target, wire::ping(head, to, asker, nonce, &[]), out);
            }
            Body::Leave => {
                self.members.mark_left(now, author);
                self.forward_datagram(now, author, bytes, out);
            }
            Body::Statement(claims) => self.apply_statement(now, author, d.head.seq, age, claims, bytes, out),
        }
    }

    /// The author answered a fresh nonce, so the incarnation that signed the answer is the current one.
    /// Records it and marks the peer live.
    fn confirm(&mut self, now: Micros, author: usize, sent: Micros, nonce: u64, head: &Head) {
        let Some(p) = self.members.peers.get_mut(author) else { return };
        let known = p.session.as_ref().is_some_and(|s| s.start == head.start);
        if let Some(s) = p.session.as_mut().filter(|_| known) {
            s.anchor(sent, now, head);
            s.accept(head);
        } else {
            if p.session.is_some() && now < p.confirmed_at + self.settings.probe_period * 5 {
                self.counts.conflicts += 1;
            }
            p.session = Some(Session::new(sent, now, head, p.session.as_ref()));
            // Statements of an earlier incarnation no longer count.
            self.belief.clear_statement(author);
            if let Some(n) = self.newest_statement.get_mut(author) {
                *n = None;
            }
        }
        let author_addr = self.directory.peers.get(author).map(|p| p.addr);
        let same_address: Vec<usize> = match author_addr {
            Some(a) => (0..self.directory.peers.len())
                .filter(|i| *i != author && self.directory.peers[*i].addr == a)
                .collect(),
            None => Vec::new(),
        };
        self.members.confirm_live(now, author, nonce, &same_address);
    }

    /// Applies the hints about known peers.
    fn apply_hints(&mut self, hints: Hints<'_>) {
        for h in hints.iter() {
            if let Some(peer) = self.directory.peer_by_name_id(h.peer) {
                self.members.hint(peer, h.unresponsive);
            }
        }
    }

    /// Records a statement and forwards it where its author does not reach all peers.
    #[allow(clippy::too_many_arguments)]
    fn apply_statement(
        &mut self,
        now: Micros,
        author: usize,
        seq: u32,
        age: Option<Micros>,
        claims: Claims<'_>,
        bytes: &[u8],
        out: &mut Output,
    ) {
        let (Some(newest_statement), Some(age)) = (self.newest_statement.get_mut(author), age) else {
            return;
        };
        // Ignore a statement that arrives after a newer one of the same incarnation.
        if newest_statement.is_some_and(|n| seq.wrapping_sub(n) as i32 <= 0) {
            return;
        }
        *newest_statement = Some(seq);
        self.belief.record_statement(now, author, age, claims.iter());
        // With this few live peers the author's own fan-out reaches all of them, so forwarding is not
        // needed.
        if self.members.live_count() > STATEMENT_FANOUT + 1 {
            self.forward_datagram(now, author, bytes, out);
        }
    }
}
