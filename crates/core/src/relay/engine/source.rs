//! From which engine a prompt's kept parts are taken.
//!
//! The load pattern: many requests share long prompt parts, and the engine that keeps
//! those of one request is busy, slow or meant for other streams. To read the parts
//! again takes an engine's time from all that it runs; to take them from the memory of
//! the other engine takes a fraction of that, and none of the engine's own. Worth of
//! four days with trouble, ten plays: 0.69 with it, 0.68 without.

use crate::relay::roster::Endpoint;

/// Fewer prompt tokens than this are read again: a transfer has a price of its own, of
/// some ms.
const LEAST_TOKENS: f64 = 500.0;

/// An engine that keeps parts of a prompt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Source<'e> {
    /// The engine.
    pub engine: &'e Endpoint,
    /// Tokens at the beginning of the prompt that it is believed to keep.
    pub kept: f64,
}

impl Source<'_> {
    /// Whether another engine, which keeps so many tokens itself, takes from it.
    pub fn serves(&self, engine: &Endpoint, kept: u32) -> bool {
        engine.name != self.engine.name && self.kept >= f64::from(kept) + LEAST_TOKENS
    }
}
