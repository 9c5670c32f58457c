//! What a day of the fleet showed.
use super::{Harm, Outage, Regions, S, T0};
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
    pub asked: f64,
    /// Worth earned, all day.
    pub earned: f64,
    /// Worth asked for by those that an outage touches, while it lasts and until warm again.
    pub asked_hit: f64,
    /// Worth earned of that.
    pub earned_hit: f64,
    /// Decision to the last live proxy acting on it, of each leave.
    pub spread: Vec<Micros>,
    /// Outage to decision, of those in which all of the zone fails; the whole outage where nobody decided.
    pub decide: Vec<(Harm, Micros)>,
    /// Leaves: when, and of which zone.
    pub leaves: Vec<(Micros, u16)>,
    /// Leaves of a zone in one outage.
    pub moves: Vec<u32>,
    /// Leaves without an outage that would be a reason.
    pub false_leaves: u32,
    /// From alive again to in service, over the cold time.
    pub returns: Vec<f64>,
    /// Cold members that got more than they can do.
    pub overspent: Vec<String>,
    /// Moves after which a kind or the room of the others was gone.
    pub guard: Vec<String>,
    /// Breaks of the other rules.
    pub broken: Vec<String>,
    /// Bytes of the zones' messages for a proxy and second.
    pub bytes: f64,
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
                self.report.broken.push(format!("request {index} of n{i} got {answered} answers"));
            }
        }
        self.report.bytes = self.control_bytes();
        if self.day.zones {
            self.record_leaves();
            self.record_outages();
        }
        self.report
    }

    fn record_leaves(&mut self) {
        let end = T0 + self.day.span;
        for leave in &self.leaves {
            let missed = leave.waits.iter().any(|waits| *waits);
            self.report.spread.push(if missed { end - leave.at } else { leave.last - leave.at });
            self.report.leaves.push((leave.at - T0, leave.zone));
        }
        let is_reason = |outage: &&Outage| !matches!(outage.harm, Harm::OneBad | Harm::Lossy);
        let reasons: Vec<&Outage> = self.day.outages.iter().filter(is_reason).collect();
        let is_false = |leave: &&Leave| !reasons.iter().any(|outage| leave.belongs_to(outage));
        self.report.false_leaves = self.leaves.iter().filter(is_false).count() as u32;
    }

    fn record_outages(&mut self) {
        for outage in &self.day.outages {
            let own: Vec<&Leave> = self.leaves.iter().filter(|leave| leave.belongs_to(outage)).collect();
            self.report.moves.push(own.len() as u32);
            let dead = matches!(outage.harm, Harm::Kill | Harm::KillTwice | Harm::FailFast | Harm::Slow);
            // One that falls while it returns fails its step; one whose load nobody takes stays.
            let again = outage.from > self.day.outages[0].from;
            let taken = outage.zone >= self.day.locations || self.day.direct;
            if dead && taken && !again {
                let first = own.first().map_or(outage.to, |leave| leave.at);
                self.report.decide.push((outage.harm, first - outage.from));
            }
        }
    }
}
