//! Carries out what the machines of a claim's row want.

use std::time::Duration;

use serde_json::Value;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::once::{Claim, ClaimOutcome, Claiming, Closing, End, Key, Row, Step};
use woodgap_platform::table::{self, Place};

use crate::once::Record;
use crate::once::batch::Change;
use crate::once::table::Unreadable;
use crate::request::run::Worker;

/// The table of claims.
pub const TABLE: &str = "claims";
/// Calls of the platform that may time out while a caller waits for its claim: the
/// write, and the read that settles it.
const TIMEOUTS: u64 = 2;
/// The part of that time after which a platform that only refuses is given up.
const SOON: u64 = 4;

/// The place of an identity's claim.
pub fn place(key: &Key) -> Place {
    Place::new(TABLE, &key.row())
}

/// The claim of a record's submission.
fn claim_of(worker: &Worker, record: &Record, end: Option<End>) -> Claim {
    Claim {
        request: record.request,
        address: worker.shared.once.address,
        body: record.body.clone(),
        at: worker.shared.clock.unix(),
        end,
    }
}

fn encode(claim: &Claim) -> Option<Value> {
    // A claim is plain data, which always serialises.
    serde_json::to_value(claim).ok()
}

fn decode(row: Option<table::Row>) -> Result<Option<Row>, Unreadable> {
    let Some(row) = row else {
        return Ok(None);
    };
    match serde_json::from_value(row.value) {
        Ok(claim) => Ok(Some(Row {
            claim,
            version: row.version,
        })),
        Err(error) => {
            log::error!(row = row.key, error = error.to_string(); "claim can't be read");
            Err(Unreadable)
        }
    }
}

/// Reads the claim of an identity.
///
/// # Errors
///
/// [`Unreadable`] if the platform failed, or the row can't be read.
pub async fn read(worker: &Worker, key: &Key) -> Result<Option<Row>, Unreadable> {
    decode(worker.shared.once.table.read(place(key)).await?)
}

/// Claims a record's identity for its submission.
pub async fn claim(worker: &Worker, record: &Record) -> ClaimOutcome {
    let shared = &worker.shared;
    let patience = Millis(shared.settings.platform.timeout.0 * TIMEOUTS);
    let now = shared.clock.now();
    let soon = now + Millis(patience.0 / SOON);
    let (mut claiming, mut step) = Claiming::new(record.request, soon, now + patience);
    loop {
        step = match step {
            Step::Done(settled) => return settled,
            Step::Write { over, after } => {
                pause(after).await;
                let change = Change {
                    place: place(&record.key),
                    over,
                    value: encode(&claim_of(worker, record, None)),
                };
                let written = shared.once.table.write(change, true).await;
                claiming.on_write(shared.clock.now(), written)
            }
            Step::Read { after } => {
                pause(after).await;
                let row = read(worker, &record.key).await;
                let now = shared.clock.now();
                match row {
                    Ok(row) => claiming.on_read(now, row, &shared.once.notes()),
                    Err(Unreadable) => claiming.on_read_error(now),
                }
            }
        }
    }
}

/// Deletes a submission's claim, or records how it ended, however long that takes.
///
/// `version` is that of the claim's row, where known.
pub async fn close(
    worker: &Worker,
    key: &Key,
    request: name::Request,
    version: Option<u64>,
    claim: Option<Claim>,
) {
    let (mut closing, mut step) = Closing::new(request, version);
    loop {
        step = match step {
            Step::Done(()) => return,
            Step::Write { over, after } => {
                pause(after).await;
                let change = Change {
                    place: place(key),
                    over,
                    value: claim.as_ref().and_then(encode),
                };
                // A caller may come back for what is deleted; an end can wait.
                let urgent = claim.is_none();
                closing.on_write(worker.shared.once.table.write(change, urgent).await)
            }
            Step::Read { after } => {
                pause(after).await;
                match read(worker, key).await {
                    Ok(row) => closing.on_read(row.as_ref()),
                    Err(Unreadable) => closing.on_read_error(),
                }
            }
        }
    }
}

/// The claim of a request that has ended.
pub fn ended(worker: &Worker, record: &Record, end: End) -> Claim {
    claim_of(worker, record, Some(end))
}

async fn pause(span: Millis) {
    if span > Millis::ZERO {
        tokio::time::sleep(Duration::from_millis(span.0)).await;
    }
}
