//! What a request asks of an endpoint, as far as its choice depends on it.

use crate::clock::Millis;
use crate::relay;
use crate::relay::plan::Engine;

/// What is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile<'a> {
    /// What it asks of a model engine; none for a plain service.
    pub work: Option<&'a relay::Work>,
    /// The engines of the service; none for a plain service.
    pub engine: Option<Engine>,
    /// The longest pause between two events of its stream that is on time.
    pub gap: Option<Millis>,
}
