//! What may not be repeated runs at most once, and `not_run` means that it did not
//! run: every answer is compared with the endpoints' own record.

#[path = "once/caller.rs"]
mod caller;

use serde_json::json;
use woodgap_harness::Fleet;

use caller::FLUX;

const ENTRY: &str = env!("CARGO_BIN_EXE_woodgap-entry");

/// An endpoint that closes the connection after it ran the call.
#[actix_rt::test]
async fn a_call_that_was_cut_off_is_not_sent_again() {
    let fleet = Fleet::start(ENTRY, 1).await;
    fleet.service.fault(json!({"cut_after_run": 1})).await;
    let answer = FLUX.send(&fleet.entries[0]).await;
    assert_eq!(answer.end(), "endpoint_failed may_have_run");
    assert_eq!(fleet.service.started().await.len(), 1);
}
