//! Ties zones to the proxy: what own traffic showed goes to the instance, what the fleet decided to the planner and the log.
//! It owns the keys of pairs and the one instance of the program. It must never judge a zone itself, take a message under
//! a key that two other proxies share, or let this proxy be taken in before it knows the map. Its messages go by the socket
//! of budgets. Off unless the operators' file has a `[zones]` part.
use crate::budgets::{uptime, Purse};
use crate::net::{self, now, sleep_until};
use crate::node::Node;
use crate::operators::Zoned;
use ed25519_dalek::{SigningKey, VerifyingKey};
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use threadward_core::{Counter, Micros};
use threadward_zones::state::State;
use threadward_zones::{wire, Kind, Moved, Out, Settings, Use, Zone, Zones};

/// Bytes of a MAC: half of the hash (RFC 2104, section 5).
const MAC: usize = 16;
/// The longest datagram.
pub const MOST: usize = wire::MOST + MAC;
/// What is hashed begins with this, so that a key or a MAC made for another purpose never fits.
const DOMAIN: &[u8] = b"threadward-zones-1";
/// How often own traffic is looked at.
const LOOK: Micros = 100_000;

/// The keys that this proxy shares with each other one: at most two, while the other changes its own.
struct Pairs {
    secret: SigningKey,
    publics: Vec<Vec<[u8; 32]>>,
    me: u16,
    /// Made when first used.
    made: BTreeMap<u16, Vec<[u8; 32]>>,
}

impl Pairs {
    /// X25519 (RFC 7748) of the Ed25519 keys, hashed with both public keys.
    fn key(&self, theirs: &[u8; 32]) -> Option<[u8; 32]> {
        let public = VerifyingKey::from_bytes(theirs).ok().filter(|k| !k.is_weak())?;
        let shared = public.to_montgomery().mul_clamped(self.secret.to_scalar_bytes()).to_bytes();
        let own = self.secret.verifying_key().to_bytes();
        let (low, high) = if own < *theirs { (own, *theirs) } else { (*theirs, own) };
        let mut m = Hmac::<Sha256>::new_from_slice(DOMAIN).ok()?;
        [&shared, &low, &high].iter().for_each(|part| m.update(*part));
        Some(m.finalize().into_bytes().into())
    }

    fn of(&mut self, place: u16) -> Option<&[[u8; 32]]> {
        if !self.made.contains_key(&place) {
            let publics = self.publics.get(usize::from(place))?;
            let keys = publics.iter().filter_map(|k| self.key(k)).collect();
            self.made.insert(place, keys);
        }
        self.made.get(&place).map(Vec::as_slice)
    }

    /// The others' keys anew. The places belong to budgets, which a restart alone changes.
    fn renew(&mut self, publics: Vec<Vec<[u8; 32]>>) {
        if publics.len() == self.publics.len() {
            (self.publics, self.made) = (publics, BTreeMap::new());
        }
    }

    fn mac(key: &[u8; 32], from: u16, to: u16, bytes: &[u8]) -> Option<Hmac<Sha256>> {
        let mut m = Hmac::<Sha256>::new_from_slice(key).ok()?;
        m.update(DOMAIN);
        m.update(&from.to_be_bytes());
        m.update(&to.to_be_bytes());
        m.update(bytes);
        Some(m)
    }

    /// A message to a place with its MAC: twice where the other changes its key, for which of the two it has is not known
    /// before it is heard, and it may never have a reason to speak first.
    fn sign(&mut self, to: u16, bytes: &[u8]) -> Vec<Vec<u8>> {
        let me = self.me;
        let keys = self.of(to).unwrap_or_default();
        let signed = |k: &[u8; 32]| {
            let m = Self::mac(k, me, to, bytes)?.finalize().into_bytes();
            Some([bytes, &m[..MAC]].concat())
        };
        keys.iter().filter_map(signed).collect()
    }

    /// The message without its MAC, and the place that it comes from.
    fn open<'a>(&mut self, datagram: &'a [u8]) -> Option<(u16, &'a [u8])> {
        let (bytes, tag) = datagram.split_at_checked(datagram.len().checked_sub(MAC)?)?;
        let from = u16::from_be_bytes(bytes.get(1..3)?.try_into().ok()?);
        let me = self.me;
        let right = |k: &[u8; 32]| {
            Self::mac(k, from, me, bytes).is_some_and(|m| m.verify_truncated_left(tag).is_ok())
        };
        self.of(from)?.iter().any(right).then_some((from, bytes))
    }
}

