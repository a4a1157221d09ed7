//! Whole runs against the stand-in for an engine, which speaks as an entry does
//! but for its errors: what goes wrong there must show in the totals.

use std::time::Duration;

use actix_rt::task::spawn_blocking;
use awc::Client;
use rstest::rstest;
use serde_json::{Value, json};
use woodgap_fake::options;
use woodgap_load::arrival::Bounds;
use woodgap_load::check;
use woodgap_load::event::Event;
use woodgap_load::record;
use woodgap_load::run::Plan;
use woodgap_load::totals::Totals;
use woodgap_load::traffic::{Kind, Traffic};

/// Requests of each run.
const SENT: usize = 20;

/// Starts a stand-in as its command line says.
fn start(arguments: &'static [&'static str]) -> String {
    let options = options::parser().run_inner(arguments).unwrap();
    let bound = woodgap_fake::bind(options).unwrap();
    let base = format!("http://{}", bound.address);
    actix_rt::spawn(bound.server);
    base
}

/// Starts an engine with these faults.
async fn engine(faults: Value) -> String {
    let base = start(&[
        "engine",
        "--models=m",
        "--slots=64",
        "--tokens-per-second=2000",
        "--first-token-ms=1",
    ]);
    fail(&base, faults).await;
    base
}

/// Starts a plain service with these faults.
async fn service(faults: Value) -> String {
    let base = start(&["service", "--name=s", "--slots=64", "--latency-ms=1"]);
    fail(&base, faults).await;
    base
}

async fn fail(base: &str, faults: Value) {
    let call = Client::default().post(format!("{base}/fake/faults"));
    let response = call.send_json(&faults).await.unwrap();
    assert!(response.status().is_success());
}

fn traffic(stream: bool, repeatable: bool) -> Traffic {
    let text = json!({"classes": [{
        "name": "captions", "workspace": "murphy", "key": "k", "class": "caption",
        "target": "m", "stream": stream, "rate_per_s": 200, "tokens": {"fixed": 10},
        "tier": 1, "target_ms": 60_000, "repeatable": repeatable, "identity": false,
    }]});
    Traffic::parse(&text.to_string()).unwrap()
}

async fn run(base: &str, traffic: Traffic, retries: u32) -> Vec<Event> {
    let plan = Plan {
        name: "r".to_owned(),
        entries: vec![base.to_owned()],
        traffic,
        seed: 1,
        bounds: Bounds {
            duration: None,
            count: Some(SENT),
        },
        threads: 2,
        callers: 2,
        retries,
        patience: Duration::from_mins(1),
        discovery: false,
    };
    spawn_blocking(move || plan.run())
        .await
        .unwrap()
        .unwrap()
        .events
}

fn shown(totals: &Totals) -> String {
    let Totals {
        sent,
        complete,
        may_have_run,
        broken_by_kill,
        lost,
        doubled,
        crossed,
        cut,
        ..
    } = totals;
    format!(
        "{complete} of {sent}, may {may_have_run}, broken {broken_by_kill}, lost {lost}, \
         doubled {doubled}, crossed {crossed}, cut {cut}"
    )
}

#[rstest]
#[case::none(json!({}), true, 0, "20 of 20, may 0, broken 0, lost 0, doubled 0, crossed 0, cut 0")]
#[case::whole(json!({}), false, 0, "20 of 20, may 0, broken 0, lost 0, doubled 0, crossed 0, cut 0")]
#[case::truncated(
    json!({"truncate": 3}), true, 0,
    "17 of 20, may 0, broken 0, lost 3, doubled 0, crossed 0, cut 3"
)]
#[case::doubled_event(
    json!({"duplicate_event": 3}), true, 0,
    "17 of 20, may 0, broken 0, lost 3, doubled 3, crossed 0, cut 0"
)]
#[case::skipped_offset(
    json!({"bad_offset": 3}), true, 0,
    "17 of 20, may 0, broken 0, lost 3, doubled 0, crossed 0, cut 3"
)]
#[case::anothers_answer(
    json!({"wrong_id": 3}), true, 0,
    "17 of 20, may 0, broken 0, lost 3, doubled 0, crossed 3, cut 0"
)]
#[case::anothers_whole_answer(
    json!({"wrong_id": 3}), false, 0,
    "17 of 20, may 0, broken 0, lost 3, doubled 0, crossed 3, cut 0"
)]
#[case::crashed(
    json!({"crash_after_tokens": 4, "crash_runs": 3}), true, 0,
    "17 of 20, may 0, broken 3, lost 3, doubled 0, crossed 0, cut 0"
)]
#[case::crashed_before_the_answer(
    json!({"crash_after_tokens": 0, "crash_runs": 3}), false, 0,
    "17 of 20, may 0, broken 3, lost 3, doubled 0, crossed 0, cut 0"
)]
#[case::crashed_and_sent_again(
    json!({"crash_after_tokens": 4, "crash_runs": 1}), true, 6,
    "20 of 20, may 0, broken 1, lost 0, doubled 0, crossed 0, cut 0"
)]
#[actix_rt::test]
async fn faults_show_in_the_totals(
    #[case] faults: Value,
    #[case] stream: bool,
    #[case] retries: u32,
    #[case] expected: &str,
) {
    let base = engine(faults).await;
    let events = run(&base, traffic(stream, true), retries).await;
    assert_eq!(shown(&Totals::of(&events)), expected);
}

#[actix_rt::test]
async fn without_identity_what_may_not_be_repeated_is_sent_once() {
    let base = engine(json!({"crash_after_tokens": 4, "crash_runs": 3})).await;
    let events = run(&base, traffic(true, false), 6).await;
    let expected = "17 of 20, may 3, broken 3, lost 0, doubled 0, crossed 0, cut 0";
    assert_eq!(shown(&Totals::of(&events)), expected);
    let runs = record::read(&[base]).await.unwrap();
    assert_eq!(check::compare(&events, &runs, 0.0).doubled, 0);
}

#[rstest]
#[case::none(json!({}), "20 of 20, may 0, broken 0, lost 0, doubled 0, crossed 0, cut 0")]
#[case::its_own_error(
    json!({"fail_after_run": 3}),
    "20 of 20, may 0, broken 0, lost 0, doubled 0, crossed 0, cut 0"
)]
#[case::cut_after_the_run(
    json!({"cut_after_run": 3}),
    "17 of 20, may 3, broken 3, lost 0, doubled 0, crossed 0, cut 0"
)]
#[actix_rt::test]
async fn answers_of_plain_services(#[case] faults: Value, #[case] expected: &str) {
    let base = service(faults).await;
    let mut traffic = traffic(false, false);
    traffic.classes[0].kind = Kind::Service;
    let events = run(&base, traffic, 6).await;
    assert_eq!(shown(&Totals::of(&events)), expected);
}

#[actix_rt::test]
async fn the_record_tells_wasted_tokens() {
    let base = engine(json!({"crash_after_tokens": 4, "crash_runs": 3})).await;
    let events = run(&base, traffic(true, true), 6).await;
    let runs = record::read(&[base]).await.unwrap();
    let found = check::compare(&events, &runs, 0.0);
    assert_eq!((found.tokens_generated, found.tokens_delivered), (212, 200));
}
