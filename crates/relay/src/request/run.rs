//! Carries a request to its end, over as many attempts as it may have.

use std::cell::LazyCell;
use std::rc::Rc;

use actix_http::Request;
use actix_http::Response;
use actix_http::body::BoxBody;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::RequestProfile;
use woodgap_core::relay::admission::{self, Decision as Admission, LatencyRequirement};
use woodgap_core::relay::engine::Choice;
use woodgap_core::relay::plan::Kind;
use woodgap_core::relay::polling;
use woodgap_core::relay::roster::Endpoint;
use woodgap_core::relay::shutdown::EndTime;
use woodgap_core::verdict::Verdict;

use crate::dialect::Decline;
use crate::front::server::ConnectedAt;
use crate::request::admit::{self, Admitted};
use crate::request::attempt::{Failure, attempt};
use crate::request::crash;
use crate::request::problem::Code;
use crate::request::{Account, Answer, Problem};
use crate::state::State;

/// How many endpoints are tried without anything being sent to them.
const MOST_UNSENT: u32 = 4;
/// When callers should come back to a service whose endpoints all warm up.
const WARMING: Millis = Millis(1_000);
/// When callers should come back to a service without an endpoint.
const NO_ENDPOINT: Millis = Millis(300);
/// An idempotent request is tried elsewhere once it took so many times its
/// target: by then an answer hardly comes.
const PATIENCE_TARGETS: u64 = 2;

impl Admitted {
    /// What is to be sent, for the choice of an endpoint.
    pub fn ask(&self) -> RequestProfile<'_> {
        RequestProfile {
            work: self.call.work.as_ref(),
            engine: self.service.engine,
            gap: self.route.gap,
        }
    }

    /// What its caller waits for.
    fn claim(&self, now: Millis) -> LatencyRequirement {
        LatencyRequirement {
            is_stream: self.route.kind == Kind::Stream,
            target: self.route.target,
            remaining: self.deadline - now,
        }
    }
}

/// Serves one request.
pub async fn serve(state: Rc<State>, request: Request) -> Response<BoxBody> {
    let connected = request.conn_data::<ConnectedAt>();
    let connected = connected.map_or_else(|| state.now(), |it| it.0);
    let mut account = Account::open(&state, connected);
    // Whoever still waits when the process is about to end gets an answer, too.
    let answered = tokio::select! {
        biased;
        answered = answer(&state, request, &mut account) => Some(answered),
        () = state.closed() => None,
    };
    match answered.unwrap_or_else(|| Err(account.unanswered())) {
        Ok((answer, deadline)) => answer.respond(&state, account, deadline),
        Err(problem) => refuse(&state, account, &problem),
    }
}

/// An endpoint's answer to a request, and the deadline for its end.
async fn answer(
    state: &Rc<State>,
    request: Request,
    account: &mut Account,
) -> Result<(Answer, Millis), Problem> {
    let admitted = admit::admit(state, request, account).await?;
    state.count_request(&admitted.service.name);
    let answer = carry_out(state, &admitted, account).await?;
    Ok((answer, admitted.deadline))
}

fn refuse(state: &State, mut account: Account, problem: &Problem) -> Response<BoxBody> {
    account.refuse(problem);
    problem.answer(state.dialect.as_ref(), account.id())
}

/// The attempts at one request so far.
#[derive(Default)]
struct Attempts {
    tried: Vec<name::Life>,
    unsent: u32,
    sent: u32,
    verdict: Option<Verdict>,
    /// An answer that says that the endpoint failed, for want of a better one.
    failed_answer: Option<Answer>,
}

