//! Messages one after the other, each in postcard form.

use woodgap_core::message::Message;

use crate::Error;

/// One message as bytes.
pub(crate) fn encode(message: &Message) -> Result<Vec<u8>, Error> {
    postcard::to_stdvec(message).map_err(|_| Error::Message)
}

/// All messages of a body.
pub(crate) fn decode(mut bytes: &[u8]) -> Result<Vec<Message>, Error> {
    let mut messages = Vec::new();
    while !bytes.is_empty() {
        let (message, rest) = postcard::take_from_bytes(bytes).map_err(|_| Error::Message)?;
        messages.push(message);
        bytes = rest;
    }
    Ok(messages)
}
