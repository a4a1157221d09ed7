//! One attempt of a call to a plain service: send it, relay its body.

use std::time::Duration;

use actix_web::http::StatusCode;
use awc::error::PayloadError;
use awc::{ClientRequest, ClientResponse};
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use woodgap_core::verdict::Verdict;
use woodgap_platform::endpoint::REQUEST_HEADER;

use crate::caller::refusal::VERDICT_HEADER;
use crate::control::Permit;
use crate::request::call::Service;
use crate::request::retry::Tally;
use crate::request::run::{Worker, check_identity, unsent};
use crate::request::{Attempt, Head, Item, Sink};

/// The longest announced body that is held back until it is whole, in bytes. A
/// cut one can then be repeated or told as an error; the usual answers of plain
/// services are shorter.
const HELD: usize = 64 * 1024;

/// Sends a call to the endpoint of the permit and relays the answer.
///
/// Once a part of the answer was passed on, the tally is sealed: another answer
/// could not go on after it.
pub async fn attempt(
    worker: &Worker,
    head: &Head,
    service: &Service,
    permit: &mut Permit,
    tally: &mut Tally,
    sink: &Sink,
) -> Attempt {
    let timeout = worker.endpoint_timeout();
    let sent = request(worker, head, service, permit).send_body(service.body.clone());
    let response = match tokio::time::timeout(timeout, sent).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return unsent(&error),
        Err(_) => return Attempt::Broken("no answer in time".to_owned()),
    };
    if refused(&response) {
        return Attempt::Refused(format!("the service answered {}", response.status()));
    }
    if let Err(attempt) = check_identity(&response, head) {
        return attempt;
    }
    permit.count_token();
    let is_short = announced(&response).is_some_and(|length| length <= HELD);
    let relayed = if is_short {
        hold(timeout, response, sink).await
    } else {
        tally.seal();
        relay(timeout, response, sink).await
    };
    relayed.err().unwrap_or(Attempt::Complete)
}

fn request(worker: &Worker, head: &Head, service: &Service, permit: &Permit) -> ClientRequest {
    let url = format!("http://{}/{}", permit.address(), service.path);
    let mut request = worker
        .client
        .request(service.method.clone(), &url, head.repeatable)
        .insert_header((REQUEST_HEADER, head.id.to_string()));
    if let Some(content_type) = &service.content_type {
        request = request.insert_header(("content-type", content_type.as_str()));
    }
    if let Some(identity) = &service.identity {
        request = request.insert_header(("idempotency-key", identity.as_str()));
    }
    request
}

/// Passes the answer on once it is whole.
async fn hold<S>(
    timeout: Duration,
    mut response: ClientResponse<S>,
    sink: &Sink,
) -> Result<(), Attempt>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut items = vec![head_of(&response)];
    while let Some(bytes) = piece(timeout, &mut response).await? {
        items.push(Item::Body(bytes));
    }
    for item in items {
        sink.send(item).await.map_err(|_| Attempt::Gone)?;
    }
    Ok(())
}

/// Passes the answer on as it comes.
async fn relay<S>(
    timeout: Duration,
    mut response: ClientResponse<S>,
    sink: &Sink,
) -> Result<(), Attempt>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut next = Some(head_of(&response));
    while let Some(item) = next {
        sink.send(item).await.map_err(|_| Attempt::Gone)?;
        next = piece(timeout, &mut response).await?.map(Item::Body);
    }
    Ok(())
}

async fn piece<S>(
    timeout: Duration,
    response: &mut ClientResponse<S>,
) -> Result<Option<Bytes>, Attempt>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    match tokio::time::timeout(timeout, response.next()).await {
        Err(_) => Err(Attempt::Broken("the answer hangs".to_owned())),
        Ok(piece) => piece
            .transpose()
            .map_err(|error| Attempt::Broken(error.to_string())),
    }
}

fn announced<S>(response: &ClientResponse<S>) -> Option<usize> {
    let length = response.headers().get("content-length")?;
    length.to_str().ok()?.parse().ok()
}

fn refused<S>(response: &ClientResponse<S>) -> bool {
    let status = response.status();
    let verdict = response
        .headers()
        .get(VERDICT_HEADER)
        .and_then(|value| value.to_str().ok());
    (status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE)
        && verdict == Some(Verdict::NotRun.as_str())
}

fn head_of<S>(response: &ClientResponse<S>) -> Item {
    let content_type = response.headers().get("content-type");
    Item::Head {
        status: response.status().as_u16(),
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned),
    }
}
