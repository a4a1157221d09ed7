//! From which engine a prompt's kept parts are taken.
//!
//! The load pattern: many requests share long prompt parts, and the engine that keeps
//! those of one request is busy, slow or meant for other streams. To read the parts
//! again takes an engine's time from all that it runs; to take them from the memory of
//! the other engine takes a fraction of that, and none of the engine's own. Worth of
//! four days with trouble, ten plays: 0.69 with it, 0.68 without.
//!
//! Where the prompts of hundreds of subjects begin alike, each engine would read that
//! first part once more. All entries have it taken from one keeper instead. Tokens read
//! again on six days of 80 entries, one play each: 17.5 M without, 13.4 M with it.

use crate::relay::roster::Endpoint;

/// Fewer prompt tokens than this are read again: a transfer takes some 3 ms before it
/// begins, in which an engine reads about as much. Tokens read again, one play each of six
/// days of 80 entries: 13.4 M with 500, 12.4 M with 200.
const MIN_TRANSFER_TOKENS: f64 = 200.0;

/// An engine that keeps parts of a prompt.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefixSource<'e> {
    /// The engine.
    pub engine: &'e Endpoint,
    /// Tokens at the beginning of the prompt that it is believed to keep.
    pub cached: f64,
}

impl PrefixSource<'_> {
    /// Whether another engine, which is known to keep so many tokens itself, takes from it.
    ///
    /// What is only expected there does not count: the first request of a subject at an
    /// engine finds less, and an engine that has all takes nothing.
    pub fn serves(&self, known: u32) -> bool {
        self.cached >= f64::from(known) + MIN_TRANSFER_TOKENS
    }
}
