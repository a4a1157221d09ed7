//! A request that has not ended: its row, and what its shard's holder does next.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::config::document::Measure;
use crate::deferred::{End, Shard};
use crate::lease::{Fence, Holder};
use crate::name;
use crate::once::{Digest, Key};
use crate::tier::Tier;
use crate::verdict::Verdict;

/// How often a request that may be repeated is started, when each attempt broke
/// off: one that ends its holders must not end them for ever.
pub const MOST_ATTEMPTS: u32 = 8;

/// The forms of model requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Form {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
}

/// A recorded request that has not ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Whose it is, and its identity.
    #[serde(flatten)]
    pub key: Key,
    /// The class.
    pub class: name::Class,
    /// The workspace's tier when it came.
    pub tier: Tier,
    /// The class's weight.
    pub weight: u64,
    /// The model.
    pub target: name::Target,
    /// Chat or completion.
    pub form: Form,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The class's latency target.
    #[serde(rename = "latency_ms")]
    pub latency: Millis,
    /// What the latency target measures.
    pub measure: Measure,
    /// Hash of the prompt's start; 0 for none.
    pub prefix: u64,
    /// Hash of the request's body.
    pub body: Digest,
    /// Names the submission that was recorded; no two share one.
    pub submission: name::Request,
    /// When it was recorded, in milliseconds since the Unix epoch.
    #[serde(rename = "created_ms")]
    pub created: Millis,
    /// How often it was started.
    pub attempts: u32,
    /// How far it has come.
    pub stage: Stage,
}

/// The key of the object that holds the body of a submission.
pub(super) fn request_object(key: &Key, submission: name::Request) -> String {
    format!("deferred/{}/request-{submission}", key.digest())
}

/// How far a request that has not ended has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "stage", rename_all = "snake_case")]
pub enum Stage {
    /// Nobody runs it.
    Queued,
    /// A holder of the shard's lease may have sent it to an endpoint.
    Started {
        /// The holder.
        holder: Holder,
        /// Its fence.
        fence: Fence,
    },
}

/// What a holder knows of a job that it has itself started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// It was not sent to an endpoint under this fence.
    Never,
    /// It runs.
    Runs,
    /// It broke off, and nobody knows how far it had come.
    Broke,
}

/// What the holder of the shard's lease does with a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Start it.
    Start,
    /// Record its end: it can't be started.
    Settle(End),
    /// Nothing: it runs here.
    Runs,
    /// Nothing: a later holder has it.
    Leave,
}

impl Job {
    /// The key of the job's row: those of a workspace in the order in which they came.
    pub fn row(&self) -> String {
        let shard = Shard::of(&self.key);
        let created = self.created.0;
        format!(
            "{shard}/{}/{created:013}-{}",
            self.key.workspace,
            self.key.digest()
        )
    }

    /// What the keys of a workspace's rows in a shard begin with.
    pub fn prefix_of(key: &Key) -> String {
        format!("{}/{}/", Shard::of(key), key.workspace)
    }

    /// The key of the object that holds the request's body. Each submission has
    /// its own, so that one that is not recorded can be removed.
    pub fn request_object(&self) -> String {
        request_object(&self.key, self.submission)
    }

    /// The key of the object that holds an attempt's answer. Each attempt
    /// belongs to one fence, so that no two holders write to the same object.
    pub fn answer_object(key: &Key, attempt: u32) -> String {
        format!("deferred/{}/answer-{attempt}", key.digest())
    }

    /// What the holder with this fence does next; `sent` is what it knows of the
    /// job under this fence.
    pub fn next(&self, now_unix: Millis, kept: Millis, fence: Fence, sent: Sent) -> Next {
        if sent == Sent::Runs {
            // Whatever older state of the row was read.
            return Next::Runs;
        }
        match &self.stage {
            Stage::Queued if now_unix >= self.created + kept => Next::Settle(self.overdue()),
            Stage::Queued => Next::Start,
            Stage::Started { fence: other, .. } => match other.cmp(&fence) {
                Ordering::Greater => Next::Leave,
                // Its own write took effect late.
                Ordering::Equal if sent == Sent::Never => Next::Start,
                Ordering::Equal | Ordering::Less => self.taken_over(),
            },
        }
    }

    /// What becomes of a job that was started and broke off.
    fn taken_over(&self) -> Next {
        if !self.repeatable {
            return Next::Settle(End::unknown_outcome());
        }
        if self.attempts >= MOST_ATTEMPTS {
            return Next::Settle(End::given_up(self.attempts));
        }
        Next::Start
    }

    fn overdue(&self) -> End {
        // Queued again, one that may not be repeated has certainly not run.
        let verdict = if self.repeatable && self.attempts > 0 {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        End::overdue(verdict)
    }

    /// The job once it is started by a holder.
    #[must_use]
    pub fn started(&self, holder: &Holder, fence: Fence) -> Self {
        Self {
            attempts: self.attempts + 1,
            stage: Stage::Started {
                holder: holder.clone(),
                fence,
            },
            ..self.clone()
        }
    }

    /// The job once its holder knows that it did not run, or that it may run again.
    #[must_use]
    pub fn queued_again(&self) -> Self {
        Self {
            stage: Stage::Queued,
            ..self.clone()
        }
    }
}
