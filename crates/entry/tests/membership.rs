//! Entries that are killed, frozen, restarted, drained or stopped, and what the
//! others tell callers of it.

use awc::{Client, ClientResponse};
use futures_util::StreamExt;
use futures_util::future::join_all;
use rstest::rstest;
use serde_json::{Value, json};
use woodgap_harness::{Entry, Fleet, STUCK, documents, until};

const ENTRY: &str = env!("CARGO_BIN_EXE_woodgap-entry");

/// The addresses that an entry gives to callers, by name.
async fn listed(entry: &Entry) -> Option<Vec<(String, String)>> {
    let mut response = Client::default()
        .get(entry.url("/v1/entries"))
        .send()
        .await
        .ok()?;
    let answer: Value = response.json().await.ok()?;
    let text = |one: &Value, key: &str| one[key].as_str().map(str::to_owned);
    let entries = answer["entries"].as_array()?.iter();
    let mut listed: Vec<_> = entries
        .filter_map(|one| Some((text(one, "name")?, text(one, "url")?)))
        .collect();
    listed.sort();
    Some(listed)
}

/// Waits until an entry gives callers just these entries.
async fn lists(entry: &Entry, expected: &[&Entry]) {
    let mut expected: Vec<_> = expected
        .iter()
        .map(|entry| (entry.name.clone(), entry.url("")))
        .collect();
    expected.sort();
    let what = format!("{} lists {expected:?}", entry.name);
    until(&what, async || {
        (listed(entry).await? == expected).then_some(())
    })
    .await;
}

async fn status(entry: &Entry) -> Option<Value> {
    let call = Client::default().get(entry.url("/admin/v1/status"));
    let mut response = call.bearer_auth(documents::OPERATOR).send().await.ok()?;
    response.json().await.ok()
}

/// The state of an instance of a kind as an entry shows it to operators.
async fn state(entry: &Entry, kind: &str, name: &str) -> Option<String> {
    let status = status(entry).await?;
    let found = status[kind]
        .as_array()?
        .iter()
        .find(|one| one["name"] == name)?;
    Some(found["state"].as_str()?.to_owned())
}

async fn shows(entry: &Entry, kind: &str, name: &str, expected: &str) {
    let what = format!("{} shows {name} as {expected}", entry.name);
    until(&what, async || {
        (state(entry, kind, name).await? == expected).then_some(())
    })
    .await;
}

async fn drain(entry: &Entry, instance: &str) -> u16 {
    let call = Client::default().post(entry.url("/admin/v1/drain"));
    let call = call.bearer_auth(documents::OPERATOR);
    let response = call
        .send_json(&json!({"instance": instance}))
        .await
        .unwrap();
    response.status().as_u16()
}

/// Sends a streaming request with as many tokens as named.
async fn ask(entry: &Entry, tokens: u32) -> ClientResponse {
    let client = Client::builder().timeout(STUCK).finish();
    let call = client
        .post(entry.url("/v1/completions"))
        .bearer_auth(documents::MURPHY);
    let prompt = format!("len={tokens} echo=tale");
    let body = json!({"model": documents::MODEL, "prompt": prompt, "stream": true});
    call.send_json(&body).await.unwrap()
}

#[actix_rt::test]
async fn a_killed_entry_leaves_the_answers_of_the_others() {
    let mut fleet = Fleet::start(ENTRY, 3).await;
    fleet.entries[1].kill();
    let [first, _, third] = &fleet.entries[..] else {
        unreachable!()
    };
    lists(first, &[first, third]).await;
    lists(third, &[first, third]).await;
    shows(first, "entries", "entry-1", "gone").await;
}

#[actix_rt::test]
async fn a_frozen_entry_leaves_and_comes_back() {
    let fleet = Fleet::start(ENTRY, 3).await;
    let [first, second, third] = &fleet.entries[..] else {
        unreachable!()
    };
    second.freeze();
    lists(first, &[first, third]).await;
    lists(third, &[first, third]).await;
    second.wake();
    for entry in &fleet.entries {
        lists(entry, &[first, second, third]).await;
    }
}

