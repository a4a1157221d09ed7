//! A platform that takes duties and keeps rows under conditions, in the test's own memory.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde_json::Value;
use woodgap_core::era::{self, Era};
use woodgap_core::relay::usage::Window;
use woodgap_platform::Error;
use woodgap_platform::table::{Outcome, Place, Row, Scan, Table, Transaction};
use woodgap_relay::duties::outlet::{Answer, Authority, Order, Ordered, Outlet, Report};

/// A call that the platform took.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    Report(Report),
    Order(Order),
}

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<(String, String), (Value, u64)>,
    calls: Vec<(Authority, Call)>,
    /// Entries whose calls are not answered, of rows and of duties.
    turned_away: BTreeSet<String>,
    /// Reports of this window are refused for good.
    refused: Option<Window>,
    /// So many answers to duties are lost, though what they answer is done.
    lost: usize,
}

/// The rows as they stood at a moment, with versions.
pub struct Copy {
    version: u64,
    rows: BTreeMap<(String, String), (Value, u64)>,
}

/// The platform; all copies are the same one.
#[derive(Clone, Default)]
pub struct Platform(Arc<Mutex<State>>);

/// The platform as one entry reaches it.
#[derive(Clone)]
pub struct Desk {
    platform: Platform,
    entry: String,
}

impl Platform {
    pub fn desk(&self, entry: &str) -> Desk {
        Desk {
            platform: self.clone(),
            entry: entry.to_owned(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    /// All calls that were taken, with who made them.
    pub fn calls(&self) -> Vec<(Authority, Call)> {
        self.state().calls.clone()
    }

    /// All reports that were taken, with who made them.
    pub fn reports(&self) -> Vec<(Authority, Report)> {
        let calls = self.calls().into_iter();
        let reports = calls.filter_map(|(by, call)| match call {
            Call::Report(report) => Some((by, report)),
            Call::Order(_) => None,
        });
        reports.collect()
    }

    /// Answers an entry no longer, or again.
    pub fn turn_away(&self, entry: &str, is_away: bool) {
        let mut state = self.state();
        if is_away {
            state.turned_away.insert(entry.to_owned());
        } else {
            state.turned_away.remove(entry);
        }
    }

    /// The rows as they stand now, to come back to.
    pub fn copy(&self) -> Copy {
        let state = self.state();
        let rows = state.rows.iter();
        let rows = rows.map(|(place, (value, stamp))| {
            let version = era::version(*stamp);
            (place.clone(), (value.clone(), version))
        });
        Copy {
            version: era::version(state.version),
            rows: rows.collect(),
        }
    }

    /// Comes back from an older copy, in a later era.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.state();
        let era = Era::new(Era::of(state.version).number() + 1);
        state.version = era.stamp(copy.version);
        let rows = copy.rows.into_iter();
        let stamped = rows.map(|(place, (value, version))| (place, (value, era.stamp(version))));
        state.rows = stamped.collect();
    }

    /// Takes no report of a window.
    pub fn refuse(&self, window: Window) {
        self.state().refused = Some(window);
    }

    /// Loses so many answers.
    pub fn lose(&self, answers: usize) {
        self.state().lost = answers;
    }
}

impl Desk {
    fn reached(&self) -> Result<MutexGuard<'_, State>, Error> {
        let state = self.platform.state();
        if state.turned_away.contains(&self.entry) {
            return Err(Error::Unavailable("turned away".to_owned()));
        }
        Ok(state)
    }

    fn take<T>(&self, by: &Authority, call: Call, answer: T) -> Result<T, Error> {
        let mut state = self.reached()?;
        let window = match &call {
            Call::Report(report) => Some(report.window),
            Call::Order(_) => None,
        };
        if window.is_some() && window == state.refused {
            return Err(Error::Rejected("this one is never taken".to_owned()));
        }
        state.calls.push((by.clone(), call));
        if state.lost > 0 {
            state.lost -= 1;
            return Err(Error::Unknown("the answer is lost".to_owned()));
        }
        Ok(answer)
    }

    fn change(&self, transaction: &Transaction) -> Result<Outcome, Error> {
        let mut state = self.reached()?;
        let place = |place: &Place| (place.table.clone(), place.key.clone());
        let holds = transaction.checks.iter().all(|check| {
            let version = state.rows.get(&place(&check.place)).map_or(0, |row| row.1);
            version == check.version
        });
        if !holds {
            return Ok(Outcome::Conflict { failed: Vec::new() });
        }
        state.version += 1;
        let version = state.version;
        let mut versions = Vec::new();
        for write in &transaction.writes {
            let place = place(&write.place);
            state.rows.remove(&place);
            let Some(value) = &write.value else {
                versions.push(0);
                continue;
            };
            state.rows.insert(place, (value.clone(), version));
            versions.push(version);
        }
        Ok(Outcome::Committed { versions })
    }
}

impl Table for Desk {
    fn transact<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, Result<Outcome, Error>> {
        async { self.change(transaction) }.boxed_local()
    }

    fn read<'a>(
        &'a self,
        places: &'a [Place],
    ) -> LocalBoxFuture<'a, Result<Vec<Option<Row>>, Error>> {
        async {
            let state = self.reached()?;
            let read = |place: &Place| {
                let row = state.rows.get(&(place.table.clone(), place.key.clone()))?;
                Some(row_of(&place.key, row))
            };
            Ok(places.iter().map(read).collect())
        }
        .boxed_local()
    }

    fn scan<'a>(&'a self, scan: &'a Scan) -> LocalBoxFuture<'a, Result<Vec<Row>, Error>> {
        async {
            let state = self.reached()?;
            let rows = state.rows.iter().filter(|((table, key), _)| {
                *table == scan.table && key.starts_with(&scan.prefix) && *key > scan.after
            });
            let rows = rows.map(|((_, key), row)| row_of(key, row));
            Ok(rows.take(scan.limit).collect())
        }
        .boxed_local()
    }
}

fn row_of(key: &str, (value, version): &(Value, u64)) -> Row {
    Row {
        key: key.to_owned(),
        value: value.clone(),
        version: *version,
    }
}

impl Outlet for Desk {
    fn report<'a>(&'a self, by: &'a Authority, report: &'a Report) -> Answer<'a, ()> {
        async { self.take(by, Call::Report(report.clone()), ()) }.boxed_local()
    }

    fn order<'a>(&'a self, by: &'a Authority, order: &'a Order) -> Answer<'a, Ordered> {
        async { self.take(by, Call::Order(order.clone()), Ordered::Taken) }.boxed_local()
    }
}
