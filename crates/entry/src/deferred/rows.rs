//! The rows and objects of deferred requests.
//!
//! | table | key | value |
//! |---|---|---|
//! | `deferred` | workspace and identity | [`Receipt`]: by which the caller finds the request |
//! | `deferred_jobs` | shard, workspace, time, id | [`Job`], until it has ended |
//! | `deferred_ended` | shard, time, id | [`Key`], until the answer's time is over |
//! | `claims` | workspace and identity | a closed [`Claim`], where the request may not be repeated |
//!
//! Objects are below `deferred/` and the request's id: `request-…` and `answer-…`.

use std::net::{Ipv4Addr, SocketAddr};

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use woodgap_core::clock::Millis;
use woodgap_core::deferred::{Job, Receipt, Row, Shard};
use woodgap_core::once::{Claim, Digest, End, Key};
use woodgap_core::verdict::Verdict;
use woodgap_platform::Error;
use woodgap_platform::table::{self, Place, Scan, Transaction};

use crate::once::claims;
use crate::request::Code;

/// The table of receipts.
pub const RECEIPTS: &str = "deferred";
/// The table of jobs.
pub const JOBS: &str = "deferred_jobs";
/// The table of requests that have ended, in the order in which they did.
pub const ENDED: &str = "deferred_ended";

/// The place of a receipt.
pub fn receipt(key: &Key) -> Place {
    Place::new(RECEIPTS, &key.row())
}

/// The place of a job.
pub fn job(row: &str) -> Place {
    Place::new(JOBS, row)
}

/// The place by which an ended request is found when its time is over.
fn ended(shard: Shard, at: Millis, id: &Digest) -> Place {
    Place::new(ENDED, &format!("{}{:013}-{id}", shard.prefix(), at.0))
}

/// A scan of a table's rows with a prefix.
pub fn scan(table: &str, prefix: String, after: &str, limit: usize) -> Scan {
    Scan {
        table: table.to_owned(),
        prefix,
        after: after.to_owned(),
        limit,
    }
}

/// Records a job; takes effect only if its identity is not in use.
///
/// A job that may not be repeated also takes the claim of its identity, closed,
/// so that the same identity is not run a second time as an ordinary request.
///
/// # Errors
///
/// If a value has no form in JSON.
pub fn record(new: &Job) -> Result<Transaction, Error> {
    let receipt = receipt(&new.key);
    let transaction = Transaction::default()
        .check(receipt.clone(), 0)
        .put(receipt, encode(&Receipt::new(new))?)
        .put(job(&new.row()), encode(new)?);
    if new.repeatable {
        return Ok(transaction);
    }
    let claim = claims::place(&new.key);
    Ok(transaction
        .check(claim.clone(), 0)
        .put(claim, encode(&closed_claim(new))?))
}

/// The claim that tells an ordinary submission that the identity is taken.
fn closed_claim(new: &Job) -> Claim {
    Claim {
        request: new.submission,
        // Nobody asks there: the claim has ended.
        address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        body: new.body.clone(),
        at: new.created,
        end: Some(End::Failed {
            code: Code::IdentityReused.as_str().to_owned(),
            verdict: Verdict::NotRun,
            message: "the identity was used for a deferred request".to_owned(),
        }),
    }
}

/// Puts a job in another state over the version that was read.
///
/// # Errors
///
/// If a value has no form in JSON.
pub fn change(transaction: Transaction, version: u64, to: &Job) -> Result<Transaction, Error> {
    let place = job(&to.row());
    Ok(transaction
        .check(place.clone(), version)
        .put(place, encode(to)?))
}

/// Ends a job over the version that was read.
///
/// # Errors
///
/// If a value has no form in JSON.
pub fn end(
    transaction: Transaction,
    row: &Row,
    ended_receipt: &Receipt,
) -> Result<Transaction, Error> {
    let key = &row.job.key;
    let place = job(&row.key);
    let ended = ended(Shard::of(key), ended_receipt.ended, &key.digest());
    Ok(transaction
        .check(place.clone(), row.version)
        .delete(place)
        .put(receipt(key), encode(ended_receipt)?)
        .put(ended, encode(key)?))
}

/// Removes what is left of an ended request.
pub fn remove(transaction: Transaction, key: &Key, version: u64, ended_row: &str) -> Transaction {
    let receipt = receipt(key);
    transaction
        .check(receipt.clone(), version)
        .delete(receipt)
        .delete(Place::new(ENDED, ended_row))
}

/// A job's row as it was read.
///
/// # Errors
///
/// If the value is no job.
pub fn read_job(row: &table::Row) -> Result<Row, Error> {
    Ok(Row {
        key: row.key.clone(),
        version: row.version,
        job: decode(row)?,
    })
}

/// Reads a row's value.
///
/// # Errors
///
/// If it has another form.
pub fn decode<D: DeserializeOwned>(row: &table::Row) -> Result<D, Error> {
    D::deserialize(&row.value).map_err(|error| {
        let key = &row.key;
        Error::Rejected(format!("row {key} can't be read: {error}"))
    })
}

fn encode<S: Serialize>(value: &S) -> Result<Value, Error> {
    serde_json::to_value(value).map_err(|error| Error::Rejected(error.to_string()))
}
