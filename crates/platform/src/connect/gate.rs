//! Holds the head of each answer back until it is known to be valid.

use actix_http::Method;
use bytes::{Buf, Bytes, BytesMut};

use crate::response::head::MAX_HEAD_BYTES;
use crate::response::{Head, Malformed};

/// What a connection with one request at a time has received and not handed on.
#[derive(Debug)]
pub struct Gate {
    state: State,
    held: BytesMut,
}

#[derive(Debug)]
enum State {
    /// A request was sent, and the head of its answer is not complete.
    Head { method: Method, received: usize },
    /// All that comes belongs to the body of the last answer.
    Body,
}

impl Gate {
    /// A gate on a connection on which nothing was sent yet.
    pub fn new() -> Self {
        Self {
            state: State::Body,
            held: BytesMut::new(),
        }
    }

    /// Records the bytes of a request, which is written as a whole before its answer is read.
    pub fn record_sent(&mut self, bytes: &[u8]) {
        if matches!(self.state, State::Head { .. }) {
            return;
        }
        let method = if bytes.starts_with(b"HEAD ") {
            Method::HEAD
        } else {
            // All others have answers of the same form.
            Method::GET
        };
        self.state = State::Head {
            method,
            received: 0,
        };
    }

    /// Whether what comes is to be handed on as it is.
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Body) && self.held.is_empty()
    }

    /// Takes bytes that were received. Interim answers are dropped.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if the head is invalid, or does not say where the body ends.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<(), Malformed> {
        self.held.extend_from_slice(bytes);
        let State::Head { method, received } = &mut self.state else {
            return Ok(());
        };
        *received += bytes.len();
        while let Some((head, length)) = Head::parse(&self.held)? {
            if head.status.is_informational() {
                self.held.advance(length);
                continue;
            }
            if head.framing(method)?.is_close_delimited() {
                return Err(Malformed("the answer does not say where it ends"));
            }
            self.state = State::Body;
            return Ok(());
        }
        if *received > MAX_HEAD_BYTES {
            return Err(Malformed("the head is too large"));
        }
        Ok(())
    }

    /// Removes up to so many bytes that may be handed on.
    pub fn take(&mut self, max_bytes: usize) -> Bytes {
        let count = match self.state {
            State::Head { .. } => 0,
            State::Body => self.held.len().min(max_bytes),
        };
        self.held.split_to(count).freeze()
    }
}
