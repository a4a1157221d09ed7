use std::time::{Duration, Instant};

use insta::assert_snapshot;

use super::{Report, Row};
use crate::answer::Faults;
use crate::attempt::Reply;
use crate::event::How;
use crate::overhead::Times;

fn times(first_us: u64, gap_us: u64, how: How) -> Times {
    let mut times = Times::new();
    let sent = Instant::now();
    let reply = Reply {
        how,
        verdict: None,
        code: Some("cut".to_owned()),
        retry_after: None,
        first: Some(sent + Duration::from_micros(first_us)),
        gaps: vec![Duration::from_micros(gap_us)],
        tokens: 2,
        faults: Faults::default(),
    };
    times.add(sent, &reply);
    times
}

#[test]
fn the_added_time_is_the_difference_of_the_quantiles() {
    let direct = times(2_000, 500, How::Complete);
    let entry = times(2_400, 490, How::Broken);
    let report = Report {
        seed: 1,
        tokens: 2,
        rows: vec![Row::new(10, &direct, &entry, Some(81_920))],
    };
    assert_snapshot!(report, @r"
    streams  first token ms: direct, added at median; at p99   between tokens ms: the same         KiB/stream  failed
         10     2.000   +0.401;    2.000   +0.401      0.500   -0.010;    0.500   -0.010         8.0       1
    ");
    assert_snapshot!(report.rows[0].failed.keys().next().unwrap(), @"entry: cut");
}
