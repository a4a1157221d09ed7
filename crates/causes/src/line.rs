//! Lines of a relay's log.

use jiff::Timestamp;
use serde::Deserialize;

/// What a relay says of a request at its end. Times are in ms.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Ended {
    /// `complete`, `cut`, `failed` or `abandoned`.
    pub outcome: String,
    /// The status that the caller got; 0 for none.
    pub status: u16,
    /// What went wrong, beginning with the error's code.
    pub reason: String,
    /// The route.
    pub route: String,
    /// The endpoint of the last attempt; empty for none.
    pub endpoint: String,
    /// From arrival to end.
    pub took_ms: u64,
    /// From arrival to the first byte of the answer; 0 for none.
    pub first_byte_ms: u64,
    /// The time within which the first byte is on time.
    pub target_ms: u64,
    /// The longest pause between two events that is on time; 0 for no stream.
    pub gap_ms: u64,
    /// The longest pause that there was.
    pub longest_pause_ms: u64,
    /// The forecast of the first byte.
    pub expected_wait_ms: f64,
    /// The part of that due to other requests.
    pub queue_ms: f64,
    /// Tokens of the prompt, and those that the engine was believed to keep.
    pub prompt_tokens: u64,
    /// See `prompt_tokens`.
    pub kept_tokens: u64,
}

/// One line.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// A request has ended at this moment.
    Ended(Timestamp, Box<Ended>),
    /// Something else is told.
    Other,
    /// It is no line of a relay's log.
    Malformed,
}

#[derive(Deserialize)]
struct Raw {
    timestamp: Timestamp,
    message: String,
    #[serde(default)]
    kvs: serde_json::Value,
}

/// The message of the lines that are counted.
const ENDED: &str = "request ended";

impl Line {
    /// Reads a line; what a collector of logs has put before the JSON is passed over.
    ///
    /// ```
    /// use woodgap_causes::line::Line;
    ///
    /// let line = r#"{"timestamp":"2026-03-15T19:34:16Z","message":"started","kvs":{}}"#;
    /// assert_eq!(Line::read(line), Line::Other);
    /// assert_eq!(Line::read("cut off"), Line::Malformed);
    /// ```
    pub fn read(text: &str) -> Self {
        let Some(begin) = text.find('{') else {
            return Self::Malformed;
        };
        let Ok(raw) = serde_json::from_str::<Raw>(&text[begin..]) else {
            return Self::Malformed;
        };
        if raw.message != ENDED {
            return Self::Other;
        }
        match serde_json::from_value(raw.kvs) {
            Ok(ended) => Self::Ended(raw.timestamp, Box::new(ended)),
            Err(_) => Self::Malformed,
        }
    }
}
