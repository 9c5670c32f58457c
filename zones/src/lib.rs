//! Which zones a fleet of proxies serves from: one instance a proxy, which reports, votes on maps, decides while it is the
//! one that may, and says how each zone may be used. It owns the map in use. It must never read a clock, open a socket, act
//! on a map that no majority of the voters took, or go back to an earlier one. `docs/zones.md` says why, `state.rs` is the
//! specification of a zone's states.
#![forbid(unsafe_code)]

mod decider;
pub mod guard;
pub mod judge;
pub mod map;
pub mod state;
pub mod wire;

use decider::Decider;
use map::{Epoch, Map};
use nickelgate::Micros;
use state::{State, Status, STEPS};
pub use threadward_budgets::wire::Author;
use threadward_budgets::{MOST_PROXIES, MOST_VOTERS};
pub use threadward_core::zoned::{Seen, Use};
use wire::Body;

/// Zones that settings may name: a map of them fits one datagram of an Ethernet.
pub const MOST_ZONES: usize = 40;
/// Between two reports while all is well, and while anything is not.
pub const CALM_REPORT: Micros = 1_000_000;
pub const BRISK: Micros = 200_000;
/// What was sent and not answered is sent again after this: several times a way there and back within a region.
pub const AGAIN: Micros = 100_000;
/// A map that a proxy was told and no majority vouches for is dropped after this.
const UNVOUCHED: Micros = 2_000_000;
/// One that starts and hears of no map by then goes on without.
pub const WAITS: Micros = 1_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Caches that the proxies which stand there send to.
    Location,
    /// Central caches, from which all fill.
    Hub,
}

/// A zone, as the settings name it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Zone {
    pub kind: Kind,
    /// Zones of one number are a region: a hub and the locations tied to it.
    pub region: u16,
    /// The time in which its members get warm.
    pub cold: Micros,
    /// Where its load goes while it is out.
    pub takers: Vec<u16>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// The own place in the file and the life, as budgets has them.
    pub me: Author,
    pub proxies: u16,
    /// Places of the voters, odd in number.
    pub voters: Vec<u16>,
    /// The zone that this proxy stands in.
    pub stands: u16,
    pub lease: Micros,
    pub zones: Vec<Zone>,
}

/// # Errors
/// One line that says what is wrong with the settings.
pub fn check(s: &Settings) -> Result<(), String> {
    let n = s.zones.len();
    if n == 0 || n > MOST_ZONES {
        return Err(format!("{n} zones: 1 to {MOST_ZONES}"));
    }
    if let Some(z) = s.zones.iter().flat_map(|z| &z.takers).find(|t| usize::from(**t) >= n) {
        return Err(format!("zone {z} is to take load and is no zone"));
    }
    let voters = &s.voters;
    if voters.len().is_multiple_of(2) || voters.len() > MOST_VOTERS || voters.iter().any(|v| *v >= s.proxies)
    {
        return Err(format!("{} voters: an odd number of proxies, {MOST_VOTERS} at most", voters.len()));
    }
    if usize::from(s.proxies) > MOST_PROXIES || s.me.place >= s.proxies {
        return Err(format!("place {} of {}: {MOST_PROXIES} at most", s.me.place, s.proxies));
    }
    Ok(())
}

/// What the election of budgets says now, to this proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Seat {
    /// It decides now.
    pub decides: bool,
    /// Of a voter: the life that it is promised to.
    pub promised: Option<Author>,
    /// Who decides, as far as it knows.
    pub decider: u16,
}

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Tally {
    pub sent_bytes: u64,
    /// Messages that were none, or of a place that is none.
    pub malformed: u64,
    /// Maps and reports of an earlier epoch or life.
    pub old: u64,
    /// Maps that were adopted, and that no majority vouched for.
    pub adopted: u64,
    pub unvouched: u64,
    /// Moves that this instance decided, and those of them that leave a zone.
    pub decided: u64,
    pub leaves: u64,
    /// Times that the guard kept a zone that fails.
    pub kept: u64,
}

