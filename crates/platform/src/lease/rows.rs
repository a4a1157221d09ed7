//! The rows of leases in the table service.
//!
//! | table | key | value |
//! |---|---|---|
//! | `leases` | the lease's name | [`Record`]: written anew with each renewal |
//! | `fences` | the lease's name | [`Mark`]: written by each take; its version is the fence |

use serde::de::DeserializeOwned;
use woodgap_core::lease::{Fence, Mark, Record, Snapshot, Versioned, Write, WriteOutcome};

use crate::Error;
use crate::table::{Outcome, Place, Row, Table, Transaction};

/// The table of records.
pub const LEASES: &str = "leases";
/// The table of marks.
pub const FENCES: &str = "fences";

/// Requires that nobody has taken a lease since.
///
/// ```
/// use woodgap_core::lease::Fence;
/// use woodgap_platform::lease::rows;
/// use woodgap_platform::table::Transaction;
///
/// let transaction = rows::under(Transaction::default(), "deferred/07", Fence(9));
/// assert_eq!(transaction.checks[0].version, 9);
/// ```
#[must_use]
pub fn under(transaction: Transaction, name: &str, fence: Fence) -> Transaction {
    transaction.check(Place::new(FENCES, name), fence.0)
}

/// Reads a lease.
///
/// # Errors
///
/// If the platform failed, or a row can't be read.
pub async fn read<T: Table>(table: &T, name: &str) -> Result<Snapshot, Error> {
    let places = [Place::new(LEASES, name), Place::new(FENCES, name)];
    let rows = table.read(&places).await?;
    let row = |index: usize| rows.get(index).and_then(Option::as_ref);
    Ok(Snapshot {
        record: row(0).map(decode::<Record>).transpose()?,
        mark: row(1).map(decode::<Mark>).transpose()?,
    })
}

fn decode<D: DeserializeOwned>(row: &Row) -> Result<Versioned<D>, Error> {
    let value = D::deserialize(&row.value).map_err(|error| {
        let key = &row.key;
        Error::Rejected(format!("row {key} can't be read: {error}"))
    })?;
    Ok(Versioned {
        value,
        version: row.version,
    })
}

/// Takes, renews or gives back a lease.
pub async fn write<T: Table>(table: &T, name: &str, write: &Write) -> WriteOutcome {
    let Ok(transaction) = transaction(name, write) else {
        return WriteOutcome::Unavailable;
    };
    match table.transact(&transaction).await {
        Ok(Outcome::Committed { versions }) => match versions.first() {
            Some(version) => WriteOutcome::Committed {
                version: *version,
                fence: versions.get(1).copied().map(Fence),
            },
            None => WriteOutcome::Unknown,
        },
        Ok(Outcome::Conflict { .. }) => WriteOutcome::Conflict,
        Err(error) if error.may_have_taken_effect() => WriteOutcome::Unknown,
        Err(_) => WriteOutcome::Unavailable,
    }
}

fn transaction(name: &str, write: &Write) -> serde_json::Result<Transaction> {
    let record = Place::new(LEASES, name);
    let transaction = Transaction::default()
        .check(record.clone(), write.over)
        .put(record, serde_json::to_value(&write.record)?);
    Ok(match &write.mark {
        Some(mark) => transaction.put(Place::new(FENCES, name), serde_json::to_value(mark)?),
        None => transaction,
    })
}
