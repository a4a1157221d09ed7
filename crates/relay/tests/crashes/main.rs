//! What endpoints crash on, seen from outside: entries in threads before endpoints that end.
//!
//! A program of its own: its entries and endpoints go on until it ends, and would slow down the
//! contract tests that run in real time.

// The contract tests use all of these.
#[allow(dead_code)]
#[path = "../contract/caller.rs"]
mod caller;
mod crashing;
#[allow(dead_code)]
#[path = "../contract/desk.rs"]
mod desk;
#[allow(dead_code)]
#[path = "../contract/endpoint.rs"]
mod endpoint;
#[path = "../contract/loopback.rs"]
mod loopback;
mod parts;
#[path = "../contract/peer.rs"]
mod peer;
mod requests;
#[allow(dead_code)]
#[path = "../contract/site.rs"]
mod site;
