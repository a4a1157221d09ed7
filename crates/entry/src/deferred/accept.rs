//! Records a request: it is accepted only once both its body and its row are kept.

use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;
use woodgap_core::clock::Millis;
use woodgap_core::deferred::{Job, SHARDS, State};
use woodgap_core::once::Key;
use woodgap_platform::Error as PlatformError;
use woodgap_platform::lease::Time;

use crate::deferred::{Storage, Store};

/// The wait before the platform is asked again; it doubles with each time.
const FIRST_WAIT: Millis = Millis(50);
/// How long a caller waits for its request to be recorded.
pub const PATIENCE: Millis = Millis(6_000);

/// Why a request is not accepted, or not known to be.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The identity was used with another body.
    #[error("the identity was used with another request body")]
    Reused,
    /// The identity was used for an ordinary request.
    #[error("the identity was used for a request that was not deferred")]
    Claimed,
    /// The workspace has too much recorded that has not ended.
    #[error("the workspace has too many deferred requests waiting")]
    Full,
    /// The platform failed; nothing was recorded.
    #[error("not recorded: {0}")]
    NotRecorded(PlatformError),
    /// It may have been recorded, or may yet be.
    #[error("it is not known whether the request was recorded: {0}")]
    Unknown(PlatformError),
}

/// A request that was recorded before.
struct Found {
    state: State,
    /// Whether by this very submission.
    ours: bool,
}

/// Records requests, within a workspace's bound.
pub struct Accept<'a, S, C> {
    store: &'a Store<S>,
    time: &'a C,
    /// The most that a workspace may have in one shard.
    bound: usize,
}

impl<'a, S: Storage, C: Time> Accept<'a, S, C> {
    /// Records in this store; the bound is a workspace's over all shards.
    pub fn new(store: &'a Store<S>, time: &'a C, bound: usize) -> Self {
        Self {
            store,
            time,
            bound: bound.div_ceil(usize::from(SHARDS)),
        }
    }

    /// Records a request, or finds it recorded before.
    ///
    /// # Errors
    ///
    /// Why it is not recorded, or not known to be. After [`Refusal::Unknown`] the
    /// same identity may be submitted again: it is never recorded twice.
    pub async fn record(&self, job: &Job, body: Bytes) -> Result<State, Refusal> {
        let give_up = self.time.now() + PATIENCE;
        if let Some(state) = self.known(job, give_up).await? {
            return Ok(state);
        }
        self.check_bound(&job.key, give_up).await?;
        self.put_body(job, &body, give_up).await?;
        self.put_row(job, give_up).await
    }

    /// The state of the request, if it was recorded before.
    async fn known(&self, job: &Job, give_up: Millis) -> Result<Option<State>, Refusal> {
        let mut wait = FIRST_WAIT;
        loop {
            match self.found(job).await {
                Err(Refusal::NotRecorded(_)) if self.pause(&mut wait, give_up).await => {}
                found => return Ok(found?.map(|found| found.state)),
            }
        }
    }

    async fn found(&self, job: &Job) -> Result<Option<Found>, Refusal> {
        let receipt = self.store.receipt(&job.key).await;
        let Some(receipt) = receipt.map_err(Refusal::NotRecorded)? else {
            return Ok(None);
        };
        if receipt.body != job.body {
            return Err(Refusal::Reused);
        }
        let state = self.store.lookup(&job.key).await;
        Ok(Some(Found {
            // It may have ended, and its time be over, since.
            state: state
                .map_err(Refusal::NotRecorded)?
                .unwrap_or(State::Accepted),
            ours: receipt.submission == job.submission,
        }))
    }

    async fn check_bound(&self, key: &Key, give_up: Millis) -> Result<(), Refusal> {
        let mut wait = FIRST_WAIT;
        loop {
            match self.store.queued(key, self.bound).await {
                Ok(queued) if queued < self.bound => return Ok(()),
                Ok(_) => return Err(Refusal::Full),
                Err(error) => {
                    if !self.pause(&mut wait, give_up).await {
                        return Err(Refusal::NotRecorded(error));
                    }
                }
            }
        }
    }

    /// The body goes first: a row without its body could never be carried out.
    ///
    /// NB: should this entry end before the row is written, the body stays behind.
    /// Nothing lists the object store, so that the operators' page asks for a rule
    /// that removes what is old.
    async fn put_body(&self, job: &Job, body: &Bytes, give_up: Millis) -> Result<(), Refusal> {
        let mut wait = FIRST_WAIT;
        while let Err(error) = self.store.put_request(job, body.clone()).await {
            if !self.pause(&mut wait, give_up).await {
                return Err(Refusal::NotRecorded(error));
            }
        }
        Ok(())
    }

    /// Writes the row. After a lost acknowledgement the same write is tried again:
    /// it takes effect once, and a conflict is settled by reading back.
    async fn put_row(&self, job: &Job, give_up: Millis) -> Result<State, Refusal> {
        let mut wait = FIRST_WAIT;
        let mut in_doubt = false;
        loop {
            let error = match self.store.record(job).await {
                Ok(true) => return Ok(State::Accepted),
                Ok(false) => match self.found(job).await {
                    Ok(Some(found)) => {
                        self.discard_unless(found.ours, job).await;
                        return Ok(found.state);
                    }
                    Ok(None) => match self.store.is_claimed(&job.key).await {
                        Ok(true) => {
                            self.discard_unless(false, job).await;
                            return Err(Refusal::Claimed);
                        }
                        // The conflict says that there is a row: the read is an older state.
                        Ok(false) => PlatformError::Unknown("a stale read".to_owned()),
                        Err(error) => PlatformError::Unknown(error.to_string()),
                    },
                    Err(Refusal::NotRecorded(error)) => PlatformError::Unknown(error.to_string()),
                    Err(refusal) => {
                        self.discard_unless(false, job).await;
                        return Err(refusal);
                    }
                },
                Err(error) => error,
            };
            in_doubt |= error.may_have_taken_effect();
            if self.pause(&mut wait, give_up).await {
                continue;
            }
            if in_doubt {
                return Err(Refusal::Unknown(error));
            }
            self.discard_unless(false, job).await;
            return Err(Refusal::NotRecorded(error));
        }
    }

    /// Removes the body of a submission that is not the recorded one.
    async fn discard_unless(&self, ours: bool, job: &Job) {
        if !ours {
            self.store.discard(&job.request_object()).await;
        }
    }

    /// Waits a little; false if there is no time for another try.
    async fn pause(&self, wait: &mut Millis, give_up: Millis) -> bool {
        if self.time.now() + *wait >= give_up {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(wait.0)).await;
        *wait = *wait + *wait;
        true
    }
}
