use woodgap_core::once::Digest;

use super::*;
use crate::once::record::{Kind, Phase};
use crate::once::{Room, Tape};
use crate::request::Item;

const KEPT: Millis = Millis(HORIZON.0 + 10);

fn key(identity: &str) -> Key {
    Key::new(&"murphy".into(), identity)
}

fn record(identity: &str, sequence: u64, binding: bool) -> Record {
    let request = name::Request {
        incarnation: name::Incarnation(1),
        sequence,
    };
    let tape = Tape::new(request, Arc::new(Room::new(1_000)), 1_000);
    Record::new(
        key(identity),
        request,
        Digest::of(["body"]),
        Kind::Service,
        binding,
        tape,
    )
}

fn first(registry: &mut Registry, record: Record) -> Arc<Record> {
    match registry.enter(Millis::ZERO, record) {
        Entered::First(record) => record,
        other => panic!("{other:?}"),
    }
}

/// A registry with room for two.
fn small() -> Registry {
    Registry::with_most(KEPT, 2)
}

#[test]
fn a_second_submission_attaches_to_the_first() {
    let mut registry = small();
    let known = first(&mut registry, record("a", 1, false));
    let entered = registry.enter(Millis::ZERO, record("a", 2, false));
    let Entered::Known(found, Some(reader)) = entered else {
        panic!("{entered:?}");
    };
    assert_eq!(found.request, known.request);
    // It is read, so that it can't be left.
    assert!(!registry.leave(&known));
    drop(reader);
    assert!(registry.leave(&known));
    first(&mut registry, record("a", 3, false));
}

#[test]
fn an_ended_record_goes_after_its_time() {
    let mut registry = small();
    let known = first(&mut registry, record("a", 1, false));
    known.tape.finish(Item::Complete);
    registry.end(Millis(5), &known);
    registry.sweep(Millis(4) + KEPT);
    assert!(registry.attach(&key("a")).is_some());
    registry.sweep(Millis(5) + KEPT);
    assert!(registry.attach(&key("a")).is_none());
}

#[test]
fn a_full_registry_forgets_only_what_has_a_claim() {
    let mut registry = small();
    let binding = first(&mut registry, record("issued", 1, true));
    registry.end(Millis::ZERO, &binding);
    let claimed = first(&mut registry, record("claimed", 2, false));
    registry.end(Millis::ZERO, &claimed);
    let enter = |registry: &mut Registry| registry.enter(Millis(1), record("new", 3, false));
    assert!(matches!(enter(&mut registry), Entered::Full));
    registry.remove(&binding.key, binding.request);
    registry.ended.pop_front();
    let other = first(&mut registry, record("other", 4, false));
    registry.end(Millis::ZERO, &other);
    assert!(matches!(enter(&mut registry), Entered::First(_)));
    // From now on this life is not sure of what it does not know.
    let knowledge = |now| registry.knowledge(now, &key("claimed"));
    assert_eq!(knowledge(Millis(1)), Knowledge::Unsure);
    assert_eq!(knowledge(Millis(1) + HORIZON), Knowledge::None);
}

#[test]
fn what_a_life_knows_of_an_identity() {
    let mut registry = small();
    let known = first(&mut registry, record("a", 1, false));
    let mut knowledge = vec![registry.knowledge(Millis::ZERO, &key("b"))];
    for phase in [Phase::Waiting, Phase::Own, Phase::GivenUp, Phase::Elsewhere] {
        known.enter(phase);
        knowledge.push(registry.knowledge(Millis::ZERO, &key("a")));
    }
    known.tape.finish(Item::Complete);
    knowledge.push(registry.knowledge(Millis::ZERO, &key("a")));
    assert_eq!(
        knowledge,
        [
            Knowledge::None,
            Knowledge::Unsure,
            Knowledge::Has,
            Knowledge::None,
            Knowledge::None,
            Knowledge::Has
        ]
    );
}
