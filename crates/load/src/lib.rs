//! A small open-loop load tool for loopback: seeded arrivals, checked answers,
//! callers that retry as `docs/INTERFACES.md` tells them.

pub mod act;
pub mod answer;
pub mod arrival;
pub mod attempt;
pub mod caller;
pub mod case;
pub mod changes;
pub mod check;
pub mod command;
pub mod control;
pub mod directory;
pub mod error;
pub mod event;
pub mod inversion;
pub mod loopback;
pub mod options;
pub mod overhead;
pub mod permits;
pub mod record;
pub mod report;
pub mod request;
pub mod retry;
pub mod run;
pub mod sse;
pub mod totals;
pub mod traffic;

pub use error::Error;
