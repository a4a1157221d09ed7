//! Tests of single faults and of the mechanism that handles each of them.

use woodgap_core::clock::Millis;
use woodgap_core::membership::Standing;
use woodgap_core::permit::message::Reply;

use crate::network::{Leftovers, Network, Status, incarnation};

/// Creates three entries and one engine in one data centre. Returns the network,
/// an entry that is not the home, and the home.
fn small(slots: u32) -> (Network, usize, usize) {
    let network = Network::new(1, 3, 1, 1, slots);
    let home = network.home(0, 0);
    (network, (home + 1) % 3, home)
}

#[test]
fn a_second_request_of_an_identity_is_sent_to_the_first() {
    let (mut network, one, home) = small(4);
    let other = 3 - one - home;
    let first = network.ask(one, 1, 77).unwrap();
    network.run(1_200);
    assert_eq!(network.requests[&first].status, Status::Complete);
    network.service = (5_000, 5_000);
    let again = network.ask(one, 1, 77).unwrap();
    network.run(100);
    assert_eq!(network.requests[&again].status, Status::Running);
    let second = network.ask(other, 1, 77).unwrap();
    network.run(100);
    let status = network.requests[&second].status;
    assert_eq!(status, Status::Elsewhere(incarnation(one)));
}

#[test]
fn a_dead_home_is_left_before_it_is_held_to_be_gone() {
    let (mut network, entry, home) = small(6);
    network.kill(home);
    let request = network.ask(entry, 1, 0).unwrap();
    network.run(700);
    assert_eq!(network.requests[&request].status, Status::Running);
}

#[test]
fn a_grant_that_its_holder_forgot_is_freed() {
    let (mut network, entry, home) = small(1);
    let grants = |reply: &Reply| matches!(reply, Reply::Grant(_));
    network.drop_filter = Box::new(move |message| message.replies.iter().any(grants));
    let request = network.ask(entry, 1, 0).unwrap();
    network.run(20);
    // The entry briefly considers the home gone, so it holds nothing there to
    // include in a digest.
    network.schedule_standing(entry, home, Standing::Gone, 0, 0);
    network.run(20);
    network.withdraw(request);
    network.run(20);
    network.schedule_standing(entry, home, Standing::Live, 0, 0);
    network.drop_filter = Box::new(|_| false);
    network.run(10_000);
    assert_eq!(network.leftovers(), Leftovers::default());
}

#[test]
fn a_grant_is_not_used_after_a_freeze() {
    let (mut network, entry, home) = small(1);
    network.service = (1_000, 1_000);
    network.ask(home, 1, 0);
    network.run(1_100);
    network.ask(home, 1, 0);
    let request = network.ask(entry, 1, 0).unwrap();
    network.run(100);
    network.freeze(entry);
    network.run(4_000);
    // In the meantime the home has granted the request and then freed its slot,
    // because it declared the entry gone.
    network.ask(home, 1, 0);
    network.unfreeze(entry);
    assert_eq!(network.requests[&request].status, Status::Waiting);
    assert_eq!(network.max_excess_runs(), 0);
}

#[test]
fn what_runs_without_a_home_is_handed_over_to_it() {
    let (mut network, entry, home) = small(6);
    network.service = (20_000, 20_000);
    network.pause(home);
    for _ in 0..10 {
        network.ask(entry, 1, 0);
    }
    network.run(1_000);
    let running = network
        .requests
        .values()
        .filter(|state| state.status == Status::Running);
    assert_eq!(running.count(), 2, "expected a third of the slots");
    network.resume(home);
    network.run(100);
    for _ in 0..10 {
        network.ask(home, 1, 0);
    }
    network.run(100);
    assert_eq!(network.max_excess_runs(), 0);
}

/// Sends a request every 20 ms from one entry, so that the home lends slots to
/// it.
fn borrow(network: &mut Network, entry: usize) {
    network.service = (20, 20);
    for _ in 0..100 {
        network.run(20);
        network.ask(entry, 3, 0);
    }
    network.run(30);
    let request = network.ask(entry, 3, 0).unwrap();
    assert_eq!(network.requests[&request].status, Status::Running);
}

#[test]
fn a_cut_off_borrower_stops_at_the_end_of_its_loan() {
    let (mut network, entry, home) = small(32);
    borrow(&mut network, entry);
    network.block_link(entry, home);
    let cut = network.now;
    let mut used = Millis::ZERO;
    for _ in 0..200 {
        network.run(20);
        let request = network.ask(entry, 3, 0).unwrap();
        let state = &network.requests[&request];
        if !state.degraded && state.granted_at == Some(state.asked_at) {
            used = state.asked_at - cut;
        }
    }
    assert!(used > Millis(300) && used <= Millis(1_000), "{used}");
}

#[test]
fn a_frozen_borrower_does_not_use_its_loan_when_it_wakes() {
    let (mut network, entry, _) = small(32);
    borrow(&mut network, entry);
    network.pause(entry);
    network.run(1_500);
    network.resume(entry);
    let request = network.ask(entry, 3, 0).unwrap();
    assert_eq!(network.requests[&request].status, Status::Waiting);
}

#[test]
fn lent_places_come_back_when_someone_waits() {
    let (mut network, entry, home) = small(32);
    borrow(&mut network, entry);
    network.run(30);
    network.service = (10_000, 10_000);
    for _ in 0..40 {
        network.ask(home, 1, 0);
    }
    network.run(10);
    let running = network
        .requests
        .values()
        .filter(|state| state.status == Status::Running);
    assert_eq!(running.count(), 32);
}
