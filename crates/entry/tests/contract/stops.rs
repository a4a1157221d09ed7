//! When an entry is told to stop.

use std::time::Duration;

use serde_json::{Value, json};
use woodgap_harness::{Stand, documents, until};

use crate::site::{Plan, Site, engine};

/// How long the entry stands still.
const STILL: Duration = Duration::from_secs(2);

async fn site() -> Site {
    Site::start(Plan {
        endpoints: vec![Stand::engine(engine())],
        settings: json!({"grace_s": 8}),
        ..Plan::default()
    })
    .await
}

/// What the entry has logged with this message.
fn logged(site: &Site, message: &str) -> Option<Value> {
    let log = site.entry.log();
    let mut lines = log
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok());
    lines.find(|line: &Value| line["message"] == message)
}

/// An entry that stood still when it was told to stop has less time left than it seems: its
/// grace counts from before that, and nothing is begun that would be cut off.
#[actix_rt::test]
async fn a_stop_that_is_noticed_late_counts_from_before() {
    let mut site = site().await;
    site.entry.freeze();
    site.entry.stop();
    actix_rt::time::sleep(STILL).await;
    site.entry.wake();
    let told = until("it notices the stop", async || {
        logged(&site, "told to stop: finishing what runs")
    })
    .await;
    let noticed = told["kvs"]["noticed_ms"].as_u64().unwrap_or_default();
    assert!(noticed >= 2_000, "{told}");
    assert_eq!(site.entry.wait(), Some(0));
}

/// Its settings hold until the next start; a hangup says so, and ends nothing.
#[actix_rt::test]
async fn a_hangup_ends_nothing() {
    let site = site().await;
    site.entry.reload();
    until("it has been told", async || {
        logged(
            &site,
            "told to reload: the settings hold until the next start",
        )
    })
    .await;
    let question = json!({"model": documents::MODEL, "prompt": "len=5"});
    assert_eq!(site.ask("caption", &question).await.status, 200);
}
