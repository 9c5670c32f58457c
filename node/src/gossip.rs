//! Connects the gossip library to the proxy: the UDP socket, the timers, the observations of the proxy's own
//! traffic, the suspicions reported to the planner, the counters and the log.
//!
//! The program has a single gossip instance. It alone decides what a peer's messages mean and what is sent.
//! Off unless the operators' file has a `[gossip]` part.
use crate::net::{self, now, sleep_until};
use crate::node::Node;
use crate::operators::GossipSettings as Settings;
use async_io::Async;
use std::cell::{Cell, RefCell};
use std::io::Write;
use std::net::UdpSocket;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::rc::Rc;
use threadward_core::{Addr, Counter, Micros, Outcome};
use threadward_gossip::{Dropped, Gossip, Notice, Output, State, SUSPICION_TTL};

/// How often the gossip instance is given the observations of the proxy's own traffic.
const TRAFFIC_INTERVAL: Micros = 25_000;
/// The counters of dropped datagrams, in the order of `Dropped::ALL`.
const DROPPED: [Counter; Dropped::ALL.len()] = [
    Counter::GossipSize,
    Counter::GossipSource,
    Counter::GossipMalformed,
    Counter::GossipKey,
    Counter::GossipReplayed,
    Counter::GossipOld,
    Counter::GossipUnproven,
    Counter::GossipUnasked,
    Counter::GossipFlood,
    Counter::GossipForged,
];

/// The gossip instance with its socket, and what the proxy keeps between its calls.
pub struct GossipClient {
    node: Rc<Node>,
    socket: Async<UdpSocket>,
    gossip: RefCell<Gossip>,
    /// Requests served, as of the last observation.
    served: Cell<u64>,
    /// Probes per second that may confirm suspicions.
    probes_per_s: Cell<f64>,
    /// The earliest time of the next probe.
    next_probe_at: Cell<Micros>,
}

impl GossipClient {
    /// Binds the socket and starts the gossip instance.
    ///
    /// # Errors
    /// One line that says why gossip cannot start.
    pub fn new(node: Rc<Node>, s: Settings) -> Result<Rc<GossipClient>, String> {
        let listen_addr = node.config.peer_listen.unwrap_or(s.listen);
        let socket = Async::<UdpSocket>::bind(listen_addr).map_err(|e| format!("{listen_addr}: {e}"))?;
        let mut entropy = [0; 32];
        getrandom::fill(&mut entropy).map_err(|e| format!("no random numbers: {e}"))?;
        let gossip = Gossip::new(now(), s.settings, entropy)?;
        Ok(Rc::new(GossipClient {
            node,
            socket,
            gossip: RefCell::new(gossip),
            served: Cell::new(0),
            probes_per_s: Cell::new(s.probes),
            next_probe_at: Cell::new(0),
        }))
    }

    /// Calls the gossip instance, then sends its datagrams and acts on its notices.
    fn call(self: &Rc<Self>, f: impl FnOnce(&mut Gossip, Micros, &mut Output)) {
        let mut out = Output::default();
        f(&mut self.gossip.borrow_mut(), now(), &mut out);
        for (to, bytes) in out.send {
            // A datagram that the socket cannot take is dropped: the protocol tolerates the loss of any
            // datagram.
            self.socket.get_ref().send_to(&bytes, to).ok();
        }
        for notice in out.notices {
            self.apply_notice(notice);
        }
    }

    /// Logs a notice, and passes suspicions on to the planner.
    fn apply_notice(self: &Rc<Self>, notice: Notice) {
        match notice {
            Notice::Peer { name, from, to } => {
                let majority = self.gossip.borrow().quorum();
                let word = match to {
                    State::Unknown => "unknown",
                    State::Live => "live",
                    State::Suspect => "suspect",
                    State::Dead => "dead",
                    State::Left => "left",
                };
                let again = if to == State::Live && from != State::Unknown { " again" } else { "" };
                net::log(&format!(
                    "gossip: peer {name} is {word}{again}, {} of {} live",
                    majority.live, majority.eligible
                ));
            }
            Notice::Majority(true) => {
                net::log("gossip: more than half of the peers are live, hearsay counts")
            }
            Notice::Majority(false) => {
                net::log("gossip: half of the peers or fewer are live, hearsay counts for nothing");
            }
            Notice::WitnessTrust { name, trusted } => {
                let word =
                    if trusted { "is heard again" } else { "is no longer heard: own traffic refutes it" };
                net::log(&format!("gossip: peer {name} {word}"));
            }
            Notice::SuspicionContinues { member, incarnation } => {
                self.node.plan(|p, now| p.report_suspicion(now, member, incarnation, SUSPICION_TTL));
            }
            Notice::Suspicion(suspicion) => {
                let ttl = if suspicion.suspected { SUSPICION_TTL } else { 0 };
                self.node
                    .plan(|p, now| p.report_suspicion(now, suspicion.member, suspicion.incarnation, ttl));

                let id = self.node.pool.member_id(suspicion.member).unwrap_or_default();
                if suspicion.suspected {
                    self.node.count(Counter::GossipSuspicions);
                    net::log(&format!("gossip: {id} is held suspect, {} witnesses", suspicion.witnesses));
                    self.probe(suspicion.member);
                } else {
                    net::log(&format!("gossip: {id} is no longer held suspect"));
                }
            }
        }
    }

