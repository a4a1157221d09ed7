use std::time::Duration;

use rstest::rstest;

use super::Request;
use crate::arrival::Arrival;
use crate::traffic::Traffic;

#[rstest]
#[case::chat(r#""kind": "chat", "stream": true"#)]
#[case::completion(r#""kind": "completion", "prompt_prefix": "Tell on:""#)]
#[case::service(r#""kind": "service", "path": "links/check", "repeatable": false"#)]
fn requests_on_the_wire(#[case] extra: &str) {
    let text = format!(
        r#"{{"classes": [{{"name": "n", "workspace": "murphy", "key": "k", "class": "c",
            "target": "t", "rate_per_s": 1, "tier": 1, "target_ms": 500, {extra}}}]}}"#
    );
    let traffic = Traffic::parse(&text).unwrap();
    let arrival = Arrival {
        at: Duration::ZERO,
        class: 0,
        length: 3,
    };
    let request = Request::new("r", 5, &traffic.classes[0], arrival);
    let shown = format!(
        "{} {} {:?}",
        request.path(),
        request.body(),
        request.identity()
    );
    let name = format!("requests_on_the_wire_{:?}", traffic.classes[0].kind);
    insta::assert_snapshot!(name, shown);
}
