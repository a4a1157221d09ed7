//! Reads a request: what answer it asks for.

use std::hash::{DefaultHasher, Hash, Hasher};

use serde::Deserialize;
use serde_json::Value;

/// Tokens of an answer whose request names no length.
const DEFAULT_TOKENS: u64 = 16;

/// The parts of a request's body that matter here.
#[derive(Clone, Debug, Deserialize)]
pub struct Question {
    /// The model asked for.
    pub model: String,
    /// Whether to answer as events.
    #[serde(default)]
    pub stream: bool,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: Option<Value>,
    #[serde(default)]
    max_tokens: Option<u64>,
}

#[derive(Clone, Debug, Deserialize)]
struct Message {
    content: Value,
}

impl Question {
    /// The prompt's text, or the last message's; other forms as JSON.
    pub fn text(&self) -> String {
        let last = self.messages.last().map(|message| &message.content);
        match last.or(self.prompt.as_ref()) {
            Some(Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
            None => String::new(),
        }
    }

    /// How many tokens the answer has: the most allowed, else as the prompt says.
    pub fn tokens(&self, text: &str) -> u64 {
        let said = word(text, "len=").and_then(|length| length.parse().ok());
        self.max_tokens.or(said).unwrap_or(DEFAULT_TOKENS)
    }
}

/// The tag of each token: as the prompt says, else a digest of the prompt, so
/// that every engine gives the same answer.
pub fn tag(text: &str) -> String {
    word(text, "echo=").map_or_else(|| digest(text), str::to_owned)
}

fn word<'a>(text: &'a str, prefix: &str) -> Option<&'a str> {
    text.split_whitespace()
        .find_map(|word| word.strip_prefix(prefix))
}

fn digest(text: &str) -> String {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    format!("{:016x}", hasher.finish())
}
