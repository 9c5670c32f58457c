//! One proxy's instance: what the proxy calls, how a zone may be used, and which part of it takes which message.
use crate::adoption::Told;
use crate::decider::Decider;
use crate::map::{Epoch, Map};
use crate::state::{self, State, Status, STEPS};
use crate::voter::Voter;
use crate::wire::{self, Body};
use crate::{check, Author, Settings, Tally, ZoneObservation, ZoneUse, MOST_ZONES, WAITS};
use nickelgate::Micros;

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

/// Messages to send: to which place, and the bytes.
pub type Out = Vec<(u16, Vec<u8>)>;

/// A move that this proxy acts on from now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Moved {
    /// The zone that was moved.
    pub zone: u16,
    /// The epoch of the map that says so.
    pub epoch: Epoch,
    /// Its state before.
    pub from: State,
    /// Its status from now on.
    pub to: Status,
}

/// One proxy's part.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Zones {
    pub(crate) settings: Settings,
    pub(crate) seat: Seat,
    pub(crate) map: Map,
    pub(crate) told: Vec<Told>,
    pub(crate) voter: Option<Voter>,
    pub(crate) decider: Decider,
    pub(crate) seen: Vec<ZoneObservation>,
    pub(crate) seq: u32,
    pub(crate) next_report: Micros,
    started: Micros,
    pub(crate) now: Micros,
    pub(crate) moved: Vec<Moved>,
    /// What was counted since the start.
    pub tally: Tally,
}