/// Messages to send: to which place, and the bytes.
pub type Out = Vec<(u16, Vec<u8>)>;

/// A move that this proxy acts on from now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Moved {
    pub zone: u16,
    pub epoch: Epoch,
    pub from: State,
    pub to: Status,
}

/// A map that somebody told, until a majority vouches for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Told {
    by: u16,
    map: Map,
    hash: u64,
    /// Voters that vouched, a bit each.
    vouched: u8,
    at: Micros,
    next: Micros,
}

/// A voter's memory.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Voter {
    took: Map,
    /// The last decider that read it, by the number that it asked for: nothing earlier is taken any more.
    barred: Epoch,
    /// It may have forgotten a map until it takes one.
    fresh: bool,
}

/// One proxy's part.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Zones {
    s: Settings,
    seat: Seat,
    map: Map,
    told: Vec<Told>,
    voter: Option<Voter>,
    decider: Decider,
    seen: Vec<Seen>,
    seq: u32,
    next_report: Micros,
    started: Micros,
    now: Micros,
    moved: Vec<Moved>,
    pub tally: Tally,
}

impl Zones {
    /// # Errors
    /// One line that says what is wrong with the settings.
    ///
    /// ```
    /// use threadward_zones::{Author, Kind, Settings, Use, Zone, Zones};
    /// let hub = |other| Zone { kind: Kind::Hub, region: other, cold: 20_000_000, takers: vec![other] };
    /// let s = Settings {
    ///     me: Author { place: 0, life: 7 },
    ///     proxies: 3,
    ///     voters: vec![0, 1, 2],
    ///     stands: 0,
    ///     lease: 1_000_000,
    ///     zones: vec![hub(1), hub(0)],
    /// };
    /// let z = Zones::new(0, s.clone()).unwrap();
    /// assert_eq!(z.usage(1), Use::All, "every zone is in service until a majority says otherwise");
    /// assert!(Zones::new(0, Settings { voters: vec![0, 1], ..s }).is_err(), "two voters make no majority");
    /// ```
    pub fn new(now: Micros, s: Settings) -> Result<Zones, String> {
        check(&s)?;
        let map = Map::new(s.zones.len(), now);
        let votes = s.voters.contains(&s.me.place);
        let voter = votes.then(|| Voter { took: map.clone(), barred: Epoch::default(), fresh: true });
        Ok(Zones {
            decider: Decider::new(s.zones.len()),
            seat: Seat { decider: s.voters.first().copied().unwrap_or(0), ..Seat::default() },
            map,
            told: Vec::new(),
            voter,
            seen: Vec::new(),
            seq: 0,
            next_report: now,
            started: now,
            now,
            moved: Vec::new(),
            tally: Tally::default(),
            s,
        })
    }

    /// The map in use.
    pub fn map(&self) -> &Map {
        &self.map
    }

    /// Whether a map was learned, or waited for long enough: before that a proxy that started takes nothing in.
    pub fn ready(&self, now: Micros) -> bool {
        self.map.epoch.number > 0 || now >= self.started + WAITS
    }

    /// How a zone may be used now.
    pub fn usage(&self, zone: u16) -> Use {
        let Some(s) = self.map.zones.get(usize::from(zone)) else { return Use::All };
        match s.state {
            State::In => Use::All,
            State::Suspect => Use::Doubted,
            State::Leaving | State::Out => Use::None,
            State::Probing if s.tried_by(self.s.me.place) => {
                if s.tries <= state::FEW {
                    Use::Tried
                } else {
                    Use::Part(0)
                }
            }
            State::Probing => Use::None,
            State::Returning => Use::Part(u16::from(s.step.saturating_sub(1)) * 1000 / u16::from(STEPS)),
        }
    }

