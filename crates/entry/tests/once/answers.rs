//! Who gets which answer: followers, retries, other workspaces, callers that go away.

use std::time::Duration;

use actix_rt::{spawn, time::sleep};
use futures_util::future::{join, join_all};
use rstest::rstest;
use serde_json::{Value, json};
use woodgap_harness::{Fleet, documents, until};

use crate::ENTRY;
use crate::caller::{CAPTION, Call, FLUX, NARRATION, TALE};
use crate::watch::{has_ended, runs, slow_endpoints, until_claim, until_runs};

#[rstest]
#[case::here(0)]
#[case::elsewhere(1)]
#[actix_rt::test]
async fn a_retry_while_it_runs_follows_the_answer(
    #[case] second: usize,
    #[values(NARRATION, FLUX, CAPTION)] call: Call<'static>,
) {
    let fleet = Fleet::start(ENTRY, 2).await;
    slow_endpoints(&fleet).await;
    let retry = async {
        until_runs(&fleet, 1).await;
        call.send(&fleet.entries[second]).await
    };
    let (one, other) = join(call.send(&fleet.entries[0]), retry).await;
    assert_eq!(one.end(), "200");
    assert_eq!(one, other);
    assert_eq!(runs(&fleet).await, 1);
}

#[rstest]
#[case::here(0)]
#[case::elsewhere(1)]
#[actix_rt::test]
async fn a_running_answer_is_collected_from_its_start(#[case] second: usize) {
    let fleet = Fleet::start(ENTRY, 2).await;
    fleet.engine.fault(json!({"slow": 100.0})).await;
    let call = Call {
        stream: true,
        ..NARRATION
    };
    let collect = async {
        until("the first token is there", async || {
            let record = fleet.engine.started().await;
            record.first()?["tokens_sent"]
                .as_u64()
                .filter(|sent| *sent > 0)
        })
        .await;
        call.collect(&fleet.entries[second]).await
    };
    let (one, other) = join(call.send(&fleet.entries[0]), collect).await;
    assert!(one.body.starts_with("id: 1\n") && one.body.ends_with("data: [DONE]\n\n"));
    assert_eq!(one, other);
    assert_eq!(runs(&fleet).await, 1);
}

#[rstest]
#[case::here(0, false)]
#[case::elsewhere(1, false)]
#[case::elsewhere_after_its_entry_died(1, true)]
#[actix_rt::test]
async fn a_retry_after_the_end_gets_the_kept_answer(
    #[case] second: usize,
    #[case] kill: bool,
    #[values(NARRATION, FLUX)] call: Call<'static>,
) {
    let mut fleet = Fleet::start(ENTRY, 2).await;
    let one = call.send(&fleet.entries[0]).await;
    until_claim(&fleet, call.identity, has_ended).await;
    if kill {
        fleet.entries[0].kill();
    }
    assert_eq!(call.send(&fleet.entries[second]).await, one);
    assert_eq!(call.collect(&fleet.entries[second]).await, one);
    assert_eq!(runs(&fleet).await, 1);
}

#[rstest]
#[case::here(0)]
#[case::elsewhere(1)]
#[actix_rt::test]
async fn another_request_under_the_same_identity_is_refused(
    #[case] second: usize,
    #[values(NARRATION, FLUX)] call: Call<'static>,
) {
    let fleet = Fleet::start(ENTRY, 2).await;
    assert_eq!(call.send(&fleet.entries[0]).await.end(), "200");
    let other = Call {
        text: "tag=other",
        ..call
    };
    let refused = other.send(&fleet.entries[second]).await;
    assert_eq!(
        (refused.status, refused.end().as_str()),
        (422, "identity_reused not_run")
    );
    assert_eq!(runs(&fleet).await, 1);
}

#[actix_rt::test]
async fn a_workspace_can_not_reach_the_answers_of_another() {
    let fleet = Fleet::start(ENTRY, 2).await;
    let murphys = NARRATION.send(&fleet.entries[0]).await;
    let kelly = Call {
        key: documents::KELLY,
        ..NARRATION
    };
    for entry in &fleet.entries {
        assert_eq!(kelly.collect(entry).await.end(), "unknown_identity not_run");
    }
    // The same identity is another request in another workspace.
    let kellys = kelly.send(&fleet.entries[1]).await;
    assert_eq!(kellys.text(), TALE);
    assert_ne!(kellys.request, murphys.request);
    assert_eq!(runs(&fleet).await, 2);
}

#[rstest]
#[case::crashes(json!({"crash_after_tokens": 1}), "endpoint_failed may_have_run")]
#[case::answers_another_request(json!({"wrong_id": 1}), "endpoint_failed may_have_run")]
#[case::answers_garbage(json!({"garbage": 1}), "bad_answer ran")]
#[actix_rt::test]
async fn a_failed_run_keeps_its_verdict(
    #[case] faults: Value,
    #[case] end: &str,
    #[values(0, 1)] second: usize,
) {
    let mut fleet = Fleet::start(ENTRY, 2).await;
    fleet.engine.fault(faults).await;
    assert_eq!(NARRATION.send(&fleet.entries[0]).await.end(), end);
    until_claim(&fleet, NARRATION.identity, has_ended).await;
    assert_eq!(NARRATION.send(&fleet.entries[second]).await.end(), end);
    fleet.entries[0].kill();
    assert_eq!(NARRATION.send(&fleet.entries[1]).await.end(), end);
    assert_eq!(runs(&fleet).await, 1);
}

