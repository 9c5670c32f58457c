//! Ties gossip to the proxy: its socket, its timers, what own traffic showed, what is believed, and the log. It owns
//! the one gossip instance of the program. It must never judge what a peer says, or send what the instance did not
//! ask for. Off unless the operators' file has a `[gossip]` part.
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

/// How often own traffic is looked at.
const LOOK: Micros = 25_000;
/// The counters of dropped datagrams, in the order of the reasons.
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

pub struct GossipClient {
    node: Rc<Node>,
    socket: Async<UdpSocket>,
    gossip: RefCell<Gossip>,
    /// Requests served by the last look.
    served: Cell<u64>,
    /// Probes a second, and when the next may go out.
    probes: Cell<f64>,
    next_probe: Cell<Micros>,
}

impl GossipClient {
    /// # Errors
    /// One line that says why it cannot start.
    pub fn new(node: Rc<Node>, s: Settings) -> Result<Rc<GossipClient>, String> {
        let at = node.config.peer_listen.unwrap_or(s.listen);
        let socket = Async::<UdpSocket>::bind(at).map_err(|e| format!("{at}: {e}"))?;
        let mut entropy = [0; 32];
        getrandom::fill(&mut entropy).map_err(|e| format!("no random numbers: {e}"))?;
        let gossip = Gossip::new(now(), s.settings, entropy)?;
        Ok(Rc::new(GossipClient {
            node,
            socket,
            gossip: RefCell::new(gossip),
            served: Cell::new(0),
            probes: Cell::new(s.probes),
            next_probe: Cell::new(0),
        }))
    }

    /// One call of the instance, and what it wants done.
    fn call(self: &Rc<Self>, f: impl FnOnce(&mut Gossip, Micros, &mut Output)) {
        let mut out = Output::default();
        f(&mut self.gossip.borrow_mut(), now(), &mut out);
        for (to, bytes) in out.send {
            // One that finds no room is lost, as any may be.
            self.socket.get_ref().send_to(&bytes, to).ok();
        }
        for news in out.notices {
            self.told(news);
        }
    }

