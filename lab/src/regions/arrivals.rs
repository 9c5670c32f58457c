//! The clients of a simulated fleet: their requests, which are drawn in advance, and the answers they get.
use super::{Event, FailureMode, Regions, MS, T0};
use crate::day::Day;
use crate::{stream, unit};
use nickelgate::Micros;
use threadward_core::{ClientRequest, FinalAnswer};

/// Number of the first proxy's stream of random numbers for arrivals; the other proxies' streams follow.
const FIRST_STREAM: u64 = 0x1000;
/// Number of objects that clients request.
const OBJECT_COUNT: f64 = 20_000.0;

/// One client request.
pub(super) struct Arrival {
    pub at: Micros,
    pub class: u8,
    pub object: u64,
    /// Number of answers so far. At the end it has to be one.
    pub answer_count: u8,
}

/// Draws all requests that arrive at one proxy.
pub(super) fn draw_arrivals(day: &Day, i: usize) -> Vec<Arrival> {
    let mut rng = stream(day.seed, FIRST_STREAM + i as u64);
    let (mut at, mut all) = (T0 + 100 * MS, Vec::new());
    loop {
        at += (-unit(&mut rng).max(1e-12).ln() / day.requests_per_s * 1e6) as Micros;
        if at > T0 + day.duration {
            return all;
        }
        let class = match unit(&mut rng) {
            x if x < 0.35 => 0,
            x if x < 0.95 => 1,
            _ => 2,
        };
        // Some objects are more popular, but none so much that its one cache couldn't serve the requests of a
        // whole location.
        let object = ((unit(&mut rng).powi(2) * OBJECT_COUNT) as u64) << 2 | class;
        all.push(Arrival { at, class: class as u8, object, answer_count: 0 });
    }
}

impl Regions {
    /// Passes an arriving request to a proxy's planner and schedules the next arrival.
    pub(super) fn arrive(&mut self, i: usize, index: usize) {
        let (now, arrival) = (self.queue.now, &self.arrivals[i][index]);
        let class = &self.settings.classes[usize::from(arrival.class)];
        self.report.requests += 1;
        self.report.value_requested += class.value;
        if self.is_affected(i, now) {
            self.report.affected_value_requested += class.value;
        }
        let request = ClientRequest {
            call_id: format!("{i}-{index}").into(),
            class: arrival.class,
            object: arrival.object,
            expires_at: now + class.deadline,
            ..ClientRequest::default()
        };
        if let Some(next) = self.arrivals[i].get(index + 1) {
            self.queue.schedule(next.at, Event::Arrive(i, index + 1));
        }
        let answers = self.proxies[i].answers.clone();
        let reply = Box::new(move |last| answers.borrow_mut().push((index, last)));
        self.proxies[i].planner.accept_request(now, 0, request, reply);
        self.run_orders(i);
    }

    /// Records the answers that a planner has given since the last call.
    pub(super) fn take_answers(&mut self, i: usize) {
        let answers: Vec<(usize, FinalAnswer)> = self.proxies[i].answers.borrow_mut().drain(..).collect();
        for (index, last) in answers {
            self.take_answer(i, index, &last);
        }
    }

    /// Records one answer and checks that it came in time.
    fn take_answer(&mut self, i: usize, index: usize, last: &FinalAnswer) {
        let arrival = &mut self.arrivals[i][index];
        arrival.answer_count += 1;
        let (at, class) = (arrival.at, &self.settings.classes[usize::from(arrival.class)]);
        let latency = self.queue.now - at;
        if latency > class.deadline + self.settings.answer_slack {
            self.report.rule_violations.push(format!("request {index} of n{i} answered after {latency} us"));
        }
        let earned_value = class.value * if latency <= class.target_latency { 1.0 } else { class.late_value };
        match last {
            FinalAnswer::Served(_) => {
                self.report.served += 1;
                self.report.value_served += earned_value;
                if self.is_affected(i, at) {
                    self.report.affected_value_served += earned_value;
                }
            }
            FinalAnswer::Refused { .. } => self.report.refused += 1,
            FinalAnswer::Failed => self.report.failed += 1,
        }
    }

    /// Returns whether an outage affects this proxy's requests at a time: one of a parent affects all
    /// proxies, one of a location affects the proxies in it. It lasts until the zone is warm again.
    fn is_affected(&self, i: usize, at: Micros) -> bool {
        self.day.outages.iter().any(|outage| {
            let until = outage.to + self.settings.cold_period;
            let uses_zone =
                outage.zone >= self.day.locations || usize::from(outage.zone) == self.day.location_of(i);
            outage.failure_mode != FailureMode::OneBad && uses_zone && (outage.from..until).contains(&at)
        })
    }
}
