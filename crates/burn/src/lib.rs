//! The report on service-level burn: reads the entries' counts, adds them up and prints them.
//!
//! The sums are pure ([`report`], [`figure`]); [`source`] is the only part that
//! talks to the table service.

pub mod command;
pub mod error;
pub mod figure;
pub mod options;
pub mod render;
pub mod report;
pub mod source;

pub use error::Error;
