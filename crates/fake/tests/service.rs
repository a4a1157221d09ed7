//! The plain service's protocol: the echo, its faults and its record.

use awc::Client;
use rstest::rstest;
use serde_json::{Value, json};
use woodgap_fake::service::{self, Options};

#[rstest]
#[case::answered(json!({}), Some(200), &["complete"])]
#[case::refused(json!({"refuse": 1}), Some(503), &[])]
#[case::failed(json!({"fail_after_run": 1}), Some(500), &["crashed"])]
#[case::cut(json!({"cut_after_run": 1}), None, &["crashed"])]
#[case::cut_half_way(json!({"cut_answer": 1}), Some(200), &["crashed"])]
#[actix_rt::test]
async fn a_call_is_recorded_if_it_ran(
    #[case] faults: Value,
    #[case] status: Option<u16>,
    #[case] ends: &[&str],
) {
    let options = Options {
        name: "links".to_owned(),
        latency_ms: 1,
        slots: 1,
        report_lag_ms: 0,
        data_centre: "dub-a".to_owned(),
    };
    let bound = service::bind(([127, 0, 0, 1], 0).into(), options).unwrap();
    let base = format!("http://{}", bound.address);
    actix_rt::spawn(bound.server);
    let client = Client::default();
    let order = client.post(format!("{base}/fake/faults"));
    order.send_json(&faults).await.unwrap();

    let call = client.put(format!("{base}/some/path?tag=7"));
    let call = call.insert_header(("Idempotency-Key", "once"));
    let answer = call.send_body("body").await;
    let answered = answer.as_ref().ok().map(|answer| answer.status().as_u16());
    assert_eq!(answered, status);
    if let Ok(mut answer) = answer {
        let echo: Option<Value> = answer.json().await.ok();
        let expected = json!({
            "service": "links", "method": "PUT", "path": "/some/path",
            "query": "tag=7", "body_length": 4, "tag": "7",
        });
        assert_eq!(echo, (ends == ["complete"]).then_some(expected));
    }

    let record = client.get(format!("{base}/fake/record"));
    let runs: Vec<Value> = record.send().await.unwrap().json().await.unwrap();
    let recorded: Vec<&Value> = runs.iter().map(|run| &run["end"]).collect();
    assert_eq!(recorded, ends);
    assert!(runs.iter().all(|run| run["idempotency_key"] == "once"));
}
