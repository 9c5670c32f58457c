//! What a router has learned, as plain figures that the router of the next process takes over. It owns their
//! form and the check of what comes in. It must never decide anything: figures that cannot be are left out,
//! and what is left out is learned anew.
use super::{Flow, Rate, Router};
use crate::interface::{Addr, Micros};
use serde::{Deserialize, Serialize};

/// Objects whose sending times are handed on, at most: some hundred kilobytes.
pub const MAX_OBJECTS: usize = 8_000;
/// Purges that are taken over, at most.
pub const MAX_PURGES: usize = 20_000;
/// A time or rate beyond this is no measurement.
const MAX_FIGURE: f64 = 1e12;

/// What is known of a class: its sending time and samples of it, the wait and its deviation, the share of
/// misses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassStats {
    /// Sending time, microseconds.
    #[serde(rename = "work")]
    pub sending_time: f64,
    /// Samples of it.
    #[serde(rename = "n")]
    pub samples: u32,
    /// Wait, microseconds.
    #[serde(rename = "wait")]
    pub mean_wait: f64,
    /// Its mean deviation, microseconds.
    #[serde(rename = "dev")]
    pub deviation: f64,
    /// Share of misses, 0 to 1.
    #[serde(rename = "miss")]
    pub miss_share: f64,
}

/// What is known of a member. Points are on the clock of the events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberLearned {
    /// The member.
    pub member: Addr,
    /// The start that this is about.
    #[serde(rename = "since")]
    pub incarnation: u64,
    /// Waits, and what they are held against, microseconds.
    #[serde(rename = "wait")]
    pub mean_wait: f64,
    /// See `wait`.
    #[serde(rename = "base")]
    pub expected_wait: f64,
    /// When it was last seen.
    #[serde(rename = "seen")]
    pub last_sample_at: Micros,
    /// Attempts or fills out at once, at most; nothing: no limit.
    pub limit: Option<f64>,
    /// When the limit was last cut.
    #[serde(rename = "cut")]
    pub limit_cut_at: Micros,
    /// Skipped until then.
    #[serde(rename = "skip")]
    pub skip_until: Option<Micros>,
    /// Signs of failure in a row, and the last one's time.
    pub strikes: u32,
    /// See `strikes`.
    #[serde(rename = "struck")]
    pub last_strike_at: Micros,
}

/// All that one router hands to the next.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Learned {
    /// In the order of the settings.
    pub classes: Vec<ClassStats>,
    /// Caches' and sources' traffic: decaying sum, its time, highest rate.
    pub demand: [(f64, Micros, f64); 2],
    /// Members that were in use.
    pub members: Vec<MemberLearned>,
    /// Quickest answers with an object lately, microseconds.
    pub objects: Vec<(u64, f64)>,
    /// Purges: group, object, time.
    pub purges: Vec<(u16, Option<u64>, Micros)>,
    /// How full the location's link is.
    #[serde(rename = "link")]
    pub link_load: f64,
    /// When the router that learned this was born.
    #[serde(rename = "born")]
    pub started_at: Micros,
}

fn usable(x: f64) -> bool {
    (0.0..MAX_FIGURE).contains(&x)
}

impl Router {
    /// What was learned so far.
    pub fn learned(&self) -> Learned {
        let members = self
            .members
            .values()
            .filter(|m| m.flow.last_sample_at > 0 || m.skip_until.is_some() || m.strikes > 0);
        let member = |m: &super::Member| MemberLearned {
            member: m.entry.addr,
            incarnation: m.entry.incarnation,
            mean_wait: m.flow.mean_wait,
            expected_wait: m.flow.expected_wait,
            last_sample_at: m.flow.last_sample_at,
            limit: m.flow.limit,
            limit_cut_at: m.flow.limit_cut_at,
            skip_until: m.skip_until,
            strikes: m.strikes,
            last_strike_at: m.last_strike_at,
        };
        let all = self.known_times[0]
            .iter()
            .chain(self.known_times[1].iter().filter(|k| !self.known_times[0].contains_key(k.0)));
        Learned {
            classes: self.class_stats.clone(),
            demand: [0, 1]
                .map(|i| (self.demand[i].decayed_sum, self.demand[i].updated_at, self.demand[i].peak)),
            members: members.map(member).collect(),
            objects: all.map(|(o, x)| (*o, *x)).filter(|(_, x)| usable(*x)).take(MAX_OBJECTS).collect(),
            purges: self.purged_at.iter().map(|((g, o), at)| (*g, *o, *at)).collect(),
            link_load: self.link_load,
            started_at: self.started_at.unwrap_or(0),
        }
    }

    /// Takes over what another router learned, once its members are listed here. Budgets of cold members
    /// begin empty: the other router may still spend its own.
    pub fn restore_learned(&mut self, now: Micros, l: &Learned) {
        for (p, c) in self.class_stats.iter_mut().zip(&l.classes) {
            let good = [c.sending_time, c.mean_wait, c.deviation].into_iter().all(usable)
                && (0.0..=1.0).contains(&c.miss_share);
            if good && c.samples > 0 && c.sending_time > 0.0 {
                *p = *c;
            }
        }
        for (rate, (sum, last, peak)) in self.demand.iter_mut().zip(l.demand) {
            if usable(sum) && usable(peak) && last <= now && peak > rate.peak {
                *rate = Rate { decayed_sum: sum, updated_at: last, peak };
            }
        }
        for m in &l.members {
            let Some(own) = self.members.get_mut(&m.member).filter(|o| o.entry.incarnation == m.incarnation)
            else {
                continue;
            };
            let told = [m.mean_wait, m.expected_wait, m.limit.unwrap_or(0.0)].into_iter().all(usable)
                && m.last_sample_at <= now;
            if told && own.flow.last_sample_at < m.last_sample_at {
                let (out, easy) = (own.flow.in_flight, own.flow.low_usage);
                own.flow = Flow {
                    mean_wait: m.mean_wait,
                    expected_wait: m.expected_wait,
                    last_sample_at: m.last_sample_at,
                    limit: m.limit,
                    ..Flow::default()
                };
                (own.flow.in_flight, own.flow.low_usage, own.flow.limit_cut_at) =
                    (out, easy, m.limit_cut_at.min(now));
            }
            // A skip is over in a few seconds; one that lasts for longer is none.
            if own.last_good_at == 0 {
                own.skip_until = m.skip_until.map(|at| at.min(now + super::SKIP_TIME));
                (own.strikes, own.last_strike_at) =
                    (m.strikes.min(super::STRIKES_TO_SKIP), m.last_strike_at.min(now));
            }
            own.cold_tokens_at = now;
        }
        let objects = l.objects.iter().filter(|(_, x)| usable(*x)).take(MAX_OBJECTS);
        self.known_times[1].extend(objects.copied());
        for (group, object, at) in l.purges.iter().take(MAX_PURGES) {
            let own = self.purged_at.entry((*group, *object)).or_insert(0);
            *own = (*own).max((*at).min(now));
        }
        self.link_load = if usable(l.link_load) { l.link_load } else { 0.0 };
        self.started_at = Some(l.started_at).filter(|b| *b > 0 && *b <= now).or(self.started_at);
    }
}
