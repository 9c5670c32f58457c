//! Ties zones to the proxy: what own traffic showed goes to the instance, what the fleet decided to the planner and the log.
//! It judges no zone itself, and this proxy is not taken in before it knows the map. Its messages go by the socket that
//! budgets have too. Off unless the operators' file has a `[zones]` part.
use crate::budgets::BudgetClient;
use crate::control_socket::{ControlSocket, Subject};
use crate::net::{self, now, sleep_until, uptime};
use crate::node::Node;
use crate::operators::ZoneSettings;
use crate::pair_keys::PairKeys;
use std::cell::RefCell;
use std::rc::Rc;
use threadward_core::{Counter, Micros};
use threadward_zones::state::State;
use threadward_zones::{Kind, Outgoing, Settings, Zone, ZoneMove, ZoneUse, Zones};

/// How often own traffic is looked at.
const TRAFFIC_INTERVAL: Micros = 100_000;

/// This proxy's part in the decisions on zones.
pub struct ZoneClient {
    node: Rc<Node>,
    budgets: Rc<BudgetClient>,
    socket: Rc<ControlSocket>,
    names: Vec<String>,
    pairs: RefCell<PairKeys>,
    instance: RefCell<Zones>,
}

/// The zones that the settings name: a hub is a zone that others are tied to and in which no proxy stands.
fn zones(node: &Node) -> Vec<Zone> {
    let (s, names) = (&node.config.settings, &node.config.names);
    let stands = |z: usize| s.routers_by_zone.get(z).copied().unwrap_or(0) > 0;
    let tied = |z: usize| names.zone_parents.get(z).copied().unwrap_or(u16::MAX);
    let hub = |z: usize| !stands(z) && names.zone_parents.iter().any(|h| usize::from(*h) == z);
    let hubs =
        |but: usize| (0..names.zones.len()).filter(|z| hub(*z) && *z != but).map(|z| z as u16).collect();
    let zone = |z: usize| Zone {
        kind: if hub(z) { Kind::Parent } else { Kind::Location },
        region: if hub(z) { z as u16 } else { tied(z) },
        warm_up: if hub(z) { s.parent_cold_period } else { s.cold_period },
        fallbacks: if hub(z) || s.direct { hubs(z) } else { Vec::new() },
    };
    (0..names.zones.len()).map(zone).collect()
}

impl ZoneClient {
    /// # Errors
    /// One line that says why it cannot start.
    pub fn new(
        node: Rc<Node>,
        budgets: Rc<BudgetClient>,
        zoned: ZoneSettings,
    ) -> Result<Rc<ZoneClient>, String> {
        let plain = budgets.identity_and_settings();

        let (me, shared) = plain.ok_or("zones: they take no part in the tree of regions and sites")?;
        let settings = Settings {
            me,
            proxies: shared.proxies,
            voters: shared.voters,
            own_zone: node.config.settings.zone,
            lease: shared.lease,
            zones: zones(&node),
        };
        let instance = Zones::new(uptime(), settings).map_err(|e| format!("zones: {e}"))?;
        let pairs = PairKeys::new(&zoned.secret, zoned.keys, me.index).into();
        let (socket, names) = (budgets.socket(), node.config.names.zones.clone());
        let fleet = Rc::new(ZoneClient { node, budgets, socket, names, pairs, instance: instance.into() });
        let receiver = Rc::downgrade(&fleet);
        let take = move |datagram: &[u8]| {
            if let Some(fleet) = receiver.upgrade() {
                fleet.received(datagram);
            }
        };
        fleet.socket.register(Subject::Zones, Box::new(take));
        Ok(fleet)
    }

    /// Takes over the others' keys of a file that was read anew: one that is no longer there counts no more.
    pub fn reload(&self, zoned: ZoneSettings) {
        self.pairs.borrow_mut().replace_public_keys(zoned.keys);
    }

    /// One call of the instance, what it wants sent, and what follows from the map.
    fn call(&self, f: impl FnOnce(&mut Zones, Micros, &mut Outgoing)) {
        let mut out = Outgoing::new();
        let at = uptime();
        f(&mut self.instance.borrow_mut(), at, &mut out);
        for (to, bytes) in out {
            let signed = self.pairs.borrow_mut().sign(to, &bytes);
            signed.iter().for_each(|datagram| self.socket.send(to, datagram));
        }
        let moves = self.instance.borrow_mut().take_moves();
        if !moves.is_empty() {
            self.follow();
            moves.iter().for_each(|m| self.told(m));
        }
    }

    fn received(&self, datagram: &[u8]) {
        let opened = self.pairs.borrow_mut().open(datagram).map(|(from, bytes)| (from, bytes.to_vec()));
        match opened {
            Some((from, bytes)) => {
                let election = self.budgets.election();
                self.call(|z, now, out| z.receive(now, from, &bytes, election, out));
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
        let uses: Vec<ZoneUse> = (0..self.names.len() as u16).map(|n| z.usage(n)).collect();
        let refused = z.refused_permille();

        drop(z);
        self.node.plan(|p, now| p.set_zone_uses(now, &uses, refused));
    }

    fn told(&self, m: &ZoneMove) {
        self.node.count(Counter::ZoneMoves);
        let name = self.names.get(usize::from(m.zone)).map_or("", String::as_str);
        let s = &m.to;
        let said = format!("{} of {} proxies that tried it see it fail", s.failing_proxies, s.trying_proxies);
        let line = match s.state {
            State::In if m.from == State::Suspect => "in service, no longer suspect".to_owned(),
            State::In => "in service again".to_owned(),
            State::Suspect => format!("suspect, {said}"),
            State::Leaving => {
                format!(
                    "left, {said}; {} of 1000 go elsewhere, {} are refused",
                    s.moved_permille, s.refused_permille
                )
            }
            State::Out => {
                format!("out ({:?}), tried again in {} s at the latest", s.why, s.hold_time() / 1_000_000)
            }
            State::Probing => format!("tried by a few ({:?})", s.why),
            State::Returning => {
                format!(
                    "returning ({:?}), step {} of {}",
                    s.why,
                    s.step,
                    threadward_zones::state::RETURN_STEPS
                )
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
            (p.zone_observations(at), newest)
        });
        let election = self.budgets.election();
        self.call(|z, now, out| {
            newest.iter().enumerate().for_each(|(n, age)| {
                z.set_newest_start(n as u16, age.map(|a| now.saturating_sub(a).max(1)));
            });
            z.observe(now, seen);
            z.tick(now, election, out);
        });
        self.follow();
        let t = self.instance.borrow().counters;
        self.node.plan(|p, _| {
            let figures = [
                (Counter::ZoneDecided, t.decided),
                (Counter::ZoneLeaves, t.zones_left),
                (Counter::ZoneKept, t.kept_by_guard),
                (Counter::ZoneMalformed, t.malformed),
                (Counter::ZoneOutdated, t.outdated),
                (Counter::ZoneUnconfirmed, t.unconfirmed),
                (Counter::ZoneBytes, t.sent_bytes),
            ];
            figures.into_iter().for_each(|(c, n)| p.counters.set(c, n));
        });
    }
}

/// Sees to what is due.
pub async fn run_timers(fleet: Rc<ZoneClient>) {
    let mut look = 0;
    loop {
        if now() >= look {
            look = now() + TRAFFIC_INTERVAL;
            fleet.look();
        } else {
            let election = fleet.budgets.election();
            fleet.call(|z, at, out| z.tick(at, election, out));
        }
        let wait = fleet.instance.borrow().next_due().saturating_sub(uptime()).max(1_000);
        sleep_until((now() + wait).min(look)).await;
    }
}
