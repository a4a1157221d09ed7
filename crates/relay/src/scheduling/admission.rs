//! The admission of one request, and what becomes of it.

use std::rc::Rc;

use tokio::sync::oneshot;
use woodgap_core::clock::Millis;
use woodgap_core::relay::plan::Kind;
use woodgap_core::relay::scheduling::cost;
use woodgap_core::relay::scheduling::queue::Reason;
use woodgap_core::relay::scheduling::scheduler::{Request, Run};
use woodgap_core::verdict::Verdict;

use crate::request::{AccessRecord, AdmittedRequest, Problem};
use crate::scheduling::announcement::Announcement;
use crate::scheduling::{announcement, is_scheduled, verdict};
use crate::state::State;

/// The weight of callers without a workspace.
const DEFAULT_WEIGHT: f64 = 1.0;

/// A request that was admitted to a scheduled service. Its outcome tells the scheduler how much of
/// what it admits is served in time.
pub struct Admission {
    state: Rc<State>,
    service: String,
    route: String,
    priority: u8,
    cost: f64,
    is_plain: bool,
    admitted: Millis,
    has_outcome: bool,
    /// How long the request waited to be admitted.
    pub waited: Millis,
    /// Whether it came back as told and went first.
    pub has_returned: bool,
}

/// Waits until a request to a scheduled service is admitted.
///
/// # Errors
///
/// The error for the caller if it is refused; it has not run.
pub async fn admit(
    state: &Rc<State>,
    admitted: &AdmittedRequest,
    record: &mut AccessRecord,
) -> Result<(), Problem> {
    if !is_scheduled(state, &admitted.service.name) {
        return Ok(());
    }
    let arrived = state.now();
    state
        .loads
        .borrow_mut()
        .set_scheduled(&admitted.service.name, true);
    let settings = state.settings.scheduling.as_ref();
    if settings.is_none_or(|it| !it.admission) {
        return Ok(());
    }
    let mut request = admitted.scheduling_request(state, record.elapsed());
    let mut result = offer(state, &request, true).await;
    if let Err(reason) = result {
        let announcement = announcement::plan(state, admitted, &request, reason).await;
        if announcement != Announcement::AsTold {
            return Err(refusal(state, record, reason, announcement));
        }
        request.has_returned = true;
        request.target = admitted.route.target;
        result = offer(state, &request, false).await;
    }
    if let Err(reason) = result {
        let announcement = announcement::without_promise(state, admitted);
        return Err(refusal(state, record, reason, announcement));
    }
    record.set_admission(Admission {
        state: Rc::clone(state),
        service: admitted.service.name.clone(),
        route: admitted.route.name.clone(),
        priority: request.priority,
        cost: request.cost,
        is_plain: admitted.service.engine.is_none(),
        admitted: state.now(),
        has_outcome: false,
        waited: state.now() - arrived,
        has_returned: request.has_returned,
    });
    Ok(())
}

fn refusal(
    state: &State,
    record: &mut AccessRecord,
    reason: Reason,
    announcement: Announcement,
) -> Problem {
    let counter = &state.metrics.scheduling_refusals;
    counter.with_label_values(&[reason.as_str()]).inc();
    record.set_announcement(reason.as_str(), announcement);
    announcement.problem(reason.message())
}

/// Offers a request to the scheduler and waits for its decision.
async fn offer(state: &Rc<State>, request: &Request<'_>, is_new: bool) -> Result<(), Reason> {
    let scheduling = &state.scheduling;
    let mut decisions = Vec::new();
    let number = {
        let mut scheduler = scheduling.scheduler.borrow_mut();
        let now = state.now();
        if is_new {
            scheduler.arrive(request, now, &mut decisions)
        } else {
            scheduler.offer(request, now, &mut decisions)
        }
    };
    scheduling.deliver(&decisions);
    let decided = decisions.into_iter().map(verdict);
    if let Some((_, verdict)) = decided.into_iter().find(|(it, _)| *it == number) {
        return verdict;
    }
    let (sender, receiver) = oneshot::channel();
    scheduling.waiting.borrow_mut().insert(number, sender);
    scheduling.deadline_changed.notify_one();
    // Withdraws the request if its caller goes while it waits.
    let _place = Place { state, number };
    // The sender is dropped only with the state.
    receiver.await.unwrap_or(Err(Reason::NoRoom))
}

/// A place in the waiting list, until dropped.
struct Place<'a> {
    state: &'a State,
    number: u64,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let scheduling = &self.state.scheduling;
        if scheduling
            .waiting
            .borrow_mut()
            .remove(&self.number)
            .is_some()
        {
            let now = self.state.now();
            scheduling.scheduler.borrow_mut().withdraw(self.number, now);
        }
    }
}

impl Admission {
    /// Records the first byte of the answer.
    pub fn record_first_byte(&mut self, is_late: bool) {
        if self.has_outcome {
            return;
        }
        self.has_outcome = true;
        let now = self.state.now();
        let mut scheduler = self.state.scheduling.scheduler.borrow_mut();
        scheduler.record_outcome(&self.service, self.cost, is_late, now);
        let run = Run {
            service: &self.service,
            route: &self.route,
            priority: self.priority,
            cost: self.cost,
            first_byte: now - self.admitted,
            is_plain: self.is_plain,
        };
        scheduler.record_run(&run, now);
    }

    /// Records the end of the request, with whether it may have run, and whether an answer would
    /// have been late by now.
    pub fn record_end(&mut self, verdict: Verdict, is_late: bool) {
        if self.has_outcome {
            return;
        }
        self.has_outcome = true;
        let now = self.state.now();
        let mut scheduler = self.state.scheduling.scheduler.borrow_mut();
        if verdict == Verdict::NotRun {
            scheduler.record_loss(&self.service, self.cost, now);
        } else {
            scheduler.record_outcome(&self.service, self.cost, is_late, now);
        }
    }
}

impl AdmittedRequest {
    /// The request as the scheduler knows it, `elapsed` after it arrived.
    pub fn scheduling_request(&self, state: &State, elapsed: Millis) -> Request<'_> {
        let workspace = self.workspace.as_deref();
        Request {
            service: &self.service.name,
            workspace: workspace.map_or("", |it| it.name.as_str()),
            weight: workspace.map_or(DEFAULT_WEIGHT, |it| it.weight),
            priority: self.priority,
            route: &self.route.name,
            cost: self.cost(state),
            bytes: self.body.len(),
            target: self.route.target - elapsed,
            has_returned: false,
        }
    }

    fn cost(&self, state: &State) -> f64 {
        match (&self.call.work, &self.service.engine) {
            (Some(work), Some(engine)) if self.route.kind == Kind::Stream => {
                cost::engine_cost(work, engine)
            }
            _ => {
                let scheduler = state.scheduling.scheduler.borrow();
                scheduler.service_cost(&self.service.name, &self.route.name, state.now())
            }
        }
    }
}
