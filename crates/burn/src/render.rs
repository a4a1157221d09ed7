//! The report's forms.

pub mod json;
pub mod table;
