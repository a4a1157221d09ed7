//! Serves a request, with retries up to the limit of its route.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{ConnectionType, Request, Response, Version};
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::admission::MIN_RETRY_AFTER;
use woodgap_core::relay::engine::Choice;
use woodgap_core::relay::fleet::Member;
use woodgap_core::relay::plan::Kind;
use woodgap_core::relay::shutdown::EndTime;
use woodgap_core::verdict::Verdict;
use woodgap_intake::Serving;

use crate::dialect::Decline;
use crate::front::server::ConnectedAt;
use crate::request::admit::{self, AdmittedRequest, Origin};
use crate::request::attempt::{AttemptError, attempt};
use crate::request::crash;
use crate::request::handover;
use crate::request::problem::Code;
use crate::request::selection;
use crate::request::{AccessRecord, EndpointResponse, Problem};
use crate::scheduling::{admission, announcement};
use crate::state::State;
use crate::streams;

/// Maximum number of attempts that fail before any byte is sent.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// A request is handed to another entry after this number of them: one endpoint may be down, but
/// two suggest that this entry's links are.
const UNSENT_BEFORE_HANDOVER: u32 = 2;
/// An idempotent request is retried on another endpoint after this multiple of its latency target:
/// a response is unlikely by then.
const ATTEMPT_TIMEOUT_TARGETS: u64 = 2;

/// Serves one request.
pub async fn serve(
    state: Rc<State>,
    request: Request,
    origin: Origin,
    serving: &Serving,
) -> Response<BoxBody> {
    let version = request.head().version;
    let connected = request.conn_data::<ConnectedAt>();
    let connected = connected.map_or_else(|| state.now(), |it| it.0);
    let mut record = AccessRecord::open(&state, connected);
    // Callers that still wait when the process is about to exit get an error response.
    let result = tokio::select! {
        biased;
        result = process(&state, request, origin, serving, &mut record) => Some(result),
        () = state.closed() => None,
    };
    serving.release();
    match result.unwrap_or_else(|| Err(record.shutdown_problem())) {
        Ok((response, deadline)) => {
            let mut response = response.respond(&state, record, deadline);
            // Earlier protocols have no chunks: the body ends with the connection.
            if version < Version::HTTP_11 {
                let head = response.head_mut();
                head.no_chunking(true);
                head.set_connection_type(ConnectionType::Close);
            }
            response
        }
        Err(problem) => refuse(&state, record, origin, &problem),
    }
}

/// Returns an endpoint's response, and the deadline for its end.
async fn process(
    state: &Rc<State>,
    request: Request,
    origin: Origin,
    serving: &Serving,
    record: &mut AccessRecord,
) -> Result<(EndpointResponse, Millis), Problem> {
    let admitted = admit::admit(state, request, origin, serving, record).await?;
    if origin == Origin::Caller {
        state.count_request(&admitted.service.name);
    }
    // A request that is handed over is scheduled by the entry that sends it to an endpoint.
    if peer_instead_of_endpoints(state, &admitted, &Attempts::default()).is_none() {
        admission::admit(state, &admitted, record).await?;
    }
    let response = run_attempts(state, &admitted, record).await?;
    Ok((response, admitted.deadline))
}

fn refuse(
    state: &State,
    mut record: AccessRecord,
    origin: Origin,
    problem: &Problem,
) -> Response<BoxBody> {
    record.refuse(problem);
    let mut response = problem.to_response(state.dialect.as_ref(), record.id());
    if origin == Origin::Entry {
        let (name, value) = handover::problem_header(problem);
        response.headers_mut().insert(name, value);
    }
    response
}

/// The attempts at one request so far.
#[derive(Default)]
struct Attempts {
    tried: Vec<name::Life>,
    /// The other entries that were asked.
    peers: Vec<name::Entry>,
    unsent: u32,
    sent: u32,
    verdict: Option<Verdict>,
    /// A server error from an endpoint, returned if no later attempt succeeds.
    failed_response: Option<EndpointResponse>,
}

/// Where the next attempt goes.
enum Target {
    Endpoint(Box<Choice>),
    Peer(Member),
}

