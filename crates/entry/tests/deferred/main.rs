//! Deferred requests through real entries, some of which are killed or frozen.

mod site;

use awc::http::StatusCode;
use serde_json::{Value, json};
use woodgap_harness::{documents, until};

use site::{KEY, check, collect, ends, run, start, started_by, submit, submit_all, until_it_runs};

/// Tokens of a request that takes a second at the engine.
const LONG: u32 = 1_000;

#[actix_rt::test]
async fn a_request_is_recorded_carried_out_and_collected() {
    let fleet = start(2).await;
    let [first, second] = &fleet.entries[..] else {
        panic!("two entries");
    };
    let accepted = submit(first, "tale", Some("t-1"), "len=3 echo=t")
        .await
        .unwrap();
    assert_eq!(accepted.status, StatusCode::ACCEPTED);
    assert_eq!(
        accepted.body,
        json!({"identity": "t-1", "state": "accepted"})
    );
    let jobs = [("t-1".to_owned(), "tale")].into();
    let told = &ends(second, &jobs).await["t-1"];
    assert_eq!(told["state"], "done");
    assert_eq!(told["answer"]["choices"][0]["text"], "t:1 t:2 t:3 ");
    // The same again is the same request; another body is refused.
    let again = submit(second, "tale", Some("t-1"), "len=3 echo=t")
        .await
        .unwrap();
    assert_eq!(again.body, json!({"identity": "t-1", "state": "done"}));
    let other = submit(second, "tale", Some("t-1"), "len=4 echo=t")
        .await
        .unwrap();
    assert_eq!(other.body["error"]["code"], "identity_reused");
    // Another workspace neither sees it nor meets its identity.
    let foreign = collect(second, documents::KELLY, "t-1").await.unwrap();
    assert_eq!(foreign.body["error"]["code"], "unknown_identity");
    assert_eq!(fleet.engine.started().await.len(), 1);
}