async fn carry_out(
    state: &Rc<State>,
    request: &Admitted,
    account: &mut Account,
) -> Result<Answer, Problem> {
    let mut attempts = Attempts::default();
    loop {
        let choice = match choose(state, request, &attempts) {
            Ok(choice) => choice,
            Err(problem) => return attempts.end(problem),
        };
        let until = attempts.until(state.now(), request);
        let failure = match attempt(state, request, &choice, until, account).await {
            Ok(answer) if !attempts.may_improve(state, request, &answer) => return Ok(answer),
            Ok(answer) => {
                attempts.sent += 1;
                attempts.tried.push(choice.endpoint.life);
                attempts.failed_answer = Some(answer);
                continue;
            }
            Err(failure) => failure,
        };
        account.failed(&failure.to_string());
        attempts.note(&failure, choice.endpoint.life.clone());
        if let Some(problem) = attempts.must_end(state, request, &failure) {
            return attempts.end(problem);
        }
        // An endpoint that has crashed counts before the next one is chosen.
        crash::checked(state, &choice.endpoint.life).await;
    }
}

/// The best endpoint that was not tried yet.
fn choose(state: &State, request: &Admitted, attempts: &Attempts) -> Result<Choice, Problem> {
    let now = state.now();
    may_send(state, request, now)?;
    let roster = state.roster.borrow();
    let evacuation = state.evacuation.borrow();
    let usable = roster.usable(&request.service.name, &evacuation, now);
    let has_any = !usable.is_empty();
    let usable = without_cold(state, request, usable, now);
    if has_any && usable.is_empty() {
        let message = format!("the endpoints of `{}` are warming up", request.service.name);
        return Err(Problem::not_run(Code::Overloaded, message).retry_after(WARMING));
    }
    let entries = state.fleet.borrow().size();
    let mut loads = state.loads.borrow_mut();
    let in_use = loads.active_subset(usable, &request.ask(), entries, now);
    let limit = connection_limit(state, request);
    let open: Vec<_> = in_use
        .into_iter()
        .filter(|endpoint| !attempts.tried.contains(&endpoint.life))
        .filter(|endpoint| state.pool.borrow().busy(&endpoint.life) < limit)
        .collect();
    let choice = loads.choose(&open, &request.ask(), now);
    let missing = || {
        let message = format!("no endpoint of `{}` can be reached", request.service.name);
        Problem::not_run(Code::NoEndpoint, message).retry_after(NO_ENDPOINT)
    };
    let choice = choice.ok_or_else(missing)?;
    let claim = request.claim(now);
    if !ends_in_time(state, request, &choice, now) {
        return Err(Problem::stopping());
    }
    match admission::decide(&choice, claim, rand::random()) {
        Admission::Admit => Ok(choice),
        Admission::Refuse(retry_after) => {
            let bound = claim.max_wait_for(&choice);
            let message = format!(
                "the expected wait is {:.0} ms of {bound}",
                choice.expected_wait
            );
            Err(Problem::not_run(Code::Overloaded, message).retry_after(retry_after))
        }
    }
}

/// Leaves out the cold endpoints that get no request of this entry now. One that has just
/// started does not know yet which of them are its own.
fn without_cold<'e>(
    state: &State,
    request: &Admitted,
    usable: Vec<&'e Endpoint>,
    now: Millis,
) -> Vec<&'e Endpoint> {
    let Some(rate) = request.service.cold_rate else {
        return usable;
    };
    let roster = state.roster.borrow();
    let warmed = state.warmed.borrow();
    let is_settled = polling::has_converged(state.life());
    // Asked for only once there is a cold one.
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

/// Whether the request may be sent at all: not one that crashes the endpoints that run it.
fn may_send(state: &State, request: &Admitted, now: Millis) -> Result<(), Problem> {
    let hold = state.quarantine.borrow().hold(request.fingerprint, now);
    let Some(hold) = hold else { return Ok(()) };
    state.metrics.withheld.inc();
    let message = format!("{} endpoints crashed with this request", hold.crashes);
    Err(Problem::not_run(Code::Withheld, message).retry_after(hold.until - now))
}

