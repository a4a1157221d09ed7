//! Deferred requests while their holder fails at each of its calls.

mod memory;
mod world;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::task::LocalSet;
use tokio::time::sleep;
use woodgap_core::clock::Millis;
use woodgap_core::deferred::{End, Shard, State};
use woodgap_core::once::Digest;
use woodgap_entry::deferred::Accept;
use woodgap_entry::deferred::accept::Refusal;
use woodgap_entry::deferred::store::Moved;

use memory::{Fate, Script};
use world::World;

/// A lapsed lease, a late write and a slow look-out are all over by then.
const AFTERMATH: Duration = Duration::from_mins(2);

/// Every call of the holder fails in turn, the ones after it well or badly; the
/// next entry, and the holder itself if it lives, bring every job to its one end.
#[rstest]
#[tokio::test(start_paused = true)]
async fn the_holder_fails_at_each_call(
    #[values(
        Fate::Unavailable,
        Fate::AckLost,
        Fate::RequestLost,
        Fate::Late,
        Fate::Stale,
        Fate::KillBefore,
        Fate::KillAfter,
        Fate::PauseBefore,
        Fate::PauseAfter
    )]
    fate: Fate,
    #[values(
        None,
        Some(Fate::Stale),
        Some(Fate::Unavailable),
        Some(Fate::AckLost),
        Some(Fate::KillAfter)
    )]
    then: Option<Fate>,
) {
    let mut call = 0;
    loop {
        let script = Script::once(call, fate);
        if let Some(then) = then {
            let next = (call + 1..call + 12).map(|call| (call, then));
            script.fates.borrow_mut().extend(next);
        }
        let world = LocalSet::new();
        let reached = world.run_until(one_story(call, Rc::clone(&script)));
        if !reached.await {
            break;
        }
        call += 1;
    }
    assert!(call > 20, "only {call} calls were made");
}

/// Plays one story; false if the call was never reached.
async fn one_story(call: usize, script: Rc<Script>) -> bool {
    let story = format!("{:?}", script.fates.borrow());
    let world = World::new();
    world.record().await;
    let first = world.start(0, 1, Rc::clone(&script));
    let second = world.start(1, 2, Rc::default());
    world.ended().await;
    let reached = script.calls.get() > call;
    // One that was frozen wakes when all is over, and must change nothing.
    sleep(AFTERMATH).await;
    script.wake();
    sleep(AFTERMATH).await;
    world.check(&story).await;
    world.sweep(&story).await;
    first.task.abort();
    second.task.abort();
    reached
}

/// Two entries die and freeze again and again, and calls fail at random.
#[rstest]
#[tokio::test(start_paused = true)]
async fn everything_fails_at_random(#[values(1, 2, 3, 4)] part: u64) {
    for seed in part * 1_000..part * 1_000 + 50 {
        let set = LocalSet::new();
        set.run_until(random_story(seed)).await;
    }
}

async fn random_story(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let world = World::new();
    world.record().await;
    let mut incarnation = 10;
    let mut entries = Vec::new();
    for _ in 0..6 {
        let rank = random.random_range(0..2);
        incarnation += 1;
        entries.push(world.start(rank, incarnation, random_script(&mut random)));
        sleep(Duration::from_millis(random.random_range(0..8_000))).await;
        for entry in &entries {
            if entry.script.frozen() && random.random_bool(0.3) {
                entry.script.wake();
            }
        }
    }
    entries.push(world.start(2, 99, Rc::default()));
    world.ended().await;
    for entry in &entries {
        entry.script.wake();
    }
    sleep(AFTERMATH).await;
    world.check(&format!("seed {seed}")).await;
    for entry in entries {
        entry.task.abort();
    }
}

fn random_script(random: &mut ChaCha8Rng) -> Rc<Script> {
    let fates = [
        Fate::Unavailable,
        Fate::AckLost,
        Fate::RequestLost,
        Fate::Late,
        Fate::Stale,
        Fate::KillBefore,
        Fate::KillAfter,
        Fate::PauseBefore,
        Fate::PauseAfter,
    ];
    let script = Script::default();
    for call in 0..200 {
        if random.random_bool(0.15) {
            let fate = fates.choose(random).copied().unwrap();
            script.fates.borrow_mut().insert(call, fate);
        }
    }
    Rc::new(script)
}

