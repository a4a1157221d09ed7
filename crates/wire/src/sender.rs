//! Puts messages together into as few datagrams as they fit in.

use woodgap_core::message::Message;
use woodgap_core::name::Incarnation;

use crate::frame::{self, BODY_BYTES};
use crate::{Error, Key, message};

/// The sending side of one life of an entry.
#[derive(Debug)]
pub struct Sender {
    key: Key,
    own: Incarnation,
    sequence: u64,
}

/// Messages to one entry, ready to go.
#[derive(Debug, Default, PartialEq)]
pub struct Parcel {
    /// Sealed datagrams, in the order of their messages.
    pub datagrams: Vec<Vec<u8>>,
    /// Messages that fit in no datagram: they go by stream.
    pub large: Vec<Message>,
}

impl Sender {
    /// A sender that has sent nothing yet.
    pub fn new(key: Key, own: Incarnation) -> Self {
        Self {
            key,
            own,
            sequence: 0,
        }
    }

    /// Seals messages to one life of an entry, or to [`frame::ANY`].
    ///
    /// # Errors
    ///
    /// [`Error::Message`] if one can't be put into bytes; none is sent then.
    ///
    /// ```
    /// use woodgap_core::name::Incarnation;
    /// use woodgap_wire::{Key, Sender};
    ///
    /// let mut sender = Sender::new(Key::new(&[7; 32]), Incarnation(5));
    /// let parcel = sender.pack(Incarnation(9), &[]).unwrap();
    /// assert!(parcel.datagrams.is_empty());
    /// ```
    pub fn pack(&mut self, to: Incarnation, messages: &[Message]) -> Result<Parcel, Error> {
        let mut parcel = Parcel::default();
        let mut body = Vec::new();
        for message in messages {
            let bytes = message::encode(message)?;
            if bytes.len() > BODY_BYTES {
                parcel.large.push(message.clone());
                continue;
            }
            if body.len() + bytes.len() > BODY_BYTES {
                parcel.datagrams.push(self.seal(to, &body));
                body.clear();
            }
            body.extend(bytes);
        }
        if !body.is_empty() {
            parcel.datagrams.push(self.seal(to, &body));
        }
        Ok(parcel)
    }

    fn seal(&mut self, to: Incarnation, body: &[u8]) -> Vec<u8> {
        let sequence = self.sequence;
        self.sequence += 1;
        frame::seal(self.own, to, sequence, body, &self.key)
    }
}
