//! The product's own source, which polls rows of the table service.
//!
//! The table `relay` holds the plan in its row `plan` and the evacuated data centres in its row
//! `evacuation`. The table `relay-endpoints` has a row for each endpoint, `relay-entries` for
//! each entry, `relay-withheld` for each request or part of prompts with which several endpoints
//! crashed, `relay-versions` for each software version of a service that may have begun streams, and
//! `relay-streams` for each batch of streams, under the entry's name and the batch's number.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::FutureExt;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::quarantine::{Cause, StoredHistory};
use woodgap_core::relay::Evacuation;
use woodgap_core::relay::resumption::registration;
use woodgap_core::relay::resumption::stored::Batch;
use woodgap_core::relay::roster::Positions;
use woodgap_platform::Error as PlatformError;
use woodgap_platform::http::Platform;
use woodgap_platform::table::{Outcome, Place, Row, Scan, Table, Transaction};

use crate::source::row::{self as source, Check, RowError};
use crate::source::{
    Addresses, Answer, Endpoints, Error, Evacuations, OperatorUpdate, Source, StreamsChange,
    Update, batch_key,
};

const RELAY: &str = "relay";
const PLAN: &str = "plan";
const EVACUATION: &str = "evacuation";
const ENDPOINTS: &str = "relay-endpoints";
const ENTRIES: &str = "relay-entries";
const WITHHELD: &str = "relay-withheld";
const VERSIONS: &str = "relay-versions";
const STREAMS: &str = "relay-streams";
/// Comes after every batch of an entry among the keys.
const AFTER_BATCHES: char = '~';

/// The source that reads from the product's table service.
pub struct TableSource {
    platform: Platform,
    /// The polling interval, as the table service has no change feed.
    poll: Millis,
}

impl TableSource {
    /// Creates a source that polls the platform's table service at this interval.
    pub fn new(platform: Platform, poll: Millis) -> Self {
        Self { platform, poll }
    }

    async fn wait_poll_interval(&self, after: Option<u64>, wait: Millis) {
        if after.is_some() {
            let pause = Duration::from_millis(self.poll.0.min(wait.0));
            tokio::time::sleep(pause).await;
        }
    }

    async fn read_plan(
        &self,
        after: Option<u64>,
        wait: Millis,
    ) -> Result<Update<OperatorUpdate>, Error> {
        self.wait_poll_interval(after, wait).await;
        let places = [PLAN, EVACUATION].map(|key| Place::new(RELAY, key));
        let rows = self.platform.read(&places).await.map_err(unavailable)?;
        let mut rows = rows.into_iter();
        let (plan, evacuation) = (rows.next().flatten(), rows.next().flatten());
        let cursor = plan.as_ref().map_or(0, |row| row.version);
        let plan = plan.filter(|row| after != Some(row.version));
        let operators = OperatorUpdate {
            plans: plan.iter().map(decode_row).collect(),
            evacuations: evacuation.as_ref().and_then(decode_evacuation),
        };
        Ok(Update {
            cursor,
            content: operators.non_empty(),
            produced_at: None,
        })
    }

    async fn read_endpoints(
        &self,
        after: Option<u64>,
        wait: Millis,
    ) -> Result<Update<Endpoints>, Error> {
        self.wait_poll_interval(after, wait).await;
        let endpoints = self.scan_table(ENDPOINTS).await?;
        let cursor = endpoints.iter().map(|row| row.version).max().unwrap_or(0);
        Ok(Update {
            cursor,
            content: Some(Endpoints::All(endpoints)),
            produced_at: None,
        })
    }

    /// Reads all rows of a table. They are decoded page by page, so that large unusable values
    /// are not kept in memory.
    async fn scan_table<T: Check + DeserializeOwned>(
        &self,
        table: &str,
    ) -> Result<Vec<source::Row<T>>, Error> {
        self.scan_rows(table, "", decode_row).await
    }

