use rstest::rstest;

use super::{Kind, Traffic};

fn with(extra: &str) -> String {
    format!(
        r#"{{"classes": [{{"name": "links", "workspace": "murphy", "key": "k",
            "class": "share-link", "target": "story-7b", "rate_per_s": 5,
            "tier": 1, "target_ms": 500 {extra}}}]}}"#
    )
}

#[rstest]
#[case::unknown_field(r#", "rate": 5"#, "unknown field `rate`")]
#[case::negative_factor(
    r#", "bursts": [{"from_ms": 0, "to_ms": 5, "factor": -1}]"#,
    "`factor` must be 0 or more"
)]
#[case::empty_burst(
    r#", "bursts": [{"from_ms": 5, "to_ms": 5, "factor": 1}]"#,
    "`from_ms` must lie before"
)]
#[case::no_tokens(r#", "tokens": {"fixed": 0}"#, "`tokens` must be at least 1")]
#[case::bad_lognormal(
    r#", "tokens": {"lognormal": {"median": 0, "sigma": 1, "max": 9}}"#,
    "`lognormal` needs"
)]
fn a_problem_is_named(#[case] extra: &str, #[case] expected: &str) {
    let problem = Traffic::parse(&with(extra)).unwrap_err();
    assert!(problem.contains(expected), "{problem}");
}

#[test]
fn an_empty_description_is_refused() {
    assert!(Traffic::parse(r#"{"classes": []}"#).is_err());
}

#[test]
fn defaults_fill_what_is_left_out() {
    let traffic = Traffic::parse(&with("/* a comment */")).unwrap();
    let class = &traffic.classes[0];
    assert_eq!(class.kind, Kind::Chat);
    assert!(class.repeatable);
    assert!(!class.has_identity());
}
