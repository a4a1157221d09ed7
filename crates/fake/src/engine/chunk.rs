//! The OpenAI-compatible forms of an answer, whole and as events.

use actix_web::web::Bytes;
use serde::Serialize;

/// The two calls that an engine offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// A chunk of an answer, or a whole one.
#[derive(Clone, Debug, Serialize)]
pub struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Clone, Debug, Default, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Content<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Content<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    finish_reason: Option<&'static str>,
}

#[derive(Clone, Debug, Serialize)]
struct Content<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Usage {
    #[serde(rename = "prompt_tokens")]
    prompt: u64,
    #[serde(rename = "completion_tokens")]
    completion: u64,
    #[serde(rename = "total_tokens")]
    total: u64,
}

/// What all chunks of one answer share.
#[derive(Clone, Debug)]
pub struct Head {
    /// The answer's identity.
    pub id: String,
    /// The call.
    pub kind: Kind,
    /// The model.
    pub model: String,
    /// Unix seconds.
    pub created: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
}

impl Head {
    /// The chunk that carries a token; the first one names the role.
    pub fn token<'a>(&'a self, text: &'a str, first: bool) -> Chunk<'a> {
        let delta = Content {
            role: first.then_some("assistant"),
            content: Some(text),
        };
        self.chunk(Some(text), delta, None, None)
    }

    /// The last chunk, with the reason and the usage.
    pub fn last(&self, tokens: u64) -> Chunk<'_> {
        let delta = Content {
            role: None,
            content: None,
        };
        self.chunk(Some(""), delta, Some("stop"), Some(self.usage(tokens)))
    }

    /// The whole answer in one; without a reason it is cut off.
    pub fn whole<'a>(&'a self, text: &'a str, tokens: u64, finished: bool) -> Chunk<'a> {
        let chat = self.kind == Kind::Chat;
        let message = Content {
            role: Some("assistant"),
            content: Some(text),
        };
        let choice = Choice {
            message: chat.then_some(message),
            text: (!chat).then_some(text),
            finish_reason: finished.then_some("stop"),
            ..Choice::default()
        };
        let object = if chat {
            "chat.completion"
        } else {
            "text_completion"
        };
        self.with(object, choice, Some(self.usage(tokens)))
    }

    fn chunk<'a>(
        &'a self,
        text: Option<&'a str>,
        delta: Content<'a>,
        finish_reason: Option<&'static str>,
        usage: Option<Usage>,
    ) -> Chunk<'a> {
        let chat = self.kind == Kind::Chat;
        let choice = Choice {
            delta: chat.then_some(delta),
            text: text.filter(|_| !chat),
            finish_reason,
            ..Choice::default()
        };
        let object = if chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        self.with(object, choice, usage)
    }

    fn with<'a>(
        &'a self,
        object: &'static str,
        choice: Choice<'a>,
        usage: Option<Usage>,
    ) -> Chunk<'a> {
        Chunk {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices: [choice],
            usage,
        }
    }

    fn usage(&self, tokens: u64) -> Usage {
        Usage {
            prompt: self.prompt_tokens,
            completion: tokens,
            total: self.prompt_tokens + tokens,
        }
    }
}

impl Chunk<'_> {
    /// The chunk as a server-sent event with its offset.
    pub fn event(&self, offset: u64) -> Bytes {
        let data = serde_json::to_string(self).expect("a chunk holds only text and numbers");
        Bytes::from(format!("id: {offset}\ndata: {data}\n\n"))
    }
}
