//! The prefix cache: which prompt beginnings were seen lately.

use std::collections::VecDeque;

/// The part of a prompt that counts as its prefix, in bytes.
const LENGTH: usize = 64;

/// The prefixes seen lately, the last one first.
#[derive(Debug)]
pub struct Prefixes {
    entries: usize,
    seen: VecDeque<(String, Vec<u8>)>,
}

impl Prefixes {
    /// An empty cache for this many prefixes.
    pub fn new(entries: usize) -> Self {
        Self {
            entries,
            seen: VecDeque::new(),
        }
    }

    /// Whether the prompt's prefix is held for the model; holds it from now on.
    pub fn touch(&mut self, model: &str, prompt: &str) -> bool {
        let length = prompt.len().min(LENGTH);
        let prefix = &prompt.as_bytes()[..length];
        let found = self
            .seen
            .iter()
            .position(|(its_model, its_prefix)| its_model == model && its_prefix == prefix);
        if let Some(index) = found {
            self.seen.remove(index);
        }
        self.seen.push_front((model.to_owned(), prefix.to_vec()));
        self.seen.truncate(self.entries);
        found.is_some()
    }
}
