//! Tests of the report: fixed rows in, figures, gaps and forms out.

mod figures;
mod forms;
mod gaps;
mod reading;
mod sample;
mod shifts;
