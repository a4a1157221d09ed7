//! What requests cost the platform, and their callers in time; the second is only
//! printed (`--nocapture`).

use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use futures_util::future::join_all;
use rstest::rstest;
use serde_json::{Value, json};
use woodgap_harness::{Fleet, until};

use crate::ENTRY;
use crate::caller::{CAPTION, Call, NARRATION};
use crate::issued::issue;

/// Requests of each case.
const REQUESTS: u64 = 100;
/// Between two requests that are sent one at a time: some twenty a second.
const PAUSE: Duration = Duration::from_millis(50);
/// Rows that the entry may write for other reasons meanwhile: counts for reports.
const OTHER_ROWS: u64 = 10;

async fn counts(fleet: &Fleet) -> [u64; 3] {
    let counts = fleet.platform.get("/fake/counts").await;
    let count = |name: &str| counts[name].as_u64().unwrap();
    [
        count("transactions"),
        count("writes"),
        count("object_writes"),
    ]
}

/// Sends this many at once until all are sent; the median time in ms.
async fn send(fleet: &Fleet, call: Call<'_>, at_once: usize, issued: bool) -> f64 {
    let mut times = Vec::new();
    let numbers: Vec<u64> = (0..REQUESTS).collect();
    for numbers in numbers.chunks(at_once) {
        let mut identities: Vec<String> = Vec::new();
        for number in numbers {
            identities.push(if issued {
                issue(fleet, 0).await
            } else {
                format!("n-{number}")
            });
        }
        let calls = identities.iter().map(|identity| async move {
            let identity = if call.identity.is_empty() {
                ""
            } else {
                identity
            };
            let started = Instant::now();
            let answer = Call { identity, ..call }.send(&fleet.entries[0]).await;
            assert_eq!(answer.end(), "200");
            started.elapsed().as_secs_f64() * 1_000.0
        });
        times.extend(join_all(calls).await);
        if at_once == 1 {
            sleep(PAUSE).await;
        }
    }
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// Rows and objects written for each request, by how it is made sure that it runs
/// at most once.
#[rstest]
#[case::repeatable(Call { identity: "", ..CAPTION }, false, 0, 0)]
#[case::claimed(NARRATION, false, 2, 1)]
#[case::issued(NARRATION, true, 0, 0)]
#[actix_rt::test]
async fn writes_of_a_request(
    #[case] call: Call<'static>,
    #[case] issued: bool,
    #[case] rows: u64,
    #[case] objects: u64,
    #[values(1, 50)] at_once: usize,
) {
    let fleet = Fleet::start(ENTRY, 1).await;
    let before = counts(&fleet).await;
    let median = send(&fleet, call, at_once, issued).await;
    let written = until("all claims are closed", async || {
        let now = counts(&fleet).await;
        let written = [0, 1, 2].map(|index| now[index] - before[index]);
        let all = written[1] >= rows * REQUESTS && written[2] >= objects * REQUESTS;
        all.then_some(written)
    })
    .await;
    let [transactions, written_rows, written_objects] = written;
    let line = json!({
        "class": call.class, "issued": issued, "at_once": at_once, "requests": REQUESTS,
        "median_ms": median, "transactions": transactions, "rows": written_rows,
        "objects": written_objects,
    });
    println!("{}", Value::to_string(&line));
    assert!(written_rows <= rows * REQUESTS + OTHER_ROWS);
    assert_eq!(written_objects, objects * REQUESTS);
}
