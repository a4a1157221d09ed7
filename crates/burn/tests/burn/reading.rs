//! Reading from the table service, through outages.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use rstest::rstest;
use serde_json::json;
use woodgap_burn::command::{report, scope};
use woodgap_burn::gap::Gap;
use woodgap_burn::options::parser;
use woodgap_burn::source::{Reading, Retry, read};
use woodgap_burn::span::Span;
use woodgap_core::burn::Row;
use woodgap_platform::Error;
use woodgap_platform::table::{self, Outcome, Place, Scan, Table, Transaction};

use crate::sample::{at, fleet, row, time};

/// A table service in memory, whose scans fail in the order of `faults`.
#[derive(Default)]
struct Fake {
    rows: Vec<table::Row>,
    faults: RefCell<Vec<Option<Error>>>,
    limits: RefCell<Vec<usize>>,
    /// Rows that one scan gives at most.
    most: Cell<usize>,
}

impl Fake {
    fn new(rows: &[Row], faults: Vec<Option<Error>>) -> Self {
        let mut rows: Vec<table::Row> = rows.iter().map(stored).collect();
        rows.sort_by(|one, other| one.key.cmp(&other.key));
        Self {
            rows,
            faults: RefCell::new(faults),
            most: Cell::new(50),
            ..Self::default()
        }
    }

    const RETRY: Retry = Retry {
        attempts: 3,
        delay: Duration::ZERO,
    };

    async fn read(&self) -> (Reading, Vec<Row>) {
        let span = Span {
            first: at(0),
            end: at(60),
        };
        let mut rows = Vec::new();
        let reading = read(self, span, Self::RETRY, |row| rows.push(row.clone())).await;
        (reading, rows)
    }

    fn page(&self, scan: &Scan) -> Vec<table::Row> {
        let rows = self.rows.iter().filter(|row| row.key > scan.after);
        rows.take(scan.limit.min(self.most.get()))
            .cloned()
            .collect()
    }
}

fn stored(row: &Row) -> table::Row {
    table::Row {
        key: row.table_key(),
        value: serde_json::to_value(row).unwrap(),
        version: 1,
    }
}

impl Table for Fake {
    fn transact<'a>(&'a self, _: &'a Transaction) -> LocalBoxFuture<'a, Result<Outcome, Error>> {
        unreachable!("a report writes nothing")
    }

    fn read<'a>(
        &'a self,
        _: &'a [Place],
    ) -> LocalBoxFuture<'a, Result<Vec<Option<table::Row>>, Error>> {
        unreachable!("a report reads ranges")
    }

    fn scan<'a>(&'a self, scan: &'a Scan) -> LocalBoxFuture<'a, Result<Vec<table::Row>, Error>> {
        self.limits.borrow_mut().push(scan.limit);
        let mut faults = self.faults.borrow_mut();
        let fault = (!faults.is_empty()).then(|| faults.remove(0)).flatten();
        let page = fault.map_or_else(|| Ok(self.page(scan)), Err);
        Box::pin(async move { page })
    }
}

fn out() -> Error {
    Error::Unavailable("503".to_owned())
}

fn unknown() -> Error {
    Error::Unknown("timeout".to_owned())
}

#[rstest]
#[case::no_fault(vec![])]
#[case::at_the_start(vec![Some(out()), Some(unknown())])]
#[case::between_pages(vec![None, Some(out()), Some(out()), None, Some(unknown())])]
#[case::too_large(vec![None, Some(Error::TooLarge), Some(Error::TooLarge)])]
#[actix_rt::test]
async fn a_short_outage_leaves_the_reading_whole(#[case] faults: Vec<Option<Error>>) {
    let (reading, rows) = Fake::new(&fleet(), faults).read().await;
    assert_eq!(reading.failure, None);
    assert_eq!(reading.missing, []);
    assert_eq!((reading.rows, rows.len()), (101, 101));
    assert!(rows.is_sorted_by_key(Row::table_key));
}