async fn run_attempts(
    state: &Rc<State>,
    request: &AdmittedRequest,
    record: &mut AccessRecord,
) -> Result<EndpointResponse, Problem> {
    let mut attempts = Attempts::default();
    loop {
        state.until_caught_up().await;
        streams::until_registered(state, request).await;
        let target = match next_target(state, request, &attempts) {
            Ok(target) => target,
            Err(problem) => {
                let problem = attempts
                    .announce_retry(state, request, record, problem)
                    .await;
                return attempts.finish(problem);
            }
        };
        let answered = attempts.run_one(state, request, &target, record).await;
        let failure = match answered {
            // Another entry has made all attempts that are allowed.
            Ok(response) if matches!(target, Target::Peer(_)) => return Ok(response),
            Ok(response) if !attempts.may_retry(state, request, &response) => {
                if let Target::Endpoint(choice) = &target {
                    streams::record(state, request, &choice.endpoint, &response);
                }
                return Ok(response);
            }
            Ok(response) => {
                attempts.sent += 1;
                attempts.failed_response = Some(response);
                attempts.exclude(target);
                continue;
            }
            Err(failure) => failure,
        };
        record.record_failed_attempt(&failure.to_string());
        attempts.record(&failure, &target, request);
        if let Some(problem) = attempts.final_problem(state, request, &failure) {
            return attempts.finish(problem);
        }
        // A crash must be counted before the next endpoint is chosen.
        if let Target::Endpoint(choice) = &target {
            crash::wait_for_check(state, &choice.endpoint.life).await;
        }
        attempts.exclude(target);
    }
}

/// Chooses an endpoint or, if this entry reaches none, another entry.
fn next_target(
    state: &State,
    request: &AdmittedRequest,
    attempts: &Attempts,
) -> Result<Target, Problem> {
    if let Some(peer) = peer_instead_of_endpoints(state, request, attempts) {
        return Ok(Target::Peer(peer));
    }
    match selection::choose(state, request, &attempts.tried) {
        Ok(choice) => Ok(Target::Endpoint(Box::new(choice))),
        Err(problem) if problem.code == Code::NoEndpoint => {
            let peer = attempts.choose_peer(state, request);
            peer.map(Target::Peer).ok_or(problem)
        }
        Err(problem) => Err(problem),
    }
}

/// The entry to hand the request to without trying endpoints (again), if there is one.
fn peer_instead_of_endpoints(
    state: &State,
    request: &AdmittedRequest,
    attempts: &Attempts,
) -> Option<Member> {
    let is_isolated = state.isolation.borrow().is_isolated();
    let is_due = is_isolated || attempts.unsent >= UNSENT_BEFORE_HANDOVER;
    is_due.then(|| attempts.choose_peer(state, request))?
}

impl Attempts {
    /// The entry to hand the request to, unless this one stops before the response can end.
    fn choose_peer(&self, state: &State, request: &AdmittedRequest) -> Option<Member> {
        let end = EndTime {
            deadline: request.deadline,
            forecast: None,
        };
        let ends_in_time = state
            .shutdown()
            .is_none_or(|shutdown| shutdown.accepts(end, state.now()));
        if !ends_in_time || selection::check_quarantine(state, request, state.now()).is_err() {
            return None;
        }
        handover::choose(state, request, &self.peers)
    }

    /// Sends the request to an endpoint, or hands it to another entry.
    async fn run_one(
        &self,
        state: &Rc<State>,
        request: &AdmittedRequest,
        target: &Target,
        record: &mut AccessRecord,
    ) -> Result<EndpointResponse, AttemptError> {
        match target {
            Target::Endpoint(choice) => {
                let deadline = self.attempt_deadline(state.now(), request);
                attempt(state, request, choice, deadline, record).await
            }
            Target::Peer(member) => {
                let left = request.attempts.saturating_sub(self.sent).max(1);
                handover::attempt(state, request, member, left, record).await
            }
        }
    }

    /// Excludes an endpoint or entry from further attempts.
    fn exclude(&mut self, target: Target) {
        match target {
            Target::Endpoint(choice) => self.tried.push(choice.endpoint.life),
            Target::Peer(member) => self.peers.push(member.name),
        }
    }

