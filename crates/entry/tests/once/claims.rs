//! Who may send a request: claims, lost acknowledgements, two at one moment, deaths
//! and freezes.

use actix_rt::spawn;
use futures_util::future::{join, join_all};
use rstest::rstest;
use serde_json::{Value, json};
use woodgap_harness::{Fleet, until};

use crate::ENTRY;
use crate::caller::{Answer, CAPTION, Call, FLUX, NARRATION, TALE};
use crate::watch::{has_ended, runs, slow_endpoints, transactions, until_claim, until_runs};

/// An endpoint that closes the connection after it ran the call.
#[actix_rt::test]
async fn a_call_that_was_cut_off_is_not_sent_again() {
    let fleet = Fleet::start(ENTRY, 1).await;
    fleet.service.fault(json!({"cut_after_run": 1})).await;
    let answer = FLUX.send(&fleet.entries[0]).await;
    assert_eq!(answer.end(), "endpoint_failed may_have_run");
    assert_eq!(runs(&fleet).await, 1);
}

#[rstest]
#[case::calm(json!({}))]
#[case::acknowledgement_lost(json!({"lose_acks": 1}))]
#[case::two_acknowledgements_lost(json!({"lose_acks": 2}))]
#[case::request_lost(json!({"lose_requests": 1}))]
#[case::slow(json!({"delay_ms": 300}))]
#[case::stale_reads(json!({"lose_acks": 1, "stale_reads_ms": 300}))]
#[actix_rt::test]
async fn a_claim_is_settled(#[case] faults: Value, #[values(NARRATION, FLUX)] call: Call<'static>) {
    let fleet = Fleet::start(ENTRY, 1).await;
    fleet.platform.fault(faults).await;
    let answer = call.send(&fleet.entries[0]).await;
    assert_eq!(answer.end(), "200");
    assert_eq!(runs(&fleet).await, 1);
}

#[rstest]
#[case::entries(0, 1)]
#[case::submissions_at_one(0, 0)]
#[actix_rt::test]
async fn two_at_one_moment_get_one_answer(
    #[case] first: usize,
    #[case] second: usize,
    #[values(NARRATION, FLUX)] call: Call<'static>,
) {
    let fleet = Fleet::start(ENTRY, 2).await;
    let (one, other) = join(
        call.send(&fleet.entries[first]),
        call.send(&fleet.entries[second]),
    )
    .await;
    assert_eq!(one.end(), "200");
    assert_eq!(one, other);
    assert_eq!(runs(&fleet).await, 1);
}

#[rstest]
#[actix_rt::test]
async fn a_retry_after_its_entry_died_is_not_run_again(
    #[values(NARRATION, FLUX)] call: Call<'static>,
) {
    let mut fleet = Fleet::start(ENTRY, 2).await;
    slow_endpoints(&fleet).await;
    let url = fleet.entries[0].address;
    let lost = spawn(async move { call.send_to(url).await });
    until_runs(&fleet, 1).await;
    fleet.entries[0].kill();
    assert_eq!(lost.await.unwrap(), Answer::default());
    let retry = call.send(&fleet.entries[1]).await;
    assert_eq!(retry.end(), "unknown_outcome may_have_run");
    assert_eq!(call.collect(&fleet.entries[1]).await.end(), retry.end());
    // Also not by the next life of the entry that had it.
    fleet.restart(0);
    fleet.list().await;
    fleet.ready().await;
    assert_eq!(call.send(&fleet.entries[0]).await.end(), retry.end());
    assert_eq!(runs(&fleet).await, 1);
}

/// The holder stops where it stands with the request sent.
#[rstest]
#[actix_rt::test]
async fn an_entry_frozen_while_it_runs_it_answers_once_awake(
    #[values(NARRATION, FLUX)] call: Call<'static>,
) {
    let fleet = Fleet::start(ENTRY, 2).await;
    slow_endpoints(&fleet).await;
    let url = fleet.entries[0].address;
    let first = spawn(async move { call.send_to(url).await });
    until_runs(&fleet, 1).await;
    fleet.entries[0].freeze();
    let retry = call.send(&fleet.entries[1]).await;
    assert_eq!(retry.end(), "unknown_outcome may_have_run");
    assert!(retry.retry_after);
    fleet.entries[0].wake();
    let first = first.await.unwrap();
    assert_eq!(first.end(), "200");
    assert_eq!(call.send(&fleet.entries[1]).await, first);
    assert_eq!(runs(&fleet).await, 1);
}