pub struct Fleet {
    node: Rc<Node>,
    purse: Rc<Purse>,
    names: Vec<String>,
    pairs: RefCell<Pairs>,
    instance: RefCell<Zones>,
}

/// The zones that the settings name: a hub is a zone that others are tied to and in which no proxy stands.
fn zones(node: &Node) -> Vec<Zone> {
    let (s, names) = (&node.config.settings, &node.config.names);
    let stands = |z: usize| s.routers_by_zone.get(z).copied().unwrap_or(0) > 0;
    let tied = |z: usize| names.hubs.get(z).copied().unwrap_or(u16::MAX);
    let hub = |z: usize| !stands(z) && names.hubs.iter().any(|h| usize::from(*h) == z);
    let hubs =
        |but: usize| (0..names.zones.len()).filter(|z| hub(*z) && *z != but).map(|z| z as u16).collect();
    let zone = |z: usize| Zone {
        kind: if hub(z) { Kind::Hub } else { Kind::Location },
        region: if hub(z) { z as u16 } else { tied(z) },
        cold: if hub(z) { s.parent_cold } else { s.cold },
        takers: if hub(z) || s.direct { hubs(z) } else { Vec::new() },
    };
    (0..names.zones.len()).map(zone).collect()
}

impl Fleet {
    /// # Errors
    /// One line that says why it cannot start.
    pub fn new(node: Rc<Node>, purse: Rc<Purse>, z: Zoned) -> Result<Rc<Fleet>, String> {
        let (me, shared) = purse.seat_settings();
        let settings = Settings {
            me,
            proxies: shared.proxies,
            voters: shared.voters,
            stands: node.config.settings.zone,
            lease: shared.lease,
            zones: zones(&node),
        };
        let instance = Zones::new(uptime(), settings).map_err(|e| format!("zones: {e}"))?;
        let pairs = Pairs {
            secret: SigningKey::from_bytes(&z.secret),
            publics: z.keys,
            me: me.place,
            made: BTreeMap::new(),
        };
        let names = node.config.names.zones.clone();
        let fleet = Fleet { node, purse, names, pairs: pairs.into(), instance: instance.into() };
        let fleet = Rc::new(fleet);
        let f = Rc::downgrade(&fleet);
        fleet.purse.hand_over(Box::new(move |datagram| {
            if let Some(f) = f.upgrade() {
                f.received(datagram);
            }
        }));
        Ok(fleet)
    }

    /// Takes over the others' keys of a file that was read anew: one that is no longer there counts no more.
    pub fn reload(&self, z: Zoned) {
        self.pairs.borrow_mut().renew(z.keys);
    }

    /// One call of the instance, what it wants sent, and what follows from the map.
    fn call(&self, f: impl FnOnce(&mut Zones, Micros, &mut Out)) {
        let mut out = Out::new();
        let at = uptime();
        f(&mut self.instance.borrow_mut(), at, &mut out);
        for (to, bytes) in out {
            let signed = self.pairs.borrow_mut().sign(to, &bytes);
            signed.iter().for_each(|b| self.purse.send(to, b));
        }
        let moves = self.instance.borrow_mut().moves();
        if !moves.is_empty() {
            self.follow();
            moves.iter().for_each(|m| self.told(m));
        }
    }

    fn received(&self, datagram: &[u8]) {
        let opened = self.pairs.borrow_mut().open(datagram).map(|(from, bytes)| (from, bytes.to_vec()));
        match opened {
            Some((from, bytes)) => {
                let seat = self.purse.seat();
                self.call(|z, now, out| z.receive(now, from, &bytes, seat, out));
            }
            None => self.node.count(Counter::ZoneForged),
        }
    }

    /// Tells the planner how each zone may be used; nothing before the map is known.
    fn follow(&self) {
        let z = self.instance.borrow();
        if !z.ready(uptime()) {
            return;
        }
        let uses: Vec<Use> = (0..self.names.len() as u16).map(|n| z.usage(n)).collect();
        let refused = z.refused();
        drop(z);
        self.node.plan(|p, now| p.follow_zones(now, &uses, refused));
    }

