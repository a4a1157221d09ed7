//! Carries a request from its arrival to its end, over as many attempts as it may have.

use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use awc::ClientResponse;
use awc::error::SendRequestError;
use futures_util::FutureExt;
use woodgap_core::clock::Millis;
use woodgap_core::verdict::Verdict;
use woodgap_platform::endpoint::REQUEST_HEADER;
use woodgap_platform::http::Platform;

use crate::caller::guard;
use crate::control::Permit;
use crate::endpoint::{Client, client};
use crate::request::account::Account;
use crate::request::retry::{Attempt, Next, Tally, Terms};
use crate::request::{
    Call, Declined, Ending, Granted, Head, Item, Progress, Received, Request, Sink, model, service,
};
use crate::shared::Shared;
use crate::stop;

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

/// Runs a request to its end, tells the caller, and accounts for it.
pub async fn run(worker: Worker, request: Request<Received>, sink: Sink) {
    carry_out(worker, request, sink, |_| true).await;
}

/// Runs a deferred request once. A refusal is not its end, since it is tried
/// again, and so is not accounted for.
pub async fn run_deferred(worker: Worker, request: Request<Received>, sink: Sink) {
    let counts = |ending: &Ending| match ending {
        Ending::Failed(problem) => problem.verdict != Verdict::NotRun,
        Ending::Complete | Ending::Abandoned => true,
    };
    carry_out(worker, request, sink, counts).await;
}

async fn carry_out(
    worker: Worker,
    request: Request<Received>,
    sink: Sink,
    counts: impl Fn(&Ending) -> bool,
) {
    let _running = worker.shared.running.enter();
    let head = request.head.clone();
    let mut account = Account::new(&worker.shared, &head);
    // A panic ends this request only, and not without a word to its caller.
    let attempts = AssertUnwindSafe(attempts(&worker, request, &sink, &mut account));
    let ending = attempts.catch_unwind().await;
    let panicked = |_| Some(Ending::Failed(guard::panicked()));
    let Some(ending) = ending.unwrap_or_else(panicked) else {
        // The entry that ran it has told how it ended, and accounts for it.
        return;
    };
    let told = match &ending {
        Ending::Complete => sink.send(Item::Complete).await,
        Ending::Failed(problem) => sink.send(Item::Failed(problem.clone())).await,
        Ending::Abandoned => Ok(()),
    };
    let ending = if told.is_ok() {
        ending
    } else {
        Ending::Abandoned
    };
    if counts(&ending) {
        account.close(&ending);
    }
}

/// How the request ended; none if another entry's answer to it was passed on.
async fn attempts(
    worker: &Worker,
    mut request: Request<Received>,
    sink: &Sink,
    account: &mut Account<'_>,
) -> Option<Ending> {
    let mut progress = Progress::default();
    let mut tally = Tally::new(Terms {
        repeatable: request.head.repeatable,
        attempts: worker.shared.settings.dispatch.retries,
    });
    loop {
        let head = Rc::clone(&request.head);
        let asked_at = Instant::now();
        let asked = tokio::select! {
            asked = request.ask(&worker.shared) => asked,
            () = sink.gone() => return Some(Ending::Abandoned),
            () = stop::too_late(&worker.shared, &head) => return Some(tally.stopped()),
        };
        account.asked(asked_at.elapsed());
        let next;
        (request, next) = match asked {
            // The time may have run out while it waited; the place is given back unused.
            Ok(_) if !stop::takes(&worker.shared, &head) => return Some(tally.stopped()),
            Ok(granted) => one(worker, granted, &mut tally, &mut progress, sink, account).await,
            Err((request, Declined::Refused(problem))) => (request, tally.declined(problem)),
            Err((request, Declined::Elsewhere(life))) => {
                if progress.offset() == 0 && sink.follow(life).await {
                    return None;
                }
                (request, tally.elsewhere())
            }
        };
        match next {
            Next::Again(pause) => tokio::select! {
                () = tokio::time::sleep(Duration::from_millis(pause.0)) => {}
                () = sink.gone() => return Some(Ending::Abandoned),
                () = stop::too_late(&worker.shared, &head) => return Some(tally.stopped()),
            },
            Next::End(ending) => return Some(ending),
        }
    }
}

/// Makes one attempt and gives its place back.
async fn one(
    worker: &Worker,
    mut granted: Request<Granted>,
    tally: &mut Tally,
    progress: &mut Progress,
    sink: &Sink,
    account: &mut Account<'_>,
) -> (Request<Received>, Next) {
    let head = granted.head.clone();
    let permit = granted.permit();
    account.dispatched(permit.endpoint());
    log::debug!(request = head.id.to_string(), endpoint = permit.endpoint().as_str(); "attempt begins");
    let attempt = tokio::select! {
        attempt = attempt(worker, &head, permit, tally, progress, sink) => attempt,
        () = sink.abandoned() => Attempt::Gone,
        () = stop::last_word(&worker.shared) => Attempt::Stopped,
    };
    log::debug!(request = head.id.to_string(), verdict = attempt.verdict().as_str(); "attempt ended");
    if attempt == Attempt::NoResume {
        progress.start_over();
    }
    account.attempted(permit, &attempt, progress.offset());
    let request = granted.give_back(attempt.outcome());
    (request, tally.attempted(attempt))
}

async fn attempt(
    worker: &Worker,
    head: &Head,
    permit: &mut Permit,
    tally: &mut Tally,
    progress: &mut Progress,
    sink: &Sink,
) -> Attempt {
    match &head.call {
        Call::Model(call) => model::attempt(worker, head, call, permit, progress, sink).await,
        Call::Service(call) => service::attempt(worker, head, call, permit, tally, sink).await,
    }
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
    match error {
        error if client::unsent(error) => Attempt::Refused(error.to_string()),
        SendRequestError::Url(_) => Attempt::Rejected(error.to_string()),
        _ => Attempt::Broken(error.to_string()),
    }
}

/// A latency was met if it is not above its target.
pub(super) fn within(latency: Millis, target: Millis) -> bool {
    latency <= target
}
