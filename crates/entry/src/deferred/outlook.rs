//! Looks for jobs for all shards of an entry at once, while there are few.

use tokio::sync::Mutex;
use woodgap_core::clock::Millis;
use woodgap_core::deferred::{Row, Shard};
use woodgap_platform::Error;
use woodgap_platform::table::Scan;

use crate::deferred::{Storage, Store};
use crate::lease::Time;

/// Up to this many jobs, one scan of all shards costs less than one of each: an
/// idle fleet then makes one scan for each entry, not one for each shard.
const FEW: usize = 100;
/// How long a failed scan stands for those that would be made at once after it.
const FAILED: Millis = Millis(250);

/// What was seen of all shards at once.
#[derive(Default)]
struct Overview {
    /// When the scan was sent; what was written before is in it, unless the table
    /// service showed an older state.
    at: Option<Millis>,
    rows: Vec<Row>,
    /// Whether these are all jobs that there are.
    whole: bool,
    /// When a scan failed last.
    failed: Option<(Millis, Error)>,
}

/// Looks for jobs.
pub struct Outlook<S, C> {
    store: Store<S>,
    time: C,
    // Held over the scan, so that the shards' workers make one and not many.
    overview: Mutex<Overview>,
}

impl<S: Storage, C: Time> Outlook<S, C> {
    /// Looks at this store.
    pub fn new(store: Store<S>, time: C) -> Self {
        Self {
            store,
            time,
            overview: Mutex::default(),
        }
    }

    /// The store.
    pub fn store(&self) -> &Store<S> {
        &self.store
    }

    /// The jobs of a shard after a row, one scan's worth, as they were at a time
    /// or later.
    ///
    /// # Errors
    ///
    /// If the platform failed.
    pub async fn look(&self, shard: Shard, after: &str, not_before: Millis) -> Result<Page, Error> {
        if after.is_empty()
            && let Some(rows) = self.few(shard, not_before).await?
        {
            return Ok(Page { rows, more: false });
        }
        let rows = self.store.look(shard, after).await?;
        let more = rows.len() == Scan::MOST;
        Ok(Page { rows, more })
    }

    /// The jobs of a shard out of the overview; none if there are many.
    async fn few(&self, shard: Shard, not_before: Millis) -> Result<Option<Vec<Row>>, Error> {
        let mut overview = self.overview.lock().await;
        if overview.at.is_none_or(|at| at < not_before) {
            self.renew(&mut overview).await?;
        }
        if !overview.whole {
            return Ok(None);
        }
        let prefix = shard.prefix();
        let mine = overview
            .rows
            .iter()
            .filter(|row| row.key.starts_with(&prefix));
        Ok(Some(mine.cloned().collect()))
    }

    async fn renew(&self, overview: &mut Overview) -> Result<(), Error> {
        let now = self.time.now();
        if let Some((at, error)) = &overview.failed
            && now < *at + FAILED
        {
            return Err(error.clone());
        }
        match self.store.overview(FEW).await {
            Ok(rows) => {
                overview.whole = rows.len() < FEW;
                overview.at = Some(now);
                overview.rows = rows;
                overview.failed = None;
                Ok(())
            }
            Err(error) => {
                overview.failed = Some((self.time.now(), error.clone()));
                Err(error)
            }
        }
    }
}

/// Jobs of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The jobs.
    pub rows: Vec<Row>,
    /// Whether others come after them.
    pub more: bool,
}
