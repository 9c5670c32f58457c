//! The results of a simulation.
use super::{FailureMode, Outage, Regions, S, T0};
use nickelgate::Micros;
use threadward_zones::map::Epoch;

/// How long after the end of an outage a leave is still attributed to it.
const LEAVE_GRACE: Micros = 4 * S;

/// A decision to take a zone out of use, and which proxies have yet to act on it.
pub(super) struct Leave {
    pub epoch: Epoch,
    pub zone: u16,
    pub at: Micros,
    /// For each proxy, whether it has yet to act on the decision.
    pub pending: Vec<bool>,
    /// When the most recent proxy acted on it.
    pub last_acted_at: Micros,
}

impl Leave {
    fn belongs_to(&self, outage: &Outage) -> bool {
        self.zone == outage.zone && (outage.from..outage.to + LEAVE_GRACE).contains(&self.at)
    }
}

/// The results of a scenario.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// The name of the scenario.
    pub name: &'static str,
    /// Number of requests that arrived.
    pub requests: u64,
    /// Number of requests that were served.
    pub served: u64,
    /// Number of requests that were refused.
    pub refused: u64,
    /// Number of requests that failed.
    pub failed: u64,
    /// Value of all requests.
    pub value_requested: f64,
    /// Value of the served requests, reduced for late ones.
    pub value_served: f64,
    /// Value of the requests that an outage affects, while it lasts and until the zone is warm again.
    pub affected_value_requested: f64,
    /// The part of `affected_value_requested` that was served, reduced for late requests.
    pub affected_value_served: f64,
    /// For each leave, the time from the decision until the last reachable proxy acted on it; the rest of the
    /// run if one never did.
    pub leave_spreads: Vec<Micros>,
    /// For each outage in which the whole zone fails, the time from its start to the decision to leave the
    /// zone; the whole outage if there was no decision.
    pub decision_delays: Vec<(FailureMode, Micros)>,
    /// Each leave: when it was decided, and the zone.
    pub leaves: Vec<(Micros, u16)>,
    /// For each outage, the number of leaves of its zone.
    pub leaves_per_outage: Vec<u32>,
    /// Number of leaves that no outage justifies.
    pub false_leaves: u32,
    /// For each return of a zone, the time from the end of its outage until it is in service, as a multiple
    /// of the cold period.
    pub return_ratios: Vec<f64>,
    /// Descriptions of cases in which cold members got more work than the rule on cold starts allows.
    pub cold_overloads: Vec<String>,
    /// Descriptions of decisions after which all zones of a kind were out of use, or the remaining ones
    /// lacked capacity.
    pub guard_violations: Vec<String>,
    /// Descriptions of violations of the other rules.
    pub rule_violations: Vec<String>,
    /// Bytes of zone messages per proxy and second.
    pub bytes_per_proxy_s: f64,
    /// Every change of a zone's state, for debugging.
    pub log: Vec<String>,
    /// Number of attempts that were sent.
    pub attempts: u64,
}

impl Regions {
    /// Completes the results after the run and returns them.
    pub(super) fn into_record(mut self) -> Record {
        for (i, arrivals) in self.arrivals.iter().enumerate() {
            for (index, arrival) in
                arrivals.iter().enumerate().filter(|(_, arrival)| arrival.answer_count != 1)
            {
                let answer_count = arrival.answer_count;
                self.report
                    .rule_violations
                    .push(format!("request {index} of n{i} got {answer_count} answers"));
            }
        }
        self.report.bytes_per_proxy_s = self.control_bytes();
        if self.day.zones {
            self.record_leaves();
            self.record_outages();
        }
        self.report
    }

    /// Records how each leave spread, and counts the leaves that no outage justifies.
    fn record_leaves(&mut self) {
        let end = T0 + self.day.duration;
        for leave in &self.leaves {
            let missed = leave.pending.iter().any(|pending| *pending);
            self.report.leave_spreads.push(if missed {
                end - leave.at
            } else {
                leave.last_acted_at - leave.at
            });
            self.report.leaves.push((leave.at - T0, leave.zone));
        }
        let is_reason =
            |outage: &&Outage| !matches!(outage.failure_mode, FailureMode::OneBad | FailureMode::Lossy);
        let reasons: Vec<&Outage> = self.day.outages.iter().filter(is_reason).collect();
        let is_false = |leave: &&Leave| !reasons.iter().any(|outage| leave.belongs_to(outage));
        self.report.false_leaves = self.leaves.iter().filter(is_false).count() as u32;
    }

    /// Records for each outage how many leaves there were and how soon the first one was decided.
    fn record_outages(&mut self) {
        for outage in &self.day.outages {
            let own: Vec<&Leave> = self.leaves.iter().filter(|leave| leave.belongs_to(outage)).collect();
            self.report.leaves_per_outage.push(own.len() as u32);
            let whole_zone_fails = matches!(
                outage.failure_mode,
                FailureMode::Kill | FailureMode::KillTwice | FailureMode::FailFast | FailureMode::Slow
            );
            // A zone that fails again while it returns fails that step of its return instead of being left
            // anew, and a location whose load no other zone may take isn't left.
            let is_second = outage.from > self.day.outages[0].from;
            let has_substitute = outage.zone >= self.day.locations || self.day.direct;
            if whole_zone_fails && has_substitute && !is_second {
                let first = own.first().map_or(outage.to, |leave| leave.at);
                self.report.decision_delays.push((outage.failure_mode, first - outage.from));
            }
        }
    }
}