    /// Tells the caller of a scheduled request that found no endpoint before its first attempt when
    /// it is to retry.
    async fn announce_retry(
        &self,
        state: &State,
        request: &AdmittedRequest,
        record: &mut AccessRecord,
        problem: Problem,
    ) -> Problem {
        let is_first = self.tried.is_empty();
        if !is_first || problem.code != Code::Overloaded || !record.is_scheduled() {
            return problem;
        }
        announcement::replace(state, request, record, problem).await
    }

    /// The deadline of the next attempt.
    fn attempt_deadline(&self, now: Millis, request: &AdmittedRequest) -> Millis {
        let may_repeat =
            request.route.kind == Kind::Idempotent && self.has_attempt_after_next(request);
        if !may_repeat {
            return request.deadline;
        }
        let timeout = Millis(request.route.target.0 * ATTEMPT_TIMEOUT_TARGETS);
        request.deadline.min(now + timeout)
    }

    /// Whether another attempt is allowed after the next one.
    fn has_attempt_after_next(&self, request: &AdmittedRequest) -> bool {
        self.sent + 1 < request.attempts
    }

    /// Whether to retry a server error on another endpoint.
    fn may_retry(
        &self,
        state: &State,
        request: &AdmittedRequest,
        response: &EndpointResponse,
    ) -> bool {
        response.status().is_server_error()
            && matches!(response, EndpointResponse::Whole { .. })
            && request.route.repeatable()
            && self.has_attempt_after_next(request)
            && state.now() < request.deadline
            && state.spend_repeat(&request.service.name)
    }

    fn record(&mut self, failure: &AttemptError, target: &Target, request: &AdmittedRequest) {
        match (failure, target) {
            (AttemptError::NotSent(_), _) => self.unsent += 1,
            // It was sent to no endpoint.
            (AttemptError::TurnedAway(problem), _) if problem.is_of_entry() => {}
            // The other entry may have made all attempts that are allowed.
            (_, Target::Peer(_)) => self.sent = request.attempts,
            (_, Target::Endpoint(_)) => self.sent += 1,
        }
        let verdict = failure.verdict();
        self.verdict = self.verdict.max(Some(verdict));
    }

    /// The error for the caller, if no further attempt is allowed.
    fn final_problem(
        &self,
        state: &State,
        request: &AdmittedRequest,
        failure: &AttemptError,
    ) -> Option<Problem> {
        let verdict = self.verdict.unwrap_or(Verdict::NotRun);
        let may_retry = match failure {
            AttemptError::NotSent(_) => self.unsent < MAX_UNSENT_ATTEMPTS,
            AttemptError::TurnedAway(problem) if problem.is_of_entry() => true,
            AttemptError::TurnedAway(problem) => return Some(problem.clone()),
            AttemptError::Declined(_)
            | AttemptError::Disconnected(_)
            | AttemptError::Broken(_)
            | AttemptError::TimedOut => {
                self.sent < request.attempts
                    && (verdict.safe_to_repeat() || request.route.repeatable())
                    && state.spend_repeat(&request.service.name)
            }
        };
        if may_retry && state.now() < request.deadline {
            return None;
        }
        Some(self.problem(request, failure, state.now()))
    }

    fn problem(&self, request: &AdmittedRequest, failure: &AttemptError, now: Millis) -> Problem {
        let message = failure.to_string();
        match self.verdict {
            Some(Verdict::NotRun) | None => {
                let code = match failure {
                    AttemptError::Declined(Decline::Full) => Code::Overloaded,
                    _ => Code::NoEndpoint,
                };
                Problem::not_run(code, message).retry_after(MIN_RETRY_AFTER)
            }
            Some(_) if now >= request.deadline => Problem::may_have_run(Code::Timeout, message),
            Some(_) => Problem::may_have_run(Code::EndpointFailed, message),
        }
    }

    /// The result if the last attempt got no response: an earlier server error, or the problem with
    /// a verdict that covers all attempts.
    fn finish(self, mut problem: Problem) -> Result<EndpointResponse, Problem> {
        if let Some(response) = self.failed_response {
            return Ok(response);
        }
        problem.verdict = problem.verdict.max(self.verdict.unwrap_or(Verdict::NotRun));
        if problem.verdict != Verdict::NotRun {
            problem.retry_after = None;
        }
        Err(problem)
    }
}
