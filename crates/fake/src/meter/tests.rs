use rstest::rstest;

use super::*;

#[rstest]
#[case::fresh(0, 10_000, 2, 50.0)]
#[case::before_the_change(3_000, 10_000, 1, 0.0)]
#[case::half_the_tokens(1_000, 10_000, 2, 25.0)]
#[case::before_the_start(60_000, 10_000, 0, 0.0)]
fn a_report_shows_the_figures_of_its_age(
    #[case] lag: u64,
    #[case] now: u64,
    #[case] running: u32,
    #[case] rate: f64,
) {
    let mut meter = Meter::new(Millis(lag));
    meter.note(Millis(1), 1, 0, false);
    meter.note(Millis(8_000), 2, 3, true);
    // Fifty tokens in each of the last two seconds.
    for token in 0..100 {
        meter.token(Millis(8_000 + token * 20));
    }
    let report = meter.report(Millis(now), 4);
    assert_eq!(report.running, running);
    assert!((report.tokens_per_second - rate).abs() < f64::EPSILON);
    assert_eq!(report.age, Millis(lag.min(now)));
}