/// A planned stop ends what runs, gives the lease back and loses nothing.
#[tokio::test(start_paused = true)]
async fn a_planned_stop() {
    let set = LocalSet::new();
    set.run_until(async {
        let world = World::new();
        world.record().await;
        let first = world.start(0, 1, Rc::default());
        while world.runs.borrow().is_empty() {
            sleep(Duration::from_millis(10)).await;
        }
        first.handle.stop();
        first.task.await.unwrap();
        let started = world.runs.borrow().len();
        assert!(started < 4, "all had been started");
        let second = world.start(1, 2, Rc::default());
        world.ended().await;
        world.check("a planned stop").await;
        // Nothing that ran was cut off, so that nothing ran twice.
        assert_eq!(world.runs.borrow().len(), 4);
        second.task.abort();
    })
    .await;
}

/// A planned stop that begins in the middle of any call of the holder: no job is begun
/// after it, and those that were recorded as started are handed on unrun.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_planned_stop_in_the_middle_of_each_call(
    #[values(Fate::PauseBefore, Fate::PauseAfter)] fate: Fate,
) {
    let mut call = 0;
    while LocalSet::new().run_until(stopped_at(call, fate)).await {
        call += 1;
    }
    assert!(call > 20, "only {call} calls were made");
}

/// Stops the holder in a call; false if the call was never reached.
async fn stopped_at(call: usize, fate: Fate) -> bool {
    let world = World::new();
    world.record().await;
    let script = Script::once(call, fate);
    let first = world.start(0, 1, Rc::clone(&script));
    while !script.frozen() {
        if world.runs.borrow().len() == 4 && world.memory.borrow().ends.len() == 4 {
            first.task.abort();
            return false;
        }
        sleep(Duration::from_millis(10)).await;
    }
    let begun = first.begun.get();
    first.handle.stop();
    script.wake();
    first.task.await.unwrap();
    assert_eq!(first.begun.get(), begun, "call {call}, {fate:?}");
    let second = world.start(1, 2, Rc::default());
    world.ended().await;
    world
        .check(&format!("a stop at call {call}, {fate:?}"))
        .await;
    // Nothing was cut off or given up: each ran once.
    assert_eq!(world.runs.borrow().len(), 4, "call {call}, {fate:?}");
    second.task.abort();
    true
}

/// Each call of an acceptance fails: what is told is true, and a second
/// submission of the same identity is the same request.
#[rstest]
#[tokio::test(start_paused = true)]
async fn an_acceptance_fails_at_each_call(
    #[values(0, 1, 2, 3)] call: usize,
    #[values(
        Fate::Unavailable,
        Fate::AckLost,
        Fate::RequestLost,
        Fate::Late,
        Fate::Stale
    )]
    fate: Fate,
    #[values(false, true)] for_ever: bool,
) {
    let set = LocalSet::new();
    set.run_until(async {
        let world = World::new();
        let script = Script::once(call, fate);
        if for_ever {
            let mut fates = script.fates.borrow_mut();
            fates.extend((call..1_000).map(|call| (call, fate)));
        }
        let job = world::job("job-1", false);
        let store = world.store(&script);
        let accept = Accept::new(&store, &world.time, 4_096);
        let first = accept.record(&job, Bytes::from_static(b"to job-1")).await;
        sleep(AFTERMATH).await;
        let sound = world.store(&Rc::default());
        let kept = sound.lookup(&job.key).await.unwrap();
        match &first {
            Ok(state) => assert_eq!(kept.as_ref(), Some(state)),
            Err(Refusal::NotRecorded(_)) => assert_eq!(kept, None),
            Err(Refusal::Unknown(_)) => {}
            Err(refusal) => panic!("{refusal}"),
        }
        assert!(for_ever || first.is_ok(), "{first:?}");
        let mut again = job.clone();
        again.submission.sequence += 1;
        let accept = Accept::new(&sound, &world.time, 4_096);
        let second = accept.record(&again, Bytes::from_static(b"to job-1")).await;
        assert_eq!(second, Ok(State::Accepted));
        let row = sound.look(Shard::of(&job.key), "").await.unwrap();
        let [row] = row.as_slice() else {
            panic!("{row:?}")
        };
        let body = sound.request(&row.job).await.unwrap();
        assert_eq!(body, Some(Bytes::from_static(b"to job-1")));
    })
    .await;
}

