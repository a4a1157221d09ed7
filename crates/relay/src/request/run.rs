//! Serves a request, with retries up to the limit of its route.

use std::cell::LazyCell;
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{ConnectionType, Request, Response, Version};
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::quarantine::Cause;
use woodgap_core::relay::RequestProfile;
use woodgap_core::relay::admission::{
    Decision as Admission, LatencyRequirement, MAX_RETRY_AFTER, MIN_RETRY_AFTER, decide,
    retry_after_rate,
};
use woodgap_core::relay::brittle;
use woodgap_core::relay::duty;
use woodgap_core::relay::engine::Choice;
use woodgap_core::relay::fleet::Member;
use woodgap_core::relay::plan::Kind;
use woodgap_core::relay::roster::Endpoint;
use woodgap_core::relay::shutdown::EndTime;
use woodgap_core::verdict::Verdict;

use crate::dialect::Decline;
use crate::front::server::ConnectedAt;
use crate::request::admit::{self, AdmittedRequest, Origin};
use crate::request::attempt::{AttemptError, attempt};
use crate::request::crash;
use crate::request::handover;
use crate::request::problem::Code;
use crate::request::{AccessRecord, EndpointResponse, Problem};
use crate::scheduling::{admission, announcement};
use crate::state::State;
use crate::streams;

/// Maximum number of attempts that fail before any byte is sent.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// A request is handed to another entry after this number of them: one endpoint may be down, but
/// two suggest that this entry's links are.
const UNSENT_BEFORE_HANDOVER: u32 = 2;
/// `Retry-After` for a service whose endpoints are all warming up.
const WARM_UP_RETRY_AFTER: Millis = Millis(1_000);
/// `Retry-After` for a service without a reachable endpoint.
const NO_ENDPOINT_RETRY_AFTER: Millis = Millis(300);
/// `Retry-After` for a service whose endpoints are brittle: most requests end within this time.
const BRITTLE_RETRY_AFTER: Millis = Millis(250);
/// An idempotent request is retried on another endpoint after this multiple of its latency target:
/// a response is unlikely by then.
const ATTEMPT_TIMEOUT_TARGETS: u64 = 2;

impl AdmittedRequest {
    /// The properties of the request that the choice of an endpoint depends on.
    pub fn profile(&self) -> RequestProfile<'_> {
        RequestProfile {
            work: self.call.work.as_ref(),
            engine: self.service.engine,
            gap: self.route.gap,
        }
    }

    /// The latency that the caller requires.
    fn latency_requirement(&self, now: Millis) -> LatencyRequirement {
        LatencyRequirement {
            is_stream: self.route.kind == Kind::Stream,
            target: self.route.target,
            remaining: self.deadline - now,
        }
    }
}

