//! Handles one client request, from its arrival to the end of its response.

pub mod access_log;
pub mod admit;
pub mod attempt;
pub mod crash;
pub mod event_stream;
pub mod forward;
pub mod handover;
pub mod notice;
pub mod placement;
pub mod problem;
pub mod responder;
pub mod response;
pub mod run;
mod selection;

pub use access_log::AccessRecord;
pub use admit::AdmittedRequest;
pub use problem::Problem;
pub use response::EndpointResponse;
