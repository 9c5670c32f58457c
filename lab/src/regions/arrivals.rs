//! The clients of a fleet: their requests, drawn ahead, and what they are answered.
use super::{Event, FailureMode, Regions, MS, T0};
use crate::day::Day;
use crate::{stream, unit};
use nickelgate::Micros;
use threadward_core::{ClientRequest, FinalAnswer};

/// The first stream of random numbers that belongs to arrivals; each proxy has one.
const STREAM: u64 = 0x1000;
/// Objects that clients ask for.
const OBJECTS: f64 = 20_000.0;

/// One request of a client.
pub(super) struct Arrival {
    pub at: Micros,
    pub class: u8,
    pub object: u64,
    /// Answers that it got: one, where all is well.
    pub answered: u8,
}

/// The arrivals at one proxy, all day.
pub(super) fn draw_arrivals(day: &Day, i: usize) -> Vec<Arrival> {
    let mut rng = stream(day.seed, STREAM + i as u64);
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
        // Popular ones more often, none so often that its one cache could not serve a whole location's.
        let object = ((unit(&mut rng).powi(2) * OBJECTS) as u64) << 2 | class;
        all.push(Arrival { at, class: class as u8, object, answered: 0 });
    }
}

impl Regions {
    /// A request arrives at a proxy, and the next one is scheduled.
    pub(super) fn arrive(&mut self, i: usize, index: usize) {
        let (now, arrival) = (self.queue.now, &self.arrivals[i][index]);
        let class = &self.settings.classes[usize::from(arrival.class)];
        self.report.requests += 1;
        self.report.value_requested += class.value;
        if self.touched(i, now) {
            self.report.affected_value_requested += class.value;
        }
        let ask = ClientRequest {
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
        self.proxies[i].planner.accept_request(now, 0, ask, reply);
        self.run_orders(i);
    }

    /// Takes the answers that a planner has given since the last call.
    pub(super) fn take_answers(&mut self, i: usize) {
        let answers: Vec<(usize, FinalAnswer)> = self.proxies[i].answers.borrow_mut().drain(..).collect();
        for (index, last) in answers {
            self.take_answer(i, index, &last);
        }
    }

    fn take_answer(&mut self, i: usize, index: usize, last: &FinalAnswer) {
        let arrival = &mut self.arrivals[i][index];
        arrival.answered += 1;
        let (at, class) = (arrival.at, &self.settings.classes[usize::from(arrival.class)]);
        let took = self.queue.now - at;
        if took > class.deadline + self.settings.answer_slack {
            self.report.rule_violations.push(format!("request {index} of n{i} answered after {took} us"));
        }
        let earned = class.value * if took <= class.target_latency { 1.0 } else { class.late_value };
        match last {
            FinalAnswer::Served(_) => {
                self.report.served += 1;
                self.report.value_served += earned;
                if self.touched(i, at) {
                    self.report.affected_value_served += earned;
                }
            }
            FinalAnswer::Refused { .. } => self.report.refused += 1,
            FinalAnswer::Failed => self.report.failed += 1,
        }
    }

    /// Whether an outage touches this proxy's requests at that time: a hub's all, a location's those that stand there.
    fn touched(&self, i: usize, at: Micros) -> bool {
        self.day.outages.iter().any(|outage| {
            let until = outage.to + self.settings.cold_period;
            let affected =
                outage.zone >= self.day.locations || usize::from(outage.zone) == self.day.location_of(i);
            outage.failure_mode != FailureMode::OneBad && affected && (outage.from..until).contains(&at)
        })
    }
}