#[actix_rt::test]
async fn a_restarted_entry_is_found_at_its_new_address() {
    let mut fleet = Fleet::start(ENTRY, 3).await;
    // The platform's list goes on naming the old address.
    fleet.restart(1);
    let [first, second, third] = &fleet.entries[..] else {
        unreachable!()
    };
    for entry in &fleet.entries {
        lists(entry, &[first, second, third]).await;
    }
    shows(third, "entries", "entry-1", "live").await;
}

#[actix_rt::test]
async fn a_planned_stop_cuts_off_nothing() {
    let mut fleet = Fleet::start(ENTRY, 3).await;
    let [first, second, third] = &fleet.entries[..] else {
        unreachable!()
    };
    // Far longer than anything here takes, until the engine is told to hurry.
    fleet.engine.fault(json!({"slow": 500.0})).await;
    let mut answer = ask(second, 1_000).await;
    assert!(answer.status().is_success());
    second.stop();
    lists(first, &[first, third]).await;
    lists(third, &[first, third]).await;
    let mut refused = ask(second, 1).await;
    assert_eq!(refused.status().as_u16(), 503);
    let body: Value = refused.json().await.unwrap();
    assert_eq!(body["error"]["code"], "stopping");
    assert_eq!(body["error"]["verdict"], "not_run");
    let message = body["error"]["message"].as_str().unwrap();
    let elsewhere = message.contains(&first.url("")) || message.contains(&third.url(""));
    assert!(elsewhere, "{message}");
    fleet.engine.fault(json!({"slow": 1.0})).await;
    let mut text = Vec::new();
    while let Some(bytes) = answer.next().await {
        text.extend(bytes.unwrap());
    }
    let text = String::from_utf8(text).unwrap();
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert!(text.contains("id: 1000\n"));
    assert_eq!(fleet.entries[1].wait(), Some(0));
    let [first, _, _] = &fleet.entries[..] else {
        unreachable!()
    };
    shows(first, "entries", "entry-1", "gone").await;
}

/// A short grace, though longer than most answers.
fn short_grace(settings: &mut Value) {
    settings["grace_s"] = json!(8);
}

/// The rest of an answer, or what came of it until the connection broke.
async fn rest<S>(mut answer: ClientResponse<S>) -> String
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut text = Vec::new();
    while let Some(Ok(bytes)) = answer.next().await {
        text.extend(bytes);
    }
    String::from_utf8(text).unwrap()
}

async fn runs(fleet: &Fleet) -> usize {
    fleet.engine.started().await.len()
}

/// What waits for a place when the stop begins is told to go elsewhere, and has not run;
/// what runs until the end is told that it may have.
#[actix_rt::test]
async fn nobody_is_left_without_an_answer() {
    let mut fleet = Fleet::with(ENTRY, 2, short_grace).await;
    let entry = &fleet.entries[0];
    fleet.engine.fault(json!({"slow": 1_000.0})).await;
    let running = join_all((0..8).map(|_| ask(entry, 1_000))).await;
    let waiting = async {
        let client = Client::builder().timeout(STUCK).finish();
        let call = client.post(entry.url("/v1/completions"));
        let call = call
            .insert_header(("x-woodgap-class", "narration"))
            .insert_header(("idempotency-key", "n-1"));
        let body = json!({"model": documents::MODEL, "prompt": "len=1"});
        let call = call.bearer_auth(documents::MURPHY).send_json(&body);
        call.await.expect("it is answered").json::<Value>().await
    };
    let stopping = async {
        // The claim is what comes just before the ask for a place.
        until("one is about to wait", async || {
            let call = Client::default().post(fleet.platform.url("/table/v1/scan"));
            let scan = json!({"table": "claims", "limit": 1});
            let rows: Value = call.send_json(&scan).await.ok()?.json().await.ok()?;
            (!rows.as_array()?.is_empty()).then_some(())
        })
        .await;
        entry.stop();
    };
    let (told, ()) = futures_util::future::join(waiting, stopping).await;
    let told = told.unwrap();
    assert_eq!(told["error"]["code"], "stopping");
    assert_eq!(told["error"]["verdict"], "not_run");
    assert_eq!(runs(&fleet).await, 8);
    for answer in running {
        let text = rest(answer).await;
        assert!(
            text.contains("\"stopping\"") && text.contains("\"may_have_run\""),
            "{text}"
        );
    }
    assert_eq!(fleet.entries[0].wait(), Some(0));
}

