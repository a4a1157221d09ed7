//! One attempt of a model request: send it, relay its events.

use std::time::Duration;

use actix_web::http::{Method, StatusCode};
use awc::ClientResponse;
use bytes::Bytes;
use futures_util::Stream;
use woodgap_platform::endpoint::{PRIORITY_HEADER, REQUEST_HEADER, RESUME_HEADER};

use crate::control::Permit;
use crate::endpoint::Chunk;
use crate::endpoint::events::{DONE, Events, Problem};
use crate::request::call::Model;
use crate::request::run::{Attempt, Worker};
use crate::request::{Head, Item, Sink};

/// How far an answer has come, over all attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The offset of the last event passed on.
    pub offset: u64,
    /// Whether the last chunk of the answer was passed on.
    pub finished: bool,
}

/// Sends a model request to the endpoint of the permit and relays the answer.
pub async fn attempt(
    worker: &Worker,
    head: &Head,
    model: &Model,
    permit: &mut Permit,
    progress: &mut Progress,
    sink: &Sink,
) -> Attempt {
    let url = format!("http://{}{}", permit.address(), model.form.path());
    let mut request = worker
        .client
        .request(Method::POST, &url, head.repeatable)
        .insert_header(("content-type", "application/json"))
        .insert_header((REQUEST_HEADER, head.id.to_string()))
        .insert_header((PRIORITY_HEADER, permit.priority().to_string()));
    if progress.offset > 0 {
        request = request.insert_header((RESUME_HEADER, progress.offset.to_string()));
    }
    let timeout = worker.endpoint_timeout();
    let response = match tokio::time::timeout(timeout, request.send_body(model.body.clone())).await
    {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return super::run::unsent(&error),
        Err(_) => return Attempt::Broken("no answer in time".to_owned()),
    };
    match check(&response, head) {
        Ok(()) => relay(timeout, response, permit, progress, sink).await,
        Err(attempt) => attempt,
    }
}

/// Whether the head of an answer is that of this request's answer.
fn check<S>(response: &ClientResponse<S>, head: &Head) -> Result<(), Attempt> {
    match response.status() {
        StatusCode::OK => {}
        StatusCode::CONFLICT | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            return Err(Attempt::Refused);
        }
        status if status.is_client_error() => {
            return Err(Attempt::Rejected(format!("the engine answered {status}")));
        }
        status => return Err(Attempt::Broken(format!("the engine answered {status}"))),
    }
    super::run::check_identity(response, head)
}

async fn relay<S>(
    timeout: Duration,
    response: ClientResponse<S>,
    permit: &mut Permit,
    progress: &mut Progress,
    sink: &Sink,
) -> Attempt
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin + 'static,
{
    let mut events = Events::new(response);
    loop {
        let event = match tokio::time::timeout(timeout, events.next()).await {
            Err(_) => return Attempt::Broken("the stream hangs".to_owned()),
            Ok(None) => return Attempt::Broken("the stream ended early".to_owned()),
            Ok(Some(Err(problem))) => return broken(&problem),
            Ok(Some(Ok(event))) => event,
        };
        if event.data == DONE {
            return done(*progress);
        }
        match take(&event.id, &event.data, permit, progress) {
            Ok(false) => {}
            Ok(true) => {
                let item = Item::Event {
                    offset: progress.offset,
                    data: event.data,
                };
                if sink.send(item).await.is_err() {
                    return Attempt::Gone;
                }
            }
            Err(attempt) => return attempt,
        }
    }
}

fn broken(problem: &Problem) -> Attempt {
    match problem {
        Problem::Broken(text) => Attempt::Broken(text.clone()),
        Problem::Malformed(text) => Attempt::Garbage(text.clone()),
    }
}

fn done(progress: Progress) -> Attempt {
    if progress.finished {
        Attempt::Complete
    } else {
        Attempt::Garbage("the end came before the last chunk".to_owned())
    }
}

/// Checks one event against the offsets; says whether it is new.
fn take(
    id: &str,
    data: &str,
    permit: &mut Permit,
    progress: &mut Progress,
) -> Result<bool, Attempt> {
    let chunk = Chunk::parse(data).map_err(|problem| broken(&problem))?;
    let offset: u64 = id
        .parse()
        .map_err(|_| Attempt::Garbage(format!("`{id}` is no event offset")))?;
    permit.count_token();
    if offset <= progress.offset {
        return Ok(false);
    }
    if offset != progress.offset + 1 {
        let text = format!("event {offset} follows event {}", progress.offset);
        return Err(Attempt::Garbage(text));
    }
    progress.offset = offset;
    progress.finished |= chunk.finishes();
    Ok(true)
}
