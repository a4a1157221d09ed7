//! Where requests were lost, and why, from the logs of relays alone.
//!
//! A relay logs one line for each request at its end, with the figures of the choice
//! that was made. [`line`] reads such lines, [`cause`] says why a request was not served
//! on time, [`tally`] counts in bounded memory, [`render`] shows it.

pub mod cause;
pub mod command;
pub mod error;
pub mod line;
pub mod options;
pub mod render;
pub mod tally;
