//! Reads an engine's stream of server-sent events.

use std::borrow::Cow;
use std::pin::Pin;

use bytes::Bytes;
use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures_util::{Stream, StreamExt};
use serde::Deserialize;
use thiserror::Error;

/// The largest event that an engine may send, in bytes.
const EVENT_LIMIT: usize = 1024 * 1024;
/// The data of the event that ends a whole answer.
pub const DONE: &str = "[DONE]";

/// What is wrong with an engine's stream.
#[derive(Debug, Error)]
pub enum Problem {
    /// The connection broke.
    #[error("the stream broke: {0}")]
    Broken(String),
    /// The stream is not what the interface says.
    #[error("the stream is not in the agreed form: {0}")]
    Malformed(String),
}

/// The parts of a chunk that the relay looks at.
#[derive(Debug, Deserialize)]
pub struct Chunk<'a> {
    /// The engine's name of the answer.
    #[serde(borrow, default)]
    pub id: Cow<'a, str>,
    /// Seconds since the Unix epoch.
    #[serde(default)]
    pub created: u64,
    /// One per alternative.
    #[serde(borrow)]
    pub choices: Vec<Choice<'a>>,
    /// Token counts, in the last chunk.
    #[serde(default)]
    pub usage: Option<serde_json::Value>,
}

/// One alternative's part of a chunk.
#[derive(Debug, Deserialize)]
pub struct Choice<'a> {
    /// Text of a completion.
    #[serde(borrow, default)]
    pub text: Option<Cow<'a, str>>,
    /// Text of a chat answer.
    #[serde(borrow, default)]
    pub delta: Option<Delta<'a>>,
    /// Why the answer ended, in its last chunk.
    #[serde(borrow, default)]
    pub finish_reason: Option<Cow<'a, str>>,
}

impl Choice<'_> {
    /// The text, in either form.
    pub fn content(&self) -> &str {
        let delta = self.delta.as_ref().and_then(|delta| delta.content.as_ref());
        delta.or(self.text.as_ref()).map_or("", AsRef::as_ref)
    }
}

/// New text of a chat answer.
#[derive(Debug, Deserialize)]
pub struct Delta<'a> {
    /// The text.
    #[serde(borrow, default)]
    pub content: Option<Cow<'a, str>>,
}

impl Chunk<'_> {
    /// Reads a chunk.
    ///
    /// # Errors
    ///
    /// [`Problem::Malformed`] if it is not one.
    pub fn parse(data: &str) -> Result<Chunk<'_>, Problem> {
        serde_json::from_str(data).map_err(|error| Problem::Malformed(error.to_string()))
    }

    /// Whether this is the last chunk of the answer.
    pub fn finishes(&self) -> bool {
        self.choices
            .iter()
            .any(|choice| choice.finish_reason.is_some())
    }
}

/// The events of an engine's stream, each bounded in size.
pub struct Events {
    inner: Pin<Box<dyn Stream<Item = Result<Event, EventStreamError<Problem>>>>>,
}

impl Events {
    /// Reads events from the body of an answer.
    pub fn new<S, E>(body: S) -> Self
    where
        S: Stream<Item = Result<Bytes, E>> + 'static,
        E: std::fmt::Display,
    {
        let mut since_event = 0;
        let bounded = body.map(move |bytes| {
            let bytes = bytes.map_err(|error| Problem::Broken(error.to_string()))?;
            since_event = after(since_event, &bytes);
            if since_event > EVENT_LIMIT {
                return Err(Problem::Malformed(format!(
                    "an event above {EVENT_LIMIT} bytes"
                )));
            }
            Ok(bytes)
        });
        Self {
            inner: Box::pin(bounded.eventsource()),
        }
    }

    /// The next event; none at the end of the body.
    pub async fn next(&mut self) -> Option<Result<Event, Problem>> {
        let event = self.inner.next().await?;
        Some(event.map_err(|error| match error {
            EventStreamError::Transport(problem) => problem,
            other => Problem::Malformed(other.to_string()),
        }))
    }
}

/// Bytes since the last blank line, which ends an event.
///
/// NB: a blank line split over two reads is missed, which only makes the bound
/// stricter by one event.
fn after(before: usize, bytes: &[u8]) -> usize {
    let unix = bytes.windows(2).rposition(|window| window == b"\n\n");
    let windows = bytes.windows(3).rposition(|window| window == b"\n\r\n");
    match unix.max(windows) {
        Some(position) => bytes.len() - position,
        None => before + bytes.len(),
    }
}
