//! One proxy's instance: the interface that the proxy calls, and the dispatch of messages to the parts of the
//! instance.
use crate::adoption::UnconfirmedMap;
use crate::decider::Decider;
use crate::map::{Epoch, Map};
use crate::state::{self, State, Status, RETURN_STEPS};
use crate::voter::Voter;
use crate::wire::{self, Body};
use crate::{check, Author, Counters, Settings, ZoneObservation, ZoneUse, MAX_ZONES, STARTUP_WAIT};
use nickelgate::Micros;

/// The current state of the election, as this proxy sees it. The election is that of the shared budgets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ElectionView {
    /// Whether this proxy is the decider.
    pub is_decider: bool,
    /// If this proxy is a voter: the incarnation that its vote is promised to.
    pub promised_to: Option<Author>,
    /// The index of the decider, as far as this proxy knows.
    pub decider: u16,
}

/// Messages to send: the index of the receiving proxy, and the bytes.
pub type Outgoing = Vec<(u16, Vec<u8>)>;

/// A transition of a zone that this proxy acts on from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ZoneMove {
    /// The zone.
    pub zone: u16,
    /// The epoch of the map that contains the transition.
    pub epoch: Epoch,
    /// Its previous state.
    pub from: State,
    /// Its new status.
    pub to: Status,
}

/// One proxy's instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Zones {
    pub(crate) settings: Settings,
    pub(crate) election: ElectionView,
    pub(crate) map: Map,
    pub(crate) unconfirmed_maps: Vec<UnconfirmedMap>,
    pub(crate) voter: Option<Voter>,
    pub(crate) decider: Decider,
    pub(crate) observed: Vec<ZoneObservation>,
    pub(crate) report_seq: u32,
    pub(crate) next_report: Micros,
    started: Micros,
    pub(crate) now: Micros,
    pub(crate) moves: Vec<ZoneMove>,
    /// Counts since the start.
    pub counters: Counters,
}

impl Zones {
    /// Creates an instance that starts now. Every zone is in service until it learns a map.
    ///
    /// # Errors
    /// Returns one line that says what is wrong with the settings.
    ///
    /// ```
    /// use threadward_zones::{Author, Kind, Settings, ZoneUse, Zone, Zones};
    /// let parent =
    ///     |other| Zone { kind: Kind::Parent, region: other, warm_up: 20_000_000, fallbacks: vec![other] };
    /// let s = Settings {
    ///     me: Author { index: 0, incarnation: 7 },
    ///     proxies: 3,
    ///     voters: vec![0, 1, 2],
    ///     own_zone: 0,
    ///     lease: 1_000_000,
    ///     zones: vec![parent(1), parent(0)],
    /// };
    /// let z = Zones::new(0, s.clone()).unwrap();
    /// assert_eq!(z.usage(1), ZoneUse::Normal, "every zone is in service until a majority says otherwise");
    /// assert!(Zones::new(0, Settings { voters: vec![0, 1], ..s }).is_err(), "two voters, an even number");
    /// ```
    pub fn new(now: Micros, settings: Settings) -> Result<Zones, String> {
        check(&settings)?;
        let map = Map::new(settings.zones.len(), now);
        let votes = settings.voters.contains(&settings.me.index);
        let voter = votes.then(|| Voter {
            accepted: map.clone(),
            promised_epoch: Epoch::default(),
            no_map_since_start: true,
        });
        Ok(Zones {
            decider: Decider::new(settings.zones.len()),
            election: ElectionView {
                decider: settings.voters.first().copied().unwrap_or(0),
                ..ElectionView::default()
            },
            map,
            unconfirmed_maps: Vec::new(),
            voter,
            observed: Vec::new(),
            report_seq: 0,
            next_report: now,
            started: now,
            now,
            moves: Vec::new(),
            counters: Counters::default(),
            settings,
        })
    }

    /// Returns the map in use.
    pub fn map(&self) -> &Map {
        &self.map
    }

    /// Returns whether a map was learned or waited for long enough. Until then, a proxy that starts takes no
    /// requests.
    pub fn ready(&self, now: Micros) -> bool {
        self.map.epoch.number > 0 || now >= self.started + STARTUP_WAIT
    }

    /// Returns how this proxy may use a zone now.
    pub fn usage(&self, zone: u16) -> ZoneUse {
        let Some(s) = self.map.zones.get(usize::from(zone)) else { return ZoneUse::Normal };
        match s.state {
            State::In => ZoneUse::Normal,
            State::Suspect => ZoneUse::Suspected,
            State::Leaving | State::Out => ZoneUse::Unused,
            State::Probing if s.is_prober(self.settings.me.index) => {
                if s.probers_permille <= state::SMALL_PROBER_SHARE {
                    ZoneUse::Trial
                } else {
                    ZoneUse::Ramping(0)
                }
            }
            State::Probing => ZoneUse::Unused,
            State::Returning => {
                ZoneUse::Ramping(u16::from(s.step.saturating_sub(1)) * 1000 / u16::from(RETURN_STEPS))
            }
        }
    }

