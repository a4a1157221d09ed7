//! Where an answer goes: straight to one caller, with backpressure, or into a
//! recording that any number of callers follow.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::{self, error::TrySendError};
use tokio::time::timeout;
use woodgap_core::name;

use crate::once::{Reader, Recorder};
use crate::request::Problem;

/// Items that may wait between an endpoint's stream and a slow caller.
const DEPTH: usize = 8;

/// A part of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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

impl Item {
    /// Whether nothing comes after it.
    pub fn is_last(&self) -> bool {
        matches!(self, Self::Complete | Self::Failed(_))
    }
}

/// The caller went away, or took nothing for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

/// The writing side of one answer.
pub enum Sink {
    /// To one caller.
    Direct {
        /// What the caller reads.
        sender: mpsc::Sender<Item>,
        /// How long the caller may take nothing.
        patience: Duration,
    },
    /// Into a recording.
    Recorded(Recorder),
}

/// The reading side of one answer.
pub enum Source {
    /// Straight from the run.
    Direct(mpsc::Receiver<Item>),
    /// From a recording.
    Recorded(Reader),
}

impl Sink {
    /// A sink for a caller that may take nothing for so long, and what the caller
    /// reads from.
    pub fn new(patience: Duration) -> (Self, Source) {
        let (sender, source) = mpsc::channel(DEPTH);
        (Self::Direct { sender, patience }, Source::Direct(source))
    }

    /// A sink into a recording.
    pub fn recorded(recorder: Recorder) -> Self {
        Self::Recorded(recorder)
    }

    /// Passes on an item, and waits while the caller is slow.
    ///
    /// # Errors
    ///
    /// [`Gone`] if the caller went away or took nothing for too long.
    pub async fn send(&self, item: Item) -> Result<(), Gone> {
        let (sender, patience) = match self {
            Self::Direct { sender, patience } => (sender, *patience),
            Self::Recorded(recorder) => {
                recorder.send(item).await;
                return Ok(());
            }
        };
        // Most callers keep up, and need no timer.
        let item = match sender.try_send(item) {
            Ok(()) => return Ok(()),
            Err(TrySendError::Closed(_)) => return Err(Gone),
            Err(TrySendError::Full(item)) => item,
        };
        match timeout(patience, sender.send(item)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Gone),
        }
    }

    /// Passes on the answer of another life of an entry, to its end; false if it
    /// can't be had.
    pub async fn follow(&self, life: name::Incarnation) -> bool {
        match self {
            Self::Direct { .. } => false,
            Self::Recorded(recorder) => recorder.follow(life).await,
        }
    }

    /// Waits until every caller is gone, before the request is sent.
    pub async fn gone(&self) {
        match self {
            Self::Direct { sender, .. } => sender.closed().await,
            Self::Recorded(recorder) => recorder.gone().await,
        }
    }

    /// Waits until every caller is gone and the run is to be stopped. One that may
    /// not be repeated goes on, and its answer is kept.
    pub async fn abandoned(&self) {
        match self {
            Self::Direct { .. } => self.gone().await,
            Self::Recorded(recorder) => recorder.abandoned().await,
        }
    }
}

impl Source {
    /// The next item; none if the run ended without its last item.
    pub async fn recv(&mut self) -> Option<Item> {
        match self {
            Self::Direct(receiver) => receiver.recv().await,
            Self::Recorded(reader) => Some(reader.recv().await),
        }
    }

    /// The request that is answered, where it may be another one than was sent.
    pub fn request(&self) -> Option<name::Request> {
        match self {
            Self::Direct(_) => None,
            Self::Recorded(reader) => Some(reader.request()),
        }
    }
}
