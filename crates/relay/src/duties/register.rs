//! What the platform keeps of the duties, for whoever has them next: the number under which
//! calls are made, and the reports that are settled.
//!
//! | table | key | value |
//! |---|---|---|
//! | `duties` | `register` | [`Register`] |
//! | `duties` | `settled/WINDOW/PART` | a part of a window's [`Counts`] |
//!
//! Each change requires the fence of the lease and the version that was read. What is to be
//! reported of a window is written before its first report, so that all reports of it are alike.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use woodgap_core::era::Era;
use woodgap_core::lease::Fence;
use woodgap_core::name;
use woodgap_core::relay::usage::{Counts, Window};
use woodgap_platform::Error;
use woodgap_platform::lease::rows::under;
use woodgap_platform::table::{Outcome, Place, Row, Scan, Table, Transaction};

use crate::duties::LEASE;
use crate::duties::outlet::Report;

/// The table of the duties' rows.
const TABLE: &str = "duties";
/// The key of the register, and the beginning of the keys of settled windows.
const REGISTER: &str = "register";
const SETTLED: &str = "settled/";
/// How many workspaces one row holds: it stays below 64 KiB with the longest names.
const MOST_COUNTS: usize = 800;
/// How many settled windows are kept: those that a next holder may still have to report.
const KEPT: usize = 4;
/// The most rows that one transaction may change, with room for those of the lease.
const MOST_ROWS: usize = 90;

/// Who has the duties, and how far they are done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Register {
    /// The number under which calls are made.
    pub number: u64,
    /// Who makes them.
    pub holder: Option<name::Entry>,
    /// The last window of which it is settled what is reported.
    pub settled: Option<Window>,
    /// How many endpoints of each service are assured.
    #[serde(default)]
    pub needed: BTreeMap<String, u32>,
    /// The era of the store in which it was written.
    #[serde(default)]
    pub era: Era,
}

impl Register {
    /// Whether this is an older state of the register, to which the store came back: windows may
    /// have been settled and reported since that it does not name.
    pub fn is_restored(&self, fence: Fence) -> bool {
        self.number > 0 && self.era != Era::of(fence.0)
    }
}

/// The register as it was read, with the reports that are settled.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// The register.
    pub register: Register,
    /// Its version; 0 for none.
    version: u64,
    /// Settled reports, the oldest first.
    pub reports: Vec<Report>,
}

/// Why a change of the register is not known to be made.
#[derive(Debug)]
pub enum Failed {
    /// Somebody else has changed it, or has the lease.
    Conflict,
    /// It may be made or not: read it again.
    Unclear(Error),
}

impl Known {
    /// Reads the register and the reports that are settled.
    ///
    /// # Errors
    ///
    /// If the platform failed, or a row can't be understood.
    pub async fn read(table: &impl Table) -> Result<Self, Error> {
        let mut known = Self::default();
        let rows = table.read(&[Place::new(TABLE, REGISTER)]).await?;
        if let Some(row) = rows.into_iter().flatten().next() {
            known.version = row.version;
            known.register = decoded(&row)?;
        }
        for row in settled_rows(table).await? {
            let window = window_of(&row.key)?;
            let counts: Counts = decoded(&row)?;
            match known.reports.last_mut().filter(|it| it.window == window) {
                Some(report) => report.counts.extend(counts),
                None => known.reports.push(Report { window, counts }),
            }
        }
        Ok(known)
    }

    /// Writes a next state of the register under the lease, and the report that it settles.
    ///
    /// # Errors
    ///
    /// [`Failed`]; nothing is known to have changed then.
    pub async fn write(
        &mut self,
        table: &impl Table,
        fence: Fence,
        next: Register,
        report: Option<Report>,
    ) -> Result<(), Failed> {
        let transaction = self.transaction(fence, &next, report.as_ref());
        let transaction = transaction.map_err(Failed::Unclear)?;
        match table.transact(&transaction).await {
            Ok(Outcome::Committed { versions }) => {
                self.version = versions.first().copied().unwrap_or_default();
                self.register = next;
                self.reports.extend(report);
                let over = self.reports.len().saturating_sub(KEPT);
                self.reports.drain(..over);
                Ok(())
            }
            Ok(Outcome::Conflict { .. }) => Err(Failed::Conflict),
            Err(error) => Err(Failed::Unclear(error)),
        }
    }

    fn transaction(
        &self,
        fence: Fence,
        next: &Register,
        report: Option<&Report>,
    ) -> Result<Transaction, Error> {
        let place = Place::new(TABLE, REGISTER);
        let mut transaction = under(Transaction::default(), LEASE, fence)
            .check(place.clone(), self.version)
            .put(place, encoded(next)?);
        let Some(report) = report else {
            return Ok(transaction);
        };
        for (key, counts) in parts(report) {
            transaction = transaction.put(Place::new(TABLE, &key), encoded(&counts)?);
        }
        let kept = self.reports.len().saturating_sub(KEPT - 1);
        let over = self.reports.iter().take(kept);
        for (key, _) in over.flat_map(parts) {
            if transaction.writes.len() < MOST_ROWS {
                transaction = transaction.delete(Place::new(TABLE, &key));
            }
        }
        Ok(transaction)
    }
}

/// The rows of a report.
fn parts(report: &Report) -> Vec<(String, Counts)> {
    let counts: Vec<_> = report.counts.iter().collect();
    let mut parts: Vec<_> = counts
        .chunks(MOST_COUNTS)
        .enumerate()
        .map(|(part, counts)| {
            let counts = counts.iter();
            let counts = counts.map(|(of, count)| ((*of).clone(), **count)).collect();
            (key(report.window, part), counts)
        })
        .collect();
    if parts.is_empty() {
        parts.push((key(report.window, 0), Counts::new()));
    }
    parts
}

/// Keys rise with window and part.
fn key(window: Window, part: usize) -> String {
    format!("{SETTLED}{:020}/{part:03}", window.0)
}

fn window_of(key: &str) -> Result<Window, Error> {
    let number = key
        .strip_prefix(SETTLED)
        .and_then(|it| it.split('/').next());
    let number = number.and_then(|it| it.parse().ok());
    let unreadable = || Error::Rejected(format!("row {key} is no settled window"));
    number.map(Window).ok_or_else(unreadable)
}

async fn settled_rows(table: &impl Table) -> Result<Vec<Row>, Error> {
    let mut scan = Scan {
        table: TABLE.to_owned(),
        prefix: SETTLED.to_owned(),
        after: String::new(),
        limit: MOST_ROWS,
    };
    let mut rows = Vec::new();
    loop {
        let page = table.scan(&scan).await?;
        let Some(last) = page.last() else {
            return Ok(rows);
        };
        scan.after.clone_from(&last.key);
        let is_last = page.len() < scan.limit;
        rows.extend(page);
        if is_last {
            return Ok(rows);
        }
    }
}

fn decoded<T: for<'d> Deserialize<'d>>(row: &Row) -> Result<T, Error> {
    let unreadable = |error| Error::Rejected(format!("row {}: {error}", row.key));
    T::deserialize(&row.value).map_err(unreadable)
}

fn encoded(value: &impl Serialize) -> Result<Value, Error> {
    serde_json::to_value(value).map_err(|error| Error::Rejected(error.to_string()))
}