    /// Returns the part of this proxy's requests, in thousandths, that it refuses at once because they fit
    /// nowhere while its own zone is out.
    pub fn refused_permille(&self) -> u16 {
        let own = self.map.zones.get(usize::from(self.settings.own_zone));
        own.map_or(0, |s| match s.state {
            State::Leaving | State::Out => s.refused_permille,
            State::Probing if !s.is_prober(self.settings.me.index) => s.refused_permille,
            // What a returning zone cannot take yet is refused by the planner's own budgets for cold members.
            _ => 0,
        })
    }

    /// Returns the transitions since the last call, for the log, and forgets them.
    pub fn take_moves(&mut self) -> Vec<ZoneMove> {
        std::mem::take(&mut self.moves)
    }

    /// Stores what this proxy's own attempts showed of each zone in the last two seconds. If a zone begins to
    /// fail, or stops failing, the next report is due at once.
    pub fn observe(&mut self, now: Micros, observed: Vec<ZoneObservation>) {
        self.now = self.now.max(now);
        let fails = |all: &[ZoneObservation], z: u16| all.iter().any(|s| s.zone == z && s.is_failing());
        let changed = observed.iter().any(|s| fails(&observed, s.zone) != fails(&self.observed, s.zone));
        self.observed = observed;
        self.observed.truncate(MAX_ZONES);
        if changed {
            self.next_report = self.next_report.min(self.now);
        }
    }

    /// Stores when the member of a zone that started last did so, according to the member list.
    pub fn set_newest_start(&mut self, zone: u16, newest: Option<Micros>) {
        self.decider.set_newest_start(usize::from(zone), newest);
    }

    /// Returns when [`Zones::tick`] has something to do next.
    pub fn next_due(&self) -> Micros {
        let query = self.unconfirmed_maps.iter().map(|t| t.next_query).min().unwrap_or(Micros::MAX);
        self.next_report.min(query).min(self.decider.next_due())
    }

    /// Does what is due by now, given the current state of the election, and appends the messages to send to
    /// `out`. The receiving proxies pass them to [`Zones::receive`]. An example with a single voter, which
    /// decides alone:
    ///
    /// ```
    /// use threadward_zones::{
    ///     Author, ElectionView, Kind, ZoneObservation, Settings, ZoneUse, Zone, Zones, RESEND_INTERVAL,
    /// };
    /// let zone = |region, other| Zone { kind: Kind::Parent, region, warm_up: 0, fallbacks: vec![other] };
    /// let zones = vec![zone(0, 1), zone(1, 0)];
    /// let me = |index| Author { index, incarnation: 7 + u64::from(index) };
    /// let new = |index| {
    ///     let (voters, zones) = (vec![0], zones.clone());
    ///     let own_zone = index % 2;
    ///     let s = Settings { me: me(index), proxies: 3, voters, own_zone, lease: 1_000_000, zones };
    ///     Zones::new(0, s).unwrap()
    /// };
    /// let mut all: Vec<Zones> = (0..3).map(new).collect();
    /// assert!(!all[1].ready(0), "it waits for the map");
    /// let observed = |zone, failed, bad_members| ZoneObservation {
    ///     zone,
    ///     attempts: 9,
    ///     failed,
    ///     members: 2,
    ///     bad_members,
    ///     load: 9,
    ///     mean_use: 60,
    /// };
    /// for n in 0..9 {
    ///     let now = n * RESEND_INTERVAL;
    ///     for from in 0..3 {
    ///         let election = |p| ElectionView { is_decider: p == 0, promised_to: Some(me(0)), decider: 0 };
    ///         let mut out = Vec::new();
    ///         all[from].observe(now, vec![observed(0, 9, 2), observed(1, 0, 0)]);
    ///         all[from].tick(now, election(from), &mut out);
    ///         let mut in_flight: Vec<_> = out.into_iter().map(|(to, bytes)| (from, to, bytes)).collect();
    ///         while let Some((from, to, bytes)) = in_flight.pop() {
    ///             let (mut out, to) = (Vec::new(), usize::from(to));
    ///             all[to].receive(now, from as u16, &bytes, election(to), &mut out);
    ///             in_flight.extend(out.into_iter().map(|(next, bytes)| (to, next, bytes)));
    ///         }
    ///     }
    /// }
    /// assert!(all.iter().all(|z| z.usage(0) == ZoneUse::Unused && z.usage(1) == ZoneUse::Normal), "all proxies left it");
    /// assert!(all[1].ready(0) && all[1].take_moves().iter().all(|m| m.zone == 0));
    /// ```
    pub fn tick(&mut self, now: Micros, election: ElectionView, out: &mut Outgoing) {
        self.now = self.now.max(now);
        self.update_election(election);
        self.decide(out);
        self.query_voters(out);
        if self.now >= self.next_report {
            self.report(out);
        }
    }

