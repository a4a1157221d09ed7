//! What is deleted from the table service, and what stays.

use std::time::Duration;

use rstest::rstest;
use serde_json::{Value, json};
use woodgap_core::burn;
use woodgap_core::clock::Millis;
use woodgap_entry::configuration::record;
use woodgap_entry::housekeeping::{old_changes, old_counts};
use woodgap_fake::platform;
use woodgap_platform::http::Platform;
use woodgap_platform::table::{Place, Scan, Table, Transaction};

const DAY: u64 = 24 * 3_600_000;
const NOW: Millis = Millis(1_000 * DAY);

fn stand_in() -> Platform {
    let listen = ([127, 0, 0, 1], 0).into();
    let bound = platform::bind(listen, &platform::Options::default()).unwrap();
    let base = format!("http://{}", bound.address);
    actix_rt::spawn(bound.server);
    Platform::new(&base, Duration::from_secs(10))
}

async fn put(table: &Platform, place: Place, value: Value) {
    table
        .transact(&Transaction::default().put(place, value))
        .await
        .unwrap();
}

async fn keys(table: &Platform, name: &str) -> Vec<String> {
    let scan = Scan {
        table: name.to_owned(),
        prefix: String::new(),
        after: String::new(),
        limit: Scan::MOST,
    };
    table
        .scan(&scan)
        .await
        .unwrap()
        .into_iter()
        .map(|row| row.key)
        .collect()
}

#[rstest]
#[case::just_kept(90, 1)]
#[case::just_too_old(91, 0)]
#[actix_rt::test]
async fn counts_are_kept_for_ninety_days(#[case] age_days: u64, #[case] kept: usize) {
    let table = stand_in();
    let minute = burn::minute(NOW - Millis(age_days * DAY));
    let key = format!("{minute:010}/entry-1/0000000000000001");
    put(&table, Place::new(burn::TABLE, &key), json!({})).await;
    let deleted = old_counts(&table, NOW).await.unwrap();
    assert_eq!(deleted, 1 - kept);
    assert_eq!(keys(&table, burn::TABLE).await.len(), kept);
}

#[actix_rt::test]
async fn old_changes_go_and_their_documents_stay() {
    let table = stand_in();
    for (revision, age_days) in [(1, 400), (2, 366), (3, 10)] {
        let change = json!({"change": format!("c{revision}"), "at": NOW.0 - age_days * DAY});
        put(&table, record::log(revision), change.clone()).await;
        put(
            &table,
            record::change(&format!("c{revision}")),
            change.clone(),
        )
        .await;
        put(&table, record::document("template/family"), change).await;
    }
    assert_eq!(old_changes(&table, NOW).await.unwrap(), 2);
    assert_eq!(keys(&table, record::LOG).await, [record::log_key(3)]);
    assert_eq!(keys(&table, record::CHANGES).await, ["c3"]);
    assert_eq!(keys(&table, record::DOCUMENTS).await, ["template/family"]);
}