    /// Thousandths of what this proxy is asked for that are refused at once: what fits nowhere while its zone is out.
    pub fn refused(&self) -> u16 {
        let own = self.map.zones.get(usize::from(self.s.stands));
        own.map_or(0, |s| match s.state {
            State::Leaving | State::Out => s.refused,
            State::Probing if !s.tried_by(self.s.me.place) => s.refused,
            // What a zone that comes back cannot take yet the planner's own cold budgets refuse.
            _ => 0,
        })
    }

    /// The moves since the last call, for the log.
    pub fn moves(&mut self) -> Vec<Moved> {
        std::mem::take(&mut self.moved)
    }

    /// What own attempts showed of each zone in the last two seconds. What fails is reported at once.
    pub fn seen(&mut self, now: Micros, seen: Vec<Seen>) {
        self.now = self.now.max(now);
        let fails = |all: &[Seen], z: u16| all.iter().any(|s| s.zone == z && s.fails());
        let news = seen.iter().any(|s| fails(&seen, s.zone) != fails(&self.seen, s.zone));
        self.seen = seen;
        self.seen.truncate(MOST_ZONES);
        if news {
            self.next_report = self.next_report.min(self.now);
        }
    }

    /// The newest start among a zone's members, as the list tells it.
    pub fn listed(&mut self, zone: u16, newest: Option<Micros>) {
        self.decider.listed(usize::from(zone), newest);
    }

    /// When [`Zones::tick`] has something to do next.
    pub fn next_due(&self) -> Micros {
        let told = self.told.iter().map(|t| t.next).min().unwrap_or(Micros::MAX);
        self.next_report.min(told).min(self.decider.next_due())
    }

    /// Carries out what is due by now; `seat`: what the election says. What is in `out` goes to the places named there,
    /// whose [`Zones::receive`] takes it. With one voter that decides alone:
    ///
    /// ```
    /// use threadward_zones::{Author, Kind, Seat, Seen, Settings, Use, Zone, Zones, AGAIN};
    /// let zone = |region, taker| Zone { kind: Kind::Hub, region, cold: 0, takers: vec![taker] };
    /// let zones = vec![zone(0, 1), zone(1, 0)];
    /// let me = |place| Author { place, life: 7 + u64::from(place) };
    /// let new = |place| {
    ///     let (voters, zones) = (vec![0], zones.clone());
    ///     let s = Settings { me: me(place), proxies: 3, voters, stands: place % 2, lease: 1_000_000, zones };
    ///     Zones::new(0, s).unwrap()
    /// };
    /// let mut all: Vec<Zones> = (0..3).map(new).collect();
    /// assert!(!all[1].ready(0), "it waits for the map");
    /// let seen = |zone, failed, bad| Seen { zone, tried: 9, failed, members: 2, bad, load: 9, busy: 60 };
    /// for n in 0..9 {
    ///     let now = n * AGAIN;
    ///     for from in 0..3 {
    ///         let seat = |p| Seat { decides: p == 0, promised: Some(me(0)), decider: 0 };
    ///         let mut out = Vec::new();
    ///         all[from].seen(now, vec![seen(0, 9, 2), seen(1, 0, 0)]);
    ///         all[from].tick(now, seat(from), &mut out);
    ///         let mut post: Vec<_> = out.into_iter().map(|(to, bytes)| (from, to, bytes)).collect();
    ///         while let Some((from, to, bytes)) = post.pop() {
    ///             let (mut out, to) = (Vec::new(), usize::from(to));
    ///             all[to].receive(now, from as u16, &bytes, seat(to), &mut out);
    ///             post.extend(out.into_iter().map(|(next, bytes)| (to, next, bytes)));
    ///         }
    ///     }
    /// }
    /// assert!(all.iter().all(|z| z.usage(0) == Use::None && z.usage(1) == Use::All), "left by all at once");
    /// assert!(all[1].ready(0) && all[1].moves().iter().all(|m| m.zone == 0));
    /// ```
    pub fn tick(&mut self, now: Micros, seat: Seat, out: &mut Out) {
        self.now = self.now.max(now);
        self.sit(seat);
        self.decide(out);
        self.ask(out);
        if self.now >= self.next_report {
            self.report(out);
        }
    }

