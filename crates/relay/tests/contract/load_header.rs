//! The load that an endpoint reports in the head of an answer.

use actix_http::StatusCode;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use rstest::rstest;
use woodgap_core::relay::engine::Report;
use woodgap_relay::dialect::own::NAMES;
use woodgap_relay::upstream::Head;

/// A faulty or missing fourth figure must not cost the first three.
#[rstest]
#[case::three("3, 1,8", true, None)]
#[case::four("3,1,8, 250", true, Some(250))]
#[case::fourth_is_no_number("3,1,8,slow", true, None)]
#[case::fourth_is_too_large("3,1,8,70000", true, None)]
#[case::fourth_is_zero("3,1,8,0", true, None)]
#[case::a_count_is_faulty("3,x,8,250", false, None)]
#[case::two("3,1", false, None)]
fn a_load_is_read(
    #[case] text: &'static str,
    #[case] is_read: bool,
    #[case] slowdown: Option<u16>,
) {
    let name = HeaderName::from_static(NAMES.load);
    let mut headers = HeaderMap::new();
    headers.insert(name, HeaderValue::from_static(text));
    let head = Head {
        status: StatusCode::OK,
        headers,
        keeps_alive: true,
    };
    let load = NAMES.reply(&head, None).load;
    let expected = Report {
        running: 3,
        waiting: 1,
        slots: 8,
        slowdown_percent: slowdown,
    };
    assert_eq!(load, is_read.then_some(expected));
}
