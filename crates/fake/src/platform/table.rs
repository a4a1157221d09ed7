//! The table service: rows with their recent history.

use std::collections::BTreeMap;
use std::ops::Bound;

use actix_web::HttpResponse;
use actix_web::web::{Data, Json};
use serde_json::Value;
use woodgap_core::clock::Millis;
use woodgap_platform::table::{Outcome, Place, Read, Row, Scan, Transaction};

use super::{Platform, detached};

/// How far back a stale read can look.
const HISTORY: Millis = Millis::from_secs(120);

/// Writes between two sweeps of deleted rows.
const SWEEP: u64 = 1_000;

/// One state of a row; no value stands for "no such row".
#[derive(Clone, Debug)]
struct State {
    since: Millis,
    version: u64,
    value: Option<Value>,
}

/// All rows, each with its states of the last minutes.
#[derive(Debug, Default)]
pub struct Rows {
    // One counter for all rows: no version comes twice, even over a delete.
    version: u64,
    rows: BTreeMap<Place, Vec<State>>,
}

impl Rows {
    /// Carries out a transaction.
    pub fn transact(&mut self, now: Millis, transaction: Transaction) -> Outcome {
        let checks = transaction.checks.iter().enumerate();
        let failed: Vec<usize> = checks
            .filter(|(_, check)| self.version_of(&check.place) != check.version)
            .map(|(index, _)| index)
            .collect();
        if !failed.is_empty() {
            return Outcome::Conflict { failed };
        }
        let writes = transaction.writes.into_iter();
        let versions = writes
            .map(|write| self.write(now, write.place, write.value))
            .collect();
        Outcome::Committed { versions }
    }

    /// The row as it was at a time.
    pub fn read(&self, place: &Place, at: Millis) -> Option<Row> {
        let states = self.rows.get(place)?;
        row(&place.key, states, at)
    }

    /// Rows of a range as they were at a time.
    pub fn scan(&self, scan: &Scan, at: Millis) -> Vec<Row> {
        let after = Bound::Excluded(Place::new(&scan.table, &scan.after));
        let first = Bound::Included(Place::new(&scan.table, &scan.prefix));
        let from = if scan.after.is_empty() || scan.after < scan.prefix {
            first
        } else {
            after
        };
        self.rows
            .range((from, Bound::Unbounded))
            .take_while(|(place, _)| {
                place.table == scan.table && place.key.starts_with(&scan.prefix)
            })
            .filter_map(|(place, states)| row(&place.key, states, at))
            .take(scan.limit.min(Scan::MOST))
            .collect()
    }

    /// Comes back from the copy of a time; its versions are given out again.
    pub fn restore(&mut self, at: Millis) {
        for states in self.rows.values_mut() {
            states.retain(|state| state.since <= at);
        }
        self.rows.retain(|_, states| !states.is_empty());
        let versions = self.rows.values().flatten().map(|state| state.version);
        self.version = versions.max().unwrap_or(0);
    }

    fn version_of(&self, place: &Place) -> u64 {
        let last = self.rows.get(place).and_then(|states| states.last());
        last.map_or(0, shown_version)
    }

    fn write(&mut self, now: Millis, place: Place, value: Option<Value>) -> u64 {
        self.version += 1;
        let state = State {
            since: now,
            version: self.version,
            value,
        };
        let shown = shown_version(&state);
        let states = self.rows.entry(place).or_default();
        states.push(state);
        let oldest = now - HISTORY;
        let passed = states.iter().take_while(|state| state.since < oldest);
        let unneeded = passed.count().saturating_sub(1);
        states.drain(..unneeded);
        if self.version.is_multiple_of(SWEEP) {
            self.rows.retain(|_, states| kept(states, oldest));
        }
        shown
    }
}

fn shown_version(state: &State) -> u64 {
    state.value.as_ref().map_or(0, |_| state.version)
}

fn row(key: &str, states: &[State], at: Millis) -> Option<Row> {
    let state = states.iter().rev().find(|state| state.since <= at)?;
    Some(Row {
        key: key.to_owned(),
        value: state.value.clone()?,
        version: state.version,
    })
}

fn kept(states: &[State], oldest: Millis) -> bool {
    let last = states.last();
    last.is_some_and(|state| state.value.is_some() || state.since >= oldest)
}

/// `POST /table/v1/transact`.
pub async fn transact(platform: Data<Platform>, body: Json<Transaction>) -> HttpResponse {
    let write = async move {
        let mut state = platform.lock_for_write().await;
        state.counts.transactions += 1;
        let writes = body.writes.len() as u64;
        let outcome = state.rows.transact(platform.now(), body.into_inner());
        match &outcome {
            Outcome::Committed { .. } => state.counts.writes += writes,
            Outcome::Conflict { .. } => state.counts.conflicts += 1,
        }
        HttpResponse::Ok().json(outcome)
    };
    detached(write).await
}

/// `POST /table/v1/read`.
pub async fn read(platform: Data<Platform>, body: Json<Read>) -> Json<Vec<Option<Row>>> {
    let mut state = platform.lock();
    state.counts.reads += 1;
    state.counts.rows_read += body.places.len() as u64;
    let at = platform.now() - state.faults.stale_reads_ms;
    let places = body.places.iter();
    Json(places.map(|place| state.rows.read(place, at)).collect())
}

/// `POST /table/v1/scan`.
pub async fn scan(platform: Data<Platform>, body: Json<Scan>) -> Json<Vec<Row>> {
    let mut state = platform.lock();
    let at = platform.now() - state.faults.stale_reads_ms;
    let rows = state.rows.scan(&body, at);
    state.counts.scans += 1;
    state.counts.rows_read += rows.len() as u64;
    Json(rows)
}
