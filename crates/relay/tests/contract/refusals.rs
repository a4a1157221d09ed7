//! Requests that are not passed on, and what their callers are told.

use actix_http::header::{self, HeaderName, HeaderValue};
use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_relay::dialect::Dialect;
use woodgap_relay::dialect::own::Own;

use crate::caller::{Caller, get, post};
use crate::endpoint::{Endpoint, Step, declined, head, whole};
use crate::site::{Fixed, Site, TRUST, plan, source, until};

#[rstest]
#[case::no_route(
    "GET /nowhere/ HTTP/1.1\r\nHost: album.example\r\nX-Woodgap-Request: r\r\n\r\n",
    404,
    "unknown_route"
)]
#[case::another_host(
    "GET /read/ HTTP/1.1\r\nHost: x.example\r\nX-Woodgap-Request: r\r\n\r\n",
    404,
    "unknown_route"
)]
#[case::no_key(
    "GET /read/ HTTP/1.1\r\nHost: album.example\r\nX-Woodgap-Request: r\r\n\r\n",
    401,
    "unknown_key"
)]
#[case::unknown_key(
    "GET /read/ HTTP/1.1\r\nHost: album.example\r\nX-Woodgap-Request: r\r\nAuthorization: Bearer x\r\n\r\n",
    401,
    "unknown_key"
)]
#[case::no_identity(
    "GET /read/ HTTP/1.1\r\nHost: album.example\r\n\r\n",
    400,
    "bad_request"
)]
#[case::bad_patience(
    "GET /read/ HTTP/1.1\r\nHost: album.example\r\nX-Woodgap-Request: r\r\nX-Woodgap-Patience-Ms: soon\r\n\r\n",
    400,
    "bad_request"
)]
fn a_request_that_is_not_allowed(#[case] request: &str, #[case] status: u16, #[case] code: &str) {
    let endpoint = Endpoint::always(vec![whole("yes")]);
    let site = Site::start(&[endpoint.address]);
    let mut caller = Caller::connect(site.requests);
    caller.send(request, b"");
    let answer = caller.answer().unwrap();
    assert_eq!(answer.status, status);
    let body = answer.text();
    assert!(body.contains(code) && body.contains("not_run"), "{body}");
    assert!(endpoint.seen().is_empty());
}

#[test]
fn a_public_route_asks_for_no_key() {
    let endpoint = Endpoint::always(vec![whole("yes")]);
    let site = Site::start(&[endpoint.address]);
    let mut caller = Caller::connect(site.requests);
    caller.send(
        "GET /open/ HTTP/1.1\r\nHost: album.example\r\nX-Woodgap-Request: r\r\n\r\n",
        b"",
    );
    assert_eq!(caller.answer().unwrap().status, 200);
}

#[test]
fn a_body_above_the_limit_goes_no_further() {
    let endpoint = Endpoint::always(vec![whole("yes")]);
    let site = Site::start(&[endpoint.address]);
    let body = vec![b'x'; 300 * 1024];
    assert_eq!(post(site.requests, "/write/", "r1", &body).status, 413);
    assert!(endpoint.seen().is_empty());
}

#[test]
fn one_that_all_endpoints_decline_may_come_back() {
    let endpoint = Endpoint::always(vec![declined()]);
    let site = Site::start(&[endpoint.address]);
    let answer = post(site.requests, "/write/", "r1", b"x");
    assert_eq!(answer.status, 503);
    assert!(answer.text().contains("not_run"));
    assert_ne!(answer.header("retry-after"), "");
}

#[test]
fn without_an_endpoint_a_caller_is_told_when_to_come_back() {
    let site = Site::start(&[]);
    let answer = post(site.requests, "/write/", "r1", b"x");
    assert_eq!(answer.status, 503);
    assert!(answer.text().contains("no_endpoint"));
    assert_ne!(answer.header("retry-after"), "");
}

/// A caller that waits for a second and a half can't come back after whole seconds: it was always
/// told "1". The time in milliseconds says when, and the one in seconds is not earlier.
#[rstest]
#[case::all_endpoints_decline(vec![declined()], "/write/")]
#[case::less_than_a_second(vec![declined()], "/soon/")]
#[case::a_longer_back_off(
    vec![head(
        "503 X",
        "X-Woodgap-Verdict: not_run\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n",
    )],
    "/write/"
)]
fn a_refusal_tells_the_time_to_retry_in_milliseconds(#[case] steps: Vec<Step>, #[case] path: &str) {
    let endpoint = Endpoint::always(steps);
    let site = Site::start(&[endpoint.address]);
    post(site.requests, path, "r1", b"x");
    let answer = post(site.requests, path, "r2", b"x");
    assert_eq!(answer.status, 503);
    let millis: u64 = answer.header("retry-after-ms").parse().unwrap();
    let seconds: u64 = answer.header("retry-after").parse().unwrap();
    assert!(millis > 0);
    assert_eq!(seconds, millis.div_ceil(1_000));
}

