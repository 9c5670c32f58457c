//! Connects the zones library to the proxy: the observations of the proxy's own traffic go to the instance,
//! and what the fleet decided goes to the planner, the counters and the log.
//!
//! The library alone judges zones. The planner is told nothing about them before this proxy knows the fleet's
//! map. Messages use the same socket as those on budgets. Off unless the operators' file has a `[zones]`
//! part.
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

/// How often the instance is given the observations of the proxy's own traffic.
const TRAFFIC_INTERVAL: Micros = 100_000;

/// This proxy's participation in the decisions on zones.
pub struct ZoneClient {
    node: Rc<Node>,
    budgets: Rc<BudgetClient>,
    socket: Rc<ControlSocket>,
    /// The names of the zones, by index.
    names: Vec<String>,
    pair_keys: RefCell<PairKeys>,
    instance: RefCell<Zones>,
}

/// Returns the zones that the settings name. A parent zone is one that other zones are assigned to and that
/// has no proxies itself.
fn zones(node: &Node) -> Vec<Zone> {
    let (settings, names) = (&node.config.settings, &node.config.names);
    let has_proxies = |z: usize| settings.routers_by_zone.get(z).copied().unwrap_or(0) > 0;
    let assigned_parent = |z: usize| names.zone_parents.get(z).copied().unwrap_or(u16::MAX);
    let is_parent = |z: usize| !has_proxies(z) && names.zone_parents.iter().any(|h| usize::from(*h) == z);
    let other_parents = |except: usize| {
        (0..names.zones.len()).filter(|z| is_parent(*z) && *z != except).map(|z| z as u16).collect()
    };
    let zone = |z: usize| Zone {
        kind: if is_parent(z) { Kind::Parent } else { Kind::Location },
        region: if is_parent(z) { z as u16 } else { assigned_parent(z) },
        warm_up: if is_parent(z) { settings.parent_cold_period } else { settings.cold_period },
        fallbacks: if is_parent(z) || settings.direct { other_parents(z) } else { Vec::new() },
    };
    (0..names.zones.len()).map(zone).collect()
}

impl ZoneClient {
    /// Starts the instance and registers it at the control socket.
    ///
    /// # Errors
    /// One line that says why zones cannot start.
    pub fn new(
        node: Rc<Node>,
        budgets: Rc<BudgetClient>,
        zoned: ZoneSettings,
    ) -> Result<Rc<ZoneClient>, String> {
        let identity = budgets.identity_and_settings();
        let (me, shared) = identity.ok_or("zones: they take no part in the tree of regions and sites")?;
        let settings = Settings {
            me,
            proxies: shared.proxies,
            voters: shared.voters,
            own_zone: node.config.settings.zone,
            lease: shared.lease,
            zones: zones(&node),
        };
        let instance = Zones::new(uptime(), settings).map_err(|e| format!("zones: {e}"))?;
        let pair_keys = PairKeys::new(&zoned.secret, zoned.keys, me.index).into();
        let (socket, names) = (budgets.socket(), node.config.names.zones.clone());
        let client =
            Rc::new(ZoneClient { node, budgets, socket, names, pair_keys, instance: instance.into() });
        let receiver = Rc::downgrade(&client);
        let on_datagram = move |datagram: &[u8]| {
            if let Some(client) = receiver.upgrade() {
                client.handle_datagram(datagram);
            }
        };
        client.socket.register(Subject::Zones, Box::new(on_datagram));
        Ok(client)
    }

    /// Applies the public keys of a reloaded operators' file. A key that is no longer in it is no longer
    /// accepted.
    pub fn reload(&self, zoned: ZoneSettings) {
        self.pair_keys.borrow_mut().replace_public_keys(zoned.keys);
    }

    /// Calls the instance, then authenticates and sends its messages. If the map changed, passes it on to the
    /// planner and logs each change.
    fn call(&self, f: impl FnOnce(&mut Zones, Micros, &mut Outgoing)) {
        let mut out = Outgoing::new();
        let current = uptime();
        f(&mut self.instance.borrow_mut(), current, &mut out);
        for (to, bytes) in out {
            let signed = self.pair_keys.borrow_mut().sign(to, &bytes);
            signed.iter().for_each(|datagram| self.socket.send(to, datagram));
        }
        let moves = self.instance.borrow_mut().take_moves();
        if !moves.is_empty() {
            self.apply_map();
            moves.iter().for_each(|m| self.record_move(m));
        }
    }

