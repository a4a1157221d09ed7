//! The platform's protocol, with woodgap's own client against the stand-in.

use std::time::Duration;

use actix_rt::time::{sleep, timeout};
use bytes::Bytes;
use rstest::rstest;
use serde_json::{Value, json};
use woodgap_fake::platform::{self, Options};
use woodgap_platform::Error;
use woodgap_platform::http::Platform;
use woodgap_platform::instance::{Instance, List};
use woodgap_platform::object::{self, Condition, Store};
use woodgap_platform::table::{Outcome, Place, Scan, Table, Transaction};

/// Ends a test that waits for what never comes.
const STUCK: Duration = Duration::from_mins(1);

/// A client's patience: far more than any answer that is not held back.
const PATIENT: Duration = Duration::from_secs(30);

/// A client that gives up on an answer that is held back.
const HASTY: Duration = Duration::from_millis(100);

/// Longer than any test, in milliseconds.
const FOR_EVER: u64 = 3_600_000;

struct Fixture {
    base: String,
    platform: Platform,
}

impl Fixture {
    fn start() -> Self {
        let listen = ([127, 0, 0, 1], 0).into();
        let bound = platform::bind(listen, &Options::default()).unwrap();
        let base = format!("http://{}", bound.address);
        actix_rt::spawn(bound.server);
        let platform = Platform::new(&base, PATIENT);
        Self { base, platform }
    }

    async fn post(&self, path: &str, body: &Value) {
        let url = format!("{}{path}", self.base);
        let response = awc::Client::default().post(url).send_json(body).await;
        assert!(response.unwrap().status().is_success());
    }

    async fn fault(&self, faults: Value) {
        self.post("/fake/faults", &faults).await;
    }

    async fn write(&self, key: &str, value: Value) -> u64 {
        let put = Transaction::default().put(place(key), value);
        match self.platform.transact(&put).await.unwrap() {
            Outcome::Committed { versions } => versions[0],
            Outcome::Conflict { failed } => panic!("no check, but {failed:?} failed"),
        }
    }

    async fn value(&self, key: &str) -> Option<Value> {
        let rows = self.platform.read(&[place(key)]).await.unwrap();
        rows[0].as_ref().map(|row| row.value.clone())
    }

