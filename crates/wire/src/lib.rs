//! Messages between entries: datagrams with a keyed MAC and a replay window, and
//! a stream form for what does not fit in one.
//!
//! Nothing here opens a socket: bytes enter and leave as values.

pub mod error;
pub mod frame;
pub mod key;
mod message;
pub mod receiver;
pub mod sender;
pub mod stream;
pub mod window;

pub use error::Error;
pub use frame::Frame;
pub use key::Key;
pub use receiver::Receiver;
pub use sender::Sender;
pub use window::Window;
