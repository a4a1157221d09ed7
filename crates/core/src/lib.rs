//! The decisions of woodgap as pure code: no sockets, no threads, no clock reads.
//!
//! Time, random numbers, messages and the platform's answers enter as values;
//! what comes out is a value that the caller carries out.

pub mod admin;
pub mod burn;
pub mod clock;
pub mod config;
pub mod control;
pub mod deferred;
pub mod endpoint;
pub mod era;
pub mod fingerprint;
pub mod instance;
pub mod intake;
pub mod lease;
pub mod membership;
pub mod message;
pub mod name;
pub mod once;
pub mod orders;
pub mod permit;
pub mod pool;
pub mod quarantine;
pub mod relay;
pub mod revision;
pub mod tier;
pub mod verdict;
