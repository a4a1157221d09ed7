//! DRAIN: an endpoint whose row is gone was used as the last resort for as long after an entry had heard
//! of it late as after the row was gone.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::caller::get;
use crate::endpoint::{Endpoint, whole};
use crate::site::{Site, endpoint, source, until, until_met};
use crate::teller::Other;

/// No request reaches an endpoint later than this after its row is gone.
const BOUND: Duration = Duration::from_secs(2);
/// For so long after the bound requests are sent.
const AFTER: Duration = Duration::from_millis(700);

/// Two entries that know each other, of which only the first reads the platform, and an endpoint that
/// both know.
fn scene() -> ([Site; 2], Endpoint) {
    let server = Endpoint::always(vec![whole("yes")]);
    let reader = Site::with_trust("dub-a-1", "\"revoke_ms\": 30000", source(&[]));
    let told = source(&[]);
    told.0.lock().unwrap().is_down = true;
    told.0.lock().unwrap().entries = vec![reader.peer];
    let hearer = Site::with_trust("dub-a-2", "\"revoke_ms\": 30000", told);
    let sites = [reader, hearer];
    until_met(&sites);
    let listed = endpoint(0, server.address);
    sites[0].source.0.lock().unwrap().endpoints = vec![listed];
    until(|| is_served(&sites[1]));
    (sites, server)
}

fn is_served(site: &Site) -> bool {
    get(site.requests, "/read/", "r", "").status == 200
}

/// Entries that can't be asked for their news keep those of the reader away for a while.
#[test]
fn the_last_resort_ends_in_time_where_an_entry_hears_late() {
    let (sites, server) = scene();
    let [reader, hearer] = &sites;
    let silent = [Other::start("silent-1"), Other::start("silent-2")];
    let mut asked = Vec::new();
    let mut gone = None;
    for other in &silent {
        until(|| {
            other.tell(hearer.peer);
            asked.extend(other.asked());
            !asked.is_empty() && asked.len() == if gone.is_some() { 2 } else { 1 }
        });
        gone.get_or_insert_with(|| {
            reader.source.0.lock().unwrap().endpoints.clear();
            Instant::now()
        });
    }
    let gone = gone.unwrap();
    sleep(BOUND.saturating_sub(gone.elapsed()));
    let before = server.seen().len();
    while gone.elapsed() < BOUND + AFTER {
        is_served(hearer);
    }
    assert_eq!(server.seen().len(), before);
    // It has heard of it by then, so that nothing is left of the last resort.
    until(|| !is_served(hearer));
}
