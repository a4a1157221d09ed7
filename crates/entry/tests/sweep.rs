//! Old claims and the answers that they name are deleted, and nothing else.

use std::time::Duration;

use bytes::Bytes;
use serde_json::json;
use woodgap_core::clock::Millis;
use woodgap_core::once::Key;
use woodgap_entry::once::{claims, kept, sweep};
use woodgap_harness::Stand;
use woodgap_platform::http::Platform;
use woodgap_platform::object::{Condition, Store};
use woodgap_platform::table::{Place, Table, Transaction};

const NOW: Millis = Millis(sweep::KEPT.0 * 3);
const YOUNG: Millis = Millis(NOW.0 - sweep::KEPT.0);
const OLD: Millis = Millis(YOUNG.0 - 1);
/// More than two rounds.
const ROWS: usize = 450;

fn key(number: usize) -> Key {
    Key::new(&"murphy".into(), &format!("n-{number:03}"))
}

fn place(number: usize) -> Place {
    Place::new(claims::TABLE, &key(number).row())
}

/// Every third claim is old.
fn at(number: usize) -> Millis {
    if number.is_multiple_of(3) { OLD } else { YOUNG }
}

async fn write(platform: &Platform) {
    let mut transaction = Transaction::default();
    for number in 0..ROWS {
        let claim = json!({
            "request": {"incarnation": 1, "sequence": number},
            "address": "127.0.0.1:1",
            "body": "00",
            "at": at(number),
            "end": {"end": "complete", "kept": true},
        });
        transaction = transaction.put(place(number), claim);
    }
    platform.transact(&transaction).await.unwrap();
    for number in [0, 1] {
        let object = kept::object(&key(number));
        let put = platform.put(&object, Bytes::from_static(b"x"), Condition::Always);
        put.await.unwrap();
    }
}

#[actix_rt::test]
async fn old_claims_go_with_their_answers() {
    let stand = Stand::platform();
    let platform = Platform::new(&stand.url(""), Duration::from_mins(1));
    write(&platform).await;
    let mut sweep = sweep::Sweep::new();
    let mut deleted = Vec::new();
    for _ in 0..4 {
        deleted.push(sweep.round(&platform, NOW).await.unwrap());
    }
    assert_eq!(deleted.iter().sum::<usize>(), ROWS / 3);
    // The fourth round is the first of the next pass.
    assert_eq!(deleted[3], 0);
    let places: Vec<Place> = (0..ROWS).map(place).collect();
    let rows = platform.read(&places).await.unwrap();
    for (number, row) in rows.iter().enumerate() {
        assert_eq!(row.is_some(), at(number) == YOUNG, "{number}");
    }
    let answers = [0, 1].map(|number| kept::object(&key(number)));
    assert_eq!(platform.get(&answers[0]).await.unwrap(), None);
    assert!(platform.get(&answers[1]).await.unwrap().is_some());
}

#[actix_rt::test]
async fn a_round_that_failed_is_done_again() {
    let stand = Stand::platform();
    let platform = Platform::new(&stand.url(""), Duration::from_mins(1));
    write(&platform).await;
    let mut sweep = sweep::Sweep::new();
    stand.fault(json!({"objects_down": true})).await;
    assert!(sweep.round(&platform, NOW).await.is_err());
    stand.fault(json!({"objects_down": false})).await;
    assert!(sweep.round(&platform, NOW).await.unwrap() > 0);
    assert_eq!(platform.get(&kept::object(&key(0))).await.unwrap(), None);
}
