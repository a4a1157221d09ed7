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
use crate::request::progress::{Cursor, Fault, Step};
use crate::request::run::{Worker, check_identity, unsent};
use crate::request::{Attempt, Head, Item, Progress, Sink};

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
    if let Some(offset) = progress.resume_after() {
        request = request.insert_header((RESUME_HEADER, offset.to_string()));
    }
    let timeout = worker.endpoint_timeout();
    let response = match tokio::time::timeout(timeout, request.send_body(model.body.clone())).await
    {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return unsent(&error),
        Err(_) => return Attempt::Broken("no answer in time".to_owned()),
    };
    match check(&response, head) {
        Ok(()) => relay(timeout, response, permit, progress.attempt(), sink).await,
        Err(attempt) => attempt,
    }
}

/// Whether the head of an answer is that of this request's answer.
fn check<S>(response: &ClientResponse<S>, head: &Head) -> Result<(), Attempt> {
    let status = response.status();
    let text = format!("the engine answered {status}");
    match status {
        StatusCode::OK => check_identity(response, head),
        StatusCode::CONFLICT => Err(Attempt::NoResume),
        // 404: the engine does not hold the model any more.
        StatusCode::NOT_FOUND | StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(Attempt::Refused(text))
        }
        StatusCode::BAD_REQUEST
        | StatusCode::PAYLOAD_TOO_LARGE
        | StatusCode::UNPROCESSABLE_ENTITY => Err(Attempt::Rejected(text)),
        _ => Err(Attempt::Broken(text)),
    }
}

async fn relay<S>(
    timeout: Duration,
    response: ClientResponse<S>,
    permit: &mut Permit,
    mut cursor: Cursor<'_>,
    sink: &Sink,
) -> Attempt
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin + 'static,
{
    let mut events = Events::new(response);
    loop {
        let next = tokio::time::timeout(timeout, events.next()).await;
        let event = match next {
            Ok(Some(Ok(event))) => event,
            // The last chunk has come, and only the mark after it is missing.
            _ if cursor.finished() => return Attempt::Complete,
            Ok(Some(Err(problem))) => return broken(&problem),
            Ok(None) => return Attempt::Broken("the stream ended early".to_owned()),
            Err(_) => return Attempt::Broken("the stream hangs".to_owned()),
        };
        if event.data == DONE {
            return done(&cursor);
        }
        match take(&event.id, &event.data, permit, &mut cursor) {
            Ok(Step::Old) => {}
            Ok(Step::New) => {
                let item = Item::Event {
                    offset: cursor.offset(),
                    data: one_line(event.data),
                };
                if sink.send(item).await.is_err() {
                    return Attempt::Gone;
                }
            }
            Err(attempt) => return attempt,
        }
    }
}

/// A chunk on one line, as each event that we send has it: line breaks in JSON
/// stand between its tokens only.
fn one_line(data: String) -> String {
    if data.contains('\n') {
        data.replace('\n', " ")
    } else {
        data
    }
}

fn broken(problem: &Problem) -> Attempt {
    match problem {
        Problem::Broken(text) => Attempt::Broken(text.clone()),
        Problem::Malformed(text) => Attempt::Garbage(text.clone()),
    }
}

fn done(cursor: &Cursor<'_>) -> Attempt {
    if cursor.finished() {
        Attempt::Complete
    } else {
        Attempt::Garbage("the end came before the last chunk".to_owned())
    }
}

/// Checks one event against what was passed on.
fn take(
    id: &str,
    data: &str,
    permit: &mut Permit,
    cursor: &mut Cursor<'_>,
) -> Result<Step, Attempt> {
    let chunk = Chunk::parse(data).map_err(|problem| broken(&problem))?;
    let offset: u64 = id
        .parse()
        .map_err(|_| Attempt::Garbage(format!("`{id}` is no event offset")))?;
    permit.count_token();
    cursor.take(offset, &chunk).map_err(|fault| match fault {
        Fault::Gap { .. } => Attempt::Garbage(fault.to_string()),
        Fault::Differs => Attempt::Differs(fault.to_string()),
    })
}
