//! Response bodies that keep their connection's place until they are complete.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;

use crate::Serving;

/// The body of a response, with the request that is being served until it is complete.
#[derive(Debug)]
pub struct Served<B> {
    body: B,
    _serving: Serving,
}

impl<B> Served<B> {
    /// Serves the request until the body is dropped.
    pub fn new(body: B, serving: Serving) -> Self {
        Self {
            body,
            _serving: serving,
        }
    }
}

impl<B: MessageBody + Unpin> MessageBody for Served<B> {
    type Error = B::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(context)
    }
}
