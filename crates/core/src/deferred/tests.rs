//! What holders do with jobs in each of their states, and who holds.

use rstest::rstest;

use super::job::MOST_ATTEMPTS;
use super::{
    After, Backoff, End, Form, Job, Next, Outcome, Receipt, Row, SHARDS, Sent, Shard, Slot, Stage,
    State, choose,
};
use crate::clock::Millis;
use crate::config::document::Measure;
use crate::lease::{Fence, Holder};
use crate::name::{self, Incarnation};
use crate::once::{Digest, Key};
use crate::tier::Tier;
use crate::verdict::Verdict;

const KEPT: Millis = Millis(1_000);

fn job(repeatable: bool) -> Job {
    named("murphy", "n-1", 2, repeatable)
}

fn named(workspace: &str, identity: &str, tier: u8, repeatable: bool) -> Job {
    Job {
        key: Key::new(&workspace.into(), identity),
        class: "narration".into(),
        tier: Tier::new(tier).unwrap(),
        weight: 1,
        target: "story-7b".into(),
        form: Form::Chat,
        repeatable,
        latency: Millis(60_000),
        measure: Measure::Complete,
        prefix: 0,
        body: Digest::of(["{}"]),
        submission: name::Request {
            incarnation: Incarnation(1),
            sequence: 1,
        },
        created: Millis(100),
        attempts: 0,
        stage: Stage::Queued,
    }
}

fn holder() -> Holder {
    Holder {
        entry: "dub-a-1".into(),
        incarnation: Incarnation(1),
    }
}

fn started(repeatable: bool, attempts: u32) -> Job {
    let mut job = job(repeatable).started(&holder(), Fence(5));
    job.attempts = attempts;
    job
}

fn failed(end: &Next) -> Option<(&str, Verdict)> {
    match end {
        Next::Settle(End::Failed { code, verdict, .. }) => Some((code, *verdict)),
        _ => None,
    }
}

#[rstest]
#[case::queued(job(true), Fence(9), Sent::Never, Next::Start)]
#[case::ours_and_sent(started(false, 1), Fence(5), Sent::Runs, Next::Runs)]
#[case::sent_though_an_older_state_is_read(job(false), Fence(5), Sent::Runs, Next::Runs)]
#[case::ours_by_a_late_write(started(false, 1), Fence(5), Sent::Never, Next::Start)]
#[case::ours_and_broke_off(started(true, 1), Fence(5), Sent::Broke, Next::Start)]
#[case::of_a_later_holder(started(true, 1), Fence(4), Sent::Never, Next::Leave)]
#[case::of_an_earlier_holder(started(true, 1), Fence(6), Sent::Never, Next::Start)]
fn next(#[case] job: Job, #[case] fence: Fence, #[case] sent: Sent, #[case] expected: Next) {
    assert_eq!(job.next(Millis(200), KEPT, fence, sent), expected);
}

#[rstest]
#[case::never_run_again(started(false, 1), 200, "unknown_outcome", Verdict::MayHaveRun)]
#[case::breaks_off_for_ever(
    started(true, MOST_ATTEMPTS),
    200,
    "endpoint_failed",
    Verdict::MayHaveRun
)]
#[case::waited_too_long(job(true), 1_100, "overdue", Verdict::NotRun)]
#[case::refused_too_long(started(false, 3).queued_again(), 1_100, "overdue", Verdict::NotRun)]
#[case::broke_off_and_waited(started(true, 3).queued_again(), 1_100, "overdue", Verdict::MayHaveRun)]
fn settled(
    #[case] job: Job,
    #[case] now: u64,
    #[case] code: &str,
    #[case] verdict: Verdict,
    #[values(Fence(5), Fence(6))] fence: Fence,
) {
    let next = job.next(Millis(now), KEPT, fence, Sent::Broke);
    assert_eq!(failed(&next), Some((code, verdict)));
}

fn broken() -> Outcome {
    Outcome::Broken {
        code: "endpoint_failed".to_owned(),
        message: String::new(),
    }
}

#[rstest]
#[case::answer(started(true, 1), Outcome::Answer(Vec::new()), None)]
#[case::refused(started(false, 1), Outcome::Refused, Some(After::Refused))]
#[case::broken(started(true, 1), broken(), Some(After::Wait(Millis(500))))]
#[case::broken_again(started(true, 3), broken(), Some(After::Wait(Millis(2_000))))]
fn after_a_run(#[case] job: Job, #[case] outcome: Outcome, #[case] expected: Option<After>) {
    assert_eq!(After::run(&job, &outcome), expected);
}

