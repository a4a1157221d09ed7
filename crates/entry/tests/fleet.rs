//! The whole path through real entries: the least that every other test builds on.

use awc::Client;
use serde_json::{Value, json};
use woodgap_harness::{Fleet, documents};

const ENTRY: &str = env!("CARGO_BIN_EXE_woodgap-entry");

#[actix_rt::test]
async fn a_model_answers_through_every_entry() {
    let fleet = Fleet::start(ENTRY, 3).await;
    for entry in &fleet.entries {
        let call = Client::default()
            .post(entry.url("/v1/completions"))
            .bearer_auth(documents::MURPHY);
        let body = json!({"model": documents::MODEL, "prompt": "len=2 echo=tale"});
        let mut response = call.send_json(&body).await.unwrap();
        assert!(response.status().is_success(), "{response:?}");
        let answer: Value = response.json().await.unwrap();
        assert_eq!(answer["choices"][0]["text"], "tale:1 tale:2 ");
    }
    assert_eq!(fleet.engine.started().await.len(), 3);
}
