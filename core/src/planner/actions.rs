//! Carries out what the router decides: attempts, answers, withdrawals, timers and probes.
use super::{Planner, TimerKind};
use crate::claims::call_number;
use crate::job::Job;
use crate::stages::{accounting, relay, route, send};
use crate::{Counter, FinalAnswer, Outcome};
use nickelgate::{Action, Completed, Effect, Event, Get, Note, Report};
use std::collections::VecDeque;

impl Planner {
    /// Passes an event to the router and carries out the resulting actions in order, with the events that
    /// follow from them. Removes the event's job if it is answered and no attempt is left in flight.
    pub(super) fn process_event(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            let request_id = match &event {
                Event::Completed(c) => Some(c.request),
                Event::Expired(id) => Some(*id),
                Event::Request(r) => Some(r.id),
                _ => None,
            };
            if let (Event::Completed(c), Some(z)) = (&event, &mut self.zones) {
                z.attempt_ended(self.now, c);
            }
            self.router.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.carry_out(action));
            }
            let finished = |j: &Job| j.reply.is_none() && j.attempts.iter().all(|a| !a.2);
            if let Some(id) = request_id.filter(|id| self.jobs.get(id).is_some_and(finished)) {
                if !events.iter().any(|e| matches!(e, Event::Completed(c) if c.request == id)) {
                    self.remove_job(id);
                }
            }
        }
    }

    fn remove_job(&mut self, id: u64) {
        if let Some(job) = self.jobs.remove(&id) {
            self.body_bytes -= job.client_request.body.len();
            self.call_ids.remove(&job.client_request.call_id);
        }
    }

    /// Claims the call id of a request that may not be repeated and has no attempt yet. Returns false if the
    /// id was claimed before: its request may have run.
    fn claim_first_attempt(&mut self, id: u64) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|job| job.attempts.is_empty()) else { return true };
        let class = self.settings.classes.get(usize::from(job.client_request.class));
        if class.is_none_or(|class| class.effect == Effect::Retryable) {
            return true;
        }
        self.claims.claim(self.now, call_number(&job.client_request.call_id))
    }

    /// Answers a request whose call id was claimed before. Returns the end of the attempt, which is not sent.
    fn refuse_repeated_call(&mut self, get: &Get) -> Event {
        self.counters.add(Counter::Unusable);
        if let Some(reply) = self.jobs.get_mut(&get.request).and_then(|job| job.reply.take()) {
            self.open -= 1;
            relay::answer(&mut self.counters, reply, FinalAnswer::Failed);
        }
        Event::Completed(Completed {
            request: get.request,
            attempt: 0,
            member: get.member,
            outcome: Outcome::NotSent,
            elapsed: 0,
            request_done: true,
            note: Note::None,
            source_wait: 0,
            report: Report::default(),
        })
    }

    /// Carries out an action of the router. Returns the event that follows from it at once, if any.
    fn carry_out(&mut self, action: Action) -> Option<Event> {
        match route::order(action) {
            route::Order::Send(get) => {
                if !self.claim_first_attempt(get.request) {
                    return Some(self.refuse_repeated_call(&get));
                }
                let job = self.jobs.get_mut(&get.request)?;
                let d = send::build(job, &self.settings, &get, self.now, self.epoch);
                let (id, n, due) = (d.request, d.attempt, d.expires_at);
                if let Some(z) = &mut self.zones {
                    z.attempt_sent(self.now, (id, n), job.client_request.class, get.member, get.source);
                    if [get.member, get.source].into_iter().any(|a| z.is_cold(self.now, a)) {
                        self.cold_rate.count_sent();
                    }
                }
                self.counters.add(Counter::Sent);
                self.set_timer(due + self.settings.answer_slack, TimerKind::Attempt(id, n));
                self.transport.send(d);
            }
            route::Order::Answer(id, last) => {
                let job = self.jobs.get_mut(&id)?;
                let reply = job.reply.take()?;
                self.open -= 1;
                if job.attempts.is_empty() {
                    self.counters.add(Counter::Unsent);
                }
                relay::answer(&mut self.counters, reply, last);
                if job.attempts.iter().all(|a| !a.2) {
                    self.remove_job(id);
                }
            }
            route::Order::Withdraw(id, n) => {
                let job = self.jobs.get_mut(&id)?;
                let a = job.attempts.get_mut(usize::from(n)).filter(|a| a.2)?;
                // Where attempts must not run in parallel, the next one waits until the cache has been told.
                let cancel_pending = self.transport.withdraw(id, n);
                if cancel_pending && !self.settings.parallel_attempts && job.reply.is_some() {
                    return None;
                }
                a.2 = false;
                let (sent, member, done) = (a.0, a.1, job.reply.is_none());
                accounting::count_end(&mut self.counters, Outcome::Cancelled);
                return Some(Event::Completed(Completed {
                    request: id,
                    attempt: n,
                    member,
                    outcome: Outcome::Cancelled,
                    elapsed: self.now.saturating_sub(sent),
                    request_done: done,
                    note: Note::None,
                    source_wait: 0,
                    report: Report::default(),
                }));
            }
            route::Order::SetTimer(token, after) => {
                self.set_timer(self.now + after, TimerKind::Router(token))
            }
            route::Order::Probe(member) => {
                self.counters.add(Counter::LoadProbes);
                self.transport.probe(member);
            }
            route::Order::Nothing => {}
        }
        None
    }
}
