//! A pool's home that goes away under load: what waits and runs at the other
//! entries is not lost and not doubled.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};

use awc::Client;
use futures_util::future::join_all;
use rstest::rstest;
use serde_json::{Value, json};
use woodgap_core::clock::Millis;
use woodgap_core::membership::{Heartbeat, Member, Members, Standing};
use woodgap_core::name::{Incarnation, Pool};
use woodgap_harness::{Entry, Fleet, STUCK, documents, until};

const ENTRY: &str = env!("CARGO_BIN_EXE_woodgap-entry");
/// Three times what the engine runs at once, so that most wait at the home.
const CALLERS: usize = 24;
/// Requests of each caller, one after the other.
const REQUESTS: usize = 8;

/// What becomes of the home.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    Freeze,
    FreezeAndWake,
}

fn member(index: usize) -> Member {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
    Member {
        name: format!("entry-{index}").into(),
        incarnation: Incarnation(index as u64 + 1),
        data_centre: "dub-a".into(),
        peer: nowhere,
        http: nowhere,
        standing: Standing::Live,
        version: 0,
        heartbeat: Heartbeat::default(),
        heard: Millis::ZERO,
    }
}

/// The entry that all agree to be home to the engine's pool.
fn home(entries: usize) -> usize {
    let mut members = Members::new(member(0));
    for index in 1..entries {
        members.put(member(index));
    }
    let pool = Pool {
        target: documents::MODEL.into(),
        data_centre: "dub-a".into(),
    };
    let home = members.home(&pool).unwrap().incarnation;
    usize::try_from(home.0 - 1).unwrap()
}

/// Sends requests one after the other, each of which must be answered whole.
async fn call(entry: &Entry, answered: &AtomicUsize) {
    let client = Client::builder().timeout(STUCK).finish();
    for _ in 0..REQUESTS {
        let call = client
            .post(entry.url("/v1/completions"))
            .bearer_auth(documents::MURPHY);
        let body = json!({"model": documents::MODEL, "prompt": "len=50 echo=tale"});
        let mut response = call.send_json(&body).await.unwrap();
        let answer: Value = response.json().await.unwrap();
        let text = answer["choices"][0]["text"].as_str();
        let whole = text.is_some_and(|text| text.ends_with("tale:50 "));
        assert!(whole, "{answer}");
        answered.fetch_add(1, Ordering::Relaxed);
    }
}

/// Breaks the home once a third of the requests are answered.
async fn break_home(fleet: &Fleet, home: usize, fault: Fault, answered: &AtomicUsize) {
    let reaches = async |count: usize| {
        until("requests are answered", async || {
            (answered.load(Ordering::Relaxed) >= count).then_some(())
        })
        .await;
    };
    reaches(CALLERS * REQUESTS / 3).await;
    match fault {
        Fault::Kill => fleet.entries[home].crash(),
        Fault::Freeze => fleet.entries[home].freeze(),
        Fault::FreezeAndWake => {
            fleet.entries[home].freeze();
            reaches(CALLERS * REQUESTS / 2).await;
            fleet.entries[home].wake();
        }
    }
}

#[rstest]
#[case::killed(Fault::Kill)]
#[case::frozen(Fault::Freeze)]
#[case::woken(Fault::FreezeAndWake)]
#[actix_rt::test]
async fn nothing_is_lost_with_a_home(#[case] fault: Fault) {
    let fleet = Fleet::start(ENTRY, 3).await;
    let home = home(3);
    let others: Vec<&Entry> = (0..3)
        .filter(|index| *index != home)
        .map(|index| &fleet.entries[index])
        .collect();
    let answered = AtomicUsize::new(0);
    let callers = (0..CALLERS).map(|caller| call(others[caller % others.len()], &answered));
    let breaking = break_home(&fleet, home, fault, &answered);
    futures_util::future::join(join_all(callers), breaking).await;
    let started = fleet.engine.started().await;
    assert_eq!(started.len(), CALLERS * REQUESTS);
    assert!(started.iter().all(|run| run["end"] == "complete"));
}
