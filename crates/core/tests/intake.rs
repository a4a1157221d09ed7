//! Who gets room for what callers send, and who gives way.

use proptest::prelude::*;
use woodgap_core::clock::Millis;
use woodgap_core::intake::Registry;
use woodgap_core::intake::budget::SMALL_BYTES;
use woodgap_core::intake::registry::{CONNECTION_BYTES, Cause, Full, Id, SHORT_GRACE};

/// A machine whose budget is 1,000,000 bytes, 750,000 of them for large requests.
const MACHINE: usize = 4_000_000;
const LARGE: usize = 375_000;
const START: Millis = Millis(10_000);

fn open(registry: &mut Registry, now: Millis) -> Id {
    registry.open(now).expect("there is a place").0
}

/// A connection whose body of this length is read from now on.
fn reading(registry: &mut Registry, bytes: usize, now: Millis) -> Id {
    let id = open(registry, now);
    registry.begin(id, now);
    registry.read(id, bytes, now).expect("there is room");
    id
}

#[test]
fn room_is_bounded_in_sum() {
    let mut registry = Registry::new(MACHINE, 100);
    reading(&mut registry, LARGE, START);
    reading(&mut registry, LARGE, START);
    let third = open(&mut registry, START);
    registry.begin(third, START);
    assert_eq!(registry.read(third, SMALL_BYTES + 1, START), Err(Full));
    assert_eq!(registry.budget().held(), 2 * LARGE);
}

#[test]
fn small_requests_have_room_beside_large_ones() {
    let mut registry = Registry::new(MACHINE, 100);
    reading(&mut registry, LARGE, START);
    reading(&mut registry, LARGE, START);
    for _ in 0..3 {
        reading(&mut registry, SMALL_BYTES, START);
    }
    let fourth = open(&mut registry, START);
    registry.begin(fourth, START);
    assert_eq!(registry.read(fourth, SMALL_BYTES, START), Err(Full));
}

#[test]
fn the_latest_bodies_give_way_and_no_more_of_them_than_it_takes() {
    let mut registry = Registry::new(MACHINE, 100);
    let first = reading(&mut registry, LARGE, START);
    let second = reading(&mut registry, LARGE, START + Millis(1));
    registry.receive(first, 64 * 1024, SHORT_GRACE, START);
    let late = START + SHORT_GRACE + Millis(100);
    let third = open(&mut registry, late);
    registry.begin(third, late);
    let gives_way = registry.read(third, 100_000, late).expect("one is late");
    assert_eq!(gives_way.len(), 1);
    assert_eq!(gives_way[0].id, second);
    assert_eq!(gives_way[0].cause, Cause::Slow);
}

#[test]
fn nobody_gives_way_where_that_would_not_be_enough() {
    let mut registry = Registry::new(MACHINE, 100);
    let late = START + SHORT_GRACE;
    reading(&mut registry, 100_000, START);
    let whole = reading(&mut registry, 650_000, START);
    registry.end_reading(whole, START);
    let third = open(&mut registry, late);
    registry.begin(third, late);
    assert_eq!(registry.read(third, 200_000, late), Err(Full));
    assert_eq!(registry.budget().held(), 750_000);
}

#[test]
fn a_body_that_comes_in_time_does_not_give_way() {
    let mut registry = Registry::new(MACHINE, 100);
    let first = reading(&mut registry, 750_000, START);
    registry.receive(first, 32 * 1024, SHORT_GRACE, START);
    let now = START + Millis(1_400);
    let second = open(&mut registry, now);
    registry.begin(second, now);
    assert_eq!(registry.read(second, 100_000, now), Err(Full));
}

#[test]
fn a_body_that_came_fast_and_stopped_gives_way_soon() {
    let mut registry = Registry::new(MACHINE, 100);
    let first = reading(&mut registry, 750_000, START);
    registry.receive(first, 749_999, SHORT_GRACE, START);
    let now = START + Millis(1_500);
    let second = open(&mut registry, now);
    registry.begin(second, now);
    let gives_way = registry.read(second, 100_000, now).expect("one is late");
    assert_eq!(gives_way[0].id, first);
}

#[test]
fn heads_that_stop_give_way_to_bodies() {
    let mut registry = Registry::new(MACHINE, 1_000);
    let heads: Vec<_> = (0..16).map(|_| open(&mut registry, START)).collect();
    for id in &heads {
        let extended = registry.extend_head(*id, 60_000, START);
        assert_eq!(extended, Ok(Vec::new()));
    }
    let late = START + SHORT_GRACE;
    let body = open(&mut registry, late);
    registry.begin(body, late);
    let gives_way = registry.read(body, 60_000, late).expect("one is late");
    assert_eq!(gives_way.len(), 1);
    assert_eq!(gives_way[0].cause, Cause::Silent);
    assert!(heads.contains(&gives_way[0].id));
}

#[test]
fn those_that_never_said_anything_go_first() {
    let mut registry = Registry::new(MACHINE, 3);
    let resting = open(&mut registry, START);
    registry.begin(resting, START);
    registry.finish(resting, START);
    let silent = open(&mut registry, START + Millis(1));
    let served = open(&mut registry, START);
    registry.begin(served, START);
    let (_, first) = registry.open(START + Millis(2)).expect("one is silent");
    assert_eq!(first.map(|it| it.id), Some(silent));
    registry.close(silent);
    let (newest, second) = registry.open(START + Millis(3)).expect("one is silent");
    assert_ne!(second.map(|it| it.id), Some(served));
    assert_ne!(second.map(|it| it.id), Some(newest));
}