/// The answer of a run that was given up must not reach the next caller.
#[actix_rt::test]
async fn a_late_answer_reaches_nobody_else() {
    let fleet = Fleet::with(ENTRY, 1, |settings| {
        settings["dispatch"] = json!({"endpoint_timeout_ms": 300});
        settings["workers"] = json!(1);
    })
    .await;
    fleet.engine.fault(json!({"late_ms": 600})).await;
    let entry = &fleet.entries[0];
    let given_up = NARRATION.send(entry).await;
    assert_eq!(given_up.end(), "endpoint_failed may_have_run");
    fleet.engine.fault(json!({"late_ms": 0})).await;
    let calls = (0..20).map(|number| async move {
        let text = format!("len=2 echo=own{number}");
        let identity = format!("own-{number}");
        let call = Call {
            identity: &identity,
            text: &text,
            ..NARRATION
        };
        let answer = call.send(entry).await;
        assert_eq!(answer.text(), format!("own{number}:1 own{number}:2 "));
        sleep(Duration::from_millis(number)).await;
    });
    join_all(calls).await;
    assert_eq!(runs(&fleet).await, 21);
}

#[actix_rt::test]
async fn a_caller_that_goes_away_does_not_stop_what_may_not_be_repeated() {
    let fleet = Fleet::start(ENTRY, 2).await;
    slow_endpoints(&fleet).await;
    let url = fleet.entries[0].address;
    let caller = spawn(async move { NARRATION.send_to(url).await });
    until_runs(&fleet, 1).await;
    caller.abort();
    let collected = until("the answer is kept", async || {
        let answer = NARRATION.collect(&fleet.entries[1]).await;
        Some(answer).filter(|answer| answer.status == 200)
    });
    assert_eq!(collected.await.text(), TALE);
    assert_eq!(runs(&fleet).await, 1);
}

#[actix_rt::test]
async fn a_caller_that_goes_away_stops_what_may_be_repeated() {
    let fleet = Fleet::start(ENTRY, 1).await;
    fleet.engine.fault(json!({"late_ms": 60_000})).await;
    let url = fleet.entries[0].address;
    let caller = spawn(async move { CAPTION.send_to(url).await });
    until_runs(&fleet, 1).await;
    caller.abort();
    until("the run is stopped", async || {
        let runs = fleet.engine.started().await;
        (runs[0]["end"] != "running").then_some(())
    })
    .await;
    fleet.engine.fault(json!({"late_ms": 0})).await;
    assert_eq!(CAPTION.send(&fleet.entries[0]).await.text(), TALE);
    assert_eq!(runs(&fleet).await, 2);
}

#[actix_rt::test]
async fn a_repeatable_request_with_an_identity_runs_once_at_one_entry() {
    let fleet = Fleet::start(ENTRY, 2).await;
    let entry = &fleet.entries[0];
    let (one, other) = join(CAPTION.send(entry), CAPTION.send(entry)).await;
    assert_eq!(one.text(), TALE);
    assert_eq!(one, other);
    assert_eq!(CAPTION.send(entry).await, one);
    assert_eq!(CAPTION.collect(&fleet.entries[1]).await, one);
    assert_eq!(runs(&fleet).await, 1);
}

#[actix_rt::test]
async fn questions_between_entries_need_the_fleet_key() {
    let fleet = Fleet::start(ENTRY, 1).await;
    let url = fleet.entries[0].url("/internal/v1/answers");
    let call = awc::Client::default().post(url);
    let forged = call.insert_header(("x-woodgap-seal", "0-0-00000000000000000000000000000000"));
    assert_eq!(forged.send_body("x").await.unwrap().status(), 401);
}

/// The same, while the first request may be repeated and still runs elsewhere.
#[actix_rt::test]
async fn another_request_under_a_running_identity_is_refused() {
    let fleet = Fleet::start(ENTRY, 2).await;
    slow_endpoints(&fleet).await;
    let other = Call {
        text: "tag=other",
        ..CAPTION
    };
    let retry = async {
        until_runs(&fleet, 1).await;
        other.send(&fleet.entries[1]).await
    };
    let (one, other) = join(CAPTION.send(&fleet.entries[0]), retry).await;
    assert_eq!(one.text(), TALE);
    assert_eq!(other.end(), "identity_reused not_run");
    assert_eq!(runs(&fleet).await, 1);
}

#[actix_rt::test]
async fn any_identity_can_be_asked_for() {
    let fleet = Fleet::start(ENTRY, 2).await;
    let call = Call {
        identity: "a/b%2Fc?d=1&e+f#g:[h]~\"{|}",
        ..NARRATION
    };
    let answer = call.send(&fleet.entries[0]).await;
    assert_eq!(answer.text(), TALE);
    for entry in &fleet.entries {
        assert_eq!(call.collect(entry).await, answer);
    }
}

/// A planned stop finishes what may not be repeated, also if its caller is gone.
#[actix_rt::test]
async fn a_planned_stop_keeps_the_answer() {
    let mut fleet = Fleet::start(ENTRY, 2).await;
    fleet.engine.fault(json!({"late_ms": 1_000})).await;
    let url = fleet.entries[0].address;
    let caller = spawn(async move { NARRATION.send_to(url).await });
    until_runs(&fleet, 1).await;
    caller.abort();
    fleet.entries[0].stop();
    assert_eq!(fleet.entries[0].wait(), Some(0));
    let collected = NARRATION.collect(&fleet.entries[1]).await;
    assert_eq!(collected.text(), TALE);
    assert_eq!(NARRATION.send(&fleet.entries[1]).await, collected);
    assert_eq!(runs(&fleet).await, 1);
}