/// The holder stops where it stands with its claim written and nothing sent.
#[rstest]
#[actix_rt::test]
async fn an_entry_frozen_before_it_sent_runs_it_at_most_once(
    #[values(NARRATION, FLUX)] call: Call<'static>,
) {
    let fleet = Fleet::start(ENTRY, 2).await;
    let before = transactions(&fleet).await;
    // The claim is written, and its acknowledgement held back.
    fleet.platform.fault(json!({"delay_ms": 900})).await;
    let url = fleet.entries[0].address;
    let first = spawn(async move { call.send_to(url).await });
    until("the claim is written", async || {
        (transactions(&fleet).await > before).then_some(())
    })
    .await;
    fleet.entries[0].freeze();
    fleet.platform.fault(json!({"delay_ms": 0})).await;
    let retry = call.send(&fleet.entries[1]).await;
    assert_eq!(retry.end(), "unknown_outcome may_have_run");
    assert!(retry.retry_after);
    assert_eq!(runs(&fleet).await, 0);
    fleet.entries[0].wake();
    // In time it sends what it has claimed, else it takes the claim back.
    let first = first.await.unwrap();
    assert!(
        ["200", "platform_out not_run"].contains(&first.end().as_str()),
        "{first:?}"
    );
    assert_eq!(runs(&fleet).await, usize::from(first.status == 200));
    assert_eq!(call.send(&fleet.entries[1]).await.end(), "200");
    assert_eq!(runs(&fleet).await, 1);
}

#[rstest]
#[case::here(0)]
#[case::elsewhere(1)]
#[actix_rt::test]
async fn what_was_refused_after_its_claim_can_be_sent_again(#[case] second: usize) {
    let fleet = Fleet::start(ENTRY, 2).await;
    fleet.engine.fault(json!({"leaving": true})).await;
    for entry in &fleet.entries {
        until("the entry knows that the engine leaves", async || {
            let probe = Call {
                identity: "",
                text: "echo=probe",
                ..CAPTION
            };
            (probe.send(entry).await.code == "no_endpoint").then_some(())
        })
        .await;
    }
    let before = runs(&fleet).await;
    let refused = NARRATION.send(&fleet.entries[0]).await;
    assert_eq!(refused.end(), "no_endpoint not_run");
    assert_eq!(runs(&fleet).await, before);
    let entry = &fleet.entries[second];
    assert_eq!(NARRATION.send(entry).await.end(), refused.end());
    // Nothing is left of the claim: the identity is as good as new.
    let call = Call {
        identity: NARRATION.identity,
        ..FLUX
    };
    assert_eq!(call.send(entry).await.end(), "200");
    assert_eq!(runs(&fleet).await, before + 1);
}

/// Claims of many callers share transactions, and one conflict among them costs
/// the others nothing.
#[actix_rt::test]
async fn claims_are_written_in_batches() {
    let fleet = Fleet::start(ENTRY, 2).await;
    assert_eq!(NARRATION.send(&fleet.entries[1]).await.end(), "200");
    until_claim(&fleet, NARRATION.identity, has_ended).await;
    let before = transactions(&fleet).await;
    let identities: Vec<String> = (1..=60).map(|number| format!("n-{number}")).collect();
    let calls = identities.iter().map(|identity| {
        let call = Call {
            identity,
            ..NARRATION
        };
        call.send(&fleet.entries[0])
    });
    let answers = join_all(calls).await;
    assert!(answers.iter().all(|answer| answer.text() == TALE));
    assert_eq!(runs(&fleet).await, 60);
    let used = transactions(&fleet).await - before;
    assert!(used < 60, "{used} transactions");
}
