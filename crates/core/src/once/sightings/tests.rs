use rstest::rstest;

use super::*;

/// The asking incarnation, two that it sees, an earlier incarnation of the second, and one that
/// it never saw.
const OWN: u64 = 1;
const A: u64 = 2;
const B: u64 = 3;
const B_BEFORE: u64 = 4;
const C: u64 = 5;

fn life(number: u64) -> (Incarnation, SocketAddr) {
    let port = 8_000 + u16::try_from(number).unwrap();
    (
        Incarnation(number),
        SocketAddr::from(([127, 0, 0, 1], port)),
    )
}

fn reply(number: u64, knowledge: Knowledge, seen: &[u64]) -> Reply {
    Reply {
        life: Incarnation(number),
        knowledge,
        seen: seen.iter().copied().map(Incarnation).collect(),
    }
}

fn none(number: u64, seen: &[u64]) -> Reply {
    reply(number, Knowledge::None, seen)
}

fn sightings() -> Sightings {
    let mut sightings = Sightings::new(Incarnation(OWN));
    sightings.record(Millis(1), [OWN, A, B].map(life));
    sightings
}

#[rstest]
#[case::all_answer(&[none(A, &[OWN, B]), none(B, &[OWN, A])], Finding::NotSent)]
#[case::one_is_silent(&[none(A, &[OWN, B])], Finding::Inconclusive)]
#[case::one_is_another_life(&[none(A, &[]), none(B_BEFORE, &[])], Finding::Inconclusive)]
#[case::one_saw_a_life_go(&[none(A, &[C]), none(B, &[])], Finding::Inconclusive)]
#[case::one_saw_the_asker_before(&[none(A, &[0, OWN]), none(B, &[])], Finding::Inconclusive)]
#[case::one_is_not_sure(&[none(A, &[]), reply(B, Knowledge::Unsure, &[])], Finding::Inconclusive)]
#[case::one_has_it(&[reply(B, Knowledge::Has, &[])], Finding::Found(life(B).1))]
fn findings(#[case] replies: &[Reply], #[case] finding: Finding) {
    assert_eq!(sightings().evaluate(replies), finding);
}

#[test]
fn alone_there_is_no_doubt() {
    assert_eq!(
        Sightings::new(Incarnation(OWN)).evaluate(&[]),
        Finding::NotSent
    );
}

#[rstest]
#[case::at_once(Millis(2), vec![A, B])]
#[case::within_the_horizon(HORIZON, vec![A, B])]
#[case::after_it(HORIZON + Millis(1), vec![A])]
fn a_life_that_went_is_remembered(#[case] now: Millis, #[case] seen: Vec<u64>) {
    let mut sightings = sightings();
    sightings.record(now, [life(A)]);
    let seen: Vec<Incarnation> = seen.into_iter().map(Incarnation).collect();
    assert_eq!(sightings.seen(), seen);
    assert_eq!(sightings.addresses().count(), seen.len());
}
