//! What became of each request: one JSON line each, for cross-checks.

pub mod file;

use serde::{Deserialize, Serialize};
use woodgap_core::clock::Millis;
use woodgap_core::verdict::Verdict;

use crate::answer::Faults;
use crate::traffic::Kind;

/// A request and its end, after all retries.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Event {
    /// Unique among all requests of all runs.
    pub tag: String,
    /// The class's name in the traffic description.
    pub class: String,
    /// The workspace's tier.
    pub tier: u8,
    /// The workspace.
    pub workspace: String,
    /// The model or plain service.
    pub target: String,
    /// The form of the request.
    pub kind: Kind,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether it carried an `Idempotency-Key`.
    pub identity: bool,
    /// Tokens that its whole answer has.
    pub length: u32,
    /// When it was due to be sent, in Unix milliseconds.
    pub sent_at: Millis,
    /// How it ended.
    pub end: End,
    /// Whether it was complete within its latency target.
    pub met: bool,
    /// Each try, in order.
    pub attempts: Vec<Attempt>,
    /// Milliseconds from `sent_at` to the first token of the last attempt.
    pub first_token_ms: Option<f64>,
    /// Milliseconds from `sent_at` to the end of the whole answer.
    pub complete_ms: Option<f64>,
    /// Tokens that reached the caller in the last attempt.
    pub tokens: u32,
    /// What was wrong with any attempt's text.
    pub faults: Faults,
}

/// How a request ended, after all retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The whole answer, with its mark of completeness.
    Complete,
    /// The last verdict was `not_run`.
    RefusedNotRun,
    /// The verdict was `may_have_run` or `ran`.
    MayHaveRun,
    /// No attempt brought an answer or a verdict.
    Lost,
}

/// One try at one entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Attempt {
    /// The entry's base URL.
    pub entry: String,
    /// When it began, in Unix milliseconds.
    pub at: Millis,
    /// When it ended, in Unix milliseconds.
    pub ended_at: Millis,
    /// How it ended.
    pub how: How,
    /// The verdict, if there was one.
    pub verdict: Option<Verdict>,
    /// The error's code, or what broke.
    pub code: Option<String>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum How {
    /// The whole answer, with its mark of completeness.
    Complete,
    /// An error with a verdict.
    Refused,
    /// The connection broke after the request was sent.
    Broken,
    /// No connection came about, so nothing was sent.
    Unreachable,
    /// The answer ended as if whole, but without its mark or with text missing.
    Cut,
    /// The answer was whole, but not this request's, or not a proper error.
    Wrong,
}

impl Event {
    /// Whether any attempt ended this way.
    pub fn any(&self, how: How) -> bool {
        self.attempts.iter().any(|attempt| attempt.how == how)
    }
}
