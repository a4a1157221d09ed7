//! The way of one request through the pool: in, granted again, taken over, ended.

use crate::clock::Millis;
use crate::control::event::{Done, Outcome};
use crate::name;
use crate::pool::class::Class;
use crate::pool::place::{Place, Run, Use};
use crate::pool::{ActiveRun, Decision, Pool, Waiter, priority};
use crate::tier::Tier;

impl Pool {
    /// Takes over a run that an earlier home granted, or that outlasts a loan
    /// of this one. Idempotent. The endpoint's slots may be exceeded by it.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "what is handed over is of no use to the caller any more"
    )]
    pub fn adopt(&mut self, now: Millis, held: ActiveRun) {
        let known = self.places.get(held.permit);
        let runs = known.is_some_and(|place| matches!(place.used, Use::Run(_)));
        if runs || self.places.has_ended(held.permit) {
            return;
        }
        self.leave(now, held.request);
        let run = self.adopted_run(now, &held);
        let endpoint = match self.places.remove(held.permit) {
            Some(lent) => lent.endpoint,
            None => self.recognise(now, &held.endpoint),
        };
        let place = Place {
            holder: held.holder,
            endpoint,
            since: now,
            used: Use::Run(run),
        };
        self.start(held.permit, place, run);
    }

    /// Learns from the end of a run under a loan, which [`Self::done`] can't
    /// do as the pool never saw the request. The loan goes on.
    pub fn record_loan_run(&mut self, now: Millis, tier: Tier, class: &name::Class, done: &Done) {
        let id = self.classes.id(now, tier, class);
        let endpoint = self.places.get(done.permit).map(|place| place.endpoint);
        let class = self.classes.get_mut(id);
        class.arrive(now, class.target);
        if let Some(endpoint) = endpoint {
            self.learn_from(now, endpoint, id, done, false);
        }
    }

    /// Puts a request on the waiting list.
    pub(super) fn enter(&mut self, now: Millis, waiter: Waiter) {
        let ask = &waiter.ask;
        let id = self.classes.id(now, ask.tier, &ask.class);
        let class = self.classes.get_mut(id);
        class.arrive(now, ask.deadline - now);
        class.busy += 1;
        self.waiting.insert(now, &self.classes, id, waiter);
    }

    /// Takes a request off the waiting list, if it is on it.
    pub(super) fn leave(&mut self, now: Millis, request: name::Request) {
        let entry = self.waiting.remove_request(now, &self.classes, request);
        if let Some(entry) = entry {
            self.classes.get_mut(entry.class).busy -= 1;
        }
    }

    /// Takes the request of this number off the waiting list.
    pub(super) fn leave_number(&mut self, now: Millis, number: u64) -> Option<Waiter> {
        let entry = self.waiting.remove(now, &self.classes, number)?;
        self.classes.get_mut(entry.class).busy -= 1;
        Some(entry.waiter)
    }

    /// The grant of a request that asks again; none if its run is over.
    pub(super) fn repeat_grant(&self, permit: u64, waiter: &Waiter) -> Option<Decision> {
        let place = self.places.get(permit)?;
        let Use::Run(run) = place.used else {
            return None;
        };
        let asked_again = |attempt| waiter.ask.avoid.len() > attempt;
        if run.attempt.is_some_and(asked_again) {
            return None;
        }
        let endpoint = self.endpoints.get(place.endpoint);
        Some(Decision::Grant {
            request: run.request,
            holder: place.holder,
            permit,
            endpoint: endpoint.name.clone(),
            address: endpoint.address?,
            priority: priority(run.tier, run.shared),
        })
    }

    /// Books a run that has its place at an endpoint already.
    pub(super) fn start(&mut self, permit: u64, place: Place, run: Run) {
        self.places.insert(permit, place);
        self.reserve.start(run.tier, run.lane);
        self.waiting.start(run.flow);
    }

    /// Gives a place back, with what is known of its end. Unknown permits are
    /// only remembered as ended.
    pub(super) fn end_place(&mut self, now: Millis, permit: u64, done: Option<&Done>) {
        self.places.note_end(now, permit);
        let Some(place) = self.places.remove(permit) else {
            return;
        };
        self.endpoints
            .change(now, place.endpoint, |endpoint| endpoint.give(now));
        if let Use::Run(run) = place.used {
            self.end_run(now, &place, &run, done);
        }
    }

    fn end_run(&mut self, now: Millis, place: &Place, run: &Run, done: Option<&Done>) {
        self.reserve.end(run.tier, run.lane);
        self.waiting.end(now, run.flow);
        if let Some(done) = done {
            self.learn_from(now, place.endpoint, run.class, done, run.attempt != Some(0));
            let cost = cost(done) - run.charged;
            let classes = &self.classes;
            self.waiting
                .charge(now, classes, run.class, run.flow, cost, run.shared);
        }
        self.classes.get_mut(run.class).end(now);
    }

    /// What a run's end tells of its endpoint and its class.
    fn learn_from(&mut self, now: Millis, endpoint: u32, class: u32, done: &Done, retry: bool) {
        let class = self.classes.get_mut(class);
        match done.outcome {
            Outcome::Complete => {
                let expected = self.usual.expected(&class.history, done);
                class.history.add(done);
                self.usual.add(done);
                self.endpoints.change(now, endpoint, |endpoint| {
                    endpoint.succeed(now);
                    if let Some(expected) = expected {
                        endpoint.pace(expected, done.elapsed.0 as f64);
                    }
                });
            }
            Outcome::Failed => self
                .endpoints
                .change(now, endpoint, |endpoint| endpoint.fail(now, !retry)),
            Outcome::Refused => self
                .endpoints
                .change(now, endpoint, |endpoint| endpoint.refuse(now)),
            Outcome::Cancelled => {}
        }
    }

    fn adopted_run(&mut self, now: Millis, held: &ActiveRun) -> Run {
        let id = self.classes.id(now, held.tier, &held.class);
        let class: &mut Class = self.classes.get_mut(id);
        class.busy += 1;
        let lane = class.lane;
        let flow = self.waiting.flow(now, &self.classes, id, &held.workspace);
        Run {
            request: held.request,
            tier: held.tier,
            class: id,
            flow,
            lane,
            // It is charged in whole when it ends.
            charged: 0.0,
            shared: false,
            attempt: None,
        }
    }

    fn recognise(&mut self, now: Millis, name: &name::Endpoint) -> u32 {
        let id = self.endpoints.id(name);
        self.endpoints.change(now, id, |endpoint| {
            endpoint.take(now);
            endpoint.recognise();
        });
        id
    }
}

/// What a run has cost its endpoint, in tokens (or calls).
fn cost(done: &Done) -> f64 {
    match done.outcome {
        Outcome::Refused => 0.0,
        Outcome::Complete | Outcome::Failed | Outcome::Cancelled => done.tokens as f64,
    }
}
