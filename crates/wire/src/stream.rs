//! The stream form, for messages that fit in no datagram.
//!
//! A stream carries messages one way, from the side that connects to the side
//! that accepts. The accepting side opens with random bytes ([`handshake`]), and
//! every frame's code covers them ([`session`]), so that a recorded stream is
//! worth nothing on another connection.

pub mod handshake;
pub mod session;

pub use handshake::{Acceptor, CHALLENGE_BYTES, HELLO_BYTES, NONCE_BYTES, connect};
pub use session::{Decoder, Encoder, FRAME_BYTES};
