//! Relays an endpoint's response to the caller.

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{Method, Response, StatusCode};
use bytes::Bytes;
use futures_util::stream;
use woodgap_core::clock::Millis;
use woodgap_core::relay::health::HealthSignal;

use crate::request::AccessRecord;
use crate::request::attempt::AttemptError;
use crate::request::crash::End;
use crate::request::event_stream::Position;
use crate::request::forward::{connection_options, is_end_to_end};
use crate::request::responder::Responder;
use crate::state::State;
use crate::upstream::{Connection, Error, Framing, Head};

/// Maximum size, in bytes, of a body that is buffered before it is forwarded. If a buffered body is
/// cut off, the request can still be retried or answered with an error. The usual responses of
/// plain services are shorter.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

/// Delay between the last bytes of a truncated response and closing the caller's connection: the
/// server writes its buffer whenever the body has no data ready.
const FLUSH_DELAY: Millis = Millis(2);

/// An endpoint's response.
pub enum EndpointResponse {
    /// A fully buffered response.
    Whole {
        /// The response head.
        head: Head,
        /// The complete body.
        body: Bytes,
    },
    /// A response that is still being received.
    Stream {
        /// The response head.
        head: Head,
        /// The first bytes of the body.
        first: Bytes,
        /// The source of the remaining bytes.
        remainder: Box<BodyRemainder>,
    },
}

/// The part of a response body that is still to be read.
pub struct BodyRemainder {
    connection: Connection,
    framing: Framing,
    responder: Responder,
    /// How long the connection may stay idle in the pool afterwards.
    pause: Millis,
    /// The position in a stream of events; `None` for another body.
    position: Option<Position>,
    status: StatusCode,
}

impl EndpointResponse {
    /// Reads the body of a response: completely if short, otherwise the first bytes.
    ///
    /// # Errors
    ///
    /// Returns why reading failed; the request may have run.
    pub async fn read(
        mut connection: Connection,
        head: Head,
        pause: Millis,
        method: &Method,
        responder: Responder,
    ) -> Result<Self, AttemptError> {
        let read_result = Self::read_first(&mut connection, &head, method).await;
        let (framing, first) = match read_result {
            Ok(read) => read,
            Err(error) => {
                responder.record_failure(&error);
                return Err(error.into());
            }
        };
        let ends_with_connection = head
            .framing(method)
            .is_ok_and(|framing| framing.is_close_delimited());
        // A stream without an event does not show that its endpoint has begun the request.
        let end = if head.status.is_success() && !is_event_stream(&head) {
            End::Success
        } else {
            End::Nothing
        };
        if framing.is_none() && ends_with_connection && !responder.is_complete(end).await {
            responder.record_signal(HealthSignal::Failure);
            return Err(cut_off().into());
        }
        responder.record_start();
        responder.record_signal(signal(head.status));
        let Some(framing) = framing else {
            if !ends_with_connection && end == End::Success {
                responder.record_survival(head.status);
            }
            responder.return_connection(connection, pause);
            return Ok(Self::Whole { head, body: first });
        };
        let mut remainder = BodyRemainder {
            connection,
            framing,
            responder,
            pause,
            position: is_event_stream(&head).then(Position::default),
            status: head.status,
        };
        remainder.follow(&first);
        Ok(Self::Stream {
            head,
            first,
            remainder: Box::new(remainder),
        })
    }

    /// Returns the complete body and no framing, or the first bytes and the framing of the
    /// remaining ones.
    async fn read_first(
        connection: &mut Connection,
        head: &Head,
        method: &Method,
    ) -> Result<(Option<Framing>, Bytes), Error> {
        let mut framing = head.framing(method)?;
        let is_short = framing
            .content_length()
            .is_some_and(|length| length <= MAX_BUFFERED_BYTES);
        // Events are passed on as they come, and so is what is longer than the buffer.
        if (is_short || framing.is_close_delimited()) && !is_event_stream(head) {
            let max_bytes = usize::try_from(MAX_BUFFERED_BYTES).unwrap_or(usize::MAX);
            let (body, is_whole) = connection.read_part(&mut framing, max_bytes).await?;
            return Ok(((!is_whole).then_some(framing), body));
        }
        match connection.next_data(&mut framing).await? {
            Some(first) => Ok((Some(framing), first)),
            None => Ok((None, Bytes::new())),
        }
    }

    /// Whether at least a part of an event has come.
    pub fn has_event(&self) -> bool {
        let (head, first) = match self {
            Self::Whole { head, body } => (head, body),
            Self::Stream { head, first, .. } => (head, first),
        };
        head.status.is_success() && !first.is_empty()
    }

