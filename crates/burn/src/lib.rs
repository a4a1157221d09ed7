//! The report on service-level burn: reads the entries' counts, adds them up and prints them.
//!
//! The sums are pure: [`report`] over [`tally`], [`window`], [`shift`] and
//! [`gap`]. [`source`] is the only part that talks to the table service, and
//! [`render`] turns a report into its forms.

pub mod command;
pub mod error;
pub mod figure;
pub mod gap;
pub mod objective;
pub mod options;
pub mod render;
pub mod report;
pub mod series;
pub mod shift;
pub mod source;
pub mod span;
pub mod tally;
pub mod window;

pub use error::Error;
