//! One try of a request at one entry, with its answer checked.

use std::time::{Duration, Instant};

use actix_rt::time::timeout;
use awc::error::{ConnectError, PayloadError, SendRequestError};
use awc::http::header::{CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER};
use awc::{Client, ClientResponse};
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use serde::Deserialize;
use woodgap_core::verdict::Verdict;

use crate::answer::{Checker, Faults};
use crate::event::How;
use crate::request::Request;
use crate::sse;
use crate::traffic::Kind;

/// Header that each error of an entry carries.
const VERDICT_HEADER: &str = "x-woodgap-verdict";
/// The largest error body that is read, in bytes.
const ERROR_LIMIT: usize = 64 * 1024;

/// What came of an attempt.
#[derive(Debug)]
pub struct Reply {
    /// How it ended.
    pub how: How,
    /// The verdict, if there was one.
    pub verdict: Option<Verdict>,
    /// The error's code, or what broke.
    pub code: Option<String>,
    /// How long the entry told the caller to stay away.
    pub retry_after: Option<Duration>,
    /// When the first token or byte came.
    pub first: Option<Instant>,
    /// When each further token came after the one before.
    pub gaps: Vec<Duration>,
    /// Tokens that came, each counted once.
    pub tokens: u32,
    /// What is wrong with the text.
    pub faults: Faults,
}

impl Reply {
    fn bare(how: How, code: Option<String>) -> Self {
        Self {
            how,
            verdict: None,
            code,
            retry_after: None,
            first: None,
            gaps: Vec::new(),
            tokens: 0,
            faults: Faults::default(),
        }
    }
}

/// The body of an error, as `docs/INTERFACES.md` has it.
#[derive(Debug, Deserialize)]
struct Failure {
    error: Detail,
}

#[derive(Debug, Deserialize)]
struct Detail {
    code: String,
    verdict: Verdict,
}

/// Sends the request and follows its answer to the end.
///
/// A connection that is silent for longer than `patience` counts as broken.
pub async fn attempt(
    client: &Client,
    entry: &str,
    request: &Request<'_>,
    patience: Duration,
) -> Reply {
    let mut call = client
        .post(format!("{entry}{}", request.path()))
        .timeout(patience)
        .bearer_auth(&request.class.key)
        .insert_header(("X-Woodgap-Class", request.class.class.as_str()))
        .insert_header((CONTENT_TYPE, "application/json"));
    if let Some(identity) = request.identity() {
        call = call.insert_header(("Idempotency-Key", identity));
    }
    match call.send_body(request.body()).await {
        Ok(response) if response.status().is_success() => {
            Follower::new(request, patience).follow(response).await
        }
        Ok(response) if is_services_own(request, &response) => {
            services_own(response, patience).await
        }
        Ok(response) => refusal(response, patience).await,
        Err(error) => unsent(&error),
    }
}

/// Whether an error is the plain service's own answer, which is relayed as any
/// other: those of entries have a verdict.
fn is_services_own<S>(request: &Request<'_>, response: &ClientResponse<S>) -> bool {
    let is_entrys = response.headers().contains_key(VERDICT_HEADER);
    request.class.kind == Kind::Service && !is_entrys
}

/// An error of the plain service's own is an answer, if it comes whole.
async fn services_own<S>(mut response: ClientResponse<S>, patience: Duration) -> Reply
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let status = response.status().to_string();
    match timeout(patience, response.body().limit(ERROR_LIMIT)).await {
        Ok(Ok(_)) => Reply::bare(How::Complete, Some(status)),
        _ => Reply::bare(How::Broken, Some(status)),
    }
}

/// Tells what was surely not sent from what may have been: awc reports a
/// connection closed before the answer's head as a failure to connect, too.
fn unsent(error: &SendRequestError) -> Reply {
    let how = match error {
        SendRequestError::Connect(ConnectError::Disconnected) => How::Broken,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => How::Unreachable,
        _ => How::Broken,
    };
    Reply::bare(how, Some(error.to_string()))
}

async fn refusal<S>(mut response: ClientResponse<S>, patience: Duration) -> Reply
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let seconds = response.headers().get(RETRY_AFTER);
    let seconds = seconds.and_then(|value| value.to_str().ok()?.parse().ok());
    let status = response.status();
    let body = timeout(patience, response.body().limit(ERROR_LIMIT)).await;
    let Ok(Ok(body)) = body else {
        return Reply::bare(How::Broken, Some(format!("{status} with a broken body")));
    };
    let mut reply = failure(&body, status.as_str());
    reply.retry_after = seconds.map(Duration::from_secs);
    reply
}

/// The reply for an error body; one without verdict is no proper error.
fn failure(body: &[u8], context: &str) -> Reply {
    match serde_json::from_slice::<Failure>(body) {
        Ok(Failure { error }) => Reply {
            verdict: Some(error.verdict),
            ..Reply::bare(How::Refused, Some(error.code))
        },
        Err(_) => Reply::bare(How::Wrong, Some(format!("unreadable error: {context}"))),
    }
}

