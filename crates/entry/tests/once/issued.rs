//! Identities that an entry issues.

use futures_util::future::join;
use rstest::rstest;
use serde_json::{Value, json};
use woodgap_harness::{Fleet, documents};

use crate::ENTRY;
use crate::caller::{Call, FLUX, NARRATION};
use crate::watch::runs;

pub async fn issue(fleet: &Fleet, index: usize) -> String {
    let call = awc::Client::default().post(fleet.entries[index].url("/v1/identities"));
    let mut response = call.bearer_auth(documents::MURPHY).send().await.unwrap();
    let answer: Value = response.json().await.unwrap();
    answer["identity"].as_str().unwrap().to_owned()
}

#[rstest]
#[actix_rt::test]
async fn an_issued_identity_needs_no_table(
    #[values(NARRATION, FLUX)] call: Call<'static>,
    #[values(0, 1)] second: usize,
) {
    let fleet = Fleet::start(ENTRY, 2).await;
    fleet.platform.fault(json!({"down": true})).await;
    let identity = issue(&fleet, 0).await;
    let call = Call {
        identity: &identity,
        ..call
    };
    let (one, other) = join(
        call.send(&fleet.entries[0]),
        call.send(&fleet.entries[second]),
    )
    .await;
    assert_eq!(one.end(), "200");
    assert_eq!(one, other);
    assert_eq!(call.send(&fleet.entries[1]).await, one);
    assert_eq!(call.collect(&fleet.entries[1]).await, one);
    assert_eq!(runs(&fleet).await, 1);
    let counts = fleet.platform.get("/fake/counts").await;
    assert_eq!(counts["object_writes"], 0);
}

#[rstest]
#[actix_rt::test]
async fn an_issued_identity_goes_with_its_entry(
    #[values(NARRATION, FLUX)] call: Call<'static>,
    #[values(false, true)] submitted: bool,
) {
    let mut fleet = Fleet::start(ENTRY, 2).await;
    let identity = issue(&fleet, 0).await;
    let call = Call {
        identity: &identity,
        ..call
    };
    if submitted {
        assert_eq!(call.send(&fleet.entries[1]).await.end(), "200");
    }
    fleet.restart(0);
    fleet.list().await;
    fleet.ready().await;
    let known = if submitted {
        "200"
    } else {
        "unknown_outcome may_have_run"
    };
    assert_eq!(call.send(&fleet.entries[1]).await.end(), known);
    let gone = call.send(&fleet.entries[0]).await;
    assert_eq!(gone.end(), "unknown_outcome may_have_run");
    assert_eq!(runs(&fleet).await, usize::from(submitted));
}

#[actix_rt::test]
async fn an_issued_identity_is_of_one_workspace() {
    let fleet = Fleet::start(ENTRY, 1).await;
    let identity = issue(&fleet, 0).await;
    let entry = &fleet.entries[0];
    let murphys = Call {
        identity: &identity,
        ..NARRATION
    };
    assert_eq!(
        murphys.collect(entry).await.end(),
        "unknown_identity not_run"
    );
    let kellys = Call {
        key: documents::KELLY,
        ..murphys
    };
    assert_eq!(kellys.send(entry).await.end(), "bad_request not_run");
    let invented = Call {
        identity: "wg1-17",
        ..NARRATION
    };
    assert_eq!(invented.send(entry).await.end(), "bad_request not_run");
    assert_eq!(runs(&fleet).await, 0);
}
