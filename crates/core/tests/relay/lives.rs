//! Endpoints that start again under their name: which life is known, and what is known
//! of it.

mod loads;
mod rosters;