    /// Verifies a datagram and passes its message to the instance; counts one that cannot be verified.
    fn handle_datagram(&self, datagram: &[u8]) {
        let opened = self.pair_keys.borrow_mut().open(datagram).map(|(from, bytes)| (from, bytes.to_vec()));
        match opened {
            Some((from, bytes)) => {
                let election = self.budgets.election();
                self.call(|z, now, out| z.receive(now, from, &bytes, election, out));
            }
            None => self.node.count(Counter::ZoneForged),
        }
    }

    /// Tells the planner how each zone may be used. Does nothing before the map is known.
    fn apply_map(&self) {
        let zones_instance = self.instance.borrow();
        if !zones_instance.ready(uptime()) {
            return;
        }
        let uses: Vec<ZoneUse> = (0..self.names.len() as u16).map(|n| zones_instance.usage(n)).collect();
        let refused_share = zones_instance.refused_permille();

        drop(zones_instance);
        self.node.plan(|p, now| p.set_zone_uses(now, &uses, refused_share));
    }

    /// Counts and logs a change of a zone's state.
    fn record_move(&self, zone_move: &ZoneMove) {
        self.node.count(Counter::ZoneMoves);
        let name = self.names.get(usize::from(zone_move.zone)).map_or("", String::as_str);
        let new_state = &zone_move.to;
        let failing = format!(
            "{} of {} proxies that tried it see it fail",
            new_state.failing_proxies, new_state.trying_proxies
        );
        let line = match new_state.state {
            State::In if zone_move.from == State::Suspect => "in service, no longer suspect".to_owned(),
            State::In => "in service again".to_owned(),
            State::Suspect => format!("suspect, {failing}"),
            State::Leaving => {
                format!(
                    "left, {failing}; {} of 1000 go elsewhere, {} are refused",
                    new_state.moved_permille, new_state.refused_permille
                )
            }
            State::Out => {
                format!(
                    "out ({:?}), tried again in {} s at the latest",
                    new_state.why,
                    new_state.hold_time() / 1_000_000
                )
            }
            State::Probing => format!("tried by a few ({:?})", new_state.why),
            State::Returning => {
                format!(
                    "returning ({:?}), step {} of {}",
                    new_state.why,
                    new_state.step,
                    threadward_zones::state::RETURN_STEPS
                )
            }
        };
        net::log(&format!("zones: epoch {}: {name} is {line}", zone_move.epoch.number));
    }

    /// Gives the instance the observations of the proxy's own traffic and the newest start in each zone, runs
    /// its timers, tells the planner how zones may be used and updates the counters.
    fn observe_traffic(&self) {
        let zones = self.names.len() as u16;
        let (observations, newest_ages) = self.node.plan(|p, now| {
            let ages: Vec<_> = (0..zones).map(|z| p.newest_start(z).map(|t| now.saturating_sub(t))).collect();
            (p.zone_observations(now), ages)
        });
        let election = self.budgets.election();
        self.call(|z, now, out| {
            newest_ages.iter().enumerate().for_each(|(n, age)| {
                z.set_newest_start(n as u16, age.map(|a| now.saturating_sub(a).max(1)));
            });
            z.observe(now, observations);
            z.tick(now, election, out);
        });
        self.apply_map();
        let zone_counters = self.instance.borrow().counters;
        self.node.plan(|p, _| {
            let values = [
                (Counter::ZoneDecided, zone_counters.decided),
                (Counter::ZoneLeaves, zone_counters.zones_left),
                (Counter::ZoneKept, zone_counters.kept_by_guard),
                (Counter::ZoneMalformed, zone_counters.malformed),
                (Counter::ZoneOutdated, zone_counters.outdated),
                (Counter::ZoneUnconfirmed, zone_counters.unconfirmed),
                (Counter::ZoneBytes, zone_counters.sent_bytes),
            ];
            values.into_iter().for_each(|(c, n)| p.counters.set(c, n));
        });
    }
}

/// Runs the instance's timers and the regular observation of traffic for as long as the program runs.
pub async fn run_timers(client: Rc<ZoneClient>) {
    let mut next_observation = 0;
    loop {
        if now() >= next_observation {
            next_observation = now() + TRAFFIC_INTERVAL;
            client.observe_traffic();
        } else {
            let election = client.budgets.election();
            client.call(|z, now, out| z.tick(now, election, out));
        }
        let wait = client.instance.borrow().next_due().saturating_sub(uptime()).max(1_000);
        sleep_until((now() + wait).min(next_observation)).await;
    }
}