/// Under a fence that is not the last one nothing is moved, whatever the rows'
/// versions are.
#[tokio::test(start_paused = true)]
async fn a_late_holder_moves_nothing() {
    let world = World::new();
    world.record().await;
    let store = world.store(&Rc::default());
    let old = world.take_lease(&store, 0, 1).await;
    let new = world.take_lease(&store, 1, 2).await;
    let jobs = store.look(world.shard, "").await.unwrap();
    let own = world.holder(0, 1);
    let changes = [(jobs[0].version, jobs[0].job.started(&own, old.fence))];
    let end = End::unknown_outcome();
    assert_eq!(store.change(&old, &changes).await, Moved::Fenced);
    let ended = store.end(&old, &jobs[0], end.clone(), Millis(1)).await;
    assert_eq!(ended, Moved::Fenced);
    assert_eq!(store.look(world.shard, "").await.unwrap(), jobs);
    let ended = store.end(&new, &jobs[0], end, Millis(1)).await;
    assert!(matches!(ended, Moved::Committed(_)));
}

/// Two submissions of one identity at the same moment: one request.
#[rstest]
#[case::of_one_body("a", Ok(State::Accepted))]
#[case::of_two_bodies("b", Err(Refusal::Reused))]
#[tokio::test(start_paused = true)]
async fn two_submissions(#[case] body: &str, #[case] expected: Result<State, Refusal>) {
    let world = World::new();
    let store = world.store(&Rc::default());
    let accept = Accept::new(&store, &world.time, 4_096);
    let first = world::job("job-1", false);
    let mut second = first.clone();
    second.submission.sequence += 1;
    second.body = Digest::of([body]);
    let mut first = first;
    first.body = Digest::of(["a"]);
    let (one, two) = tokio::join!(
        accept.record(&first, Bytes::from_static(b"first")),
        accept.record(&second, Bytes::from_static(b"second")),
    );
    assert_eq!((one, two), (Ok(State::Accepted), expected));
    let rows = store.look(Shard::of(&first.key), "").await.unwrap();
    let [row] = rows.as_slice() else {
        panic!("{rows:?}")
    };
    assert_eq!(row.job.submission, first.submission);
    let objects: Vec<Bytes> = world.memory.borrow().objects.values().cloned().collect();
    assert_eq!(objects, ["first"]);
}

/// Another body under the same identity, and a queue that is full.
#[tokio::test(start_paused = true)]
async fn refusals() {
    let world = World::new();
    let store = world.store(&Rc::default());
    let accept = Accept::new(&store, &world.time, 1);
    let job = world::job("job-1", true);
    let recorded = accept.record(&job, Bytes::new()).await;
    assert_eq!(recorded, Ok(State::Accepted));
    let mut other = job.clone();
    other.body = Digest::of(["another"]);
    assert_eq!(
        accept.record(&other, Bytes::new()).await,
        Err(Refusal::Reused)
    );
    assert_eq!(accept.record(&job, Bytes::new()).await, Ok(State::Accepted));
    let shard = Shard::of(&job.key);
    let mut others = (2..).map(|number| world::job(&format!("job-{number}"), true));
    let neighbour = others.find(|other| Shard::of(&other.key) == shard).unwrap();
    assert_eq!(
        accept.record(&neighbour, Bytes::new()).await,
        Err(Refusal::Full)
    );
    assert_eq!(store.lookup(&neighbour.key).await, Ok(None));
}
