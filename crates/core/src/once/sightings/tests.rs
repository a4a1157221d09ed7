use rstest::rstest;

use super::*;

const A: u16 = 1;
const B: u16 = 2;
const C: u16 = 3;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn addresses(ports: &[u16]) -> Vec<SocketAddr> {
    ports.iter().copied().map(address).collect()
}

fn reply(up: u64, gone: &[u16]) -> Reply {
    Reply {
        knows: false,
        up: Millis::from_secs(up),
        gone: addresses(gone),
    }
}

/// A life that lists A and B from 10 s on asks at 100 s.
fn listed() -> Sightings {
    let mut sightings = Sightings::default();
    sightings.list(Millis::from_secs(10), addresses(&[A, B]));
    sightings.list(Millis::from_secs(99), addresses(&[A, B]));
    sightings
}

#[rstest]
#[case::all_answer(vec![(A, reply(200, &[])), (B, reply(90, &[]))], Finding::Clear)]
#[case::one_is_silent(vec![(A, reply(200, &[]))], Finding::Doubt)]
#[case::one_has_restarted(vec![(A, reply(200, &[])), (B, reply(20, &[]))], Finding::Doubt)]
#[case::one_has_seen_a_life_go(vec![(A, reply(200, &[C])), (B, reply(200, &[]))], Finding::Doubt)]
#[case::it_went_from_one_list_only(
    vec![(A, reply(200, &[B])), (B, reply(200, &[]))],
    Finding::Clear
)]
#[case::one_knows(
    vec![(A, Reply { knows: true, ..reply(200, &[]) })],
    Finding::Found(address(A))
)]
fn findings(#[case] replies: Vec<(u16, Reply)>, #[case] finding: Finding) {
    let replies = replies
        .into_iter()
        .map(|(port, reply)| (address(port), reply));
    let now = Millis::from_secs(100);
    assert_eq!(listed().find(now, &replies.collect()), finding);
}

#[rstest]
#[case::at_once(101, vec![B])]
#[case::within_the_horizon(698, vec![B])]
#[case::after_it(700, vec![])]
fn a_life_that_went_is_remembered(#[case] now: u64, #[case] gone: Vec<u16>) {
    let mut sightings = listed();
    let now = Millis::from_secs(now);
    sightings.list(now, addresses(&[A]));
    let asker = address(A);
    assert_eq!(sightings.gone(now, asker, HORIZON), addresses(&gone));
    assert_eq!(sightings.to_ask().count(), 1 + gone.len());
}

#[rstest]
#[case::as_old_as_its_address(90, vec![])]
#[case::restarted(20, vec![B])]
fn the_asker_may_have_had_another_life(#[case] up: u64, #[case] gone: Vec<u16>) {
    let now = Millis::from_secs(100);
    let told = listed().gone(now, address(B), Millis::from_secs(up));
    assert_eq!(told, addresses(&gone));
}
