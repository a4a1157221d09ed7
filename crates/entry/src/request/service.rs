//! One attempt of a call to a plain service: send it, relay its body.

use actix_web::http::StatusCode;
use futures_util::StreamExt;
use woodgap_core::verdict::Verdict;
use woodgap_platform::endpoint::REQUEST_HEADER;

use crate::caller::refusal::VERDICT_HEADER;
use crate::control::Permit;
use crate::request::call::Service;
use crate::request::run::{Attempt, Worker, check_identity, unsent};
use crate::request::{Head, Item, Sink};

/// Sends a call to the endpoint of the permit and relays the answer.
///
/// `started` is set once a part of the answer was passed on.
pub async fn attempt(
    worker: &Worker,
    head: &Head,
    service: &Service,
    permit: &mut Permit,
    started: &mut bool,
    sink: &Sink,
) -> Attempt {
    let url = format!(
        "http://{}/{}",
        permit.address(),
        service.path.trim_start_matches('/')
    );
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
    let timeout = worker.endpoint_timeout();
    let mut response =
        match tokio::time::timeout(timeout, request.send_body(service.body.clone())).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return unsent(&error),
            Err(_) => return Attempt::Broken("no answer in time".to_owned()),
        };
    if refused(&response) {
        return Attempt::Refused;
    }
    if let Err(attempt) = check_identity(&response, head) {
        return attempt;
    }
    permit.count_token();
    *started = true;
    if sink.send(head_of(&response)).await.is_err() {
        return Attempt::Gone;
    }
    loop {
        match tokio::time::timeout(timeout, response.next()).await {
            Err(_) => return Attempt::Broken("the answer hangs".to_owned()),
            Ok(None) => return Attempt::Complete,
            Ok(Some(Err(error))) => return Attempt::Broken(error.to_string()),
            Ok(Some(Ok(bytes))) => {
                if sink.send(Item::Body(bytes)).await.is_err() {
                    return Attempt::Gone;
                }
            }
        }
    }
}

fn refused<S>(response: &awc::ClientResponse<S>) -> bool {
    let status = response.status();
    let verdict = response
        .headers()
        .get(VERDICT_HEADER)
        .and_then(|value| value.to_str().ok());
    (status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE)
        && verdict == Some(Verdict::NotRun.as_str())
}

fn head_of<S>(response: &awc::ClientResponse<S>) -> Item {
    let content_type = response.headers().get("content-type");
    Item::Head {
        status: response.status().as_u16(),
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned),
    }
}