    /// Starts a probe that confirms a suspicion, where the platform's settings, the operators' file and its
    /// rate of probes allow one now.
    fn probe(self: &Rc<Self>, member: Addr) {
        let rate = self.probes_per_s.get();
        if !self.node.config.settings.probes || rate <= 0.0 || now() < self.next_probe_at.get() {
            return;
        }
        self.next_probe_at.set(now() + (1e6 / rate) as Micros);
        self.node.count(Counter::GossipProbes);
        let client = self.clone();
        self.node.spawn("probe", async move {
            let Some((outcome, report)) = client.node.pool.probe(member, "health").await else { return };
            let answered_ok = outcome == Outcome::Ok;
            // In a probe that confirms a suspicion, any answer other than OK counts as no answer.
            let outcome = if answered_ok { Outcome::Ok } else { Outcome::Timeout };
            client.node.plan(|p, now| p.probe_ended(now, member, outcome, report));
            client.call(|g, now, out| g.record_probe(now, member, answered_ok, out));
        });
    }

    /// Applies a reloaded operators' file. Returns what the reload reports about gossip.
    pub fn reload(self: &Rc<Self>, s: Settings) -> String {
        self.probes_per_s.set(s.probes);
        let reconfigured = self.gossip.borrow_mut().reconfigure(now(), s.settings);
        match reconfigured {
            Ok(()) => format!("gossip has {} peers with keys", self.gossip.borrow().quorum().eligible),
            Err(e) => format!("gossip keeps its peers: {e}"),
        }
    }

    /// Tells the peers that this proxy is shutting down.
    pub fn leave(self: &Rc<Self>) {
        self.call(|g, now, out| g.leave(now, out));
    }

    /// Gives the instance the observations of the proxy's own traffic, and updates the counters and gauges.
    fn observe_traffic(self: &Rc<Self>) {
        let (health, served, requests_open) = self.node.plan(|p, _| {
            let served = p.counters.get(Counter::Served) + p.counters.get(Counter::Unchanged);
            (p.member_health(), served, p.open_requests())
        });
        let newly_served = served - self.served.replace(served);
        let overloaded = requests_open * 2 > self.node.config.names.max_open;
        self.call(|g, now, out| {
            g.add_served_requests(newly_served);
            g.set_overloaded(now, overloaded);
            g.observe(now, &health, out);
        });
        let g = self.gossip.borrow();
        self.node.live_peers.set(g.quorum().live);
        self.node.suspected_count.set(g.suspected_members().len());
        let totals = g.counts;
        self.node.plan(|p, _| {
            let c = &mut p.counters;
            c.set(Counter::GossipSent, totals.sent);
            c.set(Counter::GossipBytes, totals.sent_bytes);
            c.set(Counter::GossipReceived, totals.received);
            c.set(Counter::GossipWithheld, totals.withheld);
            c.set(Counter::GossipConflicts, totals.conflicts);
            // The sum falls when a member leaves the list, as its count goes with it. The counter must not
            // fall.
            let skips = health.iter().map(|s| u64::from(s.suspicion_skips)).sum::<u64>();
            c.set(Counter::GossipSuspicionSkips, skips.max(c.get(Counter::GossipSuspicionSkips)));
            DROPPED.iter().zip(totals.dropped).for_each(|(counter, n)| c.set(*counter, n));
        });
    }
}

/// Receives datagrams for as long as the program runs.
pub async fn receive(client: Rc<GossipClient>) {
    let on_datagram = |bytes: &[u8], from| {
        client.node.count(Counter::PeerMessages);
        client.call(|g, now, out| g.receive(now, from, bytes, out));
    };
    net::receive_datagrams(&client.socket, threadward_gossip::wire::MAX_DATAGRAM_BYTES, on_datagram).await;
}

/// Runs the instance's timers and the regular observation of traffic for as long as the program runs.
pub async fn run_timers(client: Rc<GossipClient>) {
    let mut next_observation = 0;
    loop {
        if now() >= next_observation {
            next_observation = now() + TRAFFIC_INTERVAL;
            client.observe_traffic();
        }
        client.call(|g, now, out| g.tick(now, out));
        let next = client.gossip.borrow().next_due().min(next_observation);
        // A datagram that arrives during the sleep may make something due sooner. That waits until the next
        // observation at most.
        sleep_until(next).await;
    }
}

/// Writes a new secret key to a new file that only its owner can read, and returns the public key for the
/// operators' file.
///
/// # Errors
/// One line that says why the file cannot be written. An existing file is never touched.
pub fn create_key_file(path: &Path) -> Result<String, String> {
    use base64::engine::general_purpose::URL_SAFE_NO_PAD;
    use base64::Engine;
    let mut secret = [0; 32];
    getrandom::fill(&mut secret).map_err(|e| format!("no random numbers: {e}"))?;
    let with_path = |e: std::io::Error| format!("{}: {e}", path.display());
    let mut file =
        std::fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(path).map_err(with_path)?;
    writeln!(file, "{}", URL_SAFE_NO_PAD.encode(secret)).map_err(with_path)?;
    Ok(URL_SAFE_NO_PAD.encode(threadward_gossip::public_key(&secret)))
}
