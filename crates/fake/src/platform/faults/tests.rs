use rstest::rstest;

use super::*;

#[rstest]
#[case::no_limit(None, &[(0, 5)], &[5])]
#[case::a_second_at_once(Some(2), &[(0, 5)], &[2])]
#[case::earned_again(Some(2), &[(0, 5), (500, 5), (900, 5)], &[2, 1, 0])]
#[case::parts_add_up(Some(2), &[(0, 5), (300, 5), (600, 5)], &[2, 0, 1])]
#[case::saved_for_a_second_at_most(Some(2), &[(60_000, 5)], &[2])]
fn a_rate_lets_as_many_through_as_it_earned(
    #[case] limit: Option<u32>,
    #[case] calls: &[(u64, usize)],
    #[case] expected: &[usize],
) {
    let mut rate = Rate::new(limit);
    let passed: Vec<usize> = calls
        .iter()
        .map(|(at, tries)| (0..*tries).filter(|_| rate.allows(Millis(*at))).count())
        .collect();
    assert_eq!(passed, expected);
}