    /// Handles a message that is known to come from the proxy `from`. A message that claims another sender is
    /// counted as malformed.
    pub fn receive(
        &mut self,
        now: Micros,
        from: u16,
        bytes: &[u8],
        election: ElectionView,
        out: &mut Outgoing,
    ) {
        self.now = self.now.max(now);
        self.update_election(election);
        let known = |a: &Author| {
            a.index == from && a.index < self.settings.proxies && a.index != self.settings.me.index
        };
        match wire::read(bytes, self.now).filter(|(a, _)| known(a)) {
            Some((by, body)) if self.matches_settings(&body) => self.handle(by, body, out),
            _ => self.counters.malformed += 1,
        }
    }

    /// Stores the state of the election. If the decider changed, the next report is due at once. An instance
    /// that is no longer the decider drops its open proposal.
    fn update_election(&mut self, election: ElectionView) {
        let changed =
            election.is_decider != self.election.is_decider || election.decider != self.election.decider;
        if changed && (election.is_decider || election.decider != self.settings.me.index) {
            self.next_report = self.next_report.min(self.now);
        }
        self.election = election;
        if !election.is_decider {
            self.decider.stop();
        }
    }

    /// Returns false for a map with another number of zones than the settings.
    fn matches_settings(&self, body: &Body) -> bool {
        match body {
            Body::Promise { map, .. } | Body::Propose { map } | Body::Announce { map } => {
                map.zones.len() == self.settings.zones.len()
            }
            _ => true,
        }
    }

    /// Encodes a message, counts its bytes and appends it to `out`.
    pub(crate) fn send(&mut self, to: u16, body: &Body, out: &mut Outgoing) {
        let bytes = wire::write(self.settings.me, body, self.now);
        self.counters.sent_bytes += bytes.len() as u64;
        out.push((to, bytes));
    }

    /// Handles a message of another instance.
    fn handle(&mut self, by: Author, body: Body, out: &mut Outgoing) {
        match body {
            Body::Report { seq, to_incarnation, map_number, map_hash, own_zone, observed } => {
                if !self.election.is_decider {
                    return;
                }
                let is_new = self.decider.record_report(
                    self.now,
                    self.settings.me,
                    by,
                    seq,
                    to_incarnation,
                    (map_number, map_hash),
                    own_zone,
                    observed,
                );
                self.counters.outdated += u64::from(!is_new);
                self.announce_to_outdated(Some(by.index), out);
            }
            Body::Prepare { number } => {
                if let Some((promised_epoch, no_map_since_start, map)) = self.prepare(by, number) {
                    self.send(by.index, &Body::Promise { promised_epoch, no_map_since_start, map }, out);
                }
            }
            Body::Promise { promised_epoch, no_map_since_start, map } => {
                if let Some(bit) = self.voter_bit(by.index).filter(|_| self.election.is_decider) {
                    self.decider.handle_promise(
                        self.now,
                        self.settings.me,
                        promised_epoch,
                        bit,
                        no_map_since_start,
                        map,
                    );
                    self.decide(out);
                }
            }
            Body::Propose { map } => {
                let proposed = map.epoch.number;
                if let Some(epoch) = self.accept(by, map) {
                    self.send(by.index, &Body::Accepted { epoch }, out);
                } else if let Some((promised_epoch, no_map_since_start, map)) = self.prepare(by, 0) {
                    // The proposer is the elected decider, but an earlier promise rules its proposal out: it
                    // has to prepare again with a larger number.
                    if promised_epoch.number >= proposed {
                        self.send(by.index, &Body::Promise { promised_epoch, no_map_since_start, map }, out);
                    }
                }
            }
            Body::Accepted { epoch } => {
                if let Some(bit) = self.voter_bit(by.index) {
                    self.decider.handle_accepted(epoch, bit);
                    self.decide(out);
                }
            }
            Body::Announce { map } => self.handle_announcement(by.index, map, out),
            Body::Query { epoch } => {
                let accepted = self.voter.as_ref().map(|v| (v.accepted.epoch, v.accepted.hash()));
                if let Some((e, hash)) = accepted.filter(|(e, _)| e.number >= epoch.number) {
                    self.send(by.index, &Body::Confirm { epoch: e, hash }, out);
                }
            }
            Body::Confirm { epoch, hash } => {
                if let Some(bit) = self.voter_bit(by.index) {
                    self.handle_confirmation(epoch, hash, bit, out);
                }
            }
        }
    }
}
