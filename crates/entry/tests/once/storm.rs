//! Callers that retry as they are told, while entries die and freeze and the table
//! service fails, also together: whatever each is told in the end agrees with the
//! endpoints' record.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_rt::{spawn, time::sleep};
use awc::Client;
use futures_util::future::join_all;
use rstest::rstest;
use serde_json::{Value, json};
use woodgap_harness::Fleet;

use crate::ENTRY;
use crate::caller::{Answer, Call, FLUX, NARRATION};

/// Callers, each with a request of its own.
const CALLERS: usize = 80;
/// Between the starts of two callers.
const STAGGER: Duration = Duration::from_millis(50);
/// Between a caller's attempts.
const PAUSE: Duration = Duration::from_millis(200);
/// Attempts of one caller: they outlast the storm.
const ATTEMPTS: usize = 60;
/// How long each state of the storm lasts.
const GUST: Duration = Duration::from_millis(400);

/// Where the callers find everything, also after restarts.
#[derive(Clone)]
struct Site {
    entries: Arc<Mutex<Vec<SocketAddr>>>,
    engine: SocketAddr,
    service: SocketAddr,
}

impl Site {
    fn of(fleet: &Fleet) -> Self {
        let entries = fleet.entries.iter().map(|entry| entry.address).collect();
        Self {
            entries: Arc::new(Mutex::new(entries)),
            engine: fleet.engine.address,
            service: fleet.service.address,
        }
    }

    /// The runs of a request that were started.
    async fn runs(&self, tag: &str) -> usize {
        let mut count = 0;
        for (address, name) in [(self.engine, "prompt_tag"), (self.service, "tag")] {
            let call = Client::default().get(format!("http://{address}/fake/record"));
            let mut response = call.send().await.unwrap();
            let record: Vec<Value> = response.json().limit(1 << 24).await.unwrap();
            let runs = record.iter().filter(|run| run["started_ms"].is_number());
            count += runs.filter(|run| run[name] == tag).count();
        }
        count
    }
}

/// Sends one request until its end is certain, each time through the next entry.
async fn carry_through(number: usize, site: Site) -> (String, Answer) {
    sleep(STAGGER * u32::try_from(number).unwrap()).await;
    let (call, text) = if number.is_multiple_of(2) {
        (NARRATION, format!("len=3 echo=own{number}"))
    } else {
        (FLUX, format!("tag=own{number}"))
    };
    let identity = format!("own{number}");
    let call = Call {
        identity: &identity,
        text: &text,
        ..call
    };
    let mut answer = Answer::default();
    for attempt in 0..ATTEMPTS {
        let address = {
            let addresses = site.entries.lock().unwrap();
            addresses[(number + attempt) % addresses.len()]
        };
        answer = call.send_to(address).await;
        if answer.verdict == "not_run" {
            assert_eq!(site.runs(&identity).await, 0, "{identity}: {answer:?}");
        }
        if is_end(&answer) {
            break;
        }
        sleep(PAUSE).await;
    }
    (identity, answer)
}

/// Whether the caller is told not to come back.
fn is_end(answer: &Answer) -> bool {
    let come_back = answer.verdict == "not_run" || answer.retry_after;
    answer.status == 200 || (answer.status != 0 && !come_back)
}

async fn fault(fleet: &Fleet, faults: Value) {
    fleet.platform.fault(faults).await;
    sleep(GUST).await;
}

/// An entry dies, with the table out or not, and another life takes its name.
async fn death(fleet: &mut Fleet, site: &Site, index: usize, faults: Value) {
    fleet.platform.fault(faults).await;
    fleet.restart(index);
    site.entries.lock().unwrap()[index] = fleet.entries[index].address;
    // Long enough that callers who retry are refused meanwhile.
    sleep(GUST * 3).await;
    let calm = json!({"table_down": false, "delay_ms": 0, "late_writes_ms": 0});
    fleet.platform.fault(calm).await;
    fleet.list().await;
    sleep(GUST).await;
}

/// An entry stops where it stands, with the table out or not, and goes on.
async fn freeze(fleet: &Fleet, index: usize, faults: Value) {
    fleet.entries[index].freeze();
    fault(fleet, faults).await;
    sleep(GUST).await;
    fleet
        .platform
        .fault(json!({"table_down": false, "delay_ms": 0}))
        .await;
    fleet.entries[index].wake();
    sleep(GUST).await;
}

async fn storm(fleet: &mut Fleet, site: &Site) {
    fault(fleet, json!({"lose_acks": 5, "lose_requests": 3})).await;
    freeze(fleet, 0, json!({})).await;
    death(fleet, site, 1, json!({})).await;
    freeze(fleet, 2, json!({"table_down": true})).await;
    death(fleet, site, 0, json!({"table_down": true})).await;
    fault(fleet, json!({"late_writes_ms": 1_500})).await;
    death(fleet, site, 2, json!({"lose_acks": 5})).await;
    freeze(fleet, 1, json!({"delay_ms": 900})).await;
}

#[rstest]
#[actix_rt::test]
async fn what_callers_are_told_agrees_with_what_ran() {
    let mut fleet = Fleet::start(ENTRY, 3).await;
    fleet.engine.fault(json!({"late_ms": 500})).await;
    fleet.service.fault(json!({"slow": 100.0})).await;
    let site = Site::of(&fleet);
    let callers = (0..CALLERS).map(|number| carry_through(number, site.clone()));
    let callers = spawn(join_all(callers));
    storm(&mut fleet, &site).await;
    let ends = callers.await.unwrap();
    let mut counts = BTreeMap::<String, usize>::new();
    for (tag, answer) in &ends {
        let ran = site.runs(tag).await;
        let end = if answer.status == 200 {
            "complete"
        } else {
            &answer.verdict
        };
        *counts.entry(end.to_owned()).or_default() += 1;
        match end {
            "complete" => assert_eq!(ran, 1, "{tag}: {answer:?}"),
            "not_run" => assert_eq!(ran, 0, "{tag}: {answer:?}"),
            "may_have_run" | "ran" => assert!(ran <= 1, "{tag}: {answer:?}"),
            _ => panic!("{tag}: {answer:?}"),
        }
    }
    println!("{counts:?}");
    assert!(counts["complete"] > CALLERS / 2, "{counts:?}");
}