/// Seconds are rounded up: a caller that reads only these never comes back too early.
#[rstest]
#[case(0, "0", "0")]
#[case(50, "1", "50")]
#[case(1_000, "1", "1000")]
#[case(1_001, "2", "1001")]
fn a_time_to_retry_is_in_seconds_and_milliseconds(
    #[case] span: u64,
    #[case] seconds: &'static str,
    #[case] millis: &'static str,
) {
    let mut headers = Vec::new();
    Own.retry_after(Millis(span), &mut |name, value| headers.push((name, value)));
    let millis_name = HeaderName::from_static("retry-after-ms");
    let expected = [
        (header::RETRY_AFTER, HeaderValue::from_static(seconds)),
        (millis_name, HeaderValue::from_static(millis)),
    ];
    assert_eq!(headers, expected);
}

#[test]
fn nothing_is_passed_on_before_a_plan_is_known() {
    let site = Site::with("dub-a-1", Fixed::default());
    let answer = get(site.requests, "/read/", "r1", "");
    assert_eq!(answer.status, 503);
    assert!(answer.text().contains("not_ready"));
    assert_eq!(get(site.ready, "/v1/ready", "x", "").status, 503);
}

#[test]
fn keys_are_not_trusted_once_the_plan_is_not_confirmed() {
    let endpoint = Endpoint::always(vec![whole("yes")]);
    let site = Site::start(&[endpoint.address]);
    site.source.0.lock().unwrap().is_down = true;
    until(|| get(site.requests, "/read/", "r1", "").status == 503);
    // Routes without keys go on, and so does all once the platform is back.
    assert_eq!(get(site.requests, "/open/", "r2", "").status, 200);
    assert_eq!(get(site.ready, "/v1/ready", "x", "").status, 503);
    site.source.0.lock().unwrap().is_down = false;
    until(|| get(site.requests, "/read/", "r3", "").status == 200);
    const { assert!(TRUST < 2_000) };
}

/// Operators who prefer service to quick removal of keys get it: while the platform
/// is lost, requests go on by the last plan known.
#[test]
fn keys_that_fail_open_are_trusted_for_as_long_as_the_platform_is_lost() {
    let endpoint = Endpoint::always(vec![whole("yes")]);
    let trust = r#""revoke_ms": 2000, "keys_fail_closed": false"#;
    let site = Site::with_trust("dub-a-1", trust, source(&[endpoint.address]));
    site.until_ready();
    site.source.0.lock().unwrap().is_down = true;
    until(|| {
        let metrics = get(site.metrics, "/metrics", "x", "").text();
        let ages = metrics
            .lines()
            .filter_map(|it| it.strip_prefix("plan_age_ms "));
        ages.filter_map(|age| age.parse::<u64>().ok())
            .any(|age| age > 2 * TRUST)
    });
    assert_eq!(get(site.requests, "/read/", "r1", "").status, 200);
    assert_eq!(get(site.ready, "/v1/ready", "x", "").status, 200);
}

#[test]
fn a_newer_plan_is_in_force_and_an_older_one_never_again() {
    let endpoint = Endpoint::always(vec![whole("yes")]);
    let site = Site::start(&[endpoint.address]);
    let set = |version: u64, key: &str| {
        let mut plan = plan(version);
        plan.workspaces[0].keys = vec![key.to_owned()];
        site.source.0.lock().unwrap().plan = Some(plan);
    };
    set(5, "another");
    until(|| get(site.requests, "/read/", "r1", "").status == 401);
    set(4, "key-m");
    std::thread::sleep(std::time::Duration::from_millis(200));
    assert_eq!(get(site.requests, "/read/", "r2", "").status, 401);
}

#[test]
fn a_plan_that_is_not_sound_is_not_put_in_force() {
    let endpoint = Endpoint::always(vec![whole("yes")]);
    let site = Site::start(&[endpoint.address]);
    let mut unsound = plan(9);
    unsound.routes[0].prefix = "no-slash".to_owned();
    site.source.0.lock().unwrap().plan = Some(unsound);
    std::thread::sleep(std::time::Duration::from_millis(200));
    assert_eq!(get(site.requests, "/read/", "r1", "").status, 200);
}

/// What answers at an endpoint's address says that it is another one: it gets no second
/// request while others are there, though it can be connected to.
#[test]
fn an_endpoint_whose_address_is_anothers_gets_nothing_more() {
    let other = head("421 Misdirected Request", "Content-Length: 0\r\n");
    let other = Endpoint::always(vec![other]);
    let sound = Endpoint::always(vec![whole("yes")]);
    let site = Site::start(&[other.address, sound.address]);
    until(|| {
        post(site.requests, "/write-twice/", "r1", b"x");
        other.seen().len() == 1
    });
    for id in ["r2", "r3", "r4", "r5", "r6", "r7"] {
        assert_eq!(post(site.requests, "/write/", id, b"x").status, 200);
    }
    assert_eq!(other.seen().len(), 1);
}
