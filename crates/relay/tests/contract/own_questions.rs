//! Questions to the relay itself.

use crate::caller::get;
use crate::endpoint::{Endpoint, whole};
use crate::site::Site;

#[test]
fn the_directory_names_the_live_entries() {
    let site = Site::start(&[]);
    let answer = get(site.directory, "/v1/entries?data_centre=dub-a", "x", "");
    let expected = format!(r#"{{"entries":["{}"],"lifetime_ms":1000}}"#, site.requests);
    assert_eq!((answer.status, answer.text()), (200, expected));
}

#[test]
fn metrics_are_served_as_text() {
    let endpoint = Endpoint::always(vec![whole("yes")]);
    let site = Site::start(&[endpoint.address]);
    get(site.requests, "/read/", "r1", "");
    let text = get(site.metrics, "/metrics", "x", "").text();
    for line in [
        r#"requests{outcome="complete"} 1"#,
        r#"attempts{outcome="answered"} 1"#,
        "connects 1",
        r#"whole_ms_count{service="links"} 1"#,
    ] {
        assert!(text.contains(line), "{line} is missing in {text}");
    }
}

#[test]
fn anything_else_is_not_found() {
    let site = Site::start(&[]);
    assert_eq!(get(site.directory, "/read/", "x", "").status, 404);
    assert_eq!(get(site.metrics, "/", "x", "").status, 404);
}
