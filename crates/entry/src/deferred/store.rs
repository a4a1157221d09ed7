//! Reads and moves deferred requests in the platform's services.

use bytes::Bytes;
use woodgap_core::clock::Millis;
use woodgap_core::deferred::{End, Job, Receipt, Row, Shard, Stage, State};
use woodgap_core::lease::Fence;
use woodgap_core::once::Key;
use woodgap_platform::Error;
use woodgap_platform::lease::rows::under;
use woodgap_platform::object::Condition;
use woodgap_platform::table::{Outcome, Scan, Transaction};

use crate::deferred::{Storage, rows};
use crate::once::claims;

/// A lease with the fence under which it is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Under {
    /// The shard.
    pub shard: Shard,
    /// The fence.
    pub fence: Fence,
}

impl Under {
    fn transaction(&self) -> Transaction {
        under(Transaction::default(), &self.shard.lease(), self.fence)
    }
}

/// What became of a transaction under a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Moved {
    /// It took effect; the new versions are those of the rows written.
    Committed(Vec<u64>),
    /// Nothing took effect: somebody else has taken the lease.
    Fenced,
    /// Nothing took effect: these of the rows, by index, have other versions.
    Changed(Vec<usize>),
    /// Nothing took effect.
    Unavailable,
    /// It may have taken effect, or may yet.
    Unknown,
}

/// Deferred requests in these services.
#[derive(Clone)]
pub struct Store<S> {
    storage: S,
}

impl<S: Storage> Store<S> {
    /// Deferred requests in these services.
    pub fn new(storage: S) -> Self {
        Self { storage }
    }

    /// The services themselves.
    pub fn storage(&self) -> &S {
        &self.storage
    }

    /// The receipt of an identity.
    ///
    /// # Errors
    ///
    /// If the platform failed, or the row can't be read.
    pub async fn receipt(&self, key: &Key) -> Result<Option<Receipt>, Error> {
        let found = self.storage.read(&[rows::receipt(key)]).await?;
        let row = found.first().and_then(Option::as_ref);
        row.map(rows::decode).transpose()
    }

    /// How far a request has come; none if it is not known.
    ///
    /// # Errors
    ///
    /// If the platform failed, or a row can't be read.
    pub async fn lookup(&self, key: &Key) -> Result<Option<State>, Error> {
        let Some(receipt) = self.receipt(key).await? else {
            return Ok(None);
        };
        if let Some(state) = State::of(&receipt, key) {
            return Ok(Some(state));
        }
        Ok(Some(match self.job(&receipt.job).await? {
            Some(row) if row.job.stage == Stage::Queued => State::Accepted,
            // Without a row it has just ended; the next look says how.
            _ => State::Running,
        }))
    }

    /// A job by its row's key; none once it has ended.
    ///
    /// # Errors
    ///
    /// If the platform failed, or the row can't be read.
    pub async fn job(&self, row: &str) -> Result<Option<Row>, Error> {
        let found = self.storage.read(&[rows::job(row)]).await?;
        let row = found.first().and_then(Option::as_ref);
        row.map(rows::read_job).transpose()
    }

    /// The jobs of a shard after a row, in the order of their rows, one scan's worth.
    ///
    /// A row that can't be read is left out: it must not stop the others.
    ///
    /// # Errors
    ///
    /// If the platform failed.
    pub async fn look(&self, shard: Shard, after: &str) -> Result<Vec<Row>, Error> {
        let scan = rows::scan(rows::JOBS, shard.prefix(), after, Scan::MOST);
        let found = self.storage.scan(&scan).await?;
        let read = found.iter().filter_map(|row| match rows::read_job(row) {
            Ok(row) => Some(row),
            Err(error) => {
                log::error!(error = error.to_string(); "deferred job can't be read");
                None
            }
        });
        Ok(read.collect())
    }

