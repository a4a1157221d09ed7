//! The report in its forms.

pub mod plot;
pub mod table;