/// Follows a good answer, piece by piece.
struct Follower<'a> {
    request: &'a Request<'a>,
    patience: Duration,
    checker: Checker<'a>,
    first: Option<Instant>,
    last: Option<Instant>,
    gaps: Vec<Duration>,
}

impl<'a> Follower<'a> {
    fn new(request: &'a Request<'a>, patience: Duration) -> Self {
        Self {
            request,
            patience,
            checker: Checker::new(&request.tag, request.arrival.length),
            first: None,
            last: None,
            gaps: Vec::new(),
        }
    }

    async fn follow<S>(mut self, mut response: ClientResponse<S>) -> Reply
    where
        S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    {
        let is_model = self.request.class.kind != Kind::Service;
        let reply = if is_model && self.request.class.stream {
            self.events(&mut response).await
        } else {
            self.whole(&mut response).await
        };
        self.finish(reply)
    }

    /// Reads a stream of events until its mark, an error, or a break.
    async fn events<S>(&mut self, response: &mut ClientResponse<S>) -> Reply
    where
        S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    {
        let mut reader = sse::Reader::default();
        let mut done = false;
        loop {
            let piece = match self.piece(response).await {
                Ok(Some(piece)) => piece,
                // The mark has come, so the answer is whole whatever the connection does.
                Ok(None) | Err(_) if done => return Reply::bare(How::Complete, None),
                Ok(None) => return Reply::bare(How::Cut, Some("no mark".to_owned())),
                Err(error) => return Reply::bare(How::Broken, Some(error)),
            };
            for event in reader.push(&piece) {
                if event.name == "error" {
                    return failure(event.data.as_bytes(), "in the stream");
                }
                done |= self.event(&event);
            }
        }
    }

    /// Takes one event; true for the mark of completeness.
    fn event(&mut self, event: &sse::Event) -> bool {
        if event.data == "[DONE]" {
            return true;
        }
        if let Some(id) = event.id {
            self.checker.id(id);
        } else {
            // Each event of an answer has its offset.
            self.checker.garbled();
        }
        let text = text(event.data.as_bytes());
        if !text.is_empty() {
            self.token();
            self.checker.text(&text);
        }
        false
    }

    fn token(&mut self) {
        let now = Instant::now();
        match self.last {
            Some(last) => self.gaps.push(now - last),
            None => self.first = Some(now),
        }
        self.last = Some(now);
    }

    /// Reads an answer that is not streamed; its length must be the announced one.
    async fn whole<S>(&mut self, response: &mut ClientResponse<S>) -> Reply
    where
        S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    {
        let announced = response.headers().get(CONTENT_LENGTH);
        let announced: Option<usize> =
            announced.and_then(|value| value.to_str().ok()?.parse().ok());
        let mut body = Vec::new();
        loop {
            match self.piece(response).await {
                Ok(Some(piece)) => {
                    self.first.get_or_insert_with(Instant::now);
                    body.extend_from_slice(&piece);
                }
                Ok(None) => break,
                Err(error) => return Reply::bare(How::Broken, Some(error)),
            }
        }
        if announced.is_some_and(|length| length != body.len()) {
            return Reply::bare(How::Broken, Some("shorter than announced".to_owned()));
        }
        if self.request.class.kind == Kind::Service {
            self.checker.service(&body);
        } else {
            self.checker.text(&text(&body));
        }
        Reply::bare(How::Complete, None)
    }

    async fn piece<S>(&self, response: &mut ClientResponse<S>) -> Result<Option<Bytes>, String>
    where
        S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
    {
        match timeout(self.patience, response.next()).await {
            Ok(Some(Ok(piece))) => Ok(Some(piece)),
            Ok(Some(Err(error))) => Err(error.to_string()),
            Ok(None) => Ok(None),
            Err(_) => Err("silent for too long".to_owned()),
        }
    }

    fn finish(self, reply: Reply) -> Reply {
        let tokens = self.checker.tokens();
        let is_complete = reply.how == How::Complete;
        let faults = self.checker.finish(is_complete);
        let how = match (is_complete, faults) {
            (true, faults) if faults.crossed || faults.doubled || faults.garbled => How::Wrong,
            (true, faults) if faults.missing => How::Cut,
            _ => reply.how,
        };
        Reply {
            how,
            faults,
            tokens,
            first: self.first,
            gaps: self.gaps,
            ..reply
        }
    }
}

/// The text in a chunk or a whole answer of the OpenAI-compatible form.
fn text(body: &[u8]) -> String {
    serde_json::from_slice::<Body>(body)
        .map(|body| body.choices.into_iter().map(Choice::text).collect())
        .unwrap_or_default()
}

#[derive(Debug, Deserialize)]
struct Body {
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Choice {
    text: Option<String>,
    delta: Option<Message>,
    message: Option<Message>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Message {
    content: Option<String>,
}

impl Choice {
    fn text(self) -> String {
        let message = self.delta.or(self.message);
        let text = message.and_then(|message| message.content).or(self.text);
        text.unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
