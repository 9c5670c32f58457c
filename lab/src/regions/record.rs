//! What a day of the fleet showed.
use super::{FailureMode, Outage, Regions, S, T0};
use nickelgate::Micros;
use threadward_zones::map::Epoch;

/// A leave belongs to an outage until so long after its end.
const AFTERMATH: Micros = 4 * S;

/// A leave: when it was decided, under which epoch, and who has yet to act.
pub(super) struct Leave {
    pub epoch: Epoch,
    pub zone: u16,
    pub at: Micros,
    /// By proxy: whether it has yet to act on it.
    pub waits: Vec<bool>,
    /// When the last proxy so far acted on it.
    pub last: Micros,
}

impl Leave {
    fn belongs_to(&self, outage: &Outage) -> bool {
        self.zone == outage.zone && (outage.from..outage.to + AFTERMATH).contains(&self.at)
    }
}

/// What a day showed.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// The name of the day.
    pub name: &'static str,
    /// Requests that arrived.
    pub requests: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Worth asked for, all day.
    pub value_requested: f64,
    /// Worth earned, all day.
    pub value_served: f64,
    /// Worth asked for by those that an outage touches, while it lasts and until warm again.
    pub affected_value_requested: f64,
    /// Worth earned of that.
    pub affected_value_served: f64,
    /// Decision to the last live proxy acting on it, of each leave.
    pub leave_spreads: Vec<Micros>,
    /// Outage to decision, of those in which all of the zone fails; the whole outage where nobody decided.
    pub decision_delays: Vec<(FailureMode, Micros)>,
    /// Leaves: when, and of which zone.
    pub leaves: Vec<(Micros, u16)>,
    /// Leaves of a zone in one outage.
    pub leaves_per_outage: Vec<u32>,
    /// Leaves without an outage that would be a reason.
    pub false_leaves: u32,
    /// From alive again to in service, over the cold time.
    pub return_ratios: Vec<f64>,
    /// Cold members that got more than they can do.
    pub cold_overloads: Vec<String>,
    /// Moves after which a kind or the room of the others was gone.
    pub guard_violations: Vec<String>,
    /// Breaks of the other rules.
    pub rule_violations: Vec<String>,
    /// Bytes of the zones' messages for a proxy and second.
    pub bytes_per_proxy_s: f64,
    /// Every move, for whoever looks for a cause.
    pub log: Vec<String>,
    /// Attempts that were sent.
    pub attempts: u64,
}

impl Regions {
    /// The record of the day, once it is over.
    pub(super) fn into_record(mut self) -> Record {
        for (i, arrivals) in self.arrivals.iter().enumerate() {
            for (index, arrival) in arrivals.iter().enumerate().filter(|(_, arrival)| arrival.answered != 1) {
                let answered = arrival.answered;
                self.report.rule_violations.push(format!("request {index} of n{i} got {answered} answers"));
            }
        }
        self.report.bytes_per_proxy_s = self.control_bytes();
        if self.day.zones {
            self.record_leaves();
            self.record_outages();
        }
        self.report
    }

    fn record_leaves(&mut self) {
        let end = T0 + self.day.duration;
        for leave in &self.leaves {
            let missed = leave.waits.iter().any(|waits| *waits);
            self.report.leave_spreads.push(if missed { end - leave.at } else { leave.last - leave.at });
            self.report.leaves.push((leave.at - T0, leave.zone));
        }
        let is_reason =
            |outage: &&Outage| !matches!(outage.failure_mode, FailureMode::OneBad | FailureMode::Lossy);
        let reasons: Vec<&Outage> = self.day.outages.iter().filter(is_reason).collect();
        let is_false = |leave: &&Leave| !reasons.iter().any(|outage| leave.belongs_to(outage));
        self.report.false_leaves = self.leaves.iter().filter(is_false).count() as u32;
    }

    fn record_outages(&mut self) {
        for outage in &self.day.outages {
            let own: Vec<&Leave> = self.leaves.iter().filter(|leave| leave.belongs_to(outage)).collect();
            self.report.leaves_per_outage.push(own.len() as u32);
            let dead = matches!(
                outage.failure_mode,
                FailureMode::Kill | FailureMode::KillTwice | FailureMode::FailFast | FailureMode::Slow
            );
            // One that falls while it returns fails its step; one whose load nobody takes stays.
            let again = outage.from > self.day.outages[0].from;
            let taken = outage.zone >= self.day.locations || self.day.direct;
            if dead && taken && !again {
                let first = own.first().map_or(outage.to, |leave| leave.at);
                self.report.decision_delays.push((outage.failure_mode, first - outage.from));
            }
        }
    }
}
