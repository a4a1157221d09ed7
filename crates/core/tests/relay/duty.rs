//! Which entries poll the platform.

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::relay::duty::{
    Confirmation, EntryStatus, PollDecision, Subject, backoff, decide, should_query_back,
};

const LONG_POLL: PollDecision = PollDecision::Poll(Millis(1_000));
const POLL_AT_ONCE: PollDecision = PollDecision::Poll(Millis(0));

/// A long-running entry in a fleet of a hundred.
const MEMBER: EntryStatus = EntryStatus {
    rank: 40,
    is_seed: false,
    is_first_start: false,
    is_substitute: false,
    uptime: Millis(60_000),
    peers: 99,
    propagation_delay: Millis(600),
};

fn entry(rank: usize, uptime: u64, peers: usize) -> EntryStatus {
    EntryStatus {
        rank,
        uptime: Millis(uptime),
        peers,
        ..MEMBER
    }
}

fn seed(status: EntryStatus) -> EntryStatus {
    EntryStatus {
        is_seed: true,
        ..status
    }
}

fn at_first_start(status: EntryStatus) -> EntryStatus {
    EntryStatus {
        is_first_start: true,
        ..status
    }
}

#[rstest]
#[case::a_seed_polls_first(seed(entry(40, 0, 0)), Confirmation::Never, LONG_POLL)]
#[case::another_waits_for_first_contact(entry(0, 90, 0), Confirmation::Never, PollDecision::Skip)]
#[case::an_isolated_entry_polls(entry(0, 110, 0), Confirmation::Never, LONG_POLL)]
#[case::waits_longer_at_the_first_start(
    at_first_start(entry(0, 700, 0)),
    Confirmation::Never,
    PollDecision::Skip
)]
#[case::polls_after_waiting_at_the_first_start(
    at_first_start(entry(0, 1_600, 0)),
    Confirmation::Never,
    LONG_POLL
)]
#[case::waits_for_data_from_peers(entry(40, 700, 5), Confirmation::Never, PollDecision::Skip)]
#[case::a_low_rank_waits_for_data_too(entry(0, 700, 5), Confirmation::Never, PollDecision::Skip)]
#[case::polls_after_waiting_for_data(entry(40, 2_700, 5), Confirmation::Never, LONG_POLL)]
#[case::a_poller_polls(EntryStatus { rank: 1, ..MEMBER }, Confirmation::Age(Millis(0)), LONG_POLL)]
#[case::a_seed_with_data_relies_on_gossip(
    seed(MEMBER),
    Confirmation::Age(Millis(0)),
    PollDecision::Skip
)]
#[case::not_a_poller_before_convergence(
    entry(0, 2_000, 5),
    Confirmation::Age(Millis(0)),
    PollDecision::Skip
)]
#[case::a_seed_is_a_poller_before_convergence(
    seed(entry(0, 2_000, 5)),
    Confirmation::Age(Millis(0)),
    LONG_POLL
)]
#[case::a_substitute_polls(
    EntryStatus { is_substitute: true, ..MEMBER },
    Confirmation::Age(Millis(0)),
    LONG_POLL
)]
#[case::stale_plan(MEMBER, Confirmation::Age(Millis(2_200)), POLL_AT_ONCE)]
fn who_polls(
    #[case] status: EntryStatus,
    #[case] confirmation: Confirmation,
    #[case] expected: PollDecision,
) {
    assert_eq!(decide(Subject::Plan, &status, confirmation, 0.0), expected);
}

#[rstest]
#[case::among_many(99, 2_200, 0.029, POLL_AT_ONCE)]
#[case::among_many_not_drawn(99, 2_200, 0.031, PollDecision::Skip)]
#[case::fewer_after_a_while(99, 3_300, 0.006, PollDecision::Skip)]
#[case::among_few(5, 2_200, 0.4, POLL_AT_ONCE)]
#[case::alone(0, 2_200, 0.999, POLL_AT_ONCE)]
fn few_entries_with_a_stale_plan_poll(
    #[case] peers: usize,
    #[case] age: u64,
    #[case] draw: f64,
    #[case] expected: PollDecision,
) {
    let status = EntryStatus { peers, ..MEMBER };
    let confirmation = Confirmation::Age(Millis(age));
    assert_eq!(decide(Subject::Plan, &status, confirmation, draw), expected);
}

#[test]
fn a_stale_plan_causes_no_endpoint_polls() {
    let confirmation = Confirmation::Age(Millis(9_000));
    assert_eq!(
        decide(Subject::Endpoints, &MEMBER, confirmation, 0.0),
        PollDecision::Skip
    );
}

#[rstest]
#[case::own_plan_is_fresh(300, 10, false)]
#[case::both_are_stale(2_500, 2_300, false)]
#[case::peer_plan_is_fresh(2_500, 10, true)]
fn who_queries_back(#[case] own: u64, #[case] peer: u64, #[case] expected: bool) {
    assert_eq!(
        should_query_back(Millis(own), Millis(peer), Millis(600)),
        expected
    );
}

#[test]
fn backoff_grows_to_a_second() {
    let backoffs: Vec<_> = (1..6).map(|failures| backoff(failures, 1.0).0).collect();
    assert_eq!(backoffs, [300, 600, 1_000, 1_000, 1_000]);
}
