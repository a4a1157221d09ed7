//! The report's forms.

pub mod json;
pub mod plot;
pub mod table;

mod grid;
mod missing;
mod text;
