//! Gossip instances on the network, with no planners behind them: what their own traffic showed is as the script says.
//! It owns their lives, clocks and the record of what was sent. It must never touch an instance but through the
//! calls that a proxy has.
use crate::agenda::Agenda;
use crate::net::{Net, Weather};
use crate::stream;
use nickelgate::{Addr, Micros, Outcome, Role, Standing};
use rand_core::RngCore;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use threadward_gossip::{public, Gossip, News, Out, PeerConfig, Settings, State};

/// How often an instance looks at its own traffic.
pub const LOOK: Micros = 25_000;

enum Event {
    Arrive { from: SocketAddr, to: usize, bytes: Vec<u8> },
    Tick(usize, u64),
    Look(usize, u64),
}

/// One place of the gang: an instance, or none at the moment.
pub struct Place {
    pub gossip: Option<Gossip>,
    pub settings: Settings,
    /// How far its clock is ahead of the agenda's.
    pub ahead: Micros,
    /// What its own traffic shows.
    pub standings: Vec<Standing>,
    /// Whom it accuses of having just failed, whatever its traffic shows: a liar.
    pub accuses: Vec<Addr>,
    pub news: Vec<News>,
    addr: SocketAddr,
    life: u64,
    /// When it ticks next, so that one timer is enough.
    armed: Micros,
}

pub struct Gang {
    pub places: Vec<Place>,
    pub net: Net,
    /// Who lives at an address: more than one, where a file was changed before its instance ended.
    homes: BTreeMap<SocketAddr, Vec<usize>>,
    agenda: Agenda<Event>,
    /// Every datagram that was sent: when, from, to, and its bytes.
    pub sent: Vec<(Micros, usize, usize, Vec<u8>)>,
    pub record: bool,
    /// Requests that each instance serves in a second.
    pub served: u64,
    seed: u64,
}

pub fn address(i: usize) -> SocketAddr {
    let [_, _, a, b] = (i as u32 + 1).to_be_bytes();
    SocketAddr::from(([127, 1, a, b], 7946))
}

pub fn secret(i: usize) -> [u8; 32] {
    let mut s = [7; 32];
    s[..8].copy_from_slice(&(i as u64 + 1).to_be_bytes());
    s
}

pub fn peer(i: usize, seeds: usize) -> PeerConfig {
    PeerConfig { name: format!("n{i}"), addr: address(i), keys: vec![public(&secret(i))], seed: i < seeds }
}

/// A hub or cache as a standing that shows nothing wrong.
pub fn well(member: Addr, role: Role) -> Standing {
    Standing { member, since: 0, role, strikes: 0, skipped: false, failed: 0, why: None, good: 0, helped: 0 }
}

pub fn hub(n: u8) -> Addr {
    Addr { ip: [10, 9, 0, n], port: 80 }
}

impl Gang {
    /// `n` instances of which the first `seeds` are asked first; all start together.
    pub fn new(n: usize, seeds: usize, seed: u64, weather: Weather) -> Gang {
        let peers: Vec<PeerConfig> = (0..n).map(|i| peer(i, seeds)).collect();
        let mut gang = Gang {
            places: Vec::new(),
            net: Net::new(seed, weather),
            homes: BTreeMap::new(),
            agenda: Agenda::new(1_000_000_000),
            sent: Vec::new(),
            record: false,
            served: 60,
            seed,
        };
        gang.add(peers);
        for i in 0..n {
            gang.start(i);
        }
        gang
    }

    /// Makes room for the peers of a longer file that have no place yet. They start when told.
    pub fn add(&mut self, peers: Vec<PeerConfig>) {
        for (i, p) in peers.iter().enumerate().skip(self.places.len()) {
            self.places.push(Place {
                gossip: None,
                settings: Settings::new(&p.name, secret(i), peers.clone()),
                ahead: 0,
                standings: (1..=4).map(|n| well(hub(n), Role::Parent)).collect(),
                accuses: Vec::new(),
                news: Vec::new(),
                addr: p.addr,
                life: 0,
                armed: Micros::MAX,
            });
        }
    }

    pub fn now(&self) -> Micros {
        self.agenda.now
    }

    fn clock(&self, i: usize) -> Micros {
        self.agenda.now + self.places[i].ahead
    }

    /// Starts an instance, from nothing.
    pub fn start(&mut self, i: usize) {
        let now = self.clock(i);
        let p = &mut self.places[i];
        p.life += 1;
        let own = p.settings.peers.iter().find(|c| c.name == p.settings.name);
        p.addr = own.map_or(p.addr, |c| c.addr);
        let (addr, homes) = (p.addr, &mut self.homes);
        homes.values_mut().for_each(|h| h.retain(|at| *at != i));
        homes.entry(addr).or_default().push(i);
        let mut entropy = [0; 32];
        stream(self.seed, (i as u64) << 20 | p.life).fill_bytes(&mut entropy);
        let gossip = Gossip::new(now, p.settings.clone(), entropy);
        p.gossip = Some(gossip.unwrap_or_else(|e| panic!("n{i}: {e}")));
        p.armed = Micros::MAX;
        let life = p.life;
        self.agenda.put(self.agenda.now, Event::Look(i, life));
        self.arm(i);
    }

