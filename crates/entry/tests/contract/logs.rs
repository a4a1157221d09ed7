//! One line for each request in the log, without keys, prompts or answers.

use serde_json::{Value, json};
use woodgap_harness::{Stand, documents, until};

use crate::exchange::{Exchange, request};
use crate::raw::Raw;
use crate::site::{Plan, Site, engine, service};

/// Stands in every prompt, body, key and answer that must not be logged.
const SECRET: &str = "grandmother";

/// An engine that sends the prompt where a number should be.
const GARBAGE: &str = concat!(
    "HTTP/1.1 200 OK\r\nx-woodgap-request: {id}\r\ntransfer-encoding: chunked\r\n\r\n{chunked}",
    "id: 1\ndata: {\"created\":\"grandmother\",\"choices\":[]}\n\n"
);

fn question(stream: bool) -> Value {
    json!({
        "model": documents::MODEL, "stream": stream,
        "prompt": format!("echo={SECRET} len=5"),
    })
}

/// What the entry has logged on requests that ended.
fn ended(site: &Site) -> Vec<Value> {
    let log = site.entry.log();
    let lines = log.lines().map(|line| serde_json::from_str(line).unwrap());
    lines
        .filter(|line: &Value| line["message"] == "request ended")
        .collect()
}

#[actix_rt::test]
async fn no_secret_is_logged() {
    let site = Site::start(Plan {
        endpoints: vec![Stand::engine(engine()), Stand::service(service())],
        raw: vec![Raw::new(&[GARBAGE]).await],
        settings: json!({"log_level": "trace"}),
    })
    .await;
    for stream in [true, false] {
        // Both endpoints of the model get some of them.
        for _ in 0..10 {
            site.ask("caption", &question(stream)).await;
            site.ask("narration", &question(stream)).await;
        }
    }
    for faults in [
        json!({}),
        json!({"cut_after_run": 1}),
        json!({"cut_answer": 1}),
    ] {
        site.endpoints[1].fault(faults).await;
        site.call("flux", &format!("x?tag={SECRET}")).await;
    }
    let requests = [
        request(
            "POST /v1/completions",
            "",
            &question(true).to_string()[..30],
        ),
        request(
            "POST /v1/completions",
            "",
            &format!("{{\"model\":{{\"{SECRET}\":1}}}}"),
        ),
        request("GET /v1/models", "", "").replace(documents::MURPHY, SECRET),
        request(&format!("GET /{SECRET}"), "", ""),
        format!("{SECRET}\r\n\r\n"),
    ];
    for bytes in requests {
        let mut exchange = Exchange::open(&site).await;
        exchange.write(bytes.as_bytes()).await;
        exchange.end().await;
    }
    until("all are logged", async || {
        (ended(&site).len() == 43).then_some(())
    })
    .await;
    let log = site.entry.log();
    for secret in [
        SECRET,
        documents::MURPHY,
        documents::OPERATOR,
        documents::FLEET_KEY,
    ] {
        assert!(!log.contains(secret), "{secret} is logged");
    }
}

#[actix_rt::test]
async fn the_line_of_a_request() {
    let site = Site::new(vec![Stand::engine(engine())]).await;
    site.fault(&json!({"crash_after_tokens": 2})).await;
    site.ask("caption", &question(true)).await;
    until("it is logged", async || {
        (ended(&site).len() == 1).then_some(())
    })
    .await;
    let mut line = ended(&site).remove(0);
    for varying in ["timestamp", "file", "line"] {
        line.as_object_mut().unwrap().remove(varying);
    }
    insta::assert_json_snapshot!(line, {
        ".kvs.request" => "[id]", ".kvs.endpoint" => "[name]", ".kvs.latency_ms" => "[ms]", ".kvs.permit_us" => "[us]",
    }, @r#"
    {
      "kvs": {
        "attempts": 2,
        "class": "caption",
        "code": "",
        "end": "complete",
        "endpoint": "[name]",
        "latency_ms": "[ms]",
        "permit_us": "[us]",
        "request": "[id]",
        "target": "story-7b",
        "tier": 2,
        "tokens": 6,
        "verdict": "ran",
        "workspace": "murphy"
      },
      "level": "INFO",
      "message": "request ended",
      "target": "woodgap_entry::request::account"
    }
    "#);
}
