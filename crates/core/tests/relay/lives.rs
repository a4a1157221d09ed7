//! Endpoints that restart under the same name: which life is current, and which state belongs
//! to it.

mod loads;
mod rosters;
