//! Carries out one started job: runs it, keeps its answer, records its end.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;
use woodgap_core::clock::Millis;
use woodgap_core::deferred::{After, End, Job, Outcome, Row, Stage};
use woodgap_core::verdict::Verdict;
use woodgap_platform::lease::{Hold, Time};

use crate::deferred::store::{Moved, Under};
use crate::deferred::{Runner, Storage, Store};

/// The wait after a call that failed; it doubles with each further one.
const FIRST_WAIT: Millis = Millis(100);
/// The longest such wait: short beside an outage, long beside a call.
const LONGEST_WAIT: Millis = Millis(3_000);
/// How often a body that is not there is looked for.
const LOOKS_FOR_BODY: u32 = 5;

/// How the work on a job ended here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// Its end is recorded.
    Ended,
    /// It is queued again, with this version, and not to be started before the wait is over.
    Queued(u64, After),
    /// The lease was lost, or somebody else moved the job.
    Lost,
}

/// The lease was lost, or somebody else moved the job.
struct Lost;

/// One started job.
pub struct Work<S, R, C> {
    /// Its row, as its start was written.
    pub row: Row,
    /// The lease under which it was started.
    pub under: Under,
    /// Where it is kept.
    pub store: Store<S>,
    /// What runs it.
    pub runner: Rc<R>,
    /// The lease as it stands.
    pub hold: Hold<C>,
    /// The clocks.
    pub time: C,
    /// Whether no more runs are begun.
    pub stopping: watch::Receiver<bool>,
}

impl<S: Storage, R: Runner, C: Time> Work<S, R, C> {
    /// Carries the job out. It may be dropped at any point: whatever is left
    /// undone is found by the shard's next holder.
    pub async fn carry_out(self) -> Report {
        let result = tokio::select! {
            result = self.steps() => result,
            () = self.hold.lost(self.under.fence) => Err(Lost),
        };
        result.unwrap_or(Report::Lost)
    }

    async fn steps(&self) -> Result<Report, Lost> {
        let outcome = match self.body().await {
            Some(body) => {
                // A pause may have come since the start was written.
                self.held().await?;
                // Another entry runs what was only recorded as started when the stop began.
                if *self.stopping.borrow() {
                    return self.queue_again(After::Refused).await;
                }
                self.runner.run(&self.row.job, body).await
            }
            None => unreadable(&self.row.job),
        };
        match After::run(&self.row.job, &outcome) {
            Some(After::End(end)) => self.end(end).await,
            Some(after) => self.queue_again(after).await,
            None => self.keep(outcome).await,
        }
    }

    async fn held(&self) -> Result<(), Lost> {
        self.hold.held(self.under.fence).await.map_err(|_| Lost)
    }

    /// The request's body; none if it is really gone.
    async fn body(&self) -> Option<Bytes> {
        let mut wait = FIRST_WAIT;
        let mut looks = 0;
        loop {
            match self.store.request(&self.row.job).await {
                Ok(Some(body)) => return Some(body),
                Ok(None) => looks += 1,
                Err(_) => {}
            }
            if looks == LOOKS_FOR_BODY {
                return None;
            }
            pause(&mut wait).await;
        }
    }

    /// Keeps an answer, then records that it is there.
    async fn keep(&self, outcome: Outcome) -> Result<Report, Lost> {
        let Outcome::Answer(answer) = outcome else {
            return Err(Lost);
        };
        let answer = Bytes::from(answer);
        let mut wait = FIRST_WAIT;
        // The key is this attempt's own: writing it twice is harmless.
        while let Err(error) = self.store.put_answer(&self.row.job, answer.clone()).await {
            log::debug!(error = error.to_string(); "answer not kept yet");
            pause(&mut wait).await;
        }
        let attempt = self.row.job.attempts;
        self.end(End::Answered { attempt }).await
    }

    async fn end(&self, end: End) -> Result<Report, Lost> {
        let mut wait = FIRST_WAIT;
        loop {
            let now = self.time.unix();
            match self
                .store
                .end(&self.under, &self.row, end.clone(), now)
                .await
            {
                Moved::Committed(_) => break,
                Moved::Fenced => self.hold.suspect(),
                Moved::Changed(_) => {
                    if self.is_recorded(&end).await? {
                        break;
                    }
                }
                Moved::Unavailable | Moved::Unknown => {}
            }
            pause(&mut wait).await;
        }
        self.store.discard(&self.row.job.request_object()).await;
        Ok(Report::Ended)
    }

    /// Whether the end is this one, by a write whose acknowledgement was lost.
    async fn is_recorded(&self, end: &End) -> Result<bool, Lost> {
        let key = &self.row.job.key;
        // An older state may be read: the caller asks again until one is clear.
        let Ok(Some(receipt)) = self.store.receipt(key).await else {
            return Ok(false);
        };
        match &receipt.end {
            None => Ok(false),
            Some(recorded) if recorded == end => Ok(true),
            Some(_) => {
                self.discard_answer().await;
                Err(Lost)
            }
        }
    }

    /// Removes the answer that came too late, if there is one.
    async fn discard_answer(&self) {
        let job = &self.row.job;
        let answer = Job::answer_object(&job.key, job.attempts);
        self.store.discard(&answer).await;
    }

    async fn queue_again(&self, after: After) -> Result<Report, Lost> {
        let job = self.row.job.queued_again();
        let change = [(self.row.version, job)];
        let mut wait = FIRST_WAIT;
        loop {
            match self.store.change(&self.under, &change).await {
                Moved::Committed(versions) => {
                    let version = versions.first().copied().ok_or(Lost)?;
                    return Ok(Report::Queued(version, after));
                }
                Moved::Fenced => self.hold.suspect(),
                Moved::Changed(_) => {
                    if let Some(version) = self.is_queued().await {
                        return Ok(Report::Queued(version, after));
                    }
                }
                Moved::Unavailable | Moved::Unknown => {}
            }
            pause(&mut wait).await;
        }
    }

    /// The version of the row, if a write whose acknowledgement was lost queued it.
    async fn is_queued(&self) -> Option<u64> {
        let row = self.store.job(&self.row.key).await.ok()??;
        let queued = row.job.stage == Stage::Queued && row.version > self.row.version;
        queued.then_some(row.version)
    }
}

/// The end of a job whose body is gone.
fn unreadable(job: &Job) -> Outcome {
    let ran_before = job.repeatable && job.attempts > 1;
    Outcome::Failed {
        code: "platform_out".to_owned(),
        verdict: if ran_before {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        },
        message: "the recorded request can't be read back".to_owned(),
    }
}

async fn pause(wait: &mut Millis) {
    tokio::time::sleep(Duration::from_millis(wait.0)).await;
    *wait = LONGEST_WAIT.min(*wait + *wait);
}
