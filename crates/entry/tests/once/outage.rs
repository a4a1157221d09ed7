//! The table service is out, slow or forgetful.

use rstest::rstest;
use serde_json::{Value, json};
use woodgap_harness::{Fleet, until};

use crate::ENTRY;
use crate::caller::{Call, FLUX, NARRATION, TALE};
use crate::watch::{runs, until_claim};

#[rstest]
#[case::refuses(json!({"table_down": true}))]
#[case::everything_refuses(json!({"down": true}))]
#[case::hangs(json!({"delay_ms": 10_000, "late_writes_ms": 10_000}))]
#[case::loses_requests(json!({"lose_requests": 1_000}))]
#[actix_rt::test]
async fn without_the_table_it_is_refused_as_not_run(
    #[case] faults: Value,
    #[values(NARRATION, FLUX)] call: Call<'static>,
) {
    let fleet = Fleet::start(ENTRY, 2).await;
    fleet.platform.fault(faults).await;
    let refused = call.send(&fleet.entries[0]).await;
    assert_eq!(refused.end(), "platform_out not_run");
    assert!(refused.retry_after);
    assert_eq!(runs(&fleet).await, 0);
    let calm = json!({
        "table_down": false, "down": false, "delay_ms": 0, "late_writes_ms": 0, "lose_requests": 0
    });
    fleet.platform.fault(calm).await;
    let retried = async || Some(call.send(&fleet.entries[1]).await).filter(|one| one.status == 200);
    until("a retry elsewhere is run", retried).await;
    assert_eq!(runs(&fleet).await, 1);
}

/// The claim is written after its submission was given up: its entry takes it back.
#[actix_rt::test]
async fn a_claim_that_lands_late_is_taken_back() {
    let fleet = Fleet::start(ENTRY, 2).await;
    fleet
        .platform
        .fault(json!({"late_writes_ms": 4_000, "stale_reads_ms": 60_000}))
        .await;
    let refused = NARRATION.send(&fleet.entries[0]).await;
    assert_eq!(refused.end(), "platform_out not_run");
    fleet.platform.fault(json!({"stale_reads_ms": 0})).await;
    until_claim(&fleet, NARRATION.identity, Value::is_object).await;
    assert_eq!(runs(&fleet).await, 0);
    fleet.platform.fault(json!({"late_writes_ms": 0})).await;
    let answer = NARRATION.send(&fleet.entries[1]).await;
    assert_eq!(answer.text(), TALE);
    assert_eq!(runs(&fleet).await, 1);
}

#[rstest]
#[case::its_entry_answers(false, "200")]
#[case::its_entry_died(true, "platform_out may_have_run")]
#[actix_rt::test]
async fn without_the_table_a_retry_elsewhere_asks_the_other_entries(
    #[case] kill: bool,
    #[case] end: &str,
    #[values(NARRATION, FLUX)] call: Call<'static>,
) {
    let mut fleet = Fleet::start(ENTRY, 3).await;
    let one = call.send(&fleet.entries[0]).await;
    assert_eq!(one.end(), "200");
    fleet.platform.fault(json!({"down": true})).await;
    if kill {
        fleet.entries[0].kill();
    }
    let retry = call.send(&fleet.entries[1]).await;
    assert_eq!(retry.end(), end);
    assert_eq!(call.collect(&fleet.entries[2]).await.end(), end);
    assert_eq!(runs(&fleet).await, 1);
}