/// Serves one request.
pub async fn serve(state: Rc<State>, request: Request, origin: Origin) -> Response<BoxBody> {
    let version = request.head().version;
    let connected = request.conn_data::<ConnectedAt>();
    let connected = connected.map_or_else(|| state.now(), |it| it.0);
    let mut record = AccessRecord::open(&state, connected);
    // Callers that still wait when the process is about to exit get an error response.
    let result = tokio::select! {
        biased;
        result = process(&state, request, origin, &mut record) => Some(result),
        () = state.closed() => None,
    };
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
    record: &mut AccessRecord,
) -> Result<(EndpointResponse, Millis), Problem> {
    let admitted = admit::admit(state, request, origin, record).await?;
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
    match choose(state, request, attempts) {
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

/// Chooses the best endpoint that has not been tried yet.
fn choose(
    state: &State,
    request: &AdmittedRequest,
    attempts: &Attempts,
) -> Result<Choice, Problem> {
    let now = state.now();
    check_quarantine(state, request, now)?;
    let roster = state.roster.borrow();
    let evacuation = state.evacuation.borrow();
    let usable = roster.usable(&request.service.name, &evacuation, now);
    let usable = streams::of_version(state, request, usable, now)?;
    let usable = exclude_unwilling(state, request, attempts, usable, now)?;
    let entries = state.fleet.borrow().size();
    let mut loads = state.loads.borrow_mut();
    let active = loads.active_subset(usable, &request.profile(), entries, now);
    let limit = connection_limit(state, request);
    let candidates: Vec<_> = active
        .into_iter()
        .filter(|endpoint| state.pool.borrow().busy(&endpoint.life) < limit)
        .collect();
    let choice = loads.choose(&candidates, &request.profile(), now);
    let no_endpoint = || {
        let message = format!("no endpoint of `{}` can be reached", request.service.name);
        Problem::not_run(Code::NoEndpoint, message).retry_after(NO_ENDPOINT_RETRY_AFTER)
    };
    let choice = choice.ok_or_else(no_endpoint)?;
    let requirement = request.latency_requirement(now);
    if !ends_in_time(state, request, &choice, now) {
        return Err(Problem::stopping());
    }
    match decide(&choice, requirement, rand::random()) {
        Admission::Admit => Ok(choice),
        Admission::Refuse(retry_after) => {
            let bound = requirement.max_wait_for(&choice);
            let message = format!(
                "the expected wait is {:.0} ms of {bound}",
                choice.expected_wait
            );
            Err(Problem::not_run(Code::Overloaded, message).retry_after(retry_after))
        }
    }
}

/// Filters out the endpoints that were tried, and those that may not get a request of this entry
/// now.
fn exclude_unwilling<'e>(
    state: &State,
    request: &AdmittedRequest,
    attempts: &Attempts,
    usable: Vec<&'e Endpoint>,
    now: Millis,
) -> Result<Vec<&'e Endpoint>, Problem> {
    let has_any = !usable.is_empty();
    let usable = exclude_cold(state, request, usable, now);
    if has_any && usable.is_empty() {
        let message = format!("the endpoints of `{}` are warming up", request.service.name);
        return Err(Problem::not_run(Code::Overloaded, message).retry_after(WARM_UP_RETRY_AFTER));
    }
    let untried = usable
        .into_iter()
        .filter(|endpoint| !attempts.tried.contains(&endpoint.life));
    let usable = exclude_backed_off(state, request, untried.collect(), now)?;
    let usable = exclude_limited(state, request, usable, now)?;
    exclude_brittle(state, request, usable, now)
}

/// Filters out the cold endpoints that this entry may not send to now. An entry that has just
/// started sends to none, as it does not know its share yet.
fn exclude_cold<'e>(
    state: &State,
    request: &AdmittedRequest,
    usable: Vec<&'e Endpoint>,
    now: Millis,
) -> Vec<&'e Endpoint> {
    let Some(rate) = request.service.cold_rate else {
        return usable;
    };
    let roster = state.roster.borrow();
    let warmed = state.warmed.borrow();
    let is_settled = duty::has_converged(state.life());
    // Computed only if there is a cold endpoint.
    let share = LazyCell::new(|| state.fleet.borrow().warmup_share(rate));
    let may_send = |endpoint: &&Endpoint| {
        let life = &endpoint.life;
        if !roster.is_cold(life, now) {
            return true;
        }
        let (sector, each) = &*share;
        is_settled && sector.contains(life) && warmed.may_send(life, *each, now)
    };
    usable.into_iter().filter(may_send).collect()
}

/// Filters out the endpoints that have asked this entry for a back-off and, if any others remain,
/// those that have just declined requests.
fn exclude_backed_off<'e>(
    state: &State,
    request: &AdmittedRequest,
    usable: Vec<&'e Endpoint>,
    now: Millis,
) -> Result<Vec<&'e Endpoint>, Problem> {
    let back_offs = state.back_offs.borrow();
    if usable.is_empty() || back_offs.is_empty() {
        return Ok(usable);
    }
    let remaining = usable.iter().map(|it| back_offs.remaining(&it.life, now));
    let shortest = remaining.min().unwrap_or_default();
    let loads = state.loads.borrow();
    let is_open = |endpoint: &Endpoint| {
        back_offs.may_send(&endpoint.life, now) && !loads.is_suspended(&endpoint.life)
    };
    let has_open = usable.iter().any(|endpoint| is_open(endpoint));
    let may_use = |endpoint: &&Endpoint| {
        let life = &endpoint.life;
        back_offs.may_send(life, now) || (!has_open && back_offs.is_fallback(life))
    };
    let remaining: Vec<_> = usable.into_iter().filter(may_use).collect();
    if !remaining.is_empty() {
        return Ok(remaining);
    }
    state.metrics.backed_off.inc();
    let message = format!(
        "the endpoints of `{}` ask for a back-off",
        request.service.name
    );
    let retry_after = shortest.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    Err(Problem::not_run(Code::Overloaded, message).retry_after(retry_after))
}

