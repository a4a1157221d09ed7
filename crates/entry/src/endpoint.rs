//! How requests reach endpoints.

pub mod events;

pub use events::{Chunk, Events};
