//! Which entries ask the platform.

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::relay::duty::{Duty, Knows, Subject, duty};

const HELD: Duty = Duty::Ask(Millis(1_000));
const AT_ONCE: Duty = Duty::Ask(Millis(0));

#[rstest]
#[case::a_seed_begins(40, true, Knows::Nothing(Millis(0)), HELD)]
#[case::another_waits_for_answers(0, false, Knows::Nothing(Millis(100)), Duty::Rest)]
#[case::alone_it_asks(0, false, Knows::Nothing(Millis(700)), HELD)]
#[case::among_others_it_waits_for_news(40, false, Knows::Nothing(Millis(700)), Duty::Rest)]
#[case::but_not_for_ever(40, false, Knows::Nothing(Millis(2_700)), HELD)]
#[case::a_reader_asks(1, false, Knows::Since(Millis(0)), HELD)]
#[case::a_seed_that_knows_is_as_the_others(40, true, Knows::Since(Millis(0)), Duty::Rest)]
#[case::unconfirmed_for_long(40, false, Knows::Since(Millis(2_200)), AT_ONCE)]
fn duties(
    #[case] rank: usize,
    #[case] is_seed: bool,
    #[case] knows: Knows,
    #[case] expected: Duty,
) {
    let duty = duty(Subject::Plan, rank, is_seed, knows, Millis(600));
    assert_eq!(duty, expected);
}