/// A run that breaks during a stop is not begun anew, if that may not end in time.
#[actix_rt::test]
async fn no_second_attempt_that_may_be_cut_off() {
    let fleet = Fleet::with(ENTRY, 1, short_grace).await;
    let entry = &fleet.entries[0];
    let faults = json!({"slow": 500.0, "truncate": 1});
    fleet.engine.fault(faults).await;
    let answer = ask(entry, 1_000).await;
    let begun = fleet.engine.started().await;
    let [run] = &begun[..] else {
        panic!("{begun:?}")
    };
    entry.stop();
    until("it refuses new work", async || {
        (ask(entry, 1).await.status() == 503).then_some(())
    })
    .await;
    fleet.engine.fault(json!({"slow": 1.0})).await;
    let text = rest(answer).await;
    assert!(
        text.contains("\"stopping\"") && text.contains("\"may_have_run\""),
        "{text}"
    );
    // Until the entry has noticed its signal it takes what was asked meanwhile, which runs as well.
    let runs = fleet.engine.started().await;
    let same = runs.iter().filter(|it| it["request"] == run["request"]);
    assert_ne!(run["request"], "");
    assert_eq!(same.count(), 1, "{runs:?}");
}

#[actix_rt::test]
async fn a_second_signal_ends_the_stop() {
    let mut fleet = Fleet::start(ENTRY, 1).await;
    fleet.engine.fault(json!({"slow": 1_000.0})).await;
    let _answer = ask(&fleet.entries[0], 1_000).await;
    fleet.entries[0].stop();
    let entry = &fleet.entries[0];
    until("it refuses new work", async || {
        (ask(entry, 1).await.status() == 503).then_some(())
    })
    .await;
    entry.stop();
    assert_eq!(fleet.entries[0].wait(), Some(0));
}

#[rstest]
#[case::endpoint("endpoints", "engine")]
#[case::entry("entries", "entry-2")]
#[actix_rt::test]
async fn a_drain_is_known_everywhere(#[case] kind: &str, #[case] name: &str) {
    let fleet = Fleet::start(ENTRY, 3).await;
    let name = match name {
        "engine" => format!("engine-{}", fleet.engine.address.port()),
        name => name.to_owned(),
    };
    let [first, second, third] = &fleet.entries[..] else {
        unreachable!()
    };
    shows(first, kind, &name, "live").await;
    assert_eq!(drain(first, &name).await, 200);
    for entry in &fleet.entries {
        shows(entry, kind, &name, "leaving").await;
    }
    let mut refused = ask(third, 1).await;
    let body: Value = refused.json().await.unwrap();
    assert_eq!(refused.status().as_u16(), 503);
    assert_eq!(body["error"]["verdict"], "not_run");
    if kind == "entries" {
        lists(second, &[first, second]).await;
    }
}

#[actix_rt::test]
async fn what_is_not_there_can_t_be_drained() {
    let fleet = Fleet::start(ENTRY, 1).await;
    assert_eq!(drain(&fleet.entries[0], "engine-0").await, 404);
}

#[actix_rt::test]
async fn the_cost_of_control_is_shown() {
    let fleet = Fleet::start(ENTRY, 2).await;
    let control = status(&fleet.entries[0]).await.unwrap()["control"].clone();
    for key in [
        "cpu_us",
        "bytes_sent",
        "bytes_received",
        "messages_sent",
        "messages_received",
        "rss_kb",
    ] {
        assert!(control[key].as_u64().unwrap() > 0, "{key} of {control}");
    }
    assert_eq!(control["refused"], 0);
}
