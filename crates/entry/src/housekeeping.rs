//! Deletes rows of the table service that nobody needs any more.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use woodgap_core::burn;
use woodgap_core::clock::Millis;
use woodgap_core::membership::Standing;
use woodgap_platform::Error;
use woodgap_platform::http::Platform;
use woodgap_platform::table::{Place, Row, Scan, Table, Transaction};

use crate::configuration::record;
use crate::configuration::watcher::platform;
use crate::once::sweep::{self, Sweep};
use crate::shared::Shared;

/// How often old rows are looked for. At 400 entries 576,000 rows of counts come
/// in a day: a round of each table must keep up with 400 a minute.
const PERIOD: Duration = Duration::from_secs(10);
/// Rows that are deleted in one transaction.
const ROUND: usize = 200;
/// How long counts for the burn report are kept.
const COUNTS_KEPT: Millis = Millis::from_secs(90 * 24 * 3_600);
/// How long changes of the configuration are kept; documents stay for ever.
const CHANGES_KEPT: Millis = Millis::from_secs(365 * 24 * 3_600);

/// Deletes old rows, at one entry of the fleet, without end.
pub async fn keep_house(shared: Arc<Shared>) {
    let platform = platform(&shared);
    let mut claims = Sweep::new();
    loop {
        tokio::time::sleep(PERIOD).await;
        if !is_first(&shared) {
            continue;
        }
        let unix = shared.clock.unix();
        for round in [
            old_counts(&platform, unix).await,
            old_changes(&platform, unix).await,
            old_claims(&shared, &platform, &mut claims).await,
        ] {
            match round {
                Ok(0) => {}
                Ok(rows) => log::info!(rows = rows; "old rows deleted"),
                Err(error) => log::warn!(error = error.to_string(); "old rows not deleted"),
            }
        }
    }
}

async fn old_claims(
    shared: &Arc<Shared>,
    platform: &Platform,
    claims: &mut Sweep,
) -> Result<usize, Error> {
    if !sweep::clock_agrees(shared).await {
        return Ok(0);
    }
    claims.round(platform, shared.clock.unix()).await
}

/// Whether this entry is the first of the live ones by name. Two that both think
/// so delete the same rows, which does no harm.
fn is_first(shared: &Shared) -> bool {
    let members = shared.members.load();
    let live = members
        .iter()
        .filter(|member| member.standing == Standing::Live);
    let first = live.map(|member| &member.name).min();
    first == Some(&shared.settings.name)
}

/// Deletes counts of minutes that are long past; says how many rows.
///
/// # Errors
///
/// If the table service failed; the rows are then found again.
pub async fn old_counts<T: Table>(table: &T, unix: Millis) -> Result<usize, Error> {
    let oldest_kept = burn::minute(unix - COUNTS_KEPT);
    let is_old = |row: &Row| {
        let minute = row
            .key
            .split('/')
            .next()
            .and_then(|minute| minute.parse::<u64>().ok());
        minute.is_some_and(|minute| minute < oldest_kept)
    };
    let rows = first_rows(table, burn::TABLE).await?;
    let places: Vec<Place> = rows
        .iter()
        .take_while(|row| is_old(row))
        .map(|row| Place::new(burn::TABLE, &row.key))
        .collect();
    delete(table, &places).await?;
    Ok(places.len())
}

/// The part of a change that says how old it is.
#[derive(Deserialize)]
struct Dated {
    change: String,
    at: Millis,
}

/// Deletes changes that are long past, from the log and by identity; says how many.
///
/// # Errors
///
/// If the table service failed; the rows are then found again.
pub async fn old_changes<T: Table>(table: &T, unix: Millis) -> Result<usize, Error> {
    let oldest_kept = unix - CHANGES_KEPT;
    let rows = first_rows(table, record::LOG).await?;
    let dated = |row: &Row| Dated::deserialize(&row.value).ok();
    let old: Vec<(Place, Place)> = rows
        .iter()
        .map_while(|row| dated(row).map(|dated| (row, dated)))
        .take_while(|(_, dated)| dated.at < oldest_kept)
        .map(|(row, dated)| {
            (
                Place::new(record::LOG, &row.key),
                record::change(&dated.change),
            )
        })
        .collect();
    let places: Vec<Place> = old
        .iter()
        .flat_map(|(log, change)| [log, change])
        .cloned()
        .collect();
    delete(table, &places).await?;
    Ok(old.len())
}

async fn first_rows<T: Table>(table: &T, name: &str) -> Result<Vec<Row>, Error> {
    let scan = Scan {
        table: name.to_owned(),
        prefix: String::new(),
        after: String::new(),
        limit: ROUND,
    };
    table.scan(&scan).await
}

async fn delete<T: Table>(table: &T, places: &[Place]) -> Result<(), Error> {
    if places.is_empty() {
        return Ok(());
    }
    let transaction = places
        .iter()
        .cloned()
        .fold(Transaction::default(), Transaction::delete);
    table.transact(&transaction).await.map(|_| ())
}
