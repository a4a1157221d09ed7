//! An endpoint's answer on its way to the caller.

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{Method, Response, StatusCode};
use bytes::Bytes;
use futures_util::stream;
use woodgap_core::clock::Millis;
use woodgap_core::relay::health::HealthSignal;

use crate::request::Account;
use crate::request::attempt::Failure;
use crate::request::forward::{is_end_to_end, named_by_connection};
use crate::request::place::Place;
use crate::state::State;
use crate::upstream::{Connection, Error, Framing, Head};

/// The longest body that is read as a whole before it is passed on, in bytes. A
/// cut one can then be repeated or told as an error; the usual answers of plain
/// services are shorter.
const HELD: u64 = 64 * 1024;

/// Between the last bytes of an answer that was broken off and the end of the
/// caller's connection: the server writes what it has whenever a body pauses.
const FLUSH: Millis = Millis(2);

/// An endpoint's answer.
pub enum Answer {
    /// One that is there as a whole.
    Whole {
        /// Its head.
        head: Head,
        /// Its body.
        body: Bytes,
    },
    /// One of which the beginning is there.
    Stream {
        /// Its head.
        head: Head,
        /// The first bytes of its body.
        first: Bytes,
        /// Where the others come from.
        rest: Box<Rest>,
    },
}

/// Where the rest of an answer comes from.
pub struct Rest {
    connection: Connection,
    framing: Framing,
    place: Place,
    /// How long the connection may rest afterwards.
    pause: Millis,
    /// The last two bytes that came.
    tail: [u8; 2],
    /// Whether the body is a stream of events.
    has_events: bool,
}

impl Answer {
    /// Reads the body of an answer: a short one as a whole, else its beginning.
    ///
    /// # Errors
    ///
    /// Why there is none; the request may have run.
    pub async fn read(
        mut connection: Connection,
        head: Head,
        pause: Millis,
        method: &Method,
        place: Place,
    ) -> Result<Self, Failure> {
        let read = Self::first(&mut connection, &head, method).await;
        let (framing, first) = match read {
            Ok(read) => read,
            Err(error) => {
                place.failed(&error);
                return Err(error.into());
            }
        };
        place.begun();
        place.note(sign(head.status));
        let Some(framing) = framing else {
            let framing = head.framing(method);
            if framing.is_ok_and(|framing| !framing.is_close_delimited()) {
                place.survived(head.status);
            }
            place.keep(connection, pause);
            return Ok(Self::Whole { head, body: first });
        };
        let has_events = has_events(&head);
        let mut rest = Rest {
            connection,
            framing,
            place,
            pause,
            tail: *b"\n\n",
            has_events,
        };
        rest.saw(&first);
        Ok(Self::Stream {
            head,
            first,
            rest: Box::new(rest),
        })
    }

    /// The whole body and no framing, or the framing of what is still to come and
    /// the first bytes.
    async fn first(
        connection: &mut Connection,
        head: &Head,
        method: &Method,
    ) -> Result<(Option<Framing>, Bytes), Error> {
        let mut framing = head.framing(method)?;
        let is_short = framing
            .content_length()
            .is_some_and(|length| length <= HELD);
        let ends_with_connection = framing.is_close_delimited() && !has_events(head);
        if is_short || ends_with_connection {
            let most = usize::try_from(HELD).unwrap_or(usize::MAX);
            let body = connection.read_body(framing, most).await?;
            return Ok((None, body));
        }
        match connection.next_data(&mut framing).await? {
            Some(first) => Ok((Some(framing), first)),
            None => Ok((None, Bytes::new())),
        }
    }

    /// The status that the endpoint gave.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Whole { head, .. } | Self::Stream { head, .. } => head.status,
        }
    }

    /// The answer for the caller; the account is closed when it has ended.
    pub fn respond(
        self,
        state: &Rc<State>,
        mut account: Account,
        deadline: Millis,
    ) -> Response<BoxBody> {
        account.first_byte();
        let status = self.status();
        let (head, body) = match self {
            Self::Whole { head, body } => {
                account.complete(status.as_u16());
                (head, BoxBody::new(body))
            }
            Self::Stream { head, first, rest } => {
                let flow = Flow {
                    state: Rc::clone(state),
                    account,
                    deadline,
                    status,
                    first: Some(first),
                    rest: *rest,
                };
                let stream = stream::unfold(Some(flow), |flow| async { flow?.next().await });
                (head, BoxBody::new(BodyStream::new(Box::pin(stream))))
            }
        };
        let mut response = Response::with_body(status, body);
        let named = named_by_connection(&head.headers);
        for (name, value) in &head.headers {
            if is_end_to_end(name.as_str(), &named) {
                response.headers_mut().append(name.clone(), value.clone());
            }
        }
        response
    }
}

fn sign(status: StatusCode) -> HealthSignal {
    if status.is_server_error() {
        HealthSignal::Failure
    } else {
        HealthSignal::Success
    }
}

/// Whether the body is a stream of events.
pub fn has_events(head: &Head) -> bool {
    let kind = head.header_str("content-type");
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

impl Rest {
    /// Remembers the end of what came.
    fn saw(&mut self, bytes: &[u8]) {
        for byte in bytes.iter().rev().take(2).rev() {
            self.tail = [self.tail[1], *byte];
        }
    }

    /// The next bytes; none once the body is whole.
    async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        let piece = self.connection.next_data(&mut self.framing).await?;
        if let Some(bytes) = &piece {
            self.saw(bytes);
            return Ok(piece);
        }
        // A connection that ends in the middle of an event has been broken off.
        let ends_well = !self.framing.is_close_delimited() || self.tail == *b"\n\n";
        if self.has_events && !ends_well {
            return Err(Error::Cut(std::io::ErrorKind::UnexpectedEof.into()));
        }
        Ok(None)
    }
}

/// A stream on its way to the caller.
struct Flow {
    state: Rc<State>,
    account: Account,
    deadline: Millis,
    status: StatusCode,
    first: Option<Bytes>,
    rest: Rest,
}

impl Flow {
    /// The next bytes for the caller. After an error nothing follows, and the
    /// caller's connection is closed without the mark of a whole answer.
    async fn next(mut self) -> Option<(Result<Bytes, Error>, Option<Self>)> {
        if let Some(first) = self.first.take() {
            self.account.piece();
            self.rest.place.event();
            return Some((Ok(first), Some(self)));
        }
        let left = Duration::from_millis((self.deadline - self.state.now()).0);
        let next = tokio::time::timeout(left, self.rest.next()).await;
        match next.unwrap_or(Err(Error::TimedOut)) {
            Ok(Some(bytes)) => {
                self.account.piece();
                self.rest.place.event();
                Some((Ok(bytes), Some(self)))
            }
            Ok(None) => {
                self.account.complete(self.status.as_u16());
                if !self.rest.framing.is_close_delimited() {
                    self.rest.place.survived(self.status);
                }
                self.rest.place.keep(self.rest.connection, self.rest.pause);
                None
            }
            Err(error) => {
                self.rest.place.failed(&error);
                self.account.cut(self.status.as_u16(), &error.to_string());
                // The server drops what it has not written yet when a body fails.
                tokio::time::sleep(Duration::from_millis(FLUSH.0)).await;
                Some((Err(error), None))
            }
        }
    }
}
