//! At most once: who may send a request that must not be repeated, and what
//! everybody else is told.
//!
//! A request is known by its workspace and its identity. Before an entry sends
//! it to an endpoint, it puts a [`Claim`] where there is none ([`Claiming`]); the
//! claim is never taken over by another life of an entry. [`Closing`] takes a
//! claim back that was given up before anything was sent, or records how the
//! request ended. [`Issued`] identities need no claim, since they name the one
//! life that may run them. [`Sightings`] decide whether a request that could not
//! be claimed may be refused as not run.

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
