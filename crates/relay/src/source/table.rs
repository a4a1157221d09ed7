//! The product's own source: rows of the table service, read again and again.
//!
//! The plan is the row `plan` of the table `relay`, the data centres that are evacuated are
//! listed in its row `evacuation`; endpoints are the rows of
//! `relay-endpoints`, entries those of `relay-entries`, requests that are withheld those of
//! `relay-withheld`.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::FutureExt;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use woodgap_core::clock::Millis;
use woodgap_core::fingerprint::Fingerprint;
use woodgap_core::name;
use woodgap_core::quarantine::Kept;
use woodgap_core::relay::Evacuation;
use woodgap_platform::Error as PlatformError;
use woodgap_platform::http::Platform;
use woodgap_platform::table::{Place, Row, Scan, Table, Transaction};

use crate::source::row::{self as source, Check, RowError};
use crate::source::{
    Addresses, Answer, Endpoints, Error, Evacuations, OperatorUpdate, Source, Update,
};

const PLANS: &str = "relay";
const PLAN: &str = "plan";
const EVACUATION: &str = "evacuation";
const ENDPOINTS: &str = "relay-endpoints";
const ENTRIES: &str = "relay-entries";
const WITHHELD: &str = "relay-withheld";

/// The product's own source.
pub struct TableSource {
    platform: Platform,
    /// The pause before a row is read again, since the table service has no feed.
    poll: Millis,
}

impl TableSource {
    /// A source on this platform.
    pub fn new(platform: Platform, poll: Millis) -> Self {
        Self { platform, poll }
    }

    async fn pause(&self, after: Option<u64>, wait: Millis) {
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
        self.pause(after, wait).await;
        let places = [PLAN, EVACUATION].map(|key| Place::new(PLANS, key));
        let rows = self.platform.read(&places).await.map_err(unavailable)?;
        let mut rows = rows.into_iter();
        let (plan, evacuation) = (rows.next().flatten(), rows.next().flatten());
        let cursor = plan.as_ref().map_or(0, |row| row.version);
        let plan = plan.filter(|row| after != Some(row.version));
        let operators = OperatorUpdate {
            plans: plan.iter().map(decoded).collect(),
            evacuations: evacuation.as_ref().and_then(evacuated),
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
        self.pause(after, wait).await;
        let endpoints = self.rows(ENDPOINTS).await?;
        let cursor = endpoints.iter().map(|row| row.version).max().unwrap_or(0);
        Ok(Update {
            cursor,
            content: Some(Endpoints::All(endpoints)),
            produced_at: None,
        })
    }

    /// All rows of a table, decoded page by page: large ones that can't be used are not kept.
    async fn rows<T: Check + DeserializeOwned>(
        &self,
        table: &str,
    ) -> Result<Vec<source::Row<T>>, Error> {
        let mut scan = Scan {
            table: table.to_owned(),
            prefix: String::new(),
            after: String::new(),
            limit: Scan::MOST,
        };
        let mut rows = Vec::new();
        loop {
            let page = self.page(&mut scan).await?;
            rows.extend(page.iter().map(decoded));
            match page.last() {
                Some(last) if page.len() >= scan.limit => scan.after.clone_from(&last.key),
                _ => return Ok(rows),
            }
            // Most rows are small, also where those before were not.
            scan.limit = (scan.limit * 2).min(Scan::MOST);
        }
    }

    /// The next rows, as many as one answer holds: the limit falls to that.
    async fn page(&self, scan: &mut Scan) -> Result<Vec<Row>, Error> {
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

    async fn read_entries(&self) -> Result<Addresses, Error> {
        self.rows(ENTRIES).await
    }
}

// `map_err` hands errors over by value.
#[allow(clippy::needless_pass_by_value)]
fn unavailable(error: PlatformError) -> Error {
    Error::Unavailable(error.to_string())
}

/// The row on data centres that are evacuated.
#[derive(Deserialize)]
struct Emptied {
    data_centres: BTreeSet<name::DataCentre>,
}

/// A row that can't be read changes nothing: it does not say which data centres it is about.
fn evacuated(row: &Row) -> Option<Evacuations> {
    match Emptied::deserialize(&row.value) {
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

fn decoded<T: Check + DeserializeOwned>(row: &Row) -> source::Row<T> {
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

    fn save_withheld<'a>(&'a self, kept: &'a Kept) -> Answer<'a, ()> {
        async move {
            let value = serde_json::to_value(kept);
            let value = value.map_err(|error| Error::Malformed(error.to_string()))?;
            let place = Place::new(WITHHELD, &kept.told.request.to_string());
            self.write(place, Some(value)).await
        }
        .boxed_local()
    }

    fn delete_withheld(&self, request: Fingerprint) -> Answer<'_, ()> {
        let place = Place::new(WITHHELD, &request.to_string());
        self.write(place, None).boxed_local()
    }

    fn list_withheld(&self) -> Answer<'_, Vec<source::Row<Kept>>> {
        self.rows(WITHHELD).boxed_local()
    }
}