#[rstest]
#[case::may_not_be_repeated(started(false, 1))]
#[case::too_often(started(true, MOST_ATTEMPTS))]
fn broken_for_good(#[case] job: Job) {
    let after = After::run(&job, &broken());
    assert!(matches!(
        after,
        Some(After::End(End::Failed {
            verdict: Verdict::MayHaveRun,
            ..
        }))
    ));
}

#[test]
fn a_receipt_names_every_object() {
    let job = started(true, 2);
    let receipt = Receipt::ended(&job, End::Answered { attempt: 2 }, Millis(500));
    let objects = receipt.objects(&job.key);
    assert_eq!(objects.len(), 3);
    let Some(State::Done(answer)) = State::of(&receipt, &job.key) else {
        panic!("{receipt:?}");
    };
    assert!(objects.contains(&answer));
    assert!(objects.contains(&job.request_object()));
    assert_eq!(State::of(&Receipt::new(&job), &job.key), None);
}

fn row(workspace: &str, identity: &str, tier: u8, created: u64) -> Row {
    let mut job = named(workspace, identity, tier, true);
    job.created = Millis(created);
    Row {
        key: job.row(),
        version: 1,
        job,
    }
}

/// Slots by tier; within a tier, workspaces in turn, the oldest of each first.
#[test]
fn choice() {
    let rows = [
        row("murphy", "a", 2, 1),
        row("murphy", "b", 2, 2),
        row("murphy", "c", 2, 3),
        row("kelly", "d", 2, 9),
        row("byrne", "e", 7, 8),
        row("byrne", "f", 1, 7),
    ];
    let running = [Slot::of(&rows[0].job)];
    let waiting: Vec<&Row> = rows[1..].iter().collect();
    let chosen = |per_tier: usize| -> Vec<String> {
        let chosen = choose(&waiting, &running, per_tier);
        let identities = chosen.iter().map(|row| row.job.key.identity.clone());
        identities.collect()
    };
    assert_eq!(chosen(1), ["f", "e"]);
    assert_eq!(chosen(2), ["f", "d", "e"]);
    assert_eq!(chosen(9), ["f", "d", "b", "c", "e"]);
}

/// One of those held back tries for all, more and more rarely.
#[test]
fn backoff() {
    let (mut backoff, job) = (Backoff::default(), job(true));
    assert!(backoff.try_start(Millis(0), &job));
    assert!(backoff.try_start(Millis(0), &job));
    backoff.refused(Millis(10), &job);
    backoff.refused(Millis(11), &job);
    assert_eq!(backoff.due(), Some(Millis(510)));
    assert!(!backoff.try_start(Millis(509), &job));
    let other = named("murphy", "n-1", 3, true);
    assert!(backoff.try_start(Millis(509), &other), "another tier");
    assert!(backoff.try_start(Millis(510), &job));
    assert!(!backoff.try_start(Millis(510), &job), "one at a time");
    backoff.refused(Millis(600), &job);
    assert_eq!(backoff.due(), Some(Millis(1_600)));
    assert!(backoff.try_start(Millis(1_600), &job));
    backoff.passed(&job);
    assert!(backoff.try_start(Millis(1_600), &job));
    assert!(backoff.try_start(Millis(1_600), &job));
}

/// Seven entries share the shards without a hot spot, and only the shards of one
/// that goes move.
#[test]
fn shards_are_spread() {
    let entries: Vec<name::Entry> = (0..7).map(|number| format!("e-{number}").into()).collect();
    let first = |shard: Shard, entries: &[name::Entry]| {
        let found = entries.iter().find(|own| shard.rank(own, entries) == 0);
        found.cloned().unwrap()
    };
    for own in &entries {
        let mine = Shard::all().filter(|shard| first(*shard, &entries) == *own);
        assert!((1..=10).contains(&mine.count()), "of {SHARDS}");
    }
    let left: Vec<_> = entries[1..].to_vec();
    for shard in Shard::all() {
        let before = first(shard, &entries);
        assert!(before == entries[0] || first(shard, &left) == before);
    }
}
