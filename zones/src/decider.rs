//! The decider: it reads what a majority of the voters took last, then looks at the reports and proposes one map after the
//! other. It owns the reports and the proposal that is out. It must never act on its own proposal before a majority took
//! it, nor have two out at once.
use crate::guard::{self, Carries};
use crate::judge::{Reports, Verdict, FRESH, LIVE};
use crate::map::{Epoch, Map};
use crate::state::{self, Around, State, Status};
use crate::{Author, Kind, Settings, Tally, ZoneObservation, AGAIN};
use nickelgate::Micros;
use std::collections::BTreeMap;
use std::mem::discriminant;

/// A proposal that no majority took by then may be barred: several ways there and back.
const STUCK: Micros = 3 * AGAIN;
/// Numbers of maps rise by little: one so far beyond all that are known is a lie, and could use them up.
const LEAP: u64 = 1 << 32;

/// What was seen of a zone at the last look: the verdict, since when, and since when it is amiss, or is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Look {
    verdict: Verdict,
    stands: Micros,
    side: Micros,
    /// The guard keeps it in service although it fails.
    kept: bool,
}

impl Look {
    /// Nothing is known, from now on.
    fn none(now: Micros) -> Look {
        Look { verdict: Verdict::Unknown, stands: now, side: now, kept: false }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
enum Phase {
    #[default]
    Follows,
    /// Voters that answered, a bit each: those that remember, and those that took none since they started.
    Reads {
        began: Micros,
        sure: u8,
        fresh: u8,
        best: Map,
        next: Micros,
    },
    Leads,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proposal {
    map: Map,
    took: u8,
    began: Micros,
    next: Micros,
}

/// What is to be sent to a voter.
pub(crate) enum Wish {
    Read(u16, u64),
    Propose(u16, Map),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Decider {
    phase: Phase,
    /// The largest number of a map that this life asked for or proposed: none is ever given twice.
    number: u64,
    reports: Reports,
    /// Proxies that report to another decider's life: when, and the number of the map that they act on.
    hello: BTreeMap<u16, (Micros, u64)>,
    told: BTreeMap<u16, Micros>,
    carries: Vec<Carries>,
    looks: Vec<Look>,
    newest: Vec<Option<Micros>>,
    proposal: Option<Proposal>,
    next: Micros,
}

/// The zones as the guard is to see them: one that has just returned takes no load of others, until it has held for as
/// long as a hold.
fn settled(zones: &[Status], now: Micros) -> Vec<Status> {
    let new = |z: &&mut Status| z.state == State::In && z.returning > 0 && now < z.since + state::HOLD;
    let mut seen = zones.to_vec();
    seen.iter_mut().filter(new).for_each(|z| z.state = State::Returning);
    seen
}

impl Decider {
    pub fn new(zones: usize) -> Decider {
        Decider {
            phase: Phase::Follows,
            number: 0,
            reports: Reports::default(),
            hello: BTreeMap::new(),
            told: BTreeMap::new(),
            carries: vec![Carries::default(); zones],
            looks: vec![Look::none(0); zones],
            newest: vec![None; zones],
            proposal: None,
            next: 0,
        }
    }

    /// The authority is over, or never began: what was proposed and not taken is nothing.
    pub fn stop(&mut self) {
        if self.phase != Phase::Follows {
            // Reports stay: without them a late one of a former life would be taken for the newest.
            let old = std::mem::replace(self, Decider::new(self.carries.len()));
            (self.newest, self.number, self.carries, self.reports) =
                (old.newest, old.number, old.carries, old.reports);
        }
    }

    pub fn leads(&self) -> bool {
        self.phase == Phase::Leads
    }

    pub fn listed(&mut self, zone: usize, newest: Option<Micros>) {
        if let Some(n) = self.newest.get_mut(zone) {
            *n = newest;
        }
    }

    pub fn next_due(&self) -> Micros {
        if self.phase == Phase::Follows {
            Micros::MAX
        } else {
            self.next
        }
    }

    /// False: an old report, or one to a former decider; the sender is told the map all the same.
    #[allow(clippy::too_many_arguments)]
    pub fn reported(
        &mut self,
        now: Micros,
        me: Author,
        by: Author,
        seq: u32,
        to: u64,
        map: (u64, u64),
        place: u16,
        seen: Vec<ZoneObservation>,
    ) -> bool {
        if to != me.incarnation {
            self.hello.insert(by.index, (now, map.0));
            return false;
        }
        self.hello.remove(&by.index);
        self.reports.take(now, by, seq, map, place, seen)
    }

    /// A voter's answer: it counts if the voter bars all others now, else a larger number is asked for.
    pub fn held(&mut self, now: Micros, me: Author, barred: Epoch, bit: u8, is_fresh: bool, map: Map) {
        let stuck = self.proposal.as_ref().is_none_or(|p| now >= p.began + STUCK);
        let asked = Epoch { number: self.number, life: me.incarnation };
        let wrong = barred.number.max(map.epoch.number) > self.number.saturating_add(LEAP);
        match &mut self.phase {
            _ if wrong => {}
            Phase::Reads { sure, fresh, best, .. } if barred == asked => {
                *(if is_fresh { fresh } else { sure }) |= bit;
                if map.epoch > best.epoch {
                    *best = map;
                }
            }
            Phase::Reads { sure, fresh, next, .. } if barred.number + 2 > self.number => {
                self.number = barred.number + 2;
                (*sure, *fresh, *next) = (0, 0, now);
            }
            // What is proposed can no more be taken there: it reads anew.
            Phase::Leads if stuck && self.proposal.as_ref().is_some_and(|p| barred > p.map.epoch) => {
                self.number = self.number.max(barred.number);
                (self.phase, self.proposal) = (Phase::Follows, None);
            }
            _ => {}
        }
    }

    pub fn took(&mut self, epoch: Epoch, bit: u8) {
        if let Some(p) = self.proposal.as_mut().filter(|p| p.map.epoch == epoch) {
            p.took |= bit;
        }
    }

    /// The proposal, once a majority took it.
    pub fn agreed(&mut self, voters: usize) -> Option<Map> {
        let p = self.proposal.take_if(|p| p.took.count_ones() as usize * 2 > voters)?;
        Some(p.map)
    }

    /// What is due now: questions and proposals to voters.
    pub fn look(&mut self, now: Micros, s: &Settings, map: &Map, tally: &mut Tally) -> Vec<Wish> {
        let others =
            |bits: u8| s.voters.iter().enumerate().filter(move |(i, _)| bits >> i & 1 == 0).map(|(_, v)| *v);
        if self.phase == Phase::Follows {
            self.number = self.number.max(map.epoch.number) + 2;
            self.phase = Phase::Reads { began: now, sure: 0, fresh: 0, best: map.clone(), next: now };
        }
        let mut wishes = Vec::new();
        if let Phase::Reads { began, sure, fresh, best, next } = &mut self.phase {
            let bits = |b: u8| b.count_ones() as usize;
            let (sure, both, all) = (*sure, *sure | *fresh, s.voters.len());
            // Nobody is left who could remember more; or the others are gone as well.
            let forgotten = bits(both) == all || bits(both) * 2 > all && now >= *began + 2 * s.lease;
            if bits(sure) * 2 > all || forgotten {
                let epoch = Epoch { number: self.number, life: s.me.incarnation };
                let map = Map { epoch, zones: best.zones.clone() };
                self.proposal = Some(Proposal { map, took: 0, began: now, next: now });
                self.phase = Phase::Leads;
                self.looks.fill(Look::none(now));
            } else {
                if now >= *next {
                    *next = now + AGAIN;
                    wishes.extend(others(sure).map(|to| Wish::Read(to, self.number)));
                }
                self.next = *next;
                return wishes;
            }
        }
        // Not before the own map is agreed upon: until then the decider has not said where it goes on from.
        if self.proposal.is_none() && map.epoch.life == s.me.incarnation && now >= self.next {
            self.next = now + AGAIN;
            self.weigh(now, s, map, tally);
        }
        if let Some(p) = self.proposal.as_mut() {
            if now >= p.next {
                p.next = now + AGAIN;
                wishes.extend(others(p.took).map(|to| Wish::Propose(to, p.map.clone())));
            }
            self.next = p.next;
        }
        wishes
    }

    /// Looks at every zone, the worst first, and proposes what is to be moved, all of it in one map.
    fn weigh(&mut self, now: Micros, s: &Settings, map: &Map, tally: &mut Tally) {
        let mut zones = map.zones.clone();
        let mut order = Vec::new();
        // While one is out the others carry its load: what they carry by themselves shows only before.
        let whole = zones.iter().all(|z| matches!(z.state, State::In | State::Suspect));
        for (z, status) in zones.iter().enumerate() {
            let drawn = |p: u16| status.tried_by(p);
            let by: Option<&dyn Fn(u16) -> bool> = (status.state == State::Probing).then_some(&drawn);
            let verdict = self.reports.verdict(now, z as u16, by);
            let look = &mut self.looks[z];
            let amiss = |v: &Verdict| matches!(v, Verdict::Doubt(..) | Verdict::Bad(..));
            if discriminant(&look.verdict) != discriminant(&verdict) {
                look.stands = now;
            }
            if amiss(&look.verdict) != amiss(&verdict) {
                look.side = now;
            }
            look.verdict = verdict;
            // One that began to decide while a zone fails knows no better than what goes there now.
            if whole && (matches!(verdict, Verdict::Fine(..)) || self.carries[z].load == 0) {
                let (load, most) = self.reports.load(now, z as u16);
                self.carries[z].look(load, most);
            }
            let (bad, of) = verdict.counts();
            order.push((std::cmp::Reverse(u32::from(bad) * 1000 / u32::from(of.max(1))), z));
        }
        order.sort_unstable();
        self.hello.retain(|_, (at, _)| now < *at + LIVE);
        let acted = self.hello.is_empty() && self.reports.live(now).all(|(_, h)| h.epoch == map.epoch.number);
        // All voters forgot a map that proxies still act on, and none of them goes back: it is outnumbered. One may lie.
        let mut ahead: Vec<u64> = self.hello.values().map(|(_, number)| *number).collect();
        ahead.sort_unstable();
        let ahead = ahead.iter().rev().nth(1).copied().unwrap_or(0);
        let mut changed = ahead >= map.epoch.number && ahead - map.epoch.number < LEAP;
        if changed {
            self.number = self.number.max(ahead);
        }
        for (served, z) in order {
            let status = zones[z];
            let Look { verdict, stands, side, kept } = self.looks[z];
            let newest = self.newest[z].unwrap_or(0);
            let same = |o: usize| o != z && s.zones[o].region == s.zones[z].region;
            let guarded = settled(&zones, now);
            let fits = |served| guard::fits(&s.zones, &guarded, &self.carries, z, served);
            let around = Around {
                stands,
                side,
                acted,
                fits: fits(1000 - served.0),
                could: fits(0).is_some(),
                restarted: newest > status.since,
                young: newest > 0 && now < newest + s.zones[z].cold,
                cold: s.zones[z].cold,
                region: (0..zones.len())
                    .any(|o| same(o) && matches!(zones[o].state, State::Leaving | State::Out)),
            };
            let keeps = matches!(status.state, State::In | State::Suspect)
                && now >= stands + state::CONFIRM
                && matches!(verdict, Verdict::Bad(..))
                && around.fits.is_none();
            self.looks[z].kept = keeps;
            tally.kept += u64::from(keeps && !kept);
            let Some(mut to) = state::next(&status, &verdict, &around, now) else { continue };
            if to.state == State::Probing {
                let stands = |h: u16| s.zones[z].kind == Kind::Hub || usize::from(h) == z;
                let proxies = self.reports.live(now).filter(|(_, h)| stands(h.place)).count();
                if proxies == 0 {
                    continue;
                }
                to.tries = status.enough(self.carries[z].load, proxies as u32);
                to.lot = self.number as u16 ^ (z as u16) << 8;
            }
            tally.leaves += u64::from(to.state == State::Leaving);
            if to.state != status.state {
                // Evidence of the state before says nothing in the next one.
                self.looks[z] = Look::none(now);
            }
            (zones[z], changed) = (to, true);
        }
        if changed {
            self.number = self.number.max(map.epoch.number) + 1;
            let epoch = Epoch { number: self.number, life: s.me.incarnation };
            self.proposal = Some(Proposal { map: Map { epoch, zones }, took: 0, began: now, next: now });
        }
    }

    /// Those that act on another map than this, each once in a while.
    pub fn behind(&mut self, now: Micros, map: &Map, me: u16, only: Option<u16>) -> Vec<u16> {
        self.hello.retain(|_, (at, _)| now < *at + LIVE);
        self.told.retain(|_, at| now < *at + FRESH);
        let reports = self.reports.live(now).filter(|(_, h)| h.epoch != map.epoch.number).map(|(p, _)| p);
        let mut behind: Vec<u16> = reports.chain(self.hello.keys().copied()).collect();
        behind.retain(|p| *p != me && only.is_none_or(|o| o == *p));
        behind.retain(|p| self.told.get(p).is_none_or(|at| now >= at + AGAIN));
        for p in &behind {
            self.told.insert(*p, now);
        }
        behind
    }
}