#[actix_rt::test]
async fn a_long_outage_in_the_middle_leaves_a_part_and_says_so() {
    let faults = vec![None, Some(out()), Some(out()), Some(unknown())];
    let (reading, rows) = Fake::new(&fleet(), faults).read().await;
    // A page of 50 rows ends with the second row of the 25th minute.
    assert_eq!(rows.len(), 50);
    assert_eq!(reading.end, at(24));
    assert_eq!(reading.failure, Some(unknown()));
    let expected = Gap::Unread {
        from: time(24),
        cause: unknown().to_string(),
    };
    assert_eq!(reading.missing, [expected]);
}

#[actix_rt::test]
async fn nothing_is_read_while_the_service_is_out() {
    let (reading, rows) = Fake::new(&fleet(), vec![Some(out()), Some(out()), Some(out())])
        .read()
        .await;
    assert!(rows.is_empty());
    assert_eq!(reading.end, at(0));
    assert_eq!(reading.failure, Some(out()));
}

#[actix_rt::test]
async fn a_call_without_an_answer_is_repeated_for_fewer_rows() {
    let fake = Fake::new(&fleet(), vec![Some(unknown()), Some(out())]);
    fake.read().await;
    assert_eq!(fake.limits.borrow()[..4], [500, 250, 250, 250]);
}

#[actix_rt::test]
async fn a_refused_call_is_not_repeated() {
    let refusal = Error::Rejected("400".to_owned());
    let fake = Fake::new(&fleet(), vec![Some(refusal.clone())]);
    assert_eq!(fake.read().await.0.failure, Some(refusal));
    assert_eq!(fake.limits.borrow().len(), 1);
}

#[actix_rt::test]
async fn a_service_that_repeats_itself_ends_the_reading() {
    let mut fake = Fake::new(&fleet(), vec![]);
    fake.rows = vec![fake.rows[40].clone(), fake.rows[40].clone()];
    let (reading, _) = fake.read().await;
    assert!(matches!(reading.failure, Some(Error::Rejected(_))));
}

#[rstest]
#[case::garbage(json!({"minute": "noon"}))]
#[case::another_key(serde_json::to_value(row("entry-2", at(3), &[])).unwrap())]
#[actix_rt::test]
async fn a_row_that_is_not_understood_is_named(#[case] value: serde_json::Value) {
    let mut fake = Fake::new(
        &[row("entry-1", at(3), &[]), row("entry-1", at(4), &[])],
        vec![],
    );
    fake.rows[0].value = value;
    let (reading, rows) = fake.read().await;
    assert_eq!(rows.len(), 1);
    let [Gap::Unreadable { key, .. }] = &reading.missing[..] else {
        panic!("{:?}", reading.missing);
    };
    assert_eq!(*key, fake.rows[0].key);
}

#[rstest]
#[case::whole(vec![], Ok((true, 60)))]
#[case::partial(vec![None, Some(out()), Some(out()), Some(out())], Ok((false, 20)))]
#[case::nothing(vec![Some(out()), Some(out()), Some(out())], Err("--platform http://127.0.0.1:1"))]
#[actix_rt::test]
async fn a_report_is_whole_partial_or_none(
    #[case] faults: Vec<Option<Error>>,
    #[case] expected: Result<(bool, u64), &str>,
) {
    let arguments = ["--platform", "http://127.0.0.1:1", "--window", "5m"];
    let options = parser().run_inner(&arguments[..]).unwrap();
    let scope = scope(&options, time(60)).unwrap();
    let alone: Vec<Row> = fleet().into_iter().take(90).collect();
    let fake = Fake::new(&alone, faults);
    fake.most.set(20);
    match (report(&fake, &options, &scope, Fake::RETRY).await, expected) {
        (Ok((report, whole)), Ok((expected, minutes))) => {
            assert_eq!(whole, expected);
            assert_eq!(report.missing.is_empty(), whole, "{:?}", report.missing);
            assert_eq!(report.windows[0].covered, if whole { 5 } else { 0 });
            assert_eq!(report.total.count.ended, minutes * 30);
        }
        (Err(error), Err(expected)) => assert!(error.to_string().starts_with(expected)),
        (found, expected) => panic!("{found:?} in place of {expected:?}"),
    }
}