    fn told(self: &Rc<Self>, news: Notice) {
        match news {
            Notice::Peer { name, from, to } => {
                let q = self.gossip.borrow().quorum();
                let word = match to {
                    State::Unknown => "unknown",
                    State::Live => "live",
                    State::Suspect => "suspect",
                    State::Dead => "dead",
                    State::Left => "left",
                };
                let again = if to == State::Live && from != State::Unknown { " again" } else { "" };
                net::log(&format!("gossip: peer {name} is {word}{again}, {} of {} live", q.live, q.eligible));
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
            Notice::Suspicion(d) => {
                let lasts = if d.suspected { SUSPICION_TTL } else { 0 };
                self.node.plan(|p, now| p.report_suspicion(now, d.member, d.incarnation, lasts));

                let id = self.node.pool.member_id(d.member).unwrap_or_default();
                if d.suspected {
                    self.node.count(Counter::GossipSuspicions);
                    net::log(&format!("gossip: {id} is held suspect, {} witnesses", d.witnesses));
                    self.probe(d.member);
                } else {
                    net::log(&format!("gossip: {id} is no longer held suspect"));
                }
            }
        }
    }

    /// Confirms a suspicion, where the platform's settings and the file allow it.
    fn probe(self: &Rc<Self>, member: Addr) {
        let rate = self.probes.get();
        if !self.node.config.settings.probes || rate <= 0.0 || now() < self.next_probe.get() {
            return;
        }
        self.next_probe.set(now() + (1e6 / rate) as Micros);
        self.node.count(Counter::GossipProbes);
        let talk = self.clone();
        self.node.spawn("probe", async move {
            let Some((outcome, report)) = talk.node.pool.probe(member, "health").await else { return };
            let good = outcome == Outcome::Ok;
            // A probe that confirms a suspicion counts any other answer as none.
            let outcome = if good { Outcome::Ok } else { Outcome::Timeout };
            talk.node.plan(|p, now| p.probe_ended(now, member, outcome, report));
            talk.call(|g, now, out| g.record_probe(now, member, good, out));
        });
    }

    /// Takes over a file that was read anew; gives what to say of it.
    pub fn reload(self: &Rc<Self>, s: Settings) -> String {
        self.probes.set(s.probes);
        let done = self.gossip.borrow_mut().reconfigure(now(), s.settings);
        match done {
            Ok(()) => format!("gossip has {} peers with keys", self.gossip.borrow().quorum().eligible),
            Err(e) => format!("gossip keeps its peers: {e}"),
        }
    }

    /// Tells the others that this proxy ends.
    pub fn leave(self: &Rc<Self>) {
        self.call(|g, now, out| g.leave(now, out));
    }

    /// Looks at own traffic and keeps the counters.
    fn look(self: &Rc<Self>) {
        let (standings, served, open) = self.node.plan(|p, _| {
            let served = p.counters.get(Counter::Served) + p.counters.get(Counter::Unchanged);
            (p.member_health(), served, p.open_requests())
        });
        let new = served - self.served.replace(served);
        let busy = open * 2 > self.node.config.names.max_open;
        self.call(|g, now, out| {
            g.add_served_requests(new);
            g.set_overloaded(now, busy);
            g.observe(now, &standings, out);
        });
        let g = self.gossip.borrow();
        self.node.live_peers.set(g.quorum().live);
        self.node.suspected_count.set(g.suspected_members().len());
        let t = g.counts;
        self.node.plan(|p, _| {
            let c = &mut p.counters;
            c.set(Counter::GossipSent, t.sent);
            c.set(Counter::GossipBytes, t.sent_bytes);
            c.set(Counter::GossipReceived, t.received);
            c.set(Counter::GossipWithheld, t.withheld);
            c.set(Counter::GossipConflicts, t.conflicts);
            // Members that have left the list take their count with them; the counter never falls.
            let helped = standings.iter().map(|s| u64::from(s.suspicion_skips)).sum::<u64>();
            c.set(Counter::GossipSuspicionSkips, helped.max(c.get(Counter::GossipSuspicionSkips)));
            DROPPED.iter().zip(t.dropped).for_each(|(counter, n)| c.set(*counter, n));
        });
    }
}

/// Reads datagrams for as long as the program runs.
pub async fn receive(talk: Rc<GossipClient>) {
    let take = |bytes: &[u8], from| {
        talk.node.count(Counter::PeerMessages);
        talk.call(|g, now, out| g.receive(now, from, bytes, out));
    };
    net::receive_datagrams(&talk.socket, threadward_gossip::wire::MAX_DATAGRAM_BYTES, take).await;
}

/// Sees to what is due.
pub async fn run_timers(talk: Rc<GossipClient>) {
    let mut look = 0;
    loop {
        if now() >= look {
            look = now() + LOOK;
            talk.look();
        }
        talk.call(|g, now, out| g.tick(now, out));
        let next = talk.gossip.borrow().next_due().min(look);
        // What came in meanwhile may be due sooner: it waits for the next look at the longest.
        sleep_until(next).await;
    }
}

/// Makes a secret in a new file that only its owner can read, and gives the public key for the operators' file.
///
/// # Errors
/// One line that says why not; an existing file is never touched.
pub fn create_key_file(path: &Path) -> Result<String, String> {
    use base64::engine::general_purpose::URL_SAFE_NO_PAD;
    use base64::Engine;
    let mut secret = [0; 32];
    getrandom::fill(&mut secret).map_err(|e| format!("no random numbers: {e}"))?;
    let say = |e: std::io::Error| format!("{}: {e}", path.display());
    let mut file =
        std::fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(path).map_err(say)?;
    writeln!(file, "{}", URL_SAFE_NO_PAD.encode(secret)).map_err(say)?;
    Ok(URL_SAFE_NO_PAD.encode(threadward_gossip::public_key(&secret)))
}
