//! What a router has learned, as plain figures that the router of the next process restores. The module
//! defines their stored form and checks what it restores: impossible figures are left out, and what is left
//! out is learned anew. It makes no decisions.
use super::{Flow, Rate, Router};
use crate::interface::{Addr, Micros};
use serde::{Deserialize, Serialize};

/// Most objects whose sending times are handed on; they take some hundred kilobytes.
pub const MAX_OBJECTS: usize = 8_000;
/// Most purges that are restored.
pub const MAX_PURGES: usize = 20_000;
/// A time or rate from this on cannot have been measured.
const MAX_FIGURE: f64 = 1e12;

/// Statistics of a class, in moving averages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassStats {
    /// Mean sending time, in microseconds.
    #[serde(rename = "work")]
    pub sending_time: f64,
    /// Number of samples of the sending time.
    #[serde(rename = "n")]
    pub samples: u32,
    /// Mean time to an answer, in microseconds.
    #[serde(rename = "wait")]
    pub mean_wait: f64,
    /// Mean deviation of that time, in microseconds.
    #[serde(rename = "dev")]
    pub deviation: f64,
    /// Share of misses, 0 to 1.
    #[serde(rename = "miss")]
    pub miss_share: f64,
}

/// What a router has learned of a member. Points in time are on the clock of the events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberLearned {
    /// The member.
    pub member: Addr,
    /// The start of the member that this is about.
    #[serde(rename = "since")]
    pub incarnation: u64,
    /// Moving average of its waits, in microseconds.
    #[serde(rename = "wait")]
    pub mean_wait: f64,
    /// Moving average of what the waits are compared with, in microseconds.
    #[serde(rename = "base")]
    pub expected_wait: f64,
    /// When the last wait was recorded.
    #[serde(rename = "seen")]
    pub last_sample_at: Micros,
    /// Most attempts or fills in flight at once; `None`: no limit.
    pub limit: Option<f64>,
    /// When the limit was last cut.
    #[serde(rename = "cut")]
    pub limit_cut_at: Micros,
    /// Set while it is being skipped: until then.
    #[serde(rename = "skip")]
    pub skip_until: Option<Micros>,
    /// Strikes (signs of failure) in a row.
    pub strikes: u32,
    /// When the last strike was.
    #[serde(rename = "struck")]
    pub last_strike_at: Micros,
}

/// Everything that one router hands to the next.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Learned {
    /// Statistics of the classes, in the order of the settings.
    pub classes: Vec<ClassStats>,
    /// Work delivered by the caches and by the parents: decaying sum, when it was updated, highest rate.
    pub demand: [(f64, Micros, f64); 2],
    /// Members that were in use or had failed.
    pub members: Vec<MemberLearned>,
    /// Objects and the shortest recent answer time with each, in microseconds.
    pub objects: Vec<(u64, f64)>,
    /// Purges: group, object (`None`: the whole group), time.
    pub purges: Vec<(u16, Option<u64>, Micros)>,
    /// Load of the location's link.
    #[serde(rename = "link")]
    pub link_load: f64,
    /// When the first router that learned this started.
    #[serde(rename = "born")]
    pub started_at: Micros,
}

/// Returns whether a figure can be a time or a rate. Negative numbers and NaN cannot.
fn usable(x: f64) -> bool {
    (0.0..MAX_FIGURE).contains(&x)
}

impl Router {
    /// Returns what was learned so far.
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
        let known_times = self.known_times[0]
            .iter()
            .chain(self.known_times[1].iter().filter(|k| !self.known_times[0].contains_key(k.0)));
        Learned {
            classes: self.class_stats.clone(),
            demand: [0, 1]
                .map(|i| (self.demand[i].decayed_sum, self.demand[i].updated_at, self.demand[i].peak)),
            members: members.map(member).collect(),
            objects: known_times
                .map(|(o, x)| (*o, *x))
                .filter(|(_, x)| usable(*x))
                .take(MAX_OBJECTS)
                .collect(),
            purges: self.purged_at.iter().map(|((g, o), at)| (*g, *o, *at)).collect(),
            link_load: self.link_load,
            started_at: self.started_at.unwrap_or(0),
        }
    }

    /// Restores what another router learned of the members that are listed here. Token buckets of cold
    /// members start empty, because the other router may still spend its own.
    pub fn restore_learned(&mut self, now: Micros, learned: &Learned) {
        for (p, c) in self.class_stats.iter_mut().zip(&learned.classes) {
            let good = [c.sending_time, c.mean_wait, c.deviation].into_iter().all(usable)
                && (0.0..=1.0).contains(&c.miss_share);
            if good && c.samples > 0 && c.sending_time > 0.0 {
                *p = *c;
            }
        }
        for (rate, (sum, last, peak)) in self.demand.iter_mut().zip(learned.demand) {
            if usable(sum) && usable(peak) && last <= now && peak > rate.peak {
                *rate = Rate { decayed_sum: sum, updated_at: last, peak };
            }
        }
        for m in &learned.members {
            let Some(own) = self.members.get_mut(&m.member).filter(|o| o.entry.incarnation == m.incarnation)
            else {
                continue;
            };
            let plausible = [m.mean_wait, m.expected_wait, m.limit.unwrap_or(0.0)].into_iter().all(usable)
                && m.last_sample_at <= now;
            if plausible && own.flow.last_sample_at < m.last_sample_at {
                let (in_flight, low_usage) = (own.flow.in_flight, own.flow.low_usage);
                own.flow = Flow {
                    mean_wait: m.mean_wait,
                    expected_wait: m.expected_wait,
                    last_sample_at: m.last_sample_at,
                    limit: m.limit,
                    ..Flow::default()
                };
                (own.flow.in_flight, own.flow.low_usage, own.flow.limit_cut_at) =
                    (in_flight, low_usage, m.limit_cut_at.min(now));
            }
            // A skip lasts a few seconds at most, so one that would last longer is cut to that.
            if own.last_good_at == 0 {
                own.skip_until = m.skip_until.map(|at| at.min(now + super::SKIP_TIME));
                (own.strikes, own.last_strike_at) =
                    (m.strikes.min(super::STRIKES_TO_SKIP), m.last_strike_at.min(now));
            }
            own.cold_tokens_at = now;
        }
        let objects = learned.objects.iter().filter(|(_, x)| usable(*x)).take(MAX_OBJECTS);
        self.known_times[1].extend(objects.copied());
        for (group, object, at) in learned.purges.iter().take(MAX_PURGES) {
            let own = self.purged_at.entry((*group, *object)).or_insert(0);
            *own = (*own).max((*at).min(now));
        }
        self.link_load = if usable(learned.link_load) { learned.link_load } else { 0.0 };
        self.started_at = Some(learned.started_at).filter(|b| *b > 0 && *b <= now).or(self.started_at);
    }
}
