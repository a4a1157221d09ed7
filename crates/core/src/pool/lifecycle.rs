//! Lifecycle of a request in the pool: waiting, granted, adopted and ended.

use crate::clock::Millis;
use crate::control::event::{Done, Outcome};
use crate::name;
use crate::pool::allocation::{Allocation, Run, Use};
use crate::pool::class::Class;
use crate::pool::{ActiveRun, Decision, Pool, Waiter, priority};
use crate::tier::Tier;

impl Pool {
    /// Adopts a run that an earlier home granted or that outlives a loan of
    /// this one. Idempotent. The endpoint's slots may be exceeded.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "the caller has no further use for what it hands over"
    )]
    pub fn adopt(&mut self, now: Millis, adopted: ActiveRun) {
        let known = self.allocations.get(adopted.permit);
        let runs = known.is_some_and(|allocation| matches!(allocation.purpose, Use::Run(_)));
        if runs || self.allocations.has_ended(adopted.permit) {
            return;
        }
        self.remove_waiting(now, adopted.request);
        let run = self.new_adopted_run(now, &adopted);
        let endpoint = match self.allocations.remove(adopted.permit) {
            Some(lent) => lent.endpoint,
            None => self.adopt_at_endpoint(now, &adopted.endpoint),
        };
        let allocation = Allocation {
            holder: adopted.holder,
            endpoint,
            since: now,
            purpose: Use::Run(run),
        };
        self.start_run(adopted.permit, allocation, run);
    }

    /// Records the end of a run under a loan. [`Self::done`] can't do so
    /// because the pool does not know the request. The loan continues.
    pub fn record_loan_run(&mut self, now: Millis, tier: Tier, class: &name::Class, done: &Done) {
        let id = self.classes.id(now, tier, class);
        let endpoint = self
            .allocations
            .get(done.permit)
            .map(|allocation| allocation.endpoint);
        let class = self.classes.get_mut(id);
        class.record_arrival(now, class.target);
        if let Some(endpoint) = endpoint {
            self.record_outcome(now, endpoint, id, done, false);
        }
    }

    /// Adds a request to the waiting list.
    pub(super) fn enqueue(&mut self, now: Millis, waiter: Waiter) {
        let ask = &waiter.ask;
        let id = self.classes.id(now, ask.tier, &ask.class);
        let class = self.classes.get_mut(id);
        class.record_arrival(now, ask.deadline - now);
        class.active += 1;
        self.waiting.insert(now, &self.classes, id, waiter);
    }

    /// Removes a request from the waiting list if it is there.
    pub(super) fn remove_waiting(&mut self, now: Millis, request: name::Request) {
        let queued = self.waiting.remove_request(now, &self.classes, request);
        if let Some(queued) = queued {
            self.classes.get_mut(queued.class).active -= 1;
        }
    }

    /// Removes the request with this number from the waiting list.
    pub(super) fn remove_waiting_by_number(&mut self, now: Millis, number: u64) -> Option<Waiter> {
        let queued = self.waiting.remove(now, &self.classes, number)?;
        self.classes.get_mut(queued.class).active -= 1;
        Some(queued.waiter)
    }

    /// Returns the existing grant of a request that asks again; none if its run
    /// has ended.
    pub(super) fn repeat_grant(&self, permit: u64, waiter: &Waiter) -> Option<Decision> {
        let allocation = self.allocations.get(permit)?;
        let Use::Run(run) = allocation.purpose else {
            return None;
        };
        let asked_again = |attempt| waiter.ask.avoid.len() > attempt;
        if run.attempt.is_some_and(asked_again) {
            return None;
        }
        let endpoint = self.endpoints.get(allocation.endpoint);
        Some(Decision::Grant {
            request: run.request,
            holder: allocation.holder,
            permit,
            endpoint: endpoint.name.clone(),
            address: endpoint.address?,
            priority: priority(run.tier, run.from_class_share),
        })
    }

    /// Records a run that already holds a slot of its endpoint.
    pub(super) fn start_run(&mut self, permit: u64, allocation: Allocation, run: Run) {
        self.allocations.insert(permit, allocation);
        self.reserve.start(run.tier, run.bucket);
        self.waiting.start(run.flow);
    }

    /// Releases an allocation and records the run's end. Unknown permits are
    /// only remembered as ended.
    pub(super) fn release_allocation(&mut self, now: Millis, permit: u64, done: Option<&Done>) {
        self.allocations.record_end(now, permit);
        let Some(allocation) = self.allocations.remove(permit) else {
            return;
        };
        self.endpoints
            .update(now, allocation.endpoint, |endpoint| endpoint.release(now));
        if let Use::Run(run) = allocation.purpose {
            self.end_run(now, &allocation, &run, done);
        }
    }

    fn end_run(&mut self, now: Millis, allocation: &Allocation, run: &Run, done: Option<&Done>) {
        self.reserve.end(run.tier, run.bucket);
        self.waiting.end(now, run.flow);
        if let Some(done) = done {
            self.record_outcome(
                now,
                allocation.endpoint,
                run.class,
                done,
                run.attempt != Some(0),
            );
            let cost = cost(done) - run.charged;
            let classes = &self.classes;
            self.waiting.charge(
                now,
                classes,
                run.class,
                run.flow,
                cost,
                run.from_class_share,
            );
        }
        self.classes.get_mut(run.class).record_end(now);
    }

    /// Updates the statistics of a run's endpoint and class.
    fn record_outcome(&mut self, now: Millis, endpoint: u32, class: u32, done: &Done, retry: bool) {
        let class = self.classes.get_mut(class);
        match done.outcome {
            Outcome::Complete => {
                let expected = self.baseline.expected(&class.history, done);
                class.history.add(done);
                self.baseline.add(done);
                self.endpoints.update(now, endpoint, |endpoint| {
                    endpoint.succeed(now);
                    if let Some(expected) = expected {
                        endpoint.record_duration(expected, done.elapsed.0 as f64);
                    }
                });
            }
            Outcome::Failed => self
                .endpoints
                .update(now, endpoint, |endpoint| endpoint.fail(now, !retry)),
            Outcome::Refused => self
                .endpoints
                .update(now, endpoint, |endpoint| endpoint.refuse(now)),
            Outcome::Cancelled => {}
        }
    }

    fn new_adopted_run(&mut self, now: Millis, adopted: &ActiveRun) -> Run {
        let id = self.classes.id(now, adopted.tier, &adopted.class);
        let class: &mut Class = self.classes.get_mut(id);
        class.active += 1;
        let bucket = class.bucket;
        let flow = self
            .waiting
            .flow(now, &self.classes, id, &adopted.workspace);
        Run {
            request: adopted.request,
            tier: adopted.tier,
            class: id,
            flow,
            bucket,
            // The full cost is charged when the run ends.
            charged: 0.0,
            from_class_share: false,
            attempt: None,
        }
    }

    fn adopt_at_endpoint(&mut self, now: Millis, name: &name::Endpoint) -> u32 {
        let id = self.endpoints.id(name);
        self.endpoints.update(now, id, |endpoint| {
            endpoint.acquire(now);
            endpoint.reclassify_external();
        });
        id
    }
}

/// Returns the cost of a run, in tokens (or calls).
fn cost(done: &Done) -> f64 {
    match done.outcome {
        Outcome::Refused => 0.0,
        Outcome::Complete | Outcome::Failed | Outcome::Cancelled => done.tokens as f64,
    }
}