#[test]
fn requests_that_are_served_do_not_give_way_to_new_connections() {
    let mut registry = Registry::new(MACHINE, 2);
    for _ in 0..2 {
        let id = open(&mut registry, START);
        registry.begin(id, START);
    }
    assert_eq!(registry.open(START), None);
}

#[test]
fn places_are_limited_by_the_memory() {
    let registry = Registry::new(2 * 300 * CONNECTION_BYTES, 100_000);
    assert_eq!(registry.max_connections(), 300);
}

#[test]
fn answers_that_are_not_taken_end_in_time() {
    let mut registry = Registry::new(MACHINE, 2);
    let [stuck, slow] = [(); 2].map(|()| open(&mut registry, START));
    for id in [stuck, slow] {
        registry.begin(id, START);
        registry.set_untaken(id, 1_000, START);
    }
    registry.set_untaken(slow, 0, START + Millis(20_000));
    registry.set_untaken(slow, 900, START + Millis(20_000));
    assert_eq!(registry.close_overdue(START + Millis(30_000)), []);
    let overdue = registry.close_overdue(START + Millis(30_001));
    assert_eq!(overdue.len(), 1);
    assert_eq!((overdue[0].id, overdue[0].cause), (stuck, Cause::Unread));
    assert_eq!(registry.close_overdue(START + Millis(30_002)), []);
}

#[test]
fn what_is_not_taken_counts_and_gives_way_where_it_is_the_most() {
    let mut registry = Registry::new(MACHINE, 3);
    let [little, much, new] = [(); 3].map(|()| open(&mut registry, START));
    assert_eq!(registry.set_untaken(little, 300_000, START), None);
    assert_eq!(registry.set_unread(much, 650_000), None);
    let gives_way = registry.set_untaken(new, 100_000, START);
    assert_eq!(gives_way.map(|it| it.id), Some(much));
    assert_eq!(registry.budget().held(), 400_000);
}

/// What may happen to one of some connections.
#[derive(Clone, Debug)]
enum Event {
    Open,
    Head(usize, usize),
    Begin(usize),
    Read(usize, usize),
    Grow(usize, usize),
    Receive(usize, usize),
    EndReading(usize),
    Release(usize),
    Unread(usize, usize),
    Untaken(usize, usize),
    Finish(usize),
    Close(usize),
    Sweep,
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let one = || 0..20_usize;
    let bytes = || prop_oneof![0..5_000_usize, 0..400_000_usize];
    prop_oneof![
        Just(Event::Open),
        (one(), bytes()).prop_map(|(one, bytes)| Event::Head(one, bytes)),
        one().prop_map(Event::Begin),
        (one(), bytes()).prop_map(|(one, bytes)| Event::Read(one, bytes)),
        (one(), bytes()).prop_map(|(one, bytes)| Event::Grow(one, bytes)),
        (one(), bytes()).prop_map(|(one, bytes)| Event::Receive(one, bytes)),
        one().prop_map(Event::EndReading),
        one().prop_map(Event::Release),
        (one(), bytes()).prop_map(|(one, bytes)| Event::Unread(one, bytes)),
        (one(), bytes()).prop_map(|(one, bytes)| Event::Untaken(one, bytes)),
        one().prop_map(Event::Finish),
        one().prop_map(Event::Close),
        Just(Event::Sweep),
        (0..2_000_u64).prop_map(Event::Wait),
    ]
}

proptest! {
    /// Whatever happens in whatever order: what is taken stays within the budget, what is held
    /// already is told to give way as long as it does not, and nothing is left in the end.
    #[test]
    fn the_sum_holds(events in proptest::collection::vec(event(), 1..200)) {
        let mut registry = Registry::new(MACHINE, 12);
        let mut now = START;
        let mut ids: Vec<Id> = Vec::new();
        for event in events {
            let before = registry.budget().held();
            let at = |one: usize| ids.get(one % ids.len().max(1)).copied();
            let mut is_forced = false;
            match event {
                Event::Open => ids.extend(registry.open(now).map(|(id, _)| id)),
                Event::Head(one, bytes) => {
                    at(one).map(|id| registry.extend_head(id, bytes, now));
                }
                Event::Begin(one) => drop(at(one).map(|id| registry.begin(id, now))),
                Event::Read(one, bytes) => drop(at(one).map(|id| registry.read(id, bytes, now))),
                Event::Grow(one, bytes) => drop(at(one).map(|id| registry.grow(id, bytes, now))),
                Event::Receive(one, bytes) => {
                    at(one).and_then(|id| registry.receive(id, bytes, SHORT_GRACE, now));
                }
                Event::EndReading(one) => drop(at(one).map(|id| registry.end_reading(id, now))),
                Event::Release(one) => drop(at(one).map(|id| registry.release(id))),
                Event::Unread(one, bytes) => {
                    is_forced = true;
                    at(one).and_then(|id| registry.set_unread(id, bytes));
                }
                Event::Untaken(one, bytes) => {
                    is_forced = true;
                    at(one).and_then(|id| registry.set_untaken(id, bytes, now));
                }
                Event::Finish(one) => drop(at(one).map(|id| registry.finish(id, now))),
                Event::Close(one) => drop(at(one).map(|id| registry.close(id))),
                Event::Sweep => drop(registry.close_overdue(now)),
                Event::Wait(millis) => now = now + Millis(millis),
            }
            let held = registry.budget().held();
            prop_assert!(is_forced || held <= before.max(registry.budget().capacity()));
            prop_assert!(registry.open_connections() <= 24);
        }
        for id in ids {
            registry.close(id);
        }
        prop_assert_eq!(registry.budget().held(), 0);
        prop_assert_eq!(registry.open_connections(), 0);
    }
}
