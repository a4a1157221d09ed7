//! A service with too little capacity, as `docs/SCHEDULING.md` requires it under "Required results":
//! three entries before four plain endpoints that together serve 100 requests per second.

mod caller;
mod endpoint;
mod fleet;
mod load;
mod tally;

use std::time::Duration;

use fleet::Fleet;
use load::{Load, Source};
use serial_test::serial;
use tally::Tally;

/// How long callers send requests, from the time on at which the entries know each other.
const SENDING: Duration = Duration::from_secs(6);
/// Requests are judged from so long after the first one on: the page allows a second to limit a
/// workspace to its share, and the endpoints need most of another one to work off their queues.
const SETTLED: Duration = Duration::from_secs(2);
/// When the entry is killed.
const KILLED: Duration = Duration::from_secs(3);
/// The least part of the capacity that produces answers in time.
const LEAST_USE: f64 = 0.85;
/// The fewest caller retries of which a fraction says something.
const LEAST_RETURNS: usize = 20;
const HEAVY_RATE: f64 = 240.0;
const SMALL_RATE: f64 = 4.0;
const SMALL: [&str; 8] = [
    "small-1", "small-2", "small-3", "small-4", "small-5", "small-6", "small-7", "small-8",
];

/// One workspace asks for 2.4 times the capacity, and eight small ones for little.
fn heavy_and_small() -> Vec<Source> {
    let heavy = Source::new("heavy", 0, HEAVY_RATE);
    let small = SMALL.map(|workspace| Source::new(workspace, 0, SMALL_RATE));
    std::iter::once(heavy).chain(small).collect()
}

/// Plays a load before a fleet, of which one entry may be killed on the way.
fn play(sources: &[Source], seed: u64, killed: Option<Duration>) -> Tally {
    let load = Load::draw(sources, SENDING, seed);
    let fleet = Fleet::start(sources);
    let outcomes = caller::play(&load, fleet, killed);
    Tally::new(outcomes, SETTLED..SENDING)
}

/// Guards against one workspace that takes what others need: small ones got 0.33 to 0.51 of their
/// requests answered, and the heavy one 0.43.
#[test]
#[serial]
fn small_workspaces_are_served_in_time_beside_a_heavy_one() {
    let tally = play(&heavy_and_small(), 1, None);
    println!("{tally}");
    let small = tally.in_time(|source| source.workspace != "heavy");
    assert!(small >= 0.95, "small workspaces: {small:.2}");
    let used = tally.used();
    assert!(used >= LEAST_USE, "capacity: {used:.2}");
}

/// Guards against shares that are lost with the entry that keeps them.
#[test]
#[serial]
fn small_workspaces_are_served_in_time_while_an_entry_is_killed() {
    let tally = play(&heavy_and_small(), 2, Some(KILLED));
    println!("{tally}");
    let small = tally.in_time(|source| source.workspace != "heavy");
    assert!(small >= 0.90, "small workspaces: {small:.2}");
    let used = tally.used();
    assert!(used >= LEAST_USE, "capacity: {used:.2}");
}

/// Guards against a priority without effect: 0.43 of the requests of priority 0 were answered, and
/// 0.41 of those of priority 2.
#[test]
#[serial]
fn urgent_requests_are_served_in_time() {
    let sources = [Source::new("all", 0, 50.0), Source::new("all", 2, 200.0)];
    let tally = play(&sources, 3, None);
    println!("{tally}");
    let urgent = tally.in_time(|source| source.priority == 0);
    assert!(urgent >= 0.97, "priority 0: {urgent:.2}");
    let used = tally.used();
    assert!(used >= LEAST_USE, "capacity: {used:.2}");
}

/// Guards against callers that are told to come back when there is no room for them.
#[test]
#[serial]
fn callers_that_come_back_as_told_are_served() {
    let tally = play(&[Source::new("all", 0, 160.0)], 4, None);
    println!("{tally}");
    let (returned, served) = tally.returns();
    assert!(returned >= LEAST_RETURNS, "{returned} came back");
    #[allow(clippy::cast_precision_loss)]
    let part = served as f64 / returned as f64;
    assert!(part >= 0.75, "served of those that came back: {part:.2}");
    let used = tally.used();
    assert!(used >= LEAST_USE, "capacity: {used:.2}");
}
