//! Small stand-ins for tests and the demo: platform, model engine, plain service.
//!
//! Each keeps to `docs/INTERFACES.md`, sections 2 to 4. Below `/fake` they take
//! orders for faults and tell what they have done.

pub mod batch;
pub mod endpoint;
pub mod engine;
pub mod faults;
pub mod journal;
pub mod meter;
pub mod options;
pub mod platform;
pub mod queue;
pub mod record;
pub mod server;
pub mod service;

use std::io;

use options::{Options, Role};
use server::Bound;

/// Binds the stand-in that the options name; it serves once its server is awaited.
///
/// # Errors
///
/// When the address can't be bound.
pub fn bind(options: Options) -> io::Result<Bound> {
    match options.role {
        Role::Platform(role) => platform::bind(options.listen, &role),
        Role::Engine(role) => engine::bind(options.listen, role),
        Role::Service(role) => service::bind(options.listen, role),
    }
}
