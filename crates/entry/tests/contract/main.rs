//! The contract with callers and endpoints, fault by fault: a real entry
//! process between stand-ins whose own records are compared with what callers
//! were told.

mod broken_heads;
mod callers;
mod early_answers;
mod engines;
mod exchange;
mod logs;
mod presence;
mod raw;
mod seen;
mod services;
mod site;
mod stops;
