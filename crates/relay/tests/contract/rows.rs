//! Which rows of a source can be used.

use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};
use woodgap_core::clock::Millis;
use woodgap_core::relay::roster::Endpoint;
use woodgap_harness::Stand;
use woodgap_platform::http::Platform;
use woodgap_platform::table::{Place, Scan, Table, Transaction};
use woodgap_relay::follow::usable;
use woodgap_relay::metrics::Metrics;
use woodgap_relay::source::row::{Content, Row, RowError, UnusableRows};
use woodgap_relay::source::table::TableSource;
use woodgap_relay::source::{Endpoints, Source};

use crate::site::endpoint;

fn value(address: &str) -> Value {
    serde_json::to_value(endpoint(1, address.parse().unwrap())).unwrap()
}

fn read(key: &str, bytes: &[u8]) -> Row<Endpoint> {
    Row::decode(key, 3, Ok(bytes.to_vec()), |it| it)
}

#[rstest]
#[case::port(value("10.0.0.1:0"))]
#[case::unspecified(value("[::]:80"))]
#[case::multicast(value("[::ffff:224.0.0.1]:80"))]
#[case::broadcast(value("255.255.255.255:80"))]
fn nothing_can_be_connected_to(#[case] value: Value) {
    let row = read("i-1", value.to_string().as_bytes());
    assert!(matches!(
        row.content,
        Content::Unusable(RowError::Address(_))
    ));
}

#[rstest]
#[case::missing("slots", Value::Null)]
#[case::negative("slots", json!(-1))]
#[case::beyond_any_count("slots", json!(1e12))]
#[case::millions("slots", json!(3_000_000))]
#[case::type_of_service("service", json!(["links"]))]
#[case::length_of_service("service", json!("s".repeat(300)))]
#[case::megabytes("service", json!("s".repeat(3_000_000)))]
#[case::another_name("name", json!("i-2"))]
#[case::address("address", json!("i-1.example:80"))]
fn a_field_makes_it_unusable(#[case] field: &str, #[case] other: Value) {
    let mut value = value("10.0.0.1:80");
    assert!(usable(read("i-1", value.to_string().as_bytes())).is_some());
    value[field] = other;
    assert!(usable(read("i-1", value.to_string().as_bytes())).is_none());
}

#[rstest]
#[case::empty("")]
#[case::two_lines("i\n1")]
#[case::spaces(" i-1")]
#[case::long(&"i".repeat(300))]
fn a_key_that_is_no_name_is_unusable(#[case] key: &str) {
    let mut value = value("10.0.0.1:80");
    value["name"] = json!(key);
    let row = read(key, value.to_string().as_bytes());
    assert!(matches!(row.content, Content::Unusable(RowError::Name(_))));
}

proptest! {
    /// Whatever others write, each sound row is usable, and each other one is told once.
    #[test]
    fn sound_rows_hold_beside_any_others(
        others in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..80), 0..40),
        sound in 0..40_usize,
    ) {
        let mut rows: Vec<_> = others.iter().enumerate()
            .map(|(at, bytes)| read(&format!("other-{at}"), bytes))
            .collect();
        let value = value("10.0.0.1:80").to_string();
        rows.insert(sound.min(rows.len()), read("i-1", value.as_bytes()));
        let metrics = Metrics::new().unwrap();
        let mut faults = UnusableRows::new("endpoints");
        faults.replace(&rows, &metrics);
        faults.record(&rows, &metrics);
        let told = metrics.unusable_rows.with_label_values(&["endpoints"]).get();
        prop_assert_eq!(told, others.len() as u64);
        let used: Vec<_> = rows.into_iter().filter_map(usable).collect();
        prop_assert_eq!(used.len(), 1);
        prop_assert_eq!(used[0].life.id.as_str(), "i-1");
    }
}

fn remembered(faults: &UnusableRows) -> usize {
    format!("{faults:?}").len()
}

/// Of rows that can't be used their keys are kept, and only while the rows are there.
#[test]
fn little_is_remembered_of_ten_thousand_broken_rows() {
    const ROWS: usize = 10_000;
    /// A key of this test with its quotes and the space between two.
    const MOST_KEY: usize = 16;
    let broken = json!("v".repeat(1_000)).to_string();
    let metrics = Metrics::new().unwrap();
    let mut faults = UnusableRows::new("endpoints");
    let empty = remembered(&faults);
    for round in 0..3 {
        let keys = (0..ROWS).map(|at| format!("{round}-{at}"));
        let rows: Vec<_> = keys.map(|key| read(&key, broken.as_bytes())).collect();
        faults.replace(&rows, &metrics);
        faults.record(&rows, &metrics);
        assert!(remembered(&faults) < empty + ROWS * MOST_KEY);
        let removed = rows.into_iter().map(|row| Row::<Endpoint> {
            content: Content::Removed,
            ..row
        });
        let (removed, half) = (removed.collect::<Vec<_>>(), ROWS / 2);
        faults.record(&removed[..half], &metrics);
        assert!(remembered(&faults) < empty + half * MOST_KEY);
    }
    faults.replace::<Endpoint>(&[], &metrics);
    assert_eq!(remembered(&faults), empty);
    let told = metrics.unusable_rows.with_label_values(&["endpoints"]);
    assert_eq!(told.get(), 3 * ROWS as u64);
}

/// A scan of the table service has a bound; what comes after it is read as well.
#[actix_rt::test]
async fn thousands_of_broken_rows_hide_none_of_the_own_source() {
    let platform = Stand::platform();
    let client = || Platform::new(&platform.url(""), Duration::from_secs(5));
    let writer = client();
    let broken = (0..=Scan::MOST).map(|at| (format!("a-{at:04}"), json!(at)));
    let sound = [("i-1".to_owned(), value("10.0.0.1:80"))];
    for (key, value) in broken.chain(sound) {
        let place = Place::new("relay-endpoints", &key);
        let transaction = Transaction::default().put(place, value);
        writer.transact(&transaction).await.unwrap();
    }
    let own = TableSource::new(client(), Millis(10));
    let news = own.endpoints(None, Millis(0)).await.unwrap();
    let Some(Endpoints::All(rows)) = news.content else {
        panic!("no list")
    };
    assert_eq!(rows.into_iter().filter_map(usable).count(), 1);
}

/// More rows than one answer of the table service may hold, by their bytes.
#[actix_rt::test]
async fn megabytes_of_broken_rows_hide_none_of_the_own_source() {
    let platform = Stand::platform();
    let client = || Platform::new(&platform.url(""), Duration::from_mins(1));
    let place = |key: &str| Place::new("relay-endpoints", key);
    let broken = json!("v".repeat(60_000));
    let puts = (0..300).map(|at| format!("a-{at:03}"));
    let transaction = puts.fold(Transaction::default(), |transaction, key| {
        transaction.put(place(&key), broken.clone())
    });
    let transaction = transaction.put(place("i-1"), value("10.0.0.1:80"));
    client().transact(&transaction).await.unwrap();
    let own = TableSource::new(client(), Millis(10));
    let news = own.endpoints(None, Millis(0)).await.unwrap();
    let Some(Endpoints::All(rows)) = news.content else {
        panic!("no list")
    };
    assert_eq!(rows.len(), 301);
    assert_eq!(rows.into_iter().filter_map(usable).count(), 1);
}