    async fn until_value(&self, key: &str, value: Value) {
        let seen = async {
            while self.value(key).await != Some(value.clone()) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(STUCK, seen).await.expect("the write takes effect");
    }
}

fn place(key: &str) -> Place {
    Place::new("t", key)
}

fn calm() -> Value {
    json!({
        "down": false, "table_down": false, "objects_down": false,
        "delay_ms": 0, "lose_acks": 0, "lose_requests": 0,
    })
}

/// What a failed call tells its caller.
#[derive(Debug, PartialEq)]
enum Told {
    Nothing,
    NotDone,
    Refused,
    Unclear,
}

fn told<T>(result: &Result<T, Error>) -> Told {
    match result {
        Ok(_) => Told::Nothing,
        Err(Error::Unavailable(_)) => Told::NotDone,
        Err(Error::Rejected(_)) => Told::Refused,
        Err(Error::Unknown(_) | Error::TooLarge) => Told::Unclear,
    }
}

#[rstest]
#[case::no_fault(json!({}), Told::Nothing, true)]
#[case::down(json!({"down": true}), Told::NotDone, false)]
#[case::table_down(json!({"table_down": true}), Told::NotDone, false)]
#[case::objects_down(json!({"objects_down": true}), Told::Nothing, true)]
#[case::lost_request(json!({"lose_requests": 1}), Told::Unclear, false)]
#[case::lost_ack(json!({"lose_acks": 1}), Told::Unclear, true)]
#[actix_rt::test]
async fn a_write_under_a_fault(
    #[case] faults: Value,
    #[case] expected: Told,
    #[case] takes_effect: bool,
) {
    let fixture = Fixture::start();
    fixture.fault(faults).await;
    let put = Transaction::default().put(place("k"), json!(1));
    let result = fixture.platform.transact(&put).await;
    fixture.fault(calm()).await;

    assert_eq!(told(&result), expected, "{result:?}");
    assert_eq!(fixture.value("k").await.is_some(), takes_effect);
}

#[rstest]
#[case::slow_answer(json!({"delay_ms": FOR_EVER}))]
#[case::late_write(json!({"late_writes_ms": 400, "delay_ms": FOR_EVER}))]
#[actix_rt::test]
async fn a_write_given_up_on_may_take_effect_later(#[case] faults: Value) {
    let fixture = Fixture::start();
    fixture.fault(faults).await;
    let hasty = Platform::new(&fixture.base, HASTY);
    let put = Transaction::default().put(place("k"), json!(1));
    let result = hasty.transact(&put).await;

    assert_eq!(told(&result), Told::Unclear, "{result:?}");
    fixture.fault(calm()).await;
    fixture.until_value("k", json!(1)).await;
}

#[rstest]
#[case::absent(&[("new", 0)], &[])]
#[case::right_version(&[("old", 1)], &[])]
#[case::wrong_version(&[("old", 7)], &[0])]
#[case::taken(&[("new", 0), ("old", 0)], &[1])]
#[case::gone(&[("new", 1), ("old", 0)], &[0, 1])]
#[actix_rt::test]
async fn a_transaction_takes_effect_if_all_checks_hold(
    #[case] checks: &[(&str, u64)],
    #[case] failed: &[usize],
) {
    let fixture = Fixture::start();
    fixture.write("old", json!("before")).await;
    let puts = Transaction::default()
        .put(place("new"), json!("after"))
        .put(place("old"), json!("after"));
    let transaction = checks.iter().fold(puts, |transaction, (key, version)| {
        transaction.check(place(key), *version)
    });
    let outcome = fixture.platform.transact(&transaction).await.unwrap();

    let after = Some(json!("after"));
    let rows = (fixture.value("new").await, fixture.value("old").await);
    if failed.is_empty() {
        assert!(matches!(outcome, Outcome::Committed { .. }));
        assert_eq!(rows, (after.clone(), after));
    } else {
        let failed = failed.to_vec();
        assert_eq!(outcome, Outcome::Conflict { failed });
        assert_eq!(rows, (None, Some(json!("before"))));
    }
}

#[actix_rt::test]
async fn a_version_never_comes_again() {
    let fixture = Fixture::start();
    let first = fixture.write("k", json!(1)).await;
    let second = fixture.write("k", json!(2)).await;
    let delete = Transaction::default().delete(place("k"));
    let deleted = fixture.platform.transact(&delete).await.unwrap();
    let third = fixture.write("k", json!(1)).await;

    assert_eq!(deleted, Outcome::Committed { versions: vec![0] });
    assert!(0 < first && first < second && second < third);
}

#[rstest]
#[case::all("", "", 9, &["a1", "a2", "a3", "b1"])]
#[case::prefix("a", "", 9, &["a1", "a2", "a3"])]
#[case::after("a", "a1", 9, &["a2", "a3"])]
#[case::limit("", "a1", 2, &["a2", "a3"])]
#[case::after_before_the_prefix("b", "a1", 9, &["b1"])]
#[case::nothing("c", "", 9, &[])]
#[actix_rt::test]
async fn a_scan_gives_a_range_in_order(
    #[case] prefix: &str,
    #[case] after: &str,
    #[case] limit: usize,
    #[case] expected: &[&str],
) {
    let fixture = Fixture::start();
    for key in ["b1", "a2", "a1", "gone", "a3"] {
        fixture.write(key, json!(key)).await;
    }
    let delete = Transaction::default().delete(place("gone"));
    fixture.platform.transact(&delete).await.unwrap();
    let scan = Scan {
        table: "t".to_owned(),
        prefix: prefix.to_owned(),
        after: after.to_owned(),
        limit,
    };
    let rows = fixture.platform.scan(&scan).await.unwrap();
    let keys: Vec<&str> = rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(keys, expected);
}

#[actix_rt::test]
async fn a_scan_gives_at_most_its_bound() {
    let fixture = Fixture::start();
    let rows = 0..=Scan::MOST;
    let puts = rows.fold(Transaction::default(), |puts, row| {
        puts.put(place(&format!("{row:05}")), json!(row))
    });
    fixture.platform.transact(&puts).await.unwrap();
    let scan = Scan {
        table: "t".to_owned(),
        prefix: String::new(),
        after: String::new(),
        limit: usize::MAX,
    };
    assert_eq!(
        fixture.platform.scan(&scan).await.unwrap().len(),
        Scan::MOST
    );
}

#[actix_rt::test]
async fn a_stale_read_shows_the_past_and_a_check_the_present() {
    let fixture = Fixture::start();
    let version = fixture.write("k", json!(1)).await;
    fixture.fault(json!({"stale_reads_ms": FOR_EVER})).await;
    assert_eq!(fixture.value("k").await, None);

    let change = Transaction::default().check(place("k"), version);
    let outcome = fixture.platform.transact(&change).await.unwrap();
    assert_eq!(outcome, Outcome::Committed { versions: vec![] });
    fixture.fault(json!({"stale_reads_ms": 0})).await;
    assert_eq!(fixture.value("k").await, Some(json!(1)));
}

#[rstest]
#[case::always(Condition::Always, true)]
#[case::absent(Condition::Absent, false)]
#[case::right_tag(Condition::Tag("1"), true)]
#[case::wrong_tag(Condition::Tag("7"), false)]
#[actix_rt::test]
async fn an_object_is_replaced_on_its_condition(
    #[case] condition: Condition<'_>,
    #[case] written: bool,
) {
    let Fixture { platform, .. } = Fixture::start();
    let (old, new) = (Bytes::from("old"), Bytes::from("new"));
    platform
        .put("a/k", old.clone(), Condition::Absent)
        .await
        .unwrap();
    let outcome = platform.put("a/k", new.clone(), condition).await.unwrap();

    let found = platform.get("a/k").await.unwrap().unwrap();
    assert_eq!(found.body, if written { new } else { old });
    let replaced = object::Outcome::Written(found.tag);
    assert_eq!(outcome == replaced, written);
    platform.delete("a/k").await.unwrap();
    platform.delete("a/k").await.unwrap();
    assert_eq!(platform.get("a/k").await.unwrap(), None);
}

#[rstest]
#[case::objects_down(json!({"objects_down": true}), "k", Told::NotDone, false)]
#[case::table_down(json!({"table_down": true}), "k", Told::Nothing, true)]
#[case::lost_ack(json!({"lose_acks": 1}), "k", Told::Unclear, true)]
#[case::lost_request(json!({"lose_requests": 1}), "k", Told::Unclear, false)]
#[case::not_a_key(json!({}), "a//b", Told::Refused, false)]
#[actix_rt::test]
async fn an_object_write_under_a_fault(
    #[case] faults: Value,
    #[case] key: &str,
    #[case] expected: Told,
    #[case] takes_effect: bool,
) {
    let fixture = Fixture::start();
    fixture.fault(faults).await;
    let body = Bytes::from("x");
    let result = fixture.platform.put(key, body, Condition::Absent).await;
    fixture.fault(calm()).await;

    assert_eq!(told(&result), expected, "{result:?}");
    let found = fixture.platform.get(key).await.unwrap();
    assert_eq!(found.is_some(), takes_effect);
}

#[actix_rt::test]
async fn an_object_cut_half_way_is_not_taken_for_whole() {
    let fixture = Fixture::start();
    let body = Bytes::from("whole");
    let written = fixture.platform.put("k", body, Condition::Always).await;
    assert_eq!(told(&written), Told::Nothing);
    fixture.fault(json!({"cut_answers": 1})).await;
    let found = fixture.platform.get("k").await;
    assert_eq!(told(&found), Told::Unclear, "{found:?}");
}

#[actix_rt::test]
async fn the_instance_list_lags() {
    let fixture = Fixture::start();
    let instance = json!({
        "name": "engine-1", "role": "engine", "address": "127.0.0.1:9",
        "data_centre": "dub-a", "state": "live", "targets": ["m"], "slots": 4,
    });
    fixture.post("/fake/instances", &json!([instance])).await;
    let expected: Vec<Instance> = serde_json::from_value(json!([instance])).unwrap();

    fixture.fault(json!({"list_lag_ms": FOR_EVER})).await;
    assert_eq!(fixture.platform.list().await, Ok(vec![]));
    fixture.fault(json!({"list_lag_ms": 0})).await;
    assert_eq!(fixture.platform.list().await, Ok(expected));
}

/// What was read before a restore is of rows that are gone: a change under such a condition could
/// overwrite what another one has written at the same version.
#[actix_rt::test]
async fn conditions_from_before_a_restore_never_hold() {
    let fixture = Fixture::start();
    let platform = &fixture.platform;
    fixture.write("a", json!(1)).await;
    let lost = fixture.write("a", json!(2)).await;
    sleep(Duration::from_millis(60)).await;
    // The copy is from before the first write.
    fixture
        .post("/fake/restore", &json!({"age_ms": 30_000}))
        .await;
    assert_eq!(fixture.value("a").await, None);
    fixture.write("b", json!(3)).await;
    let again = fixture.write("a", json!(4)).await;
    assert!(
        again > lost,
        "a version that was given out again counts as later"
    );
    let over = |version| {
        Transaction::default()
            .check(place("a"), version)
            .put(place("a"), json!(5))
    };
    let outcome = platform.transact(&over(lost)).await;
    assert_eq!(outcome, Ok(Outcome::Conflict { failed: vec![0] }));
    assert_eq!(fixture.value("a").await, Some(json!(4)));
    let outcome = platform.transact(&over(again)).await;
    assert!(matches!(outcome, Ok(Outcome::Committed { .. })));
}
