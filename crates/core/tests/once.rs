//! Randomised test of one identity submitted to several incarnations that share one table, with
//! faults and restarts. At most one of them sends the request, and none reports "not run" after
//! it was sent.

#[path = "once/world.rs"]
mod world;

use proptest::prelude::*;
use rstest::rstest;

use world::{Move, World, Write};

fn moves() -> impl Strategy<Value = Move> {
    let life = 0..3_usize;
    let write = prop_oneof![
        4 => Just(Write::Acknowledge),
        2 => Just(Write::LoseAcknowledgement),
        2 => Just(Write::Late),
        1 => Just(Write::Lose),
        1 => Just(Write::Refuse),
    ];
    prop_oneof![
        4 => life.clone().prop_map(Move::Submit),
        12 => (life.clone(), write, 0..3_usize)
            .prop_map(|(life, write, stale)| Move::Step { life, write, stale }),
        3 => (0..4_usize).prop_map(Move::Land),
        2 => life.clone().prop_map(Move::Expire),
        4 => life.clone().prop_map(Move::Send),
        2 => life.clone().prop_map(Move::Shed),
        3 => (life.clone(), any::<bool>()).prop_map(|(life, answers)| Move::Ask { life, answers }),
        1 => life.prop_map(Move::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn at_most_once_and_never_not_run_after_it_was_sent(
        moves in proptest::collection::vec(moves(), 1..120)
    ) {
        let mut world = World::new(3);
        for step in &moves {
            world.play(*step);
            prop_assert!(world.broken.is_none(), "{:?}", world.broken);
        }
    }
}

use Move::{Ask, Expire, Land, Restart, Send, Shed, Submit};

const fn step(life: usize, write: Write) -> Move {
    Move::Step {
        life,
        write,
        stale: 0,
    }
}

/// The first incarnation claims the identity, and the write is acknowledged.
const CLAIM: [Move; 2] = [Submit(0), step(0, Write::Acknowledge)];

#[rstest]
#[case::sent(&[CLAIM[0], CLAIM[1], Send(0)], "sent")]
#[case::acknowledgement_lost(
    &[Submit(0), step(0, Write::LoseAcknowledgement), step(0, Write::Acknowledge), Send(0)],
    "sent"
)]
#[case::two_entries_at_one_moment(
    &[Submit(0), Submit(1), step(1, Write::Acknowledge), step(0, Write::Acknowledge),
      step(0, Write::Acknowledge), Ask { life: 0, answers: true }, Send(1)],
    "follows sent"
)]
#[case::retried_elsewhere_while_it_runs(
    &[CLAIM[0], CLAIM[1], Send(0), Submit(1), step(1, Write::Acknowledge),
      step(1, Write::Acknowledge), Ask { life: 1, answers: true }],
    "sent follows"
)]
#[case::retried_elsewhere_after_a_death(
    &[CLAIM[0], CLAIM[1], Send(0), Restart(0), Submit(1), step(1, Write::Acknowledge),
      step(1, Write::Acknowledge), Ask { life: 1, answers: true }],
    "sent may_have_run"
)]
#[case::frozen_with_the_claim_then_awake(
    &[CLAIM[0], CLAIM[1], Submit(1), step(1, Write::Acknowledge), step(1, Write::Acknowledge),
      Ask { life: 1, answers: false }, Send(0)],
    "sent may_have_run"
)]
#[case::frozen_before_its_claim_lands(
    &[Submit(0), step(0, Write::Late), Submit(1), step(1, Write::Acknowledge), Send(1), Land(0),
      step(0, Write::Acknowledge), Ask { life: 0, answers: true }],
    "follows sent"
)]
#[case::shed_and_taken_back_then_retried_elsewhere(
    &[CLAIM[0], CLAIM[1], Shed(0), step(0, Write::Acknowledge), Submit(1),
      step(1, Write::Acknowledge), Send(1)],
    "not_run sent"
)]
#[case::shed_and_not_yet_taken_back(
    &[CLAIM[0], CLAIM[1], Shed(0), Submit(1), step(1, Write::Acknowledge),
      step(1, Write::Acknowledge), Ask { life: 1, answers: true }, step(0, Write::Acknowledge),
      step(0, Write::Acknowledge), step(1, Write::Acknowledge), Send(1)],
    "not_run sent"
)]
#[case::shed_then_retried_here_before_a_late_delete(
    &[CLAIM[0], CLAIM[1], Shed(0), step(0, Write::Late), Submit(0), step(0, Write::Acknowledge),
      step(0, Write::Acknowledge), step(0, Write::Acknowledge), Send(0), Land(0), Submit(1),
      step(1, Write::Acknowledge), step(1, Write::Acknowledge), Ask { life: 1, answers: true }],
    "not_run sent follows"
)]
#[case::out_and_nobody_knows(
    &[Submit(0), step(0, Write::Refuse), Expire(0), Ask { life: 0, answers: true }],
    "not_run"
)]
#[case::out_and_another_runs_it(
    &[CLAIM[0], CLAIM[1], Send(0), Submit(1), step(1, Write::Refuse), Expire(1),
      Ask { life: 1, answers: true }],
    "sent follows"
)]
#[case::out_and_the_one_that_ran_it_died(
    &[CLAIM[0], CLAIM[1], Send(0), Restart(0), Submit(1), step(1, Write::Refuse), Expire(1),
      Ask { life: 1, answers: true }],
    "sent may_have_run"
)]
#[case::out_and_another_is_silent(
    &[Submit(1), step(1, Write::Refuse), Expire(1), Ask { life: 1, answers: false }],
    "may_have_run"
)]
#[case::given_up_and_its_claim_lands_late(
    &[Submit(0), step(0, Write::Late), Expire(0), Ask { life: 0, answers: true }, Land(0),
      Submit(1), step(1, Write::Acknowledge), step(1, Write::Acknowledge),
      Ask { life: 1, answers: true }, step(0, Write::Acknowledge), step(0, Write::Acknowledge),
      step(1, Write::Acknowledge), Send(1)],
    "not_run sent"
)]
fn ends(#[case] moves: &[Move], #[case] told: &str) {
    let mut world = World::new(3);
    for step in moves {
        world.play(*step);
    }
    assert_eq!(world.broken, None);
    assert_eq!(world.told(), told);
}
