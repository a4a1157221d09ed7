//! The work that a request requires from a model engine, as stated by its caller.

use serde::{Deserialize, Serialize};

/// The work of one request at a model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// The length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The maximum number of output tokens.
    pub output_limit: u32,
    /// The caller's estimate of the number of output tokens.
    pub output_hint: Option<u32>,
    /// The parts of the prompt in order; the last one is unique to the request.
    pub parts: Vec<Part>,
}

/// A part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Identical in all prompts that share the part.
    pub id: u64,
    /// The length of the part in tokens.
    pub tokens: u32,
}

impl Work {
    /// The parts that other prompts may share: all but the last one.
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// The expected number of output tokens.
    pub fn expected_output(&self) -> u32 {
        let limit = self.output_limit;
        self.output_hint.map_or(limit, |hint| hint.min(limit))
    }
}
