//! How requests reach endpoints.

pub mod client;
pub mod events;

pub use client::Client;
pub use events::{Chunk, Events};
