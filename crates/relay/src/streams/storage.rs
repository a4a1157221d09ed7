//! Stores streams whose version others must know at the platform, and reads them again.
//!
//! Keepers know them while any entry lives. The platform is for those that start when all others
//! are gone: else none of the streams that were cut off could go on, as nobody would know its
//! version. An entry reads what it has stored itself in an earlier life, and tells the keepers; what
//! others have stored that are gone is read by the first one.

use std::rc::Rc;
use std::time::Duration;

use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::duty;
use woodgap_core::relay::resumption::Keepers;
use woodgap_core::relay::resumption::inquiry::Notice;
use woodgap_core::relay::resumption::stored::{
    Batch, Ledger, MAX_BATCH, MAX_DELETIONS, is_outdated, save_interval,
};

use crate::follow::usable;
use crate::source::row::{Row, UnusableRows};
use crate::source::{Error, StreamsChange, batch_number};
use crate::state::State;
use crate::streams::send_notices;

/// The time between two looks at what entries that are gone have stored.
const SWEEP_INTERVAL: Millis = Millis(30_000);

/// Stores streams for as long as the process runs.
pub async fn run(state: Rc<State>) {
    let mut storage = Storage {
        faults: UnusableRows::new("streams"),
        ledger: Ledger::default(),
        unanswered: None,
        has_restored: false,
        swept: None,
        shared: None,
        failures: 0,
        state,
    };
    loop {
        tokio::time::sleep(Duration::from_millis(storage.pause().0)).await;
        let done = storage.step().await;
        storage.record(&done);
    }
}

/// What this entry has stored, and has read of others.
struct Storage {
    state: Rc<State>,
    faults: UnusableRows,
    ledger: Ledger,
    /// A batch that may be stored or not.
    unanswered: Option<(u64, Batch)>,
    /// Whether the batches of this entry's earlier life are read.
    has_restored: bool,
    /// When the batches of entries that are gone were last looked at.
    swept: Option<Millis>,
    /// When streams last had to be stored.
    shared: Option<Millis>,
    /// How many steps have failed in sequence.
    failures: u32,
}

impl Storage {
    async fn step(&mut self) -> Result<(), Error> {
        let now = self.state.now();
        let (shares, retention) = {
            let registry = self.state.streams.registry.borrow();
            (registry.shares_streams(now), registry.retention())
        };
        if shares {
            self.shared = Some(now);
        }
        if shares && !self.has_restored {
            self.restore().await?;
        }
        self.save(retention, now).await?;
        let is_recent = self
            .shared
            .is_some_and(|at| now - at <= retention + SWEEP_INTERVAL);
        if is_recent && self.is_sweep_due(now) {
            self.swept = Some(now);
            self.sweep(retention).await?;
        }
        Ok(())
    }

    fn pause(&self) -> Millis {
        let interval = save_interval(self.state.fleet.borrow().size());
        if self.failures == 0 {
            return interval;
        }
        interval.max(duty::backoff(self.failures, rand::random()))
    }

    fn record(&mut self, done: &Result<(), Error>) {
        let failed_before = self.failures > 0;
        match done {
            Ok(()) => self.failures = 0,
            Err(_) => self.failures += 1,
        }
        match done {
            Ok(()) if failed_before => log::info!("streams are stored and read again"),
            Err(error) if !failed_before => {
                log::warn!(error = error.to_string(); "streams can't be stored or read");
            }
            _ => {}
        }
    }

    /// Reads what this entry has stored in an earlier life.
    async fn restore(&mut self) -> Result<(), Error> {
        let state = Rc::clone(&self.state);
        let own = &state.settings.name;
        let rows = state.source.list_streams(own).await?;
        for number in rows.iter().filter_map(|row| batch_number(&row.key)) {
            self.ledger.insert(number);
        }
        self.take(own, rows);
        self.has_restored = true;
        Ok(())
    }

    /// Stores the streams that are new, and deletes the batches that are over.
    async fn save(&mut self, retention: Millis, now: Millis) -> Result<(), Error> {
        let state = Rc::clone(&self.state);
        let unix = state.clock.unix();
        let batch = self
            .unanswered
            .take()
            .or_else(|| self.next_batch(now, unix));
        let change = StreamsChange {
            batch,
            deleted: self.ledger.outdated(retention, unix),
        };
        if change.is_empty() {
            return Ok(());
        }
        let changing = state.source.change_streams(&state.settings.name, &change);
        let batches = &state.metrics.stream_batches;
        if let Err(error) = changing.await {
            batches.with_label_values(&["failed"]).inc();
            // It is written again under the same number, and so never stored twice.
            self.unanswered = change.batch;
            return Err(error);
        }
        batches.with_label_values(&["stored"]).inc();
        if let Some((number, _)) = change.batch {
            self.ledger.insert(number);
        }
        self.ledger.remove(&change.deleted);
        Ok(())
    }

    fn next_batch(&self, now: Millis, unix: Millis) -> Option<(u64, Batch)> {
        let mut registry = self.state.streams.registry.borrow_mut();
        let streams = registry.take_unsaved(MAX_BATCH, now);
        if streams.is_empty() {
            return None;
        }
        let batch = Batch {
            written_unix: unix,
            streams,
        };
        Some((self.ledger.number(unix), batch))
    }

    /// The first entry looks, once it knows which others there are.
    fn is_sweep_due(&self, now: Millis) -> bool {
        let standing = self.state.standing();
        let is_due = self.swept.is_none_or(|at| now - at >= SWEEP_INTERVAL);
        is_due && standing.rank == 0 && standing.has_converged()
    }

    /// Reads what entries have stored that are gone, and deletes what is over of it.
    async fn sweep(&mut self, retention: Millis) -> Result<(), Error> {
        let state = Rc::clone(&self.state);
        for entry in state.source.list_streamers().await? {
            if is_there(&state, &entry) {
                continue;
            }
            let rows = state.source.list_streams(&entry).await?;
            let unix = state.clock.unix();
            let numbers = rows.iter().filter_map(|row| batch_number(&row.key));
            let outdated = numbers.filter(|it| is_outdated(*it, retention, unix));
            let change = StreamsChange {
                batch: None,
                deleted: outdated.take(MAX_DELETIONS).collect(),
            };
            self.take(&entry, rows);
            if !change.is_empty() {
                state.source.change_streams(&entry, &change).await?;
            }
        }
        Ok(())
    }

    /// Takes in stored streams, and tells their keepers.
    fn take(&mut self, from: &name::Entry, rows: Vec<Row<Batch>>) {
        let state = &self.state;
        self.faults.record(&rows, &state.metrics);
        let (now, unix) = (state.now(), state.clock.unix());
        let batches: Vec<_> = rows.into_iter().filter_map(usable).collect();
        let notices = batches.iter().flat_map(|batch| batch.notices(unix));
        let notices: Vec<Notice> = notices.collect();
        if notices.is_empty() {
            return;
        }
        log::info!(from = from.as_str(), streams = notices.len(); "stored streams are known again");
        {
            let mut registry = state.streams.registry.borrow_mut();
            for notice in &notices {
                registry.restore_stream(notice, now);
            }
        }
        let keepers = Keepers::new(&state.fleet.borrow());
        send_notices(state, &notices, |stream| keepers.of(stream));
    }
}

/// Whether an entry is known, which reads and deletes by itself what it has stored.
fn is_there(state: &State, entry: &name::Entry) -> bool {
    let fleet = state.fleet.borrow();
    *entry == state.settings.name || fleet.known().any(|it| it.name == *entry)
}