    /// Reads the rows of a table whose keys begin so.
    async fn scan_rows<T>(
        &self,
        table: &str,
        prefix: &str,
        decode: impl Fn(&Row) -> source::Row<T>,
    ) -> Result<Vec<source::Row<T>>, Error> {
        let mut scan = Scan {
            table: table.to_owned(),
            prefix: prefix.to_owned(),
            after: String::new(),
            limit: Scan::MOST,
        };
        let mut rows = Vec::new();
        loop {
            let page = self.scan_page(&mut scan).await?;
            rows.extend(page.iter().map(&decode));
            match page.last() {
                Some(last) if page.len() >= scan.limit => scan.after.clone_from(&last.key),
                _ => return Ok(rows),
            }
            // Raise the limit again: most rows are small even if the previous ones were not.
            scan.limit = (scan.limit * 2).min(Scan::MOST);
        }
    }

    /// Reads the next page. Halves the limit until the page fits into one answer.
    async fn scan_page(&self, scan: &mut Scan) -> Result<Vec<Row>, Error> {
        loop {
            match self.platform.scan(scan).await {
                Err(PlatformError::TooLarge) if scan.limit > 1 => scan.limit /= 2,
                page => return page.map_err(unavailable),
            }
        }
    }

    async fn write(&self, place: Place, value: Option<Value>) -> Result<(), Error> {
        let transaction = match value {
            Some(value) => Transaction::default().put(place, value),
            None => Transaction::default().delete(place),
        };
        let written = self.platform.transact(&transaction).await;
        written.map(|_| ()).map_err(unavailable)
    }

    async fn change_batches(
        &self,
        entry: &name::Entry,
        change: &StreamsChange,
    ) -> Result<(), Error> {
        let place = |number: u64| Place::new(STREAMS, &batch_place(entry, number));
        let mut transaction = Transaction::default();
        if let Some((number, batch)) = &change.batch {
            let value = serde_json::to_value(batch);
            let value = value.map_err(|error| Error::Malformed(error.to_string()))?;
            transaction = transaction.put(place(*number), value);
        }
        for number in &change.deleted {
            transaction = transaction.delete(place(*number));
        }
        let written = self.platform.transact(&transaction).await;
        written.map(|_| ()).map_err(unavailable)
    }

    async fn read_batches(&self, entry: &name::Entry) -> Result<Vec<source::Row<Batch>>, Error> {
        let prefix = format!("{entry}/");
        let decode = |row: &Row| {
            let bytes = serde_json::to_vec(&row.value);
            let bytes = bytes.map_err(|error| RowError::Encoding(error.to_string()));
            let key = row.key.strip_prefix(&prefix).unwrap_or(&row.key);
            source::Row::decode(key, row.version, bytes, |value: Batch| value)
        };
        self.scan_rows(STREAMS, &prefix, decode).await
    }

    /// Reads one row of each entry.
    async fn read_streamers(&self) -> Result<Vec<name::Entry>, Error> {
        let mut scan = Scan {
            table: STREAMS.to_owned(),
            prefix: String::new(),
            after: String::new(),
            limit: 1,
        };
        let mut entries = Vec::new();
        while let Some(row) = self.scan_page(&mut scan).await?.first() {
            let Some((entry, _)) = row.key.rsplit_once('/') else {
                scan.after.clone_from(&row.key);
                continue;
            };
            entries.push(name::Entry::from(entry));
            scan.after = format!("{entry}/{AFTER_BATCHES}");
        }
        Ok(entries)
    }

    async fn read_entries(&self) -> Result<Addresses, Error> {
        self.scan_table(ENTRIES).await
    }
}

fn batch_place(entry: &name::Entry, number: u64) -> String {
    format!("{entry}/{}", batch_key(number))
}

// `map_err` passes errors by value.
#[allow(clippy::needless_pass_by_value)]
fn unavailable(error: PlatformError) -> Error {
    Error::Unavailable(error.to_string())
}

fn changed() -> Error {
    Error::Unavailable("the row has changed since it was read".to_owned())
}

/// The value of the row that lists the evacuated data centres.
#[derive(Deserialize)]
struct EvacuationRow {
    data_centres: BTreeSet<name::DataCentre>,
}