    /// Takes a message that is known to come from `from`: who speaks for another is not heard.
    pub fn receive(&mut self, now: Micros, from: u16, bytes: &[u8], seat: Seat, out: &mut Out) {
        self.now = self.now.max(now);
        self.sit(seat);
        let known = |a: &Author| a.place == from && a.place < self.s.proxies && a.place != self.s.me.place;
        match wire::read(bytes, self.now).filter(|(a, _)| known(a)) {
            Some((by, body)) if self.fits(&body) => self.take(by, body, out),
            _ => self.tally.malformed += 1,
        }
    }

    fn sit(&mut self, seat: Seat) {
        let news = seat.decides != self.seat.decides || seat.decider != self.seat.decider;
        if news && (seat.decides || seat.decider != self.s.me.place) {
            self.next_report = self.next_report.min(self.now);
        }
        self.seat = seat;
        if !seat.decides {
            self.decider.stop();
        }
    }

    /// A map of other settings is none.
    fn fits(&self, body: &Body) -> bool {
        match body {
            Body::Holds { map, .. } | Body::Propose { map } | Body::Tell { map } => {
                map.zones.len() == self.s.zones.len()
            }
            _ => true,
        }
    }

    fn post(&mut self, to: u16, body: &Body, out: &mut Out) {
        let bytes = wire::write(self.s.me, body, self.now);
        self.tally.sent_bytes += bytes.len() as u64;
        out.push((to, bytes));
    }

    /// The place of a voter among the voters, as a bit.
    fn voter_bit(&self, place: u16) -> Option<u8> {
        self.s.voters.iter().position(|v| *v == place).map(|i| 1 << i)
    }

    fn majority(&self, bits: u8) -> bool {
        bits.count_ones() as usize * 2 > self.s.voters.len()
    }

    fn take(&mut self, by: Author, body: Body, out: &mut Out) {
        match body {
            Body::Report { seq, to, epoch, hash, place, seen } => {
                if !self.seat.decides {
                    return;
                }
                let fresh =
                    self.decider.reported(self.now, self.s.me, by, seq, to, (epoch, hash), place, seen);
                self.tally.old += u64::from(!fresh);
                self.tell_behind(Some(by.place), out);
            }
            Body::Read { number } => {
                if let Some((barred, fresh, map)) = self.read(by, number) {
                    self.post(by.place, &Body::Holds { barred, fresh, map }, out);
                }
            }
            Body::Holds { barred, fresh, map } => {
                if let Some(bit) = self.voter_bit(by.place).filter(|_| self.seat.decides) {
                    self.decider.held(self.now, self.s.me, barred, bit, fresh, map);
                    self.decide(out);
                }
            }
            Body::Propose { map } => {
                let asked = map.epoch.number;
                if let Some(epoch) = self.proposed(by, map) {
                    self.post(by.place, &Body::Took { epoch }, out);
                } else if let Some((barred, fresh, map)) = self.read(by, 0) {
                    // One that is promised here and may not be followed has to read anew.
                    if barred.number >= asked {
                        self.post(by.place, &Body::Holds { barred, fresh, map }, out);
                    }
                }
            }
            Body::Took { epoch } => {
                if let Some(bit) = self.voter_bit(by.place) {
                    self.decider.took(epoch, bit);
                    self.decide(out);
                }
            }
            Body::Tell { map } => self.hear(by.place, map, out),
            Body::Ask { epoch } => {
                let took = self.voter.as_ref().map(|v| (v.took.epoch, v.took.hash()));
                if let Some((e, hash)) = took.filter(|(e, _)| e.number >= epoch.number) {
                    self.post(by.place, &Body::Vouch { epoch: e, hash }, out);
                }
            }
            Body::Vouch { epoch, hash } => {
                if let Some(bit) = self.voter_bit(by.place) {
                    self.vouched(epoch, hash, bit, out);
                }
            }
        }
    }

