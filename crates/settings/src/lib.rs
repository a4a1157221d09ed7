//! Settings files: JSON with comments, checked whole.
//!
//! A file is read to its end whatever is wrong with it, and every problem is
//! reported at once with its place, the value found and what was expected.

pub mod burn;
pub mod document;
pub mod entry;
pub mod kind;
pub mod order;
pub mod platform;
pub mod problem;
mod reader;
pub mod relay;
mod rule;

pub use kind::Kind;
pub use platform::Platform;
pub use problem::{Problem, Problems};
pub use rule::is_name;