/// Filters out the endpoints that have named a rate limit of which this entry's part is used up.
fn exclude_limited<'e>(
    state: &State,
    request: &AdmittedRequest,
    usable: Vec<&'e Endpoint>,
    now: Millis,
) -> Result<Vec<&'e Endpoint>, Problem> {
    let mut limits = state.rate_limits.borrow_mut();
    if usable.is_empty() || limits.count(now) == 0 {
        return Ok(usable);
    }
    let is_settled = duty::has_converged(state.life());
    let ring = is_settled.then(|| state.fleet.borrow().ring());
    let rates = usable.iter().filter_map(|it| limits.rate(&it.life, now));
    let total_rate = rates.sum::<f64>();
    let may_send = |endpoint: &&Endpoint| limits.may_send(&endpoint.life, ring.as_ref(), now);
    let remaining: Vec<_> = usable.into_iter().filter(may_send).collect();
    if !remaining.is_empty() {
        return Ok(remaining);
    }
    state.metrics.rate_limited.inc();
    let message = format!(
        "the endpoints of `{}` take {total_rate:.1} requests per second",
        request.service.name
    );
    let retry_after = retry_after_rate(total_rate, rand::random());
    Err(Problem::not_run(Code::Overloaded, message).retry_after(retry_after))
}

/// Filters out the endpoints of a brittle service at which this entry's part of the slots is in
/// use, and those that have just refused a request.
fn exclude_brittle<'e>(
    state: &State,
    request: &AdmittedRequest,
    usable: Vec<&'e Endpoint>,
    now: Millis,
) -> Result<Vec<&'e Endpoint>, Problem> {
    let service = request.service.name.as_str();
    let known = state.brittle.borrow();
    if usable.is_empty() || !known.contains(service, now) {
        return Ok(usable);
    }
    let ring = state.fleet.borrow().ring_with_stopping();
    // An entry that has just started may not know all others yet.
    let is_settled = duty::has_converged(state.life());
    let max_part = if is_settled { usize::MAX } else { 1 };
    let pool = state.pool.borrow();
    let parts = usable.into_iter().map(|endpoint| {
        let part = brittle::own_slots(endpoint.slots, &ring, &endpoint.life);
        (endpoint, part.min(max_part))
    });
    let parts: Vec<_> = parts.filter(|(_, part)| *part > 0).collect();
    if parts.is_empty() {
        let message = format!("the brittle endpoints of `{service}` are left to other entries");
        return Err(Problem::not_run(Code::NoEndpoint, message).retry_after(BRITTLE_RETRY_AFTER));
    }
    let free = parts.into_iter().filter(|(endpoint, part)| {
        let life = &endpoint.life;
        pool.busy(life) < *part && !known.has_refused(life, now)
    });
    let remaining: Vec<_> = free.map(|(endpoint, _)| endpoint).collect();
    if !remaining.is_empty() {
        return Ok(remaining);
    }
    state.metrics.brittle_refusals.inc();
    let message = format!("this entry's part of the brittle endpoints of `{service}` is in use");
    Err(Problem::not_run(Code::Overloaded, message).retry_after(BRITTLE_RETRY_AFTER))
}

/// Rejects a quarantined request, which crashes the endpoints that run it or holds a part that does.
fn check_quarantine(state: &State, request: &AdmittedRequest, now: Millis) -> Result<(), Problem> {
    let hold = state.quarantine.borrow().hold(&request.causes, now);
    let Some(hold) = hold else { return Ok(()) };
    state.metrics.withheld.inc();
    let what = match hold.cause {
        Cause::Request(_) => "this request".to_owned(),
        Cause::Part(id) => format!("part {id:x} of its prompt"),
    };
    let message = format!("{} endpoints crashed with {what}", hold.crashes);
    Err(Problem::not_run(Code::Withheld, message).retry_after(hold.until - now))
}

/// Whether the response ends before this entry does. Checked before each attempt, as a slow body or
/// a failed attempt leaves less time.
fn ends_in_time(state: &State, request: &AdmittedRequest, choice: &Choice, now: Millis) -> bool {
    let end = EndTime {
        deadline: request.deadline,
        forecast: choice.estimated_end(request.route.kind == Kind::Stream, now),
    };
    let shutdown = state.shutdown();
    shutdown.is_none_or(|shutdown| shutdown.accepts(end, now))
}

/// This entry's share of the connections that an endpoint accepts from all entries.
fn connection_limit(state: &State, request: &AdmittedRequest) -> usize {
    let all = usize::try_from(request.service.connections).unwrap_or(usize::MAX);
    let entries = state.fleet.borrow().size();
    (all / entries).max(1)
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
        if !ends_in_time || check_quarantine(state, request, state.now()).is_err() {
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
