use std::time::{Duration, Instant};

use rstest::rstest;

use super::{Sample, rate, wait};

#[rstest]
#[case::request(
    r#"{"message":"request ended","kvs":{"permit_us":41,"end":"complete"}}"#,
    Some(41)
)]
#[case::other(r#"{"message":"started","kvs":{}}"#, None)]
#[case::half(r#"{"message":"request ended","kvs":{"perm"#, None)]
fn waits_are_read_from_log_lines(#[case] line: &str, #[case] expected: Option<u64>) {
    assert_eq!(wait(line), expected);
}

#[test]
fn a_rate_is_of_the_bytes_between_two_samples() {
    let at = Instant::now();
    let before = Sample { at, bytes: 100 };
    let after = Sample {
        at: at + Duration::from_secs(4),
        bytes: 500,
    };
    assert!((rate(before, after) - 100.0).abs() < f64::EPSILON);
}
