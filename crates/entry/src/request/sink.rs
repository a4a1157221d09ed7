//! Where an answer goes: to one caller, with backpressure.

use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc::{self, error::TrySendError};
use tokio::time::timeout;

use crate::request::Problem;

/// Items that may wait between an endpoint's stream and a slow caller.
const DEPTH: usize = 8;

/// A part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// The head of a plain service's answer.
    Head {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: Option<String>,
    },
    /// One event of a model's answer.
    Event {
        /// Counted from 1.
        offset: u64,
        /// The chunk, as JSON.
        data: String,
    },
    /// A part of a plain service's body.
    Body(Bytes),
    /// The answer is whole.
    Complete,
    /// There is no whole answer.
    Failed(Problem),
}

/// The caller went away, or took nothing for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

/// The sending side of one answer.
pub struct Sink {
    sender: mpsc::Sender<Item>,
    patience: Duration,
}

/// The receiving side of one answer.
pub type Source = mpsc::Receiver<Item>;

impl Sink {
    /// A sink for a caller that may take nothing for so long, and what the caller
    /// reads from.
    pub fn new(patience: Duration) -> (Self, Source) {
        let (sender, source) = mpsc::channel(DEPTH);
        (Self { sender, patience }, source)
    }

    /// Passes on an item, and waits while the caller is slow.
    ///
    /// # Errors
    ///
    /// [`Gone`] if the caller went away or took nothing for too long.
    pub async fn send(&self, item: Item) -> Result<(), Gone> {
        // Most callers keep up, and need no timer.
        let item = match self.sender.try_send(item) {
            Ok(()) => return Ok(()),
            Err(TrySendError::Closed(_)) => return Err(Gone),
            Err(TrySendError::Full(item)) => item,
        };
        match timeout(self.patience, self.sender.send(item)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Gone),
        }
    }

    /// Waits until the caller goes away.
    pub async fn gone(&self) {
        self.sender.closed().await;
    }
}