    /// Its clock was moved: what it waits for is reckoned anew, as a timer of the system's would be.
    pub fn wake(&mut self, i: usize) {
        self.places[i].armed = Micros::MAX;
        self.call(i, |g, now, out| g.tick(now, out));
    }

    /// Ends an instance with no word.
    pub fn kill(&mut self, i: usize) {
        self.places[i].gossip = None;
    }

    fn arm(&mut self, i: usize) {
        let p = &mut self.places[i];
        let Some(due) = p.gossip.as_ref().map(|g| g.next_due().saturating_sub(p.ahead)) else { return };
        if due < p.armed {
            p.armed = due.max(self.agenda.now);
            self.agenda.put(p.armed, Event::Tick(i, p.life));
        }
    }

    /// One call of an instance, and what it wants done.
    pub fn call(&mut self, i: usize, f: impl FnOnce(&mut Gossip, Micros, &mut Out)) {
        let now = self.clock(i);
        let mut out = Out::default();
        let Some(g) = self.places[i].gossip.as_mut() else { return };
        f(g, now, &mut out);
        self.places[i].news.extend(out.news);
        for (addr, bytes) in out.send {
            // Several may stand in the file under one address: whoever lives there gets it.
            for to in self.homes.get(&addr).cloned().unwrap_or_default() {
                self.send(i, to, &bytes);
            }
        }
        self.arm(i);
    }

    fn send(&mut self, from: usize, to: usize, bytes: &[u8]) {
        assert!(bytes.len() <= 256, "a datagram of {} bytes", bytes.len());
        if self.record {
            self.sent.push((self.agenda.now, from, to, bytes.to_vec()));
        }
        for at in self.net.carry(self.agenda.now, from, to, bytes.len()) {
            let from = self.places[from].addr;
            self.agenda.put(at, Event::Arrive { from, to, bytes: bytes.to_vec() });
        }
    }

    /// A datagram from anywhere, as the script has it, now.
    pub fn inject(&mut self, from: SocketAddr, to: usize, bytes: &[u8]) {
        self.call(to, |g, now, out| g.receive(now, from, bytes, out));
    }

    /// Runs for a while.
    pub fn run(&mut self, span: Micros) {
        let until = self.agenda.now + span;
        while let Some(event) = self.agenda.pop(until) {
            match event {
                Event::Arrive { from, to, bytes } => {
                    self.call(to, |g, now, out| g.receive(now, from, &bytes, out));
                }
                // One that was armed anew for an earlier time is void.
                Event::Tick(i, life)
                    if self.places[i].life == life && self.places[i].armed == self.agenda.now =>
                {
                    self.places[i].armed = Micros::MAX;
                    self.call(i, |g, now, out| g.tick(now, out));
                }
                Event::Look(i, life) if self.places[i].life == life && self.places[i].gossip.is_some() => {
                    let now = self.clock(i);
                    let mut shown = self.places[i].standings.clone();
                    for s in shown.iter_mut().filter(|s| self.places[i].accuses.contains(&s.member)) {
                        (s.failed, s.skipped, s.why, s.good) = (now, true, Some(Outcome::Timeout), 0);
                    }
                    let second = self.agenda.now % 1_000_000 < LOOK;
                    let served = if second { self.served } else { 0 };
                    self.call(i, |g, now, out| {
                        g.served(served);
                        g.observe(now, &shown, out);
                    });
                    self.agenda.put(self.agenda.now + LOOK, Event::Look(i, life));
                }
                _ => {}
            }
        }
    }

    /// An instance's own traffic shows from now on that a member fails, or answers well.
    pub fn shows(&mut self, i: usize, member: Addr, fails: bool) {
        let now = self.clock(i);
        for s in self.places[i].standings.iter_mut().filter(|s| s.member == member) {
            if fails {
                (s.failed, s.skipped, s.why) = (now, true, Some(Outcome::Timeout));
            } else {
                (s.good, s.skipped) = (now, false);
            }
        }
    }

    pub fn gossip(&self, i: usize) -> &Gossip {
        match &self.places[i].gossip {
            Some(g) => g,
            None => panic!("n{i} is not running"),
        }
    }

    /// How many instances each one holds live, itself among them; 0 where none runs.
    pub fn live(&self) -> Vec<usize> {
        let live = |p: &Place| p.gossip.as_ref().map_or(0, |g| g.quorum().live);
        self.places.iter().map(live).collect()
    }

    /// What an instance holds of another.
    pub fn sees(&self, i: usize, other: usize) -> State {
        self.gossip(i).state(&format!("n{other}")).unwrap_or_default()
    }

    pub fn believes(&self, i: usize) -> Vec<Addr> {
        self.gossip(i).believed()
    }
}
