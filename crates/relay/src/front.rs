//! HTTP towards callers: their requests, and their questions to the entry itself.

pub mod directory;
pub mod server;
pub mod stream;

pub use server::Server;
pub use stream::Stream;