impl Zones {
    /// An instance that starts now: every zone is in service until it learns a map.
    ///
    /// # Errors
    /// One line that says what is wrong with the settings.
    ///
    /// ```
    /// use threadward_zones::{Author, Kind, Settings, ZoneUse, Zone, Zones};
    /// let hub = |other| Zone { kind: Kind::Hub, region: other, cold: 20_000_000, takers: vec![other] };
    /// let s = Settings {
    ///     me: Author { index: 0, incarnation: 7 },
    ///     proxies: 3,
    ///     voters: vec![0, 1, 2],
    ///     stands: 0,
    ///     lease: 1_000_000,
    ///     zones: vec![hub(1), hub(0)],
    /// };
    /// let z = Zones::new(0, s.clone()).unwrap();
    /// assert_eq!(z.usage(1), ZoneUse::Normal, "every zone is in service until a majority says otherwise");
    /// assert!(Zones::new(0, Settings { voters: vec![0, 1], ..s }).is_err(), "two voters make no majority");
    /// ```
    pub fn new(now: Micros, settings: Settings) -> Result<Zones, String> {
        check(&settings)?;
        let map = Map::new(settings.zones.len(), now);
        let votes = settings.voters.contains(&settings.me.index);
        let voter = votes.then(|| Voter { took: map.clone(), barred: Epoch::default(), fresh: true });
        Ok(Zones {
            decider: Decider::new(settings.zones.len()),
            seat: Seat { decider: settings.voters.first().copied().unwrap_or(0), ..Seat::default() },
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
            settings,
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
    pub fn usage(&self, zone: u16) -> ZoneUse {
        let Some(s) = self.map.zones.get(usize::from(zone)) else { return ZoneUse::Normal };
        match s.state {
            State::In => ZoneUse::Normal,
            State::Suspect => ZoneUse::Suspected,
            State::Leaving | State::Out => ZoneUse::Unused,
            State::Probing if s.tried_by(self.settings.me.index) => {
                if s.tries <= state::FEW {
                    ZoneUse::Trial
                } else {
                    ZoneUse::Ramping(0)
                }
            }
            State::Probing => ZoneUse::Unused,
            State::Returning => {
                ZoneUse::Ramping(u16::from(s.step.saturating_sub(1)) * 1000 / u16::from(STEPS))
            }
        }
    }

    /// Thousandths of what this proxy is asked for that are refused at once: what fits nowhere while its zone is out.
    pub fn refused(&self) -> u16 {
        let own = self.map.zones.get(usize::from(self.settings.stands));
        own.map_or(0, |s| match s.state {
            State::Leaving | State::Out => s.refused,
            State::Probing if !s.tried_by(self.settings.me.index) => s.refused,
            // What a zone that comes back cannot take yet the planner's own cold budgets refuse.
            _ => 0,
        })
    }

    /// The moves since the last call, for the log.
    pub fn moves(&mut self) -> Vec<Moved> {
        std::mem::take(&mut self.moved)
    }

    /// What own attempts showed of each zone in the last two seconds. What fails is reported at once.
    pub fn seen(&mut self, now: Micros, seen: Vec<ZoneObservation>) {
        self.now = self.now.max(now);
        let fails = |all: &[ZoneObservation], z: u16| all.iter().any(|s| s.zone == z && s.is_failing());
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
    /// use threadward_zones::{Author, Kind, Seat, ZoneObservation, Settings, ZoneUse, Zone, Zones, AGAIN};
    /// let zone = |region, taker| Zone { kind: Kind::Hub, region, cold: 0, takers: vec![taker] };
    /// let zones = vec![zone(0, 1), zone(1, 0)];
    /// let me = |index| Author { index, incarnation: 7 + u64::from(index) };
    /// let new = |place| {
    ///     let (voters, zones) = (vec![0], zones.clone());
    ///     let s = Settings { me: me(place), proxies: 3, voters, stands: place % 2, lease: 1_000_000, zones };
    ///     Zones::new(0, s).unwrap()
    /// };
    /// let mut all: Vec<Zones> = (0..3).map(new).collect();
    /// assert!(!all[1].ready(0), "it waits for the map");
    /// let seen = |zone, failed, bad| ZoneObservation {
    ///     zone,
    ///     attempts: 9,
    ///     failed,
    ///     members: 2,
    ///     bad_members: bad,
    ///     load: 9,
    ///     mean_use: 60,
    /// };
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
    /// let left = |z: &Zones| z.usage(0) == ZoneUse::Unused && z.usage(1) == ZoneUse::Normal;
    /// assert!(all.iter().all(left), "left by all at once");
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
        let known = |a: &Author| {
            a.index == from && a.index < self.settings.proxies && a.index != self.settings.me.index
        };
        match wire::read(bytes, self.now).filter(|(a, _)| known(a)) {
            Some((by, body)) if self.fits(&body) => self.take(by, body, out),
            _ => self.tally.malformed += 1,
        }
    }

    /// What the election says now; one that decides no more forgets what it had proposed.
    fn sit(&mut self, seat: Seat) {
        let news = seat.decides != self.seat.decides || seat.decider != self.seat.decider;
        if news && (seat.decides || seat.decider != self.settings.me.index) {
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
                map.zones.len() == self.settings.zones.len()
            }
            _ => true,
        }
    }

    /// Writes a message and has it sent.
    pub(crate) fn post(&mut self, to: u16, body: &Body, out: &mut Out) {
        let bytes = wire::write(self.settings.me, body, self.now);
        self.tally.sent_bytes += bytes.len() as u64;
        out.push((to, bytes));
    }

    /// Takes a message of another instance.
    fn take(&mut self, by: Author, body: Body, out: &mut Out) {
        match body {
            Body::Report { seq, to, epoch, hash, place, seen } => {
                if !self.seat.decides {
                    return;
                }
                let fresh = self.decider.reported(
                    self.now,
                    self.settings.me,
                    by,
                    seq,
                    to,
                    (epoch, hash),
                    place,
                    seen,
                );
                self.tally.old += u64::from(!fresh);
                self.tell_behind(Some(by.index), out);
            }
            Body::Read { number } => {
                if let Some((barred, fresh, map)) = self.read(by, number) {
                    self.post(by.index, &Body::Holds { barred, fresh, map }, out);
                }
            }
            Body::Holds { barred, fresh, map } => {
                if let Some(bit) = self.voter_bit(by.index).filter(|_| self.seat.decides) {
                    self.decider.held(self.now, self.settings.me, barred, bit, fresh, map);
                    self.decide(out);
                }
            }
            Body::Propose { map } => {
                let asked = map.epoch.number;
                if let Some(epoch) = self.proposed(by, map) {
                    self.post(by.index, &Body::Took { epoch }, out);
                } else if let Some((barred, fresh, map)) = self.read(by, 0) {
                    // One that is promised here and may not be followed has to read anew.
                    if barred.number >= asked {
                        self.post(by.index, &Body::Holds { barred, fresh, map }, out);
                    }
                }
            }
            Body::Took { epoch } => {
                if let Some(bit) = self.voter_bit(by.index) {
                    self.decider.took(epoch, bit);
                    self.decide(out);
                }
            }
            Body::Tell { map } => self.hear(by.index, map, out),
            Body::Ask { epoch } => {
                let took = self.voter.as_ref().map(|v| (v.took.epoch, v.took.hash()));
                if let Some((e, hash)) = took.filter(|(e, _)| e.number >= epoch.number) {
                    self.post(by.index, &Body::Vouch { epoch: e, hash }, out);
                }
            }
            Body::Vouch { epoch, hash } => {
                if let Some(bit) = self.voter_bit(by.index) {
                    self.vouched(epoch, hash, bit, out);
                }
            }
        }
    }
}
