//! One attempt at a request: gets a connection, sends the request and reads the response.

use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use woodgap_core::clock::Millis;
use woodgap_core::relay::engine::Choice;
use woodgap_core::relay::health::HealthSignal;
use woodgap_core::relay::rest;
use woodgap_core::relay::roster::Endpoint;
use woodgap_core::verdict::Verdict;

use crate::dialect::{Decline, Reply};
use crate::links;
use crate::request::placement::{MAX_DISCARDED_BYTES, Placement};
use crate::request::responder::Responder;
use crate::request::{
    AccessRecord, AdmittedRequest, EndpointResponse, Problem, crash, forward, notice, response,
};
use crate::state::State;
use crate::upstream::pool;
use crate::upstream::{Connection, Error, Head};

/// Maximum number of responses to other requests that are skipped on one connection.
const MAX_STRAY_RESPONSES: u32 = 2;

/// Why nothing is sent to an endpoint that was chosen.
const LEFT: &str = "the endpoint has begun to leave since it was chosen";

/// Why an attempt got no response.
#[derive(Debug, Error)]
pub enum AttemptError {
    /// No byte of the request was sent.
    #[error("{0}")]
    NotSent(String),
    /// The endpoint reports that it has not run the request.
    #[error("declined: {0:?}")]
    Declined(Decline),
    /// The connection was lost; the request may have run.
    #[error("{0}")]
    Disconnected(String),
    /// The data received is no valid response to the request, which may have run.
    #[error("{0}")]
    Broken(String),
    /// The response did not arrive in time.
    #[error("no answer in time")]
    TimedOut,
    /// Another entry, to which the request was handed, reports an error of its own.
    #[error("turned away by another entry: {}", .0.message)]
    TurnedAway(Problem),
}

impl AttemptError {
    /// Whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::NotSent(_) | Self::Declined(_) => Verdict::NotRun,
            Self::Disconnected(_) | Self::Broken(_) | Self::TimedOut => Verdict::MayHaveRun,
            Self::TurnedAway(problem) => problem.verdict,
        }
    }
}

impl From<Error> for AttemptError {
    fn from(error: Error) -> Self {
        match error {
            Error::Unsent(_) => Self::NotSent(error.to_string()),
            Error::TimedOut => Self::TimedOut,
            Error::Cut(_) => Self::Disconnected(error.to_string()),
            Error::Malformed(_) | Error::TooLarge => Self::Broken(error.to_string()),
        }
    }
}

/// Sends the request to the chosen endpoint and reads its response: completely if the body is
/// short, otherwise up to the first bytes of the body.
///
/// # Errors
///
/// Returns why there is no response; the error's verdict says whether the request may have run.
pub async fn attempt(
    state: &Rc<State>,
    request: &AdmittedRequest,
    choice: &Choice,
    deadline: Millis,
    record: &mut AccessRecord,
) -> Result<EndpointResponse, AttemptError> {
    let placement = Placement::place(state, choice, request);
    let exchange_future = exchange(state, request, choice, &placement, record);
    let remaining = Duration::from_millis((deadline - state.now()).0);
    let exchanged = tokio::time::timeout(remaining, exchange_future).await;
    let exchanged = exchanged.unwrap_or(Err(AttemptError::TimedOut));
    match exchanged {
        Ok((connection, head, max_idle)) => {
            let responder = Responder::Endpoint(placement);
            let read_future =
                EndpointResponse::read(connection, head, max_idle, &request.method, responder);
            let remaining = Duration::from_millis((deadline - state.now()).0);
            let read_result = tokio::time::timeout(remaining, read_future).await;
            read_result.unwrap_or(Err(AttemptError::TimedOut))
        }
        Err(failure) => {
            if matches!(failure, AttemptError::Declined(Decline::Misdirected)) {
                let mut roster = state.roster.borrow_mut();
                roster.mark_address_reused(&choice.endpoint, state.now());
                drop(roster);
                // Another one answers at its address: if its connections were just lost, it crashed.
                crash::record_restart(state, &choice.endpoint.life);
            }
            placement.record_signal(signal(&failure));
            if matches!(failure, AttemptError::Disconnected(_)) {
                placement.record_disconnect();
            }
            Err(failure)
        }
    }
}

fn signal(failure: &AttemptError) -> HealthSignal {
    match failure {
        AttemptError::NotSent(_) => HealthSignal::Lost,
        // No endpoint gives the latter.
        AttemptError::Declined(_) | AttemptError::TurnedAway(_) => HealthSignal::Success,
        AttemptError::Disconnected(_) | AttemptError::Broken(_) | AttemptError::TimedOut => {
            HealthSignal::Failure
        }
    }
}