/// Decodes the evacuation row. A malformed row changes nothing, as it does not say which data
/// centres it concerns.
fn decode_evacuation(row: &Row) -> Option<Evacuations> {
    match EvacuationRow::deserialize(&row.value) {
        Ok(it) => Some(Evacuations::All(Evacuation::new(
            row.version,
            it.data_centres,
        ))),
        Err(error) => {
            log::warn!(
                version = row.version, reason = error.to_string();
                "the row on evacuated data centres can't be used"
            );
            None
        }
    }
}

fn decode_row<T: Check + DeserializeOwned>(row: &Row) -> source::Row<T> {
    let bytes = serde_json::to_vec(&row.value);
    let bytes = bytes.map_err(|error| RowError::Encoding(error.to_string()));
    source::Row::decode(&row.key, row.version, bytes, |value| value)
}

impl Source for TableSource {
    fn plan(&self, after: Option<u64>, wait: Millis) -> Answer<'_, Update<OperatorUpdate>> {
        self.read_plan(after, wait).boxed_local()
    }

    fn endpoints(&self, after: Option<u64>, wait: Millis) -> Answer<'_, Update<Endpoints>> {
        self.read_endpoints(after, wait).boxed_local()
    }

    /// The cursor is the newest version of a row that is there.
    fn positions(&self) -> Positions {
        Positions::Partial
    }

    fn announce<'a>(&'a self, entry: &'a name::Entry, address: SocketAddr) -> Answer<'a, ()> {
        let value = Value::from(address.to_string());
        self.write(Place::new(ENTRIES, entry.as_str()), Some(value))
            .boxed_local()
    }

    fn withdraw<'a>(&'a self, entry: &'a name::Entry) -> Answer<'a, ()> {
        self.write(Place::new(ENTRIES, entry.as_str()), None)
            .boxed_local()
    }

    fn entries(&self) -> Answer<'_, Addresses> {
        self.read_entries().boxed_local()
    }

    fn save_withheld<'a>(&'a self, kept: &'a StoredHistory) -> Answer<'a, ()> {
        async move {
            let value = serde_json::to_value(kept);
            let value = value.map_err(|error| Error::Malformed(error.to_string()))?;
            let place = Place::new(WITHHELD, &kept.told.cause.to_string());
            self.write(place, Some(value)).await
        }
        .boxed_local()
    }

    fn delete_withheld(&self, cause: Cause) -> Answer<'_, ()> {
        let place = Place::new(WITHHELD, &cause.to_string());
        self.write(place, None).boxed_local()
    }

    fn list_withheld(&self) -> Answer<'_, Vec<source::Row<StoredHistory>>> {
        self.scan_table(WITHHELD).boxed_local()
    }

    fn save_versions<'a>(&'a self, row: &'a registration::Row) -> Answer<'a, ()> {
        async move {
            let value = serde_json::to_value(row);
            let value = value.map_err(|error| Error::Malformed(error.to_string()))?;
            let place = Place::new(VERSIONS, &row.key());
            self.write(place, Some(value)).await
        }
        .boxed_local()
    }

    fn delete_versions<'a>(&'a self, key: &'a str, version: u64) -> Answer<'a, ()> {
        async move {
            let place = Place::new(VERSIONS, key);
            let transaction = Transaction::default().check(place.clone(), version);
            let transaction = transaction.delete(place);
            let outcome = self.platform.transact(&transaction).await;
            match outcome.map_err(unavailable)? {
                Outcome::Committed { .. } => Ok(()),
                Outcome::Conflict { .. } => Err(changed()),
            }
        }
        .boxed_local()
    }

    fn list_versions(&self) -> Answer<'_, Vec<source::Row<registration::Row>>> {
        self.scan_table(VERSIONS).boxed_local()
    }

    fn change_streams<'a>(
        &'a self,
        entry: &'a name::Entry,
        change: &'a StreamsChange,
    ) -> Answer<'a, ()> {
        self.change_batches(entry, change).boxed_local()
    }

    fn list_streams<'a>(&'a self, entry: &'a name::Entry) -> Answer<'a, Vec<source::Row<Batch>>> {
        self.read_batches(entry).boxed_local()
    }

    fn list_streamers(&self) -> Answer<'_, Vec<name::Entry>> {
        self.read_streamers().boxed_local()
    }
}
