//! Real budget instances in virtual time: each with a clock of its own that runs fast or slow, on a network that loses,
//! delays, doubles and cuts; processes that pause, die, start anew or leave. It owns the schedule and the sum of what all
//! may use, taken after every event. It must never look inside an instance: a share counts as it is told.
use crate::agenda::Agenda;
use crate::net::{Net, Weather};
use crate::{stream, unit};
use nickelgate::Micros;
use rand_chacha::ChaCha8Rng;
use rand_core::RngCore;
use threadward_budgets::{Budgets, Out, Settings};

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

enum Event {
    Tick(usize, u64),
    Datagram(usize, Vec<u8>),
}

struct Proxy {
    instance: Option<Budgets>,
    /// The own clock: so far ahead, and running at this rate.
    ahead: Micros,
    rate: f64,
    /// Nothing happens in it until then; datagrams wait.
    paused: Micros,
    /// Its present start, as a number, and when its next tick was put down.
    start: u64,
    armed: Micros,
    /// Bytes that its former starts sent.
    sent: u64,
}

/// Some proxies that share budgets.
pub struct BudgetSimulation {
    pub net: Net,
    settings: Settings,
    proxies: Vec<Proxy>,
    agenda: Agenda<Event>,
    rng: ChaCha8Rng,
    wants: Vec<u32>,
    /// The most that all together could use of each budget at any moment so far.
    pub most: Vec<u32>,
}

impl BudgetSimulation {
    /// None is started yet. Clocks are up to a minute apart and run up to 1% fast or slow.
    pub fn new(seed: u64, settings: Settings, weather: Weather) -> BudgetSimulation {
        let mut rng = stream(seed, 0x6275);
        let proxy = |_| Proxy {
            instance: None,
            ahead: (unit(&mut rng) * 60.0 * S as f64) as Micros,
            rate: 0.99 + 0.02 * unit(&mut rng),
            paused: 0,
            start: 0,
            armed: Micros::MAX,
            sent: 0,
        };
        let proxies = (0..settings.proxies).map(proxy).collect();
        let most = vec![0; settings.wholes.len()];
        let wants = settings.wholes.clone();
        let net = Net::new(seed, weather);
        BudgetSimulation { net, settings, proxies, agenda: Agenda::new(S), rng, wants, most }
    }

    pub fn now(&self) -> Micros {
        self.agenda.now
    }

    fn clock(&self, i: usize) -> Micros {
        let p = &self.proxies[i];
        p.ahead + (self.agenda.now as f64 * p.rate) as Micros
    }

    /// Starts a process of this place; one that runs there is killed before.
    pub fn start(&mut self, i: usize) {
        self.kill(i);
        let mut entropy = [0; 32];
        self.rng.fill_bytes(&mut entropy);
        let settings = Settings { place: i as u16, ..self.settings.clone() };
        let mut b = Budgets::new(self.clock(i), settings, entropy).unwrap_or_else(|e| panic!("{e}"));
        self.wants.iter().enumerate().for_each(|(budget, n)| b.want(budget, *n));
        let p = &mut self.proxies[i];
        (p.instance, p.start, p.armed, p.paused) = (Some(b), p.start + 1, Micros::MAX, 0);
        self.call(i, |b, now, out| b.tick(now, out));
    }

    /// The process ends without a word.
    pub fn kill(&mut self, i: usize) {
        if let Some(b) = self.proxies[i].instance.take() {
            self.proxies[i].sent += b.tally.sent_bytes;
        }
    }

    /// The process leaves, and lives on for what it has still to answer.
    pub fn retire(&mut self, i: usize) {
        self.call(i, |b, _, out| b.leave(out));
    }

    /// The process ends by will.
    pub fn leave(&mut self, i: usize) {
        self.retire(i);
        self.kill(i);
    }

    /// Nothing happens in the process for so long; its clock goes on.
    pub fn pause(&mut self, i: usize, span: Micros) {
        self.proxies[i].paused = self.agenda.now + span;
    }

    /// What one proxy wants of a budget from here on.
    pub fn want(&mut self, i: usize, budget: usize, units: u32) {
        if let Some(b) = &mut self.proxies[i].instance {
            b.want(budget, units);
        }
    }

    pub fn share(&mut self, i: usize, budget: usize) -> u32 {
        let now = self.clock(i);
        self.proxies[i].instance.as_mut().map_or(0, |b| b.share(now, budget))
    }

    /// What all together may use of a budget now.
    pub fn sum(&mut self, budget: usize) -> u32 {
        (0..self.proxies.len()).map(|i| self.share(i, budget)).sum()
    }

    /// The place that divides the budgets now.
    pub fn grantors(&self) -> Vec<usize> {
        let grants = |i: &usize| self.proxies[*i].instance.as_ref().is_some_and(|b| b.grants(self.clock(*i)));
        (0..self.proxies.len()).filter(grants).collect()
    }

    /// Bytes that all have sent so far.
    pub fn bytes(&self) -> u64 {
        let own = |p: &Proxy| p.sent + p.instance.as_ref().map_or(0, |b| b.tally.sent_bytes);
        self.proxies.iter().map(own).sum()
    }

    /// Calls an instance at its own time, and carries out what it wants.
    fn call(&mut self, i: usize, f: impl FnOnce(&mut Budgets, Micros, &mut Out)) {
        let (now, mut out) = (self.clock(i), Out::new());
        let Some(b) = &mut self.proxies[i].instance else { return };
        f(b, now, &mut out);
        let due = b.next_due();
        for (to, bytes) in out {
            for at in self.net.carry(self.agenda.now, i, usize::from(to), bytes.len()) {
                self.agenda.put(at, Event::Datagram(usize::from(to), bytes.clone()));
            }
        }
        let p = &mut self.proxies[i];
        if due == Micros::MAX {
            return;
        }
        // From the own clock to true time, rounded up.
        let at = ((due.saturating_sub(p.ahead)) as f64 / p.rate) as Micros + 2;
        if at < p.armed || p.armed <= self.agenda.now {
            p.armed = at.max(self.agenda.now + 1);
            let (at, start) = (p.armed, p.start);
            self.agenda.put(at, Event::Tick(i, start));
        }
    }

    /// Goes on for so long; after every event the sum is taken.
    pub fn run(&mut self, span: Micros) {
        let until = self.agenda.now + span;
        while let Some(event) = self.agenda.pop(until) {
            let i = match &event {
                Event::Tick(i, _) | Event::Datagram(i, _) => *i,
            };
            if self.proxies[i].paused > self.agenda.now {
                let at = self.proxies[i].paused;
                self.agenda.put(at, event);
                continue;
            }
            match event {
                Event::Tick(_, start) if start == self.proxies[i].start => {
                    self.proxies[i].armed = Micros::MAX;
                    self.call(i, |b, now, out| b.tick(now, out));
                }
                Event::Tick(..) => continue,
                Event::Datagram(_, bytes) => self.call(i, |b, now, out| b.receive(now, &bytes, out)),
            }
            self.look();
        }
    }

    fn look(&mut self) {
        for budget in 0..self.most.len() {
            self.most[budget] = self.most[budget].max(self.sum(budget));
        }
    }
}
