//! What a test sees of the fleet beside the answers.

use serde_json::{Value, json};
use woodgap_harness::{Fleet, until};

/// Runs that the endpoints started, of model and service together.
pub async fn runs(fleet: &Fleet) -> usize {
    fleet.engine.started().await.len() + fleet.service.started().await.len()
}

/// Waits until the endpoints have started this many runs.
pub async fn until_runs(fleet: &Fleet, count: usize) {
    until("the run starts", async || {
        (runs(fleet).await == count).then_some(())
    })
    .await;
}

/// Waits until the claim of an identity of murphy's is as wanted.
pub async fn until_claim(fleet: &Fleet, identity: &str, wanted: impl Fn(&Value) -> bool) {
    let question = json!({"places": [{"table": "claims", "key": format!("murphy/{identity}")}]});
    until("the claim is as wanted", async || {
        let call = awc::Client::default().post(fleet.platform.url("/table/v1/read"));
        let rows: Value = call.send_json(&question).await.ok()?.json().await.ok()?;
        wanted(&rows[0]["value"]).then_some(())
    })
    .await;
}

pub fn has_ended(claim: &Value) -> bool {
    claim["end"].is_object()
}

/// Transactions that came to the table service.
pub async fn transactions(fleet: &Fleet) -> u64 {
    let counts = fleet.platform.get("/fake/counts").await;
    counts["transactions"].as_u64().unwrap()
}

pub async fn slow_endpoints(fleet: &Fleet) {
    fleet.engine.fault(json!({"late_ms": 700})).await;
    fleet.service.fault(json!({"slow": 140.0})).await;
}
