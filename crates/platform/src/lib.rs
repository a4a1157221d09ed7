//! What woodgap needs of the platform: traits, message shapes and HTTP clients.
//!
//! `docs/INTERFACES.md` states the protocols; the contract tests run against
//! our own stand-in.

pub mod clock;
pub mod connect;
pub mod duty;
pub mod endpoint;
pub mod era;
pub mod error;
pub mod http;
pub mod instance;
pub mod lease;
pub mod object;
pub mod response;
pub mod table;

pub use error::Error;