    fn told(&self, m: &Moved) {
        self.node.count(Counter::ZoneMoves);
        let name = self.names.get(usize::from(m.zone)).map_or("", String::as_str);
        let s = &m.to;
        let said = format!("{} of {} proxies that tried it see it fail", s.bad, s.of);
        let line = match s.state {
            State::In if m.from == State::Suspect => "in service, no longer suspect".to_owned(),
            State::In => "in service again".to_owned(),
            State::Suspect => format!("suspect, {said}"),
            State::Leaving => {
                format!("left, {said}; {} of 1000 go elsewhere, {} are refused", s.moved, s.refused)
            }
            State::Out => {
                format!("out ({:?}), tried again in {} s at the latest", s.why, s.hold() / 1_000_000)
            }
            State::Probing => format!("tried by a few ({:?})", s.why),
            State::Returning => {
                format!("returning ({:?}), step {} of {}", s.why, s.step, threadward_zones::state::STEPS)
            }
        };
        net::log(&format!("zones: epoch {}: {name} is {line}", m.epoch.number));
    }

    /// Looks at own traffic and at the list, and keeps the counters.
    fn look(&self) {
        let zones = self.names.len() as u16;
        let (seen, newest) = self.node.plan(|p, at| {
            let newest: Vec<_> =
                (0..zones).map(|z| p.newest_start(z).map(|t| at.saturating_sub(t))).collect();
            (p.seen(at), newest)
        });
        let seat = self.purse.seat();
        self.call(|z, now, out| {
            newest.iter().enumerate().for_each(|(n, age)| {
                z.listed(n as u16, age.map(|a| now.saturating_sub(a).max(1)));
            });
            z.seen(now, seen);
            z.tick(now, seat, out);
        });
        self.follow();
        let t = self.instance.borrow().tally;
        self.node.plan(|p, _| {
            let figures = [
                (Counter::ZoneDecided, t.decided),
                (Counter::ZoneLeaves, t.leaves),
                (Counter::ZoneKept, t.kept),
                (Counter::ZoneMalformed, t.malformed),
                (Counter::ZoneOld, t.old),
                (Counter::ZoneUnvouched, t.unvouched),
                (Counter::ZoneBytes, t.sent_bytes),
            ];
            figures.into_iter().for_each(|(c, n)| p.counters.set(c, n));
        });
    }
}

/// Sees to what is due.
pub async fn attend(fleet: Rc<Fleet>) {
    let mut look = 0;
    loop {
        if now() >= look {
            look = now() + LOOK;
            fleet.look();
        } else {
            let seat = fleet.purse.seat();
            fleet.call(|z, at, out| z.tick(at, seat, out));
        }
        let wait = fleet.instance.borrow().next_due().saturating_sub(uptime()).max(1_000);
        sleep_until((now() + wait).min(look)).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn pairs(me: u16, publics: &[Vec<[u8; 32]>]) -> Pairs {
        let secret = SigningKey::from_bytes(&[me as u8 + 1; 32]);
        Pairs { secret, publics: publics.to_vec(), me, made: BTreeMap::new() }
    }

    fn public(secret: u8) -> [u8; 32] {
        threadward_gossip::public(&[secret; 32])
    }

    /// A third proxy of the fleet has a key with each of the two, and none of theirs.
    #[test]
    fn a_message_counts_from_its_sender_to_its_receiver_only() {
        let publics = vec![vec![public(1)], vec![public(9), public(2)], vec![public(3)]];
        let [mut a, mut b, mut c] = [0, 1, 2].map(|i| pairs(i, &publics));
        let message = |from: u8| vec![32, 0, from, 1, 2, 3];
        // The other one that a has of b is an old one, or one that it will have.
        let all = a.sign(1, &message(0));
        let taken: Vec<_> = all.iter().filter_map(|m| b.open(m)).collect();
        assert_eq!((all.len(), taken), (2, vec![(0, &message(0)[..])]), "the same key at both ends");
        assert!(all.iter().all(|m| c.open(m).is_none()), "meant for another");
        assert_eq!(a.open(&b.sign(0, &message(1))[0]).map(|(from, _)| from), Some(1));
        assert!(c.sign(1, &message(0)).iter().all(|m| b.open(m).is_none()), "c speaks for a");
        for mut changed in all {
            changed[4] ^= 1;
            assert_eq!(b.open(&changed), None, "changed on the way");
        }
        assert!(a.open(&[]).is_none() && a.open(&[32; 20]).is_none());
        // A file read anew in which c has no key: it is not heard, nor told anything.
        let word = c.sign(0, &message(2)).remove(0);
        assert!(a.open(&word).is_some());
        a.renew(vec![vec![public(1)], vec![public(2)], vec![]]);
        assert!(a.open(&word).is_none() && a.sign(2, &message(0)).is_empty());
    }
}