    /// A voter answers the life that it is promised to, and bars earlier ones from then on. What a former decider may have
    /// out is one past what a majority took, so the number has to be two past what is known here.
    fn read(&mut self, by: Author, number: u64) -> Option<(Epoch, bool, Map)> {
        let v = self.voter.as_mut().filter(|_| self.seat.promised == Some(by))?;
        if number >= v.barred.number.max(v.took.epoch.number).saturating_add(2) {
            v.barred = Epoch { number, life: by.life };
        }
        Some((v.barred.max(v.took.epoch), v.fresh, v.took.clone()))
    }

    /// A voter takes a map from the life that it is promised to, if it is later than what it took, and one of a number.
    fn proposed(&mut self, by: Author, map: Map) -> Option<Epoch> {
        let promised = self.seat.promised == Some(by) && map.epoch.life == by.life;
        let v = self.voter.as_mut()?;
        let (asked, took, barred) = (map.epoch, v.took.epoch, v.barred);
        let open = asked.number > barred.number || asked == barred;
        if !promised || asked != took && !(open && asked.number > took.number) {
            self.tally.old += 1;
            return None;
        }
        if asked != took {
            v.took = map;
            v.fresh = false;
        }
        Some(asked)
    }

    /// Somebody tells a map: it counts once a majority of the voters says that they took it.
    fn hear(&mut self, by: u16, map: Map, out: &mut Out) {
        let known = self.told.iter().any(|t| t.by == by && t.map.epoch >= map.epoch);
        if self.voter_bit(by).is_none() || map.epoch <= self.map.epoch || known {
            self.tally.old += u64::from(map.epoch < self.map.epoch);
            return;
        }
        self.told.retain(|t| t.by != by);
        let hash = map.hash();
        self.told.push(Told { by, map, hash, vouched: 0, at: self.now, next: self.now });
        self.ask(out);
    }

    fn ask(&mut self, out: &mut Out) {
        let (now, old) = (self.now, self.told.len());
        let held = self.map.epoch;
        self.told.retain(|t| t.map.epoch > held && now < t.at + UNVOUCHED);
        self.tally.unvouched += (old - self.told.len()) as u64;
        let mut due = Vec::new();
        for t in self.told.iter_mut().filter(|t| now >= t.next) {
            t.next = now + AGAIN;
            due.push((t.map.epoch, t.vouched));
        }
        for (epoch, vouched) in due {
            for i in 0..self.s.voters.len() {
                let to = self.s.voters[i];
                if vouched >> i & 1 == 0 && to != self.s.me.place {
                    self.post(to, &Body::Ask { epoch }, out);
                }
            }
        }
    }

    fn vouched(&mut self, epoch: Epoch, hash: u64, bit: u8, out: &mut Out) {
        let fits = |t: &&mut Told| t.map.epoch == epoch && t.hash == hash;
        let Some(t) = self.told.iter_mut().find(fits) else { return };
        t.vouched |= bit;
        let (bits, map) = (t.vouched, t.map.clone());
        let took = self.voter.as_ref().filter(|v| v.took.epoch == epoch && v.took.hash() == hash);
        let own = took.and(self.voter_bit(self.s.me.place)).unwrap_or(0);
        if self.majority(bits | own) {
            self.adopt(map);
            self.pass_on(out);
            // The answer to the decision: it knows then who acts on it.
            self.report(out);
        }
    }

    /// A voter tells its part of the proxies of the map that it just learned is in use: the decider may die before all know.
    fn pass_on(&mut self, out: &mut Out) {
        let voters = self.s.voters.len();
        let Some(own) = self.s.voters.iter().position(|v| *v == self.s.me.place) else { return };
        let me = self.s.me.place;
        for to in (own as u16..self.s.proxies).step_by(voters).filter(|p| *p != me) {
            self.post(to, &Body::Tell { map: self.map.clone() }, out);
        }
    }

