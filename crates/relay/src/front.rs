//! HTTP servers for callers: requests to be forwarded, and requests about the entry itself
//! (directory, readiness and metrics).

pub mod directory;
pub mod report;
pub mod server;
pub mod stream;

pub use report::Report;
pub use server::Server;
pub use stream::Stream;
