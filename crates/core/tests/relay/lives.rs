//! Endpoints that start again under their name: what is known of one life.

mod loads;
