//! What callers see of times and rates, before processes that run in real time.
//!
//! A program of its own, whose cases run one after another: tests beside them would take the
//! processor time that the entries and endpoints need to keep to theirs.

// The contract tests use all of these.
#[allow(dead_code)]
#[path = "../contract/caller.rs"]
mod caller;
#[allow(dead_code)]
#[path = "../contract/desk.rs"]
mod desk;
#[allow(dead_code)]
#[path = "../contract/endpoint.rs"]
mod endpoint;
mod scarce;
#[allow(dead_code)]
#[path = "../contract/site.rs"]
mod site;
