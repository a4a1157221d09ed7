//! The properties of a request that determine the choice of its endpoint.

use crate::clock::Millis;
use crate::relay;
use crate::relay::plan::Engine;

/// The properties of a request that determine the choice of its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile<'a> {
    /// The prompt and output sizes for a model engine; `None` for a plain service.
    pub work: Option<&'a relay::Work>,
    /// The engine parameters of the service; `None` for a plain service.
    pub engine: Option<Engine>,
    /// The longest gap between two events of the stream that is still on time.
    pub gap: Option<Millis>,
}