#[actix_rt::test]
async fn refusals_say_why() {
    let fleet = start(1).await;
    let entry = &fleet.entries[0];
    for (class, identity, code) in [
        ("caption", Some("c-1"), "not_deferrable"),
        ("memorial", None, "identity_required"),
        ("nothing", None, "class_not_bought"),
    ] {
        let answer = submit(entry, class, identity, "len=1").await.unwrap();
        assert_eq!(answer.body["error"]["code"], code);
        assert_eq!(answer.body["error"]["verdict"], "not_run");
    }
    let given = submit(entry, "tale", None, "len=1").await.unwrap();
    let identity = given.body["identity"].as_str().unwrap();
    assert!(identity.starts_with("deferred-"), "{identity}");
    fleet.platform.fault(json!({"down": true})).await;
    let out = submit(entry, "tale", Some("t-1"), "len=1").await.unwrap();
    assert_eq!(out.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(out.body["error"]["code"], "platform_out");
    assert_eq!(out.body["error"]["verdict"], "not_run");
    fleet.platform.fault(json!({"down": false})).await;
    let known = collect(entry, KEY, "t-1").await.unwrap();
    assert_eq!(known.body["error"]["code"], "unknown_identity");
}

/// What may not be repeated runs once, whether it comes deferred or not.
#[actix_rt::test]
async fn one_identity_by_both_ways() {
    let fleet = start(2).await;
    let [first, second] = &fleet.entries[..] else {
        panic!("two entries");
    };
    submit(first, "memorial", Some("m-1"), "len=2 echo=m")
        .await
        .unwrap();
    let refused = run(second, "memorial", "m-1", "len=2 echo=m").await;
    assert_eq!(refused.body["error"]["code"], "identity_reused");
    let jobs = [("m-1".to_owned(), "memorial")].into();
    assert_eq!(ends(second, &jobs).await["m-1"]["state"], "done");
    let answered = run(second, "memorial", "m-2", "len=2 echo=n").await;
    assert_eq!(answered.status, StatusCode::OK);
    let refused = submit(first, "memorial", Some("m-2"), "len=2 echo=n")
        .await
        .unwrap();
    assert_eq!(refused.body["error"]["code"], "identity_reused");
    assert_eq!(fleet.engine.started().await.len(), 2);
}

#[actix_rt::test]
async fn the_holder_is_killed() {
    let mut fleet = start(3).await;
    let jobs = submit_all(&fleet, "a", 24, LONG).await;
    until_it_runs(&fleet, &fleet.entries[0]).await;
    fleet.entries[0].kill();
    let ends = ends(&fleet.entries[1], &jobs).await;
    check(&fleet, &jobs, &ends, LONG).await;
}

/// What a frozen holder does when it wakes changes nothing that was told.
#[actix_rt::test]
async fn the_holder_is_frozen_and_wakes() {
    let fleet = start(3).await;
    let jobs = submit_all(&fleet, "a", 24, LONG).await;
    until_it_runs(&fleet, &fleet.entries[0]).await;
    fleet.entries[0].freeze();
    let told = ends(&fleet.entries[1], &jobs).await;
    check(&fleet, &jobs, &told, LONG).await;
    fleet.entries[0].wake();
    // Once it carries out work again, or nothing is left to do, it has found that
    // its leases were lost. Of the earlier requests some never reach the engine:
    // those that may not run twice and were recorded as started by the frozen entry.
    let fresh = submit_all(&fleet, "b", 24, 1).await;
    until("the woken entry works", async || {
        let mine = started_by(&fleet, &fleet.entries[0]).await;
        let record = fleet.engine.started().await;
        let has_run = |identity: &String| record.iter().any(|run| run["prompt_tag"] == **identity);
        (!mine.is_empty() || fresh.keys().all(has_run)).then_some(())
    })
    .await;
    let later = ends(&fleet.entries[0], &fresh).await;
    assert!(
        later.values().all(|end| end["state"] == "done"),
        "{later:?}"
    );
    check(&fleet, &fresh, &later, 1).await;
    let after = ends(&fleet.entries[0], &jobs).await;
    assert_eq!(after, told);
    check(&fleet, &jobs, &after, LONG).await;
}

/// The platform is out while requests run, for longer than a lease.
#[actix_rt::test]
async fn the_platform_is_out() {
    let fleet = start(2).await;
    let jobs = submit_all(&fleet, "a", 12, LONG).await;
    until_it_runs(&fleet, &fleet.entries[0]).await;
    fleet.platform.fault(json!({"down": true})).await;
    let answer = submit(&fleet.entries[0], "tale", Some("t-x"), "len=1")
        .await
        .unwrap();
    assert_eq!(answer.body["error"]["verdict"], "not_run", "{answer:?}");
    fleet.platform.fault(json!({"down": false})).await;
    let ends = ends(&fleet.entries[1], &jobs).await;
    check(&fleet, &jobs, &ends, LONG).await;
    let refused = collect(&fleet.entries[1], KEY, "t-x").await.unwrap();
    assert_eq!(refused.body["error"]["code"], "unknown_identity");
}

/// Writes take effect and are not answered, while requests are recorded, started
/// and ended.
#[actix_rt::test]
async fn acknowledgements_are_lost() {
    let fleet = start(2).await;
    fleet.platform.fault(json!({"lose_acks": 30})).await;
    let jobs = submit_all(&fleet, "a", 12, 50).await;
    fleet.platform.fault(json!({"lose_acks": 30})).await;
    let ends = ends(&fleet.entries[1], &jobs).await;
    check(&fleet, &jobs, &ends, 50).await;
    for end in ends.values() {
        assert_eq!(end["state"], "done", "{end}");
    }
}

/// A planned stop finishes what runs, and another entry does the rest.
#[actix_rt::test]
async fn a_planned_stop_cuts_off_nothing() {
    let mut fleet = start(2).await;
    let jobs = submit_all(&fleet, "a", 24, LONG).await;
    until_it_runs(&fleet, &fleet.entries[0]).await;
    fleet.entries[0].stop();
    assert_eq!(fleet.entries[0].wait(), Some(0));
    assert_eq!(
        started_by(&fleet, &fleet.entries[0]).await,
        Vec::<Value>::new()
    );
    let ends = ends(&fleet.entries[1], &jobs).await;
    check(&fleet, &jobs, &ends, LONG).await;
    for end in ends.values() {
        assert_eq!(end["state"], "done", "{end}");
    }
    assert_eq!(fleet.engine.started().await.len(), jobs.len());
}
