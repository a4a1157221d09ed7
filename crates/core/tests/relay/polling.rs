//! Which entries ask the platform.

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::relay::polling::{
    Confirmation, EntryStatus, PollDecision, Subject, backoff, decide, should_query_back,
};

const HELD: PollDecision = PollDecision::Poll(Millis(1_000));
const AT_ONCE: PollDecision = PollDecision::Poll(Millis(0));

/// An entry in a fleet of a hundred that has run for long.
const MEMBER: EntryStatus = EntryStatus {
    rank: 40,
    is_seed: false,
    is_first_start: false,
    is_substitute: false,
    uptime: Millis(60_000),
    peers: 99,
    propagation_delay: Millis(600),
};

fn started(rank: usize, life: u64, peers: usize) -> EntryStatus {
    EntryStatus {
        rank,
        uptime: Millis(life),
        peers,
        ..MEMBER
    }
}

fn seed(standing: EntryStatus) -> EntryStatus {
    EntryStatus {
        is_seed: true,
        ..standing
    }
}

fn first(standing: EntryStatus) -> EntryStatus {
    EntryStatus {
        is_first_start: true,
        ..standing
    }
}

#[rstest]
#[case::a_seed_begins(seed(started(40, 0, 0)), Confirmation::Never, HELD)]
#[case::another_waits_for_answers(started(0, 90, 0), Confirmation::Never, PollDecision::Skip)]
#[case::alone_it_asks(started(0, 110, 0), Confirmation::Never, HELD)]
#[case::at_the_first_start_nobody_waits_for_it(
    first(started(0, 700, 0)),
    Confirmation::Never,
    PollDecision::Skip
)]
#[case::but_it_asks_then_too(first(started(0, 1_600, 0)), Confirmation::Never, HELD)]
#[case::among_others_it_waits_for_news(
    started(40, 700, 5),
    Confirmation::Never,
    PollDecision::Skip
)]
#[case::among_the_first_too(started(0, 700, 5), Confirmation::Never, PollDecision::Skip)]
#[case::but_not_for_ever(started(40, 2_700, 5), Confirmation::Never, HELD)]
#[case::a_reader_asks(EntryStatus { rank: 1, ..MEMBER }, Confirmation::Age(Millis(0)), HELD)]
#[case::a_seed_that_knows_is_as_the_others(
    seed(MEMBER),
    Confirmation::Age(Millis(0)),
    PollDecision::Skip
)]
#[case::one_that_knows_few_others_is_no_reader_yet(
    started(0, 2_000, 5),
    Confirmation::Age(Millis(0)),
    PollDecision::Skip
)]
#[case::but_a_seed_is(seed(started(0, 2_000, 5)), Confirmation::Age(Millis(0)), HELD)]
#[case::one_that_stands_in(
    EntryStatus { is_substitute: true, ..MEMBER },
    Confirmation::Age(Millis(0)),
    HELD
)]
#[case::unconfirmed_for_long(MEMBER, Confirmation::Age(Millis(2_200)), AT_ONCE)]
fn duties(
    #[case] standing: EntryStatus,
    #[case] knows: Confirmation,
    #[case] expected: PollDecision,
) {
    assert_eq!(decide(Subject::Plan, &standing, knows, 0.0), expected);
}

#[rstest]
#[case::among_many(99, 2_200, 0.029, AT_ONCE)]
#[case::among_many_not_drawn(99, 2_200, 0.031, PollDecision::Skip)]
#[case::fewer_after_a_while(99, 3_300, 0.006, PollDecision::Skip)]
#[case::among_few(5, 2_200, 0.4, AT_ONCE)]
#[case::alone(0, 2_200, 0.999, AT_ONCE)]
fn few_of_those_whose_plan_is_stale_ask(
    #[case] peers: usize,
    #[case] age: u64,
    #[case] lot: f64,
    #[case] expected: PollDecision,
) {
    let standing = EntryStatus { peers, ..MEMBER };
    let knows = Confirmation::Age(Millis(age));
    assert_eq!(decide(Subject::Plan, &standing, knows, lot), expected);
}

#[test]
fn a_stale_plan_is_no_reason_to_ask_for_endpoints() {
    let knows = Confirmation::Age(Millis(9_000));
    assert_eq!(
        decide(Subject::Endpoints, &MEMBER, knows, 0.0),
        PollDecision::Skip
    );
}

#[rstest]
#[case::own_is_fresh(300, 10, false)]
#[case::both_are_stale(2_500, 2_300, false)]
#[case::the_other_is_fresh(2_500, 10, true)]
fn who_asks_back(#[case] own: u64, #[case] told: u64, #[case] expected: bool) {
    assert_eq!(
        should_query_back(Millis(own), Millis(told), Millis(600)),
        expected
    );
}

#[test]
fn pauses_grow_to_a_second() {
    let pauses: Vec<_> = (1..6).map(|failures| backoff(failures, 1.0).0).collect();
    assert_eq!(pauses, [300, 600, 1_000, 1_000, 1_000]);
}
