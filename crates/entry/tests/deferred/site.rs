//! A fleet with a workspace that may defer, its requests, and what became of them.

use std::collections::BTreeMap;

use awc::Client;
use awc::http::StatusCode;
use serde_json::{Value, json};
use woodgap_entry::caller::authority::digest;
use woodgap_harness::{Entry, Fleet, documents, until};

const ENTRY: &str = env!("CARGO_BIN_EXE_woodgap-entry");
/// The key of the workspace that may defer.
pub const KEY: &str = "archive-key";

/// A short lease, so that a dead holder's work waits a short time only.
fn settings(settings: &mut Value) {
    settings["platform"]["timeout_ms"] = json!(400);
    settings["lease"] = json!({"duration_ms": 1_500});
    settings["orders"] = json!({"send_timeout_ms": 500});
    settings["deferred"] = json!({"poll_ms": 100});
}

/// Starts entries, and submits a workspace whose classes may be deferred: `tale`
/// may be repeated, `memorial` may not, `caption` may not be deferred.
pub async fn start(entries: usize) -> Fleet {
    let fleet = Fleet::with(ENTRY, entries, settings).await;
    let class = |repeatable: bool, deferrable: bool| {
        json!({"targets": [documents::MODEL], "target_ms": 60_000,
               "repeatable": repeatable, "deferrable": deferrable})
    };
    let template = json!({"kind": "template", "name": "archive", "tier": 3, "classes": {
        "caption": class(true, false), "memorial": class(false, true), "tale": class(true, true)}});
    let workspace = json!({"kind": "workspace", "name": "archive", "template": "archive",
                           "keys": [digest(KEY)]});
    for (number, document) in [template, workspace].into_iter().enumerate() {
        let change = json!({"change": format!("archive-{number}"), "document": document});
        let call = Client::default()
            .post(fleet.entries[0].url("/admin/v1/apply"))
            .bearer_auth(documents::OPERATOR);
        assert!(call.send_json(&change).await.unwrap().status().is_success());
    }
    for entry in &fleet.entries {
        until("the workspace is known", async || {
            let models = Client::default().get(entry.url("/v1/models"));
            let answer = models.bearer_auth(KEY).send().await.ok()?;
            answer.status().is_success().then_some(())
        })
        .await;
    }
    fleet
}

/// What an entry answered.
#[derive(Debug, PartialEq)]
pub struct Answer {
    pub status: StatusCode,
    pub body: Value,
}

/// Submits a request to be deferred; none if the entry did not answer.
pub async fn submit(
    entry: &Entry,
    class: &str,
    identity: Option<&str>,
    prompt: &str,
) -> Option<Answer> {
    let mut call = Client::builder()
        .disable_timeout()
        .finish()
        .post(entry.url("/v1/deferred/completions"))
        .bearer_auth(KEY)
        .insert_header(("x-woodgap-class", class));
    if let Some(identity) = identity {
        call = call.insert_header(("idempotency-key", identity));
    }
    let body = json!({"model": documents::MODEL, "prompt": prompt});
    let mut response = call.send_json(&body).await.ok()?;
    Some(Answer {
        status: response.status(),
        body: response.json().await.ok()?,
    })
}

/// Sends an ordinary request with an identity.
pub async fn run(entry: &Entry, class: &str, identity: &str, prompt: &str) -> Answer {
    let call = Client::default()
        .post(entry.url("/v1/completions"))
        .bearer_auth(KEY)
        .insert_header(("x-woodgap-class", class))
        .insert_header(("idempotency-key", identity));
    let body = json!({"model": documents::MODEL, "prompt": prompt});
    let mut response = call.send_json(&body).await.unwrap();
    Answer {
        status: response.status(),
        body: response.json().await.unwrap(),
    }
}

/// Asks how far a request has come; none if the entry did not answer.
pub async fn collect(entry: &Entry, key: &str, identity: &str) -> Option<Answer> {
    let call = Client::default()
        .get(entry.url(&format!("/v1/answers/{identity}")))
        .bearer_auth(key);
    let mut response = call.send().await.ok()?;
    Some(Answer {
        status: response.status(),
        body: response.json().await.ok()?,
    })
}

