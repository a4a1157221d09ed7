//! Writes the counts for the burn report to the table service.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use woodgap_core::burn::{Recorder, Row, TABLE};
use woodgap_core::clock::Millis;
use woodgap_platform::http::Platform;
use woodgap_platform::table::{Place, Table, Transaction};

use crate::configuration::watcher::platform;
use crate::shared::Shared;

/// How often the recorder is asked for rows.
const PERIOD: Duration = Duration::from_secs(1);

/// Wait before last rows that were not taken are written again.
const LAST_ROWS_AGAIN: Duration = Duration::from_millis(50);

/// Writes what the recorder says is due, without end.
pub async fn keep_writing(shared: Arc<Shared>) {
    let platform = platform(&shared);
    loop {
        let entries = shared.members.load().len() as u64;
        let rows = with(&shared.counts, |recorder| {
            recorder.resize(entries.max(1));
            recorder.due(shared.clock.unix())
        });
        write(&shared, &platform, rows).await;
        tokio::time::sleep(PERIOD).await;
    }
}

/// Writes the last rows, with the mark of a clean end, within the time given.
pub async fn finish(shared: &Shared, within: Millis) {
    let platform = platform(shared);
    let writing = async {
        loop {
            let rows = with(&shared.counts, |recorder| {
                recorder.finish(shared.clock.unix())
            });
            if rows.is_empty() {
                return;
            }
            write(shared, &platform, rows).await;
            tokio::time::sleep(LAST_ROWS_AGAIN).await;
        }
    };
    let limit = Duration::from_millis(within.0);
    if tokio::time::timeout(limit, writing).await.is_err() {
        log::warn!("the last counts for the burn report were not recorded in time");
    }
}

async fn write(shared: &Shared, platform: &Platform, rows: Vec<Row>) {
    for row in rows {
        let written = put(platform, &row).await;
        with(&shared.counts, |recorder| match written {
            Ok(()) => recorder.written(&row),
            Err(_) => recorder.failed(&row),
        });
        if let Err(error) = written {
            log::warn!(minute = row.minute, error = error.as_str(); "counts not recorded, they are kept");
        }
    }
}

async fn put(platform: &Platform, row: &Row) -> Result<(), String> {
    let value = serde_json::to_value(row).map_err(|error| error.to_string())?;
    let transaction = Transaction::default().put(Place::new(TABLE, &row.table_key()), value);
    platform
        .transact(&transaction)
        .await
        .map(|_| ())
        .map_err(|error| error.to_string())
}

/// Counts are sums: a panic elsewhere while they were held leaves them usable.
fn with<A>(recorder: &Mutex<Recorder>, act: impl FnOnce(&mut Recorder) -> A) -> A {
    act(&mut recorder.lock().unwrap_or_else(PoisonError::into_inner))
}
