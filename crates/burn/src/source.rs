//! Reads the rows of a span of minutes from the table service, through short outages.

use std::time::Duration;

use woodgap_core::burn::{Row, TABLE};
use woodgap_platform::Error;
use woodgap_platform::table::{self, Scan, Table};

use crate::gap::Gap;
use crate::span::{Span, start};

/// Rows asked for at once: at 25 KB, the widest that entries write, a page
/// stays below the 16 MB that the client reads.
const PAGE: usize = 500;

/// How often and how patiently a page is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Retry {
    /// Attempts for one page.
    pub attempts: u32,
    /// The wait before the second attempt; each further one doubles it.
    pub delay: Duration,
}

impl Default for Retry {
    /// Rides out an outage of some three seconds, longer than a restart of the
    /// service's front; an operator should not wait longer for an error.
    fn default() -> Self {
        Self {
            attempts: 5,
            delay: Duration::from_millis(200),
        }
    }
}

/// What became of a reading.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reading {
    /// How many rows were read.
    pub rows: usize,
    /// What could not be understood, or not be read.
    pub missing: Vec<Gap>,
    /// The failure that ended the reading early, if one did.
    pub failure: Option<Error>,
    /// The minute from which on nothing, or not all, was read.
    pub end: u64,
}

/// Reads the rows of a span in the order of their minutes, and hands each to `take`.
///
/// A failure ends the reading early: what was read before remains of use, and
/// the reading says what is missing.
pub async fn read(
    table: &impl Table,
    span: Span,
    retry: Retry,
    mut take: impl FnMut(&Row),
) -> Reading {
    let mut reading = Reading {
        end: span.end,
        ..Reading::default()
    };
    let end = bound(span.end);
    let mut question = Scan {
        table: TABLE.to_owned(),
        prefix: String::new(),
        after: bound(span.first),
        limit: PAGE,
    };
    loop {
        let page = match page(table, &mut question, retry).await {
            Ok(page) => page,
            Err(failure) => {
                reading.fail(failure, &question.after, span);
                return reading;
            }
        };
        // The service may give fewer rows than asked for: only none means the end.
        let Some(next) = page.last().map(|row| row.key.clone()) else {
            return reading;
        };
        for row in page.iter().filter(|row| row.key < end) {
            reading.take(row, &mut take);
        }
        if next >= end {
            return reading;
        }
        question.after = next;
    }
}

impl Reading {
    fn take(&mut self, row: &table::Row, take: &mut impl FnMut(&Row)) {
        match parse(row) {
            Ok(parsed) => {
                self.rows += 1;
                take(&parsed);
            }
            Err(cause) => self.missing.push(Gap::Unreadable {
                key: row.key.clone(),
                cause,
            }),
        }
    }

    fn fail(&mut self, failure: Error, after: &str, span: Span) {
        // Of the last minute that was seen, some rows may not have been read.
        let minute = after.get(..DIGITS).and_then(|digits| digits.parse().ok());
        self.end = minute.unwrap_or(span.first);
        self.missing.push(Gap::Unread {
            from: start(self.end),
            cause: failure.to_string(),
        });
        self.failure = Some(failure);
    }
}

/// The digits of the minute at the start of a row's key.
const DIGITS: usize = 10;

/// The text that sorts before all keys of a minute and after those of earlier ones.
fn bound(minute: u64) -> String {
    format!("{minute:0DIGITS$}")
}

fn parse(row: &table::Row) -> Result<Row, String> {
    let parsed: Row =
        serde_json::from_value(row.value.clone()).map_err(|error| error.to_string())?;
    if parsed.table_key() == row.key {
        Ok(parsed)
    } else {
        Err(format!("its value belongs to {}", parsed.table_key()))
    }
}

async fn page(table: &impl Table, scan: &mut Scan, retry: Retry) -> Result<Vec<table::Row>, Error> {
    let mut delay = retry.delay;
    for _ in 1..retry.attempts {
        match ordered(table, scan).await {
            Err(Error::Unavailable(_)) => {}
            // After a timeout or a cut answer, too, the page may have been too large.
            Err(Error::Unknown(_) | Error::TooLarge) => scan.limit = (scan.limit / 2).max(1),
            done => return done,
        }
        actix_rt::time::sleep(delay).await;
        delay *= 2;
    }
    ordered(table, scan).await
}

/// A page whose keys ascend from where the last one ended: anything else would
/// count rows twice, or never come to an end.
async fn ordered(table: &impl Table, scan: &Scan) -> Result<Vec<table::Row>, Error> {
    let page = table.scan(scan).await?;
    let keys = page.iter().map(|row| &row.key);
    if [&scan.after]
        .into_iter()
        .chain(keys)
        .is_sorted_by(|one, next| one < next)
    {
        Ok(page)
    } else {
        Err(Error::Rejected("a scan's keys do not ascend".to_owned()))
    }
}