/// Requests by identity, with their class.
pub type Jobs = BTreeMap<String, &'static str>;

/// Submits requests of both classes, over all entries in turn, and again as long
/// as they may not be recorded.
pub async fn submit_all(fleet: &Fleet, name: &str, count: usize, tokens: u32) -> Jobs {
    let mut jobs = Jobs::new();
    for number in 0..count {
        let class = ["tale", "memorial"][number % 2];
        let identity = format!("{class}-{name}-{number}");
        let entry = &fleet.entries[number % fleet.entries.len()];
        let prompt = format!("len={tokens} echo={identity}");
        until("the request is recorded", async || {
            let answer = submit(entry, class, Some(&identity), &prompt).await?;
            let out = answer.status == StatusCode::SERVICE_UNAVAILABLE;
            assert!(out || answer.status == StatusCode::ACCEPTED, "{answer:?}");
            (!out).then_some(())
        })
        .await;
        jobs.insert(identity, class);
    }
    jobs
}

/// Waits for the end of each request and returns what its caller is told.
pub async fn ends(entry: &Entry, jobs: &Jobs) -> BTreeMap<String, Value> {
    let mut ends = BTreeMap::new();
    for identity in jobs.keys() {
        let end = until("the request ends", async || {
            let told = collect(entry, KEY, identity).await?.body;
            matches!(told["state"].as_str(), Some("done" | "failed")).then_some(told)
        })
        .await;
        ends.insert(identity.clone(), end);
    }
    ends
}

/// Compares what callers are told with what the engine ran.
pub async fn check(fleet: &Fleet, jobs: &Jobs, ends: &BTreeMap<String, Value>, tokens: u32) {
    let started = fleet.engine.started().await;
    for (identity, class) in jobs {
        let mine = started.iter().filter(|run| run["prompt_tag"] == **identity);
        let fresh = mine.clone().filter(|run| run["resumed_from"].is_null());
        let (end, runs) = (&ends[identity], mine.count());
        if *class == "memorial" {
            assert!(runs <= 1, "{identity} ran {runs} times");
        }
        if end["state"] == "done" {
            let words: Vec<String> = (1..=tokens).map(|n| format!("{identity}:{n} ")).collect();
            let text = words.concat();
            assert_eq!(end["answer"]["choices"][0]["text"], text);
            assert!(fresh.count() >= 1, "{identity} was answered and never ran");
        } else {
            assert_eq!(*class, "memorial", "given up: {end}");
            assert_eq!(end["verdict"], "may_have_run", "{end}");
        }
    }
}

/// The jobs that an entry has started, as the table service has them.
pub async fn started_by(fleet: &Fleet, entry: &Entry) -> Vec<Value> {
    let call = Client::default().post(fleet.platform.url("/table/v1/scan"));
    let scan = json!({"table": "deferred_jobs", "limit": 1_000});
    let rows: Value = call.send_json(&scan).await.unwrap().json().await.unwrap();
    let rows = rows
        .as_array()
        .unwrap()
        .iter()
        .map(|row| row["value"].clone());
    let mine = |job: &Value| job["stage"]["holder"]["entry"] == entry.name.as_str();
    rows.filter(mine).collect()
}

/// Waits until an entry runs a request of each class at the engine.
pub async fn until_it_runs(fleet: &Fleet, entry: &Entry) {
    until("the entry runs both kinds", async || {
        let jobs = started_by(fleet, entry).await;
        let record = fleet.engine.started().await;
        let runs = |class: &str| {
            let mut mine = jobs.iter().filter(|job| job["class"] == class);
            mine.any(|job| {
                record
                    .iter()
                    .any(|run| run["prompt_tag"] == job["identity"])
            })
        };
        (runs("tale") && runs("memorial")).then_some(())
    })
    .await;
}