    /// How many jobs a request's workspace has in the request's shard, counted
    /// up to a bound.
    ///
    /// # Errors
    ///
    /// If the platform failed.
    pub async fn queued(&self, key: &Key, bound: usize) -> Result<usize, Error> {
        let prefix = Job::prefix_of(key);
        let scan = rows::scan(rows::JOBS, prefix, "", bound);
        Ok(self.storage.scan(&scan).await?.len())
    }

    /// Records a job, if its identity is not in use.
    ///
    /// # Errors
    ///
    /// If the platform failed; [`Error::Unknown`] where it may be recorded.
    pub async fn record(&self, job: &Job) -> Result<bool, Error> {
        let outcome = self.storage.transact(&rows::record(job)?).await?;
        Ok(matches!(outcome, Outcome::Committed { .. }))
    }

    /// Whether an identity was claimed for an ordinary request.
    ///
    /// # Errors
    ///
    /// If the platform failed.
    pub async fn is_claimed(&self, key: &Key) -> Result<bool, Error> {
        let found = self.storage.read(&[claims::place(key)]).await?;
        Ok(found.first().is_some_and(Option::is_some))
    }

    /// Puts jobs in other states; all of them or none.
    pub async fn change(&self, under: &Under, changes: &[(u64, Job)]) -> Moved {
        let mut transaction = Ok(under.transaction());
        for (version, job) in changes {
            transaction =
                transaction.and_then(|transaction| rows::change(transaction, *version, job));
        }
        self.transact(transaction).await
    }

    /// Ends a job.
    pub async fn end(&self, under: &Under, row: &Row, end: End, now_unix: Millis) -> Moved {
        let receipt = Receipt::ended(&row.job, end, now_unix);
        let transaction = rows::end(under.transaction(), row, &receipt);
        self.transact(transaction).await
    }

    async fn transact(&self, transaction: Result<Transaction, Error>) -> Moved {
        let outcome = match transaction {
            Ok(transaction) => self.storage.transact(&transaction).await,
            Err(error) => Err(error),
        };
        match outcome {
            Ok(Outcome::Committed { versions }) => Moved::Committed(versions),
            // The first check is that of the fence.
            Ok(Outcome::Conflict { failed }) if failed.contains(&0) => Moved::Fenced,
            Ok(Outcome::Conflict { failed }) => {
                Moved::Changed(failed.iter().map(|index| index - 1).collect())
            }
            Err(error) if error.may_have_taken_effect() => Moved::Unknown,
            Err(error) => {
                log::debug!(error = error.to_string(); "deferred job not moved");
                Moved::Unavailable
            }
        }
    }

    /// Keeps a request's body.
    ///
    /// # Errors
    ///
    /// If the platform failed.
    pub async fn put_request(&self, job: &Job, body: Bytes) -> Result<(), Error> {
        let key = job.request_object();
        self.storage.put(&key, body, Condition::Always).await?;
        Ok(())
    }

    /// A request's body; none if it is gone.
    ///
    /// # Errors
    ///
    /// If the platform failed.
    pub async fn request(&self, job: &Job) -> Result<Option<Bytes>, Error> {
        let object = self.storage.get(&job.request_object()).await?;
        Ok(object.map(|object| object.body))
    }

    /// Keeps the answer of a job's present attempt.
    ///
    /// # Errors
    ///
    /// If the platform failed.
    pub async fn put_answer(&self, job: &Job, answer: Bytes) -> Result<(), Error> {
        let key = Job::answer_object(&job.key, job.attempts);
        self.storage.put(&key, answer, Condition::Always).await?;
        Ok(())
    }

    /// An answer, by the object key of [`State::Done`]; none if it is gone.
    ///
    /// # Errors
    ///
    /// If the platform failed.
    pub async fn answer(&self, object: &str) -> Result<Option<Bytes>, Error> {
        let object = self.storage.get(object).await?;
        Ok(object.map(|object| object.body))
    }

    /// Removes an object; one that stays is removed with its request.
    pub async fn discard(&self, object: &str) {
        if let Err(error) = self.storage.delete(object).await {
            log::debug!(object = object, error = error.to_string(); "object not removed yet");
        }
    }
}
