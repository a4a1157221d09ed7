//! At-most-once execution: decides which entry may send a request that must not be repeated,
//! and what other submissions of it are told.
//!
//! A request is identified by its workspace and its identity. Before an entry sends it to an
//! endpoint, it writes a [`Claim`], provided that none exists ([`Claiming`]); another
//! incarnation never takes the claim over. [`Closing`] deletes a claim that was abandoned
//! before anything was sent, or records how the request ended. [`Issued`] identities need no
//! claim, since they name the only incarnation that may run them. [`Sightings`] determine
//! whether a request that could not be claimed may be refused as not run.

pub mod abandoned;
pub mod claim;
pub mod claiming;
pub mod closing;
pub mod identity;
pub mod sightings;
pub mod step;

pub use abandoned::AbandonedRequests;
pub use claim::{Claim, Digest, End, Key};
pub use claiming::{ClaimOutcome, Claiming};
pub use closing::Closing;
pub use identity::{Issued, Issuer};
pub use sightings::Sightings;
pub use step::{Row, Step, Written};
