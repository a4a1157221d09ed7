//! Removes ended requests whose answers have been kept long enough.

use woodgap_core::clock::Millis;
use woodgap_core::deferred::{Receipt, Shard};
use woodgap_core::once::Key;
use woodgap_platform::Error;
use woodgap_platform::table::{Place, Transaction};

use crate::deferred::{Storage, rows};

/// The most requests that one sweep of a shard removes: a steady stream of small
/// calls, and no bursts.
pub const BATCH: usize = 50;

/// Removes the ended requests of a shard whose time is over; says how many.
///
/// It needs no lease: it removes only what nobody changes any more, first the
/// objects, then the rows by which they are found, and may be repeated.
///
/// # Errors
///
/// If the platform failed; what is left is removed by a later sweep.
pub async fn sweep<S: Storage>(
    storage: &S,
    shard: Shard,
    now_unix: Millis,
    kept: Millis,
) -> Result<usize, Error> {
    let scan = rows::scan(rows::ENDED, shard.prefix(), "", BATCH);
    let found = storage.scan(&scan).await?;
    let mut removed = 0;
    for row in found {
        let key: Key = rows::decode(&row)?;
        if !remove(storage, &key, &row.key, now_unix, kept).await? {
            break;
        }
        removed += 1;
    }
    Ok(removed)
}

/// Removes one request, unless it is to be kept; those behind it are then, too.
async fn remove<S: Storage>(
    storage: &S,
    key: &Key,
    ended_row: &str,
    now_unix: Millis,
    kept: Millis,
) -> Result<bool, Error> {
    let place = rows::receipt(key);
    let found = storage.read(std::slice::from_ref(&place)).await?;
    let Some(row) = found.first().and_then(Option::as_ref) else {
        // A sweep was broken off half-way, or the row is of an older state.
        let ended = Place::new(rows::ENDED, ended_row);
        let gone = Transaction::default().check(place, 0).delete(ended);
        storage.transact(&gone).await?;
        return Ok(true);
    };
    let receipt: Receipt = rows::decode(row)?;
    if receipt.end.is_none() || now_unix < receipt.ended + kept {
        return Ok(false);
    }
    for object in receipt.objects(key) {
        storage.delete(&object).await?;
    }
    let removal = rows::remove(Transaction::default(), key, row.version, ended_row);
    storage.transact(&removal).await?;
    Ok(true)
}
