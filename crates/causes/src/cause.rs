//! Why a request was not served on time.

use serde::Serialize;

use crate::line::Ended;

/// An answer that took so many times its forecast was late by what was not foreseen.
const UNFORESEEN: f64 = 2.0;

/// What an entry says of requests that still ran when it ended.
const ENTRY_ENDED: &str = "this entry ended";

/// Why a request was not served on time, as far as its line tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It was turned away, since it could not be served in time.
    Refusal,
    /// It began late since others were before it, as was forecast.
    Queue,
    /// It began late since its own prompt had to be read, as was forecast.
    Prompt,
    /// It began late though the forecast was good: an engine that has turned slow, or
    /// requests of entries that were not heard of.
    Unforeseen,
    /// A pause between two events was too long.
    Pause,
    /// The endpoint broke off, or could not be reached.
    Crash,
    /// The endpoint answered with an error.
    Error,
    /// It ran into its deadline.
    Deadline,
    /// The configuration or the platform: not known, not confirmed.
    Platform,
    /// Its entry was about to stop, or ended in the middle of it.
    Stop,
    /// It crashes the endpoints that run it, and was not sent.
    Withheld,
    /// The caller went before the end.
    Caller,
}

impl Cause {
    /// All causes, in the order of tables and plots.
    pub const ALL: [Self; 12] = [
        Self::Refusal,
        Self::Queue,
        Self::Prompt,
        Self::Unforeseen,
        Self::Pause,
        Self::Crash,
        Self::Error,
        Self::Deadline,
        Self::Platform,
        Self::Stop,
        Self::Withheld,
        Self::Caller,
    ];

    /// Its word in tables.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Refusal => "refusal",
            Self::Queue => "queue",
            Self::Prompt => "prompt",
            Self::Unforeseen => "unforeseen",
            Self::Pause => "pause",
            Self::Crash => "crash",
            Self::Error => "error",
            Self::Deadline => "deadline",
            Self::Platform => "platform",
            Self::Stop => "stop",
            Self::Withheld => "withheld",
            Self::Caller => "caller",
        }
    }
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It was served on time.
    OnTime,
    /// It was not.
    Lost(Cause),
    /// It was none that had to be served: malformed, without a valid key or route.
    NotOwed,
}

/// Judges a request.
///
/// ```
/// use woodgap_causes::cause::{Cause, Verdict, judge};
/// use woodgap_causes::line::Ended;
///
/// let late = Ended {
///     outcome: "complete".to_owned(),
///     status: 200,
///     first_byte_ms: 900,
///     target_ms: 600,
///     expected_wait_ms: 700.0,
///     queue_ms: 500.0,
///     ..Ended::default()
/// };
/// assert_eq!(judge(&late), Verdict::Lost(Cause::Queue));
/// ```
pub fn judge(ended: &Ended) -> Verdict {
    match ended.outcome.as_str() {
        "complete" if ended.status >= 500 => Verdict::Lost(Cause::Error),
        "complete" => complete(ended),
        "abandoned" if ended.first_byte_ms == 0 && ended.took_ms > ended.target_ms => {
            Verdict::Lost(beginning(ended, ended.took_ms))
        }
        "abandoned" => Verdict::Lost(Cause::Caller),
        "cut" => Verdict::Lost(broken(&ended.reason)),
        _ => failed(ended),
    }
}

fn complete(ended: &Ended) -> Verdict {
    if ended.target_ms > 0 && ended.first_byte_ms > ended.target_ms {
        return Verdict::Lost(beginning(ended, ended.first_byte_ms));
    }
    if ended.gap_ms > 0 && ended.longest_pause_ms > ended.gap_ms {
        return Verdict::Lost(Cause::Pause);
    }
    Verdict::OnTime
}

/// Why an answer began late, or had not begun after so many ms.
fn beginning(ended: &Ended, took: u64) -> Cause {
    let expected = ended.expected_wait_ms;
    if took as f64 > expected * UNFORESEEN {
        return Cause::Unforeseen;
    }
    if ended.queue_ms * 2.0 >= expected {
        return Cause::Queue;
    }
    Cause::Prompt
}

fn broken(reason: &str) -> Cause {
    if reason.contains("no answer in time") {
        Cause::Deadline
    } else if reason.contains(ENTRY_ENDED) {
        Cause::Stop
    } else {
        Cause::Crash
    }
}

fn failed(ended: &Ended) -> Verdict {
    let code = ended.reason.split(':').next().unwrap_or_default();
    let cause = match code {
        "overloaded" => Cause::Refusal,
        "not_ready" => Cause::Platform,
        "stopping" => Cause::Stop,
        "withheld" => Cause::Withheld,
        "timeout" => Cause::Deadline,
        "no_endpoint" | "endpoint_failed" => Cause::Crash,
        _ => return Verdict::NotOwed,
    };
    Verdict::Lost(cause)
}
