//! HTTP towards callers: their requests, and their questions to the entry itself.

pub mod directory;
pub mod server;

pub use server::Server;