async fn exchange(
    state: &Rc<State>,
    request: &AdmittedRequest,
    choice: &Choice,
    placement: &Placement,
    record: &mut AccessRecord,
) -> Result<(Connection, Head, Millis), AttemptError> {
    let (mut connection, idle) = connect(state, choice, record).await?;
    state.until_caught_up().await;
    if has_left(state, &choice.endpoint) {
        return Err(AttemptError::NotSent(LEFT.to_owned()));
    }
    let head = forward::head(state, request, choice);
    record.record_send(connection.requests_sent() > 0);
    let sent = state.now();
    let exchanged = connection.exchange(&head, &request.body).await;
    if matches!(exchanged, Err(Error::Cut(_))) {
        check_lost_connection(state, &choice.endpoint, idle, state.now() - sent);
    }
    let mut response = exchanged?;
    let mut stray = 0;
    while !belongs_to(state, &response, request) {
        let reply = state.dialect.reply(&response);
        notice::record_reply(state, placement.endpoint(), &reply, response.status);
        stray += 1;
        if stray > MAX_STRAY_RESPONSES {
            return Err(AttemptError::Broken(
                "only answers to other requests came".to_owned(),
            ));
        }
        log::warn!(
            request = request.call.id, endpoint = placement.endpoint().id.as_str(),
            answered = reply.id.unwrap_or("");
            "skipped a response to another request"
        );
        let framing = response.framing(&request.method).map_err(Error::from)?;
        connection.read_body(framing, MAX_DISCARDED_BYTES).await?;
        response = connection.next_head().await?;
    }
    let reply = state.dialect.reply(&response);
    if reply.is_refusal() {
        placement.record_refusal();
    } else {
        placement.record_first_byte();
    }
    record.record_reply(&reply);
    notice::record_reply(state, placement.endpoint(), &reply, response.status);
    if let Some(load) = reply.load {
        let now = state.now();
        state
            .loads
            .borrow_mut()
            .record_report(placement.endpoint(), load, now);
    }
    // A connection that delivered a response to another request is not reused.
    let max_idle = if stray == 0 {
        pool::keep_alive_duration(&response)
    } else {
        Millis::ZERO
    };
    if let Some(decline) = reply.declined {
        placement
            .drain_connection(connection, &response, request, max_idle)
            .await;
        return Err(AttemptError::Declined(decline));
    }
    // An event stream counts as started from its first event.
    if !response::is_event_stream(&response) {
        placement.record_start();
    }
    validate(&response, &reply)?;
    Ok((connection, response, max_idle))
}

/// Whether the endpoint was found to be leaving, or gone, since it was chosen.
fn has_left(state: &State, endpoint: &Endpoint) -> bool {
    let roster = state.roster.borrow();
    roster.is_leaving(&endpoint.life) || roster.get(&endpoint.life).is_none()
}

/// Checks why a connection closed without a response: if this entry still has links to endpoints,
/// the endpoint may have dropped it for being idle, which shortens the maximum idle time for the
/// service.
fn check_lost_connection(state: &Rc<State>, endpoint: &Endpoint, idle: Millis, took: Millis) {
    if !rest::is_sign_of_limit(idle, took) {
        return;
    }
    let state = Rc::clone(state);
    let endpoint = endpoint.clone();
    let lost = state.now();
    actix_rt::spawn(async move {
        // The check for a crash connects to the endpoint, which may be enough.
        crash::wait_for_check(&state, &endpoint.life).await;
        if links::has_link_since(&state, lost).await {
            record_lost_connection(&state, &endpoint.service, idle, took);
        }
    });
}

fn record_lost_connection(state: &State, service: &str, idle: Millis, took: Millis) {
    let now = state.now();
    let mut rests = state.rests.borrow_mut();
    let before = rests.max_idle(service, now);
    rests.record_loss(service, idle, took, now);
    let max_idle = rests.max_idle(service, now);
    if max_idle != before {
        log::info!(
            service = service, most_ms = max_idle.map_or(0, |max_idle| max_idle.0), rested_ms = idle.0;
            "reduced the maximum idle time of connections to a service"
        );
    }
}

/// Returns a pooled or new connection to the chosen endpoint, and how long it was idle.
async fn connect(
    state: &Rc<State>,
    choice: &Choice,
    record: &mut AccessRecord,
) -> Result<(Connection, Millis), AttemptError> {
    let endpoint = &choice.endpoint;
    record.set_choice(choice);
    let now = state.now();
    let max_idle = state.rests.borrow().max_idle(&endpoint.service, now);
    let pooled = state.pool.borrow_mut().take(&endpoint.life, max_idle, now);
    if let Some(pooled) = pooled {
        return Ok(pooled);
    }
    state.metrics.connects.inc();
    let opened = Connection::open_from(state.settings.connect_from, endpoint.address).await;
    if opened.is_ok() {
        links::record_connected(state);
    } else {
        state.pool.borrow_mut().close(&endpoint.life);
        links::suspect(state);
    }
    Ok((opened?, Millis::ZERO))
}

fn belongs_to(state: &State, response: &Head, request: &AdmittedRequest) -> bool {
    let id = state.dialect.reply(response).id;
    id.is_none_or(|id| id == request.call.id)
}

/// Checks that a successful response has a request ID and a seal, and that its body was not
/// encoded by an intermediary.
fn validate(response: &Head, reply: &Reply<'_>) -> Result<(), AttemptError> {
    if !response.status.is_success() {
        return Ok(());
    }
    if reply.id.is_none() {
        return Err(AttemptError::Broken(
            "the answer names no request".to_owned(),
        ));
    }
    if !reply.is_sealed {
        return Err(AttemptError::Broken("the answer has no seal".to_owned()));
    }
    if response.headers.contains_key("content-encoding") {
        let message = "the answer is encoded, which was not asked for";
        return Err(AttemptError::Broken(message.to_owned()));
    }
    Ok(())
}
