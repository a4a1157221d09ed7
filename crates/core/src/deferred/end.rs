//! How deferred requests end, and what their callers are told.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::deferred::Job;
use crate::deferred::job::{MOST_ATTEMPTS, request_object};
use crate::name;
use crate::once::{Digest, Key};
use crate::verdict::Verdict;

/// The wait after a run that was refused or broke off; it doubles with each.
const FIRST_WAIT: Millis = Millis(500);
/// The longest wait between two runs.
const LONGEST_WAIT: Millis = Millis(30_000);

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "end", rename_all = "snake_case")]
pub enum End {
    /// The object store has the whole answer of an attempt.
    Answered {
        /// The attempt.
        attempt: u32,
    },
    /// There is no whole answer.
    Failed {
        /// The stable code of the error.
        code: String,
        /// Whether it may have run.
        verdict: Verdict,
        /// For people.
        message: String,
    },
}

impl End {
    fn failed(code: &str, verdict: Verdict, message: String) -> Self {
        Self::Failed {
            code: code.to_owned(),
            verdict,
            message,
        }
    }

    /// Its holder is gone, and it may not be repeated.
    pub fn unknown_outcome() -> Self {
        let message = "the entry that ran it is gone; it is never run again".to_owned();
        Self::failed("unknown_outcome", Verdict::MayHaveRun, message)
    }

    /// It broke off too often.
    pub(super) fn given_up(attempts: u32) -> Self {
        let message = format!("broken off {attempts} times");
        Self::failed("endpoint_failed", Verdict::MayHaveRun, message)
    }

    /// It waited longer than answers are kept.
    pub(super) fn overdue(verdict: Verdict) -> Self {
        let message = "it waited for an endpoint for too long".to_owned();
        Self::failed("overdue", verdict, message)
    }
}

/// The row by which a caller finds its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Hash of the request's body.
    pub body: Digest,
    /// The submission that was recorded.
    pub submission: name::Request,
    /// The key of the job's row, which is gone once the request has ended.
    pub job: String,
    /// When it was recorded, in milliseconds since the Unix epoch.
    #[serde(rename = "created_ms")]
    pub created: Millis,
    /// How it ended, once it has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<End>,
    /// When it ended, in milliseconds since the Unix epoch; 0 before.
    #[serde(rename = "ended_ms", default)]
    pub ended: Millis,
    /// How often it was started; each may have left an answer's object.
    #[serde(default)]
    pub attempts: u32,
}

impl Receipt {
    /// The receipt of a new job.
    pub fn new(job: &Job) -> Self {
        Self {
            body: job.body.clone(),
            submission: job.submission,
            job: job.row(),
            created: job.created,
            end: None,
            ended: Millis::ZERO,
            attempts: 0,
        }
    }

    /// The receipt of a job that ended now.
    pub fn ended(job: &Job, end: End, now_unix: Millis) -> Self {
        Self {
            end: Some(end),
            ended: now_unix,
            attempts: job.attempts,
            ..Self::new(job)
        }
    }

    /// Every object that may be left of the request.
    pub fn objects(&self, key: &Key) -> Vec<String> {
        let request = request_object(key, self.submission);
        let answers = (1..=self.attempts).map(|attempt| Job::answer_object(key, attempt));
        answers.chain([request]).collect()
    }
}

/// How far a request has come, as its caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// Recorded, and not started.
    Accepted,
    /// Started.
    Running,
    /// Answered; the object with this key holds the answer.
    Done(String),
    /// Ended without an answer.
    Failed {
        /// The stable code of the error.
        code: String,
        /// Whether it may have run.
        verdict: Verdict,
        /// For people.
        message: String,
    },
}

impl State {
    /// The state of an ended request; none while it goes on.
    pub fn of(receipt: &Receipt, key: &Key) -> Option<Self> {
        Some(match receipt.end.clone()? {
            End::Answered { attempt } => Self::Done(Job::answer_object(key, attempt)),
            End::Failed {
                code,
                verdict,
                message,
            } => Self::Failed {
                code,
                verdict,
                message,
            },
        })
    }

    /// The state as it stands in answers.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Running => "running",
            Self::Done(_) => "done",
            Self::Failed { .. } => "failed",
        }
    }
}

/// What became of one run of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer, as JSON.
    Answer(Vec<u8>),
    /// It was refused for now, and did not run.
    Refused,
    /// There is no whole answer, and another run may bring one.
    Broken {
        /// The stable code of the error.
        code: String,
        /// For people.
        message: String,
    },
    /// There is no whole answer, and another run would bring none.
    Failed {
        /// The stable code of the error.
        code: String,
        /// Whether it may have run.
        verdict: Verdict,
        /// For people.
        message: String,
    },
}

/// What comes after a run without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum After {
    /// Back into the queue: it was refused, and did not run.
    Refused,
    /// Back into the queue, and not to be started before the wait is over.
    Wait(Millis),
    /// The end.
    End(End),
}

impl After {
    /// Decides after a run; none for an answer, which is kept first.
    pub fn run(job: &Job, outcome: &Outcome) -> Option<Self> {
        let again = job.repeatable && job.attempts < MOST_ATTEMPTS;
        Some(match outcome {
            Outcome::Answer(_) => return None,
            Outcome::Refused => Self::Refused,
            Outcome::Broken { .. } if again => Self::Wait(wait(job.attempts)),
            Outcome::Broken { code, message } => {
                Self::End(End::failed(code, Verdict::MayHaveRun, message.clone()))
            }
            Outcome::Failed {
                code,
                verdict,
                message,
            } => Self::End(End::failed(code, *verdict, message.clone())),
        })
    }
}

/// The wait after the given number of failures in a row, from 1.
pub(super) fn wait(failures: u32) -> Millis {
    let doubled = FIRST_WAIT.0 << failures.saturating_sub(1).min(16);
    Millis(doubled).min(LONGEST_WAIT)
}
