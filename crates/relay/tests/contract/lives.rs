//! Endpoints that start again under their name and address.

use rstest::rstest;
use woodgap_core::clock::Millis;

use crate::caller::post;
use crate::endpoint::{Endpoint, Step, whole};
use crate::site::{Site, until};

/// Tells of the endpoint in the life that began at this moment.
fn tell(site: &Site, at: u64) {
    let mut told = site.source.0.lock().unwrap();
    told.endpoints[0].life.started_unix = Some(Millis(at));
}

fn connections(endpoint: &Endpoint) -> usize {
    let seen = endpoint.seen();
    let last = seen.iter().map(|seen| seen.connection).max();
    last.map_or(0, |last| last + 1)
}

/// A request that the end of the earlier life cut off goes to the later one only where
/// it may run twice.
#[rstest]
#[case::at_most_once("/write/", 502, 1)]
#[case::idempotent("/read/", 200, 2)]
fn a_request_that_is_cut_off_runs_again_only_if_it_may(
    #[case] path: &'static str,
    #[case] status: u16,
    #[case] runs: usize,
) {
    let endpoint = Endpoint::numbered(|number| match number {
        0 => vec![Step::Wait, Step::Reset],
        _ => vec![whole("yes")],
    });
    let site = Site::start(&[endpoint.address]);
    tell(&site, 100);
    let requests = site.requests;
    let cut = std::thread::spawn(move || post(requests, path, "cut", b"x").status);
    until(|| endpoint.seen().len() == 1);
    assert_eq!(post(requests, "/write/", "r1", b"x").status, 200);
    let before = connections(&endpoint);
    tell(&site, 200);
    let mut number = 1;
    until(|| {
        number += 1;
        let status = post(requests, "/write/", &format!("r{number}"), b"x").status;
        assert_eq!(status, 200);
        connections(&endpoint) > before
    });
    endpoint.go();
    assert_eq!(cut.join().unwrap(), status);
    let seen = endpoint.seen();
    let is_cut = |id: String| id.starts_with("cut");
    let ran = seen
        .iter()
        .filter(|it| is_cut(it.header("x-woodgap-request")));
    assert_eq!(ran.count(), runs);
}
