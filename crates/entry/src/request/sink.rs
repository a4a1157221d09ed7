//! Where an answer goes: to one caller, with backpressure.

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::caller::Presence;
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

/// The caller went away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

/// The sending side of one answer.
pub struct Sink {
    sender: mpsc::Sender<Item>,
    presence: Presence,
}

/// The receiving side of one answer.
pub type Source = mpsc::Receiver<Item>;

impl Sink {
    /// A sink for a caller, and what the caller reads from.
    pub fn new(presence: Presence) -> (Self, Source) {
        let (sender, source) = mpsc::channel(DEPTH);
        (Self { sender, presence }, source)
    }

    /// Passes on an item, and waits while the caller is slow.
    ///
    /// # Errors
    ///
    /// [`Gone`] if the caller went away.
    pub async fn send(&self, item: Item) -> Result<(), Gone> {
        self.sender.send(item).await.map_err(|_| Gone)
    }

    /// Waits until the caller goes away.
    pub async fn gone(&self) {
        tokio::select! {
            () = self.sender.closed() => {}
            () = self.presence.gone() => {}
        }
    }
}
