//! Endpoints that bear few requests for a while, before a real relay.

use woodgap_core::clock::Millis;

use crate::caller::get;
use crate::endpoint::{Endpoint, whole};
use crate::site::{Fixed, Site, source, until};

/// All endpoints of the first service are cold for so long, and bear one request a second.
fn cold(endpoints: usize, cold_for: Millis) -> Fixed {
    let servers: Vec<_> = (0..endpoints)
        .map(|_| Endpoint::always(vec![whole("yes")]).address)
        .collect();
    let told = source(&servers);
    {
        let mut told = told.0.lock().unwrap();
        told.plan.as_mut().unwrap().services[0].cold_rate = Some(1.0);
        for endpoint in &mut told.endpoints {
            endpoint.cold_for = cold_for;
        }
    }
    told
}

fn status(site: &Site) -> u16 {
    get(site.requests, "/read/", "r1", "").status
}

/// Callers beyond what it bears are told to come back, and all are served once it is warm.
#[test]
fn a_cold_endpoint_gets_what_it_bears() {
    let site = Site::with("dub-a-1", cold(1, Millis(600_000)));
    site.until_ready();
    until(|| {
        get(site.requests, "/read/", "r1", "")
            .text()
            .contains("warming up")
    });
    until(|| status(&site) == 200);
    until(|| status(&site) == 200 && status(&site) == 503);
    for endpoint in &mut site.source.0.lock().unwrap().endpoints {
        endpoint.cold_for = Millis::ZERO;
    }
    until(|| (0..20).all(|_| status(&site) == 200));
}

/// While others are warm, nobody waits.
#[test]
fn a_warm_endpoint_serves_in_place_of_cold_ones() {
    let told = cold(3, Millis(600_000));
    told.0.lock().unwrap().endpoints[1].cold_for = Millis::ZERO;
    let site = Site::with("dub-a-1", told);
    site.until_ready();
    assert!((0..50).all(|_| status(&site) == 200));
}