/// Whether the answer ends before this entry does. Asked before each attempt, as a body that
/// comes late, or an attempt that failed late, leaves less time than there was at first.
fn ends_in_time(state: &State, request: &Admitted, choice: &Choice, now: Millis) -> bool {
    let end = EndTime {
        deadline: request.deadline,
        forecast: choice.estimated_end(request.route.kind == Kind::Stream, now),
    };
    let shutdown = state.shutdown();
    shutdown.is_none_or(|shutdown| shutdown.accepts(end, now))
}

/// The own part of the connections that an endpoint accepts from all entries.
fn connection_limit(state: &State, request: &Admitted) -> usize {
    let all = usize::try_from(request.service.connections).unwrap_or(usize::MAX);
    let entries = state.fleet.borrow().size();
    (all / entries).max(1)
}

impl Attempts {
    /// Until when the next attempt may take.
    fn until(&self, now: Millis, request: &Admitted) -> Millis {
        let may_repeat = request.route.kind == Kind::Idempotent && self.is_below(request);
        if !may_repeat {
            return request.deadline;
        }
        let patience = Millis(request.route.target.0 * PATIENCE_TARGETS);
        request.deadline.min(now + patience)
    }

    /// Whether one more endpoint may be sent to after the next one.
    fn is_below(&self, request: &Admitted) -> bool {
        self.sent + 1 < request.route.attempts
    }

    /// Whether an endpoint's failure should be tried again elsewhere.
    fn may_improve(&self, state: &State, request: &Admitted, answer: &Answer) -> bool {
        answer.status().is_server_error()
            && matches!(answer, Answer::Whole { .. })
            && request.route.repeatable()
            && self.is_below(request)
            && state.now() < request.deadline
            && state.spend_repeat(&request.service.name)
    }

    fn note(&mut self, failure: &Failure, endpoint: name::Life) {
        self.tried.push(endpoint);
        if matches!(failure, Failure::Unsent(_)) {
            self.unsent += 1;
        } else {
            self.sent += 1;
        }
        let verdict = failure.verdict();
        self.verdict = self.verdict.max(Some(verdict));
    }

    /// What the caller is told, if there is to be no further attempt.
    fn must_end(&self, state: &State, request: &Admitted, failure: &Failure) -> Option<Problem> {
        let verdict = self.verdict.unwrap_or(Verdict::NotRun);
        let may_send = match failure {
            Failure::Unsent(_) => self.unsent < MOST_UNSENT,
            Failure::Declined(_) | Failure::Cut(_) | Failure::Broken(_) | Failure::TimedOut => {
                self.sent < request.route.attempts
                    && (verdict.safe_to_repeat() || request.route.repeatable())
                    && state.spend_repeat(&request.service.name)
            }
        };
        if may_send && state.now() < request.deadline {
            return None;
        }
        Some(self.problem(request, failure, state.now()))
    }

    fn problem(&self, request: &Admitted, failure: &Failure, now: Millis) -> Problem {
        let message = failure.to_string();
        match self.verdict {
            Some(Verdict::NotRun) | None => {
                let code = match failure {
                    Failure::Declined(Decline::Full) => Code::Overloaded,
                    _ => Code::NoEndpoint,
                };
                Problem::not_run(code, message).retry_after(admission::MIN_RETRY_AFTER)
            }
            Some(_) if now >= request.deadline => Problem::may_have_run(Code::Timeout, message),
            Some(_) => Problem::may_have_run(Code::EndpointFailed, message),
        }
    }

    /// The end without an answer of the last attempt: an earlier answer, or the
    /// problem with all that was sent taken into account.
    fn end(self, mut problem: Problem) -> Result<Answer, Problem> {
        if let Some(answer) = self.failed_answer {
            return Ok(answer);
        }
        problem.verdict = problem.verdict.max(self.verdict.unwrap_or(Verdict::NotRun));
        if problem.verdict != Verdict::NotRun {
            problem.retry_after = None;
        }
        Err(problem)
    }
}
