//! What a request asks of a model engine, as far as its caller says.

use serde::{Deserialize, Serialize};

/// The work of one request at a model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens that may come out.
    pub output_limit: u32,
    /// The caller's guess of how many tokens will come out.
    pub output_hint: Option<u32>,
    /// The prompt's parts in order; the last one is the request's own.
    pub parts: Vec<Part>,
}

/// A part of a prompt, which other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The same in all prompts that share the part.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

impl Work {
    /// The parts that other prompts may share: all but the request's own last one.
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// How many tokens are expected to come out.
    pub fn expected_output(&self) -> u32 {
        let limit = self.output_limit;
        self.output_hint.map_or(limit, |hint| hint.min(limit))
    }
}
