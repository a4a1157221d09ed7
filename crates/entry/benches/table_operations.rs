//! Counts what background work asks of the platform: idle, and for each job.
//!
//! `cargo bench -p woodgap-entry --bench table_operations` takes about six minutes,
//! most of them waiting, and prints one JSON line for each case.

use std::time::{Duration, Instant};

use awc::Client;
use serde_json::{Value, json};
use woodgap_entry::caller::authority::digest;
use woodgap_harness::{Fleet, documents, until};

const ENTRY: &str = env!("CARGO_BIN_EXE_woodgap-entry");
/// The key of the workspace that defers.
const KEY: &str = "archive-key";
/// How long an idle fleet is watched.
const IDLE: Duration = Duration::from_mins(1);
/// Jobs of one case.
const JOBS: u32 = 120;
/// The tables that calls of background work name first.
const TABLES: [&str; 6] = [
    "deferred",
    "deferred_jobs",
    "deferred_ended",
    "leases",
    "fences",
    "orders",
];
/// How often this program looks whether all jobs have ended.
const LOOK: Duration = Duration::from_millis(200);

#[actix_rt::main]
async fn main() {
    // `cargo test --all-targets` runs benches too, for their compilation only.
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    for entries in [3, 6] {
        let fleet = start(entries).await;
        idle(&fleet, entries).await;
        for pause in [1_000, 100, 0] {
            jobs(&fleet, entries, Duration::from_millis(pause)).await;
        }
    }
}

/// Default settings; a workspace that may defer.
async fn start(entries: usize) -> Fleet {
    let fleet = Fleet::with(ENTRY, entries, |settings| {
        settings["platform"]["poll_ms"] = json!(1_000);
    })
    .await;
    let class = |repeatable: bool| {
        json!({"targets": [documents::MODEL], "target_ms": 60_000,
               "repeatable": repeatable, "deferrable": true})
    };
    let classes = json!({"memorial": class(false), "tale": class(true)});
    let template = json!({"kind": "template", "name": "archive", "tier": 3, "classes": classes});
    let workspace = json!({"kind": "workspace", "name": "archive", "template": "archive",
                           "keys": [digest(KEY)]});
    for (number, document) in [template, workspace].into_iter().enumerate() {
        let change = json!({"change": format!("archive-{number}"), "document": document});
        let call = Client::default().post(fleet.entries[0].url("/admin/v1/apply"));
        let call = call.bearer_auth(documents::OPERATOR).send_json(&change);
        assert!(call.await.expect("it answers").status().is_success());
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

/// What the tables of background work were asked for since some counts.
fn since(before: &Value, after: &Value) -> Value {
    let count = |counts: &Value, kind: &str| {
        // Only this program scans the receipts.
        let own = |table: &&&str| kind == "scans" && **table == "deferred";
        let tables = TABLES.iter().filter(|table| !own(table));
        let tables = tables.map(|table| &counts["tables"][table][kind]);
        tables.filter_map(Value::as_u64).sum::<u64>()
    };
    let difference = |kind: &str| count(after, kind) - count(before, kind);
    let objects = |kind: &str| after[kind].as_u64().unwrap() - before[kind].as_u64().unwrap();
    json!({
        "transactions": difference("transactions"),
        "rows_written": difference("writes"),
        "reads": difference("reads"),
        "scans": difference("scans"),
        "object_writes": objects("object_writes"),
        "object_reads": objects("object_reads"),
    })
}

async fn idle(fleet: &Fleet, entries: usize) {
    let before = fleet.platform.get("/fake/counts").await;
    tokio::time::sleep(IDLE).await;
    let after = fleet.platform.get("/fake/counts").await;
    let line = json!({"case": "idle", "entries": entries, "seconds": IDLE.as_secs(),
                      "calls": since(&before, &after)});
    println!("{line}");
}

/// Submits jobs with a pause between, and waits until all have ended.
async fn jobs(fleet: &Fleet, entries: usize, pause: Duration) {
    let before = fleet.platform.get("/fake/counts").await;
    let begun = Instant::now();
    let name = format!("{}-{}", entries, pause.as_millis());
    for number in 0..JOBS {
        submit(fleet, &name, number).await;
        tokio::time::sleep(pause).await;
    }
    until("all jobs have ended", async || {
        tokio::time::sleep(LOOK).await;
        let ended = ended(fleet, &name).await;
        (ended == JOBS as usize).then_some(())
    })
    .await;
    let after = fleet.platform.get("/fake/counts").await;
    let line = json!({"case": "jobs", "entries": entries, "pause_ms": pause.as_millis(),
                      "jobs": JOBS, "seconds": begun.elapsed().as_secs_f64(),
                      "calls": since(&before, &after)});
    println!("{line}");
}

async fn submit(fleet: &Fleet, name: &str, number: u32) {
    let class = ["tale", "memorial"][number as usize % 2];
    let entry = &fleet.entries[number as usize % fleet.entries.len()];
    let body = json!({"model": documents::MODEL, "prompt": "len=200 echo=t"});
    let call = Client::default()
        .post(entry.url("/v1/deferred/completions"))
        .bearer_auth(KEY)
        .insert_header(("x-woodgap-class", class))
        .insert_header(("idempotency-key", format!("{name}-{number}")));
    let response = call.send_json(&body).await.expect("it answers");
    assert_eq!(response.status(), 202, "{response:?}");
}

/// How many of the jobs have ended.
async fn ended(fleet: &Fleet, name: &str) -> usize {
    let call = Client::default().post(fleet.platform.url("/table/v1/scan"));
    let scan = json!({"table": "deferred", "prefix": format!("archive/{name}-"), "limit": 1_000});
    let mut response = call.send_json(&scan).await.expect("it answers");
    let rows: Value = response.json().limit(1 << 24).await.expect("rows");
    let rows = rows.as_array().expect("a list").iter();
    rows.filter(|row| row["value"]["end"].is_object()).count()
}
