//! Carries a request from its arrival to its end, over as many attempts as it may have.

use std::sync::Arc;
use std::time::{Duration, Instant};

use awc::ClientResponse;
use awc::error::SendRequestError;
use woodgap_core::clock::Millis;
use woodgap_core::control::Outcome;
use woodgap_core::verdict::Verdict;
use woodgap_platform::endpoint::REQUEST_HEADER;
use woodgap_platform::http::Platform;

use crate::control::Permit;
use crate::endpoint::{Client, client};
use crate::request::account::Account;
use crate::request::model::{self, Progress};
use crate::request::{
    Call, Code, Ending, Granted, Head, Item, Problem, Received, Request, Sink, service,
};
use crate::shared::Shared;

/// What one worker thread needs to run requests.
#[derive(Clone)]
pub struct Worker {
    /// The entry's shared state.
    pub shared: Arc<Shared>,
    /// This thread's client to endpoints and other entries.
    pub client: Client,
    /// This thread's client to the platform.
    pub platform: Platform,
}

impl Worker {
    /// How long an endpoint may send nothing.
    pub fn endpoint_timeout(&self) -> Duration {
        Duration::from_millis(self.shared.settings.dispatch.endpoint_timeout.0)
    }

    /// How long a caller may take nothing.
    pub fn caller_timeout(&self) -> Duration {
        Duration::from_millis(self.shared.settings.limits.caller_timeout.0)
    }
}

/// How one attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// The whole answer was passed on.
    Complete,
    /// The endpoint did not start it.
    Refused,
    /// The endpoint says that the request itself is wrong.
    Rejected(String),
    /// The endpoint failed after it may have started.
    Broken(String),
    /// The endpoint sent what can't be relayed.
    Garbage(String),
    /// The caller went away.
    Gone,
}

/// Runs a request to its end, tells the caller, and accounts for it.
pub async fn run(worker: Worker, request: Request<Received>, sink: Sink) {
    let _running = worker.shared.running.enter();
    let head = request.head.clone();
    let mut account = Account::new(&worker.shared, &head);
    let ending = attempts(&worker, request, &sink, &mut account).await;
    let told = match &ending {
        Ending::Complete => sink.send(Item::Complete).await,
        Ending::Failed(problem) => sink.send(Item::Failed(problem.clone())).await,
        Ending::Abandoned => Ok(()),
    };
    account.close(if told.is_ok() {
        &ending
    } else {
        &Ending::Abandoned
    });
}

async fn attempts(
    worker: &Worker,
    mut request: Request<Received>,
    sink: &Sink,
    account: &mut Account<'_>,
) -> Ending {
    let mut progress = Progress::default();
    let mut started = false;
    loop {
        let asked_at = Instant::now();
        let asked = tokio::select! {
            asked = request.ask(&worker.shared) => asked,
            () = sink.gone() => return Ending::Abandoned,
        };
        account.asked(asked_at.elapsed());
        let mut granted = match asked {
            Ok(granted) => granted,
            Err(problem) => return Ending::Failed(after_start(problem, account)),
        };
        let head = granted.head.clone();
        account.dispatched(granted.permit().endpoint());
        let attempt = tokio::select! {
            attempt = attempt(worker, &head, granted.permit(), &mut progress, &mut started, sink) => attempt,
            () = sink.abandoned() => Attempt::Gone,
        };
        account.attempted(granted.permit(), &attempt, progress.offset);
        match next(worker, granted, attempt, started) {
            Next::Again(again) => request = again,
            Next::End(ending) => return ending,
        }
    }
}

async fn attempt(
    worker: &Worker,
    head: &Head,
    permit: &mut Permit,
    progress: &mut Progress,
    started: &mut bool,
    sink: &Sink,
) -> Attempt {
    match &head.call {
        Call::Model(call) => model::attempt(worker, head, call, permit, progress, sink).await,
        Call::Service(call) => service::attempt(worker, head, call, permit, started, sink).await,
    }
}

enum Next {
    Again(Request<Received>),
    End(Ending),
}

/// Decides after an attempt whether there is another.
fn next(worker: &Worker, granted: Request<Granted>, attempt: Attempt, started: bool) -> Next {
    let more = granted.attempts() < worker.shared.settings.dispatch.retries;
    let repeat = granted.head.repeatable && more && !started;
    match attempt {
        Attempt::Complete => {
            granted.finish(Outcome::Complete);
            Next::End(Ending::Complete)
        }
        Attempt::Gone => {
            granted.finish(Outcome::Cancelled);
            Next::End(Ending::Abandoned)
        }
        // Nothing ran, so that asking again is safe for any request; the waiting
        // list, not a count of attempts, bounds it.
        Attempt::Refused => Next::Again(granted.failed(Outcome::Refused)),
        Attempt::Rejected(text) => {
            granted.finish(Outcome::Refused);
            Next::End(Ending::Failed(Problem::not_run(Code::BadRequest, text)))
        }
        Attempt::Broken(_) | Attempt::Garbage(_) if repeat => {
            Next::Again(granted.failed(Outcome::Failed))
        }
        Attempt::Broken(text) => {
            granted.finish(Outcome::Failed);
            Next::End(Ending::Failed(Problem::new(
                Code::EndpointFailed,
                Verdict::MayHaveRun,
                text,
            )))
        }
        Attempt::Garbage(text) => {
            granted.finish(Outcome::Failed);
            Next::End(Ending::Failed(Problem::new(
                Code::BadAnswer,
                Verdict::Ran,
                text,
            )))
        }
    }
}

/// A refusal of a later attempt must not claim that nothing ran.
fn after_start(mut problem: Problem, account: &Account<'_>) -> Problem {
    if account.may_have_run() {
        problem.code = Code::EndpointFailed;
        problem.verdict = Verdict::MayHaveRun;
    }
    problem
}

/// An answer must carry the identity of the request that it answers.
pub(super) fn check_identity<S>(response: &ClientResponse<S>, head: &Head) -> Result<(), Attempt> {
    let identity = response
        .headers()
        .get(REQUEST_HEADER)
        .and_then(|value| value.to_str().ok());
    if identity == Some(head.id.to_string().as_str()) {
        Ok(())
    } else {
        Err(Attempt::Broken(
            "the endpoint answered another request".to_owned(),
        ))
    }
}

/// A request that never left did not run; any other may have. Over strict
/// connections, one that closes under a sent request is no error of connecting.
pub(super) fn unsent(error: &SendRequestError) -> Attempt {
    if client::unsent(error) {
        Attempt::Refused
    } else {
        Attempt::Broken(error.to_string())
    }
}

/// A latency was met if it is not above its target.
pub(super) fn within(latency: Millis, target: Millis) -> bool {
    latency <= target
}