    fn adopt(&mut self, map: Map) {
        if map.epoch <= self.map.epoch {
            return;
        }
        let old = std::mem::replace(&mut self.map, map);
        let both = old.zones.iter().zip(&self.map.zones).enumerate();
        let moved = both.filter(|(_, (a, b))| (a.state, a.step) != (b.state, b.step));
        let epoch = self.map.epoch;
        self.moved.extend(moved.map(|(z, (a, b))| Moved { zone: z as u16, epoch, from: a.state, to: *b }));
        // Between two calls for them only the last moves are kept.
        let over = self.moved.len().saturating_sub(MOST_ZONES);
        self.moved.drain(..over);
        let held = self.map.epoch;
        self.told.retain(|t| t.map.epoch > held);
        self.tally.adopted += 1;
        // A voter that was not asked has it now: a majority took it.
        if let Some(v) = self.voter.as_mut().filter(|v| v.took.epoch.number < self.map.epoch.number) {
            (v.took, v.fresh) = (self.map.clone(), false);
        }
    }

    fn report(&mut self, out: &mut Out) {
        let amiss = self.map.zones.iter().any(|z| z.state != State::In) || self.seen.iter().any(Seen::fails);
        self.next_report = self.now + if amiss { BRISK } else { CALM_REPORT };
        self.seq = self.seq.wrapping_add(1);
        let (me, seq, place, seen) = (self.s.me, self.seq, self.s.stands, self.seen.clone());
        let (epoch, hash) = (self.map.epoch.number, self.map.hash());
        if self.seat.decides {
            self.decider.reported(self.now, me, me, seq, me.life, (epoch, hash), place, seen);
        } else if self.seat.decider != me.place {
            let to = self.map.epoch.life;
            self.post(self.seat.decider, &Body::Report { seq, to, epoch, hash, place, seen }, out);
        }
    }

    /// What the decider does now, if this is the one.
    fn decide(&mut self, out: &mut Out) {
        if !self.seat.decides {
            return;
        }
        let me = self.voter_bit(self.s.me.place);
        for asked in self.decider.look(self.now, &self.s, &self.map, &mut self.tally) {
            match asked {
                decider::Wish::Read(to, number) if to == self.s.me.place => {
                    if let (Some((barred, fresh, map)), Some(bit)) = (self.read(self.s.me, number), me) {
                        self.decider.held(self.now, self.s.me, barred, bit, fresh, map);
                    }
                }
                decider::Wish::Read(to, number) => self.post(to, &Body::Read { number }, out),
                decider::Wish::Propose(to, map) if to == self.s.me.place => {
                    if let (Some(epoch), Some(bit)) = (self.proposed(self.s.me, map), me) {
                        self.decider.took(epoch, bit);
                    }
                }
                decider::Wish::Propose(to, map) => self.post(to, &Body::Propose { map }, out),
            }
        }
        if let Some(map) = self.decider.agreed(self.s.voters.len()) {
            self.tally.decided += 1;
            self.adopt(map);
            self.report(out);
        }
        self.tell_behind(None, out);
    }

    /// The map to those that act on another, each once in [`AGAIN`]; `only`: one that just reported.
    fn tell_behind(&mut self, only: Option<u16>, out: &mut Out) {
        if !self.decider.leads() || self.map.epoch.life != self.s.me.life {
            return;
        }
        for to in self.decider.behind(self.now, &self.map, self.s.me.place, only) {
            self.post(to, &Body::Tell { map: self.map.clone() }, out);
            // A voter that missed or forgot it takes it, so that it can vouch for it and tell it to the next decider.
            if self.voter_bit(to).is_some() {
                self.post(to, &Body::Propose { map: self.map.clone() }, out);
            }
        }
    }
}
