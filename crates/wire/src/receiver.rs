//! Opens datagrams, each at most once.

use std::collections::BTreeMap;

use woodgap_core::message::Message;
use woodgap_core::name::Incarnation;

use crate::{Error, Frame, Key, Window, frame};

/// Lives whose windows are kept: several times the largest fleet planned for.
const LIVES: usize = 2_048;

/// The receiving side of one life of an entry.
#[derive(Debug)]
pub struct Receiver {
    key: Key,
    own: Incarnation,
    windows: BTreeMap<Incarnation, Window>,
}

impl Receiver {
    /// A receiver that has heard nobody yet.
    pub fn new(key: Key, own: Incarnation) -> Self {
        Self {
            key,
            own,
            windows: BTreeMap::new(),
        }
    }

    /// Opens a datagram.
    ///
    /// One that is meant for any life may be a repeat of what an earlier life
    /// has read, so that it may hold membership messages only: these are ordered
    /// by their own numbers.
    ///
    /// # Errors
    ///
    /// If it is not a frame of this fleet for this life, or was read before.
    ///
    /// ```
    /// use woodgap_core::name::Incarnation;
    /// use woodgap_wire::{Error, Frame, Key, Receiver};
    ///
    /// let key = Key::new(&[7; 32]);
    /// let frame = Frame { from: Incarnation(5), to: Incarnation(9), sequence: 1, messages: vec![] };
    /// let bytes = frame.seal(&key).unwrap();
    /// let mut receiver = Receiver::new(key, Incarnation(9));
    /// assert!(receiver.open(&bytes).is_ok());
    /// assert_eq!(receiver.open(&bytes), Err(Error::Replay));
    /// ```
    pub fn open(&mut self, bytes: &[u8]) -> Result<Frame, Error> {
        let frame = Frame::open(bytes, &self.key)?;
        if frame.from == self.own || !self.is_for_us(&frame) {
            return Err(Error::Destination);
        }
        if !self.window(frame.from).accept(frame.sequence) {
            return Err(Error::Replay);
        }
        Ok(frame)
    }

    /// Forgets a life that is known to have ended for good.
    pub fn forget(&mut self, life: Incarnation) {
        self.windows.remove(&life);
    }

    fn is_for_us(&self, frame: &Frame) -> bool {
        let greeting = || {
            frame
                .messages
                .iter()
                .all(|message| matches!(message, Message::Membership(_)))
        };
        frame.to == self.own || (frame.to == frame::ANY && greeting())
    }

    /// The window of a life. The oldest life makes room for a new one.
    fn window(&mut self, life: Incarnation) -> &mut Window {
        if self.windows.len() >= LIVES && !self.windows.contains_key(&life) {
            self.windows.pop_first();
        }
        self.windows.entry(life).or_default()
    }
}
