//! What carries a job to an endpoint and brings back its answer.

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use woodgap_core::deferred::{Job, Outcome};

/// Runs jobs. Dropping the future ends the run.
pub trait Runner: 'static {
    /// Runs a job once, from the request's body to the end.
    fn run<'a>(&'a self, job: &'a Job, body: Bytes) -> LocalBoxFuture<'a, Outcome>;
}
