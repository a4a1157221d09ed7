//! Data centres that operators empty, before real relays.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

use woodgap_core::name::DataCentre;
use woodgap_core::relay::Evacuation;

use crate::caller::get;
use crate::endpoint::{Endpoint, whole};
use crate::site::{Fixed, Site, Told, endpoint, plan, until};

/// The first data centre's endpoint answers `first`, the second one's `second`.
fn two_data_centres() -> Fixed {
    let answers = ["first", "second"].map(|text| Endpoint::always(vec![whole(text)]));
    let listed = answers.iter().zip(["dub-a", "dub-b"]).enumerate();
    let listed = listed.map(|(at, (server, place))| {
        let mut listed = endpoint(at, server.address);
        listed.data_centre = DataCentre::from(place);
        listed
    });
    Fixed(Arc::new(Mutex::new(Told {
        plan: Some(plan(1)),
        endpoints: listed.collect(),
        ..Told::default()
    })))
}

fn evacuate(site: &Site, revision: u64, places: &[&str]) {
    let places: BTreeSet<_> = places.iter().copied().map(DataCentre::from).collect();
    let mut told = site.source.0.lock().unwrap();
    told.evacuation = Evacuation::new(revision, places);
}

fn answered(site: &Site) -> String {
    get(site.requests, "/read/", "r1", "").text()
}

fn serves(site: &Site, text: &str) -> bool {
    answered(site).contains(text)
}

/// An entry that the platform turns away learns of it from another one, at its start and later.
#[test]
fn an_evacuation_comes_from_another_entry() {
    let first = Site::with("dub-a-1", two_data_centres());
    evacuate(&first, 3, &["dub-a"]);
    first.until_ready();
    let source = Fixed(Arc::new(Mutex::new(Told {
        is_down: true,
        entries: vec![first.peer],
        ..Told::default()
    })));
    let second = Site::with("dub-a-2", source);
    second.until_ready();
    for _ in 0..20 {
        assert!(serves(&second, "second"));
    }
    evacuate(&first, 5, &["dub-b"]);
    until(|| serves(&second, "first"));
    // What was withdrawn stays so, though the other one's news are older now.
    evacuate(&first, 4, &["dub-a"]);
    for _ in 0..20 {
        assert!(serves(&second, "first"));
    }
    evacuate(&first, 6, &["dub-a", "dub-b"]);
    until(|| get(second.requests, "/read/", "r2", "").status == 503);
    evacuate(&first, 7, &[]);
    until(|| get(second.requests, "/read/", "r3", "").status == 200);
}