    /// The status from the endpoint.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Whole { head, .. } | Self::Stream { head, .. } => head.status,
        }
    }

    /// Builds the response for the caller; the access record is closed when it ends.
    pub fn respond(
        self,
        state: &Rc<State>,
        mut record: AccessRecord,
        deadline: Millis,
    ) -> Response<BoxBody> {
        record.record_first_byte();
        let (Self::Whole { head, .. } | Self::Stream { head, .. }) = &self;
        record.record_framing(head);
        let status = self.status();
        let (head, body) = match self {
            Self::Whole { head, body } => {
                record.complete(status.as_u16());
                (head, BoxBody::new(body))
            }
            Self::Stream {
                head,
                first,
                remainder,
            } => {
                let relayed = RelayedStream {
                    state: Rc::clone(state),
                    record,
                    deadline,
                    status,
                    first: Some(first),
                    remainder: *remainder,
                };
                let stream = stream::unfold(Some(relayed), |relayed| async {
                    relayed?.next_chunk().await
                });
                (head, BoxBody::new(BodyStream::new(Box::pin(stream))))
            }
        };
        let mut response = Response::with_body(status, body);
        let connection_options = connection_options(&head.headers);
        for (name, value) in &head.headers {
            if is_end_to_end(name.as_str(), &connection_options) {
                response.headers_mut().append(name.clone(), value.clone());
            }
        }
        response
    }
}

fn signal(status: StatusCode) -> HealthSignal {
    if status.is_server_error() {
        HealthSignal::Failure
    } else {
        HealthSignal::Success
    }
}

/// The error for a response that ended before it was complete.
fn cut_off() -> Error {
    Error::Cut(std::io::ErrorKind::UnexpectedEof.into())
}

/// Whether the body is a stream of events.
pub fn is_event_stream(head: &Head) -> bool {
    let content_type = head.header_str("content-type");
    content_type.is_some_and(|content_type| content_type.starts_with("text/event-stream"))
}

impl BodyRemainder {
    /// Follows the events in the bytes received.
    fn follow(&mut self, bytes: &[u8]) {
        if let Some(position) = &mut self.position {
            position.follow(bytes);
        }
    }

    /// The next bytes, or `None` at the end of the body.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, Error> {
        let chunk = self.connection.next_data(&mut self.framing).await?;
        if let Some(bytes) = &chunk {
            self.follow(bytes);
            return Ok(chunk);
        }
        // A stream that ends inside an event was broken off, also if its framing says otherwise.
        let is_inside_event = |position: Position| !position.is_between_events();
        if self.position.is_some_and(is_inside_event) {
            return Err(cut_off());
        }
        let end = if self.status.is_success() {
            End::Success
        } else {
            End::Nothing
        };
        if self.framing.is_close_delimited() && !self.responder.is_complete(end).await {
            return Err(cut_off());
        }
        Ok(None)
    }
}

/// A response stream that is being relayed to the caller.
struct RelayedStream {
    state: Rc<State>,
    record: AccessRecord,
    deadline: Millis,
    status: StatusCode,
    first: Option<Bytes>,
    remainder: BodyRemainder,
}

impl RelayedStream {
    /// The next bytes, unless the deadline has passed. A time limit on the wait alone never ends a
    /// body of which more has always arrived.
    async fn next_in_time(&mut self) -> Result<Option<Bytes>, Error> {
        let remaining = self.deadline - self.state.now();
        if remaining == Millis::ZERO {
            return Err(Error::TimedOut);
        }
        let limit = Duration::from_millis(remaining.0);
        let chunk = tokio::time::timeout(limit, self.remainder.next_chunk()).await;
        chunk.unwrap_or(Err(Error::TimedOut))
    }

    /// The next bytes for the caller. After an error the stream ends, and the caller's connection
    /// is closed without the terminator of a complete response.
    async fn next_chunk(mut self) -> Option<(Result<Bytes, Error>, Option<Self>)> {
        if let Some(first) = self.first.take() {
            self.record.record_piece();
            self.remainder.responder.event();
            return Some((Ok(first), Some(self)));
        }
        match self.next_in_time().await {
            Ok(Some(bytes)) => {
                self.record.record_piece();
                self.remainder.responder.event();
                Some((Ok(bytes), Some(self)))
            }
            Ok(None) => {
                self.record.complete(self.status.as_u16());
                if !self.remainder.framing.is_close_delimited() {
                    self.remainder.responder.record_survival(self.status);
                }
                self.remainder
                    .responder
                    .return_connection(self.remainder.connection, self.remainder.pause);
                None
            }
            Err(error) => {
                self.remainder.responder.record_failure(&error);
                self.record.abort(self.status.as_u16(), &error.to_string());
                // The server discards unwritten data when a body fails.
                tokio::time::sleep(Duration::from_millis(FLUSH_DELAY.0)).await;
                Some((Err(error), None))
            }
        }
    }
}
